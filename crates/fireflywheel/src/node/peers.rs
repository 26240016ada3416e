//! Handles other instances: membership, and the transfer of configuration and ledger state.

use std::{collections::BTreeSet, time::Duration};

use smol_str::SmolStr;

use super::{Config, Node};
use crate::{bootstrap, clock, document, effect, member, membership, record, wire};

/// Interval between two requests for a peer's ledger state, which is large.
const STATE_REQUEST_INTERVAL: Duration = Duration::from_secs(2);

/// Interval between two requests for a document.
const DOCUMENT_REQUEST_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which a newer document is awaited from the log, while the log is readable, before it is
/// requested from a peer.
const LOG_GRACE_PERIOD: Duration = Duration::from_millis(300);

/// Time for which a peer has to report that it can't use the log until its groups are taken over.
const LOG_LOSS_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of records by which a peer has to be ahead before its state is requested, while this instance
/// can't read the log.
const MIN_STATE_LAG: u64 = 1;

/// A linked peer.
#[derive(Debug)]
pub(super) struct Peer {
    by: record::Incarnation,
    /// The newest digest of the peer; `None` until one arrived.
    digest: Option<wire::Digest>,
    /// Time since which the peer has reported that it can't use the log.
    log_lost_since: Option<clock::Instant>,
    state_requested_at: Option<clock::Instant>,
    /// Time since which the peer has reported a newer version of the configuration than the one in force
    /// here.
    newer_version_since: Option<clock::Instant>,
    document_requested_at: Option<clock::Instant>,
}

impl Node {
    pub(super) fn tick_peers(&mut self, now: clock::Instant, out: &mut Vec<effect::Effect>) {
        let mut actions = Vec::new();
        self.membership.tick(now, &mut actions);
        for action in actions {
            self.execute_membership_action(now, action, out);
        }
        self.announce_log_access(now, out);
        if self.membership.is_superseded() && self.stop.is_none() {
            let text =
                String::from("a later process runs under the name of this instance; stopping");
            self.notify_operator(true, text, out);
            self.begin_stop(now);
        }
    }

    fn execute_membership_action(
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

    /// Requests links to the stewards of the groups that this instance uses and to the lenders of the limits
    /// from which it borrows, in addition to the ring neighbours.
    pub(super) fn update_wanted_links(&mut self) {
        let ledger = self.log.ledger.as_ref();
        let used = self.queues.values().map(|queue| &queue.group);
        let used: BTreeSet<&SmolStr> = used.collect();
        let stewards = used.into_iter().filter_map(|group| ledger?.steward(group));
        let stewards = stewards.map(|steward| steward.by.instance.clone());
        let lenders = self.lenders_in_use();
        let me = &self.options.incarnation.instance;
        let wanted: BTreeSet<SmolStr> = stewards.chain(lenders).filter(|name| name != me).collect();
        if wanted != self.wanted_links {
            self.membership.set_wanted_links(wanted.iter().cloned());
            self.wanted_links = wanted;
        }
    }

    /// Returns the digest that this instance sends with each ping and pong.
    pub(super) fn digest(&self, now: clock::Instant) -> wire::Digest {
        wire::Digest {
            version: self.config.version,
            next: self.log.next(),
            log_readable: self.log.is_usable(now),
        }
    }

    /// Returns the newest version of the configuration among the linked peers and the ledger.
    pub(super) fn newest_known_version(&self) -> u64 {
        let digests = self.peers.values().filter_map(|peer| peer.digest);
        let heard = digests.map(|digest| digest.version);
        let ledger = self.log.version();
        heard.max().unwrap_or(0).max(ledger)
    }

    pub(super) fn handle_link_up(
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
            log_lost_since: None,
            state_requested_at: None,
            newer_version_since: None,
            document_requested_at: None,
        };
        self.peers.insert(update.by.instance.clone(), peer);
        // An immediate ping lets a new instance learn the newest version early.
        let gossip = self.membership.gossip(membership::MAX_GOSSIP_UPDATES);
        let frame = self.unscheduled_ping(now, gossip);
        let to = update.by.instance.clone();
        out.push(effect::Effect::Send { to, frame });
    }

    pub(super) fn handle_link_down(&mut self, now: clock::Instant, peer: &record::Incarnation) {
        self.membership.link_down(now, peer);
        let same = self
            .peers
            .get(&peer.instance)
            .is_some_and(|known| known.by == *peer);
        if same {
            self.peers.remove(&peer.instance);
        }
    }

    pub(super) fn handle_frame(
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
                self.handle_gossip(now, &gossip);
                let frame = wire::Frame::Pong {
                    number,
                    digest: self.digest(now),
                    gossip: self.membership.gossip(membership::MAX_GOSSIP_UPDATES),
                };
                let to = from.instance.clone();
                out.push(effect::Effect::Send { to, frame });
                self.handle_digest(now, from, digest, out);
            }
            wire::Frame::Pong {
                number,
                digest,
                gossip,
            } => {
                self.membership.handle_pong(now, number, from);
                self.handle_gossip(now, &gossip);
                self.handle_digest(now, from, digest, out);
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
            wire::Frame::Want(want) => self.handle_want(now, &from.instance, &want, out),
            wire::Frame::Usage { group, items } => {
                self.stewards
                    .handle_usage(now, &group, &from.instance, &items);
            }
            wire::Frame::Ready { server, item } => self.handle_ready(now, server, item, out),
            wire::Frame::Busy {
                item,
                retry_ms,
                reason,
                ..
            } => self.handle_busy(now, &item, retry_ms, &reason, out),
            wire::Frame::AskDocument { above } => self.send_document(from, above, out),
            wire::Frame::Document { version, text } => {
                self.handle_document(now, version, &text, out);
            }
            wire::Frame::AskState { next } => self.send_state(from, next, out),
            wire::Frame::State(part) => self.handle_state(now, part, out),
            wire::Frame::Credit(credit) => self.handle_credit(now, from, credit, out),
        }
    }

    fn handle_gossip(&mut self, now: clock::Instant, updates: &[member::Update]) {
        for update in updates {
            self.membership.handle_update(now, update);
        }
    }

    /// Records a peer's digest, and requests what the peer has and this instance lacks.
    fn handle_digest(
        &mut self,
        now: clock::Instant,
        from: &record::Incarnation,
        digest: wire::Digest,
        out: &mut Vec<effect::Effect>,
    ) {
        let version = self.config.version;
        let next = self.log.next();
        let log_unavailable = !self.log.readable || self.log.ledger.is_none();
        let Some(peer) = self.peers.get_mut(&from.instance) else {
            return;
        };
        peer.digest = Some(digest);
        peer.log_lost_since = if digest.log_readable {
            None
        } else {
            peer.log_lost_since.or(Some(now))
        };
        let to = from.instance.clone();
        let due = |asked: Option<clock::Instant>, pause| {
            asked.is_none_or(|asked| now.since(asked) >= pause)
        };
        // While the log is readable, it provides the document too, usually earlier.
        let await_log = digest.version > version && !log_unavailable;
        let since = match await_log {
            true => Some(*peer.newer_version_since.get_or_insert(now)),
            false => None,
        };
        if digest.version <= version {
            peer.newer_version_since = None;
        }
        let awaiting_log = since.is_some_and(|since| now.since(since) < LOG_GRACE_PERIOD);
        if digest.version > version
            && !awaiting_log
            && due(peer.document_requested_at, DOCUMENT_REQUEST_INTERVAL)
        {
            peer.document_requested_at = Some(now);
            let frame = wire::Frame::AskDocument { above: version };
            out.push(effect::Effect::Send {
                to: to.clone(),
                frame,
            });
        }
        let behind = digest.next >= next + MIN_STATE_LAG;
        if log_unavailable && behind && due(peer.state_requested_at, STATE_REQUEST_INTERVAL) {
            peer.state_requested_at = Some(now);
            let frame = wire::Frame::AskState { next };
            out.push(effect::Effect::Send { to, frame });
        }
    }

    fn send_document(&self, to: &record::Incarnation, above: u64, out: &mut Vec<effect::Effect>) {
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

    fn send_state(&self, to: &record::Incarnation, above: u64, out: &mut Vec<effect::Effect>) {
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

    fn handle_state(
        &mut self,
        now: clock::Instant,
        part: record::Part,
        out: &mut Vec<effect::Effect>,
    ) {
        let held = self.log.next();
        if part.next <= held {
            return;
        }
        if self.log.ledger.is_some() && self.log.bootstrap.floor() < held {
            self.log.bootstrap = bootstrap::Bootstrap::resume_from(held);
        }
        self.log.bootstrap.add_part(part);
        self.try_bootstrap(now, out);
    }

    /// Applies a peer's document if it is newer than the one in force. A peer has proven that it has the
    /// key, and sends only documents that the log accepted, so an instance that can't read the log also
    /// follows the configuration.
    fn handle_document(
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
                self.apply_config(now, config, out);
            }
            Err(faults) => {
                let text = format!(
                    "configuration {version} from a peer has {} faults here; upgrade this build",
                    faults.len()
                );
                self.notify_operator(true, text, out);
            }
        }
    }

    /// Applies the ledger's document if it is newer than the one in force.
    pub(super) fn apply_ledger_config(
        &mut self,
        now: clock::Instant,
        out: &mut Vec<effect::Effect>,
    ) {
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
        self.apply_config(now, config, out);
    }

    /// Applies a configuration. This is the only place where the configuration changes, and its version
    /// only increases.
    fn apply_config(&mut self, now: clock::Instant, config: Config, out: &mut Vec<effect::Effect>) {
        debug_assert!(config.version > self.config.version);
        self.config = config;
        self.reconfigure_queues(now, out);
        let text = format!("configuration {} is in force", self.config.version);
        out.push(effect::Effect::Notice(effect::Notice {
            alarm: false,
            text,
        }));
        self.announce_config(now, out);
    }

    /// Notifies every linked peer of a new configuration at once, so that a peer without access to the log
    /// follows within a round-trip time. The regular pings would notify it too, but later.
    fn announce_config(&mut self, now: clock::Instant, out: &mut Vec<effect::Effect>) {
        let mut behind = Vec::new();
        for (name, peer) in &self.peers {
            let version = peer.digest.map_or(0, |digest| digest.version);
            if version >= self.config.version {
                continue;
            }
            behind.push(name.clone());
        }
        for to in behind {
            let frame = self.unscheduled_ping(now, Vec::new());
            out.push(effect::Effect::Send { to, frame });
        }
    }

    /// Returns whether a process is considered dead or was replaced by a later process of the same
    /// instance.
    pub(super) fn has_ended(&self, by: &record::Incarnation) -> bool {
        if by.instance == self.options.incarnation.instance {
            return by.number != self.options.incarnation.number;
        }
        let mut members = self.membership.members();
        let Some(member) = members.find(|member| member.by.instance == by.instance) else {
            return false;
        };
        member.by.number > by.number || member.state == member::State::Dead
    }

    /// Returns whether a linked peer has reported for [`LOG_LOSS_TIMEOUT`] that it can't use the log. As a
    /// steward it could open no intent, and models of its group that are loaded nowhere would stay so
    /// although other instances reach the log.
    pub(super) fn has_lost_log(&self, now: clock::Instant, instance: &str) -> bool {
        let peer = self.peers.get(instance);
        let since = peer.and_then(|peer| peer.log_lost_since);
        since.is_some_and(|since| now.since(since) >= LOG_LOSS_TIMEOUT)
    }

    /// Notifies every linked peer at once when this instance loses or regains access to the log.
    fn announce_log_access(&mut self, now: clock::Instant, out: &mut Vec<effect::Effect>) {
        let usable = self.log.is_usable(now);
        if self.log_access_announced == usable {
            return;
        }
        self.log_access_announced = usable;
        let peers: Vec<SmolStr> = self.peers.keys().cloned().collect();
        for to in peers {
            let frame = self.unscheduled_ping(now, Vec::new());
            out.push(effect::Effect::Send { to, frame });
        }
    }

    /// Creates a ping outside the regular interval to send a digest. Its number can't equal one of the
    /// membership's numbers, which count up from zero.
    fn unscheduled_ping(
        &mut self,
        now: clock::Instant,
        gossip: Vec<member::Update>,
    ) -> wire::Frame {
        self.unscheduled_pings += 1;
        wire::Frame::Ping {
            number: u64::MAX - self.unscheduled_pings,
            digest: self.digest(now),
            gossip,
        }
    }

    /// Returns whether an instance has announced that it stops.
    pub(super) fn is_leaving(&self, instance: &SmolStr) -> bool {
        self.membership.state(instance) == Some(member::State::Leaving)
    }
}
