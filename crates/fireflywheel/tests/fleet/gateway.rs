//! Tests of the choice of gateways.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use fireflywheel::clock::Instant;
use fireflywheel::fleet::gateway::{self, Gateway, Roster, Search};
use smol_str::SmolStr;

use crate::cases;

fn gateway(number: usize, unreached: &[&str]) -> Gateway {
    Gateway {
        instance: format!("i{number}").into(),
        address: format!("10.0.0.{number}:1").into(),
        failure_domain: format!("z{}", number % 4).into(),
        unreached_groups: unreached.iter().copied().map(SmolStr::new).collect(),
        lends: true,
    }
}

fn groups(names: &[&str]) -> BTreeSet<SmolStr> {
    names.iter().copied().map(SmolStr::new).collect()
}

/// Assigns gateways to `all` instances of which the first `cut` reach no server, and returns how many instances each
/// gateway was named to.
fn assign_all(all: usize, cut: usize) -> BTreeMap<SmolStr, usize> {
    let candidates: Vec<Gateway> = (0..all)
        .map(|number| gateway(number, if number < cut { &["llm", "app"] } else { &[] }))
        .collect();
    let mut named = BTreeMap::new();
    for candidate in &candidates[..cut] {
        let domain = &candidate.failure_domain;
        let groups = groups(&["llm", "app"]);
        let assigned = gateway::assign(&candidate.instance, domain, &groups, &candidates);
        assert!(
            !assigned.is_empty(),
            "{} has no gateway",
            candidate.instance
        );
        for gateway in assigned {
            assert!(gateway.unreached_groups.is_empty());
            *named.entry(gateway.instance.clone()).or_default() += 1;
        }
    }
    named
}

/// Checks that no gateway is named to more than `ratio` times as many instances as on average.
fn assert_spread(all: usize, cut: usize, ratio: f64) {
    let named = assign_all(all, cut);
    let mean = named.values().sum::<usize>() as f64 / (all - cut) as f64;
    let most = named.values().max().copied().unwrap_or_default();
    assert!(most as f64 <= mean * ratio, "{most} of {mean} on average");
}

fn assert_assigned(candidates: &[Gateway], expected: &[&str]) {
    let groups = groups(&["llm", "app"]);
    let assigned = gateway::assign("i0", "z0", &groups, candidates);
    let names: Vec<&str> = assigned.iter().map(|one| one.instance.as_str()).collect();
    assert_eq!(names, expected);
}

fn search<'a>(borrowed: Option<&'a str>, tried: &'a [SmolStr]) -> Search<'a> {
    Search {
        group: "llm",
        borrowed,
        failure_domain: "z1",
        tried,
    }
}

fn assert_picked(tried: &[&str], held_off: Option<&str>, open: usize, expected: Option<&str>) {
    let mut roster = Roster::default();
    roster.replace(vec![gateway(1, &[]), gateway(2, &["app"])]);
    if let Some(instance) = held_off {
        roster.hold_off(Instant(1000), instance);
    }
    let tried: Vec<SmolStr> = tried.iter().copied().map(SmolStr::new).collect();
    let picked = roster.pick(Instant(1001), search(None, &tried), 7, |instance| {
        if instance == "i1" { open } else { 0 }
    });
    assert_eq!(picked.map(|gateway| gateway.instance.as_str()), expected);
}

/// Borrows connections, one of each server, until no instance has one to spare. Each instance knows `named` others, and lends
/// one connection to each server. Returns how many were borrowed.
fn borrow_all(instances: usize, named: usize) -> usize {
    let lenders = |of: usize| -> Vec<Gateway> {
        let numbers = (1..=named).map(|offset| (of + offset * offset) % instances);
        numbers.map(|number| gateway(number, &[])).collect()
    };
    let mut roster = Roster::default();
    roster.replace(lenders(0));
    let mut lent = BTreeSet::new();
    let now = Instant(1000);
    while let Some(lender) = roster.pick(now, search(Some("s1"), &["i0".into()]), 0, |name| {
        usize::from(lent.contains(name))
    }) {
        let name = lender.instance.clone();
        let number: usize = name[1..].parse().expect("names have numbers");
        if !lent.insert(name.clone()) {
            roster.refer(now, lenders(number));
            roster.hold_off_for(now, &name, &"s1".into());
        }
    }
    lent.len()
}

/// Guards against an instance of a large fleet that borrows of the few that it was named only.
#[test]
fn referrals_lead_to_most_lenders() {
    assert!(borrow_all(100, 6) >= 90);
}

/// Guards against a lender that is left out for all servers since it has lent its connections to one.
#[test]
fn busy_lender_lends_connections_to_other_servers() {
    let mut roster = Roster::default();
    roster.replace(vec![gateway(1, &[])]);
    let now = Instant(1000);
    roster.hold_off_for(now, "i1", &"s1".into());
    let pick = |server| roster.pick(now, search(server, &[]), 0, |_| 0);
    assert!(pick(Some("s1")).is_none());
    assert!(pick(Some("s2")).is_some());
    assert!(pick(None).is_some());
}

/// Guards against instances that have ended and are tried again and again since others have named them.
#[test]
fn named_lender_that_does_not_answer_is_forgotten() {
    let mut roster = Roster::default();
    let now = Instant(1000);
    roster.refer(now, vec![gateway(1, &[]), gateway(2, &[])]);
    roster.hold_off(now, "i1");
    let later = now.after(Duration::from_secs(1));
    let picked = roster.pick(later, search(Some("s1"), &["i2".into()]), 0, |_| 0);
    assert!(picked.is_none());
}

/// Guards against lenders that are named once and stay for good, and against passing on what others have named.
#[test]
fn named_lenders_are_forgotten() {
    let mut roster = Roster::default();
    let now = Instant(1000);
    roster.refer(now, (0..1000).map(|number| gateway(number, &[])).collect());
    assert!(roster.lenders().is_empty());
    let later = now.after(Duration::from_secs(60));
    roster.refer(later, Vec::new());
    assert!(!roster.reaches("llm"));
}

cases! {
    /// Guards against a gateway through which the requests of many instances go while others are idle.
    half_of_a_fleet => assert_spread(16, 8, 1.6);
    /// The same with nearly all instances of a large fleet partitioned.
    hundred_of_a_hundred_and_eight => assert_spread(108, 100, 1.6);
    /// Guards against a whole failure domain without gateways: all of its instances are partitioned.
    whole_domain => assert_assigned(&[gateway(0, &["llm", "app"]), gateway(4, &["llm", "app"]), gateway(1, &[])], &["i1"]);
    /// Guards against an instance that is named to itself.
    no_gateway_to_itself => assert_assigned(&[gateway(0, &[])], &[]);
    /// Guards against a group without gateways because no instance reaches all groups.
    gateways_for_each_group => assert_assigned(&[gateway(1, &["llm"]), gateway(2, &["app"])], &["i1", "i2"]);
    /// A gateway in the same failure domain comes first.
    same_domain_first => assert_picked(&[], None, 0, Some("i1"));
    /// Guards against all tunnels through one gateway.
    fewest_tunnels_first => assert_picked(&[], None, 5, Some("i2"));
    /// Guards against trying one gateway twice for a request.
    tried_gateway_is_left_out => assert_picked(&["i1"], None, 0, Some("i2"));
    /// Guards against waiting for a gateway that didn't answer.
    gateway_without_answer_is_left_out => assert_picked(&[], Some("i1"), 0, Some("i2"));
    /// No gateway is left.
    no_gateway_left => assert_picked(&["i2"], Some("i1"), 0, None);
}
