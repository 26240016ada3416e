//! The speed of servers: what answers tell of it, and what requests can expect.

use std::time::Duration;

use fireflywheel::clock;
use fireflywheel::fleet::announcement::Process;
use fireflywheel::fleet::config;
use fireflywheel::fleet::load;
use fireflywheel::fleet::routing;
use fireflywheel::fleet::speed::{self, expected};
use smol_str::SmolStr;

use super::choice::Query;
use super::guard;
use super::state::{ServerState, State};
use super::{Node, QueueKey};

/// A request in flight, whose time tells how fast its server is.
#[derive(Clone, Copy, Debug)]
pub(super) struct Run {
    sent: clock::Instant,
    /// The prompt tokens that the server had to read, its own included.
    unread_tokens: f64,
    /// Whether the server had a free slot as the request was sent, as far as is known. The time of a request that
    /// waits there tells nothing of the server's speed.
    has_slot: bool,
}

/// What is known of the speed of servers, for the choice among them.
pub(super) struct View<'a> {
    now: clock::Instant,
    /// Distinguishes instances.
    seed: u64,
    /// `None` while the speed of servers doesn't count.
    speeds: Option<&'a speed::Book>,
    request: expected::Request,
    usual: expected::Usual,
}

impl<'a> View<'a> {
    pub(super) fn new(now: clock::Instant, seed: u64, state: &'a State, query: Query<'_>) -> Self {
        let Query { route, queue, .. } = query;
        let speeds = state.parts.speed.then_some(&state.speeds);
        let usual = speeds.map(|speeds| usual(speeds, route, queue));
        Self {
            now,
            seed,
            speeds,
            request: expected::Request {
                objective: route.latency_objective,
                max_event_gap: route.max_event_gap,
                is_stream: route.kind.is_stream(),
            },
            usual: usual.unwrap_or_default(),
        }
    }

    /// What a request can expect of a server that has to read this many tokens of its prompt; `None` while the speed of
    /// servers doesn't count.
    pub(super) fn expected(
        &self,
        known: &ServerState,
        prefill_tokens: u32,
    ) -> Option<expected::Expected> {
        let server = &known.server;
        let speeds = self.speeds?;
        let slowness = speeds.slowness(self.now, &server.id, server.started_ms);
        let unread_tokens = known.backlog.prefill_tokens(self.now) + f64::from(prefill_tokens);
        let share = speeds.share(self.now, &server.id, known.backlog.sent(), self.seed);
        let expected = expected::Expected::new(self.request, self.usual, slowness, unread_tokens);
        Some(expected.with_share(share))
    }
}

fn usual(speeds: &speed::Book, route: &config::Route, queue: &QueueKey) -> expected::Usual {
    expected::Usual {
        prefill_ms: speeds.prefill_ms_per_token(&queue.group),
        event_ms: speeds.event_ms(&queue.group),
        run_time: match queue.model {
            Some(_) => speeds.run_time(&queue.group),
            None => speeds.request_time(&route.name),
        },
    }
}

fn process(process: &Process) -> speed::Process<'_> {
    speed::Process {
        server: &process.server,
        started_ms: process.started_ms,
    }
}

impl State {
    /// Begins to measure a request that is sent to a server; `None` while the speed of servers doesn't count.
    pub(super) fn begin_run(
        &self,
        now: clock::Instant,
        server: &str,
        prefill_tokens: u32,
    ) -> Option<Run> {
        let known = self.servers.get(server).filter(|_| self.parts.speed)?;
        let requests = known.stats.in_flight + known.backlog.other_requests(now);
        Some(Run {
            sent: now,
            unread_tokens: known.backlog.prefill_tokens(now) + f64::from(prefill_tokens),
            has_slot: requests < known.server.slots,
        })
    }

    /// Records the end of a request that its server has run.
    pub(super) fn end_run(&mut self, now: clock::Instant, group: &SmolStr, run: Run) {
        if run.has_slot {
            self.speeds.observe_run(group, now.since(run.sent));
        }
    }

    /// Takes what was observed of servers since the last demand.
    pub(super) fn take_speeds(&mut self, now: clock::Instant) -> Vec<speed::Observed> {
        match self.parts.speed {
            true => self.speeds.take_report(now),
            false => Vec::new(),
        }
    }

    /// Records the slowness of servers that the steward has told with their loads, in the order of their ids.
    pub(super) fn record_told_speeds(&mut self, now: clock::Instant, loads: &[load::Load]) {
        if self.parts.speed {
            self.speeds.record_told(now, loads);
        }
    }
}

impl<P> Node<P>
where
    P: Send + Sync,
{
    /// Records how long work takes on a server's machine at this moment, if its load report tells.
    pub fn observe_moment(&self, target: &Process, report: routing::Report) {
        let Some(percent) = report.slowness_percent else {
            return;
        };
        let now = self.now();
        let mut state = self.lock();
        if !state.parts.speed {
            return;
        }
        let is_news = state.speeds.observe_moment(now, process(target), percent);
        drop(state);
        if is_news {
            self.usage_changed.notify_one();
        }
    }

    /// Records the time until a server has answered a request with the head of a response: the first event of a stream, or
    /// a whole answer.
    pub fn observe_first(
        &self,
        target: &Process,
        route: &config::Route,
        in_flight: &guard::InFlight<P>,
    ) {
        let Some(run) = in_flight.run.filter(|run| run.has_slot) else {
            return;
        };
        let now = self.now();
        let took = now.since(run.sent);
        let speeds = &mut self.lock().speeds;
        let is_plain = in_flight.key.0.is_empty();
        match (is_plain, route.kind.is_stream()) {
            (true, false) => speeds.observe_request(now, process(target), &route.name, took),
            (false, true) => {
                let group = &in_flight.group;
                speeds.observe_prefill(now, process(target), group, run.unread_tokens, took);
            }
            (true, true) | (false, false) => {}
        }
    }

    /// Records the mean time between the events of a stream, in milliseconds.
    pub fn observe_events(&self, target: &Process, group: &SmolStr, event_ms: f64) {
        let now = self.now();
        let mut state = self.lock();
        state
            .speeds
            .observe_events(now, process(target), group, event_ms);
    }

    /// Logs and counts events of a stream that were further apart than its route allows.
    pub fn record_pause(
        &self,
        target: &Process,
        request: &str,
        route: &config::Route,
        gap: Duration,
    ) {
        let now = self.now();
        let state = self.lock();
        let Some(known) = state.servers.get(&target.server) else {
            return;
        };
        let slowness = state
            .speeds
            .slowness(now, &target.server, target.started_ms);
        log::info!(
            request = request, server = target.server.as_str(), route = route.name.as_str(), gap_ms = clock::millis(gap),
            slowness = slowness, own_requests = known.stats.in_flight, other_requests = known.backlog.other_requests(now),
            slots = known.server.slots, unread_tokens = known.backlog.prefill_tokens(now);
            "stream paused"
        );
        drop(state);
        self.metrics.speeds.count_pause(&route.name);
    }

    /// The time after which the answer of a server is overdue, if it usually is after `timeout`.
    #[must_use]
    pub fn scale_timeout(&self, target: &Process, timeout: Duration) -> Duration {
        let now = self.now();
        let state = self.lock();
        if !state.parts.speed {
            return timeout;
        }
        let slowness = state
            .speeds
            .slowness(now, &target.server, target.started_ms);
        timeout.mul_f64(slowness.max(1.0))
    }

    /// Logs and counts a request that would have gone to another server if all were as fast as usual.
    pub(super) fn note_diversion(
        &self,
        now: clock::Instant,
        query: Query<'_>,
        servers: &[&ServerState],
        candidates: &[routing::Candidate<'_>],
        draw: u64,
        chosen: usize,
    ) {
        let Some(avoided) = routing::pick_at_usual_speed(now, candidates, draw) else {
            return;
        };
        let slowness = |index: usize| {
            let expected = candidates[index].expected;
            expected.map_or(1.0, |expected| expected.slowness())
        };
        if avoided == chosen || slowness(avoided) <= slowness(chosen) {
            return;
        }
        self.metrics.speeds.count_diversion(&query.route.name);
        log::info!(
            request = query.call.id.as_str(), server = servers[chosen].server.id.as_str(), slowness = slowness(chosen),
            avoided = servers[avoided].server.id.as_str(), avoided_slowness = slowness(avoided);
            "slower server avoided"
        );
    }

    /// Sets the metrics of servers whose speed deviates.
    pub fn update_speed_metrics(&self) {
        let now = self.now();
        let state = self.lock();
        if state.parts.speed {
            self.metrics
                .speeds
                .set_slowness(state.speeds.deviating(now));
        }
    }
}
