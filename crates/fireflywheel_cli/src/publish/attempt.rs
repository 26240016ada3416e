//! Carries out one publication: reads the log, appends the record and reads its decision back.

use std::time::Duration;

use fireflywheel::{document, ledger, record, writer};
use fireflywheel_daemon::platform;
use tokio::time;

use super::{Cause, MAX_RECORD_BYTES, Outcome, Publication, reader};

/// Time limit for an append. After it the log is read to find out whether the record was stored.
const APPEND_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a read waits for a record.
const READ_WAIT: Duration = Duration::from_secs(1);

/// Delay before the record is sent or looked for again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// What is known about the appends so far.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Sent {
    /// The log refused every append, so it contains no copy of the record.
    Nothing,
    /// A copy may be in the log or may still arrive there.
    Possibly,
    /// The log stores a copy at this offset.
    Stored(u64),
}

/// Appends a publication and determines whether it was accepted. Calls `before_append` with the newest
/// document and its version before anything is appended.
pub async fn publish<F, L>(log: &L, publication: &Publication, before_append: F) -> Outcome
where
    F: FnOnce(&document::Document, u64),
    L: platform::log::Log,
{
    let mut reader = reader::Reader::new(log);
    if let Err(cause) = reader.catch_up(publication.deadline).await {
        return Outcome::Unsent(cause);
    }
    let Some(ledger) = reader.ledger() else {
        return Outcome::Unsent(Cause::NoResponse);
    };
    before_append(ledger.document(), ledger.version());
    let base = publication.base.unwrap_or_else(|| ledger.version());
    // A base that isn't the newest version is refused before the append. An older base can't be accepted, and
    // a base that does not exist yet could be accepted later, when the operator no longer expects it.
    if let Some(refused) = refuse_outdated(ledger, base, publication) {
        return refused;
    }
    let body = encode_record(publication, base);
    if body.len() > MAX_RECORD_BYTES {
        return Outcome::Unsent(Cause::TooLong(body.len()));
    }
    let attempt = Attempt {
        log,
        reader,
        publication,
        base,
        body,
        sent: Sent::Nothing,
    };
    attempt.run().await
}

fn encode_record(publication: &Publication, base: u64) -> String {
    let record = record::Record {
        rule: record::RULES_VERSION,
        id: publication.id.clone(),
        entries: vec![record::Entry::Publish {
            base,
            text: publication.text.clone(),
        }],
    };
    serde_json::to_string(&record).expect("a record always serializes to JSON")
}

fn refuse_outdated(
    ledger: &ledger::Ledger,
    base: u64,
    publication: &Publication,
) -> Option<Outcome> {
    let newest = ledger.version();
    (newest != base).then(|| Outcome::Refused {
        base,
        newest,
        same_text: ledger.text() == publication.text,
    })
}

/// A publication with a known base version.
struct Attempt<'a, L> {
    log: &'a L,
    reader: reader::Reader<'a, L>,
    publication: &'a Publication,
    base: u64,
    body: String,
    sent: Sent,
}

impl<L> Attempt<'_, L>
where
    L: platform::log::Log,
{
    async fn run(mut self) -> Outcome {
        loop {
            self.append().await;
            match self.read_back().await {
                Ok(Some(outcome)) => return outcome,
                Ok(None) => {}
                Err(cause) => return self.give_up(cause),
            }
            if self.time_left() <= RETRY_DELAY {
                return self.give_up(Cause::NoResponse);
            }
            time::sleep(RETRY_DELAY).await;
        }
    }

    fn time_left(&self) -> Duration {
        self.publication
            .deadline
            .saturating_duration_since(time::Instant::now())
    }

    /// Returns whether the log may have dropped a copy of the record before it was read. A further copy then
    /// proves nothing, because it may be rejected only for the reason that the first copy was accepted.
    fn may_have_missed(&self) -> bool {
        self.sent != Sent::Nothing && self.reader.has_dropped()
    }

    /// Sends the record, unless a copy is known to be in the log or may have been dropped unread.
    async fn append(&mut self) {
        if matches!(self.sent, Sent::Stored(_)) || self.may_have_missed() {
            return;
        }
        // Half of the remaining time is reserved for reading, because an append that hangs may have taken
        // effect.
        let wait = APPEND_TIMEOUT.min(self.time_left() / 2);
        let answer = time::timeout(wait, self.log.append(self.body.clone())).await;
        match answer {
            Ok(writer::Answer::Stored(offset)) => self.sent = Sent::Stored(offset),
            Ok(writer::Answer::Refused) => {}
            Ok(writer::Answer::Lost) | Err(_) => self.sent = Sent::Possibly,
        }
    }

    /// Reads the log until the outcome is known or the end is reached.
    async fn read_back(&mut self) -> Result<Option<Outcome>, Cause> {
        let deadline = self.publication.deadline;
        loop {
            let wait = match self.sent {
                Sent::Stored(_) => READ_WAIT,
                Sent::Nothing | Sent::Possibly => Duration::ZERO,
            };
            let step = self.reader.step(deadline, wait).await?;
            if let Some(outcome) = self.decided_outcome(&step.folded) {
                return Ok(Some(outcome));
            }
            if let Some(outcome) = self.superseded_outcome() {
                return Ok(Some(outcome));
            }
            if step.at_end {
                return Ok(None);
            }
        }
    }

    /// Returns the outcome of the first copy of the record, if `folded` contains it and it is conclusive.
    fn decided_outcome(&self, folded: &[ledger::Folded]) -> Option<Outcome> {
        let own = folded
            .iter()
            .find(|folded| folded.id == self.publication.id)?;
        let (_, decision) = own.entries.first()?;
        Some(match decision {
            ledger::Decision::Accepted => Outcome::Accepted {
                version: own.offset + 1,
            },
            ledger::Decision::Rejected(ledger::Reason::Document) => Outcome::Faulty,
            ledger::Decision::Rejected(_) if self.may_have_missed() => return None,
            ledger::Decision::Rejected(_) => self.refused_outcome(),
        })
    }

    /// Returns the outcome if a version other than the base is in force. Any copy that is stored from now on
    /// is rejected, and no stored copy was accepted, unless records were dropped unread. In that case only
    /// the offset of a copy shows whether the version in force is this publication.
    fn superseded_outcome(&self) -> Option<Outcome> {
        let newest = self.reader.ledger()?.version();
        if newest == self.base {
            return None;
        }
        if !self.may_have_missed() {
            return Some(self.refused_outcome());
        }
        let own = self.sent == Sent::Stored(newest.saturating_sub(1));
        own.then_some(Outcome::Accepted { version: newest })
    }

    fn refused_outcome(&self) -> Outcome {
        let ledger = self.reader.ledger();
        Outcome::Refused {
            base: self.base,
            newest: ledger.map_or(0, ledger::Ledger::version),
            same_text: ledger.is_some_and(|ledger| ledger.text() == self.publication.text),
        }
    }

    fn give_up(&self, cause: Cause) -> Outcome {
        match self.sent {
            Sent::Nothing => Outcome::Unsent(cause),
            Sent::Possibly | Sent::Stored(_) => Outcome::Unknown {
                base: self.base,
                cause,
            },
        }
    }
}
