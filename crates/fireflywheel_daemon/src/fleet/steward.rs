//! Holding the lease, planning and sending orders.

mod lease;
mod limits;
mod link;
mod orders;
mod shares;
mod state;
mod tell;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use fireflywheel::clock;
use fireflywheel::fleet::config;
use fireflywheel::fleet::demand;
use fireflywheel::fleet::era::Position;
use fireflywheel::fleet::frame;
use fireflywheel::fleet::lease::{HandOver, Lease, Record};
use fireflywheel::fleet::limit;
use fireflywheel::fleet::limit::pacer;
use fireflywheel::fleet::plan;
use fireflywheel::fleet::quota::meter;
use fireflywheel::fleet::subscription;
use fireflywheel::fleet::successor;
use fireflywheel::fleet::tracker::Tracker;
use smol_str::SmolStr;
use tokio::sync::{Notify, mpsc};
use tokio::time;

use super::node;
use super::platform;
use link::{Heartbeat, Link};
use state::{Due, State};
use tell::ENGINES_A_FRAME;

/// Time between two looks at what is due, while orders are being carried out.
const BUSY_LOOK: Duration = Duration::from_millis(25);

/// The same while nothing is wanted.
const IDLE_LOOK: Duration = Duration::from_millis(250);

/// Demands that come together are planned for together.
const GATHER: Duration = Duration::from_millis(2);

/// A steward rests for so many times as long as a look took: with thousands of engines it would do nothing else.
const REST: u32 = 2;

/// Time between two heartbeats to the instances that are linked.
pub(super) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// Instances that are named as standbys: some may be dead or cut off with the steward, and each more costs calls to the
/// store at each takeover.
const STANDBYS: usize = 5;

/// Frames that may wait for one instance. One that doesn't read loses its link, and reads all anew.
const QUEUE: usize = 256;

/// The steward's part of an instance, whether or not it holds the lease.
#[derive(Debug)]
pub struct Steward<P> {
    /// The instance.
    pub node: Arc<node::Node<P>>,
    /// Told when there may be something to plan.
    pub wake: Notify,
    /// Told when the lease should be looked at.
    pub lease_wake: Notify,
    state: Mutex<State>,
}

impl<P> Steward<P>
where
    P: platform::Platform,
{
    /// A steward's part that doesn't hold the lease.
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
            trackers: BTreeMap::new(),
            links: BTreeMap::new(),
            subscriptions: subscription::Registry::default(),
            groups: BTreeSet::new(),
            engines: BTreeSet::new(),
            followed: (0, 0),
            telling_all: true,
            tell_all: settings.all_engines_limit,
            fetches: VecDeque::new(),
            pace: plan::concurrency::Estimate::default(),
            standbys: Vec::new(),
            rival: None,
            acting: None,
            turned: clock::Instant::default(),
            last_heartbeat: None,
            told_version: 0,
            config: None,
            config_bytes: settings.config_bytes,
            entries: BTreeMap::new(),
            load: (clock::Instant::default(), false),
            forecast: clock::Instant::default(),
            forecasts: Vec::new(),
            delays: BTreeMap::new(),
            meter: meter::Meter::default(),
            pacer: pacer::Pacer::default(),
            limits_changed: false,
            limits_told: clock::Instant::default(),
            shares: Vec::new(),
            shares_told: clock::Instant::default(),
            shares_logged: BTreeMap::new(),
        };
        Self {
            node,
            wake: Notify::new(),
            lease_wake: Notify::new(),
            state: Mutex::new(state),
        }
    }

    /// Whether this instance may order engines now.
    #[must_use]
    pub fn is_active(&self) -> bool {
        let now = self.node.now();
        self.lock().lease.fencing(now).is_some()
    }

    /// The steward to link to, if it is another instance.
    #[must_use]
    pub fn remote_steward(&self) -> Option<Record> {
        self.lock().lease.holder().cloned()
    }

    /// A link to a steward that acts was made, or has ended.
    pub fn set_linked(&self, linked: bool) {
        let mut state = self.lock();
        if state.linked == linked {
            // While there is no steward, links are tried several times a second. A read of the lease for each would
            // bring the store hundreds a second, just when it is overloaded.
            return;
        }
        state.lease_known &= linked;
        state.linked = linked;
        drop(state);
        self.lease_wake.notify_one();
    }

    /// Whether this instance has a link to a steward that acts.
    #[must_use]
    pub fn is_linked(&self) -> bool {
        self.lock().linked
    }

    /// What this instance wants, and what it knows of the store.
    #[must_use]
    pub fn own_demand(&self) -> demand::Demand {
        self.node.demand(self.node.platform.era())
    }

    /// The steward says where the lease's record ends.
    pub fn observe_lease_end(&self, lease_end: Position) {
        let now = self.node.now();
        self.lock().lease.observe_end(now, lease_end);
    }

    /// An instance says what it wants.
    pub fn update_demand(&self, instance: &SmolStr, demand: demand::Demand) {
        let now = self.node.now();
        let mut state = self.lock();
        for server in &demand.denied {
            if let Some(tracker) = state.trackers.get_mut(server) {
                tracker.denied(now);
            }
        }
        state.demands.update(now, instance.clone(), demand);
        drop(state);
        self.wake.notify_one();
    }

    /// An instance is linked from now on; it is told all there is.
    #[must_use]
    pub fn open_link(&self, number: u64, peer: Record, cpu_share: f64) -> mpsc::Receiver<Bytes> {
        let now = self.node.now();
        let mut state = self.lock();
        let capacity = QUEUE + state.trackers.len() / ENGINES_A_FRAME;
        let (sender, receiver) = mpsc::channel(capacity);
        let heartbeat = self.heartbeat(&state, now);
        // Last: from its first heartbeat on, an instance relies on what it was told. One that isn't steward knows no
        // more than the other, and must not take its knowledge away.
        let whole = heartbeat.active && state.tells_all(state.links.len() + 1);
        let mut frames = if heartbeat.active {
            state.first_frames(now, whole)
        } else {
            Vec::new()
        };
        let known = state.lease.holder().filter(|_| state.linked);
        frames.extend(known.cloned().map(frame::Frame::Steward));
        frames.push(heartbeat.frame(0));
        for frame in frames {
            // The queue was made large enough.
            let _ = sender.try_send(frame.encode());
        }
        let link = Link {
            sender,
            peer,
            cpu_share,
            leaving: false,
            stamp_ms: 0,
            read_age: Duration::MAX,
            config_version: None,
            needs_config: false,
            waits: false,
            whole,
            untold: BTreeSet::new(),
        };
        state.links.insert(number, link);
        receiver
    }

    /// What this instance itself was asked for and admitted, and what it asks for.
    pub fn handle_own_demand(&self, demand: &demand::Demand) {
        let now = self.node.now();
        let instance = &self.node.settings.instance;
        let mut state = self.lock();
        state.meter.record_usage(now, instance, &demand.usage);
        state.hear_limits(now, &demand.limits);
        let replies = state.answer_asks(now, pacer::Requester::Own, &demand.permits);
        drop(state);
        self.count_permits(&replies);
        self.node.learn_permits(&replies);
    }

    /// What a demand says of its sender.
    pub fn handle_demand(&self, number: u64, demand: &demand::Demand) {
        let now = self.node.now();
        let mut state = self.lock();
        let heartbeat = self.heartbeat(&state, now);
        let State {
            links,
            meter,
            config,
            pacer,
            ..
        } = &mut *state;
        if let Some(link) = links.get_mut(&number) {
            let is_new = link.config_version.is_none();
            link.config_version = link.config_version.max(demand.config_version);
            link.needs_config = demand.needs_config;
            if is_new && link.config_version.is_some() {
                // The queue of a new link has room.
                let _ = link.send(&frame::Frame::Limits(pacer.notices()));
            }
            // Before the version is named, at which the instance would read the store.
            if heartbeat.active && link.needs_config && !link.send_config(config.as_ref()) {
                links.remove(&number);
                return;
            }
            // What the steward tells stands only once it has answered a demand.
            if link.stamp_ms == 0 && !link.send(&heartbeat.frame(demand.stamp_ms)) {
                links.remove(&number);
                return;
            }
            meter.record_usage(now, &link.peer.instance, &demand.usage);
            link.leaving = demand.leaving;
            link.stamp_ms = demand.stamp_ms;
            link.read_age = Duration::from_millis(demand.read_age_ms.into());
            link.waits = !demand.queues.is_empty();
        }
        if heartbeat.active {
            state.hear_limits(now, &demand.limits);
            let replies = state.answer_asks(now, pacer::Requester::Link(number), &demand.permits);
            self.count_permits(&replies);
            state.tell_permits(number, replies);
        }
        let arrived = demand.arrived.iter().map(|count| &count.model);
        for model in arrived.chain(demand.queues.iter().map(|queue| &queue.model)) {
            state.subscriptions.renew(now, number, model);
        }
        state.answer(now, number, &demand.subscriptions);
    }

    /// The steward hands the lease over to this instance.
    pub fn accept_hand_over(&self, given: HandOver) {
        let now = self.node.now();
        let mut state = self.lock();
        state.lease.receive(now, given);
        state.lease_known = true;
        drop(state);
        log::info!(fencing = given.fencing; "lease received");
        self.lease_wake.notify_one();
        self.wake.notify_one();
    }

    /// Another process answers at the address of the one that held the lease.
    pub fn holder_ended(&self, incarnation: u64) {
        self.lock().lease.holder_ended(incarnation);
        self.lease_wake.notify_one();
    }

    /// The steward says that another instance has the lease now.
    pub fn holder_moved(&self, holder: Record) {
        let now = self.node.now();
        self.lock().lease.holder_moved(now, holder);
    }

    /// Another instance has a link to this steward.
    pub fn redirect(&self, holder: Record) {
        let now = self.node.now();
        self.lock().lease.redirect(now, holder);
    }

    /// This instance has a link to a steward, which may be another than it knew of.
    pub fn observe_steward(&self, holder: &Record) {
        let known = self.remote_steward().map(|known| known.incarnation);
        if known != Some(holder.incarnation) {
            self.redirect(holder.clone());
        }
    }

    /// The steward names its standbys.
    pub fn set_standbys(&self, standbys: Vec<Record>) {
        let mut state = self.lock();
        state.lease.set_standbys(&standbys);
        state.standbys = standbys;
        let standby = state.lease.is_standby();
        drop(state);
        self.node.set_standby(standby == Some(true));
    }

    /// The instance to ask whether another one is steward: this one acts, but nobody has a link to it and the store doesn't answer.
    #[must_use]
    pub fn instance_to_query(&self) -> Option<Record> {
        let mut state = self.lock();
        if !state.links.is_empty() || !self.node.store_fails() {
            return None;
        }
        let rival = state.rival.take();
        drop(state);
        rival.or_else(|| self.standby())
    }

    /// Whether another instance, which acts and whose record ends at `end`, has taken the lease from this one.
    #[must_use]
    pub fn is_overtaken(&self, holder: &Record, end: Position) -> bool {
        let now = self.node.now();
        let overtaken = self.lock().lease.overtaken(now, end, holder.clone());
        if overtaken {
            log::info!(steward = holder.instance.as_str(); "another instance has taken the lease");
            self.wake.notify_one();
        }
        overtaken
    }

    /// Another instance has a link to this steward, which this one doesn't know of.
    pub fn record_rival(&self, rival: Record) {
        self.lock().rival = Some(rival);
    }

    /// One of the standbys that were named last, at random.
    #[must_use]
    pub fn standby(&self) -> Option<Record> {
        let me = &self.node.settings.instance;
        let state = self.lock();
        let others = state.standbys.iter();
        let others: Vec<&Record> = others.filter(|other| other.instance != *me).collect();
        let place = rand::random_range(0..others.len().max(1));
        others.get(place).map(|standby| (*standby).clone())
    }

    /// An instance's link has ended.
    pub fn close_link(&self, number: u64, process: &str, instance: &SmolStr) {
        let now = self.node.now();
        let mut state = self.lock();
        state.remove_link(now, number, instance);
        state.demands.remove(process);
        drop(state);
        self.wake.notify_one();
    }

    /// Plans and sends orders, as long as this instance holds the lease, for ever.
    pub async fn run(self: Arc<Self>) {
        loop {
            let pause = if self.is_busy() { BUSY_LOOK } else { IDLE_LOOK };
            tokio::select! {
                () = self.wake.notified() => time::sleep(GATHER).await,
                () = time::sleep(pause) => {}
            }
            let begun = self.node.now();
            self.look();
            // Links are read and written between looks.
            time::sleep(self.node.now().since(begun) * REST).await;
        }
    }

    fn look(self: &Arc<Self>) {
        let now = self.node.now();
        let Some(config) = self.node.config() else {
            return;
        };
        let mut state = self.lock();
        self.follow_era(now, &mut state);
        let acting = state.lease.fencing(now);
        if acting != state.acting {
            state.turn(now, acting);
            self.node.metrics.set_steward(acting.is_some());
            self.node.set_acting_steward(acting.is_some());
            self.node.set_steward_link(acting.is_some());
            self.node
                .steward_reads
                .send_replace(node::StewardReads::default());
            log::info!(acts = acting.is_some(), fencing = acting.unwrap_or_default(); "stewardship changed");
        }
        let heartbeat = self.heartbeat(&state, now);
        let Some(fencing) = acting else {
            state.send_heartbeat(now, &heartbeat);
            return;
        };
        if self.pass_on(now, &mut state) {
            drop(state);
            self.wake.notify_one();
            return;
        }
        let mut due = Vec::new();
        let mut forecasts = Vec::new();
        let version = (config.version, self.node.directory_version());
        let followed = std::mem::replace(&mut state.followed, version);
        state.groups = config.groups.keys().cloned().collect();
        state.engines = engines(&config).map(|(name, _)| name.clone()).collect();
        for (name, engine) in engines(&config) {
            if version != followed {
                state.follow(name, self.node.engines(name));
            }
            due.extend(state.plan(now, name, engine, fencing, &mut forecasts));
        }
        state.tell_forecasts(now, forecasts);
        let shares = state.tell_shares(
            now,
            &config,
            self.node.instances(),
            self.node.settings.quotas.window,
        );
        if version != followed {
            state.tell_directory(self.node.entries());
        }
        state.tell_config(&config);
        state.send_heartbeat(now, &heartbeat);
        state.tell_waiting(now);
        let notices = state.tell_limits(now);
        let permits = state.grant_due(now);
        let loads = state.tell_load(now);
        let instances = state.links.len() + 1;
        let local = state.forecasts.clone();
        let reports = state.reports_due(now);
        drop(state);
        self.node.learn_instances(instances);
        self.node.learn_forecasts(local);
        if let Some(shares) = shares {
            self.node.learn_shares(shares);
        }
        if let Some(loads) = loads {
            self.node.learn_load(&loads);
        }
        if let Some(notices) = notices {
            self.node.learn_limits(&notices);
        }
        self.node.learn_permits(&permits);
        for order in due {
            self.send(order);
        }
        for server in reports {
            self.ask(server);
        }
    }

    fn heartbeat(&self, state: &State, now: clock::Instant) -> Heartbeat {
        let version = self.node.config().map_or(0, |config| config.version);
        Heartbeat {
            incarnation: self.node.incarnation,
            active: state.lease.fencing(now).is_some(),
            instances: state.links.len() + 1,
            lease_end: state.lease.end().unwrap_or_default(),
            era: self.node.platform.era(),
            config_version: version,
            read_age: self.node.read_age(),
            standbys_read: successor::standbys_read(self.own(), &lease::peers(state).1),
        }
    }

    fn count_permits(&self, replies: &[limit::Reply]) {
        for reply in replies {
            self.node.metrics.count_permit(reply.outcome);
        }
    }

    fn is_busy(&self) -> bool {
        let state = self.lock();
        let awaited = state.pacer.has_waiting() || state.limits_changed;
        state.acting.is_some() && (awaited || state.trackers.values().any(Tracker::is_busy))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic while it was held")
    }
}

fn engines(config: &config::Config) -> impl Iterator<Item = (&SmolStr, &config::Engine)> {
    let groups = config.groups.iter();
    groups.filter_map(|(name, group)| Some((name, group.engine.as_ref()?)))
}
