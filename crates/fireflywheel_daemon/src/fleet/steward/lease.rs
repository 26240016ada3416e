//! Reading and renewing the lease.

use std::sync::Arc;
use std::time::Duration;

use fireflywheel::clock;
use fireflywheel::fleet::era::Position;
use fireflywheel::fleet::frame;
use fireflywheel::fleet::successor;
use tokio::time;

use super::super::platform;
use super::Steward;
use super::state::State;

/// Time between two reads while this instance watches the lease of another: it sees a term lapse without any read,
/// so a read only finds one that was given up or handed over.
const WATCH: Duration = Duration::from_millis(1000);
/// Time between two looks while there is nothing to do.
const QUIET: Duration = Duration::from_millis(250);
/// Instances that see the lease lapse don't all write at once.
const SPREAD_MS: u64 = 60;
/// An instance with a whole processor writes this long after it sees the lease lapse, one with a tenth of it ten
/// times as long.
const HEAD_START: Duration = Duration::from_millis(20);
/// An instance that is no standby writes this much later: a standby that waits for the store to come back tries it after
/// 300 ms at the latest. If the weakest instance were first, it could not open the links of a large fleet for seconds.
const BEHIND_STANDBYS: Duration = Duration::from_millis(400);
/// Below this share of a processor the wait grows no longer.
const LEAST_SHARE: f64 = 0.05;

/// The links of a steward, and what choosing a successor needs of each.
pub(super) fn peers(state: &State) -> (Vec<u64>, Vec<successor::Peer>) {
    let links = state.links.iter();
    links.map(|(number, link)| (*number, link.peer())).unzip()
}

/// Gives the lease to the instance of a link, and tells all others; whether it could.
fn hand_over_to(now: clock::Instant, state: &mut State, number: u64) -> bool {
    let Some(peer) = state.links.get(&number).map(|link| link.peer.clone()) else {
        return false;
    };
    let Some(given) = state.lease.hand_over(now, peer) else {
        return false;
    };
    let Some(successor) = state.links.remove(&number) else {
        return false;
    };
    log::info!(
        instance = successor.peer.instance.as_str(), fencing = given.fencing, cpu_share = successor.cpu_share,
        read_ms = clock::millis(successor.read_age);
        "lease handed over"
    );
    // One that doesn't read loses its link, and the lease lapses as if this instance had died.
    let _ = successor.send(&frame::Frame::HandOver(given));
    state.broadcast(&frame::Frame::Moved(successor.peer));
    true
}

/// What is to be done for the lease.
enum Task {
    Nothing,
    Read,
    Write(Position, super::Record),
}

impl<P> Steward<P>
where
    P: platform::Platform,
{
    /// Watches the lease, takes it when it is free, and renews it, for ever.
    pub async fn keep_lease(self: Arc<Self>) {
        loop {
            if !matches!(self.lease_task(), Task::Nothing) {
                self.node.wait_for_store().await;
            }
            // Another instance may have become steward meanwhile.
            match self.lease_task() {
                Task::Nothing => {}
                Task::Read => self.read_lease().await,
                Task::Write(end, record) => {
                    if record.fencing.is_none() {
                        time::sleep(self.spread()).await;
                        // It may have heard of another holder meanwhile.
                        if !matches!(self.lease_task(), Task::Write(..)) {
                            continue;
                        }
                    }
                    self.write_lease(end, &record).await;
                    continue;
                }
            }
            let pause = self.lease_pause();
            tokio::select! {
                () = self.lease_wake.notified() => {}
                () = time::sleep(pause) => {}
            }
        }
    }

    /// Gives the lease to another instance by its link, or else up, so that another can take it at once.
    pub async fn release(&self) {
        if self.hand_over() {
            return;
        }
        let record = self.lock().lease.release();
        let Some((end, record)) = record else {
            return;
        };
        self.lock().lease.lost();
        self.wake.notify_one();
        let result = self.node.platform.write_lease(end, &record).await;
        log::info!(end = end.offset, given_up = matches!(result, Ok(platform::WriteOutcome::Stored(_))); "lease released");
    }

    /// The store may be away, and reading it takes time; a link is there.
    fn hand_over(&self) -> bool {
        let now = self.node.now();
        let mut state = self.lock();
        let (numbers, peers) = peers(&state);
        let successor = successor::of_stopping(&peers).map(|place| numbers[place]);
        let given = successor.is_some_and(|number| hand_over_to(now, &mut state, number));
        drop(state);
        self.wake.notify_one();
        given
    }

    /// Hands over to an instance that should be steward in place of this one, if there is any. A steward acts for a term at
    /// least: two that the store turns away by turns would pass the lease to and fro.
    pub(super) fn pass_on(&self, now: clock::Instant, state: &mut State) -> bool {
        if now.since(state.turned) < self.node.settings.lease.term {
            return false;
        }
        let own = self.own();
        let settings = &self.node.settings;
        let obey = settings.leaving_deadline.min(settings.config_deadline);
        let (numbers, peers) = peers(state);
        let successor = successor::of_staying(own, &peers, obey).map(|place| numbers[place]);
        successor.is_some_and(|number| hand_over_to(now, state, number))
    }

    /// What choosing a successor needs of this instance.
    pub(super) fn own(&self) -> successor::Own {
        successor::Own {
            cpu_share: self.node.settings.cpu_share,
            store_fails: self.node.store_fails(),
            read_age: self.node.read_age(),
        }
    }

    /// A steward has work in proportion to the number of instances, so the strong ones go first.
    fn spread(&self) -> Duration {
        let share = self.node.settings.cpu_share.max(LEAST_SHARE);
        let luck = Duration::from_millis(rand::random_range(0..SPREAD_MS));
        let others = self.lock().lease.is_standby() == Some(false);
        let behind = if others {
            BEHIND_STANDBYS
        } else {
            Duration::ZERO
        };
        HEAD_START.div_f64(share) + luck + behind
    }

    fn lease_task(&self) -> Task {
        let now = self.node.now();
        let state = self.lock();
        let known = state.lease_known && !state.lease.needs_read();
        let holds = state.lease.release().is_some();
        let left = state.lease.defers_to_standbys(now);
        if self.node.is_draining() || (state.linked && !holds) || left {
            return Task::Nothing;
        }
        match state.lease.proposal(now) {
            Some((end, record)) if known => Task::Write(end, record),
            _ if holds && known => Task::Nothing,
            _ => Task::Read,
        }
    }

    fn lease_pause(&self) -> Duration {
        let now = self.node.now();
        let state = self.lock();
        let due = state.lease.due(now).unwrap_or(QUIET);
        let most = if state.linked { QUIET } else { WATCH };
        due.clamp(Duration::from_millis(5), most)
    }

    /// Takes in what is known of the store's era. A steward rests until its lease stands in that era.
    pub(super) fn follow_era(&self, now: clock::Instant, state: &mut State) {
        let Some(era) = self.node.platform.era() else {
            return;
        };
        let acted = state.lease.fencing(now).is_some();
        if !state.lease.enter_era(now, era) {
            return;
        }
        state.lease_known = false;
        log::info!(era = era.0, acted = acted; "lease to be read again: the store is in another era");
        self.lease_wake.notify_one();
    }

    async fn read_lease(&self) {
        let asked = self.node.now();
        let result = self.node.platform.read_lease().await;
        self.node.record_store_call("read lease", result.is_ok());
        match result {
            Ok(reading) => {
                let mut state = self.lock();
                self.follow_era(self.node.now(), &mut state);
                state.lease.observe(asked, reading);
                state.lease_known = true;
            }
            Err(fault) => {
                log::debug!(why = fault.to_string().as_str(); "lease not read");
                self.lock().lease.unanswered(asked);
            }
        }
    }

    async fn write_lease(&self, end: Position, record: &super::Record) {
        let sent = self.node.now();
        let result = self.node.platform.write_lease(end, record).await;
        self.node.record_store_call("write lease", result.is_ok());
        let taken = record.fencing.is_none();
        match result {
            Ok(platform::WriteOutcome::Stored(place)) => {
                let mut state = self.lock();
                self.follow_era(self.node.now(), &mut state);
                state.lease.accepted(sent, place, record);
                drop(state);
                if taken {
                    log::info!(offset = place.offset, era = place.era.0; "lease taken");
                }
                self.wake.notify_one();
            }
            Ok(platform::WriteOutcome::Conflict) => {
                log::info!(end = end.offset, taken = taken; "lease written by another");
                let mut state = self.lock();
                self.follow_era(self.node.now(), &mut state);
                state.lease.refused(end);
                state.lease_known = false;
            }
            Err(fault) => {
                let mut state = self.lock();
                state.lease.unanswered(sent);
                state.lease_known = false;
                drop(state);
                log::info!(end = end.offset, why = fault.to_string().as_str(); "lease not written for certain");
            }
        }
    }
}
