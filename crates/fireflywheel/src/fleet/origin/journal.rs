//! The streams in the store, for a steward after a loss of all that knew them.
//!
//! The steward writes what it is told in batches, at most one at a time and some at a second. Each batch replaces an old one:
//! the store keeps the newest record of each of a fixed number of slots, so that nothing has to be deleted.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::{RELEASE_TIME, Record};
use crate::clock;

/// Minimum interval between the beginnings of two writes. Streams that began since the last write are lost with all instances.
pub const WRITE_INTERVAL: Duration = Duration::from_millis(250);
/// Number of batches that the store keeps: twice as many as are written while a stream may be taken up again.
const SLOTS: u64 = 512;
/// Maximum size of a batch as it is written, in bytes; a record of the store holds some more.
const MAX_BATCH_BYTES: usize = 192 << 10;
/// Difference between the number of the last batch that a steward has read and its own first one: the steward before may
/// still write one.
const FIRST_STEP: u64 = 2;

/// Streams as they are written to the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Batch {
    /// The number of the batch, which increases with each.
    pub number: u64,
    /// The number of the oldest batch whose streams may still be taken up again.
    pub first: u64,
    /// Each group and version with the ids of the attempts that brought the first events.
    pub streams: Vec<(SmolStr, SmolStr, Vec<SmolStr>)>,
}

impl Batch {
    /// The slot in which the batch replaces an older one.
    #[must_use]
    pub fn slot(&self) -> u64 {
        self.number % SLOTS
    }

    /// The streams.
    pub fn records(&self) -> impl Iterator<Item = Record> {
        self.streams.iter().flat_map(|(group, version, attempts)| {
            attempts.iter().map(|attempt| Record {
                attempt: attempt.clone(),
                group: group.clone(),
                version: version.clone(),
            })
        })
    }
}

/// What a steward has to write to the store, and has written.
#[derive(Clone, Debug, Default)]
pub struct Journal {
    /// The number of the next batch; `None` until the batches of earlier stewards were read.
    next: Option<u64>,
    /// The first batch of earlier stewards that matters, and until when it does.
    inherited: Option<(u64, clock::Instant)>,
    /// The numbers of own batches whose streams may still be taken up again, with the times of their writes.
    written: VecDeque<(clock::Instant, u64)>,
    /// Streams to be written, with the time until which they matter.
    pending: VecDeque<(clock::Instant, Record)>,
    /// The batch that is being written, or whose write has no usable answer.
    in_flight: Option<Batch>,
    /// When the last write began.
    last_write: Option<clock::Instant>,
}

impl Journal {
    /// Whether the batches of earlier stewards were read.
    #[must_use]
    pub fn is_loaded(&self) -> bool {
        self.next.is_some()
    }

    /// Adds a stream to be written. Of more than `max_pending`, the oldest are left out.
    pub fn add(&mut self, now: clock::Instant, record: Record, max_pending: usize) {
        if self.pending.len() >= max_pending {
            self.pending.pop_front();
        }
        self.pending.push_back((now.after(RELEASE_TIME), record));
    }

    /// Begins with the batches of earlier stewards and the streams that this one knows. Returns the streams of those batches
    /// whose callers may still come back.
    pub fn load<'a, I>(&mut self, now: clock::Instant, batches: &[Batch], known: I) -> Vec<Record>
    where
        I: Iterator<Item = &'a Record>,
    {
        let newest = batches.iter().max_by_key(|batch| batch.number);
        self.next = Some(newest.map_or(0, |batch| batch.number + FIRST_STEP));
        self.inherited = newest.map(|batch| (batch.first, now.after(RELEASE_TIME)));
        let first = newest.map_or(0, |batch| batch.first);
        let relevant = batches.iter().filter(|batch| batch.number >= first);
        let records: Vec<Record> = relevant.flat_map(Batch::records).collect();
        let stored: HashSet<&SmolStr> = records.iter().map(|record| &record.attempt).collect();
        let missing = known.filter(|record| !stored.contains(&record.attempt));
        let until = now.after(RELEASE_TIME);
        self.pending = missing.map(|record| (until, record.clone())).collect();
        records
    }

    /// How long until a write may begin, if there is anything to write.
    #[must_use]
    pub fn next_write_in(&self, now: clock::Instant) -> Option<Duration> {
        let has_work = self.in_flight.is_some() || !self.pending.is_empty();
        let at = self.last_write.map(|at| at.after(WRITE_INTERVAL));
        has_work.then(|| at.map_or(Duration::ZERO, |at| at.since(now)))
    }

    /// Takes the next batch, which has the same number as the last one if that was not written. Streams of groups for which
    /// `is_needed` is false wait until they are needed, or don't matter any more. Returns `None` if there is nothing to write,
    /// or if the batches of earlier stewards weren't read.
    pub fn take<F>(&mut self, now: clock::Instant, is_needed: F) -> Option<Batch>
    where
        F: Fn(&str) -> bool,
    {
        let number = self.next?;
        if self.in_flight.is_none() {
            while self.pending.front().is_some_and(|(until, _)| *until <= now) {
                self.pending.pop_front();
            }
            let streams = self.take_pending(is_needed);
            if streams.is_empty() {
                return None;
            }
            let first = self.first(now, number);
            self.in_flight = Some(Batch {
                number,
                first,
                streams,
            });
        }
        self.last_write = Some(now);
        self.in_flight.clone()
    }

    fn take_pending<F>(&mut self, is_needed: F) -> Vec<(SmolStr, SmolStr, Vec<SmolStr>)>
    where
        F: Fn(&str) -> bool,
    {
        let mut streams: BTreeMap<(SmolStr, SmolStr), Vec<SmolStr>> = BTreeMap::new();
        let mut needed: BTreeMap<SmolStr, bool> = BTreeMap::new();
        let mut bytes = 0;
        let mut left = VecDeque::new();
        for (until, record) in self.pending.drain(..) {
            let group = record.group.clone();
            let is_needed = *needed
                .entry(group)
                .or_insert_with_key(|group| is_needed(group));
            if !is_needed || bytes >= MAX_BATCH_BYTES {
                left.push_back((until, record));
                continue;
            }
            let attempts = streams.entry((record.group, record.version));
            bytes += written_bytes(&record.attempt);
            let attempts = attempts.or_insert_with_key(|(group, version)| {
                bytes += written_bytes(group) + written_bytes(version);
                Vec::new()
            });
            attempts.push(record.attempt);
        }
        self.pending = left;
        let streams = streams.into_iter();
        streams
            .map(|((group, version), attempts)| (group, version, attempts))
            .collect()
    }

    /// The number of the oldest batch that matters as this one is written.
    fn first(&mut self, now: clock::Instant, number: u64) -> u64 {
        while self
            .written
            .front()
            .is_some_and(|(at, _)| now.since(*at) >= RELEASE_TIME)
        {
            self.written.pop_front();
        }
        self.inherited = self.inherited.filter(|(_, until)| now < *until);
        let inherited = self.inherited.map(|(first, _)| first);
        let own = self.written.front().map(|(_, number)| *number);
        inherited.or(own).unwrap_or(number)
    }

    /// Records that the store will never take a batch, whose streams are then left out.
    pub fn record_refused(&mut self, number: u64) {
        self.in_flight.take_if(|batch| batch.number == number);
    }

    /// Records that the batch was written.
    pub fn record_written(&mut self, now: clock::Instant, number: u64) {
        if self
            .in_flight
            .take_if(|batch| batch.number == number)
            .is_some()
        {
            self.written.push_back((now, number));
            self.next = Some(number + 1);
        }
    }
}

/// Maximum size of a text as it is written: each character may be escaped, and quotes and a comma are added.
fn written_bytes(text: &str) -> usize {
    2 * text.len() + 3
}
