//! Reads the platform's log into the ledger, and appends to the log.

use smol_str::SmolStr;

use super::{Node, checkpoints};
use crate::{bootstrap, clock, effect, ledger, record, writer};

/// Delay before the next append after one was refused or its answer was lost.
const APPEND_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(200);

/// Time for which appends may fail until the log counts as unwritable.
const UNWRITABLE_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(500);

/// The state of the log as this instance knows it.
#[derive(Debug)]
pub(super) struct Log {
    pub ledger: Option<ledger::Ledger>,
    pub bootstrap: bootstrap::Bootstrap,
    pub writer: writer::Writer,
    /// Whether the last read was answered.
    pub readable: bool,
    /// The offset that the log's next record would get, as of the last read.
    pub end: u64,
    /// Whether the ledger has reached the end of the log and has not lost its position in the log since.
    /// Before that, the ledger may be long outdated.
    pub caught_up: bool,
    /// Time since which the log can't be read.
    pub unreadable_since: Option<clock::Instant>,
    /// The reason why this instance can't fold any further records.
    pub halted: Option<SmolStr>,
    appending: bool,
    /// Time of the first failed append since the last one that was stored.
    append_failed_since: Option<clock::Instant>,
    next_append_at: clock::Instant,
    pub checkpoints: checkpoints::Checkpoints,
}

impl Log {
    pub fn new(me: record::Incarnation) -> Self {
        Self {
            ledger: None,
            bootstrap: bootstrap::Bootstrap::new(),
            writer: writer::Writer::new(me),
            readable: false,
            end: 0,
            caught_up: false,
            unreadable_since: None,
            halted: None,
            appending: false,
            append_failed_since: None,
            next_append_at: clock::Instant::default(),
            checkpoints: checkpoints::Checkpoints::default(),
        }
    }

    /// Returns the first offset that isn't folded yet.
    pub fn next(&self) -> u64 {
        self.ledger.as_ref().map_or(0, ledger::Ledger::next)
    }

    /// Returns the version of the newest document that was folded.
    pub fn version(&self) -> u64 {
        self.ledger.as_ref().map_or(0, ledger::Ledger::version)
    }

    /// Returns whether the log can be read, and accepts appends if there are any. A steward can't work with
    /// a log that is readable but not writable.
    pub fn is_usable(&self, now: clock::Instant) -> bool {
        let failed = self.append_failed_since;
        let unwritable = failed.is_some_and(|since| now.since(since) >= UNWRITABLE_TIMEOUT);
        self.readable && !unwritable
    }

    /// Returns whether no entry waits to be appended or read back.
    pub fn is_written(&self) -> bool {
        self.writer.waiting() == 0 && self.writer.in_flight().next().is_none()
    }

    /// Describes what the bootstrap of the ledger waits for, in a sentence.
    pub fn waiting_for(&self) -> String {
        self.bootstrap.status().to_string()
    }
}

impl Node {
    /// Handles records that were read from the log. While the ledger follows the log, each record is folded
    /// and its decisions are handled. At the start or after a gap, the ledger is restored from a checkpoint
    /// first.
    pub(super) fn handle_log_read(
        &mut self,
        now: clock::Instant,
        first: u64,
        next: u64,
        records: Vec<record::Stored>,
        out: &mut Vec<effect::Effect>,
    ) {
        self.log.readable = true;
        self.log.unreadable_since = None;
        if self.log.halted.is_some() {
            return;
        }
        self.log.end = next;
        let held = self.log.ledger.as_ref().map(ledger::Ledger::next);
        match held {
            Some(held) if held >= first => {}
            // The log has dropped the records in between, so a checkpoint that covers them is needed.
            Some(held) if self.log.bootstrap.floor() != held => {
                return self.handle_fold_error(
                    ledger::FoldError::Gap {
                        next: held,
                        offset: first,
                    },
                    out,
                );
            }
            Some(_) | None => return self.read_for_bootstrap(now, first, next, records, out),
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
        self.apply_ledger_config(now, out);
        if !records.is_empty() {
            self.invalidate_candidates();
            self.step_stewards(now, out);
        }
        self.dispatch_all_waiting(now, out);
        self.append_next_batch(now, out);
    }

    fn read_for_bootstrap(
        &mut self,
        now: clock::Instant,
        first: u64,
        next: u64,
        records: Vec<record::Stored>,
        out: &mut Vec<effect::Effect>,
    ) {
        self.log.bootstrap.add_records(first, next, records);
        self.try_bootstrap(now, out);
    }

    /// Replaces the ledger with one built from a checkpoint and the records after it, or from a peer's
    /// state, if that covers more records than the current ledger.
    pub(super) fn try_bootstrap(&mut self, now: clock::Instant, out: &mut Vec<effect::Effect>) {
        match self.log.bootstrap.build_ledger() {
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
                self.log.checkpoints.restart_interval(now);
                out.push(effect::Effect::ReadFrom(next));
                self.handle_skipped_records(now, out);
            }
            Ok(None) => {
                if let Some(from) = self.log.bootstrap.read_from() {
                    out.push(effect::Effect::ReadFrom(from));
                }
            }
            Err(error) => self.handle_fold_error(error, out),
        }
    }

    /// Updates everything that depends on decisions in the log after the ledger skipped records. These
    /// decisions were not handled one by one, so their effects are read from the ledger.
    fn handle_skipped_records(&mut self, now: clock::Instant, out: &mut Vec<effect::Effect>) {
        self.invalidate_candidates();
        self.apply_ledger_config(now, out);
        self.recheck_claims(now, out);
        self.step_stewards(now, out);
        self.dispatch_all_waiting(now, out);
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
            Err(error) => {
                self.handle_fold_error(error, out);
                return false;
            }
        };
        let Some(folded) = folded else { return true };
        self.log.writer.record_read(&folded.id);
        for (entry, decision) in &folded.entries {
            self.handle_decision(now, &folded, entry, decision, out);
        }
        true
    }

    fn handle_decision(
        &mut self,
        now: clock::Instant,
        folded: &ledger::Folded,
        entry: &record::Entry,
        decision: &ledger::Decision,
        out: &mut Vec<effect::Effect>,
    ) {
        let is_own = folded.id.by == self.options.incarnation;
        match entry {
            record::Entry::Steward { group, .. } => {
                self.handle_steward_decision(now, group, is_own, decision, out);
            }
            record::Entry::Grant(order)
            | record::Entry::Withdraw(order)
            | record::Entry::Close { order, .. } => {
                self.stewards
                    .handle_decision(now, &order.group, is_own, entry);
            }
            record::Entry::Claim { key, .. } => self.handle_claim(now, key, is_own, decision, out),
            record::Entry::Settle { key, .. } => self.handle_settlement(now, key, out),
            record::Entry::Checkpoint(part) => {
                self.log.checkpoints.handle_part(now, folded.offset, part);
            }
            record::Entry::Publish { .. }
            | record::Entry::Acknowledge { .. }
            | record::Entry::Release { .. }
            | record::Entry::Gone { .. } => {}
        }
    }

    fn handle_fold_error(&mut self, error: ledger::FoldError, out: &mut Vec<effect::Effect>) {
        match error {
            ledger::FoldError::Gap { next, .. } => {
                self.log.bootstrap = bootstrap::Bootstrap::resume_from(next);
                self.log.caught_up = false;
                self.notify_operator(
                    true,
                    format!("record {next} is no longer in the log; restoring from a checkpoint"),
                    out,
                );
                out.push(effect::Effect::ReadFrom(0));
            }
            ledger::FoldError::UnsupportedRules(_) => {
                let reason = error.to_string();
                self.log.halted = Some(SmolStr::new(&reason));
                self.notify_operator(true, reason, out);
            }
        }
    }

    /// Handles a failed read of the log. Requests whose claim may never be read back are refused after a
    /// while; see [`Node::tick_claims`].
    pub(super) fn handle_log_read_failure(&mut self, now: clock::Instant) {
        self.log.readable = false;
        self.log.unreadable_since.get_or_insert(now);
    }

    /// Handles the answer to the append in flight.
    pub(super) fn handle_append_answer(
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
        self.log.next_append_at = match answer {
            writer::Answer::Stored(_) => now,
            writer::Answer::Refused | writer::Answer::Lost => now.after(APPEND_RETRY_DELAY),
        };
        self.log.writer.handle_answer(answer);
        self.append_next_batch(now, out);
    }

    /// Adds an entry to the next batch of appends. Returns `false` if the writer is full.
    pub(super) fn append_entry(
        &mut self,
        entry: record::Entry,
        out: &mut Vec<effect::Effect>,
    ) -> bool {
        if self.log.writer.push(entry).is_ok() {
            return true;
        }
        let text = String::from("the queue of log appends is full; new entries are dropped");
        self.notify_operator(true, text, out);
        false
    }

    /// Appends the next batch if none is in flight.
    pub(super) fn append_next_batch(&mut self, now: clock::Instant, out: &mut Vec<effect::Effect>) {
        if self.log.appending || now < self.log.next_append_at || self.log.halted.is_some() {
            return;
        }
        if let Some(body) = self.log.writer.next_append() {
            self.log.appending = true;
            out.push(effect::Effect::Append(body));
        }
    }

    pub(super) fn tick_log(&mut self, now: clock::Instant, out: &mut Vec<effect::Effect>) {
        self.write_checkpoint(now, out);
        self.append_next_batch(now, out);
    }
}
