//! Names gateways to instances.

use std::time::Duration;

use fireflywheel::clock;
use fireflywheel::fleet::frame;
use fireflywheel::fleet::gateway::{self, Gateway};

use super::state::State;

/// Minimum interval between two broadcasts of changed gateways.
const MIN_INTERVAL: Duration = Duration::from_millis(50);

/// Number of other instances that reach a group from which on the steward isn't a gateway to it.
const MIN_OTHERS: usize = 2;

impl State {
    /// Sends each instance its gateways if they have changed. Returns those of this instance itself.
    pub(super) fn send_gateways(
        &mut self,
        now: clock::Instant,
        own: &Gateway,
    ) -> Option<Vec<Gateway>> {
        self.gateways_changed |= self.own_gateway.as_ref() != Some(own);
        if !self.gateways_changed || now.since(self.gateways_sent_at) < MIN_INTERVAL {
            return None;
        }
        self.gateways_changed = false;
        self.gateways_sent_at = now;
        self.own_gateway = Some(own.clone());
        let links = self.links.values();
        let mut candidates: Vec<Gateway> = links.filter_map(super::Link::gateway).collect();
        let groups = &self.groups;
        let is_scarce = |group| {
            let reaching = candidates.iter();
            let reaching = reaching.filter(|candidate| !candidate.unreached_groups.contains(group));
            reaching.count() < MIN_OTHERS
        };
        // The steward has the most to do, so it carries the requests of others only if few others can.
        if groups.iter().any(is_scarce) {
            candidates.push(own.clone());
        }
        self.links.retain(|_, link| {
            if link.unreached_groups.is_none() {
                return true;
            }
            let instance = &link.peer.instance;
            let assigned = gateway::assign(instance, &link.failure_domain, groups, &candidates);
            let assigned: Vec<Gateway> = assigned.into_iter().cloned().collect();
            if assigned == link.gateways {
                return true;
            }
            link.gateways.clone_from(&assigned);
            link.send(&frame::Frame::Gateways(assigned))
        });
        let assigned = gateway::assign(&own.instance, &own.failure_domain, groups, &candidates);
        Some(assigned.into_iter().cloned().collect())
    }
}
