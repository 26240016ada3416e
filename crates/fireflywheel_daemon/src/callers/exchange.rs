//! One request from its arrival to its one final answer.

use std::sync::Arc;
use std::time::Duration;

use fireflywheel::{clock, event, request, settings, verdict};
use hyper::Response;
use smol_str::SmolStr;
use tokio::sync::{mpsc, oneshot};
use tokio::time;

use super::delivery::{Delivery, Handed, Reply};
use super::ending::Ending;
use crate::{backend, client, core, door, metrics};

/// How long after the deadline the node may take to refuse, which it does with its next tick.
const GRACE: Duration = Duration::from_millis(250);

/// The caller's side of a request.
#[derive(Debug)]
pub(super) struct Caller {
    answer: oneshot::Sender<Response<door::Body>>,
    gone: oneshot::Receiver<()>,
}

impl Caller {
    /// A caller that gets its answer through `answer` and has gone when `gone` resolves.
    pub(super) fn new(
        answer: oneshot::Sender<Response<door::Body>>,
        gone: oneshot::Receiver<()>,
    ) -> Self {
        Self { answer, gone }
    }
}

/// A request that the node took in.
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

/// What its attempts came to.
#[derive(Debug)]
struct Progress {
    attempts: u32,
    /// The gravest verdict of its attempts: a later refusal must not say less.
    verdict: verdict::Verdict,
    /// The engine that may still work on it.
    busy: Option<SmolStr>,
}

/// How an attempt ended.
enum Step {
    /// With a whole answer, which the caller is to get now.
    Whole(backend::FullAnswer),
    /// With the end of the stream, which the caller has got.
    Streamed,
    /// Without a whole answer.
    Failed(backend::Failure),
    /// The node spoke first.
    Instruction(core::Instruction),
    /// The caller went first.
    Gone,
}

impl Exchange {
    /// Gives the request to the node.
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
                busy: None,
            },
        }
    }

    /// Does what the node says until the request has its final answer.
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
        let ending = self.follow(&mut delivery, &mut gone).await;
        self.core.remove_request(self.admitted.key);
        if !ending.is_answer() {
            self.cancel();
        }
        self.report(&ending);
        delivery.finish(ending);
    }

    async fn follow(
        &mut self,
        delivery: &mut Delivery,
        gone: &mut oneshot::Receiver<()>,
    ) -> Ending {
        let mut next = None;
        loop {
            let instruction = match next.take() {
                Some(instruction) => instruction,
                None => match self.wait(gone).await {
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
                Step::Whole(whole) => return Ending::Whole(whole),
                Step::Streamed => return Ending::Streamed,
                Step::Failed(_) => {}
                Step::Instruction(instruction) => next = Some(instruction),
                Step::Gone => return self.abandon(),
            }
        }
    }

    /// Waits for the node's word.
    async fn wait(
        &mut self,
        gone: &mut oneshot::Receiver<()>,
    ) -> Result<core::Instruction, Ending> {
        let left = self.core.clock().until(self.admitted.deadline);
        tokio::select! {
            instruction = self.instructions.recv() => instruction.ok_or_else(|| Ending::late(self.progress.verdict)),
            _ = gone => Err(self.abandon()),
            () = time::sleep(left + GRACE) => {
                // The node refuses by itself at the deadline. Should it ever fail to, the caller still gets
                // an answer.
                let _ = self.abandon();
                Err(Ending::late(self.progress.verdict))
            }
        }
    }

    fn abandon(&self) -> Ending {
        self.core.step(event::Event::CallerGone(self.admitted.key));
        Ending::Gone
    }

    async fn attempt(
        &mut self,
        delivery: &mut Delivery,
        gone: &mut oneshot::Receiver<()>,
        server: SmolStr,
        resume: Option<u64>,
    ) -> Step {
        self.begin(&server);
        let step = self.try_once(delivery, gone, &server, resume).await;
        self.settle(delivery, &step);
        step
    }

    fn begin(&mut self, server: &SmolStr) {
        if self.progress.attempts == 0 {
            let wait = self.core.clock().now().since(self.arrived);
            self.core
                .metrics()
                .observe_dispatch(&self.labels, wait, self.is_cold);
        }
        self.progress.attempts += 1;
        // At the same engine a cancellation could overtake the new attempt, which has the same id.
        if self.progress.busy.as_ref() != Some(server) {
            self.cancel();
        }
    }

    async fn try_once(
        &mut self,
        delivery: &mut Delivery,
        gone: &mut oneshot::Receiver<()>,
        server: &SmolStr,
        resume: Option<u64>,
    ) -> Step {
        // The node's word may have waited here while this process was paused.
        let left = self.core.clock().until(self.admitted.deadline);
        if left.is_zero() {
            return Step::Failed(backend::Failure::not_run(request::Cause::DeadlinePassed));
        }
        let is_engine = self.outgoing.kind == backend::Kind::Engine;
        if is_engine {
            self.progress.busy = Some(server.clone());
        }
        tokio::select! {
            biased;
            handed = delivery.attempt(server, resume) => self.judge(handed),
            instruction = self.instructions.recv() => instruction.map_or(Step::Gone, Step::Instruction),
            () = time::sleep(left) => {
                Step::Failed(backend::Failure::may_have_run(request::Cause::DeadlinePassed))
            }
            // A plain service can't be told to stop. Its answer is waited for, so that a repeat under the
            // same idempotency key gets it.
            _ = gone, if is_engine => Step::Gone,
        }
    }

    fn judge(&self, handed: Result<Handed, backend::Failure>) -> Step {
        let is_late = self.core.clock().now() >= self.admitted.deadline;
        match handed {
            Ok(Handed::Whole(_)) if is_late => Step::Failed(backend::Failure {
                verdict: verdict::Verdict::Ran,
                cause: request::Cause::DeadlinePassed,
            }),
            Ok(Handed::Whole(whole)) => Step::Whole(whole),
            Ok(Handed::Streamed) => Step::Streamed,
            Err(fault) => Step::Failed(fault),
        }
    }

    /// Notes how an attempt ended, and tells the node.
    fn settle(&mut self, delivery: &Delivery, step: &Step) {
        let (attempt, cause) = match step {
            Step::Whole(whole) => (request::Attempt::Done(whole.outcome()), None),
            Step::Streamed => (request::Attempt::Done(delivery.streamed_outcome()), None),
            Step::Failed(fault) => {
                self.note(fault.verdict);
                let failure = fault.with_events_delivered(delivery.events_delivered);
                (request::Attempt::Failed(failure), Some(fault.cause))
            }
            Step::Instruction(_) => return self.interrupted(request::Cause::DeadlinePassed),
            Step::Gone => return self.interrupted(request::Cause::CallerGone),
        };
        if cause.is_none() {
            self.progress.busy = None;
        }
        self.core.metrics().count_attempt(&self.labels, cause);
        self.core.step(event::Event::AttemptUpdated {
            request: self.admitted.key,
            attempt,
        });
    }

    /// Notes an attempt that was dropped before it ended; the node needs no word of it.
    fn interrupted(&mut self, cause: request::Cause) {
        self.note(verdict::Verdict::MayHaveRun);
        self.core.metrics().count_attempt(&self.labels, Some(cause));
    }

    fn note(&mut self, verdict: verdict::Verdict) {
        if verdict == verdict::Verdict::NotRun {
            self.progress.busy = None;
        }
        self.progress.verdict = self.progress.verdict.max(verdict);
    }

    /// Tells the engine that may still work on the request to stop.
    fn cancel(&mut self) {
        if let Some(server) = self.progress.busy.take() {
            tokio::spawn(self.outgoing.cancel(&self.client, &server));
        }
    }

    fn report(&self, ending: &Ending) {
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
