//! What a plan is told of an engine between an order and its answer.

use std::collections::BTreeSet;
use std::time::Duration;

use fireflywheel::clock::Instant;
use fireflywheel::fleet::plan::{Site, Step, Tier};
use fireflywheel::fleet::server::{Held, Report, Server};
use fireflywheel::fleet::track::Track;

use crate::cases;

const NOW: Instant = Instant(100_000);

fn server() -> Server {
    Server {
        id: "e1".into(),
        group: "engines".into(),
        address: ([127, 0, 0, 1], 9).into(),
        domain: "a".into(),
        slots: 16,
        ready: true,
        leaves: None,
        born: 1,
        count: 0,
        held: Held::default(),
    }
}

fn later(millis: u64) -> Instant {
    NOW.after(Duration::from_millis(millis))
}

fn site(track: &mut Track, now: Instant) -> Site {
    track.site(now, std::collections::BTreeMap::new(), 0)
}

/// An engine that has reported that it holds nothing.
fn reported() -> Track {
    let mut track = Track::new("engines".into(), server());
    track.asked(NOW);
    track.reported(NOW, NOW, Report::default());
    track
}

fn fetch(model: &str) -> Step {
    Step::Load {
        site: 0,
        model: model.into(),
        tier: Tier::Store,
    }
}

fn unload(model: &str, wanted: &str) -> Step {
    Step::Unload {
        site: 0,
        model: model.into(),
        wanted: wanted.into(),
    }
}

fn order_counts_from_its_sending() {
    let mut track = reported();
    track.sent(later(1), fetch("m1"));
    let site = site(&mut track, later(2));
    assert_eq!(site.loading.as_deref(), Some("m1"));
    assert!(site.fetching);
    assert!(site.ordering);
}

fn refused_order_counts_no_more() {
    let mut track = reported();
    track.sent(later(1), fetch("m1"));
    track.conflicted(later(3));
    let site = site(&mut track, later(4));
    assert_eq!(site.loading, None);
    assert!(!site.fetching);
}

fn unanswered_order_counts_until_a_report() {
    let mut track = reported();
    track.sent(later(1), fetch("m1"));
    track.unanswered(later(700));
    assert!(site(&mut track, later(701)).fetching);
    track.asked(later(1000));
    track.reported(later(1000), later(1001), Report::default());
    let site = site(&mut track, later(1002));
    assert!(!site.fetching);
    assert!(!site.ordering);
}

fn adapter_counts_from_its_sending() {
    let mut track = reported();
    let step = Step::LoadAdapter {
        site: 0,
        model: "m1".into(),
        adapter: "a1".into(),
    };
    track.sent(later(1), step);
    let coming = site(&mut track, later(2)).held.coming;
    assert_eq!(coming, BTreeSet::from([("m1".into(), "a1".into())]));
}

fn room_is_kept_for_its_model() {
    let mut track = reported();
    let step = unload("m1", "m2");
    track.sent(later(1), step.clone());
    assert_eq!(site(&mut track, later(2)).room_for.as_deref(), Some("m2"));
    track.accepted(later(3), &step, Duration::ZERO, 1);
    // No order goes to it yet, so that a plan without one says nothing.
    track.passed_over(later(4));
    assert_eq!(site(&mut track, later(5)).room_for.as_deref(), Some("m2"));
}

fn room_is_given_up_when_a_plan_does_otherwise() {
    let mut track = reported();
    let step = unload("m1", "m2");
    track.sent(later(1), step.clone());
    track.accepted(later(3), &step, Duration::ZERO, 1);
    track.passed_over(later(500));
    assert_eq!(site(&mut track, later(501)).room_for, None);
}

cases! {
    /// Plans are made every few milliseconds while callers wait, and an engine's answer takes as long. If an order counted
    /// only once it is answered, the next plan would send the same load to a second engine: the weight store, which bears
    /// two at once, is asked for ten, and callers wait five times as long.
    order_on_its_way => order_counts_from_its_sending();
    /// An engine refuses an order. If it went on to count, the model would never be loaded elsewhere.
    refused_order => refused_order_counts_no_more();
    /// The answer to an order is lost. The engine may load all the same, which only its report tells.
    lost_answer => unanswered_order_counts_until_a_report();
    /// The same for an adapter, which would be loaded at each engine that holds its model.
    adapter_on_its_way => adapter_counts_from_its_sending();
    /// An engine rests for a moment after an unload. If the next plan forgot what that was for, it would unload a model
    /// at another engine as well, and callers would find two models gone where one was to come.
    room_while_it_rests => room_is_kept_for_its_model();
    /// Nobody wants the model any more. The engine must be free for others.
    room_no_longer_needed => room_is_given_up_when_a_plan_does_otherwise();
}
