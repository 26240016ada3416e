//! Holding the lease, planning and sending orders.

mod lease;
mod orders;
mod track;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use fireflywheel::clock::Instant;
use fireflywheel::fleet::config::{Config, Engine};
use fireflywheel::fleet::demand::{Board, Demand};
use fireflywheel::fleet::frame::{Changes, Entry, Forecast, Frame};
use fireflywheel::fleet::lease::{HandOver, Lease, Record};
use fireflywheel::fleet::plan::{self, Step, Tier, View};
use fireflywheel::fleet::server::Server;
use smol_str::SmolStr;
use tokio::sync::{Notify, mpsc};
use tokio::time;

use super::node::{Node, Relayed};
use super::platform::Platform;
use track::Track;

/// Time between two looks at what is due, while orders are being carried out.
const BUSY_LOOK: Duration = Duration::from_millis(25);
/// The same while nothing is wanted.
const IDLE_LOOK: Duration = Duration::from_millis(250);
/// Demands that come together are planned for together.
const GATHER: Duration = Duration::from_millis(2);
/// Time between two beats to the instances that are linked.
pub(super) const BEAT: Duration = Duration::from_millis(300);
/// Forecasts are sent again after this, since the wait that they tell of goes on.
const FORECAST: Duration = Duration::from_millis(500);
/// The share of the weight store's rate that is used: a load may begin later than it was ordered.
const STORE_SHARE: f64 = 0.9;
/// Loads from the weight store are counted over this window.
const STORE_WINDOW: Duration = Duration::from_secs(5);

/// A wait that is worth a line in the log: twice a swap from a disk.
const LONG_WAIT: Duration = Duration::from_millis(1500);
/// Time between two such lines for one model.
const DELAY_LOG: Duration = Duration::from_secs(1);

/// The steward's part of an instance, whether or not it holds the lease.
#[derive(Debug)]
pub struct Steward<P> {
    /// The instance.
    pub node: Arc<Node<P>>,
    /// Told when there may be something to plan.
    pub wake: Notify,
    /// Told when the lease should be looked at.
    pub lease_wake: Notify,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    lease: Lease,
    /// This instance has a link to a steward that acts.
    linked: bool,
    /// The lease was read since it was last written, and since the last link ended.
    lease_known: bool,
    board: Board,
    tracks: BTreeMap<SmolStr, Track>,
    links: BTreeMap<u64, Link>,
    fetches: VecDeque<Instant>,
    acting: Option<u64>,
    beat: Option<Instant>,
    told_version: u64,
    /// The directory as it was told last.
    entries: BTreeMap<SmolStr, Entry>,
    forecast: Instant,
    forecasts: Vec<Forecast>,
    /// When it was last logged that a model is waited for.
    delays: BTreeMap<SmolStr, Instant>,
}

/// A link to another instance.
#[derive(Debug)]
struct Link {
    sender: mpsc::Sender<Frame>,
    peer: Record,
    cpu_share: f64,
    leaving: bool,
    /// Of its last demand.
    stamp_ms: u64,
    /// Requests wait there, so that each change of an engine may matter to it at once.
    waits: bool,
    /// Engines that have changed since it was told.
    untold: BTreeSet<SmolStr>,
}

/// What the steward says of itself.
#[derive(Clone, Copy, Debug)]
struct Word {
    incarnation: u64,
    acts: bool,
    instances: usize,
    lease_end: u64,
    config_version: u64,
    read_age: Duration,
}

/// An order that is to be sent.
#[derive(Clone, Debug)]
struct Due {
    server: SmolStr,
    fencing: u64,
    step: Step,
}

impl<P> Steward<P>
where
    P: Platform,
{
    /// A steward's part that doesn't hold the lease.
    #[must_use]
    pub fn new(node: Arc<Node<P>>) -> Self {
        let settings = &node.settings;
        let address = SmolStr::new(settings.peers.to_string());
        let lease = Lease::new(
            settings.lease,
            settings.instance.clone(),
            node.incarnation,
            address,
        )
        .with_fenced(settings.fenced);
        let state = State {
            lease,
            linked: false,
            lease_known: false,
            board: Board::default(),
            tracks: BTreeMap::new(),
            links: BTreeMap::new(),
            fetches: VecDeque::new(),
            acting: None,
            beat: None,
            told_version: 0,
            entries: BTreeMap::new(),
            forecast: Instant::default(),
            forecasts: Vec::new(),
            delays: BTreeMap::new(),
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
    pub fn acts(&self) -> bool {
        let now = self.node.now();
        self.lock().lease.fencing(now).is_some()
    }

    /// The steward to link to, if it is another instance.
    #[must_use]
    pub fn other(&self) -> Option<Record> {
        self.lock().lease.holder().cloned()
    }

    /// A link to a steward that acts was made, or has ended.
    pub fn set_linked(&self, linked: bool) {
        let mut state = self.lock();
        state.lease_known &= linked;
        state.linked = linked;
        drop(state);
        self.lease_wake.notify_one();
    }

    /// The steward says where the lease's record ends.
    pub fn heard(&self, lease_end: u64) {
        let now = self.node.now();
        self.lock().lease.heard(now, lease_end);
    }

    /// An instance says what it wants.
    pub fn demand(&self, instance: &SmolStr, demand: Demand) {
        let now = self.node.now();
        let mut state = self.lock();
        for server in &demand.denied {
            if let Some(track) = state.tracks.get_mut(server) {
                track.denied(now);
            }
        }
        state.board.take(now, instance.clone(), demand);
        drop(state);
        self.wake.notify_one();
    }

    /// An instance is linked from now on; it is told all there is.
    #[must_use]
    pub fn link(&self, number: u64, peer: Record, cpu_share: f64) -> mpsc::Receiver<Frame> {
        let now = self.node.now();
        let mut state = self.lock();
        let capacity = QUEUE + state.tracks.len();
        let (sender, receiver) = mpsc::channel(capacity);
        let word = self.word(&state, now);
        // Last: from its first beat on, an instance relies on what it was told. One that isn't steward knows no
        // more than the other, and must not take its knowledge away.
        let mut frames = if word.acts { state.all() } else { Vec::new() };
        frames.push(word.frame(0));
        for frame in frames {
            // The queue was made large enough.
            let _ = sender.try_send(frame);
        }
        let link = Link {
            sender,
            peer,
            cpu_share,
            leaving: false,
            stamp_ms: 0,
            waits: false,
            untold: BTreeSet::new(),
        };
        state.links.insert(number, link);
        receiver
    }

    /// What a demand says of its sender.
    pub fn hear(&self, number: u64, demand: &Demand) {
        if let Some(link) = self.lock().links.get_mut(&number) {
            link.leaving = demand.leaving;
            link.stamp_ms = demand.stamp_ms;
            link.waits = !demand.lanes.is_empty();
        }
    }

    /// The steward hands the lease over to this instance.
    pub fn receive(&self, given: HandOver) {
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
    pub fn ended(&self, incarnation: u64) {
        self.lock().lease.ended(incarnation);
        self.lease_wake.notify_one();
    }

    /// The steward says that another instance has the lease now.
    pub fn moved(&self, holder: Record) {
        let now = self.node.now();
        self.lock().lease.moved(now, holder);
    }

    /// An instance's link has ended.
    pub fn unlink(&self, number: u64, instance: &str) {
        let mut state = self.lock();
        state.links.remove(&number);
        state.board.forget(instance);
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
            self.look();
        }
    }

    fn look(self: &Arc<Self>) {
        let now = self.node.now();
        let Some(config) = self.node.config() else {
            return;
        };
        let mut state = self.lock();
        let acting = state.lease.fencing(now);
        if acting != state.acting {
            state.turn(now, acting);
            self.node.metrics.set_steward(acting.is_some());
            self.node.set_told(acting.is_some());
            self.node.set_relaying(acting.is_some());
            self.node.relayed.send_replace(Relayed::default());
            log::info!(acts = acting.is_some(), fencing = acting.unwrap_or_default(); "stewardship changed");
        }
        let word = self.word(&state, now);
        let Some(fencing) = acting else {
            state.beat(now, &word);
            return;
        };
        let mut due = Vec::new();
        let mut forecasts = Vec::new();
        for (name, engine) in engines(&config) {
            state.follow(name, self.node.engines(name));
            due.extend(state.plan(now, name, engine, fencing, &mut forecasts));
        }
        state.tell_forecasts(now, forecasts);
        state.tell_directory(self.node.entries());
        state.beat(now, &word);
        state.tell_waiting();
        let instances = state.links.len() + 1;
        let local = state.forecasts.clone();
        let reports = state.reports_due(now);
        drop(state);
        self.node.learn_instances(instances);
        self.node.learn_forecasts(local);
        for order in due {
            self.send(order);
        }
        for server in reports {
            self.ask(server);
        }
    }

    fn word(&self, state: &State, now: Instant) -> Word {
        let version = self.node.config().map_or(0, |config| config.version);
        Word {
            incarnation: self.node.incarnation,
            acts: state.lease.fencing(now).is_some(),
            instances: state.links.len() + 1,
            lease_end: state.lease.end().unwrap_or_default(),
            config_version: version,
            read_age: self.node.read_age(),
        }
    }

    fn is_busy(&self) -> bool {
        let state = self.lock();
        state.acting.is_some() && state.tracks.values().any(Track::is_busy)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic while it was held")
    }
}

/// Up to this many instances are told of each change of an engine at once. With more, only those at which
/// requests wait: some twenty changes a second to each of 125 would take all of a small instance's processor.
const PROMPT_LINKS: usize = 40;
/// Frames that may wait for one instance. One that doesn't read loses its link, and reads all anew.
const QUEUE: usize = 256;

impl State {
    /// The lease was won or lost.
    fn turn(&mut self, now: Instant, acting: Option<u64>) {
        self.acting = acting;
        self.tracks.clear();
        self.forecasts.clear();
        // Loads of the steward before may have begun a moment ago: the window starts as if it were half full.
        self.fetches.clear();
        self.fetches.extend(std::iter::repeat_n(now, plan::FETCHES));
        self.beat = None;
    }

    /// Takes in what the directory says of a group's engines.
    fn follow(&mut self, group: &SmolStr, engines: Vec<Server>) {
        self.tracks.retain(|id, track| {
            track.group != *group || engines.iter().any(|server| server.id == *id)
        });
        for server in engines {
            let fresh = || Track::new(group.clone(), server.clone());
            let track = self.tracks.entry(server.id.clone()).or_insert_with(fresh);
            track.follow(server);
        }
    }

    /// The orders that are due in a group, counted as sent.
    fn plan(
        &mut self,
        now: Instant,
        group: &SmolStr,
        engine: &Engine,
        fencing: u64,
        forecasts: &mut Vec<Forecast>,
    ) -> Vec<Due> {
        let ids: Vec<SmolStr> = self
            .tracks
            .iter()
            .filter(|(_, track)| track.group == *group)
            .map(|(id, _)| id.clone())
            .collect();
        let sites: Vec<plan::Site> = ids
            .iter()
            .map(|id| self.tracks[id].site(now, self.board.running(id)))
            .collect();
        let wants = self.board.wants(group);
        let models = engine.models.keys();
        let rates = models
            .map(|model| (model.clone(), self.board.rate(now, group, model)))
            .collect();
        let view = View {
            now,
            engine,
            sites: &sites,
            wants: &wants,
            rates: &rates,
            fetches: self.fetch_room(now, engine, &sites),
        };
        let expected = plan::forecast(&view).into_iter();
        forecasts.extend(expected.map(|(model, wait)| Forecast {
            group: group.clone(),
            model,
            wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
        }));
        log_delays(&view, &mut self.delays);
        let mut due = Vec::new();
        for step in plan::steps(&view) {
            let server = ids[step.site()].clone();
            if matches!(
                step,
                Step::Load {
                    tier: Tier::Store,
                    ..
                }
            ) {
                self.fetches.push_back(now);
            }
            let track = self
                .tracks
                .get_mut(&server)
                .expect("it is a site of this plan");
            track.sent(now);
            due.push(Due {
                server,
                fencing,
                step,
            });
        }
        due
    }

    /// Loads from the weight store that may run at once, by its rate.
    fn fetch_room(&mut self, now: Instant, engine: &Engine, sites: &[plan::Site]) -> usize {
        while self
            .fetches
            .front()
            .is_some_and(|at| now.since(*at) > STORE_WINDOW)
        {
            self.fetches.pop_front();
        }
        let allowed = engine.loads_per_second * STORE_WINDOW.as_secs_f64() * STORE_SHARE;
        let left = (allowed - self.fetches.len() as f64).max(0.0) as usize;
        let running = sites.iter().filter(|site| site.fetching).count();
        plan::FETCHES.min(running + left)
    }

    fn tell_forecasts(&mut self, now: Instant, forecasts: Vec<Forecast>) {
        let models = |list: &[Forecast]| {
            list.iter()
                .map(|forecast| forecast.model.clone())
                .collect::<Vec<_>>()
        };
        let changed = models(&forecasts) != models(&self.forecasts);
        if !changed && now.since(self.forecast) < FORECAST {
            return;
        }
        let empty = forecasts.is_empty() && self.forecasts.is_empty();
        self.forecasts = forecasts;
        self.forecast = now;
        if !empty {
            let frame = Frame::Forecast(self.forecasts.clone());
            self.broadcast(&frame);
        }
    }

    /// A beat at its time, and at once when there is a new configuration.
    fn beat(&mut self, now: Instant, word: &Word) {
        let due = self.beat.is_none_or(|beat| now.since(beat) >= BEAT);
        if !due && word.config_version == self.told_version {
            return;
        }
        self.beat = Some(now);
        self.told_version = word.config_version;
        self.tell_all_held();
        self.links.retain(|_, link| {
            let frame = word.frame(link.stamp_ms);
            link.sender.try_send(frame).is_ok()
        });
    }

    /// All that an instance with a new link must know.
    fn all(&self) -> Vec<Frame> {
        let mut frames = Vec::new();
        if !self.entries.is_empty() {
            frames.push(Frame::Directory(Changes {
                all: true,
                entries: self.entries.values().cloned().collect(),
                gone: Vec::new(),
            }));
        }
        let tracks = self.tracks.iter();
        let holdings = tracks.map(|(server, track)| track.holding(server));
        frames.push(Frame::Held(holdings.collect()));
        frames.push(Frame::Forecast(self.forecasts.clone()));
        frames
    }

    fn tell_directory(&mut self, entries: BTreeMap<SmolStr, Entry>) {
        let changes = Changes::between(&self.entries, &entries);
        self.entries = entries;
        if let Some(changes) = changes {
            self.broadcast(&Frame::Directory(changes));
        }
    }

    /// An engine has changed.
    fn tell_held(&mut self, server: &SmolStr) {
        for link in self.links.values_mut() {
            link.untold.insert(server.clone());
        }
    }

    /// Tells those at once for whom it may matter; all, if they are few.
    fn tell_waiting(&mut self) {
        let tracks = &self.tracks;
        let few = self.links.len() <= PROMPT_LINKS;
        self.links
            .retain(|_, link| !(few || link.waits) || link.tell(tracks));
    }

    fn tell_all_held(&mut self) {
        let tracks = &self.tracks;
        self.links.retain(|_, link| link.tell(tracks));
    }

    /// A link whose queue is full is dropped: its instance would go on with old news.
    fn broadcast(&mut self, frame: &Frame) {
        self.links
            .retain(|_, link| link.sender.try_send(frame.clone()).is_ok());
    }

    fn reports_due(&mut self, now: Instant) -> Vec<SmolStr> {
        let mut due = Vec::new();
        for (id, track) in &mut self.tracks {
            if track.needs_report(now) {
                track.asked(now);
                due.push(id.clone());
            }
        }
        due
    }
}

impl Link {
    /// Tells of the engines that have changed; whether the link still has room.
    fn tell(&mut self, tracks: &BTreeMap<SmolStr, Track>) -> bool {
        if self.untold.is_empty() {
            return true;
        }
        let changed = std::mem::take(&mut self.untold);
        let holdings = changed
            .iter()
            .filter_map(|server| Some(tracks.get(server)?.holding(server)));
        self.sender
            .try_send(Frame::Held(holdings.collect()))
            .is_ok()
    }
}

impl Word {
    fn frame(&self, stamp_ms: u64) -> Frame {
        Frame::Beat {
            incarnation: self.incarnation,
            acts: self.acts,
            instances: u32::try_from(self.instances).unwrap_or(u32::MAX),
            lease_end: self.lease_end,
            config_version: self.config_version,
            read_ms: u32::try_from(self.read_age.as_millis()).unwrap_or(u32::MAX),
            stamp_ms,
        }
    }
}

/// Logs what keeps callers waiting for long, once a second for each model.
fn log_delays(view: &View<'_>, logged: &mut BTreeMap<SmolStr, Instant>) {
    logged.retain(|_, at| view.now.since(*at) < DELAY_LOG);
    for want in view.wants.iter().filter(|want| want.adapter.is_none()) {
        let waited = view.now.since(want.since);
        if waited < LONG_WAIT || logged.contains_key(&want.model) {
            continue;
        }
        logged.insert(want.model.clone(), view.now);
        log::info!(
            model = want.model.as_str(), waiting = want.waiting,
            waited_ms = u64::try_from(waited.as_millis()).unwrap_or(u64::MAX),
            why = plan::obstacle(view, &want.model);
            "model waited for"
        );
    }
}

fn engines(config: &Config) -> impl Iterator<Item = (&SmolStr, &Engine)> {
    let groups = config.groups.iter();
    groups.filter_map(|(name, group)| Some((name, group.engine.as_ref()?)))
}
