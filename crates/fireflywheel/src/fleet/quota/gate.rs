//! One instance's decision whether to admit a request.

use std::collections::VecDeque;
use std::time::Duration;

use smol_str::SmolStr;

use super::{Quota, SPANS, Share, Usage};
use crate::clock;
use crate::fleet::rate;

/// An instance's own use of a quota is measured over this: callers keep their connections for longer.
const USE_HALF_LIFE: Duration = Duration::from_secs(3);
/// The same for what it is asked for, from which follows when the next request will be admitted.
const OFFER_HALF_LIFE: Duration = Duration::from_secs(1);
/// The steward's shares are followed for so long after the instance said something that the steward has heard. It is heard
/// several times in that, unless the link or one of its ends is slow.
pub const SHARES_TTL: Duration = Duration::from_millis(800);
/// The share of what nobody used that goes to instances by their use of the rest.
const BY_USE: f64 = 0.5;
/// The longest wait that a refused caller is told.
const LONGEST_WAIT: Duration = Duration::from_secs(10);

/// A way to decide which requests of one organisation are admitted.
pub trait Policy {
    /// Admits a request.
    ///
    /// # Errors
    ///
    /// How long until a request is likely to be admitted.
    fn admit(&mut self) -> Result<(), Duration>;
}

/// Admits the share of requests that the steward tells, spread evenly over them. Large requests have the same chance as
/// small ones: counted by tokens, one large request would take the place of dozens of callers.
#[derive(Debug)]
struct Shared<'a> {
    /// From 0 to 1.
    admit: f64,
    /// Requests of the organisation at this instance in a second.
    offered: f64,
    /// Requests that were to be admitted so far less those that were.
    balance: &'a mut f64,
}

impl Policy for Shared<'_> {
    fn admit(&mut self) -> Result<(), Duration> {
        if self.admit >= 1.0 {
            return Ok(());
        }
        *self.balance += self.admit;
        if *self.balance >= 1.0 {
            *self.balance -= 1.0;
            return Ok(());
        }
        Err(wait(1.0 - *self.balance, self.offered * self.admit))
    }
}

/// Admits what this instance may admit by itself in a window. A request may go beyond that, which then has to be made up
/// for: divided among hundreds of instances, a quota would otherwise admit nothing at all. A bucket that fills by the
/// second would refuse the second of two requests that come together once a minute.
#[derive(Debug)]
struct Parted<'a> {
    past: &'a Past,
    now: clock::Instant,
    limit: f64,
}

impl Policy for Parted<'_> {
    fn admit(&mut self) -> Result<(), Duration> {
        if self.past.sum() < self.limit {
            return Ok(());
        }
        Err(self.past.until_below(self.now, self.limit))
    }
}

fn wait(missing: f64, per_second: f64) -> Duration {
    let wait = Duration::try_from_secs_f64(missing / per_second);
    wait.unwrap_or(LONGEST_WAIT).min(LONGEST_WAIT)
}

/// What was admitted in the last window. It is kept up also while the steward's shares are followed, so that an instance
/// which then loses the steward knows what it has used.
#[derive(Clone, Debug)]
struct Past {
    window: Duration,
    /// Spans of a part of the window, with when each began.
    spans: VecDeque<(clock::Instant, f64)>,
}

impl Past {
    fn new(window: Duration) -> Self {
        Self {
            window,
            spans: VecDeque::new(),
        }
    }

    /// A past in which so much was admitted in each second.
    fn used(now: clock::Instant, window: Duration, per_second: f64) -> Self {
        let mut past = Self::new(window);
        let span = window / SPANS;
        for place in (1..=SPANS).rev() {
            let began = now.before(span * place);
            past.spans
                .push_back((began, per_second * span.as_secs_f64()));
        }
        past
    }

    fn forget(&mut self, now: clock::Instant) {
        let length = self.window + self.window / SPANS;
        while let Some((began, _)) = self.spans.front() {
            if now.since(*began) <= length {
                break;
            }
            self.spans.pop_front();
        }
    }

    fn add(&mut self, now: clock::Instant, amount: f64) {
        match self.spans.back_mut() {
            Some((began, sum)) if now.since(*began) < self.window / SPANS => *sum += amount,
            _ => self.spans.push_back((now, amount)),
        }
    }

    fn sum(&self) -> f64 {
        self.spans.iter().map(|(_, sum)| sum).sum()
    }

    /// What was admitted in each span, beginning with the one that ends now.
    fn newest_first(&self, now: clock::Instant) -> Vec<u32> {
        let length = self.window / SPANS;
        let mut sums = vec![0.0; SPANS as usize];
        for (began, amount) in &self.spans {
            let place = now.since(*began).div_duration_f64(length) as usize;
            if let Some(sum) = sums.get_mut(place) {
                *sum += amount;
            }
        }
        let sums = sums.into_iter();
        sums.map(|sum: f64| sum.max(0.0).round() as u32).collect()
    }

    fn until_below(&self, now: clock::Instant, limit: f64) -> Duration {
        let mut sum = self.sum();
        for (began, amount) in &self.spans {
            sum -= amount;
            if sum < limit {
                return began.after(self.window).since(now).min(LONGEST_WAIT);
            }
        }
        LONGEST_WAIT
    }
}

/// One organisation's quota at one instance.
#[derive(Clone, Debug)]
pub struct Gate {
    told: Option<Share>,
    past: Option<Past>,
    balance: f64,
    /// What it admits in a second.
    own: rate::Rate,
    /// The same when the steward told what all admit: together with that it gives this instance's part.
    kept: f64,
    offering: rate::Rate,
    offered: f64,
    admitted: f64,
    /// The steward hasn't been told what was admitted before the link to it.
    untold: bool,
}

/// What an instance knows when a request comes.
#[derive(Clone, Copy, Debug)]
pub struct View {
    /// The time.
    pub now: clock::Instant,
    /// The quota holds over any span of this length.
    pub window: Duration,
    /// Instances that share the quota.
    pub instances: usize,
    /// The steward's shares are young enough to be followed.
    pub shares_valid: bool,
}

impl Gate {
    /// A gate of an instance that has admitted nothing. `draw`, from 0 to 1, is where in its share it begins: if all
    /// instances began at the same place, all would admit their first request.
    #[must_use]
    pub fn new(draw: f64) -> Self {
        Self {
            told: None,
            past: None,
            balance: draw,
            own: rate::Rate::default(),
            kept: 0.0,
            offering: rate::Rate::default(),
            offered: 0.0,
            admitted: 0.0,
            untold: true,
        }
    }

    /// The steward tells the organisation's share; none if it doesn't know the organisation.
    pub fn update_share(&mut self, now: clock::Instant, share: Option<Share>) {
        self.kept = self.own.per_second(now, USE_HALF_LIFE);
        self.told = share;
    }

    /// Admits a request that counts `cost`.
    ///
    /// # Errors
    ///
    /// How long until a request is likely to be admitted.
    pub fn admit(&mut self, view: View, quota: &Quota, cost: f64) -> Result<(), Duration> {
        let now = view.now;
        let part = self.part(view, quota);
        let window = view.window;
        // An instance that has just started doesn't know what was admitted before: as much as it may.
        let fresh = || Past::used(now, window, part);
        let past = self.past.get_or_insert_with(fresh);
        past.forget(now);
        self.offered += cost;
        self.offering.add(now, OFFER_HALF_LIFE, 1.0);
        let told = self.told.as_ref().filter(|_| view.shares_valid);
        if let Some(told) = told {
            let mut policy = Shared {
                admit: told.admit.into(),
                offered: self.offering.per_second(now, OFFER_HALF_LIFE),
                balance: &mut self.balance,
            };
            policy.admit()?;
        } else {
            let burst = quota.burst / quota.per_second;
            let limit = part * (window.as_secs_f64() + burst);
            Parted { past, now, limit }.admit()?;
        }
        past.add(now, cost);
        self.admitted += cost;
        self.own.add(now, USE_HALF_LIFE, cost);
        Ok(())
    }

    /// A request that was admitted has not run and won't.
    pub fn refund(&mut self, now: clock::Instant, cost: f64) {
        self.admitted -= cost;
        self.own.add(now, USE_HALF_LIFE, -cost);
        if let Some(past) = &mut self.past {
            past.add(now, -cost);
        }
    }

    /// A link was made. A steward that has acted all the while left this instance its part; a new one must know what was
    /// admitted before it.
    pub fn link_opened(&mut self) {
        self.offered = 0.0;
        self.admitted = 0.0;
        self.untold = true;
    }

    /// What was asked and admitted since this was called last; none if nothing was.
    pub fn take_usage(&mut self, now: clock::Instant, organisation: &SmolStr) -> Option<Usage> {
        let past = self.past.as_ref().filter(|_| self.untold);
        let before = past.map_or_else(Vec::new, |past| past.newest_first(now));
        if self.offered == 0.0 && self.admitted == 0.0 && before.is_empty() {
            return None;
        }
        let usage = Usage {
            organisation: organisation.clone(),
            offered: self.offered.round() as u32,
            admitted: self.admitted.round() as i32,
            before,
        };
        self.offered = 0.0;
        self.admitted = 0.0;
        self.untold = false;
        Some(usage)
    }

    /// What this instance may admit in a second by itself: as much as it did before, and a part of what nobody used. Half
    /// of that goes by use, since callers stay at their instances, and half equally, since some may come. Over all instances
    /// that is the quota.
    fn part(&self, view: View, quota: &Quota) -> f64 {
        let used = self.told.as_ref().map_or(0.0, |told| told.used.into());
        let unused = (quota.per_second - used).max(0.0);
        let by_use = if used > 0.0 { self.kept / used } else { 0.0 };
        let equal = 1.0 / view.instances.max(1) as f64;
        let part = self.kept + unused * (by_use * BY_USE + equal * (1.0 - BY_USE));
        part.min(quota.per_second)
    }
}
