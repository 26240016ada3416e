//! How many replicas each model needs, from its arrival rate, its trend and the requests in progress.

use std::collections::{BTreeMap, BTreeSet};

use smol_str::SmolStr;

use super::planner::{HOT_PREFILL_WAIT, HOT_REQUESTS_PER_REPLICA, SATURATED_PREFILL_WAIT};
use super::survey::Survey;
use super::{EngineState, Tier, View, nearest_tier, trend};

/// The part of a replica's slots that are in use on average. Arrivals fluctuate, and a request that finds all slots in use
/// begins late.
const TARGET_UTILISATION: f64 = 2.0 / 3.0;
/// The part of the difference between the fast and the slow arrival rate by which a rising rate is expected to rise further
/// while a replica is loaded.
const TREND_WEIGHT: f64 = 0.5;
/// The number of slots from which [`HOT_REQUESTS_PER_REPLICA`] applies. With fewer slots it would be most of them, and half
/// of the slots apply.
const MIN_SLOTS_FOR_HOT_REQUESTS: u32 = 16;

/// The replicas that a model has and needs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Need {
    /// The arrival rate over the last second or two, in requests per second.
    pub fast_rate: f64,
    /// The higher of the fast and the slow arrival rate, in requests per second.
    pub rate: f64,
    /// The expected number of requests in progress when a replica that is ordered now is loaded.
    pub load: f64,
    /// The same by the higher of both rates, which a short dip of the demand doesn't lower; `None` until it is known how long
    /// requests run.
    pub lasting_load: Option<f64>,
    /// The number of requests in progress and waiting.
    pub requests: u32,
    /// The number of replicas.
    pub replicas: usize,
    /// The replicas on engines that have a free slot and to which no unload is on its way.
    pub settled_replicas: usize,
    /// The number of replicas being loaded from a disk or host memory.
    pub loading: usize,
    /// Whether a replica is being loaded from the weight store.
    pub is_fetched: bool,
    /// The number of replicas that the model needs.
    pub wanted: usize,
    /// Whether the replicas have no free slots left, now or soon.
    pub is_saturated: bool,
    /// Whether all replicas are on engines without a free slot, be it that other models fill them.
    pub is_blocked: bool,
    /// Whether the prompts that wait keep all replicas busy for long.
    pub has_long_prefill_wait: bool,
}

impl Need {
    /// The number of replicas that are missing, beyond those being loaded from a disk or host memory.
    #[must_use]
    pub fn missing(&self) -> usize {
        self.wanted.saturating_sub(self.replicas + self.loading)
    }
}

/// The needs of all models of a view.
#[derive(Clone, Debug)]
pub(super) struct Needs<'a> {
    by_model: BTreeMap<&'a SmolStr, Need>,
    /// The usable engines that could load a model without the weight store.
    copies: BTreeMap<&'a SmolStr, Vec<usize>>,
    /// The models that requests of any version wait for.
    pending: BTreeSet<&'a SmolStr>,
    /// The number of requests on a replica above which another one is loaded.
    hot_requests: u32,
}

impl<'a> Needs<'a> {
    pub(super) fn new(
        view: &View<'a>,
        survey: &Survey<'a>,
        estimates: &BTreeMap<SmolStr, trend::Estimate>,
    ) -> Self {
        let slots = view.config.slots;
        let hot_requests = match slots >= MIN_SLOTS_FOR_HOT_REQUESTS {
            true => HOT_REQUESTS_PER_REPLICA,
            false => (slots / 2).max(1),
        };
        let mut by_model: BTreeMap<&SmolStr, Need> = BTreeMap::new();
        let mut copies: BTreeMap<&SmolStr, Vec<usize>> = BTreeMap::new();
        for (index, engine) in view.engines.iter().enumerate() {
            if engine.usable {
                count_engine(&mut by_model, engine, slots);
                let stored = engine
                    .held
                    .on_disk
                    .union(&engine.held.in_host_memory)
                    .filter(|model| !engine.held.models.contains_key(*model));
                for model in stored {
                    copies.entry(model).or_default().push(index);
                }
            }
        }
        let pending = view.pending.iter();
        let pending = pending.filter(|pending| pending.version.is_none());
        for model in view.config.models.keys() {
            let need = by_model.entry(model).or_default();
            let estimate = estimates.get(model).copied().unwrap_or_default();
            let slow_rate = view.arrival_rates.get(model).copied().unwrap_or_default();
            let rise = (estimate.fast_rate - slow_rate).max(0.0);
            need.fast_rate = estimate.fast_rate;
            need.rate = estimate.fast_rate.max(slow_rate);
            need.requests = survey.requests(model);
            need.replicas = survey.replicas(model);
            // A new steward knows no rates, only the requests in progress.
            let expected_rate = estimate.fast_rate + rise * TREND_WEIGHT;
            let expected = estimate
                .request_time
                .map_or(0.0, |time| expected_rate * time.as_secs_f64());
            need.load = expected.max(f64::from(need.requests));
            need.lasting_load = estimate
                .request_time
                .map(|time| need.load.max(need.rate * time.as_secs_f64()));
            need.assess(slots, hot_requests, survey, model);
        }
        Self {
            by_model,
            copies,
            pending: pending.map(|pending| &pending.model).collect(),
            hot_requests,
        }
    }

    pub(super) fn get(&self, model: &SmolStr) -> Need {
        self.by_model.get(model).copied().unwrap_or_default()
    }

    /// Returns the models with replicas that are short, the most requested first.
    pub(super) fn short(&self) -> Vec<(&'a SmolStr, Need)> {
        let short = self.by_model.iter();
        let short = short.filter(|(_, need)| need.replicas > 0 && need.missing() > 0);
        by_load(short.map(|(model, need)| (*model, *need)).collect())
    }

    /// Returns the models without a replica that an engine could load without the weight store, the most requested first.
    pub(super) fn absent(&self) -> Vec<(&'a SmolStr, Need)> {
        let absent = self.by_model.iter().filter(|(model, need)| {
            need.replicas == 0
                && need.loading == 0
                && !self.pending.contains(*model)
                && self.copies.contains_key(*model)
        });
        let mut absent: Vec<_> = absent.map(|(model, need)| (*model, *need)).collect();
        absent.sort_by(|(_, a), (_, b)| {
            let running = b.requests.cmp(&a.requests);
            running.then(b.rate.total_cmp(&a.rate))
        });
        absent
    }

    /// Returns the most loaded models.
    pub(super) fn most_loaded(&self, count: usize) -> Vec<(&'a SmolStr, Need)> {
        let all = self.by_model.iter().map(|(model, need)| (*model, *need));
        let mut all = by_load(all.filter(|(_, need)| need.load > 0.0).collect());
        all.truncate(count);
        all
    }

    pub(super) fn copies(&self, model: &SmolStr) -> &[usize] {
        self.copies.get(model).map_or(&[], Vec::as_slice)
    }

    pub(super) fn is_pending(&self, model: &SmolStr) -> bool {
        self.pending.contains(model)
    }

    /// Whether the replicas that are left when `leaving` with a free slot go suffice. There is a margin to the number from
    /// which a further replica is loaded, so that none is loaded and evicted in turn. Before requests have shown what they
    /// need, all replicas that were placed at the start count as needed.
    pub(super) fn is_spare(&self, model: &SmolStr, leaving: usize) -> bool {
        let need = self.get(model);
        let settled = need.settled_replicas.min(need.replicas);
        let left = settled.saturating_sub(leaving);
        let capacity = left as f64 * f64::from(self.hot_requests);
        left > 0
            && !need.has_long_prefill_wait
            && need.lasting_load.is_some_and(|load| load <= capacity)
    }
}

impl Need {
    fn assess(&mut self, slots: u32, hot_requests: u32, survey: &Survey<'_>, model: &SmolStr) {
        let replicas = u32::try_from(self.replicas).unwrap_or(u32::MAX);
        let all_slots = replicas.saturating_mul(slots);
        let prefill_wait = survey.prefill_wait(model);
        self.has_long_prefill_wait = self.requests > 0 && prefill_wait > HOT_PREFILL_WAIT;
        let is_full = survey.is_full(model) && self.requests > all_slots;
        self.is_saturated = replicas > 0
            && (is_full
                || self.load > f64::from(all_slots)
                || prefill_wait > SATURATED_PREFILL_WAIT);
        self.is_blocked = self.requests > 0 && survey.is_full(model);
        let is_hot = self.requests > replicas.saturating_mul(hot_requests)
            || self.has_long_prefill_wait
            || self.is_blocked
            || self.is_saturated;
        let target = f64::from(slots.max(1)) * TARGET_UTILISATION;
        let by_load = (self.load / target).ceil() as usize;
        self.wanted = match is_hot && replicas > 0 {
            true => by_load.max(self.replicas + 1),
            false => by_load,
        };
    }
}

fn count_engine<'a>(needs: &mut BTreeMap<&'a SmolStr, Need>, engine: &'a EngineState, slots: u32) {
    let is_unloading = engine.order_pending && engine.making_room_for.is_some();
    if !is_unloading && has_free_slot(engine, slots) {
        for model in engine.held.models.keys() {
            needs.entry(model).or_default().settled_replicas += 1;
        }
    }
    let coming = engine.loading.as_ref().or(engine.making_room_for.as_ref());
    if let Some(model) = coming.filter(|model| !engine.held.models.contains_key(*model)) {
        let need = needs.entry(model).or_default();
        if engine.fetching || nearest_tier(engine, model) == Tier::WeightStore {
            need.is_fetched = true;
        } else {
            need.loading += 1;
        }
    }
}

/// Whether a request would run at once at an engine.
pub(super) fn has_free_slot(engine: &EngineState, slots: u32) -> bool {
    engine.running.values().sum::<u32>() < slots
}

fn by_load(mut needs: Vec<(&SmolStr, Need)>) -> Vec<(&SmolStr, Need)> {
    needs.sort_by(|(_, a), (_, b)| b.load.total_cmp(&a.load));
    needs
}
