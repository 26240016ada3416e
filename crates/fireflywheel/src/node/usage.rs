//! Reports to stewards about the use of their items at this instance.

use std::{collections::BTreeMap, time::Duration};

use smol_str::SmolStr;

use super::Node;
use crate::{clock, effect, item, wire};

/// Interval between two usage reports to the stewards.
const USAGE_REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Minimum interval between two usage reports.
const MIN_USAGE_REPORT_INTERVAL: Duration = Duration::from_millis(50);

impl Node {
    /// Schedules a report of all items in use for the next tick, because a new steward of a group knows of none.
    pub(super) fn schedule_full_usage_report(&mut self, group: &SmolStr) {
        self.reported_in_use.remove(group);
        self.usage_reported_at = clock::Instant::default();
    }

    /// Schedules the next usage report for the next tick, subject to the minimum interval, after a queue became
    /// idle. Other items may wait for the memory of its item.
    pub(super) fn expedite_usage_report(&mut self, now: clock::Instant) {
        if now.since(self.usage_reported_at) >= MIN_USAGE_REPORT_INTERVAL {
            self.usage_reported_at = clock::Instant::default();
        }
    }

    /// Sends usage reports to the stewards when they are due.
    pub(super) fn report_usage(&mut self, now: clock::Instant, out: &mut Vec<effect::Effect>) {
        if now.since(self.usage_reported_at) < USAGE_REPORT_INTERVAL {
            return;
        }
        self.usage_reported_at = now;
        let mut groups: BTreeMap<SmolStr, BTreeMap<item::Item, wire::Usage>> = BTreeMap::new();
        for queue in self.queues.values_mut() {
            let Some(item) = &queue.item else { continue };
            let waiting = u32::try_from(queue.waiting.len()).unwrap_or(u32::MAX);
            let active = queue.running.saturating_add(waiting);
            let finished = std::mem::take(&mut queue.finished);
            let group = groups.entry(queue.group.clone()).or_default();
            // A model is in use while one of its adapters is.
            let mut items = vec![item.clone()];
            if item.adapter.is_some() {
                items.push(item.base());
            }
            for item in items {
                let usage = group.entry(item.clone()).or_insert(wire::Usage {
                    item,
                    finished: 0,
                    active: 0,
                });
                usage.finished = usage.finished.saturating_add(finished);
                usage.active = usage.active.saturating_add(active);
            }
        }
        for (group, items) in groups {
            self.report_group_usage(now, group, items, out);
        }
    }

    /// Reports the items used since the last report, and reports once when an item is no longer in use.
    fn report_group_usage(
        &mut self,
        now: clock::Instant,
        group: SmolStr,
        items: BTreeMap<item::Item, wire::Usage>,
        out: &mut Vec<effect::Effect>,
    ) {
        let steward = self
            .log
            .ledger
            .as_ref()
            .and_then(|ledger| ledger.steward(&group));
        let Some(to) = steward.map(|steward| steward.by.instance.clone()) else {
            return;
        };
        let reported = self.reported_in_use.entry(group.clone()).or_default();
        let items: Vec<wire::Usage> = items
            .into_values()
            .filter(|usage| {
                let used = usage.finished > 0 || usage.active > 0;
                let changed = reported.contains(&usage.item) != (usage.active > 0);
                if usage.active > 0 {
                    reported.insert(usage.item.clone());
                } else {
                    reported.remove(&usage.item);
                }
                used || changed
            })
            .collect();
        if !items.is_empty() {
            self.send_frame(now, to, wire::Frame::Usage { group, items }, out);
        }
    }
}
