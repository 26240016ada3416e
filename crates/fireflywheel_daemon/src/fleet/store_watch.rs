//! Keeps the configuration and the directory of backend servers up to date.
//!
//! Each call to the store costs money. The configuration rarely changes, so it is read by long polling. Entries of
//! servers change all the time, so the directory is read at intervals, which are short enough to take a leaving
//! server out of use within the leaving deadline. An instance with a link to the steward reads neither as long as the
//! steward's own reads are recent: the steward sends it the changes.

use std::sync::Arc;
use std::time::Duration;

use fireflywheel::clock;
use fireflywheel::fleet::freshness;
use tokio::time;

use super::node;
use super::platform;

/// Number of reads of the directory within the leaving deadline.
const READS_PER_LEAVING_DEADLINE: u32 = 3;
/// Number of long polls for the configuration that fit into the configuration deadline. A store that is about to drop
/// its history may not end a poll when there is a change, and the next poll must still be in time.
const POLLS_PER_CONFIG_DEADLINE: u32 = 2;
/// The same for the steward, whose reads replace those of all other instances and must be recent.
const STEWARD_POLLS_PER_CONFIG_DEADLINE: u32 = 4;
/// Number of waits for the steward's update that fit into the configuration deadline. An instance waits once after the
/// steward has announced a configuration, and then reads the store.
const UPDATES_PER_CONFIG_DEADLINE: u32 = 4;
/// Delay between two pages of a large directory when an instance reads it for the first time.
const FIRST_READ_PAGE_DELAY: Duration = Duration::from_millis(400);
/// Interval at which expired idle connections are closed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Logs once when the reads of a dependency begin to fail, and when they work again.
struct ReadLog {
    name: &'static str,
    lost: Option<clock::Instant>,
}

impl ReadLog {
    fn new(name: &'static str) -> Self {
        Self { name, lost: None }
    }

    fn record_success(&mut self, now: clock::Instant) {
        if let Some(lost) = self.lost.take() {
            let away = clock::millis(now.since(lost));
            log::info!(dependency = self.name, away_ms = away; "dependency regained");
        }
    }

    fn record_failure(&mut self, now: clock::Instant, why: &str) {
        if self.lost.is_none() {
            log::warn!(dependency = self.name, why = why; "dependency lost");
            self.lost = Some(now);
        }
    }

    /// Records that the steward reads the dependency for this instance, whose next own read may be much later.
    fn record_steward_read(&mut self) {
        self.lost = None;
    }
}

/// Keeps the configuration up to date. Never returns.
pub async fn follow_config<P>(node: Arc<node::Node<P>>)
where
    P: platform::Platform,
{
    let mut read_log = ReadLog::new("configuration");
    let mut has_changed = false;
    loop {
        if node.steward_reads_valid() {
            read_log.record_steward_read();
        }
        let wait = wait_until_read_needed(&node, true).await;
        node.wait_for_store().await;
        // A read that returns a change counts as of its start, which may be most of the deadline ago. The next one
        // doesn't wait, so that the configuration doesn't seem outdated.
        let wait = if has_changed {
            Duration::ZERO
        } else {
            node.store_wait(wait)
        };
        let read_started = node.now();
        // What the steward has sent is not read again.
        let from = node.config_read_to();
        let mut cursor = platform::ConfigCursor { next: from };
        let timeout = node::ANSWER_TIMEOUT;
        // The answer may be seconds away while all instances read at once. It isn't needed once the steward has sent the
        // configuration.
        let result = tokio::select! {
            result = node.platform.poll_config(&mut cursor, wait, timeout) => result,
            () = wait_for_steward_config(&node) => continue,
        };
        node.record_store_call("configuration", result.is_ok(), node.platform.era());
        match result {
            Ok(config) => {
                read_log.record_success(node.now());
                let read = freshness::Read {
                    started: read_started,
                    ended: node.now(),
                    wait,
                    has_change: config.is_some(),
                };
                has_changed = read.has_change;
                if let Some(config) = config {
                    node.apply_config(config, node::ConfigSource::Own);
                }
                node.record_config_read(read.as_of(), from, cursor.next);
            }
            Err(error) => {
                read_log.record_failure(node.now(), &error.to_string());
                node.config_read_failed();
            }
        }
    }
}

/// Keeps the directory up to date. Never returns.
pub async fn follow_directory<P>(node: Arc<node::Node<P>>)
where
    P: platform::Platform,
{
    let mut cursor = P::DirectoryCursor::default();
    let mut read_log = ReadLog::new("directory");
    let mut first = true;
    let interval = node.settings.leaving_deadline / READS_PER_LEAVING_DEADLINE;
    loop {
        let had_steward_reads = has_steward_directory(&node);
        if had_steward_reads {
            read_log.record_steward_read();
            wait_until_read_needed(&node, false).await;
        }
        // The whole directory is read again in these cases. After a time of steward reads, the missed changes
        // outnumber the entries, and a read that was cancelled has returned only a part. A link may have sent entries
        // older than those read here: an incremental read would never report again that such a server is gone, and
        // callers of its models would be sent there for good.
        if node.take_steward_entries_received() || had_steward_reads {
            cursor = P::DirectoryCursor::default();
        }
        node.wait_for_store().await;
        if has_steward_directory(&node) {
            continue;
        }
        let read_started = node.now();
        // A whole directory of thousands of entries occupies a slow network connection for seconds and delays the
        // steward's frames, so the read is cancelled once the steward's reads are valid.
        let timeout = node::ANSWER_TIMEOUT;
        let result = tokio::select! {
            result = node.platform.read_directory(&mut cursor, read_started, timeout, || page_delay(&node, first)) => result,
            () = wait_for_steward_reads(&node) => continue,
        };
        node.record_store_call("directory", result.is_ok(), node.platform.era());
        let now = node.now();
        match result {
            Ok(update) => {
                read_log.record_success(now);
                first = false;
                let era = node.platform.era().unwrap_or_default();
                node.record_directory_read(read_started, era);
                node.update_directory(update);
                time::sleep(interval.saturating_sub(now.since(read_started))).await;
            }
            Err(error) => {
                read_log.record_failure(now, &error.to_string());
            }
        }
    }
}

/// Returns the delay between two pages of the directory. On the first read, most instances have a link to the steward
/// before they have read a second page and no longer need it. If all instances continued without a delay, they would
/// saturate the network links over which they have to reach the steward.
fn page_delay<P>(node: &node::Node<P>, first: bool) -> Duration
where
    P: platform::Platform,
{
    // Later reads must take a leaving server out of use within the leaving deadline.
    if !first || node.is_acting_steward() || node.is_standby() {
        Duration::ZERO
    } else {
        FIRST_READ_PAGE_DELAY
    }
}

/// Whether the steward's reads of the directory replace this instance's own.
fn has_steward_directory<P>(node: &node::Node<P>) -> bool
where
    P: platform::Platform,
{
    node.steward_reads_valid() && !node.needs_directory_read(directory_patience(node))
}

/// How long the steward may know less of the directory than this instance does until the instance reads it itself.
fn directory_patience<P>(node: &node::Node<P>) -> Duration
where
    P: platform::Platform,
{
    node.settings.leaving_deadline / READS_PER_LEAVING_DEADLINE
}

/// Waits until the steward's reads replace this instance's own.
async fn wait_for_steward_reads<P>(node: &node::Node<P>)
where
    P: platform::Platform,
{
    let mut changes = node.steward_reads.subscribe();
    while !has_steward_directory(node) {
        if changes.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// Waits until the steward's reads replace this instance's own, and this instance has the steward's configuration.
async fn wait_for_steward_config<P>(node: &node::Node<P>)
where
    P: platform::Platform,
{
    let mut changes = node.steward_reads.subscribe();
    while !node.steward_reads_valid() || node.config_lag().is_some() || node.config().is_none() {
        if changes.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// Waits while the steward's reads replace this instance's own. With `for_config`, the wait also ends when the steward
/// knows of a newer configuration than this instance and its update doesn't arrive. Returns how long the next read may
/// wait for a change.
async fn wait_until_read_needed<P>(node: &node::Node<P>, for_config: bool) -> Duration
where
    P: platform::Platform,
{
    let mut changes = node.steward_reads.subscribe();
    let mut were_valid = false;
    loop {
        let steward_reads = *changes.borrow_and_update();
        let now = node.now();
        let mut left = steward_reads
            .valid_until
            .map_or(Duration::ZERO, |until| until.since(now));
        if left.is_zero() {
            if for_config && were_valid {
                let age = steward_reads
                    .read
                    .map_or(Duration::ZERO, |read| now.since(read));
                log::info!(age_ms = clock::millis(age); "steward's reads expired; reading the configuration from the store");
            }
            let polls = if node.is_acting_steward() {
                STEWARD_POLLS_PER_CONFIG_DEADLINE
            } else {
                POLLS_PER_CONFIG_DEADLINE
            };
            let wait = node.settings.config_deadline / polls;
            // A standby must show without delay whether the store answers it.
            let may_wait = !node.is_standby() || node.config_age() < wait;
            return if may_wait { wait } else { Duration::ZERO };
        }
        were_valid = true;
        if !for_config && node.misses_directory() {
            let patience = directory_patience(node);
            if node.needs_directory_read(patience) {
                return Duration::ZERO;
            }
            left = left.min(patience);
        }
        if for_config && let Some(lag) = node.config_lag() {
            let timeout = if steward_reads.config.is_some() {
                node.settings.config_deadline / UPDATES_PER_CONFIG_DEADLINE
            } else {
                Duration::ZERO
            };
            if lag >= timeout {
                return Duration::ZERO;
            }
            left = left.min(timeout.saturating_sub(lag));
        }
        // The state is checked again after a change as well as after the timeout.
        let _ = time::timeout(left, changes.changed()).await;
    }
}

/// Closes expired idle connections at an interval. Never returns.
pub async fn sweep_connections<P>(node: Arc<node::Node<P>>)
where
    P: platform::Platform,
{
    loop {
        time::sleep(SWEEP_INTERVAL).await;
        node.pool.sweep(node.now());
        node.remove_missing_servers();
        node.sweep_origins();
        node.sweep_quarantine();
        node.probe_failing_paths();
        let (held, given_up) = node.memory.figures();
        node.metrics.set_held_bytes(held, given_up);
    }
}
