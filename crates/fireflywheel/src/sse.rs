//! Boundaries of lines and events in a stream of server-sent events.

/// What a byte does in a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mark {
    /// It belongs to a line.
    Content,
    /// It ends a line that is not empty.
    LineEnd,
    /// It ends an empty line, which ends the event.
    EventEnd,
    /// It is the line feed after a carriage return that has ended the line.
    LineEndContinued,
}

/// Finds the boundaries of lines and events. A line ends with a line feed, a carriage return, or both in that order.
#[derive(Clone, Copy, Debug, Default)]
pub struct Scanner {
    line: Line,
    /// Whether the event has a line that is not a comment.
    in_event: bool,
    after_carriage_return: bool,
}

/// The line so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Line {
    #[default]
    Empty,
    Comment,
    Field,
}

impl Scanner {
    /// Scans the next byte.
    pub fn push(&mut self, byte: u8) -> Mark {
        let continues_line_end = std::mem::take(&mut self.after_carriage_return) && byte == b'\n';
        if continues_line_end {
            return Mark::LineEndContinued;
        }
        if !matches!(byte, b'\n' | b'\r') {
            self.line = match (self.line, byte) {
                (Line::Empty, b':') => Line::Comment,
                (Line::Empty, _) => Line::Field,
                (line, _) => line,
            };
            return Mark::Content;
        }
        self.after_carriage_return = byte == b'\r';
        match std::mem::take(&mut self.line) {
            Line::Empty => {
                self.in_event = false;
                Mark::EventEnd
            }
            Line::Comment => Mark::LineEnd,
            Line::Field => {
                self.in_event = true;
                Mark::LineEnd
            }
        }
    }

    /// Scans bytes for which only [`Self::is_within_event`] matters.
    pub fn push_all(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.push(*byte);
        }
    }

    /// Whether the bytes so far end within an event or a line. Whole comments between events are not part of one.
    #[must_use]
    pub fn is_within_event(&self) -> bool {
        self.in_event || self.line != Line::Empty
    }
}
