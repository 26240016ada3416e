//! Which instances have sent orders within a term, and when the holder may send its first one.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;

use super::{LastOrder, Lease};
use crate::clock;
use crate::fleet::frame;

/// How long an order may be on its way to an engine.
const TRANSIT_TIME: Duration = Duration::from_millis(50);

/// The last orders of this instance and of earlier holders.
#[derive(Clone, Debug, Default)]
pub(super) struct Turns {
    /// When each instance last sent an order, at the latest.
    last_orders: BTreeMap<SmolStr, clock::Instant>,
    /// The fencing number of this process's last order.
    last_fencing: Option<u64>,
}

impl Lease {
    /// Records that this holder sends an order, or that one sent earlier may have arrived as late as `now`.
    pub fn record_order(&mut self, now: clock::Instant, fencing: u64) {
        let wait = self.options.term + TRANSIT_TIME;
        self.turns
            .last_orders
            .retain(|_, last| now < last.after(wait));
        self.turns.record(&self.own_record.instance, now);
        self.turns.last_fencing = self.turns.last_fencing.max(Some(fencing));
    }

    /// The fencing number for orders; `None` while this instance may not send any.
    #[must_use]
    pub fn order_fencing(&self, now: clock::Instant) -> Option<u64> {
        let fencing = self.fencing(now)?;
        self.order_delay(now).is_zero().then_some(fencing)
    }

    /// How long this holder waits before it sends orders. Another instance may have sent some since its own last one.
    #[must_use]
    pub fn order_delay(&self, now: clock::Instant) -> Duration {
        let is_same_tenure = self
            .held
            .is_none_or(|held| self.turns.last_fencing == Some(held.fencing));
        if is_same_tenure {
            return Duration::ZERO;
        }
        self.order_delay_of(now, &self.own_record.instance)
    }

    /// How long an instance would have to wait before it sends orders, if the lease were handed over to it now.
    #[must_use]
    pub fn order_delay_of(&self, now: clock::Instant, instance: &str) -> Duration {
        let last = self.turns.last_orders.get(instance);
        last.map_or(Duration::ZERO, |last| {
            last.after(self.options.term + TRANSIT_TIME).since(now)
        })
    }

    /// The last orders within a term, for a successor.
    pub(super) fn last_orders(&self, now: clock::Instant) -> Vec<LastOrder> {
        let last_orders = self.turns.last_orders.iter();
        let ages = last_orders.map(|(instance, last)| (instance, now.since(*last)));
        let recent = ages.filter(|(_, age)| *age < self.options.term + TRANSIT_TIME);
        recent
            .map(|(instance, age)| LastOrder {
                instance: instance.clone(),
                age_ms: frame::millis(age),
            })
            .collect()
    }

    /// Adds what the predecessor knows. The time on the way makes the last orders seem later than they were.
    pub(super) fn extend_last_orders(&mut self, now: clock::Instant, told: &[LastOrder]) {
        for last in told {
            let at = now.before(Duration::from_millis(last.age_ms.into()));
            self.turns.record(&last.instance, at);
        }
    }

    /// Records the holder from which this instance takes the lease over without having been told of its last order.
    pub(super) fn record_predecessor(&mut self, now: clock::Instant) {
        let observation = self.observation.as_ref();
        let holder = observation.and_then(|observation| observation.holder.as_ref());
        let instance = holder.map(|holder| holder.instance.clone());
        if let Some(instance) = instance.filter(|name| *name != self.own_record.instance) {
            self.turns.record(&instance, now);
        }
    }
}

impl Turns {
    fn record(&mut self, instance: &SmolStr, at: clock::Instant) {
        let last = self.last_orders.entry(instance.clone()).or_insert(at);
        *last = at.max(*last);
    }
}
