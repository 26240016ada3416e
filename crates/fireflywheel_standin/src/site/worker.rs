//! A worker of the users' platform: a model engine or a plain service.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use hyper::{Response, StatusCode};
use serde::Deserialize;
use serde_json::{Value, json};
use smol_str::SmolStr;
use tokio::net::TcpListener;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::time;

use super::line::Line;
use super::store::{SERVERS, record};
use super::{bare, set};
use crate::{client, clock, fault, http};

/// Time between two events of a stream.
const STEP: Duration = Duration::from_millis(5);
/// A pause of a stream that goes on after it: longer than a route's pauses, as when an engine runs out of memory and reads a
/// prompt anew.
pub const PAUSE: Duration = Duration::from_secs(2);
/// Events of a stream.
pub const EVENTS: u64 = 6;
/// Requests that run at once, as entries say.
const SLOTS: usize = 8;

/// How a worker is made.
#[derive(Clone, Debug)]
pub struct Options {
    /// How long a load from the weight store takes.
    pub load: Duration,
    /// How long a load from its own disk takes.
    pub disk_load: Duration,
    /// From the start of a run to its first event, or to the end of a plain one.
    pub run: Duration,
    /// Time between two events of a stream.
    pub step: Duration,
    /// Requests that run at once.
    pub slots: usize,
    /// Requests that wait beyond these; more are refused.
    pub queue: usize,
    /// The size of each model, in MB; 0 for a worker without a limit.
    pub model_mb: u64,
    /// Memory for weights, in MB.
    pub weights_mb: u64,
    /// Writes what it does to standard output, a line each; see [`Line`].
    pub tells: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            load: Duration::ZERO,
            disk_load: Duration::ZERO,
            run: Duration::ZERO,
            step: STEP,
            slots: SLOTS,
            queue: usize::MAX,
            model_mb: 0,
            weights_mb: 0,
            tells: false,
        }
    }
}

/// A handle to a worker.
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
    born_ms: u64,
    slots: Arc<Semaphore>,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    orders: u64,
    fence: u64,
    busy: bool,
    entries: u64,
    running: usize,
    waiting: usize,
    models: BTreeMap<SmolStr, BTreeSet<SmolStr>>,
    on_disk: BTreeSet<SmolStr>,
    runs: BTreeMap<SmolStr, u64>,
    taken: Vec<Taken>,
    switches: Switches,
    /// Requests a second that it says it takes.
    limit: Option<f64>,
    /// When requests for it came, also those that it refused.
    arrivals: Vec<time::Instant>,
}

/// What a worker does wrong; each counts down.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Switches {
    /// Streams that break off within their third event.
    pub cut_streams: u32,
    /// Streams that pause for [`PAUSE`] before their third event.
    pub pause_streams: u32,
    /// Requests refused as not run.
    pub refuse: u32,
    /// Requests that run and are answered with 500.
    pub fail: u32,
    /// Responses with the id of another request.
    pub cross: u32,
    /// Responses without the worker's seal.
    pub unsealed: u32,
}

/// A request that was carried out.
#[derive(Clone, Debug)]
pub struct Taken {
    /// Its path with the query.
    pub target: String,
    /// Its headers.
    pub headers: hyper::HeaderMap,
    /// Its body.
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
    fence: u64,
}

impl Worker {
    /// A worker of `service` that takes `load` for each load of a model.
    #[must_use]
    pub fn new(id: &str, service: &str, load: Duration) -> Self {
        let options = Options {
            load,
            disk_load: load,
            ..Options::default()
        };
        Self::with_options(id, service, options)
    }

    /// A worker of `service` that was born now.
    #[must_use]
    pub fn with_options(id: &str, service: &str, options: Options) -> Self {
        let inner = Inner {
            id: id.into(),
            service: service.into(),
            injector: fault::Injector::new(fault::Switches::default()),
            slots: Arc::new(Semaphore::new(options.slots)),
            born_ms: clock::unix_ms(),
            options,
            state: Mutex::default(),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// The same with a copy of a model on its disk.
    #[must_use]
    pub fn with_on_disk(self, model: &str) -> Self {
        self.lock().on_disk.insert(model.into());
        self
    }

    /// The same with a model in memory.
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
    /// When the listener fails for good.
    pub async fn serve(self, listener: TcpListener) -> anyhow::Result<()> {
        http::serve(listener, self).await
    }

    /// Its id.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.inner.id
    }

    /// Its entry in the directory.
    #[must_use]
    pub fn entry(&self, address: SocketAddr, state: &str) -> Vec<u8> {
        let mut entry = self.report();
        let count = {
            let mut state = self.lock();
            state.entries += 1;
            state.entries
        };
        let fields = json!({
            "service": self.inner.service, "address": address, "zone": "z1", "version": "v1",
            "slots": self.inner.options.slots, "state": state, "coldLeftMs": 0, "seq": count,
            "born": self.inner.born_ms,
        });
        if let (Value::Object(entry), Value::Object(fields)) = (&mut entry, fields) {
            entry.extend(fields);
        }
        entry.to_string().into_bytes()
    }

    /// Writes its entry into the store every `pause`, for ever. It says that it leaves while the switch for that
    /// is on.
    pub async fn beat(self, store: SocketAddr, reached_at: SocketAddr, pause: Duration) {
        let client = client::Client::new();
        let url = format!("http://{store}/v1/log-append?topic={SERVERS}&part=0");
        loop {
            let leaves = self.inner.injector.switches().leaving;
            let state = if leaves { "draining" } else { "ready" };
            let entry = self.entry(reached_at, state);
            // A store that is away is asked again at the next beat.
            let _ = time::timeout(pause, client.post(&url, record(self.id(), &entry))).await;
            time::sleep(pause).await;
        }
    }

    /// Changes what it does wrong.
    pub fn set_switches(&self, switches: Switches) {
        self.lock().switches = switches;
    }

    /// Names in all answers from now on how many requests a second it takes, or names no limit any more.
    pub fn set_limit(&self, per_second: Option<f64>) {
        self.lock().limit = per_second;
    }

    /// When requests for it came, also those that it refused.
    #[must_use]
    pub fn arrivals(&self) -> Vec<time::Instant> {
        self.lock().arrivals.clone()
    }

    /// Changes the switches that all stand-ins have.
    pub fn set_faults(&self, change: &fault::Change) {
        self.inner.injector.apply(change);
    }

    /// How often a request has run.
    #[must_use]
    pub fn runs(&self, id: &str) -> u64 {
        self.lock().runs.get(id).copied().unwrap_or_default()
    }

    /// Requests that were carried out, in order.
    #[must_use]
    pub fn taken(&self) -> Vec<Taken> {
        self.lock().taken.clone()
    }

    /// Orders that were accepted.
    #[must_use]
    pub fn orders(&self) -> u64 {
        self.lock().orders
    }

    /// Whether a model is in memory.
    #[must_use]
    pub fn holds(&self, model: &str) -> bool {
        self.lock().models.contains_key(model)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.inner.state.lock().expect("no panic under the lock")
    }

    fn tell(&self, line: &Line) {
        if self.inner.options.tells {
            println!("{line}");
        }
    }

    fn report(&self) -> Value {
        let state = self.lock();
        let models: Vec<_> = state
            .models
            .iter()
            .map(|(name, adapters)| json!({"name": name, "version": 1, "adapters": adapters}))
            .collect();
        json!({
            "stage": "both", "models": models, "busy": state.busy, "seq": state.orders, "pending": [],
            "available": {"inMemory": [], "onDisk": state.on_disk}, "queued": state.waiting,
            "running": state.running,
        })
    }

    fn order(&self, order: &Order) -> StatusCode {
        let mut state = self.lock();
        if order.fence < state.fence {
            return StatusCode::PRECONDITION_FAILED;
        }
        state.fence = order.fence;
        let late = order
            .precondition
            .is_some_and(|orders| orders != state.orders);
        if state.busy || late {
            return StatusCode::CONFLICT;
        }
        state.orders += 1;
        self.tell(&Line::Order(order.holder.clone(), order.fence));
        match (order.operation.as_str(), &order.adapter) {
            ("load", None) => {
                let options = &self.inner.options;
                let models = state.models.len() as u64 + 1;
                if options.model_mb * models > options.weights_mb {
                    self.tell(&Line::Overcommitted);
                }
                state.busy = true;
                let on_disk = state.on_disk.contains(&order.model);
                tokio::spawn(self.clone().load(order.model.clone(), on_disk));
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

    async fn load(self, model: SmolStr, on_disk: bool) {
        if on_disk {
            time::sleep(self.inner.options.disk_load).await;
        } else {
            self.tell(&Line::Fetch);
            time::sleep(self.inner.options.load).await;
        }
        let mut state = self.lock();
        state.busy = false;
        state.on_disk.insert(model.clone());
        state.models.insert(model, BTreeSet::new());
    }

    /// The refusal of a call that is for another worker.
    fn misdirected(&self, request: &http::Request) -> Option<http::Answer> {
        let expected = request.header("x-expect-instance");
        expected.filter(|expected| *expected != self.inner.id)?;
        let mut answer = bare(StatusCode::MISDIRECTED_REQUEST);
        set(&mut answer, "x-instance-id", &self.inner.id);
        Some(answer)
    }

    /// A response that says that nothing has run, if this request can't.
    fn refusal(&self, request: &http::Request) -> Option<http::Answer> {
        let mut state = self.lock();
        if take(&mut state.switches.refuse) {
            return Some(not_run());
        }
        let model = request.header("x-model")?;
        let (model, adapter) = model
            .split_once('/')
            .map_or((model, None), |(model, adapter)| (model, Some(adapter)));
        let held = state.models.get(model);
        let there =
            held.is_some_and(|adapters| adapter.is_none_or(|adapter| adapters.contains(adapter)));
        (!there).then(|| bare(StatusCode::MISDIRECTED_REQUEST))
    }

    /// Runs a request once there is a slot; none when too many wait.
    async fn run(&self, request: &http::Request) -> Option<http::Answer> {
        let waiting = self.wait()?;
        let slot = Arc::clone(&self.inner.slots).acquire_owned().await.ok()?;
        drop(waiting);
        let running = Running::new(self.clone(), slot);
        let id: SmolStr = request.header("x-attempt-id").unwrap_or_default().into();
        self.tell(&Line::Run(id.clone()));
        let switches = self.begin(&id, request);
        time::sleep(self.inner.options.run).await;
        let mut answer = if switches.fail > 0 {
            bare(StatusCode::INTERNAL_SERVER_ERROR)
        } else if request.header("x-model").is_some() {
            let after = request
                .header("last-event-id")
                .and_then(|id| id.parse().ok());
            stream(
                after.unwrap_or_default(),
                switches,
                self.inner.options.step,
                running,
            )
        } else {
            http::json(
                StatusCode::OK,
                &json!({"by": self.inner.id, "body": request.body.len()}),
            )
        };
        let echoed = if switches.cross > 0 { "another" } else { &id };
        set(&mut answer, "x-attempt-id", echoed);
        if switches.unsealed == 0 {
            let seal = format!("seal-of-{}", self.inner.id);
            set(&mut answer, "x-server-seal", &seal);
        }
        set(&mut answer, "x-server-load", "1,0,8");
        Some(answer)
    }

    fn wait(&self) -> Option<Waiting> {
        let mut state = self.lock();
        if state.waiting > self.inner.options.queue {
            return None;
        }
        state.waiting += 1;
        Some(Waiting(self.clone()))
    }

    /// Notes that a request runs, and takes what goes wrong with it.
    fn begin(&self, id: &SmolStr, request: &http::Request) -> Switches {
        let mut state = self.lock();
        *state.runs.entry(id.clone()).or_default() += 1;
        state.taken.push(Taken {
            target: format!("{}?{}", request.path, request.query),
            headers: request.headers.clone(),
            body: request.body.clone(),
        });
        let fail = take(&mut state.switches.fail);
        let streams = request.header("x-model").is_some() && !fail;
        Switches {
            cut_streams: u32::from(streams && take(&mut state.switches.cut_streams)),
            pause_streams: u32::from(streams && take(&mut state.switches.pause_streams)),
            refuse: 0,
            fail: u32::from(fail),
            cross: u32::from(take(&mut state.switches.cross)),
            unsealed: u32::from(take(&mut state.switches.unsealed)),
        }
    }
}

/// Counts a request that waits for a slot.
struct Waiting(Worker);

impl Drop for Waiting {
    fn drop(&mut self) {
        self.0.lock().waiting -= 1;
    }
}

/// Counts a request that runs, and keeps its slot.
struct Running {
    worker: Worker,
    _slot: OwnedSemaphorePermit,
}

impl Running {
    fn new(worker: Worker, slot: OwnedSemaphorePermit) -> Self {
        worker.lock().running += 1;
        Self {
            worker,
            _slot: slot,
        }
    }
}

impl Drop for Running {
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
        request.path != "/v1/report"
    }

    async fn call(self: Arc<Self>, request: http::Request) -> Result<http::Answer, http::Lost> {
        if let Some(refusal) = self.misdirected(&request) {
            return Ok(refusal);
        }
        match request.path.as_str() {
            "/v1/report" => return Ok(http::json(StatusCode::OK, &self.report())),
            "/v1/order" => {
                let order = match request.json::<Order>() {
                    Ok(order) => order,
                    Err(answer) => return Ok(answer),
                };
                return Ok(bare(self.order(&order)));
            }
            _ => {}
        }
        self.lock().arrivals.push(time::Instant::now());
        let mut answer = match self.refusal(&request) {
            Some(refusal) => refusal,
            None => self.run(&request).await.unwrap_or_else(not_run),
        };
        if let Some(limit) = self.lock().limit {
            set(&mut answer, "server-limit", &limit.to_string());
        }
        Ok(answer)
    }
}

/// Events after `after`; a cut one ends within the third.
fn stream(after: u64, switches: Switches, step: Duration, running: Running) -> http::Answer {
    let cut = switches.cut_streams > 0;
    let (sender, parts) = mpsc::channel(1);
    tokio::spawn(async move {
        for id in after + 1..=EVENTS {
            time::sleep(step).await;
            if switches.pause_streams > 0 && id == after + 3 {
                time::sleep(PAUSE).await;
            }
            let event = format!("id: {id}\ndata: t{id}\n\n");
            let broken = cut && id == after + 3;
            let part = if broken { event[..5].to_owned() } else { event };
            if sender.send(Ok(part.into())).await.is_err() {
                break;
            }
            if broken {
                time::sleep(step).await;
                // The reader may have gone already.
                let _ = sender.send(Err(http::Lost)).await;
                break;
            }
        }
        drop(running);
    });
    let mut answer = Response::new(http::Body::Parts(parts));
    set(&mut answer, "content-type", "text/event-stream");
    answer
}

/// The refusal of a worker that is full.
fn not_run() -> http::Answer {
    let mut answer = bare(StatusCode::SERVICE_UNAVAILABLE);
    set(&mut answer, "x-not-executed", "1");
    answer
}

fn take(count: &mut u32) -> bool {
    let there = *count > 0;
    *count = count.saturating_sub(1);
    there
}
