//! How long requests and loads take, from what was measured: the base of refusing at once what would be late.

use std::time::Duration;

/// Share of a new sample in the mean, as in the round-trip estimate of TCP.
const MEAN_GAIN: f64 = 0.125;
/// Share of a new sample in the deviation.
const DEVIATION_GAIN: f64 = 0.25;
/// A sample is taken as at most this many deviations above the mean. One request that hung for a minute
/// would otherwise raise the estimate past every deadline, and callers would be refused for nothing until it
/// had worn off. Repeated high samples widen the deviation, so a real change is followed within a few.
const SAMPLE_DEVIATIONS: f64 = 4.0;
/// Deviations added to the mean by [`Estimate::upper_bound`].
const CAUTION_DEVIATIONS: f64 = 2.0;
/// [`Estimate::upper_bound`] is at most this many times the mean, so that a scattered service time doesn't turn
/// into refusals of what would mostly have been in time.
const CAUTION_LIMIT: f64 = 2.0;
/// The first deviation, as a share of the expected time.
const FIRST_DEVIATION: f64 = 0.25;
/// A deviation is at least this share of the mean, so that the bound on samples can always widen.
const LEAST_DEVIATION: f64 = 0.05;
/// The least mean, in seconds.
const LEAST_MEAN: f64 = 0.000_1;

/// An exponentially weighted mean and deviation of a duration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    mean: f64,
    deviation: f64,
}

impl Estimate {
    /// Starts from the time that the document expects.
    #[must_use]
    pub fn new(expected: Duration) -> Self {
        let mean = expected.as_secs_f64().max(LEAST_MEAN);
        Self {
            mean,
            deviation: mean * FIRST_DEVIATION,
        }
    }

    /// Takes a measured time in.
    pub fn observe(&mut self, sample: Duration) {
        let highest = self.mean + SAMPLE_DEVIATIONS * self.deviation;
        let sample = sample.as_secs_f64().min(highest);
        let error = sample - self.mean;
        self.mean = (self.mean + MEAN_GAIN * error).max(LEAST_MEAN);
        self.deviation += DEVIATION_GAIN * (error.abs() - self.deviation);
        self.deviation = self.deviation.max(self.mean * LEAST_DEVIATION);
    }

    /// The expected time.
    #[must_use]
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean)
    }

    /// A time that is seldom exceeded, at most twice the mean.
    #[must_use]
    pub fn upper_bound(&self) -> Duration {
        let cautious = self.mean + CAUTION_DEVIATIONS * self.deviation;
        Duration::from_secs_f64(cautious.min(self.mean * CAUTION_LIMIT))
    }

    /// How long a request waits for a slot when `ahead` others go first and all `slots` are taken; zero
    /// slots count as one. For a request that finds a free slot, don't ask.
    ///
    /// The mean is used here: over many requests deviations cancel out, and the cautious time of each would
    /// add up to a refusal of what would have been in time.
    #[must_use]
    pub fn queue_wait(&self, ahead: usize, slots: u32) -> Duration {
        let turns = (ahead as f64 + 1.0) / f64::from(slots.max(1));
        seconds(self.mean * turns)
    }

    /// How long until a request with `ahead` others before it has its whole answer.
    #[must_use]
    pub fn completion_time(&self, ahead: usize, slots: u32) -> Duration {
        self.queue_wait(ahead, slots)
            .saturating_add(self.upper_bound())
    }
}

/// A duration that saturates in place of a panic.
fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}
