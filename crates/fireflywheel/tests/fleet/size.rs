//! The number of instances that share a limit never looks smaller than it was a window ago.

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

/// Repeats of an instance that may send as many as its budget allows.
fn repeats(size: &Size, now: Instant) -> usize {
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

fn together(sizes: &[Size], now: Instant) -> usize {
    sizes.iter().map(|size| repeats(size, now)).sum()
}

fn new_steward_with_few_links() {
    let mut sizes = fleet();
    for (place, size) in sizes.iter_mut().take(20).enumerate() {
        size.update(Instant(21_000), place + 1);
    }
    let all = together(&sizes, Instant(21_000));
    assert!(all as f64 <= OPTIONS.extra, "{all}");
}

fn links_of_all_instances_come_in_turn() {
    let mut all = 0;
    for place in 0..FLEET {
        let mut size = Size::new(Instant(0), WINDOW, 24);
        size.update(Instant(place as u64 * 5), place + 1);
        size.update(Instant(1_000), FLEET);
        all += repeats(&size, Instant(1_000));
    }
    assert!(all as f64 <= OPTIONS.extra, "{all}");
}

fn smaller_fleet_is_believed_in_the_end() {
    let mut size = Size::new(Instant(0), WINDOW, 24);
    size.update(Instant(1_000), 100);
    for beat in 1..=40 {
        size.update(Instant(1_000 + beat * 300), 3);
    }
    assert_eq!(size.count(), 3);
}

fn count_stays_without_a_steward() {
    let mut size = Size::new(Instant(0), WINDOW, 24);
    size.update(Instant(20_000), 7);
    assert_eq!(size.count(), 7);
}

/// Counts at any times: never less than any that was told in the last window, never more than any ever told.
fn any_counts() {
    arbtest(|u| {
        let mut now = 0;
        let mut size = Size::new(Instant(0), WINDOW, 24);
        let mut told = vec![(0, 24)];
        for _ in 0..u.int_in_range(1..=60)? {
            now += u.int_in_range(0..=4_000_u64)?;
            let count = u.int_in_range(0..=200_usize)?;
            size.update(Instant(now), count);
            told.push((now, count.max(1)));
            let recent = told.iter().filter(|(at, _)| now - at <= 10_000);
            let most = recent.map(|(_, count)| *count).max();
            assert_eq!(Some(size.count()), most);
        }
        Ok(())
    });
}

cases! {
    /// The steward is lost while backend servers fail many requests. The next one has three links a moment later,
    /// says so, and those three believe that a third of the fleet's repeats is theirs. The backend servers get
    /// more repeats than the operator allows.
    new_steward => new_steward_with_few_links();
    /// The whole fleet starts again, and its links come one after the other.
    start => links_of_all_instances_come_in_turn();
    /// Most instances were taken away for good. The rest must not go on with a hundredth each.
    taken_away => smaller_fleet_is_believed_in_the_end();
    /// No steward for longer than a window.
    no_steward => count_stays_without_a_steward();
    /// Any counts at any times.
    any => any_counts();
}
