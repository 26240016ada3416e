//! The choice of the backend server that loads an item, and of the replicas that it evicts for it.

use smol_str::SmolStr;

use super::{ItemDemand, Step, Steward, View};
use crate::{item, placement, right};

/// The sources of checkpoints, the fastest first.
const SOURCES: [placement::Source; 3] = [
    placement::Source::Memory,
    placement::Source::Disk,
    placement::Source::Remote,
];

impl Steward {
    /// The free memory, in MB, that a load requires: for a model, this includes its largest adapter.
    ///
    /// Otherwise, two models that fill a backend server and that both have callers for an adapter would block each
    /// other until the callers of one are refused: neither adapter fits, and neither model is idle.
    pub(super) fn required_mb(&self, view: &View<'_>, want: &ItemDemand, memory_mb: u64) -> u64 {
        if want.item.adapter.is_some() {
            return memory_mb;
        }
        let adapters = view.ledger.document().adapters.get(&want.item.model);
        let adapters = adapters.into_iter().flat_map(|adapters| adapters.values());
        let largest = adapters.map(|adapter| adapter.memory_mb).max();
        let required_mb = memory_mb + largest.unwrap_or(0);
        let server_mb = view.group(&self.group).map_or(0, |group| group.memory_mb);
        required_mb.min(server_mb.max(memory_mb))
    }

    /// Chooses the backend server with the lowest total wait, counting both the callers of the item and the callers
    /// of the replicas that have to be evicted.
    ///
    /// A faster checkpoint source may outweigh free memory on another server, above all while the store is busy:
    /// only loads from the store are subject to its limits.
    pub(super) fn choose_placement(
        &self,
        view: &View<'_>,
        want: &ItemDemand,
        memory_mb: u64,
    ) -> Step {
        let servers = self.candidate_servers(view, &want.item);
        if servers.is_empty() {
            return Step::Busy("no backend server takes replicas");
        }
        let candidates: Vec<_> = servers
            .iter()
            .map(|server| self.candidate(view, &want.item, server))
            .collect();
        let is_permitted = want.item.adapter.is_some() || self.is_load_permitted(view, &want.item);
        let mut best: Option<(f64, Step)> = None;
        for source in SOURCES {
            if source == placement::Source::Remote && !is_permitted {
                continue;
            }
            let mut same_source = candidates.clone();
            same_source.retain(|candidate| candidate.source == source);
            let Some((cost, step)) = self.choose_among(view, want, memory_mb, &same_source) else {
                continue;
            };
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, step));
            }
        }
        match best {
            Some((_, step)) => step,
            None if is_permitted => Step::Busy("everything loaded is in use"),
            None => Step::NoAction,
        }
    }

    /// Chooses among backend servers with the same checkpoint source, and returns the cost of the load with the
    /// step.
    fn choose_among(
        &self,
        view: &View<'_>,
        want: &ItemDemand,
        memory_mb: u64,
        candidates: &[placement::Candidate<&SmolStr>],
    ) -> Option<(f64, Step)> {
        let policy = self.policy(view);
        let model = view.ledger.document().models.get(&want.item.model)?;
        let load = model
            .load
            .mul_f64(candidates.first()?.source.load_time_ratio());
        if let Some(server) = policy.choose_server(memory_mb, candidates) {
            let cost = policy.load_cost(load, want.callers, 0.0);
            return Some((cost, Step::Load(server.clone())));
        }
        let servers: Vec<_> = candidates
            .iter()
            .map(|candidate| self.server_replicas(view, &want.item, candidate.key))
            .collect();
        let eviction = policy.plan_eviction(view.now, memory_mb, &servers)?;
        let cost = policy.load_cost(load, want.callers, eviction.loss);
        if eviction.victims.is_empty() {
            return Some((cost, Step::NoAction));
        }
        let victims = eviction.victims.into_iter().cloned().collect();
        Some((cost, Step::Unload(self.with_adapters(view, victims))))
    }

    fn candidate<'b>(
        &self,
        view: &View<'_>,
        wanted: &item::Item,
        server: &'b SmolStr,
    ) -> placement::Candidate<&'b SmolStr> {
        let loading = view.rights(&self.group).filter(|(key, right)| {
            key.server == *server && matches!(right.state, right::State::Loading { .. })
        });
        let report = view
            .servers
            .get(server)
            .and_then(|known| known.report.as_ref());
        placement::Candidate {
            key: server,
            free_mb: self.free_mb(view, server),
            has_item: false,
            source: self.source(view, server, wanted),
            loading: u32::try_from(loading.count()).unwrap_or(u32::MAX),
            running: report.map_or(0, |(_, report)| report.running),
        }
    }

    /// A backend server with the replicas that may be evicted there. The memory of replicas that are already being
    /// unloaded counts as free.
    fn server_replicas<'b>(
        &self,
        view: &'b View<'b>,
        wanted: &item::Item,
        server: &'b SmolStr,
    ) -> placement::ServerReplicas<&'b SmolStr, &'b right::Key> {
        let here = view.ledger.rights().iter();
        let here: Vec<_> = here.filter(|(key, _)| key.server == *server).collect();
        let unloading = here
            .iter()
            .filter(|(_, right)| matches!(right.state, right::State::Unloading { .. }));
        let unloading_mb: u64 = unloading.map(|(_, right)| right.memory_mb).sum();
        let replicas = here.iter().filter(|(key, right)| {
            right.state == right::State::Loaded
                && (right.pins.is_empty() || view.fenced(&self.group))
                && key.item != wanted.base()
                && self.is_evictable(view, key)
        });
        placement::ServerReplicas {
            server,
            free_mb: self.free_mb(view, server) + unloading_mb,
            replicas: replicas
                .map(|(key, right)| self.replica(view, key, right))
                .collect(),
        }
    }
}
