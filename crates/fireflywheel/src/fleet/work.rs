//! How much an engine still has to read, which decides when a prompt that is sent there has its first event.
//!
//! Requests differ too much to be counted alike: a prompt of thousands of tokens takes some hundred times as long to
//! read as a short question, and a quarter of that where its shared parts are kept. So instances count tokens that are
//! still to be read. Each knows only its own requests; the steward adds them up and tells all.

use std::cmp::Reverse;
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

/// What an engine has to read, as the steward tells.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// The engine's id.
    pub server: SmolStr,
    /// Tokens of requests of all instances that had no first event yet.
    pub unread: u32,
}

/// What an engine has to read, as an instance believes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backlog {
    /// Tokens of this instance's own requests that have no first event yet.
    own: u32,
    /// The same when it was last told to the steward.
    own_told: u32,
    /// What the steward told, without this instance's own.
    others: u32,
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
        let waiting = reading_time(f64::from(unread)).as_secs_f64();
        self.seconds = self.seconds * kept + waiting * (1.0 - kept);
        self.updated = now;
        Duration::from_secs_f64(self.seconds)
    }
}

impl Prompt {
    /// Tokens that an engine must read; with `kept`, it has read the shared ones before.
    #[must_use]
    pub fn unread(self, kept: bool) -> u32 {
        let known = if kept { self.shared } else { 0 };
        self.tokens.saturating_sub(known)
    }
}

impl Backlog {
    /// A request was sent there with so many tokens to read.
    pub fn sent(&mut self, tokens: u32) {
        self.own = self.own.saturating_add(tokens);
    }

    /// Such a request has its first event, or has ended.
    pub fn read(&mut self, tokens: u32) {
        self.own = self.own.saturating_sub(tokens);
    }

    /// What this instance tells the steward.
    pub fn tell(&mut self) -> u32 {
        self.own_told = self.own;
        self.own
    }

    /// The steward tells of the requests of all instances.
    pub fn heard(&mut self, now: clock::Instant, all: u32) {
        self.others = all.saturating_sub(self.own_told);
        self.told = now;
    }

    /// Tokens that are still to be read.
    #[must_use]
    pub fn tokens(&self, now: clock::Instant) -> f64 {
        let read = now.since(self.told).as_secs_f64() * 1000.0 * READ_PER_MS;
        (f64::from(self.others) - read).max(0.0) + f64::from(self.own)
    }
}

/// Which of the servers that can run a request keeps the shared parts of its prompt. Instances agree on it without
/// talking, as long as they see the same servers. None when it doesn't matter.
///
/// `parts` names all shared parts. By the first of them alone, which thousands of prompts may have in common, all would
/// go to one server: on a quiet day with 136 instances 76 in 100 long prompts had their first event in time, and 90 in
/// 100 by all parts (one run each).
#[must_use]
pub fn keeper<'a, I>(prompt: Prompt, parts: &str, servers: I) -> Option<&'a str>
where
    I: ExactSizeIterator<Item = &'a str>,
{
    if prompt.shared < KEPT_TOKENS || servers.len() < 2 {
        return None;
    }
    rendezvous::first(parts, servers)
}

/// The engines with the most to read, `count` of them at most and none with less than `least` tokens, by id.
#[must_use]
pub fn largest(unread: BTreeMap<&SmolStr, u32>, least: u32, count: usize) -> Vec<Load> {
    let mut loads: Vec<(&SmolStr, u32)> = unread.into_iter().collect();
    loads.retain(|(_, unread)| *unread >= least);
    loads.sort_by_key(|(_, unread)| Reverse(*unread));
    loads.truncate(count);
    loads.sort();
    let named = loads.into_iter().map(|(server, unread)| Load {
        server: server.clone(),
        unread,
    });
    named.collect()
}

/// How long it takes to read so many tokens.
#[must_use]
pub fn reading_time(tokens: f64) -> Duration {
    Duration::from_secs_f64(tokens.max(0.0) / READ_PER_MS / 1000.0)
}
