//! Open links to other instances, and the dial attempts with their backoff.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use smol_str::SmolStr;

use crate::clock;

/// Maximum number of doublings of the delay between dial attempts.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// Factor on the dial delay for a deferred first attempt.
const DEFERRED_DIAL_FACTOR: u32 = 3;

/// An open link.
#[derive(Clone, Debug)]
struct Link {
    /// The incarnation's number.
    number: u64,
    /// Time since which the link is not needed; `None` while it is needed.
    unwanted_since: Option<clock::Instant>,
}

/// Dial attempts to one address.
#[derive(Clone, Copy, Debug)]
struct Dial {
    last: clock::Instant,
    next: clock::Instant,
    failures: u32,
    /// Whether at least one attempt was made.
    attempted: bool,
}

/// Open links by instance, and dial attempts by address.
#[derive(Clone, Debug, Default)]
pub(super) struct Links {
    links: BTreeMap<SmolStr, Link>,
    dials: BTreeMap<SmolStr, Dial>,
}

impl Links {
    /// Adds a link, unless one to a later incarnation is open.
    pub(super) fn add(&mut self, instance: &SmolStr, number: u64) {
        if self
            .links
            .get(instance)
            .is_some_and(|link| link.number > number)
        {
            return;
        }
        let link = Link {
            number,
            unwanted_since: None,
        };
        self.links.insert(instance.clone(), link);
    }

    /// Removes a link, unless it leads to a later incarnation.
    pub(super) fn end(&mut self, instance: &str, number: u64) {
        if self
            .links
            .get(instance)
            .is_some_and(|link| link.number <= number)
        {
            self.links.remove(instance);
        }
    }

    pub(super) fn contains(&self, instance: &str) -> bool {
        self.links.contains_key(instance)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &SmolStr> {
        self.links.keys()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.links.is_empty()
    }

    /// Picks a linked instance; `random` selects which one.
    pub(super) fn pick(&self, random: u64) -> Option<&SmolStr> {
        let count = self.links.len().max(1);
        self.links.keys().nth(random as usize % count)
    }

    /// Returns whether a dial attempt to this address is due, and records it if so. A `deferred` first
    /// attempt gives the other side time to open the link when both sides want it.
    pub(super) fn try_dial(
        &mut self,
        now: clock::Instant,
        address: &SmolStr,
        wait: Duration,
        deferred: bool,
    ) -> bool {
        if let Some(dial) = self.dials.get_mut(address) {
            if now < dial.next {
                return false;
            }
            let doublings = dial.failures.min(MAX_BACKOFF_DOUBLINGS);
            dial.last = now;
            dial.next = now.after(wait.saturating_mul(1 << doublings));
            dial.failures += 1;
            dial.attempted = true;
            return true;
        }
        let next = match deferred {
            true => now.after(wait.saturating_mul(DEFERRED_DIAL_FACTOR)),
            false => now.after(wait),
        };
        let dial = Dial {
            last: now,
            next,
            failures: 0,
            attempted: !deferred,
        };
        self.dials.insert(address.clone(), dial);
        !deferred
    }

    /// Resets the backoff of an address, after an attempt led to a link or when earlier failures must not
    /// delay the next attempt.
    pub(super) fn reset_backoff(&mut self, now: clock::Instant, address: &str) {
        if let Some(dial) = self.dials.get_mut(address) {
            dial.failures = 0;
            dial.next = now;
        }
    }

    /// Removes attempts older than `age` at addresses without a link.
    pub(super) fn prune(&mut self, now: clock::Instant, age: Duration, linked: &BTreeSet<SmolStr>) {
        self.dials
            .retain(|address, dial| now.since(dial.last) < age || linked.contains(address));
    }

    /// Returns the links that this instance opened and that were not needed for `grace`.
    pub(super) fn find_unwanted<W, A>(
        &mut self,
        now: clock::Instant,
        grace: Duration,
        wanted: W,
        address: A,
    ) -> Vec<SmolStr>
    where
        W: Fn(&str) -> bool,
        A: Fn(&str) -> Option<SmolStr>,
    {
        let mut unwanted = Vec::new();
        for (instance, link) in &mut self.links {
            let dial = address(instance).and_then(|address| self.dials.get(&address));
            let opened_here = dial.is_some_and(|dial| dial.attempted);
            if !opened_here || wanted(instance) {
                link.unwanted_since = None;
                continue;
            }
            let since = *link.unwanted_since.get_or_insert(now);
            if now.since(since) >= grace {
                unwanted.push(instance.clone());
                link.unwanted_since = None;
            }
        }
        unwanted
    }
}
