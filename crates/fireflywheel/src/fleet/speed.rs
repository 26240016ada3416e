//! The speed of backend servers, as instances measure it.
//!
//! Servers of one group differ in speed, and their machines may be slow for a moment. Each instance compares what it
//! measures with what is usual in the group, so that no absolute speed has to be configured. An instance gets few
//! answers of one server, so it reports sums of its observations to the steward, which tells the servers that deviate.

pub mod estimate;
pub mod expected;
pub mod pace;
pub mod registry;

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::load;
use crate::clock;
use estimate::{Estimate, Moment, Usual};

/// The time for which slowness that the steward has told is valid. It tells several times a second.
const TOLD_TTL: Duration = Duration::from_secs(1);
/// The maximum number of servers in one report, some 2 KB.
pub const MAX_REPORTED: usize = 32;
/// The time after which a server without observations is forgotten.
const IDLE_TTL: Duration = Duration::from_secs(60);
/// The weight of the time of one answer in a server's slowness. It counts more than one window of events, of which a
/// stream has several.
const ANSWER_WEIGHT: f64 = 0.5;
/// The weight of the time between events in one window.
pub const WINDOW_WEIGHT: f64 = 0.25;
/// The least number of prompt tokens from which the time to the first event tells how fast prompts are read. Below it,
/// the way to the server and back weighs as much.
const MIN_PREFILL_TOKENS: f64 = 1024.0;
/// A percentage of 100, for slowness on links.
const PERCENT: f64 = 100.0;

/// What an instance has observed of one server since its last report.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Observed {
    /// The server's id.
    pub server: SmolStr,
    /// When its process started, in Unix milliseconds.
    #[serde(rename = "born")]
    pub started_ms: u64,
    /// The sum of the logarithms of the observed slowness, by weight.
    #[serde(rename = "sum")]
    pub log_sum: f32,
    /// The sum of the weights.
    pub weight: f32,
    /// The last value that the server has reported of its machine, in percent, and its age in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub moment: Option<(u32, u32)>,
}

/// A process of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Process<'a> {
    /// The server's id.
    pub server: &'a str,
    /// When the process started, in Unix milliseconds.
    pub started_ms: u64,
}

/// What is known of one process of a server.
#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    started_ms: u64,
    updated: clock::Instant,
    own: Estimate,
    moment: Moment,
    /// The slowness that the steward told last, and when.
    told: Option<(clock::Instant, f64)>,
    log_sum: f64,
    weight: f64,
    has_new_moment: bool,
}

/// What is usual in a group.
#[derive(Clone, Copy, Debug, Default)]
struct Group {
    prefill_ms: Usual,
    event_ms: Usual,
    run_ms: Usual,
}

/// What an instance knows of the speed of servers.
#[derive(Clone, Debug, Default)]
pub struct Book {
    servers: BTreeMap<SmolStr, Entry>,
    groups: BTreeMap<SmolStr, Group>,
    request_ms: BTreeMap<SmolStr, Usual>,
    /// The instances at which requests wait, by the server that could run them, as the steward told last.
    rivals: BTreeMap<SmolStr, u32>,
    told_at: clock::Instant,
}

impl Entry {
    fn slowness(&self, now: clock::Instant) -> f64 {
        let told = self.told.filter(|(at, _)| now.since(*at) < TOLD_TTL);
        let lasting = told.map_or_else(|| self.own.slowness(now), |(_, slowness)| slowness);
        // The value of the moment may contain what makes the server slow at all times, so they don't multiply.
        match self.moment.slowness(now) {
            Some(moment) if moment > 1.0 => lasting.max(moment),
            _ => lasting,
        }
    }
}

impl Book {
    /// Records the mean time between events of a stream over one window, in milliseconds.
    pub fn observe_events(
        &mut self,
        now: clock::Instant,
        process: Process<'_>,
        group: &SmolStr,
        event_ms: f64,
    ) {
        let usual = &mut self.groups.entry(group.clone()).or_default().event_ms;
        let ratio = usual.observe(event_ms);
        self.observe_ratio(now, process, ratio, WINDOW_WEIGHT);
    }

    /// Records the time of a request of a route that was answered as a whole, at a server with free slots.
    pub fn observe_request(
        &mut self,
        now: clock::Instant,
        process: Process<'_>,
        route: &SmolStr,
        took: Duration,
    ) {
        let usual = self.request_ms.entry(route.clone()).or_default();
        let ratio = usual.observe(millis(took));
        self.observe_ratio(now, process, ratio, ANSWER_WEIGHT);
    }

    /// Records the time to the first event at a server with free slots that had this many prompt tokens to read.
    pub fn observe_prefill(
        &mut self,
        now: clock::Instant,
        process: Process<'_>,
        group: &SmolStr,
        tokens: f64,
        took: Duration,
    ) {
        if tokens < MIN_PREFILL_TOKENS {
            return;
        }
        let slowness = self.slowness(now, process.server, process.started_ms);
        let group = self.groups.entry(group.clone()).or_default();
        // Which part of the prompt the server had kept isn't known, so the time tells nothing of this server.
        let _ = group
            .prefill_ms
            .observe(millis(took) / tokens / slowness.max(1.0));
    }

    /// Records how long a request ran at a server of a group.
    pub fn observe_run(&mut self, group: &SmolStr, took: Duration) {
        let usual = &mut self.groups.entry(group.clone()).or_default().run_ms;
        let _ = usual.observe(millis(took));
    }

    /// Records how long work takes on the server's machine at this moment, in percent of the usual time. Returns whether
    /// that differs from what was known, so that other instances should learn of it soon.
    pub fn observe_moment(
        &mut self,
        now: clock::Instant,
        process: Process<'_>,
        percent: u32,
    ) -> bool {
        let Some(entry) = self.entry(now, process) else {
            return false;
        };
        let before = entry.slowness(now);
        entry
            .moment
            .record(now, f64::from(percent) / PERCENT, Duration::ZERO);
        entry.has_new_moment = true;
        estimate::deviates(entry.slowness(now) / before)
    }

    fn observe_ratio(
        &mut self,
        now: clock::Instant,
        process: Process<'_>,
        ratio: Option<f64>,
        weight: f64,
    ) {
        let Some(ratio) = ratio else {
            return;
        };
        let Some(entry) = self.entry(now, process) else {
            return;
        };
        let log = entry.own.add(now, ratio.ln(), weight);
        entry.log_sum += log * weight;
        entry.weight += weight;
    }

    /// The entry of a process; `None` if a later process of the server is known. Nothing that was observed of an earlier
    /// process applies to it.
    fn entry(&mut self, now: clock::Instant, process: Process<'_>) -> Option<&mut Entry> {
        let started_ms = process.started_ms;
        let entry = self.servers.entry(process.server.into()).or_default();
        if started_ms < entry.started_ms {
            return None;
        }
        if started_ms > entry.started_ms {
            *entry = Entry {
                started_ms,
                ..Entry::default()
            };
        }
        entry.updated = now;
        Some(entry)
    }

    /// Takes what was observed since the last report, of at most [`MAX_REPORTED`] servers.
    pub fn take_report(&mut self, now: clock::Instant) -> Vec<Observed> {
        self.servers
            .retain(|_, entry| now.since(entry.updated) < IDLE_TTL);
        let servers = self.servers.iter_mut();
        let new = servers.filter(|(_, entry)| entry.weight > 0.0 || entry.has_new_moment);
        new.take(MAX_REPORTED)
            .map(|(server, entry)| {
                let has_moment = std::mem::take(&mut entry.has_new_moment);
                Observed {
                    server: server.clone(),
                    started_ms: entry.started_ms,
                    log_sum: std::mem::take(&mut entry.log_sum) as f32,
                    weight: std::mem::take(&mut entry.weight) as f32,
                    moment: entry.moment.report(now).filter(|_| has_moment),
                }
            })
            .collect()
    }

    /// Replaces the slowness that the steward has told by that of its last broadcast.
    pub fn record_told(&mut self, now: clock::Instant, loads: &[load::Load]) {
        for entry in self.servers.values_mut() {
            entry.told = None;
        }
        let waiting = loads.iter().filter(|load| load.rivals > 0);
        self.rivals = waiting
            .map(|load| (load.server.clone(), load.rivals))
            .collect();
        self.told_at = now;
        for load in loads {
            let Some((started_ms, percent)) = load.slowness else {
                continue;
            };
            let process = Process {
                server: &load.server,
                started_ms,
            };
            let slowness = estimate::clamp(f64::from(percent) / PERCENT);
            if let Some(entry) = self.entry(now, process) {
                entry.told = Some((now, slowness));
            }
        }
    }

    /// How long work takes at a process of a server, relative to what is usual in its group.
    #[must_use]
    pub fn slowness(&self, now: clock::Instant, server: &str, started_ms: u64) -> f64 {
        let entry = self.servers.get(server);
        let entry = entry.filter(|entry| entry.started_ms == started_ms);
        entry.map_or(1.0, |entry| entry.slowness(now))
    }

    /// The part of a server's room that this instance may fill, after it has sent `sent` requests there since the
    /// steward's last broadcast. `seed` distinguishes instances.
    #[must_use]
    pub fn share(
        &self,
        now: clock::Instant,
        server: &str,
        sent: u32,
        seed: u64,
    ) -> expected::Share {
        let is_valid = now.since(self.told_at) < TOLD_TTL;
        let rivals = self.rivals.get(server).filter(|_| is_valid);
        expected::Share {
            rivals: rivals.copied().unwrap_or_default(),
            sent,
            draw: spread(
                seed ^ xxhash_rust::xxh3::xxh3_64(server.as_bytes()),
                self.told_at.0,
            ),
        }
    }

    /// The usual time to read one prompt token, in milliseconds.
    #[must_use]
    pub fn prefill_ms_per_token(&self, group: &str) -> Option<f64> {
        self.groups.get(group)?.prefill_ms.value()
    }

    /// The usual time between two events of a stream, in milliseconds.
    #[must_use]
    pub fn event_ms(&self, group: &str) -> Option<f64> {
        self.groups.get(group)?.event_ms.value()
    }

    /// The usual time that a request runs at a server of a group.
    #[must_use]
    pub fn run_time(&self, group: &str) -> Option<Duration> {
        let ms = self.groups.get(group)?.run_ms.value()?;
        Some(Duration::from_secs_f64(ms / 1000.0))
    }

    /// The usual time of a request of a route that is answered as a whole.
    #[must_use]
    pub fn request_time(&self, route: &str) -> Option<Duration> {
        let ms = self.request_ms.get(route)?.value()?;
        Some(Duration::from_secs_f64(ms / 1000.0))
    }

    /// The servers that deviate from what is usual, with their slowness.
    pub fn deviating(&self, now: clock::Instant) -> impl Iterator<Item = (&SmolStr, f64)> {
        let servers = self.servers.iter();
        let known = servers.map(move |(server, entry)| (server, entry.slowness(now)));
        known.filter(|(_, slowness)| estimate::deviates(*slowness))
    }
}

/// Returns a number from 0 to 1 for each seed and index, by SplitMix64.
#[must_use]
pub fn spread(seed: u64, index: u64) -> f64 {
    let mut bits = seed.wrapping_add(index.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^= bits >> 31;
    (bits >> 11) as f64 / (1_u64 << 53) as f64
}

fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1000.0
}
