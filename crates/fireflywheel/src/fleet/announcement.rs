//! What backend servers announce of themselves in their answers, and whether they may be sent anything.
//!
//! The directory says the same later, or not at all while the store is unavailable. An answer is certain: it
//! comes from the server itself.

pub mod window;

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::clock;

/// How long the announcements of a server that is no longer listed are kept: longer than the age of an older
/// copy of the directory that the store may come back with.
const UNLISTED_TTL: Duration = Duration::from_secs(120);

/// The announcements in the head of one answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Announcement {
    /// The server leaves. This is final.
    pub leaving: bool,
    /// The server has turned the request away, and wants nothing from this instance for so long.
    pub rest: Option<Duration>,
    /// The server is brittle: it falls over if it has to reject more than so many requests in a second for want of room,
    /// from all instances together.
    pub brittle: Option<u32>,
}

/// What an announcement changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// The server begins to leave.
    Leaves,
    /// The server begins to rest.
    Rests,
}

/// A process of a server. A server that starts again under the same id has announced nothing yet.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Process {
    /// The server's id.
    pub server: SmolStr,
    /// When the process started, in Unix milliseconds.
    pub started_ms: u64,
}

/// What one process has announced.
#[derive(Clone, Copy, Debug)]
struct Record {
    started_ms: u64,
    leaving: bool,
    rests_until: clock::Instant,
    /// Whether the steward has to be notified that the server leaves.
    notice_pending: bool,
    observed_at: clock::Instant,
}

/// The announcements of all servers, as far as this instance knows them.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    records: BTreeMap<SmolStr, Record>,
}

impl Registry {
    /// Records the announcements in an answer of a process. Returns what they change.
    pub fn observe(
        &mut self,
        now: clock::Instant,
        process: &Process,
        announcement: Announcement,
    ) -> Option<Change> {
        if !announcement.leaving && announcement.rest.is_none() {
            return None;
        }
        let record = self.record(now, process)?;
        let begins_to_leave = announcement.leaving && !record.leaving;
        record.leaving |= announcement.leaving;
        record.notice_pending |= begins_to_leave;
        let begins_to_rest = announcement.rest.is_some() && record.rests_until <= now;
        if let Some(rest) = announcement.rest {
            record.rests_until = record.rests_until.max(now.after(rest));
        }
        if begins_to_leave {
            return Some(Change::Leaves);
        }
        begins_to_rest.then_some(Change::Rests)
    }

    /// Records that a server leaves, as reported by another instance. Returns whether that is new.
    pub fn record_leaving(&mut self, now: clock::Instant, process: &Process) -> bool {
        let Some(record) = self.record(now, process) else {
            return false;
        };
        !std::mem::replace(&mut record.leaving, true)
    }

    /// Whether a process leaves.
    #[must_use]
    pub fn is_leaving(&self, server: &str, started_ms: u64) -> bool {
        self.get(server, started_ms)
            .is_some_and(|record| record.leaving)
    }

    /// Until when a process wants nothing from this instance; `None` if it has not asked for a rest or the rest is over.
    #[must_use]
    pub fn rests_until(
        &self,
        now: clock::Instant,
        server: &str,
        started_ms: u64,
    ) -> Option<clock::Instant> {
        let until = self.get(server, started_ms)?.rests_until;
        (now < until).then_some(until)
    }

    /// Takes the leaving servers of which the steward has not been notified.
    pub fn take_leaving_notices(&mut self) -> Vec<Process> {
        let records = self.records.iter_mut();
        let pending = records.filter_map(|(server, record)| {
            std::mem::take(&mut record.notice_pending).then(|| Process {
                server: server.clone(),
                started_ms: record.started_ms,
            })
        });
        pending.collect()
    }

    /// Handles a new link to the steward, which may know of no earlier notices.
    pub fn link_opened(&mut self) {
        for record in self.records.values_mut() {
            record.notice_pending = record.leaving;
        }
    }

    /// Removes the records of servers that have not been listed for long.
    pub fn prune<F>(&mut self, now: clock::Instant, is_listed: F)
    where
        F: Fn(&str) -> bool,
    {
        self.records.retain(|server, record| {
            if is_listed(server) {
                record.observed_at = now;
            }
            now.since(record.observed_at) < UNLISTED_TTL || now < record.rests_until
        });
    }

    fn get(&self, server: &str, started_ms: u64) -> Option<&Record> {
        let record = self.records.get(server)?;
        (record.started_ms == started_ms).then_some(record)
    }

    /// The record of a process; `None` if a later process of the server is known.
    fn record(&mut self, now: clock::Instant, process: &Process) -> Option<&mut Record> {
        let new = Record {
            started_ms: process.started_ms,
            leaving: false,
            rests_until: clock::Instant::default(),
            notice_pending: false,
            observed_at: now,
        };
        let record = self.records.entry(process.server.clone()).or_insert(new);
        if record.started_ms < process.started_ms {
            *record = new;
        }
        record.observed_at = now;
        (record.started_ms == process.started_ms).then_some(record)
    }
}
