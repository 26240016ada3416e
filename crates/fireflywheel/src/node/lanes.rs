//! Lanes: what waits for one model, adapter or route, and where it may go.

use std::{collections::BTreeMap, time::Duration};

use smol_str::SmolStr;

use super::Node;
use crate::{
    clock, document, effect, estimate, item, queue, request, right, routing, server, steward,
    verdict,
};

slotmap::new_key_type! {
    /// Names a lane of this instance.
    pub(super) struct Key;
}

/// How long a placement is left alone after its engine said that it hasn't loaded the item.
const DENIED_FOR: Duration = Duration::from_secs(1);

/// How long a full engine is left alone, at least and at most.
const SHORTEST_REST: Duration = Duration::from_millis(20);
const LONGEST_REST: Duration = Duration::from_millis(500);

/// What a lane is for.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Name {
    /// A model, perhaps with an adapter.
    Model(SmolStr, Option<SmolStr>),
    /// A route to plain services.
    Route(SmolStr),
}

/// What waits for one model, adapter or route.
#[derive(Debug)]
pub(super) struct Lane {
    pub name: Name,
    pub group: SmolStr,
    /// The item in the version that the configuration names; `None` for a route.
    pub item: Option<item::Item>,
    pub queue: queue::Queue,
    pub running: u32,
    pub finished: u32,
    pub service: estimate::Estimate,
    pub load: estimate::Estimate,
    /// Since when callers have waited without a replica.
    pub cold_since: Option<clock::Instant>,
    /// A refused caller may come back: the item is wanted until then.
    pub interest_until: clock::Instant,
    pub wanted_at: Option<clock::Instant>,
    candidates: Vec<server::Key>,
    known_at: u64,
}

impl Lane {
    /// What operators call it.
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
    /// Requests that one backend server of a group runs at once.
    pub(super) fn slots(&self, group: &str) -> u32 {
        let group = self.config.document.groups.get(group);
        group.map_or(1, |group| group.slots)
    }

    pub(super) fn is_engine(&self, group: &str) -> bool {
        let group = self.config.document.groups.get(group);
        group.is_some_and(|group| group.kind == document::Kind::Engine)
    }

    /// The lane of a target, made when the configuration names it.
    pub(super) fn lane(&mut self, target: &request::Target) -> Option<Key> {
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
        if let Some(key) = self.lane_names.get(&name) {
            return Some(*key);
        }
        let lane = self.new_lane(name.clone())?;
        let key = self.lanes.insert(lane);
        self.lane_names.insert(name, key);
        Some(key)
    }

    fn new_lane(&self, name: Name) -> Option<Lane> {
        let (group, item, service, load) = describe(&self.config.document, &name)?;
        Some(Lane {
            group,
            item,
            queue: queue::Queue::new(self.options.max_queue),
            running: 0,
            finished: 0,
            service: estimate::Estimate::new(service),
            load: estimate::Estimate::new(load),
            cold_since: None,
            interest_until: clock::Instant::default(),
            wanted_at: None,
            candidates: Vec::new(),
            known_at: 0,
            name,
        })
    }

    /// Brings lanes and groups in line with a new configuration. What waits for a target that it no longer
    /// names is refused.
    pub(super) fn reconfigure_lanes(&mut self, now: clock::Instant, out: &mut Vec<effect::Effect>) {
        self.placements_changed();
        let document = self.config.document.clone();
        for (name, group) in &mut self.groups {
            let slots = document.groups.get(name).map_or(1, |group| group.slots);
            group.table.set_slots(slots);
        }
        let lanes: Vec<Key> = self.lanes.keys().collect();
        for key in lanes {
            let Some(lane) = self.lanes.get_mut(key) else {
                continue;
            };
            if let Some((group, item, ..)) = describe(&document, &lane.name) {
                lane.group = group;
                lane.item = item;
                continue;
            }
            let waiting = lane.queue.take_expired(clock::Instant(u64::MAX));
            for request in waiting {
                let refusal = request::Refusal::new(
                    request::Code::UnknownTarget,
                    "the configuration no longer names it",
                );
                self.refuse(now, request, refusal, out);
            }
        }
        self.pump_all(now, out);
    }

    /// Something changed that candidates are worked out from.
    pub(super) fn placements_changed(&mut self) {
        self.placements += 1;
    }

    /// Where a lane's requests may go now.
    pub(super) fn candidates(&mut self, now: clock::Instant, key: Key) -> Vec<server::Key> {
        let current = self.placements;
        let Some(lane) = self.lanes.get(key) else {
            return Vec::new();
        };
        if lane.known_at == current {
            return lane.candidates.clone();
        }
        let candidates = self.find_candidates(now, lane);
        if let Some(lane) = self.lanes.get_mut(key) {
            lane.known_at = current;
            lane.candidates.clone_from(&candidates);
        }
        candidates
    }

    fn find_candidates(&self, now: clock::Instant, lane: &Lane) -> Vec<server::Key> {
        let Some(group) = self.groups.get(&lane.group) else {
            return Vec::new();
        };
        let Some(item) = &lane.item else {
            return group.table.iter().map(|(key, _)| key).collect();
        };
        let Some(ledger) = &self.log.ledger else {
            return Vec::new();
        };
        let rights = ledger.rights().iter();
        let usable = rights.filter(|(key, right)| {
            key.item.model == item.model
                && key.item.adapter == item.adapter
                && self.may_use(now, key, right)
        });
        usable
            .filter_map(|(key, _)| group.table.find(&key.server))
            .collect()
    }

    /// Whether requests may go to a placement: loaded as the ledger says, or as its steward said under a
    /// right that the ledger has. A placement that is being unloaded is not trusted for new work.
    fn may_use(&self, now: clock::Instant, key: &right::Key, right: &right::Right) -> bool {
        let loaded = match right.state {
            right::State::Loaded => true,
            right::State::Loading { .. } => self.ready_hints.contains_key(key),
            right::State::Unloading { .. } | right::State::Empty => false,
        };
        let denied = self.denied.get(key).is_some_and(|until| *until > now);
        loaded && !denied
    }

    /// How many replicas a lane has to send to.
    pub(super) fn replicas(&mut self, now: clock::Instant, key: Key) -> usize {
        self.candidates(now, key).len()
    }

    /// Whether a lane's item is loaded nowhere.
    pub(super) fn is_cold(&mut self, now: clock::Instant, key: Key) -> bool {
        self.candidates(now, key).is_empty()
    }

    /// Sends out what can go, from every lane.
    pub(super) fn pump_all(&mut self, now: clock::Instant, out: &mut Vec<effect::Effect>) {
        let lanes: Vec<Key> = self.lanes.keys().collect();
        for lane in lanes {
            self.pump(now, lane, out);
        }
    }

    /// Sends out what can go, from one lane.
    pub(super) fn pump(&mut self, now: clock::Instant, key: Key, out: &mut Vec<effect::Effect>) {
        let waiting = self
            .lanes
            .get(key)
            .is_some_and(|lane| !lane.queue.is_empty());
        if !waiting {
            return;
        }
        let candidates = self.candidates(now, key);
        self.mind_cold(now, key, candidates.is_empty());
        while let Some(server) = self.next_server(now, key, &candidates) {
            let Some(lane) = self.lanes.get_mut(key) else {
                return;
            };
            let Some(request) = lane.queue.pop() else {
                return;
            };
            self.dispatch(now, key, request, server, out);
        }
        self.want(now, key, candidates.len(), out);
    }

    fn next_server(
        &mut self,
        now: clock::Instant,
        key: Key,
        candidates: &[server::Key],
    ) -> Option<server::Key> {
        let request = self.lanes.get(key)?.queue.peek()?;
        let prefix = self.requests.get(request)?.arrival.prefix;
        let seed = self.draw();
        let group = self.groups.get(&self.lanes.get(key)?.group)?;
        group.table.choose(now, candidates, prefix, seed)
    }

    /// An engine said that it hasn't loaded what the ledger says it has: asked again only after a while.
    pub(super) fn deny(&mut self, now: clock::Instant, server: &SmolStr, lane: Key) {
        for key in self.placements_at(server, lane) {
            self.ready_hints.remove(&key);
            self.denied.insert(key, now.after(DENIED_FOR));
        }
        self.placements_changed();
    }

    /// An engine said that it takes no more for now. Other instances send to it too, so what this one counts
    /// as free may not be; it is asked again when about one request should have ended there.
    pub(super) fn rest(&mut self, now: clock::Instant, server: &SmolStr, lane: Key) {
        let service = self.lanes.get(lane).map(|lane| lane.service.mean());
        let wait = service
            .unwrap_or(LONGEST_REST)
            .clamp(SHORTEST_REST, LONGEST_REST);
        for key in self.placements_at(server, lane) {
            self.denied.insert(key, now.after(wait));
        }
        self.placements_changed();
    }

    /// The placements of a lane's item on a backend server, in all versions.
    pub(super) fn placements_at(&self, server: &SmolStr, lane: Key) -> Vec<right::Key> {
        let Some(item) = self.lanes.get(lane).and_then(|lane| lane.item.clone()) else {
            return Vec::new();
        };
        let Some(ledger) = &self.log.ledger else {
            return Vec::new();
        };
        let rights = ledger.rights().keys();
        let here = rights.filter(|key| {
            key.server == *server
                && key.item.model == item.model
                && key.item.adapter == item.adapter
        });
        here.cloned().collect()
    }

    pub(super) fn tick_lanes(&mut self, now: clock::Instant, out: &mut Vec<effect::Effect>) {
        self.forget_hints(now);
        let lanes: Vec<Key> = self.lanes.keys().collect();
        for lane in lanes {
            self.refuse_late(now, lane, out);
            self.pump(now, lane, out);
            self.want_for_refused(now, lane, out);
        }
        self.tick_claims(now, out);
        self.send_usage(now, out);
    }

    fn forget_hints(&mut self, now: clock::Instant) {
        let before = self.denied.len() + self.ready_hints.len();
        self.denied.retain(|_, until| *until > now);
        if let Some(ledger) = &self.log.ledger {
            self.ready_hints.retain(|key, _| {
                let right = ledger.right(key);
                right.is_some_and(|right| matches!(right.state, right::State::Loading { .. }))
            });
        }
        if self.denied.len() + self.ready_hints.len() != before {
            self.placements_changed();
        }
    }

    /// Refuses what can't be answered in time any more, while there is still time to say so.
    fn refuse_late(&mut self, now: clock::Instant, key: Key, out: &mut Vec<effect::Effect>) {
        let Some(lane) = self.lanes.get_mut(key) else {
            return;
        };
        let horizon = now.after(lane.service.upper_bound());
        let late = lane.queue.take_expired(horizon);
        let retry = self.lanes[key].service.mean();
        for request in late {
            let refusal =
                request::Refusal::new(request::Code::TooLate, "its turn would come too late")
                    .with_verdict(verdict::Verdict::NotRun)
                    .with_retry_after(retry);
            self.refuse(now, request, refusal, out);
        }
    }
}

/// Group, item, and expected times of a lane, as the document says.
fn describe(
    document: &document::Document,
    name: &Name,
) -> Option<(SmolStr, Option<item::Item>, Duration, Duration)> {
    /// Expected of a plain service until a call was measured.
    const SERVICE: Duration = Duration::from_millis(20);
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
            Some((route.group.clone(), None, SERVICE, Duration::ZERO))
        }
    }
}
