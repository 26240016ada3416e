//! Orders to engines: when an intent may be opened, and what closing it changes.

use super::{
    Ledger,
    fold::Reason,
    pins::{new_pin, set_pin},
};
use crate::{document, record, right};

/// The limits that the document in force sets for a new right.
struct Limits {
    /// Memory that the item takes.
    memory_mb: u64,
    /// The replica cap of the model or adapter.
    replicas: u32,
    /// Memory of each backend server of the group.
    server_mb: u64,
}

fn placement_key(order: &record::Order) -> right::Key {
    right::Key {
        server: order.server.clone(),
        item: order.item.clone(),
    }
}

impl Ledger {
    /// Opens an intent to load.
    pub(super) fn grant(
        &mut self,
        offset: u64,
        by: &record::Incarnation,
        order: &record::Order,
    ) -> Result<(), Reason> {
        self.check_steward(by, &order.group, order.epoch)?;
        self.check_number(order)?;
        let limits = self.limits(order)?;
        self.check_base_model(order)?;
        let key = placement_key(order);
        let old = self.rights.all.get(&key).cloned();
        if old.as_ref().is_some_and(|old| !can_grant(old, order)) {
            return Err(Reason::State);
        }
        let replicas = self.rights.replicas(&order.item) + u32::from(old.is_none());
        if replicas > limits.replicas {
            return Err(Reason::Cap);
        }
        // A late order under the old right may still take the memory that the old document specified.
        let held_mb = old.as_ref().map_or(0, |old| old.memory_mb);
        let memory_mb = held_mb.max(limits.memory_mb);
        let others = self
            .rights
            .on_server(&order.server)
            .filter(|(other, _)| **other != key);
        let others_mb: u64 = others.map(|(_, right)| right.memory_mb).sum();
        if others_mb.saturating_add(memory_mb) > limits.server_mb {
            return Err(Reason::Memory);
        }
        let mut right = old.unwrap_or_else(|| right::Right::new(order.group.clone(), memory_mb));
        right.memory_mb = memory_mb;
        let state = right::State::Loading {
            epoch: order.epoch,
            number: order.number,
        };
        open_intent(&mut right, offset, state);
        self.rights.insert(key, right);
        self.record_number(order);
        Ok(())
    }

    /// Opens an intent to unload. An empty placement may be unloaded too: this is how the steward verifies, after
    /// the placement's pins have ended, that no late order loaded the item.
    pub(super) fn withdraw(
        &mut self,
        offset: u64,
        by: &record::Incarnation,
        order: &record::Order,
    ) -> Result<(), Reason> {
        self.check_steward(by, &order.group, order.epoch)?;
        self.check_number(order)?;
        let key = placement_key(order);
        let right = self.rights.all.get(&key).ok_or(Reason::State)?;
        // While an intent is open, its order may be on its way. With an unload order sent as well, it would be
        // unknown which of the two takes effect last. The open intent must therefore be closed first.
        let is_closed = matches!(right.state, right::State::Loaded | right::State::Empty);
        if right.group != order.group || !is_closed {
            return Err(Reason::State);
        }
        if order.item.adapter.is_none() && self.has_adapters(order) {
            return Err(Reason::Dependency);
        }
        let right = self.rights.all.get_mut(&key).ok_or(Reason::State)?;
        let state = right::State::Unloading {
            epoch: order.epoch,
            number: order.number,
        };
        open_intent(right, offset, state);
        self.record_number(order);
        Ok(())
    }

    /// Closes an intent with the outcome that an engine answered.
    pub(super) fn close(
        &mut self,
        offset: u64,
        by: &record::Incarnation,
        order: &record::Order,
        epoch: u64,
        loaded: bool,
        stray: bool,
    ) -> Result<(), Reason> {
        self.check_steward(by, &order.group, epoch)?;
        let key = placement_key(order);
        let right = self.rights.all.get(&key).ok_or(Reason::State)?;
        let is_load = match right.state {
            right::State::Loading { epoch, number }
                if (epoch, number) == (order.epoch, order.number) =>
            {
                true
            }
            right::State::Unloading { epoch, number }
                if (epoch, number) == (order.epoch, order.number) =>
            {
                false
            }
            _ => return Err(Reason::State),
        };
        if right.group != order.group {
            return Err(Reason::State);
        }
        if self.checks_fencing(&order.group) {
            self.end_fenced_pins(offset, &key, &order.group, epoch);
        }
        let writer = self.stewards[&order.group].clone();
        let time_ms = self.time_ms;
        let right = self.rights.all.get_mut(&key).ok_or(Reason::State)?;
        right.changed = offset;
        if stray && is_load {
            // The copy is one that the writer sent, even if the writer inherited the intent: what the previous
            // steward may still send was pinned when that steward's epoch ended.
            set_pin(right, offset, new_pin(&writer, order.number, time_ms));
        }
        if loaded {
            right.state = right::State::Loaded;
        } else if right.pins.is_empty() && !right.unsure {
            self.rights.remove(&key);
        } else {
            right.state = right::State::Empty;
        }
        Ok(())
    }

    /// Checks that the writer is the steward of the group's newest epoch, and that `epoch` is that epoch.
    pub(super) fn check_steward(
        &self,
        by: &record::Incarnation,
        group: &str,
        epoch: u64,
    ) -> Result<(), Reason> {
        match self.stewards.get(group) {
            Some(newest) if newest.by == *by && newest.epoch == epoch => Ok(()),
            _ => Err(Reason::Epoch),
        }
    }

    /// Checks that the order's number is above the highest one of the epoch.
    fn check_number(&self, order: &record::Order) -> Result<(), Reason> {
        match self.stewards.get(&order.group) {
            Some(newest) if order.number > newest.number => Ok(()),
            _ => Err(Reason::Number),
        }
    }

    fn record_number(&mut self, order: &record::Order) {
        if let Some(newest) = self.stewards.get_mut(&order.group) {
            newest.number = order.number;
        }
    }

    /// Returns the limits that the document in force sets for the item of an order.
    fn limits(&self, order: &record::Order) -> Result<Limits, Reason> {
        let item = &order.item;
        let group = self.document.groups.get(&order.group);
        let group = group.filter(|group| group.kind == document::Kind::Engine);
        let model = self.document.models.get(&item.model);
        let model =
            model.filter(|model| model.group == order.group && model.version == item.version);
        let (Some(group), Some(model)) = (group, model) else {
            return Err(Reason::Unknown);
        };
        let (memory_mb, replicas) = match &item.adapter {
            None => (model.memory_mb, model.replicas),
            Some(name) => {
                let adapters = self.document.adapters.get(&item.model);
                let adapter = adapters.and_then(|adapters| adapters.get(name));
                let adapter = adapter.ok_or(Reason::Unknown)?;
                (adapter.memory_mb, adapter.replicas)
            }
        };
        Ok(Limits {
            memory_mb,
            replicas,
            server_mb: group.memory_mb,
        })
    }

    /// Checks that the model of an adapter is loaded or being loaded on the same backend server.
    fn check_base_model(&self, order: &record::Order) -> Result<(), Reason> {
        if order.item.adapter.is_none() {
            return Ok(());
        }
        let base = right::Key {
            server: order.server.clone(),
            item: order.item.base(),
        };
        match self.rights.all.get(&base).map(|right| right.state) {
            Some(right::State::Loaded | right::State::Loading { .. }) => Ok(()),
            _ => Err(Reason::Dependency),
        }
    }

    /// Whether an adapter of the order's model may be loaded on the same backend server.
    fn has_adapters(&self, order: &record::Order) -> bool {
        self.rights.on_server(&order.server).any(|(key, right)| {
            key.item.adapter.is_some()
                && key.item.base() == order.item
                && right.state != right::State::Empty
        })
    }
}

/// Whether an intent to load may be opened on a placement that already has a right.
fn can_grant(old: &right::Right, order: &record::Order) -> bool {
    old.state == right::State::Empty && old.group == order.group
}

/// Opens an intent. If the placement has no pins, the outcome of the intent leaves no doubt about its state.
fn open_intent(right: &mut right::Right, offset: u64, state: right::State) {
    right.state = state;
    right.changed = offset;
    right.unsure = !right.pins.is_empty();
}
