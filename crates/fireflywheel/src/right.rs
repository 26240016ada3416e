//! Rights to load replicas. A replica exists only under a right, so no burst of requests and no paused process can
//! exceed a replica cap.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{item, record};

/// The placement that a right is for.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Key {
    /// The backend server's address.
    pub server: SmolStr,
    /// The item that is placed on the server.
    pub item: item::Item,
}

/// The state of a placement.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum State {
    /// An intent to load is open.
    Loading {
        /// The epoch of the intent's order.
        epoch: u64,
        /// The number of the intent's order.
        number: u64,
    },
    /// The item is loaded, by the answer to the order.
    Loaded,
    /// An intent to unload is open. The replica gets no new requests and is still counted.
    Unloading {
        /// The epoch of the intent's order.
        epoch: u64,
        /// The number of the intent's order.
        number: u64,
    },
    /// The item was not loaded at the last answer, but a late order may load it or may have loaded it since. The
    /// placement stays counted: as long as it has pins, and after that until a load or an unload is opened and
    /// closed.
    Empty,
}

/// A pin on an order to load that may still arrive.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Pin {
    /// The incarnation that may have sent the order.
    pub by: record::Incarnation,
    /// The epoch of the order.
    pub epoch: u64,
    /// The number of the order.
    pub number: u64,
    /// The log time in Unix milliseconds at which the pin was set, or at which its epoch ended, if that was later.
    pub since_ms: u64,
}

/// The right for a placement, which is counted against the memory limit and the replica cap.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Right {
    /// The group that the backend server belongs to.
    pub group: SmolStr,
    /// The memory held in MB, as the document specified when the right was granted.
    pub memory_mb: u64,
    /// The state of the placement.
    pub state: State,
    /// Pins on orders to load that may still arrive.
    pub pins: BTreeSet<Pin>,
    /// Whether a pin has ended or may end after the newest intent was opened: the late order may then have been
    /// carried out after the engine answered.
    pub unsure: bool,
    /// The offset of the record that last changed the right.
    pub changed: u64,
}

impl Right {
    /// Creates a right without pins, on which an intent is to be opened.
    #[must_use]
    pub fn new(group: SmolStr, memory_mb: u64) -> Self {
        Self {
            group,
            memory_mb,
            state: State::Empty,
            pins: BTreeSet::new(),
            unsure: false,
            changed: 0,
        }
    }
}

impl State {
    /// The name of the state as operators see it.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Loading { .. } => "loading",
            Self::Loaded => "loaded",
            Self::Unloading { .. } => "unloading",
            Self::Empty => "empty",
        }
    }
}
