//! What all instances admit for organisations, as the steward counts it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use smol_str::SmolStr;

use super::{Quota, SPANS, Share, Usage};
use crate::clock;
use crate::fleet::{organisation, rate};

/// What is asked for is measured over this: longer than instances take to tell, shorter than a crowd takes to use a burst.
const OFFER_HALF_LIFE: Duration = Duration::from_millis(300);
/// What is admitted, from which follow the parts of instances without a steward.
const USE_HALF_LIFE: Duration = Duration::from_secs(3);
/// What is left of the burst, or lacks, is spread over this.
const CORRECTION: Duration = Duration::from_millis(300);
/// What was admitted beyond the quota is made up for up to this many bursts, or seconds if there is none: an organisation
/// isn't shut out for long by what nobody could know.
const MOST_DEBT: f64 = 4.0;
/// Links that are made later than this after a steward began were to it before: it counted what came over them.
const INHERITED: Duration = Duration::from_secs(4);
/// A new steward doesn't know what was admitted before it: it begins with this share of the burst.
const START: f64 = 0.25;
/// An instance whose link has ended may go on with its part. It is left to it for this long, unless it comes back.
const AWAY: Duration = Duration::from_secs(30);

/// All organisations' quotas.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    accounts: BTreeMap<SmolStr, Account>,
    linked: BTreeSet<SmolStr>,
    /// Instances whose links have ended, and when.
    away: BTreeMap<SmolStr, clock::Instant>,
}

/// A quota, and the span over which it holds.
#[derive(Clone, Copy, Debug)]
struct Limit {
    quota: Quota,
    window: Duration,
}

/// Instances that have no link now.
#[derive(Clone, Copy, Debug)]
struct Silence {
    /// Those that had one.
    away: usize,
    /// Those that this steward has never heard of.
    unknown: usize,
    /// All instances.
    instances: usize,
}

/// One organisation's use.
#[derive(Clone, Debug)]
struct Account {
    level: f64,
    filled: clock::Instant,
    /// When this steward began to count.
    begun: clock::Instant,
    limit: Limit,
    offered: rate::Rate,
    admitted: rate::Rate,
    by_instance: BTreeMap<SmolStr, rate::Rate>,
    /// What was set aside for instances without a link when the share was decided last.
    aside: f64,
    /// What was admitted before links were made to this steward, in spans of the window, the newest first.
    before: Vec<f64>,
    /// How far that went beyond the quota.
    debt: f64,
    /// What instances that are away may admit in a second.
    reserved: BTreeMap<SmolStr, f64>,
}

/// What decides an organisation's share.
#[derive(Clone, Copy, Debug)]
pub struct Figures {
    /// What it asks for in a second.
    pub offered: f64,
    /// What is admitted for it in a second.
    pub used: f64,
    /// What is left of its burst; below zero what has to be made up for.
    pub level: f64,
    /// What instances without a link may admit for it in a second.
    pub reserved: f64,
}

impl Meter {
    /// What decides the share of an organisation.
    #[must_use]
    pub fn figures(&self, now: clock::Instant, organisation: &str) -> Option<Figures> {
        let account = self.accounts.get(organisation)?;
        Some(Figures {
            offered: account.offered.per_second(now, OFFER_HALF_LIFE),
            used: account.admitted.per_second(now, USE_HALF_LIFE),
            level: account.level,
            reserved: account.aside,
        })
    }

    /// An instance has a link, or had one all along.
    pub fn link_opened(&mut self, instance: &SmolStr) {
        self.linked.insert(instance.clone());
        self.away.remove(instance);
        for account in self.accounts.values_mut() {
            account.reserved.remove(instance);
        }
    }

    /// An instance's link has ended: it may admit its part without telling.
    pub fn link_closed(&mut self, now: clock::Instant, instance: &SmolStr) {
        if !self.linked.remove(instance) {
            return;
        }
        self.away.insert(instance.clone(), now);
        for account in self.accounts.values_mut() {
            if let Some(own) = account.by_instance.remove(instance) {
                let own = own.per_second(now, USE_HALF_LIFE);
                account.reserved.insert(instance.clone(), own);
            }
        }
    }

    /// An instance tells what it was asked for and admitted.
    pub fn record_usage(&mut self, now: clock::Instant, instance: &SmolStr, usage: &[Usage]) {
        self.link_opened(instance);
        for used in usage {
            if let Some(account) = self.accounts.get_mut(&used.organisation) {
                account.use_up(now, instance, used);
            }
        }
    }

    /// The shares of all organisations with a quota. `instances` is how many instances there are, also those that this
    /// steward hasn't heard of; quotas hold over any `window`.
    pub fn shares(
        &mut self,
        now: clock::Instant,
        organisations: &organisation::Registry,
        instances: usize,
        window: Duration,
    ) -> Vec<Share> {
        self.away.retain(|_, since| now.since(*since) < AWAY);
        let away = &self.away;
        let known = self.linked.len() + away.len();
        let limited = organisations
            .iter()
            .filter_map(|organisation| Some((&organisation.name, organisation.quota?)));
        let mut accounts = BTreeMap::new();
        let mut shares = Vec::new();
        for (name, quota) in limited {
            let account = self.accounts.remove(name);
            let mut account = account.unwrap_or_else(|| Account::new(now, &quota, window));
            account.reserved.retain(|name, _| away.contains_key(name));
            let silence = Silence {
                away: away.len(),
                unknown: instances.saturating_sub(known),
                instances: instances.max(known),
            };
            shares.push(Share {
                organisation: name.clone(),
                admit: account.share(now, &quota, silence) as f32,
                used: account.admitted.per_second(now, USE_HALF_LIFE) as f32,
            });
            accounts.insert(name.clone(), account);
        }
        self.accounts = accounts;
        shares
    }
}

impl Account {
    /// Until more is known, all of the quota counts as used: instances would take what is unused for theirs.
    fn new(now: clock::Instant, quota: &Quota, window: Duration) -> Self {
        let mut admitted = rate::Rate::default();
        admitted.add_rate(now, USE_HALF_LIFE, quota.per_second);
        Self {
            level: quota.burst * START,
            filled: now,
            begun: now,
            limit: Limit {
                quota: *quota,
                window,
            },
            offered: rate::Rate::default(),
            admitted,
            by_instance: BTreeMap::new(),
            aside: 0.0,
            before: Vec::new(),
            debt: 0.0,
            reserved: BTreeMap::new(),
        }
    }

    /// A new steward makes up for what was admitted before it beyond the quota.
    fn inherit(&mut self, quota: &Quota, window: Duration, before: &[u32]) {
        let spans = self.before.len().max(before.len());
        self.before.resize(spans, 0.0);
        for (sum, admitted) in self.before.iter_mut().zip(before) {
            *sum += f64::from(*admitted);
        }
        let span = window.as_secs_f64() / f64::from(SPANS);
        let (mut admitted, mut allowed, mut debt) = (0.0, quota.burst, 0.0_f64);
        for sum in &self.before {
            admitted += sum;
            allowed += quota.per_second * span;
            debt = debt.max(admitted - allowed);
        }
        self.level -= debt - self.debt;
        self.debt = debt;
    }

    fn use_up(&mut self, now: clock::Instant, instance: &SmolStr, used: &Usage) {
        if now.since(self.begun) < INHERITED {
            let Limit { quota, window } = self.limit;
            self.inherit(&quota, window, &used.before);
        }
        let admitted = f64::from(used.admitted);
        self.offered.add(now, OFFER_HALF_LIFE, used.offered.into());
        self.admitted.add(now, USE_HALF_LIFE, admitted);
        self.level -= admitted;
        let own = self.by_instance.entry(instance.clone()).or_default();
        own.add(now, USE_HALF_LIFE, admitted);
    }

    /// The share to admit while some instances admit their parts without telling.
    fn share(&mut self, now: clock::Instant, quota: &Quota, silence: Silence) -> f64 {
        self.limit.quota = *quota;
        let used = self.admitted.per_second(now, USE_HALF_LIFE);
        let unused = (quota.per_second - used).max(0.0);
        let instances = silence.instances.max(1) as f64;
        let reserved = self.reserved.values().sum::<f64>()
            + unused / instances * silence.away as f64
            + quota.per_second / instances * silence.unknown as f64;
        self.aside = reserved;
        let per_second = (quota.per_second - reserved).max(0.0);
        self.fill(now, quota, per_second);
        let offered = self.offered.per_second(now, OFFER_HALF_LIFE);
        let allowed = per_second + self.level / CORRECTION.as_secs_f64();
        if allowed >= offered {
            return 1.0;
        }
        (allowed / offered).clamp(0.0, 1.0)
    }

    fn fill(&mut self, now: clock::Instant, quota: &Quota, per_second: f64) {
        let elapsed = now.since(self.filled).as_secs_f64();
        self.filled = self.filled.max(now);
        let lowest = -quota.burst.max(quota.per_second) * MOST_DEBT - self.debt;
        self.level = (self.level + elapsed * per_second)
            .min(quota.burst)
            .max(lowest);
    }
}
