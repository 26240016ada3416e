//! Chooses the backend server that a request is sent to.

use std::time::Duration;

use super::announcement::window::Window;
use super::speed::{self, estimate, expected};
use crate::clock;

/// The age from which a server's load report is ignored. Servers send one with each response.
const SERVER_REPORT_TTL: Duration = Duration::from_millis(1500);
/// The half-life of the failure rate, which gives a failed server another chance a few seconds later.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(3);
/// The weight of one further failure or success in the failure rate.
const FAILURE_SMOOTHING: f64 = 0.3;
/// The cost of a failure rate of 1. A cost of 1 corresponds to as many requests as the server has slots.
const FAILURE_WEIGHT: f64 = 3.0;
/// The cost, in the same unit, of sending a request to another failure domain: traffic between domains is
/// charged for.
const CROSS_DOMAIN_COST: f64 = 0.02;
/// The cost, in the same unit, of sending a request through another instance.
const DETOUR_COST: f64 = 0.1;
/// The time for which an unreachable server isn't chosen while another candidate is reachable.
const UNREACHABLE_HOLD_OFF: Duration = Duration::from_millis(1000);
/// The interval at which one request probes an unreachable server when no other candidate is left. If all
/// waiting requests tried it, they would use up their attempts and the retry budget within milliseconds and
/// be refused before another replica is loaded.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// The time for which a server counts as unreachable after another server has answered at its address: it is
/// chosen only if no other candidate is reachable. The directory entry disappears within seconds.
const REPLACED_HOLD_OFF: Duration = Duration::from_secs(10);
/// The share of an engine's slots up to which it gets requests beyond those that it runs at once. More
/// requests would only wait there, late and bound to that engine, while another replica of their model is
/// loaded. With none, slots would stay empty until instances learn that they are free.
const MAX_QUEUE_RATIO: f64 = 0.5;
/// The share of an engine's slots that requests leave free for those that can't go to other servers, and the least number
/// of requests. It is part of the requests beyond those that the engine runs at once, so that no slot stays empty.
const RESERVED_RATIO: f64 = 0.25;
const MIN_RESERVED: f64 = 1.0;
/// The time for which a server isn't chosen after it refused a request because it was full.
const FULL_HOLD_OFF: Duration = Duration::from_millis(40);
/// The time for which no instance is asked for a place at a brittle server after none had one to spare.
const NO_PLACE_HOLD_OFF: Duration = Duration::from_millis(100);

/// The half-life of a load report where the expected time of requests counts: a full engine ends that share of its
/// requests within it.
const SERVER_REPORT_HALF_LIFE: Duration = Duration::from_millis(300);

/// A load report of a server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// The number of running requests.
    pub running: u32,
    /// The number of requests that wait for a slot.
    pub waiting: u32,
    /// The number of requests that the server can run at once.
    pub slots: u32,
    /// How long work takes on the server's machine at this moment, in percent of the usual time, if the server tells.
    pub slowness_percent: Option<u32>,
}

/// The statistics that an instance keeps of one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Stats {
    /// The number of requests of this instance in flight at the server.
    pub in_flight: u32,
    /// Those of them that have a place in the window of another instance.
    pub borrowed: u32,
    /// The number of places in the window that other instances use.
    lent: u32,
    no_place_until: clock::Instant,
    report: Option<(clock::Instant, Report)>,
    failure_rate: f64,
    failure_rate_updated: clock::Instant,
    unreachable_until: clock::Instant,
    last_probe: clock::Instant,
    full_until: clock::Instant,
    /// The window for a server that has announced that it is brittle.
    window: Option<Window>,
}

/// A server that can take a request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The statistics of the server.
    pub stats: &'a Stats,
    /// The number of requests that the server runs at once.
    pub slots: u32,
    /// Whether the server is in the failure domain of this instance.
    pub same_domain: bool,
    /// Whether requests to the server go through another instance.
    pub is_detour: bool,
    /// Whether the request leaves room at the server for those that can't go to other servers.
    pub leaves_reserve: bool,
    /// The number of requests of other instances at the server, according to the steward. It only decides
    /// whether the server has room and doesn't rank servers: all instances receive the same numbers a moment
    /// late and would all turn to the server that was idle then.
    pub other_requests: u32,
    /// The time until the prompt is prefilled at the server, as a ratio of the objective for the first event; only what it
    /// costs besides while the speed of servers counts.
    pub prefill_ratio: f64,
    /// What the request can expect of the server; `None` while the speed of servers doesn't count.
    pub expected: Option<expected::Expected>,
}

impl Stats {
    /// Records a load report.
    pub fn record_report(&mut self, now: clock::Instant, report: Report) {
        self.report = Some((now, report));
    }

    /// Records a successful response.
    pub fn record_success(&mut self, now: clock::Instant) {
        self.failure_rate = self.failure_rate_at(now) * (1.0 - FAILURE_SMOOTHING);
        self.failure_rate_updated = now;
        self.unreachable_until = clock::Instant::default();
    }

    /// Records a failed request.
    pub fn record_failure(&mut self, now: clock::Instant) {
        let failure_rate = self.failure_rate_at(now);
        self.failure_rate = failure_rate + (1.0 - failure_rate) * FAILURE_SMOOTHING;
        self.failure_rate_updated = now;
    }

    /// Records that the server couldn't be reached.
    pub fn record_unreachable(&mut self, now: clock::Instant) {
        self.record_failure(now);
        self.unreachable_until = now.after(UNREACHABLE_HOLD_OFF);
        self.last_probe = now;
    }

    /// Whether one request may try the server although it is unreachable. If so, the probe counts as made.
    pub fn try_probe(&mut self, now: clock::Instant) -> bool {
        let due = now.since(self.last_probe) >= PROBE_INTERVAL;
        if due {
            self.last_probe = now;
        }
        due
    }

    /// Records that another server answers at the server's address, so its directory entry is outdated.
    pub fn record_replaced(&mut self, now: clock::Instant) {
        self.unreachable_until = now.after(REPLACED_HOLD_OFF);
    }

    /// Records that the server had no room for a request, or that this instance had no free connection to it.
    pub fn record_full(&mut self, now: clock::Instant) {
        self.full_until = now.after(FULL_HOLD_OFF);
    }

    /// Records whether the server announces that it is brittle, with the number of rejections per second that it tolerates.
    /// `draw` is from 0 to 1. Returns whether that has changed.
    pub fn observe_brittleness(
        &mut self,
        now: clock::Instant,
        rejections: Option<u32>,
        slots: u32,
        instances: usize,
        draw: f64,
    ) -> bool {
        let is_changed = self.window.is_some() != rejections.is_some();
        if is_changed {
            self.window = rejections.map(|count| Window::new(now, slots, count, instances, draw));
        }
        is_changed
    }

    /// Whether the server announces that it is brittle.
    #[must_use]
    pub fn is_brittle(&self) -> bool {
        self.window.is_some()
    }

    /// Records that the server has rejected a request of this instance's window for want of room.
    pub fn record_rejection(&mut self, now: clock::Instant) {
        self.record_full(now);
        self.shrink_window(now);
    }

    /// Records that the server has rejected a request of another instance, which had a place in this one's window.
    pub fn record_lent_rejection(&mut self, now: clock::Instant) {
        self.shrink_window(now);
    }

    fn shrink_window(&mut self, now: clock::Instant) {
        let others = self.occupied().saturating_sub(1);
        if let Some(window) = &mut self.window {
            window.record_rejection(now, others);
        }
    }

    /// Lends a place in the window to another instance, if there is one to spare.
    pub fn try_lend(&mut self, now: clock::Instant) -> bool {
        let occupied = self.occupied();
        let may_lend = self
            .window
            .is_some_and(|window| window.may_lend(now, occupied));
        self.lent += u32::from(may_lend);
        may_lend
    }

    /// Takes back a place that was lent.
    pub fn take_back(&mut self) {
        self.lent = self.lent.saturating_sub(1);
    }

    /// Records that no other instance had a place at the server to spare.
    pub fn record_no_place(&mut self, now: clock::Instant) {
        self.no_place_until = now.after(NO_PLACE_HOLD_OFF);
    }

    /// Records that a request waits for the server.
    pub fn record_demand(&mut self, now: clock::Instant) {
        if let Some(window) = &mut self.window {
            window.record_demand(now);
        }
    }

    /// The number of rejections in a second that the server tolerates, if it announces that it is brittle.
    #[must_use]
    pub fn tolerated_rejections(&self) -> Option<u32> {
        self.window.map(|window| window.rejections())
    }

    /// The number of places in the window that are in use.
    fn occupied(&self) -> u32 {
        self.in_flight.saturating_sub(self.borrowed) + self.lent
    }

    fn has_place(&self, now: clock::Instant) -> bool {
        self.window
            .is_none_or(|window| window.has_room(now, self.occupied()))
    }

    /// Whether the server is considered unreachable.
    #[must_use]
    pub fn is_unreachable(&self, now: clock::Instant) -> bool {
        now < self.unreachable_until
    }

    fn failure_rate_at(&self, now: clock::Instant) -> f64 {
        let half_lives =
            now.since(self.failure_rate_updated).as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        self.failure_rate * 0.5_f64.powf(half_lives)
    }

    /// Returns the number of this instance's requests at the server, or of all requests that the server has
    /// reported, whichever is larger.
    fn load(&self, now: clock::Instant) -> f64 {
        let own = f64::from(self.in_flight);
        let reported = self
            .report
            .filter(|(at, _)| now.since(*at) < SERVER_REPORT_TTL)
            .map_or(0.0, |(_, report)| {
                f64::from(report.running + report.waiting)
            });
        own.max(reported)
    }

    /// Returns the number of requests at the server that its last report lets expect now.
    fn reported_requests(&self, now: clock::Instant) -> f64 {
        let report = self
            .report
            .filter(|(at, _)| now.since(*at) < SERVER_REPORT_TTL);
        report.map_or(0.0, |(at, report)| {
            let half_lives = now.since(at).div_duration_f64(SERVER_REPORT_HALF_LIFE);
            f64::from(report.running + report.waiting) * 0.5_f64.powf(half_lives)
        })
    }
}

impl Candidate<'_> {
    /// Whether another request may be sent to the server, and the server can run it within a short wait, as far as is known.
    fn has_room(&self, now: clock::Instant) -> bool {
        self.stats.has_place(now) && !self.is_full(now)
    }

    /// Whether a request may be sent to the server with a place in the window of another instance.
    fn has_room_beyond_window(&self, now: clock::Instant) -> bool {
        let is_beyond = !self.stats.has_place(now) && now >= self.stats.no_place_until;
        is_beyond && !self.is_full(now)
    }

    /// Whether the server can't run one more request within a short wait, as far as is known. A server at which the steward
    /// reports no requests of other instances isn't full until it refuses a request.
    fn is_full(&self, now: clock::Instant) -> bool {
        // A brittle server may let fewer requests wait than others.
        let queue_ratio = if self.stats.is_brittle() {
            0.0
        } else {
            MAX_QUEUE_RATIO
        };
        let slots = f64::from(self.slots);
        let reserved = match self.leaves_reserve {
            true => (slots * RESERVED_RATIO).max(MIN_RESERVED),
            false => 0.0,
        };
        if let Some(expected) = self.expected {
            let max_requests = expected.max_requests(self.slots, queue_ratio, reserved);
            let requests = self.requests(now);
            return now < self.stats.full_until
                || requests >= max_requests
                || !expected.is_within_share(requests, max_requests);
        }
        let max_requests = slots.max(slots * (1.0 + queue_ratio) - reserved);
        let known_requests = f64::from(self.stats.in_flight + self.other_requests);
        let is_full = self.other_requests > 0 && known_requests >= max_requests;
        now < self.stats.full_until || is_full
    }

    /// Returns the number of requests of all instances at the server, as far as is known.
    fn requests(&self, now: clock::Instant) -> f64 {
        let known = f64::from(self.stats.in_flight + self.other_requests);
        known.max(self.stats.reported_requests(now))
    }

    /// Returns the cost of sending one more request to the server. A cost of 1 corresponds to as many
    /// requests as the server has slots, or to the objective if the expected time counts. `draw` is from 0 to 1.
    fn cost(&self, now: clock::Instant, draw: f64) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let mut cost = match self.expected {
            Some(expected) => expected.cost(self.requests(now), self.slots, draw),
            None => self.stats.load(now) / slots,
        };
        cost += self.stats.failure_rate_at(now) * FAILURE_WEIGHT;
        cost += if self.same_domain {
            0.0
        } else {
            CROSS_DOMAIN_COST
        };
        if self.is_detour {
            cost += DETOUR_COST;
        }
        cost + self.prefill_ratio
    }

    /// Whether the server's pace is known to miss what the request allows.
    fn misses_pace(&self) -> bool {
        self.expected.is_some_and(|expected| !expected.keeps_pace())
    }
}

/// Returns the index of the best candidate, or `None` if every candidate is known to be full. `draw` breaks
/// ties, so that instances don't all choose the same server.
#[must_use]
pub fn pick(now: clock::Instant, candidates: &[Candidate<'_>], draw: u64) -> Option<usize> {
    pick_where(now, candidates, draw, |candidate| candidate.has_room(now))
}

/// Returns the index of the best candidate for a request with a place in the window of another instance, or `None` if there is
/// none that needs one.
#[must_use]
pub fn pick_beyond_window(
    now: clock::Instant,
    candidates: &[Candidate<'_>],
    draw: u64,
) -> Option<usize> {
    pick_where(now, candidates, draw, |candidate| {
        candidate.has_room_beyond_window(now)
    })
}

/// Returns the index of the candidate that would be picked with the same draw if all servers were as fast as usual, or
/// `None` if none of them deviates.
#[must_use]
pub fn pick_at_usual_speed(
    now: clock::Instant,
    candidates: &[Candidate<'_>],
    draw: u64,
) -> Option<usize> {
    let deviates = |candidate: &Candidate<'_>| {
        let expected = candidate.expected.as_ref();
        expected.is_some_and(|expected| estimate::deviates(expected.slowness()))
    };
    if !candidates.iter().any(deviates) {
        return None;
    }
    let usual: Vec<Candidate<'_>> = candidates
        .iter()
        .map(|candidate| Candidate {
            expected: candidate.expected.map(expected::Expected::at_usual_speed),
            ..*candidate
        })
        .collect();
    pick(now, &usual, draw)
}

fn pick_where<F>(
    now: clock::Instant,
    candidates: &[Candidate<'_>],
    draw: u64,
    is_usable: F,
) -> Option<usize>
where
    F: Fn(&Candidate<'_>) -> bool,
{
    let count = candidates.len();
    if count == 0 {
        return None;
    }
    let first = usize::try_from(draw % count as u64).unwrap_or_default();
    (0..count)
        .map(|offset| (first + offset) % count)
        .filter(|index| is_usable(&candidates[*index]))
        .map(|index| {
            let candidate = &candidates[index];
            let is_down = candidate.stats.is_unreachable(now);
            let cost = candidate.cost(now, speed::spread(draw, index as u64));
            (index, (is_down, candidate.misses_pace()), cost)
        })
        .min_by(|(_, a, a_cost), (_, b, b_cost)| a.cmp(b).then(a_cost.total_cmp(b_cost)))
        .map(|(index, _, _)| index)
}
