//! The writer: one append in flight, batches, and what becomes of an append whose answer was lost.

#![expect(
    clippy::unwrap_used,
    reason = "helpers of tests, which the linter does not know as such"
)]

use fireflywheel::{claim, record, writer};
use smol_str::SmolStr;

fn me() -> record::Incarnation {
    record::Incarnation {
        instance: SmolStr::new("a"),
        number: 7,
    }
}

fn id(sequence: u64) -> record::Id {
    record::Id { by: me(), sequence }
}

fn entry(text: &str) -> record::Entry {
    record::Entry::Claim {
        key: claim::Key {
            tenant: SmolStr::new("guides"),
            text: SmolStr::new(text),
        },
        fingerprint: 1,
    }
}

fn with(texts: &[&str]) -> writer::Writer {
    let mut writer = writer::Writer::new(me());
    for text in texts {
        writer.push(entry(text)).unwrap();
    }
    writer
}

fn read(body: &str) -> record::Record {
    record::Record::decode(body).unwrap().unwrap()
}

/// The entries of a text, by their keys, after its sequence.
fn told(body: Option<String>) -> Option<(u64, Vec<String>)> {
    let record = read(&body?);
    let keys = record.entries.iter().map(|entry| match entry {
        record::Entry::Claim { key, .. } => key.text.to_string(),
        other => panic!("{other:?}"),
    });
    Some((record.id.sequence, keys.collect()))
}

fn some(sequence: u64, texts: &[&str]) -> Option<(u64, Vec<String>)> {
    Some((sequence, texts.iter().map(ToString::to_string).collect()))
}

#[test]
fn what_waits_goes_out_together() {
    let mut writer = with(&["a", "b"]);
    assert_eq!(told(writer.next_append()), some(1, &["a", "b"]));
    writer.push(entry("c")).unwrap();
    writer.push(entry("d")).unwrap();
    assert_eq!(writer.next_append(), None, "one append at a time");
    writer.handle_answer(writer::Answer::Stored(0));
    assert_eq!(told(writer.next_append()), some(2, &["c", "d"]));
    writer.handle_answer(writer::Answer::Stored(1));
    assert_eq!(writer.next_append(), None);
}

/// The log stores a record, and the connection breaks before it can say so. Sent anew under another id, a
/// booking's claim would be judged twice; given up, the caller would wait for nothing. The same text goes
/// out again, and nothing else before it.
#[test]
fn a_lost_append_is_sent_again_under_its_id() {
    let mut writer = with(&["a"]);
    let first = writer.next_append();
    writer.push(entry("b")).unwrap();
    writer.handle_answer(writer::Answer::Lost);
    assert_eq!(writer.in_flight().count(), 1);
    assert_eq!(writer.next_append(), first);
    writer.handle_answer(writer::Answer::Refused);
    assert_eq!(writer.next_append(), first, "the first copy may still land");
    writer.handle_answer(writer::Answer::Stored(4));
    assert_eq!(told(writer.next_append()), some(2, &["b"]));
}

/// The lost append turns up in the log. Nothing needs to be sent again, and what waited goes out next.
#[test]
fn reading_back_ends_a_lost_append() {
    let mut writer = with(&["a"]);
    writer.next_append();
    writer.push(entry("b")).unwrap();
    writer.handle_answer(writer::Answer::Lost);
    writer.record_read(&id(2));
    assert_eq!(writer.in_flight().count(), 1, "another record says nothing");
    writer.record_read(&id(1));
    assert_eq!(writer.in_flight().count(), 0);
    assert_eq!(told(writer.next_append()), some(2, &["b"]));
}

/// The log's answer is slower than its reader. The record was read back already when the answer is lost, so
/// a second copy would only fill the log.
#[test]
fn a_record_read_back_before_its_answer_is_not_sent_again() {
    for answer in [writer::Answer::Lost, writer::Answer::Refused] {
        let mut writer = with(&["a"]);
        writer.next_append();
        writer.record_read(&id(1));
        assert_eq!(writer.next_append(), None, "its answer is still due");
        writer.handle_answer(answer);
        assert_eq!(writer.next_append(), None);
        writer.push(entry("b")).unwrap();
        assert_eq!(told(writer.next_append()), some(2, &["b"]));
    }
}

/// The log refuses for a while: its appends a second are used up, or it is down. Nothing was appended, so
/// what waited since joins the batch, and what has become void by waiting is taken out: a caller that was
/// refused must not find its booking made an hour later.
#[test]
fn a_refused_append_is_batched_anew() {
    let mut writer = with(&["a", "late"]);
    writer.next_append();
    writer.push(entry("b")).unwrap();
    assert_eq!(writer.retain(|_| true).len(), 0);
    writer.handle_answer(writer::Answer::Refused);
    let dropped = writer.retain(|waiting| *waiting != entry("late"));
    assert_eq!(dropped, [entry("late")]);
    assert_eq!(told(writer.next_append()), some(1, &["a", "b"]));
}

/// An append was lost, and its entry has become void meanwhile. It may be in the log all the same, so it
/// can't be taken back, and what follows must not overtake it.
#[test]
fn what_may_be_in_the_log_is_not_taken_back() {
    let mut writer = with(&["a"]);
    writer.next_append();
    writer.handle_answer(writer::Answer::Lost);
    assert_eq!(writer.retain(|_| false), []);
    assert_eq!(told(writer.next_append()), some(1, &["a"]));
}

/// The log is down for an hour and callers go on. Entries that wait must not fill the memory, so whoever
/// adds one more is told at once, and the caller is refused instead of kept waiting.
#[test]
fn waiting_is_bounded() {
    let mut writer = writer::Writer::new(me());
    let text = "x".repeat(100_000);
    let mut taken = 0;
    let refusal = loop {
        match writer.push(entry(&text)) {
            Ok(()) => taken += 1,
            Err(refusal) => break refusal,
        }
    };
    assert_eq!(refusal, writer::Refusal::Full);
    assert_eq!(taken, writer::MAX_WAITING_BYTES / (100_000 + 80));
    let mut sent = 0;
    while let Some(body) = writer.next_append() {
        assert!(body.len() < writer::MAX_BATCH_BYTES + 1000);
        sent += read(&body).entries.len();
        writer.handle_answer(writer::Answer::Stored(0));
    }
    assert_eq!(sent, taken);
    writer.push(entry(&text)).unwrap();
}

#[test]
fn an_entry_that_no_append_can_hold_is_refused() {
    let mut writer = writer::Writer::new(me());
    let refusal = writer.push(entry(&"x".repeat(2 << 20))).unwrap_err();
    assert!(matches!(refusal, writer::Refusal::TooLong(bytes) if bytes > 2 << 20));
    writer.push(entry(&"x".repeat(600 << 10))).unwrap();
    writer.push(entry("small")).unwrap();
    assert_eq!(
        read(&writer.next_append().unwrap()).entries.len(),
        1,
        "it goes alone"
    );
}
