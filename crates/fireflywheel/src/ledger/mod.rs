//! The ledger: the deterministic fold of the platform's log.
//!
//! Every instance folds the same records in the same order and therefore holds the same ledger. Nothing else
//! decides: an entry is in force only if the fold accepted it at its offset, given the records before it. The
//! fold depends on the content of records, their offsets and the log's time, and on nothing of the instance
//! that runs it.
//!
//! * [`Ledger::fold`] evaluates the entries of a record.
//! * [`rights`] checks placements against the caps, the memory and late orders.
//! * [`claims`] keeps a non-idempotent request from running twice.
//! * [`sequences`] keeps a record that is in the log twice from being evaluated twice.
//! * [`checkpoint`] serializes a ledger as text and restores it.
//! * [`invariant`] checks what must hold after every step.

pub mod checkpoint;
pub mod claims;
mod fold;
pub mod invariant;
mod orders;
mod pairs;
mod pins;
pub mod rights;
pub mod sequences;

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{claim, document, record, right};

pub use fold::{Decision, FoldError, Folded, Reason};

/// The steward of a group in one epoch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Stewardship {
    /// The process that is the steward.
    pub by: record::Incarnation,
    /// The epoch, which is the high half of every fencing number.
    pub epoch: u64,
    /// The highest order number in this epoch.
    pub number: u64,
}

/// The state that results from folding the records of the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Ledger {
    next: u64,
    time_ms: u64,
    version: u64,
    text: Arc<str>,
    document: Arc<document::Document>,
    sequences: sequences::Sequences,
    stewards: BTreeMap<SmolStr, Stewardship>,
    rights: rights::Rights,
    claims: claims::Claims,
}

impl Default for Ledger {
    fn default() -> Self {
        Self {
            next: 0,
            time_ms: 0,
            version: 0,
            text: Arc::from(""),
            document: Arc::default(),
            sequences: sequences::Sequences::default(),
            stewards: BTreeMap::new(),
            rights: rights::Rights::default(),
            claims: claims::Claims::default(),
        }
    }
}

impl Ledger {
    /// Creates the ledger before the first record of the log.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The first offset that has not been folded.
    #[must_use]
    pub fn next(&self) -> u64 {
        self.next
    }

    /// The latest log time folded, in Unix milliseconds. It never decreases, even if the log's time does.
    #[must_use]
    pub fn time_ms(&self) -> u64 {
        self.time_ms
    }

    /// The version of the document in force; 0 while there is none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The text of the document in force.
    #[must_use]
    pub fn text(&self) -> &str {
        &self.text
    }

    /// The document in force; a default one while there is none.
    #[must_use]
    pub fn document(&self) -> &Arc<document::Document> {
        &self.document
    }

    /// The newest steward of a group.
    #[must_use]
    pub fn steward(&self, group: &str) -> Option<&Stewardship> {
        self.stewards.get(group)
    }

    /// The newest steward of each group that ever had one.
    #[must_use]
    pub fn stewards(&self) -> &BTreeMap<SmolStr, Stewardship> {
        &self.stewards
    }

    /// All placements that are counted against memory limits and replica caps.
    #[must_use]
    pub fn rights(&self) -> &BTreeMap<right::Key, right::Right> {
        self.rights.all()
    }

    /// The right for one placement, if it is counted.
    #[must_use]
    pub fn right(&self, key: &right::Key) -> Option<&right::Right> {
        self.rights.all().get(key)
    }

    /// The claim on a key, if there is one.
    #[must_use]
    pub fn claim(&self, key: &claim::Key) -> Option<&claim::Claim> {
        self.claims.get(key)
    }

    /// The number of claimed keys.
    #[must_use]
    pub fn claim_count(&self) -> usize {
        self.claims.len()
    }

    /// The highest sequence folded from an incarnation; 0 if there is none.
    #[must_use]
    pub fn sequence(&self, by: &record::Incarnation) -> u64 {
        self.sequences.highest(by)
    }

    /// Replaces this ledger by one that covers more of the log. An instance does this after it was cut off for
    /// so long that the log no longer holds its next record. A ledger that covers no more is rejected, so
    /// neither [`Self::next`] nor [`Self::version`] ever decreases, whatever a peer or an old checkpoint offers.
    ///
    /// # Errors
    ///
    /// Returns [`Stale`] when `newer` covers no more of the log or has an older version; this ledger is then
    /// unchanged.
    pub fn replace(&mut self, newer: Self) -> Result<(), Stale> {
        if newer.next <= self.next || newer.version < self.version {
            return Err(Stale {
                held: self.next,
                offered: newer.next,
            });
        }
        *self = newer;
        Ok(())
    }
}

/// The offered ledger does not cover more of the log than the current one, or has an older version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Stale {
    /// The first offset that the current ledger does not cover.
    pub held: u64,
    /// The first offset that the offered ledger does not cover.
    pub offered: u64,
}

impl std::fmt::Display for Stale {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "the offered ledger covers the log up to {}, the current one up to {}",
            self.offered, self.held
        )
    }
}

impl std::error::Error for Stale {}
