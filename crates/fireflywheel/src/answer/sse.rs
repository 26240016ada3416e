//! Decoder of server-sent events: assembles lines into the data of each event.

use super::{Flaw, MAX_EVENT_BYTES};

const DATA_FIELD: &[u8] = b"data";

/// Decoder state of the current event.
#[derive(Clone, Debug, Default)]
pub(super) struct Decoder {
    line: Vec<u8>,
    data: Vec<u8>,
    /// Whether the event has a data field, even an empty one.
    has_data: bool,
    /// Whether the last line ended with a carriage return. A line feed directly after it belongs to the
    /// same line end.
    after_carriage_return: bool,
}

impl Decoder {
    /// Decodes one byte. Returns the event's data if the byte ends an event that has data.
    pub(super) fn push(&mut self, byte: u8) -> Result<Option<String>, Flaw> {
        let completes_line_end = std::mem::take(&mut self.after_carriage_return) && byte == b'\n';
        match byte {
            b'\n' if completes_line_end => Ok(None),
            b'\n' => self.end_line(),
            b'\r' => {
                self.after_carriage_return = true;
                self.end_line()
            }
            _ if self.line.len() + self.data.len() >= MAX_EVENT_BYTES => Err(Flaw::TooLong),
            _ => {
                self.line.push(byte);
                Ok(None)
            }
        }
    }

    fn end_line(&mut self) -> Result<Option<String>, Flaw> {
        if self.line.is_empty() {
            return self.end_event();
        }
        self.read_field();
        self.line.clear();
        Ok(None)
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
