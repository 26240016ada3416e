//! A planned stop. The instance first reports not ready, then refuses new requests, then finishes the
//! requests in progress and hands its groups over.

use std::time::Duration;

use super::Node;
use crate::{clock, effect};

/// Time for which the hand-over waits for a log that can't be read. A successor can take over without the
/// hand-over too, but has to query the engines for more.
const LOG_TIMEOUT: Duration = Duration::from_secs(2);

/// The progress of a planned stop.
#[derive(Debug)]
pub(super) struct Stop {
    since: clock::Instant,
    leave_announced: bool,
    exited: bool,
}

impl Node {
    pub(super) fn begin_stop(&mut self, now: clock::Instant) {
        if self.stop.is_some() {
            return;
        }
        self.stewards.retire_all();
        self.stop = Some(Stop {
            since: now,
            leave_announced: false,
            exited: false,
        });
    }

    /// Returns whether new requests are refused. They are accepted until the load balancer had time to
    /// notice that this instance is not ready.
    pub(super) fn refuses_requests(&self, now: clock::Instant) -> bool {
        let delay = self.options.timing.drain_delay;
        self.stop
            .as_ref()
            .is_some_and(|stop| now.since(stop.since) >= delay)
    }

    pub(super) fn tick_stop(&mut self, now: clock::Instant, out: &mut Vec<effect::Effect>) {
        let Some(stop) = &self.stop else { return };
        if stop.exited {
            return;
        }
        let since = stop.since;
        self.announce_leaving(now, since);
        let limit_reached = now.since(since) >= self.options.timing.drain_limit;
        let finished = self.refuses_requests(now) && self.requests.is_empty();
        let is_complete = finished && self.is_handed_over(now, since);
        if !(limit_reached || is_complete) {
            return;
        }
        if limit_reached && !finished {
            let text = format!(
                "planned stop: drain limit reached with {} requests in progress",
                self.requests.len()
            );
            self.notify_operator(true, text, out);
        }
        if let Some(stop) = &mut self.stop {
            stop.exited = true;
        }
        out.push(effect::Effect::Exit);
    }

    /// Announces that this instance leaves once its orders have ended. Other instances then take its groups
    /// over.
    fn announce_leaving(&mut self, now: clock::Instant, since: clock::Instant) {
        let settled = self.are_stewards_settled() || self.is_log_lost(now, since);
        let Some(stop) = &mut self.stop else { return };
        if settled && !stop.leave_announced {
            stop.leave_announced = true;
            self.membership.leave();
        }
    }

    fn is_handed_over(&self, now: clock::Instant, since: clock::Instant) -> bool {
        if self.is_log_lost(now, since) {
            return true;
        }
        let others = self
            .membership
            .alive()
            .any(|name| *name != self.options.incarnation.instance);
        let groups_free = !self.stewards.holds_any() || !others;
        groups_free && self.log.is_written()
    }

    fn is_log_lost(&self, now: clock::Instant, since: clock::Instant) -> bool {
        !self.log.readable && now.since(since) >= LOG_TIMEOUT
    }
}
