//! Publishes a configuration, as the operators' command-line tool does.

use std::time::Duration;

use fireflywheel::document;
use fireflywheel_cli::publish;
use fireflywheel_daemon::{client, platform};
use tokio::time;

use crate::platform::Platform;

const PUBLISH_TIMEOUT: Duration = Duration::from_secs(10);

/// Publishes a document that is based on version `base`, and returns its version.
///
/// # Errors
///
/// When the document isn't accepted.
pub async fn publish(
    platform: &Platform,
    document: &document::Document,
    base: u64,
) -> anyhow::Result<u64> {
    let log = platform::log::Http::new(client::Client::new(), platform.log.clone());
    let deadline = time::Instant::now() + PUBLISH_TIMEOUT;
    let publication =
        publish::Publication::new(document.to_string(), deadline).with_base(Some(base));
    match publish::publish(&log, &publication, |_, _| {}).await {
        publish::Outcome::Accepted { version } => Ok(version),
        other => anyhow::bail!("the configuration was not accepted: {other}"),
    }
}
