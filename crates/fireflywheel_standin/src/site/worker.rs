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
use tokio::sync::mpsc;
use tokio::time;

use super::{bare, set};
use crate::{fault, http};

/// Time between two events of a stream.
const STEP: Duration = Duration::from_millis(5);
/// Events of a stream.
pub const EVENTS: u64 = 6;

/// A handle to a worker.
#[derive(Clone, Debug)]
pub struct Worker {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    id: SmolStr,
    service: SmolStr,
    desk: fault::Desk,
    load: Duration,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    orders: u64,
    fence: u64,
    busy: bool,
    models: BTreeMap<SmolStr, BTreeSet<SmolStr>>,
    on_disk: BTreeSet<SmolStr>,
    runs: BTreeMap<SmolStr, u64>,
    taken: Vec<Taken>,
    switches: Switches,
}

/// What a worker does wrong; each counts down.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Switches {
    /// Streams that break off within their third event.
    pub cut_streams: u32,
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
    precondition: Option<u64>,
    #[serde(rename = "fencingToken")]
    fence: u64,
}

impl Worker {
    /// A worker of `service` that takes `load` for each load of a model.
    #[must_use]
    pub fn new(id: &str, service: &str, load: Duration) -> Self {
        let inner = Inner {
            id: id.into(),
            service: service.into(),
            desk: fault::Desk::new(fault::Switches::default()),
            load,
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
        let fields = json!({
            "service": self.inner.service, "address": address, "zone": "z1", "version": "v1", "slots": 8,
            "state": state, "coldLeftMs": 0, "seq": 1, "born": 1000,
        });
        if let (Value::Object(entry), Value::Object(fields)) = (&mut entry, fields) {
            entry.extend(fields);
        }
        entry.to_string().into_bytes()
    }

    /// Changes what it does wrong.
    pub fn set_switches(&self, switches: Switches) {
        self.lock().switches = switches;
    }

    /// Changes the switches that all stand-ins have.
    pub fn set_faults(&self, change: &fault::Change) {
        self.inner.desk.apply(change);
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

    fn report(&self) -> Value {
        let state = self.lock();
        let models: Vec<_> = state
            .models
            .iter()
            .map(|(name, adapters)| json!({"name": name, "version": 1, "adapters": adapters}))
            .collect();
        json!({
            "stage": "both", "models": models, "busy": state.busy, "seq": state.orders, "pending": [],
            "available": {"inMemory": [], "onDisk": state.on_disk}, "queued": 0, "running": 0,
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
        match (order.operation.as_str(), &order.adapter) {
            ("load", None) => {
                state.busy = true;
                tokio::spawn(self.clone().load(order.model.clone()));
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

    async fn load(self, model: SmolStr) {
        time::sleep(self.inner.load).await;
        let mut state = self.lock();
        state.busy = false;
        state.on_disk.insert(model.clone());
        state.models.insert(model, BTreeSet::new());
    }

    /// A response that says that nothing has run, if this request can't.
    fn refusal(&self, request: &http::Request) -> Option<http::Answer> {
        let expected = request.header("x-expect-instance");
        if expected.is_some_and(|expected| expected != self.inner.id) {
            let mut answer = bare(StatusCode::MISDIRECTED_REQUEST);
            set(&mut answer, "x-instance-id", &self.inner.id);
            return Some(answer);
        }
        let mut state = self.lock();
        if take(&mut state.switches.refuse) {
            let mut answer = bare(StatusCode::SERVICE_UNAVAILABLE);
            set(&mut answer, "x-not-executed", "1");
            return Some(answer);
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

    fn run(&self, request: &http::Request) -> http::Answer {
        let id = request.header("x-attempt-id").unwrap_or_default();
        let mut state = self.lock();
        *state.runs.entry(id.into()).or_default() += 1;
        state.taken.push(Taken {
            target: format!("{}?{}", request.path, request.query),
            headers: request.headers.clone(),
            body: request.body.clone(),
        });
        let mut answer = if take(&mut state.switches.fail) {
            bare(StatusCode::INTERNAL_SERVER_ERROR)
        } else if request.header("x-model").is_some() {
            let after = request
                .header("last-event-id")
                .and_then(|id| id.parse().ok());
            stream(
                after.unwrap_or_default(),
                take(&mut state.switches.cut_streams),
            )
        } else {
            http::json(
                StatusCode::OK,
                &json!({"by": self.inner.id, "body": request.body.len()}),
            )
        };
        let crossed = take(&mut state.switches.cross);
        set(
            &mut answer,
            "x-attempt-id",
            if crossed { "another" } else { id },
        );
        if !take(&mut state.switches.unsealed) {
            set(
                &mut answer,
                "x-server-seal",
                &format!("seal-of-{}", self.inner.id),
            );
        }
        set(&mut answer, "x-server-load", "1,0,8");
        answer
    }
}

impl http::Handler for Worker {
    type Counts = u64;

    fn desk(&self) -> &fault::Desk {
        &self.inner.desk
    }

    fn counts(&self) -> u64 {
        self.orders()
    }

    fn has_effect(&self, request: &http::Request) -> bool {
        request.path != "/v1/report"
    }

    async fn call(self: Arc<Self>, request: http::Request) -> Result<http::Answer, http::Lost> {
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
        Ok(self.refusal(&request).unwrap_or_else(|| self.run(&request)))
    }
}

/// Events after `after`; a cut one ends within the third.
fn stream(after: u64, cut: bool) -> http::Answer {
    let (sender, parts) = mpsc::channel(1);
    tokio::spawn(async move {
        for id in after + 1..=EVENTS {
            time::sleep(STEP).await;
            let event = format!("id: {id}\ndata: t{id}\n\n");
            let broken = cut && id == after + 3;
            let part = if broken { event[..5].to_owned() } else { event };
            if sender.send(Ok(part.into())).await.is_err() {
                return;
            }
            if broken {
                time::sleep(STEP).await;
                // The reader may have gone already.
                let _ = sender.send(Err(http::Lost)).await;
                return;
            }
        }
    });
    let mut answer = Response::new(http::Body::Parts(parts));
    set(&mut answer, "content-type", "text/event-stream");
    answer
}

fn take(count: &mut u32) -> bool {
    let there = *count > 0;
    *count = count.saturating_sub(1);
    there
}
