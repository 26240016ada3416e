//! Estimates of how long requests and model loads take, from measured durations. Admission uses them to refuse a
//! request at once that would miss its deadline.

use std::time::Duration;

/// The weight of a new sample in the mean, as in the round-trip time estimate of TCP.
const MEAN_GAIN: f64 = 0.125;
/// The weight of a new sample in the deviation.
const DEVIATION_GAIN: f64 = 0.25;
/// The number of deviations above the mean to which a sample is clamped. Otherwise one request that hung for a
/// minute would raise the estimate past every deadline, and callers would be refused needlessly until it had
/// decayed. Repeated high samples widen the deviation, so the estimate follows a real change within a few samples.
const MAX_SAMPLE_DEVIATIONS: f64 = 4.0;
/// The number of deviations that are added to the mean by [`Estimate::upper_bound`].
const UPPER_BOUND_DEVIATIONS: f64 = 2.0;
/// The largest ratio of [`Estimate::upper_bound`] to the mean. With widely scattered service times, a larger bound
/// would refuse requests of which most would have been in time.
const MAX_UPPER_BOUND_RATIO: f64 = 2.0;
/// The initial deviation, as a fraction of the expected duration.
const INITIAL_DEVIATION_RATIO: f64 = 0.25;
/// The smallest deviation, as a fraction of the mean, so that the clamp on samples can always widen.
const MIN_DEVIATION_RATIO: f64 = 0.05;
/// The smallest mean, in seconds.
const MIN_MEAN_SECONDS: f64 = 0.000_1;

/// An exponentially weighted moving average of a duration and of its deviation, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    mean: f64,
    deviation: f64,
}

impl Estimate {
    /// Creates an estimate that starts at the duration expected by the serving document.
    #[must_use]
    pub fn new(expected: Duration) -> Self {
        let mean = expected.as_secs_f64().max(MIN_MEAN_SECONDS);
        Self {
            mean,
            deviation: mean * INITIAL_DEVIATION_RATIO,
        }
    }

    /// Updates the estimate with a measured duration.
    pub fn observe(&mut self, sample: Duration) {
        let max_sample = self.mean + MAX_SAMPLE_DEVIATIONS * self.deviation;
        let sample = sample.as_secs_f64().min(max_sample);
        let error = sample - self.mean;
        self.mean = (self.mean + MEAN_GAIN * error).max(MIN_MEAN_SECONDS);
        self.deviation += DEVIATION_GAIN * (error.abs() - self.deviation);
        self.deviation = self.deviation.max(self.mean * MIN_DEVIATION_RATIO);
    }

    /// Returns the expected duration.
    #[must_use]
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean)
    }

    /// Returns a duration that is rarely exceeded, at most twice the mean.
    #[must_use]
    pub fn upper_bound(&self) -> Duration {
        let bound = self.mean + UPPER_BOUND_DEVIATIONS * self.deviation;
        Duration::from_secs_f64(bound.min(self.mean * MAX_UPPER_BOUND_RATIO))
    }

    /// Returns how long a request waits for a slot when `ahead` other requests are served first and all `slots` are
    /// in use; zero slots count as one. It doesn't apply to a request that finds a free slot.
    ///
    /// This uses the mean: over many requests the deviations cancel out, whereas the sum of their upper bounds
    /// would refuse requests that would have been in time.
    #[must_use]
    pub fn queue_wait(&self, ahead: usize, slots: u32) -> Duration {
        let rounds = (ahead as f64 + 1.0) / f64::from(slots.max(1));
        saturating_duration(self.mean * rounds)
    }

    /// Returns the time until a request with `ahead` others before it is fully answered.
    #[must_use]
    pub fn completion_time(&self, ahead: usize, slots: u32) -> Duration {
        self.queue_wait(ahead, slots)
            .saturating_add(self.upper_bound())
    }
}

/// Converts seconds to a duration; saturates instead of panicking when they don't fit.
fn saturating_duration(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}
