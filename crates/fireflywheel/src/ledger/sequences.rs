//! Which records were taken: a record is judged once, wherever its copies land.
//!
//! What goes wrong without it: an append whose answer was lost is sent again, both copies are in the log,
//! and the second is judged as if it were meant anew, perhaps days later. An instance has one append in
//! flight and numbers its records upwards, so the highest sequence of each incarnation tells every copy.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::pairs;
use crate::record;

/// How long an incarnation may be silent, and how old it must be, until it is forgotten: 30 days of log time.
pub const INCARNATION_TTL_MS: u64 = 30 * 24 * 60 * 60 * 1000;

/// The start of the instance names of operators' command lines.
pub const OPERATOR_PREFIX: &str = "operator/";

/// The highest sequence of each incarnation that is remembered.
///
/// An incarnation is forgotten when its number and its last record are both older than [`INCARNATION_TTL_MS`]. A copy
/// of one of its records that lands later still finds it unknown, and an unknown incarnation with a number
/// that old is refused for ever: it can't be new. So forgetting never lets a copy in, and a process that
/// appends at least once in that time lives on.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Sequences {
    #[serde(with = "pairs")]
    taken: BTreeMap<record::Incarnation, Taken>,
}

/// What was taken from one incarnation.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
struct Taken {
    sequence: u64,
    time_ms: u64,
}

/// Whether a record is to be judged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Place {
    /// It is.
    New,
    /// A copy of it, or a later record of its incarnation, was judged before.
    Taken,
    /// Its incarnation is over, since it was silent for so long.
    Expired,
}

/// Whether a command line of an operator wrote it. These keep no sequence, since each is a process of its
/// own and thousands a day would fill the table. Only their publications count, and a copy of one is made
/// from a version that its first landing replaced.
pub(super) fn is_operator(by: &record::Incarnation) -> bool {
    by.instance.starts_with(OPERATOR_PREFIX)
}

impl Sequences {
    /// The highest sequence taken from an incarnation, 0 for none.
    pub(super) fn highest(&self, by: &record::Incarnation) -> u64 {
        self.taken.get(by).map_or(0, |taken| taken.sequence)
    }

    /// Takes a record's place, if it is still free.
    pub(super) fn take(&mut self, id: &record::Id, time_ms: u64) -> Place {
        if is_operator(&id.by) {
            return Place::New;
        }
        let new = Taken {
            sequence: id.sequence,
            time_ms,
        };
        if let Some(taken) = self.taken.get_mut(&id.by) {
            if id.sequence <= taken.sequence {
                return Place::Taken;
            }
            *taken = new;
            return Place::New;
        }
        if is_old(id.by.number, time_ms) {
            return Place::Expired;
        }
        if id.sequence == 0 {
            return Place::Taken;
        }
        self.forget(time_ms);
        self.taken.insert(id.by.clone(), new);
        Place::New
    }

    /// Called where the table grows, so that it holds the incarnations of one life at most.
    fn forget(&mut self, time_ms: u64) {
        self.taken
            .retain(|by, taken| !is_old(by.number, time_ms) || !is_old(taken.time_ms, time_ms));
    }
}

fn is_old(then_ms: u64, now_ms: u64) -> bool {
    then_ms.saturating_add(INCARNATION_TTL_MS) < now_ms
}
