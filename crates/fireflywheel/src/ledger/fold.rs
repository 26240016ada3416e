//! The fold: how the entries of a record are evaluated.

use std::{fmt, sync::Arc};

use super::{Ledger, sequences};
use crate::{document, record};

/// The result of evaluating an entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The entry is in force from its offset on.
    Accepted,
    /// The entry has no effect, for this reason.
    Rejected(Reason),
}

/// Why an entry was rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The document was made from a version that is not the newest.
    Base,
    /// The document is invalid.
    Document,
    /// The epoch is not the one after the newest, or the writer is not the steward of the newest epoch.
    Epoch,
    /// The order's number is not above the highest number of the epoch.
    Number,
    /// The document does not define the item, the group or the version.
    Unknown,
    /// The entry would exceed the replica cap.
    Cap,
    /// The entry would exceed the memory of the backend server.
    Memory,
    /// The adapter's model is not loaded there, or the model to unload still has adapters.
    Dependency,
    /// The placement is not in the state that the entry requires.
    State,
    /// The key is already claimed, or the writer does not hold its open claim.
    Claim,
    /// The ledger already holds the maximum number of keys.
    Full,
    /// The pins may not be released, or not yet.
    Pinned,
    /// The writer appended nothing for [`sequences::INCARNATION_TTL_MS`]; it must continue as a new incarnation.
    Expired,
    /// The writer is an operator's command line, which may only publish.
    Writer,
}

/// The result of folding one record.
#[derive(Clone, Debug, PartialEq)]
pub struct Folded {
    /// The record's offset in the log.
    pub offset: u64,
    /// The record's id, which names its writer.
    pub id: record::Id,
    /// Each entry with its decision; empty when a record with this id was already folded.
    pub entries: Vec<(record::Entry, Decision)>,
}

/// Why a record cannot be folded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FoldError {
    /// The record is not the next one. If it is a later one, the log has dropped the records in between, and
    /// the ledger can only be restored from a checkpoint; see [`crate::bootstrap`].
    Gap {
        /// The expected offset.
        next: u64,
        /// The offset of the record.
        offset: u64,
    },
    /// The record was written under rules that this build does not support. It might evaluate the record
    /// differently from newer instances, so this instance must stop until it is replaced.
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
    /// Folds the next record of the log. Returns `None` for a body that is not a fireflywheel record, which is
    /// skipped.
    ///
    /// # Errors
    ///
    /// Returns [`FoldError`] when the record cannot be folded; the ledger is then unchanged.
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
        let entries = match self.sequences.check_and_record(&record.id, self.time_ms) {
            sequences::Freshness::New => {
                self.evaluate_all(stored.offset, &record.id.by, record.entries)
            }
            sequences::Freshness::Duplicate => Vec::new(),
            sequences::Freshness::Expired => reject_all(record.entries, Reason::Expired),
        };
        Ok(Some(Folded {
            offset: stored.offset,
            id: record.id,
            entries,
        }))
    }

    fn evaluate_all(
        &mut self,
        offset: u64,
        by: &record::Incarnation,
        entries: Vec<record::Entry>,
    ) -> Vec<(record::Entry, Decision)> {
        let evaluated = entries.into_iter().map(|entry| {
            let decision = match self.evaluate(offset, by, &entry) {
                Ok(()) => Decision::Accepted,
                Err(reason) => Decision::Rejected(reason),
            };
            (entry, decision)
        });
        evaluated.collect()
    }

    fn evaluate(
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
            Entry::Steward { group, epoch } => self.accept_steward(offset, by, group, *epoch),
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
            } => self.remove_gone_server(offset, by, group, *epoch, server, *seen),
            Entry::Claim { key, fingerprint } => self.claim_key(by, key, *fingerprint),
            Entry::Settle { key, outcome } => self.settle(by, key, outcome),
            Entry::Checkpoint(_) => Ok(()),
        }
    }

    /// Puts a document in force. It never revokes a right: what is loaded under an older document stays
    /// counted, and only new rights are checked against the new document.
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

fn reject_all(entries: Vec<record::Entry>, reason: Reason) -> Vec<(record::Entry, Decision)> {
    let entries = entries.into_iter();
    entries
        .map(|entry| (entry, Decision::Rejected(reason)))
        .collect()
}
