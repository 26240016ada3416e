//! Reports of the platform and the engines about themselves. They lag and prove nothing.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{item, placement};

/// An engine's load report (`GET /v1/load`), which lags.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Report {
    /// Time of the report by the engine's clock, in unix milliseconds.
    pub at_ms: u64,
    /// Identifies the engine's process; changes when the engine restarts.
    pub boot: SmolStr,
    /// Number of running requests.
    pub running: u32,
    /// Number of requests waiting in the engine.
    pub waiting: u32,
    /// Number of requests that the engine runs concurrently.
    pub slots: u32,
    /// The loaded items.
    pub loaded: Vec<item::Item>,
    /// Whether the engine accepts no new requests.
    pub leaving: bool,
    /// The newest events of the engine's prefix cache.
    pub cache: Cache,
    /// Model checkpoints that the engine can load faster than from the weight store.
    pub checkpoints: Vec<Checkpoint>,
}

/// Location of a model checkpoint available to an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Checkpoint {
    /// The item, which names the version of a model.
    pub item: item::Item,
    /// The location of the checkpoint.
    pub source: placement::Source,
}

impl Report {
    /// Returns the location of an item's checkpoint if it is faster than the weight store.
    #[must_use]
    pub fn source(&self, item: &item::Item) -> Option<placement::Source> {
        let mut checkpoints = self.checkpoints.iter();
        let found = checkpoints.find(|checkpoint| checkpoint.item == *item);
        found.map(|checkpoint| checkpoint.source)
    }
}

/// Events of an engine's prefix cache. They lag, and some may be missing.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Cache {
    /// The number of the oldest event in the report.
    pub first: u64,
    /// The events, in order.
    pub events: Vec<CacheEvent>,
}

/// A change of a prefix cache.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvent {
    /// Sequence number of the event; increases by one.
    pub seq: u64,
    /// A hash of the prefix.
    pub prefix: SmolStr,
    /// Whether the prefix was stored (true) or evicted (false).
    pub stored: bool,
}

/// An entry of the platform's instance list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListEntry {
    /// The instance's name.
    pub name: SmolStr,
    /// The address, as `IP:PORT`: the peer address of a fireflywheel instance, or the HTTP address of a
    /// backend server.
    pub address: SmolStr,
    /// Whether it is a fireflywheel instance or a backend server.
    pub kind: Kind,
    /// The group of a backend server.
    #[serde(default)]
    pub group: SmolStr,
    /// The instance's failure domain.
    #[serde(default)]
    pub failure_domain: SmolStr,
    /// The instance's state according to the platform.
    pub state: State,
}

/// Kind of a listed instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A fireflywheel instance.
    Router,
    /// A model engine or a plain service.
    Backend,
}

/// State of a listed instance according to the platform.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The instance is in service.
    Live,
    /// The instance is going away and must receive no new work.
    Leaving,
}
