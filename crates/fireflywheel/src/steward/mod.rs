//! The steward of a group: the one instance that loads and unloads on the group's engines.
//!
//! It acts in three steps, and each can be the last that a process ever takes. It appends an intent; once
//! the ledger accepted it, it sends the order; once the engine answered, it appends the outcome. What is in
//! flight is worked out from the ledger's open intents, so a successor goes on from the same place.
//!
//! A pause can come between any two instructions, also between the last look at the ledger and the sending
//! of an order. No check here prevents that; the ledger's pins and the engines' fencing numbers do.

mod demand;
mod flight;
mod plan;
mod surplus;

use std::collections::{BTreeMap, BTreeSet};

use smol_str::SmolStr;

pub use demand::Demand;
pub use flight::Retired;

use crate::{clock, document, item, ledger, order, record, report, right, wire};

/// A backend server of the group, as the list and its reports tell of it.
#[derive(Clone, Debug, Default)]
pub struct Server {
    /// Its failure domain.
    pub failure_domain: SmolStr,
    /// The list, its report or its own refusal says that it goes.
    pub leaving: bool,
    /// The list has not named it since then.
    pub absent_since: Option<clock::Instant>,
    /// The first offset that wasn't folded here then. A right that changed since may tell of a new process at
    /// the address, which the list, being late, doesn't name yet.
    pub absent_offset: u64,
    /// Its newest report, and when it came in.
    pub report: Option<(clock::Instant, report::Report)>,
}

impl Server {
    /// Whether new replicas may go there.
    #[must_use]
    pub fn takes_replicas(&self) -> bool {
        !self.leaving && self.absent_since.is_none()
    }
}

/// What a steward sees when it decides.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The time.
    pub now: clock::Instant,
    /// What has been read back from the log.
    pub ledger: &'a ledger::Ledger,
    /// The group's backend servers by address.
    pub servers: &'a BTreeMap<SmolStr, Server>,
    /// Whether the log is read at present; without it no new intent can come into force.
    pub log_readable: bool,
    /// How long a backend server is absent from the list until it counts as gone.
    pub gone_after: std::time::Duration,
}

impl View<'_> {
    /// The rights of a group, in order.
    fn rights<'b>(
        &'b self,
        group: &'b str,
    ) -> impl Iterator<Item = (&'b right::Key, &'b right::Right)> {
        let rights = self.ledger.rights().iter();
        rights.filter(move |(_, right)| right.group == group)
    }

    /// What the document in force at the ledger says of the group.
    fn group(&self, name: &str) -> Option<&document::Group> {
        self.ledger.document().groups.get(name)
    }

    /// Whether the group's engines refuse old fencing numbers, also after a restart.
    fn fenced(&self, name: &str) -> bool {
        let fencing = self.group(name).map(|group| group.fencing);
        fencing == Some(document::Fencing::Checked)
    }
}

/// What a steward wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Append this entry.
    Append(record::Entry),
    /// Send this order, and say what came of it under the same sending.
    SendOrder {
        /// The low half of the fencing number.
        sending: u32,
        /// The engine's address.
        server: SmolStr,
        /// The order.
        command: order::Command,
    },
    /// Tell an instance, perhaps this one.
    SendFrame {
        /// Its name.
        to: SmolStr,
        /// What.
        frame: wire::Frame,
    },
}

/// The steward of one group in one epoch.
#[derive(Debug)]
pub struct Steward {
    group: SmolStr,
    epoch: u64,
    number: u64,
    sending: u32,
    flights: BTreeMap<flight::Key, flight::Flight>,
    /// Numbers of this epoch's orders of which an answer was lost, and a copy may still arrive.
    lost: BTreeSet<u64>,
    /// Intents appended and not yet judged.
    proposed: BTreeMap<right::Key, u64>,
    /// Items that failed to load, and until when they are left alone.
    resting: BTreeMap<item::Item, clock::Instant>,
    demand: Demand,
    /// When a placement changed last, as far as this epoch saw it.
    changed: BTreeMap<right::Key, clock::Instant>,
    /// The newest pin of a placement in log time, and when it was seen first here.
    pinned: BTreeMap<right::Key, (u64, clock::Instant)>,
    /// When the next load is due at the store's rate, if all its burst is used up.
    store_due: clock::Instant,
    /// Backend servers that were given up: when last, and the first offset not folded then.
    gone: BTreeMap<SmolStr, (clock::Instant, u64)>,
    retiring: bool,
    since: clock::Instant,
}

impl Steward {
    /// The steward of a group from the moment at which its epoch was read back.
    #[must_use]
    pub fn new(now: clock::Instant, group: SmolStr, epoch: u64) -> Self {
        Self {
            group,
            epoch,
            number: 0,
            sending: 0,
            flights: BTreeMap::new(),
            lost: BTreeSet::new(),
            proposed: BTreeMap::new(),
            resting: BTreeMap::new(),
            demand: Demand::default(),
            changed: BTreeMap::new(),
            pinned: BTreeMap::new(),
            store_due: clock::Instant::default(),
            gone: BTreeMap::new(),
            retiring: false,
            since: now,
        }
    }

    /// The epoch.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The group.
    #[must_use]
    pub fn group(&self) -> &SmolStr {
        &self.group
    }

    /// Callers of an instance wait for an item.
    pub fn handle_want(&mut self, now: clock::Instant, from: &SmolStr, want: &wire::Want) {
        self.demand.handle_want(now, from, want);
    }

    /// What an instance ran.
    pub fn handle_usage(&mut self, now: clock::Instant, from: &SmolStr, usages: &[wire::Usage]) {
        self.demand.handle_usage(now, from, usages);
    }

    /// Begins a planned stop: nothing new is ordered, what is open is brought to its end.
    pub fn retire(&mut self) {
        self.retiring = true;
    }

    /// Whether a successor inherits nothing that is open.
    #[must_use]
    pub fn is_settled(&self, ledger: &ledger::Ledger) -> bool {
        let mut rights = ledger.rights().values();
        let open = rights.any(|right| right.group == self.group && is_open(right));
        self.proposed.is_empty() && !open
    }

    /// One of this incarnation's entries was read back and judged.
    pub fn handle_decision(&mut self, now: clock::Instant, entry: &record::Entry) {
        if let record::Entry::Close { order, .. } = entry
            && order.group == self.group
        {
            let key = right::Key {
                server: order.server.clone(),
                item: order.item.clone(),
            };
            self.changed.insert(key, now);
        }
        if let record::Entry::Grant(order) | record::Entry::Withdraw(order) = entry
            && order.group == self.group
            && order.epoch == self.epoch
        {
            self.proposed.retain(|_, number| *number != order.number);
        }
    }

    /// Does what is due: sends orders of open intents, appends outcomes, opens new intents.
    pub fn step(&mut self, view: &View<'_>, out: &mut Vec<Action>) {
        self.follow(view, out);
        if !self.retiring {
            self.plan(view, out);
        }
    }

    /// A new intent, unless one for the placement waits to be judged.
    fn propose(&mut self, key: right::Key, load: bool, out: &mut Vec<Action>) {
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
        let entry = if load {
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
