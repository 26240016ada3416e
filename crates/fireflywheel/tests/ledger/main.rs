//! The fold of single entries, rules that span several records, checkpoints, and the start of an instance.

#![expect(
    clippy::unwrap_used,
    reason = "test helpers, which the linter does not recognize as test code"
)]

mod checkpoints;
mod rules;

use std::collections::BTreeSet;

use arbitrary::Unstructured;
use fireflywheel::{
    bootstrap, claim, item, ledger, ledger::checkpoint, ledger::invariant, record, right, verdict,
};
use ledger::Reason;
use rand::{RngCore as _, SeedableRng as _, rngs};
use record::Entry;
use smol_str::SmolStr;

const START_MS: u64 = 1_700_000_000_000;

const DAY_MS: u64 = 24 * 60 * 60 * 1000;

/// Two groups of engines, of which one checks fencing numbers, and at most two idempotency keys.
const DOCUMENT: &str = "\
[serving]
keys = 2
key_memory_s = 3600
[group fenced]
kind = engine
memory_mb = 10
slots = 4
fencing = checked
[group plain]
kind = engine
memory_mb = 10
slots = 4
[model m]
group = plain
memory_mb = 6
replicas = 1
[model n]
group = plain
memory_mb = 5
replicas = 2
[adapter m:t]
memory_mb = 2
replicas = 1
[model f]
group = fenced
memory_mb = 6
replicas = 1
";

/// The log, and the ledger folded from it.
struct Log {
    ledger: ledger::Ledger,
    stored: Vec<record::Stored>,
    time_ms: u64,
    sequence: u64,
}

fn by(instance: &str) -> record::Incarnation {
    record::Incarnation {
        instance: SmolStr::new(instance),
        number: START_MS,
    }
}

fn id(instance: &str, sequence: u64) -> record::Id {
    let by = by(instance);
    record::Id { by, sequence }
}

impl Log {
    fn empty() -> Self {
        Self {
            ledger: ledger::Ledger::new(),
            stored: Vec::new(),
            time_ms: START_MS,
            sequence: 0,
        }
    }

    /// Creates a log with the document and with `a` as the steward of both groups.
    fn new() -> Self {
        let mut log = Self::empty();
        log.publish(0, DOCUMENT).unwrap();
        for group in ["plain", "fenced"] {
            log.steward("a", group, 1).unwrap();
        }
        log
    }

    fn append(&mut self, id: record::Id, entries: Vec<Entry>) -> Vec<ledger::Decision> {
        let rule = record::RULES_VERSION;
        self.append_body(record::Record { rule, id, entries }.encode())
    }

    fn append_body(&mut self, body: String) -> Vec<ledger::Decision> {
        let before = self.ledger.clone();
        let stored = record::Stored {
            offset: self.ledger.next(),
            time_ms: self.time_ms,
            body,
        };
        let folded = self.ledger.fold(&stored).unwrap();
        invariant::check_step(&before, &self.ledger).unwrap();
        self.stored.push(stored);
        let entries = folded.into_iter().flat_map(|folded| folded.entries);
        entries.map(|(_, decision)| decision).collect()
    }

    fn append_entry(&mut self, instance: &str, entry: Entry) -> Result<(), Reason> {
        self.sequence += 1;
        match self.append(id(instance, self.sequence), vec![entry])[..] {
            [ledger::Decision::Accepted] => Ok(()),
            [ledger::Decision::Rejected(reason)] => Err(reason),
            ref other => panic!("{other:?}"),
        }
    }

    fn publish(&mut self, base: u64, text: &str) -> Result<(), Reason> {
        let text = text.to_owned();
        self.append_entry("operator/desk", Entry::Publish { base, text })
    }

    fn steward(&mut self, instance: &str, group: &str, epoch: u64) -> Result<(), Reason> {
        let group = SmolStr::new(group);
        self.append_entry(instance, Entry::Steward { group, epoch })
    }

    fn grant(&mut self, instance: &str, order: &record::Order) -> Result<(), Reason> {
        self.append_entry(instance, Entry::Grant(order.clone()))
    }

    fn withdraw(&mut self, instance: &str, order: &record::Order) -> Result<(), Reason> {
        self.append_entry(instance, Entry::Withdraw(order.clone()))
    }

    fn close(
        &mut self,
        instance: &str,
        order: &record::Order,
        epoch: u64,
        loaded: bool,
        stray: bool,
    ) -> Result<(), Reason> {
        let order = order.clone();
        self.append_entry(
            instance,
            Entry::Close {
                order,
                epoch,
                loaded,
                stray,
            },
        )
    }

    fn load(&mut self, order: &record::Order) {
        self.grant("a", order).unwrap();
        self.close("a", order, order.epoch, true, false).unwrap();
    }

    fn acknowledge(&mut self, instance: &str, epoch: u64, stray: &[u64]) -> Result<(), Reason> {
        self.append_entry(
            instance,
            Entry::Acknowledge {
                group: SmolStr::new("plain"),
                epoch,
                stray: stray.to_vec(),
            },
        )
    }

    fn gone(&mut self, instance: &str, epoch: u64, server: &str, seen: u64) -> Result<(), Reason> {
        self.append_entry(
            instance,
            Entry::Gone {
                group: SmolStr::new("plain"),
                epoch,
                server: SmolStr::new(server),
                seen,
            },
        )
    }

    fn claim(&mut self, instance: &str, key: &str) -> Result<(), Reason> {
        let key = claim_key(key);
        let fingerprint = 1;
        self.append_entry(instance, Entry::Claim { key, fingerprint })
    }

    fn settle(&mut self, instance: &str, key: &str, outcome: claim::Outcome) -> Result<(), Reason> {
        let key = claim_key(key);
        self.append_entry(instance, Entry::Settle { key, outcome })
    }

    fn state(&self, order: &record::Order) -> Option<right::State> {
        self.right(order).map(|right| right.state)
    }

    fn right(&self, order: &record::Order) -> Option<&right::Right> {
        let key = right::Key {
            server: order.server.clone(),
            item: order.item.clone(),
        };
        self.ledger.right(&key)
    }

    fn pins(&self, order: &record::Order) -> Vec<(SmolStr, u64, u64)> {
        let pins = self
            .right(order)
            .map_or(BTreeSet::new(), |right| right.pins.clone());
        let pins = pins.into_iter();
        pins.map(|pin| (pin.by.instance, pin.epoch, pin.number))
            .collect()
    }
}

fn claim_key(text: &str) -> claim::Key {
    claim::Key {
        tenant: SmolStr::new("guides"),
        text: SmolStr::new(text),
    }
}

/// An order of epoch 1 in the group of its model, for the placement `SERVER/ITEM`.
fn order(number: u64, placement: &str) -> record::Order {
    order_of(1, number, placement)
}

fn order_of(epoch: u64, number: u64, placement: &str) -> record::Order {
    let (server, item) = placement.split_once('/').unwrap();
    let item: item::Item = item.parse().unwrap();
    let group = if item.model == "f" { "fenced" } else { "plain" };
    record::Order {
        group: SmolStr::new(group),
        epoch,
        number,
        server: SmolStr::new(server),
        item,
    }
}

const RAN: claim::Outcome = claim::Outcome::Failed(verdict::Verdict::Ran);

const NOT_RUN: claim::Outcome = claim::Outcome::Failed(verdict::Verdict::NotRun);

/// Each case starts with a log that has a document and a steward, and states the decision on its last entry.
macro_rules! decisions {
    ($($name:ident: |$log:ident| $last:expr => $expected:expr;)+) => {
        mod decisions {
            use super::*;
            $(
                #[test]
                fn $name() {
                    let mut $log = Log::new();
                    let decision = $last;
                    assert_eq!(decision, $expected);
                }
            )+
        }
    };
}

decisions! {
    publication_on_the_newest_version: |log| log.publish(1, DOCUMENT) => Ok(());
    publication_on_an_older_version: |log| { log.publish(1, DOCUMENT).unwrap(); log.publish(1, DOCUMENT) } => Err(Reason::Base);
    publication_of_an_invalid_document: |log| log.publish(1, "[serving]\nkeys = lots\n") => Err(Reason::Document);
    operators_may_only_publish: |log| log.claim("operator/desk", "k") => Err(Reason::Writer);
    epoch_after_the_newest: |log| log.steward("b", "plain", 2) => Ok(());
    epoch_that_is_already_held: |log| { log.steward("b", "plain", 2).unwrap(); log.steward("c", "plain", 2) } => Err(Reason::Epoch);
    epoch_of_an_unknown_group: |log| log.steward("a", "other", 1) => Err(Reason::Unknown);
    grant: |log| log.grant("a", &order(1, "s/m@1")) => Ok(());
    grant_by_another_instance: |log| log.grant("b", &order(1, "s/m@1")) => Err(Reason::Epoch);
    grant_of_an_old_epoch: |log| { log.steward("a", "plain", 2).unwrap(); log.grant("a", &order(1, "s/m@1")) } => Err(Reason::Epoch);
    grant_with_an_old_number: |log| { log.load(&order(2, "s/m@1")); log.grant("a", &order(2, "t/n@1")) } => Err(Reason::Number);
    grant_of_another_version: |log| log.grant("a", &order(1, "s/m@2")) => Err(Reason::Unknown);
    grant_of_an_unknown_adapter: |log| { log.load(&order(1, "s/m@1")); log.grant("a", &order(2, "s/m@1:u")) } => Err(Reason::Unknown);
    grant_in_another_group: |log| {
        let group = SmolStr::new("fenced");
        log.grant("a", &record::Order { group, ..order(1, "s/m@1") })
    } => Err(Reason::Unknown);
    grant_twice: |log| { log.load(&order(1, "s/n@1")); log.grant("a", &order(2, "s/n@1")) } => Err(Reason::State);
    grant_over_the_cap: |log| { log.load(&order(1, "s/m@1")); log.grant("a", &order(2, "t/m@1")) } => Err(Reason::Cap);
    grant_over_the_memory: |log| { log.load(&order(1, "s/m@1")); log.grant("a", &order(2, "s/n@1")) } => Err(Reason::Memory);
    grant_over_the_cap_of_all_versions: |log| {
        log.load(&order(1, "s/m@1"));
        let next = DOCUMENT.replace("[model m]\n", "[model m]\nversion = 2\n");
        log.publish(1, &next).unwrap();
        log.grant("a", &order(2, "t/m@2"))
    } => Err(Reason::Cap);
    grant_of_an_adapter_on_its_model: |log| { log.load(&order(1, "s/m@1")); log.grant("a", &order(2, "s/m@1:t")) } => Ok(());
    grant_of_an_adapter_without_its_model: |log| { log.load(&order(1, "s/m@1")); log.grant("a", &order(2, "t/m@1:t")) } => Err(Reason::Dependency);
    withdrawal_of_a_model_with_an_adapter: |log| {
        log.load(&order(1, "s/m@1"));
        log.load(&order(2, "s/m@1:t"));
        log.withdraw("a", &order(3, "s/m@1"))
    } => Err(Reason::Dependency);
    withdrawal_of_an_empty_placement: |log| log.withdraw("a", &order(1, "s/m@1")) => Err(Reason::State);
    withdrawal_of_an_open_intent: |log| {
        log.grant("a", &order(1, "s/m@1")).unwrap();
        log.withdraw("a", &order(2, "s/m@1"))
    } => Err(Reason::State);
    unloading_replica_is_still_counted: |log| {
        log.load(&order(1, "s/m@1"));
        log.withdraw("a", &order(2, "s/m@1")).unwrap();
        log.grant("a", &order(3, "t/m@1"))
    } => Err(Reason::Cap);
    unloaded_replica_is_not_counted: |log| {
        log.load(&order(1, "s/m@1"));
        log.withdraw("a", &order(2, "s/m@1")).unwrap();
        log.close("a", &order(2, "s/m@1"), 1, false, false).unwrap();
        log.grant("a", &order(3, "t/m@1"))
    } => Ok(());
    close_of_another_order: |log| {
        log.grant("a", &order(1, "s/m@1")).unwrap();
        log.close("a", &order(2, "s/m@1"), 1, true, false)
    } => Err(Reason::State);
    close_under_an_old_epoch: |log| {
        log.grant("a", &order(1, "s/m@1")).unwrap();
        log.steward("b", "plain", 2).unwrap();
        log.close("a", &order(1, "s/m@1"), 1, true, false)
    } => Err(Reason::Epoch);
    close_by_the_successor: |log| {
        log.grant("a", &order(1, "s/m@1")).unwrap();
        log.steward("b", "plain", 2).unwrap();
        log.close("b", &order(1, "s/m@1"), 2, true, false)
    } => Ok(());
    acknowledgement_of_the_newest_epoch: |log| log.acknowledge("a", 1, &[]) => Err(Reason::Epoch);
    release_that_the_document_does_not_allow: |log| {
        log.grant("a", &order(1, "s/m@1")).unwrap();
        log.steward("b", "plain", 2).unwrap();
        let key = order(1, "s/m@1");
        log.append_entry("b", Entry::Release { group: key.group, epoch: 2, server: key.server, item: key.item })
    } => Err(Reason::Pinned);
    claim: |log| log.claim("a", "k") => Ok(());
    claim_of_a_key_held_by_another: |log| { log.claim("a", "k").unwrap(); log.claim("b", "k") } => Err(Reason::Claim);
    claim_of_a_key_held_by_the_writer: |log| { log.claim("a", "k").unwrap(); log.claim("a", "k") } => Err(Reason::Claim);
    claim_after_not_run: |log| {
        log.claim("a", "k").unwrap();
        log.settle("a", "k", NOT_RUN).unwrap();
        log.claim("b", "k")
    } => Ok(());
    claim_after_expiry: |log| {
        log.claim("a", "k").unwrap();
        log.settle("a", "k", RAN).unwrap();
        log.time_ms += 3_600_000;
        log.claim("b", "k")
    } => Ok(());
    claim_just_before_expiry: |log| {
        log.claim("a", "k").unwrap();
        log.settle("a", "k", RAN).unwrap();
        log.time_ms += 3_599_999;
        log.claim("b", "k")
    } => Err(Reason::Claim);
    claim_beyond_the_key_limit: |log| {
        log.claim("a", "k").unwrap();
        log.claim("a", "l").unwrap();
        log.claim("a", "m")
    } => Err(Reason::Full);
    settlement_of_another_instances_claim: |log| { log.claim("a", "k").unwrap(); log.settle("b", "k", RAN) } => Err(Reason::Claim);
    second_settlement: |log| {
        log.claim("a", "k").unwrap();
        log.settle("a", "k", RAN).unwrap();
        log.settle("a", "k", NOT_RUN)
    } => Err(Reason::Claim);
}
