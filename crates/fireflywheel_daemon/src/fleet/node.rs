//! The state of an instance, behind one lock that is never held across an await point.

mod announcement;
mod choice;
mod demand;
mod guard;
mod limit;
mod origin;
mod path;
mod prefix;
pub mod quarantine;
mod quota;
mod speed;
mod state;
mod store;
mod updates;
mod waiting;

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use fireflywheel::clock::{self, Instant};
use fireflywheel::fleet::config;
use fireflywheel::fleet::config::{history, update};
use fireflywheel::fleet::era::{Era, Position};
use fireflywheel::fleet::scheduling;
use fireflywheel::fleet::server;
use fireflywheel::fleet::settings;
use smol_str::SmolStr;
use tokio::sync::{Notify, watch};

pub use choice::{Choice, Chosen, Query, ServerOutcome};
pub use guard::{InFlight, Waiter};
pub use limit::Answer;
pub use path::{ServedTunnel, Target};
pub use quarantine::Doubt;
pub use quota::Charge;
pub use store::ANSWER_TIMEOUT;
pub use waiting::Place;

use super::metrics;
use super::pool;
use crate::clock::Clock;
use crate::door;
use state::State;

/// One instance.
#[derive(Debug)]
pub struct Node<P> {
    /// Translates between the fleet and the platform's interfaces.
    pub platform: P,
    /// The settings that it was started with.
    pub settings: settings::Settings,
    /// The clock of this process.
    pub clock: Clock,
    /// Its connections to backend servers.
    pub pool: pool::Pool,
    /// Its metrics.
    pub metrics: metrics::Metrics,
    /// The bytes that it holds for callers and servers.
    pub memory: door::Memory,
    /// When the process started.
    pub started: Instant,
    /// Random number that distinguishes two processes of one instance name.
    pub incarnation: u64,
    /// Changes when the choice of a server for a waiting request may have changed.
    pub changed: watch::Sender<u64>,
    /// Notified when the demand for the steward grows or changes.
    pub demand_changed: Notify,
    /// Notified when requests in flight start or end.
    pub usage_changed: Notify,
    /// Notified when there are new facts of crashes.
    pub facts_changed: Notify,
    /// Notified when there are new questions about streams.
    pub queries_changed: Notify,
    /// Notified when the store answers again after failed calls.
    pub store_recovered: Notify,
    /// The steward's reads of the store, as it reports them.
    pub steward_reads: watch::Sender<StewardReads>,
    /// When a planned stop will be over, once one has begun.
    stop_deadline: watch::Sender<Option<Instant>>,
    waiting: waiting::Waiting,
    state: Mutex<State>,
}

/// The steward's reads of the store, as it reports them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StewardReads {
    /// Until when its reads replace this instance's own.
    pub valid_until: Option<Instant>,
    /// When it last read the store, or a later time.
    pub read: Option<Instant>,
    /// The newest configuration version that it knows of.
    pub version: u64,
    /// The same configuration, if its release sends updates.
    pub config: Option<update::Revision>,
}

/// The configuration that an instance uses, and how certain it is that there is no later one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConfigStatus {
    /// The version; 0 if there is none.
    pub version: u64,
    /// Time since the store was last read; `None` if it never was.
    pub age: Option<Duration>,
    /// Who read it.
    pub source: ConfigSource,
}

/// Who has read the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConfigSource {
    /// Nobody yet.
    Unknown,
    /// The instance itself.
    Own,
    /// The steward, which reported it to the instance.
    Steward,
    /// An instance that has a link to this one.
    Peer,
}

impl ConfigSource {
    /// Its name in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unknown => "nobody",
            Self::Own => "own",
            Self::Steward => "steward",
            Self::Peer => "linked",
        }
    }
}

/// Identifies the queue of requests that wait for the same thing.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct QueueKey {
    /// The group.
    pub group: SmolStr,
    /// The model, if the group consists of engines.
    pub model: Option<SmolStr>,
    /// The adapter of that model.
    pub adapter: Option<SmolStr>,
    /// The version of the servers' software at which the requests' streams began; `None` if they take up no streams.
    pub version: Option<SmolStr>,
}

impl QueueKey {
    /// Sets the version of the servers' software at which the requests' streams began.
    #[must_use]
    pub fn with_version(mut self, version: Option<SmolStr>) -> Self {
        self.version = version;
        self
    }

    /// Whether a server can run the requests as far as its version is concerned.
    fn allows(&self, server: &server::Server) -> bool {
        self.version.is_none() || self.version == server.version
    }
}

impl<P> Node<P>
where
    P: Send + Sync,
{
    /// Creates an instance that knows of no configuration and no servers.
    #[must_use]
    pub fn new(platform: P, settings: settings::Settings, metrics: metrics::Metrics) -> Self {
        let clock = Clock::new();
        let started = clock.now();
        let memory = door::Memory::new(clock, settings.memory_bytes);
        let mut state = State::new(started, settings.retry_budget.window, settings.heartbeat);
        if settings.first_start {
            state.origins.record_first_start(started);
        }
        Self {
            platform,
            settings,
            clock,
            started,
            pool: pool::Pool::default(),
            metrics,
            memory,
            incarnation: rand::random(),
            changed: watch::Sender::new(0),
            demand_changed: Notify::new(),
            usage_changed: Notify::new(),
            facts_changed: Notify::new(),
            queries_changed: Notify::new(),
            store_recovered: Notify::new(),
            steward_reads: watch::Sender::new(StewardReads::default()),
            stop_deadline: watch::Sender::new(None),
            waiting: waiting::Waiting::default(),
            state: Mutex::new(state),
        }
    }

    /// The current time.
    #[must_use]
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// The configuration in force.
    #[must_use]
    pub fn config(&self) -> Option<Arc<config::Config>> {
        self.lock().config().cloned()
    }

    /// Applies a configuration, unless that one or a later one is in force.
    pub fn apply_config(&self, revised: update::Revised, source: ConfigSource) {
        let config = &revised.config;
        let (version, routes) = (config.version, config.routes.len() as u64);
        let now = self.now();
        let mut state = self.lock();
        let is_new = state.apply_config(revised, source);
        state.update_parts(self.settings.scheduling);
        state.update_config_lag(now);
        let own_read_age = state
            .config_read_at
            .map_or(0, |at| clock::millis(now.since(at)));
        drop(state);
        if is_new {
            self.metrics.set_config_version(version);
            self.wake();
        }
        log::info!(
            version = version, routes = routes, taken = is_new, reader = source.as_str(), own_read_age_ms = own_read_age;
            "configuration read"
        );
    }

    /// Applies a configuration from an instance whose release doesn't tell the position of its record.
    pub fn apply_unnumbered_config(&self, config: Arc<config::Config>, source: ConfigSource) {
        let revision = update::Revision {
            version: config.version,
            position: Position::default(),
        };
        let read_to = self.config_read_to();
        let revised = update::Revised {
            config,
            revision,
            read_to,
        };
        self.apply_config(revised, source);
    }

    /// Adds a part of an update of the configuration to those that have arrived over the same link, and applies the
    /// update once it is complete. An update that is based on another configuration than this instance's is requested
    /// again from the steward.
    pub fn add_config_part(
        &self,
        assembly: &mut update::Assembly,
        part: update::Part,
        source: ConfigSource,
    ) {
        let target = part.target();
        let mut state = self.lock();
        match assembly.add(part, state.configs.newest()) {
            Ok(update::Progress::Waiting | update::Progress::Outdated) => {}
            Ok(update::Progress::Complete(revised)) => {
                drop(state);
                self.apply_config(revised, source);
            }
            Err(misfit) => {
                let is_requested = std::mem::replace(&mut state.needs_config, true);
                drop(state);
                if !is_requested {
                    log::info!(version = target.version, why = misfit.as_str(); "update of the configuration can't be applied");
                    self.demand_changed.notify_one();
                }
            }
        }
    }

    /// Which decisions under load are in force with the configuration.
    #[must_use]
    pub fn parts(&self) -> scheduling::Parts {
        self.lock().parts
    }

    /// The newest configurations.
    #[must_use]
    pub fn configs(&self) -> history::History {
        self.lock().configs.clone()
    }

    /// What identifies the configuration in force.
    #[must_use]
    pub fn config_revision(&self) -> Option<update::Revision> {
        let state = self.lock();
        state.configs.newest().map(|newest| newest.revision)
    }

    /// The position up to which the store's log of configurations has been read.
    #[must_use]
    pub fn config_read_to(&self) -> Option<Position> {
        self.lock().config_read_to
    }

    /// Records a read of the configuration, from one position up to another, that shows the store's state as of this
    /// time. A later configuration that a steward has announced, and that the store doesn't have, was lost.
    pub fn record_config_read(&self, as_of: Instant, from: Option<Position>, to: Option<Position>) {
        let mut state = self.lock();
        state.config_read_at = Some(as_of);
        state.needs_config = false;
        state.announced_config = 0;
        state.config_behind_since = None;
        // The sender of an update that has arrived meanwhile may have read up to a later position.
        if state.config_read_to == from {
            state.config_read_to = to;
        }
    }

    /// Records that the store did not answer a read of the configuration, which the steward has to send.
    pub fn config_read_failed(&self) {
        self.lock().needs_config = true;
        self.demand_changed.notify_one();
    }

    /// Stores the steward's reads of the store.
    pub fn set_steward_reads(&self, reads: StewardReads) {
        let now = self.now();
        let mut state = self.lock();
        state.announced_config = reads.version;
        state.update_config_lag(now);
        if let Some(read) = reads.read {
            state.origins.record_read(read);
        }
        state.steward_read_at = state.steward_read_at.max(reads.read);
        drop(state);
        self.steward_reads.send_replace(reads);
    }

    /// How long this instance has known that there is a later configuration than the one in force; `None` if it knows of
    /// none.
    #[must_use]
    pub fn config_lag(&self) -> Option<Duration> {
        let now = self.now();
        let since = self.lock().config_behind_since?;
        Some(now.since(since))
    }

    /// Whether a later configuration than the one in force should be in force by now.
    #[must_use]
    pub fn is_config_overdue(&self) -> bool {
        self.config_lag()
            .is_some_and(|lag| lag > self.settings.config_deadline)
    }

    /// Whether the configuration in force is later than the steward's and than `sent`.
    #[must_use]
    pub fn has_config_newer_than_steward(&self, sent: u64) -> bool {
        let known = self.steward_reads.borrow().version.max(sent);
        self.config().is_some_and(|config| config.version > known)
    }

    /// Records a read of the directory that was requested at this time, in this era of the store.
    pub fn record_directory_read(&self, requested_at: Instant, era: Era) {
        let mut state = self.lock();
        state.directory_read_at = Some(requested_at);
        state.directory.observe_era(era);
        state.origins.record_read(requested_at);
    }

    /// Time since the older of the last reads of configuration and directory.
    #[must_use]
    pub fn read_age(&self) -> Duration {
        let now = self.now();
        self.lock().read_age(now)
    }

    /// Time since the configuration was read; zero while the steward reads it for this instance.
    #[must_use]
    pub fn config_age(&self) -> Duration {
        if self.steward_reads_valid() {
            return Duration::ZERO;
        }
        let read = self.lock().config_read_at;
        read.map_or(Duration::MAX, |at| self.now().since(at))
    }

    /// The configuration in force, and the last read of the store that confirms it.
    #[must_use]
    pub fn config_status(&self) -> ConfigStatus {
        let now = self.now();
        let steward_read = self.steward_reads.borrow().read;
        let state = self.lock();
        let read = steward_read.max(state.config_read_at);
        let source = match read {
            None => ConfigSource::Unknown,
            Some(_) if steward_read > state.config_read_at => ConfigSource::Steward,
            Some(_) => ConfigSource::Own,
        };
        ConfigStatus {
            version: state.config().map_or(0, |config| config.version),
            age: read.map(|at| now.since(at)),
            source,
        }
    }

    /// Whether the steward's reads of the store replace this instance's own.
    #[must_use]
    pub fn steward_reads_valid(&self) -> bool {
        let until = self.steward_reads.borrow().valid_until;
        until.is_some_and(|until| self.now() < until)
    }

    /// Whether this instance is the active steward, whose reads replace those of others.
    #[must_use]
    pub fn is_acting_steward(&self) -> bool {
        self.lock().is_acting_steward
    }

    /// Number of instances that share limits, as far as it is known.
    #[must_use]
    pub fn instance_count(&self) -> usize {
        self.lock().instances.count()
    }

    /// Whether the backend servers are known, or that there are none.
    #[must_use]
    pub fn knows_servers(&self) -> bool {
        let state = self.lock();
        state.directory_read_at.is_some() || !state.servers.is_empty()
    }

    /// Whether callers should be sent to this instance.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        if self.is_config_overdue() {
            return false;
        }
        let state = self.lock();
        state.config().is_some() && state.stop_deadline.is_none()
    }

    /// Begins a planned stop, which will be over after `grace`.
    pub fn drain(&self, grace: Duration) {
        let deadline = self.now().after(grace);
        self.lock().stop_deadline = Some(deadline);
        self.stop_deadline.send_replace(Some(deadline));
        self.wake();
    }

    /// Waits until a planned stop begins, and returns when it will be over.
    pub async fn wait_for_drain(&self) -> Instant {
        let mut deadline = self.stop_deadline.subscribe();
        // The sender lives as long as `self`.
        let known = deadline.wait_for(Option::is_some).await;
        known.ok().and_then(|known| *known).unwrap_or_default()
    }

    /// When a planned stop will be over, once one has begun.
    #[must_use]
    pub fn stop_deadline(&self) -> Option<Instant> {
        self.lock().stop_deadline
    }

    /// Whether a planned stop has begun.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.stop_deadline().is_some()
    }

    fn wake(&self) {
        self.changed
            .send_modify(|count| *count = count.wrapping_add(1));
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("the lock is not poisoned")
    }
}
