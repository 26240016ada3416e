//! When the platform's store may be called again after calls that failed.
//!
//! A store that is away, or that turns instances away because there are too many calls, gets more of them the more
//! instances there are, and each call costs money. If each reader of each instance tried again on its own, an outage
//! of some seconds would bring tens of thousands of calls, and the store would be kept busy refusing when it is back.
//! So all readers and writers of one instance share one state: after a failure one of them tries again at a time,
//! later each time, and the first success lets all others go on.

use std::time::Duration;

use crate::clock;

/// Pause after the first failure: a single lost answer should hold up nothing for long.
const FIRST: Duration = Duration::from_millis(100);
/// How much longer each pause is than the one before.
const GROWTH: f64 = 2.0;
/// Pauses are drawn from this part of their length up to all of it, so that instances don't call together.
const LEAST_DRAW: f64 = 0.5;

/// Pauses of one instance between calls to a store that fails.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    failures: u32,
    until: clock::Instant,
}

impl Backoff {
    /// How long a caller has to wait; zero when it may call now. While the store fails, one caller at a time may:
    /// the next may after another pause, or as soon as that call has succeeded. `most` is the longest pause.
    pub fn claim(&mut self, now: clock::Instant, most: Duration, draw: f64) -> Duration {
        if self.failures == 0 {
            return Duration::ZERO;
        }
        let left = self.until.since(now);
        if left.is_zero() {
            self.until = now.after(self.pause(most, draw));
        }
        left
    }

    /// A call had no usable answer. `draw` is from 0 up to 1. Pauses are counted from the beginning of a call: after one
    /// that got no answer at all its limit has passed already, and a configuration that was accepted meanwhile would be
    /// in force too late.
    pub fn record_failure(&mut self, now: clock::Instant, most: Duration, draw: f64) {
        self.failures = self.failures.saturating_add(1);
        if self.failures == 1 {
            self.until = now.after(self.pause(most, draw));
        }
    }

    /// How long a read may wait at the store for news that usually waits for `usual`. While the store fails it doesn't
    /// wait: a store that is silent would hold it up for the wait besides the call's own limit, and a configuration
    /// that is accepted as soon as the store is back would be in force too late.
    #[must_use]
    pub fn wait(&self, usual: Duration) -> Duration {
        if self.failures == 0 {
            usual
        } else {
            Duration::ZERO
        }
    }

    /// Whether the last call had no usable answer.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// A call was answered; whether calls had failed before.
    pub fn record_success(&mut self) -> bool {
        std::mem::take(&mut self.failures) > 0
    }

    fn pause(&self, most: Duration, draw: f64) -> Duration {
        let doublings = i32::try_from(self.failures.saturating_sub(1)).unwrap_or(i32::MAX);
        let whole = FIRST.as_secs_f64() * GROWTH.powi(doublings);
        let whole = whole.min(most.as_secs_f64());
        Duration::from_secs_f64(whole * (LEAST_DRAW + (1.0 - LEAST_DRAW) * draw))
    }
}
