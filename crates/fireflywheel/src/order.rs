//! Orders to a model engine, and what came of them.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::item;

/// Names one sending of an order at the instance that sent it, so that its answer finds its way back.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AttemptId(pub u64);

/// What an engine is told to do.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Load the item; done already when it is loaded.
    Load,
    /// Finish what runs on the item, then unload it; done already when it isn't loaded.
    Unload,
    /// Say what is loaded. On an engine that fences, it also shuts out every order with a lower number.
    Query,
}

/// One order, as it goes over the wire to the engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Command {
    /// Unique text for the engine's log.
    pub order: SmolStr,
    /// What to do.
    pub kind: Kind,
    /// With what.
    pub item: item::Item,
    /// Memory that the item takes.
    pub memory_mb: u64,
    /// The epoch in the high half, a count of sendings in the low one: every sending has a number of its
    /// own, so that a repeat shuts out the copy whose answer was lost.
    pub fencing: u64,
}

/// What is known after a sending.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The engine's own answer to this sending.
    Done(Loaded),
    /// The engine refused, and did nothing: an old fencing number.
    Stale,
    /// The engine says that the order had no effect (the weight store failed, say).
    Failed(SmolStr),
    /// No byte left this instance.
    Unsent,
    /// No answer: it may take effect at any later moment.
    Lost,
}

/// What an engine has loaded just after an order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Loaded {
    /// Items, each in full.
    pub loaded: Vec<item::Item>,
    /// Changes when the engine restarts.
    pub boot: SmolStr,
}
