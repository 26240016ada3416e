//! `fireflywheel status`: shows the state of one or more daemons.

use std::collections::BTreeSet;
use std::fmt::{self, Write as _};
use std::time::Duration;

use fireflywheel::status;
use fireflywheel_daemon::client;
use hyper::{Method, StatusCode};
use serde::Serialize;
use smol_str::SmolStr;

use crate::report::{Exit, Report};

/// Time limit for the answer of a daemon.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Size limit of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// The answer of one daemon, or the reason why there is none.
#[derive(Clone, Debug, Serialize)]
pub struct Answer {
    /// The URL of the daemon's operator address.
    pub operator: SmolStr,
    /// The reported status.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub status: Option<status::Status>,
    /// The reason why there is no status.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub error: Option<SmolStr>,
}

/// Queries the daemons one after the other.
pub async fn run(operators: &[SmolStr], json: bool) -> Report {
    let client = client::Client::new();
    let mut answers = Vec::new();
    for operator in operators {
        answers.push(query(&client, operator).await);
    }
    let is_complete = answers.iter().all(|answer| answer.status.is_some());
    let exit = if is_complete {
        Exit::Done
    } else {
        Exit::Failed
    };
    if json {
        return Report::json(exit, &answers);
    }
    let text: String = answers.iter().map(ToString::to_string).collect();
    Report::new(exit, text).with_notes(note_differing_versions(&answers))
}

async fn query(client: &client::Client, operator: &SmolStr) -> Answer {
    let result = fetch(client, operator).await;
    let error = result.as_ref().err().cloned();
    Answer {
        operator: operator.clone(),
        status: result.ok(),
        error,
    }
}

async fn fetch(client: &client::Client, operator: &SmolStr) -> Result<status::Status, SmolStr> {
    let request = client::request_without_body(Method::GET, &format!("{operator}/v1/status"))
        .map_err(|error| SmolStr::from(error.to_string()))?;
    let answer = client
        .call(request, MAX_ANSWER_BYTES, ANSWER_TIMEOUT)
        .await
        .map_err(|_| SmolStr::from("no answer"))?;
    if answer.status != StatusCode::OK {
        return Err(SmolStr::from(format!("answered {}", answer.status)));
    }
    serde_json::from_slice(&answer.body)
        .map_err(|error| SmolStr::from(format!("not a status: {error}")))
}

/// Returns a note if daemons have different versions in force, or an empty string. Versions differ for a few
/// seconds after a publication. If they differ for longer, one of the daemons is cut off.
fn note_differing_versions(answers: &[Answer]) -> String {
    let statuses = answers.iter().filter_map(|answer| answer.status.as_ref());
    let versions: BTreeSet<u64> = statuses.map(|status| status.version).collect();
    if versions.len() < 2 {
        return String::new();
    }
    let versions: Vec<String> = versions.iter().map(ToString::to_string).collect();
    format!("different versions are in force: {}", versions.join(", "))
}

impl fmt::Display for Answer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let operator = &self.operator;
        match &self.status {
            Some(status) => write!(f, "{operator}: {}", format_status(status)?),
            None => {
                let error = self.error.as_deref().unwrap_or("no answer");
                writeln!(f, "{operator}: {error}")
            }
        }
    }
}

/// Formats a status as a summary line, followed by one line for each steward, replica, member and queue.
fn format_status(status: &status::Status) -> Result<String, fmt::Error> {
    let mut text = String::new();
    let ready = match (status.ready, status.reason.as_str()) {
        (true, _) => "ready".to_owned(),
        (false, "") => "not ready".to_owned(),
        (false, reason) => format!("not ready ({reason})"),
    };
    let log = match status.log.readable {
        true => format!("log read up to {}", status.log.next),
        false => format!("log out of reach since {}", status.log.next),
    };
    let instance = &status.instance;
    let version = status.version;
    writeln!(text, "{instance}, {ready}, version {version}, {log}")?;
    for steward in &status.stewards {
        let status::Steward { group, by, epoch } = steward;
        writeln!(text, "  group {group}: steward {by}, epoch {epoch}")?;
    }
    for right in &status.rights {
        let status::Right {
            server,
            item,
            state,
            pins,
            memory_mb,
        } = right;
        writeln!(
            text,
            "  {server}: {item} {state}, {memory_mb} MB, {pins} pins"
        )?;
    }
    for member in &status.members {
        let state = format!("{:?}", member.state).to_lowercase();
        writeln!(text, "  instance {}: {state}", member.instance)?;
    }
    for queue in &status.queues {
        writeln!(text, "  model {}: {} waiting", queue.model, queue.waiting)?;
    }
    Ok(text)
}
