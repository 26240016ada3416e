//! Records of the platform's log: what instances and operators append, and what the ledger folds.
//!
//! A record is a batch of entries under one [`Id`]. Each entry carries its own preconditions and is judged
//! on its own; the first in log order wins. An append says nothing until the record has been read back.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{claim, item};

/// The rules by which this build judges records. A ledger refuses to go on past a record whose rules are
/// newer, so that two builds never judge one record in two ways.
pub const RULES_VERSION: u32 = 1;

/// One process from start to end.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Incarnation {
    /// The instance's name in its settings.
    pub instance: SmolStr,
    /// Unix milliseconds at the start of the process, raised above any earlier incarnation it knows of.
    pub number: u64,
}

/// Who appended a record, and in which place. A ledger takes an id once.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Id {
    /// The process that appended it.
    pub by: Incarnation,
    /// Rises by one with each record of the incarnation, from 1. A record that is sent again keeps it.
    pub sequence: u64,
}

/// A batch of entries.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// [`RULES_VERSION`] of the build that wrote it.
    pub rule: u32,
    /// Who, and in which place.
    pub id: Id,
    /// Judged one by one, in order.
    pub entries: Vec<Entry>,
}

/// The start of any record of ours, whatever its rule: what stays readable when entries change.
#[derive(Deserialize)]
struct Head {
    rule: u32,
    #[serde(rename = "id")]
    _id: Id,
}

/// A record follows a rule that this build doesn't know.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UnsupportedRules(pub u32);

impl Record {
    /// The text to append.
    #[must_use]
    pub fn encode(&self) -> String {
        serde_json::to_string(self).expect("a record always has a JSON form")
    }

    /// Reads the text of a stored record; `None` when it is no record of ours. The rule is looked at before
    /// the entries: a newer rule may have entries that this build can't read, and passing them over as
    /// foreign would let two builds judge one record in two ways.
    ///
    /// # Errors
    ///
    /// [`UnsupportedRules`] when its rule is above [`RULES_VERSION`].
    pub fn decode(body: &str) -> Result<Option<Self>, UnsupportedRules> {
        let Ok(head) = serde_json::from_str::<Head>(body) else {
            return Ok(None);
        };
        if head.rule > RULES_VERSION {
            return Err(UnsupportedRules(head.rule));
        }
        Ok(serde_json::from_str(body).ok())
    }
}

/// A record as the log gives it back.
#[derive(Clone, Debug, PartialEq)]
pub struct Stored {
    /// Its place in the log.
    pub offset: u64,
    /// Unix milliseconds at which the log took it: the only time that a ledger knows.
    pub time_ms: u64,
    /// The text that was appended; it need not be a record.
    pub body: String,
}

/// An order of a steward, for one item on one backend server.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Order {
    /// The group of the backend server.
    pub group: SmolStr,
    /// The steward's epoch; void unless it is the group's newest and the writer holds it.
    pub epoch: u64,
    /// Rises with each intent of the epoch, from 1.
    pub number: u64,
    /// The backend server's address. Rights belong to an address, since a late order reaches whatever
    /// process answers there.
    pub server: SmolStr,
    /// What to load or unload.
    pub item: item::Item,
}

/// One statement to be judged.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Entry {
    /// A new serving configuration, made from version `base` (0: from none). Accepted only while `base` is
    /// the newest. Its version is the offset of its record plus one.
    Publish {
        /// The version it was made from.
        base: u64,
        /// The whole document.
        text: String,
    },
    /// The writer takes a group; accepted only as the epoch after the newest.
    Steward {
        /// The group.
        group: SmolStr,
        /// The newest epoch plus one.
        epoch: u64,
    },
    /// The steward means to load: opens an intent and takes memory and a place under the cap.
    Grant(Order),
    /// The steward means to unload: opens an intent; memory and place stay taken.
    Withdraw(Order),
    /// The outcome of an open intent, as the engine answered an order or a query of the writer's epoch that was
    /// sent after the intent was read back; never by a report, and never without an answer. Where engines
    /// check fencing numbers, the answer proves that older epochs are shut out, and ends their pins there.
    Close {
        /// The same order as in the intent; its epoch may be older than the writer's, who then inherited it.
        order: Order,
        /// The writer's epoch.
        epoch: u64,
        /// Whether the item is loaded now.
        loaded: bool,
        /// Whether a copy of an order may still arrive (an answer was lost, and the engine doesn't fence).
        stray: bool,
    },
    /// The writer's own old epoch is over: it sends no order of it any more. Ends the pins it caused, but for
    /// the orders named, of which a copy may still arrive.
    Acknowledge {
        /// The group.
        group: SmolStr,
        /// The epoch that is over.
        epoch: u64,
        /// Orders of which an answer was lost.
        stray: Vec<u64>,
    },
    /// Ends the pins of one placement by the group's `pin_release`, which the ledger checks.
    Release {
        /// The group.
        group: SmolStr,
        /// The writer's epoch.
        epoch: u64,
        /// The backend server.
        server: SmolStr,
        /// The item.
        item: item::Item,
    },
    /// The backend server has gone; what was loaded there is not. Its open intents to load are pinned, since
    /// their orders may reach a new process at the address.
    Gone {
        /// The group.
        group: SmolStr,
        /// The writer's epoch.
        epoch: u64,
        /// The backend server.
        server: SmolStr,
        /// The first offset that the writer had not folded at some moment at which the server was gone; where it
        /// goes by a list that lags, at the moment from which the list has not named it, provided that it has
        /// been so for longer than the lag. A right that a later record changed is left alone: it may tell of a
        /// new process at the address.
        seen: u64,
    },
    /// The writer is about to run a request that isn't idempotent. The first claim of a key wins.
    Claim {
        /// The tenant and the caller's Idempotency-Key.
        key: claim::Key,
        /// A hash of the request; the same key with another request is refused.
        fingerprint: u64,
    },
    /// The outcome of the writer's own claim.
    Settle {
        /// The key claimed.
        key: claim::Key,
        /// What came of it.
        outcome: claim::Outcome,
    },
    /// A part of a checkpoint of the ledger.
    Checkpoint(Part),
}

/// A part of a checkpoint: parts of one hash make it whole.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Part {
    /// The first offset that the checkpoint does not cover.
    pub next: u64,
    /// SHA-256 of the whole text, in hexadecimal.
    pub hash: SmolStr,
    /// Which part, from 0.
    pub part: u32,
    /// How many there are.
    pub parts: u32,
    /// The text of this part.
    pub text: String,
}
