//! Replays a load pattern without faults. The load is the same for each build, so that builds can be compared.
//!
//! ```text
//! fireflywheel_standin replay --pattern shift --program target/release/fireflywheel_platform --program OTHER
//! ```

use std::collections::BTreeMap;
use std::fmt;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};
use smol_str::format_smolstr;
use tokio::task::JoinSet;
use tokio::time;

use super::book::Book;
use super::caller::{Call, Caller, Kind, Outcome, Seen};
use super::deployment::{self, Deployment, Usage};
use super::script::Faults;
use crate::load::Latency;

/// Part of the requests that are for plain services.
const PLAIN_RATIO: f64 = 0.25;
/// Popularity of each model relative to the previous one. With 12 models, the rarest gets about one request in 400.
const POPULARITY_RATIO: f64 = 0.6;
/// Request rate of a burst relative to the usual rate.
const BURST_RATE_RATIO: f64 = 4.0;
/// Length of a burst relative to the length of the replay.
const BURST_TIME_RATIO: f64 = 0.2;
/// Simultaneous requests to each model in [`Pattern::Rare`].
const RARE_REQUESTS_PER_MODEL: usize = 3;
/// An answer is on time if its first byte arrives within this time.
const FIRST_BYTE_TARGET: Duration = Duration::from_secs(1);
/// Deadline of the requests.
const DEADLINE: Duration = Duration::from_secs(8);

/// A load pattern.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Pattern {
    /// A constant rate; a few models get most of the requests.
    Steady,
    /// A far higher rate for a while, from the middle on.
    Burst,
    /// From the middle on, other models get most of the requests.
    Shift,
    /// In the middle, all models are requested at the same time.
    Rare,
}

impl Pattern {
    /// All patterns with their names.
    pub const NAMES: [(&str, Self); 4] = [
        ("steady", Self::Steady),
        ("burst", Self::Burst),
        ("shift", Self::Shift),
        ("rare", Self::Rare),
    ];
}

/// Options of a replay.
#[derive(Clone, Debug)]
pub struct Options {
    /// Program of the instances.
    pub program: PathBuf,
    /// Load pattern.
    pub pattern: Pattern,
    /// Seed of the requests.
    pub seed: u64,
    /// Time over which the requests arrive.
    pub time: Duration,
    /// Requests per second, outside bursts.
    pub rate: f64,
    /// Number of instances.
    pub instances: usize,
    /// Number of engines. Two workers are plain services in addition.
    pub engines: usize,
    /// Number of models. Each engine has memory for two.
    pub models: usize,
    /// Log level of the instances.
    pub log_level: &'static str,
}

/// A scheduled request.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Time from the start of the replay.
    pub at: Duration,
    /// Index of the instance.
    pub instance: usize,
    /// Kind of the request.
    pub kind: Kind,
    /// Index of the model, used for streams only.
    pub model: usize,
}

/// Returns the requests of a replay, in order of time.
#[must_use]
pub fn arrivals(options: &Options) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(options.seed);
    let middle = options.time / 2;
    let mut arrivals = Vec::new();
    let mut at = Duration::ZERO;
    while at < options.time {
        let in_burst_time = at >= middle && at < middle + options.time.mul_f64(BURST_TIME_RATIO);
        let is_burst = options.pattern == Pattern::Burst && in_burst_time;
        let rate = options.rate * if is_burst { BURST_RATE_RATIO } else { 1.0 };
        // Independent arrivals have exponentially distributed intervals.
        at += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / rate);
        let shifted = options.pattern == Pattern::Shift && at >= middle;
        let rank = draw_popularity_rank(&mut rng, options.models);
        let is_plain = rng.random_bool(PLAIN_RATIO);
        arrivals.push(Arrival {
            at,
            instance: rng.random_range(0..options.instances),
            kind: match (is_plain, rng.random()) {
                (true, true) => Kind::Booking,
                (true, false) => Kind::LookUp,
                (false, _) => Kind::Stream,
            },
            model: if shifted {
                options.models - 1 - rank
            } else {
                rank
            },
        });
    }
    if options.pattern == Pattern::Rare {
        let simultaneous = (0..options.models * RARE_REQUESTS_PER_MODEL).map(|number| Arrival {
            at: middle,
            instance: number % options.instances,
            kind: Kind::Stream,
            model: number % options.models,
        });
        arrivals.extend(simultaneous);
        arrivals.sort_by_key(|arrival| arrival.at);
    }
    arrivals
}

/// Draws the popularity rank of a model; rank 0 is the most popular one.
fn draw_popularity_rank(rng: &mut StdRng, models: usize) -> usize {
    let mut rank = 0;
    while rank + 1 < models && rng.random_bool(POPULARITY_RATIO) {
        rank += 1;
    }
    rank
}

/// Outcomes of the requests of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct Class {
    /// Requests sent.
    pub sent: usize,
    /// Requests served with the first byte on time.
    pub on_time: usize,
    /// Requests served with a later first byte.
    pub late: usize,
    /// Requests refused as not run.
    pub refused: usize,
    /// All other requests.
    pub failed: usize,
    /// Time to the first byte of the served requests.
    pub first: Latency,
}

/// The result of a replay.
#[derive(Clone, Debug)]
pub struct Report {
    /// Outcomes by kind of request.
    pub classes: BTreeMap<Kind, Class>,
    /// Loads from the weight store.
    pub fetches: usize,
    /// Load and unload orders that engines accepted.
    pub orders: usize,
    /// Resource usage of all instances together.
    pub usage: Usage,
    /// Violations of rules, a line each.
    pub broken: Vec<String>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "kind           sent  on time   late  refused  failed  first byte ms: p50     p90     p99"
        )?;
        for (kind, class) in &self.classes {
            writeln!(
                f,
                "{:<13}{:>6}{:>9}{:>7}{:>9}{:>8}{:>20.1}{:>8.1}{:>8.1}",
                format!("{kind:?}"),
                class.sent,
                class.on_time,
                class.late,
                class.refused,
                class.failed,
                class.first.p50,
                class.first.p90,
                class.first.p99
            )?;
        }
        let requests: usize = self.classes.values().map(|class| class.sent).sum();
        let per_request = |total: f64| total / requests.max(1) as f64;
        writeln!(
            f,
            "{} loads from the weight store, {} orders; for each request {:.2} ms of a processor, {:.1} log lines, \
             {:.0} bytes of log",
            self.fetches,
            self.orders,
            per_request(self.usage.cpu_time.as_secs_f64() * 1000.0),
            per_request(self.usage.log_lines as f64),
            per_request(self.usage.log_bytes as f64),
        )?;
        for broken in &self.broken {
            writeln!(f, "broken: {broken}")?;
        }
        Ok(())
    }
}

/// Starts a deployment and sends the load to it.
///
/// # Errors
/// When a process can't be started or ended.
pub async fn run(options: &Options) -> anyhow::Result<Report> {
    let book = Arc::new(Mutex::new(Book::new(Faults::Planned)));
    let deployment_options = deployment::Options {
        program: options.program.clone(),
        instances: options.instances,
        engines: options.engines,
        services: 2,
        models: options.models,
        engine_args: ENGINE_ARGS.map(str::to_owned).into(),
        versions: Vec::new(),
        log_level: options.log_level,
        logs: None,
    };
    let deployment = Deployment::start(deployment_options, Arc::clone(&book)).await?;
    deployment.wait_ready().await?;
    let before = deployment.usage()?;
    let callers = deployment.caller_addresses();
    let start = time::Instant::now();
    let mut tasks = JoinSet::new();
    for (number, arrival) in arrivals(options).into_iter().enumerate() {
        time::sleep_until(start + arrival.at).await;
        let call = Call {
            id: format_smolstr!("r{number}"),
            kind: arrival.kind,
            model: arrival
                .kind
                .is_stream()
                .then(|| format_smolstr!("m{}", arrival.model + 1)),
            prompt: None,
            size: 100,
            deadline: DEADLINE,
            origin: None,
            leaves_after: None,
        };
        let mut caller = Caller::new(arrival.instance, callers[arrival.instance]);
        tasks.spawn(async move { caller.send(call).await });
    }
    let mut requests = Vec::new();
    while let Some(ended) = tasks.join_next().await {
        requests.push(ended?);
    }
    let usage = deployment.usage()?.since(before);
    deployment.stop().await?;
    let mut book = book.lock().expect("no panic under the lock");
    for request in &requests {
        book.record_request(request.clone());
    }
    let kinds = [Kind::Stream, Kind::Booking, Kind::LookUp];
    let classes = kinds.map(|kind| summarise(&requests, kind).map(|class| (kind, class)));
    Ok(Report {
        classes: classes.into_iter().collect::<anyhow::Result<_>>()?,
        fetches: book.fetch_count(),
        orders: book.accepted_order_count(),
        usage,
        broken: book.violations(),
    })
}

/// Arguments of the engines: a load takes 1 s from the weight store and 250 ms from the disk, and a stream takes 130 ms.
const ENGINE_ARGS: [&str; 8] = [
    "--load-ms",
    "1000",
    "--disk-load-ms",
    "250",
    "--run-ms",
    "30",
    "--step-ms",
    "20",
];

fn summarise(requests: &[Seen], kind: Kind) -> anyhow::Result<Class> {
    let mut class = Class::default();
    let mut first_times = Vec::new();
    for request in requests.iter().filter(|request| request.call.kind == kind) {
        class.sent += 1;
        match &request.outcome {
            Outcome::Answer(answer) if answer.status.is_success() => {
                first_times.push(request.first);
                let on_time = request.first <= FIRST_BYTE_TARGET;
                class.on_time += usize::from(on_time);
                class.late += usize::from(!on_time);
            }
            Outcome::Answer(answer) if answer.claims_not_run() => class.refused += 1,
            _ => class.failed += 1,
        }
    }
    class.first = Latency::new(first_times.into_iter())?;
    Ok(class)
}
