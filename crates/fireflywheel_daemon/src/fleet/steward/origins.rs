//! Versions of servers' software, and at which of them streams began, as collected and sent by the steward.

use std::time::Duration;

use fireflywheel::clock;
use fireflywheel::fleet::frame;
use fireflywheel::fleet::origin;

use super::state::State;

/// Maximum number of streams that the steward remembers, which bounds its memory.
pub(super) const MAX_STREAMS: usize = 50_000;

/// Interval at which unchanged versions are sent again. It shortens the time for which a version is remembered.
const RESEND_INTERVAL: Duration = Duration::from_secs(3);

impl State {
    /// Records the streams that an instance reports, and answers its questions.
    pub(super) fn handle_origins(
        &mut self,
        now: clock::Instant,
        report: &origin::Report,
    ) -> Vec<origin::Reply> {
        for record in &report.begun {
            self.origins.insert(now, record.clone());
        }
        let is_settled = now.since(self.role_changed_at) >= origin::SETTLING_TIME;
        let queries = report.queries.iter();
        queries
            .map(|query| origin::Reply {
                query: query.clone(),
                answer: self.origins.answer(now, query, is_settled),
            })
            .collect()
    }

    /// Sends an instance the replies to its questions.
    pub(super) fn send_origins(&mut self, number: u64, replies: Vec<origin::Reply>) {
        if replies.is_empty() {
            return;
        }
        let frame = frame::Frame::Origins(replies);
        if self
            .links
            .get(&number)
            .is_some_and(|link| !link.send(&frame))
        {
            self.links.remove(&number);
        }
    }

    /// Sends the versions of groups' servers when one has come or gone, and at intervals: instances that don't receive all
    /// engines count the time since a version was last seen from the last frame that has it.
    pub(super) fn send_versions(&mut self, now: clock::Instant, versions: origin::Versions) {
        let names = |versions: &origin::Versions| {
            let seen = versions.seen.iter();
            seen.map(|(group, version, _)| (group.clone(), version.clone()))
                .collect::<Vec<_>>()
        };
        let is_due = now.since(self.versions_sent_at) >= RESEND_INTERVAL;
        if !is_due && names(&versions) == names(&self.versions) {
            return;
        }
        self.versions_sent_at = now;
        let frame = frame::Frame::Versions(versions.clone()).encode();
        self.versions = versions;
        self.links
            .retain(|_, link| !link.knows_versions || link.sender.try_send(frame.clone()).is_ok());
    }
}
