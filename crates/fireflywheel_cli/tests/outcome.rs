//! How a publication finds out what came of it, against a log that follows a script.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use fireflywheel::{ledger, record, writer};
use fireflywheel_cli::publish::{self, Obstacle, Outcome};
use fireflywheel_daemon::platform::log;
use tokio::time;

const DOCUMENT: &str = "[serving]\n[tenant guides]\nin_flight = 5\n";
const OTHER: &str = "[serving]\n[tenant guides]\nin_flight = 6\n";

/// Long enough for every case that ends by itself.
const PATIENCE: Duration = Duration::from_secs(60);
/// For the cases that end only by giving up.
const SHORT: Duration = Duration::from_secs(2);

/// What the log does with an append.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Append {
    /// Takes it and says so.
    Store,
    /// Takes it; the answer is lost.
    StoreUnsaid,
    /// The request is lost on its way.
    Vanish,
    /// The request is held up in the network; the copy lands after the next one that is taken.
    HoldUp,
    /// Takes it, drops everything so far but a checkpoint, and the answer is lost.
    StoreAndDrop,
    /// The same, but the answer arrives.
    StoreAndDropSaid,
    /// Refuses it: nothing appended.
    Refuse,
    /// Takes another operator's document first.
    AfterRival,
    /// Takes another operator's document; the request itself is lost on its way.
    RivalOnly,
    /// Takes it and says so; from then on every reading fails.
    StoreAndFail,
}

#[derive(Default)]
struct State {
    records: Vec<record::Stored>,
    first: u64,
    next: u64,
    script: VecDeque<Append>,
    held: Vec<String>,
    appends: Vec<String>,
    fails: bool,
    /// An answer to more than this is too large for the adapter.
    page_limit: u64,
    rival_text: &'static str,
}

/// A log that follows a script and then takes every append.
struct Script(Mutex<State>);

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
        let base = ledger_of(self).version();
        let body = publication("operator/rival", base, self.rival_text);
        self.store(body);
    }

    /// Appends a checkpoint and drops all before it.
    fn drop_old(&mut self) {
        let ledger = ledger_of(self);
        self.first = self.next;
        self.records.clear();
        let entries = ledger.checkpoint().into_iter();
        let record = record::Record {
            rule: record::RULES_VERSION,
            id: id("a1"),
            entries: entries.map(record::Entry::Checkpoint).collect(),
        };
        self.store(serde_json::to_string(&record).expect("it has a JSON form"));
    }
}

impl Script {
    fn new(script: &[Append]) -> Self {
        Self(Mutex::new(State {
            script: script.iter().copied().collect(),
            rival_text: OTHER,
            page_limit: u64::MAX,
            ..State::default()
        }))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("no panic under the lock")
    }
}

impl log::Log for Script {
    async fn append(&self, text: String) -> writer::Answer {
        let mut state = self.state();
        state.appends.push(text.clone());
        let action = state.script.pop_front().unwrap_or(Append::Store);
        match action {
            Append::Refuse => return writer::Answer::Refused,
            Append::Vanish => return writer::Answer::Lost,
            Append::HoldUp => {
                state.held.push(text);
                return writer::Answer::Lost;
            }
            Append::RivalOnly => {
                state.store_rival();
                return writer::Answer::Lost;
            }
            Append::AfterRival => state.store_rival(),
            _ => {}
        }
        let offset = state.store(text);
        for late in std::mem::take(&mut state.held) {
            state.store(late);
        }
        match action {
            Append::StoreUnsaid => writer::Answer::Lost,
            Append::StoreAndDrop => {
                state.drop_old();
                writer::Answer::Lost
            }
            Append::StoreAndDropSaid => {
                state.drop_old();
                writer::Answer::Stored(offset)
            }
            Append::StoreAndFail => {
                state.fails = true;
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
            time::sleep(wait.min(SHORT)).await;
        }
        let state = self.state();
        if state.fails || max > state.page_limit {
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

fn id(instance: &str) -> record::Id {
    record::Id {
        by: record::Incarnation {
            instance: instance.into(),
            number: 1_700_000_000_000,
        },
        sequence: 1,
    }
}

fn publication(instance: &str, base: u64, text: &str) -> String {
    let record = record::Record {
        rule: record::RULES_VERSION,
        id: id(instance),
        entries: vec![record::Entry::Publish {
            base,
            text: text.to_owned(),
        }],
    };
    serde_json::to_string(&record).expect("it has a JSON form")
}

/// What every instance makes of the log, as far as it is retained.
fn ledger_of(state: &State) -> ledger::Ledger {
    let mut ledger = ledger::Ledger::new();
    for stored in &state.records {
        ledger.fold(stored).expect("the log has no gap");
    }
    ledger
}

async fn run(log: &Script, base: Option<u64>, wait: Duration) -> Outcome {
    let until = time::Instant::now() + wait;
    let publication = publish::Publication::new(DOCUMENT, until).with_base(base);
    publish::publish(log, &publication, |_, _| {}).await
}

/// Each case gives the script, the time to try, the outcome and how many copies were sent.
macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: [$($append:ident),*], $wait:expr => $outcome:expr, $sent:expr;)+) => {
        $(
            $(#[$doc])*
            #[tokio::test]
            async fn $name() {
                let log = Script::new(&[$(Append::$append),*]);
                let outcome = run(&log, None, $wait).await;
                assert_eq!(outcome, $outcome);
                let state = log.state();
                assert_eq!(state.appends.len(), $sent);
                assert!(state.appends.iter().all(|text| *text == state.appends[0]));
            }
        )+
    };
}

cases! {
    first_document: [], PATIENCE => Outcome::Accepted { version: 1 }, 1;

    /// The log takes the record and the connection breaks before the answer. An operator who is told of a
    /// failure publishes again, or believes that the old caps still hold.
    lost_answer: [StoreUnsaid], PATIENCE => Outcome::Accepted { version: 1 }, 1;

    /// The request never reaches the log. Without a second sending the operator waits for nothing.
    lost_request: [Vanish, StoreUnsaid], PATIENCE => Outcome::Accepted { version: 1 }, 2;

    /// The log refuses for a moment, as it does when its appends of a second are used up. The operator
    /// notices only a short wait.
    refused_at_first: [Refuse, Refuse], PATIENCE => Outcome::Accepted { version: 1 }, 3;

    /// Another operator's record lands between the reading and the append. Both made their documents from
    /// one version, so putting the second in force would silently undo the first.
    rival_first: [AfterRival], PATIENCE => refused(1), 1;

    /// The same, and this operator's own request is lost. A later copy could only be void, so the refusal
    /// is certain without one.
    rival_first_and_lost_request: [RivalOnly], PATIENCE => refused(1), 1;

    /// The log breaks down right after it took the record. The operator must hear neither that it was
    /// accepted nor that it was not.
    outage_after_the_append: [StoreAndFail], SHORT => unknown(Obstacle::Silence), 1;

    /// The answer is lost, and the log drops the record before it is read back; only a checkpoint is left.
    /// Another version is in force, perhaps this one. A second copy would be void either way, and taking
    /// that for a refusal would tell the operator the opposite of the truth.
    dropped_unread: [StoreAndDrop], SHORT => unknown(Obstacle::Silence), 1;

    /// The same, but the answer arrived: the version in force is the one that this record made.
    dropped_unread_but_its_place_is_known: [StoreAndDropSaid], PATIENCE
        => Outcome::Accepted { version: 1 }, 1;
}

fn refused(newest: u64) -> Outcome {
    Outcome::Refused {
        base: 0,
        newest,
        same: false,
    }
}

fn unknown(obstacle: Obstacle) -> Outcome {
    Outcome::Unknown { base: 0, obstacle }
}

/// A copy is held up in the network and lands after the one that was sent because of that. Judged anew it
/// would put an old document in force again, after others were accepted.
#[tokio::test]
async fn late_copy_has_no_effect() {
    let log = Script::new(&[Append::HoldUp]);
    let outcome = run(&log, None, PATIENCE).await;
    assert_eq!(outcome, Outcome::Accepted { version: 1 });
    let mut state = log.state();
    assert_eq!(state.next, 2);
    state.store_rival();
    let late = state.appends[0].clone();
    state.store(late);
    let ledger = ledger_of(&state);
    assert_eq!((ledger.version(), ledger.text()), (3, OTHER));
}

/// The log refuses until the time is up. Nothing was appended, and the operator can rely on that.
#[tokio::test]
async fn refused_until_the_end() {
    let log = Script::new(&[Append::Refuse; 1000]);
    let outcome = run(&log, None, SHORT).await;
    assert_eq!(outcome, Outcome::Unsent(Obstacle::Silence));
    assert_eq!(log.state().next, 0);
}

#[tokio::test]
async fn base_that_is_not_the_newest_is_refused_unsent() {
    let log = Script::new(&[]);
    log.state().store_rival();
    for base in [0, 7] {
        let outcome = run(&log, Some(base), PATIENCE).await;
        let same = false;
        assert_eq!(
            outcome,
            Outcome::Refused {
                base,
                newest: 1,
                same
            }
        );
    }
    assert_eq!(log.state().appends.len(), 0);
}

#[tokio::test]
async fn refusal_says_when_the_newest_has_the_same_text() {
    let log = Script::new(&[Append::AfterRival]);
    log.state().rival_text = DOCUMENT;
    let outcome = run(&log, None, PATIENCE).await;
    assert_eq!(
        outcome.to_string(),
        "refused: another version 1 was accepted first, with the same text"
    );
}

/// The log keeps records for a limited time, so the newest publication is long gone from it when an operator
/// makes the next change. Reading only what is left would take version 0 for the newest.
#[tokio::test]
async fn starts_from_a_checkpoint() {
    let log = Script::new(&[]);
    {
        let mut state = log.state();
        state.store_rival();
        state.store_rival();
        state.drop_old();
    }
    let outcome = run(&log, None, PATIENCE).await;
    assert_eq!(outcome, Outcome::Accepted { version: 4 });
    let outcome = run(&log, Some(2), PATIENCE).await;
    let (base, newest, same) = (2, 4, true);
    assert_eq!(outcome, Outcome::Refused { base, newest, same });
}

/// The log's beginning is gone and no checkpoint is there. The newest version can't be known, so nothing may
/// be sent: a guess could only be refused, or worse, be right by chance.
#[tokio::test]
async fn nothing_is_sent_without_a_checkpoint() {
    let log = Script::new(&[]);
    {
        let mut state = log.state();
        state.store_rival();
        state.store("not a record".to_owned());
        state.first = 1;
        state.records.remove(0);
    }
    let outcome = run(&log, None, SHORT).await;
    let Outcome::Unsent(Obstacle::Start(_)) = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!(log.state().appends.len(), 0);
}

/// A newer build already writes records that this one can't judge. Going on would tell the operator a
/// version that no instance has in force.
#[tokio::test]
async fn nothing_is_sent_past_a_newer_rule() {
    let log = Script::new(&[]);
    let body = publication("operator/rival", 0, OTHER);
    let rule = record::RULES_VERSION + 1;
    let old = format!("\"rule\":{}", record::RULES_VERSION);
    log.state()
        .store(body.replacen(&old, &format!("\"rule\":{rule}"), 1));
    let outcome = run(&log, None, PATIENCE).await;
    assert_eq!(outcome, Outcome::Unsent(Obstacle::Rule(rule)));
}

/// Records of the largest size make a page too large for the adapter, which then gives no answer. Asking for
/// the same page again would never end, and the operator would be told of an outage that isn't one.
#[tokio::test]
async fn pages_shrink_until_they_fit() {
    let log = Script::new(&[]);
    log.state().page_limit = 2;
    let outcome = run(&log, None, PATIENCE).await;
    assert_eq!(outcome, Outcome::Accepted { version: 1 });
}

/// A document below its own limit becomes too long for a record, since each line end takes two bytes there.
/// The log would refuse it again and again.
#[tokio::test]
async fn document_too_long_for_a_record_is_not_sent() {
    let log = Script::new(&[]);
    let text = format!("{DOCUMENT}{}", "\n".repeat(800 * 1024));
    let until = time::Instant::now() + PATIENCE;
    let publication = publish::Publication::new(text, until);
    let outcome = publish::publish(&log, &publication, |_, _| {}).await;
    let Outcome::Unsent(Obstacle::Length(length)) = outcome else {
        panic!("{outcome:?}");
    };
    assert!(length > publish::MAX_RECORD_BYTES);
    assert_eq!(log.state().appends.len(), 0);
}
