//! The real steward and the real ledger before scripted engines and the scripted store, in virtual time.
//!
//! Routers are reduced to what the steward sees of them: wants, and what they use. So a day passes in
//! seconds, and each policy meets the same requests and the same limits.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use fireflywheel::{
    clock, item, ledger, order, placement, record, report, request, right, steward, wire,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use smol_str::{SmolStr, format_smolstr};

use crate::{
    trace::{GROUP, Site, Trace},
    world::{engine, store},
};

/// From an append until every instance has read it back.
const READ_BACK_MS: u64 = 3;
const HOP_MS: u64 = 1;
/// The log's unix milliseconds at the start.
const LOG_EPOCH_MS: u64 = 1_700_000_000_000;
const TICK_MS: u64 = 500;
const REPORT_TICKS: u64 = 2;
const REPEAT_MS: u64 = 1_000;
/// Until another instance has taken the group of one that died.
const TAKEOVER_MS: u64 = 1_300;
const GONE_AFTER: Duration = Duration::from_secs(2);
/// How long the lost backend server stays away.
const AWAY_MS: u64 = 120_000;

/// What goes wrong in a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    None,
    /// The store has a third of its rate.
    SlowStore,
    /// In the middle of each third burst a backend server is lost, and with it the steward's instance.
    Lost,
}

impl Fault {
    pub fn title(self) -> &'static str {
        match self {
            Self::None => "nothing fails",
            Self::SlowStore => "the store at a third of its rate",
            Self::Lost => "instances lost in bursts",
        }
    }
}

/// One request as its caller saw it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Call {
    pub cold: bool,
    /// From its arrival until it was sent to an engine, or refused.
    pub wait_ms: u64,
    pub refused: bool,
}

/// What a run came to.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub calls: Vec<Call>,
    /// Memory held with nothing running, and all memory held.
    pub idle_gb_hours: f64,
    pub held_gb_hours: f64,
    pub loads: u64,
    pub remote_loads: u64,
    /// What the log took.
    pub records: u64,
}

#[derive(Clone, Debug)]
enum Step {
    Arrive(usize),
    Fold(u64, record::Incarnation, Vec<record::Entry>),
    Order(u64, u32, SmolStr, order::Command),
    Done(u64, u32, SmolStr, u64),
    Answer(u64, u32, order::Answer),
    Want(item::Item, usize),
    Flush(item::Item),
    Served {
        call: usize,
        server: SmolStr,
        boot: u64,
    },
    Late(usize),
    Tick(u64),
    TakeOver,
    Return(SmolStr),
}

/// What waits and runs of one item at one router.
#[derive(Clone, Debug, Default)]
struct Lane {
    waiting: Vec<usize>,
    running: u32,
    finished: u32,
    told: bool,
    wanted: bool,
}

pub struct Fleet<'a> {
    site: &'a Site,
    trace: &'a Trace,
    policy: Option<placement::Policy>,
    now: u64,
    steps: BTreeMap<(u64, u64), Step>,
    count: u64,
    ledger: ledger::Ledger,
    steward: Option<steward::Steward>,
    me: record::Incarnation,
    sequence: u64,
    servers: BTreeMap<SmolStr, steward::Server>,
    engines: BTreeMap<SmolStr, engine::Engine>,
    store: store::Store,
    lanes: BTreeMap<(item::Item, usize), Lane>,
    items: Vec<item::Item>,
    loads_ms: BTreeMap<SmolStr, u64>,
    level: (u64, u64),
    integral: (f64, f64),
    measured_at: u64,
    out: Outcome,
}

fn target(item: &item::Item) -> request::Target {
    request::Target::Model {
        model: item.model.clone(),
        adapter: item.adapter.clone(),
    }
}

pub fn parse(text: &str) -> item::Item {
    match text.split_once(':') {
        Some((model, adapter)) => item::Item::new(model, 1).with_adapter(adapter),
        None => item::Item::new(text, 1),
    }
}

/// The store of a site with checkpoints that lie unevenly: of each model on some servers' disks, of a few
/// in a server's memory.
pub fn store(site: &Site, slowness: f64, seed: u64) -> store::Store {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut store = store::Store::default();
    store.loads_per_second = site.store_per_second;
    store.at_once = site.store_at_once;
    store.adapters_at_once = 30;
    store.slowness = slowness;
    for model in &site.models {
        let base = item::Item::new(model.name.as_str(), 1);
        store.load_ms.insert(base.clone(), model.load_ms);
        for adapter in &model.adapters {
            let wait = rng.random_range(site.adapter_ms.0..=site.adapter_ms.1);
            store
                .load_ms
                .insert(base.clone().with_adapter(adapter.as_str()), wait);
        }
        // Some models lie on no disk but the store's.
        let spread = [0.0, 0.1, 0.3, 0.6][rng.random_range(0..4)];
        for place in 0..site.workers {
            let source = match rng.random_range(0.0..1.0) {
                share if share < spread / 4.0 => placement::Source::Memory,
                share if share < spread => placement::Source::Disk,
                _ => continue,
            };
            let near = store.near.entry(address(place)).or_default();
            near.push(report::Checkpoint {
                item: base.clone(),
                source,
            });
        }
    }
    store
}

pub fn address(place: usize) -> SmolStr {
    format_smolstr!("10.0.0.{place:02}:80")
}

impl<'a> Fleet<'a> {
    /// A fleet with the document in force and nothing loaded. Without `policy`, ours at `weight` decides.
    pub fn new(
        site: &'a Site,
        trace: &'a Trace,
        weight: f64,
        policy: Option<placement::Policy>,
        fault: Fault,
    ) -> Self {
        let slowness = if fault == Fault::SlowStore { 3.0 } else { 1.0 };
        let me = record::Incarnation {
            instance: SmolStr::new_static("i00"),
            number: 1,
        };
        let models = site.models.iter();
        let loads_ms = models.map(|model| (SmolStr::new(&model.name), model.load_ms));
        let mut fleet = Self {
            site,
            trace,
            policy,
            now: 1_000,
            steps: BTreeMap::new(),
            count: 0,
            ledger: ledger::Ledger::new(),
            steward: None,
            me,
            sequence: 0,
            servers: BTreeMap::new(),
            engines: BTreeMap::new(),
            store: store(site, slowness, 7),
            lanes: BTreeMap::new(),
            items: trace
                .arrivals
                .iter()
                .map(|arrival| parse(&arrival.target))
                .collect(),
            loads_ms: loads_ms.collect(),
            level: (0, 0),
            integral: (0.0, 0.0),
            measured_at: 1_000,
            out: Outcome::default(),
        };
        fleet.out.calls = vec![Call::default(); trace.arrivals.len()];
        fleet.publish(&site.document(weight));
        for place in 0..site.workers {
            fleet.add_server(address(place));
        }
        fleet.take_over();
        fleet.plan_arrivals(fault);
        fleet
    }

    fn plan_arrivals(&mut self, fault: Fault) {
        for (place, arrival) in self.trace.arrivals.iter().enumerate() {
            self.steps
                .insert((arrival.at_ms + 2_000, place as u64), Step::Arrive(place));
        }
        self.count = self.trace.arrivals.len() as u64;
        self.at(TICK_MS, Step::Tick(0));
        if fault == Fault::Lost {
            for burst in self.trace.bursts.iter().step_by(3) {
                self.steps.insert((burst + 4_000, u64::MAX), Step::TakeOver);
            }
        }
    }

    fn add_server(&mut self, address: SmolStr) {
        let mut engine = engine::Engine::new(true);
        engine.checkpoints = self.store.near.get(&address).cloned().unwrap_or_default();
        let server = steward::Server {
            failure_domain: SmolStr::new_static("fd1"),
            report: Some((clock::Instant(self.now), engine.report(self.now))),
            ..steward::Server::default()
        };
        self.engines.insert(address.clone(), engine);
        self.servers.insert(address, server);
    }

    fn publish(&mut self, text: &str) {
        let by = record::Incarnation {
            instance: SmolStr::new_static("operator/1"),
            number: LOG_EPOCH_MS,
        };
        let entry = record::Entry::Publish {
            base: 0,
            text: text.into(),
        };
        let judged = self.fold(1, by, vec![entry]);
        assert_eq!(judged[0].1, ledger::Decision::Accepted, "the document");
    }

    /// This process takes the group in the next epoch.
    fn take_over(&mut self) {
        let epoch = self.ledger.steward(GROUP).map_or(0, |holder| holder.epoch) + 1;
        self.me.number = LOG_EPOCH_MS + self.now;
        self.sequence = 1;
        let group = SmolStr::new_static(GROUP);
        let entry = record::Entry::Steward {
            group: group.clone(),
            epoch,
        };
        let judged = self.fold(1, self.me.clone(), vec![entry]);
        assert_eq!(judged[0].1, ledger::Decision::Accepted, "the claim");
        let mut steward = steward::Steward::new(clock::Instant(self.now), group, epoch);
        if let Some(policy) = self.policy {
            steward = steward.with_policy(policy);
        }
        self.steward = Some(steward);
    }

    fn fold(
        &mut self,
        sequence: u64,
        by: record::Incarnation,
        entries: Vec<record::Entry>,
    ) -> Vec<(record::Entry, ledger::Decision)> {
        let record = record::Record {
            rule: record::RULES_VERSION,
            id: record::Id { by, sequence },
            entries,
        };
        let stored = record::Stored {
            offset: self.ledger.next(),
            time_ms: LOG_EPOCH_MS + self.now,
            body: record.encode(),
        };
        let folded = self.ledger.fold(&stored).expect("a record of this build");
        folded.map_or_else(Vec::new, |folded| folded.entries)
    }

    fn at(&mut self, wait: u64, step: Step) {
        self.count += 1;
        self.steps.insert((self.now + wait, self.count), step);
    }

    /// Runs the trace to its end.
    pub fn run(mut self) -> Outcome {
        let end = self.trace.end_ms + 2_000;
        while let Some(((time, _), step)) = self.steps.pop_first() {
            if time > end {
                break;
            }
            self.measure(time);
            self.now = time;
            let before = self.level_changes(&step);
            self.carry(step);
            if before {
                self.level = self.levels();
            }
        }
        self.measure(end);
        const MB_MS: f64 = 1024.0 * 3_600_000.0;
        self.out.held_gb_hours = self.integral.0 / MB_MS;
        self.out.idle_gb_hours = self.integral.1 / MB_MS;
        self.out.remote_loads = self.store.remote_loads;
        self.out.records = self.ledger.next();
        self.out
    }

    fn level_changes(&self, step: &Step) -> bool {
        !matches!(step, Step::Answer(..) | Step::Want(..) | Step::Late(_))
    }

    fn measure(&mut self, until: u64) {
        let passed = (until - self.measured_at) as f64;
        self.integral.0 += passed * self.level.0 as f64;
        self.integral.1 += passed * self.level.1 as f64;
        self.measured_at = until;
    }

    /// Megabytes held, and those of them with nothing running.
    fn levels(&self) -> (u64, u64) {
        let mut level = (0, 0);
        for engine in self.engines.values() {
            for (item, placed) in &engine.loaded {
                let running = engine.running.get(&item.model).copied().unwrap_or(0);
                level.0 += placed.memory_mb;
                level.1 += if running == 0 { placed.memory_mb } else { 0 };
            }
        }
        level
    }

    fn carry(&mut self, step: Step) {
        match step {
            Step::Arrive(call) => self.arrive(call),
            Step::Fold(sequence, by, entries) => self.read_back(sequence, by, entries),
            Step::Order(epoch, sending, server, command) => {
                self.order(epoch, sending, server, &command);
            }
            Step::Done(epoch, sending, server, work) => self.done(epoch, sending, server, work),
            Step::Answer(epoch, sending, answer) => self.answer(epoch, sending, &answer),
            Step::Want(item, router) => self.want(&item, router),
            Step::Flush(item) => self.flush(&item),
            Step::Served { call, server, boot } => self.served(call, &server, boot),
            Step::Late(call) => self.late(call),
            Step::Tick(number) => self.tick(number),
            Step::TakeOver => self.lose(),
            Step::Return(server) => self.come_back(&server),
        }
    }

    fn with_steward<F>(&mut self, act: F)
    where
        F: FnOnce(&mut steward::Steward, &steward::View<'_>, &mut Vec<steward::Action>),
    {
        let Some(steward) = &mut self.steward else {
            return;
        };
        let view = steward::View {
            now: clock::Instant(self.now),
            ledger: &self.ledger,
            servers: &self.servers,
            log_readable: true,
            gone_after: GONE_AFTER,
        };
        let mut actions = Vec::new();
        act(steward, &view, &mut actions);
        let epoch = steward.epoch();
        self.act(epoch, actions);
    }

    fn drive(&mut self) {
        self.with_steward(steward::Steward::step);
    }

    fn act(&mut self, epoch: u64, actions: Vec<steward::Action>) {
        let mut entries = Vec::new();
        for action in actions {
            match action {
                steward::Action::Append(entry) => entries.push(entry),
                steward::Action::SendOrder {
                    sending,
                    server,
                    command,
                } => self.at(HOP_MS, Step::Order(epoch, sending, server, command)),
                steward::Action::SendFrame { frame, .. } => self.hear(frame),
            }
        }
        if !entries.is_empty() {
            self.sequence += 1;
            let by = self.me.clone();
            self.at(READ_BACK_MS, Step::Fold(self.sequence, by, entries));
        }
    }

    fn hear(&mut self, frame: wire::Frame) {
        match frame {
            wire::Frame::Ready { item, .. } => self.at(HOP_MS, Step::Flush(item)),
            wire::Frame::Busy { item, retry_ms, .. } => self.busy(&item, retry_ms),
            other => panic!("a steward doesn't send {other:?}"),
        }
    }

    /// Those who can't wait that long are refused at once, as a router does.
    fn busy(&mut self, item: &item::Item, retry_ms: u64) {
        let load = self.loads_ms.get(&item.model).copied().unwrap_or(0);
        let soonest = self.now + retry_ms + load + self.site.service_ms;
        for router in 0..self.site.routers {
            let Some(lane) = self.lanes.get(&(item.clone(), router)) else {
                continue;
            };
            for call in lane.waiting.clone() {
                if self.deadline(call) < soonest {
                    self.refuse(call);
                }
            }
        }
    }

    fn deadline(&self, call: usize) -> u64 {
        let arrival = &self.trace.arrivals[call];
        arrival.at_ms + 2_000 + arrival.deadline_ms
    }

    fn waited(&self, call: usize) -> u64 {
        self.now - (self.trace.arrivals[call].at_ms + 2_000)
    }

    fn lane(&mut self, call: usize) -> &mut Lane {
        let key = (self.items[call].clone(), self.trace.arrivals[call].router);
        self.lanes.entry(key).or_default()
    }

    /// A refused caller has waited in vain: its wait counts as its whole deadline.
    fn refuse(&mut self, call: usize) {
        self.lane(call).waiting.retain(|waiting| *waiting != call);
        self.out.calls[call] = Call {
            cold: true,
            wait_ms: self.trace.arrivals[call].deadline_ms,
            refused: true,
        };
    }

    fn late(&mut self, call: usize) {
        if self.lane(call).waiting.contains(&call) {
            self.refuse(call);
        }
    }

    fn arrive(&mut self, call: usize) {
        if self.dispatch(call) {
            return;
        }
        self.out.calls[call].cold = true;
        let router = self.trace.arrivals[call].router;
        let late = self.deadline(call).saturating_sub(self.site.service_ms);
        self.at(late.saturating_sub(self.now), Step::Late(call));
        let lane = self.lane(call);
        lane.waiting.push(call);
        if !lane.wanted {
            lane.wanted = true;
            self.at(HOP_MS, Step::Want(self.items[call].clone(), router));
        }
    }

    /// Sends a request to an engine that has its item, if there is one.
    fn dispatch(&mut self, call: usize) -> bool {
        let item = self.items[call].clone();
        let rights = self.ledger.rights().iter();
        let usable = rights.filter(|(key, right)| {
            key.item == item
                && matches!(
                    right.state,
                    right::State::Loaded | right::State::Loading { .. }
                )
        });
        let hosts: Vec<SmolStr> = usable.map(|(key, _)| key.server.clone()).collect();
        for server in hosts {
            let listed = self.servers.get(&server);
            let Some(engine) = self.engines.get_mut(&server) else {
                continue;
            };
            let gone = listed.is_none_or(|listed| listed.absent_since.is_some());
            if gone || engine.begin(Some(&target(&item))).is_err() {
                continue;
            }
            let boot = engine.boot;
            self.lane(call).running += 1;
            let waited = self.waited(call);
            self.out.calls[call].wait_ms = waited;
            let wait = HOP_MS + self.site.service_ms;
            self.at(wait, Step::Served { call, server, boot });
            return true;
        }
        false
    }

    fn served(&mut self, call: usize, server: &SmolStr, boot: u64) {
        let item = self.items[call].clone();
        self.lane(call).running -= 1;
        let engine = self.engines.get_mut(server);
        let up = engine.is_some_and(|engine| {
            if engine.boot == boot {
                engine.end(Some(&target(&item)));
            }
            engine.boot == boot
        });
        if up {
            self.lane(call).finished += 1;
        } else {
            self.arrive(call);
        }
    }

    fn want(&mut self, item: &item::Item, router: usize) {
        let Some(lane) = self.lanes.get_mut(&(item.clone(), router)) else {
            return;
        };
        let waiting = lane.waiting.clone();
        lane.wanted = !waiting.is_empty();
        if waiting.is_empty() {
            return;
        }
        self.at(REPEAT_MS, Step::Want(item.clone(), router));
        let first = waiting.iter().map(|call| self.deadline(*call)).min();
        let left = first.unwrap_or(self.now).saturating_sub(self.now);
        let want = wire::Want {
            group: SmolStr::new_static(GROUP),
            item: item.clone(),
            waiting: waiting.len() as u32,
            left_ms: left,
        };
        let from = format_smolstr!("r{router}");
        self.with_steward(|steward, view, actions| {
            steward.handle_want(view.now, &from, &want);
            steward.step(view, actions);
        });
    }

    fn flush(&mut self, item: &item::Item) {
        for router in 0..self.site.routers {
            let Some(lane) = self.lanes.get(&(item.clone(), router)) else {
                continue;
            };
            for call in lane.waiting.clone() {
                if self.dispatch(call) {
                    self.lane(call).waiting.retain(|waiting| *waiting != call);
                }
            }
        }
    }

    fn read_back(&mut self, sequence: u64, by: record::Incarnation, entries: Vec<record::Entry>) {
        let mine = by == self.me;
        let judged = self.fold(sequence, by, entries);
        let now = clock::Instant(self.now);
        let steward = self.steward.as_mut().filter(|_| mine);
        if let Some(steward) = steward {
            for (entry, _) in &judged {
                steward.handle_decision(now, entry);
            }
        }
        self.drive();
    }

    fn order(&mut self, epoch: u64, sending: u32, server: SmolStr, command: &order::Command) {
        let away = self.servers.get(&server);
        let away = away.is_none_or(|server| server.absent_since.is_some());
        let Some(engine) = self.engines.get_mut(&server).filter(|_| !away) else {
            return self.at(HOP_MS, Step::Answer(epoch, sending, order::Answer::Unsent));
        };
        if engine.begins_load(command) {
            engine.load_ms = self.store.start(self.now, &server, &command.item);
            self.out.loads += u64::from(command.item.adapter.is_none());
        }
        match engine.take(command, 1.0) {
            engine::Taken::Now(answer) => self.at(HOP_MS, Step::Answer(epoch, sending, answer)),
            engine::Taken::Work { work, wait_ms } => {
                self.at(wait_ms, Step::Done(epoch, sending, server, work));
            }
        }
    }

    fn done(&mut self, epoch: u64, sending: u32, server: SmolStr, work: u64) {
        let Some(engine) = self.engines.get_mut(&server) else {
            return;
        };
        match engine.finish(work) {
            engine::Finish::Answer(answer) => {
                self.at(HOP_MS, Step::Answer(epoch, sending, answer));
            }
            engine::Finish::Later => self.at(20, Step::Done(epoch, sending, server, work)),
        }
    }

    fn answer(&mut self, epoch: u64, sending: u32, answer: &order::Answer) {
        let held = self.steward.as_ref();
        if held.is_some_and(|steward| steward.epoch() == epoch) {
            self.with_steward(|steward, view, actions| {
                steward.answered(view, sending, answer, actions);
            });
        }
    }

    fn tick(&mut self, number: u64) {
        if number.is_multiple_of(REPORT_TICKS) {
            self.report();
        }
        for router in 0..self.site.routers {
            self.tell_usage(router);
        }
        self.drive();
        // Routers also learn from the log what is loaded.
        let waiting = self.lanes.iter();
        let waiting = waiting.filter(|(_, lane)| !lane.waiting.is_empty());
        let items: BTreeSet<item::Item> = waiting.map(|((item, _), _)| item.clone()).collect();
        for item in items {
            self.flush(&item);
        }
        self.at(TICK_MS, Step::Tick(number + 1));
    }

    fn report(&mut self) {
        for (address, server) in &mut self.servers {
            if server.absent_since.is_none() {
                let report = self.engines[address].report(self.now);
                server.report = Some((clock::Instant(self.now), report));
            }
        }
    }

    fn tell_usage(&mut self, router: usize) {
        let mut usages: BTreeMap<item::Item, (wire::Usage, bool)> = BTreeMap::new();
        for ((item, at), lane) in &mut self.lanes {
            let quiet = lane.running == 0 && lane.finished == 0 && lane.waiting.is_empty();
            if *at != router || quiet && !lane.told {
                continue;
            }
            let active = lane.running + lane.waiting.len() as u32;
            let finished = std::mem::take(&mut lane.finished);
            let changed = lane.told != (active > 0);
            lane.told = active > 0;
            let items = [
                Some(item.clone()),
                item.adapter.is_some().then(|| item.base()),
            ];
            for item in items.into_iter().flatten() {
                let (usage, told) = usages.entry(item.clone()).or_insert((
                    wire::Usage {
                        item,
                        finished: 0,
                        active: 0,
                    },
                    false,
                ));
                usage.finished += finished;
                usage.active += active;
                *told |= changed || finished > 0 || active > 0;
            }
        }
        let usages = usages.into_values().filter(|(_, told)| *told);
        let usages: Vec<wire::Usage> = usages.map(|(usage, _)| usage).collect();
        let from = format_smolstr!("r{router}");
        let now = clock::Instant(self.now);
        if let Some(steward) = &mut self.steward {
            steward.handle_usage(now, &from, &usages);
        }
    }

    /// The backend server with most loaded is reclaimed; the steward's instance dies with it, and another
    /// takes over. A later call brings the takeover.
    fn lose(&mut self) {
        if self.steward.is_none() {
            return self.take_over();
        }
        self.steward = None;
        self.at(TAKEOVER_MS, Step::TakeOver);
        let listed = self.engines.iter().filter(|(address, _)| {
            let server = self.servers.get(*address);
            server.is_some_and(|server| server.absent_since.is_none())
        });
        let fullest = listed.max_by_key(|(_, engine)| engine.memory_mb());
        let Some(address) = fullest.map(|(address, _)| address.clone()) else {
            return;
        };
        if let Some(engine) = self.engines.get_mut(&address) {
            engine.restart();
        }
        if let Some(server) = self.servers.get_mut(&address) {
            server.absent_since = Some(clock::Instant(self.now));
            server.absent_offset = self.ledger.next();
        }
        self.at(AWAY_MS, Step::Return(address));
    }

    fn come_back(&mut self, address: &SmolStr) {
        if let Some(server) = self.servers.get_mut(address) {
            server.absent_since = None;
        }
    }
}
