//! Chooses the instances through which others reach backend servers that they can't reach themselves.
//!
//! The steward names a few gateways to each instance, other ones to each, so that the requests of many partitioned
//! instances don't all go through one. An instance spreads its connections over those that it was named.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{clock, rendezvous};

/// The number of gateways for each group in the instance's own failure domain. Bytes between domains are charged for.
const SAME_DOMAIN_GATEWAYS: usize = 2;
/// The number of gateways for each group in any domain: a partition may affect the whole of the instance's own.
const ANY_DOMAIN_GATEWAYS: usize = 4;
/// The cost of a gateway in another failure domain, in open connections through it.
const CROSS_DOMAIN_COST: usize = 2;
/// The time for which a gateway isn't chosen after it has refused a connection or didn't answer.
const HOLD_OFF: Duration = Duration::from_millis(500);

/// An instance that opens connections to backend servers for others.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Gateway {
    /// Its name.
    pub instance: SmolStr,
    /// The address at which peers reach it.
    pub address: SmolStr,
    /// Its failure domain.
    #[serde(rename = "domain")]
    pub failure_domain: SmolStr,
    /// The groups whose servers it doesn't reach itself.
    #[serde(rename = "unreached")]
    pub unreached_groups: BTreeSet<SmolStr>,
    /// Whether its release lends connections of its own.
    #[serde(default)]
    pub lends: bool,
}

/// Returns the gateways for an instance out of all candidates. The groups without a candidate that reaches them have
/// none.
#[must_use]
pub fn assign<'a>(
    instance: &str,
    failure_domain: &str,
    groups: &BTreeSet<SmolStr>,
    candidates: &'a [Gateway],
) -> Vec<&'a Gateway> {
    let mut names = BTreeSet::new();
    for group in groups {
        let reaching = || {
            let others = candidates.iter();
            others.filter(|other| {
                other.instance != instance && !other.unreached_groups.contains(group)
            })
        };
        let name = |gateway: &'a Gateway| gateway.instance.as_str();
        let same_domain = reaching().filter(|other| other.failure_domain == failure_domain);
        names.extend(rendezvous::ranked(
            instance,
            same_domain.map(name),
            SAME_DOMAIN_GATEWAYS,
        ));
        names.extend(rendezvous::ranked(
            instance,
            reaching().map(name),
            ANY_DOMAIN_GATEWAYS,
        ));
    }
    let candidates = candidates.iter();
    candidates
        .filter(|candidate| names.contains(candidate.instance.as_str()))
        .collect()
}

/// The gateways of one instance.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    gateways: Vec<Entry>,
}

#[derive(Clone, Debug)]
struct Entry {
    gateway: Gateway,
    held_off_until: clock::Instant,
}

impl Roster {
    /// Replaces the gateways by those that the steward has named.
    pub fn replace(&mut self, gateways: Vec<Gateway>) {
        let entries = gateways.into_iter().map(|gateway| {
            let mut known = self.gateways.iter();
            let known = known.find(|known| known.gateway.instance == gateway.instance);
            Entry {
                held_off_until: known
                    .map_or_else(clock::Instant::default, |known| known.held_off_until),
                gateway,
            }
        });
        self.gateways = entries.collect();
    }

    /// Whether there is a gateway for a group, at this moment or later.
    #[must_use]
    pub fn reaches(&self, group: &str) -> bool {
        let mut entries = self.gateways.iter();
        entries.any(|entry| !entry.gateway.unreached_groups.contains(group))
    }

    /// The gateways that lend no connections of their own.
    pub fn non_lending(&self) -> impl Iterator<Item = &SmolStr> {
        let gateways = self.gateways.iter().map(|entry| &entry.gateway);
        let gateways = gateways.filter(|gateway| !gateway.lends);
        gateways.map(|gateway| &gateway.instance)
    }

    /// Returns the gateway for another connection to a server of a group, or `None` if there is none at the moment.
    /// Those in `tried` are left out. `open_count` returns the number of open connections through a gateway, and `draw`
    /// breaks ties.
    #[must_use]
    pub fn pick<F>(
        &self,
        now: clock::Instant,
        group: &str,
        failure_domain: &str,
        tried: &[SmolStr],
        draw: u64,
        open_count: F,
    ) -> Option<&Gateway>
    where
        F: Fn(&str) -> usize,
    {
        let count = self.gateways.len();
        let first = usize::try_from(draw % count.max(1) as u64).unwrap_or_default();
        let indices = (0..count).map(|offset| (first + offset) % count);
        let usable = indices.map(|index| &self.gateways[index]).filter(|entry| {
            let gateway = &entry.gateway;
            let is_usable =
                !gateway.unreached_groups.contains(group) && !tried.contains(&gateway.instance);
            is_usable && now >= entry.held_off_until
        });
        let cost = |entry: &&Entry| {
            let gateway = &entry.gateway;
            let is_same_domain = gateway.failure_domain == failure_domain;
            open_count(&gateway.instance) + if is_same_domain { 0 } else { CROSS_DOMAIN_COST }
        };
        usable.min_by_key(cost).map(|entry| &entry.gateway)
    }

    /// Records that a gateway has refused a connection or didn't answer.
    pub fn hold_off(&mut self, now: clock::Instant, instance: &str) {
        let mut entries = self.gateways.iter_mut();
        if let Some(entry) = entries.find(|entry| entry.gateway.instance == instance) {
            entry.held_off_until = now.after(HOLD_OFF);
        }
    }
}
