//! A simulation of several nodes of the core in virtual time, with fakes at their interfaces.
//!
//! A fake log, fake engines and fake links carry out the nodes' effects after fixed delays, without decisions of
//! their own. Tests inject failures into them. All randomness comes from one seed.
#![allow(
    dead_code,
    missing_docs,
    reason = "each test file uses a part of this module"
)]

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

/// The one-way delay between any two parties, in milliseconds.
pub const HOP_MS: u64 = 1;
const TICK_INTERVAL_MS: u64 = 10;
const REPORT_INTERVAL_MS: u64 = 250;
const LIST_INTERVAL_MS: u64 = 500;
const POLL_RETRY_DELAY_MS: u64 = 100;

/// A scheduled step of the simulation. The numbers are the index of an instance and its incarnation.
#[derive(Clone, Debug)]
enum Step {
    Tick(usize, u64),
    Event(usize, u64, Box<event::Event>),
    Poll(usize, u64),
    Append(usize, u64, String),
    Order {
        node: usize,
        incarnation: u64,
        attempt_id: order::AttemptId,
        server: SmolStr,
        command: order::Command,
    },
    OrderDone {
        node: usize,
        incarnation: u64,
        attempt_id: order::AttemptId,
        server: SmolStr,
        work: u64,
    },
    RequestDone {
        node: usize,
        incarnation: u64,
        request: request::Key,
        server: SmolStr,
        boot: u64,
    },
    Reports,
    List,
}

/// One instance, whose process may be replaced by another.
pub struct Instance {
    pub name: SmolStr,
    pub node: Option<node::Node>,
    /// Rises with each start and each end of a process.
    pub incarnation: u64,
    pub paused: bool,
    /// Whether to pause the process at the next order that the node sends, before the order leaves.
    pub pause_at_order: bool,
    pub exited: bool,
    /// Whether the instance is disconnected from its peers.
    pub cut_peers: bool,
    /// Whether the instance is disconnected from the log.
    pub cut_log: bool,
    /// Whether the log answers none of the instance's reads.
    pub cut_log_reads: bool,
    /// Events that arrived while the process was paused.
    inbox: Vec<event::Event>,
    /// Effects that the process requested before it was paused.
    held_effects: Vec<effect::Effect>,
    /// The next offset to read from the log.
    read_position: Option<u64>,
    is_polling: bool,
    /// The backend servers whose reports the node polls.
    polled_servers: Vec<SmolStr>,
    links: BTreeSet<SmolStr>,
    /// For each request in progress, the index of its call and its id.
    open_requests: BTreeMap<request::Key, (usize, SmolStr)>,
}

/// The result of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    Served,
    Refused(request::Refusal),
    Replayed(claim::Outcome),
    /// The process that handled the request died.
    Lost,
}

/// A request as its caller sees it; the times are in virtual milliseconds.
#[derive(Clone, Debug)]
pub struct Call {
    pub arrived: u64,
    pub deadline: u64,
    pub ended: Option<(u64, End)>,
}

pub struct World {
    pub now: u64,
    pub instances: Vec<Instance>,
    pub log: log::Log,
    pub engines: BTreeMap<SmolStr, engine::Engine>,
    pub calls: Vec<Call>,
    pub rng: StdRng,
    /// The entries for backend servers in the platform's list.
    pub listed: BTreeMap<SmolStr, report::ListEntry>,
    /// The ratio of order answers that are lost after the order took effect.
    pub lose_order_answers: f64,
    /// The ratio of orders that are delayed, and the maximum delay in milliseconds.
    pub delay_orders: (f64, u64),
    /// The factor by which loads take longer, as with a slow store.
    pub store_slowness: f64,
    /// Determines the duration of each load, if there is one.
    pub store: Option<store::Store>,
    pub loads: u64,
    pub service_ms: u64,
    pub notices: Vec<String>,
    /// Time and number of each scheduled step.
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    steps: BTreeMap<u64, Step>,
    step_count: u64,
    timing: node::Timing,
}

/// The timing of nodes, with short intervals for short runs.
pub fn timing() -> node::Timing {
    use std::time::Duration;
    node::Timing {
        ping_interval: Duration::from_millis(100),
        suspect_timeout: Duration::from_millis(300),
        dead_timeout: Duration::from_millis(300),
        drain_delay: Duration::from_millis(100),
        drain_limit: Duration::from_secs(20),
        absence_timeout: Duration::from_secs(2),
        checkpoint_records: 200,
        checkpoint_interval: Duration::from_secs(20),
    }
}

impl World {
    pub fn new(seed: u64, nodes: usize) -> Self {
        let mut world = Self {
            now: 1_000,
            instances: Vec::new(),
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
            step_count: 0,
            timing: timing(),
        };
        for index in 0..nodes {
            world.instances.push(Instance {
                name: format_smolstr!("i{index:02}"),
                node: None,
                incarnation: 0,
                paused: false,
                pause_at_order: false,
                exited: false,
                cut_peers: false,
                cut_log: false,
                cut_log_reads: false,
                inbox: Vec::new(),
                held_effects: Vec::new(),
                read_position: None,
                is_polling: false,
                polled_servers: Vec::new(),
                links: BTreeSet::new(),
                open_requests: BTreeMap::new(),
            });
        }
        world.schedule(0, Step::Reports);
        world.schedule(1, Step::List);
        world
    }

    pub fn with_engines(mut self, group: &str, count: usize, fenced: bool) -> Self {
        for index in 0..count {
            self.add_engine(group, &format!("10.0.0.{index}:80"), fenced);
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
        for index in 0..self.instances.len() {
            self.start_node(index);
        }
    }

    /// Starts every instance, and runs until all are ready and the group `g` has a steward.
    pub fn start_serving(&mut self) {
        self.start();
        let is_serving = |world: &Self| world.ready() && world.steward("g").is_some();
        let started = self.run_until(3_000, is_serving, |_| {});
        assert!(started, "not ready after 3 s: {:?}", self.notices);
    }

    /// Starts a process for an instance that has none.
    pub fn start_node(&mut self, index: usize) {
        let seeds = self
            .instances
            .iter()
            .take(2)
            .map(|instance| address(&instance.name))
            .collect();
        let instance = &mut self.instances[index];
        instance.incarnation += 1;
        let by = record::Incarnation {
            instance: instance.name.clone(),
            number: 1_700_000_000_000 + self.now,
        };
        let options = node::Options {
            incarnation: by,
            address: address(&instance.name),
            failure_domain: SmolStr::new_static("fd1"),
            seeds,
            max_queue: 1000,
            timing: self.timing.clone(),
            seed: self.rng.random(),
        };
        let mut node = node::Node::new(options);
        let mut out = Vec::new();
        node.start(clock::Instant(self.now), &mut out);
        instance.node = Some(node);
        instance.paused = false;
        instance.exited = false;
        instance.links.clear();
        instance.inbox.clear();
        instance.held_effects.clear();
        instance.read_position = None;
        instance.is_polling = false;
        let incarnation = instance.incarnation;
        self.apply_effects(index, out);
        self.schedule(TICK_INTERVAL_MS, Step::Tick(index, incarnation));
    }

    /// Kills a process: its links end, and its requests get no answer.
    pub fn kill(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        instance.node = None;
        instance.incarnation += 1;
        instance.held_effects.clear();
        instance.inbox.clear();
        let open_requests = std::mem::take(&mut instance.open_requests);
        let links = std::mem::take(&mut instance.links);
        for (call, _) in open_requests.into_values() {
            self.calls[call].ended = Some((self.now, End::Lost));
        }
        for peer in links {
            self.notify_link_down(index, &peer);
        }
    }

    pub fn pause(&mut self, index: usize) {
        self.instances[index].paused = true;
    }

    /// Resumes a paused process: its held effects are applied first, then its waiting events are delivered.
    pub fn resume(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        instance.paused = false;
        instance.pause_at_order = false;
        let held_effects = std::mem::take(&mut instance.held_effects);
        let inbox = std::mem::take(&mut instance.inbox);
        let incarnation = instance.incarnation;
        self.apply_effects(index, held_effects);
        for event in inbox {
            self.deliver(index, incarnation, event);
        }
    }

    pub fn stop(&mut self, index: usize) {
        let incarnation = self.instances[index].incarnation;
        self.deliver(index, incarnation, event::Event::Stop);
    }

    /// Sends a request to an instance, and returns the call's index in `calls`.
    pub fn call(&mut self, index: usize, arrival: request::Arrival) -> usize {
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
        let instance = &mut self.instances[index];
        let Some(node) = instance.node.as_mut().filter(|_| !instance.paused) else {
            self.calls[call].ended = Some((self.now, End::Lost));
            return call;
        };
        let mut out = Vec::new();
        let admitted = node.handle_arrival(now, arrival, &mut out);
        instance.open_requests.insert(admitted.key, (call, id));
        self.apply_effects(index, out);
        call
    }

    /// Sends a request for a model, or for an adapter written as `MODEL:ADAPTER`.
    pub fn request_model(&mut self, index: usize, model: &str, deadline_ms: u64) -> usize {
        let id = format_smolstr!("r{}", self.calls.len());
        let (model, adapter) = match model.split_once(':') {
            Some((model, adapter)) => (model, Some(SmolStr::new(adapter))),
            None => (model, None),
        };
        let target = request::Target::Model {
            model: SmolStr::new(model),
            adapter,
        };
        self.call(index, arrival(id, target, deadline_ms))
    }

    /// Publishes a document as an operator does, and returns its version.
    pub fn publish(&mut self, base: u64, text: &str) -> u64 {
        let record = record::Record {
            rule: record::RULES_VERSION,
            id: record::Id {
                by: record::Incarnation {
                    instance: format_smolstr!("operator/{}", self.step_count),
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

    /// Runs for `ms` milliseconds, and calls `check` after every step.
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
            let step = self
                .steps
                .remove(&number)
                .expect("every queued step is stored");
            self.execute(step);
            check(self);
        }
        self.now = end;
    }

    /// Runs until the condition holds, for at most `ms` milliseconds, and returns whether it holds.
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

    /// The number of replicas of a model on all engines at this time, over all versions.
    pub fn replicas(&self, model: &str) -> usize {
        let engines = self.engines.values();
        let loaded = engines.flat_map(|engine| engine.loaded.keys());
        loaded
            .filter(|item| item.model == model && item.adapter.is_none())
            .count()
    }

    /// The index of the instance that is the steward of a group, by the ledger that covers most of the log.
    pub fn steward(&self, group: &str) -> Option<usize> {
        let nodes = self
            .instances
            .iter()
            .filter_map(|instance| instance.node.as_ref());
        let statuses = nodes.map(node::Node::status);
        let newest = statuses.max_by_key(|status| status.log.next)?;
        let holder = newest
            .stewards
            .iter()
            .find(|steward| steward.group == group)?
            .by
            .clone();
        self.instances
            .iter()
            .position(|instance| instance.name == holder)
    }

    pub fn version(&self, index: usize) -> u64 {
        self.instances[index]
            .node
            .as_ref()
            .map_or(0, node::Node::version)
    }

    pub fn ready(&self) -> bool {
        let nodes = self
            .instances
            .iter()
            .filter_map(|instance| instance.node.as_ref());
        nodes.into_iter().all(|node| node.check_ready().is_ok())
    }

    fn schedule(&mut self, delay_ms: u64, step: Step) {
        self.step_count += 1;
        self.queue
            .push(Reverse((self.now + delay_ms, self.step_count)));
        self.steps.insert(self.step_count, step);
    }

    fn execute(&mut self, step: Step) {
        match step {
            Step::Tick(index, incarnation) => {
                if self.instances[index].incarnation == incarnation && !self.instances[index].exited
                {
                    if !self.instances[index].paused {
                        self.deliver(index, incarnation, event::Event::Tick);
                    }
                    self.schedule(TICK_INTERVAL_MS, Step::Tick(index, incarnation));
                }
            }
            Step::Event(index, incarnation, event) => self.deliver(index, incarnation, *event),
            Step::Poll(index, incarnation) => self.poll(index, incarnation),
            Step::Append(index, incarnation, body) => self.append(index, incarnation, body),
            Step::Order {
                node,
                incarnation,
                attempt_id,
                server,
                command,
            } => self.deliver_order(node, incarnation, attempt_id, &server, &command),
            Step::OrderDone {
                node,
                incarnation,
                attempt_id,
                server,
                work,
            } => self.finish_order(node, incarnation, attempt_id, &server, work),
            Step::RequestDone {
                node,
                incarnation,
                request,
                server,
                boot,
            } => self.finish_request(node, incarnation, request, &server, boot),
            Step::Reports => {
                self.deliver_reports();
                self.schedule(REPORT_INTERVAL_MS, Step::Reports);
            }
            Step::List => {
                self.deliver_list();
                self.schedule(LIST_INTERVAL_MS, Step::List);
            }
        }
    }

    fn deliver(&mut self, index: usize, incarnation: u64, event: event::Event) {
        let now = clock::Instant(self.now);
        let instance = &mut self.instances[index];
        if instance.incarnation != incarnation || instance.exited {
            return;
        }
        if instance.paused {
            instance.inbox.push(event);
            return;
        }
        let Some(node) = instance.node.as_mut() else {
            return;
        };
        let mut out = Vec::new();
        node.step(now, event, &mut out);
        self.apply_effects(index, out);
    }

    fn apply_effects(&mut self, index: usize, effects: Vec<effect::Effect>) {
        for effect in effects {
            let instance = &mut self.instances[index];
            let is_order = matches!(effect, effect::Effect::Order { .. });
            if instance.pause_at_order && is_order {
                instance.paused = true;
            }
            if instance.paused {
                instance.held_effects.push(effect);
                continue;
            }
            self.apply_effect(index, effect);
        }
    }

    fn apply_effect(&mut self, index: usize, effect: effect::Effect) {
        let incarnation = self.instances[index].incarnation;
        match effect {
            effect::Effect::Append(body) => {
                self.schedule(HOP_MS, Step::Append(index, incarnation, body));
            }
            effect::Effect::ReadFrom(from) => {
                self.instances[index].read_position = Some(from);
                self.wake_reader(index);
            }
            effect::Effect::Connect { address, .. } => self.open_link(index, &address),
            effect::Effect::Disconnect(peer) => {
                let name = self.instances[index].name.clone();
                if self.instances[index].links.remove(&peer) {
                    self.remove_link(&peer, &name);
                }
            }
            effect::Effect::Send { to, frame } => self.send(index, &to, frame),
            effect::Effect::PollReports(servers) => self.instances[index].polled_servers = servers,
            effect::Effect::Order {
                attempt_id,
                server,
                command,
            } => {
                let (delayed_ratio, max_delay_ms) = self.delay_orders;
                let is_delayed = self.rng.random_bool(delayed_ratio);
                let delay_ms = if is_delayed {
                    self.rng.random_range(0..max_delay_ms)
                } else {
                    HOP_MS
                };
                if is_delayed {
                    // The sender stops waiting for the answer, and the order arrives nevertheless.
                    let event = event::Event::OrderAnswered {
                        attempt_id,
                        answer: order::Answer::Lost,
                    };
                    self.schedule(5 * HOP_MS, Step::Event(index, incarnation, Box::new(event)));
                }
                self.schedule(
                    delay_ms,
                    Step::Order {
                        node: index,
                        incarnation,
                        attempt_id,
                        server,
                        command,
                    },
                );
            }
            effect::Effect::Dispatch { request, server } => self.dispatch(index, request, server),
            effect::Effect::Resume { .. } => {}
            effect::Effect::Refuse { request, refusal } => {
                self.end(index, request, End::Refused(refusal));
            }
            effect::Effect::Replay { request, outcome } => {
                self.end(index, request, End::Replayed(outcome));
            }
            effect::Effect::Notice(notice) => self.notices.push(notice.text),
            effect::Effect::Exit => {
                self.instances[index].exited = true;
                self.kill(index);
                self.instances[index].exited = true;
            }
        }
    }

    fn end(&mut self, index: usize, request: request::Key, end: End) {
        if let Some((call, _)) = self.instances[index].open_requests.remove(&request) {
            self.calls[call].ended = Some((self.now, end));
        }
    }

    fn append(&mut self, index: usize, incarnation: u64, body: String) {
        let answer = if self.instances[index].cut_log || self.log.is_down {
            writer::Answer::Refused
        } else {
            let offset = self.log.append(self.now, body);
            self.wake_readers();
            let is_lost = self.log.answers_to_lose > 0;
            self.log.answers_to_lose = self.log.answers_to_lose.saturating_sub(1);
            if is_lost {
                writer::Answer::Lost
            } else {
                writer::Answer::Stored(offset)
            }
        };
        let event = Box::new(event::Event::Appended(answer));
        self.schedule(HOP_MS, Step::Event(index, incarnation, event));
    }

    fn wake_readers(&mut self) {
        for index in 0..self.instances.len() {
            self.wake_reader(index);
        }
    }

    fn wake_reader(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        if instance.node.is_some() && !instance.is_polling {
            instance.is_polling = true;
            let incarnation = instance.incarnation;
            self.schedule(HOP_MS, Step::Poll(index, incarnation));
        }
    }

    fn poll(&mut self, index: usize, incarnation: u64) {
        let instance = &mut self.instances[index];
        if instance.incarnation != incarnation {
            return;
        }
        instance.is_polling = false;
        let Some(from) = instance.read_position else {
            return;
        };
        if self.log.is_down || instance.cut_log || instance.cut_log_reads {
            instance.is_polling = true;
            self.schedule(POLL_RETRY_DELAY_MS, Step::Poll(index, incarnation));
            return self.deliver(index, incarnation, event::Event::LogReadFailed);
        }
        if instance.paused {
            instance.is_polling = true;
            return self.schedule(POLL_RETRY_DELAY_MS, Step::Poll(index, incarnation));
        }
        let (first, next, records) = self.log.read(from);
        instance.read_position = Some(
            records
                .last()
                .map_or(from.max(first), |last| last.offset + 1),
        );
        if instance
            .read_position
            .is_some_and(|position| position < next)
        {
            instance.is_polling = true;
            self.schedule(2 * HOP_MS, Step::Poll(index, incarnation));
        }
        let event = event::Event::LogRead {
            first,
            next,
            records,
        };
        self.deliver(index, incarnation, event);
    }

    fn open_link(&mut self, index: usize, peer_address: &SmolStr) {
        let has_address = |instance: &Instance| address(&instance.name) == *peer_address;
        let Some(peer) = self.instances.iter().position(has_address) else {
            return;
        };
        let is_reachable = |instance: &Instance| {
            instance.node.is_some() && !instance.cut_peers && !instance.paused
        };
        if peer == index
            || !is_reachable(&self.instances[peer])
            || !is_reachable(&self.instances[index])
        {
            return;
        }
        let (here, there) = (
            self.instances[index].name.clone(),
            self.instances[peer].name.clone(),
        );
        if !self.instances[index].links.insert(there) {
            return;
        }
        self.instances[peer].links.insert(here);
        let (a, b) = (self.own_update(index), self.own_update(peer));
        let (incarnation_a, incarnation_b) = (
            self.instances[index].incarnation,
            self.instances[peer].incarnation,
        );
        let up = |update| Box::new(event::Event::LinkUp(update));
        self.schedule(HOP_MS, Step::Event(index, incarnation_a, up(b)));
        self.schedule(HOP_MS, Step::Event(peer, incarnation_b, up(a)));
    }

    fn own_update(&self, index: usize) -> member::Update {
        let instance = &self.instances[index];
        let status = instance.node.as_ref().map(node::Node::status);
        member::Update {
            by: record::Incarnation {
                instance: instance.name.clone(),
                number: status.map_or(0, |status| status.incarnation),
            },
            address: address(&instance.name),
            failure_domain: SmolStr::new_static("fd1"),
            state: member::State::Alive,
            refutation: 0,
        }
    }

    /// Sets whether an instance is disconnected from its peers and from the log.
    pub fn disconnect(&mut self, index: usize, peers: bool, log: bool) {
        self.instances[index].cut_peers = peers;
        self.instances[index].cut_log = log;
        // A long poll notices the lost connection at once.
        self.wake_reader(index);
        if peers {
            for peer in std::mem::take(&mut self.instances[index].links) {
                let name = self.instances[index].name.clone();
                self.remove_link(&name, &peer);
                self.notify_link_down(index, &peer);
            }
        }
    }

    /// Ends the link to `index` at the peer.
    fn notify_link_down(&mut self, index: usize, peer: &SmolStr) {
        let name = self.instances[index].name.clone();
        self.remove_link(peer, &name);
    }

    /// Ends the link to `peer` at the instance `at`, and informs its node.
    fn remove_link(&mut self, at: &SmolStr, peer: &SmolStr) {
        let Some(there) = self
            .instances
            .iter()
            .position(|instance| instance.name == *at)
        else {
            return;
        };
        self.instances[there].links.remove(peer);
        let Some(other) = self
            .instances
            .iter()
            .position(|instance| instance.name == *peer)
        else {
            return;
        };
        let by = self.own_update(other).by;
        let incarnation = self.instances[there].incarnation;
        let event = Box::new(event::Event::LinkDown(by));
        self.schedule(HOP_MS, Step::Event(there, incarnation, event));
    }

    fn send(&mut self, index: usize, to: &SmolStr, frame: wire::Frame) {
        let is_linked =
            self.instances[index].links.contains(to) && !self.instances[index].cut_peers;
        let Some(peer) = self
            .instances
            .iter()
            .position(|instance| instance.name == *to)
        else {
            return;
        };
        if !is_linked || self.instances[peer].cut_peers {
            return;
        }
        let from = self.own_update(index).by;
        let incarnation = self.instances[peer].incarnation;
        let event = Box::new(event::Event::Frame { from, frame });
        self.schedule(HOP_MS, Step::Event(peer, incarnation, event));
    }

    fn deliver_order(
        &mut self,
        node: usize,
        incarnation: u64,
        attempt_id: order::AttemptId,
        server: &SmolStr,
        command: &order::Command,
    ) {
        let slowness = self.store_slowness;
        let Some(engine) = self.engines.get_mut(server) else {
            return self.answer_order(node, incarnation, attempt_id, order::Answer::Unsent);
        };
        if engine.frozen {
            engine
                .queued_orders
                .push((node, incarnation, attempt_id, command.clone()));
            return self.answer_order(node, incarnation, attempt_id, order::Answer::Lost);
        }
        if let Some(store) = &mut self.store
            && engine.begins_load(command)
        {
            engine.load_ms = store.start(self.now, server, &command.item);
        }
        match engine.take(command, slowness) {
            engine::OrderResult::Now(answer) => {
                self.answer_order(node, incarnation, attempt_id, answer);
            }
            engine::OrderResult::InProgress { work, wait_ms } => {
                self.loads += u64::from(command.kind == order::Kind::Load);
                let server = server.clone();
                self.schedule(
                    wait_ms,
                    Step::OrderDone {
                        node,
                        incarnation,
                        attempt_id,
                        server,
                        work,
                    },
                );
            }
        }
    }

    /// Unfreezes an engine, which then carries out the orders that arrived while it was frozen.
    pub fn unfreeze(&mut self, server: &str) {
        let Some(engine) = self.engines.get_mut(server) else {
            return;
        };
        engine.frozen = false;
        for (node, incarnation, attempt_id, command) in std::mem::take(&mut engine.queued_orders) {
            self.deliver_order(
                node,
                incarnation,
                attempt_id,
                &SmolStr::new(server),
                &command,
            );
        }
    }

    fn finish_order(
        &mut self,
        node: usize,
        incarnation: u64,
        attempt_id: order::AttemptId,
        server: &SmolStr,
        work: u64,
    ) {
        let Some(engine) = self.engines.get_mut(server) else {
            // The connection ends with the engine.
            return self.answer_order(node, incarnation, attempt_id, order::Answer::Lost);
        };
        match engine.finish(work) {
            engine::Finish::Answer(answer) => {
                self.answer_order(node, incarnation, attempt_id, answer);
            }
            engine::Finish::Later => {
                let server = server.clone();
                self.schedule(
                    5,
                    Step::OrderDone {
                        node,
                        incarnation,
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
        incarnation: u64,
        attempt_id: order::AttemptId,
        answer: order::Answer,
    ) {
        let is_lost = self.rng.random_bool(self.lose_order_answers);
        let answer = if is_lost { order::Answer::Lost } else { answer };
        let event = Box::new(event::Event::OrderAnswered { attempt_id, answer });
        self.schedule(HOP_MS, Step::Event(node, incarnation, event));
    }

    fn dispatch(&mut self, index: usize, request: request::Key, server: SmolStr) {
        let incarnation = self.instances[index].incarnation;
        let Some((_, id)) = self.instances[index].open_requests.get(&request).cloned() else {
            return;
        };
        let target = self.instances[index]
            .node
            .as_ref()
            .and_then(|node| node.target(request));
        let Some(engine) = self.engines.get_mut(&server) else {
            let failure = failure(verdict::Verdict::NotRun, request::Cause::Connect);
            return self.report_attempt(
                index,
                incarnation,
                request,
                request::Attempt::Failed(failure),
            );
        };
        match engine.begin(target.as_ref()) {
            Ok(()) => {
                engine
                    .runs
                    .entry(id)
                    .and_modify(|runs| *runs += 1)
                    .or_insert(1);
                let boot = engine.boot;
                let service_ms = self.service_ms;
                self.schedule(
                    HOP_MS + service_ms,
                    Step::RequestDone {
                        node: index,
                        incarnation,
                        request,
                        server,
                        boot,
                    },
                );
            }
            Err(cause) => {
                let failure = failure(verdict::Verdict::NotRun, cause);
                self.report_attempt(
                    index,
                    incarnation,
                    request,
                    request::Attempt::Failed(failure),
                );
            }
        }
    }

    fn finish_request(
        &mut self,
        index: usize,
        incarnation: u64,
        request: request::Key,
        server: &SmolStr,
        boot: u64,
    ) {
        let target = self.instances[index]
            .node
            .as_ref()
            .and_then(|node| node.target(request));
        let is_same_boot = self.engines.get_mut(server).is_some_and(|engine| {
            engine.end(target.as_ref());
            engine.boot == boot
        });
        if self.instances[index].incarnation != incarnation {
            return;
        }
        if !is_same_boot {
            let failure = failure(verdict::Verdict::MayHaveRun, request::Cause::Disconnected);
            return self.report_attempt(
                index,
                incarnation,
                request,
                request::Attempt::Failed(failure),
            );
        }
        let outcome = claim::Outcome::Answered {
            status: 200,
            content_type: SmolStr::new_static("application/json"),
            body: Some(String::from("{}")),
        };
        self.end(index, request, End::Served);
        self.report_attempt(index, incarnation, request, request::Attempt::Done(outcome));
    }

    fn report_attempt(
        &mut self,
        index: usize,
        incarnation: u64,
        request: request::Key,
        attempt: request::Attempt,
    ) {
        let event = Box::new(event::Event::AttemptUpdated { request, attempt });
        self.schedule(HOP_MS, Step::Event(index, incarnation, event));
    }

    fn deliver_reports(&mut self) {
        let at_ms = self.now;
        for index in 0..self.instances.len() {
            let incarnation = self.instances[index].incarnation;
            for server in self.instances[index].polled_servers.clone() {
                let event = match self.engines.get(&server) {
                    Some(engine) if !engine.frozen => event::Event::ReportReceived {
                        report: engine.report(at_ms),
                        server,
                    },
                    Some(_) | None => event::Event::ReportFailed { server },
                };
                self.schedule(HOP_MS, Step::Event(index, incarnation, Box::new(event)));
            }
        }
    }

    fn deliver_list(&mut self) {
        let routers = self.instances.iter().map(|instance| report::ListEntry {
            name: instance.name.clone(),
            address: address(&instance.name),
            kind: report::Kind::Router,
            group: SmolStr::default(),
            failure_domain: SmolStr::new_static("fd1"),
            state: report::State::Live,
        });
        let entries: Vec<_> = routers.chain(self.listed.values().cloned()).collect();
        for index in 0..self.instances.len() {
            let incarnation = self.instances[index].incarnation;
            let event = Box::new(event::Event::InstancesListed(entries.clone()));
            self.schedule(HOP_MS, Step::Event(index, incarnation, event));
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

/// A request of the tenant `t`.
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

/// Parses an item.
pub fn item(text: &str) -> item::Item {
    text.parse().expect("the item in the test is well formed")
}
