//! Construction of an instance's ledger, from the first record of the log or from a checkpoint and the records
//! after it.
//!
//! The log retains records for a limited time. Once it has dropped the first record, an instance reads the
//! retained ones, collects the checkpoints in them, and starts from the newest complete checkpoint that the
//! retained records continue without a gap. Peers send checkpoints too, in the same parts. Only parts are kept
//! while the log is read, and the records after the checkpoint are read a second time, so the memory use does
//! not grow with the log.
//!
//! An instance that already holds a ledger, and whose next record the log has dropped, starts with
//! [`Bootstrap::resume_from`] and accepts only a checkpoint that covers more than its ledger. A checkpoint that
//! covers less would restore an older document and rights that were removed.

use std::{collections::BTreeMap, fmt};

use smol_str::SmolStr;

use crate::{
    ledger::{self, checkpoint},
    record,
};

/// Maximum number of checkpoints whose parts are collected at once. Instances may append several checkpoints at
/// the same time. A checkpoint that was abandoned halfway stays incomplete, and is dropped for newer ones.
const MAX_CHECKPOINTS: usize = 4;

/// The state of an instance until it has a ledger.
#[derive(Debug, Default)]
pub struct Bootstrap {
    /// A checkpoint is usable only if it covers more than the records below this offset.
    floor: u64,
    /// The oldest offset that the log retains; `None` until the log was read.
    first: Option<u64>,
    /// The next offset to read.
    from: u64,
    /// The end of the log at the first read.
    until: u64,
    /// The version of the rules of a record that this build does not support.
    unsupported_rules: Option<u32>,
    checkpoints: BTreeMap<CheckpointId, Checkpoint>,
}

/// Identifies a checkpoint.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct CheckpointId {
    next: u64,
    hash: SmolStr,
}

/// The parts of a checkpoint that were collected so far.
#[derive(Debug, Default)]
struct Checkpoint {
    parts: BTreeMap<u32, record::Part>,
    /// Whether a peer sent any of the parts.
    from_peer: bool,
}

impl Checkpoint {
    fn is_complete(&self) -> bool {
        let part = self.parts.values().next();
        part.is_some_and(|part| usize::try_from(part.parts) == Ok(self.parts.len()))
    }
}

/// Why there is no ledger yet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Status {
    /// Neither the log nor a peer has answered.
    NoResponse,
    /// The log is being read for checkpoints.
    ReadingLog {
        /// The next offset to read.
        from: u64,
        /// The offset to read up to.
        until: u64,
    },
    /// The log no longer holds its first record, and there is no complete checkpoint that the retained records
    /// continue.
    NoCheckpoint {
        /// The oldest offset that the log retains.
        first: u64,
    },
}

impl fmt::Display for Status {
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
    /// Creates the state of an instance that holds no ledger.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates the state of an instance whose ledger covers the records before `next`, when the log has dropped the
    /// record at `next`.
    #[must_use]
    pub fn resume_from(next: u64) -> Self {
        Self {
            floor: next,
            ..Self::default()
        }
    }

    /// The offset that a checkpoint must exceed to be usable.
    #[must_use]
    pub fn floor(&self) -> u64 {
        self.floor
    }

    /// The next offset to read, while the log is read for checkpoints; `None` once its end was reached. Records that
    /// are added later are still searched.
    #[must_use]
    pub fn read_from(&self) -> Option<u64> {
        let is_reading = self.first.is_none() || self.from < self.until;
        is_reading.then_some(self.from)
    }

    /// Why there is no ledger yet.
    #[must_use]
    pub fn status(&self) -> Status {
        match self.first {
            None => Status::NoResponse,
            Some(_) if self.from < self.until => Status::ReadingLog {
                from: self.from,
                until: self.until,
            },
            Some(first) => Status::NoCheckpoint { first },
        }
    }

    /// Adds the log's answer to a read from [`Self::read_from`]: the oldest offset that the log retains, the offset
    /// of its next record, and records in order.
    pub fn add_records(&mut self, first: u64, next: u64, records: Vec<record::Stored>) {
        if self.first.is_none() {
            self.until = next;
        }
        self.first = Some(first);
        self.from = self.from.max(first);
        for stored in records {
            if stored.offset >= self.from {
                self.from = stored.offset + 1;
                self.collect_parts(&stored.body);
            }
        }
        self.checkpoints.retain(|id, _| id.next >= first);
    }

    /// Adds a part that a peer sent.
    pub fn add_part(&mut self, part: record::Part) {
        self.collect_part(part, true);
    }

    /// Builds the ledger to start from, once that is possible. Each checkpoint is used once. The log is then to be
    /// read from the ledger's [`ledger::Ledger::next`].
    ///
    /// # Errors
    ///
    /// Returns [`ledger::FoldError::UnsupportedRules`] when the log or a peer uses rules that this build does not
    /// support.
    pub fn build_ledger(&mut self) -> Result<Option<ledger::Ledger>, ledger::FoldError> {
        if let Some(rules) = self.unsupported_rules {
            return Err(ledger::FoldError::UnsupportedRules(rules));
        }
        if self.first == Some(0) && self.floor == 0 {
            return Ok(Some(ledger::Ledger::new()));
        }
        while let Some(id) = self.newest_usable() {
            let checkpoint = self.checkpoints.remove(&id).unwrap_or_default();
            let parts: Vec<record::Part> = checkpoint.parts.into_values().collect();
            match ledger::Ledger::restore(&parts) {
                Ok(ledger) => {
                    self.checkpoints.retain(|other, _| other.next > id.next);
                    return Ok(Some(ledger));
                }
                Err(checkpoint::Error::UnsupportedRules(rules)) => {
                    return Err(ledger::FoldError::UnsupportedRules(rules));
                }
                // The checkpoint is damaged or forged; the next newest one may be usable.
                Err(_) => {}
            }
        }
        Ok(None)
    }

    /// The newest complete checkpoint that is usable. A checkpoint from the log is usable only after the log was
    /// read to its end, since a newer one may follow; a checkpoint from a peer is as new as the peer.
    fn newest_usable(&self) -> Option<CheckpointId> {
        let is_read = self.read_from().is_none();
        let first = self.first.unwrap_or(0);
        let usable = self.checkpoints.iter().filter(|(id, checkpoint)| {
            let can_continue = id.next >= first && id.next > self.floor;
            can_continue && (is_read || checkpoint.from_peer) && checkpoint.is_complete()
        });
        usable.map(|(id, _)| id.clone()).next_back()
    }

    fn collect_parts(&mut self, body: &str) {
        match record::Record::decode(body) {
            Ok(Some(record)) => {
                for entry in record.entries {
                    if let record::Entry::Checkpoint(part) = entry {
                        self.collect_part(part, false);
                    }
                }
            }
            Ok(None) => {}
            Err(record::UnsupportedRules(rules)) => self.unsupported_rules = Some(rules),
        }
    }

    fn collect_part(&mut self, part: record::Part, from_peer: bool) {
        let has_valid_size = part.text.len() <= checkpoint::MAX_PART_BYTES;
        let has_valid_index = part.part < part.parts && part.parts <= checkpoint::MAX_PARTS;
        let is_useful = part.next > self.floor && part.next >= self.first.unwrap_or(0);
        if !has_valid_size || !has_valid_index || !is_useful {
            return;
        }
        let id = CheckpointId {
            next: part.next,
            hash: part.hash.clone(),
        };
        let checkpoint = self.checkpoints.entry(id.clone()).or_default();
        if checkpoint
            .parts
            .values()
            .any(|other| other.parts != part.parts)
        {
            return;
        }
        checkpoint.from_peer |= from_peer;
        checkpoint.parts.insert(part.part, part);
        self.drop_older(&id);
    }

    /// Limits the number of collected checkpoints: a complete one makes all older ones useless, and of too many,
    /// the oldest incomplete one is dropped.
    fn drop_older(&mut self, changed: &CheckpointId) {
        if self
            .checkpoints
            .get(changed)
            .is_some_and(Checkpoint::is_complete)
        {
            self.checkpoints.retain(|id, _| id.next >= changed.next);
        }
        while self.checkpoints.len() > MAX_CHECKPOINTS {
            let incomplete = self
                .checkpoints
                .iter()
                .find(|(_, checkpoint)| !checkpoint.is_complete());
            let oldest = incomplete.or_else(|| self.checkpoints.iter().next());
            let Some(id) = oldest.map(|(id, _)| id.clone()) else {
                return;
            };
            self.checkpoints.remove(&id);
        }
    }
}
