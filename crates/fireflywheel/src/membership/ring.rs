//! Rings of members, each with its own order, that determine which member pings which.

use std::collections::BTreeMap;

use xxhash_rust::xxh3;

use crate::member;

/// Maximum number of ring members examined in search of one in another failure domain.
const MAX_DOMAIN_SCAN: usize = 8;

/// Several rings. Each member pings its successor on each ring, so each is pinged by about as many members
/// as there are rings. Updates cross the fleet in a few steps, since neighbours on one ring are far apart
/// on the others.
#[derive(Clone, Debug)]
pub(super) struct Rings {
    rings: Vec<BTreeMap<u64, member::Key>>,
}

impl Rings {
    pub(super) fn new(count: usize) -> Self {
        Self {
            rings: vec![BTreeMap::new(); count.max(1)],
        }
    }

    pub(super) fn insert(&mut self, name: &str, key: member::Key) {
        for (number, ring) in self.rings.iter_mut().enumerate() {
            ring.insert(position(number, name), key);
        }
    }

    pub(super) fn remove(&mut self, name: &str) {
        for (number, ring) in self.rings.iter_mut().enumerate() {
            ring.remove(&position(number, name));
        }
    }

    /// Returns the successor of `name` on each ring, without duplicates.
    ///
    /// On every second ring the successor is the next member in another failure domain, so that the loss of
    /// one failure domain does not take both a member and all its watchers.
    pub(super) fn successors<F>(&self, name: &str, in_other_domain: F) -> Vec<member::Key>
    where
        F: Fn(member::Key) -> bool,
    {
        let mut chosen = Vec::new();
        for (number, ring) in self.rings.iter().enumerate() {
            let own = position(number, name);
            let after = ring.range(own..).map(|(_, key)| *key);
            let before = ring.range(..own).map(|(_, key)| *key);
            let mut next = after.chain(before);
            let first = next.clone().next();
            let cross_domain = number % 2 == 1;
            let in_another_domain = next
                .by_ref()
                .take(MAX_DOMAIN_SCAN)
                .find(|key| cross_domain && in_other_domain(*key) && !chosen.contains(key));
            let found = in_another_domain.or(first);
            chosen.extend(found.filter(|key| !chosen.contains(key)));
        }
        chosen
    }
}

/// Returns a member's position on a ring.
fn position(ring: usize, name: &str) -> u64 {
    xxh3::xxh3_64_with_seed(name.as_bytes(), ring as u64)
}
