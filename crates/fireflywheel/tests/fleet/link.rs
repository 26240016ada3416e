//! Instances talk to the steward in time, and believe it only as long as its word is young.

use std::time::Duration;

use fireflywheel::clock::Instant;
use fireflywheel::fleet::link::{Retry, Timer, reads_valid_until};

use crate::cases;

const OBEY: Duration = Duration::from_secs(2);

const fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn frames_do_not_put_it_off() {
    let mut due = Timer::new(Instant(0), millis(300));
    for now in (0..300).step_by(50) {
        due.expire_within(Instant(now), millis(300));
    }
    assert_eq!(due.remaining(Instant(300)), Duration::ZERO);
}

fn wants_bring_it_forward() {
    let mut due = Timer::new(Instant(0), millis(300));
    due.expire_within(Instant(100), millis(6));
    assert_eq!(due.remaining(Instant(100)), millis(6));
    due.expire_within(Instant(104), millis(6));
    assert_eq!(due.remaining(Instant(104)), millis(2));
}

fn word(now: u64, asked: u64, read_ms: u64, expected: Option<u64>) {
    let until = reads_valid_until(Instant(now), Instant(asked), millis(read_ms), OBEY);
    assert_eq!(until, expected.map(Instant));
}

/// Tries of hundreds of instances that no steward can serve yet.
fn tries_grow_rarer() {
    let mut retry = Retry::default();
    assert_eq!(retry.delay(millis(200), 1.0), millis(200));
    for _ in 0..9 {
        retry.record_failure();
    }
    assert_eq!(retry.delay(millis(200), 1.0), millis(1_600));
    assert_eq!(retry.connect_timeout(millis(600)), millis(4_800));
    assert!(retry.delay(millis(200), 0.0) < retry.delay(millis(200), 0.9));
    retry.record_success();
    assert_eq!(retry.delay(millis(200), 1.0), millis(200));
}

cases! {
    /// Hundreds of instances come to a new steward at once. Tried as often as ever, no link would be open for long.
    crowd_at_a_new_steward => tries_grow_rarer();

    /// The steward sends a frame more often than the instance's pause. Begun anew each time, the pause would never
    /// end; the steward would hear nothing and drop the link, and the instance would read the whole store again.
    chatty_steward => frames_do_not_put_it_off();
    /// A request begins to wait. Told only with the next heartbeat, its model would come that much later; one want
    /// after the other must not put it off either.
    want => wants_bring_it_forward();
    /// A heartbeat that answers at once, with fresh reads.
    young_word => word(10_010, 10_000, 100, Some(11_400));
    /// The steward couldn't read the store for a while.
    old_reads => word(10_010, 10_000, 1500, None);
    /// The heartbeat lay in a queue for two seconds. Taken for young, a server that left meanwhile would go on getting
    /// requests.
    late_word => word(12_000, 10_000, 100, None);
    /// No demand was made yet, so nothing tells how old the heartbeat is.
    unasked_word => word(10_000, 0, 0, None);
}
