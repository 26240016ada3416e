//! Stand-in for a model engine. It loads and unloads models by order, runs chat requests in a
//! continuous batch, serves streams that can be resumed and cancelled, and publishes a load report
//! with a configurable lag.
//!
//! The engine does not enforce a memory limit. It counts the memory in use, so that a test can
//! detect overcommitment.

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

pub use chat::{Choice, Chunk, ChunkChoice, Completion, Delta, Message, Prompt, Usage, content};
pub use counts::{Change, Counts, peak_replicas};
pub use item::Item;
pub use order::{Kind, Order, Outcome, Source};
pub use report::{Cache, Event, Report};

use crate::{client, clock, fault, http};

/// How an engine treats orders with an old fencing number.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fencing {
    /// The engine refuses them, also after a restart.
    #[default]
    Checked,
    /// The engine refuses them, but a restart resets the highest number seen.
    Forgets,
    /// The engine accepts every order.
    Ignored,
}

/// Settings of an engine.
#[derive(Clone, Debug)]
pub struct Options {
    /// Base URL of the weight store, `http://IP:PORT`. Without a store, loads take `load_ms`, or
    /// `adapter_ms` for an adapter.
    pub store: Option<SmolStr>,
    /// How orders with an old fencing number are treated.
    pub fencing: Fencing,
    /// The fencing number that counts as the highest one seen at start.
    pub fence_floor: u64,
    /// Number of requests that run concurrently; further requests wait.
    pub slots: usize,
    /// Number of requests that may wait; further requests are refused as `overloaded`.
    pub queue: usize,
    /// Time between two tokens when the batch is otherwise empty, in microseconds.
    pub token_us: u64,
    /// Load time of a model in milliseconds. Loads from the weight store take the time of the fetch
    /// instead.
    pub load_ms: u64,
    /// Load time of an adapter in milliseconds, with the same exception.
    pub adapter_ms: u64,
    /// Lag of the load report in milliseconds.
    pub report_lag_ms: u64,
    /// Time for which a stream can be resumed after its connection ended, in milliseconds.
    pub stream_retention_ms: u64,
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
            stream_retention_ms: 3000,
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
    /// Revision number, incremented by each change that an order may wait for.
    changes: watch::Sender<u64>,
    streams: sync::Mutex<collections::BTreeMap<SmolStr, sync::Arc<stream::Stream>>>,
}

/// Serves an engine until the future is dropped.
///
/// # Errors
/// If the listener fails.
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

    /// Changes the state, then wakes the orders that wait for a change.
    fn with_state<T, F>(&self, change: F) -> T
    where
        F: FnOnce(&mut state::State) -> T,
    {
        self.with_state_if(|state| (true, change(state)))
    }

    /// Like [`Engine::with_state`], but wakes waiting orders only if the closure reports a change.
    /// Otherwise, orders that wait for each other would wake each other in an endless loop.
    fn with_state_if<T, F>(&self, change: F) -> T
    where
        F: FnOnce(&mut state::State) -> (bool, T),
    {
        let mut state = self.state.lock().expect("no panic under the lock");
        let (changed, value) = change(&mut state);
        if changed {
            let report = self.build_report(&state);
            state.record_report(clock::unix_ms(), report);
        }
        drop(state);
        if changed {
            self.changes.send_modify(|revision| *revision += 1);
        }
        value
    }

    fn read_state<T, F>(&self, read: F) -> T
    where
        F: FnOnce(&state::State) -> T,
    {
        read(&self.state.lock().expect("no panic under the lock"))
    }

    fn boot(&self) -> SmolStr {
        self.read_state(|state| state.boot.clone())
    }

    fn build_report(&self, state: &state::State) -> Report {
        Report {
            at_ms: 0,
            boot: state.boot.clone(),
            running: state.running,
            waiting: state.waiting,
            slots: self.options.slots,
            loaded: state.loaded(),
            memory_mb: state.memory_mb,
            leaving: false,
            cache: state.cache.recent_events(),
        }
    }

    fn lagged_report(&self) -> http::Answer {
        let switches = self.injector.switches();
        let time_ms = clock::unix_ms().saturating_sub(switches.report_lag_ms);
        let mut report = self.read_state(|state| {
            let lagged = state.report_at(time_ms);
            lagged.cloned().unwrap_or_else(|| self.build_report(state))
        });
        report.at_ms = time_ms;
        report.leaving = switches.leaving;
        http::json(StatusCode::OK, &report)
    }

    fn restart(&self) {
        let reset_fencing = self.options.fencing == Fencing::Forgets;
        self.with_state(|state| state.restart(reset_fencing));
        let streams = std::mem::take(&mut *self.lock_streams());
        for stream in streams.values() {
            stream.end(stream::Phase::EngineRestarted);
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

    fn handle_change(&self, change: &fault::Change) {
        if change.restart == Some(true) {
            self.restart();
        }
    }

    async fn call(
        self: sync::Arc<Self>,
        request: http::Request,
    ) -> Result<http::Answer, http::Lost> {
        match (&request.method, request.path.as_str()) {
            (&Method::POST, "/v1/chat/completions") => self.handle_chat(&request).await,
            (&Method::POST, "/v1/orders") => self.handle_order(&request).await,
            (&Method::GET, "/v1/load") => Ok(self.lagged_report()),
            (&Method::DELETE, path) => Ok(self.cancel_stream(path)),
            _ => Ok(not_found()),
        }
    }
}

fn not_found() -> http::Answer {
    http::failure(StatusCode::NOT_FOUND, "not_found", "no such call")
}
