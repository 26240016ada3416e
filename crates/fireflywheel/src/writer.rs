//! Appends to the log, with one append in flight at a time.
//!
//! Entries that are pushed while an append is in flight wait and are sent together in the next one. The slower
//! the log, the larger the batches and the fewer the appends of a large fleet.
//!
//! An append whose answer was lost may be in the log, now or later. The same text under the same id is then
//! sent again until one copy is known to be in the log, because it was stored or read back. Only then is the
//! next batch sent. If it were sent earlier, a copy of the lost append that is stored after it would be treated
//! as an old record, and its entries would be lost silently.

use std::{collections::VecDeque, fmt};

use crate::record;

/// Maximum number of bytes of entries in one batch, well below the log's limit. A longer entry is sent alone.
pub const MAX_BATCH_BYTES: usize = 512 << 10;

/// Maximum number of bytes of one entry as JSON: the log's limit, less the rest of a record.
pub const MAX_ENTRY_BYTES: usize = (1 << 20) - (4 << 10);

/// Maximum number of bytes of waiting entries.
pub const MAX_WAITING_BYTES: usize = 8 << 20;

/// The result of an append.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The record is in the log at this offset.
    Stored(u64),
    /// The record was not appended.
    Refused,
    /// No answer was received, so the record may be in the log, now or later.
    Lost,
}

/// Why an entry was refused. A refused entry is not in the log and will not be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The waiting entries would exceed [`MAX_WAITING_BYTES`].
    Full,
    /// The entry has this many bytes, more than [`MAX_ENTRY_BYTES`].
    TooLong(usize),
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Full => f.write_str("too many entries are waiting for the log"),
            Self::TooLong(bytes) => {
                write!(
                    f,
                    "the entry has {bytes} bytes, the limit is {MAX_ENTRY_BYTES}"
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
    /// The sequence number of the newest record that is known to be in the log.
    sequence: u64,
    waiting: VecDeque<Entry>,
    /// The total size of the entries in `waiting`, in bytes.
    waiting_bytes: usize,
    in_flight: Option<InFlight>,
}

/// An entry with its size as JSON, in bytes.
#[derive(Debug)]
struct Entry {
    entry: record::Entry,
    bytes: usize,
}

/// The newest record that was handed out, which is not known to be in the log yet.
#[derive(Debug)]
struct InFlight {
    sequence: u64,
    entries: Vec<Entry>,
    body: String,
    /// Whether an append of the record awaits its answer.
    awaits_answer: bool,
    /// Whether an answer was lost, so that a copy of the record may be on its way.
    answer_lost: bool,
    /// Whether the record was read back before its append was answered.
    read_back: bool,
}

impl Writer {
    /// Creates the writer of an incarnation that has appended nothing yet.
    #[must_use]
    pub fn new(by: record::Incarnation) -> Self {
        Self {
            by,
            sequence: 0,
            waiting: VecDeque::new(),
            waiting_bytes: 0,
            in_flight: None,
        }
    }

    /// Queues an entry for the next batch.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal`] when the entry is too long or too many entries are waiting.
    pub fn push(&mut self, entry: record::Entry) -> Result<(), Refusal> {
        let bytes = serde_json::to_vec(&entry)
            .expect("an entry always has a JSON form")
            .len();
        if bytes > MAX_ENTRY_BYTES {
            return Err(Refusal::TooLong(bytes));
        }
        if self.waiting_bytes + bytes > MAX_WAITING_BYTES {
            return Err(Refusal::Full);
        }
        self.waiting_bytes += bytes;
        self.waiting.push_back(Entry { entry, bytes });
        Ok(())
    }

    /// Returns the text to append now; `None` while an answer is outstanding, or when no entry is waiting. Each
    /// returned text must be followed by one call of [`Self::handle_answer`]. The writer is not an iterator, which
    /// would invite loops, because each text needs its answer before the next one is sent.
    pub fn next_append(&mut self) -> Option<String> {
        if let Some(in_flight) = &mut self.in_flight {
            if in_flight.awaits_answer {
                return None;
            }
            in_flight.awaits_answer = true;
            return Some(in_flight.body.clone());
        }
        let entries = self.take_batch();
        if entries.is_empty() {
            return None;
        }
        let sequence = self.sequence + 1;
        let body = self.encode(sequence, &entries);
        self.in_flight = Some(InFlight {
            sequence,
            entries,
            body: body.clone(),
            awaits_answer: true,
            answer_lost: false,
            read_back: false,
        });
        Some(body)
    }

    /// Handles the result of the append that [`Self::next_append`] returned last.
    pub fn handle_answer(&mut self, answer: Answer) {
        let Some(mut in_flight) = self.in_flight.take() else {
            return;
        };
        in_flight.awaits_answer = false;
        if in_flight.read_back || matches!(answer, Answer::Stored(_)) {
            self.sequence = in_flight.sequence;
            return;
        }
        in_flight.answer_lost |= answer == Answer::Lost;
        if in_flight.answer_lost {
            self.in_flight = Some(in_flight);
        } else {
            self.requeue(in_flight.entries);
        }
    }

    /// Handles a record that was read back from the log. If it is the record in flight, it need not be sent again.
    pub fn record_read(&mut self, id: &record::Id) {
        let Some(in_flight) = &mut self.in_flight else {
            return;
        };
        if id.by != self.by || id.sequence != in_flight.sequence {
            return;
        }
        if in_flight.awaits_answer {
            in_flight.read_back = true;
            return;
        }
        self.sequence = in_flight.sequence;
        self.in_flight = None;
    }

    /// Removes and returns the waiting entries for which `keep` does not hold, such as a claim whose request is past
    /// its deadline. Entries of an append that is in flight, or whose answer was lost, stay, since they may be in
    /// the log.
    pub fn retain<F>(&mut self, mut keep: F) -> Vec<record::Entry>
    where
        F: FnMut(&record::Entry) -> bool,
    {
        let waiting = std::mem::take(&mut self.waiting);
        let (kept, removed): (Vec<Entry>, Vec<Entry>) = waiting
            .into_iter()
            .partition(|waiting| keep(&waiting.entry));
        self.waiting_bytes = kept.iter().map(|waiting| waiting.bytes).sum();
        self.waiting = kept.into();
        removed.into_iter().map(|removed| removed.entry).collect()
    }

    /// The number of entries that wait for the next batch.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// The entries that may be in the log but are not known to be.
    pub fn in_flight(&self) -> impl Iterator<Item = &record::Entry> {
        let in_flight = self.in_flight.iter();
        in_flight.flat_map(|in_flight| in_flight.entries.iter().map(|entry| &entry.entry))
    }

    /// Takes as many waiting entries as fit into one batch, but at least one if there is any.
    fn take_batch(&mut self) -> Vec<Entry> {
        let mut entries = Vec::new();
        let mut bytes = 0;
        while let Some(entry) = self.waiting.pop_front() {
            if !entries.is_empty() && bytes + entry.bytes > MAX_BATCH_BYTES {
                self.waiting.push_front(entry);
                break;
            }
            bytes += entry.bytes;
            self.waiting_bytes -= entry.bytes;
            entries.push(entry);
        }
        entries
    }

    /// Returns the entries of a refused append to the front of the queue, in their order. The sequence number is
    /// still unused, since nothing was appended.
    fn requeue(&mut self, entries: Vec<Entry>) {
        for entry in entries.into_iter().rev() {
            self.waiting_bytes += entry.bytes;
            self.waiting.push_front(entry);
        }
    }

    fn encode(&self, sequence: u64, entries: &[Entry]) -> String {
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
