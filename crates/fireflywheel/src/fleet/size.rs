//! The number of instances that share a limit.
//!
//! The steward counts its links. A steward that has just taken over has few links yet, and one that is
//! partitioned from others has lost theirs. If instances adopted such a count at once, each would use a
//! large part of the limit while others still use theirs, and together they would exceed it; this shows as
//! more retries than the operator allows, some seconds after a change of steward. A lower count is
//! therefore adopted only once it has stayed low for a whole window of the limit.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock;

/// One instance's estimate of the number of instances.
#[derive(Clone, Debug)]
pub struct Size {
    window: Duration,
    /// Decreasing counts, each with the time when it was last reported.
    counts: VecDeque<(clock::Instant, usize)>,
}

impl Size {
    /// Creates an estimate. `assumed` is in force until a count is reported, and counts as reported at
    /// `now`.
    #[must_use]
    pub fn new(now: clock::Instant, window: Duration, assumed: usize) -> Self {
        Self {
            window,
            counts: VecDeque::from([(now, assumed.max(1))]),
        }
    }

    /// Records that the steward reports `count` at `now`.
    pub fn update(&mut self, now: clock::Instant, count: usize) {
        let count = count.max(1);
        while self.counts.back().is_some_and(|(_, last)| *last <= count) {
            self.counts.pop_back();
        }
        self.counts.push_back((now, count));
        // The newest count is kept at any age: without a link it is the best estimate available.
        while self.counts.len() > 1 && now.since(self.counts[0].0) > self.window {
            self.counts.pop_front();
        }
    }

    /// The latest count.
    #[must_use]
    pub fn latest(&self) -> usize {
        self.counts.back().map_or(1, |(_, count)| *count)
    }

    /// The largest count reported within `window` before `now`, or the latest one if that is older.
    #[must_use]
    pub fn count_within(&self, now: clock::Instant, window: Duration) -> usize {
        let mut counts = self.counts.iter();
        let recent = counts.find(|(at, _)| now.since(*at) <= window);
        recent.map_or_else(|| self.latest(), |(_, count)| *count)
    }

    /// The largest count reported within the window that ends with the latest report.
    #[must_use]
    pub fn count(&self) -> usize {
        self.counts.front().map_or(1, |(_, count)| *count)
    }
}
