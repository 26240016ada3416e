//! Repeats stay a small share of first requests, over all instances and in any window.

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

fn repeats_end_after_an_outage() {
    let mut budget = Budget::new(OPTIONS);
    let allowed = (0..1000)
        .filter(|_| budget.try_retry(Instant(0), 10))
        .count();
    assert!((1..=10).contains(&allowed), "{allowed}");
}

fn repeats_come_back() {
    let mut budget = Budget::new(OPTIONS);
    while budget.try_retry(Instant(0), 10) {}
    assert!(!budget.try_retry(Instant(9_000), 10));
    assert!(budget.try_retry(Instant(12_000), 10));
}

/// Requests and repeats at any times. In no window may an instance send more repeats than its part.
fn any_times_keep_the_budget() {
    arbtest(|u| {
        let instances = u.int_in_range(1..=20_usize)?;
        let mut budget = Budget::new(OPTIONS);
        let (mut now, mut first, mut repeats) = (0, Vec::new(), Vec::new());
        for _ in 0..200 {
            now += u.int_in_range(0..=400)?;
            if u.ratio(1, 2)? {
                budget.record_request(Instant(now));
                first.push(now);
            } else if budget.try_retry(Instant(now), instances) {
                repeats.push(now);
            }
        }
        for end in &repeats {
            let within = |times: &[u64], length| {
                times
                    .iter()
                    .filter(|time| **time <= *end && *end - **time < length)
                    .count()
            };
            // The requests of the window or the one before, whichever has more, are at least half of both.
            let most =
                OPTIONS.extra / instances as f64 + OPTIONS.ratio * within(&first, 12_000) as f64;
            assert!(within(&repeats, 10_000) as f64 <= most + 1.0);
        }
        Ok(())
    });
}

cases! {
    /// A group fails everything. If each instance repeated on, the group would get twice its load when it returns.
    outage => repeats_end_after_an_outage();
    /// A budget that never comes back would leave later faults without any repeat.
    recovery => repeats_come_back();
    /// Any times.
    any_times => any_times_keep_the_budget();
}
