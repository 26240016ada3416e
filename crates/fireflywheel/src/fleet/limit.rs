//! Limits that overloaded backend servers name, kept by all instances together.
//!
//! A server names how many requests a second it takes from all instances. Some take so few that a part for each instance would
//! be a request a minute, so they aren't divided. An instance asks the steward for a permit before each request to such a server
//! ([`gate`]); the steward grants as many as the server takes ([`pacer`]). An instance without a steward sends by
//! chance, so rarely that all together stay below the limit.

pub mod gate;
pub mod pacer;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// What a server's answers say of its limit.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Notice {
    /// The server.
    pub server: SmolStr,
    /// Requests a second that it takes from all instances; none if it names no limit any more.
    pub per_second: Option<f64>,
}

/// A request waits for a permit.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Request {
    /// The server that it would go to.
    pub server: SmolStr,
    /// How long it can wait, in milliseconds.
    pub left_ms: u32,
}

/// The steward's answer to an [`Request`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Reply {
    /// The server.
    pub server: SmolStr,
    /// Whether one request may go there.
    pub outcome: Outcome,
}

/// What became of an [`Request`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// One request may go there now.
    Granted,
    /// It is in the queue, and has its turn in so many milliseconds.
    Queued(u32),
    /// Its turn would come too late, in so many milliseconds.
    Refused(u32),
}
