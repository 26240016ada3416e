//! Pins on load orders that may still arrive, and the events that end them. See [`super::rights`].

use smol_str::SmolStr;

use super::{Ledger, Stewardship, fold::Reason};
use crate::{clock, document, item, record, right};

impl Ledger {
    /// Accepts a new steward, and pins the orders that its predecessor may still send.
    pub(super) fn accept_steward(
        &mut self,
        offset: u64,
        by: &record::Incarnation,
        group: &SmolStr,
        epoch: u64,
    ) -> Result<(), Reason> {
        let old = self.stewards.get(group).cloned();
        if epoch != old.as_ref().map_or(0, |old| old.epoch) + 1 {
            return Err(Reason::Epoch);
        }
        if old.is_none() && !self.document.groups.contains_key(group) {
            return Err(Reason::Unknown);
        }
        if let Some(old) = old {
            self.pin_open_intents(offset, group, &old);
        }
        let new = Stewardship {
            by: by.clone(),
            epoch,
            number: 0,
        };
        self.stewards.insert(group.clone(), new);
        Ok(())
    }

    /// Pins every open intent to load. The age of a pin that the old epoch already has is counted from now on,
    /// since that epoch ends now.
    ///
    /// Intents on engines that check fencing numbers are pinned too: until such an engine has answered an order
    /// of the new epoch, it still accepts orders of the old one.
    fn pin_open_intents(&mut self, offset: u64, group: &SmolStr, old: &Stewardship) {
        let time_ms = self.time_ms;
        let rights = self.rights.all.values_mut();
        for right in rights.filter(|right| right.group == *group) {
            let ending = right.pins.iter().filter(|pin| pin.epoch == old.epoch);
            let mut numbers: Vec<u64> = ending.map(|pin| pin.number).collect();
            if let right::State::Loading { number, .. } = right.state {
                numbers.push(number);
            }
            for number in numbers {
                set_pin(right, offset, new_pin(old, number, time_ms));
            }
        }
    }

    /// Ends the pins of epochs before `epoch` on a backend server that checks fencing numbers and has answered an
    /// order of `epoch`: it refuses all orders of older epochs from then on. For the queried placement, the
    /// answer also shows the effect of any older order that arrived earlier; for the other placements it does
    /// not.
    pub(super) fn end_fenced_pins(
        &mut self,
        offset: u64,
        queried: &right::Key,
        group: &SmolStr,
        epoch: u64,
    ) {
        let rights = self.rights.on_server_mut(&queried.server);
        for (key, right) in rights.filter(|(_, right)| right.group == *group) {
            end_pins(right, offset, |pin| pin.epoch < epoch);
            if key == queried {
                right.unsure = false;
            }
        }
    }

    /// Ends the pins of a steward whose epoch has ended and which has stopped sending orders of that epoch. Only
    /// pins of that epoch end: the stray orders that the entry names belong to it, and a steward that also
    /// held an earlier epoch may have stray orders there, which its acknowledgement of that epoch names.
    pub(super) fn acknowledge(
        &mut self,
        offset: u64,
        by: &record::Incarnation,
        group: &SmolStr,
        epoch: u64,
        stray: &[u64],
    ) -> Result<(), Reason> {
        // While the epoch is the newest, its steward may still open intents in it, so the epoch has not ended.
        let newest = self.stewards.get(group).ok_or(Reason::Epoch)?.epoch;
        if epoch >= newest {
            return Err(Reason::Epoch);
        }
        let rights = self.rights.all.values_mut();
        for right in rights.filter(|right| right.group == *group) {
            end_pins(right, offset, |pin| {
                pin.by == *by && pin.epoch == epoch && !stray.contains(&pin.number)
            });
        }
        Ok(())
    }

    /// Ends the pins of one placement that have reached the age at which the document allows it, at the risk that
    /// an older order still arrives.
    pub(super) fn release(
        &mut self,
        offset: u64,
        by: &record::Incarnation,
        group: &SmolStr,
        epoch: u64,
        server: &SmolStr,
        item: &item::Item,
    ) -> Result<(), Reason> {
        self.check_steward(by, group, epoch)?;
        let rules = self.document.groups.get(group).ok_or(Reason::Unknown)?;
        let document::PinRelease::After(min_age) = rules.pin_release else {
            return Err(Reason::Pinned);
        };
        let min_age_ms = clock::millis(min_age);
        let time_ms = self.time_ms;
        let key = right::Key {
            server: server.clone(),
            item: item.clone(),
        };
        let right = self.rights.all.get_mut(&key).ok_or(Reason::State)?;
        if right.group != *group {
            return Err(Reason::State);
        }
        let has_released = end_pins(right, offset, |pin| {
            pin.epoch <= epoch && pin.since_ms.saturating_add(min_age_ms) <= time_ms
        });
        if has_released {
            Ok(())
        } else {
            Err(Reason::Pinned)
        }
    }

    /// Removes the replicas of a backend server that is gone. Only rights that the writer knew when it saw that
    /// the server was gone are changed: a record that changed a right since then may be about a new process at
    /// the same address, whose replica would otherwise no longer be counted.
    pub(super) fn remove_gone_server(
        &mut self,
        offset: u64,
        by: &record::Incarnation,
        group: &SmolStr,
        epoch: u64,
        server: &SmolStr,
        seen: u64,
    ) -> Result<(), Reason> {
        self.check_steward(by, group, epoch)?;
        let writer = self.stewards[group].clone();
        let time_ms = self.time_ms;
        let mut removed = Vec::new();
        let rights = self.rights.on_server_mut(server);
        for (key, right) in rights.filter(|(_, right)| right.group == *group) {
            if right.changed >= seen {
                continue;
            }
            // The order may still be on its way and reach a new process at the address. Even a process that
            // remembers fencing numbers accepts it, since it has seen no newer one.
            if let right::State::Loading { number, .. } = right.state {
                set_pin(right, offset, new_pin(&writer, number, time_ms));
            }
            if right.pins.is_empty() {
                removed.push(key.clone());
            } else {
                right.state = right::State::Empty;
                right.changed = offset;
            }
        }
        for key in removed {
            self.rights.remove(&key);
        }
        Ok(())
    }

    /// Whether the engines of the group refuse old fencing numbers.
    pub(super) fn checks_fencing(&self, group: &str) -> bool {
        let group = self.document.groups.get(group);
        group.is_some_and(|group| group.fencing == document::Fencing::Checked)
    }
}

pub(super) fn new_pin(steward: &Stewardship, number: u64, since_ms: u64) -> right::Pin {
    right::Pin {
        by: steward.by.clone(),
        epoch: steward.epoch,
        number,
        since_ms,
    }
}

/// Sets a pin, replacing an older pin for the same order.
pub(super) fn set_pin(right: &mut right::Right, offset: u64, new: right::Pin) {
    right
        .pins
        .retain(|old| (&old.by, old.epoch, old.number) != (&new.by, new.epoch, new.number));
    right.pins.insert(new);
    right.changed = offset;
}

/// Ends the pins for which `should_end` holds, and returns whether there were any.
fn end_pins<F>(right: &mut right::Right, offset: u64, should_end: F) -> bool
where
    F: Fn(&right::Pin) -> bool,
{
    let before = right.pins.len();
    right.pins.retain(|pin| !should_end(pin));
    let any_ended = right.pins.len() < before;
    if any_ended {
        right.unsure = true;
        right.changed = offset;
    }
    any_ended
}
