//! The state that a router keeps for one backend server.

use std::{collections::VecDeque, time::Duration};

use smol_str::SmolStr;

use super::{Options, Report, cache};
use crate::clock;

/// The shortest time between two entries in a server's history of the router's own requests.
const HISTORY_INTERVAL: Duration = Duration::from_millis(100);
/// The size of the history. A report that lags by more than the history covers is compared with the oldest entry.
const MAX_HISTORY_ENTRIES: usize = 32;
/// The largest number of times that the backoff is doubled, so that the shift cannot overflow.
const MAX_BACKOFF_DOUBLINGS: u32 = 16;

/// A backend server as one router knows it.
#[derive(Clone, Debug)]
pub struct Server {
    /// The address of the server.
    pub address: SmolStr,
    /// The failure domain of the server.
    pub failure_domain: SmolStr,
    /// The number of this router's requests in progress on the server.
    pub in_flight: u32,
    /// The newest report of the server.
    pub report: Option<Report>,
    /// Whether the server itself or the platform's list of servers announced that it is leaving.
    pub is_leaving: bool,
    /// The number of requests that the server runs at once.
    pub(super) slots: u32,
    /// The number of other routers' requests, according to the newest report.
    pub(super) external_requests: u32,
    /// The number of this router's requests in progress over the last seconds, by time.
    history: VecDeque<(clock::Instant, u32)>,
    /// When the server joined, or when its last backoff ends or ended.
    available_from: clock::Instant,
    /// The number of consecutive failures.
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
            is_leaving: false,
            slots,
            external_requests: 0,
            history: VecDeque::new(),
            available_from: now,
            failures: 0,
            cache: cache::Cache::default(),
        }
    }

    /// Returns whether the server may get another request.
    pub(super) fn has_capacity(&self, now: clock::Instant, options: &Options) -> bool {
        let is_backed_off = self.failures > 0 && now < self.available_from;
        if self.is_leaving || is_backed_off {
            return false;
        }
        // The reported load decays to zero here and not to the mean: if all servers reported that they are full
        // and the reports then stopped, the mean would keep every server full for ever.
        let external_requests =
            f64::from(self.external_requests) * self.report_weight(now, options);
        f64::from(self.in_flight) + external_requests < f64::from(self.slots)
    }

    /// Returns the weight of the newest report, which decays from 1 to 0 with the report's age.
    pub(super) fn report_weight(&self, now: clock::Instant, options: &Options) -> f64 {
        let Some(report) = self.report else {
            return 0.0;
        };
        let age = now.since(report.at);
        if age >= options.report_ttl {
            return 0.0;
        }
        (-age.as_secs_f64() / options.half_life.as_secs_f64()).exp2()
    }

    /// Returns the progress of the server's slow start, from 0 to 1.
    pub(super) fn slow_start_progress(&self, now: clock::Instant, options: &Options) -> f64 {
        let elapsed = now.since(self.available_from).as_secs_f64();
        (elapsed / options.slow_start.as_secs_f64()).min(1.0)
    }

    /// Adds the number of the router's own requests to the history; called before that number changes.
    pub(super) fn record_in_flight(&mut self, now: clock::Instant) {
        let newest = self.history.back();
        if newest.is_some_and(|(at, _)| now.since(*at) < HISTORY_INTERVAL) {
            return;
        }
        self.history.push_back((now, self.in_flight));
        if self.history.len() > MAX_HISTORY_ENTRIES {
            self.history.pop_front();
        }
    }

    /// Returns how many of the router's own requests were in progress at a time in the past.
    pub(super) fn in_flight_at(&self, at: clock::Instant) -> u32 {
        let later = self
            .history
            .iter()
            .find(|(recorded_at, _)| *recorded_at >= at);
        later.map_or(self.in_flight, |(_, in_flight)| *in_flight)
    }

    /// Records that a request failed on the server, and backs off from it.
    pub(super) fn record_failure(&mut self, now: clock::Instant, options: &Options) {
        // Requests that were in progress when the backoff began fail for the same reason as the first one. Counting
        // each of them would lengthen the backoff for a single fault.
        let is_backed_off = self.failures > 0 && now < self.available_from;
        if is_backed_off {
            return;
        }
        self.failures += 1;
        let doublings = (self.failures - 1).min(MAX_BACKOFF_DOUBLINGS);
        let wait = options.backoff.saturating_mul(1 << doublings);
        self.available_from = now.after(wait.min(options.max_backoff));
    }
}
