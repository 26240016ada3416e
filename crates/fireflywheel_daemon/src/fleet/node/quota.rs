//! Quotas of organisations at this instance.

use std::time::Duration;

use fireflywheel::clock;
use fireflywheel::fleet::organisation;
use fireflywheel::fleet::quota;
use fireflywheel::fleet::quota::gate;
use smol_str::SmolStr;

use super::Node;

/// Instances that share quotas while nothing was ever told of how many there are: too few would make parts too large.
const UNTOLD_INSTANCES: usize = 300;

/// A request that counts against its organisation's quota.
#[derive(Clone, Debug)]
pub struct Charge {
    organisation: SmolStr,
    cost: f64,
}

impl<P> Node<P>
where
    P: Send + Sync,
{
    /// Counts a request against its organisation's quota; none if it has no quota.
    ///
    /// # Errors
    ///
    /// How long until one like it is likely to be admitted.
    pub fn charge(
        &self,
        organisation: &organisation::Organisation,
        tokens: Option<u32>,
    ) -> Result<Option<Charge>, Duration> {
        let Some(quota) = &organisation.quota else {
            return Ok(None);
        };
        let now = self.now();
        let cost = quota.cost(tokens);
        let mut state = self.lock();
        let told = state.shares_until.filter(|_| self.settings.quotas.shared);
        let least = if told.is_none() { UNTOLD_INSTANCES } else { 1 };
        let view = gate::View {
            now,
            window: self.settings.quotas.window,
            instances: state.instances.count().max(least),
            shares_valid: (state.relaying && self.settings.quotas.shared)
                || told.is_some_and(|until| now < until),
        };
        let fresh = || gate::Gate::new(rand::random());
        let gate = state.gates.entry(organisation.name.clone());
        let admitted = gate.or_insert_with(fresh).admit(view, quota, cost);
        drop(state);
        self.usage_changed.notify_one();
        self.metrics
            .count_charge(&organisation.name, admitted.is_ok(), cost);
        admitted.map(|()| {
            Some(Charge {
                organisation: organisation.name.clone(),
                cost,
            })
        })
    }

    /// A request that was counted has not run and won't.
    pub fn refund(&self, charge: &Charge) {
        let now = self.now();
        if let Some(gate) = self.lock().gates.get_mut(&charge.organisation) {
            gate.refund(now, charge.cost);
        }
    }

    /// The steward tells which share of each organisation's requests to admit.
    pub fn learn_shares(&self, shares: Vec<quota::Share>) {
        let now = self.now();
        let mut state = self.lock();
        for gate in state.gates.values_mut() {
            gate.update_share(now, None);
        }
        for share in shares {
            let fresh = || gate::Gate::new(rand::random());
            let gate = state.gates.entry(share.organisation.clone());
            gate.or_insert_with(fresh).update_share(now, Some(share));
        }
    }

    /// The steward has heard what this instance said at `asked`: its shares are followed until it should have heard again.
    pub fn extend_shares(&self, asked: clock::Instant) {
        self.lock().shares_until = Some(asked.after(gate::SHARES_TTL));
    }
}
