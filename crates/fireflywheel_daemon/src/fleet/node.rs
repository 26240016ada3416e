//! What an instance knows, behind one lock that is never held across a wait.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use fireflywheel::clock::Instant;
use fireflywheel::fleet::budget::Budget;
use fireflywheel::fleet::config::Config;
use fireflywheel::fleet::demand::{Arrived, Demand, Lane, Running};
use fireflywheel::fleet::frame::{Changes, Entry, Forecast, Holding};
use fireflywheel::fleet::routing::{self, Candidate, Seen};
use fireflywheel::fleet::server::{Held, Server};
use fireflywheel::rendezvous;
use smol_str::SmolStr;
use tokio::sync::{Notify, watch};

use super::metrics::Metrics;
use super::platform::{Call, News};
use super::pool::Pool;
use crate::clock::Clock;
use fireflywheel::fleet::settings::Settings;

/// Instances that share limits while it isn't known how many there are: too many only makes parts small.
const UNKNOWN_INSTANCES: usize = 24;
/// Prompts that share at least this many tokens are sent to the server that has read them: below it, reading
/// them again takes less time than the way to another server.
const WARM_TOKENS: u32 = 512;
/// After the steward's last word, entries of the directory are as new as that after this time: two heartbeats
/// and the time until they are read.
const TOLD: Duration = Duration::from_millis(1600);
/// A server that says when it will be gone gets no request in its last moments.
const LEAVING_MARGIN: Duration = Duration::from_millis(300);

/// One instance.
#[derive(Debug)]
pub struct Node<P> {
    /// What translates.
    pub platform: P,
    /// What it was told at its start.
    pub settings: Settings,
    /// Its clock.
    pub clock: Clock,
    /// Its connections to backend servers.
    pub pool: Pool,
    /// What it counts.
    pub metrics: Metrics,
    /// Tells two processes of one name apart.
    pub incarnation: u64,
    /// Changes when a request that waits may find something else.
    pub changed: watch::Sender<u64>,
    /// Told when more, or something else, is wanted of the steward.
    pub wanted: Notify,
    /// Told when requests in progress begin or end.
    pub used: Notify,
    /// What the steward says of its own reads of the store.
    pub relayed: watch::Sender<Relayed>,
    state: Mutex<State>,
}

/// What the steward says of its own reads of the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Relayed {
    /// Until then its word stands for reads of this instance's own.
    pub until: Option<Instant>,
    /// The newest configuration that it knows of.
    pub version: u64,
}

#[derive(Debug, Default)]
struct State {
    config: Option<Arc<Config>>,
    servers: BTreeMap<SmolStr, Known>,
    lanes: BTreeMap<LaneKey, BTreeMap<u64, Waiting>>,
    arrived: BTreeMap<(SmolStr, SmolStr), u32>,
    denied: BTreeSet<SmolStr>,
    forecasts: BTreeMap<(SmolStr, SmolStr), Instant>,
    budgets: BTreeMap<SmolStr, Budget>,
    instances: Option<usize>,
    config_read: Option<Instant>,
    directory_read: Option<Instant>,
    relaying: bool,
    /// Until when the steward's word goes before the directory's; none while there is a link to it.
    told_until: Option<Instant>,
    next_waiting: u64,
    /// When a planned stop will be over, once one has begun.
    stops: Option<Instant>,
}

#[derive(Debug)]
struct Known {
    server: Server,
    /// What the steward said that it holds.
    told: Option<Held>,
    seen: Seen,
    running: BTreeMap<(SmolStr, Option<SmolStr>), u32>,
    /// Its entry is gone, but it may only have lapsed while the store was away.
    missing: Option<Instant>,
}

/// Where requests wait for the same thing.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct LaneKey {
    /// The group.
    pub group: SmolStr,
    /// The model, for engines.
    pub model: Option<SmolStr>,
    /// The adapter on it.
    pub adapter: Option<SmolStr>,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    since: Instant,
    until: Instant,
}

/// A backend server that was chosen.
#[derive(Clone, Debug)]
pub struct Chosen {
    /// Its id.
    pub server: SmolStr,
    /// Where it listens.
    pub address: SocketAddr,
    /// Connections that this instance may have to it.
    pub connections: usize,
}

/// What there is for a request now.
#[derive(Clone, Debug)]
pub enum Choice {
    /// A server that can run it.
    Server(Chosen),
    /// Those that can run it have no room at this moment.
    Full,
    /// None holds its model; the wait is what the steward expects.
    Absent(Option<Duration>),
    /// The group has no server.
    Nobody,
}

/// A request in progress at a server, counted as long as this lives.
#[derive(Debug)]
pub struct InFlight<P>
where
    P: Send + Sync,
{
    node: Arc<Node<P>>,
    server: SmolStr,
    born: u64,
    key: (SmolStr, Option<SmolStr>),
}

/// A request that waits, counted as long as this lives.
#[derive(Debug)]
pub struct Waiter<P>
where
    P: Send + Sync,
{
    node: Arc<Node<P>>,
    lane: LaneKey,
    number: u64,
}

/// What became of an attempt, as far as its server is concerned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It did as it should.
    Good,
    /// It failed a request.
    Failed,
    /// It couldn't be reached.
    Unreachable,
    /// It had no room.
    Full,
    /// Another server has its address.
    Replaced,
}

impl<P> Node<P>
where
    P: Send + Sync,
{
    /// An instance that knows nothing yet.
    #[must_use]
    pub fn new(platform: P, settings: Settings, metrics: Metrics) -> Self {
        Self {
            platform,
            settings,
            clock: Clock::new(),
            pool: Pool::default(),
            metrics,
            incarnation: rand::random(),
            changed: watch::Sender::new(0),
            wanted: Notify::new(),
            used: Notify::new(),
            relayed: watch::Sender::new(Relayed::default()),
            state: Mutex::default(),
        }
    }

    /// The time.
    #[must_use]
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// The configuration in force.
    #[must_use]
    pub fn config(&self) -> Option<Arc<Config>> {
        self.lock().config.clone()
    }

    /// Puts a configuration in force, unless a later one is.
    pub fn configure(&self, config: Config) -> bool {
        let mut state = self.lock();
        let newest = state.config.as_ref().map(|config| config.version);
        if newest.is_some_and(|version| version >= config.version) {
            return false;
        }
        state.config = Some(Arc::new(config));
        drop(state);
        self.wake();
        true
    }

    /// The configuration was read at this time.
    pub fn read_config(&self, asked: Instant) {
        self.lock().config_read = Some(asked);
    }

    /// The directory was read at this time.
    pub fn read_directory(&self, asked: Instant) {
        self.lock().directory_read = Some(asked);
    }

    /// How long ago the older of both was read.
    #[must_use]
    pub fn read_age(&self) -> Duration {
        let now = self.now();
        let state = self.lock();
        let oldest = state.config_read.min(state.directory_read);
        oldest.map_or(Duration::MAX, |at| now.since(at))
    }

    /// Whether the steward's reads of the store stand for this instance's own.
    #[must_use]
    pub fn is_relayed(&self) -> bool {
        let until = self.relayed.borrow().until;
        until.is_some_and(|until| self.now() < until)
    }

    /// Whether this instance's reads stand for those of others.
    #[must_use]
    pub fn is_relaying(&self) -> bool {
        self.lock().relaying
    }

    /// This instance is steward from now on, or no more.
    pub fn set_relaying(&self, relaying: bool) {
        self.lock().relaying = relaying;
    }

    /// Whether callers should be sent here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let state = self.lock();
        state.config.is_some() && state.stops.is_none()
    }

    /// A planned stop has begun, and will be over after `grace`.
    pub fn drain(&self, grace: Duration) {
        let stops = self.now().after(grace);
        self.lock().stops = Some(stops);
        self.wake();
    }

    /// When a planned stop will be over, once one has begun.
    #[must_use]
    pub fn stops(&self) -> Option<Instant> {
        self.lock().stops
    }

    /// Whether a planned stop has begun.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.stops().is_some()
    }

    /// Takes in news of the directory. Entries that are gone are kept for `patience`, in case they lapsed
    /// only because the store was away.
    pub fn learn(&self, news: News, patience: Duration) {
        let now = self.now();
        let mut state = self.lock();
        match news {
            News::All(servers) => {
                for known in state.servers.values_mut() {
                    if servers.iter().all(|server| server.id != known.server.id) {
                        known.missing.get_or_insert(now);
                    }
                }
                for server in servers {
                    state.enter(server);
                }
            }
            News::Some(changes) => {
                for (id, server) in changes {
                    match server {
                        Some(server) => state.enter(server),
                        None => state.miss(&id, now),
                    }
                }
            }
        }
        state.forget_missing(now, patience);
        drop(state);
        self.wake();
    }

    /// All entries of the directory, for other instances.
    #[must_use]
    pub fn entries(&self) -> BTreeMap<SmolStr, Entry> {
        let now = self.now();
        let state = self.lock();
        let present = state
            .servers
            .iter()
            .filter(|(_, known)| known.missing.is_none());
        present
            .map(|(id, known)| (id.clone(), Entry::new(&known.server, now)))
            .collect()
    }

    /// The steward says what has changed in the directory.
    pub fn learn_entries(&self, changes: Changes) {
        let now = self.now();
        let servers = changes.entries.into_iter().map(|entry| entry.server(now));
        let news = if changes.all {
            News::All(servers.collect())
        } else {
            let changed = servers.map(|server| (server.id.clone(), Some(server)));
            News::Some(
                changed
                    .chain(changes.gone.into_iter().map(|id| (id, None)))
                    .collect(),
            )
        };
        self.learn(news, Duration::ZERO);
    }

    /// The steward says what an engine holds.
    pub fn learn_held(&self, holding: Holding) {
        let mut state = self.lock();
        if let Some(known) = state.servers.get_mut(&holding.server)
            && known.server.born == holding.born
        {
            known.told = Some(holding.held);
        }
        drop(state);
        self.wake();
    }

    /// There is a word of the steward from now on, or there is none any more.
    pub fn set_told(&self, told: bool) {
        let until = self.now().after(TOLD);
        let mut state = self.lock();
        match (told, state.told_until) {
            (true, _) => state.told_until = None,
            (false, None) => state.told_until = Some(until),
            (false, Some(_)) => {}
        }
    }

    /// The steward says when models can be used; replaces what it said before.
    pub fn learn_forecasts(&self, forecasts: Vec<Forecast>) {
        let now = self.now();
        let mut state = self.lock();
        state.forecasts = forecasts
            .into_iter()
            .map(|forecast| {
                let at = now.after(Duration::from_millis(forecast.wait_ms.into()));
                ((forecast.group, forecast.model), at)
            })
            .collect();
        drop(state);
        self.wake();
    }

    /// How many instances share limits.
    pub fn learn_instances(&self, instances: usize) {
        self.lock().instances = Some(instances.max(1));
    }

    /// Instances that share limits, as far as known.
    #[must_use]
    pub fn instances(&self) -> usize {
        self.lock().instances()
    }

    /// The engines of a group, for the steward.
    #[must_use]
    pub fn engines(&self, group: &str) -> Vec<Server> {
        let state = self.lock();
        let known = state.servers.values();
        known
            .filter(|known| known.server.group == group)
            .map(|known| known.server.clone())
            .collect()
    }

    /// All that this instance wants and has running.
    #[must_use]
    pub fn demand(&self) -> Demand {
        let now = self.now();
        let mut state = self.lock();
        let arrived = std::mem::take(&mut state.arrived);
        let denied = std::mem::take(&mut state.denied);
        Demand {
            lanes: state
                .lanes
                .iter()
                .filter_map(|(key, lane)| lane_demand(now, key, lane))
                .collect(),
            running: state.servers.values().flat_map(running).collect(),
            arrived: arrived
                .into_iter()
                .map(|((group, model), count)| Arrived {
                    group,
                    model,
                    count,
                })
                .collect(),
            stamp_ms: now.0,
            leaving: state.stops.is_some(),
            denied: denied.into_iter().collect(),
        }
    }

    /// A request for a model came.
    pub fn arrived(&self, group: &SmolStr, model: &SmolStr) {
        let mut state = self.lock();
        *state
            .arrived
            .entry((group.clone(), model.clone()))
            .or_default() += 1;
    }

    /// Where a request can go now, leaving out servers that it was sent to already if there are others.
    #[must_use]
    pub fn choose(&self, lane: &LaneKey, call: &Call, tried: &[SmolStr]) -> Choice {
        let now = self.now();
        let state = self.lock();
        let group = state
            .config
            .as_ref()
            .and_then(|config| config.groups.get(&lane.group));
        let Some(group) = group else {
            return Choice::Nobody;
        };
        let mut servers: Vec<&Known> = state.usable(now, lane).collect();
        if servers.is_empty() {
            return Choice::Nobody;
        }
        if let (Some(_), Some(model)) = (&group.engine, &lane.model) {
            servers.retain(|known| {
                known
                    .held(now, state.told_until)
                    .holds(model, lane.adapter.as_deref())
            });
            if servers.is_empty() {
                let key = (lane.group.clone(), model.clone());
                let expected = state.forecasts.get(&key).map(|at| at.since(now));
                return Choice::Absent(expected);
            }
        }
        if servers
            .iter()
            .any(|known| !tried.contains(&known.server.id))
        {
            servers.retain(|known| !tried.contains(&known.server.id));
        }
        let warm = warm_server(call, &servers);
        let candidates: Vec<Candidate<'_>> = servers
            .iter()
            .map(|known| Candidate {
                seen: &known.seen,
                slots: known.server.slots,
                near: known.server.domain == self.settings.domain,
                warm: warm.as_ref() == Some(&known.server.id),
            })
            .collect();
        let Some(place) = routing::pick(now, &candidates, rand::random()) else {
            return Choice::Full;
        };
        Choice::Server(Chosen {
            server: servers[place].server.id.clone(),
            address: servers[place].server.address,
            connections: (group.connections / state.instances()).max(1),
        })
    }

    /// Counts a request at a server from now on.
    #[must_use]
    pub fn begin(self: &Arc<Self>, server: &SmolStr, lane: &LaneKey) -> InFlight<P> {
        let key = (lane.model.clone().unwrap_or_default(), lane.adapter.clone());
        let mut state = self.lock();
        let mut born = 0;
        if let Some(known) = state.servers.get_mut(server) {
            known.seen.in_flight += 1;
            *known.running.entry(key.clone()).or_default() += 1;
            born = known.server.born;
        }
        drop(state);
        self.used.notify_one();
        InFlight {
            node: Arc::clone(self),
            server: server.clone(),
            born,
            key,
        }
    }

    /// Counts a request as waiting from now on.
    #[must_use]
    pub fn wait(self: &Arc<Self>, lane: &LaneKey, since: Instant, until: Instant) -> Waiter<P> {
        let mut state = self.lock();
        state.next_waiting += 1;
        let number = state.next_waiting;
        let waiting = Waiting { since, until };
        state
            .lanes
            .entry(lane.clone())
            .or_default()
            .insert(number, waiting);
        drop(state);
        self.wanted.notify_one();
        Waiter {
            node: Arc::clone(self),
            lane: lane.clone(),
            number,
        }
    }

    /// Remembers how a server did.
    pub fn judge(&self, id: &str, verdict: Verdict) {
        let now = self.now();
        let mut state = self.lock();
        let Some(known) = state.servers.get_mut(id) else {
            return;
        };
        match verdict {
            Verdict::Good => known.seen.succeeded(now),
            Verdict::Failed => known.seen.failed(now),
            Verdict::Unreachable => known.seen.unreachable(now),
            Verdict::Full => known.seen.full(now),
            Verdict::Replaced => known.seen.replaced(now),
        }
    }

    /// Whether a server couldn't be reached a moment ago, or isn't there any more.
    #[must_use]
    pub fn is_lost(&self, id: &str) -> bool {
        let now = self.now();
        let state = self.lock();
        state
            .servers
            .get(id)
            .is_none_or(|known| known.seen.is_down(now))
    }

    /// A server reported its load.
    pub fn reported(&self, id: &str, report: routing::Report) {
        let now = self.now();
        if let Some(known) = self.lock().servers.get_mut(id) {
            known.seen.reported(now, report);
        }
    }

    /// A server said that it doesn't hold a model which it was thought to hold. The steward is told: somebody else
    /// may have ordered the server, and all instances would go on to send it requests that it refuses.
    pub fn denied(&self, id: &str, lane: &LaneKey) {
        let Some(model) = &lane.model else {
            return;
        };
        let mut state = self.lock();
        state.denied.insert(id.into());
        if let Some(known) = state.servers.get_mut(id) {
            let told = known.told.iter_mut();
            for held in told.chain([&mut known.server.held]) {
                match &lane.adapter {
                    None => {
                        held.models.remove(model);
                    }
                    Some(adapter) => {
                        if let Some(adapters) = held.models.get_mut(model) {
                            adapters.remove(adapter);
                        }
                    }
                }
            }
        }
        drop(state);
        self.wanted.notify_one();
    }

    /// A request is sent for the first time.
    pub fn count_first(&self, group: &SmolStr) {
        let now = self.now();
        self.lock().budget(group, &self.settings).first(now);
    }

    /// Takes one repeat out of the group's budget.
    #[must_use]
    pub fn may_repeat(&self, group: &SmolStr) -> bool {
        let now = self.now();
        let mut state = self.lock();
        let instances = state.instances();
        state.budget(group, &self.settings).repeat(now, instances)
    }

    fn wake(&self) {
        self.changed
            .send_modify(|count| *count = count.wrapping_add(1));
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic while it was held")
    }
}

impl Known {
    /// What it holds: the steward knows more than the directory, as long as it can be heard.
    fn held(&self, now: Instant, told_until: Option<Instant>) -> &Held {
        let fresh = told_until.is_none_or(|until| now < until);
        self.told
            .as_ref()
            .filter(|_| fresh)
            .unwrap_or(&self.server.held)
    }
}

impl State {
    fn enter(&mut self, server: Server) {
        let fresh = Known {
            server: server.clone(),
            told: None,
            seen: Seen::default(),
            running: BTreeMap::new(),
            missing: None,
        };
        let known = self.servers.entry(server.id.clone()).or_insert(fresh);
        known.missing = None;
        if known.server.born != server.born || known.server.address != server.address {
            // Another process: nothing that was seen of the one before holds for it.
            known.seen = Seen::default();
            known.running.clear();
            known.told = None;
        } else if server.held == Held::default() {
            // The steward's word on entries leaves out what they hold.
            let held = std::mem::take(&mut known.server.held);
            known.server = Server { held, ..server };
            return;
        }
        known.server = server;
    }

    fn miss(&mut self, id: &str, now: Instant) {
        if let Some(known) = self.servers.get_mut(id) {
            known.missing.get_or_insert(now);
        }
    }

    fn forget_missing(&mut self, now: Instant, patience: Duration) {
        self.servers.retain(|id, known| {
            let stays = known.missing.is_none_or(|since| now < since.after(patience));
            if !stays {
                log::info!(server = id.as_str(), group = known.server.group.as_str(); "backend server gone");
            }
            stays
        });
    }

    fn usable<'a>(&'a self, now: Instant, lane: &'a LaneKey) -> impl Iterator<Item = &'a Known> {
        let in_time = move |known: &&Known| {
            let leaves = known.server.leaves;
            leaves.is_none_or(|at| now.after(LEAVING_MARGIN) < at)
        };
        self.servers
            .values()
            .filter(|known| known.server.group == lane.group && known.server.ready)
            .filter(in_time)
    }

    fn instances(&self) -> usize {
        self.instances.unwrap_or(UNKNOWN_INSTANCES)
    }

    fn budget(&mut self, group: &SmolStr, settings: &Settings) -> &mut Budget {
        let fresh = || Budget::new(settings.repeats);
        self.budgets.entry(group.clone()).or_insert_with(fresh)
    }
}

/// Instances agree on it without talking, as long as they see the same servers.
fn warm_server(call: &Call, servers: &[&Known]) -> Option<SmolStr> {
    let shared = call.shared.as_ref()?;
    if shared.tokens < WARM_TOKENS || servers.len() < 2 {
        return None;
    }
    let ids = servers.iter().map(|known| known.server.id.as_str());
    rendezvous::first(&shared.part, ids).map(SmolStr::new)
}

fn lane_demand(now: Instant, key: &LaneKey, lane: &BTreeMap<u64, Waiting>) -> Option<Lane> {
    let model = key.model.clone()?;
    let since = lane.values().map(|waiting| waiting.since).min()?;
    let until = lane.values().map(|waiting| waiting.until).max()?;
    Some(Lane {
        group: key.group.clone(),
        model,
        adapter: key.adapter.clone(),
        waiting: u32::try_from(lane.len()).unwrap_or(u32::MAX),
        waited_ms: millis(now.since(since)),
        left_ms: millis(until.since(now)),
    })
}

fn running(known: &Known) -> impl Iterator<Item = Running> {
    let counts = known.running.iter().filter(|(_, count)| **count > 0);
    counts.map(|((model, adapter), count)| Running {
        server: known.server.id.clone(),
        model: model.clone(),
        adapter: adapter.clone(),
        count: *count,
    })
}

fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

impl<P> Drop for InFlight<P>
where
    P: Send + Sync,
{
    fn drop(&mut self) {
        let mut state = self.node.lock();
        let Some(known) = state.servers.get_mut(&self.server) else {
            return;
        };
        if known.server.born != self.born {
            return;
        }
        known.seen.in_flight = known.seen.in_flight.saturating_sub(1);
        if let Some(count) = known.running.get_mut(&self.key) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                known.running.remove(&self.key);
            }
        }
        drop(state);
        self.node.used.notify_one();
    }
}

impl<P> Drop for Waiter<P>
where
    P: Send + Sync,
{
    fn drop(&mut self) {
        let mut state = self.node.lock();
        if let Some(lane) = state.lanes.get_mut(&self.lane) {
            lane.remove(&self.number);
            if lane.is_empty() {
                state.lanes.remove(&self.lane);
            }
        }
        drop(state);
        self.node.wanted.notify_one();
    }
}
