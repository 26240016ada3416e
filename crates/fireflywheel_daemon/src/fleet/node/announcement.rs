//! What backend servers announce of themselves, at this instance.

use fireflywheel::clock;
use fireflywheel::fleet::announcement::{Change, Process};

use super::{Node, state};
use crate::fleet::platform;

impl<P> Node<P>
where
    P: Send + Sync,
{
    /// Records what an answer to a request that was addressed to `process` announces. If another server has made it, it
    /// announces that server's state.
    pub fn observe_announcement(&self, process: &Process, reply: &platform::Reply) {
        let now = self.now();
        let mut state = self.lock();
        let other = reply
            .server
            .as_ref()
            .filter(|server| **server != process.server);
        let process = match other {
            None => process.clone(),
            Some(other) => {
                let Some(known) = state.servers.get(other) else {
                    return;
                };
                Process {
                    server: other.clone(),
                    started_ms: known.server.started_ms,
                }
            }
        };
        let instances = state.instances.count();
        let known = state.servers.get_mut(&process.server);
        if let Some(known) = known.filter(|known| {
            let is_own = known.server.started_ms == process.started_ms;
            is_own && (reply.authentic || reply.not_run)
        }) {
            let (brittle, slots) = (reply.announcement.brittle, known.server.slots);
            let stats = &mut known.stats;
            if stats.observe_brittleness(now, brittle, slots, instances, rand::random()) {
                let tolerated = brittle.unwrap_or_default();
                log::info!(server = process.server.as_str(), brittle = brittle.is_some(), rejections_per_second = tolerated; "backend server announces whether it is brittle");
            }
        }
        match state
            .announcements
            .observe(now, &process, reply.announcement)
        {
            None => {}
            Some(Change::Leaves) => {
                state.withdraw(&process);
                drop(state);
                log_leaving(&process, "own");
                self.wake();
                self.demand_changed.notify_one();
            }
            Some(Change::Rests) => {
                drop(state);
                let rest = reply.announcement.rest.unwrap_or_default();
                log::info!(server = process.server.as_str(), rest_ms = clock::millis(rest); "backend server asks for a rest");
                self.wake();
            }
        }
    }

    /// Records servers that leave, as reported by another instance.
    pub fn record_leaving(&self, processes: &[Process]) {
        if processes.is_empty() {
            return;
        }
        let now = self.now();
        let mut state = self.lock();
        let processes = processes.iter();
        let new: Vec<&Process> = processes
            .filter(|process| state.announcements.record_leaving(now, process))
            .collect();
        for process in &new {
            state.withdraw(process);
        }
        drop(state);
        for process in &new {
            log_leaving(process, "linked");
        }
        if !new.is_empty() {
            self.wake();
        }
    }

    /// The servers that want nothing from this instance for a while, and until when.
    #[must_use]
    pub fn resting_servers(&self) -> Vec<(Process, clock::Instant)> {
        let now = self.now();
        let state = self.lock();
        let resting = state
            .servers
            .values()
            .filter_map(|known| Some((known.process(), state.rests_until(now, known)?)));
        resting.collect()
    }
}

impl state::State {
    /// Until when a server wants nothing from this instance; `None` if it does not rest.
    pub(super) fn rests_until(
        &self,
        now: clock::Instant,
        known: &state::ServerState,
    ) -> Option<clock::Instant> {
        let server = &known.server;
        self.announcements
            .rests_until(now, &server.id, server.started_ms)
    }

    /// Takes a server that leaves out of use.
    fn withdraw(&mut self, process: &Process) {
        self.directory_version += 1;
        if let Some(known) = self.servers.get_mut(&process.server)
            && known.server.started_ms == process.started_ms
        {
            known.server.ready = false;
        }
    }
}

fn log_leaving(process: &Process, by: &str) {
    log::info!(server = process.server.as_str(), by = by; "backend server leaves");
}
