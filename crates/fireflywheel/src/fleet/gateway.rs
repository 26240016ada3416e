//! Chooses the instances through which others reach backend servers that they can't reach themselves.
//!
//! The steward names a few gateways to each instance, other ones to each, so that the requests of many partitioned
//! instances don't all go through one. An instance spreads its connections over those that it was named. One that has no
//! connection to spare refers it to those that it knows itself, so that an instance with many requests finds as many lenders
//! as it needs, also without a steward.

use std::collections::{BTreeMap, BTreeSet};
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
/// How long a gateway that another one has named is remembered.
const REFERRAL_TTL: Duration = Duration::from_secs(30);
/// Maximum number of gateways that others have named.
const MAX_REFERRED: usize = 256;

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

/// What an instance needs a gateway for.
#[derive(Clone, Copy, Debug)]
pub struct Search<'a> {
    /// The group of the server.
    pub group: &'a str,
    /// The server, if the connection is to be one that the gateway has to spare.
    pub borrowed: Option<&'a str>,
    /// The instance's own failure domain.
    pub failure_domain: &'a str,
    /// The gateways that are left out.
    pub tried: &'a [SmolStr],
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
    /// Until when it lends no connection to a server.
    busy_until: BTreeMap<SmolStr, clock::Instant>,
    /// Until when it is remembered, if another gateway has named it.
    referred_until: Option<clock::Instant>,
}

impl Entry {
    fn new(gateway: Gateway, referred_until: Option<clock::Instant>) -> Self {
        Self {
            gateway,
            held_off_until: clock::Instant::default(),
            busy_until: BTreeMap::new(),
            referred_until,
        }
    }
}

impl Roster {
    /// Replaces the gateways by those that the steward has named.
    pub fn replace(&mut self, gateways: Vec<Gateway>) {
        let mut known = std::mem::take(&mut self.gateways);
        for gateway in gateways {
            let mut entries = known.iter();
            let index = entries.position(|entry| entry.gateway.instance == gateway.instance);
            let entry = index.map_or_else(
                || Entry::new(gateway.clone(), None),
                |index| known.swap_remove(index),
            );
            self.gateways.push(Entry {
                gateway,
                referred_until: None,
                ..entry
            });
        }
        known.retain(|entry| entry.referred_until.is_some());
        self.gateways.append(&mut known);
    }

    /// Adds gateways that another one has named.
    pub fn refer(&mut self, now: clock::Instant, gateways: Vec<Gateway>) {
        let is_remembered = |entry: &Entry| entry.referred_until.is_none_or(|until| now < until);
        self.gateways.retain(is_remembered);
        let until = Some(now.after(REFERRAL_TTL));
        for gateway in gateways {
            let mut entries = self.gateways.iter_mut();
            let known = entries.find(|entry| entry.gateway.instance == gateway.instance);
            if let Some(entry) = known {
                entry.referred_until = entry.referred_until.and(until);
            } else if self.gateways.len() < MAX_REFERRED {
                self.gateways.push(Entry::new(gateway, until));
            }
        }
    }

    /// The gateways that lend connections of their own, as the steward has named them.
    #[must_use]
    pub fn lenders(&self) -> Vec<Gateway> {
        let named = self.gateways.iter();
        let named = named.filter(|entry| entry.referred_until.is_none() && entry.gateway.lends);
        named.map(|entry| entry.gateway.clone()).collect()
    }

    /// Whether there is a gateway for a group, at this moment or later.
    #[must_use]
    pub fn reaches(&self, group: &str) -> bool {
        let mut entries = self.gateways.iter();
        entries.any(|entry| !entry.gateway.unreached_groups.contains(group))
    }

    /// Whether any gateway lends connections of its own.
    #[must_use]
    pub fn has_lenders(&self) -> bool {
        self.gateways.iter().any(|entry| entry.gateway.lends)
    }

    /// The gateways that lend no connections of their own.
    pub fn non_lending(&self) -> impl Iterator<Item = &SmolStr> {
        let gateways = self.gateways.iter().map(|entry| &entry.gateway);
        let gateways = gateways.filter(|gateway| !gateway.lends);
        gateways.map(|gateway| &gateway.instance)
    }

    /// Returns the gateway for another connection to a server of a group, or `None` if there is none at the moment.
    /// `open_count` returns the number of open connections through a gateway, and `draw` breaks ties.
    #[must_use]
    pub fn pick<F>(
        &self,
        now: clock::Instant,
        search: Search<'_>,
        draw: u64,
        open_count: F,
    ) -> Option<&Gateway>
    where
        F: Fn(&str) -> usize,
    {
        let Search {
            group,
            borrowed,
            failure_domain,
            tried,
        } = search;
        let count = self.gateways.len();
        let first = usize::try_from(draw % count.max(1) as u64).unwrap_or_default();
        let indices = (0..count).map(|offset| (first + offset) % count);
        let usable = indices.map(|index| &self.gateways[index]).filter(|entry| {
            let gateway = &entry.gateway;
            let is_usable =
                !gateway.unreached_groups.contains(group) && !tried.contains(&gateway.instance);
            let busy_until = borrowed.and_then(|server| entry.busy_until.get(server));
            let is_busy = busy_until.is_some_and(|until| now < *until);
            is_usable && !is_busy && now >= entry.held_off_until
        });
        let cost = |entry: &&Entry| {
            let gateway = &entry.gateway;
            let is_same_domain = gateway.failure_domain == failure_domain;
            open_count(&gateway.instance) + if is_same_domain { 0 } else { CROSS_DOMAIN_COST }
        };
        usable.min_by_key(cost).map(|entry| &entry.gateway)
    }

    /// Records that a gateway has no connection to a server to spare.
    pub fn hold_off_for(&mut self, now: clock::Instant, instance: &str, server: &SmolStr) {
        let mut entries = self.gateways.iter_mut();
        if let Some(entry) = entries.find(|entry| entry.gateway.instance == instance) {
            entry.busy_until.retain(|_, until| now < *until);
            entry.busy_until.insert(server.clone(), now.after(HOLD_OFF));
        }
    }

    /// Records that a gateway has refused a connection or didn't answer. One that only another has named is forgotten.
    pub fn hold_off(&mut self, now: clock::Instant, instance: &str) {
        self.gateways
            .retain(|entry| entry.referred_until.is_none() || entry.gateway.instance != instance);
        let mut entries = self.gateways.iter_mut();
        if let Some(entry) = entries.find(|entry| entry.gateway.instance == instance) {
            entry.held_off_until = now.after(HOLD_OFF);
        }
    }
}
