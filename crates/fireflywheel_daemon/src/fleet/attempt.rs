//! Sending a request to one backend server, and what is known after that.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fireflywheel::clock;
use fireflywheel::fleet::config;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::http::response::Parts;
use hyper::{HeaderMap, Method, Request, StatusCode, Uri};
use smol_str::SmolStr;
use tokio::time;

use super::node;
use super::platform;
use super::pool;

/// The largest whole response that is kept back until it is known to be complete.
const WHOLE_LIMIT: usize = 8 << 20;

/// A caller's request on its way.
#[derive(Debug)]
pub struct Job {
    /// What routing needs of it.
    pub call: platform::Call,
    /// Its method.
    pub method: Method,
    /// Its path with the query.
    pub target: Uri,
    /// The headers that are handed on.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// The route that it takes.
    pub route: config::Route,
    /// Where it waits.
    pub queue: node::QueueKey,
    /// Whose request it is, if the configuration names organisations.
    pub organisation: Option<SmolStr>,
    /// 0 is the most urgent.
    pub rank: u8,
    /// When it came.
    pub arrived: clock::Instant,
    /// When its final answer is due.
    pub deadline: clock::Instant,
}

/// A response that has begun.
#[derive(Debug)]
pub struct Response<P>
where
    P: platform::Platform,
{
    /// Its head.
    pub head: Parts,
    /// What the head says beside its status.
    pub reply: platform::Reply,
    /// The rest of it.
    pub body: Incoming,
    /// The connection that it comes on; dropped, the server stops.
    pub connection: pool::Connection,
    /// Counts the request at its server.
    pub in_flight: node::InFlight<P>,
    /// The server's id.
    pub server: SmolStr,
}

/// What is known after an attempt.
#[derive(Debug)]
pub enum Outcome<P>
where
    P: platform::Platform,
{
    /// A backend server answers.
    Response(Box<Response<P>>),
    /// It has not run there and won't.
    NotRun(&'static str),
    /// It may have run.
    Lost(&'static str),
    /// Its time is over; it may have run.
    TimedOut,
}

/// What an attempt may do when its server is silent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OnTimeout {
    /// End, since another may follow.
    Abandon,
    /// Wait on as long as the caller does: the request may run once, or this is its last run.
    KeepWaiting,
}

/// Sends a request to a server, going on after `last_event` if the caller has had that already.
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
    let left = job.deadline.since(now);
    if left.is_zero() {
        return Outcome::NotRun("no time left");
    }
    let server = &chosen.server;
    let mut in_flight = node.register_in_flight(chosen, &job.queue);
    let request = outgoing(&node.platform, job, chosen, left, last_event);
    let sending = node
        .pool
        .send(now, chosen.address, chosen.connections, request);
    tokio::pin!(sending);
    let limit = node.response_timeout(&job.route.name).unwrap_or(left);
    let in_time = time::timeout(left.min(limit), &mut sending).await;
    let sent = match in_time {
        Ok(sent) => sent,
        Err(_) if limit >= left => return Outcome::TimedOut,
        Err(_) => {
            node.record_outcome(server, node::ServerOutcome::Failed);
            if on_timeout == OnTimeout::Abandon {
                return Outcome::Lost("silent");
            }
            match time::timeout(left - limit, sending).await {
                Ok(sent) => sent,
                Err(_) => return Outcome::TimedOut,
            }
        }
    };
    let (response, connection) = match sent {
        Ok(sent) => sent,
        Err(fault) => return failed(node, server, fault),
    };
    let (head, body) = response.into_parts();
    let reply = node.platform.read_reply(&head);
    if let Some(load) = reply.load {
        node.record_load_report(server, load);
    }
    let limit = node::Answer {
        per_second: reply.limit,
        sent: now,
        authentic: reply.authentic,
    };
    node.observe_limit(server, limit);
    if reply.not_run {
        return refused(node, job, server, head.status, &reply);
    }
    let named = reply.id.as_ref().is_none_or(|id| *id == job.call.id);
    if !named || !reply.authentic {
        // It answers another request, or no backend server made it. Whether ours has run is not known.
        node.record_outcome(server, node::ServerOutcome::Failed);
        return Outcome::Lost(if named {
            "response without proof"
        } else {
            "response of another request"
        });
    }
    node.observe_response_time(&job.route.name, node.now().since(now));
    in_flight.prefill_done();
    Outcome::Response(Box::new(Response {
        head,
        reply,
        body,
        connection,
        in_flight,
        server: server.clone(),
    }))
}

/// Reads a response to its end before any of it is handed on, so that a broken one can be replaced.
///
/// # Errors
///
/// Nothing more than that it broke off, or took until the deadline.
pub async fn collect<P>(
    node: &Arc<node::Node<P>>,
    job: &Job,
    begun: Response<P>,
) -> Result<(Parts, Bytes), Outcome<P>>
where
    P: platform::Platform,
{
    let left = job.deadline.since(node.now());
    let collecting = Limited::new(begun.body, WHOLE_LIMIT).collect();
    let Ok(collected) = time::timeout(left, collecting).await else {
        return Err(Outcome::TimedOut);
    };
    let Ok(collected) = collected else {
        node.record_outcome(&begun.server, node::ServerOutcome::Failed);
        return Err(Outcome::Lost("response broke off"));
    };
    let good = !begun.head.status.is_server_error();
    node.record_outcome(
        &begun.server,
        if good {
            node::ServerOutcome::Good
        } else {
            node::ServerOutcome::Failed
        },
    );
    node.pool
        .keep(node.now(), begun.connection, begun.reply.keep_alive);
    Ok((begun.head, collected.to_bytes()))
}

fn outgoing<P>(
    platform: &P,
    job: &Job,
    chosen: &node::Chosen,
    left: Duration,
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
        left,
        rank: job.rank,
        last_event,
        organisation: job.organisation.as_deref(),
    };
    platform.add_attempt_headers(request.headers_mut(), &attempt);
    request
}

fn failed<P>(node: &Arc<node::Node<P>>, server: &str, fault: pool::Fault) -> Outcome<P>
where
    P: platform::Platform,
{
    match fault {
        pool::Fault::Unreachable => {
            node.record_outcome(server, node::ServerOutcome::Unreachable);
            Outcome::NotRun(fault.as_str())
        }
        pool::Fault::Full => {
            node.record_outcome(server, node::ServerOutcome::Full);
            Outcome::NotRun(fault.as_str())
        }
        pool::Fault::Unsent => Outcome::NotRun(fault.as_str()),
        pool::Fault::Lost => {
            node.record_outcome(server, node::ServerOutcome::Failed);
            Outcome::Lost(fault.as_str())
        }
    }
}

fn refused<P>(
    node: &Arc<node::Node<P>>,
    job: &Job,
    server: &str,
    status: StatusCode,
    reply: &platform::Reply,
) -> Outcome<P>
where
    P: platform::Platform,
{
    if reply.server.as_ref().is_some_and(|other| other != server) {
        node.record_outcome(server, node::ServerOutcome::Replaced);
        return Outcome::NotRun("another server has its address");
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        node.report_missing_model(server, &job.queue);
        return Outcome::NotRun("not held there");
    }
    node.record_outcome(server, node::ServerOutcome::Full);
    Outcome::NotRun("refused by the server")
}
