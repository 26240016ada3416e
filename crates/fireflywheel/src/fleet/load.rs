//! How much an engine still has to read, which decides when a prompt that is sent there has its first event.
//!
//! Requests differ too much to be counted alike: a prompt of thousands of tokens takes some hundred times as long to
//! read as a short question, and a quarter of that where its shared parts are kept. So instances count tokens that are
//! still to be read. Each knows only its own requests; the steward adds them up and tells all. Beside the tokens it tells
//! how many requests an engine has, since those beyond its batch wait however short their prompts are.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{clock, rendezvous};

/// Tokens that an engine reads in a millisecond. Engines don't tell theirs; those that the system was built for read
/// 19 and 39. It only sets how fast what was told is taken to shrink, and what reading counts against failures.
const READ_PER_MS: f64 = 25.0;

/// Prompts that share at least this many tokens are sent to the server that has read them: below it, reading them
/// again takes less time than the way to another server.
const KEPT_TOKENS: u32 = 512;

/// Fewer tokens than this are read before other instances have been told of them.
const LEAST_UNREAD: u32 = 1000;

/// Requests that the steward told of count for this long. It tells several times a second, so one that is silent for
/// longer is gone or cut off, and engines would stay full for good in the eyes of those that heard it last.
const WORD_USE: Duration = Duration::from_millis(1000);

/// The pressure of before counts half after this: about as long as a swap takes.
const PRESSURE_HALF_LIFE: Duration = Duration::from_secs(1);

/// The prompt of a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Prompt {
    /// All its tokens.
    pub tokens: u32,
    /// Those at its start that other requests share.
    pub shared: u32,
}

/// What an engine has to do, as the steward tells.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// The engine's id.
    pub server: SmolStr,
    /// Tokens of requests of all instances that had no first event yet.
    #[serde(rename = "unread")]
    pub prefill_tokens: u32,
    /// Requests of all instances there, running and waiting.
    #[serde(default)]
    pub requests: u32,
}

/// What an engine has to do, as an instance believes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backlog {
    /// Tokens of this instance's own requests that have no first event yet.
    own: u32,
    /// The same when it was last told to the steward.
    own_told: u32,
    /// Tokens that the steward told of, without this instance's own.
    others: u32,
    /// This instance's own requests when they were last told to the steward.
    requests_told: u32,
    /// Requests that the steward told of, without this instance's own.
    other_requests: u32,
    told: clock::Instant,
}

/// How long what waits at an engine takes to read, over the last moments. Two long prompts that meet by chance are read
/// in half a second; only what goes on for longer calls for another engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pressure {
    seconds: f64,
    updated: clock::Instant,
}

impl Pressure {
    /// So many tokens wait there now; returns how long such take to read, over the last moments.
    pub fn update(&mut self, now: clock::Instant, unread: u32) -> Duration {
        let halves = now.since(self.updated).div_duration_f64(PRESSURE_HALF_LIFE);
        let kept = 0.5_f64.powf(halves);
        let waiting = prefill_time(f64::from(unread)).as_secs_f64();
        self.seconds = self.seconds * kept + waiting * (1.0 - kept);
        self.updated = now;
        Duration::from_secs_f64(self.seconds)
    }
}

impl Prompt {
    /// Tokens that an engine must read; with `kept`, it has read the shared ones before.
    #[must_use]
    pub fn prefill_tokens(self, kept: bool) -> u32 {
        let known = if kept { self.shared } else { 0 };
        self.tokens.saturating_sub(known)
    }
}

impl Load {
    /// An engine with nothing to do.
    #[must_use]
    pub fn new(server: SmolStr) -> Self {
        Self {
            server,
            prefill_tokens: 0,
            requests: 0,
        }
    }

    /// How much it is worth telling, which it is from 1 on. What is read before that arrives is nothing, and
    /// neither are fewer requests than half a batch.
    fn weight(&self, slots: u32) -> f64 {
        let reading = f64::from(self.prefill_tokens) / f64::from(LEAST_UNREAD);
        let batch = f64::from(self.requests) * 2.0 / f64::from(slots.max(1));
        reading.max(batch)
    }
}

impl Backlog {
    /// A request was sent there with so many tokens to read.
    pub fn add_own(&mut self, tokens: u32) {
        self.own = self.own.saturating_add(tokens);
    }

    /// Such a request has its first event, or has ended.
    pub fn remove_own(&mut self, tokens: u32) {
        self.own = self.own.saturating_sub(tokens);
    }

    /// What this instance tells the steward, which has `requests` there; returns the tokens.
    pub fn report_own(&mut self, requests: u32) -> u32 {
        self.own_told = self.own;
        self.requests_told = requests;
        self.own
    }

    /// The steward tells of all instances' requests.
    pub fn update_others(&mut self, now: clock::Instant, unread: u32, requests: u32) {
        self.others = unread.saturating_sub(self.own_told);
        self.other_requests = requests.saturating_sub(self.requests_told);
        self.told = now;
    }

    /// Requests of other instances there, as the steward told last; none once that is old.
    #[must_use]
    pub fn other_requests(&self, now: clock::Instant) -> u32 {
        let fresh = now.since(self.told) < WORD_USE;
        if fresh { self.other_requests } else { 0 }
    }

    /// Tokens that are still to be read.
    #[must_use]
    pub fn prefill_tokens(&self, now: clock::Instant) -> f64 {
        let read = now.since(self.told).as_secs_f64() * 1000.0 * READ_PER_MS;
        (f64::from(self.others) - read).max(0.0) + f64::from(self.own)
    }
}

/// Which of the servers that can run a request keeps the shared parts of its prompt. Instances agree on it without
/// talking, as long as they see the same servers. None when it doesn't matter.
///
/// `parts` names all shared parts. By the first of them alone, which thousands of prompts may have in common, all would
/// go to one server and wait there while others idle.
#[must_use]
pub fn prefix_cache_server<'a, I>(prompt: Prompt, parts: &str, servers: I) -> Option<&'a str>
where
    I: ExactSizeIterator<Item = &'a str>,
{
    if prompt.shared < KEPT_TOKENS || servers.len() < 2 {
        return None;
    }
    rendezvous::first(parts, servers)
}

/// The engines with the most to do, `count` of them at most and none with next to nothing, by id. `slots` tells how many
/// requests an engine runs at once.
#[must_use]
pub fn most_loaded<S>(loads: BTreeMap<&SmolStr, Load>, slots: S, count: usize) -> Vec<Load>
where
    S: Fn(&SmolStr) -> u32,
{
    let weighed = loads.into_values().map(|load| {
        let weight = load.weight(slots(&load.server));
        (weight, load)
    });
    let mut loads: Vec<(f64, Load)> = weighed.filter(|(weight, _)| *weight >= 1.0).collect();
    loads.sort_by(|(a, _), (b, _)| b.total_cmp(a));
    loads.truncate(count);
    let mut named: Vec<Load> = loads.into_iter().map(|(_, load)| load).collect();
    named.sort_by(|a, b| a.server.cmp(&b.server));
    named
}

/// How long it takes to read so many tokens.
#[must_use]
pub fn prefill_time(tokens: f64) -> Duration {
    Duration::from_secs_f64(tokens.max(0.0) / READ_PER_MS / 1000.0)
}
