//! A simulation, in virtual time, of instances and a steward that enforce one organisation's quota.

use std::time::Duration;

use fireflywheel::clock::Instant;
use fireflywheel::fleet::organisation::{Credential, Organisation, Registry};
use fireflywheel::fleet::quota::gate::{Gate, SHARES_TTL, View};
use fireflywheel::fleet::quota::meter::Meter;
use fireflywheel::fleet::quota::{Quota, Share, Unit};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use smol_str::{SmolStr, format_smolstr};

/// The time between two steps, in milliseconds.
const STEP_MS: u64 = 5;
/// The window over which the quota is checked, in milliseconds.
pub const WINDOW_MS: u64 = 8_000;
/// What may be admitted beyond the quota: a share of the quota, and tokens per instance.
const OVERAGE_RATIO: f64 = 0.1;
const SLACK_PER_INSTANCE: f64 = 667.0;
/// The time after which a lost link is detected, in milliseconds.
const LINK_TIMEOUT_MS: u64 = 900;
/// The transit time of a frame, in milliseconds.
const TRANSIT_MS: u64 = 10;
/// The tokens of each request.
pub const COST: u32 = 715;

/// A failure, between two times in milliseconds.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// There is no steward; the next one has no state.
    NoSteward,
    /// This share of all instances, the first ones, cannot reach the steward.
    Partition(f64),
    /// All processes are killed; they restart and reconnect at the end.
    AllKilled,
}

/// A scenario: a load and the failures during it.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub instances: usize,
    pub quota: f64,
    /// The number of instances that the organisation's callers are connected to.
    pub caller_instances: usize,
    /// The offered load as a share of the quota, each from a time in milliseconds on.
    pub load: Vec<(u64, f64)>,
    /// The time from which on the quota is lowered, and the divisor.
    pub lowered: Option<(u64, f64)>,
    pub faults: Vec<(u64, u64, Fault)>,
    /// The tokens of a request.
    pub cost: u32,
    /// Whether instances follow the steward's shares.
    pub coordinated: bool,
    pub seed: u64,
}

/// The admitted and refused requests.
#[derive(Debug, Default)]
pub struct Outcome {
    /// The time and the tokens of each admitted request.
    pub admitted: Vec<(u64, f64)>,
    pub refused: Vec<(u64, f64)>,
}

struct Instance {
    name: SmolStr,
    gate: Gate,
    shares_expiry: Instant,
    has_shares: bool,
    linked: bool,
    incoming: Vec<(u64, Vec<Share>, u64)>,
}

impl Instance {
    fn new(index: usize, rng: &mut SmallRng) -> Self {
        Self {
            name: format_smolstr!("i{index}"),
            gate: Gate::new(rng.random()),
            shares_expiry: Instant(0),
            has_shares: false,
            linked: false,
            incoming: Vec::new(),
        }
    }
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            instances: 108,
            quota: 18_000.0,
            caller_instances: 108,
            load: vec![(0, 0.55)],
            lowered: None,
            faults: Vec::new(),
            cost: COST,
            coordinated: true,
            seed: 1,
        }
    }
}

fn registry(per_second: f64) -> Registry {
    let unit = Unit::Tokens { plain: 200.0 };
    let quota = Quota::new(per_second, per_second, unit).expect("a valid limit");
    let organisation = Organisation::new("desk").with_quota(quota.expect("it is a limit"));
    Registry::new([(organisation, vec![Credential::of("k")])]).expect("one organisation")
}

impl Scenario {
    fn quota_at(&self, now: u64) -> f64 {
        match self.lowered {
            Some((at, by)) if now >= at => self.quota / by,
            _ => self.quota,
        }
    }

    fn load_at(&self, now: u64) -> f64 {
        let step = self.load.iter().rev().find(|(at, _)| now >= *at);
        step.map_or(0.0, |(_, load)| *load)
    }

    fn has_fault(&self, now: u64, matches_fault: impl Fn(Fault) -> bool) -> bool {
        let mut faults = self.faults.iter();
        faults.any(|(from, until, fault)| (*from..*until).contains(&now) && matches_fault(*fault))
    }

    fn is_partitioned(&self, now: u64, index: usize) -> bool {
        self.has_fault(now, |fault| match fault {
            Fault::Partition(share) => index < (share * self.instances as f64) as usize,
            Fault::NoSteward | Fault::AllKilled => false,
        })
    }

    /// Runs the scenario until `end`, in milliseconds.
    pub fn run(&self, end: u64) -> Outcome {
        let mut rng = SmallRng::seed_from_u64(self.seed);
        let mut instances: Vec<Instance> = (0..self.instances)
            .map(|index| Instance::new(index, &mut rng))
            .collect();
        let mut meter = Meter::default();
        let mut outcome = Outcome::default();
        let share_interval = (3 * self.instances as u64 / 4).clamp(50, 300);
        let report_interval = (3 * self.instances as u64 / 5).clamp(6, 300);
        let mut had_steward = false;
        for now in (0..end).step_by(STEP_MS as usize) {
            let killed = self.has_fault(now, |fault| matches!(fault, Fault::AllKilled));
            let steward =
                !killed && !self.has_fault(now, |fault| matches!(fault, Fault::NoSteward));
            if steward && !had_steward {
                meter = Meter::default();
            }
            had_steward = steward;
            let quota = self.quota_at(now);
            let registry = registry(quota);
            for (index, instance) in instances.iter_mut().enumerate() {
                if killed {
                    *instance = Instance::new(index, &mut rng);
                    continue;
                }
                self.exchange_frames(now, index, instance, steward, &mut meter, report_interval);
            }
            if steward && now % share_interval < STEP_MS {
                let shares = meter.shares(
                    Instant(now),
                    &registry,
                    self.instances,
                    Duration::from_millis(WINDOW_MS),
                );
                for instance in instances.iter_mut().filter(|instance| instance.linked) {
                    let arrives = now + TRANSIT_MS;
                    instance.incoming.push((arrives, shares.clone(), now));
                }
            }
            if !killed {
                self.offer_load(
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

    fn exchange_frames(
        &self,
        now: u64,
        index: usize,
        instance: &mut Instance,
        steward: bool,
        meter: &mut Meter,
        report_interval: u64,
    ) {
        let is_reachable = steward && !self.is_partitioned(now, index);
        let was_reachable =
            now < LINK_TIMEOUT_MS || !self.is_partitioned(now - LINK_TIMEOUT_MS, index);
        let is_undetected = steward && was_reachable && instance.linked;
        if !is_reachable && !is_undetected {
            if instance.linked && steward {
                meter.link_closed(Instant(now), &instance.name);
            }
            instance.linked = false;
            instance.incoming.clear();
        }
        if !is_reachable {
            return;
        }
        if !instance.linked {
            instance.gate.link_opened();
        }
        instance.linked = true;
        let offset = index as u64 * 7 % report_interval;
        if (now + offset) % report_interval < STEP_MS {
            let usage = instance.gate.take_usage(Instant(now), &"desk".into());
            meter.record_usage(Instant(now), &instance.name, &Vec::from_iter(usage));
        }
        while instance.incoming.first().is_some_and(|(at, ..)| *at <= now) {
            let (_, shares, sent) = instance.incoming.remove(0);
            instance
                .gate
                .update_share(Instant(now), shares.into_iter().next());
            instance.shares_expiry = Instant(sent).after(SHARES_TTL);
            instance.has_shares = true;
        }
    }

    fn offer_load(
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
        let offered = self.load_at(now) * self.quota.max(quota) * STEP_MS as f64 / 1000.0;
        let mut requests = offered / f64::from(self.cost);
        while requests > 0.0 {
            if requests < 1.0 && rng.random::<f64>() >= requests {
                break;
            }
            requests -= 1.0;
            let index = rng.random_range(0..self.caller_instances);
            let instance = &mut instances[self.instances - 1 - index];
            let view = View {
                now: Instant(now),
                window: Duration::from_millis(WINDOW_MS),
                instances: if instance.has_shares {
                    self.instances
                } else {
                    300.max(self.instances)
                },
                shares_valid: self.coordinated && Instant(now) < instance.shares_expiry,
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

    /// The largest number of tokens that may be admitted in any window.
    pub fn bound(&self, quota: f64) -> f64 {
        let window = Duration::from_millis(WINDOW_MS).as_secs_f64();
        quota * (window + 1.0) * (1.0 + OVERAGE_RATIO) + SLACK_PER_INSTANCE * self.instances as f64
    }
}

/// The largest number of tokens admitted in a window that begins at `from` or later.
pub fn max_in_a_window(admitted: &[(u64, f64)], from: u64) -> f64 {
    let (mut first, mut sum, mut most) = (0, 0.0, 0.0_f64);
    let admitted: Vec<_> = admitted.iter().filter(|(at, _)| *at >= from).collect();
    for (at, cost) in &admitted {
        sum += cost;
        while admitted[first].0 + WINDOW_MS < *at {
            sum -= admitted[first].1;
            first += 1;
        }
        most = most.max(sum);
    }
    most
}

/// The tokens of the requests between two times.
pub fn sum(list: &[(u64, f64)], from: u64, until: u64) -> f64 {
    let within = list.iter().filter(|(at, _)| (from..until).contains(at));
    within.map(|(_, cost)| cost).sum()
}
