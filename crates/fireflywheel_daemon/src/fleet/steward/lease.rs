//! Takes, renews and hands over the lease.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use fireflywheel::clock;
use fireflywheel::fleet::era::Position;
use fireflywheel::fleet::frame;
use fireflywheel::fleet::lease;
use fireflywheel::fleet::successor;
use smol_str::SmolStr;
use tokio::time;

use super::super::platform;
use super::Steward;
use super::state::State;

/// Maximum interval between reads while this instance watches another one's lease. It sees a term lapse
/// without a read, so a read only finds a lease that was released or handed over.
const MAX_WATCH_INTERVAL: Duration = Duration::from_millis(1000);
/// Interval between checks while there is nothing to do.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Upper bound of the random delay before a takeover, in milliseconds, so that instances that see the lease
/// lapse do not all write at once.
const MAX_TAKEOVER_JITTER_MS: u64 = 60;
/// Delay before an instance with a whole processor takes over a lapsed lease. An instance with a tenth of a
/// processor waits ten times as long.
const BASE_TAKEOVER_DELAY: Duration = Duration::from_millis(20);
/// Additional delay before an instance that is not a standby takes over: a standby that waits for the store
/// to recover retries after 300 ms at the latest. If the weakest instance came first, it could not open the
/// links of a large fleet for seconds.
const NON_STANDBY_DELAY: Duration = Duration::from_millis(400);
/// CPU share below which the delay before a takeover no longer grows.
const MIN_CPU_SHARE: f64 = 0.05;

/// The steward's links, and what the choice of a successor needs to know of each.
pub(super) fn successor_candidates(
    now: clock::Instant,
    state: &State,
) -> (Vec<u64>, Vec<successor::Peer>) {
    let links = state.links.iter();
    links
        .map(|(number, link)| {
            let order_delay = state.lease.order_delay_of(now, &link.peer.instance);
            let candidate = link.successor_candidate(&state.engine_groups, order_delay);
            (*number, candidate)
        })
        .unzip()
}

/// Hands the lease over to the instance of a link and notifies all others. Returns whether it was handed
/// over.
fn hand_over_to(now: clock::Instant, state: &mut State, number: u64) -> bool {
    let Some(peer) = state.links.get(&number).map(|link| link.peer.clone()) else {
        return false;
    };
    let Some(hand_over) = state.lease.hand_over(now, peer) else {
        return false;
    };
    let Some(successor) = state.links.remove(&number) else {
        return false;
    };
    log::info!(
        instance = successor.peer.instance.as_str(), fencing = hand_over.fencing, cpu_share = successor.cpu_share,
        read_ms = clock::millis(successor.read_age),
        order_delay_ms = clock::millis(state.lease.order_delay_of(now, &successor.peer.instance));
        "lease handed over"
    );
    // A successor that does not read loses its link, and the lease lapses as if this instance had died.
    let _ = successor.send(&frame::Frame::HandOver(hand_over));
    state.broadcast(&frame::Frame::Moved(successor.peer));
    true
}

/// Whether no later record can have been lost.
fn is_current(reading: &lease::Reading) -> bool {
    let record = reading.record.as_ref();
    record.is_some_and(|(_, record)| record.era == Some(reading.end.era))
}

/// The groups in which earlier stewards may have recorded streams of other versions; `None` if a reading doesn't tell.
fn recorded_groups(reading: &lease::Reading, is_first_start: bool) -> Option<BTreeSet<SmolStr>> {
    match &reading.record {
        None if is_first_start && reading.end == Position::default() => Some(BTreeSet::new()),
        None => None,
        Some(_) if !is_current(reading) => None,
        Some(_) => reading.attachment.recorded_groups.clone(),
    }
}

/// The next step for the lease.
enum Task {
    Nothing,
    Read,
    Write(Position, super::Record),
}

impl<P> Steward<P>
where
    P: platform::Platform,
{
    /// Watches the lease, takes it when it is free, and renews it. Never returns.
    pub async fn keep_lease(self: Arc<Self>) {
        loop {
            if !matches!(self.lease_task(), Task::Nothing) {
                self.node.wait_for_store().await;
            }
            // Another instance may have become steward in the meantime.
            match self.lease_task() {
                Task::Nothing => {}
                Task::Read => self.read_lease().await,
                Task::Write(end, record) => {
                    if record.fencing.is_none() {
                        time::sleep(self.takeover_delay()).await;
                        // This instance may have learned of another holder in the meantime.
                        if !matches!(self.lease_task(), Task::Write(..)) {
                            continue;
                        }
                    }
                    self.write_lease(end, &record).await;
                    continue;
                }
            }
            let delay = self.lease_check_delay();
            tokio::select! {
                () = self.lease_wake.notified() => {}
                () = time::sleep(delay) => {}
            }
        }
    }

    /// Hands the lease over to another instance by its link, or else releases it so that another instance can
    /// take it at once.
    pub async fn release(&self) {
        self.settle_orders().await;
        if self.hand_over_by_link() {
            return;
        }
        let record = self.lock().lease.release();
        let Some((end, record)) = record else {
            return;
        };
        self.lock().lease.mark_lost();
        self.plan_wake.notify_one();
        let attachment = self.attachment();
        let written = self.node.platform.write_lease(end, &record, &attachment);
        let result = written.await;
        log::info!(end = end.offset, given_up = matches!(result, Ok(platform::WriteOutcome::Stored(_))); "lease released");
    }

    /// Hands the lease over by a link, which needs no store: the store may be unreachable, and reading it
    /// takes time.
    fn hand_over_by_link(&self) -> bool {
        let now = self.node.now();
        let mut state = self.lock();
        let (numbers, peers) = successor_candidates(now, &state);
        let successor = successor::for_stopping(&peers).map(|index| numbers[index]);
        let handed_over = successor.is_some_and(|number| hand_over_to(now, &mut state, number));
        drop(state);
        self.plan_wake.notify_one();
        handed_over
    }

    /// Hands over to an instance that should be steward in place of this one, if there is one. A steward
    /// stays active for at least one term: otherwise two instances that the store rejects in turn would pass
    /// the lease back and forth.
    pub(super) fn hand_over_if_needed(&self, now: clock::Instant, state: &mut State) -> bool {
        if now.since(state.role_changed_at) < self.node.settings.lease.term {
            return false;
        }
        let own = self.own_candidate(&state.engine_groups);
        let settings = &self.node.settings;
        let deadline = settings.leaving_deadline.min(settings.config_deadline);
        let (numbers, peers) = successor_candidates(now, state);
        let successor = successor::for_running(own, &peers, deadline).map(|index| numbers[index]);
        // A lease that can't be handed over must not keep this instance from sending orders.
        state.is_ceding = successor.is_some() && self.has_unsettled_orders();
        if state.is_ceding {
            return false;
        }
        successor.is_some_and(|number| hand_over_to(now, state, number))
    }

    /// What the choice of a successor needs to know of this instance.
    pub(super) fn own_candidate(&self, engine_groups: &BTreeSet<SmolStr>) -> successor::Steward {
        successor::Steward {
            is_partitioned: !self.node.lost_groups().is_disjoint(engine_groups),
            cpu_share: self.node.settings.cpu_share,
            store_fails: self.node.is_store_failing(),
            read_age: self.node.read_age(),
        }
    }

    /// Delay before this instance takes over a lapsed lease. A steward's work grows with the number of
    /// instances, so strong instances come first.
    fn takeover_delay(&self) -> Duration {
        let share = self.node.settings.cpu_share.max(MIN_CPU_SHARE);
        let jitter = Duration::from_millis(rand::random_range(0..MAX_TAKEOVER_JITTER_MS));
        let is_not_standby = self.lock().lease.is_standby() == Some(false);
        let standby_delay = if is_not_standby {
            NON_STANDBY_DELAY
        } else {
            Duration::ZERO
        };
        BASE_TAKEOVER_DELAY.div_f64(share) + jitter + standby_delay
    }

    fn lease_task(&self) -> Task {
        let now = self.node.now();
        let state = self.lock();
        let known = state.lease_known && !state.lease.needs_read();
        let holds = state.lease.release().is_some();
        let defers = state.lease.defers_to_standbys(now);
        let only_watches = (state.linked && !holds) || defers;
        if self.node.is_draining() || (only_watches && !self.node.needs_secret()) {
            return Task::Nothing;
        }
        if self.node.needs_secret() && !holds {
            return Task::Read;
        }
        let early = || {
            let lacks_versions = || self.node.has_unnamed_versions(&state.stream_groups);
            let renewal = state.lease.early_renewal();
            renewal.filter(|_| state.has_unwritten_groups() || lacks_versions())
        };
        match state.lease.proposal(now).or_else(early) {
            Some((end, record)) if known => Task::Write(end, record),
            _ if holds && known => Task::Nothing,
            _ => Task::Read,
        }
    }

    fn lease_check_delay(&self) -> Duration {
        let now = self.node.now();
        let state = self.lock();
        let due = state
            .lease
            .next_action_in(now)
            .unwrap_or(IDLE_CHECK_INTERVAL);
        let max_delay = if state.linked {
            IDLE_CHECK_INTERVAL
        } else {
            MAX_WATCH_INTERVAL
        };
        due.clamp(Duration::from_millis(5), max_delay)
    }

    /// Updates the lease to the store's era, as far as it is known. A steward pauses until its lease is
    /// written in that era.
    pub(super) fn update_era(&self, now: clock::Instant, state: &mut State) {
        let Some(era) = self.node.platform.era() else {
            return;
        };
        let was_active = state.lease.fencing(now).is_some();
        if !state.lease.enter_era(now, era) {
            return;
        }
        state.lease_known = false;
        log::info!(era = era.0, acted = was_active; "store is in a new era; reading the lease again");
        self.lease_wake.notify_one();
    }

    fn record_store_call(&self, call: &str, answered: bool) {
        let era = self.node.platform.era();
        self.node.record_store_call(call, answered, era);
    }

    async fn read_lease(&self) {
        let requested_at = self.node.now();
        let result = self.node.platform.read_lease().await;
        self.record_store_call("read lease", result.is_ok());
        match result {
            Ok(reading) => {
                let attachment = &reading.attachment;
                self.node.set_tunnel_secret(attachment.secret.clone());
                self.node
                    .extend_versions_by_record(requested_at, attachment, is_current(&reading));
                self.node.merge_verdicts(&attachment.quarantined);
                let mut state = self.lock();
                self.update_era(self.node.now(), &mut state);
                state.read_groups = recorded_groups(&reading, self.node.settings.first_start);
                state.lease.record_reading(requested_at, reading);
                state.lease_known = true;
            }
            Err(error) => {
                log::debug!(why = error.to_string().as_str(); "could not read lease");
                self.lock().lease.record_unanswered(requested_at);
            }
        }
    }

    /// What is written with the lease's record.
    fn attachment(&self) -> lease::Attachment {
        lease::Attachment {
            secret: Some(self.node.ensure_tunnel_secret()),
            versions: Some(self.node.versions()),
            quarantined: self.node.verdicts(),
            recorded_groups: self.recorded_groups(),
        }
    }

    async fn write_lease(&self, end: Position, record: &super::Record) {
        let sent_at = self.node.now();
        let attachment = self.attachment();
        let written = self.node.platform.write_lease(end, record, &attachment);
        let result = written.await;
        self.record_store_call("write lease", result.is_ok());
        let is_takeover = record.fencing.is_none();
        match result {
            Ok(platform::WriteOutcome::Stored(position)) => {
                let mut state = self.lock();
                self.update_era(self.node.now(), &mut state);
                state.lease.record_accepted(sent_at, position, record);
                state.written_groups = attachment.recorded_groups;
                drop(state);
                if let Some(versions) = &attachment.versions {
                    self.node.record_named(versions);
                }
                if is_takeover {
                    log::info!(offset = position.offset, era = position.era.0; "lease taken");
                }
                self.plan_wake.notify_one();
            }
            Ok(platform::WriteOutcome::Conflict) => {
                log::info!(end = end.offset, taken = is_takeover; "lease write rejected: another instance has written the lease");
                let mut state = self.lock();
                self.update_era(self.node.now(), &mut state);
                state.lease.record_conflict(end);
                state.lease_known = false;
            }
            Err(error) => {
                let mut state = self.lock();
                state.lease.record_unanswered(sent_at);
                state.lease_known = false;
                drop(state);
                log::info!(end = end.offset, why = error.to_string().as_str(); "lease write had no usable answer");
            }
        }
    }
}
