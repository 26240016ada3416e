//! Which order to send next: a pure function of what is known.
//!
//! Three facts shape it. A server carries out one order at a time, and a load from the weight store keeps it
//! from any other for seconds. The weight store is shared by all servers and slow. A copy on a server's own
//! disk comes back in under a second. So the store is used for what has no copy anywhere, a few loads at a
//! time; and whatever was once fetched is swapped in where its copy lies.

pub mod concurrency;
mod planner;
mod survey;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use smol_str::SmolStr;

use super::{config, demand, server};
use crate::clock;

/// One engine, as the steward sees it.
#[derive(Clone, Debug, Default)]
pub struct EngineState {
    /// What it holds, by its newest report.
    pub held: server::Held,
    /// It takes requests and will go on to.
    pub usable: bool,
    /// An order to it is on its way, or it isn't known how it ended.
    pub order_pending: bool,
    /// The model that it loads.
    pub loading: Option<SmolStr>,
    /// That load is from the weight store.
    pub fetching: bool,
    /// The model that an unload makes room for; its load comes next.
    pub making_room_for: Option<SmolStr>,
    /// Since when it loads.
    pub loading_since: Option<clock::Instant>,
    /// Requests in progress, by model and adapter.
    pub running: BTreeMap<(SmolStr, Option<SmolStr>), u32>,
    /// How long what waits there takes to read, over the last moments.
    pub pressure: Duration,
    /// Requests a second that it takes, if it names a limit.
    pub limit: Option<f64>,
    /// Since when it has held models and adapters.
    pub held_since: BTreeMap<(SmolStr, Option<SmolStr>), clock::Instant>,
}

impl EngineState {
    /// Whether more is asked for of the models that it holds than it takes.
    fn is_short(&self, rates: &BTreeMap<SmolStr, f64>) -> bool {
        let rate = |model: &SmolStr| rates.get(model).copied().unwrap_or_default();
        let asked = || self.held.models.keys().map(rate).sum::<f64>();
        self.limit.is_some_and(|limit| asked() > limit)
    }

    /// It loads from the weight store, or makes room to do so.
    fn fetches(&self) -> bool {
        let next = self.making_room_for.as_ref();
        self.fetching || next.is_some_and(|model| tier(self, model) == Tier::Store)
    }
}

/// What is to be ordered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Load a model.
    Load {
        /// The place of the engine among the engines.
        engine: usize,
        /// The model.
        model: SmolStr,
        /// Where it comes from.
        tier: Tier,
    },
    /// Unload a model.
    Unload {
        /// The place of the engine among the engines.
        engine: usize,
        /// The model.
        model: SmolStr,
        /// The model that this makes room for.
        wanted: SmolStr,
    },
    /// Load an adapter of a model that is there.
    LoadAdapter {
        /// The place of the engine among the engines.
        engine: usize,
        /// The model.
        model: SmolStr,
        /// The adapter.
        adapter: SmolStr,
    },
    /// Unload an adapter.
    UnloadAdapter {
        /// The place of the engine among the engines.
        engine: usize,
        /// The model.
        model: SmolStr,
        /// The adapter.
        adapter: SmolStr,
    },
}

impl Step {
    /// The place of the engine among the engines.
    #[must_use]
    pub fn engine(&self) -> usize {
        match self {
            Self::Load { engine, .. }
            | Self::Unload { engine, .. }
            | Self::LoadAdapter { engine, .. }
            | Self::UnloadAdapter { engine, .. } => *engine,
        }
    }

    /// It is a load from the weight store.
    #[must_use]
    pub fn is_fetch(&self) -> bool {
        matches!(
            self,
            Self::Load {
                tier: Tier::Store,
                ..
            }
        )
    }
}

/// Where a model's weights come from.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Tier {
    /// The server's host memory.
    Host,
    /// The server's disk.
    Disk,
    /// The weight store.
    Store,
}

impl Tier {
    /// How long a load of a model takes from here.
    #[must_use]
    pub fn load_time(self, model: &config::Model) -> Duration {
        match self {
            Self::Host => model.host_load_time,
            Self::Disk => model.disk_load_time,
            Self::Store => model.store_load_time,
        }
    }
}

/// All that a plan rests on.
#[derive(Clone, Debug)]
pub struct View<'a> {
    /// The time.
    pub now: clock::Instant,
    /// What engines of this group can hold.
    pub config: &'a config::Engine,
    /// The engines.
    pub engines: &'a [EngineState],
    /// What is wanted, the longest waiting first.
    pub pending: &'a [demand::Pending],
    /// Requests a second that come, by model.
    pub arrival_rates: &'a BTreeMap<SmolStr, f64>,
    /// Requests a second that engines end, by model.
    pub drain_rates: &'a BTreeMap<SmolStr, f64>,
    /// Loads from the weight store that may run at the same time.
    pub max_fetches: usize,
    /// What is known of the weight store.
    pub concurrency: concurrency::Estimate,
}

/// The orders to send now, at most one for each engine.
#[must_use]
pub fn steps(view: &View<'_>) -> Vec<Step> {
    let fetching = view
        .engines
        .iter()
        .filter(|engine| engine.fetches())
        .count();
    let mut planner = planner::Planner {
        view,
        survey: survey::Survey::new(view),
        taken: BTreeSet::new(),
        fetching,
        steps: Vec::new(),
    };
    planner.finish_swaps();
    planner.spread_overwhelmed();
    planner.bring_wanted();
    planner.bring_adapters();
    planner.spread_busy();
    planner.fetch_ahead();
    planner.steps
}

/// How long callers of each wanted model will wait that comes from the weight store, or whose engines are all full. Models
/// with a copy on a server are left out, since they come within a second or two.
#[must_use]
pub fn forecast(view: &View<'_>) -> Vec<(SmolStr, Duration)> {
    let survey = survey::Survey::new(view);
    let running = view.engines.iter().filter(|engine| engine.fetching).count();
    let mut ahead = running;
    let mut waits: Vec<(SmolStr, Duration)> = Vec::new();
    let wanted = |model: &SmolStr| view.pending.iter().any(|want| want.model == *model);
    for engine in view.engines.iter().filter(|engine| engine.fetching) {
        let loading = engine.loading.as_ref().filter(|model| wanted(model));
        let known = loading.and_then(|name| Some((name, view.config.models.get(name)?)));
        if let Some(((name, model), since)) = known.zip(engine.loading_since) {
            let time = view.concurrency.load_time(model.store_load_time, running);
            let left = time.saturating_sub(view.now.since(since));
            waits.push((name.clone(), left));
        }
    }
    let uncopied = view
        .pending
        .iter()
        .filter(|want| want.adapter.is_none())
        .filter(|want| !survey.has_copy(&want.model) && !survey.is_coming(&want.model));
    for want in uncopied {
        let Some(model) = view.config.models.get(&want.model) else {
            continue;
        };
        ahead += 1;
        let rounds = ahead.div_ceil(view.max_fetches.max(1)) as f64;
        waits.push((want.model.clone(), model.store_load_time.mul_f64(rounds)));
    }
    waits.extend(queues(view, &survey));
    waits
}

/// How long the queues of models take to drain whose engines are all full, and that no disk brings another copy of.
/// Whoever waits at an engine beyond those that it runs is as far ahead as those that wait at their instances.
fn queues(view: &View<'_>, survey: &survey::Survey<'_>) -> BTreeMap<SmolStr, Duration> {
    let drains = view.drain_rates.iter().filter(|(_, drain)| **drain > 0.0);
    let full = drains.filter(|(model, _)| survey.is_full(model) && !survey.comes_soon(model));
    full.filter_map(|(model, drain)| {
        let queued = survey.waiting(model) + survey.beyond(model);
        let wait = Duration::try_from_secs_f64(f64::from(queued) / drain).ok()?;
        Some((model.clone(), wait))
    })
    .collect()
}

/// Why a wanted model can't be used yet, for the log.
#[must_use]
pub fn blocked_reason(view: &View<'_>, model: &SmolStr) -> &'static str {
    let survey = survey::Survey::new(view);
    if survey.copies(model) > 0 {
        return "it is there";
    }
    if survey.is_coming(model) {
        return "it is being loaded";
    }
    if !survey.has_copy(model) {
        return "it has no copy, and the weight store is in use";
    }
    let usable = view.engines.iter().filter(|engine| engine.usable);
    let mut copies = usable.filter(|engine| tier(engine, model) != Tier::Store);
    if copies.clone().all(|engine| engine.fetching) {
        return "engines with a copy load from the weight store";
    }
    if copies.all(|engine| engine.order_pending || engine.held.busy) {
        return "engines with a copy carry out orders";
    }
    "nothing may make room for it"
}

fn tier(engine: &EngineState, model: &SmolStr) -> Tier {
    if engine.held.in_host_memory.contains(model) {
        Tier::Host
    } else if engine.held.on_disk.contains(model) {
        Tier::Disk
    } else {
        Tier::Store
    }
}
