//! Lanes without a replica, or with too few: what is asked of the group's steward, and what it answers.

use std::time::Duration;

use smol_str::SmolStr;

use super::{
    Node,
    lanes::{Key, Name},
};
use crate::{clock, effect, item, request, right, wire};

/// Between two wants of one lane to the group's steward.
const WANT_EVERY: Duration = Duration::from_millis(200);

/// Callers wait for more than this many times what the replicas run at once: one more may help.
const CROWDED: usize = 2;

impl Node {
    /// Notes since when a lane has been cold, and learns from it how long loads take.
    pub(super) fn mind_cold(&mut self, now: clock::Instant, key: Key, cold: bool) {
        let Some(lane) = self.lanes.get_mut(key) else {
            return;
        };
        match (cold, lane.cold_since) {
            (true, None) => lane.cold_since = Some(now),
            (false, Some(since)) => {
                lane.cold_since = None;
                lane.load.observe(now.since(since));
            }
            (true, Some(_)) | (false, None) => {}
        }
    }

    /// Tells the group's steward that callers wait, when there is no replica or too few.
    pub(super) fn want(
        &mut self,
        now: clock::Instant,
        key: Key,
        replicas: usize,
        out: &mut Vec<effect::Effect>,
    ) {
        let Some(lane) = self.lanes.get(key) else {
            return;
        };
        let Some(item) = lane.item.clone() else {
            return;
        };
        let slots = self.slots(&lane.group) as usize;
        let waiting = lane.queue.len();
        let interested = lane.interest_until > now;
        let crowded = waiting > CROWDED * replicas * slots;
        let cold = replicas == 0 && (waiting > 0 || interested);
        let due = lane.wanted_at.is_none_or(|at| now.since(at) >= WANT_EVERY);
        if !(cold || crowded) || !due {
            return;
        }
        let first = lane
            .queue
            .earliest_deadline()
            .unwrap_or(lane.interest_until);
        let want = wire::Want {
            group: lane.group.clone(),
            item,
            waiting: u32::try_from(waiting).unwrap_or(u32::MAX).max(1),
            left_ms: clock::millis(first.since(now)),
        };
        let steward = self
            .log
            .ledger
            .as_ref()
            .and_then(|ledger| ledger.steward(&want.group));
        let Some(steward) = steward else { return };
        let to = steward.by.instance.clone();
        if let Some(lane) = self.lanes.get_mut(key) {
            lane.wanted_at = Some(now);
        }
        self.tell(now, to, wire::Frame::Want(want), out);
    }

    pub(super) fn want_for_refused(
        &mut self,
        now: clock::Instant,
        key: Key,
        out: &mut Vec<effect::Effect>,
    ) {
        let interested = self
            .lanes
            .get(key)
            .is_some_and(|lane| lane.interest_until > now);
        if interested {
            let replicas = self.candidates(now, key).len();
            self.want(now, key, replicas, out);
        }
    }

    /// The steward says that a placement is ready before the log says so.
    pub(super) fn heard_ready(
        &mut self,
        now: clock::Instant,
        server: SmolStr,
        item: item::Item,
        out: &mut Vec<effect::Effect>,
    ) {
        let name = Name::Model(item.model.clone(), item.adapter.clone());
        let key = right::Key { server, item };
        self.denied.remove(&key);
        self.ready_hints.insert(key, now);
        self.placements_changed();
        if let Some(lane) = self.lane_names.get(&name).copied() {
            self.pump(now, lane, out);
        }
    }

    /// The steward says that an item won't be loaded soon: those who can't wait for it hear so at once.
    pub(super) fn heard_busy(
        &mut self,
        now: clock::Instant,
        item: &item::Item,
        retry_ms: u64,
        reason: &SmolStr,
        out: &mut Vec<effect::Effect>,
    ) {
        let name = Name::Model(item.model.clone(), item.adapter.clone());
        let Some(key) = self.lane_names.get(&name).copied() else {
            return;
        };
        if !self.candidates(now, key).is_empty() {
            return;
        }
        let Some(lane) = self.lanes.get_mut(key) else {
            return;
        };
        let retry = Duration::from_millis(retry_ms);
        let soonest = now.after(retry + lane.load.mean() + lane.service.mean());
        let hopeless = lane.queue.take_expired(soonest);
        for request in hopeless {
            let message = SmolStr::new(format!("can't be loaded in time: {reason}"));
            let refusal =
                request::Refusal::new(request::Code::TooLate, message).with_retry_after(retry);
            self.refuse(now, request, refusal, out);
        }
    }
}
