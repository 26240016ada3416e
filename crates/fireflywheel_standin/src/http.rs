//! The HTTP server that all stand-ins share. It routes the calls for faults and counts. To every
//! other call, it applies the faults that all stand-ins have in common, in a fixed order.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use std::{fmt, future, pin, sync, task};

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::{HeaderMap, Method, Response, StatusCode, Version, body, header};
use hyper_util::rt;
use rustix::net::sockopt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_str::SmolStr;
use tokio::io::AsyncWriteExt as _;
use tokio::net;
use tokio::sync::mpsc;
use tokio::task as tasks;

use crate::fault;

/// Maximum size of a request body in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// The header with the request id, in requests and answers.
pub const REQUEST_ID: &str = "x-request-id";

/// The answer to a call.
pub type Answer = Response<Body>;

/// The call gets no answer, and its connection closes.
#[derive(Clone, Copy, Debug)]
pub struct Lost;

impl fmt::Display for Lost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("connection closed without an answer")
    }
}

impl std::error::Error for Lost {}

/// The body of an answer.
#[derive(Debug)]
pub enum Body {
    /// The whole body.
    Full(Bytes),
    /// Fewer bytes than the announced content length, after which the connection closes.
    Truncated {
        /// Bytes that are sent.
        part: Bytes,
        /// Announced content length in bytes.
        announced_bytes: u64,
    },
    /// Closes the connection at the second poll, after hyper has flushed.
    CloseAfterFlush,
    /// Closes the connection at the next poll.
    Close,
    /// Parts that are received from a channel; an error closes the connection.
    Parts(mpsc::Receiver<Result<Bytes, Lost>>),
    /// The end of the body.
    Empty,
}

impl body::Body for Body {
    type Data = Bytes;
    type Error = Lost;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, Lost>>> {
        if let Self::Parts(parts) = &mut *self {
            return parts
                .poll_recv(context)
                .map(|part| part.map(|part| part.map(body::Frame::data)));
        }
        let next = match std::mem::replace(&mut *self, Self::Empty) {
            Self::Full(bytes) => Some(Ok(body::Frame::data(bytes))),
            Self::Truncated { part, .. } => {
                *self = Self::CloseAfterFlush;
                Some(Ok(body::Frame::data(part)))
            }
            Self::CloseAfterFlush => {
                // hyper flushes its buffer when a body is pending. An immediate error would discard
                // the head of the answer.
                *self = Self::Close;
                context.waker().wake_by_ref();
                return task::Poll::Pending;
            }
            Self::Close => Some(Err(Lost)),
            Self::Parts(_) | Self::Empty => None,
        };
        task::Poll::Ready(next)
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Empty)
    }

    fn size_hint(&self) -> body::SizeHint {
        match self {
            Self::Full(bytes) => body::SizeHint::with_exact(bytes.len() as u64),
            Self::Truncated {
                announced_bytes, ..
            } => body::SizeHint::with_exact(*announced_bytes),
            Self::Parts(_) | Self::CloseAfterFlush | Self::Close => body::SizeHint::default(),
            Self::Empty => body::SizeHint::with_exact(0),
        }
    }
}

/// A request with its whole body.
#[derive(Clone, Debug)]
pub struct Request {
    /// Method.
    pub method: Method,
    /// Path without the query.
    pub path: SmolStr,
    /// Query without the question mark; may be empty.
    pub query: SmolStr,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Request {
    /// Returns the value of a header, or `None` if it is absent or not text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns a number from the query, or `None` if it is absent or not a number.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<u64> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .and_then(|(_, value)| value.parse().ok())
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    /// If the body is not JSON of the expected type. The error is the answer to send, with status
    /// 400.
    #[expect(clippy::result_large_err, reason = "the error is the answer to send")]
    pub fn json<T>(&self) -> Result<T, Answer>
    where
        T: DeserializeOwned,
    {
        serde_json::from_slice(&self.body)
            .map_err(|err| failure(StatusCode::BAD_REQUEST, "bad_request", &err.to_string()))
    }
}

/// The behaviour of a stand-in behind the shared server.
pub trait Handler: Send + Sync + 'static {
    /// The type of the answer to `GET /v1/counts`.
    type Counts: Serialize;

    /// The injector with the stand-in's fault switches.
    fn injector(&self) -> &fault::Injector;

    /// The current counts.
    fn counts(&self) -> Self::Counts;

    /// Whether `lose_answers` and `late_ms` apply to a request. They do not apply to polls, which
    /// would otherwise consume the lost answers that a test intends for calls with an effect.
    fn has_effect(&self, _request: &Request) -> bool {
        true
    }

    /// Handles a change of the switches after it was applied.
    fn handle_change(&self, _change: &fault::Change) {}

    /// Handles a call. The call continues if the caller's connection ends in the meantime.
    fn call(
        self: sync::Arc<Self>,
        request: Request,
    ) -> impl Future<Output = Result<Answer, Lost>> + Send;
}

#[derive(Serialize)]
struct ErrorEnvelope<'a> {
    error: ErrorDetails<'a>,
}

#[derive(Serialize)]
struct ErrorDetails<'a> {
    r#type: &'a str,
    code: &'a str,
    message: &'a str,
}

/// Marks an answer whose connection is reset if its body fails.
#[derive(Clone, Copy, Debug)]
struct ResetOnFailure;

/// Makes an answer state neither a length nor chunks, so that it ends with its connection. Its body must be
/// [`Body::Parts`].
pub fn end_with_connection(answer: &mut Answer) {
    *answer.version_mut() = Version::HTTP_10;
    let close = header::HeaderValue::from_static("close");
    answer.headers_mut().insert(header::CONNECTION, close);
}

/// Makes the connection of an answer reset if its body fails. Otherwise it is closed in order.
pub fn reset_on_failure(answer: &mut Answer) {
    answer.extensions_mut().insert(ResetOnFailure);
}

/// Creates an answer with a JSON body.
#[must_use]
pub fn json<T>(status: StatusCode, value: &T) -> Answer
where
    T: Serialize,
{
    let bytes = serde_json::to_vec(value).expect("plain structs serialize");
    let mut answer = Response::new(Body::Full(bytes.into()));
    *answer.status_mut() = status;
    answer.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("application/json"),
    );
    answer
}

/// Creates an error answer in the format that the daemon and all stand-ins share.
#[must_use]
pub fn failure(status: StatusCode, code: &str, message: &str) -> Answer {
    let kind = if status.is_server_error() {
        "server_error"
    } else {
        "invalid_request_error"
    };
    json(
        status,
        &ErrorEnvelope {
            error: ErrorDetails {
                r#type: kind,
                code,
                message,
            },
        },
    )
}

/// Sets the request id of an answer. An id that is invalid in a header is ignored.
pub fn set_request_id(answer: &mut Answer, id: &str) {
    if let Ok(value) = header::HeaderValue::from_str(id) {
        answer.headers_mut().insert(REQUEST_ID, value);
    }
}

/// Truncates a full body to its first half. The announced content length stays unchanged.
pub fn truncate(answer: &mut Answer) {
    if let Body::Full(bytes) = answer.body() {
        let truncated = Body::Truncated {
            part: bytes.slice(..bytes.len() / 2),
            announced_bytes: bytes.len() as u64,
        };
        *answer.body_mut() = truncated;
    }
}

/// Serves `handler` until the future is dropped, which also closes its connections.
///
/// # Errors
/// If the listener fails.
pub async fn serve<H>(listener: net::TcpListener, handler: H) -> anyhow::Result<()>
where
    H: Handler,
{
    let handler = sync::Arc::new(handler);
    let mut connections = tasks::JoinSet::new();
    loop {
        let (socket, _) = listener.accept().await?;
        socket.set_nodelay(true)?;
        connections.spawn(serve_connection(socket, sync::Arc::clone(&handler)));
        while connections.try_join_next().is_some() {}
    }
}

async fn serve_connection<H>(socket: net::TcpStream, handler: sync::Arc<H>)
where
    H: Handler,
{
    let resets = sync::Arc::new(AtomicBool::new(false));
    let resets_on_failure = sync::Arc::clone(&resets);
    let service = hyper::service::service_fn(move |request| {
        let handler = sync::Arc::clone(&handler);
        let resets = sync::Arc::clone(&resets);
        Box::pin(async move {
            let answer = respond(handler, request).await;
            let marked = answer
                .as_ref()
                .ok()
                .and_then(|answer| answer.extensions().get());
            resets.store(marked.is_some_and(|ResetOnFailure| true), Ordering::Relaxed);
            answer
        })
    });
    let mut connection = hyper::server::conn::http1::Builder::new()
        .timer(rt::TokioTimer::new())
        .serve_connection(rt::TokioIo::new(socket), service);
    // Errors are expected here: a client disconnected, or an injected fault broke the connection.
    let served = future::poll_fn(|context| connection.poll_without_shutdown(context)).await;
    let mut socket = connection.into_parts().io.into_inner();
    if served.is_err() && resets_on_failure.load(Ordering::Relaxed) {
        reset(&socket);
    } else {
        // The client may have disconnected already.
        let _ = socket.shutdown().await;
    }
}

/// Makes a socket reset its connection when it is dropped.
pub fn reset(socket: &net::TcpStream) {
    // Without the option, the connection is closed in order.
    let _ = sockopt::set_socket_linger(socket, Some(Duration::ZERO));
}

async fn respond<H>(
    handler: sync::Arc<H>,
    request: hyper::Request<body::Incoming>,
) -> Result<Answer, Lost>
where
    H: Handler,
{
    let request = match read_request(request).await {
        Ok(request) => request,
        Err(answer) => return Ok(*answer),
    };
    match (&request.method, request.path.as_str()) {
        (&Method::POST, "/v1/faults") => Ok(set_faults(&*handler, &request)),
        (&Method::GET, "/v1/faults") => Ok(json(StatusCode::OK, &handler.injector().switches())),
        (&Method::GET, "/v1/counts") => Ok(json(StatusCode::OK, &handler.counts())),
        // hyper drops this future when the caller disconnects. A caller that gives up does not undo
        // its request, so the call continues in its own task.
        _ => tasks::spawn(call_with_faults(handler, request))
            .await
            .unwrap_or(Err(Lost)),
    }
}

async fn read_request(request: hyper::Request<body::Incoming>) -> Result<Request, Box<Answer>> {
    let (head, body) = request.into_parts();
    let body = http_body_util::Limited::new(body, MAX_BODY_BYTES)
        .collect()
        .await
        .map_err(|err| {
            let message = err.to_string();
            Box::new(failure(
                StatusCode::PAYLOAD_TOO_LARGE,
                "too_large",
                &message,
            ))
        })?
        .to_bytes();
    Ok(Request {
        method: head.method,
        path: head.uri.path().into(),
        query: head.uri.query().unwrap_or_default().into(),
        headers: head.headers,
        body,
    })
}

fn set_faults<H>(handler: &H, request: &Request) -> Answer
where
    H: Handler,
{
    let change = match request.json::<fault::Change>() {
        Ok(change) => change,
        Err(answer) => return answer,
    };
    handler.injector().apply(&change);
    handler.handle_change(&change);
    json(StatusCode::OK, &change)
}

/// Calls the handler and applies the faults that all stand-ins have.
async fn call_with_faults<H>(handler: sync::Arc<H>, request: Request) -> Result<Answer, Lost>
where
    H: Handler,
{
    handler.injector().wait_until_unfrozen().await;
    handler.injector().delay_request().await;
    handler.injector().wait_until_unfrozen().await;
    if handler.injector().switches().outage {
        return Ok(outage());
    }
    let has_effect = handler.has_effect(&request);
    let answer = sync::Arc::clone(&handler).call(request).await?;
    if has_effect {
        handler.injector().delay_answer().await;
    }
    handler.injector().delay_transit().await;
    handler.injector().wait_until_unfrozen().await;
    if has_effect
        && handler
            .injector()
            .try_consume(|switches| &mut switches.lose_answers)
    {
        return Err(Lost);
    }
    Ok(answer)
}

/// Creates the answer of a stand-in in an outage.
#[must_use]
pub fn outage() -> Answer {
    failure(
        StatusCode::SERVICE_UNAVAILABLE,
        "outage",
        "the service is out of order",
    )
}
