//! Requests that are counted as long as something of them lives.

use std::sync::Arc;

use smol_str::SmolStr;

use super::{Node, QueueKey};

/// A request in progress at a server, counted as long as this lives.
#[derive(Debug)]
pub struct InFlight<P>
where
    P: Send + Sync,
{
    pub(super) node: Arc<Node<P>>,
    pub(super) server: SmolStr,
    pub(super) born: u64,
    pub(super) key: (SmolStr, Option<SmolStr>),
    /// Tokens of its prompt that the server hasn't read yet.
    pub(super) unread: u32,
    /// The server has run it.
    pub(super) ran: bool,
    pub(super) group: SmolStr,
}

/// A request that waits, counted as long as this lives.
#[derive(Debug)]
pub struct Waiter<P>
where
    P: Send + Sync,
{
    pub(super) node: Arc<Node<P>>,
    pub(super) queue: QueueKey,
    pub(super) number: u64,
}

impl<P> InFlight<P>
where
    P: Send + Sync,
{
    /// The server has read its prompt, and runs it.
    pub fn prefill_done(&mut self) {
        self.ran = true;
        self.count_as_read();
    }

    fn count_as_read(&mut self) {
        let unread = std::mem::take(&mut self.unread);
        if unread == 0 {
            return;
        }
        let mut state = self.node.lock();
        if let Some(known) = state.servers.get_mut(&self.server)
            && known.server.started_ms == self.born
        {
            known.read(&self.key, unread);
        }
        drop(state);
        self.node.usage_changed.notify_one();
    }
}

impl<P> Drop for InFlight<P>
where
    P: Send + Sync,
{
    fn drop(&mut self) {
        self.count_as_read();
        let mut state = self.node.lock();
        if self.ran && !self.key.0.is_empty() {
            let key = (self.group.clone(), self.key.0.clone());
            *state.finished.entry(key).or_default() += 1;
        }
        let Some(known) = state.servers.get_mut(&self.server) else {
            return;
        };
        if known.server.started_ms != self.born {
            return;
        }
        known.stats.in_flight = known.stats.in_flight.saturating_sub(1);
        if let Some(running) = known.running.get_mut(&self.key) {
            running.count = running.count.saturating_sub(1);
            if running.count == 0 {
                known.running.remove(&self.key);
            }
        }
        drop(state);
        self.node.usage_changed.notify_one();
    }
}

impl<P> Drop for Waiter<P>
where
    P: Send + Sync,
{
    fn drop(&mut self) {
        let mut state = self.node.lock();
        if let Some(queue) = state.queues.get_mut(&self.queue) {
            queue.remove(&self.number);
            if queue.is_empty() {
                state.queues.remove(&self.queue);
            }
        }
        drop(state);
        self.node.demand_changed.notify_one();
    }
}
