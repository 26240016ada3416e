//! Tests of the demand aggregation.

use fireflywheel::clock::Instant;
use fireflywheel::fleet::demand::{Aggregator, Count, Demand, Queue, Running};
use fireflywheel::fleet::frame::Forecast;
use smol_str::SmolStr;

use crate::cases;

fn queue(model: &str, waiting: u32, waited_ms: u32, left_ms: u32) -> Queue {
    Queue {
        group: "g".into(),
        model: model.into(),
        adapter: None,
        version: None,
        waiting,
        waited_ms,
        left_ms,
    }
}

fn queue_at(version: &str) -> Queue {
    Queue {
        version: Some(version.into()),
        ..queue("m", 1, 100, 1000)
    }
}

fn with_queues(queues: Vec<Queue>) -> Demand {
    Demand {
        queues,
        ..Demand::default()
    }
}

fn queues_of_one_model_are_combined() {
    let mut aggregator = Aggregator::default();
    aggregator.update(
        Instant(1000),
        "a".into(),
        with_queues(vec![queue("m", 2, 100, 5000)]),
    );
    aggregator.update(
        Instant(1100),
        "b".into(),
        with_queues(vec![queue("m", 1, 300, 900)]),
    );
    let combined = aggregator.pending("g");
    assert_eq!(combined.len(), 1);
    assert_eq!(combined[0].waiting, 3);
    assert_eq!(combined[0].since, Instant(800));
    assert_eq!(combined[0].until, Instant(6000));
}

fn longest_waiting_model_is_first() {
    let mut aggregator = Aggregator::default();
    aggregator.update(
        Instant(1000),
        "a".into(),
        with_queues(vec![queue("m", 1, 100, 1), queue("n", 1, 700, 1)]),
    );
    let models: Vec<_> = aggregator
        .pending("g")
        .into_iter()
        .map(|pending| pending.model)
        .collect();
    assert_eq!(models, ["n", "m"]);
}

fn removed_instance_has_no_demand() {
    let mut aggregator = Aggregator::default();
    aggregator.update(
        Instant(1000),
        "a".into(),
        with_queues(vec![queue("m", 1, 0, 1000)]),
    );
    aggregator.remove("a");
    assert!(aggregator.pending("g").is_empty());
}

fn new_demand_replaces_previous() {
    let mut aggregator = Aggregator::default();
    aggregator.update(
        Instant(1000),
        "a".into(),
        with_queues(vec![queue("m", 1, 0, 1000)]),
    );
    aggregator.update(Instant(1001), "a".into(), Demand::default());
    assert!(aggregator.pending("g").is_empty());
}

fn running_requests_are_summed() {
    let mut aggregator = Aggregator::default();
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
        aggregator.update(Instant(1000), instance.into(), demand);
    }
    let at = |aggregator: &Aggregator, server: &str| {
        let counts = aggregator.running().get(&SmolStr::new(server)).cloned();
        counts.unwrap_or_default().values().sum::<u32>()
    };
    assert_eq!(at(&aggregator, "s"), 4);
    let loads: Vec<(u32, u32)> = aggregator
        .loads()
        .into_values()
        .map(|load| (load.prefill_tokens, load.requests))
        .collect();
    assert_eq!(loads, [(600, 4)]);
    assert_eq!(at(&aggregator, "t"), 0);
}

fn arrival_rates_decay() {
    let mut aggregator = Aggregator::default();
    let arrived = Count {
        group: "g".into(),
        model: "m".into(),
        count: 100,
    };
    let demand = Demand {
        arrived: vec![arrived],
        ..Demand::default()
    };
    aggregator.update(Instant(1000), "a".into(), demand);
    let fresh = aggregator.arrival_rate(Instant(1000), "g", "m");
    let after_half_life = aggregator.arrival_rate(Instant(11_000), "g", "m");
    assert!(
        (after_half_life / fresh - 0.5).abs() < 0.01,
        "{fresh} {after_half_life}"
    );
    assert!(aggregator.arrival_rate(Instant(1000), "g", "n").abs() < f64::EPSILON);
}

fn drain_rate_is_completion_rate() {
    let mut aggregator = Aggregator::default();
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
        aggregator.update(Instant(second * 1000), "a".into(), demand);
    }
    // The sample lies midway between two reports, as the rate falls from one to the next.
    let drain = aggregator.drain_rates(Instant(20_500), "g")["m"];
    assert!((25.0..35.0).contains(&drain), "{drain}");
    assert!(aggregator.arrival_rate(Instant(20_500), "g", "m").abs() < f64::EPSILON);
}

fn queues_of_versions_are_separate() {
    let mut aggregator = Aggregator::default();
    for instance in ["a", "b"] {
        let queues = vec![queue("m", 2, 100, 1000), queue_at("v1"), queue_at("v2")];
        aggregator.update(Instant(1000), instance.into(), with_queues(queues));
    }
    let pending = aggregator.pending("g").into_iter();
    let pending: Vec<_> = pending.map(|one| (one.version, one.waiting)).collect();
    let expected = [(None, 4), (Some("v1".into()), 2), (Some("v2".into()), 2)];
    assert_eq!(pending, expected);
}

fn encode(value: &impl serde::Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("writing to a buffer cannot fail");
    bytes
}

fn releases_read_each_other() {
    let plain = serde_json::json!({
        "group": "g", "model": "m", "adapter": null, "waiting": 1, "waited_ms": 100, "left_ms": 1000,
    });
    let without_version = queue("m", 1, 100, 1000);
    assert_eq!(encode(&without_version).len(), encode(&plain).len());
    let read: Queue = ciborium::from_reader(encode(&plain).as_slice()).expect("it can be read");
    assert_eq!(read, without_version);
    let versioned = encode(&queue_at("v1"));
    let read: Queue = ciborium::from_reader(versioned.as_slice()).expect("it can be read");
    assert_eq!(read, queue_at("v1"));
    let forecast = serde_json::json!({"group": "g", "model": "m", "wait_ms": u32::MAX});
    let read: Forecast =
        ciborium::from_reader(encode(&forecast).as_slice()).expect("it can be read");
    assert_eq!(encode(&read).len(), encode(&forecast).len());
    assert!(
        read.wait().is_some(),
        "only servers of a version can be missing"
    );
    let never = Forecast {
        version: Some("v1".into()),
        ..read
    };
    assert_eq!(never.wait(), None);
}

cases! {
    /// Guards against demand at one version that is lost in that at others.
    demand_of_versions_is_separate => queues_of_versions_are_separate();
    /// Guards against demand and forecasts without a version that grow, and that other releases can't read.
    demand_without_version_is_unchanged => releases_read_each_other();
    /// Callers are told the wait of a queue from the rate at which its engines complete requests, not from
    /// the arrival rate.
    drain_rate_ignores_arrivals => drain_rate_is_completion_rate();
    /// Two instances have requests for the same unloaded model. If it were ordered for each of them, it would
    /// be loaded twice.
    demand_of_instances_is_combined => queues_of_one_model_are_combined();
    /// The request that has waited longest is the closest to its time-out.
    longest_wait_comes_first => longest_waiting_model_is_first();
    /// An instance fails together with its requests. Its demand would load models that no request waits for.
    lost_instance_demand_is_dropped => removed_instance_has_no_demand();
    /// A caller has left, and its demand must disappear with it.
    demand_without_caller_is_dropped => new_demand_replaces_previous();
    /// Two instances use one engine. If only one of them were counted, the model would be unloaded while the
    /// other uses it.
    running_counts_cover_all_instances => running_requests_are_summed();
    /// Demand moves on; rates that didn't decay would keep unused models in memory.
    old_rates_decay => arrival_rates_decay();
}
