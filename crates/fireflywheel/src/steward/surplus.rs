//! What a steward removes: replicas that are over a limit, of an old version, idle or lost with their server,
//! and pins that may be released.

use std::{collections::BTreeMap, time::Duration};

use super::{Action, Steward, View, plan};
use crate::{clock, document, item, record, right};

/// How much later than the last change of a placement a report must be for it to count as evidence against the
/// placement.
const MIN_REPORT_LAG: Duration = Duration::from_secs(2);

impl Steward {
    /// Unloads replicas that are over a limit, of a version that the document no longer defines, lost in a restart,
    /// or on a server that is shutting down, and verifies doubtful placements. Of the replicas over a cap, idle
    /// ones go first. Unloading lets requests in progress finish, so no caller is cut off.
    pub(super) fn unload_surplus(&mut self, view: &View<'_>, out: &mut Vec<Action>) {
        let document = view.ledger.document().clone();
        let mut victims = Vec::new();
        for (key, right) in view.rights(&self.group) {
            if self.needs_verification(view, right) {
                victims.push(key.clone());
            }
            if right.state != right::State::Loaded {
                continue;
            }
            let is_outdated = plan::ItemSpec::of(&document, &key.item).is_none();
            let is_leaving = view
                .servers
                .get(&key.server)
                .is_some_and(|server| server.leaving);
            if is_outdated && self.can_unload_outdated(view, key)
                || is_leaving
                || self.is_missing(view, key)
            {
                victims.push(key.clone());
            }
        }
        victims.extend(self.over_cap(view, &document));
        victims.extend(self.over_memory(view));
        self.unload(victims, out);
    }

    /// Whether a placement is counted only because a late order may have loaded it, and an order can resolve that
    /// doubt: the placement's pins have ended, or the engine's answer ends them. Without the order, the
    /// placement would be counted for ever.
    ///
    /// An answer ends only pins of earlier epochs. An order for a placement with a pin of this epoch would resolve
    /// nothing, and the steward would send another one at once for as long as it exists, which would append a
    /// few hundred records a second to the log.
    fn needs_verification(&self, view: &View<'_>, right: &right::Right) -> bool {
        let fenced = view.fenced(&self.group);
        let mut pins = right.pins.iter();
        let is_resolvable = pins.all(|pin| fenced && pin.epoch < self.epoch);
        right.state == right::State::Empty && is_resolvable
    }

    /// Whether a replica of an outdated version may be unloaded: at once when there is no current version or the
    /// item is an adapter, otherwise once the current version is loaded. A replica that blocks the load of the
    /// current version is unloaded by `make_room_under_cap`.
    fn can_unload_outdated(&self, view: &View<'_>, key: &right::Key) -> bool {
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

    /// Whether the engine seems to have lost the replica in a restart: its report does not contain the replica and
    /// is newer than any change of the placement. The report is only the reason to send an unload order; the
    /// answer to that order decides.
    fn is_missing(&self, view: &View<'_>, key: &right::Key) -> bool {
        let Some(server) = view.servers.get(&key.server) else {
            return false;
        };
        let Some((received_at, report)) = &server.report else {
            return false;
        };
        let changed_at = self
            .last_changes
            .get(key)
            .copied()
            .unwrap_or(self.started_at);
        received_at.since(changed_at) > MIN_REPORT_LAG && !report.loaded.contains(&key.item)
    }

    /// The replicas to unload of each model and adapter that has more replicas than its cap allows.
    fn over_cap(&self, view: &View<'_>, document: &document::Document) -> Vec<right::Key> {
        let mut staying: BTreeMap<_, Vec<(&right::Key, &right::Right)>> = BTreeMap::new();
        for (key, right) in view.rights(&self.group) {
            if !matches!(right.state, right::State::Unloading { .. }) {
                let replica_key = (&key.item.model, &key.item.adapter);
                staying.entry(replica_key).or_default().push((key, right));
            }
        }
        let mut victims = Vec::new();
        for held in staying.into_values() {
            let cap = plan::replica_cap(document, &held[0].0.item) as usize;
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

    /// The replicas to unload on each backend server that holds more than the memory limit, which was lowered.
    fn over_memory(&self, view: &View<'_>) -> Vec<right::Key> {
        let Some(group) = view.group(&self.group) else {
            return Vec::new();
        };
        let mut victims = Vec::new();
        for server in view.servers.keys() {
            let here = view.rights(&self.group);
            let here: Vec<_> = here.filter(|(key, _)| key.server == *server).collect();
            let is_unloading =
                |right: &right::Right| matches!(right.state, right::State::Unloading { .. });
            let staying = here.iter().filter(|(_, right)| !is_unloading(right));
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

    /// Unloads models that have been idle for so long that their expected next use does not justify keeping them;
    /// their adapters go first. An adapter is small and loads in milliseconds, so it stays as long as its model.
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

    /// Releases pins as the document allows; the ledger checks their age by the log's clock.
    pub(super) fn release_pins(&mut self, view: &View<'_>, out: &mut Vec<Action>) {
        let Some(group) = view.group(&self.group) else {
            return;
        };
        let document::PinRelease::After(min_age) = group.pin_release else {
            return;
        };
        let min_age_ms = clock::millis(min_age);
        for (key, right) in view.rights(&self.group) {
            let Some(newest) = right.pins.iter().map(|pin| pin.since_ms).max() else {
                continue;
            };
            let known = *self
                .newest_pins
                .entry(key.clone())
                .or_insert((newest, view.now));
            if known.0 != newest {
                self.newest_pins.insert(key.clone(), (newest, view.now));
                continue;
            }
            let is_due = clock::millis(view.now.since(known.1)) >= min_age_ms;
            // The age of a pin means nothing while an order of this steward to the server awaits its answer.
            if is_due && !self.awaits_answer(&key.server) {
                self.newest_pins.insert(key.clone(), (newest, view.now));
                out.push(Action::Append(record::Entry::Release {
                    group: self.group.clone(),
                    epoch: self.epoch,
                    server: key.server.clone(),
                    item: key.item.clone(),
                }));
            }
        }
        self.newest_pins.retain(|key, _| {
            let right = view.ledger.right(key);
            right.is_some_and(|right| !right.pins.is_empty())
        });
    }

    /// Releases the replicas of backend servers that have been absent from the platform's list for
    /// [`View::absence_timeout`]. Rights that changed after the server was last listed are kept at first, since they
    /// may be about a new process at the address; they are released when the server has been absent for the
    /// same time again.
    pub(super) fn release_gone_servers(&mut self, view: &View<'_>, out: &mut Vec<Action>) {
        for (address, server) in view.servers {
            let Some(absent_since) = server.absent_since else {
                self.released_servers.remove(address);
                continue;
            };
            let last = self.released_servers.get(address).copied();
            let (since, seen) = last.unwrap_or((absent_since, server.absent_offset));
            if view.now.since(since) < view.absence_timeout || self.awaits_answer(address) {
                // An order that is still on its way might reach the next process at the address after the right
                // was removed.
                continue;
            }
            // The entry has no effect on empty placements with pins.
            let has_releasable = view.rights(&self.group).any(|(key, right)| {
                let is_releasable = right.state != right::State::Empty || right.pins.is_empty();
                key.server == *address && is_releasable
            });
            if !has_releasable {
                continue;
            }
            self.released_servers
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
