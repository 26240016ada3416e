//! Requests go to the least loaded server that answers as it should.

use fireflywheel::clock::Instant;
use fireflywheel::fleet::routing::{self, Candidate, Report, Stats};

use crate::cases;

const NOW: Instant = Instant(100_000);

fn candidate(stats: &Stats) -> Candidate<'_> {
    Candidate {
        stats,
        slots: 8,
        same_domain: true,
        other_requests: 0,
        prefill_ratio: 0.0,
    }
}

/// How often each of two servers is chosen over draws.
fn shares(first: Candidate<'_>, second: Candidate<'_>) -> [usize; 2] {
    let mut shares = [0; 2];
    for draw in 0..100 {
        let place = routing::pick(NOW, &[first, second], draw).expect("one has room");
        shares[place] += 1;
    }
    shares
}

fn loaded(in_flight: u32) -> Stats {
    let mut stats = Stats::default();
    stats.in_flight = in_flight;
    stats
}

fn equals_share() {
    let stats = Stats::default();
    assert_eq!(shares(candidate(&stats), candidate(&stats)), [50, 50]);
}

fn less_loaded_wins() {
    let (idle, busy) = (Stats::default(), loaded(3));
    assert_eq!(shares(candidate(&busy), candidate(&idle)), [0, 100]);
}

fn report_of_others_counts() {
    let (idle, mut busy) = (loaded(1), Stats::default());
    let report = Report {
        running: 6,
        waiting: 2,
        slots: 8,
    };
    busy.record_report(NOW, report);
    assert_eq!(shares(candidate(&busy), candidate(&idle)), [0, 100]);
}

fn old_report_is_forgotten() {
    let (loaded, mut stats) = (loaded(1), Stats::default());
    let report = Report {
        running: 8,
        waiting: 9,
        slots: 8,
    };
    stats.record_report(Instant(NOW.0 - 5000), report);
    assert_eq!(shares(candidate(&stats), candidate(&loaded)), [100, 0]);
}

fn failing_server_is_left_alone() {
    let (mut failing, busy) = (Stats::default(), loaded(4));
    failing.record_failure(NOW);
    failing.record_failure(NOW);
    assert_eq!(shares(candidate(&failing), candidate(&busy)), [0, 100]);
}

fn failing_server_gets_another_chance() {
    let (mut failing, busy) = (Stats::default(), loaded(2));
    failing.record_failure(Instant(NOW.0 - 15_000));
    assert_eq!(shares(candidate(&failing), candidate(&busy)), [100, 0]);
}

fn unreachable_server_comes_last() {
    let (mut down, full) = (Stats::default(), loaded(40));
    down.record_unreachable(NOW);
    assert_eq!(shares(candidate(&down), candidate(&full)), [0, 100]);
    assert_eq!(routing::pick(NOW, &[candidate(&down)], 0), Some(0));
}

fn full_server_is_not_asked_again_at_once() {
    let mut full = Stats::default();
    full.record_full(NOW);
    assert_eq!(routing::pick(NOW, &[candidate(&full)], 0), None);
    assert_eq!(
        routing::pick(Instant(NOW.0 + 100), &[candidate(&full)], 0),
        Some(0)
    );
}

/// A server with so much of the time of a first event to read.
fn reading(stats: &Stats, reading: f64) -> Candidate<'_> {
    Candidate {
        prefill_ratio: reading,
        ..candidate(stats)
    }
}

fn server_that_keeps_the_prompt_wins_until_it_is_loaded() {
    let (stats, busy) = (Stats::default(), loaded(3));
    let (kept, anew) = (0.1, 0.3);
    let shares_of = |keeper, other| shares(reading(other, anew), reading(keeper, kept));
    assert_eq!(shares_of(&stats, &stats), [0, 100]);
    assert_eq!(shares_of(&busy, &stats), [100, 0]);
    assert_eq!(
        shares(reading(&stats, anew), reading(&stats, 0.4)),
        [100, 0]
    );
}

fn engine_that_others_fill_is_left_alone() {
    let stats = Stats::default();
    let others = |others| Candidate {
        other_requests: others,
        ..candidate(&stats)
    };
    assert_eq!(shares(others(6), others(2)), [50, 50]);
    assert_eq!(shares(others(12), others(6)), [0, 100]);
    assert!(routing::pick(NOW, &[others(11)], 0).is_some());
    assert_eq!(routing::pick(NOW, &[others(12)], 0), None);
}

fn own_requests_alone_say_nothing_of_room() {
    let busy = loaded(20);
    assert!(routing::pick(NOW, &[candidate(&busy)], 0).is_some());
}

cases! {
    /// A crowd on one engine, sent by instances that each see only their own requests. What waits there is late, and can't
    /// go to the copy of its model that comes a moment later.
    filled_by_others => engine_that_others_fill_is_left_alone();
    /// No steward tells of others: an engine has room until it says otherwise, as far as an instance knows.
    untold => own_requests_alone_say_nothing_of_room();
    /// All instances see the same idle servers; if they chose alike, one server would get the whole burst.
    equals => equals_share();
    /// A batch that is fuller makes each token slower.
    by_load => less_loaded_wins();
    /// Other instances use the server too.
    by_report => report_of_others_counts();
    /// A report from before a quiet spell would keep a server idle for ever.
    old_report => old_report_is_forgotten();
    /// A server fails requests while its health check is good.
    failing => failing_server_is_left_alone();
    /// It was mended meanwhile. Left alone for ever, its room is lost.
    another_chance => failing_server_gets_another_chance();
    /// A server can't be reached; each try costs its request part of its time.
    unreachable => unreachable_server_comes_last();
    /// A server had no room a moment ago. Asked at once it would use up the repeats.
    full => full_server_is_not_asked_again_at_once();
    /// A long prompt was read there before.
    warm => server_that_keeps_the_prompt_wins_until_it_is_loaded();
}
