//! Sends orders to model engines. Each order is sent once, and its outcome is reported to the node.

use std::sync::Arc;
use std::time::Duration;

use fireflywheel::{event, order};
use hyper::{Method, StatusCode};
use smol_str::SmolStr;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::{client, core};

/// The time after which the answer to an order counts as lost. It is long because a load from the weight store
/// takes long.
const ORDER_TIMEOUT: Duration = Duration::from_secs(60);
/// The largest answer that is accepted, in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// The codes with which an unavailable engine states that an order had no effect.
const NO_EFFECT_CODES: [&str; 3] = ["outage", "draining", "overloaded"];

/// Sends the orders from the channel, each in a task of its own.
pub async fn send_all(
    client: client::Client,
    core: Arc<core::Core>,
    mut orders: mpsc::UnboundedReceiver<core::OrderAttempt>,
) {
    let mut running = JoinSet::new();
    while let Some(attempt) = orders.recv().await {
        while running.try_join_next().is_some() {}
        running.spawn(send(client.clone(), Arc::clone(&core), attempt));
    }
}

async fn send(client: client::Client, core: Arc<core::Core>, attempt: core::OrderAttempt) {
    let answer = deliver(&client, &attempt).await;
    core.metrics().count_order(&answer);
    if let order::Answer::Failed(reason) = &answer {
        let item = attempt.command.item.to_string();
        log::warn!(
            instance = core.instance().as_str(), server = attempt.server.as_str(), item = item.as_str();
            "order failed: {reason}"
        );
    }
    core.step(event::Event::OrderAnswered {
        attempt_id: attempt.attempt_id,
        answer,
    });
}

async fn deliver(client: &client::Client, attempt: &core::OrderAttempt) -> order::Answer {
    let url = format!("http://{}/v1/orders", attempt.server);
    let body = serde_json::to_vec(&attempt.command).expect("a command always has a JSON form");
    let Ok(request) = client::request(Method::POST, &url, "application/json", body) else {
        return order::Answer::Unsent;
    };
    match client.call(request, MAX_ANSWER_BYTES, ORDER_TIMEOUT).await {
        Ok(answer) => classify(&answer),
        Err(client::Error::Unsent) => order::Answer::Unsent,
        Err(client::Error::Lost) => order::Answer::Lost,
    }
}

// Only an answer in the engine's own protocol proves that an order had no effect. Any other answer, such as a
// plain 500 of a proxy, leaves the outcome unknown. Counting it as a failure would free the memory of a load
// that may still happen.
fn classify(answer: &client::Answer) -> order::Answer {
    if answer.status == StatusCode::OK {
        return serde_json::from_slice(&answer.body)
            .map_or(order::Answer::Lost, order::Answer::Done);
    }
    let Some(code) = client::error_code(&answer.body) else {
        return order::Answer::Lost;
    };
    match answer.status {
        StatusCode::CONFLICT if code == "stale_fencing" => order::Answer::Stale,
        StatusCode::BAD_GATEWAY => order::Answer::Failed(code),
        StatusCode::SERVICE_UNAVAILABLE if has_no_effect(&code) => order::Answer::Failed(code),
        status if status.is_client_error() => order::Answer::Failed(code),
        _ => order::Answer::Lost,
    }
}

fn has_no_effect(code: &SmolStr) -> bool {
    NO_EFFECT_CODES.contains(&code.as_str())
}
