//! Membership of the fleet: SWIM-style failure detection and gossip with a fixed fan-out.
//!
//! Members are placed on several rings, each with its own order. A member keeps a link to its successor on
//! each ring and pings it. A member that does not answer is suspected. The suspicion travels with pings and
//! pongs, and the suspected member refutes it by raising a number that only it may raise; without a
//! refutation it is declared dead. The number of messages that an instance sends and receives therefore
//! depends on the number of rings and not on the size of the fleet, and a change reaches all instances in a
//! few steps.
//!
//! Gossip can be lost, and a new instance has received none. Each instance therefore periodically compares
//! bucket hashes of its member list with those of a neighbour and receives the members of the buckets that
//! differ, a limited number at a time (anti-entropy).
//!
//! Membership is only a hint for liveness. A dead member may be paused and come back, so no safety property
//! may depend on this module.

mod gossip;
mod link;
mod options;
mod ring;
mod round;
mod table;
mod update;

use std::collections::{BTreeMap, BTreeSet};

use smol_str::SmolStr;
use xxhash_rust::xxh3;

use crate::{clock, member, record};

pub use options::Options;

/// Maximum number of membership changes in one ping or pong.
pub const MAX_GOSSIP_UPDATES: usize = 6;

/// Number of members after which [`Membership::differing_members`] adds no further bucket.
pub const MAX_SYNC_MEMBERS: usize = 96;

/// An action that the caller has to carry out towards another instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Opens a link.
    Connect {
        /// The instance; `None` for a seed address whose instance is not known yet.
        instance: Option<SmolStr>,
        /// The address, as `IP:PORT`.
        address: SmolStr,
    },
    /// Closes a link that this instance opened and no longer needs.
    Disconnect {
        /// The instance.
        instance: SmolStr,
    },
    /// Sends a [`crate::wire::Frame::Ping`] with [`Membership::gossip`].
    Ping {
        /// The instance.
        to: SmolStr,
        /// The ping's number.
        number: u64,
    },
    /// Sends a [`crate::wire::Frame::AskMembers`] with [`Membership::hashes`].
    Sync {
        /// The instance.
        to: SmolStr,
    },
}

/// An entry of the platform's instance list, which lags.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListEntry {
    /// The instance's name.
    pub instance: SmolStr,
    /// The address for peers, as `IP:PORT`.
    pub address: SmolStr,
}

/// A member that this instance pings.
#[derive(Clone, Copy, Debug)]
struct Watch {
    key: member::Key,
    /// Time of the last direct contact, of the start of the watch, or of the last suspicion raised by this
    /// instance, whichever is latest.
    last_contact: clock::Instant,
    /// Factor on the suspect timeout; grows with each suspicion raised without any contact.
    timeout_factor: u32,
}

/// One instance's view of all instances.
#[derive(Clone, Debug)]
pub struct Membership {
    me: member::Key,
    name: SmolStr,
    options: Options,
    table: table::Table,
    gossip_queue: gossip::Queue,
    links: link::Links,
    wanted_links: BTreeSet<SmolStr>,
    seeds: Vec<SmolStr>,
    listed: BTreeMap<u64, ListEntry>,
    watches: BTreeMap<SmolStr, Watch>,
    /// Linked members that are suspected or dead. Every instance with a link to such a member pings it, so
    /// that the member learns of the suspicion even if the path from its watchers is broken.
    suspects: BTreeSet<SmolStr>,
    /// Whether the rings have changed since the watches were last chosen.
    watches_outdated: bool,
    /// Members to compare member lists with in the next round.
    syncs: BTreeSet<SmolStr>,
    next_sync: clock::Instant,
    next_probe: clock::Instant,
    next_round: clock::Instant,
    rounds: u64,
    pings: u64,
    sync_replies: usize,
    last_tick: Option<clock::Instant>,
    last_contact: Option<clock::Instant>,
    superseded: bool,
}

impl Membership {
    /// Creates a membership whose only member is this instance.
    #[must_use]
    pub fn new(
        me: record::Incarnation,
        address: SmolStr,
        failure_domain: SmolStr,
        options: Options,
    ) -> Self {
        let name = me.instance.clone();
        let mut table = table::Table::new(options.fanout / 2);
        let update = member::Update {
            by: me,
            address,
            failure_domain,
            state: member::State::Alive,
            refutation: 0,
        };
        let key = table.put(update, false);
        let mut gossip_queue = gossip::Queue::default();
        gossip_queue.push(key);
        Self {
            me: key,
            name,
            options,
            table,
            gossip_queue,
            links: link::Links::default(),
            wanted_links: BTreeSet::new(),
            seeds: Vec::new(),
            listed: BTreeMap::new(),
            watches: BTreeMap::new(),
            suspects: BTreeSet::new(),
            watches_outdated: true,
            syncs: BTreeSet::new(),
            next_sync: clock::Instant::default(),
            next_probe: clock::Instant::default(),
            next_round: clock::Instant::default(),
            rounds: 0,
            pings: 0,
            sync_replies: 0,
            last_tick: None,
            last_contact: None,
            superseded: false,
        }
    }

    /// Sends pings, opens and closes links, and handles expired timeouts. The caller runs it about ten
    /// times a second.
    pub fn tick(&mut self, now: clock::Instant, actions: &mut Vec<Action>) {
        self.detect_pause(now);
        while let Some(key) = self.table.take_expired(now) {
            self.handle_timeout(now, key);
        }
        if now < self.next_round {
            return;
        }
        self.next_round = now.after(self.options.ping_interval);
        self.rounds += 1;
        self.choose_watches(now);
        self.ping(now, actions);
        self.connect(now, actions);
        self.disconnect(now, actions);
        self.probe(now, actions);
        self.sync(now, actions);
    }

    /// Records that a frame arrived directly from this process.
    pub fn record_contact(&mut self, now: clock::Instant, from: &record::Incarnation) {
        self.last_contact = Some(now);
        if let Some(watch) = self.watches.get_mut(&from.instance) {
            watch.last_contact = now;
            watch.timeout_factor = 1;
        }
        let known = self.table.find(&from.instance);
        let Some((key, member)) = known.and_then(|key| Some((key, self.table.get(key)?))) else {
            self.syncs.insert(from.instance.clone());
            return;
        };
        if member.update.by.number < from.number {
            self.syncs.insert(from.instance.clone());
            return;
        }
        let presumed_down = matches!(
            member.update.state,
            member::State::Dead | member::State::Suspect
        );
        // The member may not know that it is suspected. Gossiping the suspicion to it lets it refute it.
        if presumed_down && !self.gossip_queue.contains(key) {
            self.gossip_queue.push(key);
        }
    }

    /// Handles a pong. A pong with a number that was never sent, for example one that answers a ping of an
    /// earlier process of the same name, is ignored.
    pub fn handle_pong(&mut self, now: clock::Instant, number: u64, from: &record::Incarnation) {
        if number <= self.pings {
            self.record_contact(now, from);
        }
    }

    /// Takes the changes to gossip with one ping or pong, at most `max`; see [`MAX_GOSSIP_UPDATES`].
    pub fn gossip(&mut self, max: usize) -> Vec<member::Update> {
        let keys = self.gossip_queue.take(max, self.options.retransmissions);
        keys.into_iter()
            .filter_map(|key| Some(self.table.get(key)?.update.clone()))
            .collect()
    }

    /// Returns one hash per bucket of members, for [`crate::wire::Frame::AskMembers`].
    #[must_use]
    pub fn hashes(&self) -> Vec<u64> {
        self.table.hashes().to_vec()
    }

    /// Returns the members of the buckets whose hash differs, for a [`crate::wire::Frame::Members`] to
    /// `asker`. With several thousand members in total, one reply covers only a few buckets, and the next
    /// reply covers others.
    ///
    /// The entry of `asker` comes first, so that it can refute a suspicion. If no bucket differs, the
    /// result is empty and no frame is needed.
    pub fn differing_members(&mut self, asker: &str, hashes: &[u64]) -> Vec<member::Update> {
        let own = self.table.hashes().iter().enumerate();
        let differs = |bucket: usize, hash: u64| hash != *hashes.get(bucket).unwrap_or(&0);
        let differing = own.filter(|(bucket, hash)| differs(*bucket, **hash));
        let mut buckets: Vec<_> = differing.map(|(bucket, _)| bucket).collect();
        if buckets.is_empty() {
            return Vec::new();
        }
        self.sync_replies += 1;
        let start = self.sync_replies % buckets.len();
        buckets.rotate_left(start);
        let mut updates = Vec::from_iter(self.table.find_update(asker).cloned());
        for bucket in buckets {
            if updates.len() < MAX_SYNC_MEMBERS {
                let others = self.table.bucket(bucket);
                updates.extend(others.filter(|update| update.by.instance != asker).cloned());
            }
        }
        updates
    }

    /// Adds a seed address from the settings. It is dialled while no live member is known at it.
    pub fn add_seed(&mut self, address: SmolStr) {
        if !self.seeds.contains(&address) {
            self.seeds.push(address);
        }
    }

    /// Replaces the entries of the platform's instance list, which lags. A listed name is a candidate for
    /// probing. A missing name proves nothing, since a new instance is listed late.
    pub fn set_listed(&mut self, _now: clock::Instant, entries: &[ListEntry]) {
        let others = entries.iter().filter(|entry| entry.instance != self.name);
        self.listed = others
            .map(|entry| (xxh3::xxh3_64(entry.instance.as_bytes()), entry.clone()))
            .collect();
    }

    /// Announces that this instance is shutting down; it is no longer eligible.
    pub fn leave(&mut self) {
        let mut update = self.my_update().clone();
        update.state = member::State::Leaving;
        self.announce(update);
    }

    /// Handles an open link to this process, regardless of which side opened it.
    pub fn link_up(&mut self, now: clock::Instant, to: &record::Incarnation) {
        self.links.add(&to.instance, to.number);
        if let Some(address) = self.address(&to.instance).cloned() {
            self.links.reset_backoff(now, &address);
        }
        let known = self.table.find_update(&to.instance);
        if known.is_none_or(|known| known.state == member::State::Dead) {
            self.syncs.insert(to.instance.clone());
        }
        // A new neighbour may not know this instance. Without this, an instance that no other knew at its
        // start could spend all transmissions of its own update on the one neighbour that it knew.
        if !self.gossip_queue.contains(self.me) {
            self.gossip_queue.push(self.me);
        }
        self.record_contact(now, to);
    }

    /// Handles the loss of the last link to this process.
    pub fn link_down(&mut self, now: clock::Instant, to: &record::Incarnation) {
        self.links.end(&to.instance, to.number);
        if let Some(address) = self.address(&to.instance).cloned() {
            self.links.reset_backoff(now, &address);
        }
    }

    /// Keeps a link to this instance in addition to the ring neighbours, for example to a steward. The
    /// instance is not pinged because of this.
    pub fn want_link(&mut self, instance: SmolStr) {
        self.wanted_links.insert(instance);
    }

    /// Keeps additional links to exactly these instances; see [`Self::want_link`].
    pub fn set_wanted_links<I>(&mut self, instances: I)
    where
        I: IntoIterator<Item = SmolStr>,
    {
        self.wanted_links = instances.into_iter().collect();
    }

    /// Reverts [`Self::want_link`].
    pub fn unwant_link(&mut self, instance: &str) {
        self.wanted_links.remove(instance);
    }

    /// Returns whether other members are known but none was in contact for the suspect timeout. The views
    /// that this instance holds of others are then unreliable, and it should not take over work from them.
    #[must_use]
    pub fn is_isolated(&self, now: clock::Instant) -> bool {
        let last_contact = self.last_contact.unwrap_or_default();
        self.table.len() > 1 && now.since(last_contact) >= self.options.suspect_timeout
    }

    /// Returns whether a later incarnation of this instance exists, so that this process must stop.
    #[must_use]
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Returns the eligible instances by name, including this one unless it is leaving. A suspected
    /// instance is eligible until it is declared dead; a leaving instance is not.
    pub fn alive(&self) -> impl Iterator<Item = &SmolStr> {
        let eligible = |state| matches!(state, member::State::Alive | member::State::Suspect);
        self.table
            .iter()
            .filter(move |(_, member)| eligible(member.update.state))
            .map(|(name, _)| name)
    }

    /// Returns the believed state of an instance; `None` for an unknown instance.
    #[must_use]
    pub fn state(&self, instance: &str) -> Option<member::State> {
        Some(self.table.find_update(instance)?.state)
    }

    /// Returns the peer address of an instance.
    #[must_use]
    pub fn address(&self, instance: &str) -> Option<&SmolStr> {
        Some(&self.table.find_update(instance)?.address)
    }

    /// Returns all known instances by name, including dead ones.
    pub fn members(&self) -> impl Iterator<Item = &member::Update> {
        self.table.iter().map(|(_, member)| &member.update)
    }

    /// Returns the options.
    #[must_use]
    pub fn options(&self) -> &Options {
        &self.options
    }

    fn my_update(&self) -> &member::Update {
        let member = self.table.get(self.me);
        &member.expect("an instance never forgets itself").update
    }
}
