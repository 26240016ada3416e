//! The ways in which a request ends.

use fireflywheel::{claim, request, verdict};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};

use crate::{backend, door, errors};

/// The final result of a request.
#[derive(Debug)]
pub(super) enum Ending {
    /// A full answer of a backend server.
    Full(backend::FullAnswer),
    /// A stream that was sent to the caller up to its end marker.
    Streamed,
    /// The request is refused.
    Refused(errors::Problem),
    /// The stored outcome of the first request with the same idempotency key.
    Replayed(claim::Outcome),
    /// The caller has disconnected.
    CallerGone,
}

impl Ending {
    /// Creates a refusal whose verdict is at least as severe as the verdict of the request's attempts.
    pub(super) fn refused(refusal: request::Refusal, attempts: verdict::Verdict) -> Self {
        let verdict = refusal.verdict.max(attempts);
        Self::Refused(errors::Problem::from(refusal).with_verdict(verdict))
    }

    /// Creates the refusal of a request whose deadline has passed.
    pub(super) fn deadline_passed(attempts: verdict::Verdict) -> Self {
        let refusal = request::Refusal::new(request::Code::DeadlinePassed, "the deadline passed");
        Self::refused(refusal, attempts)
    }

    /// Returns whether a backend server answered completely.
    pub(super) fn is_served(&self) -> bool {
        matches!(self, Self::Full(_) | Self::Streamed)
    }

    /// Returns the code and the verdict to report, or `None` when the request was served.
    pub(super) fn failure(&self) -> Option<(&'static str, verdict::Verdict)> {
        match self {
            Self::Full(full) if full.status.is_client_error() => {
                Some(("backend_rejected", verdict::Verdict::Ran))
            }
            Self::Full(_) | Self::Streamed => None,
            Self::Refused(problem) => Some((problem.code, problem.verdict)),
            Self::Replayed(_) => Some(("replayed", verdict::Verdict::Ran)),
            Self::CallerGone => Some(("caller_gone", verdict::Verdict::MayHaveRun)),
        }
    }

    /// Returns the answer to send, or `None` when it was sent already or the caller has disconnected.
    pub(super) fn into_answer(self) -> Option<Response<door::Body>> {
        match self {
            Self::Full(full) => Some(to_response(full)),
            Self::Streamed | Self::CallerGone => None,
            Self::Refused(problem) => Some(problem.answer()),
            Self::Replayed(outcome) => Some(replay(outcome)),
        }
    }
}

fn to_response(full: backend::FullAnswer) -> Response<door::Body> {
    let mut answer = Response::new(door::Body::full(full.body));
    *answer.status_mut() = full.status;
    *answer.headers_mut() = full.headers;
    answer
}

fn replay(outcome: claim::Outcome) -> Response<door::Body> {
    match outcome {
        claim::Outcome::Answered {
            status,
            content_type,
            body: Some(body),
        } => {
            let mut answer = Response::new(door::Body::full(body));
            *answer.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
            if let Ok(value) = HeaderValue::from_str(&content_type) {
                answer.headers_mut().insert(CONTENT_TYPE, value);
            }
            answer
        }
        claim::Outcome::Answered { body: None, .. } => {
            not_replayable(StatusCode::CONFLICT, "key_ran", verdict::Verdict::Ran)
        }
        claim::Outcome::Failed(verdict) => not_replayable(
            StatusCode::BAD_GATEWAY,
            request::Code::BackendFailed.as_str(),
            verdict,
        ),
    }
}

fn not_replayable(
    status: StatusCode,
    code: &'static str,
    verdict: verdict::Verdict,
) -> Response<door::Body> {
    let message = "the first request of this key has ended, and its answer can't be given again";
    errors::Problem::new(status, code, message)
        .with_verdict(verdict)
        .answer()
}
