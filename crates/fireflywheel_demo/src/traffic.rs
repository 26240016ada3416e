//! Sends requests to models as callers do, and checks each answer against its request.

use std::net::SocketAddr;
use std::time::Duration;

use fireflywheel_standin::{client, engine, http, load::Outcome};
use hyper::StatusCode;
use smol_str::{SmolStr, format_smolstr};
use tokio::{sync::mpsc, task::JoinSet, time};

use crate::configuration;

/// How long a request waits for its answer after the deadline, so that a late answer is distinguished from a missing
/// one.
const ANSWER_GRACE_PERIOD: Duration = Duration::from_secs(3);

/// A request to send.
#[derive(Clone, Debug)]
pub struct Call {
    /// Address of the daemon for callers.
    pub target: SocketAddr,
    /// Unique request id.
    pub id: SmolStr,
    /// Model.
    pub model: SmolStr,
    /// Whether the answer is a stream.
    pub stream: bool,
    /// Maximum number of tokens of the answer.
    pub tokens: usize,
    /// Deadline, measured from the start of the request.
    pub deadline: Duration,
}

/// A request and its outcome.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Request id.
    pub id: SmolStr,
    /// Whether a stream was requested.
    pub stream: bool,
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Time to the first event of a stream, or to the headers of another answer.
    pub first: Duration,
    /// Time to the end of the answer.
    pub whole: Duration,
    /// When the answer ended.
    pub end: time::Instant,
}

/// Notified when the answer to a request begins.
pub type StartSender = mpsc::UnboundedSender<()>;

/// Sends all requests at the same time, and returns their outcomes.
pub async fn send(calls: Vec<Call>) -> Vec<Sample> {
    start(calls, None).join_all().await
}

/// Starts all requests at the same time. `on_start` receives a message when an answer begins, which is the first event of
/// a stream.
pub fn start(calls: Vec<Call>, on_start: Option<&StartSender>) -> JoinSet<Sample> {
    let client = client::Client::new();
    let mut running = JoinSet::new();
    for call in calls {
        running.spawn(send_one(client.clone(), call, on_start.cloned()));
    }
    running
}

async fn send_one(client: client::Client, call: Call, on_start: Option<StartSender>) -> Sample {
    let start = time::Instant::now();
    let mut first = None;
    let exchange = exchange(&client, &call, || {
        first = Some(start.elapsed());
        if let Some(on_start) = &on_start {
            // The receiver may be closed once all expected messages have arrived.
            let _ = on_start.send(());
        }
    });
    let result = time::timeout(call.deadline + ANSWER_GRACE_PERIOD, exchange).await;
    let outcome = match result {
        Ok(Ok(outcome)) => outcome,
        Ok(Err(error)) => Outcome::Unanswered(format_smolstr!("{}", error.root_cause())),
        Err(_) => Outcome::Unanswered("timeout".into()),
    };
    let whole = start.elapsed();
    Sample {
        id: call.id,
        stream: call.stream,
        outcome: check_deadline(outcome, whole, call.deadline),
        first: first.unwrap_or(whole),
        whole,
        end: start + whole,
    }
}

fn check_deadline(outcome: Outcome, whole: Duration, deadline: Duration) -> Outcome {
    match outcome {
        Outcome::Served | Outcome::Refused { .. } if whole > deadline => Outcome::Late,
        outcome => outcome,
    }
}

async fn exchange<F>(client: &client::Client, call: &Call, on_start: F) -> anyhow::Result<Outcome>
where
    F: FnMut(),
{
    let client = client
        .clone()
        .with_header(http::REQUEST_ID, &call.id)
        .with_header("x-tenant", configuration::TENANT)
        .with_header("x-deadline-ms", &call.deadline.as_millis().to_string());
    let url = format!("http://{}/v1/chat/completions", call.target);
    let events = client.open_json(&url, &build_prompt(call)).await?;
    if events.status != StatusCode::OK {
        return Ok(parse_refusal(&events.collect().await?));
    }
    if events.header(http::REQUEST_ID) != Some(&call.id) {
        return Ok(Outcome::Wrong("request id".into()));
    }
    if call.stream {
        Ok(read_stream(events, call, on_start).await)
    } else {
        Ok(read_answer(events, call, on_start).await)
    }
}

/// Returns the content of the prompt, which the engine echoes. It is unique to the request.
fn prompt_content(call: &Call) -> String {
    format!("content of {}", call.id)
}

fn build_prompt(call: &Call) -> engine::Prompt {
    engine::Prompt {
        model: call.model.clone(),
        messages: vec![engine::Message {
            role: "user".into(),
            content: prompt_content(call),
        }],
        stream: call.stream,
        max_tokens: Some(call.tokens),
    }
}

/// Reads the verdict and the error code of a refusal.
#[must_use]
pub fn parse_refusal(answer: &client::Answer) -> Outcome {
    let verdict = answer.header("x-verdict").unwrap_or("none").into();
    let code = answer.code();
    let code = code.unwrap_or_else(|| format_smolstr!("status {}", answer.status.as_u16()));
    Outcome::Refused { verdict, code }
}

fn check_content(id: &str, content: &str, call: &Call) -> Outcome {
    if id != call.id {
        return Outcome::Wrong("another's id".into());
    }
    if content == engine::content(&prompt_content(call), call.tokens) {
        Outcome::Served
    } else {
        Outcome::Wrong("content".into())
    }
}

async fn read_answer<F>(events: client::Events, call: &Call, mut on_start: F) -> Outcome
where
    F: FnMut(),
{
    on_start();
    let Ok(answer) = events.collect().await else {
        return Outcome::Broken("connection".into());
    };
    let Ok(completion) = answer.json::<engine::Completion>() else {
        return Outcome::Wrong("not a completion".into());
    };
    let content = completion.choices.first();
    let content = content.map_or("", |choice| &choice.message.content);
    check_content(&completion.id, content, call)
}

async fn read_stream<F>(mut events: client::Events, call: &Call, mut on_start: F) -> Outcome
where
    F: FnMut(),
{
    let mut content = String::new();
    let mut chunks = 0;
    loop {
        let event = match events.next().await {
            Ok(Some(event)) => event,
            Ok(None) => return Outcome::Broken("no end marker".into()),
            Err(_) => return Outcome::Broken("connection".into()),
        };
        if event == client::DONE {
            return check_content(&call.id, &content, call);
        }
        let Ok(chunk) = serde_json::from_str::<engine::Chunk>(&event) else {
            return Outcome::Broken("an error as an event".into());
        };
        if chunk.id != call.id {
            return Outcome::Wrong("another's id".into());
        }
        if chunks == 0 {
            on_start();
        }
        chunks += 1;
        for choice in chunk.choices {
            content.push_str(&choice.delta.content);
        }
    }
}
