//! Keeps the streams of groups with several versions in the store, where the next steward finds them if all that knew them have
//! ended.

use std::sync::Arc;
use std::time::Duration;

use fireflywheel::clock;
use fireflywheel::fleet::origin;
use tokio::time;

use super::super::platform;
use super::Steward;
use super::state::State;

/// Delay until the store is called again after a call without a usable answer.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Interval between checks for a group that has got a second version.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

impl<P> Steward<P>
where
    P: platform::Platform,
{
    /// Reads and writes the streams in the store while this instance is the active steward. Never returns.
    pub async fn keep_journal(self: Arc<Self>) {
        loop {
            let (needs_read, next_write_in) = self.journal_work();
            let is_answered = match next_write_in {
                _ if needs_read => self.read_journal().await,
                Some(Duration::ZERO) => self.write_journal().await,
                _ => true,
            };
            let delay = match self.journal_work() {
                _ if !is_answered => RETRY_DELAY,
                (true, _) => Duration::ZERO,
                (false, Some(next_write_in)) => next_write_in.max(origin::WRITE_INTERVAL / 2),
                (false, None) => CHECK_INTERVAL,
            };
            if is_answered && delay > origin::WRITE_INTERVAL {
                let _ = time::timeout(delay, self.journal_wake.notified()).await;
            } else {
                time::sleep(delay).await;
            }
        }
    }

    /// Whether streams must be read from the store, and how long until some may be written.
    fn journal_work(&self) -> (bool, Option<Duration>) {
        let now = self.node.now();
        let state = self.lock();
        let mut groups = state.stream_groups.iter();
        let is_needed = groups.any(|group| self.node.has_several_versions(group));
        if state.active_fencing.is_none() || !is_needed {
            return (false, None);
        }
        let next_write_in = state.journal.next_write_in(now);
        (!state.journal.is_loaded(), next_write_in)
    }

    /// Whether a stream of a group that this steward doesn't know may still be found in the store.
    pub(super) fn is_journal_missing(&self, state: &State, group: &str) -> bool {
        !state.journal.is_loaded() && self.node.has_several_versions(group)
    }

    /// Reads the streams that earlier stewards have written. Returns whether the store has answered.
    async fn read_journal(&self) -> bool {
        let fencing = self.lock().active_fencing;
        let began = self.node.now();
        let result = self.node.platform.read_streams().await;
        self.node
            .metrics
            .count_store_call("read streams", result.is_ok());
        let batches = match result {
            Ok(batches) => batches,
            Err(error) => {
                log::info!(why = error.to_string().as_str(); "could not read streams from the store");
                return false;
            }
        };
        let now = self.node.now();
        let mut state = self.lock();
        if state.active_fencing != fencing {
            return true;
        }
        let State {
            journal, origins, ..
        } = &mut *state;
        let records = journal.load(now, &batches, origins.records());
        let count = records.len();
        for record in records {
            origins.insert(now, record);
        }
        drop(state);
        log::info!(
            batches = batches.len() as u64, streams = count as u64, took_ms = clock::millis(now.since(began));
            "streams read from the store"
        );
        true
    }

    /// Writes the next batch of streams. Returns whether the store has answered.
    async fn write_journal(&self) -> bool {
        let now = self.node.now();
        let is_needed = |group: &str| self.node.has_several_versions(group);
        let Some(batch) = self.lock().journal.take(now, is_needed) else {
            return true;
        };
        let result = self.node.platform.write_streams(&batch).await;
        self.node
            .metrics
            .count_store_call("write streams", result.is_ok());
        if let Err(error) = result {
            let is_final = matches!(error, platform::StoreError::Refused(400 | 403 | 413));
            log::info!(batch = batch.number, dropped = is_final, why = error.to_string().as_str(); "could not write streams to the store");
            if is_final {
                self.lock().journal.record_refused(batch.number);
            }
            return false;
        }
        self.node
            .metrics
            .count_stored_streams(batch.records().count());
        self.lock().journal.record_written(now, batch.number);
        true
    }
}
