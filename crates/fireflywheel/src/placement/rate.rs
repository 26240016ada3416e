//! Request rates of items, and their idle times between requests.

use std::time::Duration;

use super::MIN_GAP_SECONDS;
use crate::clock;

/// The weight of a new gap between arrivals in the mean gap.
const MEAN_GAP_GAIN: f64 = 0.3;
/// The number of idle times that must be known before they replace the break-even time as the idle limit.
const MIN_KNOWN_GAPS: f64 = 3.0;
/// The number of histogram buckets for idle times. The first bucket ends at one second, and each further one ends
/// [`GAP_BUCKET_RATIO`] times as late as the one before.
const GAP_BUCKETS: usize = 32;
/// The ratio between the ends of two adjacent buckets.
const GAP_BUCKET_RATIO: f64 = std::f64::consts::SQRT_2;
/// The factor by which each new idle time reduces the weight of the older ones, so that old usage patterns fade.
const GAP_DECAY: f64 = 0.95;
/// The weight of the idle times of all items, as a number of idle times of one item.
const SHARED_GAPS_WEIGHT: f64 = 10.0;
/// The number of shared idle times from which they are not padded with long ones.
const MIN_SHARED_GAPS: f64 = 15.0;
/// The smallest idle limit, as a fraction of the break-even time; applies to replicas with widely spaced arrivals.
const MIN_IDLE_RATIO: f64 = 0.1;
/// The largest idle limit, as a multiple of the break-even time; applies to replicas in steady use.
const MAX_IDLE_RATIO: f64 = 1.5;
/// The time constant with which arrivals decay in the long-term request rate.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(1800);
/// The weight of the short-term rate, which follows the time since the last arrival, relative to the long-term rate.
const SHORT_TERM_WEIGHT: f64 = 0.3;

/// A histogram of how long items idled until they were used again, in which the newest idle times have the most
/// weight.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct IdleTimes {
    counts: [f64; GAP_BUCKETS],
}

impl IdleTimes {
    /// Records an idle time.
    pub fn observe(&mut self, gap: Duration) {
        for count in &mut self.counts {
            *count *= GAP_DECAY;
        }
        let bucket = (0..GAP_BUCKETS - 1).find(|bucket| gap.as_secs_f64() <= bucket_end(*bucket));
        self.counts[bucket.unwrap_or(GAP_BUCKETS - 1)] += 1.0;
    }

    /// Returns the number of known idle times, less those that have decayed.
    fn count(&self) -> f64 {
        self.counts.iter().sum()
    }

    /// Adds the idle times of all items, with the weight of a few idle times of this item.
    ///
    /// A new steward sees short idle times end first. Used alone, they would lead to a high idle limit, and each
    /// change of steward would cost idle hours. Until [`MIN_SHARED_GAPS`] are known, the missing ones therefore count
    /// as long idle times.
    #[must_use]
    pub fn with_shared(mut self, shared: &Self) -> Self {
        let known_count = shared.count();
        let long = (MIN_SHARED_GAPS - known_count).max(0.0);
        let share = SHARED_GAPS_WEIGHT / (known_count + long);
        for (count, other) in self.counts.iter_mut().zip(shared.counts) {
            *count += other * share;
        }
        self.counts[GAP_BUCKETS - 1] += long * share;
        self
    }

    /// Returns the idle limit from `min` to `max`, in seconds, that would have cost least over these idle times; the
    /// longest one among equals. Each idle time costs the time spent idle, and in addition the break-even time if the
    /// limit was reached first.
    fn best_idle_limit(&self, break_even: f64, min: f64, max: f64) -> f64 {
        let ends = (0..GAP_BUCKETS - 1).map(bucket_end);
        let between = ends.filter(|end| (min..max).contains(end));
        let mut best = (f64::INFINITY, max);
        for idle_limit in between.chain([min, max]) {
            let cost = self.cost(idle_limit, break_even);
            if cost < best.0 || cost == best.0 && idle_limit > best.1 {
                best = (cost, idle_limit);
            }
        }
        best.1
    }

    /// Returns the cost of an idle limit over these idle times, in seconds.
    fn cost(&self, idle_limit: f64, break_even: f64) -> f64 {
        /// The assumed idle time in a bucket, as a fraction of the bucket's end: about its middle.
        const BUCKET_MIDDLE_RATIO: f64 = 0.85;
        let buckets = self.counts.iter().enumerate();
        let costs = buckets.map(|(bucket, count)| {
            let gap = bucket_end(bucket) * BUCKET_MIDDLE_RATIO;
            count
                * if gap <= idle_limit {
                    gap
                } else {
                    idle_limit + break_even
                }
        });
        costs.sum()
    }
}

/// Returns the longest idle time of a bucket, in seconds.
fn bucket_end(bucket: usize) -> f64 {
    GAP_BUCKET_RATIO.powf(bucket as f64)
}

/// The request rate of an item, from the mean gap between arrivals, which grows while no request arrives.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rate {
    /// The mean gap, in seconds.
    gap: f64,
    /// The number of gaps observed.
    gaps: u32,
    /// The time of the last arrival.
    last: Option<clock::Instant>,
    idle: IdleTimes,
    /// The number of arrivals, decayed exponentially with [`RATE_TIME_CONSTANT`].
    recent: f64,
}

impl Rate {
    /// Records an arrival.
    pub fn record_arrival(&mut self, now: clock::Instant) {
        if let Some(last) = self.last {
            let since = now.since(last);
            self.recent *= (-since.as_secs_f64() / RATE_TIME_CONSTANT.as_secs_f64()).exp();
            self.idle.observe(since);
            let gap = since.as_secs_f64();
            self.gap = match self.gaps {
                0 => gap,
                _ => self.gap + MEAN_GAP_GAIN * (gap - self.gap),
            };
            self.gaps = self.gaps.saturating_add(1);
        }
        self.recent += 1.0;
        self.last = Some(now);
    }

    /// Returns the expected arrivals per second: the long-term rate, plus a share of the short-term rate.
    #[must_use]
    pub fn expected_per_second(&self, now: clock::Instant) -> f64 {
        let Some(last) = self.last else {
            return 0.0;
        };
        let time_constant = RATE_TIME_CONSTANT.as_secs_f64();
        let recent = self.recent * (-now.since(last).as_secs_f64() / time_constant).exp();
        recent / time_constant + SHORT_TERM_WEIGHT * self.per_second(now)
    }

    /// Adds the idle times of all items to those of this item, of which a rarely used item has only a few.
    #[must_use]
    pub fn with_shared(mut self, shared: &IdleTimes) -> Self {
        self.idle = self.idle.with_shared(shared);
        self
    }

    /// Returns the mean gap in seconds, at least the time since the last arrival, or `None` before the second arrival.
    #[must_use]
    pub fn mean_gap(&self, now: clock::Instant) -> Option<f64> {
        let last = self.last.filter(|_| self.gaps > 0)?;
        let idle = now.since(last).as_secs_f64();
        Some(self.gap.max(idle).max(MIN_GAP_SECONDS))
    }

    /// Returns the arrivals per second from the mean gap. After a single arrival, the gap is the time since that
    /// arrival, at least one second.
    #[must_use]
    pub fn per_second(&self, now: clock::Instant) -> f64 {
        let Some(last) = self.last else {
            return 0.0;
        };
        let idle = now.since(last).as_secs_f64().max(MIN_GAP_SECONDS);
        1.0 / self.mean_gap(now).unwrap_or(idle.max(1.0))
    }

    /// Returns how long a replica may idle, in seconds. `break_even` is the idle time that costs as much as a load.
    #[must_use]
    pub fn max_idle_seconds(&self, break_even: f64) -> f64 {
        if self.idle.count() < MIN_KNOWN_GAPS {
            return break_even;
        }
        let (min, max) = (break_even * MIN_IDLE_RATIO, break_even * MAX_IDLE_RATIO);
        self.idle.best_idle_limit(break_even, min, max)
    }
}
