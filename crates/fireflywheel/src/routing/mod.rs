//! Which backend server of one group gets a request, decided by one router on its own.
//!
//! What a router knows of others' requests is late. Routers that all followed the same late report would all
//! send to the server that was idle when it was written, and leave it overloaded until the next one. Three
//! things keep them apart: two servers drawn by a seed of the router's own are compared, not all; what a
//! report says fades with its age towards the mean of all servers, while the router's own requests are always
//! counted in full; and a server that just joined or came back is mostly passed over at first.

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
    /// Age at which what a report says of others counts half.
    pub half_life: Duration,
    /// Age from which it counts nothing.
    pub report_ttl: Duration,
    /// Time over which a server that just joined comes to be chosen like the others.
    pub slow_start: Duration,
    /// The server with the prefix in its cache is taken unless its load is above this many times the mean,
    /// plus one.
    pub imbalance: f64,
    /// How long a server is left alone after a failure; doubles with each further one.
    pub backoff: Duration,
    /// The longest such time.
    pub max_backoff: Duration,
    /// Prefixes remembered for each server.
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

/// What a backend server said of its load.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// Requests that run there, of all routers.
    pub running: u32,
    /// Requests that wait there, of all routers.
    pub waiting: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// When that was so, as well as this router can tell.
    pub at: clock::Instant,
}

/// The hash of a prompt's beginning, as routing and an engine's cache events name it: the model's name, a
/// bar, and the first [`PREFIX_CHARS`] characters of the first message.
#[must_use]
pub fn prefix(text: &str) -> u64 {
    xxh3::xxh3_64(text.as_bytes())
}

/// The part of a first message that names its prefix, in characters.
pub const PREFIX_CHARS: usize = 64;

/// The servers of one group at one router.
#[derive(Clone, Debug, Default)]
pub struct Table {
    options: Options,
    servers: SlotMap<server::Key, Server>,
    addresses: BTreeMap<SmolStr, server::Key>,
    /// Sum of the servers' `others`.
    others: u64,
}

/// Loads of the eligible candidates, all at once.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    count: usize,
    load: f64,
}

impl Table {
    /// An empty table.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Adds a server that was just learned of; one known by this address stays as it is. `slots` hold until
    /// a report tells them.
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

    /// Forgets a server.
    pub fn remove_server(&mut self, key: server::Key) {
        if let Some(server) = self.servers.remove(key) {
            self.addresses.remove(&server.address);
            self.others -= u64::from(server.others);
        }
    }

    /// The server at this address.
    #[must_use]
    pub fn find(&self, address: &str) -> Option<server::Key> {
        self.addresses.get(address).copied()
    }

    /// A server.
    #[must_use]
    pub fn get(&self, key: server::Key) -> Option<&Server> {
        self.servers.get(key)
    }

    /// All servers.
    pub fn iter(&self) -> impl Iterator<Item = (server::Key, &Server)> {
        self.servers.iter()
    }

    /// Takes a lagged report in, unless a newer one was taken before.
    pub fn record_report(&mut self, key: server::Key, report: Report) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        if server.report.is_some_and(|last| last.at > report.at) {
            return;
        }
        let total = report.running.saturating_add(report.waiting);
        let others = total.saturating_sub(server.own_at(report.at));
        self.others = self.others - u64::from(server.others) + u64::from(others);
        server.others = others;
        if report.slots > 0 {
            server.slots = report.slots;
        }
        server.report = Some(report);
    }

    /// The slots of servers that haven't told theirs in a report.
    pub fn set_slots(&mut self, slots: u32) {
        let silent = self
            .servers
            .values_mut()
            .filter(|server| server.report.is_none());
        for server in silent {
            server.slots = slots;
        }
    }

    /// Marks a server as leaving, or as staying after all.
    pub fn set_leaving(&mut self, key: server::Key, leaving: bool) {
        if let Some(server) = self.servers.get_mut(key) {
            server.leaving = leaving;
        }
    }

    /// The server that gets the next request, of `candidates`, or `None` when all are full, leaving or left
    /// alone after failures. `seed` is to differ from request to request and from router to router.
    #[must_use]
    pub fn choose(
        &self,
        now: clock::Instant,
        candidates: &[server::Key],
        prefix: Option<u64>,
        seed: u64,
    ) -> Option<server::Key> {
        let mut sum = Sum::default();
        for (_, server) in self.eligible(now, candidates) {
            sum.count += 1;
            sum.load += self.load(now, server);
        }
        if sum.count == 0 {
            return None;
        }
        let affine = prefix.and_then(|prefix| self.affine(now, candidates, prefix, sum));
        affine.or_else(|| self.lighter(now, candidates, seed, sum.count))
    }

    /// A request was sent to a server.
    pub fn request_started(&mut self, now: clock::Instant, key: server::Key) {
        if let Some(server) = self.servers.get_mut(key) {
            server.note(now);
            server.in_flight += 1;
        }
    }

    /// A request that was sent is over; `failed` when the server failed it.
    pub fn request_ended(&mut self, now: clock::Instant, key: server::Key, failed: bool) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        server.note(now);
        server.in_flight = server.in_flight.saturating_sub(1);
        match failed {
            true => server.fail(now, &self.options),
            false => server.failures = 0,
        }
    }

    /// Takes a late cache event in as a hint. After a gap in the events nothing older is believed.
    pub fn record_cache_event(
        &mut self,
        key: server::Key,
        sequence: u64,
        prefix: u64,
        stored: bool,
    ) {
        let limit = self.options.max_prefixes;
        if let Some(server) = self.servers.get_mut(key) {
            server.cache.event(sequence, prefix, stored, limit);
        }
    }

    /// Forgets what a server is believed to have in its cache, such as after it restarted.
    pub fn clear_cache(&mut self, key: server::Key) {
        if let Some(server) = self.servers.get_mut(key) {
            server.cache = cache::Cache::default();
        }
    }

    /// Requests in progress at a server as this router believes, its own among them.
    #[must_use]
    pub fn load(&self, now: clock::Instant, server: &Server) -> f64 {
        let count = self.servers.len().max(1) as f64;
        let mean_others = self.others as f64 / count;
        let trust = server.trust(now, &self.options);
        let others = f64::from(server.others) * trust + mean_others * (1.0 - trust);
        f64::from(server.in_flight) + others
    }

    fn eligible<'a>(
        &'a self,
        now: clock::Instant,
        candidates: &'a [server::Key],
    ) -> impl Iterator<Item = (server::Key, &'a Server)> {
        candidates
            .iter()
            .filter_map(|key| Some((*key, self.servers.get(*key)?)))
            .filter(move |(_, server)| server.takes_more(now, &self.options))
    }

    /// The lighter of two that are drawn by the seed. One that just joined is passed over, the less often
    /// the longer it is there.
    fn lighter(
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
        let second_is_lighter = self.load(now, second.1) < self.load(now, first.1);
        let (lighter, heavier) = match second_is_lighter {
            true => (second, first),
            false => (first, second),
        };
        let risen = lighter.1.risen(now, &self.options);
        let passed_over = risen < heavier.1.risen(now, &self.options) && risen <= fraction(drawn);
        Some(if passed_over { heavier.0 } else { lighter.0 })
    }

    /// The server that should have the prefix in its cache, unless it is too busy: one whose cache events
    /// said so, or else the first or second by rendezvous hash.
    fn affine(
        &self,
        now: clock::Instant,
        candidates: &[server::Key],
        prefix: u64,
        sum: Sum,
    ) -> Option<server::Key> {
        let bound = self.options.imbalance * sum.load / sum.count as f64 + 1.0;
        let within = |server: &Server| self.load(now, server) <= bound;
        let cached = self
            .eligible(now, candidates)
            .filter(|(_, server)| server.cache.contains(prefix))
            .filter(|(_, server)| within(server))
            .min_by(|a, b| self.load(now, a.1).total_cmp(&self.load(now, b.1)));
        if let Some((key, _)) = cached {
            return Some(key);
        }
        let mut first = None;
        let mut second = None;
        for (key, server) in self.eligible(now, candidates) {
            let weight = xxh3::xxh3_64_with_seed(server.address.as_bytes(), prefix);
            let ranked = Some((weight, key, server));
            let above = |place: &Option<(u64, server::Key, &Server)>| {
                place.is_none_or(|(other, ..)| weight > other)
            };
            if above(&first) {
                second = first;
                first = ranked;
            } else if above(&second) {
                second = ranked;
            }
        }
        [first, second]
            .into_iter()
            .flatten()
            .find(|(_, _, server)| within(server))
            .map(|(_, key, _)| key)
    }
}

/// A number from 0 to 1, evenly spread.
fn fraction(drawn: u64) -> f64 {
    let mixed = xxh3::xxh3_64(&drawn.to_le_bytes());
    f64::from(mixed as u32) / (f64::from(u32::MAX) + 1.0)
}
