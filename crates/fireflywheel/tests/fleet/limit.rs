//! A server that names a limit, many instances, and a steward that may be away, in virtual time.

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

/// Drawn days that are played.
const SEEDS: u64 = 60;
const STEP_MS: u64 = 5;
/// Links take from one step up to this.
const DELAY_MS: u64 = 40;
/// How long a request waits for its turn.
const PATIENCE: Duration = Duration::from_millis(2500);
/// The span over which the server counts, and from when on after it named its limit.
const WINDOW_MS: u64 = 4000;
const NOTICE_MS: u64 = 3000;
/// Instances that had its answer for so long must know.
const KNOWN_MS: u64 = 500;
/// So much more may come in a window, and so many more beside.
const EXCESS: f64 = 1.5;
const EXTRA: f64 = 5.0;

/// A day of one server.
#[derive(Clone, Debug)]
struct Day {
    instances: usize,
    /// Requests a second over all instances.
    offered: f64,
    /// What the server names, from when on; none if it names nothing.
    limits: Vec<(u64, Option<f64>)>,
    /// While there is no steward.
    away: Vec<(u64, u64)>,
    /// The share of instances without a link.
    cut: f64,
    length_ms: u64,
    seed: u64,
}

impl Day {
    fn new(instances: usize, offered: f64, per_second: f64) -> Self {
        Self {
            instances,
            offered,
            limits: vec![(2000, Some(per_second))],
            away: Vec::new(),
            cut: 0.0,
            length_ms: 20_000,
            seed: 7,
        }
    }

    fn with_away(mut self, from_ms: u64, until_ms: u64) -> Self {
        self.away.push((from_ms, until_ms));
        self
    }

    fn with_cut(mut self, share: f64) -> Self {
        self.cut = share;
        self
    }

    fn with_limit(mut self, from_ms: u64, per_second: Option<f64>) -> Self {
        self.limits.push((from_ms, per_second));
        self
    }

    fn limit(&self, now: u64) -> Option<f64> {
        let named = self.limits.iter().rev().find(|(from, _)| *from <= now);
        named.and_then(|(_, limit)| *limit)
    }

    fn has_steward(&self, now: u64) -> bool {
        self.away
            .iter()
            .all(|(from, until)| now < *from || now >= *until)
    }

    /// Begins with the steward of this time.
    fn steward_since(&self, now: u64) -> u64 {
        let ended = self.away.iter().map(|(_, until)| *until);
        ended
            .filter(|until| *until <= now)
            .max()
            .unwrap_or_default()
    }
}

#[derive(Debug)]
enum Message {
    Notice(Notice),
    Request(Request),
    Reply(Reply),
    Limits(Vec<Notice>),
}

/// One that came to the server, and since when its instance had known its limit.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: u64,
    told: Option<u64>,
}

#[derive(Debug, Default)]
struct Instance {
    name: SmolStr,
    gate: Gate,
    linked: bool,
    cut: bool,
    waiting: VecDeque<u64>,
    /// When it first had an answer with the limit in force.
    told: Option<u64>,
}

/// Plays a day; when requests came.
fn play(day: &Day) -> Vec<Arrival> {
    let server = SmolStr::new("s");
    let mut random = SmallRng::seed_from_u64(day.seed);
    let mut instances: Vec<Instance> = (0..day.instances)
        .map(|place| Instance {
            name: SmolStr::new(format!("i{place}")),
            cut: (place as f64) < day.cut * day.instances as f64,
            ..Instance::default()
        })
        .collect();
    let mut pacer = Pacer::default();
    let mut steward_since = 0;
    let mut told = Vec::new();
    // To the steward and back, with when each arrives.
    let mut up: Vec<(u64, usize, Message)> = Vec::new();
    let mut down: Vec<(u64, usize, Message)> = Vec::new();
    let mut answers: Vec<(u64, usize, u64, Option<f64>)> = Vec::new();
    let mut arrivals = Vec::new();
    for ms in (0..day.length_ms).step_by(STEP_MS as usize) {
        let now = Instant(ms);
        let steward = day.has_steward(ms);
        if day.steward_since(ms) != steward_since {
            steward_since = day.steward_since(ms);
            pacer = Pacer::default();
            told.clear();
            up.clear();
        }
        for instance in &mut instances {
            let linked = steward && !instance.cut;
            if linked && !instance.linked {
                instance.gate.link_opened();
            }
            instance.linked = linked;
        }
        let due = |(at, _, _): &mut (u64, usize, Message)| *at <= ms;
        for (_, place, message) in up.extract_if(.., due).collect::<Vec<_>>() {
            match message {
                Message::Notice(notice) => {
                    pacer.update_limit(now, &notice);
                }
                Message::Request(ask) => {
                    let reply = pacer.request(now, Requester::Link(place as u64), &ask);
                    down.push((ms + delay(&mut random), place, Message::Reply(reply)));
                }
                Message::Reply(_) | Message::Limits(_) => {}
            }
        }
        if steward {
            for (requester, reply) in pacer.grant_due(now) {
                if let Requester::Link(place) = requester {
                    let at = ms + delay(&mut random);
                    down.push((at, place as usize, Message::Reply(reply)));
                }
            }
            if told != pacer.notices() {
                told = pacer.notices();
                for place in 0..day.instances {
                    let at = ms + delay(&mut random);
                    down.push((at, place, Message::Limits(told.clone())));
                }
            }
        }
        for (_, place, message) in down.extract_if(.., due).collect::<Vec<_>>() {
            let instance = &mut instances[place];
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
        let answered = |(at, _, _, _): &mut (u64, usize, u64, Option<f64>)| *at <= ms;
        for (_, place, sent, limit) in answers.extract_if(.., answered).collect::<Vec<_>>() {
            let instance = &mut instances[place];
            match limit {
                Some(limit) => {
                    instance.gate.observe_limit(now, limit);
                    instance.told.get_or_insert(ms);
                }
                None => {
                    instance.gate.observe_no_limit(Instant(sent));
                    instance.told = None;
                }
            }
        }
        let chance = day.offered * STEP_MS as f64 / 1000.0;
        let mut come = chance as usize;
        come += usize::from(random.random_bool(chance.fract()));
        for _ in 0..come {
            let place = random.random_range(0..day.instances);
            instances[place].waiting.push_back(ms);
        }
        for (place, instance) in instances.iter_mut().enumerate() {
            let since = |from: &u64| Duration::from_millis(ms - from);
            instance.waiting.retain(|from| since(from) < PATIENCE);
            let view = View {
                now,
                instance: &instance.name,
                instances: day.instances,
                steward: instance.linked,
            };
            while let Some(from) = instance.waiting.front().copied() {
                if !instance.gate.is_open(view) {
                    instance.gate.request_permit(view, PATIENCE - since(&from));
                    break;
                }
                instance.gate.use_permit(view);
                instance.waiting.pop_front();
                arrivals.push(Arrival {
                    at: ms,
                    told: instance.told,
                });
                let at = ms + delay(&mut random);
                answers.push((at, place, ms, day.limit(ms)));
            }
            if let Some(notice) = instance.gate.take_notice(now, &server)
                && instance.linked
            {
                let at = ms + delay(&mut random);
                up.push((at, place, Message::Notice(notice)));
            }
            if let Some(ask) = instance.gate.take_request(now, &server)
                && instance.linked
            {
                up.push((ms + delay(&mut random), place, Message::Request(ask)));
            }
        }
    }
    arrivals
}

fn delay(random: &mut SmallRng) -> u64 {
    random.random_range(1..=DELAY_MS)
}

/// The first window with more than the server's limit allows: what came, and what may.
fn excess(day: &Day, arrivals: &[Arrival]) -> Option<(u64, usize, f64)> {
    let mut limits = day.limits.iter().enumerate();
    limits.find_map(|(place, (from, limit))| {
        let allowed = EXCESS * (*limit)? * WINDOW_MS as f64 / 1000.0 + EXTRA;
        let until = day
            .limits
            .get(place + 1)
            .map_or(u64::MAX, |(next, _)| *next);
        let counted: Vec<u64> = arrivals
            .iter()
            .filter(|arrival| {
                arrival
                    .told
                    .is_some_and(|told| told + KNOWN_MS <= arrival.at)
            })
            .map(|arrival| arrival.at)
            .filter(|at| (*from..until).contains(at))
            .collect();
        counted.iter().find_map(|last| {
            let first = last.saturating_sub(WINDOW_MS);
            let many = counted.iter().filter(|at| **at > first && *at <= last);
            let many = many.count();
            (*last >= from + NOTICE_MS && many as f64 > allowed).then_some((*last, many, allowed))
        })
    })
}

fn holds(day: &Day) {
    let excess = excess(day, &play(day));
    assert_eq!(excess, None, "{day:?}");
}

/// Requests that came in a span, as a share of those that the server takes or that are offered.
fn used(day: &Day, from_ms: u64, until_ms: u64) -> f64 {
    let span = from_ms..until_ms;
    let came = play(day)
        .into_iter()
        .filter(|arrival| span.contains(&arrival.at));
    let seconds = (until_ms - from_ms) as f64 / 1000.0;
    let possible = day
        .limit(from_ms)
        .map_or(day.offered, |limit| limit.min(day.offered));
    came.count() as f64 / seconds / possible
}

fn drawn(seed: u64) -> Day {
    let mut random = SmallRng::seed_from_u64(seed);
    let per_second = random.random_range(0.2..40.0);
    let offered = per_second * random.random_range(0.25..10.0);
    let from = random.random_range(0..12_000);
    let until = from + random.random_range(0..8000);
    let day = Day::new(random.random_range(2..200), offered, per_second);
    Day { seed, ..day }
        .with_cut(random.random_range(0.0..1.0))
        .with_away(from, until)
}

cases! {
    /// Fifteen instances that each keep to the whole of 1.3 a second would send fifteen times as much.
    few_a_second => holds(&Day::new(15, 8.0, 1.3));
    /// The same of a larger limit.
    some_a_second => holds(&Day::new(15, 12.0, 2.9));
    /// A part of such a limit for each of 300 instances would be a request in four minutes.
    many_instances => holds(&Day::new(300, 40.0, 1.3));
    /// A limit of many requests, as an engine with a hundred places names it.
    many_a_second => holds(&Day::new(15, 300.0, 40.0));
    /// Nobody grants permits: instances that wait for them all go ahead after a while.
    no_steward => holds(&Day::new(30, 40.0, 2.0).with_away(0, 20_000));
    /// The steward dies with permits on their way, and the next one knows nothing of them.
    steward_that_dies => holds(&Day::new(30, 40.0, 2.0).with_away(8000, 11_000));
    /// Half of the instances are cut off from the steward, which grants the whole to the others.
    cut_from_the_steward => holds(&Day::new(30, 40.0, 2.0).with_cut(0.5));
    /// A steward that grants the whole limit to those few that have a link, beside random draws of all others.
    draws_beside_the_whole => holds(&drawn(2));
    /// Draws of instances with similar names fall together.
    draws_that_repeat => holds(&drawn(1077));
    /// The limit falls while permits for the larger one are in use.
    lower_limit => holds(&Day::new(15, 40.0, 20.0).with_limit(9000, Some(1.5)));
    /// Permits go unused, and callers are refused although the server would take them.
    permits_are_used => assert!(used(&Day::new(15, 8.0, 1.3), 6000, 20_000) > 0.8);
    /// A request that needs a round to the steward must not halve what a large limit lets through.
    large_limit_is_used => assert!(used(&Day::new(15, 300.0, 40.0), 6000, 20_000) > 0.8);
    /// Below its limit a server gets all requests.
    below_the_limit => assert!(used(&Day::new(15, 40.0, 80.0), 6000, 20_000) > 0.9);
    /// A server that is well again would stay nearly idle.
    limit_that_is_lifted => assert!(used(&Day::new(15, 20.0, 1.5).with_limit(9000, None), 14_000, 20_000) > 0.95);
    /// The same without a steward, where one request in minutes shows it.
    lifted_without_a_steward => assert!(
        used(&Day::new(15, 20.0, 2.0).with_limit(9000, None).with_away(0, 60_000), 15_000, 20_000) > 0.2
    );
}

/// Any limit, crowd, cut and absence of the steward.
#[test]
fn any_day() {
    for seed in 0..SEEDS {
        holds(&drawn(seed));
    }
}
