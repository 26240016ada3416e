//! Whether a request that waits, or would begin to wait, is served in time.
//!
//! The time until a request is sent follows from the requests ahead of it and from how fast places become free. Two figures
//! tell the latter: what this instance has seen of its own queue, and the steward's forecast for all instances. A request is
//! refused only if neither leaves it enough time, and only by the most favourable of the last estimates.

use std::time::Duration;

use super::rate;
use super::waiting::queue::Ahead;
use crate::clock;

/// Half-life of what was observed of a queue: about as long as a request for a stream may wait.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// The time for which requests must have waited before the observed rate counts. Places of streams become free every few
/// hundred milliseconds, so less says nothing.
const MIN_OBSERVATION: Duration = Duration::from_millis(500);
/// The time for which an estimate is compared with earlier ones: the most favourable counts, so that one slow moment refuses
/// nobody. Twice the interval between two reports of the steward.
const HOLD: Duration = Duration::from_millis(200);
/// The interval at which a waiting request is checked again.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The longest expected time, for queues that no place becomes free for.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// The divisor of a caller's remaining time that gives the latest time to come back. Callers that are told a later time come
/// back earlier or not at all.
const RETURN_DIVISOR: u32 = 3;
/// The shortest time after which a caller is asked to come back.
const MIN_RETURN_DELAY: Duration = Duration::from_millis(50);
/// How far beyond a third of its time a caller is told to come back that would come back in vain.
const IN_VAIN_FACTOR: f64 = 1.5;

/// Number of priorities that are told apart. Sites use three.
const LEVELS: usize = 4;
/// The weight of one further request in the mean time that requests occupy a place.
const OCCUPANCY_SMOOTHING: f64 = 0.1;

/// What is known of the queue of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outlook {
    /// The requests that are served before it.
    pub ahead: Ahead,
    /// The number of requests that run at once on the servers that can run it.
    pub places: u32,
    /// The number of requests in the queue.
    pub waiting: u32,
    /// How many places a second become free for the queue, as observed here; `None` until it is known.
    pub freed_per_second: Option<f64>,
    /// The same for requests of its priority or less urgent ones: the others may take all places.
    pub freed_for_priority: Option<f64>,
    /// How long a request of this instance usually occupies a place; `None` until it is known.
    pub occupied: Option<Duration>,
    /// The steward's forecast for a request that begins to wait now.
    pub forecast: Option<Duration>,
    /// How long the request may still wait for a server.
    pub left: Duration,
    /// How long its caller waits for the answer.
    pub caller_left: Duration,
}

/// Whether a request goes on waiting.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// It waits.
    Wait,
    /// It is refused, and its caller is told to come back after this time.
    Refuse(Duration),
}

impl Outlook {
    /// The time between two places of the queue that become free; `None` if nothing is known. It is the shorter one of what
    /// this instance observes and the steward forecasts, but not less than what the servers can do at all.
    #[must_use]
    pub fn interval(&self) -> Option<Duration> {
        let observed = self
            .freed_per_second
            .map(|rate| Duration::try_from_secs_f64(1.0 / rate).unwrap_or(MAX_WAIT));
        let forecast = self.forecast.map(|forecast| forecast / self.waiting.max(1));
        let bound = self
            .occupied
            .filter(|_| self.places > 0)
            .map(|occupied| occupied / self.places);
        let interval = match (observed, forecast) {
            (Some(observed), Some(forecast)) => Some(observed.min(forecast)),
            (observed, forecast) => observed.or(forecast),
        };
        Some(interval?.max(bound.unwrap_or_default()).min(MAX_WAIT))
    }

    /// The expected time until the request is sent, if a place becomes free at this interval.
    #[must_use]
    pub fn expected(&self, interval: Duration) -> Duration {
        let requests = self.ahead.requests.saturating_add(1);
        let by_all = interval.checked_mul(requests).unwrap_or(MAX_WAIT);
        let by_priority = self.freed_for_priority.map_or(Duration::ZERO, |rate| {
            let peers = f64::from(self.ahead.peers) + 1.0;
            Duration::try_from_secs_f64(peers / rate).unwrap_or(MAX_WAIT)
        });
        by_all.max(by_priority).min(MAX_WAIT)
    }
}

/// How fast places become free for requests of one priority or less urgent ones.
#[derive(Clone, Copy, Debug, Default)]
struct Level {
    served: rate::Rate,
    /// Seconds in which such requests waited for a place, decayed like `served`.
    busy: f64,
    is_busy: bool,
}

/// How fast places become free for one queue.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    /// By priority; the last one is for all further priorities.
    levels: [Level; LEVELS],
    updated: clock::Instant,
    /// The shortest intervals in the current and the last span of [`HOLD`], and when the current one began.
    shortest: [Option<Duration>; 2],
    span_start: clock::Instant,
}

impl Pace {
    /// Records that a request of this priority was sent to a server. It counts only while such requests wait for a place.
    pub fn record_served(&mut self, now: clock::Instant, priority: u8) {
        self.update(now);
        for level in &mut self.levels[..=index(priority)] {
            if level.is_busy {
                level.served.add(now, HALF_LIFE, 1.0);
            }
        }
    }

    /// Records whether requests wait for a place from now on, with the priority of the least urgent one.
    pub fn set_busy(&mut self, now: clock::Instant, least_urgent: Option<u8>) {
        self.update(now);
        let least_urgent = least_urgent.map(index);
        for (index, level) in self.levels.iter_mut().enumerate() {
            level.is_busy = least_urgent.is_some_and(|least_urgent| index <= least_urgent);
        }
    }

    /// How many places a second become free for requests of this priority or less urgent ones while such requests wait; `None`
    /// until that has been observed for long enough. One place more is counted than became free: the next one may do so now.
    #[must_use]
    pub fn freed_per_second(&mut self, now: clock::Instant, priority: u8) -> Option<f64> {
        self.update(now);
        let level = &self.levels[index(priority)];
        if level.busy < MIN_OBSERVATION.as_secs_f64() {
            return None;
        }
        let half_lives_per_weight = std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64();
        let served = level.served.per_second(now, HALF_LIFE) / half_lives_per_weight;
        Some((served + 1.0) / level.busy)
    }

    /// Records the interval between two places that become free, and returns the shortest of the last estimates; `None` until
    /// there are estimates of at least [`HOLD`].
    pub fn observe(&mut self, now: clock::Instant, interval: Option<Duration>) -> Option<Duration> {
        let age = now.since(self.span_start);
        if age >= HOLD {
            let [current, _] = self.shortest;
            self.shortest = [None, current.filter(|_| age < HOLD * 4)];
            self.span_start = now;
        }
        let interval = interval.unwrap_or_default();
        let [current, last] = &mut self.shortest;
        *current = Some(current.map_or(interval, |shortest| shortest.min(interval)));
        let (current, last) = (*current, (*last)?);
        current.map(|current| current.min(last))
    }

    fn update(&mut self, now: clock::Instant) {
        let elapsed = now.since(self.updated);
        self.updated = self.updated.max(now);
        let retained = 0.5_f64.powf(elapsed.div_duration_f64(HALF_LIFE));
        // The integral of the decay over the elapsed time.
        let mean_life = HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2;
        let added = mean_life * (1.0 - retained);
        for level in &mut self.levels {
            level.busy = level.busy * retained + if level.is_busy { added } else { 0.0 };
        }
    }
}

fn index(priority: u8) -> usize {
    usize::from(priority).min(LEVELS - 1)
}

/// When the callers that were refused come back: one after the other, at the rate at which places become free.
#[derive(Clone, Copy, Debug, Default)]
pub struct Returns {
    next: clock::Instant,
}

impl Returns {
    /// Decides on a request for which a place becomes free at each `interval`, by the last estimates; `None` if there are none.
    pub fn decide(
        &mut self,
        now: clock::Instant,
        outlook: &Outlook,
        interval: Option<Duration>,
    ) -> Decision {
        let Some(interval) = interval else {
            return Decision::Wait;
        };
        let expected = outlook.expected(interval);
        if expected <= outlook.left {
            return Decision::Wait;
        }
        Decision::Refuse(self.delay(now, outlook, interval))
    }

    /// The time after which the caller of a refused request comes back to find a place.
    pub fn delay(
        &mut self,
        now: clock::Instant,
        outlook: &Outlook,
        interval: Duration,
    ) -> Duration {
        let drained = now.after(outlook.expected(interval));
        let at = drained.max(self.next);
        let wait = at.since(now);
        let latest = outlook.caller_left / RETURN_DIVISOR;
        if wait <= latest {
            self.next = at.after(interval);
            return wait.max(MIN_RETURN_DELAY);
        }
        // A caller that comes back goes before others, so what is left to wait then counts against the same part of its time
        // that it may wait now.
        let share = match outlook.caller_left.is_zero() {
            true => 0.0,
            false => outlook.left.div_duration_f64(outlook.caller_left).min(1.0),
        };
        let left_then = (outlook.caller_left - latest).mul_f64(share);
        if wait - latest <= left_then {
            self.next = at.after(interval);
            return latest.max(MIN_RETURN_DELAY);
        }
        wait.max(latest.mul_f64(IN_VAIN_FACTOR))
            .max(MIN_RETURN_DELAY)
    }
}

/// How long requests of this instance occupy a place at a server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Occupancy {
    mean: Option<Duration>,
}

impl Occupancy {
    /// Records a request that has ended.
    pub fn observe(&mut self, took: Duration) {
        let mean = self.mean.unwrap_or(took);
        self.mean =
            Some(mean.mul_f64(1.0 - OCCUPANCY_SMOOTHING) + took.mul_f64(OCCUPANCY_SMOOTHING));
    }

    /// How long a request occupies a place; `None` before one has ended.
    #[must_use]
    pub fn mean(&self) -> Option<Duration> {
        self.mean
    }
}
