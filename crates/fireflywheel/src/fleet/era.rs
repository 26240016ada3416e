//! Eras of the platform's store.
//!
//! The store may be restored from a copy that is some seconds old. Everything written since the copy is
//! lost, and offsets are assigned again. Each restore begins a new era, so an offset identifies a record
//! only together with its era.

use std::fmt;

use serde::{Deserialize, Serialize};

/// How often the store has been restored from an older copy.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Era(pub u64);

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A position in a log of the store, ordered by era and offset.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Position {
    /// The era in which the offset was assigned.
    pub era: Era,
    /// The offset in the log.
    pub offset: u64,
}

impl Position {
    /// The position of the next record.
    #[must_use]
    pub fn next(self) -> Self {
        self.after(1)
    }

    /// The position `records` records later.
    #[must_use]
    pub fn after(self, records: u64) -> Self {
        Self {
            offset: self.offset + records,
            ..self
        }
    }
}
