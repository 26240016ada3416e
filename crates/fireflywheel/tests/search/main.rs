//! A random search for sequences of events in which more is loaded than operators allow.
//!
//! A run draws steps from a seeded source. Instances read, append, become stewards, open intents, send orders and
//! close intents, each based on what it has read, however old. The network delays, repeats and loses orders and
//! answers. Appends are stored late. Engines and instances restart. An operator changes caps, versions and memory. The
//! ledger is the real one, and the limits are checked after every step. With all rules enabled, no run may exceed a
//! limit. With any one rule disabled, some run does, which shows that the rule is necessary.

#![expect(
    clippy::unwrap_used,
    reason = "test helpers, which the linter does not recognize as test code"
)]

mod actor;
mod world;

use arbitrary::Unstructured;
use rand::{RngCore as _, SeedableRng as _, rngs};

use world::{Engines, Rule, World};

/// The number of runs of each case with all rules enabled.
const RUN_COUNT: u64 = 2000;

/// The number of random bytes from which a run draws its steps.
const RANDOM_BYTES: usize = 5000;

/// One step of a run.
#[derive(Clone, Copy)]
enum Step {
    Publish,
    RestartServer,
    RestartInstance,
    BecomeSteward,
    ReleaseGone,
    TimeOut,
    Grant,
    Withdraw,
    Append,
    Send,
    Deliver,
    Answer,
    LateAppend,
    ReadOne,
    ReadAll,
    /// Append a record and read it back.
    AppendAndRead,
    /// Send an order and receive its answer, unless the answer is lost.
    SendAndAnswer,
}

/// The weight of each step, and the factors from which a run draws to vary it: a run with few takeovers reaches
/// sequences of events that a run with many takeovers never reaches, and the other way round.
const STEP_WEIGHTS: [(Step, u32, &[u32]); 17] = [
    (Step::Publish, 4, &[0, 1, 4]),
    (Step::RestartServer, 8, &[0, 1, 4]),
    (Step::RestartInstance, 1, &[0, 1, 4]),
    (Step::BecomeSteward, 4, &[0, 1, 3]),
    (Step::ReleaseGone, 40, &[0, 1]),
    (Step::TimeOut, 20, &[1, 2, 4]),
    (Step::Grant, 70, &[1]),
    (Step::Withdraw, 60, &[1]),
    (Step::Append, 80, &[1]),
    (Step::Send, 100, &[1]),
    (Step::Deliver, 80, &[1, 2]),
    (Step::Answer, 70, &[1, 2]),
    (Step::LateAppend, 6, &[0, 1]),
    (Step::ReadOne, 20, &[0, 1, 4]),
    (Step::ReadAll, 60, &[1]),
    (Step::AppendAndRead, 120, &[1]),
    (Step::SendAndAnswer, 100, &[1]),
];

/// Executes one run, and returns the violated limit and the step at which it was violated.
fn run(engines: Engines, disabled: Option<Rule>, seed: u64) -> Result<(), String> {
    let mut bytes = vec![0; RANDOM_BYTES];
    rngs::StdRng::seed_from_u64(seed).fill_bytes(&mut bytes);
    let mut u = Unstructured::new(&bytes);
    let mut world = World::new(engines, disabled);
    world.publish(&mut u)?;
    let names = ["x", "y", "z"];
    let mut actors = names.map(|name| actor::Actor::new(name, 1_700_000_000_000, &world));
    for group in ["a", "b"] {
        actors[0].become_steward(&world, group);
    }
    let mut weighted_steps = Vec::new();
    for (step, weight, factors) in STEP_WEIGHTS {
        let factor = *u.choose(factors).unwrap_or(&1);
        weighted_steps.extend(std::iter::repeat_n(step, (weight * factor) as usize));
    }
    let mut number = 0;
    while !u.is_empty() {
        number += 1;
        let step = *u.choose(&weighted_steps).unwrap_or(&Step::ReadAll);
        let result = execute(step, &mut world, &mut actors, &mut u).and_then(|()| world.check());
        result.map_err(|violation| format!("step {number}: {violation}"))?;
    }
    Ok(())
}

fn execute(
    step: Step,
    world: &mut World,
    actors: &mut [actor::Actor],
    u: world::Random<'_, '_>,
) -> Result<(), String> {
    // In most cases, choose an instance that believes to be a steward, since the others have little to do.
    let stewards = (0..actors.len()).filter(|index| actors[*index].is_steward());
    let stewards: Vec<usize> = stewards.collect();
    let index = match u.choose(&stewards) {
        Ok(index) if u.ratio(4, 5).unwrap_or(true) => *index,
        _ => u.choose_index(actors.len()).unwrap_or(0),
    };
    let actor = &mut actors[index];
    match step {
        Step::Publish => world.publish(u)?,
        Step::RestartServer => world.restart(u),
        Step::RestartInstance => actor.restart(world),
        Step::BecomeSteward => actor.become_steward(world, u.choose(&["a", "b"]).unwrap_or(&"a")),
        Step::ReleaseGone => actor.release_gone(world, u),
        Step::TimeOut => actor.time_out(u),
        Step::Grant => actor.grant(world, u),
        Step::Withdraw => actor.withdraw(world, u),
        Step::Append => actor.append(world, u)?,
        Step::Send => actor.send_some(world, u),
        Step::Deliver => {
            if let Ok(index) = u.choose_index(world.network.len()) {
                world.deliver(index, u);
            }
        }
        Step::Answer => {
            if let Ok(index) = u.choose_index(world.answers.len()) {
                deliver_answer(index, world, actors);
            }
        }
        Step::LateAppend => {
            if let Ok(index) = u.choose_index(world.late_appends.len()) {
                let body = world.late_appends.swap_remove(index);
                world.store(body)?;
            }
        }
        Step::ReadOne => actor.read(world),
        Step::ReadAll => actor.read_all(world),
        Step::AppendAndRead => {
            actor.append(world, u)?;
            actor.read_all(world);
        }
        Step::SendAndAnswer => {
            let (order_count, answer_count) = (world.network.len(), world.answers.len());
            actor.send_some(world, u);
            if world.network.len() > order_count {
                world.deliver(order_count, u);
            }
            if world.answers.len() > answer_count {
                deliver_answer(answer_count, world, actors);
            }
        }
    }
    Ok(())
}

fn deliver_answer(index: usize, world: &mut World, actors: &mut [actor::Actor]) {
    let (order, outcome) = world.answers.swap_remove(index);
    for actor in actors {
        actor.handle_answer(world, &order, outcome);
    }
}

/// With all rules enabled, no run violates a limit.
macro_rules! holds {
    ($($name:ident: $engines:ident;)+) => {
        mod all_rules {
            use super::*;
            $(
                #[test]
                fn $name() {
                    for seed in 0..RUN_COUNT {
                        let run = run(Engines::$engines, None, seed);
                        assert_eq!(run, Ok(()), "seed {seed}");
                    }
                }
            )+
        }
    };
}

/// With one rule disabled, the run of the given seed violates a limit, which it does not with all rules enabled.
macro_rules! breaks {
    ($($name:ident: $engines:ident, $rule:ident, $seed:expr;)+) => {
        mod without {
            use super::*;
            $(
                #[test]
                fn $name() {
                    let without = run(Engines::$engines, Some(Rule::$rule), $seed);
                    assert!(without.is_err(), "the run violates no limit without the rule");
                    assert_eq!(run(Engines::$engines, None, $seed), Ok(()));
                }
            )+
        }
    };
}

holds! {
    engines_that_check_fencing: Checked;
    engines_that_forget_fencing: Forgets;
    engines_that_ignore_fencing: Ignored;
}

breaks! {
    read_back: Checked, ReadBack, 1;
    read_back_with_ignored_fencing: Ignored, ReadBack, 1;
    counting_until_confirmed: Checked, CountUntilConfirmed, 2;
    counting_until_confirmed_with_ignored_fencing: Ignored, CountUntilConfirmed, 18;
    a_fencing_number_for_each_attempt: Checked, FenceEachAttempt, 14;
    the_epoch_in_the_fencing_number: Checked, FenceByEpoch, 242;
    closing_by_an_answer: Checked, CloseByAnswer, 20;
    closing_by_the_newest_answer: Checked, CloseByNewestAnswer, 20;
    pins_of_an_old_epoch: Checked, PinOldEpoch, 1;
    pins_of_an_old_epoch_with_ignored_fencing: Ignored, PinOldEpoch, 124;
    pins_of_lost_answers: Ignored, PinLostAnswer, 14;
    pins_across_a_restart: Checked, PinAcrossRestart, 1;
    pins_across_a_restart_with_ignored_fencing: Ignored, PinAcrossRestart, 19;
    acknowledged_strays: Checked, AcknowledgeStrays, 82;
    acknowledged_strays_with_ignored_fencing: Ignored, AcknowledgeStrays, 231;
    verification_after_pins: Checked, VerifyAfterPins, 192;
    verification_after_pins_with_ignored_fencing: Ignored, VerifyAfterPins, 192;
    pins_of_a_gone_server: Checked, PinWhenGone, 1;
    pins_of_a_gone_server_with_ignored_fencing: Ignored, PinWhenGone, 36;
    strays_after_late_answers: Ignored, KeepStrays, 6868;
    the_offset_at_which_a_server_was_gone: Checked, LimitGoneToSeen, 285;
    the_offset_at_which_a_server_was_gone_with_ignored_fencing: Ignored, LimitGoneToSeen, 455;
    distrust_of_forgetful_engines: Forgets, DistrustForgetful, 526;
}
