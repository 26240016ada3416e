//! Stand-in of a model engine: orders to load and unload, chat requests in a continuous batch,
//! streams that can be resumed and cancelled, a lagged load report.
//!
//! It doesn't check its memory: it counts, so that a test sees what was overcommitted.

mod chat;
mod counts;
mod item;
mod order;
mod report;
mod state;
mod stream;

use std::{collections, sync};

use hyper::{Method, StatusCode};
use smol_str::SmolStr;
use tokio::net;
use tokio::sync::{Semaphore, watch};

pub use chat::{Added, Choice, Chunk, Completion, Delta, Message, Prompt, Usage, content};
pub use counts::{Change, Counts, peak_replicas};
pub use item::Item;
pub use order::{Kind, Order, Outcome, Source};
pub use report::{Cache, Event, Report};

use crate::{client, clock, fault, http};

/// Whether an engine refuses orders with an old fencing number.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fencing {
    /// It refuses them, also after a restart.
    #[default]
    Checked,
    /// It refuses them, but a restart loses the number.
    Forgets,
    /// It takes any order.
    Ignored,
}

/// How an engine starts.
#[derive(Clone, Debug)]
pub struct Options {
    /// Base address of the weight store, `http://IP:PORT`; with none, loads take `load_ms`.
    pub store: Option<SmolStr>,
    /// Whether orders with an old fencing number are refused.
    pub fencing: Fencing,
    /// The highest fencing number seen before this start.
    pub fence_floor: u64,
    /// Requests that run together; more wait.
    pub slots: usize,
    /// Requests that may wait; more are refused as `overloaded`.
    pub queue: usize,
    /// Time between two tokens of a stream that runs alone, in microseconds.
    pub token_us: u64,
    /// Time of a load of a model, but for remote ones when there is a store; in milliseconds.
    pub load_ms: u64,
    /// The same for an adapter.
    pub adapter_ms: u64,
    /// Age of the load report in milliseconds.
    pub report_lag_ms: u64,
    /// How long a stream is kept after its connection ended, in milliseconds.
    pub keep_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            store: None,
            fencing: Fencing::Checked,
            fence_floor: 0,
            slots: 16,
            queue: 64,
            token_us: 1000,
            load_ms: 100,
            adapter_ms: 8,
            report_lag_ms: 0,
            keep_ms: 3000,
        }
    }
}

#[derive(Debug)]
struct Engine {
    injector: fault::Injector,
    options: Options,
    client: client::Client,
    slots: Semaphore,
    state: sync::Mutex<state::State>,
    /// Raised at each change that an order may wait for.
    changes: watch::Sender<u64>,
    streams: sync::Mutex<collections::BTreeMap<SmolStr, sync::Arc<stream::Stream>>>,
}

/// Serves an engine until the future is dropped.
///
/// # Errors
/// When the listener fails for good.
pub async fn serve(listener: net::TcpListener, options: Options) -> anyhow::Result<()> {
    http::serve(listener, Engine::new(options)).await
}

impl Engine {
    fn new(options: Options) -> Self {
        let injector = fault::Injector::new(fault::Switches {
            report_lag_ms: options.report_lag_ms,
            ..fault::Switches::default()
        });
        Self {
            injector,
            client: client::Client::new(),
            slots: Semaphore::new(options.slots),
            state: sync::Mutex::new(state::State::new(options.fence_floor)),
            changes: watch::Sender::new(0),
            streams: sync::Mutex::default(),
            options,
        }
    }

    /// Changes the state, then wakes the orders that wait for a change of it.
    fn with_state<T, F>(&self, change: F) -> T
    where
        F: FnOnce(&mut state::State) -> T,
    {
        self.with_state_if(|state| (true, change(state)))
    }

    /// As [`Engine::with_state`], but wakes nobody where the closure says that nothing changed:
    /// orders that wait for each other would otherwise wake each other without end.
    fn with_state_if<T, F>(&self, change: F) -> T
    where
        F: FnOnce(&mut state::State) -> (bool, T),
    {
        let mut state = self.state.lock().expect("no panic under the lock");
        let (changed, value) = change(&mut state);
        if changed {
            let report = self.report_of(&state);
            state.record(clock::unix_ms(), report);
        }
        drop(state);
        if changed {
            self.changes.send_modify(|count| *count += 1);
        }
        value
    }

    /// Reads the state.
    fn read_state<T, F>(&self, read: F) -> T
    where
        F: FnOnce(&state::State) -> T,
    {
        read(&self.state.lock().expect("no panic under the lock"))
    }

    fn boot(&self) -> SmolStr {
        self.read_state(|state| state.boot.clone())
    }

    fn report_of(&self, state: &state::State) -> Report {
        Report {
            at_ms: 0,
            boot: state.boot.clone(),
            running: state.running,
            waiting: state.waiting,
            slots: self.options.slots,
            loaded: state.loaded(),
            memory_mb: state.memory_mb,
            leaving: false,
            cache: state.cache.published(),
        }
    }

    fn load_report(&self) -> http::Answer {
        let switches = self.injector.switches();
        let then = clock::unix_ms().saturating_sub(switches.report_lag_ms);
        let mut report = self.read_state(|state| {
            let lagged = state.report_at(then);
            lagged.cloned().unwrap_or_else(|| self.report_of(state))
        });
        report.at_ms = then;
        report.leaving = switches.leaving;
        http::json(StatusCode::OK, &report)
    }

    fn restart(&self) {
        let forgets = self.options.fencing == Fencing::Forgets;
        self.with_state(|state| state.restart(forgets));
        let streams = std::mem::take(&mut *self.lock_streams());
        for stream in streams.values() {
            stream.end(stream::Phase::Gone);
        }
    }

    fn lock_streams(
        &self,
    ) -> sync::MutexGuard<'_, collections::BTreeMap<SmolStr, sync::Arc<stream::Stream>>> {
        self.streams.lock().expect("no panic under the lock")
    }
}

impl http::Handler for Engine {
    type Counts = Counts;

    fn injector(&self) -> &fault::Injector {
        &self.injector
    }

    fn counts(&self) -> Counts {
        self.read_state(state::State::counts)
    }

    fn has_effect(&self, request: &http::Request) -> bool {
        request.method != Method::GET
    }

    fn changed(&self, change: &fault::Change) {
        if change.restart == Some(true) {
            self.restart();
        }
    }

    async fn call(
        self: sync::Arc<Self>,
        request: http::Request,
    ) -> Result<http::Answer, http::Lost> {
        match (&request.method, request.path.as_str()) {
            (&Method::POST, "/v1/chat/completions") => self.chat(&request).await,
            (&Method::POST, "/v1/orders") => self.order(&request).await,
            (&Method::GET, "/v1/load") => Ok(self.load_report()),
            (&Method::DELETE, path) => Ok(self.cancel(path)),
            _ => Ok(not_found()),
        }
    }
}

fn not_found() -> http::Answer {
    http::failure(StatusCode::NOT_FOUND, "not_found", "no such call")
}
