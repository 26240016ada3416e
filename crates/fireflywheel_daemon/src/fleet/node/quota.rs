//! Quotas of organisations at this instance.

use std::time::Duration;

use fireflywheel::clock;
use fireflywheel::fleet::organisation;
use fireflywheel::fleet::quota;
use fireflywheel::fleet::quota::gate;
use smol_str::SmolStr;

use super::Node;

/// Minimum number of instances assumed to share quotas while shares are disabled or the steward has not sent
/// any: with too few, each instance's part would be too large.
const MIN_INSTANCES_WITHOUT_SHARES: usize = 300;

/// A request that counts against its organisation's quota.
#[derive(Clone, Debug)]
pub struct Charge {
    organisation: SmolStr,
    /// The cost as the quota counts it, in requests or tokens.
    cost: f64,
}

impl<P> Node<P>
where
    P: Send + Sync,
{
    /// Charges a request to its organisation's quota; `None` if the organisation has no quota.
    /// `tokens` is `None` if the request does not state a number of tokens.
    ///
    /// # Errors
    ///
    /// Returns the time until a similar request is likely to be admitted.
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
        let shares_until = state.shares_until.filter(|_| self.settings.quotas.shared);
        let min_instances = if shares_until.is_none() {
            MIN_INSTANCES_WITHOUT_SHARES
        } else {
            1
        };
        let view = gate::View {
            now,
            window: self.settings.quotas.window,
            instances: state.instances.count().max(min_instances),
            shares_valid: (state.is_acting_steward && self.settings.quotas.shared)
                || shares_until.is_some_and(|until| now < until),
        };
        let new_gate = || gate::Gate::new(rand::random());
        let gate = state.quota_gates.entry(organisation.name.clone());
        let admitted = gate.or_insert_with(new_gate).admit(view, quota, cost);
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

    /// Refunds the charge of a request that has not run and will not run.
    pub fn refund(&self, charge: &Charge) {
        let now = self.now();
        if let Some(gate) = self.lock().quota_gates.get_mut(&charge.organisation) {
            gate.refund(now, charge.cost);
        }
    }

    /// Applies the share of each organisation's requests to admit, as sent by the steward.
    pub fn replace_shares(&self, shares: Vec<quota::Share>) {
        let now = self.now();
        let mut state = self.lock();
        for gate in state.quota_gates.values_mut() {
            gate.update_share(now, None);
        }
        for share in shares {
            let new_gate = || gate::Gate::new(rand::random());
            let gate = state.quota_gates.entry(share.organisation.clone());
            gate.or_insert_with(new_gate).update_share(now, Some(share));
        }
    }

    /// Extends the validity of the steward's shares. The steward has received the report that this instance
    /// sent at `sent_at`, and shares are valid for [`gate::SHARES_TTL`] from then.
    pub fn extend_shares(&self, sent_at: clock::Instant) {
        self.lock().shares_until = Some(sent_at.after(gate::SHARES_TTL));
    }
}
