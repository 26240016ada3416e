//! What a plan is told of an engine between an order and its answer.

use std::collections::BTreeSet;
use std::time::Duration;

use fireflywheel::clock::Instant;
use fireflywheel::fleet::plan::{EngineState, Step, Tier};
use fireflywheel::fleet::server::{Held, Report, Server};
use fireflywheel::fleet::tracker::Tracker;

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
        started_ms: 1,
        revision: 0,
        held: Held::default(),
    }
}

fn later(millis: u64) -> Instant {
    NOW.after(Duration::from_millis(millis))
}

fn state(tracker: &mut Tracker, now: Instant) -> EngineState {
    tracker.engine_state(now, std::collections::BTreeMap::new(), 0)
}

/// An engine that has reported that it holds nothing.
fn reported() -> Tracker {
    let mut tracker = Tracker::new("engines".into(), server());
    tracker.report_requested(NOW);
    tracker.report_received(NOW, NOW, Report::default());
    tracker
}

fn fetch(model: &str) -> Step {
    Step::Load {
        engine: 0,
        model: model.into(),
        tier: Tier::Store,
    }
}

fn unload(model: &str, wanted: &str) -> Step {
    Step::Unload {
        engine: 0,
        model: model.into(),
        wanted: wanted.into(),
    }
}

fn order_counts_from_its_sending() {
    let mut tracker = reported();
    tracker.order_sent(later(1), fetch("m1"));
    let state = state(&mut tracker, later(2));
    assert_eq!(state.loading.as_deref(), Some("m1"));
    assert!(state.fetching);
    assert!(state.order_pending);
}

fn refused_order_counts_no_more() {
    let mut tracker = reported();
    tracker.order_sent(later(1), fetch("m1"));
    tracker.order_conflicted(later(3));
    let state = state(&mut tracker, later(4));
    assert_eq!(state.loading, None);
    assert!(!state.fetching);
}

fn unanswered_order_counts_until_a_report() {
    let mut tracker = reported();
    tracker.order_sent(later(1), fetch("m1"));
    tracker.order_unanswered(later(700));
    assert!(state(&mut tracker, later(701)).fetching);
    tracker.report_requested(later(1000));
    tracker.report_received(later(1000), later(1001), Report::default());
    let state = state(&mut tracker, later(1002));
    assert!(!state.fetching);
    assert!(!state.order_pending);
}

fn adapter_counts_from_its_sending() {
    let mut tracker = reported();
    let step = Step::LoadAdapter {
        engine: 0,
        model: "m1".into(),
        adapter: "a1".into(),
    };
    tracker.order_sent(later(1), step);
    let coming = state(&mut tracker, later(2)).held.loading_adapters;
    assert_eq!(coming, BTreeSet::from([("m1".into(), "a1".into())]));
}

fn room_is_kept_for_its_model() {
    let mut tracker = reported();
    let step = unload("m1", "m2");
    tracker.order_sent(later(1), step.clone());
    assert_eq!(
        state(&mut tracker, later(2)).making_room_for.as_deref(),
        Some("m2")
    );
    tracker.order_accepted(later(3), &step, Duration::ZERO, 1);
    // No order goes to it yet, so that a plan without one says nothing.
    tracker.not_planned(later(4));
    assert_eq!(
        state(&mut tracker, later(5)).making_room_for.as_deref(),
        Some("m2")
    );
}

fn room_is_given_up_when_a_plan_does_otherwise() {
    let mut tracker = reported();
    let step = unload("m1", "m2");
    tracker.order_sent(later(1), step.clone());
    tracker.order_accepted(later(3), &step, Duration::ZERO, 1);
    tracker.not_planned(later(500));
    assert_eq!(state(&mut tracker, later(501)).making_room_for, None);
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
