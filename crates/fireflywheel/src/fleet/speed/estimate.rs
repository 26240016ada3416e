//! Estimates of slowness and of usual times.

use std::time::Duration;

use crate::clock;

/// The half-life of observations. Load and neighbours on a server's machine change within tens of seconds.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// The half-life of the value that a server reports for the moment. Machines are slow for some 600 ms at a time.
const MOMENT_HALF_LIFE: Duration = Duration::from_millis(300);
/// The age from which the value for the moment is ignored.
const MOMENT_TTL: Duration = Duration::from_millis(1200);
/// The weight of the assumption that a server is as fast as usual.
const PRIOR_WEIGHT: f64 = 1.0;
/// The largest difference between an observation's logarithm and the estimate that counts, so that one outlier moves
/// the estimate by no more than an observation 1.65 times as large as expected.
const MAX_STEP: f64 = 0.5;
/// The least and the largest slowness.
const BOUNDS: (f64, f64) = (0.25, 8.0);
/// The deviation from 1 from which slowness matters.
const MIN_DEVIATION: f64 = 0.15;
/// The number of samples from which a usual time is known.
const MIN_SAMPLES: u32 = 8;
/// The largest number of samples that a usual time is averaged over.
const MAX_SAMPLES: u32 = 128;
/// The least time that counts, in milliseconds: the resolution of clocks.
const MIN_MS: f64 = 0.001;

/// Limits slowness to what is plausible.
#[must_use]
pub fn clamp(slowness: f64) -> f64 {
    match slowness.is_finite() {
        true => slowness.clamp(BOUNDS.0, BOUNDS.1),
        false => 1.0,
    }
}

/// Whether slowness differs enough from 1 to matter.
#[must_use]
pub fn deviates(slowness: f64) -> bool {
    (slowness - 1.0).abs() >= MIN_DEVIATION
}

/// The slowness of one process, from observations that fade with their age.
#[derive(Clone, Copy, Debug, Default)]
pub struct Estimate {
    log_sum: f64,
    weight: f64,
    updated: clock::Instant,
}

impl Estimate {
    /// Adds an observation; returns the part of its logarithm that counts.
    pub fn add(&mut self, now: clock::Instant, log: f64, weight: f64) -> f64 {
        let half_lives = now.since(self.updated).div_duration_f64(HALF_LIFE);
        let retained = 0.5_f64.powf(half_lives);
        self.log_sum *= retained;
        self.weight *= retained;
        self.updated = now;
        let mean = self.mean();
        let log = if log.is_finite() { log } else { mean };
        let log = log.clamp(mean - MAX_STEP, mean + MAX_STEP);
        self.log_sum += log * weight;
        self.weight += weight;
        log
    }

    fn mean(&self) -> f64 {
        self.log_sum / (self.weight + PRIOR_WEIGHT)
    }

    /// How long work takes, relative to what is usual.
    #[must_use]
    pub fn slowness(&self, now: clock::Instant) -> f64 {
        let half_lives = now.since(self.updated).div_duration_f64(HALF_LIFE);
        let retained = 0.5_f64.powf(half_lives);
        let mean = self.log_sum * retained / (self.weight * retained + PRIOR_WEIGHT);
        clamp(mean.exp())
    }
}

/// The slowness of a server's machine at a moment, as the server reports it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Moment {
    value: Option<(clock::Instant, f64)>,
}

impl Moment {
    /// Records a value of this age, unless a more recent one is known.
    pub fn record(&mut self, now: clock::Instant, slowness: f64, age: Duration) {
        let at = now.before(age);
        if self.value.is_none_or(|(known_at, _)| known_at <= at) {
            self.value = Some((at, clamp(slowness)));
        }
    }

    /// The value by its age, closer to 1 the older it is; `None` if there is no recent one.
    #[must_use]
    pub fn slowness(&self, now: clock::Instant) -> Option<f64> {
        let (at, slowness) = self.value.filter(|(at, _)| now.since(*at) < MOMENT_TTL)?;
        let half_lives = now.since(at).div_duration_f64(MOMENT_HALF_LIFE);
        Some(1.0 + (slowness - 1.0) * 0.5_f64.powf(half_lives))
    }

    /// The value in percent and its age in milliseconds, for a link.
    #[must_use]
    pub fn report(&self, now: clock::Instant) -> Option<(u32, u32)> {
        let (at, slowness) = self.value?;
        let age = u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX);
        Some(((slowness * 100.0).round() as u32, age))
    }
}

/// A usual time, in milliseconds, as a geometric mean.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usual {
    log_mean: f64,
    samples: u32,
}

impl Usual {
    /// Adds a sample; returns its ratio to the usual time once that is known.
    pub fn observe(&mut self, ms: f64) -> Option<f64> {
        if !ms.is_finite() {
            return None;
        }
        let log = ms.max(MIN_MS).ln();
        let before = self.value();
        let step = match before {
            Some(_) => (log - self.log_mean).clamp(-MAX_STEP, MAX_STEP),
            None => log - self.log_mean,
        };
        self.samples = (self.samples + 1).min(MAX_SAMPLES);
        self.log_mean += step / f64::from(self.samples);
        before.map(|usual| ms.max(MIN_MS) / usual)
    }

    /// The usual time; `None` while there are too few samples.
    #[must_use]
    pub fn value(&self) -> Option<f64> {
        (self.samples >= MIN_SAMPLES).then(|| self.log_mean.exp())
    }
}
