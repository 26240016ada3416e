//! The demand for the items of a group at all instances, as the instances report it.

use std::{collections::BTreeMap, time::Duration};

use smol_str::SmolStr;

use crate::{clock, item, placement, wire};

/// A want that is not repeated within this time expires.
const WANT_TTL: Duration = Duration::from_millis(1500);

/// A usage report that is not repeated within this time counts as no request in progress.
const USAGE_TTL: Duration = Duration::from_secs(3);

/// An item with no reported use for this time was idle. Instances report twice a second while it is in use.
const IDLE_THRESHOLD: Duration = Duration::from_millis(1200);

/// Wants for, and usage of, the items of a group.
#[derive(Debug, Default)]
pub struct Demand {
    wants: BTreeMap<item::Item, BTreeMap<SmolStr, InstanceWant>>,
    usages: BTreeMap<item::Item, Usage>,
    /// Idle times of all items.
    pub(super) idle_times: placement::IdleTimes,
    /// Overrides the policy that the document sets; only tests that compare policies set it.
    pub(super) policy: Option<placement::Policy>,
}

/// The newest want of one instance for one item.
#[derive(Clone, Copy, Debug)]
struct InstanceWant {
    /// Callers that wait at the instance.
    callers: u32,
    /// The earliest of their deadlines.
    deadline: clock::Instant,
    received_at: clock::Instant,
}

/// The usage of one item at all instances.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    /// Requests in progress or waiting at each instance, and when the instance reported them.
    active: BTreeMap<SmolStr, (u32, clock::Instant)>,
    /// The last time the item was in use, if ever.
    pub last_used: Option<clock::Instant>,
    /// The rate at which the item comes into use.
    pub rate: placement::Rate,
}

/// The wants of all instances for one item.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ItemDemand {
    /// The item.
    pub item: item::Item,
    /// The number of waiting callers at all instances.
    pub callers: u32,
    /// The earliest of their deadlines.
    pub deadline: clock::Instant,
}

impl Demand {
    /// Records a want, replacing the instance's previous one for the item.
    pub fn handle_want(&mut self, now: clock::Instant, from: &SmolStr, want: &wire::Want) {
        let instance_want = InstanceWant {
            callers: want.waiting,
            deadline: now.after(Duration::from_millis(want.left_ms)),
            received_at: now,
        };
        let wants = self.wants.entry(want.item.clone()).or_default();
        if wants.is_empty() {
            let usage = self.usages.entry(want.item.clone()).or_default();
            usage.record_use(now, &mut self.idle_times);
        }
        wants.insert(from.clone(), instance_want);
    }

    /// Records the usage that an instance reports.
    pub fn handle_usage(&mut self, now: clock::Instant, from: &SmolStr, usages: &[wire::Usage]) {
        for usage in usages {
            let entry = self.usages.entry(usage.item.clone()).or_default();
            entry.active.insert(from.clone(), (usage.active, now));
            if usage.finished > 0 || usage.active > 0 {
                entry.record_use(now, &mut self.idle_times);
            }
        }
    }

    /// Removes the wants for an item that was loaded, since they are satisfied. If they were left to expire, they
    /// would keep the item's memory from other items for [`WANT_TTL`], even when nobody uses the item any more.
    pub(super) fn remove_wants(&mut self, item: &item::Item) {
        self.wants.remove(item);
    }

    /// Removes the wants that were not repeated in time.
    pub(super) fn remove_expired(&mut self, now: clock::Instant) {
        for wants in self.wants.values_mut() {
            wants.retain(|_, want| now.since(want.received_at) < WANT_TTL);
        }
        self.wants.retain(|_, wants| !wants.is_empty());
    }

    /// The demand for each wanted item.
    pub(super) fn pending(&self) -> Vec<ItemDemand> {
        let wants = self.wants.iter().filter_map(|(item, wants)| {
            let deadline = wants.values().map(|want| want.deadline).min()?;
            let callers = wants.values().map(|want| want.callers).sum();
            Some(ItemDemand {
                item: item.clone(),
                callers,
                deadline,
            })
        });
        wants.collect()
    }

    /// The instances at which callers wait for an item.
    pub(super) fn waiting_instances(&self, item: &item::Item) -> Vec<SmolStr> {
        let wants = self.wants.get(item);
        wants.map_or_else(Vec::new, |wants| wants.keys().cloned().collect())
    }

    /// Whether callers wait for an item.
    pub(super) fn is_wanted(&self, item: &item::Item) -> bool {
        self.wants.contains_key(item)
    }

    /// The usage of an item; `None` when no instance reported any.
    pub(super) fn usage(&self, item: &item::Item) -> Option<&Usage> {
        self.usages.get(item)
    }

    /// The number of requests for an item in progress or waiting at all instances.
    pub(super) fn active(&self, now: clock::Instant, item: &item::Item) -> u32 {
        self.usage(item).map_or(0, |usage| usage.active(now))
    }
}

impl Usage {
    /// Records that the item is in use. Repeated reports of one use do not count as arrivals: otherwise one cold
    /// start would count as several, and the item would seem to be requested often.
    fn record_use(&mut self, now: clock::Instant, idle_times: &mut placement::IdleTimes) {
        let idle = self.last_used.map(|last_used| now.since(last_used));
        self.last_used = Some(now);
        if idle.is_some_and(|idle| idle < IDLE_THRESHOLD) {
            return;
        }
        self.rate.record_arrival(now);
        if let Some(idle) = idle {
            idle_times.observe(idle);
        }
    }

    /// The number of requests in progress or waiting, by the newest report of each instance.
    #[must_use]
    pub fn active(&self, now: clock::Instant) -> u32 {
        let fresh = self.active.values();
        let fresh = fresh.filter(|(_, reported_at)| now.since(*reported_at) < USAGE_TTL);
        fresh.map(|(active, _)| *active).sum()
    }
}
