//! Ledgers and nodes of a given size, for benchmarks and for the bounds in `tests/slopes.rs`.
#![allow(dead_code, missing_docs, reason = "each target uses a part")]

pub mod fleet;

use std::fmt::Write as _;

use fireflywheel::{item, ledger, record};
use smol_str::{SmolStr, format_smolstr};

/// Log time of the first record, in unix milliseconds.
const TIME_MS: u64 = 1_700_000_000_000;
/// Entries in one record of the log that builds a ledger.
const BATCH: usize = 100;
/// Workers in one of today's groups of model engines.
const WORKERS: usize = 12;

/// How many there are of what.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub instances: usize,
    pub groups: usize,
    pub workers: usize,
    pub models: usize,
    pub adapters: usize,
    pub keys: usize,
    /// Models loaded on each worker.
    pub loaded: usize,
}

impl Size {
    /// So many times today's sizes; groups grow in number and keep their size.
    pub fn times(factor: usize) -> Self {
        Self {
            instances: 16 * factor,
            groups: factor,
            workers: WORKERS * factor,
            models: 65 * factor,
            adapters: 75 * factor,
            keys: 1_000 * factor,
            loaded: 5,
        }
    }

    /// The size that `docs/CAPACITY.md` is worked out for. The number of groups, the models on one worker and
    /// the keys are assumed there.
    pub fn target() -> Self {
        Self {
            instances: 1_100,
            groups: 24,
            workers: 12_000,
            models: 130,
            adapters: 9_300,
            keys: 100_000,
            loaded: 2,
        }
    }

    pub fn group(&self, number: usize) -> SmolStr {
        format_smolstr!("g{}", number % self.groups)
    }

    /// The serving configuration with as few words as it can have.
    pub fn document(&self) -> String {
        let mut text = format!(
            "[serving]\nkeys = 1000000\nkey_memory_s = {}\n\n[class interactive]\ndeadline_ms = 5000\n\
             in_flight = 100000\nqueue = 100000\n\n[tenant t]\nin_flight = 100000\n",
            self.keys.max(60)
        );
        for group in 0..self.groups {
            write!(
                text,
                "\n[group g{group}]\nkind = engine\nfencing = checked\nmemory_mb = 24000\nslots = 16\n"
            )
            .expect("a string takes text");
        }
        for model in 0..self.models {
            let group = self.group(model);
            write!(
                text,
                "\n[model m{model}]\ngroup = {group}\nmemory_mb = 4000\nreplicas = 1000\n"
            )
            .expect("a string takes text");
        }
        for adapter in 0..self.adapters {
            let model = adapter % self.models;
            write!(
                text,
                "\n[adapter m{model}:a{adapter}]\nmemory_mb = 50\nreplicas = 1\n"
            )
            .expect("a string takes text");
        }
        text
    }

    pub fn server(&self, worker: usize) -> SmolStr {
        format_smolstr!(
            "10.{}.{}.{}:80",
            worker >> 16,
            (worker >> 8) & 255,
            worker & 255
        )
    }

    /// Each placement: group, worker and item; models before the adapters on them.
    pub fn placements(&self) -> Vec<(usize, usize, item::Item)> {
        let mut placements = Vec::new();
        let mut holders = vec![Vec::new(); self.models];
        for worker in 0..self.workers {
            let group = worker % self.groups;
            let own = (self.models - group).div_ceil(self.groups);
            let turn = worker / self.groups;
            for place in 0..self.loaded.min(own) {
                let model = group + self.groups * ((turn * self.loaded + place) % own);
                holders[model].push(worker);
                let item = item::Item::new(format_smolstr!("m{model}"), 1);
                placements.push((group, worker, item));
            }
        }
        for adapter in 0..self.adapters {
            let model = adapter % self.models;
            let turn = adapter / self.models;
            let Some(worker) = holders[model].get(turn % holders[model].len().max(1)) else {
                continue;
            };
            let item = item::Item::new(format_smolstr!("m{model}"), 1)
                .with_adapter(format_smolstr!("a{adapter}"));
            placements.push((model % self.groups, *worker, item));
        }
        placements
    }
}

/// Writes the records of a log, and folds them.
pub struct Writer {
    pub size: Size,
    pub ledger: ledger::Ledger,
    /// Every record, where they are kept.
    pub log: Vec<record::Stored>,
    by: record::Incarnation,
    sequence: u64,
    next: u64,
    time_ms: u64,
    numbers: Vec<u64>,
    keys: u64,
}

impl Writer {
    /// The log of a system of this size in full use, all groups held by `by`.
    pub fn new(size: Size, by: record::Incarnation) -> Self {
        let mut writer = Self {
            size,
            ledger: ledger::Ledger::new(),
            log: Vec::new(),
            by,
            sequence: 0,
            next: 0,
            time_ms: TIME_MS,
            numbers: vec![0; size.groups],
            keys: 0,
        };
        writer.write(vec![record::Entry::Publish {
            base: 0,
            text: size.document(),
        }]);
        let groups = (0..size.groups).map(|group| record::Entry::Steward {
            group: size.group(group),
            epoch: 1,
        });
        writer.write(groups.collect());
        for instance in 0..size.instances {
            writer.mention(instance);
        }
        for placements in size.placements().chunks(BATCH / 2) {
            let mut entries = Vec::new();
            for (group, worker, item) in placements {
                entries.extend(writer.load(*group, *worker, item));
            }
            writer.write(entries);
        }
        for _ in 0..size.keys {
            let entries = writer.claim();
            writer.write(entries);
        }
        writer
    }

    /// Another incarnation that the ledger remembers.
    fn mention(&mut self, instance: usize) {
        let by = record::Incarnation {
            instance: format_smolstr!("i{instance:04}"),
            number: TIME_MS + 1,
        };
        let record = record::Record {
            rule: record::RULES_VERSION,
            id: record::Id { by, sequence: 1 },
            entries: Vec::new(),
        };
        let stored = self.store(record.encode());
        self.fold(stored);
    }

    /// A group goes from this writer to another process, in its first record.
    pub fn hand_over(&mut self, group: usize, by: record::Incarnation) {
        let record = record::Record {
            rule: record::RULES_VERSION,
            id: record::Id { by, sequence: 1 },
            entries: vec![record::Entry::Steward {
                group: self.size.group(group),
                epoch: 2,
            }],
        };
        let stored = self.store(record.encode());
        self.fold(stored);
    }

    /// The next record of this writer.
    pub fn record(&mut self, entries: Vec<record::Entry>) -> record::Stored {
        self.sequence += 1;
        let record = record::Record {
            rule: record::RULES_VERSION,
            id: record::Id {
                by: self.by.clone(),
                sequence: self.sequence,
            },
            entries,
        };
        self.store(record.encode())
    }

    fn store(&mut self, body: String) -> record::Stored {
        let stored = record::Stored {
            offset: self.next,
            time_ms: self.time_ms,
            body,
        };
        self.next += 1;
        stored
    }

    /// Folds a record and keeps it; panics where an entry is void.
    pub fn fold(&mut self, stored: record::Stored) {
        let folded = self.ledger.fold(&stored).expect("the next record");
        let folded = folded.expect("a record of ours");
        for (entry, judgement) in &folded.entries {
            assert_eq!(*judgement, ledger::Decision::Accepted, "{entry:?}");
        }
        self.log.push(stored);
    }

    pub fn write(&mut self, entries: Vec<record::Entry>) {
        let stored = self.record(entries);
        self.fold(stored);
    }

    fn order(&mut self, group: usize, worker: usize, item: &item::Item) -> record::Order {
        self.numbers[group] += 1;
        record::Order {
            group: self.size.group(group),
            epoch: 1,
            number: self.numbers[group],
            server: self.size.server(worker),
            item: item.clone(),
        }
    }

    /// Intent and outcome of a load.
    pub fn load(&mut self, group: usize, worker: usize, item: &item::Item) -> [record::Entry; 2] {
        let order = self.order(group, worker, item);
        [record::Entry::Grant(order.clone()), close(order, true)]
    }

    /// Intent and outcome of an unload.
    pub fn unload(&mut self, group: usize, worker: usize, item: &item::Item) -> [record::Entry; 2] {
        let order = self.order(group, worker, item);
        [record::Entry::Withdraw(order.clone()), close(order, false)]
    }

    /// A claim and its outcome; a second of log time passes, so that the oldest key expires once there are as
    /// many as the size names.
    pub fn claim(&mut self) -> Vec<record::Entry> {
        use fireflywheel::claim;
        self.time_ms += 1_000;
        self.keys += 1;
        let key = claim::Key {
            tenant: SmolStr::new_static("t"),
            text: format_smolstr!("booking-2026-{:08}", self.keys),
        };
        let outcome = claim::Outcome::Answered {
            status: 200,
            content_type: SmolStr::new_static("application/json"),
            body: Some(String::from(r#"{"ticket":"0000000000"}"#)),
        };
        vec![
            record::Entry::Claim {
                key: key.clone(),
                fingerprint: 7,
            },
            record::Entry::Settle { key, outcome },
        ]
    }

    /// One round of what happens to placements, each entry in a record of its own: a load's intent and
    /// outcome, and an unload's, on the last worker.
    pub fn round(&mut self) -> Vec<record::Stored> {
        let (group, worker, item) = self.last_placement();
        let unload = self.unload(group, worker, &item);
        let load = self.load(group, worker, &item);
        let entries = unload.into_iter().chain(load);
        entries.map(|entry| self.record(vec![entry])).collect()
    }

    fn last_placement(&self) -> (usize, usize, item::Item) {
        let last = self.size.placements().pop();
        last.expect("a size has placements")
    }
}

fn close(order: record::Order, loaded: bool) -> record::Entry {
    record::Entry::Close {
        order,
        epoch: 1,
        loaded,
        stray: false,
    }
}

/// The process that holds the groups.
pub fn incarnation(instance: usize) -> record::Incarnation {
    record::Incarnation {
        instance: format_smolstr!("i{instance:04}"),
        number: TIME_MS,
    }
}
