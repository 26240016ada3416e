//! Chat requests: their shapes, their acceptance, and the answers to them.

use std::sync;

use bytes::Bytes;
use hyper::{Response, StatusCode, header};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::sync::mpsc;

use super::{Engine, Item, stream};
use crate::http;

/// The header that asks to go on with a stream after its first chunks.
pub(super) const RESUME_FROM: &str = "x-resume-from";
/// Tokens generated when the request names no number.
const DEFAULT_TOKENS: usize = 16;
/// Most tokens generated for one request.
const MAX_TOKENS: usize = 100_000;
/// How much of the first message names a prefix, in characters.
const PREFIX_CHARS: usize = 64;
const STREAMS: &str = "/v1/streams/";

/// One message of a conversation.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Message {
    /// `system`, `user` or `assistant`.
    pub role: SmolStr,
    /// The text.
    pub content: String,
}

/// The body of `POST /v1/chat/completions`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Prompt {
    /// `MODEL` or `MODEL:ADAPTER`.
    pub model: SmolStr,
    /// The conversation.
    pub messages: Vec<Message>,
    /// Whether the answer comes as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Tokens to generate after the echo.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<usize>,
}

/// A whole answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Completion {
    /// The request id.
    pub id: SmolStr,
    /// Always `chat.completion`.
    pub object: SmolStr,
    /// The model as requested.
    pub model: SmolStr,
    /// One choice.
    pub choices: Vec<Choice>,
    /// Tokens read and generated.
    pub usage: Usage,
}

/// The one choice of a whole answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Choice {
    /// Always 0.
    pub index: u64,
    /// The answer.
    pub message: Message,
    /// Always `stop`.
    pub finish_reason: SmolStr,
}

/// Tokens read and generated.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Usage {
    /// Words in the request.
    pub prompt_tokens: usize,
    /// Chunks generated.
    pub completion_tokens: usize,
}

/// One event of a streamed answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Chunk {
    /// The request id.
    pub id: SmolStr,
    /// Always `chat.completion.chunk`.
    pub object: SmolStr,
    /// The model as requested.
    pub model: SmolStr,
    /// The number of the chunk in its stream, from 0; a repeated one has the same number.
    pub seq: usize,
    /// One choice.
    pub choices: Vec<Delta>,
}

/// The one choice of a chunk.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Delta {
    /// Always 0.
    pub index: u64,
    /// What was added to the content.
    pub delta: Added,
    /// `stop` in the last chunk.
    pub finish_reason: Option<SmolStr>,
}

/// What a chunk adds.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Added {
    /// The text.
    #[serde(default)]
    pub content: SmolStr,
}

#[derive(Serialize)]
struct Cancelled {
    cancelled: bool,
}

/// The whole content of an answer: the echo and then that many tokens.
#[must_use]
pub fn content(echo: &str, tokens: usize) -> String {
    pieces(echo, tokens).concat()
}

/// The content as it is cut into chunks.
fn pieces(echo: &str, tokens: usize) -> Vec<SmolStr> {
    let tokens = (1..=tokens).map(|number| smol_str::format_smolstr!(" t{number}"));
    std::iter::once(SmolStr::new(echo)).chain(tokens).collect()
}

impl Prompt {
    fn echo(&self) -> &str {
        self.messages.last().map_or("", |message| &message.content)
    }

    fn prefix(&self) -> SmolStr {
        let first = self.messages.first().map_or("", |message| &message.content);
        let start: String = first.chars().take(PREFIX_CHARS).collect();
        smol_str::format_smolstr!("{}|{start}", self.model)
    }

    fn words(&self) -> usize {
        self.messages
            .iter()
            .map(|message| message.content.split_whitespace().count())
            .sum()
    }
}

impl Engine {
    pub(super) async fn chat(
        self: sync::Arc<Self>,
        request: &http::Request,
    ) -> Result<http::Answer, http::Lost> {
        let id = request
            .header(http::REQUEST_ID)
            .map_or_else(super::state::fresh_id, SmolStr::new);
        if let Some(from) = request.header(RESUME_FROM) {
            return Ok(self.resume(&id, from));
        }
        let prompt = match request.json::<Prompt>() {
            Ok(prompt) => prompt,
            Err(answer) => return Ok(answer),
        };
        let stream = match self.start(&id, &prompt) {
            Ok(stream) => stream,
            Err(answer) => return Ok(*answer),
        };
        if prompt.stream {
            return Ok(self.attach(&stream, 0));
        }
        self.whole(&stream, &prompt).await
    }

    fn start(
        self: &sync::Arc<Self>,
        id: &SmolStr,
        prompt: &Prompt,
    ) -> Result<sync::Arc<stream::Stream>, Box<http::Answer>> {
        let (item, boot) = self.accept(prompt)?;
        let stream = sync::Arc::new(stream::Stream::new(id, &prompt.model));
        self.lock_streams()
            .insert(id.clone(), sync::Arc::clone(&stream));
        let tokens = prompt.max_tokens.unwrap_or(DEFAULT_TOKENS).min(MAX_TOKENS);
        let pieces = pieces(prompt.echo(), tokens);
        let task = sync::Arc::clone(self).generate(sync::Arc::clone(&stream), item, boot, pieces);
        tokio::spawn(task);
        Ok(stream)
    }

    fn accept(&self, prompt: &Prompt) -> Result<(Item, SmolStr), Box<http::Answer>> {
        if self.injector.switches().leaving {
            return Err(Box::new(draining()));
        }
        let limit = (self.options.slots + self.options.queue) as u64;
        self.with_state(|state| {
            if state.running + state.waiting >= limit {
                return Err(Box::new(overloaded()));
            }
            let Some(item) = state.accept(&prompt.model) else {
                return Err(Box::new(not_loaded()));
            };
            state.cache.touch(prompt.prefix());
            Ok((item, state.boot.clone()))
        })
    }

    async fn whole(
        &self,
        stream: &sync::Arc<stream::Stream>,
        prompt: &Prompt,
    ) -> Result<http::Answer, http::Lost> {
        let phase = stream.ended().await;
        let mut streams = self.lock_streams();
        if streams
            .get(&stream.id)
            .is_some_and(|held| sync::Arc::ptr_eq(held, stream))
        {
            streams.remove(&stream.id);
        }
        drop(streams);
        match phase {
            stream::Phase::Done => Ok(self.completion(stream, prompt)),
            stream::Phase::Cancelled => Ok(http::failure(
                StatusCode::CONFLICT,
                "cancelled",
                "the request was cancelled",
            )),
            stream::Phase::Going | stream::Phase::Gone => Err(http::Lost),
        }
    }

    fn completion(&self, stream: &stream::Stream, prompt: &Prompt) -> http::Answer {
        let crossed = self
            .injector
            .try_consume(|switches| &mut switches.cross_answers);
        let id = if crossed {
            crate::service::CROSSED_ID.into()
        } else {
            stream.id.clone()
        };
        let completion = Completion {
            id,
            object: "chat.completion".into(),
            model: prompt.model.clone(),
            choices: vec![Choice {
                index: 0,
                message: Message {
                    role: "assistant".into(),
                    content: stream.text(),
                },
                finish_reason: "stop".into(),
            }],
            usage: Usage {
                prompt_tokens: prompt.words(),
                completion_tokens: stream.len(),
            },
        };
        let mut answer = http::json(StatusCode::OK, &completion);
        http::set_request_id(&mut answer, &completion.id);
        if self
            .injector
            .try_consume(|switches| &mut switches.cut_answers)
        {
            http::shorten(&mut answer);
        }
        answer
    }

    fn resume(self: &sync::Arc<Self>, id: &str, from: &str) -> http::Answer {
        let Ok(from) = from.parse() else {
            return http::failure(
                StatusCode::BAD_REQUEST,
                "bad_request",
                "x-resume-from is a number",
            );
        };
        let held = self.lock_streams().get(id).cloned();
        match held {
            Some(stream) => self.attach(&stream, from),
            None => http::failure(
                StatusCode::NOT_FOUND,
                "no_such_stream",
                "no stream of this id is held",
            ),
        }
    }

    pub(super) fn cancel(&self, path: &str) -> http::Answer {
        let Some(id) = path.strip_prefix(STREAMS) else {
            return super::not_found();
        };
        let held = self.lock_streams().get(id).cloned();
        let cancelled = held.is_some_and(|stream| stream.end(stream::Phase::Cancelled));
        if cancelled {
            self.with_state(super::state::State::note_cancelled);
        }
        http::json(StatusCode::OK, &Cancelled { cancelled })
    }
}

// ---- Answers ----

pub(super) fn not_loaded() -> http::Answer {
    http::failure(
        StatusCode::CONFLICT,
        "model_not_loaded",
        "no version of it is loaded here",
    )
}

fn draining() -> http::Answer {
    http::failure(
        StatusCode::SERVICE_UNAVAILABLE,
        "draining",
        "the engine is leaving",
    )
}

fn overloaded() -> http::Answer {
    http::failure(
        StatusCode::TOO_MANY_REQUESTS,
        "overloaded",
        "the queue is full",
    )
}

/// The head of a streamed answer, with its parts to come.
pub(super) fn event_stream(
    parts: mpsc::Receiver<Result<Bytes, http::Lost>>,
    id: &str,
) -> http::Answer {
    let mut answer = Response::new(http::Body::Parts(parts));
    answer.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("text/event-stream"),
    );
    http::set_request_id(&mut answer, id);
    answer
}

/// A chunk with content.
pub(super) fn chunk_event(id: &str, model: &str, number: usize, token: &SmolStr) -> Bytes {
    event(id, model, number, token.clone(), None)
}

/// The chunk that says why the stream ended; it has no content.
pub(super) fn last_event(id: &str, model: &str, number: usize) -> Bytes {
    event(id, model, number, SmolStr::default(), Some("stop".into()))
}

fn event(
    id: &str,
    model: &str,
    number: usize,
    content: SmolStr,
    finish_reason: Option<SmolStr>,
) -> Bytes {
    let chunk = Chunk {
        id: id.into(),
        object: "chat.completion.chunk".into(),
        model: model.into(),
        seq: number,
        choices: vec![Delta {
            index: 0,
            delta: Added { content },
            finish_reason,
        }],
    };
    let json = serde_json::to_string(&chunk).expect("plain structs serialize");
    format!("data: {json}\n\n").into()
}
