//! The demand that instances report to the steward, and the rates estimated from it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::config::update;
use super::era::{Era, Position};
use super::{
    announcement, availability, limit, load, origin, prefix, quarantine, quota, rate, speed,
};
use crate::clock;

/// The half-life of arrival rates. Demand moves within seconds, and a rarely used model receives a request
/// about once in ten seconds.
const ARRIVAL_HALF_LIFE: Duration = Duration::from_secs(10);

/// The half-life of completion rates, which is shorter because a queue drains at the engines' current rate.
const DRAIN_HALF_LIFE: Duration = Duration::from_secs(2);

/// The demand of one instance.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Demand {
    /// The queues of waiting requests.
    #[serde(rename = "lanes")]
    pub queues: Vec<Queue>,
    /// The requests in progress, by engine and model.
    pub running: Vec<Running>,
    /// The requests that arrived since the last report, by group and model.
    pub arrived: Vec<Count>,
    /// The requests that ran on engines and ended since the last report, by group and model.
    #[serde(default)]
    pub finished: Vec<Count>,
    /// The instance's clock at the time of the report, in milliseconds. The steward's next heartbeat returns
    /// it.
    pub stamp_ms: u64,
    /// Whether the instance is stopping and can't become steward.
    pub leaving: bool,
    /// The servers that were unreachable, or that lacked a model which they were thought to hold. The steward
    /// requests a report from each of them.
    #[serde(rename = "denied")]
    pub servers_to_check: Vec<SmolStr>,
    /// The models whose engines the instance wants updates for.
    #[serde(default, rename = "asks")]
    pub subscriptions: Vec<SmolStr>,
    /// The usage of organisations with a quota since the last report.
    #[serde(default)]
    pub usage: Vec<quota::Usage>,
    /// The latest era of the store that the instance knows.
    #[serde(default)]
    pub era: Option<Era>,
    /// When the store has answered in that era. It is absent before it has, and from releases that don't tell.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub store: Option<availability::Report>,
    /// The limits that servers' answers have reported since the last report.
    #[serde(default, rename = "limits")]
    pub limit_notices: Vec<limit::Notice>,
    /// The servers that have announced since the last report that they leave.
    #[serde(default)]
    pub leaving_servers: Vec<announcement::Process>,
    /// The requests that wait for permits and have not been reported to the steward yet.
    #[serde(default, rename = "permits")]
    pub permit_requests: Vec<limit::Request>,
    /// The version of the configuration in force at the instance, 0 for none. It is absent from releases in
    /// which each instance reads all configurations for itself.
    #[serde(default)]
    pub config_version: Option<u64>,
    /// The configuration in force at the instance. It is absent from releases that accept no updates.
    #[serde(default)]
    pub config: Option<Holding>,
    /// Whether the instance needs the configuration from the steward: the store doesn't answer it, or the last
    /// update was based on another configuration.
    #[serde(default)]
    pub needs_config: bool,
    /// The age of the instance's own reads of the store, in milliseconds.
    #[serde(default = "unread_age", rename = "read_ms")]
    pub read_age_ms: u32,
    /// The groups whose servers the instance doesn't reach, be it that they are down. It is absent from releases without
    /// gateways.
    #[serde(default, rename = "unreached")]
    pub unreached_groups: Option<BTreeSet<SmolStr>>,
    /// Streams that have begun at the instance, and its questions about others. It is absent from releases that don't
    /// distinguish versions of servers.
    #[serde(default)]
    pub origins: Option<Box<origin::Report>>,
    /// The position up to which the steward has to know the directory before it sends the whole of it again; `None` if the
    /// instance has missed nothing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub missed_directory: Option<Position>,
    /// What is new of crashes of servers, and of parts of prompts that may have caused them.
    #[serde(default)]
    pub quarantine: Box<quarantine::Report>,
    /// What the instance has observed of the speed of servers since the last report.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub speeds: Vec<speed::Observed>,
    /// The prompts that servers have read since the last report, if it matters where they are kept.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub prefix_reads: Vec<prefix::news::Read>,
}

/// The configuration in force at an instance that accepts updates; none if it has none yet.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Holding {
    /// The configuration.
    pub revision: Option<update::Revision>,
}

/// The age that stands for reads that were never made.
fn unread_age() -> u32 {
    u32::MAX
}

/// The requests that wait for one model or one of its adapters.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Queue {
    /// The group of the model's engines.
    pub group: SmolStr,
    /// The model.
    pub model: SmolStr,
    /// The adapter of the model, if any.
    pub adapter: Option<SmolStr>,
    /// The version of the servers' software that the requests need; `None` if they take up no streams.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<SmolStr>,
    /// The number of waiting requests.
    pub waiting: u32,
    /// The time that the most urgent request has waited, in milliseconds.
    pub waited_ms: u32,
    /// The time after which loading is no longer useful to any of the requests, in milliseconds from now.
    pub left_ms: u32,
}

/// The requests of one model and adapter in progress at one engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Running {
    /// The engine's id.
    pub server: SmolStr,
    /// The model.
    pub model: SmolStr,
    /// The adapter of the model, if any.
    pub adapter: Option<SmolStr>,
    /// The number of requests.
    pub count: u32,
    /// The number of prompt tokens that the engine has yet to prefill.
    #[serde(rename = "unread")]
    pub prefill_tokens: u32,
}

/// The number of requests for one model.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Count {
    /// The group of the model's engines.
    pub group: SmolStr,
    /// The model.
    pub model: SmolStr,
    /// The number of requests.
    pub count: u32,
}

/// The combined demand of all instances for one model or one of its adapters, at one version or any.
#[derive(Clone, Debug, PartialEq)]
pub struct Pending {
    /// The model.
    pub model: SmolStr,
    /// The adapter of the model, if any.
    pub adapter: Option<SmolStr>,
    /// The version of the servers' software that the requests need; `None` if any will do.
    pub version: Option<SmolStr>,
    /// The number of waiting requests.
    pub waiting: u32,
    /// The time since which the most urgent request waits.
    pub since: clock::Instant,
    /// The time after which loading is no longer useful.
    pub until: clock::Instant,
}

/// The number of requests in progress at one engine, by model and adapter.
pub type Counts = BTreeMap<(SmolStr, Option<SmolStr>), u32>;

/// Combines the demand of all instances.
#[derive(Clone, Debug, Default)]
pub struct Aggregator {
    instances: BTreeMap<SmolStr, (clock::Instant, Demand)>,
    arrival_rates: Rates,
    completion_rates: Rates,
}

/// The rates by group and model.
type Rates = BTreeMap<(SmolStr, SmolStr), rate::Rate>;

fn add_counts(rates: &mut Rates, now: clock::Instant, half_life: Duration, counts: &[Count]) {
    for counted in counts {
        let key = (counted.group.clone(), counted.model.clone());
        let rate = rates.entry(key).or_default();
        rate.add(now, half_life, counted.count.into());
    }
}

impl Aggregator {
    /// Records the demand of an instance, which replaces its previous one.
    pub fn update(&mut self, now: clock::Instant, instance: SmolStr, demand: Demand) {
        add_counts(
            &mut self.arrival_rates,
            now,
            ARRIVAL_HALF_LIFE,
            &demand.arrived,
        );
        add_counts(
            &mut self.completion_rates,
            now,
            DRAIN_HALF_LIFE,
            &demand.finished,
        );
        self.instances.insert(instance, (now, demand));
    }

    /// Removes an instance whose link has closed, since its requests may be gone.
    pub fn remove(&mut self, instance: &str) {
        self.instances.remove(instance);
    }

    /// Returns the demand for the models of a group, the longest waiting first.
    #[must_use]
    pub fn pending(&self, group: &str) -> Vec<Pending> {
        let mut combined: BTreeMap<_, Pending> = BTreeMap::new();
        for (received_at, queue) in self.queues(group) {
            let since = received_at.before(Duration::from_millis(queue.waited_ms.into()));
            let until = received_at.after(Duration::from_millis(queue.left_ms.into()));
            let pending = combined
                .entry((&queue.model, &queue.adapter, &queue.version))
                .or_insert_with(|| Pending {
                    model: queue.model.clone(),
                    adapter: queue.adapter.clone(),
                    version: queue.version.clone(),
                    waiting: 0,
                    since,
                    until,
                });
            pending.waiting += queue.waiting;
            pending.since = pending.since.min(since);
            pending.until = pending.until.max(until);
        }
        let mut combined: Vec<Pending> = combined.into_values().collect();
        combined.sort_by_key(|pending| pending.since);
        combined
    }

    /// Returns the requests in progress by engine. A single pass counts all engines: one pass for each engine
    /// would cost instances times engines, and a plan is made every few milliseconds.
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

    /// Returns the number of instances at which requests wait, by group and model.
    #[must_use]
    pub fn waiting_instances(&self) -> BTreeMap<(&SmolStr, &SmolStr), u32> {
        let mut counts = BTreeMap::new();
        for (_, demand) in self.instances.values() {
            let queues = demand.queues.iter().filter(|queue| queue.waiting > 0);
            let models: BTreeSet<_> = queues.map(|queue| (&queue.group, &queue.model)).collect();
            for key in models {
                *counts.entry(key).or_default() += 1;
            }
        }
        counts
    }

    /// Returns the load of each engine.
    #[must_use]
    pub fn loads(&self) -> BTreeMap<&SmolStr, load::Load> {
        let mut loads: BTreeMap<&SmolStr, load::Load> = BTreeMap::new();
        let demands = self.instances.values();
        for running in demands.flat_map(|(_, demand)| &demand.running) {
            let new_load = || load::Load::new(running.server.clone());
            let load = loads.entry(&running.server).or_insert_with(new_load);
            load.prefill_tokens = load.prefill_tokens.saturating_add(running.prefill_tokens);
            load.requests += running.count;
        }
        loads
    }

    /// Returns the arrival rate of a model over the last seconds, in requests per second.
    #[must_use]
    pub fn arrival_rate(&self, now: clock::Instant, group: &str, model: &str) -> f64 {
        let key = (SmolStr::new(group), SmolStr::new(model));
        let rate = self.arrival_rates.get(&key);
        rate.map_or(0.0, |rate| rate.per_second(now, ARRIVAL_HALF_LIFE))
    }

    /// Returns the current completion rates by model, in requests per second.
    #[must_use]
    pub fn drain_rates(&self, now: clock::Instant, group: &str) -> BTreeMap<SmolStr, f64> {
        let rates = self
            .completion_rates
            .iter()
            .filter(|((of, _), _)| of == group);
        rates
            .map(|((_, model), rate)| (model.clone(), rate.per_second(now, DRAIN_HALF_LIFE)))
            .collect()
    }

    fn queues<'a>(&'a self, group: &'a str) -> impl Iterator<Item = (clock::Instant, &'a Queue)> {
        self.instances
            .values()
            .flat_map(|(received_at, demand)| {
                demand.queues.iter().map(|queue| (*received_at, queue))
            })
            .filter(move |(_, queue)| queue.group == group)
    }
}
