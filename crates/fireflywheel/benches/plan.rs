//! One plan of a steward, by the number of engines, and what it needs of the demands of all instances.
#![allow(
    missing_docs,
    reason = "criterion's macros make undocumented functions"
)]

use std::collections::{BTreeMap, BTreeSet};
use std::hint::black_box;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use fireflywheel::clock::Instant;
use fireflywheel::fleet::config::{Engine, Model};
use fireflywheel::fleet::demand::{Board, Demand, Running, Want};
use fireflywheel::fleet::plan::{self, Site, View};
use smol_str::{SmolStr, format_smolstr};

/// Engines and models.
const SIZES: [(usize, usize); 3] = [(12, 65), (60, 185), (500, 185)];
/// Instances and engines.
const FLEETS: [(usize, usize); 3] = [(12, 12), (195, 124), (1100, 2000)];
/// Engines at which one instance has requests in progress.
const IN_USE: usize = 8;
/// Copies of models on an engine's disk.
const COPIES: usize = 12;
/// Time since the models were loaded.
const NOW: Instant = Instant(100_000);

fn name(model: usize) -> SmolStr {
    format_smolstr!("m{model}")
}

fn engine(models: usize) -> Engine {
    let model = Model {
        memory_mb: 34_300.0,
        fetch: Duration::from_secs(6),
        from_disk: Duration::from_secs(1),
        from_host: Duration::from_millis(780),
        adapter_mb: 40.0,
    };
    Engine {
        slots: 128,
        memory_mb: 83_000.0,
        adapter_places: 8,
        loads_per_second: 4.9,
        models: (0..models).map(|place| (name(place), model)).collect(),
    }
}

/// Two models in memory, one of them in use, and copies of others on disk.
fn site(place: usize, models: usize) -> Site {
    let mut site = Site {
        usable: true,
        ..Site::default()
    };
    for held in [place % models, (place * 7 + 1) % models] {
        site.held.models.insert(name(held), BTreeSet::new());
    }
    let copies = (0..COPIES).map(|copy| name((place * COPIES + copy) % models));
    site.held.on_disk.extend(copies);
    site.running.insert((name(place % models), None), 5);
    site
}

/// As many models are waited for as there are engines, at most all.
fn wants(sites: usize, models: usize) -> Vec<Want> {
    let wanted = (0..sites.min(models)).rev();
    wanted
        .map(|model| Want {
            model: name(model),
            adapter: None,
            waiting: 2,
            since: NOW.before(Duration::from_millis(model as u64)),
            until: NOW.after(Duration::from_secs(5)),
        })
        .collect()
}

fn plans(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("plan");
    for (count, models) in SIZES {
        let engine = engine(models);
        let sites: Vec<Site> = (0..count).map(|place| site(place, models)).collect();
        let wants = wants(count, models);
        let rates: BTreeMap<SmolStr, f64> = (0..models)
            .map(|model| (name(model), 10.0 / (model + 1) as f64))
            .collect();
        let view = View {
            now: NOW,
            engine: &engine,
            sites: &sites,
            wants: &wants,
            rates: &rates,
            drains: &BTreeMap::new(),
            fetches: plan::pace::Pace::default().at_once(),
            pace: plan::pace::Pace::default(),
        };
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| plan::steps(black_box(&view)));
        });
    }
    group.finish();
}

/// Demands of instances that each have requests at a few engines.
fn board(instances: usize, engines: usize) -> Board {
    let mut board = Board::default();
    for instance in 0..instances {
        let running = (0..IN_USE).map(|place| Running {
            server: format_smolstr!("e{}", (instance * IN_USE + place) % engines),
            model: name(place),
            adapter: None,
            count: 1,
            unread: 600,
        });
        let demand = Demand {
            running: running.collect(),
            ..Demand::default()
        };
        board.take(NOW, format_smolstr!("i{instance}"), demand);
    }
    board
}

fn counts(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("running");
    for (instances, engines) in FLEETS {
        let board = board(instances, engines);
        let size = format!("{instances}x{engines}");
        group.bench_function(BenchmarkId::from_parameter(size), |bencher| {
            bencher.iter(|| black_box(&board).running());
        });
    }
    group.finish();
}

criterion_group!(benches, plans, counts);
criterion_main!(benches);
