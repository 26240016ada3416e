//! Stand-in of the platform's lagging list of instances.

use std::{collections, sync};

use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::net;

use crate::{clock, fault, http};

const INSTANCES: &str = "/v1/instances";

/// How a list starts.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Age of the list in milliseconds.
    pub lag_ms: u64,
    /// The entries at the start, which show at once.
    pub instances: Vec<Instance>,
}

/// What an instance is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// An instance of the system.
    Router,
    /// A model engine or a plain service.
    Backend,
}

/// Whether an instance is going to end.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It stays.
    Live,
    /// It is about to end.
    Leaving,
}

/// One entry of the list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Instance {
    /// Unique name.
    pub name: SmolStr,
    /// IP number and port.
    pub address: SmolStr,
    /// What it is.
    pub kind: Kind,
    /// The group it belongs to.
    pub group: SmolStr,
    /// Where it runs.
    pub failure_domain: SmolStr,
    /// Whether it is going to end.
    pub state: State,
}

/// The answer to `GET /v1/instances`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Page {
    /// The entries in order of their names.
    pub instances: Vec<Instance>,
}

/// What `GET /v1/counts` answers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// How often the list was read.
    pub reads: u64,
}

#[derive(Debug)]
struct Entries {
    present: collections::BTreeMap<SmolStr, Instance>,
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
/// When the listener fails for good.
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
        let present: collections::BTreeMap<_, _> = instances
            .into_iter()
            .map(|instance| (instance.name.clone(), instance))
            .collect();
        let lagged = clock::Lagged::new(page(&present));
        Self {
            present,
            lagged,
            counts: Counts::default(),
        }
    }

    fn record(&mut self) {
        self.lagged.record(clock::unix_ms(), page(&self.present));
    }
}

fn page(present: &collections::BTreeMap<SmolStr, Instance>) -> Page {
    Page {
        instances: present.values().cloned().collect(),
    }
}

impl List {
    fn lock(&self) -> sync::MutexGuard<'_, Entries> {
        self.entries.lock().expect("no panic under the lock")
    }

    fn get(&self) -> http::Answer {
        let then = clock::unix_ms().saturating_sub(self.injector.switches().lag_ms);
        let mut entries = self.lock();
        entries.counts.reads += 1;
        http::json(StatusCode::OK, entries.lagged.at(then))
    }

    fn put(&self, name: &str, request: &http::Request) -> http::Answer {
        let instance = match request.json::<Instance>() {
            Ok(instance) => instance,
            Err(answer) => return answer,
        };
        let mut entries = self.lock();
        entries.present.insert(name.into(), instance.clone());
        entries.record();
        http::json(StatusCode::OK, &instance)
    }

    fn delete(&self, name: &str) -> http::Answer {
        let mut entries = self.lock();
        let Some(instance) = entries.present.remove(name) else {
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
        let Some(rest) = request.path.strip_prefix(INSTANCES) else {
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
