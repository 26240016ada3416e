//! Handing events on as they come, and going on elsewhere after a break.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fireflywheel::clock;
use fireflywheel::fleet::config;
use fireflywheel::fleet::events;
use http_body_util::BodyExt as _;
use hyper::Response;
use hyper::body::Incoming;
use smol_str::SmolStr;
use tokio::time;

use super::attempt;
use super::node;
use super::platform;
use super::{pool, relay};
use crate::{backend, door};

/// What a caller may leave unread before its stream has to wait, in bytes.
const BUFFER: usize = 256 << 10;
/// A stream may go on for this long past its route's time, so that one that is about to end does.
const OVERTIME: Duration = Duration::from_millis(100);
/// An event larger than this isn't one, in bytes.
const EVENT_LIMIT: usize = 1 << 20;
/// A stream that may go on elsewhere does so after this many of its route's longest pauses without an event.
const PAUSES: u32 = 4;
/// A stream is sent on this many times, counting servers that refused it unrun.
const SENDINGS: usize = 3;
/// The same where the route names no pause.
const SILENCE: Duration = Duration::from_millis(1500);

/// Answers with a stream that has begun.
pub fn answer<P>(
    node: &Arc<node::Node<P>>,
    job: Arc<attempt::Job>,
    begun: attempt::Response<P>,
) -> Response<door::Body>
where
    P: platform::Platform,
{
    let (sender, body) = door::Body::stream(BUFFER);
    let mut response = Response::new(body);
    *response.status_mut() = begun.head.status;
    *response.headers_mut() = backend::passed_on(&begun.head.headers);
    let resumable = job.route.kind == config::Kind::Resumable;
    let pump = Pump {
        node: Arc::clone(node),
        sender,
        source: Source::new(begun),
        tried: Vec::new(),
        runs: 1,
        splitter: resumable.then(events::Splitter::default),
        job,
    };
    tokio::spawn(pump.run());
    response
}

/// One run's response.
struct Source<P>
where
    P: platform::Platform,
{
    body: Incoming,
    connection: pool::Connection,
    keep: Option<Duration>,
    server: SmolStr,
    _in_flight: node::InFlight<P>,
}

struct Pump<P>
where
    P: platform::Platform,
{
    node: Arc<node::Node<P>>,
    job: Arc<attempt::Job>,
    sender: door::Sender,
    source: Source<P>,
    tried: Vec<SmolStr>,
    /// Runs that have begun.
    runs: u32,
    /// For streams that may go on elsewhere, which are handed on in whole events.
    splitter: Option<events::Splitter>,
}

/// How a run's response ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    Complete,
    Broken(&'static str),
    /// Nothing came for long; it may still go on.
    Silent,
    /// The caller has left.
    Left,
    /// The route's or the caller's time is over.
    Late,
}

impl<P> Source<P>
where
    P: platform::Platform,
{
    fn new(begun: attempt::Response<P>) -> Self {
        Self {
            body: begun.body,
            connection: begun.connection,
            keep: begun.reply.keep_alive,
            server: begun.server,
            _in_flight: begun.in_flight,
        }
    }
}

impl<P> Pump<P>
where
    P: platform::Platform,
{
    async fn run(mut self) {
        loop {
            let end = self.copy().await;
            let verdict = match end {
                End::Complete => node::ServerOutcome::Good,
                End::Broken(_) | End::Silent => node::ServerOutcome::Failed,
                End::Left | End::Late => break self.stop(end),
            };
            self.node.record_outcome(&self.source.server, verdict);
            if end == End::Complete {
                let now = self.node.now();
                self.log_complete();
                self.node
                    .pool
                    .keep(now, self.source.connection, self.source.keep);
                return;
            }
            let source = if end == End::Silent {
                // Ended without another server to go on at, a stream that would have gone on is lost.
                let Some(chosen) = self.elsewhere() else {
                    continue;
                };
                self.leave();
                self.send(chosen).await
            } else {
                self.go_on().await
            };
            let Some(source) = source else {
                break self.stop(end);
            };
            // The one before is dropped here, which ends its run if it still goes on.
            self.source = source;
        }
    }

    fn log_complete(&self) {
        let took = self.node.now().since(self.job.arrived);
        log::info!(
            request = self.job.call.id.as_str(), server = self.source.server.as_str(),
            runs = self.runs, took_ms = clock::millis(took);
            "stream complete"
        );
    }

    fn stop(self, end: End) {
        let why = match end {
            End::Complete => "complete",
            End::Broken(why) => why,
            End::Silent => "silent",
            End::Left => "the caller left",
            End::Late => "out of time",
        };
        log::info!(
            request = self.job.call.id.as_str(), server = self.source.server.as_str(), why = why,
            events = self.splitter.as_ref().and_then(events::Splitter::last).unwrap_or_default();
            "stream ended early"
        );
        self.node
            .metrics
            .count_failed_attempt(&self.job.route.name, why);
        self.sender.cut();
    }

    /// Hands on until this run's response ends.
    async fn copy(&mut self) -> End {
        loop {
            let now = self.node.now();
            let left = self.end().since(now);
            if left.is_zero() {
                return End::Late;
            }
            let silence = self
                .splitter
                .as_ref()
                .map_or(left, |_| longest_silence(&self.job));
            let frame = tokio::select! {
                frame = self.source.body.frame() => frame,
                () = self.sender.gone() => return End::Left,
                () = time::sleep(left.min(silence)) => {
                    if silence < left {
                        return End::Silent;
                    }
                    continue;
                }
            };
            let bytes = match frame {
                None if self.is_between_events() => return End::Complete,
                None => return End::Broken("ended within an event"),
                Some(Err(_)) => return End::Broken("response broke off"),
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            match self.hand_on(bytes).await {
                Ok(()) => {}
                Err(end) => return end,
            }
        }
    }

    /// When a stream is cut that hasn't ended. A caller whose own time is over leaves by itself, and until then
    /// each event is worth handing on.
    fn end(&self) -> clock::Instant {
        self.job.arrived.after(self.job.route.timeout + OVERTIME)
    }

    async fn hand_on(&mut self, bytes: Bytes) -> Result<(), End> {
        let Some(splitter) = &mut self.splitter else {
            return self.sender.send(bytes).await.map_err(|_| End::Left);
        };
        splitter.push(&bytes);
        if splitter.pending() > EVENT_LIMIT {
            return Err(End::Broken("an event too large"));
        }
        while let Some(event) = splitter.pop() {
            self.sender.send(event).await.map_err(|_| End::Left)?;
        }
        Ok(())
    }

    fn is_between_events(&self) -> bool {
        self.splitter
            .as_ref()
            .is_none_or(events::Splitter::is_at_boundary)
    }

    /// A server at which a stream can go on at once.
    fn elsewhere(&self) -> Option<node::Chosen> {
        if self.splitter.is_none() || self.runs >= self.job.route.attempts {
            return None;
        }
        let mut tried = self.tried.clone();
        tried.push(self.source.server.clone());
        let job = &self.job;
        let query = node::Query {
            route: &job.route,
            queue: &job.queue,
            call: &job.call,
            tried: &tried,
            left: Duration::ZERO,
        };
        match self.node.choose(query) {
            node::Choice::Server(chosen) if !tried.contains(&chosen.server) => {
                let may_repeat = self.node.try_retry(&job.queue.group);
                may_repeat.then_some(chosen)
            }
            _ => None,
        }
    }

    /// Ends this run, so that another can begin after the last event that was handed on.
    fn leave(&mut self) {
        self.tried.push(self.source.server.clone());
        if let Some(splitter) = &mut self.splitter {
            splitter.drop_partial();
        }
        self.source.close();
    }

    /// Another run in place of one that broke off.
    async fn go_on(&mut self) -> Option<Source<P>> {
        self.leave();
        if self.splitter.is_none() || self.runs >= self.job.route.attempts {
            return None;
        }
        let chosen = self.find().await?;
        self.send(chosen).await
    }

    /// Waits for a server at which to go on.
    async fn find(&self) -> Option<node::Chosen> {
        let chosen = tokio::select! {
            found = relay::find(&self.node, &self.job, &self.tried) => found.ok()?,
            () = self.sender.gone() => return None,
        };
        self.node.try_retry(&self.job.queue.group).then_some(chosen)
    }

    /// Goes on at a server, or at another one if that refuses unrun.
    async fn send(&mut self, mut chosen: node::Chosen) -> Option<Source<P>> {
        let last = self.splitter.as_ref().and_then(events::Splitter::last);
        let last = last.or(self.job.call.last_event);
        for _ in 0..SENDINGS {
            log::info!(
                request = self.job.call.id.as_str(), server = chosen.server.as_str(),
                before = self.source.server.as_str(), after_event = last.unwrap_or_default();
                "stream goes on elsewhere"
            );
            let outcome = tokio::select! {
                outcome = attempt::send(&self.node, &self.job, &chosen, last, attempt::OnTimeout::KeepWaiting) => outcome,
                () = self.sender.gone() => return None,
            };
            match outcome {
                attempt::Outcome::Response(begun) if begun.head.status.is_success() => {
                    self.runs += 1;
                    return Some(Source::new(*begun));
                }
                attempt::Outcome::NotRun(_) => {
                    self.tried.push(chosen.server);
                    chosen = self.find().await?;
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
    /// Ends this run before another begins: two that go on at once would be two runs.
    fn close(&mut self) {
        self.connection.close();
    }
}

fn longest_silence(job: &attempt::Job) -> Duration {
    let pause = job
        .route
        .max_event_gap
        .map_or(SILENCE, |pause| pause * PAUSES);
    pause.max(SILENCE)
}
