//! Choice of the backend server in a group that gets a request, made by each router on its own.
//!
//! A router learns of the other routers' requests with a delay. If all routers followed the same stale report,
//! they would all send to the server that was idle when it was written, and overload it until the next report.
//! Three measures prevent such herding:
//! - A router compares two servers that it draws at random with its own seed, not all servers.
//! - A reported load decays with the report's age towards the mean of all servers, while the router's own
//!   requests always count in full.
//! - A server that just joined or came back from a backoff goes through a slow start, in which it is mostly
//!   passed over at first.

mod backend;
mod cache;

use std::{collections::BTreeMap, time::Duration};

use slotmap::SlotMap;
use smol_str::SmolStr;
use xxhash_rust::xxh3;

use crate::{clock, server};

pub use backend::Server;

/// Settings of [`Table`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// The age at which the other routers' requests in a report count half.
    pub half_life: Duration,
    /// The age from which a report is ignored.
    pub report_ttl: Duration,
    /// The time over which a server that just joined comes to be chosen as often as the others.
    pub slow_start: Duration,
    /// The server with the prefix in its cache is preferred unless its load exceeds this many times the mean
    /// load, plus one.
    pub imbalance: f64,
    /// How long a server gets no requests after a failure; doubles with each consecutive failure.
    pub backoff: Duration,
    /// The upper limit of the backoff.
    pub max_backoff: Duration,
    /// The number of cached prefixes that are remembered for each server.
    pub max_prefixes: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            half_life: Duration::from_secs(1),
            report_ttl: Duration::from_secs(10),
            slow_start: Duration::from_secs(5),
            imbalance: 1.25,
            backoff: Duration::from_millis(200),
            max_backoff: Duration::from_secs(10),
            max_prefixes: 1024,
        }
    }
}

/// The load that a backend server reported.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// The number of requests running on the server, of all routers.
    pub running: u32,
    /// The number of requests waiting on the server, of all routers.
    pub waiting: u32,
    /// The number of requests that the server runs at once; 0 if unknown.
    pub slots: u32,
    /// The time that the report describes, as estimated by this router.
    pub at: clock::Instant,
}

/// Returns the hash of a prompt prefix, by which routing and the cache events of engines identify it. The text is
/// the model's name, a bar, and the first [`PREFIX_CHARS`] characters of the first message.
#[must_use]
pub fn prefix(text: &str) -> u64 {
    xxh3::xxh3_64(text.as_bytes())
}

/// The number of characters of the first message that belong to its prefix.
pub const PREFIX_CHARS: usize = 64;

/// The servers of one group at one router.
#[derive(Clone, Debug, Default)]
pub struct Table {
    options: Options,
    servers: SlotMap<server::Key, Server>,
    addresses: BTreeMap<SmolStr, server::Key>,
    /// The sum of `external_requests` over all servers.
    external_requests: u64,
}

/// The number of eligible candidates, and the sum of their loads.
#[derive(Clone, Copy, Debug, Default)]
struct LoadTotal {
    count: usize,
    load: f64,
}

impl Table {
    /// Creates an empty table.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Adds a newly discovered server. A server that is already known by this address stays unchanged. `slots`
    /// is used until a report gives the actual number.
    pub fn add_server(
        &mut self,
        now: clock::Instant,
        address: SmolStr,
        failure_domain: SmolStr,
        slots: u32,
    ) -> server::Key {
        if let Some(key) = self.find(&address) {
            return key;
        }
        let key = self
            .servers
            .insert(Server::new(now, address.clone(), failure_domain, slots));
        self.addresses.insert(address, key);
        key
    }

    /// Removes a server.
    pub fn remove_server(&mut self, key: server::Key) {
        if let Some(server) = self.servers.remove(key) {
            self.addresses.remove(&server.address);
            self.external_requests -= u64::from(server.external_requests);
        }
    }

    /// Returns the key of the server at this address.
    #[must_use]
    pub fn find(&self, address: &str) -> Option<server::Key> {
        self.addresses.get(address).copied()
    }

    /// Returns the server with this key.
    #[must_use]
    pub fn get(&self, key: server::Key) -> Option<&Server> {
        self.servers.get(key)
    }

    /// Iterates over all servers.
    pub fn iter(&self) -> impl Iterator<Item = (server::Key, &Server)> {
        self.servers.iter()
    }

    /// Records a report, unless a newer one was recorded before.
    ///
    /// A report lags. Only the requests beyond those that this router itself had in progress at the report's time
    /// count as other routers' requests.
    pub fn record_report(&mut self, key: server::Key, report: Report) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        if server.report.is_some_and(|last| last.at > report.at) {
            return;
        }
        let total = report.running.saturating_add(report.waiting);
        let external_requests = total.saturating_sub(server.in_flight_at(report.at));
        self.external_requests = self.external_requests - u64::from(server.external_requests)
            + u64::from(external_requests);
        server.external_requests = external_requests;
        if report.slots > 0 {
            server.slots = report.slots;
        }
        server.report = Some(report);
    }

    /// Sets the slots of all servers that have not reported yet.
    pub fn set_slots(&mut self, slots: u32) {
        let unreported = self
            .servers
            .values_mut()
            .filter(|server| server.report.is_none());
        for server in unreported {
            server.slots = slots;
        }
    }

    /// Sets or clears the mark that a server is leaving.
    pub fn set_leaving(&mut self, key: server::Key, is_leaving: bool) {
        if let Some(server) = self.servers.get_mut(key) {
            server.is_leaving = is_leaving;
        }
    }

    /// Chooses the server among `candidates` that gets the next request. Returns `None` when all of them are full,
    /// leaving or backed off after failures. `seed` must differ between requests and between routers.
    #[must_use]
    pub fn choose(
        &self,
        now: clock::Instant,
        candidates: &[server::Key],
        prefix: Option<u64>,
        seed: u64,
    ) -> Option<server::Key> {
        let mut total = LoadTotal::default();
        for (_, server) in self.eligible(now, candidates) {
            total.count += 1;
            total.load += self.load(now, server);
        }
        if total.count == 0 {
            return None;
        }
        let by_prefix =
            prefix.and_then(|prefix| self.choose_by_prefix(now, candidates, prefix, total));
        by_prefix.or_else(|| self.choose_less_loaded(now, candidates, seed, total.count))
    }

    /// Records that a request was sent to a server.
    pub fn request_started(&mut self, now: clock::Instant, key: server::Key) {
        if let Some(server) = self.servers.get_mut(key) {
            server.record_in_flight(now);
            server.in_flight += 1;
        }
    }

    /// Records that a request ended; `failed` tells whether the server failed it.
    pub fn request_ended(&mut self, now: clock::Instant, key: server::Key, failed: bool) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        server.record_in_flight(now);
        server.in_flight = server.in_flight.saturating_sub(1);
        match failed {
            true => server.record_failure(now, &self.options),
            false => server.failures = 0,
        }
    }

    /// Records a cache event, which may be late and counts as a hint only. After a gap in the sequence numbers,
    /// everything learned from older events is dropped.
    pub fn record_cache_event(
        &mut self,
        key: server::Key,
        sequence: u64,
        prefix: u64,
        stored: bool,
    ) {
        let limit = self.options.max_prefixes;
        if let Some(server) = self.servers.get_mut(key) {
            server.cache.record_event(sequence, prefix, stored, limit);
        }
    }

    /// Clears what a server is believed to have in its cache, for example after it restarted.
    pub fn clear_cache(&mut self, key: server::Key) {
        if let Some(server) = self.servers.get_mut(key) {
            server.cache = cache::Cache::default();
        }
    }

    /// Returns the estimated number of requests in progress on a server, of this router and all others.
    #[must_use]
    pub fn load(&self, now: clock::Instant, server: &Server) -> f64 {
        let count = self.servers.len().max(1) as f64;
        let mean_external = self.external_requests as f64 / count;
        let report_weight = server.report_weight(now, &self.options);
        let external_requests = f64::from(server.external_requests) * report_weight
            + mean_external * (1.0 - report_weight);
        f64::from(server.in_flight) + external_requests
    }

    fn eligible<'a>(
        &'a self,
        now: clock::Instant,
        candidates: &'a [server::Key],
    ) -> impl Iterator<Item = (server::Key, &'a Server)> {
        candidates
            .iter()
            .filter_map(|key| Some((*key, self.servers.get(*key)?)))
            .filter(move |(_, server)| server.has_capacity(now, &self.options))
    }

    /// Draws two servers by the seed and returns the less loaded one. If that server is earlier in its slow start
    /// than the other, it is passed over with a probability that falls as its slow start proceeds.
    fn choose_less_loaded(
        &self,
        now: clock::Instant,
        candidates: &[server::Key],
        seed: u64,
        count: usize,
    ) -> Option<server::Key> {
        let drawn = xxh3::xxh3_64(&seed.to_le_bytes());
        let first = (drawn as u32) as usize % count;
        let step = (drawn >> u32::BITS) as usize % (count - 1).max(1);
        let second = (first + 1 + step) % count;
        let first = self.eligible(now, candidates).nth(first)?;
        let second = self.eligible(now, candidates).nth(second)?;
        let second_is_less_loaded = self.load(now, second.1) < self.load(now, first.1);
        let (less_loaded, more_loaded) = match second_is_less_loaded {
            true => (second, first),
            false => (first, second),
        };
        let slow_start_progress = less_loaded.1.slow_start_progress(now, &self.options);
        let passed_over = slow_start_progress
            < more_loaded.1.slow_start_progress(now, &self.options)
            && slow_start_progress <= unit_fraction(drawn);
        Some(if passed_over {
            more_loaded.0
        } else {
            less_loaded.0
        })
    }

    /// Returns the server that most likely has the prefix in its cache: one whose cache events said so, or else the
    /// first or second by rendezvous hashing. Servers above the load bound are left out.
    fn choose_by_prefix(
        &self,
        now: clock::Instant,
        candidates: &[server::Key],
        prefix: u64,
        total: LoadTotal,
    ) -> Option<server::Key> {
        let bound = self.options.imbalance * total.load / total.count as f64 + 1.0;
        let is_within_bound = |server: &Server| self.load(now, server) <= bound;
        let cached = self
            .eligible(now, candidates)
            .filter(|(_, server)| server.cache.contains(prefix))
            .filter(|(_, server)| is_within_bound(server))
            .min_by(|a, b| self.load(now, a.1).total_cmp(&self.load(now, b.1)));
        if let Some((key, _)) = cached {
            return Some(key);
        }
        let mut first = None;
        let mut second = None;
        for (key, server) in self.eligible(now, candidates) {
            let weight = xxh3::xxh3_64_with_seed(server.address.as_bytes(), prefix);
            let ranked = Some((weight, key, server));
            let outranks = |ranked_server: &Option<(u64, server::Key, &Server)>| {
                ranked_server.is_none_or(|(other, ..)| weight > other)
            };
            if outranks(&first) {
                second = first;
                first = ranked;
            } else if outranks(&second) {
                second = ranked;
            }
        }
        [first, second]
            .into_iter()
            .flatten()
            .find(|(_, _, server)| is_within_bound(server))
            .map(|(_, key, _)| key)
    }
}

/// Maps a random number to one that is uniformly distributed from 0 to 1.
fn unit_fraction(drawn: u64) -> f64 {
    let mixed = xxh3::xxh3_64(&drawn.to_le_bytes());
    f64::from(mixed as u32) / (f64::from(u32::MAX) + 1.0)
}
