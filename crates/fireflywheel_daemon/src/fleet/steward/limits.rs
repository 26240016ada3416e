//! Limits of backend servers, as collected and sent by the steward.

use std::time::Duration;

use fireflywheel::clock;
use fireflywheel::fleet::frame;
use fireflywheel::fleet::limit;
use fireflywheel::fleet::limit::pacer;

use super::state::State;

/// Interval at which limits are sent again while there are any.
const RESEND_INTERVAL: Duration = Duration::from_secs(2);

impl State {
    /// Records the limits that an instance has seen in answers of servers.
    pub(super) fn record_limits(&mut self, now: clock::Instant, notices: &[limit::Notice]) {
        for notice in notices {
            self.limits_changed |= self.pacer.update_limit(now, notice);
        }
    }

    /// Decides on permit requests.
    pub(super) fn answer_permit_requests(
        &mut self,
        now: clock::Instant,
        requester: pacer::Requester,
        requests: &[limit::Request],
    ) -> Vec<limit::Reply> {
        let requests = requests.iter();
        requests
            .map(|request| self.pacer.request(now, requester, request))
            .collect()
    }

    /// Sends an instance the replies to its permit requests.
    pub(super) fn send_permits(&mut self, number: u64, replies: Vec<limit::Reply>) {
        if replies.is_empty() {
            return;
        }
        let frame = frame::Frame::Permits(replies);
        if self
            .links
            .get(&number)
            .is_some_and(|link| !link.send(&frame))
        {
            self.links.remove(&number);
        }
    }

    /// Sends all limits when they have changed, and repeats them at intervals. Returns them for this instance
    /// itself.
    pub(super) fn send_limits(&mut self, now: clock::Instant) -> Option<Vec<limit::Notice>> {
        let notices = self.pacer.notices();
        let resend = !notices.is_empty() && now.since(self.limits_sent_at) >= RESEND_INTERVAL;
        if !self.limits_changed && !resend {
            return None;
        }
        self.limits_changed = false;
        self.limits_sent_at = now;
        let bytes = frame::Frame::Limits(notices.clone()).encode();
        self.links.retain(|_, link| {
            link.config_version.is_none() || link.sender.try_send(bytes.clone()).is_ok()
        });
        Some(notices)
    }

    /// Sends the permits that are due. Returns the replies for this instance itself.
    pub(super) fn grant_due(&mut self, now: clock::Instant) -> Vec<limit::Reply> {
        let mut own = Vec::new();
        for (requester, reply) in self.pacer.grant_due(now) {
            match requester {
                pacer::Requester::Own => own.push(reply),
                pacer::Requester::Link(number) => self.send_permits(number, vec![reply]),
            }
        }
        own
    }
}
