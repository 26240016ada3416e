//! Coordinates the calls to the platform's store.

use std::time::Duration;

use fireflywheel::clock::{self, Instant};
use fireflywheel::fleet::availability;
use fireflywheel::fleet::era::Era;
use tokio::time;

use super::Node;
use super::state::State;

/// Maximum delay between attempts of the steward and its standbys to call the store while it fails, so that
/// several attempts fit into a lease term. The steward's reads and renewals serve the whole fleet, and its
/// few standbys should come first when the store has recovered.
const MAX_STEWARD_RETRY_DELAY: Duration = Duration::from_millis(300);
/// How long a read may go without a byte of its answer. It is several times the response time of a slow store, and short
/// enough that a connection which stops responding does not delay a configuration beyond the time within which it must
/// be in force.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(1000);
/// Number of attempts that other instances make within the time in which they must apply a change that is
/// accepted as soon as the store has recovered.
const ATTEMPTS_PER_DEADLINE: u32 = 3;

impl<P> Node<P>
where
    P: Send + Sync,
{
    /// Waits until this instance may call the store.
    pub async fn wait_for_store(&self) {
        loop {
            let recovered = self.store_recovered.notified();
            tokio::pin!(recovered);
            // Enabled before the check, so that a recovery in between is not missed.
            recovered.as_mut().enable();
            let delay = self.reserve_store_call();
            if delay.is_zero() {
                return;
            }
            tokio::select! {
                () = &mut recovered => {}
                () = time::sleep(delay) => {}
            }
        }
    }

    /// Sets whether the steward has named this instance a standby.
    pub fn set_standby(&self, standby: bool) {
        self.lock().is_standby = standby;
    }

    /// Whether the steward has named this instance a standby.
    #[must_use]
    pub fn is_standby(&self) -> bool {
        self.lock().is_standby
    }

    /// Whether a call to the store has failed, and neither a later call nor the steward has shown since that
    /// the store has recovered.
    #[must_use]
    pub fn is_store_failing(&self) -> bool {
        self.lock().store_backoff.is_failing()
    }

    /// How long a read may wait at the store for changes, if it usually waits for `usual_wait`.
    #[must_use]
    pub fn store_wait(&self, usual_wait: Duration) -> Duration {
        self.lock().store_backoff.long_poll_wait(usual_wait)
    }

    /// Records whether a call to the store had a usable answer. `era` is the store's, as far as it is known.
    pub fn record_store_call(&self, call: &str, answered: bool, era: Option<Era>) {
        self.metrics.count_store_call(call, answered);
        let now = self.now();
        let max_delay = self.max_retry_delay();
        let mut state = self.lock();
        state.observe_store(now, "own call", |state| {
            state.enter_era(now, era);
            if answered {
                state.availability.record_answer(now);
            } else {
                state.availability.record_failure(now);
            }
        });
        if !answered {
            state
                .store_backoff
                .record_failure(now, max_delay, rand::random());
        } else if state.store_backoff.record_success() {
            drop(state);
            self.store_recovered.notify_waiters();
        }
    }

    /// Merges what another instance has reported of the store in this era, at some time since `earliest`.
    pub fn merge_store_report(
        &self,
        earliest: Instant,
        era: Option<Era>,
        report: Option<availability::Report>,
    ) {
        let now = self.now();
        let mut state = self.lock();
        state.observe_store(now, "report", |state| {
            state.enter_era(now, era);
            if let Some(report) = report.filter(|_| era == state.availability_era) {
                state.availability.merge(earliest, now, &report);
            }
        });
    }

    /// What other instances should know of the store's answers.
    #[must_use]
    pub fn store_report(&self) -> Option<availability::Report> {
        let now = self.now();
        self.lock().availability.report(now)
    }

    /// Records that the store has recovered, since the steward reads it, whatever the result of this
    /// instance's last call.
    pub fn record_store_recovery(&self) {
        if self.lock().store_backoff.record_success() {
            self.store_recovered.notify_waiters();
        }
    }

    /// Returns how long to wait before a call to the store. Zero reserves the call.
    fn reserve_store_call(&self) -> Duration {
        let now = self.now();
        let max_delay = self.max_retry_delay();
        self.lock()
            .store_backoff
            .reserve_call(now, max_delay, rand::random())
    }

    fn max_retry_delay(&self) -> Duration {
        if self.is_acting_steward() || self.lock().is_standby {
            MAX_STEWARD_RETRY_DELAY
        } else {
            self.settings
                .leaving_deadline
                .min(self.settings.config_deadline)
                / ATTEMPTS_PER_DEADLINE
        }
    }
}

impl State {
    /// Records the store's era. Without a known one before, a later one is no restore.
    fn enter_era(&mut self, now: Instant, era: Option<Era>) {
        if era <= self.availability_era {
            return;
        }
        if self.availability_era.is_some() {
            self.availability.record_restore(now);
        }
        self.availability_era = era;
    }

    /// Applies news of the store, and logs once if they show that it is back, and if they refute that.
    fn observe_store<F>(&mut self, now: Instant, source: &str, apply: F)
    where
        F: FnOnce(&mut Self),
    {
        let was_back = self.availability.may_come_back(now);
        let before = self.availability.last_return();
        apply(self);
        let after = self.availability.last_return();
        match (was_back, self.availability.may_come_back(now)) {
            (false, true) => {
                let since = after.map_or(Duration::ZERO, |known| now.since(known.at));
                let outage = after.and_then(|known| known.outage);
                log::info!(
                    source = source, since_ms = clock::millis(since), outage_ms = outage.map_or(0, clock::millis);
                    "store is back; entries may be missing"
                );
            }
            (true, false) => {
                let outage = before.and_then(|known| known.outage);
                log::info!(source = source, outage_ms = outage.map_or(0, clock::millis); "store was not away, or is back for longer");
            }
            (true, true) | (false, false) => {}
        }
    }
}
