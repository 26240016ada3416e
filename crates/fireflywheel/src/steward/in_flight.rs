//! Orders in flight, one for each open intent of the group.

use std::{collections::BTreeSet, time::Duration};

use smol_str::SmolStr;

use super::{Action, Steward, View};
use crate::{clock, item, order, record, right, wire};

/// The delay before an order is sent again after a lost answer or a refusal.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// How long an item is not loaded again after an engine answered that it could not load it.
const LOAD_BACKOFF: Duration = Duration::from_millis(500);

/// The epoch and number of an intent.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct IntentId {
    epoch: u64,
    number: u64,
}

/// The order of an open intent.
#[derive(Clone, Debug)]
pub(super) struct Order {
    placement: right::Key,
    memory_mb: u64,
    kind: order::Kind,
    state: State,
    /// Whether an answer to the order was lost, so that a copy of the order may still arrive.
    answer_lost: bool,
}

/// The state of an order in flight.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    /// The order is to be sent at this time.
    Due(clock::Instant),
    /// The order was sent with this attempt number and has no answer yet.
    Sent(u32),
    /// The order was answered, and its outcome has not been read back yet.
    Closing,
}

/// The remains of a steward whose epoch has ended: the orders that may still arrive.
#[derive(Debug)]
pub struct Retired {
    /// The group that the steward served.
    pub group: SmolStr,
    /// The epoch that has ended.
    pub epoch: u64,
    /// Attempt number and order number of each order that has no answer yet.
    awaiting_answer: Vec<(u32, u64)>,
    /// Numbers of the orders for which an answer was lost.
    unanswered: BTreeSet<u64>,
}

impl Retired {
    /// Handles a late answer to an order, and returns whether it resolves a doubt about that order.
    pub fn handle_answer(&mut self, attempt: u32, answer: &order::Answer) -> bool {
        let Some(index) = self
            .awaiting_answer
            .iter()
            .position(|(sent, _)| *sent == attempt)
        else {
            return false;
        };
        let (_, number) = self.awaiting_answer.swap_remove(index);
        if *answer == order::Answer::Lost {
            self.unanswered.insert(number);
            return false;
        }
        true
    }

    /// Whether no order awaits an answer any more.
    #[must_use]
    pub fn is_answered(&self) -> bool {
        self.awaiting_answer.is_empty()
    }

    /// The entry which states that the epoch has ended and which of its orders may still arrive.
    #[must_use]
    pub fn acknowledgement(&self) -> record::Entry {
        let awaiting = self.awaiting_answer.iter().map(|(_, number)| *number);
        let stray = awaiting.chain(self.unanswered.iter().copied());
        let stray: BTreeSet<u64> = stray.collect();
        record::Entry::Acknowledge {
            group: self.group.clone(),
            epoch: self.epoch,
            stray: stray.into_iter().collect(),
        }
    }
}

impl Steward {
    /// Ends the epoch at this instance. No order is sent under it from now on.
    #[must_use]
    pub fn into_retired(self) -> Retired {
        let sent = self.in_flight.iter().filter_map(|(id, order)| {
            let State::Sent(attempt) = order.state else {
                return None;
            };
            Some((attempt, id.number))
        });
        Retired {
            awaiting_answer: sent.collect(),
            group: self.group,
            epoch: self.epoch,
            unanswered: self.unanswered,
        }
    }

    /// Brings the orders in flight in line with the open intents in the ledger, and sends the orders that are due.
    pub(super) fn send_due_orders(&mut self, view: &View<'_>, out: &mut Vec<Action>) {
        let open = self.open_intents(view);
        self.in_flight.retain(|id, _| open.contains_key(id));
        for (id, order) in open {
            self.in_flight.entry(id).or_insert(order);
        }
        let due: Vec<IntentId> = self.due(view.now);
        for id in due {
            self.send(id, out);
        }
    }

    fn open_intents(&self, view: &View<'_>) -> std::collections::BTreeMap<IntentId, Order> {
        let group = self.group.clone();
        let rights = view.rights(&group);
        let open = rights.filter_map(|(placement, right)| {
            let (kind, epoch, number) = match right.state {
                right::State::Loading { epoch, number } => (order::Kind::Load, epoch, number),
                right::State::Unloading { epoch, number } => (order::Kind::Unload, epoch, number),
                right::State::Loaded | right::State::Empty => return None,
            };
            let is_inherited = epoch != self.epoch;
            let order = Order {
                placement: placement.clone(),
                memory_mb: right.memory_mb,
                kind: if is_inherited {
                    order::Kind::Query
                } else {
                    kind
                },
                state: State::Due(view.now),
                answer_lost: false,
            };
            Some((IntentId { epoch, number }, order))
        });
        open.collect()
    }

    /// Whether an order to the server awaits its answer.
    pub(super) fn awaits_answer(&self, server: &SmolStr) -> bool {
        let mut orders = self.in_flight.values();
        orders
            .any(|order| order.placement.server == *server && matches!(order.state, State::Sent(_)))
    }

    /// The intents whose orders are to be sent now. A server whose replicas were released gets no order until the
    /// release has been read back.
    fn due(&self, now: clock::Instant) -> Vec<IntentId> {
        let orders = self.in_flight.iter();
        let due = orders.filter(|(_, order)| match order.state {
            State::Due(at) => {
                at <= now && !self.released_servers.contains_key(&order.placement.server)
            }
            State::Sent(_) | State::Closing => false,
        });
        due.map(|(id, _)| *id).collect()
    }

    fn send(&mut self, id: IntentId, out: &mut Vec<Action>) {
        let Some(order) = self.in_flight.get_mut(&id) else {
            return;
        };
        self.attempt += 1;
        order.state = State::Sent(self.attempt);
        let command = order::Command {
            order: SmolStr::new(format!("{}-{}-{}", self.group, self.epoch, self.attempt)),
            kind: order.kind,
            item: order.placement.item.clone(),
            memory_mb: order.memory_mb,
            fencing: (self.epoch << 32) | u64::from(self.attempt),
        };
        out.push(Action::SendOrder {
            attempt: self.attempt,
            server: order.placement.server.clone(),
            command,
        });
    }

    /// Handles the answer to an attempt to send an order.
    pub fn handle_answer(
        &mut self,
        view: &View<'_>,
        attempt: u32,
        answer: &order::Answer,
        out: &mut Vec<Action>,
    ) {
        let mut orders = self.in_flight.iter();
        let found = orders.find(|(_, order)| order.state == State::Sent(attempt));
        let Some((&id, _)) = found else { return };
        match answer {
            order::Answer::Done(loaded) => self.close(view, id, Some(loaded), out),
            order::Answer::Failed(_) => self.close(view, id, None, out),
            order::Answer::Lost => self.retry(view.now, id, true),
            order::Answer::Stale | order::Answer::Unsent => self.retry(view.now, id, false),
        }
    }

    /// Schedules an order to be sent again. After a lost answer, the first copy may still be on its way.
    fn retry(&mut self, now: clock::Instant, id: IntentId, answer_lost: bool) {
        let Some(order) = self.in_flight.get_mut(&id) else {
            return;
        };
        order.state = State::Due(now.after(RETRY_DELAY));
        let has_effect = order.kind != order::Kind::Query;
        if answer_lost && has_effect {
            order.answer_lost = true;
            self.unanswered.insert(id.number);
        }
    }

    /// Appends the outcome of an intent. A load that failed is closed as not loaded; an unload or a query that
    /// failed is sent again.
    fn close(
        &mut self,
        view: &View<'_>,
        id: IntentId,
        answer: Option<&order::Loaded>,
        out: &mut Vec<Action>,
    ) {
        let Some(order) = self.in_flight.get_mut(&id) else {
            return;
        };
        if answer.is_none() && order.kind != order::Kind::Load {
            return self.retry(view.now, id, false);
        }
        let item = order.placement.item.clone();
        let loaded = answer.is_some_and(|answer| answer.loaded.contains(&item));
        let server = order.placement.server.clone();
        let stray = order.answer_lost && !view.fenced(&self.group);
        order.state = State::Closing;
        out.push(Action::Append(record::Entry::Close {
            order: record::Order {
                group: self.group.clone(),
                epoch: id.epoch,
                number: id.number,
                server: server.clone(),
                item: item.clone(),
            },
            epoch: self.epoch,
            loaded,
            stray,
        }));
        if loaded {
            self.notify_ready(&server, &item, out);
            self.demand.remove_wants(&item);
        } else if answer.is_none() {
            self.load_backoff.insert(item, view.now.after(LOAD_BACKOFF));
        }
    }

    /// Notifies the instances with waiting callers at once; the others learn of the replica from the log.
    fn notify_ready(&self, server: &SmolStr, item: &item::Item, out: &mut Vec<Action>) {
        for to in self.demand.waiting_instances(item) {
            let frame = wire::Frame::Ready {
                server: server.clone(),
                item: item.clone(),
            };
            out.push(Action::SendFrame { to, frame });
        }
    }
}
