//! Appending checkpoints of the ledger, well before the log drops what they cover.

use std::{collections::VecDeque, time::Duration};

use smol_str::SmolStr;

use super::Node;
use crate::{clock, effect, record, rendezvous};

/// Until a checkpoint that was begun and never seen whole is given up.
const GIVE_UP: Duration = Duration::from_secs(30);

/// What is known of checkpoints in the log.
#[derive(Debug, Default)]
pub(super) struct Checkpoints {
    /// What the newest whole one covers.
    covered: u64,
    /// The first offset after its last part: its own records are no reason for another one.
    end: u64,
    /// When it was seen, or this instance had its ledger.
    at: clock::Instant,
    /// When this instance began one that it hasn't seen whole.
    begun: Option<clock::Instant>,
    /// Its parts that are not appended yet.
    parts: VecDeque<record::Part>,
}

impl Checkpoints {
    /// A ledger is held from now on; the time to the next checkpoint counts from here.
    pub fn started(&mut self, now: clock::Instant) {
        self.at = now;
    }

    /// A part was read back.
    pub fn seen(&mut self, now: clock::Instant, offset: u64, part: &record::Part) {
        let whole = part.part + 1 == part.parts;
        if whole && part.next > self.covered {
            self.covered = part.next;
            self.end = offset + 1;
            self.at = now;
            self.begun = None;
        }
    }
}

impl Node {
    /// Appends a checkpoint when it is due and this instance is the one to do it. Two that think so at the
    /// same time append the same text, which does no harm. The parts go one by one, so that other entries
    /// aren't held up behind them and a large checkpoint doesn't overflow the writer.
    pub(super) fn write_checkpoint(&mut self, now: clock::Instant, out: &mut Vec<effect::Effect>) {
        if self.log.checkpoints.parts.is_empty() {
            self.begin_checkpoint(now);
        }
        if self.log.writer.waiting() > 0 {
            return;
        }
        if let Some(part) = self.log.checkpoints.parts.pop_front() {
            self.push(record::Entry::Checkpoint(part), out);
        }
    }

    fn begin_checkpoint(&mut self, now: clock::Instant) {
        let Some(ledger) = &self.log.ledger else {
            return;
        };
        let known = &self.log.checkpoints;
        let timing = &self.options.timing;
        let since = ledger.next().saturating_sub(known.end);
        let old = since > 0 && now.since(known.at) >= timing.checkpoint_interval;
        let due = since >= timing.checkpoint_records || old;
        let underway = known.begun.is_some_and(|begun| now.since(begun) < GIVE_UP);
        if !due || underway || !self.log.reading || self.stop.is_some() {
            return;
        }
        let alive = self.membership.alive().map(SmolStr::as_str);
        if rendezvous::first("checkpoint", alive) != Some(self.options.me.instance.as_str()) {
            return;
        }
        let parts = ledger.checkpoint();
        self.log.checkpoints.begun = Some(now);
        self.log.checkpoints.parts = parts.into();
    }
}
