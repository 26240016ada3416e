//! The observations of all instances, merged by the steward.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;

use super::Observed;
use super::estimate::{self, Estimate, Moment};
use crate::clock;
use crate::fleet::load::Load;

/// The largest weight of one report, so that a single instance doesn't decide on its own.
const MAX_REPORT_WEIGHT: f64 = 4.0;
/// The time after which a process without observations is forgotten.
const IDLE_TTL: Duration = Duration::from_secs(60);
/// The maximum number of servers that are known. Reports of more are ignored, as ids may be invented.
const MAX_SERVERS: usize = 4096;
/// The maximum number of servers whose slowness is told although they have no load worth telling.
const MAX_TOLD_WITHOUT_LOAD: usize = 64;

/// The slowness of servers.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    servers: BTreeMap<SmolStr, Entry>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    started_ms: u64,
    updated: clock::Instant,
    estimate: Estimate,
    moment: Moment,
}

impl Entry {
    fn slowness(&self, now: clock::Instant) -> f64 {
        let lasting = self.estimate.slowness(now);
        match self.moment.slowness(now) {
            Some(moment) if moment > 1.0 => lasting.max(moment),
            _ => lasting,
        }
    }
}

impl Registry {
    /// Adds what an instance has observed. What is observed of an earlier process than the known one doesn't count.
    pub fn add(&mut self, now: clock::Instant, observed: &[Observed]) {
        self.servers
            .retain(|_, entry| now.since(entry.updated) < IDLE_TTL);
        for one in observed.iter().take(super::MAX_REPORTED) {
            if self.servers.len() >= MAX_SERVERS && !self.servers.contains_key(&one.server) {
                continue;
            }
            let entry = self.servers.entry(one.server.clone()).or_default();
            if one.started_ms < entry.started_ms {
                continue;
            }
            if one.started_ms > entry.started_ms {
                *entry = Entry {
                    started_ms: one.started_ms,
                    ..Entry::default()
                };
            }
            entry.updated = now;
            let weight = f64::from(one.weight);
            if weight.is_finite() && weight > 0.0 {
                let log = f64::from(one.log_sum) / weight;
                entry.estimate.add(now, log, weight.min(MAX_REPORT_WEIGHT));
            }
            if let Some((percent, age_ms)) = one.moment {
                let age = Duration::from_millis(age_ms.into());
                entry.moment.record(now, f64::from(percent) / 100.0, age);
            }
        }
    }

    /// Adds the slowness of servers that deviate to loads in the order of their servers' ids, and keeps that order.
    #[must_use]
    pub fn tell(&self, now: clock::Instant, mut loads: Vec<Load>) -> Vec<Load> {
        let mut others = Vec::new();
        for (server, entry) in &self.servers {
            let slowness = entry.slowness(now);
            if !estimate::deviates(slowness) {
                continue;
            }
            let told = Some((entry.started_ms, (slowness * 100.0).round() as u32));
            match loads.binary_search_by(|load| load.server.cmp(server)) {
                Ok(index) => loads[index].slowness = told,
                Err(_) if others.len() < MAX_TOLD_WITHOUT_LOAD => others.push(Load {
                    slowness: told,
                    ..Load::new(server.clone())
                }),
                Err(_) => {}
            }
        }
        loads.append(&mut others);
        loads.sort_by(|a, b| a.server.cmp(&b.server));
        loads
    }
}
