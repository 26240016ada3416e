//! What the platform and the engines tell about themselves: all of it late, none of it proof.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{item, placement};

/// An engine's load report (`GET /v1/load`), which lags.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Report {
    /// The engine's unix milliseconds when the report was true.
    pub at_ms: u64,
    /// Changes when the engine restarts.
    pub boot: SmolStr,
    /// Requests running.
    pub running: u32,
    /// Requests waiting in the engine.
    pub waiting: u32,
    /// Requests it runs at once.
    pub slots: u32,
    /// What is loaded.
    pub loaded: Vec<item::Item>,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// The newest events of its prefix cache.
    pub cache: Cache,
    /// Checkpoints that lie nearer than the weight store.
    pub checkpoints: Vec<Checkpoint>,
}

/// Where an engine has a checkpoint.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Checkpoint {
    /// Of which version of a model.
    pub item: item::Item,
    /// Where it lies.
    pub source: placement::Source,
}

impl Report {
    /// Where the engine has the checkpoint of an item, when it is nearer than the weight store.
    #[must_use]
    pub fn source(&self, item: &item::Item) -> Option<placement::Source> {
        let mut checkpoints = self.checkpoints.iter();
        let found = checkpoints.find(|checkpoint| checkpoint.item == *item);
        found.map(|checkpoint| checkpoint.source)
    }
}

/// Events of an engine's prefix cache: late, and with gaps.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Cache {
    /// The number of the oldest event in the report.
    pub first: u64,
    /// The events.
    pub events: Vec<CacheEvent>,
}

/// One change of a prefix cache.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvent {
    /// Rises by one.
    pub seq: u64,
    /// A hash of the prefix.
    pub prefix: SmolStr,
    /// Stored, or dropped.
    pub stored: bool,
}

/// One instance in the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListEntry {
    /// Its name.
    pub name: SmolStr,
    /// `IP:PORT`: for one of ours the peer address, for a backend server its HTTP address.
    pub address: SmolStr,
    /// Ours, or a backend server.
    pub kind: Kind,
    /// The group of a backend server.
    #[serde(default)]
    pub group: SmolStr,
    /// Its failure domain.
    #[serde(default)]
    pub failure_domain: SmolStr,
    /// Live, or leaving.
    pub state: State,
}

/// What a listed instance is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// An instance of this system.
    Router,
    /// A model engine or a plain service.
    Backend,
}

/// How the platform says it is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// In service.
    Live,
    /// Going: nothing new for it.
    Leaving,
}
