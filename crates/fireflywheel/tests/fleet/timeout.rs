//! How long a request is kept, and when it should come back.

use std::time::Duration;

use fireflywheel::fleet::config::{Kind, Route};
use fireflywheel::fleet::timeout;

use crate::cases;

const fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn route(kind: Kind, objective: u64, pause: Option<u64>) -> Route {
    Route {
        name: "r".into(),
        host: "h".into(),
        prefix: "/".into(),
        kind,
        timeout: millis(20_000),
        objective: millis(objective),
        max_event_gap: pause.map(millis),
        rank: 0,
        targets: Vec::new(),
        attempts: 1,
        allow_anonymous: false,
    }
}

fn first_byte(kind: Kind, objective: u64, pause: Option<u64>, deadline: u64, expected: u64) {
    let route = route(kind, objective, pause);
    assert_eq!(
        timeout::first_byte(&route, millis(deadline)),
        millis(expected)
    );
}

fn retry_after(wait: u64, left: u64, expected: u64) {
    assert_eq!(
        timeout::retry_after(millis(wait), millis(left), 0.0),
        millis(expected)
    );
}

fn callers_are_spread() {
    let waits = [0.0, 0.5, 1.0].map(|draw| timeout::retry_after(millis(1000), millis(9000), draw));
    assert_eq!(waits, [millis(1000), millis(1125), millis(1250)]);
}

fn outage(lasted: u64, expected: u64) {
    assert_eq!(timeout::remaining_outage(millis(lasted)), millis(expected));
}

cases! {
    /// Callers that were refused together come back together, and most are refused again.
    no_wave => callers_are_spread();
    /// An instance has just started, and will know its configuration in a moment.
    just_started => outage(10, 300);
    /// The store is silent after a start. Callers come back once; asked back within moments, all of them would use that up
    /// while it is still silent.
    long_outage => outage(1000, 4000);
    /// A caller of a plain service waits for its deadline.
    plain_service => first_byte(Kind::Once, 100, None, 600, 600);
    /// The route's time ends before the caller's.
    route_s_time => first_byte(Kind::Once, 100, None, 60_000, 20_000);
    /// A caller of a stream leaves after four objectives.
    by_objective => first_byte(Kind::Stream, 2500, Some(400), 20_000, 10_000);
    /// Or after eight pauses, where those are longer.
    by_pause => first_byte(Kind::Stream, 600, Some(400), 20_000, 3200);
    /// Or after two seconds.
    at_least => first_byte(Kind::Resumable, 100, None, 20_000, 2000);
    /// Its deadline comes first.
    stream_deadline => first_byte(Kind::Stream, 2500, None, 1500, 1500);
    /// What is ready in a second is worth coming back for then.
    when_ready => retry_after(1000, 9000, 1000);
    /// Callers come back within a third of what they have left.
    within_reach => retry_after(8000, 9000, 3000);
    /// A crowd that is sent away for no time comes back at once.
    not_at_once => retry_after(0, 9000, 50);
}
