//! Requests that wait for a server, in the order of `fleet::waiting`, and their refusal by `fleet::refusal`.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use fireflywheel::clock::{self, Instant};
use fireflywheel::fleet::refusal;
use fireflywheel::fleet::scheduling;
use fireflywheel::fleet::timeout;
use fireflywheel::fleet::waiting::{self, Ticket, Turn, deadlines};
use smol_str::SmolStr;
use tokio::sync::{Notify, watch};
use tokio::{task, time};
use xxhash_rust::xxh3;

use super::{Choice, Node, Query, QueueKey};
use crate::fleet::attempt;

/// Interval at which the first waiting request checks again for a server with room.
const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which the servers that can run the requests of a queue are counted again.
const COUNT_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of models for which the time that requests occupy a place is kept.
const MAX_OCCUPANCIES: usize = 1024;

/// The waiting requests of an instance.
#[derive(Debug, Default)]
pub(super) struct Waiting {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    queues: waiting::Queues<QueueKey>,
    rooms: BTreeMap<QueueKey, Room>,
    wakers: BTreeMap<Ticket, Arc<Notify>>,
    deadlines: deadlines::Deadlines,
    /// By group and model.
    occupancies: BTreeMap<(SmolStr, SmolStr), refusal::Occupancy>,
}

/// What the last attempts of a queue to find a server had as their results.
#[derive(Debug, Default)]
struct Room {
    /// By lane.
    choices: BTreeMap<u64, (Instant, Choice)>,
    /// The number of requests that the servers run at once, and when they were counted.
    places: Option<(Instant, u32)>,
}

impl Inner {
    /// Wakes the requests of a queue whose turn it is now.
    fn wake(&mut self, key: &QueueKey) {
        if let Some(line) = self.queues.line(key) {
            for ticket in line.queue.take_woken() {
                if let Some(waker) = self.wakers.get(&ticket) {
                    waker.notify_one();
                }
            }
        }
    }

    /// Whether requests wait in a queue.
    fn has_waiting(&mut self, key: &QueueKey) -> bool {
        let line = self.queues.line(key);
        line.is_some_and(|line| !line.queue.is_empty())
    }

    fn turn(&mut self, now: Instant, key: &QueueKey, ticket: Ticket) -> Turn {
        let line = self.queues.line(key);
        let turn = line.map_or(Turn::Sleep, |line| line.queue.turn(now, ticket));
        // Requests that count one priority higher since may come before it.
        self.wake(key);
        turn
    }
}

impl Waiting {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("the lock is not poisoned")
    }
}

/// A request that waits for a server, or is about to. It leaves its queue when this is dropped.
#[derive(Debug)]
pub struct Place<P>
where
    P: Send + Sync,
{
    node: Arc<Node<P>>,
    parts: scheduling::Parts,
    key: QueueKey,
    entry: waiting::Entry,
    ticket: Option<Ticket>,
    waker: Arc<Notify>,
    /// When the request began to wait for a server with room, and how long it was expected to.
    expected: Option<(Instant, Duration)>,
}

impl<P> Node<P>
where
    P: Send + Sync,
{
    /// Prepares a request to wait in order; `None` if that is not in force.
    #[must_use]
    pub fn place(
        self: &Arc<Self>,
        job: &attempt::Job,
        tried: &[SmolStr],
        queue: &QueueKey,
        until: Instant,
    ) -> Option<Place<P>> {
        let parts = self.parts();
        if !parts.waiting && !parts.refusal {
            return None;
        }
        let now = self.now();
        let route = &job.route;
        let stated = job.call.deadline;
        let has_returned =
            self.waiting
                .lock()
                .deadlines
                .observe(now, &route.name, route.timeout, stated);
        let first_byte = timeout::first_byte(route, job.deadline.since(job.arrived));
        let tokens = job.call.total_tokens.unwrap_or(job.call.prompt_tokens);
        let entry = waiting::Entry {
            lane: lane(queue, tried),
            priority: job.priority,
            has_returned,
            organisation: job.organisation.clone().unwrap_or_default(),
            tokens,
            since: job.arrived,
            promotion_interval: first_byte / 2,
            until,
        };
        let key = QueueKey {
            adapter: None,
            ..queue.clone()
        };
        Some(Place {
            node: Arc::clone(self),
            parts,
            key,
            entry,
            ticket: None,
            waker: Arc::default(),
            expected: None,
        })
    }

    /// Records that a request of this instance has left a server, where it was for `took`.
    pub(super) fn record_freed_place(
        &self,
        group: &SmolStr,
        model: &SmolStr,
        took: Option<Duration>,
    ) {
        let now = self.now();
        let mut inner = self.waiting.lock();
        let key = (group.clone(), model.clone());
        if let Some(took) = took
            && (inner.occupancies.len() < MAX_OCCUPANCIES || inner.occupancies.contains_key(&key))
        {
            inner.occupancies.entry(key).or_default().observe(took);
        }
        if inner.queues.is_empty() {
            return;
        }
        let model = Some(model.clone()).filter(|model| !model.is_empty());
        let from = QueueKey {
            group: group.clone(),
            model: model.clone(),
            adapter: None,
            version: None,
        };
        let lines = inner.queues.range_mut(from);
        let lines = lines.take_while(|(key, _)| key.group == *group && key.model == model);
        let mut keys = Vec::new();
        for (key, line) in lines {
            if !line.queue.is_empty() {
                line.queue.reopen(now);
                keys.push(key.clone());
            }
        }
        for key in keys {
            inner.wake(&key);
        }
    }

    /// The number of waiting requests by priority.
    #[must_use]
    pub fn waiting_by_priority(&self) -> BTreeMap<u8, usize> {
        let mut counts = BTreeMap::new();
        for line in self.waiting.lock().queues.values() {
            for (priority, count) in line.queue.count_by_priority() {
                *counts.entry(priority).or_default() += count;
            }
        }
        counts
    }
}

impl<P> Place<P>
where
    P: Send + Sync,
{
    /// Chooses a server if it is the request's turn. Otherwise the result is that of the last request of its lane.
    ///
    /// # Errors
    ///
    /// Returns [`waiting::Full`] if no further request may wait.
    pub fn choose(&mut self, query: Query<'_>) -> Result<Choice, waiting::Full> {
        let now = self.node.now();
        let ticket = match self.ticket {
            Some(ticket) => ticket,
            None if self.parts.waiting && self.node.waiting.lock().has_waiting(&self.key) => {
                self.join(now)?
            }
            None => {
                let choice = self.node.choose(query);
                if !matches!(choice, Choice::Server(_)) {
                    let ticket = self.join(now)?;
                    let turn = self.node.waiting.lock().turn(now, &self.key, ticket);
                    self.record(now, query, ticket, turn, &choice);
                }
                return Ok(choice);
            }
        };
        let turn = match self.parts.waiting {
            true => self.node.waiting.lock().turn(now, &self.key, ticket),
            false => Turn::Try(0),
        };
        if !matches!(turn, Turn::Try(_)) {
            return Ok(self.last_choice(now, query));
        }
        let choice = self.node.choose(query);
        match &choice {
            Choice::Server(_) => self.leave(true),
            _ => self.record(now, query, ticket, turn, &choice),
        }
        Ok(choice)
    }

    /// Decides whether the request, which found no server with room, goes on waiting. `None` if that is not known.
    pub fn decide(
        &mut self,
        forecast: Option<Duration>,
        left: Duration,
        caller_left: Duration,
    ) -> Option<refusal::Decision> {
        if !self.parts.refusal {
            return None;
        }
        let now = self.node.now();
        let outlook = self.outlook(now, forecast, left, caller_left)?;
        let mut inner = self.node.waiting.lock();
        let line = inner.queues.line(&self.key)?;
        let interval = line.pace.observe(now, outlook.interval())?;
        let decision = line.returns.decide(now, &outlook, Some(interval));
        drop(inner);
        let expected = outlook.expected(interval);
        self.expected.get_or_insert((now, expected));
        if let refusal::Decision::Refuse(wait) = decision {
            log::info!(
                group = self.key.group.as_str(), model = self.key.model.as_deref().unwrap_or_default(),
                priority = u64::from(self.entry.priority), returned = self.entry.has_returned,
                organisation = self.entry.organisation.as_str(), ahead = u64::from(outlook.ahead.requests),
                ahead_tokens = outlook.ahead.tokens, waiting = u64::from(outlook.waiting), places = u64::from(outlook.places),
                freed_per_second = outlook.freed_per_second.unwrap_or_default(),
                freed_for_priority = outlook.freed_for_priority.unwrap_or_default(),
                forecast_ms = forecast.map_or(0, clock::millis), expected_ms = clock::millis(expected),
                left_ms = clock::millis(left), caller_left_ms = clock::millis(caller_left),
                waited_ms = clock::millis(now.since(self.entry.since)), retry_after_ms = clock::millis(wait);
                "can't be served in time"
            );
        }
        Some(decision)
    }

    /// When the caller of the request, which is refused for want of room, is to come back; `None` if that is not known.
    #[must_use]
    pub fn return_delay(
        &mut self,
        forecast: Option<Duration>,
        caller_left: Duration,
    ) -> Option<Duration> {
        if !self.parts.refusal {
            return None;
        }
        let now = self.node.now();
        let left = self.entry.until.since(self.entry.since);
        let outlook = self.outlook(now, forecast, left, caller_left)?;
        let interval = outlook.interval()?;
        let mut inner = self.node.waiting.lock();
        let line = inner.queues.line(&self.key)?;
        Some(line.returns.delay(now, &outlook, interval))
    }

    fn outlook(
        &self,
        now: Instant,
        forecast: Option<Duration>,
        left: Duration,
        caller_left: Duration,
    ) -> Option<refusal::Outlook> {
        let ticket = self.ticket?;
        let mut inner = self.node.waiting.lock();
        let model = self.key.model.clone().unwrap_or_default();
        let occupancy = inner.occupancies.get(&(self.key.group.clone(), model));
        let occupied = occupancy.and_then(refusal::Occupancy::mean);
        let places = inner.rooms.get(&self.key).and_then(|room| room.places);
        let line = inner.queues.line(&self.key)?;
        Some(refusal::Outlook {
            ahead: line.queue.ahead(ticket),
            places: places.map_or(0, |(_, places)| places),
            waiting: u32::try_from(line.queue.len()).unwrap_or(u32::MAX),
            freed_per_second: line.pace.freed_per_second(now, 0),
            freed_for_priority: line.pace.freed_per_second(now, self.entry.priority),
            occupied,
            forecast,
            left,
            caller_left,
        })
    }

    /// Waits until the request may find a server, or has to be checked again. `check_after` is the time after which the first
    /// request looks again.
    pub async fn wait(&self, changed: &mut watch::Receiver<u64>, check_after: Duration) {
        let now = self.node.now();
        let Some((turn, has_lanes)) = self.find_turn(now) else {
            return;
        };
        if !self.parts.waiting {
            tokio::select! {
                _ = changed.changed() => {}
                () = time::sleep(check_after) => {}
            }
            return;
        }
        match turn {
            Turn::Try(_) => task::yield_now().await,
            Turn::Watch => {
                let delay = match has_lanes {
                    true => check_after.min(ROOM_CHECK_INTERVAL),
                    false => check_after,
                };
                tokio::select! {
                    _ = changed.changed() => {}
                    () = time::sleep(delay) => {}
                    () = self.waker.notified() => return,
                }
                self.reopen();
            }
            Turn::Sleep => {
                let delay = check_after.max(refusal::CHECK_INTERVAL);
                let delay = delay.min(self.entry.until.since(now));
                tokio::select! {
                    () = time::sleep(delay.max(Duration::from_millis(1))) => {}
                    () = self.waker.notified() => {}
                }
            }
        }
    }

    /// What the request may do now, and whether others in its queue need other servers.
    fn find_turn(&self, now: Instant) -> Option<(Turn, bool)> {
        let ticket = self.ticket?;
        let mut inner = self.node.waiting.lock();
        let turn = inner.turn(now, &self.key, ticket);
        let room = inner.rooms.get(&self.key);
        Some((turn, room.is_some_and(|room| room.choices.len() > 1)))
    }

    fn reopen(&self) {
        let now = self.node.now();
        let mut inner = self.node.waiting.lock();
        if let Some(line) = inner.queues.line(&self.key) {
            line.queue.reopen(now);
        }
        inner.wake(&self.key);
    }

    fn join(&mut self, now: Instant) -> Result<Ticket, waiting::Full> {
        let mut inner = self.node.waiting.lock();
        let ticket = inner.queues.push(now, &self.key, self.entry.clone())?;
        inner.wakers.insert(ticket, Arc::clone(&self.waker));
        inner.wake(&self.key);
        self.ticket = Some(ticket);
        Ok(ticket)
    }

    fn leave(&mut self, is_served: bool) {
        let Some(ticket) = self.ticket.take() else {
            return;
        };
        let now = self.node.now();
        let mut inner = self.node.waiting.lock();
        inner.wakers.remove(&ticket);
        inner.queues.remove(now, &self.key, ticket, is_served);
        if !inner.has_waiting(&self.key) {
            inner.rooms.remove(&self.key);
        }
        inner.wake(&self.key);
        drop(inner);
        let waited = now.since(self.entry.since);
        let outcome = if is_served { "sent" } else { "left" };
        self.node
            .metrics
            .record_wait(self.entry.priority, outcome, waited);
        if let (true, Some((at, expected))) = (is_served, self.expected) {
            self.node.metrics.record_wait_error(expected, now.since(at));
        }
    }

    /// Records that the request found no server.
    fn record(&self, now: Instant, query: Query<'_>, ticket: Ticket, turn: Turn, choice: &Choice) {
        let is_full = matches!(choice, Choice::Full(_));
        let mut inner = self.node.waiting.lock();
        let room = inner.rooms.entry(self.key.clone()).or_default();
        room.choices.insert(self.entry.lane, (now, choice.clone()));
        let is_due = room
            .places
            .is_none_or(|(at, _)| now.since(at) >= COUNT_INTERVAL);
        if let Some(line) = inner.queues.line(&self.key) {
            let least_urgent = line.queue.least_urgent().filter(|_| is_full);
            line.pace.set_busy(now, least_urgent);
            if let Turn::Try(reopened) = turn {
                line.queue.block(ticket, reopened);
            }
        }
        inner.wake(&self.key);
        drop(inner);
        if is_full && is_due && self.parts.refusal {
            let places = self.node.count_places(query.queue);
            let mut inner = self.node.waiting.lock();
            if let Some(room) = inner.rooms.get_mut(&self.key) {
                room.places = Some((now, places));
            }
        }
    }

    /// The result of the last request of the lane that looked for a server.
    fn last_choice(&self, now: Instant, query: Query<'_>) -> Choice {
        let inner = self.node.waiting.lock();
        let room = inner.rooms.get(&self.key);
        let last = room.and_then(|room| room.choices.get(&self.entry.lane).cloned());
        drop(inner);
        match last {
            Some((_, Choice::NotLoaded(_))) => {
                Choice::NotLoaded(self.node.expected_wait(query.queue))
            }
            Some((at, Choice::Resting(wait))) => {
                Choice::Resting(wait.saturating_sub(now.since(at)))
            }
            Some((_, Choice::Full(_))) | None => Choice::Full(self.node.expected_wait(query.queue)),
            Some((_, choice)) => choice,
        }
    }
}

impl<P> Drop for Place<P>
where
    P: Send + Sync,
{
    fn drop(&mut self) {
        self.leave(false);
    }
}

impl<P> Node<P>
where
    P: Send + Sync,
{
    /// The number of requests that the servers run at once to which requests of a queue can go.
    fn count_places(&self, queue: &QueueKey) -> u32 {
        let now = self.now();
        let state = self.lock();
        let prefer_steward = state.steward_data_valid(now);
        state
            .usable_servers(now, queue)
            .filter(|known| queue.allows(&known.server))
            .filter(|known| {
                let holds = |model: &SmolStr| {
                    let held = known.held(prefer_steward);
                    held.holds(model, queue.adapter.as_deref())
                };
                queue.model.as_ref().is_none_or(holds)
            })
            .map(|known| known.server.slots)
            .sum()
    }
}

/// Requests that the same servers can run have the same lane.
fn lane(queue: &QueueKey, tried: &[SmolStr]) -> u64 {
    let mut names: Vec<&str> = tried.iter().map(SmolStr::as_str).collect();
    names.sort_unstable();
    names.insert(0, queue.adapter.as_deref().unwrap_or_default());
    xxh3::xxh3_64(names.join("\n").as_bytes())
}
