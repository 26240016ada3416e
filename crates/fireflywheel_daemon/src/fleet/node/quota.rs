//! Quotas of organisations at this instance.

use std::time::Duration;

use fireflywheel::clock;
use fireflywheel::fleet::config;
use fireflywheel::fleet::organisation;
use fireflywheel::fleet::quota;
use fireflywheel::fleet::quota::{class, gate};
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
    /// Returns whether the caller of a request has come back after a refusal, by the deadline that it states. Without the
    /// parts that this matters to, none has.
    pub fn has_returned(&self, route: &config::Route, stated: Option<Duration>) -> bool {
        let now = self.now();
        let mut state = self.lock();
        let matters = state.parts.quotas || state.parts.waiting;
        matters && state.deadlines.observe(now, route, stated)
    }

    /// Charges a request to its organisation's quota; `None` if the organisation has no quota.
    /// `tokens` is `None` if the request does not state a number of tokens. With a `rank`, its class and the time that its
    /// caller has left, requests are admitted by class.
    ///
    /// # Errors
    ///
    /// Returns the time until a similar request is likely to be admitted.
    pub fn charge(
        &self,
        organisation: &organisation::Organisation,
        tokens: Option<u32>,
        rank: Option<(class::Class, Duration)>,
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
        let gate = gate.or_insert_with(new_gate);
        let admitted = match rank {
            Some((class, left)) => {
                let request = class::Request { class, cost, left };
                gate.admit_by_class(view, quota, &request, rand::random())
            }
            None => gate.admit(view, quota, cost),
        };
        drop(state);
        if let Some((class, _)) = rank {
            self.metrics.count_class(class, admitted.is_ok());
        }
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
