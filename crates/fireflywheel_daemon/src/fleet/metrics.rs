//! Prometheus metrics of one instance.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use fireflywheel::fleet::era::Era;
use fireflywheel::fleet::limit;
use fireflywheel::fleet::plan;
use fireflywheel::fleet::quota::class;
use prometheus::{
    CounterVec, Encoder as _, Gauge, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Registry, TextEncoder,
};
use smol_str::SmolStr;

use super::speed_metrics;
use crate::metrics::builder;

/// Upper bounds in seconds of the histogram buckets, from a plain service's response to the longest wait for a model
/// that has to be loaded.
const ANSWER_TIME_BUCKETS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.25, 0.6, 1.0, 2.5, 5.0, 10.0, 20.0, 60.0,
];

/// Upper bounds in seconds of the histogram buckets of waits, from one check for a place to the longest time-out.
const WAIT_TIME_BUCKETS: [f64; 9] = [0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 10.0];
/// Priorities from this on share a label value.
const MAX_PRIORITY_LABEL: u8 = 9;

/// Maximum number of organisations with a label value of their own. With thousands of them, each scrape would be
/// megabytes large.
const MAX_ORGANISATION_LABELS: usize = 64;
/// Maximum number of versions of servers' software with a label value of their own. More than a few serve side by side only
/// by mistake.
const MAX_VERSION_LABELS: usize = 32;
/// The label value of all that have none of their own.
const OTHER_LABEL: &str = "other";
/// The label value of a version that the entry of its server doesn't tell.
const UNKNOWN_VERSION_LABEL: &str = "unknown";

/// The names that have label values of their own, which are bounded in number.
#[derive(Clone, Debug)]
struct Labels {
    names: Arc<Mutex<BTreeSet<SmolStr>>>,
    max_names: usize,
}

impl Labels {
    fn new(max_names: usize) -> Self {
        Self {
            names: Arc::default(),
            max_names,
        }
    }

    /// The label value for a name.
    fn value<'a>(&self, name: &'a str) -> &'a str {
        let mut names = self.names.lock().expect("the lock is not poisoned");
        if names.contains(name) {
            return name;
        }
        if names.len() >= self.max_names {
            return OTHER_LABEL;
        }
        names.insert(name.into());
        name
    }
}

/// The metrics of an instance.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    answer_time: HistogramVec,
    refusals: IntCounterVec,
    failed_attempts: IntCounterVec,
    orders: IntCounterVec,
    store_calls: IntCounterVec,
    quota_charges: CounterVec,
    quota_classes: IntCounterVec,
    organisation_labels: Labels,
    config_version: IntGauge,
    config_age: Gauge,
    era: IntGauge,
    limited_servers: IntGauge,
    permits: IntCounterVec,
    lost_paths: IntGauge,
    held_bytes: IntGauge,
    given_up_answers: IntGauge,
    gateways: IntGauge,
    tunnels: IntCounterVec,
    resumptions: IntCounterVec,
    refused_resumptions: IntCounterVec,
    streams_begun: IntCounterVec,
    version_labels: Labels,
    remembered_streams: IntGauge,
    reported_streams: IntCounter,
    stored_streams: IntCounter,
    served_tunnels: IntCounterVec,
    replicas: IntGaugeVec,
    quarantined_parts: IntGauge,
    crashes_found: IntCounter,
    examinations: IntCounterVec,
    waiting: IntGaugeVec,
    waits: HistogramVec,
    wait_errors: HistogramVec,
    /// Metrics of the speed of servers.
    pub speeds: speed_metrics::SpeedMetrics,
    prefix_tokens: IntCounterVec,
    prefix_choices: IntCounterVec,
    steward: IntGauge,
    stewardships: IntCounter,
    linked: IntGauge,
    kept_servers: IntCounter,
}

impl Metrics {
    /// Sets the bytes in memory and the number of answers that were given up because of slow readers.
    pub fn set_held_bytes(&self, held: u64, given_up: u64) {
        self.held_bytes.set(held.try_into().unwrap_or(i64::MAX));
        self.given_up_answers
            .set(given_up.try_into().unwrap_or(i64::MAX));
    }

    /// Creates the metrics in a registry of their own.
    ///
    /// # Errors
    ///
    /// Returns an error if two metrics have the same name.
    pub fn new() -> anyhow::Result<Self> {
        let builder = builder::Builder::default();
        Ok(Self {
            answer_time: builder.histogram(
                "fleet_answer_seconds",
                "From a request to the head of its response, by route and status",
                ANSWER_TIME_BUCKETS.to_vec(),
                &["route", "status"],
            )?,
            refusals: builder.counter(
                "fleet_refused_total",
                "Own answers, by reason and status",
                &["code", "status"],
            )?,
            failed_attempts: builder.counter(
                "fleet_attempt_failures_total",
                "Attempts without a whole response",
                &["route", "why"],
            )?,
            orders: builder.counter(
                "fleet_orders_total",
                "Orders to engines, by kind and result",
                &["kind", "result"],
            )?,
            store_calls: builder.counter(
                "fleet_store_calls_total",
                "Calls to the platform's store",
                &["call", "result"],
            )?,
            quota_charges: builder.float_counter(
                "fleet_quota_total",
                "What requests count against quotas, by organisation and outcome",
                &["organisation", "outcome"],
            )?,
            quota_classes: builder.counter(
                "fleet_quota_requests_total",
                "Requests that count against quotas, by class and outcome",
                &["class", "outcome"],
            )?,
            organisation_labels: Labels::new(MAX_ORGANISATION_LABELS),
            config_version: builder.gauge("fleet_config_version", "The configuration in force")?,
            config_age: builder.float_gauge(
                "fleet_config_age_seconds",
                "Since the store was last read for the configuration in force, by this instance or the steward",
            )?,
            era: builder.gauge(
                "fleet_store_era",
                "How often the platform's store has come back from an older copy, as it says",
            )?,
            limited_servers: builder.gauge(
                "fleet_limited_servers",
                "Backend servers that name how many requests a second they take",
            )?,
            permits: builder.counter(
                "fleet_permits_total",
                "Decisions of the steward on requests to servers that name a limit",
                &["outcome"],
            )?,
            held_bytes: builder.gauge(
                "fleet_held_bytes",
                "Bytes of requests and answers in memory",
            )?,
            given_up_answers: builder.gauge(
                "fleet_given_up_answers",
                "Answers of slow readers that were given up for want of memory, since the start",
            )?,
            lost_paths: builder.gauge(
                "fleet_lost_paths",
                "Backend servers that other instances reach and this one does not",
            )?,
            gateways: builder.gauge(
                "fleet_gateways",
                "Instances that this one may use to reach backend servers",
            )?,
            tunnels: builder.counter(
                "fleet_tunnels_total",
                "Connections to backend servers through another instance, by result",
                &["result"],
            )?,
            resumptions: builder.counter(
                "fleet_resumptions_total",
                "Streams that callers take up again, by what tells the version at which each began",
                &["told_by"],
            )?,
            refused_resumptions: builder.counter(
                "fleet_resumptions_refused_total",
                "Own answers to callers that take up a stream, by reason",
                &["code"],
            )?,
            streams_begun: builder.counter(
                "fleet_streams_begun_total",
                "Streams of which an event was forwarded, by the version of the servers' software and by whether it is new",
                &["version", "kind"],
            )?,
            version_labels: Labels::new(MAX_VERSION_LABELS),
            remembered_streams: builder.gauge(
                "fleet_remembered_streams",
                "Streams that began at this instance and whose callers may come back to another",
            )?,
            stored_streams: builder.plain_counter(
                "fleet_stored_streams_total",
                "Streams that this instance has written to the store as steward.",
            )?,
            reported_streams: builder.plain_counter(
                "fleet_reported_streams_total",
                "Streams that a steward was told",
            )?,
            served_tunnels: builder.counter(
                "fleet_served_tunnels_total",
                "Connections to backend servers for another instance, by result",
                &["result"],
            )?,
            replicas: builder.gauge_vec(
                "fleet_replicas",
                "Replicas of the models with most requests, wanted and there",
                &["model", "count"],
            )?,
            quarantined_parts: builder.gauge(
                "fleet_quarantined_parts",
                "Parts of prompts with which requests are refused, since servers crash on them",
            )?,
            crashes_found: builder.plain_counter(
                "fleet_crashes_found_total",
                "Backend servers that this instance has found to have ended while they ran requests",
            )?,
            examinations: builder.counter(
                "fleet_examinations_total",
                "Backend servers that this instance has examined after a run failed there, by what it found",
                &["finding"],
            )?,
            waiting: builder.gauge_vec(
                "fleet_waiting",
                "Requests that wait in order for a server, by priority",
                &["priority"],
            )?,
            waits: builder.histogram(
                "fleet_wait_seconds",
                "Time that requests waited in order, by priority and by whether they were sent or left",
                WAIT_TIME_BUCKETS.to_vec(),
                &["priority", "outcome"],
            )?,
            wait_errors: builder.histogram(
                "fleet_wait_forecast_error_seconds",
                "Difference of the wait of a request and its forecast, by whether it waited longer or shorter",
                WAIT_TIME_BUCKETS.to_vec(),
                &["waited"],
            )?,
            speeds: speed_metrics::SpeedMetrics::new(&builder)?,
            prefix_tokens: builder.counter(
                "fleet_prefix_tokens_total",
                "Prompt tokens that servers were assumed to keep, by what the time to the first event tells",
                &["finding"],
            )?,
            prefix_choices: builder.counter(
                "fleet_prefix_choices_total",
                "Servers chosen for prompts whose start may be kept somewhere, by reason",
                &["reason"],
            )?,
            steward: builder.gauge("fleet_steward", "1 while this instance orders engines")?,
            stewardships: builder.plain_counter(
                "fleet_stewardships_total",
                "Times that this instance has become the active steward",
            )?,
            kept_servers: builder.plain_counter(
                "fleet_kept_servers_total",
                "Servers that were kept though their entries were missing, as the store had just returned",
            )?,
            linked: builder.gauge(
                "fleet_steward_linked",
                "1 while this instance has a link to the steward, or is it",
            )?,
            registry: builder.registry,
        })
    }

    /// Counts a backend server's response that is forwarded, and the time from the request to its head.
    pub fn count_answer(&self, route: &str, status: u16, took: Duration) {
        let status = status.to_string();
        let labels = [route, status.as_str()];
        self.answer_time
            .with_label_values(&labels)
            .observe(took.as_secs_f64());
    }

    /// Counts a request that this instance itself answered with an error.
    pub fn count_refusal(&self, code: &str, status: u16) {
        let status = status.to_string();
        self.refusals
            .with_label_values(&[code, status.as_str()])
            .inc();
    }

    /// Counts an attempt without a usable response, or a stream that was cut off for whatever reason. A run of a stream
    /// that another run resumes is not counted.
    pub fn count_failed_attempt(&self, route: &str, why: &str) {
        self.failed_attempts.with_label_values(&[route, why]).inc();
    }

    /// Counts an order to an engine by its result.
    pub fn count_order(&self, kind: &str, result: &str) {
        self.orders.with_label_values(&[kind, result]).inc();
    }

    /// Counts a call to the platform's store.
    pub fn count_store_call(&self, call: &str, good: bool) {
        let result = if good { "ok" } else { "fault" };
        self.store_calls.with_label_values(&[call, result]).inc();
    }

    /// Adds the cost of a request that its organisation's quota admitted or refused.
    pub fn count_charge(&self, organisation: &str, admitted: bool, cost: f64) {
        let label = self.organisation_labels.value(organisation);
        let outcome = if admitted { "admitted" } else { "refused" };
        self.quota_charges
            .with_label_values(&[label, outcome])
            .inc_by(cost);
    }

    /// Counts a request of a class that its organisation's quota admitted or refused.
    pub fn count_class(&self, class: class::Class, admitted: bool) {
        let outcome = if admitted { "admitted" } else { "refused" };
        self.quota_classes
            .with_label_values(&[class.name(), outcome])
            .inc();
    }

    /// Sets the version of the configuration in force.
    pub fn set_config_version(&self, version: u64) {
        self.config_version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
    }

    /// Sets how long ago the store was read for the configuration in force; `None` if it never was.
    pub fn set_config_age(&self, age: Option<Duration>) {
        let seconds = age.map_or(f64::INFINITY, |age| age.as_secs_f64());
        self.config_age.set(seconds);
    }

    /// Sets the era of the platform's store.
    pub fn set_era(&self, era: Era) {
        self.era.set(i64::try_from(era.0).unwrap_or(i64::MAX));
    }

    /// Sets the number of backend servers that limit their request rate.
    pub fn set_limited_servers(&self, servers: usize) {
        self.limited_servers
            .set(i64::try_from(servers).unwrap_or(i64::MAX));
    }

    /// Counts a decision of the steward on a request to a server that limits its request rate.
    pub fn count_permit(&self, outcome: limit::Outcome) {
        let outcome = match outcome {
            limit::Outcome::Granted => "granted",
            limit::Outcome::Queued(_) => "queued",
            limit::Outcome::Refused(_) => "refused",
        };
        self.permits.with_label_values(&[outcome]).inc();
    }

    /// Sets the number of backend servers that other instances reach and this one does not.
    pub fn set_lost_paths(&self, servers: usize) {
        self.lost_paths
            .set(i64::try_from(servers).unwrap_or(i64::MAX));
    }

    /// Sets the number of instances that this one may use to reach backend servers.
    pub fn set_gateways(&self, gateways: usize) {
        self.gateways
            .set(i64::try_from(gateways).unwrap_or(i64::MAX));
    }

    /// Counts a stream that a caller takes up again, by what tells the version at which it began.
    pub fn count_resumption(&self, told_by: &str) {
        self.resumptions.with_label_values(&[told_by]).inc();
    }

    /// Counts an own answer to a caller that takes up a stream.
    pub fn count_refused_resumption(&self, code: &str) {
        self.refused_resumptions.with_label_values(&[code]).inc();
    }

    /// Counts a stream whose first event is forwarded to its caller, by the version that sent it.
    pub fn count_begun_stream(&self, version: Option<&str>, is_taken_up: bool) {
        let version = match version {
            Some(version) => self.version_labels.value(version),
            None => UNKNOWN_VERSION_LABEL,
        };
        let kind = if is_taken_up { "taken_up" } else { "new" };
        self.streams_begun.with_label_values(&[version, kind]).inc();
    }

    /// Counts a backend server that has ended while it ran requests.
    pub fn count_crash(&self) {
        self.crashes_found.inc();
    }

    /// Counts an examination of a backend server.
    pub fn count_examination(&self, finding: &str) {
        self.examinations.with_label_values(&[finding]).inc();
    }

    /// Counts streams that a steward is told.
    pub fn count_reported_streams(&self, count: usize) {
        self.reported_streams.inc_by(count as u64);
    }

    /// Sets the replicas of the models with most requests. Models of earlier calls are dropped, which bounds the label values.
    pub fn set_replicas<'a, I>(&self, needs: I)
    where
        I: IntoIterator<Item = (&'a SmolStr, &'a plan::Need)>,
    {
        self.replicas.reset();
        for (model, need) in needs {
            for (count, replicas) in [("wanted", need.wanted), ("there", need.replicas)] {
                let replicas = i64::try_from(replicas).unwrap_or(i64::MAX);
                self.replicas
                    .with_label_values(&[model.as_str(), count])
                    .set(replicas);
            }
        }
    }

    /// Sets the number of quarantined parts of prompts.
    pub fn set_quarantined_parts(&self, count: usize) {
        self.quarantined_parts.set(count as i64);
    }

    /// Counts streams that were written to the store.
    pub fn count_stored_streams(&self, count: usize) {
        self.stored_streams.inc_by(count as u64);
    }

    /// Sets the number of remembered streams.
    pub fn set_remembered_streams(&self, count: usize) {
        self.remembered_streams.set(count as i64);
    }

    /// Counts the result of opening a tunnel.
    pub fn count_tunnel(&self, result: &str) {
        self.tunnels.with_label_values(&[result]).inc();
    }

    /// Counts a connection to a backend server for another instance, by its result.
    pub fn count_served_tunnel(&self, result: &str) {
        self.served_tunnels.with_label_values(&[result]).inc();
    }

    /// Sets the number of requests that wait in order, by priority.
    pub fn set_waiting<I>(&self, counts: I)
    where
        I: IntoIterator<Item = (u8, usize)>,
    {
        self.waiting.reset();
        for (priority, count) in counts {
            let priority = priority.min(MAX_PRIORITY_LABEL).to_string();
            self.waiting
                .with_label_values(&[priority.as_str()])
                .add(i64::try_from(count).unwrap_or(i64::MAX));
        }
    }

    /// Records how long a request waited for a server.
    pub fn record_wait(&self, priority: u8, outcome: &str, waited: Duration) {
        let priority = priority.min(MAX_PRIORITY_LABEL).to_string();
        self.waits
            .with_label_values(&[priority.as_str(), outcome])
            .observe(waited.as_secs_f64());
    }

    /// Records how long a request that was sent had been expected to wait.
    pub fn record_wait_error(&self, expected: Duration, waited: Duration) {
        let side = if waited > expected {
            "longer"
        } else {
            "shorter"
        };
        self.wait_errors
            .with_label_values(&[side])
            .observe(waited.abs_diff(expected).as_secs_f64());
    }

    /// Counts the prompt tokens that a server was assumed to keep when it had its first event.
    pub fn count_kept_tokens(&self, finding: &str, tokens: u32) {
        self.prefix_tokens
            .with_label_values(&[finding])
            .inc_by(tokens.into());
    }

    /// Counts a server that was chosen for a prompt whose start may be kept somewhere.
    pub fn count_prefix_choice(&self, reason: &str) {
        self.prefix_choices.with_label_values(&[reason]).inc();
    }

    /// Sets whether this instance has a link to the steward, or is the steward.
    pub fn set_linked(&self, linked: bool) {
        self.linked.set(linked.into());
    }

    /// Counts servers that are kept though their entries are missing.
    pub fn count_kept_servers(&self, servers: usize) {
        self.kept_servers.inc_by(servers as u64);
    }

    /// Counts that this instance becomes the active steward.
    pub fn count_stewardship(&self) {
        self.stewardships.inc();
    }

    /// Sets whether this instance is the active steward, which sends orders to engines.
    pub fn set_steward(&self, active: bool) {
        self.steward.set(active.into());
    }

    /// Encodes the metrics in Prometheus' text format.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric can't be encoded.
    pub fn encode(&self) -> anyhow::Result<String> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(String::from_utf8(text)?)
    }
}
