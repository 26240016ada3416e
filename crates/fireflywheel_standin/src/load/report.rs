//! The report of a load, as text and as JSON.

use std::{collections, fmt};

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::time;

use super::{Judgement, Sample};

/// Significant digits of the histograms.
const DIGITS: u8 = 3;
const US_PER_MS: f64 = 1000.0;

/// Latencies in milliseconds.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Latency {
    /// Half of them were shorter.
    pub p50: f64,
    /// Nine in ten were shorter.
    pub p90: f64,
    /// Ninety-nine in a hundred were shorter.
    pub p99: f64,
    /// The longest.
    pub max: f64,
}

/// What became of the requests of one class.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Class {
    /// Requests sent.
    pub sent: u64,
    /// Served whole and in time.
    pub served: u64,
    /// Answered after the deadline.
    pub late: u64,
    /// Refused in time, by `VERDICT CODE`.
    pub refused: collections::BTreeMap<SmolStr, u64>,
    /// Wrong answers, by what was wrong.
    pub wrong: collections::BTreeMap<SmolStr, u64>,
    /// Answers that broke off visibly, by cause.
    pub broken: collections::BTreeMap<SmolStr, u64>,
    /// Without any answer, by cause.
    pub unanswered: collections::BTreeMap<SmolStr, u64>,
    /// Time to the first byte of those served.
    pub first_ms: Latency,
    /// Time to the whole answer of those served.
    pub whole_ms: Latency,
}

/// What became of the requests, by class; a request without a class stands under the empty name.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// All requests together.
    pub total: Class,
    /// By class.
    pub classes: collections::BTreeMap<SmolStr, Class>,
}

impl Report {
    /// Sums up the samples.
    ///
    /// # Errors
    /// When a histogram can't be made.
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
            class.count(&sample.judgement);
        }
        let served = || {
            samples
                .iter()
                .filter(|sample| sample.judgement == Judgement::Served)
        };
        class.first_ms = Latency::new(served().map(|sample| sample.first))?;
        class.whole_ms = Latency::new(served().map(|sample| sample.whole))?;
        Ok(class)
    }

    fn count(&mut self, judgement: &Judgement) {
        self.sent += 1;
        match judgement {
            Judgement::Served => self.served += 1,
            Judgement::Late => self.late += 1,
            Judgement::Wrong(what) => *self.wrong.entry(what.clone()).or_default() += 1,
            Judgement::Broken(cause) => *self.broken.entry(cause.clone()).or_default() += 1,
            Judgement::Refused { verdict, code } => {
                let name = smol_str::format_smolstr!("{verdict} {code}");
                *self.refused.entry(name).or_default() += 1;
            }
            Judgement::Unanswered(cause) => {
                *self.unanswered.entry(cause.clone()).or_default() += 1;
            }
        }
    }
}

impl Latency {
    /// Sums up times.
    ///
    /// # Errors
    /// When a histogram can't be made.
    pub fn new<I>(times: I) -> anyhow::Result<Self>
    where
        I: Iterator<Item = time::Duration>,
    {
        let mut histogram = Histogram::<u64>::new(DIGITS)?;
        for time in times {
            histogram.record(u64::try_from(time.as_micros())?)?;
        }
        let ms = |quantile| histogram.value_at_quantile(quantile) as f64 / US_PER_MS;
        Ok(Self {
            p50: ms(0.5),
            p90: ms(0.9),
            p99: ms(0.99),
            max: ms(1.0),
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
        let kinds = [
            ("refused", &self.refused),
            ("wrong", &self.wrong),
            ("broken", &self.broken),
            ("unanswered", &self.unanswered),
        ];
        for (kind, counts) in kinds {
            for (name, count) in counts {
                writeln!(f, "  {kind} {count}: {name}")?;
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
