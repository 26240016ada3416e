//! Who is steward: two must never both believe it while engines take the orders of either.

mod eras;
mod rig;

use arbtest::arbtest;
use fireflywheel::fleet::lease::{Lease, Record};

use crate::cases;
use rig::{ADDRESS, Log, act, at, held, lease, restarted};

fn first_instance_takes_it_at_once() {
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
    second.observe(at(0), log.read());
    first.unanswered(at(1000));
    let stops = (0..10_000).find(|now| first.fencing(at(*now)).is_none());
    let starts = (0..10_000).find(|now| second.proposal(at(*now)).is_some());
    assert!(stops < starts, "{stops:?} {starts:?}");
}

fn fenced_holder_goes_on_while_the_store_is_away() {
    let mut log = Log::default();
    let mut lease = held("a", true, &mut log, 0);
    for now in (1000..30_000).step_by(1000) {
        lease.unanswered(at(now));
        assert_eq!(lease.fencing(at(now + 500)), Some(0), "at {now}");
    }
}

fn thawed_holder_tries_before_it_goes_on() {
    let mut log = Log::default();
    let mut lease = held("a", true, &mut log, 0);
    lease.unanswered(at(1000));
    assert_eq!(lease.fencing(at(8000)), None);
}

fn fenced_holder_stops_when_another_wrote() {
    let mut log = Log::default();
    let mut first = held("a", true, &mut log, 0);
    let mut second = lease("b", true);
    second.observe(at(0), log.read());
    act(&mut second, &mut log, 3000);
    assert!(second.fencing(at(3000)) > Some(0));
    first.unanswered(at(2900));
    act(&mut first, &mut log, 3500);
    assert_eq!(first.fencing(at(3500)), None);
}

fn released_lease_is_free_at_once_where_engines_check() {
    for fenced in [true, false] {
        let mut log = Log::default();
        let first = held("a", fenced, &mut log, 0);
        let (end, record) = first.release().expect("it holds it");
        log.write(end, record).expect("nobody else wrote");
        let mut second = lease("b", fenced);
        second.observe(at(100), log.read());
        assert_eq!(second.proposal(at(100)).is_some(), fenced);
        assert_eq!(second.holder(), None);
    }
}

fn lost_answer_of_a_take_over_is_recognised() {
    let mut log = Log::default();
    let mut lease = lease("a", false);
    lease.observe(at(0), log.read());
    let (end, record) = lease.proposal(at(0)).expect("it is free");
    log.write(end, record);
    lease.unanswered(at(0));
    lease.observe(at(500), log.read());
    assert_eq!(
        lease.fencing(at(500)),
        None,
        "only a renewal gives time to act"
    );
    act(&mut lease, &mut log, 600);
    assert_eq!(lease.fencing(at(600)), Some(0));
}

fn restarted_instance_goes_on_with_its_old_number() {
    let mut log = Log::default();
    let mut other = held("b", false, &mut log, 0);
    other.lost();
    let mut before = lease("a", false);
    before.observe(at(0), log.read());
    act(&mut before, &mut log, 3000);
    let number = before.fencing(at(3000));
    drop(before);
    let mut after = restarted("a", 2, ADDRESS);
    after.observe(at(3100), log.read());
    assert_eq!(after.fencing(at(3100)), None, "another may have taken it");
    act(&mut after, &mut log, 3100);
    assert_eq!(after.fencing(at(3100)), number);
}

fn restarted_instance_finds_another_holder() {
    let mut log = Log::default();
    let _before = held("a", false, &mut log, 0);
    let read = log.read();
    let mut other = lease("b", false);
    other.observe(at(0), log.read());
    act(&mut other, &mut log, 3000);
    let mut after = restarted("a", 2, ADDRESS);
    after.observe(at(3100), read);
    act(&mut after, &mut log, 3100);
    assert_eq!(after.fencing(at(3100)), None);
}

fn standbys_go_first() {
    let mut log = Log::default();
    let _dead = held("a", false, &mut log, 0);
    let [mut standby, mut other] = ["b", "c"].map(|name| lease(name, false));
    let named = [standby.own_record().clone()];
    for lease in [&mut standby, &mut other] {
        lease.observe(at(0), log.read());
        lease.set_standbys(&named);
    }
    let tries = |lease: &Lease| (0..20_000).find(|now| lease.proposal(at(*now)).is_some());
    assert_eq!(tries(&standby), Some(3000));
    assert_eq!(tries(&other), Some(4500));
    assert!(!standby.defers_to_standbys(at(100)));
    assert!(other.defers_to_standbys(at(4499)));
    assert!(!other.defers_to_standbys(at(4500)));
}

fn gossip_leaves_the_term_as_it_is() {
    let mut log = Log::default();
    let dead = held("a", false, &mut log, 0);
    let mut second = lease("b", false);
    second.observe(at(0), log.read());
    for now in (0..3000).step_by(100) {
        second.redirect(at(now), dead.own_record().clone());
        assert_eq!(second.proposal(at(now)), None);
    }
    assert!(second.proposal(at(3000)).is_some());
}

fn instance_at_another_address_waits() {
    let mut log = Log::default();
    let _before = held("a", false, &mut log, 0);
    let mut after = restarted("a", 2, "10.0.0.9:1");
    after.observe(at(100), log.read());
    assert_eq!(after.proposal(at(2000)), None);
    assert!(after.proposal(at(3100)).is_some());
}

fn steward_s_word_of_the_record_s_end_starts_the_term() {
    let mut log = Log::default();
    let mut first = held("a", false, &mut log, 0);
    let mut second = lease("b", false);
    second.observe(at(0), log.read());
    act(&mut first, &mut log, 1000);
    second.observe_end(at(1010), log.end());
    second.observe_end(at(1900), log.end());
    second.observe(at(2500), log.read());
    assert_eq!(second.proposal(at(4000)), None);
    assert!(second.proposal(at(4010)).is_some());
}

/// Several instances act, stand still, lose answers and are killed in any order. At most one of them may believe
/// that it holds the lease, and numbers never fall.
fn any_order_leaves_one_holder() {
    arbtest(|u| {
        let mut log = Log::default();
        let names = ["a", "b", "c"];
        let mut leases: Vec<Lease> = names.map(|name| lease(name, false)).into();
        let (mut now, mut highest, mut incarnation) = (0, None, 1);
        for _ in 0..60 {
            now += u.int_in_range(0..=1500)?;
            let place = u.choose_index(leases.len())?;
            let lease = &mut leases[place];
            match u.int_in_range(0..=7)? {
                6 => {
                    let other = restarted(names[u.choose_index(3)?], 1, ADDRESS);
                    lease.redirect(at(now), other.own_record().clone());
                }
                7 => {
                    let named = u.arbitrary()?;
                    let standbys: Vec<Record> = Some(lease.own_record().clone())
                        .filter(|_| named)
                        .into_iter()
                        .collect();
                    lease.set_standbys(&standbys);
                }
                5 => {
                    incarnation += 1;
                    *lease = restarted(names[place], incarnation, ADDRESS);
                }
                0 => lease.observe(at(now), log.read()),
                1 => {
                    if let Some((end, record)) = lease.proposal(at(now)) {
                        // Done, but the answer is lost.
                        log.write(end, record);
                        lease.unanswered(at(now));
                        lease.observe(at(now), log.read());
                    }
                }
                2 => lease.observe_end(at(now), log.end()),
                _ => act(lease, &mut log, now),
            }
            let holders: Vec<u64> = leases
                .iter()
                .filter_map(|lease| lease.fencing(at(now)))
                .collect();
            assert!(holders.len() <= 1, "{holders:?} at {now}");
            if let Some(number) = holders.first() {
                assert!(highest.is_none_or(|highest| highest <= *number));
                highest = Some(*number);
            }
        }
        Ok(())
    });
}

/// The store turns the holder away, which goes on past its term, and another takes over.
fn holder_that_hears_of_a_later_one() {
    let mut log = Log::default();
    let mut first = held("a", true, &mut log, 0);
    let mut second = lease("b", true);
    second.observe(at(0), log.read());
    let before = log.end();
    act(&mut second, &mut log, 3000);
    first.unanswered(at(3000));
    assert!(first.fencing(at(3100)).is_some());
    assert!(!first.overtaken(at(3100), before, second.own_record().clone()));
    assert!(first.overtaken(at(3200), log.end(), second.own_record().clone()));
    assert_eq!(first.fencing(at(3200)), None);
    let holder = first.holder().map(|holder| holder.instance.as_str());
    assert_eq!(holder, Some("b"));
}

fn successor() -> Record {
    lease("b", true).own_record().clone()
}

/// The store turns the successor away, so the record names the first one for long.
fn first_holder_reads_its_own_record() {
    let mut log = Log::default();
    let mut first = held("a", true, &mut log, 0);
    let given = first.hand_over(at(100), successor()).expect("it holds it");
    for now in [150, 1000, 2000] {
        first.observe(at(now), log.read());
        assert_eq!(first.fencing(at(now)), None);
        assert_eq!(
            first.proposal(at(now)),
            None,
            "it would renew what it gave up"
        );
        let holder = first.holder().map(|holder| holder.instance.as_str());
        assert_eq!(holder, Some("b"));
    }
    first.observe(at(3000), log.read());
    act(&mut first, &mut log, 3200);
    let number = first.fencing(at(3200));
    assert!(number > Some(given.fencing), "{number:?} after {given:?}");
}

/// A renewal is on its way while the lease is handed over, and is carried out after that.
fn renewal_after_hand_over() {
    let mut log = Log::default();
    let mut first = held("a", true, &mut log, 0);
    let (end, renewal) = first.proposal(at(1500)).expect("a renewal is due");
    let mut second = lease("b", true);
    second.receive(
        at(1510),
        first.hand_over(at(1505), successor()).expect("it holds it"),
    );
    let offset = log.write(end, renewal.clone()).expect("nobody else wrote");
    first.accepted(at(1500), offset, &renewal);
    assert_eq!(first.fencing(at(1520)), None, "it gave the lease up");
    // The end of the record that it was given isn't its end any more.
    act(&mut second, &mut log, 1530);
    assert_eq!(second.fencing(at(1530)), Some(1));
    second.observe(at(1540), log.read());
    act(&mut second, &mut log, 1550);
    assert_eq!(second.fencing(at(3500)), Some(1));
}

/// All were killed. The steward's process is back first, takes the lease again, and has no standbys yet.
fn nobody_to_leave_it_to() {
    let mut log = Log::default();
    let first = held("a", true, &mut log, 0);
    let mut second = lease("b", true);
    second.observe(at(10), log.read());
    second.set_standbys(&[]);
    assert!(!second.defers_to_standbys(at(20)));
    second.set_standbys(&[first.own_record().clone()]);
    assert!(second.defers_to_standbys(at(30)));
}

/// It is given the lease back, under a number of its own.
fn first_holder_is_given_it_back() {
    let mut log = Log::default();
    let mut first = held("a", true, &mut log, 0);
    let mut second = lease("b", true);
    second.receive(
        at(10),
        first.hand_over(at(10), successor()).expect("it holds it"),
    );
    let back = second
        .hand_over(at(20), first.own_record().clone())
        .expect("it holds it");
    first.receive(at(20), back);
    act(&mut first, &mut log, 30);
    assert_eq!(first.fencing(at(1000)), Some(2));
    first.observe(at(1100), log.read());
    assert_eq!(first.fencing(at(1100)), Some(2));
}

fn successor_goes_on_with_a_higher_number() {
    let mut log = Log::default();
    let mut first = held("a", true, &mut log, 0);
    let given = first.hand_over(at(1), successor()).expect("it holds it");
    assert_eq!(first.fencing(at(1)), None);
    assert_eq!(first.proposal(at(1)), None);
    let mut second = lease("b", true);
    second.receive(at(10), given);
    assert_eq!(second.fencing(at(10)), Some(1));
    act(&mut second, &mut log, 20);
    assert_eq!(second.fencing(at(2000)), Some(1));
    let mut third = lease("c", true);
    third.observe(at(2500), log.read());
    act(&mut third, &mut log, 6000);
    assert!(
        third.fencing(at(6000)) > Some(1),
        "a take-over is above every hand-over before"
    );
}

fn unfenced_successor_renews_first() {
    let mut log = Log::default();
    let given = held("a", false, &mut log, 0)
        .hand_over(at(0), successor())
        .expect("it holds it");
    let mut second = lease("b", false);
    second.receive(at(10), given);
    assert_eq!(second.fencing(at(10)), None);
    act(&mut second, &mut log, 20);
    assert_eq!(second.fencing(at(20)), Some(1));
}

fn successor_that_comes_too_late_finds_another() {
    let mut log = Log::default();
    let given = held("a", false, &mut log, 0)
        .hand_over(at(0), successor())
        .expect("it holds it");
    let mut other = lease("c", false);
    other.observe(at(0), log.read());
    act(&mut other, &mut log, 3000);
    let mut second = lease("b", false);
    second.receive(at(3500), given);
    act(&mut second, &mut log, 3500);
    assert_eq!(second.fencing(at(3500)), None);
}

fn readings_do_not_undo_what_was_told() {
    let mut log = Log::default();
    let mut first = held("a", true, &mut log, 0);
    let mut second = lease("b", true);
    second.receive(
        at(10),
        first.hand_over(at(10), successor()).expect("it holds it"),
    );
    second.observe(at(12), log.read());
    assert!(
        second.fencing(at(12)).is_some(),
        "the record is still its predecessor's"
    );
    let mut third = lease("c", true);
    third.observe(at(0), log.read());
    third.holder_moved(at(11), second.own_record().clone());
    third.observe(at(13), log.read());
    assert_eq!(
        third.holder().map(|holder| holder.instance.as_str()),
        Some("b")
    );
    act(&mut second, &mut log, 20);
    assert!(second.fencing(at(2000)).is_some());
    third.observe(at(30), log.read());
    assert_eq!(
        third.holder().map(|holder| holder.instance.as_str()),
        Some("b")
    );
}

fn ended_process_stays_ended() {
    let mut log = Log::default();
    let _dead = held("a", true, &mut log, 0);
    let mut second = lease("b", true);
    second.observe(at(100), log.read());
    second.holder_ended(1);
    second.observe(at(150), log.read());
    assert!(second.proposal(at(150)).is_some());
    assert_eq!(second.holder(), None);
}

fn lease_of_an_ended_process_is_free_where_engines_check() {
    for fenced in [true, false] {
        let mut log = Log::default();
        let _dead = held("a", fenced, &mut log, 0);
        let mut second = lease("b", fenced);
        second.observe(at(100), log.read());
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
    /// A steward hands over, and its successor and the others read the record before the successor has renewed it.
    /// Were the old holder believed again, nobody would be steward for a whole term.
    reading_after_hand_over => readings_do_not_undo_what_was_told();
    /// The store turns the successor away, and the one before reads its own name in the record. Acting on it, both would order.
    own_record_after_hand_over => first_holder_reads_its_own_record();
    /// The store is slow, and the holder hands over while it renews. Both would act, and then neither until the term is over.
    renewal_on_its_way => renewal_after_hand_over();
    /// All instances would wait for one and a half terms for standbys that there aren't.
    no_standbys => nobody_to_leave_it_to();
    /// An instance that gave the lease up is given it back.
    given_back => first_holder_is_given_it_back();
    /// The same after a process was seen to have ended.
    reading_after_an_end => ended_process_stays_ended();
    /// All processes were killed and are back, and the lease names one of before. If they waited a term, cold
    /// models would stay cold for as long after each such end.
    ended_process => lease_of_an_ended_process_is_free_where_engines_check();
    /// A planned stop hands the lease over while the store is away.
    hand_over => successor_goes_on_with_a_higher_number();
    /// The same where engines take orders of anyone: the holder's term may be nearly over.
    hand_over_unfenced => unfenced_successor_renews_first();
    /// The hand-over is held up on its way for longer than a term.
    late_hand_over => successor_that_comes_too_late_finds_another();
    /// Nobody has ever been steward. Were it to wait a term, no cold model could be loaded for as long.
    first_take_over => first_instance_takes_it_at_once();
    /// A holder that changed its number with each renewal would make engines refuse orders on their way.
    renewals_keep_the_number => holder_renews_with_its_first_number();
    /// The holder can't reach the store, and another instance sees its lease lapse. If the holder went on for
    /// longer, both would order engines that don't check who does.
    store_lost_by_the_holder => holder_that_cannot_renew_stops_before_others_may_start();
    /// The store is away for everyone. If the holder stopped, models that aren't in memory would stay cold for
    /// as long as the outage lasts.
    store_away_for_all => fenced_holder_goes_on_while_the_store_is_away();
    /// A process stands still for seconds and wakes up. Others may have taken over meanwhile; going on at once
    /// it would undo their work.
    holder_stood_still => thawed_holder_tries_before_it_goes_on();
    /// The holder's renewal finds that another one wrote. Going on, it would order engines under an old number.
    replaced_holder => fenced_holder_stops_when_another_wrote();
    /// A planned stop gives the lease up. If others waited a term, each restart would leave models cold for it;
    /// if they didn't where engines take any order, two would order at once.
    planned_stop => released_lease_is_free_at_once_where_engines_check();
    /// The answer to a take-over is lost although it was done. Not recognised, the instance would wait a term for
    /// itself.
    lost_answer => lost_answer_of_a_take_over_is_recognised();
    /// A killed process starts again under its old name, and orders of the one before may still be on their way to
    /// engines that take any. With a number of its own it would have to wait until they can't arrive any more.
    killed_and_back => restarted_instance_goes_on_with_its_old_number();
    /// The same, but another instance has taken the lease since its record was read.
    killed_and_replaced => restarted_instance_finds_another_holder();
    /// The steward of a large fleet dies. If all instances went for its lease, the store would get hundreds of calls
    /// at once, and an instance too weak for so many links might win.
    standbys_first => standbys_go_first();
    /// Instances that haven't noticed yet that the steward is dead still name it. If that began the term anew, cold
    /// models would wait for longer.
    stale_gossip => gossip_leaves_the_term_as_it_is();
    /// A machine was replaced by one of the same name elsewhere: nothing shows that the one before has ended.
    same_name_elsewhere => instance_at_another_address_waits();
    /// A link to the steward ends. Counting the term only from then on would leave models cold for a second more.
    term_by_the_steward_s_word => steward_s_word_of_the_record_s_end_starts_the_term();
    /// A steward that the store turns away believes for long that it is one, and serves an old configuration.
    overtaken => holder_that_hears_of_a_later_one();
    /// Any order of acts, pauses and lost answers.
    any_order => any_order_leaves_one_holder();
}
