//! The queue of requests that wait for one model at one router.
//!
//! Within a tenant, requests are served earliest deadline first. Between tenants, start-time fair queueing
//! divides the service by share: each served request advances the start tag of its tenant by the inverse of
//! the tenant's share, and the tenant with the smallest start tag is served next. A burst of one tenant
//! therefore delays that tenant's own requests and not those of the others. Unless its documentation says
//! otherwise, each operation takes time logarithmic in the number of waiting requests.

pub mod rank;

use std::collections::{BTreeMap, BTreeSet};

use slotmap::SecondaryMap;
use smol_str::SmolStr;

use crate::{clock, request};

/// By how much serving one request of a tenant with share 1 advances its start tag, in units of virtual time.
const TURN_COST: u64 = 1 << 20;

/// A request to be queued.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// The key of the request.
    pub key: request::Key,
    /// The tenant that the request belongs to.
    pub tenant: SmolStr,
    /// The tenant's weight relative to other tenants; 0 counts as 1.
    pub share: u32,
    /// The time by which the request must be answered.
    pub deadline: clock::Instant,
}

/// The error of a queue that is at its limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Full;

/// A request's position in deadline order; the arrival number breaks ties.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Position {
    deadline: clock::Instant,
    arrival: u64,
    key: request::Key,
}

/// The next request of a tenant, ordered by the tenant's start tag.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Turn {
    start: u64,
    head: Position,
    tenant: SmolStr,
}

#[derive(Clone, Debug, Default)]
struct TenantQueue {
    share: u32,
    /// The start tag of the tenant's next request.
    start: u64,
    positions: BTreeSet<Position>,
    deadlines: rank::Rank,
}

/// A bounded queue that serves by deadline within a tenant and fairly between tenants.
#[derive(Clone, Debug)]
pub struct Queue {
    limit: usize,
    arrivals: u64,
    /// The start tag of the request that was served last.
    virtual_time: u64,
    waiting: SecondaryMap<request::Key, (SmolStr, Position)>,
    positions: BTreeSet<Position>,
    deadlines: rank::Rank,
    tenants: BTreeMap<SmolStr, TenantQueue>,
    turns: BTreeSet<Turn>,
}

impl Queue {
    /// Creates an empty queue that holds at most `limit` requests.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            arrivals: 0,
            virtual_time: 0,
            waiting: SecondaryMap::new(),
            positions: BTreeSet::new(),
            deadlines: rank::Rank::default(),
            tenants: BTreeMap::new(),
            turns: BTreeSet::new(),
        }
    }

    /// Changes the limit. Requests that wait already stay, even beyond a lower limit.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Queues a request. A request that is queued already keeps its position.
    ///
    /// # Errors
    ///
    /// Returns [`Full`] when the queue is at its limit.
    pub fn push(&mut self, entry: Entry) -> Result<(), Full> {
        if self.waiting.contains_key(entry.key) {
            return Ok(());
        }
        if self.waiting.len() >= self.limit {
            return Err(Full);
        }
        self.arrivals += 1;
        let position = Position {
            deadline: entry.deadline,
            arrival: self.arrivals,
            key: entry.key,
        };
        self.remove_turn(&entry.tenant);
        let queue = self.tenants.entry(entry.tenant.clone()).or_default();
        queue.share = entry.share.max(1);
        if queue.positions.is_empty() {
            queue.start = queue.start.max(self.virtual_time);
        }
        queue.positions.insert(position);
        queue.deadlines.add(position.deadline.0);
        self.insert_turn(&entry.tenant);
        self.positions.insert(position);
        self.deadlines.add(position.deadline.0);
        self.waiting.insert(entry.key, (entry.tenant, position));
        Ok(())
    }

    /// Removes and returns the request that is served next.
    pub fn pop(&mut self) -> Option<request::Key> {
        let turn = self.turns.first()?.clone();
        self.virtual_time = turn.start;
        self.remove_position(&turn.tenant, turn.head, true);
        Some(turn.head.key)
    }

    /// Returns the request that [`Self::pop`] would return.
    #[must_use]
    pub fn peek(&self) -> Option<request::Key> {
        self.turns.first().map(|turn| turn.head.key)
    }

    /// Removes a request that no longer waits, such as one that its caller cancelled. Returns `false` if the
    /// request is not in this queue.
    pub fn remove(&mut self, key: request::Key) -> bool {
        let Some((tenant, position)) = self.waiting.get(key).cloned() else {
            return false;
        };
        self.remove_position(&tenant, position, false);
        true
    }

    /// Removes and returns all requests whose deadline has been reached, the earliest first.
    pub fn take_expired(&mut self, now: clock::Instant) -> Vec<request::Key> {
        let mut expired = Vec::new();
        while let Some(position) = self.positions.first().copied() {
            if position.deadline > now {
                break;
            }
            self.remove(position.key);
            expired.push(position.key);
        }
        expired
    }

    /// Returns the earliest deadline among the waiting requests.
    #[must_use]
    pub fn earliest_deadline(&self) -> Option<clock::Instant> {
        self.positions.first().map(|position| position.deadline)
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns how many waiting requests, of all tenants, have an earlier deadline.
    #[must_use]
    pub fn count_ahead(&self, deadline: clock::Instant) -> usize {
        self.deadlines.count_below(deadline.0)
    }

    /// Returns how many waiting requests would be served before a request of this tenant with this deadline:
    /// the tenant's own with an earlier or the same deadline, and for each of them and for the new request as
    /// many requests of every other tenant as the ratio of their shares allows.
    ///
    /// Counting all waiting requests instead would refuse one tenant because of another tenant's burst, although
    /// fair queueing serves the tenant alongside the burst. Takes time linear in the number of waiting tenants.
    #[must_use]
    pub fn requests_before(&self, tenant: &str, share: u32, deadline: clock::Instant) -> usize {
        let own = self.tenants.get(tenant);
        let own = own.map_or(0, |queue| queue.deadlines.count_below(deadline.0 + 1));
        let rounds = own as u64 + 1;
        let others = self.tenants.iter().filter(|(name, _)| *name != tenant);
        let others = others.map(|(_, queue)| {
            let turns = rounds * u64::from(queue.share) / u64::from(share.max(1));
            queue
                .positions
                .len()
                .min(usize::try_from(turns).unwrap_or(usize::MAX))
        });
        own + others.sum::<usize>()
    }

    fn remove_position(&mut self, tenant: &SmolStr, position: Position, served: bool) {
        self.remove_turn(tenant);
        self.waiting.remove(position.key);
        self.positions.remove(&position);
        self.deadlines.remove(position.deadline.0);
        let virtual_time = self.virtual_time;
        let Some(queue) = self.tenants.get_mut(tenant) else {
            return;
        };
        if queue.positions.remove(&position) {
            queue.deadlines.remove(position.deadline.0);
        }
        if served {
            queue.start += TURN_COST / u64::from(queue.share);
        }
        // Once the virtual time has reached its start tag, an idle tenant has no state worth keeping: its next
        // request starts at the virtual time anyway.
        if queue.positions.is_empty() && queue.start <= virtual_time {
            self.tenants.remove(tenant);
        }
        self.insert_turn(tenant);
    }

    fn remove_turn(&mut self, tenant: &SmolStr) {
        if let Some(turn) = self.next_turn(tenant) {
            self.turns.remove(&turn);
        }
    }

    fn insert_turn(&mut self, tenant: &SmolStr) {
        if let Some(turn) = self.next_turn(tenant) {
            self.turns.insert(turn);
        }
    }

    fn next_turn(&self, tenant: &SmolStr) -> Option<Turn> {
        let queue = self.tenants.get(tenant)?;
        let head = queue.positions.first()?;
        Some(Turn {
            start: queue.start,
            head: *head,
            tenant: tenant.clone(),
        })
    }
}
