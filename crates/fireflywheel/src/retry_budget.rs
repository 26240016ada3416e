//! A retry budget, which limits retries to a small fraction of first attempts, so that retries cannot keep an
//! overloaded backend server from recovering.
//!
//! Only the router that received the request from its caller retries it, and it consults this budget before each
//! retry. Nothing behind that router retries, so attempts don't multiply from hop to hop. The floor allows a router
//! with little traffic to retry at all. It applies to the whole fleet and is divided by the number of instances: a
//! fixed floor for each instance would add up to a retry storm on a large fleet.

use crate::{bucket, clock};

/// The limits on retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// The number of retries allowed for each first attempt; 0.1 allows one for every ten.
    pub ratio: f64,
    /// The number of retries per second that the whole fleet may send in addition to the ratio.
    pub floor_per_second: f64,
    /// The largest number of unused retries that one instance accumulates.
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

/// A token bucket that first attempts and the floor fill, and retries drain.
#[derive(Clone, Debug)]
pub struct Budget {
    options: Options,
    instances: usize,
    bucket: bucket::Bucket,
}

impl Budget {
    /// Creates a full budget for a fleet of one instance.
    #[must_use]
    pub fn new(now: clock::Instant, options: Options) -> Self {
        Self {
            options,
            instances: 1,
            bucket: bucket::Bucket::new(now, options.burst),
        }
    }

    /// Sets the number of instances that share the floor.
    pub fn set_instances(&mut self, now: clock::Instant, instances: usize) {
        self.refill(now);
        self.instances = instances.max(1);
    }

    /// Records that a first attempt was sent.
    pub fn record_request(&mut self, now: clock::Instant) {
        self.refill(now);
        self.bucket.add(self.options.ratio);
    }

    /// Takes a token for a retry. Returns `false` when the budget is exhausted and the failure must be passed on to
    /// the caller.
    #[must_use]
    pub fn try_retry(&mut self, now: clock::Instant) -> bool {
        self.refill(now);
        self.bucket.try_take()
    }

    fn refill(&mut self, now: clock::Instant) {
        let floor = self.options.floor_per_second / self.instances as f64;
        self.bucket.refill(now, floor);
    }
}
