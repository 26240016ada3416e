//! As of when a read of the platform's store shows the store's state.
//!
//! Other instances rely on the steward's reads and don't read the store themselves. A read that counted as
//! newer than it is would keep all of them from a change that the store has accepted meanwhile.

use std::time::Duration;

use crate::clock;

/// A read that the store has answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Read {
    /// When the read was sent.
    pub started: clock::Instant,
    /// When the answer was received.
    pub ended: clock::Instant,
    /// How long the store was asked to wait for a change.
    pub wait: Duration,
    /// Whether the answer contains a change.
    pub has_change: bool,
}

impl Read {
    /// Returns the time as of which the answer shows the state of the store: every change that the store
    /// accepted before is in it.
    #[must_use]
    pub fn as_of(&self) -> clock::Instant {
        let wait_ends = self.started.after(self.wait);
        // An answer that came sooner was made at an unknown time since the start.
        if self.has_change || self.ended < wait_ends {
            self.started
        } else {
            wait_ends
        }
    }
}
