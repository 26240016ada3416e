//! Deduplication of records: a record is evaluated once, wherever its copies are in the log.
//!
//! Without it, an append whose answer was lost would be sent again, both copies would be in the log, and the
//! second copy would be evaluated as a new record, perhaps days later. An instance has one append in flight
//! and numbers its records in ascending order, so the highest sequence of each incarnation is enough to
//! recognize every copy.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::pairs;
use crate::record;

/// The age that an incarnation and its last record must both exceed before the incarnation is removed: 30 days
/// of log time.
pub const INCARNATION_TTL_MS: u64 = 30 * 24 * 60 * 60 * 1000;

/// The prefix of the instance names of operators' command lines.
pub const OPERATOR_PREFIX: &str = "operator/";

/// The highest sequence of each known incarnation.
///
/// An incarnation is removed when its number and its last record are both older than [`INCARNATION_TTL_MS`]. If
/// a copy of one of its records appears in the log later, the incarnation is unknown, and an unknown
/// incarnation with such an old number is always rejected, since it cannot be new. Removal therefore never
/// lets a copy through, and a process that appends at least once in that time stays known.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Sequences {
    #[serde(with = "pairs")]
    newest: BTreeMap<record::Incarnation, Newest>,
}

/// The newest record of one incarnation.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
struct Newest {
    sequence: u64,
    /// Log time of the record in Unix milliseconds.
    time_ms: u64,
}

/// Whether a record is to be evaluated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Freshness {
    /// The record is new and is evaluated.
    New,
    /// A copy of the record, or a later record of its incarnation, was already evaluated.
    Duplicate,
    /// The incarnation has expired, since it appended nothing for [`INCARNATION_TTL_MS`].
    Expired,
}

/// Whether the writer is an operator's command line. No sequence is stored for these, since each is a process
/// of its own and thousands a day would fill the table. Only their publications are accepted, and a copy of a
/// publication is rejected because its base version was replaced by the first copy.
pub(super) fn is_operator(by: &record::Incarnation) -> bool {
    by.instance.starts_with(OPERATOR_PREFIX)
}

impl Sequences {
    /// The highest sequence folded from an incarnation; 0 if there is none.
    pub(super) fn highest(&self, by: &record::Incarnation) -> u64 {
        self.newest.get(by).map_or(0, |newest| newest.sequence)
    }

    /// Checks whether a record is new, and stores its sequence if so.
    pub(super) fn check_and_record(&mut self, id: &record::Id, time_ms: u64) -> Freshness {
        if is_operator(&id.by) {
            return Freshness::New;
        }
        let new = Newest {
            sequence: id.sequence,
            time_ms,
        };
        if let Some(newest) = self.newest.get_mut(&id.by) {
            if id.sequence <= newest.sequence {
                return Freshness::Duplicate;
            }
            *newest = new;
            return Freshness::New;
        }
        if is_old(id.by.number, time_ms) {
            return Freshness::Expired;
        }
        if id.sequence == 0 {
            return Freshness::Duplicate;
        }
        self.remove_expired(time_ms);
        self.newest.insert(id.by.clone(), new);
        Freshness::New
    }

    /// Removes expired incarnations. It runs whenever the table grows, so that the table holds at most the
    /// incarnations of one [`INCARNATION_TTL_MS`].
    fn remove_expired(&mut self, time_ms: u64) {
        self.newest
            .retain(|by, newest| !is_old(by.number, time_ms) || !is_old(newest.time_ms, time_ms));
    }
}

fn is_old(then_ms: u64, now_ms: u64) -> bool {
    then_ms.saturating_add(INCARNATION_TTL_MS) < now_ms
}
