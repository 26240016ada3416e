//! What instances ask of the steward, and the rates that it learns from that.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::era::Era;
use super::{limit, load, quota, rate};
use crate::clock;

/// Rates forget half of what they saw after this. Demand moves within seconds, and a rare model is asked for
/// once in ten.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// The same for the rate at which engines end requests: a queue drains as fast as they do now.
const DRAIN_HALF_LIFE: Duration = Duration::from_secs(2);

/// All that one instance wants and has running.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Demand {
    /// Where requests wait.
    #[serde(rename = "lanes")]
    pub queues: Vec<Queue>,
    /// Requests in progress by engine and model.
    pub running: Vec<Running>,
    /// Requests that came since the last demand, by group and model.
    pub arrived: Vec<Count>,
    /// Requests that engines have run and that ended since the last demand, by group and model.
    #[serde(default)]
    pub finished: Vec<Count>,
    /// The instance's clock when it said this, in milliseconds; comes back with the steward's next heartbeat.
    pub stamp_ms: u64,
    /// The instance is being stopped, and can't become steward.
    pub leaving: bool,
    /// Engines that didn't hold what the steward had said that they hold.
    pub denied: Vec<SmolStr>,
    /// Models of which the instance wants to be told.
    #[serde(default, rename = "asks")]
    pub subscriptions: Vec<SmolStr>,
    /// What organisations with a quota asked for since the last demand.
    #[serde(default)]
    pub usage: Vec<quota::Usage>,
    /// The store's era, as far as known.
    #[serde(default)]
    pub era: Option<Era>,
    /// What servers' answers have said of their limits since the last demand.
    #[serde(default)]
    pub limits: Vec<limit::Notice>,
    /// Requests that wait for permits, and that the steward wasn't asked for yet.
    #[serde(default)]
    pub permits: Vec<limit::Request>,
    /// The configuration in force at the instance, 0 for none; absent from releases that read each configuration for themselves.
    #[serde(default)]
    pub config_version: Option<u64>,
    /// The store doesn't answer the instance, which needs the configuration from the steward.
    #[serde(default)]
    pub needs_config: bool,
    /// How old the instance's own reads of the store are, in milliseconds.
    #[serde(default = "never", rename = "read_ms")]
    pub read_age_ms: u32,
}

/// The age of reads that were never made.
fn never() -> u32 {
    u32::MAX
}

/// Requests that wait for one model, or one adapter of it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Queue {
    /// The group of its engines.
    pub group: SmolStr,
    /// The model.
    pub model: SmolStr,
    /// The adapter on it.
    pub adapter: Option<SmolStr>,
    /// How many wait.
    pub waiting: u32,
    /// How long the most urgent has waited, in milliseconds.
    pub waited_ms: u32,
    /// Until it is of no more use, in milliseconds.
    pub left_ms: u32,
}

/// Requests in progress.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Running {
    /// The engine's id.
    pub server: SmolStr,
    /// The model.
    pub model: SmolStr,
    /// The adapter on it.
    pub adapter: Option<SmolStr>,
    /// How many.
    pub count: u32,
    /// Tokens of their prompts that the engine hasn't read yet.
    #[serde(rename = "unread")]
    pub prefill_tokens: u32,
}

/// A number of requests for one model.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Count {
    /// The group of its engines.
    pub group: SmolStr,
    /// The model.
    pub model: SmolStr,
    /// How many.
    pub count: u32,
}

/// What all instances together want of one model, or of one adapter.
#[derive(Clone, Debug, PartialEq)]
pub struct Pending {
    /// The model.
    pub model: SmolStr,
    /// The adapter on it.
    pub adapter: Option<SmolStr>,
    /// How many wait.
    pub waiting: u32,
    /// Since when the most urgent waits.
    pub since: clock::Instant,
    /// When it is of no more use.
    pub until: clock::Instant,
}

/// Requests in progress at one engine, by model and adapter.
pub type Counts = BTreeMap<(SmolStr, Option<SmolStr>), u32>;

/// The demands of all instances.
#[derive(Clone, Debug, Default)]
pub struct Aggregator {
    instances: BTreeMap<SmolStr, (clock::Instant, Demand)>,
    arriving: Rates,
    finishing: Rates,
}

/// Rates by group and model.
type Rates = BTreeMap<(SmolStr, SmolStr), rate::Rate>;

fn count(rates: &mut Rates, now: clock::Instant, half_life: Duration, counts: &[Count]) {
    for counted in counts {
        let key = (counted.group.clone(), counted.model.clone());
        let rate = rates.entry(key).or_default();
        rate.add(now, half_life, counted.count.into());
    }
}

impl Aggregator {
    /// Takes in what an instance says; it replaces what it said before.
    pub fn update(&mut self, now: clock::Instant, instance: SmolStr, demand: Demand) {
        count(&mut self.arriving, now, HALF_LIFE, &demand.arrived);
        count(&mut self.finishing, now, DRAIN_HALF_LIFE, &demand.finished);
        self.instances.insert(instance, (now, demand));
    }

    /// An instance's link has ended: its requests may be gone.
    pub fn remove(&mut self, instance: &str) {
        self.instances.remove(instance);
    }

    /// What is wanted in a group, the longest waiting first.
    #[must_use]
    pub fn pending(&self, group: &str) -> Vec<Pending> {
        let mut wants: BTreeMap<(SmolStr, Option<SmolStr>), Pending> = BTreeMap::new();
        for (heard, queue) in self.queues(group) {
            let since = heard.before(Duration::from_millis(queue.waited_ms.into()));
            let until = heard.after(Duration::from_millis(queue.left_ms.into()));
            let want = wants
                .entry((queue.model.clone(), queue.adapter.clone()))
                .or_insert_with(|| Pending {
                    model: queue.model.clone(),
                    adapter: queue.adapter.clone(),
                    waiting: 0,
                    since,
                    until,
                });
            want.waiting += queue.waiting;
            want.since = want.since.min(since);
            want.until = want.until.max(until);
        }
        let mut wants: Vec<Pending> = wants.into_values().collect();
        wants.sort_by_key(|want| want.since);
        wants
    }

    /// Requests in progress by engine. All are counted in one walk: a walk for each engine would grow with instances
    /// times engines, and a plan is made every few milliseconds.
    #[must_use]
    pub fn running(&self) -> BTreeMap<&SmolStr, Counts> {
        let mut counts: BTreeMap<&SmolStr, Counts> = BTreeMap::new();
        let demands = self.instances.values();
        for running in demands.flat_map(|(_, demand)| &demand.running) {
            let key = (running.model.clone(), running.adapter.clone());
            let at_engine = counts.entry(&running.server).or_default();
            *at_engine.entry(key).or_default() += running.count;
        }
        counts
    }

    /// What engines have to do, by engine.
    #[must_use]
    pub fn loads(&self) -> BTreeMap<&SmolStr, load::Load> {
        let mut loads: BTreeMap<&SmolStr, load::Load> = BTreeMap::new();
        let demands = self.instances.values();
        for running in demands.flat_map(|(_, demand)| &demand.running) {
            let fresh = || load::Load::new(running.server.clone());
            let load = loads.entry(&running.server).or_insert_with(fresh);
            load.prefill_tokens = load.prefill_tokens.saturating_add(running.prefill_tokens);
            load.requests += running.count;
        }
        loads
    }

    /// Requests a second for a model, as of the last seconds.
    #[must_use]
    pub fn arrival_rate(&self, now: clock::Instant, group: &str, model: &str) -> f64 {
        let key = (SmolStr::new(group), SmolStr::new(model));
        let rate = self.arriving.get(&key);
        rate.map_or(0.0, |rate| rate.per_second(now, HALF_LIFE))
    }

    /// Requests a second that engines have run and ended as of the last moments, by model.
    #[must_use]
    pub fn drain_rates(&self, now: clock::Instant, group: &str) -> BTreeMap<SmolStr, f64> {
        let rates = self.finishing.iter().filter(|((of, _), _)| of == group);
        rates
            .map(|((_, model), rate)| (model.clone(), rate.per_second(now, DRAIN_HALF_LIFE)))
            .collect()
    }

    fn queues<'a>(&'a self, group: &'a str) -> impl Iterator<Item = (clock::Instant, &'a Queue)> {
        self.instances
            .values()
            .flat_map(|(heard, demand)| demand.queues.iter().map(|queue| (*heard, queue)))
            .filter(move |(_, queue)| queue.group == group)
    }
}
