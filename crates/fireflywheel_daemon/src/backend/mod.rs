//! Attempts at backend servers. A request is sent once, and every part of its answer is checked before it is
//! forwarded.

mod stream;

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use fireflywheel::ending::Ending;
use fireflywheel::{answer, claim, request, verdict};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HOST, HeaderName, TE, TRAILER, TRANSFER_ENCODING,
    UPGRADE,
};
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use smol_str::SmolStr;

pub use stream::{Stream, encode};

use crate::{client, errors, received};

/// The largest full answer that is accepted, in bytes.
pub const MAX_ANSWER_BYTES: usize = 4 << 20;
/// The time limit for a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);
/// The largest answer to a cancellation that is read, in bytes.
const MAX_CANCEL_ANSWER_BYTES: usize = 4096;
/// The header that asks an engine to resume a stream.
const RESUME_FROM_HEADER: &str = "x-resume-from";
const EVENT_STREAM: &str = "text/event-stream";

/// Headers that apply to a single connection and are not forwarded.
const HOP_BY_HOP: [HeaderName; 7] = [
    CONNECTION,
    CONTENT_LENGTH,
    HOST,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];
const OTHER_HOP_BY_HOP: [&str; 5] = [
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "expect",
];

/// A request to a backend server.
#[derive(Clone, Debug)]
pub struct OutgoingRequest {
    /// The request id.
    pub id: SmolStr,
    /// The HTTP method.
    pub method: Method,
    /// The path with the query.
    pub path: String,
    /// The forwarded headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The kind of the backend server.
    pub kind: Kind,
}

/// The kind of a backend server, which decides how its answers are checked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// A model engine: each part of an answer carries the request id.
    Engine,
    /// A plain service: the header of an answer carries the request id.
    Service,
}

/// The failure of an attempt, which brought no complete answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Failure {
    /// Whether the request may have run.
    pub verdict: verdict::Verdict,
    /// The cause of the failure.
    pub cause: request::Cause,
}

/// An answer whose head has arrived.
#[derive(Debug)]
pub enum Answer {
    /// A full answer that was checked.
    Full(FullAnswer),
    /// A stream, whose events are checked as they arrive.
    Stream(Stream),
}

/// A complete answer that was checked.
#[derive(Clone, Debug)]
pub struct FullAnswer {
    /// The HTTP status.
    pub status: StatusCode,
    /// The end-to-end headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Failure {
    /// Creates a failure after which the request may have run.
    #[must_use]
    pub fn may_have_run(cause: request::Cause) -> Self {
        Self {
            verdict: verdict::Verdict::MayHaveRun,
            cause,
        }
    }

    /// Creates a failure that proves that the request has not run.
    #[must_use]
    pub fn not_run(cause: request::Cause) -> Self {
        Self {
            verdict: verdict::Verdict::NotRun,
            cause,
        }
    }

    /// Converts the failure for the node, which also needs the number of stream events sent to the caller.
    #[must_use]
    pub fn with_events_delivered(self, events_delivered: u64) -> request::Failure {
        request::Failure {
            verdict: self.verdict,
            cause: self.cause,
            events_delivered,
        }
    }
}

impl From<client::Error> for Failure {
    fn from(error: client::Error) -> Self {
        match error {
            client::Error::Unsent => Self::not_run(request::Cause::Connect),
            client::Error::Lost => Self::may_have_run(request::Cause::Disconnected),
        }
    }
}

impl From<answer::Flaw> for Failure {
    fn from(flaw: answer::Flaw) -> Self {
        match flaw {
            answer::Flaw::Truncated => Self::may_have_run(request::Cause::Disconnected),
            _ => Self::may_have_run(request::Cause::AnswerFlawed),
        }
    }
}

impl FullAnswer {
    /// Returns the outcome to store for replays of the request. A body that is larger than
    /// [`claim::MAX_BODY_BYTES`] or not UTF-8 is not kept.
    #[must_use]
    pub fn outcome(&self) -> claim::Outcome {
        let body = (self.body.len() <= claim::MAX_BODY_BYTES)
            .then(|| String::from_utf8(self.body.to_vec()).ok())
            .flatten();
        claim::Outcome::Answered {
            status: self.status.as_u16(),
            content_type: content_type(&self.headers).into(),
            body,
        }
    }
}

impl OutgoingRequest {
    /// Sends the request once to `server`. With `resume`, the engine is asked to resume the stream after that
    /// many events.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] when the answer is missing, incomplete or flawed.
    pub async fn send(
        &self,
        client: &client::Client,
        server: &str,
        resume: Option<u64>,
    ) -> Result<Answer, Failure> {
        let request = self
            .build_request(server, resume)
            .ok_or(Failure::not_run(request::Cause::Connect))?;
        let answer = client.send(request).await?;
        self.check_request_id(answer.headers())?;
        if answer.status().is_client_error() || answer.status().is_server_error() {
            return self.handle_error(answer).await.map(Answer::Full);
        }
        if self.kind == Kind::Engine && content_type(answer.headers()).starts_with(EVENT_STREAM) {
            return Ok(Answer::Stream(Stream::new(answer, &self.id, resume)));
        }
        let full = match self.kind {
            Kind::Engine => self.read_engine_answer(answer).await,
            Kind::Service => self.read_service_answer(answer).await,
        };
        full.map(Answer::Full)
    }

    /// Asks an engine to end the request's stream. Whether the engine received the cancellation is unknown.
    pub fn cancel(
        &self,
        client: &client::Client,
        server: &str,
    ) -> impl Future<Output = ()> + Send + use<> {
        let url = format!("http://{server}/v1/streams/{}", self.id);
        let client = client.clone();
        async move {
            if let Ok(request) = client::request_without_body(Method::DELETE, &url) {
                // The result is ignored: without a cancellation, the engine's own time limit ends the stream.
                let _ = client
                    .call(request, MAX_CANCEL_ANSWER_BYTES, CANCEL_TIMEOUT)
                    .await;
            }
        }
    }

    fn build_request(&self, server: &str, resume: Option<u64>) -> Option<Request<Full<Bytes>>> {
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(format!("http://{server}{}", self.path))
            .body(Full::new(self.body.clone()))
            .ok()?;
        let headers = request.headers_mut();
        *headers = self.headers.clone();
        headers.insert(errors::REQUEST_ID_HEADER, self.id.parse().ok()?);
        if let Some(from) = resume {
            headers.insert(RESUME_FROM_HEADER, from.into());
        }
        Some(request)
    }

    // An error answer to another request says nothing about this one.
    fn check_request_id(&self, headers: &HeaderMap) -> Result<(), Failure> {
        match headers.get(errors::REQUEST_ID_HEADER) {
            Some(id) if id.as_bytes() != self.id.as_bytes() => {
                Err(answer::Flaw::WrongRequest.into())
            }
            _ => Ok(()),
        }
    }

    async fn handle_error(&self, answer: Response<Incoming>) -> Result<FullAnswer, Failure> {
        let status = answer.status();
        let collected = client::collect(answer, MAX_ANSWER_BYTES).await;
        let code = collected
            .as_ref()
            .ok()
            .and_then(|answer| client::error_code(&answer.body));
        if let Some(cause) = not_run_cause(status, code.as_deref()) {
            return Err(Failure::not_run(cause));
        }
        if status.is_server_error() {
            return Err(Failure::may_have_run(request::Cause::BackendFailed));
        }
        let answer = collected?;
        Ok(FullAnswer {
            status,
            headers: end_to_end_headers(&answer.headers),
            body: answer.body,
        })
    }

    async fn read_engine_answer(&self, answer: Response<Incoming>) -> Result<FullAnswer, Failure> {
        let (head, mut body) = received::Body::split(answer);
        let mut checker = answer::BodyChecker::new(self.id.clone(), MAX_ANSWER_BYTES);
        loop {
            match body.next().await {
                received::Part::Data(bytes) => checker.push(&bytes)?,
                received::Part::End(Ending::BrokenOff(_)) => {
                    return Err(client::Error::Lost.into());
                }
                // The checker accepts a whole JSON object only, which tells its end itself.
                received::Part::End(Ending::Complete | Ending::Unstated) => break,
            }
        }
        Ok(FullAnswer {
            status: head.status,
            headers: end_to_end_headers(&head.headers),
            body: checker.end()?.into(),
        })
    }

    // The body format of plain services is unknown, so the header must carry the request id, and the end of the body must
    // be stated.
    async fn read_service_answer(&self, answer: Response<Incoming>) -> Result<FullAnswer, Failure> {
        let headers = answer.headers();
        let is_named = headers.contains_key(errors::REQUEST_ID_HEADER);
        if !is_named {
            return Err(answer::Flaw::Malformed.into());
        }
        let answer = client::collect(answer, MAX_ANSWER_BYTES).await?;
        Ok(FullAnswer {
            status: answer.status,
            headers: end_to_end_headers(&answer.headers),
            body: answer.body,
        })
    }
}

/// Returns the cause if the error states that the backend server did not run the request.
fn not_run_cause(status: StatusCode, code: Option<&str>) -> Option<request::Cause> {
    match (status, code?) {
        (StatusCode::CONFLICT, "model_not_loaded") => Some(request::Cause::NotLoaded),
        (StatusCode::SERVICE_UNAVAILABLE, "draining") => Some(request::Cause::Draining),
        (StatusCode::TOO_MANY_REQUESTS, "overloaded") => Some(request::Cause::Overloaded),
        _ => None,
    }
}

/// Returns the end-to-end headers, which are forwarded.
#[must_use]
pub fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let connection_headers: Vec<HeaderName> = connection_options(headers);
    let mut forwarded = headers.clone();
    for name in HOP_BY_HOP.iter().chain(&connection_headers) {
        forwarded.remove(name);
    }
    for name in OTHER_HOP_BY_HOP {
        forwarded.remove(name);
    }
    forwarded
}

/// Returns the headers that the `connection` header names, which apply only to the connection as well.
fn connection_options(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(CONNECTION).into_iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    let names = texts.flat_map(|text| text.split(','));
    names.filter_map(|name| name.trim().parse().ok()).collect()
}

/// Returns the content type, or an empty string if there is none.
fn content_type(headers: &HeaderMap) -> &str {
    let value = headers.get(CONTENT_TYPE);
    value
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}
