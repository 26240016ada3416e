//! Requests that can't be answered in time are refused on arrival, not at their deadline.

mod world;

use fireflywheel::{request, verdict};
use world::World;

fn world(slots: u32, load_ms: u64) -> World {
    let text = format!(
        "[serving]\ncold_start_weight = 1\n\n[class interactive]\ndeadline_ms = 5000\nin_flight = 1000\nqueue = 1000\n\n\
         [tenant t]\nin_flight = 1000\n\n\
         [group g]\nkind = engine\nfencing = checked\nmemory_mb = 20000\nslots = {slots}\n\n\
         [model m0]\ngroup = g\nversion = 1\nmemory_mb = 8000\nreplicas = 1\nload_ms = {load_ms}\nservice_ms = 100\n"
    );
    let mut world = World::new(11, 2).with_engines("g", 1, true);
    world.service_ms = 100;
    world.publish(0, &text);
    world.start_serving();
    world
}

/// Returns the refusal of a call if the call was refused at the moment of its arrival.
fn refusal_on_arrival(world: &World, call: usize) -> Option<&request::Refusal> {
    let call = &world.calls[call];
    match &call.ended {
        Some((at, world::End::Refused(refusal))) if *at == call.arrived => Some(refusal),
        _ => None,
    }
}

/// A caller requests a model that isn't loaded and can't wait for its load. If it were refused only at its
/// deadline, it would have lost the time to send the request elsewhere.
#[test]
fn call_is_refused_at_once_if_load_exceeds_deadline() {
    let mut world = world(16, 2_000);
    let call = world.request_model(0, "m0", 500);
    let refusal = refusal_on_arrival(&world, call).expect("the call should be refused on arrival");
    assert_eq!(refusal.verdict, verdict::Verdict::NotRun);
    assert!(
        refusal.retry_after.is_some(),
        "the refusal must say when to retry"
    );
    // The load continues for callers that retry.
    let loaded = world.run_until(5_000, |world| world.replicas("m0") == 1, |_| {});
    assert!(loaded);
}

/// More requests wait than can be served within the deadline of the newest one. That one must be refused at
/// once, and those before it must be served.
#[test]
fn call_is_refused_at_once_if_queue_exceeds_deadline() {
    let mut world = world(16, 100);
    world.request_model(0, "m0", 5_000);
    world.run(1_000, |_| {});
    let calls: Vec<usize> = (0..200)
        .map(|_| world.request_model(0, "m0", 600))
        .collect();
    let at_once = calls
        .iter()
        .filter(|call| refusal_on_arrival(&world, **call).is_some())
        .count();
    assert!(
        at_once >= 80,
        "only {at_once} of 200 calls were refused on arrival"
    );
    world.run(2_000, |_| {});
    let served = calls
        .iter()
        .filter(|call| matches!(world.calls[**call].ended, Some((_, world::End::Served))));
    assert!(
        served.count() >= 60,
        "slots stayed idle while requests waited"
    );
}
