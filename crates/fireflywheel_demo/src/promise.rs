//! Checks each promise counterexamples the evidence.

use std::collections::BTreeSet;

use fireflywheel_standin::load::Outcome;
use smol_str::{SmolStr, format_smolstr};

use crate::{booking, configuration, replicas, scenario, traffic};

/// Promise on the number of replicas.
pub const REPLICA_CAPS: &str = "no more replicas than the configuration allows";
/// Promise on the memory of engines.
pub const ENGINE_MEMORY: &str = "no engine's memory is overcommitted";
/// Promise on the time of answers.
pub const TIMELY_ANSWERS: &str = "every request is served or refused in time";
/// Promise on the content of answers.
pub const CORRECT_ANSWERS: &str = "every answer is whole and its caller's own";
/// Promise on refusals.
pub const TRUE_REFUSALS: &str = "a refusal that says not run is true";
/// Promise on the booking.
pub const SINGLE_BOOKING: &str = "the booking ran once, and every copy got its outcome";
/// Promise on the configuration change.
pub const DURABLE_CHANGE: &str = "the accepted change is in force everywhere and stays";
/// Promise on the planned stop.
pub const CLEAN_STOP: &str = "the planned stop cut no stream, and the engines have a new steward";

/// A promise and its counterexamples.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Promise {
    /// Text of the promise.
    pub text: &'static str,
    /// Counterexamples; empty if the promise held.
    pub counterexamples: Vec<SmolStr>,
}

impl Promise {
    fn new(text: &'static str, counterexamples: Vec<SmolStr>) -> Self {
        Self {
            text,
            counterexamples,
        }
    }

    /// Whether the promise held.
    #[must_use]
    pub fn is_held(&self) -> bool {
        self.counterexamples.is_empty()
    }
}

/// Checks all promises.
#[must_use]
pub fn check_all(evidence: &scenario::Evidence) -> Vec<Promise> {
    vec![
        Promise::new(REPLICA_CAPS, check_replicas(evidence)),
        Promise::new(ENGINE_MEMORY, check_memory(evidence)),
        Promise::new(TIMELY_ANSWERS, check_answer_times(evidence)),
        Promise::new(CORRECT_ANSWERS, check_answers(evidence)),
        Promise::new(TRUE_REFUSALS, check_refusals(evidence)),
        Promise::new(SINGLE_BOOKING, check_bookings(evidence)),
        Promise::new(DURABLE_CHANGE, check_versions(evidence)),
        Promise::new(CLEAN_STOP, check_stop(evidence)),
    ]
}

fn samples(evidence: &scenario::Evidence) -> impl Iterator<Item = &traffic::Sample> {
    evidence.rounds.iter().flat_map(|round| &round.samples)
}

fn check_replicas(evidence: &scenario::Evidence) -> Vec<SmolStr> {
    let engines = &evidence.counts.engines;
    let change = &evidence.change;
    let mut counterexamples = Vec::new();
    for model in &configuration::MODELS {
        let higher_cap = model.cap.max(model.changed_cap) as usize;
        let periods = [
            (
                "before the change",
                replicas::peak_before(engines, model.name, change.sent_us),
                model.cap as usize,
            ),
            (
                "at any time",
                replicas::peak_since(engines, model.name, 0),
                higher_cap,
            ),
            (
                "after the change",
                replicas::peak_since(engines, model.name, change.enforced_us),
                model.changed_cap as usize,
            ),
        ];
        for (when, peak, cap) in periods {
            if peak > cap {
                counterexamples.push(format_smolstr!(
                    "{peak} replicas of {} {when}, cap {cap}",
                    model.name
                ));
            }
        }
    }
    counterexamples
}

fn check_memory(evidence: &scenario::Evidence) -> Vec<SmolStr> {
    let limit = configuration::ENGINE_MEMORY_MB;
    let engines = evidence.counts.engines.iter().enumerate();
    let over = engines.filter(|(_, engine)| engine.peak_memory_mb > limit);
    over.map(|(number, engine)| {
        format_smolstr!(
            "engine {number}: {} MB of {limit} MB",
            engine.peak_memory_mb
        )
    })
    .collect()
}

fn check_answer_times(evidence: &scenario::Evidence) -> Vec<SmolStr> {
    // If all requests were refused, no promise would be broken, but the demo would show nothing.
    let mut cold = evidence
        .rounds
        .iter()
        .filter(|round| round.name == scenario::COLD_ROUND);
    let served = |sample: &traffic::Sample| sample.outcome == Outcome::Served;
    if !cold.any(|round| round.samples.iter().any(served)) {
        return vec!["nothing was served of the burst on cold models".into()];
    }
    let counterexamples = samples(evidence).filter_map(|sample| match &sample.outcome {
        Outcome::Late => Some(format_smolstr!(
            "{}: late, after {:?}",
            sample.id,
            sample.whole
        )),
        Outcome::Unanswered(cause) => Some(format_smolstr!("{}: no answer: {cause}", sample.id)),
        Outcome::Refused { verdict, code } if verdict == "none" => Some(format_smolstr!(
            "{}: refused without a verdict: {code}",
            sample.id
        )),
        Outcome::Served | Outcome::Wrong(_) | Outcome::Refused { .. } | Outcome::Broken(_) => None,
    });
    counterexamples.collect()
}

fn check_answers(evidence: &scenario::Evidence) -> Vec<SmolStr> {
    let counterexamples = samples(evidence).filter_map(|sample| match &sample.outcome {
        Outcome::Wrong(what) => Some(format_smolstr!("{}: {what}", sample.id)),
        Outcome::Broken(cause) => Some(format_smolstr!("{}: broke off: {cause}", sample.id)),
        Outcome::Served | Outcome::Late | Outcome::Refused { .. } | Outcome::Unanswered(_) => None,
    });
    counterexamples.collect()
}

/// An engine counts each request id that it ran, which shows refusals that claim wrongly that a request has not run.
fn check_refusals(evidence: &scenario::Evidence) -> Vec<SmolStr> {
    let engines = evidence.counts.engines.iter();
    let ran: BTreeSet<&SmolStr> = engines.flat_map(|engine| engine.runs.keys()).collect();
    let refused = samples(evidence).filter(|sample| {
        matches!(&sample.outcome, Outcome::Refused { verdict, .. } if verdict == "not-run")
    });
    let false_refusals = refused.filter(|sample| ran.contains(&sample.id));
    false_refusals
        .map(|sample| format_smolstr!("{} ran", sample.id))
        .collect()
}

/// Returns the number of runs of the booking at all services.
#[must_use]
pub fn booking_runs(evidence: &scenario::Evidence) -> u64 {
    let services = evidence.counts.services.iter();
    services
        .filter_map(|service| service.bodies.get(booking::BODY))
        .sum()
}

fn check_bookings(evidence: &scenario::Evidence) -> Vec<SmolStr> {
    let mut counterexamples = Vec::new();
    let runs = booking_runs(evidence);
    if runs != 1 {
        counterexamples.push(format_smolstr!("it ran {runs} times"));
    }
    let first = evidence.bookings.first();
    if first.is_none() {
        counterexamples.push("it was not sent".into());
    }
    for (number, reply) in evidence.bookings.iter().enumerate() {
        match reply {
            booking::Reply::Other(what) => {
                counterexamples.push(format_smolstr!("copy {}: {what}", number + 1));
            }
            booking::Reply::Ran(outcome) if outcome.body != booking::BODY => {
                counterexamples.push(format_smolstr!("copy {}: another's outcome", number + 1));
            }
            booking::Reply::Ran(_) if Some(reply) != first => {
                counterexamples.push(format_smolstr!(
                    "copy {}: another outcome than the first",
                    number + 1
                ));
            }
            booking::Reply::Ran(_) => {}
        }
    }
    counterexamples
}

fn check_versions(evidence: &scenario::Evidence) -> Vec<SmolStr> {
    let version = evidence.change.version;
    if evidence.change.versions_at_end.is_empty() {
        return vec!["no version was read at the end".into()];
    }
    let versions = evidence.change.versions_at_end.iter();
    let other = versions.filter(|at_end| **at_end != version);
    other
        .map(|at_end| {
            format_smolstr!("version {at_end} in force at the end, {version} was accepted")
        })
        .collect()
}

fn check_stop(evidence: &scenario::Evidence) -> Vec<SmolStr> {
    let stop = &evidence.stop;
    let mut counterexamples: Vec<SmolStr> = cut_streams(evidence)
        .map(|sample| format_smolstr!("{}: {:?}", sample.id, sample.outcome))
        .collect();
    if stop.open_streams == 0 {
        counterexamples.push("no stream was open there, so nothing was shown".into());
    }
    if stop.steward_after == stop.instance {
        counterexamples.push(format_smolstr!("{} is the steward still", stop.instance));
    }
    counterexamples
}

/// Returns the streams that were open when the stop began and got no complete answer.
pub fn cut_streams(evidence: &scenario::Evidence) -> impl Iterator<Item = &traffic::Sample> {
    let rounds = evidence
        .rounds
        .iter()
        .filter(|round| round.name == scenario::OPEN_STREAMS_ROUND);
    let open = rounds.flat_map(|round| &round.samples);
    open.filter(|sample| sample.outcome != Outcome::Served)
}
