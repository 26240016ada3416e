//! An answer on its way from a backend server to the caller.

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

/// How far the caller's answer is.
#[derive(Debug)]
pub(super) enum Reply {
    /// Nothing of it was sent.
    Pending(oneshot::Sender<Response<door::Body>>),
    /// Its stream began.
    Streaming(door::Sender),
    /// It has ended.
    Closed,
}

/// What an attempt brought.
#[derive(Debug)]
pub(super) enum Handed {
    /// A whole answer, not handed on yet.
    Whole(backend::FullAnswer),
    /// A stream, handed on to its end marker.
    Streamed,
}

/// What an attempt needs to hand its answer on.
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
    /// Events that went to the caller, over all attempts.
    pub(super) events_delivered: u64,
    pub(super) stream: Option<metrics::StreamGuard>,
}

impl Delivery {
    /// Sends the request once. A stream is handed on event by event; dropping the future leaves a count of
    /// what was.
    pub(super) async fn attempt(
        &mut self,
        server: &SmolStr,
        resume: Option<u64>,
    ) -> Result<Handed, backend::Failure> {
        self.check_open(resume)?;
        let answering = self.outgoing.send(&self.client, server, resume).await?;
        match answering {
            // Only a stream can go on where a stream began; an engine that has lost it says so in one piece.
            backend::Answer::Full(_) if matches!(self.reply, Reply::Streaming(_)) => {
                Err(backend::Failure::may_have_run(request::Cause::Disconnected))
            }
            backend::Answer::Full(whole) => Ok(Handed::Whole(whole)),
            backend::Answer::Stream(stream) => {
                self.hand_on(stream).await?;
                Ok(Handed::Streamed)
            }
        }
    }

    // A second beginning after the first events went out would give the caller a doubled answer.
    fn check_open(&self, resume: Option<u64>) -> Result<(), backend::Failure> {
        match (&self.reply, resume) {
            (Reply::Pending(_), _) | (Reply::Streaming(_), Some(_)) => Ok(()),
            (Reply::Streaming(_), None) => {
                Err(backend::Failure::may_have_run(request::Cause::AnswerFlawed))
            }
            (Reply::Closed, _) => Err(backend::Failure::may_have_run(request::Cause::CallerGone)),
        }
    }

    /// What a repeat of a streamed request is to get: its body is not kept.
    pub(super) fn streamed_outcome(&self) -> claim::Outcome {
        claim::Outcome::Answered {
            status: 200,
            content_type: SmolStr::new_static(EVENT_STREAM),
            body: None,
        }
    }

    /// Gives the caller its final answer, if it waits for one.
    pub(super) fn finish(self, ending: Ending) {
        match self.reply {
            Reply::Pending(sender) => {
                if let Some(answer) = ending.answer() {
                    // A caller that has gone misses its answer; the node knows already.
                    let _ = sender.send(answer);
                }
            }
            Reply::Streaming(sender) => match ending {
                Ending::Streamed => {}
                Ending::Refused(problem) => sender.finish(problem.event()),
                Ending::Whole(_) | Ending::Replayed(_) | Ending::Gone => sender.cut(),
            },
            Reply::Closed => {}
        }
    }

    async fn hand_on(&mut self, mut stream: backend::Stream) -> Result<(), backend::Failure> {
        loop {
            let event = stream.next().await?;
            if matches!(self.reply, Reply::Pending(_)) {
                self.begin(stream.headers());
            }
            self.pass(&event).await?;
            if event == answer::Event::End {
                stream.release();
                return Ok(());
            }
            self.events_delivered += 1;
        }
    }

    /// Sends the head of the answer, now that its first event was checked.
    fn begin(&mut self, headers: &HeaderMap) {
        self.core.step(event::Event::AttemptUpdated {
            request: self.key,
            attempt: request::Attempt::Began,
        });
        let since = self.core.clock().now().since(self.arrived);
        self.core.metrics().observe_first_token(&self.labels, since);
        self.stream = Some(self.core.metrics().stream());
        let (sender, body) = door::Body::stream(self.limits.stream_buffer_bytes);
        let mut answer = Response::new(body);
        *answer.headers_mut() = headers.clone();
        let content_type = HeaderValue::from_static(EVENT_STREAM);
        answer.headers_mut().insert(CONTENT_TYPE, content_type);
        let before = std::mem::replace(&mut self.reply, Reply::Streaming(sender));
        if let Reply::Pending(pending) = before {
            // A caller that has gone is noticed by the next part.
            let _ = pending.send(answer);
        }
    }

    async fn pass(&mut self, event: &answer::Event) -> Result<(), backend::Failure> {
        let Reply::Streaming(sender) = &self.reply else {
            return Err(backend::Failure::may_have_run(request::Cause::CallerGone));
        };
        let bytes = backend::encode(event);
        // A caller that doesn't read would hold the engine's stream and its place in the batch.
        let passed = time::timeout(self.limits.idle, sender.send(bytes)).await;
        if matches!(passed, Ok(Ok(()))) {
            return Ok(());
        }
        if let Reply::Streaming(sender) = std::mem::replace(&mut self.reply, Reply::Closed) {
            sender.cut();
        }
        Err(backend::Failure::may_have_run(request::Cause::CallerGone))
    }
}
