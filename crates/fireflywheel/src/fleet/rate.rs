//! How much of something may be done in a second, with some more at once.

use crate::{bucket, clock};

/// A limit on how often something is done. What was left unused for a second may be done at once.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    per_second: f64,
    bucket: bucket::Bucket,
}

impl Limit {
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
    pub fn take(&mut self, now: clock::Instant) -> bool {
        self.bucket.fill(now, self.per_second);
        self.bucket.take()
    }
}
