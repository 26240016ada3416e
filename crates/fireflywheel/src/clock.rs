//! Time as the core sees it: handed in with every event, never read.

use std::time::Duration;

/// A reading of a clock that only rises and goes on during a suspend, in milliseconds from an origin
/// of the process's own. Readings of two processes can't be compared.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Instant(pub u64);

impl Instant {
    /// The reading `wait` later; saturates at the end of time.
    #[must_use]
    pub fn after(self, wait: Duration) -> Self {
        Self(self.0.saturating_add(millis(wait)))
    }

    /// The reading `wait` earlier; not before the origin.
    #[must_use]
    pub fn before(self, wait: Duration) -> Self {
        Self(self.0.saturating_sub(millis(wait)))
    }

    /// How long ago `earlier` was; zero when it lies ahead.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

/// A span in whole milliseconds, for logs and links; the most there is when it is longer.
#[must_use]
pub fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
