//! All that callers, workers and the operator saw in a trial, and which promises it breaks.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use smol_str::SmolStr;
use tokio::time::Instant;

use super::caller::{Kind, Outcome, Seen};
use super::deployment::LOADS_PER_SECOND;
use super::script::Faults;
use crate::site::configuration::ATTEMPTS;
use crate::site::line::Line;

/// A request that has used so much of its time may be given up.
const USED_UP: f64 = 0.7;
/// Ids of questions for the configuration begin with this.
pub const PROBE: &str = "probe-";
/// Loads from the weight store are counted over this window.
const WINDOW: Duration = Duration::from_secs(5);
/// So much more may be ordered in a window than the rate allows, and so many loads beyond.
const OVERAGE: (f64, usize) = (1.1, 3);

/// A question which configuration an instance has in force.
#[derive(Clone, Copy, Debug)]
pub struct Probe {
    /// Which instance, in which of its lives.
    pub instance: (usize, u64),
    /// The version whose route was asked for.
    pub version: u64,
    /// Whether it knew the route.
    pub known: bool,
    /// When it was asked.
    pub asked: Instant,
    /// When it answered.
    pub answered: Instant,
}

/// Everything that was seen.
#[derive(Debug)]
pub struct Book {
    scope: Faults,
    runs: BTreeMap<SmolStr, Vec<SmolStr>>,
    orders: BTreeMap<SmolStr, Vec<(SmolStr, u64)>>,
    fetches: Vec<Instant>,
    seen: Vec<Seen>,
    probes: Vec<Probe>,
    faults: Vec<String>,
}

impl Book {
    /// Nothing was seen yet; faults of these kinds come.
    #[must_use]
    pub fn new(scope: Faults) -> Self {
        Self {
            scope,
            runs: BTreeMap::new(),
            orders: BTreeMap::new(),
            fetches: Vec::new(),
            seen: Vec::new(),
            probes: Vec::new(),
            faults: Vec::new(),
        }
    }

    /// A worker has written a line.
    pub fn worker_wrote(&mut self, worker: &SmolStr, line: &str) {
        match line.parse() {
            Ok(Line::Run(id)) => self.runs.entry(id).or_default().push(worker.clone()),
            Ok(Line::Order(holder, fence)) => {
                let orders = self.orders.entry(worker.clone()).or_default();
                orders.push((holder, fence));
            }
            Ok(Line::Fetch) => self.fetches.push(Instant::now()),
            Ok(Line::Overcommitted) => {
                self.fault(format!("{worker} was ordered to load more than it holds"));
            }
            Err(error) => self.fault(format!("{worker} wrote {line:?}: {error}")),
        }
    }

    /// A request has ended.
    pub fn saw(&mut self, seen: Seen) {
        self.seen.push(seen);
    }

    /// An instance was asked for its configuration.
    pub fn probed(&mut self, probe: Probe) {
        self.probes.push(probe);
    }

    /// Something that must not be, whatever else was seen.
    pub fn fault(&mut self, what: String) {
        self.faults.push(what);
    }

    /// All requests that have ended.
    #[must_use]
    pub fn seen(&self) -> &[Seen] {
        &self.seen
    }

    /// Loads from the weight store.
    #[must_use]
    pub fn fetches(&self) -> usize {
        self.fetches.len()
    }

    /// Orders that engines accepted.
    #[must_use]
    pub fn accepted_orders(&self) -> usize {
        self.orders.values().map(Vec::len).sum()
    }

    /// The promises that are broken, a line each.
    #[must_use]
    pub fn broken(&self) -> Vec<String> {
        let mut broken = self.faults.clone();
        let sent: BTreeSet<&SmolStr> = self.seen.iter().map(|seen| &seen.call.id).collect();
        for (id, workers) in &self.runs {
            if !sent.contains(id) && !id.starts_with(PROBE) {
                broken.push(format!("{id} ran at {workers:?}, and no caller sent it"));
            }
        }
        for seen in &self.seen {
            broken.extend(self.request(seen));
        }
        broken.extend(self.orders());
        broken.extend(self.ceiling());
        broken.extend(self.reverted());
        broken
    }

    fn request(&self, seen: &Seen) -> Option<String> {
        let none = Vec::new();
        let runs = self.runs.get(&seen.call.id).unwrap_or(&none);
        let single = seen.call.kind.is_single();
        let fault = |what: &str| Some(format!("{what}; it ran at {runs:?}: {seen:?}"));
        if single && runs.len() > 1 {
            return fault("a request that may run once ran again");
        }
        if runs.len() > ATTEMPTS {
            return fault("a request ran more often than its route allows");
        }
        let Outcome::Answer(answer) = &seen.outcome else {
            return fault(self.lost(seen, !runs.is_empty())?);
        };
        if single && answer.promises_not_run() && !runs.is_empty() {
            return fault("a request that was refused as not run has run");
        }
        if !answer.status.is_success() {
            return None;
        }
        if !answer.signed || answer.id.as_ref() != Some(&seen.call.id) {
            return fault("a success that isn't the worker's answer to this request");
        }
        if runs.is_empty() {
            return fault("a success of a request that hasn't run");
        }
        fault(answer.flaw?)
    }

    /// What is wrong with a request that got no whole answer, if its instance had no reason.
    fn lost(&self, seen: &Seen, ran: bool) -> Option<&'static str> {
        let used_up = seen.whole >= seen.call.deadline.mul_f64(USED_UP);
        if self.scope != Faults::Planned || used_up {
            return None;
        }
        match seen.outcome {
            Outcome::Broken => Some("an answer broke off in planned work"),
            Outcome::Unanswered if ran => Some("a request that ran was lost in planned work"),
            _ => None,
        }
    }

    /// Orders of an engine come with fencing tokens that never fall, and each token has one holder.
    fn orders(&self) -> Vec<String> {
        let mut broken = Vec::new();
        let mut holders: BTreeMap<u64, &SmolStr> = BTreeMap::new();
        for (worker, orders) in &self.orders {
            if !orders.is_sorted_by_key(|(_, fence)| *fence) {
                broken.push(format!(
                    "{worker} took orders of an earlier holder: {orders:?}"
                ));
            }
            for (holder, fence) in orders {
                let first = holders.entry(*fence).or_insert(holder);
                if *first != holder {
                    broken.push(format!("{first} and {holder} both sent orders as {fence}"));
                }
            }
        }
        broken
    }

    fn ceiling(&self) -> Option<String> {
        let allowed = (LOADS_PER_SECOND * WINDOW.as_secs_f64() * OVERAGE.0) as usize + OVERAGE.1;
        let too_many = self.fetches.iter().enumerate().find(|(place, begin)| {
            let later = self.fetches[*place..].iter();
            let within = later.filter(|at| **at - **begin < WINDOW).count();
            within > allowed
        });
        too_many.map(|_| format!("more than {allowed} loads from the weight store in {WINDOW:?}"))
    }

    /// A version that an instance knew is known for the rest of its life.
    fn reverted(&self) -> Vec<String> {
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

    /// How many requests of a kind ended in which way.
    #[must_use]
    pub fn counts(&self, kind: Kind) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for seen in self.seen.iter().filter(|seen| seen.call.kind == kind) {
            let name = match &seen.outcome {
                Outcome::Answer(answer) => answer.status.as_u16().to_string(),
                other => format!("{other:?}").to_lowercase(),
            };
            *counts.entry(name).or_default() += 1;
        }
        counts
    }
}
