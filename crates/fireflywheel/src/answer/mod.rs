//! Checks that a backend server's answer is complete and belongs to the request.
//!
//! Answers can be late, mixed up, truncated or duplicated, mostly on connections that a proxy or a frozen
//! process reused. Without a check a caller could take another caller's answer for its own, or a truncated
//! answer for a complete one. Each answer must therefore name its request in every part and reach its end
//! marker; any other answer is never passed on as complete.
//!
//! [`StreamChecker`] checks streams of server-sent events, [`BodyChecker`] answers in a single body.

mod sse;

use std::fmt;

use serde::Deserialize;
use smol_str::SmolStr;

/// Maximum size of an event, in bytes.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// The data of the event that ends a stream.
pub const END_MARKER: &str = "[DONE]";

/// A defect of an answer.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Flaw {
    /// It belongs to another request.
    WrongRequest,
    /// It ended before its end marker.
    Truncated,
    /// A chunk was received twice.
    DuplicateChunk,
    /// A chunk is missing.
    MissingChunk,
    /// It violates the protocol.
    Malformed,
    /// It exceeds the size limit or continues after its end marker.
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

/// A complete, checked event of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// A chunk of the answer: the event's data, unmodified.
    Chunk(String),
    /// The end marker.
    End,
}

/// The identification in a chunk or a body.
#[derive(Deserialize)]
struct Envelope {
    id: Option<SmolStr>,
    seq: Option<u64>,
}

/// Incremental checker of a stream of server-sent events.
///
/// The result and the events do not depend on how the bytes are split.
#[derive(Clone, Debug)]
pub struct StreamChecker {
    id: SmolStr,
    /// The sequence number of the next chunk.
    next_sequence: u64,
    /// Whether chunks carry sequence numbers; determined by the first chunk.
    numbered: Option<bool>,
    chunks: u64,
    decoder: sse::Decoder,
    ended: bool,
    flaw: Option<Flaw>,
}

impl StreamChecker {
    /// Creates a checker for the whole stream of the request `id`.
    #[must_use]
    pub fn new(id: impl Into<SmolStr>) -> Self {
        Self {
            id: id.into(),
            next_sequence: 0,
            numbered: None,
            chunks: 0,
            decoder: sse::Decoder::default(),
            ended: false,
            flaw: None,
        }
    }

    /// Sets the checker to a stream that is resumed after its first `chunks` chunks.
    #[must_use]
    pub fn with_resume(mut self, chunks: u64) -> Self {
        self.next_sequence = chunks;
        self.chunks = chunks;
        self
    }

    /// Checks bytes and returns the events that they complete.
    ///
    /// # Errors
    ///
    /// The [`Flaw`] that was found, which every later call returns again. Events that were complete before
    /// it are returned first, so the flaw may be reported by the next call or by [`Self::end`].
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<Event>, Flaw> {
        if let Some(flaw) = self.flaw {
            return Err(flaw);
        }
        let mut events = Vec::new();
        for &byte in bytes {
            if let Err(flaw) = self.push_byte(byte, &mut events) {
                self.flaw = Some(flaw);
                break;
            }
        }
        match self.flaw {
            Some(flaw) if events.is_empty() => Err(flaw),
            _ => Ok(events),
        }
    }

    /// Handles the end of the connection, and returns whether the answer is complete.
    ///
    /// # Errors
    ///
    /// The [`Flaw`] found in the bytes, or [`Flaw::Truncated`] if the end marker is missing.
    pub fn end(&self) -> Result<(), Flaw> {
        match self.flaw {
            Some(flaw) => Err(flaw),
            None if self.ended => Ok(()),
            None => Err(Flaw::Truncated),
        }
    }

    /// Returns the number of complete chunks so far, including those before a resume. An interrupted stream
    /// resumes at this chunk.
    #[must_use]
    pub fn chunks(&self) -> u64 {
        self.chunks
    }

    /// Returns whether the end marker was received. The answer is then complete, although the connection
    /// may stay open.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        self.ended && self.flaw.is_none()
    }

    fn push_byte(&mut self, byte: u8, events: &mut Vec<Event>) -> Result<(), Flaw> {
        let Some(data) = self.decoder.push(byte)? else {
            return Ok(());
        };
        if self.ended {
            return Err(Flaw::TooLong);
        }
        if data == END_MARKER {
            // An end marker alone names no request, so it may belong to another one.
            if self.chunks == 0 {
                return Err(Flaw::Truncated);
            }
            self.ended = true;
            events.push(Event::End);
            return Ok(());
        }
        self.check_chunk(&data)?;
        events.push(Event::Chunk(data));
        Ok(())
    }

    fn check_chunk(&mut self, data: &str) -> Result<(), Flaw> {
        let envelope: Envelope = serde_json::from_str(data).map_err(|_| Flaw::Malformed)?;
        check_id(&self.id, envelope.id.as_ref())?;
        let numbered = *self.numbered.get_or_insert(envelope.seq.is_some());
        if numbered != envelope.seq.is_some() {
            return Err(Flaw::Malformed);
        }
        if let Some(sequence) = envelope.seq {
            self.check_sequence(sequence)?;
        }
        self.chunks += 1;
        Ok(())
    }

    fn check_sequence(&mut self, sequence: u64) -> Result<(), Flaw> {
        if sequence < self.next_sequence {
            return Err(Flaw::DuplicateChunk);
        }
        if sequence > self.next_sequence {
            return Err(Flaw::MissingChunk);
        }
        self.next_sequence = sequence.saturating_add(1);
        Ok(())
    }
}

/// Checker of an answer in a single body: a JSON object that names its request.
#[derive(Clone, Debug)]
pub struct BodyChecker {
    id: SmolStr,
    limit: usize,
    bytes: Vec<u8>,
    flaw: Option<Flaw>,
}

impl BodyChecker {
    /// Creates a checker for the answer to the request `id`, of at most `limit` bytes.
    #[must_use]
    pub fn new(id: impl Into<SmolStr>, limit: usize) -> Self {
        Self {
            id: id.into(),
            limit,
            bytes: Vec::new(),
            flaw: None,
        }
    }

    /// Checks the id in the answer's header; an answer without one is malformed.
    #[must_use]
    pub fn with_header(mut self, id: Option<&str>) -> Self {
        let id = id.map(SmolStr::new);
        self.flaw = check_id(&self.id, id.as_ref()).err();
        self
    }

    /// Adds bytes of the body.
    ///
    /// # Errors
    ///
    /// The [`Flaw`] found so far, which every later call returns again.
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

    /// Handles the end of the connection, and returns the complete, checked body.
    ///
    /// # Errors
    ///
    /// The [`Flaw`] that was found.
    pub fn end(self) -> Result<Vec<u8>, Flaw> {
        if let Some(flaw) = self.flaw {
            return Err(flaw);
        }
        let envelope: Envelope =
            serde_json::from_slice(&self.bytes).map_err(|error| parse_flaw(&error))?;
        check_id(&self.id, envelope.id.as_ref())?;
        Ok(self.bytes)
    }
}

/// Checks that a part of an answer names the request. A part without an id proves nothing and is malformed.
fn check_id(expected: &SmolStr, id: Option<&SmolStr>) -> Result<(), Flaw> {
    match id {
        Some(id) if id == expected => Ok(()),
        Some(_) => Err(Flaw::WrongRequest),
        None => Err(Flaw::Malformed),
    }
}

fn parse_flaw(error: &serde_json::Error) -> Flaw {
    match error.is_eof() {
        true => Flaw::Truncated,
        false => Flaw::Malformed,
    }
}
