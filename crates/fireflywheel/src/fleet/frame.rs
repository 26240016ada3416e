//! What instance and steward tell each other over their link.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::era::Era;
use super::{config, demand, lease, limit, load, quota, server};
use crate::clock;

/// A span in whole milliseconds, as frames carry it; the most there is when it is longer.
#[must_use]
pub fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

/// One message of a link.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Frame {
    /// The first from an instance.
    Hello {
        /// The instance's name.
        instance: SmolStr,
        /// Tells two processes of one name apart.
        incarnation: u64,
        /// Where its peers reach it.
        address: SmolStr,
        /// The part of a processor that it has.
        cpu_share: f64,
    },
    /// All that an instance wants and has running; replaces what it said before.
    Demand(demand::Demand),
    /// What engines hold that have changed, from the steward that orders them.
    Held(Holdings),
    /// Whether the receiver is told of all engines from now on, or of those that hold models which it asks for; from the
    /// steward.
    #[serde(rename = "Whole")]
    AllEngines(bool),
    /// How long models will take that are nowhere yet, from the steward.
    Forecast(Vec<Forecast>),
    /// What engines have to read, from the steward; one that isn't named has nothing.
    Load(Vec<load::Load>),
    /// The sender is alive, from the steward.
    #[serde(rename = "Beat")]
    Heartbeat {
        /// Tells two processes of one name apart.
        incarnation: u64,
        /// It may order engines.
        #[serde(rename = "acts")]
        active: bool,
        /// Instances that it has a link to, itself included.
        instances: u32,
        /// The end of the lease's record after the last renewal.
        lease_end: u64,
        /// The era of that end.
        #[serde(default)]
        lease_era: Era,
        /// The store's era, as far as known.
        #[serde(default)]
        era: Option<Era>,
        /// The newest configuration that it knows of.
        config_version: u64,
        /// How old the oldest is of what it last read of the directory and the configuration, in milliseconds.
        /// While it is young, other instances need not read the store themselves.
        #[serde(rename = "read_ms")]
        read_age_ms: u32,
        /// The stamp of the receiver's last demand. Without it frames that waited in a queue for seconds would
        /// pass for young.
        stamp_ms: u64,
        /// Standbys read for themselves, so that one that the store serves can take over.
        #[serde(default)]
        standbys_read: bool,
    },
    /// The newest configuration that the sender knows, to one with an earlier one. Instances that the store doesn't answer have it
    /// from here.
    Configuration(Arc<config::Config>),
    /// Entries of the directory that have changed, from the steward.
    Directory(Changes),
    /// The receiver is steward from now on, from the one before, which stops.
    HandOver(lease::HandOver),
    /// Another instance is steward from now on, from the one before.
    Moved(lease::Record),
    /// The sender isn't steward, and has a link to this one.
    Steward(lease::Record),
    /// All servers that name a limit, from the steward; replaces what it said before.
    Limits(Vec<limit::Notice>),
    /// Answers to permit requests, from the steward.
    Permits(Vec<limit::Reply>),
    /// Which share of each organisation's requests to admit, from the steward; replaces what it said before.
    Shares(Vec<quota::Share>),
    /// Instances that take over if the sender dies, and that know who did; from the steward.
    Standbys(Vec<lease::Record>),
}

impl Frame {
    /// Its form on a link. What is told to many is encoded once.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes).expect("a buffer takes all that is written");
        bytes.into()
    }
}

/// What engines hold.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Holdings {
    /// Engines, each with all that it holds.
    pub engines: Vec<Holding>,
    /// No other engine holds these models, which the receiver asked for.
    pub complete: Vec<SmolStr>,
}

/// What an engine holds.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Holding {
    /// The engine's entry in the directory.
    pub entry: Entry,
    /// Models in memory, with their adapters.
    pub models: BTreeMap<SmolStr, BTreeSet<SmolStr>>,
}

/// Entries of the directory that have changed.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Changes {
    /// Groups of which these are all entries.
    #[serde(rename = "all_of")]
    pub complete_groups: BTreeSet<SmolStr>,
    /// Entries that are new or other than before.
    pub entries: Vec<Entry>,
    /// Ids of entries that are gone.
    pub gone: Vec<SmolStr>,
}

/// A backend server's entry, without what it holds.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Entry {
    /// The server's id.
    pub id: SmolStr,
    /// The group that it belongs to.
    pub group: SmolStr,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: SmolStr,
    /// Requests that it runs at once.
    pub slots: u32,
    /// It takes new requests.
    pub ready: bool,
    /// How long until it is gone, if it said so, in milliseconds.
    pub leaves_ms: Option<u32>,
    /// Unix milliseconds of its start.
    #[serde(rename = "born")]
    pub started_ms: u64,
    /// Which of its entries since its start this is; 0 if it doesn't say so.
    #[serde(default, rename = "count")]
    pub revision: u64,
}

impl Entry {
    /// The entry of a server, told at `now`.
    #[must_use]
    pub fn new(server: &server::Server, now: clock::Instant) -> Self {
        let left = |at: clock::Instant| millis(at.since(now));
        Self {
            id: server.id.clone(),
            group: server.group.clone(),
            address: server.address,
            domain: server.domain.clone(),
            slots: server.slots,
            ready: server.ready,
            leaves_ms: server.leaves.map(left),
            started_ms: server.started_ms,
            revision: server.revision,
        }
    }

    /// The server, told at `now`; what it holds is told apart.
    #[must_use]
    pub fn server(self, now: clock::Instant) -> server::Server {
        let leaves = self
            .leaves_ms
            .map(|left| now.after(Duration::from_millis(left.into())));
        server::Server {
            id: self.id,
            group: self.group,
            address: self.address,
            domain: self.domain,
            slots: self.slots,
            ready: self.ready,
            leaves,
            started_ms: self.started_ms,
            revision: self.revision,
            held: server::Held::default(),
        }
    }

    /// Whether the other says the same; how long it stays counts down, and its count rises with each heartbeat: both are left out.
    fn says_same(&self, other: &Self) -> bool {
        let same_stay = self.leaves_ms.is_some() == other.leaves_ms.is_some();
        let other = Self {
            leaves_ms: self.leaves_ms,
            revision: self.revision,
            ..other.clone()
        };
        same_stay && *self == other
    }
}

impl Changes {
    /// What has changed between two states of the directory; none when nothing has.
    #[must_use]
    pub fn between(
        before: &BTreeMap<SmolStr, Entry>,
        after: &BTreeMap<SmolStr, Entry>,
    ) -> Option<Self> {
        let is_new = |entry: &&Entry| {
            before
                .get(&entry.id)
                .is_none_or(|old| !old.says_same(entry))
        };
        let changes = Self {
            complete_groups: BTreeSet::new(),
            entries: after.values().filter(is_new).cloned().collect(),
            gone: before
                .keys()
                .filter(|id| !after.contains_key(*id))
                .cloned()
                .collect(),
        };
        (!changes.entries.is_empty() || !changes.gone.is_empty()).then_some(changes)
    }
}

impl Changes {
    /// Those of the changes whose servers are picked; none when there are none.
    #[must_use]
    pub fn filter<F>(&self, picked: F) -> Option<Self>
    where
        F: Fn(&SmolStr) -> bool,
    {
        let entries = self.entries.iter().filter(|entry| picked(&entry.id));
        let gone = self.gone.iter().filter(|id| picked(id));
        let changes = Self {
            complete_groups: self.complete_groups.clone(),
            entries: entries.cloned().collect(),
            gone: gone.cloned().collect(),
        };
        (!changes.entries.is_empty() || !changes.gone.is_empty()).then_some(changes)
    }
}

/// When a model can be used.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Forecast {
    /// The group of its engines.
    pub group: SmolStr,
    /// The model.
    pub model: SmolStr,
    /// From now until it can be used, in milliseconds.
    pub wait_ms: u32,
}
