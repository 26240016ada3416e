//! Builds the plan: collects steps in the order of their priority.

use std::collections::BTreeSet;
use std::time::Duration;

use smol_str::SmolStr;

use super::ahead::Ahead;
use super::survey::{Copies, Survey};
use super::{EngineState, Step, Tier, View, nearest_tier};

/// The number of requests in progress on one replica above which another replica is loaded: beyond it, each
/// further request slows down all others of its batch.
pub(super) const HOT_REQUESTS_PER_REPLICA: u32 = 8;
/// The prefill wait at each replica of a model above which another replica is loaded: half of the shortest
/// objective for the first event.
pub(super) const HOT_PREFILL_WAIT: Duration = Duration::from_millis(400);
/// The prefill wait above which another replica is loaded before all other models, and fetched from the
/// weight store if necessary, even while models that no request waits for have no copy on any server.
pub(super) const SATURATED_PREFILL_WAIT: Duration = Duration::from_millis(1200);
/// The time that a model stays in memory after its load, so that the requests that waited for it reach it
/// before it can be evicted.
const MIN_MODEL_RESIDENCE: Duration = Duration::from_millis(600);
/// The time that an adapter stays in memory after its load, for the same reason as [`MIN_MODEL_RESIDENCE`].
const MIN_ADAPTER_RESIDENCE: Duration = Duration::from_millis(300);
/// The cost, in seconds, added for an engine that reports a request limit, whether or not the demand reaches
/// it. A model goes there only if every other placement takes this much longer.
const LIMITED_ENGINE_PENALTY_S: f64 = 3.0;
/// The arrival rate, in requests per second, assumed for models that are never requested, so that larger
/// models are evicted before smaller ones.
const MIN_ARRIVAL_RATE: f64 = 0.001;
/// The weight, in the cost of a placement, of one second that requests have waited for the model. It lowers
/// the costs of all placements of a model alike, and only placements of one model are compared, so it doesn't
/// change which of them is chosen.
const WAIT_WEIGHT: f64 = 1.0;

/// A possible placement of a model on one engine.
#[derive(Clone, Debug)]
pub(super) struct Placement {
    pub(super) engine: usize,
    pub(super) tier: Tier,
    /// The model to evict first; `None` if the model can be loaded at once.
    victim: Option<SmolStr>,
    /// The sum of times in seconds and of the requests for other models that the placement delays or leaves
    /// without a replica; one such request counts as one second.
    pub(super) cost: f64,
    /// The part of the cost that the evictions cause.
    pub(super) eviction_cost: f64,
}

impl Placement {
    /// Returns the next order that this placement needs.
    fn step(self, replacement: &SmolStr) -> Step {
        match self.victim {
            Some(victim) => Step::Unload {
                engine: self.engine,
                model: victim,
                replacement: replacement.clone(),
            },
            None => Step::Load {
                engine: self.engine,
                model: replacement.clone(),
                tier: self.tier,
            },
        }
    }
}

/// The steps chosen so far, and the state that they were chosen from.
pub(super) struct Planner<'a> {
    pub(super) view: &'a View<'a>,
    pub(super) survey: Survey<'a>,
    /// What the plan needs to be ahead of the demand; `None` if it only reacts to it.
    pub(super) ahead: Option<Ahead<'a>>,
    /// The engines that this plan already has a step for.
    pub(super) planned_engines: BTreeSet<usize>,
    pub(super) active_fetches: usize,
    /// The models that this plan loads, or makes room for, at versions that requests wait for.
    pub(super) planned_versions: BTreeSet<(SmolStr, SmolStr)>,
    pub(super) steps: Vec<Step>,
}

impl<'a> Planner<'a> {
    /// Continues on engines that have made room for a model. If the next plan chose anew, it would often make
    /// room at another engine as well while this one pauses after its unload, and two models would be evicted
    /// to load one.
    pub(super) fn finish_swaps(&mut self) {
        let view = self.view;
        for (index, engine) in view.engines.iter().enumerate() {
            let Some(model) = &engine.making_room_for else {
                continue;
            };
            if let Some(placement) = self.placement(index, model) {
                self.push_step(placement.step(model));
            }
        }
    }

    /// Loads models that requests wait for and that have no replica on a usable engine within its request
    /// limit.
    pub(super) fn load_pending(&mut self) {
        let view = self.view;
        let mut seen = BTreeSet::new();
        for pending in view.pending {
            let model = &pending.model;
            if !seen.insert(model) {
                continue;
            }
            let is_served = self.load_versions(model);
            let mut others = view.pending.iter();
            let is_needed = pending.version.is_none()
                || others.any(|other| other.model == *model && other.version.is_none());
            if !is_needed
                || is_served
                || self.survey.replicas(model) > 0
                || self.is_loading_for_all(model)
            {
                continue;
            }
            let waited = view.now.since(pending.since).as_secs_f64();
            if let Some(placement) = self.best_placement(model, None, waited, true) {
                self.add_placement(model, placement);
            }
        }
    }

    /// Loads a model at each version at which requests wait for a copy. Returns whether that serves requests that any
    /// version can run as well as a load for these would: a copy that comes from the weight store is later than one that
    /// another version has on a disk.
    pub(super) fn load_versions(&mut self, model: &SmolStr) -> bool {
        let view = self.view;
        let mut is_served = false;
        if !self.survey.has_versions() {
            return is_served;
        }
        for pending in view.pending.iter().filter(|other| other.model == *model) {
            let Some(version) = &pending.version else {
                continue;
            };
            let copies = self.survey.copies(model, version);
            let key = (model.clone(), version.clone());
            if !copies.is_some_and(Copies::is_short) || self.planned_versions.contains(&key) {
                continue;
            }
            let waited = view.now.since(pending.since).as_secs_f64();
            if let Some(placement) = self.best_placement(model, Some(version), waited, true) {
                is_served |=
                    placement.tier != Tier::WeightStore || !self.survey.has_unloaded_copy(model);
                self.planned_versions.insert(key);
                self.add_placement(model, placement);
            }
        }
        is_served
    }

    /// Whether a load in progress serves the requests for a model that any version can run. One from the weight store, for
    /// streams of one version, doesn't if another version has the model on a disk.
    fn is_loading_for_all(&self, model: &SmolStr) -> bool {
        let mut pending = self.view.pending.iter();
        self.survey.is_loading(model)
            && (self.survey.is_loading_locally(model)
                || !self.survey.has_unloaded_copy(model)
                || !pending.any(|other| other.model == *model && other.version.is_some()))
    }

    /// Whether this plan loads the model for streams of a version.
    pub(super) fn is_planned(&self, model: &SmolStr) -> bool {
        let mut planned = self.planned_versions.iter();
        planned.any(|(planned, _)| planned == model)
    }

    /// Loads adapters that requests wait for on an engine that holds their model.
    pub(super) fn load_adapters(&mut self) {
        let view = self.view;
        // One load serves requests of all versions if it is made where streams need it.
        let versioned = view.pending.iter().filter(|one| one.version.is_some());
        let others = view.pending.iter().filter(|one| one.version.is_none());
        for pending in versioned.chain(others) {
            let Some(adapter) = &pending.adapter else {
                continue;
            };
            let version = pending.version.as_ref();
            let has_adapter = |engine: &EngineState| {
                engine.held.holds(&pending.model, Some(adapter))
                    || engine
                        .held
                        .loading_adapters
                        .contains(&(pending.model.clone(), adapter.clone()))
            };
            if view
                .engines
                .iter()
                .any(|engine| engine.usable && engine.is_of_version(version) && has_adapter(engine))
            {
                continue;
            }
            let is_planned = self.steps.iter().any(|step| {
                matches!(step, Step::LoadAdapter { model, adapter: planned, .. }
                    if *model == pending.model && planned == adapter)
            });
            if is_planned && version.is_none() {
                continue;
            }
            self.load_adapter(&pending.model, adapter, version);
        }
    }

    fn load_adapter(&mut self, model: &SmolStr, adapter: &SmolStr, version: Option<&SmolStr>) {
        let view = self.view;
        let target = (0..view.engines.len())
            .filter(|index| !self.planned_engines.contains(index))
            .filter(|index| {
                let engine = &view.engines[*index];
                engine.usable
                    && engine.is_of_version(version)
                    && !engine.order_pending
                    && !engine.held.busy
                    && engine.held.holds(model, None)
            })
            .min_by_key(|index| {
                let engine = &view.engines[*index];
                (
                    engine.held.adapters() >= view.config.adapter_slots,
                    engine.held.adapters(),
                )
            });
        let Some(index) = target else {
            return;
        };
        let engine = &view.engines[index];
        let required_mb = view
            .config
            .models
            .get(model)
            .map_or(0.0, |model| model.adapter_mb);
        let fits = engine.held.adapters() < view.config.adapter_slots
            && self.free_memory_mb(index) >= required_mb;
        if fits {
            self.push_step(Step::LoadAdapter {
                engine: index,
                model: model.clone(),
                adapter: adapter.clone(),
            });
        } else if let Some((model, adapter)) = self.evictable_adapter(index) {
            self.push_step(Step::UnloadAdapter {
                engine: index,
                model,
                adapter,
            });
        }
    }

    /// Returns the adapter that the engine has held longest, among those that no request uses or waits for.
    fn evictable_adapter(&self, index: usize) -> Option<(SmolStr, SmolStr)> {
        let engine = &self.view.engines[index];
        let is_pending = |model: &SmolStr, adapter: &SmolStr| {
            let mut pending = self.view.pending.iter();
            pending
                .any(|pending| pending.model == *model && pending.adapter.as_ref() == Some(adapter))
        };
        engine
            .held
            .models
            .iter()
            .flat_map(|(model, adapters)| adapters.iter().map(move |adapter| (model, adapter)))
            .filter(|(model, adapter)| !is_pending(model, adapter))
            .map(|(model, adapter)| {
                let key = (model.clone(), Some(adapter.clone()));
                (
                    engine.held_since.get(&key).copied().unwrap_or_default(),
                    key,
                )
            })
            .filter(|(since, _)| self.view.now.since(*since) >= MIN_ADAPTER_RESIDENCE)
            .filter(|(_, key)| engine.running.get(key).copied().unwrap_or_default() == 0)
            .min_by_key(|(since, _)| *since)
            .and_then(|(_, (model, adapter))| Some((model, adapter?)))
    }

    /// Adds replicas of models whose engines are all full and have more requests than they run at once, or
    /// whose prefill wait exceeds [`SATURATED_PREFILL_WAIT`]. This comes before loads for waiting requests:
    /// if these loads queued at the weight store behind models that only an occasional caller requests, most
    /// callers would be refused meanwhile.
    pub(super) fn replicate_saturated(&mut self) {
        for model in self.hot_models() {
            if !self.is_saturated(model) || self.load_versions(model) {
                continue;
            }
            if let Some(placement) = self.best_placement(model, None, 0.0, true) {
                self.add_placement(model, placement);
            }
        }
    }

    /// Adds replicas of other hot models.
    pub(super) fn replicate_hot(&mut self) {
        let may_fetch = self.unstored_models().next().is_none();
        for model in self.hot_models() {
            if !self.is_saturated(model)
                && !self.is_planned(model)
                && let Some(placement) = self.best_placement(model, None, 0.0, may_fetch)
            {
                self.add_placement(model, placement);
            }
        }
    }

    /// Returns the models whose replicas are overloaded, the most loaded first.
    fn hot_models(&self) -> Vec<&'a SmolStr> {
        let models = self.view.config.models.keys();
        let mut hot: Vec<(u32, &SmolStr)> = models
            // Only a load from a disk or host memory counts: a copy from the weight store is ten seconds
            // away, which is no reason to leave copies on other disks unused.
            .filter(|model| !self.survey.is_loading_locally(model))
            .filter_map(|model| {
                let replicas = u32::try_from(self.survey.replicas(model)).unwrap_or(u32::MAX);
                let requests = self.survey.requests(model);
                let many_requests = requests > replicas * HOT_REQUESTS_PER_REPLICA;
                let long_wait = requests > 0 && self.survey.prefill_wait(model) > HOT_PREFILL_WAIT;
                (replicas > 0 && (many_requests || long_wait)).then(|| (requests / replicas, model))
            })
            .collect();
        hot.sort_by(|a, b| b.cmp(a));
        hot.into_iter().map(|(_, model)| model).collect()
    }

    fn is_saturated(&self, model: &SmolStr) -> bool {
        let replicas = u32::try_from(self.survey.replicas(model)).unwrap_or(u32::MAX);
        let slots = replicas.saturating_mul(self.view.config.slots);
        let many_requests = self.survey.is_full(model) && self.survey.requests(model) > slots;
        many_requests || self.survey.prefill_wait(model) > SATURATED_PREFILL_WAIT
    }

    /// Fetches models of which no usable engine has a copy, the most requested first, as far as `max_fetches`
    /// allows more fetches.
    pub(super) fn prefetch(&mut self) {
        let view = self.view;
        let mut unstored_models: Vec<SmolStr> = self.unstored_models().cloned().collect();
        unstored_models.sort_by(|a, b| self.arrival_rate(b).total_cmp(&self.arrival_rate(a)));
        for model in unstored_models {
            if self.active_fetches >= view.max_fetches {
                return;
            }
            if self.is_planned(&model) {
                continue;
            }
            if let Some(placement) = self.best_placement(&model, None, 0.0, true) {
                self.add_placement(&model, placement);
            }
        }
    }

    pub(super) fn unstored_models(&self) -> impl Iterator<Item = &SmolStr> {
        let view = self.view;
        let models = view.config.models.keys();
        models.filter(move |model| !self.survey.has_copy(model) && !self.survey.is_loading(model))
    }

    pub(super) fn add_placement(&mut self, model: &SmolStr, placement: Placement) {
        if placement.tier == Tier::WeightStore {
            self.active_fetches += 1;
        }
        self.push_step(placement.step(model));
    }

    fn push_step(&mut self, step: Step) {
        self.planned_engines.insert(step.engine());
        if let Some(ahead) = &mut self.ahead {
            ahead.count_step(&step);
        }
        self.steps.push(step);
    }

    /// Returns the cheapest placement of a model among the engines, of a version if one is given, that can take an order now.
    fn best_placement(
        &self,
        model: &SmolStr,
        version: Option<&SmolStr>,
        waited: f64,
        may_fetch: bool,
    ) -> Option<Placement> {
        let has_better = match version {
            Some(version) => {
                let copies = self.survey.copies(model, version);
                copies.is_none_or(|copies| copies.has_unloaded || copies.is_loading)
            }
            None => self.survey.has_unloaded_copy(model) || self.survey.is_loading(model),
        };
        let may_fetch = may_fetch && self.active_fetches < self.view.max_fetches && !has_better;
        let budget = match version {
            Some(_) => f64::INFINITY,
            None => self.eviction_budget(model, waited),
        };
        (0..self.view.engines.len())
            .filter(|index| !self.planned_engines.contains(index))
            .filter(|index| self.view.engines[*index].is_of_version(version))
            .filter_map(|index| self.placement(index, model))
            // A model that another engine stores is loaded there, even if that engine is busy and has to be
            // waited for.
            .filter(|placement| placement.tier != Tier::WeightStore || may_fetch)
            .filter(|placement| placement.eviction_cost <= budget)
            .map(|placement| Placement {
                cost: placement.cost - waited * WAIT_WEIGHT,
                ..placement
            })
            .min_by(|a, b| a.cost.total_cmp(&b.cost))
    }

    pub(super) fn placement(&self, index: usize, name: &SmolStr) -> Option<Placement> {
        let engine = &self.view.engines[index];
        if !engine.usable
            || engine.order_pending
            || engine.held.busy
            || engine.held.models.contains_key(name)
        {
            return None;
        }
        let model = self.view.config.models.get(name)?;
        let tier = nearest_tier(engine, name);
        let time = tier.load_time(model);
        let victims = self.victims(index, name, model.memory_mb)?;
        let eviction_cost: f64 = victims
            .iter()
            .map(|victim| self.eviction_cost(index, victim))
            .sum();
        // A load at this engine delays the swaps of all models stored there.
        let swap_rate = match &self.ahead {
            Some(ahead) => *ahead.swap_rates[index].get_or_init(|| self.swap_rate(index)),
            None => self.swap_rate(index),
        };
        let swap_delay_cost = swap_rate * time.as_secs_f64();
        let limit_penalty = engine.limit.map_or(0.0, |_| LIMITED_ENGINE_PENALTY_S);
        Some(Placement {
            engine: index,
            tier,
            victim: victims.into_iter().next(),
            cost: time.as_secs_f64()
                + eviction_cost
                + swap_delay_cost
                + limit_penalty
                + engine.prefill_wait.as_secs_f64(),
            eviction_cost,
        })
    }

    /// Returns the models to evict to make room, the cheapest first, or `None` if the engine can't make
    /// enough room.
    pub(super) fn victims(
        &self,
        index: usize,
        replacement: &SmolStr,
        required_mb: f64,
    ) -> Option<Vec<SmolStr>> {
        let mut free_mb = self.free_memory_mb(index);
        let mut victims = Vec::new();
        if free_mb >= required_mb {
            return Some(victims);
        }
        let engine = &self.view.engines[index];
        let mut idle: Vec<(f64, &SmolStr, f64)> = engine
            .held
            .models
            .keys()
            .filter(|model| *model != replacement && self.is_evictable(index, model))
            .filter_map(|model| {
                let size = self.view.config.models.get(model)?.memory_mb;
                Some((self.eviction_cost(index, model) / size, model, size))
            })
            .collect();
        idle.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (_, model, size) in idle {
            free_mb += size;
            victims.push(model.clone());
            if free_mb >= required_mb {
                return Some(victims);
            }
        }
        None
    }

    fn is_evictable(&self, index: usize, model: &SmolStr) -> bool {
        let engine = &self.view.engines[index];
        let running: u32 = engine
            .running
            .iter()
            .filter(|((running, _), _)| running == model)
            .map(|(_, count)| count)
            .sum();
        let since = engine
            .held_since
            .get(&(model.clone(), None))
            .copied()
            .unwrap_or_default();
        if let Some(ahead) = &self.ahead {
            return self.view.now.since(since) >= MIN_MODEL_RESIDENCE
                && !self.is_last_at_version(index, model)
                && ahead.may_evict(engine, model, running);
        }
        let replicas = u32::try_from(self.survey.replicas(model)).unwrap_or(u32::MAX);
        let mut pending = self.view.pending.iter();
        let is_pending =
            pending.any(|pending| pending.model == *model && pending.version.is_none());
        let needed = (replicas <= 1 && is_pending) || self.is_last_at_version(index, model);
        let many_requests =
            self.survey.requests(model) > replicas.saturating_sub(1) * HOT_REQUESTS_PER_REPLICA;
        let is_hot =
            replicas > 0 && (many_requests || self.survey.prefill_wait(model) > HOT_PREFILL_WAIT);
        let is_redundant = replicas > 1 && !is_hot;
        let stayed_long_enough = self.view.now.since(since) >= MIN_MODEL_RESIDENCE;
        running == 0
            && stayed_long_enough
            && !needed
            && (is_redundant || self.survey.requests(model) == 0)
    }

    /// Whether streams of the engine's version need this copy.
    fn is_last_at_version(&self, index: usize, model: &SmolStr) -> bool {
        let version = self.view.engines[index].version.as_ref();
        let copies = version.and_then(|version| self.survey.copies(model, version));
        copies.is_some_and(|copies| copies.replicas <= 1)
    }

    /// Returns the cost of evicting this replica: the number of requests that it would receive in its reload
    /// time and one second more.
    fn eviction_cost(&self, index: usize, model: &SmolStr) -> f64 {
        let engine = &self.view.engines[index];
        let replicas = self.survey.replicas(model).max(1) as f64;
        let known = self.view.config.models.get(model);
        let reload_time = known.map_or(Duration::ZERO, |known| {
            nearest_tier(engine, model).load_time(known)
        });
        if let Some(ahead) = &self.ahead {
            return ahead.eviction_cost(engine, model, reload_time);
        }
        self.arrival_rate(model) / replicas * (1.0 + reload_time.as_secs_f64())
    }

    /// Returns the arrival rate of models that this engine stores and that have no replica on a usable engine
    /// within its request limit.
    fn swap_rate(&self, index: usize) -> f64 {
        let held = &self.view.engines[index].held;
        held.on_disk
            .union(&held.in_host_memory)
            .filter(|model| self.survey.replicas(model) == 0)
            .map(|model| self.arrival_rate(model))
            .sum()
    }

    pub(super) fn arrival_rate(&self, model: &SmolStr) -> f64 {
        self.view
            .arrival_rates
            .get(model)
            .copied()
            .unwrap_or_default()
            .max(MIN_ARRIVAL_RATE)
    }

    fn free_memory_mb(&self, index: usize) -> f64 {
        let engine = &self.view.engines[index];
        let size = |model: &SmolStr| {
            let known = self.view.config.models.get(model);
            // A model that isn't in the configuration has an unknown size, so nothing is placed beside it.
            known.map_or(self.view.config.memory_mb, |known| known.memory_mb)
        };
        let adapter_size = |model: &SmolStr| {
            let known = self.view.config.models.get(model);
            known.map_or(0.0, |known| known.adapter_mb)
        };
        let models: f64 = engine.held.models.keys().map(size).sum();
        let loading = engine
            .loading
            .iter()
            .filter(|model| !engine.held.models.contains_key(*model));
        let loading: f64 = loading.map(size).sum();
        let adapters: f64 = engine
            .held
            .models
            .iter()
            .map(|(model, adapters)| adapter_size(model) * adapters.len() as f64)
            .sum();
        let loading_adapters: f64 = engine
            .held
            .loading_adapters
            .iter()
            .map(|(model, _)| adapter_size(model))
            .sum();
        self.view.config.memory_mb - models - loading - adapters - loading_adapters
    }
}
