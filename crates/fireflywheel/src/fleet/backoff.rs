//! Backs off from the platform's store after failed calls.
//!
//! A store that is unavailable, or that rejects calls because there are too many, receives more calls the
//! more instances there are, and each call costs money. If each reader of each instance retried on its own,
//! an outage of a few seconds would cause tens of thousands of calls, and the returning store would be kept
//! busy rejecting them. All readers and writers of one instance therefore share one state: after a failure
//! only one of them retries at a time, with growing delays, and the first success releases all others.

use std::time::Duration;

use crate::clock;

/// The delay after the first failure. It is short because a single lost answer should not hold up anything
/// for long.
const INITIAL_DELAY: Duration = Duration::from_millis(100);
/// The factor by which each delay exceeds the one before.
const DELAY_MULTIPLIER: f64 = 2.0;
/// The smallest share of a delay that is used. The share is drawn at random, so that instances don't call at
/// the same time.
const MIN_DELAY_RATIO: f64 = 0.5;

/// The backoff state of one instance for a failing store.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    failures: u32,
    next_call_at: clock::Instant,
}

impl Backoff {
    /// Returns how long a caller has to wait. Zero reserves the call, and the caller must make it now. While
    /// the store fails, one caller at a time may call: the next may after another delay, or as soon as that
    /// call has succeeded. `max_delay` is the longest delay.
    pub fn reserve_call(
        &mut self,
        now: clock::Instant,
        max_delay: Duration,
        draw: f64,
    ) -> Duration {
        if self.failures == 0 {
            return Duration::ZERO;
        }
        let remaining = self.next_call_at.since(now);
        if remaining.is_zero() {
            self.next_call_at = now.after(self.delay(max_delay, draw));
        }
        remaining
    }

    /// Records a call without a usable answer. `draw` is at least 0 and below 1. Delays count from the start
    /// of a call: after a call without any answer its time-out has already passed, and with a further delay a
    /// configuration accepted meanwhile would take effect too late.
    pub fn record_failure(&mut self, now: clock::Instant, max_delay: Duration, draw: f64) {
        self.failures = self.failures.saturating_add(1);
        if self.failures == 1 {
            self.next_call_at = now.after(self.delay(max_delay, draw));
        }
    }

    /// Returns how long a read may long-poll the store when the usual wait is `usual`. While the store fails
    /// the read doesn't wait: a silent store would hold it up for that wait in addition to the call's
    /// time-out, and a configuration accepted as soon as the store is back would take effect too late.
    #[must_use]
    pub fn long_poll_wait(&self, usual: Duration) -> Duration {
        if self.failures == 0 {
            usual
        } else {
            Duration::ZERO
        }
    }

    /// Whether a call has failed since the last recorded success.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Records an answered call; returns whether calls had failed before.
    pub fn record_success(&mut self) -> bool {
        std::mem::take(&mut self.failures) > 0
    }

    fn delay(&self, max_delay: Duration, draw: f64) -> Duration {
        let exponent = i32::try_from(self.failures.saturating_sub(1)).unwrap_or(i32::MAX);
        let delay = INITIAL_DELAY.as_secs_f64() * DELAY_MULTIPLIER.powi(exponent);
        let delay = delay.min(max_delay.as_secs_f64());
        Duration::from_secs_f64(delay * (MIN_DELAY_RATIO + (1.0 - MIN_DELAY_RATIO) * draw))
    }
}
