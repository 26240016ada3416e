//! What is said of members, and what is believed of it.

use super::{Membership, table};
use crate::{clock, member};

/// Members told by another's whole list that are still passed on as news; more are no news to others.
const NEWS: usize = 12;
/// A dead word on a member that seems alive here is taken as a suspicion of this many times the usual length.
const DOUBTED_DEATH: u32 = 3;

impl Membership {
    /// Takes a change in, from gossip.
    pub fn handle_update(&mut self, now: clock::Instant, update: &member::Update) {
        if update.by.instance == self.name {
            self.about_me(update);
            return;
        }
        let Some(known) = self.table.find_update(&update.by.instance) else {
            self.discover(now, update, true);
            return;
        };
        if !table::outdoes(update, known) {
            return;
        }
        let same = known.by.number == update.by.number;
        let surprising = same && known.state == member::State::Alive;
        if surprising && update.state == member::State::Dead {
            self.doubt(now, update);
        } else {
            self.apply(now, update.clone());
        }
    }

    /// Takes a [`crate::wire::Frame::Members`] in.
    pub fn handle_members(&mut self, now: clock::Instant, updates: &[member::Update]) {
        let unknown = |update: &&member::Update| self.table.find(&update.by.instance).is_none();
        let news = updates.iter().filter(unknown).count() <= NEWS;
        let mut learned = false;
        for update in updates {
            let known = self.table.find_update(&update.by.instance);
            learned |= known.is_none_or(|known| table::outdoes(update, known));
            match known {
                Some(_) => self.handle_update(now, update),
                None => self.discover(now, update, news),
            }
        }
        // Where there was something to learn there may be more.
        if learned {
            self.next_sync = now.after(self.options.ping_interval);
        }
    }

    /// Puts a new state of this instance in force, above all that was said of it.
    pub(super) fn say(&mut self, mut update: member::Update) {
        update.refutation = update.refutation.saturating_add(1);
        self.table.put(update, false);
        self.rumours.push(self.me);
    }

    fn about_me(&mut self, update: &member::Update) {
        let mine = self.my_update();
        if update.by.number > mine.by.number {
            self.superseded = true;
            return;
        }
        if table::outdoes(update, mine) {
            let mut answer = mine.clone();
            answer.refutation = update.refutation;
            self.say(answer);
        }
    }

    /// Takes in one of whom nothing was known, and passes that on if it is `news`.
    fn discover(&mut self, now: clock::Instant, update: &member::Update, news: bool) {
        // What is remembered of the dead would never be forgotten if each told it to each again.
        if update.state == member::State::Dead {
            return;
        }
        self.apply(now, update.clone());
        let key = self.table.find(&update.by.instance);
        if let Some(key) = key.filter(|_| !news) {
            self.rumours.drop(key);
        }
    }

    /// A member that seems alive here is said to be dead. After a partition each side says so of all of the
    /// other, which has no need to spread: each member learns it from the one it reaches on the other side.
    /// So it has longer than usual to refute it, and the word isn't passed on.
    fn doubt(&mut self, now: clock::Instant, dead: &member::Update) {
        let mut update = dead.clone();
        update.state = member::State::Suspect;
        let key = self.table.put(update, true);
        let wait = self.options.dead_timeout.saturating_mul(DOUBTED_DEATH);
        self.table.set_suspected(key, now);
        self.table.set_timer(key, Some(now.after(wait)));
    }

    /// Puts a member's new state in force and passes it on.
    pub(super) fn apply(&mut self, now: clock::Instant, update: member::Update) {
        let state = update.state;
        if matches!(state, member::State::Suspect | member::State::Dead) {
            self.doubted.insert(update.by.instance.clone());
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
        self.rumours.push(key);
        self.stale_watches = true;
    }

    /// A suspicion or the memory of a dead member ends.
    pub(super) fn timed_out(&mut self, now: clock::Instant, key: member::Key) {
        let Some(member) = self.table.get(key) else {
            return;
        };
        let mut update = member.update.clone();
        if update.state == member::State::Dead {
            self.rumours.drop(key);
            self.table.forget(key);
            return;
        }
        if update.state != member::State::Suspect {
            return;
        }
        let suspected = member.suspected;
        let watch = self.watches.get(&update.by.instance);
        if watch.is_some_and(|watch| watch.patience == 1 && watch.heard > suspected) {
            // It answers here, so it lives; that it must refute the suspicion is passed on once more.
            self.apply(now, update);
            return;
        }
        update.state = member::State::Dead;
        self.apply(now, update);
    }
}
