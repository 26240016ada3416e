//! The state behind a node's lock.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use fireflywheel::clock;
use fireflywheel::fleet::adaptive_timeout;
use fireflywheel::fleet::announcement;
use fireflywheel::fleet::availability;
use fireflywheel::fleet::backoff;
use fireflywheel::fleet::config;
use fireflywheel::fleet::config::{history, update};
use fireflywheel::fleet::directory;
use fireflywheel::fleet::era::{Era, Position};
use fireflywheel::fleet::frame;
use fireflywheel::fleet::limit::gate as limit;
use fireflywheel::fleet::load;
use fireflywheel::fleet::organisation;
use fireflywheel::fleet::quota::gate;
use fireflywheel::fleet::reach;
use fireflywheel::fleet::retry_budget;
use fireflywheel::fleet::returning;
use fireflywheel::fleet::routing;
use fireflywheel::fleet::scheduling;
use fireflywheel::fleet::server;
use fireflywheel::fleet::settings;
use fireflywheel::fleet::size;
use fireflywheel::fleet::speed;
use fireflywheel::fleet::subscription;
use smol_str::SmolStr;

use super::{ConfigSource, QueueKey};
use super::{origin, path, prefix, quarantine};

/// Number of instances assumed to share limits until it is known: with too many, each instance's part is only
/// too small.
pub(super) const ASSUMED_INSTANCES: usize = 24;

/// Time after the steward's last frame until entries of the directory are as recent as that frame: two
/// heartbeats and the time until the entries are read.
pub(super) const DIRECTORY_CATCH_UP_TIME: Duration = Duration::from_millis(1600);

/// How long to wait for the steward to say which engines hold a model.
const SUBSCRIBE_TIMEOUT: Duration = Duration::from_millis(400);

/// A server that announces when it will be gone receives no requests for this long before that.
pub(super) const LEAVING_MARGIN: Duration = Duration::from_millis(300);

/// Maximum number of queues whose demand is kept for callers that were told to come back.
const MAX_KEPT_QUEUES: usize = 64;

#[derive(Debug)]
pub(super) struct State {
    pub(super) configs: history::History,
    /// The latest configuration version that a steward has announced.
    pub(super) announced_config: u64,
    /// Since when a later version than that of the configuration in force is known.
    pub(super) config_behind_since: Option<clock::Instant>,
    /// The position up to which the store's log of configurations has been read, by this instance or by the sender of
    /// the configuration.
    pub(super) config_read_to: Option<Position>,
    pub(super) servers: BTreeMap<SmolStr, ServerState>,
    /// Which decisions under load are in force.
    pub(super) parts: scheduling::Parts,
    /// What is known of the speed of servers.
    pub(super) speeds: speed::Book,
    /// Which news of servers' entries counts.
    pub(super) directory: directory::View,
    /// What servers have announced in their answers.
    pub(super) announcements: announcement::Registry,
    /// Requests that wait for a server, by number in each queue.
    pub(super) queues: BTreeMap<QueueKey, BTreeMap<u64, Waiting>>,
    /// Requests that were refused for now, whose callers have been told when to come back: until then what they need is
    /// still provided.
    pub(super) kept_queues: BTreeMap<QueueKey, Waiting>,
    /// Requests that arrived since the last demand, by group and model.
    pub(super) arrived: BTreeMap<(SmolStr, SmolStr), u32>,
    /// Requests that an engine has run and that ended since the last demand, by group and model.
    pub(super) finished: BTreeMap<(SmolStr, SmolStr), u32>,
    /// Servers that were unreachable or lacked a model which they were thought to hold, since the last
    /// demand.
    pub(super) servers_to_check: BTreeSet<SmolStr>,
    /// When models become available, by group, model and version, as forecast by the steward; `None` if no server of the
    /// version is there.
    pub(super) forecasts: BTreeMap<(SmolStr, SmolStr, Option<SmolStr>), Option<clock::Instant>>,
    pub(super) retry_budgets: BTreeMap<SmolStr, retry_budget::Budget>,
    /// Number of instances that share limits.
    pub(super) instances: size::Size,
    /// The longest deadlines that requests of each route have stated.
    pub(super) deadlines: returning::Deadlines,
    /// Gates of quotas, by organisation.
    pub(super) quota_gates: BTreeMap<SmolStr, gate::Gate>,
    /// Until when the steward's shares of quotas are valid; `None` before it has sent any.
    pub(super) shares_until: Option<clock::Instant>,
    /// Models that this instance is subscribed to, and when each was last requested here. `None` while this
    /// instance knows the engines from elsewhere, or from a steward that sends all of them.
    pub(super) subscriptions: Option<BTreeMap<SmolStr, clock::Instant>>,
    /// Subscriptions to models that the steward has not answered yet.
    pub(super) pending_subscriptions: BTreeMap<SmolStr, PendingSubscription>,
    /// Whether the steward sends all engines.
    pub(super) all_engines: bool,
    /// Increases with each change of the directory.
    pub(super) directory_version: u64,
    /// Time until responses begin, by route.
    pub(super) response_times: BTreeMap<SmolStr, adaptive_timeout::Estimator>,
    /// Whether there is a link to another instance that is the active steward.
    pub(super) is_linked: bool,
    /// Whether there is such a link, or this instance is the active steward.
    pub(super) has_steward: bool,
    /// Whether this instance is one of those that take over from the steward.
    pub(super) is_standby: bool,
    /// Delays between calls to the store while it fails.
    pub(super) store_backoff: backoff::Backoff,
    /// When the store has answered this instance or others.
    pub(super) availability: availability::Availability,
    /// The store's era in which that was; `None` before any is known.
    pub(super) availability_era: Option<Era>,
    /// When the store was last read by the steward for this instance, or a later time.
    pub(super) steward_read_at: Option<clock::Instant>,
    pub(super) config_read_at: Option<clock::Instant>,
    /// Whether the store did not answer the last read of the configuration.
    pub(super) needs_config: bool,
    pub(super) directory_read_at: Option<clock::Instant>,
    /// Whether the steward has sent entries since the directory was last read in full.
    pub(super) steward_entries_received: bool,
    pub(super) is_acting_steward: bool,
    /// When the directory has become as recent as the steward's last frame; `None` while there is a link to
    /// the steward.
    pub(super) directory_catches_up_at: Option<clock::Instant>,
    pub(super) next_waiter: u64,
    pub(super) paths: path::Paths,
    pub(super) origins: origin::Origins,
    pub(super) quarantine: quarantine::Quarantine,
    /// What servers are assumed to keep of prompts.
    pub(super) prefixes: prefix::Prefixes,
    /// When a planned stop will be over, once one has begun.
    pub(super) stop_deadline: Option<clock::Instant>,
}

#[derive(Debug)]
pub(super) struct ServerState {
    pub(super) server: server::Server,
    /// What the server holds, as sent by the steward.
    pub(super) steward_held: Option<server::Held>,
    pub(super) stats: routing::Stats,
    /// What is known of the path to the server.
    pub(super) reach: reach::Reach,
    pub(super) backlog: load::Backlog,
    /// Gate for the limit on requests per second that the server accepts from all instances together.
    pub(super) limit: limit::Gate,
    /// This instance's own requests in flight, by model and adapter.
    pub(super) running: BTreeMap<(SmolStr, Option<SmolStr>), Running>,
    /// Since when the server's entry is gone; it may only have expired while the store was down.
    pub(super) missing_since: Option<clock::Instant>,
}

/// Where an entry of the directory came from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum EntrySource {
    /// This instance's own read of the store.
    OwnRead,
    /// The directory that the steward sent.
    StewardDirectory,
    /// The holdings of engines that the steward sent.
    StewardHoldings,
}

impl EntrySource {
    fn as_str(self) -> &'static str {
        match self {
            Self::OwnRead => "own read",
            Self::StewardDirectory => "steward's directory",
            Self::StewardHoldings => "steward's holdings",
        }
    }
}

/// This instance's own requests in flight for one model or adapter.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Running {
    pub(super) count: u32,
    /// Prompt tokens that the server has not prefilled yet.
    pub(super) prefill_tokens: u32,
}

/// A subscription to a model that the steward has not answered yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingSubscription {
    pub(super) since: clock::Instant,
    /// Whether the steward was asked over the current link.
    pub(super) is_sent: bool,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    /// When the request began to wait.
    pub(super) since: clock::Instant,
    /// When the request gives up waiting.
    pub(super) until: clock::Instant,
}

impl ServerState {
    /// Records that the server has prefilled this many tokens of this instance's own requests.
    pub(super) fn record_prefill(&mut self, key: &(SmolStr, Option<SmolStr>), tokens: u32) {
        self.backlog.remove_own(tokens);
        if let Some(running) = self.running.get_mut(key) {
            running.prefill_tokens = running.prefill_tokens.saturating_sub(tokens);
        }
    }

    /// The process of the server.
    pub(super) fn process(&self) -> announcement::Process {
        announcement::Process {
            server: self.server.id.clone(),
            started_ms: self.server.started_ms,
        }
    }

    /// What the server holds. `prefer_steward` says whether what the steward sent takes precedence over the
    /// directory's entries.
    pub(super) fn held(&self, prefer_steward: bool) -> &server::Held {
        self.steward_held
            .as_ref()
            .filter(|_| prefer_steward)
            .unwrap_or(&self.server.held)
    }
}

impl State {
    /// Creates the state of an instance that knows nothing yet; `window` is the window of its retry budgets. Servers write
    /// their entries every `heartbeat`.
    pub(super) fn new(now: clock::Instant, window: Duration, heartbeat: Duration) -> Self {
        Self {
            configs: history::History::default(),
            announced_config: 0,
            config_behind_since: None,
            config_read_to: None,
            servers: BTreeMap::new(),
            parts: scheduling::Parts::NONE,
            speeds: speed::Book::default(),
            directory: directory::View::default(),
            announcements: announcement::Registry::default(),
            queues: BTreeMap::new(),
            kept_queues: BTreeMap::new(),
            arrived: BTreeMap::new(),
            finished: BTreeMap::new(),
            servers_to_check: BTreeSet::new(),
            forecasts: BTreeMap::new(),
            retry_budgets: BTreeMap::new(),
            instances: size::Size::new(now, window, ASSUMED_INSTANCES),
            deadlines: returning::Deadlines::default(),
            quota_gates: BTreeMap::new(),
            shares_until: None,
            subscriptions: None,
            response_times: BTreeMap::new(),
            pending_subscriptions: BTreeMap::new(),
            all_engines: false,
            directory_version: 0,
            is_linked: false,
            has_steward: false,
            is_standby: false,
            store_backoff: backoff::Backoff::default(),
            availability: availability::Availability::new(heartbeat),
            availability_era: None,
            steward_read_at: None,
            config_read_at: None,
            needs_config: false,
            directory_read_at: None,
            steward_entries_received: false,
            is_acting_steward: false,
            directory_catches_up_at: None,
            next_waiter: 0,
            paths: path::Paths::default(),
            origins: origin::Origins::default(),
            quarantine: quarantine::Quarantine::default(),
            prefixes: prefix::Prefixes::default(),
            stop_deadline: None,
        }
    }

    /// Adds or updates a server, if the verdict on its entry says so.
    pub(super) fn apply_verdict(
        &mut self,
        verdict: directory::Verdict,
        server: server::Server,
        source: EntrySource,
    ) {
        match verdict {
            directory::Verdict::Accepted => self.upsert_server(server),
            directory::Verdict::Returned(absence) => {
                log::info!(
                    server = server.id.as_str(), group = server.group.as_str(), source = source.as_str(),
                    position = server.position.map_or(0, |position| position.offset),
                    gone_ms = clock::millis(absence);
                    "backend server is back"
                );
                self.upsert_server(server);
            }
            // The store lists the server, though with an entry that is older than the known one.
            directory::Verdict::Outdated if source == EntrySource::OwnRead => {
                if let Some(known) = self.servers.get_mut(&server.id) {
                    known.missing_since = None;
                }
            }
            directory::Verdict::Outdated | directory::Verdict::Gone => {}
        }
    }

    fn upsert_server(&mut self, mut server: server::Server) {
        // The directory may list a leaving server as ready until it is gone.
        server.ready &= !self.announcements.is_leaving(&server.id, server.started_ms);
        self.directory_version += 1;
        let new_server = ServerState {
            server: server.clone(),
            steward_held: None,
            stats: routing::Stats::default(),
            reach: reach::Reach::default(),
            backlog: load::Backlog::default(),
            limit: limit::Gate::default(),
            running: BTreeMap::new(),
            missing_since: None,
        };
        let known = self.servers.entry(server.id.clone()).or_insert(new_server);
        known.missing_since = None;
        if known.server.started_ms != server.started_ms || known.server.address != server.address {
            // This is another process: nothing observed of the previous one applies to it.
            known.stats = routing::Stats::default();
            known.reach = reach::Reach::default();
            known.backlog = load::Backlog::default();
            known.limit = limit::Gate::default();
            known.running.clear();
            known.steward_held = None;
        } else if server.held == server::Held::default() {
            // Entries from the steward leave out what the servers hold.
            let held = std::mem::take(&mut known.server.held);
            known.server = server::Server { held, ..server };
            return;
        }
        known.server = server;
    }

    /// Stores what an engine holds, as sent by the steward.
    pub(super) fn store_holding(&mut self, holding: frame::EngineHoldings, now: clock::Instant) {
        let id = holding.entry.id.clone();
        let verdict = self.directory.merge_holding(now, &holding.entry);
        let started_ms = holding.entry.started_ms;
        let server = holding.entry.server(now);
        self.apply_verdict(verdict, server, EntrySource::StewardHoldings);
        // What an engine holds comes from the engine itself and not from the store's log.
        if let Some(known) = self.servers.get_mut(&id)
            && known.server.started_ms == started_ms
        {
            known.steward_held = Some(server::Held {
                models: holding.models,
                ..server::Held::default()
            });
            self.forget_unloaded_prefixes(&id);
        }
    }

    /// Completes the subscription to a model, which no engines hold other than `holders`.
    pub(super) fn complete_subscription(
        &mut self,
        now: clock::Instant,
        model: &SmolStr,
        holders: &BTreeSet<SmolStr>,
    ) {
        self.pending_subscriptions.remove(model);
        let others = self.servers.iter_mut();
        for (_, known) in others.filter(|(id, _)| !holders.contains(*id)) {
            if let Some(held) = &mut known.steward_held {
                held.models.remove(model);
            }
        }
        if let Some(subscriptions) = &mut self.subscriptions {
            subscriptions.retain(|_, used_at| now.since(*used_at) < subscription::TTL);
            subscriptions.insert(model.clone(), now);
        }
    }

    /// Removes the engines that were received over an earlier link and have no requests in flight, as they
    /// may be gone.
    pub(super) fn remove_idle_engines(&mut self) {
        let directory = &mut self.directory;
        directory.forget_completeness();
        self.servers.retain(|id, known| {
            let is_kept = known.steward_held.is_none() || known.stats.in_flight > 0;
            if !is_kept {
                directory.forget(id);
            }
            is_kept
        });
    }

    /// The configuration in force.
    pub(super) fn config(&self) -> Option<&Arc<config::Config>> {
        self.configs.newest().map(|revised| &revised.config)
    }

    /// Applies a configuration, unless that one or a later one is in force.
    pub(super) fn apply_config(&mut self, revised: update::Revised, source: ConfigSource) -> bool {
        if let Some(read_to) = revised.read_to {
            self.advance_config_reads(read_to);
        }
        let is_new = match source {
            ConfigSource::Own => self.configs.push_document(revised),
            ConfigSource::Unknown | ConfigSource::Steward | ConfigSource::Peer => {
                self.configs.push(revised)
            }
        };
        if !is_new {
            return false;
        }
        let config = self.config().cloned();
        let organisations = config
            .as_ref()
            .and_then(|config| config.organisations.as_ref());
        if let Some(organisations) = organisations {
            self.remove_unlisted_gates(organisations);
        }
        self.needs_config = false;
        true
    }

    /// Determines which decisions under load are in force with the configuration.
    pub(super) fn update_parts(&mut self, options: scheduling::Options) {
        self.parts = match self.config() {
            Some(config) => options.in_force(config),
            None => scheduling::Parts::NONE,
        };
    }

    /// Continues reads of the configuration from a position, unless they continue from a later one.
    fn advance_config_reads(&mut self, read_to: Position) {
        let is_later = self
            .config_read_to
            .is_none_or(|known| (known.era, known.offset) < (read_to.era, read_to.offset));
        if is_later {
            self.config_read_to = Some(read_to);
        }
    }

    /// Updates since when a later version than that of the configuration in force is known.
    pub(super) fn update_config_lag(&mut self, now: clock::Instant) {
        let known = self.config().map_or(0, |config| config.version);
        if known >= self.announced_config {
            self.config_behind_since = None;
        } else {
            self.config_behind_since.get_or_insert(now);
        }
    }

    /// Removes the gates of organisations that the configuration no longer lists: they have no quota.
    fn remove_unlisted_gates(&mut self, organisations: &organisation::Registry) {
        let named: BTreeSet<&SmolStr> = organisations
            .iter()
            .map(|organisation| &organisation.name)
            .collect();
        self.quota_gates.retain(|name, _| named.contains(name));
    }

    /// Time since the older of the last reads of configuration and directory.
    pub(super) fn read_age(&self, now: clock::Instant) -> Duration {
        let oldest = self.config_read_at.min(self.directory_read_at);
        oldest.map_or(Duration::MAX, |at| now.since(at))
    }

    /// Records that a server's entry is gone. Returns whether the server is kept, because the entry may come back, and wasn't
    /// before.
    pub(super) fn mark_missing(&mut self, id: &str, now: clock::Instant) -> bool {
        self.directory_version += 1;
        let may_come_back = self.may_entries_come_back(now);
        let Some(known) = self.servers.get_mut(id) else {
            return false;
        };
        let is_new = known.missing_since.is_none();
        known.missing_since.get_or_insert(now);
        let is_kept = is_new && may_come_back;
        if is_kept {
            log::info!(server = id, group = known.server.group.as_str(); "backend server kept; its entry may come back");
        }
        is_kept
    }

    /// Whether entries that were missing when the directory was last read may come back.
    fn may_entries_come_back(&self, now: clock::Instant) -> bool {
        if self.availability.is_down(now) {
            return true;
        }
        let read_at = self.directory_read_at.max(self.steward_read_at);
        read_at.is_some_and(|read_at| self.availability.may_come_back(read_at))
    }

    /// Removes the servers whose entries are missing, unless the entries may come back.
    pub(super) fn remove_missing(&mut self, now: clock::Instant) {
        // Servers that are removed now were there until now.
        self.observe_versions(now);
        let before = self.servers.len();
        self.directory.prune(now);
        let may_come_back = self.may_entries_come_back(now);
        self.servers.retain(|id, known| {
            let stays = known.missing_since.is_none() || may_come_back;
            if !stays {
                log_gone(id, known, now);
            }
            stays
        });
        let servers = &self.servers;
        self.announcements.prune(now, |id| servers.contains_key(id));
        if self.servers.len() != before {
            self.directory_version += 1;
        }
    }

    /// Returns whether it is known which engines hold a model, and subscribes to the model if not. The
    /// steward is waited for no longer than it usually takes to answer: what was known of the model before is
    /// better than nothing.
    pub(super) fn ensure_model_known(&mut self, now: clock::Instant, model: &SmolStr) -> bool {
        let Some(subscriptions) = &mut self.subscriptions else {
            return true;
        };
        if let Some(used_at) = subscriptions.get_mut(model)
            && now.since(*used_at) < subscription::TTL
        {
            *used_at = now;
            return true;
        }
        let new_subscription = PendingSubscription {
            since: now,
            is_sent: false,
        };
        let pending = self
            .pending_subscriptions
            .entry(model.clone())
            .or_insert(new_subscription);
        now.since(pending.since) >= SUBSCRIBE_TIMEOUT
    }

    /// Keeps the demand of a request that was refused for now. Beyond [`MAX_KEPT_QUEUES`], what ends first is forgotten.
    pub(super) fn keep_demand(
        &mut self,
        since: clock::Instant,
        queue: &QueueKey,
        until: clock::Instant,
    ) {
        let kept = self
            .kept_queues
            .entry(queue.clone())
            .or_insert(Waiting { since, until });
        kept.until = kept.until.max(until);
        if self.kept_queues.len() > MAX_KEPT_QUEUES {
            let ends = self.kept_queues.iter().map(|(key, kept)| (kept.until, key));
            if let Some((_, first)) = ends.min() {
                let first = first.clone();
                self.kept_queues.remove(&first);
            }
        }
    }

    /// Makes the next demand contain all that an earlier steward was told, for another one, be it this instance.
    pub(super) fn tell_steward_again(&mut self, now: clock::Instant) {
        for gate in self.quota_gates.values_mut() {
            gate.link_opened();
        }
        for known in self.servers.values_mut() {
            known.limit.link_opened();
        }
        self.announcements.link_opened();
        self.origins.link_opened(now);
        self.quarantine.link_opened();
    }

    /// Records the versions of all servers.
    pub(super) fn observe_versions(&mut self, now: clock::Instant) {
        for known in self.servers.values() {
            let version = known.server.version.clone().unwrap_or_default();
            self.origins.observe(now, &known.server.group, &version);
        }
    }

    pub(super) fn usable_servers<'a>(
        &'a self,
        now: clock::Instant,
        queue: &'a QueueKey,
    ) -> impl Iterator<Item = &'a ServerState> {
        let in_time = move |known: &&ServerState| {
            let stops_at = known.server.stops_at;
            stops_at.is_none_or(|at| now.after(LEAVING_MARGIN) < at)
        };
        self.servers
            .values()
            .filter(|known| known.server.group == queue.group && known.server.ready)
            .filter(in_time)
    }

    /// Records that a request waits for the windows of some servers.
    pub(super) fn record_demand(&mut self, now: clock::Instant, servers: &[SmolStr]) {
        for id in servers {
            if let Some(known) = self.servers.get_mut(id) {
                known.stats.record_demand(now);
            }
        }
    }

    /// Derives whether there is a steward. Of the links that an instance tries before it takes office, the last one may end
    /// afterwards, so neither fact replaces the other.
    pub(super) fn update_has_steward(&mut self, now: clock::Instant) {
        self.has_steward = self.is_linked || self.is_acting_steward;
        if !self.has_steward {
            self.subscriptions = None;
            self.all_engines = false;
            self.pending_subscriptions.clear();
            // Nobody takes back that there is no server of a version.
            self.forecasts.retain(|_, at| at.is_some());
        }
        match (self.has_steward, self.directory_catches_up_at) {
            (true, _) => {
                if !self.all_engines && !self.is_acting_steward && self.subscriptions.is_none() {
                    self.subscriptions = Some(BTreeMap::new());
                    self.remove_idle_engines();
                }
                self.directory_catches_up_at = None;
            }
            (false, None) => {
                self.directory_catches_up_at = Some(now.after(DIRECTORY_CATCH_UP_TIME));
            }
            (false, Some(_)) => {}
        }
    }

    /// Whether what the steward sent takes precedence over the directory's entries. Without a link it does
    /// until the directory was read after it had become more recent: while the store is unreachable, the
    /// instance would otherwise use entries from before most swaps.
    pub(super) fn steward_data_valid(&self, now: clock::Instant) -> bool {
        self.directory_catches_up_at.is_none_or(|until| {
            now < until || self.directory_read_at.is_none_or(|read| read < until)
        })
    }

    pub(super) fn retry_budget(
        &mut self,
        group: &SmolStr,
        settings: &settings::Settings,
    ) -> &mut retry_budget::Budget {
        let new_budget = || retry_budget::Budget::new(settings.retry_budget);
        self.retry_budgets
            .entry(group.clone())
            .or_insert_with(new_budget)
    }
}

fn log_gone(id: &str, known: &ServerState, now: clock::Instant) {
    let missing = known.missing_since.map(|since| now.since(since));
    log::info!(
        server = id, group = known.server.group.as_str(), missing_ms = clock::millis(missing.unwrap_or_default());
        "backend server is gone"
    );
}
