//! State of a backend server.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::era::Position;
use crate::clock;

/// A backend server as listed in the directory.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// The server's id, which may be the same after a restart.
    pub id: SmolStr,
    /// The group that the server belongs to.
    pub group: SmolStr,
    /// The address that the server listens on.
    pub address: SocketAddr,
    /// The server's failure domain.
    pub failure_domain: SmolStr,
    /// The version of the server's software; `None` if the entry doesn't tell.
    pub version: Option<SmolStr>,
    /// The number of requests that the server runs at once.
    pub slots: u32,
    /// The server accepts new requests.
    pub ready: bool,
    /// When the server will stop; `None` if it has not announced a stop.
    pub stops_at: Option<clock::Instant>,
    /// When the server started, in Unix milliseconds.
    pub started_ms: u64,
    /// The number of this entry among the server's entries since its start; 0 if the server does not number
    /// them.
    pub revision: u64,
    /// The position of the entry's record in the store's log; `None` if its source doesn't tell.
    pub position: Option<Position>,
    /// The server's holdings, as of its last entry.
    pub held: Held,
}

/// An engine's answer to a status request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// The number of orders accepted since the engine's start.
    pub orders: u64,
    /// When the engine started, in Unix milliseconds, if the report tells.
    pub started_ms: Option<u64>,
    /// The engine's holdings.
    pub held: Held,
}

/// The models and adapters that an engine holds.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Held {
    /// The engine is executing an order.
    pub busy: bool,
    /// Models in memory, with their adapters.
    pub models: BTreeMap<SmolStr, BTreeSet<SmolStr>>,
    /// Adapters that are being loaded, as pairs of model and adapter.
    #[serde(rename = "coming")]
    pub loading_adapters: BTreeSet<(SmolStr, SmolStr)>,
    /// Models with a copy in host memory.
    #[serde(rename = "in_host")]
    pub in_host_memory: BTreeSet<SmolStr>,
    /// Models with a copy on the engine's disk.
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

    /// The number of adapters in memory and being loaded.
    #[must_use]
    pub fn adapters(&self) -> usize {
        self.models.values().map(BTreeSet::len).sum::<usize>() + self.loading_adapters.len()
    }
}
