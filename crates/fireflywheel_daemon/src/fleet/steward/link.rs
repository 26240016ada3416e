//! A link to another instance, as the steward sees it.

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
    pub(super) sender: mpsc::Sender<Bytes>,
    pub(super) peer: lease::Record,
    pub(super) cpu_share: f64,
    pub(super) leaving: bool,
    /// Of its last demand.
    pub(super) stamp_ms: u64,
    /// How old its own reads of the store are.
    pub(super) read_age: Duration,
    /// The newest configuration that it has, or that was sent to it. None before it has told, or if its release takes no configurations
    /// and no limits from a link: a frame that it can't read would end the link.
    pub(super) config_version: Option<u64>,
    /// The store doesn't answer it.
    pub(super) needs_config: bool,
    /// Requests wait there, so that each change of an engine may matter to it at once.
    pub(super) waits: bool,
    /// It is told of all engines.
    pub(super) whole: bool,
    /// Engines that have changed since it was told.
    pub(super) untold: BTreeSet<SmolStr>,
}

/// What the steward says of itself.
#[derive(Clone, Copy, Debug)]
pub(super) struct Heartbeat {
    pub(super) incarnation: u64,
    pub(super) active: bool,
    pub(super) instances: usize,
    pub(super) lease_end: Position,
    pub(super) era: Option<Era>,
    pub(super) config_version: u64,
    pub(super) read_age: Duration,
    pub(super) standbys_read: bool,
}

impl Link {
    /// What choosing a successor needs of it.
    pub(super) fn peer(&self) -> successor::Peer {
        successor::Peer {
            cpu_share: self.cpu_share,
            leaving: self.leaving,
            read_age: self.read_age,
        }
    }

    /// Tells of the engines that have changed; whether the link still has room.
    pub(super) fn tell(
        &mut self,
        now: clock::Instant,
        trackers: &BTreeMap<SmolStr, tracker::Tracker>,
    ) -> bool {
        if self.untold.is_empty() {
            return true;
        }
        let changed = std::mem::take(&mut self.untold);
        let engines = changed
            .iter()
            .filter_map(|server| Some(trackers.get(server)?.holding(now)));
        self.send(&frame::Frame::Held(frame::Holdings {
            engines: engines.collect(),
            complete: Vec::new(),
        }))
    }

    /// Sends the configuration if the instance has an earlier one; whether the link still has room.
    pub(super) fn send_config(&mut self, config: Option<&(u64, Bytes)>) -> bool {
        let is_later = |known: u64| config.filter(|(version, _)| *version > known);
        let Some((version, bytes)) = self.config_version.and_then(is_later) else {
            return true;
        };
        self.config_version = Some(*version);
        self.sender.try_send(bytes.clone()).is_ok()
    }

    /// Whether the link still has room.
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
            standbys_read: self.standbys_read,
        }
    }
}
