//! The weight store and the checkpoints on disk and in memory, as a model of load times.

use std::collections::BTreeMap;

use fireflywheel::{item, placement, report};
use smol_str::SmolStr;

/// The duration of a load from disk, as a ratio of a load from the weight store.
const DISK_LOAD_RATIO: f64 = 0.4;

/// The duration of a load from host memory, as a ratio of a load from the weight store.
const MEMORY_LOAD_RATIO: f64 = 0.1;

/// The duration of loads, and how concurrent loads slow each other down.
#[derive(Clone, Debug, Default)]
pub struct Store {
    pub loads_per_second: f64,
    /// The number of concurrent loads at full speed; with more, each takes longer in proportion.
    pub at_once: u32,
    pub adapters_at_once: u32,
    /// The factor by which the store is slowed down, both in its rate and in its speed.
    pub slowness: f64,
    /// The duration of each item's load from the store at full speed, in milliseconds.
    pub load_ms: BTreeMap<item::Item, u64>,
    /// Checkpoints on disk or in memory, by backend server.
    pub near: BTreeMap<SmolStr, Vec<report::Checkpoint>>,
    pub remote_loads: u64,
    /// The earliest time at which the rate limit permits the next load to start.
    next_start: f64,
    /// End times of the model loads in progress.
    model_load_ends: Vec<u64>,
    /// End times of the adapter loads in progress.
    adapter_load_ends: Vec<u64>,
}

impl Store {
    /// Starts a load and returns its duration in milliseconds.
    pub fn start(&mut self, now: u64, server: &SmolStr, item: &item::Item) -> u64 {
        let full_speed_ms = self.load_ms.get(item).copied().unwrap_or(300) as f64;
        if item.adapter.is_some() {
            self.adapter_load_ends.retain(|end| *end > now);
            let duration_ms = full_speed_ms
                * concurrency_slowdown(self.adapter_load_ends.len(), self.adapters_at_once);
            self.adapter_load_ends.push(now + duration_ms as u64);
            return duration_ms as u64;
        }
        match self.source(server, item) {
            placement::Source::Memory => (full_speed_ms * MEMORY_LOAD_RATIO) as u64,
            placement::Source::Disk => (full_speed_ms * DISK_LOAD_RATIO) as u64,
            placement::Source::Remote => self.start_remote(now, full_speed_ms),
        }
    }

    pub fn source(&self, server: &SmolStr, item: &item::Item) -> placement::Source {
        let near = self.near.get(server);
        let found = near.and_then(|near| near.iter().find(|checkpoint| checkpoint.item == *item));
        found.map_or(placement::Source::Remote, |checkpoint| checkpoint.source)
    }

    fn start_remote(&mut self, now: u64, full_speed_ms: f64) -> u64 {
        self.remote_loads += 1;
        self.model_load_ends.retain(|end| *end > now);
        let start = self.next_start.max(now as f64);
        self.next_start = start + 1_000.0 * self.slowness / self.loads_per_second;
        let load_ms = full_speed_ms
            * self.slowness
            * concurrency_slowdown(self.model_load_ends.len(), self.at_once);
        let duration_ms = (start - now as f64 + load_ms) as u64;
        self.model_load_ends.push(now + duration_ms);
        duration_ms
    }
}

/// The factor by which a load is slowed down by `others` concurrent loads.
fn concurrency_slowdown(others: usize, at_once: u32) -> f64 {
    ((others + 1) as f64 / f64::from(at_once.max(1))).max(1.0)
}
