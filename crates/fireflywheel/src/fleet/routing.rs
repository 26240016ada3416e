//! Which backend server a request goes to.

use std::time::Duration;

use crate::clock;

/// A load report counts in full for this long, since servers send one with each response.
const REPORT_USE: Duration = Duration::from_millis(1500);
/// A failure is forgotten by half after this, which gives a server another chance a few seconds later.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(3);
/// How much one more failure counts, and one more success against it.
const FAILURE_STEP: f64 = 0.3;
/// A server that fails everything looks as full as one with this many times its slots in use.
const FAILURE_WEIGHT: f64 = 3.0;
/// A server of another failure domain looks this much fuller: bytes between domains cost money.
const DISTANCE: f64 = 0.02;
/// A server that couldn't be reached isn't tried again for this long while another one is there.
const DOWN: Duration = Duration::from_millis(1000);
/// A server that couldn't be reached is tried by one request each time this has passed if there is no other: all that wait
/// would use up their tries and the repeats' budget within milliseconds, and be refused before a copy elsewhere is there.
const PROBE: Duration = Duration::from_millis(500);
/// A server whose address another one has isn't tried again for this long: its entry goes within seconds.
const REPLACED: Duration = Duration::from_secs(10);
/// An engine gets requests beyond those that it runs at once up to this share of them. More would only wait there, late
/// and bound to it, while another copy of their model is loaded; with none, places would stand empty for as long as the
/// news of them takes.
const QUEUE_SHARE: f64 = 0.5;
/// A server that had no room isn't tried again for this long.
const FULL: Duration = Duration::from_millis(40);

/// Requests at a server, as it says.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

/// What an instance has seen of one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Stats {
    /// Its own requests there.
    pub in_flight: u32,
    report: Option<(clock::Instant, Report)>,
    failing: f64,
    failed: clock::Instant,
    down_until: clock::Instant,
    probed: clock::Instant,
    full_until: clock::Instant,
}

/// A server that could take a request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// What was seen of it.
    pub stats: &'a Stats,
    /// Requests that it runs at once.
    pub slots: u32,
    /// It is in the failure domain of this instance.
    pub same_domain: bool,
    /// Requests of other instances there, as far as the steward tells. They say whether there is room, and not which engine
    /// is better: all instances hear the same, some moments late, and would all turn to the one that was idle then.
    pub other_requests: u32,
    /// Until the prompt is read there, as a share of the time within which the first event is on time.
    pub prefill_ratio: f64,
}

impl Stats {
    /// A load report came.
    pub fn record_report(&mut self, now: clock::Instant, report: Report) {
        self.report = Some((now, report));
    }

    /// It answered as it should.
    pub fn record_success(&mut self, now: clock::Instant) {
        self.failing = self.failing_at(now) * (1.0 - FAILURE_STEP);
        self.failed = now;
        self.down_until = clock::Instant::default();
    }

    /// It failed a request.
    pub fn record_failure(&mut self, now: clock::Instant) {
        let failing = self.failing_at(now);
        self.failing = failing + (1.0 - failing) * FAILURE_STEP;
        self.failed = now;
    }

    /// It couldn't be reached.
    pub fn record_unreachable(&mut self, now: clock::Instant) {
        self.record_failure(now);
        self.down_until = now.after(DOWN);
        self.probed = now;
    }

    /// Whether one request may try it although it couldn't be reached; counts as tried from then on.
    pub fn try_probe(&mut self, now: clock::Instant) -> bool {
        let due = now.since(self.probed) >= PROBE;
        if due {
            self.probed = now;
        }
        due
    }

    /// Another server answers at its address: its entry is old.
    pub fn record_replaced(&mut self, now: clock::Instant) {
        self.down_until = now.after(REPLACED);
    }

    /// It had no room.
    pub fn record_full(&mut self, now: clock::Instant) {
        self.full_until = now.after(FULL);
    }

    /// Whether it can't be reached, as far as known.
    #[must_use]
    pub fn is_down(&self, now: clock::Instant) -> bool {
        now < self.down_until
    }

    fn failing_at(&self, now: clock::Instant) -> f64 {
        let halves = now.since(self.failed).as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        self.failing * 0.5_f64.powf(halves)
    }

    fn load(&self, now: clock::Instant) -> f64 {
        let own = f64::from(self.in_flight);
        let reported = self
            .report
            .filter(|(at, _)| now.since(*at) < REPORT_USE)
            .map_or(0.0, |(_, report)| {
                f64::from(report.running + report.waiting)
            });
        own.max(reported)
    }
}

impl Candidate<'_> {
    /// Whether it could run one more request within a short wait. Only what other instances have there tells that, so one
    /// of which the steward tells nothing has room until it says otherwise.
    fn has_room(&self, now: clock::Instant) -> bool {
        let most = f64::from(self.slots) * (1.0 + QUEUE_SHARE);
        let known = f64::from(self.stats.in_flight + self.other_requests);
        let crowded = self.other_requests > 0 && known >= most;
        now >= self.stats.full_until && !crowded
    }

    /// How unwelcome it is to send one more request there.
    fn cost(&self, now: clock::Instant) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let mut cost = self.stats.load(now) / slots;
        cost += self.stats.failing_at(now) * FAILURE_WEIGHT;
        cost += if self.same_domain { 0.0 } else { DISTANCE };
        cost + self.prefill_ratio
    }
}

/// The place of the best candidate. `draw` chooses among equals, so that instances don't all choose the same.
/// None when no candidate has room, as far as known.
#[must_use]
pub fn pick(now: clock::Instant, candidates: &[Candidate<'_>], draw: u64) -> Option<usize> {
    let count = candidates.len();
    if count == 0 {
        return None;
    }
    let first = usize::try_from(draw % count as u64).unwrap_or_default();
    (0..count)
        .map(|step| (first + step) % count)
        .filter(|place| candidates[*place].has_room(now))
        .min_by(|a, b| {
            let (a, b) = (&candidates[*a], &candidates[*b]);
            let down = a.stats.is_down(now).cmp(&b.stats.is_down(now));
            down.then(a.cost(now).total_cmp(&b.cost(now)))
        })
}
