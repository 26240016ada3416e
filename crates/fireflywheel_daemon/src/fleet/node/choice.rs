//! Chooses servers for requests, and counts the requests at each server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fireflywheel::clock;
use fireflywheel::fleet::announcement::Process;
use fireflywheel::fleet::config;
use fireflywheel::fleet::limit::gate as limit;
use fireflywheel::fleet::load;
use fireflywheel::fleet::prefix::choice::Assumption;
use fireflywheel::fleet::routing;
use smol_str::SmolStr;

use super::guard;
use super::path::Target;
use super::prefix;
use super::speed;
use super::state;
use super::{Node, QueueKey};
use crate::fleet::platform;

/// Lower bound of a route's objective, so that an objective of zero causes no division by zero.
const MIN_OBJECTIVE: Duration = Duration::from_millis(1);

/// A backend server that was chosen.
#[derive(Clone, Debug)]
pub struct Chosen {
    /// Its id.
    pub server: SmolStr,
    /// When its process started, in Unix milliseconds.
    pub started_ms: u64,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The version of its software, if it is known.
    pub version: Option<SmolStr>,
    /// Maximum number of connections of this instance to it.
    pub connections: usize,
    /// Prompt tokens that it has to prefill, as far as it is known.
    pub prefill_tokens: u32,
    /// The number of rejections in a second that it tolerates, if the request needs a place of another instance there.
    pub brittle: Option<u32>,
    /// What is assumed of its memory, if that counts.
    pub assumption: Option<Assumption>,
}

/// The result of choosing a server for a request.
#[derive(Clone, Debug)]
pub enum Choice {
    /// A server that can run the request.
    Server(Chosen),
    /// The servers that can run the request have no room at the moment; contains the wait that the steward
    /// expects.
    Full(Option<Duration>),
    /// The servers that can run the request announce a limit, and there is no permit for it yet; contains the
    /// wait that the steward expects.
    Limited(Option<Duration>),
    /// The servers that can run the request have asked this instance for a rest; contains the time until the first of
    /// them takes requests again.
    Resting(Duration),
    /// The servers that can run the request could not be reached a moment ago.
    Unreachable,
    /// No server holds the model; contains the wait that the steward expects.
    NotLoaded(Option<Duration>),
    /// The steward has been asked which engines hold the model.
    Subscribing,
    /// The group has no server.
    NoServer,
    /// No server of the required version can take the request, though servers of others may.
    NoServerOfVersion,
}

/// A request that needs a server.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// Its route.
    pub route: &'a config::Route,
    /// The queue that it waits in.
    pub queue: &'a QueueKey,
    /// Its parsed form.
    pub call: &'a platform::Call,
    /// Servers that it was already sent to; they are left out if there are others.
    pub tried: &'a [SmolStr],
    /// How long it can still wait for a server.
    pub remaining: Duration,
}

/// A server that was picked.
#[derive(Clone, Debug)]
struct Picked<'a> {
    known: &'a state::ServerState,
    /// Prompt tokens that it has to prefill, as far as it is known.
    prefill_tokens: u32,
    /// The number of rejections in a second that it tolerates, if the request needs a place of another instance there.
    brittle: Option<u32>,
    assumption: Option<Assumption>,
}

/// Whose places at brittle servers a request may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Places {
    Own,
    Lent,
}

/// The outcome of an attempt, as far as its server is concerned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerOutcome {
    /// The server behaved correctly.
    Good,
    /// The server failed the request.
    Failed,
    /// The server could not be reached.
    Unreachable,
    /// This instance had no free connection to the server.
    Full,
    /// No other instance had a place at the server to spare.
    NoPlace,
    /// The server rejected the request for want of room.
    Rejected,
    /// Another server listens on its address.
    Replaced,
}

impl Chosen {
    /// The process that the request is for.
    #[must_use]
    pub fn process(&self) -> Process {
        Process {
            server: self.server.clone(),
            started_ms: self.started_ms,
        }
    }

    /// Where the request is sent.
    #[must_use]
    pub fn target(&self) -> Target {
        Target {
            process: self.process(),
            address: self.address,
            connections: self.connections,
            brittle: self.brittle,
        }
    }
}

impl<P> Node<P>
where
    P: Send + Sync,
{
    /// Chooses a server that the request can go to now.
    #[must_use]
    pub fn choose(&self, query: Query<'_>) -> Choice {
        let Query { queue, tried, .. } = query;
        let now = self.now();
        let mut state = self.lock();
        let Some(config) = state.config().cloned() else {
            return Choice::NoServer;
        };
        let Some(group) = config.groups.get(&queue.group) else {
            return Choice::NoServer;
        };
        if let Some(model) = &queue.model
            && !state.ensure_model_known(now, model)
        {
            drop(state);
            self.demand_changed.notify_one();
            return Choice::Subscribing;
        }
        let mut servers: Vec<&state::ServerState> = state.usable_servers(now, queue).collect();
        // With subscriptions, an instance knows only the engines that hold the models it was asked for, and the steward tells
        // whether there are others.
        let is_subscribed = state.subscriptions.is_some() && queue.model.is_some();
        if servers.is_empty() {
            return match is_subscribed {
                true => not_loaded(&state, queue, now),
                false => Choice::NoServer,
            };
        }
        servers.retain(|known| queue.allows(&known.server));
        if servers.is_empty() {
            return match is_subscribed {
                true => not_loaded(&state, queue, now),
                false => Choice::NoServerOfVersion,
            };
        }
        if let (Some(_), Some(model)) = (&group.engine, &queue.model) {
            let prefer_steward = state.steward_data_valid(now);
            servers.retain(|known| {
                let held = known.held(prefer_steward);
                held.holds(model, queue.adapter.as_deref())
            });
            if servers.is_empty() {
                return not_loaded(&state, queue, now);
            }
        }
        let rests_until = |known: &state::ServerState| state.rests_until(now, known);
        let first_rest_end = servers.iter().filter_map(|known| rests_until(known)).min();
        servers.retain(|known| rests_until(known).is_none());
        if let (true, Some(end)) = (servers.is_empty(), first_rest_end) {
            return Choice::Resting(end.since(now));
        }
        if servers
            .iter()
            .any(|known| !tried.contains(&known.server.id))
        {
            servers.retain(|known| !tried.contains(&known.server.id));
        }
        let view = self.limit_view(now, &state);
        let (limited, open): (Vec<_>, Vec<_>) = servers
            .into_iter()
            .partition(|known| known.limit.is_limited());
        let permitted: Vec<_> = limited
            .iter()
            .copied()
            .filter(|known| known.limit.is_open(view))
            .collect();
        let begins_stream = queue.version.is_none() && query.route.kind == config::Kind::Resumable;
        let is_settled = |known: &&state::ServerState| {
            !begins_stream || state.origins.is_settled(now, state.has_steward, known)
        };
        let [settled_open, settled_permitted] = [&open, &permitted].map(|servers| {
            let servers = servers.iter().copied();
            servers.filter(is_settled).collect::<Vec<_>>()
        });
        let speeds = speed::View::new(now, self.incarnation, &state, query);
        // A server that announces a limit is overloaded, so servers without a limit come first.
        let picked = self
            .pick(&state, query, &speeds, &settled_open, Places::Own)
            .or_else(|| self.pick(&state, query, &speeds, &settled_permitted, Places::Own))
            .or_else(|| self.pick(&state, query, &speeds, &open, Places::Own))
            .or_else(|| self.pick(&state, query, &speeds, &permitted, Places::Own));
        let picked = match state.paths.has_lenders() {
            true => picked
                .or_else(|| self.pick(&state, query, &speeds, &settled_open, Places::Lent))
                .or_else(|| self.pick(&state, query, &speeds, &open, Places::Lent)),
            false => picked,
        };
        let waits = picked
            .as_ref()
            .is_none_or(|picked| picked.brittle.is_some());
        let awaited: Vec<SmolStr> = match waits {
            true => server_ids(&open).cloned().collect(),
            false => Vec::new(),
        };
        let Some(picked) = picked else {
            let is_full = !open.is_empty() || !permitted.is_empty();
            let limited: Vec<SmolStr> = server_ids(&limited).cloned().collect();
            let expected = forecast_wait(&state, queue, now);
            state.record_demand(now, &awaited);
            if state.request_permit(view, query.remaining, queue, &limited) {
                self.demand_changed.notify_one();
            }
            return match is_full {
                true => Choice::Full(expected),
                false => Choice::Limited(state.expected_permit_wait(now, &limited)),
            };
        };
        let chosen = Chosen {
            server: picked.known.server.id.clone(),
            started_ms: picked.known.server.started_ms,
            address: picked.known.server.address,
            version: picked.known.server.version.clone(),
            connections: state.connections(group.connections),
            prefill_tokens: picked.prefill_tokens,
            brittle: picked.brittle,
            assumption: picked.assumption,
        };
        let is_unreachable = picked.known.stats.is_unreachable(now);
        state.record_demand(now, &awaited);
        if let Some(known) = state.servers.get_mut(&chosen.server) {
            if is_unreachable && !known.stats.try_probe(now) {
                return Choice::Unreachable;
            }
            known.limit.use_permit(view);
        }
        Choice::Server(chosen)
    }

    /// Picks the best of some servers; `None` if none of them has room.
    fn pick<'a>(
        &self,
        state: &state::State,
        query: Query<'_>,
        speeds: &speed::View<'_>,
        servers: &[&'a state::ServerState],
        places: Places,
    ) -> Option<Picked<'a>> {
        let now = self.now();
        let Query { route, call, .. } = query;
        // Streams that callers take up again can go to servers of one version only.
        let mut versions = servers.iter().map(|known| &known.server.version);
        let first = versions.next();
        let has_several_versions = versions.any(|version| Some(version) != first);
        let is_for_any = query.queue.version.is_none() && query.queue.model.is_some();
        let leaves_reserve = is_for_any && has_several_versions;
        let prompt = prompt(call);
        let parts = call
            .shared_prefix
            .as_ref()
            .map_or("", |prefix| &prefix.parts);
        let cached_server =
            load::prefix_cache_server(prompt, parts, server_ids(servers).map(SmolStr::as_str));
        let weighed = prefix::weigh(now, state, route, call, servers);
        let objective = route.latency_objective.max(MIN_OBJECTIVE);
        let prefill_tokens = |index: usize| match &weighed {
            Some(weighed) => weighed.prefill_tokens(index),
            None => prompt.prefill_tokens(cached_server == Some(servers[index].server.id.as_str())),
        };
        let candidates: Vec<routing::Candidate<'_>> = servers
            .iter()
            .enumerate()
            .map(|(index, known)| {
                let expected = speeds.expected(known, prefill_tokens(index));
                let prefill_ratio = match (&weighed, expected) {
                    (Some(weighed), None) => weighed.cost(index).div_duration_f64(objective),
                    (Some(weighed), Some(_)) => {
                        weighed.side_cost(index).div_duration_f64(objective)
                    }
                    (None, None) => prefill_ratio(now, route, known, prefill_tokens(index)),
                    (None, Some(_)) => 0.0,
                };
                routing::Candidate {
                    stats: &known.stats,
                    slots: known.server.slots,
                    is_detour: known.reach.is_lost(),
                    leaves_reserve,
                    same_domain: known.server.failure_domain == self.settings.failure_domain,
                    other_requests: known.backlog.other_requests(now),
                    prefill_ratio,
                    expected,
                }
            })
            .collect();
        let draw = rand::random();
        let (index, brittle) = match places {
            Places::Own => (routing::pick(now, &candidates, draw)?, None),
            Places::Lent => {
                let index = routing::pick_beyond_window(now, &candidates, draw)?;
                (index, Some(servers[index].stats.tolerated_rejections()?))
            }
        };
        self.note_diversion(now, query, servers, &candidates, draw, index);
        let known = servers[index];
        Some(Picked {
            known,
            brittle,
            prefill_tokens: prefill_tokens(index),
            assumption: weighed.map(|weighed| self.assume(call, &weighed, index, servers)),
        })
    }

    fn limit_view<'a>(&'a self, now: clock::Instant, state: &state::State) -> limit::View<'a> {
        limit::View {
            now,
            instance: &self.settings.instance,
            instances: state.instances.count(),
            has_steward: state.has_steward,
        }
    }

    /// How long callers of a model are expected to wait, as far as the steward has reported.
    #[must_use]
    pub fn expected_wait(&self, queue: &QueueKey) -> Option<Duration> {
        let now = self.now();
        forecast_wait(&self.lock(), queue, now)
    }

    /// Counts a request at a server until the returned guard is dropped.
    #[must_use]
    pub fn register_in_flight(
        self: &Arc<Self>,
        chosen: &Chosen,
        queue: &QueueKey,
    ) -> guard::InFlight<P> {
        let server = &chosen.server;
        let key = (
            queue.model.clone().unwrap_or_default(),
            queue.adapter.clone(),
        );
        let now = self.now();
        let mut state = self.lock();
        let mut server_started_ms = 0;
        let run = state.begin_run(self.now(), server, chosen.prefill_tokens);
        if let Some(known) = state.servers.get_mut(server) {
            known.stats.in_flight += 1;
            known.stats.borrowed += u32::from(chosen.brittle.is_some());
            known.backlog.add_own(chosen.prefill_tokens);
            let running = known.running.entry(key.clone()).or_default();
            running.count += 1;
            running.prefill_tokens = running.prefill_tokens.saturating_add(chosen.prefill_tokens);
            server_started_ms = known.server.started_ms;
        }
        let since = (state.parts.waiting || state.parts.refusal).then(|| self.now());
        let assumption = chosen.assumption.clone();
        if let Some(assumption) = &assumption {
            state.begin_prefix(now, server, server_started_ms, assumption);
        }
        drop(state);
        self.usage_changed.notify_one();
        guard::InFlight {
            node: Arc::clone(self),
            server: server.clone(),
            server_started_ms,
            key,
            prefill_tokens: chosen.prefill_tokens,
            is_borrowed: chosen.brittle.is_some(),
            has_run: false,
            run,
            group: queue.group.clone(),
            since,
            assumption: assumption.map(|assumption| (now, assumption)),
        }
    }

    /// Counts a request as waiting until the returned guard is dropped.
    #[must_use]
    pub fn register_waiting(
        self: &Arc<Self>,
        queue: &QueueKey,
        since: clock::Instant,
        until: clock::Instant,
    ) -> guard::Waiter<P> {
        let mut state = self.lock();
        state.next_waiter += 1;
        let number = state.next_waiter;
        let waiting = state::Waiting { since, until };
        state
            .queues
            .entry(queue.clone())
            .or_default()
            .insert(number, waiting);
        drop(state);
        self.demand_changed.notify_one();
        guard::Waiter {
            node: Arc::clone(self),
            queue: queue.clone(),
            number,
        }
    }

    /// Keeps the demand of a request that was refused for now, until its caller has come back.
    pub fn keep_demand(&self, queue: &QueueKey, until: clock::Instant) {
        let since = self.now();
        self.lock().keep_demand(since, queue, until);
        self.demand_changed.notify_one();
    }

    /// Records the first attempt of a request in the group's retry budget.
    pub fn record_first_attempt(&self, group: &SmolStr) {
        let now = self.now();
        self.lock()
            .retry_budget(group, &self.settings)
            .record_request(now);
    }

    /// Takes one retry out of the group's budget. Returns whether there was one.
    #[must_use]
    pub fn try_retry(&self, group: &SmolStr) -> bool {
        let now = self.now();
        let mut state = self.lock();
        let instances = state.instances.count();
        state
            .retry_budget(group, &self.settings)
            .try_retry(now, instances)
    }
}

fn server_ids<'a>(
    servers: &[&'a state::ServerState],
) -> impl ExactSizeIterator<Item = &'a SmolStr> {
    servers.iter().map(|known| &known.server.id)
}

/// The steward's forecast for a queue; `None` if there is none, and a time of `None` if no server of the version is there.
fn forecast(state: &state::State, queue: &QueueKey) -> Option<Option<clock::Instant>> {
    let key = (
        queue.group.clone(),
        queue.model.clone()?,
        queue.version.clone(),
    );
    state.forecasts.get(&key).copied()
}

fn forecast_wait(state: &state::State, queue: &QueueKey, now: clock::Instant) -> Option<Duration> {
    Some(forecast(state, queue)??.since(now))
}

/// The choice if no known server that the queue allows holds the model.
fn not_loaded(state: &state::State, queue: &QueueKey, now: clock::Instant) -> Choice {
    match forecast(state, queue) {
        Some(None) => Choice::NoServerOfVersion,
        Some(Some(at)) => Choice::NotLoaded(Some(at.since(now))),
        None => Choice::NotLoaded(None),
    }
}

fn prompt(call: &platform::Call) -> load::Prompt {
    let shared_tokens = call
        .shared_prefix
        .as_ref()
        .map_or(0, |prefix| prefix.tokens);
    load::Prompt {
        tokens: call.prompt_tokens.max(shared_tokens),
        shared_tokens,
    }
}

/// Expected time until a server has finished prefill of a prompt with this many uncached tokens, relative to
/// the route's objective.
fn prefill_ratio(
    now: clock::Instant,
    route: &config::Route,
    known: &state::ServerState,
    prefill_tokens: u32,
) -> f64 {
    if prefill_tokens == 0 {
        return 0.0;
    }
    let tokens = known.backlog.prefill_tokens(now) + f64::from(prefill_tokens);
    let objective = route.latency_objective.max(MIN_OBJECTIVE);
    load::prefill_time(tokens).div_duration_f64(objective)
}
