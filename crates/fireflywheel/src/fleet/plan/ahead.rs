//! Plans ahead of the demand: replicas before a queue forms, from room that models no longer need.

use std::cell::OnceCell;
use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;

use super::need::{Need, Needs, has_free_slot};
use super::planner::{Placement, Planner};
use super::survey::Survey;
use super::{EngineState, Plan, Step, Tier, View, trend};

/// The number of requests that may still run of a replica that is unloaded. The unload waits until they have ended, and
/// the engine executes no other order meanwhile.
const MAX_REQUESTS_AT_UNLOAD: u32 = 2;
/// The cost, in requests, of waiting for the end of one such request.
const RUNNING_REQUEST_COST: f64 = 0.02;
/// The eviction cost that a further replica is worth while the existing ones have slots left. Last replicas are evicted
/// for it only if a request for them is unlikely before they could be loaded again.
const SHORT_BUDGET: f64 = 0.25;
/// The part of the requests expected for an absent model, in the time of a load and one second more, up to which others
/// may be evicted for it. With a part near 1, models of similar rates would evict each other in turn.
const ABSENT_BUDGET_RATIO: f64 = 0.25;
/// The eviction cost by which each second that a request has waited raises what its model may evict. Without it, a model
/// whose engines hold only models in demand would never be loaded.
const WAITED_BUDGET_PER_S: f64 = 4.0;
/// The number of absent models that a plan considers. Each takes a look at all engines that store it.
const MAX_ABSENT_MODELS: usize = 16;
/// The part of the engines that may load from their disks at once for a plan to load absent models. Requests that arrive
/// meanwhile for other models find engines that can take orders.
const MAX_LOADING_RATIO: f64 = 0.125;
/// The prompt tokens that an engine reads in a second. Dropping kept prompts costs the time to read them again.
const PREFILL_TOKENS_PER_S: f64 = 38_700.0;
/// The cost of a placement, in seconds, if all replicas of the model are in the same failure domain already. It is about the
/// time of a load from a disk, so that a copy on another disk is preferred but none is fetched.
const SAME_DOMAIN_COST_S: f64 = 0.5;
/// The number of models that a plan reports.
const MAX_REPORTED_NEEDS: usize = 10;

/// Why a replica is loaded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The replicas are full, or will be when this one is loaded.
    Saturated,
    /// The replicas have more requests than they should have on average.
    Short,
    /// No engine holds the model, and there is room for it.
    Absent,
}

impl Reason {
    /// The name of the reason in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Saturated => "replicas are full",
            Self::Short => "replicas are short",
            Self::Absent => "no replica",
        }
    }
}

/// A decision to load a replica.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// The model.
    pub model: SmolStr,
    /// The replicas that it has and needs.
    pub need: Need,
    /// Why one is loaded.
    pub reason: Reason,
}

/// What a plan needs to be ahead of the demand.
#[derive(Clone, Debug)]
pub(super) struct Ahead<'a> {
    needs: Needs<'a>,
    slots: u32,
    /// The arrival rates of the models that each engine would have to swap in, as far as they were needed.
    pub(super) swap_rates: Vec<OnceCell<f64>>,
    /// The replicas that this plan evicts.
    evicted: BTreeMap<SmolStr, usize>,
    decisions: Vec<Decision>,
}

impl<'a> Ahead<'a> {
    pub(super) fn new(
        view: &View<'a>,
        survey: &Survey<'a>,
        estimates: &BTreeMap<SmolStr, trend::Estimate>,
    ) -> Self {
        Self {
            needs: Needs::new(view, survey, estimates),
            slots: view.config.slots,
            swap_rates: vec![OnceCell::new(); view.engines.len()],
            evicted: BTreeMap::new(),
            decisions: Vec::new(),
        }
    }

    pub(super) fn count_step(&mut self, step: &Step) {
        if let Step::Unload { model, .. } = step {
            *self.evicted.entry(model.clone()).or_default() += 1;
        }
    }

    /// Whether a replica with this many requests may be evicted, if another model is worth it.
    pub(super) fn may_evict(&self, engine: &EngineState, model: &SmolStr, running: u32) -> bool {
        let is_idle = running == 0
            && self.needs.get(model).requests == 0
            && !self.needs.is_pending(model)
            && !self.evicted.contains_key(model);
        is_idle || self.is_spare(engine, model, running)
    }

    /// Returns the cost of evicting a replica, in requests: those that it would receive in its reload time and one second
    /// more. A spare replica costs only what its engine keeps of prompts, and the wait for its requests.
    pub(super) fn eviction_cost(
        &self,
        engine: &EngineState,
        model: &SmolStr,
        reload_time: Duration,
    ) -> f64 {
        let running = engine.running.iter();
        let running: u32 = running
            .filter(|((running, _), _)| running == model)
            .map(|(_, count)| count)
            .sum();
        let kept = engine.kept_tokens.get(model).copied().unwrap_or_default();
        let reread_cost = f64::from(kept) / PREFILL_TOKENS_PER_S;
        if self.is_spare(engine, model, running) {
            return f64::from(running) * RUNNING_REQUEST_COST + reread_cost;
        }
        let need = self.needs.get(model);
        let replicas = need.replicas.max(1) as f64;
        need.rate / replicas * (1.0 + reload_time.as_secs_f64()) + reread_cost
    }

    fn is_spare(&self, engine: &EngineState, model: &SmolStr, running: u32) -> bool {
        let evicted = self.evicted.get(model).copied().unwrap_or_default();
        let leaving = evicted + usize::from(has_free_slot(engine, self.slots));
        running <= MAX_REQUESTS_AT_UNLOAD && self.needs.is_spare(model, leaving)
    }
}

impl Planner<'_> {
    /// Loads replicas of models whose replicas are full, or will be. They come before loads for waiting requests, since
    /// more callers wait for them.
    pub(super) fn relieve_saturated(&mut self) {
        let Some(ahead) = &self.ahead else {
            return;
        };
        let budget = f64::from(self.view.config.slots);
        for (model, need) in ahead.needs.short() {
            if need.is_saturated && !self.load_versions(model) {
                self.replicate(model, need, Reason::Saturated, budget);
                self.fetch_if_stuck(model, need);
            }
        }
    }

    /// Loads replicas of the other models that are short.
    pub(super) fn replicate_short(&mut self) {
        let Some(ahead) = &self.ahead else {
            return;
        };
        for (model, need) in ahead.needs.short() {
            if !need.is_saturated && !self.is_planned(model) {
                self.replicate(model, need, Reason::Short, SHORT_BUDGET);
            }
        }
    }

    /// Loads models that no engine holds before requests wait for them, as far as there is room.
    pub(super) fn load_absent(&mut self) {
        let Some(ahead) = &self.ahead else {
            return;
        };
        let usable = self.view.engines.iter().filter(|engine| engine.usable);
        let loading = usable.clone().filter(|engine| {
            (engine.loading.is_some() || engine.making_room_for.is_some()) && !engine.fetching
        });
        let limit = (usable.clone().count() as f64 * MAX_LOADING_RATIO).ceil() as usize;
        let mut room = limit.saturating_sub(loading.count() + self.steps.len());
        for (model, need) in ahead.needs.absent().into_iter().take(MAX_ABSENT_MODELS) {
            if room == 0 {
                return;
            }
            let load_time = self.disk_load_time(model);
            let rate = need.rate * (1.0 + load_time.as_secs_f64());
            let budget = rate * ABSENT_BUDGET_RATIO;
            if !self.is_planned(model)
                && let Some(placement) = self.local_placement(model, need, budget)
            {
                self.decide(model, need, Reason::Absent);
                self.add_placement(model, placement);
                room -= 1;
            }
        }
    }

    /// What a model that requests wait for may evict, in requests.
    pub(super) fn eviction_budget(&self, model: &SmolStr, waited: f64) -> f64 {
        self.ahead.as_ref().map_or(f64::INFINITY, |ahead| {
            let need = ahead.needs.get(model);
            f64::from(need.requests) + need.rate + waited * WAITED_BUDGET_PER_S
        })
    }

    /// Returns the plan with its reasons.
    pub(super) fn into_plan(self) -> Plan {
        let (decisions, needs) = self.ahead.map_or_else(Default::default, |ahead| {
            let needs = ahead.needs.most_loaded(MAX_REPORTED_NEEDS).into_iter();
            let needs = needs.map(|(model, need)| (model.clone(), need)).collect();
            (ahead.decisions, needs)
        });
        Plan {
            steps: self.steps,
            decisions,
            needs,
        }
    }

    /// Loads the missing replicas of a model from disks and host memory.
    fn replicate(&mut self, model: &SmolStr, need: Need, reason: Reason, budget: f64) {
        for _ in 0..need.missing() {
            let Some(placement) = self.local_placement(model, need, budget) else {
                return;
            };
            self.decide(model, need, reason);
            self.add_placement(model, placement);
        }
    }

    /// Fetches a model from the weight store if no engine that stores it can make room for it soon.
    fn fetch_if_stuck(&mut self, model: &SmolStr, need: Need) {
        let Some(ahead) = &self.ahead else {
            return;
        };
        let is_loading = need.loading > 0 || need.is_fetched;
        let is_planned = ahead
            .decisions
            .iter()
            .any(|decision| decision.model == *model);
        if is_loading || is_planned || self.active_fetches >= self.view.max_fetches {
            return;
        }
        let copies = ahead.needs.copies(model);
        if copies.iter().any(|index| self.can_make_room(*index, model)) {
            return;
        }
        let budget = f64::from(self.view.config.slots);
        let placement = (0..self.view.engines.len())
            .filter(|index| !self.planned_engines.contains(index))
            .filter_map(|index| self.placement(index, model))
            .filter(|placement| placement.eviction_cost <= budget)
            .min_by(|a, b| a.cost.total_cmp(&b.cost));
        if let Some(placement) = placement {
            self.decide(model, need, Reason::Saturated);
            self.add_placement(model, placement);
        }
    }

    /// Whether an engine can take the model when it has executed its order. One that loads from the weight store is
    /// occupied for seconds.
    fn can_make_room(&self, index: usize, name: &SmolStr) -> bool {
        let engine = &self.view.engines[index];
        let known = self.view.config.models.get(name);
        !engine.fetching
            && known.is_some_and(|model| self.victims(index, name, model.memory_mb).is_some())
    }

    fn local_placement(&self, model: &SmolStr, need: Need, budget: f64) -> Option<Placement> {
        let ahead = self.ahead.as_ref()?;
        let copies = ahead.needs.copies(model).iter().copied();
        copies
            .filter(|index| !self.planned_engines.contains(index))
            // A replica beside one that fills the engine would be of no use.
            .filter(|index| has_free_slot(&self.view.engines[*index], ahead.slots))
            .filter_map(|index| self.placement(index, model))
            .filter(|placement| placement.tier != Tier::WeightStore)
            .filter(|placement| placement.eviction_cost <= budget)
            .map(|placement| (self.domain_cost(&placement, model, need), placement))
            .min_by(|(a, _), (b, _)| a.total_cmp(b))
            .map(|(_, placement)| placement)
    }

    /// The cost of a placement, with that of having many replicas of the model in one failure domain.
    fn domain_cost(&self, placement: &Placement, model: &SmolStr, need: Need) -> f64 {
        if need.replicas == 0 {
            return placement.cost;
        }
        let domain = &self.view.engines[placement.engine].failure_domain;
        let engines = self.view.engines.iter().filter(|engine| engine.usable);
        let holders = engines.filter(|engine| engine.held.models.contains_key(model));
        let beside = holders.filter(|engine| engine.failure_domain == *domain);
        let share = beside.count() as f64 / need.replicas as f64;
        placement.cost + share.min(1.0) * SAME_DOMAIN_COST_S
    }

    fn decide(&mut self, model: &SmolStr, need: Need, reason: Reason) {
        if let Some(ahead) = &mut self.ahead {
            ahead.decisions.push(Decision {
                model: model.clone(),
                need,
                reason,
            });
        }
    }

    fn disk_load_time(&self, model: &SmolStr) -> Duration {
        let known = self.view.config.models.get(model);
        known.map_or(Duration::ZERO, |known| Tier::Disk.load_time(known))
    }
}
