//! Splits a server-sent event stream into whole events.
//!
//! A stream that is resumed by another run may only be forwarded in whole events: a partial event can't be
//! taken back, and the other run sends that event again.

use bytes::{Bytes, BytesMut};

/// Splits a stream into whole events and drops events that were already forwarded.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    last: Option<u64>,
}

impl Splitter {
    /// Returns the id of the last event returned by [`Self::pop`].
    #[must_use]
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns the number of bytes of the incomplete event.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.buffer.len()
    }

    /// Whether the received bytes end at an event boundary.
    #[must_use]
    pub fn is_at_boundary(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Discards an incomplete event.
    pub fn drop_partial(&mut self) {
        self.buffer.clear();
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next whole event that has not been returned before.
    pub fn pop(&mut self) -> Option<Bytes> {
        loop {
            let length = event_length(&self.buffer)?;
            let event = self.buffer.split_to(length).freeze();
            let Some(id) = event_id(&event) else {
                return Some(event);
            };
            if self.last.is_none_or(|last| id > last) {
                self.last = Some(id);
                return Some(event);
            }
        }
    }
}

/// Returns the length of the first event, including the empty line that ends it.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (index, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..index];
        if index > 0 && (line.is_empty() || line == b"\r") {
            return Some(index + 1);
        }
        line_start = index + 1;
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let value = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    value.trim().parse().ok()
}
