//! Workers of the platform: model engines, which take orders and answer with streams, and plain services.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::Write as _;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Answer, Reply, Request};
use crate::record::Record;
use crate::store::Store;
use crate::{json_number, json_text, unix_ms};

/// By how much reports lag behind the state.
const REPORT_LAG: Duration = Duration::from_millis(100);
/// How long an adapter takes to load.
const ADAPTER_LOAD: Duration = Duration::from_millis(8);
/// Time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(6);

#[derive(Clone, Debug)]
pub struct Options {
    pub id: String,
    pub service: String,
    pub zone: String,
    /// Set for a model engine.
    pub engine: Option<EngineOptions>,
    /// How long a request of a plain service runs.
    pub work: Duration,
    pub slots: usize,
    pub heartbeat: Duration,
}

#[derive(Clone, Debug)]
pub struct EngineOptions {
    pub weights_mb: u64,
    pub adapter_slots: usize,
    /// The models with their sizes in MB; all are on the engine's disk.
    pub models: BTreeMap<String, u64>,
    pub disk_load: Duration,
    pub events: u64,
}

/// An order that has arrived.
#[derive(Clone, Debug)]
pub struct Order {
    pub at: f64,
    pub engine: String,
    pub holder: String,
    pub fence: u64,
    pub what: String,
    pub status: u16,
}

/// A request that has run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: f64,
    pub worker: String,
    pub id: String,
}

#[derive(Clone)]
pub struct Worker {
    inner: Arc<Inner>,
}

struct Inner {
    options: Options,
    born: u64,
    record: Record,
    state: Mutex<State>,
    server: Mutex<Option<(Arc<http::Server>, SocketAddr)>>,
    leaves: AtomicBool,
}

#[derive(Default)]
struct State {
    models: BTreeMap<String, BTreeSet<String>>,
    pending: BTreeSet<(String, String)>,
    /// The model that an order under way concerns.
    busy: Option<String>,
    seq: u64,
    running: BTreeMap<String, usize>,
    running_count: usize,
    orders: Vec<Order>,
    runs: Vec<Run>,
    reports: VecDeque<(Instant, String)>,
    entries: u64,
    /// The load of a model did not fit.
    over_limit: Vec<String>,
}

impl Worker {
    /// Starts a worker on a free port.
    pub fn start(options: Options, record: Record) -> std::io::Result<(Self, SocketAddr)> {
        let worker = Self {
            inner: Arc::new(Inner {
                options,
                born: unix_ms(),
                record,
                state: Mutex::default(),
                server: Mutex::default(),
                leaves: AtomicBool::new(false),
            }),
        };
        worker.note(&mut worker.inner.state.lock().unwrap());
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let server = http::serve(listener, Arc::new(worker.clone()));
        *worker.inner.server.lock().unwrap() = Some((server, address));
        Ok((worker, address))
    }

    /// Writes the worker's entry at intervals, with the address at which it is reached.
    pub fn register(&self, store: &Store, address: SocketAddr) {
        let (worker, store) = (self.clone(), store.clone());
        thread::spawn(move || {
            while !worker.inner.leaves.load(Ordering::Relaxed) {
                let entry = worker.entry(address);
                store.put("keyed.servers", &worker.inner.options.id, entry.as_bytes());
                thread::sleep(worker.inner.options.heartbeat);
            }
        });
    }

    /// Removes the worker's entry: it leaves without having reported that it drains. It goes on serving.
    pub fn leave(&self, store: &Store) {
        self.inner.leaves.store(true, Ordering::Relaxed);
        store.put("keyed.servers", &self.inner.options.id, b"");
    }

    /// Ends as a process does.
    pub fn exit(&self) {
        if let Some((server, address)) = self.inner.server.lock().unwrap().as_ref() {
            server.end(*address);
        }
    }

    pub fn id(&self) -> &str {
        &self.inner.options.id
    }

    pub fn orders(&self) -> Vec<Order> {
        self.inner.state.lock().unwrap().orders.clone()
    }

    pub fn runs(&self) -> Vec<Run> {
        self.inner.state.lock().unwrap().runs.clone()
    }

    pub fn over_limit(&self) -> Vec<String> {
        self.inner.state.lock().unwrap().over_limit.clone()
    }

    fn entry(&self, address: SocketAddr) -> String {
        let options = &self.inner.options;
        let mut state = self.inner.state.lock().unwrap();
        state.entries += 1;
        let holdings = self.holdings(&state);
        format!(
            "{{\"service\":\"{}\",\"address\":\"{address}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"ready\",\"coldLeftMs\":0,\"born\":{},\"seq\":{}{holdings}}}",
            options.service, options.zone, options.slots, self.inner.born, state.entries
        )
    }

    /// The fields of what an engine holds, with a comma before them.
    fn holdings(&self, state: &State) -> String {
        let Some(engine) = &self.inner.options.engine else {
            return String::new();
        };
        let models: Vec<String> = state
            .models
            .iter()
            .map(|(name, adapters)| {
                let adapters: Vec<String> =
                    adapters.iter().map(|name| format!("\"{name}\"")).collect();
                let adapters = adapters.join(",");
                format!("{{\"name\":\"{name}\",\"version\":1,\"adapters\":[{adapters}]}}")
            })
            .collect();
        let disk: Vec<String> = engine
            .models
            .keys()
            .map(|name| format!("\"{name}\""))
            .collect();
        format!(
            ",\"stage\":\"both\",\"models\":[{}],\"available\":{{\"inMemory\":[],\"onDisk\":[{}]}}",
            models.join(","),
            disk.join(",")
        )
    }

    /// Keeps the report of a new state.
    fn note(&self, state: &mut State) {
        let pending = state.pending.iter();
        let pending: Vec<String> = pending
            .map(|(model, adapter)| format!("\"{model}/{adapter}@1\""))
            .collect();
        let report = format!(
            "{{\"busy\":{},\"seq\":{},\"queued\":0,\"running\":{},\"kvUsed\":0,\"kvTotal\":232000,\"handles\":0,\
             \"born\":{},\"pending\":[{}]{}}}",
            state.busy.is_some(),
            state.seq,
            state.running_count,
            self.inner.born,
            pending.join(","),
            self.holdings(state)
        );
        state.reports.push_back((Instant::now(), report));
    }

    fn report(&self) -> Answer {
        let mut state = self.inner.state.lock().unwrap();
        while state.reports.len() > 1 && state.reports[1].0.elapsed() >= REPORT_LAG {
            state.reports.pop_front();
        }
        Answer::json(200, state.reports[0].1.clone())
    }

    fn order(&self, request: &Request) -> Answer {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let text = |name| json_text(&body, name).unwrap_or_default().to_owned();
        let (operation, model, adapter) = (text("operation"), text("model"), text("adapter"));
        let fence = json_number(&body, "fencingToken").unwrap_or(0);
        let mut state = self.inner.state.lock().unwrap();
        let status = self.carry_out(
            &mut state,
            &operation,
            &model,
            &adapter,
            json_number(&body, "precondition"),
        );
        let order = Order {
            at: self.inner.record.now(),
            engine: self.inner.options.id.clone(),
            holder: text("holder"),
            fence,
            what: format!("{operation} {model} {adapter}"),
            status,
        };
        self.inner.record.line(&format!(
            "order at {}: {} from {} with fencing token {fence}, answered {status}",
            order.engine, order.what, order.holder
        ));
        state.orders.push(order);
        self.note(&mut state);
        Answer::new(status)
    }

    fn carry_out(
        &self,
        state: &mut State,
        operation: &str,
        model: &str,
        adapter: &str,
        precondition: Option<u64>,
    ) -> u16 {
        let Some(engine) = &self.inner.options.engine else {
            return 400;
        };
        if precondition.is_some_and(|seq| seq != state.seq) || state.busy.is_some() {
            return 409;
        }
        let Some(size) = engine.models.get(model).copied() else {
            return 400;
        };
        let held = state.models.contains_key(model);
        match (operation, adapter.is_empty()) {
            ("load", true) if held => return 200,
            ("load", true) => {
                let used: u64 = state
                    .models
                    .keys()
                    .filter_map(|name| engine.models.get(name))
                    .sum();
                if used + size > engine.weights_mb {
                    state.over_limit.push(model.into());
                }
                state.busy = Some(model.into());
                let (worker, model, time) = (self.clone(), model.to_owned(), engine.disk_load);
                thread::spawn(move || {
                    thread::sleep(time);
                    let mut state = worker.inner.state.lock().unwrap();
                    state.busy = None;
                    state.models.insert(model, BTreeSet::new());
                    worker.note(&mut state);
                });
            }
            ("unload", true) if !held => return 200,
            ("unload", true) => {
                state.busy = Some(model.into());
                let (worker, model) = (self.clone(), model.to_owned());
                thread::spawn(move || {
                    loop {
                        thread::sleep(Duration::from_millis(20));
                        let mut state = worker.inner.state.lock().unwrap();
                        if state.running.get(&model).copied().unwrap_or(0) == 0 {
                            state.busy = None;
                            state.models.remove(&model);
                            worker.note(&mut state);
                            return;
                        }
                    }
                });
            }
            ("load", false) => {
                if !held {
                    return 400;
                }
                let key = (model.to_owned(), adapter.to_owned());
                if state.models[model].contains(adapter) || state.pending.contains(&key) {
                    return 200;
                }
                let adapters: usize = state.models.values().map(BTreeSet::len).sum();
                if adapters + state.pending.len() >= engine.adapter_slots {
                    state.over_limit.push(format!("{model}/{adapter}"));
                }
                state.pending.insert(key.clone());
                let worker = self.clone();
                thread::spawn(move || {
                    thread::sleep(ADAPTER_LOAD);
                    let mut state = worker.inner.state.lock().unwrap();
                    state.pending.remove(&key);
                    if let Some(adapters) = state.models.get_mut(&key.0) {
                        adapters.insert(key.1);
                    }
                    worker.note(&mut state);
                });
            }
            ("unload", false) => {
                if let Some(adapters) = state.models.get_mut(model) {
                    adapters.remove(adapter);
                }
                state.seq += 1;
                return 200;
            }
            _ => return 400,
        }
        state.seq += 1;
        202
    }

    fn run(&self, request: &Request, stream: &mut TcpStream) -> Reply {
        let id = request
            .header("x-attempt-id")
            .unwrap_or_default()
            .to_owned();
        if id.is_empty() {
            return Reply::Whole(Answer::new(400).with_header("X-Not-Executed", "1"));
        }
        let model = request.header("x-model").unwrap_or_default();
        let (model, adapter) = model.split_once('/').unwrap_or((model, ""));
        {
            let mut state = self.inner.state.lock().unwrap();
            if self.inner.options.engine.is_some() {
                if state.busy.as_deref() == Some(model) {
                    return Reply::Whole(self.not_executed(503, &id));
                }
                let adapters = state.models.get(model);
                let held =
                    adapters.is_some_and(|held| adapter.is_empty() || held.contains(adapter));
                if !held {
                    return Reply::Whole(self.not_executed(421, &id));
                }
            }
            if state.running_count >= self.inner.options.slots {
                return Reply::Whole(self.not_executed(503, &id));
            }
            *state.running.entry(model.to_owned()).or_default() += 1;
            state.running_count += 1;
            let run = Run {
                at: self.inner.record.now(),
                worker: self.inner.options.id.clone(),
                id: id.clone(),
            };
            self.inner
                .record
                .line(&format!("run of {id} at {}", run.worker));
            state.runs.push(run);
        }
        let reply = match &self.inner.options.engine {
            Some(engine) => self.stream(engine, &id, request, stream),
            None => {
                thread::sleep(self.inner.options.work);
                Reply::Whole(
                    self.answer(200, &id)
                        .with_body(format!("{id} {}", "x".repeat(780)).into_bytes()),
                )
            }
        };
        let mut state = self.inner.state.lock().unwrap();
        if let Some(count) = state.running.get_mut(model) {
            *count -= 1;
        }
        state.running_count -= 1;
        reply
    }

    fn stream(
        &self,
        engine: &EngineOptions,
        id: &str,
        request: &Request,
        stream: &mut TcpStream,
    ) -> Reply {
        let last = request
            .header("last-event-id")
            .and_then(|last| last.parse().ok())
            .unwrap_or(0_u64);
        let mut head = String::from("HTTP/1.1 200 OK\r\n");
        for (name, value) in &self.answer(200, id).headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        let mut is_open = stream.write_all(head.as_bytes()).is_ok();
        for number in last + 1..=engine.events {
            thread::sleep(EVENT_INTERVAL);
            let event = format!("id: {number}\ndata: {id} {number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            is_open = is_open && stream.write_all(chunk.as_bytes()).is_ok();
            if !is_open {
                return Reply::Written(false);
            }
        }
        Reply::Written(stream.write_all(b"0\r\n\r\n").is_ok())
    }

    fn answer(&self, status: u16, id: &str) -> Answer {
        let load = self.inner.state.lock().unwrap().running_count;
        Answer::new(status)
            .with_header("X-Attempt-Id", id)
            .with_header("X-Instance-Id", &self.inner.options.id)
            .with_header(
                "X-Server-Seal",
                &format!("seal.{}.{id}", self.inner.options.id),
            )
            .with_header(
                "X-Server-Load",
                &format!("{load},0,{}", self.inner.options.slots),
            )
            .with_header("Keep-Alive", "timeout=5")
    }

    fn not_executed(&self, status: u16, id: &str) -> Answer {
        Answer::new(status)
            .with_header("X-Attempt-Id", id)
            .with_header("X-Instance-Id", &self.inner.options.id)
            .with_header("X-Not-Executed", "1")
    }
}

impl http::Handler for Worker {
    fn handle(&self, request: Request, stream: &mut TcpStream) -> Reply {
        let expected = request.header("x-expect-instance");
        if expected.is_some_and(|expected| expected != self.inner.options.id) {
            let id = request.header("x-attempt-id").unwrap_or_default();
            return Reply::Whole(self.not_executed(421, id));
        }
        match (request.method.as_str(), request.path()) {
            ("GET", "/health") => {
                let id = &self.inner.options.id;
                Reply::Whole(Answer::new(200).with_header("X-Instance-Id", id))
            }
            ("GET", "/v1/report") => Reply::Whole(self.report()),
            ("POST", "/v1/order") => Reply::Whole(self.order(&request)),
            _ => self.run(&request, stream),
        }
    }
}
