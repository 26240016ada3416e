//! Estimates how many loads the weight store runs concurrently at full speed.
//!
//! The store doesn't report this number, and stores differ. Above it, each load takes longer in proportion,
//! so that all concurrent loads end late together: with four loads at a store that runs two at full speed,
//! callers of the first model wait twice as long as necessary. The number is therefore estimated from the
//! durations of loads.

use std::time::Duration;

/// The concurrency limit until the first load has ended.
const INITIAL_CONCURRENCY: f64 = 4.0;
/// The ratio of a load's duration to its uncontended duration up to which it counts as run at full speed. It
/// exceeds 1 because reports of the end of a load lag.
const FULL_SPEED_MAX_RATIO: f64 = 1.15;
/// The weight of one slowed-down load in the estimate.
const SLOWDOWN_WEIGHT: f64 = 0.5;
/// The increase of the estimate after a load at full speed among as many as the limit allows.
const INCREASE_STEP: f64 = 0.25;

/// The concurrency estimate for a weight store.
#[derive(Clone, Copy, Debug)]
pub struct Estimate {
    full_speed_loads: f64,
}

impl Default for Estimate {
    fn default() -> Self {
        Self {
            full_speed_loads: INITIAL_CONCURRENCY,
        }
    }
}

impl Estimate {
    /// Records a finished load that takes `base_time` uncontended and took `elapsed`. When it began,
    /// `concurrent_at_start` loads were running, itself included; over its duration there were `concurrent`.
    ///
    /// A load that began among few others says nothing about higher concurrency, even if others joined later:
    /// stores differ in whether later loads slow down earlier ones.
    pub fn observe(
        &mut self,
        concurrent_at_start: usize,
        concurrent: usize,
        base_time: Duration,
        elapsed: Duration,
    ) {
        if base_time.is_zero() {
            return;
        }
        let slowdown = elapsed.div_duration_f64(base_time);
        let concurrent = concurrent as f64;
        if slowdown > FULL_SPEED_MAX_RATIO {
            let full_speed_loads = (concurrent / slowdown).max(1.0);
            self.full_speed_loads += (full_speed_loads - self.full_speed_loads) * SLOWDOWN_WEIGHT;
        } else if concurrent_at_start as f64 >= self.full_speed_loads.round() {
            self.full_speed_loads =
                self.full_speed_loads.max(concurrent_at_start as f64) + INCREASE_STEP;
        }
    }

    /// Returns the maximum number of concurrent loads.
    #[must_use]
    pub fn limit(self) -> usize {
        self.full_speed_loads.round().max(1.0) as usize
    }

    /// Returns the expected duration of a load among `concurrent` loads.
    #[must_use]
    pub fn load_time(self, base_time: Duration, concurrent: usize) -> Duration {
        base_time.mul_f64((concurrent as f64 / self.full_speed_loads).max(1.0))
    }
}
