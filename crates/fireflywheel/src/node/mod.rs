//! The state machine of one instance: it takes events and returns effects.
//!
//! A node performs no I/O and reads no clock. [`Node::step`] takes the current time and one event, and
//! appends the actions to perform to a list of effects. The daemon performs them and reports the results as
//! further events.
//!
//! * `platform`: reads the log into the ledger, and appends to the log.
//! * `checkpoints`: appends checkpoints of the ledger.
//! * `servers`: keeps track of backend servers by the platform's list and their load reports.
//! * `peers`: handles membership, and transfers configuration and ledger state between instances.
//! * `stewards`: claims groups, runs their stewards and sends their orders.
//! * `admission`: admits requests or refuses them at once.
//! * `limits`: enforces the limits of tenants and classes across instances.
//! * `queues`: queues requests, selects candidate servers and dispatches.
//! * `demand`: asks stewards for replicas; `usage`: reports the use of items to them.
//! * `attempts`: handles results of attempts, retries and final answers.
//! * `claims`: handles idempotency keys.
//! * `stop`: performs a planned stop.

mod admission;
mod attempts;
mod checkpoints;
mod claims;
mod demand;
mod limits;
mod peers;
mod platform;
mod queues;
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

/// Interval between two [`event::Event::Tick`] events.
pub const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Interval between two runs of [`Node::tick_slowly`].
const SLOW_TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Options of a node.
#[derive(Clone, Debug)]
pub struct Options {
    /// The instance name and incarnation of this process.
    pub incarnation: record::Incarnation,
    /// The address at which peers reach this instance.
    pub address: SmolStr,
    /// The failure domain of this instance.
    pub failure_domain: SmolStr,
    /// Peer addresses from the settings, used to join the cluster.
    pub seeds: Vec<SmolStr>,
    /// Maximum number of requests that wait at this instance for one model or route.
    pub max_queue: usize,
    /// Intervals and timeouts.
    pub timing: Timing,
    /// Seed of the random draw of backend servers to compare. Any value works, but each instance needs a different
    /// one, so that instances don't all draw the same servers.
    pub seed: u64,
}

/// Intervals and timeouts, as in the section `[timing]` of the settings.
#[derive(Clone, Debug)]
pub struct Timing {
    /// Interval between pings to one peer.
    pub ping_interval: Duration,
    /// Time without an answer after which a peer is suspected.
    pub suspect_timeout: Duration,
    /// Time from suspicion until a peer is considered dead.
    pub dead_timeout: Duration,
    /// Time at a planned stop between reporting not ready and refusing new requests. It covers the delay
    /// with which the load balancer notices.
    pub drain_delay: Duration,
    /// Time after which a planned stop ends even if requests are still in progress.
    pub drain_limit: Duration,
    /// Time for which a backend server has to be absent from the platform's list until it counts as gone.
    pub absence_timeout: Duration,
    /// Number of records between checkpoints.
    pub checkpoint_records: u64,
    /// Maximum time between checkpoints.
    pub checkpoint_interval: Duration,
}

impl Options {
    /// Creates the options of this process from its settings. `address` is its peer address.
    #[must_use]
    pub fn new(
        settings: &settings::Settings,
        incarnation: record::Incarnation,
        address: SmolStr,
        seed: u64,
    ) -> Self {
        let timing = &settings.timing;
        Self {
            incarnation,
            address,
            failure_domain: settings.instance.failure_domain.clone(),
            seeds: settings
                .peers
                .seeds
                .iter()
                .map(|seed| SmolStr::new(seed.to_string()))
                .collect(),
            max_queue: settings.limits.max_queue,
            timing: Timing {
                ping_interval: timing.ping_interval,
                suspect_timeout: timing.suspect_timeout,
                dead_timeout: timing.dead_timeout,
                drain_delay: timing.drain_delay,
                drain_limit: timing.drain_limit,
                absence_timeout: timing.absence_timeout,
                checkpoint_records: timing.checkpoint_records,
                checkpoint_interval: timing.checkpoint_interval,
            },
            seed,
        }
    }
}

/// The configuration in force at this instance.
#[derive(Clone, Debug, Default)]
struct Config {
    version: u64,
    text: Arc<str>,
    document: Arc<document::Document>,
}

/// The state of one instance.
#[derive(Debug)]
pub struct Node {
    options: Options,
    random_state: u64,
    log: platform::Log,
    config: Config,
    membership: membership::Membership,
    peers: BTreeMap<SmolStr, peers::Peer>,
    unscheduled_pings: u64,
    /// Instances to which links are kept in addition to the ring neighbours.
    wanted_links: BTreeSet<SmolStr>,
    /// Whether the log was usable here in the last announcement to the peers.
    log_access_announced: bool,
    groups: BTreeMap<SmolStr, queues::Group>,
    queues: SlotMap<queues::Key, queues::TargetQueue>,
    queue_keys: BTreeMap<queues::Name, queues::Key>,
    requests: SlotMap<request::Key, admission::Request>,
    limits: limits::Limits,
    /// Number of queued requests at this instance by class.
    queued_by_class: BTreeMap<SmolStr, usize>,
    claims: BTreeMap<claim::Key, claims::KeyRequests>,
    /// Keys whose claim may be in the log although its request was refused as not run.
    abandoned_claims: BTreeSet<claim::Key>,
    /// Placements that a steward reported as ready before the ledger does, with the time of that report.
    ready_hints: BTreeMap<right::Key, clock::Instant>,
    /// Placements that receive no requests because their engine answered that the item isn't loaded or that it
    /// is full, with the end of that suspension.
    suspended_until: BTreeMap<right::Key, clock::Instant>,
    stewards: stewards::Stewards,
    usage_reported_at: clock::Instant,
    retry_budget: retry_budget::Budget,
    stop: Option<stop::Stop>,
    /// Revision of everything from which the candidates of queues are computed.
    placements_revision: u64,
    /// Items that were last reported as in use to the steward of each group.
    reported_in_use: BTreeMap<SmolStr, BTreeSet<item::Item>>,
    /// Number of instances on the platform's list; `None` until the list was read.
    listed_instances: Option<u32>,
    /// Addresses of the backend servers whose load reports are polled.
    polled_servers: Vec<SmolStr>,
    emitted_notices: BTreeSet<String>,
    last_slow_tick: clock::Instant,
}

impl Node {
    /// Creates a node without configuration, ledger or known peers.
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
            options.incarnation.clone(),
            options.address.clone(),
            options.failure_domain.clone(),
            membership_options,
        );
        Self {
            random_state: options.seed,
            log: platform::Log::new(options.incarnation.clone()),
            config: Config::default(),
            membership,
            peers: BTreeMap::new(),
            unscheduled_pings: 0,
            wanted_links: BTreeSet::new(),
            log_access_announced: false,
            groups: BTreeMap::new(),
            queues: SlotMap::with_key(),
            queue_keys: BTreeMap::new(),
            requests: SlotMap::with_key(),
            limits: limits::Limits::default(),
            queued_by_class: BTreeMap::new(),
            claims: BTreeMap::new(),
            abandoned_claims: BTreeSet::new(),
            ready_hints: BTreeMap::new(),
            suspended_until: BTreeMap::new(),
            stewards: stewards::Stewards::default(),
            usage_reported_at: clock::Instant::default(),
            retry_budget: retry_budget::Budget::new(
                clock::Instant::default(),
                retry_budget::Options::default(),
            ),
            stop: None,
            placements_revision: 1,
            reported_in_use: BTreeMap::new(),
            listed_instances: None,
            polled_servers: Vec::new(),
            emitted_notices: BTreeSet::new(),
            last_slow_tick: clock::Instant::default(),
            options,
        }
    }

    /// Starts the node: its first effects read the log and connect to peers.
    pub fn start(&mut self, now: clock::Instant, out: &mut Vec<effect::Effect>) {
        for seed in self.options.seeds.clone() {
            self.membership.add_seed(seed);
        }
        out.push(effect::Effect::ReadFrom(0));
        self.tick_peers(now, out);
    }

    /// Handles one event and appends its effects to `out`.
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
            } => self.handle_log_read(now, first, next, records, out),
            event::Event::LogReadFailed => self.handle_log_read_failure(now),
            event::Event::Appended(answer) => self.handle_append_answer(now, answer, out),
            event::Event::InstancesListed(entries) => self.handle_list(now, &entries, out),
            event::Event::LinkUp(update) => self.handle_link_up(now, &update, out),
            event::Event::LinkDown(peer) => self.handle_link_down(now, &peer),
            event::Event::Frame { from, frame } => self.handle_frame(now, &from, frame, out),
            event::Event::ReportReceived { server, report } => {
                self.handle_report(now, &server, report, out);
            }
            event::Event::ReportFailed { server } => self.handle_report_failure(&server),
            event::Event::OrderAnswered { attempt_id, answer } => {
                self.handle_order_answer(now, attempt_id, &answer, out);
            }
            event::Event::AttemptUpdated { request, attempt } => {
                self.handle_attempt(now, request, attempt, out);
            }
            event::Event::CallerGone(request) => self.handle_caller_gone(now, request, out),
            event::Event::Stop => self.begin_stop(now),
        }
    }

    fn tick(&mut self, now: clock::Instant, out: &mut Vec<effect::Effect>) {
        if now.since(self.last_slow_tick) >= SLOW_TICK_INTERVAL {
            self.last_slow_tick = now;
            self.tick_slowly();
        }
        self.tick_peers(now, out);
        self.tick_limits(now, out);
        self.tick_queues(now, out);
        self.tick_stewards(now, out);
        self.tick_log(now, out);
        self.tick_stop(now, out);
    }

    /// Runs tasks that iterate over all members. They are not urgent, and too expensive for every tick.
    fn tick_slowly(&mut self) {
        self.update_wanted_links();
        self.count_instances();
        self.remove_moved_lenders();
    }

    /// Checks whether this instance may receive new requests.
    ///
    /// # Errors
    ///
    /// Returns the reason, in a sentence, if it may not.
    pub fn check_ready(&self) -> Result<(), SmolStr> {
        if self.stop.is_some() {
            return Err(SmolStr::new_static("a planned stop is in progress"));
        }
        if let Some(reason) = &self.log.halted {
            return Err(reason.clone());
        }
        let newest = self.newest_known_version();
        if self.config.version < newest || self.config.version == 0 {
            return Err(SmolStr::new(format!(
                "holds version {} of the configuration, the newest heard of is {newest}; the log {}",
                self.config.version,
                if self.log.readable {
                    "is read"
                } else {
                    "can't be read"
                },
            )));
        }
        if self.log.ledger.is_none() {
            return Err(SmolStr::new(self.log.waiting_for()));
        }
        if self.log.readable && !self.log.caught_up {
            let (next, end) = (self.log.next(), self.log.end);
            return Err(format_smolstr!("follows the log, at {next} of {end}"));
        }
        Ok(())
    }

    /// Returns the version of the configuration in force at this instance; 0 for none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.config.version
    }

    /// Returns the configuration in force at this instance.
    #[must_use]
    pub fn document(&self) -> &Arc<document::Document> {
        &self.config.document
    }

    /// Returns the status of this instance for operators.
    #[must_use]
    pub fn status(&self) -> status::Status {
        let ready = self.check_ready();
        let ledger = self.log.ledger.as_ref();
        let stewards = ledger.into_iter().flat_map(ledger::Ledger::stewards);
        let rights = ledger.into_iter().flat_map(ledger::Ledger::rights);
        status::Status {
            instance: self.options.incarnation.instance.clone(),
            incarnation: self.options.incarnation.number,
            ready: ready.is_ok(),
            reason: ready.err().unwrap_or_default(),
            version: self.config.version,
            log: status::Log {
                readable: self.log.readable,
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
                .queues
                .values()
                .map(|queue| status::Queue {
                    model: queue.label(),
                    waiting: queue.waiting.len(),
                })
                .collect(),
        }
    }

    /// Returns the target of a request in progress.
    #[must_use]
    pub fn target(&self, key: request::Key) -> Option<request::Target> {
        self.requests
            .get(key)
            .map(|request| request.arrival.target.clone())
    }

    /// Returns whether requests for a target wait for a load, because as far as this instance knows the
    /// target's item is loaded on no backend server.
    #[must_use]
    pub fn waits_for_load(&self, target: &request::Target) -> bool {
        let request::Target::Model { model, adapter } = target else {
            return false;
        };
        let name = queues::Name::Model(model.clone(), adapter.clone());
        let queue = self
            .queue_keys
            .get(&name)
            .and_then(|key| self.queues.get(*key));
        queue.is_some_and(|queue| queue.cold_since.is_some())
    }

    /// Returns the number of requests without a final answer.
    #[must_use]
    pub fn requests_in_progress(&self) -> usize {
        self.requests.len()
    }

    /// Emits a notice to operators, unless the same text was emitted before.
    fn notify_operator(&mut self, alarm: bool, text: String, out: &mut Vec<effect::Effect>) {
        if self.emitted_notices.insert(text.clone()) {
            out.push(effect::Effect::Notice(effect::Notice { alarm, text }));
        }
    }

    /// Returns the next pseudo-random number. The sequence depends on the seed of this instance.
    fn next_random(&mut self) -> u64 {
        // A Weyl sequence with a mixing function, as in SplitMix64. It is only used to draw backend servers.
        self.random_state = self.random_state.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mixed =
            (self.random_state ^ (self.random_state >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed ^ (mixed >> 31)
    }
}
