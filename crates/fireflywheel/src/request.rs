//! A caller's request, from its arrival to its single final answer.

use std::time::Duration;

use smol_str::SmolStr;

use crate::{claim, clock, verdict};

slotmap::new_key_type! {
    /// Identifies a request in progress at this instance.
    pub struct Key;
}

/// Target of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Target {
    /// A model, optionally with an adapter, served by model engines.
    Model {
        /// The model's name.
        model: SmolStr,
        /// The adapter's name.
        adapter: Option<SmolStr>,
    },
    /// A path served by plain services.
    Path {
        /// The HTTP method.
        method: SmolStr,
        /// The path without its query.
        path: SmolStr,
    },
}

/// A request as received from the caller.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// The request id, given by the caller or generated; unique over time.
    pub id: SmolStr,
    /// The tenant that sends the request.
    pub tenant: SmolStr,
    /// The request's class; `None` selects the route's class or, for models, `interactive`.
    pub class: Option<SmolStr>,
    /// The target of the request.
    pub target: Target,
    /// Time from the arrival until the complete answer is due; `None` selects the class's deadline.
    pub deadline: Option<Duration>,
    /// The caller's `Idempotency-Key`.
    pub key: Option<SmolStr>,
    /// A hash of method, path and body.
    pub fingerprint: u64,
    /// A hash of the prompt's prefix, for requests to models.
    pub prefix: Option<u64>,
    /// Whether the answer is streamed.
    pub stream: bool,
}

/// Progress or result of an attempt at a backend server.
#[derive(Clone, Debug, PartialEq)]
pub enum Attempt {
    /// The answer started and passed its first check; bytes of a stream may now be sent to the caller.
    Began,
    /// The complete answer was checked. For a claim it comes with the outcome that a repeated request
    /// receives.
    Done(claim::Outcome),
    /// The attempt has no complete answer.
    Failed(Failure),
}

/// Failure of an attempt that has no complete answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Failure {
    /// Whether the request may have run.
    pub verdict: verdict::Verdict,
    /// The cause of the failure.
    pub cause: Cause,
    /// Number of stream events that the caller already received. None of them may be sent twice.
    pub events_delivered: u64,
}

/// Cause of a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// The connection could not be opened.
    Connect,
    /// The connection closed before the end of the answer.
    Disconnected,
    /// The backend server has not loaded the item.
    NotLoaded,
    /// The backend server is draining.
    Draining,
    /// The backend server accepts no further requests for now.
    Overloaded,
    /// The answer belongs to another request, has a missing or duplicate part, or has no end marker.
    AnswerFlawed,
    /// The backend server reported a failure (5xx).
    BackendFailed,
    /// The deadline passed before the end of the answer.
    DeadlinePassed,
    /// The caller disconnected or reads too slowly.
    CallerGone,
}

/// Reason for refusing a request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Code {
    /// The configuration has no such model, adapter or route.
    UnknownTarget,
    /// The configuration has no such tenant.
    UnknownTenant,
    /// The configuration has no such class.
    UnknownClass,
    /// Neither the request nor its class has a deadline.
    MissingDeadline,
    /// This instance has no configuration yet.
    NotReady,
    /// This instance is shutting down.
    Stopping,
    /// The answer is expected to miss the deadline.
    TooLate,
    /// The deadline passed.
    DeadlinePassed,
    /// The queue is full.
    QueueFull,
    /// The tenant's limit is reached.
    TenantLimit,
    /// The class's limit is reached.
    ClassLimit,
    /// The idempotency key was used for a different request.
    KeyMismatch,
    /// The first request with the key is in progress, or its outcome is unknown.
    KeyOpen,
    /// The maximum number of retained keys is reached.
    KeysFull,
    /// The claim cannot be recorded while the log is unreachable.
    LogOutage,
    /// The backend server failed, and a retry is not allowed or failed too.
    BackendFailed,
    /// The answer was incomplete or invalid.
    AnswerFlawed,
}

/// The final answer to a request that is not served.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Whether the request may have run.
    pub verdict: verdict::Verdict,
    /// The reason.
    pub code: Code,
    /// Explanation for the caller, in one sentence.
    pub message: SmolStr,
    /// Time after which a retry is worthwhile.
    pub retry_after: Option<Duration>,
}

impl Code {
    /// Returns the `code` member of an error body.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::UnknownTarget => "unknown_target",
            Self::UnknownTenant => "unknown_tenant",
            Self::UnknownClass => "unknown_class",
            Self::MissingDeadline => "missing_deadline",
            Self::NotReady => "not_ready",
            Self::Stopping => "stopping",
            Self::TooLate => "too_late",
            Self::DeadlinePassed => "deadline_passed",
            Self::QueueFull => "queue_full",
            Self::TenantLimit => "tenant_limit",
            Self::ClassLimit => "class_limit",
            Self::KeyMismatch => "key_mismatch",
            Self::KeyOpen => "key_open",
            Self::KeysFull => "keys_full",
            Self::LogOutage => "log_outage",
            Self::BackendFailed => "backend_failed",
            Self::AnswerFlawed => "answer_flawed",
        }
    }

    /// Returns the HTTP status for the reason.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::UnknownTarget => 404,
            Self::UnknownTenant => 403,
            Self::UnknownClass | Self::MissingDeadline => 400,
            Self::KeyMismatch => 422,
            Self::KeyOpen => 409,
            Self::QueueFull | Self::TenantLimit | Self::ClassLimit => 429,
            Self::DeadlinePassed => 504,
            Self::BackendFailed | Self::AnswerFlawed => 502,
            Self::NotReady | Self::Stopping | Self::TooLate | Self::KeysFull | Self::LogOutage => {
                503
            }
        }
    }
}

impl Refusal {
    /// Creates a refusal of a request that has not run.
    #[must_use]
    pub fn new(code: Code, message: impl Into<SmolStr>) -> Self {
        Self {
            verdict: verdict::Verdict::NotRun,
            code,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Sets the verdict.
    #[must_use]
    pub fn with_verdict(mut self, verdict: verdict::Verdict) -> Self {
        self.verdict = verdict;
        self
    }

    /// Sets the time after which a retry is worthwhile.
    #[must_use]
    pub fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }
}

/// An admitted request, with the time by which its final answer is due.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Admitted {
    /// Identifies the request while it is in progress.
    pub key: Key,
    /// The time by which the final answer must be sent: shortly before the caller's deadline.
    pub deadline: clock::Instant,
}
