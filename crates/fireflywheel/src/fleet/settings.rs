//! Settings that one process reads at its start, in INI format.
//!
//! ```
//! use fireflywheel::fleet::settings::Settings;
//!
//! let settings = Settings::parse(
//!     "[instance]\n\
//!      name = a1\n\
//!      failure_domain = fd1\n\
//!      [listen]\n\
//!      callers = 10.0.0.1:8080\n\
//!      ready = 10.0.0.1:8081\n\
//!      peers = 10.0.0.1:8082\n\
//!      [platform]\n\
//!      store = 10.0.0.9:7000\n",
//! )
//! .expect("these settings have no faults");
//! assert_eq!(settings.instance, "a1");
//! ```

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::ops::RangeInclusive;
use std::time::Duration;

use smol_str::SmolStr;

use super::{lease, retry_budget, scheduling};
use crate::{fault, field, ini_text};

/// The largest settings file, in bytes.
const MAX_FILE_BYTES: usize = 64 << 10;

const SECTIONS: [&str; 11] = [
    "instance",
    "listen",
    "platform",
    "steward",
    "repeats",
    "quotas",
    "scheduling",
    "backend",
    "stop",
    "limits",
    "log",
];

const LEVEL_WORDS: [field::Keyword<log::LevelFilter>; 4] = [
    ("error", log::LevelFilter::Error),
    ("warn", log::LevelFilter::Warn),
    ("info", log::LevelFilter::Info),
    ("debug", log::LevelFilter::Debug),
];
const BOOLEAN_WORDS: [field::Keyword<bool>; 4] = [
    ("true", true),
    ("yes", true),
    ("false", false),
    ("no", false),
];
const ADDRESS_RULE: &str = "an IP address with a port";
const LEASE_MS_RANGE: RangeInclusive<u64> = 500..=60_000;
const HEARTBEAT_MS_RANGE: RangeInclusive<u64> = 50..=600_000;
const OBEY_MS_RANGE: RangeInclusive<u64> = 100..=60_000;
const GRACE_MS_RANGE: RangeInclusive<u64> = 500..=600_000;
const WINDOW_MS_RANGE: RangeInclusive<u64> = 100..=600_000;
const DESCRIPTORS_RANGE: RangeInclusive<u64> = 64..=10_000_000;
const MEMORY_MB_RANGE: RangeInclusive<u64> = 16..=100_000_000;
const TELL_ALL_RANGE: RangeInclusive<u64> = 0..=1_000_000_000;
const LINES_PER_SECOND_RANGE: RangeInclusive<u64> = 1..=1_000_000;
const CPU_SHARE_RANGE: RangeInclusive<f64> = 0.001..=1024.0;
const RATIO_RANGE: RangeInclusive<f64> = 0.0..=10.0;
const SCARCE_SLOTS_RANGE: RangeInclusive<u64> = 0..=10_000;
const EXTRA_RANGE: RangeInclusive<f64> = 0.0..=1_000_000.0;

/// Placeholder for an address that has a fault.
const PLACEHOLDER_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);
/// The lowest limit of connections: an instance with fewer could not serve at all.
const MIN_CONNECTIONS: usize = 16;
/// File descriptors that are not available for connections.
const RESERVED_DESCRIPTORS: u64 = 250;

/// The settings of an instance that serves from a directory.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// `[instance] name`: the instance's name.
    pub instance: SmolStr,
    /// `[instance] failure_domain`: the instance's failure domain.
    pub failure_domain: SmolStr,
    /// `[instance] cpu_share`, 1 if left out: the instance's share of a processor.
    pub cpu_share: f64,
    /// `[listen] callers`: the address for callers.
    pub callers: SocketAddr,
    /// `[listen] ready`: the address for readiness checks and metrics.
    pub ready: SocketAddr,
    /// `[listen] peers`: the address for other instances.
    pub peers: SocketAddr,
    /// `[listen] peers_advertised`, the address of `peers` if left out: the address announced to other
    /// instances, for an instance behind something that forwards to `peers`.
    pub peers_advertised: SocketAddr,
    /// `[platform] store`: the address of the platform's store.
    pub store: SocketAddr,
    /// `[platform] apply_ms`, 2,000 if left out: the time from a configuration's acceptance within which it
    /// must be in force.
    pub config_deadline: Duration,
    /// `[platform] heartbeat_ms`, 1,200 if left out: the interval at which backend servers write their entries.
    pub heartbeat: Duration,
    /// `[steward] lease_ms`, 3,000 if left out: the durations of the steward's lease, derived from its
    /// term.
    pub lease: lease::Options,
    /// `[steward] fenced`, no if left out: engines check fencing numbers and refuse orders of an earlier
    /// holder.
    pub fenced: bool,
    /// `[steward] first_start`, yes if left out: the whole system starts for the first time, so a lease
    /// that was never written is free at once.
    pub first_start: bool,
    /// `[steward] tell_all`, 50,000 if left out: up to this product of instances and engines, the steward
    /// reports all engines to all instances. An instance that loses the steward while the store is
    /// unreachable then still knows where each model is. Above it, the reports would grow faster than links
    /// can carry.
    pub all_engines_limit: usize,
    /// `[repeats] ratio`, `extra` and `window_ms`: the retry budget; a tenth of the requests and nothing
    /// more if left out.
    pub retry_budget: retry_budget::Options,
    /// `[quotas]`: how quotas of organisations are enforced.
    pub quotas: Quotas,
    /// `[scheduling]`: how requests are scheduled where places at engines are scarce.
    pub scheduling: scheduling::Options,
    /// `[backend] obey_ms`, 2,000 if left out: the time after its entry in the directory within which
    /// requests to a leaving backend server must stop.
    pub leaving_deadline: Duration,
    /// `[stop] grace_ms`, 8,000 if left out: the longest time that a planned stop may take.
    pub grace_period: Duration,
    /// The number of concurrent connections of callers, derived from `[limits] descriptors`.
    pub max_connections: usize,
    /// `[limits] memory_mb`: the memory of the process, of which a part is for bytes of requests and answers; unbounded if left
    /// out.
    pub memory_bytes: Option<u64>,
    /// `[log]`: what is written to the log.
    pub log: Log,
}

/// How quotas of organisations are enforced.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Quotas {
    /// `window_ms`, 8,000 if left out: the length of the window over which a quota holds.
    pub window: Duration,
    /// `shared`, yes if left out: the steward decides which share of requests to admit. Otherwise each
    /// instance enforces an equal part of the quota.
    pub shared: bool,
}

/// What is written to the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Log {
    /// `level`, `info` if left out: the most verbose level that is written.
    pub level: log::LevelFilter,
    /// `lines_per_second`, 1,000 if left out: lines above this rate are dropped and counted, except for
    /// warnings and errors. For comparison: with a fifth of a processor, an instance serves some 200
    /// requests per second, with three lines each.
    pub lines_per_second: u32,
}

impl Settings {
    /// Parses and validates settings.
    ///
    /// # Errors
    ///
    /// Returns every fault, in the order of lines; see [`fault::MAX_FAULTS`].
    pub fn parse(text: &str) -> Result<Self, Vec<fault::Fault>> {
        let mut faults = fault::List::default();
        let sections = ini_text::read(text, MAX_FILE_BYTES, &mut faults)?;
        for section in &sections {
            if !SECTIONS.contains(&section.name.as_str()) {
                let allowed = fault::Allowed::Known {
                    noun: SmolStr::from("section"),
                    nearest: faults.suggest(&section.name, SECTIONS),
                };
                faults.push(fault::Fault::new(section.line, allowed).with_found(&section.name));
            }
        }
        let settings = read(&sections, &mut faults);
        faults.finish(settings)
    }
}

fn read(sections: &[ini_text::Section], faults: &mut fault::List) -> Settings {
    let find = |name| ini_text::find(sections, name);
    let (instance, failure_domain, cpu_share) = read_instance(&find("instance"), faults);
    let ([callers, ready, peers], peers_advertised) = read_listen(&find("listen"), faults);
    let (store, config_deadline, heartbeat) = read_platform(&find("platform"), faults);
    let steward = read_steward(&find("steward"), faults);
    let retry_budget = read_retry_budget(&find("repeats"), faults);
    let quotas = read_quotas(&find("quotas"), faults);
    let scheduling = read_scheduling(&find("scheduling"), faults);
    let leaving_deadline = read_duration(&find("backend"), "obey_ms", OBEY_MS_RANGE, faults);
    let grace = read_duration(&find("stop"), "grace_ms", GRACE_MS_RANGE, faults);
    let (max_connections, memory_bytes) = read_limits(&find("limits"), faults);
    Settings {
        instance,
        failure_domain,
        cpu_share,
        callers,
        ready,
        peers,
        peers_advertised,
        store,
        config_deadline,
        heartbeat,
        lease: steward.lease,
        fenced: steward.fenced,
        first_start: steward.first_start,
        all_engines_limit: steward.all_engines_limit,
        retry_budget,
        quotas,
        scheduling,
        leaving_deadline: leaving_deadline.unwrap_or(Duration::from_secs(2)),
        grace_period: grace.unwrap_or(Duration::from_secs(8)),
        max_connections,
        memory_bytes,
        log: read_log(&find("log"), faults),
    }
}

fn read_instance(section: &ini_text::Section, faults: &mut fault::List) -> (SmolStr, SmolStr, f64) {
    let mut reader = field::Reader::new(section, faults);
    let name = reader.name("name");
    let failure_domain = reader.name("failure_domain");
    let cpu_share = reader.optional_number("cpu_share", CPU_SHARE_RANGE);
    reader.finish();
    (name, failure_domain, cpu_share.unwrap_or(1.0))
}

/// Reads the addresses for callers, for readiness checks and for peers, and the address announced to peers.
fn read_listen(
    section: &ini_text::Section,
    faults: &mut fault::List,
) -> ([SocketAddr; 3], SocketAddr) {
    let mut reader = field::Reader::new(section, faults);
    let addresses = ["callers", "ready", "peers"]
        .map(|key| reader.required(key, ADDRESS_RULE, PLACEHOLDER_ADDRESS, field::parse));
    let advertised = reader.optional("peers_advertised", ADDRESS_RULE, field::parse);
    reader.finish();
    (addresses, advertised.unwrap_or(addresses[2]))
}

fn read_platform(
    section: &ini_text::Section,
    faults: &mut fault::List,
) -> (SocketAddr, Duration, Duration) {
    let mut reader = field::Reader::new(section, faults);
    let store = reader.required("store", ADDRESS_RULE, PLACEHOLDER_ADDRESS, field::parse);
    let config_deadline = reader.optional_millis("apply_ms", OBEY_MS_RANGE);
    let heartbeat = reader.optional_millis("heartbeat_ms", HEARTBEAT_MS_RANGE);
    reader.finish();
    (
        store,
        config_deadline.unwrap_or(Duration::from_secs(2)),
        heartbeat.unwrap_or(Duration::from_millis(1200)),
    )
}

/// The settings of section `[steward]`.
struct Steward {
    lease: lease::Options,
    fenced: bool,
    first_start: bool,
    all_engines_limit: usize,
}

fn read_steward(section: &ini_text::Section, faults: &mut fault::List) -> Steward {
    let mut reader = field::Reader::new(section, faults);
    let term = reader.optional_millis("lease_ms", LEASE_MS_RANGE);
    let fenced = reader.optional_keyword("fenced", &BOOLEAN_WORDS);
    let first_start = reader.optional_keyword("first_start", &BOOLEAN_WORDS);
    let all_engines_limit = reader.optional_integer("tell_all", TELL_ALL_RANGE);
    reader.finish();
    let term = term.unwrap_or(Duration::from_secs(3));
    let all_engines_limit = all_engines_limit.and_then(|limit: u64| usize::try_from(limit).ok());
    Steward {
        lease: lease::Options::new(term),
        fenced: fenced.unwrap_or(false),
        first_start: first_start.unwrap_or(true),
        all_engines_limit: all_engines_limit.unwrap_or(50_000),
    }
}

/// Reads a section with one duration.
fn read_duration(
    section: &ini_text::Section,
    key: &'static str,
    range: RangeInclusive<u64>,
    faults: &mut fault::List,
) -> Option<Duration> {
    let mut reader = field::Reader::new(section, faults);
    let duration = reader.optional_millis(key, range);
    reader.finish();
    duration
}

/// Reads the number of connections and the memory in bytes.
fn read_limits(section: &ini_text::Section, faults: &mut fault::List) -> (usize, Option<u64>) {
    let mut reader = field::Reader::new(section, faults);
    let descriptors = reader.optional_integer("descriptors", DESCRIPTORS_RANGE);
    let memory_mb: Option<u64> = reader.optional_integer("memory_mb", MEMORY_MB_RANGE);
    reader.finish();
    let descriptors: u64 = descriptors.unwrap_or(1024);
    // Each request needs a connection to the caller and one to the backend server.
    let connections = descriptors.saturating_sub(RESERVED_DESCRIPTORS) / 2;
    let connections = usize::try_from(connections)
        .unwrap_or(usize::MAX)
        .max(MIN_CONNECTIONS);
    (connections, memory_mb.map(|megabytes| megabytes << 20))
}

fn read_log(section: &ini_text::Section, faults: &mut fault::List) -> Log {
    let mut reader = field::Reader::new(section, faults);
    let level = reader.optional_keyword("level", &LEVEL_WORDS);
    let lines_per_second = reader.optional_integer("lines_per_second", LINES_PER_SECOND_RANGE);
    reader.finish();
    Log {
        level: level.unwrap_or(log::LevelFilter::Info),
        lines_per_second: lines_per_second.unwrap_or(1000),
    }
}

fn read_quotas(section: &ini_text::Section, faults: &mut fault::List) -> Quotas {
    let mut reader = field::Reader::new(section, faults);
    let window = reader.optional_millis("window_ms", WINDOW_MS_RANGE);
    let shared = reader.optional_keyword("shared", &BOOLEAN_WORDS);
    reader.finish();
    Quotas {
        window: window.unwrap_or(Duration::from_secs(8)),
        shared: shared.unwrap_or(true),
    }
}

fn read_scheduling(section: &ini_text::Section, faults: &mut fault::List) -> scheduling::Options {
    let mut reader = field::Reader::new(section, faults);
    let scarce_slots = reader.optional_integer("scarce_slots", SCARCE_SLOTS_RANGE);
    let parts = reader.optional(
        "parts",
        "names of waiting, refusal, quotas, speed, placement and prefixes, separated by commas",
        scheduling::Parts::named,
    );
    reader.finish();
    scheduling::Options {
        scarce_slots: scarce_slots.unwrap_or_default(),
        parts: parts.unwrap_or_default(),
    }
}

fn read_retry_budget(
    section: &ini_text::Section,
    faults: &mut fault::List,
) -> retry_budget::Options {
    let mut reader = field::Reader::new(section, faults);
    let options = retry_budget::Options {
        ratio: reader.optional_number("ratio", RATIO_RANGE).unwrap_or(0.1),
        extra: reader.optional_number("extra", EXTRA_RANGE).unwrap_or(0.0),
        window: reader
            .optional_millis("window_ms", WINDOW_MS_RANGE)
            .unwrap_or(Duration::from_secs(10)),
    };
    reader.finish();
    options
}
