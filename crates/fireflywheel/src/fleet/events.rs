//! Events of a stream, cut at their ends.
//!
//! A stream that goes on in another run may only be handed on in whole events: the half of one that broke off
//! can't be taken back, and the other run sends that event anew.

use bytes::{Bytes, BytesMut};

/// Cuts a stream into whole events, and drops those that were handed on before.
#[derive(Debug, Default)]
pub struct Splitter {
    rest: BytesMut,
    last: Option<u64>,
}

impl Splitter {
    /// The id of the last event that was taken out.
    #[must_use]
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Bytes of an event that isn't whole yet.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.rest.len()
    }

    /// Whether all that came are whole events.
    #[must_use]
    pub fn is_at_boundary(&self) -> bool {
        self.rest.is_empty()
    }

    /// Forgets an event that broke off.
    pub fn drop_partial(&mut self) {
        self.rest.clear();
    }

    /// Adds what came.
    pub fn push(&mut self, bytes: &[u8]) {
        self.rest.extend_from_slice(bytes);
    }

    /// The next whole event that is new.
    pub fn pop(&mut self) -> Option<Bytes> {
        loop {
            let length = event_length(&self.rest)?;
            let event = self.rest.split_to(length).freeze();
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

/// The length of the first event with the empty line that ends it.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (place, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..place];
        if place > 0 && (line.is_empty() || line == b"\r") {
            return Some(place + 1);
        }
        line_start = place + 1;
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let value = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    value.trim().parse().ok()
}
