//! The writer: batches, a single append in flight, and appends whose answer was lost.

#![expect(
    clippy::unwrap_used,
    reason = "test helpers, which the linter does not recognize as test code"
)]

use fireflywheel::{claim, record, writer};
use smol_str::SmolStr;

fn own_incarnation() -> record::Incarnation {
    record::Incarnation {
        instance: SmolStr::new("a"),
        number: 7,
    }
}

fn id(sequence: u64) -> record::Id {
    record::Id {
        by: own_incarnation(),
        sequence,
    }
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

fn writer_with(texts: &[&str]) -> writer::Writer {
    let mut writer = writer::Writer::new(own_incarnation());
    for text in texts {
        writer.push(entry(text)).unwrap();
    }
    writer
}

fn decode(body: &str) -> record::Record {
    record::Record::decode(body).unwrap().unwrap()
}

/// Returns the sequence number and the keys of the entries of an append.
fn contents(body: Option<String>) -> Option<(u64, Vec<String>)> {
    let record = decode(&body?);
    let keys = record.entries.iter().map(|entry| match entry {
        record::Entry::Claim { key, .. } => key.text.to_string(),
        other => panic!("{other:?}"),
    });
    Some((record.id.sequence, keys.collect()))
}

fn expected(sequence: u64, texts: &[&str]) -> Option<(u64, Vec<String>)> {
    Some((sequence, texts.iter().map(ToString::to_string).collect()))
}

#[test]
fn waiting_entries_are_appended_together() {
    let mut writer = writer_with(&["a", "b"]);
    assert_eq!(contents(writer.next_append()), expected(1, &["a", "b"]));
    writer.push(entry("c")).unwrap();
    writer.push(entry("d")).unwrap();
    assert_eq!(
        writer.next_append(),
        None,
        "only one append may be in flight"
    );
    writer.handle_answer(writer::Answer::Stored(0));
    assert_eq!(contents(writer.next_append()), expected(2, &["c", "d"]));
    writer.handle_answer(writer::Answer::Stored(1));
    assert_eq!(writer.next_append(), None);
}

/// The log stores a record, and the connection breaks before its answer. If the record were sent again under another
/// id, the claim of a booking would be evaluated twice; if it were given up, the caller would wait in vain. The
/// same text is sent again, and nothing else before it.
#[test]
fn a_lost_append_is_sent_again_under_the_same_id() {
    let mut writer = writer_with(&["a"]);
    let first = writer.next_append();
    writer.push(entry("b")).unwrap();
    writer.handle_answer(writer::Answer::Lost);
    assert_eq!(writer.in_flight().count(), 1);
    assert_eq!(writer.next_append(), first);
    writer.handle_answer(writer::Answer::Refused);
    assert_eq!(
        writer.next_append(),
        first,
        "the first copy may still be stored"
    );
    writer.handle_answer(writer::Answer::Stored(4));
    assert_eq!(contents(writer.next_append()), expected(2, &["b"]));
}

/// A record whose answer was lost is read back from the log. It is not sent again, and the waiting entries are sent
/// next.
#[test]
fn a_lost_append_that_is_read_back_is_not_sent_again() {
    let mut writer = writer_with(&["a"]);
    writer.next_append();
    writer.push(entry("b")).unwrap();
    writer.handle_answer(writer::Answer::Lost);
    writer.record_read(&id(2));
    assert_eq!(
        writer.in_flight().count(),
        1,
        "another record does not confirm the append"
    );
    writer.record_read(&id(1));
    assert_eq!(writer.in_flight().count(), 0);
    assert_eq!(contents(writer.next_append()), expected(2, &["b"]));
}

/// The log's answer takes longer than reading the record back. When the answer is then lost, a second copy would only
/// fill the log.
#[test]
fn a_record_read_back_before_its_answer_is_not_sent_again() {
    for answer in [writer::Answer::Lost, writer::Answer::Refused] {
        let mut writer = writer_with(&["a"]);
        writer.next_append();
        writer.record_read(&id(1));
        assert_eq!(
            writer.next_append(),
            None,
            "the answer is still outstanding"
        );
        writer.handle_answer(answer);
        assert_eq!(writer.next_append(), None);
        writer.push(entry("b")).unwrap();
        assert_eq!(contents(writer.next_append()), expected(2, &["b"]));
    }
}

/// The log refuses appends for a while, because its rate limit is used up or it is down. Nothing was appended, so
/// entries that were pushed since join the batch, and entries that are no longer wanted are removed: a caller that
/// was refused must not find its booking made an hour later.
#[test]
fn a_refused_append_is_batched_again() {
    let mut writer = writer_with(&["a", "late"]);
    writer.next_append();
    writer.push(entry("b")).unwrap();
    assert_eq!(writer.retain(|_| true).len(), 0);
    writer.handle_answer(writer::Answer::Refused);
    let removed = writer.retain(|waiting| *waiting != entry("late"));
    assert_eq!(removed, [entry("late")]);
    assert_eq!(contents(writer.next_append()), expected(1, &["a", "b"]));
}

/// The answer to an append was lost, and its entry is no longer wanted. The entry may be in the log nevertheless, so it
/// cannot be removed, and later entries must not overtake it.
#[test]
fn entries_that_may_be_in_the_log_are_not_removed() {
    let mut writer = writer_with(&["a"]);
    writer.next_append();
    writer.handle_answer(writer::Answer::Lost);
    assert_eq!(writer.retain(|_| false), []);
    assert_eq!(contents(writer.next_append()), expected(1, &["a"]));
}

/// The log is down for an hour while callers continue to send requests. Waiting entries must not fill the memory, so a
/// further entry is refused at once, and its caller is refused instead of kept waiting.
#[test]
fn waiting_entries_are_bounded() {
    let mut writer = writer::Writer::new(own_incarnation());
    let text = "x".repeat(100_000);
    let mut accepted = 0;
    let refusal = loop {
        match writer.push(entry(&text)) {
            Ok(()) => accepted += 1,
            Err(refusal) => break refusal,
        }
    };
    assert_eq!(refusal, writer::Refusal::Full);
    assert_eq!(accepted, writer::MAX_WAITING_BYTES / (100_000 + 80));
    let mut sent = 0;
    while let Some(body) = writer.next_append() {
        assert!(body.len() < writer::MAX_BATCH_BYTES + 1000);
        sent += decode(&body).entries.len();
        writer.handle_answer(writer::Answer::Stored(0));
    }
    assert_eq!(sent, accepted);
    writer.push(entry(&text)).unwrap();
}

#[test]
fn an_entry_that_exceeds_the_limit_is_refused() {
    let mut writer = writer::Writer::new(own_incarnation());
    let refusal = writer.push(entry(&"x".repeat(2 << 20))).unwrap_err();
    assert!(matches!(refusal, writer::Refusal::TooLong(bytes) if bytes > 2 << 20));
    writer.push(entry(&"x".repeat(600 << 10))).unwrap();
    writer.push(entry("small")).unwrap();
    assert_eq!(
        decode(&writer.next_append().unwrap()).entries.len(),
        1,
        "an entry above the batch limit is sent alone"
    );
}
