//! The settings of one instance: its addresses, its peers, its limits and its timing.
//!
//! Settings apply to one process and are read once at its start. Values that all instances must agree on
//! are part of the [`crate::document`] instead.
//!
//! | section | keys with their defaults |
//! |---|---|
//! | `[instance]` | `name`, `failure_domain` required; `region` default |
//! | `[listen]` | `caller` 0.0.0.0:8080, `peer` 127.0.0.1:8081, `operator` 127.0.0.1:8082, `advertise` the bound peer address |
//! | `[platform]` | `log`, `list` required |
//! | `[peers]` | `key_file` required; `seeds` none |
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

/// Identity of the instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Instance {
    /// `name`: unique name of the instance.
    pub name: SmolStr,
    /// `failure_domain`: the failure domain that the instance runs in.
    pub failure_domain: SmolStr,
    /// `region`: the region of the failure domain.
    pub region: SmolStr,
}

/// Addresses to listen on. With port 0 the system chooses a port.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Listen {
    /// `caller`: requests for models and services.
    pub caller: SocketAddr,
    /// `peer`: other instances.
    pub peer: SocketAddr,
    /// `operator`: status, metrics and drain.
    pub operator: SocketAddr,
    /// `advertise`: the peer address announced to other instances; `None` for the bound address.
    pub advertise: Option<SocketAddr>,
}

/// URLs of the platform's services, without a trailing `/`, such as `http://10.0.0.5:7000`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Platform {
    /// `log`: URL of the log service.
    pub log: SmolStr,
    /// `list`: URL of the instance list.
    pub list: SmolStr,
}

/// Authentication and discovery of peers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peers {
    /// `key_file`: path of the file that contains the [`Secret`] shared by all instances.
    pub key_file: PathBuf,
    /// `seeds`: peer addresses to contact first.
    pub seeds: Vec<SocketAddr>,
}

/// Limits on connections, requests and buffers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// `connections`: maximum number of concurrent caller connections.
    pub max_connections: usize,
    /// `header_bytes`: maximum size of a request's headers.
    pub header_bytes: usize,
    /// `body_bytes`: maximum size of a request's body.
    pub body_bytes: usize,
    /// `idle_ms`: maximum time without data in the middle of a request.
    pub idle_timeout: Duration,
    /// `stream_buffer_bytes`: maximum size of the buffered part of an answer that its caller has not read
    /// yet.
    pub stream_buffer_bytes: usize,
    /// `queue`: maximum number of requests that wait at this instance for one model, adapter or route.
    pub max_queue: usize,
}

/// Intervals and timeouts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// `ping_ms`: interval between pings to peers.
    pub ping_interval: Duration,
    /// `suspect_ms`: time without an answer after which a peer is suspected.
    pub suspect_timeout: Duration,
    /// `dead_ms`: time without an answer after which a peer is declared dead.
    pub dead_timeout: Duration,
    /// `list_ms`: interval between reads of the instance list.
    pub list_interval: Duration,
    /// `report_ms`: interval between reads of a backend server's load report.
    pub report_interval: Duration,
    /// `drain_delay_ms`: time between reporting not ready and refusing new requests, which covers the delay
    /// of the load balancer.
    pub drain_delay: Duration,
    /// `drain_limit_ms`: maximum duration of a planned shutdown.
    pub drain_limit: Duration,
    /// `log_wait_ms`: how long a read of the log waits for a record.
    pub log_wait: Duration,
    /// `checkpoint_records`: maximum number of records between checkpoints.
    pub checkpoint_records: u64,
    /// `checkpoint_s`: maximum time between checkpoints.
    pub checkpoint_interval: Duration,
    /// `gone_after_s`: time after which a backend server that is missing from the list is considered gone
    /// permanently.
    pub absence_timeout: Duration,
}

/// Settings of the log output.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Log {
    /// `level`: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: log::LevelFilter,
    /// `format`: `text` or `json`.
    pub format: Format,
    /// `file`: the log file; `None` for standard error.
    pub file: Option<PathBuf>,
}

/// Format of a log line.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Format {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// The shared key with which instances authenticate each other. It is never shown, not even by
/// [`fmt::Debug`].
#[derive(Clone, Eq, PartialEq)]
pub struct Secret(Vec<u8>);

/// The key is too short to resist guessing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TooShort {
    /// Length of the key found, in bytes.
    pub found: usize,
}

impl Secret {
    /// Minimum length of a key, in bytes.
    pub const MIN_BYTES: usize = 16;

    /// Creates a secret from the content of a key file. Trailing white space is ignored, since editors add
    /// a line end.
    ///
    /// # Errors
    ///
    /// [`TooShort`] if the key has fewer than [`Self::MIN_BYTES`] bytes.
    pub fn new(content: &[u8]) -> Result<Self, TooShort> {
        let bytes = content.trim_ascii_end();
        if bytes.len() < Self::MIN_BYTES {
            return Err(TooShort { found: bytes.len() });
        }
        Ok(Self(bytes.to_vec()))
    }

    /// Returns the key's bytes. They must only be used for the handshake.
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
    /// Callers can connect from anywhere, peers and operators only from the local machine.
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
            max_connections: 1024,
            header_bytes: 16 << 10,
            body_bytes: 1 << 20,
            idle_timeout: Duration::from_secs(10),
            stream_buffer_bytes: 64 << 10,
            max_queue: 1024,
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
            absence_timeout: Duration::from_secs(30),
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
