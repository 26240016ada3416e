//! Tests of what is known of the versions at which streams began.

use std::time::Duration;

use fireflywheel::clock::Instant;
use fireflywheel::fleet::origin::{Answer, History, Query, RETURN_TIME, Record, Registry};
use smol_str::SmolStr;

use crate::cases;

const GROUP: &str = "llm";
const START: Instant = Instant(1_000_000);

/// An instance that has known these versions for as long as callers come back.
fn settled(versions: &[&str]) -> History {
    let mut history = History::default().with_first_start(START);
    observe(&mut history, START, versions);
    history
}

fn observe(history: &mut History, now: Instant, versions: &[&str]) {
    for version in versions {
        history.observe(now, &GROUP.into(), &SmolStr::new(version));
    }
    history.record_read(now);
}

/// Reads once a second.
fn read_for(history: &mut History, from: Instant, time: Duration, versions: &[&str]) -> Instant {
    let mut now = from;
    while now < from.after(time) {
        now = now.after(Duration::from_secs(1));
        observe(history, now, versions);
    }
    now
}

fn sole(history: &History, now: Instant) -> Option<&str> {
    history.sole(now, GROUP, true).map(SmolStr::as_str)
}

fn gone_version_counts_until_no_caller_comes_back() {
    let mut history = settled(&["v1", "v2"]);
    let soon = read_for(&mut history, START, RETURN_TIME / 2, &["v2"]);
    assert_eq!(sole(&history, soon), None);
    let later = read_for(&mut history, soon, RETURN_TIME, &["v2"]);
    assert_eq!(sole(&history, later), Some("v2"));
}

fn new_instance_does_not_know_what_was_before() {
    let mut history = History::default();
    observe(&mut history, START, &["v1"]);
    assert_eq!(sole(&history, START), None);
    let later = read_for(&mut history, START, RETURN_TIME, &["v1"]);
    assert_eq!(sole(&history, later), Some("v1"));
}

fn instance_learns_from_the_steward() {
    let mut history = History::default();
    observe(&mut history, Instant(0), &["v1"]);
    history.extend(Instant(0), &settled(&["v1"]).versions(START));
    assert_eq!(sole(&history, Instant(0)), Some("v1"));
    history.extend(Instant(0), &settled(&["v1", "v2"]).versions(START));
    assert_eq!(sole(&history, Instant(0)), None);
}

fn versions_are_not_known_after_a_gap() {
    let mut history = settled(&["v1"]);
    let after_gap = START.after(RETURN_TIME);
    observe(&mut history, after_gap, &["v1"]);
    assert_eq!(sole(&history, after_gap), None);
}

fn old_reading_needs_the_steward() {
    let history = settled(&["v1"]);
    let later = START.after(Duration::from_secs(5));
    assert_eq!(
        history.sole(later, GROUP, true).map(SmolStr::as_str),
        Some("v1")
    );
    assert_eq!(history.sole(later, GROUP, false), None);
    assert_eq!(sole(&history, START.after(RETURN_TIME)), None);
}

fn record(attempt: &str) -> Record {
    Record {
        attempt: attempt.into(),
        group: GROUP.into(),
        version: "v1".into(),
    }
}

fn query(attempt: &str, group: &str) -> Query {
    Query {
        attempt: attempt.into(),
        group: group.into(),
    }
}

fn registry_answers() {
    let mut registry = Registry::new(2);
    assert!(registry.insert(START, record("a")));
    assert!(!registry.insert(START, record("a")));
    let known = Answer::Version("v1".into());
    assert_eq!(registry.answer(START, &query("a", GROUP), false), known);
    let others = [query("a", "other"), query("b", GROUP)];
    for query in &others {
        assert_eq!(registry.answer(START, query, true), Answer::NotReported);
        assert_eq!(registry.answer(START, query, false), Answer::Unknown);
    }
    let later = START.after(RETURN_TIME);
    registry.prune(later);
    assert!(registry.is_empty());
}

fn full_registry_does_not_deny_what_it_forgot() {
    let mut registry = Registry::new(2);
    for attempt in ["a", "b", "c"] {
        registry.insert(START, record(attempt));
    }
    assert_eq!(registry.len(), 2);
    let forgotten = query("a", GROUP);
    assert_eq!(registry.answer(START, &forgotten, true), Answer::Unknown);
    let later = START.after(RETURN_TIME);
    assert_eq!(
        registry.answer(later, &forgotten, true),
        Answer::NotReported
    );
    assert!(!registry.insert(START, record(&"x".repeat(1000))));
}

cases! {
    /// A release takes the last server of a version away while its streams go on.
    version_that_is_gone_counts => gone_version_counts_until_no_caller_comes_back();
    /// An instance starts after the last server of a version was taken away.
    new_instance_knows_no_past => new_instance_does_not_know_what_was_before();
    /// An instance starts, and the steward knows the past.
    steward_tells_the_past => instance_learns_from_the_steward();
    /// A version comes and goes while the directory can't be read.
    gap_is_not_known => versions_are_not_known_after_a_gap();
    /// A version comes after the last reading, and nobody can be asked.
    reading_grows_old => old_reading_needs_the_steward();
    /// A caller names a stream of another group, or none.
    unknown_streams_are_told_from_known_ones => registry_answers();
    /// More streams begin than are remembered.
    forgotten_streams_are_unknown => full_registry_does_not_deny_what_it_forgot();
}
