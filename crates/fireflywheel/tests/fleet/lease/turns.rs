//! Tests that no instance sends orders before and after those of another one within a term.

use std::collections::BTreeMap;

use fireflywheel::clock::Instant;
use fireflywheel::fleet::lease::{HandOver, Lease, Record};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

use super::rig::{ADDRESS, Log, TERM, act, at, held, lease, restarted};
use crate::cases;

/// Random histories, and the number of steps of each.
const SEEDS: u64 = 600;
const STEPS: usize = 120;
/// Maximum time between two steps, in milliseconds.
const MAX_STEP_MS: u64 = 500;

/// The orders of all instances, as an engine gets them.
#[derive(Debug, Default)]
struct Engine {
    last_orders: BTreeMap<String, Instant>,
    newest: Option<(String, u64)>,
    count: usize,
}

impl Engine {
    /// Sends an order if the instance may. Fails if the instance takes turns with another one.
    fn order(&mut self, lease: &mut Lease, now: u64) {
        let Some(fencing) = lease.order_fencing(at(now)) else {
            return;
        };
        lease.record_order(at(now), fencing);
        self.count += 1;
        let name = lease.own_record().instance.to_string();
        let last = self.last_orders.insert(name.clone(), at(now));
        let newest = self.newest.replace((name.clone(), fencing));
        let Some((other, previous)) = newest else {
            return;
        };
        assert!(previous <= fencing, "{fencing} after {previous} at {now}");
        if let Some(last) = last.filter(|_| other != name) {
            let gap = at(now).since(last);
            assert!(
                gap >= TERM,
                "order of {name} at {now}, {gap:?} after its last one, with orders of {other} in between"
            );
        }
    }
}

/// Hands the lease over by a link. Returns whether it was held.
fn hand_over(leases: &mut [Lease], from: usize, to: usize, now: u64) -> bool {
    let successor = leases[to].own_record().clone();
    let Some(handed) = leases[from].hand_over(at(now), successor) else {
        return false;
    };
    leases[to].accept_hand_over(at(now), &handed);
    true
}

/// Lets the holder renew the lease and send orders from one time to another.
fn run(engine: &mut Engine, lease: &mut Lease, log: &mut Log, from: u64, until: u64) {
    for now in (from..until).step_by(20) {
        if lease.proposal(at(now)).is_some() {
            act(lease, log, now);
        }
        engine.order(lease, now);
    }
}

fn fleet(fenced: bool) -> (Vec<Lease>, Log, Engine) {
    let mut log = Log::default();
    let first = held("a", fenced, &mut log, 0);
    let leases = vec![first, lease("b", fenced), lease("c", fenced)];
    (leases, log, Engine::default())
}

/// Another instance holds the lease for a moment and hands it back. Returns when this one sends its next order.
fn next_order_after_hand_back(fenced: bool, is_restarted: bool) -> Option<u64> {
    let (mut leases, mut log, mut engine) = fleet(fenced);
    run(&mut engine, &mut leases[0], &mut log, 0, 1000);
    assert!(hand_over(&mut leases, 0, 1, 1000));
    run(&mut engine, &mut leases[1], &mut log, 1000, 1500);
    if is_restarted {
        leases[0] = restarted("a", 2, ADDRESS)
            .with_fenced(fenced)
            .with_first_start(false);
        leases[0].record_reading(at(1500), log.read());
    }
    assert!(hand_over(&mut leases, 1, 0, 1500));
    let before = engine.count;
    (1500..6000).step_by(20).find(|now| {
        run(&mut engine, &mut leases[0], &mut log, *now, *now + 20);
        engine.count > before
    })
}

fn assert_waits_after_hand_back(fenced: bool, is_restarted: bool) {
    let next = next_order_after_hand_back(fenced, is_restarted).expect("it sends orders again");
    // Its last order was sent at 980 ms.
    assert!((3980..4100).contains(&next), "order at {next}");
}

/// A steward that waits is one in all else, and says so.
fn waiting_steward_is_active() {
    let (mut leases, mut log, mut engine) = fleet(false);
    run(&mut engine, &mut leases[0], &mut log, 0, 1000);
    assert!(hand_over(&mut leases, 0, 1, 1000));
    run(&mut engine, &mut leases[1], &mut log, 1000, 1500);
    assert!(hand_over(&mut leases, 1, 0, 1500));
    act(&mut leases[0], &mut log, 1510);
    assert!(leases[0].fencing(at(1510)).is_some());
    assert_eq!(leases[0].order_fencing(at(1510)), None);
    assert!(!leases[0].order_delay(at(1510)).is_zero());
}

fn successor_that_sent_none_need_not_wait() {
    let (mut leases, mut log, mut engine) = fleet(false);
    run(&mut engine, &mut leases[0], &mut log, 0, 1000);
    assert!(hand_over(&mut leases, 0, 1, 1000));
    act(&mut leases[1], &mut log, 1010);
    assert!(leases[1].order_fencing(at(1010)).is_some());
    let delays = ["a", "c"].map(|name| leases[1].order_delay_of(at(1010), name).is_zero());
    assert_eq!(delays, [false, true]);
}

/// A released lease is free at once if engines check fencing numbers.
fn released_lease_taken_back() {
    let (mut leases, mut log, mut engine) = fleet(true);
    run(&mut engine, &mut leases[0], &mut log, 0, 1000);
    assert!(hand_over(&mut leases, 0, 1, 1000));
    run(&mut engine, &mut leases[1], &mut log, 1000, 1500);
    let (end, record) = leases[1].release().expect("it holds it");
    log.write(end, record).expect("nobody else wrote");
    leases[1].mark_lost();
    leases[0].record_reading(at(1520), log.read());
    run(&mut engine, &mut leases[0], &mut log, 1540, 6000);
    assert_eq!(engine.newest.map(|(name, _)| name).as_deref(), Some("a"));
}

/// The holder is killed. Another one takes over after its term, and hands the lease to the process that was started
/// again under the same name.
fn restarted_holder_gets_the_lease_back() {
    let (mut leases, mut log, mut engine) = fleet(false);
    run(&mut engine, &mut leases[0], &mut log, 0, 3020);
    leases[1].record_reading(at(3020), log.read());
    // The store doesn't answer it any more.
    for now in (3020..5400).step_by(20) {
        engine.order(&mut leases[0], now);
    }
    leases[0] = restarted("a", 2, "10.0.0.9:1").with_first_start(false);
    for now in (5400..6500).step_by(20) {
        act(&mut leases[1], &mut log, now);
        engine.order(&mut leases[1], now);
    }
    let is_taken = engine.newest.as_ref().is_some_and(|(name, _)| name == "b");
    assert!(is_taken);
    assert!(hand_over(&mut leases, 1, 0, 6500));
    run(&mut engine, &mut leases[0], &mut log, 6500, 10_000);
    assert_eq!(engine.newest.map(|(name, _)| name).as_deref(), Some("a"));
}

/// Instances act, are suspended, killed and started again under their names, release the lease, hand it over, lose answers
/// and hand-overs, and the store is restored from older copies.
fn random_history(seed: u64) -> usize {
    let mut random = SmallRng::seed_from_u64(seed);
    let names = ["a", "b", "c", "d"];
    let mut log = Log::default();
    let mut leases: Vec<Lease> = names.map(|name| lease(name, false)).into();
    act(&mut leases[0], &mut log, 0);
    act(&mut leases[0], &mut log, 0);
    let mut copies = vec![log.clone()];
    let (mut now, mut incarnation) = (0, 1);
    let mut engine = Engine::default();
    let mut in_transit: Vec<(usize, HandOver)> = Vec::new();
    for _ in 0..STEPS {
        now += random.random_range(0..=MAX_STEP_MS);
        let index = random.random_range(0..leases.len());
        match random.random_range(0..24) {
            0 => {
                let copy = copies
                    [random.random_range(copies.len().saturating_sub(12)..copies.len())]
                .clone();
                log.restore(&copy);
            }
            1 => {
                incarnation += 1;
                leases[index] =
                    restarted(names[index], incarnation, ADDRESS).with_first_start(false);
                in_transit.retain(|(to, _)| *to != index);
            }
            2 => {
                if let Some((end, record)) = leases[index].proposal(at(now)) {
                    log.write(end, record);
                    leases[index].record_unanswered(at(now));
                }
            }
            3 => {
                if let Some((end, record)) = leases[index].release() {
                    log.write(end, record);
                    leases[index].mark_lost();
                }
            }
            4 => in_transit.clear(),
            5..=9 => {
                let to = (index + random.random_range(1..leases.len())) % leases.len();
                let successor: Record = leases[to].own_record().clone();
                if let Some(handed) = leases[index].hand_over(at(now), successor) {
                    in_transit.push((to, handed));
                }
            }
            10 => {
                leases[index].enter_era(at(now), log.era);
            }
            _ => {
                if let Some(handed) = in_transit.iter().position(|(to, _)| *to == index) {
                    let (_, handed) = in_transit.remove(handed);
                    leases[index].accept_hand_over(at(now), &handed);
                }
                if leases[index].needs_read() {
                    leases[index].enter_era(at(now), log.era);
                    leases[index].record_reading(at(now), log.read());
                }
                act(&mut leases[index], &mut log, now);
            }
        }
        copies.push(log.clone());
        for lease in &mut leases {
            engine.order(lease, now);
        }
    }
    engine.count
}

fn random_histories() {
    let orders: usize = (0..SEEDS).map(random_history).sum();
    assert!(orders > 0, "no history has an order");
}

cases! {
    /// Guards against a steward that is handed the lease back within a term.
    hand_back => assert_waits_after_hand_back(false, false);
    /// Guards against the same where engines check fencing numbers.
    fenced_hand_back => assert_waits_after_hand_back(true, false);
    /// Guards against the same by a process that was started again under the same name.
    hand_back_to_a_restarted_process => assert_waits_after_hand_back(false, true);
    /// Guards against a fleet without a steward while the only possible one waits.
    steward_while_it_waits => waiting_steward_is_active();
    /// Guards against a steward that waits though it has never sent orders, and against one that doesn't know who has.
    new_successor => successor_that_sent_none_need_not_wait();
    /// Guards against a steward that takes back a released lease within a term.
    released_and_taken_back => released_lease_taken_back();
    /// Guards against a holder that was killed and gets the lease back from the one that took over.
    killed_and_handed_back => restarted_holder_gets_the_lease_back();
    /// Guards against turns in any order of hand-overs, restarts, releases, suspensions, lost answers and restored copies.
    turns_in_any_order => random_histories();
}
