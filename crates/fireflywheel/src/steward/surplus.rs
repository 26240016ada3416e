//! What a steward gives up: replicas over a limit, of an old version, idle, lost with their server, or pinned.

use std::{collections::BTreeMap, time::Duration};

use super::{Action, Steward, View, plan};
use crate::{clock, document, item, record, right};

/// How long a report must have followed on the last change of a placement to speak against it.
const REPORT_DOUBT: Duration = Duration::from_secs(2);

impl Steward {
    /// Replicas over their cap, of an old version or none, or on a server that goes: idle ones first.
    /// Unloading lets requests in progress finish, so no caller is cut off.
    pub(super) fn unload_surplus(&mut self, view: &View<'_>, out: &mut Vec<Action>) {
        let document = view.ledger.document().clone();
        let mut victims = Vec::new();
        for (key, right) in view.rights(&self.group) {
            if self.is_doubtful(view, right) {
                victims.push(key.clone());
            }
            if right.state != right::State::Loaded {
                continue;
            }
            let outdated = plan::Size::of(&document, &key.item).is_none();
            let leaving = view
                .servers
                .get(&key.server)
                .is_some_and(|server| server.leaving);
            if outdated && self.may_replace(view, key) || leaving || self.is_missing(view, key) {
                victims.push(key.clone());
            }
        }
        victims.extend(self.over_cap(view, &document));
        victims.extend(self.over_memory(view));
        self.unload(victims, out);
    }

    /// Whether a placement is counted only because a late order may have loaded it, and asking can settle
    /// that: its pins are over, or the engine's answer ends them. Left alone it would be counted for ever.
    ///
    /// An answer ends pins of earlier epochs only. Asking about one of this epoch settles nothing, and the
    /// steward would ask again at once, for as long as it lives: a few hundred records a second in the log.
    fn is_doubtful(&self, view: &View<'_>, right: &right::Right) -> bool {
        let fenced = view.fenced(&self.group);
        let mut pins = right.pins.iter();
        let askable = pins.all(|pin| fenced && pin.epoch < self.epoch);
        right.state == right::State::Empty && askable
    }

    /// An outdated version goes once its successor is loaded, or when it stands in the way, or at once when
    /// there is no successor.
    fn may_replace(&self, view: &View<'_>, key: &right::Key) -> bool {
        let document = view.ledger.document();
        let Some(model) = document.models.get(&key.item.model) else {
            return true;
        };
        if key.item.adapter.is_some() {
            return true;
        }
        let current = item::Item::new(key.item.model.clone(), model.version);
        !self.hosts(view, &current).is_empty()
    }

    /// Whether the engine has lost the replica in a restart: its report says so, and is newer than any
    /// change here. The report is only the reason to ask; the unload order's own answer decides.
    fn is_missing(&self, view: &View<'_>, key: &right::Key) -> bool {
        let Some(server) = view.servers.get(&key.server) else {
            return false;
        };
        let Some((seen, report)) = &server.report else {
            return false;
        };
        let settled = self.changed.get(key).copied().unwrap_or(self.since);
        seen.since(settled) > REPORT_DOUBT && !report.loaded.contains(&key.item)
    }

    /// For each model and adapter with more replicas than allowed: the ones to unload.
    fn over_cap(&self, view: &View<'_>, document: &document::Document) -> Vec<right::Key> {
        let mut staying: BTreeMap<_, Vec<(&right::Key, &right::Right)>> = BTreeMap::new();
        for (key, right) in view.rights(&self.group) {
            if !matches!(right.state, right::State::Unloading { .. }) {
                let family = (&key.item.model, &key.item.adapter);
                staying.entry(family).or_default().push((key, right));
            }
        }
        let mut victims = Vec::new();
        for held in staying.into_values() {
            let cap = plan::cap(document, &held[0].0.item) as usize;
            let surplus = held.len().saturating_sub(cap);
            let loaded = held
                .iter()
                .filter(|(_, right)| right.state == right::State::Loaded);
            let mut loaded: Vec<_> = loaded.map(|(key, _)| *key).collect();
            if surplus > 0 {
                loaded.sort_by_key(|key| !self.is_idle(view, &key.item));
                victims.extend(loaded.into_iter().take(surplus).cloned());
            }
        }
        victims
    }

    /// For each backend server that holds more than its memory, lowered since: the least worth keeping.
    fn over_memory(&self, view: &View<'_>) -> Vec<right::Key> {
        let Some(group) = view.group(&self.group) else {
            return Vec::new();
        };
        let mut victims = Vec::new();
        for server in view.servers.keys() {
            let here = view.rights(&self.group);
            let here: Vec<_> = here.filter(|(key, _)| key.server == *server).collect();
            let leaving =
                |right: &right::Right| matches!(right.state, right::State::Unloading { .. });
            let staying = here.iter().filter(|(_, right)| !leaving(right));
            let mut held: u64 = staying.map(|(_, right)| right.memory_mb).sum();
            for (key, right) in &here {
                if held > group.memory_mb && right.state == right::State::Loaded {
                    held -= right.memory_mb;
                    victims.push((*key).clone());
                }
            }
        }
        victims
    }

    /// Unloads models that have been idle for longer than their expected next use is worth, and the adapters
    /// on them first. An adapter alone is small and loads in milliseconds: it stays as long as its model.
    pub(super) fn unload_idle(&mut self, view: &View<'_>, out: &mut Vec<Action>) {
        let policy = self.policy(view);
        let idle = view.rights(&self.group).filter(|(key, right)| {
            right.state == right::State::Loaded
                && key.item.adapter.is_none()
                && self.is_idle_with_adapters(view, key)
                && policy.should_unload_idle(view.now, &self.replica(view, key, right))
        });
        let victims: Vec<_> = idle.map(|(key, _)| key.clone()).collect();
        let victims = self.with_adapters(view, victims);
        self.unload(victims, out);
    }

    /// Ends pins as the document allows; the ledger checks the time by the log's own clock.
    pub(super) fn release_pins(&mut self, view: &View<'_>, out: &mut Vec<Action>) {
        let Some(group) = view.group(&self.group) else {
            return;
        };
        let document::PinRelease::After(wait) = group.pin_release else {
            return;
        };
        let wait_ms = clock::millis(wait);
        for (key, right) in view.rights(&self.group) {
            let Some(newest) = right.pins.iter().map(|pin| pin.since_ms).max() else {
                continue;
            };
            let seen = *self.pinned.entry(key.clone()).or_insert((newest, view.now));
            if seen.0 != newest {
                self.pinned.insert(key.clone(), (newest, view.now));
                continue;
            }
            let due = clock::millis(view.now.since(seen.1)) >= wait_ms;
            // An own order that still waits for its answer is no matter of age.
            if due && !self.awaits_answer(&key.server) {
                self.pinned.insert(key.clone(), (newest, view.now));
                out.push(Action::Append(record::Entry::Release {
                    group: self.group.clone(),
                    epoch: self.epoch,
                    server: key.server.clone(),
                    item: key.item.clone(),
                }));
            }
        }
        self.pinned.retain(|key, _| {
            let right = view.ledger.right(key);
            right.is_some_and(|right| !right.pins.is_empty())
        });
    }

    /// Frees the replicas of backend servers that the platform has not listed for long. What changed there
    /// after the server was last listed is left alone at first, since it may tell of a new process at the
    /// address; it goes when the server was absent for as long again.
    pub(super) fn give_up_gone(&mut self, view: &View<'_>, out: &mut Vec<Action>) {
        for (address, server) in view.servers {
            let Some(absent_since) = server.absent_since else {
                self.gone.remove(address);
                continue;
            };
            let last = self.gone.get(address).copied();
            let (since, seen) = last.unwrap_or((absent_since, server.absent_offset));
            if view.now.since(since) < view.gone_after || self.awaits_answer(address) {
                // An order still on its way might reach the next process at the address after the right is
                // gone.
                continue;
            }
            // What is pinned there can't be freed by this.
            let holds = view.rights(&self.group).any(|(key, right)| {
                let freed = right.state != right::State::Empty || right.pins.is_empty();
                key.server == *address && freed
            });
            if !holds {
                continue;
            }
            self.gone
                .insert(address.clone(), (view.now, view.ledger.next()));
            out.push(Action::Append(record::Entry::Gone {
                group: self.group.clone(),
                epoch: self.epoch,
                server: address.clone(),
                seen,
            }));
        }
    }
}
