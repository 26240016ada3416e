//! Simulation of membership in whole fleets in virtual time. Each instance runs a real `Membership`; the
//! links between them lose, delay and drop frames with a fixed random seed.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
};

use fireflywheel::{clock, member, membership, record, wire};
use rand::{Rng, SeedableRng, rngs};
use smol_str::{SmolStr, format_smolstr};

const TICK_INTERVAL_MS: u64 = 100;
const FRAME_LOSS_RATIO: f64 = 0.02;
const SEED_COUNT: usize = 3;

/// State of a simulated instance.
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
    partition: u8,
    links: BTreeSet<usize>,
    deferred_frames: Vec<(usize, wire::Frame)>,
    frames: u64,
    bytes: u64,
}

#[derive(Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Tick(usize),
    Link(usize, usize),
    Frame(usize, usize, u64),
}

struct Fleet {
    now: u64,
    nodes: Vec<Node>,
    names: BTreeMap<SmolStr, usize>,
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    frames: BTreeMap<u64, wire::Frame>,
    count: u64,
    broken_pairs: BTreeSet<(usize, usize)>,
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
            broken_pairs: BTreeSet::new(),
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
            for seed in (0..SEED_COUNT).filter(|seed| *seed != node) {
                membership.add_seed(address(seed));
            }
            fleet.names.insert(incarnation.instance.clone(), node);
            fleet.nodes.push(Node {
                membership,
                incarnation,
                condition: Condition::Running,
                partition: 0,
                links: BTreeSet::new(),
                deferred_frames: Vec::new(),
                frames: 0,
                bytes: 0,
            });
            fleet.schedule(node as u64 * 37 % 1000, Event::Tick(node));
        }
        fleet
    }

    fn local_time(&self, node: usize) -> clock::Instant {
        clock::Instant(self.now + 1_000_000 * node as u64)
    }

    fn schedule(&mut self, time: u64, event: Event) {
        self.count += 1;
        self.queue.push(Reverse((time, self.count, event)));
    }

    fn can_reach(&self, from: usize, to: usize) -> bool {
        let pair = (from.min(to), from.max(to));
        self.nodes[from].partition == self.nodes[to].partition && !self.broken_pairs.contains(&pair)
    }

    fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self
            .queue
            .peek()
            .is_some_and(|Reverse((time, ..))| *time <= end)
        {
            let Some(Reverse((time, _, event))) = self.queue.pop() else {
                break;
            };
            self.now = time;
            match event {
                Event::Tick(node) => self.tick(node),
                Event::Link(from, to) => self.link(from, to),
                Event::Frame(from, to, frame) => {
                    let frame = self.frames.remove(&frame).expect("each frame arrives once");
                    self.receive(from, to, frame);
                }
            }
        }
        self.now = end;
    }

    /// Runs until `done` holds and returns the elapsed virtual time in milliseconds.
    fn run_until<F>(&mut self, limit_ms: u64, condition: &str, done: F) -> u64
    where
        F: Fn(&Self) -> bool,
    {
        let start = self.now;
        while !done(self) {
            assert!(
                self.now - start < limit_ms,
                "timed out after {limit_ms} ms waiting for: {condition}"
            );
            self.run(TICK_INTERVAL_MS);
        }
        println!(
            "{} instances: {condition} after {} ms",
            self.nodes.len(),
            self.now - start
        );
        self.now - start
    }

    fn tick(&mut self, node: usize) {
        self.schedule(self.now + TICK_INTERVAL_MS, Event::Tick(node));
        if self.nodes[node].condition != Condition::Running {
            return;
        }
        let deferred_frames = std::mem::take(&mut self.nodes[node].deferred_frames);
        for (from, frame) in deferred_frames {
            self.receive(from, node, frame);
        }
        let mut actions = Vec::new();
        let now = self.local_time(node);
        self.nodes[node].membership.tick(now, &mut actions);
        for action in actions {
            self.execute(node, action);
        }
    }

    fn execute(&mut self, node: usize, action: membership::Action) {
        match action {
            membership::Action::Connect { address: to, .. } => {
                let to = (0..self.nodes.len()).find(|other| address(*other) == to);
                let to = to.expect("each address belongs to an instance");
                self.schedule(self.now + 2, Event::Link(node, to));
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
        let refused = self.nodes[to].condition == Condition::Killed || !self.can_reach(from, to);
        if refused || !self.nodes[from].links.insert(to) {
            return;
        }
        self.nodes[to].links.insert(from);
        for (node, peer) in [(from, to), (to, from)] {
            let peer = self.nodes[peer].incarnation.clone();
            let now = self.local_time(node);
            self.nodes[node].membership.link_up(now, &peer);
        }
    }

    fn unlink(&mut self, from: usize, to: usize) {
        for (node, peer) in [(from, to), (to, from)] {
            let now = self.local_time(node);
            if self.nodes[node].links.remove(&peer) {
                let peer = self.nodes[peer].incarnation.clone();
                self.nodes[node].membership.link_down(now, &peer);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, frame: wire::Frame) {
        self.nodes[from].frames += 1;
        self.nodes[from].bytes += frame.encode().len() as u64;
        let lost = self.rng.random_bool(FRAME_LOSS_RATIO);
        if lost || !self.nodes[from].links.contains(&to) || !self.can_reach(from, to) {
            return;
        }
        let delay = self.rng.random_range(1..10);
        self.count += 1;
        self.frames.insert(self.count, frame);
        self.schedule(self.now + delay, Event::Frame(from, to, self.count));
    }

    fn receive(&mut self, from: usize, to: usize, frame: wire::Frame) {
        let now = self.local_time(to);
        let peer = self.nodes[from].incarnation.clone();
        match self.nodes[to].condition {
            Condition::Killed => return,
            Condition::Paused => return self.nodes[to].deferred_frames.push((from, frame)),
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
            other => panic!("unexpected frame: {other:?}"),
        };
        if let Some(answer) = answer {
            self.send(to, from, answer);
        }
    }

    fn set_condition(&mut self, node: usize, condition: Condition) {
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

    /// Returns whether all running instances believe an instance to be in this state.
    fn all_believe(&self, node: usize, state: member::State) -> bool {
        let name = &self.nodes[node].incarnation.instance;
        self.running()
            .all(|other| other.membership.state(name) == Some(state))
    }

    /// Returns whether every running instance sees exactly the running instances as alive.
    fn all_agree(&self) -> bool {
        let running = self.running().count();
        self.running().all(|node| {
            let alive = node.membership.members();
            alive
                .filter(|update| update.state == member::State::Alive)
                .count()
                == running
        })
    }

    /// Creates a fleet in its steady state, in which each instance knows all others.
    fn converged(size: usize) -> Self {
        let mut fleet = Self::new(size);
        let all: Vec<_> = fleet
            .nodes
            .iter()
            .flat_map(|node| node.membership.members())
            .cloned()
            .collect();
        for node in 0..size {
            let now = fleet.local_time(node);
            fleet.nodes[node].membership.handle_members(now, &all);
        }
        fleet.run(60_000);
        assert!(fleet.all_agree());
        fleet
    }

    /// Measures the traffic that instances send per second: mean frames, mean bytes and maximum bytes.
    fn measure_traffic(&mut self, seconds: u64) -> (f64, f64, f64) {
        for node in &mut self.nodes {
            (node.frames, node.bytes) = (0, 0);
        }
        self.run(seconds * 1000);
        let count = (self.nodes.len() as u64 * seconds) as f64;
        let frames = self.nodes.iter().map(|node| node.frames).sum::<u64>() as f64 / count;
        let bytes = self.nodes.iter().map(|node| node.bytes).sum::<u64>() as f64 / count;
        let max_bytes = self.nodes.iter().map(|node| node.bytes).max().unwrap_or(0);
        let max_bytes = max_bytes as f64 / seconds as f64;
        println!(
            "{} instances: {frames:.1} frames/s, {bytes:.0} B/s, maximum {max_bytes:.0} B/s sent",
            self.nodes.len()
        );
        (frames, bytes, max_bytes)
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
    traffic_is_bounded_and_death_is_detected_at_16: check_traffic_and_death_detection(16);
    traffic_is_bounded_and_death_is_detected_at_256: check_traffic_and_death_detection(256);
    traffic_is_bounded_and_death_is_detected_at_1100: check_traffic_and_death_detection(1100);
}

/// An instance is killed. Until all instances know, some still treat it as responsible for its requests,
/// and its callers wait. If detection cost more in a larger fleet, the fleet could not grow.
fn check_traffic_and_death_detection(size: usize) {
    const MAX_FRAMES_PER_SECOND: f64 = 20.0;
    const MAX_BYTES_PER_SECOND: f64 = 1500.0;
    const DEATH_TIMEOUT_MS: u64 = 15_000;
    let mut fleet = Fleet::converged(size);
    let (frames, bytes, max_bytes) = fleet.measure_traffic(30);
    assert!(frames < MAX_FRAMES_PER_SECOND, "{frames} frames/s");
    assert!(
        bytes < MAX_BYTES_PER_SECOND && max_bytes < 2.0 * MAX_BYTES_PER_SECOND,
        "{bytes}, {max_bytes} B/s"
    );
    fleet.set_condition(7, Condition::Killed);
    fleet.run_until(
        DEATH_TIMEOUT_MS,
        "all instances know of the death",
        |fleet| fleet.all_believe(7, member::State::Dead),
    );
}

/// All instances start at the same time, as after a power failure, and know three seed addresses. If this
/// took long, no instance would be ready for long.
#[test]
fn members_converge_after_simultaneous_start() {
    const START_TIMEOUT_MS: u64 = 60_000;
    let mut fleet = Fleet::new(256);
    fleet.run_until(
        START_TIMEOUT_MS,
        "all instances know each other",
        Fleet::all_agree,
    );
}

/// The connection between two halves of a fleet is cut for a minute, and each half declares the other dead.
/// If a half did not notice the repair, it would assign the work of the other half to its own members
/// forever.
#[test]
fn partition_heals() {
    const HEAL_TIMEOUT_MS: u64 = 60_000;
    let mut fleet = Fleet::converged(128);
    for node in 0..64 {
        fleet.nodes[node].partition = 1;
    }
    fleet.run_until(30_000, "each half declares the other dead", |fleet| {
        let count = |node: &Node| node.membership.alive().count();
        fleet.running().all(|node| count(node) == 64)
    });
    fleet.run(60_000);
    for node in 0..64 {
        fleet.nodes[node].partition = 0;
    }
    fleet.run_until(HEAL_TIMEOUT_MS, "the halves are merged", Fleet::all_agree);
    let (_, _, max_bytes) = fleet.measure_traffic(10);
    assert!(max_bytes < 22_000.0);
}

/// A process is paused for less than the dead timeout. It is suspected, resumes and refutes the suspicion.
/// Until then it stays eligible, so that a short pause moves no work.
#[test]
fn paused_process_refutes_suspicion() {
    let mut fleet = Fleet::converged(64);
    fleet.set_condition(5, Condition::Paused);
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
    fleet.set_condition(5, Condition::Running);
    for _ in 0..150 {
        fleet.run(TICK_INTERVAL_MS);
        let dead = |node: &Node| node.membership.state("a5") == Some(member::State::Dead);
        assert!(!fleet.running().any(dead));
    }
    assert!(fleet.all_agree());
}

/// A process is paused for a minute, is declared dead and resumes without noticing. It must not declare all
/// others dead, and must become alive for them again.
#[test]
fn process_paused_beyond_dead_timeout_is_alive_again() {
    let mut fleet = Fleet::converged(64);
    fleet.set_condition(5, Condition::Paused);
    fleet.run(60_000);
    assert!(fleet.all_believe(5, member::State::Dead));
    fleet.set_condition(5, Condition::Running);
    fleet.run_until(15_000, "the paused process is alive for all", |fleet| {
        let alive = fleet.nodes[5].membership.alive().count();
        assert!(alive >= 63, "the resumed process declared others dead");
        fleet.all_believe(5, member::State::Alive)
    });
}

/// The paths from one instance to half of the others are broken for minutes. Watchers on the broken paths
/// suspect it repeatedly. No instance may declare it dead, and the gossip about it must stay small.
#[test]
fn broken_paths_do_not_cause_death() {
    const MAX_REFUTATIONS: u32 = 40;
    let mut fleet = Fleet::converged(16);
    for other in 8..16 {
        fleet.broken_pairs.insert((0, other));
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
        fleet.run(TICK_INTERVAL_MS);
        let dead = |node: &Node| node.membership.state("a0") == Some(member::State::Dead);
        assert!(!fleet.running().any(dead), "after {} ms", fleet.now);
    }
    let refutations = refutation(&fleet) - before;
    println!("{refutations} refutations in three minutes");
    assert!(refutations < MAX_REFUTATIONS);
}

/// An instance is replaced by a new process of the same name while updates about the old process still
/// circulate. An instance that kept the old entry would send to a process that no longer exists.
#[test]
fn later_incarnation_replaces_earlier_one() {
    let mut fleet = Fleet::converged(16);
    let now = fleet.local_time(3);
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

/// The platform's list lags: it misses a live instance and contains one that is gone. Neither may change
/// the members that the instances know; the listed instance is only dialled.
#[test]
fn lagging_list_does_not_change_members() {
    let mut fleet = Fleet::converged(16);
    let now = fleet.local_time(0);
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
        let now = now.after(std::time::Duration::from_millis(step * TICK_INTERVAL_MS));
        fleet.nodes[0].membership.tick(now, &mut actions);
    }
    let is_dial_of_gone = |action: &membership::Action| matches!(action, membership::Action::Connect { instance: Some(name), .. } if name == "gone");
    assert!(actions.iter().any(is_dial_of_gone));
    assert_eq!(fleet.nodes[0].membership.state("gone"), None);
}

/// Cold requests are sent to a group's steward, which is rarely a neighbour. The link to it must exist
/// while it is the steward and close afterwards, or links would accumulate with each change of steward.
#[test]
fn wanted_link_is_kept_while_wanted() {
    let mut fleet = Fleet::converged(64);
    let remote = (1..64).find(|other| !fleet.nodes[0].links.contains(other));
    let remote = remote.expect("an instance is not linked with all members");
    let steward = fleet.nodes[remote].incarnation.instance.clone();
    fleet.nodes[0].membership.set_wanted_links([steward]);
    fleet.run(2_000);
    assert!(fleet.nodes[0].links.contains(&remote));
    fleet.run(60_000);
    assert!(fleet.nodes[0].links.contains(&remote));
    fleet.nodes[0].membership.set_wanted_links([]);
    fleet.run(20_000);
    assert!(!fleet.nodes[0].links.contains(&remote));
}

/// An instance shuts down as planned. It receives no new work as soon as the others learn of it, although
/// it keeps responding until its work is done.
#[test]
fn leaving_instance_is_not_eligible() {
    let mut fleet = Fleet::converged(64);
    fleet.nodes[5].membership.leave();
    fleet.run_until(6_000, "all instances know of the shutdown", |fleet| {
        fleet.all_believe(5, member::State::Leaving)
    });
    assert!(
        fleet
            .running()
            .all(|node| node.membership.alive().all(|name| name != "a5"))
    );
    fleet.set_condition(5, Condition::Killed);
    fleet.run_until(20_000, "all instances know of the death", |fleet| {
        fleet.all_believe(5, member::State::Dead)
    });
}
