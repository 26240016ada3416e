//! Orders in flight: one for each open intent of the group.

use std::{collections::BTreeSet, time::Duration};

use smol_str::SmolStr;

use super::{Action, Steward, View};
use crate::{clock, item, order, record, right, wire};

/// Until an order is sent again after a lost answer or a refusal.
const RETRY: Duration = Duration::from_millis(200);

/// How long an item rests after the engine said that it could not be loaded.
const REST: Duration = Duration::from_millis(500);

/// The epoch and number of an intent.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Key {
    epoch: u64,
    number: u64,
}

/// An open intent, and how far its order is.
#[derive(Clone, Debug)]
pub(super) struct Flight {
    placement: right::Key,
    memory_mb: u64,
    kind: order::Kind,
    state: State,
    lost: bool,
}

/// How far an order is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    /// To be sent from then on.
    Due(clock::Instant),
    /// Sent; no answer yet.
    Sent(u32),
    /// Answered; the outcome waits to be read back.
    Closing,
}

/// What is left of a steward whose epoch is over: the orders that may still arrive.
#[derive(Debug)]
pub struct Retired {
    /// The group.
    pub group: SmolStr,
    /// The epoch that is over.
    pub epoch: u64,
    waiting: Vec<(u32, u64)>,
    lost: BTreeSet<u64>,
}

impl Retired {
    /// A late answer to one of its orders; true when that ends a doubt.
    pub fn answered(&mut self, sending: u32, answer: &order::Answer) -> bool {
        let Some(place) = self.waiting.iter().position(|(sent, _)| *sent == sending) else {
            return false;
        };
        let (_, number) = self.waiting.swap_remove(place);
        if *answer == order::Answer::Lost {
            self.lost.insert(number);
            return false;
        }
        true
    }

    /// Whether every order has its answer, or none to wait for.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Says that the epoch is over, and which of its orders may still arrive.
    #[must_use]
    pub fn acknowledgement(&self) -> record::Entry {
        let waiting = self.waiting.iter().map(|(_, number)| *number);
        let stray = waiting.chain(self.lost.iter().copied());
        let stray: BTreeSet<u64> = stray.collect();
        record::Entry::Acknowledge {
            group: self.group.clone(),
            epoch: self.epoch,
            stray: stray.into_iter().collect(),
        }
    }
}

impl Steward {
    /// Ends the epoch here. Nothing is sent under it from now on.
    #[must_use]
    pub fn into_retired(self) -> Retired {
        let sent = self.flights.iter().filter_map(|(key, flight)| {
            let State::Sent(sending) = flight.state else {
                return None;
            };
            Some((sending, key.number))
        });
        Retired {
            waiting: sent.collect(),
            group: self.group,
            epoch: self.epoch,
            lost: self.lost,
        }
    }

    /// Brings the flights in line with the ledger's open intents, and sends what is due.
    pub(super) fn follow(&mut self, view: &View<'_>, out: &mut Vec<Action>) {
        let open = self.open_intents(view);
        self.flights.retain(|key, _| open.contains_key(key));
        for (key, flight) in open {
            self.flights.entry(key).or_insert(flight);
        }
        let due: Vec<Key> = self.due(view.now);
        for key in due {
            self.send(key, out);
        }
    }

    fn open_intents(&self, view: &View<'_>) -> std::collections::BTreeMap<Key, Flight> {
        let group = self.group.clone();
        let rights = view.rights(&group);
        let open = rights.filter_map(|(placement, right)| {
            let (kind, epoch, number) = match right.state {
                right::State::Loading { epoch, number } => (order::Kind::Load, epoch, number),
                right::State::Unloading { epoch, number } => (order::Kind::Unload, epoch, number),
                right::State::Loaded | right::State::Empty => return None,
            };
            let inherited = epoch != self.epoch;
            let flight = Flight {
                placement: placement.clone(),
                memory_mb: right.memory_mb,
                kind: if inherited { order::Kind::Query } else { kind },
                state: State::Due(view.now),
                lost: false,
            };
            Some((Key { epoch, number }, flight))
        });
        open.collect()
    }

    /// Whether an order to the server waits for its answer.
    pub(super) fn awaits_answer(&self, server: &SmolStr) -> bool {
        let mut flights = self.flights.values();
        flights.any(|flight| {
            flight.placement.server == *server && matches!(flight.state, State::Sent(_))
        })
    }

    /// Flights to be sent now. A server that was given up gets nothing until that was read back.
    fn due(&self, now: clock::Instant) -> Vec<Key> {
        let flights = self.flights.iter();
        let due = flights.filter(|(_, flight)| match flight.state {
            State::Due(at) => at <= now && !self.gone.contains_key(&flight.placement.server),
            State::Sent(_) | State::Closing => false,
        });
        due.map(|(key, _)| *key).collect()
    }

    fn send(&mut self, key: Key, out: &mut Vec<Action>) {
        let Some(flight) = self.flights.get_mut(&key) else {
            return;
        };
        self.sending += 1;
        flight.state = State::Sent(self.sending);
        let command = order::Command {
            order: SmolStr::new(format!("{}-{}-{}", self.group, self.epoch, self.sending)),
            kind: flight.kind,
            item: flight.placement.item.clone(),
            memory_mb: flight.memory_mb,
            fencing: (self.epoch << 32) | u64::from(self.sending),
        };
        out.push(Action::SendOrder {
            sending: self.sending,
            server: flight.placement.server.clone(),
            command,
        });
    }

    /// What came of a sending.
    pub fn answered(
        &mut self,
        view: &View<'_>,
        sending: u32,
        answer: &order::Answer,
        out: &mut Vec<Action>,
    ) {
        let mut flights = self.flights.iter();
        let found = flights.find(|(_, flight)| flight.state == State::Sent(sending));
        let Some((&key, _)) = found else { return };
        match answer {
            order::Answer::Done(loaded) => self.close(view, key, Some(loaded), out),
            order::Answer::Failed(_) => self.close(view, key, None, out),
            order::Answer::Lost => self.retry(view.now, key, true),
            order::Answer::Stale | order::Answer::Unsent => self.retry(view.now, key, false),
        }
    }

    /// Sends an order again later. After a lost answer the first copy may still be on its way.
    fn retry(&mut self, now: clock::Instant, key: Key, lost: bool) {
        let Some(flight) = self.flights.get_mut(&key) else {
            return;
        };
        flight.state = State::Due(now.after(RETRY));
        let changes = flight.kind != order::Kind::Query;
        if lost && changes {
            flight.lost = true;
            self.lost.insert(key.number);
        }
    }

    /// Appends the outcome of an intent. A refused order that isn't a query leaves a load without effect and
    /// an unload to be tried again.
    fn close(
        &mut self,
        view: &View<'_>,
        key: Key,
        answer: Option<&order::Loaded>,
        out: &mut Vec<Action>,
    ) {
        let Some(flight) = self.flights.get_mut(&key) else {
            return;
        };
        if answer.is_none() && flight.kind != order::Kind::Load {
            return self.retry(view.now, key, false);
        }
        let item = flight.placement.item.clone();
        let loaded = answer.is_some_and(|answer| answer.loaded.contains(&item));
        let server = flight.placement.server.clone();
        let stray = flight.lost && !view.fenced(&self.group);
        flight.state = State::Closing;
        out.push(Action::Append(record::Entry::Close {
            order: record::Order {
                group: self.group.clone(),
                epoch: key.epoch,
                number: key.number,
                server: server.clone(),
                item: item.clone(),
            },
            epoch: self.epoch,
            loaded,
            stray,
        }));
        if loaded {
            self.tell_ready(&server, &item, out);
            self.demand.served(&item);
        } else if answer.is_none() {
            self.resting.insert(item, view.now.after(REST));
        }
    }

    /// Tells those who wait at once; the others learn it from the log.
    fn tell_ready(&self, server: &SmolStr, item: &item::Item, out: &mut Vec<Action>) {
        for to in self.demand.waiting(item) {
            let frame = wire::Frame::Ready {
                server: server.clone(),
                item: item.clone(),
            };
            out.push(Action::SendFrame { to, frame });
        }
    }
}
