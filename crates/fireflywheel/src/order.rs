//! Orders to a model engine, and their answers.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::item;

/// Identifies one attempt to send an order at the sending instance, so that the answer can be assigned to it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AttemptId(pub u64);

/// The operation that an order requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Load the item; no effect when it is already loaded.
    Load,
    /// Finish the requests that run on the item, then unload it; no effect when it is not loaded.
    Unload,
    /// Report what is loaded. An engine that checks fencing numbers then also refuses every order with a lower
    /// number.
    Query,
}

/// An order as it is sent to the engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Command {
    /// A unique identifier of the order for the engine's log.
    pub order: SmolStr,
    /// The requested operation.
    pub kind: Kind,
    /// The item that the operation applies to.
    pub item: item::Item,
    /// The memory that the item takes, in MB.
    pub memory_mb: u64,
    /// The fencing number: the epoch in the high half, and the number of the send attempt in the low half. Every
    /// attempt has a number of its own, so that after a retry the engine refuses the earlier copy whose answer
    /// was lost.
    pub fencing: u64,
}

/// The result of an attempt to send an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The engine carried out the order, and this is its answer to the attempt.
    Done(Loaded),
    /// The engine refused the order because of an old fencing number, and did nothing.
    Stale,
    /// The engine answered that the order had no effect, for example because the weight store failed.
    Failed(SmolStr),
    /// No byte of the order left this instance.
    Unsent,
    /// No answer was received, and the order may take effect at any later time.
    Lost,
}

/// The items that an engine has loaded just after it carried out an order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Loaded {
    /// The items, each completely loaded.
    pub loaded: Vec<item::Item>,
    /// The identifier of the engine's process, which changes when the engine restarts.
    pub boot: SmolStr,
}
