//! What instances tell each other, through the steward, of the prompts that servers have read.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::{Key, Prefix};
use crate::fleet::load;

/// Maximum number of reads in one demand. An instance that sends more prompts in the few milliseconds between two demands leaves
/// out the oldest.
pub const MAX_READS: usize = 32;
/// Maximum number of prefixes in one broadcast: some 1.5 KB.
pub const MAX_NEWS: usize = 48;
/// Maximum number of prefixes that wait for a broadcast.
const MAX_WAITING: usize = 256;
/// Maximum number of prefixes whose requests are counted at a time; twice as many are remembered. Callers may invent any number.
const MAX_COUNTED: usize = 2048;

/// A prompt that a server has read.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Read {
    /// The server's id.
    pub server: SmolStr,
    /// When its process started, in Unix milliseconds.
    pub started_ms: u64,
    /// The tokens that it had to write into its memory.
    pub written: u32,
    /// The prefixes of the prompt.
    pub prefixes: Vec<Prefix>,
}

/// What is new of a server's memory, from the steward.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct News {
    /// When the server's process started, in Unix milliseconds.
    pub started_ms: u64,
    /// The tokens that were written into its memory since the last broadcast.
    pub written: u32,
    /// The prefixes that it has read since, of those that several requests have.
    pub prefixes: Vec<Prefix>,
}

/// The steward's collection of what instances have reported.
#[derive(Clone, Debug, Default)]
pub struct Collector {
    /// The server that has read each prefix last, and its process; of those that were asked for lately and before that.
    recent: BTreeMap<Key, Reader>,
    older: BTreeMap<Key, Reader>,
    waiting: VecDeque<(SmolStr, u64, Prefix)>,
    written: BTreeMap<SmolStr, (u64, u32)>,
}

#[derive(Clone, Debug)]
struct Reader {
    server: SmolStr,
    started_ms: u64,
    /// Whether more than one request had the prefix.
    is_shared: bool,
}

impl Collector {
    /// Records the reads that an instance has reported.
    pub fn record<I>(&mut self, reads: I)
    where
        I: IntoIterator<Item = Read>,
    {
        for read in reads.into_iter().take(MAX_READS) {
            let written = self.written.entry(read.server.clone()).or_default();
            if written.0 < read.started_ms {
                *written = (read.started_ms, 0);
            }
            if written.0 == read.started_ms {
                written.1 = written.1.saturating_add(read.written);
            }
            for prefix in read.prefixes.iter().take(super::MAX_PREFIXES) {
                self.record_prefix(&read, *prefix);
            }
        }
    }

    fn record_prefix(&mut self, read: &Read, prefix: Prefix) {
        let known = self.recent.get(&prefix.key);
        let known = known.or_else(|| self.older.get(&prefix.key)).cloned();
        if let Some(known) = &known {
            // Nobody was told of the first read while it was the only one.
            if !known.is_shared {
                self.queue(known.server.clone(), known.started_ms, prefix);
            }
            self.queue(read.server.clone(), read.started_ms, prefix);
        }
        if self.recent.len() >= MAX_COUNTED && !self.recent.contains_key(&prefix.key) {
            self.older = std::mem::take(&mut self.recent);
        }
        let reader = Reader {
            server: read.server.clone(),
            started_ms: read.started_ms,
            is_shared: known.is_some(),
        };
        self.recent.insert(prefix.key, reader);
    }

    fn queue(&mut self, server: SmolStr, started_ms: u64, prefix: Prefix) {
        let is_queued = self
            .waiting
            .iter()
            .any(|(id, _, queued)| *id == server && queued.key == prefix.key);
        if is_queued {
            return;
        }
        if self.waiting.len() >= MAX_WAITING {
            self.waiting.pop_front();
        }
        self.waiting.push_back((server, started_ms, prefix));
    }

    /// Takes what is to be broadcast, by server.
    pub fn take(&mut self) -> BTreeMap<SmolStr, News> {
        let count = self.waiting.len().min(MAX_NEWS);
        let mut news: BTreeMap<SmolStr, News> = BTreeMap::new();
        for (server, started_ms, prefix) in self.waiting.drain(..count) {
            let of_server = news.entry(server).or_default();
            if of_server.started_ms < started_ms {
                *of_server = News {
                    started_ms,
                    ..News::default()
                };
            }
            if of_server.started_ms == started_ms {
                of_server.prefixes.push(prefix);
            }
        }
        // What was written at the other servers is told with their next prefix.
        for (server, of_server) in &mut news {
            if let Some((started_ms, written)) = self.written.get_mut(server)
                && *started_ms == of_server.started_ms
            {
                of_server.written = std::mem::take(written);
            }
        }
        news
    }

    /// Drops servers that are gone.
    pub fn retain<F>(&mut self, is_known: F)
    where
        F: Fn(&str) -> bool,
    {
        self.written.retain(|server, _| is_known(server));
    }
}

/// Adds news of servers to the loads that are broadcast, which stay in the order of the servers' ids. `totals` has the loads of
/// all servers.
pub fn attach(
    loads: &mut Vec<load::Load>,
    totals: &BTreeMap<&SmolStr, load::Load>,
    news: BTreeMap<SmolStr, News>,
) {
    for (server, news) in news {
        let index = match loads.binary_search_by(|load| load.server.cmp(&server)) {
            Ok(index) => index,
            Err(index) => {
                let total = totals.get(&server).cloned();
                loads.insert(index, total.unwrap_or_else(|| load::Load::new(server)));
                index
            }
        };
        loads[index].kept = Some(Box::new(news));
    }
}
