//! Status of an instance for operators: the body of `GET /v1/status`.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{item, member};

/// Status of one instance.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Status {
    /// The instance's name.
    pub instance: SmolStr,
    /// Start time of the instance's process, in unix milliseconds.
    pub incarnation: u64,
    /// Whether the load balancer may send requests to the instance.
    pub ready: bool,
    /// Reason for not being ready; empty if the instance is ready.
    #[serde(default)]
    pub reason: SmolStr,
    /// Version of the configuration in use; 0 for none.
    pub version: u64,
    /// The instance's progress in reading the log.
    pub log: Log,
    /// The stewards of the groups.
    #[serde(default)]
    pub stewards: Vec<Steward>,
    /// The rights to have items loaded on backend servers.
    #[serde(default)]
    pub rights: Vec<Right>,
    /// The known instances.
    #[serde(default)]
    pub members: Vec<Member>,
    /// The queues of waiting requests at the instance.
    #[serde(default)]
    pub queues: Vec<Queue>,
}

/// Progress of an instance in reading the log.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Log {
    /// Whether the last read of the log succeeded.
    #[serde(rename = "reading")]
    pub readable: bool,
    /// The first offset that the instance has not folded.
    pub next: u64,
}

/// The steward of a group.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Steward {
    /// The group.
    pub group: SmolStr,
    /// The instance's name.
    pub by: SmolStr,
    /// The steward's epoch.
    pub epoch: u64,
}

/// A placement that counts towards memory and replica caps.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Right {
    /// The backend server's address.
    pub server: SmolStr,
    /// The item that is or may be loaded.
    pub item: item::Item,
    /// `loading`, `loaded`, `unloading` or `empty`.
    pub state: SmolStr,
    /// Number of orders that may still take effect.
    pub pins: usize,
    /// Reserved memory, in MB.
    pub memory_mb: u64,
}

/// An instance as seen by the reporting instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// The instance's name.
    pub instance: SmolStr,
    /// The instance's believed state.
    pub state: member::State,
}

/// Requests waiting at one instance.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Queue {
    /// The model.
    pub model: SmolStr,
    /// Number of waiting requests.
    pub waiting: usize,
}
