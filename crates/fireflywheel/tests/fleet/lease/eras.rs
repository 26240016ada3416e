//! Tests of the lease across eras: the store loses the lease's record together with everything written in
//! the last seconds, and assigns its offsets again.

use fireflywheel::fleet::era::{Era, Position};
use fireflywheel::fleet::lease::{HandOver, Lease, Record};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

use super::rig::{ADDRESS, Log, act, at, held, lease, restarted};
use crate::cases;

const TERM_MS: u64 = 3000;
/// Random histories, and the number of steps of each.
const SEEDS: u64 = 400;
const STEPS: usize = 80;

/// Renews the lease every second.
fn renew(lease: &mut Lease, log: &mut Log, from: u64, until: u64) {
    for now in (from..until).step_by(1000) {
        act(lease, log, now);
    }
}

fn holder_rewrites_record_in_new_era() {
    for fenced in [true, false] {
        let mut log = Log::default();
        let mut first = held("a", fenced, &mut log, 0);
        let copy = log.clone();
        renew(&mut first, &mut log, 1000, 5000);
        log.restore(&copy);
        first.enter_era(at(4500), log.era);
        assert_eq!(
            first.fencing(at(4500)),
            None,
            "no record was written in this era"
        );
        assert!(first.needs_read());
        first.record_reading(at(4510), log.read());
        assert_eq!(first.fencing(at(4510)), None);
        act(&mut first, &mut log, 4520);
        assert_eq!(
            first.fencing(at(4520)),
            Some(0),
            "to engines it is the same holder"
        );
    }
}

/// The holder learns of the era from a renewal whose offset is no longer the end.
fn refused_renewal_reveals_new_era() {
    let mut log = Log::default();
    let mut first = held("a", true, &mut log, 0);
    let copy = log.clone();
    renew(&mut first, &mut log, 1000, 5000);
    log.restore(&copy);
    for now in [5000, 5010, 5020] {
        act(&mut first, &mut log, now);
    }
    assert_eq!(first.fencing(at(5020)), Some(0));
}

fn takeover_in_new_era_has_higher_number() {
    let mut log = Log::default();
    let mut first = held("a", true, &mut log, 0);
    let copy = log.clone();
    first.mark_lost();
    let mut second = lease("b", true);
    second.record_reading(at(10), log.read());
    for now in (0..50_000).step_by(1000) {
        act(&mut second, &mut log, now + 20);
    }
    let hand_over = second.hand_over(at(50_000), first.own_record().clone());
    let last_fencing = hand_over.expect("it holds it").fencing;
    log.restore(&copy);
    let mut third = lease("c", true).with_first_start(false);
    third.record_reading(at(50_100), log.read());
    act(&mut third, &mut log, 50_100 + TERM_MS);
    let fencing = third.fencing(at(50_100 + TERM_MS));
    assert!(
        fencing > Some(last_fencing),
        "{fencing:?} after {last_fencing}"
    );
}

/// Another instance took over while the first was suspended, and the record of that takeover is lost.
fn suspended_holder_waits_a_term() {
    let mut log = Log::default();
    let mut first = held("a", false, &mut log, 0);
    let mut second = lease("b", false);
    second.record_reading(at(0), log.read());
    let copy = log.clone();
    act(&mut second, &mut log, 3000);
    let fencing = second.fencing(at(3000));
    log.restore(&copy);
    first.enter_era(at(3500), log.era);
    first.record_reading(at(3500), log.read());
    assert_eq!(first.proposal(at(3600)), None);
    second.enter_era(at(3600), log.era);
    second.record_reading(at(3600), log.read());
    act(&mut second, &mut log, 3610);
    assert_eq!(second.fencing(at(3610)), fencing);
    assert_eq!(first.fencing(at(3610)), None);
}

/// The copy is from a time at which this instance was the holder.
fn earlier_holder_ignores_its_restored_record() {
    let mut log = Log::default();
    let mut first = held("a", false, &mut log, 0);
    let copy = log.clone();
    let mut second = lease("b", false);
    second.record_reading(at(0), log.read());
    act(&mut second, &mut log, 3000);
    first.record_reading(at(3100), log.read());
    log.restore(&copy);
    first.enter_era(at(3200), log.era);
    act(&mut first, &mut log, 3200);
    act(&mut first, &mut log, 3300);
    assert_eq!(first.fencing(at(3300)), None, "the other instance acts");
}

fn restarted_process_waits_a_term() {
    let mut log = Log::default();
    let _before = held("a", false, &mut log, 0);
    let copy = log.clone();
    log.restore(&copy);
    let mut after = restarted("a", 2, ADDRESS).with_first_start(false);
    after.record_reading(at(100), log.read());
    assert_eq!(
        after.proposal(at(200)),
        None,
        "other instances may have held the lease since the copy"
    );
    act(&mut after, &mut log, 100 + TERM_MS);
    assert!(after.fencing(at(100 + TERM_MS)) > Some(0));
}

/// A renewal is in transit while the store is unreachable; when it arrives, its offset is the end of the
/// log again.
fn renewal_at_reassigned_offset_is_void() {
    let mut log = Log::default();
    let mut first = held("a", false, &mut log, 0);
    let (end, renewal) = first.proposal(at(1500)).expect("a renewal is due");
    let copy = log.clone();
    log.restore(&copy);
    let position = log.write(end, renewal.clone()).expect("the offset fits");
    first.enter_era(at(9000), log.era);
    first.record_accepted(at(1500), position, &renewal);
    assert_eq!(first.fencing(at(1600)), None);
    let mut second = lease("b", false).with_first_start(false);
    second.record_reading(at(9100), log.read());
    let holder = second.holder().map(|holder| holder.instance.as_str());
    assert_eq!(
        holder, None,
        "a record written for an earlier era names no holder"
    );
}

fn fenced_hand_over_of_earlier_era_needs_renewal() {
    let mut log = Log::default();
    let mut first = held("a", true, &mut log, 0);
    let copy = log.clone();
    let mut second = lease("b", true);
    second.record_reading(at(5), log.read());
    let hand_over = first.hand_over(at(10), second.own_record().clone());
    log.restore(&copy);
    second.enter_era(at(20), log.era);
    second.accept_hand_over(at(30), &hand_over.expect("it holds it"));
    assert_eq!(second.fencing(at(30)), None);
    assert!(second.needs_read());
    second.record_reading(at(40), log.read());
    act(&mut second, &mut log, 50);
    assert_eq!(second.fencing(at(50)), Some(1));
}

/// If engines do not check fencing numbers, a later holder may have come and gone before the store was
/// restored.
fn unfenced_hand_over_of_earlier_era_is_void() {
    let mut log = Log::default();
    let mut first = held("a", false, &mut log, 0);
    let mut second = lease("b", false);
    second.record_reading(at(5), log.read());
    let hand_over = first.hand_over(at(10), second.own_record().clone());
    let copy = log.clone();
    log.restore(&copy);
    second.enter_era(at(8000), log.era);
    second.accept_hand_over(at(8010), &hand_over.expect("it holds it"));
    second.record_reading(at(8020), log.read());
    act(&mut second, &mut log, 8030);
    assert_eq!(second.fencing(at(8030)), None);
}

/// The copy is older than the first record, and a process that has just started knows nothing else.
fn lease_lost_with_its_first_record_is_not_free() {
    let mut log = Log::default();
    log.restore(&Log::default());
    let mut first = lease("a", false).with_first_start(false);
    first.record_reading(at(10), log.read());
    assert_eq!(first.proposal(at(20)), None);
    assert!(first.proposal(at(10 + TERM_MS)).is_some());
}

fn reading_of_earlier_era_is_ignored() {
    let mut log = Log::default();
    let stale_reading = log.read();
    let mut first = held("a", false, &mut log, 0);
    let copy = log.clone();
    log.restore(&copy);
    first.enter_era(at(100), log.era);
    act(&mut first, &mut log, 110);
    act(&mut first, &mut log, 120);
    first.record_reading(at(130), stale_reading);
    assert_eq!(first.fencing(at(130)), Some(0));
    first.observe_end(
        at(140),
        Position {
            era: Era(0),
            offset: 77,
        },
    );
    assert_eq!(first.fencing(at(140)), Some(0));
}

/// Instances act, are suspended, are killed, hand over and lose answers, and the store is restored from
/// older copies. At most one instance may consider itself the holder, and fencing numbers never decrease.
fn random_history(seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let names = ["a", "b", "c"];
    let mut log = Log::default();
    let mut leases: Vec<Lease> = names.map(|name| lease(name, false)).into();
    act(&mut leases[0], &mut log, 0);
    act(&mut leases[0], &mut log, 0);
    let mut copies = vec![log.clone()];
    let (mut now, mut highest, mut incarnation) = (0, None, 1);
    let mut in_transit: Vec<(usize, HandOver)> = Vec::new();
    for step in 0..STEPS {
        now += random.random_range(0..=1200);
        let index = random.random_range(0..leases.len());
        match random.random_range(0..14) {
            0 => {
                let index = random.random_range(copies.len().saturating_sub(12)..copies.len());
                let copy = copies[index].clone();
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
                    // The write succeeds, but its answer is lost.
                    log.write(end, record);
                    leases[index].record_unanswered(at(now));
                }
            }
            3 => {
                let to = (index + 1) % leases.len();
                let successor: Record = leases[to].own_record().clone();
                if let Some(handed) = leases[index].hand_over(at(now), successor) {
                    in_transit.push((to, handed));
                }
            }
            4 => {
                // Another instance reports the era.
                leases[index].enter_era(at(now), log.era);
            }
            5 => leases[index].observe_end(at(now), log.end()),
            6 | 7 => {
                leases[index].enter_era(at(now), log.era);
                leases[index].record_reading(at(now), log.read());
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
        let holders: Vec<u64> = leases
            .iter()
            .filter_map(|lease| lease.fencing(at(now)))
            .collect();
        assert!(
            holders.len() <= 1,
            "seed {seed}, step {step}: active holders {holders:?} at {now}"
        );
        if let Some(fencing) = holders.first() {
            let is_ordered = highest.is_none_or(|highest| highest <= *fencing);
            assert!(
                is_ordered,
                "seed {seed}, step {step}: {fencing} after {highest:?}"
            );
            highest = Some(*fencing);
        }
    }
}

cases! {
    /// The steward would wait a term for itself, and unloaded models would stay unloaded that long.
    record_lost_under_holder => holder_rewrites_record_in_new_era();
    /// The same when the steward learns of the era from a refused renewal.
    era_from_refused_renewal => refused_renewal_reveals_new_era();
    /// A new steward's orders would be refused by engines that have seen higher numbers, or obeyed beside
    /// another's.
    numbers_increase_across_eras => takeover_in_new_era_has_higher_number();
    /// A steward that was suspended would continue beside the one that took over.
    holder_suspended => suspended_holder_waits_a_term();
    /// An earlier steward would continue beside the current one.
    restored_record_of_earlier_holder => earlier_holder_ignores_its_restored_record();
    /// A process that was killed would continue with a number below those of later holders.
    killed_and_restarted => restarted_process_waits_a_term();
    /// A late renewal would replace another holder's record, and both would act.
    renewal_from_earlier_era => renewal_at_reassigned_offset_is_void();
    /// A successor would act although another instance may hold the lease.
    hand_over_from_earlier_era => fenced_hand_over_of_earlier_era_needs_renewal();
    /// The same after another instance may have held the lease: the successor's number would be below that
    /// one's.
    unfenced_hand_over_from_earlier_era => unfenced_hand_over_of_earlier_era_is_void();
    /// A process that starts would take a lease that appears never to have been written.
    lost_first_record => lease_lost_with_its_first_record_is_not_free();
    /// A late answer of an earlier era would undo newer information.
    reading_from_earlier_era => reading_of_earlier_era_is_ignored();
    /// A hand-over arrives after the store was restored.
    hand_over_and_restored_store => random_history(130);
    /// The predecessor's process is killed and restarts before its successor has renewed the record.
    hand_over_and_restart => random_history(19_520);
    /// A holder that has not rewritten its record hands over a lease that it may have lost.
    hand_over_before_rewrite => random_history(4244);
    /// A process that continues the lease of its previous process hands it over and takes it again.
    restart_and_hand_over => random_history(39_634);
    /// A holder that could not rewrite its record within its term continues after another holder, whose
    /// record a late write has replaced.
    rewrite_after_term => random_history(36_358);
    /// Random orders of actions, suspensions, kills, hand-overs, lost answers and restored copies.
    any_order => (0..SEEDS).for_each(random_history);
}
