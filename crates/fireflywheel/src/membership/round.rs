//! What happens once in each round of pings.

use std::collections::{BTreeMap, BTreeSet};

use xxhash_rust::xxh3;

use super::{Action, ListEntry, Membership, Watch};
use crate::{clock, member};

/// Listed instances looked at in search of one worth trying.
const PROBE_DRAWS: usize = 8;
/// Doublings of a watcher's patience after suspicions that were refuted while it still heard nothing.
const LONGEST_PATIENCE: u32 = 16;
/// Pings sent at once to a member that missed the last one. Where frames get lost now and then, suspicions
/// without cause would otherwise grow in number with the fleet, and with them everyone's share of gossip.
const INSISTENCE: usize = 3;
/// Comparisons of lists begun in one round at most.
const SYNCS: usize = 3;

impl Membership {
    /// A process that was paused finds all others silent, and was taken for dead by them. Without this it
    /// would suspect every one of its neighbours when it wakes up.
    pub(super) fn notice_pause(&mut self, now: clock::Instant) {
        let Some(last) = self.last_tick.replace(now) else {
            return;
        };
        let pause = now.since(last);
        if pause < self.options.suspect_timeout / 2 {
            return;
        }
        for watch in self.watches.values_mut() {
            watch.heard = now;
        }
        self.table
            .postpone_suspicions(now.after(self.options.dead_timeout));
        if pause >= self.options.suspect_timeout {
            self.say(self.my_update().clone());
        }
    }

    pub(super) fn choose_watches(&mut self, now: clock::Instant) {
        if !std::mem::take(&mut self.stale_watches) {
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
                heard: now,
                patience: 1,
            });
            watches.insert(name, watch);
        }
        self.watches = watches;
    }

    /// Pings the watched members, and suspects the silent ones.
    pub(super) fn ping(&mut self, now: clock::Instant, actions: &mut Vec<Action>) {
        let mut silent = Vec::new();
        for (name, watch) in &mut self.watches {
            let patience = self.options.suspect_timeout.saturating_mul(watch.patience);
            if now.since(watch.heard) >= patience {
                silent.push(watch.key);
            }
            if !self.links.contains(name) {
                continue;
            }
            let missed = now.since(watch.heard) > self.options.ping_interval * 3 / 2;
            for _ in 0..if missed { INSISTENCE } else { 1 } {
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
        self.ping_doubted(actions);
    }

    fn ping_doubted(&mut self, actions: &mut Vec<Action>) {
        let doubted = std::mem::take(&mut self.doubted);
        for name in doubted {
            let state = self.state(&name);
            let still = matches!(state, Some(member::State::Suspect | member::State::Dead));
            if !still || !self.links.contains(&name) {
                continue;
            }
            if !self.watches.contains_key(&name) {
                self.pings += 1;
                actions.push(Action::Ping {
                    to: name.clone(),
                    number: self.pings,
                });
            }
            self.doubted.insert(name);
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
            // It said that it stops, so there is nothing to refute.
            member::State::Leaving
                if now.since(watch.heard)
                    >= self.options.suspect_timeout + self.options.dead_timeout =>
            {
                member::State::Dead
            }
            member::State::Leaving | member::State::Suspect | member::State::Dead => return,
        };
        // Where only the way from here is broken, the member refutes each suspicion; fewer and fewer are
        // raised, so that one bad link doesn't fill the gossip of the whole fleet.
        watch.heard = now;
        watch.patience = (watch.patience * 2).min(LONGEST_PATIENCE);
        self.apply(now, update);
    }

    /// Opens the links that are wanted and lacking.
    pub(super) fn connect(&mut self, now: clock::Instant, actions: &mut Vec<Action>) {
        let mesh = self.is_mesh();
        let chosen = self.watches.keys().chain(&self.wants);
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
            let patient = mesh && self.name > *name && !self.watches.contains_key(name);
            if self
                .links
                .dial(now, &update.address, self.options.ping_interval, patient)
            {
                actions.push(Action::Connect {
                    instance: Some(name.clone()),
                    address: update.address.clone(),
                });
            }
        }
    }

    /// Closes links opened from here that are wanted no longer.
    pub(super) fn disconnect(&mut self, now: clock::Instant, actions: &mut Vec<Action>) {
        let mesh = self.is_mesh();
        let living = |name: &str| {
            let update = self.table.find_update(name);
            update.is_some_and(|update| update.state != member::State::Dead)
        };
        let wanted = |name: &str| {
            let chosen = mesh || self.watches.contains_key(name) || self.wants.contains(name);
            chosen && living(name)
        };
        let address = |name: &str| Some(self.table.find_update(name)?.address.clone());
        let grace = self.options.probe_interval.saturating_mul(2);
        let unwanted = self.links.unwanted(now, grace, wanted, address);
        let disconnects = unwanted.into_iter();
        actions.extend(disconnects.map(|instance| Action::Disconnect { instance }));
        let linked = self.links.iter().filter_map(|name| address(name)).collect();
        self.links.prune(now, grace, &linked);
    }

    /// With no more others than the fan-out, each is linked to each.
    fn is_mesh(&self) -> bool {
        self.table.living() <= self.options.fanout + 1
    }

    /// Tries one that may have come back or is new: after a partition there is no other way to the far side.
    pub(super) fn probe(&mut self, now: clock::Instant, actions: &mut Vec<Action>) {
        if !self.links.is_empty() && now < self.next_probe {
            return;
        }
        self.next_probe = now.after(self.options.probe_interval);
        self.try_seed(now, actions);
        let draw = self.draw();
        let dead = self.table.draw_dead(draw).map(|update| ListEntry {
            instance: update.by.instance.clone(),
            address: update.address.clone(),
        });
        let mut tries: Vec<_> = dead.into_iter().collect();
        tries.extend(self.draw_listed(draw));
        for listed in tries {
            let linked = self.links.contains(&listed.instance);
            if !linked
                && self
                    .links
                    .dial(now, &listed.address, self.options.ping_interval, false)
            {
                actions.push(Action::Connect {
                    instance: Some(listed.instance),
                    address: listed.address,
                });
            }
        }
    }

    /// Tries a seed at which nobody is known to live, also while others are linked. Instances that started
    /// together may know only each other, and would stay an island beside the rest.
    fn try_seed(&mut self, now: clock::Instant, actions: &mut Vec<Action>) {
        let place = self.draw() as usize % self.seeds.len().max(1);
        let around = self.seeds[place..].iter().chain(&self.seeds[..place]);
        let mut absent = around.filter(|address| !self.table.lives_at(address));
        let Some(address) = absent.next() else {
            return;
        };
        if self
            .links
            .dial(now, address, self.options.ping_interval, false)
        {
            actions.push(Action::Connect {
                instance: None,
                address: address.clone(),
            });
        }
    }

    /// A listed instance that isn't known to live.
    fn draw_listed(&self, draw: u64) -> Option<ListEntry> {
        let after = self.listed.range(draw..);
        let around = after.chain(self.listed.range(..draw));
        let mut some = around.take(PROBE_DRAWS).map(|(_, listed)| listed);
        let absent = |listed: &&ListEntry| {
            let state = self.state(&listed.instance);
            state.is_none_or(|state| state == member::State::Dead)
        };
        some.find(absent).cloned()
    }

    /// Compares lists with one neighbour, and at once with whom little is known of.
    pub(super) fn sync(&mut self, now: clock::Instant, actions: &mut Vec<Action>) {
        let mut asked = Vec::new();
        while asked.len() < SYNCS
            && let Some(name) = self.syncs.pop_first()
        {
            asked.extend(Some(name).filter(|name| self.links.contains(name)));
        }
        if asked.is_empty() && now >= self.next_sync {
            asked.extend(self.links.draw(self.draw()).cloned());
        }
        if !asked.is_empty() {
            self.next_sync = now.after(self.options.sync_interval);
        }
        actions.extend(asked.into_iter().map(|to| Action::Sync { to }));
    }

    /// A number that differs from round to round and from instance to instance.
    fn draw(&self) -> u64 {
        xxh3::xxh3_64_with_seed(self.name.as_bytes(), self.rounds)
    }
}
