//! Admission of requests. Whatever is known to fail is refused on arrival.

use std::time::Duration;

use smol_str::SmolStr;

use super::{Node, limits, queues};
use crate::{claim, clock, document, effect, estimate, queue, request, server};

/// The class of requests to models that name no class.
const DEFAULT_CLASS: &str = "interactive";

/// Minimum delay before a caller whose request met a full queue should retry.
const QUEUE_FULL_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Delay before a caller should retry whose request met an instance that isn't ready or is stopping. It is
/// short because another instance answers.
const OTHER_INSTANCE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum time reserved for sending an answer to the caller.
const MAX_ANSWER_MARGIN: Duration = Duration::from_millis(25);

/// Time within which a refusal is sent to a caller who named no deadline.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(5);

/// A request that has no final answer yet.
#[derive(Debug)]
pub(super) struct Request {
    pub arrival: request::Arrival,
    pub class: SmolStr,
    pub arrived: clock::Instant,
    pub deadline: clock::Instant,
    pub queue: Option<queues::Key>,
    pub idempotent: bool,
    /// The idempotency key that must be claimed before the request may run.
    pub claim: Option<claim::Key>,
    pub state: State,
    /// Whether the request was sent to any backend server.
    pub dispatched: bool,
    /// Number of failed attempts, without refusals that cost the backend server next to nothing.
    pub failed_attempts: u32,
    pub resumes: u32,
    /// The units of the limits of its tenant and class that are reserved for the request.
    pub reservations: Vec<limits::Reservation>,
}

/// The progress of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum State {
    /// Newly arrived, or about to be queued, claimed or answered.
    New,
    /// Waiting for credits of a limit that is shared between instances.
    WaitingForCredits,
    /// Waiting for its claim to be read back from the log.
    WaitingForClaim,
    /// Waiting for the outcome of another request that has claimed the same key.
    WaitingForHolder,
    /// Waiting in the queue of its target.
    Queued,
    /// Sent to a backend server.
    Running {
        /// The backend server.
        server: server::Key,
        /// The time of the dispatch.
        since: clock::Instant,
    },
}

impl Node {
    /// Handles a new request. Its dispatch or refusal is among the effects of this call or of a later step.
    pub fn handle_arrival(
        &mut self,
        now: clock::Instant,
        arrival: request::Arrival,
        out: &mut Vec<effect::Effect>,
    ) -> request::Admitted {
        let deadline = now.after(arrival.deadline.unwrap_or(REFUSAL_TIMEOUT));
        let key = self.requests.insert(Request {
            class: arrival.class.clone().unwrap_or_default(),
            arrival,
            arrived: now,
            deadline,
            queue: None,
            idempotent: false,
            claim: None,
            state: State::New,
            dispatched: false,
            failed_attempts: 0,
            resumes: 0,
            reservations: Vec::new(),
        });
        if let Err(refusal) = self.admit(now, key, out) {
            self.refuse(now, key, refusal, out);
        }
        let deadline = self
            .requests
            .get(key)
            .map_or(deadline, |request| request.deadline);
        request::Admitted { key, deadline }
    }

    fn admit(
        &mut self,
        now: clock::Instant,
        key: request::Key,
        out: &mut Vec<effect::Effect>,
    ) -> Result<(), request::Refusal> {
        self.check_accepting(now)?;
        self.resolve(now, key)?;
        if self.acquire_limits(now, key, out) {
            self.continue_admission(now, key, out);
        }
        Ok(())
    }

    /// Continues with a request once its limits admit it.
    pub(super) fn continue_admission(
        &mut self,
        now: clock::Instant,
        key: request::Key,
        out: &mut Vec<effect::Effect>,
    ) {
        if let Err(refusal) = self.claim_or_enqueue(now, key, out) {
            self.refuse(now, key, refusal, out);
        }
    }

    fn claim_or_enqueue(
        &mut self,
        now: clock::Instant,
        key: request::Key,
        out: &mut Vec<effect::Effect>,
    ) -> Result<(), request::Refusal> {
        if self.requests[key].claim.is_some() {
            return self.begin_claim(now, key, out);
        }
        self.check_expected_wait(now, key)?;
        self.enqueue(now, key, out)
    }

    fn check_accepting(&self, now: clock::Instant) -> Result<(), request::Refusal> {
        if self.refuses_requests(now) {
            let refusal = request::Refusal::new(request::Code::Stopping, "this instance stops");
            return Err(refusal.with_retry_after(OTHER_INSTANCE_RETRY_DELAY));
        }
        if self.config.version == 0 {
            let message = "this instance holds no configuration yet";
            let refusal = request::Refusal::new(request::Code::NotReady, message);
            return Err(refusal.with_retry_after(OTHER_INSTANCE_RETRY_DELAY));
        }
        Ok(())
    }

    /// Checks the tenant, finds the queue, class and deadline of a request, and determines whether it may
    /// be repeated.
    fn resolve(&mut self, now: clock::Instant, key: request::Key) -> Result<(), request::Refusal> {
        let document = self.config.document.clone();
        let arrival = self.requests[key].arrival.clone();
        if !document.tenants.contains_key(&arrival.tenant) {
            let message = format!("no tenant {} in the configuration", arrival.tenant);
            return Err(request::Refusal::new(request::Code::UnknownTenant, message));
        }
        let Some(queue) = self.queue_for(&arrival.target) else {
            let message = "no such model, adapter or path in the configuration";
            return Err(request::Refusal::new(request::Code::UnknownTarget, message));
        };
        let (class, idempotent, deduplicates) = classify(&document, &arrival);
        let Some(limits) = document.classes.get(&class) else {
            let message = format!("no class {class} in the configuration");
            return Err(request::Refusal::new(request::Code::UnknownClass, message));
        };
        let Some(allowed) = arrival.deadline.or(limits.deadline) else {
            let message = format!("name one in x-deadline-ms; class {class} has none of its own");
            return Err(request::Refusal::new(
                request::Code::MissingDeadline,
                message,
            ));
        };
        let claim = arrival.key.filter(|_| !idempotent && !deduplicates);
        let claim = claim.map(|text| claim::Key {
            tenant: arrival.tenant.clone(),
            text,
        });
        let request = &mut self.requests[key];
        request.class = class;
        request.queue = Some(queue);
        request.deadline = now.after(allowed.saturating_sub(answer_margin(allowed)));
        request.idempotent = idempotent;
        request.claim = claim;
        Ok(())
    }

    /// Refuses a request that would be answered after its deadline.
    fn check_expected_wait(
        &mut self,
        now: clock::Instant,
        key: request::Key,
    ) -> Result<(), request::Refusal> {
        let deadline = self.requests[key].deadline;
        let Some(queue) = self.requests[key].queue else {
            return Ok(());
        };
        let wait = self.expected_wait(now, queue, key);
        if now.after(wait) <= deadline {
            return Ok(());
        }
        let message = format!(
            "it would take {} ms, more than its deadline allows",
            wait.as_millis()
        );
        let cold = self.queues[queue].item.is_some() && self.is_cold(now, queue);
        if cold {
            let queue = &mut self.queues[queue];
            queue.retries_expected_until = now.after(2 * queue.load_time.mean());
        }
        let refusal = request::Refusal::new(request::Code::TooLate, message);
        Err(refusal.with_retry_after(wait))
    }

    /// Returns the expected time until a request has its full answer.
    ///
    /// The slots of the backend servers are shared with other instances. While requests are queued here,
    /// the number of slots available to this instance is therefore taken to be the number of its running
    /// requests.
    fn expected_wait(
        &mut self,
        now: clock::Instant,
        queue: queues::Key,
        key: request::Key,
    ) -> Duration {
        let cold = self.is_cold(now, queue);
        let replicas = u32::try_from(self.replica_count(now, queue))
            .unwrap_or(u32::MAX)
            .max(1);
        let request = &self.requests[key];
        let tenant = &request.arrival.tenant;
        let share = self.tenant_share(tenant);
        let queue = &self.queues[queue];
        let slots = replicas.saturating_mul(self.slots_per_server(&queue.group));
        let ahead = queue
            .waiting
            .requests_before(tenant, share, request.deadline);
        let service = if queue.waiting.is_empty() && queue.running < slots {
            queue.service_time.mean()
        } else if cold {
            queue.service_time.completion_time(ahead, slots)
        } else {
            queue
                .service_time
                .completion_time(ahead, queue.running.clamp(1, slots))
        };
        if !cold || queue.item.is_none() {
            return service;
        }
        let waited = queue
            .cold_since
            .map_or(Duration::ZERO, |since| now.since(since));
        remaining_load_time(&queue.load_time, waited) + service
    }

    /// Returns the scheduling weight of a tenant relative to other tenants.
    fn tenant_share(&self, tenant: &SmolStr) -> u32 {
        let tenant = self.config.document.tenants.get(tenant);
        tenant.map_or(1, |tenant| tenant.share)
    }

    /// Adds a request to the queue of its target and dispatches what can be dispatched.
    pub(super) fn enqueue(
        &mut self,
        now: clock::Instant,
        key: request::Key,
        out: &mut Vec<effect::Effect>,
    ) -> Result<(), request::Refusal> {
        let Some(queue) = self.requests[key].queue else {
            return Ok(());
        };
        let class = self.requests[key].class.clone();
        let limit = self.config.document.classes.get(&class);
        let limit = limit.map_or(usize::MAX, |class| class.queue);
        if self
            .queued_by_class
            .get(&class)
            .is_some_and(|waiting| *waiting >= limit)
        {
            return Err(self.queue_full_refusal(queue));
        }
        let share = self.tenant_share(&self.requests[key].arrival.tenant);
        let request = &mut self.requests[key];
        let entry = queue::Entry {
            key,
            tenant: request.arrival.tenant.clone(),
            share,
            deadline: request.deadline,
        };
        if self.queues[queue].waiting.push(entry).is_err() {
            return Err(self.queue_full_refusal(queue));
        }
        self.requests[key].state = State::Queued;
        *self.queued_by_class.entry(class).or_default() += 1;
        self.dispatch_waiting(now, queue, out);
        Ok(())
    }

    fn queue_full_refusal(&self, queue: queues::Key) -> request::Refusal {
        let retry = self.queues[queue].service_time.mean();
        let refusal = request::Refusal::new(request::Code::QueueFull, "too many wait already");
        refusal.with_retry_after(retry.max(QUEUE_FULL_RETRY_DELAY))
    }

    /// Updates the number of queued requests of a class after one has left its queue.
    pub(super) fn record_dequeued(&mut self, class: &str) {
        if let Some(waiting) = self.queued_by_class.get_mut(class) {
            *waiting = waiting.saturating_sub(1);
        }
    }
}

/// Returns how long before the caller's deadline the final answer has to be sent, so that it arrives in
/// time.
fn answer_margin(allowed: Duration) -> Duration {
    MAX_ANSWER_MARGIN.min(allowed / 10)
}

/// Returns the expected remaining time of a load that has already taken `waited`. A load that takes longer
/// than expected is assumed to take as long again as it has taken so far, up to a quarter of the expected
/// time.
fn remaining_load_time(load: &estimate::Estimate, waited: Duration) -> Duration {
    let expected = load.mean();
    expected
        .saturating_sub(waited)
        .max(waited.min(expected / 4))
}

/// Returns the class of a request, whether it is idempotent, and whether its service deduplicates by
/// idempotency key.
fn classify(document: &document::Document, arrival: &request::Arrival) -> (SmolStr, bool, bool) {
    match &arrival.target {
        request::Target::Model { .. } => {
            let class = arrival.class.clone();
            (
                class.unwrap_or_else(|| SmolStr::new_static(DEFAULT_CLASS)),
                true,
                false,
            )
        }
        request::Target::Path { method, path } => {
            let Some((_, route)) = document.route(path) else {
                return (SmolStr::default(), false, false);
            };
            let class = arrival.class.clone().unwrap_or_else(|| route.class.clone());
            let idempotent = route.idempotent.contains(method);
            let deduplicates = route.deduplicates && arrival.key.is_some();
            (class, idempotent || deduplicates, deduplicates)
        }
    }
}
