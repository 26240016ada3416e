//! Totals over all engines of a group.
//!
//! A plan needs them for each model and each engine, so they are counted once.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use smol_str::SmolStr;

use super::{EngineState, Tier, View, nearest_tier};
use crate::clock;

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
    /// The copies of models at versions that requests wait for, by version and model; only versions of usable engines.
    versions: BTreeMap<&'a SmolStr, BTreeMap<&'a SmolStr, Copies>>,
}

/// The copies of a model at the usable engines of one version.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Copies {
    /// The engines that hold the model, without those whose request limit the demand exceeds.
    pub(super) replicas: usize,
    /// Whether one of these has a free slot.
    pub(super) has_free_slot: bool,
    /// Whether an engine loads the model or makes room for it.
    pub(super) is_loading: bool,
    /// Whether one does so that doesn't need the weight store.
    pub(super) is_loading_locally: bool,
    /// The time since which an engine loads the model from the weight store.
    pub(super) fetching_since: Option<clock::Instant>,
    /// Whether an engine that doesn't hold the model in memory has it on disk or in host memory.
    pub(super) has_unloaded: bool,
    /// The requests that wait for the model at the version.
    pub(super) waiting: u32,
    /// The requests at engines that hold the model, beyond those that the engines run at once.
    pub(super) excess: u32,
}

impl Copies {
    /// Whether the requests that wait need another copy at the version.
    pub(super) fn is_short(&self) -> bool {
        !self.has_free_slot && !self.is_loading
    }

    /// The reason why the model is not available at the version yet, for the log.
    pub(super) fn blocked_reason(&self) -> &'static str {
        if self.has_free_slot {
            "the model is in memory at the version"
        } else if self.is_loading {
            "the model is being loaded at the version"
        } else if self.replicas > 0 {
            "the engines of the version that hold the model are full"
        } else if self.has_unloaded {
            "the engines of the version that store the model can't load it now"
        } else {
            "no engine of the version stores the model, and none can fetch it now"
        }
    }

    fn add(&mut self, view: &View<'_>, engine: &EngineState, model: &SmolStr) {
        let is_held = engine.held.models.contains_key(model);
        if is_held {
            let requests: u32 = engine.running.values().sum();
            if !engine.is_overloaded(view.arrival_rates) {
                self.replicas += 1;
                self.has_free_slot |= requests < view.config.slots;
            }
            self.excess += requests.saturating_sub(view.config.slots);
        } else {
            self.has_unloaded |= nearest_tier(engine, model) != Tier::WeightStore;
        }
        let is_loading = engine.loading.as_ref() == Some(model);
        if is_loading || engine.making_room_for.as_ref() == Some(model) {
            self.is_loading = true;
            self.is_loading_locally |= !engine.occupies_weight_store();
        }
        if is_loading && engine.fetching {
            let since = engine.loading_since;
            self.fetching_since = match self.fetching_since {
                Some(known) => Some(since.map_or(known, |since| known.min(since))),
                None => since,
            };
        }
    }
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
            versions: versions(view),
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
        // Requests that need a certain version are no reason for a copy at another.
        let pending = view
            .pending
            .iter()
            .filter(|pending| pending.version.is_none());
        for pending in pending.clone() {
            *survey.waiting.entry(&pending.model).or_default() += pending.waiting;
        }
        let waiting = pending.map(|pending| (&pending.model, pending.waiting));
        for (model, count) in running.chain(waiting) {
            *survey.requests.entry(model).or_default() += count;
        }
        survey
    }

    /// Whether requests wait for models at certain versions.
    pub(super) fn has_versions(&self) -> bool {
        !self.versions.is_empty()
    }

    /// The copies of a model that requests need at a version; `None` if no usable engine has this version.
    pub(super) fn copies(&self, model: &SmolStr, version: &SmolStr) -> Option<&Copies> {
        self.versions.get(version)?.get(model)
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

/// Counts the copies that requests of certain versions wait for.
fn versions<'a>(view: &View<'a>) -> BTreeMap<&'a SmolStr, BTreeMap<&'a SmolStr, Copies>> {
    let mut versions: BTreeMap<&SmolStr, BTreeMap<&SmolStr, Copies>> = BTreeMap::new();
    for pending in view.pending {
        if let Some(version) = &pending.version {
            let models = versions.entry(version).or_default();
            models.entry(&pending.model).or_default().waiting += pending.waiting;
        }
    }
    if versions.is_empty() {
        return versions;
    }
    let mut served = BTreeSet::new();
    for engine in view.engines.iter().filter(|engine| engine.usable) {
        let Some(version) = &engine.version else {
            continue;
        };
        for (model, copies) in versions.get_mut(version).into_iter().flatten() {
            copies.add(view, engine, model);
            served.insert(version);
        }
    }
    versions.retain(|version, _| served.contains(version));
    versions
}
