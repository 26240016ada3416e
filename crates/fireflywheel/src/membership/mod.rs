//! Which instances there are, and whether they answer: failure detection and gossip with a fixed fan-out.
//!
//! In the manner of SWIM. Members stand on several rings, each ring in an order of its own, and a member
//! keeps a link to the next one on each ring and pings it. One that is silent is suspected; the suspicion
//! travels with pings and pongs, and the suspect, when it hears of it, refutes it by raising a number that
//! only it may raise. Without a refutation it counts as dead. So each instance sends and receives a number
//! of messages that depends on the rings and not on the size of the fleet, and a change reaches everyone in
//! a few steps.
//!
//! Gossip gets lost and a new instance has heard none, so now and then each instance compares hashes of
//! buckets of its list with a neighbour's, and is told the members of buckets that differ, some at a time.
//!
//! All of this is a hint for liveness. A dead member may be paused and come back; nothing that must be safe
//! may rest on what stands here.

mod link;
mod news;
mod options;
mod ring;
mod round;
mod rumour;
mod table;

use std::collections::{BTreeMap, BTreeSet};

use smol_str::SmolStr;
use xxhash_rust::xxh3;

use crate::{clock, member, record};

pub use options::Options;

/// Changes of membership that one ping or pong should carry at most.
pub const MAX_GOSSIP_UPDATES: usize = 6;

/// Members after which [`Membership::differing_members`] adds no further bucket.
pub const MAX_SYNC_MEMBERS: usize = 96;

/// What is to be done towards another instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Open a link.
    Connect {
        /// The instance; `None` for an address of the settings whose name isn't known yet.
        instance: Option<SmolStr>,
        /// Where, as `IP:PORT`.
        address: SmolStr,
    },
    /// Close a link that was opened from here and isn't wanted any more.
    Disconnect {
        /// The instance.
        instance: SmolStr,
    },
    /// Send a [`crate::wire::Frame::Ping`] with [`Membership::gossip`].
    Ping {
        /// The instance.
        to: SmolStr,
        /// The ping's number.
        number: u64,
    },
    /// Send a [`crate::wire::Frame::AskMembers`] with [`Membership::hashes`].
    Sync {
        /// The instance.
        to: SmolStr,
    },
}

/// An instance as the platform's lagging list names it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListEntry {
    /// Its name.
    pub instance: SmolStr,
    /// Where its peers reach it, as `IP:PORT`.
    pub address: SmolStr,
}

/// A member that this instance pings.
#[derive(Clone, Copy, Debug)]
struct Watch {
    key: member::Key,
    /// When it was last heard directly, or watching began, or it was last suspected from here.
    heard: clock::Instant,
    /// Multiplies the silence after which it is suspected.
    patience: u32,
}

/// One instance's view of all instances.
#[derive(Clone, Debug)]
pub struct Membership {
    me: member::Key,
    name: SmolStr,
    options: Options,
    table: table::Table,
    rumours: rumour::Rumours,
    links: link::Links,
    wants: BTreeSet<SmolStr>,
    seeds: Vec<SmolStr>,
    listed: BTreeMap<u64, ListEntry>,
    watches: BTreeMap<SmolStr, Watch>,
    /// Linked members that are doubted. They are pinged by all that have a link to them, so that they hear of
    /// it also where the way from those who watch them is broken.
    doubted: BTreeSet<SmolStr>,
    /// Whether the rings changed since the watches were chosen.
    stale_watches: bool,
    /// Members to compare lists with at the next round.
    syncs: BTreeSet<SmolStr>,
    next_sync: clock::Instant,
    next_probe: clock::Instant,
    next_round: clock::Instant,
    rounds: u64,
    pings: u64,
    replies: usize,
    last_tick: Option<clock::Instant>,
    last_heard: Option<clock::Instant>,
    superseded: bool,
}

impl Membership {
    /// Knows only itself.
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
        let mut rumours = rumour::Rumours::default();
        rumours.push(key);
        Self {
            me: key,
            name,
            options,
            table,
            rumours,
            links: link::Links::default(),
            wants: BTreeSet::new(),
            seeds: Vec::new(),
            listed: BTreeMap::new(),
            watches: BTreeMap::new(),
            doubted: BTreeSet::new(),
            stale_watches: true,
            syncs: BTreeSet::new(),
            next_sync: clock::Instant::default(),
            next_probe: clock::Instant::default(),
            next_round: clock::Instant::default(),
            rounds: 0,
            pings: 0,
            replies: 0,
            last_tick: None,
            last_heard: None,
            superseded: false,
        }
    }

    /// To be called some ten times a second: pings, opens and closes links, and lets timeouts run out.
    pub fn tick(&mut self, now: clock::Instant, actions: &mut Vec<Action>) {
        self.notice_pause(now);
        while let Some(key) = self.table.due(now) {
            self.timed_out(now, key);
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

    /// Any frame came directly from this process.
    pub fn record_contact(&mut self, now: clock::Instant, from: &record::Incarnation) {
        self.last_heard = Some(now);
        if let Some(watch) = self.watches.get_mut(&from.instance) {
            watch.heard = now;
            watch.patience = 1;
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
        let doubted = matches!(
            member.update.state,
            member::State::Dead | member::State::Suspect
        );
        // It may not know what is said of it; with this it hears, and can refute it.
        if doubted && !self.rumours.contains(key) {
            self.rumours.push(key);
        }
    }

    /// A pong came. One to a ping that was never sent, such as by an earlier process of this name, says
    /// nothing.
    pub fn handle_pong(&mut self, now: clock::Instant, number: u64, from: &record::Incarnation) {
        if number <= self.pings {
            self.record_contact(now, from);
        }
    }

    /// Changes to pass on with one ping or pong, at most `max`; see [`MAX_GOSSIP_UPDATES`].
    pub fn gossip(&mut self, max: usize) -> Vec<member::Update> {
        let keys = self.rumours.take(max, self.options.retransmissions);
        keys.into_iter()
            .filter_map(|key| Some(self.table.get(key)?.update.clone()))
            .collect()
    }

    /// One hash for each bucket of members, for [`crate::wire::Frame::AskMembers`].
    #[must_use]
    pub fn hashes(&self) -> Vec<u64> {
        self.table.hashes().to_vec()
    }

    /// The members in buckets whose hash differs, for a [`crate::wire::Frame::Members`] to `asker`; with
    /// some thousand members in all, a few buckets at a time, and others the next time.
    ///
    /// What is known of the asker goes first, so that it can refute it. When none differs, the answer is empty and needs no frame.
    pub fn differing_members(&mut self, asker: &str, hashes: &[u64]) -> Vec<member::Update> {
        let own = self.table.hashes().iter().enumerate();
        let differs = |bucket: usize, hash: u64| hash != *hashes.get(bucket).unwrap_or(&0);
        let differing = own.filter(|(bucket, hash)| differs(*bucket, **hash));
        let mut buckets: Vec<_> = differing.map(|(bucket, _)| bucket).collect();
        if buckets.is_empty() {
            return Vec::new();
        }
        self.replies += 1;
        let start = self.replies % buckets.len();
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

    /// An address of the settings to try while nobody is known to live there.
    pub fn add_seed(&mut self, address: SmolStr) {
        if !self.seeds.contains(&address) {
            self.seeds.push(address);
        }
    }

    /// Takes the platform's lagging list in. A name in it is someone to try; one that is lacking proves
    /// nothing, since a new instance comes late into the list.
    pub fn set_listed(&mut self, _now: clock::Instant, entries: &[ListEntry]) {
        let others = entries.iter().filter(|entry| entry.instance != self.name);
        self.listed = others
            .map(|entry| (xxh3::xxh3_64(entry.instance.as_bytes()), entry.clone()))
            .collect();
    }

    /// Says to all that this instance stops; it isn't eligible any more.
    pub fn leave(&mut self) {
        let mut update = self.my_update().clone();
        update.state = member::State::Leaving;
        self.say(update);
    }

    /// A link to this process is open, whoever opened it.
    pub fn link_up(&mut self, now: clock::Instant, to: &record::Incarnation) {
        self.links.up(&to.instance, to.number);
        if let Some(address) = self.address(&to.instance).cloned() {
            self.links.reached(now, &address);
        }
        let known = self.table.find_update(&to.instance);
        if known.is_none_or(|known| known.state == member::State::Dead) {
            self.syncs.insert(to.instance.clone());
        }
        // A new neighbour may not know this instance. Without this, one that nobody knew when it started
        // could have told all it had to say to the one instance that it knew.
        if !self.rumours.contains(self.me) {
            self.rumours.push(self.me);
        }
        self.record_contact(now, to);
    }

    /// No link to this process is left.
    pub fn link_down(&mut self, now: clock::Instant, to: &record::Incarnation) {
        self.links.down(&to.instance, to.number);
        if let Some(address) = self.address(&to.instance).cloned() {
            self.links.reached(now, &address);
        }
    }

    /// Keeps a link to this instance beyond the neighbours, such as to a steward. It isn't pinged for that.
    pub fn want_link(&mut self, instance: SmolStr) {
        self.wants.insert(instance);
    }

    /// The same for these and no others.
    pub fn set_wanted_links<I>(&mut self, instances: I)
    where
        I: IntoIterator<Item = SmolStr>,
    {
        self.wants = instances.into_iter().collect();
    }

    /// Takes [`Self::want_link`] back.
    pub fn unwant_link(&mut self, instance: &str) {
        self.wants.remove(instance);
    }

    /// Whether nobody has been heard for the time of a suspicion though others are known. What this instance
    /// then believes of the others says more about itself, and it had better take nothing over from them.
    #[must_use]
    pub fn is_isolated(&self, now: clock::Instant) -> bool {
        let heard = self.last_heard.unwrap_or_default();
        self.table.len() > 1 && now.since(heard) >= self.options.suspect_timeout
    }

    /// Whether a later incarnation of this very instance was heard of: this process is one too many.
    #[must_use]
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// The eligible instances, this one among them unless it leaves, by name. A suspected one is eligible
    /// until it counts as dead; a leaving one is not.
    pub fn alive(&self) -> impl Iterator<Item = &SmolStr> {
        let eligible = |state| matches!(state, member::State::Alive | member::State::Suspect);
        self.table
            .iter()
            .filter(move |(_, member)| eligible(member.update.state))
            .map(|(name, _)| name)
    }

    /// How an instance is believed to be; `None` when it isn't known.
    #[must_use]
    pub fn state(&self, instance: &str) -> Option<member::State> {
        Some(self.table.find_update(instance)?.state)
    }

    /// Where an instance is reached.
    #[must_use]
    pub fn address(&self, instance: &str) -> Option<&SmolStr> {
        Some(&self.table.find_update(instance)?.address)
    }

    /// All known instances, dead ones included, by name.
    pub fn members(&self) -> impl Iterator<Item = &member::Update> {
        self.table.iter().map(|(_, member)| &member.update)
    }

    /// The settings.
    #[must_use]
    pub fn options(&self) -> &Options {
        &self.options
    }

    fn my_update(&self) -> &member::Update {
        let member = self.table.get(self.me);
        &member.expect("an instance never forgets itself").update
    }
}
