//! The directory of backend servers as one instance knows it, merged from several sources.
//!
//! An instance learns of servers from its own reads of the store, and from the directory and the holdings that
//! stewards send. Each source shows the store as of some position of its log, and none of them arrives in the
//! order of these positions: a steward that has lost the store goes on sending what it knew, and a new one may
//! know less than its listeners. Within one era of the store, a view never goes back behind a position that it
//! has seen:
//!
//! - An entry counts unless a later record or the removal of the server is known.
//! - A removal counts unless a later entry of the server is known.
//! - A sender that knows the store up to an earlier position than the receiver is *behind*. What it leaves out
//!   says nothing, and the receiver asks it for the whole directory once it has caught up.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use smol_str::SmolStr;

use super::era::{Era, Position};
use super::{frame, server};
use crate::clock;

/// How long servers that are gone are remembered: longer than the age of an older copy of the directory that
/// the store may come back with.
const TOMBSTONE_TTL: Duration = Duration::from_secs(120);

/// What an entry of a server tells of its own age.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Mark {
    group: SmolStr,
    started_ms: u64,
    revision: u64,
    /// The position of the entry's record; `None` from releases that don't tell.
    position: Option<Position>,
}

/// A server that is gone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Tombstone {
    started_ms: u64,
    revision: u64,
    since: clock::Instant,
    /// The position up to which the source that lacked the server knew the store; `None` from releases that don't tell.
    as_of: Option<Position>,
    /// The store's era when the entry disappeared.
    era: Era,
}

/// What becomes of an entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The entry is the newest that is known.
    Accepted,
    /// The same, and the server was gone for so long.
    Returned(Duration),
    /// A later record of the server is known, and the server is listed.
    Outdated,
    /// The server is known to be gone since.
    Gone,
}

/// What becomes of the changes that a steward has sent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Merged {
    /// The entries that count, with the time for which each server was gone, if it was.
    pub entries: Vec<(frame::Entry, Option<Duration>)>,
    /// The servers that are gone.
    pub removed: Vec<SmolStr>,
    /// The number of entries that were ignored because later news of their servers is known.
    pub outdated: usize,
}

/// The directory as one instance knows it.
#[derive(Clone, Debug, Default)]
pub struct View {
    marks: BTreeMap<SmolStr, Mark>,
    tombstones: BTreeMap<SmolStr, Tombstone>,
    /// The position up to which the store is known.
    position: Option<Position>,
    /// The position up to which every server is known: one that isn't was gone by then. `None` while the instance
    /// knows only some engines.
    complete_to: Option<Position>,
    /// The position that the steward has to reach before its directory is of use.
    missed: Option<(Position, clock::Instant)>,
    era: Era,
}

impl View {
    /// The position up to which the store is known, by whichever source was the latest.
    #[must_use]
    pub fn position(&self) -> Option<Position> {
        self.position
    }

    /// The position that the steward has to reach before it is to send the whole directory again; `None` if nothing was
    /// missed.
    #[must_use]
    pub fn missed(&self) -> Option<Position> {
        self.missed.map(|(position, _)| position)
    }

    /// Whether the steward has been behind for so long that this instance should read the store itself.
    #[must_use]
    pub fn needs_own_read(&self, now: clock::Instant, patience: Duration) -> bool {
        self.missed
            .is_some_and(|(_, since)| now.since(since) >= patience)
    }

    /// Records the era of the store in which the directory was read.
    pub fn observe_era(&mut self, era: Era) {
        self.era = self.era.max(era);
    }

    /// Records that the instance goes on with some engines only, so that one that it doesn't know may be there.
    pub fn forget_completeness(&mut self) {
        self.complete_to = None;
    }

    /// Forgets a server that may still be there.
    pub fn forget(&mut self, id: &str) {
        self.marks.remove(id);
    }

    /// Merges all entries of the directory, which this instance has read up to `read_to`. Returns the verdict on each entry,
    /// and the servers that are gone.
    pub fn merge_all(
        &mut self,
        now: clock::Instant,
        servers: &[server::Server],
        read_to: Option<Position>,
    ) -> (Vec<Verdict>, Vec<SmolStr>) {
        let listed: BTreeSet<&SmolStr> = servers.iter().map(|server| &server.id).collect();
        let missing = self.marks.keys().filter(|id| !listed.contains(id));
        let missing: Vec<SmolStr> = missing.cloned().collect();
        let servers = servers.iter();
        let verdicts = servers
            .map(|server| self.merge_entry(now, &server.id, Mark::of_server(server)))
            .collect();
        let removed = self.merge_removals(now, missing, read_to);
        self.advance(read_to);
        if read_to >= self.position {
            self.complete_to = read_to;
            self.missed = None;
        }
        (verdicts, removed)
    }

    /// Merges an entry that this instance has read.
    pub fn merge_read(&mut self, now: clock::Instant, server: &server::Server) -> Verdict {
        self.merge_entry(now, &server.id, Mark::of_server(server))
    }

    /// Merges the removal of a server that this instance has read up to `read_to`. Returns whether it counts.
    pub fn merge_read_removal(
        &mut self,
        now: clock::Instant,
        id: &SmolStr,
        read_to: Option<Position>,
    ) -> bool {
        self.merge_removal(now, id, read_to)
    }

    /// Records that this instance has read all records up to a position.
    pub fn advance(&mut self, read_to: Option<Position>) {
        self.position = self.position.max(read_to);
        self.era = self.era.max(self.position.unwrap_or_default().era);
    }

    /// Merges an engine's entry that came with its holdings.
    pub fn merge_holding(&mut self, now: clock::Instant, entry: &frame::Entry) -> Verdict {
        if !self.marks.contains_key(&entry.id) && self.was_gone_by(entry.position) {
            return Verdict::Gone;
        }
        self.merge_entry(now, &entry.id, Mark::of_entry(entry))
    }

    /// Merges changes that a steward has sent.
    pub fn merge_changes(&mut self, now: clock::Instant, changes: frame::Changes) -> Merged {
        let frame::Changes {
            complete_groups,
            entries,
            removed,
            as_of,
            base,
        } = changes;
        let is_behind = as_of.is_some() && as_of < self.position;
        let has_gap = base.is_some() && base > self.position;
        let named: BTreeSet<&SmolStr> = entries.iter().map(|entry| &entry.id).collect();
        let unnamed = self
            .marks
            .iter()
            .filter(|(id, mark)| complete_groups.contains(&mark.group) && !named.contains(id));
        let unnamed = unnamed.map(|(id, _)| id.clone());
        let missing: Vec<SmolStr> = unnamed.chain(removed).collect();
        let mut merged = Merged::default();
        for entry in entries {
            let is_unknown = !self.marks.contains_key(&entry.id);
            let verdict = match is_unknown && (is_behind || self.was_gone_by(entry.position)) {
                true => Verdict::Gone,
                false => self.merge_entry(now, &entry.id, Mark::of_entry(&entry)),
            };
            match verdict {
                Verdict::Accepted => merged.entries.push((entry, None)),
                Verdict::Returned(absence) => merged.entries.push((entry, Some(absence))),
                Verdict::Outdated | Verdict::Gone => merged.outdated += 1,
            }
        }
        if is_behind || has_gap {
            let target = self.position.max(as_of).unwrap_or_default();
            let since = self.missed.map_or(now, |(_, since)| since);
            self.missed = Some((target, since));
        } else if !complete_groups.is_empty() {
            self.missed = None;
        }
        if !is_behind {
            merged.removed = self.merge_removals(now, missing, as_of);
            self.advance(as_of);
        }
        merged
    }

    /// Forgets servers that have been gone for long.
    pub fn prune(&mut self, now: clock::Instant) {
        self.tombstones
            .retain(|_, gone| now.since(gone.since) < TOMBSTONE_TTL);
    }

    /// Whether every server is known up to a later position than an entry's, so that one that isn't was gone by then.
    fn was_gone_by(&self, position: Option<Position>) -> bool {
        let known = self.complete_to.zip(position);
        known.is_some_and(|(complete_to, position)| {
            complete_to.era == position.era && position < complete_to
        })
    }

    fn merge_entry(&mut self, now: clock::Instant, id: &SmolStr, mark: Mark) -> Verdict {
        if let Some(known) = self.marks.get(id)
            && known.is_newer_than(&mark)
        {
            return Verdict::Outdated;
        }
        let gone = self.tombstones.get(id);
        if gone.is_some_and(|gone| gone.covers(&mark, self.era)) {
            return Verdict::Gone;
        }
        let gone = self.tombstones.remove(id);
        self.marks.insert(id.clone(), mark);
        gone.map_or(Verdict::Accepted, |gone| {
            Verdict::Returned(now.since(gone.since))
        })
    }

    fn merge_removals(
        &mut self,
        now: clock::Instant,
        ids: Vec<SmolStr>,
        as_of: Option<Position>,
    ) -> Vec<SmolStr> {
        ids.into_iter()
            .filter(|id| self.merge_removal(now, id, as_of))
            .collect()
    }

    fn merge_removal(
        &mut self,
        now: clock::Instant,
        id: &SmolStr,
        as_of: Option<Position>,
    ) -> bool {
        if let Some(gone) = self.tombstones.get_mut(id) {
            gone.as_of = gone.as_of.max(as_of);
            return true;
        }
        let Some(mark) = self.marks.get(id) else {
            return false;
        };
        // The source ends before the entry's record.
        let is_older = mark
            .position
            .zip(as_of)
            .is_some_and(|(entry, as_of)| as_of <= entry);
        if is_older {
            return false;
        }
        let gone = Tombstone {
            started_ms: mark.started_ms,
            revision: mark.revision,
            since: now,
            as_of,
            era: as_of.map_or(self.era, |as_of| as_of.era),
        };
        self.marks.remove(id);
        self.tombstones.insert(id.clone(), gone);
        true
    }
}

impl Mark {
    fn of_server(server: &server::Server) -> Self {
        Self {
            group: server.group.clone(),
            started_ms: server.started_ms,
            revision: server.revision,
            position: server.position,
        }
    }

    fn of_entry(entry: &frame::Entry) -> Self {
        Self {
            group: entry.group.clone(),
            started_ms: entry.started_ms,
            revision: entry.revision,
            position: entry.position,
        }
    }

    /// Whether this entry is newer than another of the same server.
    fn is_newer_than(&self, other: &Self) -> bool {
        let positions = self.position.zip(other.position);
        let is_later_record = positions.is_some_and(|(known, other)| other < known);
        is_later_record || is_older(other, self.started_ms, self.revision)
    }
}

impl Tombstone {
    /// Whether the server was gone after this entry. `era` is the store's.
    fn covers(&self, mark: &Mark, era: Era) -> bool {
        if let Some((as_of, position)) = self.as_of.zip(mark.position)
            && position.era <= as_of.era
        {
            return position < as_of;
        }
        // Entries of the era in which the server disappeared are not older than that if nothing tells their position. A
        // store that was restored from an older copy may list the server again.
        let entry_era = mark.position.map_or(era, |position| position.era);
        self.era < entry_era && is_older(mark, self.started_ms, self.revision + 1)
    }
}

/// Whether an entry is older than another of the same process.
fn is_older(mark: &Mark, started_ms: u64, revision: u64) -> bool {
    mark.started_ms == started_ms && mark.revision > 0 && mark.revision < revision
}
