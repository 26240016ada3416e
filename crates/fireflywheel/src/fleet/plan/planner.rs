//! A plan in the making.

use std::collections::BTreeSet;
use std::time::Duration;

use smol_str::SmolStr;

use super::survey::Survey;
use super::{EngineState, Step, Tier, View, tier};

/// Requests in progress on one copy of a model from which another copy is wanted: beyond it, each further
/// request makes all others of its batch slower.
const REQUESTS_A_COPY: u32 = 8;
/// When a request waits this long at each copy of its model before its prompt is read, another copy is wanted: half of
/// the shortest time within which first events are expected here.
const CROWDED: Duration = Duration::from_millis(400);
/// When it waits this long, another copy is even brought from the weight store before models that nobody asks for.
const OVERWHELMED: Duration = Duration::from_millis(1200);
/// A model stays this long after its load, so that requests that waited for it reach it before it goes.
const SHORTEST_STAY: Duration = Duration::from_millis(600);
/// An adapter stays this long after its load, for the same reason.
const ADAPTER_STAY: Duration = Duration::from_millis(300);
/// An engine that names a limit is overloaded: a model goes there only if another way takes this much longer, in seconds.
const OVERLOADED: f64 = 3.0;
/// What is never asked for has this rate, so that larger models go before smaller ones.
const LEAST_RATE: f64 = 0.001;
/// How much more a second of waiting counts than a request a second that loses its copy.
const WAIT_WEIGHT: f64 = 1.0;

/// A way to bring a model in at one engine.
#[derive(Clone, Debug)]
struct Way {
    engine: usize,
    tier: Tier,
    /// What has to go first; loaded at once when there is nothing.
    victim: Option<SmolStr>,
    cost: f64,
}

impl Way {
    /// The next order on this way.
    fn step(self, wanted: &SmolStr) -> Step {
        match self.victim {
            Some(victim) => Step::Unload {
                engine: self.engine,
                model: victim,
                wanted: wanted.clone(),
            },
            None => Step::Load {
                engine: self.engine,
                model: wanted.clone(),
                tier: self.tier,
            },
        }
    }
}

/// A plan in the making.
pub(super) struct Planner<'a> {
    pub(super) view: &'a View<'a>,
    pub(super) survey: Survey<'a>,
    /// Engines that have a step in this plan already.
    pub(super) taken: BTreeSet<usize>,
    pub(super) fetching: usize,
    pub(super) steps: Vec<Step>,
}

impl<'a> Planner<'a> {
    /// Goes on at engines that have made room for a model. If the next plan chose anew, it would often make room at
    /// another engine as well while this one rests, and two models were lost for one.
    pub(super) fn finish_swaps(&mut self) {
        let view = self.view;
        for (place, engine) in view.engines.iter().enumerate() {
            let Some(model) = &engine.making_room_for else {
                continue;
            };
            if let Some(way) = self.way(place, model) {
                self.push(way.step(model));
            }
        }
    }

    /// Models that are wanted and nowhere in memory.
    pub(super) fn bring_wanted(&mut self) {
        let view = self.view;
        let mut seen = BTreeSet::new();
        for want in view.pending {
            if !seen.insert(&want.model)
                || self.survey.copies(&want.model) > 0
                || self.survey.is_coming(&want.model)
            {
                continue;
            }
            let waited = view.now.since(want.since).as_secs_f64();
            if let Some(way) = self.best_way(&want.model, waited, true) {
                self.go(&want.model, way);
            }
        }
    }

    /// Adapters that are wanted where their model is.
    pub(super) fn bring_adapters(&mut self) {
        let view = self.view;
        for want in view.pending {
            let Some(adapter) = &want.adapter else {
                continue;
            };
            let there = |engine: &EngineState| {
                engine.held.holds(&want.model, Some(adapter))
                    || engine
                        .held
                        .loading_adapters
                        .contains(&(want.model.clone(), adapter.clone()))
            };
            if view
                .engines
                .iter()
                .any(|engine| engine.usable && there(engine))
            {
                continue;
            }
            self.bring_adapter(&want.model, adapter);
        }
    }

    fn bring_adapter(&mut self, model: &SmolStr, adapter: &SmolStr) {
        let view = self.view;
        let host = (0..view.engines.len())
            .filter(|place| !self.taken.contains(place))
            .filter(|place| {
                let engine = &view.engines[*place];
                engine.usable
                    && !engine.order_pending
                    && !engine.held.busy
                    && engine.held.holds(model, None)
            })
            .min_by_key(|place| {
                let engine = &view.engines[*place];
                (
                    engine.held.adapters() >= view.config.adapter_slots,
                    engine.held.adapters(),
                )
            });
        let Some(place) = host else {
            return;
        };
        let engine = &view.engines[place];
        let need = view
            .config
            .models
            .get(model)
            .map_or(0.0, |model| model.adapter_mb);
        let fits = engine.held.adapters() < view.config.adapter_slots && self.free(place) >= need;
        if fits {
            self.push(Step::LoadAdapter {
                engine: place,
                model: model.clone(),
                adapter: adapter.clone(),
            });
        } else if let Some((model, adapter)) = self.idle_adapter(place) {
            self.push(Step::UnloadAdapter {
                engine: place,
                model,
                adapter,
            });
        }
    }

    /// The adapter of an engine that was loaded longest ago, among those that nothing uses.
    fn idle_adapter(&self, place: usize) -> Option<(SmolStr, SmolStr)> {
        let engine = &self.view.engines[place];
        let wanted = |model: &SmolStr, adapter: &SmolStr| {
            let mut wants = self.view.pending.iter();
            wants.any(|want| want.model == *model && want.adapter.as_ref() == Some(adapter))
        };
        engine
            .held
            .models
            .iter()
            .flat_map(|(model, adapters)| adapters.iter().map(move |adapter| (model, adapter)))
            .filter(|(model, adapter)| !wanted(model, adapter))
            .map(|(model, adapter)| {
                let key = (model.clone(), Some(adapter.clone()));
                (
                    engine.held_since.get(&key).copied().unwrap_or_default(),
                    key,
                )
            })
            .filter(|(since, _)| self.view.now.since(*since) >= ADAPTER_STAY)
            .filter(|(_, key)| engine.running.get(key).copied().unwrap_or_default() == 0)
            .min_by_key(|(since, _)| *since)
            .and_then(|(_, (model, adapter))| Some((model, adapter?)))
    }

    /// More copies of models that have more requests than all their engines run at once, before anything else: while
    /// these wait for the weight store behind models that a caller now and then asks for, most callers there are would be
    /// refused.
    pub(super) fn spread_overwhelmed(&mut self) {
        for model in self.crowded() {
            if self.is_overwhelmed(model)
                && let Some(way) = self.best_way(model, 0.0, true)
            {
                self.go(model, way);
            }
        }
    }

    /// More copies of models whose requests crowd on those there are.
    pub(super) fn spread_busy(&mut self) {
        let spare = self.uncopied().next().is_none();
        for model in self.crowded() {
            if !self.is_overwhelmed(model)
                && let Some(way) = self.best_way(model, 0.0, spare)
            {
                self.go(model, way);
            }
        }
    }

    /// Models whose requests crowd on their copies, the most crowded first.
    fn crowded(&self) -> Vec<&'a SmolStr> {
        let models = self.view.config.models.keys();
        let mut crowded: Vec<(u32, &SmolStr)> = models
            // A copy that is ten seconds away is no reason to leave others on their disks.
            .filter(|model| !self.survey.comes_soon(model))
            .filter_map(|model| {
                let copies = u32::try_from(self.survey.copies(model)).unwrap_or(u32::MAX);
                let requests = self.survey.requests(model);
                let many = requests > copies * REQUESTS_A_COPY;
                let long = requests > 0 && self.survey.pressure(model) > CROWDED;
                (copies > 0 && (many || long)).then(|| (requests / copies, model))
            })
            .collect();
        crowded.sort_by(|a, b| b.cmp(a));
        crowded.into_iter().map(|(_, model)| model).collect()
    }

    fn is_overwhelmed(&self, model: &SmolStr) -> bool {
        let copies = u32::try_from(self.survey.copies(model)).unwrap_or(u32::MAX);
        let places = copies.saturating_mul(self.view.config.slots);
        let many = self.survey.is_full(model) && self.survey.requests(model) > places;
        many || self.survey.pressure(model) > OVERWHELMED
    }

    /// Models without a copy anywhere, while the weight store has nothing else to do.
    pub(super) fn fetch_ahead(&mut self) {
        let view = self.view;
        let mut uncopied: Vec<SmolStr> = self.uncopied().cloned().collect();
        uncopied.sort_by(|a, b| self.rate(b).total_cmp(&self.rate(a)));
        for model in uncopied {
            if self.fetching >= view.max_fetches {
                return;
            }
            if let Some(way) = self.best_way(&model, 0.0, true) {
                self.go(&model, way);
            }
        }
    }

    fn uncopied(&self) -> impl Iterator<Item = &SmolStr> {
        let view = self.view;
        let models = view.config.models.keys();
        models.filter(move |model| !self.survey.has_copy(model) && !self.survey.is_coming(model))
    }

    fn go(&mut self, model: &SmolStr, way: Way) {
        if way.tier == Tier::Store {
            self.fetching += 1;
        }
        self.push(way.step(model));
    }

    fn push(&mut self, step: Step) {
        self.taken.insert(step.engine());
        self.steps.push(step);
    }

    /// The cheapest way to bring a model in, among engines that can take an order now.
    fn best_way(&self, model: &SmolStr, waited: f64, fetch: bool) -> Option<Way> {
        let fetch = fetch
            && self.fetching < self.view.max_fetches
            && !self.survey.is_stored_unloaded(model)
            && !self.survey.is_coming(model);
        (0..self.view.engines.len())
            .filter(|place| !self.taken.contains(place))
            .filter_map(|place| self.way(place, model))
            // What another engine has on its disk comes from there, even if that one must be waited for.
            .filter(|way| way.tier != Tier::Store || fetch)
            .map(|way| Way {
                cost: way.cost - waited * WAIT_WEIGHT,
                ..way
            })
            .min_by(|a, b| a.cost.total_cmp(&b.cost))
    }

    fn way(&self, place: usize, name: &SmolStr) -> Option<Way> {
        let engine = &self.view.engines[place];
        if !engine.usable
            || engine.order_pending
            || engine.held.busy
            || engine.held.models.contains_key(name)
        {
            return None;
        }
        let model = self.view.config.models.get(name)?;
        let tier = tier(engine, name);
        let time = tier.load_time(model);
        let victims = self.victims(place, name, model.memory_mb)?;
        let loss: f64 = victims.iter().map(|victim| self.loss(place, victim)).sum();
        // While a load runs here, whatever is swapped at this engine has to wait.
        let held_up = self.swapped_rate(place) * time.as_secs_f64();
        let overloaded = engine.limit.map_or(0.0, |_| OVERLOADED);
        Some(Way {
            engine: place,
            tier,
            victim: victims.into_iter().next(),
            cost: time.as_secs_f64() + loss + held_up + overloaded + engine.pressure.as_secs_f64(),
        })
    }

    /// What must go to make room, the least loss first; none when there is no way.
    fn victims(&self, place: usize, wanted: &SmolStr, need: f64) -> Option<Vec<SmolStr>> {
        let mut free = self.free(place);
        let mut victims = Vec::new();
        if free >= need {
            return Some(victims);
        }
        let engine = &self.view.engines[place];
        let mut idle: Vec<(f64, &SmolStr, f64)> = engine
            .held
            .models
            .keys()
            .filter(|model| *model != wanted && self.may_go(place, model))
            .filter_map(|model| {
                let size = self.view.config.models.get(model)?.memory_mb;
                Some((self.loss(place, model) / size, model, size))
            })
            .collect();
        idle.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (_, model, size) in idle {
            free += size;
            victims.push(model.clone());
            if free >= need {
                return Some(victims);
            }
        }
        None
    }

    fn may_go(&self, place: usize, model: &SmolStr) -> bool {
        let engine = &self.view.engines[place];
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
        let copies = u32::try_from(self.survey.copies(model)).unwrap_or(u32::MAX);
        let wanted = self.view.pending.iter().any(|want| want.model == *model);
        let needed = copies <= 1 && wanted;
        let many = self.survey.requests(model) > copies.saturating_sub(1) * REQUESTS_A_COPY;
        let crowded = copies > 0 && (many || self.survey.pressure(model) > CROWDED);
        let spare = copies > 1 && !crowded;
        let stayed = self.view.now.since(since) >= SHORTEST_STAY;
        running == 0 && stayed && !needed && (spare || self.survey.requests(model) == 0)
    }

    /// Requests a second that will find this copy gone.
    fn loss(&self, place: usize, model: &SmolStr) -> f64 {
        let engine = &self.view.engines[place];
        let copies = self.survey.copies(model).max(1) as f64;
        let known = self.view.config.models.get(model);
        let again = known.map_or(Duration::ZERO, |known| tier(engine, model).load_time(known));
        self.rate(model) / copies * (1.0 + again.as_secs_f64())
    }

    /// Requests a second for models with a copy here that aren't in any memory.
    fn swapped_rate(&self, place: usize) -> f64 {
        let held = &self.view.engines[place].held;
        held.on_disk
            .union(&held.in_host_memory)
            .filter(|model| self.survey.copies(model) == 0)
            .map(|model| self.rate(model))
            .sum()
    }

    fn rate(&self, model: &SmolStr) -> f64 {
        self.view
            .arrival_rates
            .get(model)
            .copied()
            .unwrap_or_default()
            .max(LEAST_RATE)
    }

    fn free(&self, place: usize) -> f64 {
        let engine = &self.view.engines[place];
        let size = |model: &SmolStr| {
            let known = self.view.config.models.get(model);
            // A model that the configuration doesn't name has an unknown size: nothing is put beside it.
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
        let coming: f64 = engine
            .held
            .loading_adapters
            .iter()
            .map(|(model, _)| adapter_size(model))
            .sum();
        self.view.config.memory_mb - models - loading - adapters - coming
    }
}
