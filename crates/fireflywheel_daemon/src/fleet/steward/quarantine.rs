//! Crashes of servers and quarantined parts of prompts, as passed on by the steward.

use fireflywheel::fleet::announcement::Process;
use fireflywheel::fleet::frame;
use fireflywheel::fleet::quarantine::{Facts, Part};

use smol_str::SmolStr;

use super::state::State;

/// What stands for loads of models and adapters of a group.
pub(super) fn load_parts(group: &str, loads: Vec<(SmolStr, Option<SmolStr>)>) -> Vec<Part> {
    let loads = loads.into_iter();
    loads
        .map(|(model, adapter)| Part::of_load(group, &model, adapter.as_deref()))
        .collect()
}

impl State {
    /// The loads in progress at a process.
    pub(super) fn awaited_loads(&self, process: &Process) -> Vec<Part> {
        let tracker = self.trackers.get(&process.server);
        let tracker = tracker.filter(|tracker| tracker.server.started_ms == process.started_ms);
        tracker.map_or_else(Vec::new, |tracker| {
            load_parts(&tracker.group, tracker.awaited_loads())
        })
    }

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
