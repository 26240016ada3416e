//! How a request ends.

use fireflywheel::{claim, request, verdict};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};

use crate::{backend, door, errors};

/// The final answer of a request.
#[derive(Debug)]
pub(super) enum Ending {
    /// A whole answer.
    Whole(backend::FullAnswer),
    /// A stream that the caller has got to its end marker.
    Streamed,
    /// Not served.
    Refused(errors::Problem),
    /// The outcome of the first request of the key.
    Replayed(claim::Outcome),
    /// Nobody is there to answer.
    Gone,
}

impl Ending {
    /// A refusal that says no less than the request's attempts came to.
    pub(super) fn refused(refusal: request::Refusal, attempts: verdict::Verdict) -> Self {
        let verdict = refusal.verdict.max(attempts);
        Self::Refused(errors::Problem::from(refusal).with_verdict(verdict))
    }

    /// The refusal of a request whose deadline passed.
    pub(super) fn late(attempts: verdict::Verdict) -> Self {
        let refusal = request::Refusal::new(request::Code::DeadlinePassed, "the deadline passed");
        Self::refused(refusal, attempts)
    }

    /// Whether a backend server answered in full.
    pub(super) fn is_answer(&self) -> bool {
        matches!(self, Self::Whole(_) | Self::Streamed)
    }

    /// Code and verdict, unless it is a whole answer.
    pub(super) fn failure(&self) -> Option<(&'static str, verdict::Verdict)> {
        match self {
            Self::Whole(whole) if whole.status.is_client_error() => {
                Some(("backend_rejected", verdict::Verdict::Ran))
            }
            Self::Whole(_) | Self::Streamed => None,
            Self::Refused(problem) => Some((problem.code, problem.verdict)),
            Self::Replayed(_) => Some(("replayed", verdict::Verdict::Ran)),
            Self::Gone => Some(("caller_gone", verdict::Verdict::MayHaveRun)),
        }
    }

    /// The answer, unless the caller has got it.
    pub(super) fn answer(self) -> Option<Response<door::Body>> {
        match self {
            Self::Whole(whole) => Some(hand_on(whole)),
            Self::Streamed | Self::Gone => None,
            Self::Refused(problem) => Some(problem.answer()),
            Self::Replayed(outcome) => Some(replay(outcome)),
        }
    }
}

fn hand_on(whole: backend::FullAnswer) -> Response<door::Body> {
    let mut answer = Response::new(door::Body::whole(whole.body));
    *answer.status_mut() = whole.status;
    *answer.headers_mut() = whole.headers;
    answer
}

fn replay(outcome: claim::Outcome) -> Response<door::Body> {
    match outcome {
        claim::Outcome::Answered {
            status,
            content_type,
            body: Some(body),
        } => {
            let mut answer = Response::new(door::Body::whole(body));
            *answer.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
            if let Ok(value) = HeaderValue::from_str(&content_type) {
                answer.headers_mut().insert(CONTENT_TYPE, value);
            }
            answer
        }
        claim::Outcome::Answered { body: None, .. } => {
            ran_before(StatusCode::CONFLICT, "key_ran", verdict::Verdict::Ran)
        }
        claim::Outcome::Failed(verdict) => ran_before(
            StatusCode::BAD_GATEWAY,
            request::Code::BackendFailed.as_str(),
            verdict,
        ),
    }
}

fn ran_before(
    status: StatusCode,
    code: &'static str,
    verdict: verdict::Verdict,
) -> Response<door::Body> {
    let message = "the first request of this key has ended, and its answer can't be given again";
    errors::Problem::new(status, code, message)
        .with_verdict(verdict)
        .answer()
}
