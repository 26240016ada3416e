//! Queues of requests for one model, adapter or route, and the candidate servers of their requests.

use std::{collections::BTreeMap, time::Duration};

use smol_str::SmolStr;

use super::Node;
use crate::{
    clock, document, effect, estimate, item, queue, request, right, routing, server, steward,
    verdict,
};

slotmap::new_key_type! {
    /// Identifies a queue of this instance.
    pub(super) struct Key;
}

/// Time for which a placement receives no requests after its engine answered that the item isn't loaded.
const NOT_LOADED_BACKOFF: Duration = Duration::from_secs(1);

/// Minimum time for which a placement receives no requests after its engine answered that it is full.
const MIN_FULL_BACKOFF: Duration = Duration::from_millis(20);

/// Maximum time for which a placement receives no requests after its engine answered that it is full.
const MAX_FULL_BACKOFF: Duration = Duration::from_millis(500);

/// The target of a queue.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Name {
    /// A model, and optionally an adapter.
    Model(SmolStr, Option<SmolStr>),
    /// A route to plain services.
    Route(SmolStr),
}

/// The requests that wait for one model, adapter or route, and statistics of that target.
#[derive(Debug)]
pub(super) struct TargetQueue {
    pub name: Name,
    pub group: SmolStr,
    /// The item in the version that the configuration names; `None` for a route.
    pub item: Option<item::Item>,
    pub waiting: queue::Queue,
    pub running: u32,
    pub finished: u32,
    pub service_time: estimate::Estimate,
    pub load_time: estimate::Estimate,
    /// Time since which requests have waited without a replica.
    pub cold_since: Option<clock::Instant>,
    /// Time until which refused callers are expected to retry. The item is requested from the steward until
    /// then.
    pub retries_expected_until: clock::Instant,
    pub want_sent_at: Option<clock::Instant>,
    candidates: Vec<server::Key>,
    candidates_revision: u64,
}

impl TargetQueue {
    /// Returns the name of the target as shown to operators.
    pub fn label(&self) -> SmolStr {
        match &self.name {
            Name::Model(model, None) => model.clone(),
            Name::Model(model, Some(adapter)) => SmolStr::new(format!("{model}:{adapter}")),
            Name::Route(route) => route.clone(),
        }
    }
}

/// The backend servers of one group.
#[derive(Debug, Default)]
pub(super) struct Group {
    pub table: routing::Table,
    pub servers: BTreeMap<SmolStr, steward::Server>,
}

impl Node {
    /// Returns the number of requests that one backend server of a group runs concurrently.
    pub(super) fn slots_per_server(&self, group: &str) -> u32 {
        let group = self.config.document.groups.get(group);
        group.map_or(1, |group| group.slots)
    }

    pub(super) fn is_engine_group(&self, group: &str) -> bool {
        let group = self.config.document.groups.get(group);
        group.is_some_and(|group| group.kind == document::Kind::Engine)
    }

    /// Returns the queue of a target. Creates it if the configuration names the target; otherwise returns
    /// `None`.
    pub(super) fn queue_for(&mut self, target: &request::Target) -> Option<Key> {
        let document = &self.config.document;
        let name = match target {
            request::Target::Model { model, adapter } => {
                document.models.get(model)?;
                if let Some(adapter) = adapter {
                    document.adapters.get(model)?.get(adapter)?;
                }
                Name::Model(model.clone(), adapter.clone())
            }
            request::Target::Path { path, .. } => Name::Route(document.route(path)?.0.clone()),
        };
        if let Some(key) = self.queue_keys.get(&name) {
            return Some(*key);
        }
        let queue = self.new_queue(name.clone())?;
        let key = self.queues.insert(queue);
        self.queue_keys.insert(name, key);
        Some(key)
    }

    fn new_queue(&self, name: Name) -> Option<TargetQueue> {
        let (group, item, service, load) = look_up(&self.config.document, &name)?;
        Some(TargetQueue {
            group,
            item,
            waiting: queue::Queue::new(self.options.max_queue),
            running: 0,
            finished: 0,
            service_time: estimate::Estimate::new(service),
            load_time: estimate::Estimate::new(load),
            cold_since: None,
            retries_expected_until: clock::Instant::default(),
            want_sent_at: None,
            candidates: Vec::new(),
            candidates_revision: 0,
            name,
        })
    }

    /// Applies a new configuration to queues and groups. Requests that wait for a target which it no longer
    /// names are refused.
    pub(super) fn reconfigure_queues(
        &mut self,
        now: clock::Instant,
        out: &mut Vec<effect::Effect>,
    ) {
        self.invalidate_candidates();
        let document = self.config.document.clone();
        for (name, group) in &mut self.groups {
            let slots = document.groups.get(name).map_or(1, |group| group.slots);
            group.table.set_slots(slots);
        }
        let queues: Vec<Key> = self.queues.keys().collect();
        for key in queues {
            let Some(queue) = self.queues.get_mut(key) else {
                continue;
            };
            if let Some((group, item, ..)) = look_up(&document, &queue.name) {
                queue.group = group;
                queue.item = item;
                continue;
            }
            let waiting = queue.waiting.take_expired(clock::Instant(u64::MAX));
            for request in waiting {
                let refusal = request::Refusal::new(
                    request::Code::UnknownTarget,
                    "the configuration no longer names it",
                );
                self.refuse(now, request, refusal, out);
            }
        }
        self.dispatch_all_waiting(now, out);
    }

    /// Invalidates the cached candidates of all queues.
    pub(super) fn invalidate_candidates(&mut self) {
        self.placements_revision += 1;
    }

    /// Returns the backend servers to which requests of a queue may be sent now.
    pub(super) fn candidates(&mut self, now: clock::Instant, key: Key) -> Vec<server::Key> {
        let current = self.placements_revision;
        let Some(queue) = self.queues.get(key) else {
            return Vec::new();
        };
        if queue.candidates_revision == current {
            return queue.candidates.clone();
        }
        let candidates = self.find_candidates(now, queue);
        if let Some(queue) = self.queues.get_mut(key) {
            queue.candidates_revision = current;
            queue.candidates.clone_from(&candidates);
        }
        candidates
    }

    fn find_candidates(&self, now: clock::Instant, queue: &TargetQueue) -> Vec<server::Key> {
        let Some(group) = self.groups.get(&queue.group) else {
            return Vec::new();
        };
        let Some(item) = &queue.item else {
            return group.table.iter().map(|(key, _)| key).collect();
        };
        let Some(ledger) = &self.log.ledger else {
            return Vec::new();
        };
        let rights = ledger.rights().iter();
        let usable = rights.filter(|(key, right)| {
            key.item.model == item.model
                && key.item.adapter == item.adapter
                && self.is_usable_placement(now, key, right)
        });
        usable
            .filter_map(|(key, _)| group.table.find(&key.server))
            .collect()
    }

    /// Returns whether requests may be sent to a placement. It has to be loaded according to the ledger, or
    /// according to its steward under a right that the ledger has. A placement that is being unloaded
    /// receives no new requests.
    fn is_usable_placement(
        &self,
        now: clock::Instant,
        key: &right::Key,
        right: &right::Right,
    ) -> bool {
        let loaded = match right.state {
            right::State::Loaded => true,
            right::State::Loading { .. } => self.ready_hints.contains_key(key),
            right::State::Unloading { .. } | right::State::Empty => false,
        };
        let suspended = self
            .suspended_until
            .get(key)
            .is_some_and(|until| *until > now);
        loaded && !suspended
    }

    /// Returns the number of replicas to which requests of a queue may be sent.
    pub(super) fn replica_count(&mut self, now: clock::Instant, key: Key) -> usize {
        self.candidates(now, key).len()
    }

    /// Returns whether no replica is available to a queue.
    pub(super) fn is_cold(&mut self, now: clock::Instant, key: Key) -> bool {
        self.candidates(now, key).is_empty()
    }

    /// Dispatches as many waiting requests as possible from every queue.
    pub(super) fn dispatch_all_waiting(
        &mut self,
        now: clock::Instant,
        out: &mut Vec<effect::Effect>,
    ) {
        let queues: Vec<Key> = self.queues.keys().collect();
        for queue in queues {
            self.dispatch_waiting(now, queue, out);
        }
    }

    /// Dispatches as many waiting requests as possible from one queue.
    pub(super) fn dispatch_waiting(
        &mut self,
        now: clock::Instant,
        key: Key,
        out: &mut Vec<effect::Effect>,
    ) {
        let waiting = self
            .queues
            .get(key)
            .is_some_and(|queue| !queue.waiting.is_empty());
        if !waiting {
            return;
        }
        let candidates = self.candidates(now, key);
        self.track_cold_start(now, key, candidates.is_empty());
        while let Some(server) = self.next_server(now, key, &candidates) {
            let Some(queue) = self.queues.get_mut(key) else {
                return;
            };
            let Some(request) = queue.waiting.pop() else {
                return;
            };
            self.dispatch(now, key, request, server, out);
        }
        self.send_want(now, key, candidates.len(), out);
    }

    fn next_server(
        &mut self,
        now: clock::Instant,
        key: Key,
        candidates: &[server::Key],
    ) -> Option<server::Key> {
        let request = self.queues.get(key)?.waiting.peek()?;
        let prefix = self.requests.get(request)?.arrival.prefix;
        let seed = self.next_random();
        let group = self.groups.get(&self.queues.get(key)?.group)?;
        group.table.choose(now, candidates, prefix, seed)
    }

    /// Suspends placements whose engine answered that the item isn't loaded, contrary to the ledger, for
    /// [`NOT_LOADED_BACKOFF`].
    pub(super) fn suspend_not_loaded(&mut self, now: clock::Instant, server: &SmolStr, queue: Key) {
        for key in self.placements_at(server, queue) {
            self.ready_hints.remove(&key);
            self.suspended_until
                .insert(key, now.after(NOT_LOADED_BACKOFF));
        }
        self.invalidate_candidates();
    }

    /// Suspends placements whose engine answered that it is full. Other instances send requests to it too,
    /// so slots that appear free to this instance may be taken. The engine is tried again after the mean
    /// service time, when about one request should have ended there.
    pub(super) fn suspend_full(&mut self, now: clock::Instant, server: &SmolStr, queue: Key) {
        let service = self
            .queues
            .get(queue)
            .map(|queue| queue.service_time.mean());
        let wait = service
            .unwrap_or(MAX_FULL_BACKOFF)
            .clamp(MIN_FULL_BACKOFF, MAX_FULL_BACKOFF);
        for key in self.placements_at(server, queue) {
            self.suspended_until.insert(key, now.after(wait));
        }
        self.invalidate_candidates();
    }

    /// Returns the placements of a queue's item on a backend server, in all versions.
    pub(super) fn placements_at(&self, server: &SmolStr, queue: Key) -> Vec<right::Key> {
        let Some(item) = self.queues.get(queue).and_then(|queue| queue.item.clone()) else {
            return Vec::new();
        };
        let Some(ledger) = &self.log.ledger else {
            return Vec::new();
        };
        let rights = ledger.rights().keys();
        let placements = rights.filter(|key| {
            key.server == *server
                && key.item.model == item.model
                && key.item.adapter == item.adapter
        });
        placements.cloned().collect()
    }

    pub(super) fn tick_queues(&mut self, now: clock::Instant, out: &mut Vec<effect::Effect>) {
        self.remove_expired_hints(now);
        let queues: Vec<Key> = self.queues.keys().collect();
        for queue in queues {
            self.refuse_expired(now, queue, out);
            self.dispatch_waiting(now, queue, out);
            self.send_want_for_refused(now, queue, out);
        }
        self.tick_claims(now, out);
        self.report_usage(now, out);
    }

    fn remove_expired_hints(&mut self, now: clock::Instant) {
        let before = self.suspended_until.len() + self.ready_hints.len();
        self.suspended_until.retain(|_, until| *until > now);
        if let Some(ledger) = &self.log.ledger {
            self.ready_hints.retain(|key, _| {
                let right = ledger.right(key);
                right.is_some_and(|right| matches!(right.state, right::State::Loading { .. }))
            });
        }
        if self.suspended_until.len() + self.ready_hints.len() != before {
            self.invalidate_candidates();
        }
    }

    /// Refuses requests that can no longer be answered in time, early enough for the refusal to arrive
    /// before the deadline.
    fn refuse_expired(&mut self, now: clock::Instant, key: Key, out: &mut Vec<effect::Effect>) {
        let Some(queue) = self.queues.get_mut(key) else {
            return;
        };
        let horizon = now.after(queue.service_time.upper_bound());
        let late = queue.waiting.take_expired(horizon);
        let retry = self.queues[key].service_time.mean();
        for request in late {
            let refusal =
                request::Refusal::new(request::Code::TooLate, "its turn would come too late")
                    .with_verdict(verdict::Verdict::NotRun)
                    .with_retry_after(retry);
            self.refuse(now, request, refusal, out);
        }
    }
}

/// Returns the group, the item, and the expected service and load time of a target according to the
/// document.
fn look_up(
    document: &document::Document,
    name: &Name,
) -> Option<(SmolStr, Option<item::Item>, Duration, Duration)> {
    /// Expected service time of a plain service until a call was measured.
    const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(20);
    match name {
        Name::Model(model, adapter) => {
            let named = document.models.get(model)?;
            let mut item = item::Item::new(model.clone(), named.version);
            if let Some(adapter) = adapter {
                document.adapters.get(model)?.get(adapter)?;
                item = item.with_adapter(adapter.clone());
            }
            Some((named.group.clone(), Some(item), named.service, named.load))
        }
        Name::Route(route) => {
            let route = document.routes.get(route)?;
            Some((
                route.group.clone(),
                None,
                DEFAULT_SERVICE_TIME,
                Duration::ZERO,
            ))
        }
    }
}
