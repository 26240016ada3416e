//! Counters and histograms of one instance.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use fireflywheel::fleet::era::Era;
use fireflywheel::fleet::limit;
use prometheus::{
    CounterVec, Encoder as _, Gauge, HistogramVec, IntCounterVec, IntGauge, Registry, TextEncoder,
};
use smol_str::SmolStr;

use crate::metrics::builder;

/// Upper bounds in seconds: from a plain service's answer to the longest wait for a cold model.
const SECONDS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.25, 0.6, 1.0, 2.5, 5.0, 10.0, 20.0, 60.0,
];

/// Organisations with a label of their own: with thousands of them, each scrape would be megabytes.
const ORGANISATIONS: usize = 64;
/// The label of all others.
const OTHER: &str = "other";

/// Everything that an instance measures.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    answered: HistogramVec,
    refused: IntCounterVec,
    failed: IntCounterVec,
    orders: IntCounterVec,
    store_calls: IntCounterVec,
    charged: CounterVec,
    labels: Arc<Mutex<BTreeSet<SmolStr>>>,
    version: IntGauge,
    config_age: Gauge,
    era: IntGauge,
    limited: IntGauge,
    permits: IntCounterVec,
    steward: IntGauge,
}

impl Metrics {
    /// Metrics in a registry of their own.
    ///
    /// # Errors
    ///
    /// Only if two had the same name.
    pub fn new() -> anyhow::Result<Self> {
        let builder = builder::Builder::default();
        Ok(Self {
            answered: builder.histogram(
                "fleet_answer_seconds",
                "From a request to the head of its response, by route and status",
                SECONDS.to_vec(),
                &["route", "status"],
            )?,
            refused: builder.counter(
                "fleet_refused_total",
                "Own answers, by reason and status",
                &["code", "status"],
            )?,
            failed: builder.counter(
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
            charged: builder.amount(
                "fleet_quota_total",
                "What requests count against quotas, by organisation and outcome",
                &["organisation", "outcome"],
            )?,
            labels: Arc::default(),
            version: builder.gauge("fleet_config_version", "The configuration in force")?,
            config_age: builder.real_gauge(
                "fleet_config_age_seconds",
                "Since the store was last read for the configuration in force, by this instance or the steward",
            )?,
            era: builder.gauge(
                "fleet_store_era",
                "How often the platform's store has come back from an older copy, as it says",
            )?,
            limited: builder.gauge(
                "fleet_limited_servers",
                "Backend servers that name how many requests a second they take",
            )?,
            permits: builder.counter(
                "fleet_permits_total",
                "Decisions of the steward on requests to servers that name a limit",
                &["outcome"],
            )?,
            steward: builder.gauge("fleet_steward", "1 while this instance orders engines")?,
            registry: builder.registry,
        })
    }

    /// A response of a backend server is handed on.
    pub fn count_answer(&self, route: &str, status: u16, took: Duration) {
        let status = status.to_string();
        let labels = [route, status.as_str()];
        self.answered
            .with_label_values(&labels)
            .observe(took.as_secs_f64());
    }

    /// A request got an answer of this instance's own.
    pub fn count_refusal(&self, code: &str, status: u16) {
        let status = status.to_string();
        self.refused
            .with_label_values(&[code, status.as_str()])
            .inc();
    }

    /// An attempt had no whole response.
    pub fn count_failed_attempt(&self, route: &str, why: &str) {
        self.failed.with_label_values(&[route, why]).inc();
    }

    /// An order was answered, or not.
    pub fn count_order(&self, kind: &str, result: &str) {
        self.orders.with_label_values(&[kind, result]).inc();
    }

    /// The platform's store was called.
    pub fn count_store_call(&self, call: &str, good: bool) {
        let result = if good { "ok" } else { "fault" };
        self.store_calls.with_label_values(&[call, result]).inc();
    }

    /// A request was counted against its organisation's quota, or refused by it.
    pub fn count_charge(&self, organisation: &str, admitted: bool, cost: f64) {
        let mut labels = self.labels.lock().expect("no panic while it was held");
        let known = labels.contains(organisation);
        if !known && labels.len() < ORGANISATIONS {
            labels.insert(organisation.into());
        }
        let label = if known || labels.contains(organisation) {
            organisation
        } else {
            OTHER
        };
        let outcome = if admitted { "admitted" } else { "refused" };
        self.charged
            .with_label_values(&[label, outcome])
            .inc_by(cost);
    }

    /// A configuration is in force.
    pub fn set_version(&self, version: u64) {
        self.version.set(i64::try_from(version).unwrap_or(i64::MAX));
    }

    /// How long ago the store was read for the configuration in force; none if it never was.
    pub fn set_config_age(&self, age: Option<Duration>) {
        let seconds = age.map_or(f64::INFINITY, |age| age.as_secs_f64());
        self.config_age.set(seconds);
    }

    /// The platform's store is in this era.
    pub fn set_era(&self, era: Era) {
        self.era.set(i64::try_from(era.0).unwrap_or(i64::MAX));
    }

    /// So many backend servers name a limit.
    pub fn set_limited_servers(&self, servers: usize) {
        self.limited.set(i64::try_from(servers).unwrap_or(i64::MAX));
    }

    /// The steward has decided on a request to a server that names a limit.
    pub fn count_permit(&self, outcome: limit::Outcome) {
        let outcome = match outcome {
            limit::Outcome::Granted => "granted",
            limit::Outcome::Queued(_) => "queued",
            limit::Outcome::Refused(_) => "refused",
        };
        self.permits.with_label_values(&[outcome]).inc();
    }

    /// Whether this instance orders engines.
    pub fn set_steward(&self, acts: bool) {
        self.steward.set(acts.into());
    }

    /// The text form for scrapers.
    ///
    /// # Errors
    ///
    /// When a value has no text form.
    pub fn text(&self) -> anyhow::Result<String> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(String::from_utf8(text)?)
    }
}
