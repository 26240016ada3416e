//! Tracks how many prompt tokens each engine has yet to prefill, which determines when a prompt sent there
//! gets its first event.
//!
//! Requests differ too much to be counted alike: a prompt of thousands of tokens takes some hundred times as
//! long to prefill as a short question, and a quarter of that where its shared prefix is cached. Instances
//! therefore count the tokens still to be prefilled. Each instance knows only its own requests; the steward
//! adds them up and sends the totals to all. It also sends the number of requests at each engine, since
//! requests beyond the batch wait however short their prompts are.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::prefix;
use crate::{clock, rendezvous};

/// The tokens that an engine prefills per millisecond. Engines don't report their speed; those that the
/// system was built for reach 19 and 39. The value only sets how fast reported tokens are assumed to shrink,
/// and how prefill time weighs against failures.
const PREFILL_TOKENS_PER_MS: f64 = 25.0;

/// The number of shared tokens from which prompts are sent to the server that has their prefix cached. Below
/// it, prefilling them again takes less time than reaching another server.
const MIN_CACHED_PREFIX_TOKENS: u32 = 512;

/// The number of tokens from which an engine's load is reported. Fewer are prefilled before other instances
/// have received the report.
const MIN_REPORTED_TOKENS: u32 = 1000;

/// The weight from which an engine's load is reported in detail, in multiples of the usual one.
const DETAILED_WEIGHT: f64 = 1.0 / 3.0;

/// The time for which the numbers of requests that the steward reports are valid. It reports several times a
/// second, so a steward that is silent for longer has failed or is cut off, and engines would otherwise look
/// full forever to the instances that heard from it last.
const STEWARD_TOTALS_TTL: Duration = Duration::from_millis(1000);

/// The half-life of [`PrefillWait`], about as long as a swap takes.
const PREFILL_WAIT_HALF_LIFE: Duration = Duration::from_secs(1);

/// The prompt of a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Prompt {
    /// The number of all its tokens.
    pub tokens: u32,
    /// The number of tokens at its start that other requests may share.
    pub shared_tokens: u32,
}

/// The load of an engine, as the steward reports it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// The engine's id.
    pub server: SmolStr,
    /// The prompt tokens of requests of all instances that have had no first event yet.
    #[serde(rename = "unread")]
    pub prefill_tokens: u32,
    /// The number of requests of all instances at the engine, running and waiting.
    #[serde(default)]
    pub requests: u32,
    /// When the process started of which the slowness is told, in Unix milliseconds, and how long work takes there, in
    /// percent of what is usual; `None` if it doesn't deviate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slowness: Option<(u64, u32)>,
    /// What is new of the prompts that the engine keeps.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kept: Option<Box<prefix::news::News>>,
    /// The number of instances at which requests wait for a model that the engine holds.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub rivals: u32,
}

fn is_zero(count: &u32) -> bool {
    *count == 0
}

/// The load of an engine, as an instance estimates it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backlog {
    /// The prompt tokens of this instance's requests that have had no first event yet.
    own: u32,
    /// The value of `own` when it was last reported to the steward.
    own_reported: u32,
    /// The prompt tokens that the steward reported, without this instance's own.
    other_tokens: u32,
    /// The number of this instance's requests when it was last reported to the steward.
    requests_reported: u32,
    /// The number of requests that the steward reported, without this instance's own.
    other_requests: u32,
    /// The number of requests that were sent to the engine since the steward's last totals.
    sent: u32,
    updated: clock::Instant,
}

/// The prefill time of the tokens waiting at an engine, averaged over the last moments. Two long prompts that
/// meet by chance are prefilled within half a second; only a sustained wait justifies another engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrefillWait {
    seconds: f64,
    updated: clock::Instant,
}

impl PrefillWait {
    /// Updates the average with the current number of waiting tokens and returns it.
    pub fn update(&mut self, now: clock::Instant, prefill_tokens: u32) -> Duration {
        let half_lives = now
            .since(self.updated)
            .div_duration_f64(PREFILL_WAIT_HALF_LIFE);
        let retained = 0.5_f64.powf(half_lives);
        let waiting = prefill_time(f64::from(prefill_tokens)).as_secs_f64();
        self.seconds = self.seconds * retained + waiting * (1.0 - retained);
        self.updated = now;
        Duration::from_secs_f64(self.seconds)
    }
}

impl Prompt {
    /// Returns the tokens that an engine has to prefill. With `cached`, it has prefilled the shared ones
    /// before.
    #[must_use]
    pub fn prefill_tokens(self, cached: bool) -> u32 {
        let skipped = if cached { self.shared_tokens } else { 0 };
        self.tokens.saturating_sub(skipped)
    }
}

impl Load {
    /// Creates the load of an idle engine.
    #[must_use]
    pub fn new(server: SmolStr) -> Self {
        Self {
            server,
            prefill_tokens: 0,
            requests: 0,
            slowness: None,
            kept: None,
            rivals: 0,
        }
    }

    /// Returns the load in multiples of the smallest that is worth reporting. Tokens that are prefilled
    /// before the report arrives don't matter, and neither do requests that fill less than half a batch.
    fn report_weight(&self, slots: u32) -> f64 {
        let prefill = f64::from(self.prefill_tokens) / f64::from(MIN_REPORTED_TOKENS);
        let batch = f64::from(self.requests) * 2.0 / f64::from(slots.max(1));
        prefill.max(batch)
    }
}

impl Backlog {
    /// Adds the prompt tokens of a request sent to the engine.
    pub fn add_own(&mut self, tokens: u32) {
        self.own = self.own.saturating_add(tokens);
        self.sent = self.sent.saturating_add(1);
    }

    /// Removes the prompt tokens of a request that has had its first event or has ended.
    pub fn remove_own(&mut self, tokens: u32) {
        self.own = self.own.saturating_sub(tokens);
    }

    /// Records a report to the steward with `requests` of this instance at the engine; returns its prompt
    /// tokens.
    pub fn report_own(&mut self, requests: u32) -> u32 {
        self.own_reported = self.own;
        self.requests_reported = requests;
        self.own
    }

    /// Updates the load of other instances from the steward's totals.
    pub fn update_others(&mut self, now: clock::Instant, prefill_tokens: u32, requests: u32) {
        self.other_tokens = prefill_tokens.saturating_sub(self.own_reported);
        self.other_requests = requests.saturating_sub(self.requests_reported);
        self.sent = 0;
        self.updated = now;
    }

    /// Returns the number of requests that were sent to the engine since the steward's last totals.
    #[must_use]
    pub fn sent(&self) -> u32 {
        self.sent
    }

    /// Returns the number of other instances' requests at the engine, or 0 once the steward's report is
    /// outdated.
    #[must_use]
    pub fn other_requests(&self, now: clock::Instant) -> u32 {
        let is_fresh = now.since(self.updated) < STEWARD_TOTALS_TTL;
        if is_fresh { self.other_requests } else { 0 }
    }

    /// Returns the estimated number of tokens still to be prefilled.
    #[must_use]
    pub fn prefill_tokens(&self, now: clock::Instant) -> f64 {
        let prefilled = now.since(self.updated).as_secs_f64() * 1000.0 * PREFILL_TOKENS_PER_MS;
        (f64::from(self.other_tokens) - prefilled).max(0.0) + f64::from(self.own)
    }
}

/// Returns which of the servers that can run a request should cache its shared prefix, or `None` if it
/// doesn't matter. Instances agree on it without communication as long as they see the same servers.
///
/// `parts` names all shared parts. By the first of them alone, which thousands of prompts may have in common,
/// all of these would go to one server and wait there while others idle.
#[must_use]
pub fn prefix_cache_server<'a, I>(prompt: Prompt, parts: &str, servers: I) -> Option<&'a str>
where
    I: ExactSizeIterator<Item = &'a str>,
{
    if prompt.shared_tokens < MIN_CACHED_PREFIX_TOKENS || servers.len() < 2 {
        return None;
    }
    rendezvous::select(parts, servers)
}

/// Returns the most loaded engines, at most `count`, by id. Engines with negligible load are left out.
/// `slots` returns how many requests an engine runs at once.
#[must_use]
pub fn most_loaded<S>(loads: BTreeMap<&SmolStr, Load>, slots: S, count: usize) -> Vec<Load>
where
    S: Fn(&SmolStr) -> u32,
{
    loaded(loads, slots, count, 1.0)
}

/// The same with engines of which a sixth of the slots are in use, for instances that rank engines by all requests
/// there: with fewer engines listed, one with five requests would look as idle as one with none.
#[must_use]
pub fn loaded_in_detail<S>(loads: BTreeMap<&SmolStr, Load>, slots: S, count: usize) -> Vec<Load>
where
    S: Fn(&SmolStr) -> u32,
{
    loaded(loads, slots, count, DETAILED_WEIGHT)
}

fn loaded<S>(loads: BTreeMap<&SmolStr, Load>, slots: S, count: usize, min_weight: f64) -> Vec<Load>
where
    S: Fn(&SmolStr) -> u32,
{
    let weighted = loads.into_values().map(|load| {
        let weight = load.report_weight(slots(&load.server));
        (weight, load)
    });
    let mut loads: Vec<(f64, Load)> = weighted
        .filter(|(weight, _)| *weight >= min_weight)
        .collect();
    loads.sort_by(|(a, _), (b, _)| b.total_cmp(a));
    loads.truncate(count);
    let mut reported: Vec<Load> = loads.into_iter().map(|(_, load)| load).collect();
    reported.sort_by(|a, b| a.server.cmp(&b.server));
    reported
}

/// Returns how long the tokens take to prefill.
#[must_use]
pub fn prefill_time(tokens: f64) -> Duration {
    Duration::from_secs_f64(tokens.max(0.0) / PREFILL_TOKENS_PER_MS / 1000.0)
}
