//! When the silence of a server means that its answer is lost.

use std::time::Duration;

use fireflywheel::fleet::adaptive_timeout::Estimator;

use crate::cases;

const fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn usual<I>(times: I) -> Estimator
where
    I: IntoIterator<Item = u64>,
{
    let mut usual = Estimator::default();
    for took in times {
        usual.observe(millis(took));
    }
    usual
}

/// The limit lies between these, in milliseconds.
fn limit<I>(times: I, least: u64, most: u64)
where
    I: IntoIterator<Item = u64>,
{
    let limit = usual(times).timeout().expect("enough were seen");
    assert!((millis(least)..=millis(most)).contains(&limit), "{limit:?}");
}

fn tail_is_within() {
    let times = (0..400).map(|number| {
        if number % 20 == 0 {
            400
        } else {
            60 + number % 30
        }
    });
    let mut usual = usual(times.clone().take(200));
    let late = times.skip(200).filter(|took| {
        let late = usual.timeout().is_some_and(|limit| millis(*took) > limit);
        usual.observe(millis(*took));
        late
    });
    // A second run now and then is no harm.
    assert!(late.count() <= 200 / 20);
}

cases! {
    /// A second run for each of the first requests would double the load just when a server starts.
    few_seen => assert_eq!(usual([40; 15]).timeout(), None);
    /// Servers that answer at once.
    steady => limit([40; 100], 200, 200);
    /// Engines that take some hundred milliseconds: an answer that is lost is missed long before its caller leaves.
    engines => limit((0..100).map(|number| 150 + (number % 10) * 40), 800, 1_800);
    /// A queue builds up: all are slow, and none is lost.
    queue => limit((0..100).chain([1_500; 20]).map(|number| 100 + number), 1_500, 3_500);
    /// One response in twenty is slow.
    tail => tail_is_within();
}
