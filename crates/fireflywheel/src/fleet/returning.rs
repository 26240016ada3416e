//! Whether the caller of a request has come back after a refusal.
//!
//! A caller that comes back uses a new connection and a new request id, mostly at another instance. What shows it is
//! its deadline: it states the time that is left, which is less than callers of the route state at first.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;

use super::config;
use crate::clock;

/// How long a stated deadline counts.
const MEMORY: Duration = Duration::from_secs(60);
/// The number of spans into which the memory is divided.
const SPAN_COUNT: usize = 6;
/// A caller has come back if it has less than this share of the usual deadline left. The rest covers the time that
/// a request takes to arrive.
const FIRST_ATTEMPT_RATIO: f64 = 0.98;

/// The longest deadlines that requests of each route have stated at this instance.
#[derive(Clone, Debug, Default)]
pub struct Deadlines {
    /// By the route's name. Routes that no request has named for the length of the memory are removed when another
    /// is added, so that their number is bounded by the routes of recent configurations.
    routes: BTreeMap<SmolStr, Record>,
}

/// The longest deadlines of a route.
#[derive(Clone, Copy, Debug, Default)]
struct Record {
    /// The longest deadline of each span, the newest first.
    longest: [Duration; SPAN_COUNT],
    /// The number of the newest span.
    span: u64,
}

impl Record {
    /// Drops what is older than the memory.
    fn advance(&mut self, span: u64) {
        let elapsed = usize::try_from(span.saturating_sub(self.span)).unwrap_or(SPAN_COUNT);
        if elapsed > 0 {
            let elapsed = elapsed.min(SPAN_COUNT);
            self.longest.rotate_right(elapsed);
            self.longest[..elapsed].fill(Duration::ZERO);
            self.span = span;
        }
    }
}

/// The number of the span of a time.
fn span_at(now: clock::Instant) -> u64 {
    now.0 / (clock::millis(MEMORY) / SPAN_COUNT as u64)
}

impl Deadlines {
    /// Records the deadline that a request of the route states, and returns whether its caller has come back. A
    /// request that states none counts as a first attempt.
    pub fn observe(
        &mut self,
        now: clock::Instant,
        route: &config::Route,
        stated: Option<Duration>,
    ) -> bool {
        let Some(stated) = stated else {
            return false;
        };
        let span = span_at(now);
        if !self.routes.contains_key(&route.name) {
            let first = span.saturating_sub(SPAN_COUNT as u64);
            self.routes.retain(|_, record| record.span > first);
        }
        let record = self.routes.entry(route.name.clone()).or_default();
        record.advance(span);
        let known = record.longest.iter().max().copied().unwrap_or_default();
        record.longest[0] = record.longest[0].max(stated);
        let usual = if known.is_zero() {
            route.timeout
        } else {
            known
        };
        stated < usual.mul_f64(FIRST_ATTEMPT_RATIO)
    }

    /// The number of routes of which deadlines are known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Whether no deadline is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}
