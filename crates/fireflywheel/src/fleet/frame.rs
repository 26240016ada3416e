//! What instance and steward tell each other over their link.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::{demand, server};

/// One message of a link.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Frame {
    /// The first from an instance.
    Hello {
        /// The instance's name.
        instance: SmolStr,
        /// Tells two processes of one name apart.
        incarnation: u64,
    },
    /// All that an instance wants and has running; replaces what it said before.
    Demand(demand::Demand),
    /// What an engine holds, from the steward that orders it.
    Held {
        /// The engine's id.
        server: SmolStr,
        /// Unix milliseconds of its start.
        born: u64,
        /// What it holds.
        held: server::Held,
    },
    /// How long models will take that are nowhere yet, from the steward.
    Forecast(Vec<Forecast>),
    /// The sender is alive, from the steward.
    Beat {
        /// It may order engines.
        acts: bool,
        /// Instances that it has a link to, itself included.
        instances: u32,
        /// The end of the lease's record after the last renewal.
        lease_end: u64,
    },
}

/// When a model can be used.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Forecast {
    /// The group of its engines.
    pub group: SmolStr,
    /// The model.
    pub model: SmolStr,
    /// From now until it can be used, in milliseconds.
    pub wait_ms: u32,
}
