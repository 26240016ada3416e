//! A retry budget: retries are a small share of first attempts, so that they can't bring an overloaded
//! backend server down for good.
//!
//! Only the router that took the request from its caller retries it, and it asks this budget each time;
//! nothing behind it retries again, so attempts don't multiply from hop to hop. The floor, which lets a
//! router with little traffic retry at all, is meant for the whole fleet and divided by the number of
//! instances: a fixed floor for each would add up to a storm on a large fleet.

use crate::{bucket, clock};

/// How much may be retried.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Retries for each first attempt, 0.1 for one in ten.
    pub ratio: f64,
    /// Retries a second that the whole fleet may send beyond the ratio.
    pub floor_per_second: f64,
    /// Retries that may be saved up at one instance.
    pub burst: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            floor_per_second: 16.0,
            burst: 10.0,
        }
    }
}

/// A token bucket that first attempts fill and retries empty.
#[derive(Clone, Debug)]
pub struct Budget {
    options: Options,
    instances: usize,
    bucket: bucket::Bucket,
}

impl Budget {
    /// A full bucket at the only instance of its fleet.
    #[must_use]
    pub fn new(now: clock::Instant, options: Options) -> Self {
        Self {
            options,
            instances: 1,
            bucket: bucket::Bucket::new(now, options.burst),
        }
    }

    /// Tells how many instances share the floor.
    pub fn set_instances(&mut self, now: clock::Instant, instances: usize) {
        self.fill(now);
        self.instances = instances.max(1);
    }

    /// A first attempt was sent.
    pub fn record_request(&mut self, now: clock::Instant) {
        self.fill(now);
        self.bucket.add(self.options.ratio);
    }

    /// Takes a token for a retry; `false` when the budget is used up and the failure must be handed on.
    #[must_use]
    pub fn try_retry(&mut self, now: clock::Instant) -> bool {
        self.fill(now);
        self.bucket.take()
    }

    fn fill(&mut self, now: clock::Instant) {
        let floor = self.options.floor_per_second / self.instances as f64;
        self.bucket.fill(now, floor);
    }
}
