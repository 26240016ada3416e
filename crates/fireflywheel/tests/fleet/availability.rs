//! Tests of what is concluded from the answers of the store.

use std::time::Duration;

use fireflywheel::clock::Instant;
use fireflywheel::fleet::availability::{Availability, REREGISTRATION_TIMEOUT, Report};

use crate::cases;

const HEARTBEAT: Duration = Duration::from_millis(1200);
/// The time for which a server's entry lasts, in milliseconds.
const ENTRY_MS: u64 = 3600;
/// The interval between the reads of a reader, in milliseconds.
const READ_MS: u64 = 600;
/// How long after the store's return an entry is back at the latest, in milliseconds.
const MAX_RETURN_MS: u64 = 2000;
/// How much earlier a report may have been made than it was, in milliseconds.
const MAX_UNCERTAINTY_MS: u64 = 900;
/// How long a report may be on its way, in milliseconds.
const MAX_TRANSIT_MS: u64 = 7000;
const TIMEOUT_MS: u64 = REREGISTRATION_TIMEOUT.as_millis() as u64;
/// The number of drawn outages, and the number of random bytes for each.
const SEEDS: u64 = 300;
const DRAW_BYTES: u64 = 1024;

fn at(ms: u64) -> Instant {
    Instant(ms)
}

/// An instance that reads the store until `until`.
fn reader(until: u64) -> Availability {
    let mut availability = Availability::new(HEARTBEAT);
    for ms in (0..=until).step_by(READ_MS as usize) {
        availability.record_answer(at(ms));
    }
    availability
}

/// The same, and its reads fail from then on until the store answers at `regained`.
fn regained(lost: u64, regained: u64) -> Availability {
    let mut availability = reader(lost);
    for ms in (lost + READ_MS..regained).step_by(READ_MS as usize) {
        availability.record_failure(at(ms));
    }
    availability.record_answer(at(regained));
    availability
}

/// Whether entries that are missing at this time may come back.
fn keeps(availability: &Availability, ms: u64) -> bool {
    availability.may_come_back(at(ms))
}

fn report(since_ms: u32, last_ms: u32, is_after_outage: bool) -> Report {
    Report {
        since_ms,
        last_ms,
        is_after_outage,
    }
}

fn outage_is_noticed() {
    let availability = regained(6000, 9000);
    assert!(keeps(&availability, 9000));
    assert!(keeps(&availability, 9000 + TIMEOUT_MS - 1));
    assert!(!keeps(&availability, 9000 + TIMEOUT_MS));
}

/// An instance's reads fail, another instance reads the store from 9 s on, and this instance reads it again at `own_ms`.
fn read_for_by_another(own_ms: u64) -> Availability {
    let mut availability = reader(6000);
    availability.record_failure(at(7000));
    availability.record_failure(at(8000));
    for ms in (9000..own_ms).step_by(READ_MS as usize) {
        let since_ms = u32::try_from(ms - 9000).expect("it is short");
        availability.merge(at(ms), at(ms), &report(since_ms, 0, true));
    }
    availability.record_answer(at(own_ms));
    availability
}

fn return_is_dated_by_the_first_answer_to_anyone() {
    assert!(!keeps(&read_for_by_another(20_000), 20_000));
    assert!(keeps(&read_for_by_another(10_000), 10_000));
    assert!(!keeps(&read_for_by_another(10_000), 9000 + TIMEOUT_MS));
}

fn one_lost_call_is_no_outage() {
    let mut availability = reader(6000);
    availability.record_failure(at(6900));
    availability.record_answer(at(7000));
    assert_eq!(availability.last_return(), None);
}

fn gap_without_a_failed_call_is_no_outage() {
    let mut availability = reader(6000);
    availability.record_answer(at(9000));
    assert_eq!(availability.last_return(), None);
}

fn rejected_instance_learns_of_others() {
    let mut availability = regained(6000, 12_000);
    assert!(keeps(&availability, 12_500));
    availability.merge(at(12_500), at(12_600), &report(60_000, 100, false));
    assert_eq!(availability.last_return(), None);
}

fn late_report_moves_the_return() {
    let mut availability = regained(6000, 14_000);
    availability.merge(at(14_100), at(14_100), &report(4100, 100, true));
    let known = availability.last_return().expect("the store was down");
    assert_eq!(known.at, at(10_000));
    assert_eq!(known.outage, Some(Duration::from_millis(4000)));
}

fn restore_is_dated_by_those_who_noticed() {
    let mut availability = reader(6000);
    availability.record_restore(at(60_000));
    availability.record_answer(at(60_000));
    assert!(keeps(&availability, 60_100));
    availability.merge(at(60_200), at(60_300), &report(50_000, 100, true));
    assert!(!keeps(&availability, 60_300));
}

fn store_is_down_until_it_answers_anyone() {
    let mut availability = reader(6000);
    availability.record_failure(at(7000));
    assert!(!availability.is_down(at(7000)));
    assert!(availability.is_down(at(7200)));
    availability.merge(at(7900), at(8000), &report(60_000, 100, false));
    assert!(!availability.is_down(at(8000)));
    let mut availability = Availability::new(HEARTBEAT);
    assert!(!availability.is_down(at(100)));
    availability.record_failure(at(100));
    assert!(availability.is_down(at(100)));
}

fn first_answer_after_failures_is_a_return() {
    let mut availability = Availability::new(HEARTBEAT);
    availability.record_failure(at(100));
    availability.record_answer(at(500));
    assert!(keeps(&availability, 500));
    availability.merge(at(600), at(600), &report(30_000, 100, false));
    assert!(!keeps(&availability, 600));
}

fn new_instance_believes_the_report() {
    let mut availability = Availability::new(HEARTBEAT);
    availability.merge(at(600), at(600), &report(500, 100, true));
    assert!(keeps(&availability, 600));
    availability.record_answer(at(900));
    assert!(keeps(&availability, 900));
    assert!(!keeps(&availability, 100 + TIMEOUT_MS));
}

fn report_from_before_the_start_keeps_its_age() {
    let mut availability = Availability::new(HEARTBEAT);
    availability.record_failure(at(50));
    availability.merge(at(400), at(400), &report(1400, 0, true));
    assert!(keeps(&availability, 400));
    assert!(!keeps(&availability, TIMEOUT_MS - 1000));
    let mut availability = Availability::new(HEARTBEAT);
    availability.merge(at(400), at(400), &report(60_000, 0, true));
    assert!(!keeps(&availability, 0));
}

fn report_of_uncertain_age_moves_no_return() {
    let mut availability = regained(6000, 9000);
    availability.merge(at(8200), at(9100), &report(100, 100, true));
    let known = availability.last_return().expect("the store was down");
    assert_eq!(known.at, at(9000));
}

fn late_report_is_ignored() {
    let mut availability = regained(6000, 12_000);
    // It was made at 7 s at the earliest and arrives at 13 s.
    availability.merge(at(7000), at(13_000), &report(60_000, 100, false));
    assert!(keeps(&availability, 12_100));
    let mut availability = reader(30_000);
    availability.record_failure(at(31_000));
    availability.merge(at(20_000), at(31_000), &report(1000, 100, true));
    assert!(!availability.is_down(at(31_100)));
    assert_eq!(availability.last_return(), None);
}

/// A report on its way to a reader.
struct Sent {
    reader: usize,
    earliest: u64,
    arrives: u64,
    report: Report,
}

/// Servers write their entries, the store is down once, and two readers read it and tell each other. Checks that whoever reads
/// lets no entry go that expired in the outage, and that none believes in a return much later than it was.
fn check_drawn_outage(seed: u64) {
    let property = arbtest::arbtest(|u| {
        let down = u.int_in_range(5000..=6200)?;
        let up = down + u.int_in_range(200..=8000)?;
        let written = down - u.int_in_range(0..=HEARTBEAT.as_millis() as u64)?;
        let back = up + u.int_in_range(0..=MAX_RETURN_MS)?;
        let offset = u.int_in_range(1..=READ_MS)?;
        let told_from = u.int_in_range(0..=12_000)?;
        let told_to = told_from + u.int_in_range(0..=12_000)?;
        let uncertainty_ms = u.int_in_range(0..=MAX_UNCERTAINTY_MS)?;
        let transit_ms = u.int_in_range(0..=MAX_TRANSIT_MS)?;
        let mut readers = [Availability::new(HEARTBEAT), Availability::new(HEARTBEAT)];
        let mut sent: Vec<Sent> = Vec::new();
        for step in 0..60 {
            for (index, shift) in [0, offset].into_iter().enumerate() {
                let now = step * READ_MS + shift;
                for report in sent.extract_if(.., |report| report.arrives <= now) {
                    readers[report.reader].merge(
                        at(report.earliest),
                        at(report.arrives),
                        &report.report,
                    );
                }
                let answers = now < down || up <= now;
                match answers {
                    true => readers[index].record_answer(at(now)),
                    false => readers[index].record_failure(at(now)),
                }
                let is_missing = written + ENTRY_MS <= now && now < back;
                assert!(
                    !answers || !is_missing || keeps(&readers[index], now),
                    "down {down} to {up}, written {written} and {back}, read at {now}"
                );
                assert!(!answers || !readers[index].is_down(at(now)));
                let latest = up + READ_MS + TIMEOUT_MS;
                assert!(now <= latest || !keeps(&readers[index], now));
                if (told_from..told_to).contains(&now)
                    && let Some(report) = readers[index].report(at(now))
                {
                    sent.push(Sent {
                        reader: 1 - index,
                        earliest: now.saturating_sub(uncertainty_ms),
                        arrives: now + transit_ms,
                        report,
                    });
                }
            }
        }
        Ok(())
    });
    // arbtest takes the number of random bytes from the low half of the seed.
    property.seed(seed << 32 | DRAW_BYTES).run();
}

cases! {
    /// Servers whose entries expired in an outage are dropped though they run.
    outage => outage_is_noticed();
    /// An instance for which another one has read the store takes its own next read for the store's return.
    return_noticed_by_another => return_is_dated_by_the_first_answer_to_anyone();
    /// A lost packet is taken for an outage, and servers that are gone are kept.
    lost_call => one_lost_call_is_no_outage();
    /// A steward that ends is taken for an outage.
    time_without_calls => gap_without_a_failed_call_is_no_outage();
    /// A store that rejects one instance is taken for an outage.
    rejected_instance => rejected_instance_learns_of_others();
    /// An instance that reads the store late takes that for its return.
    late_report => late_report_moves_the_return();
    /// A restore counts from when an instance hears of it, however late.
    restore_heard_of_late => restore_is_dated_by_those_who_noticed();
    /// An instance believes a steward that has just started and lacks entries, before it knows that the store is back.
    store_that_is_down => store_is_down_until_it_answers_anyone();
    /// An instance that starts while the store is down drops servers that a steward has told it of.
    start_in_an_outage => first_answer_after_failures_is_a_return();
    /// An instance that starts after an outage drops servers whose entries are missing.
    start_after_an_outage => new_instance_believes_the_report();
    /// An instance takes its own start for the store's return.
    return_before_the_start => report_from_before_the_start_keeps_its_age();
    /// The return is dated before it was, since a report may have been long on its way.
    uncertain_report => report_of_uncertain_age_moves_no_return();
    /// A report that was long on its way hides an outage, or makes one.
    delayed_report => late_report_is_ignored();
    /// Outages at random: entries that expired are kept, and none for long after the return.
    drawn_outages => (0..SEEDS).for_each(check_drawn_outage);
}
