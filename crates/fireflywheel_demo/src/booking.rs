//! Sends copies of one booking with the same `Idempotency-Key`.

use std::net::SocketAddr;

use fireflywheel_standin::{client, http, service};
use hyper::StatusCode;
use smol_str::{SmolStr, format_smolstr};

use crate::configuration;

/// Body of the booking. The services count its runs by this text.
pub const BODY: &str = r#"{"tent":"two-person","pick_up":"Da Lat","nights":3}"#;
const IDEMPOTENCY_KEY: &str = "demo-booking-1";

/// The answer to one copy of the booking.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// Outcome of the run.
    Ran(service::Outcome),
    /// Any other answer or error.
    Other(SmolStr),
}

/// Sends the booking to the first two instances at the same time and, after both have answered, to the third.
pub async fn send(targets: [SocketAddr; 3]) -> Vec<Reply> {
    let (first, second) = tokio::join!(post(targets[0], 1), post(targets[1], 2));
    let third = post(targets[2], 3).await;
    vec![first, second, third]
}

async fn post(target: SocketAddr, copy: u32) -> Reply {
    let client = client::Client::new()
        .with_header(http::REQUEST_ID, &format!("booking-copy-{copy}"))
        .with_header("x-tenant", configuration::TENANT)
        .with_header("idempotency-key", IDEMPOTENCY_KEY);
    let url = format!("http://{target}{}", configuration::BOOKINGS_PATH);
    let answer = match client.post(&url, BODY).await {
        Ok(answer) => answer,
        Err(error) => return Reply::Other(format_smolstr!("{}", error.root_cause())),
    };
    match answer.json::<service::Outcome>() {
        Ok(outcome) if answer.status == StatusCode::OK => Reply::Ran(outcome),
        Ok(_) | Err(_) => Reply::Other(format_smolstr!("{} {}", answer.status, answer.text())),
    }
}
