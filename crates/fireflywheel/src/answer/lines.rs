//! Lines of server-sent events, put together to the data of each event.

use super::{Flaw, MAX_EVENT_BYTES};

const DATA_FIELD: &[u8] = b"data";

/// What is known of the event that is coming in.
#[derive(Clone, Debug, Default)]
pub(super) struct Lines {
    line: Vec<u8>,
    data: Vec<u8>,
    /// Whether the event has a data field, be it empty.
    any: bool,
    /// A line ended with a carriage return; a line feed right after it belongs to that end.
    returned: bool,
}

impl Lines {
    /// Takes a byte; gives the event's data when that ends an event with any.
    pub(super) fn take(&mut self, byte: u8) -> Result<Option<String>, Flaw> {
        let paired = std::mem::take(&mut self.returned) && byte == b'\n';
        match byte {
            b'\n' if paired => Ok(None),
            b'\n' => self.line_end(),
            b'\r' => {
                self.returned = true;
                self.line_end()
            }
            _ if self.line.len() + self.data.len() >= MAX_EVENT_BYTES => Err(Flaw::TooLong),
            _ => {
                self.line.push(byte);
                Ok(None)
            }
        }
    }

    fn line_end(&mut self) -> Result<Option<String>, Flaw> {
        if self.line.is_empty() {
            return self.event_end();
        }
        self.field();
        self.line.clear();
        Ok(None)
    }

    /// Adds a data field's value; comments and other fields say nothing about the answer.
    fn field(&mut self) {
        let colon = self.line.iter().position(|byte| *byte == b':');
        let (name, value) = match colon {
            Some(colon) => (&self.line[..colon], &self.line[colon + 1..]),
            None => (&self.line[..], &[][..]),
        };
        if name != DATA_FIELD {
            return;
        }
        if self.any {
            self.data.push(b'\n');
        }
        self.any = true;
        self.data
            .extend_from_slice(value.strip_prefix(b" ").unwrap_or(value));
    }

    fn event_end(&mut self) -> Result<Option<String>, Flaw> {
        if !std::mem::take(&mut self.any) {
            return Ok(None);
        }
        let data = std::mem::take(&mut self.data);
        let text = String::from_utf8(data).map_err(|_| Flaw::Malformed)?;
        Ok(Some(text))
    }
}
