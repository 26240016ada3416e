//! The way of one publication: read, append, read back.

use std::time::Duration;

use fireflywheel::{document, ledger, record, writer};
use fireflywheel_daemon::platform;
use tokio::time;

use super::{MAX_RECORD_BYTES, Obstacle, Outcome, Publication, reader};

/// How long an append may take until the log is read instead.
const APPEND_WAIT: Duration = Duration::from_secs(5);

/// How long a reading waits for a record.
const READ_WAIT: Duration = Duration::from_secs(1);

/// The wait before the record is sent or looked for again.
const PAUSE: Duration = Duration::from_millis(200);

/// What is known of the appends so far.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Sent {
    /// The log refused each: there is no copy of it.
    Nothing,
    /// A copy may be in the log, or still come to it.
    Perhaps,
    /// A copy is in the log at this offset.
    At(u64),
}

/// Appends a publication and finds out how it was judged. `begin` is told the newest document and its version
/// before anything is appended.
pub async fn publish<F, L>(log: &L, publication: &Publication, begin: F) -> Outcome
where
    F: FnOnce(&document::Document, u64),
    L: platform::log::Log,
{
    let mut reader = reader::Reader::new(log);
    if let Err(obstacle) = reader.catch_up(publication.until).await {
        return Outcome::Unsent(obstacle);
    }
    let Some(ledger) = reader.ledger() else {
        return Outcome::Unsent(Obstacle::Silence);
    };
    begin(ledger.document(), ledger.version());
    let base = publication.base.unwrap_or_else(|| ledger.version());
    // A base that isn't the newest is refused here: it could not be accepted, or, if it lies ahead, only
    // later and unexpectedly.
    if let Some(refused) = outdated(ledger, base, publication) {
        return refused;
    }
    let body = record(publication, base);
    if body.len() > MAX_RECORD_BYTES {
        return Outcome::Unsent(Obstacle::Length(body.len()));
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

fn record(publication: &Publication, base: u64) -> String {
    let record = record::Record {
        rule: record::RULES_VERSION,
        id: publication.id.clone(),
        entries: vec![record::Entry::Publish {
            base,
            text: publication.text.clone(),
        }],
    };
    serde_json::to_string(&record).expect("a record always has a JSON form")
}

fn outdated(ledger: &ledger::Ledger, base: u64, publication: &Publication) -> Option<Outcome> {
    let newest = ledger.version();
    (newest != base).then(|| Outcome::Refused {
        base,
        newest,
        same: ledger.text() == publication.text,
    })
}

/// A publication whose base is known.
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
                Err(obstacle) => return self.given_up(obstacle),
            }
            if self.left() <= PAUSE {
                return self.given_up(Obstacle::Silence);
            }
            time::sleep(PAUSE).await;
        }
    }

    fn left(&self) -> Duration {
        self.publication
            .until
            .saturating_duration_since(time::Instant::now())
    }

    /// Whether a copy of the record may have been judged in a part of the log that was dropped unread. From
    /// then on a further copy tells nothing: it may be void only because the first was accepted.
    fn may_have_missed(&self) -> bool {
        self.sent != Sent::Nothing && self.reader.has_dropped()
    }

    /// Sends the record, unless a copy is known to be in the log.
    async fn append(&mut self) {
        if matches!(self.sent, Sent::At(_)) || self.may_have_missed() {
            return;
        }
        // Half of what is left stays for reading: an append that hangs may have taken effect.
        let wait = APPEND_WAIT.min(self.left() / 2);
        let answer = time::timeout(wait, self.log.append(self.body.clone())).await;
        match answer {
            Ok(writer::Answer::Stored(offset)) => self.sent = Sent::At(offset),
            Ok(writer::Answer::Refused) => {}
            Ok(writer::Answer::Lost) | Err(_) => self.sent = Sent::Perhaps,
        }
    }

    /// Reads to the log's end, or to the record where its place is known.
    async fn read_back(&mut self) -> Result<Option<Outcome>, Obstacle> {
        let until = self.publication.until;
        loop {
            let wait = match self.sent {
                Sent::At(_) => READ_WAIT,
                Sent::Nothing | Sent::Perhaps => Duration::ZERO,
            };
            let step = self.reader.step(until, wait).await?;
            if let Some(outcome) = self.judged(&step.folded) {
                return Ok(Some(outcome));
            }
            if let Some(outcome) = self.overtaken() {
                return Ok(Some(outcome));
            }
            if step.at_end {
                return Ok(None);
            }
        }
    }

    /// How the first copy of the record was judged, if it is among these.
    fn judged(&self, folded: &[ledger::Folded]) -> Option<Outcome> {
        let own = folded
            .iter()
            .find(|folded| folded.id == self.publication.id)?;
        let (_, judgement) = own.entries.first()?;
        Some(match judgement {
            ledger::Decision::Accepted => Outcome::Accepted {
                version: own.offset + 1,
            },
            ledger::Decision::Rejected(ledger::Reason::Document) => Outcome::Faulty,
            ledger::Decision::Rejected(_) if self.may_have_missed() => return None,
            ledger::Decision::Rejected(_) => self.refused(),
        })
    }

    /// Another version is in force: any copy that lands from now on is void, and none that landed was
    /// accepted, unless records were dropped unread. Then only the place of a copy can tell.
    fn overtaken(&self) -> Option<Outcome> {
        let newest = self.reader.ledger()?.version();
        if newest == self.base {
            return None;
        }
        if !self.may_have_missed() {
            return Some(self.refused());
        }
        let own = self.sent == Sent::At(newest.saturating_sub(1));
        own.then_some(Outcome::Accepted { version: newest })
    }

    fn refused(&self) -> Outcome {
        let ledger = self.reader.ledger();
        Outcome::Refused {
            base: self.base,
            newest: ledger.map_or(0, ledger::Ledger::version),
            same: ledger.is_some_and(|ledger| ledger.text() == self.publication.text),
        }
    }

    fn given_up(&self, obstacle: Obstacle) -> Outcome {
        match self.sent {
            Sent::Nothing => Outcome::Unsent(obstacle),
            Sent::Perhaps | Sent::At(_) => Outcome::Unknown {
                base: self.base,
                obstacle,
            },
        }
    }
}
