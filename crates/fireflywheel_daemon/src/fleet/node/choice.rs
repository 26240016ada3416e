//! Where a request can go, and counting it there.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fireflywheel::clock;
use fireflywheel::fleet::config;
use fireflywheel::fleet::limit::gate as limit;
use fireflywheel::fleet::load;
use fireflywheel::fleet::routing;
use smol_str::SmolStr;

use super::guard;
use super::state;
use super::{Node, QueueKey};
use crate::fleet::platform;

/// A route's objective counts as this long at least, so that one of zero divides nothing.
const SHORTEST_OBJECTIVE: Duration = Duration::from_millis(1);

/// A backend server that was chosen.
#[derive(Clone, Debug)]
pub struct Chosen {
    /// Its id.
    pub server: SmolStr,
    /// Where it listens.
    pub address: SocketAddr,
    /// Connections that this instance may have to it.
    pub connections: usize,
    /// Tokens of the prompt that it has to read, as far as known.
    pub prefill_tokens: u32,
}

/// What there is for a request now.
#[derive(Clone, Debug)]
pub enum Choice {
    /// A server that can run it.
    Server(Chosen),
    /// Those that can run it have no room at this moment; the wait is what the steward expects.
    Full(Option<Duration>),
    /// Those that can run it name a limit, and its turn hasn't come; the wait is what the steward expects.
    Limited(Option<Duration>),
    /// Those that can run it couldn't be reached a moment ago.
    Unreachable,
    /// None holds its model; the wait is what the steward expects.
    NotLoaded(Option<Duration>),
    /// The steward is asked which engines hold its model.
    Subscribing,
    /// The group has no server.
    NoServer,
}

/// A request that is to go somewhere.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// Its route.
    pub route: &'a config::Route,
    /// Where it waits.
    pub queue: &'a QueueKey,
    /// What it says.
    pub call: &'a platform::Call,
    /// Servers that it was sent to already; left out if there are others.
    pub tried: &'a [SmolStr],
    /// How long it can wait for a server.
    pub left: Duration,
}

/// A server that was picked.
#[derive(Clone, Copy, Debug)]
struct Picked<'a> {
    known: &'a state::Known,
    /// Tokens of the prompt that it has to read, as far as known.
    unread: u32,
}

/// What became of an attempt, as far as its server is concerned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerOutcome {
    /// It did as it should.
    Good,
    /// It failed a request.
    Failed,
    /// It couldn't be reached.
    Unreachable,
    /// It had no room.
    Full,
    /// Another server has its address.
    Replaced,
}

impl<P> Node<P>
where
    P: Send + Sync,
{
    /// Where a request can go now.
    #[must_use]
    pub fn choose(&self, query: Query<'_>) -> Choice {
        let Query { queue, tried, .. } = query;
        let now = self.now();
        let mut state = self.lock();
        let Some(config) = state.config.clone() else {
            return Choice::NoServer;
        };
        let Some(group) = config.groups.get(&queue.group) else {
            return Choice::NoServer;
        };
        if let Some(model) = &queue.model
            && !state.knows_model(now, model)
        {
            drop(state);
            self.demand_changed.notify_one();
            return Choice::Subscribing;
        }
        let mut servers: Vec<&state::Known> = state.usable(now, queue).collect();
        if servers.is_empty() {
            // Of engines only those are known that hold what this instance is asked for.
            let is_told = state.live.is_some() && queue.model.is_some();
            return match is_told {
                true => Choice::NotLoaded(expected(&state, queue, now)),
                false => Choice::NoServer,
            };
        }
        if let (Some(_), Some(model)) = (&group.engine, &queue.model) {
            let told_stands = state.told_stands(now);
            servers.retain(|known| {
                let held = known.held(told_stands);
                held.holds(model, queue.adapter.as_deref())
            });
            if servers.is_empty() {
                return Choice::NotLoaded(expected(&state, queue, now));
            }
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
        // A server that names a limit is overloaded: others go first.
        let picked = self
            .pick(now, query, &open)
            .or_else(|| self.pick(now, query, &permitted));
        let Some(picked) = picked else {
            let full = !open.is_empty() || !permitted.is_empty();
            let limited: Vec<SmolStr> = ids(&limited).cloned().collect();
            let expected = expected(&state, queue, now);
            if state.want_permit(view, query.left, &limited) {
                self.demand_changed.notify_one();
            }
            return match full {
                true => Choice::Full(expected),
                false => Choice::Limited(state.expected_turn(now, &limited)),
            };
        };
        let chosen = Chosen {
            server: picked.known.server.id.clone(),
            address: picked.known.server.address,
            connections: (group.connections / state.instances.count()).max(1),
            prefill_tokens: picked.unread,
        };
        let down = queue.model.is_some() && picked.known.stats.is_down(now);
        if let Some(known) = state.servers.get_mut(&chosen.server) {
            if down && !known.stats.try_probe(now) {
                return Choice::Unreachable;
            }
            known.limit.use_permit(view);
        }
        Choice::Server(chosen)
    }

    /// The best of some servers; none when they have no room.
    fn pick<'a>(
        &self,
        now: clock::Instant,
        query: Query<'_>,
        servers: &[&'a state::Known],
    ) -> Option<Picked<'a>> {
        let Query { route, call, .. } = query;
        let prompt = prompt(call);
        let parts = call.shared.as_ref().map_or("", |shared| &shared.parts);
        let keeper = load::prefix_cache_server(prompt, parts, ids(servers).map(SmolStr::as_str));
        let unread =
            |known: &state::Known| prompt.prefill_tokens(keeper == Some(known.server.id.as_str()));
        let candidates: Vec<routing::Candidate<'_>> = servers
            .iter()
            .map(|known| routing::Candidate {
                stats: &known.stats,
                slots: known.server.slots,
                same_domain: known.server.domain == self.settings.domain,
                other_requests: known.backlog.other_requests(now),
                prefill_ratio: reading(now, route, known, unread(known)),
            })
            .collect();
        let place = routing::pick(now, &candidates, rand::random())?;
        let known = servers[place];
        Some(Picked {
            known,
            unread: unread(known),
        })
    }

    fn limit_view<'a>(&'a self, now: clock::Instant, state: &state::State) -> limit::View<'a> {
        limit::View {
            now,
            instance: &self.settings.instance,
            instances: state.instances.count(),
            steward: state.steward,
        }
    }

    /// How long callers of a model will wait, as far as the steward tells.
    #[must_use]
    pub fn expected_wait(&self, queue: &QueueKey) -> Option<Duration> {
        let now = self.now();
        expected(&self.lock(), queue, now)
    }

    /// Counts a request at a server from now on.
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
        let mut state = self.lock();
        let mut born = 0;
        if let Some(known) = state.servers.get_mut(server) {
            known.stats.in_flight += 1;
            known.backlog.add_own(chosen.prefill_tokens);
            let running = known.running.entry(key.clone()).or_default();
            running.count += 1;
            running.unread += chosen.prefill_tokens;
            born = known.server.started_ms;
        }
        drop(state);
        self.usage_changed.notify_one();
        guard::InFlight {
            node: Arc::clone(self),
            server: server.clone(),
            born,
            key,
            unread: chosen.prefill_tokens,
            ran: false,
            group: queue.group.clone(),
        }
    }

    /// Counts a request as waiting from now on.
    #[must_use]
    pub fn register_waiting(
        self: &Arc<Self>,
        queue: &QueueKey,
        since: clock::Instant,
        until: clock::Instant,
    ) -> guard::Waiter<P> {
        let mut state = self.lock();
        state.next_waiting += 1;
        let number = state.next_waiting;
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

    /// A request is sent for the first time.
    pub fn record_first_attempt(&self, group: &SmolStr) {
        let now = self.now();
        self.lock()
            .budget(group, &self.settings)
            .record_request(now);
    }

    /// Takes one repeat out of the group's budget.
    #[must_use]
    pub fn try_retry(&self, group: &SmolStr) -> bool {
        let now = self.now();
        let mut state = self.lock();
        let instances = state.instances.count();
        state
            .budget(group, &self.settings)
            .try_retry(now, instances)
    }
}

fn ids<'a>(servers: &[&'a state::Known]) -> impl ExactSizeIterator<Item = &'a SmolStr> {
    servers.iter().map(|known| &known.server.id)
}

fn expected(state: &state::State, queue: &QueueKey, now: clock::Instant) -> Option<Duration> {
    let key = (queue.group.clone(), queue.model.clone()?);
    Some(state.forecasts.get(&key)?.since(now))
}

fn prompt(call: &platform::Call) -> load::Prompt {
    let shared = call.shared.as_ref().map_or(0, |shared| shared.tokens);
    load::Prompt {
        tokens: call.prompt_tokens.max(shared),
        shared,
    }
}

/// Until a prompt with `unread` tokens is read at a server, as a share of the route's objective.
fn reading(now: clock::Instant, route: &config::Route, known: &state::Known, unread: u32) -> f64 {
    if unread == 0 {
        return 0.0;
    }
    let tokens = known.backlog.prefill_tokens(now) + f64::from(unread);
    let objective = route.objective.max(SHORTEST_OBJECTIVE);
    load::prefill_time(tokens).div_duration_f64(objective)
}
