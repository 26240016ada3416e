//! Limits of tenants and classes that hold across instances.
//!
//! Half of a limit is divided: each instance may use its equal part without a word to anyone, so that it
//! never stands without any while a home changes. The other half is lent by the limit's home, one instance
//! chosen by rendezvous hash; see [`credit`]. A burst at one instance so gets far more than an equal part.

use std::{collections::BTreeMap, time::Duration};

use smol_str::{SmolStr, format_smolstr};

use super::{Node, admission::State};
use crate::{clock, credit, document, effect, rendezvous, request, wire};

/// How long a request waits for the home's answer.
const CREDIT_WAIT: Duration = Duration::from_millis(200);

/// Between two needs of one limit while it is in use: well within the lease.
const RENEW: Duration = Duration::from_secs(1);

/// Between two needs that were not answered as wished.
const ASK_AGAIN: Duration = Duration::from_millis(50);

/// Credits are held for this share more than is in use, so that most requests need not wait for an answer.
const HEADROOM_DIVISOR: u32 = 4;

/// Instances that are assumed until the platform's list was read.
const UNLISTED_SHARERS: u32 = 16;

/// Until a caller should come back that met a limit.
const RETRY: Duration = Duration::from_millis(500);

/// Which limit.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Name {
    /// `in_flight` of a tenant.
    Tenant(SmolStr),
    /// `in_flight` of a class.
    Class(SmolStr),
}

impl Name {
    /// How frames call it.
    fn text(&self) -> SmolStr {
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
        request::Refusal::new(code, message).with_retry_after(RETRY)
    }
}

/// What a request counts against.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Hold {
    name: Name,
    /// From this instance's own part, not from the credits.
    own: bool,
}

/// One limit as this instance uses it.
#[derive(Debug, Default)]
struct Side {
    borrower: credit::Borrower,
    own_used: u32,
    waiting: Vec<request::Key>,
    asked: Option<clock::Instant>,
    /// What the last need asked to hold.
    wished: u32,
}

/// All limits at this instance.
#[derive(Debug)]
pub(super) struct Limits {
    sides: BTreeMap<Name, Side>,
    homes: BTreeMap<Name, credit::Lender>,
    /// How many instances share the limits, as counted last.
    sharers: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            sides: BTreeMap::new(),
            homes: BTreeMap::new(),
            sharers: UNLISTED_SHARERS,
        }
    }
}

/// How a limit is split over the instances.
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
    /// Counts the instances that share the limits: every one that is remembered, dead ones too, or listed.
    ///
    /// If the living were counted, those who have noticed a death or a return and those who haven't would use
    /// parts of different sizes, and their sum could pass the limit; so could the two sides of a partition.
    /// A process that has just started knows nobody, and must not take itself for the only one. What a new
    /// name adds is noticed by all within the time of gossip; until then the sum may be above the limit by
    /// its one part.
    pub(super) fn count_sharers(&mut self) {
        let known = u32::try_from(self.membership.members().count()).unwrap_or(u32::MAX);
        self.limits.sharers = known.max(self.routers_listed.unwrap_or(UNLISTED_SHARERS));
    }

    fn split(&self, name: &Name) -> Split {
        Split::new(name.limit(&self.config.document), self.limits.sharers)
    }

    /// Counts a request against its tenant's and its class's limit; `false` while it has to wait for credits.
    pub(super) fn take_limits(
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
            match self.take(now, &name) {
                Some(hold) => self.requests[key].holds.push(hold),
                None => {
                    self.give_back(key);
                    self.requests[key].state = State::Crediting;
                    let side = self.limits.sides.entry(name.clone()).or_default();
                    side.waiting.push(key);
                    self.ask_credits(now, &name, out);
                    return false;
                }
            }
        }
        true
    }

    fn take(&mut self, now: clock::Instant, name: &Name) -> Option<Hold> {
        let own = self.split(name).own;
        let side = self.limits.sides.entry(name.clone()).or_default();
        let hold = |own| Hold {
            name: name.clone(),
            own,
        };
        if side.own_used < own {
            side.own_used += 1;
            return Some(hold(true));
        }
        side.borrower.try_acquire(now).then(|| hold(false))
    }

    /// Gives back what a request counts against.
    pub(super) fn give_back(&mut self, key: request::Key) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let holds = std::mem::take(&mut request.holds);
        self.give(holds);
    }

    /// Gives holds back.
    pub(super) fn give(&mut self, holds: Vec<Hold>) {
        for hold in holds {
            let Some(side) = self.limits.sides.get_mut(&hold.name) else {
                continue;
            };
            if hold.own {
                side.own_used = side.own_used.saturating_sub(1);
            } else {
                side.borrower.release();
            }
        }
    }

    fn home(&self, name: &Name) -> Option<SmolStr> {
        let alive = self.membership.alive().map(SmolStr::as_str);
        rendezvous::first(&name.text(), alive).map(SmolStr::new)
    }

    /// Asks the home for what is in use, what waits, and some headroom.
    fn ask_credits(&mut self, now: clock::Instant, name: &Name, out: &mut Vec<effect::Effect>) {
        let Some(home) = self.home(name) else { return };
        let Some(side) = self.limits.sides.get_mut(name) else {
            return;
        };
        if side.asked.is_some_and(|asked| now.since(asked) < ASK_AGAIN) {
            return;
        }
        side.asked = Some(now);
        let waiting = u32::try_from(side.waiting.len()).unwrap_or(u32::MAX);
        let used = side.borrower.in_use().saturating_add(waiting);
        let need = side
            .borrower
            .request_credits(now, used.saturating_add(used / HEADROOM_DIVISOR));
        side.wished = need.hold;
        let frame = wire::Frame::Credit(wire::Credit::Need {
            limit: name.text(),
            hold: need.hold,
            number: need.number,
        });
        self.tell(now, home, frame, out);
    }

    /// A frame about a limit.
    pub(super) fn credit(
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
            } => self.lend(now, from, &limit, credit::Need { hold, number }, out),
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
                self.lent(now, &limit, lend, out);
            }
        }
    }

    /// Answers a need if this instance is the limit's home as far as it knows.
    fn lend(
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
        if self.home(&name).as_ref() != Some(&self.options.me.instance) {
            return;
        }
        let amount = self.split(&name).lent;
        let lender = self
            .limits
            .homes
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
        self.tell(now, from.instance.clone(), frame, out);
    }

    /// The home has answered: those who wait go on, or hear that the limit is reached.
    fn lent(
        &mut self,
        now: clock::Instant,
        limit: &SmolStr,
        lend: credit::Lend,
        out: &mut Vec<effect::Effect>,
    ) {
        let Some(name) = Name::parse(limit) else {
            return;
        };
        let Some(side) = self.limits.sides.get_mut(&name) else {
            return;
        };
        if !side.borrower.handle_lend(lend) {
            return;
        }
        let reached = lend.hold < side.wished;
        side.asked = side.asked.filter(|_| reached);
        for key in std::mem::take(&mut side.waiting) {
            self.retry_limits(now, key, &name, reached, out);
        }
    }

    /// Lets a request in that waited for credits. One that still finds none is refused when the home gave
    /// less than was wished; else more came since the home was asked, and it is asked again.
    fn retry_limits(
        &mut self,
        now: clock::Instant,
        key: request::Key,
        name: &Name,
        reached: bool,
        out: &mut Vec<effect::Effect>,
    ) {
        let waits = self
            .requests
            .get(key)
            .is_some_and(|request| request.state == State::Crediting);
        if !waits {
            return;
        }
        if self.take_limits(now, key, out) {
            self.proceed(now, key, out);
        } else if reached {
            self.refuse(now, key, name.refusal(), out);
        }
    }

    /// The homes of the limits of which this instance borrows.
    pub(super) fn homes_in_use(&self) -> Vec<SmolStr> {
        let sides = self.limits.sides.iter();
        let borrowed = sides.filter(|(_, side)| side.asked.is_some());
        borrowed.filter_map(|(name, _)| self.home(name)).collect()
    }

    /// Renews what is in use, and refuses those who waited too long.
    pub(super) fn tick_limits(&mut self, now: clock::Instant, out: &mut Vec<effect::Effect>) {
        let names: Vec<Name> = self.limits.sides.keys().cloned().collect();
        for name in names {
            self.retry_waiting(now, &name, out);
            self.refuse_unlent(now, &name, out);
            self.renew(now, &name, out);
        }
    }

    /// Forgets what it lent as the home of limits that have another home now.
    pub(super) fn forget_moved_homes(&mut self) {
        let homes: Vec<Name> = self.limits.homes.keys().cloned().collect();
        for name in homes {
            if self.home(&name).as_ref() != Some(&self.options.me.instance) {
                self.limits.homes.remove(&name);
            }
        }
    }

    /// This instance's own part may have grown, or some of it was given back.
    fn retry_waiting(&mut self, now: clock::Instant, name: &Name, out: &mut Vec<effect::Effect>) {
        let own = self.split(name).own;
        let Some(side) = self.limits.sides.get_mut(name) else {
            return;
        };
        if side.waiting.is_empty() || side.own_used >= own {
            return;
        }
        for key in std::mem::take(&mut side.waiting) {
            self.retry_limits(now, key, name, false, out);
        }
    }

    fn refuse_unlent(&mut self, now: clock::Instant, name: &Name, out: &mut Vec<effect::Effect>) {
        let Some(side) = self.limits.sides.get_mut(name) else {
            return;
        };
        let requests = &self.requests;
        let (late, waiting) = std::mem::take(&mut side.waiting)
            .into_iter()
            .filter(|key| requests.contains_key(*key))
            .partition(|key| now.since(requests[*key].arrived) >= CREDIT_WAIT);
        side.waiting = waiting;
        for key in late {
            self.refuse(now, key, name.refusal(), out);
        }
    }

    fn renew(&mut self, now: clock::Instant, name: &Name, out: &mut Vec<effect::Effect>) {
        let Some(side) = self.limits.sides.get(name) else {
            return;
        };
        let held = side.borrower.held(now);
        let wants = side.borrower.in_use() > 0 || held > 0 || !side.waiting.is_empty();
        let due = side.asked.is_none_or(|asked| now.since(asked) >= RENEW);
        if wants && due {
            self.ask_credits(now, name, out);
        }
    }
}
