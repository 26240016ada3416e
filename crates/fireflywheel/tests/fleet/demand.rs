//! What instances ask for is joined, and what is forgotten with them.

use fireflywheel::clock::Instant;
use fireflywheel::fleet::demand::{Aggregator, Count, Demand, Queue, Running};
use smol_str::SmolStr;

use crate::cases;

fn queue(model: &str, waiting: u32, waited_ms: u32, left_ms: u32) -> Queue {
    Queue {
        group: "g".into(),
        model: model.into(),
        adapter: None,
        waiting,
        waited_ms,
        left_ms,
    }
}

fn wants(queues: Vec<Queue>) -> Demand {
    Demand {
        queues,
        ..Demand::default()
    }
}

fn same_want_is_joined() {
    let mut demands = Aggregator::default();
    demands.update(
        Instant(1000),
        "a".into(),
        wants(vec![queue("m", 2, 100, 5000)]),
    );
    demands.update(
        Instant(1100),
        "b".into(),
        wants(vec![queue("m", 1, 300, 900)]),
    );
    let joined = demands.pending("g");
    assert_eq!(joined.len(), 1);
    assert_eq!(joined[0].waiting, 3);
    assert_eq!(joined[0].since, Instant(800));
    assert_eq!(joined[0].until, Instant(6000));
}

fn longest_waiting_comes_first() {
    let mut demands = Aggregator::default();
    demands.update(
        Instant(1000),
        "a".into(),
        wants(vec![queue("m", 1, 100, 1), queue("n", 1, 700, 1)]),
    );
    let models: Vec<_> = demands
        .pending("g")
        .into_iter()
        .map(|want| want.model)
        .collect();
    assert_eq!(models, ["n", "m"]);
}

fn lost_instance_wants_nothing() {
    let mut demands = Aggregator::default();
    demands.update(
        Instant(1000),
        "a".into(),
        wants(vec![queue("m", 1, 0, 1000)]),
    );
    demands.remove("a");
    assert!(demands.pending("g").is_empty());
}

fn newer_demand_replaces_the_older() {
    let mut demands = Aggregator::default();
    demands.update(
        Instant(1000),
        "a".into(),
        wants(vec![queue("m", 1, 0, 1000)]),
    );
    demands.update(Instant(1001), "a".into(), Demand::default());
    assert!(demands.pending("g").is_empty());
}

fn running_is_summed() {
    let mut demands = Aggregator::default();
    for instance in ["a", "b"] {
        let running = Running {
            server: "s".into(),
            model: "m".into(),
            adapter: None,
            count: 2,
            prefill_tokens: 300,
        };
        let demand = Demand {
            running: vec![running],
            ..Demand::default()
        };
        demands.update(Instant(1000), instance.into(), demand);
    }
    let at = |demands: &Aggregator, server: &str| {
        let counts = demands.running().get(&SmolStr::new(server)).cloned();
        counts.unwrap_or_default().values().sum::<u32>()
    };
    assert_eq!(at(&demands, "s"), 4);
    let loads: Vec<(u32, u32)> = demands
        .loads()
        .into_values()
        .map(|load| (load.prefill_tokens, load.requests))
        .collect();
    assert_eq!(loads, [(600, 4)]);
    assert_eq!(at(&demands, "t"), 0);
}

fn rates_fade() {
    let mut demands = Aggregator::default();
    let arrived = Count {
        group: "g".into(),
        model: "m".into(),
        count: 100,
    };
    let demand = Demand {
        arrived: vec![arrived],
        ..Demand::default()
    };
    demands.update(Instant(1000), "a".into(), demand);
    let fresh = demands.arrival_rate(Instant(1000), "g", "m");
    let later = demands.arrival_rate(Instant(11_000), "g", "m");
    assert!((later / fresh - 0.5).abs() < 0.01, "{fresh} {later}");
    assert!(demands.arrival_rate(Instant(1000), "g", "n").abs() < f64::EPSILON);
}

fn queue_drains_as_fast_as_requests_end() {
    let mut demands = Aggregator::default();
    for second in 1..=20 {
        let finished = Count {
            group: "g".into(),
            model: "m".into(),
            count: 30,
        };
        let demand = Demand {
            finished: vec![finished],
            ..Demand::default()
        };
        demands.update(Instant(second * 1000), "a".into(), demand);
    }
    // In the middle between two words, as the rate falls from one to the next.
    let drain = demands.drain_rates(Instant(20_500), "g")["m"];
    assert!((25.0..35.0).contains(&drain), "{drain}");
    assert!(demands.arrival_rate(Instant(20_500), "g", "m").abs() < f64::EPSILON);
}

cases! {
    /// Callers are told how long a queue takes, by what its engines end and not by what comes.
    drain => queue_drains_as_fast_as_requests_end();
    /// The same cold model is asked for at two instances; ordered for each it would be loaded twice.
    joined => same_want_is_joined();
    /// Whoever has waited longest is nearest to giving up.
    order => longest_waiting_comes_first();
    /// An instance dies with its requests. Its wants would load models that nobody waits for.
    lost_instance => lost_instance_wants_nothing();
    /// A caller has left. Its want must go with it.
    replaced => newer_demand_replaces_the_older();
    /// Two instances use one engine. Counting only one of them, its model would be unloaded under the other.
    running => running_is_summed();
    /// Demand moves on; rates that last would keep yesterday's models.
    rates => rates_fade();
}
