//! Splits a server-sent event stream into whole events.
//!
//! A stream that is resumed by another run may only be forwarded in whole events: a partial event can't be
//! taken back, and the other run sends that event again.

use std::collections::VecDeque;

use bytes::{Bytes, BytesMut};

use crate::sse;

/// Splits a stream into whole events and drops events that were already forwarded.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    scanner: sse::Scanner,
    /// The lengths in bytes of the whole events at the start of the buffer.
    whole: VecDeque<usize>,
    /// The number of bytes after them.
    rest: usize,
    /// Whether the last byte ended an event.
    at_event_end: bool,
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
        self.rest
    }

    /// Whether the received bytes end between two events.
    #[must_use]
    pub fn is_at_boundary(&self) -> bool {
        !self.scanner.is_within_event()
    }

    /// Discards an incomplete event, so that the bytes of another run can follow.
    pub fn drop_partial(&mut self) {
        *self = Self {
            last: self.last,
            ..Self::default()
        };
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
        for byte in bytes {
            let mark = self.scanner.push(*byte);
            self.rest += 1;
            let continues_event_end = self.at_event_end && mark == sse::Mark::LineEndContinued;
            self.at_event_end = mark == sse::Mark::EventEnd;
            if continues_event_end && let Some(event) = self.whole.back_mut() {
                *event += std::mem::take(&mut self.rest);
            } else if continues_event_end || self.at_event_end {
                // The event that a line feed belongs to may have been returned before.
                self.whole.push_back(std::mem::take(&mut self.rest));
            }
        }
    }

    /// Returns the next whole event that has not been returned before.
    pub fn pop(&mut self) -> Option<Bytes> {
        loop {
            let length = self.whole.pop_front()?;
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

    /// Takes what follows the last event, such as comments, at the end of a stream that doesn't end within an event.
    pub fn take_rest(&mut self) -> Bytes {
        self.rest = 0;
        self.buffer.split().freeze()
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| matches!(byte, b'\n' | b'\r'));
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
