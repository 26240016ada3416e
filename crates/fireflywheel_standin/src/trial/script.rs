//! From a seed to faults and their times.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom as _;
use rand::{Rng as _, SeedableRng as _};

/// Faults come this far apart, in milliseconds: so close that they overlap.
const GAP_MS: std::ops::Range<u64> = 60..700;
/// One fault in so many comes as a series.
const SERIES: u32 = 5;
/// Between two faults of a series, in milliseconds.
const SERIES_GAP_MS: std::ops::Range<u64> = 150..900;
/// One fault in so many is a return of the store from an older copy, where these come.
const DRILLS: u32 = 6;
/// How old that copy is, in milliseconds.
const COPY_AGE_MS: std::ops::Range<u64> = 200..5000;
/// A process that is stopped as planned gets its whole time, and is killed then.
const GRACE_MS: std::ops::Range<u64> = 2300..3200;

/// Which faults come.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Faults {
    /// Of every kind.
    #[default]
    Any,
    /// The same, and a store that comes back from an older copy.
    Drills,
    /// Planned work only: stops, reloads, configurations, workers that leave. No request may be lost by it.
    Planned,
}

/// A worker goes on serving for so long after it said that it leaves.
pub const LEAVE: Duration = Duration::from_secs(3);

/// What there is.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    /// Instances.
    pub instances: usize,
    /// Workers, engines first.
    pub workers: usize,
}

/// A link.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Place {
    /// From callers to an instance.
    Callers(usize),
    /// From other instances to an instance.
    Peers(usize),
    /// From an instance to the store.
    Store(usize),
    /// From all instances to a worker.
    Worker(usize),
}

/// What goes wrong on a link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkFault {
    /// Each part arrives this much later.
    Delay(Duration),
    /// Open connections are reset.
    Reset,
    /// Nothing arrives from who connects.
    HeldUp,
    /// Nothing arrives at who connects.
    HeldDown,
    /// Nothing arrives either way.
    Held,
    /// Open connections are silent for good.
    Silenced,
}

/// Something to do to a deployment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Ends an instance at once.
    Kill(usize),
    /// Asks an instance to end.
    Stop(usize),
    /// Starts an instance anew, after ending what is left of it.
    Start(usize),
    /// Starts an instance anew once it has ended by itself, as it was asked to.
    AwaitStart(usize),
    /// Stops an instance where it stands.
    Pause(usize),
    /// Lets it go on.
    Resume(usize),
    /// Tells an instance that its settings changed.
    Reload(usize),
    /// Ends a worker at once.
    KillWorker(usize),
    /// Starts a worker; under the id that it had if `true`.
    StartWorker(usize, bool),
    /// Stops a worker where it stands.
    PauseWorker(usize),
    /// Lets it go on.
    ResumeWorker(usize),
    /// A worker says that it leaves.
    LeaveWorker(usize),
    /// Ends a worker that has been leaving for long enough, and starts another. Without the condition, the second
    /// of two departures that overlap would end the worker that has just come.
    ReplaceWorker(usize),
    /// A worker runs the next so many requests, or takes orders, and their answers are lost.
    WorkerLoses(usize, u64),
    /// Something goes wrong on a link.
    Break(Place, LinkFault),
    /// All is well again on it.
    Heal(Place),
    /// The store answers 503.
    StoreOut(bool),
    /// The store answers this much later.
    StoreSlow(Duration),
    /// The store's next so many answers to writes are lost.
    StoreLoses(u64),
    /// The store comes back from a copy that is so old.
    Restore(Duration),
    /// The operator accepts a new configuration.
    Configure,
    /// The operator writes the accepted configuration again.
    Rewrite,
}

/// An action and when it is due, from the start.
#[derive(Clone, Copy, Debug)]
pub struct Step {
    /// When.
    pub at: Duration,
    /// What.
    pub action: Action,
}

/// The steps of a seed, over this time and somewhat longer.
#[must_use]
pub fn steps(seed: u64, faults: Faults, time: Duration, sizes: Sizes) -> Vec<Step> {
    let mut draw = StdRng::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut at = Duration::from_millis(500);
    while at < time {
        let times = if draw.random_ratio(1, SERIES) {
            draw.random_range(2..4)
        } else {
            1
        };
        let drawn = match faults {
            Faults::Any => fault(&mut draw, sizes),
            Faults::Drills if draw.random_ratio(1, DRILLS) => drill(&mut draw),
            Faults::Drills => fault(&mut draw, sizes),
            Faults::Planned => planned(&mut draw, sizes),
        };
        let mut begin = at;
        for _ in 0..times {
            steps.extend(drawn.iter().map(|(after, action)| Step {
                at: begin + *after,
                action: *action,
            }));
            begin += millis(&mut draw, SERIES_GAP_MS);
        }
        at += millis(&mut draw, GAP_MS);
    }
    steps.sort_by_key(|step| step.at);
    steps
}

fn millis(draw: &mut StdRng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(draw.random_range(range))
}

/// A fault: what to do, and how long after its begin.
fn fault(draw: &mut StdRng, sizes: Sizes) -> Vec<(Duration, Action)> {
    let instance = draw.random_range(0..sizes.instances);
    let worker = draw.random_range(0..sizes.workers);
    let now = Duration::ZERO;
    let soon = millis(draw, 100..2500);
    match draw.random_range(0..22) {
        0 | 1 => vec![
            (now, Action::Kill(instance)),
            (soon, Action::Start(instance)),
        ],
        2 | 3 => {
            let grace = millis(draw, GRACE_MS);
            vec![
                (now, Action::Stop(instance)),
                (grace, Action::Start(instance)),
            ]
        }
        4 | 5 => vec![
            (now, Action::Pause(instance)),
            (soon, Action::Resume(instance)),
        ],
        6 => vec![(now, Action::Reload(instance))],
        7 => {
            let all = 0..sizes.instances;
            let kills = all.clone().map(|instance| (now, Action::Kill(instance)));
            let starts = all.map(|instance| (soon, Action::Start(instance)));
            kills.chain(starts).collect()
        }
        8 | 9 => {
            let same = draw.random();
            vec![
                (now, Action::KillWorker(worker)),
                (soon, Action::StartWorker(worker, same)),
            ]
        }
        10 => vec![
            (now, Action::PauseWorker(worker)),
            (soon, Action::ResumeWorker(worker)),
        ],
        11 => vec![
            (now, Action::LeaveWorker(worker)),
            (soon + Duration::from_secs(1), Action::KillWorker(worker)),
            (
                soon + Duration::from_secs(2),
                Action::StartWorker(worker, false),
            ),
        ],
        12 => vec![
            (now, Action::StoreOut(true)),
            (soon, Action::StoreOut(false)),
        ],
        13 => {
            let slow = millis(draw, 20..600);
            vec![
                (now, Action::StoreSlow(slow)),
                (soon, Action::StoreSlow(Duration::ZERO)),
            ]
        }
        14 => vec![(now, Action::StoreLoses(draw.random_range(1..6)))],
        15 | 16 => vec![(now, Action::Configure)],
        17 | 18 => vec![(now, Action::WorkerLoses(worker, draw.random_range(1..6)))],
        _ => {
            let place = place(draw, instance, worker);
            let trouble = trouble(draw);
            vec![
                (now, Action::Break(place, trouble)),
                (soon, Action::Heal(place)),
            ]
        }
    }
}

/// A store that is away for a moment and lacks what was written in the last seconds. The operator writes the configuration
/// again; workers write their entries all the time.
fn drill(draw: &mut StdRng) -> Vec<(Duration, Action)> {
    let back = millis(draw, 100..1500);
    let rewritten = back + millis(draw, 50..800);
    vec![
        (Duration::ZERO, Action::StoreOut(true)),
        (back, Action::StoreOut(false)),
        (back, Action::Restore(millis(draw, COPY_AGE_MS))),
        (rewritten, Action::Rewrite),
    ]
}

/// Planned work: what to do, and how long after its begin.
fn planned(draw: &mut StdRng, sizes: Sizes) -> Vec<(Duration, Action)> {
    let instance = draw.random_range(0..sizes.instances);
    let worker = draw.random_range(0..sizes.workers);
    let now = Duration::ZERO;
    match draw.random_range(0..6) {
        0..3 => vec![
            (now, Action::Stop(instance)),
            (now, Action::AwaitStart(instance)),
        ],
        3 => vec![(now, Action::Reload(instance))],
        4 => vec![(now, Action::Configure)],
        _ => vec![
            (now, Action::LeaveWorker(worker)),
            (LEAVE, Action::ReplaceWorker(worker)),
        ],
    }
}

fn place(draw: &mut StdRng, instance: usize, worker: usize) -> Place {
    let places = [
        Place::Callers(instance),
        Place::Peers(instance),
        Place::Store(instance),
        Place::Worker(worker),
    ];
    *places.choose(draw).expect("there are some")
}

fn trouble(draw: &mut StdRng) -> LinkFault {
    let troubles = [
        LinkFault::Delay(millis(draw, 5..300)),
        LinkFault::Reset,
        LinkFault::HeldUp,
        LinkFault::HeldDown,
        LinkFault::Held,
        LinkFault::Silenced,
    ];
    *troubles.choose(draw).expect("there are some")
}
