//! How many repeats all instances may send to one group together.
//!
//! Each instance has an equal part of the fixed sum, and its ratio counts its own first requests. A window
//! slides in parts, so that a burst at the end of one and at the start of the next counts as one burst.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock;

/// Parts that a window is kept in: more would cost memory, fewer would let go of a burst too early or too late.
const PARTS: u32 = 10;
/// The share of the whole that is used: what other instances know of the fleet's size may lag.
const USED: f64 = 0.7;

/// How much may be repeated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Repeats for each first request.
    pub ratio: f64,
    /// Repeats in a window beyond the ratio, over all instances.
    pub extra: f64,
    /// The length of a window.
    pub window: Duration,
}

/// One instance's part of a group's budget.
#[derive(Clone, Debug)]
pub struct Budget {
    options: Options,
    parts: VecDeque<Part>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Part {
    begun: clock::Instant,
    first: u32,
    repeats: u32,
}

impl Budget {
    /// An unused budget.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Self {
            options,
            parts: VecDeque::new(),
        }
    }

    /// A request was sent for the first time.
    pub fn record_request(&mut self, now: clock::Instant) {
        self.part(now).first += 1;
    }

    /// Takes one repeat; `false` when the part of this instance, one of `instances`, is used up.
    #[must_use]
    pub fn try_retry(&mut self, now: clock::Instant, instances: usize) -> bool {
        self.part(now);
        let first: u32 = self.parts.iter().map(|part| part.first).sum();
        let repeats: u32 = self.parts.iter().map(|part| part.repeats).sum();
        let extra = self.options.extra / instances.max(1) as f64;
        let allowed = USED * (extra + self.options.ratio * f64::from(first));
        if f64::from(repeats) + 1.0 > allowed {
            return false;
        }
        self.part(now).repeats += 1;
        true
    }

    fn part(&mut self, now: clock::Instant) -> &mut Part {
        let length = self.options.window / PARTS;
        while let Some(oldest) = self.parts.front() {
            if now.since(oldest.begun) <= self.options.window {
                break;
            }
            self.parts.pop_front();
        }
        let fresh = self
            .parts
            .back()
            .is_some_and(|part| now.since(part.begun) < length);
        if !fresh {
            self.parts.push_back(Part {
                begun: now,
                ..Part::default()
            });
        }
        self.parts
            .back_mut()
            .expect("a part was just pushed if there was none")
    }
}
