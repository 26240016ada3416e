//! The steward's account of what all instances admit for organisations.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use smol_str::SmolStr;

use super::{Quota, SPAN_COUNT, Share, Usage, allocation, class, promise};
use crate::clock;
use crate::fleet::{organisation, rate};

/// The half-life of the measured offered rate: longer than instances take to report, shorter than a surge
/// takes to use up a burst.
const OFFER_HALF_LIFE: Duration = Duration::from_millis(300);
/// The half-life of the measured offered rate of a class. What is allowed stays unused for about this time after the load
/// has fallen: with that of [`OFFER_HALF_LIFE`], up to 14% of a burst's cost.
const CLASS_HALF_LIFE: Duration = Duration::from_millis(150);
/// The half-life of the measured admitted rate, which determines the rates of instances without a steward.
const USE_HALF_LIFE: Duration = Duration::from_secs(3);
/// The time over which the rest of the burst is used up or a deficit is made up for.
const CORRECTION_TIME: Duration = Duration::from_millis(300);
/// The most that an organisation makes up for after it was admitted more than its quota, in bursts, or in
/// seconds of its rate if it has a smaller burst. A larger debt would exclude the organisation for long for
/// an excess that no instance could know of.
const MAX_DEBT_RATIO: f64 = 4.0;
/// How long after its start a steward charges for what an instance admitted before it opened its link. An
/// instance that opens a link later had one to this steward before, so the steward has already counted what
/// the instance reported.
const INHERITANCE_PERIOD: Duration = Duration::from_secs(4);
/// The part of the burst with which a new steward begins, because it does not know what was admitted
/// before.
const INITIAL_BURST_RATIO: f64 = 0.25;
/// How long the part of an instance whose link has closed remains reserved, unless the instance reconnects:
/// it may continue to admit that part.
const RESERVATION_TTL: Duration = Duration::from_secs(30);

/// The quotas of all organisations.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    accounts: BTreeMap<SmolStr, Account>,
    linked: BTreeSet<SmolStr>,
    /// Instances whose links have closed, with the time of closing.
    disconnected: BTreeMap<SmolStr, clock::Instant>,
}

/// A quota and the window over which it holds.
#[derive(Clone, Copy, Debug)]
struct Limit {
    quota: Quota,
    window: Duration,
}

/// The numbers of instances without a link.
#[derive(Clone, Copy, Debug)]
struct Absence {
    /// Instances whose link has closed.
    disconnected: usize,
    /// Instances that this steward has never had a link to.
    unknown: usize,
    /// All instances, with or without a link.
    instances: usize,
}

/// One organisation's use of its quota.
#[derive(Clone, Debug)]
struct Account {
    /// The remaining burst; negative if more was admitted than the quota allows.
    burst_left: f64,
    /// When `burst_left` was last increased by the quota's rate.
    filled_at: clock::Instant,
    /// When this steward began to count.
    started_at: clock::Instant,
    limit: Limit,
    offered: rate::Rate,
    /// What instances that report classes are offered of each.
    offered_by_class: [rate::Rate; class::COUNT],
    /// What the other instances are offered.
    unclassed: rate::Rate,
    /// The rate that all instances with a link may admit, by the last decision on the share.
    allowed: f64,
    admitted: rate::Rate,
    by_instance: BTreeMap<SmolStr, rate::Rate>,
    /// The rate reserved for instances without a link at the last decision on the share.
    reserved_rate: f64,
    /// The cost admitted before links were opened to this steward, in spans of the window, the newest
    /// first.
    inherited: Vec<f64>,
    /// By how much `inherited` exceeded the quota.
    inherited_debt: f64,
    /// The rates that disconnected instances may admit, per second.
    reserved_by_instance: BTreeMap<SmolStr, f64>,
}

/// The figures that determine an organisation's share.
#[derive(Clone, Copy, Debug)]
pub struct Figures {
    /// The cost offered per second.
    pub offered: f64,
    /// The cost admitted per second.
    pub used: f64,
    /// The remaining burst; a negative value has to be made up for.
    pub burst_left: f64,
    /// The rate that instances without a link may admit, per second.
    pub reserved: f64,
}

impl Meter {
    /// The figures that determine the share of an organisation; `None` if it has no quota.
    #[must_use]
    pub fn figures(&self, now: clock::Instant, organisation: &str) -> Option<Figures> {
        let account = self.accounts.get(organisation)?;
        Some(Figures {
            offered: account.offered.per_second(now, OFFER_HALF_LIFE),
            used: account.admitted.per_second(now, USE_HALF_LIFE),
            burst_left: account.burst_left,
            reserved: account.reserved_rate,
        })
    }

    /// Records that an instance has a link.
    pub fn link_opened(&mut self, instance: &SmolStr) {
        self.linked.insert(instance.clone());
        self.disconnected.remove(instance);
        for account in self.accounts.values_mut() {
            account.reserved_by_instance.remove(instance);
        }
    }

    /// Records that an instance's link has closed: the instance may admit its part without reporting it.
    pub fn link_closed(&mut self, now: clock::Instant, instance: &SmolStr) {
        if !self.linked.remove(instance) {
            return;
        }
        self.disconnected.insert(instance.clone(), now);
        for account in self.accounts.values_mut() {
            if let Some(rate) = account.by_instance.remove(instance) {
                let per_second = rate.per_second(now, USE_HALF_LIFE);
                account
                    .reserved_by_instance
                    .insert(instance.clone(), per_second);
            }
        }
    }

    /// Records the usage that an instance reports.
    pub fn record_usage(&mut self, now: clock::Instant, instance: &SmolStr, usage: &[Usage]) {
        self.link_opened(instance);
        for used in usage {
            if let Some(account) = self.accounts.get_mut(&used.organisation) {
                account.charge(now, instance, used);
            }
        }
    }

    /// Decides the shares of all organisations with a quota. `instances` is the number of all instances,
    /// including those that this steward has no report from; quotas hold over any `window`.
    pub fn shares(
        &mut self,
        now: clock::Instant,
        organisations: &organisation::Registry,
        instances: usize,
        window: Duration,
    ) -> Vec<Share> {
        self.disconnected
            .retain(|_, since| now.since(*since) < RESERVATION_TTL);
        let disconnected = &self.disconnected;
        let known = self.linked.len() + disconnected.len();
        let limited = organisations
            .iter()
            .filter_map(|organisation| Some((&organisation.name, organisation.quota?)));
        let mut accounts = BTreeMap::new();
        let mut shares = Vec::new();
        for (name, quota) in limited {
            let account = self.accounts.remove(name);
            let mut account = account.unwrap_or_else(|| Account::new(now, &quota, window));
            account
                .reserved_by_instance
                .retain(|instance, _| disconnected.contains_key(instance));
            let absence = Absence {
                disconnected: disconnected.len(),
                unknown: instances.saturating_sub(known),
                instances: instances.max(known),
            };
            let admit = account.share(now, &quota, absence);
            shares.push(Share {
                organisation: name.clone(),
                admit: admit as f32,
                used: account.admitted.per_second(now, USE_HALF_LIFE) as f32,
                by_class: account.shares_by_class(now, admit),
                outlook: account.outlook(now, &quota),
            });
            accounts.insert(name.clone(), account);
        }
        self.accounts = accounts;
        shares
    }
}

impl Account {
    /// Until more is known, the whole quota counts as used: instances would otherwise claim the unused
    /// part.
    fn new(now: clock::Instant, quota: &Quota, window: Duration) -> Self {
        let mut admitted = rate::Rate::default();
        admitted.add_rate(now, USE_HALF_LIFE, quota.per_second);
        Self {
            burst_left: quota.burst * INITIAL_BURST_RATIO,
            filled_at: now,
            started_at: now,
            limit: Limit {
                quota: *quota,
                window,
            },
            offered: rate::Rate::default(),
            offered_by_class: [rate::Rate::default(); class::COUNT],
            unclassed: rate::Rate::default(),
            allowed: 0.0,
            admitted,
            by_instance: BTreeMap::new(),
            reserved_rate: 0.0,
            inherited: Vec::new(),
            inherited_debt: 0.0,
            reserved_by_instance: BTreeMap::new(),
        }
    }

    /// Charges a new steward's account for what was admitted beyond the quota before its links were opened.
    /// `inherited` is what one instance admitted.
    fn inherit(&mut self, quota: &Quota, window: Duration, inherited: &[u32]) {
        let spans = self.inherited.len().max(inherited.len());
        self.inherited.resize(spans, 0.0);
        for (sum, admitted) in self.inherited.iter_mut().zip(inherited) {
            *sum += f64::from(*admitted);
        }
        let span = window.as_secs_f64() / f64::from(SPAN_COUNT);
        let (mut admitted, mut allowed, mut debt) = (0.0, quota.burst, 0.0_f64);
        for sum in &self.inherited {
            admitted += sum;
            allowed += quota.per_second * span;
            debt = debt.max(admitted - allowed);
        }
        self.burst_left -= debt - self.inherited_debt;
        self.inherited_debt = debt;
    }

    fn charge(&mut self, now: clock::Instant, instance: &SmolStr, used: &Usage) {
        if now.since(self.started_at) < INHERITANCE_PERIOD {
            let Limit { quota, window } = self.limit;
            self.inherit(&quota, window, &used.inherited);
        }
        let admitted = f64::from(used.admitted);
        self.offered.add(now, OFFER_HALF_LIFE, used.offered.into());
        for (rate, offered) in self.offered_by_class.iter_mut().zip(&used.offered_by_class) {
            rate.add(now, CLASS_HALF_LIFE, (*offered).into());
        }
        if used.offered_by_class.is_empty() {
            let offered = used.offered.into();
            self.unclassed.add(now, OFFER_HALF_LIFE, offered);
        }
        self.admitted.add(now, USE_HALF_LIFE, admitted);
        self.burst_left -= admitted;
        let rate = self.by_instance.entry(instance.clone()).or_default();
        rate.add(now, USE_HALF_LIFE, admitted);
    }

    /// The share to admit while some instances admit their parts without reporting them.
    fn share(&mut self, now: clock::Instant, quota: &Quota, absence: Absence) -> f64 {
        self.limit.quota = *quota;
        let used = self.admitted.per_second(now, USE_HALF_LIFE);
        let unused = (quota.per_second - used).max(0.0);
        let instances = absence.instances.max(1) as f64;
        let reserved = self.reserved_by_instance.values().sum::<f64>()
            + unused / instances * absence.disconnected as f64
            + quota.per_second / instances * absence.unknown as f64;
        self.reserved_rate = reserved;
        let per_second = (quota.per_second - reserved).max(0.0);
        self.fill(now, quota, per_second);
        let offered = self.offered.per_second(now, OFFER_HALF_LIFE);
        let allowed = per_second + self.burst_left / CORRECTION_TIME.as_secs_f64();
        self.allowed = allowed;
        if allowed >= offered {
            return 1.0;
        }
        (allowed / offered).clamp(0.0, 1.0)
    }

    /// The shares of the classes that instances report, if this share of all requests is to be admitted. Empty if no
    /// instance reports classes; what the others are offered is admitted by the common share.
    fn shares_by_class(&self, now: clock::Instant, admit: f64) -> Vec<f32> {
        let offered = self.offered_by_class;
        let offered = offered.map(|rate| rate.per_second(now, CLASS_HALF_LIFE));
        if offered.iter().sum::<f64>() == 0.0 {
            return Vec::new();
        }
        let unclassed = self.unclassed.per_second(now, OFFER_HALF_LIFE);
        let shares = allocation::divide(self.allowed - admit * unclassed, &offered);
        shares.map(|share| share as f32).to_vec()
    }

    /// When callers that come back are admitted; `None` if no instance reports classes.
    fn outlook(&self, now: clock::Instant, quota: &Quota) -> Option<promise::Outlook> {
        let by_class = self.offered_by_class.iter();
        let mut by_class = by_class.map(|rate| rate.per_second(now, CLASS_HALF_LIFE));
        if by_class.all(|offered| offered == 0.0) {
            return None;
        }
        let offered = self.offered.per_second(now, OFFER_HALF_LIFE);
        let per_second = (quota.per_second - self.reserved_rate).max(0.0);
        let debt = Duration::try_from_secs_f64(-self.burst_left.min(0.0) / per_second);
        let debt_ms = debt.map_or(u64::MAX, clock::millis);
        Some(promise::Outlook {
            covered: (per_second / offered).min(1.0) as f32,
            debt_ms: u32::try_from(debt_ms).unwrap_or(u32::MAX),
        })
    }

    fn fill(&mut self, now: clock::Instant, quota: &Quota, per_second: f64) {
        let elapsed = now.since(self.filled_at).as_secs_f64();
        self.filled_at = self.filled_at.max(now);
        let min_burst_left =
            -quota.burst.max(quota.per_second) * MAX_DEBT_RATIO - self.inherited_debt;
        self.burst_left = (self.burst_left + elapsed * per_second)
            .min(quota.burst)
            .max(min_burst_left);
    }
}
