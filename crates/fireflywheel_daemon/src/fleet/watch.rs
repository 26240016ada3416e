//! Following the configuration and the directory of backend servers.
//!
//! Each call to the store costs money. The configuration rarely changes, so one call waits for it; entries of
//! servers change all the time, so they are read now and then, as often as a server that leaves must be obeyed.
//! An instance with a link to the steward reads neither, as long as the steward's own reads are young: it is told.

use std::sync::Arc;
use std::time::Duration;

use fireflywheel::clock;
use fireflywheel::fleet::era::Era;
use tokio::time;

use super::node;
use super::platform;

/// Entries that lapsed while the store was away, or that an older copy doesn't have, are back within this time of its return.
const LAPSED: Duration = Duration::from_millis(2300);
/// The directory is read this many times while a server that leaves must be obeyed.
const READS: u32 = 3;
/// A read of the configuration waits this many times while a configuration must be in force: a store that is
/// about to drop its history may not end the wait when there is news, and the next read must still be in time.
const WAITS: u32 = 2;
/// The same at the steward, whose reads stand for those of all others and must be young.
const RELAY_WAITS: u32 = 4;
/// Time between two parts of a large directory when an instance reads it for the first time.
const PAGE_PAUSE: Duration = Duration::from_millis(400);
/// Unused connections are looked for this often.
const SWEEP: Duration = Duration::from_millis(250);

/// Tells when a dependency is lost and regained, once each.
struct Contact {
    name: &'static str,
    lost: Option<clock::Instant>,
    regained: Option<clock::Instant>,
}

impl Contact {
    fn new(name: &'static str) -> Self {
        Self {
            name,
            lost: None,
            regained: None,
        }
    }

    fn good(&mut self, now: clock::Instant) {
        if let Some(lost) = self.lost.take() {
            let away = clock::millis(now.since(lost));
            log::info!(dependency = self.name, away_ms = away; "dependency regained");
            self.regained = Some(now);
        }
    }

    fn bad(&mut self, now: clock::Instant, why: &str) {
        if self.lost.is_none() {
            log::warn!(dependency = self.name, why = why; "dependency lost");
            self.lost = Some(now);
        }
    }

    /// Whether it came back only a moment ago.
    fn is_fresh(&self, now: clock::Instant) -> bool {
        self.regained.is_some_and(|at| now.since(at) < LAPSED)
    }
}

/// Tells when the store came back from an older copy, whose entries the servers write again.
#[derive(Default)]
struct Restored {
    era: Option<Era>,
    since: Option<clock::Instant>,
}

impl Restored {
    fn read(&mut self, now: clock::Instant, era: Era) {
        let before = self.era.replace(era);
        if before.is_some_and(|before| before < era) {
            self.since = Some(now);
        }
    }

    /// Whether it came back only a moment ago.
    fn is_fresh(&self, now: clock::Instant) -> bool {
        self.since.is_some_and(|since| now.since(since) < LAPSED)
    }
}

/// Follows the configuration for ever.
pub async fn configuration<P>(node: Arc<node::Node<P>>)
where
    P: platform::Platform,
{
    let mut cursor = P::ConfigCursor::default();
    let mut contact = Contact::new("configuration");
    loop {
        let wait = until_needed(&node, true).await;
        node.wait_for_store().await;
        let wait = node.store_wait(wait);
        let asked = node.now();
        let result = node.platform.configuration(&mut cursor, wait).await;
        node.record_store_call("configuration", result.is_ok());
        match result {
            Ok(config) => {
                contact.good(node.now());
                // The answer to a read that waited is as old as its end.
                node.record_config_read(asked.after(wait).min(node.now()));
                if let Some(config) = config {
                    node.apply_config(Arc::new(config), node::ConfigSource::Own);
                }
            }
            Err(fault) => {
                contact.bad(node.now(), &fault.to_string());
                node.config_read_failed();
            }
        }
    }
}

/// Follows the directory for ever.
pub async fn directory<P>(node: Arc<node::Node<P>>)
where
    P: platform::Platform,
{
    let mut cursor = P::DirectoryCursor::default();
    let mut contact = Contact::new("directory");
    let mut first = true;
    let mut restored = Restored::default();
    let interval = node.settings.leaving_deadline / READS;
    loop {
        let relayed = node.steward_reads_valid();
        if relayed {
            until_needed(&node, false).await;
        }
        // After a relayed span more was missed than there is, and a read that was ended has told of a part only. And a link may have told of entries that are older
        // than what was read here: reads of changes would never say again that such a server is gone, and callers
        // of its models would be sent there for good.
        if node.take_entries_told() || relayed {
            cursor = P::DirectoryCursor::default();
        }
        node.wait_for_store().await;
        if node.steward_reads_valid() {
            continue;
        }
        let asked = node.now();
        // A whole directory of thousands of entries takes a slow link for seconds, and with it all that the steward tells.
        let result = tokio::select! {
            result = node.platform.directory(&mut cursor, asked, || page_pause(&node, first)) => result,
            () = until_relayed(&node) => continue,
        };
        node.record_store_call("directory", result.is_ok());
        let now = node.now();
        match result {
            Ok(news) => {
                contact.good(now);
                first = false;
                let era = node.platform.era().unwrap_or_default();
                node.record_directory_read(asked, era);
                restored.read(now, era);
                let patience = if contact.is_fresh(now) || restored.is_fresh(now) {
                    LAPSED
                } else {
                    Duration::ZERO
                };
                node.update_directory(news, patience);
                time::sleep(interval.saturating_sub(now.since(asked))).await;
            }
            Err(fault) => {
                contact.bad(now, &fault.to_string());
            }
        }
    }
}

/// Most instances have a link to the steward before they have read a second part of a large directory, and need it no more.
/// If all went on at once, they would take up the links over which the steward is to be reached.
fn page_pause<P>(node: &node::Node<P>, first: bool) -> Duration
where
    P: platform::Platform,
{
    // Later a server that leaves must be obeyed in time.
    if !first || node.is_acting_steward() || node.is_standby() {
        Duration::ZERO
    } else {
        PAGE_PAUSE
    }
}

/// Waits until the steward's reads stand for this instance's own.
async fn until_relayed<P>(node: &node::Node<P>)
where
    P: platform::Platform,
{
    let mut changes = node.steward_reads.subscribe();
    while !node.steward_reads_valid() {
        if changes.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// Waits as long as the steward's reads stand for this instance's own; with `config`, until it has heard of a
/// configuration that this instance doesn't have. Returns how long the next read may wait for news.
async fn until_needed<P>(node: &node::Node<P>, config: bool) -> Duration
where
    P: platform::Platform,
{
    let mut changes = node.steward_reads.subscribe();
    loop {
        let relayed = *changes.borrow_and_update();
        let now = node.now();
        let left = relayed
            .until
            .map_or(Duration::ZERO, |until| until.since(now));
        if left.is_zero() {
            let waits = if node.is_acting_steward() {
                RELAY_WAITS
            } else {
                WAITS
            };
            let wait = node.settings.config_deadline / waits;
            // A standby has to show at once whether the store answers it.
            let shown = !node.is_standby() || node.config_age() < wait;
            return if shown { wait } else { Duration::ZERO };
        }
        let newest = node.config().map_or(0, |config| config.version);
        if config && relayed.version > newest {
            return Duration::ZERO;
        }
        // Either way the state is looked at again.
        let _ = time::timeout(left, changes.changed()).await;
    }
}

/// Closes unused connections for ever.
pub async fn sweep<P>(node: Arc<node::Node<P>>)
where
    P: platform::Platform,
{
    loop {
        time::sleep(SWEEP).await;
        node.pool.sweep(node.now());
    }
}
