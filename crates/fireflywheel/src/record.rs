//! Records of the platform's log, which instances and operators append and the ledger folds.
//!
//! A record is a batch of entries under one [`Id`]. Each entry carries its own preconditions and is evaluated
//! on its own; of conflicting entries, the first in log order wins. An append has no known result until the
//! record has been read back.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{claim, item};

/// The version of the rules by which this build evaluates records. A ledger does not fold a record with a newer
/// version, so two builds never evaluate one record differently.
pub const RULES_VERSION: u32 = 1;

/// One process, from its start to its end.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Incarnation {
    /// The instance's name in its settings.
    pub instance: SmolStr,
    /// The start time of the process in Unix milliseconds, raised above the number of any earlier incarnation that
    /// the process knows of.
    pub number: u64,
}

/// The writer of a record and the record's sequence number. A ledger evaluates each id once.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Id {
    /// The process that appended the record.
    pub by: Incarnation,
    /// The sequence number, which starts at 1 and rises by one with each record of the incarnation. A record that
    /// is sent again keeps its number.
    pub sequence: u64,
}

/// A batch of entries.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// The [`RULES_VERSION`] of the build that wrote the record.
    pub rule: u32,
    /// The writer and the sequence number.
    pub id: Id,
    /// The entries, which are evaluated one by one in this order.
    pub entries: Vec<Entry>,
}

/// The part of a record that every version of the rules can read, even when entries change.
#[derive(Deserialize)]
struct Header {
    rule: u32,
    #[serde(rename = "id")]
    _id: Id,
}

/// The version of a record's rules, which this build does not support.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UnsupportedRules(pub u32);

impl Record {
    /// Encodes the record as the text to append.
    #[must_use]
    pub fn encode(&self) -> String {
        serde_json::to_string(self).expect("a record always has a JSON form")
    }

    /// Decodes the text of a stored record. Returns `None` when it is not a fireflywheel record.
    ///
    /// The version of the rules is checked before the entries are decoded: a newer version may have entries that
    /// this build cannot decode, and skipping them as foreign would let two builds evaluate one record
    /// differently.
    ///
    /// # Errors
    ///
    /// Returns [`UnsupportedRules`] when the record's version is above [`RULES_VERSION`].
    pub fn decode(body: &str) -> Result<Option<Self>, UnsupportedRules> {
        let Ok(header) = serde_json::from_str::<Header>(body) else {
            return Ok(None);
        };
        if header.rule > RULES_VERSION {
            return Err(UnsupportedRules(header.rule));
        }
        Ok(serde_json::from_str(body).ok())
    }
}

/// A record as it is read back from the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Stored {
    /// The record's offset in the log.
    pub offset: u64,
    /// The time in Unix milliseconds at which the log stored the record. A ledger knows no other time.
    pub time_ms: u64,
    /// The text that was appended, which need not be a fireflywheel record.
    pub body: String,
}

/// An order by a steward for one item on one backend server.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Order {
    /// The group that the backend server belongs to.
    pub group: SmolStr,
    /// The steward's epoch. The entry is rejected unless this is the group's newest epoch and the writer is its
    /// steward.
    pub epoch: u64,
    /// The number of the intent within the epoch, which starts at 1 and rises with each intent.
    pub number: u64,
    /// The backend server's address. Rights belong to an address, since a late order reaches whatever process
    /// answers there.
    pub server: SmolStr,
    /// The item to load or unload.
    pub item: item::Item,
}

/// One entry of a record, which the ledger accepts or rejects.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Entry {
    /// A new serving configuration, made from version `base` (0: from none). It is accepted only while `base` is
    /// the newest version. Its own version is the offset of its record plus one.
    Publish {
        /// The version that the document was made from.
        base: u64,
        /// The text of the whole document.
        text: String,
    },
    /// The writer becomes the steward of a group. The entry is accepted only with the epoch after the newest.
    Steward {
        /// The group.
        group: SmolStr,
        /// The newest epoch plus one.
        epoch: u64,
    },
    /// The steward intends to load an item. The entry opens an intent and is counted against the memory limit and
    /// the replica cap.
    Grant(Order),
    /// The steward intends to unload an item. The entry opens an intent; the placement stays counted.
    Withdraw(Order),
    /// The outcome of an open intent. It is the engine's answer to an order or a query of the writer's epoch that
    /// was sent after the intent was read back; it never comes from a report, and an intent is never closed
    /// without an answer. Where engines check fencing numbers, the answer proves that the engine refuses orders
    /// of older epochs, and the entry ends the pins of these epochs there.
    Close {
        /// The order of the intent. Its epoch is older than the writer's if the writer inherited the intent.
        order: Order,
        /// The writer's epoch.
        epoch: u64,
        /// Whether the item is loaded now.
        loaded: bool,
        /// Whether a copy of an order may still arrive, because an answer was lost and the engine does not check
        /// fencing numbers.
        stray: bool,
    },
    /// The writer sends no more orders of an old epoch of its own. The entry ends the pins on orders of that epoch,
    /// except for the orders listed in `stray`, of which a copy may still arrive.
    Acknowledge {
        /// The group.
        group: SmolStr,
        /// The epoch that has ended.
        epoch: u64,
        /// Numbers of the orders of which a copy may still arrive, because their answer is outstanding or was lost.
        stray: Vec<u64>,
    },
    /// Ends the pins of one placement that are older than the group's `pin_release`; the ledger checks their age.
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
    /// The backend server is gone, and nothing is loaded there any more. Open intents to load on it are pinned,
    /// since their orders may reach a new process at the address.
    Gone {
        /// The group.
        group: SmolStr,
        /// The writer's epoch.
        epoch: u64,
        /// The backend server.
        server: SmolStr,
        /// The first offset that the writer had not folded at a time at which the server was gone. If the writer
        /// relies on a list that lags, this is the time since which the list has not contained the server,
        /// provided that the server has been absent for longer than the lag. A right that a record at this
        /// offset or later changed is left unchanged, since it may be about a new process at the address.
        seen: u64,
    },
    /// The writer is about to run a request that is not idempotent. The first claim of a key wins.
    Claim {
        /// The tenant and the caller's `Idempotency-Key`.
        key: claim::Key,
        /// A hash of the request. A different request with the same key is refused.
        fingerprint: u64,
    },
    /// The outcome of the writer's own claim.
    Settle {
        /// The claimed key.
        key: claim::Key,
        /// The outcome of the request.
        outcome: claim::Outcome,
    },
    /// A part of a checkpoint of the ledger.
    Checkpoint(Part),
}

/// A part of a checkpoint. All parts with the same hash together form the checkpoint.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Part {
    /// The first offset that the checkpoint does not cover.
    pub next: u64,
    /// The SHA-256 hash of the whole text, in hexadecimal.
    pub hash: SmolStr,
    /// The index of this part, from 0.
    pub part: u32,
    /// The number of parts.
    pub parts: u32,
    /// The text of this part.
    pub text: String,
}
