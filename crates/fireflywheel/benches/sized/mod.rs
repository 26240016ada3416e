//! Ledgers and nodes of a given size, for benchmarks and for the bounds in `tests/slopes.rs`.
#![allow(dead_code, missing_docs, reason = "each target uses a part")]

pub mod fleet;

use std::fmt::Write as _;

use fireflywheel::{item, ledger, record};
use smol_str::{SmolStr, format_smolstr};

/// Log time of the first record, in unix milliseconds.
const TIME_MS: u64 = 1_700_000_000_000;
/// Number of entries in one record of the log that builds a ledger.
const ENTRIES_PER_RECORD: usize = 100;
/// Number of backend servers in a current group of model engines.
const SERVERS_PER_GROUP: usize = 12;

/// Size of a system.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub instances: usize,
    pub groups: usize,
    pub servers: usize,
    pub models: usize,
    pub adapters: usize,
    pub keys: usize,
    /// Number of models loaded on each backend server.
    pub loaded: usize,
}

impl Size {
    /// Returns a multiple of the current size. The number of groups grows, and their size stays the same.
    pub fn times(factor: usize) -> Self {
        Self {
            instances: 16 * factor,
            groups: factor,
            servers: SERVERS_PER_GROUP * factor,
            models: 65 * factor,
            adapters: 75 * factor,
            keys: 1_000 * factor,
            loaded: 5,
        }
    }

    /// Returns the target size of `docs/CAPACITY.md`. The number of groups, the number of models on one
    /// backend server and the number of keys are assumptions of that document.
    pub fn target() -> Self {
        Self {
            instances: 1_100,
            groups: 24,
            servers: 12_000,
            models: 130,
            adapters: 9_300,
            keys: 100_000,
            loaded: 2,
        }
    }

    pub fn group(&self, number: usize) -> SmolStr {
        format_smolstr!("g{}", number % self.groups)
    }

    /// Returns a minimal serving configuration of this size.
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
            .expect("writing to a string succeeds");
        }
        for model in 0..self.models {
            let group = self.group(model);
            write!(
                text,
                "\n[model m{model}]\ngroup = {group}\nmemory_mb = 4000\nreplicas = 1000\n"
            )
            .expect("writing to a string succeeds");
        }
        for adapter in 0..self.adapters {
            let model = adapter % self.models;
            write!(
                text,
                "\n[adapter m{model}:a{adapter}]\nmemory_mb = 50\nreplicas = 1\n"
            )
            .expect("writing to a string succeeds");
        }
        text
    }

    pub fn server(&self, server_index: usize) -> SmolStr {
        format_smolstr!(
            "10.{}.{}.{}:80",
            server_index >> 16,
            (server_index >> 8) & 255,
            server_index & 255
        )
    }

    /// Returns all placements as group, backend server and item, with models before the adapters on them.
    pub fn placements(&self) -> Vec<(usize, usize, item::Item)> {
        let mut placements = Vec::new();
        let mut holders = vec![Vec::new(); self.models];
        for server_index in 0..self.servers {
            let group = server_index % self.groups;
            let group_models = (self.models - group).div_ceil(self.groups);
            let round = server_index / self.groups;
            for index in 0..self.loaded.min(group_models) {
                let model = group + self.groups * ((round * self.loaded + index) % group_models);
                holders[model].push(server_index);
                let item = item::Item::new(format_smolstr!("m{model}"), 1);
                placements.push((group, server_index, item));
            }
        }
        for adapter in 0..self.adapters {
            let model = adapter % self.models;
            let round = adapter / self.models;
            let Some(server_index) = holders[model].get(round % holders[model].len().max(1)) else {
                continue;
            };
            let item = item::Item::new(format_smolstr!("m{model}"), 1)
                .with_adapter(format_smolstr!("a{adapter}"));
            placements.push((model % self.groups, *server_index, item));
        }
        placements
    }
}

/// Writer of a log that folds the records into a ledger.
pub struct Writer {
    pub size: Size,
    pub ledger: ledger::Ledger,
    /// All folded records.
    pub log: Vec<record::Stored>,
    by: record::Incarnation,
    sequence: u64,
    next: u64,
    time_ms: u64,
    numbers: Vec<u64>,
    keys: u64,
}

impl Writer {
    /// Creates the log of a fully used system of this size in which `by` is the steward of all groups.
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
            writer.add_incarnation(instance);
        }
        for placements in size.placements().chunks(ENTRIES_PER_RECORD / 2) {
            let mut entries = Vec::new();
            for (group, server_index, item) in placements {
                entries.extend(writer.load(*group, *server_index, item));
            }
            writer.write(entries);
        }
        for _ in 0..size.keys {
            let entries = writer.claim();
            writer.write(entries);
        }
        writer
    }

    /// Adds a further incarnation to the ledger.
    fn add_incarnation(&mut self, instance: usize) {
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

    /// Hands a group over from this writer to another process, in that process's first record.
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

    /// Creates the next record of this writer.
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

    /// Folds and stores a record; panics if an entry is rejected.
    pub fn fold(&mut self, stored: record::Stored) {
        let folded = self.ledger.fold(&stored).expect("the next record");
        let folded = folded.expect("the record is valid");
        for (entry, decision) in &folded.entries {
            assert_eq!(*decision, ledger::Decision::Accepted, "{entry:?}");
        }
        self.log.push(stored);
    }

    pub fn write(&mut self, entries: Vec<record::Entry>) {
        let stored = self.record(entries);
        self.fold(stored);
    }

    fn order(&mut self, group: usize, server_index: usize, item: &item::Item) -> record::Order {
        self.numbers[group] += 1;
        record::Order {
            group: self.size.group(group),
            epoch: 1,
            number: self.numbers[group],
            server: self.size.server(server_index),
            item: item.clone(),
        }
    }

    /// Returns the intent and the outcome of a load.
    pub fn load(
        &mut self,
        group: usize,
        server_index: usize,
        item: &item::Item,
    ) -> [record::Entry; 2] {
        let order = self.order(group, server_index, item);
        [
            record::Entry::Grant(order.clone()),
            close_entry(order, true),
        ]
    }

    /// Returns the intent and the outcome of an unload.
    pub fn unload(
        &mut self,
        group: usize,
        server_index: usize,
        item: &item::Item,
    ) -> [record::Entry; 2] {
        let order = self.order(group, server_index, item);
        [
            record::Entry::Withdraw(order.clone()),
            close_entry(order, false),
        ]
    }

    /// Returns a claim and its outcome. The log time advances by one second, so that the oldest key expires
    /// once the number of keys of the size is reached.
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

    /// Returns one round of changes to placements, each entry in its own record: intent and outcome of an
    /// unload and of a load of the last placement.
    pub fn round(&mut self) -> Vec<record::Stored> {
        let (group, server_index, item) = self.last_placement();
        let unload = self.unload(group, server_index, &item);
        let load = self.load(group, server_index, &item);
        let entries = unload.into_iter().chain(load);
        entries.map(|entry| self.record(vec![entry])).collect()
    }

    fn last_placement(&self) -> (usize, usize, item::Item) {
        let last = self.size.placements().pop();
        last.expect("the size has placements")
    }
}

fn close_entry(order: record::Order, loaded: bool) -> record::Entry {
    record::Entry::Close {
        order,
        epoch: 1,
        loaded,
        stray: false,
    }
}

/// Returns the incarnation of an instance.
pub fn incarnation(instance: usize) -> record::Incarnation {
    record::Incarnation {
        instance: format_smolstr!("i{instance:04}"),
        number: TIME_MS,
    }
}
