//! The platform's log as the node sees it: read into the ledger, and written to.

use smol_str::SmolStr;

use super::{Node, checkpoints};
use crate::{bootstrap, clock, effect, ledger, record, writer};

/// Until an append that the log refused is tried again.
const APPEND_RETRY: std::time::Duration = std::time::Duration::from_millis(200);

/// How long appends may fail until the log counts as not to be written to.
const UNWRITABLE_AFTER: std::time::Duration = std::time::Duration::from_millis(500);

/// What is known of the log.
#[derive(Debug)]
pub(super) struct Log {
    pub ledger: Option<ledger::Ledger>,
    pub start: bootstrap::Bootstrap,
    pub writer: writer::Writer,
    /// Whether the last read was answered.
    pub reading: bool,
    /// The offset that its next record got at the last read.
    pub end: u64,
    /// Whether the ledger has reached the log's end, and lost no place in it since. Before that, what the
    /// ledger holds may be long outdated.
    pub caught_up: bool,
    /// Since when it can't be read or written.
    pub failed_since: Option<clock::Instant>,
    /// Why this instance can't fold any further.
    pub halted: Option<SmolStr>,
    appending: bool,
    /// Since when no append was taken, though some were tried.
    append_failed_since: Option<clock::Instant>,
    append_at: clock::Instant,
    pub checkpoints: checkpoints::Checkpoints,
}

impl Log {
    pub fn new(me: record::Incarnation) -> Self {
        Self {
            ledger: None,
            start: bootstrap::Bootstrap::new(),
            writer: writer::Writer::new(me),
            reading: false,
            end: 0,
            caught_up: false,
            failed_since: None,
            halted: None,
            appending: false,
            append_failed_since: None,
            append_at: clock::Instant::default(),
            checkpoints: checkpoints::Checkpoints::default(),
        }
    }

    /// The first offset that isn't folded here.
    pub fn next(&self) -> u64 {
        self.ledger.as_ref().map_or(0, ledger::Ledger::next)
    }

    /// The version of the newest document that was folded here.
    pub fn version(&self) -> u64 {
        self.ledger.as_ref().map_or(0, ledger::Ledger::version)
    }

    /// Whether the log is read, and takes appends when there are any. A log that can be read but not written
    /// to is no use to a steward.
    pub fn is_usable(&self, now: clock::Instant) -> bool {
        let failed = self.append_failed_since;
        let unwritable = failed.is_some_and(|since| now.since(since) >= UNWRITABLE_AFTER);
        self.reading && !unwritable
    }

    /// Whether nothing waits to be appended or read back.
    pub fn is_written(&self) -> bool {
        self.writer.waiting() == 0 && self.writer.in_flight().next().is_none()
    }

    /// What the start waits for, in a sentence.
    pub fn waiting_for(&self) -> String {
        self.start.waiting().to_string()
    }
}

impl Node {
    /// Takes records in. While the ledger follows the log, each is folded and its judgements acted on;
    /// after a gap, or at the start, a checkpoint comes first.
    pub(super) fn read(
        &mut self,
        now: clock::Instant,
        first: u64,
        next: u64,
        records: Vec<record::Stored>,
        out: &mut Vec<effect::Effect>,
    ) {
        self.log.reading = true;
        self.log.failed_since = None;
        if self.log.halted.is_some() {
            return;
        }
        self.log.end = next;
        let held = self.log.ledger.as_ref().map(ledger::Ledger::next);
        match held {
            Some(held) if held >= first => {}
            // The records between were dropped: only a checkpoint that goes further helps.
            Some(held) if self.log.start.floor() != held => {
                return self.halt(
                    ledger::FoldError::Gap {
                        next: held,
                        offset: first,
                    },
                    out,
                );
            }
            Some(_) | None => return self.read_to_start(now, first, next, records, out),
        }
        for stored in &records {
            if self
                .log
                .ledger
                .as_ref()
                .is_some_and(|ledger| stored.offset < ledger.next())
            {
                continue;
            }
            if !self.fold(now, stored, out) {
                break;
            }
        }
        self.log.caught_up |= self.log.next() >= next;
        self.adopt_from_ledger(now, out);
        if !records.is_empty() {
            self.placements_changed();
            self.drive_stewards(now, out);
        }
        self.pump_all(now, out);
        self.pump_log(now, out);
    }

    fn read_to_start(
        &mut self,
        now: clock::Instant,
        first: u64,
        next: u64,
        records: Vec<record::Stored>,
        out: &mut Vec<effect::Effect>,
    ) {
        self.log.start.add_records(first, next, records);
        self.try_start(now, out);
    }

    /// Takes a ledger from checkpoint and tail, or from a peer, if it goes further than the one held.
    pub(super) fn try_start(&mut self, now: clock::Instant, out: &mut Vec<effect::Effect>) {
        match self.log.start.build_ledger() {
            Ok(Some(newer)) => {
                let next = newer.next();
                match &mut self.log.ledger {
                    Some(held) => {
                        if held.replace(newer).is_err() {
                            return;
                        }
                    }
                    None => self.log.ledger = Some(newer),
                }
                self.log.checkpoints.started(now);
                out.push(effect::Effect::ReadFrom(next));
                self.caught_up(now, out);
            }
            Ok(None) => {
                if let Some(from) = self.log.start.read_from() {
                    out.push(effect::Effect::ReadFrom(from));
                }
            }
            Err(halt) => self.halt(halt, out),
        }
    }

    /// After a jump the judgements in between were not seen one by one: what waits for them looks at the
    /// ledger itself.
    fn caught_up(&mut self, now: clock::Instant, out: &mut Vec<effect::Effect>) {
        self.placements_changed();
        self.adopt_from_ledger(now, out);
        self.review_claims(now, out);
        self.drive_stewards(now, out);
        self.pump_all(now, out);
    }

    fn fold(
        &mut self,
        now: clock::Instant,
        stored: &record::Stored,
        out: &mut Vec<effect::Effect>,
    ) -> bool {
        let Some(ledger) = &mut self.log.ledger else {
            return false;
        };
        let folded = match ledger.fold(stored) {
            Ok(folded) => folded,
            Err(halt) => {
                self.halt(halt, out);
                return false;
            }
        };
        let Some(folded) = folded else { return true };
        self.log.writer.record_read(&folded.id);
        for (entry, judgement) in &folded.entries {
            self.judged(now, &folded, entry, judgement, out);
        }
        true
    }

    fn judged(
        &mut self,
        now: clock::Instant,
        folded: &ledger::Folded,
        entry: &record::Entry,
        judgement: &ledger::Decision,
        out: &mut Vec<effect::Effect>,
    ) {
        let mine = folded.id.by == self.options.me;
        match entry {
            record::Entry::Steward { group, .. } => {
                self.steward_judged(now, group, mine, judgement, out);
            }
            record::Entry::Grant(order)
            | record::Entry::Withdraw(order)
            | record::Entry::Close { order, .. } => {
                self.stewards.judged(now, &order.group, mine, entry);
            }
            record::Entry::Claim { key, .. } => self.claim_judged(now, key, mine, judgement, out),
            record::Entry::Settle { key, .. } => self.claim_settled(now, key, out),
            record::Entry::Checkpoint(part) => {
                self.log.checkpoints.seen(now, folded.offset, part);
            }
            record::Entry::Publish { .. }
            | record::Entry::Acknowledge { .. }
            | record::Entry::Release { .. }
            | record::Entry::Gone { .. } => {}
        }
    }

    fn halt(&mut self, halt: ledger::FoldError, out: &mut Vec<effect::Effect>) {
        match halt {
            ledger::FoldError::Gap { next, .. } => {
                self.log.start = bootstrap::Bootstrap::resume_from(next);
                self.log.caught_up = false;
                self.notice(
                    true,
                    format!("the log no longer holds record {next}; going on from a checkpoint"),
                    out,
                );
                out.push(effect::Effect::ReadFrom(0));
            }
            ledger::FoldError::UnsupportedRules(_) => {
                let reason = halt.to_string();
                self.log.halted = Some(SmolStr::new(&reason));
                self.notice(true, reason, out);
            }
        }
    }

    /// The log can't be read: what waits for a read-back that may never come is told so.
    pub(super) fn read_failed(&mut self, now: clock::Instant) {
        self.log.reading = false;
        self.log.failed_since.get_or_insert(now);
    }

    /// What came of the append in flight.
    pub(super) fn appended(
        &mut self,
        now: clock::Instant,
        answer: writer::Answer,
        out: &mut Vec<effect::Effect>,
    ) {
        self.log.appending = false;
        self.log.append_failed_since = match answer {
            writer::Answer::Stored(_) => None,
            writer::Answer::Refused | writer::Answer::Lost => {
                self.log.append_failed_since.or(Some(now))
            }
        };
        self.log.append_at = match answer {
            writer::Answer::Stored(_) => now,
            writer::Answer::Refused | writer::Answer::Lost => now.after(APPEND_RETRY),
        };
        self.log.writer.handle_answer(answer);
        self.pump_log(now, out);
    }

    /// Appends an entry with the next batch.
    pub(super) fn push(&mut self, entry: record::Entry, out: &mut Vec<effect::Effect>) -> bool {
        if self.log.writer.push(entry).is_ok() {
            return true;
        }
        let text =
            String::from("too much waits to be appended to the log; new entries are dropped");
        self.notice(true, text, out);
        false
    }

    /// Sends the next batch when none is in flight.
    pub(super) fn pump_log(&mut self, now: clock::Instant, out: &mut Vec<effect::Effect>) {
        if self.log.appending || now < self.log.append_at || self.log.halted.is_some() {
            return;
        }
        if let Some(body) = self.log.writer.next_append() {
            self.log.appending = true;
            out.push(effect::Effect::Append(body));
        }
    }

    pub(super) fn tick_log(&mut self, now: clock::Instant, out: &mut Vec<effect::Effect>) {
        self.write_checkpoint(now, out);
        self.pump_log(now, out);
    }
}
