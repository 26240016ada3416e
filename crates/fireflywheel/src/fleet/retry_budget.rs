//! Limits how many retries all instances together send to one group.
//!
//! Each instance has an equal share of the fixed allowance, and the ratio applies to its own first attempts.
//! The window slides in buckets, so that a burst at the end of one window and at the start of the next counts
//! as one burst.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock;

/// The number of buckets of a window. More would cost memory; fewer would drop a burst too early or too late.
const WINDOW_BUCKETS: u32 = 10;
/// The share of the budget that is used, since instances may learn late of a change in the fleet's size.
const USABLE_RATIO: f64 = 0.7;

/// The limits of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// The number of retries allowed for each first attempt.
    pub ratio: f64,
    /// The number of retries allowed in a window beyond the ratio, over all instances.
    pub extra: f64,
    /// The length of a window.
    pub window: Duration,
}

/// One instance's share of the retry budget of a group.
#[derive(Clone, Debug)]
pub struct Budget {
    options: Options,
    buckets: VecDeque<Bucket>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    started: clock::Instant,
    requests: u32,
    retries: u32,
}

impl Budget {
    /// Creates an unused budget.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Self {
            options,
            buckets: VecDeque::new(),
        }
    }

    /// Records the first attempt of a request.
    pub fn record_request(&mut self, now: clock::Instant) {
        self.current_bucket(now).requests += 1;
    }

    /// Uses one retry; returns `false` if the share of this instance, one of `instances`, is used up.
    #[must_use]
    pub fn try_retry(&mut self, now: clock::Instant, instances: usize) -> bool {
        self.current_bucket(now);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let extra = self.options.extra / instances.max(1) as f64;
        let allowed = USABLE_RATIO * (extra + self.options.ratio * f64::from(requests));
        if f64::from(retries) + 1.0 > allowed {
            return false;
        }
        self.current_bucket(now).retries += 1;
        true
    }

    fn current_bucket(&mut self, now: clock::Instant) -> &mut Bucket {
        let bucket_length = self.options.window / WINDOW_BUCKETS;
        while let Some(oldest) = self.buckets.front() {
            if now.since(oldest.started) <= self.options.window {
                break;
            }
            self.buckets.pop_front();
        }
        let is_current = self
            .buckets
            .back()
            .is_some_and(|bucket| now.since(bucket.started) < bucket_length);
        if !is_current {
            self.buckets.push_back(Bucket {
                started: now,
                ..Bucket::default()
            });
        }
        self.buckets
            .back_mut()
            .expect("a bucket was just pushed if there was none")
    }
}
