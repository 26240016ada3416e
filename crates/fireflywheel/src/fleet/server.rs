//! What is known of a backend server.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::clock;

/// A backend server as the directory names it.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// Its id; a restart may keep it.
    pub id: SmolStr,
    /// The group that it belongs to.
    pub group: SmolStr,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: SmolStr,
    /// Requests that it runs at once.
    pub slots: u32,
    /// It takes new requests.
    pub ready: bool,
    /// When it will be gone, if it said so.
    pub leaves: Option<clock::Instant>,
    /// Unix milliseconds of its start.
    pub started_ms: u64,
    /// Which of its entries since its start this is; 0 if it doesn't say so.
    pub revision: u64,
    /// What it holds, as of its last entry.
    pub held: Held,
}

impl Server {
    /// Whether its entry is older than another one of the same process.
    #[must_use]
    pub fn is_older(&self, started_ms: u64, revision: u64) -> bool {
        self.started_ms == started_ms && self.revision > 0 && self.revision < revision
    }
}

/// What an engine says when it is asked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Orders accepted since its start.
    pub orders: u64,
    /// What it holds.
    pub held: Held,
}

/// What a model engine holds.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Held {
    /// An order is being carried out.
    pub busy: bool,
    /// Models in memory, with their adapters.
    pub models: BTreeMap<SmolStr, BTreeSet<SmolStr>>,
    /// Adapters on their way, as model and adapter.
    #[serde(rename = "coming")]
    pub loading_adapters: BTreeSet<(SmolStr, SmolStr)>,
    /// Models with a copy in host memory.
    #[serde(rename = "in_host")]
    pub in_host_memory: BTreeSet<SmolStr>,
    /// Models with a copy on its disk.
    pub on_disk: BTreeSet<SmolStr>,
}

impl Held {
    /// Whether a request for `model`, or for `adapter` on it, can run now.
    #[must_use]
    pub fn holds(&self, model: &str, adapter: Option<&str>) -> bool {
        self.models
            .get(model)
            .is_some_and(|adapters| adapter.is_none_or(|adapter| adapters.contains(adapter)))
    }

    /// Adapters in memory and on their way.
    #[must_use]
    pub fn adapters(&self) -> usize {
        self.models.values().map(BTreeSet::len).sum::<usize>() + self.loading_adapters.len()
    }
}
