//! Stand-in for a backend server (a worker) of the users' platform: a model engine or a plain service.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use hyper::{Response, StatusCode};
use serde::Deserialize;
use serde_json::{Value, json};
use smol_str::SmolStr;
use tokio::net::TcpListener;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, watch};
use tokio::time;

use super::configuration::HEALTH_PATH;
use super::line::Line;
use super::store::{SERVERS, record};
use super::{empty_answer, set_header};
use crate::{client, clock, fault, http};

/// Default time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(5);
/// Duration of a pause within a stream. It exceeds the maximum event gap of a route, like the pause of an engine that
/// runs out of memory and repeats the prefill of a prompt.
pub const STREAM_PAUSE: Duration = Duration::from_secs(2);
/// Number of events in a stream.
pub const EVENTS: u64 = 6;
/// Default number of requests that run concurrently, which directory entries contain.
const DEFAULT_SLOTS: usize = 8;

/// Time between the head of an answer and the crash of a worker that crashes on it, in which the head is flushed.
const CRASH_DELAY: Duration = Duration::from_millis(2);
/// Exit code of a process whose worker has crashed.
const CRASH_EXIT_CODE: i32 = 139;

/// Default version of the software.
const DEFAULT_VERSION: &str = "v1";

/// Settings of a worker.
#[derive(Clone, Debug)]
pub struct Options {
    /// Duration of a load from the weight store.
    pub load: Duration,
    /// Duration of a load from the worker's disk.
    pub disk_load: Duration,
    /// Time from the start of a run to the first event of its stream, or to the answer of a plain service.
    pub run: Duration,
    /// Time between two events of a stream.
    pub event_interval: Duration,
    /// Bytes of the data of an event beyond the few that name it.
    pub event_padding: usize,
    /// Number of requests that run concurrently.
    pub slots: usize,
    /// Number of requests that may wait for a slot before further requests are refused.
    pub queue: usize,
    /// Size of each model in MB; 0 for a worker without a memory limit.
    pub model_mb: u64,
    /// Memory for weights in MB.
    pub weights_mb: u64,
    /// Version of the software. Events name it if it is not the default.
    pub version: SmolStr,
    /// Whether the worker writes its events to standard output, one [`Line`] each.
    pub prints_lines: bool,
    /// The requests on which the worker crashes once it has begun an answer.
    pub trigger: Option<Trigger>,
    /// The number of events of its stream after which a request crashes the worker.
    pub events_before_crash: u64,
    /// The interval between runs that fail, in runs; `None` if none does by itself.
    pub failure_interval: Option<usize>,
    /// The model on which the worker crashes at the end of a load.
    pub crash_model: Option<SmolStr>,
}

/// What the requests have on which a worker crashes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Trigger {
    /// All of these parts in their prompts, wherever.
    Parts(Vec<SmolStr>),
    /// This body.
    Body(SmolStr),
}

impl Trigger {
    /// One part of prompts.
    #[must_use]
    pub fn part(name: &str) -> Self {
        Self::Parts(vec![name.into()])
    }

    fn fires(&self, request: &http::Request) -> bool {
        match self {
            Self::Parts(names) => {
                let prompt = request.header("x-prompt-prefix").unwrap_or_default();
                let mut names = names.iter();
                names.all(|name| {
                    let mut parts = prompt.split(',').filter_map(|part| part.split(':').next());
                    parts.any(|part| part == name)
                })
            }
            Self::Body(body) => request.body.as_ref() == body.as_bytes(),
        }
    }
}

impl Default for Options {
    fn default() -> Self {
        Self {
            load: Duration::ZERO,
            disk_load: Duration::ZERO,
            run: Duration::ZERO,
            event_interval: EVENT_INTERVAL,
            event_padding: 0,
            slots: DEFAULT_SLOTS,
            queue: usize::MAX,
            model_mb: 0,
            weights_mb: 0,
            version: DEFAULT_VERSION.into(),
            prints_lines: false,
            trigger: None,
            events_before_crash: 0,
            failure_interval: None,
            crash_model: None,
        }
    }
}

/// A cloneable handle to a worker.
#[derive(Clone, Debug)]
pub struct Worker {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    id: SmolStr,
    service: SmolStr,
    injector: fault::Injector,
    options: Options,
    started_ms: u64,
    slots: Arc<Semaphore>,
    has_crashed: watch::Sender<bool>,
    state: Mutex<State>,
}

/// An order that a worker has accepted.
#[derive(Clone, Debug)]
pub struct AcceptedOrder {
    /// When it arrived.
    pub at: time::Instant,
    /// The lease holder that sent it.
    pub holder: SmolStr,
}

#[derive(Debug, Default)]
struct State {
    orders: u64,
    accepted_orders: Vec<AcceptedOrder>,
    /// The highest fencing token seen.
    highest_fencing: u64,
    /// Whether a load is in progress.
    busy: bool,
    /// Sequence number of the last directory entry.
    entry_seq: u64,
    running: usize,
    waiting: usize,
    models: BTreeMap<SmolStr, BTreeSet<SmolStr>>,
    on_disk: BTreeSet<SmolStr>,
    runs: BTreeMap<SmolStr, u64>,
    taken: Vec<Taken>,
    switches: Switches,
    deliveries: Deliveries,
    /// Bytes of the answers of a plain service beyond the few that name the worker.
    answer_padding: usize,
    /// Limit in requests per second that answers contain, if any.
    limit: Option<f64>,
    /// The number of rejections in a second that a brittle worker tolerates, which all answers contain; `None` if it is
    /// not brittle.
    brittle: Option<u32>,
    /// Times at which requests were rejected for want of room.
    rejections: Vec<time::Instant>,
    has_crashed_on_request: bool,
    /// Whether all answers say that the worker leaves.
    leaving: bool,
    /// The rest that the worker asks for when it turns a call away; `None` while it accepts calls.
    rest: Option<Duration>,
    /// Number of calls that were turned away because of a rest.
    turned_away: usize,
    /// Requests that arrived, including refused ones.
    arrivals: Vec<Arrival>,
    /// Times at which any calls arrived: requests, orders and requests for reports.
    calls: Vec<time::Instant>,
}

/// The faults of a worker. Each switch counts down by one when its fault occurs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Switches {
    /// Number of streams that end within their third event.
    pub cut_streams: u32,
    /// Number of streams that pause for [`STREAM_PAUSE`] before their third event.
    pub pause_streams: u32,
    /// Number of requests that are refused as not executed.
    pub refuse: u32,
    /// Number of requests that run and are answered with status 500.
    pub fail: u32,
    /// Number of responses with the attempt id of another request.
    pub cross: u32,
    /// Number of requests that run and are answered with the refusal of another request.
    pub cross_refusals: u32,
    /// Number of responses without the worker's seal.
    pub unsealed: u32,
}

/// How the worker delivers an answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Delivery {
    /// The answer states neither a length nor chunks, and ends with its connection.
    pub until_close: bool,
    /// Where the answer breaks off; `None` if it is whole.
    pub cut: Option<Cut>,
    /// The connection of an answer that breaks off is reset. Otherwise it is closed in order.
    pub resets: bool,
}

/// Returns the versions of the workers that have written a stream's events. A sound stream has one.
#[must_use]
pub fn versions(events: &str) -> BTreeSet<&str> {
    let events = events.split("\n\n").filter(|event| event.contains("id: "));
    events
        .map(|event| {
            let mut lines = event.lines();
            let version = lines.find_map(|line| line.strip_prefix("version: "));
            version.unwrap_or(DEFAULT_VERSION)
        })
        .collect()
}

/// How the answers are delivered in turn that state neither a length nor chunks.
const UNSTATED: [Delivery; 6] = [
    unstated(None, false),
    unstated(Some(Cut::BeforeFirstByte), false),
    unstated(Some(Cut::WithinEvent), false),
    unstated(Some(Cut::AfterEvent), false),
    unstated(Some(Cut::WithinEvent), true),
    unstated(Some(Cut::AfterEvent), true),
];

const fn unstated(cut: Option<Cut>, resets: bool) -> Delivery {
    Delivery {
        until_close: true,
        cut,
        resets,
    }
}

/// A cloneable handle to how the next answers of workers are delivered.
#[derive(Clone, Debug, Default)]
pub struct Deliveries(Arc<Mutex<VecDeque<Delivery>>>);

impl Deliveries {
    /// Adds how the next answer is delivered after those that were added before.
    pub fn push(&self, delivery: Delivery) {
        self.lock().push_back(delivery);
    }

    /// Removes how answers are to be delivered that have not begun.
    pub fn clear(&self) {
        self.lock().clear();
    }

    fn take(&self) -> Delivery {
        self.lock().pop_front().unwrap_or_default()
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<Delivery>> {
        self.0.lock().expect("no panic under the lock")
    }
}

/// Where an answer breaks off.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cut {
    /// After the head.
    BeforeFirstByte,
    /// Within the third event of a stream; before the last byte of another answer.
    WithinEvent,
    /// Before the last byte of the third event of a stream, which ends an empty line; before the last byte of another
    /// answer.
    BeforeLastByteOfEvent,
    /// After the third event of a stream; before the last byte of another answer.
    AfterEvent,
}

/// A request that has arrived.
#[derive(Clone, Debug)]
struct Arrival {
    at: time::Instant,
    id: SmolStr,
}

/// A request that the worker has run.
#[derive(Clone, Debug)]
pub struct Taken {
    /// Path with the query.
    pub target: String,
    /// Headers.
    pub headers: hyper::HeaderMap,
    /// Body.
    pub body: Bytes,
}

#[derive(Deserialize)]
struct Order {
    operation: SmolStr,
    model: SmolStr,
    adapter: Option<SmolStr>,
    holder: SmolStr,
    precondition: Option<u64>,
    #[serde(rename = "fencingToken")]
    fencing_token: u64,
}

impl Worker {
    /// Creates a worker of `service` for which each load of a model takes `load`.
    #[must_use]
    pub fn new(id: &str, service: &str, load: Duration) -> Self {
        let options = Options {
            load,
            disk_load: load,
            ..Options::default()
        };
        Self::with_options(id, service, options)
    }

    /// Creates a worker of `service` with a version of the software, for which each load of a model takes `load`.
    #[must_use]
    pub fn with_version(id: &str, service: &str, load: Duration, version: &str) -> Self {
        let options = Options {
            load,
            disk_load: load,
            version: version.into(),
            ..Options::default()
        };
        Self::with_options(id, service, options)
    }

    /// Creates a worker of `service` that starts now.
    #[must_use]
    pub fn with_options(id: &str, service: &str, options: Options) -> Self {
        let inner = Inner {
            id: id.into(),
            service: service.into(),
            injector: fault::Injector::new(fault::Switches::default()),
            slots: Arc::new(Semaphore::new(options.slots)),
            started_ms: clock::unix_ms(),
            has_crashed: watch::Sender::new(false),
            options,
            state: Mutex::default(),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Adds a model on the worker's disk.
    #[must_use]
    pub fn with_on_disk(self, model: &str) -> Self {
        self.lock().on_disk.insert(model.into());
        self
    }

    /// Adds a model in memory and on disk.
    #[must_use]
    pub fn with_model(self, model: &str) -> Self {
        let mut state = self.lock();
        state.on_disk.insert(model.into());
        state.models.insert(model.into(), BTreeSet::new());
        drop(state);
        self
    }

    /// Serves until the future is dropped.
    ///
    /// # Errors
    /// If the listener fails.
    pub async fn serve(self, listener: TcpListener) -> anyhow::Result<()> {
        http::serve(listener, self).await
    }

    /// Returns the id of the worker.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.inner.id
    }

    /// Returns a new entry of the worker for the directory.
    #[must_use]
    pub fn entry(&self, address: SocketAddr, state: &str) -> Vec<u8> {
        let mut entry = self.build_report();
        let seq = {
            let mut state = self.lock();
            state.entry_seq += 1;
            state.entry_seq
        };
        let fields = json!({
            "service": self.inner.service, "address": address, "zone": "z1", "version": self.inner.options.version,
            "slots": self.inner.options.slots, "state": state, "coldLeftMs": 0, "seq": seq,
            "born": self.inner.started_ms,
        });
        if let (Value::Object(entry), Value::Object(fields)) = (&mut entry, fields) {
            entry.extend(fields);
        }
        entry.to_string().into_bytes()
    }

    /// Writes the worker's directory entry to the store once per `interval`, until the future is dropped. The entry has
    /// the state `draining` while the switch `leaving` is set.
    pub async fn publish_entries(self, store: SocketAddr, address: SocketAddr, interval: Duration) {
        let client = client::Client::new();
        let url = format!("http://{store}/v1/log-append?topic={SERVERS}&part=0");
        loop {
            let leaving = self.inner.injector.switches().leaving;
            let state = if leaving { "draining" } else { "ready" };
            let entry = self.entry(address, state);
            // If the store does not answer, the next interval retries.
            let _ = time::timeout(interval, client.post(&url, record(self.id(), &entry))).await;
            time::sleep(interval).await;
        }
    }

    /// Sets the faults of the worker.
    pub fn set_switches(&self, switches: Switches) {
        self.lock().switches = switches;
    }

    /// Shares the faults of deliveries with other workers.
    #[must_use]
    pub fn with_deliveries(self, deliveries: &Deliveries) -> Self {
        self.lock().deliveries = deliveries.clone();
        self
    }

    /// Sets the bytes of the answers of a plain service beyond the few that name the worker.
    #[must_use]
    pub fn with_answer_padding(self, bytes: usize) -> Self {
        self.lock().answer_padding = bytes;
        self
    }

    /// Sets the limit in requests per second that all further answers contain; `None` removes it.
    pub fn set_limit(&self, per_second: Option<f64>) {
        self.lock().limit = per_second;
    }

    /// Sets the number of rejections in a second that the worker tolerates, which all further answers contain; `None` if it
    /// is not brittle.
    pub fn set_brittle(&self, tolerated: Option<u32>) {
        self.lock().brittle = tolerated;
    }

    /// Returns the largest number of requests that were rejected for want of room within a second. A brittle worker falls
    /// over if it exceeds what the worker tolerates.
    #[must_use]
    pub fn most_rejections(&self) -> usize {
        let rejections = self.lock().rejections.clone();
        let within_second = |first: &time::Instant| {
            let later = rejections.iter().filter(|at| *at >= first);
            later
                .filter(|at| **at - *first < Duration::from_secs(1))
                .count()
        };
        rejections
            .iter()
            .map(within_second)
            .max()
            .unwrap_or_default()
    }

    /// Sets whether all further answers say that the worker leaves.
    pub fn set_leaving(&self, leaving: bool) {
        self.lock().leaving = leaving;
    }

    /// Turns all further calls away and asks for this rest; `None` accepts them again.
    pub fn set_rest(&self, rest: Option<Duration>) {
        self.lock().rest = rest;
    }

    /// Returns the number of calls that were turned away because of a rest.
    #[must_use]
    pub fn turned_away(&self) -> usize {
        self.lock().turned_away
    }

    /// Returns the times at which any calls arrived: requests, orders and requests for reports.
    #[must_use]
    pub fn calls(&self) -> Vec<time::Instant> {
        self.lock().calls.clone()
    }

    /// Returns the times at which requests arrived, including refused ones.
    #[must_use]
    pub fn arrivals(&self) -> Vec<time::Instant> {
        self.arrivals_of("")
    }

    /// Returns the times at which requests arrived whose attempt ids begin with `prefix`, including refused ones.
    #[must_use]
    pub fn arrivals_of(&self, prefix: &str) -> Vec<time::Instant> {
        let state = self.lock();
        let arrivals = state.arrivals.iter();
        let arrivals = arrivals.filter(|arrival| arrival.id.starts_with(prefix));
        arrivals.map(|arrival| arrival.at).collect()
    }

    /// Changes the fault switches that all stand-ins have.
    pub fn set_faults(&self, change: &fault::Change) {
        self.inner.injector.apply(change);
    }

    /// Crashes the worker.
    pub fn crash(&self) {
        self.inner.has_crashed.send_replace(true);
    }

    /// Whether a request has crashed the worker.
    #[must_use]
    pub fn has_crashed_on_request(&self) -> bool {
        self.lock().has_crashed_on_request
    }

    /// Waits until the worker has crashed.
    pub async fn crashed(&self) {
        let mut has_crashed = self.inner.has_crashed.subscribe();
        // The sender lives as long as `self`.
        let _ = has_crashed.wait_for(|has_crashed| *has_crashed).await;
    }

    /// Returns the number of runs of a request, given its attempt id.
    #[must_use]
    pub fn runs(&self, id: &str) -> u64 {
        self.lock().runs.get(id).copied().unwrap_or_default()
    }

    /// Returns the accepted orders, the oldest first.
    #[must_use]
    pub fn accepted_orders(&self) -> Vec<AcceptedOrder> {
        self.lock().accepted_orders.clone()
    }

    /// Returns the requests that have run, in order of their start.
    #[must_use]
    pub fn taken(&self) -> Vec<Taken> {
        self.lock().taken.clone()
    }

    /// Returns the number of orders that were accepted.
    #[must_use]
    pub fn orders(&self) -> u64 {
        self.lock().orders
    }

    /// Whether a model is loaded in memory.
    #[must_use]
    pub fn holds(&self, model: &str) -> bool {
        self.lock().models.contains_key(model)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.inner.state.lock().expect("no panic under the lock")
    }

    fn print(&self, line: &Line) {
        if self.inner.options.prints_lines {
            line.write_to(&mut io::stdout().lock())
                .expect("standard output is open");
        }
    }

    fn build_report(&self) -> Value {
        let state = self.lock();
        let models: Vec<_> = state
            .models
            .iter()
            .map(|(name, adapters)| json!({"name": name, "version": 1, "adapters": adapters}))
            .collect();
        json!({
            "stage": "both", "models": models, "busy": state.busy, "seq": state.orders, "pending": [],
            "available": {"inMemory": [], "onDisk": state.on_disk}, "queued": state.waiting,
            "running": state.running, "born": self.inner.started_ms,
        })
    }

    fn execute_order(&self, order: &Order) -> StatusCode {
        let mut state = self.lock();
        if order.fencing_token < state.highest_fencing {
            return StatusCode::PRECONDITION_FAILED;
        }
        state.highest_fencing = order.fencing_token;
        let outdated = order
            .precondition
            .is_some_and(|orders| orders != state.orders);
        if state.busy || outdated {
            return StatusCode::CONFLICT;
        }
        state.orders += 1;
        state.accepted_orders.push(AcceptedOrder {
            at: time::Instant::now(),
            holder: order.holder.clone(),
        });
        self.print(&Line::Order(order.holder.clone(), order.fencing_token));
        match (order.operation.as_str(), &order.adapter) {
            ("load", None) => {
                let options = &self.inner.options;
                let models = state.models.len() as u64 + 1;
                if options.model_mb * models > options.weights_mb {
                    self.print(&Line::Overcommitted);
                }
                state.busy = true;
                let on_disk = state.on_disk.contains(&order.model);
                tokio::spawn(self.clone().load_model(order.model.clone(), on_disk));
            }
            ("load", Some(adapter)) => {
                let Some(adapters) = state.models.get_mut(&order.model) else {
                    return StatusCode::MISDIRECTED_REQUEST;
                };
                adapters.insert(adapter.clone());
            }
            ("unload", None) => {
                state.models.remove(&order.model);
            }
            ("unload", Some(adapter)) => {
                if let Some(adapters) = state.models.get_mut(&order.model) {
                    adapters.remove(adapter);
                }
                return StatusCode::OK;
            }
            _ => return StatusCode::BAD_REQUEST,
        }
        StatusCode::ACCEPTED
    }

    async fn load_model(self, model: SmolStr, on_disk: bool) {
        if on_disk {
            time::sleep(self.inner.options.disk_load).await;
        } else {
            self.print(&Line::Fetch);
            time::sleep(self.inner.options.load).await;
        }
        if self.inner.options.crash_model.as_ref() == Some(&model) {
            self.crash();
            return;
        }
        let mut state = self.lock();
        state.busy = false;
        state.on_disk.insert(model.clone());
        state.models.insert(model, BTreeSet::new());
    }

    /// Refuses a request that expects another worker.
    fn refuse_misdirected(&self, request: &http::Request) -> Option<http::Answer> {
        let expected = request.header("x-expect-instance");
        expected.filter(|expected| *expected != self.inner.id)?;
        let mut answer = empty_answer(StatusCode::MISDIRECTED_REQUEST);
        set_header(&mut answer, "x-instance-id", &self.inner.id);
        Some(answer)
    }

    /// Answers a call that is for this worker.
    async fn answer(&self, request: &http::Request) -> http::Answer {
        self.lock().calls.push(time::Instant::now());
        match request.path.as_str() {
            HEALTH_PATH => {
                let mut answer = empty_answer(StatusCode::OK);
                set_header(&mut answer, "x-instance-id", &self.inner.id);
                answer
            }
            "/v1/report" => match self.shed() {
                Some(refusal) => refusal,
                None => http::json(StatusCode::OK, &self.build_report()),
            },
            "/v1/order" => match (self.shed(), request.json::<Order>()) {
                (Some(refusal), _) | (None, Err(refusal)) => refusal,
                (None, Ok(order)) => empty_answer(self.execute_order(&order)),
            },
            _ => {
                let arrival = Arrival {
                    at: time::Instant::now(),
                    id: request.header("x-attempt-id").unwrap_or_default().into(),
                };
                self.lock().arrivals.push(arrival);
                match self.refuse_before_run(request) {
                    Some(refusal) => refusal,
                    None => self.run(request).await.unwrap_or_else(not_executed),
                }
            }
        }
    }

    /// Turns a call away while the worker asks for a rest.
    fn shed(&self) -> Option<http::Answer> {
        let mut state = self.lock();
        let rest = state.rest?;
        state.turned_away += 1;
        drop(state);
        let mut answer = not_executed();
        set_header(&mut answer, "retry-after", &rest.as_secs_f64().to_string());
        Some(answer)
    }

    /// Refuses a request that cannot run here, with an answer that shows that it was not executed.
    fn refuse_before_run(&self, request: &http::Request) -> Option<http::Answer> {
        if let Some(refusal) = self.shed() {
            return Some(refusal);
        }
        let mut state = self.lock();
        if try_consume(&mut state.switches.refuse) {
            return Some(not_executed());
        }
        let model = request.header("x-model")?;
        let (model, adapter) = model
            .split_once('/')
            .map_or((model, None), |(model, adapter)| (model, Some(adapter)));
        let adapters = state.models.get(model);
        let is_loaded = adapters
            .is_some_and(|adapters| adapter.is_none_or(|adapter| adapters.contains(adapter)));
        (!is_loaded).then(|| empty_answer(StatusCode::MISDIRECTED_REQUEST))
    }

    /// Runs a request once a slot is free. Returns `None` if too many requests wait.
    async fn run(&self, request: &http::Request) -> Option<http::Answer> {
        let waiting = self.enter_queue()?;
        let slot = Arc::clone(&self.inner.slots).acquire_owned().await.ok()?;
        drop(waiting);
        let running = RunningGuard::new(self.clone(), slot);
        let id: SmolStr = request.header("x-attempt-id").unwrap_or_default().into();
        self.print(&Line::Run(id.clone()));
        let (faults, delivery) = self.start_run(&id, request);
        time::sleep(self.inner.options.run).await;
        if faults.cross_refusals > 0 {
            let mut answer = not_executed();
            set_header(&mut answer, "x-attempt-id", "another");
            return Some(answer);
        }
        let mut answer = if self.crashes_on(request) {
            self.begin_and_crash(request, running)
        } else if faults.fail > 0 {
            empty_answer(StatusCode::INTERNAL_SERVER_ERROR)
        } else if request.header("x-model").is_some() {
            stream_events(
                last_event(request),
                faults,
                delivery,
                &self.inner.options,
                running,
            )
        } else {
            let padding = "x".repeat(self.lock().answer_padding);
            let body = json!({"by": self.inner.id, "body": request.body.len(), "padding": padding});
            deliver(http::json(StatusCode::OK, &body), delivery)
        };
        let echoed_id = if faults.cross > 0 { "another" } else { &id };
        set_header(&mut answer, "x-attempt-id", echoed_id);
        if faults.unsealed == 0 {
            let seal = format!("seal-of-{}", self.inner.id);
            set_header(&mut answer, "x-server-seal", &seal);
        }
        set_header(&mut answer, "x-server-load", "1,0,8");
        Some(answer)
    }

    fn crashes_on(&self, request: &http::Request) -> bool {
        let trigger = self.inner.options.trigger.as_ref();
        trigger.is_some_and(|trigger| trigger.fires(request))
    }

    /// Begins an answer and crashes before the first byte of its body, or after some events.
    fn begin_and_crash(&self, request: &http::Request, running: RunningGuard) -> http::Answer {
        let (sender, parts) = mpsc::channel(1);
        let worker = self.clone();
        let after = last_event(request);
        tokio::spawn(async move {
            let options = &worker.inner.options;
            for id in after + 1..=after + options.events_before_crash {
                time::sleep(options.event_interval).await;
                let event = format!("id: {id}\ndata: t{id}\n\n");
                // The caller may have left; the crash comes all the same.
                let _ = sender.send(Ok(event.into())).await;
            }
            time::sleep(CRASH_DELAY).await;
            worker.lock().has_crashed_on_request = true;
            worker.crash();
            if worker.inner.options.prints_lines {
                std::process::exit(CRASH_EXIT_CODE);
            }
            // The connection must not end before the process does.
            std::future::pending::<()>().await;
            drop((sender, running));
        });
        let mut answer = Response::new(http::Body::Parts(parts));
        set_header(&mut answer, "content-type", "text/event-stream");
        answer
    }

    fn enter_queue(&self) -> Option<WaitingGuard> {
        let mut state = self.lock();
        if state.waiting > self.inner.options.queue {
            state.rejections.push(time::Instant::now());
            return None;
        }
        state.waiting += 1;
        Some(WaitingGuard(self.clone()))
    }

    /// Records the start of a run and returns the faults that apply to it.
    fn start_run(&self, id: &SmolStr, request: &http::Request) -> (Switches, Delivery) {
        let mut state = self.lock();
        *state.runs.entry(id.clone()).or_default() += 1;
        state.taken.push(Taken {
            target: format!("{}?{}", request.path, request.query),
            headers: request.headers.clone(),
            body: request.body.clone(),
        });
        let interval = self.inner.options.failure_interval;
        let is_due = interval.is_some_and(|interval| state.taken.len().is_multiple_of(interval));
        let fail = try_consume(&mut state.switches.fail) || is_due;
        let streams = request.header("x-model").is_some() && !fail;
        let delivery = match self
            .inner
            .injector
            .try_consume(|switches| &mut switches.end_unstated)
        {
            true => UNSTATED[state.taken.len() % UNSTATED.len()],
            false => state.deliveries.take(),
        };
        let faults = Switches {
            cut_streams: u32::from(streams && try_consume(&mut state.switches.cut_streams)),
            pause_streams: u32::from(streams && try_consume(&mut state.switches.pause_streams)),
            refuse: 0,
            fail: u32::from(fail),
            cross: u32::from(try_consume(&mut state.switches.cross)),
            cross_refusals: u32::from(try_consume(&mut state.switches.cross_refusals)),
            unsealed: u32::from(try_consume(&mut state.switches.unsealed)),
        };
        (faults, delivery)
    }
}

/// Counts a request as waiting for a slot until it is dropped.
struct WaitingGuard(Worker);

impl Drop for WaitingGuard {
    fn drop(&mut self) {
        self.0.lock().waiting -= 1;
    }
}

/// Counts a request as running and holds its slot until it is dropped.
struct RunningGuard {
    worker: Worker,
    _slot: OwnedSemaphorePermit,
}

impl RunningGuard {
    fn new(worker: Worker, slot: OwnedSemaphorePermit) -> Self {
        worker.lock().running += 1;
        Self {
            worker,
            _slot: slot,
        }
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.worker.lock().running -= 1;
    }
}

impl http::Handler for Worker {
    type Counts = u64;

    fn injector(&self) -> &fault::Injector {
        &self.inner.injector
    }

    fn counts(&self) -> u64 {
        self.orders()
    }

    fn has_effect(&self, request: &http::Request) -> bool {
        !["/v1/report", HEALTH_PATH].contains(&request.path.as_str())
    }

    async fn call(self: Arc<Self>, request: http::Request) -> Result<http::Answer, http::Lost> {
        let mut answer = match self.refuse_misdirected(&request) {
            Some(refusal) => refusal,
            None => self.answer(&request).await,
        };
        let is_leaving = self.inner.injector.switches().leaving;
        let state = self.lock();
        if let Some(limit) = state.limit {
            set_header(&mut answer, "server-limit", &limit.to_string());
        }
        if let Some(tolerated) = state.brittle {
            set_header(&mut answer, "server-brittle", &tolerated.to_string());
        }
        if state.leaving || is_leaving {
            set_header(&mut answer, "server-leaving", "1");
        }
        drop(state);
        Ok(answer)
    }
}

/// The id of the event after which the stream of a request begins.
fn last_event(request: &http::Request) -> u64 {
    let id = request.header("last-event-id");
    id.and_then(|id| id.parse().ok()).unwrap_or_default()
}

/// Streams the events after the one with id `after`. With the fault `cut_streams`, the connection breaks within the
/// third of them.
fn stream_events(
    after: u64,
    faults: Switches,
    delivery: Delivery,
    options: &Options,
    running: RunningGuard,
) -> http::Answer {
    let interval = options.event_interval;
    let mark = match options.version.as_str() {
        DEFAULT_VERSION => String::new(),
        version => format!("version: {version}\n"),
    };
    let padding = "x".repeat(options.event_padding);
    let cut = match faults.cut_streams {
        0 => delivery.cut,
        _ => Some(Cut::WithinEvent),
    };
    let delivery = Delivery { cut, ..delivery };
    let (sender, parts) = mpsc::channel(1);
    tokio::spawn(async move {
        for id in after + 1..=EVENTS {
            time::sleep(interval).await;
            if faults.pause_streams > 0 && id == after + 3 {
                time::sleep(STREAM_PAUSE).await;
            }
            let event = format!("id: {id}\n{mark}data: t{id}{padding}\n\n");
            let kept = match cut {
                Some(Cut::BeforeFirstByte) => Some(0),
                Some(Cut::WithinEvent) if id == after + 3 => Some(5),
                Some(Cut::BeforeLastByteOfEvent) if id == after + 3 => Some(event.len() - 1),
                Some(Cut::AfterEvent) if id == after + 3 => Some(event.len()),
                _ => None,
            };
            let part = event[..kept.unwrap_or(event.len())].to_owned();
            if sender.send(Ok(part.into())).await.is_err() {
                break;
            }
            if kept.is_some() {
                break_off(&sender, delivery, interval).await;
                break;
            }
        }
        drop(running);
    });
    let mut answer = Response::new(http::Body::Parts(parts));
    set_header(&mut answer, "content-type", "text/event-stream");
    mark_delivery(&mut answer, delivery);
    answer
}

/// Delivers a whole answer that isn't a stream.
fn deliver(answer: http::Answer, delivery: Delivery) -> http::Answer {
    let (head, body) = answer.into_parts();
    let body = match body {
        http::Body::Full(bytes) if delivery != Delivery::default() => {
            let (sender, parts) = mpsc::channel(1);
            tokio::spawn(async move {
                let kept = match delivery.cut {
                    None => bytes.len(),
                    Some(Cut::BeforeFirstByte) => 0,
                    Some(_) => bytes.len().saturating_sub(1),
                };
                let sent = sender.send(Ok(bytes.slice(..kept))).await;
                if sent.is_ok() && delivery.cut.is_some() {
                    break_off(&sender, delivery, EVENT_INTERVAL).await;
                }
            });
            http::Body::Parts(parts)
        }
        body => body,
    };
    let mut answer = Response::from_parts(head, body);
    mark_delivery(&mut answer, delivery);
    answer
}

/// Breaks an answer off. An answer that ends with its connection simply ends, unless the connection is reset.
async fn break_off(
    sender: &mpsc::Sender<Result<Bytes, http::Lost>>,
    delivery: Delivery,
    delay: Duration,
) {
    if delivery.until_close && !delivery.resets {
        return;
    }
    // What was sent before is flushed meanwhile.
    time::sleep(delay).await;
    // The client may have disconnected already.
    let _ = sender.send(Err(http::Lost)).await;
}

fn mark_delivery(answer: &mut http::Answer, delivery: Delivery) {
    if delivery.until_close {
        http::end_with_connection(answer);
    }
    if delivery.resets {
        http::reset_on_failure(answer);
    }
}

/// Returns the refusal of a request that was not executed.
fn not_executed() -> http::Answer {
    let mut answer = empty_answer(StatusCode::SERVICE_UNAVAILABLE);
    set_header(&mut answer, "x-not-executed", "1");
    answer
}

/// Decrements a counted switch. Returns false if it is already zero.
fn try_consume(count: &mut u32) -> bool {
    let available = *count > 0;
    *count = count.saturating_sub(1);
    available
}
