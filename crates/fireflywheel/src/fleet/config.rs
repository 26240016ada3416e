//! The operator's configuration as the core uses it.

pub mod history;
pub mod table;
pub mod update;

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::organisation;

/// One accepted configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Config {
    /// The configuration's version, which rises with each configuration by any amount.
    pub version: u64,
    /// Routes that map requests to groups.
    pub routes: table::Table,
    /// Groups of backend servers, by name.
    pub groups: BTreeMap<SmolStr, Group>,
    /// Limits on what callers may send.
    pub limits: Limits,
    /// Organisations whose requests are served; if `None`, all requests are served.
    pub organisations: Option<organisation::Registry>,
}

/// A route: where requests for one host and path prefix go.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Route {
    /// The route's name, for logs and metrics.
    pub name: SmolStr,
    /// The host that the route serves.
    pub host: SmolStr,
    /// The path prefix that the route serves; begins and ends with a slash.
    pub prefix: SmolStr,
    /// Whether requests may be retried.
    pub kind: Kind,
    /// The longest time that a caller waits for a response.
    pub timeout: Duration,
    /// The target time for a response, or for the first event of a stream.
    #[serde(rename = "objective")]
    pub latency_objective: Duration,
    /// The target for the longest gap between events of a stream; `None` for routes without one.
    #[serde(rename = "pause")]
    pub max_event_gap: Option<Duration>,
    /// The priority of the route's requests; 0 is the most urgent.
    #[serde(rename = "rank")]
    pub priority: u8,
    /// Groups that serve the route, by weight.
    pub targets: Vec<Target>,
    /// The largest number of backend servers that one request may be sent to.
    pub attempts: u32,
    /// Requests of the route need no organisation.
    #[serde(rename = "open")]
    pub allow_anonymous: bool,
    /// Requests of the route go where the start of their prompt is kept, if that is worth it.
    #[serde(default, skip_serializing_if = "is_false")]
    pub sticky: bool,
}

/// Whether an optional flag is left out of the encoding.
fn is_false(value: &bool) -> bool {
    !value
}

/// A group that serves a share of a route.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Target {
    /// The name of the group.
    pub group: SmolStr,
    /// The target's weight relative to the other targets.
    pub weight: f64,
}

/// How requests of a route run, which determines whether they may be retried.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Kind {
    /// Requests that may run any number of times.
    Idempotent,
    /// Requests that may run at most once.
    Once,
    /// Requests that are answered by a stream of events and may run at most once.
    Stream,
    /// Requests that are answered by a stream of events, which another run may resume.
    Resumable,
}

impl Kind {
    /// Whether a request may run again while nothing of the answer was forwarded to the caller.
    #[must_use]
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resumable)
    }

    /// Whether the answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }
}

/// A group of interchangeable backend servers.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Group {
    /// The number of connections that one server accepts from all instances together.
    pub connections: usize,
    /// Settings of model engines; `None` for other backend servers.
    pub engine: Option<Engine>,
    /// The path at which a server tells its health and its id.
    #[serde(default)]
    pub health_path: Option<SmolStr>,
}

/// The capacity of the engines of a group.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Engine {
    /// The number of requests that run at once on one server.
    pub slots: u32,
    /// The memory for weights and adapters of one server, in megabytes.
    pub memory_mb: f64,
    /// The number of adapters that one server may hold.
    #[serde(rename = "adapter_places")]
    pub adapter_slots: usize,
    /// The number of loads from the weight store per second, over all servers.
    pub loads_per_second: f64,
    /// The prompt tokens that fit into the memory of one server, of running requests and of prompts that it keeps; `None` if it
    /// isn't known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kv_capacity: Option<u32>,
    /// Models, by name.
    pub models: BTreeMap<SmolStr, Model>,
}

/// A model's size and load times.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Model {
    /// The memory of the model's weights, in megabytes.
    pub memory_mb: f64,
    /// The time of a load from the weight store when no other load runs.
    #[serde(rename = "fetch")]
    pub store_load_time: Duration,
    /// The time of a load from the server's own disk.
    #[serde(rename = "from_disk")]
    pub disk_load_time: Duration,
    /// The time of a load from the server's host memory.
    #[serde(rename = "from_host")]
    pub host_load_time: Duration,
    /// The memory of one of the model's adapters, in megabytes.
    pub adapter_mb: f64,
}

/// Limits on what callers may send.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Limits {
    /// The largest header, in bytes.
    pub header_bytes: usize,
    /// The largest body, in bytes.
    pub body_bytes: usize,
    /// The longest time that a caller may take to send a header.
    #[serde(rename = "header_time")]
    pub header_timeout: Duration,
    /// The longest time that a connection may be idle.
    #[serde(rename = "idle")]
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Limits for an instance that has no configuration yet.
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

impl Config {
    /// The route for `host` with the longest prefix of `path`. The port in `host` and its case are ignored.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes.find(host, path).map(AsRef::as_ref)
    }
}

impl Route {
    /// Selects the group for a request. `draw`, from 0 up to 1, distributes requests by weight.
    #[must_use]
    pub fn group(&self, draw: f64) -> Option<&SmolStr> {
        let total: f64 = self.targets.iter().map(|target| target.weight).sum();
        let mut remainder = draw * total;
        for target in &self.targets {
            remainder -= target.weight;
            if remainder < 0.0 {
                return Some(&target.group);
            }
        }
        self.targets.last().map(|target| &target.group)
    }
}
