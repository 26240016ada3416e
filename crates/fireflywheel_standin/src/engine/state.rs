//! The state of an engine: the items in its memory, the fencing numbers it has seen, and its
//! counts. One lock guards all changes, and no change blocks.

use std::collections;

use rand::{RngCore as _, SeedableRng as _, rngs};
use smol_str::SmolStr;

use super::{Change, Counts, Item, Report, report};
use crate::clock;

/// The phase of an item in its life cycle.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// The memory is allocated, and the weights are still being transferred.
    Loading,
    /// The item accepts requests.
    Loaded,
    /// The item finishes its requests and accepts no new ones.
    Draining,
}

/// An item in memory.
#[derive(Clone, Copy, Debug)]
pub(super) struct Entry {
    pub(super) phase: Phase,
    memory_mb: u64,
    /// Distinguishes this load of the item from later loads.
    load_id: u64,
}

#[derive(Debug)]
pub(super) struct State {
    pub(super) boot: SmolStr,
    pub(super) role: SmolStr,
    pub(super) running: u64,
    pub(super) waiting: u64,
    pub(super) memory_mb: u64,
    pub(super) cache: report::PrefixCache,
    /// The highest fencing number seen in any order.
    highest_fencing: u64,
    /// The highest fencing number seen in orders for each item.
    item_fencing: collections::BTreeMap<SmolStr, u64>,
    entries: collections::BTreeMap<Item, Entry>,
    /// Number of requests that were accepted and have not ended, by item.
    active: collections::BTreeMap<Item, u64>,
    next_load_id: u64,
    counts: Counts,
    reports: Option<clock::Lagged<Report>>,
}

impl State {
    pub(super) fn new(fence_floor: u64) -> Self {
        Self {
            boot: random_id(),
            role: SmolStr::default(),
            running: 0,
            waiting: 0,
            memory_mb: 0,
            cache: report::PrefixCache::default(),
            highest_fencing: fence_floor,
            item_fencing: collections::BTreeMap::new(),
            entries: collections::BTreeMap::new(),
            active: collections::BTreeMap::new(),
            next_load_id: 0,
            counts: Counts::default(),
            reports: None,
        }
    }

    /// Resets the engine as a restart of its process does. The counts stay.
    pub(super) fn restart(&mut self, reset_fencing: bool) {
        let held: Vec<Item> = self.entries.keys().cloned().collect();
        for item in &held {
            self.free(item);
        }
        self.boot = random_id();
        self.role = SmolStr::default();
        self.running = 0;
        self.waiting = 0;
        self.active.clear();
        self.cache = report::PrefixCache::default();
        if reset_fencing {
            self.highest_fencing = 0;
            self.item_fencing.clear();
        }
    }

    // ---- Reports and counts ----

    pub(super) fn record_report(&mut self, now_ms: u64, report: Report) {
        match &mut self.reports {
            Some(reports) => reports.record(now_ms, report),
            None => self.reports = Some(clock::Lagged::new(report)),
        }
    }

    /// The report that was current at `time_ms`; `None` before the first order or request.
    pub(super) fn report_at(&self, time_ms: u64) -> Option<&Report> {
        self.reports.as_ref().map(|reports| reports.at(time_ms))
    }

    pub(super) fn loaded(&self) -> Vec<SmolStr> {
        self.entries
            .iter()
            .filter(|(_, entry)| entry.phase != Phase::Loading)
            .map(|(item, _)| smol_str::format_smolstr!("{item}"))
            .collect()
    }

    pub(super) fn counts(&self) -> Counts {
        Counts {
            boot: self.boot.clone(),
            loaded: self.loaded(),
            memory_mb: self.memory_mb,
            running: self.running,
            ..self.counts.clone()
        }
    }

    // ---- Fencing ----

    /// Records the fencing number of an order. Returns false if a higher number was seen before.
    pub(super) fn accept_fencing(&mut self, item: &str, fencing: u64) -> bool {
        if fencing < self.highest_fencing {
            return false;
        }
        self.highest_fencing = fencing;
        self.item_fencing.insert(item.into(), fencing);
        true
    }

    /// Whether an order for the same item with a higher fencing number has arrived.
    pub(super) fn is_superseded(&self, item: &str, fencing: u64) -> bool {
        self.item_fencing
            .get(item)
            .is_some_and(|highest| *highest > fencing)
    }

    // ---- Memory ----

    pub(super) fn phase(&self, item: &Item) -> Option<Phase> {
        self.entries.get(item).map(|entry| entry.phase)
    }

    /// Starts a load and allocates its memory. Returns the id of the load.
    pub(super) fn start_load(&mut self, item: &Item, memory_mb: u64) -> u64 {
        let load_id = self.next_load_id;
        self.next_load_id += 1;
        self.entries.insert(
            item.clone(),
            Entry {
                phase: Phase::Loading,
                memory_mb,
                load_id,
            },
        );
        self.memory_mb += memory_mb;
        let name = smol_str::format_smolstr!("{item}");
        *self.counts.loads.entry(name).or_default() += 1;
        self.counts.peak_memory_mb = self.counts.peak_memory_mb.max(self.memory_mb);
        self.record_change(item, true);
        load_id
    }

    /// Completes a load. Returns false if the load was abandoned before.
    pub(super) fn complete_load(&mut self, item: &Item, load_id: u64) -> bool {
        let Some(entry) = self.entries.get_mut(item) else {
            return false;
        };
        let current = entry.load_id == load_id && entry.phase == Phase::Loading;
        if current {
            entry.phase = Phase::Loaded;
        }
        current
    }

    /// Abandons a load and frees its memory.
    pub(super) fn abandon_load(&mut self, item: &Item, load_id: u64) {
        if self
            .entries
            .get(item)
            .is_some_and(|entry| entry.load_id == load_id)
        {
            self.free(item);
        }
    }

    /// Sets the phase of an item and of its adapters, except for those that are still loading.
    pub(super) fn set_phase(&mut self, item: &Item, phase: Phase) {
        for (held, entry) in &mut self.entries {
            if held.needs(item) && entry.phase != Phase::Loading {
                entry.phase = phase;
            }
        }
    }

    /// Whether the item or one of its adapters has requests that have not ended.
    pub(super) fn is_busy(&self, item: &Item) -> bool {
        self.active.keys().any(|active| active.needs(item))
    }

    /// Frees an item and its adapters.
    pub(super) fn free_with_adapters(&mut self, item: &Item) {
        let freed: Vec<Item> = self
            .entries
            .keys()
            .filter(|held| held.needs(item))
            .cloned()
            .collect();
        // Adapters sort after their model and are freed before it.
        for item in freed.iter().rev() {
            self.free(item);
        }
    }

    fn free(&mut self, item: &Item) {
        if let Some(entry) = self.entries.remove(item) {
            self.memory_mb -= entry.memory_mb;
            self.record_change(item, false);
        }
    }

    fn record_change(&mut self, item: &Item, loaded: bool) {
        self.counts.history.push(Change {
            us: clock::unix_us(),
            item: smol_str::format_smolstr!("{item}"),
            loaded,
            memory_mb: self.memory_mb,
        });
    }

    // ---- Requests ----

    /// Accepts a request for a model or adapter and returns the item that serves it: of the loaded
    /// versions, the last one in sort order. Returns `None` if no version is loaded.
    pub(super) fn accept(&mut self, name: &str) -> Option<Item> {
        let item = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.phase == Phase::Loaded)
            .map(|(item, _)| item)
            .rfind(|item| item.requested_as() == name)?
            .clone();
        *self.active.entry(item.clone()).or_default() += 1;
        self.waiting += 1;
        Some(item)
    }

    /// Moves a waiting request to the running ones.
    pub(super) fn start_run(&mut self, id: &str) {
        self.waiting -= 1;
        self.running += 1;
        self.counts.max_running = self.counts.max_running.max(self.running);
        *self.counts.runs.entry(id.into()).or_default() += 1;
    }

    /// Removes an accepted request. `ran` is true if it had started to run.
    pub(super) fn end_request(&mut self, item: &Item, ran: bool) {
        if ran {
            self.running -= 1;
        } else {
            self.waiting -= 1;
        }
        if let Some(active) = self.active.get_mut(item) {
            *active -= 1;
            if *active == 0 {
                self.active.remove(item);
            }
        }
    }

    pub(super) fn count_cancelled(&mut self) {
        self.counts.cancelled += 1;
    }

    pub(super) fn count_disconnected(&mut self) {
        self.counts.cut += 1;
    }
}

/// Returns a new random id.
pub(super) fn random_id() -> SmolStr {
    let number = rngs::SmallRng::from_os_rng().next_u64();
    smol_str::format_smolstr!("{number:016x}")
}
