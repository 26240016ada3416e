//! Tests of what an instance remembers of servers' announcements.

use std::time::Duration;

use fireflywheel::clock::Instant;
use fireflywheel::fleet::announcement::{Announcement, Process, Registry};

use crate::cases;

const NOW: Instant = Instant(100_000);
const LEAVING: Announcement = Announcement { leaving: true };
const NOTHING: Announcement = Announcement { leaving: false };

fn process(started_ms: u64) -> Process {
    Process {
        server: "s1".into(),
        started_ms,
    }
}

fn later(millis: u64) -> Instant {
    NOW.after(Duration::from_millis(millis))
}

/// Creates a registry in which the process that started at 5 leaves.
fn leaving() -> Registry {
    let mut registry = Registry::default();
    assert!(registry.observe(NOW, &process(5), LEAVING));
    registry
}

fn check_final() {
    let mut registry = leaving();
    assert!(!registry.observe(later(10), &process(5), NOTHING));
    assert!(!registry.observe(later(20), &process(5), LEAVING));
    assert!(registry.is_leaving("s1", 5));
}

fn check_other_processes() {
    let mut registry = leaving();
    assert!(!registry.is_leaving("s1", 6));
    assert!(!registry.is_leaving("s2", 5));
    // The process started again, and leaves as well.
    assert!(registry.observe(later(10), &process(6), LEAVING));
    assert!(registry.is_leaving("s1", 6));
    // An answer of the process before was delayed.
    assert!(!registry.observe(later(20), &process(5), LEAVING));
    assert!(registry.is_leaving("s1", 6));
}

fn check_notices() {
    let mut registry = leaving();
    assert_eq!(registry.take_leaving_notices(), [process(5)]);
    assert!(registry.take_leaving_notices().is_empty());
    registry.link_opened();
    assert_eq!(registry.take_leaving_notices(), [process(5)]);
    assert!(registry.record_leaving(NOW, &process(7)));
    assert!(!registry.record_leaving(NOW, &process(7)));
    // Others know already what one of them has reported.
    assert!(registry.take_leaving_notices().is_empty());
}

fn check_pruning() {
    let mut registry = leaving();
    registry.prune(later(1_000_000), |_| true);
    registry.prune(later(1_100_000), |_| false);
    assert!(registry.is_leaving("s1", 5));
    registry.prune(later(1_200_000), |_| false);
    assert!(!registry.is_leaving("s1", 5));
}

cases! {
    /// A server leaves, and a later answer doesn't say so, such as one that was sent before.
    leaving_is_final => check_final();
    /// A server starts again under the same id. The announcement of the process before is not its own.
    announcement_is_of_one_process => check_other_processes();
    /// The steward is notified once on each link, and a notice of another instance is not passed on again.
    steward_is_notified_once_per_link => check_notices();
    /// The entry of a leaving server is gone for a while, and listed again.
    leaving_is_remembered_while_the_entry_is_gone => check_pruning();
}
