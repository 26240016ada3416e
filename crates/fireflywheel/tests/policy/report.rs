//! The figures of a run, and the table that shows them.

use crate::fleet;

/// The figures of one run: a row of the table.
#[derive(Clone, Debug)]
pub struct Row {
    pub name: String,
    /// The number of requests in 1,000 that met a cold model.
    pub cold_per_thousand: f64,
    /// The 50th, 95th and 99th percentiles of the wait of those requests, in seconds.
    pub cold_wait_percentiles: [f64; 3],
    /// The 99th percentile of the wait for a load over all requests, in seconds.
    pub p99_wait: f64,
    /// The mean wait for a load over all requests, in seconds.
    pub mean_wait: f64,
    pub idle_gb_hours: f64,
    /// The lower bound on the idle GB hours of a policy that knows every request and makes as many loads.
    pub min_idle_gb_hours: f64,
    pub refused: usize,
    pub loads: u64,
    pub records: u64,
}

impl Row {
    pub fn new(name: impl Into<String>, outcome: &fleet::Outcome, min_idle_gb_hours: f64) -> Self {
        let calls = &outcome.calls;
        let cold = calls.iter().filter(|call| call.cold);
        let mut cold: Vec<u64> = cold.map(|call| call.wait_ms).collect();
        cold.sort_unstable();
        let waits = calls
            .iter()
            .map(|call| if call.cold { call.wait_ms } else { 0 });
        let mut all: Vec<u64> = waits.collect();
        all.sort_unstable();
        let count = calls.len().max(1) as f64;
        Self {
            name: name.into(),
            cold_per_thousand: cold.len() as f64 * 1000.0 / count,
            cold_wait_percentiles: [50, 95, 99].map(|percent| percentile(&cold, percent)),
            p99_wait: percentile(&all, 99),
            mean_wait: all.iter().sum::<u64>() as f64 / 1000.0 / count,
            idle_gb_hours: outcome.idle_gb_hours,
            min_idle_gb_hours,
            refused: calls.iter().filter(|call| call.refused).count(),
            loads: outcome.loads,
            records: outcome.records,
        }
    }

    fn format_row(&self) -> String {
        let [p50, p95, p99] = self.cold_wait_percentiles;
        format!(
            "| {} | {:.0} | {p50:.1} | {p95:.1} | {p99:.1} | {:.1} | {:.2} | {:.1} | {:.1} | {} | {} |\n",
            self.name,
            self.cold_per_thousand,
            self.p99_wait,
            self.mean_wait,
            self.idle_gb_hours,
            self.min_idle_gb_hours,
            self.refused,
            self.loads
        )
    }
}

/// Returns the table in the format of docs/POLICY.md.
pub fn table(title: &str, rows: &[Row]) -> String {
    let head = "| policy | cold in 1,000 | cold 50, s | cold 95, s | cold 99, s | all 99, s | mean, s | \
                idle GB h | least possible | refused | loads |\n|---|---|---|---|---|---|---|---|---|---|---|\n";
    let lines: String = rows.iter().map(Row::format_row).collect();
    format!("\n### {title}\n\n{head}{lines}")
}

/// Returns a percentile of sorted times in milliseconds, in seconds.
fn percentile(sorted: &[u64], percent: usize) -> f64 {
    if sorted.is_empty() {
        return 0.0;
    }
    let index = (sorted.len() * percent).div_ceil(100).max(1) - 1;
    sorted[index] as f64 / 1000.0
}
