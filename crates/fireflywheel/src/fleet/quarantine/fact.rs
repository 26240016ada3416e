//! What instances tell each other of crashes and parts. Times are ages at the moment of sending, in milliseconds: the clocks of
//! two instances are never compared.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::fleet::announcement::Process;

/// What may crash the servers of a group: a part of prompts, or the load of a model or adapter. Its name may be long, so a
/// hash stands for it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Part(u64);

impl Part {
    /// The part of this name in prompts to the servers of a group.
    #[must_use]
    pub fn new(group: &str, name: &str) -> Self {
        Self(xxh3::xxh3_64_with_seed(
            name.as_bytes(),
            xxh3::xxh3_64(group.as_bytes()),
        ))
    }

    /// The load of a model, or of an adapter of it.
    #[must_use]
    pub fn of_load(group: &str, model: &str, adapter: Option<&str>) -> Self {
        // No name of a part in a header has a line feed.
        let name = format!("load\n{model}\n{}", adapter.unwrap_or_default());
        Self::new(group, &name)
    }
}

impl fmt::Display for Part {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A process that has ended while it ran requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Crash {
    /// The process.
    pub process: Process,
    /// The time since its end.
    pub age_ms: u32,
    /// The processes of instances that have found that it has ended.
    pub witnesses: Vec<u64>,
    /// Whether there are enough of them.
    #[serde(rename = "confirmed")]
    pub is_confirmed: bool,
    /// The parts that it had just begun to answer, with the number of whole answers before.
    pub suspects: Vec<(Part, u32)>,
}

/// A process that has answered after it was thought to have crashed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Survivor {
    /// The process.
    pub process: Process,
    /// The time since it has answered.
    pub age_ms: u32,
}

/// A part that was answered to the end.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Clearance {
    /// The part.
    pub part: Part,
    /// The time since the last whole answer.
    pub age_ms: u32,
}

/// A quarantined part.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Verdict {
    /// The part.
    pub part: Part,
    /// The time since the last crash that led to it.
    pub age_ms: u32,
    /// The number of requests with it that were let through since.
    pub trials: u32,
    /// The time since the last of them.
    pub trial_age_ms: Option<u32>,
}

/// What an instance knows, or what is new of it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Facts {
    /// Processes that have crashed.
    pub crashes: Vec<Crash>,
    /// Processes that have answered after they were thought to have crashed.
    pub survivors: Vec<Survivor>,
    /// Parts that were answered to the end since a crash.
    pub clearances: Vec<Clearance>,
    /// Quarantined parts.
    pub verdicts: Vec<Verdict>,
}

/// What an instance tells the steward with its demand.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// What is new.
    pub facts: Facts,
    /// Quarantined parts with which a request waits to be let through.
    pub trial_requests: Vec<Part>,
}

impl Facts {
    /// Whether there is nothing to tell.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}
