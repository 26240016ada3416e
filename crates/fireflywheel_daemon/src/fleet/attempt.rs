//! Sends a request to one backend server and classifies the outcome.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fireflywheel::clock;
use fireflywheel::ending::Ending;
use fireflywheel::fleet::config;
use fireflywheel::fleet::held_bytes;
use fireflywheel::fleet::quarantine;
use http_body_util::Full;
use hyper::header::HOST;
use hyper::http::response::Parts;
use hyper::{HeaderMap, Method, Request, StatusCode, Uri};
use smol_str::SmolStr;
use tokio::time;

use super::node;
use super::platform;
use super::pool;
use crate::{door, received};

/// How long an answer that has begun may bring nothing until it is found out whether its server is silent. Servers that
/// answer may pause for this long.
pub const EXAMINATION_DELAY: Duration = Duration::from_millis(200);
/// Maximum size in bytes of a response that is buffered until it is complete.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 8 << 20;

/// A caller's request while it is dispatched to backend servers.
#[derive(Debug)]
pub struct Job {
    /// The routing information of the request.
    pub call: platform::Call,
    /// The HTTP method.
    pub method: Method,
    /// The path and query.
    pub target: Uri,
    /// The headers that are forwarded.
    pub headers: HeaderMap,
    /// The complete request body.
    pub body: Bytes,
    /// Counts the body's bytes as held.
    pub(super) _hold: door::Hold,
    /// The route that matches the request.
    pub route: config::Route,
    /// The queue in which the request waits for a server.
    pub queue: node::QueueKey,
    /// What may make it crash servers.
    pub suspects: quarantine::Suspects,
    /// Whether the request is let through to find out whether servers still crash on its quarantined part.
    pub is_trial: bool,
    /// The organisation that sent the request; `None` if it is anonymous or the configuration has no organisations.
    pub organisation: Option<SmolStr>,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// When the request arrived.
    pub arrived: clock::Instant,
    /// When the final response is due.
    pub deadline: clock::Instant,
}

impl Job {
    /// The time for which requests that share a suspect with this one are refused; `None` if it may be sent.
    #[must_use]
    pub fn quarantined_for<P>(&self, node: &node::Node<P>) -> Option<Duration>
    where
        P: platform::Platform,
    {
        if self.is_trial {
            return None;
        }
        let (_, wait) = node.find_quarantined(self.suspects.all())?;
        Some(wait)
    }
}

/// A backend server's response whose head has arrived.
#[derive(Debug)]
pub struct Response<P>
where
    P: platform::Platform,
{
    /// The head of the response.
    pub head: Parts,
    /// The platform's fields of the head, without the status.
    pub reply: platform::Reply,
    /// The body, which is still being received.
    pub body: received::Body,
    /// The connection that carries the response. Dropping it stops the request at the server.
    pub connection: pool::Connection,
    /// Counts the request as in flight at its server.
    pub in_flight: node::InFlight<P>,
    /// Where the request was sent.
    pub target: node::Target,
    /// The server's id.
    pub server: SmolStr,
    /// The version of the server's software, if it is known.
    pub version: Option<SmolStr>,
}

/// The outcome of an attempt.
#[derive(Debug)]
pub enum Outcome<P>
where
    P: platform::Platform,
{
    /// A backend server responds.
    Response(Box<Response<P>>),
    /// The server has refused the request, which has not run there and will not.
    NotRun(&'static str),
    /// Nothing of the request has been sent.
    Unsent(&'static str),
    /// The same: no other instance had a place at the brittle server to spare.
    NoPlace,
    /// The request may have run, but there is no usable response.
    Lost(&'static str),
    /// The request's deadline has passed; it may have run.
    TimedOut,
}

/// Why a server has refused a request without running it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Refusal {
    /// Another server has its address.
    Replaced,
    /// It doesn't hold the model.
    NotHeld,
    /// It has no room.
    NoRoom,
}

impl Refusal {
    fn as_str(self) -> &'static str {
        match self {
            Self::Replaced => "another server has its address",
            Self::NotHeld => "not held there",
            Self::NoRoom => "refused by the server",
        }
    }
}

/// What an attempt does when its server does not respond within the usual time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OnTimeout {
    /// End the attempt, because another may follow.
    Abandon,
    /// Wait as long as the caller does: the request may run only once, or this is its last attempt.
    KeepWaiting,
}

/// Sends a request to a server. A stream continues after `last_event` if the caller has that event already.
pub async fn send<P>(
    node: &Arc<node::Node<P>>,
    job: &Job,
    chosen: &node::Chosen,
    last_event: Option<u64>,
    on_timeout: OnTimeout,
) -> Outcome<P>
where
    P: platform::Platform,
{
    let now = node.now();
    let remaining = job.deadline.since(now);
    if remaining.is_zero() {
        return Outcome::Unsent("no time left");
    }
    let server = &chosen.server;
    let mut in_flight = node.register_in_flight(chosen, &job.queue);
    let target = chosen.target();
    let connecting = time::timeout(remaining, node.connect(&target, pool::Via::Any));
    let connection = match connecting.await {
        Ok(Ok(connection)) => connection,
        Ok(Err(pool::Error::NoConnectionFree)) if chosen.brittle.is_some() => {
            node.record_outcome(server, node::ServerOutcome::NoPlace);
            return Outcome::NoPlace;
        }
        Ok(Err(error)) => return handle_pool_error(node, server, error),
        Err(_) => return Outcome::Unsent("no connection in time"),
    };
    // Opening the connection has taken some of the time that the server may use.
    let now = node.now();
    let remaining = job.deadline.since(now);
    let request = build_request(&node.platform, job, chosen, remaining, last_event);
    let opened = now.before(connection.age());
    let pending = connection.send(request);
    tokio::pin!(pending);
    let timeout = node.response_timeout(&job.route.name);
    let timeout = timeout.map_or(remaining, |timeout| {
        node.scale_timeout(&target.process, timeout)
    });
    let within_timeout = time::timeout(remaining.min(timeout), &mut pending).await;
    let sent = match within_timeout {
        Ok(sent) => sent,
        Err(_) if timeout >= remaining => {
            node.probe_path(&target);
            return Outcome::TimedOut;
        }
        Err(_) => {
            node.record_outcome(server, node::ServerOutcome::Failed);
            node.probe_path(&target);
            node.examine(&target, &job.suspects, node::Doubt::Silence);
            if on_timeout == OnTimeout::Abandon {
                return Outcome::Lost("silent");
            }
            match time::timeout(remaining - timeout, pending).await {
                Ok(sent) => sent,
                Err(_) => return Outcome::TimedOut,
            }
        }
    };
    let (response, connection) = match sent {
        Ok(sent) => sent,
        Err(error) => {
            if error == pool::Error::Lost {
                node.examine(&target, &job.suspects, node::Doubt::Break);
            }
            return handle_pool_error(node, server, error);
        }
    };
    let (head, body) = received::Body::split(response);
    if !is_final(head.status) {
        node.record_outcome(server, node::ServerOutcome::Failed);
        return Outcome::Lost("no final status");
    }
    let reply = node.platform.read_reply(&head);
    node.observe_announcement(&target.process, &reply);
    if let Some(load) = reply.load {
        node.record_load_report(server, load);
        node.observe_moment(&target.process, load);
    }
    let limit = node::Answer {
        per_second: reply.rate_limit,
        sent: now,
        authentic: reply.authentic,
    };
    node.observe_limit(server, limit);
    let id_matches = reply.id.as_ref().is_none_or(|id| *id == job.call.id);
    // A refusal of another request says nothing of this one.
    if reply.not_run && id_matches {
        let refusal = handle_refusal(node, job, chosen, head.status, &reply);
        if refusal == Refusal::NoRoom && chosen.brittle.is_some() {
            connection.close_rejected();
        }
        return Outcome::NotRun(refusal.as_str());
    }
    if !id_matches || !reply.authentic {
        // The response belongs to another request, or no backend server produced it. Whether this request has run
        // is unknown.
        node.record_outcome(server, node::ServerOutcome::Failed);
        return Outcome::Lost(if id_matches {
            "response without proof"
        } else {
            "response of another request"
        });
    }
    node.record_life(&target.process, now, opened);
    node.observe_response_time(&job.route.name, node.now().since(now));
    node.observe_first(&target.process, &job.route, &in_flight);
    in_flight.prefill_done();
    Outcome::Response(Box::new(Response {
        head,
        reply,
        body,
        connection,
        in_flight,
        target,
        server: server.clone(),
        version: chosen.version.clone(),
    }))
}

/// Reads a response to its end before any of it is forwarded, so that the request can be retried if the response
/// breaks off. The body keeps its framing: nothing in it tells whether it is whole if its server stated no end.
///
/// # Errors
///
/// Returns [`Outcome::Lost`] if the response broke off or was too large, and [`Outcome::TimedOut`] if it was incomplete
/// at the deadline.
pub async fn collect<P>(
    node: &Arc<node::Node<P>>,
    job: &Job,
    response: Response<P>,
) -> Result<(Parts, door::Body), Outcome<P>>
where
    P: platform::Platform,
{
    let remaining = job.deadline.since(node.now());
    let framing = response.body.framing();
    let hold = node.memory.open(held_bytes::Use::Answer);
    let collected = {
        let body = response.body;
        let collecting = body.collect_held(MAX_BUFFERED_RESPONSE_BYTES, &hold);
        tokio::pin!(collecting);
        let delay = remaining.min(EXAMINATION_DELAY);
        match time::timeout(delay, &mut collecting).await {
            Ok(collected) => Ok(collected),
            Err(_) => {
                node.examine(&response.target, &job.suspects, node::Doubt::Silence);
                time::timeout(remaining - delay, collecting).await
            }
        }
    };
    let Ok((collected, ending)) = collected else {
        return Err(Outcome::TimedOut);
    };
    let outcome = match ending {
        Ending::BrokenOff(_) => Some(node::ServerOutcome::Failed),
        _ if response.head.status.is_server_error() => Some(node::ServerOutcome::Failed),
        Ending::Complete => Some(node::ServerOutcome::Good),
        Ending::Unstated => None,
    };
    if let Some(outcome) = outcome {
        node.record_outcome(&response.server, outcome);
    }
    match ending {
        Ending::BrokenOff(why) => {
            node.examine(&response.target, &job.suspects, node::Doubt::Break);
            return Err(Outcome::Lost(why.as_str()));
        }
        // Dropping the connection closes it: it has ended with the body.
        Ending::Unstated => {}
        Ending::Complete => {
            node.record_whole_answer(&job.suspects);
            let keep_alive = response.reply.keep_alive;
            node.pool
                .release(node.now(), response.connection, keep_alive);
        }
    }
    let body = door::Body::full(collected)
        .with_framing(framing)
        .with_hold(hold);
    Ok((response.head, body))
}

/// Whether a status is that of an answer. A switch of protocols isn't, as no request asks for it, and a status that no class
/// holds says nothing of success.
fn is_final(status: StatusCode) -> bool {
    status.is_success()
        || status.is_redirection()
        || status.is_client_error()
        || status.is_server_error()
}

fn build_request<P>(
    platform: &P,
    job: &Job,
    chosen: &node::Chosen,
    remaining: Duration,
    last_event: Option<u64>,
) -> Request<Full<Bytes>>
where
    P: platform::Platform,
{
    let mut request = Request::new(Full::new(job.body.clone()));
    *request.method_mut() = job.method.clone();
    *request.uri_mut() = job.target.clone();
    *request.headers_mut() = job.headers.clone();
    if let Ok(host) = job.call.host.parse() {
        request.headers_mut().insert(HOST, host);
    }
    let attempt = platform::Attempt {
        server: &chosen.server,
        remaining,
        priority: job.priority,
        last_event,
        organisation: job.organisation.as_deref(),
    };
    platform.add_attempt_headers(request.headers_mut(), &attempt);
    request
}

fn handle_pool_error<P>(node: &Arc<node::Node<P>>, server: &str, error: pool::Error) -> Outcome<P>
where
    P: platform::Platform,
{
    match error {
        pool::Error::Unreachable => {
            node.record_outcome(server, node::ServerOutcome::Unreachable);
            Outcome::Unsent(error.as_str())
        }
        pool::Error::NoConnectionFree => {
            node.record_outcome(server, node::ServerOutcome::Full);
            Outcome::Unsent(error.as_str())
        }
        pool::Error::Withheld | pool::Error::Unsent => Outcome::Unsent(error.as_str()),
        pool::Error::Lost => {
            node.record_outcome(server, node::ServerOutcome::Failed);
            Outcome::Lost(error.as_str())
        }
    }
}

fn handle_refusal<P>(
    node: &Arc<node::Node<P>>,
    job: &Job,
    chosen: &node::Chosen,
    status: StatusCode,
    reply: &platform::Reply,
) -> Refusal
where
    P: platform::Platform,
{
    let server = &chosen.server;
    if reply.server.as_ref().is_some_and(|other| other != server) {
        node.record_outcome(server, node::ServerOutcome::Replaced);
        return Refusal::Replaced;
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        node.report_missing_model(server, &job.queue);
        return Refusal::NotHeld;
    }
    // The window that has to shrink is that of the instance whose place it was.
    let outcome = match chosen.brittle {
        Some(_) => node::ServerOutcome::Full,
        None => node::ServerOutcome::Rejected,
    };
    node.record_outcome(server, outcome);
    Refusal::NoRoom
}
