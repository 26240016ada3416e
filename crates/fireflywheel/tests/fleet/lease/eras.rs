//! The record of the lease is lost with all that was written in the last seconds, and its offsets are given out again.

use fireflywheel::fleet::era::{Era, Position};
use fireflywheel::fleet::lease::{HandOver, Lease, Record};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

use super::rig::{ADDRESS, Log, act, at, held, lease, restarted};
use crate::cases;

const TERM_MS: u64 = 3000;
/// Drawn histories, and the steps of each.
const SEEDS: u64 = 400;
const STEPS: usize = 80;

/// Renews the lease each second.
fn renew(lease: &mut Lease, log: &mut Log, from: u64, until: u64) {
    for now in (from..until).step_by(1000) {
        act(lease, log, now);
    }
}

fn holder_writes_its_record_again() {
    for fenced in [true, false] {
        let mut log = Log::default();
        let mut first = held("a", fenced, &mut log, 0);
        let copy = log.clone();
        renew(&mut first, &mut log, 1000, 5000);
        log.restore(&copy);
        first.enter_era(at(4500), log.era);
        assert_eq!(first.fencing(at(4500)), None, "nothing stands in this era");
        assert!(first.needs_read());
        first.observe(at(4510), log.read());
        assert_eq!(first.fencing(at(4510)), None);
        act(&mut first, &mut log, 4520);
        assert_eq!(
            first.fencing(at(4520)),
            Some(0),
            "to engines it is the same holder"
        );
    }
}

/// It learns of the era by a renewal that doesn't fit any more.
fn refused_renewal_of_an_earlier_era() {
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

fn next_number_is_above_all_before() {
    let mut log = Log::default();
    let mut first = held("a", true, &mut log, 0);
    let copy = log.clone();
    first.lost();
    let mut second = lease("b", true);
    second.observe(at(10), log.read());
    for now in (0..50_000).step_by(1000) {
        act(&mut second, &mut log, now + 20);
    }
    let given = second.hand_over(at(50_000), first.own_record().clone());
    let seen = given.expect("it holds it").fencing;
    log.restore(&copy);
    let mut third = lease("c", true).with_first_start(false);
    third.observe(at(50_100), log.read());
    act(&mut third, &mut log, 50_100 + TERM_MS);
    let number = third.fencing(at(50_100 + TERM_MS));
    assert!(number > Some(seen), "{number:?} after {seen}");
}

/// Another took over while it stood still, and the record of that is lost.
fn holder_that_stood_still_waits_a_term() {
    let mut log = Log::default();
    let mut first = held("a", false, &mut log, 0);
    let mut second = lease("b", false);
    second.observe(at(0), log.read());
    let copy = log.clone();
    act(&mut second, &mut log, 3000);
    let number = second.fencing(at(3000));
    log.restore(&copy);
    first.enter_era(at(3500), log.era);
    first.observe(at(3500), log.read());
    assert_eq!(first.proposal(at(3600)), None);
    second.enter_era(at(3600), log.era);
    second.observe(at(3600), log.read());
    act(&mut second, &mut log, 3610);
    assert_eq!(second.fencing(at(3610)), number);
    assert_eq!(first.fencing(at(3610)), None);
}

/// The copy is from a time at which it was the holder.
fn earlier_holder_finds_its_own_record() {
    let mut log = Log::default();
    let mut first = held("a", false, &mut log, 0);
    let copy = log.clone();
    let mut second = lease("b", false);
    second.observe(at(0), log.read());
    act(&mut second, &mut log, 3000);
    first.observe(at(3100), log.read());
    log.restore(&copy);
    first.enter_era(at(3200), log.era);
    act(&mut first, &mut log, 3200);
    act(&mut first, &mut log, 3300);
    assert_eq!(first.fencing(at(3300)), None, "the other one acts");
}

fn process_that_is_back_waits_a_term() {
    let mut log = Log::default();
    let _before = held("a", false, &mut log, 0);
    let copy = log.clone();
    log.restore(&copy);
    let mut after = restarted("a", 2, ADDRESS).with_first_start(false);
    after.observe(at(100), log.read());
    assert_eq!(
        after.proposal(at(200)),
        None,
        "others may have held it since the copy"
    );
    act(&mut after, &mut log, 100 + TERM_MS);
    assert!(after.fencing(at(100 + TERM_MS)) > Some(0));
}

/// A renewal is on its way while the store is away, and its offset is the end of another holder's record by then.
fn renewal_at_an_offset_given_out_again() {
    let mut log = Log::default();
    let mut first = held("a", false, &mut log, 0);
    let (end, renewal) = first.proposal(at(1500)).expect("a renewal is due");
    let copy = log.clone();
    log.restore(&copy);
    let place = log.write(end, renewal.clone()).expect("the offset fits");
    first.enter_era(at(9000), log.era);
    first.accepted(at(1500), place, &renewal);
    assert_eq!(first.fencing(at(1600)), None);
    let mut second = lease("b", false).with_first_start(false);
    second.observe(at(9100), log.read());
    let holder = second.holder().map(|holder| holder.instance.as_str());
    assert_eq!(
        holder, None,
        "what was written for an earlier era names nobody"
    );
}

fn hand_over_of_an_earlier_era() {
    let mut log = Log::default();
    let mut first = held("a", true, &mut log, 0);
    let copy = log.clone();
    let mut second = lease("b", true);
    second.observe(at(5), log.read());
    let given = first.hand_over(at(10), second.own_record().clone());
    log.restore(&copy);
    second.enter_era(at(20), log.era);
    second.receive(at(30), given.expect("it holds it"));
    assert_eq!(second.fencing(at(30)), None);
    assert!(second.needs_read());
    second.observe(at(40), log.read());
    act(&mut second, &mut log, 50);
    assert_eq!(second.fencing(at(50)), Some(1));
}

/// Where engines take any number, a later holder may have come and gone before the store came back.
fn late_hand_over_where_engines_take_any_number() {
    let mut log = Log::default();
    let mut first = held("a", false, &mut log, 0);
    let mut second = lease("b", false);
    second.observe(at(5), log.read());
    let given = first.hand_over(at(10), second.own_record().clone());
    let copy = log.clone();
    log.restore(&copy);
    second.enter_era(at(8000), log.era);
    second.receive(at(8010), given.expect("it holds it"));
    second.observe(at(8020), log.read());
    act(&mut second, &mut log, 8030);
    assert_eq!(second.fencing(at(8030)), None);
}

/// The copy is older than the first record, and a process that has just started knows nothing else.
fn empty_copy() {
    let mut log = Log::default();
    log.restore(&Log::default());
    let mut first = lease("a", false).with_first_start(false);
    first.observe(at(10), log.read());
    assert_eq!(first.proposal(at(20)), None);
    assert!(first.proposal(at(10 + TERM_MS)).is_some());
}

fn answer_of_an_earlier_era() {
    let mut log = Log::default();
    let late = log.read();
    let mut first = held("a", false, &mut log, 0);
    let copy = log.clone();
    log.restore(&copy);
    first.enter_era(at(100), log.era);
    act(&mut first, &mut log, 110);
    act(&mut first, &mut log, 120);
    first.observe(at(130), late);
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

/// Instances act, stand still, are killed, hand over and lose answers, and the store comes back from older copies. At most one of
/// them may believe that it holds the lease, and numbers never fall.
fn drawn(seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let names = ["a", "b", "c"];
    let mut log = Log::default();
    let mut leases: Vec<Lease> = names.map(|name| lease(name, false)).into();
    act(&mut leases[0], &mut log, 0);
    act(&mut leases[0], &mut log, 0);
    let mut copies = vec![log.clone()];
    let (mut now, mut highest, mut incarnation) = (0, None, 1);
    let mut given: Vec<(usize, HandOver)> = Vec::new();
    for step in 0..STEPS {
        now += random.random_range(0..=1200);
        let place = random.random_range(0..leases.len());
        match random.random_range(0..14) {
            0 => {
                let copy = random.random_range(copies.len().saturating_sub(12)..copies.len());
                let copy = copies[copy].clone();
                log.restore(&copy);
            }
            1 => {
                incarnation += 1;
                leases[place] =
                    restarted(names[place], incarnation, ADDRESS).with_first_start(false);
                given.retain(|(to, _)| *to != place);
            }
            2 => {
                if let Some((end, record)) = leases[place].proposal(at(now)) {
                    // Done, but the answer is lost.
                    log.write(end, record);
                    leases[place].unanswered(at(now));
                }
            }
            3 => {
                let to = (place + 1) % leases.len();
                let successor: Record = leases[to].own_record().clone();
                if let Some(handed) = leases[place].hand_over(at(now), successor) {
                    given.push((to, handed));
                }
            }
            4 => {
                // Another instance tells of the era.
                leases[place].enter_era(at(now), log.era);
            }
            5 => leases[place].observe_end(at(now), log.end()),
            6 | 7 => {
                leases[place].enter_era(at(now), log.era);
                leases[place].observe(at(now), log.read());
            }
            _ => {
                if let Some(handed) = given.iter().position(|(to, _)| *to == place) {
                    let (_, handed) = given.remove(handed);
                    leases[place].receive(at(now), handed);
                }
                if leases[place].needs_read() {
                    leases[place].enter_era(at(now), log.era);
                    leases[place].observe(at(now), log.read());
                }
                act(&mut leases[place], &mut log, now);
            }
        }
        copies.push(log.clone());
        let holders: Vec<u64> = leases
            .iter()
            .filter_map(|lease| lease.fencing(at(now)))
            .collect();
        assert!(
            holders.len() <= 1,
            "seed {seed}, step {step}: {holders:?} at {now}"
        );
        if let Some(number) = holders.first() {
            let rises = highest.is_none_or(|highest| highest <= *number);
            assert!(
                rises,
                "seed {seed}, step {step}: {number} after {highest:?}"
            );
            highest = Some(*number);
        }
    }
}

cases! {
    /// The steward waits a term for itself, and cold models stay cold for as long.
    holder_goes_on => holder_writes_its_record_again();
    /// The same when a renewal tells it of the era.
    refused_renewal => refused_renewal_of_an_earlier_era();
    /// A new steward's orders are refused by engines that have seen higher numbers, or obeyed beside another's.
    numbers_rise => next_number_is_above_all_before();
    /// A steward that stood still goes on beside the one that took over.
    stood_still => holder_that_stood_still_waits_a_term();
    /// A steward of long ago goes on beside the one of today.
    earlier_holder => earlier_holder_finds_its_own_record();
    /// A process that was killed goes on with a number that others have been above.
    killed_and_back => process_that_is_back_waits_a_term();
    /// A late renewal replaces another holder's record, and both act.
    late_renewal => renewal_at_an_offset_given_out_again();
    /// A successor acts although nothing shows that nobody else does.
    handed_over_before => hand_over_of_an_earlier_era();
    /// The same after any other has held it: its number would be lower than theirs.
    handed_over_long_before => late_hand_over_where_engines_take_any_number();
    /// A process that starts takes a lease that seems never to have been written.
    lost_first_record => empty_copy();
    /// A late answer of an earlier era undoes what is known.
    late_answer => answer_of_an_earlier_era();
    /// A hand-over that comes after a return of the store.
    hand_over_and_return => drawn(130);
    /// The predecessor's process is killed and starts again before its successor has renewed the record.
    hand_over_and_restart => drawn(19_520);
    /// A holder that rests hands over what it may not have any more.
    hand_over_while_resting => drawn(4244);
    /// A process that goes on with the lease of the one before it hands that over, and takes it again.
    restart_and_hand_over => drawn(39_634);
    /// A holder that rests for longer than its term goes on after another, whose record a late write has replaced.
    rested_too_long => drawn(36_358);
    /// Any order of acts, pauses, kills, hand-overs, lost answers and returns.
    any_order => (0..SEEDS).for_each(drawn);
}
