//! Other instances: membership, and what they hand over.

use std::{collections::BTreeSet, time::Duration};

use smol_str::SmolStr;

use super::{Config, Node};
use crate::{bootstrap, clock, document, effect, member, membership, record, wire};

/// Between two requests for a ledger's state, which is large.
const STATE_PAUSE: Duration = Duration::from_secs(2);

/// Between two requests for a document.
const DOCUMENT_PAUSE: Duration = Duration::from_millis(500);

/// How long a document is left to the log to bring, while it is read.
const LOG_FIRST: Duration = Duration::from_millis(300);

/// How long a peer tells that it can't read the log until its groups are taken over.
const BLIND_LIMIT: Duration = Duration::from_secs(1);

/// Records that a peer must be ahead while the log can't be read here, until its state is asked for.
const STATE_LAG: u64 = 1;

/// A linked peer.
#[derive(Debug)]
pub(super) struct Peer {
    by: record::Incarnation,
    /// What it told last; `None` until it told anything.
    digest: Option<wire::Digest>,
    /// Since when it has told that it can't read the log.
    blind_since: Option<clock::Instant>,
    asked_state: Option<clock::Instant>,
    /// Since when it has told of a newer version than the one here.
    behind_since: Option<clock::Instant>,
    asked_document: Option<clock::Instant>,
}

impl Node {
    pub(super) fn tick_peers(&mut self, now: clock::Instant, out: &mut Vec<effect::Effect>) {
        let mut actions = Vec::new();
        self.membership.tick(now, &mut actions);
        for action in actions {
            self.act(now, action, out);
        }
        self.tell_log(now, out);
        if self.membership.is_superseded() && self.stop.is_none() {
            let text = String::from("a later process runs under this instance's name; stopping");
            self.notice(true, text, out);
            self.begin_stop(now);
        }
    }

    fn act(
        &mut self,
        now: clock::Instant,
        action: membership::Action,
        out: &mut Vec<effect::Effect>,
    ) {
        match action {
            membership::Action::Connect { instance, address } => {
                let instance = instance.unwrap_or_default();
                out.push(effect::Effect::Connect { instance, address });
            }
            membership::Action::Disconnect { instance } => {
                out.push(effect::Effect::Disconnect(instance));
            }
            membership::Action::Ping { to, number } => {
                let frame = wire::Frame::Ping {
                    number,
                    digest: self.digest(now),
                    gossip: self.membership.gossip(membership::MAX_GOSSIP_UPDATES),
                };
                out.push(effect::Effect::Send { to, frame });
            }
            membership::Action::Sync { to } => {
                let hashes = self.membership.hashes();
                let frame = wire::Frame::AskMembers { hashes };
                out.push(effect::Effect::Send { to, frame });
            }
        }
    }

    /// Links to the stewards of groups that this instance uses, and to the homes of limits that it borrows
    /// from, are kept beyond the ring's neighbours.
    pub(super) fn keep_wanted_links(&mut self) {
        let ledger = self.log.ledger.as_ref();
        let used = self.lanes.values().map(|lane| &lane.group);
        let used: BTreeSet<&SmolStr> = used.collect();
        let stewards = used.into_iter().filter_map(|group| ledger?.steward(group));
        let stewards = stewards.map(|steward| steward.by.instance.clone());
        let homes = self.homes_in_use();
        let me = &self.options.me.instance;
        let wanted: BTreeSet<SmolStr> = stewards.chain(homes).filter(|name| name != me).collect();
        if wanted != self.links_wanted {
            self.membership.set_wanted_links(wanted.iter().cloned());
            self.links_wanted = wanted;
        }
    }

    /// What this instance tells with each ping and pong.
    pub(super) fn digest(&self, now: clock::Instant) -> wire::Digest {
        wire::Digest {
            version: self.config.version,
            next: self.log.next(),
            log_readable: self.log.is_usable(now),
        }
    }

    /// The newest version that any linked peer or the ledger has.
    pub(super) fn newest_heard(&self) -> u64 {
        let digests = self.peers.values().filter_map(|peer| peer.digest);
        let heard = digests.map(|digest| digest.version);
        let ledger = self.log.version();
        heard.max().unwrap_or(0).max(ledger)
    }

    pub(super) fn link_up(
        &mut self,
        now: clock::Instant,
        update: &member::Update,
        out: &mut Vec<effect::Effect>,
    ) {
        self.membership.handle_update(now, update);
        self.membership.link_up(now, &update.by);
        self.membership.record_contact(now, &update.by);
        let peer = Peer {
            by: update.by.clone(),
            digest: None,
            blind_since: None,
            asked_state: None,
            behind_since: None,
            asked_document: None,
        };
        self.peers.insert(update.by.instance.clone(), peer);
        // A ping at once, so that a new instance learns the newest version soon.
        let gossip = self.membership.gossip(membership::MAX_GOSSIP_UPDATES);
        let frame = self.extra_ping(now, gossip);
        let to = update.by.instance.clone();
        out.push(effect::Effect::Send { to, frame });
    }

    pub(super) fn link_down(&mut self, now: clock::Instant, peer: &record::Incarnation) {
        self.membership.link_down(now, peer);
        let same = self
            .peers
            .get(&peer.instance)
            .is_some_and(|known| known.by == *peer);
        if same {
            self.peers.remove(&peer.instance);
        }
    }

    pub(super) fn frame(
        &mut self,
        now: clock::Instant,
        from: &record::Incarnation,
        frame: wire::Frame,
        out: &mut Vec<effect::Effect>,
    ) {
        self.membership.record_contact(now, from);
        match frame {
            wire::Frame::Ping {
                number,
                digest,
                gossip,
            } => {
                self.gossiped(now, &gossip);
                let frame = wire::Frame::Pong {
                    number,
                    digest: self.digest(now),
                    gossip: self.membership.gossip(membership::MAX_GOSSIP_UPDATES),
                };
                let to = from.instance.clone();
                out.push(effect::Effect::Send { to, frame });
                self.digested(now, from, digest, out);
            }
            wire::Frame::Pong {
                number,
                digest,
                gossip,
            } => {
                self.membership.handle_pong(now, number, from);
                self.gossiped(now, &gossip);
                self.digested(now, from, digest, out);
            }
            wire::Frame::AskMembers { hashes } => {
                let members = self.membership.differing_members(&from.instance, &hashes);
                if !members.is_empty() {
                    let to = from.instance.clone();
                    let frame = wire::Frame::Members(members);
                    out.push(effect::Effect::Send { to, frame });
                }
            }
            wire::Frame::Members(members) => self.membership.handle_members(now, &members),
            wire::Frame::Want(want) => self.wanted(now, &from.instance, &want, out),
            wire::Frame::Usage { group, items } => {
                self.stewards.used(now, &group, &from.instance, &items);
            }
            wire::Frame::Ready { server, item } => self.heard_ready(now, server, item, out),
            wire::Frame::Busy {
                item,
                retry_ms,
                reason,
                ..
            } => self.heard_busy(now, &item, retry_ms, &reason, out),
            wire::Frame::AskDocument { above } => self.hand_document(from, above, out),
            wire::Frame::Document { version, text } => self.take_document(now, version, &text, out),
            wire::Frame::AskState { next } => self.hand_state(from, next, out),
            wire::Frame::State(part) => self.take_state(now, part, out),
            wire::Frame::Credit(credit) => self.credit(now, from, credit, out),
        }
    }

    fn gossiped(&mut self, now: clock::Instant, updates: &[member::Update]) {
        for update in updates {
            self.membership.handle_update(now, update);
        }
    }

    /// Learns what a peer knows, and asks for what it has and this instance has not.
    fn digested(
        &mut self,
        now: clock::Instant,
        from: &record::Incarnation,
        digest: wire::Digest,
        out: &mut Vec<effect::Effect>,
    ) {
        let version = self.config.version;
        let next = self.log.next();
        let cut_off = !self.log.reading || self.log.ledger.is_none();
        let Some(peer) = self.peers.get_mut(&from.instance) else {
            return;
        };
        peer.digest = Some(digest);
        peer.blind_since = if digest.log_readable {
            None
        } else {
            peer.blind_since.or(Some(now))
        };
        let to = from.instance.clone();
        let due = |asked: Option<clock::Instant>, pause| {
            asked.is_none_or(|asked| now.since(asked) >= pause)
        };
        // While the log is read, it brings the document too, most often sooner.
        let patient = digest.version > version && !cut_off;
        let since = match patient {
            true => Some(*peer.behind_since.get_or_insert(now)),
            false => None,
        };
        if digest.version <= version {
            peer.behind_since = None;
        }
        let log_first = since.is_some_and(|since| now.since(since) < LOG_FIRST);
        if digest.version > version && !log_first && due(peer.asked_document, DOCUMENT_PAUSE) {
            peer.asked_document = Some(now);
            let frame = wire::Frame::AskDocument { above: version };
            out.push(effect::Effect::Send {
                to: to.clone(),
                frame,
            });
        }
        let behind = digest.next >= next + STATE_LAG;
        if cut_off && behind && due(peer.asked_state, STATE_PAUSE) {
            peer.asked_state = Some(now);
            let frame = wire::Frame::AskState { next };
            out.push(effect::Effect::Send { to, frame });
        }
    }

    fn hand_document(&self, to: &record::Incarnation, above: u64, out: &mut Vec<effect::Effect>) {
        if self.config.version <= above {
            return;
        }
        let frame = wire::Frame::Document {
            version: self.config.version,
            text: self.config.text.to_string(),
        };
        out.push(effect::Effect::Send {
            to: to.instance.clone(),
            frame,
        });
    }

    fn hand_state(&self, to: &record::Incarnation, above: u64, out: &mut Vec<effect::Effect>) {
        let Some(ledger) = &self.log.ledger else {
            return;
        };
        if ledger.next() <= above {
            return;
        }
        for part in ledger.checkpoint() {
            out.push(effect::Effect::Send {
                to: to.instance.clone(),
                frame: wire::Frame::State(part),
            });
        }
    }

    fn take_state(
        &mut self,
        now: clock::Instant,
        part: record::Part,
        out: &mut Vec<effect::Effect>,
    ) {
        let held = self.log.next();
        if part.next <= held {
            return;
        }
        if self.log.ledger.is_some() && self.log.start.floor() < held {
            self.log.start = bootstrap::Bootstrap::resume_from(held);
        }
        self.log.start.add_part(part);
        self.try_start(now, out);
    }

    /// Puts a peer's document in force if it is newer than the one here. A peer has proven the key and hands
    /// over only what the log accepted, so an instance that can't read the log follows all the same.
    fn take_document(
        &mut self,
        now: clock::Instant,
        version: u64,
        text: &str,
        out: &mut Vec<effect::Effect>,
    ) {
        if version <= self.config.version {
            return;
        }
        match document::Document::parse(text) {
            Ok(document) => {
                let config = Config {
                    version,
                    text: text.into(),
                    document: document.into(),
                };
                self.put_in_force(now, config, out);
            }
            Err(faults) => {
                let text = format!(
                    "a peer's document of version {version} has {} faults here; replace this build",
                    faults.len()
                );
                self.notice(true, text, out);
            }
        }
    }

    /// Follows the ledger's document when it is newer.
    pub(super) fn adopt_from_ledger(&mut self, now: clock::Instant, out: &mut Vec<effect::Effect>) {
        let Some(ledger) = &self.log.ledger else {
            return;
        };
        if ledger.version() <= self.config.version {
            return;
        }
        let config = Config {
            version: ledger.version(),
            text: ledger.text().into(),
            document: ledger.document().clone(),
        };
        self.put_in_force(now, config, out);
    }

    /// The one place where the configuration changes. The version only rises.
    fn put_in_force(&mut self, now: clock::Instant, config: Config, out: &mut Vec<effect::Effect>) {
        debug_assert!(config.version > self.config.version);
        self.config = config;
        self.reconfigure_lanes(now, out);
        let text = format!("configuration {} is in force", self.config.version);
        out.push(effect::Effect::Notice(effect::Notice {
            alarm: false,
            text,
        }));
        self.spread(now, out);
    }

    /// Tells every linked peer at once, so that one which is cut off from the log follows within a round
    /// trip; the rhythm of pings would do it too, only later.
    fn spread(&mut self, now: clock::Instant, out: &mut Vec<effect::Effect>) {
        let mut behind = Vec::new();
        for (name, peer) in &self.peers {
            let version = peer.digest.map_or(0, |digest| digest.version);
            if version >= self.config.version {
                continue;
            }
            behind.push(name.clone());
        }
        for to in behind {
            let frame = self.extra_ping(now, Vec::new());
            out.push(effect::Effect::Send { to, frame });
        }
    }

    /// Whether an instance counts as dead, gone or replaced by a later process.
    pub(super) fn is_over(&self, by: &record::Incarnation) -> bool {
        if by.instance == self.options.me.instance {
            return by.number != self.options.me.number;
        }
        let mut members = self.membership.members();
        let Some(member) = members.find(|member| member.by.instance == by.instance) else {
            return false;
        };
        member.by.number > by.number || member.state == member::State::Dead
    }

    /// Whether a linked peer has told for a while that it can't read the log. As a steward it could open no
    /// intent, and cold models of its group would stay cold though others reach the log.
    pub(super) fn is_blind(&self, now: clock::Instant, instance: &str) -> bool {
        let peer = self.peers.get(instance);
        let since = peer.and_then(|peer| peer.blind_since);
        since.is_some_and(|since| now.since(since) >= BLIND_LIMIT)
    }

    /// Tells every linked peer at once when this instance loses or regains the log.
    fn tell_log(&mut self, now: clock::Instant, out: &mut Vec<effect::Effect>) {
        let usable = self.log.is_usable(now);
        if self.log_told == usable {
            return;
        }
        self.log_told = usable;
        let peers: Vec<SmolStr> = self.peers.keys().cloned().collect();
        for to in peers {
            let frame = self.extra_ping(now, Vec::new());
            out.push(effect::Effect::Send { to, frame });
        }
    }

    /// A ping outside the ring's rhythm, for the digest that it carries. Its number can't be one of the
    /// membership's, which count up from zero.
    fn extra_ping(&mut self, now: clock::Instant, gossip: Vec<member::Update>) -> wire::Frame {
        self.ping_numbers += 1;
        wire::Frame::Ping {
            number: u64::MAX - self.ping_numbers,
            digest: self.digest(now),
            gossip,
        }
    }

    /// Whether an instance said that it stops.
    pub(super) fn is_leaving(&self, instance: &SmolStr) -> bool {
        self.membership.state(instance) == Some(member::State::Leaving)
    }
}
