//! How the demand for each model develops: its arrival rate over the last second or two, and how long its requests run.
//!
//! Arrival rates with a half-life of ten seconds show that a model has become popular only when its replicas have been
//! full for seconds. The rates here follow within a second or two.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;

use super::EngineState;
use crate::clock;
use crate::fleet::{config, demand, rate};

/// The half-life of the rates that show a trend: a replica takes about a second to load, so a rise has to be seen within
/// that time.
const FAST_HALF_LIFE: Duration = Duration::from_millis(1500);
/// The half-life of what is known of request times.
const RUN_HALF_LIFE: Duration = Duration::from_secs(5);
/// The longest time between two samples that counts. After a longer pause the steward doesn't know what ran meanwhile.
const MAX_SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
/// The number of finished requests of the whole group that a model's own request time is averaged with.
const PRIOR_REQUESTS: f64 = 30.0;
/// The number of finished requests of a group from which its request time is known.
const MIN_FINISHED_REQUESTS: f64 = 20.0;

/// The demand for one model.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    /// The arrival rate over the last second or two, in requests per second.
    pub fast_rate: f64,
    /// How long a request occupies a slot; `None` until enough have finished.
    pub request_time: Option<Duration>,
}

/// The rates of all groups.
#[derive(Clone, Debug, Default)]
pub struct Book {
    groups: BTreeMap<SmolStr, Group>,
}

#[derive(Clone, Debug, Default)]
struct Group {
    models: BTreeMap<SmolStr, Model>,
    /// The runs of all models.
    runs: Runs,
    sampled_at: Option<clock::Instant>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Model {
    arrivals: rate::Rate,
    runs: Runs,
}

/// Occupied slots and finished requests.
#[derive(Clone, Copy, Debug, Default)]
struct Runs {
    /// The time that slots were occupied, in seconds.
    occupied: rate::Rate,
    finished: rate::Rate,
}

impl Runs {
    /// Returns the occupied time in seconds and the number of finished requests, over the last half-lives.
    fn totals(&self, now: clock::Instant) -> (f64, f64) {
        let span = RUN_HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2;
        let total = |rate: &rate::Rate| rate.per_second(now, RUN_HALF_LIFE) * span;
        (total(&self.occupied), total(&self.finished))
    }
}

impl Book {
    /// Records what an instance reports.
    pub fn record(&mut self, now: clock::Instant, demand: &demand::Demand) {
        for counted in &demand.arrived {
            let model = self.model(counted);
            model
                .arrivals
                .add(now, FAST_HALF_LIFE, counted.count.into());
        }
        for counted in &demand.finished {
            let count = f64::from(counted.count);
            let model = self.model(counted);
            model.runs.finished.add(now, RUN_HALF_LIFE, count);
            if let Some(group) = self.groups.get_mut(&counted.group) {
                group.runs.finished.add(now, RUN_HALF_LIFE, count);
            }
        }
    }

    /// Adds the slots that requests occupy now, and drops models that the configuration no longer has.
    pub fn sample(
        &mut self,
        now: clock::Instant,
        name: &SmolStr,
        config: &config::Engine,
        engines: &[EngineState],
    ) {
        let group = self.groups.entry(name.clone()).or_default();
        group
            .models
            .retain(|model, _| config.models.contains_key(model));
        let since = group.sampled_at.replace(now).unwrap_or(now);
        let interval = now.since(since).min(MAX_SAMPLE_INTERVAL).as_secs_f64();
        for engine in engines {
            let requests: u32 = engine.running.values().sum();
            if requests == 0 {
                continue;
            }
            // Requests beyond the slots wait at the engine.
            let share = (f64::from(config.slots) / f64::from(requests)).min(1.0);
            for ((model, _), count) in &engine.running {
                if !config.models.contains_key(model) {
                    continue;
                }
                let occupied = f64::from(*count) * share * interval;
                let runs = &mut group.models.entry(model.clone()).or_default().runs;
                runs.occupied.add(now, RUN_HALF_LIFE, occupied);
                group.runs.occupied.add(now, RUN_HALF_LIFE, occupied);
            }
        }
    }

    /// Returns the demand for the models of a group that were requested since the configuration has them.
    #[must_use]
    pub fn estimates(&self, now: clock::Instant, name: &str) -> BTreeMap<SmolStr, Estimate> {
        let Some(group) = self.groups.get(name) else {
            return BTreeMap::new();
        };
        let (occupied, finished) = group.runs.totals(now);
        let usual_time = (finished >= MIN_FINISHED_REQUESTS).then(|| occupied / finished);
        let estimate = |model: &Model| {
            let (occupied, finished) = model.runs.totals(now);
            let request_time = usual_time
                .map(|usual| (occupied + PRIOR_REQUESTS * usual) / (finished + PRIOR_REQUESTS));
            Estimate {
                fast_rate: model.arrivals.per_second(now, FAST_HALF_LIFE),
                request_time: request_time
                    .and_then(|seconds| Duration::try_from_secs_f64(seconds).ok()),
            }
        };
        let models = group.models.iter();
        models
            .map(|(name, model)| (name.clone(), estimate(model)))
            .collect()
    }

    fn model(&mut self, counted: &demand::Count) -> &mut Model {
        let group = self.groups.entry(counted.group.clone()).or_default();
        group.models.entry(counted.model.clone()).or_default()
    }
}
