//! Counts of an engine, and their evaluation over several engines.

use std::collections;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::Item;

/// One change in the set of items that an engine holds in memory.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// Unix time of the change, in microseconds.
    pub us: u64,
    /// The item that was loaded or freed.
    pub item: SmolStr,
    /// True if a load began, which allocates the memory; false if the item was freed or its load
    /// was abandoned.
    pub loaded: bool,
    /// Total memory in use after the change, in megabytes.
    pub memory_mb: u64,
}

/// The answer of an engine to `GET /v1/counts`. A restart in place keeps the counts.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Id of the current start of the engine.
    pub boot: SmolStr,
    /// Items that are loaded, sorted by name.
    pub loaded: Vec<SmolStr>,
    /// Memory in use, in megabytes.
    pub memory_mb: u64,
    /// Peak of the memory in use, in megabytes.
    pub peak_memory_mb: u64,
    /// Number of loads that began, by item.
    pub loads: collections::BTreeMap<SmolStr, u64>,
    /// All changes of the items in memory, in order of time.
    pub history: Vec<Change>,
    /// Number of runs that began, by request id.
    pub runs: collections::BTreeMap<SmolStr, u64>,
    /// Number of requests that are running.
    pub running: u64,
    /// Peak of the number of running requests.
    pub max_running: u64,
    /// Number of streams that a call cancelled.
    pub cancelled: u64,
    /// Number of stream deliveries that ended because the client disconnected.
    pub cut: u64,
}

/// Returns the peak number of replicas of a model or adapter over several engines. Replicas of all
/// versions count. `item` is the name that requests use: `MODEL` or `MODEL:ADAPTER`.
///
/// All histories must use the clock of one machine. For changes in the same microsecond on
/// different engines, loads are counted before frees.
#[must_use]
pub fn peak_replicas<'a, H>(histories: H, item: &str) -> usize
where
    H: IntoIterator<Item = &'a [Change]>,
{
    let mut changes: Vec<&Change> = histories
        .into_iter()
        .flatten()
        .filter(|change| requested_as(&change.item).as_deref() == Some(item))
        .collect();
    changes.sort_by_key(|change| (change.us, !change.loaded));
    let mut replicas = 0_usize;
    let mut peak = 0;
    for change in changes {
        if change.loaded {
            replicas += 1;
        } else {
            replicas = replicas.saturating_sub(1);
        }
        peak = peak.max(replicas);
    }
    peak
}

fn requested_as(item: &str) -> Option<SmolStr> {
    let item: Item = item.parse().ok()?;
    Some(item.requested_as())
}
