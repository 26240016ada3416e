//! Claims on idempotency keys that reach the log after their requests were refused.

mod world;

use fireflywheel::{request, verdict};
use smol_str::{SmolStr, format_smolstr};
use world::World;

/// The time after which a request whose claim can't be read back is refused, and some more.
const OUTAGE_MS: u64 = 1_500;
/// Records that other claims add, so that a peer's state is worth requesting.
const OTHER_BOOKINGS: usize = 40;

fn world() -> World {
    let text = "[serving]\n[class interactive]\nin_flight = 1000\nqueue = 1000\n\n[tenant t]\nin_flight = 1000\n\n\
                [group s]\nkind = service\nslots = 16\n\n[route book]\nprefix = /book\ngroup = s\nclass = interactive\n";
    let mut world = World::new(9, 2).with_engines("s", 1, false);
    world.service_ms = 10;
    world.publish(0, text);
    world.start();
    let is_ready = world.run_until(3_000, World::ready, |_| {});
    assert!(is_ready, "not ready after 3 s");
    world
}

/// Sends a booking with a key to an instance.
fn book(world: &mut World, index: usize, key: &str) -> usize {
    let target = request::Target::Path {
        method: SmolStr::new_static("POST"),
        path: SmolStr::new_static("/book"),
    };
    let id = format_smolstr!("r{}", world.calls.len());
    let mut arrival = world::arrival(id, target, 3_000);
    arrival.key = Some(SmolStr::new(key));
    world.call(index, arrival)
}

/// The answer of the log to a claim is lost, and the instance can't read the log. Its caller is told that the booking has
/// not run. The instance then learns of its own claim from a peer's state, without reading the record. If it did not
/// settle the claim, the booking could never be made again with its key.
#[test]
fn claim_that_a_peers_state_contains_is_settled() {
    let mut world = world();
    let refused = book(&mut world, 1, "k1");
    world.log.answers_to_lose = 1;
    world.instances[1].cut_log_reads = true;
    world.disconnect(1, true, false);
    world.run(OUTAGE_MS, |_| {});
    let end = world.calls[refused].ended.clone();
    let Some((_, world::End::Refused(refusal))) = end else {
        panic!("the booking ended otherwise: {end:?}");
    };
    assert_eq!(refusal.verdict, verdict::Verdict::NotRun);
    world.disconnect(1, false, false);
    for number in 0..OTHER_BOOKINGS {
        book(&mut world, 0, &format!("other{number}"));
        world.run(50, |_| {});
    }
    world.run(OUTAGE_MS, |_| {});
    world.instances[1].cut_log_reads = false;
    world.run(OUTAGE_MS, |_| {});
    let again = book(&mut world, 0, "k1");
    world.run(OUTAGE_MS, |_| {});
    let end = world.calls[again].ended.clone();
    assert!(matches!(end, Some((_, world::End::Served))), "{end:?}");
}
