//! Queue of membership changes to gossip.

use std::{cmp::Reverse, collections::BTreeSet};

use slotmap::SecondaryMap;

use crate::member;

/// Priority of a change: fewer transmissions first, then the more recent change.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Priority {
    transmissions: u32,
    recency: Reverse<u64>,
}

/// Members whose state changed. Changes with the fewest transmissions go first, and among those the most
/// recent.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    count: u64,
    priorities: SecondaryMap<member::Key, Priority>,
    order: BTreeSet<(Priority, member::Key)>,
}

impl Queue {
    /// Queues a member's change, which replaces an older change of the same member.
    pub(super) fn push(&mut self, key: member::Key) {
        self.remove(key);
        self.count += 1;
        let recency = Reverse(self.count);
        self.insert(
            key,
            Priority {
                transmissions: 0,
                recency,
            },
        );
    }

    /// Returns whether a change of the member is queued.
    pub(super) fn contains(&self, key: member::Key) -> bool {
        self.priorities.contains_key(key)
    }

    /// Removes a member's change.
    pub(super) fn remove(&mut self, key: member::Key) {
        if let Some(priority) = self.priorities.remove(key) {
            self.order.remove(&(priority, key));
        }
    }

    /// Takes at most `max` changes. A change is removed after `max_transmissions` in total.
    pub(super) fn take(&mut self, max: usize, max_transmissions: u32) -> Vec<member::Key> {
        let taken: Vec<_> = self.order.iter().take(max).copied().collect();
        for &(mut priority, key) in &taken {
            self.remove(key);
            priority.transmissions += 1;
            if priority.transmissions < max_transmissions {
                self.insert(key, priority);
            }
        }
        taken.into_iter().map(|(_, key)| key).collect()
    }

    fn insert(&mut self, key: member::Key, priority: Priority) {
        self.priorities.insert(key, priority);
        self.order.insert((priority, key));
    }
}
