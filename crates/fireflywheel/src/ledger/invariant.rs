//! The invariants of a ledger and of each of its steps, for tests and debug builds.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use super::Ledger;
use crate::{item, right};

/// Checks the invariants of a single ledger.
///
/// # Errors
///
/// Returns a description of the violated invariant.
pub fn check(ledger: &Ledger) -> Result<(), String> {
    for (key, right) in ledger.rights() {
        check_right(ledger, right)
            .map_err(|error| format!("{} on {}: {error}", key.item, key.server))?;
    }
    if ledger.version() > ledger.next() {
        return Err(format!("version {} is ahead of the log", ledger.version()));
    }
    Ok(())
}

fn check_right(ledger: &Ledger, right: &right::Right) -> Result<(), String> {
    let steward = ledger
        .steward(&right.group)
        .ok_or("its group never had a steward")?;
    if let right::State::Loading { epoch, number } | right::State::Unloading { epoch, number } =
        right.state
    {
        let is_ahead = epoch > steward.epoch || (epoch == steward.epoch && number > steward.number);
        if is_ahead {
            return Err(format!(
                "its intent {epoch}/{number} is ahead of the steward"
            ));
        }
    }
    if right.pins.iter().any(|pin| pin.epoch > steward.epoch) {
        return Err("the epoch of a pin is ahead of the steward".to_owned());
    }
    if right.state == right::State::Empty && right.pins.is_empty() && !right.unsure {
        return Err("it is empty, has no pins and is not marked unsure".to_owned());
    }
    Ok(())
}

/// Checks a step: versions, epochs and the offset never decrease, replicas never rise above the cap, and memory
/// never rises above the limit. Both may stay above a cap or limit that was lowered.
///
/// # Errors
///
/// Returns a description of the violated invariant.
pub fn check_step(before: &Ledger, after: &Ledger) -> Result<(), String> {
    check(after)?;
    if after.next() < before.next() || after.version() < before.version() {
        return Err("the offset or the version decreased".to_owned());
    }
    for (group, old) in before.stewards() {
        let epoch = after.steward(group).map_or(0, |new| new.epoch);
        if epoch < old.epoch {
            return Err(format!("the epoch of {group} decreased"));
        }
    }
    check_replicas(before, after)?;
    check_memory(before, after)
}

/// A model or an adapter, over all its versions.
type ReplicaKey = (SmolStr, Option<SmolStr>);

fn check_replicas(before: &Ledger, after: &Ledger) -> Result<(), String> {
    let old = count_replicas(before);
    for (key, count) in count_replicas(after) {
        let cap = replica_cap(after, &key);
        let allowed = cap.max(old.get(&key).copied().unwrap_or(0));
        if count > allowed {
            return Err(format!(
                "{count} replicas of {key:?}, allowed are {allowed}"
            ));
        }
    }
    Ok(())
}

fn count_replicas(ledger: &Ledger) -> BTreeMap<ReplicaKey, u32> {
    let mut counts = BTreeMap::new();
    for key in ledger.rights().keys() {
        let item::Item { model, adapter, .. } = key.item.clone();
        *counts.entry((model, adapter)).or_default() += 1;
    }
    counts
}

fn replica_cap(ledger: &Ledger, (model, adapter): &ReplicaKey) -> u32 {
    let document = ledger.document();
    let cap = match adapter {
        None => document.models.get(model).map(|model| model.replicas),
        Some(adapter) => {
            let adapters = document.adapters.get(model);
            let adapter = adapters.and_then(|adapters| adapters.get(adapter));
            adapter.map(|adapter| adapter.replicas)
        }
    };
    cap.unwrap_or(0)
}

fn check_memory(before: &Ledger, after: &Ledger) -> Result<(), String> {
    let old = memory_by_server(before);
    for (server, (memory_mb, limit_mb)) in memory_by_server(after) {
        let allowed = limit_mb.max(old.get(&server).map_or(0, |(memory_mb, _)| *memory_mb));
        if memory_mb > allowed {
            return Err(format!(
                "{memory_mb} MB held on {server}, allowed are {allowed}"
            ));
        }
    }
    Ok(())
}

/// Returns, for each backend server, the memory held there in MB and the largest limit of the groups that hold
/// it.
fn memory_by_server(ledger: &Ledger) -> BTreeMap<SmolStr, (u64, u64)> {
    let mut servers: BTreeMap<SmolStr, (u64, u64)> = BTreeMap::new();
    for (key, right) in ledger.rights() {
        let group = ledger.document().groups.get(&right.group);
        let limit_mb = group.map_or(0, |group| group.memory_mb);
        let server = servers.entry(key.server.clone()).or_default();
        server.0 += right.memory_mb;
        server.1 = server.1.max(limit_mb);
    }
    servers
}
