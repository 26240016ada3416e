//! Timing of the link from an instance to the steward: when demand is due, when to reconnect, and how long
//! the steward's reads of the store stay valid.

use std::time::Duration;

use crate::clock;

/// The share of the deadline for applying a read up to which the steward's reads replace an instance's own.
/// The rest is left for the instance's own read after that.
const MAX_READ_AGE_RATIO: f64 = 0.75;

/// The time at which the next demand is due. It persists across all received frames: if the interval
/// restarted with each frame, it would never end while the steward sends, and the steward would take the
/// instance for dead.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timer(clock::Instant);

impl Timer {
    /// Creates a timer that is due after `delay`.
    #[must_use]
    pub fn new(now: clock::Instant, delay: Duration) -> Self {
        Self(now.after(delay))
    }

    /// Makes the timer due after `delay` at the latest.
    pub fn expire_within(&mut self, now: clock::Instant, delay: Duration) {
        self.0 = self.0.min(now.after(delay));
    }

    /// Returns the time until the timer is due, or zero once it is.
    #[must_use]
    pub fn remaining(&self, now: clock::Instant) -> Duration {
        self.0.since(now)
    }
}

/// Returns the time until which the steward's reads replace an instance's own, or `None` if they are already
/// too old.
///
/// A heartbeat answers a demand that the instance sent at `demand_sent`, so it was made after that, however
/// long it was delayed on the way. The reads were `read_age` old then, and must be applied within
/// `apply_deadline`.
#[must_use]
pub fn reads_valid_until(
    now: clock::Instant,
    demand_sent: clock::Instant,
    read_age: Duration,
    apply_deadline: Duration,
) -> Option<clock::Instant> {
    let validity = apply_deadline
        .mul_f64(MAX_READ_AGE_RATIO)
        .saturating_sub(read_age);
    let valid_until = demand_sent.after(validity);
    (valid_until > now).then_some(valid_until)
}

/// The maximum exponent of the delay, which grows by powers of two.
const MAX_DOUBLINGS: u32 = 3;
/// The smallest share of a delay that is used. The share is drawn at random, so that instances don't
/// reconnect at the same time.
const MIN_DELAY_RATIO: f64 = 0.5;

/// Retries of the link to a steward. When hundreds of instances connect to a new steward at once, each link
/// takes longer than usual to open. With the usual time-out and delay no link would stay open for long.
#[derive(Clone, Copy, Debug, Default)]
pub struct Retry {
    failures: u32,
}

impl Retry {
    /// Records that a link was open, or that another instance is steward.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Records a failed attempt.
    pub fn record_failure(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    /// Returns the time-out for opening the next link, where `usual` is the time-out without failures.
    #[must_use]
    pub fn connect_timeout(&self, usual: Duration) -> Duration {
        usual * 2_u32.pow(self.failures.min(MAX_DOUBLINGS))
    }

    /// Returns the delay until the next attempt, where `first` is the delay after the first failure. `draw`
    /// is at least 0 and below 1.
    #[must_use]
    pub fn delay(&self, first: Duration, draw: f64) -> Duration {
        let doublings = self.failures.saturating_sub(1).min(MAX_DOUBLINGS);
        let ratio = MIN_DELAY_RATIO + (1.0 - MIN_DELAY_RATIO) * draw;
        (first * 2_u32.pow(doublings)).mul_f64(ratio)
    }
}
