//! The operator's configuration as the core uses it.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::organisation;

/// One accepted configuration, whole.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Config {
    /// Rises with each configuration, in steps of any size.
    pub version: u64,
    /// Where requests go.
    pub routes: Vec<Route>,
    /// Backend servers of one kind, by name.
    pub groups: BTreeMap<SmolStr, Group>,
    /// What callers may send.
    pub limits: Limits,
    /// Whose requests are served; everybody's if there are none.
    pub organisations: Option<organisation::Registry>,
}

/// Where requests of one host and path prefix go.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Route {
    /// Its name, for logs and metrics.
    pub name: SmolStr,
    /// The host that it serves.
    pub host: SmolStr,
    /// The start of the paths that it serves; begins and ends with a slash.
    pub prefix: SmolStr,
    /// What may be repeated.
    pub kind: Kind,
    /// The longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Within this a response is on time; for a stream its first event.
    pub objective: Duration,
    /// The longest pause between events of a stream that is still on time.
    #[serde(rename = "pause")]
    pub max_event_gap: Option<Duration>,
    /// 0 is the most urgent.
    pub rank: u8,
    /// Groups that serve it, by weight.
    pub targets: Vec<Target>,
    /// The most backend servers that one request may be sent to.
    pub attempts: u32,
    /// Its requests need no organisation.
    #[serde(rename = "open")]
    pub allow_anonymous: bool,
}

/// A group that serves a share of a route.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Target {
    /// The name of the group.
    pub group: SmolStr,
    /// Its share against the other targets.
    pub weight: f64,
}

/// What may be repeated.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Kind {
    /// Any number of runs does no harm.
    Idempotent,
    /// One run at most.
    Once,
    /// A stream of events, one run at most.
    Stream,
    /// A stream of events that may go on in another run.
    Resumable,
}

impl Kind {
    /// Whether a second run does no harm while nothing of the answer was handed on.
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

/// Backend servers of one kind.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Group {
    /// Connections that one server takes from all instances together.
    pub connections: usize,
    /// Set for model engines.
    pub engine: Option<Engine>,
}

/// What the engines of a group can hold.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Engine {
    /// Requests that run at once on one server.
    pub slots: u32,
    /// Memory for weights and adapters of one server.
    pub memory_mb: f64,
    /// Adapters that one server may hold.
    #[serde(rename = "adapter_places")]
    pub adapter_slots: usize,
    /// Loads from the weight store a second, over all servers.
    pub loads_per_second: f64,
    /// Models by name.
    pub models: BTreeMap<SmolStr, Model>,
}

/// One model.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Model {
    /// Memory of its weights.
    pub memory_mb: f64,
    /// How long a load takes from the weight store, alone.
    #[serde(rename = "fetch")]
    pub store_load_time: Duration,
    /// How long it takes from the server's own disk.
    #[serde(rename = "from_disk")]
    pub disk_load_time: Duration,
    /// How long it takes from the server's host memory.
    #[serde(rename = "from_host")]
    pub host_load_time: Duration,
    /// Memory of one of its adapters.
    pub adapter_mb: f64,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Limits {
    /// The largest header.
    pub header_bytes: usize,
    /// The largest body.
    pub body_bytes: usize,
    /// How long a header may take.
    pub header_time: Duration,
    /// How long a connection may lie idle.
    pub idle: Duration,
}

impl Default for Limits {
    /// Bounds for an instance that has no configuration yet.
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_time: Duration::from_secs(3),
            idle: Duration::from_secs(15),
        }
    }
}

impl Config {
    /// The route with the longest prefix of `path` at `host`. The port in `host` and its case don't matter.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        self.routes
            .iter()
            .filter(|route| route.host.eq_ignore_ascii_case(host))
            .filter(|route| path.starts_with(route.prefix.as_str()))
            .max_by_key(|route| route.prefix.len())
    }
}

impl Route {
    /// The group for a request; `draw` from 0 up to 1 divides requests by weight.
    #[must_use]
    pub fn group(&self, draw: f64) -> Option<&SmolStr> {
        let total: f64 = self.targets.iter().map(|target| target.weight).sum();
        let mut rest = draw * total;
        for target in &self.targets {
            rest -= target.weight;
            if rest < 0.0 {
                return Some(&target.group);
            }
        }
        self.targets.last().map(|target| &target.group)
    }
}
