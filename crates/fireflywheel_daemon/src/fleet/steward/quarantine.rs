//! Crashes of servers and quarantined parts of prompts, as passed on by the steward.

use fireflywheel::fleet::frame;
use fireflywheel::fleet::quarantine::{Facts, Part};

use super::state::State;

impl State {
    /// Sends what is new to all instances. What they know already, be it from the steward, they ignore.
    pub(super) fn send_facts(&mut self, facts: &Facts) {
        if facts.is_empty() {
            return;
        }
        let frame = frame::Frame::Facts(facts.clone()).encode();
        self.links
            .retain(|_, link| !link.shares_facts || link.sender.try_send(frame.clone()).is_ok());
    }

    /// Sends an instance the answers to its trial requests.
    pub(super) fn send_trials(&mut self, number: u64, trials: Vec<(Part, bool)>) {
        if trials.is_empty() {
            return;
        }
        let frame = frame::Frame::Trials(trials);
        if self
            .links
            .get(&number)
            .is_some_and(|link| !link.send(&frame))
        {
            self.links.remove(&number);
        }
    }
}
