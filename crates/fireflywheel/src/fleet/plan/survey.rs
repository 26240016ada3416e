//! Totals over all engines of a group.
//!
//! A plan needs them for each model and each engine, so they are counted once.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use smol_str::SmolStr;

use super::View;

/// The totals of one view, by model.
#[derive(Clone, Debug)]
pub(super) struct Survey<'a> {
    /// The usable engines that hold a model, without those whose request limit the demand exceeds.
    replicas: BTreeMap<&'a SmolStr, usize>,
    requests: BTreeMap<&'a SmolStr, u32>,
    waiting: BTreeMap<&'a SmolStr, u32>,
    /// The requests at engines that hold a model, beyond those that the engines run at once.
    excess: BTreeMap<&'a SmolStr, u32>,
    /// The shortest prefill wait among the engines that hold a model.
    prefill_wait: BTreeMap<&'a SmolStr, Duration>,
    /// The models that have a replica with a free slot.
    with_free_slot: BTreeSet<&'a SmolStr>,
    /// The models that some engine stores on disk or in host memory.
    stored: BTreeSet<&'a SmolStr>,
    /// The models that some engine stores on disk or in host memory without holding them in memory.
    stored_unloaded: BTreeSet<&'a SmolStr>,
    loading: BTreeSet<&'a SmolStr>,
    /// The models in `loading` that don't come from the weight store.
    loading_locally: BTreeSet<&'a SmolStr>,
}

impl<'a> Survey<'a> {
    /// Counts the totals of a view.
    pub(super) fn new(view: &View<'a>) -> Self {
        let mut survey = Self {
            replicas: BTreeMap::new(),
            requests: BTreeMap::new(),
            waiting: BTreeMap::new(),
            excess: BTreeMap::new(),
            prefill_wait: BTreeMap::new(),
            with_free_slot: BTreeSet::new(),
            stored: BTreeSet::new(),
            stored_unloaded: BTreeSet::new(),
            loading: BTreeSet::new(),
            loading_locally: BTreeSet::new(),
        };
        for engine in view.engines.iter().filter(|engine| engine.usable) {
            // An engine that accepts fewer requests than its models receive doesn't count as a replica: these
            // models need replicas elsewhere.
            let replica_count = usize::from(!engine.is_overloaded(view.arrival_rates));
            for model in engine.held.models.keys() {
                *survey.replicas.entry(model).or_default() += replica_count;
                let min_prefill_wait = survey
                    .prefill_wait
                    .entry(model)
                    .or_insert(engine.prefill_wait);
                *min_prefill_wait = engine.prefill_wait.min(*min_prefill_wait);
            }
            let requests: u32 = engine.running.values().sum();
            if requests < view.config.slots && replica_count > 0 {
                survey.with_free_slot.extend(engine.held.models.keys());
            }
            for model in engine.held.models.keys() {
                let excess = survey.excess.entry(model).or_default();
                *excess += requests.saturating_sub(view.config.slots);
            }
            if !engine.occupies_weight_store() {
                survey.loading_locally.extend(&engine.loading);
                survey.loading_locally.extend(&engine.making_room_for);
            }
            let stored = engine
                .held
                .in_host_memory
                .iter()
                .chain(&engine.held.on_disk);
            for model in stored {
                survey.stored.insert(model);
                if !engine.held.models.contains_key(model) {
                    survey.stored_unloaded.insert(model);
                }
            }
            survey.loading.extend(&engine.loading);
            survey.loading.extend(&engine.making_room_for);
        }
        let running = view.engines.iter().flat_map(|engine| &engine.running);
        let running = running.map(|((model, _), count)| (model, *count));
        for pending in view.pending {
            *survey.waiting.entry(&pending.model).or_default() += pending.waiting;
        }
        let waiting = view
            .pending
            .iter()
            .map(|pending| (&pending.model, pending.waiting));
        for (model, count) in running.chain(waiting) {
            *survey.requests.entry(model).or_default() += count;
        }
        survey
    }

    /// Whether the model has replicas and none of them has a free slot.
    pub(super) fn is_full(&self, model: &SmolStr) -> bool {
        self.replicas(model) > 0 && !self.with_free_slot.contains(model)
    }

    /// Whether the model is being loaded from a disk or host memory, or room is being made for such a load.
    pub(super) fn is_loading_locally(&self, model: &SmolStr) -> bool {
        self.loading_locally.contains(model)
    }

    /// Returns the number of usable engines that hold the model in memory, without those whose request limit
    /// the demand exceeds.
    pub(super) fn replicas(&self, model: &SmolStr) -> usize {
        self.replicas.get(model).copied().unwrap_or_default()
    }

    /// Returns the number of requests in progress and waiting, over all replicas.
    pub(super) fn requests(&self, model: &SmolStr) -> u32 {
        self.requests.get(model).copied().unwrap_or_default()
    }

    /// Returns the number of requests that wait at their instances.
    pub(super) fn waiting(&self, model: &SmolStr) -> u32 {
        self.waiting.get(model).copied().unwrap_or_default()
    }

    /// Returns the number of requests that wait at engines that hold the model.
    pub(super) fn excess(&self, model: &SmolStr) -> u32 {
        self.excess.get(model).copied().unwrap_or_default()
    }

    /// Returns how long a request waits before its prompt is prefilled, at the engine with the shortest wait.
    pub(super) fn prefill_wait(&self, model: &SmolStr) -> Duration {
        self.prefill_wait.get(model).copied().unwrap_or_default()
    }

    /// Whether a usable engine has the model in memory, in host memory or on disk.
    pub(super) fn has_copy(&self, model: &SmolStr) -> bool {
        self.stored.contains(model) || self.replicas.contains_key(model)
    }

    /// Whether a usable engine could load the model without the weight store.
    pub(super) fn has_unloaded_copy(&self, model: &SmolStr) -> bool {
        self.stored_unloaded.contains(model)
    }

    /// Whether a usable engine loads the model or makes room for it.
    pub(super) fn is_loading(&self, model: &SmolStr) -> bool {
        self.loading.contains(model)
    }
}
