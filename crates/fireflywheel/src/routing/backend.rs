//! One backend server as a router sees it.

use std::{collections::VecDeque, time::Duration};

use smol_str::SmolStr;

use super::{Options, Report, cache};
use crate::clock;

/// Time between two entries of a server's history of own requests.
const HISTORY_STEP: Duration = Duration::from_millis(100);
/// Entries of the history: a report that lags by more is set against the oldest.
const HISTORY: usize = 32;
/// Doublings of the backoff at most, so that it can't overflow.
const LONGEST_DOUBLINGS: u32 = 16;

/// A backend server.
#[derive(Clone, Debug)]
pub struct Server {
    /// Its address.
    pub address: SmolStr,
    /// Its failure domain.
    pub failure_domain: SmolStr,
    /// Requests of this router in progress there.
    pub in_flight: u32,
    /// Its last report.
    pub report: Option<Report>,
    /// Whether it said that it leaves, or the platform's list did.
    pub leaving: bool,
    pub(super) slots: u32,
    /// Requests of other routers as the last report told.
    pub(super) others: u32,
    /// Requests of this router in progress, over the last seconds.
    history: VecDeque<(clock::Instant, u32)>,
    /// When it joined, or came back from a backoff.
    joined: clock::Instant,
    pub(super) failures: u32,
    pub(super) cache: cache::Cache,
}

impl Server {
    pub(super) fn new(
        now: clock::Instant,
        address: SmolStr,
        failure_domain: SmolStr,
        slots: u32,
    ) -> Self {
        Self {
            address,
            failure_domain,
            in_flight: 0,
            report: None,
            leaving: false,
            slots,
            others: 0,
            history: VecDeque::new(),
            joined: now,
            failures: 0,
            cache: cache::Cache::default(),
        }
    }

    /// Whether it may get a request more.
    pub(super) fn takes_more(&self, now: clock::Instant, options: &Options) -> bool {
        let backed_off = self.failures > 0 && now < self.joined;
        if self.leaving || backed_off {
            return false;
        }
        // Faded to nothing, not to the mean: reports that all said "full" and then stopped would otherwise
        // keep every server full for ever.
        let others = f64::from(self.others) * self.trust(now, options);
        f64::from(self.in_flight) + others < f64::from(self.slots)
    }

    /// How much the last report still says, from 1 to 0.
    pub(super) fn trust(&self, now: clock::Instant, options: &Options) -> f64 {
        let Some(report) = self.report else {
            return 0.0;
        };
        let age = now.since(report.at);
        if age >= options.report_ttl {
            return 0.0;
        }
        (-age.as_secs_f64() / options.half_life.as_secs_f64()).exp2()
    }

    /// How far its ramp has come, from 0 to 1.
    pub(super) fn risen(&self, now: clock::Instant, options: &Options) -> f64 {
        let elapsed = now.since(self.joined).as_secs_f64();
        (elapsed / options.slow_start.as_secs_f64()).min(1.0)
    }

    /// Puts the own requests in progress into the history before they change.
    pub(super) fn note(&mut self, now: clock::Instant) {
        let newest = self.history.back();
        if newest.is_some_and(|(at, _)| now.since(*at) < HISTORY_STEP) {
            return;
        }
        self.history.push_back((now, self.in_flight));
        if self.history.len() > HISTORY {
            self.history.pop_front();
        }
    }

    /// The own requests that were in progress at a time past.
    pub(super) fn own_at(&self, at: clock::Instant) -> u32 {
        let later = self.history.iter().find(|(noted, _)| *noted >= at);
        later.map_or(self.in_flight, |(_, in_flight)| *in_flight)
    }

    /// A request failed there: it is left alone for a while.
    pub(super) fn fail(&mut self, now: clock::Instant, options: &Options) {
        // What was in progress when the backoff began fails with it, and says nothing new.
        let backed_off = self.failures > 0 && now < self.joined;
        if backed_off {
            return;
        }
        self.failures += 1;
        let doublings = (self.failures - 1).min(LONGEST_DOUBLINGS);
        let wait = options.backoff.saturating_mul(1 << doublings);
        self.joined = now.after(wait.min(options.max_backoff));
    }
}
