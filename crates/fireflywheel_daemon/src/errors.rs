//! Error answers, which have the same format at every door.

use std::time::Duration;

use bytes::Bytes;
use fireflywheel::{request, verdict};
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use rand::RngCore as _;
use serde::Serialize;
use smol_str::SmolStr;

use crate::door;

/// The header with the request id, in requests and answers.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// The header of an error answer that tells whether the request may have run.
pub const VERDICT_HEADER: &str = "x-verdict";
/// The header that repeats `retry-after` in milliseconds.
pub const RETRY_AFTER_MS_HEADER: &str = "retry-after-ms";

/// The number of random bytes in a generated request id.
const GENERATED_ID_BYTES: usize = 16;

const SERVER_ERROR_TYPE: &str = "server_error";
const INVALID_REQUEST_TYPE: &str = "invalid_request_error";

/// An error answer to a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Problem {
    /// The HTTP status.
    pub status: StatusCode,
    /// The error code, for programs.
    pub code: &'static str,
    /// The message, a sentence for people.
    pub message: SmolStr,
    /// Whether the request may have run.
    pub verdict: verdict::Verdict,
    /// The time after which the caller should retry, if a retry makes sense.
    pub retry_after: Option<Duration>,
    /// Whether the connection is closed after the answer, because unread parts of the request may follow on it.
    pub closes: bool,
}

#[derive(Serialize)]
struct Envelope<'a> {
    error: Content<'a>,
}

#[derive(Serialize)]
struct Content<'a> {
    r#type: &'a str,
    code: &'a str,
    message: &'a str,
    verdict: &'a str,
}

/// Generates a random request id.
#[must_use]
pub fn generate_id() -> SmolStr {
    let mut bytes = [0; GENERATED_ID_BYTES];
    rand::rng().fill_bytes(&mut bytes);
    let digits = bytes.iter().map(|byte| format!("{byte:02x}"));
    SmolStr::from_iter(digits)
}

impl Problem {
    /// Creates a problem for a request that has not run.
    #[must_use]
    pub fn new(status: StatusCode, code: &'static str, message: impl Into<SmolStr>) -> Self {
        Self {
            status,
            code,
            message: message.into(),
            verdict: verdict::Verdict::NotRun,
            retry_after: None,
            closes: false,
        }
    }

    /// Creates a problem for an invalid request (400).
    #[must_use]
    pub fn bad_request(code: &'static str, message: impl Into<SmolStr>) -> Self {
        Self::new(StatusCode::BAD_REQUEST, code, message)
    }

    /// Sets the verdict.
    #[must_use]
    pub fn with_verdict(mut self, verdict: verdict::Verdict) -> Self {
        self.verdict = verdict;
        self
    }

    /// Sets the time after which the caller should retry.
    #[must_use]
    pub fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Closes the connection after the answer.
    #[must_use]
    pub fn with_close(mut self) -> Self {
        self.closes = true;
        self
    }

    /// Returns the JSON body.
    #[must_use]
    pub fn body(&self) -> String {
        let is_server_error = self.status.is_server_error();
        let envelope = Envelope {
            error: Content {
                r#type: if is_server_error {
                    SERVER_ERROR_TYPE
                } else {
                    INVALID_REQUEST_TYPE
                },
                code: self.code,
                message: &self.message,
                verdict: self.verdict.as_str(),
            },
        };
        serde_json::to_string(&envelope).expect("strings always have a JSON form")
    }

    /// Returns the event that ends a stream which has started.
    #[must_use]
    pub fn event(&self) -> Bytes {
        format!("data: {}\n\n", self.body()).into()
    }

    /// Returns the answer. The caller of this function adds the request id.
    #[must_use]
    pub fn answer(&self) -> Response<door::Body> {
        let mut answer = Response::new(door::Body::full(self.body()));
        *answer.status_mut() = self.status;
        let headers = answer.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert(
            VERDICT_HEADER,
            HeaderValue::from_static(self.verdict.as_str()),
        );
        if let Some(wait) = self.retry_after {
            headers.insert(RETRY_AFTER, seconds_rounded_up(wait).into());
            headers.insert(RETRY_AFTER_MS_HEADER, millis_rounded_up(wait).into());
        }
        if self.closes {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        answer
    }

    /// Returns the bytes of an HTTP/1.1 answer that closes the connection, for failures before a request was
    /// parsed. The answer has a generated request id.
    #[must_use]
    pub fn raw(&self) -> Vec<u8> {
        let body = self.body();
        let reason = self.status.canonical_reason().unwrap_or_default();
        let wait = self.retry_after.map(|wait| {
            let seconds = seconds_rounded_up(wait);
            let millis = millis_rounded_up(wait);
            format!("retry-after: {seconds}\r\n{RETRY_AFTER_MS_HEADER}: {millis}\r\n")
        });
        format!(
            "HTTP/1.1 {status} {reason}\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\
             connection: close\r\n{REQUEST_ID_HEADER}: {id}\r\n{VERDICT_HEADER}: {verdict}\r\n{wait}\r\n{body}",
            status = self.status.as_u16(),
            length = body.len(),
            id = generate_id(),
            verdict = self.verdict,
            wait = wait.unwrap_or_default(),
        )
        .into_bytes()
    }
}

impl From<request::Refusal> for Problem {
    fn from(refusal: request::Refusal) -> Self {
        let status =
            StatusCode::from_u16(refusal.code.status()).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
        Self {
            retry_after: refusal.retry_after,
            ..Self::new(status, refusal.code.as_str(), refusal.message)
        }
        .with_verdict(refusal.verdict)
    }
}

// The value is rounded up, since a caller that retries after fewer seconds would be too early.
fn seconds_rounded_up(wait: Duration) -> u64 {
    wait.as_millis()
        .div_ceil(1000)
        .try_into()
        .unwrap_or(u64::MAX)
}

fn millis_rounded_up(wait: Duration) -> u64 {
    wait.as_nanos()
        .div_ceil(1_000_000)
        .try_into()
        .unwrap_or(u64::MAX)
}
