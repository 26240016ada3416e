//! The load report, and the prefix cache whose events it contains.

use std::collections;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Capacity of the prefix cache.
const MAX_PREFIXES: usize = 64;
/// Number of events in a report. Older events are dropped, which a reader detects as a gap in the
/// sequence numbers.
const MAX_EVENTS: usize = 32;

/// The answer to `GET /v1/load`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Unix time that the report describes, in milliseconds.
    pub at_ms: u64,
    /// Id of the current start of the engine.
    pub boot: SmolStr,
    /// Number of requests that are running.
    pub running: u64,
    /// Number of requests that wait for a slot.
    pub waiting: u64,
    /// Number of requests that can run concurrently.
    pub slots: usize,
    /// Items that are loaded, sorted by name.
    pub loaded: Vec<SmolStr>,
    /// Memory in use, in megabytes.
    pub memory_mb: u64,
    /// Whether the engine refuses new requests; this field has no lag.
    pub leaving: bool,
    /// The most recent events of the prefix cache.
    pub cache: Cache,
}

/// Consecutive events of the prefix cache.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Cache {
    /// The oldest sequence number in `events`; the next one to be assigned if there are no events.
    pub first: u64,
    /// The events, in order of their sequence numbers.
    pub events: Vec<Event>,
}

/// The storing or eviction of a prefix.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Event {
    /// Sequence number, incremented by one per event.
    pub seq: u64,
    /// `MODEL|` followed by the start of the first message's content.
    pub prefix: SmolStr,
    /// True if the prefix was stored, false if it was evicted.
    pub stored: bool,
}

/// An LRU cache of prefixes.
#[derive(Debug, Default)]
pub(super) struct PrefixCache {
    /// Prefixes, least recently used first.
    entries: collections::VecDeque<SmolStr>,
    events: collections::VecDeque<Event>,
    next_seq: u64,
}

impl PrefixCache {
    /// Marks a prefix as most recently used, and stores it if it is absent.
    pub(super) fn touch(&mut self, prefix: SmolStr) {
        if let Some(index) = self.entries.iter().position(|entry| *entry == prefix) {
            self.entries.remove(index);
        } else {
            self.push_event(prefix.clone(), true);
        }
        self.entries.push_back(prefix);
        if self.entries.len() > MAX_PREFIXES
            && let Some(evicted) = self.entries.pop_front()
        {
            self.push_event(evicted, false);
        }
    }

    fn push_event(&mut self, prefix: SmolStr, stored: bool) {
        let seq = self.next_seq;
        self.next_seq += 1;
        self.events.push_back(Event {
            seq,
            prefix,
            stored,
        });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    pub(super) fn recent_events(&self) -> Cache {
        Cache {
            first: self.events.front().map_or(self.next_seq, |event| event.seq),
            events: self.events.iter().cloned().collect(),
        }
    }
}
