//! Records what callers, workers and the operator observe in a trial, and checks the rules against it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use smol_str::SmolStr;
use tokio::time::Instant;

use super::caller::{Kind, Outcome, Seen};
use super::deployment::LOADS_PER_SECOND;
use super::resumption::{self, Tally};
use super::script::Faults;
use crate::site::configuration::ATTEMPTS;
use crate::site::line::Line;

/// An instance may abandon a request after this part of its deadline.
const MIN_ABANDON_RATIO: f64 = 0.7;
/// Prefix of the request ids of configuration probes.
pub const PROBE_ID_PREFIX: &str = "probe-";
/// Window over which loads from the weight store are counted.
const LOAD_RATE_WINDOW: Duration = Duration::from_secs(5);
/// Tolerated ratio of the loads in a window to the number that the rate allows.
const LOAD_RATE_TOLERANCE: f64 = 1.1;
/// Loads tolerated in a window in addition to [`LOAD_RATE_TOLERANCE`].
const EXTRA_LOADS: usize = 3;

/// A request that finds out whether an instance has a configuration version in force.
#[derive(Clone, Copy, Debug)]
pub struct Probe {
    /// Index and incarnation of the instance.
    pub instance: (usize, u64),
    /// Version whose route was requested.
    pub version: u64,
    /// Whether the instance knew the route.
    pub known: bool,
    /// When the request was sent.
    pub asked: Instant,
    /// When the answer arrived.
    pub answered: Instant,
}

/// The observations of a trial.
#[derive(Debug)]
pub struct Book {
    injected: Faults,
    /// Workers that ran a request, by its id.
    runs: BTreeMap<SmolStr, Vec<SmolStr>>,
    /// Accepted orders of each worker: holder and fencing token.
    orders: BTreeMap<SmolStr, Vec<(SmolStr, u64)>>,
    fetches: Vec<Instant>,
    requests: Vec<Seen>,
    probes: Vec<Probe>,
    /// Number of engines of each software version, from a time after the faults on.
    serving: Vec<(Instant, BTreeMap<SmolStr, usize>)>,
    violations: Vec<String>,
}

impl Book {
    /// Creates an empty record for a trial that injects faults of the given kinds.
    #[must_use]
    pub fn new(injected: Faults) -> Self {
        Self {
            injected,
            runs: BTreeMap::new(),
            orders: BTreeMap::new(),
            fetches: Vec::new(),
            requests: Vec::new(),
            probes: Vec::new(),
            serving: Vec::new(),
            violations: Vec::new(),
        }
    }

    /// Records a line that a worker has written.
    pub fn record_worker_line(&mut self, worker: &SmolStr, line: &str) {
        match line.parse() {
            Ok(Line::Run(id)) => self.runs.entry(id).or_default().push(worker.clone()),
            Ok(Line::Order(holder, fence)) => {
                let orders = self.orders.entry(worker.clone()).or_default();
                orders.push((holder, fence));
            }
            Ok(Line::Fetch) => self.fetches.push(Instant::now()),
            Ok(Line::Overcommitted) => {
                self.record_violation(format!("{worker} was ordered to load more than it holds"));
            }
            Err(error) => self.record_violation(format!("{worker} wrote {line:?}: {error}")),
        }
    }

    /// Records a request that has ended.
    pub fn record_request(&mut self, request: Seen) {
        self.requests.push(request);
    }

    /// Records the answer to a configuration probe.
    pub fn record_probe(&mut self, probe: Probe) {
        self.probes.push(probe);
    }

    /// Records the number of engines of each software version from now on. There are no faults any more.
    pub fn record_serving(&mut self, serving: BTreeMap<SmolStr, usize>) {
        self.serving.push((Instant::now(), serving));
    }

    /// Counts the streams that callers took up again.
    #[must_use]
    pub fn tally(&self) -> Tally {
        Tally::new(&self.requests, |_| true)
    }

    /// Counts the streams that callers took up again after the faults, with at least two engines of their version.
    #[must_use]
    pub fn quiet_tally(&self) -> Tally {
        Tally::new(&self.requests, |request| {
            resumption::has_servers(request, &self.requests, &self.serving)
        })
    }

    /// Records an event that breaks a rule regardless of all other observations.
    pub fn record_violation(&mut self, violation: String) {
        self.violations.push(violation);
    }

    /// Requests that have ended.
    #[must_use]
    pub fn requests(&self) -> &[Seen] {
        &self.requests
    }

    /// Number of loads from the weight store.
    #[must_use]
    pub fn fetch_count(&self) -> usize {
        self.fetches.len()
    }

    /// Number of orders that engines accepted.
    #[must_use]
    pub fn accepted_order_count(&self) -> usize {
        self.orders.values().map(Vec::len).sum()
    }

    /// Number of runs of requests whose ids begin with `prefix`.
    #[must_use]
    pub fn run_count(&self, prefix: &str) -> usize {
        let runs = self.runs.iter().filter(|(id, _)| id.starts_with(prefix));
        runs.map(|(_, workers)| workers.len()).sum()
    }

    /// Checks all rules and returns a line for each violation.
    #[must_use]
    pub fn violations(&self) -> Vec<String> {
        let mut violations = self.violations.clone();
        let sent: BTreeSet<&SmolStr> = self
            .requests
            .iter()
            .map(|request| &request.call.id)
            .collect();
        for (id, workers) in &self.runs {
            if !sent.contains(id) && !id.starts_with(PROBE_ID_PREFIX) {
                violations.push(format!("{id} ran at {workers:?}, and no caller sent it"));
            }
        }
        for request in &self.requests {
            violations.extend(self.check_request(request));
        }
        violations.extend(self.check_orders());
        violations.extend(self.check_load_rate());
        violations.extend(self.check_versions());
        violations.extend(resumption::check_order(&self.requests));
        violations.extend(self.quiet_tally().check());
        violations
    }

    fn check_request(&self, request: &Seen) -> Option<String> {
        let none = Vec::new();
        let runs = self.runs.get(&request.call.id).unwrap_or(&none);
        let single = request.call.kind.is_single();
        let violation = |rule: &str| Some(format!("{rule}; it ran at {runs:?}: {request:?}"));
        if single && runs.len() > 1 {
            return violation("a request that may run once ran again");
        }
        if runs.len() > ATTEMPTS {
            return violation("a request ran more often than its route allows");
        }
        let Outcome::Answer(answer) = &request.outcome else {
            return violation(self.check_lost(request, !runs.is_empty())?);
        };
        if single && answer.claims_not_run() && !runs.is_empty() {
            return violation("a request that was refused as not run has run");
        }
        if !answer.status.is_success() {
            return None;
        }
        if !answer.signed || answer.id.as_ref() != Some(&request.call.id) {
            return violation("a success that isn't the worker's answer to this request");
        }
        if runs.is_empty() {
            return violation("a success of a request that hasn't run");
        }
        violation(answer.flaw?)
    }

    /// Checks a request without a complete answer. Only planned operations must not lose requests, and an instance may
    /// abandon a request when most of its deadline has passed.
    fn check_lost(&self, request: &Seen, ran: bool) -> Option<&'static str> {
        let may_abandon = request.whole >= request.call.deadline.mul_f64(MIN_ABANDON_RATIO);
        if self.injected != Faults::Planned || may_abandon {
            return None;
        }
        match request.outcome {
            Outcome::Broken => Some("an answer broke off in planned work"),
            Outcome::Unanswered if ran => Some("a request that ran was lost in planned work"),
            _ => None,
        }
    }

    /// Checks that the fencing tokens of an engine's orders never decrease and that each token has one holder.
    fn check_orders(&self) -> Vec<String> {
        let mut violations = Vec::new();
        let mut holders: BTreeMap<u64, &SmolStr> = BTreeMap::new();
        for (worker, orders) in &self.orders {
            if !orders.is_sorted_by_key(|(_, fence)| *fence) {
                violations.push(format!(
                    "{worker} took orders of an earlier holder: {orders:?}"
                ));
            }
            for (holder, fence) in orders {
                let first = holders.entry(*fence).or_insert(holder);
                if *first != holder {
                    violations.push(format!("{first} and {holder} both sent orders as {fence}"));
                }
            }
        }
        violations
    }

    /// Checks the rate of loads from the weight store.
    fn check_load_rate(&self) -> Option<String> {
        let allowed = (LOADS_PER_SECOND * LOAD_RATE_WINDOW.as_secs_f64() * LOAD_RATE_TOLERANCE)
            as usize
            + EXTRA_LOADS;
        let too_many = self.fetches.iter().enumerate().find(|(index, start)| {
            let later = self.fetches[*index..].iter();
            let within = later.filter(|at| **at - **start < LOAD_RATE_WINDOW).count();
            within > allowed
        });
        too_many.map(|_| {
            format!("more than {allowed} loads from the weight store in {LOAD_RATE_WINDOW:?}")
        })
    }

    /// Checks that an incarnation of an instance never forgets a version that it has known.
    fn check_versions(&self) -> Vec<String> {
        let reverts = |later: &&Probe| {
            let knew = |earlier: &Probe| {
                earlier.known
                    && earlier.instance == later.instance
                    && earlier.version >= later.version
                    && earlier.answered < later.asked
            };
            !later.known && self.probes.iter().any(knew)
        };
        let reverts = self.probes.iter().filter(reverts);
        reverts
            .map(|probe| format!("an accepted configuration was lost: {probe:?}"))
            .collect()
    }

    /// Counts the requests of a kind by outcome.
    #[must_use]
    pub fn count_outcomes(&self, kind: Kind) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for request in self
            .requests
            .iter()
            .filter(|request| request.call.kind == kind)
        {
            let name = match &request.outcome {
                Outcome::Answer(answer) => answer.status.as_u16().to_string(),
                other => format!("{other:?}").to_lowercase(),
            };
            *counts.entry(name).or_default() += 1;
        }
        counts
    }
}
