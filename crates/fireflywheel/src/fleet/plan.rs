//! Load planning: decides which orders to send next, as a pure function of the steward's view.
//!
//! Three facts shape the plan. A server executes one order at a time, and a load from the weight store blocks
//! any other order for seconds. The weight store is slow and shared by all servers. A copy on a server's own
//! disk loads in under a second. The weight store is therefore used for models without a copy on any server,
//! a few loads at a time, and a model that was fetched once is swapped in from the servers that already store
//! it.

mod ahead;
pub mod concurrency;
mod need;
mod planner;
mod survey;
pub mod trend;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use smol_str::SmolStr;

use super::{config, demand, server};
use crate::clock;

pub use ahead::{Decision, Reason};
pub use need::Need;

/// The state of one engine, as the steward sees it.
#[derive(Clone, Debug, Default)]
pub struct EngineState {
    /// What the engine holds according to its latest report and the orders that it accepted since.
    pub held: server::Held,
    /// Whether the engine accepts requests, is reachable and is not about to stop.
    pub usable: bool,
    /// Whether an order to the engine is in flight, its outcome is not yet known, or the next one is not due
    /// yet.
    pub order_pending: bool,
    /// The model that the engine is loading.
    pub loading: Option<SmolStr>,
    /// Whether that load comes from the weight store.
    pub fetching: bool,
    /// The model that an unload makes room for; loading it is the next order.
    pub making_room_for: Option<SmolStr>,
    /// The time at which the current load started.
    pub loading_since: Option<clock::Instant>,
    /// The number of requests in progress, by model and adapter.
    pub running: BTreeMap<(SmolStr, Option<SmolStr>), u32>,
    /// How long the prompts waiting at the engine take to prefill, averaged over the last moments.
    pub prefill_wait: Duration,
    /// The requests per second that the engine accepts, if it reports a limit.
    pub limit: Option<f64>,
    /// The version of the engine's software, if it is known.
    pub version: Option<SmolStr>,
    /// The times from which the engine has held each model and adapter.
    pub held_since: BTreeMap<(SmolStr, Option<SmolStr>), clock::Instant>,
    /// The engine's failure domain.
    pub failure_domain: SmolStr,
    /// The tokens of prompts that the engine keeps of each model, and that an unload drops.
    pub kept_tokens: BTreeMap<SmolStr, u32>,
}

impl EngineState {
    /// Whether the demand for the models in the engine's memory exceeds its request limit.
    fn is_overloaded(&self, arrival_rates: &BTreeMap<SmolStr, f64>) -> bool {
        let rate = |model: &SmolStr| arrival_rates.get(model).copied().unwrap_or_default();
        let demand = || self.held.models.keys().map(rate).sum::<f64>();
        self.limit.is_some_and(|limit| demand() > limit)
    }

    /// Whether the engine can serve requests that need this version, if they need one.
    fn is_of_version(&self, version: Option<&SmolStr>) -> bool {
        version.is_none() || self.version.as_ref() == version
    }

    /// Whether the engine loads from the weight store, or makes room for such a load.
    fn occupies_weight_store(&self) -> bool {
        let next = self.making_room_for.as_ref();
        self.fetching || next.is_some_and(|model| nearest_tier(self, model) == Tier::WeightStore)
    }
}

/// An order to one engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Loads a model.
    Load {
        /// The index of the engine in [`View::engines`].
        engine: usize,
        /// The model to load.
        model: SmolStr,
        /// The tier that the weights are loaded from.
        tier: Tier,
    },
    /// Unloads a model.
    Unload {
        /// The index of the engine in [`View::engines`].
        engine: usize,
        /// The model to unload.
        model: SmolStr,
        /// The model that the unload makes room for.
        replacement: SmolStr,
    },
    /// Loads an adapter of a model that is in memory.
    LoadAdapter {
        /// The index of the engine in [`View::engines`].
        engine: usize,
        /// The model that the adapter belongs to.
        model: SmolStr,
        /// The adapter to load.
        adapter: SmolStr,
    },
    /// Unloads an adapter.
    UnloadAdapter {
        /// The index of the engine in [`View::engines`].
        engine: usize,
        /// The model that the adapter belongs to.
        model: SmolStr,
        /// The adapter to unload.
        adapter: SmolStr,
    },
}

impl Step {
    /// The index of the engine in [`View::engines`].
    #[must_use]
    pub fn engine(&self) -> usize {
        match self {
            Self::Load { engine, .. }
            | Self::Unload { engine, .. }
            | Self::LoadAdapter { engine, .. }
            | Self::UnloadAdapter { engine, .. } => *engine,
        }
    }

    /// Whether the step loads a model from the weight store.
    #[must_use]
    pub fn is_fetch(&self) -> bool {
        matches!(
            self,
            Self::Load {
                tier: Tier::WeightStore,
                ..
            }
        )
    }
}

/// The storage tier that a model's weights are loaded from.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Tier {
    /// The server's host memory.
    Host,
    /// The server's disk.
    Disk,
    /// The shared weight store.
    WeightStore,
}

impl Tier {
    /// Returns how long a model takes to load from this tier.
    #[must_use]
    pub fn load_time(self, model: &config::Model) -> Duration {
        match self {
            Self::Host => model.host_load_time,
            Self::Disk => model.disk_load_time,
            Self::WeightStore => model.store_load_time,
        }
    }
}

/// The input of a plan.
#[derive(Clone, Debug)]
pub struct View<'a> {
    /// The current time.
    pub now: clock::Instant,
    /// The capacity of an engine of this group and the models that it can hold.
    pub config: &'a config::Engine,
    /// The engines of the group.
    pub engines: &'a [EngineState],
    /// The models and adapters that requests wait for, the longest waiting first.
    pub pending: &'a [demand::Pending],
    /// The arrival rates in requests per second, by model.
    pub arrival_rates: &'a BTreeMap<SmolStr, f64>,
    /// The completion rates of the engines in requests per second, by model.
    pub drain_rates: &'a BTreeMap<SmolStr, f64>,
    /// The maximum number of concurrent loads from the weight store.
    pub max_fetches: usize,
    /// The concurrency estimate for the weight store.
    pub concurrency: concurrency::Estimate,
}

/// Returns the orders to send now, at most one for each engine.
#[must_use]
pub fn steps(view: &View<'_>) -> Vec<Step> {
    let mut planner = new_planner(view, None);
    planner.finish_swaps();
    planner.replicate_saturated();
    planner.load_pending();
    planner.load_adapters();
    planner.replicate_hot();
    planner.prefetch();
    planner.steps
}

/// A plan that follows the trend of the demand.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The orders to send now, at most one for each engine.
    pub steps: Vec<Step>,
    /// Why further replicas are loaded.
    pub decisions: Vec<Decision>,
    /// The replicas that the most requested models have and need.
    pub needs: Vec<(SmolStr, Need)>,
}

/// Plans as [`steps`] does, but ahead of the demand: models get the replicas that their arrival rates need, and give up
/// those that they no longer need.
#[must_use]
pub fn plan_ahead(view: &View<'_>, estimates: &BTreeMap<SmolStr, trend::Estimate>) -> Plan {
    let mut planner = new_planner(view, Some(estimates));
    planner.finish_swaps();
    planner.relieve_saturated();
    planner.load_pending();
    planner.load_adapters();
    planner.replicate_short();
    planner.load_absent();
    planner.prefetch();
    planner.into_plan()
}

fn new_planner<'a>(
    view: &'a View<'a>,
    estimates: Option<&BTreeMap<SmolStr, trend::Estimate>>,
) -> planner::Planner<'a> {
    let active_fetches = view
        .engines
        .iter()
        .filter(|engine| engine.occupies_weight_store())
        .count();
    let survey = survey::Survey::new(view);
    let ahead = estimates.map(|estimates| ahead::Ahead::new(view, &survey, estimates));
    planner::Planner {
        view,
        survey,
        ahead,
        planned_engines: BTreeSet::new(),
        active_fetches,
        planned_versions: BTreeSet::new(),
        steps: Vec::new(),
    }
}

/// Estimates the wait for pending models that have to come from the weight store, and for models whose
/// engines are all full. A model that a server can load from its own disk or host memory is left out, since
/// it is available within a second or two.
#[must_use]
pub fn forecast(view: &View<'_>) -> Vec<(SmolStr, Duration)> {
    let survey = survey::Survey::new(view);
    let active_fetches = view.engines.iter().filter(|engine| engine.fetching).count();
    let mut ahead = active_fetches;
    let mut waits: Vec<(SmolStr, Duration)> = Vec::new();
    let is_pending = |model: &SmolStr| {
        let mut pending = view.pending.iter();
        pending.any(|pending| pending.model == *model && pending.version.is_none())
    };
    for engine in view.engines.iter().filter(|engine| engine.fetching) {
        let loading = engine.loading.as_ref().filter(|model| is_pending(model));
        let known = loading.and_then(|name| Some((name, view.config.models.get(name)?)));
        if let Some(((name, model), since)) = known.zip(engine.loading_since) {
            let time = view
                .concurrency
                .load_time(model.store_load_time, active_fetches);
            let remaining = time.saturating_sub(view.now.since(since));
            waits.push((name.clone(), remaining));
        }
    }
    let unstored = view
        .pending
        .iter()
        .filter(|pending| pending.adapter.is_none())
        .filter(|pending| !survey.has_copy(&pending.model) && !survey.is_loading(&pending.model));
    let mut counted = BTreeSet::new();
    for pending in unstored {
        let Some(model) = view.config.models.get(&pending.model) else {
            continue;
        };
        ahead += usize::from(counted.insert(&pending.model));
        if pending.version.is_none() {
            waits.push((pending.model.clone(), store_wait(view, model, ahead)));
        }
    }
    waits.extend(queue_waits(view, &survey));
    waits
}

/// The time until a model has been loaded from the weight store, if this many loads are before it or run beside it, itself
/// included.
fn store_wait(view: &View<'_>, model: &config::Model, loads: usize) -> Duration {
    let rounds = loads.div_ceil(view.max_fetches.max(1)) as f64;
    model.store_load_time.mul_f64(rounds)
}

/// When a model becomes available at a version of the engines' software.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VersionForecast {
    /// The model.
    pub model: SmolStr,
    /// The version.
    pub version: SmolStr,
    /// The time until then; `None` if no engine of the version is there.
    pub wait: Option<Duration>,
}

/// Estimates the wait for models that requests need at a certain version, under the same conditions as [`forecast`] but for
/// the engines of that version alone.
#[must_use]
pub fn version_forecasts(view: &View<'_>) -> Vec<VersionForecast> {
    let mut seen = BTreeSet::new();
    let versioned = view.pending.iter().filter_map(|pending| {
        let version = pending.version.as_ref()?;
        seen.insert((&pending.model, version))
            .then_some((&pending.model, version))
    });
    let versioned: Vec<(&SmolStr, &SmolStr)> = versioned.collect();
    if versioned.is_empty() {
        return Vec::new();
    }
    let survey = survey::Survey::new(view);
    let active_fetches = view.engines.iter().filter(|engine| engine.fetching).count();
    let mut ahead = active_fetches;
    let mut forecasts = Vec::new();
    for (model, version) in versioned {
        let forecast = |wait| VersionForecast {
            model: model.clone(),
            version: version.clone(),
            wait,
        };
        let Some(copies) = survey.copies(model, version) else {
            forecasts.push(forecast(None));
            continue;
        };
        let Some(known) = view.config.models.get(model) else {
            continue;
        };
        let is_local = copies.is_loading_locally || copies.has_unloaded;
        let wait = if copies.replicas > 0 {
            let drain = view.drain_rates.get(model).copied().unwrap_or_default();
            let share = copies.replicas as f64 / survey.replicas(model).max(1) as f64;
            let queued = f64::from(copies.waiting + copies.excess);
            let is_full = !copies.has_free_slot && !copies.is_loading_locally;
            is_full
                .then(|| Duration::try_from_secs_f64(queued / (drain * share)).ok())
                .flatten()
        } else if is_local {
            None
        } else if let Some(since) = copies.fetching_since {
            let time = view
                .concurrency
                .load_time(known.store_load_time, active_fetches);
            Some(time.saturating_sub(view.now.since(since)))
        } else if copies.is_loading {
            None
        } else {
            ahead += 1;
            Some(store_wait(view, known, ahead))
        };
        forecasts.extend(wait.map(|wait| forecast(Some(wait))));
    }
    forecasts
}

/// Estimates how long the queues take to drain, for models whose engines are all full and of which no further
/// copy is being loaded from a disk or host memory. A request that waits at an engine beyond its slots is
/// ahead of a new request just like a request that waits at an instance, so both are counted.
fn queue_waits(view: &View<'_>, survey: &survey::Survey<'_>) -> BTreeMap<SmolStr, Duration> {
    let drains = view.drain_rates.iter().filter(|(_, drain)| **drain > 0.0);
    let full =
        drains.filter(|(model, _)| survey.is_full(model) && !survey.is_loading_locally(model));
    full.filter_map(|(model, drain)| {
        let queued = survey.waiting(model) + survey.excess(model);
        let wait = Duration::try_from_secs_f64(f64::from(queued) / drain).ok()?;
        Some((model.clone(), wait))
    })
    .collect()
}

/// Returns the reason why a pending model is not available yet, for the log.
#[must_use]
pub fn blocked_reason(view: &View<'_>, pending: &demand::Pending) -> &'static str {
    let survey = survey::Survey::new(view);
    let model = &pending.model;
    if let Some(version) = &pending.version {
        return survey
            .copies(model, version)
            .map_or("no engine of the version is there", |copies| {
                copies.blocked_reason()
            });
    }
    if survey.replicas(model) > 0 {
        return "the model is in memory";
    }
    if survey.is_loading(model) {
        return "the model is being loaded";
    }
    if !survey.has_copy(model) {
        return "no engine stores the model, and the weight store is in use";
    }
    let usable = view.engines.iter().filter(|engine| engine.usable);
    let mut copies = usable.filter(|engine| nearest_tier(engine, model) != Tier::WeightStore);
    if copies.clone().all(|engine| engine.fetching) {
        return "the engines that store the model are loading from the weight store";
    }
    if copies.all(|engine| engine.order_pending || engine.held.busy) {
        return "the engines that store the model are executing orders";
    }
    "no engine that stores the model may evict anything for it"
}

fn nearest_tier(engine: &EngineState, model: &SmolStr) -> Tier {
    if engine.held.in_host_memory.contains(model) {
        Tier::Host
    } else if engine.held.on_disk.contains(model) {
        Tier::Disk
    } else {
        Tier::WeightStore
    }
}
