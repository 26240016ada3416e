//! Where an item is loaded, and what makes room for it there.

use smol_str::SmolStr;

use super::{Step, Steward, View, Wanted};
use crate::{item, placement, right};

/// Where checkpoints lie, the nearest first.
const SOURCES: [placement::Source; 3] = [
    placement::Source::Memory,
    placement::Source::Disk,
    placement::Source::Remote,
];

impl Steward {
    /// Room that a replica needs: for a model also that of an adapter beside it.
    ///
    /// Two models that fill a backend server, each with callers for an adapter, would otherwise wait for each
    /// other until the callers of one are refused: neither adapter fits, and neither model is idle.
    pub(super) fn room_mb(&self, view: &View<'_>, want: &Wanted, memory_mb: u64) -> u64 {
        if want.item.adapter.is_some() {
            return memory_mb;
        }
        let adapters = view.ledger.document().adapters.get(&want.item.model);
        let adapters = adapters.into_iter().flat_map(|adapters| adapters.values());
        let largest = adapters.map(|adapter| adapter.memory_mb).max();
        let room_mb = memory_mb + largest.unwrap_or(0);
        let all = view.group(&self.group).map_or(0, |group| group.memory_mb);
        room_mb.min(all.max(memory_mb))
    }

    /// Finds the backend server where callers wait least, theirs and those of what has to go there.
    ///
    /// A nearer checkpoint may be worth more than free room elsewhere, most of all while the store is busy:
    /// only loads from there need one of its permits.
    pub(super) fn place(&self, view: &View<'_>, want: &Wanted, memory_mb: u64) -> Step {
        let hosts = self.candidates(view, &want.item);
        if hosts.is_empty() {
            return Step::Busy("no backend server takes replicas");
        }
        let candidates: Vec<_> = hosts
            .iter()
            .map(|server| self.candidate(view, &want.item, server))
            .collect();
        let permitted = want.item.adapter.is_some() || self.permitted(view, &want.item);
        let mut best: Option<(f64, Step)> = None;
        for source in SOURCES {
            if source == placement::Source::Remote && !permitted {
                continue;
            }
            let mut near = candidates.clone();
            near.retain(|candidate| candidate.source == source);
            let Some((cost, step)) = self.place_among(view, want, memory_mb, &near) else {
                continue;
            };
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, step));
            }
        }
        match best {
            Some((_, step)) => step,
            None if permitted => Step::Busy("everything loaded is in use"),
            None => Step::Underway,
        }
    }

    /// The best of backend servers that have the checkpoint equally near, and what a load there costs.
    fn place_among(
        &self,
        view: &View<'_>,
        want: &Wanted,
        memory_mb: u64,
        candidates: &[placement::Candidate<&SmolStr>],
    ) -> Option<(f64, Step)> {
        let policy = self.policy(view);
        let model = view.ledger.document().models.get(&want.item.model)?;
        let load = model
            .load
            .mul_f64(candidates.first()?.source.load_time_ratio());
        if let Some(server) = policy.choose_server(memory_mb, candidates) {
            let cost = policy.cost(load, want.callers, 0.0);
            return Some((cost, Step::Load(server.clone())));
        }
        let tenancies: Vec<_> = candidates
            .iter()
            .map(|candidate| self.tenancy(view, &want.item, candidate.key))
            .collect();
        let room = policy.plan_eviction(view.now, memory_mb, &tenancies)?;
        let cost = policy.cost(load, want.callers, room.loss);
        if room.victims.is_empty() {
            return Some((cost, Step::Underway));
        }
        let victims = room.victims.into_iter().cloned().collect();
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
            free_mb: self.free(view, server),
            holds: false,
            source: self.source(view, server, wanted),
            loading: u32::try_from(loading.count()).unwrap_or(u32::MAX),
            running: report.map_or(0, |(_, report)| report.running),
        }
    }

    /// A backend server with what may be unloaded there. What is being unloaded already is room to come.
    fn tenancy<'b>(
        &self,
        view: &'b View<'b>,
        wanted: &item::Item,
        server: &'b SmolStr,
    ) -> placement::ServerReplicas<&'b SmolStr, &'b right::Key> {
        let here = view.ledger.rights().iter();
        let here: Vec<_> = here.filter(|(key, _)| key.server == *server).collect();
        let leaving = here
            .iter()
            .filter(|(_, right)| matches!(right.state, right::State::Unloading { .. }));
        let coming: u64 = leaving.map(|(_, right)| right.memory_mb).sum();
        let replicas = here.iter().filter(|(key, right)| {
            right.state == right::State::Loaded
                && (right.pins.is_empty() || view.fenced(&self.group))
                && key.item != wanted.base()
                && self.may_go(view, key)
        });
        placement::ServerReplicas {
            server,
            free_mb: self.free(view, server) + coming,
            replicas: replicas
                .map(|(key, right)| self.replica(view, key, right))
                .collect(),
        }
    }
}
