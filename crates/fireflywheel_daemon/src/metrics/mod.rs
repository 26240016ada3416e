//! The metrics of one daemon, in a separate registry.
//!
//! Names in label values are taken from the configuration in force. Every other name is counted as `other`,
//! so that a malicious caller can't exhaust the memory with label values.

pub(crate) mod builder;
mod labels;

use std::time::Duration;

use anyhow::Context as _;
use fireflywheel::{order, request, status, verdict, writer};
use prometheus::{
    Encoder as _, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Registry, TextEncoder,
};

pub use labels::{Labels, OTHER};

/// All metrics of a daemon.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    queue_wait: HistogramVec,
    cold_start_wait: HistogramVec,
    first_token: HistogramVec,
    full_answer: HistogramVec,
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

/// The direction of a frame on a link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    /// Received from a peer.
    In,
    /// Sent to a peer.
    Out,
}

/// Why a link failed or a frame was dropped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkFailure {
    /// The connection to the peer failed.
    Connect,
    /// The peer failed the handshake.
    Handshake,
    /// The connection and its handshake exceeded their time limit.
    TimedOut,
    /// The maximum number of concurrent incoming handshakes was reached.
    TooMany,
    /// A received message was not a CBOR-encoded frame.
    Malformed,
    /// A message exceeded the size limit of a frame.
    TooLong,
    /// The send queue of the peer was full, so a frame was dropped.
    QueueFull,
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
    /// Returns the value of the `cause` label.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Connect => "connect",
            Self::Handshake => "handshake",
            Self::TimedOut => "slow",
            Self::TooMany => "limit",
            Self::Malformed => "malformed",
            Self::TooLong => "long",
            Self::QueueFull => "full",
        }
    }
}

impl Metrics {
    /// Creates the metrics, all zero.
    ///
    /// # Errors
    ///
    /// Returns an error if two metrics have the same name, which is a programming error.
    pub fn new() -> anyhow::Result<Self> {
        let builder = builder::Builder {
            registry: Registry::new(),
        };
        builder.build().context("failed to register the metrics")
    }

    /// Encodes all metrics in the Prometheus text format, with gauges set from `status`.
    ///
    /// # Errors
    ///
    /// Returns an error if the metrics can't be encoded.
    pub fn encode(&self, status: &status::Status, in_progress: usize) -> anyhow::Result<Vec<u8>> {
        self.version.set(to_i64(status.version));
        self.ledger_next.set(to_i64(status.log.next));
        self.ready.set(i64::from(status.ready));
        self.in_flight.set(to_i64(in_progress as u64));
        // The configuration determines which queues exist. A removed queue must not keep its last length.
        self.queued.reset();
        for queue in &status.queues {
            let gauge = self.queued.with_label_values(&[queue.model.as_str()]);
            gauge.set(to_i64(queue.waiting as u64));
        }
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }

    /// Records that a request is sent to a backend server for the first time.
    pub fn observe_dispatch(&self, labels: &Labels, wait: Duration, is_cold: bool) {
        let values = &labels.tenant_and_class();
        self.queue_wait
            .with_label_values(values)
            .observe(wait.as_secs_f64());
        if is_cold {
            self.cold_start_wait
                .with_label_values(values)
                .observe(wait.as_secs_f64());
        }
    }

    /// Records that the first event of a stream was passed to the caller, `elapsed` after the request
    /// arrived.
    pub fn observe_first_token(&self, labels: &Labels, elapsed: Duration) {
        self.first_token
            .with_label_values(&labels.tenant_and_class())
            .observe(elapsed.as_secs_f64());
    }

    /// Records that a complete answer was passed to the caller, `elapsed` after the request arrived.
    pub fn observe_full_answer(&self, labels: &Labels, elapsed: Duration) {
        self.full_answer
            .with_label_values(&labels.tenant_and_class())
            .observe(elapsed.as_secs_f64());
        self.count_outcome(labels, "ok", verdict::Verdict::Ran);
    }

    /// Counts the final answer to a request.
    pub fn count_outcome(&self, labels: &Labels, code: &str, verdict: verdict::Verdict) {
        self.outcomes
            .with_label_values(&[code, verdict.as_str(), labels.class.as_str()])
            .inc();
    }

    /// Counts an attempt that has ended. `cause` is `None` after a complete answer.
    pub fn count_attempt(&self, labels: &Labels, cause: Option<request::Cause>) {
        let cause = cause.map_or("ok", cause_label);
        self.attempts
            .with_label_values(&[cause, labels.model.as_str()])
            .inc();
    }

    /// Counts the result of an order to a model engine.
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

    /// Counts the result of an append to the log.
    pub fn count_append(&self, answer: writer::Answer) {
        let answer = match answer {
            writer::Answer::Stored(_) => "stored",
            writer::Answer::Refused => "refused",
            writer::Answer::Lost => "lost",
        };
        self.appends.with_label_values(&[answer]).inc();
    }

    /// Counts a frame on a link.
    pub fn count_frame(&self, direction: Direction, bytes: usize) {
        let values = &[direction.as_str()];
        self.frames.with_label_values(values).inc();
        self.frame_bytes
            .with_label_values(values)
            .inc_by(bytes as u64);
    }

    /// Counts a failed link or a dropped frame.
    pub fn count_link_failure(&self, failure: LinkFailure) {
        self.link_failures
            .with_label_values(&[failure.as_str()])
            .inc();
    }

    /// Sets the number of open links.
    pub fn set_links(&self, count: usize) {
        self.links.set(to_i64(count as u64));
    }

    /// Counts a stream as in progress until the returned guard is dropped.
    #[must_use]
    pub fn count_stream(&self) -> StreamGuard {
        self.streams.inc();
        StreamGuard(self.streams.clone())
    }
}

/// Counts one stream as in progress until it is dropped.
#[derive(Debug)]
pub struct StreamGuard(IntGauge);

impl Drop for StreamGuard {
    fn drop(&mut self) {
        self.0.dec();
    }
}

fn to_i64(number: u64) -> i64 {
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
