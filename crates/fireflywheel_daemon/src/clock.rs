//! The clocks of the process.

use std::time::{Duration, SystemTime};

use fireflywheel::clock;
use rustix::time;

/// A monotonic clock that continues during a suspend and counts milliseconds since its creation.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Duration,
}

impl Clock {
    /// Creates a clock that starts at zero.
    #[must_use]
    pub fn new() -> Self {
        Self {
            origin: time_since_boot(),
        }
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> clock::Instant {
        clock::Instant::default().after(time_since_boot().saturating_sub(self.origin))
    }

    /// Returns the time until `instant`, or zero when it has passed.
    #[must_use]
    pub fn until(&self, instant: clock::Instant) -> Duration {
        instant.since(self.now())
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the Unix time in milliseconds.
#[must_use]
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    clock::millis(elapsed)
}

// The boot-time clock is used because the monotonic clock stops during a suspend: a lease that expired during a
// suspend would still seem valid to the instance.
fn time_since_boot() -> Duration {
    let reading = time::clock_gettime(time::ClockId::Boottime);
    let seconds = u64::try_from(reading.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(reading.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}
