//! Pins: orders to load that may still arrive, and what ends them. See [`super::rights`].

use smol_str::SmolStr;

use super::{Ledger, Stewardship, fold::Reason};
use crate::{clock, document, item, record, right};

impl Ledger {
    /// Accepts a new steward, and pins what its predecessor may still send.
    pub(super) fn take_group(
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
            self.pin_open(offset, group, &old);
        }
        let new = Stewardship {
            by: by.clone(),
            epoch,
            number: 0,
        };
        self.stewards.insert(group.clone(), new);
        Ok(())
    }

    /// Pins every open intent to load. A pin that the old epoch has already counts from now on, since that
    /// epoch ends now.
    ///
    /// Engines that fence are no exception: until one of them has answered an order of the new epoch it
    /// still takes the old one.
    fn pin_open(&mut self, offset: u64, group: &SmolStr, old: &Stewardship) {
        let time_ms = self.time_ms;
        let rights = self.rights.all.values_mut();
        for right in rights.filter(|right| right.group == *group) {
            let ending = right.pins.iter().filter(|pin| pin.epoch == old.epoch);
            let mut numbers: Vec<u64> = ending.map(|pin| pin.number).collect();
            if let right::State::Loading { number, .. } = right.state {
                numbers.push(number);
            }
            for number in numbers {
                pin(right, offset, pin_of(old, number, time_ms));
            }
        }
    }

    /// Ends the pins of epochs before `epoch` on a backend server that has answered an order of `epoch` and
    /// checks: it refuses all older ones. On the placement that was asked about, the answer tells what they
    /// did before that; on the others it does not.
    pub(super) fn shut_out(
        &mut self,
        offset: u64,
        asked: &right::Key,
        group: &SmolStr,
        epoch: u64,
    ) {
        let rights = self.rights.on_mut(&asked.server);
        for (key, right) in rights.filter(|(_, right)| right.group == *group) {
            unpin(right, offset, |pin| pin.epoch < epoch);
            if key == asked {
                right.unsure = false;
            }
        }
    }

    /// Ends the pins of a steward whose epoch is over and who has stopped sending. Of that epoch alone: the
    /// orders named as stray are of that epoch, and a steward that served the one before as well may have
    /// strays of it that it names there.
    pub(super) fn acknowledge(
        &mut self,
        offset: u64,
        by: &record::Incarnation,
        group: &SmolStr,
        epoch: u64,
        stray: &[u64],
    ) -> Result<(), Reason> {
        // While the epoch is the newest its holder may open the next intent in it, so nothing is over.
        let newest = self.stewards.get(group).ok_or(Reason::Epoch)?.epoch;
        if epoch >= newest {
            return Err(Reason::Epoch);
        }
        let rights = self.rights.all.values_mut();
        for right in rights.filter(|right| right.group == *group) {
            unpin(right, offset, |pin| {
                pin.by == *by && pin.epoch == epoch && !stray.contains(&pin.number)
            });
        }
        Ok(())
    }

    /// Ends old pins of one placement by their age, where the document takes that risk.
    pub(super) fn release(
        &mut self,
        offset: u64,
        by: &record::Incarnation,
        group: &SmolStr,
        epoch: u64,
        server: &SmolStr,
        item: &item::Item,
    ) -> Result<(), Reason> {
        self.holds(by, group, epoch)?;
        let rules = self.document.groups.get(group).ok_or(Reason::Unknown)?;
        let document::PinRelease::After(wait) = rules.pin_release else {
            return Err(Reason::Pinned);
        };
        let wait_ms = clock::millis(wait);
        let time_ms = self.time_ms;
        let key = right::Key {
            server: server.clone(),
            item: item.clone(),
        };
        let right = self.rights.all.get_mut(&key).ok_or(Reason::State)?;
        if right.group != *group {
            return Err(Reason::State);
        }
        let released = unpin(right, offset, |pin| {
            pin.epoch <= epoch && pin.since_ms.saturating_add(wait_ms) <= time_ms
        });
        if released {
            Ok(())
        } else {
            Err(Reason::Pinned)
        }
    }

    /// Drops what was loaded on a backend server that has gone. Only what the writer knew of when it saw the
    /// server gone is touched: a record that changed a right since then may tell of a new process at the
    /// same address, whose replica would otherwise no longer be counted.
    pub(super) fn gone(
        &mut self,
        offset: u64,
        by: &record::Incarnation,
        group: &SmolStr,
        epoch: u64,
        server: &SmolStr,
        seen: u64,
    ) -> Result<(), Reason> {
        self.holds(by, group, epoch)?;
        let writer = self.stewards[group].clone();
        let time_ms = self.time_ms;
        let mut over = Vec::new();
        let rights = self.rights.on_mut(server);
        for (key, right) in rights.filter(|(_, right)| right.group == *group) {
            if right.changed >= seen {
                continue;
            }
            // The order may be on the way still, and reach a new process at the address, also one that
            // remembers fencing numbers: it has seen none that is newer.
            if let right::State::Loading { number, .. } = right.state {
                pin(right, offset, pin_of(&writer, number, time_ms));
            }
            if right.pins.is_empty() {
                over.push(key.clone());
            } else {
                right.state = right::State::Empty;
                right.changed = offset;
            }
        }
        for key in over {
            self.rights.remove(&key);
        }
        Ok(())
    }

    pub(super) fn fences(&self, group: &str) -> bool {
        let group = self.document.groups.get(group);
        group.is_some_and(|group| group.fencing == document::Fencing::Checked)
    }
}

pub(super) fn pin_of(steward: &Stewardship, number: u64, since_ms: u64) -> right::Pin {
    right::Pin {
        by: steward.by.clone(),
        epoch: steward.epoch,
        number,
        since_ms,
    }
}

/// Sets a pin, in place of an older one for the same order.
pub(super) fn pin(right: &mut right::Right, offset: u64, new: right::Pin) {
    right
        .pins
        .retain(|old| (&old.by, old.epoch, old.number) != (&new.by, new.epoch, new.number));
    right.pins.insert(new);
    right.changed = offset;
}

/// Ends the pins that `over` names; true when there were any.
fn unpin<F>(right: &mut right::Right, offset: u64, over: F) -> bool
where
    F: Fn(&right::Pin) -> bool,
{
    let before = right.pins.len();
    right.pins.retain(|pin| !over(pin));
    let ended = right.pins.len() < before;
    if ended {
        right.unsure = true;
        right.changed = offset;
    }
    ended
}
