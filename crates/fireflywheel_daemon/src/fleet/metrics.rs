//! Counters and histograms of one instance.

use std::time::Duration;

use anyhow::Context as _;
use prometheus::{
    Encoder as _, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};

/// Upper bounds in seconds: from a plain service's answer to the longest wait for a cold model.
const SECONDS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.25, 0.6, 1.0, 2.5, 5.0, 10.0, 20.0, 60.0,
];

/// Everything that an instance measures.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    answered: HistogramVec,
    refused: IntCounterVec,
    failed: IntCounterVec,
    orders: IntCounterVec,
    store_calls: IntCounterVec,
    version: IntGauge,
    steward: IntGauge,
}

impl Metrics {
    /// Metrics in a registry of their own.
    ///
    /// # Errors
    ///
    /// Only if two had the same name.
    pub fn new() -> anyhow::Result<Self> {
        let registry = Registry::new();
        let answered = HistogramVec::new(
            HistogramOpts::new(
                "fleet_answer_seconds",
                "From a request to the head of its response, by route and status",
            )
            .buckets(SECONDS.to_vec()),
            &["route", "status"],
        )?;
        let refused = counters(
            "fleet_refused_total",
            "Own answers, by reason and status",
            &["code", "status"],
        )?;
        let failed = counters(
            "fleet_attempt_failures_total",
            "Attempts without a whole response",
            &["route", "why"],
        )?;
        let orders = counters(
            "fleet_orders_total",
            "Orders to engines, by kind and result",
            &["kind", "result"],
        )?;
        let store_calls = counters(
            "fleet_store_calls_total",
            "Calls to the platform's store",
            &["call", "result"],
        )?;
        let version = IntGauge::new("fleet_config_version", "The configuration in force")?;
        let steward = IntGauge::new("fleet_steward", "1 while this instance orders engines")?;
        let context = "two metrics have one name";
        registry
            .register(Box::new(answered.clone()))
            .context(context)?;
        registry
            .register(Box::new(refused.clone()))
            .context(context)?;
        registry
            .register(Box::new(failed.clone()))
            .context(context)?;
        registry
            .register(Box::new(orders.clone()))
            .context(context)?;
        registry
            .register(Box::new(store_calls.clone()))
            .context(context)?;
        registry
            .register(Box::new(version.clone()))
            .context(context)?;
        registry
            .register(Box::new(steward.clone()))
            .context(context)?;
        Ok(Self {
            registry,
            answered,
            refused,
            failed,
            orders,
            store_calls,
            version,
            steward,
        })
    }

    /// A response of a backend server is handed on.
    pub fn answered(&self, route: &str, status: u16, took: Duration) {
        let status = status.to_string();
        let labels = [route, status.as_str()];
        self.answered
            .with_label_values(&labels)
            .observe(took.as_secs_f64());
    }

    /// A request got an answer of this instance's own.
    pub fn refused(&self, code: &str, status: u16) {
        let status = status.to_string();
        self.refused
            .with_label_values(&[code, status.as_str()])
            .inc();
    }

    /// An attempt had no whole response.
    pub fn attempt_failed(&self, route: &str, why: &str) {
        self.failed.with_label_values(&[route, why]).inc();
    }

    /// An order was answered, or not.
    pub fn ordered(&self, kind: &str, result: &str) {
        self.orders.with_label_values(&[kind, result]).inc();
    }

    /// The platform's store was called.
    pub fn store_called(&self, call: &str, good: bool) {
        let result = if good { "ok" } else { "fault" };
        self.store_calls.with_label_values(&[call, result]).inc();
    }

    /// A configuration is in force.
    pub fn set_version(&self, version: u64) {
        self.version.set(i64::try_from(version).unwrap_or(i64::MAX));
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

fn counters(name: &str, help: &str, labels: &[&str]) -> anyhow::Result<IntCounterVec> {
    Ok(IntCounterVec::new(Opts::new(name, help), labels)?)
}
