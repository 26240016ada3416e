//! Request limits that overloaded backend servers announce, enforced by all instances together.
//!
//! A server announces how many requests per second it accepts from all instances. Some limits are so low
//! that an equal part for each instance would be one request per minute, so limits are not divided.
//! Instead, an instance asks the steward for a permit before each request to such a server ([`gate`]), and
//! the steward grants permits at the rate that the server accepts ([`pacer`]). An instance without a
//! steward sends requests at random, so rarely that all instances together stay below the limit.

pub mod gate;
pub mod pacer;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// A server's limit as stated in its answers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Notice {
    /// The server's id.
    pub server: SmolStr,
    /// The requests per second that the server accepts from all instances; `None` if it no longer announces
    /// a limit.
    pub per_second: Option<f64>,
}

/// A request for a permit, on behalf of a waiting request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Request {
    /// The id of the server that the waiting request would go to.
    pub server: SmolStr,
    /// How long the waiting request can still wait, in milliseconds.
    #[serde(rename = "left_ms")]
    pub max_wait_ms: u32,
}

/// The steward's answer to a [`Request`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Reply {
    /// The server's id.
    pub server: SmolStr,
    /// The decision on the request.
    pub outcome: Outcome,
}

/// The steward's decision on a [`Request`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// One request may be sent now.
    Granted,
    /// The request is queued and expects its permit in this many milliseconds.
    Queued(u32),
    /// The permit would come too late; it would take this many milliseconds.
    Refused(u32),
}
