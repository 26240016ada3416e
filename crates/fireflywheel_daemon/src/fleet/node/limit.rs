//! Limits that backend servers name, at this instance.

use std::collections::BTreeMap;
use std::time::Duration;

use fireflywheel::clock;
use fireflywheel::fleet::limit;
use fireflywheel::fleet::limit::gate;
use smol_str::SmolStr;

use super::{Node, state};

/// What the answer of a server says of its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Answer {
    /// Requests a second that it takes from all instances together, if it says so.
    pub per_second: Option<f64>,
    /// When the request was sent.
    pub sent: clock::Instant,
    /// The server made the answer itself, and would have named its limit.
    pub authentic: bool,
}

impl<P> Node<P>
where
    P: Send + Sync,
{
    /// A server has answered.
    pub fn observe_limit(&self, id: &str, answer: Answer) {
        let now = self.now();
        let mut state = self.lock();
        let Some(known) = state.servers.get_mut(id) else {
            return;
        };
        let news = match answer.per_second {
            Some(per_second) => known.limit.observe_limit(now, per_second),
            None => answer.authentic && known.limit.observe_no_limit(answer.sent),
        };
        if !news {
            return;
        }
        let per_second = known.limit.per_second();
        let limited = limited(&state);
        drop(state);
        self.metrics.set_limited_servers(limited);
        log_limit(id, per_second, "own");
        self.wake();
        self.demand_changed.notify_one();
    }

    /// The steward tells the limits of all servers that name one.
    pub fn learn_limits(&self, notices: &[limit::Notice]) {
        let now = self.now();
        let told: BTreeMap<&SmolStr, f64> = notices
            .iter()
            .filter_map(|notice| Some((&notice.server, notice.per_second?)))
            .collect();
        let mut state = self.lock();
        let mut news = Vec::new();
        for (id, known) in &mut state.servers {
            if known.limit.update_from_steward(now, told.get(id).copied()) {
                news.push((id.clone(), known.limit.per_second()));
            }
        }
        let limited = limited(&state);
        drop(state);
        if news.is_empty() {
            return;
        }
        self.metrics.set_limited_servers(limited);
        for (id, per_second) in news {
            log_limit(&id, per_second, "steward");
        }
        self.wake();
    }

    /// The steward answers permit requests.
    pub fn learn_permits(&self, replies: &[limit::Reply]) {
        if replies.is_empty() {
            return;
        }
        let now = self.now();
        let mut state = self.lock();
        for reply in replies {
            if let Some(known) = state.servers.get_mut(&reply.server) {
                known.limit.handle_reply(now, reply);
            }
        }
        drop(state);
        self.wake();
    }
}

impl state::State {
    /// A request that can wait for `left` would go to one of some servers that name a limit. Returns whether the steward is to be asked.
    /// Permits of several servers for one request would be lost for others, so only one of them is asked for.
    pub(super) fn want_permit(
        &mut self,
        view: gate::View<'_>,
        left: Duration,
        servers: &[SmolStr],
    ) -> bool {
        let waits = |gate: &gate::Gate| gate.is_waiting(view.now);
        if servers.is_empty() || self.gates_of(servers).any(waits) {
            return false;
        }
        let id = &servers[rand::random_range(0..servers.len())];
        let known = self.servers.get_mut(id);
        known.is_some_and(|known| known.limit.request_permit(view, left))
    }

    /// When a request can go to one of some servers that name a limit, as far as the steward tells.
    pub(super) fn expected_turn(
        &self,
        now: clock::Instant,
        servers: &[SmolStr],
    ) -> Option<Duration> {
        let turns = self.gates_of(servers);
        turns.filter_map(|gate| gate.expected_wait(now)).min()
    }

    fn gates_of(&self, servers: &[SmolStr]) -> impl Iterator<Item = &gate::Gate> {
        let known = servers.iter().filter_map(|id| self.servers.get(id));
        known.map(|known| &known.limit)
    }
}

fn limited(state: &state::State) -> usize {
    let servers = state.servers.values();
    servers.filter(|known| known.limit.is_limited()).count()
}

fn log_limit(server: &str, per_second: Option<f64>, by: &str) {
    match per_second {
        Some(per_second) => {
            log::info!(server = server, per_second = per_second, by = by; "backend server names a limit");
        }
        None => log::info!(server = server, by = by; "backend server names no limit any more"),
    }
}
