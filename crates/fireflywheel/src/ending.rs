//! How the body of a message ended, and what that tells about whether it is whole.
//!
//! A body that states neither a length nor chunks ends with its connection. An ordinary end of the connection is then all
//! that a receiver sees, whether the sender has finished or has died. Such an end must not be passed on as a stated one.

/// How a message tells where its body ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// By a length, by chunks, or by being a message that has no body.
    Stated,
    /// Not at all: the body ends with its connection.
    UntilClose,
}

/// How a body ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// It reached the end that its sender had stated.
    Complete,
    /// Its connection ended in order, and the sender had stated no end: it may be truncated.
    Unstated,
    /// It broke off.
    BrokenOff(Break),
}

/// How it is known that a body broke off.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Break {
    /// The connection failed, or ended before the stated end.
    Connection,
    /// The body ended within an event.
    WithinEvent,
    /// The body ended before its first byte, and the sender had stated no end.
    BeforeFirstByte,
    /// The body is larger than the receiver accepts.
    TooLarge,
}

impl Framing {
    /// Its name in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Stated => "stated",
            Self::UntilClose => "until close",
        }
    }

    /// How a body with this framing ended whose connection did not fail.
    #[must_use]
    pub fn end(self) -> Ending {
        match self {
            Self::Stated => Ending::Complete,
            Self::UntilClose => Ending::Unstated,
        }
    }
}

impl Ending {
    /// How the body ended if it is a stream of events. A stream that ends within an event has broken off even if its
    /// sender stated that end.
    #[must_use]
    pub fn of_stream(self, is_empty: bool, is_within_event: bool) -> Self {
        match self {
            Self::BrokenOff(_) => self,
            Self::Complete | Self::Unstated if is_within_event => {
                Self::BrokenOff(Break::WithinEvent)
            }
            Self::Unstated if is_empty => Self::BrokenOff(Break::BeforeFirstByte),
            Self::Complete | Self::Unstated => self,
        }
    }
}

impl Break {
    /// Its name in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Connection => "response broke off",
            Self::WithinEvent => "ended within an event",
            Self::BeforeFirstByte => "ended before its first byte",
            Self::TooLarge => "response too large",
        }
    }
}
