//! Decoder of server-sent events: assembles lines into the data of each event.

use super::{Flaw, MAX_EVENT_BYTES};
use crate::sse;

const DATA_FIELD: &[u8] = b"data";

/// Decoder state of the current event.
#[derive(Clone, Debug, Default)]
pub(super) struct Decoder {
    line: Vec<u8>,
    data: Vec<u8>,
    /// Whether the event has a data field, even an empty one.
    has_data: bool,
    scanner: sse::Scanner,
}

impl Decoder {
    /// Decodes one byte. Returns the event's data if the byte ends an event that has data.
    pub(super) fn push(&mut self, byte: u8) -> Result<Option<String>, Flaw> {
        match self.scanner.push(byte) {
            sse::Mark::LineEndContinued => Ok(None),
            sse::Mark::EventEnd => self.end_event(),
            sse::Mark::LineEnd => {
                self.read_field();
                self.line.clear();
                Ok(None)
            }
            sse::Mark::Content if self.line.len() + self.data.len() >= MAX_EVENT_BYTES => {
                Err(Flaw::TooLong)
            }
            sse::Mark::Content => {
                self.line.push(byte);
                Ok(None)
            }
        }
    }

    /// Adds the value of a data field. Comments and other fields do not belong to the answer and are
    /// ignored.
    fn read_field(&mut self) {
        let colon = self.line.iter().position(|byte| *byte == b':');
        let (name, value) = match colon {
            Some(colon) => (&self.line[..colon], &self.line[colon + 1..]),
            None => (&self.line[..], &[][..]),
        };
        if name != DATA_FIELD {
            return;
        }
        if self.has_data {
            self.data.push(b'\n');
        }
        self.has_data = true;
        self.data
            .extend_from_slice(value.strip_prefix(b" ").unwrap_or(value));
    }

    fn end_event(&mut self) -> Result<Option<String>, Flaw> {
        if !std::mem::take(&mut self.has_data) {
            return Ok(None);
        }
        let data = std::mem::take(&mut self.data);
        let text = String::from_utf8(data).map_err(|_| Flaw::Malformed)?;
        Ok(Some(text))
    }
}
