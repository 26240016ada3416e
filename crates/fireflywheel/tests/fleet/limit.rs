//! A simulation, in virtual time, of a server that announces a limit, many instances, and a steward that
//! may be absent.

use std::collections::VecDeque;
use std::time::Duration;

use fireflywheel::clock::Instant;
use fireflywheel::fleet::limit::gate::{Gate, View};
use fireflywheel::fleet::limit::pacer::{Pacer, Requester};
use fireflywheel::fleet::limit::{Notice, Reply, Request};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use smol_str::SmolStr;

use crate::cases;

/// The number of random scenarios.
const SEEDS: u64 = 60;
const STEP_MS: u64 = 5;
/// The longest transit time on a link; the shortest is 1 ms.
const MAX_DELAY_MS: u64 = 40;
/// How long a request waits for a permit.
const MAX_WAIT: Duration = Duration::from_millis(2500);
/// The window over which the server counts requests, and the time after the announcement of a limit from
/// which on it counts.
const WINDOW_MS: u64 = 4000;
const SETTLE_MS: u64 = 3000;
/// The time after its first answer with a limit from which on an instance must keep to the limit.
const OBEY_MS: u64 = 500;
/// The tolerated excess in a window: as a factor of the limit, and as a number of requests.
const EXCESS_RATIO: f64 = 1.5;
const EXCESS_REQUESTS: f64 = 5.0;

/// A scenario with one server.
#[derive(Clone, Debug)]
struct Scenario {
    instances: usize,
    /// The offered requests per second over all instances.
    offered: f64,
    /// The limits that the server announces, each from a time on; `None` if it announces no limit.
    limits: Vec<(u64, Option<f64>)>,
    /// The spans without a steward.
    absences: Vec<(u64, u64)>,
    /// The share of instances without a link to the steward.
    partition_ratio: f64,
    length_ms: u64,
    seed: u64,
}

impl Scenario {
    fn new(instances: usize, offered: f64, per_second: f64) -> Self {
        Self {
            instances,
            offered,
            limits: vec![(2000, Some(per_second))],
            absences: Vec::new(),
            partition_ratio: 0.0,
            length_ms: 20_000,
            seed: 7,
        }
    }

    fn with_absence(mut self, from_ms: u64, until_ms: u64) -> Self {
        self.absences.push((from_ms, until_ms));
        self
    }

    fn with_partition(mut self, share: f64) -> Self {
        self.partition_ratio = share;
        self
    }

    fn with_limit(mut self, from_ms: u64, per_second: Option<f64>) -> Self {
        self.limits.push((from_ms, per_second));
        self
    }

    fn limit(&self, now: u64) -> Option<f64> {
        let limit = self.limits.iter().rev().find(|(from, _)| *from <= now);
        limit.and_then(|(_, limit)| *limit)
    }

    fn has_steward(&self, now: u64) -> bool {
        self.absences
            .iter()
            .all(|(from, until)| now < *from || now >= *until)
    }

    /// The start of the current steward.
    fn steward_since(&self, now: u64) -> u64 {
        let ends = self.absences.iter().map(|(_, until)| *until);
        ends.filter(|until| *until <= now).max().unwrap_or_default()
    }
}

#[derive(Debug)]
enum Message {
    Notice(Notice),
    Request(Request),
    Reply(Reply),
    Limits(Vec<Notice>),
}

/// A request that arrived at the server, and since when its instance had known the limit.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: u64,
    known_since: Option<u64>,
}

#[derive(Debug, Default)]
struct Instance {
    name: SmolStr,
    gate: Gate,
    linked: bool,
    is_partitioned: bool,
    waiting: VecDeque<u64>,
    /// When the instance first got an answer with the limit in force.
    known_since: Option<u64>,
}

/// Runs a scenario and returns the requests that arrived at the server.
fn run(scenario: &Scenario) -> Vec<Arrival> {
    let server = SmolStr::new("s");
    let mut random = SmallRng::seed_from_u64(scenario.seed);
    let mut instances: Vec<Instance> = (0..scenario.instances)
        .map(|index| Instance {
            name: SmolStr::new(format!("i{index}")),
            is_partitioned: (index as f64) < scenario.partition_ratio * scenario.instances as f64,
            ..Instance::default()
        })
        .collect();
    let mut pacer = Pacer::default();
    let mut steward_since = 0;
    let mut sent_limits = Vec::new();
    // Messages to and from the steward, each with its time of arrival.
    let mut to_steward: Vec<(u64, usize, Message)> = Vec::new();
    let mut to_instances: Vec<(u64, usize, Message)> = Vec::new();
    let mut answers: Vec<(u64, usize, u64, Option<f64>)> = Vec::new();
    let mut arrivals = Vec::new();
    for ms in (0..scenario.length_ms).step_by(STEP_MS as usize) {
        let now = Instant(ms);
        let steward = scenario.has_steward(ms);
        if scenario.steward_since(ms) != steward_since {
            steward_since = scenario.steward_since(ms);
            pacer = Pacer::default();
            sent_limits.clear();
            to_steward.clear();
        }
        for instance in &mut instances {
            let linked = steward && !instance.is_partitioned;
            if linked && !instance.linked {
                instance.gate.link_opened();
            }
            instance.linked = linked;
        }
        let is_due = |(at, _, _): &mut (u64, usize, Message)| *at <= ms;
        for (_, index, message) in to_steward.extract_if(.., is_due).collect::<Vec<_>>() {
            match message {
                Message::Notice(notice) => {
                    pacer.update_limit(now, &notice);
                }
                Message::Request(request) => {
                    let reply = pacer.request(now, Requester::Link(index as u64), &request);
                    to_instances.push((ms + delay(&mut random), index, Message::Reply(reply)));
                }
                Message::Reply(_) | Message::Limits(_) => {}
            }
        }
        if steward {
            for (requester, reply) in pacer.grant_due(now) {
                if let Requester::Link(index) = requester {
                    let at = ms + delay(&mut random);
                    to_instances.push((at, index as usize, Message::Reply(reply)));
                }
            }
            if sent_limits != pacer.notices() {
                sent_limits = pacer.notices();
                for index in 0..scenario.instances {
                    let at = ms + delay(&mut random);
                    to_instances.push((at, index, Message::Limits(sent_limits.clone())));
                }
            }
        }
        for (_, index, message) in to_instances.extract_if(.., is_due).collect::<Vec<_>>() {
            let instance = &mut instances[index];
            if !instance.linked {
                continue;
            }
            match message {
                Message::Reply(reply) => instance.gate.handle_reply(now, &reply),
                Message::Limits(notices) => {
                    let limit = notices.first().and_then(|notice| notice.per_second);
                    instance.gate.update_from_steward(now, limit);
                }
                Message::Notice(_) | Message::Request(_) => {}
            }
        }
        let is_answer_due = |(at, _, _, _): &mut (u64, usize, u64, Option<f64>)| *at <= ms;
        for (_, index, sent, limit) in answers.extract_if(.., is_answer_due).collect::<Vec<_>>() {
            let instance = &mut instances[index];
            match limit {
                Some(limit) => {
                    instance.gate.observe_limit(now, limit);
                    instance.known_since.get_or_insert(ms);
                }
                None => {
                    instance.gate.observe_no_limit(Instant(sent));
                    instance.known_since = None;
                }
            }
        }
        let expected = scenario.offered * STEP_MS as f64 / 1000.0;
        let mut arriving = expected as usize;
        arriving += usize::from(random.random_bool(expected.fract()));
        for _ in 0..arriving {
            let index = random.random_range(0..scenario.instances);
            instances[index].waiting.push_back(ms);
        }
        for (index, instance) in instances.iter_mut().enumerate() {
            let since = |from: &u64| Duration::from_millis(ms - from);
            instance.waiting.retain(|from| since(from) < MAX_WAIT);
            let view = View {
                now,
                instance: &instance.name,
                instances: scenario.instances,
                has_steward: instance.linked,
            };
            while let Some(from) = instance.waiting.front().copied() {
                if !instance.gate.is_open(view) {
                    instance.gate.request_permit(view, MAX_WAIT - since(&from));
                    break;
                }
                instance.gate.use_permit(view);
                instance.waiting.pop_front();
                arrivals.push(Arrival {
                    at: ms,
                    known_since: instance.known_since,
                });
                let at = ms + delay(&mut random);
                answers.push((at, index, ms, scenario.limit(ms)));
            }
            if let Some(notice) = instance.gate.take_notice(now, &server)
                && instance.linked
            {
                let at = ms + delay(&mut random);
                to_steward.push((at, index, Message::Notice(notice)));
            }
            if let Some(request) = instance.gate.take_request(now, &server)
                && instance.linked
            {
                to_steward.push((ms + delay(&mut random), index, Message::Request(request)));
            }
        }
    }
    arrivals
}

fn delay(random: &mut SmallRng) -> u64 {
    random.random_range(1..=MAX_DELAY_MS)
}

/// The first window with more requests than the server's limit allows: its end, the number of requests, and
/// the number allowed.
fn excess(scenario: &Scenario, arrivals: &[Arrival]) -> Option<(u64, usize, f64)> {
    let mut limits = scenario.limits.iter().enumerate();
    limits.find_map(|(index, (from, limit))| {
        let allowed = EXCESS_RATIO * (*limit)? * WINDOW_MS as f64 / 1000.0 + EXCESS_REQUESTS;
        let until = scenario
            .limits
            .get(index + 1)
            .map_or(u64::MAX, |(next, _)| *next);
        let counted: Vec<u64> = arrivals
            .iter()
            .filter(|arrival| {
                arrival
                    .known_since
                    .is_some_and(|known_since| known_since + OBEY_MS <= arrival.at)
            })
            .map(|arrival| arrival.at)
            .filter(|at| (*from..until).contains(at))
            .collect();
        counted.iter().find_map(|last| {
            let first = last.saturating_sub(WINDOW_MS);
            let count = counted.iter().filter(|at| **at > first && *at <= last);
            let count = count.count();
            (*last >= from + SETTLE_MS && count as f64 > allowed).then_some((*last, count, allowed))
        })
    })
}

fn assert_within_limit(scenario: &Scenario) {
    let excess = excess(scenario, &run(scenario));
    assert_eq!(excess, None, "{scenario:?}");
}

/// The requests that arrived in a span, as a share of the limit or of the offered load, whichever is lower.
fn utilisation(scenario: &Scenario, from_ms: u64, until_ms: u64) -> f64 {
    let span = from_ms..until_ms;
    let arrived = run(scenario)
        .into_iter()
        .filter(|arrival| span.contains(&arrival.at));
    let seconds = (until_ms - from_ms) as f64 / 1000.0;
    let capacity = scenario
        .limit(from_ms)
        .map_or(scenario.offered, |limit| limit.min(scenario.offered));
    arrived.count() as f64 / seconds / capacity
}

fn random_scenario(seed: u64) -> Scenario {
    let mut random = SmallRng::seed_from_u64(seed);
    let per_second = random.random_range(0.2..40.0);
    let offered = per_second * random.random_range(0.25..10.0);
    let from = random.random_range(0..12_000);
    let until = from + random.random_range(0..8000);
    let scenario = Scenario::new(random.random_range(2..200), offered, per_second);
    Scenario { seed, ..scenario }
        .with_partition(random.random_range(0.0..1.0))
        .with_absence(from, until)
}

cases! {
    /// Fifteen instances that each used the whole limit of 1.3 per second would send fifteen times as much.
    low_limit => assert_within_limit(&Scenario::new(15, 8.0, 1.3));
    /// The same with a higher limit.
    moderate_limit => assert_within_limit(&Scenario::new(15, 12.0, 2.9));
    /// With 300 instances, an equal part of such a limit would be one request in four minutes.
    many_instances => assert_within_limit(&Scenario::new(300, 40.0, 1.3));
    /// A limit of many requests, as an engine with a hundred slots announces it.
    high_limit => assert_within_limit(&Scenario::new(15, 300.0, 40.0));
    /// There is no steward: instances that wait for permits would all proceed after a while.
    no_steward => assert_within_limit(&Scenario::new(30, 40.0, 2.0).with_absence(0, 20_000));
    /// The steward dies with permits in transit, and the next one does not know of them.
    steward_death => assert_within_limit(&Scenario::new(30, 40.0, 2.0).with_absence(8000, 11_000));
    /// Half of the instances are partitioned from the steward, which grants the whole limit to the others.
    partition_from_the_steward => assert_within_limit(&Scenario::new(30, 40.0, 2.0).with_partition(0.5));
    /// A steward grants the whole limit to the few instances with a link, while all others draw at random.
    draws_beside_permits_for_whole_limit => assert_within_limit(&random_scenario(2));
    /// The draws of instances with similar names coincide.
    coinciding_draws => assert_within_limit(&random_scenario(1077));
    /// The limit is lowered while permits for the higher one are in use.
    lowered_limit => assert_within_limit(&Scenario::new(15, 40.0, 20.0).with_limit(9000, Some(1.5)));
    /// Unused permits would mean refused callers although the server would accept them.
    permits_are_used => assert!(utilisation(&Scenario::new(15, 8.0, 1.3), 6000, 20_000) > 0.8);
    /// The round trip to the steward before each request must not halve the throughput of a high limit.
    high_limit_is_used => assert!(utilisation(&Scenario::new(15, 300.0, 40.0), 6000, 20_000) > 0.8);
    /// A server below its limit gets all requests.
    below_the_limit => assert!(utilisation(&Scenario::new(15, 40.0, 80.0), 6000, 20_000) > 0.9);
    /// A server that has recovered would stay nearly idle.
    lifted_limit => assert!(utilisation(&Scenario::new(15, 20.0, 1.5).with_limit(9000, None), 14_000, 20_000) > 0.95);
    /// The same without a steward, where one request in minutes shows the recovery.
    lifted_limit_without_a_steward => assert!(
        utilisation(&Scenario::new(15, 20.0, 2.0).with_limit(9000, None).with_absence(0, 60_000), 15_000, 20_000) > 0.2
    );
}

/// Random limits, loads, partitions and spans without a steward.
#[test]
fn random_scenarios() {
    for seed in 0..SEEDS {
        assert_within_limit(&random_scenario(seed));
    }
}
