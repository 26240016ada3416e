//! Which orders are sent, and that none overcommits an engine or asks the weight store for what a disk has.

mod world;

use std::collections::BTreeSet;
use std::time::Duration;

use arbtest::arbtest;
use fireflywheel::clock::Instant;
use fireflywheel::fleet::plan::{self, Step, Tier};
use smol_str::SmolStr;

use crate::cases;
use world::{NOW, World};

fn load(engine: usize, model: &str, tier: Tier) -> Step {
    Step::Load {
        engine,
        model: model.into(),
        tier,
    }
}

fn unload(engine: usize, model: &str, wanted: &str) -> Step {
    Step::Unload {
        engine,
        model: model.into(),
        wanted: wanted.into(),
    }
}

fn fetched(steps: &[Step]) -> usize {
    let from_store = |step: &&Step| {
        matches!(
            step,
            Step::Load {
                tier: Tier::Store,
                ..
            }
        )
    };
    steps.iter().filter(from_store).count()
}

fn wanted_model_comes_from_a_disk() {
    let world = World::new(3).all_on_disk(1).wanted("m3");
    assert!(world.steps().contains(&load(1, "m3", Tier::Disk)));
}

fn copy_on_a_busy_disk_is_waited_for() {
    let world = World::new(3).all_on_disk(1).busy(1).wanted("m3");
    assert_eq!(world.steps(), []);
}

fn least_wanted_model_makes_room() {
    let world = World::new(1)
        .all_on_disk(0)
        .holding(0, "m0")
        .holding(0, "m1")
        .rate("m0", 0.1)
        .rate("m1", 5.0)
        .wanted("m2");
    assert_eq!(world.steps(), [unload(0, "m0", "m2")]);
}

fn model_in_use_stays() {
    let world = World::new(1)
        .all_on_disk(0)
        .holding(0, "m0")
        .holding(0, "m1")
        .running(0, "m0", 1)
        .running(0, "m1", 1)
        .wanted("m2");
    assert_eq!(world.steps(), []);
}

fn model_that_others_wait_for_stays() {
    let world = World::new(1)
        .all_on_disk(0)
        .holding(0, "m0")
        .holding(0, "m1")
        .wanted("m0")
        .wanted("m1")
        .wanted("m2");
    assert_eq!(world.steps(), []);
}

fn room_is_made_once() {
    let world = World::new(2)
        .all_on_disk(0)
        .all_on_disk(1)
        .holding(0, "m0")
        .holding(1, "m1")
        .holding(1, "m2")
        .wanted("m3");
    let mut resting = world;
    resting.engines[0].making_room_for = Some("m3".into());
    resting.engines[0].order_pending = true;
    assert_eq!(resting.steps(), []);
    resting.engines[0].order_pending = false;
    assert_eq!(resting.steps(), [load(0, "m3", Tier::Disk)]);
}

fn room_for_a_load_from_the_store_counts_as_one() {
    let mut world = World::new(8).fetching(0, "m0").wanted("m2");
    world.fetches = 2;
    world.engines[1].making_room_for = Some("m3".into());
    assert_eq!(world.steps(), [load(1, "m3", Tier::Store)]);
}

fn few_loads_from_the_store_run_at_once() {
    let world = World::new(8).fetching(0, "m0").fetching(1, "m1");
    assert_eq!(fetched(&world.steps()), 2);
}

fn no_second_copy_from_the_store_while_a_model_has_none() {
    let mut world = World::new(3).holding(0, "m0").running(0, "m0", 50);
    let loads_m0 = |step: &&Step| matches!(step, Step::Load { model, .. } if model == "m0");
    world.config.slots = 64;
    assert_eq!(world.steps().iter().filter(loads_m0).count(), 0);
    let for_others = fetched(&world.steps());
    assert!(for_others > 0);
    // More than its engine runs at once: one copy comes, and the rest is for models that have none.
    world.config.slots = 8;
    assert_eq!(world.steps().iter().filter(loads_m0).count(), 1);
    assert_eq!(fetched(&world.steps()), for_others);
}

fn few_long_prompts_are_a_crowd_too() {
    let world = |millis| {
        let world = World::new(2).holding(0, "m1").all_on_disk(1);
        world.running(0, "m1", 4).pressure(0, millis)
    };
    let copy = Step::Load {
        engine: 1,
        model: "m1".into(),
        tier: Tier::Disk,
    };
    assert!(!world(100).steps().contains(&copy));
    assert!(world(600).steps().contains(&copy));
}

fn overwhelmed_engine_is_relieved_from_the_store() {
    let relieved = |millis| {
        let world = World::new(2).holding(0, "m1").running(0, "m1", 4);
        let mut world = world.pressure(0, millis);
        world.fetches = 1;
        let mut steps = world.steps().into_iter();
        steps.any(|step| matches!(step, Step::Load { engine: 1, model, .. } if model == "m1"))
    };
    assert!(!relieved(600), "models without a copy go first");
    assert!(relieved(2000));
}

fn crowd_goes_first_at_the_store() {
    let world = |running| {
        let world = World::new(3).holding(0, "m0").running(0, "m0", running);
        let mut world = world.wanted("m1").wanted("m0");
        world.fetches = 1;
        world.steps()
    };
    let fetches = |steps: &[Step], wanted: &str| {
        let mut steps = steps.iter();
        steps.any(
            |step| matches!(step, Step::Load { model, tier: Tier::Store, .. } if model == wanted),
        )
    };
    assert!(fetches(&world(7), "m1"), "the engine has a place free");
    assert!(fetches(&world(8), "m0"));
}

fn copy_from_the_store_is_no_reason_to_wait() {
    let crowd = || {
        World::new(4)
            .holding(0, "m0")
            .running(0, "m0", 50)
            .fetching(1, "m0")
    };
    assert!(
        crowd()
            .on_disk(2, "m0")
            .steps()
            .contains(&load(2, "m0", Tier::Disk))
    );
    let second = |step: &Step| matches!(step, Step::Load { model, .. } if model == "m0");
    assert!(
        !crowd().steps().iter().any(second),
        "one comes from the store"
    );
}

fn crowd_waits_for_a_busy_disk() {
    let crowd = World::new(3).holding(0, "m0").running(0, "m0", 50);
    let steps = crowd.on_disk(1, "m0").busy(1).steps();
    let second = |step: &Step| matches!(step, Step::Load { model, .. } if model == "m0");
    assert!(!steps.iter().any(second));
}

fn queue_of_full_engines_is_forecast() {
    let world = |running| {
        let mut world = World::new(1).holding(0, "m0").running(0, "m0", running);
        world.drains.insert("m0".into(), 10.0);
        let world = world.wanted("m0").wanted_adapter("m0", Some("a1"));
        plan::forecast(&world.view())
    };
    assert_eq!(world(8), [("m0".into(), Duration::from_millis(200))]);
    let beyond = [("m0".into(), Duration::from_millis(500))];
    assert_eq!(world(11), beyond, "three wait at the engine itself");
    assert_eq!(world(7), [], "a place is free");
}

fn no_forecast_while_a_copy_comes() {
    let mut world = World::new(2).holding(0, "m0").running(0, "m0", 8).busy(1);
    world.drains.insert("m0".into(), 10.0);
    world.engines[1].loading = Some("m0".into());
    let mut world = world.wanted("m0");
    assert_eq!(plan::forecast(&world.view()), []);
    world.engines[1].fetching = true;
    assert!(
        plan::forecast(&world.view())
            .iter()
            .any(|(model, _)| model == "m0")
    );
}

fn crowded_model_is_copied_from_a_disk() {
    let world = World::new(2)
        .all_on_disk(0)
        .all_on_disk(1)
        .holding(0, "m0")
        .running(0, "m0", 50);
    assert_eq!(world.steps(), [load(1, "m0", Tier::Disk)]);
}

fn one_order_for_each_engine() {
    let world = World::new(2)
        .all_on_disk(0)
        .all_on_disk(1)
        .wanted("m1")
        .wanted("m2")
        .wanted("m3");
    let engines: Vec<usize> = world.steps().iter().map(Step::engine).collect();
    assert_eq!(engines.len(), 2);
    assert_ne!(engines[0], engines[1]);
}

fn unusable_engine_gets_no_order() {
    let mut world = World::new(1).all_on_disk(0).wanted("m1");
    world.engines[0].usable = false;
    assert_eq!(world.steps(), []);
}

fn adapter_is_brought_where_its_model_is() {
    let world = World::new(2)
        .all_on_disk(0)
        .all_on_disk(1)
        .holding(1, "m0")
        .wanted_adapter("m0", Some("a1"));
    let expected = Step::LoadAdapter {
        engine: 1,
        model: "m0".into(),
        adapter: "a1".into(),
    };
    assert_eq!(world.steps(), [expected]);
}

fn idle_adapter_makes_room() {
    let mut world = World::new(1)
        .all_on_disk(0)
        .holding(0, "m0")
        .wanted_adapter("m0", Some("a3"));
    let adapters = world.engines[0]
        .held
        .models
        .get_mut("m0")
        .expect("it is held");
    adapters.extend([SmolStr::new("a1"), SmolStr::new("a2")]);
    let key = (SmolStr::new("m0"), Some(SmolStr::new("a1")));
    world.engines[0].running.insert(key, 1);
    let expected = Step::UnloadAdapter {
        engine: 0,
        model: "m0".into(),
        adapter: "a2".into(),
    };
    assert_eq!(world.steps(), [expected]);
}

fn forecast_counts_what_is_ahead_at_the_store() {
    let world = World::new(8)
        .fetching(0, "m8")
        .fetching(1, "m9")
        .fetching(2, "m7")
        .fetching(3, "m6")
        .on_disk(4, "m0")
        .wanted("m0")
        .wanted("m1");
    let expected = [(SmolStr::new("m1"), Duration::from_secs(12))];
    assert_eq!(plan::forecast(&world.view()), expected);
}

fn forecast_tells_when_a_running_load_ends() {
    let mut world = World::new(2).fetching(0, "m8").wanted("m8");
    world.engines[0].loading_since = Some(Instant(NOW.0 - 2000));
    let expected = [(SmolStr::new("m8"), Duration::from_secs(4))];
    assert_eq!(plan::forecast(&world.view()), expected);
}

/// Any state of the engines, any wants. No order may put more into an engine than it holds, go to an engine
/// that carries one out, unload what runs, or pass the weight store's limit.
fn any_plan_is_safe() {
    arbtest(|u| {
        let mut world = World::new(u.int_in_range(1..=5)?);
        let models: Vec<SmolStr> = world.config.models.keys().cloned().collect();
        for engine in 0..world.engines.len() {
            for _ in 0..u.int_in_range(0..=2)? {
                world = world.holding(engine, u.choose(&models)?);
            }
            if u.ratio(1, 4)? {
                world = world.fetching(engine, u.choose(&models)?);
            }
            for _ in 0..u.int_in_range(0..=4)? {
                world = world.on_disk(engine, u.choose(&models)?);
            }
            if u.ratio(1, 2)? {
                world = world.running(engine, u.choose(&models)?, u.int_in_range(0..=40)?);
            }
            world.engines[engine].order_pending = u.ratio(1, 5)?;
            world.engines[engine].usable = u.ratio(4, 5)?;
        }
        for _ in 0..u.int_in_range(0..=6)? {
            world = world.wanted(u.choose(&models)?);
        }
        let steps = world.steps();
        let already = world
            .engines
            .iter()
            .filter(|engine| engine.fetching)
            .count();
        assert!(fetched(&steps) == 0 || already + fetched(&steps) <= world.fetches);
        let mut ordered = BTreeSet::new();
        for step in &steps {
            assert!(ordered.insert(step.engine()), "two orders for one engine");
            check(&world, step);
        }
        Ok(())
    });
}

fn check(world: &World, step: &Step) {
    let engine = &world.engines[step.engine()];
    assert!(
        engine.usable && !engine.order_pending && !engine.held.busy,
        "{step:?}"
    );
    match step {
        Step::Load { model, .. } => {
            let used = 40.0 * (engine.held.models.len() + 1) as f64;
            assert!(used <= world.config.memory_mb, "{step:?}");
            assert!(!engine.held.models.contains_key(model));
        }
        Step::Unload { model, .. } => {
            let running = engine
                .running
                .get(&(model.clone(), None))
                .copied()
                .unwrap_or_default();
            assert_eq!(running, 0, "{step:?}");
        }
        Step::LoadAdapter { .. } | Step::UnloadAdapter { .. } => {}
    }
}

fn overloaded_engine(rate: f64, expected: &[Step]) {
    let world = World::new(2)
        .holding(0, "m0")
        .limited(0, 2.0)
        .all_on_disk(1)
        .rate("m0", rate)
        .wanted("m0");
    assert_eq!(world.steps(), expected);
}

fn load_beside_an_overloaded_engine() {
    let world = World::new(2).on_disk(0, "m0").on_disk(1, "m0");
    let world = world.limited(0, 2.0).rate("m1", 1.0).wanted("m0");
    let wanted = load(1, "m0", Tier::Disk);
    assert_eq!(world.steps().first(), Some(&wanted));
}

cases! {
    /// Callers of a model would wait for an engine that takes fewer requests than they send.
    copy_beside_an_overloaded_engine => overloaded_engine(5.0, &[load(1, "m0", Tier::Disk)]);
    /// An engine that takes all requests of its models needs no second copy.
    overloaded_engine_that_is_enough => overloaded_engine(1.0, &[]);
    /// A load would take what little the engine can still do.
    no_load_to_an_overloaded_engine => load_beside_an_overloaded_engine();
    /// The weight store takes six seconds and is shared by all; a disk takes one.
    disk_before_store => wanted_model_comes_from_a_disk();
    /// The only disk with a copy belongs to an engine that is busy for a second. A load from the store would
    /// keep another engine busy for six, and the store from a model that has no copy at all.
    busy_disk_before_store => copy_on_a_busy_disk_is_waited_for();
    /// Room is made. If the model that most ask for went, its callers would wait at once.
    eviction_by_rate => least_wanted_model_makes_room();
    /// An unload waits for its runs, and the engine takes no other order meanwhile.
    no_eviction_in_use => model_in_use_stays();
    /// Requests wait for three models where two fit. If they pushed each other out, none would ever be served.
    no_thrashing => model_that_others_wait_for_stays();
    /// An engine rests after an unload, while the model that it makes room for is still waited for.
    swap_begun_is_finished => room_is_made_once();
    /// Two loads may run at the weight store, and one engine has yet to make room for the second.
    store_limit_with_room => room_for_a_load_from_the_store_counts_as_one();
    /// More loads at once are each slower in proportion, and keep more engines from swapping.
    store_limit => few_loads_from_the_store_run_at_once();
    /// A busy model calls for copies while others are nowhere; their callers would never be served. Only when its engines
    /// are full it gets one, and the others still get the rest.
    store_for_the_homeless => no_second_copy_from_the_store_while_a_model_has_none();
    /// Requests crowd on one copy, and each makes all others of its batch slower.
    copies_for_crowds => crowded_model_is_copied_from_a_disk();
    /// Demand moves to a model with one copy. A few long prompts keep its engine reading for as long as their callers
    /// wait; counted as requests they are no crowd, and all of them would come late.
    copies_for_long_prompts => few_long_prompts_are_a_crowd_too();
    /// The same while other models have no copy, which nobody asks for. If these went first, the callers of the one
    /// in demand would be late or refused for as long as that takes, which may be ten seconds and more.
    store_for_the_overwhelmed => overwhelmed_engine_is_relieved_from_the_store();
    /// A model becomes popular whose only copy is full, and no other disk has it. Behind loads of models that one caller
    /// asks for now and then, its copy came ten seconds later, and of thirty callers a second half were refused until then.
    store_for_the_crowd => crowd_goes_first_at_the_store();
    /// A crowd's next copy comes from the store, ten seconds away, when an engine with one on its disk becomes free.
    disks_beside_the_store => copy_from_the_store_is_no_reason_to_wait();
    /// The engine that has a copy on its disk is busy for half a second. Fetched elsewhere, it would come ten seconds later.
    crowd_and_busy_disk => crowd_waits_for_a_busy_disk();
    /// More come for a model than its engines can run. A caller that waits in vain learns that only when it is too late.
    forecast_of_a_queue => queue_of_full_engines_is_forecast();
    /// A copy comes from a disk within a second: sent away now, callers would miss it.
    no_forecast_before_a_copy => no_forecast_while_a_copy_comes();
    /// An engine refuses an order while it carries out another.
    one_order_at_a_time => one_order_for_each_engine();
    /// An engine that leaves would take a model with it.
    leaving_engine => unusable_engine_gets_no_order();
    /// An adapter without its model is an order that doesn't exist.
    adapter_beside_its_model => adapter_is_brought_where_its_model_is();
    /// All places for adapters are taken, one of them by a running request.
    adapter_room => idle_adapter_makes_room();
    /// A caller is told when to come back; a time that leaves out those ahead brings it back too early.
    forecast => forecast_counts_what_is_ahead_at_the_store();
    /// A model comes from the weight store, which takes longer than its callers can wait. Not told, they would wait in
    /// vain and be refused only when it is too late to ask elsewhere.
    forecast_of_a_running_load => forecast_tells_when_a_running_load_ends();
    /// Any state of the engines.
    any_state => any_plan_is_safe();
}
