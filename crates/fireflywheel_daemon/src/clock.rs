//! The clocks of one process.

use std::time::{Duration, SystemTime};

use fireflywheel::clock;
use rustix::time;

/// A clock that only rises and goes on during a suspend, in milliseconds from its creation.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Duration,
}

impl Clock {
    /// A clock that begins now.
    #[must_use]
    pub fn new() -> Self {
        Self {
            origin: since_boot(),
        }
    }

    /// The reading.
    #[must_use]
    pub fn now(&self) -> clock::Instant {
        clock::Instant::default().after(since_boot().saturating_sub(self.origin))
    }

    /// How long until `instant`; zero when it has passed.
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

/// Unix milliseconds.
#[must_use]
pub fn unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    clock::millis(since)
}

// The monotonic clock stands still during a suspend. A lease counted by it would seem valid to an instance
// that slept through its end.
fn since_boot() -> Duration {
    let reading = time::clock_gettime(time::ClockId::Boottime);
    let seconds = u64::try_from(reading.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(reading.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}
