//! Table of all known members, with the precedence between updates about a member.

use std::collections::{BTreeMap, BTreeSet};

use slotmap::SlotMap;
use smol_str::SmolStr;
use xxhash_rust::xxh3;

use super::ring;
use crate::{clock, member};

/// Number of buckets of members that are compared by hash.
pub(super) const BUCKETS: usize = 64;

/// A known member.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) update: member::Update,
    /// End of the suspicion or of the retention after death.
    pub(super) timer: Option<clock::Instant>,
    /// Time of the last suspicion.
    pub(super) suspected: clock::Instant,
}

/// Members indexed by name, address, ring and bucket.
#[derive(Clone, Debug)]
pub(super) struct Table {
    members: SlotMap<member::Key, Member>,
    names: BTreeMap<SmolStr, member::Key>,
    addresses: BTreeMap<SmolStr, member::Key>,
    rings: ring::Rings,
    buckets: Vec<BTreeSet<member::Key>>,
    hashes: Vec<u64>,
    timers: BTreeSet<(clock::Instant, member::Key)>,
    /// Dead members by name hash, an order that spreads the attempts to reach them.
    dead: BTreeMap<u64, member::Key>,
}

impl Table {
    pub(super) fn new(rings: usize) -> Self {
        Self {
            members: SlotMap::with_key(),
            names: BTreeMap::new(),
            addresses: BTreeMap::new(),
            rings: ring::Rings::new(rings),
            buckets: vec![BTreeSet::new(); BUCKETS],
            hashes: vec![0; BUCKETS],
            timers: BTreeSet::new(),
            dead: BTreeMap::new(),
        }
    }

    pub(super) fn find(&self, name: &str) -> Option<member::Key> {
        self.names.get(name).copied()
    }

    pub(super) fn get(&self, key: member::Key) -> Option<&Member> {
        self.members.get(key)
    }

    pub(super) fn find_update(&self, name: &str) -> Option<&member::Update> {
        Some(&self.members.get(self.find(name)?)?.update)
    }

    /// Returns whether a member that is not dead, possibly this instance, has this address.
    pub(super) fn is_live_address(&self, address: &str) -> bool {
        let key = self.addresses.get(address);
        let member = key.and_then(|key| self.members.get(*key));
        member.is_some_and(|member| member.update.state != member::State::Dead)
    }

    /// Returns all members by name.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&SmolStr, &Member)> {
        self.names
            .iter()
            .filter_map(|(name, key)| Some((name, self.members.get(*key)?)))
    }

    /// Returns the number of known members, including dead ones.
    pub(super) fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns the number of members that are not dead.
    pub(super) fn live_count(&self) -> usize {
        self.members.len() - self.dead.len()
    }

    pub(super) fn hashes(&self) -> &[u64] {
        &self.hashes
    }

    /// Returns the members of one bucket.
    pub(super) fn bucket(&self, bucket: usize) -> impl Iterator<Item = &member::Update> {
        let keys = self.buckets.get(bucket).into_iter().flatten();
        keys.filter_map(|key| Some(&self.members.get(*key)?.update))
    }

    /// Returns the next live member on each ring; see [`ring::Rings::successors`].
    pub(super) fn successors(&self, me: &member::Update) -> Vec<member::Key> {
        let in_other_domain = |key| {
            let member = self.members.get(key);
            member.is_some_and(|member| member.update.failure_domain != me.failure_domain)
        };
        self.rings.successors(&me.by.instance, in_other_domain)
    }

    /// Picks a dead member; `random` selects which one.
    pub(super) fn pick_dead(&self, random: u64) -> Option<&member::Update> {
        let after = self.dead.range(random..).next();
        let (_, key) = after.or_else(|| self.dead.first_key_value())?;
        Some(&self.members.get(*key)?.update)
    }

    /// Inserts or replaces a member's update. `on_ring` is false for this instance itself.
    pub(super) fn put(&mut self, update: member::Update, on_ring: bool) -> member::Key {
        let name = update.by.instance.clone();
        let state = update.state;
        let key = match self.find(&name) {
            Some(key) => {
                self.toggle_hash(key);
                let last = std::mem::replace(&mut self.members[key].update, update);
                self.drop_address(key, &last.address);
                key
            }
            None => self.insert(update),
        };
        self.toggle_hash(key);
        let address = self.members[key].update.address.clone();
        self.addresses.insert(address, key);
        let name = name.as_str();
        if state == member::State::Dead {
            self.rings.remove(name);
            self.dead.insert(hash_name(name), key);
        } else {
            self.dead.remove(&hash_name(name));
            if on_ring {
                self.rings.insert(name, key);
            }
        }
        key
    }

    /// Sets or clears the time at which [`Self::take_expired`] returns the member.
    pub(super) fn set_timer(&mut self, key: member::Key, at: Option<clock::Instant>) {
        let Some(member) = self.members.get_mut(key) else {
            return;
        };
        if let Some(old) = std::mem::replace(&mut member.timer, at) {
            self.timers.remove(&(old, key));
        }
        if let Some(at) = at {
            self.timers.insert((at, key));
        }
    }

    pub(super) fn set_suspected(&mut self, key: member::Key, at: clock::Instant) {
        if let Some(member) = self.members.get_mut(key) {
            member.suspected = at;
        }
    }

    /// Takes a member whose timer has expired, and clears the timer.
    pub(super) fn take_expired(&mut self, now: clock::Instant) -> Option<member::Key> {
        let (at, key) = self.timers.first().copied()?;
        if at > now {
            return None;
        }
        self.set_timer(key, None);
        Some(key)
    }

    /// Postpones the end of every suspicion to `until` or later.
    pub(super) fn postpone_suspicions(&mut self, until: clock::Instant) {
        let earlier = ..(until, member::Key::default());
        let suspects: Vec<_> = self
            .timers
            .range(earlier)
            .map(|(_, key)| *key)
            .filter(|key| self.members[*key].update.state == member::State::Suspect)
            .collect();
        for key in suspects {
            self.set_timer(key, Some(until));
        }
    }

    pub(super) fn remove(&mut self, key: member::Key) {
        self.set_timer(key, None);
        self.toggle_hash(key);
        let Some(member) = self.members.remove(key) else {
            return;
        };
        let name = member.update.by.instance.as_str();
        self.names.remove(name);
        self.drop_address(key, &member.update.address);
        self.rings.remove(name);
        self.dead.remove(&hash_name(name));
        self.buckets[bucket_of(name)].remove(&key);
    }

    fn insert(&mut self, update: member::Update) -> member::Key {
        let name = update.by.instance.clone();
        let key = self.members.insert(Member {
            update,
            timer: None,
            suspected: clock::Instant::default(),
        });
        self.buckets[bucket_of(&name)].insert(key);
        self.names.insert(name, key);
        key
    }

    /// Removes a member's address, unless another member has taken it over.
    fn drop_address(&mut self, key: member::Key, address: &str) {
        if self.addresses.get(address) == Some(&key) {
            self.addresses.remove(address);
        }
    }

    /// Adds a member's hash to its bucket's hash, or removes it.
    fn toggle_hash(&mut self, key: member::Key) {
        if let Some(member) = self.members.get(key) {
            let bucket = bucket_of(&member.update.by.instance);
            self.hashes[bucket] ^= hash(&member.update);
        }
    }
}

/// Returns whether a new update takes precedence over the known one: by later incarnation, then higher
/// refutation number, then graver state.
pub(super) fn supersedes(new: &member::Update, old: &member::Update) -> bool {
    let rank = |update: &member::Update| (update.by.number, update.refutation, update.state);
    rank(new) > rank(old)
}

fn bucket_of(name: &str) -> usize {
    xxh3::xxh3_64(name.as_bytes()) as usize % BUCKETS
}

fn hash_name(name: &str) -> u64 {
    xxh3::xxh3_64(name.as_bytes())
}

/// Returns a member's hash. A suspicion is not included, since it soon ends; nor is a dead member, which
/// each instance removes at its own time.
fn hash(update: &member::Update) -> u64 {
    let leaving = match update.state {
        member::State::Dead => return 0,
        member::State::Alive | member::State::Suspect => 0,
        member::State::Leaving => 1,
    };
    let name = xxh3::xxh3_64_with_seed(update.by.instance.as_bytes(), update.by.number);
    let refutation = u64::from(update.refutation) << 1 | leaving;
    xxh3::xxh3_64_with_seed(&refutation.to_le_bytes(), name)
}
