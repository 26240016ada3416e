//! Time-outs of requests, and when refused callers should retry.

use std::time::Duration;

use super::config;

/// The minimum time-out for the first byte of a stream. The time-out is this or one of the multiples below,
/// whichever is longest: callers give up after that.
const MIN_STREAM_TIMEOUT: Duration = Duration::from_secs(2);
/// The time-out for the first byte of a stream, as a multiple of the route's objective.
const STREAM_TIMEOUT_OBJECTIVES: u32 = 4;
/// The time-out for the first byte of a stream, as a multiple of the longest gap between events.
const STREAM_TIMEOUT_GAPS: u32 = 8;
/// The share of its time-out that a request may expect to queue. Instances don't serve a queue in one common
/// order, so some requests wait longer than expected.
const MAX_QUEUE_WAIT_RATIO: f64 = 0.75;
/// The divisor of a caller's remaining time that gives the latest time to retry. Callers retry once if they
/// are asked to do so within that time.
const RETRY_AFTER_DIVISOR: u32 = 3;
/// The shortest time after which a caller is asked to retry, so that many callers don't retry at once.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// The share of the wait over which the retries of callers that were refused together are spread. As one wave
/// they would be refused again.
const RETRY_AFTER_JITTER: f64 = 0.25;
/// The factor on the duration of an outage so far after which callers are asked to retry. Most callers retry
/// only once: after another duration of equal length, half of all outages would still last; after this
/// factor, one in five.
const OUTAGE_FACTOR: u32 = 4;
/// The shortest estimate for an outage that has just begun: most process starts are over by then.
const MIN_REMAINING_OUTAGE: Duration = Duration::from_millis(300);

/// Returns the longest queue wait with which a request may join a queue. A request that would wait in vain is
/// better refused at once with the time to retry.
#[must_use]
pub fn max_queue_wait(timeout: Duration) -> Duration {
    timeout.mul_f64(MAX_QUEUE_WAIT_RATIO)
}

/// Returns how long a caller waits for the first byte of a response.
#[must_use]
pub fn first_byte(route: &config::Route, deadline: Duration) -> Duration {
    let limit = deadline.min(route.timeout);
    if !route.kind.is_stream() {
        return limit;
    }
    let gap_timeout = route.max_event_gap.unwrap_or_default() * STREAM_TIMEOUT_GAPS;
    let timeout = MIN_STREAM_TIMEOUT
        .max(route.latency_objective * STREAM_TIMEOUT_OBJECTIVES)
        .max(gap_timeout);
    limit.min(timeout)
}

/// Returns the time after which a caller should retry to find what will be ready after `wait`, if `remaining`
/// is left until its deadline. `draw`, from 0 to 1, spreads callers.
#[must_use]
pub fn retry_after(wait: Duration, remaining: Duration, draw: f64) -> Duration {
    let spread = wait.mul_f64(1.0 + RETRY_AFTER_JITTER * draw);
    spread
        .min(remaining / RETRY_AFTER_DIVISOR)
        .max(MIN_RETRY_AFTER)
}

/// Returns the estimated remaining duration of an outage that has lasted for `elapsed`.
#[must_use]
pub fn remaining_outage(elapsed: Duration) -> Duration {
    (elapsed * OUTAGE_FACTOR).max(MIN_REMAINING_OUTAGE)
}
