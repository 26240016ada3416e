//! Planning of a steward's next orders: loads for waiting callers, and unloads of replicas that are over a
//! limit or idle.

mod load_limits;
mod server_choice;

use std::{collections::BTreeSet, time::Duration};

use smol_str::SmolStr;

use super::{Action, Server, Steward, View, demand::ItemDemand};
use crate::{clock, document, item, placement, right, wire};

/// How long an instance should wait before it asks again for an item that cannot be loaded now.
const BUSY_RETRY_DELAY: Duration = Duration::from_secs(1);

/// How long a new steward treats no replica as idle, so that the other instances can report what they use. They
/// do so as soon as they read its epoch from the log. Requests of an instance whose report did not arrive are
/// not cut off, since an engine finishes its running requests before it unloads.
const LEARNING_PERIOD: Duration = Duration::from_millis(1500);

/// The next step towards loading a wanted item.
enum Step {
    /// Nothing to do: the item is loaded, being loaded, proposed, or delayed.
    NoAction,
    /// Load the item on this backend server.
    Load(SmolStr),
    /// Unload these placements first, to make room.
    Unload(Vec<right::Key>),
    /// Load this model first, since the wanted adapter needs it.
    LoadBase(item::Item),
    /// The item cannot be loaded now, for this reason.
    Busy(&'static str),
}

impl Steward {
    /// Overrides the policy that the document sets, to compare policies on one trace.
    #[must_use]
    pub fn with_policy(mut self, policy: placement::Policy) -> Self {
        self.demand.policy = Some(policy);
        self
    }

    /// Proposes intents, based on the state of the ledger and the demand.
    pub(super) fn plan(&mut self, view: &View<'_>, out: &mut Vec<Action>) {
        self.demand.remove_expired(view.now);
        self.load_backoff.retain(|_, until| *until > view.now);
        self.release_pins(view, out);
        self.release_gone_servers(view, out);
        self.unload_surplus(view, out);
        self.load_wanted(view, out);
        self.unload_idle(view, out);
    }

    /// Loads the wanted items, the most urgent first, as far as the store's limits permit.
    fn load_wanted(&mut self, view: &View<'_>, out: &mut Vec<Action>) {
        let mut queue = self.wants_by_urgency(view);
        queue.reverse();
        let mut seen = BTreeSet::new();
        while let Some(want) = queue.pop() {
            if !seen.insert(want.item.clone()) {
                continue;
            }
            match self.next_step(view, &want) {
                Step::NoAction => {}
                Step::Load(server) => self.load(view, &want.item, server, out),
                Step::Unload(victims) => self.unload(victims, out),
                Step::LoadBase(base) => queue.push(ItemDemand { item: base, ..want }),
                Step::Busy(reason) => self.notify_busy(&want.item, reason, out),
            }
        }
    }

    fn wants_by_urgency(&self, view: &View<'_>) -> Vec<ItemDemand> {
        let mut wants = self.demand.pending();
        wants.extend(self.overloaded(view));
        wants.extend(self.outdated_successors(view));
        let document = view.ledger.document();
        let cold_items = wants.iter().enumerate().map(|(index, want)| {
            let model = document.models.get(&want.item.model);
            placement::ColdItem {
                key: index,
                deadline: want.deadline,
                waiting: want.callers,
                load_time: model.map_or(Duration::ZERO, |model| model.load),
            }
        });
        let cold_items: Vec<_> = cold_items.collect();
        let order = self.policy(view).load_order(view.now, &cold_items);
        order
            .into_iter()
            .map(|index| wants[index].clone())
            .collect()
    }

    fn next_step(&self, view: &View<'_>, want: &ItemDemand) -> Step {
        let document = view.ledger.document();
        let Some(spec) = ItemSpec::of(document, &want.item) else {
            return Step::Busy("the configuration doesn't name it");
        };
        if !view.log_readable {
            return Step::Busy("the platform's log can't be reached");
        }
        if self.load_backoff.contains_key(&want.item) {
            return Step::NoAction;
        }
        let is_wanted = |key: &right::Key| key.item == want.item;
        if self.proposed.keys().any(is_wanted) {
            return Step::NoAction;
        }
        let held: Vec<_> = self.replicas(view, &want.item);
        let mut own = held.iter().filter(|(key, _)| key.item == want.item);
        if own.any(|(_, right)| matches!(right.state, right::State::Loading { .. })) {
            return Step::NoAction;
        }
        if !self.needs_replica(view, want, &held) {
            return Step::NoAction;
        }
        if want.item.adapter.is_some() && self.hosts(view, &want.item.base()).is_empty() {
            return Step::LoadBase(want.item.base());
        }
        if want.item.adapter.is_some() && !self.is_load_permitted(view, &want.item) {
            return Step::NoAction;
        }
        if let Some((key, _)) = held.iter().find(|(key, right)| {
            key.item == want.item && right.state == right::State::Empty && self.is_usable(view, key)
        }) {
            return Step::Load(key.server.clone());
        }
        if held.len() >= spec.replicas as usize {
            return self.make_room_under_cap(view, want, &held);
        }
        let required_mb = self.required_mb(view, want, spec.memory_mb);
        self.choose_placement(view, want, required_mb)
    }

    /// Makes room under a cap that is used up by replicas of another version or on a server that takes no new
    /// replicas.
    fn make_room_under_cap(
        &self,
        view: &View<'_>,
        want: &ItemDemand,
        held: &[(&right::Key, &right::Right)],
    ) -> Step {
        let replaceable = held.iter().filter(|(key, right)| {
            right.state == right::State::Loaded
                && (key.item != want.item || !self.is_usable(view, key))
        });
        let victims: Vec<_> = replaceable.take(1).map(|(key, _)| (*key).clone()).collect();
        if !victims.is_empty() {
            return Step::Unload(victims);
        }
        let is_unloading =
            |right: &right::Right| matches!(right.state, right::State::Unloading { .. });
        if held.iter().any(|(_, right)| is_unloading(right)) {
            return Step::NoAction;
        }
        Step::Busy("as many replicas as allowed are loaded or pinned")
    }

    pub(super) fn policy(&self, view: &View<'_>) -> placement::Policy {
        let weight = view.ledger.document().serving.cold_start_weight;
        let configured = self.demand.policy;
        configured.unwrap_or_else(|| placement::Policy::new(weight))
    }

    /// The policy's view of a loaded replica.
    pub(super) fn replica<'b>(
        &self,
        view: &View<'_>,
        key: &'b right::Key,
        right: &right::Right,
    ) -> placement::Replica<&'b right::Key> {
        let usage = self.demand.usage(&key.item);
        let model = view.ledger.document().models.get(&key.item.model);
        let last_used = usage.and_then(|usage| usage.last_used);
        let last_used = last_used.unwrap_or(self.started_at).max(self.started_at);
        placement::Replica {
            key,
            memory_mb: right.memory_mb,
            load_time: model
                .map_or(Duration::ZERO, |model| model.load)
                .mul_f64(self.source(view, &key.server, &key.item).load_time_ratio()),
            rate: usage
                .map(|usage| usage.rate)
                .unwrap_or_default()
                .with_shared(&self.demand.idle_times),
            idle_since: self.is_idle(view, &key.item).then_some(last_used),
        }
    }

    /// The source from which a backend server would load an item, by its newest report.
    fn source(&self, view: &View<'_>, server: &SmolStr, item: &item::Item) -> placement::Source {
        let server = view.servers.get(server);
        let report = server.and_then(|server| server.report.as_ref());
        let source = report.and_then(|(_, report)| report.source(&item.base()));
        source.unwrap_or(placement::Source::Remote)
    }

    /// Whether an item is neither in use nor wanted. A new steward cannot tell until the other instances have
    /// reported; see [`LEARNING_PERIOD`].
    pub(super) fn is_idle(&self, view: &View<'_>, item: &item::Item) -> bool {
        let has_reports = self.epoch == 1 || view.now.since(self.started_at) >= LEARNING_PERIOD;
        has_reports && !self.demand.is_wanted(item) && self.demand.active(view.now, item) == 0
    }

    /// Replaces each model that still has adapters by those adapters, which have to be unloaded before the model.
    ///
    /// The ledger refuses to unload a model that has adapters. If such models were left out, memory would fill up
    /// with models that have adapters, and callers of all other models would be refused.
    pub(super) fn with_adapters(
        &self,
        view: &View<'_>,
        models: Vec<right::Key>,
    ) -> Vec<right::Key> {
        let mut victims = Vec::new();
        for key in models {
            let adapters: Vec<_> = adapters_on(view, &key).collect();
            if adapters.is_empty() {
                victims.push(key);
                continue;
            }
            let loaded = adapters
                .into_iter()
                .filter(|(_, right)| right.state == right::State::Loaded);
            victims.extend(loaded.map(|(adapter, _)| adapter.clone()));
        }
        victims
    }

    /// Whether neither a model nor any of its adapters is in use, and no adapter is being loaded.
    pub(super) fn is_idle_with_adapters(&self, view: &View<'_>, key: &right::Key) -> bool {
        let mut adapters = adapters_on(view, key);
        self.is_idle(view, &key.item)
            && adapters.all(|(key, right)| {
                !matches!(right.state, right::State::Loading { .. })
                    && self.is_idle(view, &key.item)
            })
    }

    /// Whether a loaded replica may be evicted: a model that is idle together with its adapters, or an idle adapter
    /// on a model that is not.
    fn is_evictable(&self, view: &View<'_>, key: &right::Key) -> bool {
        if key.item.adapter.is_none() {
            return self.is_idle_with_adapters(view, key);
        }
        let base = right::Key {
            server: key.server.clone(),
            item: key.item.base(),
        };
        self.is_idle(view, &key.item) && !self.is_idle_with_adapters(view, &base)
    }

    /// Proposes to unload these placements.
    pub(super) fn unload(&mut self, victims: Vec<right::Key>, out: &mut Vec<Action>) {
        for key in victims {
            self.propose(key, false, out);
        }
    }

    fn load(&mut self, view: &View<'_>, item: &item::Item, server: SmolStr, out: &mut Vec<Action>) {
        debug_assert!(view.servers.contains_key(&server));
        let key = right::Key {
            server,
            item: item.clone(),
        };
        self.count_store_load(view, &key);
        self.propose(key, true, out);
    }

    fn notify_busy(&self, item: &item::Item, reason: &'static str, out: &mut Vec<Action>) {
        let retry_ms = clock::millis(BUSY_RETRY_DELAY);
        for to in self.demand.waiting_instances(item) {
            let frame = wire::Frame::Busy {
                group: self.group.clone(),
                item: item.clone(),
                retry_ms,
                reason: SmolStr::new_static(reason),
            };
            out.push(Action::SendFrame { to, frame });
        }
    }

    /// All rights that count against the item's cap: those of the same model or adapter, over all versions.
    pub(super) fn replicas<'b>(
        &self,
        view: &'b View<'_>,
        item: &item::Item,
    ) -> Vec<(&'b right::Key, &'b right::Right)> {
        let rights = view.ledger.rights().iter();
        let same = rights
            .filter(|(key, _)| key.item.model == item.model && key.item.adapter == item.adapter);
        same.collect()
    }

    /// The backend servers on which an item is loaded and may be used.
    pub(super) fn hosts(&self, view: &View<'_>, item: &item::Item) -> Vec<SmolStr> {
        let rights = view.rights(&self.group);
        let loaded = rights.filter(|(key, right)| {
            key.item == *item && right.state == right::State::Loaded && self.is_usable(view, key)
        });
        loaded.map(|(key, _)| key.server.clone()).collect()
    }

    /// The backend servers on which an item may be loaded; for an adapter, those on which its model is loaded.
    fn candidate_servers(&self, view: &View<'_>, item: &item::Item) -> Vec<SmolStr> {
        let holds = |server: &SmolStr| {
            let key = right::Key {
                server: server.clone(),
                item: item.clone(),
            };
            view.ledger.right(&key).is_some()
        };
        if item.adapter.is_some() {
            let mut hosts = self.hosts(view, &item.base());
            hosts.retain(|server| !holds(server));
            return hosts;
        }
        let servers = view.servers.iter();
        let available =
            servers.filter(|(address, server)| server.accepts_replicas() && !holds(address));
        available.map(|(address, _)| address.clone()).collect()
    }

    pub(super) fn is_usable(&self, view: &View<'_>, key: &right::Key) -> bool {
        let server = view.servers.get(&key.server);
        server.is_some_and(Server::accepts_replicas)
    }

    /// The memory of a backend server, in MB, that no right and no proposed load takes.
    fn free_mb(&self, view: &View<'_>, server: &SmolStr) -> u64 {
        let memory_mb = view.group(&self.group).map_or(0, |group| group.memory_mb);
        memory_mb.saturating_sub(self.held_mb(view, server))
    }

    fn held_mb(&self, view: &View<'_>, server: &SmolStr) -> u64 {
        let rights = view.ledger.rights().iter();
        let here = rights.filter(|(key, _)| key.server == *server);
        let held: u64 = here.map(|(_, right)| right.memory_mb).sum();
        let document = view.ledger.document();
        let proposed = self
            .proposed
            .keys()
            .filter(|key| key.server == *server && view.ledger.right(key).is_none());
        let proposed: u64 = proposed
            .filter_map(|key| ItemSpec::of(document, &key.item))
            .map(|spec| spec.memory_mb)
            .sum();
        held + proposed
    }
}

/// The memory of a replica of an item, and the item's replica cap, as the document sets them.
pub(super) struct ItemSpec {
    memory_mb: u64,
    replicas: u32,
}

impl ItemSpec {
    /// Returns `None` when the document does not define the item in this version.
    pub(super) fn of(document: &document::Document, item: &item::Item) -> Option<Self> {
        let model = document.models.get(&item.model)?;
        if model.version != item.version {
            return None;
        }
        let Some(adapter) = &item.adapter else {
            return Some(Self {
                memory_mb: model.memory_mb,
                replicas: model.replicas,
            });
        };
        let adapter = document.adapters.get(&item.model)?.get(adapter)?;
        Some(Self {
            memory_mb: adapter.memory_mb,
            replicas: adapter.replicas,
        })
    }
}

/// The number of replicas of a model or adapter, over all versions, that the document allows.
pub(super) fn replica_cap(document: &document::Document, item: &item::Item) -> u32 {
    match &item.adapter {
        None => document
            .models
            .get(&item.model)
            .map_or(0, |model| model.replicas),
        Some(name) => {
            let adapters = document.adapters.get(&item.model);
            let adapter = adapters.and_then(|adapters| adapters.get(name));
            adapter.map_or(0, |adapter| adapter.replicas)
        }
    }
}

/// The rights for adapters of a model on the model's server, except empty ones.
fn adapters_on<'a>(
    view: &'a View<'_>,
    model: &'a right::Key,
) -> impl Iterator<Item = (&'a right::Key, &'a right::Right)> {
    let rights = view.ledger.rights().range(model..);
    let same = rights.take_while(move |(key, _)| {
        key.server == model.server && key.item.model == model.item.model
    });
    same.filter(move |(key, right)| {
        key.item.adapter.is_some()
            && key.item.version == model.item.version
            && right.state != right::State::Empty
    })
}
