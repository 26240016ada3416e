//! The ledger: the deterministic fold of the platform's log.
//!
//! Every instance folds the same records in the same order and so holds the same ledger. Nothing else
//! decides: an entry is in force only where the fold accepted it, at its offset, by what stands before it.
//! The fold looks at the content of records, their offsets and the log's time, and at nothing of the
//! instance that runs it.
//!
//! * [`Ledger::fold`] judges a record.
//! * [`rights`] holds placements against the caps, the memory and late orders.
//! * [`claims`] keeps a request that isn't idempotent from running twice.
//! * [`sequences`] keeps a record that lands twice from being judged twice.
//! * [`checkpoint`] turns a ledger into text and back.
//! * [`invariant`] says what must hold after every step.

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

/// Who serves a group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Stewardship {
    /// The process.
    pub by: record::Incarnation,
    /// The epoch: the high half of every fencing number.
    pub epoch: u64,
    /// The highest number of an order in this epoch.
    pub number: u64,
}

/// The state that the log's records add up to.
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
    /// The ledger before the log's first record.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The first offset that isn't folded.
    #[must_use]
    pub fn next(&self) -> u64 {
        self.next
    }

    /// The latest log time folded, in unix milliseconds. It never goes back, even if the log's does.
    #[must_use]
    pub fn time_ms(&self) -> u64 {
        self.time_ms
    }

    /// The version of the document in force, 0 while there is none.
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

    /// Who serves a group.
    #[must_use]
    pub fn steward(&self, group: &str) -> Option<&Stewardship> {
        self.stewards.get(group)
    }

    /// Who serves each group that ever had a steward.
    #[must_use]
    pub fn stewards(&self) -> &BTreeMap<SmolStr, Stewardship> {
        &self.stewards
    }

    /// Every placement that is counted against memory and cap.
    #[must_use]
    pub fn rights(&self) -> &BTreeMap<right::Key, right::Right> {
        self.rights.all()
    }

    /// One placement.
    #[must_use]
    pub fn right(&self, key: &right::Key) -> Option<&right::Right> {
        self.rights.all().get(key)
    }

    /// A claimed key.
    #[must_use]
    pub fn claim(&self, key: &claim::Key) -> Option<&claim::Claim> {
        self.claims.get(key)
    }

    /// How many keys are remembered.
    #[must_use]
    pub fn claim_count(&self) -> usize {
        self.claims.len()
    }

    /// The highest sequence taken from an incarnation, 0 for none.
    #[must_use]
    pub fn sequence(&self, by: &record::Incarnation) -> u64 {
        self.sequences.highest(by)
    }

    /// Puts a ledger that folded further in place of this one: what an instance does that was cut off until
    /// the log no longer held the next record. A ledger that folded no further is refused, so neither
    /// [`Self::next`] nor [`Self::version`] ever goes back, whatever a peer or an old checkpoint offers.
    ///
    /// # Errors
    ///
    /// [`Stale`] when `newer` did not fold further; this ledger stays as it is.
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

/// A ledger was offered that did not fold further than the one held.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Stale {
    /// The first offset that the ledger held doesn't cover.
    pub held: u64,
    /// The first offset that the one offered doesn't cover.
    pub offered: u64,
}

impl std::fmt::Display for Stale {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "the ledger offered covers the log up to {}, the one held up to {}",
            self.offered, self.held
        )
    }
}

impl std::error::Error for Stale {}
