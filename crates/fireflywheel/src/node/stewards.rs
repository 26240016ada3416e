//! Claims groups, runs their stewards and sends their orders.

use std::{collections::BTreeMap, time::Duration};

use smol_str::SmolStr;

use super::Node;
use crate::{clock, document, effect, ledger, order, record, rendezvous, steward, wire};

/// Interval between two steps of a steward. A step iterates over the rights of the group, so running it on
/// every tick would take a considerable part of a CPU core.
const STEP_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which a group is claimed again if the outcome of the previous claim isn't known.
const CLAIM_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which the steward of a group may be unknown to the membership until another instance takes the
/// group over. After the start of an instance, the steward may be unknown only because no update about it
/// has arrived yet.
const UNKNOWN_STEWARD_TIMEOUT: Duration = Duration::from_secs(5);

/// The stewards of this instance, and the unanswered orders of its former stewards.
#[derive(Debug, Default)]
pub(super) struct Stewards {
    active: BTreeMap<SmolStr, steward::Steward>,
    retired: Vec<steward::Retired>,
    order_attempts: BTreeMap<order::AttemptId, SentOrder>,
    next_attempt_id: u64,
    claimed_at: BTreeMap<SmolStr, clock::Instant>,
    holder_unknown_since: BTreeMap<SmolStr, clock::Instant>,
    last_step: clock::Instant,
}

/// The order that an attempt id identifies.
#[derive(Clone, Debug)]
struct SentOrder {
    group: SmolStr,
    epoch: u64,
    attempt: u32,
}

impl Stewards {
    pub fn handle_decision(
        &mut self,
        now: clock::Instant,
        group: &SmolStr,
        is_own: bool,
        entry: &record::Entry,
    ) {
        if !is_own {
            return;
        }
        if let Some(steward) = self.active.get_mut(group) {
            steward.handle_decision(now, entry);
        }
    }

    pub fn handle_usage(
        &mut self,
        now: clock::Instant,
        group: &SmolStr,
        from: &SmolStr,
        items: &[wire::Usage],
    ) {
        if let Some(steward) = self.active.get_mut(group) {
            steward.handle_usage(now, from, items);
        }
    }

    pub fn holds_any(&self) -> bool {
        !self.active.is_empty()
    }

    pub fn retire_all(&mut self) {
        for steward in self.active.values_mut() {
            steward.retire();
        }
    }
}

impl Node {
    /// Steps the stewards every [`STEP_INTERVAL`]. Events that they wait for step them immediately.
    pub(super) fn tick_stewards(&mut self, now: clock::Instant, out: &mut Vec<effect::Effect>) {
        if now.since(self.stewards.last_step) >= STEP_INTERVAL {
            self.step_stewards(now, out);
        }
    }

    pub(super) fn step_stewards(&mut self, now: clock::Instant, out: &mut Vec<effect::Effect>) {
        self.stewards.last_step = now;
        self.retire_lost_stewards(out);
        if self.stop.is_none() {
            self.claim_groups(now, out);
        }
        let groups: Vec<SmolStr> = self.stewards.active.keys().cloned().collect();
        for group in groups {
            self.step_steward(now, &group, out);
        }
        self.append_next_batch(now, out);
    }

    /// Claims each group of engines without a steward if rendezvous hashing selects this instance for it.
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
            let claimed_at = self.stewards.claimed_at.get(group);
            if claimed_at.is_some_and(|claimed_at| now.since(*claimed_at) < CLAIM_RETRY_INTERVAL) {
                continue;
            }
            self.stewards.claimed_at.insert(group.clone(), now);
            let group = group.clone();
            self.append_entry(record::Entry::Steward { group, epoch }, out);
        }
    }

    /// Returns the epoch to claim if the group has no steward and this instance is selected for it.
    fn epoch_to_claim(&mut self, now: clock::Instant, group: &SmolStr) -> Option<u64> {
        let alive = self.membership.alive().map(SmolStr::as_str);
        let candidates = alive.filter(|name| !self.has_lost_log(now, name));
        let first = rendezvous::select(group, candidates)?;
        if first != self.options.incarnation.instance.as_str() {
            return None;
        }
        let ledger = self.log.ledger.as_ref()?;
        let Some(holder) = ledger.steward(group) else {
            return Some(1);
        };
        let epoch = holder.epoch + 1;
        if holder.by == self.options.incarnation {
            return None;
        }
        let is_free = self.has_ended(&holder.by)
            || self.is_leaving(&holder.by.instance)
            || self.has_lost_log(now, &holder.by.instance);
        if is_free {
            return Some(epoch);
        }
        if self.membership.state(&holder.by.instance).is_some() {
            self.stewards.holder_unknown_since.remove(group);
            return None;
        }
        let since = *self
            .stewards
            .holder_unknown_since
            .entry(group.clone())
            .or_insert(now);
        (now.since(since) >= UNKNOWN_STEWARD_TIMEOUT).then_some(epoch)
    }

    /// Handles the decision on a claim of a group by this or another instance. Only the holder of the
    /// newest epoch serves the group.
    pub(super) fn handle_steward_decision(
        &mut self,
        now: clock::Instant,
        group: &SmolStr,
        is_own: bool,
        decision: &ledger::Decision,
        out: &mut Vec<effect::Effect>,
    ) {
        if is_own {
            self.stewards.claimed_at.remove(group);
        }
        if *decision != ledger::Decision::Accepted {
            return;
        }
        self.retire_lost_stewards(out);
        self.schedule_full_usage_report(group);
        let Some(ledger) = &self.log.ledger else {
            return;
        };
        let Some(holder) = ledger.steward(group) else {
            return;
        };
        if holder.by == self.options.incarnation {
            let steward = steward::Steward::new(now, group.clone(), holder.epoch);
            self.stewards.active.insert(group.clone(), steward);
        }
    }

    /// Retires the stewards of this instance whose epoch has ended according to the ledger. Their
    /// acknowledgements end the pins of their orders.
    fn retire_lost_stewards(&mut self, out: &mut Vec<effect::Effect>) {
        let Some(ledger) = &self.log.ledger else {
            return;
        };
        let me = &self.options.incarnation;
        let lost: Vec<SmolStr> = self
            .stewards
            .active
            .values()
            .filter(|steward| {
                let holder = ledger.steward(steward.group());
                holder.is_none_or(|holder| holder.by != *me || holder.epoch != steward.epoch())
            })
            .map(|steward| steward.group().clone())
            .collect();
        for group in lost {
            let Some(steward) = self.stewards.active.remove(&group) else {
                continue;
            };
            let retired = steward.into_retired();
            let acknowledgement = retired.acknowledgement();
            if !retired.is_answered() {
                self.stewards.retired.push(retired);
            }
            self.append_entry(acknowledgement, out);
        }
    }

    fn step_steward(
        &mut self,
        now: clock::Instant,
        group: &SmolStr,
        out: &mut Vec<effect::Effect>,
    ) {
        self.with_steward(now, group, out, |steward, view, actions| {
            steward.step(view, actions);
        });
    }

    /// Calls `act` with this instance's steward of a group, if there is one, and executes the resulting
    /// actions.
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
        let Some(steward) = self.stewards.active.get_mut(group) else {
            return;
        };
        let servers = self.groups.entry(group.clone()).or_default();
        let view = steward::View {
            now,
            ledger,
            servers: &servers.servers,
            log_readable: self.log.is_usable(now),
            absence_timeout: self.options.timing.absence_timeout,
        };
        let mut actions = Vec::new();
        act(steward, &view, &mut actions);
        self.execute_actions(now, group, actions, out);
    }

    fn execute_actions(
        &mut self,
        now: clock::Instant,
        group: &SmolStr,
        actions: Vec<steward::Action>,
        out: &mut Vec<effect::Effect>,
    ) {
        for action in actions {
            match action {
                steward::Action::Append(entry) => {
                    self.append_entry(entry, out);
                }
                steward::Action::SendOrder {
                    attempt,
                    server,
                    command,
                } => self.send_order(group, attempt, server, command, out),
                steward::Action::SendFrame { to, frame } => self.send_frame(now, to, frame, out),
            }
        }
    }

    fn send_order(
        &mut self,
        group: &SmolStr,
        attempt: u32,
        server: SmolStr,
        command: order::Command,
        out: &mut Vec<effect::Effect>,
    ) {
        let epoch = self
            .stewards
            .active
            .get(group)
            .map_or(0, steward::Steward::epoch);
        self.stewards.next_attempt_id += 1;
        let attempt_id = order::AttemptId(self.stewards.next_attempt_id);
        let sent = SentOrder {
            group: group.clone(),
            epoch,
            attempt,
        };
        self.stewards.order_attempts.insert(attempt_id, sent);
        out.push(effect::Effect::Order {
            attempt_id,
            server,
            command,
        });
    }

    /// Sends a frame to an instance. A frame to this instance itself is handled directly.
    pub(super) fn send_frame(
        &mut self,
        now: clock::Instant,
        to: SmolStr,
        frame: wire::Frame,
        out: &mut Vec<effect::Effect>,
    ) {
        if to != self.options.incarnation.instance {
            out.push(effect::Effect::Send { to, frame });
            return;
        }
        let me = self.options.incarnation.clone();
        self.handle_frame(now, &me, frame, out);
    }

    /// Handles the answer to an order of the current or an earlier epoch.
    pub(super) fn handle_order_answer(
        &mut self,
        now: clock::Instant,
        attempt_id: order::AttemptId,
        answer: &order::Answer,
        out: &mut Vec<effect::Effect>,
    ) {
        let Some(sent) = self.stewards.order_attempts.remove(&attempt_id) else {
            return;
        };
        let held = self.stewards.active.get(&sent.group);
        if held.is_none_or(|steward| steward.epoch() != sent.epoch) {
            return self.handle_late_order_answer(&sent, answer, out);
        }
        self.with_steward(now, &sent.group, out, |steward, view, actions| {
            steward.handle_answer(view, sent.attempt, answer, actions);
        });
        self.append_next_batch(now, out);
    }

    fn handle_late_order_answer(
        &mut self,
        sent: &SentOrder,
        answer: &order::Answer,
        out: &mut Vec<effect::Effect>,
    ) {
        let mut retired = self.stewards.retired.iter_mut();
        let epoch =
            retired.find(|retired| retired.group == sent.group && retired.epoch == sent.epoch);
        let Some(epoch) = epoch else { return };
        if epoch.handle_answer(sent.attempt, answer) {
            let acknowledgement = epoch.acknowledgement();
            self.append_entry(acknowledgement, out);
        }
        self.stewards
            .retired
            .retain(|retired| !retired.is_answered());
    }

    /// Handles an instance's request for replicas if this instance is the steward of the group.
    pub(super) fn handle_want(
        &mut self,
        now: clock::Instant,
        from: &SmolStr,
        want: &wire::Want,
        out: &mut Vec<effect::Effect>,
    ) {
        if let Some(steward) = self.stewards.active.get_mut(&want.group) {
            steward.handle_want(now, from, want);
            self.step_steward(now, &want.group, out);
            self.append_next_batch(now, out);
        }
    }

    /// Returns whether all intents that this instance opened as a steward are closed.
    pub(super) fn are_stewards_settled(&self) -> bool {
        let Some(ledger) = &self.log.ledger else {
            return true;
        };
        self.stewards
            .active
            .values()
            .all(|steward| steward.is_settled(ledger))
    }
}
