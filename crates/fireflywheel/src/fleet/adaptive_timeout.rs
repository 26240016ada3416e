//! Estimates a response time-out from the response times of a backend server.

use std::time::Duration;

/// The number of samples required for an estimate: fewer don't show how much response times vary.
const MIN_SAMPLES: u32 = 16;
/// The weight of a sample in the mean.
const MEAN_SMOOTHING: f64 = 1.0 / 8.0;
/// The weight of a sample in the deviation.
const DEVIATION_SMOOTHING: f64 = 1.0 / 4.0;
/// The number of deviations above the mean at which a response counts as lost. Response times have a long
/// tail, and a second run costs a server as much as the first.
const TIMEOUT_DEVIATIONS: f64 = 8.0;
/// The number of deviations above the mean within which most responses begin.
const USUAL_DEVIATIONS: f64 = 2.0;
/// The minimum time-out, since servers that usually answer at once may pause for this long.
const MIN_TIMEOUT: Duration = Duration::from_millis(200);

/// Tracks the mean and deviation of the times until responses begin, for requests of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct Estimator {
    samples: u32,
    mean: f64,
    deviation: f64,
}

impl Estimator {
    /// Records a response that began after `elapsed`.
    pub fn observe(&mut self, elapsed: Duration) {
        let elapsed = elapsed.as_secs_f64();
        if self.samples == 0 {
            self.mean = elapsed;
            self.deviation = elapsed / 2.0;
        } else {
            let error = elapsed - self.mean;
            self.mean += error * MEAN_SMOOTHING;
            self.deviation += (error.abs() - self.deviation) * DEVIATION_SMOOTHING;
        }
        self.samples = self.samples.saturating_add(1);
    }

    /// Returns the time within which most responses begin, or `None` while there are too few samples.
    #[must_use]
    pub fn usual(&self) -> Option<Duration> {
        if self.samples < MIN_SAMPLES {
            return None;
        }
        let usual = self.mean + self.deviation * USUAL_DEVIATIONS;
        Some(Duration::from_secs_f64(usual))
    }

    /// Returns the time after which a missing response counts as lost, or `None` while there are too few
    /// samples.
    #[must_use]
    pub fn timeout(&self) -> Option<Duration> {
        if self.samples < MIN_SAMPLES {
            return None;
        }
        let limit = self.mean + self.deviation * TIMEOUT_DEVIATIONS;
        Some(Duration::from_secs_f64(limit).max(MIN_TIMEOUT))
    }
}
