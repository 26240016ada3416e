//! Tests that the number of instances that share a limit is never estimated lower than it was within the
//! last window.

use std::time::Duration;

use arbtest::arbtest;
use fireflywheel::clock::Instant;
use fireflywheel::fleet::retry_budget::{Budget, Options};
use fireflywheel::fleet::size::Size;

use crate::cases;

const WINDOW: Duration = Duration::from_secs(10);
const OPTIONS: Options = Options {
    ratio: 0.2,
    extra: 314.0,
    window: WINDOW,
};
const FLEET: usize = 125;

/// The retries of an instance that sends as many as its budget allows.
fn retries(size: &Size, now: Instant) -> usize {
    let mut budget = Budget::new(OPTIONS);
    std::iter::repeat_with(|| budget.try_retry(now, size.count()))
        .take_while(|allowed| *allowed)
        .count()
}

fn fleet() -> Vec<Size> {
    let mut sizes = vec![Size::new(Instant(0), WINDOW, 24); FLEET];
    for size in &mut sizes {
        size.update(Instant(20_000), FLEET);
    }
    sizes
}

fn total_retries(sizes: &[Size], now: Instant) -> usize {
    sizes.iter().map(|size| retries(size, now)).sum()
}

fn count_of_new_steward_is_not_adopted_at_once() {
    let mut sizes = fleet();
    for (index, size) in sizes.iter_mut().take(20).enumerate() {
        size.update(Instant(21_000), index + 1);
    }
    let total = total_retries(&sizes, Instant(21_000));
    assert!(total as f64 <= OPTIONS.extra, "{total}");
}

fn counts_of_starting_fleet_stay_within_limit() {
    let mut total = 0;
    for index in 0..FLEET {
        let mut size = Size::new(Instant(0), WINDOW, 24);
        size.update(Instant(index as u64 * 5), index + 1);
        size.update(Instant(1_000), FLEET);
        total += retries(&size, Instant(1_000));
    }
    assert!(total as f64 <= OPTIONS.extra, "{total}");
}

fn lower_count_is_adopted_after_a_window() {
    let mut size = Size::new(Instant(0), WINDOW, 24);
    size.update(Instant(1_000), 100);
    for heartbeat in 1..=40 {
        size.update(Instant(1_000 + heartbeat * 300), 3);
    }
    assert_eq!(size.count(), 3);
}

fn count_is_kept_without_a_steward() {
    let mut size = Size::new(Instant(0), WINDOW, 24);
    size.update(Instant(20_000), 7);
    assert_eq!(size.count(), 7);
}

/// The count within a time, and the latest one, as links to a new steward open.
fn recent_count_falls_before_the_window_ends() {
    let recent = Duration::from_secs(3);
    let mut size = Size::new(Instant(0), WINDOW, 24);
    size.update(Instant(2_000), 15);
    size.update(Instant(2_500), 1);
    assert_eq!(size.latest(), 1);
    assert_eq!(size.count_within(Instant(3_000), recent), 24);
    assert_eq!(size.count_within(Instant(5_000), recent), 15);
    assert_eq!(size.count_within(Instant(5_400), recent), 1);
    assert_eq!(size.count_within(Instant(60_000), recent), 1);
    assert_eq!(size.count(), 24);
}

/// Random counts at random times: the estimate is never below a count reported in the last window, and
/// never above the largest count ever reported.
fn count_is_max_of_last_window() {
    arbtest(|u| {
        let mut now = 0;
        let mut size = Size::new(Instant(0), WINDOW, 24);
        let mut reported = vec![(0, 24)];
        for _ in 0..u.int_in_range(1..=60)? {
            now += u.int_in_range(0..=4_000_u64)?;
            let count = u.int_in_range(0..=200_usize)?;
            size.update(Instant(now), count);
            reported.push((now, count.max(1)));
            let recent = reported.iter().filter(|(at, _)| now - at <= 10_000);
            let most = recent.map(|(_, count)| *count).max();
            assert_eq!(Some(size.count()), most);
        }
        Ok(())
    });
}

cases! {
    /// The steward is lost while backend servers fail many requests. The next steward has three links a
    /// moment later and reports that count, and those three instances each take a third of the fleet's
    /// retries. The backend servers get more retries than the operator allows.
    new_steward => count_of_new_steward_is_not_adopted_at_once();
    /// The whole fleet restarts, and its links are opened one after another.
    fleet_restart => counts_of_starting_fleet_stay_within_limit();
    /// Most instances were removed for good. The rest must not be left with a hundredth of the limit each.
    removed_instances => lower_count_is_adopted_after_a_window();
    /// There is no steward for longer than a window.
    no_steward => count_is_kept_without_a_steward();
    /// All other instances are lost. What needs two of them must not wait for a window.
    recent_count => recent_count_falls_before_the_window_ends();
    /// Random counts at random times.
    random_counts => count_is_max_of_last_window();
}
