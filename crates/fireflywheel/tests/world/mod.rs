//! A few nodes of the core with scripted fakes at their interfaces, in virtual time.
//!
//! Nothing here decides: a log, engines and links that carry out the nodes' effects after fixed delays, with
//! switches for the failures that tests are about. All order and chance comes from one seed.
#![allow(dead_code, missing_docs, reason = "each test file uses a part")]

pub mod engine;
pub mod log;
pub mod store;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
};

use fireflywheel::{
    claim, clock, effect, event, item, member, node, order, record, report, request, verdict, wire,
    writer,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use smol_str::{SmolStr, format_smolstr};

/// One way between any two, in milliseconds.
pub const HOP_MS: u64 = 1;
const TICK_MS: u64 = 10;
const REPORT_MS: u64 = 250;
const LIST_MS: u64 = 500;
const POLL_RETRY_MS: u64 = 100;

/// What happens at some later time.
#[derive(Clone, Debug)]
enum Step {
    Tick(usize, u64),
    Event(usize, u64, Box<event::Event>),
    Poll(usize, u64),
    Append(usize, u64, String),
    Order {
        node: usize,
        life: u64,
        attempt_id: order::AttemptId,
        server: SmolStr,
        command: order::Command,
    },
    OrderDone {
        node: usize,
        life: u64,
        attempt_id: order::AttemptId,
        server: SmolStr,
        work: u64,
    },
    Served {
        node: usize,
        life: u64,
        request: request::Key,
        server: SmolStr,
        boot: u64,
    },
    Reports,
    List,
}

/// One instance's place; its process may be replaced.
pub struct Seat {
    pub name: SmolStr,
    pub node: Option<node::Node>,
    /// Rises with each process in this place.
    pub life: u64,
    pub paused: bool,
    /// Pause at the next order that the node wants to send, before it leaves.
    pub pause_at_order: bool,
    pub exited: bool,
    /// Neither peers nor the log can be reached.
    pub cut_peers: bool,
    pub cut_log: bool,
    inbox: Vec<event::Event>,
    held: Vec<effect::Effect>,
    reader: Option<u64>,
    polling: bool,
    watched: Vec<SmolStr>,
    links: BTreeSet<SmolStr>,
    open: BTreeMap<request::Key, (usize, SmolStr)>,
}

/// The end of one request.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    Served,
    Refused(request::Refusal),
    Replayed(claim::Outcome),
    /// Its process died.
    Lost,
}

/// One request as its caller saw it.
#[derive(Clone, Debug)]
pub struct Call {
    pub arrived: u64,
    pub deadline: u64,
    pub ended: Option<(u64, End)>,
}

pub struct World {
    pub now: u64,
    pub seats: Vec<Seat>,
    pub log: log::Log,
    pub engines: BTreeMap<SmolStr, engine::Engine>,
    pub calls: Vec<Call>,
    pub rng: StdRng,
    /// The list's entries for backend servers.
    pub listed: BTreeMap<SmolStr, report::ListEntry>,
    /// Share of order answers that are lost after the effect.
    pub lose_order_answers: f64,
    /// Share of orders that are held up, and for how long at most.
    pub delay_orders: (f64, u64),
    /// Loads take this many times as long: a slow store.
    pub store_slowness: f64,
    /// Gives each load its time, when there is one.
    pub store: Option<store::Store>,
    pub loads: u64,
    pub service_ms: u64,
    pub notices: Vec<String>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    steps: BTreeMap<u64, Step>,
    count: u64,
    timing: node::Timing,
}

/// Times that suit short runs.
pub fn timing() -> node::Timing {
    use std::time::Duration;
    node::Timing {
        ping_interval: Duration::from_millis(100),
        suspect_timeout: Duration::from_millis(300),
        dead_timeout: Duration::from_millis(300),
        drain_delay: Duration::from_millis(100),
        drain_limit: Duration::from_secs(20),
        gone_after: Duration::from_secs(2),
        checkpoint_records: 200,
        checkpoint_interval: Duration::from_secs(20),
    }
}

impl World {
    pub fn new(seed: u64, nodes: usize) -> Self {
        let mut world = Self {
            now: 1_000,
            seats: Vec::new(),
            log: log::Log::default(),
            engines: BTreeMap::new(),
            calls: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
            listed: BTreeMap::new(),
            lose_order_answers: 0.0,
            delay_orders: (0.0, 0),
            store_slowness: 1.0,
            store: None,
            loads: 0,
            service_ms: 20,
            notices: Vec::new(),
            queue: BinaryHeap::new(),
            steps: BTreeMap::new(),
            count: 0,
            timing: timing(),
        };
        for place in 0..nodes {
            world.seats.push(Seat {
                name: format_smolstr!("i{place:02}"),
                node: None,
                life: 0,
                paused: false,
                pause_at_order: false,
                exited: false,
                cut_peers: false,
                cut_log: false,
                inbox: Vec::new(),
                held: Vec::new(),
                reader: None,
                polling: false,
                watched: Vec::new(),
                links: BTreeSet::new(),
                open: BTreeMap::new(),
            });
        }
        world.at(0, Step::Reports);
        world.at(1, Step::List);
        world
    }

    pub fn with_engines(mut self, group: &str, count: usize, fenced: bool) -> Self {
        for place in 0..count {
            self.add_engine(group, &format!("10.0.0.{place}:80"), fenced);
        }
        self
    }

    pub fn add_engine(&mut self, group: &str, address: &str, fenced: bool) {
        let address = SmolStr::new(address);
        self.engines
            .insert(address.clone(), engine::Engine::new(fenced));
        let listed = report::ListEntry {
            name: address.clone(),
            address: address.clone(),
            kind: report::Kind::Backend,
            group: SmolStr::new(group),
            failure_domain: SmolStr::new_static("fd1"),
            state: report::State::Live,
        };
        self.listed.insert(address, listed);
    }

    /// Starts every instance.
    pub fn start(&mut self) {
        for place in 0..self.seats.len() {
            self.start_node(place);
        }
    }

    /// Starts every instance, and runs until all are ready and group `g` has a steward.
    pub fn start_serving(&mut self) {
        self.start();
        let serving = |world: &Self| world.ready() && world.steward("g").is_some();
        let started = self.run_until(3_000, serving, |_| {});
        assert!(started, "not ready after 3 s: {:?}", self.notices);
    }

    /// Starts a process in a place that has none.
    pub fn start_node(&mut self, place: usize) {
        let seeds = self
            .seats
            .iter()
            .take(2)
            .map(|seat| address(&seat.name))
            .collect();
        let seat = &mut self.seats[place];
        seat.life += 1;
        let by = record::Incarnation {
            instance: seat.name.clone(),
            number: 1_700_000_000_000 + self.now,
        };
        let options = node::Options {
            me: by,
            address: address(&seat.name),
            failure_domain: SmolStr::new_static("fd1"),
            seeds,
            max_queue: 1000,
            timing: self.timing.clone(),
            seed: self.rng.random(),
        };
        let mut node = node::Node::new(options);
        let mut out = Vec::new();
        node.start(clock::Instant(self.now), &mut out);
        seat.node = Some(node);
        seat.paused = false;
        seat.exited = false;
        seat.links.clear();
        seat.inbox.clear();
        seat.held.clear();
        seat.reader = None;
        seat.polling = false;
        let life = seat.life;
        self.carry_out(place, out);
        self.at(TICK_MS, Step::Tick(place, life));
    }

    /// Kills a process: its links end, its requests have no answer.
    pub fn kill(&mut self, place: usize) {
        let seat = &mut self.seats[place];
        seat.node = None;
        seat.life += 1;
        seat.held.clear();
        seat.inbox.clear();
        let open = std::mem::take(&mut seat.open);
        let links = std::mem::take(&mut seat.links);
        for (call, _) in open.into_values() {
            self.calls[call].ended = Some((self.now, End::Lost));
        }
        for peer in links {
            self.unlink(place, &peer);
        }
    }

    pub fn pause(&mut self, place: usize) {
        self.seats[place].paused = true;
    }

    /// Wakes a paused process: what it was about to do goes on first.
    pub fn resume(&mut self, place: usize) {
        let seat = &mut self.seats[place];
        seat.paused = false;
        seat.pause_at_order = false;
        let held = std::mem::take(&mut seat.held);
        let inbox = std::mem::take(&mut seat.inbox);
        let life = seat.life;
        self.carry_out(place, held);
        for event in inbox {
            self.deliver(place, life, event);
        }
    }

    pub fn stop(&mut self, place: usize) {
        let life = self.seats[place].life;
        self.deliver(place, life, event::Event::Stop);
    }

    /// A request at an instance; the call's place in `calls`.
    pub fn call(&mut self, place: usize, arrival: request::Arrival) -> usize {
        let deadline = arrival
            .deadline
            .map_or(5_000, |wait| wait.as_millis() as u64);
        let call = self.calls.len();
        self.calls.push(Call {
            arrived: self.now,
            deadline: self.now + deadline,
            ended: None,
        });
        let id = arrival.id.clone();
        let now = clock::Instant(self.now);
        let seat = &mut self.seats[place];
        let Some(node) = seat.node.as_mut().filter(|_| !seat.paused) else {
            self.calls[call].ended = Some((self.now, End::Lost));
            return call;
        };
        let mut out = Vec::new();
        let admitted = node.handle_arrival(now, arrival, &mut out);
        seat.open.insert(admitted.key, (call, id));
        self.carry_out(place, out);
        call
    }

    /// A request for a model.
    pub fn ask(&mut self, place: usize, model: &str, deadline_ms: u64) -> usize {
        let id = format_smolstr!("r{}", self.calls.len());
        let (model, adapter) = match model.split_once(':') {
            Some((model, adapter)) => (model, Some(SmolStr::new(adapter))),
            None => (model, None),
        };
        let target = request::Target::Model {
            model: SmolStr::new(model),
            adapter,
        };
        self.call(place, arrival(id, target, deadline_ms))
    }

    /// Appends a document as an operator does.
    pub fn publish(&mut self, base: u64, text: &str) -> u64 {
        let record = record::Record {
            rule: record::RULES_VERSION,
            id: record::Id {
                by: record::Incarnation {
                    instance: format_smolstr!("operator/{}", self.count),
                    number: 1_700_000_000_000 + self.now,
                },
                sequence: 1,
            },
            entries: vec![record::Entry::Publish {
                base,
                text: text.into(),
            }],
        };
        let offset = self.log.append(self.now, record.encode());
        self.wake_readers();
        offset + 1
    }

    /// Runs for a while, and checks the engines after every step.
    pub fn run<C>(&mut self, ms: u64, mut check: C)
    where
        C: FnMut(&mut Self),
    {
        let end = self.now + ms;
        while let Some(Reverse((time, number))) = self.queue.peek().copied() {
            if time > end {
                break;
            }
            self.queue.pop();
            self.now = time;
            let step = self.steps.remove(&number).expect("a queued step is kept");
            self.carry(step);
            check(self);
        }
        self.now = end;
    }

    /// Runs until something holds, at most so long; whether it came to hold.
    pub fn run_until<U, C>(&mut self, ms: u64, mut until: U, mut check: C) -> bool
    where
        U: FnMut(&Self) -> bool,
        C: FnMut(&mut Self),
    {
        let end = self.now + ms;
        while self.now < end {
            if until(self) {
                return true;
            }
            self.run(1, &mut check);
        }
        until(self)
    }

    /// Replicas of a model over all engines at this moment, all versions.
    pub fn replicas(&self, model: &str) -> usize {
        let engines = self.engines.values();
        let loaded = engines.flat_map(|engine| engine.loaded.keys());
        loaded
            .filter(|item| item.model == model && item.adapter.is_none())
            .count()
    }

    /// The place of the instance that holds a group, by the newest ledger.
    pub fn steward(&self, group: &str) -> Option<usize> {
        let nodes = self.seats.iter().filter_map(|seat| seat.node.as_ref());
        let statuses = nodes.map(node::Node::status);
        let newest = statuses.max_by_key(|status| status.log.next)?;
        let holder = newest
            .stewards
            .iter()
            .find(|steward| steward.group == group)?
            .by
            .clone();
        self.seats.iter().position(|seat| seat.name == holder)
    }

    pub fn version(&self, place: usize) -> u64 {
        self.seats[place]
            .node
            .as_ref()
            .map_or(0, node::Node::version)
    }

    pub fn ready(&self) -> bool {
        let nodes = self.seats.iter().filter_map(|seat| seat.node.as_ref());
        nodes.into_iter().all(|node| node.check_ready().is_ok())
    }

    fn at(&mut self, wait: u64, step: Step) {
        self.count += 1;
        self.queue.push(Reverse((self.now + wait, self.count)));
        self.steps.insert(self.count, step);
    }

    fn carry(&mut self, step: Step) {
        match step {
            Step::Tick(place, life) => {
                if self.seats[place].life == life && !self.seats[place].exited {
                    if !self.seats[place].paused {
                        self.deliver(place, life, event::Event::Tick);
                    }
                    self.at(TICK_MS, Step::Tick(place, life));
                }
            }
            Step::Event(place, life, event) => self.deliver(place, life, *event),
            Step::Poll(place, life) => self.poll(place, life),
            Step::Append(place, life, body) => self.append(place, life, body),
            Step::Order {
                node,
                life,
                attempt_id,
                server,
                command,
            } => self.order(node, life, attempt_id, &server, &command),
            Step::OrderDone {
                node,
                life,
                attempt_id,
                server,
                work,
            } => self.order_done(node, life, attempt_id, &server, work),
            Step::Served {
                node,
                life,
                request,
                server,
                boot,
            } => self.served(node, life, request, &server, boot),
            Step::Reports => {
                self.report();
                self.at(REPORT_MS, Step::Reports);
            }
            Step::List => {
                self.list();
                self.at(LIST_MS, Step::List);
            }
        }
    }

    fn deliver(&mut self, place: usize, life: u64, event: event::Event) {
        let now = clock::Instant(self.now);
        let seat = &mut self.seats[place];
        if seat.life != life || seat.exited {
            return;
        }
        if seat.paused {
            seat.inbox.push(event);
            return;
        }
        let Some(node) = seat.node.as_mut() else {
            return;
        };
        let mut out = Vec::new();
        node.step(now, event, &mut out);
        self.carry_out(place, out);
    }

    fn carry_out(&mut self, place: usize, effects: Vec<effect::Effect>) {
        for effect in effects {
            let seat = &mut self.seats[place];
            let order = matches!(effect, effect::Effect::Order { .. });
            if seat.pause_at_order && order {
                seat.paused = true;
            }
            if seat.paused {
                seat.held.push(effect);
                continue;
            }
            self.effect(place, effect);
        }
    }

    fn effect(&mut self, place: usize, effect: effect::Effect) {
        let life = self.seats[place].life;
        match effect {
            effect::Effect::Append(body) => self.at(HOP_MS, Step::Append(place, life, body)),
            effect::Effect::ReadFrom(from) => {
                self.seats[place].reader = Some(from);
                self.wake_reader(place);
            }
            effect::Effect::Connect { address, .. } => self.link(place, &address),
            effect::Effect::Disconnect(peer) => {
                let name = self.seats[place].name.clone();
                if self.seats[place].links.remove(&peer) {
                    self.unlink_one(&peer, &name);
                }
            }
            effect::Effect::Send { to, frame } => self.send(place, &to, frame),
            effect::Effect::PollReports(servers) => self.seats[place].watched = servers,
            effect::Effect::Order {
                attempt_id,
                server,
                command,
            } => {
                let (share, limit) = self.delay_orders;
                let late = self.rng.random_bool(share);
                let wait = if late {
                    self.rng.random_range(0..limit)
                } else {
                    HOP_MS
                };
                if late {
                    // Its sender gives up on the answer; the copy arrives all the same.
                    let event = event::Event::OrderAnswered {
                        attempt_id,
                        answer: order::Answer::Lost,
                    };
                    self.at(5 * HOP_MS, Step::Event(place, life, Box::new(event)));
                }
                self.at(
                    wait,
                    Step::Order {
                        node: place,
                        life,
                        attempt_id,
                        server,
                        command,
                    },
                );
            }
            effect::Effect::Dispatch { request, server } => self.dispatch(place, request, server),
            effect::Effect::Resume { .. } => {}
            effect::Effect::Refuse { request, refusal } => {
                self.end(place, request, End::Refused(refusal));
            }
            effect::Effect::Replay { request, outcome } => {
                self.end(place, request, End::Replayed(outcome));
            }
            effect::Effect::Notice(notice) => self.notices.push(notice.text),
            effect::Effect::Exit => {
                self.seats[place].exited = true;
                self.kill(place);
                self.seats[place].exited = true;
            }
        }
    }

    fn end(&mut self, place: usize, request: request::Key, end: End) {
        if let Some((call, _)) = self.seats[place].open.remove(&request) {
            self.calls[call].ended = Some((self.now, end));
        }
    }

    fn append(&mut self, place: usize, life: u64, body: String) {
        let answer = if self.seats[place].cut_log || self.log.out {
            writer::Answer::Refused
        } else {
            let offset = self.log.append(self.now, body);
            self.wake_readers();
            let lost = self.log.lose_answers > 0;
            self.log.lose_answers = self.log.lose_answers.saturating_sub(1);
            if lost {
                writer::Answer::Lost
            } else {
                writer::Answer::Stored(offset)
            }
        };
        let event = Box::new(event::Event::Appended(answer));
        self.at(HOP_MS, Step::Event(place, life, event));
    }

    fn wake_readers(&mut self) {
        for place in 0..self.seats.len() {
            self.wake_reader(place);
        }
    }

    fn wake_reader(&mut self, place: usize) {
        let seat = &mut self.seats[place];
        if seat.node.is_some() && !seat.polling {
            seat.polling = true;
            let life = seat.life;
            self.at(HOP_MS, Step::Poll(place, life));
        }
    }

    fn poll(&mut self, place: usize, life: u64) {
        let seat = &mut self.seats[place];
        if seat.life != life {
            return;
        }
        seat.polling = false;
        let Some(from) = seat.reader else { return };
        if self.log.out || seat.cut_log {
            seat.polling = true;
            self.at(POLL_RETRY_MS, Step::Poll(place, life));
            return self.deliver(place, life, event::Event::LogReadFailed);
        }
        if seat.paused {
            seat.polling = true;
            return self.at(POLL_RETRY_MS, Step::Poll(place, life));
        }
        let (first, next, records) = self.log.read(from);
        seat.reader = Some(
            records
                .last()
                .map_or(from.max(first), |last| last.offset + 1),
        );
        if seat.reader.is_some_and(|reader| reader < next) {
            seat.polling = true;
            self.at(2 * HOP_MS, Step::Poll(place, life));
        }
        let event = event::Event::LogRead {
            first,
            next,
            records,
        };
        self.deliver(place, life, event);
    }

    fn link(&mut self, place: usize, address_of: &SmolStr) {
        let named = |seat: &Seat| address(&seat.name) == *address_of;
        let Some(peer) = self.seats.iter().position(named) else {
            return;
        };
        let reachable = |seat: &Seat| seat.node.is_some() && !seat.cut_peers && !seat.paused;
        if peer == place || !reachable(&self.seats[peer]) || !reachable(&self.seats[place]) {
            return;
        }
        let (here, there) = (
            self.seats[place].name.clone(),
            self.seats[peer].name.clone(),
        );
        if !self.seats[place].links.insert(there) {
            return;
        }
        self.seats[peer].links.insert(here);
        let (a, b) = (self.introduction(place), self.introduction(peer));
        let (life_a, life_b) = (self.seats[place].life, self.seats[peer].life);
        let up = |update| Box::new(event::Event::LinkUp(update));
        self.at(HOP_MS, Step::Event(place, life_a, up(b)));
        self.at(HOP_MS, Step::Event(peer, life_b, up(a)));
    }

    fn introduction(&self, place: usize) -> member::Update {
        let seat = &self.seats[place];
        let status = seat.node.as_ref().map(node::Node::status);
        member::Update {
            by: record::Incarnation {
                instance: seat.name.clone(),
                number: status.map_or(0, |status| status.incarnation),
            },
            address: address(&seat.name),
            failure_domain: SmolStr::new_static("fd1"),
            state: member::State::Alive,
            refutation: 0,
        }
    }

    /// Ends all links of a place, as a cut of the network does.
    pub fn cut(&mut self, place: usize, peers: bool, log: bool) {
        self.seats[place].cut_peers = peers;
        self.seats[place].cut_log = log;
        // A long poll notices a cut at once.
        self.wake_reader(place);
        if peers {
            for peer in std::mem::take(&mut self.seats[place].links) {
                let name = self.seats[place].name.clone();
                self.unlink_one(&name, &peer);
                self.unlink(place, &peer);
            }
        }
    }

    fn unlink(&mut self, place: usize, peer: &SmolStr) {
        let name = self.seats[place].name.clone();
        self.unlink_one(peer, &name);
    }

    fn unlink_one(&mut self, at: &SmolStr, peer: &SmolStr) {
        let Some(there) = self.seats.iter().position(|seat| seat.name == *at) else {
            return;
        };
        self.seats[there].links.remove(peer);
        let Some(other) = self.seats.iter().position(|seat| seat.name == *peer) else {
            return;
        };
        let by = self.introduction(other).by;
        let life = self.seats[there].life;
        let event = Box::new(event::Event::LinkDown(by));
        self.at(HOP_MS, Step::Event(there, life, event));
    }

    fn send(&mut self, place: usize, to: &SmolStr, frame: wire::Frame) {
        let linked = self.seats[place].links.contains(to) && !self.seats[place].cut_peers;
        let Some(peer) = self.seats.iter().position(|seat| seat.name == *to) else {
            return;
        };
        if !linked || self.seats[peer].cut_peers {
            return;
        }
        let from = self.introduction(place).by;
        let life = self.seats[peer].life;
        let event = Box::new(event::Event::Frame { from, frame });
        self.at(HOP_MS, Step::Event(peer, life, event));
    }

    fn order(
        &mut self,
        node: usize,
        life: u64,
        attempt_id: order::AttemptId,
        server: &SmolStr,
        command: &order::Command,
    ) {
        let slowness = self.store_slowness;
        let Some(engine) = self.engines.get_mut(server) else {
            return self.answer_order(node, life, attempt_id, order::Answer::Unsent);
        };
        if engine.frozen {
            engine.kept.push((node, life, attempt_id, command.clone()));
            return self.answer_order(node, life, attempt_id, order::Answer::Lost);
        }
        if let Some(store) = &mut self.store
            && engine.begins_load(command)
        {
            engine.load_ms = store.start(self.now, server, &command.item);
        }
        match engine.take(command, slowness) {
            engine::Taken::Now(answer) => self.answer_order(node, life, attempt_id, answer),
            engine::Taken::Work { work, wait_ms } => {
                self.loads += u64::from(command.kind == order::Kind::Load);
                let server = server.clone();
                self.at(
                    wait_ms,
                    Step::OrderDone {
                        node,
                        life,
                        attempt_id,
                        server,
                        work,
                    },
                );
            }
        }
    }

    /// Thaws a frozen engine: it carries out what it had accepted.
    pub fn thaw(&mut self, server: &str) {
        let Some(engine) = self.engines.get_mut(server) else {
            return;
        };
        engine.frozen = false;
        for (node, life, attempt_id, command) in std::mem::take(&mut engine.kept) {
            self.order(node, life, attempt_id, &SmolStr::new(server), &command);
        }
    }

    fn order_done(
        &mut self,
        node: usize,
        life: u64,
        attempt_id: order::AttemptId,
        server: &SmolStr,
        work: u64,
    ) {
        let Some(engine) = self.engines.get_mut(server) else {
            // Its connection ends with it.
            return self.answer_order(node, life, attempt_id, order::Answer::Lost);
        };
        match engine.finish(work) {
            engine::Finish::Answer(answer) => self.answer_order(node, life, attempt_id, answer),
            engine::Finish::Later => {
                let server = server.clone();
                self.at(
                    5,
                    Step::OrderDone {
                        node,
                        life,
                        attempt_id,
                        server,
                        work,
                    },
                );
            }
        }
    }

    fn answer_order(
        &mut self,
        node: usize,
        life: u64,
        attempt_id: order::AttemptId,
        answer: order::Answer,
    ) {
        let lost = self.rng.random_bool(self.lose_order_answers);
        let answer = if lost { order::Answer::Lost } else { answer };
        let event = Box::new(event::Event::OrderAnswered { attempt_id, answer });
        self.at(HOP_MS, Step::Event(node, life, event));
    }

    fn dispatch(&mut self, place: usize, request: request::Key, server: SmolStr) {
        let life = self.seats[place].life;
        let Some((_, id)) = self.seats[place].open.get(&request).cloned() else {
            return;
        };
        let target = self.seats[place]
            .node
            .as_ref()
            .and_then(|node| node.target(request));
        let Some(engine) = self.engines.get_mut(&server) else {
            let failure = failure(verdict::Verdict::NotRun, request::Cause::Connect);
            return self.attempted(place, life, request, request::Attempt::Failed(failure));
        };
        match engine.begin(target.as_ref()) {
            Ok(()) => {
                engine
                    .runs
                    .entry(id)
                    .and_modify(|runs| *runs += 1)
                    .or_insert(1);
                let boot = engine.boot;
                let wait = self.service_ms;
                self.at(
                    HOP_MS + wait,
                    Step::Served {
                        node: place,
                        life,
                        request,
                        server,
                        boot,
                    },
                );
            }
            Err(cause) => {
                let failure = failure(verdict::Verdict::NotRun, cause);
                self.attempted(place, life, request, request::Attempt::Failed(failure));
            }
        }
    }

    fn served(
        &mut self,
        place: usize,
        life: u64,
        request: request::Key,
        server: &SmolStr,
        boot: u64,
    ) {
        let target = self.seats[place]
            .node
            .as_ref()
            .and_then(|node| node.target(request));
        let up = self.engines.get_mut(server).is_some_and(|engine| {
            engine.end(target.as_ref());
            engine.boot == boot
        });
        if self.seats[place].life != life {
            return;
        }
        if !up {
            let failure = failure(verdict::Verdict::MayHaveRun, request::Cause::Disconnected);
            return self.attempted(place, life, request, request::Attempt::Failed(failure));
        }
        let outcome = claim::Outcome::Answered {
            status: 200,
            content_type: SmolStr::new_static("application/json"),
            body: Some(String::from("{}")),
        };
        self.end(place, request, End::Served);
        self.attempted(place, life, request, request::Attempt::Done(outcome));
    }

    fn attempted(
        &mut self,
        place: usize,
        life: u64,
        request: request::Key,
        attempt: request::Attempt,
    ) {
        let event = Box::new(event::Event::AttemptUpdated { request, attempt });
        self.at(HOP_MS, Step::Event(place, life, event));
    }

    fn report(&mut self) {
        let at_ms = self.now;
        for place in 0..self.seats.len() {
            let life = self.seats[place].life;
            for server in self.seats[place].watched.clone() {
                let event = match self.engines.get(&server) {
                    Some(engine) if !engine.frozen => event::Event::ReportReceived {
                        report: engine.report(at_ms),
                        server,
                    },
                    Some(_) | None => event::Event::ReportFailed { server },
                };
                self.at(HOP_MS, Step::Event(place, life, Box::new(event)));
            }
        }
    }

    fn list(&mut self) {
        let routers = self.seats.iter().map(|seat| report::ListEntry {
            name: seat.name.clone(),
            address: address(&seat.name),
            kind: report::Kind::Router,
            group: SmolStr::default(),
            failure_domain: SmolStr::new_static("fd1"),
            state: report::State::Live,
        });
        let entries: Vec<_> = routers.chain(self.listed.values().cloned()).collect();
        for place in 0..self.seats.len() {
            let life = self.seats[place].life;
            let event = Box::new(event::Event::InstancesListed(entries.clone()));
            self.at(HOP_MS, Step::Event(place, life, event));
        }
    }
}

fn failure(verdict: verdict::Verdict, cause: request::Cause) -> request::Failure {
    request::Failure {
        verdict,
        cause,
        events_delivered: 0,
    }
}

fn address(name: &SmolStr) -> SmolStr {
    format_smolstr!("{name}:7000")
}

/// A request of tenant `t`.
pub fn arrival(id: SmolStr, target: request::Target, deadline_ms: u64) -> request::Arrival {
    request::Arrival {
        id,
        tenant: SmolStr::new_static("t"),
        class: None,
        target,
        deadline: Some(std::time::Duration::from_millis(deadline_ms)),
        key: None,
        fingerprint: 7,
        prefix: None,
        stream: false,
    }
}

/// An item from its text.
pub fn item(text: &str) -> item::Item {
    text.parse().expect("the test's item is well formed")
}
