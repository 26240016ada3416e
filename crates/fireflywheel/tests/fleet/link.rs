//! Tests of the link timing: demand is sent in time, and the steward's reads expire.

use std::time::Duration;

use fireflywheel::clock::Instant;
use fireflywheel::fleet::link::{Retry, Timer, reads_valid_until};

use crate::cases;

const APPLY_DEADLINE: Duration = Duration::from_secs(2);

const fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn frames_do_not_delay_demand() {
    let mut timer = Timer::new(Instant(0), millis(300));
    for now in (0..300).step_by(50) {
        timer.expire_within(Instant(now), millis(300));
    }
    assert_eq!(timer.remaining(Instant(300)), Duration::ZERO);
}

fn waiting_requests_advance_demand() {
    let mut timer = Timer::new(Instant(0), millis(300));
    timer.expire_within(Instant(100), millis(6));
    assert_eq!(timer.remaining(Instant(100)), millis(6));
    timer.expire_within(Instant(104), millis(6));
    assert_eq!(timer.remaining(Instant(104)), millis(2));
}

fn check_validity(now: u64, demand_sent: u64, read_age_ms: u64, expected: Option<u64>) {
    let valid_until = reads_valid_until(
        Instant(now),
        Instant(demand_sent),
        millis(read_age_ms),
        APPLY_DEADLINE,
    );
    assert_eq!(valid_until, expected.map(Instant));
}

/// Checks the retries of an instance while hundreds of them connect to a steward that can't serve them yet.
fn check_retry_growth() {
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
    /// Hundreds of instances connect to a new steward at once. With the usual delays, no link would stay open
    /// for long.
    retry_delays_grow => check_retry_growth();

    /// The steward sends frames more often than the instance's demand interval. If each frame restarted the
    /// interval, it would never end: the steward would receive nothing and close the link, and the instance
    /// would read the whole store again.
    received_frames_do_not_delay_demand => frames_do_not_delay_demand();
    /// A request starts to wait. If that were only sent with the next heartbeat, its model would be loaded
    /// that much later, and a series of such requests must not delay it either.
    waiting_request_advances_demand => waiting_requests_advance_demand();
    /// A heartbeat answers at once, with fresh reads.
    fresh_reads_are_valid => check_validity(10_010, 10_000, 100, Some(11_400));
    /// The steward couldn't read the store for a while.
    old_reads_are_invalid => check_validity(10_010, 10_000, 1500, None);
    /// The heartbeat was queued for two seconds. If it counted as fresh, a server that left meanwhile would
    /// keep receiving requests.
    delayed_heartbeat_is_invalid => check_validity(12_000, 10_000, 100, None);
    /// No demand has been sent yet, so the age of the heartbeat is unknown.
    heartbeat_without_demand_is_invalid => check_validity(10_000, 0, 0, None);
}
