//! A load pattern without faults, the same for each build that is to be compared.
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
use super::deployment::{Deployment, Options as Size, Usage};
use super::script::Faults;
use crate::load::Latency;

/// One request in so many is for a plain service.
const PLAIN: f64 = 0.25;
/// How much rarer each model is than the one before: with 12 models the rarest gets one request in 400.
const RARER: f64 = 0.6;
/// A burst has so many times the usual rate, and lasts this part of the whole.
const BURST: (f64, f64) = (4.0, 0.2);
/// Times asked for each model when rare ones are asked for at once.
const RARE_ASKED: usize = 3;
/// Within this a first byte is on time, and for so long callers wait.
const AIM: Duration = Duration::from_secs(1);
const DEADLINE: Duration = Duration::from_secs(8);

/// What load comes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Pattern {
    /// The same all the time; a few models get most of it.
    Steady,
    /// Far more for a while, in the middle.
    Burst,
    /// From the middle on other models get most of it.
    Shift,
    /// In the middle every model is asked for at once.
    Rare,
}

impl Pattern {
    /// Each with its name.
    pub const NAMES: [(&str, Self); 4] = [
        ("steady", Self::Steady),
        ("burst", Self::Burst),
        ("shift", Self::Shift),
        ("rare", Self::Rare),
    ];
}

/// What is replayed.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program of the instances.
    pub program: PathBuf,
    /// The load.
    pub pattern: Pattern,
    /// Fixes the requests.
    pub seed: u64,
    /// For how long they come.
    pub time: Duration,
    /// Requests in a second, but for bursts.
    pub rate: f64,
    /// Instances.
    pub instances: usize,
    /// Engines; there are two plain services besides.
    pub engines: usize,
    /// Models. Each engine has memory for two.
    pub models: usize,
    /// What instances write to their logs.
    pub log_level: &'static str,
}

/// A request that is to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When, from the start.
    pub at: Duration,
    /// To which instance.
    pub instance: usize,
    /// What for.
    pub kind: Kind,
    /// The model, counted from 0, for streams.
    pub model: usize,
}

/// The requests of a replay, in order.
#[must_use]
pub fn arrivals(options: &Options) -> Vec<Arrival> {
    let mut draw = StdRng::seed_from_u64(options.seed);
    let middle = options.time / 2;
    let mut arrivals = Vec::new();
    let mut at = Duration::ZERO;
    while at < options.time {
        let within = at >= middle && at < middle + options.time.mul_f64(BURST.1);
        let bursts = options.pattern == Pattern::Burst && within;
        let rate = options.rate * if bursts { BURST.0 } else { 1.0 };
        // Gaps of independent arrivals.
        at += Duration::from_secs_f64(-(1.0 - draw.random::<f64>()).ln() / rate);
        let shifted = options.pattern == Pattern::Shift && at >= middle;
        let rank = popular(&mut draw, options.models);
        let plain = draw.random_bool(PLAIN);
        arrivals.push(Arrival {
            at,
            instance: draw.random_range(0..options.instances),
            kind: match (plain, draw.random()) {
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
        let asked = (0..options.models * RARE_ASKED).map(|number| Arrival {
            at: middle,
            instance: number % options.instances,
            kind: Kind::Stream,
            model: number % options.models,
        });
        arrivals.extend(asked);
        arrivals.sort_by_key(|arrival| arrival.at);
    }
    arrivals
}

/// A model by its popularity, the first most often.
fn popular(draw: &mut StdRng, models: usize) -> usize {
    let mut rank = 0;
    while rank + 1 < models && draw.random_bool(RARER) {
        rank += 1;
    }
    rank
}

/// What became of the requests of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct Class {
    /// Sent.
    pub sent: usize,
    /// Served with the first byte on time.
    pub on_time: usize,
    /// Served later.
    pub late: usize,
    /// Refused as not run.
    pub refused: usize,
    /// All others.
    pub failed: usize,
    /// Time to the first byte of those served.
    pub first: Latency,
}

/// What became of a load.
#[derive(Clone, Debug)]
pub struct Report {
    /// By kind.
    pub classes: BTreeMap<Kind, Class>,
    /// Loads from the weight store.
    pub fetches: usize,
    /// Loads and unloads that engines accepted.
    pub orders: usize,
    /// What all instances used together.
    pub usage: Usage,
    /// Promises that were broken.
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
        let each = |total: f64| total / requests.max(1) as f64;
        writeln!(
            f,
            "{} loads from the weight store, {} orders; for each request {:.2} ms of a processor, {:.1} log lines, \
             {:.0} bytes of log",
            self.fetches,
            self.orders,
            each(self.usage.processor.as_secs_f64() * 1000.0),
            each(self.usage.log_lines as f64),
            each(self.usage.log_bytes as f64),
        )?;
        for broken in &self.broken {
            writeln!(f, "broken: {broken}")?;
        }
        Ok(())
    }
}

/// Sends the load to a deployment of its own.
///
/// # Errors
/// When a process can't be started or ended.
pub async fn run(options: &Options) -> anyhow::Result<Report> {
    let book = Arc::new(Mutex::new(Book::new(Faults::Planned)));
    let size = Size {
        program: options.program.clone(),
        instances: options.instances,
        engines: options.engines,
        services: 2,
        models: options.models,
        engine_args: ENGINE.map(str::to_owned).into(),
        log_level: options.log_level,
        logs: None,
    };
    let deployment = Deployment::start(size, Arc::clone(&book)).await?;
    deployment.wait_ready().await?;
    let before = deployment.usage()?;
    let callers = deployment.callers();
    let begun = time::Instant::now();
    let mut tasks = JoinSet::new();
    for (number, arrival) in arrivals(options).into_iter().enumerate() {
        time::sleep_until(begun + arrival.at).await;
        let call = Call {
            id: format_smolstr!("r{number}"),
            kind: arrival.kind,
            model: arrival
                .kind
                .is_stream()
                .then(|| format_smolstr!("m{}", arrival.model + 1)),
            size: 100,
            deadline: DEADLINE,
        };
        let mut caller = Caller::new(arrival.instance, callers[arrival.instance]);
        tasks.spawn(async move { caller.send(call).await });
    }
    let mut seen = Vec::new();
    while let Some(ended) = tasks.join_next().await {
        seen.push(ended?);
    }
    let usage = deployment.usage()?.since(before);
    deployment.stop().await?;
    let mut book = book.lock().expect("no panic under the lock");
    for seen in &seen {
        book.saw(seen.clone());
    }
    let kinds = [Kind::Stream, Kind::Booking, Kind::LookUp];
    let classes = kinds.map(|kind| class(&seen, kind).map(|class| (kind, class)));
    Ok(Report {
        classes: classes.into_iter().collect::<anyhow::Result<_>>()?,
        fetches: book.fetches(),
        orders: book.accepted_orders(),
        usage,
        broken: book.broken(),
    })
}

/// Engines that take a second to load from the weight store and a quarter from their disk, and run a stream in
/// 130 ms.
const ENGINE: [&str; 8] = [
    "--load-ms",
    "1000",
    "--disk-load-ms",
    "250",
    "--run-ms",
    "30",
    "--step-ms",
    "20",
];

fn class(seen: &[Seen], kind: Kind) -> anyhow::Result<Class> {
    let mut class = Class::default();
    let mut firsts = Vec::new();
    for seen in seen.iter().filter(|seen| seen.call.kind == kind) {
        class.sent += 1;
        match &seen.outcome {
            Outcome::Answer(answer) if answer.status.is_success() => {
                firsts.push(seen.first);
                let on_time = seen.first <= AIM;
                class.on_time += usize::from(on_time);
                class.late += usize::from(!on_time);
            }
            Outcome::Answer(answer) if answer.promises_not_run() => class.refused += 1,
            _ => class.failed += 1,
        }
    }
    class.first = Latency::new(firsts.into_iter())?;
    Ok(class)
}
