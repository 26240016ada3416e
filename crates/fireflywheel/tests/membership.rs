//! Membership of whole fleets in virtual time: each instance is a real `Membership`, the links between them
//! lose, delay and cut frames from a fixed seed.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
};

use fireflywheel::{clock, member, membership, record, wire};
use rand::{Rng, SeedableRng, rngs};
use smol_str::{SmolStr, format_smolstr};

const TICK_MS: u64 = 100;
const LOSS: f64 = 0.02;
const SEEDS: usize = 3;

/// What an instance does at present.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Condition {
    Running,
    Paused,
    Killed,
}

struct Node {
    membership: membership::Membership,
    incarnation: record::Incarnation,
    condition: Condition,
    side: u8,
    links: BTreeSet<usize>,
    held: Vec<(usize, wire::Frame)>,
    frames: u64,
    bytes: u64,
}

#[derive(Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Arrival {
    Tick(usize),
    Link(usize, usize),
    Frame(usize, usize, u64),
}

struct Fleet {
    now: u64,
    nodes: Vec<Node>,
    names: BTreeMap<SmolStr, usize>,
    queue: BinaryHeap<Reverse<(u64, u64, Arrival)>>,
    frames: BTreeMap<u64, wire::Frame>,
    count: u64,
    broken: BTreeSet<(usize, usize)>,
    rng: rngs::StdRng,
}

fn address(node: usize) -> SmolStr {
    format_smolstr!("10.0.{}.{}:7000", node / 250, node % 250)
}

impl Fleet {
    fn new(size: usize) -> Self {
        let mut fleet = Self {
            now: 0,
            nodes: Vec::new(),
            names: BTreeMap::new(),
            queue: BinaryHeap::new(),
            frames: BTreeMap::new(),
            count: 0,
            broken: BTreeSet::new(),
            rng: rngs::StdRng::seed_from_u64(size as u64),
        };
        for node in 0..size {
            let incarnation = record::Incarnation {
                instance: format_smolstr!("a{node}"),
                number: 1_700_000_000_000,
            };
            let domain = format_smolstr!("fd{}", node % 8);
            let options = membership::Options::default();
            let mut membership =
                membership::Membership::new(incarnation.clone(), address(node), domain, options);
            for seed in (0..SEEDS).filter(|seed| *seed != node) {
                membership.add_seed(address(seed));
            }
            fleet.names.insert(incarnation.instance.clone(), node);
            fleet.nodes.push(Node {
                membership,
                incarnation,
                condition: Condition::Running,
                side: 0,
                links: BTreeSet::new(),
                held: Vec::new(),
                frames: 0,
                bytes: 0,
            });
            fleet.at(node as u64 * 37 % 1000, Arrival::Tick(node));
        }
        fleet
    }

    fn instant(&self, node: usize) -> clock::Instant {
        clock::Instant(self.now + 1_000_000 * node as u64)
    }

    fn at(&mut self, time: u64, arrival: Arrival) {
        self.count += 1;
        self.queue.push(Reverse((time, self.count, arrival)));
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let pair = (from.min(to), from.max(to));
        self.nodes[from].side == self.nodes[to].side && !self.broken.contains(&pair)
    }

    fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self
            .queue
            .peek()
            .is_some_and(|Reverse((time, ..))| *time <= end)
        {
            let Some(Reverse((time, _, arrival))) = self.queue.pop() else {
                break;
            };
            self.now = time;
            match arrival {
                Arrival::Tick(node) => self.tick(node),
                Arrival::Link(from, to) => self.link(from, to),
                Arrival::Frame(from, to, frame) => {
                    let frame = self.frames.remove(&frame).expect("each frame arrives once");
                    self.receive(from, to, frame);
                }
            }
        }
        self.now = end;
    }

    /// Runs until `done`, and gives how long that took.
    fn run_until<F>(&mut self, limit_ms: u64, what: &str, done: F) -> u64
    where
        F: Fn(&Self) -> bool,
    {
        let start = self.now;
        while !done(self) {
            assert!(
                self.now - start < limit_ms,
                "{what} took more than {limit_ms} ms"
            );
            self.run(TICK_MS);
        }
        println!(
            "{} instances: {what} after {} ms",
            self.nodes.len(),
            self.now - start
        );
        self.now - start
    }

    fn tick(&mut self, node: usize) {
        self.at(self.now + TICK_MS, Arrival::Tick(node));
        if self.nodes[node].condition != Condition::Running {
            return;
        }
        let held = std::mem::take(&mut self.nodes[node].held);
        for (from, frame) in held {
            self.receive(from, node, frame);
        }
        let mut actions = Vec::new();
        let now = self.instant(node);
        self.nodes[node].membership.tick(now, &mut actions);
        for action in actions {
            self.act(node, action);
        }
    }

    fn act(&mut self, node: usize, action: membership::Action) {
        match action {
            membership::Action::Connect { address: to, .. } => {
                let to = (0..self.nodes.len()).find(|other| address(*other) == to);
                let to = to.expect("addresses are those of instances");
                self.at(self.now + 2, Arrival::Link(node, to));
            }
            membership::Action::Disconnect { instance } => self.unlink(node, self.names[&instance]),
            membership::Action::Ping { to, number } => {
                let gossip = self.nodes[node]
                    .membership
                    .gossip(membership::MAX_GOSSIP_UPDATES);
                let digest = wire::Digest::default();
                let ping = wire::Frame::Ping {
                    number,
                    digest,
                    gossip,
                };
                self.send(node, self.names[&to], ping);
            }
            membership::Action::Sync { to } => {
                let hashes = self.nodes[node].membership.hashes();
                self.send(node, self.names[&to], wire::Frame::AskMembers { hashes });
            }
        }
    }

    fn link(&mut self, from: usize, to: usize) {
        let refused = self.nodes[to].condition == Condition::Killed || !self.reaches(from, to);
        if refused || !self.nodes[from].links.insert(to) {
            return;
        }
        self.nodes[to].links.insert(from);
        for (node, peer) in [(from, to), (to, from)] {
            let peer = self.nodes[peer].incarnation.clone();
            let now = self.instant(node);
            self.nodes[node].membership.link_up(now, &peer);
        }
    }

    fn unlink(&mut self, from: usize, to: usize) {
        for (node, peer) in [(from, to), (to, from)] {
            let now = self.instant(node);
            if self.nodes[node].links.remove(&peer) {
                let peer = self.nodes[peer].incarnation.clone();
                self.nodes[node].membership.link_down(now, &peer);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, frame: wire::Frame) {
        self.nodes[from].frames += 1;
        self.nodes[from].bytes += frame.encode().len() as u64;
        let lost = self.rng.random_bool(LOSS);
        if lost || !self.nodes[from].links.contains(&to) || !self.reaches(from, to) {
            return;
        }
        let delay = self.rng.random_range(1..10);
        self.count += 1;
        self.frames.insert(self.count, frame);
        self.at(self.now + delay, Arrival::Frame(from, to, self.count));
    }

    fn receive(&mut self, from: usize, to: usize, frame: wire::Frame) {
        let now = self.instant(to);
        let peer = self.nodes[from].incarnation.clone();
        match self.nodes[to].condition {
            Condition::Killed => return,
            Condition::Paused => return self.nodes[to].held.push((from, frame)),
            Condition::Running => {}
        }
        let membership = &mut self.nodes[to].membership;
        let answer = match frame {
            wire::Frame::Ping {
                number,
                digest,
                gossip,
            } => {
                membership.record_contact(now, &peer);
                gossip
                    .iter()
                    .for_each(|update| membership.handle_update(now, update));
                let gossip = membership.gossip(membership::MAX_GOSSIP_UPDATES);
                Some(wire::Frame::Pong {
                    number,
                    digest,
                    gossip,
                })
            }
            wire::Frame::Pong { number, gossip, .. } => {
                membership.handle_pong(now, number, &peer);
                gossip
                    .iter()
                    .for_each(|update| membership.handle_update(now, update));
                None
            }
            wire::Frame::AskMembers { hashes } => {
                let members = membership.differing_members(&peer.instance, &hashes);
                (!members.is_empty()).then_some(wire::Frame::Members(members))
            }
            wire::Frame::Members(members) => {
                membership.handle_members(now, &members);
                None
            }
            other => panic!("not a frame of membership: {other:?}"),
        };
        if let Some(answer) = answer {
            self.send(to, from, answer);
        }
    }

    fn set(&mut self, node: usize, condition: Condition) {
        self.nodes[node].condition = condition;
        if condition == Condition::Killed {
            for peer in self.nodes[node].links.clone() {
                self.unlink(node, peer);
            }
        }
    }

    fn running(&self) -> impl Iterator<Item = &Node> {
        self.nodes
            .iter()
            .filter(|node| node.condition == Condition::Running)
    }

    /// Whether all that run believe this of an instance.
    fn all_say(&self, node: usize, state: member::State) -> bool {
        let name = &self.nodes[node].incarnation.instance;
        self.running()
            .all(|other| other.membership.state(name) == Some(state))
    }

    /// Whether all that run see exactly those that run as alive.
    fn agree(&self) -> bool {
        let running = self.running().count();
        self.running().all(|node| {
            let alive = node.membership.members();
            alive
                .filter(|update| update.state == member::State::Alive)
                .count()
                == running
        })
    }

    /// A fleet that has been up for long: each knows all.
    fn started(size: usize) -> Self {
        let mut fleet = Self::new(size);
        let all: Vec<_> = fleet
            .nodes
            .iter()
            .flat_map(|node| node.membership.members())
            .cloned()
            .collect();
        for node in 0..size {
            let now = fleet.instant(node);
            fleet.nodes[node].membership.handle_members(now, &all);
        }
        fleet.run(60_000);
        assert!(fleet.agree());
        fleet
    }

    /// Mean and highest frames and bytes that an instance sends in a second.
    fn cost(&mut self, seconds: u64) -> (f64, f64, f64) {
        for node in &mut self.nodes {
            (node.frames, node.bytes) = (0, 0);
        }
        self.run(seconds * 1000);
        let count = (self.nodes.len() as u64 * seconds) as f64;
        let frames = self.nodes.iter().map(|node| node.frames).sum::<u64>() as f64 / count;
        let bytes = self.nodes.iter().map(|node| node.bytes).sum::<u64>() as f64 / count;
        let highest = self.nodes.iter().map(|node| node.bytes).max().unwrap_or(0);
        let highest = highest as f64 / seconds as f64;
        println!(
            "{} instances: {frames:.1} frames/s, {bytes:.0} B/s, highest {highest:.0} B/s sent",
            self.nodes.len()
        );
        (frames, bytes, highest)
    }
}

macro_rules! sizes {
    ($($name:ident: $check:ident($size:expr);)*) => {
        $(#[test]
        fn $name() {
            $check($size);
        })*
    };
}

sizes! {
    costs_and_a_death_at_16: costs_and_a_death(16);
    costs_and_a_death_at_256: costs_and_a_death(256);
    costs_and_a_death_at_1100: costs_and_a_death(1100);
}

/// An instance is killed. Until all know it, some still take it for the home of what it did, and its callers
/// wait; and if knowing it cost more in a larger fleet, the fleet could not grow.
fn costs_and_a_death(size: usize) {
    const FRAMES_LIMIT: f64 = 20.0;
    const BYTES_LIMIT: f64 = 1500.0;
    const DEATH_LIMIT_MS: u64 = 15_000;
    let mut fleet = Fleet::started(size);
    let (frames, bytes, highest) = fleet.cost(30);
    assert!(frames < FRAMES_LIMIT, "{frames} frames a second");
    assert!(
        bytes < BYTES_LIMIT && highest < 2.0 * BYTES_LIMIT,
        "{bytes}, {highest} B/s"
    );
    fleet.set(7, Condition::Killed);
    fleet.run_until(DEATH_LIMIT_MS, "a death is known everywhere", |fleet| {
        fleet.all_say(7, member::State::Dead)
    });
}

/// All instances start at once, as after a power cut, and know three addresses. None is ready for long if this
/// takes long.
#[test]
fn all_start_at_once() {
    const START_LIMIT_MS: u64 = 60_000;
    let mut fleet = Fleet::new(256);
    fleet.run_until(START_LIMIT_MS, "all know all", Fleet::agree);
}

/// The way between two halves of a fleet is cut for a minute, and each takes the other for dead. When it is
/// mended, a half that didn't notice would go on choosing homes for what the other half does, for ever.
#[test]
fn partition_heals() {
    const HEAL_LIMIT_MS: u64 = 60_000;
    let mut fleet = Fleet::started(128);
    for node in 0..64 {
        fleet.nodes[node].side = 1;
    }
    fleet.run_until(30_000, "each half takes the other for dead", |fleet| {
        let count = |node: &Node| node.membership.alive().count();
        fleet.running().all(|node| count(node) == 64)
    });
    fleet.run(60_000);
    for node in 0..64 {
        fleet.nodes[node].side = 0;
    }
    fleet.run_until(HEAL_LIMIT_MS, "the halves are one again", Fleet::agree);
    let (_, _, highest) = fleet.cost(10);
    assert!(highest < 22_000.0);
}

/// A process is paused for less than it takes to be given up. It is suspected, wakes, and refutes that;
/// until then it stays eligible, so that nothing moves for a hiccup.
#[test]
fn suspicion_is_refuted() {
    let mut fleet = Fleet::started(64);
    fleet.set(5, Condition::Paused);
    fleet.run(4_500);
    let suspecting = fleet
        .running()
        .filter(|node| node.membership.state("a5") == Some(member::State::Suspect));
    assert!(suspecting.count() > 0);
    assert!(
        fleet
            .running()
            .all(|node| node.membership.alive().any(|name| name == "a5"))
    );
    fleet.set(5, Condition::Running);
    for _ in 0..150 {
        fleet.run(TICK_MS);
        let dead = |node: &Node| node.membership.state("a5") == Some(member::State::Dead);
        assert!(!fleet.running().any(dead));
    }
    assert!(fleet.agree());
}

/// A process is paused for a minute, taken for dead, and wakes up, none the wiser. It must not take all others
/// for dead, and has to be known as alive again.
#[test]
fn paused_process_comes_back() {
    let mut fleet = Fleet::started(64);
    fleet.set(5, Condition::Paused);
    fleet.run(60_000);
    assert!(fleet.all_say(5, member::State::Dead));
    fleet.set(5, Condition::Running);
    fleet.run_until(15_000, "a paused process is back", |fleet| {
        let alive = fleet.nodes[5].membership.alive().count();
        assert!(alive >= 63, "it took others for dead");
        fleet.all_say(5, member::State::Alive)
    });
}

/// The ways from one instance to half of the others are broken for minutes. Those that watch it from there
/// suspect it again and again; nobody may take it for dead, and the gossip about it must stay small.
#[test]
fn broken_ways_kill_nobody() {
    const REFUTATIONS: u32 = 40;
    let mut fleet = Fleet::started(16);
    for other in 8..16 {
        fleet.broken.insert((0, other));
    }
    let refutation = |fleet: &Fleet| {
        let updates = fleet.nodes[0].membership.members();
        updates
            .filter(|update| update.by.instance == "a0")
            .map(|update| update.refutation)
            .sum()
    };
    let before: u32 = refutation(&fleet);
    for _ in 0..1800 {
        fleet.run(TICK_MS);
        let dead = |node: &Node| node.membership.state("a0") == Some(member::State::Dead);
        assert!(!fleet.running().any(dead), "after {} ms", fleet.now);
    }
    let refutations = refutation(&fleet) - before;
    println!("{refutations} refutations in three minutes");
    assert!(refutations < REFUTATIONS);
}

/// An instance is replaced by a new process of the same name while the old one is still in gossip. Whoever
/// clung to the old one would send to a process that is gone.
#[test]
fn later_incarnation_replaces_at_once() {
    let mut fleet = Fleet::started(16);
    let now = fleet.instant(3);
    let old = fleet.nodes[9].incarnation.clone();
    let membership = &mut fleet.nodes[3].membership;
    let mut update = member::Update {
        by: old.clone(),
        address: address(9),
        failure_domain: SmolStr::new("fd1"),
        state: member::State::Dead,
        refutation: 40,
    };
    membership.handle_update(now, &update);
    update.by.number += 1;
    update.address = SmolStr::new("10.0.9.9:7000");
    (update.state, update.refutation) = (member::State::Alive, 0);
    membership.handle_update(now, &update);
    assert_eq!(membership.state("a9"), Some(member::State::Alive));
    assert_eq!(membership.address("a9"), Some(&update.address));
    update.by = old;
    (update.state, update.refutation) = (member::State::Dead, u32::MAX);
    membership.handle_update(now, &update);
    assert_eq!(membership.state("a9"), Some(member::State::Alive));
}

/// The platform's list lags: it lacks an instance that lives and names one that is gone. Neither may change
/// what the instances know from each other; the new name is only tried.
#[test]
fn lagging_list_is_a_hint() {
    let mut fleet = Fleet::started(16);
    let now = fleet.instant(0);
    let entry = membership::ListEntry {
        instance: SmolStr::new("gone"),
        address: SmolStr::new("10.0.0.15:7000"),
    };
    fleet.nodes[0]
        .membership
        .set_listed(now, std::slice::from_ref(&entry));
    assert_eq!(fleet.nodes[0].membership.alive().count(), 16);
    let mut actions = Vec::new();
    for step in 0..100 {
        let now = now.after(std::time::Duration::from_millis(step * TICK_MS));
        fleet.nodes[0].membership.tick(now, &mut actions);
    }
    let tried = |action: &membership::Action| matches!(action, membership::Action::Connect { instance: Some(name), .. } if name == "gone");
    assert!(actions.iter().any(tried));
    assert_eq!(fleet.nodes[0].membership.state("gone"), None);
}

/// Cold requests go to a group's steward, which is seldom a neighbour. The link to it must be there while it is
/// the steward, and gone afterwards, or links would pile up with each change.
#[test]
fn wanted_link_is_kept_while_wanted() {
    let mut fleet = Fleet::started(64);
    let far = (1..64).find(|other| !fleet.nodes[0].links.contains(other));
    let far = far.expect("a member has few neighbours");
    let steward = fleet.nodes[far].incarnation.instance.clone();
    fleet.nodes[0].membership.set_wanted_links([steward]);
    fleet.run(2_000);
    assert!(fleet.nodes[0].links.contains(&far));
    fleet.run(60_000);
    assert!(fleet.nodes[0].links.contains(&far));
    fleet.nodes[0].membership.set_wanted_links([]);
    fleet.run(20_000);
    assert!(!fleet.nodes[0].links.contains(&far));
}

/// An instance stops as planned. It gets nothing new as soon as the others hear of it, though it goes on to
/// answer until its work is done.
#[test]
fn leaving_is_not_eligible() {
    let mut fleet = Fleet::started(64);
    fleet.nodes[5].membership.leave();
    fleet.run_until(6_000, "a leaving one is known everywhere", |fleet| {
        fleet.all_say(5, member::State::Leaving)
    });
    assert!(
        fleet
            .running()
            .all(|node| node.membership.alive().all(|name| name != "a5"))
    );
    fleet.set(5, Condition::Killed);
    fleet.run_until(20_000, "its end is known everywhere", |fleet| {
        fleet.all_say(5, member::State::Dead)
    });
}
