//! What the directory, the steward and the servers themselves say.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use fireflywheel::fleet::adaptive_timeout;
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
    /// Takes in news of the directory. Entries that are gone are kept for `patience`, in case they lapsed
    /// only because the store was away.
    pub fn update_directory(&self, news: platform::DirectoryUpdate, patience: Duration) {
        let now = self.now();
        let mut state = self.lock();
        match news {
            platform::DirectoryUpdate::Full(servers) => {
                for known in state.servers.values_mut() {
                    if servers.iter().all(|server| server.id != known.server.id) {
                        known.missing.get_or_insert(now);
                    }
                }
                for server in servers {
                    state.enter(server);
                }
            }
            platform::DirectoryUpdate::Partial(changes) => {
                for (id, server) in changes {
                    match server {
                        Some(server) => state.enter(server),
                        None => state.miss(&id, now),
                    }
                }
            }
        }
        state.forget_missing(now, patience);
        drop(state);
        self.wake();
    }

    /// All entries of the directory, for other instances. Those that are missing for a moment are among them: others have no patience of
    /// their own for what the steward tells.
    #[must_use]
    pub fn entries(&self) -> BTreeMap<SmolStr, frame::Entry> {
        let now = self.now();
        let state = self.lock();
        let servers = state.servers.iter();
        servers
            .map(|(id, known)| (id.clone(), frame::Entry::new(&known.server, now)))
            .collect()
    }

    /// The steward says what has changed in the directory.
    pub fn learn_entries(&self, changes: frame::Changes) {
        let now = self.now();
        let mut state = self.lock();
        state.entries_told = true;
        let named: BTreeSet<&SmolStr> = changes.entries.iter().map(|entry| &entry.id).collect();
        let unnamed = state.servers.values().filter(|known| {
            let server = &known.server;
            changes.complete_groups.contains(&server.group) && !named.contains(&server.id)
        });
        let mut gone: Vec<SmolStr> = unnamed.map(|known| known.server.id.clone()).collect();
        drop(state);
        gone.extend(changes.gone);
        let servers = changes.entries.into_iter().map(|entry| entry.server(now));
        let changed = servers.map(|server| (server.id.clone(), Some(server)));
        let gone = gone.into_iter().map(|id| (id, None));
        let news = platform::DirectoryUpdate::Partial(changed.chain(gone).collect());
        self.update_directory(news, Duration::ZERO);
    }

    /// Whether the steward has told of entries since this was asked last: they may be older than own reads.
    pub fn take_entries_told(&self) -> bool {
        std::mem::take(&mut self.lock().entries_told)
    }

    /// The steward tells what engines hold.
    pub fn learn_holdings(&self, holdings: frame::Holdings) {
        let now = self.now();
        let mut state = self.lock();
        let holders: BTreeSet<SmolStr> = holdings
            .engines
            .iter()
            .map(|holding| holding.entry.id.clone())
            .collect();
        for holding in holdings.engines {
            state.enter_held(holding, now);
        }
        for model in holdings.complete {
            state.complete(now, &model, &holders);
        }
        drop(state);
        self.wake();
    }

    /// This instance, as steward, knows anew what an engine holds.
    pub fn learn_held(&self, holding: frame::Holding) {
        let mut state = self.lock();
        if let Some(known) = state.servers.get_mut(&holding.entry.id)
            && known.server.started_ms == holding.entry.started_ms
        {
            known.told = Some(server::Held {
                models: holding.models,
                ..server::Held::default()
            });
        }
        drop(state);
        self.wake();
    }

    /// A link to the steward was made. What it was asked before is asked anew.
    pub fn link_opened(&self) {
        let mut state = self.lock();
        state.whole = false;
        for ask in state.asks.values_mut() {
            ask.sent = false;
        }
        for gate in state.gates.values_mut() {
            gate.link_opened();
        }
        for known in state.servers.values_mut() {
            known.limit.link_opened();
        }
    }

    /// The steward tells of all engines from now on, or of those that hold what it is asked for.
    pub fn set_all_engines(&self, whole: bool) {
        let mut state = self.lock();
        state.whole = whole;
        state.live = (!whole).then(BTreeMap::new);
        state.asks.clear();
        drop(state);
        self.wake();
    }

    /// The steward tells what engines hold from now on, or doesn't any more.
    pub fn set_steward_link(&self, told: bool) {
        let until = self.now().after(state::TOLD);
        let mut state = self.lock();
        state.steward = told;
        if !told {
            state.live = None;
            state.whole = false;
            state.asks.clear();
        }
        match (told, state.told_until) {
            (true, _) => {
                if !state.whole && !state.relaying && state.live.is_none() {
                    state.live = Some(BTreeMap::new());
                    state.forget_unused_engines();
                }
                state.told_until = None;
            }
            (false, None) => state.told_until = Some(until),
            (false, Some(_)) => {}
        }
    }

    /// The steward says when models can be used; replaces what it said before.
    pub fn learn_forecasts(&self, forecasts: Vec<frame::Forecast>) {
        let now = self.now();
        let mut state = self.lock();
        state.forecasts = forecasts
            .into_iter()
            .map(|forecast| {
                let at = now.after(Duration::from_millis(forecast.wait_ms.into()));
                ((forecast.group, forecast.model), at)
            })
            .collect();
        drop(state);
        self.wake();
    }

    /// The steward says what engines have to do, in the order of their ids.
    pub fn learn_load(&self, loads: &[load::Load]) {
        let now = self.now();
        let mut state = self.lock();
        for known in state.servers.values_mut() {
            let place = loads.binary_search_by(|load| load.server.cmp(&known.server.id));
            let (unread, requests) = place.map_or((0, 0), |place| {
                (loads[place].prefill_tokens, loads[place].requests)
            });
            known.backlog.update_others(now, unread, requests);
        }
    }

    /// How many instances the steward counts.
    pub fn learn_instances(&self, instances: usize) {
        let now = self.now();
        self.lock().instances.update(now, instances);
    }

    /// A response to a request of a route began after `took`.
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

    /// After so long without a response to a request of a route it is lost, as far as known.
    #[must_use]
    pub fn response_timeout(&self, route: &str) -> Option<Duration> {
        self.lock().response_times.get(route)?.timeout()
    }

    /// Remembers how a server did.
    pub fn record_outcome(&self, id: &str, verdict: ServerOutcome) {
        let now = self.now();
        let mut state = self.lock();
        let Some(known) = state.servers.get_mut(id) else {
            return;
        };
        match verdict {
            ServerOutcome::Good => known.stats.record_success(now),
            ServerOutcome::Failed => known.stats.record_failure(now),
            ServerOutcome::Unreachable => {
                known.stats.record_unreachable(now);
                // The steward asks it, and has its models loaded elsewhere if it doesn't answer.
                state.denied.insert(id.into());
                drop(state);
                self.demand_changed.notify_one();
            }
            ServerOutcome::Full => known.stats.record_full(now),
            ServerOutcome::Replaced => known.stats.record_replaced(now),
        }
    }

    /// A server reported its load.
    pub fn record_load_report(&self, id: &str, report: routing::Report) {
        let now = self.now();
        if let Some(known) = self.lock().servers.get_mut(id) {
            known.stats.record_report(now, report);
        }
    }

    /// A server said that it doesn't hold a model which it was thought to hold. The steward is told: somebody else
    /// may have ordered the server, and all instances would go on to send it requests that it refuses.
    pub fn report_missing_model(&self, id: &str, queue: &QueueKey) {
        let Some(model) = &queue.model else {
            return;
        };
        let mut state = self.lock();
        state.denied.insert(id.into());
        if let Some(known) = state.servers.get_mut(id) {
            let told = known.told.iter_mut();
            for held in told.chain([&mut known.server.held]) {
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
