//! Attempts at backend servers: what came of them, whether to try again, the final answer.

use std::time::Duration;

use super::{Node, admission::State, lanes};
use crate::{claim, clock, effect, request, server, verdict};

/// Attempts at one request at most, over all backend servers.
const ATTEMPTS: u32 = 4;

/// Times that one stream is resumed.
const RESUMES: u32 = 2;

/// Until a caller should come back after a backend server failed.
const FAILED_RETRY: Duration = Duration::from_millis(500);

impl Node {
    /// Sends a request to a backend server.
    pub(super) fn dispatch(
        &mut self,
        now: clock::Instant,
        lane: lanes::Key,
        request: request::Key,
        server: server::Key,
        out: &mut Vec<effect::Effect>,
    ) {
        let Some(lane) = self.lanes.get_mut(lane) else {
            return;
        };
        let Some(group) = self.groups.get_mut(&lane.group) else {
            return;
        };
        let Some(address) = group.table.get(server).map(|server| server.address.clone()) else {
            return;
        };
        let Some(running) = self.requests.get_mut(request) else {
            return;
        };
        running.state = State::Running { server, since: now };
        let class = running.class.clone();
        if !running.sent {
            running.sent = true;
            self.budget.record_request(now);
        }
        lane.running += 1;
        group.table.request_started(now, server);
        self.left_queue(&class);
        out.push(effect::Effect::Dispatch {
            request,
            server: address,
        });
    }

    /// What came of an attempt.
    pub(super) fn attempted(
        &mut self,
        now: clock::Instant,
        key: request::Key,
        attempt: request::Attempt,
        out: &mut Vec<effect::Effect>,
    ) {
        match attempt {
            request::Attempt::Began => {}
            request::Attempt::Done(outcome) => self.done(now, key, outcome, out),
            request::Attempt::Failed(failure) => self.failed(now, key, &failure, out),
        }
    }

    fn done(
        &mut self,
        now: clock::Instant,
        key: request::Key,
        outcome: claim::Outcome,
        out: &mut Vec<effect::Effect>,
    ) {
        let lane = self.requests.get(key).and_then(|request| request.lane);
        if let Some(since) = self.end_attempt(now, key, false)
            && let Some(lane) = lane.and_then(|lane| self.lanes.get_mut(lane))
        {
            lane.service.observe(now.since(since));
            lane.finished = lane.finished.saturating_add(1);
            let idle = lane.item.is_some() && lane.running == 0 && lane.queue.is_empty();
            if idle {
                self.hurry_usage(now);
            }
        }
        self.finish(key, Some(outcome), out);
        if let Some(lane) = lane {
            self.pump(now, lane, out);
        }
        self.pump_log(now, out);
    }

    /// Frees the place of an attempt; gives the time at which it was sent.
    fn end_attempt(
        &mut self,
        now: clock::Instant,
        key: request::Key,
        failed: bool,
    ) -> Option<clock::Instant> {
        let request = self.requests.get_mut(key)?;
        let State::Running { server, since } = request.state else {
            return None;
        };
        request.state = State::New;
        let lane = self.lanes.get_mut(request.lane?)?;
        lane.running = lane.running.saturating_sub(1);
        if let Some(group) = self.groups.get_mut(&lane.group) {
            group.table.request_ended(now, server, failed);
        }
        Some(since)
    }

    fn failed(
        &mut self,
        now: clock::Instant,
        key: request::Key,
        failure: &request::Failure,
        out: &mut Vec<effect::Effect>,
    ) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        let State::Running { server, .. } = request.state else {
            return;
        };
        let Some(lane) = request.lane else { return };
        if self.may_resume(now, key, failure) {
            return self.resume(key, server, failure.events_delivered, out);
        }
        let unwell = matches!(
            failure.cause,
            request::Cause::Connect
                | request::Cause::Disconnected
                | request::Cause::BackendFailed
                | request::Cause::AnswerFlawed
        );
        self.end_attempt(now, key, unwell);
        self.learn(now, lane, server, failure.cause);
        if self.may_retry(now, key, failure) && self.enqueue(now, key, out).is_ok() {
            return;
        }
        let refusal = self.refusal(key, failure);
        self.refuse(now, key, refusal, out);
        self.pump(now, lane, out);
    }

    /// What a failure says of the backend server, beside being one.
    fn learn(
        &mut self,
        now: clock::Instant,
        lane: lanes::Key,
        server: server::Key,
        cause: request::Cause,
    ) {
        let Some(group) = self.lanes.get(lane).map(|lane| lane.group.clone()) else {
            return;
        };
        let Some(group) = self.groups.get_mut(&group) else {
            return;
        };
        let Some(address) = group.table.get(server).map(|server| server.address.clone()) else {
            return;
        };
        match cause {
            request::Cause::Draining => {
                group.table.set_leaving(server, true);
                if let Some(known) = group.servers.get_mut(&address) {
                    known.leaving = true;
                }
            }
            request::Cause::NotLoaded => self.deny(now, &address, lane),
            request::Cause::Overloaded => self.rest(now, &address, lane),
            request::Cause::Connect
            | request::Cause::Disconnected
            | request::Cause::AnswerFlawed
            | request::Cause::BackendFailed
            | request::Cause::DeadlinePassed
            | request::Cause::CallerGone => {}
        }
    }

    /// A broken stream goes on where it broke, if the engine can.
    fn may_resume(
        &self,
        now: clock::Instant,
        key: request::Key,
        failure: &request::Failure,
    ) -> bool {
        let request = &self.requests[key];
        failure.cause == request::Cause::Disconnected
            && failure.events_delivered > 0
            && request.arrival.stream
            && request.resumes < RESUMES
            && now < request.deadline
    }

    fn resume(
        &mut self,
        key: request::Key,
        server: server::Key,
        from: u64,
        out: &mut Vec<effect::Effect>,
    ) {
        let request = &mut self.requests[key];
        request.resumes += 1;
        let group = request.lane.and_then(|lane| self.lanes.get(lane));
        let group = group.and_then(|lane| self.groups.get(&lane.group));
        let Some(address) = group.and_then(|group| group.table.get(server)) else {
            return;
        };
        out.push(effect::Effect::Resume {
            request: key,
            server: address.address.clone(),
            from,
        });
    }

    /// Whether a request may be sent again: never after a byte of it went to the caller, never when it
    /// isn't idempotent, and only within deadline and budget.
    fn may_retry(
        &mut self,
        now: clock::Instant,
        key: request::Key,
        failure: &request::Failure,
    ) -> bool {
        let request = &self.requests[key];
        let hopeless = matches!(
            failure.cause,
            request::Cause::CallerGone | request::Cause::DeadlinePassed
        );
        if hopeless
            || failure.events_delivered > 0
            || !request.idempotent
            || now >= request.deadline
        {
            return false;
        }
        // A refusal in the engine's own protocol cost it next to nothing, and the placement is left alone for
        // a while, so it counts neither as an attempt nor against the budget.
        let free = matches!(
            failure.cause,
            request::Cause::NotLoaded | request::Cause::Draining | request::Cause::Overloaded
        );
        if free {
            return true;
        }
        let failures = &mut self.requests[key].failures;
        *failures += 1;
        *failures < ATTEMPTS && self.budget.try_retry(now)
    }

    fn refusal(&self, key: request::Key, failure: &request::Failure) -> request::Refusal {
        let request = &self.requests[key];
        let (code, message) = match failure.cause {
            request::Cause::Connect => (
                request::Code::BackendFailed,
                "no connection to a backend server",
            ),
            request::Cause::Disconnected => {
                (request::Code::BackendFailed, "the backend server broke off")
            }
            request::Cause::NotLoaded => (request::Code::BackendFailed, "the model was not loaded"),
            request::Cause::Draining => (request::Code::BackendFailed, "the backend server leaves"),
            request::Cause::Overloaded => {
                (request::Code::BackendFailed, "the backend server is full")
            }
            request::Cause::BackendFailed => {
                (request::Code::BackendFailed, "the backend server failed")
            }
            request::Cause::AnswerFlawed => {
                (request::Code::AnswerFlawed, "the answer was not whole")
            }
            request::Cause::DeadlinePassed | request::Cause::CallerGone => {
                (request::Code::DeadlinePassed, "no answer by the deadline")
            }
        };
        let refusal = request::Refusal::new(code, message).with_verdict(failure.verdict);
        let again = request.idempotent || failure.verdict == verdict::Verdict::NotRun;
        if again {
            return refusal.with_retry_after(FAILED_RETRY);
        }
        refusal
    }

    /// The final answer to a request that isn't served.
    pub(super) fn refuse(
        &mut self,
        now: clock::Instant,
        key: request::Key,
        refusal: request::Refusal,
        out: &mut Vec<effect::Effect>,
    ) {
        if !self.requests.contains_key(key) {
            return;
        }
        self.end_attempt(now, key, false);
        let outcome = claim::Outcome::Failed(refusal.verdict);
        out.push(effect::Effect::Refuse {
            request: key,
            refusal,
        });
        self.finish(key, Some(outcome), out);
    }

    /// Forgets a request that has its final answer; a claim that it holds is settled.
    pub(super) fn finish(
        &mut self,
        key: request::Key,
        outcome: Option<claim::Outcome>,
        out: &mut Vec<effect::Effect>,
    ) {
        let Some(request) = self.requests.remove(key) else {
            return;
        };
        if let Some(lane) = request.lane.and_then(|lane| self.lanes.get_mut(lane)) {
            lane.queue.remove(key);
        }
        if request.state == State::Queued {
            self.left_queue(&request.class);
        }
        self.give(request.holds);
        if let Some(claim) = request.claim {
            self.leave_claim(key, &claim, outcome, out);
        }
    }

    /// The caller has gone: its place is free. What runs on under a claim is settled as unknown.
    pub(super) fn abandoned(
        &mut self,
        now: clock::Instant,
        key: request::Key,
        out: &mut Vec<effect::Effect>,
    ) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        let lane = request.lane;
        let sent = matches!(request.state, State::Running { .. });
        let verdict = if sent {
            verdict::Verdict::MayHaveRun
        } else {
            verdict::Verdict::NotRun
        };
        self.end_attempt(now, key, false);
        self.finish(key, Some(claim::Outcome::Failed(verdict)), out);
        if let Some(lane) = lane {
            self.pump(now, lane, out);
        }
        self.pump_log(now, out);
    }
}
