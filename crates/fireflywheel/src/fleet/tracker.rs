//! Tracks what the steward knows of one engine beyond its directory entry: the latest report, and the orders
//! sent since.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;

use super::{frame, load, plan, server};
use crate::clock;

/// The time by which reports lag behind the state of the engine.
const REPORT_LAG: Duration = Duration::from_millis(120);
/// The interval between the reports of an engine whose change is awaited.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// The delay until the next order after one that arrived while the engine was executing another.
const ORDER_RETRY_DELAY: Duration = Duration::from_millis(40);
/// The approximate duration of an unload. An engine refuses a load that arrives earlier.
const UNLOAD_TIME: Duration = Duration::from_millis(45);
/// The approximate duration of an adapter load. Its end is seen [`REPORT_LAG`] later.
const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(20);
/// The duration above which a load of unknown origin counts as a load from the weight store.
const MIN_STORE_LOAD_TIME: Duration = Duration::from_millis(1500);
/// The time before an engine's announced departure from which it counts as unusable. An engine that announces
/// no time stays usable.
const LEAVING_NOTICE: Duration = Duration::from_secs(3);

/// The tracked state of one engine.
#[derive(Clone, Debug)]
pub struct Tracker {
    /// The group that the engine belongs to.
    pub group: SmolStr,
    /// What the engine holds, according to its reports and the orders that it accepted since.
    pub held: server::Held,
    /// The number of orders that the engine has accepted.
    pub orders: u64,
    /// The engine's entry in the directory.
    pub server: server::Server,
    /// An order that is in flight, or that may have arrived although its answer was lost.
    pending_order: Option<plan::Step>,
    /// The model that an unload has made room for.
    making_room_for: Option<SmolStr>,
    /// Whether the engine's state is uncertain until its next report.
    state_uncertain: bool,
    /// Whether the last request for a report couldn't reach the engine. Until its directory entry disappears,
    /// seconds later, its models would otherwise count as loaded, and their callers would wait.
    unreachable: bool,
    /// Whether instances have been sent what the engine holds. Directory entries don't include that, so it is
    /// sent for each new engine even if its first report changes nothing. Otherwise callers would wait
    /// elsewhere for models that are loaded here.
    published: bool,
    loading: Option<Loading>,
    finished_fetch: Option<FinishedFetch>,
    finished_loads: Vec<(SmolStr, Option<SmolStr>)>,
    /// The time before which the engine gets no order.
    next_order_at: clock::Instant,
    /// Whether a report has been requested and not received yet.
    report_pending: bool,
    /// The time at which the next report is needed.
    next_report_at: Option<clock::Instant>,
    held_since: BTreeMap<(SmolStr, Option<SmolStr>), clock::Instant>,
    prefill_wait: load::PrefillWait,
    /// The time at which an order was last accepted or left unanswered. A report requested earlier shows the
    /// state before it.
    last_order_at: clock::Instant,
    busy_since: Option<clock::Instant>,
}

#[derive(Clone, Debug)]
struct Loading {
    model: SmolStr,
    /// Whether the model is loaded from the weight store.
    fetch: bool,
    since: clock::Instant,
    /// The number of loads from the weight store when this one began, itself included.
    concurrent_fetches: usize,
}

/// A finished load from the weight store.
#[derive(Clone, Debug)]
pub struct FinishedFetch {
    /// The model.
    pub model: SmolStr,
    /// The number of loads from the weight store when this one began, itself included.
    pub concurrent_at_start: usize,
    /// The duration of the load.
    pub load_time: Duration,
}

impl Tracker {
    /// Creates the tracker of an engine that hasn't reported yet.
    #[must_use]
    pub fn new(group: SmolStr, server: server::Server) -> Self {
        Self {
            group,
            held: server.held.clone(),
            orders: 0,
            server,
            pending_order: None,
            making_room_for: None,
            state_uncertain: true,
            unreachable: false,
            published: false,
            loading: None,
            finished_fetch: None,
            finished_loads: Vec::new(),
            next_order_at: clock::Instant::default(),
            report_pending: false,
            next_report_at: Some(clock::Instant::default()),
            held_since: BTreeMap::new(),
            prefill_wait: load::PrefillWait::default(),
            last_order_at: clock::Instant::default(),
            busy_since: None,
        }
    }

    /// Updates the directory entry. A restart or a new address resets the tracker.
    pub fn update_server(&mut self, server: server::Server) {
        if server.started_ms != self.server.started_ms || server.address != self.server.address {
            *self = Self::new(self.group.clone(), server);
            return;
        }
        self.server = server;
    }

    /// Returns the engine's state for a plan.
    ///
    /// An order counts from the moment it is sent: plans are made more often than answers arrive, and the
    /// next plan would otherwise send the same load to another engine too. The symptom is loads of one model
    /// on several engines within milliseconds, and more loads from the weight store than it can run.
    pub fn engine_state(
        &mut self,
        now: clock::Instant,
        running: BTreeMap<(SmolStr, Option<SmolStr>), u32>,
        prefill_tokens: u32,
    ) -> plan::EngineState {
        let staying = self
            .server
            .stops_at
            .is_none_or(|at| at.since(now) > LEAVING_NOTICE);
        let unknown_fetch = self.held.busy
            && self.loading.is_none()
            && self
                .busy_since
                .is_some_and(|since| now.since(since) > MIN_STORE_LOAD_TIME);
        let loading = self.loading.as_ref().map(|loading| &loading.model);
        let mut held = self.held.clone();
        if let Some(plan::Step::LoadAdapter { model, adapter, .. }) = &self.pending_order {
            held.loading_adapters
                .insert((model.clone(), adapter.clone()));
        }
        plan::EngineState {
            held,
            usable: self.server.ready && staying && !self.unreachable,
            order_pending: self.pending_order.is_some()
                || self.state_uncertain
                || now < self.next_order_at,
            loading: loading.or(self.ordered_load()).cloned(),
            loading_since: self.loading.as_ref().map(|loading| loading.since),
            fetching: unknown_fetch || self.is_fetching_or_ordered(),
            making_room_for: self
                .ordered_room_for()
                .or(self.making_room_for.as_ref())
                .cloned(),
            running,
            prefill_wait: self.prefill_wait.update(now, prefill_tokens),
            limit: None,
            version: self.server.version.clone(),
            held_since: self.held_since.clone(),
            failure_domain: self.server.failure_domain.clone(),
            kept_tokens: BTreeMap::new(),
        }
    }

    /// Returns what the instances are sent of the engine.
    #[must_use]
    pub fn holding(&self, now: clock::Instant) -> frame::EngineHoldings {
        frame::EngineHoldings {
            entry: frame::Entry::new(&self.server, now),
            models: self.held.models.clone(),
        }
    }

    /// Whether a change of the engine is expected or an order is due.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        let ordered = self.pending_order.is_some() || self.making_room_for.is_some();
        ordered || self.state_uncertain || self.held.busy || self.next_report_at.is_some()
    }

    /// Records that an order was sent.
    pub fn order_sent(&mut self, now: clock::Instant, step: plan::Step) {
        self.pending_order = Some(step);
        self.making_room_for = None;
        self.next_order_at = now;
    }

    /// Records that a plan has no order for the engine. If the engine could have taken one, the model that
    /// room was made for is no longer needed.
    pub fn not_planned(&mut self, now: clock::Instant) {
        let free = self.pending_order.is_none()
            && !self.state_uncertain
            && !self.held.busy
            && now >= self.next_order_at;
        if free {
            self.making_room_for = None;
        }
    }

    /// Records that the engine accepted an order. `load_time` is the expected duration, and
    /// `concurrent_fetches` is the number of loads from the weight store, including this one.
    pub fn order_accepted(
        &mut self,
        now: clock::Instant,
        step: &plan::Step,
        load_time: Duration,
        concurrent_fetches: usize,
    ) {
        self.pending_order = None;
        self.orders += 1;
        self.last_order_at = now;
        match step {
            plan::Step::Load { model, tier, .. } => {
                self.held.busy = true;
                self.busy_since = Some(now);
                self.loading = Some(Loading {
                    model: model.clone(),
                    fetch: *tier == plan::Tier::WeightStore,
                    since: now,
                    concurrent_fetches,
                });
                self.next_report_at = Some(now.after(load_time));
            }
            plan::Step::Unload {
                model, replacement, ..
            } => {
                self.making_room_for = Some(replacement.clone());
                self.next_order_at = now.after(UNLOAD_TIME);
                self.held.models.remove(model);
                self.remove_model(model);
            }
            plan::Step::LoadAdapter { model, adapter, .. } => {
                self.held
                    .loading_adapters
                    .insert((model.clone(), adapter.clone()));
                let at = now.after(ADAPTER_LOAD_TIME + REPORT_LAG);
                self.next_report_at = Some(self.next_report_at.map_or(at, |before| before.min(at)));
            }
            plan::Step::UnloadAdapter { model, adapter, .. } => {
                if let Some(adapters) = self.held.models.get_mut(model) {
                    adapters.remove(adapter);
                }
                self.held_since
                    .remove(&(model.clone(), Some(adapter.clone())));
            }
        }
    }

    /// Records that an order arrived while the engine was executing another, or that the engine has accepted
    /// more orders than known.
    pub fn order_conflicted(&mut self, now: clock::Instant) {
        self.pending_order = None;
        self.next_order_at = now.after(ORDER_RETRY_DELAY);
        self.next_report_at.get_or_insert(now.after(REPORT_LAG));
    }

    /// Records that an order was not sent after all.
    pub fn order_withheld(&mut self, now: clock::Instant) {
        self.pending_order = None;
        self.next_order_at = now.after(ORDER_RETRY_DELAY);
    }

    /// Records that an order got no answer. Its effect remains possible until a report shows the state.
    pub fn order_unanswered(&mut self, now: clock::Instant) {
        self.state_uncertain = true;
        self.last_order_at = now;
        self.next_report_at = Some(now.after(REPORT_LAG));
    }

    /// Postpones orders and reports: the engine wants nothing from the steward's instance until then.
    pub fn rest_until(&mut self, until: clock::Instant) {
        self.next_order_at = self.next_order_at.max(until);
        self.next_report_at = self.next_report_at.map(|at| at.max(until));
    }

    /// Schedules a report now unless one is scheduled already: an instance could not reach the engine, or
    /// found that it lacks a model which it was thought to hold.
    pub fn request_report(&mut self, now: clock::Instant) {
        self.next_report_at.get_or_insert(now);
    }

    /// Whether a report should be requested now.
    #[must_use]
    pub fn needs_report(&self, now: clock::Instant) -> bool {
        !self.report_pending && self.next_report_at.is_some_and(|at| now >= at)
    }

    /// Whether a report has been requested and not received yet.
    #[must_use]
    pub fn is_report_pending(&self) -> bool {
        self.report_pending
    }

    /// Records that a report was requested.
    pub fn report_requested(&mut self, now: clock::Instant) {
        self.report_pending = true;
        self.next_report_at = Some(now.after(REPORT_INTERVAL));
    }

    /// Records a report that was requested at `requested_at`; returns whether there is a change to send to
    /// instances.
    pub fn report_received(
        &mut self,
        requested_at: clock::Instant,
        now: clock::Instant,
        report: server::Report,
    ) -> bool {
        self.report_pending = false;
        self.unreachable = false;
        let is_stale =
            report.orders < self.orders || requested_at < self.last_order_at.after(REPORT_LAG);
        let awaits_answer = self.pending_order.is_some() && !self.state_uncertain;
        if awaits_answer || is_stale {
            return false;
        }
        let awaited = self.awaited_loads();
        self.pending_order = None;
        self.orders = report.orders;
        let before = std::mem::replace(&mut self.held, report.held);
        let held = &self.held;
        let finished = awaited.into_iter();
        let finished = finished.filter(|(model, adapter)| held.holds(model, adapter.as_deref()));
        self.finished_loads.extend(finished);
        self.state_uncertain = false;
        for (model, adapters) in &self.held.models {
            self.held_since.entry((model.clone(), None)).or_insert(now);
            for adapter in adapters {
                self.held_since
                    .entry((model.clone(), Some(adapter.clone())))
                    .or_insert(now);
            }
        }
        let held = &self.held;
        self.held_since
            .retain(|(model, adapter), _| held.holds(model, adapter.as_deref()));
        if !self.held.busy {
            let finished_fetch = self.loading.take().filter(|loading| loading.fetch);
            self.finished_fetch = finished_fetch
                .filter(|loading| self.held.holds(&loading.model, None))
                .map(|loading| FinishedFetch {
                    model: loading.model,
                    concurrent_at_start: loading.concurrent_fetches,
                    load_time: now.since(loading.since),
                });
            self.busy_since = None;
        } else {
            self.busy_since.get_or_insert(now);
        }
        let settled = !self.held.busy && self.held.loading_adapters.is_empty();
        if settled {
            self.next_report_at = None;
        }
        let first_report = !std::mem::replace(&mut self.published, true);
        first_report || before != self.held
    }

    /// Takes the load from the weight store that the last report has shown to be finished.
    pub fn take_finished_fetch(&mut self) -> Option<FinishedFetch> {
        self.finished_fetch.take()
    }

    /// The models and adapters that the engine loads, or may have been ordered to load.
    #[must_use]
    pub fn awaited_loads(&self) -> Vec<(SmolStr, Option<SmolStr>)> {
        let ordered = match &self.pending_order {
            Some(plan::Step::Load { model, .. }) => Some((model.clone(), None)),
            Some(plan::Step::LoadAdapter { model, adapter, .. }) => {
                Some((model.clone(), Some(adapter.clone())))
            }
            Some(plan::Step::Unload { .. } | plan::Step::UnloadAdapter { .. }) | None => None,
        };
        let loading = self.loading.iter();
        let loading = loading.map(|loading| (loading.model.clone(), None));
        let adapters = self.held.loading_adapters.iter();
        let adapters = adapters.map(|(model, adapter)| (model.clone(), Some(adapter.clone())));
        ordered.into_iter().chain(loading).chain(adapters).collect()
    }

    /// Takes the models and adapters that the engine has loaded since the last call.
    pub fn take_finished_loads(&mut self) -> Vec<(SmolStr, Option<SmolStr>)> {
        std::mem::take(&mut self.finished_loads)
    }

    /// Whether the engine is loading from the weight store.
    #[must_use]
    pub fn is_loading_from_store(&self) -> bool {
        self.loading.as_ref().is_some_and(|loading| loading.fetch)
    }

    /// Whether the engine is loading from the weight store, or was sent an order to do so.
    fn is_fetching_or_ordered(&self) -> bool {
        let ordered = self
            .pending_order
            .as_ref()
            .is_some_and(plan::Step::is_fetch);
        ordered || self.is_loading_from_store()
    }

    fn ordered_load(&self) -> Option<&SmolStr> {
        match &self.pending_order {
            Some(plan::Step::Load { model, .. }) => Some(model),
            _ => None,
        }
    }

    fn ordered_room_for(&self) -> Option<&SmolStr> {
        match &self.pending_order {
            Some(plan::Step::Unload { replacement, .. }) => Some(replacement),
            _ => None,
        }
    }

    /// Records that no usable report arrived. `reached` tells whether the engine could be reached. Returns
    /// whether the directory's information should be sent to instances instead.
    pub fn report_failed(&mut self, now: clock::Instant, reached: bool) -> bool {
        self.report_pending = false;
        self.next_report_at = Some(now.after(REPORT_INTERVAL * 3));
        self.unreachable = !reached;
        !std::mem::replace(&mut self.published, true)
    }

    fn remove_model(&mut self, model: &SmolStr) {
        self.held_since.retain(|(name, _), _| name != model);
        self.held.loading_adapters.retain(|(name, _)| name != model);
    }
}
