//! Derives the faults of a trial and their times from a seed.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom as _;
use rand::{Rng as _, SeedableRng as _};

/// Time between the starts of two faults, in milliseconds. It is short enough that faults overlap.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 60..700;
/// One fault in this many is repeated as a series.
const FAULTS_PER_SERIES: u32 = 5;
/// Time between two faults of a series, in milliseconds.
const SERIES_INTERVAL_MS: std::ops::Range<u64> = 150..900;
/// Time between two series of answers that state neither a length nor chunks, in milliseconds.
const UNSTATED_INTERVAL_MS: std::ops::Range<u64> = 200..1200;
/// With [`Faults::Drills`], one fault in this many restores the store from an older copy.
const FAULTS_PER_RESTORE: u32 = 6;
/// Age of the copy that the store is restored from, in milliseconds.
const COPY_AGE_MS: std::ops::Range<u64> = 200..5000;
/// Time between the starts of two releases, in milliseconds. A release may come before the previous one has ended.
const RELEASE_INTERVAL_MS: std::ops::Range<u64> = 1000..5000;
/// Time between the starts of two workers of a release, in milliseconds.
const UPGRADE_INTERVAL_MS: std::ops::Range<u64> = 200..900;
/// Time from the start of a worker of a release until the one that it replaces ends.
const UPGRADE_TIME: Duration = LEAVING_PERIOD.saturating_add(Duration::from_millis(500));
/// Time from the end of all faults to the release without faults.
const QUIET_BEFORE_RELEASE: Duration = Duration::from_secs(2);
/// Time that an instance gets to stop before it is killed, in milliseconds. It covers the whole grace period.
const STOP_TIME_MS: std::ops::Range<u64> = 2300..3200;

/// The kinds of faults that a trial injects.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Faults {
    /// Faults of every kind.
    #[default]
    Any,
    /// Faults of every kind, and restores of the store from an older copy.
    Drills,
    /// Planned operations only: stops, reloads, configuration changes and workers that leave. These must not lose any
    /// request.
    Planned,
    /// Faults of every kind and releases, with engines of two or three software versions from the start and callers that
    /// return for their streams.
    Versions,
}

/// How long a worker continues to serve after it has announced that it leaves.
pub const LEAVING_PERIOD: Duration = Duration::from_secs(3);

/// The sizes of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    /// Number of instances.
    pub instances: usize,
    /// Number of workers that are engines.
    pub engines: usize,
    /// Number of workers; the engines come first.
    pub workers: usize,
}

/// Identifies a link of a deployment.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum LinkId {
    /// From callers to an instance.
    Callers(usize),
    /// From other instances to an instance.
    Peers(usize),
    /// From an instance to the store.
    Store(usize),
    /// From all instances to a worker.
    Worker(usize),
}

/// A fault of a link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkFault {
    /// Each chunk is delayed.
    Delay(Duration),
    /// Open connections are reset.
    Reset,
    /// Bytes from the connecting side are held back.
    HeldUp,
    /// Bytes to the connecting side are held back.
    HeldDown,
    /// Bytes are held back in both directions.
    Held,
    /// Open connections forward nothing for the rest of their life.
    Silenced,
}

/// An action on a deployment. Instances and workers are given by their index.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Kills an instance.
    Kill(usize),
    /// Asks an instance to stop.
    Stop(usize),
    /// Starts an instance, and kills its previous process if that still runs.
    Start(usize),
    /// Waits until an instance that was asked to stop has exited, and starts it again.
    RestartAfterExit(usize),
    /// Suspends the process of an instance.
    Pause(usize),
    /// Resumes the process of an instance.
    Resume(usize),
    /// Tells an instance that its settings have changed.
    Reload(usize),
    /// Kills a worker.
    KillWorker(usize),
    /// Starts a worker, under its previous id if `true`.
    StartWorker(usize, bool),
    /// Suspends the process of a worker.
    PauseWorker(usize),
    /// Resumes the process of a worker.
    ResumeWorker(usize),
    /// Makes a worker announce that it leaves.
    AnnounceLeaving(usize),
    /// Replaces a worker if it announced at least [`LEAVING_PERIOD`] ago that it leaves. Without this condition, the
    /// second of two overlapping departures would end the replacement that has just started.
    ReplaceWorker(usize),
    /// Starts an engine of a version beside the one at this index, unless that is newer, and has that one announce that it
    /// leaves.
    Upgrade(usize, u64),
    /// Ends the engines that were replaced and announced at least [`LEAVING_PERIOD`] ago that they leave.
    EndReplaced,
    /// Drops the answers of a worker to this many of its next requests or orders, which it still carries out.
    LoseWorkerAnswers(usize, u64),
    /// Lets this many of a worker's next answers state neither a length nor chunks. Most of them end too early.
    EndAnswersUnstated(usize, u64),
    /// Injects a fault on a link.
    BreakLink(LinkId, LinkFault),
    /// Ends the faults of a link.
    HealLink(LinkId),
    /// Starts or ends an outage of the store, during which it answers 503.
    SetStoreOutage(bool),
    /// Delays the answers of the store.
    DelayStore(Duration),
    /// Drops the answers to this many of the next writes to the store.
    LoseStoreAnswers(u64),
    /// Restores the store from a copy of this age.
    RestoreStore(Duration),
    /// Publishes a new configuration.
    PublishConfig,
    /// Publishes the accepted configuration again.
    RepublishConfig,
}

/// A scheduled action.
#[derive(Clone, Copy, Debug)]
pub struct Step {
    /// Time from the start of the trial.
    pub at: Duration,
    /// Action to carry out.
    pub action: Action,
}

/// Returns the steps for a seed, in order of time. Faults start within `time`; their last steps may come later.
#[must_use]
pub fn steps(seed: u64, faults: Faults, time: Duration, sizes: Sizes) -> Vec<Step> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut at = Duration::from_millis(500);
    while at < time {
        let times = if rng.random_ratio(1, FAULTS_PER_SERIES) {
            rng.random_range(2..4)
        } else {
            1
        };
        let drawn = match faults {
            Faults::Any | Faults::Versions => draw_fault(&mut rng, sizes),
            Faults::Drills if rng.random_ratio(1, FAULTS_PER_RESTORE) => draw_restore(&mut rng),
            Faults::Drills => draw_fault(&mut rng, sizes),
            Faults::Planned => draw_planned(&mut rng, sizes),
        };
        let mut start = at;
        for _ in 0..times {
            steps.extend(drawn.iter().map(|(after, action)| Step {
                at: start + *after,
                action: *action,
            }));
            start += draw_duration(&mut rng, SERIES_INTERVAL_MS);
        }
        at += draw_duration(&mut rng, FAULT_INTERVAL_MS);
    }
    if faults != Faults::Planned {
        steps.extend(unstated_endings(seed, time, sizes));
    }
    if faults == Faults::Versions {
        steps.extend(releases(seed, time, sizes).0);
    }
    steps.sort_by_key(|step| step.at);
    steps
}

/// Returns the steps after which answers state neither a length nor chunks. They are drawn apart from the others, which
/// stay the same for a seed.
fn unstated_endings(seed: u64, time: Duration, sizes: Sizes) -> Vec<Step> {
    let mut rng = StdRng::seed_from_u64(!seed);
    let mut steps = Vec::new();
    let mut at = draw_duration(&mut rng, UNSTATED_INTERVAL_MS);
    while at < time {
        let worker = rng.random_range(0..sizes.workers);
        let action = Action::EndAnswersUnstated(worker, rng.random_range(1..8));
        steps.push(Step { at, action });
        at += draw_duration(&mut rng, UNSTATED_INTERVAL_MS);
    }
    steps
}

/// Returns the software versions of the engines at the start. With one version, the only release is the one without
/// faults, which is then the first time that the instances know two versions.
#[must_use]
pub fn versions(seed: u64, engines: usize) -> Vec<u64> {
    let count = StdRng::seed_from_u64(seed.rotate_left(29)).random_range(1..=3);
    let engines = 0..engines as u64;
    engines.map(|engine| 1 + engine % count).collect()
}

/// Returns the steps of the releases among the faults, and of one to half of the engines after them, whose times count
/// from the end of the faults. They are drawn apart like [`unstated_endings`].
#[must_use]
pub fn releases(seed: u64, time: Duration, sizes: Sizes) -> (Vec<Step>, Vec<Step>) {
    let mut rng = StdRng::seed_from_u64(seed.rotate_left(31));
    let first = versions(seed, sizes.engines).into_iter().max();
    let mut newest = first.unwrap_or(1);
    let mut steps = Vec::new();
    let mut at = draw_duration(&mut rng, RELEASE_INTERVAL_MS);
    while at < time && first > Some(1) {
        newest += 1;
        steps.extend(release(&mut rng, newest, at, sizes.engines));
        at += draw_duration(&mut rng, RELEASE_INTERVAL_MS);
    }
    let half = sizes.engines.div_ceil(2);
    let mut last = release(&mut rng, newest + 1, QUIET_BEFORE_RELEASE, half);
    last.sort_by_key(|step| step.at);
    (steps, last)
}

/// Returns the steps of a release that replaces the first engines one after the other.
fn release(rng: &mut StdRng, version: u64, mut at: Duration, engines: usize) -> Vec<Step> {
    let mut steps = Vec::new();
    for engine in 0..engines {
        let action = Action::Upgrade(engine, version);
        steps.push(Step { at, action });
        let (at_end, action) = (at + UPGRADE_TIME, Action::EndReplaced);
        steps.push(Step { at: at_end, action });
        at += draw_duration(rng, UPGRADE_INTERVAL_MS);
    }
    steps
}

fn draw_duration(rng: &mut StdRng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(range))
}

/// Draws a fault: its actions, each with its delay from the start of the fault.
fn draw_fault(rng: &mut StdRng, sizes: Sizes) -> Vec<(Duration, Action)> {
    let instance = rng.random_range(0..sizes.instances);
    let worker = rng.random_range(0..sizes.workers);
    let now = Duration::ZERO;
    let soon = draw_duration(rng, 100..2500);
    match rng.random_range(0..22) {
        0 | 1 => vec![
            (now, Action::Kill(instance)),
            (soon, Action::Start(instance)),
        ],
        2 | 3 => {
            let stop_time = draw_duration(rng, STOP_TIME_MS);
            vec![
                (now, Action::Stop(instance)),
                (stop_time, Action::Start(instance)),
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
            let same = rng.random();
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
            (now, Action::AnnounceLeaving(worker)),
            (soon + Duration::from_secs(1), Action::KillWorker(worker)),
            (
                soon + Duration::from_secs(2),
                Action::StartWorker(worker, false),
            ),
        ],
        12 => vec![
            (now, Action::SetStoreOutage(true)),
            (soon, Action::SetStoreOutage(false)),
        ],
        13 => {
            let delay = draw_duration(rng, 20..600);
            vec![
                (now, Action::DelayStore(delay)),
                (soon, Action::DelayStore(Duration::ZERO)),
            ]
        }
        14 => vec![(now, Action::LoseStoreAnswers(rng.random_range(1..6)))],
        15 | 16 => vec![(now, Action::PublishConfig)],
        17 | 18 => vec![(
            now,
            Action::LoseWorkerAnswers(worker, rng.random_range(1..6)),
        )],
        _ => {
            let link = draw_link(rng, instance, worker);
            let fault = draw_link_fault(rng);
            vec![
                (now, Action::BreakLink(link, fault)),
                (soon, Action::HealLink(link)),
            ]
        }
    }
}

/// Draws a short outage of the store, after which the store lacks the writes of the last seconds. The operator
/// publishes the configuration again; workers write their entries periodically.
fn draw_restore(rng: &mut StdRng) -> Vec<(Duration, Action)> {
    let outage = draw_duration(rng, 100..1500);
    let republish = outage + draw_duration(rng, 50..800);
    vec![
        (Duration::ZERO, Action::SetStoreOutage(true)),
        (outage, Action::SetStoreOutage(false)),
        (
            outage,
            Action::RestoreStore(draw_duration(rng, COPY_AGE_MS)),
        ),
        (republish, Action::RepublishConfig),
    ]
}

/// Draws a planned operation: its actions, each with its delay from the start of the operation.
fn draw_planned(rng: &mut StdRng, sizes: Sizes) -> Vec<(Duration, Action)> {
    let instance = rng.random_range(0..sizes.instances);
    let worker = rng.random_range(0..sizes.workers);
    let now = Duration::ZERO;
    match rng.random_range(0..6) {
        0..3 => vec![
            (now, Action::Stop(instance)),
            (now, Action::RestartAfterExit(instance)),
        ],
        3 => vec![(now, Action::Reload(instance))],
        4 => vec![(now, Action::PublishConfig)],
        _ => vec![
            (now, Action::AnnounceLeaving(worker)),
            (LEAVING_PERIOD, Action::ReplaceWorker(worker)),
        ],
    }
}

fn draw_link(rng: &mut StdRng, instance: usize, worker: usize) -> LinkId {
    let links = [
        LinkId::Callers(instance),
        LinkId::Peers(instance),
        LinkId::Store(instance),
        LinkId::Worker(worker),
    ];
    *links.choose(rng).expect("the list is not empty")
}

fn draw_link_fault(rng: &mut StdRng) -> LinkFault {
    let faults = [
        LinkFault::Delay(draw_duration(rng, 5..300)),
        LinkFault::Reset,
        LinkFault::HeldUp,
        LinkFault::HeldDown,
        LinkFault::Held,
        LinkFault::Silenced,
    ];
    *faults.choose(rng).expect("the list is not empty")
}
