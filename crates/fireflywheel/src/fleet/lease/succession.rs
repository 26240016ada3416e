//! How the lease passes to another holder: by a hand-over, and by a takeover that standbys make first.

use std::time::Duration;

use super::{HandOver, Lease, Observation, Predecessor, Record, Tenure};
use crate::clock;
use crate::fleet::era::Position;

/// How much longer than a term instances that are not standbys wait before a takeover, as a share of the
/// term.
const STANDBY_WINDOW_RATIO: f64 = 0.5;

impl Lease {
    /// Hands the lease over to a successor at `now`, without the store. This instance then no longer holds
    /// it. Returns `None` and changes nothing if it is not certain that this instance held the lease, or if
    /// the lease is from another era.
    pub fn hand_over(&mut self, now: clock::Instant, successor: Record) -> Option<HandOver> {
        let era = self.era;
        let held = self
            .held
            .take_if(|held| held.is_certain && era == Some(held.era))?;
        self.max_ceded_fencing = Some(held.fencing);
        self.observation = Some(Observation {
            end: Some(held.end),
            since: now,
            holder: Some(successor),
            is_reported: true,
        });
        Some(HandOver {
            fencing: held.fencing + 1,
            end: held.end,
            incarnation: self.own_record.incarnation,
            last_orders: self.last_orders(now),
        })
    }

    /// Accepts a hand-over of the lease. If engines do not check fencing numbers, the lease may be used
    /// only once it is renewed, because the rest of the holder's term cannot be compared across clocks. In
    /// that case a lease handed over in an earlier era is void: others may have taken it before the store
    /// was restored.
    pub fn accept_hand_over(&mut self, now: clock::Instant, hand_over: &HandOver) {
        self.enter_era(now, hand_over.end.era);
        if !self.fenced && self.era != Some(hand_over.end.era) {
            return;
        }
        self.extend_last_orders(now, &hand_over.last_orders);
        self.held = Some(Tenure {
            fencing: hand_over.fencing,
            end: hand_over.end,
            era: hand_over.end.era,
            renewed_at: None,
            unanswered_at: Some(now),
            rewrite_deadline: None,
            is_certain: true,
            predecessor: Some(Predecessor {
                fencing: hand_over.fencing - 1,
                incarnation: hand_over.incarnation,
            }),
        });
    }

    /// Records that the process last seen as holder has ended, since a process of another incarnation
    /// answers at its address. If engines check fencing numbers, the lease is free at once: only orders
    /// that the holder sent before may still be in transit.
    pub fn holder_ended(&mut self, incarnation: u64) {
        let Some(observation) = &mut self.observation else {
            return;
        };
        let holder = observation.holder.as_mut();
        if let Some(holder) = holder.filter(|holder| holder.incarnation == incarnation) {
            holder.released = true;
            observation.is_reported = true;
        }
    }

    /// Processes a report that another instance acts as steward and that its record ends at `end`. If
    /// engines check fencing numbers, this holder may have continued past its term while the store refused
    /// its calls; a later end shows that the other instance took over. Returns whether it did.
    pub fn observe_overtaking(
        &mut self,
        now: clock::Instant,
        end: Position,
        holder: Record,
    ) -> bool {
        let is_later = |held: &Tenure| held.end.era == end.era && held.end.offset < end.offset;
        if !self.held.as_ref().is_some_and(is_later) {
            return false;
        }
        self.held = None;
        self.observation = Some(Observation {
            end: Some(end),
            since: now,
            holder: Some(holder),
            is_reported: true,
        });
        true
    }

    /// Processes the holder's announcement of the new holder.
    pub fn holder_moved(&mut self, now: clock::Instant, holder: Record) {
        if self.held.is_some() {
            return;
        }
        let end = self
            .observation
            .as_ref()
            .and_then(|observation| observation.end);
        self.observation = Some(Observation {
            end,
            since: now,
            holder: Some(holder),
            is_reported: true,
        });
    }

    /// Processes a report that another instance has a link to this holder. The report says nothing of the
    /// record, so the term is counted as before.
    pub fn redirect(&mut self, now: clock::Instant, holder: Record) {
        if self.held.is_some() {
            return;
        }
        let previous = self.observation.take();
        self.observation = Some(Observation {
            end: previous.as_ref().and_then(|observation| observation.end),
            since: previous
                .as_ref()
                .map_or(now, |observation| observation.since),
            holder: Some(holder),
            is_reported: true,
        });
    }

    /// Processes the holder's list of standbys. A holder that has just started has none yet, so there are
    /// no standbys to wait for.
    pub fn set_standbys(&mut self, standbys: &[Record]) {
        let is_standby = standbys.iter().any(|standby| self.is_own(standby));
        self.standby = (!standbys.is_empty()).then_some(is_standby);
    }

    /// Whether the last holder that sent its standbys designated this instance as one; `None` if there were
    /// none.
    #[must_use]
    pub fn is_standby(&self) -> Option<bool> {
        self.standby
    }

    /// Whether this instance leaves the takeover to standbys for now, so that it need not read the record.
    #[must_use]
    pub fn defers_to_standbys(&self, now: clock::Instant) -> bool {
        let observation = self.observation.as_ref();
        self.held.is_none()
            && self.standby == Some(false)
            && observation
                .is_some_and(|observation| now < observation.since.after(self.takeover_delay()))
    }

    /// How long the record must stay unchanged before this instance may take the lease over.
    pub(super) fn takeover_delay(&self) -> Duration {
        let term = self.options.term;
        match self.standby {
            Some(false) => term.mul_f64(1.0 + STANDBY_WINDOW_RATIO),
            Some(true) | None => term,
        }
    }

    pub(super) fn is_ceded(&self, fencing: u64) -> bool {
        self.max_ceded_fencing
            .is_some_and(|max_ceded_fencing| fencing <= max_ceded_fencing)
    }
}
