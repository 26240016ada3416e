//! Chat requests: their format, their admission, and their answers.

use std::sync;

use bytes::Bytes;
use hyper::{Response, StatusCode, header};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::sync::mpsc;

use super::{Engine, Item, stream};
use crate::http;

/// The header that resumes a stream at the given chunk.
pub(super) const RESUME_FROM: &str = "x-resume-from";
/// Number of generated tokens if the request sets no `max_tokens`.
const DEFAULT_TOKENS: usize = 16;
/// Maximum number of generated tokens per request.
const MAX_TOKENS: usize = 100_000;
/// Number of characters of the first message that identify a prefix.
const PREFIX_CHARS: usize = 64;
const STREAMS_PATH: &str = "/v1/streams/";

/// One message of a conversation.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Message {
    /// `system`, `user` or `assistant`.
    pub role: SmolStr,
    /// Text of the message.
    pub content: String,
}

/// The body of `POST /v1/chat/completions`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Prompt {
    /// `MODEL` or `MODEL:ADAPTER`.
    pub model: SmolStr,
    /// Messages of the conversation.
    pub messages: Vec<Message>,
    /// Whether the answer is sent as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Number of tokens to generate after the echo.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<usize>,
}

/// An answer that is not streamed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Completion {
    /// The request id.
    pub id: SmolStr,
    /// Always `chat.completion`.
    pub object: SmolStr,
    /// Model name from the request.
    pub model: SmolStr,
    /// A single choice.
    pub choices: Vec<Choice>,
    /// Token counts.
    pub usage: Usage,
}

/// The choice in an answer that is not streamed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Choice {
    /// Always 0.
    pub index: u64,
    /// Message with the answer.
    pub message: Message,
    /// Always `stop`.
    pub finish_reason: SmolStr,
}

/// The token counts of a request.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Usage {
    /// Number of words in the request.
    pub prompt_tokens: usize,
    /// Number of generated chunks.
    pub completion_tokens: usize,
}

/// One event of a streamed answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Chunk {
    /// The request id.
    pub id: SmolStr,
    /// Always `chat.completion.chunk`.
    pub object: SmolStr,
    /// Model name from the request.
    pub model: SmolStr,
    /// Index of the chunk in its stream, from 0. A duplicated chunk has the same index.
    pub seq: usize,
    /// A single choice.
    pub choices: Vec<ChunkChoice>,
}

/// The choice in a chunk.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChunkChoice {
    /// Always 0.
    pub index: u64,
    /// Addition to the content.
    pub delta: Delta,
    /// `stop` in the last chunk, otherwise `None`.
    pub finish_reason: Option<SmolStr>,
}

/// The content that a chunk adds.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Delta {
    /// Added text.
    #[serde(default)]
    pub content: SmolStr,
}

/// The answer to a cancellation.
#[derive(Serialize)]
struct Cancellation {
    cancelled: bool,
}

/// Returns the content of a complete answer: the echo, followed by `tokens` generated tokens.
#[must_use]
pub fn content(echo: &str, tokens: usize) -> String {
    content_chunks(echo, tokens).concat()
}

/// Returns the content of each chunk.
fn content_chunks(echo: &str, tokens: usize) -> Vec<SmolStr> {
    let tokens = (1..=tokens).map(|number| smol_str::format_smolstr!(" t{number}"));
    std::iter::once(SmolStr::new(echo)).chain(tokens).collect()
}

impl Prompt {
    fn echo(&self) -> &str {
        self.messages.last().map_or("", |message| &message.content)
    }

    fn cache_prefix(&self) -> SmolStr {
        let first = self.messages.first().map_or("", |message| &message.content);
        let start: String = first.chars().take(PREFIX_CHARS).collect();
        smol_str::format_smolstr!("{}|{start}", self.model)
    }

    fn count_words(&self) -> usize {
        self.messages
            .iter()
            .map(|message| message.content.split_whitespace().count())
            .sum()
    }
}

impl Engine {
    pub(super) async fn handle_chat(
        self: sync::Arc<Self>,
        request: &http::Request,
    ) -> Result<http::Answer, http::Lost> {
        let id = request
            .header(http::REQUEST_ID)
            .map_or_else(super::state::random_id, SmolStr::new);
        if let Some(from) = request.header(RESUME_FROM) {
            return Ok(self.resume_stream(&id, from));
        }
        let prompt = match request.json::<Prompt>() {
            Ok(prompt) => prompt,
            Err(answer) => return Ok(answer),
        };
        let stream = match self.start_stream(&id, &prompt) {
            Ok(stream) => stream,
            Err(answer) => return Ok(*answer),
        };
        if prompt.stream {
            return Ok(self.attach(&stream, 0));
        }
        self.full_answer(&stream, &prompt).await
    }

    fn start_stream(
        self: &sync::Arc<Self>,
        id: &SmolStr,
        prompt: &Prompt,
    ) -> Result<sync::Arc<stream::Stream>, Box<http::Answer>> {
        let (item, boot) = self.accept_request(prompt)?;
        let stream = sync::Arc::new(stream::Stream::new(id, &prompt.model));
        self.lock_streams()
            .insert(id.clone(), sync::Arc::clone(&stream));
        let tokens = prompt.max_tokens.unwrap_or(DEFAULT_TOKENS).min(MAX_TOKENS);
        let chunks = content_chunks(prompt.echo(), tokens);
        let task = sync::Arc::clone(self).generate(sync::Arc::clone(&stream), item, boot, chunks);
        tokio::spawn(task);
        Ok(stream)
    }

    fn accept_request(&self, prompt: &Prompt) -> Result<(Item, SmolStr), Box<http::Answer>> {
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
            state.cache.touch(prompt.cache_prefix());
            Ok((item, state.boot.clone()))
        })
    }

    async fn full_answer(
        &self,
        stream: &sync::Arc<stream::Stream>,
        prompt: &Prompt,
    ) -> Result<http::Answer, http::Lost> {
        let phase = stream.wait_until_ended().await;
        let mut streams = self.lock_streams();
        if streams
            .get(&stream.id)
            .is_some_and(|held| sync::Arc::ptr_eq(held, stream))
        {
            streams.remove(&stream.id);
        }
        drop(streams);
        match phase {
            stream::Phase::Done => Ok(self.build_completion(stream, prompt)),
            stream::Phase::Cancelled => Ok(http::failure(
                StatusCode::CONFLICT,
                "cancelled",
                "the request was cancelled",
            )),
            stream::Phase::Generating | stream::Phase::EngineRestarted => Err(http::Lost),
        }
    }

    fn build_completion(&self, stream: &stream::Stream, prompt: &Prompt) -> http::Answer {
        let wrong_id = self
            .injector
            .try_consume(|switches| &mut switches.cross_answers);
        let id = if wrong_id {
            crate::service::WRONG_REQUEST_ID.into()
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
                prompt_tokens: prompt.count_words(),
                completion_tokens: stream.len(),
            },
        };
        let mut answer = http::json(StatusCode::OK, &completion);
        http::set_request_id(&mut answer, &completion.id);
        if self
            .injector
            .try_consume(|switches| &mut switches.cut_answers)
        {
            http::truncate(&mut answer);
        }
        answer
    }

    fn resume_stream(self: &sync::Arc<Self>, id: &str, from: &str) -> http::Answer {
        let Ok(from) = from.parse() else {
            return http::failure(
                StatusCode::BAD_REQUEST,
                "bad_request",
                "x-resume-from is a number",
            );
        };
        let stream = self.lock_streams().get(id).cloned();
        match stream {
            Some(stream) => self.attach(&stream, from),
            None => http::failure(
                StatusCode::NOT_FOUND,
                "no_such_stream",
                "no stream of this id is held",
            ),
        }
    }

    pub(super) fn cancel_stream(&self, path: &str) -> http::Answer {
        let Some(id) = path.strip_prefix(STREAMS_PATH) else {
            return super::not_found();
        };
        let stream = self.lock_streams().get(id).cloned();
        let cancelled = stream.is_some_and(|stream| stream.end(stream::Phase::Cancelled));
        if cancelled {
            self.with_state(super::state::State::count_cancelled);
        }
        http::json(StatusCode::OK, &Cancellation { cancelled })
    }
}

// ---- Answers and events ----

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

/// Creates a streamed answer whose body is received from a channel.
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

/// Returns the event of a chunk with content.
pub(super) fn content_event(id: &str, model: &str, index: usize, content: &SmolStr) -> Bytes {
    chunk_event(id, model, index, content.clone(), None)
}

/// Returns the event of the last chunk, which has a finish reason and no content.
pub(super) fn last_event(id: &str, model: &str, index: usize) -> Bytes {
    chunk_event(id, model, index, SmolStr::default(), Some("stop".into()))
}

fn chunk_event(
    id: &str,
    model: &str,
    index: usize,
    content: SmolStr,
    finish_reason: Option<SmolStr>,
) -> Bytes {
    let chunk = Chunk {
        id: id.into(),
        object: "chat.completion.chunk".into(),
        model: model.into(),
        seq: index,
        choices: vec![ChunkChoice {
            index: 0,
            delta: Delta { content },
            finish_reason,
        }],
    };
    let json = serde_json::to_string(&chunk).expect("plain structs serialize");
    format!("data: {json}\n\n").into()
}
