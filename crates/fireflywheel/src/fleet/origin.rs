//! At which version of the servers' software a stream began.
//!
//! Servers of several software versions may serve a group side by side. What two versions write doesn't fit together, so a
//! stream goes on only at the version that began it, also when its caller comes back to another instance.
//!
//! While a group has had a single version for as long as callers come back, that version began the stream
//! ([`History::sole`]). Otherwise the instance at which a stream begins reports it to the steward, and the instance that the
//! caller comes back to asks the steward ([`Registry`]). Where neither tells, the stream does not go on.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::frame;
use crate::clock;

/// How long after the start of a stream its caller may come back for it: twice the usual timeout of a route.
pub const RETURN_TIME: Duration = Duration::from_secs(45);

/// How long a new steward waits until it says that a stream was not reported: instances open their links to it and report
/// their streams meanwhile.
pub const SETTLING_TIME: Duration = Duration::from_secs(3);

/// Maximum age of what is known of a group's versions, if the steward says that a stream was not reported.
const MAX_AGE: Duration = Duration::from_secs(20);

/// The same if the steward doesn't say so. It is less than [`YOUNG_TIME`].
const MAX_AGE_ALONE: Duration = Duration::from_secs(2);

/// How long streams begin at other versions, if they can, after a version was first seen: until all instances know it.
const YOUNG_TIME: Duration = Duration::from_secs(3);

/// Maximum length of the id of an attempt that is remembered, in bytes.
pub const MAX_ID_BYTES: usize = 64;

/// A stream that began at a version of a group's servers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// The id of the attempt that brought the stream's first event.
    pub attempt: SmolStr,
    /// The group of the server that began it.
    pub group: SmolStr,
    /// The version.
    pub version: SmolStr,
}

/// A question to the steward.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Query {
    /// The id of the attempt that brought the stream's first event.
    pub attempt: SmolStr,
    /// The group.
    pub group: SmolStr,
}

/// The steward's answer to a [`Query`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Reply {
    /// The question.
    pub query: Query,
    /// What the steward knows.
    pub answer: Answer,
}

/// What a steward knows of a stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Answer {
    /// It began at this version.
    Version(SmolStr),
    /// It was not reported, so its instance knew a single version of the group.
    NotReported,
    /// It may have been reported to an earlier steward, or is forgotten.
    Unknown,
}

/// What an instance tells the steward with its demand.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Streams that have begun since the last report, or all that are remembered on a new link.
    pub begun: Vec<Record>,
    /// Questions.
    pub queries: Vec<Query>,
}

/// The versions of groups that the steward has seen, with the time since it last saw each, in milliseconds.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Versions {
    /// Each version of each group.
    pub seen: Vec<(SmolStr, SmolStr, u32)>,
    /// For how long the steward has seen all versions, in milliseconds.
    pub covered_ms: u32,
}

/// The versions of groups, and for how long they are known.
#[derive(Clone, Debug, Default)]
pub struct History {
    groups: BTreeMap<SmolStr, BTreeMap<SmolStr, Seen>>,
    /// For how long all versions are known; `None` before the first reading.
    coverage: Option<Coverage>,
    /// When they were last read.
    read_at: Option<clock::Instant>,
}

/// When a version was seen.
#[derive(Clone, Copy, Debug)]
struct Seen {
    first: clock::Instant,
    last: clock::Instant,
}

/// For how long all versions are known: since an instant, and for a time before it that may lie before the clock's origin.
#[derive(Clone, Copy, Debug)]
struct Coverage {
    since: clock::Instant,
    before: Duration,
}

impl Coverage {
    fn length(self, now: clock::Instant) -> Duration {
        now.since(self.since) + self.before
    }
}

impl History {
    /// Records that there were no streams before this instance, since the whole system starts for the first time.
    #[must_use]
    pub fn with_first_start(mut self, now: clock::Instant) -> Self {
        self.coverage = Some(Coverage {
            since: now,
            before: RETURN_TIME,
        });
        self
    }

    /// Records a version of a group that serves or has just left.
    pub fn observe(&mut self, now: clock::Instant, group: &SmolStr, version: &SmolStr) {
        let versions = match self.groups.get_mut(group) {
            Some(versions) => versions,
            None => self.groups.entry(group.clone()).or_default(),
        };
        match versions.get_mut(version) {
            Some(seen) => seen.last = now,
            None => {
                let seen = Seen {
                    first: now,
                    last: now,
                };
                versions.insert(version.clone(), seen);
            }
        }
    }

    /// Records that all versions that serve at `as_of` have been observed. After a gap in which versions may have come and
    /// gone, what is known begins anew.
    pub fn record_read(&mut self, as_of: clock::Instant) {
        let is_continued = self.read_at.is_some_and(|at| as_of.since(at) <= MAX_AGE);
        let is_first = self.read_at.is_none() && self.coverage.is_some();
        if !is_continued && !is_first {
            self.coverage = Some(Coverage {
                since: as_of,
                before: Duration::ZERO,
            });
        }
        self.read_at = self.read_at.max(Some(as_of));
    }

    /// Adds what the steward has seen.
    pub fn extend(&mut self, now: clock::Instant, versions: &Versions) {
        for (group, version, age_ms) in &versions.seen {
            let at = now.before(Duration::from_millis((*age_ms).into()));
            let known = self.groups.entry(group.clone()).or_default();
            let seen = known.entry(version.clone()).or_insert(Seen {
                first: at,
                last: at,
            });
            seen.first = seen.first.min(at);
            seen.last = seen.last.max(at);
        }
        let before = Duration::from_millis(versions.covered_ms.into());
        let told = Coverage { since: now, before };
        let known = self.coverage.filter(|known| known.length(now) >= before);
        self.coverage = Some(known.unwrap_or(told));
    }

    /// What this instance tells others as steward.
    #[must_use]
    pub fn versions(&self, now: clock::Instant) -> Versions {
        let seen = self.groups.iter().flat_map(|(group, versions)| {
            let recent = versions.iter().filter(|(_, seen)| is_recent(now, seen));
            recent.map(|(version, seen)| {
                (
                    group.clone(),
                    version.clone(),
                    frame::millis(now.since(seen.last)),
                )
            })
        });
        let covered = self
            .coverage
            .map_or(Duration::ZERO, |known| known.length(now));
        Versions {
            seen: seen.collect(),
            covered_ms: frame::millis(covered.min(RETURN_TIME)),
        }
    }

    /// The only version of a group that can have begun a stream whose caller may still come back; `None` if there are
    /// several, or if that isn't known. `is_not_reported` says whether the steward has said that the stream in question was
    /// not reported to it.
    #[must_use]
    pub fn sole(
        &self,
        now: clock::Instant,
        group: &str,
        is_not_reported: bool,
    ) -> Option<&SmolStr> {
        let max_age = if is_not_reported {
            MAX_AGE
        } else {
            MAX_AGE_ALONE
        };
        if self.age(now)? > max_age {
            return None;
        }
        if self.coverage?.length(now) < RETURN_TIME {
            return None;
        }
        let mut versions = self.recent(now, group);
        let version = versions.next()?;
        versions.next().is_none().then_some(version)
    }

    /// The time since the versions were last read.
    #[must_use]
    pub fn age(&self, now: clock::Instant) -> Option<Duration> {
        Some(now.since(self.read_at?))
    }

    /// The versions of a group that can have begun a stream whose caller may still come back, as far as they are known.
    pub fn recent(&self, now: clock::Instant, group: &str) -> impl Iterator<Item = &SmolStr> {
        let versions = self.groups.get(group).into_iter().flatten();
        let recent = versions.filter(move |(_, seen)| is_recent(now, seen));
        recent.map(|(version, _)| version)
    }

    /// Whether other instances may not know yet that a version serves a group.
    #[must_use]
    pub fn is_young(&self, now: clock::Instant, group: &str, version: &str) -> bool {
        let seen = self
            .groups
            .get(group)
            .and_then(|versions| versions.get(version));
        seen.is_none_or(|seen| now.since(seen.first) < YOUNG_TIME)
    }

    /// Forgets versions that can't have begun a stream whose caller may still come back.
    pub fn prune(&mut self, now: clock::Instant) {
        for versions in self.groups.values_mut() {
            versions.retain(|_, seen| is_recent(now, seen));
        }
        self.groups.retain(|_, versions| !versions.is_empty());
    }
}

fn is_recent(now: clock::Instant, seen: &Seen) -> bool {
    now.since(seen.last) < RETURN_TIME
}

/// Streams and the versions at which they began, for as long as their callers may come back.
#[derive(Clone, Debug)]
pub struct Registry {
    records: HashMap<SmolStr, Record>,
    /// When each record expires, the oldest first.
    expiries: VecDeque<(clock::Instant, SmolStr)>,
    max_records: usize,
    /// Until when a stream that isn't found may have been forgotten.
    incomplete_until: Option<clock::Instant>,
}

impl Registry {
    /// Creates a registry that remembers at most this many streams.
    #[must_use]
    pub fn new(max_records: usize) -> Self {
        Self {
            records: HashMap::new(),
            expiries: VecDeque::new(),
            max_records,
            incomplete_until: None,
        }
    }

    /// Records where a stream began, and returns whether that is new. An id that is known keeps its first version.
    pub fn insert(&mut self, now: clock::Instant, record: Record) -> bool {
        self.prune(now);
        if record.attempt.len() > MAX_ID_BYTES || self.records.contains_key(&record.attempt) {
            return false;
        }
        if self.records.len() >= self.max_records
            && let Some((expiry, oldest)) = self.expiries.pop_front()
        {
            self.records.remove(&oldest);
            self.incomplete_until = self.incomplete_until.max(Some(expiry));
        }
        let expiry = now.after(RETURN_TIME);
        self.expiries.push_back((expiry, record.attempt.clone()));
        self.records.insert(record.attempt.clone(), record);
        true
    }

    /// What this registry tells of a stream, as the steward's. `is_settled` says whether all instances have reported their
    /// streams to it.
    #[must_use]
    pub fn answer(&self, now: clock::Instant, query: &Query, is_settled: bool) -> Answer {
        match self.version(&query.group, &query.attempt) {
            Some(version) => Answer::Version(version.clone()),
            None if is_settled && !self.is_incomplete(now) => Answer::NotReported,
            None => Answer::Unknown,
        }
    }

    /// The version at which a stream of a group began. An id of another group's stream is not known.
    #[must_use]
    pub fn version(&self, group: &str, attempt: &str) -> Option<&SmolStr> {
        let record = self.records.get(attempt)?;
        (record.group == group).then_some(&record.version)
    }

    /// Whether a stream that isn't found may have been forgotten.
    #[must_use]
    pub fn is_incomplete(&self, now: clock::Instant) -> bool {
        self.incomplete_until.is_some_and(|until| now < until)
    }

    /// All streams.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// The number of streams.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no stream is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Forgets streams whose callers don't come back any more.
    pub fn prune(&mut self, now: clock::Instant) {
        while let Some((expiry, attempt)) = self.expiries.front()
            && *expiry <= now
        {
            self.records.remove(attempt);
            self.expiries.pop_front();
        }
    }
}
