//! How many loads the weight store runs at full speed at once.
//!
//! Nothing says so, and stores differ. Beyond it each load takes longer in proportion, so that all that run end late
//! together: with four at a store that runs two at full speed, callers of the first model wait twice as long as they need to. So
//! the number is learned from how long loads take.

use std::time::Duration;

/// Loads at the same time until any has ended.
const ASSUMED: f64 = 4.0;
/// A load that takes up to this many times its own time ran at full speed: reports of its end lag.
const FULL_SPEED: f64 = 1.15;
/// How much one load that was slowed down changes what is known.
const STEP: f64 = 0.5;
/// How much more is dared after a load at full speed among as many as are allowed.
const DARING: f64 = 0.25;

/// What is known of the weight store.
#[derive(Clone, Copy, Debug)]
pub struct Estimate {
    bears: f64,
}

impl Default for Estimate {
    fn default() -> Self {
        Self { bears: ASSUMED }
    }
}

impl Estimate {
    /// A load has ended that takes `alone` by itself and took `took`. It began among `first` loads, itself included, and
    /// there were `at_once` over its time. One that began among few says nothing of more, even if others came beside it:
    /// stores differ in whether these slow it down.
    pub fn observe(&mut self, first: usize, at_once: usize, alone: Duration, took: Duration) {
        if alone.is_zero() {
            return;
        }
        let stretch = took.div_duration_f64(alone);
        let at_once = at_once as f64;
        if stretch > FULL_SPEED {
            let bears = (at_once / stretch).max(1.0);
            self.bears += (bears - self.bears) * STEP;
        } else if first as f64 >= self.bears.round() {
            self.bears = self.bears.max(first as f64) + DARING;
        }
    }

    /// Loads that may run at the same time.
    #[must_use]
    pub fn limit(self) -> usize {
        self.bears.round().max(1.0) as usize
    }

    /// How long a load takes among `at_once`.
    #[must_use]
    pub fn load_time(self, alone: Duration, at_once: usize) -> Duration {
        alone.mul_f64((at_once as f64 / self.bears).max(1.0))
    }
}
