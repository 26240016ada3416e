//! The node behind one lock, and the way of its effects.
//!
//! Under the lock an effect is only handed over: to a channel or a queue that never waits. It is carried out
//! by the module that reads there, after the lock is let go. Handing over under the lock keeps the effects
//! of two steps in the order of the steps.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};

use fireflywheel::{claim, effect, event, node, order, request, status};
use smol_str::SmolStr;
use tokio::sync::{mpsc, watch};
use tokio::time;

use crate::clock::Clock;
use crate::metrics;
use crate::peers::registry;

/// What a request's task is told.
#[derive(Debug)]
pub enum Instruction {
    /// Send it to this backend server.
    Dispatch(SmolStr),
    /// Go on with its stream at this backend server, after the events that the caller has.
    Resume(SmolStr),
    /// The final answer: not served.
    Refuse(request::Refusal),
    /// The final answer: the outcome of the first request of its key.
    Replay(claim::Outcome),
}

/// An order on its way to an engine.
#[derive(Debug)]
pub struct OrderAttempt {
    /// Names it.
    pub attempt_id: order::AttemptId,
    /// The engine's address.
    pub server: SmolStr,
    /// The order.
    pub command: order::Command,
}

/// Where the reader of the log is to go on.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReadPosition {
    /// The offset; `None` until the node wants to read.
    pub from: Option<u64>,
    /// Rises with each [`effect::Effect::ReadFrom`].
    pub generation: u64,
}

/// The ends at which effects are handed over; the modules that carry them out hold the other ends.
#[derive(Debug)]
pub struct EffectChannels {
    /// Texts for the log.
    pub appends: mpsc::UnboundedSender<String>,
    /// Where to read the log.
    pub position: watch::Sender<ReadPosition>,
    /// Backend servers to ask for reports.
    pub watched: watch::Sender<Vec<SmolStr>>,
    /// Orders to engines.
    pub orders: mpsc::UnboundedSender<OrderAttempt>,
    /// Addresses of peers to connect to.
    pub connects: mpsc::UnboundedSender<registry::Target>,
    /// Links that are open.
    pub links: Arc<registry::Registry>,
    /// Set once by [`effect::Effect::Exit`].
    pub exit: watch::Sender<bool>,
}

/// A request that the node took in.
#[derive(Debug)]
pub struct Admission {
    /// Its name and its deadline.
    pub admitted: request::Admitted,
    /// What its task is told.
    pub instructions: mpsc::UnboundedReceiver<Instruction>,
    /// Whom it counts for.
    pub labels: metrics::Labels,
    /// Whether it waits while what it needs is loaded nowhere.
    pub is_cold: bool,
}

#[derive(Debug)]
struct Inner {
    node: node::Node,
    instructions: HashMap<request::Key, mpsc::UnboundedSender<Instruction>>,
    out: Vec<effect::Effect>,
    stopping: bool,
}

/// One node, shared by the tasks of a daemon.
#[derive(Debug)]
pub struct Core {
    clock: Clock,
    inner: Mutex<Inner>,
    channels: EffectChannels,
    metrics: Arc<metrics::Metrics>,
    instance: SmolStr,
}

impl Core {
    /// A core whose effects go to `channels`.
    #[must_use]
    pub fn new(
        options: node::Options,
        clock: Clock,
        channels: EffectChannels,
        metrics: Arc<metrics::Metrics>,
    ) -> Self {
        let instance = options.me.instance.clone();
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

    /// The clock of every time handed to the node.
    #[must_use]
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// The daemon's metrics.
    #[must_use]
    pub fn metrics(&self) -> &metrics::Metrics {
        &self.metrics
    }

    /// The name of this instance, for logs.
    #[must_use]
    pub fn instance(&self) -> &SmolStr {
        &self.instance
    }

    /// Hands over the node's first effects.
    pub fn start(&self) {
        let mut inner = self.lock();
        let Inner { node, out, .. } = &mut *inner;
        node.start(self.clock.now(), out);
        self.hand_over(&mut inner);
    }

    /// Lets the node take one event.
    pub fn step(&self, event: event::Event) {
        let mut inner = self.lock();
        self.step_locked(&mut inner, event);
    }

    /// Lets the node take what the log answered, unless it has asked to read elsewhere since `generation`.
    pub fn step_log_read(&self, generation: u64, event: event::Event) {
        let mut inner = self.lock();
        // An answer to a poll that the node has given up would seem to be the answer to its newest ReadFrom.
        // Under the node's lock no new one can come in between.
        if self.channels.position.borrow().generation == generation {
            self.step_locked(&mut inner, event);
        }
    }

    /// Takes in a request; its task is told of its effects, which may come at once.
    pub fn admit(&self, arrival: request::Arrival) -> Admission {
        let (sender, instructions) = mpsc::unbounded_channel();
        let mut inner = self.lock();
        let Inner { node, out, .. } = &mut *inner;
        let labels = metrics::Labels::new(node.document(), &arrival);
        let target = arrival.target.clone();
        let admitted = node.handle_arrival(self.clock.now(), arrival, out);
        let is_cold = !out.iter().any(is_instruction) && node.waits_for_load(&target);
        // Registered before the effects are handed over: a refusal is often among them.
        inner.instructions.insert(admitted.key, sender);
        self.hand_over(&mut inner);
        Admission {
            admitted,
            instructions,
            labels,
            is_cold,
        }
    }

    /// The request has had its final answer.
    pub fn remove_request(&self, key: request::Key) {
        self.lock().instructions.remove(&key);
    }

    /// Whether new work may come.
    ///
    /// # Errors
    ///
    /// Why it may not, in a sentence.
    pub fn check_ready(&self) -> Result<(), SmolStr> {
        self.lock().node.check_ready()
    }

    /// How this instance is, and how many requests have no final answer yet.
    #[must_use]
    pub fn status(&self) -> (status::Status, usize) {
        let inner = self.lock();
        (inner.node.status(), inner.node.requests_in_progress())
    }

    /// Begins a planned stop; a second call changes nothing.
    pub fn stop(&self) {
        let mut inner = self.lock();
        if !inner.stopping {
            inner.stopping = true;
            self.step_locked(&mut inner, event::Event::Stop);
        }
    }

    /// Whether a planned stop has begun.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.lock().stopping
    }

    /// Sends [`event::Event::Tick`] for ever.
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
            .expect("a panic under the node's lock leaves no state to go on from")
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

    // A closed channel means that the daemon is going down; what is left then has no effect.
    fn hand_over_one(
        &self,
        instructions: &HashMap<request::Key, mpsc::UnboundedSender<Instruction>>,
        effect: effect::Effect,
    ) {
        use effect::Effect;
        let tell = |request: request::Key, instruction: Instruction| {
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
                let call = registry::Target { instance, address };
                let _ = self.channels.connects.send(call);
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
                let sending = OrderAttempt {
                    attempt_id,
                    server,
                    command,
                };
                let _ = self.channels.orders.send(sending);
            }
            Effect::Dispatch { request, server } => tell(request, Instruction::Dispatch(server)),
            // The request's task counts itself what went to the caller.
            Effect::Resume {
                request, server, ..
            } => tell(request, Instruction::Resume(server)),
            Effect::Refuse { request, refusal } => tell(request, Instruction::Refuse(refusal)),
            Effect::Replay { request, outcome } => tell(request, Instruction::Replay(outcome)),
            Effect::Notice(notice) => self.show(&notice),
            Effect::Exit => {
                self.channels.exit.send_replace(true);
            }
        }
    }

    fn show(&self, notice: &effect::Notice) {
        let instance = self.instance.as_str();
        if notice.alarm {
            log::error!(instance; "{}", notice.text);
        } else {
            log::info!(instance; "{}", notice.text);
        }
    }
}

/// Whether a request's task is told of the effect.
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
