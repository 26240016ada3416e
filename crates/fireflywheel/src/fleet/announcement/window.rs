//! How many requests an instance may have in flight at a server that falls over when it has to reject too many.
//!
//! Rejections of all instances count together, and no instance sees those of the others. Therefore each grows its window
//! by its part of half of the tolerated rejections, and shrinks it with each rejection of its own. A window grows beyond this
//! instance's part of the slots only while requests wait for it: windows that had all grown unused would cause a rejection
//! each as soon as they are needed.

use std::time::Duration;

use crate::clock;

/// The share of the tolerated rejections by which the windows of all instances together grow in a second.
const GROWTH_RATIO: f64 = 0.5;
/// The share of the requests in flight at a rejection that the window keeps.
const SHRINK_RATIO: f64 = 0.7;

/// The share of a window up to which its places are lent, those in use included.
const LENDABLE_RATIO: f64 = 0.75;

/// The share of the slots that the windows have together where there are more instances than slots. Which instances have a
/// place is drawn, and the draws may coincide.
const SPARSE_RATIO: f64 = 0.75;
/// How long a window stays beyond this instance's part of the slots after a request has waited for it.
const DEMAND_TTL: Duration = Duration::from_secs(10);
/// Maximum time between two records of waiting requests for which the window grows.
const MAX_DEMAND_INTERVAL: Duration = Duration::from_secs(1);

/// The window of one instance for one server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Window {
    size: f64,
    /// The number of rejections in a second that the server tolerates from all instances.
    rejections: u32,
    growth_per_second: f64,
    updated: clock::Instant,
    /// This instance's part of the slots.
    part: f64,
    /// Maximum size, while requests have waited recently.
    limit: f64,
    /// When a request last waited.
    demanded: clock::Instant,
}

impl Window {
    /// Creates the window for a server with `slots` that tolerates `rejections` a second from all `instances`: this
    /// instance's part of the slots. `draw`, from 0 to 1, keeps the windows of all instances from growing by a request at
    /// the same moment.
    #[must_use]
    pub fn new(
        now: clock::Instant,
        slots: u32,
        rejections: u32,
        instances: usize,
        draw: f64,
    ) -> Self {
        let instances = instances.max(1) as f64;
        let share = f64::from(slots) / instances;
        let part = match share >= 1.0 {
            true => share.floor() + draw,
            false => share * SPARSE_RATIO + draw,
        };
        Self {
            size: part,
            rejections,
            growth_per_second: f64::from(rejections) * GROWTH_RATIO / instances,
            updated: now,
            part,
            limit: part,
            demanded: now,
        }
    }

    /// Records that a request waits for the window.
    pub fn record_demand(&mut self, now: clock::Instant) {
        let elapsed = now.since(self.demanded).min(MAX_DEMAND_INTERVAL);
        self.limit = self.limit_at(now) + elapsed.as_secs_f64() * self.growth_per_second;
        self.demanded = now;
    }

    /// Whether another request may be sent while `in_flight` are at the server.
    #[must_use]
    pub fn has_room(&self, now: clock::Instant, in_flight: u32) -> bool {
        f64::from(in_flight) + 1.0 <= self.size_at(now)
    }

    /// Whether a place may be lent to another instance while `in_flight` requests are at the server: some places are left for
    /// this instance, unless it has only one.
    #[must_use]
    pub fn may_lend(&self, now: clock::Instant, in_flight: u32) -> bool {
        let lendable = (self.size_at(now) * LENDABLE_RATIO).max(1.0);
        self.has_room(now, in_flight) && f64::from(in_flight) + 1.0 <= lendable
    }

    /// The number of rejections in a second that the server tolerates from all instances.
    #[must_use]
    pub fn rejections(&self) -> u32 {
        self.rejections
    }

    /// Records that the server has rejected a request for want of room, with `in_flight` others of this instance there.
    pub fn record_rejection(&mut self, now: clock::Instant, in_flight: u32) {
        let size = self.size_at(now);
        self.limit = self.limit_at(now).min(size.max(self.part));
        self.size = (f64::from(in_flight) * SHRINK_RATIO).min(size);
        self.updated = now;
    }

    fn size_at(&self, now: clock::Instant) -> f64 {
        let grown = self.size + now.since(self.updated).as_secs_f64() * self.growth_per_second;
        grown.min(self.limit_at(now))
    }

    fn limit_at(&self, now: clock::Instant) -> f64 {
        match now.since(self.demanded) < DEMAND_TTL {
            true => self.limit,
            false => self.part,
        }
    }
}
