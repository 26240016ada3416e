//! Stand-in for the platform's weight store.
//!
//! Fetches of models start at a limited rate. Up to a limit of concurrent fetches, each runs at
//! full speed; beyond it, each takes proportionally longer. Adapters have their own concurrency
//! limit and no rate limit.

use std::sync;

use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::net;
use tokio::time;

use crate::{fault, http};

/// Interval at which a fetch adapts its speed to the number of concurrent fetches.
const SPEED_UPDATE_INTERVAL: time::Duration = time::Duration::from_millis(5);
const MB_PER_GB: f64 = 1000.0;

/// Settings of a store.
#[derive(Clone, Debug)]
pub struct Options {
    /// Maximum number of model fetches that start per second; 0 for no limit.
    pub rate: f64,
    /// Number of concurrent model fetches that run at full speed.
    pub at_once: u64,
    /// Duration of a model fetch at full speed, without the part that depends on the size, in
    /// milliseconds.
    pub fetch_ms: u64,
    /// Additional duration per gigabyte of a model, in milliseconds.
    pub ms_per_gb: u64,
    /// Duration of an adapter fetch at full speed, in milliseconds.
    pub adapter_ms: u64,
    /// Number of concurrent adapter fetches that run at full speed.
    pub adapters_at_once: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            rate: 5.0,
            at_once: 4,
            fetch_ms: 200,
            ms_per_gb: 0,
            adapter_ms: 8,
            adapters_at_once: 30,
        }
    }
}

/// The kind of item that is fetched.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// The weights of a model.
    #[default]
    Model,
    /// An adapter.
    Adapter,
}

/// The body of `POST /v1/fetch`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fetch {
    /// Name of the item.
    pub item: SmolStr,
    /// Size of the item in megabytes.
    #[serde(default)]
    pub mb: u64,
    /// Kind of the item.
    #[serde(default)]
    pub kind: Kind,
}

/// The answer to `GET /v1/counts`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Number of fetches that were started.
    pub fetches: u64,
    /// Peak number of concurrent model fetches.
    pub max_at_once: u64,
}

#[derive(Debug)]
struct State {
    counts: Counts,
    /// Number of model fetches in progress.
    models: u64,
    /// Number of adapter fetches in progress.
    adapters: u64,
    /// Earliest start of the next model fetch.
    next_start: time::Instant,
}

#[derive(Debug)]
struct Store {
    injector: fault::Injector,
    options: Options,
    state: sync::Mutex<State>,
}

/// Serves a store until the future is dropped.
///
/// # Errors
/// If the listener fails.
pub async fn serve(listener: net::TcpListener, options: Options) -> anyhow::Result<()> {
    let injector = fault::Injector::new(fault::Switches {
        rate: options.rate,
        at_once: options.at_once,
        ..fault::Switches::default()
    });
    let state = State {
        counts: Counts::default(),
        models: 0,
        adapters: 0,
        next_start: time::Instant::now(),
    };
    let store = Store {
        injector,
        options,
        state: sync::Mutex::new(state),
    };
    http::serve(listener, store).await
}

impl State {
    /// Returns the time at which a new fetch may start, and reserves it.
    fn reserve_start(&mut self, rate: f64) -> time::Instant {
        let now = time::Instant::now();
        let start = self.next_start.max(now);
        if rate > 0.0 {
            self.next_start = start + time::Duration::from_secs_f64(1.0 / rate);
        }
        start
    }

    fn running_mut(&mut self, kind: Kind) -> &mut u64 {
        match kind {
            Kind::Model => &mut self.models,
            Kind::Adapter => &mut self.adapters,
        }
    }

    fn start_fetch(&mut self, kind: Kind) {
        self.counts.fetches += 1;
        *self.running_mut(kind) += 1;
        self.counts.max_at_once = self.counts.max_at_once.max(self.models);
    }
}

impl Store {
    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().expect("no panic under the lock")
    }

    /// The factor by which concurrent fetches slow down a fetch.
    fn slowdown(&self, kind: Kind) -> f64 {
        let limit = match kind {
            Kind::Model => self.injector.switches().at_once,
            Kind::Adapter => self.options.adapters_at_once,
        };
        let running = *self.lock().running_mut(kind);
        (running as f64 / limit.max(1) as f64).max(1.0)
    }

    /// The duration of a fetch at full speed.
    fn full_speed_duration(&self, fetch: &Fetch) -> time::Duration {
        let ms = match fetch.kind {
            Kind::Model => {
                let size_ms = fetch.mb as f64 / MB_PER_GB * self.options.ms_per_gb as f64;
                self.options.fetch_ms as f64 + size_ms
            }
            Kind::Adapter => self.options.adapter_ms as f64,
        };
        time::Duration::from_secs_f64(ms / 1000.0)
    }

    async fn fetch(&self, fetch: &Fetch) {
        if fetch.kind == Kind::Model {
            let start = self.lock().reserve_start(self.injector.switches().rate);
            time::sleep_until(start).await;
        }
        self.lock().start_fetch(fetch.kind);
        let mut remaining = self.full_speed_duration(fetch);
        while !remaining.is_zero() {
            let step = remaining.min(SPEED_UPDATE_INTERVAL);
            time::sleep(step.mul_f64(self.slowdown(fetch.kind))).await;
            remaining -= step;
        }
        *self.lock().running_mut(fetch.kind) -= 1;
    }
}

impl http::Handler for Store {
    type Counts = Counts;

    fn injector(&self) -> &fault::Injector {
        &self.injector
    }

    fn counts(&self) -> Counts {
        self.lock().counts
    }

    async fn call(
        self: sync::Arc<Self>,
        request: http::Request,
    ) -> Result<http::Answer, http::Lost> {
        if request.method != Method::POST || request.path != "/v1/fetch" {
            let answer = http::failure(StatusCode::NOT_FOUND, "not_found", "no such call");
            return Ok(answer);
        }
        let fetch = match request.json::<Fetch>() {
            Ok(fetch) => fetch,
            Err(answer) => return Ok(answer),
        };
        self.fetch(&fetch).await;
        Ok(http::json(StatusCode::OK, &fetch))
    }
}
