//! Whose turn it is to call the platform's store.

use std::time::Duration;

use tokio::time;

use super::Node;

/// The steward's reads and renewals stand for the whole fleet, and its few standbys should be first when the store is
/// back: while it fails, they try again after this at the latest, so that several tries fit into a term.
const STEWARD_PAUSE: Duration = Duration::from_millis(300);
/// Others try again this many times while a change must be obeyed that is accepted as soon as the store is back.
const TRIES: u32 = 3;

impl<P> Node<P>
where
    P: Send + Sync,
{
    /// Waits until this instance may call the store.
    pub async fn wait_for_store(&self) {
        loop {
            let back = self.store_recovered.notified();
            tokio::pin!(back);
            // From here on a success elsewhere isn't missed.
            back.as_mut().enable();
            let left = self.claim_store();
            if left.is_zero() {
                return;
            }
            tokio::select! {
                () = &mut back => {}
                () = time::sleep(left) => {}
            }
        }
    }

    /// The steward has named this instance a standby, or not.
    pub fn set_standby(&self, standby: bool) {
        self.lock().standby = standby;
    }

    /// Whether the steward has named this instance a standby.
    #[must_use]
    pub fn is_standby(&self) -> bool {
        self.lock().standby
    }

    /// Whether the last call to the store had no usable answer.
    #[must_use]
    pub fn store_fails(&self) -> bool {
        self.lock().store.is_failing()
    }

    /// How long a read may wait at the store for news that usually waits for `usual`.
    #[must_use]
    pub fn store_wait(&self, response_times: Duration) -> Duration {
        self.lock().store.wait(response_times)
    }

    /// The store answered a call, or there was no usable answer.
    pub fn record_store_call(&self, call: &str, answered: bool) {
        self.metrics.count_store_call(call, answered);
        let now = self.now();
        let most = self.longest_pause();
        let mut state = self.lock();
        if !answered {
            state.store.record_failure(now, most, rand::random());
        } else if state.store.record_success() {
            drop(state);
            self.store_recovered.notify_waiters();
        }
    }

    /// The steward reads the store, so it is back, whatever this instance's last call met.
    pub fn record_store_recovery(&self) {
        if self.lock().store.record_success() {
            self.store_recovered.notify_waiters();
        }
    }

    fn claim_store(&self) -> Duration {
        let now = self.now();
        let most = self.longest_pause();
        self.lock().store.claim(now, most, rand::random())
    }

    fn longest_pause(&self) -> Duration {
        if self.is_acting_steward() || self.lock().standby {
            STEWARD_PAUSE
        } else {
            self.settings
                .leaving_deadline
                .min(self.settings.config_deadline)
                / TRIES
        }
    }
}
