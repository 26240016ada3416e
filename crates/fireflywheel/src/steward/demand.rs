//! What callers of all instances want of a group, as the instances tell.

use std::{collections::BTreeMap, time::Duration};

use smol_str::SmolStr;

use crate::{clock, item, placement, wire};

/// A want that isn't repeated for so long is over.
const WANT_LIFE: Duration = Duration::from_millis(1500);

/// A usage report that isn't repeated for so long counts as none in progress.
const USE_LIFE: Duration = Duration::from_secs(3);

/// Without a word of use for so long, an item was idle. Instances tell twice a second while it is in use.
const QUIET: Duration = Duration::from_millis(1200);

/// Wants and uses of the items of a group.
#[derive(Debug, Default)]
pub struct Demand {
    wants: BTreeMap<item::Item, BTreeMap<SmolStr, Waiting>>,
    uses: BTreeMap<item::Item, Use>,
    /// Idle times of all models.
    pub(super) gaps: placement::IdleTimes,
    /// Decides in place of the document's setting; only comparisons in tests give one.
    pub(super) policy: Option<placement::Policy>,
}

/// What one instance wants of one item.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    callers: u32,
    deadline: clock::Instant,
    seen: clock::Instant,
}

/// How an item is used.
#[derive(Clone, Debug, Default)]
pub struct Use {
    active: BTreeMap<SmolStr, (u32, clock::Instant)>,
    /// When it was used last, if ever.
    pub last: Option<clock::Instant>,
    /// How often it comes into use.
    pub rate: placement::Rate,
}

/// All wants of one item together.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Wanted {
    /// The item.
    pub item: item::Item,
    /// Callers that wait, at all instances.
    pub callers: u32,
    /// The first of their deadlines.
    pub deadline: clock::Instant,
}

impl Demand {
    /// Takes a want in place of the instance's last for that item.
    pub fn handle_want(&mut self, now: clock::Instant, from: &SmolStr, want: &wire::Want) {
        let waiting = Waiting {
            callers: want.waiting,
            deadline: now.after(Duration::from_millis(want.left_ms)),
            seen: now,
        };
        let wants = self.wants.entry(want.item.clone()).or_default();
        if wants.is_empty() {
            let usage = self.uses.entry(want.item.clone()).or_default();
            usage.touch(now, &mut self.gaps);
        }
        wants.insert(from.clone(), waiting);
    }

    /// Takes an instance's usage.
    pub fn handle_usage(&mut self, now: clock::Instant, from: &SmolStr, usages: &[wire::Usage]) {
        for usage in usages {
            let entry = self.uses.entry(usage.item.clone()).or_default();
            entry.active.insert(from.clone(), (usage.active, now));
            if usage.finished > 0 || usage.active > 0 {
                entry.touch(now, &mut self.gaps);
            }
        }
    }

    /// An item was loaded: those who waited have it. Left to run out, their wants would keep its memory from
    /// others for as long as a want lives, though nobody uses it any more.
    pub(super) fn served(&mut self, item: &item::Item) {
        self.wants.remove(item);
    }

    /// Drops what was not repeated in time.
    pub(super) fn expire(&mut self, now: clock::Instant) {
        for wants in self.wants.values_mut() {
            wants.retain(|_, waiting| now.since(waiting.seen) < WANT_LIFE);
        }
        self.wants.retain(|_, wants| !wants.is_empty());
    }

    /// Every wanted item.
    pub(super) fn wanted(&self) -> Vec<Wanted> {
        let wants = self.wants.iter().filter_map(|(item, wants)| {
            let deadline = wants.values().map(|waiting| waiting.deadline).min()?;
            let callers = wants.values().map(|waiting| waiting.callers).sum();
            Some(Wanted {
                item: item.clone(),
                callers,
                deadline,
            })
        });
        wants.collect()
    }

    /// The instances at which callers wait for an item.
    pub(super) fn waiting(&self, item: &item::Item) -> Vec<SmolStr> {
        let wants = self.wants.get(item);
        wants.map_or_else(Vec::new, |wants| wants.keys().cloned().collect())
    }

    /// Whether callers wait for an item.
    pub(super) fn is_wanted(&self, item: &item::Item) -> bool {
        self.wants.contains_key(item)
    }

    /// How an item is used; `None` when nobody told.
    pub(super) fn usage(&self, item: &item::Item) -> Option<&Use> {
        self.uses.get(item)
    }

    /// Requests for an item in progress or waiting at all instances.
    pub(super) fn active(&self, now: clock::Instant, item: &item::Item) -> u32 {
        self.usage(item).map_or(0, |usage| usage.active(now))
    }
}

impl Use {
    /// Takes in that it is in use. What is told again and again of one use is no arrival: a cold start would
    /// otherwise pass for several, and the item for one that is often asked for.
    fn touch(&mut self, now: clock::Instant, gaps: &mut placement::IdleTimes) {
        let idle = self.last.map(|last| now.since(last));
        self.last = Some(now);
        if idle.is_some_and(|idle| idle < QUIET) {
            return;
        }
        self.rate.record_arrival(now);
        if let Some(idle) = idle {
            gaps.observe(idle);
        }
    }

    /// Requests in progress or waiting, by the instances' newest word.
    #[must_use]
    pub fn active(&self, now: clock::Instant) -> u32 {
        let fresh = self.active.values();
        let fresh = fresh.filter(|(_, seen)| now.since(*seen) < USE_LIFE);
        fresh.map(|(active, _)| *active).sum()
    }
}
