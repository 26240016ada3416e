//! Frames between instances, one CBOR value in each binary websocket message.
//!
//! A frame is a hint or a hand-over of what its receiver can check; none of them gives a right. They may be
//! lost, doubled or late without harm.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{item, member, record};

/// The largest frame taken from a peer, in bytes; a larger one ends the link.
pub const MAX_FRAME_BYTES: usize = 8 << 20;

/// What one instance tells another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Frame {
    /// Are you alive? Answered by [`Frame::Pong`] with the same number.
    Ping {
        /// Chosen by the sender.
        number: u64,
        /// What the sender knows.
        digest: Digest,
        /// Recent changes of membership.
        gossip: Vec<member::Update>,
    },
    /// The answer to [`Frame::Ping`].
    Pong {
        /// The ping's number.
        number: u64,
        /// What the sender knows.
        digest: Digest,
        /// Recent changes of membership.
        gossip: Vec<member::Update>,
    },
    /// Callers wait for something that isn't loaded; sent to the group's steward, again while they wait.
    Want(Want),
    /// A steward to those who sent [`Frame::Want`]: loaded under a right, though perhaps not yet recorded so.
    Ready {
        /// The backend server's address.
        server: SmolStr,
        /// The item.
        item: item::Item,
    },
    /// A steward to those who sent [`Frame::Want`]: it won't be loaded in time.
    Busy {
        /// The group.
        group: SmolStr,
        /// The item.
        item: item::Item,
        /// Milliseconds until it is worth asking again.
        retry_ms: u64,
        /// Why, in a few words for the caller.
        reason: SmolStr,
    },
    /// What an instance ran since its last such frame; sent to the group's steward.
    Usage {
        /// The group.
        group: SmolStr,
        /// Requests finished and in progress for each item.
        items: Vec<Usage>,
    },
    /// Send the document with a version above this one.
    AskDocument {
        /// The sender's newest version.
        above: u64,
    },
    /// An accepted document.
    Document {
        /// Its version.
        version: u64,
        /// The whole text.
        text: String,
    },
    /// Send a checkpoint of the ledger that covers more than this.
    AskState {
        /// The first offset that the sender has not folded.
        next: u64,
    },
    /// A part of a checkpoint; see [`record::Part`].
    State(record::Part),
    /// Send what you know of the members whose hash differs from these; see
    /// [`crate::membership::Membership::hashes`]. Answered by [`Frame::Members`].
    AskMembers {
        /// One for each bucket of members.
        hashes: Vec<u64>,
    },
    /// Members in the buckets that differ; each is taken in like gossip.
    Members(Vec<member::Update>),
    /// Asks the home of a shared limit for credits, or gives some back; see [`crate::credit`].
    Credit(Credit),
}

/// What an instance knows, in a few bytes, carried by each ping and pong.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Digest {
    /// The newest version of the configuration in force here; 0 for none.
    pub version: u64,
    /// The first offset of the log not folded here.
    pub next: u64,
    /// Whether this instance reads the log at present.
    #[serde(rename = "log")]
    pub log_readable: bool,
}

/// Callers wait for an item.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Want {
    /// The group.
    pub group: SmolStr,
    /// The item.
    pub item: item::Item,
    /// How many wait at the sender.
    pub waiting: u32,
    /// Milliseconds until the first of their deadlines.
    pub left_ms: u64,
}

/// How much an item was used.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Usage {
    /// The item.
    pub item: item::Item,
    /// Finished since the last frame.
    pub finished: u32,
    /// In progress or waiting now.
    pub active: u32,
}

/// Credits of a shared limit.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Credit {
    /// The sender needs to hold this many of the limit's credits in all.
    Need {
        /// Names the limit, such as `tenant/tran-gia`.
        limit: SmolStr,
        /// In all, with those it holds.
        hold: u32,
        /// Rises with each frame about the limit, so that a late one is told from a new one.
        number: u64,
    },
    /// The sender lets the receiver hold this many for so long.
    Lend {
        /// Names the limit.
        limit: SmolStr,
        /// In all.
        hold: u32,
        /// The number of the need that this answers.
        number: u64,
        /// Milliseconds from the moment the need was sent; the holder counts from there, the lender from
        /// when it answered, so the holder always stops first.
        lease_ms: u64,
    },
}

/// A message that isn't a frame.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Malformed {
    /// Longer than [`MAX_FRAME_BYTES`].
    TooLong(usize),
    /// Not the CBOR of a frame.
    Cbor(String),
}

impl Frame {
    /// The bytes of one websocket message.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes).expect("a frame always has a CBOR form");
        bytes
    }

    /// Reads one websocket message.
    ///
    /// # Errors
    ///
    /// [`Malformed`] when it is too long or not a frame.
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
