//! How long a backend server usually takes until its response begins, and from when on its silence means that it is lost.

use std::time::Duration;

/// Responses that must have been seen: fewer don't show how much their times differ.
const LEAST_SEEN: u32 = 16;
/// How much one more response changes the mean.
const MEAN_STEP: f64 = 1.0 / 8.0;
/// How much it changes the deviation.
const DEVIATION_STEP: f64 = 1.0 / 4.0;
/// A response is late beyond the mean by this many deviations. Times have a long tail, and a second run costs a server as
/// much as the first.
const DEVIATIONS: f64 = 8.0;
/// Servers that usually answer at once may pause for so long.
const SHORTEST: Duration = Duration::from_millis(200);

/// Times until responses begin, of requests of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct Estimator {
    seen: u32,
    mean: f64,
    deviation: f64,
}

impl Estimator {
    /// A response began after `took`.
    pub fn observe(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        if self.seen == 0 {
            self.mean = took;
            self.deviation = took / 2.0;
        } else {
            let off = took - self.mean;
            self.mean += off * MEAN_STEP;
            self.deviation += (off.abs() - self.deviation) * DEVIATION_STEP;
        }
        self.seen = self.seen.saturating_add(1);
    }

    /// After so long without a response it will not come; none while too little is known.
    #[must_use]
    pub fn timeout(&self) -> Option<Duration> {
        if self.seen < LEAST_SEEN {
            return None;
        }
        let limit = self.mean + self.deviation * DEVIATIONS;
        Some(Duration::from_secs_f64(limit).max(SHORTEST))
    }
}
