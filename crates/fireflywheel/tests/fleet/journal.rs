//! Tests of the streams that a steward keeps in the store.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use fireflywheel::clock::Instant;
use fireflywheel::fleet::origin::{Batch, Journal, RELEASE_TIME, Record, WRITE_INTERVAL};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use smol_str::SmolStr;

use crate::cases;

const START: Instant = Instant(1_000_000);
const MAX_PENDING: usize = 50_000;
/// Maximum size of a record of the store, in bytes.
const MAX_RECORD_BYTES: usize = 262_144;
/// Random histories, and the number of steps of each.
const SEEDS: u64 = 100;
const STEPS: usize = 600;

/// The newest batch of each slot.
#[derive(Default)]
struct Store {
    slots: BTreeMap<u64, Batch>,
}

impl Store {
    fn write(&mut self, batch: &Batch) {
        self.slots.insert(batch.slot(), batch.clone());
    }

    /// Writes what a steward has to write at once, and returns the number of batches.
    fn write_all(&mut self, journal: &mut Journal, mut now: Instant) -> usize {
        let mut count = 0;
        while let Some(batch) = journal.take(now, |_| true) {
            self.write(&batch);
            journal.record_written(now, batch.number);
            now = now.after(WRITE_INTERVAL);
            count += 1;
        }
        count
    }

    /// A steward that has read the store and knows nothing else, and the streams that it has found.
    fn load(&self, now: Instant) -> (Journal, BTreeSet<SmolStr>) {
        let batches: Vec<Batch> = self.slots.values().cloned().collect();
        let mut journal = Journal::default();
        let records = journal.load(now, &batches, std::iter::empty());
        (
            journal,
            records.into_iter().map(|record| record.attempt).collect(),
        )
    }
}

fn record(attempt: &str) -> Record {
    Record {
        attempt: attempt.into(),
        group: "llm".into(),
        version: "v1".into(),
    }
}

fn add(journal: &mut Journal, now: Instant, attempt: &str) {
    journal.add(now, record(attempt), MAX_PENDING);
}

fn later_steward_finds_streams() {
    let mut store = Store::default();
    let (mut first, found) = store.load(START);
    assert!(found.is_empty());
    add(&mut first, START, "a");
    store.write_all(&mut first, START);
    let (mut second, found) = store.load(START);
    assert_eq!(found, ["a".into()].into());
    add(&mut second, START, "b");
    store.write_all(&mut second, START);
    let (_, found) = store.load(START);
    assert_eq!(found, ["a".into(), "b".into()].into());
}

fn nothing_is_written_before_the_store_was_read() {
    let mut journal = Journal::default();
    add(&mut journal, START, "a");
    assert_eq!(journal.take(START, |_| true), None);
    journal.load(START, &[], [record("a"), record("b")].iter());
    let batch = journal.take(START, |_| true).expect("there are streams");
    assert_eq!(batch.records().count(), 2);
}

fn stored_streams_are_not_written_again() {
    let mut store = Store::default();
    let (mut first, _) = store.load(START);
    add(&mut first, START, "a");
    store.write_all(&mut first, START);
    let batches: Vec<Batch> = store.slots.values().cloned().collect();
    let mut second = Journal::default();
    second.load(START, &batches, [record("a")].iter());
    assert_eq!(second.take(START, |_| true), None);
}

fn failed_write_is_repeated() {
    let (mut journal, _) = Store::default().load(START);
    add(&mut journal, START, "a");
    let first = journal.take(START, |_| true).expect("there is a stream");
    add(&mut journal, START, "b");
    let again = journal.take(START, |_| true);
    assert_eq!(again.as_ref(), Some(&first), "it may have been written");
    journal.record_written(START, first.number);
    let next = journal.take(START, |_| true).expect("there is a stream");
    assert!(next.number > first.number);
}

fn refused_batch_is_left_out() {
    let (mut journal, _) = Store::default().load(START);
    add(&mut journal, START, "a");
    let refused = journal.take(START, |_| true).expect("there is a stream");
    journal.record_refused(refused.number);
    add(&mut journal, START, "b");
    let next = journal.take(START, |_| true).expect("there is a stream");
    assert!(next.records().eq([record("b")]));
}

fn streams_wait_until_they_are_needed() {
    let (mut journal, _) = Store::default().load(START);
    add(&mut journal, START, "a");
    assert_eq!(journal.take(START, |_| false), None);
    assert!(journal.take(START, |group| group == "llm").is_some());
    let (mut journal, _) = Store::default().load(START);
    add(&mut journal, START, "a");
    let later = START.after(RELEASE_TIME);
    assert_eq!(journal.take(later, |_| true), None, "nobody comes back");
}

fn writes_are_apart() {
    let (mut journal, _) = Store::default().load(START);
    assert_eq!(journal.next_write_in(START), None);
    add(&mut journal, START, "a");
    assert_eq!(journal.next_write_in(START), Some(Duration::ZERO));
    let batch = journal.take(START, |_| true).expect("there is a stream");
    journal.record_written(START, batch.number);
    add(&mut journal, START, "b");
    assert_eq!(journal.next_write_in(START), Some(WRITE_INTERVAL));
}

fn many_streams_fit_into_records(digits: usize) {
    let mut store = Store::default();
    let (mut journal, _) = store.load(START);
    for number in 0..MAX_PENDING + 10 {
        add(&mut journal, START, &format!("\"{number:0digits$}\""));
    }
    assert!(store.write_all(&mut journal, START) > 1);
    let batches = store.slots.values();
    let sizes = batches.map(|batch| {
        let json = serde_json::to_vec(batch).expect("a batch always has a JSON form");
        json.len()
    });
    assert!(sizes.max() < Some(MAX_RECORD_BYTES));
    let (_, found) = store.load(START);
    assert_eq!(found.len(), MAX_PENDING);
}

fn old_streams_are_left_out() {
    let mut store = Store::default();
    let (mut journal, _) = store.load(START);
    add(&mut journal, START, "old");
    store.write_all(&mut journal, START);
    let later = START.after(RELEASE_TIME + WRITE_INTERVAL);
    add(&mut journal, later, "new");
    store.write_all(&mut journal, later);
    let (_, found) = store.load(later);
    assert_eq!(found, ["new".into()].into());
}

/// Streams begin all the time, writes fail or are delayed, and stewards end with all that they know.
fn random_history(seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut store = Store::default();
    let mut now = START;
    let (mut journal, _) = store.load(now);
    let mut written: BTreeMap<SmolStr, Instant> = BTreeMap::new();
    let mut delayed: Option<Batch> = None;
    for step in 0..STEPS {
        now = now.after(Duration::from_millis(random.random_range(0..600)));
        add(&mut journal, now, &format!("s{step}"));
        if let Some(batch) = delayed.take() {
            store.write(&batch);
        }
        match random.random_range(0..20) {
            0 => {
                delayed = journal.take(now, |_| true);
                let found;
                (journal, found) = store.load(now);
                let since = now.before(RELEASE_TIME);
                let expected = written.iter().filter(|(_, at)| **at > since);
                for (attempt, at) in expected {
                    assert!(
                        found.contains(attempt),
                        "seed {seed}, step {step}: {attempt}, written at {at:?}, is not found at {now:?}"
                    );
                }
            }
            1 => {
                // The write has no answer.
                let batch = journal.take(now, |_| true);
                if let Some(batch) = batch.filter(|_| random.random_bool(0.5)) {
                    store.write(&batch);
                }
            }
            _ => {
                if let Some(batch) = journal.take(now, |_| true) {
                    store.write(&batch);
                    journal.record_written(now, batch.number);
                    written.extend(batch.records().map(|record| (record.attempt, now)));
                }
            }
        }
    }
}

cases! {
    /// All that knew a stream have ended.
    streams_outlast_stewards => later_steward_finds_streams();
    /// A new steward overwrites the streams of the one before.
    store_is_read_first => nothing_is_written_before_the_store_was_read();
    /// Each change of steward writes all streams again.
    known_streams_are_not_repeated => stored_streams_are_not_written_again();
    /// A write has no answer, and its streams are lost, or take two slots.
    write_without_an_answer => failed_write_is_repeated();
    /// The store never takes a batch, and all that follow wait for it.
    batch_that_the_store_refuses => refused_batch_is_left_out();
    /// Streams of a group with a single version cost writes.
    single_version_costs_nothing => streams_wait_until_they_are_needed();
    /// Each stream costs a write.
    writes_are_joined => writes_are_apart();
    /// More streams than fit into a record of the store begin at once.
    burst_of_streams => many_streams_fit_into_records(62);
    /// The same with short ids.
    burst_of_streams_with_short_ids => many_streams_fit_into_records(1);
    /// A steward reads streams that nobody comes back for.
    old_batches_are_not_read => old_streams_are_left_out();
    /// Streams are lost in any order of writes, lost answers, late writes and ends of stewards.
    any_order => (0..SEEDS).for_each(random_history);
}
