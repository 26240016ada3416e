//! The bytes that an instance holds for callers and backend servers, and which of them it gives up first.
//!
//! Load pattern: many large bodies at once, or answers that callers leave unread. Each of them is bounded by itself,
//! but not their sum, and the smallest instances have little memory. Requests are turned away before their bodies are
//! read. Answers that exist already are worth more, so that only the slowest reader loses its answer, and only when
//! the room is needed.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock;

/// The share of the memory of an instance that bytes of requests and answers may take. The rest is for the process
/// itself, buffers of connections and the state of the instance.
const HELD_RATIO: f64 = 0.3;
/// The share of these bytes that requests may take, so that there is room for their answers.
const REQUEST_RATIO: f64 = 0.6;
/// How long a reader may leave an answer unread before it counts as slow. Links deliver what is read at all within this
/// time.
const SLOW_READER_TIME: Duration = Duration::from_millis(500);

/// Identifies what holds bytes.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Key(u64);

/// What the bytes belong to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Use {
    /// The body of a request.
    Request,
    /// An answer to a caller.
    Answer,
}

/// The decision on more bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Grant {
    /// They may be held, and count from now on.
    Granted,
    /// There is no room.
    Denied,
    /// There will be room once the answer with this key is given up: its reader is slow.
    Evict(Key),
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    usage: Use,
    bytes: u64,
    /// When its reader last took bytes, or left the first ones unread.
    read_at: clock::Instant,
    is_evicted: bool,
}

/// The bytes that an instance holds, and their bound.
#[derive(Clone, Debug)]
pub struct Budget {
    limit: u64,
    held: u64,
    held_by_requests: u64,
    next: u64,
    holders: BTreeMap<Key, Holder>,
}

impl Budget {
    /// Creates a budget for an instance with this much memory in bytes; without a bound if it isn't known.
    #[must_use]
    pub fn new(memory_bytes: Option<u64>) -> Self {
        let limit = memory_bytes.map_or(u64::MAX, |bytes| (bytes as f64 * HELD_RATIO) as u64);
        Self {
            limit,
            held: 0,
            held_by_requests: 0,
            next: 0,
            holders: BTreeMap::new(),
        }
    }

    /// The bytes that are held.
    #[must_use]
    pub fn held(&self) -> u64 {
        self.held
    }

    /// Opens an account without bytes.
    pub fn open(&mut self, now: clock::Instant, usage: Use) -> Key {
        self.next += 1;
        let key = Key(self.next);
        let holder = Holder {
            usage,
            bytes: 0,
            read_at: now,
            is_evicted: false,
        };
        self.holders.insert(key, holder);
        key
    }

    /// Adds bytes to an account if there is room for them.
    pub fn add(&mut self, now: clock::Instant, key: Key, bytes: u64) -> Grant {
        let Some(holder) = self.holders.get(&key).copied() else {
            return Grant::Denied;
        };
        let is_request = holder.usage == Use::Request;
        let is_within_requests = !is_request
            || self.held_by_requests == 0
            || self.held_by_requests.saturating_add(bytes) <= self.request_limit();
        let is_within = self.held.saturating_add(bytes) <= self.limit;
        if is_within && is_within_requests {
            self.grant(now, key, bytes);
            return Grant::Granted;
        }
        match is_request {
            true => Grant::Denied,
            false => self.slowest_reader(now, key),
        }
    }

    /// Removes bytes that the reader of an answer has taken.
    pub fn remove(&mut self, now: clock::Instant, key: Key, bytes: u64) {
        let Some(holder) = self.holders.get_mut(&key) else {
            return;
        };
        let bytes = bytes.min(holder.bytes);
        holder.bytes -= bytes;
        holder.read_at = now;
        let usage = holder.usage;
        self.release(usage, bytes);
    }

    /// Closes an account and releases its bytes.
    pub fn close(&mut self, key: Key) {
        if let Some(holder) = self.holders.remove(&key) {
            self.release(holder.usage, holder.bytes);
        }
    }

    fn request_limit(&self) -> u64 {
        match self.limit {
            u64::MAX => u64::MAX,
            limit => (limit as f64 * REQUEST_RATIO) as u64,
        }
    }

    fn grant(&mut self, now: clock::Instant, key: Key, bytes: u64) {
        let Some(holder) = self.holders.get_mut(&key) else {
            return;
        };
        if holder.bytes == 0 {
            holder.read_at = now;
        }
        holder.bytes += bytes;
        self.held += bytes;
        if holder.usage == Use::Request {
            self.held_by_requests += bytes;
        }
    }

    fn release(&mut self, usage: Use, bytes: u64) {
        self.held -= bytes;
        if usage == Use::Request {
            self.held_by_requests -= bytes;
        }
    }

    /// Chooses the answer whose reader has taken nothing for the longest time. One is given up at a time: its bytes leave
    /// a moment later.
    fn slowest_reader(&mut self, now: clock::Instant, asking: Key) -> Grant {
        let answers = self.holders.iter_mut();
        let slow = answers.filter(|(key, holder)| {
            **key != asking && holder.usage == Use::Answer && holder.bytes > 0
        });
        let mut slowest: Option<(&Key, &mut Holder)> = None;
        for (key, holder) in slow {
            if holder.is_evicted {
                return Grant::Denied;
            }
            let is_slower = slowest
                .as_ref()
                .is_none_or(|(_, other)| holder.read_at < other.read_at);
            if is_slower && now.since(holder.read_at) >= SLOW_READER_TIME {
                slowest = Some((key, holder));
            }
        }
        slowest.map_or(Grant::Denied, |(key, holder)| {
            holder.is_evicted = true;
            Grant::Evict(*key)
        })
    }
}
