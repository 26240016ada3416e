//! The order of one queue.
//!
//! Requests are served by class (priority, then callers that have come back), within a class by organisation with the
//! fewest tokens served (start-time fair queueing, as in [`crate::queue`]), and within an organisation the request first
//! that can wait least long. Requests that only some of the servers can run wait in lanes of their own, so that they don't
//! hold up others: a lane whose first request found no server is skipped until the queue is reopened. An operation takes
//! time logarithmic in the number of requests, and linear in the numbers of lanes and classes, which are bounded.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use smol_str::SmolStr;

use crate::clock;
use crate::queue::rank;

/// Maximum number of lanes. Requests that would need more share the existing ones.
const MAX_LANES: u64 = 16;
/// Number of organisations without waiting requests from which on their start tags are dropped.
const MAX_IDLE_ORGANISATIONS: usize = 256;
/// Shortest time after which a request counts one priority higher. Promotions within the time that requests usually wait
/// for a place would make priorities meaningless.
const MIN_PROMOTION_INTERVAL: Duration = Duration::from_millis(20);

/// Identifies a waiting request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// A request to be queued.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// A hash of what restricts the servers that can run the request.
    pub lane: u64,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// Whether its caller has come back after a refusal.
    pub has_returned: bool,
    /// The organisation; empty if there is none.
    pub organisation: SmolStr,
    /// The tokens that count for the organisation.
    pub tokens: u32,
    /// When it arrived.
    pub since: clock::Instant,
    /// The time after which it counts one priority higher.
    pub promotion_interval: Duration,
    /// Until when it can wait.
    pub until: clock::Instant,
}

/// Requests that are served before another.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Ahead {
    /// Their number.
    pub requests: u32,
    /// Their tokens.
    pub tokens: u64,
    /// The number of requests of the same priority, or a less urgent one, that can wait less long.
    pub peers: u32,
}

/// What a waiting request may do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Turn {
    /// Look for a server; with the number of times that the queue was reopened.
    Try(u64),
    /// Wait until the queue may have changed, and reopen it then.
    Watch,
    /// Wait until woken.
    Sleep,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Class {
    priority: u8,
    is_new: bool,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Position {
    until: clock::Instant,
    ticket: Ticket,
}

/// The next request of an organisation in a lane and class.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Head {
    start: u64,
    position: Position,
    organisation: SmolStr,
}

/// The requests of a class in one lane.
#[derive(Clone, Debug, Default)]
struct Group {
    organisations: BTreeMap<SmolStr, BTreeSet<Position>>,
    heads: BTreeSet<Head>,
}

#[derive(Clone, Debug, Default)]
struct Lane {
    is_blocked: bool,
    classes: BTreeMap<Class, Group>,
}

#[derive(Clone, Debug, Default)]
struct Organisation {
    /// The start tag of its next request, in tokens.
    start: u64,
    waiting: usize,
}

/// The requests of a class in all lanes.
#[derive(Clone, Debug, Default)]
struct Totals {
    requests: usize,
    tokens: u64,
    organisations: BTreeMap<SmolStr, (usize, rank::Rank)>,
}

#[derive(Clone, Debug)]
struct Waiting {
    entry: Entry,
    class: Class,
    /// When it counts one priority higher.
    promoted_at: Option<clock::Instant>,
}

/// The requests that wait for the same servers.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    waiting: BTreeMap<Ticket, Waiting>,
    lanes: BTreeMap<u64, Lane>,
    totals: BTreeMap<Class, Totals>,
    organisations: BTreeMap<SmolStr, Organisation>,
    promotions: BTreeSet<(clock::Instant, Ticket)>,
    /// By the priority with which they arrived.
    arrived: BTreeMap<u8, (usize, rank::Rank)>,
    /// The start tag of the request that was served last.
    virtual_time: u64,
    reopened: u64,
    /// Those that were woken last.
    woken: [Option<Ticket>; 2],
}

impl Queue {
    /// Queues a request.
    pub fn push(&mut self, now: clock::Instant, ticket: Ticket, mut entry: Entry) {
        if !self.lanes.contains_key(&entry.lane) && self.lanes.len() as u64 >= MAX_LANES {
            let index = (entry.lane % MAX_LANES) as usize;
            let existing = self.lanes.keys().nth(index);
            entry.lane = existing.copied().unwrap_or(entry.lane);
        }
        let class = Class {
            priority: entry.priority,
            is_new: !entry.has_returned,
        };
        let virtual_time = self.virtual_time;
        let organisation = self
            .organisations
            .entry(entry.organisation.clone())
            .or_default();
        if organisation.waiting == 0 {
            organisation.start = organisation.start.max(virtual_time);
        }
        organisation.waiting += 1;
        let (count, ranks) = self.arrived.entry(entry.priority).or_default();
        *count += 1;
        ranks.add(entry.until.0);
        let interval = entry.promotion_interval.max(MIN_PROMOTION_INTERVAL);
        let promoted_at = (entry.priority > 0).then(|| entry.since.after(interval));
        self.waiting.insert(
            ticket,
            Waiting {
                entry,
                class,
                promoted_at,
            },
        );
        self.insert_position(ticket);
        self.promote(now);
    }

    /// Removes a request and returns it. If it is served, its tokens count for its organisation.
    pub fn remove(&mut self, ticket: Ticket, is_served: bool) -> Option<Entry> {
        self.remove_position(ticket);
        let Waiting { entry, .. } = self.waiting.remove(&ticket)?;
        if let Some((count, ranks)) = self.arrived.get_mut(&entry.priority) {
            *count -= 1;
            ranks.remove(entry.until.0);
            if *count == 0 {
                self.arrived.remove(&entry.priority);
            }
        }
        let name = &entry.organisation;
        let mut start = None;
        if let Some(organisation) = self.organisations.get_mut(name) {
            organisation.waiting -= 1;
            if is_served {
                self.virtual_time = self.virtual_time.max(organisation.start);
                start = Some(organisation.start + u64::from(entry.tokens.max(1)));
            }
        }
        if let Some(start) = start {
            self.set_start(name, start);
        }
        if self.organisations.len() > MAX_IDLE_ORGANISATIONS {
            self.organisations
                .retain(|_, organisation| organisation.waiting > 0);
        }
        Some(entry)
    }

    /// What a request may do now.
    pub fn turn(&mut self, now: clock::Instant, ticket: Ticket) -> Turn {
        self.promote(now);
        if self.next() == Some(ticket) {
            Turn::Try(self.reopened)
        } else if self.first() == Some(ticket) {
            Turn::Watch
        } else {
            Turn::Sleep
        }
    }

    /// Records that a request found no server, which stands until the queue is reopened. Without effect if that has happened
    /// since the request's turn.
    pub fn block(&mut self, ticket: Ticket, reopened: u64) {
        if reopened != self.reopened {
            return;
        }
        if let Some(waiting) = self.waiting.get(&ticket)
            && let Some(lane) = self.lanes.get_mut(&waiting.entry.lane)
        {
            lane.is_blocked = true;
        }
    }

    /// Records that a place may have become free, or that the servers have changed.
    pub fn reopen(&mut self, now: clock::Instant) {
        self.promote(now);
        self.reopened += 1;
        for lane in self.lanes.values_mut() {
            lane.is_blocked = false;
        }
    }

    /// The requests whose turn has changed since the last call.
    pub fn take_woken(&mut self) -> impl Iterator<Item = Ticket> {
        let new = [self.next(), self.first()];
        let old = std::mem::replace(&mut self.woken, new);
        let changed =
            move |(old, new): (Option<Ticket>, Option<Ticket>)| new.filter(|_| new != old);
        old.into_iter().zip(new).filter_map(changed)
    }

    /// The request that may look for a server: the first one whose lane isn't blocked.
    #[must_use]
    pub fn next(&self) -> Option<Ticket> {
        self.first_where(|lane| !lane.is_blocked)
    }

    /// The first request of all.
    #[must_use]
    pub fn first(&self) -> Option<Ticket> {
        self.first_where(|_| true)
    }

    /// The requests that would be served before one that waits. Within its class, each organisation is assumed to be served as
    /// often as the request's own.
    #[must_use]
    pub fn ahead(&self, ticket: Ticket) -> Ahead {
        let Some(waiting) = self.waiting.get(&ticket) else {
            return Ahead::default();
        };
        let before = self.totals.range(..waiting.class);
        let (mut requests, mut tokens) = before.fold((0, 0), |(requests, tokens), (_, totals)| {
            (requests + totals.requests, tokens + totals.tokens)
        });
        if let Some(totals) = self.totals.get(&waiting.class) {
            let own = totals.organisations.get(&waiting.entry.organisation);
            let own = own.map_or(0, |(_, ranks)| ranks.count_below(waiting.entry.until.0));
            let others = totals.organisations.len().saturating_sub(1);
            let in_class = own.saturating_add(others.saturating_mul(own + 1));
            let in_class = in_class.min(totals.requests.saturating_sub(1));
            requests += in_class;
            tokens += totals.tokens / totals.requests.max(1) as u64 * in_class as u64;
        }
        let until = waiting.entry.until.0;
        let peers = self.arrived.range(waiting.entry.priority..);
        let peers: usize = peers.map(|(_, (_, ranks))| ranks.count_below(until)).sum();
        Ahead {
            requests: u32::try_from(requests).unwrap_or(u32::MAX),
            tokens,
            peers: u32::try_from(peers).unwrap_or(u32::MAX),
        }
    }

    /// The priority of the least urgent request, as it arrived.
    #[must_use]
    pub fn least_urgent(&self) -> Option<u8> {
        self.arrived.last_key_value().map(|(priority, _)| *priority)
    }

    /// Number of requests by priority as they arrived, with the promotions since.
    pub fn count_by_priority(&self) -> impl Iterator<Item = (u8, usize)> {
        let totals = self.totals.iter();
        totals.map(|(class, totals)| (class.priority, totals.requests))
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    fn first_where<F>(&self, is_counted: F) -> Option<Ticket>
    where
        F: Fn(&Lane) -> bool,
    {
        let lanes = self.lanes.values().filter(|lane| is_counted(lane));
        let heads = lanes.filter_map(|lane| {
            let (class, group) = lane.classes.first_key_value()?;
            Some((class, group.heads.first()?))
        });
        heads.min().map(|(_, head)| head.position.ticket)
    }

    /// Raises the priority of requests that have waited for long.
    fn promote(&mut self, now: clock::Instant) {
        while let Some((at, ticket)) = self.promotions.first().copied() {
            if at > now {
                break;
            }
            self.remove_position(ticket);
            if let Some(waiting) = self.waiting.get_mut(&ticket) {
                let interval = waiting.entry.promotion_interval.max(MIN_PROMOTION_INTERVAL);
                waiting.class.priority = waiting.class.priority.saturating_sub(1);
                waiting.promoted_at = (waiting.class.priority > 0).then(|| at.after(interval));
            }
            self.insert_position(ticket);
        }
    }

    fn insert_position(&mut self, ticket: Ticket) {
        let Some(waiting) = self.waiting.get(&ticket) else {
            return;
        };
        let (entry, class) = (&waiting.entry, waiting.class);
        let name = &entry.organisation;
        let start = self.organisations.get(name).map_or(0, |known| known.start);
        let position = Position {
            until: entry.until,
            ticket,
        };
        if let Some(at) = waiting.promoted_at {
            self.promotions.insert((at, ticket));
        }
        let lane = self.lanes.entry(entry.lane).or_default();
        let group = lane.classes.entry(class).or_default();
        group.update(name, start, start, |positions| {
            positions.insert(position);
        });
        let totals = self.totals.entry(class).or_default();
        totals.requests += 1;
        totals.tokens += u64::from(entry.tokens);
        let (count, ranks) = totals.organisations.entry(name.clone()).or_default();
        *count += 1;
        ranks.add(entry.until.0);
    }

    fn remove_position(&mut self, ticket: Ticket) {
        let Some(waiting) = self.waiting.get(&ticket) else {
            return;
        };
        let (entry, class) = (&waiting.entry, waiting.class);
        let name = &entry.organisation;
        let start = self.organisations.get(name).map_or(0, |known| known.start);
        let position = Position {
            until: entry.until,
            ticket,
        };
        if let Some(at) = waiting.promoted_at {
            self.promotions.remove(&(at, ticket));
        }
        if let Some(lane) = self.lanes.get_mut(&entry.lane) {
            if let Some(group) = lane.classes.get_mut(&class) {
                group.update(name, start, start, |positions| {
                    positions.remove(&position);
                });
                if group.heads.is_empty() {
                    lane.classes.remove(&class);
                }
            }
            if lane.classes.is_empty() {
                self.lanes.remove(&entry.lane);
            }
        }
        if let Some(totals) = self.totals.get_mut(&class) {
            totals.requests -= 1;
            totals.tokens -= u64::from(entry.tokens);
            if let Some((count, ranks)) = totals.organisations.get_mut(name) {
                *count -= 1;
                ranks.remove(entry.until.0);
                if *count == 0 {
                    totals.organisations.remove(name);
                }
            }
            if totals.requests == 0 {
                self.totals.remove(&class);
            }
        }
    }

    /// Sets the start tag of an organisation.
    fn set_start(&mut self, name: &SmolStr, start: u64) {
        let Some(organisation) = self.organisations.get_mut(name) else {
            return;
        };
        let old = std::mem::replace(&mut organisation.start, start);
        let lanes = self.lanes.values_mut();
        for group in lanes.flat_map(|lane| lane.classes.values_mut()) {
            group.update(name, old, start, |_| {});
        }
    }
}

impl Group {
    /// Changes the requests of an organisation, whose start tag changes from `old` to `new`.
    fn update<F>(&mut self, name: &SmolStr, old: u64, new: u64, change: F)
    where
        F: FnOnce(&mut BTreeSet<Position>),
    {
        let head = |start: u64, positions: &BTreeSet<Position>| {
            positions.first().map(|position| Head {
                start,
                position: *position,
                organisation: name.clone(),
            })
        };
        let mut positions = self.organisations.remove(name).unwrap_or_default();
        if let Some(head) = head(old, &positions) {
            self.heads.remove(&head);
        }
        change(&mut positions);
        if let Some(head) = head(new, &positions) {
            self.heads.insert(head);
            self.organisations.insert(name.clone(), positions);
        }
    }
}
