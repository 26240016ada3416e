//! Sends a bounded open-loop load: requests arrive at a rate whether or not earlier ones were answered. They go to
//! loopback addresses only, and each answer is checked.

mod exchange;
mod plot;
mod report;

use std::{net, path};

use anyhow::Context as _;
use rand::{Rng as _, SeedableRng as _, rngs, seq::IndexedRandom as _};
use smol_str::SmolStr;
use tokio::task;
use tokio::time;

pub use exchange::{Outcome, Sample};
pub use plot::write_plot;
pub use report::{Class, Latency, Report};

use crate::client;

/// Maximum number of requests in one load.
pub const MAX_COUNT: u64 = 1_000_000;
/// Maximum rate, in requests per second.
pub const MAX_RATE: f64 = 10_000.0;
/// Maximum time over which requests arrive.
pub const MAX_TIME: time::Duration = time::Duration::from_secs(600);
/// How long a request waits for its answer after the deadline, so that a late answer is distinguished from a missing
/// one.
const ANSWER_GRACE_PERIOD: time::Duration = time::Duration::from_secs(10);

/// Options of a load.
#[derive(Clone, Debug)]
pub struct Options {
    /// Addresses of the daemons for callers, used in turn. Only loopback addresses are allowed.
    pub targets: Vec<net::SocketAddr>,
    /// The share of the requests, from 0 to 1, that all go to the first address.
    pub hot_share: f64,
    /// Models, chosen at random, as `MODEL` or `MODEL:ADAPTER`.
    pub models: Vec<SmolStr>,
    /// Classes, chosen at random. If empty, requests have no class.
    pub classes: Vec<SmolStr>,
    /// Tenants, chosen at random. If empty, requests have no tenant.
    pub tenants: Vec<SmolStr>,
    /// Deadline of each request, in milliseconds.
    pub deadline_ms: u64,
    /// Whether answers are streamed.
    pub stream: bool,
    /// Maximum number of tokens of an answer.
    pub max_tokens: usize,
    /// Mean number of arrivals per second.
    pub rate: f64,
    /// Maximum number of requests.
    pub count: u64,
    /// Maximum time over which requests arrive.
    pub time: time::Duration,
    /// Seed of the arrival times and the random choices.
    pub seed: u64,
    /// SVG file for a plot of the latencies.
    pub svg: Option<path::PathBuf>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            targets: Vec::new(),
            hot_share: 0.0,
            models: Vec::new(),
            classes: Vec::new(),
            tenants: Vec::new(),
            deadline_ms: 10_000,
            stream: false,
            max_tokens: 16,
            rate: 10.0,
            count: 100,
            time: time::Duration::from_secs(60),
            seed: 1,
            svg: None,
        }
    }
}

/// A request to send.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) target: net::SocketAddr,
    pub(crate) id: SmolStr,
    pub(crate) model: SmolStr,
    pub(crate) class: Option<SmolStr>,
    pub(crate) tenant: Option<SmolStr>,
    pub(crate) deadline: time::Duration,
    pub(crate) stream: bool,
    pub(crate) max_tokens: usize,
}

impl Options {
    /// Checks the options.
    ///
    /// # Errors
    /// When a target isn't a loopback address, there is no target or no model, or a limit is exceeded.
    pub fn check(&self) -> anyhow::Result<()> {
        anyhow::ensure!(!self.targets.is_empty(), "a target is needed");
        anyhow::ensure!(!self.models.is_empty(), "a model is needed");
        for target in &self.targets {
            anyhow::ensure!(
                target.ip().is_loopback(),
                "{target} isn't a loopback address: the load command sends to this machine only"
            );
        }
        anyhow::ensure!(
            (0.0..=1.0).contains(&self.hot_share),
            "the share of the first target is from 0 to 1"
        );
        anyhow::ensure!(
            self.rate > 0.0 && self.rate <= MAX_RATE,
            "the rate is above 0 and at most {MAX_RATE}"
        );
        anyhow::ensure!(self.count <= MAX_COUNT, "the count is at most {MAX_COUNT}");
        anyhow::ensure!(self.time <= MAX_TIME, "the time is at most {MAX_TIME:?}");
        Ok(())
    }

    fn draw_request(&self, number: u64, rng: &mut rngs::SmallRng) -> Request {
        let hot_until = |number: u64| (number as f64 * self.hot_share).floor();
        let target = match hot_until(number + 1) > hot_until(number) {
            true => 0,
            false => usize::try_from(number).unwrap_or(0) % self.targets.len(),
        };
        Request {
            target: self.targets[target],
            id: smol_str::format_smolstr!("load-{}-{number}", self.seed),
            model: self.models.choose(rng).cloned().unwrap_or_default(),
            class: self.classes.choose(rng).cloned(),
            tenant: self.tenants.choose(rng).cloned(),
            deadline: time::Duration::from_millis(self.deadline_ms),
            stream: self.stream,
            max_tokens: self.max_tokens,
        }
    }
}

/// Sends the load and checks every answer.
///
/// # Errors
/// When the options are invalid, or the plot can't be written.
pub async fn run(options: &Options) -> anyhow::Result<Report> {
    options.check()?;
    let samples = send_all(options).await;
    let report = Report::new(&samples)?;
    if let Some(file) = &options.svg {
        write_plot(file, &samples).with_context(|| format!("plot to {}", file.display()))?;
    }
    Ok(report)
}

async fn send_all(options: &Options) -> Vec<Sample> {
    let client = client::Client::new();
    let mut rng = rngs::SmallRng::seed_from_u64(options.seed);
    let mut running = task::JoinSet::new();
    let start = time::Instant::now();
    let mut due = start;
    for number in 0..options.count {
        due += draw_interval(options.rate, &mut rng);
        if due - start > options.time {
            break;
        }
        time::sleep_until(due).await;
        let request = options.draw_request(number, &mut rng);
        running.spawn(send_one(client.clone(), request));
    }
    running.join_all().await
}

/// Draws the time to the next arrival. It is exponentially distributed, as for many independent callers.
fn draw_interval(rate: f64, rng: &mut rngs::SmallRng) -> time::Duration {
    let quantile: f64 = rng.random();
    time::Duration::from_secs_f64(-(1.0 - quantile).ln() / rate)
}

async fn send_one(client: client::Client, request: Request) -> Sample {
    let limit = request.deadline + ANSWER_GRACE_PERIOD;
    let start = time::Instant::now();
    let reply = time::timeout(limit, exchange::send(&client, &request)).await;
    let whole = start.elapsed();
    let reply = reply.unwrap_or_else(|_| exchange::Reply::timed_out(whole));
    reply.into_sample(&request, whole)
}
