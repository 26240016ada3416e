//! Who is steward, and for how long it may act.
//!
//! The lease is one record that is only ever replaced under the condition that nothing was written since. The
//! holder writes it again before its term ends. Anyone else may write its own name once it has watched a
//! whole term go by without a change; clocks of two instances are never compared.
//!
//! Where engines refuse the orders of an earlier holder, the lease only keeps two holders from undoing each
//! other's work; no harm can come of a holder that is replaced without knowing it. There it goes on past its
//! term while the store can't be reached: nobody can take over through a store that is away, and all models
//! that aren't in memory would otherwise stay where they are for as long.
//!
//! A store that comes back from an older copy may have lost the record. A record counts in the era in which it was written only. The
//! holder that acts when it learns of the new era writes the record again, and sends no orders until that is done; if it has
//! died, another instance takes over after a term.
//!
//! The holder names a few strong instances as standbys. Only these watch for the end of its term at once; the others
//! leave them some time before they try too. If all tried, a takeover in a fleet of 136 would cost 800 calls to the
//! store, and the weakest might win and be too slow for so many links.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::era::{Era, Position};
use crate::clock;

/// A take-over leaves room for this many hand-overs, as a power of two. The number of a take-over is its record's
/// place and so above all numbers before; each hand-over adds one.
const HAND_OVER_BITS: u32 = 10;

/// Offsets of one era, as a power of two: several thousand millions.
const OFFSET_BITS: u32 = 33;

/// Eras beyond this have the number of this one.
const MOST_ERAS: u64 = (1 << (u64::BITS - OFFSET_BITS - HAND_OVER_BITS)) - 1;

/// Instances that aren't standbys leave standbys this part of a term to take a lapsed lease.
const STANDBY_SHARE: f64 = 0.5;

/// What stands in the lease's record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// The holder's name.
    pub instance: SmolStr,
    /// Tells two processes of one name apart.
    pub incarnation: u64,
    /// Where the holder's peers reach it.
    pub address: SmolStr,
    /// The number of the holder's take-over; absent in the take-over's own record.
    pub fencing: Option<u64>,
    /// The holder gives the lease up.
    pub released: bool,
    /// The era in which it was written; none in records of releases that knew of no eras.
    #[serde(default)]
    pub era: Option<Era>,
}

impl Record {
    /// The holder's number, if the record has this offset.
    fn number(&self, offset: u64) -> u64 {
        let era = self.era.unwrap_or_default();
        self.fencing
            .unwrap_or_else(|| first_number(Position { era, offset }))
    }
}

/// The newest record, as read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reading {
    /// The record and its offset; none if it was never written.
    pub record: Option<(u64, Record)>,
    /// The place that the next record will have.
    pub end: Position,
}

impl Reading {
    /// The record without those of earlier eras, which say nothing of who holds the lease now.
    fn current(self) -> Self {
        let era = self.end.era;
        let is_current = |record: &Record| record.era.is_none_or(|written| written == era);
        Self {
            record: self.record.filter(|(_, record)| is_current(record)),
            ..self
        }
    }
}

/// Times of the lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Options {
    /// How long a holder may act after it sent its last successful renewal.
    pub term: Duration,
    /// The holder stops this much before its term ends, for orders that are on their way.
    pub margin: Duration,
    /// The holder renews this long after its last renewal.
    pub renewal: Duration,
}

impl Options {
    /// Times for a term: renewed three times in each, and not used in its last sixth.
    #[must_use]
    pub fn new(term: Duration) -> Self {
        Self {
            term,
            margin: term / 6,
            renewal: term / 3,
        }
    }
}

/// One instance's part in the lease.
#[derive(Clone, Debug)]
pub struct Lease {
    options: Options,
    me: Record,
    /// Engines refuse orders of an earlier holder.
    fenced: bool,
    /// The whole system starts for the first time.
    first_start: bool,
    watched: Option<Watched>,
    held: Option<Held>,
    /// Whether the last holder that was heard named this instance a standby; none if none was heard.
    standby: Option<bool>,
    /// The highest number under which this instance handed the lease over or lost it with an era.
    given_up: Option<u64>,
    /// The store's era; none before anything was heard of the store.
    era: Option<Era>,
    /// The store came back from an older copy while this instance ran.
    came_back: bool,
}

#[derive(Clone, Debug)]
struct Watched {
    /// None until the record was read in this era.
    end: Option<Position>,
    since: clock::Instant,
    holder: Option<Record>,
    /// The holder was told of by others and isn't the one in the record.
    told: bool,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    fencing: u64,
    end: Position,
    /// The era in which the lease was written or handed over: it counts in no other.
    era: Era,
    /// When the last renewal that was accepted was sent.
    sent: Option<clock::Instant>,
    /// When the last renewal that had no answer was sent.
    unanswered: Option<clock::Instant>,
    /// Until then it may be written again in a new era.
    rewritable: Option<clock::Instant>,
    /// It is known that nobody else held it when this instance got it.
    certain: bool,
    /// The holder that handed it over, until this one has renewed it.
    from: Option<Predecessor>,
}

/// A process that handed the lease over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Predecessor {
    fencing: u64,
    incarnation: u64,
}

/// What a holder hands to its successor, without the store.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HandOver {
    /// The successor's number.
    pub fencing: u64,
    /// The end of the lease's record.
    pub end: Position,
    /// The process that hands over. Another one of the same instance may have gone on with its number since.
    #[serde(default)]
    pub incarnation: u64,
}

impl Held {
    fn is_due(&self, now: clock::Instant, renewal: Duration) -> bool {
        self.sent.is_none_or(|sent| now >= sent.after(renewal))
    }
}

impl Lease {
    /// An instance that knows nothing of the lease yet.
    #[must_use]
    pub fn new(options: Options, instance: SmolStr, incarnation: u64, address: SmolStr) -> Self {
        let me = Record {
            instance,
            incarnation,
            address,
            fencing: None,
            released: false,
            era: None,
        };
        Self {
            options,
            me,
            fenced: false,
            first_start: true,
            watched: None,
            held: None,
            standby: None,
            given_up: None,
            era: None,
            came_back: false,
        }
    }

    /// The same; with `fenced`, engines refuse orders of an earlier holder. Then a lease that was given up is
    /// free at once, though orders may still be on their way, and a holder whose renewals have no answer goes on.
    #[must_use]
    pub fn with_fenced(mut self, fenced: bool) -> Self {
        self.fenced = fenced;
        self
    }

    /// The same; without `first_start`, a lease that was never written isn't free at once: its record may be lost.
    #[must_use]
    pub fn with_first_start(mut self, first_start: bool) -> Self {
        self.first_start = first_start;
        self
    }

    /// The store is in this era at `now`. Returns whether it came back from an older copy.
    ///
    /// A holder whose term isn't over knows that nobody has taken the lease before the new era, and that nobody does before the end of
    /// that term. Any other can't know: a record of a later holder may be among what is lost.
    pub fn enter_era(&mut self, now: clock::Instant, era: Era) -> bool {
        self.give_up_resting(now);
        let before = self.era;
        if before.is_some_and(|before| before >= era) {
            return false;
        }
        let acts = self.fencing(now).is_some();
        self.era = Some(era);
        if before.is_none() && self.held.is_none() {
            return false;
        }
        self.came_back = true;
        let span = self.options.term - self.options.margin;
        self.held = match self.held.take() {
            Some(held) if acts => Some(Held {
                sent: None,
                unanswered: None,
                rewritable: held.sent.map(|sent| sent.after(span)),
                ..held
            }),
            Some(held) => {
                self.given_up = self.given_up.max(Some(held.fencing));
                None
            }
            None => None,
        };
        self.watched = self.watched.take().map(|watched| Watched {
            end: None,
            since: now,
            holder: watched.holder,
            told: true,
        });
        true
    }

    /// A holder that couldn't write its record again in time has the lease no more. Where engines check numbers, it may go on trying.
    fn give_up_resting(&mut self, now: clock::Instant) {
        let (era, fenced) = (self.era, self.fenced);
        let in_time = |until: clock::Instant| now < until;
        let over = self.held.take_if(|held| {
            !fenced && era != Some(held.era) && !held.rewritable.is_some_and(in_time)
        });
        self.given_up = self.given_up.max(over.map(|held| held.fencing));
    }

    /// Takes in a reading that was asked for at `asked`.
    pub fn observe(&mut self, asked: clock::Instant, reading: Reading) {
        let era = reading.end.era;
        if self.era.is_some_and(|known| era < known) {
            return;
        }
        self.enter_era(asked, era);
        let reading = reading.current();
        let mine = reading
            .record
            .as_ref()
            .filter(|(_, record)| self.is_mine(record) && !record.released)
            .map(|(offset, record)| record.number(*offset));
        // Until its successor has renewed the record, that still names this instance. Believed, two would act.
        if let Some(fencing) = mine.filter(|number| !self.has_given_up(*number)) {
            // A write of ours whose answer was lost. It gives no time to act: only a renewal does.
            let before = self.held.filter(|held| held.fencing == fencing);
            self.held = Some(Held {
                fencing,
                end: reading.end,
                era: before.map_or(era, |held| held.era),
                sent: before.and_then(|held| held.sent),
                unanswered: before.and_then(|held| held.unanswered),
                rewritable: before.and_then(|held| held.rewritable),
                certain: before.is_some_and(|held| held.certain),
                from: None,
            });
            return;
        }
        if let Some(held) = self.held.filter(|held| held.end.era < era)
            && reading.record.is_none()
        {
            // Its record is among what is lost, and nobody has written one since.
            self.held = Some(Held {
                end: reading.end,
                ..held
            });
            return;
        }
        if let Some(held) = self.left_behind(&reading) {
            self.held = Some(held);
            return;
        }
        if self.is_from(&reading) {
            // Handed over, and not renewed yet: the record is still the predecessor's. A renewal of it may have come after the
            // hand-over, so the end may be another.
            self.held = self.held.map(|held| Held {
                end: reading.end,
                ..held
            });
            return;
        }
        self.held = None;
        let before = self.watched.take();
        // Until somebody has written the record again, who held it before is the best that is known.
        let told = before
            .as_ref()
            .filter(|watched| watched.end.is_none())
            .and_then(|watched| watched.holder.clone());
        let unchanged = before.filter(|watched| watched.end == Some(reading.end));
        let record = reading.record.map(|(_, record)| record);
        self.watched = Some(match unchanged {
            // The record says less than what was told since it was written.
            Some(watched) if watched.told => watched,
            Some(watched) => Watched {
                holder: record,
                ..watched
            },
            None => Watched {
                end: Some(reading.end),
                since: asked,
                told: record.is_none() && told.is_some(),
                holder: record.or(told),
            },
        });
    }

    /// Whether the record is of the holder that handed the lease over to this instance.
    fn is_from(&self, reading: &Reading) -> bool {
        let Some(held) = self.held else {
            return false;
        };
        let from = reading
            .record
            .as_ref()
            .filter(|(_, record)| !record.released)
            .map(|(offset, record)| Predecessor {
                fencing: record.number(*offset),
                incarnation: record.incarnation,
            });
        held.end == reading.end || (held.from.is_some() && held.from == from)
    }

    /// The lease that an earlier process of this instance held when it ended, and that nobody has taken since.
    ///
    /// Engines that don't check numbers must never see a lower one after a higher, and an order of the process that
    /// ended may still be on its way. So this one goes on with the same number, once it has renewed the record: to an
    /// engine both are one holder. If every instance is killed, the term would otherwise pass without any order, and
    /// callers of cold models would wait that long.
    fn left_behind(&self, reading: &Reading) -> Option<Held> {
        let (offset, record) = reading.record.as_ref()?;
        let same_place = record.instance == self.me.instance && record.address == self.me.address;
        if !same_place || record.released || self.is_mine(record) || self.fenced {
            return None;
        }
        if self.has_given_up(record.number(*offset)) {
            return None;
        }
        Some(Held {
            fencing: record.number(*offset),
            end: reading.end,
            era: reading.end.era,
            sent: None,
            unanswered: None,
            rewritable: None,
            certain: true,
            from: None,
        })
    }

    /// The holder told this instance that its record ends at `end`. A later reading with the same end shows
    /// that it hasn't renewed since, so the term is counted from here and not only from that reading.
    pub fn observe_end(&mut self, now: clock::Instant, end: Position) {
        if self.held.is_some() || self.era.is_some_and(|known| end.era < known) {
            return;
        }
        self.enter_era(now, end.era);
        if self
            .watched
            .as_ref()
            .is_some_and(|watched| watched.end == Some(end))
        {
            return;
        }
        self.watched = Some(Watched {
            end: Some(end),
            since: now,
            holder: self.watched.take().and_then(|watched| watched.holder),
            told: false,
        });
    }

    /// Whether this instance must read the record before it can renew it: it is in another era.
    #[must_use]
    pub fn needs_read(&self) -> bool {
        self.held.is_some_and(|held| self.era != Some(held.end.era))
    }

    /// The end of the record that this instance holds.
    #[must_use]
    pub fn end(&self) -> Option<Position> {
        Some(self.held?.end)
    }

    /// The holder that was seen last, if it isn't this instance and hasn't given up.
    #[must_use]
    pub fn holder(&self) -> Option<&Record> {
        let holder = self.watched.as_ref()?.holder.as_ref()?;
        let is_other = self.held.is_none() && !holder.released && !self.is_mine(holder);
        is_other.then_some(holder)
    }

    /// The record to write, and the end that it must be written at, if it is time for a take-over or renewal.
    #[must_use]
    pub fn proposal(&self, now: clock::Instant) -> Option<(Position, Record)> {
        if let Some(held) = self.held {
            let record = Record {
                fencing: Some(held.fencing),
                ..self.written()
            };
            let read = self.era == Some(held.end.era);
            let in_time = held.rewritable.is_some_and(|until| now < until);
            if self.era != Some(held.era) && !in_time && !self.fenced {
                return None;
            }
            return (read && held.is_due(now, self.options.renewal)).then_some((held.end, record));
        }
        let watched = self.watched.as_ref()?;
        let end = watched.end.filter(|end| self.era == Some(end.era))?;
        let first = self.first_start && !self.came_back;
        let never_written = first && watched.holder.is_none() && end.offset == 0;
        let released = watched
            .holder
            .as_ref()
            .is_some_and(|holder| holder.released);
        let lapsed = now >= watched.since.after(self.lapse());
        (never_written || lapsed || (released && self.fenced)).then(|| (end, self.written()))
    }

    /// This instance's record, written now.
    fn written(&self) -> Record {
        Record {
            era: self.era,
            ..self.me.clone()
        }
    }

    /// A proposal was accepted at a place; it had been sent at `sent`. A renewal that is accepted after the lease was handed
    /// over gives nothing back: two would act. One that was meant for an earlier era met an offset that was given out again.
    pub fn accepted(&mut self, sent: clock::Instant, place: Position, record: &Record) {
        let held = self.held.map(|held| held.fencing);
        if record.fencing.is_some() && record.fencing != held {
            return;
        }
        if record.era != Some(place.era) || self.era != Some(place.era) {
            return;
        }
        let fencing = held.unwrap_or_else(|| first_number(place));
        self.held = Some(Held {
            fencing,
            end: place.next(),
            era: place.era,
            sent: Some(sent),
            unanswered: None,
            rewritable: None,
            certain: true,
            from: None,
        });
    }

    /// Somebody else wrote since the end that a proposal was for. Where that may be a late renewal of the holder that handed
    /// the lease over, the record has to tell; in another era the end says nothing.
    pub fn refused(&mut self, end: Position) {
        if self.era != Some(end.era) {
            return;
        }
        if self.held.is_none_or(|held| held.from.is_none()) {
            self.lost();
        }
    }

    /// A proposal that was sent at `sent` had no answer, or none that says whether somebody else wrote.
    pub fn unanswered(&mut self, sent: clock::Instant) {
        if let Some(held) = &mut self.held {
            held.unanswered = Some(sent);
        }
    }

    /// Somebody else holds it, or a server has taken orders of a later holder.
    pub fn lost(&mut self) {
        self.held = None;
        self.watched = None;
    }

    /// The number for orders, while they may be sent.
    #[must_use]
    pub fn fencing(&self, now: clock::Instant) -> Option<u64> {
        let held = self.held.filter(|held| self.era == Some(held.era))?;
        let span = self.options.term - self.options.margin;
        let renewed = held.sent.is_some_and(|sent| now < sent.after(span));
        // A process that stood still has tried nothing meanwhile, and must try before it goes on.
        let tried = held.unanswered;
        let tried = tried.is_some_and(|tried| now < tried.after(self.options.term));
        (renewed || (self.fenced && held.certain && tried)).then_some(held.fencing)
    }

    /// Gives the lease at `now` to a successor that is reached without the store. This instance has it no more, unless it isn't
    /// certain that it had it, or has it in another era.
    pub fn hand_over(&mut self, now: clock::Instant, successor: Record) -> Option<HandOver> {
        let era = self.era;
        let held = self
            .held
            .take_if(|held| held.certain && era == Some(held.era))?;
        self.given_up = Some(held.fencing);
        self.watched = Some(Watched {
            end: Some(held.end),
            since: now,
            holder: Some(successor),
            told: true,
        });
        Some(HandOver {
            fencing: held.fencing + 1,
            end: held.end,
            incarnation: self.me.incarnation,
        })
    }

    /// Takes the lease from its holder. Where engines take orders of anyone, it may be used only once it is
    /// renewed: how much of the holder's term is left can't be told across clocks. There a lease that was handed over in an earlier
    /// era is nobody's: others may have taken it before the store came back.
    pub fn receive(&mut self, now: clock::Instant, given: HandOver) {
        self.enter_era(now, given.end.era);
        if !self.fenced && self.era != Some(given.end.era) {
            return;
        }
        self.held = Some(Held {
            fencing: given.fencing,
            end: given.end,
            era: given.end.era,
            sent: None,
            unanswered: Some(now),
            rewritable: None,
            certain: true,
            from: Some(Predecessor {
                fencing: given.fencing - 1,
                incarnation: given.incarnation,
            }),
        });
    }

    /// A process of another incarnation answers at the address of the one that was seen as holder, which has
    /// therefore ended. Where engines refuse orders of an earlier holder, the lease is free at once: only orders
    /// that it sent before may still be on their way.
    pub fn holder_ended(&mut self, incarnation: u64) {
        let Some(watched) = &mut self.watched else {
            return;
        };
        let holder = watched.holder.as_mut();
        if let Some(holder) = holder.filter(|holder| holder.incarnation == incarnation) {
            holder.released = true;
            watched.told = true;
        }
    }

    /// Another instance acts and its record ends at `end`. Where engines check numbers, this one may have gone on past its term while the
    /// store turned it away; a later end shows that the other one took over. Returns whether it did.
    pub fn overtaken(&mut self, now: clock::Instant, end: Position, holder: Record) -> bool {
        let later = |held: &Held| held.end.era == end.era && held.end.offset < end.offset;
        if !self.held.as_ref().is_some_and(later) {
            return false;
        }
        self.held = None;
        self.watched = Some(Watched {
            end: Some(end),
            since: now,
            holder: Some(holder),
            told: true,
        });
        true
    }

    /// The holder says who has the lease now.
    pub fn holder_moved(&mut self, now: clock::Instant, holder: Record) {
        if self.held.is_some() {
            return;
        }
        let end = self.watched.as_ref().and_then(|watched| watched.end);
        self.watched = Some(Watched {
            end,
            since: now,
            holder: Some(holder),
            told: true,
        });
    }

    /// Another instance has a link to this holder. It says nothing of the record, so the term is counted as before.
    pub fn redirect(&mut self, now: clock::Instant, holder: Record) {
        if self.held.is_some() {
            return;
        }
        let before = self.watched.take();
        self.watched = Some(Watched {
            end: before.as_ref().and_then(|watched| watched.end),
            since: before.as_ref().map_or(now, |watched| watched.since),
            holder: Some(holder),
            told: true,
        });
    }

    /// The holder names its standbys. One that has just begun has none yet, to whom the lease could be left.
    pub fn set_standbys(&mut self, standbys: &[Record]) {
        let is_standby = standbys.iter().any(|standby| self.is_mine(standby));
        self.standby = (!standbys.is_empty()).then_some(is_standby);
    }

    /// Whether the last holder that was heard named this instance a standby; none if none was heard.
    #[must_use]
    pub fn is_standby(&self) -> Option<bool> {
        self.standby
    }

    /// Whether the lease is left to others for now, so that there is no use in reading it.
    #[must_use]
    pub fn defers_to_standbys(&self, now: clock::Instant) -> bool {
        let watched = self.watched.as_ref();
        self.held.is_none()
            && self.standby == Some(false)
            && watched.is_some_and(|watched| now < watched.since.after(self.lapse()))
    }

    /// After so long without a change of the record this instance may take the lease.
    fn lapse(&self) -> Duration {
        let term = self.options.term;
        match self.standby {
            Some(false) => term.mul_f64(1.0 + STANDBY_SHARE),
            Some(true) | None => term,
        }
    }

    /// This instance's name in the record.
    #[must_use]
    pub fn own_record(&self) -> &Record {
        &self.me
    }

    /// The record that gives the lease up, and the end that it must be written at.
    #[must_use]
    pub fn release(&self) -> Option<(Position, Record)> {
        let held = self.held?;
        let record = Record {
            fencing: Some(held.fencing),
            released: true,
            ..self.written()
        };
        Some((held.end, record))
    }

    /// How long until there is something to do; none while this instance must first read.
    #[must_use]
    pub fn due(&self, now: clock::Instant) -> Option<Duration> {
        let at = match (self.held, &self.watched) {
            (Some(held), _) => held.sent.unwrap_or_default().after(self.options.renewal),
            (None, Some(watched)) => watched.since.after(self.lapse()),
            (None, None) => return None,
        };
        Some(at.since(now))
    }

    fn has_given_up(&self, number: u64) -> bool {
        self.given_up.is_some_and(|given_up| number <= given_up)
    }

    fn is_mine(&self, record: &Record) -> bool {
        record.instance == self.me.instance && record.incarnation == self.me.incarnation
    }
}

/// The number of a take-over: above those of all earlier eras, and above those of all earlier offsets of its own.
fn first_number(place: Position) -> u64 {
    let era = place.era.0.min(MOST_ERAS);
    (era << OFFSET_BITS | place.offset) << HAND_OVER_BITS
}
