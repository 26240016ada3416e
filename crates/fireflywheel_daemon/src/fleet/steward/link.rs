//! The steward's end of a link to another instance.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;
use fireflywheel::clock;
use fireflywheel::fleet::era::{Era, Position};
use fireflywheel::fleet::frame;
use fireflywheel::fleet::lease;
use fireflywheel::fleet::successor;
use fireflywheel::fleet::tracker;
use smol_str::SmolStr;
use tokio::sync::mpsc;

/// A link to another instance.
#[derive(Debug)]
pub(super) struct Link {
    /// The queue of encoded frames.
    pub(super) sender: mpsc::Sender<Bytes>,
    /// The instance, as a lease record names it.
    pub(super) peer: lease::Record,
    /// The instance's share of a processor.
    pub(super) cpu_share: f64,
    /// Whether the instance is stopping.
    pub(super) leaving: bool,
    /// Time stamp of its last demand in milliseconds, by its own clock; 0 before the first one.
    pub(super) stamp_ms: u64,
    /// Age of its own reads of the store.
    pub(super) read_age: Duration,
    /// The newest configuration version that it has or was sent. `None` until it has reported one, or if its
    /// release accepts no configurations and no limits over a link: a frame that it can't read would end the
    /// link.
    pub(super) config_version: Option<u64>,
    /// Whether the store does not answer it, so that it needs the configuration from the steward.
    pub(super) needs_config: bool,
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
    pub(super) config_version: u64,
    pub(super) read_age: Duration,
    pub(super) standbys_must_read: bool,
}

impl Link {
    /// What the choice of a successor needs to know of it.
    pub(super) fn successor_candidate(&self) -> successor::Peer {
        successor::Peer {
            cpu_share: self.cpu_share,
            leaving: self.leaving,
            read_age: self.read_age,
        }
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

    /// Sends the configuration if the instance has an earlier one. Returns whether the link still has room.
    pub(super) fn send_config(&mut self, config: Option<&(u64, Bytes)>) -> bool {
        let is_later = |known: u64| config.filter(|(version, _)| *version > known);
        let Some((version, bytes)) = self.config_version.and_then(is_later) else {
            return true;
        };
        self.config_version = Some(*version);
        self.sender.try_send(bytes.clone()).is_ok()
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
            config_version: self.config_version,
            read_age_ms: frame::millis(self.read_age),
            stamp_ms,
            standbys_must_read: self.standbys_must_read,
        }
    }
}
