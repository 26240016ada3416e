//! Attempts at backend servers: a request is sent once, and each answer is checked before anything of it is
//! handed on.

mod stream;

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use fireflywheel::{answer, claim, request, verdict};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HOST, HeaderName, TE, TRAILER, TRANSFER_ENCODING,
    UPGRADE,
};
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use smol_str::SmolStr;

pub use stream::{Stream, encode};

use crate::{client, errors};

/// The largest whole answer taken, in bytes.
pub const MAX_ANSWER_BYTES: usize = 4 << 20;
/// How long a cancellation may take.
const CANCEL_WAIT: Duration = Duration::from_secs(2);
/// The largest answer to a cancellation, in bytes.
const CANCEL_LIMIT: usize = 4096;
/// The header that asks to go on with a stream.
const RESUME_FROM: &str = "x-resume-from";
const EVENT_STREAM: &str = "text/event-stream";

/// Headers that concern one connection and go no further.
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

/// A request as it goes to a backend server.
#[derive(Clone, Debug)]
pub struct OutgoingRequest {
    /// The request id.
    pub id: SmolStr,
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub path: String,
    /// Headers that are handed on.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Who answers.
    pub kind: Kind,
}

/// Who answers, which decides how the answer is checked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// A model engine: each part of its answer names the request.
    Engine,
    /// A plain service: its header names the request.
    Service,
}

/// An attempt without a whole answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Failure {
    /// Whether the request may have run.
    pub verdict: verdict::Verdict,
    /// What went wrong.
    pub cause: request::Cause,
}

/// An answer that began.
#[derive(Debug)]
pub enum Answer {
    /// It is whole, and was checked.
    Full(FullAnswer),
    /// A stream, to be checked as it comes.
    Stream(Stream),
}

/// A whole, checked answer.
#[derive(Clone, Debug)]
pub struct FullAnswer {
    /// The status.
    pub status: StatusCode,
    /// Headers that may be handed on.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Failure {
    /// A fault after which the request may have run.
    #[must_use]
    pub fn may_have_run(cause: request::Cause) -> Self {
        Self {
            verdict: verdict::Verdict::MayHaveRun,
            cause,
        }
    }

    /// A fault that proves that the request has not run.
    #[must_use]
    pub fn not_run(cause: request::Cause) -> Self {
        Self {
            verdict: verdict::Verdict::NotRun,
            cause,
        }
    }

    /// The same for the node, which also wants to know how much of a stream went to the caller.
    #[must_use]
    pub fn with_events_delivered(self, events_delivered: u64) -> request::Failure {
        request::Failure {
            verdict: self.verdict,
            cause: self.cause,
            events_delivered,
        }
    }
}

impl From<client::Fault> for Failure {
    fn from(fault: client::Fault) -> Self {
        match fault {
            client::Fault::Unsent => Self::not_run(request::Cause::Connect),
            client::Fault::Lost => Self::may_have_run(request::Cause::Disconnected),
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
    /// What a repeat of the request is to get.
    #[must_use]
    pub fn outcome(&self) -> claim::Outcome {
        let kept = (self.body.len() <= claim::MAX_BODY_BYTES)
            .then(|| String::from_utf8(self.body.to_vec()).ok())
            .flatten();
        claim::Outcome::Answered {
            status: self.status.as_u16(),
            content_type: content_type(&self.headers).into(),
            body: kept,
        }
    }
}

impl OutgoingRequest {
    /// Sends it once to `server`; with `resume` asks to go on after so many events of the stream.
    ///
    /// # Errors
    ///
    /// [`Failure`] when there is no whole answer.
    pub async fn send(
        &self,
        client: &client::Client,
        server: &str,
        resume: Option<u64>,
    ) -> Result<Answer, Failure> {
        let request = self
            .request(server, resume)
            .ok_or(Failure::not_run(request::Cause::Connect))?;
        let answer = client.send(request).await?;
        self.own_header(answer.headers())?;
        if answer.status().is_client_error() || answer.status().is_server_error() {
            return self.refused(answer).await.map(Answer::Full);
        }
        if self.kind == Kind::Engine && content_type(answer.headers()).starts_with(EVENT_STREAM) {
            return Ok(Answer::Stream(Stream::new(answer, &self.id, resume)));
        }
        let whole = match self.kind {
            Kind::Engine => self.engine_answer(answer).await,
            Kind::Service => self.service_answer(answer).await,
        };
        whole.map(Answer::Full)
    }

    /// Tells an engine to end the request's stream. Whether it heard is not known.
    pub fn cancel(
        &self,
        client: &client::Client,
        server: &str,
    ) -> impl Future<Output = ()> + Send + use<> {
        let url = format!("http://{server}/v1/streams/{}", self.id);
        let client = client.clone();
        async move {
            if let Ok(request) = client::bare(Method::DELETE, &url) {
                // Nobody waits for it: the engine's own time limit ends the stream otherwise.
                let _ = client.call(request, CANCEL_LIMIT, CANCEL_WAIT).await;
            }
        }
    }

    fn request(&self, server: &str, resume: Option<u64>) -> Option<Request<Full<Bytes>>> {
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(format!("http://{server}{}", self.path))
            .body(Full::new(self.body.clone()))
            .ok()?;
        let headers = request.headers_mut();
        *headers = self.headers.clone();
        headers.insert(errors::REQUEST_ID, self.id.parse().ok()?);
        if let Some(from) = resume {
            headers.insert(RESUME_FROM, from.into());
        }
        Some(request)
    }

    // A refusal that belongs to another request says nothing about this one.
    fn own_header(&self, headers: &HeaderMap) -> Result<(), Failure> {
        match headers.get(errors::REQUEST_ID) {
            Some(id) if id.as_bytes() != self.id.as_bytes() => {
                Err(answer::Flaw::WrongRequest.into())
            }
            _ => Ok(()),
        }
    }

    async fn refused(&self, answer: Response<Incoming>) -> Result<FullAnswer, Failure> {
        let status = answer.status();
        let read = client::collect(answer, MAX_ANSWER_BYTES).await;
        let code = read
            .as_ref()
            .ok()
            .and_then(|answer| client::error_code(&answer.body));
        if let Some(cause) = not_run_cause(status, code.as_deref()) {
            return Err(Failure::not_run(cause));
        }
        if status.is_server_error() {
            return Err(Failure::may_have_run(request::Cause::BackendFailed));
        }
        let answer = read?;
        Ok(FullAnswer {
            status,
            headers: passed_on(&answer.headers),
            body: answer.body,
        })
    }

    async fn engine_answer(&self, answer: Response<Incoming>) -> Result<FullAnswer, Failure> {
        let (head, mut body) = answer.into_parts();
        let mut check = answer::BodyChecker::new(self.id.clone(), MAX_ANSWER_BYTES);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| Failure::from(client::Fault::Lost))?;
            if let Ok(bytes) = frame.into_data() {
                check.push(&bytes)?;
            }
        }
        Ok(FullAnswer {
            status: head.status,
            headers: passed_on(&head.headers),
            body: check.end()?.into(),
        })
    }

    // The bodies of plain services are their own, so the header must name the request, and the length must be
    // announced: a body that lasts until the connection ends would look whole where it was cut.
    async fn service_answer(&self, answer: Response<Incoming>) -> Result<FullAnswer, Failure> {
        let headers = answer.headers();
        let is_named = headers.contains_key(errors::REQUEST_ID);
        let is_bounded = headers.contains_key(CONTENT_LENGTH)
            || headers.contains_key(TRANSFER_ENCODING)
            || self.method == Method::HEAD
            || matches!(
                answer.status(),
                StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
            );
        if !is_named || !is_bounded {
            return Err(answer::Flaw::Malformed.into());
        }
        let answer = client::collect(answer, MAX_ANSWER_BYTES).await?;
        Ok(FullAnswer {
            status: answer.status,
            headers: passed_on(&answer.headers),
            body: answer.body,
        })
    }
}

/// Whether an error is one by which a backend server says that it did not run the request.
fn not_run_cause(status: StatusCode, code: Option<&str>) -> Option<request::Cause> {
    match (status, code?) {
        (StatusCode::CONFLICT, "model_not_loaded") => Some(request::Cause::NotLoaded),
        (StatusCode::SERVICE_UNAVAILABLE, "draining") => Some(request::Cause::Draining),
        (StatusCode::TOO_MANY_REQUESTS, "overloaded") => Some(request::Cause::Overloaded),
        _ => None,
    }
}

/// The headers that go from one side to the other.
#[must_use]
pub fn passed_on(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = connection_options(headers);
    let mut passed = headers.clone();
    for name in HOP_BY_HOP.iter().chain(&named) {
        passed.remove(name);
    }
    for name in OTHER_HOP_BY_HOP {
        passed.remove(name);
    }
    passed
}

/// Headers that the `connection` header names concern the connection too.
fn connection_options(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(CONNECTION).into_iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    let names = texts.flat_map(|text| text.split(','));
    names.filter_map(|name| name.trim().parse().ok()).collect()
}

/// The content type, empty when there is none.
fn content_type(headers: &HeaderMap) -> &str {
    let value = headers.get(CONTENT_TYPE);
    value
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}
