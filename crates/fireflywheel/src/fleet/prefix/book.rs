//! The book of what servers are assumed to keep of prompts.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;

use super::{Key, Prefix, Prompt};
use crate::clock;

/// Maximum number of servers in a book.
pub const MAX_SERVERS: usize = 512;
/// Maximum number of prefixes of one server. Those that were asked for only once are dropped first, since callers may invent any
/// number of them.
pub const MAX_PREFIXES_PER_SERVER: usize = 64;
/// The time after which half of what was not asked for again is assumed to be gone, beyond what is known to have been written
/// over it. Engines keep prompts until memory runs out, so only what no instance has told about shortens it.
const SILENCE_HALF_LIFE: Duration = Duration::from_secs(120);
/// The share of an engine's memory that can be written until the least recently used prefix begins to be evicted, and until it
/// is evicted with certainty. Running requests need the rest of the memory.
const EVICTION_BEGINS_RATIO: f64 = 0.5;
const EVICTION_ENDS_RATIO: f64 = 0.9;
/// The weight of one further finding in the reliability of what is assumed of a server.
const RELIABILITY_SMOOTHING: f64 = 0.2;
/// The least reliability, which lets a server prove again that it keeps prompts.
const MIN_RELIABILITY: f64 = 0.2;

/// What is assumed to be kept by servers.
#[derive(Clone, Debug, Default)]
pub struct Book {
    servers: BTreeMap<SmolStr, Memory>,
}

/// What one process of a server is assumed to keep.
#[derive(Clone, Debug)]
struct Memory {
    started_ms: u64,
    /// The tokens that fit into its memory; `None` if unknown.
    capacity: Option<u32>,
    /// The tokens that were written since the process was first seen.
    written: u64,
    /// How often assumptions about it were right, from 0 to 1.
    reliability: f64,
    prefixes: BTreeMap<Key, Entry>,
    changed_at: clock::Instant,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    tokens: u32,
    used_at: clock::Instant,
    /// The value of `written` when it was last used.
    used_after: u64,
    /// The number of requests that asked for it, as far as this instance knows.
    uses: u32,
    /// Whether the server has read it, as opposed to having been sent it.
    is_read: bool,
}

/// What a server is assumed to keep of a prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Kept {
    /// The tokens of the longest prefix that it may keep.
    pub tokens: u32,
    /// The tokens that it keeps in the mean.
    pub expected_tokens: f64,
    /// The probability that it keeps the longest prefix.
    pub probability: f64,
}

impl Book {
    /// What a process of a server is assumed to keep of a prompt.
    #[must_use]
    pub fn kept(
        &self,
        now: clock::Instant,
        server: &str,
        started_ms: u64,
        prompt: &Prompt,
    ) -> Kept {
        let Some(memory) = self.memory(server, started_ms) else {
            return Kept::default();
        };
        let mut kept = Kept::default();
        let mut longest = 0;
        // A server that keeps a prefix keeps all shorter ones: from the longest to the shortest, the probability can only rise.
        let mut probability: f64 = 0.0;
        for prefix in prompt.prefixes().iter().rev() {
            let Some(entry) = memory.prefixes.get(&prefix.key) else {
                continue;
            };
            let tokens = entry.tokens.min(prefix.tokens);
            let of_entry = memory.probability(now, entry);
            if longest == 0 {
                kept.tokens = tokens;
                kept.probability = of_entry;
            }
            // The tokens between two prefixes are kept if the longer one is.
            kept.expected_tokens += f64::from(longest.max(tokens) - tokens) * probability;
            longest = tokens;
            probability = probability.max(of_entry);
        }
        kept.expected_tokens += f64::from(longest) * probability;
        kept
    }

    /// Records that a prompt is sent to a process of a server, which will read it.
    pub fn begin(
        &mut self,
        now: clock::Instant,
        server: &SmolStr,
        started_ms: u64,
        prompt: &Prompt,
    ) {
        if let Some(memory) = self.memory_mut(now, server, started_ms) {
            memory.touch(now, prompt.prefixes(), false);
        }
    }

    /// Records that the server has read the prompt.
    pub fn finish(
        &mut self,
        now: clock::Instant,
        server: &SmolStr,
        started_ms: u64,
        prompt: &Prompt,
    ) {
        if let Some(memory) = self.memory_mut(now, server, started_ms) {
            for prefix in prompt.prefixes() {
                if let Some(entry) = memory.prefixes.get_mut(&prefix.key) {
                    entry.is_read = true;
                    entry.used_at = now;
                }
            }
        }
    }

    /// Records that the server has not read the prompt after all.
    pub fn abandon(&mut self, server: &str, started_ms: u64, prompt: &Prompt) {
        let memory = self.servers.get_mut(server);
        let Some(memory) = memory.filter(|memory| memory.started_ms == started_ms) else {
            return;
        };
        for prefix in prompt.prefixes() {
            if let Some(entry) = memory.prefixes.get(&prefix.key)
                && !entry.is_read
            {
                memory.prefixes.remove(&prefix.key);
            }
        }
    }

    /// Records prefixes that a process of a server has read for any instance.
    pub fn learn(
        &mut self,
        now: clock::Instant,
        server: &SmolStr,
        started_ms: u64,
        prefixes: &[Prefix],
    ) {
        if let Some(memory) = self.memory_mut(now, server, started_ms) {
            memory.touch(now, prefixes, true);
        }
    }

    /// Records that this many tokens were written into the memory of a process.
    pub fn write(&mut self, now: clock::Instant, server: &SmolStr, started_ms: u64, tokens: u32) {
        if let Some(memory) = self.memory_mut(now, server, started_ms) {
            memory.written += u64::from(tokens);
        }
    }

    /// Sets the tokens that fit into the memory of a process for prompts.
    pub fn set_capacity(&mut self, server: &str, tokens: Option<u32>) {
        if let Some(memory) = self.servers.get_mut(server) {
            memory.capacity = tokens;
        }
    }

    /// Records whether a server had kept what was assumed. What it was wrongly assumed to keep, it has read now.
    pub fn judge(&mut self, server: &str, started_ms: u64, was_kept: bool) {
        let memory = self.servers.get_mut(server);
        if let Some(memory) = memory.filter(|memory| memory.started_ms == started_ms) {
            let finding = f64::from(u8::from(was_kept));
            memory.reliability += (finding - memory.reliability) * RELIABILITY_SMOOTHING;
        }
    }

    /// Drops what a server kept of the prompts of other models than these.
    pub fn retain_models<'a, I>(&mut self, server: &str, models: I)
    where
        I: Iterator<Item = &'a str>,
    {
        if let Some(memory) = self.servers.get_mut(server) {
            let tags: Vec<u32> = models.map(super::model_tag).collect();
            memory.prefixes.retain(|key, _| tags.contains(&key.model));
        }
    }

    /// The tokens of a model's prompts that a server is assumed to keep, which an unload of the model drops.
    #[must_use]
    pub fn kept_tokens(&self, now: clock::Instant, server: &str, model: &str) -> u32 {
        let Some(memory) = self.servers.get(server) else {
            return 0;
        };
        let prefixes = memory.prefixes.iter().filter(|(key, _)| key.is_for(model));
        let tokens: f64 = prefixes
            .map(|(_, entry)| f64::from(entry.tokens) * memory.probability(now, entry))
            .sum();
        let most = memory.capacity.map_or(f64::from(u32::MAX), f64::from);
        tokens.min(most) as u32
    }

    /// The tokens that would be evicted at a server by this many new ones.
    #[must_use]
    pub fn evicted_tokens(&self, server: &str, new_tokens: f64) -> f64 {
        let Some(memory) = self.servers.get(server) else {
            return 0.0;
        };
        let Some(capacity) = memory.capacity else {
            return 0.0;
        };
        let limit = f64::from(capacity) * EVICTION_ENDS_RATIO;
        let used = (memory.written as f64).min(limit);
        (used + new_tokens - limit).clamp(0.0, new_tokens.max(0.0))
    }

    /// The number of prefixes in the book.
    #[must_use]
    pub fn len(&self) -> usize {
        let servers = self.servers.values();
        servers.map(|memory| memory.prefixes.len()).sum()
    }

    /// Whether nothing is assumed to be kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn memory(&self, server: &str, started_ms: u64) -> Option<&Memory> {
        let memory = self.servers.get(server)?;
        (memory.started_ms == started_ms).then_some(memory)
    }

    /// The memory of a process, which is empty if it is new; `None` if the process is older than the one known.
    fn memory_mut(
        &mut self,
        now: clock::Instant,
        server: &SmolStr,
        started_ms: u64,
    ) -> Option<&mut Memory> {
        let is_new = !self.servers.contains_key(server);
        if is_new && self.servers.len() >= MAX_SERVERS {
            let servers = self.servers.iter();
            let oldest = servers.min_by_key(|(_, memory)| memory.changed_at);
            let oldest = oldest.map(|(id, _)| id.clone())?;
            self.servers.remove(&oldest);
        }
        let memory = self
            .servers
            .entry(server.clone())
            .or_insert_with(|| Memory::new(started_ms));
        if memory.started_ms > started_ms {
            return None;
        }
        if memory.started_ms < started_ms {
            *memory = Memory {
                capacity: memory.capacity,
                ..Memory::new(started_ms)
            };
        }
        memory.changed_at = now;
        Some(memory)
    }
}

impl Memory {
    fn new(started_ms: u64) -> Self {
        Self {
            started_ms,
            capacity: None,
            written: 0,
            reliability: 1.0,
            prefixes: BTreeMap::new(),
            changed_at: clock::Instant::default(),
        }
    }

    /// The probability that a prefix is still kept.
    fn probability(&self, now: clock::Instant, entry: &Entry) -> f64 {
        let half_lives = now.since(entry.used_at).div_duration_f64(SILENCE_HALF_LIFE);
        let silence = 0.5_f64.powf(half_lives);
        let overwritten = match self.capacity {
            Some(capacity) => {
                let written = self.written.saturating_sub(entry.used_after) as f64;
                let ratio = written / f64::from(capacity.max(1));
                let range = EVICTION_ENDS_RATIO - EVICTION_BEGINS_RATIO;
                1.0 - ((ratio - EVICTION_BEGINS_RATIO) / range).clamp(0.0, 1.0)
            }
            None => 1.0,
        };
        silence * overwritten * self.reliability.max(MIN_RELIABILITY)
    }

    fn touch(&mut self, now: clock::Instant, prefixes: &[Prefix], is_read: bool) {
        for prefix in prefixes {
            let new = Entry {
                tokens: prefix.tokens,
                used_at: now,
                used_after: self.written,
                uses: 0,
                is_read: false,
            };
            let entry = self.prefixes.entry(prefix.key).or_insert(new);
            entry.tokens = prefix.tokens;
            entry.used_at = now;
            entry.used_after = self.written;
            entry.uses = entry.uses.saturating_add(1);
            entry.is_read |= is_read;
            if self.prefixes.len() > MAX_PREFIXES_PER_SERVER {
                self.drop_one(prefix.key);
            }
        }
    }

    /// Drops the prefix that is least worth remembering, other than `newest`.
    fn drop_one(&mut self, newest: Key) {
        let others = self.prefixes.iter().filter(|(key, _)| **key != newest);
        let least = others.min_by_key(|(_, entry)| (entry.uses > 1, entry.used_at));
        if let Some((key, _)) = least {
            let key = *key;
            self.prefixes.remove(&key);
        }
    }
}
