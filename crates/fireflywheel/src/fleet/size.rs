//! How many instances share a limit that holds for all of them.
//!
//! The steward counts its links. One that has just taken over has few of them yet, and one that is cut off from
//! others loses theirs. If instances believed such a count at once, each would take a large part of the limit
//! while others still use theirs, and together they would go over it. One notices it by more repeats than the
//! operator allows, some seconds after the steward has changed. So a count that falls is believed only once it
//! has stayed low for a whole window of the limit.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock;

/// The number of instances, as one of them believes it.
#[derive(Clone, Debug)]
pub struct Size {
    window: Duration,
    /// Counts that fall from front to back, with when each was last told.
    counts: VecDeque<(clock::Instant, usize)>,
}

impl Size {
    /// `assumed` counts until as long as `window` after `now`, and until a count is told.
    #[must_use]
    pub fn new(now: clock::Instant, window: Duration, assumed: usize) -> Self {
        Self {
            window,
            counts: VecDeque::from([(now, assumed.max(1))]),
        }
    }

    /// The steward's count is `count` now.
    pub fn update(&mut self, now: clock::Instant, count: usize) {
        let count = count.max(1);
        while self.counts.back().is_some_and(|(_, last)| *last <= count) {
            self.counts.pop_back();
        }
        self.counts.push_back((now, count));
        // The newest stays, however old: without a link it is the best that is known.
        while self.counts.len() > 1 && now.since(self.counts[0].0) > self.window {
            self.counts.pop_front();
        }
    }

    /// The largest count of the last window.
    #[must_use]
    pub fn count(&self) -> usize {
        self.counts.front().map_or(1, |(_, count)| *count)
    }
}
