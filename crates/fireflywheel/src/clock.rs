//! Time in the core. It is passed in with every event and never read from a clock.

use std::time::Duration;

/// A reading of a monotonic clock that continues during a suspend, in milliseconds from an origin specific
/// to the process. Readings of two processes cannot be compared.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Instant(pub u64);

impl Instant {
    /// Returns the reading `wait` later, saturating at the maximum.
    #[must_use]
    pub fn after(self, wait: Duration) -> Self {
        Self(self.0.saturating_add(millis(wait)))
    }

    /// Returns the reading `wait` earlier, saturating at the origin.
    #[must_use]
    pub fn before(self, wait: Duration) -> Self {
        Self(self.0.saturating_sub(millis(wait)))
    }

    /// Returns the time since `earlier`; zero if `earlier` lies in the future.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

/// Converts a span to whole milliseconds for logs and links, saturating at the maximum.
#[must_use]
pub fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
