//! Tests of quotas: they hold over all instances through every kind of failure, and refuse nothing below
//! the limit.

mod fleet;

use fireflywheel::fleet::quota::{Quota, Unit};

use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

use crate::cases;
use fleet::{Fault, Outcome, Scenario, max_in_a_window, sum};

const END_MS: u64 = 30_000;
const SEEDS: u64 = 60;
/// The load of an organisation that suddenly offers about four times its quota.
const OVERLOAD: [(u64, f64); 3] = [(0, 0.55), (6_000, 4.2), (18_000, 0.55)];

fn scenario() -> Scenario {
    Scenario::default()
}

fn overloaded() -> Scenario {
    Scenario {
        load: OVERLOAD.to_vec(),
        ..scenario()
    }
}

fn with_fault(mut scenario: Scenario, from: u64, until: u64, fault: Fault) -> Scenario {
    scenario.faults.push((from, until, fault));
    scenario
}

/// Asserts that no window admits more than the quota allows.
fn assert_holds(scenario: &Scenario) -> Outcome {
    let outcome = scenario.run(END_MS);
    let most = max_in_a_window(&outcome.admitted, 0);
    let bound = scenario.bound(scenario.quota);
    assert!(
        most <= bound,
        "{most:.0} admitted in a window, {bound:.0} allowed: {scenario:?}"
    );
    outcome
}

/// Asserts that at most this share of the load between `from` and `until` is refused, since the
/// organisation is below its limit.
fn assert_refused_at_most(scenario: &Scenario, from: u64, until: u64, most: f64) {
    let outcome = assert_holds(scenario);
    let refused = sum(&outcome.refused, from, until);
    let offered = refused + sum(&outcome.admitted, from, until);
    let share = refused / offered;
    assert!(
        share <= most,
        "{share:.3} of the load refused, {most} allowed"
    );
}

/// Asserts that an organisation over its limit gets at least this share of its quota.
fn assert_admitted_at_least(scenario: &Scenario, from: u64, until: u64, least: f64) {
    let outcome = assert_holds(scenario);
    let span = (until - from) as f64 / 1000.0;
    let share = sum(&outcome.admitted, from, until) / scenario.quota / span;
    assert!(
        share >= least,
        "{share:.3} of the quota admitted, at least {least} expected"
    );
}

/// Asserts that a window that begins after `from` admits no more than the lowered limit allows.
fn assert_lowered(scenario: &Scenario, from: u64) {
    let outcome = scenario.run(END_MS);
    let (_, by) = scenario.lowered.expect("the scenario lowers the limit");
    let most = max_in_a_window(&outcome.admitted, from);
    let bound = scenario.bound(scenario.quota / by);
    assert!(
        most <= bound,
        "{most:.0} admitted in a window, {bound:.0} allowed"
    );
}

/// A random load at random instances, with up to two failures.
fn random_scenario(seed: u64) -> Scenario {
    let mut rng = SmallRng::seed_from_u64(seed);
    let instances = rng.random_range(5..=140);
    let mut scenario = Scenario {
        instances,
        quota: rng.random_range(9_000.0..140_000.0),
        caller_instances: rng.random_range(1..=instances),
        seed,
        ..overloaded()
    };
    for _ in 0..rng.random_range(0..=2) {
        let from = rng.random_range(0..=18_000);
        let until = from + rng.random_range(500..=12_000);
        let fault = match rng.random_range(0..3) {
            0 => Fault::NoSteward,
            1 => Fault::Partition(rng.random_range(0.0..0.6)),
            _ => Fault::AllKilled,
        };
        scenario.faults.push((from, until, fault));
    }
    scenario
}

fn random_faults_hold() {
    for seed in 0..SEEDS {
        assert_holds(&random_scenario(seed));
    }
}

fn assert_cost(unit: Unit, tokens: Option<u32>, expected: f64) {
    let quota = Quota::new(10.0, 10.0, unit)
        .expect("valid")
        .expect("a limit");
    assert!((quota.cost(tokens) - expected).abs() < 1e-9);
}

fn assert_rejected(per_second: f64, burst: f64, plain: f64) {
    assert!(Quota::new(per_second, burst, Unit::Tokens { plain }).is_err());
}

cases! {
    /// A limit that is divided equally among instances would refuse an organisation whose callers are
    /// connected to few of them.
    below_the_limit => assert_refused_at_most(&scenario(), 1_000, END_MS, 0.0);
    /// The same with all callers at one instance.
    callers_at_one_instance => assert_refused_at_most(&Scenario { caller_instances: 1, ..scenario() }, 1_000, END_MS, 0.0);
    /// Requests larger than an instance's part would never be admitted.
    large_requests => assert_refused_at_most(&Scenario { cost: 9_200, ..scenario() }, 1_000, END_MS, 0.0);
    /// At four times its limit: until instances learn of it, each admits everything it is offered.
    small_organisation_at_four_times => assert_admitted_at_least(&overloaded(), 7_000, 18_000, 0.9);
    /// For the largest organisation, the tolerated error is smaller in proportion.
    large_organisation_at_four_times => assert_admitted_at_least(&Scenario { quota: 135_000.0, ..overloaded() }, 7_000, 18_000, 0.9);
    /// The whole surge arrives at one instance.
    surge_at_one_instance => assert_admitted_at_least(&Scenario { caller_instances: 1, ..overloaded() }, 7_000, 18_000, 0.85);
    /// With hundreds of instances, the steward receives reports and sends shares less often.
    at_303_instances => assert_admitted_at_least(&Scenario { instances: 303, quota: 40_000.0, ..overloaded() }, 7_000, 18_000, 0.9);
    /// With more than a thousand instances, even less often.
    at_1100_instances => assert_admitted_at_least(&Scenario { instances: 1_100, quota: 150_000.0, ..overloaded() }, 7_000, 18_000, 0.85);
    /// Without a steward for 5 s, each instance would admit everything it is offered.
    no_steward_in_a_surge => { assert_holds(&with_fault(overloaded(), 8_000, 13_000, Fault::NoSteward)); };
    /// The surge begins just when the steward is lost.
    surge_without_a_steward => { assert_holds(&with_fault(overloaded(), 5_900, 11_000, Fault::NoSteward)); };
    /// The same for the largest organisation.
    large_surge_without_a_steward => {
        assert_holds(&with_fault(Scenario { quota: 135_000.0, ..overloaded() }, 5_900, 11_000, Fault::NoSteward));
    };
    /// Without a steward, an organisation below its limit is served as before.
    below_the_limit_without_a_steward => {
        let scenario = Scenario { caller_instances: 12, ..scenario() };
        assert_refused_at_most(&with_fault(scenario, 12_000, 17_000, Fault::NoSteward), 1_000, END_MS, 0.05);
    };
    /// A third of all instances are partitioned for 12 s during a surge: both sides would admit the whole
    /// quota.
    surge_in_a_partition => { assert_holds(&with_fault(overloaded(), 5_000, 17_000, Fault::Partition(0.35))); };
    /// The same for the largest organisation.
    large_surge_in_a_partition => {
        assert_holds(&with_fault(Scenario { quota: 135_000.0, ..overloaded() }, 5_000, 17_000, Fault::Partition(0.35)));
    };
    /// Partitioned instances continue to serve an organisation below its limit.
    below_the_limit_in_a_partition => assert_refused_at_most(&with_fault(scenario(), 10_000, 22_000, Fault::Partition(0.35)), 1_000, END_MS, 0.05);
    /// All processes are killed during a surge. The record of what was admitted is lost, and a second burst
    /// would exceed the limit.
    all_killed_in_a_surge => { assert_holds(&with_fault(overloaded(), 10_000, 11_000, Fault::AllKilled)); };
    /// The same for the largest organisation.
    large_all_killed_in_a_surge => {
        assert_holds(&with_fault(Scenario { quota: 135_000.0, ..overloaded() }, 10_000, 11_000, Fault::AllKilled));
    };
    /// All processes are killed, and there is no steward for 3 s after that.
    all_killed_and_no_steward => {
        let scenario = with_fault(overloaded(), 10_000, 11_000, Fault::AllKilled);
        assert_holds(&with_fault(scenario, 11_000, 14_000, Fault::NoSteward));
    };
    /// A limit is lowered far below the offered load.
    lowered_limit => assert_lowered(&Scenario { quota: 60_000.0, lowered: Some((10_000, 8.0)), ..scenario() }, 13_000);
    /// A limit is lowered while there is no steward.
    lowered_without_a_steward => {
        let scenario = Scenario { quota: 60_000.0, lowered: Some((10_000, 8.0)), ..scenario() };
        assert_lowered(&with_fault(scenario, 9_000, 14_000, Fault::NoSteward), 13_000);
    };
    /// Random loads at random instances, with random failures.
    random_faults => random_faults_hold();
    /// A quota of requests counts each request as one.
    count_requests => assert_cost(Unit::Requests, Some(700), 1.0);
    /// A quota of tokens counts a request by its tokens.
    count_tokens => assert_cost(Unit::Tokens { plain: 200.0 }, Some(700), 700.0);
    /// A request that does not state its tokens would be free.
    count_plain => assert_cost(Unit::Tokens { plain: 200.0 }, None, 200.0);
    /// A limit below zero would admit nothing or everything.
    negative_limit => assert_rejected(-1.0, 1.0, 0.0);
    /// A burst that is not a number is rejected.
    non_numeric_burst => assert_rejected(1.0, f64::NAN, 0.0);
    /// Requests that do not state their tokens would give tokens back.
    negative_plain => assert_rejected(1.0, 1.0, -200.0);
}
