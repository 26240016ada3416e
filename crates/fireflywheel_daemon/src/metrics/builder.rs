//! Registration of metrics, and the names and help texts of the daemon's metrics.

use prometheus::{
    CounterVec, Gauge, GaugeVec, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, exponential_buckets,
};

use super::Metrics;

/// Ratio between consecutive bucket bounds of the wait histograms. The bounds range from 1 ms to about 12
/// minutes.
const BUCKET_FACTOR: f64 = 1.8;
const BUCKET_COUNT: usize = 24;
const FIRST_BUCKET_S: f64 = 0.001;

/// Creates metrics and registers each of them.
#[derive(Debug, Default)]
pub(crate) struct Builder {
    pub(crate) registry: Registry,
}

impl Builder {
    /// Registers a histogram of durations in seconds, labelled by tenant and class.
    fn wait_histogram(&self, name: &str, help: &str) -> prometheus::Result<HistogramVec> {
        let buckets = exponential_buckets(FIRST_BUCKET_S, BUCKET_FACTOR, BUCKET_COUNT)?;
        self.histogram(name, help, buckets, &["tenant", "class"])
    }

    pub(crate) fn histogram(
        &self,
        name: &str,
        help: &str,
        buckets: Vec<f64>,
        labels: &[&str],
    ) -> prometheus::Result<HistogramVec> {
        let options = HistogramOpts::new(name, help).buckets(buckets);
        let metric = HistogramVec::new(options, labels)?;
        self.registry.register(Box::new(metric.clone()))?;
        Ok(metric)
    }

    pub(crate) fn counter(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> prometheus::Result<IntCounterVec> {
        let metric = IntCounterVec::new(Opts::new(name, help), labels)?;
        self.registry.register(Box::new(metric.clone()))?;
        Ok(metric)
    }

    /// Registers a counter without labels.
    pub(crate) fn plain_counter(&self, name: &str, help: &str) -> prometheus::Result<IntCounter> {
        let metric = IntCounter::new(name, help)?;
        self.registry.register(Box::new(metric.clone()))?;
        Ok(metric)
    }

    /// Registers a counter of fractional amounts.
    pub(crate) fn float_counter(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> prometheus::Result<CounterVec> {
        let metric = CounterVec::new(Opts::new(name, help), labels)?;
        self.registry.register(Box::new(metric.clone()))?;
        Ok(metric)
    }

    pub(crate) fn gauge(&self, name: &str, help: &str) -> prometheus::Result<IntGauge> {
        let metric = IntGauge::new(name, help)?;
        self.registry.register(Box::new(metric.clone()))?;
        Ok(metric)
    }

    pub(crate) fn float_gauge(&self, name: &str, help: &str) -> prometheus::Result<Gauge> {
        let metric = Gauge::new(name, help)?;
        self.registry.register(Box::new(metric.clone()))?;
        Ok(metric)
    }

    /// Registers a gauge of fractional amounts.
    pub(crate) fn float_gauge_vec(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> prometheus::Result<GaugeVec> {
        let metric = GaugeVec::new(Opts::new(name, help), labels)?;
        self.registry.register(Box::new(metric.clone()))?;
        Ok(metric)
    }

    pub(crate) fn gauge_vec(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> prometheus::Result<IntGaugeVec> {
        let metric = IntGaugeVec::new(Opts::new(name, help), labels)?;
        self.registry.register(Box::new(metric.clone()))?;
        Ok(metric)
    }

    pub(super) fn build(self) -> prometheus::Result<Metrics> {
        Ok(Metrics {
            queue_wait: self.wait_histogram(
                "fireflywheel_queue_wait_seconds",
                "From the arrival of a request until its first attempt",
            )?,
            cold_start_wait: self.wait_histogram(
                "fireflywheel_cold_start_wait_seconds",
                "The same for requests that arrived while what they need was loaded nowhere",
            )?,
            first_token: self.wait_histogram(
                "fireflywheel_first_token_seconds",
                "From the arrival of a request until the first event of its stream",
            )?,
            full_answer: self.wait_histogram(
                "fireflywheel_whole_answer_seconds",
                "From the arrival of a request until its whole answer",
            )?,
            outcomes: self.counter(
                "fireflywheel_outcomes_total",
                "Final answers; code is ok for whole ones",
                &["code", "verdict", "class"],
            )?,
            attempts: self.counter(
                "fireflywheel_attempts_total",
                "Attempts at backend servers; cause is ok for whole answers",
                &["cause", "model"],
            )?,
            orders: self.counter(
                "fireflywheel_orders_total",
                "Orders to model engines",
                &["answer"],
            )?,
            appends: self.counter(
                "fireflywheel_appends_total",
                "Appends to the log",
                &["answer"],
            )?,
            frames: self.counter(
                "fireflywheel_frames_total",
                "Frames over links to peers",
                &["direction"],
            )?,
            frame_bytes: self.counter(
                "fireflywheel_frame_bytes_total",
                "Bytes of frames over links to peers",
                &["direction"],
            )?,
            link_failures: self.counter(
                "fireflywheel_link_failures_total",
                "Links that failed, and frames dropped for a full queue",
                &["cause"],
            )?,
            version: self.gauge(
                "fireflywheel_configuration_version",
                "The version of the configuration in force here, 0 for none",
            )?,
            ledger_next: self.gauge(
                "fireflywheel_ledger_next",
                "The first offset of the log that was not folded here",
            )?,
            ready: self.gauge("fireflywheel_ready", "1 when callers may be sent here")?,
            in_flight: self.gauge("fireflywheel_in_flight", "Requests without a final answer")?,
            queued: self.gauge_vec(
                "fireflywheel_queued",
                "Requests that wait for a backend server",
                &["queue"],
            )?,
            streams: self.gauge("fireflywheel_streams", "Streams in progress")?,
            links: self.gauge("fireflywheel_links", "Open links to peers")?,
            registry: self.registry,
        })
    }
}
