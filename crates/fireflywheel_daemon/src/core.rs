//! The node behind a single lock, and the dispatch of its effects.
//!
//! Under the lock an effect is only handed to a channel or a queue that never blocks. The module that reads
//! the channel carries out the effect after the lock is released. Because effects are handed over under the
//! lock, the effects of two steps are in the order of the steps.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};

use fireflywheel::{claim, effect, event, node, order, request, status};
use smol_str::SmolStr;
use tokio::sync::{mpsc, watch};
use tokio::time;

use crate::clock::Clock;
use crate::metrics;
use crate::peers::registry;

/// An instruction to the task of a request.
#[derive(Debug)]
pub enum Instruction {
    /// Send the request to this backend server.
    Dispatch(SmolStr),
    /// Resume the stream at this backend server, after the events that the caller has received.
    Resume(SmolStr),
    /// Answer with this refusal, which is final.
    Refuse(request::Refusal),
    /// Answer with the outcome of the first request with the same idempotency key, which is final.
    Replay(claim::Outcome),
}

/// An attempt to send an order to an engine.
#[derive(Debug)]
pub struct OrderAttempt {
    /// The id of the attempt.
    pub attempt_id: order::AttemptId,
    /// The engine's address.
    pub server: SmolStr,
    /// The order.
    pub command: order::Command,
}

/// The position from which the log is to be read.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReadPosition {
    /// The offset; `None` until the node first requests a read.
    pub from: Option<u64>,
    /// A counter that is incremented by each [`effect::Effect::ReadFrom`].
    pub generation: u64,
}

/// The sending ends of the channels to the modules that carry out effects.
#[derive(Debug)]
pub struct EffectChannels {
    /// Texts to append to the log.
    pub appends: mpsc::UnboundedSender<String>,
    /// The position from which to read the log.
    pub position: watch::Sender<ReadPosition>,
    /// The backend servers whose load reports are polled.
    pub watched: watch::Sender<Vec<SmolStr>>,
    /// The orders to send to engines.
    pub orders: mpsc::UnboundedSender<OrderAttempt>,
    /// The peers to connect to.
    pub connects: mpsc::UnboundedSender<registry::Target>,
    /// The open links to peers.
    pub links: Arc<registry::Registry>,
    /// Becomes true with [`effect::Effect::Exit`].
    pub exit: watch::Sender<bool>,
}

/// A request that was handed to the node.
#[derive(Debug)]
pub struct Admission {
    /// The key and the deadline of the request.
    pub admitted: request::Admitted,
    /// The instructions to the task of the request.
    pub instructions: mpsc::UnboundedReceiver<Instruction>,
    /// The metric labels of the request.
    pub labels: metrics::Labels,
    /// Whether the request waits for a model or adapter that is loaded nowhere.
    pub is_cold: bool,
}

#[derive(Debug)]
struct Inner {
    node: node::Node,
    instructions: HashMap<request::Key, mpsc::UnboundedSender<Instruction>>,
    out: Vec<effect::Effect>,
    stopping: bool,
}

/// The node of a daemon, shared by its tasks.
#[derive(Debug)]
pub struct Core {
    clock: Clock,
    inner: Mutex<Inner>,
    channels: EffectChannels,
    metrics: Arc<metrics::Metrics>,
    instance: SmolStr,
}

impl Core {
    /// Creates a core whose effects are sent to `channels`.
    #[must_use]
    pub fn new(
        options: node::Options,
        clock: Clock,
        channels: EffectChannels,
        metrics: Arc<metrics::Metrics>,
    ) -> Self {
        let instance = options.incarnation.instance.clone();
        let inner = Inner {
            node: node::Node::new(options),
            instructions: HashMap::new(),
            out: Vec::new(),
            stopping: false,
        };
        Self {
            clock,
            inner: Mutex::new(inner),
            channels,
            metrics,
            instance,
        }
    }

    /// Returns the clock that all times passed to the node are read from.
    #[must_use]
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Returns the daemon's metrics.
    #[must_use]
    pub fn metrics(&self) -> &metrics::Metrics {
        &self.metrics
    }

    /// Returns the name of this instance, for log lines.
    #[must_use]
    pub fn instance(&self) -> &SmolStr {
        &self.instance
    }

    /// Starts the node and hands over its first effects.
    pub fn start(&self) {
        let mut inner = self.lock();
        let Inner { node, out, .. } = &mut *inner;
        node.start(self.clock.now(), out);
        self.hand_over(&mut inner);
    }

    /// Passes an event to the node.
    pub fn step(&self, event: event::Event) {
        let mut inner = self.lock();
        self.step_locked(&mut inner, event);
    }

    /// Passes an answer of the log to the node, unless the node has requested another read since `generation`.
    pub fn step_log_read(&self, generation: u64, event: event::Event) {
        let mut inner = self.lock();
        // The node would take an answer to an abandoned poll for the answer to its latest ReadFrom. The check
        // and the step are under the same lock, so that no new ReadFrom can be issued between them.
        if self.channels.position.borrow().generation == generation {
            self.step_locked(&mut inner, event);
        }
    }

    /// Hands a request to the node. The first instructions may be in the channel when this function returns.
    pub fn admit(&self, arrival: request::Arrival) -> Admission {
        let (sender, instructions) = mpsc::unbounded_channel();
        let mut inner = self.lock();
        let Inner { node, out, .. } = &mut *inner;
        let labels = metrics::Labels::new(node.document(), &arrival);
        let target = arrival.target.clone();
        let admitted = node.handle_arrival(self.clock.now(), arrival, out);
        let is_cold = !out.iter().any(is_instruction) && node.waits_for_load(&target);
        // The sender is registered before the effects are handed over, since they may include a refusal.
        inner.instructions.insert(admitted.key, sender);
        self.hand_over(&mut inner);
        Admission {
            admitted,
            instructions,
            labels,
            is_cold,
        }
    }

    /// Removes a request that has its final answer.
    pub fn remove_request(&self, key: request::Key) {
        self.lock().instructions.remove(&key);
    }

    /// Checks whether this instance accepts new requests.
    ///
    /// # Errors
    ///
    /// Returns the reason as a sentence when it does not.
    pub fn check_ready(&self) -> Result<(), SmolStr> {
        self.lock().node.check_ready()
    }

    /// Returns the status of this instance and the number of requests without a final answer.
    #[must_use]
    pub fn status(&self) -> (status::Status, usize) {
        let inner = self.lock();
        (inner.node.status(), inner.node.requests_in_progress())
    }

    /// Begins a planned stop. A second call has no effect.
    pub fn stop(&self) {
        let mut inner = self.lock();
        if !inner.stopping {
            inner.stopping = true;
            self.step_locked(&mut inner, event::Event::Stop);
        }
    }

    /// Returns whether a planned stop has begun.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.lock().stopping
    }

    /// Passes [`event::Event::Tick`] to the node in every [`node::TICK_INTERVAL`]. Never returns.
    pub async fn tick(&self) {
        let mut ticks = time::interval(node::TICK_INTERVAL);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Skip);
        loop {
            ticks.tick().await;
            self.step(event::Event::Tick);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner
            .lock()
            .expect("after a panic under the lock the state of the node is unusable")
    }

    fn step_locked(&self, inner: &mut Inner, event: event::Event) {
        let Inner { node, out, .. } = inner;
        node.step(self.clock.now(), event, out);
        self.hand_over(inner);
    }

    fn hand_over(&self, inner: &mut Inner) {
        let mut effects = std::mem::take(&mut inner.out);
        for effect in effects.drain(..) {
            self.hand_over_one(&inner.instructions, effect);
        }
        inner.out = effects;
    }

    // A closed channel means that the daemon is shutting down. Remaining effects are dropped.
    fn hand_over_one(
        &self,
        instructions: &HashMap<request::Key, mpsc::UnboundedSender<Instruction>>,
        effect: effect::Effect,
    ) {
        use effect::Effect;
        let instruct = |request: request::Key, instruction: Instruction| {
            if let Some(sender) = instructions.get(&request) {
                let _ = sender.send(instruction);
            }
        };
        match effect {
            Effect::Append(text) => {
                let _ = self.channels.appends.send(text);
            }
            Effect::ReadFrom(from) => self.channels.position.send_modify(|position| {
                position.from = Some(from);
                position.generation += 1;
            }),
            Effect::Connect { instance, address } => {
                let target = registry::Target { instance, address };
                let _ = self.channels.connects.send(target);
            }
            Effect::Disconnect(name) => self.channels.links.disconnect(&name),
            Effect::Send { to, frame } => self.channels.links.send(&to, frame),
            Effect::PollReports(servers) => {
                self.channels.watched.send_replace(servers);
            }
            Effect::Order {
                attempt_id,
                server,
                command,
            } => {
                let attempt = OrderAttempt {
                    attempt_id,
                    server,
                    command,
                };
                let _ = self.channels.orders.send(attempt);
            }
            Effect::Dispatch { request, server } => {
                instruct(request, Instruction::Dispatch(server));
            }
            // The task of the request counts the events sent to the caller itself.
            Effect::Resume {
                request, server, ..
            } => instruct(request, Instruction::Resume(server)),
            Effect::Refuse { request, refusal } => instruct(request, Instruction::Refuse(refusal)),
            Effect::Replay { request, outcome } => instruct(request, Instruction::Replay(outcome)),
            Effect::Notice(notice) => self.log_notice(&notice),
            Effect::Exit => {
                self.channels.exit.send_replace(true);
            }
        }
    }

    fn log_notice(&self, notice: &effect::Notice) {
        let instance = self.instance.as_str();
        if notice.alarm {
            log::error!(instance; "{}", notice.text);
        } else {
            log::info!(instance; "{}", notice.text);
        }
    }
}

/// Returns whether the effect becomes an instruction to the task of a request.
fn is_instruction(effect: &effect::Effect) -> bool {
    use effect::Effect;
    matches!(
        effect,
        Effect::Dispatch { .. }
            | Effect::Resume { .. }
            | Effect::Refuse { .. }
            | Effect::Replay { .. }
    )
}
