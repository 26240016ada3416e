//! Metrics of one daemon, in a registry of its own.
//!
//! The values of each label come from the configuration in force; whatever is not named there counts as
//! `other`, so that a hostile caller can't fill the memory with label values.

pub(crate) mod builder;
mod labels;

use std::time::Duration;

use anyhow::Context as _;
use fireflywheel::{order, request, status, verdict, writer};
use prometheus::{
    Encoder as _, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Registry, TextEncoder,
};

pub use labels::{Labels, OTHER};

/// Everything that a daemon measures.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    queue_wait: HistogramVec,
    cold_start_wait: HistogramVec,
    first_token: HistogramVec,
    whole_answer: HistogramVec,
    outcomes: IntCounterVec,
    attempts: IntCounterVec,
    orders: IntCounterVec,
    appends: IntCounterVec,
    frames: IntCounterVec,
    frame_bytes: IntCounterVec,
    link_failures: IntCounterVec,
    version: IntGauge,
    ledger_next: IntGauge,
    ready: IntGauge,
    in_flight: IntGauge,
    queued: IntGaugeVec,
    streams: IntGauge,
    links: IntGauge,
}

/// Which way bytes went over a link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    /// From a peer.
    In,
    /// To a peer.
    Out,
}

/// Why a link failed, or a frame was lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkFailure {
    /// The peer could not be reached.
    Connect,
    /// The handshake was wrong.
    Handshake,
    /// The handshake took too long.
    Slow,
    /// Too many handshakes or links at once.
    Limit,
    /// A message was not the CBOR of a frame.
    Malformed,
    /// A message was too long.
    Long,
    /// The queue to the peer was full: a frame was dropped.
    Full,
}

impl Direction {
    fn as_str(self) -> &'static str {
        match self {
            Self::In => "in",
            Self::Out => "out",
        }
    }
}

impl LinkFailure {
    /// The label value.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Connect => "connect",
            Self::Handshake => "handshake",
            Self::Slow => "slow",
            Self::Limit => "limit",
            Self::Malformed => "malformed",
            Self::Long => "long",
            Self::Full => "full",
        }
    }
}

impl Metrics {
    /// Metrics that are all zero.
    ///
    /// # Errors
    ///
    /// When two of them have one name, which is a fault of the build.
    pub fn new() -> anyhow::Result<Self> {
        let builder = builder::Builder {
            registry: Registry::new(),
        };
        builder.build().context("the metrics can't be registered")
    }

    /// All of them as a scraper reads them, with gauges as `status` says.
    ///
    /// # Errors
    ///
    /// When they have no text form.
    pub fn text(&self, status: &status::Status, in_progress: usize) -> anyhow::Result<Vec<u8>> {
        self.version.set(integer(status.version));
        self.ledger_next.set(integer(status.log.next));
        self.ready.set(i64::from(status.ready));
        self.in_flight.set(integer(in_progress as u64));
        // Queues come and go with the configuration; one that is gone must not show its last length.
        self.queued.reset();
        for queue in &status.queues {
            let gauge = self.queued.with_label_values(&[queue.model.as_str()]);
            gauge.set(integer(queue.waiting as u64));
        }
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }

    /// A request goes to a backend server for the first time.
    pub fn observe_dispatch(&self, labels: &Labels, wait: Duration, is_cold: bool) {
        let values = &labels.pair();
        self.queue_wait
            .with_label_values(values)
            .observe(wait.as_secs_f64());
        if is_cold {
            self.cold_start_wait
                .with_label_values(values)
                .observe(wait.as_secs_f64());
        }
    }

    /// The first event of a stream was handed on.
    pub fn observe_first_token(&self, labels: &Labels, since: Duration) {
        self.first_token
            .with_label_values(&labels.pair())
            .observe(since.as_secs_f64());
    }

    /// A whole answer was handed on.
    pub fn observe_full_answer(&self, labels: &Labels, since: Duration) {
        self.whole_answer
            .with_label_values(&labels.pair())
            .observe(since.as_secs_f64());
        self.count_outcome(labels, "ok", verdict::Verdict::Ran);
    }

    /// A request had its final answer.
    pub fn count_outcome(&self, labels: &Labels, code: &str, verdict: verdict::Verdict) {
        self.outcomes
            .with_label_values(&[code, verdict.as_str(), labels.class.as_str()])
            .inc();
    }

    /// An attempt ended; `None` with a whole answer.
    pub fn count_attempt(&self, labels: &Labels, cause: Option<request::Cause>) {
        let cause = cause.map_or("ok", cause_label);
        self.attempts
            .with_label_values(&[cause, labels.model.as_str()])
            .inc();
    }

    /// An order was answered, or not.
    pub fn count_order(&self, answer: &order::Answer) {
        let answer = match answer {
            order::Answer::Done(_) => "done",
            order::Answer::Stale => "stale",
            order::Answer::Failed(_) => "failed",
            order::Answer::Unsent => "unsent",
            order::Answer::Lost => "lost",
        };
        self.orders.with_label_values(&[answer]).inc();
    }

    /// An append was answered, or not.
    pub fn count_append(&self, answer: writer::Answer) {
        let answer = match answer {
            writer::Answer::Stored(_) => "stored",
            writer::Answer::Refused => "refused",
            writer::Answer::Lost => "lost",
        };
        self.appends.with_label_values(&[answer]).inc();
    }

    /// A frame went over a link.
    pub fn count_frame(&self, direction: Direction, bytes: usize) {
        let values = &[direction.as_str()];
        self.frames.with_label_values(values).inc();
        self.frame_bytes
            .with_label_values(values)
            .inc_by(bytes as u64);
    }

    /// A link failed, or a frame was dropped.
    pub fn count_link_failure(&self, failure: LinkFailure) {
        self.link_failures
            .with_label_values(&[failure.as_str()])
            .inc();
    }

    /// So many links are open.
    pub fn set_links(&self, count: usize) {
        self.links.set(integer(count as u64));
    }

    /// Counts a stream until the guard is dropped.
    #[must_use]
    pub fn stream(&self) -> StreamGuard {
        self.streams.inc();
        StreamGuard(self.streams.clone())
    }
}

/// A stream in progress.
#[derive(Debug)]
pub struct StreamGuard(IntGauge);

impl Drop for StreamGuard {
    fn drop(&mut self) {
        self.0.dec();
    }
}

fn integer(number: u64) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}

fn cause_label(cause: request::Cause) -> &'static str {
    match cause {
        request::Cause::Connect => "connect",
        request::Cause::Disconnected => "cut",
        request::Cause::NotLoaded => "not_loaded",
        request::Cause::Draining => "draining",
        request::Cause::Overloaded => "overloaded",
        request::Cause::AnswerFlawed => "flawed",
        request::Cause::BackendFailed => "backend",
        request::Cause::DeadlinePassed => "late",
        request::Cause::CallerGone => "caller",
    }
}
