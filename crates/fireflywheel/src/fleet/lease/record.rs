//! What is written to the store for the lease, and what its holder tells a successor.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::fleet::era::{Era, Position};
use crate::fleet::{origin, quarantine, tunnel};

/// Fencing numbers between two takeovers, as a power of two. The number of a takeover derives from the
/// position of its record, so it is above all earlier numbers; each hand-over adds one.
const HAND_OVER_BITS: u32 = 10;

/// Offsets of one era, as a power of two: more than eight billion.
const OFFSET_BITS: u32 = 33;

/// The highest era that fencing numbers distinguish; later eras share its numbers.
const MAX_FENCING_ERA: u64 = (1 << (u64::BITS - OFFSET_BITS - HAND_OVER_BITS)) - 1;

/// The lease's record in the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// The holder's instance name.
    pub instance: SmolStr,
    /// Distinguishes processes that run under the same instance name.
    pub incarnation: u64,
    /// The address at which peers reach the holder.
    pub address: SmolStr,
    /// The holder's fencing number; absent from the record of the takeover itself, whose position
    /// determines it.
    pub fencing: Option<u64>,
    /// The holder has released the lease.
    pub released: bool,
    /// The era in which the record was written; `None` in records of versions that do not know eras.
    #[serde(default)]
    pub era: Option<Era>,
}

impl Record {
    /// The holder's fencing number, given the offset of the record.
    pub(super) fn fencing_at(&self, offset: u64) -> u64 {
        let era = self.era.unwrap_or_default();
        self.fencing
            .unwrap_or_else(|| takeover_fencing(Position { era, offset }))
    }
}

/// The result of reading the lease's record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reading {
    /// The newest record and its offset; `None` if the lease was never written.
    pub record: Option<(u64, Record)>,
    /// The position that the next record will have.
    pub end: Position,
    /// What was written with the record.
    pub attachment: Attachment,
}

/// What is written with the lease's record, for instances that nobody else tells.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Attachment {
    /// The secret of the fleet's tunnels; absent from releases without gateways.
    #[serde(default)]
    pub secret: Option<tunnel::Secret>,
    /// The versions of groups' servers that the writer had seen; absent from releases that don't distinguish them.
    #[serde(default)]
    pub versions: Option<origin::Versions>,
    /// The quarantined parts of prompts.
    #[serde(default)]
    pub quarantined: Vec<quarantine::Verdict>,
    /// The groups in which the writer or an earlier steward may have recorded streams that nobody would take for those from
    /// before a release; `None` if that isn't known.
    #[serde(default)]
    pub recorded_groups: Option<BTreeSet<SmolStr>>,
}

impl Reading {
    /// The reading without a record of an earlier era, which does not show who holds the lease now.
    pub(super) fn current(self) -> Self {
        let era = self.end.era;
        let is_current = |record: &Record| record.era.is_none_or(|record_era| record_era == era);
        Self {
            record: self.record.filter(|(_, record)| is_current(record)),
            ..self
        }
    }
}

/// When an instance last sent orders to engines.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LastOrder {
    /// The instance's name, which its processes have in common.
    pub instance: SmolStr,
    /// The time since then, in milliseconds.
    pub age_ms: u32,
}

/// A transfer of the lease from its holder to a successor, without the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HandOver {
    /// The successor's fencing number.
    pub fencing: u64,
    /// The end of the log of the lease's record.
    pub end: Position,
    /// The process that hands over. Another process of the same instance may have continued with its number
    /// since.
    #[serde(default)]
    pub incarnation: u64,
    /// The instances that have sent orders within a term, including the one that hands over.
    #[serde(default)]
    pub last_orders: Vec<LastOrder>,
}

/// The fencing number of a takeover: above those of all earlier eras and of all earlier offsets of its own
/// era.
pub(super) fn takeover_fencing(position: Position) -> u64 {
    let era = position.era.0.min(MAX_FENCING_ERA);
    (era << OFFSET_BITS | position.offset) << HAND_OVER_BITS
}
