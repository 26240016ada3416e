//! Admission control of one instance: whether to admit a request of an organisation.

use std::collections::VecDeque;
use std::time::Duration;

use smol_str::SmolStr;

use super::{Quota, SPAN_COUNT, Share, Usage, allocation, class, promise};
use crate::clock;
use crate::fleet::rate;

/// The half-life of the measured use of a quota at one instance: short against the time that callers keep
/// their connections.
const USE_HALF_LIFE: Duration = Duration::from_secs(3);
/// The half-life of the measured offered rate, which determines when the next request will be admitted.
const OFFER_HALF_LIFE: Duration = Duration::from_secs(1);
/// The half-life of what is offered of each class at one instance. An instance gets few requests of a class per second.
const CLASS_HALF_LIFE: Duration = Duration::from_secs(2);
/// The share of its own limit up to which an instance without the steward's shares admits all classes alike. Until
/// then it is not known that the organisation asks for too much.
const ORDERED_RATIO: f64 = 0.5;
/// How long the steward's shares are valid after the instance sent a message that the steward has received.
/// The steward receives several in that time unless the link or one of its ends is slow.
pub const SHARES_TTL: Duration = Duration::from_millis(800);
/// The part of the unused quota that is distributed to instances in proportion to their use; the rest is
/// distributed equally.
const USE_BASED_RATIO: f64 = 0.5;
/// The longest wait that is announced to a refused caller.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// A rule for which requests of one organisation are admitted.
pub trait Policy {
    /// Decides on a request.
    ///
    /// # Errors
    ///
    /// Returns the time until a request is likely to be admitted if this one is refused.
    fn admit(&mut self) -> Result<(), Duration>;
}

/// Admits the steward's share of requests, spread evenly over them. Large requests have the same chance as
/// small ones: if tokens were counted, one large request would displace those of dozens of callers.
#[derive(Debug)]
struct Sampler<'a> {
    /// The share of requests to admit, from 0 to 1.
    admit: f64,
    /// The organisation's requests at this instance per second.
    offered: f64,
    /// The number of requests that the share has allowed so far, less the number admitted.
    credit: &'a mut f64,
}

impl Policy for Sampler<'_> {
    fn admit(&mut self) -> Result<(), Duration> {
        if self.admit >= 1.0 {
            return Ok(());
        }
        *self.credit += self.admit;
        if *self.credit >= 1.0 {
            *self.credit -= 1.0;
            return Ok(());
        }
        Err(wait_for(1.0 - *self.credit, self.offered * self.admit))
    }
}

/// Admits up to this instance's own limit per window. One request may exceed the limit, and the excess
/// counts against the following ones: divided among hundreds of instances, a quota would otherwise admit
/// nothing at all. A token bucket that fills every second would refuse the second of two requests that
/// arrive together once a minute.
#[derive(Debug)]
struct Window<'a> {
    history: &'a History,
    now: clock::Instant,
    limit: f64,
}

impl Policy for Window<'_> {
    fn admit(&mut self) -> Result<(), Duration> {
        if self.history.sum() < self.limit {
            return Ok(());
        }
        Err(self.history.time_until_below(self.now, self.limit))
    }
}

fn wait_for(missing: f64, per_second: f64) -> Duration {
    let wait = Duration::try_from_secs_f64(missing / per_second);
    wait.unwrap_or(MAX_WAIT).min(MAX_WAIT)
}

/// The admitted cost over the last window. It is recorded also while the steward's shares are valid, so
/// that an instance that then loses the steward knows its own use.
#[derive(Clone, Debug)]
struct History {
    window: Duration,
    /// The start and the admitted cost of each span of the window, the oldest first.
    spans: VecDeque<(clock::Instant, f64)>,
}

impl History {
    fn new(window: Duration) -> Self {
        Self {
            window,
            spans: VecDeque::new(),
        }
    }

    /// Creates a history in which `per_second` was admitted in each second.
    fn at_rate(now: clock::Instant, window: Duration, per_second: f64) -> Self {
        let mut history = Self::new(window);
        let span = window / SPAN_COUNT;
        for age in (1..=SPAN_COUNT).rev() {
            let start = now.before(span * age);
            history
                .spans
                .push_back((start, per_second * span.as_secs_f64()));
        }
        history
    }

    fn prune(&mut self, now: clock::Instant) {
        let length = self.window + self.window / SPAN_COUNT;
        while let Some((start, _)) = self.spans.front() {
            if now.since(*start) <= length {
                break;
            }
            self.spans.pop_front();
        }
    }

    fn add(&mut self, now: clock::Instant, amount: f64) {
        match self.spans.back_mut() {
            Some((start, sum)) if now.since(*start) < self.window / SPAN_COUNT => *sum += amount,
            _ => self.spans.push_back((now, amount)),
        }
    }

    fn sum(&self) -> f64 {
        self.spans.iter().map(|(_, sum)| sum).sum()
    }

    /// The cost admitted in each span, beginning with the span that ends now.
    fn newest_first(&self, now: clock::Instant) -> Vec<u32> {
        let length = self.window / SPAN_COUNT;
        let mut sums = vec![0.0; SPAN_COUNT as usize];
        for (start, amount) in &self.spans {
            let index = now.since(*start).div_duration_f64(length) as usize;
            if let Some(sum) = sums.get_mut(index) {
                *sum += amount;
            }
        }
        let sums = sums.into_iter();
        sums.map(|sum: f64| sum.max(0.0).round() as u32).collect()
    }

    fn time_until_below(&self, now: clock::Instant, limit: f64) -> Duration {
        let mut sum = self.sum();
        for (start, amount) in &self.spans {
            sum -= amount;
            if sum < limit {
                return start.after(self.window).since(now).min(MAX_WAIT);
            }
        }
        MAX_WAIT
    }
}

/// An organisation's quota at one instance.
#[derive(Clone, Debug)]
pub struct Gate {
    share: Option<Share>,
    history: Option<History>,
    credit: f64,
    /// The cost that this instance admits per second.
    admitted_rate: rate::Rate,
    /// The admitted rate when the steward's share was last updated. Together with the total of all
    /// instances in that update, it determines this instance's part.
    rate_at_update: f64,
    offered_rate: rate::Rate,
    offered: f64,
    admitted: f64,
    /// The use before the link to the steward was opened is not yet reported.
    history_unreported: bool,
    by_class: ByClass,
}

/// What a gate knows of the classes of requests.
#[derive(Clone, Copy, Debug)]
struct ByClass {
    /// The number of requests of each class that its share has allowed so far, less the number admitted.
    credits: allocation::ByClass,
    /// The cost of each class that is not yet reported.
    offered: allocation::ByClass,
    /// The cost offered of each class per second.
    cost_rates: [rate::Rate; class::COUNT],
    /// The requests offered of each class per second.
    request_rates: [rate::Rate; class::COUNT],
    promises: promise::Promises,
}

impl ByClass {
    fn new(draw: f64) -> Self {
        let mut credits = [draw; class::COUNT];
        for (index, credit) in credits.iter_mut().enumerate() {
            *credit = (draw + index as f64 / class::COUNT as f64).fract();
        }
        Self {
            credits,
            offered: [0.0; class::COUNT],
            cost_rates: [rate::Rate::default(); class::COUNT],
            request_rates: [rate::Rate::default(); class::COUNT],
            promises: promise::Promises::default(),
        }
    }

    fn offer(&mut self, now: clock::Instant, request: &class::Request) {
        let index = request.class.index();
        self.offered[index] += request.cost;
        self.cost_rates[index].add(now, CLASS_HALF_LIFE, request.cost);
        self.request_rates[index].add(now, CLASS_HALF_LIFE, 1.0);
    }

    /// Admits this share of a class's requests.
    fn sample(&mut self, class: class::Class, share: f64) -> bool {
        if share >= 1.0 {
            return true;
        }
        let credit = &mut self.credits[class.index()];
        *credit += share;
        let is_admitted = *credit >= 1.0;
        if is_admitted {
            *credit -= 1.0;
        }
        is_admitted
    }

    /// The share of a class that this instance admits by itself at a rate.
    fn local_share(&self, now: clock::Instant, class: class::Class, per_second: f64) -> f64 {
        let offered = self
            .cost_rates
            .map(|rate| rate.per_second(now, CLASS_HALF_LIFE));
        allocation::divide(per_second, &offered)[class.index()]
    }

    /// Returns when the caller of a refused request is to come back.
    fn book(
        &mut self,
        now: clock::Instant,
        request: &class::Request,
        outlook: promise::Outlook,
        draw: f64,
    ) -> Duration {
        let rate = &self.request_rates[request.class.index()];
        let offered = rate.per_second(now, CLASS_HALF_LIFE);
        self.promises.book(now, request, outlook, offered, draw)
    }
}

/// The state of an instance when a request arrives.
#[derive(Clone, Copy, Debug)]
pub struct View {
    /// The current time.
    pub now: clock::Instant,
    /// The length of the window over which the quota holds.
    pub window: Duration,
    /// The number of instances that share the quota.
    pub instances: usize,
    /// The steward's shares are recent enough to be followed.
    pub shares_valid: bool,
}

impl Gate {
    /// Creates a gate that has admitted nothing. `draw`, from 0 to 1, is the initial fraction of an
    /// admission: if all instances began at the same fraction, all would admit their first request.
    #[must_use]
    pub fn new(draw: f64) -> Self {
        Self {
            share: None,
            history: None,
            credit: draw,
            admitted_rate: rate::Rate::default(),
            rate_at_update: 0.0,
            offered_rate: rate::Rate::default(),
            offered: 0.0,
            admitted: 0.0,
            history_unreported: true,
            by_class: ByClass::new(draw),
        }
    }

    /// Updates the organisation's share; `None` if the steward does not know the organisation.
    pub fn update_share(&mut self, now: clock::Instant, share: Option<Share>) {
        self.rate_at_update = self.admitted_rate.per_second(now, USE_HALF_LIFE);
        self.share = share;
    }

    /// Decides on a request of this cost.
    ///
    /// # Errors
    ///
    /// Returns the time until a request is likely to be admitted if this one is refused.
    pub fn admit(&mut self, view: View, quota: &Quota, cost: f64) -> Result<(), Duration> {
        let now = view.now;
        let rate = self.local_rate(view, quota);
        let window = view.window;
        self.offer(view, rate, cost);
        let history = self.history.get_or_insert_with(|| History::new(window));
        let share = self.share.as_ref().filter(|_| view.shares_valid);
        if let Some(share) = share {
            let mut policy = Sampler {
                admit: share.admit.into(),
                offered: self.offered_rate.per_second(now, OFFER_HALF_LIFE),
                credit: &mut self.credit,
            };
            policy.admit()?;
        } else {
            let burst_s = quota.burst / quota.per_second;
            let limit = rate * (window.as_secs_f64() + burst_s);
            Window {
                history,
                now,
                limit,
            }
            .admit()?;
        }
        self.record_admitted(now, cost);
        Ok(())
    }

    /// Decides on a request by its class. `draw`, from 0 to 1, spreads callers that are refused.
    ///
    /// # Errors
    ///
    /// Returns the time after which the caller of a refused request is to come back: the time at which it is
    /// admitted then, or a time later than it would come back.
    pub fn admit_by_class(
        &mut self,
        view: View,
        quota: &Quota,
        request: &class::Request,
        draw: f64,
    ) -> Result<(), Duration> {
        let now = view.now;
        let rate = self.local_rate(view, quota);
        self.offer(view, rate, request.cost);
        self.by_class.offer(now, request);
        let share = self.share.as_ref().filter(|_| view.shares_valid);
        if let Some(share) = share {
            let part = share.by_class.get(request.class.index());
            let part = part.copied().unwrap_or(share.admit);
            if !self.by_class.sample(request.class, part.into()) {
                let covered = share.admit;
                let outlook = share.outlook.unwrap_or(promise::Outlook {
                    covered,
                    debt_ms: 0,
                });
                return Err(self.by_class.book(now, request, outlook, draw));
            }
        } else {
            self.admit_locally(view, quota, request, draw)?;
        }
        self.record_admitted(now, request.cost);
        Ok(())
    }

    /// Admits up to this instance's own limit per window. Once half of it is used, the classes are admitted in
    /// their order.
    fn admit_locally(
        &mut self,
        view: View,
        quota: &Quota,
        request: &class::Request,
        draw: f64,
    ) -> Result<(), Duration> {
        let View { now, window, .. } = view;
        let rate = self.local_rate(view, quota);
        // The burst is left for what all instances admitted together before they knew that it was too much.
        let limit = rate * window.as_secs_f64();
        let history = self.history.get_or_insert_with(|| History::new(window));
        let sum = history.sum();
        let room = limit - sum;
        let wait = history.time_until_below(now, limit);
        let share = self.by_class.local_share(now, request.class, rate);
        if sum < limit * ORDERED_RATIO || (room > 0.0 && self.by_class.sample(request.class, share))
        {
            // A request that exceeds the room is admitted as often as its excess is made up for by the others that
            // are refused. If it always were, large requests at all instances would exceed the quota together.
            if draw * request.cost < room {
                return Ok(());
            }
        }
        let debt_ms = u32::try_from(clock::millis(wait)).unwrap_or(u32::MAX);
        let outlook = promise::Outlook {
            covered: share as f32,
            debt_ms: if room > 0.0 { 0 } else { debt_ms },
        };
        Err(self.by_class.book(now, request, outlook, draw))
    }

    /// Records a request before it is decided on.
    fn offer(&mut self, view: View, local_rate: f64, cost: f64) {
        let View { now, window, .. } = view;
        // An instance that has just started does not know what was admitted before, and assumes its full
        // rate.
        let at_full_rate = || History::at_rate(now, window, local_rate);
        self.history.get_or_insert_with(at_full_rate).prune(now);
        self.offered += cost;
        self.offered_rate.add(now, OFFER_HALF_LIFE, 1.0);
    }

    fn record_admitted(&mut self, now: clock::Instant, cost: f64) {
        if let Some(history) = &mut self.history {
            history.add(now, cost);
        }
        self.admitted += cost;
        self.admitted_rate.add(now, USE_HALF_LIFE, cost);
    }

    /// Refunds the cost of an admitted request that did not run and will not.
    pub fn refund(&mut self, now: clock::Instant, cost: f64) {
        self.admitted -= cost;
        self.admitted_rate.add(now, USE_HALF_LIFE, -cost);
        if let Some(history) = &mut self.history {
            history.add(now, -cost);
        }
    }

    /// Resets the reported usage when a link is opened. A steward that was active throughout has reserved
    /// this instance's part; a new one must learn what was admitted before it.
    pub fn link_opened(&mut self) {
        self.offered = 0.0;
        self.admitted = 0.0;
        self.by_class.offered = [0.0; class::COUNT];
        self.history_unreported = true;
    }

    /// Takes the usage since the last call; `None` if there was none.
    pub fn take_usage(&mut self, now: clock::Instant, organisation: &SmolStr) -> Option<Usage> {
        let history = self.history.as_ref().filter(|_| self.history_unreported);
        let inherited = history.map_or_else(Vec::new, |history| history.newest_first(now));
        if self.offered == 0.0 && self.admitted == 0.0 && inherited.is_empty() {
            return None;
        }
        let by_class = std::mem::replace(&mut self.by_class.offered, [0.0; class::COUNT]);
        let has_classes = by_class.iter().any(|offered| *offered > 0.0);
        let by_class = by_class.iter().filter(|_| has_classes);
        let usage = Usage {
            organisation: organisation.clone(),
            offered: self.offered.round() as u32,
            admitted: self.admitted.round() as i32,
            inherited,
            offered_by_class: by_class.map(|offered| offered.round() as u32).collect(),
        };
        self.offered = 0.0;
        self.admitted = 0.0;
        self.history_unreported = false;
        Some(usage)
    }

    /// The rate that this instance may admit by itself: its previous rate and a part of the unused quota.
    /// One half of that part is proportional to use, since callers stay at their instances, and one half is
    /// equal for all, since new callers may come. The rates of all instances add up to the quota.
    fn local_rate(&self, view: View, quota: &Quota) -> f64 {
        let used = self.share.as_ref().map_or(0.0, |share| share.used.into());
        let unused = (quota.per_second - used).max(0.0);
        let use_ratio = if used > 0.0 {
            self.rate_at_update / used
        } else {
            0.0
        };
        let equal_ratio = 1.0 / view.instances.max(1) as f64;
        let rate = self.rate_at_update
            + unused * (use_ratio * USE_BASED_RATIO + equal_ratio * (1.0 - USE_BASED_RATIO));
        rate.min(quota.per_second)
    }
}
