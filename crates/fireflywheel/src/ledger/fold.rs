//! The fold: how a record is judged.

use std::{fmt, sync::Arc};

use super::{Ledger, sequences};
use crate::{document, record};

/// How an entry was judged.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// In force from here on.
    Accepted,
    /// Without effect, and why.
    Rejected(Reason),
}

/// Why an entry is without effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// Made from a version that is not the newest.
    Base,
    /// The document has faults.
    Document,
    /// Not the epoch after the newest, or not the holder's.
    Epoch,
    /// The order's number does not rise.
    Number,
    /// The document does not name the item, the group or the version.
    Unknown,
    /// The replica cap.
    Cap,
    /// The backend server's memory.
    Memory,
    /// An adapter without its model, or a model with adapters on it.
    Dependence,
    /// The placement is not in the state that the entry needs.
    State,
    /// The key is claimed already, or the writer does not hold it.
    Claim,
    /// No more keys are remembered.
    Full,
    /// The pins may not be released yet.
    Pinned,
    /// The writer was silent for [`sequences::INCARNATION_TTL_MS`]; it must go on as a new incarnation.
    Expired,
    /// A command line of an operator may only publish.
    Writer,
}

/// What folding one record brought.
#[derive(Clone, Debug, PartialEq)]
pub struct Folded {
    /// The record's place in the log.
    pub offset: u64,
    /// Who wrote it.
    pub id: record::Id,
    /// Each entry with its judgement; empty when the id had been taken before.
    pub entries: Vec<(record::Entry, Decision)>,
}

/// Why a ledger can't go on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FoldError {
    /// The record is not the next one. When it is a later one, the log dropped those between, and only a
    /// checkpoint helps; see [`crate::bootstrap`].
    Gap {
        /// The offset that was due.
        next: u64,
        /// The offset that came.
        offset: u64,
    },
    /// The record was written under rules that this build doesn't know. Going on would judge it in another
    /// way than newer instances do, so this instance must stop until it is replaced.
    UnsupportedRules(u32),
}

impl fmt::Display for FoldError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Gap { next, offset } => {
                write!(f, "record {next} of the log is due, {offset} came")
            }
            Self::UnsupportedRules(rule) => write!(
                f,
                "the log holds records of rule {rule}, this build knows rules up to {}",
                record::RULES_VERSION
            ),
        }
    }
}

impl std::error::Error for FoldError {}

impl Ledger {
    /// Folds the log's next record. A body that is no record of ours is passed over.
    ///
    /// # Errors
    ///
    /// [`FoldError`]; the ledger is as it was.
    pub fn fold(&mut self, stored: &record::Stored) -> Result<Option<Folded>, FoldError> {
        if stored.offset != self.next {
            return Err(FoldError::Gap {
                next: self.next,
                offset: stored.offset,
            });
        }
        let record = record::Record::decode(&stored.body)
            .map_err(|record::UnsupportedRules(rule)| FoldError::UnsupportedRules(rule))?;
        self.next = stored.offset + 1;
        self.time_ms = self.time_ms.max(stored.time_ms);
        self.expire_claims();
        let Some(record) = record else {
            return Ok(None);
        };
        let entries = match self.sequences.take(&record.id, self.time_ms) {
            sequences::Place::New => self.judge_all(stored.offset, &record.id.by, record.entries),
            sequences::Place::Taken => Vec::new(),
            sequences::Place::Expired => void_all(record.entries, Reason::Expired),
        };
        Ok(Some(Folded {
            offset: stored.offset,
            id: record.id,
            entries,
        }))
    }

    fn judge_all(
        &mut self,
        offset: u64,
        by: &record::Incarnation,
        entries: Vec<record::Entry>,
    ) -> Vec<(record::Entry, Decision)> {
        let judged = entries.into_iter().map(|entry| {
            let judgement = match self.judge(offset, by, &entry) {
                Ok(()) => Decision::Accepted,
                Err(reason) => Decision::Rejected(reason),
            };
            (entry, judgement)
        });
        judged.collect()
    }

    fn judge(
        &mut self,
        offset: u64,
        by: &record::Incarnation,
        entry: &record::Entry,
    ) -> Result<(), Reason> {
        use record::Entry;
        if sequences::is_operator(by) && !matches!(entry, Entry::Publish { .. }) {
            return Err(Reason::Writer);
        }
        match entry {
            Entry::Publish { base, text } => self.publish(offset, *base, text),
            Entry::Steward { group, epoch } => self.take_group(offset, by, group, *epoch),
            Entry::Grant(order) => self.grant(offset, by, order),
            Entry::Withdraw(order) => self.withdraw(offset, by, order),
            Entry::Close {
                order,
                epoch,
                loaded,
                stray,
            } => self.close(offset, by, order, *epoch, *loaded, *stray),
            Entry::Acknowledge {
                group,
                epoch,
                stray,
            } => self.acknowledge(offset, by, group, *epoch, stray),
            Entry::Release {
                group,
                epoch,
                server,
                item,
            } => self.release(offset, by, group, *epoch, server, item),
            Entry::Gone {
                group,
                epoch,
                server,
                seen,
            } => self.gone(offset, by, group, *epoch, server, *seen),
            Entry::Claim { key, fingerprint } => self.claim_key(by, key, *fingerprint),
            Entry::Settle { key, outcome } => self.settle(by, key, outcome),
            Entry::Checkpoint(_) => Ok(()),
        }
    }

    /// Puts a document in force. It never voids a right: what is loaded under an older document stays
    /// counted, and only new rights are held against the new one.
    fn publish(&mut self, offset: u64, base: u64, text: &str) -> Result<(), Reason> {
        if base != self.version {
            return Err(Reason::Base);
        }
        let document = document::Document::parse(text).map_err(|_| Reason::Document)?;
        self.version = offset + 1;
        self.text = Arc::from(text);
        self.document = Arc::new(document);
        Ok(())
    }
}

fn void_all(entries: Vec<record::Entry>, reason: Reason) -> Vec<(record::Entry, Decision)> {
    let entries = entries.into_iter();
    entries
        .map(|entry| (entry, Decision::Rejected(reason)))
        .collect()
}
