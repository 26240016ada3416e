//! What stays loaded, what goes, and what is loaded first and where.

use std::time::Duration;

use fireflywheel::{clock, placement};

const LOAD: Duration = Duration::from_secs(10);

fn at(seconds: u64) -> clock::Instant {
    clock::Instant(seconds * 1000)
}

/// A rate from arrivals at these seconds.
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
        load: LOAD,
        rate,
        idle_since: Some(at(idle_since)),
    }
}

/// The seconds after its last use at which a replica is unloaded.
fn unloaded_after(weight: f64, arrivals: &[u64]) -> Option<u64> {
    let policy = placement::Policy::new(weight);
    let last = *arrivals.last().expect("it was used");
    let replica = replica(1, rate(arrivals.iter().copied()), last);
    (0..100_000).find(|second| policy.should_unload_idle(at(last + second), &replica))
}

#[test]
fn rate_fades_while_nothing_comes() {
    let rate = rate([0, 10, 20, 30]);
    assert_eq!(rate.mean_gap(at(31)), Some(10.0));
    assert_eq!(rate.mean_gap(at(130)), Some(100.0));
    assert!(rate.per_second(at(130)) < rate.per_second(at(31)));
    assert_eq!(placement::Rate::default().per_second(at(9)), 0.0);
}

#[test]
fn weight_trades_idle_hours_for_cold_starts() {
    let mut last = 0;
    for weight in [0.0, 0.25, 0.5, 0.75, 0.95] {
        let after = unloaded_after(weight, &[5]).expect("unloaded at some time");
        assert!(after > last, "{after} s at weight {weight}");
        last = after;
    }
    assert_eq!(unloaded_after(0.0, &[5]), Some(LOAD.as_secs()));
    assert_eq!(unloaded_after(1.0, &[5]), None);
}

/// An item is asked for once in hours. Kept loaded for the usual time after each use, its memory idles for
/// nothing; with the gaps known, it goes sooner. One in steady use stays.
#[test]
fn known_gaps_change_patience() {
    let unknown = unloaded_after(0.5, &[0]);
    let rare = unloaded_after(0.5, &[0, 7200, 14_400, 21_600, 28_800]);
    let steady = unloaded_after(0.5, &[0, 60, 120, 180, 240]);
    assert!(
        rare < unknown && unknown < steady,
        "{rare:?}, {unknown:?}, {steady:?}"
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
fn least_saved_wait_for_its_memory_goes_first() {
    let policy = placement::Policy::new(0.5);
    let often = replica(1, rate([180, 190, 200]), 200);
    let seldom = replica(2, rate([0, 100, 200]), 200);
    let mut large = replica(3, rate([0, 100, 200]), 200);
    large.memory_mb *= 4;
    let mut slow = replica(4, rate([0, 100, 200]), 200);
    slow.load *= 4;
    assert_eq!(
        policy.eviction_order(at(201), &[often, seldom, large, slow]),
        [3, 2, 4, 1]
    );
}

#[test]
fn room_is_made_where_least_is_lost() {
    let policy = placement::Policy::new(0.5);
    let tenancy = |server, free_mb, replicas| placement::ServerReplicas {
        server,
        free_mb,
        replicas,
    };
    let servers = [
        tenancy(
            "s1",
            0,
            vec![
                replica(1, rate([98, 99, 100]), 100),
                replica(2, rate([98, 99, 100]), 100),
            ],
        ),
        tenancy(
            "s2",
            5_000,
            vec![
                replica(3, rate([0, 50, 100]), 100),
                replica(4, rate([98, 99, 100]), 100),
            ],
        ),
        tenancy("s3", 4_000, vec![replica(5, rate([0, 50, 100]), 100)]),
    ];
    let room = policy
        .plan_eviction(at(101), 15_000, &servers)
        .expect("s2 has it");
    assert_eq!((room.server, room.victims), ("s2", vec![3]));
    assert_eq!(policy.plan_eviction(at(101), 26_000, &servers), None);
}

#[test]
fn nearest_checkpoint_then_least_busy_then_tightest() {
    let policy = placement::Policy::new(0.5);
    let candidate = |key, source, loading, free_mb| placement::Candidate {
        key,
        free_mb,
        holds: false,
        source,
        loading,
        running: 0,
    };
    let disk = candidate(1, placement::Source::Disk, 0, 90_000);
    let busy = candidate(2, placement::Source::Memory, 1, 90_000);
    let wide = candidate(3, placement::Source::Memory, 0, 90_000);
    let tight = candidate(4, placement::Source::Memory, 0, 20_000);
    let full = candidate(5, placement::Source::Memory, 0, 9_999);
    let mut holder = candidate(6, placement::Source::Memory, 0, 20_000);
    holder.holds = true;
    let all = [disk, busy, wide, tight, full, holder];
    assert_eq!(policy.choose_server(10_000, &all), Some(4));
    assert_eq!(policy.choose_server(10_000, &all[..3]), Some(3));
    assert_eq!(policy.choose_server(10_000, &all[..2]), Some(2));
    assert_eq!(policy.choose_server(10_000, &all[4..]), None);
}

/// Many cold items are wanted at once and the store loads a few at a time. In a bad order some callers are
/// late who need not be; what is too late for all of its callers must not make others late as well.
#[test]
fn cold_items_are_loaded_by_deadline_then_callers() {
    let policy = placement::Policy::new(0.5);
    let want = |key, deadline, waiting| placement::ColdItem {
        key,
        deadline: at(deadline),
        waiting,
        load: LOAD,
    };
    let wants = [
        want(1, 60, 1),
        want(2, 30, 1),
        want(3, 30, 9),
        want(4, 5, 50),
        want(5, 90, 99),
    ];
    assert_eq!(policy.load_order(at(0), &wants), [3, 2, 1, 5, 4]);
}
