//! Forwards streamed responses to callers, and resumes them on another server after a failure.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fireflywheel::clock;
use fireflywheel::ending::{Ending, Framing};
use fireflywheel::fleet::config;
use fireflywheel::fleet::events;
use fireflywheel::fleet::held_bytes;
use fireflywheel::fleet::speed::pace;
use fireflywheel::sse;
use hyper::header::CONTENT_TYPE;
use hyper::{HeaderMap, Response};
use smol_str::SmolStr;
use tokio::{task, time};

use super::attempt;
use super::node;
use super::platform;
use super::{pool, relay};
use crate::{backend, door, received};

/// The content type of server-sent events, without parameters.
const EVENT_STREAM: &[u8] = b"text/event-stream";
/// Bytes that a caller may leave unread before its stream is paused.
const SEND_BUFFER_BYTES: usize = 256 << 10;
/// How long a stream may continue past its route's timeout, so that one that is about to end can complete.
const TIMEOUT_GRACE: Duration = Duration::from_millis(100);
/// Maximum size of an event in bytes. Larger data is not a valid event.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Maximum size in bytes of an answer that is no stream of events, although its route's answers are. Its server may send
/// bytes without end.
const MAX_OPAQUE_BYTES: u64 = 8 << 20;
/// Idle timeout of a resumable stream as a multiple of its route's longest gap between events. A stream that sends
/// nothing for this long is resumed on another server if one can take it at once, and kept otherwise.
const IDLE_TIMEOUT_GAPS: u32 = 4;
/// Maximum number of sends for one resumption, counting servers that refuse the request without running it.
const MAX_RESUME_SENDS: usize = 3;
/// How long an answer counts as just begun after the first byte of its body.
const BEGINNING: Duration = Duration::from_millis(300);
/// How long the caller may take to receive a part of its stream until the time between events is measured anew.
const MAX_FORWARD_TIME: Duration = Duration::from_millis(5);
/// Idle timeout of a resumable stream whose route sets no maximum event gap, and the minimum for all routes.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Returns the response for the caller and starts forwarding the body of `upstream` to it. `runs` is the number of runs that
/// have or may have started, including this one.
pub fn forward<P>(
    node: &Arc<node::Node<P>>,
    job: Arc<attempt::Job>,
    upstream: attempt::Response<P>,
    runs: u32,
) -> Response<door::Body>
where
    P: platform::Platform,
{
    let framing = upstream.body.framing();
    let hold = node.memory.open(held_bytes::Use::Answer);
    let (sender, body) = door::Body::held_stream(SEND_BUFFER_BYTES, hold);
    let mut response = Response::new(body.with_framing(framing));
    *response.status_mut() = upstream.head.status;
    *response.headers_mut() = backend::end_to_end_headers(&upstream.head.headers);
    let forwarder = Forwarder {
        node: Arc::clone(node),
        sender,
        framing,
        content: Content::new(&job.route, &upstream.head.headers),
        event_bytes: 0,
        opaque_bytes: 0,
        has_data: false,
        origin: Origin::new(job.queue.version.as_ref()),
        has_begun: false,
        source: Source::new(node, &job, upstream),
        tried: Vec::new(),
        runs,
        job,
    };
    tokio::spawn(forwarder.run());
    response
}

/// The version at which a caller's stream began.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Origin {
    /// The caller has no event yet, so that the stream may begin anywhere.
    Open,
    /// It is empty if the entry of the server that began it doesn't tell; then it can't go on.
    Version(SmolStr),
}

impl Origin {
    fn new(version: Option<&SmolStr>) -> Self {
        version.map_or(Self::Open, |version| Self::Version(version.clone()))
    }

    fn version(&self) -> Option<&SmolStr> {
        match self {
            Self::Version(version) => Some(version),
            Self::Open => None,
        }
    }
}

/// What is known of the bytes of a stream.
#[derive(Debug)]
enum Content {
    /// They are forwarded in whole events, after each of which another run can go on.
    Resumable(events::Splitter),
    /// They are events, and forwarded as they arrive.
    Events(sse::Scanner),
    /// They are no events.
    Opaque,
}

impl Content {
    fn new(route: &config::Route, headers: &HeaderMap) -> Self {
        let content_type = headers.get(CONTENT_TYPE);
        let is_events = content_type.is_none_or(|value| {
            let value = value.as_bytes().get(..EVENT_STREAM.len());
            value.is_some_and(|value| value.eq_ignore_ascii_case(EVENT_STREAM))
        });
        match (is_events, route.kind) {
            (false, _) => Self::Opaque,
            (true, config::Kind::Resumable) => Self::Resumable(events::Splitter::default()),
            (true, _) => Self::Events(sse::Scanner::default()),
        }
    }

    fn is_resumable(&self) -> bool {
        matches!(self, Self::Resumable(_))
    }

    fn is_within_event(&self) -> bool {
        match self {
            Self::Resumable(splitter) => !splitter.is_at_boundary(),
            Self::Events(scanner) => scanner.is_within_event(),
            Self::Opaque => false,
        }
    }

    /// The id of the last event that was forwarded to be resumed after.
    fn last_event(&self) -> Option<u64> {
        match self {
            Self::Resumable(splitter) => splitter.last(),
            Self::Events(_) | Self::Opaque => None,
        }
    }
}

/// The response of one run.
struct Source<P>
where
    P: platform::Platform,
{
    body: received::Body,
    connection: pool::Connection,
    keep_alive: Option<Duration>,
    target: node::Target,
    server: SmolStr,
    version: Option<SmolStr>,
    /// Finds out whether another process answers than the one that the request was sent to.
    check: Option<task::JoinHandle<bool>>,
    /// When the first byte of the body arrived, and the last one so far.
    data_at: Option<(clock::Instant, clock::Instant)>,
    /// The time between its events; `None` while the speed of servers doesn't count.
    pace: Option<pace::Pace>,
    _in_flight: node::InFlight<P>,
}

/// Forwards a stream to its caller, over as many runs as it takes.
struct Forwarder<P>
where
    P: platform::Platform,
{
    node: Arc<node::Node<P>>,
    job: Arc<attempt::Job>,
    sender: door::Sender,
    /// How the caller's response tells where its body ends, which is decided with its head.
    framing: Framing,
    content: Content,
    /// The bytes of an event whose end has not arrived, and those of an answer that is no stream of events.
    event_bytes: usize,
    opaque_bytes: u64,
    /// Whether the current run has sent anything.
    has_data: bool,
    /// The version at which the caller's stream began, once the caller has events of it.
    origin: Origin,
    /// Whether an event of this response has been forwarded.
    has_begun: bool,
    source: Source<P>,
    tried: Vec<SmolStr>,
    /// The number of runs that have or may have started.
    runs: u32,
}

/// Why the response of a run is no longer forwarded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    /// It ended, and the caller's response with it. `is_stated` says whether the server had stated the end.
    Complete {
        is_stated: bool,
    },
    Broken(&'static str),
    /// Another process answered, of which nothing was forwarded.
    Replaced,
    /// No data arrived within the idle timeout; the run may still be in progress.
    Idle,
    /// The caller has disconnected.
    CallerGone,
    /// The route's timeout has passed.
    TimedOut,
    /// The steward has not recorded the stream in time, so that no event may be forwarded.
    Unrecorded,
}

impl<P> Source<P>
where
    P: platform::Platform,
{
    fn new(node: &Arc<node::Node<P>>, job: &attempt::Job, upstream: attempt::Response<P>) -> Self {
        // Only a stream that may be resumed must not change its version, which the server's entry tells.
        let check = (job.route.kind == config::Kind::Resumable).then(|| {
            let opened = node.now().before(upstream.connection.age());
            let (node, target) = (Arc::clone(node), upstream.target.clone());
            tokio::spawn(async move { node.is_replaced(target, opened).await })
        });
        Self {
            check,
            body: upstream.body,
            connection: upstream.connection,
            keep_alive: upstream.reply.keep_alive,
            target: upstream.target,
            server: upstream.server,
            version: upstream.version,
            data_at: None,
            pace: node.parts().speed.then(pace::Pace::default),
            _in_flight: upstream.in_flight,
        }
    }
}

impl<P> Forwarder<P>
where
    P: platform::Platform,
{
    async fn run(mut self) {
        loop {
            let end = self.forward_run().await;
            match end {
                End::Complete { is_stated } => return self.complete(is_stated),
                End::Broken(_) | End::Idle => {
                    let outcome = node::ServerOutcome::Failed;
                    self.node.record_outcome(&self.source.server, outcome);
                    let doubt = match end {
                        End::Idle => node::Doubt::Silence,
                        _ => node::Doubt::Break,
                    };
                    if self.is_at_beginning(doubt) {
                        let suspects = &self.job.suspects;
                        self.node.examine(&self.source.target, suspects, doubt);
                    }
                }
                End::Replaced => {
                    let outcome = node::ServerOutcome::Replaced;
                    self.node.record_outcome(&self.source.server, outcome);
                }
                End::CallerGone | End::TimedOut | End::Unrecorded => break self.abort(end),
            }
            let source = if end == End::Idle {
                // Without another server, the run is kept: ending it would lose a stream that may still continue.
                let Some(chosen) = self.reserve_alternative() else {
                    continue;
                };
                self.end_run();
                self.send(chosen).await
            } else {
                self.resume(end).await
            };
            let Some(source) = source else {
                break self.abort(end);
            };
            // Dropping the previous source ends its run if it is still in progress.
            self.source = source;
        }
    }

    /// Ends the caller's stream after the last run has ended.
    fn complete(self, is_stated: bool) {
        let now = self.node.now();
        let took = now.since(self.job.arrived);
        log::info!(
            request = self.job.call.id.as_str(), server = self.source.server.as_str(),
            runs = self.runs, end_stated = is_stated, took_ms = clock::millis(took);
            "stream complete"
        );
        if !is_stated {
            // The connection has ended with the body.
            return;
        }
        let outcome = node::ServerOutcome::Good;
        self.node.record_outcome(&self.source.server, outcome);
        self.node.record_whole_answer(&self.job.suspects);
        self.node
            .pool
            .release(now, self.source.connection, self.source.keep_alive);
    }

    /// Cuts the caller's stream off, and logs and counts how the last run ended, also if the stream was cut off
    /// because it could not be resumed. `events` is the id of the last event that was forwarded, 0 if there was none.
    fn abort(self, end: End) {
        let why = match end {
            End::Complete { .. } => "complete",
            End::Broken(why) => why,
            End::Replaced => "another process has the address",
            End::Idle => "silent",
            End::CallerGone => "the caller left",
            End::TimedOut => "out of time",
            End::Unrecorded => "origin not recorded",
        };
        log::info!(
            request = self.job.call.id.as_str(), server = self.source.server.as_str(), why = why,
            events = self.content.last_event().unwrap_or_default(), parts = self.job.call.prompt_parts.join(",").as_str(),
            just_begun = self.is_at_beginning(node::Doubt::Break);
            "stream ended early"
        );
        self.node
            .metrics
            .count_failed_attempt(&self.job.route.name, why);
        self.sender.abort();
    }

    /// Forwards the response of the current run until it ends.
    async fn forward_run(&mut self) -> End {
        let mut silent_since = self.node.now();
        let mut is_examined = false;
        loop {
            let now = self.node.now();
            let left = self.cutoff().since(now);
            if left.is_zero() {
                return End::TimedOut;
            }
            let silent_for = now.since(silent_since);
            if self.content.is_resumable() && silent_for >= idle_timeout(&self.job) {
                return End::Idle;
            }
            let examines = !is_examined && self.is_at_beginning(node::Doubt::Silence);
            if examines && silent_for >= attempt::EXAMINATION_DELAY {
                is_examined = true;
                let suspects = &self.job.suspects;
                let doubt = node::Doubt::Silence;
                self.node.examine(&self.source.target, suspects, doubt);
                continue;
            }
            let mut wait = left;
            if self.content.is_resumable() {
                wait = wait.min(idle_timeout(&self.job).saturating_sub(silent_for));
            }
            if examines {
                wait = wait.min(attempt::EXAMINATION_DELAY.saturating_sub(silent_for));
            }
            let part = tokio::select! {
                part = self.source.body.next() => part,
                () = self.sender.closed() => return End::CallerGone,
                () = time::sleep(wait) => continue,
            };
            let bytes = match part {
                received::Part::Data(bytes) => bytes,
                received::Part::End(ending) => return self.end_of(ending).await,
            };
            if !bytes.is_empty() {
                self.has_data = true;
                let now = self.node.now();
                let (first, _) = self.source.data_at.unwrap_or((now, now));
                self.source.data_at = Some((first, now));
                self.measure_pace(now, &bytes);
            }
            match self.forward(bytes).await {
                Ok(()) => {}
                Err(end) => return end,
            }
            // A caller that reads slowly has held this up, not the server.
            silent_since = self.node.now();
            if let (Some(pace), Some((_, data_at))) = (&mut self.source.pace, self.source.data_at)
                && silent_since.since(data_at) > MAX_FORWARD_TIME
            {
                pace.restart();
            }
        }
    }

    /// Records the time between the events that have arrived and those before.
    fn measure_pace(&mut self, now: clock::Instant, bytes: &[u8]) {
        let Some(pace) = &mut self.source.pace else {
            return;
        };
        let reading = pace.record(now, pace::count_events(bytes));
        let process = &self.source.target.process;
        if let Some(event_ms) = reading.event_ms {
            let group = &self.job.queue.group;
            self.node.observe_events(process, group, event_ms);
        }
        let max_gap = self.job.route.max_event_gap.unwrap_or(Duration::MAX);
        if reading.gap > max_gap {
            self.node
                .record_pause(process, &self.job.call.id, &self.job.route, reading.gap);
        }
    }

    /// Prepares for forwarding an event. From the first on, the stream goes on only at the version that sent it. Returns an
    /// error if the event must not be forwarded.
    async fn begin(&mut self) -> Result<(), End> {
        if self.has_begun {
            return Ok(());
        }
        if self.origin == Origin::Open {
            self.origin = Origin::Version(self.source.version.clone().unwrap_or_default());
            self.record_origin().await?;
        } else if let (Origin::Version(version), Some(first)) =
            (&self.origin, &self.job.call.resumes)
        {
            let group = &self.job.queue.group;
            self.node.record_origin(&self.job.call.id, group, version);
            self.node.record_origin(first, group, version);
        }
        self.count_begun();
        Ok(())
    }

    /// Records the version at which a new stream begins. Callers that come back to another instance rely on it.
    async fn record_origin(&self) -> Result<(), End> {
        let Origin::Version(version) = &self.origin else {
            return Ok(());
        };
        let (attempt, group) = (&self.job.call.id, &self.job.queue.group);
        self.node.record_origin(attempt, group, version);
        let confirmed = self
            .node
            .confirm_origin(attempt, group, version, self.cutoff());
        tokio::select! {
            is_confirmed = confirmed => is_confirmed.then_some(()).ok_or(End::Unrecorded),
            () = self.sender.closed() => Err(End::CallerGone),
        }
    }

    /// Counts the caller's stream once it gets its first event.
    fn count_begun(&mut self) {
        if std::mem::replace(&mut self.has_begun, true) {
            return;
        }
        let is_taken_up = self.job.queue.version.is_some();
        self.node
            .metrics
            .count_begun_stream(self.source.version.as_deref(), is_taken_up);
    }

    /// Decides what the end of a run means for the caller's stream.
    async fn end_of(&mut self, ending: Ending) -> End {
        let ending = match self.content {
            Content::Opaque => ending,
            _ => ending.of_stream(!self.has_data, self.content.is_within_event()),
        };
        let is_stated = match (ending, self.framing) {
            (Ending::BrokenOff(why), _) => return End::Broken(why.as_str()),
            (Ending::Complete, _) => true,
            (Ending::Unstated, Framing::UntilClose) => false,
            // The caller's response would state an end that this run's server did not state.
            (Ending::Unstated, Framing::Stated) => return End::Broken("end not stated"),
        };
        if let Content::Resumable(splitter) = &mut self.content {
            let rest = splitter.take_rest();
            if !rest.is_empty() && self.sender.send(rest).await.is_err() {
                return End::CallerGone;
            }
        }
        End::Complete { is_stated }
    }

    /// When a stream that hasn't ended is cut off. The caller's own deadline doesn't count: a caller disconnects by
    /// itself when it passes, and until then each event is worth forwarding.
    fn cutoff(&self) -> clock::Instant {
        self.job
            .arrived
            .after(self.job.route.timeout + TIMEOUT_GRACE)
    }

    async fn forward(&mut self, bytes: Bytes) -> Result<(), End> {
        if let Some(check) = self.source.check.take()
            && check.await.unwrap_or(false)
        {
            return Err(End::Replaced);
        }
        let splitter = match &mut self.content {
            Content::Resumable(splitter) => splitter,
            Content::Events(scanner) => {
                scanner.push_all(&bytes);
                self.event_bytes = match scanner.is_within_event() {
                    true => self.event_bytes.saturating_add(bytes.len()),
                    false => 0,
                };
                if self.event_bytes > MAX_EVENT_BYTES {
                    return Err(End::Broken("an event too large"));
                }
                if !bytes.is_empty() {
                    self.count_begun();
                }
                return self.send_part(bytes).await;
            }
            Content::Opaque => {
                self.opaque_bytes += bytes.len() as u64;
                if self.opaque_bytes > MAX_OPAQUE_BYTES {
                    return Err(End::Broken("an answer too large"));
                }
                return self.send_part(bytes).await;
            }
        };
        splitter.push(&bytes);
        if splitter.pending() > MAX_EVENT_BYTES {
            return Err(End::Broken("an event too large"));
        }
        let events: Vec<Bytes> = std::iter::from_fn(|| splitter.pop()).collect();
        for event in events {
            self.begin().await?;
            self.send_part(event).await?;
        }
        Ok(())
    }

    async fn send_part(&self, bytes: Bytes) -> Result<(), End> {
        self.sender.send(bytes).await.map_err(|_| End::CallerGone)
    }

    /// Chooses another server that can resume the stream immediately, and takes a retry from the group's budget.
    fn reserve_alternative(&self) -> Option<node::Chosen> {
        if !self.may_resume() || self.job.quarantined_for(&self.node).is_some() {
            return None;
        }
        let mut tried = self.tried.clone();
        tried.push(self.source.server.clone());
        let job = &self.job;
        let queue = self.queue();
        let query = node::Query {
            route: &job.route,
            queue: &queue,
            call: &job.call,
            tried: &tried,
            remaining: Duration::ZERO,
        };
        match self.node.choose(query) {
            node::Choice::Server(chosen)
                if !tried.contains(&chosen.server) && chosen.brittle.is_none() =>
            {
                let may_retry = self.node.try_retry(&job.queue.group);
                may_retry.then_some(chosen)
            }
            _ => None,
        }
    }

    /// Ends the current run, so that another can start after the last event that was forwarded.
    fn end_run(&mut self) {
        self.tried.push(self.source.server.clone());
        if let Content::Resumable(splitter) = &mut self.content {
            splitter.drop_partial();
        }
        self.has_data = false;
        self.source.close();
    }

    fn may_resume(&self) -> bool {
        self.content.is_resumable() && self.runs < self.job.route.attempts
    }

    /// Whether the answer of the current run had just begun as it ended, or hadn't yet: a server that crashes on a request does
    /// so as it begins to answer it.
    fn is_at_beginning(&self, doubt: node::Doubt) -> bool {
        let Some((first, last)) = self.source.data_at else {
            return true;
        };
        let end = match doubt {
            node::Doubt::Break => self.node.now(),
            node::Doubt::Silence => last,
        };
        end.since(first) < BEGINNING
    }

    /// Starts another run in place of one that broke off.
    async fn resume(&mut self, end: End) -> Option<Source<P>> {
        let is_at_beginning = end != End::Replaced && self.is_at_beginning(node::Doubt::Break);
        self.end_run();
        if !self.may_resume() {
            return None;
        }
        if is_at_beginning {
            let process = &self.source.target.process;
            if !self.node.may_run_again(process, &self.job.suspects).await {
                return None;
            }
        }
        let chosen = self.wait_for_server().await?;
        self.send(chosen).await
    }

    /// The queue in which the stream waits for a server that can resume it.
    fn queue(&self) -> node::QueueKey {
        let queue = self.job.queue.clone();
        queue.with_version(self.origin.version().cloned())
    }

    /// Waits for a server that can resume the stream, and takes a retry from the group's budget.
    async fn wait_for_server(&self) -> Option<node::Chosen> {
        let queue = self.queue();
        let chosen = tokio::select! {
            found = relay::wait_for_server(&self.node, &self.job, &self.tried, &queue) => found.ok()?,
            () = self.sender.closed() => return None,
        };
        self.node.try_retry(&self.job.queue.group).then_some(chosen)
    }

    /// Resumes the stream at a server, or at another one if that refuses the request without running it.
    async fn send(&mut self, mut chosen: node::Chosen) -> Option<Source<P>> {
        let last = self.content.last_event().or(self.job.call.last_event);
        for _ in 0..MAX_RESUME_SENDS {
            log::info!(
                request = self.job.call.id.as_str(), server = chosen.server.as_str(),
                before = self.source.server.as_str(), after_event = last.unwrap_or_default();
                "resuming stream on another server"
            );
            let outcome = tokio::select! {
                outcome = attempt::send(&self.node, &self.job, &chosen, last, attempt::OnTimeout::KeepWaiting) => outcome,
                () = self.sender.closed() => return None,
            };
            match outcome {
                attempt::Outcome::Response(upstream) if upstream.head.status.is_success() => {
                    self.runs += 1;
                    return Some(Source::new(&self.node, &self.job, *upstream));
                }
                attempt::Outcome::NotRun(_)
                | attempt::Outcome::Unsent(_)
                | attempt::Outcome::NoPlace => {
                    self.tried.push(chosen.server);
                    chosen = self.wait_for_server().await?;
                }
                _ => return None,
            }
        }
        None
    }
}

impl<P> Source<P>
where
    P: platform::Platform,
{
    /// Ends this run before another starts, so that the request never runs twice at the same time.
    fn close(&mut self) {
        self.connection.close();
    }
}

fn idle_timeout(job: &attempt::Job) -> Duration {
    let timeout = job
        .route
        .max_event_gap
        .map_or(MIN_IDLE_TIMEOUT, |gap| gap * IDLE_TIMEOUT_GAPS);
    timeout.max(MIN_IDLE_TIMEOUT)
}
