//! Tests of the response time-out estimate.

use std::time::Duration;

use fireflywheel::fleet::adaptive_timeout::Estimator;

use crate::cases;

const fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn estimator<I>(times: I) -> Estimator
where
    I: IntoIterator<Item = u64>,
{
    let mut estimator = Estimator::default();
    for elapsed in times {
        estimator.observe(millis(elapsed));
    }
    estimator
}

/// Checks that the time-out lies between `min` and `max` milliseconds.
fn check_timeout<I>(times: I, min: u64, max: u64)
where
    I: IntoIterator<Item = u64>,
{
    let timeout = estimator(times)
        .timeout()
        .expect("there are enough samples");
    assert!(
        (millis(min)..=millis(max)).contains(&timeout),
        "{timeout:?}"
    );
}

fn long_tail_stays_within_timeout() {
    let times = (0..400).map(|number| {
        if number % 20 == 0 {
            400
        } else {
            60 + number % 30
        }
    });
    let mut estimator = estimator(times.clone().take(200));
    let late = times.skip(200).filter(|elapsed| {
        let late = estimator
            .timeout()
            .is_some_and(|timeout| millis(*elapsed) > timeout);
        estimator.observe(millis(*elapsed));
        late
    });
    // An occasional second run does no harm.
    assert!(late.count() <= 200 / 20);
}

fn check_usual<I>(times: I, min: u64, max: u64)
where
    I: IntoIterator<Item = u64>,
{
    let usual = estimator(times).usual();
    let usual = usual.expect("there are enough samples");
    assert!((millis(min)..=millis(max)).contains(&usual), "{usual:?}");
}

cases! {
    /// A planned stop refuses requests by what a few of them took.
    too_few_samples_are_not_usual => assert_eq!(estimator([40; 15]).usual(), None);
    /// A planned stop refuses requests that would end in time: the time-out is no usual time.
    usual_time_of_a_slow_engine => check_usual((0..100).map(|number| 150 + (number % 10) * 40), 400, 700);
    /// A second run for each of the first requests would double the load just when a server starts.
    too_few_samples_give_no_timeout => assert_eq!(estimator([40; 15]).timeout(), None);
    /// Servers that answer at once.
    fast_server_has_minimum_timeout => check_timeout([40; 100], 200, 200);
    /// Engines that take some hundred milliseconds: a lost answer is noticed long before its caller leaves.
    slow_engine_has_longer_timeout => check_timeout((0..100).map(|number| 150 + (number % 10) * 40), 800, 1_800);
    /// A queue builds up: all responses are slow, and none is lost.
    queueing_raises_timeout => check_timeout((0..100).chain([1_500; 20]).map(|number| 100 + number), 1_500, 3_500);
    /// One response in twenty is slow.
    slow_tail_is_not_lost => long_tail_stays_within_timeout();
}
