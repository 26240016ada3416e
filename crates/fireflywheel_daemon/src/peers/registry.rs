//! Which links are open: one for each peer.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};

use fireflywheel::{event, member, record, wire};
use smol_str::SmolStr;
use tokio::sync::{mpsc, oneshot};

use crate::{core, metrics};

/// Links at once.
const LIMIT: usize = 256;
/// Frames that wait for one peer; more are dropped.
const QUEUE: usize = 256;

/// A peer to connect to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Its name, empty when it isn't known.
    pub instance: SmolStr,
    /// `IP:PORT`.
    pub address: SmolStr,
}

/// The open links.
#[derive(Debug)]
pub struct Registry {
    me: SmolStr,
    metrics: Arc<metrics::Metrics>,
    links: Mutex<Links>,
    /// Held while a link comes or goes and the node is told, so that it hears of both in their order. It is
    /// taken before the node's lock, never under it.
    turnstile: Mutex<()>,
}

#[derive(Debug, Default)]
struct Links {
    by_name: HashMap<SmolStr, Link>,
    last: u64,
}

#[derive(Debug)]
struct Link {
    number: u64,
    by: record::Incarnation,
    address: SmolStr,
    /// Opened by the smaller of both names: the one to keep when both sides connect.
    is_preferred: bool,
    frames: mpsc::Sender<wire::Frame>,
    /// Dropped to end the link.
    _stop: oneshot::Sender<()>,
}

/// The ends of a link that was taken in.
#[derive(Debug)]
pub struct Entry {
    /// Names the link.
    pub number: u64,
    /// Frames to send.
    pub frames: mpsc::Receiver<wire::Frame>,
    /// Resolves when the link is to end.
    pub stop: oneshot::Receiver<()>,
}

impl Registry {
    /// No links of the instance `me`.
    #[must_use]
    pub fn new(me: SmolStr, metrics: Arc<metrics::Metrics>) -> Self {
        Self {
            me,
            metrics,
            links: Mutex::default(),
            turnstile: Mutex::default(),
        }
    }

    /// Whether there is a link already to whom the call is for.
    #[must_use]
    pub fn contains(&self, call: &Target) -> bool {
        let links = self.lock();
        let mut addresses = links.by_name.values().map(|link| &link.address);
        links.by_name.contains_key(&call.instance)
            || addresses.any(|address| *address == call.address)
    }

    /// Queues a frame; dropped without a link, or when the queue is full.
    pub fn send(&self, to: &SmolStr, frame: wire::Frame) {
        let links = self.lock();
        let Some(link) = links.by_name.get(to) else {
            return;
        };
        if let Err(mpsc::error::TrySendError::Full(_)) = link.frames.try_send(frame) {
            self.metrics.count_link_failure(metrics::LinkFailure::Full);
        }
    }

    /// Ends the link to an instance; its task tells the node.
    pub fn disconnect(&self, name: &SmolStr) {
        // The task that serves the link sees its stop end and takes it out; here it must stay, or the node
        // would not hear that it is down.
        if let Some(link) = self.lock().by_name.get_mut(name) {
            link._stop = oneshot::channel().0;
        }
    }

    /// Takes in a link that was proven, unless there is a better one, and tells the node.
    pub(super) fn open(
        &self,
        core: &core::Core,
        peer: &member::Update,
        opened_here: bool,
    ) -> Option<Entry> {
        let _turn = self.turn();
        let (entry, replaced) = self.insert(peer, opened_here)?;
        if let Some(old) = replaced.filter(|old| *old != peer.by) {
            core.step(event::Event::LinkDown(old));
        }
        core.step(event::Event::LinkUp(peer.clone()));
        Some(entry)
    }

    /// Takes out a link that has ended, and tells the node unless another has replaced it.
    pub(super) fn close(&self, core: &core::Core, peer: &member::Update, number: u64) {
        let _turn = self.turn();
        if self.remove(&peer.by.instance, number) {
            core.step(event::Event::LinkDown(peer.by.clone()));
        }
    }

    fn insert(
        &self,
        peer: &member::Update,
        opened_here: bool,
    ) -> Option<(Entry, Option<record::Incarnation>)> {
        let name = &peer.by.instance;
        let mut links = self.lock();
        let is_preferred = opened_here == (self.me < *name);
        let old = links.by_name.get(name);
        let is_full = old.is_none() && links.by_name.len() >= LIMIT;
        if is_full || old.is_some_and(|old| !gives_way(old, &peer.by, is_preferred)) {
            return None;
        }
        links.last += 1;
        let number = links.last;
        let (frames, queued) = mpsc::channel(QUEUE);
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
        let entry = Entry {
            number,
            frames: queued,
            stop: stopped,
        };
        Some((entry, replaced))
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

    fn turn(&self) -> MutexGuard<'_, ()> {
        self.turnstile.lock().expect("no panic under the lock")
    }
}

/// Whether an open link is replaced by a new one. Both sides judge alike, so that they keep the same.
fn gives_way(old: &Link, new: &record::Incarnation, new_is_preferred: bool) -> bool {
    if old.by.number != new.number {
        // Another process of that name: the later one lives.
        return old.by.number < new.number;
    }
    new_is_preferred || !old.is_preferred
}
