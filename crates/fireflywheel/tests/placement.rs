//! Tests of the placement policy: which replicas are unloaded, and which items are loaded first and where.

use std::time::Duration;

use fireflywheel::{clock, placement};

const LOAD_TIME: Duration = Duration::from_secs(10);

fn at(seconds: u64) -> clock::Instant {
    clock::Instant(seconds * 1000)
}

/// Returns a request rate from arrivals at these seconds.
fn rate<I>(arrivals: I) -> placement::Rate
where
    I: IntoIterator<Item = u64>,
{
    let mut rate = placement::Rate::default();
    arrivals
        .into_iter()
        .for_each(|second| rate.record_arrival(at(second)));
    rate
}

fn replica(key: u32, rate: placement::Rate, idle_since: u64) -> placement::Replica<u32> {
    placement::Replica {
        key,
        memory_mb: 10_000,
        load_time: LOAD_TIME,
        rate,
        idle_since: Some(at(idle_since)),
    }
}

/// Returns the number of seconds after its last use at which a replica is unloaded.
fn seconds_until_unload(weight: f64, arrivals: &[u64]) -> Option<u64> {
    let policy = placement::Policy::new(weight);
    let last = *arrivals.last().expect("the replica was used");
    let replica = replica(1, rate(arrivals.iter().copied()), last);
    (0..100_000).find(|second| policy.should_unload_idle(at(last + second), &replica))
}

#[test]
fn rate_decays_without_arrivals() {
    let rate = rate([0, 10, 20, 30]);
    assert_eq!(rate.mean_gap(at(31)), Some(10.0));
    assert_eq!(rate.mean_gap(at(130)), Some(100.0));
    assert!(rate.per_second(at(130)) < rate.per_second(at(31)));
    assert_eq!(placement::Rate::default().per_second(at(9)), 0.0);
}

#[test]
fn higher_cold_start_weight_unloads_later() {
    let mut previous = 0;
    for weight in [0.0, 0.25, 0.5, 0.75, 0.95] {
        let after = seconds_until_unload(weight, &[5]).expect("the replica is unloaded eventually");
        assert!(
            after > previous,
            "unloaded after {after} s at weight {weight}"
        );
        previous = after;
    }
    assert_eq!(seconds_until_unload(0.0, &[5]), Some(LOAD_TIME.as_secs()));
    assert_eq!(seconds_until_unload(1.0, &[5]), None);
}

/// If an item that is requested once every few hours stays loaded for the break-even time after each use, its memory
/// idles for nothing. Once its idle times are known it must be unloaded sooner, and an item in steady use later.
#[test]
fn known_idle_times_change_the_idle_limit() {
    let unknown = seconds_until_unload(0.5, &[0]);
    let rare = seconds_until_unload(0.5, &[0, 7200, 14_400, 21_600, 28_800]);
    let steady = seconds_until_unload(0.5, &[0, 60, 120, 180, 240]);
    assert!(
        rare < unknown && unknown < steady,
        "unloaded after {rare:?} (rare), {unknown:?} (unknown), {steady:?} (steady)"
    );
}

#[test]
fn replica_in_use_is_never_unloaded() {
    let policy = placement::Policy::new(0.0);
    let mut busy = replica(1, rate([0]), 0);
    busy.idle_since = None;
    assert!(!policy.should_unload_idle(at(90_000), &busy));
    assert!(policy.eviction_order(at(90_000), &[busy]).is_empty());
}

#[test]
fn replica_with_the_least_savings_is_evicted_first() {
    let policy = placement::Policy::new(0.5);
    let frequent = replica(1, rate([180, 190, 200]), 200);
    let infrequent = replica(2, rate([0, 100, 200]), 200);
    let mut large = replica(3, rate([0, 100, 200]), 200);
    large.memory_mb *= 4;
    let mut slow = replica(4, rate([0, 100, 200]), 200);
    slow.load_time *= 4;
    assert_eq!(
        policy.eviction_order(at(201), &[frequent, infrequent, large, slow]),
        [3, 2, 4, 1]
    );
}

#[test]
fn eviction_happens_where_the_loss_is_smallest() {
    let policy = placement::Policy::new(0.5);
    let server_replicas = |server, free_mb, replicas| placement::ServerReplicas {
        server,
        free_mb,
        replicas,
    };
    let servers = [
        server_replicas(
            "s1",
            0,
            vec![
                replica(1, rate([98, 99, 100]), 100),
                replica(2, rate([98, 99, 100]), 100),
            ],
        ),
        server_replicas(
            "s2",
            5_000,
            vec![
                replica(3, rate([0, 50, 100]), 100),
                replica(4, rate([98, 99, 100]), 100),
            ],
        ),
        server_replicas("s3", 4_000, vec![replica(5, rate([0, 50, 100]), 100)]),
    ];
    let eviction = policy
        .plan_eviction(at(101), 15_000, &servers)
        .expect("s2 can free enough memory");
    assert_eq!((eviction.server, eviction.victims), ("s2", vec![3]));
    assert_eq!(policy.plan_eviction(at(101), 26_000, &servers), None);
}

#[test]
fn server_choice_prefers_near_checkpoint_then_low_load_then_tight_fit() {
    let policy = placement::Policy::new(0.5);
    let candidate = |key, source, loading, free_mb| placement::Candidate {
        key,
        free_mb,
        has_item: false,
        source,
        loading,
        running: 0,
    };
    let disk = candidate(1, placement::Source::Disk, 0, 90_000);
    let busy = candidate(2, placement::Source::Memory, 1, 90_000);
    let wide = candidate(3, placement::Source::Memory, 0, 90_000);
    let tight = candidate(4, placement::Source::Memory, 0, 20_000);
    let full = candidate(5, placement::Source::Memory, 0, 9_999);
    let mut server_with_item = candidate(6, placement::Source::Memory, 0, 20_000);
    server_with_item.has_item = true;
    let all = [disk, busy, wide, tight, full, server_with_item];
    assert_eq!(policy.choose_server(10_000, &all), Some(4));
    assert_eq!(policy.choose_server(10_000, &all[..3]), Some(3));
    assert_eq!(policy.choose_server(10_000, &all[..2]), Some(2));
    assert_eq!(policy.choose_server(10_000, &all[4..]), None);
}

/// Many cold items are requested at once and the store loads only a few at a time. In a bad order some callers miss
/// their deadline unnecessarily. An item that would be late anyway must not make others late.
#[test]
fn cold_items_are_loaded_by_deadline_then_waiting_callers() {
    let policy = placement::Policy::new(0.5);
    let item = |key, deadline, waiting| placement::ColdItem {
        key,
        deadline: at(deadline),
        waiting,
        load_time: LOAD_TIME,
    };
    let items = [
        item(1, 60, 1),
        item(2, 30, 1),
        item(3, 30, 9),
        item(4, 5, 50),
        item(5, 90, 99),
    ];
    assert_eq!(policy.load_order(at(0), &items), [3, 2, 1, 5, 4]);
}
