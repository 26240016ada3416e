//! Guards that count a request as long as they live.

use std::sync::Arc;

use fireflywheel::clock;
use fireflywheel::fleet::announcement::Process;
use fireflywheel::fleet::prefix::choice::Assumption;
use fireflywheel::fleet::routing;
use smol_str::SmolStr;

use super::speed;
use super::state;
use super::{Node, QueueKey};

/// A request in flight at a server, counted until this guard is dropped.
#[derive(Debug)]
pub struct InFlight<P>
where
    P: Send + Sync,
{
    pub(super) node: Arc<Node<P>>,
    pub(super) server: SmolStr,
    pub(super) server_started_ms: u64,
    pub(super) key: (SmolStr, Option<SmolStr>),
    /// Prompt tokens that the server has not prefilled yet.
    pub(super) prefill_tokens: u32,
    /// Whether it has a place of another instance at the server.
    pub(super) is_borrowed: bool,
    /// Whether the server has run the request.
    pub(super) has_run: bool,
    /// What its time tells of the speed of the server; `None` while that doesn't count.
    pub(super) run: Option<speed::Run>,
    pub(super) group: SmolStr,
    /// When it was sent; `None` if its time at the server is not recorded.
    pub(super) since: Option<clock::Instant>,
    /// What was assumed of the server's memory, until the prompt is read, and when it was sent.
    pub(super) assumption: Option<(clock::Instant, Assumption)>,
}

/// A place in this instance's window for a brittle server, lent to another instance until this guard is dropped.
#[derive(Debug)]
pub struct LentPlace<P>
where
    P: Send + Sync,
{
    pub(super) node: Arc<Node<P>>,
    pub(super) process: Process,
}

impl<P> LentPlace<P>
where
    P: Send + Sync,
{
    /// Records that the server has rejected a request of the other instance.
    pub fn record_rejection(&self) {
        let now = self.node.now();
        self.update(|stats| stats.record_lent_rejection(now));
    }

    fn update<F>(&self, update: F)
    where
        F: FnOnce(&mut routing::Stats),
    {
        let mut state = self.node.lock();
        let known = state.servers.get_mut(&self.process.server);
        if let Some(known) =
            known.filter(|known| known.server.started_ms == self.process.started_ms)
        {
            update(&mut known.stats);
        }
    }
}

impl<P> Drop for LentPlace<P>
where
    P: Send + Sync,
{
    fn drop(&mut self) {
        self.update(routing::Stats::take_back);
    }
}

/// A waiting request, counted until this guard is dropped.
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
    /// Records that the server has finished prefill of the prompt, and runs the request.
    pub fn prefill_done(&mut self) {
        self.has_run = true;
        if let Some((sent, assumption)) = self.assumption.take() {
            let took = self.node.now().since(sent);
            let started_ms = self.server_started_ms;
            self.node
                .finish_prefix(&self.server, started_ms, &assumption, took);
        }
        self.finish_prefill();
    }

    fn finish_prefill(&mut self) {
        let prefill_tokens = std::mem::take(&mut self.prefill_tokens);
        if prefill_tokens == 0 {
            return;
        }
        let mut state = self.node.lock();
        if let Some(known) = state.servers.get_mut(&self.server)
            && known.server.started_ms == self.server_started_ms
        {
            known.record_prefill(&self.key, prefill_tokens);
        }
        drop(state);
        self.node.usage_changed.notify_one();
    }

    /// Takes the request out of the counts of its server. Returns `false` if its process is gone.
    fn count_out(&self, state: &mut state::State) -> bool {
        let Some(known) = state.servers.get_mut(&self.server) else {
            return false;
        };
        if known.server.started_ms != self.server_started_ms {
            return false;
        }
        known.stats.in_flight = known.stats.in_flight.saturating_sub(1);
        if self.is_borrowed {
            known.stats.borrowed = known.stats.borrowed.saturating_sub(1);
        }
        if let Some(running) = known.running.get_mut(&self.key) {
            running.count = running.count.saturating_sub(1);
            if running.count == 0 {
                known.running.remove(&self.key);
            }
        }
        true
    }
}

impl<P> Drop for InFlight<P>
where
    P: Send + Sync,
{
    fn drop(&mut self) {
        if let Some((_, assumption)) = self.assumption.take() {
            self.node
                .abandon_prefix(&self.server, self.server_started_ms, &assumption);
        }
        self.finish_prefill();
        let mut state = self.node.lock();
        if self.has_run && !self.key.0.is_empty() {
            let key = (self.group.clone(), self.key.0.clone());
            *state.finished.entry(key).or_default() += 1;
        }
        let is_counted = self.count_out(&mut state);
        if let (true, Some(run)) = (self.has_run, self.run) {
            state.end_run(self.node.now(), &self.group, run);
        }
        drop(state);
        if let Some(since) = self.since {
            let now = self.node.now();
            let took = self.has_run.then(|| now.since(since));
            self.node.record_freed_place(&self.group, &self.key.0, took);
        }
        if is_counted {
            self.node.usage_changed.notify_one();
        }
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
