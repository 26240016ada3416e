//! Tests of the concurrency estimate for the weight store.

use std::time::Duration;

use arbtest::arbtest;
use fireflywheel::fleet::plan::concurrency::Estimate;

use crate::cases;

const BASE_TIME: Duration = Duration::from_secs(10);

/// Keeps a store busy that runs `full_speed_loads` loads at full speed, until `loads` loads have ended.
fn simulate(full_speed_loads: usize, loads: usize) -> Estimate {
    let mut estimate = Estimate::default();
    for _ in 0..loads {
        let limit = estimate.limit();
        let slowdown = (limit as f64 / full_speed_loads as f64).max(1.0);
        estimate.observe(limit, limit, BASE_TIME, BASE_TIME.mul_f64(slowdown));
    }
    estimate
}

/// The limit reaches the number of loads that run at full speed and exceeds it by at most half: one more is
/// tried now and then.
fn check_limit(full_speed_loads: usize) {
    let limit = simulate(full_speed_loads, 30).limit();
    assert!(
        limit >= full_speed_loads && limit * 2 <= full_speed_loads * 3,
        "{limit} of {full_speed_loads}"
    );
}

fn limit_recovers_after_one_slow_load() {
    let mut estimate = simulate(4, 30);
    let before = estimate.limit();
    estimate.observe(before, before, BASE_TIME, BASE_TIME * 3);
    for _ in 0..20 {
        estimate.observe(estimate.limit(), estimate.limit(), BASE_TIME, BASE_TIME);
    }
    assert!(estimate.limit() >= before);
}

fn estimate_stays_within_bounds() {
    arbtest(|u| {
        let mut estimate = Estimate::default();
        for _ in 0..u.int_in_range(1..=100)? {
            let elapsed = Duration::from_millis(u.int_in_range(0..=100_000)?);
            let base_time = Duration::from_millis(u.int_in_range(0..=20_000)?);
            let (concurrent_at_start, concurrent) =
                (u.int_in_range(0..=8)?, u.int_in_range(0..=8)?);
            estimate.observe(concurrent_at_start, concurrent, base_time, elapsed);
            assert!((1..=40).contains(&estimate.limit()));
            assert!(estimate.load_time(BASE_TIME, 1) == BASE_TIME);
        }
        Ok(())
    });
}

fn early_loads_do_not_raise_limit() {
    let mut estimate = Estimate::default();
    let before = estimate.limit();
    // Four loads were sent one after another; these two began alone and as the second of two.
    estimate.observe(1, before, BASE_TIME, BASE_TIME);
    estimate.observe(2, before, BASE_TIME, BASE_TIME);
    assert_eq!(estimate.limit(), before);
}

cases! {
    /// Some stores slow down only the loads that start while they are busy. The first loads then end at full
    /// speed beside the others. If they raised the limit, more loads would be sent, and each would take twice
    /// its time.
    early_full_speed_loads_do_not_raise_limit => early_loads_do_not_raise_limit();
    /// The store runs fewer loads at full speed than are sent. All of them are slow then, and all callers
    /// wait longer.
    limit_falls_for_narrow_store => check_limit(2);
    /// The store runs as many loads at full speed as the initial limit.
    limit_stays_for_typical_store => check_limit(4);
    /// The store runs more loads at full speed than the initial limit. Loads held back needlessly leave
    /// models unavailable.
    limit_grows_for_wide_store => check_limit(8);
    /// One slow engine must not lower the limit for long.
    slow_engine_is_forgotten => limit_recovers_after_one_slow_load();
    /// The estimate stays within bounds for arbitrary durations.
    arbitrary_durations => estimate_stays_within_bounds();
}
