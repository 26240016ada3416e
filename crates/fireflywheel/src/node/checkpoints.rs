//! Appends checkpoints of the ledger to the log, well before the log drops the records that they cover.

use std::{collections::VecDeque, time::Duration};

use smol_str::SmolStr;

use super::Node;
use crate::{clock, effect, record, rendezvous};

/// Time after which a checkpoint that was started but not read back completely is abandoned.
const CHECKPOINT_TIMEOUT: Duration = Duration::from_secs(30);

/// The state of checkpoints in the log as this instance knows it.
#[derive(Debug, Default)]
pub(super) struct Checkpoints {
    /// The offset up to which the newest complete checkpoint covers the log.
    covered: u64,
    /// The first offset after the last part of that checkpoint. Records of a checkpoint don't count towards
    /// the next one.
    end: u64,
    /// The time at which that checkpoint was read back completely, or at which this instance obtained its
    /// ledger.
    completed_at: clock::Instant,
    /// The time at which this instance started a checkpoint that it hasn't read back completely.
    started_at: Option<clock::Instant>,
    /// The parts of the started checkpoint that are not appended yet.
    unappended_parts: VecDeque<record::Part>,
}

impl Checkpoints {
    /// Restarts the checkpoint interval when this instance has obtained a ledger.
    pub fn restart_interval(&mut self, now: clock::Instant) {
        self.completed_at = now;
    }

    /// Handles a part that was read back.
    pub fn handle_part(&mut self, now: clock::Instant, offset: u64, part: &record::Part) {
        let is_last = part.part + 1 == part.parts;
        if is_last && part.next > self.covered {
            self.covered = part.next;
            self.end = offset + 1;
            self.completed_at = now;
            self.started_at = None;
        }
    }
}

impl Node {
    /// Appends a checkpoint when it is due and this instance is selected to write it. Two instances that
    /// both consider themselves selected append the same text, which is harmless. The parts are appended
    /// one at a time, so that other entries aren't delayed behind them and a large checkpoint doesn't
    /// overflow the writer.
    pub(super) fn write_checkpoint(&mut self, now: clock::Instant, out: &mut Vec<effect::Effect>) {
        if self.log.checkpoints.unappended_parts.is_empty() {
            self.begin_checkpoint(now);
        }
        if self.log.writer.waiting() > 0 {
            return;
        }
        if let Some(part) = self.log.checkpoints.unappended_parts.pop_front() {
            self.append_entry(record::Entry::Checkpoint(part), out);
        }
    }

    fn begin_checkpoint(&mut self, now: clock::Instant) {
        let Some(ledger) = &self.log.ledger else {
            return;
        };
        let known = &self.log.checkpoints;
        let timing = &self.options.timing;
        let records_since = ledger.next().saturating_sub(known.end);
        let interval_elapsed =
            records_since > 0 && now.since(known.completed_at) >= timing.checkpoint_interval;
        let due = records_since >= timing.checkpoint_records || interval_elapsed;
        let in_progress = known
            .started_at
            .is_some_and(|started_at| now.since(started_at) < CHECKPOINT_TIMEOUT);
        if !due || in_progress || !self.log.readable || self.stop.is_some() {
            return;
        }
        let alive = self.membership.alive().map(SmolStr::as_str);
        if rendezvous::select("checkpoint", alive)
            != Some(self.options.incarnation.instance.as_str())
        {
            return;
        }
        let parts = ledger.checkpoint();
        self.log.checkpoints.started_at = Some(now);
        self.log.checkpoints.unappended_parts = parts.into();
    }
}
