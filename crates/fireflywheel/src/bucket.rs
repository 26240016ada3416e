//! A bucket of tokens: what is done takes one, and they come back with time or with other events.

use crate::clock;

/// Tokens up to a capacity.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    capacity: f64,
    tokens: f64,
    filled: clock::Instant,
}

impl Bucket {
    /// A full bucket.
    #[must_use]
    pub fn new(now: clock::Instant, capacity: f64) -> Self {
        Self {
            capacity,
            tokens: capacity,
            filled: now,
        }
    }

    /// A bucket without tokens.
    #[must_use]
    pub fn empty(now: clock::Instant, capacity: f64) -> Self {
        Self {
            tokens: 0.0,
            ..Self::new(now, capacity)
        }
    }

    /// Tokens that are in it.
    #[must_use]
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Changes the capacity; what is beyond it is lost.
    pub fn resize(&mut self, capacity: f64) {
        self.capacity = capacity;
        self.add(0.0);
    }

    /// Adds what has come at this rate since the last time.
    pub fn fill(&mut self, now: clock::Instant, per_second: f64) {
        let elapsed = now.since(self.filled).as_secs_f64();
        self.filled = self.filled.max(now);
        self.add(elapsed * per_second);
    }

    /// Adds tokens; what is beyond the capacity is lost.
    pub fn add(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.capacity);
    }

    /// Takes a token; `false` when there is none.
    #[must_use]
    pub fn take(&mut self) -> bool {
        let there = self.tokens >= 1.0;
        if there {
            self.tokens -= 1.0;
        }
        there
    }
}
