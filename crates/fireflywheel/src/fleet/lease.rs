//! The steward's lease: which instance is steward, and how long it may act.
//!
//! The lease is one record in the store, written by compare-and-set on the end of its log. The holder
//! renews it before its term ends. Any other instance may take it over once it has observed the record
//! unchanged for a whole term on its own clock; the clocks of two instances are never compared.
//!
//! If engines check fencing numbers, they refuse orders of an earlier holder. The lease then only keeps two
//! holders from undoing each other's work, and a holder that has been replaced without knowing it does no
//! harm. Such a holder continues past its term while the store is unreachable: nobody can take over through
//! an unreachable store, and without a steward every model that is not in memory would stay unloaded for
//! the whole outage.
//!
//! A store that is restored from an older copy may have lost the record. A record is valid only in the era
//! in which it was written. An active holder that learns of a new era writes the record again and sends no
//! orders until that write succeeds. If the holder has died, another instance takes over after a term.
//!
//! The holder designates a few strong instances as standbys. Standbys take over as soon as the term has
//! lapsed; all other instances wait longer before they try. If all of them tried at once, a takeover in a
//! fleet of 136 instances would cost 800 calls to the store, and the instance that won might be too weak to
//! serve that many links.
//!
//! Two instances must not send orders by turns within a term. An instance that gets the lease again is steward at once,
//! but sends its first order only a term after its last one under an earlier fencing number. A steward hands over to an
//! instance that need not wait, if there is one.

mod record;
mod succession;
mod turns;

use std::time::Duration;

use smol_str::SmolStr;

use super::era::{Era, Position};
use crate::clock;

pub use record::{Attachment, HandOver, LastOrder, Reading, Record};

/// Durations that govern the lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Options {
    /// How long a holder may act, counted from when it sent its last successful renewal.
    pub term: Duration,
    /// How long before the end of its term the holder stops acting, so that orders in transit arrive within
    /// the term.
    pub margin: Duration,
    /// How long after its last renewal the holder renews again.
    pub renewal: Duration,
}

impl Options {
    /// Options for a term: the lease is renewed three times per term, and the last sixth of the term is the
    /// margin.
    #[must_use]
    pub fn new(term: Duration) -> Self {
        Self {
            term,
            margin: term / 6,
            renewal: term / 3,
        }
    }
}

/// One instance's state of the lease protocol.
#[derive(Clone, Debug)]
pub struct Lease {
    options: Options,
    own_record: Record,
    /// Engines check fencing numbers and refuse orders of an earlier holder.
    fenced: bool,
    /// The system starts for the first time, so a missing record means that nobody holds the lease.
    first_start: bool,
    observation: Option<Observation>,
    held: Option<Tenure>,
    /// Whether the last holder that sent its standbys designated this instance as one; `None` if there were
    /// none.
    standby: Option<bool>,
    /// The highest fencing number that this instance has handed over or lost to a new era.
    max_ceded_fencing: Option<u64>,
    /// The store's era; `None` until this instance has learned of one.
    era: Option<Era>,
    /// The store was restored from an older copy while this instance ran.
    store_restored: bool,
    /// Which instances have sent orders within a term.
    turns: turns::Turns,
}

/// What an instance without the lease knows of it.
#[derive(Clone, Debug)]
struct Observation {
    /// The end of the record's log; `None` until it was read in the current era.
    end: Option<Position>,
    /// The time from which the term of the holder counts on this instance's clock.
    since: clock::Instant,
    /// The last known holder; `None` if none is known.
    holder: Option<Record>,
    /// The holder was reported by another instance and is not the one in the record.
    is_reported: bool,
}

/// The lease while this instance holds it.
#[derive(Clone, Copy, Debug)]
struct Tenure {
    /// The fencing number for orders.
    fencing: u64,
    /// The end of the record's log, at which the next renewal is written.
    end: Position,
    /// The era in which the lease was written or handed over; it is not valid in any other.
    era: Era,
    /// When the last successful renewal was sent.
    renewed_at: Option<clock::Instant>,
    /// When the last unanswered renewal was sent.
    unanswered_at: Option<clock::Instant>,
    /// The deadline for writing the record again in a new era.
    rewrite_deadline: Option<clock::Instant>,
    /// It is certain that nobody else held the lease when this instance got it.
    is_certain: bool,
    /// The holder that handed the lease over; `None` once this instance has renewed it.
    predecessor: Option<Predecessor>,
}

/// A process that has handed the lease over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Predecessor {
    fencing: u64,
    incarnation: u64,
}

impl Tenure {
    fn is_renewal_due(&self, now: clock::Instant, renewal: Duration) -> bool {
        self.renewed_at
            .is_none_or(|sent| now >= sent.after(renewal))
    }
}

impl Lease {
    /// Creates the state of an instance that knows nothing of the lease yet.
    #[must_use]
    pub fn new(options: Options, instance: SmolStr, incarnation: u64, address: SmolStr) -> Self {
        let own_record = Record {
            instance,
            incarnation,
            address,
            fencing: None,
            released: false,
            era: None,
        };
        Self {
            options,
            own_record,
            fenced: false,
            first_start: true,
            observation: None,
            held: None,
            standby: None,
            max_ceded_fencing: None,
            era: None,
            store_restored: false,
            turns: turns::Turns::default(),
        }
    }

    /// Sets whether engines check fencing numbers. If they do, a released lease is free at once although
    /// orders may still be in transit, and a holder whose renewals are unanswered continues.
    #[must_use]
    pub fn with_fenced(mut self, fenced: bool) -> Self {
        self.fenced = fenced;
        self
    }

    /// Sets whether this is the first start of the system. If it is not, a lease without a record is not
    /// free at once, because the record may have been lost.
    #[must_use]
    pub fn with_first_start(mut self, first_start: bool) -> Self {
        self.first_start = first_start;
        self
    }

    /// Records that the store is in `era` at `now`. Returns whether the store was restored from an older
    /// copy.
    ///
    /// A holder within its term knows that nobody took the lease before the new era, and that nobody will
    /// before that term ends. Any other instance cannot know: the record of a later holder may be among the
    /// lost ones.
    pub fn enter_era(&mut self, now: clock::Instant, era: Era) -> bool {
        self.drop_unrewritten(now);
        let previous = self.era;
        if previous.is_some_and(|previous| previous >= era) {
            return false;
        }
        let was_active = self.fencing(now).is_some();
        self.era = Some(era);
        if previous.is_none() && self.held.is_none() {
            return false;
        }
        self.store_restored = true;
        let usable_term = self.options.term - self.options.margin;
        self.held = match self.held.take() {
            Some(held) if was_active => Some(Tenure {
                renewed_at: None,
                unanswered_at: None,
                rewrite_deadline: held.renewed_at.map(|sent| sent.after(usable_term)),
                ..held
            }),
            Some(held) => {
                self.max_ceded_fencing = self.max_ceded_fencing.max(Some(held.fencing));
                None
            }
            None => None,
        };
        self.observation = self.observation.take().map(|observation| Observation {
            end: None,
            since: now,
            holder: observation.holder,
            is_reported: true,
        });
        true
    }

    /// Drops the lease if its record could not be written again in the new era before the deadline. If
    /// engines check fencing numbers, the holder may keep trying.
    fn drop_unrewritten(&mut self, now: clock::Instant) {
        let (era, fenced) = (self.era, self.fenced);
        let is_open = |deadline: clock::Instant| now < deadline;
        let expired = self.held.take_if(|held| {
            !fenced && era != Some(held.era) && !held.rewrite_deadline.is_some_and(is_open)
        });
        self.max_ceded_fencing = self.max_ceded_fencing.max(expired.map(|held| held.fencing));
    }

    /// Processes a reading that was requested at `requested_at`.
    pub fn record_reading(&mut self, requested_at: clock::Instant, reading: Reading) {
        let era = reading.end.era;
        if self.era.is_some_and(|known| era < known) {
            return;
        }
        self.enter_era(requested_at, era);
        let reading = reading.current();
        let own_fencing = reading
            .record
            .as_ref()
            .filter(|(_, record)| self.is_own(record) && !record.released)
            .map(|(offset, record)| record.fencing_at(*offset));
        // After a hand-over the record still names this instance until the successor has renewed it. If
        // this instance took that record as its own, two instances would act.
        if let Some(fencing) = own_fencing.filter(|fencing| !self.is_ceded(*fencing)) {
            // An own write whose answer was lost. It gives no time to act; only a renewal does.
            let previous = self.held.filter(|held| held.fencing == fencing);
            self.held = Some(Tenure {
                fencing,
                end: reading.end,
                era: previous.map_or(era, |held| held.era),
                renewed_at: previous.and_then(|held| held.renewed_at),
                unanswered_at: previous.and_then(|held| held.unanswered_at),
                rewrite_deadline: previous.and_then(|held| held.rewrite_deadline),
                is_certain: previous.is_some_and(|held| held.is_certain),
                predecessor: None,
            });
            return;
        }
        if let Some(held) = self.held.filter(|held| held.end.era < era)
            && reading.record.is_none()
        {
            // The record of this holder was lost, and nobody has written one since.
            self.held = Some(Tenure {
                end: reading.end,
                ..held
            });
            return;
        }
        if let Some(held) = self.previous_process_tenure(&reading) {
            self.held = Some(held);
            return;
        }
        if self.is_from_predecessor(&reading) {
            // The lease was handed over and is not renewed yet, so the record is still the predecessor's.
            // The predecessor may have renewed it after the hand-over, so the end may have changed.
            self.held = self.held.map(|held| Tenure {
                end: reading.end,
                ..held
            });
            return;
        }
        self.held = None;
        let previous = self.observation.take();
        // Until a record is written in this era, the previous holder is the best information available.
        let previous_holder = previous
            .as_ref()
            .filter(|observation| observation.end.is_none())
            .and_then(|observation| observation.holder.clone());
        let unchanged = previous.filter(|observation| observation.end == Some(reading.end));
        let record = reading.record.map(|(_, record)| record);
        self.observation = Some(match unchanged {
            // The report is newer than the record.
            Some(observation) if observation.is_reported => observation,
            Some(observation) => Observation {
                holder: record,
                ..observation
            },
            None => Observation {
                end: Some(reading.end),
                since: requested_at,
                is_reported: record.is_none() && previous_holder.is_some(),
                holder: record.or(previous_holder),
            },
        });
    }

    /// Whether the record was written by the holder that handed the lease over to this instance.
    fn is_from_predecessor(&self, reading: &Reading) -> bool {
        let Some(held) = self.held else {
            return false;
        };
        let writer = reading
            .record
            .as_ref()
            .filter(|(_, record)| !record.released)
            .map(|(offset, record)| Predecessor {
                fencing: record.fencing_at(*offset),
                incarnation: record.incarnation,
            });
        held.end == reading.end || (held.predecessor.is_some() && held.predecessor == writer)
    }

    /// The lease that an earlier process of this instance held when it ended and that nobody has taken
    /// since.
    ///
    /// Engines that do not check fencing numbers must never see a lower number after a higher one, and an
    /// order of the ended process may still be in transit. This process therefore continues with the same
    /// number once it has renewed the record: to an engine both are one holder. Otherwise, if every
    /// instance is killed, no orders would be sent for a whole term, and callers of unloaded models would
    /// wait that long.
    fn previous_process_tenure(&self, reading: &Reading) -> Option<Tenure> {
        let (offset, record) = reading.record.as_ref()?;
        let same_address = record.instance == self.own_record.instance
            && record.address == self.own_record.address;
        if !same_address || record.released || self.is_own(record) || self.fenced {
            return None;
        }
        if self.is_ceded(record.fencing_at(*offset)) {
            return None;
        }
        Some(Tenure {
            fencing: record.fencing_at(*offset),
            end: reading.end,
            era: reading.end.era,
            renewed_at: None,
            unanswered_at: None,
            rewrite_deadline: None,
            is_certain: true,
            predecessor: None,
        })
    }

    /// Processes the end of the record as reported by the holder. A later reading with the same end shows
    /// that the holder has not renewed since, so the term is counted from this report and not from that
    /// reading.
    pub fn observe_end(&mut self, now: clock::Instant, end: Position) {
        if self.held.is_some() || self.era.is_some_and(|known| end.era < known) {
            return;
        }
        self.enter_era(now, end.era);
        if self
            .observation
            .as_ref()
            .is_some_and(|observation| observation.end == Some(end))
        {
            return;
        }
        self.observation = Some(Observation {
            end: Some(end),
            since: now,
            holder: self
                .observation
                .take()
                .and_then(|observation| observation.holder),
            is_reported: false,
        });
    }

    /// Whether this instance must read the record before it can renew it, because its copy is from another
    /// era.
    #[must_use]
    pub fn needs_read(&self) -> bool {
        self.held.is_some_and(|held| self.era != Some(held.end.era))
    }

    /// The end of the log of the record that this instance holds.
    #[must_use]
    pub fn end(&self) -> Option<Position> {
        Some(self.held?.end)
    }

    /// The last known holder, unless it is this instance or has released the lease.
    #[must_use]
    pub fn holder(&self) -> Option<&Record> {
        let holder = self.observation.as_ref()?.holder.as_ref()?;
        let is_other = self.held.is_none() && !holder.released && !self.is_own(holder);
        is_other.then_some(holder)
    }

    /// The record to write and the end to write it at, if a takeover or renewal is due.
    #[must_use]
    pub fn proposal(&self, now: clock::Instant) -> Option<(Position, Record)> {
        if let Some(held) = self.held {
            let may_rewrite = held.rewrite_deadline.is_some_and(|deadline| now < deadline);
            if self.era != Some(held.era) && !may_rewrite && !self.fenced {
                return None;
            }
            let is_due = held.is_renewal_due(now, self.options.renewal);
            return self.renewal().filter(|_| is_due);
        }
        let observation = self.observation.as_ref()?;
        let end = observation.end.filter(|end| self.era == Some(end.era))?;
        let is_first_start = self.first_start && !self.store_restored;
        let never_written = is_first_start && observation.holder.is_none() && end.offset == 0;
        let released = observation
            .holder
            .as_ref()
            .is_some_and(|holder| holder.released);
        let lapsed = now >= observation.since.after(self.takeover_delay());
        (never_written || lapsed || (released && self.fenced)).then(|| (end, self.current_record()))
    }

    /// The record to write and the end to write it at before a renewal is due; `None` if this instance doesn't hold the lease in
    /// the current era.
    #[must_use]
    pub fn early_renewal(&self) -> Option<(Position, Record)> {
        let is_current = self.held.is_some_and(|held| self.era == Some(held.era));
        self.renewal().filter(|_| is_current)
    }

    /// The holder's record, if its end is in the current era.
    fn renewal(&self) -> Option<(Position, Record)> {
        let held = self.held?;
        let record = Record {
            fencing: Some(held.fencing),
            ..self.current_record()
        };
        (self.era == Some(held.end.era)).then_some((held.end, record))
    }

    /// This instance's record in the current era.
    fn current_record(&self) -> Record {
        Record {
            era: self.era,
            ..self.own_record.clone()
        }
    }

    /// Processes the successful write of a proposal that was sent at `sent`. A renewal that succeeds after
    /// the lease was handed over does not return the lease, or two instances would act. A renewal that was
    /// meant for an earlier era matched an offset that was assigned again, and does not count.
    pub fn record_accepted(&mut self, sent: clock::Instant, position: Position, record: &Record) {
        let held = self.held.map(|held| held.fencing);
        if record.fencing.is_some() && record.fencing != held {
            return;
        }
        if record.era != Some(position.era) || self.era != Some(position.era) {
            return;
        }
        if held.is_none() {
            self.record_predecessor(sent);
        }
        let fencing = held.unwrap_or_else(|| record::takeover_fencing(position));
        self.held = Some(Tenure {
            fencing,
            end: position.next(),
            era: position.era,
            renewed_at: Some(sent),
            unanswered_at: None,
            rewrite_deadline: None,
            is_certain: true,
            predecessor: None,
        });
    }

    /// Processes a proposal that was refused because another record was written at its end. If that may be a
    /// late renewal by the predecessor that handed the lease over, only a reading of the record can show it,
    /// so the lease is kept. In another era the end says nothing.
    pub fn record_conflict(&mut self, end: Position) {
        if self.era != Some(end.era) {
            return;
        }
        if self.held.is_none_or(|held| held.predecessor.is_none()) {
            self.mark_lost();
        }
    }

    /// Processes a proposal that was sent at `sent` and had no answer, or an answer that does not say
    /// whether another instance wrote.
    pub fn record_unanswered(&mut self, sent: clock::Instant) {
        if let Some(held) = &mut self.held {
            held.unanswered_at = Some(sent);
        }
    }

    /// Drops the lease: another instance holds it, or a server has accepted orders of a later holder.
    pub fn mark_lost(&mut self) {
        self.held = None;
        self.observation = None;
    }

    /// Whether no other instance can hold the lease, by a renewal of which the term isn't over. A holder whose orders are fenced
    /// may go on without that.
    #[must_use]
    pub fn is_renewed(&self, now: clock::Instant) -> bool {
        let held = self.held.filter(|held| self.era == Some(held.era));
        let renewed_at = held.and_then(|held| held.renewed_at);
        let usable_term = self.options.term - self.options.margin;
        renewed_at.is_some_and(|sent| now < sent.after(usable_term))
    }

    /// The fencing number of an active steward; `None` while this instance is none.
    #[must_use]
    pub fn fencing(&self, now: clock::Instant) -> Option<u64> {
        let held = self.held.filter(|held| self.era == Some(held.era))?;
        let is_renewed = self.is_renewed(now);
        // A process that was suspended has not tried to renew meanwhile, and must try before it continues.
        let unanswered = held.unanswered_at;
        let has_tried = unanswered.is_some_and(|sent| now < sent.after(self.options.term));
        (is_renewed || (self.fenced && held.is_certain && has_tried)).then_some(held.fencing)
    }

    /// This instance's record as the holder.
    #[must_use]
    pub fn own_record(&self) -> &Record {
        &self.own_record
    }

    /// The record that releases the lease, and the end to write it at.
    #[must_use]
    pub fn release(&self) -> Option<(Position, Record)> {
        let held = self.held?;
        let record = Record {
            fencing: Some(held.fencing),
            released: true,
            ..self.current_record()
        };
        Some((held.end, record))
    }

    /// How long until the next action is due; `None` while this instance must read the record first.
    #[must_use]
    pub fn next_action_in(&self, now: clock::Instant) -> Option<Duration> {
        let at = match (self.held, &self.observation) {
            (Some(held), _) => held
                .renewed_at
                .unwrap_or_default()
                .after(self.options.renewal),
            (None, Some(observation)) => observation.since.after(self.takeover_delay()),
            (None, None) => return None,
        };
        Some(at.since(now))
    }

    fn is_own(&self, record: &Record) -> bool {
        record.instance == self.own_record.instance
            && record.incarnation == self.own_record.incarnation
    }
}
