//! Taking requests in: everything that can be said at once is said at once.

use std::time::Duration;

use smol_str::SmolStr;

use super::{Node, lanes, limits};
use crate::{claim, clock, document, effect, estimate, queue, request, server};

/// The class of requests to models that name none.
const DEFAULT_CLASS: &str = "interactive";

/// Until a caller should come back that met a full queue.
const QUEUE_RETRY: Duration = Duration::from_millis(500);

/// Until a caller should come back that met an instance which isn't ready or stops: another one answers.
const ELSEWHERE_RETRY: Duration = Duration::from_millis(100);

/// The longest time that is kept for an answer's way to the caller.
const LONGEST_MARGIN: Duration = Duration::from_millis(25);

/// The deadline by which a refusal at the door is handed out.
const REFUSED_BY: Duration = Duration::from_secs(5);

/// A request in progress.
#[derive(Debug)]
pub(super) struct Request {
    pub arrival: request::Arrival,
    pub class: SmolStr,
    pub arrived: clock::Instant,
    pub deadline: clock::Instant,
    pub lane: Option<lanes::Key>,
    pub idempotent: bool,
    /// The claim that it needs before it may run.
    pub claim: Option<claim::Key>,
    pub state: State,
    /// Whether it was sent at all.
    pub sent: bool,
    /// Attempts that failed, but for refusals that cost the backend server nothing.
    pub failures: u32,
    pub resumes: u32,
    /// What it counts against.
    pub holds: Vec<limits::Hold>,
}

/// How far a request is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum State {
    /// Not decided yet.
    New,
    /// Waits for credits of a shared limit.
    Crediting,
    /// Its claim waits to be read back.
    Claiming,
    /// Another request holds its key.
    Behind,
    /// In its lane's queue.
    Queued,
    /// Sent to a backend server.
    Running {
        /// Which.
        server: server::Key,
        /// When.
        since: clock::Instant,
    },
}

impl Node {
    /// Takes in a request. Its dispatch or refusal is among the effects, now or of a later step.
    pub fn handle_arrival(
        &mut self,
        now: clock::Instant,
        arrival: request::Arrival,
        out: &mut Vec<effect::Effect>,
    ) -> request::Admitted {
        let deadline = now.after(arrival.deadline.unwrap_or(REFUSED_BY));
        let key = self.requests.insert(Request {
            class: arrival.class.clone().unwrap_or_default(),
            arrival,
            arrived: now,
            deadline,
            lane: None,
            idempotent: false,
            claim: None,
            state: State::New,
            sent: false,
            failures: 0,
            resumes: 0,
            holds: Vec::new(),
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
        self.check_open(now)?;
        self.resolve(now, key)?;
        if self.take_limits(now, key, out) {
            self.proceed(now, key, out);
        }
        Ok(())
    }

    /// Goes on with a request that its limits let in.
    pub(super) fn proceed(
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
        self.check_estimate(now, key)?;
        self.enqueue(now, key, out)
    }

    fn check_open(&self, now: clock::Instant) -> Result<(), request::Refusal> {
        if self.refuses_new(now) {
            let refusal = request::Refusal::new(request::Code::Stopping, "this instance stops");
            return Err(refusal.with_retry_after(ELSEWHERE_RETRY));
        }
        if self.config.version == 0 {
            let message = "this instance holds no configuration yet";
            let refusal = request::Refusal::new(request::Code::NotReady, message);
            return Err(refusal.with_retry_after(ELSEWHERE_RETRY));
        }
        Ok(())
    }

    /// Finds tenant, lane, class, deadline and whether the request may be repeated.
    fn resolve(&mut self, now: clock::Instant, key: request::Key) -> Result<(), request::Refusal> {
        let document = self.config.document.clone();
        let arrival = self.requests[key].arrival.clone();
        if !document.tenants.contains_key(&arrival.tenant) {
            let message = format!("no tenant {} in the configuration", arrival.tenant);
            return Err(request::Refusal::new(request::Code::UnknownTenant, message));
        }
        let Some(lane) = self.lane(&arrival.target) else {
            let message = "no such model, adapter or path in the configuration";
            return Err(request::Refusal::new(request::Code::UnknownTarget, message));
        };
        let (class, idempotent, deduplicates) = nature(&document, &arrival);
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
        request.lane = Some(lane);
        request.deadline = now.after(allowed.saturating_sub(answer_margin(allowed)));
        request.idempotent = idempotent;
        request.claim = claim;
        Ok(())
    }

    /// Refuses at once what would be answered too late.
    fn check_estimate(
        &mut self,
        now: clock::Instant,
        key: request::Key,
    ) -> Result<(), request::Refusal> {
        let deadline = self.requests[key].deadline;
        let Some(lane) = self.requests[key].lane else {
            return Ok(());
        };
        let wait = self.expected_wait(now, lane, key);
        if now.after(wait) <= deadline {
            return Ok(());
        }
        let message = format!(
            "it would take {} ms, more than its deadline allows",
            wait.as_millis()
        );
        let cold = self.lanes[lane].item.is_some() && self.is_cold(now, lane);
        if cold {
            let lane = &mut self.lanes[lane];
            lane.interest_until = now.after(2 * lane.load.mean());
        }
        let refusal = request::Refusal::new(request::Code::TooLate, message);
        Err(refusal.with_retry_after(wait))
    }

    /// How long until a request has its whole answer.
    ///
    /// The backend servers' slots are shared with other instances, so while a queue stands here, what this
    /// instance has running is what it gets of them.
    fn expected_wait(
        &mut self,
        now: clock::Instant,
        lane: lanes::Key,
        key: request::Key,
    ) -> Duration {
        let cold = self.is_cold(now, lane);
        let replicas = u32::try_from(self.replicas(now, lane))
            .unwrap_or(u32::MAX)
            .max(1);
        let request = &self.requests[key];
        let tenant = &request.arrival.tenant;
        let share = self.share(tenant);
        let lane = &self.lanes[lane];
        let slots = replicas.saturating_mul(self.slots(&lane.group));
        let ahead = lane.queue.turns_before(tenant, share, request.deadline);
        let service = if lane.queue.is_empty() && lane.running < slots {
            lane.service.mean()
        } else if cold {
            lane.service.completion_time(ahead, slots)
        } else {
            lane.service
                .completion_time(ahead, lane.running.clamp(1, slots))
        };
        if !cold || lane.item.is_none() {
            return service;
        }
        let waited = lane
            .cold_since
            .map_or(Duration::ZERO, |since| now.since(since));
        remaining(&lane.load, waited) + service
    }

    /// A tenant's weight against others.
    fn share(&self, tenant: &SmolStr) -> u32 {
        let tenant = self.config.document.tenants.get(tenant);
        tenant.map_or(1, |tenant| tenant.share)
    }

    /// Puts a request into its lane's queue and sends it on when it can go.
    pub(super) fn enqueue(
        &mut self,
        now: clock::Instant,
        key: request::Key,
        out: &mut Vec<effect::Effect>,
    ) -> Result<(), request::Refusal> {
        let Some(lane) = self.requests[key].lane else {
            return Ok(());
        };
        let class = self.requests[key].class.clone();
        let limit = self.config.document.classes.get(&class);
        let limit = limit.map_or(usize::MAX, |class| class.queue);
        if self
            .waiting
            .get(&class)
            .is_some_and(|waiting| *waiting >= limit)
        {
            return Err(self.queue_full(lane));
        }
        let share = self.share(&self.requests[key].arrival.tenant);
        let request = &mut self.requests[key];
        let entry = queue::Entry {
            key,
            tenant: request.arrival.tenant.clone(),
            share,
            deadline: request.deadline,
        };
        if self.lanes[lane].queue.push(entry).is_err() {
            return Err(self.queue_full(lane));
        }
        self.requests[key].state = State::Queued;
        *self.waiting.entry(class).or_default() += 1;
        self.pump(now, lane, out);
        Ok(())
    }

    fn queue_full(&self, lane: lanes::Key) -> request::Refusal {
        let retry = self.lanes[lane].service.mean();
        let refusal = request::Refusal::new(request::Code::QueueFull, "too many wait already");
        refusal.with_retry_after(retry.max(QUEUE_RETRY))
    }

    /// A request of a class has left its queue.
    pub(super) fn left_queue(&mut self, class: &str) {
        if let Some(waiting) = self.waiting.get_mut(class) {
            *waiting = waiting.saturating_sub(1);
        }
    }
}

/// How long before the caller's deadline its final answer leaves, so that it is there in time and not just
/// sent in time.
fn answer_margin(allowed: Duration) -> Duration {
    LONGEST_MARGIN.min(allowed / 10)
}

/// What is left of a load that has gone on for a while; one that takes longer than expected may take as
/// long as it has again, up to half of the expected time.
fn remaining(load: &estimate::Estimate, waited: Duration) -> Duration {
    let expected = load.mean();
    expected
        .saturating_sub(waited)
        .max(waited.min(expected / 4))
}

/// Class, whether it is idempotent, and whether its service deduplicates by key.
fn nature(document: &document::Document, arrival: &request::Arrival) -> (SmolStr, bool, bool) {
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
