//! How many loads the weight store bears at once is learned from how long loads take.

use std::time::Duration;

use arbtest::arbtest;
use fireflywheel::fleet::plan::concurrency::Estimate;

use crate::cases;

const ALONE: Duration = Duration::from_secs(10);

/// Keeps a store busy that bears so many loads at full speed, until this many have ended.
fn learn(bears: usize, loads: usize) -> Estimate {
    let mut pace = Estimate::default();
    for _ in 0..loads {
        let at_once = pace.limit();
        let stretch = (at_once as f64 / bears as f64).max(1.0);
        pace.observe(at_once, at_once, ALONE, ALONE.mul_f64(stretch));
    }
    pace
}

/// All that the store bears are sent, and at most half as many again: one more is tried now and then.
fn learned(bears: usize) {
    let at_once = learn(bears, 30).limit();
    assert!(
        at_once >= bears && at_once * 2 <= bears * 3,
        "{at_once} of {bears}"
    );
}

fn one_slow_load_is_forgotten() {
    let mut pace = learn(4, 30);
    let before = pace.limit();
    pace.observe(before, before, ALONE, ALONE * 3);
    for _ in 0..20 {
        pace.observe(pace.limit(), pace.limit(), ALONE, ALONE);
    }
    assert!(pace.limit() >= before);
}

fn it_stays_within_reason() {
    arbtest(|u| {
        let mut pace = Estimate::default();
        for _ in 0..u.int_in_range(1..=100)? {
            let took = Duration::from_millis(u.int_in_range(0..=100_000)?);
            let alone = Duration::from_millis(u.int_in_range(0..=20_000)?);
            let (first, at_once) = (u.int_in_range(0..=8)?, u.int_in_range(0..=8)?);
            pace.observe(first, at_once, alone, took);
            assert!((1..=40).contains(&pace.limit()));
            assert!(pace.load_time(ALONE, 1) == ALONE);
        }
        Ok(())
    });
}

fn first_loads_say_nothing_of_more() {
    let mut pace = Estimate::default();
    let before = pace.limit();
    // Four were sent one after the other; these two began alone and among two.
    pace.observe(1, before, ALONE, ALONE);
    pace.observe(2, before, ALONE, ALONE);
    assert_eq!(pace.limit(), before);
}

cases! {
    /// A store makes only those loads slower that come when it is busy. The first ones end at full speed beside them; taken
    /// for a proof that it bears more, they would bring more loads, and each would take twice its time.
    first_loads => first_loads_say_nothing_of_more();
    /// The store bears fewer loads than are sent to it. All of them are slow then, and the callers of each wait longer.
    narrow_store => learned(2);
    /// It bears as many as were assumed.
    usual_store => learned(4);
    /// It bears more. Loads that wait for their turn in vain leave models cold.
    wide_store => learned(8);
    /// An engine that is slow itself says nothing of the store for long.
    slow_engine => one_slow_load_is_forgotten();
    /// Whatever it is told.
    any_times => it_stays_within_reason();
}
