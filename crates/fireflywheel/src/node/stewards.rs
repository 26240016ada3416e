//! Taking groups, driving their stewards, and carrying their orders.

use std::{collections::BTreeMap, time::Duration};

use smol_str::SmolStr;

use super::Node;
use crate::{clock, document, effect, ledger, order, record, rendezvous, steward, wire};

/// Between two looks at all that a steward might do. It walks over the group's rights, so once a tick would
/// cost a good part of a core.
const DRIVE_EVERY: Duration = Duration::from_millis(100);

/// Until a group is claimed again after a claim whose fate isn't known.
const CLAIM_PAUSE: Duration = Duration::from_secs(1);

/// How long a group's holder may be unknown to the membership until another takes over. At the start of an
/// instance the holder is unknown only because it was not heard of yet.
const UNKNOWN_LIMIT: Duration = Duration::from_secs(5);

/// The stewards of this instance, and what is left of earlier ones.
#[derive(Debug, Default)]
pub(super) struct Stewards {
    held: BTreeMap<SmolStr, steward::Steward>,
    retired: Vec<steward::Retired>,
    order_attempts: BTreeMap<order::AttemptId, Sent>,
    next_attempt_id: u64,
    claimed: BTreeMap<SmolStr, clock::Instant>,
    unknown: BTreeMap<SmolStr, clock::Instant>,
    driven: clock::Instant,
}

/// Whose order an attempt id stands for.
#[derive(Clone, Debug)]
struct Sent {
    group: SmolStr,
    epoch: u64,
    sending: u32,
}

impl Stewards {
    pub fn judged(
        &mut self,
        now: clock::Instant,
        group: &SmolStr,
        mine: bool,
        entry: &record::Entry,
    ) {
        if !mine {
            return;
        }
        if let Some(steward) = self.held.get_mut(group) {
            steward.handle_decision(now, entry);
        }
    }

    pub fn used(
        &mut self,
        now: clock::Instant,
        group: &SmolStr,
        from: &SmolStr,
        items: &[wire::Usage],
    ) {
        if let Some(steward) = self.held.get_mut(group) {
            steward.handle_usage(now, from, items);
        }
    }

    pub fn holds_any(&self) -> bool {
        !self.held.is_empty()
    }

    pub fn retire_all(&mut self) {
        for steward in self.held.values_mut() {
            steward.retire();
        }
    }
}

impl Node {
    /// Drives the stewards at [`DRIVE_EVERY`]; what they wait for drives them at once.
    pub(super) fn tick_stewards(&mut self, now: clock::Instant, out: &mut Vec<effect::Effect>) {
        if now.since(self.stewards.driven) >= DRIVE_EVERY {
            self.drive_stewards(now, out);
        }
    }

    pub(super) fn drive_stewards(&mut self, now: clock::Instant, out: &mut Vec<effect::Effect>) {
        self.stewards.driven = now;
        self.drop_lost_groups(out);
        if self.stop.is_none() {
            self.claim_groups(now, out);
        }
        let groups: Vec<SmolStr> = self.stewards.held.keys().cloned().collect();
        for group in groups {
            self.drive(now, &group, out);
        }
        self.pump_log(now, out);
    }

    /// Claims each group of engines that nobody serves, if this instance is the first in line.
    fn claim_groups(&mut self, now: clock::Instant, out: &mut Vec<effect::Effect>) {
        let Some(ledger) = &self.log.ledger else {
            return;
        };
        if !self.log.is_usable(now) || !self.log.caught_up || self.membership.is_isolated(now) {
            return;
        }
        let document = ledger.document().clone();
        let engines = document.groups.iter();
        let engines = engines.filter(|(_, group)| group.kind == document::Kind::Engine);
        for (group, _) in engines {
            let Some(epoch) = self.epoch_to_claim(now, group) else {
                continue;
            };
            let asked = self.stewards.claimed.get(group);
            if asked.is_some_and(|asked| now.since(*asked) < CLAIM_PAUSE) {
                continue;
            }
            self.stewards.claimed.insert(group.clone(), now);
            let group = group.clone();
            self.push(record::Entry::Steward { group, epoch }, out);
        }
    }

    /// The epoch to claim, when the group is nobody's and this instance comes first.
    fn epoch_to_claim(&mut self, now: clock::Instant, group: &SmolStr) -> Option<u64> {
        let alive = self.membership.alive().map(SmolStr::as_str);
        let able = alive.filter(|name| !self.is_blind(now, name));
        let first = rendezvous::first(group, able)?;
        if first != self.options.me.instance.as_str() {
            return None;
        }
        let ledger = self.log.ledger.as_ref()?;
        let Some(holder) = ledger.steward(group) else {
            return Some(1);
        };
        let epoch = holder.epoch + 1;
        if holder.by == self.options.me {
            return None;
        }
        let free = self.is_over(&holder.by)
            || self.is_leaving(&holder.by.instance)
            || self.is_blind(now, &holder.by.instance);
        if free {
            return Some(epoch);
        }
        if self.membership.state(&holder.by.instance).is_some() {
            self.stewards.unknown.remove(group);
            return None;
        }
        let since = *self.stewards.unknown.entry(group.clone()).or_insert(now);
        (now.since(since) >= UNKNOWN_LIMIT).then_some(epoch)
    }

    /// A claim of a group was judged, here or elsewhere: the newest epoch's holder serves it, none other.
    pub(super) fn steward_judged(
        &mut self,
        now: clock::Instant,
        group: &SmolStr,
        mine: bool,
        judgement: &ledger::Decision,
        out: &mut Vec<effect::Effect>,
    ) {
        if mine {
            self.stewards.claimed.remove(group);
        }
        if *judgement != ledger::Decision::Accepted {
            return;
        }
        self.drop_lost_groups(out);
        self.tell_usage_anew(group);
        let Some(ledger) = &self.log.ledger else {
            return;
        };
        let Some(holder) = ledger.steward(group) else {
            return;
        };
        if holder.by == self.options.me {
            let steward = steward::Steward::new(now, group.clone(), holder.epoch);
            self.stewards.held.insert(group.clone(), steward);
        }
    }

    /// Ends each epoch of this instance that the ledger says is over, and says so, which ends its pins.
    fn drop_lost_groups(&mut self, out: &mut Vec<effect::Effect>) {
        let Some(ledger) = &self.log.ledger else {
            return;
        };
        let me = &self.options.me;
        let lost: Vec<SmolStr> = self
            .stewards
            .held
            .values()
            .filter(|steward| {
                let holder = ledger.steward(steward.group());
                holder.is_none_or(|holder| holder.by != *me || holder.epoch != steward.epoch())
            })
            .map(|steward| steward.group().clone())
            .collect();
        for group in lost {
            let Some(steward) = self.stewards.held.remove(&group) else {
                continue;
            };
            let retired = steward.into_retired();
            let acknowledgement = retired.acknowledgement();
            if !retired.is_over() {
                self.stewards.retired.push(retired);
            }
            self.push(acknowledgement, out);
        }
    }

    fn drive(&mut self, now: clock::Instant, group: &SmolStr, out: &mut Vec<effect::Effect>) {
        self.with_steward(now, group, out, |steward, view, actions| {
            steward.step(view, actions);
        });
    }

    /// Lets the group's steward here, if there is one, act on what it sees, and does what it wants done.
    fn with_steward<F>(
        &mut self,
        now: clock::Instant,
        group: &SmolStr,
        out: &mut Vec<effect::Effect>,
        act: F,
    ) where
        F: FnOnce(&mut steward::Steward, &steward::View<'_>, &mut Vec<steward::Action>),
    {
        let Some(ledger) = &self.log.ledger else {
            return;
        };
        let Some(steward) = self.stewards.held.get_mut(group) else {
            return;
        };
        let servers = self.groups.entry(group.clone()).or_default();
        let view = steward::View {
            now,
            ledger,
            servers: &servers.servers,
            log_readable: self.log.is_usable(now),
            gone_after: self.options.timing.gone_after,
        };
        let mut actions = Vec::new();
        act(steward, &view, &mut actions);
        self.act_for(now, group, actions, out);
    }

    fn act_for(
        &mut self,
        now: clock::Instant,
        group: &SmolStr,
        actions: Vec<steward::Action>,
        out: &mut Vec<effect::Effect>,
    ) {
        for action in actions {
            match action {
                steward::Action::Append(entry) => {
                    self.push(entry, out);
                }
                steward::Action::SendOrder {
                    sending,
                    server,
                    command,
                } => self.send_order(group, sending, server, command, out),
                steward::Action::SendFrame { to, frame } => self.tell(now, to, frame, out),
            }
        }
    }

    fn send_order(
        &mut self,
        group: &SmolStr,
        sending: u32,
        server: SmolStr,
        command: order::Command,
        out: &mut Vec<effect::Effect>,
    ) {
        let epoch = self
            .stewards
            .held
            .get(group)
            .map_or(0, steward::Steward::epoch);
        self.stewards.next_attempt_id += 1;
        let attempt_id = order::AttemptId(self.stewards.next_attempt_id);
        let sent = Sent {
            group: group.clone(),
            epoch,
            sending,
        };
        self.stewards.order_attempts.insert(attempt_id, sent);
        out.push(effect::Effect::Order {
            attempt_id,
            server,
            command,
        });
    }

    /// Tells an instance something, or takes it in here when it is this one.
    pub(super) fn tell(
        &mut self,
        now: clock::Instant,
        to: SmolStr,
        frame: wire::Frame,
        out: &mut Vec<effect::Effect>,
    ) {
        if to != self.options.me.instance {
            out.push(effect::Effect::Send { to, frame });
            return;
        }
        let me = self.options.me.clone();
        self.frame(now, &me, frame, out);
    }

    /// What came of a sending, of this epoch or of one that is over.
    pub(super) fn ordered(
        &mut self,
        now: clock::Instant,
        attempt_id: order::AttemptId,
        answer: &order::Answer,
        out: &mut Vec<effect::Effect>,
    ) {
        let Some(sent) = self.stewards.order_attempts.remove(&attempt_id) else {
            return;
        };
        let held = self.stewards.held.get(&sent.group);
        if held.is_none_or(|steward| steward.epoch() != sent.epoch) {
            return self.ordered_late(&sent, answer, out);
        }
        self.with_steward(now, &sent.group, out, |steward, view, actions| {
            steward.answered(view, sent.sending, answer, actions);
        });
        self.pump_log(now, out);
    }

    fn ordered_late(&mut self, sent: &Sent, answer: &order::Answer, out: &mut Vec<effect::Effect>) {
        let mut retired = self.stewards.retired.iter_mut();
        let epoch =
            retired.find(|retired| retired.group == sent.group && retired.epoch == sent.epoch);
        let Some(epoch) = epoch else { return };
        if epoch.answered(sent.sending, answer) {
            let acknowledgement = epoch.acknowledgement();
            self.push(acknowledgement, out);
        }
        self.stewards.retired.retain(|retired| !retired.is_over());
    }

    /// Callers wait somewhere; taken in if this instance serves the group.
    pub(super) fn wanted(
        &mut self,
        now: clock::Instant,
        from: &SmolStr,
        want: &wire::Want,
        out: &mut Vec<effect::Effect>,
    ) {
        if let Some(steward) = self.stewards.held.get_mut(&want.group) {
            steward.handle_want(now, from, want);
            self.drive(now, &want.group, out);
            self.pump_log(now, out);
        }
    }

    /// Whether nothing that this instance opened as a steward is left open.
    pub(super) fn stewards_settled(&self) -> bool {
        let Some(ledger) = &self.log.ledger else {
            return true;
        };
        self.stewards
            .held
            .values()
            .all(|steward| steward.is_settled(ledger))
    }
}
