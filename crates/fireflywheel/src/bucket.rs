//! Token bucket: each operation takes a token, and tokens are refilled over time or by other events.

use crate::clock;

/// A token bucket with a capacity.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    capacity: f64,
    tokens: f64,
    last_refill: clock::Instant,
}

impl Bucket {
    /// Creates a full bucket.
    #[must_use]
    pub fn new(now: clock::Instant, capacity: f64) -> Self {
        Self {
            capacity,
            tokens: capacity,
            last_refill: now,
        }
    }

    /// Creates an empty bucket.
    #[must_use]
    pub fn empty(now: clock::Instant, capacity: f64) -> Self {
        Self {
            tokens: 0.0,
            ..Self::new(now, capacity)
        }
    }

    /// Returns the number of available tokens.
    #[must_use]
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Changes the capacity; tokens in excess of it are lost.
    pub fn resize(&mut self, capacity: f64) {
        self.capacity = capacity;
        self.add(0.0);
    }

    /// Adds the tokens accrued at this rate since the last refill.
    pub fn refill(&mut self, now: clock::Instant, per_second: f64) {
        let elapsed = now.since(self.last_refill).as_secs_f64();
        self.last_refill = self.last_refill.max(now);
        self.add(elapsed * per_second);
    }

    /// Adds tokens; tokens in excess of the capacity are lost.
    pub fn add(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.capacity);
    }

    /// Takes a token; returns `false` if none is available.
    #[must_use]
    pub fn try_take(&mut self) -> bool {
        let is_available = self.tokens >= 1.0;
        if is_available {
            self.tokens -= 1.0;
        }
        is_available
    }
}
