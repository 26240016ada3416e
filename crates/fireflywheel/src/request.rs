//! A caller's request, from its arrival to its one final answer.

use std::time::Duration;

use smol_str::SmolStr;

use crate::{claim, clock, verdict};

slotmap::new_key_type! {
    /// Names a request in progress at this instance.
    pub struct Key;
}

/// What a request is for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Target {
    /// A model, and perhaps an adapter, for the model engines.
    Model {
        /// The model's name.
        model: SmolStr,
        /// The adapter's name.
        adapter: Option<SmolStr>,
    },
    /// A path for the plain services.
    Path {
        /// The HTTP method.
        method: SmolStr,
        /// The path without its query.
        path: SmolStr,
    },
}

/// A request as the door took it in.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// The request id, the caller's or a new one; unique in time.
    pub id: SmolStr,
    /// Who sends it.
    pub tenant: SmolStr,
    /// Its class; `None` takes the route's or, for models, `interactive`.
    pub class: Option<SmolStr>,
    /// What it is for.
    pub target: Target,
    /// How long from its arrival until the whole answer must be there; `None` takes the class's.
    pub deadline: Option<Duration>,
    /// The caller's `Idempotency-Key`.
    pub key: Option<SmolStr>,
    /// A hash of method, path and body.
    pub fingerprint: u64,
    /// A hash of the prompt's beginning, for requests to models.
    pub prefix: Option<u64>,
    /// Whether the answer streams.
    pub stream: bool,
}

/// What came of an attempt at a backend server.
#[derive(Clone, Debug, PartialEq)]
pub enum Attempt {
    /// The answer began and was checked; bytes of a stream may now go to the caller.
    Began,
    /// The whole answer was checked; for a claim with what a repeat is to get.
    Done(claim::Outcome),
    /// No whole answer.
    Failed(Failure),
}

/// Why an attempt has no whole answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Failure {
    /// Whether it may have run.
    pub verdict: verdict::Verdict,
    /// What went wrong.
    pub cause: Cause,
    /// Events of the stream that went to the caller already. None of them may be sent twice.
    pub events_delivered: u64,
}

/// What went wrong with an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// No connection.
    Connect,
    /// The connection ended before the answer did.
    Disconnected,
    /// The backend server hasn't loaded the item.
    NotLoaded,
    /// The backend server is leaving.
    Draining,
    /// The backend server takes no more for now.
    Overloaded,
    /// Another request's answer, a gap, a doubled part, or no end marker.
    AnswerFlawed,
    /// The backend server's own failure (5xx).
    BackendFailed,
    /// The deadline came first.
    DeadlinePassed,
    /// The caller went away or reads too slowly.
    CallerGone,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Code {
    /// No such model, adapter or route in the configuration.
    UnknownTarget,
    /// No such tenant.
    UnknownTenant,
    /// No such class.
    UnknownClass,
    /// Neither the request nor its class has a deadline.
    MissingDeadline,
    /// This instance has no configuration yet.
    NotReady,
    /// This instance stops.
    Stopping,
    /// It would be answered too late.
    TooLate,
    /// The deadline passed.
    DeadlinePassed,
    /// The queue is full.
    QueueFull,
    /// The tenant's limit.
    TenantLimit,
    /// The class's limit.
    ClassLimit,
    /// The key was used for another request.
    KeyMismatch,
    /// The key's first request is in progress, or how it ended isn't known.
    KeyOpen,
    /// No more keys are remembered.
    KeysFull,
    /// The claim can't be made while the log can't be reached.
    LogOutage,
    /// The backend server failed, and trying again isn't allowed or didn't help.
    BackendFailed,
    /// The answer was not whole.
    AnswerFlawed,
}

/// The final answer to a request that isn't served.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Whether it may have run.
    pub verdict: verdict::Verdict,
    /// Why.
    pub code: Code,
    /// For the caller, in a sentence.
    pub message: SmolStr,
    /// When it is worth coming back.
    pub retry_after: Option<Duration>,
}

impl Code {
    /// The `code` member of an error body.
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

    /// The HTTP status that fits.
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
    /// A refusal of a request that has not run.
    #[must_use]
    pub fn new(code: Code, message: impl Into<SmolStr>) -> Self {
        Self {
            verdict: verdict::Verdict::NotRun,
            code,
            message: message.into(),
            retry_after: None,
        }
    }

    /// The same with another verdict.
    #[must_use]
    pub fn with_verdict(mut self, verdict: verdict::Verdict) -> Self {
        self.verdict = verdict;
        self
    }

    /// The same with a time to come back.
    #[must_use]
    pub fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }
}

/// How far the door has to wait for a request at most.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Admitted {
    /// Names it from now on.
    pub key: Key,
    /// The moment by which its final answer has to leave: a little before the caller's deadline.
    pub deadline: clock::Instant,
}
