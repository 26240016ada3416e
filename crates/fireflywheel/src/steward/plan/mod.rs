//! What a steward orders next: loads for those who wait, unloads for what is over its limit or idle.

mod bounds;
mod place;

use std::{collections::BTreeSet, time::Duration};

use smol_str::SmolStr;

use super::{Action, Server, Steward, View, demand::Wanted};
use crate::{clock, document, item, placement, right, wire};

/// When it is worth asking again for something that can't be loaded now.
const BUSY_RETRY: Duration = Duration::from_secs(1);

/// A new steward leaves idle replicas alone until the other instances have told it what they use, which they
/// do as soon as they read of it. What an instance uses that was not heard isn't cut off: its engine finishes
/// what runs before it unloads.
const LEARNING: Duration = Duration::from_millis(1500);

/// What a wanted item comes to.
enum Step {
    /// Loaded, being loaded, or proposed already.
    Underway,
    /// A load on this backend server.
    Load(SmolStr),
    /// These placements have to make room first.
    Unload(Vec<right::Key>),
    /// The model has to be loaded before its adapter.
    First(item::Item),
    /// Not now, and why.
    Busy(&'static str),
}

impl Steward {
    /// Decides by this policy in place of the document's setting, to compare policies on one trace.
    #[must_use]
    pub fn with_policy(mut self, policy: placement::Policy) -> Self {
        self.demand.policy = Some(policy);
        self
    }

    /// Decides what to order, from what the ledger holds and what callers want.
    pub(super) fn plan(&mut self, view: &View<'_>, out: &mut Vec<Action>) {
        self.demand.expire(view.now);
        self.resting.retain(|_, until| *until > view.now);
        self.release_pins(view, out);
        self.give_up_gone(view, out);
        self.unload_surplus(view, out);
        self.load_wanted(view, out);
        self.unload_idle(view, out);
    }

    /// Loads what is wanted, the most pressing first, as far as the store's limits go.
    fn load_wanted(&mut self, view: &View<'_>, out: &mut Vec<Action>) {
        let mut queue = self.by_urgency(view);
        queue.reverse();
        let mut seen = BTreeSet::new();
        while let Some(want) = queue.pop() {
            if !seen.insert(want.item.clone()) {
                continue;
            }
            match self.next_step(view, &want) {
                Step::Underway => {}
                Step::Load(server) => self.load(view, &want.item, server, out),
                Step::Unload(victims) => self.unload(victims, out),
                Step::First(base) => queue.push(Wanted { item: base, ..want }),
                Step::Busy(reason) => self.tell_busy(&want.item, reason, out),
            }
        }
    }

    fn by_urgency(&self, view: &View<'_>) -> Vec<Wanted> {
        let mut wanted = self.demand.wanted();
        wanted.extend(self.crowded(view));
        wanted.extend(self.successors(view));
        let document = view.ledger.document();
        let wants = wanted.iter().enumerate().map(|(place, want)| {
            let model = document.models.get(&want.item.model);
            placement::ColdItem {
                key: place,
                deadline: want.deadline,
                waiting: want.callers,
                load: model.map_or(Duration::ZERO, |model| model.load),
            }
        });
        let wants: Vec<_> = wants.collect();
        let order = self.policy(view).load_order(view.now, &wants);
        order
            .into_iter()
            .map(|place| wanted[place].clone())
            .collect()
    }

    fn next_step(&self, view: &View<'_>, want: &Wanted) -> Step {
        let document = view.ledger.document();
        let Some(size) = Size::of(document, &want.item) else {
            return Step::Busy("the configuration doesn't name it");
        };
        if !view.log_readable {
            return Step::Busy("the platform's log can't be reached");
        }
        if self.resting.contains_key(&want.item) {
            return Step::Underway;
        }
        let proposed = |key: &right::Key| key.item == want.item;
        if self.proposed.keys().any(proposed) {
            return Step::Underway;
        }
        let held: Vec<_> = self.replicas(view, &want.item);
        let mut own = held.iter().filter(|(key, _)| key.item == want.item);
        if own.any(|(_, right)| matches!(right.state, right::State::Loading { .. })) {
            return Step::Underway;
        }
        if !self.needs_another(view, want, &held) {
            return Step::Underway;
        }
        if want.item.adapter.is_some() && self.hosts(view, &want.item.base()).is_empty() {
            return Step::First(want.item.base());
        }
        if want.item.adapter.is_some() && !self.permitted(view, &want.item) {
            return Step::Underway;
        }
        if let Some((key, _)) = held.iter().find(|(key, right)| {
            key.item == want.item && right.state == right::State::Empty && self.usable(view, key)
        }) {
            return Step::Load(key.server.clone());
        }
        if held.len() >= size.replicas as usize {
            return self.make_place(view, want, &held);
        }
        let room_mb = self.room_mb(view, want, size.memory_mb);
        self.place(view, want, room_mb)
    }

    /// A cap that is taken up by replicas nobody can use gives way, idle ones of an old version too.
    fn make_place(
        &self,
        view: &View<'_>,
        want: &Wanted,
        held: &[(&right::Key, &right::Right)],
    ) -> Step {
        let useless = held.iter().filter(|(key, right)| {
            right.state == right::State::Loaded
                && (key.item != want.item || !self.usable(view, key))
        });
        let victims: Vec<_> = useless.take(1).map(|(key, _)| (*key).clone()).collect();
        if !victims.is_empty() {
            return Step::Unload(victims);
        }
        let unloading =
            |right: &right::Right| matches!(right.state, right::State::Unloading { .. });
        if held.iter().any(|(_, right)| unloading(right)) {
            return Step::Underway;
        }
        Step::Busy("as many replicas as allowed are loaded or pinned")
    }

    pub(super) fn policy(&self, view: &View<'_>) -> placement::Policy {
        let weight = view.ledger.document().serving.cold_start_weight;
        let given = self.demand.policy;
        given.unwrap_or_else(|| placement::Policy::new(weight))
    }

    /// A loaded replica as the policy sees it.
    pub(super) fn replica<'b>(
        &self,
        view: &View<'_>,
        key: &'b right::Key,
        right: &right::Right,
    ) -> placement::Replica<&'b right::Key> {
        let usage = self.demand.usage(&key.item);
        let model = view.ledger.document().models.get(&key.item.model);
        let last = usage.and_then(|usage| usage.last);
        let last = last.unwrap_or(self.since).max(self.since);
        placement::Replica {
            key,
            memory_mb: right.memory_mb,
            load: model
                .map_or(Duration::ZERO, |model| model.load)
                .mul_f64(self.source(view, &key.server, &key.item).load_time_ratio()),
            rate: usage
                .map(|usage| usage.rate)
                .unwrap_or_default()
                .with_shared(&self.demand.gaps),
            idle_since: self.is_idle(view, &key.item).then_some(last),
        }
    }

    /// Where the checkpoint of an item lies for a backend server, by its newest report.
    fn source(&self, view: &View<'_>, server: &SmolStr, item: &item::Item) -> placement::Source {
        let server = view.servers.get(server);
        let report = server.and_then(|server| server.report.as_ref());
        let source = report.and_then(|(_, report)| report.source(&item.base()));
        source.unwrap_or(placement::Source::Remote)
    }

    /// Whether nobody uses or wants an item. A new steward can't tell until the others have spoken.
    pub(super) fn is_idle(&self, view: &View<'_>, item: &item::Item) -> bool {
        let learned = self.epoch == 1 || view.now.since(self.since) >= LEARNING;
        learned && !self.demand.is_wanted(item) && self.demand.active(view.now, item) == 0
    }

    /// What has to go first so that a model can be unloaded: the adapters on it, then itself.
    ///
    /// The ledger refuses to unload a model under its adapters. If such models were left out, memory would
    /// fill up with models that have adapters, and callers of all others would be refused.
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

    /// Whether neither a model nor an adapter on it is in use, and none is being loaded.
    pub(super) fn is_idle_with_adapters(&self, view: &View<'_>, key: &right::Key) -> bool {
        let mut adapters = adapters_on(view, key);
        self.is_idle(view, &key.item)
            && adapters.all(|(key, right)| {
                !matches!(right.state, right::State::Loading { .. })
                    && self.is_idle(view, &key.item)
            })
    }

    /// Whether a loaded replica may make room: a model that is idle with its adapters, or an idle adapter on
    /// a model that is not.
    fn may_go(&self, view: &View<'_>, key: &right::Key) -> bool {
        if key.item.adapter.is_none() {
            return self.is_idle_with_adapters(view, key);
        }
        let base = right::Key {
            server: key.server.clone(),
            item: key.item.base(),
        };
        self.is_idle(view, &key.item) && !self.is_idle_with_adapters(view, &base)
    }

    /// Proposes unloads.
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

    fn tell_busy(&self, item: &item::Item, reason: &'static str, out: &mut Vec<Action>) {
        let retry_ms = clock::millis(BUSY_RETRY);
        for to in self.demand.waiting(item) {
            let frame = wire::Frame::Busy {
                group: self.group.clone(),
                item: item.clone(),
                retry_ms,
                reason: SmolStr::new_static(reason),
            };
            out.push(Action::SendFrame { to, frame });
        }
    }

    /// All rights that count against the item's cap: of the model over all versions, or of the adapter.
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

    /// Backend servers on which an item is loaded and may be used.
    pub(super) fn hosts(&self, view: &View<'_>, item: &item::Item) -> Vec<SmolStr> {
        let rights = view.rights(&self.group);
        let loaded = rights.filter(|(key, right)| {
            key.item == *item && right.state == right::State::Loaded && self.usable(view, key)
        });
        loaded.map(|(key, _)| key.server.clone()).collect()
    }

    /// Backend servers on which an item may be loaded: for an adapter those that have its model.
    fn candidates(&self, view: &View<'_>, item: &item::Item) -> Vec<SmolStr> {
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
        let taking = servers.filter(|(address, server)| server.takes_replicas() && !holds(address));
        taking.map(|(address, _)| address.clone()).collect()
    }

    pub(super) fn usable(&self, view: &View<'_>, key: &right::Key) -> bool {
        let server = view.servers.get(&key.server);
        server.is_some_and(Server::takes_replicas)
    }

    /// Memory of a backend server that neither a right nor a proposed one takes.
    fn free(&self, view: &View<'_>, server: &SmolStr) -> u64 {
        let memory_mb = view.group(&self.group).map_or(0, |group| group.memory_mb);
        memory_mb.saturating_sub(self.memory_held(view, server))
    }

    fn memory_held(&self, view: &View<'_>, server: &SmolStr) -> u64 {
        let rights = view.ledger.rights().iter();
        let here = rights.filter(|(key, _)| key.server == *server);
        let held: u64 = here.map(|(_, right)| right.memory_mb).sum();
        let document = view.ledger.document();
        let proposed = self
            .proposed
            .keys()
            .filter(|key| key.server == *server && view.ledger.right(key).is_none());
        let proposed: u64 = proposed
            .filter_map(|key| Size::of(document, &key.item))
            .map(|size| size.memory_mb)
            .sum();
        held + proposed
    }
}

/// What a replica of an item takes, as the document says.
pub(super) struct Size {
    memory_mb: u64,
    replicas: u32,
}

impl Size {
    /// `None` when the document doesn't name the item in this version.
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

/// How many replicas of a model or adapter the document allows, over all versions.
pub(super) fn cap(document: &document::Document, item: &item::Item) -> u32 {
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

/// The adapters on a model at its server.
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
