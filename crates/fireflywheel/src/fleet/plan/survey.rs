//! What all engines of a group hold together.
//!
//! A plan asks for it again for each model and each engine, so it is counted once.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use smol_str::SmolStr;

use super::View;

/// Counts by model, over one view.
#[derive(Clone, Debug)]
pub(super) struct Survey<'a> {
    copies: BTreeMap<&'a SmolStr, usize>,
    requests: BTreeMap<&'a SmolStr, u32>,
    waiting: BTreeMap<&'a SmolStr, u32>,
    /// Requests at engines that hold a model, beyond those that the engines run at once.
    beyond: BTreeMap<&'a SmolStr, u32>,
    /// The least pressure among the engines that hold a model.
    pressure: BTreeMap<&'a SmolStr, Duration>,
    /// Models with a copy at an engine that has a place free.
    placed: BTreeSet<&'a SmolStr>,
    stored: BTreeSet<&'a SmolStr>,
    /// Models with a copy on an engine that doesn't have them in memory.
    stored_unloaded: BTreeSet<&'a SmolStr>,
    coming: BTreeSet<&'a SmolStr>,
    /// Those of them that don't come from the weight store.
    soon: BTreeSet<&'a SmolStr>,
}

impl<'a> Survey<'a> {
    /// Counts once.
    pub(super) fn new(view: &View<'a>) -> Self {
        let mut survey = Self {
            copies: BTreeMap::new(),
            requests: BTreeMap::new(),
            waiting: BTreeMap::new(),
            beyond: BTreeMap::new(),
            pressure: BTreeMap::new(),
            placed: BTreeSet::new(),
            stored: BTreeSet::new(),
            stored_unloaded: BTreeSet::new(),
            coming: BTreeSet::new(),
            soon: BTreeSet::new(),
        };
        for engine in view.engines.iter().filter(|engine| engine.usable) {
            // Models of an engine that takes fewer requests than they have need copies elsewhere.
            let counted = usize::from(!engine.is_short(view.arrival_rates));
            for model in engine.held.models.keys() {
                *survey.copies.entry(model).or_default() += counted;
                let least = survey.pressure.entry(model).or_insert(engine.pressure);
                *least = engine.pressure.min(*least);
            }
            let requests: u32 = engine.running.values().sum();
            if requests < view.config.slots && counted > 0 {
                survey.placed.extend(engine.held.models.keys());
            }
            for model in engine.held.models.keys() {
                let beyond = survey.beyond.entry(model).or_default();
                *beyond += requests.saturating_sub(view.config.slots);
            }
            if !engine.fetches() {
                survey.soon.extend(&engine.loading);
                survey.soon.extend(&engine.making_room_for);
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
            survey.coming.extend(&engine.loading);
            survey.coming.extend(&engine.making_room_for);
        }
        let running = view.engines.iter().flat_map(|engine| &engine.running);
        let running = running.map(|((model, _), count)| (model, *count));
        for want in view.pending {
            *survey.waiting.entry(&want.model).or_default() += want.waiting;
        }
        let waiting = view.pending.iter().map(|want| (&want.model, want.waiting));
        for (model, count) in running.chain(waiting) {
            *survey.requests.entry(model).or_default() += count;
        }
        survey
    }

    /// Whether all usable engines that have it in memory run as many requests as they can.
    pub(super) fn is_full(&self, model: &SmolStr) -> bool {
        self.copies(model) > 0 && !self.placed.contains(model)
    }

    /// Whether another copy comes from a disk or a host's memory.
    pub(super) fn comes_soon(&self, model: &SmolStr) -> bool {
        self.soon.contains(model)
    }

    /// Usable engines that have a model in memory.
    pub(super) fn copies(&self, model: &SmolStr) -> usize {
        self.copies.get(model).copied().unwrap_or_default()
    }

    /// Requests in progress and waiting, over all copies.
    pub(super) fn requests(&self, model: &SmolStr) -> u32 {
        self.requests.get(model).copied().unwrap_or_default()
    }

    /// Requests that wait at their instances.
    pub(super) fn waiting(&self, model: &SmolStr) -> u32 {
        self.waiting.get(model).copied().unwrap_or_default()
    }

    /// Requests that wait at engines that hold it.
    pub(super) fn beyond(&self, model: &SmolStr) -> u32 {
        self.beyond.get(model).copied().unwrap_or_default()
    }

    /// How long a request waits at the engine with the shortest wait, before its prompt is read.
    pub(super) fn pressure(&self, model: &SmolStr) -> Duration {
        self.pressure.get(model).copied().unwrap_or_default()
    }

    /// Whether a usable engine has it in memory, in its host's memory or on disk.
    pub(super) fn has_copy(&self, model: &SmolStr) -> bool {
        self.stored.contains(model) || self.copies.contains_key(model)
    }

    /// Whether a usable engine could load it without the weight store.
    pub(super) fn is_stored_unloaded(&self, model: &SmolStr) -> bool {
        self.stored_unloaded.contains(model)
    }

    /// Whether a usable engine loads it, or makes room for it.
    pub(super) fn is_coming(&self, model: &SmolStr) -> bool {
        self.coming.contains(model)
    }
}
