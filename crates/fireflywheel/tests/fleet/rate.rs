//! Tests of the rate limiter.

use arbtest::arbtest;
use fireflywheel::clock::Instant;
use fireflywheel::fleet::rate::Limiter;

use crate::cases;

fn acquired(limiter: &mut Limiter, times: impl Iterator<Item = u64>) -> usize {
    times.filter(|at| limiter.try_acquire(Instant(*at))).count()
}

fn check_flood() {
    let mut limiter = Limiter::new(100);
    // Ten seconds with 100 uses in each millisecond.
    let times = (5_000..15_000).flat_map(|at| [at; 100]);
    let acquired = acquired(&mut limiter, times);
    assert!((1_000..=1_101).contains(&acquired), "{acquired}");
}

fn check_start() {
    let mut limiter = Limiter::new(100);
    assert_eq!(acquired(&mut limiter, [0; 50].into_iter()), 50);
}

fn check_within_rate() {
    let mut limiter = Limiter::new(100);
    let acquired = acquired(&mut limiter, (5_000..15_000).step_by(10));
    assert_eq!(acquired, 1_000);
}

/// In no second may more than twice the limit be used: the saved allowance, and that of the second itself.
fn check_arbitrary_times() {
    arbtest(|u| {
        let per_second = u.int_in_range(1..=5_000_u32)?;
        let mut limiter = Limiter::new(per_second);
        let (mut now, mut acquired) = (2_000, Vec::new());
        for _ in 0..300 {
            now += u.int_in_range(0..=20_u64)?;
            if limiter.try_acquire(Instant(now)) {
                acquired.push(now);
            }
        }
        for end in &acquired {
            let in_last_second = acquired
                .iter()
                .filter(|at| **at <= *end && *end - **at < 1_000);
            assert!(in_last_second.count() <= 2 * per_second as usize + 1);
        }
        Ok(())
    });
}

cases! {
    /// A backend server fails all requests, and each request logs ten lines. Without a limit the log would
    /// fill the disk that stores it, and writing it would take processor time from requests.
    flood_is_limited => check_flood();
    /// A process logs some lines in its first millisecond.
    burst_at_start_is_allowed => check_start();
    /// Usage within the rate loses no line.
    usage_within_rate_is_allowed => check_within_rate();
    /// The limit holds at arbitrary times.
    arbitrary_times_stay_within_limit => check_arbitrary_times();
}
