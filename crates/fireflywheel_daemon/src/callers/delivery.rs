//! Forwards the answer of a backend server to the caller.

use std::sync::Arc;

use fireflywheel::{answer, claim, clock, event, request, settings};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{HeaderMap, Response};
use smol_str::SmolStr;
use tokio::sync::oneshot;
use tokio::time;

use super::ending::Ending;
use crate::{backend, client, core, door, metrics};

const EVENT_STREAM: &str = "text/event-stream";

/// The state of the answer to the caller.
#[derive(Debug)]
pub(super) enum Reply {
    /// Nothing was sent yet.
    Pending(oneshot::Sender<Response<door::Body>>),
    /// A stream has started.
    Streaming(door::Sender),
    /// The answer has ended.
    Closed,
}

/// The result of a successful attempt.
#[derive(Debug)]
pub(super) enum Delivered {
    /// A full answer that was not forwarded yet.
    Full(backend::FullAnswer),
    /// A stream that was forwarded up to its end marker.
    Streamed,
}

/// The state that attempts need to forward their answer.
#[derive(Debug)]
pub(super) struct Delivery {
    pub(super) core: Arc<core::Core>,
    pub(super) client: client::Client,
    pub(super) outgoing: backend::OutgoingRequest,
    pub(super) limits: settings::Limits,
    pub(super) labels: metrics::Labels,
    pub(super) arrived: clock::Instant,
    pub(super) key: request::Key,
    pub(super) reply: Reply,
    /// The number of events sent to the caller, over all attempts.
    pub(super) events_delivered: u64,
    pub(super) stream: Option<metrics::StreamGuard>,
}

impl Delivery {
    /// Sends the request once and forwards a stream event by event. When the future is dropped,
    /// `events_delivered` still counts the events that were forwarded.
    pub(super) async fn attempt(
        &mut self,
        server: &SmolStr,
        resume: Option<u64>,
    ) -> Result<Delivered, backend::Failure> {
        self.check_deliverable(resume)?;
        let answer = self.outgoing.send(&self.client, server, resume).await?;
        match answer {
            // A started stream can only be continued by a stream; an engine that has lost the stream sends a
            // full answer that says so.
            backend::Answer::Full(_) if matches!(self.reply, Reply::Streaming(_)) => {
                Err(backend::Failure::may_have_run(request::Cause::Disconnected))
            }
            backend::Answer::Full(full) => Ok(Delivered::Full(full)),
            backend::Answer::Stream(stream) => {
                self.forward_stream(stream).await?;
                Ok(Delivered::Streamed)
            }
        }
    }

    // Starting from the beginning after events were sent would give the caller a duplicated answer.
    fn check_deliverable(&self, resume: Option<u64>) -> Result<(), backend::Failure> {
        match (&self.reply, resume) {
            (Reply::Pending(_), _) | (Reply::Streaming(_), Some(_)) => Ok(()),
            (Reply::Streaming(_), None) => {
                Err(backend::Failure::may_have_run(request::Cause::AnswerFlawed))
            }
            (Reply::Closed, _) => Err(backend::Failure::may_have_run(request::Cause::CallerGone)),
        }
    }

    /// Returns the outcome to store for replays of a streamed request: the body is not kept.
    pub(super) fn streamed_outcome(&self) -> claim::Outcome {
        claim::Outcome::Answered {
            status: 200,
            content_type: SmolStr::new_static(EVENT_STREAM),
            body: None,
        }
    }

    /// Sends the final answer to the caller if the caller still waits for one.
    pub(super) fn finish(self, ending: Ending) {
        match self.reply {
            Reply::Pending(sender) => {
                if let Some(answer) = ending.into_answer() {
                    // The send fails when the caller has disconnected, which the node knows already.
                    let _ = sender.send(answer);
                }
            }
            Reply::Streaming(sender) => match ending {
                Ending::Streamed => {}
                Ending::Refused(problem) => sender.finish(problem.event()),
                Ending::Full(_) | Ending::Replayed(_) | Ending::CallerGone => sender.abort(),
            },
            Reply::Closed => {}
        }
    }

    async fn forward_stream(
        &mut self,
        mut stream: backend::Stream,
    ) -> Result<(), backend::Failure> {
        loop {
            let event = stream.next().await?;
            if matches!(self.reply, Reply::Pending(_)) {
                self.start_stream(stream.headers());
            }
            self.forward_event(&event).await?;
            if event == answer::Event::End {
                stream.release();
                return Ok(());
            }
            self.events_delivered += 1;
        }
    }

    /// Sends the head of the answer. It is sent only after the first event was checked.
    fn start_stream(&mut self, headers: &HeaderMap) {
        self.core.step(event::Event::AttemptUpdated {
            request: self.key,
            attempt: request::Attempt::Began,
        });
        let since = self.core.clock().now().since(self.arrived);
        self.core.metrics().observe_first_token(&self.labels, since);
        self.stream = Some(self.core.metrics().count_stream());
        let (sender, body) = door::Body::stream(self.limits.stream_buffer_bytes);
        let mut answer = Response::new(body);
        *answer.headers_mut() = headers.clone();
        let content_type = HeaderValue::from_static(EVENT_STREAM);
        answer.headers_mut().insert(CONTENT_TYPE, content_type);
        let previous = std::mem::replace(&mut self.reply, Reply::Streaming(sender));
        if let Reply::Pending(pending) = previous {
            // If the caller has disconnected, forwarding the next event fails.
            let _ = pending.send(answer);
        }
    }

    async fn forward_event(&mut self, event: &answer::Event) -> Result<(), backend::Failure> {
        let Reply::Streaming(sender) = &self.reply else {
            return Err(backend::Failure::may_have_run(request::Cause::CallerGone));
        };
        let bytes = backend::encode(event);
        // A caller that does not read would block the engine's stream and occupy a slot of its batch.
        let sent = time::timeout(self.limits.idle_timeout, sender.send(bytes)).await;
        if matches!(sent, Ok(Ok(()))) {
            return Ok(());
        }
        if let Reply::Streaming(sender) = std::mem::replace(&mut self.reply, Reply::Closed) {
            sender.abort();
        }
        Err(backend::Failure::may_have_run(request::Cause::CallerGone))
    }
}
