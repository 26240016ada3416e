//! Whether a backend server's answer is the whole answer to the one request.
//!
//! Answers come late, crossed, short and doubled, mostly from connections that a proxy or a frozen process
//! reused. A caller would take another's quote for its own, or half a report for all of it. So each answer
//! must name its request in every part and come to its end marker; what doesn't is never handed on as whole.
//!
//! [`StreamChecker`] is for streams of server-sent events, [`BodyChecker`] for answers in one piece.

mod lines;

use std::fmt;

use serde::Deserialize;
use smol_str::SmolStr;

/// The longest event taken, in bytes.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// The data of the event that ends a stream.
pub const END_MARKER: &str = "[DONE]";

/// What is wrong with an answer.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Flaw {
    /// It belongs to another request.
    WrongRequest,
    /// It ended before its end marker.
    Truncated,
    /// A chunk came again.
    DuplicateChunk,
    /// A chunk is lacking.
    MissingChunk,
    /// It isn't what the protocol says.
    Malformed,
    /// It is larger than taken, or goes on after its end marker.
    TooLong,
}

impl fmt::Display for Flaw {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::WrongRequest => "the answer belongs to another request",
            Self::Truncated => "the answer ended before its end marker",
            Self::DuplicateChunk => "a chunk of the answer came twice",
            Self::MissingChunk => "a chunk of the answer is lacking",
            Self::Malformed => "the answer is not what the protocol says",
            Self::TooLong => "the answer is larger than taken, or goes on after its end marker",
        })
    }
}

impl std::error::Error for Flaw {}

/// A whole, checked event of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// A chunk of the answer: the event's data, as it came.
    Chunk(String),
    /// The end marker.
    End,
}

/// What a chunk or an answer says of itself.
#[derive(Deserialize)]
struct Envelope {
    id: Option<SmolStr>,
    seq: Option<u64>,
}

/// Checks a stream of server-sent events as its bytes come.
///
/// The verdict and the events don't depend on how the bytes are split.
#[derive(Clone, Debug)]
pub struct StreamChecker {
    id: SmolStr,
    /// The sequence number of the next chunk.
    next: u64,
    /// Whether chunks carry sequence numbers; known from the first.
    numbered: Option<bool>,
    chunks: u64,
    lines: lines::Lines,
    ended: bool,
    flaw: Option<Flaw>,
}

impl StreamChecker {
    /// Expects the whole stream of the request `id`.
    #[must_use]
    pub fn new(id: impl Into<SmolStr>) -> Self {
        Self {
            id: id.into(),
            next: 0,
            numbered: None,
            chunks: 0,
            lines: lines::Lines::default(),
            ended: false,
            flaw: None,
        }
    }

    /// Expects a stream resumed after its first `chunks` chunks.
    #[must_use]
    pub fn with_resume(mut self, chunks: u64) -> Self {
        self.next = chunks;
        self.chunks = chunks;
        self
    }

    /// Takes bytes, and gives the events that they complete.
    ///
    /// # Errors
    ///
    /// The [`Flaw`] that was found; the same again from then on. Events that were whole before it are given
    /// first, so the flaw may come with the next call or from [`Self::end`].
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<Event>, Flaw> {
        if let Some(flaw) = self.flaw {
            return Err(flaw);
        }
        let mut events = Vec::new();
        for &byte in bytes {
            if let Err(flaw) = self.take(byte, &mut events) {
                self.flaw = Some(flaw);
                break;
            }
        }
        match self.flaw {
            Some(flaw) if events.is_empty() => Err(flaw),
            _ => Ok(events),
        }
    }

    /// The connection ended: whether the answer is whole.
    ///
    /// # Errors
    ///
    /// The [`Flaw`] found in the bytes, or [`Flaw::Truncated`] without the end marker.
    pub fn end(&self) -> Result<(), Flaw> {
        match self.flaw {
            Some(flaw) => Err(flaw),
            None if self.ended => Ok(()),
            None => Err(Flaw::Truncated),
        }
    }

    /// Chunks that were whole so far, with those before a resume: where a stream that broke goes on.
    #[must_use]
    pub fn chunks(&self) -> u64 {
        self.chunks
    }

    /// Whether the end marker came. The answer is whole then, though the connection may stay open.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        self.ended && self.flaw.is_none()
    }

    fn take(&mut self, byte: u8, events: &mut Vec<Event>) -> Result<(), Flaw> {
        let Some(data) = self.lines.take(byte)? else {
            return Ok(());
        };
        if self.ended {
            return Err(Flaw::TooLong);
        }
        if data == END_MARKER {
            // An end marker alone names no request, so it may be another's.
            if self.chunks == 0 {
                return Err(Flaw::Truncated);
            }
            self.ended = true;
            events.push(Event::End);
            return Ok(());
        }
        self.chunk(&data)?;
        events.push(Event::Chunk(data));
        Ok(())
    }

    fn chunk(&mut self, data: &str) -> Result<(), Flaw> {
        let envelope: Envelope = serde_json::from_str(data).map_err(|_| Flaw::Malformed)?;
        own(&self.id, envelope.id.as_ref())?;
        let numbered = *self.numbered.get_or_insert(envelope.seq.is_some());
        if numbered != envelope.seq.is_some() {
            return Err(Flaw::Malformed);
        }
        if let Some(sequence) = envelope.seq {
            self.in_sequence(sequence)?;
        }
        self.chunks += 1;
        Ok(())
    }

    fn in_sequence(&mut self, sequence: u64) -> Result<(), Flaw> {
        if sequence < self.next {
            return Err(Flaw::DuplicateChunk);
        }
        if sequence > self.next {
            return Err(Flaw::MissingChunk);
        }
        self.next = sequence.saturating_add(1);
        Ok(())
    }
}

/// Checks an answer in one piece: a JSON object that names its request.
#[derive(Clone, Debug)]
pub struct BodyChecker {
    id: SmolStr,
    limit: usize,
    bytes: Vec<u8>,
    flaw: Option<Flaw>,
}

impl BodyChecker {
    /// Expects the answer to the request `id`, of at most `limit` bytes.
    #[must_use]
    pub fn new(id: impl Into<SmolStr>, limit: usize) -> Self {
        Self {
            id: id.into(),
            limit,
            bytes: Vec::new(),
            flaw: None,
        }
    }

    /// Takes the id that the answer's header names; an answer without one is malformed.
    #[must_use]
    pub fn with_header(mut self, id: Option<&str>) -> Self {
        let id = id.map(SmolStr::new);
        self.flaw = own(&self.id, id.as_ref()).err();
        self
    }

    /// Takes bytes.
    ///
    /// # Errors
    ///
    /// The [`Flaw`] found so far; the same again from then on.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), Flaw> {
        if let Some(flaw) = self.flaw {
            return Err(flaw);
        }
        if self.bytes.len() + bytes.len() > self.limit {
            self.flaw = Some(Flaw::TooLong);
            self.bytes = Vec::new();
            return Err(Flaw::TooLong);
        }
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// The connection ended: the whole, checked body.
    ///
    /// # Errors
    ///
    /// The [`Flaw`] that was found.
    pub fn end(self) -> Result<Vec<u8>, Flaw> {
        if let Some(flaw) = self.flaw {
            return Err(flaw);
        }
        let envelope: Envelope =
            serde_json::from_slice(&self.bytes).map_err(|error| flaw(&error))?;
        own(&self.id, envelope.id.as_ref())?;
        Ok(self.bytes)
    }
}

/// Whether a part of an answer names the request; one that names none proves nothing.
fn own(expected: &SmolStr, id: Option<&SmolStr>) -> Result<(), Flaw> {
    match id {
        Some(id) if id == expected => Ok(()),
        Some(_) => Err(Flaw::WrongRequest),
        None => Err(Flaw::Malformed),
    }
}

fn flaw(error: &serde_json::Error) -> Flaw {
    match error.is_eof() {
        true => Flaw::Truncated,
        false => Flaw::Malformed,
    }
}
