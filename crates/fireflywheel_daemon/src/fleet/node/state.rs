//! The state behind a node's lock.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use fireflywheel::clock;
use fireflywheel::fleet::adaptive_timeout;
use fireflywheel::fleet::backoff;
use fireflywheel::fleet::config;
use fireflywheel::fleet::era::Era;
use fireflywheel::fleet::frame;
use fireflywheel::fleet::limit::gate as limit;
use fireflywheel::fleet::load;
use fireflywheel::fleet::organisation;
use fireflywheel::fleet::quota::gate;
use fireflywheel::fleet::retry_budget;
use fireflywheel::fleet::routing;
use fireflywheel::fleet::server;
use fireflywheel::fleet::settings;
use fireflywheel::fleet::size;
use fireflywheel::fleet::subscription;
use smol_str::SmolStr;

use super::QueueKey;

/// Instances that share limits while it isn't known how many there are: too many only makes parts small.
pub(super) const UNKNOWN_INSTANCES: usize = 24;

/// After the steward's last frame, entries of the directory are as new as that after this time: two heartbeats
/// and the time until they are read.
pub(super) const TOLD: Duration = Duration::from_millis(1600);

/// The steward is waited for so long that was asked which engines hold a model.
const ASK_LIMIT: Duration = Duration::from_millis(400);

/// Servers that are gone are remembered for this long: longer than a copy of the directory is old that it may come back from.
const REMEMBERED: Duration = Duration::from_secs(120);

/// A server that says when it will be gone gets no request in its last moments.
pub(super) const LEAVING_MARGIN: Duration = Duration::from_millis(300);

#[derive(Debug)]
pub(super) struct State {
    pub(super) config: Option<Arc<config::Config>>,
    pub(super) servers: BTreeMap<SmolStr, Known>,
    /// Servers whose entries are gone: an older copy of the directory may name them again.
    pub(super) gone: BTreeMap<SmolStr, Gone>,
    pub(super) queues: BTreeMap<QueueKey, BTreeMap<u64, Waiting>>,
    pub(super) arrived: BTreeMap<(SmolStr, SmolStr), u32>,
    /// Requests that an engine has run and that ended since the last demand, by group and model.
    pub(super) finished: BTreeMap<(SmolStr, SmolStr), u32>,
    pub(super) denied: BTreeSet<SmolStr>,
    pub(super) forecasts: BTreeMap<(SmolStr, SmolStr), clock::Instant>,
    pub(super) budgets: BTreeMap<SmolStr, retry_budget::Budget>,
    pub(super) instances: size::Size,
    /// Quotas, by organisation.
    pub(super) gates: BTreeMap<SmolStr, gate::Gate>,
    /// Until then the steward's shares of quotas are followed; none before it has told any.
    pub(super) shares_until: Option<clock::Instant>,
    /// Models of which the steward tells this instance, and when each was last asked for here; none while knowledge of
    /// engines comes from elsewhere, or from a steward that tells of all.
    pub(super) live: Option<BTreeMap<SmolStr, clock::Instant>>,
    /// Models of which the steward is asked to tell.
    pub(super) asks: BTreeMap<SmolStr, Ask>,
    /// The steward tells of all engines.
    pub(super) whole: bool,
    /// Rises with each change of the directory.
    pub(super) directory_version: u64,
    /// How long responses take until they begin, by route.
    pub(super) response_times: BTreeMap<SmolStr, adaptive_timeout::Estimator>,
    /// There is a link to a steward, or this instance is steward.
    pub(super) steward: bool,
    /// This instance is one of those that take over from the steward.
    pub(super) standby: bool,
    /// Pauses between calls to the store while it fails.
    pub(super) store: backoff::Backoff,
    pub(super) config_read: Option<clock::Instant>,
    /// The store didn't answer the last read of the configuration.
    pub(super) needs_config: bool,
    pub(super) directory_read: Option<clock::Instant>,
    /// The store's era when the directory was read last.
    pub(super) era: Era,
    /// The steward has told of entries since the directory was last read whole.
    pub(super) entries_told: bool,
    pub(super) relaying: bool,
    /// When the directory has become as new as the steward's last frame; none while there is a link to it.
    pub(super) told_until: Option<clock::Instant>,
    pub(super) next_waiting: u64,
    /// When a planned stop will be over, once one has begun.
    pub(super) stops: Option<clock::Instant>,
}

#[derive(Debug)]
pub(super) struct Known {
    pub(super) server: server::Server,
    /// What the steward said that it holds.
    pub(super) told: Option<server::Held>,
    pub(super) stats: routing::Stats,
    pub(super) backlog: load::Backlog,
    /// How many requests a second it takes from all instances together.
    pub(super) limit: limit::Gate,
    pub(super) running: BTreeMap<(SmolStr, Option<SmolStr>), Running>,
    /// Its entry is gone, but it may only have lapsed while the store was away.
    pub(super) missing: Option<clock::Instant>,
}

/// The last entry of a server that is gone.
#[derive(Clone, Copy, Debug)]
pub(super) struct Gone {
    born: u64,
    count: u64,
    since: clock::Instant,
    /// The store's era then: entries of the same era are no older than its end.
    era: Era,
}

/// This instance's own requests in progress for one model or adapter.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Running {
    pub(super) count: u32,
    /// Tokens of their prompts that the server hasn't read yet.
    pub(super) unread: u32,
}

/// The steward is asked to tell of a model.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ask {
    pub(super) since: clock::Instant,
    /// The steward was asked over the link that there is now.
    pub(super) sent: bool,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    pub(super) since: clock::Instant,
    pub(super) until: clock::Instant,
}

impl Known {
    /// The server has read so many tokens of this instance's own requests.
    pub(super) fn read(&mut self, key: &(SmolStr, Option<SmolStr>), tokens: u32) {
        self.backlog.remove_own(tokens);
        if let Some(running) = self.running.get_mut(key) {
            running.unread = running.unread.saturating_sub(tokens);
        }
    }

    /// What it holds; `told_stands` says whether what the steward told goes before the directory's entries.
    pub(super) fn held(&self, told_stands: bool) -> &server::Held {
        self.told
            .as_ref()
            .filter(|_| told_stands)
            .unwrap_or(&self.server.held)
    }
}

impl State {
    /// Nothing is known yet; repeats are counted over this window.
    pub(super) fn new(now: clock::Instant, window: Duration) -> Self {
        Self {
            config: None,
            servers: BTreeMap::new(),
            gone: BTreeMap::new(),
            queues: BTreeMap::new(),
            arrived: BTreeMap::new(),
            finished: BTreeMap::new(),
            denied: BTreeSet::new(),
            forecasts: BTreeMap::new(),
            budgets: BTreeMap::new(),
            instances: size::Size::new(now, window, UNKNOWN_INSTANCES),
            gates: BTreeMap::new(),
            shares_until: None,
            live: None,
            response_times: BTreeMap::new(),
            asks: BTreeMap::new(),
            whole: false,
            directory_version: 0,
            steward: false,
            standby: false,
            store: backoff::Backoff::default(),
            config_read: None,
            needs_config: false,
            directory_read: None,
            era: Era::default(),
            entries_told: false,
            relaying: false,
            told_until: None,
            next_waiting: 0,
            stops: None,
        }
    }

    /// Takes an entry, unless it is older than what is known of its server.
    pub(super) fn enter(&mut self, server: server::Server) {
        let known = self.servers.get_mut(&server.id);
        if let Some(known) = known.filter(|known| {
            let last = &known.server;
            server.is_older(last.started_ms, last.revision)
        }) {
            known.missing = None;
            return;
        }
        let gone = self.gone.get(&server.id);
        if gone
            .is_some_and(|gone| gone.era < self.era && server.is_older(gone.born, gone.count + 1))
        {
            return;
        }
        self.gone.remove(&server.id);
        self.directory_version += 1;
        let fresh = Known {
            server: server.clone(),
            told: None,
            stats: routing::Stats::default(),
            backlog: load::Backlog::default(),
            limit: limit::Gate::default(),
            running: BTreeMap::new(),
            missing: None,
        };
        let known = self.servers.entry(server.id.clone()).or_insert(fresh);
        known.missing = None;
        if known.server.started_ms != server.started_ms || known.server.address != server.address {
            // Another process: nothing that was seen of the one before holds for it.
            known.stats = routing::Stats::default();
            known.backlog = load::Backlog::default();
            known.limit = limit::Gate::default();
            known.running.clear();
            known.told = None;
        } else if server.held == server::Held::default() {
            // Entries that the steward tells leave out what they hold.
            let held = std::mem::take(&mut known.server.held);
            known.server = server::Server { held, ..server };
            return;
        }
        known.server = server;
    }

    /// The steward tells what an engine holds.
    pub(super) fn enter_held(&mut self, holding: frame::Holding, now: clock::Instant) {
        let id = holding.entry.id.clone();
        self.enter(holding.entry.server(now));
        if let Some(known) = self.servers.get_mut(&id) {
            known.told = Some(server::Held {
                models: holding.models,
                ..server::Held::default()
            });
        }
    }

    /// From now on the steward tells of a model, which no others hold than `holders`.
    pub(super) fn complete(
        &mut self,
        now: clock::Instant,
        model: &SmolStr,
        holders: &BTreeSet<SmolStr>,
    ) {
        self.asks.remove(model);
        let others = self.servers.iter_mut();
        for (_, known) in others.filter(|(id, _)| !holders.contains(*id)) {
            if let Some(told) = &mut known.told {
                told.models.remove(model);
            }
        }
        if let Some(live) = &mut self.live {
            live.retain(|_, used| now.since(*used) < subscription::TTL);
            live.insert(model.clone(), now);
        }
    }

    /// Engines that this instance was told of over an earlier link may be gone.
    pub(super) fn forget_unused_engines(&mut self) {
        self.servers
            .retain(|_, known| known.told.is_none() || known.stats.in_flight > 0);
    }

    /// Takes a configuration, unless that one or a later one is in force.
    pub(super) fn configure(&mut self, config: Arc<config::Config>) -> bool {
        let newest = self.config.as_ref().map(|config| config.version);
        if newest.is_some_and(|version| version >= config.version) {
            return false;
        }
        if let Some(organisations) = &config.organisations {
            self.forget_gates(organisations);
        }
        self.config = Some(config);
        self.needs_config = false;
        true
    }

    /// Organisations that the configuration names no more have no quota.
    fn forget_gates(&mut self, organisations: &organisation::Registry) {
        let named: BTreeSet<&SmolStr> = organisations
            .iter()
            .map(|organisation| &organisation.name)
            .collect();
        self.gates.retain(|name, _| named.contains(name));
    }

    /// How long ago the older of configuration and directory was read.
    pub(super) fn read_age(&self, now: clock::Instant) -> Duration {
        let oldest = self.config_read.min(self.directory_read);
        oldest.map_or(Duration::MAX, |at| now.since(at))
    }

    pub(super) fn miss(&mut self, id: &str, now: clock::Instant) {
        self.directory_version += 1;
        if let Some(known) = self.servers.get_mut(id) {
            known.missing.get_or_insert(now);
        }
    }

    pub(super) fn forget_missing(&mut self, now: clock::Instant, patience: Duration) {
        let before = self.servers.len();
        let (gone, era) = (&mut self.gone, self.era);
        gone.retain(|_, gone| now.since(gone.since) < REMEMBERED);
        self.servers.retain(|id, known| {
            let stays = known.missing.is_none_or(|since| now < since.after(patience));
            if !stays {
                log::info!(server = id.as_str(), group = known.server.group.as_str(); "backend server gone");
                let last = Gone {
                    born: known.server.started_ms,
                    count: known.server.revision,
                    since: now,
                    era,
                };
                gone.insert(id.clone(), last);
            }
            stays
        });
        if self.servers.len() != before {
            self.directory_version += 1;
        }
    }

    /// Whether it is known which engines hold a model. If not, the steward is asked, but not for longer than it usually takes
    /// to answer: what was known of the model before is better than nothing.
    pub(super) fn knows_model(&mut self, now: clock::Instant, model: &SmolStr) -> bool {
        let Some(live) = &mut self.live else {
            return true;
        };
        if let Some(used) = live.get_mut(model)
            && now.since(*used) < subscription::TTL
        {
            *used = now;
            return true;
        }
        let fresh = Ask {
            since: now,
            sent: false,
        };
        let ask = self.asks.entry(model.clone()).or_insert(fresh);
        now.since(ask.since) >= ASK_LIMIT
    }

    pub(super) fn usable<'a>(
        &'a self,
        now: clock::Instant,
        queue: &'a QueueKey,
    ) -> impl Iterator<Item = &'a Known> {
        let in_time = move |known: &&Known| {
            let leaves = known.server.leaves;
            leaves.is_none_or(|at| now.after(LEAVING_MARGIN) < at)
        };
        self.servers
            .values()
            .filter(|known| known.server.group == queue.group && known.server.ready)
            .filter(in_time)
    }

    /// Whether what the steward told goes before the directory's entries. Without a link it does until the directory was read
    /// after it has become newer: a store that is away would leave an instance with entries from before most swaps.
    pub(super) fn told_stands(&self, now: clock::Instant) -> bool {
        self.told_until
            .is_none_or(|until| now < until || self.directory_read.is_none_or(|read| read < until))
    }

    pub(super) fn budget(
        &mut self,
        group: &SmolStr,
        settings: &settings::Settings,
    ) -> &mut retry_budget::Budget {
        let fresh = || retry_budget::Budget::new(settings.retry_budget);
        self.budgets.entry(group.clone()).or_insert_with(fresh)
    }
}
