//! Which links are told of which engines.

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

fn links(registry: &mut Registry, engine: &str, models: &[&str]) -> Vec<u64> {
    let told = registry.update_engine(&engine.into(), &names(models));
    told.into_iter().collect()
}

fn answer_names_holders() {
    let mut registry = Registry::default();
    links(&mut registry, "e1", &["m1", "m2"]);
    links(&mut registry, "e2", &["m2"]);
    let holders = registry.subscribe(Instant(0), 7, &"m2".into());
    assert_eq!(holders, names(&["e1", "e2"]));
}

fn loss_is_told() {
    let mut registry = Registry::default();
    links(&mut registry, "e1", &["m1"]);
    registry.subscribe(Instant(0), 7, &"m1".into());
    assert_eq!(links(&mut registry, "e1", &["m2"]), [7]);
    assert_eq!(links(&mut registry, "e1", &["m3"]), [0; 0]);
}

fn unused_ends() {
    let mut registry = Registry::default();
    for link in [7, 8] {
        registry.subscribe(Instant(0), link, &"m1".into());
    }
    let later = Instant(0).after(TTL * 3);
    registry.renew(later, 8, "m1");
    registry.prune(later);
    assert_eq!(links(&mut registry, "e1", &["m1"]), [8]);
}

fn outlasts_the_instance() {
    let mut registry = Registry::default();
    registry.subscribe(Instant(0), 7, &"m1".into());
    registry.prune(Instant(0).after(TTL));
    assert_eq!(links(&mut registry, "e1", &["m1"]), [7]);
}

fn ended_link() {
    let mut registry = Registry::default();
    registry.subscribe(Instant(0), 7, &"m1".into());
    registry.remove_link(7);
    assert_eq!(links(&mut registry, "e1", &["m1"]), [0; 0]);
}

/// Any changes and subscriptions: what a link was told is what engines hold of the models that it asked for.
fn any_history(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut registry = Registry::default();
    let mut held: BTreeMap<SmolStr, BTreeSet<SmolStr>> = BTreeMap::new();
    let mut asked: BTreeMap<u64, BTreeSet<SmolStr>> = BTreeMap::new();
    let mut told: BTreeMap<(u64, SmolStr), BTreeSet<SmolStr>> = BTreeMap::new();
    for _ in 0..300 {
        let engine = format_smolstr!("e{}", rng.random_range(0..6));
        let link = rng.random_range(0..4);
        match rng.random_range(0..10) {
            0 => {
                registry.remove_link(link);
                asked.remove(&link);
                told.retain(|(of, _), _| *of != link);
            }
            1..=3 => {
                let model = format_smolstr!("m{}", rng.random_range(0..8));
                let holders = registry.subscribe(Instant(0), link, &model);
                // The answer is complete: no other engine holds the model.
                for ((_, engine), held) in told.iter_mut().filter(|((of, _), _)| *of == link) {
                    if !holders.contains(engine) {
                        held.remove(&model);
                    }
                }
                for engine in holders {
                    told.insert((link, engine.clone()), held[&engine].clone());
                }
                asked.entry(link).or_default().insert(model);
            }
            _ => {
                let models: BTreeSet<SmolStr> = (0..rng.random_range(0..3))
                    .map(|_| format_smolstr!("m{}", rng.random_range(0..8)))
                    .collect();
                for link in registry.update_engine(&engine, &models) {
                    told.insert((link, engine.clone()), models.clone());
                }
                held.insert(engine, models);
            }
        }
        for (link, models) in &asked {
            for model in models {
                let truth = held.iter().filter(|(_, held)| held.contains(model));
                let known = told
                    .iter()
                    .filter(|((of, _), held)| of == link && held.contains(model));
                let truth: Vec<_> = truth.map(|(engine, _)| engine).collect();
                let known: Vec<_> = known.map(|((_, engine), _)| engine).collect();
                assert_eq!(truth, known, "seed {seed}, {model} at link {link}");
            }
        }
    }
}

cases! {
    /// A model that is loaded would be taken for absent.
    holders => answer_names_holders();
    /// Requests would go on to an engine that has unloaded their model.
    loss => loss_is_told();
    /// Everything ever asked for would be told for ever.
    unused => unused_ends();
    /// An instance that still relies on it wouldn't be told.
    lasting => outlasts_the_instance();
    /// What is told to nobody costs the steward all the same.
    ended => ended_link();
    /// Any order of changes, questions and ends of links.
    histories => (0..SEEDS).for_each(any_history);
}
