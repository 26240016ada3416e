//! Checks that the demo detects each broken promise. Each promise must fail on its own counterexample only.

use std::time::Duration;

use fireflywheel_demo::{booking, configuration, promise, scenario, traffic};
use fireflywheel_standin::{engine, load::Outcome, service};
use tokio::time;

/// Returns evidence that fulfils all promises.
fn clean_evidence() -> scenario::Evidence {
    let outcome = service::Outcome {
        id: "booking-copy-1".into(),
        method: "POST".into(),
        path: configuration::BOOKINGS_PATH.into(),
        body: booking::BODY.into(),
        run: 1,
    };
    let mut evidence = scenario::Evidence {
        bookings: vec![booking::Reply::Ran(outcome); 3],
        ..scenario::Evidence::default()
    };
    evidence.change.version = 7;
    evidence.change.sent_us = 100;
    evidence.change.enforced_us = 200;
    evidence.change.versions_at_end = vec![7, 7];
    evidence.stop.instance = "demo-1".into();
    evidence.stop.steward_after = "demo-2".into();
    evidence.stop.open_streams = 1;
    evidence.counts.engines = vec![engine::Counts::default(); 2];
    let mut service = service::Counts::default();
    service.bodies.insert(booking::BODY.into(), 1);
    evidence.counts.services = vec![service, service::Counts::default()];
    evidence.rounds = vec![
        round(scenario::COLD_ROUND, Outcome::Served),
        round(scenario::OPEN_STREAMS_ROUND, Outcome::Served),
    ];
    evidence
}

fn round(name: &'static str, outcome: Outcome) -> scenario::Round {
    let sample = traffic::Sample {
        id: "request-1".into(),
        stream: true,
        outcome,
        first: Duration::from_millis(1),
        whole: Duration::from_millis(2),
        end: time::Instant::now(),
    };
    scenario::Round {
        name,
        samples: vec![sample],
    }
}

fn refused(verdict: &str) -> Outcome {
    Outcome::Refused {
        verdict: verdict.into(),
        code: "too_late".into(),
    }
}

fn load(evidence: &mut scenario::Evidence, engine: usize, us: u64, model: &str) {
    let change = engine::Change {
        us,
        item: format!("{model}@1").into(),
        loaded: true,
        memory_mb: 0,
    };
    evidence.counts.engines[engine].history.push(change);
}

fn unload(evidence: &mut scenario::Evidence, engine: usize, us: u64, model: &str) {
    load(evidence, engine, us, model);
    let change = evidence.counts.engines[engine].history.last_mut();
    change.expect("a change was added").loaded = false;
}

/// Returns the promises that the evidence breaks.
fn broken_promises(evidence: &scenario::Evidence) -> Vec<&'static str> {
    let promises = promise::check_all(evidence);
    let broken = promises.iter().filter(|promise| !promise.is_held());
    broken.map(|promise| promise.text).collect()
}

macro_rules! cases {
    ($($name:ident: $change:expr => [$($promise:ident),*];)*) => {
        $(
            #[test]
            fn $name() {
                let mut evidence = clean_evidence();
                let change: fn(&mut scenario::Evidence) = $change;
                change(&mut evidence);
                let expected: Vec<&str> = vec![$(promise::$promise),*];
                assert_eq!(broken_promises(&evidence), expected);
            }
        )*
    };
}

cases! {
    evidence_without_counterexample: |_| {} => [];
    true_refusal: |evidence| {
        evidence.rounds.push(round(scenario::COLD_ROUND, refused("not-run")));
    } => [];
    replica_beyond_the_first_cap: |evidence| {
        load(evidence, 0, 10, configuration::RAISED_MODEL);
        load(evidence, 1, 20, configuration::RAISED_MODEL);
    } => [REPLICA_CAPS];
    replica_allowed_by_the_change: |evidence| {
        load(evidence, 0, 10, configuration::RAISED_MODEL);
        load(evidence, 1, 210, configuration::RAISED_MODEL);
    } => [];
    replica_beyond_the_lowered_cap: |evidence| {
        load(evidence, 0, 10, configuration::LOWERED_MODEL);
        load(evidence, 1, 210, configuration::LOWERED_MODEL);
    } => [REPLICA_CAPS];
    replica_unloaded_by_the_change: |evidence| {
        load(evidence, 0, 10, configuration::LOWERED_MODEL);
        load(evidence, 1, 20, configuration::LOWERED_MODEL);
        unload(evidence, 1, 150, configuration::LOWERED_MODEL);
    } => [];
    memory_overcommitted: |evidence| {
        evidence.counts.engines[1].peak_memory_mb = configuration::ENGINE_MEMORY_MB + 1;
    } => [ENGINE_MEMORY];
    late_answer: |evidence| {
        evidence.rounds.push(round(scenario::COLD_ROUND, Outcome::Late));
    } => [TIMELY_ANSWERS];
    no_answer: |evidence| {
        evidence.rounds.push(round(scenario::COLD_ROUND, Outcome::Unanswered("timeout".into())));
    } => [TIMELY_ANSWERS];
    refusal_without_verdict: |evidence| {
        evidence.rounds.push(round(scenario::COLD_ROUND, refused("none")));
    } => [TIMELY_ANSWERS];
    all_requests_refused: |evidence| {
        evidence.rounds[0] = round(scenario::COLD_ROUND, refused("not-run"));
    } => [TIMELY_ANSWERS];
    answer_of_another: |evidence| {
        evidence.rounds.push(round(scenario::COLD_ROUND, Outcome::Wrong("another's id".into())));
    } => [CORRECT_ANSWERS];
    answer_cut_short: |evidence| {
        evidence.rounds.push(round(scenario::COLD_ROUND, Outcome::Broken("connection".into())));
    } => [CORRECT_ANSWERS];
    false_not_run: |evidence| {
        evidence.rounds.push(round(scenario::COLD_ROUND, refused("not-run")));
        evidence.counts.engines[0].runs.insert("request-1".into(), 1);
    } => [TRUE_REFUSALS];
    booking_ran_at_two_services: |evidence| {
        evidence.counts.services[1].bodies.insert(booking::BODY.into(), 1);
    } => [SINGLE_BOOKING];
    booking_without_outcome: |evidence| {
        evidence.bookings[2] = booking::Reply::Other("409".into());
    } => [SINGLE_BOOKING];
    booking_never_sent: |evidence| {
        evidence.bookings.clear();
    } => [SINGLE_BOOKING];
    change_reverted: |evidence| {
        evidence.change.versions_at_end = vec![7, 1];
    } => [DURABLE_CHANGE];
    versions_never_read: |evidence| {
        evidence.change.versions_at_end.clear();
    } => [DURABLE_CHANGE];
    stream_cut_by_the_stop: |evidence| {
        evidence.rounds.push(round(scenario::OPEN_STREAMS_ROUND, refused("not-run")));
    } => [CLEAN_STOP];
    no_stream_open: |evidence| {
        evidence.stop.open_streams = 0;
    } => [CLEAN_STOP];
    steward_unchanged_after_the_stop: |evidence| {
        evidence.stop.steward_after = evidence.stop.instance.clone();
    } => [CLEAN_STOP];
}
