//! Rate limiting and rate measurement.

use std::time::Duration;

use crate::{bucket, clock};

/// A rate limiter. The allowance of one second that was left unused may be used at once.
#[derive(Clone, Copy, Debug)]
pub struct Limiter {
    per_second: f64,
    bucket: bucket::Bucket,
}

impl Limiter {
    /// Creates a limiter for `per_second` uses per second that starts with the allowance of one second.
    #[must_use]
    pub fn new(per_second: u32) -> Self {
        let per_second = f64::from(per_second);
        Self {
            per_second,
            bucket: bucket::Bucket::new(clock::Instant::default(), per_second),
        }
    }

    /// Uses one unit of the allowance; returns `false` if none is left.
    #[must_use]
    pub fn try_acquire(&mut self, now: clock::Instant) -> bool {
        self.bucket.refill(now, self.per_second);
        self.bucket.try_take()
    }
}

/// An exponentially decaying rate. Its methods take the half-life.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate {
    weight: f64,
    updated: clock::Instant,
}

impl Rate {
    /// Adds `count` events. A negative count withdraws events counted before.
    pub fn add(&mut self, now: clock::Instant, half_life: Duration, count: f64) {
        self.weight = (self.weight_at(now, half_life) + count).max(0.0);
        self.updated = now;
    }

    /// Adds a constant rate of `per_second` events, as if it had lasted for a long time.
    pub fn add_rate(&mut self, now: clock::Instant, half_life: Duration, per_second: f64) {
        let weight = per_second * half_life.as_secs_f64() / std::f64::consts::LN_2;
        self.add(now, half_life, weight);
    }

    /// Returns the rate in events per second over the last half-lives.
    #[must_use]
    pub fn per_second(&self, now: clock::Instant, half_life: Duration) -> f64 {
        self.weight_at(now, half_life) * std::f64::consts::LN_2 / half_life.as_secs_f64()
    }

    fn weight_at(&self, now: clock::Instant, half_life: Duration) -> f64 {
        let half_lives = now.since(self.updated).div_duration_f64(half_life);
        self.weight * 0.5_f64.powf(half_lives)
    }
}
