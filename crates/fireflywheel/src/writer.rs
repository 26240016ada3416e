//! Appends to the log, one in flight.
//!
//! Entries that are pushed while an append is in flight wait and go out together in the next one, so the
//! slower the log, the larger the batches, and the fewer the appends of a large fleet.
//!
//! An append whose answer was lost may be in the log, now or later. The same text under the same id is then
//! sent again until one copy is known to be there: stored, or read back. Only then does the next batch go
//! out. Would it go out earlier, a copy of the lost one that lands behind it would be taken for an old
//! record, and its entries were lost without a word.

use std::{collections::VecDeque, fmt};

use crate::record;

/// Bytes of entries in one batch at most, well below what the log takes. A longer entry goes alone.
pub const MAX_BATCH_BYTES: usize = 512 << 10;

/// Bytes of one entry as JSON at most: what the log takes, less the frame of a record.
pub const MAX_ENTRY_BYTES: usize = (1 << 20) - (4 << 10);

/// Bytes of entries that wait at most.
pub const MAX_WAITING_BYTES: usize = 8 << 20;

/// What came of an append.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// It is in the log at this offset.
    Stored(u64),
    /// Nothing was appended.
    Refused,
    /// No answer: it may be in the log, now or later.
    Lost,
}

/// Why an entry was not taken; it is not in the log and won't be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// [`MAX_WAITING_BYTES`] bytes wait already.
    Full,
    /// The entry has so many bytes, more than [`MAX_ENTRY_BYTES`].
    TooLong(usize),
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Full => f.write_str("too many entries wait for the log"),
            Self::TooLong(bytes) => {
                write!(
                    f,
                    "an entry of {bytes} bytes, the log takes {MAX_ENTRY_BYTES}"
                )
            }
        }
    }
}

impl std::error::Error for Refusal {}

/// Batches the entries of one incarnation into records.
#[derive(Debug)]
pub struct Writer {
    by: record::Incarnation,
    /// Of the newest record that may be in the log.
    sequence: u64,
    waiting: VecDeque<Entry>,
    /// Bytes of `waiting`.
    bytes: usize,
    flight: Option<Flight>,
}

/// An entry that waits, with its length as JSON.
#[derive(Debug)]
struct Entry {
    entry: record::Entry,
    bytes: usize,
}

/// The record that was handed out last and isn't known to be in the log.
#[derive(Debug)]
struct Flight {
    sequence: u64,
    entries: Vec<Entry>,
    body: String,
    /// Whether an answer is due.
    sent: bool,
    /// Whether an answer was lost, so that a copy may be on its way.
    lost: bool,
    /// Whether it was read back before it was answered.
    landed: bool,
}

impl Writer {
    /// A writer of an incarnation that has appended nothing yet.
    #[must_use]
    pub fn new(by: record::Incarnation) -> Self {
        Self {
            by,
            sequence: 0,
            waiting: VecDeque::new(),
            bytes: 0,
            flight: None,
        }
    }

    /// Lets an entry wait for the next batch.
    ///
    /// # Errors
    ///
    /// [`Refusal`] when it can't wait.
    pub fn push(&mut self, entry: record::Entry) -> Result<(), Refusal> {
        let bytes = serde_json::to_vec(&entry)
            .expect("an entry always has a JSON form")
            .len();
        if bytes > MAX_ENTRY_BYTES {
            return Err(Refusal::TooLong(bytes));
        }
        if self.bytes + bytes > MAX_WAITING_BYTES {
            return Err(Refusal::Full);
        }
        self.bytes += bytes;
        self.waiting.push_back(Entry { entry, bytes });
        Ok(())
    }

    /// The text to append now; `None` while an answer is due, or when nothing waits. Each one handed out is
    /// to be followed by one call of [`Self::handle_answer`]. The writer is no iterator: an iterator would invite
    /// loops, and each text needs its answer before the next one goes out.
    pub fn next_append(&mut self) -> Option<String> {
        if let Some(flight) = &mut self.flight {
            if flight.sent {
                return None;
            }
            flight.sent = true;
            return Some(flight.body.clone());
        }
        let entries = self.batch();
        if entries.is_empty() {
            return None;
        }
        let sequence = self.sequence + 1;
        let body = self.body(sequence, &entries);
        self.flight = Some(Flight {
            sequence,
            entries,
            body: body.clone(),
            sent: true,
            lost: false,
            landed: false,
        });
        Some(body)
    }

    /// What came of the append that [`Self::next_append`] handed out last.
    pub fn handle_answer(&mut self, answer: Answer) {
        let Some(mut flight) = self.flight.take() else {
            return;
        };
        flight.sent = false;
        if flight.landed || matches!(answer, Answer::Stored(_)) {
            self.sequence = flight.sequence;
            return;
        }
        flight.lost |= answer == Answer::Lost;
        if flight.lost {
            self.flight = Some(flight);
        } else {
            self.put_back(flight.entries);
        }
    }

    /// A record was read back from the log. Ends the wait for a lost answer, if it is the one.
    pub fn record_read(&mut self, id: &record::Id) {
        let Some(flight) = &mut self.flight else {
            return;
        };
        if id.by != self.by || id.sequence != flight.sequence {
            return;
        }
        if flight.sent {
            flight.landed = true;
            return;
        }
        self.sequence = flight.sequence;
        self.flight = None;
    }

    /// Takes back entries that no append has held yet and that `keep` doesn't want any more, such as a claim
    /// whose request is past its deadline. What an append holds, or held when its answer was lost, stays: it
    /// may be in the log.
    pub fn retain<F>(&mut self, mut keep: F) -> Vec<record::Entry>
    where
        F: FnMut(&record::Entry) -> bool,
    {
        let waiting = std::mem::take(&mut self.waiting);
        let (kept, dropped): (Vec<Entry>, Vec<Entry>) = waiting
            .into_iter()
            .partition(|waiting| keep(&waiting.entry));
        self.bytes = kept.iter().map(|waiting| waiting.bytes).sum();
        self.waiting = kept.into();
        dropped.into_iter().map(|dropped| dropped.entry).collect()
    }

    /// Entries that wait for the next batch.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Entries that may be in the log and are not known to be.
    pub fn in_flight(&self) -> impl Iterator<Item = &record::Entry> {
        let flight = self.flight.iter();
        flight.flat_map(|flight| flight.entries.iter().map(|entry| &entry.entry))
    }

    /// Takes as many entries as fit into one record, and at least one.
    fn batch(&mut self) -> Vec<Entry> {
        let mut entries = Vec::new();
        let mut bytes = 0;
        while let Some(entry) = self.waiting.pop_front() {
            if !entries.is_empty() && bytes + entry.bytes > MAX_BATCH_BYTES {
                self.waiting.push_front(entry);
                break;
            }
            bytes += entry.bytes;
            self.bytes -= entry.bytes;
            entries.push(entry);
        }
        entries
    }

    /// Nothing was appended: the entries wait again, in their order, and the sequence is still free.
    fn put_back(&mut self, entries: Vec<Entry>) {
        for entry in entries.into_iter().rev() {
            self.bytes += entry.bytes;
            self.waiting.push_front(entry);
        }
    }

    fn body(&self, sequence: u64, entries: &[Entry]) -> String {
        let record = record::Record {
            rule: record::RULES_VERSION,
            id: record::Id {
                by: self.by.clone(),
                sequence,
            },
            entries: entries.iter().map(|entry| entry.entry.clone()).collect(),
        };
        record.encode()
    }
}
