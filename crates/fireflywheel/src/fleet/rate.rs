//! How much of something may be done in a second, with some more at once.

use crate::clock;

/// A limit on how often something is done. What was left unused for a second may be done at once.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    per_second: f64,
    left: f64,
    looked: clock::Instant,
}

impl Limit {
    /// So many in a second, and as many at the start.
    #[must_use]
    pub fn new(per_second: u32) -> Self {
        Self {
            per_second: per_second.into(),
            left: per_second.into(),
            looked: clock::Instant::default(),
        }
    }

    /// Takes one; `false` when there is none left.
    #[must_use]
    pub fn take(&mut self, now: clock::Instant) -> bool {
        let grown = self.per_second * now.since(self.looked).as_secs_f64();
        self.left = (self.left + grown).min(self.per_second);
        self.looked = now;
        let there = self.left >= 1.0;
        if there {
            self.left -= 1.0;
        }
        there
    }
}
