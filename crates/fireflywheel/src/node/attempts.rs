//! Attempts at backend servers: their results, retries and final answers.

use std::time::Duration;

use super::{Node, admission::State, queues};
use crate::{claim, clock, effect, request, server, verdict};

/// Maximum number of attempts at one request over all backend servers.
const MAX_ATTEMPTS: u32 = 4;

/// Maximum number of times that one stream is resumed.
const MAX_RESUMES: u32 = 2;

/// Delay before a caller should retry after a backend server failed.
const BACKEND_FAILURE_RETRY_DELAY: Duration = Duration::from_millis(500);

impl Node {
    /// Sends a request to a backend server.
    pub(super) fn dispatch(
        &mut self,
        now: clock::Instant,
        queue: queues::Key,
        request: request::Key,
        server: server::Key,
        out: &mut Vec<effect::Effect>,
    ) {
        let Some(queue) = self.queues.get_mut(queue) else {
            return;
        };
        let Some(group) = self.groups.get_mut(&queue.group) else {
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
        if !running.dispatched {
            running.dispatched = true;
            self.retry_budget.record_request(now);
        }
        queue.running += 1;
        group.table.request_started(now, server);
        self.record_dequeued(&class);
        out.push(effect::Effect::Dispatch {
            request,
            server: address,
        });
    }

    /// Handles the result of an attempt.
    pub(super) fn handle_attempt(
        &mut self,
        now: clock::Instant,
        key: request::Key,
        attempt: request::Attempt,
        out: &mut Vec<effect::Effect>,
    ) {
        match attempt {
            request::Attempt::Began => {}
            request::Attempt::Done(outcome) => self.handle_success(now, key, outcome, out),
            request::Attempt::Failed(failure) => self.handle_failure(now, key, &failure, out),
        }
    }

    fn handle_success(
        &mut self,
        now: clock::Instant,
        key: request::Key,
        outcome: claim::Outcome,
        out: &mut Vec<effect::Effect>,
    ) {
        let queue = self.requests.get(key).and_then(|request| request.queue);
        if let Some(since) = self.end_attempt(now, key, false)
            && let Some(queue) = queue.and_then(|queue| self.queues.get_mut(queue))
        {
            queue.service_time.observe(now.since(since));
            queue.finished = queue.finished.saturating_add(1);
            let idle = queue.item.is_some() && queue.running == 0 && queue.waiting.is_empty();
            if idle {
                self.expedite_usage_report(now);
            }
        }
        self.remove_request(key, Some(outcome), out);
        if let Some(queue) = queue {
            self.dispatch_waiting(now, queue, out);
        }
        self.append_next_batch(now, out);
    }

    /// Releases the slot of an attempt and returns the time at which the attempt was sent.
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
        let queue = self.queues.get_mut(request.queue?)?;
        queue.running = queue.running.saturating_sub(1);
        if let Some(group) = self.groups.get_mut(&queue.group) {
            group.table.request_ended(now, server, failed);
        }
        Some(since)
    }

    fn handle_failure(
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
        let Some(queue) = request.queue else { return };
        if self.may_resume(now, key, failure) {
            return self.resume(key, server, failure.events_delivered, out);
        }
        let counts_as_failure = matches!(
            failure.cause,
            request::Cause::Connect
                | request::Cause::Disconnected
                | request::Cause::BackendFailed
                | request::Cause::AnswerFlawed
        );
        self.end_attempt(now, key, counts_as_failure);
        self.update_server(now, queue, server, failure.cause);
        if self.may_retry(now, key, failure) && self.enqueue(now, key, out).is_ok() {
            return;
        }
        let refusal = self.failure_refusal(key, failure);
        self.refuse(now, key, refusal, out);
        self.dispatch_waiting(now, queue, out);
    }

    /// Updates what is known of a backend server by the cause of a failed attempt.
    fn update_server(
        &mut self,
        now: clock::Instant,
        queue: queues::Key,
        server: server::Key,
        cause: request::Cause,
    ) {
        let Some(group) = self.queues.get(queue).map(|queue| queue.group.clone()) else {
            return;
        };
        let sends_reports = self.is_engine_group(&group);
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
                    known.refused_as_leaving = (!sends_reports).then_some(now);
                }
            }
            request::Cause::NotLoaded => self.suspend_not_loaded(now, &address, queue),
            request::Cause::Overloaded => self.suspend_full(now, &address, queue),
            request::Cause::Connect
            | request::Cause::Disconnected
            | request::Cause::AnswerFlawed
            | request::Cause::BackendFailed
            | request::Cause::DeadlinePassed
            | request::Cause::CallerGone => {}
        }
    }

    /// Returns whether to ask the engine to resume an interrupted stream after the last delivered event.
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
            && request.resumes < MAX_RESUMES
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
        let group = request.queue.and_then(|queue| self.queues.get(queue));
        let group = group.and_then(|queue| self.groups.get(&queue.group));
        let Some(address) = group.and_then(|group| group.table.get(server)) else {
            return;
        };
        out.push(effect::Effect::Resume {
            request: key,
            server: address.address.clone(),
            from,
        });
    }

    /// Returns whether a request may be sent again. It may not once part of an answer went to the caller or
    /// if it isn't idempotent, and only within its deadline and the retry budget.
    fn may_retry(
        &mut self,
        now: clock::Instant,
        key: request::Key,
        failure: &request::Failure,
    ) -> bool {
        let request = &self.requests[key];
        let is_final = matches!(
            failure.cause,
            request::Cause::CallerGone | request::Cause::DeadlinePassed
        );
        if is_final
            || failure.events_delivered > 0
            || !request.idempotent
            || now >= request.deadline
        {
            return false;
        }
        // A refusal by the engine's protocol costs the engine next to nothing, and the placement receives
        // no requests for a while. It counts neither as an attempt nor against the retry budget.
        let is_cheap_refusal = matches!(
            failure.cause,
            request::Cause::NotLoaded | request::Cause::Draining | request::Cause::Overloaded
        );
        if is_cheap_refusal {
            return true;
        }
        let failed_attempts = &mut self.requests[key].failed_attempts;
        *failed_attempts += 1;
        *failed_attempts < MAX_ATTEMPTS && self.retry_budget.try_retry(now)
    }

    fn failure_refusal(&self, key: request::Key, failure: &request::Failure) -> request::Refusal {
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
        let retry_allowed = request.idempotent || failure.verdict == verdict::Verdict::NotRun;
        if retry_allowed {
            return refusal.with_retry_after(BACKEND_FAILURE_RETRY_DELAY);
        }
        refusal
    }

    /// Sends the refusal of a request as its final answer.
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
        self.remove_request(key, Some(outcome), out);
    }

    /// Removes a request that has its final answer, and settles the claim that it holds.
    pub(super) fn remove_request(
        &mut self,
        key: request::Key,
        outcome: Option<claim::Outcome>,
        out: &mut Vec<effect::Effect>,
    ) {
        let Some(request) = self.requests.remove(key) else {
            return;
        };
        if let Some(queue) = request.queue.and_then(|queue| self.queues.get_mut(queue)) {
            queue.waiting.remove(key);
        }
        if request.state == State::Queued {
            self.record_dequeued(&request.class);
        }
        self.release(request.reservations);
        if let Some(claim) = request.claim {
            self.release_claim(key, &claim, outcome, out);
        }
    }

    /// Handles a caller's disconnection and releases the slot of its request. The claim of a request that
    /// was already sent is settled with an unknown outcome, because it may still run.
    pub(super) fn handle_caller_gone(
        &mut self,
        now: clock::Instant,
        key: request::Key,
        out: &mut Vec<effect::Effect>,
    ) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        let queue = request.queue;
        let sent = matches!(request.state, State::Running { .. });
        let verdict = if sent {
            verdict::Verdict::MayHaveRun
        } else {
            verdict::Verdict::NotRun
        };
        self.end_attempt(now, key, false);
        self.remove_request(key, Some(claim::Outcome::Failed(verdict)), out);
        if let Some(queue) = queue {
            self.dispatch_waiting(now, queue, out);
        }
        self.append_next_batch(now, out);
    }
}
