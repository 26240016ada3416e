//! How much of something may be done in a second, with some more at once; and how much is done.

use std::time::Duration;

use crate::{bucket, clock};

/// A limit on how often something is done. What was left unused for a second may be done at once.
#[derive(Clone, Copy, Debug)]
pub struct Limiter {
    per_second: f64,
    bucket: bucket::Bucket,
}

impl Limiter {
    /// So many in a second, and as many at the start.
    #[must_use]
    pub fn new(per_second: u32) -> Self {
        let per_second = f64::from(per_second);
        Self {
            per_second,
            bucket: bucket::Bucket::new(clock::Instant::default(), per_second),
        }
    }

    /// Takes one; `false` when there is none left.
    #[must_use]
    pub fn try_acquire(&mut self, now: clock::Instant) -> bool {
        self.bucket.fill(now, self.per_second);
        self.bucket.take()
    }
}

/// A rate that forgets half of what it saw after a half-life.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate {
    weight: f64,
    updated: clock::Instant,
}

impl Rate {
    /// Counts so many; fewer than none take back what was counted before.
    pub fn add(&mut self, now: clock::Instant, half_life: Duration, count: f64) {
        self.weight = (self.weight_at(now, half_life) + count).max(0.0);
        self.updated = now;
    }

    /// Counts as if there had been so many in each second for long.
    pub fn add_rate(&mut self, now: clock::Instant, half_life: Duration, per_second: f64) {
        let weight = per_second * half_life.as_secs_f64() / std::f64::consts::LN_2;
        self.add(now, half_life, weight);
    }

    /// So many in a second, as of the last half-lives.
    #[must_use]
    pub fn per_second(&self, now: clock::Instant, half_life: Duration) -> f64 {
        self.weight_at(now, half_life) * std::f64::consts::LN_2 / half_life.as_secs_f64()
    }

    fn weight_at(&self, now: clock::Instant, half_life: Duration) -> f64 {
        let halves = now.since(self.updated).div_duration_f64(half_life);
        self.weight * 0.5_f64.powf(halves)
    }
}
