//! Tests of what an instance remembers of servers' announcements.

use std::time::Duration;

use fireflywheel::clock::Instant;
use fireflywheel::fleet::announcement::{Announcement, Change, Process, Registry};

use crate::cases;

const NOW: Instant = Instant(100_000);
/// The number of drawn series of answers, and of answers in each.
const SEEDS: u64 = 100;
const STEPS: usize = 40;
/// The longest time between two drawn answers, and the longest drawn rest, in milliseconds.
const MAX_STEP_MS: u64 = 800;
const MAX_REST_MS: u64 = 3000;
/// The number of random bytes for each series.
const DRAW_BYTES: u64 = 1024;
const LEAVING: Announcement = Announcement {
    leaving: true,
    rest: None,
    brittle: None,
};
const NOTHING: Announcement = Announcement {
    leaving: false,
    rest: None,
    brittle: None,
};

fn process(started_ms: u64) -> Process {
    Process {
        server: "s1".into(),
        started_ms,
    }
}

/// The answer of a server that asks for a rest.
fn rest(millis: u64) -> Announcement {
    Announcement {
        leaving: false,
        rest: Some(Duration::from_millis(millis)),
        brittle: None,
    }
}

fn later(millis: u64) -> Instant {
    NOW.after(Duration::from_millis(millis))
}

/// Creates a registry in which the process that started at 5 leaves.
fn leaving() -> Registry {
    let mut registry = Registry::default();
    let change = registry.observe(NOW, &process(5), LEAVING);
    assert_eq!(change, Some(Change::Leaves));
    registry
}

fn check_final() {
    let mut registry = leaving();
    assert_eq!(registry.observe(later(10), &process(5), NOTHING), None);
    assert_eq!(registry.observe(later(20), &process(5), LEAVING), None);
    assert_eq!(
        registry.observe(later(30), &process(5), rest(100)),
        Some(Change::Rests)
    );
    assert_eq!(registry.rests_until(later(200), "s1", 5), None);
    assert!(registry.is_leaving("s1", 5));
}

fn check_other_processes() {
    let mut registry = leaving();
    assert!(!registry.is_leaving("s1", 6));
    assert!(!registry.is_leaving("s2", 5));
    // The process started again, and leaves as well.
    let change = registry.observe(later(10), &process(6), LEAVING);
    assert_eq!(change, Some(Change::Leaves));
    assert!(registry.is_leaving("s1", 6));
    // An answer of the process before was delayed.
    assert_eq!(registry.observe(later(20), &process(5), rest(900)), None);
    assert!(registry.is_leaving("s1", 6));
    assert_eq!(registry.rests_until(later(20), "s1", 6), None);
}

fn check_notices() {
    let mut registry = leaving();
    assert_eq!(registry.take_leaving_notices(), [process(5)]);
    assert!(registry.take_leaving_notices().is_empty());
    registry.link_opened();
    assert_eq!(registry.take_leaving_notices(), [process(5)]);
    assert!(registry.record_leaving(NOW, &process(7)));
    assert!(!registry.record_leaving(NOW, &process(7)));
    // Others know already what one of them has reported.
    assert!(registry.take_leaving_notices().is_empty());
}

fn check_pruning() {
    let mut registry = leaving();
    registry.prune(later(1_000_000), |_| true);
    registry.prune(later(1_100_000), |_| false);
    assert!(registry.is_leaving("s1", 5));
    registry.prune(later(1_200_000), |_| false);
    assert!(!registry.is_leaving("s1", 5));
}

fn check_rest() {
    let mut registry = Registry::default();
    assert_eq!(
        registry.observe(NOW, &process(5), rest(3000)),
        Some(Change::Rests)
    );
    let rests_until = |registry: &Registry, millis| registry.rests_until(later(millis), "s1", 5);
    assert_eq!(rests_until(&registry, 2999), Some(later(3000)));
    // An answer to a request that was sent before the first refusal, and one that asks for less.
    assert_eq!(registry.observe(later(10), &process(5), NOTHING), None);
    assert_eq!(registry.observe(later(20), &process(5), rest(500)), None);
    assert_eq!(rests_until(&registry, 2999), Some(later(3000)));
    assert_eq!(rests_until(&registry, 3000), None);
    assert_eq!(
        registry.observe(later(4000), &process(5), rest(200)),
        Some(Change::Rests)
    );
    assert_eq!(rests_until(&registry, 4100), Some(later(4200)));
}

/// Checks drawn answers: a server is withheld exactly while one of its rests lasts, and from its leaving on.
fn check_drawn_answers(seed: u64) {
    let property = arbtest::arbtest(|u| {
        let mut registry = Registry::default();
        let (mut now, mut rests_until, mut leaves) = (0, 0, false);
        for _ in 0..STEPS {
            now += u.int_in_range(0..=MAX_STEP_MS)?;
            let announcement = Announcement {
                brittle: None,
                leaving: u.ratio(1, 10)?,
                rest: match u.arbitrary()? {
                    true => Some(Duration::from_millis(u.int_in_range(0..=MAX_REST_MS)?)),
                    false => None,
                },
            };
            registry.observe(Instant(now), &process(5), announcement);
            leaves |= announcement.leaving;
            let rest = announcement.rest.unwrap_or_default().as_millis() as u64;
            rests_until = rests_until.max(now + rest);
            let expected = (now < rests_until).then_some(Instant(rests_until));
            assert_eq!(registry.rests_until(Instant(now), "s1", 5), expected);
            assert_eq!(registry.is_leaving("s1", 5), leaves);
        }
        Ok(())
    });
    // arbtest takes the number of random bytes from the low half of the seed.
    property.seed(seed << 32 | DRAW_BYTES).run();
}

cases! {
    /// A server leaves, and a later answer doesn't say so, such as one that was sent before.
    leaving_is_final => check_final();
    /// A server starts again under the same id. The announcement of the process before is not its own.
    announcement_is_of_one_process => check_other_processes();
    /// The steward is notified once on each link, and a notice of another instance is not passed on again.
    steward_is_notified_once_per_link => check_notices();
    /// The entry of a leaving server is gone for a while, and listed again.
    leaving_is_remembered_while_the_entry_is_gone => check_pruning();
    /// A server asks for a rest. It ends by itself, and neither an answer of before nor a shorter rest ends it
    /// sooner.
    rest_ends_by_itself => check_rest();
    /// Answers at random, in any order.
    drawn_answers_are_remembered => (0..SEEDS).for_each(check_drawn_answers);
}
