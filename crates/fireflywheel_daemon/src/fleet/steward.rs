//! The steward: holds the lease, plans placements and sends orders to engines.

mod broadcast;
mod gateways;
mod journal;
mod lease;
mod limits;
mod link;
mod orders;
mod origins;
mod placement;
mod quarantine;
mod shares;
mod state;
mod updates;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::atomic::AtomicUsize;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use fireflywheel::clock;
use fireflywheel::fleet::config;
use fireflywheel::fleet::config::update;
use fireflywheel::fleet::demand;
use fireflywheel::fleet::era::Position;
use fireflywheel::fleet::frame;
use fireflywheel::fleet::gateway;
use fireflywheel::fleet::lease::{HandOver, Lease, Record};
use fireflywheel::fleet::limit;
use fireflywheel::fleet::limit::pacer;
use fireflywheel::fleet::origin;
use fireflywheel::fleet::plan;
use fireflywheel::fleet::prefix;
use fireflywheel::fleet::quota::meter;
use fireflywheel::fleet::speed::registry;
use fireflywheel::fleet::subscription;
use fireflywheel::fleet::successor;
use fireflywheel::fleet::tracker::Tracker;
use smol_str::SmolStr;
use tokio::sync::{Notify, mpsc};
use tokio::time;

use super::node;
use super::platform;
use broadcast::MAX_ENGINES_PER_FRAME;
use link::{Heartbeat, Link};
use placement::Placement;
use state::State;

/// Interval between planning passes while orders or permit requests are in progress.
const BUSY_PLAN_INTERVAL: Duration = Duration::from_millis(25);

/// Interval between planning passes while nothing is in progress.
const IDLE_PLAN_INTERVAL: Duration = Duration::from_millis(250);

/// Delay before a planning pass that a notification triggers, so that demands arriving together are planned
/// together.
const PLAN_DELAY: Duration = Duration::from_millis(2);

/// After each planning pass the steward sleeps for this many times the duration of the pass: with thousands
/// of engines it would otherwise do nothing but plan.
const PLAN_REST_RATIO: u32 = 2;

/// Interval between heartbeats to linked instances.
pub(super) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// Maximum number of standbys. Several are named because some may be dead or cut off together with the
/// steward; each one adds store calls to every takeover.
const MAX_STANDBYS: usize = 5;

/// Frames that may be queued for one instance. An instance that does not read loses its link, and receives
/// everything anew over the next one.
const MAX_QUEUED_FRAMES: usize = 256;

/// The steward role of an instance, whether or not it holds the lease.
#[derive(Debug)]
pub struct Steward<P> {
    /// The instance.
    pub node: Arc<node::Node<P>>,
    /// Notified when there may be something to plan.
    pub plan_wake: Notify,
    /// Notified when the lease should be checked.
    pub lease_wake: Notify,
    /// Notified when there may be streams to read from the store or to write to it.
    pub journal_wake: Notify,
    /// The number of orders that are being sent or have no answer yet.
    orders_in_flight: Arc<AtomicUsize>,
    state: Mutex<State>,
}

impl<P> Steward<P>
where
    P: platform::Platform,
{
    /// Creates the steward role of an instance that does not hold the lease.
    #[must_use]
    pub fn new(node: Arc<node::Node<P>>) -> Self {
        let settings = &node.settings;
        let address = SmolStr::new(settings.peers_advertised.to_string());
        let lease = Lease::new(
            settings.lease,
            settings.instance.clone(),
            node.incarnation,
            address,
        )
        .with_fenced(settings.fenced)
        .with_first_start(settings.first_start);
        let state = State {
            lease,
            linked: false,
            lease_known: false,
            demands: demand::Aggregator::default(),
            placement: Placement::default(),
            speeds: registry::Registry::default(),
            trackers: BTreeMap::new(),
            links: BTreeMap::new(),
            subscriptions: subscription::Registry::default(),
            groups: BTreeSet::new(),
            engine_groups: BTreeSet::new(),
            stream_groups: BTreeSet::new(),
            tracked_versions: (0, 0),
            sends_all_engines: true,
            all_engines_limit: settings.all_engines_limit,
            recent_fetches: VecDeque::new(),
            concurrency: plan::concurrency::Estimate::default(),
            standbys: Vec::new(),
            rival: None,
            is_ceding: false,
            active_fencing: None,
            role_changed_at: clock::Instant::default(),
            last_heartbeat: None,
            sent_config: None,
            config_updates: None,
            entries: None,
            entries_as_of: None,
            changes_as_of: None,
            own_gateway: None,
            origins: origin::Registry::new(origins::MAX_STREAMS),
            journal: origin::Journal::default(),
            recorded_groups: BTreeMap::new(),
            written_groups: Some(BTreeSet::new()),
            inherited_groups: None,
            read_groups: None,
            keepers: Vec::new(),
            versions: origin::Versions::default(),
            versions_sent_at: clock::Instant::default(),
            gateways_changed: false,
            gateways_sent_at: clock::Instant::default(),
            loads_sent: (clock::Instant::default(), false),
            forecasts_sent_at: clock::Instant::default(),
            prefixes: prefix::news::Collector::default(),
            forecasts: Vec::new(),
            delays_logged_at: BTreeMap::new(),
            meter: meter::Meter::default(),
            pacer: pacer::Pacer::default(),
            limits_changed: false,
            limits_sent_at: clock::Instant::default(),
            shares: Vec::new(),
            shares_sent_at: clock::Instant::default(),
            shares_logged_at: BTreeMap::new(),
        };
        Self {
            node,
            plan_wake: Notify::new(),
            lease_wake: Notify::new(),
            journal_wake: Notify::new(),
            orders_in_flight: Arc::default(),
            state: Mutex::new(state),
        }
    }

    /// Whether this instance may send orders to engines now.
    #[must_use]
    pub fn is_active(&self) -> bool {
        let now = self.node.now();
        self.lock().lease.fencing(now).is_some()
    }

    /// The steward to open a link to, if it is another instance.
    #[must_use]
    pub fn remote_steward(&self) -> Option<Record> {
        self.lock().lease.holder().cloned()
    }

    /// Records that a link to an active steward was opened or has ended.
    pub fn set_linked(&self, linked: bool) {
        let mut state = self.lock();
        if state.linked == linked {
            // While there is no steward, links are tried several times a second. Reading the lease for each
            // attempt would send the store hundreds of calls a second, just when it is overloaded.
            return;
        }
        state.lease_known &= linked;
        state.linked = linked;
        drop(state);
        self.lease_wake.notify_one();
    }

    /// Whether this instance has a link to an active steward.
    #[must_use]
    pub fn is_linked(&self) -> bool {
        self.lock().linked
    }

    /// Takes this instance's demand, with what it knows of the store.
    #[must_use]
    pub fn take_own_demand(&self) -> demand::Demand {
        self.node.take_demand(self.node.platform.era())
    }

    /// Records where the lease's record ends, as reported by the steward.
    pub fn observe_lease_end(&self, lease_end: Position) {
        let now = self.node.now();
        self.lock().lease.observe_end(now, lease_end);
    }

    /// Records the demand of an instance.
    pub fn update_demand(&self, instance: &SmolStr, mut demand: demand::Demand) {
        let now = self.node.now();
        self.node.record_leaving(&demand.leaving_servers);
        let mut state = self.lock();
        for server in &demand.servers_to_check {
            if let Some(tracker) = state.trackers.get_mut(server) {
                tracker.request_report(now);
            }
        }
        state.placement.record(now, &demand);
        state.speeds.add(now, &demand.speeds);
        let reads = std::mem::take(&mut demand.prefix_reads);
        state.prefixes.record(reads);
        state.demands.update(now, instance.clone(), demand);
        drop(state);
        self.plan_wake.notify_one();
    }

    /// Registers the link of an instance and queues the frames with everything it has to know.
    #[must_use]
    pub fn open_link(
        &self,
        number: u64,
        peer: Record,
        cpu_share: f64,
        failure_domain: SmolStr,
        shares_facts: bool,
    ) -> mpsc::Receiver<Bytes> {
        let now = self.node.now();
        let mut state = self.lock();
        let routes = self.node.config().map_or(0, |config| config.routes.len());
        let capacity = MAX_QUEUED_FRAMES
            + state.trackers.len() / MAX_ENGINES_PER_FRAME
            + routes / update::MAX_ROUTES_PER_PART;
        let (sender, receiver) = mpsc::channel(capacity);
        let heartbeat = self.heartbeat(&state, now);
        // The heartbeat comes last: from its first heartbeat on, an instance relies on what it has received.
        // An instance that is not steward knows no more than its peer, and must not replace what the peer
        // knows.
        let all_engines = heartbeat.active && state.should_send_all_engines(state.links.len() + 1);
        let mut frames = if heartbeat.active {
            state.first_frames(now, all_engines)
        } else {
            Vec::new()
        };
        let known = state.lease.holder().filter(|_| state.linked);
        frames.extend(known.cloned().map(frame::Frame::Steward));
        // An instance that isn't steward tells its peer as well: without a steward, nobody else does.
        let facts = Some(self.node.facts()).filter(|facts| shares_facts && !facts.is_empty());
        frames.extend(facts.map(frame::Frame::Facts));
        frames.push(heartbeat.frame(0));
        for frame in frames {
            // The queue has room for all of these frames.
            let _ = sender.try_send(frame.encode());
        }
        let link = Link {
            sender,
            peer,
            cpu_share,
            failure_domain,
            unreached_groups: None,
            gateways: Vec::new(),
            leaving: false,
            stamp_ms: 0,
            read_age: Duration::MAX,
            config_version: None,
            config: None,
            requested_update: None,
            has_directory: heartbeat.active && state.entries.is_some(),
            directory_as_of: state.entries_as_of,
            knows_versions: false,
            keeps_streams: false,
            needs_versions: false,
            shares_facts,
            has_waiting: false,
            all_engines,
            changed_engines: BTreeSet::new(),
        };
        state.links.insert(number, link);
        receiver
    }

    /// Handles this instance's own usage of quotas, limits of servers and permit requests.
    pub fn handle_own_demand(&self, demand: &demand::Demand) {
        let now = self.node.now();
        let instance = &self.node.settings.instance;
        let mut state = self.lock();
        state.meter.record_usage(now, instance, &demand.usage);
        let origins = demand.origins.as_ref();
        let origins = origins.map_or_else(Vec::new, |report| {
            self.handle_origins(now, &mut state, report)
        });
        state.record_limits(now, &demand.limit_notices);
        let replies =
            state.answer_permit_requests(now, pacer::Requester::Own, &demand.permit_requests);
        state.send_facts(&demand.quarantine.facts);
        let is_settled = now.since(state.role_changed_at) >= origin::SETTLING_TIME;
        drop(state);
        let trials = self
            .node
            .decide_trials(&demand.quarantine.trial_requests, is_settled);
        self.node.handle_trials(&trials);
        self.count_permits(&replies);
        self.node.handle_permit_replies(&replies);
        self.node.handle_origin_replies(origins);
    }

    /// Handles a demand that was received over a link.
    pub fn handle_demand(&self, number: u64, demand: &demand::Demand) {
        let now = self.node.now();
        self.node.merge_facts(&demand.quarantine.facts, true);
        let mut state = self.lock();
        let heartbeat = self.heartbeat(&state, now);
        let State {
            links,
            meter,
            config_updates,
            pacer,
            gateways_changed,
            entries_as_of,
            ..
        } = &mut *state;
        if let Some(link) = links.get_mut(&number) {
            let is_new = link.config_version.is_none();
            link.observe_config(demand, heartbeat.config);
            if is_new && link.config_version.is_some() {
                // The queue of a new link has room.
                let _ = link.send(&frame::Frame::Limits(pacer.notices()));
            }
            if heartbeat.active && demand.origins.is_some() && !link.knows_versions {
                link.knows_versions = true;
                let _ = link.send(&frame::Frame::Versions(self.node.told_versions()));
            }
            // The configuration is sent before a heartbeat announces it, upon which the instance would wait for it
            // and then read the store.
            if let Some(updates) = config_updates.as_mut().filter(|_| heartbeat.active)
                && !link.send_config(updates)
            {
                links.remove(&number);
                return;
            }
            // What the steward sends is valid for the instance only once the steward has answered a demand,
            // so the first demand is answered at once.
            if link.stamp_ms == 0 && !link.send(&heartbeat.frame(demand.stamp_ms)) {
                links.remove(&number);
                return;
            }
            meter.record_usage(now, &link.peer.instance, &demand.usage);
            if link.leaving != demand.leaving || link.unreached_groups != demand.unreached_groups {
                link.leaving = demand.leaving;
                link.unreached_groups.clone_from(&demand.unreached_groups);
                *gateways_changed = true;
            }
            // It has heard of later changes, which an earlier steward knew.
            if demand
                .missed_directory
                .is_some_and(|missed| Some(missed) <= *entries_as_of)
            {
                link.has_directory = false;
            }
            link.keeps_streams = demand.origins.as_ref().is_some_and(|report| report.keeps);
            link.stamp_ms = demand.stamp_ms;
            link.read_age = Duration::from_millis(demand.read_age_ms.into());
            link.has_waiting = !demand.queues.is_empty();
            link.needs_versions |= demand.queues.iter().any(|queue| queue.version.is_some());
        }
        if heartbeat.active {
            state.record_limits(now, &demand.limit_notices);
            let replies = state.answer_permit_requests(
                now,
                pacer::Requester::Link(number),
                &demand.permit_requests,
            );
            self.count_permits(&replies);
            state.send_permits(number, replies);
            if let Some(report) = &demand.origins {
                let replies = self.handle_origins(now, &mut state, report);
                state.send_origins(number, replies);
            }
            let is_settled = now.since(state.role_changed_at) >= origin::SETTLING_TIME;
            let trials = self
                .node
                .decide_trials(&demand.quarantine.trial_requests, is_settled);
            state.send_trials(number, trials);
        } else if let Some(report) = &demand.origins {
            // If the link outlasts a lapse of the lease, the streams are not reported again.
            state.record_streams(now, &report.begun);
        }
        let arrived = demand.arrived.iter().map(|count| &count.model);
        for model in arrived.chain(demand.queues.iter().map(|queue| &queue.model)) {
            state.subscriptions.renew(now, number, model);
        }
        state.subscribe(now, number, &demand.subscriptions);
    }

    /// Accepts the lease that the steward hands over to this instance.
    pub fn accept_hand_over(&self, hand_over: &HandOver) {
        let now = self.node.now();
        let fencing = hand_over.fencing;
        let mut state = self.lock();
        state.lease.accept_hand_over(now, hand_over);
        state.read_groups = None;
        state.lease_known = true;
        let order_delay = state.lease.order_delay(now);
        drop(state);
        log::info!(fencing = fencing, order_delay_ms = clock::millis(order_delay); "lease received");
        self.lease_wake.notify_one();
        self.plan_wake.notify_one();
    }

    /// Records that another process answers at the address of the one that held the lease.
    pub fn holder_ended(&self, incarnation: u64) {
        self.lock().lease.holder_ended(incarnation);
        self.lease_wake.notify_one();
    }

    /// Records that another instance holds the lease now, as reported by the steward.
    pub fn holder_moved(&self, holder: Record) {
        let now = self.node.now();
        self.lock().lease.holder_moved(now, holder);
    }

    /// Records the steward that another instance has a link to.
    pub fn redirect(&self, holder: Record) {
        let now = self.node.now();
        self.lock().lease.redirect(now, holder);
    }

    /// Records the steward that this instance has a link to, which may not be the known one.
    pub fn observe_steward(&self, holder: &Record) {
        let known = self.remote_steward().map(|known| known.incarnation);
        if known != Some(holder.incarnation) {
            self.redirect(holder.clone());
        }
    }

    /// Stores the standbys that the steward has named.
    pub fn set_standbys(&self, standbys: Vec<Record>) {
        let mut state = self.lock();
        state.lease.set_standbys(&standbys);
        state.standbys = standbys;
        let standby = state.lease.is_standby();
        drop(state);
        self.node.set_standby(standby == Some(true));
    }

    /// The instance to ask whether another one is steward, if this one has no links and the store does not
    /// answer it.
    #[must_use]
    pub fn instance_to_query(&self) -> Option<Record> {
        let mut state = self.lock();
        if !state.links.is_empty() || !self.node.is_store_failing() {
            return None;
        }
        let rival = state.rival.take();
        drop(state);
        rival.or_else(|| self.random_standby())
    }

    /// Whether another active instance, whose lease record ends at `end`, has taken the lease from this one.
    #[must_use]
    pub fn check_overtaken(&self, holder: &Record, end: Position) -> bool {
        let now = self.node.now();
        let overtaken = self
            .lock()
            .lease
            .observe_overtaking(now, end, holder.clone());
        if overtaken {
            log::info!(steward = holder.instance.as_str(); "another instance has taken the lease");
            self.plan_wake.notify_one();
        }
        overtaken
    }

    /// Records a steward that another instance has a link to and that this instance does not know of.
    pub fn record_rival(&self, rival: Record) {
        self.lock().rival = Some(rival);
    }

    /// A random one of the standbys that were named last, other than this instance.
    #[must_use]
    pub fn random_standby(&self) -> Option<Record> {
        let mut others = self.other_standbys();
        let index = rand::random_range(0..others.len().max(1));
        (index < others.len()).then(|| others.swap_remove(index))
    }

    /// The standbys that were named last, other than this instance.
    #[must_use]
    pub fn other_standbys(&self) -> Vec<Record> {
        let own_name = &self.node.settings.instance;
        let state = self.lock();
        let others = state.standbys.iter();
        let others = others.filter(|other| other.instance != *own_name);
        others.cloned().collect()
    }

    /// Removes the link of an instance after it has ended.
    pub fn close_link(&self, number: u64, process: &str, instance: &SmolStr) {
        let now = self.node.now();
        let mut state = self.lock();
        state.remove_link(now, number, instance);
        state.demands.remove(process);
        drop(state);
        self.plan_wake.notify_one();
    }

    /// Plans and sends orders while this instance holds the lease. Never returns.
    pub async fn run(self: Arc<Self>) {
        loop {
            let interval = if self.is_busy() {
                BUSY_PLAN_INTERVAL
            } else {
                IDLE_PLAN_INTERVAL
            };
            tokio::select! {
                () = self.plan_wake.notified() => time::sleep(PLAN_DELAY).await,
                () = time::sleep(interval) => {}
            }
            let started_at = self.node.now();
            self.run_pass();
            // Other tasks read and write the links between planning passes.
            time::sleep(self.node.now().since(started_at) * PLAN_REST_RATIO).await;
        }
    }

    fn run_pass(self: &Arc<Self>) {
        let now = self.node.now();
        let Some(config) = self.node.config() else {
            return;
        };
        let mut state = self.lock();
        state.origins.prune(now);
        self.update_era(now, &mut state);
        let active_fencing = state.lease.fencing(now);
        if active_fencing != state.active_fencing {
            state.change_role(now, active_fencing);
            self.node.set_acting_steward(active_fencing.is_some());
            self.node
                .steward_reads
                .send_replace(node::StewardReads::default());
            self.journal_wake.notify_one();
            log::info!(acts = active_fencing.is_some(), fencing = active_fencing.unwrap_or_default(); "stewardship changed");
        }
        let heartbeat = self.heartbeat(&state, now);
        let Some(fencing) = active_fencing else {
            state.send_heartbeat(now, &heartbeat);
            return;
        };
        if self.hand_over_if_needed(now, &mut state) {
            drop(state);
            self.plan_wake.notify_one();
            return;
        }
        state.apply_rests(&self.node.resting_servers());
        self.node
            .record_crashed_loads(|process| state.awaited_loads(process));
        let mut orders = Vec::new();
        let mut forecasts = Vec::new();
        let version = (config.version, self.node.directory_version());
        let tracked_versions = std::mem::replace(&mut state.tracked_versions, version);
        state.groups = config.groups.keys().cloned().collect();
        state.engine_groups = engines(&config).map(|(name, _)| name.clone()).collect();
        if version.0 != tracked_versions.0 {
            state.stream_groups = stream_groups(&config);
        }
        state.placement.set_in_force(self.node.parts().placement);
        let has_quarantined = self.node.has_quarantined();
        let is_ceding = state.is_ceding || self.node.is_draining();
        let may_order = state.lease.order_fencing(now).is_some() && !is_ceding;
        for (name, engine) in engines(&config) {
            if version != tracked_versions {
                state.update_engines(name, self.node.engines(name));
            }
            let may_load = |model: &str, adapter: Option<&str>| {
                !has_quarantined || self.node.may_load(name, model, adapter)
            };
            let planned = state.plan(now, name, engine, may_order, may_load, &mut forecasts);
            orders.extend(planned.into_iter().map(|(server, step)| state::Order {
                server,
                fencing,
                step,
            }));
        }
        if state.placement.is_in_force() {
            self.node.metrics.set_replicas(state.placement.needs());
        }
        state.send_forecasts(now, forecasts);
        let shares = state.send_shares(
            now,
            &config,
            self.node.instance_count(),
            self.node.settings.quotas.window,
        );
        if version != tracked_versions {
            if let Some((entries, as_of)) = self.node.entries() {
                state.send_directory(entries, as_of);
            }
        } else if state.entries.is_some() {
            state.send_whole_directory();
        }
        if self.node.has_unnamed_versions(&state.stream_groups) {
            self.lease_wake.notify_one();
        }
        state.send_versions(now, self.node.told_versions());
        state.send_config(self.node.configs());
        state.send_heartbeat(now, &heartbeat);
        let gateways = state.send_gateways(now, &self.own_gateway());
        state.send_prompt_changes(now);
        let notices = state.send_limits(now);
        let permits = state.grant_due(now);
        let loads = state.send_loads(now, self.node.parts());
        let instances = state.links.len() + 1;
        let local = state.forecasts.clone();
        let reports = state.reports_due(now);
        drop(state);
        self.node.update_instance_count(instances);
        if let Some(gateways) = gateways {
            self.node.set_gateways(gateways);
        }
        self.node.replace_forecasts(local);
        if let Some(shares) = shares {
            self.node.replace_shares(shares);
        }
        if let Some(loads) = loads {
            self.node.replace_loads(&loads);
        }
        if let Some(notices) = notices {
            self.node.update_limits(&notices);
        }
        self.node.handle_permit_replies(&permits);
        for order in orders {
            self.spawn_order(order);
        }
        for server in reports {
            self.spawn_report(server);
        }
    }

    fn heartbeat(&self, state: &State, now: clock::Instant) -> Heartbeat {
        Heartbeat {
            incarnation: self.node.incarnation,
            active: state.lease.fencing(now).is_some(),
            instances: state.links.len() + 1,
            lease_end: state.lease.end().unwrap_or_default(),
            era: self.node.platform.era(),
            config: self.node.config_revision(),
            read_age: self.node.read_age(),
            store: self.node.store_report(),
            standbys_must_read: successor::needs_standby_reads(
                self.own_candidate(&state.engine_groups),
                &lease::successor_candidates(now, state).1,
            ),
        }
    }

    /// This instance as a gateway.
    fn own_gateway(&self) -> gateway::Gateway {
        let settings = &self.node.settings;
        gateway::Gateway {
            instance: settings.instance.clone(),
            address: SmolStr::new(settings.peers_advertised.to_string()),
            failure_domain: settings.failure_domain.clone(),
            unreached_groups: self.node.unreached_groups(),
            lends: true,
        }
    }

    fn count_permits(&self, replies: &[limit::Reply]) {
        for reply in replies {
            self.node.metrics.count_permit(reply.outcome);
        }
    }

    fn is_busy(&self) -> bool {
        let state = self.lock();
        let has_pending = state.pacer.has_waiting() || state.limits_changed;
        let has_order_delay = !state.lease.order_delay(self.node.now()).is_zero();
        state.active_fencing.is_some()
            && (has_pending || has_order_delay || state.trackers.values().any(Tracker::is_busy))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("the lock is not poisoned")
    }
}

/// The groups to which routes lead whose streams may be resumed.
fn stream_groups(config: &config::Config) -> BTreeSet<SmolStr> {
    let routes = config.routes.iter();
    let resumable = routes.filter(|route| route.kind == config::Kind::Resumable);
    let targets = resumable.flat_map(|route| &route.targets);
    targets.map(|target| target.group.clone()).collect()
}

fn engines(config: &config::Config) -> impl Iterator<Item = (&SmolStr, &config::Engine)> {
    let groups = config.groups.iter();
    groups.filter_map(|(name, group)| Some((name, group.engine.as_ref()?)))
}
