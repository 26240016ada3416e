//! Frames that an instance and the steward exchange over their link.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::config::update;
use super::era::{Era, Position};
use super::{
    announcement, availability, config, demand, gateway, lease, limit, load, origin, quarantine,
    quota, server, tunnel,
};
use crate::clock;

/// A duration in whole milliseconds, as frames carry it; longer durations saturate.
#[must_use]
pub fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

/// One message on a link.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Frame {
    /// The first frame from an instance.
    Hello {
        /// The instance's name.
        instance: SmolStr,
        /// Distinguishes processes that run under the same instance name.
        incarnation: u64,
        /// The address at which peers reach the instance.
        address: SmolStr,
        /// The instance's share of a processor.
        cpu_share: f64,
        /// The instance's failure domain; empty from releases without gateways.
        #[serde(default, rename = "domain")]
        failure_domain: SmolStr,
        /// Whether the instance's release shares facts of crashes. A frame that it can't read would end the link.
        #[serde(default, rename = "quarantine")]
        shares_facts: bool,
    },
    /// Everything that an instance requests and has in flight; replaces its previous demand.
    Demand(demand::Demand),
    /// The holdings of engines whose holdings have changed, from the steward that sends them orders.
    Held(Holdings),
    /// Whether the steward reports all engines to the receiver from now on, or only those that hold models
    /// to which the receiver subscribes; from the steward.
    #[serde(rename = "Whole")]
    AllEngines(bool),
    /// How long models that no engine holds yet will take to load; from the steward.
    Forecast(Vec<Forecast>),
    /// The prefill load of engines, from the steward; engines that are not listed have none.
    Load(Vec<load::Load>),
    /// Shows that the sender is alive; from the steward.
    #[serde(rename = "Beat")]
    Heartbeat {
        /// Distinguishes processes that run under the same instance name.
        incarnation: u64,
        /// The sender may send orders to engines.
        #[serde(rename = "acts")]
        active: bool,
        /// The number of instances that the sender has a link to, itself included.
        instances: u32,
        /// The end of the log of the lease's record after the last renewal.
        lease_end: u64,
        /// The era of `lease_end`.
        #[serde(default)]
        lease_era: Era,
        /// The store's era; `None` if the sender has not learned it.
        #[serde(default)]
        era: Option<Era>,
        /// The newest configuration version that the sender knows of.
        config_version: u64,
        /// The age in milliseconds of the older of the sender's last reads of the directory and the
        /// configuration. While the age is small, other instances need not read the store themselves.
        #[serde(rename = "read_ms")]
        read_age_ms: u32,
        /// The stamp of the receiver's last demand. Without it, frames that waited in a queue for seconds
        /// would appear fresh.
        stamp_ms: u64,
        /// Standbys are to read the store themselves, so that one that the store answers can take over.
        #[serde(default, rename = "standbys_read")]
        standbys_must_read: bool,
        /// The newest configuration that the sender knows of. It is absent from releases that send no updates of
        /// the configuration.
        #[serde(default)]
        config: Option<update::Revision>,
        /// When the store has answered. It is absent before it has, and from releases that don't tell.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        store: Option<availability::Report>,
    },
    /// The newest configuration that the sender knows, from releases that send no updates.
    Configuration(Arc<config::Config>),
    /// A part of an update to the newest configuration that the sender knows, to a receiver with an older one.
    #[serde(rename = "Update")]
    ConfigUpdate(update::Part),
    /// Changed entries of the directory, from the steward.
    Directory(Changes),
    /// The receiver is steward from now on; from its predecessor, which stops acting.
    HandOver(lease::HandOver),
    /// Another instance is steward from now on; from its predecessor.
    Moved(lease::Record),
    /// The sender is not the steward, and has a link to this one.
    Steward(lease::Record),
    /// All servers that announce a limit, from the steward; replaces its previous list.
    Limits(Vec<limit::Notice>),
    /// Replies to permit requests, from the steward.
    Permits(Vec<limit::Reply>),
    /// The share of each organisation's requests to admit, from the steward; replaces its previous list.
    Shares(Vec<quota::Share>),
    /// Instances that may take over if the sender dies, and that know who has taken over; from the steward.
    Standbys(Vec<lease::Record>),
    /// The receiver's gateways to servers that it can't reach itself, from the steward; replaces its previous list.
    Gateways(Vec<gateway::Gateway>),
    /// The versions of groups' servers that the steward has seen.
    Versions(origin::Versions),
    /// Replies to questions about streams, from the steward or from an instance that keeps streams for it.
    Origins(Vec<origin::Reply>),
    /// Streams that the receiver keeps for the steward, which may end.
    Streams(Vec<origin::Record>),
    /// Questions about streams to an instance that may keep them, from one that has no link to a steward.
    OriginQueries(Vec<origin::Query>),
    /// Crashes of servers, and parts of prompts that may have caused them; from the steward, or from an instance that isn't
    /// steward to one that looks for it.
    Facts(quarantine::Facts),
    /// Whether the receiver may let one request with a quarantined part through, by the part; from the steward.
    Trials(Vec<(quarantine::Part, bool)>),
    /// The first frame on a connection that becomes a tunnel to a backend server.
    Tunnel(tunnel::Nonce),
}

impl Frame {
    /// Encodes the frame for a link. A frame for many receivers is encoded once.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes).expect("writing to a buffer cannot fail");
        bytes.into()
    }
}

/// The holdings of engines.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Holdings {
    /// Engines, each with its complete holdings.
    pub engines: Vec<EngineHoldings>,
    /// Models to which the receiver subscribes and that no engine outside `engines` holds.
    pub complete: Vec<SmolStr>,
}

/// The holdings of an engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineHoldings {
    /// The engine's entry in the directory.
    pub entry: Entry,
    /// Models in memory, with their adapters.
    pub models: BTreeMap<SmolStr, BTreeSet<SmolStr>>,
}

/// Changes of the directory's entries.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Changes {
    /// Groups whose entries are all listed in `entries`.
    #[serde(rename = "all_of")]
    pub complete_groups: BTreeSet<SmolStr>,
    /// Entries that are new or have changed.
    pub entries: Vec<Entry>,
    /// Ids of entries that were removed.
    #[serde(rename = "gone")]
    pub removed: Vec<SmolStr>,
    /// The position up to which the sender knows the store's log of entries; `None` if its release doesn't tell.
    #[serde(default)]
    pub as_of: Option<Position>,
    /// The position up to which the receiver knows it from the sender's earlier frames; `None` if it needs none of them.
    #[serde(default)]
    pub base: Option<Position>,
}

/// A backend server's entry in the directory, without its holdings.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Entry {
    /// The server's id.
    pub id: SmolStr,
    /// The group that the server belongs to.
    pub group: SmolStr,
    /// The address that the server listens on.
    pub address: SocketAddr,
    /// The server's failure domain.
    #[serde(rename = "domain")]
    pub failure_domain: SmolStr,
    /// The number of requests that the server runs at once.
    pub slots: u32,
    /// The server accepts new requests.
    pub ready: bool,
    /// The time until the server stops, in milliseconds; `None` if it has not announced a stop.
    #[serde(rename = "leaves_ms")]
    pub stops_in_ms: Option<u32>,
    /// When the server started, in Unix milliseconds.
    #[serde(rename = "born")]
    pub started_ms: u64,
    /// The number of this entry among the server's entries since its start; 0 if the server does not number
    /// them.
    #[serde(default, rename = "count")]
    pub revision: u64,
    /// The server has announced in an answer that it leaves.
    #[serde(default)]
    pub leaving: bool,
    /// The version of the server's software; `None` if its entry or the sender's release doesn't tell.
    #[serde(default)]
    pub version: Option<SmolStr>,
    /// The position of the entry's record in the store's log; `None` if the sender's release doesn't tell.
    #[serde(default)]
    pub position: Option<Position>,
}

impl Entry {
    /// The entry of a server, sent at `now`.
    #[must_use]
    pub fn new(server: &server::Server, now: clock::Instant) -> Self {
        let left = |at: clock::Instant| millis(at.since(now));
        Self {
            id: server.id.clone(),
            group: server.group.clone(),
            address: server.address,
            failure_domain: server.failure_domain.clone(),
            slots: server.slots,
            ready: server.ready,
            stops_in_ms: server.stops_at.map(left),
            started_ms: server.started_ms,
            revision: server.revision,
            leaving: false,
            version: server.version.clone(),
            position: server.position,
        }
    }

    /// Sets whether the server has announced in an answer that it leaves.
    #[must_use]
    pub fn with_leaving(mut self, leaving: bool) -> Self {
        self.leaving = leaving;
        self
    }

    /// The process of the server, if it has announced that it leaves.
    #[must_use]
    pub fn leaving_process(&self) -> Option<announcement::Process> {
        self.leaving.then(|| announcement::Process {
            server: self.id.clone(),
            started_ms: self.started_ms,
        })
    }

    /// The server, received at `now`, without its holdings.
    #[must_use]
    pub fn server(self, now: clock::Instant) -> server::Server {
        let stops_at = self
            .stops_in_ms
            .map(|left| now.after(Duration::from_millis(left.into())));
        server::Server {
            id: self.id,
            group: self.group,
            address: self.address,
            failure_domain: self.failure_domain,
            version: self.version,
            slots: self.slots,
            ready: self.ready,
            stops_at,
            started_ms: self.started_ms,
            revision: self.revision,
            position: self.position,
            held: server::Held::default(),
        }
    }

    /// Whether both entries are equal. The remaining time until a stop, the revision and the position are
    /// ignored: the first counts down, and the others rise with each heartbeat.
    fn is_equivalent(&self, other: &Self) -> bool {
        let same_leaving_state = self.stops_in_ms.is_some() == other.stops_in_ms.is_some();
        let other = Self {
            stops_in_ms: self.stops_in_ms,
            revision: self.revision,
            position: self.position,
            ..other.clone()
        };
        same_leaving_state && *self == other
    }
}

impl Changes {
    /// The changes between two states of the directory; `None` if there are none.
    #[must_use]
    pub fn between(
        before: &BTreeMap<SmolStr, Entry>,
        after: &BTreeMap<SmolStr, Entry>,
    ) -> Option<Self> {
        let is_changed = |entry: &&Entry| {
            before
                .get(&entry.id)
                .is_none_or(|previous| !previous.is_equivalent(entry))
        };
        let changes = Self {
            complete_groups: BTreeSet::new(),
            entries: after.values().filter(is_changed).cloned().collect(),
            removed: before
                .keys()
                .filter(|id| !after.contains_key(*id))
                .cloned()
                .collect(),
            as_of: None,
            base: None,
        };
        (!changes.entries.is_empty() || !changes.removed.is_empty()).then_some(changes)
    }
}

impl Changes {
    /// The changes of the selected servers; `None` if there are none.
    #[must_use]
    pub fn filter<F>(&self, is_selected: F) -> Option<Self>
    where
        F: Fn(&SmolStr) -> bool,
    {
        let entries = self.entries.iter().filter(|entry| is_selected(&entry.id));
        let removed = self.removed.iter().filter(|id| is_selected(id));
        let changes = Self {
            complete_groups: self.complete_groups.clone(),
            entries: entries.cloned().collect(),
            removed: removed.cloned().collect(),
            as_of: self.as_of,
            base: self.base,
        };
        (!changes.entries.is_empty() || !changes.removed.is_empty()).then_some(changes)
    }
}

/// The wait of a forecast for a version of which no server is there, in milliseconds.
pub const NEVER_MS: u32 = u32::MAX;

/// When a model becomes available.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Forecast {
    /// The group of the engines that serve the model.
    pub group: SmolStr,
    /// The model's name.
    pub model: SmolStr,
    /// The version of the servers' software for which this holds; `None` for requests that any version can run.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<SmolStr>,
    /// The time until the model can be used, in milliseconds; [`NEVER_MS`] if no server of the version is there.
    pub wait_ms: u32,
}

impl Forecast {
    /// The time until the model can be used; `None` if no server of the version is there.
    #[must_use]
    pub fn wait(&self) -> Option<Duration> {
        let is_never = self.version.is_some() && self.wait_ms == NEVER_MS;
        (!is_never).then(|| Duration::from_millis(self.wait_ms.into()))
    }
}
