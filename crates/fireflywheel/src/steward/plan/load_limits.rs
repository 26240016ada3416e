//! Whether another load is worthwhile, and whether the platform's limits permit it.

use std::{collections::BTreeMap, time::Duration};

use super::{ItemDemand, Steward, View};
use crate::{clock, document, item, placement, right};

/// Another replica is worthwhile when the number of waiting callers exceeds this many times the number of
/// requests that the loaded replicas run at once.
const MAX_WAITING_RATIO: u32 = 2;

/// The interval between two loads of one group once the burst of the store's rate limit is used up.
fn store_interval(view: &View<'_>) -> Duration {
    let document = view.ledger.document();
    let groups = document.groups.values();
    let engines = groups.filter(|group| group.kind == document::Kind::Engine);
    let engines = u32::try_from(engines.count()).unwrap_or(u32::MAX).max(1);
    let interval = 1.0 / document.serving.store_loads_per_second;
    Duration::try_from_secs_f64(interval)
        .unwrap_or(Duration::MAX)
        .saturating_mul(engines)
}

impl Steward {
    /// Whether another replica is worthwhile: there is no usable one, or the waiting callers far exceed what the
    /// usable ones run at once.
    pub(super) fn needs_replica(
        &self,
        view: &View<'_>,
        want: &ItemDemand,
        held: &[(&right::Key, &right::Right)],
    ) -> bool {
        let loaded = held.iter().filter(|(key, right)| {
            key.item == want.item
                && right.state == right::State::Loaded
                && self.is_usable(view, key)
        });
        let loaded = loaded.count();
        let slots = view.group(&self.group).map_or(1, |group| group.slots);
        loaded == 0 || want.callers as usize > MAX_WAITING_RATIO as usize * loaded * slots as usize
    }

    /// Whether the limits for the store and for adapters permit another load. The open loads of all groups count,
    /// since every steward folds them. Two stewards that decide at the same moment may exceed the limit by one;
    /// loads are then slower, which is harmless.
    pub(super) fn is_load_permitted(&self, view: &View<'_>, item: &item::Item) -> bool {
        let serving = &view.ledger.document().serving;
        let is_adapter = item.adapter.is_some();
        let limit = if is_adapter {
            serving.adapter_loads_at_once
        } else {
            serving.store_loads_at_once
        };
        let counts = |key: &right::Key| {
            key.item.adapter.is_some() == is_adapter
                && (is_adapter
                    || self.source(view, &key.server, &key.item) == placement::Source::Remote)
        };
        let rights = view.ledger.rights().iter();
        let loading = rights.filter(|(key, right)| {
            matches!(right.state, right::State::Loading { .. }) && counts(key)
        });
        let proposed = self
            .proposed
            .keys()
            .filter(|key| view.ledger.right(key).is_none() && counts(key));
        let below_limit = loading.count() + proposed.count() < limit as usize;
        below_limit && (is_adapter || self.is_within_store_rate(view))
    }

    /// Whether the store's rate limit permits a load now: `store_loads_per_second` divided among the engine
    /// groups, with a burst of `store_loads_at_once`.
    fn is_within_store_rate(&self, view: &View<'_>) -> bool {
        let serving = &view.ledger.document().serving;
        let burst = store_interval(view) * serving.store_loads_at_once.saturating_sub(1);
        self.store_due <= view.now.after(burst)
    }

    /// Counts a load against the store's rate limit, unless the load uses a checkpoint on the server's disk or in
    /// its memory.
    pub(super) fn count_store_load(&mut self, view: &View<'_>, key: &right::Key) {
        let is_remote = self.source(view, &key.server, &key.item) == placement::Source::Remote;
        if is_remote && key.item.adapter.is_none() {
            self.store_due = self.store_due.max(view.now).after(store_interval(view));
        }
    }

    /// The current versions of models that are loaded in an old version. Callers are served by the old version, so
    /// none of them waits for the current one, and it would never come into use.
    pub(super) fn outdated_successors(&self, view: &View<'_>) -> Vec<ItemDemand> {
        let document = view.ledger.document();
        let mut successors: BTreeMap<item::Item, ItemDemand> = BTreeMap::new();
        for (key, right) in view.rights(&self.group) {
            let Some(model) = document.models.get(&key.item.model) else {
                continue;
            };
            let is_outdated = key.item.version != model.version && key.item.adapter.is_none();
            if !is_outdated || right.state != right::State::Loaded {
                continue;
            }
            let item = item::Item::new(key.item.model.clone(), model.version);
            let want = ItemDemand {
                item: item.clone(),
                callers: 1,
                deadline: clock::Instant(u64::MAX),
            };
            successors.insert(item, want);
        }
        successors.retain(|item, _| !self.demand.is_wanted(item));
        successors.into_values().collect()
    }

    /// Loaded items whose use far exceeds what their replicas run at once. When callers are spread over many
    /// instances, no single instance sees the overload, so none would ask for another replica.
    pub(super) fn overloaded(&self, view: &View<'_>) -> Vec<ItemDemand> {
        let slots = view.group(&self.group).map_or(1, |group| group.slots);
        let mut replicas: BTreeMap<&item::Item, u32> = BTreeMap::new();
        for (key, right) in view.rights(&self.group) {
            if right.state == right::State::Loaded {
                *replicas.entry(&key.item).or_default() += 1;
            }
        }
        let waiting = replicas.into_iter().filter_map(|(item, replicas)| {
            let active = self.demand.active(view.now, item);
            let callers = active.saturating_sub(replicas * slots);
            let is_overloaded =
                callers > MAX_WAITING_RATIO * replicas * slots && !self.demand.is_wanted(item);
            is_overloaded.then(|| ItemDemand {
                item: item.clone(),
                callers,
                deadline: clock::Instant(u64::MAX),
            })
        });
        waiting.collect()
    }
}
