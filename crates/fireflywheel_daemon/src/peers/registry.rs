//! The open links, at most one for each peer.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};

use fireflywheel::{event, member, record, wire};
use smol_str::SmolStr;
use tokio::sync::{mpsc, oneshot};

use crate::{core, metrics};

/// Maximum number of open links.
const MAX_LINKS: usize = 256;
/// Maximum number of frames queued for one peer. Further frames are dropped.
const MAX_QUEUED_FRAMES: usize = 256;

/// A peer to connect to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// The name of the instance, empty when it is unknown.
    pub instance: SmolStr,
    /// The peer address of the instance, as `IP:PORT`.
    pub address: SmolStr,
}

/// The open links.
#[derive(Debug)]
pub struct Registry {
    own_name: SmolStr,
    metrics: Arc<metrics::Metrics>,
    links: Mutex<Links>,
    /// Held while a link is added or removed and the node is notified, so that the node sees these events in
    /// their order. It is always acquired before the node's lock, never while that lock is held.
    event_order: Mutex<()>,
}

#[derive(Debug, Default)]
struct Links {
    by_name: HashMap<SmolStr, Link>,
    last_number: u64,
}

#[derive(Debug)]
struct Link {
    number: u64,
    by: record::Incarnation,
    address: SmolStr,
    /// Whether the instance with the smaller name opened the link. When both sides connect, both keep this
    /// link.
    is_preferred: bool,
    frames: mpsc::Sender<wire::Frame>,
    /// Dropping the sender ends the link.
    _stop: oneshot::Sender<()>,
}

/// The receiving ends with which a task serves a registered link.
#[derive(Debug)]
pub struct Channels {
    /// The number of the link, unique in this process.
    pub number: u64,
    /// The frames to send to the peer.
    pub frames: mpsc::Receiver<wire::Frame>,
    /// Resolves when the link must end.
    pub stop: oneshot::Receiver<()>,
}

impl Registry {
    /// Creates an empty registry for the instance `own_name`.
    #[must_use]
    pub fn new(own_name: SmolStr, metrics: Arc<metrics::Metrics>) -> Self {
        Self {
            own_name,
            metrics,
            links: Mutex::default(),
            event_order: Mutex::default(),
        }
    }

    /// Returns whether a link to the target's instance or address is open.
    #[must_use]
    pub fn contains(&self, target: &Target) -> bool {
        let links = self.lock();
        let mut addresses = links.by_name.values().map(|link| &link.address);
        links.by_name.contains_key(&target.instance)
            || addresses.any(|address| *address == target.address)
    }

    /// Queues a frame for an instance. The frame is dropped if no link is open or the queue is full.
    pub fn send(&self, to: &SmolStr, frame: wire::Frame) {
        let links = self.lock();
        let Some(link) = links.by_name.get(to) else {
            return;
        };
        if let Err(mpsc::error::TrySendError::Full(_)) = link.frames.try_send(frame) {
            self.metrics
                .count_link_failure(metrics::LinkFailure::QueueFull);
        }
    }

    /// Ends the link to an instance. The task that serves the link notifies the node.
    pub fn disconnect(&self, name: &SmolStr) {
        // The serving task sees its `stop` resolve and removes the link. The link must stay registered until
        // then, or the node would not receive its `LinkDown`.
        if let Some(link) = self.lock().by_name.get_mut(name) {
            link._stop = oneshot::channel().0;
        }
    }

    /// Registers an authenticated link and notifies the node. Returns `None` if the existing link to the peer
    /// is kept or the registry is full.
    pub(super) fn register(
        &self,
        core: &core::Core,
        peer: &member::Update,
        is_opener: bool,
    ) -> Option<Channels> {
        let _guard = self.lock_event_order();
        let (channels, replaced) = self.insert(peer, is_opener)?;
        if let Some(old) = replaced.filter(|old| *old != peer.by) {
            core.step(event::Event::LinkDown(old));
        }
        core.step(event::Event::LinkUp(peer.clone()));
        Some(channels)
    }

    /// Removes a link that has ended and notifies the node, unless another link has replaced it.
    pub(super) fn unregister(&self, core: &core::Core, peer: &member::Update, number: u64) {
        let _guard = self.lock_event_order();
        if self.remove(&peer.by.instance, number) {
            core.step(event::Event::LinkDown(peer.by.clone()));
        }
    }

    fn insert(
        &self,
        peer: &member::Update,
        is_opener: bool,
    ) -> Option<(Channels, Option<record::Incarnation>)> {
        let name = &peer.by.instance;
        let mut links = self.lock();
        let is_preferred = is_opener == (self.own_name < *name);
        let old = links.by_name.get(name);
        let is_full = old.is_none() && links.by_name.len() >= MAX_LINKS;
        if is_full || old.is_some_and(|old| !should_replace(old, &peer.by, is_preferred)) {
            return None;
        }
        links.last_number += 1;
        let number = links.last_number;
        let (frames, queued) = mpsc::channel(MAX_QUEUED_FRAMES);
        let (stop, stopped) = oneshot::channel();
        let link = Link {
            number,
            by: peer.by.clone(),
            address: peer.address.clone(),
            is_preferred,
            frames,
            _stop: stop,
        };
        let replaced = links.by_name.insert(name.clone(), link).map(|old| old.by);
        self.metrics.set_links(links.by_name.len());
        let channels = Channels {
            number,
            frames: queued,
            stop: stopped,
        };
        Some((channels, replaced))
    }

    fn remove(&self, name: &SmolStr, number: u64) -> bool {
        let mut links = self.lock();
        let is_current = links
            .by_name
            .get(name)
            .is_some_and(|link| link.number == number);
        if is_current {
            links.by_name.remove(name);
            self.metrics.set_links(links.by_name.len());
        }
        is_current
    }

    fn lock(&self) -> MutexGuard<'_, Links> {
        self.links.lock().expect("no panic under the lock")
    }

    fn lock_event_order(&self) -> MutexGuard<'_, ()> {
        self.event_order.lock().expect("no panic under the lock")
    }
}

/// Returns whether a new link replaces an open one. Both sides apply the same rule, so that they keep the
/// same link.
fn should_replace(old: &Link, new: &record::Incarnation, new_is_preferred: bool) -> bool {
    if old.by.number != new.number {
        // The peer runs as another process of the same name. The later incarnation wins.
        return old.by.number < new.number;
    }
    new_is_preferred || !old.is_preferred
}
