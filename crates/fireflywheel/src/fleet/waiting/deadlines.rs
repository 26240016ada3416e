//! Recognises callers that have come back after a refusal, by the time that they have left.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;

use crate::clock;

/// A caller that states less than this share of its route's usual deadline has come back.
const RETURNED_RATIO: f64 = 0.98;
/// Half of the time for which a stated deadline counts.
const SPAN: Duration = Duration::from_secs(30);
/// Maximum number of routes that are kept. Configurations have a few dozen.
const MAX_ROUTES: usize = 1024;

#[derive(Clone, Copy, Debug)]
struct Longest {
    span_start: clock::Instant,
    current: Duration,
    previous: Duration,
}

/// The longest deadline that requests of each route have stated in the last minute.
#[derive(Clone, Debug, Default)]
pub struct Deadlines {
    routes: BTreeMap<SmolStr, Longest>,
}

impl Deadlines {
    /// Returns whether the caller of a request has come back, and records the deadline that it states, if any. `timeout` is
    /// the time-out of its route.
    pub fn observe(
        &mut self,
        now: clock::Instant,
        route: &SmolStr,
        timeout: Duration,
        stated: Option<Duration>,
    ) -> bool {
        let Some(stated) = stated else {
            return false;
        };
        if !self.routes.contains_key(route) && self.routes.len() >= MAX_ROUTES {
            self.routes
                .retain(|_, longest| now.since(longest.span_start) < SPAN);
        }
        if !self.routes.contains_key(route) && self.routes.len() >= MAX_ROUTES {
            return stated < timeout.mul_f64(RETURNED_RATIO);
        }
        let longest = self.routes.entry(route.clone()).or_insert(Longest {
            span_start: now,
            current: Duration::ZERO,
            previous: Duration::ZERO,
        });
        let age = now.since(longest.span_start);
        if age >= SPAN {
            longest.previous = match age < SPAN * 2 {
                true => longest.current,
                false => Duration::ZERO,
            };
            longest.current = Duration::ZERO;
            longest.span_start = now;
        }
        let known = longest.current.max(longest.previous);
        let usual = if known.is_zero() { timeout } else { known };
        longest.current = longest.current.max(stated);
        stated < usual.mul_f64(RETURNED_RATIO)
    }
}
