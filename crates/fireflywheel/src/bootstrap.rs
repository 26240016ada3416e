//! How an instance comes to a ledger: from the log's first record, or from a checkpoint and the tail.
//!
//! The log keeps records for a limited time. Once it has dropped the first one, an instance reads what is
//! retained, gathers the checkpoints in it, and goes on from the newest whole one that the retained records
//! join without a gap. Peers hand over checkpoints too, in the same parts. Only parts are kept while it
//! reads: the records after the checkpoint are read once more, so the memory taken doesn't grow with the log.
//!
//! An instance that already holds a ledger and lost its place in the log starts with [`Bootstrap::resume_from`], and
//! takes only a checkpoint that goes further. One that goes less far would bring back an older document,
//! and rights that were given up.

use std::{collections::BTreeMap, fmt};

use smol_str::SmolStr;

use crate::{
    ledger::{self, checkpoint},
    record,
};

/// Checkpoints gathered at once at most. Instances may append several at the same time; of one that was
/// abandoned halfway the parts stay incomplete, and are dropped for newer ones.
const SETS_LIMIT: usize = 4;

/// What an instance does until it has a ledger.
#[derive(Debug, Default)]
pub struct Bootstrap {
    /// Only a checkpoint that covers more than this is of use.
    above: u64,
    /// The oldest offset that the log retains, once it was read.
    first: Option<u64>,
    /// The next offset to read.
    from: u64,
    /// The log's end when it was read first.
    until: u64,
    /// The rule of a newer record.
    newer: Option<u32>,
    gathered: BTreeMap<Name, Set>,
}

/// Names a checkpoint.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Name {
    next: u64,
    hash: SmolStr,
}

/// The parts of a checkpoint so far.
#[derive(Debug, Default)]
struct Set {
    parts: BTreeMap<u32, record::Part>,
    by_peer: bool,
}

impl Set {
    fn is_whole(&self) -> bool {
        let part = self.parts.values().next();
        part.is_some_and(|part| usize::try_from(part.parts) == Ok(self.parts.len()))
    }
}

/// Why there is no ledger yet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Waiting {
    /// Neither the log nor a peer has answered.
    NoResponse,
    /// The log is being read for checkpoints.
    ReadingLog {
        /// The next offset to read.
        from: u64,
        /// The offset to read up to.
        until: u64,
    },
    /// The log no longer holds its first record, and no whole checkpoint that the rest joins.
    NoCheckpoint {
        /// The oldest offset that the log retains.
        first: u64,
    },
}

impl fmt::Display for Waiting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoResponse => f.write_str("neither the log nor a peer has answered yet"),
            Self::ReadingLog { from, until } => {
                write!(f, "reading the log for a checkpoint, at {from} of {until}")
            }
            Self::NoCheckpoint { first } => write!(
                f,
                "the log starts at {first} and holds no whole checkpoint that its records join; \
                 waiting for one from the log or a peer"
            ),
        }
    }
}

impl Bootstrap {
    /// The start of an instance that holds nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The start of an instance that holds a ledger up to `next`, whose successor the log has dropped.
    #[must_use]
    pub fn resume_from(next: u64) -> Self {
        Self {
            above: next,
            ..Self::default()
        }
    }

    /// Only a checkpoint that covers more than this is of use.
    #[must_use]
    pub fn floor(&self) -> u64 {
        self.above
    }

    /// The next offset to read, while the log is read for checkpoints; `None` once its end was reached.
    /// Records that come later are still looked at.
    #[must_use]
    pub fn read_from(&self) -> Option<u64> {
        let scanning = self.first.is_none() || self.from < self.until;
        scanning.then_some(self.from)
    }

    /// Why there is no ledger yet.
    #[must_use]
    pub fn waiting(&self) -> Waiting {
        match self.first {
            None => Waiting::NoResponse,
            Some(_) if self.from < self.until => Waiting::ReadingLog {
                from: self.from,
                until: self.until,
            },
            Some(first) => Waiting::NoCheckpoint { first },
        }
    }

    /// Takes in what the log answered to a read from [`Self::read_from`]: the oldest offset that it retains,
    /// the offset of its next record, and records in order.
    pub fn add_records(&mut self, first: u64, next: u64, records: Vec<record::Stored>) {
        if self.first.is_none() {
            self.until = next;
        }
        self.first = Some(first);
        self.from = self.from.max(first);
        for stored in records {
            if stored.offset >= self.from {
                self.from = stored.offset + 1;
                self.look(&stored.body);
            }
        }
        self.gathered.retain(|name, _| name.next >= first);
    }

    /// Takes in a part that a peer sent.
    pub fn add_part(&mut self, part: record::Part) {
        self.gather(part, true);
    }

    /// The ledger to go on from, once there is one; each is handed out once. What comes next is to be read
    /// from its [`ledger::Ledger::next`].
    ///
    /// # Errors
    ///
    /// [`ledger::FoldError::UnsupportedRules`] when the log or a peer follows rules that this build doesn't know.
    pub fn build_ledger(&mut self) -> Result<Option<ledger::Ledger>, ledger::FoldError> {
        if let Some(rule) = self.newer {
            return Err(ledger::FoldError::UnsupportedRules(rule));
        }
        if self.first == Some(0) && self.above == 0 {
            return Ok(Some(ledger::Ledger::new()));
        }
        while let Some(name) = self.newest() {
            let set = self.gathered.remove(&name).unwrap_or_default();
            let parts: Vec<record::Part> = set.parts.into_values().collect();
            match ledger::Ledger::restore(&parts) {
                Ok(ledger) => {
                    self.gathered.retain(|other, _| other.next > name.next);
                    return Ok(Some(ledger));
                }
                Err(checkpoint::Fault::Rule(rule)) => {
                    return Err(ledger::FoldError::UnsupportedRules(rule));
                }
                // Damaged or forged: the next best may do.
                Err(_) => {}
            }
        }
        Ok(None)
    }

    /// The newest whole checkpoint that may be used. One out of the log waits for the scan's end, since a
    /// newer one may follow; a peer's is as new as the peer.
    fn newest(&self) -> Option<Name> {
        let scanned = self.read_from().is_none();
        let first = self.first.unwrap_or(0);
        let fit = self.gathered.iter().filter(|(name, set)| {
            let joins = name.next >= first && name.next > self.above;
            joins && (scanned || set.by_peer) && set.is_whole()
        });
        fit.map(|(name, _)| name.clone()).next_back()
    }

    fn look(&mut self, body: &str) {
        match record::Record::decode(body) {
            Ok(Some(record)) => {
                for entry in record.entries {
                    if let record::Entry::Checkpoint(part) = entry {
                        self.gather(part, false);
                    }
                }
            }
            Ok(None) => {}
            Err(record::UnsupportedRules(rule)) => self.newer = Some(rule),
        }
    }

    fn gather(&mut self, part: record::Part, by_peer: bool) {
        let sized = part.text.len() <= checkpoint::MAX_PART_BYTES;
        let counted = part.part < part.parts && part.parts <= checkpoint::MAX_PARTS;
        let useful = part.next > self.above && part.next >= self.first.unwrap_or(0);
        if !sized || !counted || !useful {
            return;
        }
        let name = Name {
            next: part.next,
            hash: part.hash.clone(),
        };
        let set = self.gathered.entry(name.clone()).or_default();
        if set.parts.values().any(|other| other.parts != part.parts) {
            return;
        }
        set.by_peer |= by_peer;
        set.parts.insert(part.part, part);
        self.drop_older(&name);
    }

    /// Keeps the sets few: a whole one makes the older ones useless, and of too many the oldest that is
    /// incomplete goes.
    fn drop_older(&mut self, changed: &Name) {
        if self.gathered.get(changed).is_some_and(Set::is_whole) {
            self.gathered.retain(|name, _| name.next >= changed.next);
        }
        while self.gathered.len() > SETS_LIMIT {
            let incomplete = self.gathered.iter().find(|(_, set)| !set.is_whole());
            let oldest = incomplete.or_else(|| self.gathered.iter().next());
            let Some(name) = oldest.map(|(name, _)| name.clone()) else {
                return;
            };
            self.gathered.remove(&name);
        }
    }
}
