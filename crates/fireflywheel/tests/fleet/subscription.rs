//! Tests of which links receive updates of which engines.

use std::collections::{BTreeMap, BTreeSet};

use fireflywheel::clock::Instant;
use fireflywheel::fleet::subscription::{Registry, TTL};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use smol_str::{SmolStr, format_smolstr};

use crate::cases;

const SEEDS: u64 = 200;

fn names(names: &[&str]) -> Vec<SmolStr> {
    names.iter().map(|name| SmolStr::new(*name)).collect()
}

fn update(registry: &mut Registry, engine: &str, models: &[&str]) -> Vec<u64> {
    let links = registry.update_engine(&engine.into(), &names(models));
    links.into_iter().collect()
}

fn subscription_returns_holders() {
    let mut registry = Registry::default();
    update(&mut registry, "e1", &["m1", "m2"]);
    update(&mut registry, "e2", &["m2"]);
    let holders = registry.subscribe(Instant(0), 7, &"m2".into());
    assert_eq!(holders, names(&["e1", "e2"]));
}

fn unload_is_sent_to_subscribers() {
    let mut registry = Registry::default();
    update(&mut registry, "e1", &["m1"]);
    registry.subscribe(Instant(0), 7, &"m1".into());
    assert_eq!(update(&mut registry, "e1", &["m2"]), [7]);
    assert_eq!(update(&mut registry, "e1", &["m3"]), [0; 0]);
}

fn unused_subscription_expires() {
    let mut registry = Registry::default();
    for link in [7, 8] {
        registry.subscribe(Instant(0), link, &"m1".into());
    }
    let later = Instant(0).after(TTL * 3);
    registry.renew(later, 8, "m1");
    registry.prune(later);
    assert_eq!(update(&mut registry, "e1", &["m1"]), [8]);
}

fn subscription_outlives_ttl() {
    let mut registry = Registry::default();
    registry.subscribe(Instant(0), 7, &"m1".into());
    registry.prune(Instant(0).after(TTL));
    assert_eq!(update(&mut registry, "e1", &["m1"]), [7]);
}

fn closed_link_has_no_subscriptions() {
    let mut registry = Registry::default();
    registry.subscribe(Instant(0), 7, &"m1".into());
    registry.remove_link(7);
    assert_eq!(update(&mut registry, "e1", &["m1"]), [0; 0]);
}

/// Random changes and subscriptions. What a link has received must match what engines hold of the models
/// that the link subscribes to.
fn random_history(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut registry = Registry::default();
    let mut held: BTreeMap<SmolStr, BTreeSet<SmolStr>> = BTreeMap::new();
    let mut subscribed: BTreeMap<u64, BTreeSet<SmolStr>> = BTreeMap::new();
    let mut received: BTreeMap<(u64, SmolStr), BTreeSet<SmolStr>> = BTreeMap::new();
    for _ in 0..300 {
        let engine = format_smolstr!("e{}", rng.random_range(0..6));
        let link = rng.random_range(0..4);
        match rng.random_range(0..10) {
            0 => {
                registry.remove_link(link);
                subscribed.remove(&link);
                received.retain(|(of, _), _| *of != link);
            }
            1..=3 => {
                let model = format_smolstr!("m{}", rng.random_range(0..8));
                let holders = registry.subscribe(Instant(0), link, &model);
                // The answer is complete: no other engine holds the model.
                for ((_, engine), held) in received.iter_mut().filter(|((of, _), _)| *of == link) {
                    if !holders.contains(engine) {
                        held.remove(&model);
                    }
                }
                for engine in holders {
                    received.insert((link, engine.clone()), held[&engine].clone());
                }
                subscribed.entry(link).or_default().insert(model);
            }
            _ => {
                let models: BTreeSet<SmolStr> = (0..rng.random_range(0..3))
                    .map(|_| format_smolstr!("m{}", rng.random_range(0..8)))
                    .collect();
                for link in registry.update_engine(&engine, &models) {
                    received.insert((link, engine.clone()), models.clone());
                }
                held.insert(engine, models);
            }
        }
        for (link, models) in &subscribed {
            for model in models {
                let holders = held.iter().filter(|(_, held)| held.contains(model));
                let known = received
                    .iter()
                    .filter(|((of, _), held)| of == link && held.contains(model));
                let holders: Vec<_> = holders.map(|(engine, _)| engine).collect();
                let known: Vec<_> = known.map(|((_, engine), _)| engine).collect();
                assert_eq!(holders, known, "seed {seed}, {model} at link {link}");
            }
        }
    }
}

cases! {
    /// Without the holders in the answer, a loaded model would be taken for an unloaded one.
    holders => subscription_returns_holders();
    /// Without the update, requests would still go to an engine that has unloaded their model.
    unloaded_model => unload_is_sent_to_subscribers();
    /// Without expiry, updates of every model ever requested would be sent for ever.
    unused_subscription => unused_subscription_expires();
    /// An instance that still relies on a subscription must receive its updates.
    subscription_within_retention => subscription_outlives_ttl();
    /// Subscriptions of closed links would still cost the steward work.
    closed_link => closed_link_has_no_subscriptions();
    /// Random orders of changes, subscriptions and closed links.
    random_histories => (0..SEEDS).for_each(random_history);
}
