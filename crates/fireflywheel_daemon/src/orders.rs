//! Orders to model engines: each is sent once, and what is known afterwards goes back to the node.

use std::sync::Arc;
use std::time::Duration;

use fireflywheel::{event, order};
use hyper::{Method, StatusCode};
use smol_str::SmolStr;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::{client, core};

/// How long an order may take until its answer counts as lost. A load from the weight store takes long.
const WAIT: Duration = Duration::from_secs(60);
/// The largest answer taken, in bytes.
const LIMIT: usize = 1 << 20;

/// Codes by which an engine that is out of service says that it did nothing.
const NOTHING_DONE: [&str; 3] = ["outage", "draining", "overloaded"];

/// Sends the orders that the node hands over, each in a task of its own.
pub async fn send_all(
    client: client::Client,
    core: Arc<core::Core>,
    mut orders: mpsc::UnboundedReceiver<core::OrderAttempt>,
) {
    let mut running = JoinSet::new();
    while let Some(sending) = orders.recv().await {
        while running.try_join_next().is_some() {}
        running.spawn(send(client.clone(), Arc::clone(&core), sending));
    }
}

async fn send(client: client::Client, core: Arc<core::Core>, sending: core::OrderAttempt) {
    let answer = deliver(&client, &sending).await;
    core.metrics().count_order(&answer);
    if let order::Answer::Failed(reason) = &answer {
        let item = sending.command.item.to_string();
        log::warn!(
            instance = core.instance().as_str(), server = sending.server.as_str(), item = item.as_str();
            "an order failed: {reason}"
        );
    }
    core.step(event::Event::OrderAnswered {
        attempt_id: sending.attempt_id,
        answer,
    });
}

async fn deliver(client: &client::Client, sending: &core::OrderAttempt) -> order::Answer {
    let url = format!("http://{}/v1/orders", sending.server);
    let body = serde_json::to_vec(&sending.command).expect("a command always has a JSON form");
    let Ok(request) = client::request(Method::POST, &url, "application/json", body) else {
        return order::Answer::Unsent;
    };
    match client.call(request, LIMIT, WAIT).await {
        Ok(answer) => judge(&answer),
        Err(client::Fault::Unsent) => order::Answer::Unsent,
        Err(client::Fault::Lost) => order::Answer::Lost,
    }
}

// Only an answer in the engine's own protocol says that an order had no effect. Anything else, such as a bare
// 500 from something in between, leaves it open: taking it for a failure would free the memory of a load that
// may still happen.
fn judge(answer: &client::Answer) -> order::Answer {
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
        StatusCode::SERVICE_UNAVAILABLE if is_nothing_done(&code) => order::Answer::Failed(code),
        status if status.is_client_error() => order::Answer::Failed(code),
        _ => order::Answer::Lost,
    }
}

fn is_nothing_done(code: &SmolStr) -> bool {
    NOTHING_DONE.contains(&code.as_str())
}
