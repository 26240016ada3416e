//! Tests of how a publication determines its outcome, against a fake log that follows a script.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use fireflywheel::{ledger, record, writer};
use fireflywheel_cli::publish::{self, Cause, Outcome};
use fireflywheel_daemon::platform::log;
use tokio::time;

const DOCUMENT: &str = "[serving]\n[tenant guides]\nin_flight = 5\n";
const OTHER: &str = "[serving]\n[tenant guides]\nin_flight = 6\n";

/// Time limit for the cases that end before it.
const LONG_TIMEOUT: Duration = Duration::from_secs(60);
/// Time limit for the cases that end only when it expires.
const SHORT_TIMEOUT: Duration = Duration::from_secs(2);

/// How the fake log handles an append.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Append {
    /// The record is stored and acknowledged.
    Store,
    /// The record is stored; the answer is lost.
    StoreAndLoseAnswer,
    /// The request is lost before it reaches the log.
    Lose,
    /// The request is delayed in the network; the log stores its copy after the next stored record.
    Delay,
    /// The record is stored, all records are replaced by a checkpoint, and the answer is lost.
    StoreAndDrop,
    /// Like [`Append::StoreAndDrop`], but the answer arrives.
    StoreDropAndAnswer,
    /// The append is refused, and nothing is stored.
    Refuse,
    /// Another operator's document is stored first, then this record.
    RivalFirst,
    /// Another operator's document is stored; the request itself is lost before it reaches the log.
    RivalOnly,
    /// The record is stored and acknowledged, and every later read fails.
    StoreAndFail,
}

#[derive(Default)]
struct State {
    records: Vec<record::Stored>,
    first: u64,
    next: u64,
    script: VecDeque<Append>,
    delayed: Vec<String>,
    appends: Vec<String>,
    reads_fail: bool,
    /// Reads of more records than this fail, as if the answer were too large for the adapter.
    max_page_records: u64,
    rival_text: &'static str,
}

/// A fake log that handles appends as its script says, and stores all further ones.
struct ScriptedLog(Mutex<State>);

impl State {
    fn store(&mut self, body: String) -> u64 {
        let offset = self.next;
        self.next += 1;
        self.records.push(record::Stored {
            offset,
            time_ms: 1_700_000_000_000 + offset,
            body,
        });
        offset
    }

    fn store_rival(&mut self) {
        let base = fold_log(self).version();
        let body = publication_body("operator/rival", base, self.rival_text);
        self.store(body);
    }

    /// Appends a checkpoint and drops all records before it.
    fn compact(&mut self) {
        let ledger = fold_log(self);
        self.first = self.next;
        self.records.clear();
        let entries = ledger.checkpoint().into_iter();
        let record = record::Record {
            rule: record::RULES_VERSION,
            id: record_id("a1"),
            entries: entries.map(record::Entry::Checkpoint).collect(),
        };
        self.store(serde_json::to_string(&record).expect("a record serializes to JSON"));
    }
}

impl ScriptedLog {
    fn new(script: &[Append]) -> Self {
        Self(Mutex::new(State {
            script: script.iter().copied().collect(),
            rival_text: OTHER,
            max_page_records: u64::MAX,
            ..State::default()
        }))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("no panic under the lock")
    }
}

impl log::Log for ScriptedLog {
    async fn append(&self, text: String) -> writer::Answer {
        let mut state = self.state();
        state.appends.push(text.clone());
        let action = state.script.pop_front().unwrap_or(Append::Store);
        match action {
            Append::Refuse => return writer::Answer::Refused,
            Append::Lose => return writer::Answer::Lost,
            Append::Delay => {
                state.delayed.push(text);
                return writer::Answer::Lost;
            }
            Append::RivalOnly => {
                state.store_rival();
                return writer::Answer::Lost;
            }
            Append::RivalFirst => state.store_rival(),
            _ => {}
        }
        let offset = state.store(text);
        for late in std::mem::take(&mut state.delayed) {
            state.store(late);
        }
        match action {
            Append::StoreAndLoseAnswer => writer::Answer::Lost,
            Append::StoreAndDrop => {
                state.compact();
                writer::Answer::Lost
            }
            Append::StoreDropAndAnswer => {
                state.compact();
                writer::Answer::Stored(offset)
            }
            Append::StoreAndFail => {
                state.reads_fail = true;
                writer::Answer::Stored(offset)
            }
            _ => writer::Answer::Stored(offset),
        }
    }

    async fn read(
        &self,
        from: u64,
        max: u64,
        wait: Duration,
    ) -> Result<log::Page, log::Unavailable> {
        let end = self.state().next;
        if from >= end {
            time::sleep(wait.min(SHORT_TIMEOUT)).await;
        }
        let state = self.state();
        if state.reads_fail || max > state.max_page_records {
            return Err(log::Unavailable);
        }
        let later = state.records.iter().filter(|stored| stored.offset >= from);
        Ok(log::Page {
            first: state.first,
            next: state.next,
            records: later.take(2).cloned().collect(),
        })
    }
}

fn record_id(instance: &str) -> record::Id {
    record::Id {
        by: record::Incarnation {
            instance: instance.into(),
            number: 1_700_000_000_000,
        },
        sequence: 1,
    }
}

fn publication_body(instance: &str, base: u64, text: &str) -> String {
    let record = record::Record {
        rule: record::RULES_VERSION,
        id: record_id(instance),
        entries: vec![record::Entry::Publish {
            base,
            text: text.to_owned(),
        }],
    };
    serde_json::to_string(&record).expect("a record serializes to JSON")
}

/// Folds the retained records of the log, as every instance does.
fn fold_log(state: &State) -> ledger::Ledger {
    let mut ledger = ledger::Ledger::new();
    for stored in &state.records {
        ledger.fold(stored).expect("the records have no gap");
    }
    ledger
}

async fn publish_document(log: &ScriptedLog, base: Option<u64>, wait: Duration) -> Outcome {
    let deadline = time::Instant::now() + wait;
    let publication = publish::Publication::new(DOCUMENT, deadline).with_base(base);
    publish::publish(log, &publication, |_, _| {}).await
}

/// Each case gives the script, the time limit, the expected outcome and the number of copies sent.
macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: [$($append:ident),*], $wait:expr => $outcome:expr, $sent:expr;)+) => {
        $(
            $(#[$doc])*
            #[tokio::test]
            async fn $name() {
                let log = ScriptedLog::new(&[$(Append::$append),*]);
                let outcome = publish_document(&log, None, $wait).await;
                assert_eq!(outcome, $outcome);
                let state = log.state();
                assert_eq!(state.appends.len(), $sent);
                assert!(state.appends.iter().all(|text| *text == state.appends[0]));
            }
        )+
    };
}

cases! {
    first_document: [], LONG_TIMEOUT => Outcome::Accepted { version: 1 }, 1;

    /// The log stores the record and the connection breaks before the answer. If the command reported a
    /// failure, the operator would publish again or believe that the old caps are still in force.
    lost_answer: [StoreAndLoseAnswer], LONG_TIMEOUT => Outcome::Accepted { version: 1 }, 1;

    /// The request never reaches the log. Unless the record is sent again, the operator waits in vain.
    lost_request: [Lose, StoreAndLoseAnswer], LONG_TIMEOUT => Outcome::Accepted { version: 1 }, 2;

    /// The log refuses appends for a moment, as it does when its limit of appends per second is reached. The
    /// publication succeeds after a short delay.
    refused_at_first: [Refuse, Refuse], LONG_TIMEOUT => Outcome::Accepted { version: 1 }, 3;

    /// Another operator's record is stored between the read and the append. Both documents are based on the
    /// same version, so accepting the second would silently revert the first.
    rival_first: [RivalFirst], LONG_TIMEOUT => refused(1), 1;

    /// Like `rival_first`, but this operator's own request is lost. A later copy would be rejected, so the
    /// refusal is certain without one.
    rival_first_and_lost_request: [RivalOnly], LONG_TIMEOUT => refused(1), 1;

    /// The log fails directly after it has stored the record. The command must report neither that the
    /// record was accepted nor that it was not.
    outage_after_the_append: [StoreAndFail], SHORT_TIMEOUT => unknown(Cause::NoResponse), 1;

    /// The answer is lost, and the log drops the record before it is read back. Only a checkpoint is left.
    /// Another version is in force, which may be this publication. A second copy would be rejected in both
    /// cases, and reporting this as a refusal would be wrong if the first copy was accepted.
    dropped_unread: [StoreAndDrop], SHORT_TIMEOUT => unknown(Cause::NoResponse), 1;

    /// Like `dropped_unread`, but the answer arrived. Its offset shows that the version in force is this
    /// publication.
    dropped_unread_with_known_offset: [StoreDropAndAnswer], LONG_TIMEOUT
        => Outcome::Accepted { version: 1 }, 1;
}

fn refused(newest: u64) -> Outcome {
    Outcome::Refused {
        base: 0,
        newest,
        same_text: false,
    }
}

fn unknown(cause: Cause) -> Outcome {
    Outcome::Unknown { base: 0, cause }
}

/// A copy is delayed in the network and is stored after the copy that was sent in its place. If it were
/// decided again, it would put an old document in force after others were accepted.
#[tokio::test]
async fn late_copy_has_no_effect() {
    let log = ScriptedLog::new(&[Append::Delay]);
    let outcome = publish_document(&log, None, LONG_TIMEOUT).await;
    assert_eq!(outcome, Outcome::Accepted { version: 1 });
    let mut state = log.state();
    assert_eq!(state.next, 2);
    state.store_rival();
    let late = state.appends[0].clone();
    state.store(late);
    let ledger = fold_log(&state);
    assert_eq!((ledger.version(), ledger.text()), (3, OTHER));
}

/// The log refuses every append until the time limit. The command must report that nothing was appended.
#[tokio::test]
async fn log_that_refuses_every_append_stores_nothing() {
    let log = ScriptedLog::new(&[Append::Refuse; 1000]);
    let outcome = publish_document(&log, None, SHORT_TIMEOUT).await;
    assert_eq!(outcome, Outcome::Unsent(Cause::NoResponse));
    assert_eq!(log.state().next, 0);
}

#[tokio::test]
async fn base_that_is_not_the_newest_is_refused_unsent() {
    let log = ScriptedLog::new(&[]);
    log.state().store_rival();
    for base in [0, 7] {
        let outcome = publish_document(&log, Some(base), LONG_TIMEOUT).await;
        let same_text = false;
        assert_eq!(
            outcome,
            Outcome::Refused {
                base,
                newest: 1,
                same_text
            }
        );
    }
    assert_eq!(log.state().appends.len(), 0);
}

#[tokio::test]
async fn refusal_says_when_the_newest_has_the_same_text() {
    let log = ScriptedLog::new(&[Append::RivalFirst]);
    log.state().rival_text = DOCUMENT;
    let outcome = publish_document(&log, None, LONG_TIMEOUT).await;
    assert_eq!(
        outcome.to_string(),
        "refused: another version 1 was accepted first, with the same text"
    );
}

/// The log retains records for a limited time, so it no longer contains the newest publication when an
/// operator makes the next change. A reader that ignored the checkpoint would take version 0 for the newest.
#[tokio::test]
async fn newest_version_is_read_from_a_checkpoint() {
    let log = ScriptedLog::new(&[]);
    {
        let mut state = log.state();
        state.store_rival();
        state.store_rival();
        state.compact();
    }
    let outcome = publish_document(&log, None, LONG_TIMEOUT).await;
    assert_eq!(outcome, Outcome::Accepted { version: 4 });
    let outcome = publish_document(&log, Some(2), LONG_TIMEOUT).await;
    let (base, newest, same_text) = (2, 4, true);
    assert_eq!(
        outcome,
        Outcome::Refused {
            base,
            newest,
            same_text
        }
    );
}

/// The beginning of the log was dropped and there is no checkpoint, so the newest version is unknown. Nothing
/// may be sent: a guessed base would be refused or, worse, be correct by chance.
#[tokio::test]
async fn nothing_is_sent_without_a_checkpoint() {
    let log = ScriptedLog::new(&[]);
    {
        let mut state = log.state();
        state.store_rival();
        state.store("not a record".to_owned());
        state.first = 1;
        state.records.remove(0);
    }
    let outcome = publish_document(&log, None, SHORT_TIMEOUT).await;
    let Outcome::Unsent(Cause::NoState(_)) = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!(log.state().appends.len(), 0);
}

/// A newer build has written records that this build can't fold. If the command continued, it would report a
/// version that no instance has in force.
#[tokio::test]
async fn nothing_is_sent_past_a_newer_rule() {
    let log = ScriptedLog::new(&[]);
    let body = publication_body("operator/rival", 0, OTHER);
    let rule = record::RULES_VERSION + 1;
    let old = format!("\"rule\":{}", record::RULES_VERSION);
    log.state()
        .store(body.replacen(&old, &format!("\"rule\":{rule}"), 1));
    let outcome = publish_document(&log, None, LONG_TIMEOUT).await;
    assert_eq!(outcome, Outcome::Unsent(Cause::UnsupportedRules(rule)));
}

/// A page with records of the largest size is too large for the adapter, which then returns no answer. If the
/// reader requested the same page again, it would never succeed, and the command would report an outage of
/// the log.
#[tokio::test]
async fn pages_shrink_until_they_fit() {
    let log = ScriptedLog::new(&[]);
    log.state().max_page_records = 2;
    let outcome = publish_document(&log, None, LONG_TIMEOUT).await;
    assert_eq!(outcome, Outcome::Accepted { version: 1 });
}

/// A document within its size limit makes a record that is too long, because each line end takes two bytes in
/// JSON. The log would refuse every append of this record.
#[tokio::test]
async fn document_too_long_for_a_record_is_not_sent() {
    let log = ScriptedLog::new(&[]);
    let text = format!("{DOCUMENT}{}", "\n".repeat(800 * 1024));
    let deadline = time::Instant::now() + LONG_TIMEOUT;
    let publication = publish::Publication::new(text, deadline);
    let outcome = publish::publish(&log, &publication, |_, _| {}).await;
    let Outcome::Unsent(Cause::TooLong(length)) = outcome else {
        panic!("{outcome:?}");
    };
    assert!(length > publish::MAX_RECORD_BYTES);
    assert_eq!(log.state().appends.len(), 0);
}
