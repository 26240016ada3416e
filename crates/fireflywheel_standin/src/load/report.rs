//! Reports the results of a load as text and as JSON.

use std::{collections, fmt};

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::time;

use super::{Outcome, Sample};

/// Significant digits of the histograms.
const HISTOGRAM_DIGITS: u8 = 3;
const US_PER_MS: f64 = 1000.0;

/// Percentiles of latencies, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Latency {
    /// Median.
    pub p50: f64,
    /// 90th percentile.
    pub p90: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Maximum.
    pub max: f64,
}

/// Outcomes of the requests of one class.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Class {
    /// Requests sent.
    pub sent: u64,
    /// Requests served completely and in time.
    pub served: u64,
    /// Requests answered after the deadline.
    pub late: u64,
    /// Requests refused in time, by `VERDICT CODE`.
    pub refused: collections::BTreeMap<SmolStr, u64>,
    /// Wrong answers, by the kind of error.
    pub wrong: collections::BTreeMap<SmolStr, u64>,
    /// Answers that were visibly truncated, by cause.
    pub broken: collections::BTreeMap<SmolStr, u64>,
    /// Requests without an answer, by cause.
    pub unanswered: collections::BTreeMap<SmolStr, u64>,
    /// Time to the first byte of the served requests.
    pub first_ms: Latency,
    /// Time to the complete answer of the served requests.
    pub whole_ms: Latency,
}

/// Outcomes of the requests by class. Requests without a class are under the empty name.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// Outcomes of all requests.
    pub total: Class,
    /// Outcomes by class.
    pub classes: collections::BTreeMap<SmolStr, Class>,
}

impl Report {
    /// Creates a report of the samples.
    ///
    /// # Errors
    /// When a histogram can't be created or a latency doesn't fit it.
    pub fn new(samples: &[Sample]) -> anyhow::Result<Self> {
        let mut by_class: collections::BTreeMap<SmolStr, Vec<&Sample>> =
            collections::BTreeMap::new();
        for sample in samples {
            by_class
                .entry(sample.class.clone())
                .or_default()
                .push(sample);
        }
        let mut classes = collections::BTreeMap::new();
        for (name, samples) in by_class {
            classes.insert(name, Class::new(&samples)?);
        }
        let all: Vec<&Sample> = samples.iter().collect();
        Ok(Self {
            total: Class::new(&all)?,
            classes,
        })
    }

    /// Whether every request was served or refused in time.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        let total = &self.total;
        total.late == 0
            && total.wrong.is_empty()
            && total.broken.is_empty()
            && total.unanswered.is_empty()
    }
}

impl Class {
    fn new(samples: &[&Sample]) -> anyhow::Result<Self> {
        let mut class = Self::default();
        for sample in samples {
            class.record(&sample.outcome);
        }
        let served = || {
            samples
                .iter()
                .filter(|sample| sample.outcome == Outcome::Served)
        };
        class.first_ms = Latency::new(served().map(|sample| sample.first))?;
        class.whole_ms = Latency::new(served().map(|sample| sample.whole))?;
        Ok(class)
    }

    fn record(&mut self, outcome: &Outcome) {
        self.sent += 1;
        match outcome {
            Outcome::Served => self.served += 1,
            Outcome::Late => self.late += 1,
            Outcome::Wrong(what) => *self.wrong.entry(what.clone()).or_default() += 1,
            Outcome::Broken(cause) => *self.broken.entry(cause.clone()).or_default() += 1,
            Outcome::Refused { verdict, code } => {
                let name = smol_str::format_smolstr!("{verdict} {code}");
                *self.refused.entry(name).or_default() += 1;
            }
            Outcome::Unanswered(cause) => {
                *self.unanswered.entry(cause.clone()).or_default() += 1;
            }
        }
    }
}

impl Latency {
    /// Calculates the percentiles of the times.
    ///
    /// # Errors
    /// When the histogram can't be created or a time doesn't fit it.
    pub fn new<I>(times: I) -> anyhow::Result<Self>
    where
        I: Iterator<Item = time::Duration>,
    {
        let mut histogram = Histogram::<u64>::new(HISTOGRAM_DIGITS)?;
        for time in times {
            histogram.record(u64::try_from(time.as_micros())?)?;
        }
        let percentile_ms = |quantile| histogram.value_at_quantile(quantile) as f64 / US_PER_MS;
        Ok(Self {
            p50: percentile_ms(0.5),
            p90: percentile_ms(0.9),
            p99: percentile_ms(0.99),
            max: percentile_ms(1.0),
        })
    }
}

impl fmt::Display for Latency {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "p50 {:.1} ms, p90 {:.1} ms, p99 {:.1} ms, max {:.1} ms",
            self.p50, self.p90, self.p99, self.max
        )
    }
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "  sent {}, served {}, late {}",
            self.sent, self.served, self.late
        )?;
        let groups = [
            ("refused", &self.refused),
            ("wrong", &self.wrong),
            ("broken", &self.broken),
            ("unanswered", &self.unanswered),
        ];
        for (group, counts) in groups {
            for (name, count) in counts {
                writeln!(f, "  {group} {count}: {name}")?;
            }
        }
        writeln!(f, "  first byte: {}", self.first_ms)?;
        writeln!(f, "  whole answer: {}", self.whole_ms)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "all\n{}", self.total)?;
        for (name, class) in &self.classes {
            let name = if name.is_empty() { "(none)" } else { name };
            write!(f, "class {name}\n{class}")?;
        }
        Ok(())
    }
}
