//! Stand-in of the platform's weight store.
//!
//! Loads of models start at a limited rate and run at full speed up to a limit; beyond it each
//! takes longer in proportion. Adapters have a limit of their own and no limit on their rate.

use std::sync;

use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::net;
use tokio::time;

use crate::{fault, http};

/// How often a running load looks at how many others run.
const SLICE: time::Duration = time::Duration::from_millis(5);
/// Megabytes in a gigabyte.
const MB_PER_GB: f64 = 1000.0;

/// How a store starts.
#[derive(Clone, Debug)]
pub struct Options {
    /// Loads of models started in a second; 0 is no limit.
    pub rate: f64,
    /// Loads of models that run at full speed together.
    pub at_once: u64,
    /// Time of one load of a model at full speed, in milliseconds.
    pub fetch_ms: u64,
    /// Further time for each gigabyte, in milliseconds.
    pub ms_per_gb: u64,
    /// Time of one load of an adapter at full speed, in milliseconds.
    pub adapter_ms: u64,
    /// Loads of adapters that run at full speed together.
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

/// What is fetched.
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
    /// The name of the item.
    pub item: SmolStr,
    /// Its size in megabytes.
    #[serde(default)]
    pub mb: u64,
    /// What it is.
    #[serde(default)]
    pub kind: Kind,
}

/// What `GET /v1/counts` answers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Fetches that were started.
    pub fetches: u64,
    /// The greatest number of models that were fetched at one moment.
    pub max_at_once: u64,
}

#[derive(Debug)]
struct State {
    counts: Counts,
    models: u64,
    adapters: u64,
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
/// When the listener fails for good.
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
    fn turn(&mut self, rate: f64) -> time::Instant {
        let now = time::Instant::now();
        let start = self.next_start.max(now);
        if rate > 0.0 {
            self.next_start = start + time::Duration::from_secs_f64(1.0 / rate);
        }
        start
    }

    fn running(&mut self, kind: Kind) -> &mut u64 {
        match kind {
            Kind::Model => &mut self.models,
            Kind::Adapter => &mut self.adapters,
        }
    }

    fn begin(&mut self, kind: Kind) {
        self.counts.fetches += 1;
        *self.running(kind) += 1;
        self.counts.max_at_once = self.counts.max_at_once.max(self.models);
    }
}

impl Store {
    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().expect("no panic under the lock")
    }

    /// How many times longer than alone a load takes now.
    fn stretch(&self, kind: Kind) -> f64 {
        let limit = match kind {
            Kind::Model => self.injector.switches().at_once,
            Kind::Adapter => self.options.adapters_at_once,
        };
        let running = *self.lock().running(kind);
        (running as f64 / limit.max(1) as f64).max(1.0)
    }

    fn full_speed(&self, fetch: &Fetch) -> time::Duration {
        let ms = match fetch.kind {
            Kind::Model => {
                let by_size = fetch.mb as f64 / MB_PER_GB * self.options.ms_per_gb as f64;
                self.options.fetch_ms as f64 + by_size
            }
            Kind::Adapter => self.options.adapter_ms as f64,
        };
        time::Duration::from_secs_f64(ms / 1000.0)
    }

    async fn fetch(&self, fetch: &Fetch) {
        if fetch.kind == Kind::Model {
            let start = self.lock().turn(self.injector.switches().rate);
            time::sleep_until(start).await;
        }
        self.lock().begin(fetch.kind);
        let mut left = self.full_speed(fetch);
        while !left.is_zero() {
            let slice = left.min(SLICE);
            time::sleep(slice.mul_f64(self.stretch(fetch.kind))).await;
            left -= slice;
        }
        *self.lock().running(fetch.kind) -= 1;
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
