//! Requests on which servers crash.
//!
//! A request on which its server crashes crashes the next one as well, and so does each other request with the same part in
//! its prompt, or the same two parts. No single instance sees enough to tell what it is: requests come at any instance, and an
//! instance sees connections break, not processes end. Therefore instances share [`Facts`]: which processes have crashed, which
//! [`Suspects`] were being answered there, and which of them have been answered to the end since. Facts are merged in any
//! order, over the links to the steward or, without one, over those to its standbys. From them each instance derives by itself
//! which parts are quarantined ([`Registry`]), and refuses requests with them.
//!
//! A crash is a fact once two instances have found that the process has ended or is silent. One that others reach is refuted by
//! its answers, as long as they are those of the same process.
//!
//! | module | contents |
//! |---|---|
//! | [`answers`] | how often parts have been answered to the end |
//! | [`fact`] | what instances tell each other |

pub mod answers;
pub mod fact;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::announcement::Process;
use super::frame;
use crate::clock;

pub use fact::{Clearance, Crash, Facts, Kind, Part, Report, Survivor, Suspects, Verdict};

/// Number of crashes, without a whole answer since, after which a part is quarantined.
const MIN_CRASHES: u32 = 3;
/// The same for a part that was answered often before: something else is the more likely cause.
const MIN_CRASHES_OF_PROVEN: u32 = 5;
/// Number of whole answers from which on a part has been answered often.
const PROVEN_ANSWERS: u32 = 10;
/// Number of instances that must find that a process has ended, if there are so many.
pub const MIN_WITNESSES: usize = 2;
/// Maximum error of times that other instances report, by the delays of their links.
const TIME_TOLERANCE: Duration = Duration::from_millis(500);
/// The same for times that were kept in the store with the lease, which is renewed within this time.
const STORED_TIME_TOLERANCE: Duration = Duration::from_secs(5);
/// How long after a crash another connection to its address tells about the same process.
const VERIFICATION_TIME: Duration = Duration::from_millis(400);
/// How long broken runs are kept until it is known whether their process has crashed.
const BREAK_TTL: Duration = Duration::from_secs(3);
/// How long crashes, clearances and refutations are kept.
const FACT_TTL: Duration = Duration::from_secs(600);
/// Maximum number of crashes that are kept.
const MAX_CRASHES: usize = 256;
/// Maximum number of suspects of all of them.
const MAX_ALL_SUSPECTS: usize = 7168;
/// Maximum number of suspects of a crash.
const MAX_SUSPECTS: usize = 256;
/// Maximum number of suspects of the broken runs at a process.
const MAX_BROKEN_SUSPECTS: usize = 4096;
/// Maximum number of quarantined parts.
const MAX_VERDICTS: usize = 256;
/// Maximum number of clearances that are kept.
const MAX_CLEARANCES: usize = 2048;
/// Maximum number of processes whose broken runs are kept.
const MAX_BROKEN_PROCESSES: usize = 256;
/// Delay from the quarantine of a part to the first trial, which lets one request with it through.
const FIRST_TRIAL_DELAY: Duration = Duration::from_secs(15);
/// Each further trial comes this many times as long after the one before: each may crash a server.
const TRIAL_DELAY_FACTOR: u32 = 8;
/// Maximum number of trials of a part.
const MAX_TRIALS: u32 = 3;
/// How long the steward may order a load that is on trial: room may have to be made first.
const LOAD_TRIAL_TIME: Duration = Duration::from_secs(3);
/// Retry delay for requests with a part for which there are no more trials.
const NO_TRIAL_RETRY_DELAY: Duration = Duration::from_secs(3600);

/// A crash as this instance knows it.
#[derive(Clone, Debug)]
struct Known {
    at: clock::Instant,
    witnesses: BTreeSet<u64>,
    /// What was being answered, with the number of whole answers before.
    suspects: BTreeMap<Part, u32>,
    is_confirmed: bool,
}

/// A quarantined part.
#[derive(Clone, Copy, Debug)]
struct Quarantine {
    /// The time of the last crash that led to it.
    since: clock::Instant,
    trials: u32,
    trial_at: Option<clock::Instant>,
    /// Maximum error of `since`.
    tolerance: Duration,
}

/// The suspects of runs that broke off.
#[derive(Clone, Debug)]
struct Breaks {
    at: clock::Instant,
    parts: BTreeSet<Part>,
}

/// What speaks against a part.
#[derive(Clone, Debug, Default)]
struct Charge {
    /// The number of crashes without a whole answer of it since. Those of a wave count once.
    crashes: u32,
    /// Those of them that no quarantined part explains.
    unexplained: u32,
    /// The largest number of whole answers before that an instance knows of.
    answers: u32,
    /// The time of the last of these crashes.
    last: clock::Instant,
    /// When the last wave began.
    wave: Option<clock::Instant>,
}

impl Charge {
    /// Adds a crash, which is no earlier than those before.
    fn add(&mut self, at: clock::Instant, is_wave: bool, is_explained: bool) {
        self.last = at;
        if is_wave {
            if self
                .wave
                .is_some_and(|begun| at <= begun.after(TIME_TOLERANCE))
            {
                return;
            }
            self.wave = Some(at);
        }
        self.crashes += 1;
        self.unexplained += u32::from(!is_explained);
    }

    fn is_sufficient(&self) -> bool {
        let required = if self.answers < PROVEN_ANSWERS {
            MIN_CRASHES
        } else {
            MIN_CRASHES_OF_PROVEN
        };
        self.crashes >= required
    }
}

/// What has changed since it was last told.
#[derive(Clone, Debug, Default)]
struct News {
    crashes: BTreeSet<Process>,
    survivors: BTreeSet<Process>,
    parts: BTreeSet<Part>,
}

/// What an instance knows of crashes and parts.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    answers: answers::Answers,
    breaks: BTreeMap<Process, Breaks>,
    crashes: BTreeMap<Process, Known>,
    /// Processes that have answered after they were thought to have crashed.
    survivors: BTreeMap<Process, clock::Instant>,
    /// When suspected parts were last answered to the end.
    cleared: BTreeMap<Part, clock::Instant>,
    quarantined: BTreeMap<Part, Quarantine>,
    /// Whether more may speak against a part than at the last review.
    needs_review: bool,
    news: News,
}

impl Registry {
    /// Records an answer that has arrived whole. Returns whether other instances have to be told.
    pub fn record_answer(&mut self, now: clock::Instant, suspects: &Suspects) -> bool {
        self.answers.record(now, suspects);
        if self.crashes.is_empty() && self.quarantined.is_empty() {
            return false;
        }
        let mut is_news = false;
        for part in suspects.all() {
            is_news |= self.is_accused(*part) && self.clear(*part, now);
        }
        self.review();
        is_news
    }

    /// Records that a run broke off at the beginning of its answer.
    pub fn record_break(&mut self, now: clock::Instant, process: &Process, parts: &[Part]) {
        if self.breaks.len() >= MAX_BROKEN_PROCESSES && !self.breaks.contains_key(process) {
            return;
        }
        let breaks = self.breaks.entry(process.clone()).or_insert(Breaks {
            at: now,
            parts: BTreeSet::new(),
        });
        let room = MAX_BROKEN_SUSPECTS.saturating_sub(breaks.parts.len());
        breaks.parts.extend(parts.iter().take(room));
        if self.crashes.contains_key(process) {
            self.add_suspects(process);
            self.review();
        }
    }

    /// Records that `witness`, the process of an instance, has found that a process has ended. `instances` is the number of
    /// instances that can find that. Returns whether it is new.
    pub fn record_end(
        &mut self,
        now: clock::Instant,
        process: &Process,
        witness: u64,
        instances: usize,
    ) -> bool {
        let at = self.breaks.get(process).map_or(now, |breaks| breaks.at);
        if self.is_refuted(process, at) {
            return false;
        }
        let required = MIN_WITNESSES.min(instances);
        for known in self.crashes.values_mut() {
            known.is_confirmed |= known.witnesses.len() >= required;
        }
        let known = self.crashes.entry(process.clone()).or_insert(Known {
            at,
            witnesses: BTreeSet::new(),
            suspects: BTreeMap::new(),
            is_confirmed: false,
        });
        if known.witnesses.len() >= MIN_WITNESSES || !known.witnesses.insert(witness) {
            return false;
        }
        known.is_confirmed |= known.witnesses.len() >= required;
        self.needs_review = true;
        self.news.crashes.insert(process.clone());
        self.add_suspects(process);
        self.limit_crashes();
        self.review();
        true
    }

    /// Records that a connection to the address of a process has opened. Returns whether that refutes a crash: a while after
    /// it, another process may listen there.
    pub fn record_connection(&mut self, now: clock::Instant, process: &Process) -> bool {
        let crash = self.crashes.get(process);
        if crash.is_some_and(|known| now.since(known.at) >= VERIFICATION_TIME) {
            return false;
        }
        self.record_life(now, process, now)
    }

    /// Records that a process has answered a request that was sent at `sent`. Returns whether that refutes a crash.
    pub fn record_life(
        &mut self,
        now: clock::Instant,
        process: &Process,
        sent: clock::Instant,
    ) -> bool {
        let Some(known) = self.crashes.get(process) else {
            return false;
        };
        if sent < known.at {
            return false;
        }
        self.refute(process, now);
        true
    }

    /// When a process is thought to have crashed; `None` if it isn't.
    #[must_use]
    pub fn crashed_at(&self, process: &Process) -> Option<clock::Instant> {
        Some(self.crashes.get(process)?.at)
    }

    /// Forgets the broken runs at a process that goes on.
    pub fn forget_breaks(&mut self, process: &Process) {
        self.breaks.remove(process);
    }

    /// Merges facts that another instance has told. With `passes_on`, what is new is told in turn. Returns the crashed
    /// processes whose end has too few witnesses; `own` is this instance as a witness.
    pub fn merge(
        &mut self,
        now: clock::Instant,
        facts: &Facts,
        passes_on: bool,
        own: u64,
    ) -> Vec<Process> {
        // What is told isn't passed on, but what this instance adds to it is: suspects, and answers that clear them.
        let before = (!passes_on).then(|| self.news.clone());
        let ago = |age_ms: u32| now.before(Duration::from_millis(age_ms.into()));
        for survivor in &facts.survivors {
            self.refute(&survivor.process, ago(survivor.age_ms));
        }
        for clearance in &facts.clearances {
            self.clear(clearance.part, ago(clearance.age_ms));
        }
        for verdict in &facts.verdicts {
            self.merge_verdict(verdict, ago);
        }
        if let Some(before) = before {
            self.news = before;
        }
        let mut unverified = Vec::new();
        for crash in &facts.crashes {
            let is_new = self.merge_crash(crash, ago(crash.age_ms), passes_on);
            let needs_witness = !crash.is_confirmed && !crash.witnesses.contains(&own);
            if is_new && needs_witness && self.crashes.contains_key(&crash.process) {
                unverified.push(crash.process.clone());
            }
        }
        self.limit_crashes();
        self.review();
        unverified
    }

    /// Takes what has changed since the last call.
    pub fn take_news(&mut self, now: clock::Instant) -> Facts {
        let news = std::mem::take(&mut self.news);
        let crashes = news.crashes.iter();
        let crashes = crashes.filter_map(|process| self.crash(now, process));
        let parts = news.parts.iter();
        Facts {
            crashes: crashes.collect(),
            survivors: news
                .survivors
                .iter()
                .filter_map(|process| self.survivor(now, process))
                .collect(),
            clearances: parts
                .clone()
                .filter_map(|part| self.clearance(now, *part))
                .collect(),
            verdicts: parts.filter_map(|part| self.verdict(now, *part)).collect(),
        }
    }

    /// The number of crashes, survivors and parts of which there is something new to tell.
    #[must_use]
    pub fn news_count(&self) -> usize {
        self.news.crashes.len() + self.news.survivors.len() + self.news.parts.len()
    }

    /// Everything that is known, for an instance that may know nothing.
    #[must_use]
    pub fn facts(&self, now: clock::Instant) -> Facts {
        let crashes = self.crashes.keys();
        let cleared = self.cleared.keys();
        Facts {
            crashes: crashes
                .filter_map(|process| self.crash(now, process))
                .collect(),
            survivors: self
                .survivors
                .keys()
                .filter_map(|process| self.survivor(now, process))
                .collect(),
            clearances: cleared
                .filter_map(|part| self.clearance(now, *part))
                .collect(),
            verdicts: self.verdicts(now),
        }
    }

    /// The quarantined parts.
    #[must_use]
    pub fn verdicts(&self, now: clock::Instant) -> Vec<Verdict> {
        let parts = self.quarantined.keys();
        parts.filter_map(|part| self.verdict(now, *part)).collect()
    }

    /// Makes everything that is known be told again, to a steward that may know nothing.
    pub fn tell_again(&mut self) {
        self.news = News {
            crashes: self.crashes.keys().cloned().collect(),
            survivors: self.survivors.keys().cloned().collect(),
            parts: self
                .cleared
                .keys()
                .chain(self.quarantined.keys())
                .copied()
                .collect(),
        };
    }

    /// The one of these parts that is quarantined, and the time until its next trial; of several, the one whose trial comes
    /// last, and of those the one with most trials: a request has no more of them than a part.
    #[must_use]
    pub fn find_quarantined(
        &self,
        now: clock::Instant,
        parts: &[Part],
    ) -> Option<(Part, Duration)> {
        if self.quarantined.is_empty() {
            return None;
        }
        let quarantined = parts
            .iter()
            .filter_map(|part| Some((*part, self.quarantined.get(part)?.trials)));
        let waits = quarantined.map(|(part, trials)| (part, trials, self.trial_wait(now, part)));
        let last = waits.max_by_key(|(part, trials, wait)| (*wait, *trials, *part));
        last.map(|(part, _, wait)| (part, wait))
    }

    /// The number of quarantined parts.
    #[must_use]
    pub fn quarantined_count(&self) -> usize {
        self.quarantined.len()
    }

    /// Whether requests with the same shared parts have been answered to the end before, and nothing of this one's own is
    /// suspected of another crash, so that it is unlikely to crash a server.
    #[must_use]
    pub fn are_proven(&self, process: &Process, suspects: &Suspects) -> bool {
        let mut shared = suspects.shared().iter();
        let is_known = |part| self.answers.count(part) > 0 && !self.quarantined.contains_key(&part);
        shared.all(|part| is_known(*part))
            && !suspects
                .own()
                .any(|part| self.is_accused_elsewhere(part, process))
    }

    fn is_accused_elsewhere(&self, part: Part, process: &Process) -> bool {
        let mut others = self.crashes.iter().filter(|(other, _)| *other != process);
        others.any(|(_, known)| {
            known.suspects.contains_key(&part) && !self.is_cleared(part, known.at)
        })
    }

    /// The time until a trial of a quarantined part is due; zero if it is due or the part isn't quarantined.
    #[must_use]
    pub fn trial_wait(&self, now: clock::Instant, part: Part) -> Duration {
        let Some(quarantine) = self.quarantined.get(&part) else {
            return Duration::ZERO;
        };
        if quarantine.trials >= MAX_TRIALS {
            return NO_TRIAL_RETRY_DELAY;
        }
        let delay = FIRST_TRIAL_DELAY * TRIAL_DELAY_FACTOR.pow(quarantine.trials);
        let last = quarantine.trial_at.unwrap_or(quarantine.since);
        last.after(delay).since(now)
    }

    /// Grants a trial of a part if one is due: one request with it may be sent to a server. For the steward.
    pub fn try_trial(&mut self, now: clock::Instant, part: Part) -> bool {
        if !self.trial_wait(now, part).is_zero() {
            return false;
        }
        if let Some(quarantine) = self.quarantined.get_mut(&part) {
            quarantine.trials += 1;
            quarantine.trial_at = Some(now);
            self.news.parts.insert(part);
        }
        true
    }

    /// Whether a model or an adapter may be loaded: its load is not quarantined, or on trial. For the steward.
    pub fn may_load(&mut self, now: clock::Instant, part: Part) -> bool {
        let Some(quarantine) = self.quarantined.get(&part) else {
            return true;
        };
        let has_crashed_since = |at: clock::Instant| {
            let mut crashes = self.crashes.values();
            crashes.any(|known| known.at > at && known.suspects.contains_key(&part))
        };
        let is_on_trial = quarantine
            .trial_at
            .is_some_and(|at| now.since(at) < LOAD_TRIAL_TIME && !has_crashed_since(at));
        is_on_trial || self.try_trial(now, part)
    }

    /// The processes that are thought to have crashed.
    pub fn crashed_processes(&self) -> impl Iterator<Item = &Process> {
        self.crashes.keys()
    }

    /// Forgets what is too old to matter. Quarantined parts stay.
    pub fn prune(&mut self, now: clock::Instant) {
        self.breaks
            .retain(|_, breaks| now.since(breaks.at) < BREAK_TTL);
        self.crashes
            .retain(|_, known| now.since(known.at) < FACT_TTL);
        self.survivors.retain(|_, at| now.since(*at) < FACT_TTL);
        self.cleared.retain(|_, at| now.since(*at) < FACT_TTL);
        self.answers.prune(now);
    }

    /// Whether a whole answer of a part would change anything.
    fn is_accused(&self, part: Part) -> bool {
        let mut crashes = self.crashes.values();
        self.quarantined.contains_key(&part)
            || crashes
                .any(|known| known.suspects.contains_key(&part) && !self.is_cleared(part, known.at))
    }

    /// Whether a part was answered to the end after a crash, or so shortly before that it can't be its cause.
    fn is_cleared(&self, part: Part, crash: clock::Instant) -> bool {
        self.is_answered_since(part, crash, TIME_TOLERANCE)
    }

    fn is_answered_since(&self, part: Part, crash: clock::Instant, tolerance: Duration) -> bool {
        let cleared = self.cleared.get(&part);
        cleared.is_some_and(|at| at.after(tolerance) >= crash)
    }

    /// Records that a part was answered to the end. Returns whether that changes anything for others.
    fn clear(&mut self, part: Part, at: clock::Instant) -> bool {
        let known = self.cleared.get(&part).copied();
        if known.is_some_and(|known| at <= known) {
            return false;
        }
        if known.is_none() && self.cleared.len() >= MAX_CLEARANCES {
            let oldest = self.cleared.iter().min_by_key(|(part, at)| (**at, **part));
            if let Some(oldest) = oldest.map(|(part, _)| *part) {
                self.cleared.remove(&oldest);
            }
        }
        self.cleared.insert(part, at);
        self.news.parts.insert(part);
        if let Some(quarantine) = self.quarantined.get(&part)
            && self.is_answered_since(part, quarantine.since, quarantine.tolerance)
        {
            self.quarantined.remove(&part);
            self.needs_review = true;
            log::info!(part = part.to_string().as_str(); "part of prompts is no longer quarantined");
        }
        true
    }

    /// Whether a process has answered after it was thought to have crashed, or so shortly before that it hasn't.
    fn is_refuted(&self, process: &Process, crash: clock::Instant) -> bool {
        let survivor = self.survivors.get(process);
        survivor.is_some_and(|at| at.after(TIME_TOLERANCE) >= crash)
    }

    /// Records that a process lives, and takes back that it has crashed.
    fn refute(&mut self, process: &Process, at: clock::Instant) {
        if self
            .survivors
            .get(process)
            .is_some_and(|known| at <= *known)
        {
            return;
        }
        self.survivors.insert(process.clone(), at);
        self.news.survivors.insert(process.clone());
        let crash = self.crashes.get(process);
        if crash.is_some_and(|known| self.is_refuted(process, known.at)) {
            self.breaks.remove(process);
            self.take_back_crash(process);
            log::info!(server = process.server.as_str(); "backend server has not crashed");
        }
        while self.survivors.len() > MAX_CRASHES {
            let oldest = self.survivors.iter().min_by_key(|(_, at)| **at);
            let Some(oldest) = oldest.map(|(process, _)| process.clone()) else {
                break;
            };
            self.survivors.remove(&oldest);
        }
    }

    /// Forgets a crash that was none, and ends the quarantines that it takes too much evidence from.
    fn take_back_crash(&mut self, process: &Process) {
        let suspected = |registry: &Self| {
            let is_suspect = |part: &Part| {
                let known = registry.crashes.get(process);
                known.is_some_and(|known| known.suspects.contains_key(part))
            };
            let parts = registry.quarantined.keys().copied();
            parts.filter(is_suspect).collect::<BTreeSet<Part>>()
        };
        let sufficient = |registry: &Self, parts: &BTreeSet<Part>| {
            let charges = registry.charges(|part| parts.contains(part));
            let sufficient = charges.into_iter().filter(|(_, one)| one.is_sufficient());
            sufficient.map(|(part, _)| part).collect::<BTreeSet<Part>>()
        };
        let before = sufficient(self, &suspected(self));
        self.crashes.remove(process);
        let after = sufficient(self, &before);
        for part in before.difference(&after) {
            if let Some(since) = self.quarantined.get(part).map(|one| one.since) {
                // Others that were told of the quarantine take it for cleared as well.
                self.clear(*part, since);
            }
        }
    }

    /// Adds the suspects of broken runs to those of their process's crash.
    fn add_suspects(&mut self, process: &Process) {
        let (Some(known), Some(breaks)) =
            (self.crashes.get_mut(process), self.breaks.remove(process))
        else {
            return;
        };
        for part in breaks.parts {
            let last = self.answers.last(part);
            if last.is_some_and(|last| last.after(TIME_TOLERANCE) >= known.at) {
                continue;
            }
            let answers = self.answers.count(part);
            if known.suspects.insert(part, answers).is_none() {
                self.news.crashes.insert(process.clone());
                self.needs_review = true;
            }
        }
        self.limit_suspects(process);
    }

    /// Merges a crash, and returns whether it tells anything new.
    fn merge_crash(&mut self, crash: &Crash, at: clock::Instant, passes_on: bool) -> bool {
        if self.is_refuted(&crash.process, at) {
            return false;
        }
        let mut is_new = !self.crashes.contains_key(&crash.process);
        let known = self
            .crashes
            .entry(crash.process.clone())
            .or_insert_with(|| Known {
                at,
                witnesses: BTreeSet::new(),
                suspects: BTreeMap::new(),
                is_confirmed: false,
            });
        known.at = known.at.min(at);
        for witness in &crash.witnesses {
            is_new |= known.witnesses.len() < MIN_WITNESSES && known.witnesses.insert(*witness);
        }
        let is_confirmed = crash.is_confirmed || known.witnesses.len() >= MIN_WITNESSES;
        is_new |= is_confirmed && !known.is_confirmed;
        known.is_confirmed |= is_confirmed;
        let at = known.at;
        for (part, answers) in &crash.suspects {
            let count = known.suspects.entry(*part).or_insert_with(|| {
                is_new = true;
                0
            });
            *count = (*count).max(*answers);
        }
        self.needs_review |= is_new;
        self.limit_suspects(&crash.process);
        if is_new && passes_on {
            self.news.crashes.insert(crash.process.clone());
        }
        // What this instance has answered since clears parts, also if that came before the news of the crash. What it has
        // answered earlier counts if nobody else knows that it was answered.
        let answered: Vec<(Part, clock::Instant)> = crash
            .suspects
            .iter()
            .filter_map(|(part, answers)| Some((*part, *answers, self.answers.last(*part)?)))
            .filter(|(part, answers, last)| {
                let is_unknown = *answers == 0 && !self.cleared.contains_key(part);
                last.after(TIME_TOLERANCE) >= at || is_unknown
            })
            .map(|(part, _, last)| (part, last))
            .collect();
        for (part, last) in answered {
            self.clear(part, last);
        }
        self.add_suspects(&crash.process);
        is_new
    }

    fn merge_verdict<F>(&mut self, verdict: &Verdict, ago: F)
    where
        F: Fn(u32) -> clock::Instant,
    {
        let since = ago(verdict.age_ms);
        if self.is_answered_since(verdict.part, since, STORED_TIME_TOLERANCE) {
            return;
        }
        let trial_at = verdict.trial_age_ms.map(ago);
        let told = Quarantine {
            since,
            trials: verdict.trials,
            trial_at,
            tolerance: STORED_TIME_TOLERANCE,
        };
        let is_new = !self.quarantined.contains_key(&verdict.part);
        let known = self.quarantined.entry(verdict.part).or_insert(told);
        if is_new || known.trials < told.trials {
            known.trials = told.trials;
            known.trial_at = known.trial_at.max(trial_at);
            self.news.parts.insert(verdict.part);
        }
        if is_new {
            log_quarantine(verdict.part, "told");
        }
        self.limit_verdicts();
    }

    /// Quarantines the parts that explain the crashes best.
    fn review(&mut self) {
        if !std::mem::take(&mut self.needs_review) {
            return;
        }
        while let Some(parts) = self.find_causes() {
            for (part, since) in parts {
                let quarantine = Quarantine {
                    since,
                    trials: 0,
                    trial_at: None,
                    tolerance: TIME_TOLERANCE,
                };
                self.quarantined.insert(part, quarantine);
                self.news.parts.insert(part);
                log_quarantine(part, "crashes");
            }
            self.limit_verdicts();
        }
    }

    /// The parts that explain enough crashes, at least one of which no quarantined part explains, with the time of the last.
    /// Of several, those come first that have been answered least often before, and then those that stand for the fewest
    /// requests.
    fn find_causes(&self) -> Option<Vec<(Part, clock::Instant)>> {
        let mut charges = self.charges(|part| !self.quarantined.contains_key(part));
        charges.retain(|_, charge| charge.unexplained > 0 && charge.is_sufficient());
        let rank = |part: &Part, charge: &Charge| match part.kind() {
            Kind::Load => (charge.answers, Kind::Single),
            kind => (charge.answers, kind),
        };
        let least = charges
            .iter()
            .map(|(part, charge)| rank(part, charge))
            .min()?;
        charges.retain(|part, charge| rank(part, charge) == least);
        let causes = charges.into_iter();
        Some(causes.map(|(part, charge)| (part, charge.last)).collect())
    }

    /// What speaks against the parts that are to be charged.
    fn charges<F>(&self, is_charged: F) -> BTreeMap<Part, Charge>
    where
        F: Fn(&Part) -> bool,
    {
        let mut crashes: Vec<&Known> = self.crashes.values().collect();
        crashes.sort_by_key(|known| known.at);
        let is_explained: Vec<bool> = crashes
            .iter()
            .map(|known| {
                let mut suspects = known.suspects.keys();
                suspects.any(|part| self.quarantined.contains_key(part))
            })
            .collect();
        let mut charges: BTreeMap<Part, Charge> = BTreeMap::new();
        let confirmed = crashes.iter().enumerate();
        for (index, known) in confirmed.filter(|(_, known)| known.is_confirmed) {
            let first = crashes.partition_point(|other| other.at.after(TIME_TOLERANCE) < known.at);
            let end = crashes.partition_point(|other| other.at <= known.at.after(TIME_TOLERANCE));
            for (part, answers) in &known.suspects {
                if !is_charged(part) || self.is_cleared(*part, known.at) {
                    continue;
                }
                let neighbours = crashes[first..end].iter().zip(&is_explained[first..end]);
                let is_wave = is_wave(*part, neighbours);
                let charge = charges.entry(*part).or_default();
                charge.add(known.at, is_wave, is_explained[index]);
                let was_answered = u32::from(self.cleared.contains_key(part));
                charge.answers = charge.answers.max(*answers).max(was_answered);
            }
        }
        charges
    }

    fn crash(&self, now: clock::Instant, process: &Process) -> Option<Crash> {
        let known = self.crashes.get(process)?;
        Some(Crash {
            process: process.clone(),
            age_ms: frame::millis(now.since(known.at)),
            witnesses: known.witnesses.iter().copied().collect(),
            is_confirmed: known.is_confirmed,
            suspects: known
                .suspects
                .iter()
                .map(|(part, answers)| (*part, *answers))
                .collect(),
        })
    }

    fn survivor(&self, now: clock::Instant, process: &Process) -> Option<Survivor> {
        let at = self.survivors.get(process)?;
        Some(Survivor {
            process: process.clone(),
            age_ms: frame::millis(now.since(*at)),
        })
    }

    fn clearance(&self, now: clock::Instant, part: Part) -> Option<Clearance> {
        let at = self.cleared.get(&part)?;
        Some(Clearance {
            part,
            age_ms: frame::millis(now.since(*at)),
        })
    }

    fn verdict(&self, now: clock::Instant, part: Part) -> Option<Verdict> {
        let quarantine = self.quarantined.get(&part)?;
        Some(Verdict {
            part,
            age_ms: frame::millis(now.since(quarantine.since)),
            trials: quarantine.trials,
            trial_age_ms: quarantine.trial_at.map(|at| frame::millis(now.since(at))),
        })
    }

    /// Limits the suspects of a crash. Those of other crashes are kept first, then single ones, then those that have been
    /// answered least often before.
    fn limit_suspects(&mut self, process: &Process) {
        let excess = self
            .crashes
            .get(process)
            .map_or(0, |known| known.suspects.len().saturating_sub(MAX_SUSPECTS));
        if excess == 0 {
            return;
        }
        let others = self.crashes.iter().filter(|(other, _)| *other != process);
        let recurring: BTreeSet<Part> = others
            .flat_map(|(_, known)| known.suspects.keys().copied())
            .collect();
        let Some(known) = self.crashes.get_mut(process) else {
            return;
        };
        let mut ranked: Vec<_> = known
            .suspects
            .iter()
            .map(|(part, answers)| {
                let is_pair = part.kind() == Kind::Pair;
                (!recurring.contains(part), is_pair, *answers, *part)
            })
            .collect();
        ranked.sort_unstable();
        for (.., part) in ranked.iter().rev().take(excess) {
            known.suspects.remove(part);
        }
    }

    /// Limits the crashes. Those that only cleared parts could have caused are forgotten first, then the oldest.
    fn limit_crashes(&mut self) {
        let all_suspects = |crashes: &BTreeMap<Process, Known>| -> usize {
            crashes.values().map(|known| known.suspects.len()).sum()
        };
        while self.crashes.len() > MAX_CRASHES || all_suspects(&self.crashes) > MAX_ALL_SUSPECTS {
            let has_cause = |known: &Known| {
                let mut suspects = known.suspects.keys();
                suspects.any(|part| !self.is_cleared(*part, known.at))
            };
            let crashes = self.crashes.iter();
            let least = crashes.min_by_key(|(_, known)| (has_cause(known), known.at));
            let Some(least) = least.map(|(process, _)| process.clone()) else {
                break;
            };
            self.crashes.remove(&least);
        }
    }

    fn limit_verdicts(&mut self) {
        while self.quarantined.len() > MAX_VERDICTS {
            let oldest = self.quarantined.iter().min_by_key(|(_, one)| one.since);
            let Some(oldest) = oldest.map(|(part, _)| *part) else {
                break;
            };
            self.quarantined.remove(&oldest);
            self.needs_review = true;
        }
    }
}

/// Whether servers that crash together, not all of them on a part, seem to have a cause in common that isn't this part. The
/// crashes are given with whether a quarantined part explains them.
fn is_wave<'a, C>(part: Part, crashes: C) -> bool
where
    C: Iterator<Item = (&'a &'a Known, &'a bool)>,
{
    let (mut with, mut without) = (0, 0);
    for (known, is_explained) in crashes {
        if known.suspects.contains_key(&part) {
            with += 1;
        } else if !is_explained {
            without += 1;
        }
    }
    match part.kind() {
        // The steward knows at once which crashed engines were loading.
        Kind::Load => without > 0,
        // That a request with the part ran there may become known later than the crash.
        Kind::Request | Kind::Single | Kind::Pair => without >= with,
    }
}

fn log_quarantine(part: Part, by: &str) {
    log::info!(part = part.to_string().as_str(), by = by; "part of prompts is quarantined");
}
