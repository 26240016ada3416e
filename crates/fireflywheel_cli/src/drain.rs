//! `fireflywheel drain`: starts the planned shutdown of one instance.

use std::time::Duration;

use anyhow::Context as _;
use fireflywheel_daemon::client;
use hyper::Method;
use serde::Serialize;
use smol_str::SmolStr;

use crate::report::{Exit, Report};

/// Time limit for the answer of a daemon. The daemon answers when the shutdown has started, not when it is
/// complete.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Size limit of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// The JSON output.
#[derive(Serialize)]
struct Output<'a> {
    operator: &'a str,
    draining: bool,
}

/// Asks a daemon to shut down after it has finished its work. Repeated requests have no further effect.
///
/// # Errors
///
/// Returns an error if the daemon does not answer or refuses.
pub async fn run(operator: &SmolStr, json: bool) -> anyhow::Result<Report> {
    let request = client::request_without_body(Method::POST, &format!("{operator}/v1/drain"))?;
    let answer = client::Client::new()
        .call(request, MAX_ANSWER_BYTES, ANSWER_TIMEOUT)
        .await;
    let answer = answer.ok().with_context(|| {
        format!("{operator} gave no answer; it may be draining, see `fireflywheel status`")
    })?;
    let status = answer.status;
    anyhow::ensure!(status.is_success(), "{operator} answered {status}");
    if json {
        let draining = true;
        return Ok(Report::json(Exit::Done, &Output { operator, draining }));
    }
    Ok(Report::new(Exit::Done, format!("{operator}: draining")))
}
