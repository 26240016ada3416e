//! Stand-in for the platform's list of instances, which is read with a lag.

use std::{collections, sync};

use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::net;

use crate::{clock, fault, http};

const INSTANCES_PATH: &str = "/v1/instances";

/// Settings of a list.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Lag of the list in milliseconds.
    pub lag_ms: u64,
    /// Initial entries, which are visible without a lag.
    pub instances: Vec<Instance>,
}

/// The kind of an instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// An instance of fireflywheel.
    Router,
    /// A model engine or a plain service.
    Backend,
}

/// Whether an instance is about to shut down.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The instance keeps running.
    Live,
    /// The instance is about to shut down.
    Leaving,
}

/// An entry of the list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Instance {
    /// Unique name.
    pub name: SmolStr,
    /// IP address and port.
    pub address: SmolStr,
    /// Kind of the instance.
    pub kind: Kind,
    /// Group of the instance.
    pub group: SmolStr,
    /// Failure domain in which the instance runs.
    pub failure_domain: SmolStr,
    /// Whether the instance is about to shut down.
    pub state: State,
}

/// The answer to `GET /v1/instances`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Page {
    /// The entries, sorted by name.
    pub instances: Vec<Instance>,
}

/// The answer to `GET /v1/counts`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Number of reads of the list.
    pub reads: u64,
}

#[derive(Debug)]
struct Entries {
    current: collections::BTreeMap<SmolStr, Instance>,
    lagged: clock::Lagged<Page>,
    counts: Counts,
}

#[derive(Debug)]
struct List {
    injector: fault::Injector,
    entries: sync::Mutex<Entries>,
}

/// Serves a list until the future is dropped.
///
/// # Errors
/// If the listener fails.
pub async fn serve(listener: net::TcpListener, options: Options) -> anyhow::Result<()> {
    let injector = fault::Injector::new(fault::Switches {
        lag_ms: options.lag_ms,
        ..fault::Switches::default()
    });
    let list = List {
        injector,
        entries: sync::Mutex::new(Entries::new(options.instances)),
    };
    http::serve(listener, list).await
}

impl Entries {
    fn new(instances: Vec<Instance>) -> Self {
        let current: collections::BTreeMap<_, _> = instances
            .into_iter()
            .map(|instance| (instance.name.clone(), instance))
            .collect();
        let lagged = clock::Lagged::new(build_page(&current));
        Self {
            current,
            lagged,
            counts: Counts::default(),
        }
    }

    fn record(&mut self) {
        self.lagged
            .record(clock::unix_ms(), build_page(&self.current));
    }
}

fn build_page(current: &collections::BTreeMap<SmolStr, Instance>) -> Page {
    Page {
        instances: current.values().cloned().collect(),
    }
}

impl List {
    fn lock(&self) -> sync::MutexGuard<'_, Entries> {
        self.entries.lock().expect("no panic under the lock")
    }

    fn get(&self) -> http::Answer {
        let time_ms = clock::unix_ms().saturating_sub(self.injector.switches().lag_ms);
        let mut entries = self.lock();
        entries.counts.reads += 1;
        http::json(StatusCode::OK, entries.lagged.at(time_ms))
    }

    fn put(&self, name: &str, request: &http::Request) -> http::Answer {
        let instance = match request.json::<Instance>() {
            Ok(instance) => instance,
            Err(answer) => return answer,
        };
        let mut entries = self.lock();
        entries.current.insert(name.into(), instance.clone());
        entries.record();
        http::json(StatusCode::OK, &instance)
    }

    fn delete(&self, name: &str) -> http::Answer {
        let mut entries = self.lock();
        let Some(instance) = entries.current.remove(name) else {
            return not_found();
        };
        entries.record();
        http::json(StatusCode::OK, &instance)
    }
}

fn not_found() -> http::Answer {
    http::failure(StatusCode::NOT_FOUND, "not_found", "no such call or entry")
}

impl http::Handler for List {
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
        let Some(rest) = request.path.strip_prefix(INSTANCES_PATH) else {
            return Ok(not_found());
        };
        let answer = match (&request.method, rest.strip_prefix('/')) {
            (&Method::GET, None) if rest.is_empty() => self.get(),
            (&Method::PUT, Some(name)) => self.put(name, &request),
            (&Method::DELETE, Some(name)) => self.delete(name),
            _ => not_found(),
        };
        Ok(answer)
    }
}
