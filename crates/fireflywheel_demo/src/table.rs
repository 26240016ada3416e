//! Formats the table of results.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::Duration;

use fireflywheel_standin::load::Outcome;
use smol_str::{SmolStr, format_smolstr};

use crate::{configuration, promise, replicas, scenario, traffic};

/// Formats the whole table, with a line for each promise at the end.
#[must_use]
pub fn format(evidence: &scenario::Evidence, promises: &[promise::Promise]) -> String {
    let mut out = String::new();
    // Writing to a string can't fail.
    let _ = write_table(&mut out, evidence, promises);
    out
}

fn write_table(
    out: &mut String,
    evidence: &scenario::Evidence,
    promises: &[promise::Promise],
) -> std::fmt::Result {
    write_requests(out, evidence)?;
    write_models(out, evidence)?;
    write_engines(out, evidence)?;
    write_first_token_times(out, evidence)?;
    write_other_results(out, evidence)?;
    for promise in promises {
        let word = if promise.is_held() {
            "held  "
        } else {
            "BROKEN"
        };
        writeln!(out, "{word}  {}", promise.text)?;
        for example in &promise.counterexamples {
            writeln!(out, "          {example}")?;
        }
    }
    Ok(())
}

fn write_requests(out: &mut String, evidence: &scenario::Evidence) -> std::fmt::Result {
    writeln!(out, "{:<26} {:>8}  outcomes by verdict", "requests", "sent")?;
    for round in &evidence.rounds {
        let outcomes: Vec<String> = count_outcomes(&round.samples)
            .into_iter()
            .map(|(name, count)| format!("{name} {count}"))
            .collect();
        let sent = round.samples.len();
        writeln!(
            out,
            "  {:<24} {sent:>8}  {}",
            round.name,
            outcomes.join(", ")
        )?;
    }
    writeln!(out)
}

fn count_outcomes(samples: &[traffic::Sample]) -> BTreeMap<SmolStr, usize> {
    let mut outcomes = BTreeMap::new();
    for sample in samples {
        *outcomes.entry(outcome_name(&sample.outcome)).or_default() += 1;
    }
    outcomes
}

fn outcome_name(outcome: &Outcome) -> SmolStr {
    match outcome {
        Outcome::Served => "ran (served)".into(),
        Outcome::Late => "late".into(),
        Outcome::Wrong(what) => format_smolstr!("wrong ({what})"),
        Outcome::Refused { verdict, code } => format_smolstr!("{verdict} ({code})"),
        Outcome::Broken(cause) => format_smolstr!("broken ({cause})"),
        Outcome::Unanswered(cause) => format_smolstr!("unanswered ({cause})"),
    }
}

fn write_models(out: &mut String, evidence: &scenario::Evidence) -> std::fmt::Result {
    let engines = &evidence.counts.engines;
    let change = &evidence.change;
    writeln!(
        out,
        "{:<26} {:>8} {:>12} {:>12} {:>8}",
        "models", "MB", "peak / cap", "after change", "loads"
    )?;
    for model in &configuration::MODELS {
        let before = replicas::peak_before(engines, model.name, change.sent_us);
        let after = replicas::peak_since(engines, model.name, change.enforced_us);
        let before = format!("{before} / {}", model.cap);
        let after = format!("{after} / {}", model.changed_cap);
        let loads = replicas::count_loads(engines, model.name);
        writeln!(
            out,
            "  {:<24} {:>8} {before:>12} {after:>12} {loads:>8}",
            model.name, model.memory_mb
        )?;
    }
    writeln!(out)
}

fn write_engines(out: &mut String, evidence: &scenario::Evidence) -> std::fmt::Result {
    writeln!(out, "{:<26} {:>8} {:>12}", "engines", "peak MB", "limit MB")?;
    for (number, engine) in evidence.counts.engines.iter().enumerate() {
        let limit = configuration::ENGINE_MEMORY_MB;
        writeln!(
            out,
            "  {:<24} {:>8} {limit:>12}",
            format!("engine-{number}"),
            engine.peak_memory_mb
        )?;
    }
    writeln!(out)
}

fn write_first_token_times(out: &mut String, evidence: &scenario::Evidence) -> std::fmt::Result {
    writeln!(
        out,
        "{:<26} {:>8} {:>12} {:>12} {:>8}",
        "time to first token, ms", "streams", "50 in 100", "95 in 100", "99"
    )?;
    for name in [scenario::COLD_ROUND, scenario::WARM_ROUND] {
        let rounds = evidence.rounds.iter().filter(|round| round.name == name);
        let mut times: Vec<Duration> = rounds
            .flat_map(|round| &round.samples)
            .filter(|sample| sample.stream && sample.outcome == Outcome::Served)
            .map(|sample| sample.first)
            .collect();
        times.sort_unstable();
        let [p50, p95, p99] = [50, 95, 99].map(|percent| format_ms(percentile(&times, percent)));
        let count = times.len();
        writeln!(out, "  {name:<24} {count:>8} {p50:>12} {p95:>12} {p99:>8}")?;
    }
    writeln!(out)
}

/// Returns a percentile by the nearest-rank method, or zero if there are no times.
fn percentile(sorted: &[Duration], percent: usize) -> Duration {
    let rank = (sorted.len() * percent).div_ceil(100);
    let found = rank.checked_sub(1).and_then(|index| sorted.get(index));
    found.copied().unwrap_or_default()
}

fn format_ms(duration: Duration) -> String {
    format!("{:.0}", duration.as_secs_f64() * 1000.0)
}

fn write_other_results(out: &mut String, evidence: &scenario::Evidence) -> std::fmt::Result {
    let change = &evidence.change;
    let stop = &evidence.stop;
    let store = evidence.counts.store;
    let lines = [
        (
            "booking sent / ran",
            format!(
                "{} / {}",
                evidence.bookings.len(),
                promise::booking_runs(evidence)
            ),
        ),
        (
            "change accepted after",
            format!("{} ms", format_ms(change.accepted_after)),
        ),
        (
            "change in force after",
            format!(
                "{} ms at all three instances",
                format_ms(change.in_force_after)
            ),
        ),
        (
            "replicas to be unloaded by it",
            (change.replicas_before.saturating_sub(1)).to_string(),
        ),
        (
            "change obeyed after",
            format!("{} ms by the engines", format_ms(change.enforced_after)),
        ),
        (
            "weight store",
            format!(
                "{} fetches, at most {} at once",
                store.fetches, store.max_at_once
            ),
        ),
        (
            "log",
            format!(
                "{} appends, {} bytes",
                evidence.counts.log.appends, evidence.counts.log.bytes
            ),
        ),
        (
            "planned stop",
            format!(
                "{}, steward until then; over after {} ms",
                stop.instance,
                format_ms(stop.duration)
            ),
        ),
        ("steward afterwards", stop.steward_after.to_string()),
        (
            "streams open / cut",
            format!(
                "{} / {}, {} of them at {}",
                count_open_streams(evidence),
                promise::cut_streams(evidence).count(),
                stop.open_streams,
                stop.instance
            ),
        ),
    ];
    for (name, value) in lines {
        writeln!(out, "{name:<26} {value}")?;
    }
    writeln!(out)
}

fn count_open_streams(evidence: &scenario::Evidence) -> usize {
    let rounds = evidence
        .rounds
        .iter()
        .filter(|round| round.name == scenario::OPEN_STREAMS_ROUND);
    rounds.map(|round| round.samples.len()).sum()
}
