//! What stays loaded, what is unloaded, and what is loaded first and where: the trade of tail cold-start
//! time against idle accelerator hours.
//!
//! The policy decides only; rights and orders are the steward's. All of it follows from one figure, the
//! break-even time of a replica: how long it may idle before that costs as much as loading it again.

mod rate;

use std::{cmp::Reverse, time::Duration};

use serde::{Deserialize, Serialize};

use crate::clock;

pub use rate::{IdleTimes, Rate};

/// At weight one half, a second that a caller waits for a load costs as much as this many seconds in which
/// the replica's memory idles.
const WAIT_PRICE: f64 = 20.0;
/// Deadlines within one such step count as equal when cold items are ordered.
const DEADLINE_STEP: Duration = Duration::from_millis(250);
/// Loads are placed with the next uses within so long in view.
const HORIZON_S: f64 = 300.0;
/// Keeps rates finite.
const LEAST_GAP: f64 = 0.001;

/// Where the nearest checkpoint lies, the fastest first.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Source {
    /// In the host memory of the backend server.
    Memory,
    /// On its disk.
    Disk,
    /// In the weight store.
    Remote,
}

impl Source {
    /// About which part of the time from the weight store a load takes.
    #[must_use]
    pub fn load_time_ratio(self) -> f64 {
        match self {
            Self::Memory => 0.1,
            Self::Disk => 0.4,
            Self::Remote => 1.0,
        }
    }

    /// The value of `source` in an order.
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
    /// The caller's name for it.
    pub key: K,
    /// The memory it takes.
    pub memory_mb: u64,
    /// How long it would take to load it again.
    pub load: Duration,
    /// How often its item is asked for.
    pub rate: Rate,
    /// Since when it has had no request in progress or waiting; `None` while it has one.
    pub idle_since: Option<clock::Instant>,
}

/// A backend server on which an item may be loaded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate<K> {
    /// The caller's name for it.
    pub key: K,
    /// Memory that no right holds.
    pub free_mb: u64,
    /// Whether it already holds the item, or has been ordered to.
    pub holds: bool,
    /// Where the item's checkpoint lies for it.
    pub source: Source,
    /// Loads in progress on it.
    pub loading: u32,
    /// Requests running on it.
    pub running: u32,
}

/// A backend server with its replicas, of which some may have to go.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerReplicas<S, K> {
    /// The caller's name for the backend server.
    pub server: S,
    /// Memory that no right holds.
    pub free_mb: u64,
    /// What may be unloaded there.
    pub replicas: Vec<Replica<K>>,
}

/// What has to be unloaded to make room.
#[derive(Clone, Debug, PartialEq)]
pub struct Eviction<S, K> {
    /// The backend server.
    pub server: S,
    /// What is unloaded there, in this order.
    pub victims: Vec<K>,
    /// The seconds of callers' waiting that this is expected to cost before long.
    pub loss: f64,
}

/// A cold item that callers wait for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdItem<K> {
    /// The caller's name for it.
    pub key: K,
    /// The first deadline of those who wait.
    pub deadline: clock::Instant,
    /// How many wait.
    pub waiting: u32,
    /// How long the load should take.
    pub load: Duration,
}

/// The policy under one setting.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    weight: f64,
    rule: Rule,
}

/// By what a policy unloads.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Rule {
    /// By the wait saved for the memory held: what runs.
    Worth,
    /// What was used least recently, when memory is needed. A measure for comparison.
    LeastRecentlyUsed,
    /// After a fixed idle time. A measure for comparison.
    OnDemand(Duration),
}

impl Policy {
    /// Takes `cold_start_weight`: 1 minds only tail cold-start time, 0 only idle accelerator hours.
    #[must_use]
    pub fn new(weight: f64) -> Self {
        Self {
            weight: weight.clamp(0.0, 1.0),
            rule: Rule::Worth,
        }
    }

    /// Plain least-recently-used, which tests compare with: loaded until memory is needed.
    #[must_use]
    pub fn least_recently_used() -> Self {
        Self {
            weight: 1.0,
            rule: Rule::LeastRecentlyUsed,
        }
    }

    /// Plain load on demand, which tests compare with: unloaded after a fixed idle time.
    #[must_use]
    pub fn on_demand(idle: Duration) -> Self {
        Self {
            weight: 0.0,
            rule: Rule::OnDemand(idle),
        }
    }

    /// How long a replica may idle before that costs as much as a load; `None`: for ever.
    ///
    /// A load holds the memory for its own time and makes a caller wait as long.
    #[must_use]
    pub fn break_even(&self, load: Duration) -> Option<Duration> {
        if self.weight >= 1.0 {
            return None;
        }
        let price = WAIT_PRICE * self.weight / (1.0 - self.weight);
        Duration::try_from_secs_f64(load.as_secs_f64() * (1.0 + price)).ok()
    }

    /// Whether an idle replica is unloaded though nothing needs its memory yet.
    ///
    /// With few idle times known, it idles for the break-even time, which costs at most twice what a policy
    /// that knew the next arrival would spend. With more known, it idles for as long as would have cost least
    /// over those.
    #[must_use]
    pub fn should_unload_idle<K>(&self, now: clock::Instant, replica: &Replica<K>) -> bool {
        let Some(since) = replica.idle_since else {
            return false;
        };
        if let Rule::OnDemand(idle) = self.rule {
            return now.since(since) >= idle;
        }
        let Some(break_even) = self.break_even(replica.load) else {
            return false;
        };
        let break_even = break_even.as_secs_f64();
        let patience = replica.rate.max_idle_seconds(break_even);
        now.since(since).as_secs_f64() >= patience
    }

    /// The seconds of callers' waiting that an hour of a GB for this replica is expected to save.
    #[must_use]
    pub fn savings<K>(&self, now: clock::Instant, replica: &Replica<K>) -> f64 {
        const SECONDS_PER_HOUR: f64 = 3600.0;
        const MB_PER_GB: f64 = 1024.0;
        if self.rule != Rule::Worth {
            let idle = replica
                .idle_since
                .map_or(Duration::ZERO, |since| now.since(since));
            return 1.0 / idle.as_secs_f64().max(LEAST_GAP);
        }
        let gigabytes = replica.memory_mb.max(1) as f64 / MB_PER_GB;
        let arrivals = replica.rate.expected(now) * SECONDS_PER_HOUR;
        arrivals * replica.load.as_secs_f64() / gigabytes
    }

    /// The idle replicas in the order in which they are given up: the one that saves least first.
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

    /// The backend server on which an item of `memory_mb` is loaded; `None` when none has the room, see
    /// [`Self::plan_eviction`].
    ///
    /// The nearest checkpoint first, then the fewest loads and requests in the way, then the tightest fit,
    /// so that room for large models remains.
    #[must_use]
    pub fn choose_server<K>(&self, memory_mb: u64, candidates: &[Candidate<K>]) -> Option<K>
    where
        K: Copy + Ord,
    {
        candidates
            .iter()
            .filter(|candidate| !candidate.holds && candidate.free_mb >= memory_mb)
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

    /// What is unloaded, and where, so that `memory_mb` fit: where the least is lost. Only idle replicas
    /// are given up.
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
        let rooms = servers
            .iter()
            .filter_map(|server| self.victims(now, memory_mb, server));
        rooms.min_by(|a, b| a.loss.total_cmp(&b.loss).then(a.server.cmp(&b.server)))
    }

    /// What a load costs where it takes `load`, and `loss` is given up for it: the smallest is the best place.
    /// A measure for comparison doesn't look at checkpoints once it has to make room.
    #[must_use]
    pub fn cost(&self, load: Duration, waiting: u32, loss: f64) -> f64 {
        match self.rule {
            Rule::Worth => load.as_secs_f64() * f64::from(waiting.max(1)) + loss,
            Rule::LeastRecentlyUsed | Rule::OnDemand(_) => loss,
        }
    }

    /// The order in which cold items are loaded.
    ///
    /// Deadline first, less the time of the load; among near equals what keeps most callers waiting. What
    /// would come too late for all who wait goes last, so that it doesn't make others late as well.
    #[must_use]
    pub fn load_order<K>(&self, now: clock::Instant, wants: &[ColdItem<K>]) -> Vec<K>
    where
        K: Copy + Ord,
    {
        let mut order: Vec<_> = wants
            .iter()
            .map(|want| {
                let late = now.after(want.load) > want.deadline;
                let start = want
                    .deadline
                    .since(clock::Instant::default().after(want.load));
                let step = start.as_millis() / DEADLINE_STEP.as_millis();
                (late, step, Reverse(want.waiting), want.key)
            })
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(.., key)| key).collect()
    }

    fn victims<S, K>(
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
        // What went first may turn out not to be needed beside a larger one that went later.
        for place in (0..victims.len()).rev() {
            let memory_mb = victims[place].memory_mb;
            if freed - memory_mb >= missing {
                freed -= memory_mb;
                victims.remove(place);
            }
        }
        Some(Eviction {
            server: server.server,
            loss: self.loss(now, &victims),
            victims: victims.into_iter().map(|replica| replica.key).collect(),
        })
    }

    /// The wait that is expected within the horizon for want of these replicas, in seconds.
    fn loss<K>(&self, now: clock::Instant, victims: &[&Replica<K>]) -> f64 {
        let losses = victims.iter().map(|replica| match self.rule {
            Rule::Worth => {
                let uses = replica.rate.expected(now) * HORIZON_S;
                replica.load.as_secs_f64() * uses
            }
            Rule::LeastRecentlyUsed | Rule::OnDemand(_) => self.savings(now, replica),
        });
        match self.rule {
            Rule::Worth => losses.sum(),
            Rule::LeastRecentlyUsed | Rule::OnDemand(_) => losses.fold(0.0, f64::max),
        }
    }
}
