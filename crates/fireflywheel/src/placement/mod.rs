//! The placement policy: which replicas stay loaded, which are unloaded, and which items are loaded first and on
//! which backend server. It trades tail cold-start time against idle accelerator hours.
//!
//! The policy only makes decisions; the steward manages rights and sends orders. The policy is based on the
//! break-even time of a replica: how long the replica may idle before that costs as much as loading it again.

mod rate;

use std::{cmp::Reverse, time::Duration};

use serde::{Deserialize, Serialize};

use crate::clock;

pub use rate::{IdleTimes, Rate};

/// The cost of a second for which a caller waits for a load, in seconds for which the replica's memory idles, at a
/// weight of one half.
const WAIT_COST_RATIO: f64 = 20.0;
/// The width of the buckets within which deadlines count as equal when cold items are ordered.
const DEADLINE_BUCKET: Duration = Duration::from_millis(250);
/// How far ahead the expected uses of a replica count against its eviction, in seconds.
const LOSS_HORIZON_SECONDS: f64 = 300.0;
/// The smallest gap between arrivals, in seconds, which keeps rates finite.
const MIN_GAP_SECONDS: f64 = 0.001;

/// Where the nearest checkpoint of an item is stored, ordered from the fastest source to the slowest.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Source {
    /// In the host memory of the backend server.
    Memory,
    /// On the disk of the backend server.
    Disk,
    /// In the weight store.
    Remote,
}

impl Source {
    /// Returns the approximate ratio of the load time from this source to the load time from the weight store.
    #[must_use]
    pub fn load_time_ratio(self) -> f64 {
        match self {
            Self::Memory => 0.1,
            Self::Disk => 0.4,
            Self::Remote => 1.0,
        }
    }

    /// Returns the value of `source` in an order.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Disk => "disk",
            Self::Remote => "remote",
        }
    }
}

/// A loaded replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Replica<K> {
    /// The key by which the caller identifies the replica.
    pub key: K,
    /// The memory that the replica uses, in MB.
    pub memory_mb: u64,
    /// The time that it would take to load the replica again.
    pub load_time: Duration,
    /// The request rate of the replica's item.
    pub rate: Rate,
    /// Since when the replica has had no request in progress or waiting; `None` while it has one.
    pub idle_since: Option<clock::Instant>,
}

/// A backend server on which an item may be loaded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate<K> {
    /// The key by which the caller identifies the backend server.
    pub key: K,
    /// The memory that no right holds, in MB.
    pub free_mb: u64,
    /// Whether the server already holds the item, or was ordered to load it.
    pub has_item: bool,
    /// The nearest checkpoint of the item for this server.
    pub source: Source,
    /// The number of loads in progress on the server.
    pub loading: u32,
    /// The number of requests running on the server.
    pub running: u32,
}

/// A backend server with the replicas that may be unloaded to make room.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerReplicas<S, K> {
    /// The key by which the caller identifies the backend server.
    pub server: S,
    /// The memory that no right holds, in MB.
    pub free_mb: u64,
    /// The replicas that may be unloaded.
    pub replicas: Vec<Replica<K>>,
}

/// The replicas that are unloaded on one backend server to make room.
#[derive(Clone, Debug, PartialEq)]
pub struct Eviction<S, K> {
    /// The key of the backend server.
    pub server: S,
    /// The keys of the unloaded replicas, in the order in which they are unloaded.
    pub victims: Vec<K>,
    /// The time that callers are expected to wait because of this within the next few minutes, in seconds.
    pub loss: f64,
}

/// A cold item that callers wait for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdItem<K> {
    /// The key by which the caller identifies the item.
    pub key: K,
    /// The earliest deadline of the waiting callers.
    pub deadline: clock::Instant,
    /// The number of waiting callers.
    pub waiting: u32,
    /// The expected load time.
    pub load_time: Duration,
}

/// A placement policy with its settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// The weight of cold-start time against idle accelerator hours, from 0 to 1.
    weight: f64,
    rule: Rule,
}

/// How a policy selects the replicas that it unloads.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Rule {
    /// By the waiting time that a replica saves for the memory that it uses. This rule is the one in production.
    CostAware,
    /// The least recently used replica goes first, when memory is needed. A baseline for comparison.
    LeastRecentlyUsed,
    /// Each replica goes after a fixed idle time. A baseline for comparison.
    OnDemand(Duration),
}

impl Policy {
    /// Creates a policy from the setting `cold_start_weight`: 1 considers only tail cold-start time, 0 only idle
    /// accelerator hours.
    #[must_use]
    pub fn new(weight: f64) -> Self {
        Self {
            weight: weight.clamp(0.0, 1.0),
            rule: Rule::CostAware,
        }
    }

    /// Creates the least-recently-used baseline of the tests, which keeps replicas loaded until memory is needed.
    #[must_use]
    pub fn least_recently_used() -> Self {
        Self {
            weight: 1.0,
            rule: Rule::LeastRecentlyUsed,
        }
    }

    /// Creates the load-on-demand baseline of the tests, which unloads replicas after a fixed idle time.
    #[must_use]
    pub fn on_demand(idle: Duration) -> Self {
        Self {
            weight: 0.0,
            rule: Rule::OnDemand(idle),
        }
    }

    /// Returns how long a replica may idle before that costs as much as a load, or `None` for no limit.
    ///
    /// A load occupies the memory for the load time and makes a caller wait for the same time.
    #[must_use]
    pub fn break_even_time(&self, load: Duration) -> Option<Duration> {
        if self.weight >= 1.0 {
            return None;
        }
        let wait_cost = WAIT_COST_RATIO * self.weight / (1.0 - self.weight);
        Duration::try_from_secs_f64(load.as_secs_f64() * (1.0 + wait_cost)).ok()
    }

    /// Returns whether an idle replica is unloaded although nothing needs its memory yet.
    ///
    /// While few idle times are known, a replica may idle for the break-even time, which costs at most twice as much
    /// as a policy that knows the next arrival. Once more are known, it may idle for the time that would have cost
    /// least over the known idle times.
    #[must_use]
    pub fn should_unload_idle<K>(&self, now: clock::Instant, replica: &Replica<K>) -> bool {
        let Some(since) = replica.idle_since else {
            return false;
        };
        if let Rule::OnDemand(idle) = self.rule {
            return now.since(since) >= idle;
        }
        let Some(break_even_time) = self.break_even_time(replica.load_time) else {
            return false;
        };
        let break_even_time = break_even_time.as_secs_f64();
        let max_idle = replica.rate.max_idle_seconds(break_even_time);
        now.since(since).as_secs_f64() >= max_idle
    }

    /// Returns the waiting time of callers that the replica is expected to save for each GB and hour, in seconds.
    ///
    /// The baselines return a number that is smaller the longer the replica has been idle.
    #[must_use]
    pub fn savings<K>(&self, now: clock::Instant, replica: &Replica<K>) -> f64 {
        const SECONDS_PER_HOUR: f64 = 3600.0;
        const MB_PER_GB: f64 = 1024.0;
        if self.rule != Rule::CostAware {
            let idle = replica
                .idle_since
                .map_or(Duration::ZERO, |since| now.since(since));
            return 1.0 / idle.as_secs_f64().max(MIN_GAP_SECONDS);
        }
        let gigabytes = replica.memory_mb.max(1) as f64 / MB_PER_GB;
        let arrivals = replica.rate.expected_per_second(now) * SECONDS_PER_HOUR;
        arrivals * replica.load_time.as_secs_f64() / gigabytes
    }

    /// Returns the idle replicas in the order of their eviction: the one that saves least goes first.
    #[must_use]
    pub fn eviction_order<K>(&self, now: clock::Instant, replicas: &[Replica<K>]) -> Vec<K>
    where
        K: Copy + Ord,
    {
        let idle = replicas
            .iter()
            .filter(|replica| replica.idle_since.is_some());
        let mut order: Vec<_> = idle
            .map(|replica| (self.savings(now, replica), replica.key))
            .collect();
        order.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        order.into_iter().map(|(_, key)| key).collect()
    }

    /// Chooses the backend server on which an item of `memory_mb` is loaded. Returns `None` when no server has enough
    /// free memory; see [`Self::plan_eviction`].
    ///
    /// The nearest checkpoint comes first, then the fewest loads in progress, then the fewest running requests, then
    /// the tightest fit, which leaves room for large models.
    #[must_use]
    pub fn choose_server<K>(&self, memory_mb: u64, candidates: &[Candidate<K>]) -> Option<K>
    where
        K: Copy + Ord,
    {
        candidates
            .iter()
            .filter(|candidate| !candidate.has_item && candidate.free_mb >= memory_mb)
            .min_by_key(|candidate| {
                (
                    candidate.source,
                    candidate.loading,
                    candidate.running,
                    candidate.free_mb,
                    candidate.key,
                )
            })
            .map(|candidate| candidate.key)
    }

    /// Selects the backend server and the replicas to unload there so that `memory_mb` fit, with the smallest loss.
    /// Only idle replicas are evicted. Returns `None` when no server can free enough memory.
    #[must_use]
    pub fn plan_eviction<S, K>(
        &self,
        now: clock::Instant,
        memory_mb: u64,
        servers: &[ServerReplicas<S, K>],
    ) -> Option<Eviction<S, K>>
    where
        S: Copy + Ord,
        K: Copy + Ord,
    {
        let evictions = servers
            .iter()
            .filter_map(|server| self.select_victims(now, memory_mb, server));
        evictions.min_by(|a, b| a.loss.total_cmp(&b.loss).then(a.server.cmp(&b.server)))
    }

    /// Returns the cost of a load that takes `load` and requires an eviction with this `loss`. The server with the
    /// smallest cost is the best one. The baselines ignore where checkpoints are stored once they must make room.
    #[must_use]
    pub fn load_cost(&self, load: Duration, waiting: u32, loss: f64) -> f64 {
        match self.rule {
            Rule::CostAware => load.as_secs_f64() * f64::from(waiting.max(1)) + loss,
            Rule::LeastRecentlyUsed | Rule::OnDemand(_) => loss,
        }
    }

    /// Returns the order in which cold items are loaded.
    ///
    /// Items are ordered by the latest time at which the load must start to meet the deadline. Among items that are
    /// nearly equal, the one with the most waiting callers comes first. Items that would miss their deadline come
    /// last, so that they don't make others late as well.
    #[must_use]
    pub fn load_order<K>(&self, now: clock::Instant, items: &[ColdItem<K>]) -> Vec<K>
    where
        K: Copy + Ord,
    {
        let mut order: Vec<_> = items
            .iter()
            .map(|item| {
                let is_late = now.after(item.load_time) > item.deadline;
                let latest_start = item
                    .deadline
                    .since(clock::Instant::default().after(item.load_time));
                let bucket = latest_start.as_millis() / DEADLINE_BUCKET.as_millis();
                (is_late, bucket, Reverse(item.waiting), item.key)
            })
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(.., key)| key).collect()
    }

    fn select_victims<S, K>(
        &self,
        now: clock::Instant,
        memory_mb: u64,
        server: &ServerReplicas<S, K>,
    ) -> Option<Eviction<S, K>>
    where
        S: Copy,
        K: Copy + Ord,
    {
        let missing = memory_mb.saturating_sub(server.free_mb);
        let mut freed = 0;
        let mut victims = Vec::new();
        for key in self.eviction_order(now, &server.replicas) {
            if freed >= missing {
                break;
            }
            let replica = server.replicas.iter().find(|replica| replica.key == key)?;
            freed += replica.memory_mb;
            victims.push(replica);
        }
        if freed < missing {
            return None;
        }
        // A victim chosen early may be unnecessary once a larger one was chosen after it.
        for index in (0..victims.len()).rev() {
            let memory_mb = victims[index].memory_mb;
            if freed - memory_mb >= missing {
                freed -= memory_mb;
                victims.remove(index);
            }
        }
        Some(Eviction {
            server: server.server,
            loss: self.loss(now, &victims),
            victims: victims.into_iter().map(|replica| replica.key).collect(),
        })
    }

    /// Returns the time that callers are expected to wait within the horizon because these replicas are unloaded, in
    /// seconds. The baselines return the highest value of [`Self::savings`] instead.
    fn loss<K>(&self, now: clock::Instant, victims: &[&Replica<K>]) -> f64 {
        let losses = victims.iter().map(|replica| match self.rule {
            Rule::CostAware => {
                let uses = replica.rate.expected_per_second(now) * LOSS_HORIZON_SECONDS;
                replica.load_time.as_secs_f64() * uses
            }
            Rule::LeastRecentlyUsed | Rule::OnDemand(_) => self.savings(now, replica),
        });
        match self.rule {
            Rule::CostAware => losses.sum(),
            Rule::LeastRecentlyUsed | Rule::OnDemand(_) => losses.fold(0.0, f64::max),
        }
    }
}
