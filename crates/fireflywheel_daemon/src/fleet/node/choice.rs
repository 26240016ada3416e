//! Where a request can go, and counting it there.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fireflywheel::clock;
use fireflywheel::fleet::routing;
use fireflywheel::rendezvous;
use smol_str::SmolStr;

use super::guard;
use super::state;
use super::{LaneKey, Node};
use crate::fleet::platform;

/// Prompts that share at least this many tokens are sent to the server that has read them: below it, reading
/// them again takes less time than the way to another server.
const WARM_TOKENS: u32 = 512;

/// A backend server that was chosen.
#[derive(Clone, Debug)]
pub struct Chosen {
    /// Its id.
    pub server: SmolStr,
    /// Where it listens.
    pub address: SocketAddr,
    /// Connections that this instance may have to it.
    pub connections: usize,
}

/// What there is for a request now.
#[derive(Clone, Debug)]
pub enum Choice {
    /// A server that can run it.
    Server(Chosen),
    /// Those that can run it have no room at this moment.
    Full,
    /// None holds its model; the wait is what the steward expects.
    Absent(Option<Duration>),
    /// The group has no server.
    Nobody,
}

/// What became of an attempt, as far as its server is concerned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
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
    /// Where a request can go now, leaving out servers that it was sent to already if there are others.
    #[must_use]
    pub fn choose(&self, lane: &LaneKey, call: &platform::Call, tried: &[SmolStr]) -> Choice {
        let now = self.now();
        let state = self.lock();
        let group = state
            .config
            .as_ref()
            .and_then(|config| config.groups.get(&lane.group));
        let Some(group) = group else {
            return Choice::Nobody;
        };
        let mut servers: Vec<&state::Known> = state.usable(now, lane).collect();
        if servers.is_empty() {
            return Choice::Nobody;
        }
        if let (Some(_), Some(model)) = (&group.engine, &lane.model) {
            servers.retain(|known| {
                known
                    .held(now, state.told_until)
                    .holds(model, lane.adapter.as_deref())
            });
            if servers.is_empty() {
                let key = (lane.group.clone(), model.clone());
                let expected = state.forecasts.get(&key).map(|at| at.since(now));
                return Choice::Absent(expected);
            }
        }
        if servers
            .iter()
            .any(|known| !tried.contains(&known.server.id))
        {
            servers.retain(|known| !tried.contains(&known.server.id));
        }
        let warm = warm_server(call, &servers);
        let candidates: Vec<routing::Candidate<'_>> = servers
            .iter()
            .map(|known| routing::Candidate {
                seen: &known.seen,
                slots: known.server.slots,
                near: known.server.domain == self.settings.domain,
                warm: warm.as_ref() == Some(&known.server.id),
            })
            .collect();
        let Some(place) = routing::pick(now, &candidates, rand::random()) else {
            return Choice::Full;
        };
        Choice::Server(Chosen {
            server: servers[place].server.id.clone(),
            address: servers[place].server.address,
            connections: (group.connections / state.instances.count()).max(1),
        })
    }

    /// Counts a request at a server from now on.
    #[must_use]
    pub fn begin(self: &Arc<Self>, server: &SmolStr, lane: &LaneKey) -> guard::InFlight<P> {
        let key = (lane.model.clone().unwrap_or_default(), lane.adapter.clone());
        let mut state = self.lock();
        let mut born = 0;
        if let Some(known) = state.servers.get_mut(server) {
            known.seen.in_flight += 1;
            *known.running.entry(key.clone()).or_default() += 1;
            born = known.server.born;
        }
        drop(state);
        self.used.notify_one();
        guard::InFlight {
            node: Arc::clone(self),
            server: server.clone(),
            born,
            key,
        }
    }

    /// Counts a request as waiting from now on.
    #[must_use]
    pub fn wait(
        self: &Arc<Self>,
        lane: &LaneKey,
        since: clock::Instant,
        until: clock::Instant,
    ) -> guard::Waiter<P> {
        let mut state = self.lock();
        state.next_waiting += 1;
        let number = state.next_waiting;
        let waiting = state::Waiting { since, until };
        state
            .lanes
            .entry(lane.clone())
            .or_default()
            .insert(number, waiting);
        drop(state);
        self.wanted.notify_one();
        guard::Waiter {
            node: Arc::clone(self),
            lane: lane.clone(),
            number,
        }
    }

    /// A request is sent for the first time.
    pub fn count_first(&self, group: &SmolStr) {
        let now = self.now();
        self.lock().budget(group, &self.settings).first(now);
    }

    /// Takes one repeat out of the group's budget.
    #[must_use]
    pub fn may_repeat(&self, group: &SmolStr) -> bool {
        let now = self.now();
        let mut state = self.lock();
        let instances = state.instances.count();
        state.budget(group, &self.settings).repeat(now, instances)
    }
}

/// Instances agree on it without talking, as long as they see the same servers.
fn warm_server(call: &platform::Call, servers: &[&state::Known]) -> Option<SmolStr> {
    let shared = call.shared.as_ref()?;
    if shared.tokens < WARM_TOKENS || servers.len() < 2 {
        return None;
    }
    let ids = servers.iter().map(|known| known.server.id.as_str());
    rendezvous::first(&shared.parts, ids).map(SmolStr::new)
}
