//! Parsing of settings.

use std::{net::SocketAddr, ops::RangeInclusive, path::PathBuf};

use smol_str::SmolStr;

use crate::{
    fault, field, ini_text,
    settings::{Format, Instance, Limits, Listen, Log, Peers, Platform, Settings, Timing},
};

/// Maximum size of a settings file, in bytes.
pub const MAX_BYTES: usize = 64 * 1024;

const CONNECTIONS_RANGE: RangeInclusive<u64> = 1..=1_000_000;
const HEADER_BYTES_RANGE: RangeInclusive<u64> = 1_024..=1_048_576;
const BODY_BYTES_RANGE: RangeInclusive<u64> = 1_024..=67_108_864;
const STREAM_BUFFER_BYTES_RANGE: RangeInclusive<u64> = 1_024..=16_777_216;
const QUEUE_RANGE: RangeInclusive<u64> = 1..=1_000_000;
/// Ten milliseconds to one hour. With a shorter interval a machine that is briefly busy would appear to
/// have failed.
const INTERVAL_MS_RANGE: RangeInclusive<u64> = 10..=3_600_000;
const DRAIN_DELAY_MS_RANGE: RangeInclusive<u64> = 0..=600_000;
const DRAIN_LIMIT_MS_RANGE: RangeInclusive<u64> = 1..=86_400_000;
const CHECKPOINT_RECORDS_RANGE: RangeInclusive<u64> = 10..=1_000_000;
const CHECKPOINT_S_RANGE: RangeInclusive<u64> = 1..=86_400;
const GONE_AFTER_S_RANGE: RangeInclusive<u64> = 1..=86_400;

const PATH_RULE: &str = "the path of a file";

const LEVELS: [field::Keyword<log::LevelFilter>; 5] = [
    ("error", log::LevelFilter::Error),
    ("warn", log::LevelFilter::Warn),
    ("info", log::LevelFilter::Info),
    ("debug", log::LevelFilter::Debug),
    ("trace", log::LevelFilter::Trace),
];

const FORMATS: [field::Keyword<Format>; 2] = [("text", Format::Text), ("json", Format::Json)];

const SECTIONS: [&str; 7] = [
    "instance", "listen", "platform", "peers", "limits", "timing", "log",
];

impl Settings {
    /// Parses and checks settings of at most [`MAX_BYTES`] bytes.
    ///
    /// # Errors
    ///
    /// All faults, in the order of lines; see [`fault::MAX_FAULTS`].
    pub fn parse(text: &str) -> Result<Self, Vec<fault::Fault>> {
        let mut faults = fault::List::default();
        let sections = ini_text::read(text, MAX_BYTES, &mut faults)?;
        report_unknown_sections(&sections, &mut faults);
        let settings = Self {
            instance: read_instance(&ini_text::find(&sections, "instance"), &mut faults),
            listen: read_listen(&ini_text::find(&sections, "listen"), &mut faults),
            platform: read_platform(&ini_text::find(&sections, "platform"), &mut faults),
            peers: read_peers(&ini_text::find(&sections, "peers"), &mut faults),
            limits: read_limits(&ini_text::find(&sections, "limits"), &mut faults),
            timing: read_timing(&ini_text::find(&sections, "timing"), &mut faults),
            log: read_log(&ini_text::find(&sections, "log"), &mut faults),
        };
        faults.finish(settings)
    }
}

/// Adds a fault for each unknown section.
fn report_unknown_sections(sections: &[ini_text::Section], faults: &mut fault::List) {
    for section in sections {
        if SECTIONS.contains(&section.name.as_str()) {
            continue;
        }
        let allowed = fault::Allowed::Known {
            noun: SmolStr::from("section"),
            nearest: faults.suggest(&section.name, SECTIONS),
        };
        faults.push(fault::Fault::new(section.line, allowed).with_found(&section.name));
    }
}

fn read_instance(section: &ini_text::Section, faults: &mut fault::List) -> Instance {
    let mut reader = field::Reader::new(section, faults);
    let instance = Instance {
        name: reader.name("name"),
        failure_domain: reader.name("failure_domain"),
        region: reader
            .optional("region", field::NAME_RULE, field::parse_name)
            .unwrap_or(SmolStr::new_static("default")),
    };
    reader.finish();
    instance
}

fn read_listen(section: &ini_text::Section, faults: &mut fault::List) -> Listen {
    let mut reader = field::Reader::new(section, faults);
    let default = Listen::default();
    let listen = Listen {
        caller: reader.optional_address("caller").unwrap_or(default.caller),
        peer: reader.optional_address("peer").unwrap_or(default.peer),
        operator: reader
            .optional_address("operator")
            .unwrap_or(default.operator),
        advertise: reader.optional_address("advertise"),
    };
    check_listen(&listen, &mut reader);
    reader.finish();
    listen
}

fn check_listen(listen: &Listen, reader: &mut field::Reader<'_>) {
    let same = |a: SocketAddr, b: SocketAddr| a == b && a.port() != 0;
    if same(listen.caller, listen.peer) || same(listen.operator, listen.peer) {
        reader.rule("peer", "the address is that of another door");
    }
    if same(listen.caller, listen.operator) {
        reader.rule("operator", "the address is that of another door");
    }
    match listen.advertise {
        Some(address) if address.port() == 0 || address.ip().is_unspecified() => {
            reader.rule("advertise", "others can't connect to this address");
        }
        None if listen.peer.ip().is_unspecified() => {
            reader.rule(
                "peer",
                "needs `advertise`, since others can't connect to this address",
            );
        }
        Some(_) | None => {}
    }
}

fn read_platform(section: &ini_text::Section, faults: &mut fault::List) -> Platform {
    let mut reader = field::Reader::new(section, faults);
    let platform = Platform {
        log: read_url(&mut reader, "log"),
        list: read_url(&mut reader, "list"),
    };
    reader.finish();
    platform
}

fn read_peers(section: &ini_text::Section, faults: &mut fault::List) -> Peers {
    let mut reader = field::Reader::new(section, faults);
    let peers = Peers {
        key_file: reader.required("key_file", PATH_RULE, PathBuf::new(), parse_path),
        seeds: reader
            .optional_list("seeds", "addresses `IP:PORT` between commas", field::parse)
            .unwrap_or_default(),
    };
    reader.finish();
    peers
}

fn read_limits(section: &ini_text::Section, faults: &mut fault::List) -> Limits {
    let mut reader = field::Reader::new(section, faults);
    let default = Limits::default();
    let limits = Limits {
        max_connections: reader
            .optional_integer("connections", CONNECTIONS_RANGE)
            .unwrap_or(default.max_connections),
        header_bytes: reader
            .optional_integer("header_bytes", HEADER_BYTES_RANGE)
            .unwrap_or(default.header_bytes),
        body_bytes: reader
            .optional_integer("body_bytes", BODY_BYTES_RANGE)
            .unwrap_or(default.body_bytes),
        idle_timeout: reader
            .optional_millis("idle_ms", INTERVAL_MS_RANGE)
            .unwrap_or(default.idle_timeout),
        stream_buffer_bytes: reader
            .optional_integer("stream_buffer_bytes", STREAM_BUFFER_BYTES_RANGE)
            .unwrap_or(default.stream_buffer_bytes),
        max_queue: reader
            .optional_integer("queue", QUEUE_RANGE)
            .unwrap_or(default.max_queue),
    };
    reader.finish();
    limits
}

fn read_timing(section: &ini_text::Section, faults: &mut fault::List) -> Timing {
    let mut reader = field::Reader::new(section, faults);
    let default = Timing::default();
    let mut millis = |key, range, default| reader.optional_millis(key, range).unwrap_or(default);
    let mut timing = Timing {
        ping_interval: millis("ping_ms", INTERVAL_MS_RANGE, default.ping_interval),
        suspect_timeout: millis("suspect_ms", INTERVAL_MS_RANGE, default.suspect_timeout),
        dead_timeout: millis("dead_ms", INTERVAL_MS_RANGE, default.dead_timeout),
        list_interval: millis("list_ms", INTERVAL_MS_RANGE, default.list_interval),
        report_interval: millis("report_ms", INTERVAL_MS_RANGE, default.report_interval),
        drain_delay: millis("drain_delay_ms", DRAIN_DELAY_MS_RANGE, default.drain_delay),
        drain_limit: millis("drain_limit_ms", DRAIN_LIMIT_MS_RANGE, default.drain_limit),
        log_wait: millis("log_wait_ms", INTERVAL_MS_RANGE, default.log_wait),
        ..default
    };
    timing.checkpoint_records = reader
        .optional_integer("checkpoint_records", CHECKPOINT_RECORDS_RANGE)
        .unwrap_or(default.checkpoint_records);
    timing.checkpoint_interval = reader
        .optional_seconds("checkpoint_s", CHECKPOINT_S_RANGE)
        .unwrap_or(default.checkpoint_interval);
    timing.absence_timeout = reader
        .optional_seconds("gone_after_s", GONE_AFTER_S_RANGE)
        .unwrap_or(default.absence_timeout);
    check_timing(&timing, &mut reader);
    reader.finish();
    timing
}

fn check_timing(timing: &Timing, reader: &mut field::Reader<'_>) {
    if timing.suspect_timeout <= timing.ping_interval {
        reader.rule("suspect_ms", "must be more than ping_ms");
    }
    if timing.dead_timeout <= timing.suspect_timeout {
        reader.rule("dead_ms", "must be more than suspect_ms");
    }
    if timing.drain_limit <= timing.drain_delay {
        reader.rule("drain_limit_ms", "must be more than drain_delay_ms");
    }
}

fn read_log(section: &ini_text::Section, faults: &mut fault::List) -> Log {
    let mut reader = field::Reader::new(section, faults);
    let default = Log::default();
    let log = Log {
        level: reader
            .optional_keyword("level", &LEVELS)
            .unwrap_or(default.level),
        format: reader
            .optional_keyword("format", &FORMATS)
            .unwrap_or(default.format),
        file: reader.optional("file", PATH_RULE, parse_path),
    };
    reader.finish();
    log
}

fn parse_path(text: &str) -> Option<PathBuf> {
    (!text.is_empty()).then(|| PathBuf::from(text))
}

/// Reads the URL of a platform service, without a trailing `/`.
fn read_url(reader: &mut field::Reader<'_>, key: &'static str) -> SmolStr {
    if reader
        .text(key)
        .is_some_and(|text| text.starts_with("https:"))
    {
        return reader.required(key, field::HTTPS_RULE, SmolStr::default(), |_| None);
    }
    reader.required(key, field::URL_RULE, SmolStr::default(), field::parse_url)
}
