//! The prefixes that a backend server is believed to have in its cache, learned from its cache events.

use std::collections::BTreeMap;

/// The prefixes that a server is believed to have in its cache.
#[derive(Clone, Debug, Default)]
pub(super) struct Cache {
    /// The sequence number of the newest event.
    last_sequence: Option<u64>,
    /// The cached prefixes, each with the sequence number of the event that stored it.
    prefixes: BTreeMap<u64, u64>,
    /// The same pairs, ordered by sequence number and so by age.
    by_sequence: BTreeMap<u64, u64>,
}

impl Cache {
    pub(super) fn contains(&self, prefix: u64) -> bool {
        self.prefixes.contains_key(&prefix)
    }

    /// Records a cache event. Late and duplicate events are ignored; a gap in the sequence clears everything
    /// learned from older events. Beyond `limit` prefixes, the oldest one is removed.
    pub(super) fn record_event(&mut self, sequence: u64, prefix: u64, stored: bool, limit: usize) {
        match self.last_sequence {
            Some(last) if sequence <= last => return,
            Some(last) if sequence - 1 == last => {}
            _ => *self = Self::default(),
        }
        self.last_sequence = Some(sequence);
        if let Some(older) = self.prefixes.remove(&prefix) {
            self.by_sequence.remove(&older);
        }
        if stored {
            self.prefixes.insert(prefix, sequence);
            self.by_sequence.insert(sequence, prefix);
        }
        if self.prefixes.len() > limit
            && let Some((_, oldest)) = self.by_sequence.pop_first()
        {
            self.prefixes.remove(&oldest);
        }
    }
}
