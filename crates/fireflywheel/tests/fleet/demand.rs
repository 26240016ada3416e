//! What instances ask for is joined, and what is forgotten with them.

use fireflywheel::clock::Instant;
use fireflywheel::fleet::demand::{Board, Count, Demand, Lane, Running};
use smol_str::SmolStr;

use crate::cases;

fn lane(model: &str, waiting: u32, waited_ms: u32, left_ms: u32) -> Lane {
    Lane {
        group: "g".into(),
        model: model.into(),
        adapter: None,
        waiting,
        waited_ms,
        left_ms,
    }
}

fn wants(lanes: Vec<Lane>) -> Demand {
    Demand {
        lanes,
        ..Demand::default()
    }
}

fn same_want_is_joined() {
    let mut board = Board::default();
    board.take(
        Instant(1000),
        "a".into(),
        wants(vec![lane("m", 2, 100, 5000)]),
    );
    board.take(
        Instant(1100),
        "b".into(),
        wants(vec![lane("m", 1, 300, 900)]),
    );
    let joined = board.wants("g");
    assert_eq!(joined.len(), 1);
    assert_eq!(joined[0].waiting, 3);
    assert_eq!(joined[0].since, Instant(800));
    assert_eq!(joined[0].until, Instant(6000));
}

fn longest_waiting_comes_first() {
    let mut board = Board::default();
    board.take(
        Instant(1000),
        "a".into(),
        wants(vec![lane("m", 1, 100, 1), lane("n", 1, 700, 1)]),
    );
    let models: Vec<_> = board
        .wants("g")
        .into_iter()
        .map(|want| want.model)
        .collect();
    assert_eq!(models, ["n", "m"]);
}

fn lost_instance_wants_nothing() {
    let mut board = Board::default();
    board.take(
        Instant(1000),
        "a".into(),
        wants(vec![lane("m", 1, 0, 1000)]),
    );
    board.forget("a");
    assert!(board.wants("g").is_empty());
}

fn newer_demand_replaces_the_older() {
    let mut board = Board::default();
    board.take(
        Instant(1000),
        "a".into(),
        wants(vec![lane("m", 1, 0, 1000)]),
    );
    board.take(Instant(1001), "a".into(), Demand::default());
    assert!(board.wants("g").is_empty());
}

fn running_is_summed() {
    let mut board = Board::default();
    for instance in ["a", "b"] {
        let running = Running {
            server: "s".into(),
            model: "m".into(),
            adapter: None,
            count: 2,
            unread: 300,
        };
        let demand = Demand {
            running: vec![running],
            ..Demand::default()
        };
        board.take(Instant(1000), instance.into(), demand);
    }
    let at = |board: &Board, server: &str| {
        let counts = board.running().get(&SmolStr::new(server)).cloned();
        counts.unwrap_or_default().values().sum::<u32>()
    };
    assert_eq!(at(&board, "s"), 4);
    let loads: Vec<(u32, u32)> = board
        .loads()
        .into_values()
        .map(|load| (load.unread, load.requests))
        .collect();
    assert_eq!(loads, [(600, 4)]);
    assert_eq!(at(&board, "t"), 0);
}

fn rates_fade() {
    let mut board = Board::default();
    let arrived = Count {
        group: "g".into(),
        model: "m".into(),
        count: 100,
    };
    let demand = Demand {
        arrived: vec![arrived],
        ..Demand::default()
    };
    board.take(Instant(1000), "a".into(), demand);
    let fresh = board.rate(Instant(1000), "g", "m");
    let later = board.rate(Instant(11_000), "g", "m");
    assert!((later / fresh - 0.5).abs() < 0.01, "{fresh} {later}");
    assert!(board.rate(Instant(1000), "g", "n").abs() < f64::EPSILON);
}

fn queue_drains_as_fast_as_requests_end() {
    let mut board = Board::default();
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
        board.take(Instant(second * 1000), "a".into(), demand);
    }
    // In the middle between two words, as the rate falls from one to the next.
    let drain = board.drains(Instant(20_500), "g")["m"];
    assert!((25.0..35.0).contains(&drain), "{drain}");
    assert!(board.rate(Instant(20_500), "g", "m").abs() < f64::EPSILON);
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
