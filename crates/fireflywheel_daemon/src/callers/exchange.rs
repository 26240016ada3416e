//! Runs one request from its admission to its only final answer.

use std::sync::Arc;
use std::time::Duration;

use fireflywheel::{clock, event, request, settings, verdict};
use hyper::Response;
use smol_str::SmolStr;
use tokio::sync::{mpsc, oneshot};
use tokio::time;

use super::delivery::{Delivered, Delivery, Reply};
use super::ending::Ending;
use crate::{backend, client, core, door, metrics};

/// The time after the deadline within which the node must refuse the request. The node refuses on its next
/// tick.
const REFUSAL_GRACE: Duration = Duration::from_millis(250);

/// The channels to the caller of a request.
#[derive(Debug)]
pub(super) struct Caller {
    answer: oneshot::Sender<Response<door::Body>>,
    gone: oneshot::Receiver<()>,
}

impl Caller {
    /// Creates the channels: the caller gets its answer through `answer` and has disconnected when `gone`
    /// resolves.
    pub(super) fn new(
        answer: oneshot::Sender<Response<door::Body>>,
        gone: oneshot::Receiver<()>,
    ) -> Self {
        Self { answer, gone }
    }
}

/// A request that was handed to the node.
#[derive(Debug)]
pub(super) struct Exchange {
    core: Arc<core::Core>,
    client: client::Client,
    limits: settings::Limits,
    outgoing: backend::OutgoingRequest,
    labels: metrics::Labels,
    arrived: clock::Instant,
    is_cold: bool,
    admitted: request::Admitted,
    instructions: mpsc::UnboundedReceiver<core::Instruction>,
    progress: Progress,
}

/// The state of the attempts of a request.
#[derive(Debug)]
struct Progress {
    attempts: u32,
    /// The most severe verdict of the attempts; a later refusal must not report a weaker one.
    verdict: verdict::Verdict,
    /// The engine that may still be working on the request.
    busy_engine: Option<SmolStr>,
}

/// The way in which an attempt ended.
enum Step {
    /// The attempt returned a full answer, which is still to be sent to the caller.
    Full(backend::FullAnswer),
    /// The attempt streamed its answer to the caller up to the end marker.
    Streamed,
    /// The attempt brought no complete answer.
    Failed(backend::Failure),
    /// The node sent an instruction before the attempt ended.
    Instruction(core::Instruction),
    /// The caller disconnected before the attempt ended.
    CallerGone,
}

impl Exchange {
    /// Hands the request to the node.
    pub(super) fn new(
        core: Arc<core::Core>,
        client: client::Client,
        arrival: request::Arrival,
        outgoing: backend::OutgoingRequest,
        limits: settings::Limits,
    ) -> Self {
        let arrived = core.clock().now();
        let admission = core.admit(arrival);
        Self {
            core,
            client,
            limits,
            outgoing,
            labels: admission.labels,
            arrived,
            is_cold: admission.is_cold,
            admitted: admission.admitted,
            instructions: admission.instructions,
            progress: Progress {
                attempts: 0,
                verdict: verdict::Verdict::NotRun,
                busy_engine: None,
            },
        }
    }

    /// Follows the node's instructions until the request has its final answer.
    pub(super) async fn run(mut self, caller: Caller) {
        let mut gone = caller.gone;
        let mut delivery = Delivery {
            core: Arc::clone(&self.core),
            client: self.client.clone(),
            outgoing: self.outgoing.clone(),
            limits: self.limits,
            labels: self.labels.clone(),
            arrived: self.arrived,
            key: self.admitted.key,
            reply: Reply::Pending(caller.answer),
            events_delivered: 0,
            stream: None,
        };
        let ending = self.follow_instructions(&mut delivery, &mut gone).await;
        self.core.remove_request(self.admitted.key);
        if !ending.is_served() {
            self.cancel_busy_engine();
        }
        self.record_ending(&ending);
        delivery.finish(ending);
    }

    async fn follow_instructions(
        &mut self,
        delivery: &mut Delivery,
        gone: &mut oneshot::Receiver<()>,
    ) -> Ending {
        let mut queued = None;
        loop {
            let instruction = match queued.take() {
                Some(instruction) => instruction,
                None => match self.next_instruction(gone).await {
                    Ok(instruction) => instruction,
                    Err(ending) => return ending,
                },
            };
            let step = match instruction {
                core::Instruction::Dispatch(server) => {
                    self.attempt(delivery, gone, server, None).await
                }
                core::Instruction::Resume(server) => {
                    let from = delivery.events_delivered;
                    self.attempt(delivery, gone, server, Some(from)).await
                }
                core::Instruction::Refuse(refusal) => {
                    return Ending::refused(refusal, self.progress.verdict);
                }
                core::Instruction::Replay(outcome) => return Ending::Replayed(outcome),
            };
            match step {
                Step::Full(full) => return Ending::Full(full),
                Step::Streamed => return Ending::Streamed,
                Step::Failed(_) => {}
                Step::Instruction(instruction) => queued = Some(instruction),
                Step::CallerGone => return self.abandon(),
            }
        }
    }

    /// Waits for the node's next instruction.
    async fn next_instruction(
        &mut self,
        gone: &mut oneshot::Receiver<()>,
    ) -> Result<core::Instruction, Ending> {
        let remaining = self.core.clock().until(self.admitted.deadline);
        tokio::select! {
            instruction = self.instructions.recv() => {
                instruction.ok_or_else(|| Ending::deadline_passed(self.progress.verdict))
            }
            _ = gone => Err(self.abandon()),
            () = time::sleep(remaining + REFUSAL_GRACE) => {
                // The node refuses the request at its deadline. The caller gets an answer even if the node
                // fails to do so.
                let _ = self.abandon();
                Err(Ending::deadline_passed(self.progress.verdict))
            }
        }
    }

    fn abandon(&self) -> Ending {
        self.core.step(event::Event::CallerGone(self.admitted.key));
        Ending::CallerGone
    }

    async fn attempt(
        &mut self,
        delivery: &mut Delivery,
        gone: &mut oneshot::Receiver<()>,
        server: SmolStr,
        resume: Option<u64>,
    ) -> Step {
        self.prepare_attempt(&server);
        let step = self.run_attempt(delivery, gone, &server, resume).await;
        self.record_attempt(delivery, &step);
        step
    }

    fn prepare_attempt(&mut self, server: &SmolStr) {
        if self.progress.attempts == 0 {
            let wait = self.core.clock().now().since(self.arrived);
            self.core
                .metrics()
                .observe_dispatch(&self.labels, wait, self.is_cold);
        }
        self.progress.attempts += 1;
        // The previous attempt is not cancelled at the same engine: the cancellation could arrive after the new
        // attempt, which has the same id, and end it.
        if self.progress.busy_engine.as_ref() != Some(server) {
            self.cancel_busy_engine();
        }
    }

    async fn run_attempt(
        &mut self,
        delivery: &mut Delivery,
        gone: &mut oneshot::Receiver<()>,
        server: &SmolStr,
        resume: Option<u64>,
    ) -> Step {
        // The instruction may have been queued while this process was paused.
        let remaining = self.core.clock().until(self.admitted.deadline);
        if remaining.is_zero() {
            return Step::Failed(backend::Failure::not_run(request::Cause::DeadlinePassed));
        }
        let is_engine = self.outgoing.kind == backend::Kind::Engine;
        if is_engine {
            self.progress.busy_engine = Some(server.clone());
        }
        tokio::select! {
            biased;
            result = delivery.attempt(server, resume) => self.classify(result),
            instruction = self.instructions.recv() => instruction.map_or(Step::CallerGone, Step::Instruction),
            () = time::sleep(remaining) => {
                Step::Failed(backend::Failure::may_have_run(request::Cause::DeadlinePassed))
            }
            // A plain service has no cancellation. Its answer is awaited even without a caller, so that a
            // repeat with the same idempotency key gets it.
            _ = gone, if is_engine => Step::CallerGone,
        }
    }

    fn classify(&self, result: Result<Delivered, backend::Failure>) -> Step {
        let is_late = self.core.clock().now() >= self.admitted.deadline;
        match result {
            Ok(Delivered::Full(_)) if is_late => Step::Failed(backend::Failure {
                verdict: verdict::Verdict::Ran,
                cause: request::Cause::DeadlinePassed,
            }),
            Ok(Delivered::Full(full)) => Step::Full(full),
            Ok(Delivered::Streamed) => Step::Streamed,
            Err(failure) => Step::Failed(failure),
        }
    }

    /// Records how an attempt ended and reports it to the node.
    fn record_attempt(&mut self, delivery: &Delivery, step: &Step) {
        let (attempt, cause) = match step {
            Step::Full(full) => (request::Attempt::Done(full.outcome()), None),
            Step::Streamed => (request::Attempt::Done(delivery.streamed_outcome()), None),
            Step::Failed(failure) => {
                self.record_verdict(failure.verdict);
                let reported = failure.with_events_delivered(delivery.events_delivered);
                (request::Attempt::Failed(reported), Some(failure.cause))
            }
            Step::Instruction(_) => return self.record_interrupted(request::Cause::DeadlinePassed),
            Step::CallerGone => return self.record_interrupted(request::Cause::CallerGone),
        };
        if cause.is_none() {
            self.progress.busy_engine = None;
        }
        self.core.metrics().count_attempt(&self.labels, cause);
        self.core.step(event::Event::AttemptUpdated {
            request: self.admitted.key,
            attempt,
        });
    }

    /// Records an attempt that was dropped before it ended. The node is not told, since it caused the end or
    /// learns of it as [`event::Event::CallerGone`].
    fn record_interrupted(&mut self, cause: request::Cause) {
        self.record_verdict(verdict::Verdict::MayHaveRun);
        self.core.metrics().count_attempt(&self.labels, Some(cause));
    }

    fn record_verdict(&mut self, verdict: verdict::Verdict) {
        if verdict == verdict::Verdict::NotRun {
            self.progress.busy_engine = None;
        }
        self.progress.verdict = self.progress.verdict.max(verdict);
    }

    /// Cancels the request at the engine that may still be working on it.
    fn cancel_busy_engine(&mut self) {
        if let Some(server) = self.progress.busy_engine.take() {
            tokio::spawn(self.outgoing.cancel(&self.client, &server));
        }
    }

    fn record_ending(&self, ending: &Ending) {
        let since = self.core.clock().now().since(self.arrived);
        let metrics = self.core.metrics();
        match ending.failure() {
            None => metrics.observe_full_answer(&self.labels, since),
            Some((code, verdict)) => metrics.count_outcome(&self.labels, code, verdict),
        }
        let (code, verdict) = ending.failure().unwrap_or(("ok", verdict::Verdict::Ran));
        log::debug!(
            instance = self.core.instance().as_str(),
            request = self.outgoing.id.as_str(),
            tenant = self.labels.tenant.as_str(),
            model = self.labels.model.as_str(),
            verdict = verdict.as_str(),
            attempts = self.progress.attempts,
            ms = clock::millis(since);
            "request answered: {code}"
        );
    }
}
