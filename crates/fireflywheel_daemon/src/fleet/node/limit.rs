//! Limits that backend servers announce, at this instance.

use std::collections::BTreeMap;
use std::time::Duration;

use fireflywheel::clock;
use fireflywheel::fleet::limit;
use fireflywheel::fleet::limit::gate;
use rand::seq::IndexedRandom as _;
use smol_str::SmolStr;

use super::{Node, QueueKey, state};

/// What a server's answer says of its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Answer {
    /// Requests per second that the server accepts from all instances together, if the answer says so.
    pub per_second: Option<f64>,
    /// When the request was sent.
    pub sent: clock::Instant,
    /// Whether the server made the answer itself, and so would have announced its limit.
    pub authentic: bool,
}

impl<P> Node<P>
where
    P: Send + Sync,
{
    /// Records what a server's answer says of its limit.
    pub fn observe_limit(&self, id: &str, answer: Answer) {
        let now = self.now();
        let mut state = self.lock();
        let Some(known) = state.servers.get_mut(id) else {
            return;
        };
        let is_changed = match answer.per_second {
            Some(per_second) => known.limit.observe_limit(now, per_second),
            None => answer.authentic && known.limit.observe_no_limit(answer.sent),
        };
        if !is_changed {
            return;
        }
        let per_second = known.limit.per_second();
        let limited = count_limited(&state);
        drop(state);
        self.metrics.set_limited_servers(limited);
        log_limit(id, per_second, "own");
        self.wake();
        self.demand_changed.notify_one();
    }

    /// Applies the limits of all servers that announce one, as sent by the steward.
    pub fn update_limits(&self, notices: &[limit::Notice]) {
        let now = self.now();
        let reported: BTreeMap<&SmolStr, f64> = notices
            .iter()
            .filter_map(|notice| Some((&notice.server, notice.per_second?)))
            .collect();
        let mut state = self.lock();
        let mut changed = Vec::new();
        for (id, known) in &mut state.servers {
            if known
                .limit
                .update_from_steward(now, reported.get(id).copied())
            {
                changed.push((id.clone(), known.limit.per_second()));
            }
        }
        let limited = count_limited(&state);
        drop(state);
        if changed.is_empty() {
            return;
        }
        self.metrics.set_limited_servers(limited);
        for (id, per_second) in changed {
            log_limit(&id, per_second, "steward");
        }
        self.wake();
    }

    /// Applies the steward's replies to permit requests.
    pub fn handle_permit_replies(&self, replies: &[limit::Reply]) {
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
    /// Requests a permit for a request that can wait for `remaining` and would go to one of some servers that
    /// announce a limit. Returns whether the steward has to be asked. No more permits are requested of these servers than
    /// requests wait: permits of several servers for one request would be lost for other requests.
    pub(super) fn request_permit(
        &mut self,
        view: gate::View<'_>,
        remaining: Duration,
        queue: &QueueKey,
        servers: &[SmolStr],
    ) -> bool {
        let known = servers
            .iter()
            .filter_map(|id| Some((id, self.servers.get(id)?)));
        let (pending, free): (Vec<_>, Vec<_>) =
            known.partition(|(_, known)| known.limit.is_waiting(view.now));
        let waiting = self.queues.get(queue).map_or(0, BTreeMap::len);
        if pending.len() >= waiting.max(1) {
            return false;
        }
        let Some((id, _)) = free.choose(&mut rand::rng()) else {
            return false;
        };
        let id = SmolStr::clone(id);
        let known = self.servers.get_mut(&id);
        known.is_some_and(|known| known.limit.request_permit(view, remaining))
    }

    /// Expected wait until a request can go to one of some servers that announce a limit, as far as the
    /// steward has reported.
    pub(super) fn expected_permit_wait(
        &self,
        now: clock::Instant,
        servers: &[SmolStr],
    ) -> Option<Duration> {
        let gates = self.limit_gates(servers);
        gates.filter_map(|gate| gate.expected_wait(now)).min()
    }

    fn limit_gates(&self, servers: &[SmolStr]) -> impl Iterator<Item = &gate::Gate> {
        let known = servers.iter().filter_map(|id| self.servers.get(id));
        known.map(|known| &known.limit)
    }
}

fn count_limited(state: &state::State) -> usize {
    let servers = state.servers.values();
    servers.filter(|known| known.limit.is_limited()).count()
}

fn log_limit(server: &str, per_second: Option<f64>, by: &str) {
    match per_second {
        Some(per_second) => {
            log::info!(server = server, per_second = per_second, by = by; "backend server announces a limit");
        }
        None => log::info!(server = server, by = by; "backend server no longer announces a limit"),
    }
}
