//! How often items are used, and how long they idle in between.

use std::time::Duration;

use super::LEAST_GAP;
use crate::clock;

/// Share of a new gap between arrivals in their mean.
const GAP_GAIN: f64 = 0.3;
/// Gaps that must be known before an idle replica is unloaded ahead of its break-even time.
const KNOWN_GAPS: f64 = 3.0;
/// Idle times fall into classes, each longer than the one before by [`GAP_STEP`]; the first ends at one second.
const GAP_CLASSES: usize = 32;
const GAP_STEP: f64 = std::f64::consts::SQRT_2;
/// Share of what is known of idle times that each new one leaves, so that old habits wear off.
const GAP_MEMORY: f64 = 0.95;
/// All items together count as this many idle times of one item.
const SHARED_GAPS: f64 = 10.0;
/// So many idle times of all items speak for themselves.
const MANY_GAPS: f64 = 15.0;
/// A replica with well spaced arrivals idles at least this share of its break-even time.
const LEAST_PATIENCE: f64 = 0.1;
/// A replica in steady use idles at most this many times its break-even time.
const MOST_PATIENCE: f64 = 1.5;
/// Arrivals of about so long tell how popular something is.
const POPULARITY: Duration = Duration::from_secs(1800);
/// What the time since the last arrival counts for beside that.
const RECENCY: f64 = 0.3;

/// How long something idled until it was used again: how often for how long, the newest counting most.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct IdleTimes {
    counts: [f64; GAP_CLASSES],
}

impl IdleTimes {
    /// Takes an idle time in.
    pub fn observe(&mut self, gap: Duration) {
        for count in &mut self.counts {
            *count *= GAP_MEMORY;
        }
        let class = (0..GAP_CLASSES - 1).find(|class| gap.as_secs_f64() <= class_end(*class));
        self.counts[class.unwrap_or(GAP_CLASSES - 1)] += 1.0;
    }

    /// How many are known, less what wore off.
    fn known(&self) -> f64 {
        self.counts.iter().sum()
    }

    /// With those of all items as a few more.
    ///
    /// A new steward sees the short ones end first. Taken alone, they would speak for much patience, and each
    /// change of steward would cost idle hours. So until it has seen many, the rest counts as long.
    #[must_use]
    pub fn with_shared(mut self, shared: &Self) -> Self {
        let known = shared.known();
        let long = (MANY_GAPS - known).max(0.0);
        let share = SHARED_GAPS / (known + long);
        for (count, other) in self.counts.iter_mut().zip(shared.counts) {
            *count += other * share;
        }
        self.counts[GAP_CLASSES - 1] += long * share;
        self
    }

    /// The patience in seconds, from `least` to `most`, that would have cost least over these idle times: of
    /// each the time idled, and the break-even time where patience ended before it did.
    fn best_patience(&self, break_even: f64, least: f64, most: f64) -> f64 {
        let ends = (0..GAP_CLASSES - 1).map(class_end);
        let between = ends.filter(|end| (least..most).contains(end));
        let mut best = (f64::INFINITY, most);
        for patience in between.chain([least, most]) {
            let cost = self.cost(patience, break_even);
            if cost < best.0 || cost == best.0 && patience > best.1 {
                best = (cost, patience);
            }
        }
        best.1
    }

    fn cost(&self, patience: f64, break_even: f64) -> f64 {
        /// Idle times lie in the middle of their class.
        const MIDDLE: f64 = 0.85;
        let classes = self.counts.iter().enumerate();
        let costs = classes.map(|(class, count)| {
            let gap = class_end(class) * MIDDLE;
            count
                * if gap <= patience {
                    gap
                } else {
                    patience + break_even
                }
        });
        costs.sum()
    }
}

/// The longest idle time of a class, in seconds.
fn class_end(class: usize) -> f64 {
    GAP_STEP.powf(class as f64)
}

/// How often something is asked for: the mean gap between arrivals, which grows while none comes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rate {
    gap: f64,
    gaps: u32,
    last: Option<clock::Instant>,
    idle: IdleTimes,
    /// Arrivals, of which old ones wear off within [`POPULARITY`].
    recent: f64,
}

impl Rate {
    /// Takes an arrival in.
    pub fn record_arrival(&mut self, now: clock::Instant) {
        if let Some(last) = self.last {
            let since = now.since(last);
            self.recent *= (-since.as_secs_f64() / POPULARITY.as_secs_f64()).exp();
            self.idle.observe(since);
            let gap = since.as_secs_f64();
            self.gap = match self.gaps {
                0 => gap,
                _ => self.gap + GAP_GAIN * (gap - self.gap),
            };
            self.gaps = self.gaps.saturating_add(1);
        }
        self.recent += 1.0;
        self.last = Some(now);
    }

    /// Arrivals a second to be expected: those of the last while, and as many as its idle time speaks for.
    #[must_use]
    pub fn expected(&self, now: clock::Instant) -> f64 {
        let Some(last) = self.last else {
            return 0.0;
        };
        let while_s = POPULARITY.as_secs_f64();
        let recent = self.recent * (-now.since(last).as_secs_f64() / while_s).exp();
        recent / while_s + RECENCY * self.per_second(now)
    }

    /// With the idle times of all items beside its own, which are few for what is seldom used.
    #[must_use]
    pub fn with_shared(mut self, shared: &IdleTimes) -> Self {
        self.idle = self.idle.with_shared(shared);
        self
    }

    /// The mean gap in seconds, at least the time since the last arrival; `None` before the second arrival.
    #[must_use]
    pub fn mean_gap(&self, now: clock::Instant) -> Option<f64> {
        let last = self.last.filter(|_| self.gaps > 0)?;
        let idle = now.since(last).as_secs_f64();
        Some(self.gap.max(idle).max(LEAST_GAP))
    }

    /// Arrivals a second. With a single arrival known, one in the time since.
    #[must_use]
    pub fn per_second(&self, now: clock::Instant) -> f64 {
        let Some(last) = self.last else {
            return 0.0;
        };
        let idle = now.since(last).as_secs_f64().max(LEAST_GAP);
        1.0 / self.mean_gap(now).unwrap_or(idle.max(1.0))
    }

    /// How long a replica may idle, in seconds, when that costs as much as a load after `break_even`.
    #[must_use]
    pub fn max_idle_seconds(&self, break_even: f64) -> f64 {
        if self.idle.known() < KNOWN_GAPS {
            return break_even;
        }
        let (least, most) = (break_even * LEAST_PATIENCE, break_even * MOST_PATIENCE);
        self.idle.best_patience(break_even, least, most)
    }
}
