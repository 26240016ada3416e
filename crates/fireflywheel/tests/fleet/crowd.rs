//! A crowd on the few engines that hold a model, replayed in virtual time: more callers than the engines can run, sent by
//! many instances that each know little of the others.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use fireflywheel::clock::Instant;
use fireflywheel::fleet::config::{Engine, Model};
use fireflywheel::fleet::demand::{Aggregator, Count, Demand, Queue, Running};
use fireflywheel::fleet::load::{self, Backlog};
use fireflywheel::fleet::plan::concurrency::Estimate;
use fireflywheel::fleet::plan::{self, EngineState, View};
use fireflywheel::fleet::routing::{self, Candidate, Stats};
use fireflywheel::fleet::server::Held;
use fireflywheel::fleet::timeout;
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};
use smol_str::{SmolStr, format_smolstr};

use crate::cases;

const INSTANCES: usize = 195;
const ENGINES: usize = 2;
/// Requests that an engine runs at once, and that wait there before it refuses more.
const SLOTS: u32 = 16;
const ENGINE_QUEUE: usize = 48;
/// How long a run takes.
const RUN_MS: u64 = 900;
/// Callers a second; the engines run 35 of them.
const RATE: f64 = 60.0;
/// Within this a first event is on time.
const AIM: Duration = Duration::from_millis(800);
/// So long a caller is kept.
const PATIENCE: Duration = Duration::from_millis(3200);
const LENGTH_MS: u64 = 20_000;
/// Instances tell the steward, and it tells them, this often; each word is as old when it is heard.
const WORD_MS: u64 = 75;

/// An engine that runs requests in the order of their arrival.
#[derive(Default)]
struct Batch {
    /// Instance and end of each run.
    running: Vec<(usize, u64)>,
    /// Instance and arrival of each request that waits.
    waiting: VecDeque<(usize, u64)>,
}

#[derive(Default)]
struct Outcome {
    run: u32,
    /// Those whose time until their run was within the objective.
    on_time: u32,
    refused_at_once: u32,
    /// Refused after they had waited as long as a caller does.
    kept_in_vain: u32,
    asked: u32,
}

struct World {
    random: StdRng,
    engines: [Batch; ENGINES],
    stats: Vec<[Stats; ENGINES]>,
    backlogs: Vec<[Backlog; ENGINES]>,
    /// Callers that wait at their instance, and since when.
    queues: Vec<VecDeque<u64>>,
    finished: Vec<u32>,
    demands: Aggregator,
    expected: Duration,
    outcome: Outcome,
    told: bool,
}

impl World {
    fn new(seed: u64, told: bool) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed),
            engines: Default::default(),
            stats: vec![Default::default(); INSTANCES],
            backlogs: vec![Default::default(); INSTANCES],
            queues: vec![VecDeque::new(); INSTANCES],
            finished: vec![0; INSTANCES],
            demands: Aggregator::default(),
            expected: Duration::ZERO,
            outcome: Outcome::default(),
            told,
        }
    }

    fn play(mut self) -> Outcome {
        for ms in 0..LENGTH_MS {
            self.run_engines(ms);
            if self.told && ms % WORD_MS == 0 {
                self.tell(ms);
            }
            if self.random.random_bool(RATE / 1000.0) {
                let instance = self.random.random_range(0..INSTANCES);
                self.outcome.asked += 1;
                self.arrive(ms, instance);
            }
            for instance in 0..INSTANCES {
                self.look_again(ms, instance);
            }
        }
        self.outcome
    }

    fn run_engines(&mut self, ms: u64) {
        for place in 0..ENGINES {
            let engine = &mut self.engines[place];
            let ended = engine.running.extract_if(.., |(_, end)| *end <= ms);
            for (instance, _) in ended {
                self.stats[instance][place].in_flight -= 1;
                self.finished[instance] += 1;
            }
            while engine.running.len() < SLOTS as usize
                && let Some((instance, since)) = engine.waiting.pop_front()
            {
                engine.running.push((instance, ms + RUN_MS));
                let on_time = Duration::from_millis(ms - since) <= AIM;
                self.outcome.on_time += u32::from(on_time);
                self.outcome.run += 1;
            }
        }
    }

    /// All instances tell the steward, and it tells all of them.
    fn tell(&mut self, ms: u64) {
        let now = Instant(ms);
        for instance in 0..INSTANCES {
            let demand = self.demand(instance);
            self.demands
                .update(now, format_smolstr!("i{instance}"), demand);
        }
        let loads = load::most_loaded(self.demands.loads(), |_| SLOTS, ENGINES);
        let requests: BTreeMap<SmolStr, u32> = loads
            .into_iter()
            .map(|load| (load.server, load.requests))
            .collect();
        for backlogs in &mut self.backlogs {
            for (place, backlog) in backlogs.iter_mut().enumerate() {
                let told = requests.get(&engine_name(place)).copied();
                backlog.update_others(now, 0, told.unwrap_or_default());
            }
        }
        self.expected = self.forecast(now);
    }

    /// What the steward expects of the queue, by its plan.
    fn forecast(&self, now: Instant) -> Duration {
        let running = self.demands.running();
        let engine = |place| EngineState {
            held: Held {
                models: BTreeMap::from([("m".into(), BTreeSet::new())]),
                ..Held::default()
            },
            usable: true,
            running: running
                .get(&engine_name(place))
                .cloned()
                .unwrap_or_default(),
            ..EngineState::default()
        };
        let engines: Vec<EngineState> = (0..ENGINES).map(engine).collect();
        let config = Engine {
            slots: SLOTS,
            models: BTreeMap::from([("m".into(), Model::default())]),
            ..Engine::default()
        };
        let view = View {
            now,
            config: &config,
            engines: &engines,
            pending: &self.demands.pending("g"),
            arrival_rates: &BTreeMap::new(),
            drain_rates: &self.demands.drain_rates(now, "g"),
            max_fetches: 1,
            concurrency: Estimate::default(),
        };
        let forecasts = plan::forecast(&view).into_iter();
        forecasts.map(|(_, wait)| wait).next().unwrap_or_default()
    }

    fn demand(&mut self, instance: usize) -> Demand {
        let mut running = Vec::new();
        for place in 0..ENGINES {
            let count = self.stats[instance][place].in_flight;
            self.backlogs[instance][place].report_own(count);
            running.push(Running {
                server: engine_name(place),
                model: "m".into(),
                adapter: None,
                count,
                prefill_tokens: 0,
            });
        }
        let finished = Count {
            group: "g".into(),
            model: "m".into(),
            count: std::mem::take(&mut self.finished[instance]),
        };
        let waiting = u32::try_from(self.queues[instance].len()).expect("few wait");
        let queue = Queue {
            group: "g".into(),
            model: "m".into(),
            adapter: None,
            waiting,
            waited_ms: 0,
            left_ms: 1000,
        };
        Demand {
            queues: if waiting > 0 { vec![queue] } else { Vec::new() },
            running,
            finished: vec![finished],
            ..Demand::default()
        }
    }

    fn arrive(&mut self, ms: u64, instance: usize) {
        if self.send(ms, instance, ms) {
            return;
        }
        if self.expected > timeout::max_queue_wait(PATIENCE) {
            self.outcome.refused_at_once += 1;
            self.refuse();
        } else {
            self.queues[instance].push_back(ms);
        }
    }

    fn look_again(&mut self, ms: u64, instance: usize) {
        let Some(since) = self.queues[instance].front().copied() else {
            return;
        };
        if Duration::from_millis(ms - since) > PATIENCE {
            self.queues[instance].pop_front();
            self.outcome.kept_in_vain += 1;
            self.refuse();
        } else if self.send(ms, instance, since) {
            self.queues[instance].pop_front();
        }
    }

    /// The caller is told when to come back, while it still can.
    fn refuse(&mut self) {
        let left = Duration::from_secs(8);
        let again = timeout::retry_after(self.expected, left, self.random.random());
        assert!(again <= left / 3);
    }

    /// Whether an engine takes it.
    fn send(&mut self, ms: u64, instance: usize, since: u64) -> bool {
        let now = Instant(ms);
        let draw = self.random.random();
        let candidates: Vec<Candidate<'_>> = (0..ENGINES)
            .map(|place| Candidate {
                stats: &self.stats[instance][place],
                slots: SLOTS,
                same_domain: true,
                other_requests: self.backlogs[instance][place].other_requests(now),
                prefill_ratio: 0.0,
            })
            .collect();
        let Some(place) = routing::pick(now, &candidates, draw) else {
            return false;
        };
        if self.engines[place].waiting.len() >= ENGINE_QUEUE {
            self.stats[instance][place].record_full(now);
            return false;
        }
        self.engines[place].waiting.push_back((instance, since));
        self.stats[instance][place].in_flight += 1;
        true
    }
}

fn engine_name(place: usize) -> SmolStr {
    format_smolstr!("e{place}")
}

fn engines_run_all_they_can() {
    for seed in 0..10 {
        let outcome = World::new(seed, true).play();
        let bound = f64::from(SLOTS) * ENGINES as f64 * LENGTH_MS as f64 / RUN_MS as f64;
        let run = outcome.run;
        assert!(f64::from(run) >= 0.9 * bound, "{run} of {bound} at {seed}");
    }
}

fn few_are_kept_in_vain() {
    for seed in 0..10 {
        let outcome = World::new(seed, true).play();
        let refused = outcome.refused_at_once + outcome.kept_in_vain;
        assert!(refused * 4 > outcome.asked, "the load is a crowd");
        let share = f64::from(outcome.kept_in_vain) / f64::from(refused);
        assert!(share <= 0.1, "{share} at {seed}");
    }
}

fn without_a_word_all_are_late() {
    let outcome = World::new(0, false).play();
    assert!(outcome.on_time * 2 < outcome.run, "the load is a crowd");
}

cases! {
    /// A model becomes popular; two engines hold it and run 35 of 60 requests a second. Places that stay empty because
    /// instances believe them taken are callers refused for nothing.
    full_use => engines_run_all_they_can();
    /// The others can't be served. Kept until they give up, they could not even ask again.
    told_at_once => few_are_kept_in_vain();
    /// The same without the steward's word: the engines' own queues fill.
    untold => without_a_word_all_are_late();
}
