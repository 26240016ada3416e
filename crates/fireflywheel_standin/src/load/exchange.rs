//! Sends one request as a caller does, and checks the answer.

use bytes::Bytes;
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::time;

use super::Request;
use crate::{client, engine, http};

/// The outcome of a request.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The complete answer came in time.
    Served,
    /// The complete answer, or a refusal, came after the deadline.
    Late,
    /// The answer belongs to another request, or is incomplete or malformed.
    Wrong(SmolStr),
    /// The request was refused in time.
    Refused {
        /// `not-run`, `may-have-run`, `ran`, or `none` if the answer has no verdict.
        verdict: SmolStr,
        /// Error code.
        code: SmolStr,
    },
    /// The answer was truncated in a way that a caller can see: the connection was lost, or an error
    /// came as an event.
    Broken(SmolStr),
    /// No answer came.
    Unanswered(SmolStr),
}

/// One request and its outcome.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Class of the request; empty if none was sent.
    pub class: SmolStr,
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Time from the start of the request to the first byte of the content.
    pub first: time::Duration,
    /// Time from the start of the request to the end of the answer.
    pub whole: time::Duration,
}

/// The outcome of a request before its deadline is checked.
pub(super) struct Reply {
    outcome: Outcome,
    first: time::Duration,
}

impl Reply {
    /// Returns the reply for a request without an answer.
    pub(super) fn timed_out(first: time::Duration) -> Self {
        Self {
            outcome: Outcome::Unanswered("timeout".into()),
            first,
        }
    }

    /// Checks the deadline.
    pub(super) fn into_sample(self, request: &Request, whole: time::Duration) -> Sample {
        let late = whole > request.deadline;
        let outcome = match self.outcome {
            Outcome::Served | Outcome::Refused { .. } if late => Outcome::Late,
            outcome => outcome,
        };
        Sample {
            class: request.class.clone().unwrap_or_default(),
            outcome,
            first: self.first,
            whole,
        }
    }
}

/// Sends a request and checks its answer.
pub(super) async fn send(client: &client::Client, request: &Request) -> Reply {
    let start = time::Instant::now();
    match try_send(client, request, start).await {
        Ok(reply) => reply,
        Err(err) => Reply {
            outcome: Outcome::Unanswered(root_cause(&err)),
            first: start.elapsed(),
        },
    }
}

fn root_cause(err: &anyhow::Error) -> SmolStr {
    smol_str::format_smolstr!("{}", err.root_cause())
}

async fn try_send(
    client: &client::Client,
    request: &Request,
    start: time::Instant,
) -> anyhow::Result<Reply> {
    let client = with_headers(client, request);
    let url = format!("http://{}/v1/chat/completions", request.target);
    let body: Bytes = serde_json::to_vec(&build_prompt(request))?.into();
    let events = client.open(Method::POST, &url, body).await?;
    let first = start.elapsed();
    if events.status != StatusCode::OK {
        let outcome = parse_refusal(&events.collect().await?);
        return Ok(Reply { outcome, first });
    }
    if events.header(http::REQUEST_ID) != Some(&request.id) {
        let outcome = Outcome::Wrong("request id".into());
        return Ok(Reply { outcome, first });
    }
    if request.stream {
        Ok(read_stream(events, request, start).await)
    } else {
        let outcome = read_answer(events, request).await;
        Ok(Reply { outcome, first })
    }
}

fn with_headers(client: &client::Client, request: &Request) -> client::Client {
    let deadline = request.deadline.as_millis().to_string();
    let mut client = client
        .clone()
        .with_header(http::REQUEST_ID, &request.id)
        .with_header("x-deadline-ms", &deadline);
    if let Some(class) = &request.class {
        client = client.with_header("x-class", class);
    }
    if let Some(tenant) = &request.tenant {
        client = client.with_header("x-tenant", tenant);
    }
    client
}

/// Returns the content of the prompt, which the engine echoes. It is unique to the request.
fn prompt_content(request: &Request) -> String {
    format!("content of {}", request.id)
}

fn build_prompt(request: &Request) -> engine::Prompt {
    engine::Prompt {
        model: request.model.clone(),
        messages: vec![engine::Message {
            role: "user".into(),
            content: prompt_content(request),
        }],
        stream: request.stream,
        max_tokens: Some(request.max_tokens),
    }
}

fn parse_refusal(answer: &client::Answer) -> Outcome {
    let verdict = answer.header("x-verdict").unwrap_or("none").into();
    let code = answer
        .code()
        .unwrap_or_else(|| smol_str::format_smolstr!("status {}", answer.status.as_u16()));
    Outcome::Refused { verdict, code }
}

fn check_content(content: &str, request: &Request) -> Outcome {
    let echo = prompt_content(request);
    if content == engine::content(&echo, request.max_tokens) {
        Outcome::Served
    } else if content.starts_with(&echo) {
        Outcome::Wrong("tokens".into())
    } else {
        Outcome::Wrong("another's content".into())
    }
}

async fn read_answer(events: client::Events, request: &Request) -> Outcome {
    let Ok(answer) = events.collect().await else {
        return Outcome::Broken("connection".into());
    };
    let Ok(completion) = answer.json::<engine::Completion>() else {
        return Outcome::Wrong("not a completion".into());
    };
    let content = completion
        .choices
        .first()
        .map_or("", |choice| &choice.message.content);
    check_content(content, request)
}

async fn read_stream(mut events: client::Events, request: &Request, start: time::Instant) -> Reply {
    let mut content = String::new();
    let mut first = None;
    let outcome = loop {
        let event = match events.next().await {
            Ok(Some(event)) => event,
            Ok(None) => break Outcome::Wrong("no end marker".into()),
            Err(_) => break Outcome::Broken("connection".into()),
        };
        first.get_or_insert_with(|| start.elapsed());
        if event == client::DONE {
            break check_content(&content, request);
        }
        if let Some(code) = client::code_of(event.as_bytes()) {
            break Outcome::Broken(code);
        }
        let Ok(chunk) = serde_json::from_str::<engine::Chunk>(&event) else {
            break Outcome::Wrong("not a chunk".into());
        };
        for choice in chunk.choices {
            content.push_str(&choice.delta.content);
        }
    };
    Reply {
        outcome,
        first: first.unwrap_or_else(|| start.elapsed()),
    }
}
