//! The order in which requests wait for servers at one instance.
//!
//! Requests for the same group, model and version wait in one [`queue::Queue`]. It says which request may try the servers
//! next; all others sleep. How long a request still has to wait is estimated by [`super::refusal`].
//!
//! | module | contents |
//! |---|---|
//! | [`queue`] | the order within one queue |
//! | [`deadlines`] | which callers have come back after a refusal |

pub mod deadlines;
pub mod queue;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock;
use crate::fleet::refusal;

pub use queue::{Ahead, Entry, Ticket, Turn};

/// Maximum number of requests that wait in one queue. An instance sees less than 100 requests per second of one model, and
/// none waits longer than a few seconds.
pub const MAX_REQUESTS: usize = 1024;
/// Maximum number of requests that wait at an instance. Each holds a body and a connection.
pub const MAX_REQUESTS_OF_INSTANCE: usize = 4096;
/// How long the measurements of an empty queue are kept: a queue that overload fills again within this time needs no new
/// evidence.
const IDLE_TTL: Duration = Duration::from_secs(5);

/// The error of a queue that is at its limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Full;

/// One queue and what was observed of it.
#[derive(Clone, Debug, Default)]
pub struct Line {
    /// The order of its requests.
    pub queue: queue::Queue,
    /// How fast places become free for it.
    pub pace: refusal::Pace,
    /// When callers of the queue that were refused have been told to come back.
    pub returns: refusal::Returns,
    used_at: clock::Instant,
}

/// The queues of one instance, by a key `K`.
#[derive(Clone, Debug)]
pub struct Queues<K> {
    lines: BTreeMap<K, Line>,
    waiting: usize,
    tickets: u64,
}

impl<K> Default for Queues<K>
where
    K: Ord,
{
    fn default() -> Self {
        Self {
            lines: BTreeMap::new(),
            waiting: 0,
            tickets: 0,
        }
    }
}

impl<K> Queues<K>
where
    K: Clone + Ord,
{
    /// Queues a request.
    ///
    /// # Errors
    ///
    /// Returns [`Full`] if the queue, or the instance, is at its limit.
    pub fn push(&mut self, now: clock::Instant, key: &K, entry: Entry) -> Result<Ticket, Full> {
        if self.waiting >= MAX_REQUESTS_OF_INSTANCE {
            return Err(Full);
        }
        if !self.lines.contains_key(key) {
            self.lines
                .retain(|_, line| !line.queue.is_empty() || now.since(line.used_at) < IDLE_TTL);
            self.lines.insert(key.clone(), Line::default());
        }
        let line = self.lines.entry(key.clone()).or_default();
        line.used_at = now;
        if line.queue.len() >= MAX_REQUESTS {
            return Err(Full);
        }
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        line.queue.push(now, ticket, entry);
        self.waiting += 1;
        Ok(ticket)
    }

    /// Removes a request that is sent to a server, or no longer waits. Returns its entry.
    pub fn remove(
        &mut self,
        now: clock::Instant,
        key: &K,
        ticket: Ticket,
        is_served: bool,
    ) -> Option<Entry> {
        let line = self.lines.get_mut(key)?;
        let entry = line.queue.remove(ticket, is_served)?;
        line.used_at = now;
        if is_served {
            line.pace.record_served(now, entry.priority);
        }
        if line.queue.is_empty() {
            line.pace.set_busy(now, None);
        }
        self.waiting -= 1;
        Some(entry)
    }

    /// The queue with a key; `None` if no request has waited in it lately.
    pub fn line(&mut self, key: &K) -> Option<&mut Line> {
        self.lines.get_mut(key)
    }

    /// The queues from a key on, in the order of the keys.
    pub fn range_mut(&mut self, from: K) -> impl Iterator<Item = (&K, &mut Line)> {
        self.lines.range_mut(from..)
    }

    /// The queues.
    pub fn values(&self) -> impl Iterator<Item = &Line> {
        self.lines.values()
    }

    /// Number of requests that wait in all queues.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }
}
