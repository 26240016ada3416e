//! The settings of one instance: where it listens, whom it knows, its limits and times.
//!
//! Settings concern one process and are read once at its start. What all instances must agree on stands in
//! the [`crate::document`] instead.
//!
//! | section | keys, with what they are when left out |
//! |---|---|
//! | `[instance]` | `name`, `failure_domain` must be there; `region` default |
//! | `[listen]` | `caller` 0.0.0.0:8080, `peer` 127.0.0.1:8081, `operator` 127.0.0.1:8082, `advertise` the bound peer address |
//! | `[platform]` | `log`, `list` must be there |
//! | `[peers]` | `key_file` must be there; `seeds` none |
//! | `[limits]` | `connections` 1024, `header_bytes` 16384, `body_bytes` 1048576, `idle_ms` 10000, `stream_buffer_bytes` 65536, `queue` 1024 |
//! | `[timing]` | `ping_ms` 500, `suspect_ms` 2000, `dead_ms` 10000, `list_ms` 1000, `report_ms` 500, `drain_delay_ms` 5000, `drain_limit_ms` 600000, `log_wait_ms` 2000, `checkpoint_records` 5000, `checkpoint_s` 60, `gone_after_s` 30 |
//! | `[log]` | `level` info, `format` text, `file` none: standard error |

mod parse;

use std::{fmt, net::SocketAddr, path::PathBuf, time::Duration};

use smol_str::SmolStr;

pub use self::parse::MAX_BYTES;

/// The settings of one instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// `[instance]`.
    pub instance: Instance,
    /// `[listen]`.
    pub listen: Listen,
    /// `[platform]`.
    pub platform: Platform,
    /// `[peers]`.
    pub peers: Peers,
    /// `[limits]`.
    pub limits: Limits,
    /// `[timing]`.
    pub timing: Timing,
    /// `[log]`.
    pub log: Log,
}

/// Who this instance is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Instance {
    /// `name`, which no other instance has.
    pub name: SmolStr,
    /// `failure_domain` that it runs in.
    pub failure_domain: SmolStr,
    /// `region` of the failure domain.
    pub region: SmolStr,
}

/// Where it listens. Port 0 lets the system choose one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Listen {
    /// `caller`: requests for models and services.
    pub caller: SocketAddr,
    /// `peer`: other instances.
    pub peer: SocketAddr,
    /// `operator`: status, metrics and drain.
    pub operator: SocketAddr,
    /// `advertise`: the peer address that others are told; `None` for the one that was bound.
    pub advertise: Option<SocketAddr>,
}

/// Where the platform's services are: URLs without a `/` at the end, such as `http://10.0.0.5:7000`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Platform {
    /// `log`: the log service.
    pub log: SmolStr,
    /// `list`: the list of instances.
    pub list: SmolStr,
}

/// Whom it trusts, and whom it asks first.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peers {
    /// `key_file`: a file whose content is the [`Secret`] of all instances.
    pub key_file: PathBuf,
    /// `seeds`: peer addresses to begin with.
    pub seeds: Vec<SocketAddr>,
}

/// What is taken at most.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// `connections` of callers at once.
    pub connections: usize,
    /// `header_bytes` of a request.
    pub header_bytes: usize,
    /// `body_bytes` of a request.
    pub body_bytes: usize,
    /// `idle_ms`: how long a sender may send nothing in the middle of a request.
    pub idle: Duration,
    /// `stream_buffer_bytes` of an answer that its caller has not taken yet.
    pub stream_buffer_bytes: usize,
    /// `queue`: requests that wait here for one model, adapter or route.
    pub queue: usize,
}

/// How often, and how long.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// `ping_ms`: between pings to peers.
    pub ping_interval: Duration,
    /// `suspect_ms`: without an answer a peer becomes suspect.
    pub suspect_timeout: Duration,
    /// `dead_ms`: without an answer a peer is taken for dead.
    pub dead_timeout: Duration,
    /// `list_ms`: between readings of the list of instances.
    pub list_interval: Duration,
    /// `report_ms`: between readings of a backend server's load report.
    pub report_interval: Duration,
    /// `drain_delay_ms`: from not being ready until new work is refused; the balancer's delay.
    pub drain_delay: Duration,
    /// `drain_limit_ms`: from the start of a planned stop until it ends in any case.
    pub drain_limit: Duration,
    /// `log_wait_ms`: how long a reading of the log waits for a record.
    pub log_wait: Duration,
    /// `checkpoint_records`: a checkpoint after so many records at the latest.
    pub checkpoint_records: u64,
    /// `checkpoint_s`: and after this time.
    pub checkpoint_interval: Duration,
    /// `gone_after_s`: a backend server that the list has left out for so long has gone for good.
    pub gone_after: Duration,
}

/// What it logs, and where.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Log {
    /// `level`: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: log::LevelFilter,
    /// `format`: `text` or `json`.
    pub format: Format,
    /// `file`; `None` for standard error.
    pub file: Option<PathBuf>,
}

/// The form of a log line.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Format {
    /// For people.
    #[default]
    Text,
    /// One JSON object.
    Json,
}

/// The key by which instances know each other. It is never shown, not even by [`fmt::Debug`].
#[derive(Clone, Eq, PartialEq)]
pub struct Secret(Vec<u8>);

/// A secret that is too easily guessed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TooShort {
    /// Its length in bytes.
    pub found: usize,
}

impl Secret {
    /// The shortest secret, in bytes.
    pub const MIN_BYTES: usize = 16;

    /// The content of a key file. White space at its end doesn't count, since editors add a line end.
    ///
    /// # Errors
    ///
    /// [`TooShort`] below [`Self::MIN_BYTES`] bytes.
    pub fn new(content: &[u8]) -> Result<Self, TooShort> {
        let bytes = content.trim_ascii_end();
        if bytes.len() < Self::MIN_BYTES {
            return Err(TooShort { found: bytes.len() });
        }
        Ok(Self(bytes.to_vec()))
    }

    /// The bytes, for a handshake and nothing else.
    #[must_use]
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(hidden)")
    }
}

impl fmt::Display for TooShort {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let minimum = Secret::MIN_BYTES;
        write!(
            f,
            "the key file holds {} bytes, at least {minimum} are needed",
            self.found
        )
    }
}

impl std::error::Error for TooShort {}

impl Default for Listen {
    /// Callers from anywhere, peers and operators from this machine only.
    fn default() -> Self {
        Self {
            caller: SocketAddr::from(([0, 0, 0, 0], 8080)),
            peer: SocketAddr::from(([127, 0, 0, 1], 8081)),
            operator: SocketAddr::from(([127, 0, 0, 1], 8082)),
            advertise: None,
        }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 1024,
            header_bytes: 16 << 10,
            body_bytes: 1 << 20,
            idle: Duration::from_secs(10),
            stream_buffer_bytes: 64 << 10,
            queue: 1024,
        }
    }
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            ping_interval: Duration::from_millis(500),
            suspect_timeout: Duration::from_secs(2),
            dead_timeout: Duration::from_secs(10),
            list_interval: Duration::from_secs(1),
            report_interval: Duration::from_millis(500),
            drain_delay: Duration::from_secs(5),
            drain_limit: Duration::from_secs(600),
            log_wait: Duration::from_secs(2),
            checkpoint_records: 5000,
            checkpoint_interval: Duration::from_secs(60),
            gone_after: Duration::from_secs(30),
        }
    }
}

impl Default for Log {
    fn default() -> Self {
        Self {
            level: log::LevelFilter::Info,
            format: Format::Text,
            file: None,
        }
    }
}
