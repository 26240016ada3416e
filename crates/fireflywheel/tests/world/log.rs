//! The platform's log, in memory.

use std::collections::VecDeque;

use fireflywheel::record;

#[derive(Default)]
pub struct Log {
    pub records: VecDeque<record::Stored>,
    pub next: u64,
    /// Whether the log is unreachable: appends are refused, and reads fail.
    pub is_down: bool,
    /// Maximum number of records that one read returns.
    pub page: Option<usize>,
    /// The number of next appends whose answers are lost.
    pub answers_to_lose: u32,
}

impl Log {
    pub fn append(&mut self, now: u64, body: String) -> u64 {
        let offset = self.next;
        self.next += 1;
        self.records.push_back(record::Stored {
            offset,
            time_ms: 1_700_000_000_000 + now,
            body,
        });
        offset
    }

    /// Drops all records but the newest ones.
    pub fn retain(&mut self, newest: usize) {
        while self.records.len() > newest {
            self.records.pop_front();
        }
    }

    pub fn read(&self, from: u64) -> (u64, u64, Vec<record::Stored>) {
        let first = self
            .records
            .front()
            .map_or(self.next, |stored| stored.offset);
        let records = self.records.iter().filter(|stored| stored.offset >= from);
        let page = self.page.unwrap_or(usize::MAX);
        (first, self.next, records.take(page).cloned().collect())
    }
}
