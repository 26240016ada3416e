//! Requests that wait for one model at one router.
//!
//! Within a tenant the earliest deadline goes first. Between tenants that wait, turns follow their shares by
//! start-time fair queueing: each turn moves the tenant's start tag on by the inverse of its share, and the
//! least tag has the next turn. One tenant's burst so waits behind itself, not in front of the others. Each
//! step takes time logarithmic in the number that wait.

pub mod rank;

use std::collections::{BTreeMap, BTreeSet};

use slotmap::SecondaryMap;
use smol_str::SmolStr;

use crate::{clock, request};

/// What a turn costs a tenant with share 1, in units of virtual time.
const TURN: u64 = 1 << 20;

/// A request that is to wait.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// The request.
    pub key: request::Key,
    /// Whose it is.
    pub tenant: SmolStr,
    /// The tenant's weight against others, at least 1.
    pub share: u32,
    /// When it must be answered.
    pub deadline: clock::Instant,
}

/// The queue holds as many as it may.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Full;

/// A place in the order of deadlines; the arrival number breaks ties.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Place {
    deadline: clock::Instant,
    arrival: u64,
    key: request::Key,
}

/// A tenant's place in the order of turns.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Turn {
    start: u64,
    head: Place,
    tenant: SmolStr,
}

#[derive(Clone, Debug, Default)]
struct Line {
    share: u32,
    /// The start tag of its next turn.
    start: u64,
    places: BTreeSet<Place>,
    deadlines: rank::Rank,
}

/// A bounded queue, by deadline and fair between tenants.
#[derive(Clone, Debug)]
pub struct Queue {
    limit: usize,
    arrivals: u64,
    /// The start tag of the turn taken last.
    virtual_time: u64,
    waiting: SecondaryMap<request::Key, (SmolStr, Place)>,
    places: BTreeSet<Place>,
    deadlines: rank::Rank,
    lines: BTreeMap<SmolStr, Line>,
    turns: BTreeSet<Turn>,
}

impl Queue {
    /// An empty queue that holds at most `limit` requests.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            arrivals: 0,
            virtual_time: 0,
            waiting: SecondaryMap::new(),
            places: BTreeSet::new(),
            deadlines: rank::Rank::default(),
            lines: BTreeMap::new(),
            turns: BTreeSet::new(),
        }
    }

    /// Changes the bound; what already waits stays.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Lets a request wait. One that waits already keeps its place.
    ///
    /// # Errors
    ///
    /// [`Full`] at the bound.
    pub fn push(&mut self, entry: Entry) -> Result<(), Full> {
        if self.waiting.contains_key(entry.key) {
            return Ok(());
        }
        if self.waiting.len() >= self.limit {
            return Err(Full);
        }
        self.arrivals += 1;
        let place = Place {
            deadline: entry.deadline,
            arrival: self.arrivals,
            key: entry.key,
        };
        self.leave_turns(&entry.tenant);
        let line = self.lines.entry(entry.tenant.clone()).or_default();
        line.share = entry.share.max(1);
        if line.places.is_empty() {
            line.start = line.start.max(self.virtual_time);
        }
        line.places.insert(place);
        line.deadlines.add(place.deadline.0);
        self.enter_turns(&entry.tenant);
        self.places.insert(place);
        self.deadlines.add(place.deadline.0);
        self.waiting.insert(entry.key, (entry.tenant, place));
        Ok(())
    }

    /// Takes out the request whose turn it is.
    pub fn pop(&mut self) -> Option<request::Key> {
        let turn = self.turns.first()?.clone();
        self.virtual_time = turn.start;
        self.take(&turn.tenant, turn.head, true);
        Some(turn.head.key)
    }

    /// The request that [`Self::pop`] would give.
    #[must_use]
    pub fn peek(&self) -> Option<request::Key> {
        self.turns.first().map(|turn| turn.head.key)
    }

    /// Takes out a request that waits no longer, such as one that its caller gave up; `false` when it
    /// didn't wait here.
    pub fn remove(&mut self, key: request::Key) -> bool {
        let Some((tenant, place)) = self.waiting.get(key).cloned() else {
            return false;
        };
        self.take(&tenant, place, false);
        true
    }

    /// Takes out all whose deadline has come, the earliest first.
    pub fn take_expired(&mut self, now: clock::Instant) -> Vec<request::Key> {
        let mut expired = Vec::new();
        while let Some(place) = self.places.first().copied() {
            if place.deadline > now {
                break;
            }
            self.remove(place.key);
            expired.push(place.key);
        }
        expired
    }

    /// The earliest deadline of those that wait.
    #[must_use]
    pub fn earliest_deadline(&self) -> Option<clock::Instant> {
        self.places.first().map(|place| place.deadline)
    }

    /// How many wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// How many that wait have an earlier deadline, of all tenants.
    #[must_use]
    pub fn ahead_of(&self, deadline: clock::Instant) -> usize {
        self.deadlines.count_below(deadline.0)
    }

    /// How many turns come before the one that a tenant's request with this deadline would get: its tenant's
    /// own with an earlier or the same deadline, and with each of them those that the other tenants' shares give them.
    ///
    /// Counting all that wait instead would refuse a tenant for another's burst, though it gets its turns
    /// beside the burst. Takes time in the number of tenants that wait.
    #[must_use]
    pub fn turns_before(&self, tenant: &str, share: u32, deadline: clock::Instant) -> usize {
        let own = self.lines.get(tenant);
        let own = own.map_or(0, |line| line.deadlines.count_below(deadline.0 + 1));
        let rounds = own as u64 + 1;
        let others = self.lines.iter().filter(|(name, _)| *name != tenant);
        let others = others.map(|(_, line)| {
            let turns = rounds * u64::from(line.share) / u64::from(share.max(1));
            line.places
                .len()
                .min(usize::try_from(turns).unwrap_or(usize::MAX))
        });
        own + others.sum::<usize>()
    }

    fn take(&mut self, tenant: &SmolStr, place: Place, served: bool) {
        self.leave_turns(tenant);
        self.waiting.remove(place.key);
        self.places.remove(&place);
        self.deadlines.remove(place.deadline.0);
        let virtual_time = self.virtual_time;
        let Some(line) = self.lines.get_mut(tenant) else {
            return;
        };
        if line.places.remove(&place) {
            line.deadlines.remove(place.deadline.0);
        }
        if served {
            line.start += TURN / u64::from(line.share);
        }
        // A tenant that is owed nothing and owes nothing is forgotten.
        if line.places.is_empty() && line.start <= virtual_time {
            self.lines.remove(tenant);
        }
        self.enter_turns(tenant);
    }

    fn leave_turns(&mut self, tenant: &SmolStr) {
        if let Some(turn) = self.turn(tenant) {
            self.turns.remove(&turn);
        }
    }

    fn enter_turns(&mut self, tenant: &SmolStr) {
        if let Some(turn) = self.turn(tenant) {
            self.turns.insert(turn);
        }
    }

    fn turn(&self, tenant: &SmolStr) -> Option<Turn> {
        let line = self.lines.get(tenant)?;
        let head = line.places.first()?;
        Some(Turn {
            start: line.start,
            head: *head,
            tenant: tenant.clone(),
        })
    }
}
