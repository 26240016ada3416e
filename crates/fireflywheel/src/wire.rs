//! Frames between instances. Each binary websocket message holds one CBOR value.
//!
//! A frame is a hint, or carries data that its receiver can verify; no frame grants a right. Frames may be
//! lost, duplicated or delayed without harm.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{item, member, record};

/// Maximum size of a frame from a peer, in bytes; a larger frame closes the link.
pub const MAX_FRAME_BYTES: usize = 8 << 20;

/// A message from one instance to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Frame {
    /// Liveness check, answered by [`Frame::Pong`] with the same number.
    Ping {
        /// The ping's number, chosen by the sender.
        number: u64,
        /// Summary of the sender's knowledge.
        digest: Digest,
        /// Recent membership changes.
        gossip: Vec<member::Update>,
    },
    /// The answer to [`Frame::Ping`].
    Pong {
        /// The ping's number.
        number: u64,
        /// Summary of the sender's knowledge.
        digest: Digest,
        /// Recent membership changes.
        gossip: Vec<member::Update>,
    },
    /// Callers wait for an item that is not loaded. Sent to the group's steward, repeatedly while they
    /// wait.
    Want(Want),
    /// Sent by a steward to the senders of [`Frame::Want`]: the item is loaded under a right, although the
    /// outcome may not be recorded yet.
    Ready {
        /// The backend server's address.
        server: SmolStr,
        /// The item.
        item: item::Item,
    },
    /// Sent by a steward to the senders of [`Frame::Want`]: the item will not be loaded in time.
    Busy {
        /// The group.
        group: SmolStr,
        /// The item.
        item: item::Item,
        /// Milliseconds after which a retry is worthwhile.
        retry_ms: u64,
        /// The reason in a few words, for the caller.
        reason: SmolStr,
    },
    /// Usage of an instance since its last such frame; sent to the group's steward.
    Usage {
        /// The group.
        group: SmolStr,
        /// Finished and active requests for each item.
        items: Vec<Usage>,
    },
    /// Requests the document with a version above this one.
    AskDocument {
        /// The sender's newest version.
        above: u64,
    },
    /// An accepted document.
    Document {
        /// The document's version.
        version: u64,
        /// The full text of the document.
        text: String,
    },
    /// Requests a checkpoint of the ledger that covers more than this offset.
    AskState {
        /// The first offset that the sender has not folded.
        next: u64,
    },
    /// A part of a checkpoint; see [`record::Part`].
    State(record::Part),
    /// Requests the known members of the buckets whose hash differs from these; see
    /// [`crate::membership::Membership::hashes`]. Answered by [`Frame::Members`].
    AskMembers {
        /// One hash per bucket of members.
        hashes: Vec<u64>,
    },
    /// Members of the buckets that differ; each is handled like a gossiped update.
    Members(Vec<member::Update>),
    /// Requests credits of a shared limit from the instance that manages it, or returns some; see
    /// [`crate::credit`].
    Credit(Credit),
}

/// A short summary of what an instance knows, carried by each ping and pong.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Digest {
    /// The newest version of the configuration in use; 0 for none.
    pub version: u64,
    /// The first offset of the log that the sender has not folded.
    pub next: u64,
    /// Whether the sender can currently read the log.
    #[serde(rename = "log")]
    pub log_readable: bool,
}

/// Demand of waiting callers for an item.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Want {
    /// The group.
    pub group: SmolStr,
    /// The item.
    pub item: item::Item,
    /// Number of requests that wait at the sender.
    pub waiting: u32,
    /// Milliseconds until the earliest of their deadlines.
    pub left_ms: u64,
}

/// Usage of an item.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Usage {
    /// The item.
    pub item: item::Item,
    /// Number of requests finished since the last frame.
    pub finished: u32,
    /// Number of requests in progress or waiting.
    pub active: u32,
}

/// A request for, or a loan of, credits of a shared limit.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Credit {
    /// The sender needs this number of the limit's credits in total.
    Need {
        /// The name of the limit, such as `tenant/tran-gia`.
        limit: SmolStr,
        /// Total number of credits, including those that the sender already holds.
        hold: u32,
        /// Sequence number that increases with each frame about the limit, so that an outdated frame is
        /// recognised.
        number: u64,
    },
    /// The sender lends this number of credits to the receiver for a limited time.
    Lend {
        /// The name of the limit.
        limit: SmolStr,
        /// Total number of credits.
        hold: u32,
        /// The number of the [`Credit::Need`] that this frame answers.
        number: u64,
        /// Lease duration in milliseconds. The holder counts from the time when it sent the need, the
        /// lender from the time when it answered, so the holder always stops first.
        lease_ms: u64,
    },
}

/// A message that is not a frame.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Malformed {
    /// The message is longer than [`MAX_FRAME_BYTES`]; holds its length in bytes.
    TooLong(usize),
    /// The message is not the CBOR encoding of a frame.
    Cbor(String),
}

impl Frame {
    /// Encodes the frame as one websocket message.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes).expect("a frame can always be encoded as CBOR");
        bytes
    }

    /// Decodes one websocket message.
    ///
    /// # Errors
    ///
    /// [`Malformed`] if the message is too long or not a frame.
    pub fn decode(bytes: &[u8]) -> Result<Self, Malformed> {
        if bytes.len() > MAX_FRAME_BYTES {
            return Err(Malformed::TooLong(bytes.len()));
        }
        ciborium::from_reader(bytes).map_err(|error| Malformed::Cbor(error.to_string()))
    }
}

impl std::fmt::Display for Malformed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::TooLong(length) => write!(
                f,
                "frame of {length} bytes, at most {MAX_FRAME_BYTES} are taken"
            ),
            Self::Cbor(error) => write!(f, "not the CBOR of a frame: {error}"),
        }
    }
}

impl std::error::Error for Malformed {}
