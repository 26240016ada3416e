//! Tests of what is known of the versions at which streams began.

use std::collections::BTreeSet;
use std::time::Duration;

use fireflywheel::clock::Instant;

use fireflywheel::fleet::origin::{
    Answer, History, Named, Query, RELEASE_TIME, RETURN_TIME, Record, Registry, Versions,
};
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

/// How long a version is there before a second one appears.
const STEADY_TIME: Duration = Duration::from_secs(10);

/// An instance that has seen one version alone and then a second one, and the time at which that appeared.
fn releasing() -> (History, Instant) {
    let mut history = settled(&["v1"]);
    let before = read_for(&mut history, START, STEADY_TIME, &["v1"]);
    let now = read_for(&mut history, before, Duration::from_secs(1), &["v1", "v2"]);
    (history, now)
}

fn unreported(history: &History, now: Instant, since: Instant) -> Option<&str> {
    history
        .unreported(now, GROUP, since, true)
        .map(SmolStr::as_str)
}

fn unreported_streams_began_at_the_earlier_version() {
    let (mut history, now) = releasing();
    assert_eq!(unreported(&history, now, START), Some("v1"));
    assert!(history.needs_record(now, GROUP, "v2"));
    assert!(!history.needs_record(now, GROUP, "v1"));
    // A third version changes nothing.
    let now = read_for(
        &mut history,
        now,
        Duration::from_secs(2),
        &["v1", "v2", "v3"],
    );
    assert_eq!(unreported(&history, now, START), Some("v1"));
    assert!(history.needs_record(now, GROUP, "v3"));
    let later = read_for(&mut history, now, RELEASE_TIME, &["v1", "v2", "v3"]);
    assert_eq!(unreported(&history, later, START), None);
    assert!(!history.needs_record(later, GROUP, "v2"));
}

fn records_are_needed_for_longer_than_conclusions_are_drawn() {
    let (mut history, began) = releasing();
    let mut now = began;
    while unreported(&history, now, START).is_some() {
        assert!(history.needs_record(now, GROUP, "v2"));
        now = read_for(&mut history, now, Duration::from_secs(1), &["v1", "v2"]);
    }
    assert!(history.needs_record(now, GROUP, "v2"));
}

fn late_steward_concludes_nothing() {
    let (mut history, now) = releasing();
    let later = read_for(&mut history, now, STEADY_TIME, &["v1", "v2"]);
    assert_eq!(unreported(&history, later, START), Some("v1"));
    assert_eq!(unreported(&history, later, now), None);
    // No earlier steward has recorded a stream of another version.
    let concluded = history.unreported(later, GROUP, now, false);
    assert_eq!(concluded.map(SmolStr::as_str), Some("v1"));
}

fn nothing_is_concluded_from_versions_that_came_together() {
    let mut history = settled(&["v1"]);
    let second = Duration::from_secs(1);
    let before = read_for(&mut history, START, 2 * second, &["v1"]);
    let now = read_for(&mut history, before, second, &["v1", "v2"]);
    assert_eq!(unreported(&history, now, START), None);
    assert!(history.needs_record(now, GROUP, "v1"));
}

fn records_are_needed_where_others_conclude() {
    let second = Duration::from_secs(1);
    // One instance has seen the version before for a moment longer.
    let mut concluding = settled(&["v0", "v1"]);
    let mut longer = settled(&["v0", "v1"]);
    let later = read_for(&mut longer, START, second, &["v0", "v1"]);
    read_for(&mut concluding, START, second, &["v1"]);
    for history in [&mut concluding, &mut longer] {
        read_for(history, later, RETURN_TIME - second, &["v1"]);
    }
    let now = later.after(RETURN_TIME - second);
    for history in [&mut concluding, &mut longer] {
        observe(history, now, &["v1", "v2"]);
    }
    assert_eq!(unreported(&concluding, now, START), Some("v1"));
    assert_eq!(unreported(&longer, now, START), None);
    assert!(longer.needs_record(now, GROUP, "v2"));
}

fn records_outlast_conclusions() {
    let mut registry = Registry::new(2);
    registry.insert(START, record("a"));
    let later = START.after(RELEASE_TIME - Duration::from_secs(1));
    registry.prune(later);
    let known = Answer::Version("v1".into());
    assert_eq!(registry.answer(later, &query("a", GROUP), true), known);
}

fn first_start_is_no_release() {
    let mut history = settled(&["v1", "v2"]);
    let now = read_for(&mut history, START, Duration::from_secs(2), &["v1", "v2"]);
    assert!(!history.needs_record(now, GROUP, "v1"));
    assert_eq!(unreported(&history, now, START), None);
}

/// An instance that has just started and doesn't know what was before.
fn started() -> History {
    let mut history = History::default();
    observe(&mut history, START, &["v1", "v2"]);
    history
}

fn steward_tells_a_new_instance_of_a_release() {
    let mut history = started();
    assert!(history.needs_record(START, GROUP, "v1"));
    let (steward, now) = releasing();
    history.extend(START, &steward.versions(now));
    assert!(!history.needs_record(START, GROUP, "v1"));
    assert!(history.needs_record(START, GROUP, "v2"));
    assert_eq!(unreported(&history, START, START), None);
}

fn steward_tells_a_new_instance_of_none() {
    let (mut steward, now) = releasing();
    let later = read_for(&mut steward, now, RELEASE_TIME, &["v1", "v2"]);
    let versions = steward.versions(later);
    let mut history = started();
    history.extend(START, &versions);
    assert!(!history.needs_record(START, GROUP, "v2"));
    // The steward doesn't know one of the versions yet.
    let mut history = started();
    observe(&mut history, START, &["v3"]);
    history.extend(START, &versions);
    assert!(history.needs_record(START, GROUP, "v1"));
    // The sender knows nothing.
    let mut history = started();
    history.extend(START, &Versions::default());
    assert!(history.needs_record(START, GROUP, "v1"));
}

fn versions_are_not_known_after_a_gap_before_the_first_reading() {
    let mut history = History::default();
    history.extend(START, &settled(&["v1"]).versions(START));
    let after_gap = START.after(RETURN_TIME + Duration::from_secs(1));
    observe(&mut history, after_gap, &["v2"]);
    assert_eq!(sole(&history, after_gap), None);
}

fn steward_whose_reading_is_old_tells_of_the_past_only() {
    let steward = settled(&["v1"]);
    let later = START.after(RETURN_TIME / 2);
    let mut history = History::default();
    observe(&mut history, later, &["v1"]);
    history.extend(later, &steward.versions(later));
    assert_eq!(sole(&history, later), None);
}

/// A fleet has known a version alone, and all instances are killed. What a new instance knows after it has read the record
/// and the directory, in either order.
fn restarted(served: &[&str], reads_directory_first: bool) -> History {
    let record = settled(&["v1"]).versions(START);
    let mut history = History::default();
    if reads_directory_first {
        observe(&mut history, START, served);
    }
    history.extend_by_record(START, &record, Some(&BTreeSet::new()));
    if !reads_directory_first {
        observe(&mut history, START, served);
    }
    history
}

fn streams_from_before_a_loss_of_all_began_at_the_named_version() {
    for reads_directory_first in [false, true] {
        for served in [&["v1", "v2"][..], &["v2"]] {
            let history = restarted(served, reads_directory_first);
            let now = START.after(Duration::from_secs(4));
            let concluded = history.unreported(now, GROUP, START, false);
            assert_eq!(concluded.map(SmolStr::as_str), Some("v1"), "{served:?}");
            assert_eq!(sole(&history, now), None);
            assert!(history.needs_record(now, GROUP, "v2"));
            let later = START.after(RELEASE_TIME);
            assert_eq!(history.unreported(later, GROUP, START, false), None);
        }
    }
}

fn record_tells_nothing_of_what_it_does_not_know() {
    let two = settled(&["v1", "v2"]).versions(START);
    let (steward, released_at) = releasing();
    let released = steward.versions(released_at);
    let mut young = History::default();
    observe(&mut young, START, &["v1"]);
    let one = settled(&["v1"]).versions(START);
    let none = BTreeSet::new();
    let recorded = BTreeSet::from([GROUP.into()]);
    let cases = [
        (two, Some(&none)),
        (released, Some(&none)),
        (young.versions(START), Some(&none)),
        (one.clone(), Some(&recorded)),
        (one, None),
    ];
    for (record, recorded_groups) in cases {
        let mut history = History::default();
        history.extend_by_record(START, &record, recorded_groups);
        observe(&mut history, START, &["v3"]);
        assert_eq!(
            history.unreported(START, GROUP, START, false),
            None,
            "{record:?}"
        );
    }
}

fn lost_record_covers_nothing() {
    let record = settled(&["v1"]).versions(START);
    let mut history = History::default();
    history.extend_by_lost_record(START, &record);
    observe(&mut history, START, &["v1"]);
    assert_eq!(sole(&history, START), None);
    observe(&mut history, START, &["v1", "v2"]);
    assert_eq!(history.unreported(START, GROUP, START, false), None);
}

fn streams_that_need_records_are_reported() {
    let mut history = settled(&["v1"]);
    let before = read_for(&mut history, START, STEADY_TIME, &["v1"]);
    let mut now = before;
    while now < before.after(2 * RELEASE_TIME) {
        now = read_for(&mut history, now, Duration::from_secs(1), &["v2"]);
        let is_reported = history.is_reported(now, GROUP, "v2");
        assert!(is_reported || !history.needs_record(now, GROUP, "v2"));
    }
    assert!(!history.is_reported(now, GROUP, "v2"));
}

fn unknown_record_names_nothing() {
    let mut named = Named::default();
    let (group, version) = (GROUP.into(), SmolStr::new("v1"));
    assert!(!named.is_known() && !named.contains(&group, &version));
    named.replace(settled(&["v1"]).versions(START).names());
    assert!(named.contains(&group, &version));
    assert!(!named.contains(&group, &"v2".into()));
    assert_eq!(named.list(), Some(vec![(group, version)]));
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
        is_confirmation: false,
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
    let later = START.after(RELEASE_TIME);
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
    let later = START.after(RELEASE_TIME);
    assert_eq!(
        registry.answer(later, &forgotten, true),
        Answer::NotReported
    );
    assert!(!registry.insert(START, record(&"x".repeat(1000))));
    assert!(!registry.insert(START, record("")));
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
    /// A stream began before its instance knew a second version, and the instance has ended.
    unreported_stream_has_the_earlier_version => unreported_streams_began_at_the_earlier_version();
    /// A stream of a new version isn't recorded any more while the steward still takes such ones for the earlier one.
    conclusions_end_before_records => records_are_needed_for_longer_than_conclusions_are_drawn();
    /// An instance that remembers an earlier version for longer begins streams without a record.
    all_instances_record_where_one_concludes => records_are_needed_where_others_conclude();
    /// A recorded stream is taken for an unreported one, seconds before that ends.
    records_last_as_long_as_conclusions => records_outlast_conclusions();
    /// What was reported to an earlier steward has ended with it.
    late_steward_does_not_conclude => late_steward_concludes_nothing();
    /// Two versions appear within moments, and instances have seen either of them alone.
    versions_that_come_together_tell_nothing => nothing_is_concluded_from_versions_that_came_together();
    /// Streams wait for records as the whole system starts with two versions.
    first_start_needs_no_records => first_start_is_no_release();
    /// An instance starts during a release, and its streams are taken for those of the earlier version.
    new_instance_learns_of_a_release => steward_tells_a_new_instance_of_a_release();
    /// An instance starts while two versions have long been there, and its streams wait for records.
    new_instance_learns_that_there_is_no_release => steward_tells_a_new_instance_of_none();
    /// A caller names a stream of another group, or none.
    unknown_streams_are_told_from_known_ones => registry_answers();
    /// More streams begin than are remembered.
    forgotten_streams_are_unknown => full_registry_does_not_deny_what_it_forgot();
    /// A version comes and goes before an instance reads the directory for the first time.
    gap_before_the_first_reading => versions_are_not_known_after_a_gap_before_the_first_reading();
    /// A steward that can't read the directory any more takes what it knew for what there is.
    old_reading_of_the_steward => steward_whose_reading_is_old_tells_of_the_past_only();
    /// All instances are killed, and a second version comes before they run again: streams of the first one are refused.
    version_that_comes_while_no_instance_runs => streams_from_before_a_loss_of_all_began_at_the_named_version();
    /// All instances are killed, and streams of several versions are taken for those of one.
    record_of_several_versions => record_tells_nothing_of_what_it_does_not_know();
    /// The store is restored from a copy from before a version came, whose streams are taken for those of the one before.
    record_of_a_restored_store => lost_record_covers_nothing();
    /// The last server of the earlier version leaves early in a release, and streams wait for records that nobody asks for.
    records_after_a_quick_release => streams_that_need_records_are_reported();
    /// An instance begins streams though it doesn't know the record.
    record_is_not_known => unknown_record_names_nothing();
}
