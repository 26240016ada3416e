//! Tests of plans and forecasts for streams that only engines of one software version can go on with.

use std::collections::BTreeMap;
use std::time::Duration;

use arbtest::arbtest;
use fireflywheel::clock::Instant;
use fireflywheel::fleet::plan::{self, Step, Tier, VersionForecast};
use smol_str::SmolStr;

use super::world::{NOW, World};
use super::{check_step, count_fetches, load, unload};
use crate::cases;

/// Creates engines of these versions.
fn world(versions: &[&str]) -> World {
    let mut world = World::new(versions.len());
    for (engine, version) in world.engines.iter_mut().zip(versions) {
        engine.version = Some(SmolStr::new(version));
    }
    world
}

fn loads(world: &World, name: &str) -> Vec<Step> {
    let steps = world.steps().into_iter();
    steps
        .filter(|step| matches!(step, Step::Load { model, .. } if model == name))
        .collect()
}

fn check_load(world: &World, expected: &[Step]) {
    assert_eq!(loads(world, "m0"), expected);
}

fn stream_of(world: World) -> World {
    world.pending_version("m0", None, Some("v1"))
}

fn copy_at_other_version_does_not_count() {
    let world = world(&["v2", "v2", "v1"]).holding(0, "m0");
    let world = stream_of(world.all_on_disk(1).all_on_disk(2));
    check_load(&world, &[load(2, "m0", Tier::Disk)]);
}

fn disk_of_other_version_does_not_count() {
    let world = stream_of(world(&["v2", "v1"]).all_on_disk(0));
    check_load(&world, &[load(1, "m0", Tier::WeightStore)]);
}

fn disk_of_the_version_is_preferred_and_waited_for() {
    let world = stream_of(world(&["v1", "v1"]).all_on_disk(1));
    check_load(&world, &[load(1, "m0", Tier::Disk)]);
    check_load(&world.busy(1), &[]);
}

fn load_at_the_version_is_waited_for() {
    let world = stream_of(world(&["v1", "v1", "v2"]).fetching(0, "m0"));
    check_load(&world, &[]);
}

fn load_at_other_version_does_not_count() {
    let world = stream_of(world(&["v2", "v1"]).fetching(0, "m0"));
    check_load(&world, &[load(1, "m0", Tier::WeightStore)]);
}

fn store_limit_holds() {
    let mut world = stream_of(world(&["v1", "v1", "v2"])).fetching(2, "m9");
    world.max_fetches = 1;
    check_load(&world, &[]);
}

fn nothing_is_loaded_at_other_versions() {
    let world = world(&["v2", "v3"]).all_on_disk(0).all_on_disk(1);
    let mut world = stream_of(world);
    assert_eq!(world.steps(), []);
    // An engine that is about to stop can't help, nor one of an unknown version.
    world.engines[0].version = Some("v1".into());
    world.engines[0].usable = false;
    world.engines[1].version = None;
    assert_eq!(world.steps(), []);
}

fn waiting_streams_are_no_reason_for_other_copies() {
    let world = world(&["v2", "v2"]).holding(0, "m0").all_on_disk(1);
    let mut world = stream_of(world);
    world.pending[0].waiting = 100;
    assert_eq!(world.steps(), []);
}

fn one_load_serves_all() {
    let world = world(&["v2", "v1"]).all_on_disk(0).all_on_disk(1);
    let world = stream_of(world.pending("m0"));
    check_load(&world, &[load(1, "m0", Tier::Disk)]);
}

fn one_load_relieves_all() {
    let world = world(&["v1", "v2", "v1"]).holding(0, "m0");
    let world = world.running(0, "m0", 20).all_on_disk(1).all_on_disk(2);
    let world = stream_of(world.pending("m0"));
    check_load(&world, &[load(2, "m0", Tier::Disk)]);
}

fn new_requests_do_not_wait_for_the_store() {
    let world = || world(&["v2", "v1"]).all_on_disk(0).pending("m0");
    let both = [load(1, "m0", Tier::WeightStore), load(0, "m0", Tier::Disk)];
    check_load(&stream_of(world()), &both);
    check_load(
        &stream_of(world().fetching(1, "m0")),
        &[load(0, "m0", Tier::Disk)],
    );
}

fn full_engines_of_the_version_are_relieved() {
    let world = |running| {
        let world = world(&["v1", "v2", "v1"]).holding(0, "m0").holding(1, "m0");
        stream_of(world.running(0, "m0", running).on_disk(2, "m0"))
    };
    check_load(&world(7), &[]);
    check_load(&world(8), &[load(2, "m0", Tier::Disk)]);
}

fn check_eviction(is_needed: bool) {
    let world = world(&["v1", "v2"]).all_on_disk(0).holding(0, "m0");
    let world = world.holding(0, "m1").holding(1, "m0").busy(1);
    let mut world = world.rate("m0", 0.1).rate("m1", 5.0).pending("m2");
    if is_needed {
        world = stream_of(world);
    }
    let evicted = if is_needed { "m1" } else { "m0" };
    assert_eq!(world.steps(), [unload(0, evicted, "m2")]);
}

fn room_is_made_at_the_version() {
    let world = world(&["v2", "v1"]).all_on_disk(0).all_on_disk(1);
    let world = stream_of(world.holding(1, "m1").holding(1, "m2").rate("m2", 1.0));
    assert_eq!(world.steps(), [unload(1, "m1", "m0")]);
    let mut swapping = world;
    swapping.engines[1].held.models.remove("m1");
    swapping.engines[1].making_room_for = Some("m0".into());
    swapping.engines[1].order_pending = true;
    assert_eq!(swapping.steps(), []);
    swapping.engines[1].order_pending = false;
    assert_eq!(swapping.steps(), [load(1, "m0", Tier::Disk)]);
}

fn adapter_is_loaded_at_the_version() {
    let world = world(&["v2", "v1"]).all_on_disk(0).all_on_disk(1);
    let mut world = world.holding(0, "m0").holding(1, "m0");
    let adapters = world.engines[0].held.models.get_mut("m0");
    adapters
        .expect("the engine holds m0")
        .insert(SmolStr::new("a1"));
    let expected = Step::LoadAdapter {
        engine: 1,
        model: "m0".into(),
        adapter: "a1".into(),
    };
    let world = world.pending_version("m0", Some("a1"), Some("v1"));
    assert_eq!(world.steps(), [expected]);
}

fn one_adapter_load_serves_all() {
    let world = world(&["v2", "v1"]).all_on_disk(0).all_on_disk(1);
    let world = world.holding(0, "m0").holding(1, "m0");
    let world = world.pending_adapter("m0", Some("a1"));
    let world = world.pending_version("m0", Some("a1"), Some("v1"));
    let expected = Step::LoadAdapter {
        engine: 1,
        model: "m0".into(),
        adapter: "a1".into(),
    };
    assert_eq!(world.steps(), [expected]);
}

fn check_forecast(world: &World, expected: Option<Option<u64>>) {
    let forecasts = expected.map(|wait_ms| VersionForecast {
        model: "m0".into(),
        version: "v1".into(),
        wait: wait_ms.map(Duration::from_millis),
    });
    let forecasts: Vec<VersionForecast> = forecasts.into_iter().collect();
    assert_eq!(plan::version_forecasts(&world.view()), forecasts);
}

fn no_engine_of_the_version_is_there() {
    let world = world(&["v2", "v1"]).holding(0, "m0");
    let mut world = stream_of(world);
    world.engines[1].usable = false;
    check_forecast(&world, Some(None));
    let with_adapter = world.pending_version("m0", Some("a1"), Some("v1"));
    check_forecast(&with_adapter, Some(None));
}

fn store_load_at_the_version() {
    let world = || world(&["v1", "v2"]).holding(1, "m0");
    check_forecast(&stream_of(world()), Some(Some(6000)));
    let mut fetching = stream_of(world().fetching(0, "m0"));
    fetching.engines[0].loading_since = Some(Instant(NOW.0 - 2000));
    check_forecast(&fetching, Some(Some(4000)));
    check_forecast(&stream_of(world().on_disk(0, "m0")), None);
    check_forecast(&stream_of(world().holding(0, "m0")), None);
}

fn queue_of_the_version() {
    let world = |running| {
        let world = world(&["v1", "v2"]).holding(0, "m0").holding(1, "m0");
        let mut world = stream_of(world.running(0, "m0", running));
        world.drain_rates = BTreeMap::from([("m0".into(), 10.0)]);
        world
    };
    // Half of the engines that hold the model are of the version, and so is half of the rate.
    check_forecast(&world(8), Some(Some(200)));
    check_forecast(&world(10), Some(Some(600)));
    check_forecast(&world(7), None);
}

fn forecasts_for_others_stay() {
    let world = stream_of(world(&["v2", "v1"]).fetching(0, "m9"));
    assert_eq!(plan::forecast(&world.view()), []);
    let expected = [("m0".into(), Duration::from_secs(6))];
    assert_eq!(plan::forecast(&world.pending("m0").view()), expected);
}

/// Plans from arbitrary states with streams of several versions. The limits are those of other plans, no model that a
/// stream waits for is unloaded at its version while no other copy is there, and without prefetches a model that only
/// streams wait for is loaded at their versions alone.
fn plans_with_streams_are_safe() {
    const VERSIONS: [&str; 3] = ["v1", "v2", "v3"];
    arbtest(|u| {
        let engines = u.int_in_range(1..=6)?;
        let mut versions = Vec::new();
        for _ in 0..engines {
            versions.push(*u.choose(&VERSIONS)?);
        }
        let mut world = world(&versions);
        let models: Vec<SmolStr> = world.config.models.keys().cloned().collect();
        for engine in 0..engines {
            for _ in 0..u.int_in_range(0..=2)? {
                world = world.holding(engine, u.choose(&models)?);
            }
            if u.ratio(1, 4)? {
                world = world.fetching(engine, u.choose(&models)?);
            }
            for _ in 0..u.int_in_range(0..=4)? {
                world = world.on_disk(engine, u.choose(&models)?);
            }
            world.engines[engine].order_pending = u.ratio(1, 5)?;
            world.engines[engine].usable = u.ratio(4, 5)?;
        }
        for _ in 0..u.int_in_range(1..=6)? {
            let version = u.ratio(2, 3)?.then_some(*u.choose(&VERSIONS)?);
            world = world.pending_version(u.choose(&models)?, None, version);
        }
        let steps = world.steps();
        let fetching = world.engines.iter().filter(|engine| engine.fetching);
        let fetches = count_fetches(&steps);
        assert!(fetches == 0 || fetching.count() + fetches <= world.max_fetches);
        for (number, step) in steps.iter().enumerate() {
            let before = &steps[..number];
            assert!(before.iter().all(|other| other.engine() != step.engine()));
            check_step(&world, step);
            check_version(&world, step);
        }
        Ok(())
    });
}

fn check_version(world: &World, step: &Step) {
    let engine = &world.engines[step.engine()];
    let is_wanted = |model: &SmolStr| {
        let mut pending = world.pending.iter();
        pending.any(|pending| pending.model == *model && pending.version == engine.version)
    };
    match step {
        Step::Unload { model, .. } if is_wanted(model) => {
            let others = world.engines.iter().filter(|other| {
                other.usable
                    && other.version == engine.version
                    && other.held.models.contains_key(model)
            });
            assert!(others.count() > 1, "{step:?}");
        }
        Step::Load {
            model,
            tier: Tier::Disk,
            ..
        } => {
            let mut pending = world.pending.iter();
            let is_open = pending.any(|one| one.model == *model && one.version.is_none());
            let is_swapped_in = engine.making_room_for.is_some();
            assert!(is_wanted(model) || is_open || is_swapped_in, "{step:?}");
        }
        _ => {}
    }
}

cases! {
    /// Guards against streams that wait beside a copy of their model at another version.
    copy_at_another_version_is_not_enough => copy_at_other_version_does_not_count();
    /// Guards against streams that wait for a disk which only another version can use.
    disk_of_another_version_is_not_waited_for => disk_of_other_version_does_not_count();
    /// Guards against loads from the weight store though an engine of the version has the model on its disk.
    disk_of_the_version_is_preferred => disk_of_the_version_is_preferred_and_waited_for();
    /// Guards against a second load at the same version.
    stream_waits_for_load_at_its_version => load_at_the_version_is_waited_for();
    /// Guards against streams that wait for a load at another version.
    load_at_another_version_is_not_waited_for => load_at_other_version_does_not_count();
    /// Guards against streams for which more is loaded from the weight store than it can run.
    store_limit_holds_for_streams => store_limit_holds();
    /// Guards against loads that no waiting stream can use.
    model_of_a_stream_is_loaded_at_no_other_version => nothing_is_loaded_at_other_versions();
    /// Guards against copies at other versions for streams that can't use them.
    streams_do_not_make_other_versions_hot => waiting_streams_are_no_reason_for_other_copies();
    /// Guards against two loads where one at the version of the streams would do for new requests as well.
    load_at_the_version_serves_new_requests => one_load_serves_all();
    /// Guards against the same where all engines that hold the model are full.
    copy_at_the_version_relieves_full_engines => one_load_relieves_all();
    /// Guards against new requests that wait for the weight store while another version has the model on a disk.
    load_from_store_for_streams_delays_no_new_requests => new_requests_do_not_wait_for_the_store();
    /// Guards against streams that wait at full engines of their version while another version has room.
    full_version_gets_a_copy => full_engines_of_the_version_are_relieved();
    /// Guards against an eviction of the last copy at the version of waiting streams.
    last_copy_at_the_version_stays => check_eviction(true);
    /// Guards against copies that are kept though no stream waits for their version.
    copy_at_a_version_without_streams_is_evicted => check_eviction(false);
    /// Guards against streams whose model doesn't fit beside what engines of their version hold.
    room_is_made_at_the_version_of_streams => room_is_made_at_the_version();
    /// Guards against streams whose adapter only another version holds.
    adapter_of_a_stream_is_loaded_at_its_version => adapter_is_loaded_at_the_version();
    /// Guards against two loads of an adapter where one would do.
    adapter_load_at_the_version_serves_new_requests => one_adapter_load_serves_all();
    /// Guards against streams that wait though no engine of their version is there.
    forecast_says_that_no_engine_is_there => no_engine_of_the_version_is_there();
    /// Guards against streams that wait in vain for the weight store because another version holds the model.
    forecast_covers_store_load_at_the_version => store_load_at_the_version();
    /// Guards against streams that wait in vain for full engines of their version because another one has room.
    forecast_covers_queue_of_the_version => queue_of_the_version();
    /// Guards against new requests that are told the waits of streams.
    forecast_for_new_requests_ignores_streams => forecasts_for_others_stay();
    /// Guards against plans that exceed limits or evict what streams need.
    arbitrary_states_with_streams => plans_with_streams_are_safe();
}
