//! Exchange of facts of crashes with standbys, and questions about streams to them, for instances without a link to a steward.

use std::sync::Arc;
use std::time::Duration;

use fireflywheel::fleet::frame;
use fireflywheel::fleet::lease;
use fireflywheel::fleet::origin;
use tokio::time;

use super::links;
use super::platform;
use super::steward;

/// How long an exchange may take.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(400);
/// Minimum interval between two exchanges of an instance.
const MIN_INTERVAL: Duration = Duration::from_millis(40);
/// Interval between two exchanges of an instance that has nothing new.
const POLL_INTERVAL: Duration = Duration::from_millis(150);
/// That interval grows by this much per instance above it, so that the standbys receive a bounded number of them.
const POLL_INTERVAL_PER_INSTANCE: Duration = Duration::from_millis(2);

/// Exchanges facts with the standbys while this instance has no link to a steward: with all of them when there is news, and
/// otherwise with one at a time. Never returns.
pub async fn run<P>(steward: Arc<steward::Steward<P>>)
where
    P: platform::Platform,
{
    let node = &steward.node;
    loop {
        let instances = u32::try_from(node.instance_count()).unwrap_or(u32::MAX);
        let interval = POLL_INTERVAL.max(POLL_INTERVAL_PER_INSTANCE * instances);
        let has_news = time::timeout(interval, node.facts_changed.notified())
            .await
            .is_ok();
        if steward.is_linked() || steward.is_active() {
            continue;
        }
        if has_news {
            for standby in steward.other_standbys() {
                tokio::spawn(exchange(Arc::clone(&steward), standby));
            }
        } else if let Some(standby) = steward.random_standby() {
            tokio::spawn(exchange(Arc::clone(&steward), standby));
        }
        time::sleep(MIN_INTERVAL).await;
    }
}

/// Asks the standbys, some of which keep the steward's streams, where streams began, while this instance has no link to a
/// steward. Never returns.
pub async fn ask_origins<P>(steward: Arc<steward::Steward<P>>)
where
    P: platform::Platform,
{
    let node = &steward.node;
    loop {
        node.queries_changed.notified().await;
        if steward.is_linked() || steward.is_active() {
            continue;
        }
        let queries = node.take_queries();
        if queries.is_empty() {
            continue;
        }
        node.handle_kept_replies(steward.answer_by_kept(queries.clone()));
        for standby in steward.other_standbys() {
            tokio::spawn(ask_origins_of(
                Arc::clone(&steward),
                standby,
                queries.clone(),
            ));
        }
        time::sleep(MIN_INTERVAL).await;
    }
}

async fn ask_origins_of<P>(
    steward: Arc<steward::Steward<P>>,
    peer: lease::Record,
    queries: Vec<origin::Query>,
) where
    P: platform::Platform,
{
    let node = &steward.node;
    let frame = frame::Frame::OriginQueries(queries);
    let asked = links::ask(node.platform.network(), &peer.address, &frame);
    match time::timeout(EXCHANGE_TIMEOUT, asked).await {
        Ok(Ok(frame::Frame::Origins(replies))) => node.handle_kept_replies(replies),
        Ok(Ok(_)) => {}
        Ok(Err(error)) => {
            let why = error.to_string();
            log::debug!(instance = peer.instance.as_str(), why = why.as_str(); "no answer about streams");
        }
        Err(_) => log::debug!(instance = peer.instance.as_str(); "no answer about streams in time"),
    }
}

async fn exchange<P>(steward: Arc<steward::Steward<P>>, peer: lease::Record)
where
    P: platform::Platform,
{
    let node = &steward.node;
    let frame = frame::Frame::Facts(node.facts());
    let asked = links::ask(node.platform.network(), &peer.address, &frame);
    let exchanged = time::timeout(EXCHANGE_TIMEOUT, asked).await;
    match exchanged {
        Ok(Ok(frame::Frame::Facts(facts))) => node.merge_facts(&facts, false),
        Ok(Ok(_)) => {}
        Ok(Err(error)) => {
            let why = error.to_string();
            log::debug!(instance = peer.instance.as_str(), why = why.as_str(); "no exchange of facts");
        }
        Err(_) => log::debug!(instance = peer.instance.as_str(); "no exchange of facts in time"),
    }
}
