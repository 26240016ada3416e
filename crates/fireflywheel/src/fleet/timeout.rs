//! How long a request is worth keeping, and when it should come back.

use std::time::Duration;

use super::config;

/// Callers of streams leave when nothing comes for this long, or for the multiples below, whichever is most.
const SHORTEST_STREAM_PATIENCE: Duration = Duration::from_secs(2);
/// The same, as a multiple of the route's objective.
const OBJECTIVES: u32 = 4;
/// The same, as a multiple of the longest pause between events.
const PAUSES: u32 = 8;
/// The share of its patience that a request may expect to queue: instances don't serve a queue in one order, so some wait
/// longer than expected.
const QUEUEING_SHARE: f64 = 0.75;
/// Callers come back once within this share of the time that they have left.
const RETURN_SHARE: u32 = 3;
/// A caller isn't asked to come back sooner, so that a crowd doesn't ask again at once.
const SOONEST_RETURN: Duration = Duration::from_millis(50);
/// Callers that are refused together come back spread over this share of their wait: as one wave they would be refused
/// again.
const SPREAD: f64 = 0.25;
/// A caller is asked back after this many times as long as an outage has lasted so far. Most callers come back once only:
/// after as long again half of all outages would still go on, after this one in five.
const OUTAGE_FACTOR: u32 = 4;
/// The least of an outage that has just begun: most starts are over then.
const SHORTEST_OUTAGE: Duration = Duration::from_millis(300);

/// How long a queue may be that a request joins which is kept for `timeout`. Whoever would wait in vain is better told at
/// once when to come back.
#[must_use]
pub fn max_queue_wait(timeout: Duration) -> Duration {
    timeout.mul_f64(QUEUEING_SHARE)
}

/// How long a caller waits for the first byte of a response.
#[must_use]
pub fn first_byte(route: &config::Route, deadline: Duration) -> Duration {
    let whole = deadline.min(route.timeout);
    if !route.kind.is_stream() {
        return whole;
    }
    let pause = route.max_event_gap.unwrap_or_default() * PAUSES;
    let patience = SHORTEST_STREAM_PATIENCE
        .max(route.objective * OBJECTIVES)
        .max(pause);
    whole.min(patience)
}

/// When a caller should come back to find what will be ready after `wait`, if it has `left` until its deadline. `draw`, from
/// 0 to 1, spreads callers.
#[must_use]
pub fn retry_after(wait: Duration, left: Duration, draw: f64) -> Duration {
    let spread = wait.mul_f64(1.0 + SPREAD * draw);
    spread.min(left / RETURN_SHARE).max(SOONEST_RETURN)
}

/// How much longer an outage is likely to last that has lasted so long.
#[must_use]
pub fn remaining_outage(lasted: Duration) -> Duration {
    (lasted * OUTAGE_FACTOR).max(SHORTEST_OUTAGE)
}
