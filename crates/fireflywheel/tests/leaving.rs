//! Backend servers that refuse requests because they are leaving, while the platform's list goes on naming them as live.

mod world;

use fireflywheel::request;
use smol_str::{SmolStr, format_smolstr};
use world::World;

const FIRST: &str = "10.0.0.0:80";
const SECOND: &str = "10.0.0.1:80";
/// The time between two requests. The list is read several times while they are sent, and all of them are sent within
/// the time for which a refusal counts.
const REQUEST_INTERVAL_MS: u64 = 50;
const REQUESTS: usize = 60;

fn world() -> World {
    let text = "[serving]\n[class interactive]\nin_flight = 1000\nqueue = 1000\n\n[tenant t]\nin_flight = 1000\n\n\
                [group s]\nkind = service\nslots = 16\n\n[route look]\nprefix = /look\ngroup = s\nclass = interactive\n";
    let mut world = World::new(5, 1).with_engines("s", 2, false);
    world.service_ms = 10;
    world.publish(0, text);
    world.start();
    let is_ready = world.run_until(3_000, World::ready, |_| {});
    let why = world.instances[0]
        .node
        .as_ref()
        .map(fireflywheel::node::Node::check_ready);
    assert!(is_ready, "not ready after 3 s: {why:?}");
    world
}

fn engine<'a>(world: &'a mut World, address: &str) -> &'a mut world::engine::Engine {
    world.engines.get_mut(address).expect("the server exists")
}

/// Sends requests at an interval.
fn send_requests(world: &mut World) {
    for number in 0..REQUESTS {
        let target = request::Target::Path {
            method: SmolStr::new_static("GET"),
            path: SmolStr::new_static("/look"),
        };
        let id = format_smolstr!("r{}-{number}", world.calls.len());
        world.call(0, world::arrival(id, target, 1_000));
        world.run(REQUEST_INTERVAL_MS, |_| {});
    }
}

/// A service refuses a request because it is leaving, and the list, which lags, still names it as live. Each reading of
/// the list would bring it back, and one more request would be sent there to be refused.
#[test]
fn list_does_not_bring_a_leaving_service_back() {
    let mut world = world();
    engine(&mut world, FIRST).leaving = true;
    send_requests(&mut world);
    assert_eq!(world.engines[FIRST].refused_as_leaving, 1);
    assert_eq!(world.engines[SECOND].runs.len(), REQUESTS);
}

/// A service has left, and another process is live at its address. It must be used once the list has named the address
/// as leaving or not at all.
#[test]
fn service_that_returns_is_used() {
    let mut world = world();
    engine(&mut world, FIRST).leaving = true;
    send_requests(&mut world);
    let entry = world.listed.remove(FIRST).expect("it is listed");
    world.run(3_000, |_| {});
    engine(&mut world, FIRST).leaving = false;
    world.listed.insert(SmolStr::new_static(FIRST), entry);
    world.run(3_000, |_| {});
    send_requests(&mut world);
    assert!(!world.engines[FIRST].runs.is_empty());
}

/// An engine refuses a request because it is leaving, ends, and starts again at its address before the list has noticed.
/// Its reports fail in between. The refusal of the process before must not keep the new one out of use.
#[test]
fn engine_that_starts_again_is_used_at_once() {
    let text = "[serving]\ncold_start_weight = 1\n\n[class interactive]\nin_flight = 1000\nqueue = 1000\n\n\
                [tenant t]\nin_flight = 1000\n\n[group g]\nkind = engine\nfencing = checked\nmemory_mb = 20000\nslots = 16\n\n\
                [model m0]\ngroup = g\nversion = 1\nmemory_mb = 8000\nreplicas = 1\nload_ms = 100\nservice_ms = 100\n";
    let mut world = World::new(11, 2).with_engines("g", 1, true);
    world.publish(0, text);
    world.start_serving();
    world.request_model(0, "m0", 2_000);
    assert!(world.run_until(2_000, |world| world.replicas("m0") == 1, |_| {}));
    world.run(500, |_| {});
    engine(&mut world, FIRST).leaving = true;
    // Before a report says so, a request is refused.
    world.request_model(0, "m0", 2_000);
    world.run(20, |_| {});
    assert_eq!(world.engines[FIRST].refused_as_leaving, 1);
    engine(&mut world, FIRST).frozen = true;
    world.run(500, |_| {});
    engine(&mut world, FIRST).restart();
    engine(&mut world, FIRST).leaving = false;
    engine(&mut world, FIRST).queued_orders.clear();
    world.unfreeze(FIRST);
    // Shorter than the time for which a refusal counts without a sign of another process.
    world.run(1_000, |_| {});
    let call = world.request_model(0, "m0", 1_500);
    world.run(1_500, |_| {});
    let ended = &world.calls[call].ended;
    assert!(matches!(ended, Some((_, world::End::Served))), "{ended:?}");
}
