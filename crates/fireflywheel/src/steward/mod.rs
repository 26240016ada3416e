//! The steward of a group: the one instance that loads and unloads on the group's engines.
//!
//! It acts in three steps, and the process may die after any of them: it appends an intent, it sends the order
//! once the ledger has accepted the intent, and it appends the outcome once the engine has answered. The orders
//! in flight are derived from the open intents in the ledger, so a successor continues from the same state.
//!
//! The process can be paused between any two instructions, including between its last check of the ledger and
//! the sending of an order. No check here can rule that out; the pins in the ledger and the fencing numbers at
//! the engines keep such an order from doing harm.

mod demand;
mod in_flight;
mod plan;
mod surplus;

use std::collections::{BTreeMap, BTreeSet};

use smol_str::SmolStr;

pub use demand::Demand;
pub use in_flight::Retired;

use crate::{clock, document, item, ledger, order, record, report, right, wire};

/// A backend server of the group, as known from the platform's list and its own reports.
#[derive(Clone, Debug, Default)]
pub struct Server {
    /// The server's failure domain.
    pub failure_domain: SmolStr,
    /// Whether the server is shutting down, by the list, its report or its refusal of a request.
    pub leaving: bool,
    /// When a plain service refused a request because it is leaving; `None` once the list has shown that too, since the
    /// address then belongs to another process when the list names it as live again. Engines say in their reports that
    /// they leave, and which process they are.
    pub refused_as_leaving: Option<clock::Instant>,
    /// The time since which the list has not contained the server; `None` while the list contains it.
    pub absent_since: Option<clock::Instant>,
    /// The first offset that was not folded here at `absent_since`. A right that changed since then may be about a
    /// new process at the address that the list, which lags, does not contain yet.
    pub absent_offset: u64,
    /// The server's newest report, and the time at which it was received.
    pub report: Option<(clock::Instant, report::Report)>,
}

impl Server {
    /// Whether new replicas may be placed on the server.
    #[must_use]
    pub fn accepts_replicas(&self) -> bool {
        !self.leaving && self.absent_since.is_none()
    }
}

/// The inputs of a steward's decision.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The current time.
    pub now: clock::Instant,
    /// The ledger as far as the log has been read.
    pub ledger: &'a ledger::Ledger,
    /// The group's backend servers, by address.
    pub servers: &'a BTreeMap<SmolStr, Server>,
    /// Whether the log can be read at present; without it, no new intent can come into force.
    pub log_readable: bool,
    /// How long a backend server must be absent from the list before it counts as gone.
    pub absence_timeout: std::time::Duration,
}

impl View<'_> {
    /// The rights of a group, in the order of their keys.
    fn rights<'b>(
        &'b self,
        group: &'b str,
    ) -> impl Iterator<Item = (&'b right::Key, &'b right::Right)> {
        let rights = self.ledger.rights().iter();
        rights.filter(move |(_, right)| right.group == group)
    }

    /// The group's section in the document in force.
    fn group(&self, name: &str) -> Option<&document::Group> {
        self.ledger.document().groups.get(name)
    }

    /// Whether the group's engines refuse old fencing numbers, even after a restart.
    fn fenced(&self, name: &str) -> bool {
        let fencing = self.group(name).map(|group| group.fencing);
        fencing == Some(document::Fencing::Checked)
    }
}

/// An action that a steward requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Append this entry to the log.
    Append(record::Entry),
    /// Send this order, and report its answer under the same attempt number.
    SendOrder {
        /// The attempt number: the low half of the fencing number.
        attempt: u32,
        /// The engine's address.
        server: SmolStr,
        /// The order.
        command: order::Command,
    },
    /// Send a frame to an instance, which may be this one.
    SendFrame {
        /// The instance's name.
        to: SmolStr,
        /// The frame.
        frame: wire::Frame,
    },
}

/// The steward of one group in one epoch.
#[derive(Debug)]
pub struct Steward {
    group: SmolStr,
    epoch: u64,
    /// The number of the last intent of this epoch.
    number: u64,
    /// The number of the last attempt to send an order in this epoch.
    attempt: u32,
    in_flight: BTreeMap<in_flight::IntentId, in_flight::Order>,
    /// Numbers of this epoch's orders for which an answer was lost, so that a copy may still arrive.
    unanswered: BTreeSet<u64>,
    /// Numbers of the intents that were appended and not yet decided, by placement.
    proposed: BTreeMap<right::Key, u64>,
    /// Items that failed to load, with the time until which they are not loaded again.
    load_backoff: BTreeMap<item::Item, clock::Instant>,
    demand: Demand,
    /// The time of the last change of each placement that this epoch observed.
    last_changes: BTreeMap<right::Key, clock::Instant>,
    /// For each pinned placement: the log time of its newest pin in milliseconds, and when this steward first saw
    /// that pin or last tried to release it.
    newest_pins: BTreeMap<right::Key, (u64, clock::Instant)>,
    /// The time at which the next load is due under the store's rate limit once the burst is used up.
    store_due: clock::Instant,
    /// Backend servers whose replicas were released: the time of the last release, and the first offset that was
    /// not folded then.
    released_servers: BTreeMap<SmolStr, (clock::Instant, u64)>,
    is_retiring: bool,
    started_at: clock::Instant,
}

impl Steward {
    /// Creates the steward of a group, at the time at which its epoch was read back.
    #[must_use]
    pub fn new(now: clock::Instant, group: SmolStr, epoch: u64) -> Self {
        Self {
            group,
            epoch,
            number: 0,
            attempt: 0,
            in_flight: BTreeMap::new(),
            unanswered: BTreeSet::new(),
            proposed: BTreeMap::new(),
            load_backoff: BTreeMap::new(),
            demand: Demand::default(),
            last_changes: BTreeMap::new(),
            newest_pins: BTreeMap::new(),
            store_due: clock::Instant::default(),
            released_servers: BTreeMap::new(),
            is_retiring: false,
            started_at: now,
        }
    }

    /// The epoch that this steward holds.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The group that this steward serves.
    #[must_use]
    pub fn group(&self) -> &SmolStr {
        &self.group
    }

    /// Handles the report that callers at an instance wait for an item.
    pub fn handle_want(&mut self, now: clock::Instant, from: &SmolStr, want: &wire::Want) {
        self.demand.handle_want(now, from, want);
    }

    /// Handles the usage that an instance reports.
    pub fn handle_usage(&mut self, now: clock::Instant, from: &SmolStr, usages: &[wire::Usage]) {
        self.demand.handle_usage(now, from, usages);
    }

    /// Begins a planned stop: no new intent is opened, and open intents are completed.
    pub fn retire(&mut self) {
        self.is_retiring = true;
    }

    /// Whether a successor would inherit no open intent.
    #[must_use]
    pub fn is_settled(&self, ledger: &ledger::Ledger) -> bool {
        let mut rights = ledger.rights().values();
        let has_open = rights.any(|right| right.group == self.group && is_open(right));
        self.proposed.is_empty() && !has_open
    }

    /// Handles an entry of this incarnation that was read back and decided.
    pub fn handle_decision(&mut self, now: clock::Instant, entry: &record::Entry) {
        if let record::Entry::Close { order, .. } = entry
            && order.group == self.group
        {
            let key = right::Key {
                server: order.server.clone(),
                item: order.item.clone(),
            };
            self.last_changes.insert(key, now);
        }
        if let record::Entry::Grant(order) | record::Entry::Withdraw(order) = entry
            && order.group == self.group
            && order.epoch == self.epoch
        {
            self.proposed.retain(|_, number| *number != order.number);
        }
    }

    /// Performs what is due: sends the orders of open intents, and opens new intents.
    pub fn step(&mut self, view: &View<'_>, out: &mut Vec<Action>) {
        self.send_due_orders(view, out);
        if !self.is_retiring {
            self.plan(view, out);
        }
    }

    /// Appends a new intent, unless one for the placement is not decided yet.
    fn propose(&mut self, key: right::Key, is_load: bool, out: &mut Vec<Action>) {
        if self.proposed.contains_key(&key) {
            return;
        }
        self.number += 1;
        self.proposed.insert(key.clone(), self.number);
        let order = record::Order {
            group: self.group.clone(),
            epoch: self.epoch,
            number: self.number,
            server: key.server,
            item: key.item,
        };
        let entry = if is_load {
            record::Entry::Grant(order)
        } else {
            record::Entry::Withdraw(order)
        };
        out.push(Action::Append(entry));
    }
}

/// Whether an intent is open on the placement.
fn is_open(right: &right::Right) -> bool {
    matches!(
        right.state,
        right::State::Loading { .. } | right::State::Unloading { .. }
    )
}
