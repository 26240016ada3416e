//! The HTTP client for all outgoing calls. A failed call tells whether the request may have been sent.

use std::error::Error as _;
use std::fmt;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use fireflywheel::ending::Ending;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Deserialize;
use smol_str::SmolStr;
use tokio::time;

use crate::received;

/// The time limit for opening a connection, so that an unreachable server does not use up a request's deadline.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The time after which an unused connection is closed, well before servers close it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// The largest error body that is read, in bytes.
pub const MAX_ERROR_BYTES: usize = 64 << 10;

/// An HTTP client with a connection pool. It never sends a request twice.
#[derive(Clone, Debug)]
pub struct Client {
    inner: legacy::Client<HttpConnector, Full<Bytes>>,
}

/// The reason why a call has no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Error {
    /// No byte of the request was sent.
    Unsent,
    /// The request may have arrived.
    Lost,
}

/// A complete answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The HTTP status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// How long a call waits for its answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timeouts {
    /// The longest time until the head of the answer.
    pub head: Duration,
    /// The longest time without a byte after that.
    pub stall: Duration,
}

/// What has arrived of an answer.
#[derive(Clone, Debug, Default)]
pub struct Transfer {
    /// The status and the headers; `None` before they have arrived.
    pub head: Option<(StatusCode, HeaderMap)>,
    /// The part of the body that has arrived.
    pub body: BytesMut,
    /// The time until the head arrived.
    pub head_time: Duration,
    /// The time from the head to the last byte.
    pub body_time: Duration,
}

#[derive(Deserialize)]
struct Envelope {
    error: Content,
}

#[derive(Deserialize)]
struct Content {
    code: SmolStr,
}

/// Returns the `code` of an error body in the format that all doors share.
#[must_use]
pub fn error_code(body: &[u8]) -> Option<SmolStr> {
    let envelope: Envelope = serde_json::from_slice(body).ok()?;
    Some(envelope.error.code)
}

impl Client {
    /// Creates a client without connections.
    #[must_use]
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        // A retry by the library could run a request twice that may run at most once.
        let inner = legacy::Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_timer(TokioTimer::new())
            .build(connector);
        Self { inner }
    }

    /// Sends a request once. The body of the answer is not read yet.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when there is no answer.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, Error> {
        self.inner
            .request(request)
            .await
            .map_err(|error| to_error(&error))
    }

    /// Sends a request once and reads an answer of at most `max_bytes`, however long that takes while bytes arrive.
    /// `transfer` keeps what has arrived if the call fails or is dropped.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when there is no complete answer.
    pub async fn fetch(
        &self,
        request: Request<Full<Bytes>>,
        max_bytes: usize,
        timeouts: Timeouts,
        transfer: &mut Transfer,
    ) -> Result<(), Error> {
        let started = time::Instant::now();
        let answer = time::timeout(timeouts.head, self.send(request))
            .await
            .unwrap_or(Err(Error::Lost))?;
        transfer.head_time = started.elapsed();
        let (head, mut body) = received::Body::split(answer);
        transfer.head = Some((head.status, head.headers));
        loop {
            let part = time::timeout(timeouts.stall, body.next())
                .await
                .map_err(|_| Error::Lost)?;
            transfer.body_time = started.elapsed().saturating_sub(transfer.head_time);
            match part {
                received::Part::Data(data) if transfer.body.len() + data.len() > max_bytes => {
                    return Err(Error::Lost);
                }
                received::Part::Data(data) => transfer.body.extend_from_slice(&data),
                received::Part::End(ending) => return check_complete(ending),
            }
        }
    }

    /// Sends a request once and reads an answer of at most `max_bytes` within `timeout`.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when there is no complete answer.
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        max_bytes: usize,
        timeout: Duration,
    ) -> Result<Answer, Error> {
        let answer = async { collect(self.send(request).await?, max_bytes).await };
        time::timeout(timeout, answer)
            .await
            .unwrap_or(Err(Error::Lost))
    }
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

/// Reads the body of an answer.
///
/// # Errors
///
/// Returns [`Error::Lost`] when the body is truncated or larger than `max_bytes`, or when nothing states where it ends: a
/// list that lacks its end would be taken for all that there is.
pub async fn collect(answer: Response<Incoming>, max_bytes: usize) -> Result<Answer, Error> {
    let (head, body) = received::Body::split(answer);
    let (body, ending) = body.collect(max_bytes).await;
    check_complete(ending)?;
    Ok(Answer {
        status: head.status,
        headers: head.headers,
        body,
    })
}

fn check_complete(ending: Ending) -> Result<(), Error> {
    match ending {
        Ending::Complete => Ok(()),
        Ending::Unstated | Ending::BrokenOff(_) => Err(Error::Lost),
    }
}

/// Creates a request with a body.
///
/// # Errors
///
/// Returns [`Malformed`] when `url` is not a valid URL.
pub fn request(
    method: Method,
    url: &str,
    content_type: &'static str,
    body: impl Into<Bytes>,
) -> Result<Request<Full<Bytes>>, Malformed> {
    Request::builder()
        .method(method)
        .uri(url)
        .header(CONTENT_TYPE, HeaderValue::from_static(content_type))
        .body(Full::new(body.into()))
        .map_err(|_| Malformed)
}

/// Creates a request without a body.
///
/// # Errors
///
/// Returns [`Malformed`] when `url` is not a valid URL.
pub fn request_without_body(method: Method, url: &str) -> Result<Request<Full<Bytes>>, Malformed> {
    Request::builder()
        .method(method)
        .uri(url)
        .body(Full::default())
        .map_err(|_| Malformed)
}

/// The error for a text that is not a valid URL.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Malformed;

impl From<Malformed> for Error {
    fn from(_: Malformed) -> Self {
        Self::Unsent
    }
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not a valid URL")
    }
}

impl std::error::Error for Malformed {}

// The server may close a pooled connection at the moment when the connection is taken from the pool. The
// library then reports the unsent request as canceled. This and a connection that was never opened are the
// only two cases in which no byte can have been sent. Every other error may have occurred after the request
// was written.
fn to_error(error: &legacy::Error) -> Error {
    let canceled = error
        .source()
        .and_then(|source| source.downcast_ref::<hyper::Error>())
        .is_some_and(hyper::Error::is_canceled);
    if error.is_connect() || canceled {
        Error::Unsent
    } else {
        Error::Lost
    }
}
