//! Eras of the platform's store.
//!
//! A store may come back from a copy that is some seconds old. What was written since is gone, and offsets are given out again. Each
//! return begins a new era, so an offset says where a record is only together with its era.

use std::fmt;

use serde::{Deserialize, Serialize};

/// How often the store has come back from an older copy.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Era(pub u64);

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A place in a log of the store.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Position {
    /// The era in which the offset was given out.
    pub era: Era,
    /// The offset.
    pub offset: u64,
}

impl Position {
    /// The place of the next record.
    #[must_use]
    pub fn next(self) -> Self {
        self.after(1)
    }

    /// The place so many records later.
    #[must_use]
    pub fn after(self, records: u64) -> Self {
        Self {
            offset: self.offset + records,
            ..self
        }
    }
}
