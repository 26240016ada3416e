//! A simulated fleet: the real steward and the real ledger with scripted engines and a scripted store, in virtual time.
//!
//! Of the routers, only what the steward sees is simulated: their wants and their usage. A day therefore takes
//! seconds, and each policy gets the same requests and the same limits.

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
    trace::{Deployment, GROUP, Trace},
    world::{engine, store},
};

/// The time from an append until every instance has read it back.
const LOG_DELAY_MS: u64 = 3;
/// The delay of a message between two instances.
const NETWORK_DELAY_MS: u64 = 1;
/// The log's time at the start of a run, in Unix milliseconds.
const LOG_START_MS: u64 = 1_700_000_000_000;
const TICK_INTERVAL_MS: u64 = 500;
const TICKS_PER_REPORT: u64 = 2;
const WANT_REPEAT_INTERVAL_MS: u64 = 1_000;
/// The time until another instance takes over the group of a failed steward.
const TAKEOVER_DELAY_MS: u64 = 1_300;
const GONE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a lost backend server stays absent.
const SERVER_ABSENCE_MS: u64 = 120_000;

/// The fault that a run injects.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    None,
    /// The store runs at a third of its rate.
    SlowStore,
    /// In the middle of every third burst a backend server is lost, and the steward's instance with it.
    InstanceLoss,
}

impl Fault {
    pub fn title(self) -> &'static str {
        match self {
            Self::None => "nothing fails",
            Self::SlowStore => "the store at a third of its rate",
            Self::InstanceLoss => "instances lost in bursts",
        }
    }
}

/// The result of one request for its caller.
#[derive(Clone, Copy, Debug, Default)]
pub struct Call {
    pub cold: bool,
    /// The time from the arrival until the request was sent to an engine, in milliseconds; the deadline if it was
    /// refused.
    pub wait_ms: u64,
    pub refused: bool,
}

/// The result of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub calls: Vec<Call>,
    /// The memory held while nothing runs on it.
    pub idle_gb_hours: f64,
    /// All memory held.
    pub held_gb_hours: f64,
    pub loads: u64,
    pub remote_loads: u64,
    /// The number of records in the log.
    pub records: u64,
}

#[derive(Clone, Debug)]
enum Event {
    Arrive(usize),
    Fold(u64, record::Incarnation, Vec<record::Entry>),
    Order(u64, u32, SmolStr, order::Command),
    WorkDone(u64, u32, SmolStr, u64),
    Answer(u64, u32, order::Answer),
    SendWant(item::Item, usize),
    DispatchWaiting(item::Item),
    Served {
        call: usize,
        server: SmolStr,
        boot: u64,
    },
    Expire(usize),
    Tick(u64),
    LoseOrTakeOver,
    RestoreServer(SmolStr),
}

/// The waiting and running requests for one item at one router.
#[derive(Clone, Debug, Default)]
struct Queue {
    waiting: Vec<usize>,
    running: u32,
    finished: u32,
    reported_active: bool,
    want_scheduled: bool,
}

pub struct Fleet<'a> {
    deployment: &'a Deployment,
    trace: &'a Trace,
    policy: Option<placement::Policy>,
    now: u64,
    events: BTreeMap<(u64, u64), Event>,
    event_count: u64,
    ledger: ledger::Ledger,
    steward: Option<steward::Steward>,
    steward_id: record::Incarnation,
    sequence: u64,
    servers: BTreeMap<SmolStr, steward::Server>,
    engines: BTreeMap<SmolStr, engine::Engine>,
    store: store::Store,
    queues: BTreeMap<(item::Item, usize), Queue>,
    items: Vec<item::Item>,
    loads_ms: BTreeMap<SmolStr, u64>,
    memory_level: (u64, u64),
    memory_integral: (f64, f64),
    measured_at: u64,
    outcome: Outcome,
}

fn target(item: &item::Item) -> request::Target {
    request::Target::Model {
        model: item.model.clone(),
        adapter: item.adapter.clone(),
    }
}

pub fn parse_item(text: &str) -> item::Item {
    match text.split_once(':') {
        Some((model, adapter)) => item::Item::new(model, 1).with_adapter(adapter),
        None => item::Item::new(text, 1),
    }
}

/// Returns the store of a deployment. Checkpoints are spread unevenly: those of each model are on the disks of some
/// servers, and a few are in a server's memory.
pub fn store(deployment: &Deployment, slowness: f64, seed: u64) -> store::Store {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut store = store::Store::default();
    store.loads_per_second = deployment.store_loads_per_second;
    store.at_once = deployment.store_loads_at_once;
    store.adapters_at_once = 30;
    store.slowness = slowness;
    for model in &deployment.models {
        let base = item::Item::new(model.name.as_str(), 1);
        store.load_ms.insert(base.clone(), model.load_ms);
        for adapter in &model.adapters {
            let wait =
                rng.random_range(deployment.adapter_load_ms.0..=deployment.adapter_load_ms.1);
            store
                .load_ms
                .insert(base.clone().with_adapter(adapter.as_str()), wait);
        }
        // The checkpoints of some models are only in the store.
        let disk_ratio = [0.0, 0.1, 0.3, 0.6][rng.random_range(0..4)];
        for index in 0..deployment.servers {
            let source = match rng.random_range(0.0..1.0) {
                share if share < disk_ratio / 4.0 => placement::Source::Memory,
                share if share < disk_ratio => placement::Source::Disk,
                _ => continue,
            };
            let near = store.near.entry(server_address(index)).or_default();
            near.push(report::Checkpoint {
                item: base.clone(),
                source,
            });
        }
    }
    store
}

pub fn server_address(index: usize) -> SmolStr {
    format_smolstr!("10.0.0.{index:02}:80")
}

impl<'a> Fleet<'a> {
    /// Creates a fleet that has applied the document and has nothing loaded. Without `policy`, the cost-aware policy
    /// with `weight` decides.
    pub fn new(
        deployment: &'a Deployment,
        trace: &'a Trace,
        weight: f64,
        policy: Option<placement::Policy>,
        fault: Fault,
    ) -> Self {
        let slowness = if fault == Fault::SlowStore { 3.0 } else { 1.0 };
        let steward_id = record::Incarnation {
            instance: SmolStr::new_static("i00"),
            number: 1,
        };
        let models = deployment.models.iter();
        let loads_ms = models.map(|model| (SmolStr::new(&model.name), model.load_ms));
        let mut fleet = Self {
            deployment,
            trace,
            policy,
            now: 1_000,
            events: BTreeMap::new(),
            event_count: 0,
            ledger: ledger::Ledger::new(),
            steward: None,
            steward_id,
            sequence: 0,
            servers: BTreeMap::new(),
            engines: BTreeMap::new(),
            store: store(deployment, slowness, 7),
            queues: BTreeMap::new(),
            items: trace
                .arrivals
                .iter()
                .map(|arrival| parse_item(&arrival.target))
                .collect(),
            loads_ms: loads_ms.collect(),
            memory_level: (0, 0),
            memory_integral: (0.0, 0.0),
            measured_at: 1_000,
            outcome: Outcome::default(),
        };
        fleet.outcome.calls = vec![Call::default(); trace.arrivals.len()];
        fleet.publish(&deployment.document(weight));
        for index in 0..deployment.servers {
            fleet.add_server(server_address(index));
        }
        fleet.take_over();
        fleet.schedule_arrivals(fault);
        fleet
    }

    fn schedule_arrivals(&mut self, fault: Fault) {
        for (index, arrival) in self.trace.arrivals.iter().enumerate() {
            self.events
                .insert((arrival.at_ms + 2_000, index as u64), Event::Arrive(index));
        }
        self.event_count = self.trace.arrivals.len() as u64;
        self.schedule(TICK_INTERVAL_MS, Event::Tick(0));
        if fault == Fault::InstanceLoss {
            for burst in self.trace.bursts.iter().step_by(3) {
                self.events
                    .insert((burst + 4_000, u64::MAX), Event::LoseOrTakeOver);
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
            number: LOG_START_MS,
        };
        let entry = record::Entry::Publish {
            base: 0,
            text: text.into(),
        };
        let decisions = self.fold(1, by, vec![entry]);
        assert_eq!(
            decisions[0].1,
            ledger::Decision::Accepted,
            "the document was rejected"
        );
    }

    /// A new steward takes over the group in the next epoch.
    fn take_over(&mut self) {
        let epoch = self.ledger.steward(GROUP).map_or(0, |holder| holder.epoch) + 1;
        self.steward_id.number = LOG_START_MS + self.now;
        self.sequence = 1;
        let group = SmolStr::new_static(GROUP);
        let entry = record::Entry::Steward {
            group: group.clone(),
            epoch,
        };
        let decisions = self.fold(1, self.steward_id.clone(), vec![entry]);
        assert_eq!(
            decisions[0].1,
            ledger::Decision::Accepted,
            "the claim was rejected"
        );
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
            time_ms: LOG_START_MS + self.now,
            body: record.encode(),
        };
        let folded = self
            .ledger
            .fold(&stored)
            .expect("the record has the current format");
        folded.map_or_else(Vec::new, |folded| folded.entries)
    }

    fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.event_count += 1;
        self.events
            .insert((self.now + delay_ms, self.event_count), event);
    }

    /// Runs the trace to its end.
    pub fn run(mut self) -> Outcome {
        let end = self.trace.end_ms + 2_000;
        while let Some(((time, _), event)) = self.events.pop_first() {
            if time > end {
                break;
            }
            self.measure(time);
            self.now = time;
            let changes_level = self.changes_memory_level(&event);
            self.handle_event(event);
            if changes_level {
                self.memory_level = self.memory_levels();
            }
        }
        self.measure(end);
        const MB_MS_PER_GB_HOUR: f64 = 1024.0 * 3_600_000.0;
        self.outcome.held_gb_hours = self.memory_integral.0 / MB_MS_PER_GB_HOUR;
        self.outcome.idle_gb_hours = self.memory_integral.1 / MB_MS_PER_GB_HOUR;
        self.outcome.remote_loads = self.store.remote_loads;
        self.outcome.records = self.ledger.next();
        self.outcome
    }

    fn changes_memory_level(&self, event: &Event) -> bool {
        !matches!(
            event,
            Event::Answer(..) | Event::SendWant(..) | Event::Expire(_)
        )
    }

    fn measure(&mut self, until: u64) {
        let passed = (until - self.measured_at) as f64;
        self.memory_integral.0 += passed * self.memory_level.0 as f64;
        self.memory_integral.1 += passed * self.memory_level.1 as f64;
        self.measured_at = until;
    }

    /// Returns the memory held, and the part of it on which nothing runs, in MB.
    fn memory_levels(&self) -> (u64, u64) {
        let mut memory_level = (0, 0);
        for engine in self.engines.values() {
            for (item, placed) in &engine.loaded {
                let running = engine.running.get(&item.model).copied().unwrap_or(0);
                memory_level.0 += placed.memory_mb;
                memory_level.1 += if running == 0 { placed.memory_mb } else { 0 };
            }
        }
        memory_level
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Arrive(call) => self.handle_arrival(call),
            Event::Fold(sequence, by, entries) => self.handle_read_back(sequence, by, entries),
            Event::Order(epoch, attempt, server, command) => {
                self.handle_order(epoch, attempt, server, &command);
            }
            Event::WorkDone(epoch, attempt, server, work) => {
                self.handle_done(epoch, attempt, server, work);
            }
            Event::Answer(epoch, attempt, answer) => self.handle_answer(epoch, attempt, &answer),
            Event::SendWant(item, router) => self.send_want(&item, router),
            Event::DispatchWaiting(item) => self.dispatch_waiting(&item),
            Event::Served { call, server, boot } => self.handle_served(call, &server, boot),
            Event::Expire(call) => self.handle_deadline(call),
            Event::Tick(number) => self.handle_tick(number),
            Event::LoseOrTakeOver => self.lose_or_take_over(),
            Event::RestoreServer(server) => self.restore_server(&server),
        }
    }

    fn with_steward<F>(&mut self, update: F)
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
            absence_timeout: GONE_TIMEOUT,
        };
        let mut actions = Vec::new();
        update(steward, &view, &mut actions);
        let epoch = steward.epoch();
        self.apply_actions(epoch, actions);
    }

    fn step_steward(&mut self) {
        self.with_steward(steward::Steward::step);
    }

    fn apply_actions(&mut self, epoch: u64, actions: Vec<steward::Action>) {
        let mut entries = Vec::new();
        for action in actions {
            match action {
                steward::Action::Append(entry) => entries.push(entry),
                steward::Action::SendOrder {
                    attempt,
                    server,
                    command,
                } => self.schedule(
                    NETWORK_DELAY_MS,
                    Event::Order(epoch, attempt, server, command),
                ),
                steward::Action::SendFrame { frame, .. } => self.handle_frame(frame),
            }
        }
        if !entries.is_empty() {
            self.sequence += 1;
            let by = self.steward_id.clone();
            self.schedule(LOG_DELAY_MS, Event::Fold(self.sequence, by, entries));
        }
    }

    fn handle_frame(&mut self, frame: wire::Frame) {
        match frame {
            wire::Frame::Ready { item, .. } => {
                self.schedule(NETWORK_DELAY_MS, Event::DispatchWaiting(item));
            }
            wire::Frame::Busy { item, retry_ms, .. } => self.handle_busy(&item, retry_ms),
            other => panic!("unexpected frame from a steward: {other:?}"),
        }
    }

    /// Refuses the requests that cannot wait that long, as a router does.
    fn handle_busy(&mut self, item: &item::Item, retry_ms: u64) {
        let load = self.loads_ms.get(&item.model).copied().unwrap_or(0);
        let soonest = self.now + retry_ms + load + self.deployment.service_ms;
        for router in 0..self.deployment.routers {
            let Some(queue) = self.queues.get(&(item.clone(), router)) else {
                continue;
            };
            for call in queue.waiting.clone() {
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

    fn elapsed_ms(&self, call: usize) -> u64 {
        self.now - (self.trace.arrivals[call].at_ms + 2_000)
    }

    fn queue(&mut self, call: usize) -> &mut Queue {
        let key = (self.items[call].clone(), self.trace.arrivals[call].router);
        self.queues.entry(key).or_default()
    }

    /// Refuses a request. Its caller has waited in vain, so the wait counts as its whole deadline.
    fn refuse(&mut self, call: usize) {
        self.queue(call).waiting.retain(|waiting| *waiting != call);
        self.outcome.calls[call] = Call {
            cold: true,
            wait_ms: self.trace.arrivals[call].deadline_ms,
            refused: true,
        };
    }

    fn handle_deadline(&mut self, call: usize) {
        if self.queue(call).waiting.contains(&call) {
            self.refuse(call);
        }
    }

    fn handle_arrival(&mut self, call: usize) {
        if self.dispatch(call) {
            return;
        }
        self.outcome.calls[call].cold = true;
        let router = self.trace.arrivals[call].router;
        let expires_at = self
            .deadline(call)
            .saturating_sub(self.deployment.service_ms);
        self.schedule(expires_at.saturating_sub(self.now), Event::Expire(call));
        let queue = self.queue(call);
        queue.waiting.push(call);
        if !queue.want_scheduled {
            queue.want_scheduled = true;
            self.schedule(
                NETWORK_DELAY_MS,
                Event::SendWant(self.items[call].clone(), router),
            );
        }
    }

    /// Sends a request to an engine that has the item. Returns `false` if there is none.
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
        let holders: Vec<SmolStr> = usable.map(|(key, _)| key.server.clone()).collect();
        for server in holders {
            let known_server = self.servers.get(&server);
            let Some(engine) = self.engines.get_mut(&server) else {
                continue;
            };
            let is_absent = known_server.is_none_or(|known| known.absent_since.is_some());
            if is_absent || engine.begin(Some(&target(&item))).is_err() {
                continue;
            }
            let boot = engine.boot;
            self.queue(call).running += 1;
            let waited = self.elapsed_ms(call);
            self.outcome.calls[call].wait_ms = waited;
            let wait = NETWORK_DELAY_MS + self.deployment.service_ms;
            self.schedule(wait, Event::Served { call, server, boot });
            return true;
        }
        false
    }

    fn handle_served(&mut self, call: usize, server: &SmolStr, boot: u64) {
        let item = self.items[call].clone();
        self.queue(call).running -= 1;
        let engine = self.engines.get_mut(server);
        let is_same_boot = engine.is_some_and(|engine| {
            if engine.boot == boot {
                engine.end(Some(&target(&item)));
            }
            engine.boot == boot
        });
        if is_same_boot {
            self.queue(call).finished += 1;
        } else {
            self.handle_arrival(call);
        }
    }

    fn send_want(&mut self, item: &item::Item, router: usize) {
        let Some(queue) = self.queues.get_mut(&(item.clone(), router)) else {
            return;
        };
        let waiting = queue.waiting.clone();
        queue.want_scheduled = !waiting.is_empty();
        if waiting.is_empty() {
            return;
        }
        self.schedule(
            WANT_REPEAT_INTERVAL_MS,
            Event::SendWant(item.clone(), router),
        );
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

    fn dispatch_waiting(&mut self, item: &item::Item) {
        for router in 0..self.deployment.routers {
            let Some(queue) = self.queues.get(&(item.clone(), router)) else {
                continue;
            };
            for call in queue.waiting.clone() {
                if self.dispatch(call) {
                    self.queue(call).waiting.retain(|waiting| *waiting != call);
                }
            }
        }
    }

    fn handle_read_back(
        &mut self,
        sequence: u64,
        by: record::Incarnation,
        entries: Vec<record::Entry>,
    ) {
        let is_own = by == self.steward_id;
        let decisions = self.fold(sequence, by, entries);
        let now = clock::Instant(self.now);
        let steward = self.steward.as_mut().filter(|_| is_own);
        if let Some(steward) = steward {
            for (entry, _) in &decisions {
                steward.handle_decision(now, entry);
            }
        }
        self.step_steward();
    }

    fn handle_order(
        &mut self,
        epoch: u64,
        attempt: u32,
        server: SmolStr,
        command: &order::Command,
    ) {
        let known_server = self.servers.get(&server);
        let is_absent = known_server.is_none_or(|server| server.absent_since.is_some());
        let Some(engine) = self.engines.get_mut(&server).filter(|_| !is_absent) else {
            return self.schedule(
                NETWORK_DELAY_MS,
                Event::Answer(epoch, attempt, order::Answer::Unsent),
            );
        };
        if engine.begins_load(command) {
            engine.load_ms = self.store.start(self.now, &server, &command.item);
            self.outcome.loads += u64::from(command.item.adapter.is_none());
        }
        match engine.take(command, 1.0) {
            engine::OrderResult::Now(answer) => {
                self.schedule(NETWORK_DELAY_MS, Event::Answer(epoch, attempt, answer));
            }
            engine::OrderResult::InProgress { work, wait_ms } => {
                self.schedule(wait_ms, Event::WorkDone(epoch, attempt, server, work));
            }
        }
    }

    fn handle_done(&mut self, epoch: u64, attempt: u32, server: SmolStr, work: u64) {
        let Some(engine) = self.engines.get_mut(&server) else {
            return;
        };
        match engine.finish(work) {
            engine::Finish::Answer(answer) => {
                self.schedule(NETWORK_DELAY_MS, Event::Answer(epoch, attempt, answer));
            }
            engine::Finish::Later => {
                self.schedule(20, Event::WorkDone(epoch, attempt, server, work));
            }
        }
    }

    fn handle_answer(&mut self, epoch: u64, attempt: u32, answer: &order::Answer) {
        let current = self.steward.as_ref();
        if current.is_some_and(|steward| steward.epoch() == epoch) {
            self.with_steward(|steward, view, actions| {
                steward.handle_answer(view, attempt, answer, actions);
            });
        }
    }

    fn handle_tick(&mut self, number: u64) {
        if number.is_multiple_of(TICKS_PER_REPORT) {
            self.collect_reports();
        }
        for router in 0..self.deployment.routers {
            self.send_usage(router);
        }
        self.step_steward();
        // Routers also learn from the log which items are loaded.
        let waiting = self.queues.iter();
        let waiting = waiting.filter(|(_, queue)| !queue.waiting.is_empty());
        let items: BTreeSet<item::Item> = waiting.map(|((item, _), _)| item.clone()).collect();
        for item in items {
            self.dispatch_waiting(&item);
        }
        self.schedule(TICK_INTERVAL_MS, Event::Tick(number + 1));
    }

    fn collect_reports(&mut self) {
        for (address, server) in &mut self.servers {
            if server.absent_since.is_none() {
                let report = self.engines[address].report(self.now);
                server.report = Some((clock::Instant(self.now), report));
            }
        }
    }

    fn send_usage(&mut self, router: usize) {
        let mut usages: BTreeMap<item::Item, (wire::Usage, bool)> = BTreeMap::new();
        for ((item, queue_router), queue) in &mut self.queues {
            let is_quiet = queue.running == 0 && queue.finished == 0 && queue.waiting.is_empty();
            if *queue_router != router || is_quiet && !queue.reported_active {
                continue;
            }
            let active = queue.running + queue.waiting.len() as u32;
            let finished = std::mem::take(&mut queue.finished);
            let changed = queue.reported_active != (active > 0);
            queue.reported_active = active > 0;
            let items = [
                Some(item.clone()),
                item.adapter.is_some().then(|| item.base()),
            ];
            for item in items.into_iter().flatten() {
                let (usage, is_due) = usages.entry(item.clone()).or_insert((
                    wire::Usage {
                        item,
                        finished: 0,
                        active: 0,
                    },
                    false,
                ));
                usage.finished += finished;
                usage.active += active;
                *is_due |= changed || finished > 0 || active > 0;
            }
        }
        let usages = usages.into_values().filter(|(_, is_due)| *is_due);
        let usages: Vec<wire::Usage> = usages.map(|(usage, _)| usage).collect();
        let from = format_smolstr!("r{router}");
        let now = clock::Instant(self.now);
        if let Some(steward) = &mut self.steward {
            steward.handle_usage(now, &from, &usages);
        }
    }

    /// Removes the backend server with the most memory in use and the steward's instance, and schedules the next call.
    /// In that call there is no steward, and another instance takes over.
    fn lose_or_take_over(&mut self) {
        if self.steward.is_none() {
            return self.take_over();
        }
        self.steward = None;
        self.schedule(TAKEOVER_DELAY_MS, Event::LoseOrTakeOver);
        let present = self.engines.iter().filter(|(address, _)| {
            let server = self.servers.get(*address);
            server.is_some_and(|server| server.absent_since.is_none())
        });
        let most_loaded = present.max_by_key(|(_, engine)| engine.memory_mb());
        let Some(address) = most_loaded.map(|(address, _)| address.clone()) else {
            return;
        };
        if let Some(engine) = self.engines.get_mut(&address) {
            engine.restart();
        }
        if let Some(server) = self.servers.get_mut(&address) {
            server.absent_since = Some(clock::Instant(self.now));
            server.absent_offset = self.ledger.next();
        }
        self.schedule(SERVER_ABSENCE_MS, Event::RestoreServer(address));
    }

    fn restore_server(&mut self, address: &SmolStr) {
        if let Some(server) = self.servers.get_mut(address) {
            server.absent_since = None;
        }
    }
}
