//! The periodic round: pings, links, probes and list comparisons.

use std::collections::{BTreeMap, BTreeSet};

use xxhash_rust::xxh3;

use super::{Action, ListEntry, Membership, Watch};
use crate::{clock, member};

/// Maximum number of listed instances examined for one probe.
const MAX_PROBE_CANDIDATES: usize = 8;
/// Maximum of [`Watch::timeout_factor`], which doubles with each suspicion that is raised without contact
/// and then refuted.
const MAX_TIMEOUT_FACTOR: u32 = 16;
/// Number of pings sent at once to a member that missed the last one. With occasional frame loss, unfounded
/// suspicions would otherwise increase with the size of the fleet, and with them the gossip volume per
/// instance.
const RETRY_PINGS: usize = 3;
/// Maximum number of list comparisons started in one round.
const MAX_SYNCS_PER_ROUND: usize = 3;

impl Membership {
    /// Detects that this process was paused. After a pause all other members appear silent, and they may
    /// have declared this instance dead. Without this check it would suspect every neighbour on resuming.
    pub(super) fn detect_pause(&mut self, now: clock::Instant) {
        let Some(last) = self.last_tick.replace(now) else {
            return;
        };
        let pause = now.since(last);
        if pause < self.options.suspect_timeout / 2 {
            return;
        }
        for watch in self.watches.values_mut() {
            watch.last_contact = now;
        }
        self.table
            .postpone_suspicions(now.after(self.options.dead_timeout));
        if pause >= self.options.suspect_timeout {
            self.announce(self.my_update().clone());
        }
    }

    pub(super) fn choose_watches(&mut self, now: clock::Instant) {
        if !std::mem::take(&mut self.watches_outdated) {
            return;
        }
        let mut watches = BTreeMap::new();
        for key in self.table.successors(self.my_update()) {
            let Some(member) = self.table.get(key) else {
                continue;
            };
            let name = member.update.by.instance.clone();
            let watch = self.watches.remove(&name).unwrap_or(Watch {
                key,
                last_contact: now,
                timeout_factor: 1,
            });
            watches.insert(name, watch);
        }
        self.watches = watches;
    }

    /// Pings the watched members and suspects those that are silent.
    pub(super) fn ping(&mut self, now: clock::Instant, actions: &mut Vec<Action>) {
        let mut silent = Vec::new();
        for (name, watch) in &mut self.watches {
            let timeout = self
                .options
                .suspect_timeout
                .saturating_mul(watch.timeout_factor);
            if now.since(watch.last_contact) >= timeout {
                silent.push(watch.key);
            }
            if !self.links.contains(name) {
                continue;
            }
            let missed = now.since(watch.last_contact) > self.options.ping_interval * 3 / 2;
            for _ in 0..if missed { RETRY_PINGS } else { 1 } {
                self.pings += 1;
                actions.push(Action::Ping {
                    to: name.clone(),
                    number: self.pings,
                });
            }
        }
        for key in silent {
            self.suspect(now, key);
        }
        self.ping_suspects(actions);
    }

    fn ping_suspects(&mut self, actions: &mut Vec<Action>) {
        let suspects = std::mem::take(&mut self.suspects);
        for name in suspects {
            let state = self.state(&name);
            let still_suspected =
                matches!(state, Some(member::State::Suspect | member::State::Dead));
            if !still_suspected || !self.links.contains(&name) {
                continue;
            }
            if !self.watches.contains_key(&name) {
                self.pings += 1;
                actions.push(Action::Ping {
                    to: name.clone(),
                    number: self.pings,
                });
            }
            self.suspects.insert(name);
        }
    }

    fn suspect(&mut self, now: clock::Instant, key: member::Key) {
        let Some(member) = self.table.get(key) else {
            return;
        };
        let mut update = member.update.clone();
        let Some(watch) = self.watches.get_mut(&update.by.instance) else {
            return;
        };
        update.state = match update.state {
            member::State::Alive => member::State::Suspect,
            // A leaving member announced its shutdown, so there is nothing to refute.
            member::State::Leaving
                if now.since(watch.last_contact)
                    >= self.options.suspect_timeout + self.options.dead_timeout =>
            {
                member::State::Dead
            }
            member::State::Leaving | member::State::Suspect | member::State::Dead => return,
        };
        // If only the path from this instance is broken, the member refutes each suspicion. Suspicions are
        // raised at increasing intervals, so that one broken link does not flood the gossip of the whole
        // fleet.
        watch.last_contact = now;
        watch.timeout_factor = (watch.timeout_factor * 2).min(MAX_TIMEOUT_FACTOR);
        self.apply_update(now, update);
    }

    /// Opens missing links that are needed.
    pub(super) fn connect(&mut self, now: clock::Instant, actions: &mut Vec<Action>) {
        let mesh = self.is_full_mesh();
        let chosen = self.watches.keys().chain(&self.wanted_links);
        let mut wanted: BTreeSet<_> = chosen.collect();
        if mesh {
            wanted.extend(self.table.iter().map(|(name, _)| name));
        }
        for name in wanted {
            if *name == self.name || self.links.contains(name) {
                continue;
            }
            let Some(update) = self.table.find_update(name) else {
                continue;
            };
            if update.state == member::State::Dead {
                continue;
            }
            let deferred = mesh && self.name > *name && !self.watches.contains_key(name);
            if self
                .links
                .try_dial(now, &update.address, self.options.ping_interval, deferred)
            {
                actions.push(Action::Connect {
                    instance: Some(name.clone()),
                    address: update.address.clone(),
                });
            }
        }
    }

    /// Closes links that this instance opened and no longer needs.
    pub(super) fn disconnect(&mut self, now: clock::Instant, actions: &mut Vec<Action>) {
        let mesh = self.is_full_mesh();
        let is_live = |name: &str| {
            let update = self.table.find_update(name);
            update.is_some_and(|update| update.state != member::State::Dead)
        };
        let wanted = |name: &str| {
            let chosen =
                mesh || self.watches.contains_key(name) || self.wanted_links.contains(name);
            chosen && is_live(name)
        };
        let address = |name: &str| Some(self.table.find_update(name)?.address.clone());
        let grace = self.options.probe_interval.saturating_mul(2);
        let unwanted = self.links.find_unwanted(now, grace, wanted, address);
        let disconnects = unwanted.into_iter();
        actions.extend(disconnects.map(|instance| Action::Disconnect { instance }));
        let linked = self.links.iter().filter_map(|name| address(name)).collect();
        self.links.prune(now, grace, &linked);
    }

    /// Returns whether all members are linked with each other, which holds while there are no more other
    /// members than the fan-out.
    fn is_full_mesh(&self) -> bool {
        self.table.live_count() <= self.options.fanout + 1
    }

    /// Dials members that may have come back or are new. After a partition there is no other way to reach
    /// the other side.
    pub(super) fn probe(&mut self, now: clock::Instant, actions: &mut Vec<Action>) {
        if !self.links.is_empty() && now < self.next_probe {
            return;
        }
        self.next_probe = now.after(self.options.probe_interval);
        self.try_seed(now, actions);
        let random = self.pseudo_random();
        let dead = self.table.pick_dead(random).map(|update| ListEntry {
            instance: update.by.instance.clone(),
            address: update.address.clone(),
        });
        let mut candidates: Vec<_> = dead.into_iter().collect();
        candidates.extend(self.pick_listed(random));
        for listed in candidates {
            let linked = self.links.contains(&listed.instance);
            if !linked
                && self
                    .links
                    .try_dial(now, &listed.address, self.options.ping_interval, false)
            {
                actions.push(Action::Connect {
                    instance: Some(listed.instance),
                    address: listed.address,
                });
            }
        }
    }

    /// Dials a seed at which no live member is known, even if other links are open. Instances that started
    /// together may know only each other and would otherwise stay separated from the rest of the fleet.
    fn try_seed(&mut self, now: clock::Instant, actions: &mut Vec<Action>) {
        let start = self.pseudo_random() as usize % self.seeds.len().max(1);
        let around = self.seeds[start..].iter().chain(&self.seeds[..start]);
        let mut absent = around.filter(|address| !self.table.is_live_address(address));
        let Some(address) = absent.next() else {
            return;
        };
        if self
            .links
            .try_dial(now, address, self.options.ping_interval, false)
        {
            actions.push(Action::Connect {
                instance: None,
                address: address.clone(),
            });
        }
    }

    /// Picks a listed instance that is not known to be alive.
    fn pick_listed(&self, random: u64) -> Option<ListEntry> {
        let after = self.listed.range(random..);
        let around = after.chain(self.listed.range(..random));
        let mut some = around.take(MAX_PROBE_CANDIDATES).map(|(_, listed)| listed);
        let absent = |listed: &&ListEntry| {
            let state = self.state(&listed.instance);
            state.is_none_or(|state| state == member::State::Dead)
        };
        some.find(absent).cloned()
    }

    /// Compares member lists with one neighbour, and immediately with members about which little is known.
    pub(super) fn sync(&mut self, now: clock::Instant, actions: &mut Vec<Action>) {
        let mut targets = Vec::new();
        while targets.len() < MAX_SYNCS_PER_ROUND
            && let Some(name) = self.syncs.pop_first()
        {
            targets.extend(Some(name).filter(|name| self.links.contains(name)));
        }
        if targets.is_empty() && now >= self.next_sync {
            targets.extend(self.links.pick(self.pseudo_random()).cloned());
        }
        if !targets.is_empty() {
            self.next_sync = now.after(self.options.sync_interval);
        }
        actions.extend(targets.into_iter().map(|to| Action::Sync { to }));
    }

    /// Returns a pseudo-random number that differs between rounds and between instances.
    fn pseudo_random(&self) -> u64 {
        xxh3::xxh3_64_with_seed(self.name.as_bytes(), self.rounds)
    }
}
