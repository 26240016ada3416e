//! Token streams of requests. One task generates the tokens of a request, and another delivers them
//! to the client. A stream is retained for a while after its connection ended, so that it can be
//! resumed.

use std::sync;
use std::sync::atomic;

use bytes::Bytes;
use smol_str::SmolStr;
use tokio::sync::{mpsc, watch};
use tokio::time;

use super::{Engine, Item, chat};
use crate::{client, fault, http};

/// Number of body parts that are buffered for a slow client.
const MAX_BUFFERED_PARTS: usize = 16;
/// Maximum delay that token generation catches up with after a freeze.
const MAX_CATCH_UP: time::Duration = time::Duration::from_millis(5);

/// The state of a stream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum Phase {
    /// Tokens are still being generated.
    #[default]
    Generating,
    /// All tokens were generated.
    Done,
    /// A call cancelled the stream, or its retention time ended.
    Cancelled,
    /// The engine restarted.
    EngineRestarted,
}

/// The tokens generated so far.
#[derive(Debug, Default)]
pub(super) struct Buffer {
    pub(super) tokens: Vec<SmolStr>,
    pub(super) phase: Phase,
}

/// The tokens of one request.
#[derive(Debug)]
pub(super) struct Stream {
    pub(super) id: SmolStr,
    pub(super) model: SmolStr,
    buffer: watch::Sender<Buffer>,
    /// Number of attachments. It lets the retention time of one attachment expire without ending a
    /// stream that was attached again.
    attachments: atomic::AtomicU64,
}

/// The faults injected into one delivery.
#[derive(Clone, Copy, Debug)]
struct DeliveryFaults {
    wrong_id: bool,
    truncated: bool,
    duplicate_chunk: bool,
}

impl Stream {
    pub(super) fn new(id: &str, model: &str) -> Self {
        Self {
            id: id.into(),
            model: model.into(),
            buffer: watch::Sender::default(),
            attachments: atomic::AtomicU64::new(0),
        }
    }

    /// Ends the stream unless it has ended before. Returns whether this call ended it.
    pub(super) fn end(&self, phase: Phase) -> bool {
        self.buffer.send_if_modified(|buffer| {
            let generating = buffer.phase == Phase::Generating;
            if generating {
                buffer.phase = phase;
            }
            generating
        })
    }

    fn push(&self, token: SmolStr) {
        self.buffer.send_modify(|buffer| buffer.tokens.push(token));
    }

    fn is_generating(&self) -> bool {
        self.buffer.borrow().phase == Phase::Generating
    }

    /// Waits until the stream has ended and returns its final phase.
    pub(super) async fn wait_until_ended(&self) -> Phase {
        let mut changes = self.buffer.subscribe();
        changes
            .wait_for(|buffer| buffer.phase != Phase::Generating)
            .await
            .map_or(Phase::EngineRestarted, |buffer| buffer.phase)
    }

    /// The content generated so far.
    pub(super) fn text(&self) -> String {
        self.buffer.borrow().tokens.concat()
    }

    pub(super) fn len(&self) -> usize {
        self.buffer.borrow().tokens.len()
    }
}

impl Engine {
    /// Generates the tokens of an accepted request.
    pub(super) async fn generate(
        self: sync::Arc<Self>,
        stream: sync::Arc<Stream>,
        item: Item,
        boot: SmolStr,
        tokens: Vec<SmolStr>,
    ) {
        let slot = tokio::select! {
            slot = self.slots.acquire() => slot.ok(),
            _ = stream.wait_until_ended() => None,
        };
        let ran = slot.is_some();
        if ran && self.with_state_in_boot(&boot, |state| state.start_run(&stream.id)) {
            self.generate_tokens(&stream, tokens).await;
            stream.end(Phase::Done);
        }
        // If the request did not run, it was cancelled, or it was accepted just before a restart
        // that did not see the stream yet.
        stream.end(Phase::EngineRestarted);
        self.with_state_in_boot(&boot, |state| state.end_request(&item, ran));
    }

    /// Changes the state unless the engine has restarted since `boot`. Returns false if it has.
    fn with_state_in_boot<F>(&self, boot: &str, change: F) -> bool
    where
        F: FnOnce(&mut super::state::State),
    {
        self.with_state(|state| {
            let is_same_boot = state.boot == boot;
            if is_same_boot {
                change(state);
            }
            is_same_boot
        })
    }

    async fn generate_tokens(&self, stream: &Stream, tokens: Vec<SmolStr>) {
        let mut due = time::Instant::now();
        for token in tokens {
            due += self.token_interval();
            tokio::select! {
                () = time::sleep_until(due) => {}
                _ = stream.wait_until_ended() => return,
            }
            self.injector.wait_until_unfrozen().await;
            due = due.max(time::Instant::now() - MAX_CATCH_UP);
            if !stream.is_generating() {
                return;
            }
            stream.push(token);
        }
    }

    /// Time between two tokens. It grows linearly with the batch, to twice the value of an empty
    /// batch when all slots are in use.
    fn token_interval(&self) -> time::Duration {
        let running = self.read_state(|state| state.running) as f64;
        let slowdown = 1.0 + running / self.options.slots.max(1) as f64;
        time::Duration::from_micros(self.options.token_us).mul_f64(slowdown)
    }

    /// Starts the delivery of a stream at the chunk with index `from`.
    pub(super) fn attach(
        self: &sync::Arc<Self>,
        stream: &sync::Arc<Stream>,
        from: usize,
    ) -> http::Answer {
        let (sender, parts) = mpsc::channel(MAX_BUFFERED_PARTS);
        let faults = DeliveryFaults {
            wrong_id: self
                .injector
                .try_consume(|switches| &mut switches.cross_answers),
            truncated: self
                .injector
                .try_consume(|switches| &mut switches.cut_answers),
            duplicate_chunk: self
                .injector
                .try_consume(|switches| &mut switches.duplicate_answers),
        };
        let attachment = stream.attachments.fetch_add(1, atomic::Ordering::SeqCst) + 1;
        let engine = sync::Arc::clone(self);
        let answer = chat::event_stream(parts, sent_id(&faults, &stream.id));
        let stream = sync::Arc::clone(stream);
        tokio::spawn(async move {
            let complete = engine.deliver(&stream, from, faults, &sender).await;
            if sender.is_closed() && !complete {
                engine.with_state(super::state::State::count_disconnected);
            }
            drop(sender);
            engine.expire(&stream, attachment).await;
        });
        answer
    }

    /// Sends chunks until the stream ends. Returns false if the client disconnected before.
    async fn deliver(
        &self,
        stream: &Stream,
        from: usize,
        faults: DeliveryFaults,
        sender: &mpsc::Sender<Result<Bytes, http::Lost>>,
    ) -> bool {
        let id = sent_id(&faults, &stream.id);
        let mut changes = stream.buffer.subscribe();
        let mut next = from;
        loop {
            let ready = changes
                .wait_for(|buffer| buffer.tokens.len() > next || buffer.phase != Phase::Generating);
            let (token, phase, total) = tokio::select! {
                () = sender.closed() => return false,
                ready = ready => match ready {
                    Ok(buffer) => (buffer.tokens.get(next).cloned(), buffer.phase, buffer.tokens.len()),
                    Err(_) => return false,
                },
            };
            self.injector.wait_until_unfrozen().await;
            let Some(token) = token else {
                // A truncated stream of a single chunk must also end without its end marker.
                return faults.truncated || send_end(sender, phase, id, &stream.model, total).await;
            };
            let chunk = chat::content_event(id, &stream.model, next, &token);
            let copies = if faults.duplicate_chunk && next == from {
                2
            } else {
                1
            };
            for _ in 0..copies {
                if sender.send(Ok(chunk.clone())).await.is_err() {
                    return false;
                }
            }
            next += 1;
            if faults.truncated {
                return true;
            }
        }
    }

    /// Removes a stream after its retention time, unless it was attached again.
    async fn expire(&self, stream: &sync::Arc<Stream>, attachment: u64) {
        fault::sleep_ms(self.options.stream_retention_ms).await;
        if stream.attachments.load(atomic::Ordering::SeqCst) != attachment {
            return;
        }
        stream.end(Phase::Cancelled);
        let mut streams = self.lock_streams();
        if let Some(held) = streams.get(&stream.id)
            && sync::Arc::ptr_eq(held, stream)
        {
            streams.remove(&stream.id);
        }
    }
}

fn sent_id<'a>(faults: &DeliveryFaults, id: &'a str) -> &'a str {
    if faults.wrong_id {
        crate::service::WRONG_REQUEST_ID
    } else {
        id
    }
}

/// Ends a delivery: sends the last chunk and the end marker, or breaks the connection if the stream
/// is incomplete. Returns false if the client has disconnected.
async fn send_end(
    sender: &mpsc::Sender<Result<Bytes, http::Lost>>,
    phase: Phase,
    id: &str,
    model: &str,
    total: usize,
) -> bool {
    let end = if phase == Phase::Done {
        let mut end = chat::last_event(id, model, total).to_vec();
        end.extend_from_slice(format!("data: {}\n\n", client::DONE).as_bytes());
        Ok(end.into())
    } else {
        Err(http::Lost)
    };
    sender.send(end).await.is_ok()
}
