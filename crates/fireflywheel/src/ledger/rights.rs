//! Rights: which placements are counted, and how orders that may still arrive affect them.
//!
//! A placement is counted from the record that grants it until a record states that nothing is loaded there
//! and that nothing can be loaded there any more. In between, the fold never assumes that an order was lost or
//! carried out.
//!
//! * A steward that was replaced may merely be paused, and may send an order for its open intent at any later
//!   time. A new epoch therefore sets a **pin** on each open intent to load: the placement stays counted until
//!   the old steward states that it sends no more orders of that epoch
//!   ([`crate::record::Entry::Acknowledge`]).
//! * Where engines check fencing numbers, the first answer to an order of the new epoch proves that the
//!   engine refuses all older orders. A [`crate::record::Entry::Close`] is based on such an answer, so it ends
//!   the pins of older epochs on that backend server.
//! * A pin that ends leaves a doubt: the late order may have been carried out unnoticed, after the engine's
//!   last answer. A [`right::State::Empty`] placement therefore stays counted when its last pin ends, until
//!   an intent that was opened after that is closed with nothing loaded.
//! * A late order to unload cannot exceed any limit, so it is never pinned. It may remove a replica that the
//!   ledger counts as loaded, as a restart of the engine does. The engine then refuses requests with "not run",
//!   and the steward notices the loss.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::pairs;
use crate::{item, right};

/// All placements that are counted.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(from = "Pairs", into = "Pairs")]
pub struct Rights {
    pub(super) all: BTreeMap<right::Key, right::Right>,
    /// The number of placements of each model and of each adapter, over all versions.
    replicas: BTreeMap<ReplicaKey, u32>,
}

/// The subject of a replica cap: a model, or an adapter of a model.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct ReplicaKey {
    model: SmolStr,
    adapter: Option<SmolStr>,
}

/// The form of [`Rights`] in a checkpoint; the counts are rebuilt from it.
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
struct Pairs(#[serde(with = "pairs")] BTreeMap<right::Key, right::Right>);

impl From<Pairs> for Rights {
    fn from(Pairs(all): Pairs) -> Self {
        let mut rights = Self::default();
        for (key, right) in all {
            rights.insert(key, right);
        }
        rights
    }
}

impl From<Rights> for Pairs {
    fn from(rights: Rights) -> Self {
        Self(rights.all)
    }
}

impl From<&item::Item> for ReplicaKey {
    fn from(item: &item::Item) -> Self {
        Self {
            model: item.model.clone(),
            adapter: item.adapter.clone(),
        }
    }
}

impl Rights {
    pub(super) fn all(&self) -> &BTreeMap<right::Key, right::Right> {
        &self.all
    }

    /// The number of placements of an item's model or adapter, over all versions and servers.
    pub(super) fn replicas(&self, item: &item::Item) -> u32 {
        self.replicas
            .get(&ReplicaKey::from(item))
            .copied()
            .unwrap_or(0)
    }

    /// The placements on one backend server.
    pub(super) fn on_server(
        &self,
        server: &SmolStr,
    ) -> impl Iterator<Item = (&right::Key, &right::Right)> {
        let rights = self.all.range(lower_bound(server)..);
        rights.take_while(move |(key, _)| key.server == *server)
    }

    pub(super) fn on_server_mut(
        &mut self,
        server: &SmolStr,
    ) -> impl Iterator<Item = (&right::Key, &mut right::Right)> {
        let rights = self.all.range_mut(lower_bound(server)..);
        rights.take_while(move |(key, _)| key.server == *server)
    }

    pub(super) fn insert(&mut self, key: right::Key, right: right::Right) {
        let replica_key = ReplicaKey::from(&key.item);
        if self.all.insert(key, right).is_none() {
            *self.replicas.entry(replica_key).or_default() += 1;
        }
    }

    pub(super) fn remove(&mut self, key: &right::Key) {
        if self.all.remove(key).is_none() {
            return;
        }
        let replica_key = ReplicaKey::from(&key.item);
        let remaining = self.replicas(&key.item) - 1;
        if remaining == 0 {
            self.replicas.remove(&replica_key);
        } else {
            self.replicas.insert(replica_key, remaining);
        }
    }
}

/// Returns a key that is not above the key of any placement on a backend server.
fn lower_bound(server: &SmolStr) -> right::Key {
    right::Key {
        server: server.clone(),
        item: item::Item::new("", 0),
    }
}
