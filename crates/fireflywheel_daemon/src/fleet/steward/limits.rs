//! Limits of backend servers, as the steward keeps and tells them.

use std::time::Duration;

use fireflywheel::clock;
use fireflywheel::fleet::frame;
use fireflywheel::fleet::limit;
use fireflywheel::fleet::limit::pacer;

use super::state::State;

/// Limits are told again after this, as long as there are any.
const RETELL: Duration = Duration::from_secs(2);

impl State {
    /// An instance tells what answers of servers say.
    pub(super) fn hear_limits(&mut self, now: clock::Instant, notices: &[limit::Notice]) {
        for notice in notices {
            self.limits_changed |= self.pacer.update_limit(now, notice);
        }
    }

    /// Decides on permit requests.
    pub(super) fn answer_asks(
        &mut self,
        now: clock::Instant,
        requester: pacer::Requester,
        asks: &[limit::Request],
    ) -> Vec<limit::Reply> {
        let asks = asks.iter();
        asks.map(|ask| self.pacer.request(now, requester, ask))
            .collect()
    }

    /// Tells one instance what became of its asks.
    pub(super) fn tell_permits(&mut self, number: u64, replies: Vec<limit::Reply>) {
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

    /// Tells all limits when they have changed, and now and then again; returns them for this instance itself.
    pub(super) fn tell_limits(&mut self, now: clock::Instant) -> Option<Vec<limit::Notice>> {
        let notices = self.pacer.notices();
        let again = !notices.is_empty() && now.since(self.limits_told) >= RETELL;
        if !self.limits_changed && !again {
            return None;
        }
        self.limits_changed = false;
        self.limits_told = now;
        let bytes = frame::Frame::Limits(notices.clone()).encode();
        self.links.retain(|_, link| {
            link.config_version.is_none() || link.sender.try_send(bytes.clone()).is_ok()
        });
        Some(notices)
    }

    /// Tells those whose turn has come; returns what is for this instance itself.
    pub(super) fn grant_due(&mut self, now: clock::Instant) -> Vec<limit::Reply> {
        let mut own = Vec::new();
        for (requester, reply) in self.pacer.grant_due(now) {
            match requester {
                pacer::Requester::Own => own.push(reply),
                pacer::Requester::Link(number) => self.tell_permits(number, vec![reply]),
            }
        }
        own
    }
}
