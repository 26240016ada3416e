//! Long prompts of a busy model, spread over the engines that hold it by instances that know little of each other.

use std::collections::BTreeMap;
use std::time::Duration;

use fireflywheel::clock::Instant;
use fireflywheel::fleet::load::{self, Backlog, Load, Prompt};
use fireflywheel::fleet::routing::{self, Candidate, Stats};
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};
use smol_str::SmolStr;

use crate::cases;

const INSTANCES: usize = 136;
const ENGINES: [&str; 6] = ["e1", "e2", "e3", "e4", "e5", "e6"];
const PROMPT: Prompt = Prompt {
    tokens: 9190,
    shared: 6300,
};
/// Prompts with different second parts behind the same first one.
const PARTS: usize = 34;
/// Tokens that an engine reads in a millisecond.
const SPEED: u32 = 38;
/// Prompts a second for the model: two thirds of what six engines can read, if each is read whole.
const RATE: f64 = 16.0;
const LENGTH_MS: u64 = 60_000;
/// Within this a first event is on time.
const AIM: Duration = Duration::from_millis(800);
/// What instances tell the steward, and it tells all of them, is as old as this when it is heard.
const WORD_AGE_MS: u64 = 100;

/// A prompt that is read at an engine, and whose.
struct Reading {
    instance: usize,
    /// What its sender took it for.
    expected: u32,
    left: u32,
    since: u64,
}

/// An engine that reads one prompt after the other, and keeps what it has read.
#[derive(Default)]
struct Engine {
    queue: Vec<Reading>,
    kept: Vec<usize>,
    taken: usize,
}

struct Outcome {
    /// Of all prompts, in the order of their length.
    waits: Vec<u64>,
    /// Prompts of the busiest engine against the mean.
    busiest: f64,
}

impl Outcome {
    /// The share of prompts that were read in time.
    fn in_aim(&self) -> f64 {
        let aim = AIM.as_millis() as u64;
        let good = self.waits.iter().filter(|wait| **wait <= aim).count();
        good as f64 / self.waits.len() as f64
    }
}

/// Plays a minute; `told` says whether the steward tells what engines have to read.
fn play(seed: u64, told: bool) -> Outcome {
    let mut random = StdRng::seed_from_u64(seed);
    let mut engines: [Engine; 6] = Default::default();
    let mut backlogs = vec![[Backlog::default(); 6]; INSTANCES];
    let mut words: BTreeMap<u64, Vec<u32>> = BTreeMap::new();
    let mut waits = Vec::new();
    for ms in 0..LENGTH_MS {
        let now = Instant(ms);
        for (place, engine) in engines.iter_mut().enumerate() {
            read(ms, engine, |done| {
                backlogs[done.instance][place].remove_own(done.expected);
                waits.push(ms - done.since);
            });
        }
        if told && ms % WORD_AGE_MS == 0 {
            let sums = (0..6).map(|place| {
                backlogs
                    .iter_mut()
                    .map(|own| own[place].report_own(0))
                    .sum()
            });
            words.insert(ms + WORD_AGE_MS, sums.collect());
        }
        if let Some(sums) = words.remove(&ms) {
            for own in &mut backlogs {
                own.iter_mut()
                    .zip(&sums)
                    .for_each(|(own, sum)| own.update_others(now, *sum, 0));
            }
        }
        if random.random_bool(RATE / 1000.0) {
            let instance = random.random_range(0..INSTANCES);
            let part = random.random_range(0..PARTS);
            let (place, expected) = choose(now, &backlogs[instance], part, random.random());
            backlogs[instance][place].add_own(expected);
            engines[place].take(ms, instance, part, expected);
        }
    }
    waits.sort_unstable();
    let taken = engines.iter().map(|engine| engine.taken);
    let (most, all) = (
        taken.clone().max().unwrap_or_default(),
        taken.sum::<usize>(),
    );
    Outcome {
        waits,
        busiest: most as f64 * 6.0 / all as f64,
    }
}

fn read(ms: u64, engine: &mut Engine, mut done: impl FnMut(Reading)) {
    let mut budget = SPEED;
    while budget > 0
        && let Some(first) = engine.queue.first_mut()
    {
        let part = budget.min(first.left);
        first.left -= part;
        budget -= part;
        if first.left == 0 && first.since < ms {
            done(engine.queue.remove(0));
        } else if first.left == 0 {
            return;
        }
    }
}

impl Engine {
    fn take(&mut self, ms: u64, instance: usize, part: usize, expected: u32) {
        let kept = self.kept.contains(&part);
        if !kept {
            self.kept.push(part);
        }
        self.taken += 1;
        self.queue.push(Reading {
            instance,
            expected,
            left: PROMPT.prefill_tokens(kept),
            since: ms,
        });
    }
}

fn choose(now: Instant, own: &[Backlog; 6], part: usize, draw: u64) -> (usize, u32) {
    let parts = format!("first,{part}");
    let keeper = load::prefix_cache_server(PROMPT, &parts, ENGINES.iter().copied());
    let unread = |place: usize| PROMPT.prefill_tokens(keeper == Some(ENGINES[place]));
    let stats = Stats::default();
    let candidates: Vec<Candidate<'_>> = (0..6)
        .map(|place| Candidate {
            stats: &stats,
            slots: 64,
            same_domain: true,
            other_requests: 0,
            prefill_ratio: load::prefill_time(
                own[place].prefill_tokens(now) + f64::from(unread(place)),
            )
            .div_duration_f64(AIM),
        })
        .collect();
    let place = routing::pick(now, &candidates, draw).expect("all have room");
    (place, unread(place))
}

fn prompts_are_read_in_time() {
    for seed in 0..20 {
        let outcome = play(seed, true);
        assert!(
            outcome.in_aim() >= 0.95,
            "{} at seed {seed}",
            outcome.in_aim()
        );
        assert!(outcome.busiest <= 1.8, "{} at seed {seed}", outcome.busiest);
    }
}

fn word_of_the_steward_helps() {
    let late = |told| -> f64 {
        let shares = (0..20).map(|seed| 1.0 - play(seed, told).in_aim());
        shares.sum()
    };
    assert!(late(true) <= late(false));
}

fn parts_are_shared_out() {
    let keepers = |first_alone: bool| {
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for part in 0..PARTS {
            let parts = if first_alone {
                "first".to_owned()
            } else {
                format!("first,{part}")
            };
            let keeper = load::prefix_cache_server(PROMPT, &parts, ENGINES.iter().copied());
            *counts
                .entry(keeper.expect("there are several"))
                .or_default() += 1;
        }
        counts.len()
    };
    assert_eq!((keepers(true), keepers(false)), (1, 6));
}

fn own_requests_count_once() {
    let mut backlog = Backlog::default();
    backlog.add_own(1000);
    let told = backlog.report_own(3);
    backlog.update_others(Instant(10), told + 500, 5);
    assert_eq!(backlog.other_requests(Instant(10)), 2);
    assert_eq!(backlog.prefill_tokens(Instant(10)), 1500.0);
    backlog.remove_own(1000);
    assert_eq!(backlog.prefill_tokens(Instant(10)), 500.0);
    assert_eq!(backlog.prefill_tokens(Instant(1000)), 0.0);
}

fn busiest_are_named() {
    let ids = ["e1", "e2", "e3", "e4"].map(SmolStr::new);
    let loads = ids.iter().zip([50, 4000, 9000, 2000]);
    let loads = loads.map(|(id, unread)| {
        let load = Load {
            prefill_tokens: unread,
            ..Load::new(id.clone())
        };
        (id, load)
    });
    let named = load::most_loaded(loads.collect(), |_| 16, 2);
    let named: Vec<(&str, u32)> = named
        .iter()
        .map(|load| (load.server.as_str(), load.prefill_tokens))
        .collect();
    assert_eq!(named, [("e2", 4000), ("e3", 9000)]);
}

fn full_batches_are_named() {
    let ids = ["e1", "e2", "e3"].map(SmolStr::new);
    let loads = ids.iter().zip([7, 8, 40]);
    let loads = loads.map(|(id, requests)| {
        let load = Load {
            requests,
            ..Load::new(id.clone())
        };
        (id, load)
    });
    let named = load::most_loaded(loads.collect(), |_| 16, 3);
    let named: Vec<(&str, u32)> = named
        .iter()
        .map(|load| (load.server.as_str(), load.requests))
        .collect();
    assert_eq!(named, [("e2", 8), ("e3", 40)]);
}

fn old_word_of_requests_ends() {
    let mut backlog = Backlog::default();
    backlog.update_others(Instant(10), 0, 24);
    assert_eq!(backlog.other_requests(Instant(500)), 24);
    assert_eq!(backlog.other_requests(Instant(2000)), 0);
}

cases! {
    /// Requests with short prompts fill an engine's batch while there is hardly anything to read.
    full_batch => full_batches_are_named();
    /// The steward dies, and with it the word that an engine is full. Believed for good, nobody would use that engine.
    lost_steward => old_word_of_requests_ends();
    /// With hundreds of engines a word of all of them would take more of a link than control may.
    many_engines => busiest_are_named();
    /// Each instance sends a prompt every few seconds and sees only its own. Were requests counted alike, or the others'
    /// unknown, several long prompts would queue at one engine while others idle, and users wait for their first word.
    busy_model => prompts_are_read_in_time();
    /// The same with and without the word of the steward.
    busy_model_untold => word_of_the_steward_helps();
    /// Thousands of prompts begin alike. Sent by that beginning, they would all go to one engine.
    common_beginning => parts_are_shared_out();
    /// What an instance has told comes back to it in the sum.
    own_word => own_requests_count_once();
}
