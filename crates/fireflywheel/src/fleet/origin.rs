//! At which version of the servers' software a stream began.
//!
//! Servers of several software versions may serve a group side by side. What two versions write doesn't fit together, so a
//! stream goes on only at the version that began it, also when its caller comes back to another instance.
//!
//! While a group has had a single version for as long as callers come back, that version began the stream
//! ([`History::sole`]), and an instance only remembers its streams for itself. Once there is a second version (a
//! [`Release`]), instances report their streams to the steward, and the instance that a caller comes back to asks the steward
//! ([`Registry`]). Until all streams from before are over, one that was not reported began at the version that was alone
//! before: at any other version, the first event leaves an instance only once the steward has recorded the stream. Where
//! nothing tells, the stream does not go on.
//!
//! No stream begins at a version before the lease's record names it ([`Named`]). After a loss of all instances, the record
//! therefore tells all versions that can have begun a stream, whatever has come and gone since it was written. Which of several
//! versions began a stream is in the store as well ([`Journal`]), a moment after its first event has left.

mod journal;
mod named;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::frame;
use crate::clock;

pub use journal::{Batch, Journal, WRITE_INTERVAL};
pub use named::Named;

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

/// How long after a second version was first seen there may be callers of streams that nobody reported, since their
/// instances knew a single version.
pub const RELEASE_TIME: Duration = RETURN_TIME.saturating_add(MAX_AGE);

/// Maximum number of streams in one frame, which makes some 30 KB.
pub const MAX_RECORDS_PER_FRAME: usize = 512;

/// Maximum length of the id of an attempt that is remembered, in bytes.
const MAX_ID_BYTES: usize = 64;

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
    /// Whether the stream is a new one that begins at the asking instance once the steward has recorded it.
    #[serde(default)]
    pub is_confirmation: bool,
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
    /// Whether the instance's release keeps streams for the steward. A frame that it can't read would end the link.
    #[serde(default)]
    pub keeps: bool,
}

/// The versions of groups that the steward has seen, with the time since it last saw each, in milliseconds.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Versions {
    /// Each version of each group.
    pub seen: Vec<(SmolStr, SmolStr, u32)>,
    /// For how long the steward had seen all versions when it last read them, in milliseconds.
    pub covered_ms: u32,
    /// The time since then, in milliseconds.
    #[serde(default)]
    pub read_age_ms: u32,
    /// The groups in which streams that nobody reported may still go on, with the version that was alone before; `None` if
    /// the sender doesn't know it.
    #[serde(default)]
    pub releases: Vec<(SmolStr, Option<SmolStr>)>,
    /// The versions of groups that the lease's record names, as a steward tells them; `None` if its release names none, and in
    /// the record itself, which names those that it has seen.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub named: Option<Vec<(SmolStr, SmolStr)>>,
}

impl Versions {
    /// The groups and versions that the sender has seen.
    #[must_use]
    pub fn names(&self) -> Vec<(SmolStr, SmolStr)> {
        let seen = self.seen.iter();
        seen.map(|(group, version, _)| (group.clone(), version.clone()))
            .collect()
    }

    /// The groups in which a single version can have begun a stream whose caller may still come back, with that version.
    fn alone(&self) -> BTreeMap<SmolStr, SmolStr> {
        if Duration::from_millis(self.covered_ms.into()) < RETURN_TIME {
            return BTreeMap::new();
        }
        let mut alone: BTreeMap<SmolStr, SmolStr> = BTreeMap::new();
        let mut others: BTreeSet<SmolStr> = BTreeSet::new();
        others.extend(self.releases.iter().map(|(group, _)| group.clone()));
        for (group, version, _) in &self.seen {
            if alone.insert(group.clone(), version.clone()).is_some() {
                others.insert(group.clone());
            }
        }
        alone.retain(|group, _| !others.contains(group));
        alone
    }
}

/// The versions of groups, and for how long they are known.
#[derive(Clone, Debug, Default)]
pub struct History {
    groups: BTreeMap<SmolStr, BTreeMap<SmolStr, Seen>>,
    /// For how long all versions are known; `None` before the first reading.
    coverage: Option<Coverage>,
    /// The last time as of which all versions are known, by a reading or as the steward tells.
    known_at: Option<clock::Instant>,
    /// When they were last read.
    read_at: Option<clock::Instant>,
    /// When they were read before that.
    previous_read_at: Option<clock::Instant>,
    /// Whether the whole system started for the first time when this instance did.
    is_first_start: bool,
    releases: BTreeMap<SmolStr, Release>,
    /// The groups of which the lease's record named a single version when it was read, with that version and the time.
    alone: BTreeMap<SmolStr, (SmolStr, clock::Instant)>,
}

/// The time after a second version of a group has appeared in which streams from before may go on.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Release {
    /// The version that was alone before; `None` if that isn't known.
    base: Option<SmolStr>,
    /// When the second version was first seen.
    seen_at: clock::Instant,
    /// A time at which no stream had begun at it yet; `None` if that isn't known.
    absent_at: Option<clock::Instant>,
}

impl Release {
    fn is_over(&self, now: clock::Instant) -> bool {
        now.since(self.seen_at) >= RELEASE_TIME
    }
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
        self.known_at = Some(now);
        self.is_first_start = true;
        self
    }

    /// Records a version of a group that serves or has just left; an empty one stands for servers whose entries tell none.
    pub fn observe(&mut self, now: clock::Instant, group: &SmolStr, version: &SmolStr) {
        self.begin_release(now, group, version);
        let versions = match self.groups.get_mut(group) {
            Some(versions) => versions,
            None => self.groups.entry(group.clone()).or_default(),
        };
        match versions.get_mut(version) {
            Some(seen) if is_recent(now, seen) => seen.last = now,
            Some(_) | None => {
                let seen = Seen {
                    first: now,
                    last: now,
                };
                versions.insert(version.clone(), seen);
            }
        }
    }

    /// Begins a release if this version is the second one of its group.
    fn begin_release(&mut self, now: clock::Instant, group: &SmolStr, version: &SmolStr) {
        let versions = self.groups.get(group);
        let is_known = |versions: &BTreeMap<SmolStr, Seen>| {
            let seen = versions.get(version);
            seen.is_some_and(|seen| is_recent(now, seen))
        };
        if versions.is_none_or(is_known) {
            return;
        }
        // At the first start of the whole system, there are no streams from before.
        if self.is_first_start && self.previous_read_at.is_none() {
            return;
        }
        let mut others = self.recent(now, group);
        let Some(other) = others.next() else {
            return;
        };
        let is_sole = others.next().is_none();
        drop(others);
        // Others may have forgotten one of several versions a moment sooner, and know a single one.
        let is_base = is_sole && self.is_known(now, MAX_AGE);
        if !is_base && self.release(now, group).is_some() {
            return;
        }
        let seen = versions.and_then(|versions| versions.get(other));
        // If both versions are new, others may have seen this one alone.
        let is_older = |absent_at: &clock::Instant| {
            seen.is_some_and(|seen| seen.first.after(YOUNG_TIME) <= *absent_at)
        };
        let absent_at = self.previous_read_at.filter(|at| is_base && is_older(at));
        let absent_at = absent_at.or_else(|| self.alone_at(now, group, other).filter(|_| is_sole));
        let release = Release {
            base: absent_at.map(|_| other.clone()),
            seen_at: now,
            absent_at,
        };
        self.releases.insert(group.clone(), release);
    }

    /// Records that all versions that serve at `as_of` have been observed. After a gap in which versions may have come and
    /// gone, what is known begins anew.
    pub fn record_read(&mut self, as_of: clock::Instant) {
        let is_continued = self.known_at.is_some_and(|at| as_of.since(at) <= MAX_AGE);
        if !is_continued {
            self.coverage = Some(Coverage {
                since: as_of,
                before: Duration::ZERO,
            });
        }
        self.known_at = self.known_at.max(Some(as_of));
        if self.read_at < Some(as_of) {
            self.previous_read_at = self.read_at.replace(as_of);
        }
    }

    /// Adds what the steward has seen.
    pub fn extend(&mut self, now: clock::Instant, versions: &Versions) {
        self.extend_seen(now, versions);
        let read_at = now.before(Duration::from_millis(versions.read_age_ms.into()));
        let before = Duration::from_millis(versions.covered_ms.into());
        let told = Coverage {
            since: read_at,
            before,
        };
        // Otherwise, versions may have come and gone between the steward's reading and the own one.
        let is_continued = self.known_at.is_none_or(|at| at.since(read_at) <= MAX_AGE);
        let known = self
            .coverage
            .filter(|known| known.length(now) >= told.length(now));
        if known.is_none() && is_continued {
            self.coverage = Some(told);
            self.known_at = self.known_at.max(Some(read_at));
        }
        self.extend_releases(now, versions);
    }

    /// Adds what the lease's record names, which was read at `read_at`. `recorded_groups` are those in which streams of other
    /// versions may have been recorded since it was written; `None` if that isn't known.
    pub fn extend_by_record(
        &mut self,
        read_at: clock::Instant,
        versions: &Versions,
        recorded_groups: Option<&BTreeSet<SmolStr>>,
    ) {
        // Since no stream begins at a version that the record doesn't name, its age doesn't matter.
        let versions = Versions {
            read_age_ms: 0,
            ..versions.clone()
        };
        self.extend(read_at, &versions);
        let is_unrecorded = |group: &SmolStr| {
            recorded_groups.is_some_and(|recorded_groups| !recorded_groups.contains(group))
        };
        let alone = versions.alone().into_iter();
        self.alone = alone
            .filter(|(group, _)| is_unrecorded(group))
            .map(|(group, version)| (group, (version, read_at)))
            .collect();
        for (group, (base, at)) in &self.alone {
            // The directory was read before the record.
            let release = self.releases.get_mut(group);
            if let Some(release) = release.filter(|release| release.base.is_none()) {
                release.base = Some(base.clone());
                release.absent_at = Some(*at);
            }
        }
    }

    /// Adds the versions of a record that may have been followed by others which are lost.
    pub fn extend_by_lost_record(&mut self, now: clock::Instant, versions: &Versions) {
        self.extend_seen(now, versions);
    }

    /// When the lease's record was read, if it named this version of a group alone, and so recently that all streams which
    /// have begun since at other versions are still recorded.
    fn alone_at(
        &self,
        now: clock::Instant,
        group: &SmolStr,
        version: &SmolStr,
    ) -> Option<clock::Instant> {
        let (alone, at) = self.alone.get(group)?;
        (alone == version && now.since(*at) < RELEASE_TIME).then_some(*at)
    }

    fn extend_seen(&mut self, now: clock::Instant, versions: &Versions) {
        for (group, version, age_ms) in &versions.seen {
            self.begin_release(now, group, version);
            let at = now.before(Duration::from_millis((*age_ms).into()));
            let known = self.groups.entry(group.clone()).or_default();
            let seen = known.entry(version.clone()).or_insert(Seen {
                first: at,
                last: at,
            });
            seen.first = seen.first.min(at);
            seen.last = seen.last.max(at);
        }
    }

    /// Adds the releases that the steward has seen, and forgets those of groups whose versions have long been there.
    fn extend_releases(&mut self, now: clock::Instant, versions: &Versions) {
        let told = |group: &SmolStr| versions.releases.iter().find(|(told, _)| told == group);
        let is_told = |group: &SmolStr, version: &SmolStr| {
            let mut seen = versions.seen.iter();
            seen.any(|(other, seen, _)| other == group && seen == version)
        };
        let groups = &self.groups;
        self.releases.retain(|group, release| {
            let recent = recent(groups, now, group);
            let is_long_over =
                || told(group).is_none() && recent.clone().all(|version| is_told(group, version));
            release.base.is_some() || !is_long_over()
        });
        for (group, base) in &versions.releases {
            let release = Release {
                base: base.clone(),
                seen_at: now,
                absent_at: None,
            };
            let known = self.releases.entry(group.clone()).or_insert(release);
            if known.base.is_none() {
                known.base.clone_from(base);
            }
        }
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
        let known = self.coverage.zip(self.known_at);
        let covered = known.map_or(Duration::ZERO, |(coverage, at)| coverage.length(at));
        let read_age = self.known_at.map_or(Duration::ZERO, |at| now.since(at));
        Versions {
            seen: seen.collect(),
            covered_ms: frame::millis(covered.min(RETURN_TIME)),
            read_age_ms: frame::millis(read_age),
            named: None,
            releases: self
                .releases
                .iter()
                .filter(|(_, release)| !release.is_over(now))
                .map(|(group, release)| (group.clone(), release.base.clone()))
                .collect(),
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
        if !self.is_known(now, max_age) {
            return None;
        }
        let mut versions = self.recent(now, group);
        let version = versions.next()?;
        versions.next().is_none().then_some(version)
    }

    /// Whether all versions are known that can have begun a stream whose caller may still come back, by a reading of at most
    /// this age.
    fn is_known(&self, now: clock::Instant, max_age: Duration) -> bool {
        let is_covered = |coverage: Coverage| coverage.length(now) >= RETURN_TIME;
        self.age(now).is_some_and(|age| age <= max_age) && self.coverage.is_some_and(is_covered)
    }

    /// Whether a group has had a second version for less than the time for which unreported streams may go on.
    #[must_use]
    pub fn is_releasing(&self, now: clock::Instant, group: &str) -> bool {
        self.release(now, group).is_some()
    }

    /// Whether a stream that begins at a version must be recorded by the steward before its first event is forwarded: if it
    /// weren't, it would be taken for one of the version that was alone before.
    #[must_use]
    pub fn needs_record(&self, now: clock::Instant, group: &str, version: &str) -> bool {
        let release = self.release(now, group);
        release.is_some_and(|release| release.base.as_deref() != Some(version))
    }

    /// Whether the steward is told of a stream that begins at a version: its record is needed, or not every instance can tell
    /// the version without it.
    #[must_use]
    pub fn is_reported(&self, now: clock::Instant, group: &str, version: &str) -> bool {
        let sole = self.sole(now, group, true).map(SmolStr::as_str);
        sole != Some(version) || self.needs_record(now, group, version)
    }

    /// Whether a stream of a group that nobody reported may be taken for one of this version, so that it needs no record.
    #[must_use]
    pub fn is_base(&self, now: clock::Instant, group: &str, version: &SmolStr) -> bool {
        let release = self.release(now, group);
        let base = release.and_then(|release| release.base.as_ref());
        base == Some(version) || self.sole(now, group, true) == Some(version)
    }

    /// The version at which a stream began that was not reported to a steward in office since `since`; `None` if that isn't
    /// known. `recorded_before` says whether an earlier steward may have recorded streams of other versions.
    #[must_use]
    pub fn unreported(
        &self,
        now: clock::Instant,
        group: &str,
        since: clock::Instant,
        recorded_before: bool,
    ) -> Option<&SmolStr> {
        let release = self.release(now, group)?;
        let absent_at = release.absent_at?;
        let is_in_time = now.since(absent_at) < RELEASE_TIME;
        let is_complete = since <= absent_at || !recorded_before;
        release.base.as_ref().filter(|_| is_in_time && is_complete)
    }

    fn release(&self, now: clock::Instant, group: &str) -> Option<&Release> {
        let release = self.releases.get(group);
        release.filter(|release| !release.is_over(now))
    }

    /// The time since the versions were last read.
    #[must_use]
    pub fn age(&self, now: clock::Instant) -> Option<Duration> {
        Some(now.since(self.read_at?))
    }

    /// The versions of a group that can have begun a stream whose caller may still come back, as far as they are known.
    pub fn recent(&self, now: clock::Instant, group: &str) -> impl Iterator<Item = &SmolStr> {
        recent(&self.groups, now, group)
    }

    /// How long other instances may not know yet that a version serves a group; zero if they know.
    #[must_use]
    pub fn youth(&self, now: clock::Instant, group: &str, version: &str) -> Duration {
        let seen = self
            .groups
            .get(group)
            .and_then(|versions| versions.get(version));
        seen.map_or(YOUNG_TIME, |seen| {
            YOUNG_TIME.saturating_sub(now.since(seen.first))
        })
    }

    /// Forgets versions that can't have begun a stream whose caller may still come back.
    pub fn prune(&mut self, now: clock::Instant) {
        for versions in self.groups.values_mut() {
            versions.retain(|_, seen| is_recent(now, seen));
        }
        self.groups.retain(|_, versions| !versions.is_empty());
        self.releases.retain(|_, release| !release.is_over(now));
    }
}

fn recent<'a>(
    groups: &'a BTreeMap<SmolStr, BTreeMap<SmolStr, Seen>>,
    now: clock::Instant,
    group: &str,
) -> impl Iterator<Item = &'a SmolStr> + Clone {
    let versions = groups.get(group).into_iter().flatten();
    let recent = versions.filter(move |(_, seen)| is_recent(now, seen));
    recent.map(|(version, _)| version)
}

fn is_recent(now: clock::Instant, seen: &Seen) -> bool {
    now.since(seen.last) < RETURN_TIME
}

/// Whether the id of an attempt is one under which a stream is remembered.
#[must_use]
pub fn is_identifying(attempt: &str) -> bool {
    !attempt.is_empty() && attempt.len() <= MAX_ID_BYTES
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

    /// Records where a stream began, and returns whether that is new. An id that is known keeps its first version; an empty
    /// one identifies no stream.
    pub fn insert(&mut self, now: clock::Instant, record: Record) -> bool {
        self.prune(now);
        if !is_identifying(&record.attempt) || self.records.contains_key(&record.attempt) {
            return false;
        }
        if self.records.len() >= self.max_records
            && let Some((expiry, oldest)) = self.expiries.pop_front()
        {
            self.records.remove(&oldest);
            self.incomplete_until = self.incomplete_until.max(Some(expiry));
        }
        // Conclusions from a stream that is not found end sooner.
        let expiry = now.after(RELEASE_TIME);
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
