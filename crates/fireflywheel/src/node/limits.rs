//! Limits of tenants and classes that apply across instances.
//!
//! Half of a limit is divided equally: each instance may use its part without asking, so that it can always
//! admit some requests while the limit's lender changes. The other half is lent by the limit's lender, an
//! instance selected by rendezvous hashing; see [`credit`]. This gives an instance with a burst far more
//! than an equal part.

use std::{collections::BTreeMap, time::Duration};

use smol_str::{SmolStr, format_smolstr};

use super::{Node, admission::State};
use crate::{clock, credit, document, effect, rendezvous, request, wire};

/// Time for which a request waits for credits from the limit's lender.
const CREDIT_TIMEOUT: Duration = Duration::from_millis(200);

/// Maximum interval between two requests for credits while a limit is in use. It is well within the lease.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum interval between two requests for credits while the last one is unanswered or was not granted in
/// full.
const MIN_REQUEST_INTERVAL: Duration = Duration::from_millis(50);

/// Divisor that gives the requested headroom from the credits needed, so that most requests don't have to
/// wait for the lender's answer.
const HEADROOM_DIVISOR: u32 = 4;

/// Number of instances that is assumed until the platform's list was read.
const ASSUMED_INSTANCES: u32 = 16;

/// Delay before a caller should retry whose request met a limit.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Identifies a limit.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Name {
    /// The setting `in_flight` of a tenant.
    Tenant(SmolStr),
    /// The setting `in_flight` of a class.
    Class(SmolStr),
}

impl Name {
    /// Returns the name of the limit in frames.
    fn to_text(&self) -> SmolStr {
        match self {
            Self::Tenant(name) => format_smolstr!("tenant/{name}"),
            Self::Class(name) => format_smolstr!("class/{name}"),
        }
    }

    fn parse(text: &str) -> Option<Self> {
        let (kind, name) = text.split_once('/')?;
        match kind {
            "tenant" => Some(Self::Tenant(SmolStr::new(name))),
            "class" => Some(Self::Class(SmolStr::new(name))),
            _ => None,
        }
    }

    fn limit(&self, document: &document::Document) -> u32 {
        match self {
            Self::Tenant(name) => document
                .tenants
                .get(name)
                .map_or(0, |tenant| tenant.in_flight),
            Self::Class(name) => document
                .classes
                .get(name)
                .map_or(0, |class| class.in_flight),
        }
    }

    fn refusal(&self) -> request::Refusal {
        let (code, message) = match self {
            Self::Tenant(name) => (
                request::Code::TenantLimit,
                format_smolstr!("tenant {name} has as many requests in progress as allowed"),
            ),
            Self::Class(name) => (
                request::Code::ClassLimit,
                format_smolstr!("class {name} has as many requests in progress as allowed"),
            ),
        };
        request::Refusal::new(code, message).with_retry_after(RETRY_DELAY)
    }
}

/// A unit of a limit that is reserved for a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Reservation {
    name: Name,
    /// Whether the unit belongs to this instance's own part and not to its credits.
    from_own_part: bool,
}

/// This instance's use of one limit.
#[derive(Debug, Default)]
struct LocalUse {
    borrower: credit::Borrower,
    own_used: u32,
    waiting: Vec<request::Key>,
    requested_at: Option<clock::Instant>,
    /// Number of credits requested last.
    requested_credits: u32,
}

/// The state of all limits at this instance.
#[derive(Debug)]
pub(super) struct Limits {
    local_uses: BTreeMap<Name, LocalUse>,
    lenders: BTreeMap<Name, credit::Lender>,
    /// Number of instances that share the limits, as counted last.
    instances: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            local_uses: BTreeMap::new(),
            lenders: BTreeMap::new(),
            instances: ASSUMED_INSTANCES,
        }
    }
}

/// The division of a limit between the instances.
struct Split {
    own: u32,
    lent: u32,
}

impl Split {
    fn new(limit: u32, instances: u32) -> Self {
        if instances <= 1 {
            return Self {
                own: limit,
                lent: 0,
            };
        }
        let own = limit / 2 / instances;
        Self {
            own,
            lent: limit - own * instances,
        }
    }
}

impl Node {
    /// Counts the instances that share the limits: the members that are remembered, including dead ones, or
    /// the listed instances if these are more.
    ///
    /// If only living instances were counted, those that have noticed a death or a return and those that
    /// haven't would use parts of different sizes, whose sum could exceed the limit. The same would apply
    /// to the two sides of a partition. A process that has just started knows no other instance, and must
    /// not assume that it is the only one. All instances learn of a new name within the time that gossip
    /// takes. Until then the sum may exceed the limit by the part of the new instance.
    pub(super) fn count_instances(&mut self) {
        let known = u32::try_from(self.membership.members().count()).unwrap_or(u32::MAX);
        self.limits.instances = known.max(self.listed_instances.unwrap_or(ASSUMED_INSTANCES));
    }

    fn split(&self, name: &Name) -> Split {
        Split::new(name.limit(&self.config.document), self.limits.instances)
    }

    /// Reserves a unit of the limits of its tenant and its class for a request. Returns `false` if the request
    /// has to wait for credits.
    pub(super) fn acquire_limits(
        &mut self,
        now: clock::Instant,
        key: request::Key,
        out: &mut Vec<effect::Effect>,
    ) -> bool {
        let request = &self.requests[key];
        let names = [
            Name::Tenant(request.arrival.tenant.clone()),
            Name::Class(request.class.clone()),
        ];
        for name in names {
            match self.acquire(now, &name) {
                Some(reservation) => self.requests[key].reservations.push(reservation),
                None => {
                    self.release_request(key);
                    self.requests[key].state = State::WaitingForCredits;
                    let local = self.limits.local_uses.entry(name.clone()).or_default();
                    local.waiting.push(key);
                    self.request_credits(now, &name, out);
                    return false;
                }
            }
        }
        true
    }

    fn acquire(&mut self, now: clock::Instant, name: &Name) -> Option<Reservation> {
        let own = self.split(name).own;
        let local = self.limits.local_uses.entry(name.clone()).or_default();
        let reserve = |from_own_part| Reservation {
            name: name.clone(),
            from_own_part,
        };
        if local.own_used < own {
            local.own_used += 1;
            return Some(reserve(true));
        }
        local.borrower.try_acquire(now).then(|| reserve(false))
    }

    /// Releases what is reserved for a request.
    pub(super) fn release_request(&mut self, key: request::Key) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let reservations = std::mem::take(&mut request.reservations);
        self.release(reservations);
    }

    /// Releases reserved units of limits.
    pub(super) fn release(&mut self, reservations: Vec<Reservation>) {
        for reservation in reservations {
            let Some(local) = self.limits.local_uses.get_mut(&reservation.name) else {
                continue;
            };
            if reservation.from_own_part {
                local.own_used = local.own_used.saturating_sub(1);
            } else {
                local.borrower.release();
            }
        }
    }

    fn lender(&self, name: &Name) -> Option<SmolStr> {
        let alive = self.membership.alive().map(SmolStr::as_str);
        rendezvous::select(&name.to_text(), alive).map(SmolStr::new)
    }

    /// Requests credits from the limit's lender for the requests in progress and waiting, with some headroom.
    fn request_credits(&mut self, now: clock::Instant, name: &Name, out: &mut Vec<effect::Effect>) {
        let Some(lender) = self.lender(name) else {
            return;
        };
        let Some(local) = self.limits.local_uses.get_mut(name) else {
            return;
        };
        if local
            .requested_at
            .is_some_and(|requested_at| now.since(requested_at) < MIN_REQUEST_INTERVAL)
        {
            return;
        }
        local.requested_at = Some(now);
        let waiting = u32::try_from(local.waiting.len()).unwrap_or(u32::MAX);
        let used = local.borrower.in_use().saturating_add(waiting);
        let need = local
            .borrower
            .request_credits(now, used.saturating_add(used / HEADROOM_DIVISOR));
        local.requested_credits = need.hold;
        let frame = wire::Frame::Credit(wire::Credit::Need {
            limit: name.to_text(),
            hold: need.hold,
            number: need.number,
        });
        self.send_frame(now, lender, frame, out);
    }

    /// Handles a frame about credits.
    pub(super) fn handle_credit(
        &mut self,
        now: clock::Instant,
        from: &crate::record::Incarnation,
        frame: wire::Credit,
        out: &mut Vec<effect::Effect>,
    ) {
        match frame {
            wire::Credit::Need {
                limit,
                hold,
                number,
            } => self.handle_need(now, from, &limit, credit::Need { hold, number }, out),
            wire::Credit::Lend {
                limit,
                hold,
                number,
                lease_ms,
            } => {
                let lease = Duration::from_millis(lease_ms);
                let lend = credit::Lend {
                    hold,
                    number,
                    lease,
                };
                self.handle_lend(now, &limit, lend, out);
            }
        }
    }

    /// Answers a request for credits if this instance considers itself the limit's lender.
    fn handle_need(
        &mut self,
        now: clock::Instant,
        from: &crate::record::Incarnation,
        limit: &SmolStr,
        need: credit::Need,
        out: &mut Vec<effect::Effect>,
    ) {
        let Some(name) = Name::parse(limit) else {
            return;
        };
        if self.lender(&name).as_ref() != Some(&self.options.incarnation.instance) {
            return;
        }
        let amount = self.split(&name).lent;
        let lender = self
            .limits
            .lenders
            .entry(name)
            .or_insert_with(|| credit::Lender::new(now, amount, credit::Options::default()));
        lender.set_limit(amount);
        let Some(lend) = lender.handle_need(now, from, need) else {
            return;
        };
        let frame = wire::Frame::Credit(wire::Credit::Lend {
            limit: limit.clone(),
            hold: lend.hold,
            number: lend.number,
            lease_ms: clock::millis(lend.lease),
        });
        self.send_frame(now, from.instance.clone(), frame, out);
    }

    /// Handles the answer of the limit's lender: waiting requests continue, or are refused if the limit is
    /// reached.
    fn handle_lend(
        &mut self,
        now: clock::Instant,
        limit: &SmolStr,
        lend: credit::Lend,
        out: &mut Vec<effect::Effect>,
    ) {
        let Some(name) = Name::parse(limit) else {
            return;
        };
        let Some(local) = self.limits.local_uses.get_mut(&name) else {
            return;
        };
        if !local.borrower.handle_lend(lend) {
            return;
        }
        let limit_reached = lend.hold < local.requested_credits;
        local.requested_at = local.requested_at.filter(|_| limit_reached);
        for key in std::mem::take(&mut local.waiting) {
            self.retry_admission(now, key, &name, limit_reached, out);
        }
    }

    /// Retries the admission of a request that waited for credits. If there are still none, it is refused
    /// when the lender granted less than was requested. Otherwise more requests have arrived since, and the
    /// lender is asked again.
    fn retry_admission(
        &mut self,
        now: clock::Instant,
        key: request::Key,
        name: &Name,
        limit_reached: bool,
        out: &mut Vec<effect::Effect>,
    ) {
        let waits = self
            .requests
            .get(key)
            .is_some_and(|request| request.state == State::WaitingForCredits);
        if !waits {
            return;
        }
        if self.acquire_limits(now, key, out) {
            self.continue_admission(now, key, out);
        } else if limit_reached {
            self.refuse(now, key, name.refusal(), out);
        }
    }

    /// Returns the lenders of the limits from which this instance borrows credits.
    pub(super) fn lenders_in_use(&self) -> Vec<SmolStr> {
        let local_uses = self.limits.local_uses.iter();
        let borrowed = local_uses.filter(|(_, local)| local.requested_at.is_some());
        borrowed.filter_map(|(name, _)| self.lender(name)).collect()
    }

    /// Renews the credits in use, and refuses requests that waited too long for credits.
    pub(super) fn tick_limits(&mut self, now: clock::Instant, out: &mut Vec<effect::Effect>) {
        let names: Vec<Name> = self.limits.local_uses.keys().cloned().collect();
        for name in names {
            self.retry_all_waiting(now, &name, out);
            self.refuse_timed_out(now, &name, out);
            self.renew_credits(now, &name, out);
        }
    }

    /// Removes the credit state of limits whose lender is another instance now.
    pub(super) fn remove_moved_lenders(&mut self) {
        let names: Vec<Name> = self.limits.lenders.keys().cloned().collect();
        for name in names {
            if self.lender(&name).as_ref() != Some(&self.options.incarnation.instance) {
                self.limits.lenders.remove(&name);
            }
        }
    }

    /// Retries waiting requests when this instance's own part has grown or some of it was released.
    fn retry_all_waiting(
        &mut self,
        now: clock::Instant,
        name: &Name,
        out: &mut Vec<effect::Effect>,
    ) {
        let own = self.split(name).own;
        let Some(local) = self.limits.local_uses.get_mut(name) else {
            return;
        };
        if local.waiting.is_empty() || local.own_used >= own {
            return;
        }
        for key in std::mem::take(&mut local.waiting) {
            self.retry_admission(now, key, name, false, out);
        }
    }

    fn refuse_timed_out(
        &mut self,
        now: clock::Instant,
        name: &Name,
        out: &mut Vec<effect::Effect>,
    ) {
        let Some(local) = self.limits.local_uses.get_mut(name) else {
            return;
        };
        let requests = &self.requests;
        let (timed_out, waiting) = std::mem::take(&mut local.waiting)
            .into_iter()
            .filter(|key| requests.contains_key(*key))
            .partition(|key| now.since(requests[*key].arrived) >= CREDIT_TIMEOUT);
        local.waiting = waiting;
        for key in timed_out {
            self.refuse(now, key, name.refusal(), out);
        }
    }

    fn renew_credits(&mut self, now: clock::Instant, name: &Name, out: &mut Vec<effect::Effect>) {
        let Some(local) = self.limits.local_uses.get(name) else {
            return;
        };
        let held = local.borrower.held(now);
        let needs_renewal = local.borrower.in_use() > 0 || held > 0 || !local.waiting.is_empty();
        let due = local
            .requested_at
            .is_none_or(|requested_at| now.since(requested_at) >= RENEWAL_INTERVAL);
        if needs_renewal && due {
            self.request_credits(now, name, out);
        }
    }
}
