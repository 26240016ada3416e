//! What a steward knows and decides, behind its lock.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use bytes::Bytes;
use fireflywheel::clock;
use fireflywheel::fleet::config;
use fireflywheel::fleet::demand;
use fireflywheel::fleet::frame;
use fireflywheel::fleet::lease;
use fireflywheel::fleet::limit::pacer;
use fireflywheel::fleet::plan;
use fireflywheel::fleet::quota;
use fireflywheel::fleet::quota::meter;
use fireflywheel::fleet::server;
use fireflywheel::fleet::subscription;
use fireflywheel::fleet::tracker;
use smol_str::SmolStr;

use super::link;

/// The share of the weight store's rate that is used: a load may begin later than it was ordered.
pub(super) const STORE_SHARE: f64 = 0.9;

/// Loads from the weight store are counted over this window.
pub(super) const STORE_WINDOW: Duration = Duration::from_secs(5);

/// A wait that is worth a line in the log: twice a swap from a disk.
pub(super) const LONG_WAIT: Duration = Duration::from_millis(1500);

/// Time between two such lines for one model.
pub(super) const DELAY_LOG: Duration = Duration::from_secs(1);

/// Reports that are asked for at once.
const REPORTS_AT_ONCE: usize = 48;

#[derive(Debug)]
pub(super) struct State {
    pub(super) lease: lease::Lease,
    /// This instance has a link to a steward that acts.
    pub(super) linked: bool,
    /// The lease was read since it was last written, and since the last link ended.
    pub(super) lease_known: bool,
    pub(super) demands: demand::Aggregator,
    pub(super) trackers: BTreeMap<SmolStr, tracker::Tracker>,
    pub(super) links: BTreeMap<u64, link::Link>,
    /// Which links are told of which engines.
    pub(super) subscriptions: subscription::Registry,
    /// All groups of the configuration.
    pub(super) groups: BTreeSet<SmolStr>,
    /// Groups of engines.
    pub(super) engines: BTreeSet<SmolStr>,
    /// The versions of configuration and directory that were followed last.
    pub(super) followed: (u64, u64),
    /// All instances are told of all engines.
    pub(super) telling_all: bool,
    /// Up to so many links times engines.
    pub(super) tell_all: usize,
    pub(super) fetches: VecDeque<clock::Instant>,
    pub(super) pace: plan::concurrency::Estimate,
    /// Standbys as they were told last, by this instance or by the steward.
    pub(super) standbys: Vec<lease::Record>,
    /// An instance that is steward as another one says, while this one believes that it is.
    pub(super) rival: Option<lease::Record>,
    pub(super) acting: Option<u64>,
    /// Since when it acts, or doesn't.
    pub(super) turned: clock::Instant,
    pub(super) last_heartbeat: Option<clock::Instant>,
    pub(super) told_version: u64,
    /// The newest configuration in the form in which it is sent, with its version.
    pub(super) config: Option<(u64, Bytes)>,
    /// A new one is sent to all if that is no more: more would hold up heartbeats until links are taken for dead.
    pub(super) config_bytes: usize,
    /// The directory as it was told last.
    pub(super) entries: BTreeMap<SmolStr, frame::Entry>,
    /// When it was last told what engines have to read, and whether that was anything.
    pub(super) load: (clock::Instant, bool),
    pub(super) forecast: clock::Instant,
    pub(super) forecasts: Vec<frame::Forecast>,
    /// When it was last logged that a model is waited for.
    pub(super) delays: BTreeMap<SmolStr, clock::Instant>,
    /// What instances admit for organisations.
    pub(super) meter: meter::Meter,
    /// Limits that servers name, and who may send to these.
    pub(super) pacer: pacer::Pacer,
    /// Limits have changed since they were told, and when that was.
    pub(super) limits_changed: bool,
    pub(super) limits_told: clock::Instant,
    /// Shares of quotas as they were told last, and when.
    pub(super) shares: Vec<quota::Share>,
    pub(super) shares_told: clock::Instant,
    /// When it was last logged that an organisation is over its quota.
    pub(super) shares_logged: BTreeMap<SmolStr, clock::Instant>,
}

/// An order that is to be sent.
#[derive(Clone, Debug)]
pub(super) struct Due {
    pub(super) server: SmolStr,
    pub(super) fencing: u64,
    pub(super) step: plan::Step,
}

impl State {
    /// The lease was won or lost.
    pub(super) fn turn(&mut self, now: clock::Instant, acting: Option<u64>) {
        self.acting = acting;
        self.turned = now;
        self.trackers.clear();
        self.subscriptions = subscription::Registry::default();
        self.followed = (0, 0);
        for link in self.links.values_mut() {
            link.whole = false;
        }
        self.forecasts.clear();
        self.meter = meter::Meter::default();
        self.shares.clear();
        self.pacer = pacer::Pacer::default();
        self.limits_changed = true;
        // Loads of the steward before may have begun a moment ago: as many count as may run at once.
        self.fetches.clear();
        let before = self.pace.limit();
        self.fetches.extend(std::iter::repeat_n(now, before));
        self.last_heartbeat = None;
    }

    /// Takes in what the directory says of a group's engines.
    pub(super) fn follow(&mut self, group: &SmolStr, engines: Vec<server::Server>) {
        self.trackers.retain(|id, tracker| {
            tracker.group != *group || engines.iter().any(|server| server.id == *id)
        });
        for server in engines {
            let id = server.id.clone();
            let known = self
                .trackers
                .get(&id)
                .map(|tracker| tracker.server.started_ms);
            let is_new = known != Some(server.started_ms);
            let fresh = || tracker::Tracker::new(group.clone(), server.clone());
            let tracker = self.trackers.entry(id.clone()).or_insert_with(fresh);
            tracker.update_server(server);
            if is_new {
                // Its entry says what it holds. Reports of thousands of engines take a new steward seconds.
                self.tell_held(&id);
            }
        }
    }

    /// The orders that are due in a group, counted as sent.
    pub(super) fn plan(
        &mut self,
        now: clock::Instant,
        group: &SmolStr,
        engine: &config::Engine,
        fencing: u64,
        forecasts: &mut Vec<frame::Forecast>,
    ) -> Vec<Due> {
        let ids: Vec<SmolStr> = self
            .trackers
            .iter()
            .filter(|(_, tracker)| tracker.group == *group)
            .map(|(id, _)| id.clone())
            .collect();
        let loads = self.demands.loads();
        let mut running = self.demands.running();
        let mut engines = Vec::with_capacity(ids.len());
        for (id, tracker) in &mut self.trackers {
            if tracker.group == *group {
                let unread = loads.get(id).map_or(0, |load| load.prefill_tokens);
                let running = running.remove(id).unwrap_or_default();
                engines.push(plan::EngineState {
                    limit: self.pacer.limit(id),
                    ..tracker.engine_state(now, running, unread)
                });
            }
        }
        let wants = self.demands.pending(group);
        let models = engine.models.keys();
        let rates = models
            .map(|model| (model.clone(), self.demands.arrival_rate(now, group, model)))
            .collect();
        let drains = self.demands.drain_rates(now, group);
        let view = plan::View {
            now,
            config: engine,
            engines: &engines,
            pending: &wants,
            arrival_rates: &rates,
            drain_rates: &drains,
            max_fetches: self.fetch_room(now, engine, &engines),
            concurrency: self.pace,
        };
        let expected = plan::forecast(&view).into_iter();
        forecasts.extend(expected.map(|(model, wait)| frame::Forecast {
            group: group.clone(),
            model,
            wait_ms: frame::millis(wait),
        }));
        log_delays(&view, &mut self.delays);
        let steps = plan::steps(&view);
        self.count_as_sent(now, &ids, &steps);
        let due = steps.into_iter().map(|step| Due {
            server: ids[step.engine()].clone(),
            fencing,
            step,
        });
        due.collect()
    }

    /// Counts the orders of a plan for these engines as sent.
    fn count_as_sent(&mut self, now: clock::Instant, ids: &[SmolStr], steps: &[plan::Step]) {
        let by_engine: BTreeMap<usize, &plan::Step> =
            steps.iter().map(|step| (step.engine(), step)).collect();
        for (place, id) in ids.iter().enumerate() {
            let tracker = self
                .trackers
                .get_mut(id)
                .expect("it is an engine of this plan");
            match by_engine.get(&place) {
                Some(step) => tracker.order_sent(now, (*step).clone()),
                None => tracker.not_planned(now),
            }
        }
        let fetches = steps.iter().filter(|step| step.is_fetch()).count();
        self.fetches.extend(std::iter::repeat_n(now, fetches));
    }

    /// Loads from the weight store that may run at once, by its rate.
    pub(super) fn fetch_room(
        &mut self,
        now: clock::Instant,
        engine: &config::Engine,
        engines: &[plan::EngineState],
    ) -> usize {
        while self
            .fetches
            .front()
            .is_some_and(|at| now.since(*at) > STORE_WINDOW)
        {
            self.fetches.pop_front();
        }
        let allowed = engine.loads_per_second * STORE_WINDOW.as_secs_f64() * STORE_SHARE;
        let left = (allowed - self.fetches.len() as f64).max(0.0) as usize;
        let running = engines
            .iter()
            .filter(|engine_state| engine_state.fetching)
            .count();
        self.pace.limit().min(running + left)
    }

    /// Loads from the weight store that engines have accepted.
    pub(super) fn loading_from_store(&self) -> usize {
        let trackers = self.trackers.values();
        trackers
            .filter(|tracker| tracker.is_loading_from_store())
            .count()
    }

    /// A load from the weight store has ended that takes `alone` by itself.
    pub(super) fn fetched(&mut self, fetched: &tracker::Fetched, alone: Duration) {
        // Half of those that run now have come or gone since it began.
        let at_once = (fetched.first + self.loading_from_store() + 1).div_ceil(2);
        self.pace
            .observe(fetched.first, at_once, alone, fetched.took);
        log::info!(
            model = fetched.model.as_str(), took_ms = clock::millis(fetched.took), at_once = at_once as u64,
            now_at_once = self.pace.limit() as u64;
            "load from the weight store ended"
        );
    }

    /// A link has ended, unless its instance has made another one since.
    pub(super) fn remove_link(&mut self, now: clock::Instant, number: u64, instance: &SmolStr) {
        self.links.remove(&number);
        self.pacer.remove(pacer::Requester::Link(number));
        self.subscriptions.remove_link(number);
        let again = self
            .links
            .values()
            .any(|other| other.peer.instance == *instance);
        if !again {
            self.meter.link_closed(now, instance);
        }
    }

    /// Engines that are to be asked for a report now. A new steward needs one of each engine: asked all at once, thousands of
    /// answers would hold up its links until these are taken for dead.
    pub(super) fn reports_due(&mut self, now: clock::Instant) -> Vec<SmolStr> {
        let asking = self
            .trackers
            .values()
            .filter(|tracker| tracker.is_report_pending())
            .count();
        let room = REPORTS_AT_ONCE.saturating_sub(asking);
        let due = self.trackers.iter_mut();
        let due = due
            .filter(|(_, tracker)| tracker.needs_report(now))
            .take(room);
        due.map(|(id, tracker)| {
            tracker.report_requested(now);
            id.clone()
        })
        .collect()
    }
}

/// Logs what keeps callers waiting for long, once a second for each model.
pub(super) fn log_delays(view: &plan::View<'_>, logged: &mut BTreeMap<SmolStr, clock::Instant>) {
    logged.retain(|_, at| view.now.since(*at) < DELAY_LOG);
    for want in view.pending.iter().filter(|want| want.adapter.is_none()) {
        let waited = view.now.since(want.since);
        if waited < LONG_WAIT || logged.contains_key(&want.model) {
            continue;
        }
        logged.insert(want.model.clone(), view.now);
        log::info!(
            model = want.model.as_str(), waiting = want.waiting,
            waited_ms = clock::millis(waited),
            why = plan::blocked_reason(view, &want.model);
            "model waited for"
        );
    }
}
