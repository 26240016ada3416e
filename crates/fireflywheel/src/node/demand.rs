//! Requests for replicas to the stewards of groups, for queues without a replica or with too few, and their
//! answers.

use std::time::Duration;

use smol_str::SmolStr;

use super::{
    Node,
    queues::{Key, Name},
};
use crate::{clock, effect, item, request, right, wire};

/// Interval between two [`wire::Want`] messages for one queue to the steward of its group.
const WANT_INTERVAL: Duration = Duration::from_millis(200);

/// Number of waiting requests per slot of the replicas above which another replica is requested.
const MAX_WAITING_PER_SLOT: usize = 2;

impl Node {
    /// Records since when a queue has had no replica. When it gets one, the elapsed time updates the
    /// estimate of the load time.
    pub(super) fn track_cold_start(&mut self, now: clock::Instant, key: Key, cold: bool) {
        let Some(queue) = self.queues.get_mut(key) else {
            return;
        };
        match (cold, queue.cold_since) {
            (true, None) => queue.cold_since = Some(now),
            (false, Some(since)) => {
                queue.cold_since = None;
                queue.load_time.observe(now.since(since));
            }
            (true, Some(_)) | (false, None) => {}
        }
    }

    /// Informs the steward of the group that requests wait, if there is no replica or too few.
    pub(super) fn send_want(
        &mut self,
        now: clock::Instant,
        key: Key,
        replicas: usize,
        out: &mut Vec<effect::Effect>,
    ) {
        let Some(queue) = self.queues.get(key) else {
            return;
        };
        let Some(item) = queue.item.clone() else {
            return;
        };
        let slots = self.slots_per_server(&queue.group) as usize;
        let waiting = queue.waiting.len();
        let retries_expected = queue.retries_expected_until > now;
        let overloaded = waiting > MAX_WAITING_PER_SLOT * replicas * slots;
        let cold = replicas == 0 && (waiting > 0 || retries_expected);
        let due = queue
            .want_sent_at
            .is_none_or(|at| now.since(at) >= WANT_INTERVAL);
        if !(cold || overloaded) || !due {
            return;
        }
        let first = queue
            .waiting
            .earliest_deadline()
            .unwrap_or(queue.retries_expected_until);
        let want = wire::Want {
            group: queue.group.clone(),
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
        if let Some(queue) = self.queues.get_mut(key) {
            queue.want_sent_at = Some(now);
        }
        self.send_frame(now, to, wire::Frame::Want(want), out);
    }

    pub(super) fn send_want_for_refused(
        &mut self,
        now: clock::Instant,
        key: Key,
        out: &mut Vec<effect::Effect>,
    ) {
        let retries_expected = self
            .queues
            .get(key)
            .is_some_and(|queue| queue.retries_expected_until > now);
        if retries_expected {
            let replicas = self.candidates(now, key).len();
            self.send_want(now, key, replicas, out);
        }
    }

    /// Handles a steward's message that a placement is ready, which arrives before the log says so.
    pub(super) fn handle_ready(
        &mut self,
        now: clock::Instant,
        server: SmolStr,
        item: item::Item,
        out: &mut Vec<effect::Effect>,
    ) {
        let name = Name::Model(item.model.clone(), item.adapter.clone());
        let key = right::Key { server, item };
        self.suspended_until.remove(&key);
        self.ready_hints.insert(key, now);
        self.invalidate_candidates();
        if let Some(queue) = self.queue_keys.get(&name).copied() {
            self.dispatch_waiting(now, queue, out);
        }
    }

    /// Handles a steward's message that an item won't be loaded soon. Requests that can't wait that long
    /// are refused at once.
    pub(super) fn handle_busy(
        &mut self,
        now: clock::Instant,
        item: &item::Item,
        retry_ms: u64,
        reason: &SmolStr,
        out: &mut Vec<effect::Effect>,
    ) {
        let name = Name::Model(item.model.clone(), item.adapter.clone());
        let Some(key) = self.queue_keys.get(&name).copied() else {
            return;
        };
        if !self.candidates(now, key).is_empty() {
            return;
        }
        let Some(queue) = self.queues.get_mut(key) else {
            return;
        };
        let retry = Duration::from_millis(retry_ms);
        let soonest = now.after(retry + queue.load_time.mean() + queue.service_time.mean());
        let expired = queue.waiting.take_expired(soonest);
        for request in expired {
            let message = SmolStr::new(format!("can't be loaded in time: {reason}"));
            let refusal =
                request::Refusal::new(request::Code::TooLate, message).with_retry_after(retry);
            self.refuse(now, request, refusal, out);
        }
    }
}
