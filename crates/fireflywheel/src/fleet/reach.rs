//! Whether an instance reaches a backend server over connections of its own.
//!
//! A connection that doesn't open tells nothing about the server: it may be down, or the path to it may be lost. A
//! connection through another instance tells them apart.

use std::time::Duration;

use crate::clock;

/// The minimum interval between two probes of a path.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// The number of successive probes that must succeed before a path is used again. Hysteresis keeps an instance from
/// switching on every connection that opens over a lossy path.
const MIN_SUCCESSES: u32 = 2;
/// The longest time between a failed connection and one through another instance that opens, for both to be about the
/// same state of the server.
const EVIDENCE_WINDOW: Duration = Duration::from_secs(1);
/// The share of a group's servers from which on the state of their paths holds for the group.
const GROUP_RATIO: f64 = 0.5;

/// What an instance knows of its path to one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reach {
    is_lost: bool,
    /// When a connection over the path last failed, if none has opened since.
    failed_at: Option<clock::Instant>,
    /// When a connection through another instance last opened.
    detour_opened_at: Option<clock::Instant>,
    successes: u32,
    next_probe: clock::Instant,
}

impl Reach {
    /// Whether the server is up and the path to it is lost.
    #[must_use]
    pub fn is_lost(&self) -> bool {
        self.is_lost
    }

    /// Whether the path is lost or the last connection over it failed, be it that the server is down.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        self.is_lost || self.failed_at.is_some()
    }

    /// Records that a connection opened over the path. Returns whether that restores the path.
    pub fn record_success(&mut self) -> bool {
        self.failed_at = None;
        if !self.is_lost {
            return false;
        }
        self.successes += 1;
        let is_restored = self.successes >= MIN_SUCCESSES;
        if is_restored {
            *self = Self::default();
        }
        is_restored
    }

    /// Records that no connection opened over the path. Returns whether that shows that the path is lost.
    pub fn record_failure(&mut self, now: clock::Instant) -> bool {
        self.failed_at = Some(now);
        self.successes = 0;
        self.compare_evidence(now)
    }

    /// Records that a connection through another instance opened. Returns whether that shows that the path is lost.
    pub fn record_detour(&mut self, now: clock::Instant) -> bool {
        self.detour_opened_at = Some(now);
        self.compare_evidence(now)
    }

    /// Whether the path may be probed now. If so, the probe counts as made.
    pub fn try_probe(&mut self, now: clock::Instant) -> bool {
        let is_due = now >= self.next_probe;
        if is_due {
            self.next_probe = now.after(PROBE_INTERVAL);
        }
        is_due
    }

    fn compare_evidence(&mut self, now: clock::Instant) -> bool {
        let is_recent =
            |at: Option<clock::Instant>| at.is_some_and(|at| now.since(at) <= EVIDENCE_WINDOW);
        let shows_loss = is_recent(self.failed_at) && is_recent(self.detour_opened_at);
        if !shows_loss || self.is_lost {
            return false;
        }
        self.is_lost = true;
        self.next_probe = now.after(PROBE_INTERVAL);
        true
    }
}

/// Whether the state of the paths to `count` of a group's `servers` holds for the group.
#[must_use]
pub fn holds_for_group(count: usize, servers: usize) -> bool {
    count > 0 && count as f64 >= servers as f64 * GROUP_RATIO
}
