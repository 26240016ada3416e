//! One instance's state of one server's limit, and the decision whether it may send a request to that
//! server.

use std::time::Duration;

use smol_str::SmolStr;
use xxhash_rust::xxh3;

use super::{Notice, Outcome, Reply, Request};
use crate::clock;
use crate::fleet::frame;

/// How long a permit is valid. If permits were kept for longer, those of several seconds could be used at
/// once.
const PERMIT_TTL: Duration = Duration::from_millis(400);
/// How long an instance waits for the steward's answer.
const STEWARD_TIMEOUT: Duration = Duration::from_millis(600);
/// How long an instance waits for a queued permit past its expected time before it requests another one.
const QUEUED_PERMIT_TIMEOUT: Duration = Duration::from_millis(500);
/// The interval between two requests for a permit for the same server after the steward refused one.
const REFUSED_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// The share of a server's limit that all instances together use on average without a steward. It is below
/// one because random draws may coincide, and because a steward that only some instances have lost grants
/// the whole limit to the others.
const UNCOORDINATED_RATIO: f64 = 0.3;
/// The interval at which the steward is notified again of a limit that answers still announce.
const NOTICE_INTERVAL: Duration = Duration::from_secs(5);
/// How long a limit remains in force after it was last announced: a server that gets no requests cannot
/// announce that it has recovered.
const LIMIT_TTL: Duration = Duration::from_secs(30);
/// The lowest limit that is enforced, in requests per second: an occasional request shows whether the limit
/// is still in force.
const MIN_PER_SECOND: f64 = 0.05;
/// The longest expected wait.
const MAX_EXPECTED_WAIT: Duration = Duration::from_secs(30);

/// The state of an instance when it decides whether to send a request.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The current time.
    pub now: clock::Instant,
    /// This instance's name, which makes its random draws differ from those of others.
    pub instance: &'a str,
    /// The number of instances that share the limit.
    pub instances: usize,
    /// There is a steward that grants permits.
    pub has_steward: bool,
}

/// A limit with the time at which it became known.
#[derive(Clone, Copy, Debug)]
struct Limit {
    per_second: f64,
    known_since: clock::Instant,
    /// When an answer or the steward last stated the limit.
    confirmed_at: clock::Instant,
}

impl Limit {
    fn update(limit: Option<Self>, now: clock::Instant, per_second: f64) -> Self {
        Self {
            per_second,
            known_since: limit.map_or(now, |limit| limit.known_since),
            confirmed_at: now,
        }
    }
}

/// A pending request for a permit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Pending {
    /// Not yet sent to the steward; the waiting request can wait for this long.
    Unsent(Duration),
    /// Sent at this time, and not yet answered.
    Sent(clock::Instant),
    /// Queued by the steward; the permit is expected at this time.
    Queued(clock::Instant),
}

/// One server's limit at one instance. Without a limit, the gate admits every request.
#[derive(Clone, Debug, Default)]
pub struct Gate {
    /// The limit stated in answers to this instance.
    observed: Option<Limit>,
    /// The limit reported by the steward.
    reported: Option<Limit>,
    /// The steward has not been notified of the latest answers.
    notice_pending: bool,
    /// When the steward was last notified.
    notified_at: Option<clock::Instant>,
    pending_request: Option<Pending>,
    /// The expiry of the granted permit.
    permit_expiry: Option<clock::Instant>,
    /// When the steward refused a request, and when the permit would have been granted.
    refusal: Option<(clock::Instant, clock::Instant)>,
    /// The last round in which a draw was used.
    last_draw_round: Option<u64>,
}

impl Gate {
    /// Records the limit stated in an answer of the server. Returns whether the limit in force changed.
    pub fn observe_limit(&mut self, now: clock::Instant, per_second: f64) -> bool {
        let before = self.per_second();
        let changed = self.observed.map(|observed| observed.per_second) != Some(per_second);
        self.observed = Some(Limit::update(self.observed, now, per_second));
        let is_notice_due = self
            .notified_at
            .is_none_or(|at| now.since(at) >= NOTICE_INTERVAL);
        self.notice_pending |= changed || is_notice_due;
        before != self.per_second()
    }

    /// Processes an answer without a limit, to a request that was sent at `sent`. Returns whether a limit
    /// was lifted. An answer to a request that was sent before the limit became known here is ignored,
    /// because it may have been given before the server was overloaded.
    pub fn observe_no_limit(&mut self, sent: clock::Instant) -> bool {
        let limits = [self.observed, self.reported].into_iter().flatten();
        let Some(since) = limits.map(|limit| limit.known_since).min() else {
            return false;
        };
        if sent <= since {
            return false;
        }
        *self = Self {
            notice_pending: true,
            ..Self::default()
        };
        true
    }

    /// Updates the limit that the steward reports; `None` if it knows of none. Returns whether the limit in
    /// force changed.
    pub fn update_from_steward(&mut self, now: clock::Instant, per_second: Option<f64>) -> bool {
        let before = self.per_second();
        self.reported = per_second.map(|per_second| Limit::update(self.reported, now, per_second));
        // The steward was notified of this instance's answers, and later learned elsewhere that the limit
        // is lifted.
        if self.reported.is_none() && !self.notice_pending {
            self.observed = None;
        }
        before != self.per_second()
    }

    /// Resets the state of the exchange with the steward when a link is opened: the steward on it may know
    /// of no earlier notices.
    pub fn link_opened(&mut self) {
        self.notice_pending = self.is_limited();
        self.pending_request = None;
        self.refusal = None;
    }

    /// The requests per second that the server accepts from all instances; `None` if it has no limit.
    #[must_use]
    pub fn per_second(&self) -> Option<f64> {
        let limits = [self.observed, self.reported].into_iter().flatten();
        limits.map(|limit| limit.per_second).min_by(f64::total_cmp)
    }

    /// Whether the server has a limit.
    #[must_use]
    pub fn is_limited(&self) -> bool {
        self.observed.is_some() || self.reported.is_some()
    }

    /// Whether a request may be sent to the server now.
    #[must_use]
    pub fn is_open(&self, view: View<'_>) -> bool {
        let Some(per_second) = self.per_second() else {
            return true;
        };
        if self.has_permit(view.now) {
            return true;
        }
        let round = draw_round(view.now, per_second);
        self.is_uncoordinated(view) && self.last_draw_round != Some(round) && wins_draw(view, round)
    }

    /// Uses the permit or the draw for a request that is being sent.
    pub fn use_permit(&mut self, view: View<'_>) {
        let Some(per_second) = self.per_second() else {
            return;
        };
        if self.has_permit(view.now) {
            self.permit_expiry = None;
        } else {
            self.last_draw_round = Some(draw_round(view.now, per_second));
        }
    }

    /// Requests a permit for a request that can wait for `remaining`. Returns whether the steward is to be
    /// asked; it is not if a request is already pending.
    pub fn request_permit(&mut self, view: View<'_>, remaining: Duration) -> bool {
        self.drop_expired(view.now);
        let is_due = view.has_steward && self.is_limited() && !self.is_waiting(view.now);
        if is_due {
            self.pending_request = Some(Pending::Unsent(remaining));
        }
        is_due
    }

    /// Whether the steward was asked and need not be asked again yet.
    #[must_use]
    pub fn is_waiting(&self, now: clock::Instant) -> bool {
        let is_recent = |(at, _)| now.since(at) < REFUSED_RETRY_INTERVAL;
        match self.pending_request {
            None => self.refusal.is_some_and(is_recent),
            Some(Pending::Unsent(_)) => true,
            Some(Pending::Sent(at)) => now.since(at) < STEWARD_TIMEOUT,
            Some(Pending::Queued(expected_at)) => now < expected_at.after(QUEUED_PERMIT_TIMEOUT),
        }
    }

    /// The expected wait for a permit; `None` if the steward has not stated one.
    #[must_use]
    pub fn expected_wait(&self, now: clock::Instant) -> Option<Duration> {
        match (self.pending_request, self.refusal) {
            (Some(Pending::Queued(expected_at)), _) | (_, Some((_, expected_at))) => {
                Some(expected_at.since(now))
            }
            _ => None,
        }
    }

    /// Takes the notice of the limit that is due to the steward.
    pub fn take_notice(&mut self, now: clock::Instant, server: &SmolStr) -> Option<Notice> {
        if !std::mem::take(&mut self.notice_pending) {
            return None;
        }
        self.notified_at = Some(now);
        Some(Notice {
            server: server.clone(),
            per_second: self
                .observed
                .map_or_else(|| self.per_second(), |observed| Some(observed.per_second)),
        })
    }

    /// Takes the permit request that is to be sent to the steward.
    pub fn take_request(&mut self, now: clock::Instant, server: &SmolStr) -> Option<Request> {
        let Some(Pending::Unsent(remaining)) = self.pending_request else {
            return None;
        };
        self.pending_request = Some(Pending::Sent(now));
        Some(Request {
            server: server.clone(),
            max_wait_ms: frame::millis(remaining),
        })
    }

    /// Processes the steward's reply.
    pub fn handle_reply(&mut self, now: clock::Instant, reply: &Reply) {
        let expected_at =
            |wait_ms: u32| now.after(Duration::from_millis(wait_ms.into()).min(MAX_EXPECTED_WAIT));
        self.refusal = None;
        self.pending_request = match reply.outcome {
            Outcome::Granted => {
                self.permit_expiry = Some(now.after(PERMIT_TTL));
                None
            }
            Outcome::Queued(wait_ms) => Some(Pending::Queued(expected_at(wait_ms))),
            Outcome::Refused(wait_ms) => {
                self.refusal = Some((now, expected_at(wait_ms)));
                None
            }
        };
    }

    fn has_permit(&self, now: clock::Instant) -> bool {
        self.permit_expiry.is_some_and(|expiry| now < expiry)
    }

    /// Whether no steward grants permits. A steward that has answered, even with a refusal, counts as
    /// present.
    fn is_uncoordinated(&self, view: View<'_>) -> bool {
        let timed_out = matches!(
            self.pending_request,
            Some(Pending::Sent(at)) if view.now.since(at) >= STEWARD_TIMEOUT
        );
        !view.has_steward || timed_out
    }

    fn drop_expired(&mut self, now: clock::Instant) {
        let is_current = |limit: &Limit| now.since(limit.confirmed_at) < LIMIT_TTL;
        self.observed = self.observed.filter(is_current);
        self.reported = self.reported.filter(is_current);
    }
}

/// The round of draws at `now` for instances without a steward. In each round, one of all instances sends a
/// request on average.
fn draw_round(now: clock::Instant, per_second: f64) -> u64 {
    let rounds_per_second = per_second.max(MIN_PER_SECOND) * UNCOORDINATED_RATIO;
    (now.0 as f64 / 1000.0 * rounds_per_second) as u64
}

/// Whether this instance's draw allows it to send a request in a round.
fn wins_draw(view: View<'_>, round: u64) -> bool {
    // With the round as the hash's seed, one instance's draws would be repeated by another some rounds
    // later.
    let mut hasher = xxh3::Xxh3::new();
    hasher.update(view.instance.as_bytes());
    hasher.update(&round.to_le_bytes());
    hasher.digest() < u64::MAX / view.instances.max(1) as u64
}
