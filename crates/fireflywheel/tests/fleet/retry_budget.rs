//! Tests of the retry budget: retries stay a small share of first attempts over all instances and in any
//! window.

use std::time::Duration;

use arbtest::arbtest;
use fireflywheel::clock::Instant;
use fireflywheel::fleet::retry_budget::{Budget, Options};

use crate::cases;

const OPTIONS: Options = Options {
    ratio: 0.2,
    extra: 100.0,
    window: Duration::from_secs(10),
};

fn outage_exhausts_budget() {
    let mut budget = Budget::new(OPTIONS);
    let allowed = (0..1000)
        .filter(|_| budget.try_retry(Instant(0), 10))
        .count();
    assert!((1..=10).contains(&allowed), "{allowed}");
}

fn budget_is_replenished() {
    let mut budget = Budget::new(OPTIONS);
    while budget.try_retry(Instant(0), 10) {}
    assert!(!budget.try_retry(Instant(9_000), 10));
    assert!(budget.try_retry(Instant(12_000), 10));
}

/// Requests and retries at arbitrary times. In no window may an instance send more retries than its share.
fn arbitrary_requests_stay_within_budget() {
    arbtest(|u| {
        let instances = u.int_in_range(1..=20_usize)?;
        let mut budget = Budget::new(OPTIONS);
        let (mut now, mut requests, mut retries) = (0, Vec::new(), Vec::new());
        for _ in 0..200 {
            now += u.int_in_range(0..=400)?;
            if u.ratio(1, 2)? {
                budget.record_request(Instant(now));
                requests.push(now);
            } else if budget.try_retry(Instant(now), instances) {
                retries.push(now);
            }
        }
        for end in &retries {
            let within = |times: &[u64], length| {
                times
                    .iter()
                    .filter(|time| **time <= *end && *end - **time < length)
                    .count()
            };
            // The requests of the window or the one before, whichever has more, are at least half of both.
            let max_retries =
                OPTIONS.extra / instances as f64 + OPTIONS.ratio * within(&requests, 12_000) as f64;
            assert!(within(&retries, 10_000) as f64 <= max_retries + 1.0);
        }
        Ok(())
    });
}

cases! {
    /// A group fails all requests. If each instance kept retrying, the group would get twice its load when it
    /// recovers.
    retries_stop_during_outage => outage_exhausts_budget();
    /// A budget that is never replenished would leave later faults without any retry.
    retries_resume_after_window => budget_is_replenished();
    /// The budget holds for requests at arbitrary times.
    arbitrary_times => arbitrary_requests_stay_within_budget();
}
