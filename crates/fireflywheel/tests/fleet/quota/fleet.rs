//! Instances and a steward that share one organisation's quota, in virtual time.

use std::time::Duration;

use fireflywheel::clock::Instant;
use fireflywheel::fleet::organisation::{Credential, Organisation, Registry};
use fireflywheel::fleet::quota::gate::{Gate, SHARES_TTL, View};
use fireflywheel::fleet::quota::meter::Meter;
use fireflywheel::fleet::quota::{Quota, Share, Unit};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use smol_str::{SmolStr, format_smolstr};

/// Time between two steps, in milliseconds.
const STEP: u64 = 5;
/// The window over which a quota is checked, in milliseconds.
pub const WINDOW: u64 = 8_000;
/// What may be admitted beyond the quota, as a share of it and in tokens for each instance.
const OVERAGE: f64 = 0.1;
const SLACK_AN_INSTANCE: f64 = 667.0;
/// A link that is cut is noticed after this, in milliseconds.
const SILENCE: u64 = 900;
/// How long a frame takes, in milliseconds.
const TRANSIT: u64 = 10;
/// Requests of this many tokens each.
pub const COST: u32 = 715;

/// What happens to the fleet, from one time to another in milliseconds.
#[derive(Clone, Copy, Debug)]
pub enum Trouble {
    /// Nobody is steward; the next one knows nothing.
    NoSteward,
    /// The first instances, this share of all, reach no steward.
    Cut(f64),
    /// All processes end; they are linked again at the end.
    AllKilled,
}

/// A load and what happens meanwhile.
#[derive(Clone, Debug)]
pub struct Play {
    pub instances: usize,
    pub quota: f64,
    /// Instances at which the organisation's callers are.
    pub callers_at: usize,
    /// What it asks for, as a share of the quota, from this time on in milliseconds.
    pub load: Vec<(u64, f64)>,
    /// The quota is divided by this from this time on.
    pub lowered: Option<(u64, f64)>,
    pub troubles: Vec<(u64, u64, Trouble)>,
    /// The size of a request.
    pub cost: u32,
    /// Whether instances follow the steward's shares.
    pub coordinated: bool,
    pub seed: u64,
}

/// What was admitted and refused.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Time and tokens of each request that was admitted.
    pub admitted: Vec<(u64, f64)>,
    pub refused: Vec<(u64, f64)>,
}

struct Instance {
    name: SmolStr,
    gate: Gate,
    told_until: Instant,
    ever_told: bool,
    linked: bool,
    arriving: Vec<(u64, Vec<Share>, u64)>,
}

impl Instance {
    fn new(place: usize, rng: &mut SmallRng) -> Self {
        Self {
            name: format_smolstr!("i{place}"),
            gate: Gate::new(rng.random()),
            told_until: Instant(0),
            ever_told: false,
            linked: false,
            arriving: Vec::new(),
        }
    }
}

impl Default for Play {
    fn default() -> Self {
        Self {
            instances: 108,
            quota: 18_000.0,
            callers_at: 108,
            load: vec![(0, 0.55)],
            lowered: None,
            troubles: Vec::new(),
            cost: COST,
            coordinated: true,
            seed: 1,
        }
    }
}

fn registry(per_second: f64) -> Registry {
    let unit = Unit::Tokens { plain: 200.0 };
    let quota = Quota::new(per_second, per_second, unit).expect("a limit");
    let organisation = Organisation::new("desk").with_quota(quota.expect("it is a limit"));
    Registry::new([(organisation, vec![Credential::of("k")])]).expect("one organisation")
}

impl Play {
    fn quota_at(&self, now: u64) -> f64 {
        match self.lowered {
            Some((at, by)) if now >= at => self.quota / by,
            _ => self.quota,
        }
    }

    fn load_at(&self, now: u64) -> f64 {
        let begun = self.load.iter().rev().find(|(at, _)| now >= *at);
        begun.map_or(0.0, |(_, load)| *load)
    }

    fn is(&self, now: u64, kind: impl Fn(Trouble) -> bool) -> bool {
        let mut troubles = self.troubles.iter();
        troubles.any(|(from, until, trouble)| (*from..*until).contains(&now) && kind(*trouble))
    }

    fn cut(&self, now: u64, place: usize) -> bool {
        self.is(now, |trouble| match trouble {
            Trouble::Cut(share) => place < (share * self.instances as f64) as usize,
            Trouble::NoSteward | Trouble::AllKilled => false,
        })
    }

    /// Plays it until `end` milliseconds.
    pub fn run(&self, end: u64) -> Outcome {
        let mut rng = SmallRng::seed_from_u64(self.seed);
        let mut instances: Vec<Instance> = (0..self.instances)
            .map(|place| Instance::new(place, &mut rng))
            .collect();
        let mut meter = Meter::default();
        let mut outcome = Outcome::default();
        let tell_every = (3 * self.instances as u64 / 4).clamp(50, 300);
        let report_every = (3 * self.instances as u64 / 5).clamp(6, 300);
        let mut had_steward = false;
        for now in (0..end).step_by(STEP as usize) {
            let killed = self.is(now, |trouble| matches!(trouble, Trouble::AllKilled));
            let steward = !killed && !self.is(now, |trouble| matches!(trouble, Trouble::NoSteward));
            if steward && !had_steward {
                meter = Meter::default();
            }
            had_steward = steward;
            let quota = self.quota_at(now);
            let registry = registry(quota);
            for (place, instance) in instances.iter_mut().enumerate() {
                if killed {
                    *instance = Instance::new(place, &mut rng);
                    continue;
                }
                self.talk(now, place, instance, steward, &mut meter, report_every);
            }
            if steward && now % tell_every < STEP {
                let shares = meter.shares(
                    Instant(now),
                    &registry,
                    self.instances,
                    Duration::from_millis(WINDOW),
                );
                for instance in instances.iter_mut().filter(|instance| instance.linked) {
                    let arrives = now + TRANSIT;
                    instance.arriving.push((arrives, shares.clone(), now));
                }
            }
            if !killed {
                self.load(
                    now,
                    quota,
                    &mut instances,
                    &registry,
                    &mut rng,
                    &mut outcome,
                );
            }
        }
        outcome
    }

    fn talk(
        &self,
        now: u64,
        place: usize,
        instance: &mut Instance,
        steward: bool,
        meter: &mut Meter,
        report_every: u64,
    ) {
        let reaches = steward && !self.cut(now, place);
        let was = now < SILENCE || !self.cut(now - SILENCE, place);
        let unnoticed = steward && was && instance.linked;
        if !reaches && !unnoticed {
            if instance.linked && steward {
                meter.link_closed(Instant(now), &instance.name);
            }
            instance.linked = false;
            instance.arriving.clear();
        }
        if !reaches {
            return;
        }
        if !instance.linked {
            instance.gate.link_opened();
        }
        instance.linked = true;
        let offset = place as u64 * 7 % report_every;
        if (now + offset) % report_every < STEP {
            let usage = instance.gate.take_usage(Instant(now), &"desk".into());
            meter.record_usage(Instant(now), &instance.name, &Vec::from_iter(usage));
        }
        while instance.arriving.first().is_some_and(|(at, ..)| *at <= now) {
            let (_, shares, sent) = instance.arriving.remove(0);
            instance
                .gate
                .update_share(Instant(now), shares.into_iter().next());
            instance.told_until = Instant(sent).after(SHARES_TTL);
            instance.ever_told = true;
        }
    }

    fn load(
        &self,
        now: u64,
        quota: f64,
        instances: &mut [Instance],
        registry: &Registry,
        rng: &mut SmallRng,
        outcome: &mut Outcome,
    ) {
        let organisation = registry.iter().next().expect("there is one");
        let quota_now = organisation.quota.expect("it has one");
        let asked = self.load_at(now) * self.quota.max(quota) * STEP as f64 / 1000.0;
        let mut requests = asked / f64::from(self.cost);
        while requests > 0.0 {
            if requests < 1.0 && rng.random::<f64>() >= requests {
                break;
            }
            requests -= 1.0;
            let place = rng.random_range(0..self.callers_at);
            let instance = &mut instances[self.instances - 1 - place];
            let view = View {
                now: Instant(now),
                window: Duration::from_millis(WINDOW),
                instances: if instance.ever_told {
                    self.instances
                } else {
                    300.max(self.instances)
                },
                shares_valid: self.coordinated && Instant(now) < instance.told_until,
            };
            let cost = f64::from(self.cost);
            let admitted = instance.gate.admit(view, &quota_now, cost).is_ok();
            let list = if admitted {
                &mut outcome.admitted
            } else {
                &mut outcome.refused
            };
            list.push((now, cost));
        }
    }

    /// The most that may be admitted in any window.
    pub fn bound(&self, quota: f64) -> f64 {
        let window = Duration::from_millis(WINDOW).as_secs_f64();
        quota * (window + 1.0) * (1.0 + OVERAGE) + SLACK_AN_INSTANCE * self.instances as f64
    }
}

/// The most that was admitted in a window that begins at `from` or later.
pub fn most_in_a_window(admitted: &[(u64, f64)], from: u64) -> f64 {
    let (mut first, mut sum, mut most) = (0, 0.0, 0.0_f64);
    let admitted: Vec<_> = admitted.iter().filter(|(at, _)| *at >= from).collect();
    for (at, cost) in &admitted {
        sum += cost;
        while admitted[first].0 + WINDOW < *at {
            sum -= admitted[first].1;
            first += 1;
        }
        most = most.max(sum);
    }
    most
}

/// What was admitted or refused between two times.
pub fn sum(list: &[(u64, f64)], from: u64, until: u64) -> f64 {
    let within = list.iter().filter(|(at, _)| (from..until).contains(at));
    within.map(|(_, cost)| cost).sum()
}
