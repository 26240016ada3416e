//! How long a request is worth keeping, and when it should come back.

use std::time::Duration;

use super::config;

/// Callers of streams leave when nothing comes for this long, or for the multiples below, whichever is most.
const SHORTEST_STREAM_PATIENCE: Duration = Duration::from_secs(2);
/// The same, as a multiple of the route's objective.
const OBJECTIVES: u32 = 4;
/// The same, as a multiple of the longest pause between events.
const PAUSES: u32 = 8;
/// Callers come back once within this share of the time that they have left.
const RETURN_SHARE: u32 = 3;
/// A caller isn't asked to come back sooner, so that a crowd doesn't ask again at once.
const SOONEST_RETURN: Duration = Duration::from_millis(50);

/// How long a caller waits for the first byte of a response.
#[must_use]
pub fn first_byte(route: &config::Route, deadline: Duration) -> Duration {
    let whole = deadline.min(route.timeout);
    if !route.kind.is_stream() {
        return whole;
    }
    let pause = route.pause.unwrap_or_default() * PAUSES;
    let patience = SHORTEST_STREAM_PATIENCE
        .max(route.objective * OBJECTIVES)
        .max(pause);
    whole.min(patience)
}

/// When a caller should come back to find what will be ready after `wait`, if it has `left` until its deadline.
#[must_use]
pub fn retry_after(wait: Duration, left: Duration) -> Duration {
    wait.min(left / RETURN_SHARE).max(SOONEST_RETURN)
}
