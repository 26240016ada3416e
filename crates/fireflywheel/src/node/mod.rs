//! The core of one instance: events in, effects out.
//!
//! A node does no input or output and reads no clock. [`Node::step`] takes the time and one event and adds
//! what is to be done to a list of effects; the daemon round it carries them out and reports back by
//! further events.
//!
//! * `platform`: reads the log into the ledger, and writes to it.
//! * `checkpoints`: appends checkpoints of the ledger.
//! * `servers`: what the list and the reports tell of backend servers.
//! * `peers`: membership, hand-over of configuration and state.
//! * `stewards`: takes groups, drives their stewards, sends their orders.
//! * `admission`: takes requests in, or refuses them at once.
//! * `limits`: limits of tenants and classes across instances.
//! * `lanes`: queues, candidates, dispatch.
//! * `cold`: what is asked of stewards; `usage`: what they are told.
//! * `attempts`: outcomes, retries, final answers.
//! * `claims`: idempotency keys.
//! * `stop`: a planned stop.

mod admission;
mod attempts;
mod checkpoints;
mod claims;
mod cold;
mod lanes;
mod limits;
mod peers;
mod platform;
mod servers;
mod stewards;
mod stop;
mod usage;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use slotmap::SlotMap;
use smol_str::{SmolStr, format_smolstr};

use crate::{
    claim, clock, document, effect, event, item, ledger, membership, record, request, retry_budget,
    right, settings, status,
};

/// How often [`event::Event::Tick`] is due.
pub const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Between two rounds over all members.
const SLOW_TICK: Duration = Duration::from_millis(100);

/// What a node is told at its start.
#[derive(Clone, Debug)]
pub struct Options {
    /// This process.
    pub me: record::Incarnation,
    /// Where peers reach it.
    pub address: SmolStr,
    /// Its failure domain.
    pub failure_domain: SmolStr,
    /// Peer addresses from the settings.
    pub seeds: Vec<SmolStr>,
    /// Requests that wait at one instance for one model or route.
    pub max_queue: usize,
    /// Times of membership and of the platform.
    pub timing: Timing,
    /// Decides ties; any number, another on each instance.
    pub seed: u64,
}

/// Times, as in the settings' `[timing]`.
#[derive(Clone, Debug)]
pub struct Timing {
    /// Between pings to one peer.
    pub ping_interval: Duration,
    /// Without an answer until a peer is suspected.
    pub suspect_timeout: Duration,
    /// From suspicion until it is taken for dead.
    pub dead_timeout: Duration,
    /// From not ready until new work is refused at a planned stop: the balancer's delay.
    pub drain_delay: Duration,
    /// Until a planned stop ends with what it has.
    pub drain_limit: Duration,
    /// A backend server absent from the list for so long is gone.
    pub gone_after: Duration,
    /// Records between checkpoints.
    pub checkpoint_records: u64,
    /// Time between checkpoints at most.
    pub checkpoint_interval: Duration,
}

impl Options {
    /// What the settings say, for this process at this peer address.
    #[must_use]
    pub fn new(
        settings: &settings::Settings,
        me: record::Incarnation,
        address: SmolStr,
        seed: u64,
    ) -> Self {
        let timing = &settings.timing;
        Self {
            me,
            address,
            failure_domain: settings.instance.failure_domain.clone(),
            seeds: settings
                .peers
                .seeds
                .iter()
                .map(|seed| SmolStr::new(seed.to_string()))
                .collect(),
            max_queue: settings.limits.queue,
            timing: Timing {
                ping_interval: timing.ping_interval,
                suspect_timeout: timing.suspect_timeout,
                dead_timeout: timing.dead_timeout,
                drain_delay: timing.drain_delay,
                drain_limit: timing.drain_limit,
                gone_after: timing.gone_after,
                checkpoint_records: timing.checkpoint_records,
                checkpoint_interval: timing.checkpoint_interval,
            },
            seed,
        }
    }
}

/// The configuration that this instance acts by.
#[derive(Clone, Debug, Default)]
struct Config {
    version: u64,
    text: Arc<str>,
    document: Arc<document::Document>,
}

/// One instance.
#[derive(Debug)]
pub struct Node {
    options: Options,
    seed: u64,
    log: platform::Log,
    config: Config,
    membership: membership::Membership,
    peers: BTreeMap<SmolStr, peers::Peer>,
    ping_numbers: u64,
    /// Instances that are linked beyond the ring.
    links_wanted: BTreeSet<SmolStr>,
    /// Whether the peers were last told that the log is read here.
    log_told: bool,
    groups: BTreeMap<SmolStr, lanes::Group>,
    lanes: SlotMap<lanes::Key, lanes::Lane>,
    lane_names: BTreeMap<lanes::Name, lanes::Key>,
    requests: SlotMap<request::Key, admission::Request>,
    limits: limits::Limits,
    /// Requests of each class that wait in a queue here.
    waiting: BTreeMap<SmolStr, usize>,
    claims: BTreeMap<claim::Key, claims::Waiters>,
    /// Placements that a steward called ready, and those that an engine denied, until when.
    ready_hints: BTreeMap<right::Key, clock::Instant>,
    denied: BTreeMap<right::Key, clock::Instant>,
    stewards: stewards::Stewards,
    usage_sent: clock::Instant,
    budget: retry_budget::Budget,
    stop: Option<stop::Stop>,
    /// Rises with everything that a lane's candidates are worked out from.
    placements: u64,
    /// Items that each group's steward was told to be in use.
    usage_told: BTreeMap<SmolStr, BTreeSet<item::Item>>,
    /// Instances that the platform's list names; `None` until it was read.
    routers_listed: Option<u32>,
    /// Backend servers that are asked for reports.
    watched: Vec<SmolStr>,
    notices: BTreeSet<String>,
    slow_at: clock::Instant,
}

impl Node {
    /// A node that knows nothing yet.
    #[must_use]
    pub fn new(options: Options) -> Self {
        let timing = &options.timing;
        let membership_options = membership::Options {
            ping_interval: timing.ping_interval,
            suspect_timeout: timing.suspect_timeout,
            dead_timeout: timing.dead_timeout,
            ..membership::Options::default()
        };
        let membership = membership::Membership::new(
            options.me.clone(),
            options.address.clone(),
            options.failure_domain.clone(),
            membership_options,
        );
        Self {
            seed: options.seed,
            log: platform::Log::new(options.me.clone()),
            config: Config::default(),
            membership,
            peers: BTreeMap::new(),
            ping_numbers: 0,
            links_wanted: BTreeSet::new(),
            log_told: false,
            groups: BTreeMap::new(),
            lanes: SlotMap::with_key(),
            lane_names: BTreeMap::new(),
            requests: SlotMap::with_key(),
            limits: limits::Limits::default(),
            waiting: BTreeMap::new(),
            claims: BTreeMap::new(),
            ready_hints: BTreeMap::new(),
            denied: BTreeMap::new(),
            stewards: stewards::Stewards::default(),
            usage_sent: clock::Instant::default(),
            budget: retry_budget::Budget::new(
                clock::Instant::default(),
                retry_budget::Options::default(),
            ),
            stop: None,
            placements: 1,
            usage_told: BTreeMap::new(),
            routers_listed: None,
            watched: Vec::new(),
            notices: BTreeSet::new(),
            slow_at: clock::Instant::default(),
            options,
        }
    }

    /// The first effects: what to read and whom to reach.
    pub fn start(&mut self, now: clock::Instant, out: &mut Vec<effect::Effect>) {
        for seed in self.options.seeds.clone() {
            self.membership.add_seed(seed);
        }
        out.push(effect::Effect::ReadFrom(0));
        self.tick_peers(now, out);
    }

    /// Takes one event and gives its effects.
    pub fn step(
        &mut self,
        now: clock::Instant,
        event: event::Event,
        out: &mut Vec<effect::Effect>,
    ) {
        match event {
            event::Event::Tick => self.tick(now, out),
            event::Event::LogRead {
                first,
                next,
                records,
            } => self.read(now, first, next, records, out),
            event::Event::LogReadFailed => self.read_failed(now),
            event::Event::Appended(answer) => self.appended(now, answer, out),
            event::Event::InstancesListed(entries) => self.listed(now, &entries, out),
            event::Event::LinkUp(update) => self.link_up(now, &update, out),
            event::Event::LinkDown(peer) => self.link_down(now, &peer),
            event::Event::Frame { from, frame } => self.frame(now, &from, frame, out),
            event::Event::ReportReceived { server, report } => {
                self.reported(now, &server, report, out);
            }
            event::Event::ReportFailed { server } => self.unreported(&server),
            event::Event::OrderAnswered { attempt_id, answer } => {
                self.ordered(now, attempt_id, &answer, out);
            }
            event::Event::AttemptUpdated { request, attempt } => {
                self.attempted(now, request, attempt, out);
            }
            event::Event::CallerGone(request) => self.abandoned(now, request, out),
            event::Event::Stop => self.begin_stop(now),
        }
    }

    fn tick(&mut self, now: clock::Instant, out: &mut Vec<effect::Effect>) {
        if now.since(self.slow_at) >= SLOW_TICK {
            self.slow_at = now;
            self.tick_slowly();
        }
        self.tick_peers(now, out);
        self.tick_limits(now, out);
        self.tick_lanes(now, out);
        self.tick_stewards(now, out);
        self.tick_log(now, out);
        self.tick_stop(now, out);
    }

    /// What walks over all members: neither urgent nor cheap enough for every tick.
    fn tick_slowly(&mut self) {
        self.keep_wanted_links();
        self.count_sharers();
        self.forget_moved_homes();
    }

    /// Whether new work may come.
    ///
    /// # Errors
    ///
    /// Why it may not, in a sentence.
    pub fn check_ready(&self) -> Result<(), SmolStr> {
        if self.stop.is_some() {
            return Err(SmolStr::new_static("a planned stop is in progress"));
        }
        if let Some(reason) = &self.log.halted {
            return Err(reason.clone());
        }
        let newest = self.newest_heard();
        if self.config.version < newest || self.config.version == 0 {
            return Err(SmolStr::new(format!(
                "holds version {} of the configuration, the newest heard of is {newest}; the log {}",
                self.config.version,
                if self.log.reading {
                    "is read"
                } else {
                    "can't be read"
                },
            )));
        }
        if self.log.ledger.is_none() {
            return Err(SmolStr::new(self.log.waiting_for()));
        }
        if self.log.reading && !self.log.caught_up {
            let (next, end) = (self.log.next(), self.log.end);
            return Err(format_smolstr!("follows the log, at {next} of {end}"));
        }
        Ok(())
    }

    /// The version of the configuration in force here; 0 for none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.config.version
    }

    /// The configuration in force here.
    #[must_use]
    pub fn document(&self) -> &Arc<document::Document> {
        &self.config.document
    }

    /// How this instance is, for operators.
    #[must_use]
    pub fn status(&self) -> status::Status {
        let ready = self.check_ready();
        let ledger = self.log.ledger.as_ref();
        let stewards = ledger.into_iter().flat_map(ledger::Ledger::stewards);
        let rights = ledger.into_iter().flat_map(ledger::Ledger::rights);
        status::Status {
            instance: self.options.me.instance.clone(),
            incarnation: self.options.me.number,
            ready: ready.is_ok(),
            reason: ready.err().unwrap_or_default(),
            version: self.config.version,
            log: status::Log {
                reading: self.log.reading,
                next: self.log.next(),
            },
            stewards: stewards
                .map(|(group, steward)| status::Steward {
                    group: group.clone(),
                    by: steward.by.instance.clone(),
                    epoch: steward.epoch,
                })
                .collect(),
            rights: rights
                .map(|(key, right)| status::Right {
                    server: key.server.clone(),
                    item: key.item.clone(),
                    state: SmolStr::new_static(right.state.as_str()),
                    pins: right.pins.len(),
                    memory_mb: right.memory_mb,
                })
                .collect(),
            members: self
                .membership
                .members()
                .map(|member| status::Member {
                    instance: member.by.instance.clone(),
                    state: member.state,
                })
                .collect(),
            queues: self
                .lanes
                .values()
                .map(|lane| status::Queue {
                    model: lane.label(),
                    waiting: lane.queue.len(),
                })
                .collect(),
        }
    }

    /// What a request in progress is for.
    #[must_use]
    pub fn target(&self, key: request::Key) -> Option<request::Target> {
        self.requests
            .get(key)
            .map(|request| request.arrival.target.clone())
    }

    /// Whether what a target needs is loaded nowhere, as far as this instance knows.
    #[must_use]
    pub fn waits_for_load(&self, target: &request::Target) -> bool {
        let request::Target::Model { model, adapter } = target else {
            return false;
        };
        let name = lanes::Name::Model(model.clone(), adapter.clone());
        let lane = self
            .lane_names
            .get(&name)
            .and_then(|key| self.lanes.get(*key));
        lane.is_some_and(|lane| lane.cold_since.is_some())
    }

    /// Requests that have no final answer yet.
    #[must_use]
    pub fn requests_in_progress(&self) -> usize {
        self.requests.len()
    }

    /// Tells an operator something, once.
    fn notice(&mut self, alarm: bool, text: String, out: &mut Vec<effect::Effect>) {
        if self.notices.insert(text.clone()) {
            out.push(effect::Effect::Notice(effect::Notice { alarm, text }));
        }
    }

    /// The next number of a sequence that is another on each instance.
    fn draw(&mut self) -> u64 {
        // Weyl sequence through an avalanche, as in SplitMix64; only ties are decided by it.
        self.seed = self.seed.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mixed = (self.seed ^ (self.seed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed ^ (mixed >> 31)
    }
}
