//! What one process is told at its start, in INI.
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

use super::{lease, retry_budget};
use crate::{fault, field, ini_text};

/// The largest settings file, in bytes.
const LIMIT: usize = 64 << 10;

const SECTIONS: [&str; 10] = [
    "instance", "listen", "platform", "steward", "repeats", "quotas", "backend", "stop", "limits",
    "log",
];

const LEVELS: [field::Word<log::LevelFilter>; 4] = [
    ("error", log::LevelFilter::Error),
    ("warn", log::LevelFilter::Warn),
    ("info", log::LevelFilter::Info),
    ("debug", log::LevelFilter::Debug),
];
const YES_NO: [field::Word<bool>; 4] = [
    ("true", true),
    ("yes", true),
    ("false", false),
    ("no", false),
];
const ADDRESS_RULE: &str = "an IP address with a port";
const LEASE_MS: RangeInclusive<u64> = 500..=60_000;
const OBEY_MS: RangeInclusive<u64> = 100..=60_000;
const GRACE_MS: RangeInclusive<u64> = 500..=600_000;
const WINDOW_MS: RangeInclusive<u64> = 100..=600_000;
const DESCRIPTORS: RangeInclusive<u64> = 64..=10_000_000;
const TELL_ALL: RangeInclusive<u64> = 0..=1_000_000_000;
const CONFIG_BYTES: RangeInclusive<u64> = 0..=1_000_000_000;
const LINES: RangeInclusive<u64> = 1..=1_000_000;
const CPU_SHARE: RangeInclusive<f64> = 0.001..=1024.0;
const RATIO: RangeInclusive<f64> = 0.0..=10.0;
const EXTRA: RangeInclusive<f64> = 0.0..=1_000_000.0;

/// Stands in for an address that has a fault.
const NOWHERE: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);
/// An instance with fewer could not serve at all.
const LEAST_CONNECTIONS: usize = 16;
/// Descriptors that aren't for connections.
const OTHER_DESCRIPTORS: u64 = 250;

/// The settings of an instance that serves from a directory.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// `[instance] name`.
    pub instance: SmolStr,
    /// `[instance] failure_domain`.
    pub domain: SmolStr,
    /// `[instance] cpu_share`, 1 if left out: the part of a processor that it has.
    pub cpu_share: f64,
    /// `[listen] callers`: where callers reach it.
    pub callers: SocketAddr,
    /// `[listen] ready`: where it is asked whether it is ready, and for its metrics.
    pub ready: SocketAddr,
    /// `[listen] peers`: where other instances reach it.
    pub peers: SocketAddr,
    /// `[listen] peers_advertised`, that of `peers` if left out: the address that other instances are told, where
    /// something stands between that forwards to `peers`.
    pub peers_advertised: SocketAddr,
    /// `[platform] store`.
    pub store: SocketAddr,
    /// `[platform] apply_ms`, 2,000 if left out: within this of its acceptance a configuration must be in force.
    pub config_deadline: Duration,
    /// `[steward] lease_ms`, 3,000 if left out: the times of the steward's lease.
    pub lease: lease::Options,
    /// `[steward] fenced`, no if left out: engines refuse orders of an earlier holder.
    pub fenced: bool,
    /// `[steward] first_start`, yes if left out: the whole system starts for the first time, so that a lease which was never written is
    /// free at once.
    pub first_start: bool,
    /// `[steward] tell_all`, 50,000 if left out: up to so many instances times engines, the steward tells all instances of all
    /// engines. Then one that loses the steward while the store is away still knows where each model is; beyond, what is
    /// told would grow faster than links carry.
    pub all_engines_limit: usize,
    /// `[steward] config_bytes`, a megabyte if left out: a new configuration is sent to all instances if that is no more in all, and else to
    /// those only that the store doesn't answer.
    pub config_bytes: usize,
    /// `[repeats] ratio`, `extra` and `window_ms`: how much may be repeated; a tenth and nothing more if left out.
    pub retry_budget: retry_budget::Options,
    /// `[quotas]`: how quotas of organisations are held.
    pub quotas: Quotas,
    /// `[backend] obey_ms`, 2,000 if left out: within this of its entry a backend server that leaves must get no
    /// more requests.
    pub leaving_deadline: Duration,
    /// `[stop] grace_ms`, 8,000 if left out: how long a planned stop may take.
    pub grace: Duration,
    /// Connections of callers at once, from `[limits] descriptors`.
    pub connections: usize,
    /// `[log]`: what is written to the log.
    pub log: Log,
}

/// How quotas of organisations are held.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Quotas {
    /// `window_ms`, 8,000 if left out: a quota holds over any span of this length.
    pub window: Duration,
    /// `shared`, yes if left out: the steward tells which share of requests to admit. Otherwise each instance keeps to an
    /// equal part.
    pub shared: bool,
}

/// What is written to the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Log {
    /// `level`, `info` if left out.
    pub level: log::LevelFilter,
    /// `lines_per_second`, 1,000 if left out: more are dropped and counted, but for warnings and errors. A fifth of
    /// a processor serves some 200 requests in a second, with three lines each.
    pub lines_per_second: u32,
}

impl Settings {
    /// Reads and checks settings.
    ///
    /// # Errors
    ///
    /// Every fault, in the order of lines; see [`fault::LIMIT`].
    pub fn parse(text: &str) -> Result<Self, Vec<fault::Fault>> {
        let mut faults = fault::List::default();
        let sections = ini_text::read(text, LIMIT, &mut faults)?;
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
    let (instance, domain, cpu_share) = read_instance(&find("instance"), faults);
    let ([callers, ready, peers], peers_advertised) = read_listen(&find("listen"), faults);
    let (store, apply) = read_platform(&find("platform"), faults);
    let steward = read_steward(&find("steward"), faults);
    let repeats = read_repeats(&find("repeats"), faults);
    let quotas = read_quotas(&find("quotas"), faults);
    let obey = read_span(&find("backend"), "obey_ms", OBEY_MS, faults);
    let grace = read_span(&find("stop"), "grace_ms", GRACE_MS, faults);
    Settings {
        instance,
        domain,
        cpu_share,
        callers,
        ready,
        peers,
        peers_advertised,
        store,
        config_deadline: apply,
        lease: steward.lease,
        fenced: steward.fenced,
        first_start: steward.first_start,
        all_engines_limit: steward.tell_all,
        config_bytes: steward.config_bytes,
        retry_budget: repeats,
        quotas,
        leaving_deadline: obey.unwrap_or(Duration::from_secs(2)),
        grace: grace.unwrap_or(Duration::from_secs(8)),
        connections: read_connections(&find("limits"), faults),
        log: read_log(&find("log"), faults),
    }
}

fn read_instance(section: &ini_text::Section, faults: &mut fault::List) -> (SmolStr, SmolStr, f64) {
    let mut reader = field::Reader::new(section, faults);
    let name = reader.name("name");
    let domain = reader.name("failure_domain");
    let cpu_share = reader.optional_number("cpu_share", CPU_SHARE);
    reader.finish();
    (name, domain, cpu_share.unwrap_or(1.0))
}

/// The addresses for callers, for those who ask whether the instance is ready, and for peers; and the one that
/// peers are told.
fn read_listen(
    section: &ini_text::Section,
    faults: &mut fault::List,
) -> ([SocketAddr; 3], SocketAddr) {
    let mut reader = field::Reader::new(section, faults);
    let addresses = ["callers", "ready", "peers"]
        .map(|key| reader.required(key, ADDRESS_RULE, NOWHERE, field::parsed));
    let advertised = reader.optional("peers_advertised", ADDRESS_RULE, field::parsed);
    reader.finish();
    (addresses, advertised.unwrap_or(addresses[2]))
}

fn read_platform(section: &ini_text::Section, faults: &mut fault::List) -> (SocketAddr, Duration) {
    let mut reader = field::Reader::new(section, faults);
    let store = reader.required("store", ADDRESS_RULE, NOWHERE, field::parsed);
    let apply = reader.optional_millis("apply_ms", OBEY_MS);
    reader.finish();
    (store, apply.unwrap_or(Duration::from_secs(2)))
}

/// What stands under `[steward]`.
struct Steward {
    lease: lease::Options,
    fenced: bool,
    first_start: bool,
    tell_all: usize,
    config_bytes: usize,
}

fn read_steward(section: &ini_text::Section, faults: &mut fault::List) -> Steward {
    let mut reader = field::Reader::new(section, faults);
    let term = reader.optional_millis("lease_ms", LEASE_MS);
    let fenced = reader.optional_word("fenced", &YES_NO);
    let first_start = reader.optional_word("first_start", &YES_NO);
    let tell_all = reader.optional_whole("tell_all", TELL_ALL);
    let config_bytes = reader.optional_whole("config_bytes", CONFIG_BYTES);
    reader.finish();
    let term = term.unwrap_or(Duration::from_secs(3));
    let tell_all = tell_all.and_then(|most: u64| usize::try_from(most).ok());
    Steward {
        lease: lease::Options::new(term),
        fenced: fenced.unwrap_or(false),
        first_start: first_start.unwrap_or(true),
        tell_all: tell_all.unwrap_or(50_000),
        config_bytes: config_bytes
            .and_then(|most: u64| usize::try_from(most).ok())
            .unwrap_or(1 << 20),
    }
}

/// A section with one span of time.
fn read_span(
    section: &ini_text::Section,
    key: &'static str,
    range: RangeInclusive<u64>,
    faults: &mut fault::List,
) -> Option<Duration> {
    let mut reader = field::Reader::new(section, faults);
    let span = reader.optional_millis(key, range);
    reader.finish();
    span
}

fn read_connections(section: &ini_text::Section, faults: &mut fault::List) -> usize {
    let mut reader = field::Reader::new(section, faults);
    let descriptors = reader.optional_whole("descriptors", DESCRIPTORS);
    reader.finish();
    let descriptors: u64 = descriptors.unwrap_or(1024);
    // Each request needs a connection on both sides.
    let connections = descriptors.saturating_sub(OTHER_DESCRIPTORS) / 2;
    usize::try_from(connections)
        .unwrap_or(usize::MAX)
        .max(LEAST_CONNECTIONS)
}

fn read_log(section: &ini_text::Section, faults: &mut fault::List) -> Log {
    let mut reader = field::Reader::new(section, faults);
    let level = reader.optional_word("level", &LEVELS);
    let lines_per_second = reader.optional_whole("lines_per_second", LINES);
    reader.finish();
    Log {
        level: level.unwrap_or(log::LevelFilter::Info),
        lines_per_second: lines_per_second.unwrap_or(1000),
    }
}

fn read_quotas(section: &ini_text::Section, faults: &mut fault::List) -> Quotas {
    let mut reader = field::Reader::new(section, faults);
    let window = reader.optional_millis("window_ms", WINDOW_MS);
    let shared = reader.optional_word("shared", &YES_NO);
    reader.finish();
    Quotas {
        window: window.unwrap_or(Duration::from_secs(8)),
        shared: shared.unwrap_or(true),
    }
}

fn read_repeats(section: &ini_text::Section, faults: &mut fault::List) -> retry_budget::Options {
    let mut reader = field::Reader::new(section, faults);
    let repeats = retry_budget::Options {
        ratio: reader.optional_number("ratio", RATIO).unwrap_or(0.1),
        extra: reader.optional_number("extra", EXTRA).unwrap_or(0.0),
        window: reader
            .optional_millis("window_ms", WINDOW_MS)
            .unwrap_or(Duration::from_secs(10)),
    };
    reader.finish();
    repeats
}
