//! A lower bound on idle hours: that of a policy that knows every request in advance.

use std::collections::BTreeMap;

use crate::trace::{Deployment, Trace};

/// An idle time of a model between two of its requests.
#[derive(Clone, Copy, Debug)]
struct Gap {
    /// The memory of the model times the idle time, in MB ms.
    mb_ms: u64,
}

/// Returns a lower bound on the idle GB hours of any policy that needs at most `loads` loads of models. It assumes
/// that the store runs at full speed and that memory is unlimited.
///
/// A model that stays loaded during an idle time saves one load. Keeping models loaded during the cheapest idle times
/// first, until at most `loads` loads remain, costs no more than any other selection.
pub fn min_idle_gb_hours(deployment: &Deployment, trace: &Trace, loads: u64) -> f64 {
    const MB_MS_PER_GB_HOUR: f64 = 1024.0 * 3_600_000.0;
    let (models, mut gaps) = gaps(deployment, trace);
    gaps.sort_unstable_by_key(|gap| gap.mb_ms);
    let cold_starts = models + gaps.len() as u64;
    let bridged = cold_starts.saturating_sub(loads) as usize;
    let idle: u64 = gaps.iter().take(bridged).map(|gap| gap.mb_ms).sum();
    idle as f64 / MB_MS_PER_GB_HOUR
}

/// Returns the number of requested models, and the idle times between their requests.
fn gaps(deployment: &Deployment, trace: &Trace) -> (u64, Vec<Gap>) {
    let mut busy_until: BTreeMap<&str, u64> = BTreeMap::new();
    let mut gaps = Vec::new();
    for arrival in &trace.arrivals {
        let name = arrival.target.split(':').next().unwrap_or_default();
        let model = deployment.models.iter().find(|model| model.name == name);
        let model = model.expect("a trace contains only models of the deployment");
        let until = busy_until.get(model.name.as_str()).copied();
        if let Some(until) = until.filter(|until| *until < arrival.at_ms) {
            gaps.push(Gap {
                mb_ms: (arrival.at_ms - until) * model.memory_mb,
            });
        }
        let ends = arrival.at_ms + deployment.service_ms;
        busy_until.insert(&model.name, until.unwrap_or(0).max(ends));
    }
    (busy_until.len() as u64, gaps)
}
