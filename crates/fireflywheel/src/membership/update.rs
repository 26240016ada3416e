//! Handling of updates about members.

use super::{Membership, table};
use crate::{clock, member};

/// Maximum number of unknown members in one list that are gossiped further. A longer list is a full
/// synchronisation, and its members are no news to others.
const MAX_RELAYED_MEMBERS: usize = 12;
/// Factor on the dead timeout for a member that is reported dead while it appears alive here.
const DISPUTED_DEATH_TIMEOUT_FACTOR: u32 = 3;

impl Membership {
    /// Handles an update received by gossip.
    pub fn handle_update(&mut self, now: clock::Instant, update: &member::Update) {
        if update.by.instance == self.name {
            self.handle_own_update(update);
            return;
        }
        let Some(known) = self.table.find_update(&update.by.instance) else {
            self.add_member(now, update, true);
            return;
        };
        if !table::supersedes(update, known) {
            return;
        }
        let same_incarnation = known.by.number == update.by.number;
        let appears_alive = same_incarnation && known.state == member::State::Alive;
        if appears_alive && update.state == member::State::Dead {
            self.dispute_death(now, update);
        } else {
            self.apply_update(now, update.clone());
        }
    }

    /// Handles a [`crate::wire::Frame::Members`].
    pub fn handle_members(&mut self, now: clock::Instant, updates: &[member::Update]) {
        let unknown = |update: &&member::Update| self.table.find(&update.by.instance).is_none();
        let relay = updates.iter().filter(unknown).count() <= MAX_RELAYED_MEMBERS;
        let mut learned = false;
        for update in updates {
            let known = self.table.find_update(&update.by.instance);
            learned |= known.is_none_or(|known| table::supersedes(update, known));
            match known {
                Some(_) => self.handle_update(now, update),
                None => self.add_member(now, update, relay),
            }
        }
        // A list with new information suggests that there is more, so the next comparison comes soon.
        if learned {
            self.next_sync = now.after(self.options.ping_interval);
        }
    }

    /// Announces a new state of this instance, with a refutation number above all earlier ones.
    pub(super) fn announce(&mut self, mut update: member::Update) {
        update.refutation = update.refutation.saturating_add(1);
        self.table.put(update, false);
        self.gossip_queue.push(self.me);
    }

    fn handle_own_update(&mut self, update: &member::Update) {
        let own = self.my_update();
        if update.by.number > own.by.number {
            self.superseded = true;
            return;
        }
        if table::supersedes(update, own) {
            let mut refuting = own.clone();
            refuting.refutation = update.refutation;
            self.announce(refuting);
        }
    }

    /// Adds a member that was unknown, and gossips it further if `relay` is set.
    fn add_member(&mut self, now: clock::Instant, update: &member::Update, relay: bool) {
        // Dead members would never be removed if instances kept telling each other about them.
        if update.state == member::State::Dead {
            return;
        }
        self.apply_update(now, update.clone());
        let key = self.table.find(&update.by.instance);
        if let Some(key) = key.filter(|_| !relay) {
            self.gossip_queue.remove(key);
        }
    }

    /// Handles a report that a member is dead although it appears alive here. After a partition each side
    /// reports this of the whole other side. Such reports need no spreading, since each member learns of
    /// its own from the instance that it reaches on the other side. The member therefore gets more time
    /// than usual to refute the report, and the report is not gossiped further.
    fn dispute_death(&mut self, now: clock::Instant, report: &member::Update) {
        let mut update = report.clone();
        update.state = member::State::Suspect;
        let key = self.table.put(update, true);
        let timeout = self
            .options
            .dead_timeout
            .saturating_mul(DISPUTED_DEATH_TIMEOUT_FACTOR);
        self.table.set_suspected(key, now);
        self.table.set_timer(key, Some(now.after(timeout)));
    }

    /// Applies a member's new state and gossips it.
    pub(super) fn apply_update(&mut self, now: clock::Instant, update: member::Update) {
        let state = update.state;
        if matches!(state, member::State::Suspect | member::State::Dead) {
            self.suspects.insert(update.by.instance.clone());
        }
        let key = self.table.put(update, true);
        let timer = match state {
            member::State::Alive | member::State::Leaving => None,
            member::State::Suspect => Some(now.after(self.options.dead_timeout)),
            member::State::Dead => Some(now.after(self.options.dead_retention)),
        };
        if state == member::State::Suspect {
            self.table.set_suspected(key, now);
        }
        self.table.set_timer(key, timer);
        self.gossip_queue.push(key);
        self.watches_outdated = true;
    }

    /// Handles the end of a suspicion or of the retention of a dead member.
    pub(super) fn handle_timeout(&mut self, now: clock::Instant, key: member::Key) {
        let Some(member) = self.table.get(key) else {
            return;
        };
        let mut update = member.update.clone();
        if update.state == member::State::Dead {
            self.gossip_queue.remove(key);
            self.table.remove(key);
            return;
        }
        if update.state != member::State::Suspect {
            return;
        }
        let suspected = member.suspected;
        let watch = self.watches.get(&update.by.instance);
        if watch.is_some_and(|watch| watch.timeout_factor == 1 && watch.last_contact > suspected) {
            // The member answers this instance, so it is alive. The suspicion is gossiped once more so that
            // the member can refute it.
            self.apply_update(now, update);
            return;
        }
        update.state = member::State::Dead;
        self.apply_update(now, update);
    }
}
