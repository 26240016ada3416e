//! What an instance knows, behind one lock that is never held across a wait.

mod choice;
mod demand;
mod guard;
mod knowledge;
mod limit;
mod quota;
mod state;
mod store;

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use fireflywheel::clock::Instant;
use fireflywheel::fleet::config;
use fireflywheel::fleet::era::Era;
use fireflywheel::fleet::settings;
use smol_str::SmolStr;
use tokio::sync::{Notify, watch};

pub use choice::{Choice, Chosen, Query, ServerOutcome};
pub use guard::{InFlight, Waiter};
pub use limit::Answer;
pub use quota::Charge;

use super::metrics;
use super::pool;
use crate::clock::Clock;
use state::State;

/// One instance.
#[derive(Debug)]
pub struct Node<P> {
    /// What translates.
    pub platform: P,
    /// What it was told at its start.
    pub settings: settings::Settings,
    /// Its clock.
    pub clock: Clock,
    /// Its connections to backend servers.
    pub pool: pool::Pool,
    /// What it counts.
    pub metrics: metrics::Metrics,
    /// When it started.
    pub started: Instant,
    /// Tells two processes of one name apart.
    pub incarnation: u64,
    /// Changes when a request that waits may find something else.
    pub changed: watch::Sender<u64>,
    /// Told when more, or something else, is wanted of the steward.
    pub demand_changed: Notify,
    /// Told when requests in progress begin or end.
    pub usage_changed: Notify,
    /// Told when the store answers again after calls that failed.
    pub store_recovered: Notify,
    /// What the steward says of its own reads of the store.
    pub steward_reads: watch::Sender<StewardReads>,
    state: Mutex<State>,
}

/// What the steward says of its own reads of the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StewardReads {
    /// Until then its reads stand for reads of this instance's own.
    pub until: Option<Instant>,
    /// When it read the store last, or later.
    pub read: Option<Instant>,
    /// The newest configuration that it knows of.
    pub version: u64,
}

/// The configuration that an instance decides by, and how sure it is that there is no later one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConfigStatus {
    /// The version; 0 for none.
    pub version: u64,
    /// How long ago the store was read last; none if it never was.
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
    /// The steward, which told it.
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

/// Where requests wait for the same thing.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct QueueKey {
    /// The group.
    pub group: SmolStr,
    /// The model, for engines.
    pub model: Option<SmolStr>,
    /// The adapter on it.
    pub adapter: Option<SmolStr>,
}

impl<P> Node<P>
where
    P: Send + Sync,
{
    /// An instance that knows nothing yet.
    #[must_use]
    pub fn new(platform: P, settings: settings::Settings, metrics: metrics::Metrics) -> Self {
        let clock = Clock::new();
        let started = clock.now();
        let state = State::new(started, settings.retry_budget.window);
        Self {
            platform,
            settings,
            clock,
            started,
            pool: pool::Pool::default(),
            metrics,
            incarnation: rand::random(),
            changed: watch::Sender::new(0),
            demand_changed: Notify::new(),
            usage_changed: Notify::new(),
            store_recovered: Notify::new(),
            steward_reads: watch::Sender::new(StewardReads::default()),
            state: Mutex::new(state),
        }
    }

    /// The time.
    #[must_use]
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// The configuration in force.
    #[must_use]
    pub fn config(&self) -> Option<Arc<config::Config>> {
        self.lock().config.clone()
    }

    /// Puts a configuration in force, unless that one or a later one is.
    pub fn apply_config(&self, config: Arc<config::Config>, source: ConfigSource) {
        let (version, routes) = (config.version, config.routes.len() as u64);
        let taken = self.lock().configure(config);
        if taken {
            self.metrics.set_version(version);
            self.wake();
        }
        log::info!(version = version, routes = routes, taken = taken, reader = source.as_str(); "configuration read");
    }

    /// The configuration was read at this time.
    pub fn record_config_read(&self, asked: Instant) {
        let mut state = self.lock();
        state.config_read = Some(asked);
        state.needs_config = false;
    }

    /// The store didn't answer a read of the configuration: the steward is to send it.
    pub fn config_read_failed(&self) {
        self.lock().needs_config = true;
        self.demand_changed.notify_one();
    }

    /// The configuration in force, if it is later than the steward's and than `sent`.
    #[must_use]
    pub fn config_ahead(&self, sent: u64) -> Option<Arc<config::Config>> {
        let known = self.steward_reads.borrow().version.max(sent);
        self.config().filter(|config| config.version > known)
    }

    /// The directory was read at this time, in this era of the store.
    pub fn record_directory_read(&self, asked: Instant, era: Era) {
        let mut state = self.lock();
        state.directory_read = Some(asked);
        state.era = era;
    }

    /// How long ago the older of both was read.
    #[must_use]
    pub fn read_age(&self) -> Duration {
        let now = self.now();
        self.lock().read_age(now)
    }

    /// How long ago the configuration was read; zero while the steward reads it for this instance.
    #[must_use]
    pub fn config_age(&self) -> Duration {
        if self.steward_reads_valid() {
            return Duration::ZERO;
        }
        let read = self.lock().config_read;
        read.map_or(Duration::MAX, |at| self.now().since(at))
    }

    /// The configuration in force, and the last read of the store behind it.
    #[must_use]
    pub fn config_status(&self) -> ConfigStatus {
        let now = self.now();
        let told = self.steward_reads.borrow().read;
        let state = self.lock();
        let read = told.max(state.config_read);
        let source = match read {
            None => ConfigSource::Unknown,
            Some(_) if told > state.config_read => ConfigSource::Steward,
            Some(_) => ConfigSource::Own,
        };
        ConfigStatus {
            version: state.config.as_ref().map_or(0, |config| config.version),
            age: read.map(|at| now.since(at)),
            source,
        }
    }

    /// Whether the steward's reads of the store stand for this instance's own.
    #[must_use]
    pub fn steward_reads_valid(&self) -> bool {
        let until = self.steward_reads.borrow().until;
        until.is_some_and(|until| self.now() < until)
    }

    /// Whether this instance's reads stand for those of others.
    #[must_use]
    pub fn is_acting_steward(&self) -> bool {
        self.lock().relaying
    }

    /// This instance is steward from now on, or no more.
    pub fn set_acting_steward(&self, relaying: bool) {
        let mut state = self.lock();
        state.relaying = relaying;
        if relaying {
            state.live = None;
            state.asks.clear();
        }
    }

    /// Instances that share limits, as far as known.
    #[must_use]
    pub fn instances(&self) -> usize {
        self.lock().instances.count()
    }

    /// Whether it has heard of backend servers, or that there are none.
    #[must_use]
    pub fn knows_servers(&self) -> bool {
        let state = self.lock();
        state.directory_read.is_some() || !state.servers.is_empty()
    }

    /// Whether callers should be sent here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let state = self.lock();
        state.config.is_some() && state.stops.is_none()
    }

    /// A planned stop has begun, and will be over after `grace`.
    pub fn drain(&self, grace: Duration) {
        let stops = self.now().after(grace);
        self.lock().stops = Some(stops);
        self.wake();
    }

    /// When a planned stop will be over, once one has begun.
    #[must_use]
    pub fn stop_deadline(&self) -> Option<Instant> {
        self.lock().stops
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
        self.state.lock().expect("no panic while it was held")
    }
}
