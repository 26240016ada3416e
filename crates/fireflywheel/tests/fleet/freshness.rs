//! Tests of the time as of which a read of the store shows its state.

use std::time::Duration;

use fireflywheel::clock::Instant;
use fireflywheel::fleet::freshness::Read;

use crate::cases;

const WAIT: Duration = Duration::from_millis(750);
/// The longest transit time of a call or an answer, in milliseconds.
const MAX_TRANSIT_MS: u64 = 1500;
/// The length of a drawn series of changes, in milliseconds.
const SERIES_MS: u64 = 8000;
const MAX_CHANGES: usize = 12;
/// The number of drawn series, and the number of random bytes for each.
const SEEDS: u64 = 200;
const DRAW_BYTES: u64 = 1024;

/// The time at which the store answers a read that arrives at `arrived` and knows the changes up to `known`.
fn answer_time(changes: &[u64], known: u64, arrived: u64) -> (u64, bool) {
    let unseen = changes.iter().filter(|at| **at > known).min();
    let wait_ends = arrived + WAIT.as_millis() as u64;
    match unseen {
        Some(at) if *at <= wait_ends => (arrived.max(*at), true),
        _ => (wait_ends, false),
    }
}

/// Checks, for a reader that follows the store, that each read contains all changes from before its time.
fn check_drawn_series(seed: u64) {
    let property = arbtest::arbtest(|u| {
        let count = u.int_in_range(0..=MAX_CHANGES)?;
        let mut changes = Vec::with_capacity(count);
        for _ in 0..count {
            changes.push(u.int_in_range(0..=SERIES_MS)?);
        }
        let (mut now, mut known) = (0, 0);
        while now < SERIES_MS {
            let arrived = now + u.int_in_range(0..=MAX_TRANSIT_MS)?;
            let (answered, has_change) = answer_time(&changes, known, arrived);
            let ended = answered + u.int_in_range(0..=MAX_TRANSIT_MS)?;
            let read = Read {
                started: Instant(now),
                ended: Instant(ended),
                wait: WAIT,
                has_change,
            };
            let as_of = read.as_of().0;
            let missed = changes.iter().find(|at| **at > answered && **at < as_of);
            assert_eq!(
                missed, None,
                "{read:?}, answered at {answered}, {changes:?}"
            );
            (now, known) = (ended, answered);
        }
        Ok(())
    });
    // arbtest takes the number of random bytes from the low half of the seed.
    property.seed(seed << 32 | DRAW_BYTES).run();
}

fn check(ended: u64, has_change: bool, as_of: u64) {
    let read = Read {
        started: Instant(1000),
        ended: Instant(ended),
        wait: WAIT,
        has_change,
    };
    assert_eq!(read.as_of(), Instant(as_of));
}

cases! {
    /// The answer with a change is under way for half a second. If it counted as of its receipt, a change
    /// accepted meanwhile would count as known.
    late_answer_with_a_change_shows_the_start => check(1500, true, 1000);
    /// A read ends before its wait is over, although there is no change. When the store answered is unknown.
    read_that_ends_early_shows_the_start => check(1400, false, 1000);
    /// The store had no change until the wait was over.
    quiet_read_shows_the_end_of_its_wait => check(1760, false, 1750);
    /// An answer that is delayed does not show more than the wait.
    late_answer_without_a_change_shows_the_end_of_its_wait => check(3000, false, 1750);
    /// Changes and delays at random: no read counts as newer than the changes that it contains.
    no_drawn_read_counts_as_newer_than_it_is => (0..SEEDS).for_each(check_drawn_series);
}
