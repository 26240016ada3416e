//! The steward's knowledge and decisions, behind its lock.

use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use fireflywheel::clock;
use fireflywheel::fleet::announcement::Process;
use fireflywheel::fleet::config;
use fireflywheel::fleet::config::update;
use fireflywheel::fleet::demand;
use fireflywheel::fleet::era::Position;
use fireflywheel::fleet::frame;
use fireflywheel::fleet::gateway;
use fireflywheel::fleet::lease;
use fireflywheel::fleet::limit::pacer;
use fireflywheel::fleet::origin;
use fireflywheel::fleet::plan;
use fireflywheel::fleet::prefix;
use fireflywheel::fleet::quota;
use fireflywheel::fleet::quota::meter;
use fireflywheel::fleet::server;
use fireflywheel::fleet::speed::registry;
use fireflywheel::fleet::subscription;
use fireflywheel::fleet::tracker;
use smol_str::SmolStr;

use super::link;
use super::placement::Placement;
use super::updates;

/// The part of the weight store's rate that is used: a load may begin later than it was ordered.
pub(super) const STORE_RATE_RATIO: f64 = 0.9;

/// Window over which loads from the weight store are counted.
pub(super) const STORE_RATE_WINDOW: Duration = Duration::from_secs(5);

/// Waits from this length on are logged: twice the duration of a swap from disk.
pub(super) const LONG_WAIT_THRESHOLD: Duration = Duration::from_millis(1500);

/// Minimum interval between such log lines for one model or organisation.
pub(super) const DELAY_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of reports that are requested at the same time.
const MAX_PENDING_REPORTS: usize = 48;

#[derive(Debug)]
pub(super) struct State {
    pub(super) lease: lease::Lease,
    /// Whether this instance has a link to an active steward.
    pub(super) linked: bool,
    /// Whether the lease was read since it was last written, and since the last link ended.
    pub(super) lease_known: bool,
    /// The demand of all instances.
    pub(super) demands: demand::Aggregator,
    /// How the demand for models develops.
    pub(super) placement: Placement,
    /// What all instances have observed of the speed of servers.
    pub(super) speeds: registry::Registry,
    /// What is known of each engine, by its id.
    pub(super) trackers: BTreeMap<SmolStr, tracker::Tracker>,
    /// The links of other instances, by number.
    pub(super) links: BTreeMap<u64, link::Link>,
    /// Which links receive which engines.
    pub(super) subscriptions: subscription::Registry,
    /// All groups of the configuration.
    pub(super) groups: BTreeSet<SmolStr>,
    /// Groups that consist of engines.
    pub(super) engine_groups: BTreeSet<SmolStr>,
    /// Groups whose streams callers may take up again.
    pub(super) stream_groups: BTreeSet<SmolStr>,
    /// The versions of configuration and directory that the trackers correspond to.
    pub(super) tracked_versions: (u64, u64),
    /// Whether all instances receive all engines.
    pub(super) sends_all_engines: bool,
    /// Maximum product of links and engines at which all instances receive all engines.
    pub(super) all_engines_limit: usize,
    /// When loads from the weight store were ordered within the last window.
    pub(super) recent_fetches: VecDeque<clock::Instant>,
    /// How many loads the weight store runs concurrently at full speed.
    pub(super) concurrency: plan::concurrency::Estimate,
    /// Standbys as they were last announced, by this instance or by the steward.
    pub(super) standbys: Vec<lease::Record>,
    /// The steward that another instance reports while this instance believes to be steward itself.
    pub(super) rival: Option<lease::Record>,
    /// Whether the lease is about to be handed over, so that no further order may be sent.
    pub(super) is_ceding: bool,
    /// The fencing number of this instance while it is the active steward.
    pub(super) active_fencing: Option<u64>,
    /// When this instance last became active or inactive as steward.
    pub(super) role_changed_at: clock::Instant,
    pub(super) last_heartbeat: Option<clock::Instant>,
    /// The configuration that the last heartbeat announced.
    pub(super) sent_config: Option<update::Revision>,
    /// Updates to the newest configuration, while this instance is the active steward.
    pub(super) config_updates: Option<updates::Cache>,
    /// The directory as it was last sent; `None` before that in this stewardship.
    pub(super) entries: Option<BTreeMap<SmolStr, frame::Entry>>,
    /// The position up to which these entries are known.
    pub(super) entries_as_of: Option<Position>,
    /// The same when changes were last sent to the links that receive all engines.
    pub(super) changes_as_of: Option<Position>,
    /// What instances have reported of the prompts that engines have read.
    pub(super) prefixes: prefix::news::Collector,
    /// The streams that instances have reported.
    pub(super) origins: origin::Registry,
    /// The same in the store, in this stewardship.
    pub(super) journal: origin::Journal,
    /// Groups in which streams were recorded that nobody would take for those from before a release, and when the last one was.
    pub(super) recorded_groups: BTreeMap<SmolStr, clock::Instant>,
    /// Those that the lease's record has, as this instance has written it; `None` if it says that they aren't known.
    pub(super) written_groups: Option<BTreeSet<SmolStr>>,
    /// Those that an earlier steward's record of the lease had; `None` if this instance didn't take the lease after reading it.
    pub(super) inherited_groups: Option<BTreeSet<SmolStr>>,
    /// Those in the lease's record as it was last read; `None` if a hand-over came later.
    pub(super) read_groups: Option<BTreeSet<SmolStr>>,
    /// The links of instances that keep these streams as well.
    pub(super) keepers: Vec<u64>,
    /// The versions of groups' servers as they were last sent.
    pub(super) versions: origin::Versions,
    /// When they were last sent.
    pub(super) versions_sent_at: clock::Instant,
    /// Whether the gateways of instances may have changed since they were last sent.
    pub(super) gateways_changed: bool,
    /// This instance as a gateway, when gateways were last sent.
    pub(super) own_gateway: Option<gateway::Gateway>,
    /// When gateways were last sent.
    pub(super) gateways_sent_at: clock::Instant,
    /// When the loads of engines were last sent, and whether there were any.
    pub(super) loads_sent: (clock::Instant, bool),
    /// When forecasts were last sent.
    pub(super) forecasts_sent_at: clock::Instant,
    /// Forecasts as they were last sent.
    pub(super) forecasts: Vec<frame::Forecast>,
    /// When a long wait for each model was last logged.
    pub(super) delays_logged_at: BTreeMap<SmolStr, clock::Instant>,
    /// What instances admit for organisations.
    pub(super) meter: meter::Meter,
    /// Limits that servers announce, and the permits for sending to these servers.
    pub(super) pacer: pacer::Pacer,
    /// Whether limits have changed since they were last sent.
    pub(super) limits_changed: bool,
    /// When limits were last sent.
    pub(super) limits_sent_at: clock::Instant,
    /// Shares of quotas as they were last sent.
    pub(super) shares: Vec<quota::Share>,
    /// When shares were last sent.
    pub(super) shares_sent_at: clock::Instant,
    /// When each organisation was last logged as over its quota.
    pub(super) shares_logged_at: BTreeMap<SmolStr, clock::Instant>,
}

/// An order that is due to be sent.
#[derive(Clone, Debug)]
pub(super) struct Order {
    pub(super) server: SmolStr,
    pub(super) fencing: u64,
    pub(super) step: plan::Step,
}

impl State {
    /// Resets the state after the lease was won or lost.
    pub(super) fn change_role(&mut self, now: clock::Instant, active_fencing: Option<u64>) {
        self.is_ceding = false;
        self.active_fencing = active_fencing;
        self.role_changed_at = now;
        self.trackers.clear();
        self.subscriptions = subscription::Registry::default();
        self.tracked_versions = (0, 0);
        self.versions = origin::Versions::default();
        self.keepers.clear();
        self.journal = origin::Journal::default();
        self.recorded_groups.clear();
        self.written_groups = Some(BTreeSet::new());
        self.inherited_groups = self.read_groups.take();
        self.entries = None;
        self.entries_as_of = None;
        self.changes_as_of = None;
        for link in self.links.values_mut() {
            link.all_engines = false;
            link.has_directory = false;
            link.knows_versions = false;
        }
        self.prefixes = prefix::news::Collector::default();
        self.forecasts.clear();
        self.placement.reset();
        self.meter = meter::Meter::default();
        self.shares.clear();
        self.pacer = pacer::Pacer::default();
        self.limits_changed = true;
        self.gateways_changed = true;
        for link in self.links.values_mut() {
            link.gateways.clear();
        }
        self.config_updates = None;
        // Loads ordered by the previous steward may have begun a moment ago, so as many are counted as may
        // run at once.
        self.recent_fetches.clear();
        let previous_limit = self.concurrency.limit();
        self.recent_fetches
            .extend(std::iter::repeat_n(now, previous_limit));
        self.last_heartbeat = None;
    }

    /// Updates the trackers of a group to its engines in the directory.
    pub(super) fn update_engines(&mut self, group: &SmolStr, engines: Vec<server::Server>) {
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
            let new_tracker = || tracker::Tracker::new(group.clone(), server.clone());
            let tracker = self.trackers.entry(id.clone()).or_insert_with(new_tracker);
            tracker.update_server(server);
            if is_new {
                // The entry says what the engine holds. A new steward needs seconds to receive reports from
                // thousands of engines.
                self.mark_changed(&id);
            }
        }
    }

    /// Postpones orders and reports for engines that want nothing from this instance for a while.
    pub(super) fn apply_rests(&mut self, resting: &[(Process, clock::Instant)]) {
        for (process, until) in resting {
            let tracker = self.trackers.get_mut(&process.server);
            if let Some(tracker) =
                tracker.filter(|tracker| tracker.server.started_ms == process.started_ms)
            {
                tracker.rest_until(*until);
            }
        }
    }

    /// Plans the orders that are due in a group, by server, and counts them as sent. There are none while this instance may not
    /// send any.
    pub(super) fn plan<F>(
        &mut self,
        now: clock::Instant,
        group: &SmolStr,
        engine: &config::Engine,
        may_order: bool,
        may_load: F,
        forecasts: &mut Vec<frame::Forecast>,
    ) -> Vec<(SmolStr, plan::Step)>
    where
        F: Fn(&str, Option<&str>) -> bool,
    {
        let ids: Vec<SmolStr> = self
            .trackers
            .iter()
            .filter(|(_, tracker)| tracker.group == *group)
            .map(|(id, _)| id.clone())
            .collect();
        let config = without_crashing_loads(engine, &may_load, |model| {
            let mut trackers = ids.iter().filter_map(|id| self.trackers.get(id));
            trackers.any(|tracker| tracker.held.models.contains_key(model))
        });
        let loads = self.demands.loads();
        let mut running = self.demands.running();
        let mut engines = Vec::with_capacity(ids.len());
        for (id, tracker) in &mut self.trackers {
            if tracker.group == *group {
                let prefill_tokens = loads.get(id).map_or(0, |load| load.prefill_tokens);
                let running = running.remove(id).unwrap_or_default();
                engines.push(plan::EngineState {
                    limit: self.pacer.limit(id),
                    ..tracker.engine_state(now, running, prefill_tokens)
                });
            }
        }
        let mut pending = self.demands.pending(group);
        pending.retain(|pending| {
            let adapter = pending.adapter.as_deref();
            may_load(&pending.model, None)
                && (adapter.is_none() || may_load(&pending.model, adapter))
        });
        let models = engine.models.keys();
        let arrival_rates = models
            .map(|model| (model.clone(), self.demands.arrival_rate(now, group, model)))
            .collect();
        let drain_rates = self.demands.drain_rates(now, group);
        let view = plan::View {
            now,
            config: &config,
            engines: &engines,
            pending: &pending,
            arrival_rates: &arrival_rates,
            drain_rates: &drain_rates,
            max_fetches: self.fetch_limit(now, engine, &engines),
            concurrency: self.concurrency,
        };
        let forecast = plan::forecast(&view).into_iter();
        forecasts.extend(forecast.map(|(model, wait)| frame::Forecast {
            group: group.clone(),
            model,
            version: None,
            wait_ms: frame::millis(wait),
        }));
        let versioned = plan::version_forecasts(&view).into_iter();
        forecasts.extend(versioned.map(|forecast| frame::Forecast {
            group: group.clone(),
            model: forecast.model,
            version: Some(forecast.version),
            wait_ms: forecast.wait.map_or(frame::NEVER_MS, frame::millis),
        }));
        log_delays(&view, &mut self.delays_logged_at);
        let mut steps = self.placement.steps(group, &view);
        steps.retain(|step| {
            may_order
                && match step {
                    plan::Step::Load { model, .. } => may_load(model, None),
                    plan::Step::LoadAdapter { model, adapter, .. } => {
                        may_load(model, Some(adapter))
                    }
                    plan::Step::Unload { .. } | plan::Step::UnloadAdapter { .. } => true,
                }
        });
        self.count_as_sent(now, &ids, &steps);
        let orders = steps.into_iter();
        orders
            .map(|step| (ids[step.engine()].clone(), step))
            .collect()
    }

    /// Counts the orders of a plan for these engines as sent.
    fn count_as_sent(&mut self, now: clock::Instant, ids: &[SmolStr], steps: &[plan::Step]) {
        let by_engine: BTreeMap<usize, &plan::Step> =
            steps.iter().map(|step| (step.engine(), step)).collect();
        for (index, id) in ids.iter().enumerate() {
            let tracker = self
                .trackers
                .get_mut(id)
                .expect("each engine of the plan has a tracker");
            match by_engine.get(&index) {
                Some(step) => tracker.order_sent(now, (*step).clone()),
                None => tracker.not_planned(now),
            }
        }
        let fetches = steps.iter().filter(|step| step.is_fetch()).count();
        self.recent_fetches
            .extend(std::iter::repeat_n(now, fetches));
    }

    /// Maximum number of loads from the weight store that may run at once, by the store's rate.
    pub(super) fn fetch_limit(
        &mut self,
        now: clock::Instant,
        engine: &config::Engine,
        engines: &[plan::EngineState],
    ) -> usize {
        while self
            .recent_fetches
            .front()
            .is_some_and(|at| now.since(*at) > STORE_RATE_WINDOW)
        {
            self.recent_fetches.pop_front();
        }
        let allowed = engine.loads_per_second * STORE_RATE_WINDOW.as_secs_f64() * STORE_RATE_RATIO;
        let remaining = (allowed - self.recent_fetches.len() as f64).max(0.0) as usize;
        let running = engines
            .iter()
            .filter(|engine_state| engine_state.fetching)
            .count();
        self.concurrency.limit().min(running + remaining)
    }

    /// Number of loads from the weight store that engines have accepted.
    pub(super) fn loading_from_store(&self) -> usize {
        let trackers = self.trackers.values();
        trackers
            .filter(|tracker| tracker.is_loading_from_store())
            .count()
    }

    /// Records that a load from the weight store has ended, which takes `unshared_time` when no other load
    /// runs.
    pub(super) fn record_fetch(
        &mut self,
        fetched: &tracker::FinishedFetch,
        unshared_time: Duration,
    ) {
        // The load is assumed to have shared the store with the mean of the numbers of loads at its start and
        // at its end, as loads start and end while it runs.
        let concurrent_loads =
            (fetched.concurrent_at_start + self.loading_from_store() + 1).div_ceil(2);
        self.concurrency.observe(
            fetched.concurrent_at_start,
            concurrent_loads,
            unshared_time,
            fetched.load_time,
        );
        log::info!(
            model = fetched.model.as_str(), took_ms = clock::millis(fetched.load_time), at_once = concurrent_loads as u64,
            now_at_once = self.concurrency.limit() as u64;
            "load from the weight store ended"
        );
    }

    /// Removes a link that has ended. The meter keeps its instance if that has opened another link since.
    pub(super) fn remove_link(&mut self, now: clock::Instant, number: u64, instance: &SmolStr) {
        self.links.remove(&number);
        self.gateways_changed = true;
        self.pacer.remove(pacer::Requester::Link(number));
        self.subscriptions.remove_link(number);
        let has_other_link = self
            .links
            .values()
            .any(|other| other.peer.instance == *instance);
        if !has_other_link {
            self.meter.link_closed(now, instance);
        }
    }

    /// Engines from which a report is to be requested now. A new steward needs a report from each engine: if
    /// it requested all at once, thousands of answers would block its links until these are taken for dead.
    pub(super) fn reports_due(&mut self, now: clock::Instant) -> Vec<SmolStr> {
        let pending = self
            .trackers
            .values()
            .filter(|tracker| tracker.is_report_pending())
            .count();
        let room = MAX_PENDING_REPORTS.saturating_sub(pending);
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

/// The configuration without the models that no engine holds and none may load. Engines would be kept free for them.
fn without_crashing_loads<'a, F, H>(
    engine: &'a config::Engine,
    may_load: F,
    is_held: H,
) -> Cow<'a, config::Engine>
where
    F: Fn(&str, Option<&str>) -> bool,
    H: Fn(&SmolStr) -> bool,
{
    let is_kept = |model: &SmolStr| is_held(model) || may_load(model, None);
    if engine.models.keys().all(is_kept) {
        return Cow::Borrowed(engine);
    }
    let mut engine = engine.clone();
    engine.models.retain(|model, _| is_kept(model));
    Cow::Owned(engine)
}

/// Logs what keeps callers waiting for long, once a second for each model.
pub(super) fn log_delays(view: &plan::View<'_>, logged_at: &mut BTreeMap<SmolStr, clock::Instant>) {
    logged_at.retain(|_, at| view.now.since(*at) < DELAY_LOG_INTERVAL);
    for pending in view
        .pending
        .iter()
        .filter(|pending| pending.adapter.is_none())
    {
        let waited = view.now.since(pending.since);
        if waited < LONG_WAIT_THRESHOLD || logged_at.contains_key(&pending.model) {
            continue;
        }
        logged_at.insert(pending.model.clone(), view.now);
        log::info!(
            model = pending.model.as_str(), waiting = pending.waiting,
            version = pending.version.as_deref().unwrap_or_default(), waited_ms = clock::millis(waited),
            why = plan::blocked_reason(view, pending);
            "requests wait for model"
        );
    }
}
