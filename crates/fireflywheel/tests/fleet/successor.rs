//! Tests of when a steward hands the lease over, and to which instance.

use std::time::Duration;

use fireflywheel::fleet::successor::{self, Peer, Steward};

use crate::cases;

const DEADLINE: Duration = Duration::from_secs(4);

fn peer(cpu_share: f64, read_ms: u64) -> Peer {
    Peer {
        is_partitioned: false,
        cpu_share,
        leaving: false,
        read_age: Duration::from_millis(read_ms),
        order_delay: Duration::ZERO,
    }
}

fn waiting(cpu_share: f64, order_delay_ms: u64) -> Peer {
    Peer {
        order_delay: Duration::from_millis(order_delay_ms),
        ..peer(cpu_share, 0)
    }
}

fn leaving(cpu_share: f64) -> Peer {
    Peer {
        leaving: true,
        ..peer(cpu_share, 0)
    }
}

fn partitioned(cpu_share: f64) -> Peer {
    Peer {
        is_partitioned: true,
        ..peer(cpu_share, 0)
    }
}

fn own_partitioned() -> Steward {
    Steward {
        is_partitioned: true,
        ..own(0.5, false, 0)
    }
}

fn own(cpu_share: f64, store_fails: bool, read_ms: u64) -> Steward {
    Steward {
        is_partitioned: false,
        cpu_share,
        store_fails,
        read_age: Duration::from_millis(read_ms),
    }
}

fn assert_successor_for_stopping(peers: &[Peer], expected: Option<usize>) {
    assert_eq!(successor::for_stopping(peers), expected);
}

fn assert_successor_for_running(own: Steward, peers: &[Peer], expected: Option<usize>) {
    assert_eq!(successor::for_running(own, peers, DEADLINE), expected);
}

fn assert_needs_standby_reads(own: Steward, peers: &[Peer], expected: bool) {
    assert_eq!(successor::needs_standby_reads(own, peers), expected);
}

cases! {
    /// A planned stop. If the lease went to an instance that is leaving as well, it would move on at once.
    planned_stop => assert_successor_for_stopping(&[peer(0.1, 0), leaving(0.9), peer(0.5, 60_000)], Some(2));
    /// There is no instance left to hand the lease to.
    no_peer_stays => assert_successor_for_stopping(&[leaving(0.5)], None);
    /// The store refuses the steward's calls and answers a standby. Until the steward is answered again no
    /// changes would be announced, and all instances would read the store at once, the last of them later
    /// than the deadline for applying a configuration.
    store_refuses_steward => assert_successor_for_running(own(0.5, true, 2000), &[peer(0.5, 60_000), peer(0.5, 300)], Some(1));
    /// The store refuses a strong steward, and a weak instance has just read it. Strong standbys will read
    /// within a moment; a weak steward would have to hand over again, and all instances would reconnect
    /// twice.
    store_refuses_steward_with_fresh_weak_peer => assert_successor_for_running(own(0.5, true, 1_600), &[peer(0.084, 300), peer(0.5, 9_000)], None);
    /// The store answers no strong instance. Without any steward, all instances would read the store at
    /// once.
    store_answers_weak_peer_only => assert_successor_for_running(own(0.5, true, 3_000), &[peer(0.084, 300), peer(0.5, 9_000)], Some(0));
    /// One call was lost. The next may be answered.
    lost_call => assert_successor_for_running(own(0.5, true, 900), &[peer(0.5, 300)], None);
    /// The store is unreachable for all instances, so no other steward would do better.
    store_unreachable_for_all => assert_successor_for_running(own(0.5, true, 9000), &[peer(0.5, 9000)], None);
    /// A weak instance took the lease while the strong ones were stopped. The work for the whole fleet
    /// occupies its processor, and callers of unloaded models wait for its orders.
    weak_steward => assert_successor_for_running(own(0.12, false, 300), &[peer(0.12, 0), peer(0.5, 600)], Some(1));
    /// The strong instance handed over because the store refuses it, and its reads are old. It would have
    /// to hand over again, and there would be no steward meanwhile.
    weak_steward_with_strong_peer_without_store => assert_successor_for_running(own(0.12, false, 300), &[peer(0.5, 60_000)], None);
    /// The store answers one of two strong instances.
    weak_steward_with_two_strong_peers => assert_successor_for_running(own(0.12, false, 300), &[peer(0.6, 9_000), peer(0.5, 1_500)], Some(1));
    /// A weak steward cannot tell which standbys the store answers unless they read.
    standbys_of_weak_steward_read => assert_needs_standby_reads(own(0.12, false, 300), &[peer(0.5, 60_000)], true);
    /// The same for a steward that the store refuses.
    standbys_of_refused_steward_read => assert_needs_standby_reads(own(0.5, true, 900), &[peer(0.5, 60_000)], true);
    /// A strong steward does not ask for reads, because each costs a call to the store.
    standbys_of_strong_steward_do_not_read => assert_needs_standby_reads(own(0.5, false, 300), &[peer(0.5, 60_000)], false);
    /// A slightly stronger instance is not worth reconnecting all instances.
    slightly_stronger_peer => assert_successor_for_running(own(0.3, false, 300), &[peer(0.5, 0)], None);
    /// A strong instance that is about to stop would hand the lease back.
    leaving_strong_peer => assert_successor_for_running(own(0.12, false, 300), &[leaving(0.5)], None);
    /// Guards against a steward that can't send orders and keeps its role.
    steward_is_partitioned => assert_successor_for_running(own_partitioned(), &[partitioned(0.9), peer(0.1, 60_000)], Some(1));
    /// Guards against a lease that moves between instances none of which can send orders.
    all_are_partitioned => assert_successor_for_running(own_partitioned(), &[partitioned(0.9)], None);
    /// Guards against a successor that can't send orders, where the steward could.
    strong_peer_is_partitioned => assert_successor_for_running(own(0.1, false, 0), &[partitioned(0.9)], None);
    /// Guards against a planned stop that hands the lease to an instance that can't send orders.
    planned_stop_beside_a_partition => assert_successor_for_stopping(&[partitioned(0.9), peer(0.1, 0)], Some(1));
    /// Guards against stewards that take turns: the strongest instance has sent orders less than a term ago.
    planned_stop_beside_a_recent_steward => assert_successor_for_stopping(&[waiting(0.9, 1500), peer(0.1, 0)], Some(1));
    /// Guards against a stop after which nobody is steward, since all others were within a term.
    planned_stop_beside_recent_stewards => assert_successor_for_stopping(&[waiting(0.9, 1500), waiting(0.1, 500), leaving(0.9)], Some(1));
    /// Guards against a successor that can't send orders at all where another one can after a while.
    planned_stop_beside_a_recent_steward_and_a_partition => assert_successor_for_stopping(&[partitioned(0.9), waiting(0.1, 1500)], Some(1));
    /// Guards against stewards that take turns: the store refuses the steward, and the other instance was one a moment ago.
    store_refuses_steward_beside_a_recent_one => assert_successor_for_running(own(0.5, true, 3_000), &[waiting(0.5, 800)], None);
}
