//! The steward's end of a link to another instance.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;
use fireflywheel::clock;
use fireflywheel::fleet::availability;
use fireflywheel::fleet::config::update;
use fireflywheel::fleet::demand;
use fireflywheel::fleet::era::{Era, Position};
use fireflywheel::fleet::frame;
use fireflywheel::fleet::gateway;
use fireflywheel::fleet::lease;
use fireflywheel::fleet::successor;
use fireflywheel::fleet::tracker;
use smol_str::SmolStr;
use tokio::sync::mpsc;

use super::updates;

/// A link to another instance.
#[derive(Debug)]
pub(super) struct Link {
    /// The queue of encoded frames.
    pub(super) sender: mpsc::Sender<Bytes>,
    /// The instance, as a lease record names it.
    pub(super) peer: lease::Record,
    /// The instance's share of a processor.
    pub(super) cpu_share: f64,
    /// The instance's failure domain; empty if its release has no gateways.
    pub(super) failure_domain: SmolStr,
    /// The groups whose servers it doesn't reach. `None` until it has reported them, or if its release has no gateways.
    pub(super) unreached_groups: Option<BTreeSet<SmolStr>>,
    /// Its gateways as they were last sent.
    pub(super) gateways: Vec<gateway::Gateway>,
    /// Whether the instance is stopping.
    pub(super) leaving: bool,
    /// Time stamp of its last demand in milliseconds, by its own clock; 0 before the first one.
    pub(super) stamp_ms: u64,
    /// Age of its own reads of the store.
    pub(super) read_age: Duration,
    /// The newest configuration version that it has reported. `None` until then, or if its release accepts no limits
    /// over a link: a frame that it can't read would end the link.
    pub(super) config_version: Option<u64>,
    /// The configuration that it has, as far as it is known. `None` until it has reported one, or if its release accepts
    /// no updates of the configuration.
    pub(super) config: Option<demand::Holding>,
    /// The last update that it was sent on its own request.
    pub(super) requested_update: Option<(demand::Holding, update::Revision)>,
    /// Whether it has received the whole directory from this stewardship. Changes alone would leave it with servers that
    /// are gone since it heard from an earlier steward.
    pub(super) has_directory: bool,
    /// The position up to which it knows the directory by the frames that it was sent.
    pub(super) directory_as_of: Option<Position>,
    /// Whether its release distinguishes versions of servers. A frame that it can't read would end the link.
    pub(super) knows_versions: bool,
    /// Whether its release keeps streams for the steward. A frame that it can't read would end the link.
    pub(super) keeps_streams: bool,
    /// Whether its release shares facts of crashes. A frame that it can't read would end the link.
    pub(super) shares_facts: bool,
    /// Whether requests have waited there for servers of a certain version. An instance of a release that doesn't distinguish
    /// versions would take forecasts for a version as those for all.
    pub(super) needs_versions: bool,
    /// Whether requests wait there, so that each change of an engine may matter to it at once.
    pub(super) has_waiting: bool,
    /// Whether it receives all engines.
    pub(super) all_engines: bool,
    /// Engines that have changed since it last received them.
    pub(super) changed_engines: BTreeSet<SmolStr>,
}

/// The steward's state, as sent in heartbeats.
#[derive(Clone, Copy, Debug)]
pub(super) struct Heartbeat {
    pub(super) incarnation: u64,
    pub(super) active: bool,
    pub(super) instances: usize,
    pub(super) lease_end: Position,
    pub(super) era: Option<Era>,
    pub(super) config: Option<update::Revision>,
    pub(super) read_age: Duration,
    pub(super) standbys_must_read: bool,
    pub(super) store: Option<availability::Report>,
}

impl Link {
    /// What the choice of a successor needs to know of it. `order_delay` is how long it would wait before it sends orders.
    pub(super) fn successor_candidate(
        &self,
        engine_groups: &BTreeSet<SmolStr>,
        order_delay: Duration,
    ) -> successor::Peer {
        let unreached_groups = self.unreached_groups.as_ref();
        successor::Peer {
            cpu_share: self.cpu_share,
            leaving: self.leaving,
            read_age: self.read_age,
            is_partitioned: unreached_groups
                .is_some_and(|groups| !groups.is_disjoint(engine_groups)),
            order_delay,
        }
    }

    /// The instance as a gateway; `None` if its release has none, or it is stopping.
    pub(super) fn gateway(&self) -> Option<gateway::Gateway> {
        let unreached_groups = self.unreached_groups.clone().filter(|_| !self.leaving)?;
        Some(gateway::Gateway {
            instance: self.peer.instance.clone(),
            address: self.peer.address.clone(),
            failure_domain: self.failure_domain.clone(),
            unreached_groups,
            // The same release brought both.
            lends: self.shares_facts,
        })
    }

    /// Sends the engines that have changed. Returns whether the link still has room.
    pub(super) fn send_changes(
        &mut self,
        now: clock::Instant,
        trackers: &BTreeMap<SmolStr, tracker::Tracker>,
    ) -> bool {
        if self.changed_engines.is_empty() {
            return true;
        }
        let changed = std::mem::take(&mut self.changed_engines);
        let engines = changed
            .iter()
            .filter_map(|server| Some(trackers.get(server)?.holding(now)));
        self.send(&frame::Frame::Held(frame::Holdings {
            engines: engines.collect(),
            complete: Vec::new(),
        }))
    }

    /// Sends the update to the newest configuration, if the instance has an earlier one. Returns whether the link still
    /// has room.
    pub(super) fn send_config(&mut self, updates: &mut updates::Cache) -> bool {
        let Some(holding) = &mut self.config else {
            return true;
        };
        let target = updates.target();
        let known = holding.revision.map_or(0, |revision| revision.version);
        if known >= target.version {
            return true;
        }
        let parts = updates.from(holding.revision);
        holding.revision = Some(target);
        parts
            .iter()
            .all(|part| self.sender.try_send(part.clone()).is_ok())
    }

    /// Records which configuration the instance has reported. One that needs the configuration from the steward has it
    /// sent again: once for each configuration that it has reported, since an update may be on its way.
    pub(super) fn observe_config(
        &mut self,
        demand: &demand::Demand,
        newest: Option<update::Revision>,
    ) {
        self.config_version = self.config_version.max(demand.config_version);
        if self.config.is_none() {
            self.config = demand.config;
        }
        let (Some(holding), Some(newest)) = (demand.config, newest) else {
            return;
        };
        if demand.needs_config && self.requested_update != Some((holding, newest)) {
            self.requested_update = Some((holding, newest));
            self.config = Some(holding);
        }
    }

    /// Sends a frame. Returns whether the link still has room.
    pub(super) fn send(&self, frame: &frame::Frame) -> bool {
        self.sender.try_send(frame.encode()).is_ok()
    }
}

impl Heartbeat {
    pub(super) fn frame(&self, stamp_ms: u64) -> frame::Frame {
        frame::Frame::Heartbeat {
            incarnation: self.incarnation,
            active: self.active,
            instances: u32::try_from(self.instances).unwrap_or(u32::MAX),
            lease_end: self.lease_end.offset,
            lease_era: self.lease_end.era,
            era: self.era,
            config_version: self.config.map_or(0, |config| config.version),
            read_age_ms: frame::millis(self.read_age),
            stamp_ms,
            standbys_must_read: self.standbys_must_read,
            config: self.config,
            store: self.store,
        }
    }
}
