//! When refused callers are asked to come back, so that they are admitted then.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::class;
use crate::clock;

/// The share of what is admitted that is kept for callers who have been told to come back. What they get later is
/// refused to others at first, who would be served in time: the rest of those who are refused is not asked to come
/// back.
const RETURN_RATIO: f64 = 0.3;
/// The divisor of a caller's remaining time that gives the latest time at which it comes back.
const RETURN_DIVISOR: u32 = 3;
/// The share of a caller's remaining time that it is told if it can't be admitted within its time.
const IN_VAIN_RATIO: f64 = 0.5;
/// The shortest time after which a caller is asked to come back: the time in which the steward learns of its
/// refusal.
const MIN_WAIT: Duration = Duration::from_millis(100);

/// The longest time between two callers that come back.
const MAX_SPACING: Duration = Duration::from_secs(20);

/// What the steward tells of the admission of those who come back.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Outlook {
    /// The share of the offered cost that the quota's rate covers.
    pub covered: f32,
    /// The time until the organisation has made up for what was admitted beyond its quota, in milliseconds.
    pub debt_ms: u32,
}

/// The times at which callers that this instance has refused come back, by priority.
#[derive(Clone, Copy, Debug, Default)]
pub struct Promises {
    /// When the next caller of each priority may come back.
    next: [clock::Instant; class::PRIORITIES],
}

impl Promises {
    /// Returns the time after which the caller of a refused request is to come back. `offered` is how many requests
    /// of its class come to this instance per second. `draw`, from 0 to 1, spreads the callers of different instances.
    pub fn book(
        &mut self,
        now: clock::Instant,
        request: &class::Request,
        outlook: Outlook,
        offered: f64,
        draw: f64,
    ) -> Duration {
        let left = request.left;
        let in_vain = left.mul_f64(IN_VAIN_RATIO);
        // Callers come back once.
        if request.class.has_returned() {
            return in_vain;
        }
        let per_second = offered * f64::from(outlook.covered) * RETURN_RATIO;
        let spacing = Duration::try_from_secs_f64(per_second.recip()).unwrap_or(MAX_SPACING);
        let spacing = spacing.min(MAX_SPACING);
        let next = &mut self.next[request.class.priority()];
        let earliest = now.after(MIN_WAIT + Duration::from_millis(outlook.debt_ms.into()));
        if *next < earliest {
            *next = earliest.after(spacing.mul_f64(draw));
        }
        let wait = next.since(now);
        if wait > left / RETURN_DIVISOR {
            return wait.max(in_vain);
        }
        *next = next.after(spacing);
        wait
    }
}
