//! Updates from the directory, the steward and the backend servers.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::MutexGuard;
use std::time::Duration;

use fireflywheel::clock;
use fireflywheel::fleet::adaptive_timeout;
use fireflywheel::fleet::directory;
use fireflywheel::fleet::era::Position;
use fireflywheel::fleet::frame;
use fireflywheel::fleet::load;
use fireflywheel::fleet::routing;
use fireflywheel::fleet::server;
use smol_str::SmolStr;

use super::state;
use super::{Node, QueueKey, ServerOutcome};
use crate::fleet::platform;

impl<P> Node<P>
where
    P: Send + Sync,
{
    /// Applies an update of the directory. Servers whose entries are gone are kept if the entries may have expired only
    /// because the store was down.
    pub fn update_directory(&self, update: platform::DirectoryUpdate) {
        let now = self.now();
        let source = state::EntrySource::OwnRead;
        let mut state = self.lock();
        let mut kept = 0;
        match update {
            platform::DirectoryUpdate::Full(servers, read_to) => {
                let (verdicts, gone) = state.directory.merge_all(now, &servers, read_to);
                for (verdict, server) in verdicts.into_iter().zip(servers) {
                    state.apply_verdict(verdict, server, source);
                }
                for id in gone {
                    kept += usize::from(state.mark_missing(&id, now));
                }
            }
            platform::DirectoryUpdate::Partial(changes, read_to) => {
                for (id, server) in changes {
                    match server {
                        Some(server) => {
                            let verdict = state.directory.merge_read(now, &server);
                            state.apply_verdict(verdict, server, source);
                        }
                        None if state.directory.merge_read_removal(now, &id, read_to) => {
                            kept += usize::from(state.mark_missing(&id, now));
                        }
                        None => {}
                    }
                }
                state.directory.advance(read_to);
            }
        }
        self.metrics.count_kept_servers(kept);
        self.finish_directory_update(now, state);
    }

    /// Removes the servers whose entries are missing, once they can't be back any more by what is known of the store.
    pub fn remove_missing_servers(&self) {
        let now = self.now();
        let state = self.lock();
        let has_missing = state
            .servers
            .values()
            .any(|known| known.missing_since.is_some());
        if has_missing {
            self.finish_directory_update(now, state);
        }
    }

    fn finish_directory_update(
        &self,
        now: clock::Instant,
        mut state: MutexGuard<'_, state::State>,
    ) {
        state.remove_missing(now);
        let has_news = state.origins.has_news();
        drop(state);
        if has_news {
            self.demand_changed.notify_one();
        }
        self.wake();
    }

    /// All entries of the directory, for other instances, and the position up to which they are known; `None` before this
    /// instance has read or received the directory. Entries that went missing a moment ago are included: the other instances
    /// remove a server if the steward's entries lack it.
    #[must_use]
    pub fn entries(&self) -> Option<(BTreeMap<SmolStr, frame::Entry>, Option<Position>)> {
        let now = self.now();
        let state = self.lock();
        if state.directory_read_at.is_none() && state.directory.position().is_none() {
            return None;
        }
        let servers = state.servers.iter();
        let entries = servers
            .map(|(id, known)| {
                let server = &known.server;
                let leaving = state.announcements.is_leaving(id, server.started_ms);
                let entry = frame::Entry::new(server, now).with_leaving(leaving);
                (id.clone(), entry)
            })
            .collect();
        Some((entries, state.directory.position()))
    }

    /// Applies the changes of the directory that the steward has sent.
    pub fn apply_directory_changes(&self, changes: frame::Changes) {
        let now = self.now();
        let entries = changes.entries.iter();
        let leaving: Vec<_> = entries.filter_map(frame::Entry::leaving_process).collect();
        self.record_leaving(&leaving);
        let mut state = self.lock();
        state.steward_entries_received = true;
        let missed_before = state.directory.missed();
        let (as_of, known_to) = (changes.as_of, state.directory.position());
        let merged = state.directory.merge_changes(now, changes);
        let missed = state.directory.missed();
        if merged.outdated > 0 || missed != missed_before {
            let offset =
                |position: Option<Position>| position.map_or(0, |position| position.offset);
            log::info!(
                as_of = offset(as_of), known_to = offset(known_to), missed = offset(missed), outdated = merged.outdated as u64;
                "steward's directory is older than what is known"
            );
        }
        for (entry, absence) in merged.entries {
            let verdict =
                absence.map_or(directory::Verdict::Accepted, directory::Verdict::Returned);
            let server = entry.server(now);
            state.apply_verdict(verdict, server, state::EntrySource::StewardDirectory);
        }
        let mut kept = 0;
        // The steward may know less than this instance: its own first read came after the entries had expired.
        for id in merged.removed {
            kept += usize::from(state.mark_missing(&id, now));
        }
        self.metrics.count_kept_servers(kept);
        self.finish_directory_update(now, state);
    }

    /// Whether the steward knows less of the directory than this instance does.
    pub fn misses_directory(&self) -> bool {
        self.lock().directory.missed().is_some()
    }

    /// Whether that has been so for at least `patience`.
    pub fn needs_directory_read(&self, patience: Duration) -> bool {
        let now = self.now();
        self.lock().directory.needs_own_read(now, patience)
    }

    /// Whether the steward has sent entries of the directory since the last call: they may be older than this
    /// instance's own reads.
    pub fn take_steward_entries_received(&self) -> bool {
        std::mem::take(&mut self.lock().steward_entries_received)
    }

    /// Stores what engines hold, as sent by the steward.
    pub fn update_holdings(&self, holdings: frame::Holdings) {
        let now = self.now();
        let mut state = self.lock();
        let holders: BTreeSet<SmolStr> = holdings
            .engines
            .iter()
            .map(|holding| holding.entry.id.clone())
            .collect();
        for holding in holdings.engines {
            state.store_holding(holding, now);
        }
        state.observe_versions(now);
        for model in holdings.complete {
            state.complete_subscription(now, &model, &holders);
        }
        drop(state);
        self.wake();
    }

    /// Stores what an engine holds, as this instance knows it as steward.
    pub fn record_own_holding(&self, holding: frame::EngineHoldings) {
        let mut state = self.lock();
        if let Some(known) = state.servers.get_mut(&holding.entry.id)
            && known.server.started_ms == holding.entry.started_ms
        {
            known.steward_held = Some(server::Held {
                models: holding.models,
                ..server::Held::default()
            });
            state.forget_unloaded_prefixes(&holding.entry.id);
        }
        drop(state);
        self.wake();
    }

    /// Handles a new link to the steward. What the steward was asked over an earlier link is asked again.
    pub fn link_opened(&self) {
        let now = self.now();
        let mut state = self.lock();
        state.all_engines = false;
        for pending in state.pending_subscriptions.values_mut() {
            pending.is_sent = false;
        }
        state.paths.link_opened();
        state.tell_steward_again(now);
    }

    /// Sets whether the steward sends all engines, or only those that hold the models this instance
    /// subscribes to.
    pub fn set_all_engines(&self, all_engines: bool) {
        let mut state = self.lock();
        state.all_engines = all_engines;
        state.subscriptions = (!all_engines).then(BTreeMap::new);
        state.pending_subscriptions.clear();
        drop(state);
        self.wake();
    }

    /// Sets whether there is a link to another instance that is the active steward.
    pub fn set_linked(&self, is_linked: bool) {
        let now = self.now();
        let mut state = self.lock();
        state.is_linked = is_linked;
        state.update_has_steward(now);
        self.metrics.set_linked(state.has_steward);
    }

    /// Sets whether this instance is the active steward.
    pub fn set_acting_steward(&self, is_acting: bool) {
        let now = self.now();
        let mut state = self.lock();
        if is_acting && !state.is_acting_steward {
            self.metrics.count_stewardship();
        }
        self.metrics.set_steward(is_acting);
        state.is_acting_steward = is_acting;
        if is_acting {
            state.subscriptions = None;
            state.pending_subscriptions.clear();
            state.tell_steward_again(now);
        }
        state.update_has_steward(now);
        self.metrics.set_linked(state.has_steward);
    }

    /// Stores when models become available, as forecast by the steward; replaces its earlier forecasts.
    pub fn replace_forecasts(&self, forecasts: Vec<frame::Forecast>) {
        let now = self.now();
        let mut state = self.lock();
        state.forecasts = forecasts
            .into_iter()
            .map(|forecast| {
                let at = forecast.wait().map(|wait| now.after(wait));
                ((forecast.group, forecast.model, forecast.version), at)
            })
            .collect();
        drop(state);
        self.wake();
    }

    /// Replaces the loads of engines by those that the steward has sent, in the order of the engines' ids. An
    /// engine that is not listed has no load of other instances.
    pub fn replace_loads(&self, loads: &[load::Load]) {
        let now = self.now();
        let mut state = self.lock();
        for known in state.servers.values_mut() {
            let index = loads.binary_search_by(|load| load.server.cmp(&known.server.id));
            let (prefill_tokens, requests) = index.map_or((0, 0), |index| {
                (loads[index].prefill_tokens, loads[index].requests)
            });
            known.backlog.update_others(now, prefill_tokens, requests);
        }
        state.record_told_speeds(now, loads);
        state.learn_prefixes(now, loads);
    }

    /// Stores the number of instances that the steward counts.
    pub fn update_instance_count(&self, instances: usize) {
        let now = self.now();
        self.lock().instances.update(now, instances);
    }

    /// Records that the response to a request of a route began after `took`.
    pub fn observe_response_time(&self, route: &SmolStr, took: Duration) {
        let mut state = self.lock();
        if !state.response_times.contains_key(route) {
            state
                .response_times
                .insert(route.clone(), adaptive_timeout::Estimator::default());
        }
        if let Some(response_times) = state.response_times.get_mut(route) {
            response_times.observe(took);
        }
    }

    /// The time within which most responses to requests of a route begin, as far as it is known.
    #[must_use]
    pub fn usual_response_time(&self, route: &str) -> Option<Duration> {
        self.lock().response_times.get(route)?.usual()
    }

    /// How long a request of a route can go without a response before it counts as lost, as far as it is
    /// known.
    #[must_use]
    pub fn response_timeout(&self, route: &str) -> Option<Duration> {
        self.lock().response_times.get(route)?.timeout()
    }

    /// Records the outcome of an attempt at a server.
    pub fn record_outcome(&self, id: &str, outcome: ServerOutcome) {
        let now = self.now();
        let mut state = self.lock();
        let Some(known) = state.servers.get_mut(id) else {
            return;
        };
        match outcome {
            ServerOutcome::Good => known.stats.record_success(now),
            ServerOutcome::Failed => known.stats.record_failure(now),
            ServerOutcome::Unreachable => {
                known.stats.record_unreachable(now);
                // The steward requests a report from this server, and has its models loaded elsewhere if it
                // does not answer.
                state.servers_to_check.insert(id.into());
                drop(state);
                self.demand_changed.notify_one();
            }
            ServerOutcome::Full => known.stats.record_full(now),
            ServerOutcome::NoPlace => known.stats.record_no_place(now),
            ServerOutcome::Rejected => known.stats.record_rejection(now),
            ServerOutcome::Replaced => known.stats.record_replaced(now),
        }
    }

    /// Records the load that a server has reported.
    pub fn record_load_report(&self, id: &str, report: routing::Report) {
        let now = self.now();
        if let Some(known) = self.lock().servers.get_mut(id) {
            known.stats.record_report(now, report);
        }
    }

    /// Records that a server does not hold a model which it was thought to hold. The steward is informed:
    /// another sender, such as an earlier steward, may have sent orders to the server, and all instances
    /// would go on sending it requests that it refuses.
    pub fn report_missing_model(&self, id: &str, queue: &QueueKey) {
        let Some(model) = &queue.model else {
            return;
        };
        let mut state = self.lock();
        state.servers_to_check.insert(id.into());
        if let Some(known) = state.servers.get_mut(id) {
            let steward_held = known.steward_held.iter_mut();
            for held in steward_held.chain([&mut known.server.held]) {
                match &queue.adapter {
                    None => {
                        held.models.remove(model);
                    }
                    Some(adapter) => {
                        if let Some(adapters) = held.models.get_mut(model) {
                            adapters.remove(adapter);
                        }
                    }
                }
            }
        }
        drop(state);
        self.demand_changed.notify_one();
    }
}
