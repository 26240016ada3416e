//! Tests of the lease: two instances must never both consider themselves steward while engines take the
//! orders of either.

mod eras;
mod rig;
mod turns;

use arbtest::arbtest;
use fireflywheel::fleet::lease::{Lease, Record};

use crate::cases;
use rig::{ADDRESS, Log, act, at, held, lease, restarted};

fn first_instance_takes_lease_at_once() {
    let mut log = Log::default();
    let lease = held("a", false, &mut log, 10);
    assert_eq!(lease.fencing(at(10)), Some(0));
}

fn holder_renews_with_its_first_number() {
    let mut log = Log::default();
    let mut lease = held("a", false, &mut log, 0);
    for now in (1000..20_000).step_by(1000) {
        act(&mut lease, &mut log, now);
        assert_eq!(lease.fencing(at(now)), Some(0));
    }
}

fn holder_that_cannot_renew_stops_before_others_may_start() {
    let mut log = Log::default();
    let mut first = held("a", false, &mut log, 0);
    let mut second = lease("b", false);
    second.record_reading(at(0), log.read());
    first.record_unanswered(at(1000));
    let stopped_at = (0..10_000).find(|now| first.fencing(at(*now)).is_none());
    let started_at = (0..10_000).find(|now| second.proposal(at(*now)).is_some());
    assert!(
        stopped_at < started_at,
        "holder stops at {stopped_at:?}, other instance starts at {started_at:?}"
    );
}

fn fenced_holder_continues_while_store_is_unreachable() {
    let mut log = Log::default();
    let mut lease = held("a", true, &mut log, 0);
    for now in (1000..30_000).step_by(1000) {
        lease.record_unanswered(at(now));
        assert_eq!(lease.fencing(at(now + 500)), Some(0), "at {now}");
    }
}

fn resumed_holder_renews_before_it_acts() {
    let mut log = Log::default();
    let mut lease = held("a", true, &mut log, 0);
    lease.record_unanswered(at(1000));
    assert_eq!(lease.fencing(at(8000)), None);
}

fn fenced_holder_stops_after_refused_renewal() {
    let mut log = Log::default();
    let mut first = held("a", true, &mut log, 0);
    let mut second = lease("b", true);
    second.record_reading(at(0), log.read());
    act(&mut second, &mut log, 3000);
    assert!(second.fencing(at(3000)) > Some(0));
    first.record_unanswered(at(2900));
    act(&mut first, &mut log, 3500);
    assert_eq!(first.fencing(at(3500)), None);
}

fn released_lease_is_free_at_once_if_fenced() {
    for fenced in [true, false] {
        let mut log = Log::default();
        let first = held("a", fenced, &mut log, 0);
        let (end, record) = first.release().expect("it holds it");
        log.write(end, record).expect("nobody else wrote");
        let mut second = lease("b", fenced);
        second.record_reading(at(100), log.read());
        assert_eq!(second.proposal(at(100)).is_some(), fenced);
        assert_eq!(second.holder(), None);
    }
}

fn takeover_with_lost_answer_is_recognised() {
    let mut log = Log::default();
    let mut lease = lease("a", false);
    lease.record_reading(at(0), log.read());
    let (end, record) = lease.proposal(at(0)).expect("the lease is free");
    log.write(end, record);
    lease.record_unanswered(at(0));
    lease.record_reading(at(500), log.read());
    assert_eq!(
        lease.fencing(at(500)),
        None,
        "only a renewal gives time to act"
    );
    act(&mut lease, &mut log, 600);
    assert_eq!(lease.fencing(at(600)), Some(0));
}

fn restarted_instance_keeps_its_number() {
    let mut log = Log::default();
    let mut other = held("b", false, &mut log, 0);
    other.mark_lost();
    let mut before = lease("a", false);
    before.record_reading(at(0), log.read());
    act(&mut before, &mut log, 3000);
    let fencing = before.fencing(at(3000));
    drop(before);
    let mut after = restarted("a", 2, ADDRESS);
    after.record_reading(at(3100), log.read());
    assert_eq!(
        after.fencing(at(3100)),
        None,
        "another instance may have taken the lease"
    );
    act(&mut after, &mut log, 3100);
    assert_eq!(after.fencing(at(3100)), fencing);
}

fn restarted_instance_yields_to_new_holder() {
    let mut log = Log::default();
    let _before = held("a", false, &mut log, 0);
    let stale_reading = log.read();
    let mut other = lease("b", false);
    other.record_reading(at(0), log.read());
    act(&mut other, &mut log, 3000);
    let mut after = restarted("a", 2, ADDRESS);
    after.record_reading(at(3100), stale_reading);
    act(&mut after, &mut log, 3100);
    assert_eq!(after.fencing(at(3100)), None);
}

fn standbys_take_over_first() {
    let mut log = Log::default();
    let _dead = held("a", false, &mut log, 0);
    let [mut standby, mut other] = ["b", "c"].map(|name| lease(name, false));
    let standbys = [standby.own_record().clone()];
    for lease in [&mut standby, &mut other] {
        lease.record_reading(at(0), log.read());
        lease.set_standbys(&standbys);
    }
    let first_proposal = |lease: &Lease| (0..20_000).find(|now| lease.proposal(at(*now)).is_some());
    assert_eq!(first_proposal(&standby), Some(3000));
    assert_eq!(first_proposal(&other), Some(4500));
    assert!(!standby.defers_to_standbys(at(100)));
    assert!(other.defers_to_standbys(at(4499)));
    assert!(!other.defers_to_standbys(at(4500)));
}

fn redirect_does_not_restart_term() {
    let mut log = Log::default();
    let dead = held("a", false, &mut log, 0);
    let mut second = lease("b", false);
    second.record_reading(at(0), log.read());
    for now in (0..3000).step_by(100) {
        second.redirect(at(now), dead.own_record().clone());
        assert_eq!(second.proposal(at(now)), None);
    }
    assert!(second.proposal(at(3000)).is_some());
}

fn instance_at_another_address_waits_a_term() {
    let mut log = Log::default();
    let _before = held("a", false, &mut log, 0);
    let mut after = restarted("a", 2, "10.0.0.9:1");
    after.record_reading(at(100), log.read());
    assert_eq!(after.proposal(at(2000)), None);
    assert!(after.proposal(at(3100)).is_some());
}

fn reported_end_starts_the_term() {
    let mut log = Log::default();
    let mut first = held("a", false, &mut log, 0);
    let mut second = lease("b", false);
    second.record_reading(at(0), log.read());
    act(&mut first, &mut log, 1000);
    second.observe_end(at(1010), log.end());
    second.observe_end(at(1900), log.end());
    second.record_reading(at(2500), log.read());
    assert_eq!(second.proposal(at(4000)), None);
    assert!(second.proposal(at(4010)).is_some());
}

/// Several instances act, are suspended, lose answers and are killed in any order. At most one of them may
/// consider itself the holder, and fencing numbers never decrease.
fn any_order_leaves_one_holder() {
    arbtest(|u| {
        let mut log = Log::default();
        let names = ["a", "b", "c"];
        let mut leases: Vec<Lease> = names.map(|name| lease(name, false)).into();
        let (mut now, mut highest, mut incarnation) = (0, None, 1);
        for _ in 0..60 {
            now += u.int_in_range(0..=1500)?;
            let index = u.choose_index(leases.len())?;
            let lease = &mut leases[index];
            match u.int_in_range(0..=7)? {
                6 => {
                    let other = restarted(names[u.choose_index(3)?], 1, ADDRESS);
                    lease.redirect(at(now), other.own_record().clone());
                }
                7 => {
                    let is_standby = u.arbitrary()?;
                    let standbys: Vec<Record> = Some(lease.own_record().clone())
                        .filter(|_| is_standby)
                        .into_iter()
                        .collect();
                    lease.set_standbys(&standbys);
                }
                5 => {
                    incarnation += 1;
                    *lease = restarted(names[index], incarnation, ADDRESS);
                }
                0 => lease.record_reading(at(now), log.read()),
                1 => {
                    if let Some((end, record)) = lease.proposal(at(now)) {
                        // The write succeeds, but its answer is lost.
                        log.write(end, record);
                        lease.record_unanswered(at(now));
                        lease.record_reading(at(now), log.read());
                    }
                }
                2 => lease.observe_end(at(now), log.end()),
                _ => act(lease, &mut log, now),
            }
            let active: Vec<u64> = leases
                .iter()
                .filter_map(|lease| lease.fencing(at(now)))
                .collect();
            assert!(active.len() <= 1, "{active:?} at {now}");
            if let Some(fencing) = active.first() {
                assert!(highest.is_none_or(|highest| highest <= *fencing));
                highest = Some(*fencing);
            }
        }
        Ok(())
    });
}

/// The store refuses the holder, which continues past its term, and another instance takes over.
fn overtaken_holder_stops() {
    let mut log = Log::default();
    let mut first = held("a", true, &mut log, 0);
    let mut second = lease("b", true);
    second.record_reading(at(0), log.read());
    let earlier_end = log.end();
    act(&mut second, &mut log, 3000);
    first.record_unanswered(at(3000));
    assert!(first.fencing(at(3100)).is_some());
    assert!(!first.observe_overtaking(at(3100), earlier_end, second.own_record().clone()));
    assert!(first.observe_overtaking(at(3200), log.end(), second.own_record().clone()));
    assert_eq!(first.fencing(at(3200)), None);
    let holder = first.holder().map(|holder| holder.instance.as_str());
    assert_eq!(holder, Some("b"));
}

fn successor() -> Record {
    lease("b", true).own_record().clone()
}

/// The store refuses the successor, so the record names the first holder for a long time.
fn own_record_after_hand_over_is_not_held() {
    let mut log = Log::default();
    let mut first = held("a", true, &mut log, 0);
    let hand_over = first.hand_over(at(100), successor()).expect("it holds it");
    for now in [150, 1000, 2000] {
        first.record_reading(at(now), log.read());
        assert_eq!(first.fencing(at(now)), None);
        assert_eq!(
            first.proposal(at(now)),
            None,
            "it would renew the lease that it handed over"
        );
        let holder = first.holder().map(|holder| holder.instance.as_str());
        assert_eq!(holder, Some("b"));
    }
    first.record_reading(at(3000), log.read());
    act(&mut first, &mut log, 3200);
    let fencing = first.fencing(at(3200));
    assert!(
        fencing > Some(hand_over.fencing),
        "{fencing:?} after {hand_over:?}"
    );
}

/// A renewal is in transit while the lease is handed over, and takes effect after the hand-over.
fn late_renewal_does_not_undo_hand_over() {
    let mut log = Log::default();
    let mut first = held("a", true, &mut log, 0);
    let (end, renewal) = first.proposal(at(1500)).expect("a renewal is due");
    let mut second = lease("b", true);
    second.accept_hand_over(
        at(1510),
        &first.hand_over(at(1505), successor()).expect("it holds it"),
    );
    let offset = log.write(end, renewal.clone()).expect("nobody else wrote");
    first.record_accepted(at(1500), offset, &renewal);
    assert_eq!(first.fencing(at(1520)), None, "it handed the lease over");
    // The late renewal has moved the end that came with the hand-over.
    act(&mut second, &mut log, 1530);
    assert_eq!(second.fencing(at(1530)), Some(1));
    second.record_reading(at(1540), log.read());
    act(&mut second, &mut log, 1550);
    assert_eq!(second.fencing(at(3500)), Some(1));
}

/// All processes were killed. The steward's process restarts first, takes the lease again, and has no
/// standbys yet.
fn instance_without_standbys_does_not_wait() {
    let mut log = Log::default();
    let first = held("a", true, &mut log, 0);
    let mut second = lease("b", true);
    second.record_reading(at(10), log.read());
    second.set_standbys(&[]);
    assert!(!second.defers_to_standbys(at(20)));
    second.set_standbys(&[first.own_record().clone()]);
    assert!(second.defers_to_standbys(at(30)));
}

/// The successor hands the lease back, under a new number.
fn lease_is_handed_back() {
    let mut log = Log::default();
    let mut first = held("a", true, &mut log, 0);
    let mut second = lease("b", true);
    second.accept_hand_over(
        at(10),
        &first.hand_over(at(10), successor()).expect("it holds it"),
    );
    let back = second
        .hand_over(at(20), first.own_record().clone())
        .expect("it holds it");
    first.accept_hand_over(at(20), &back);
    act(&mut first, &mut log, 30);
    assert_eq!(first.fencing(at(1000)), Some(2));
    first.record_reading(at(1100), log.read());
    assert_eq!(first.fencing(at(1100)), Some(2));
}

fn successor_has_a_higher_number() {
    let mut log = Log::default();
    let mut first = held("a", true, &mut log, 0);
    let hand_over = first.hand_over(at(1), successor()).expect("it holds it");
    assert_eq!(first.fencing(at(1)), None);
    assert_eq!(first.proposal(at(1)), None);
    let mut second = lease("b", true);
    second.accept_hand_over(at(10), &hand_over);
    assert_eq!(second.fencing(at(10)), Some(1));
    act(&mut second, &mut log, 20);
    assert_eq!(second.fencing(at(2000)), Some(1));
    let mut third = lease("c", true);
    third.record_reading(at(2500), log.read());
    act(&mut third, &mut log, 6000);
    assert!(
        third.fencing(at(6000)) > Some(1),
        "the number of a takeover is above those of all earlier hand-overs"
    );
}

fn unfenced_successor_renews_first() {
    let mut log = Log::default();
    let hand_over = held("a", false, &mut log, 0)
        .hand_over(at(0), successor())
        .expect("it holds it");
    let mut second = lease("b", false);
    second.accept_hand_over(at(10), &hand_over);
    assert_eq!(second.fencing(at(10)), None);
    act(&mut second, &mut log, 20);
    assert_eq!(second.fencing(at(20)), Some(1));
}

fn late_successor_yields_to_new_holder() {
    let mut log = Log::default();
    let hand_over = held("a", false, &mut log, 0)
        .hand_over(at(0), successor())
        .expect("it holds it");
    let mut other = lease("c", false);
    other.record_reading(at(0), log.read());
    act(&mut other, &mut log, 3000);
    let mut second = lease("b", false);
    second.accept_hand_over(at(3500), &hand_over);
    act(&mut second, &mut log, 3500);
    assert_eq!(second.fencing(at(3500)), None);
}

fn reading_does_not_undo_hand_over() {
    let mut log = Log::default();
    let mut first = held("a", true, &mut log, 0);
    let mut second = lease("b", true);
    second.accept_hand_over(
        at(10),
        &first.hand_over(at(10), successor()).expect("it holds it"),
    );
    second.record_reading(at(12), log.read());
    assert!(
        second.fencing(at(12)).is_some(),
        "the record is still its predecessor's"
    );
    let mut third = lease("c", true);
    third.record_reading(at(0), log.read());
    third.holder_moved(at(11), second.own_record().clone());
    third.record_reading(at(13), log.read());
    assert_eq!(
        third.holder().map(|holder| holder.instance.as_str()),
        Some("b")
    );
    act(&mut second, &mut log, 20);
    assert!(second.fencing(at(2000)).is_some());
    third.record_reading(at(30), log.read());
    assert_eq!(
        third.holder().map(|holder| holder.instance.as_str()),
        Some("b")
    );
}

fn reading_does_not_undo_holder_end() {
    let mut log = Log::default();
    let _dead = held("a", true, &mut log, 0);
    let mut second = lease("b", true);
    second.record_reading(at(100), log.read());
    second.holder_ended(1);
    second.record_reading(at(150), log.read());
    assert!(second.proposal(at(150)).is_some());
    assert_eq!(second.holder(), None);
}

fn lease_of_ended_process_is_free_if_fenced() {
    for fenced in [true, false] {
        let mut log = Log::default();
        let _dead = held("a", fenced, &mut log, 0);
        let mut second = lease("b", fenced);
        second.record_reading(at(100), log.read());
        second.holder_ended(7);
        assert_eq!(
            second.proposal(at(100)),
            None,
            "another incarnation is meant"
        );
        second.holder_ended(1);
        assert_eq!(second.proposal(at(100)).is_some(), fenced);
    }
}

cases! {
    /// A steward hands over, and its successor and the others read the record before the successor has
    /// renewed it. If they took the old holder for the current one, there would be no steward for a whole
    /// term.
    reading_after_hand_over => reading_does_not_undo_hand_over();
    /// The store refuses the successor, and the previous holder reads its own name in the record. If it
    /// acted on that, both would send orders.
    own_record_after_hand_over => own_record_after_hand_over_is_not_held();
    /// The store is slow, and the holder hands over while a renewal is in transit. Both would act, and then
    /// neither until the term is over.
    renewal_in_transit => late_renewal_does_not_undo_hand_over();
    /// Without standbys, all instances would wait one and a half terms for nobody.
    no_standbys => instance_without_standbys_does_not_wait();
    /// An instance that handed the lease over gets it back.
    handed_back => lease_is_handed_back();
    /// A reading of the record must not undo the report that its holder's process has ended.
    reading_after_holder_end => reading_does_not_undo_holder_end();
    /// All processes were killed and restarted, and the lease names one of the ended processes. If the new
    /// ones waited a term, unloaded models would stay unloaded that long after each such stop.
    ended_process => lease_of_ended_process_is_free_if_fenced();
    /// A planned stop hands the lease over while the store is unreachable.
    hand_over => successor_has_a_higher_number();
    /// If engines do not check fencing numbers, the successor must renew first: the holder's term may be
    /// nearly over.
    hand_over_unfenced => unfenced_successor_renews_first();
    /// The hand-over is delayed in transit for longer than a term.
    late_hand_over => late_successor_yields_to_new_holder();
    /// There has never been a steward. If the first instance waited a term, no model could be loaded for
    /// that long.
    first_takeover => first_instance_takes_lease_at_once();
    /// If the holder changed its fencing number with each renewal, engines would refuse its orders in
    /// transit.
    renewals_keep_the_number => holder_renews_with_its_first_number();
    /// The holder cannot reach the store, and another instance sees its lease lapse. If the holder
    /// continued for longer, both would send orders to engines that do not check fencing numbers.
    store_unreachable_for_holder => holder_that_cannot_renew_stops_before_others_may_start();
    /// The store is unreachable for every instance. If the holder stopped, models that are not in memory
    /// would stay unloaded for the whole outage.
    store_unreachable_for_all => fenced_holder_continues_while_store_is_unreachable();
    /// A process is suspended for seconds and resumes. Others may have taken over meanwhile; if it
    /// continued at once, it would undo their work.
    holder_suspended => resumed_holder_renews_before_it_acts();
    /// The holder's renewal is refused because another instance wrote. If the holder continued, it would
    /// send orders under an old number.
    replaced_holder => fenced_holder_stops_after_refused_renewal();
    /// A planned stop releases the lease. If others waited a term, each restart would leave models unloaded
    /// that long; if they did not wait where engines take any order, two instances would send orders at
    /// once.
    planned_stop => released_lease_is_free_at_once_if_fenced();
    /// A takeover succeeds, but its answer is lost. If the instance did not recognise its own record, it
    /// would wait a term for itself.
    lost_answer => takeover_with_lost_answer_is_recognised();
    /// A killed process restarts under its old name, and orders of the previous process may still be in
    /// transit to engines that take any number. With a new number it would have to wait until they cannot
    /// arrive any more.
    killed_and_restarted => restarted_instance_keeps_its_number();
    /// A killed process restarts, but another instance has taken the lease since the process read the
    /// record.
    killed_and_replaced => restarted_instance_yields_to_new_holder();
    /// The steward of a large fleet dies. If all instances tried to take its lease, the store would get
    /// hundreds of calls at once, and an instance too weak for that many links might win.
    standbys_first => standbys_take_over_first();
    /// Instances that have not noticed the steward's death still name it. If that restarted the term,
    /// unloaded models would wait for longer.
    stale_gossip => redirect_does_not_restart_term();
    /// A machine was replaced by one of the same name at another address: nothing shows that the previous
    /// process has ended.
    same_name_elsewhere => instance_at_another_address_waits_a_term();
    /// A link to the steward ends. If the term were counted only from then on, models would stay unloaded
    /// for a second more.
    term_from_reported_end => reported_end_starts_the_term();
    /// A steward that the store refuses would consider itself steward for a long time and serve an old
    /// configuration.
    overtaken => overtaken_holder_stops();
    /// Random orders of actions, suspensions and lost answers.
    any_order => any_order_leaves_one_holder();
}
