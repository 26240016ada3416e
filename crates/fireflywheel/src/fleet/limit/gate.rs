//! What one instance knows of one server's limit, and whether it may send a request there.

use std::time::Duration;

use smol_str::SmolStr;
use xxhash_rust::xxh3;

use super::{Notice, Outcome, Reply, Request};
use crate::clock;
use crate::fleet::frame;

/// A permit is used within this time or lapses: kept for longer, permits of several seconds could be used at once.
const PERMIT_LASTS: Duration = Duration::from_millis(400);
/// A steward that doesn't answer for so long isn't waited for.
const STEWARD_SILENT: Duration = Duration::from_millis(600);
/// A turn that is this late isn't waited for any more, and asked for again.
const TURN_LATE: Duration = Duration::from_millis(500);
/// Time between two asks for the same server that the steward refuses.
const REFUSED_PAUSE: Duration = Duration::from_millis(100);
/// Without a steward all instances together send this share of what the server takes, on the average: draws may fall together, and a
/// steward that only some have lost grants the whole limit to the others.
const ALONE: f64 = 0.3;
/// The steward is told again of a limit that answers go on naming.
const RETELL: Duration = Duration::from_secs(5);
/// A limit that nothing names any more is forgotten after this: a server that gets no requests can't say that it is well.
const FORGOTTEN: Duration = Duration::from_secs(30);
/// A limit below this counts as this, in requests a second: now and then a request shows whether it still holds.
const LEAST: f64 = 0.05;
/// The longest wait that is expected.
const LONGEST_WAIT: Duration = Duration::from_secs(30);

/// What an instance knows when it asks whether it may send.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The time.
    pub now: clock::Instant,
    /// This instance's name: each draws its own numbers.
    pub instance: &'a str,
    /// Instances that share the limit.
    pub instances: usize,
    /// There is a steward that grants permits.
    pub steward: bool,
}

/// A limit as known here.
#[derive(Clone, Copy, Debug)]
struct Known {
    per_second: f64,
    since: clock::Instant,
    /// When an answer or the steward last named it.
    confirmed: clock::Instant,
}

impl Known {
    fn update(known: Option<Self>, now: clock::Instant, per_second: f64) -> Self {
        Self {
            per_second,
            since: known.map_or(now, |known| known.since),
            confirmed: now,
        }
    }
}

/// An ask that was made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Pending {
    /// To be told to the steward; how long its request can wait.
    Untold(Duration),
    /// Told, without an answer yet.
    Told(clock::Instant),
    /// Its turn is expected at this time.
    Queued(clock::Instant),
}

/// One server's limit at one instance. Without a limit it lets everything through.
#[derive(Clone, Debug, Default)]
pub struct Gate {
    /// By answers that came here.
    own: Option<Known>,
    /// By the steward.
    told: Option<Known>,
    /// The steward hasn't heard yet what answers said.
    untold: bool,
    /// When it was told last.
    told_at: Option<clock::Instant>,
    pending: Option<Pending>,
    /// When a permit lapses.
    permit: Option<clock::Instant>,
    /// The steward refused, and when a turn would have come.
    refused: Option<(clock::Instant, clock::Instant)>,
    /// The last round whose draw was used.
    drawn: Option<u64>,
}

impl Gate {
    /// An answer of the server names a limit. Returns whether that is news.
    pub fn observe_limit(&mut self, now: clock::Instant, per_second: f64) -> bool {
        let before = self.per_second();
        let changed = self.own.map(|own| own.per_second) != Some(per_second);
        self.own = Some(Known::update(self.own, now, per_second));
        let due = self.told_at.is_none_or(|at| now.since(at) >= RETELL);
        self.untold |= changed || due;
        before != self.per_second()
    }

    /// An answer of the server to a request that was sent at `sent` names no limit. Returns whether that is news. One that was sent before
    /// the limit was known here may have been answered before the server was overloaded.
    pub fn observe_no_limit(&mut self, sent: clock::Instant) -> bool {
        let since = [self.own, self.told].into_iter().flatten();
        let Some(since) = since.map(|known| known.since).min() else {
            return false;
        };
        if sent <= since {
            return false;
        }
        *self = Self {
            untold: true,
            ..Self::default()
        };
        true
    }

    /// The steward tells the server's limit, or that it knows of none. Returns whether that is news.
    pub fn update_from_steward(&mut self, now: clock::Instant, per_second: Option<f64>) -> bool {
        let before = self.per_second();
        self.told = per_second.map(|per_second| Known::update(self.told, now, per_second));
        // It has heard what answers said here, and later from elsewhere that the limit is lifted.
        if self.told.is_none() && !self.untold {
            self.own = None;
        }
        before != self.per_second()
    }

    /// A link to a steward was made, which knows nothing of what was told before.
    pub fn link_opened(&mut self) {
        self.untold = self.is_limited();
        self.pending = None;
        self.refused = None;
    }

    /// Requests a second that the server takes from all instances, if it names a limit.
    #[must_use]
    pub fn per_second(&self) -> Option<f64> {
        let known = [self.own, self.told].into_iter().flatten();
        known.map(|known| known.per_second).min_by(f64::total_cmp)
    }

    /// Whether the server names a limit.
    #[must_use]
    pub fn is_limited(&self) -> bool {
        self.own.is_some() || self.told.is_some()
    }

    /// Whether a request may go there now.
    #[must_use]
    pub fn is_open(&self, view: View<'_>) -> bool {
        let Some(per_second) = self.per_second() else {
            return true;
        };
        if self.has_permit(view.now) {
            return true;
        }
        let round = round_at(view.now, per_second);
        self.is_alone(view) && self.drawn != Some(round) && draws(view, round)
    }

    /// A request goes there.
    pub fn use_permit(&mut self, view: View<'_>) {
        let Some(per_second) = self.per_second() else {
            return;
        };
        if self.has_permit(view.now) {
            self.permit = None;
        } else {
            self.drawn = Some(round_at(view.now, per_second));
        }
    }

    /// A request that can wait for `left` would go there. Returns whether the steward is to be asked, and wasn't a moment ago.
    pub fn request_permit(&mut self, view: View<'_>, left: Duration) -> bool {
        self.forget(view.now);
        let asks = view.steward && self.is_limited() && !self.is_waiting(view.now);
        if asks {
            self.pending = Some(Pending::Untold(left));
        }
        asks
    }

    /// Whether the steward was asked, and need not be asked again yet.
    #[must_use]
    pub fn is_waiting(&self, now: clock::Instant) -> bool {
        let refused = |(at, _)| now.since(at) < REFUSED_PAUSE;
        match self.pending {
            None => self.refused.is_some_and(refused),
            Some(Pending::Untold(_)) => true,
            Some(Pending::Told(at)) => now.since(at) < STEWARD_SILENT,
            Some(Pending::Queued(turn)) => now < turn.after(TURN_LATE),
        }
    }

    /// When a request may go there, as far as the steward tells.
    #[must_use]
    pub fn expected_wait(&self, now: clock::Instant) -> Option<Duration> {
        match (self.pending, self.refused) {
            (Some(Pending::Queued(turn)), _) | (_, Some((_, turn))) => Some(turn.since(now)),
            _ => None,
        }
    }

    /// What the steward hasn't heard of the limit yet.
    pub fn take_notice(&mut self, now: clock::Instant, server: &SmolStr) -> Option<Notice> {
        if !std::mem::take(&mut self.untold) {
            return None;
        }
        self.told_at = Some(now);
        Some(Notice {
            server: server.clone(),
            per_second: self
                .own
                .map_or_else(|| self.per_second(), |own| Some(own.per_second)),
        })
    }

    /// What the steward is to be asked.
    pub fn take_request(&mut self, now: clock::Instant, server: &SmolStr) -> Option<Request> {
        let Some(Pending::Untold(left)) = self.pending else {
            return None;
        };
        self.pending = Some(Pending::Told(now));
        Some(Request {
            server: server.clone(),
            left_ms: frame::millis(left),
        })
    }

    /// The steward answers.
    pub fn handle_reply(&mut self, now: clock::Instant, reply: &Reply) {
        let turn =
            |wait_ms: u32| now.after(Duration::from_millis(wait_ms.into()).min(LONGEST_WAIT));
        self.refused = None;
        self.pending = match reply.outcome {
            Outcome::Granted => {
                self.permit = Some(now.after(PERMIT_LASTS));
                None
            }
            Outcome::Queued(wait_ms) => Some(Pending::Queued(turn(wait_ms))),
            Outcome::Refused(wait_ms) => {
                self.refused = Some((now, turn(wait_ms)));
                None
            }
        };
    }

    fn has_permit(&self, now: clock::Instant) -> bool {
        self.permit.is_some_and(|until| now < until)
    }

    /// Whether no steward grants permits. One that has answered, and be it with a refusal, is there.
    fn is_alone(&self, view: View<'_>) -> bool {
        let silent =
            matches!(self.pending, Some(Pending::Told(at)) if view.now.since(at) >= STEWARD_SILENT);
        !view.steward || silent
    }

    fn forget(&mut self, now: clock::Instant) {
        let lasts = |known: &Known| now.since(known.confirmed) < FORGOTTEN;
        self.own = self.own.filter(lasts);
        self.told = self.told.filter(lasts);
    }
}

/// The round in which instances without a steward draw now. In each, one of all instances sends a request, on the average.
fn round_at(now: clock::Instant, per_second: f64) -> u64 {
    let rounds = per_second.max(LEAST) * ALONE;
    (now.0 as f64 / 1000.0 * rounds) as u64
}

/// Whether an instance may send a request in a round, by a draw of its own.
fn draws(view: View<'_>, round: u64) -> bool {
    // A hash with the round as its seed repeats the draws of one instance at another some rounds later.
    let mut hasher = xxh3::Xxh3::new();
    hasher.update(view.instance.as_bytes());
    hasher.update(&round.to_le_bytes());
    hasher.digest() < u64::MAX / view.instances.max(1) as u64
}
