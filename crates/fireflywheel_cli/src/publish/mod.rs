//! `fireflywheel publish`: puts a document in force, or reports why it was not accepted.
//!
//! The command appends one record. The outcome is the decision about this record in the log. When the answer
//! to an append is lost, the command reads the log and sends the record again under the same id as long as
//! the log does not contain it. Repeated copies are harmless: a publication names the version that it is
//! based on, and the first copy that is stored replaces this version.

mod attempt;
mod reader;

use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use fireflywheel::{bootstrap, fault, record};
use fireflywheel_daemon::{client, platform};
use serde::Serialize;
use smol_str::SmolStr;
use tokio::time;

use crate::{
    diff, file,
    report::{Exit, Report},
};

pub use self::attempt::publish;

/// Size limit of a record in the log, in bytes.
pub const MAX_RECORD_BYTES: usize = 1 << 20;

/// The arguments of `fireflywheel publish`.
#[derive(Clone, Debug)]
pub struct Options {
    /// The path of the file with the document.
    pub path: PathBuf,
    /// The URL of the platform's log service.
    pub log: SmolStr,
    /// The version that the document is based on, or `None` for the newest.
    pub base: Option<u64>,
    /// Time limit for the publication.
    pub timeout: Duration,
    /// Whether the result is printed as JSON.
    pub json: bool,
}

/// A document to be published.
#[derive(Clone, Debug)]
pub struct Publication {
    /// The id of the record, the same in every copy.
    pub id: record::Id,
    /// The version that the document is based on, or `None` for the newest.
    pub base: Option<u64>,
    /// The document's text.
    pub text: String,
    /// The deadline of the publication.
    pub deadline: time::Instant,
}

/// The outcome of a publication.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The document is in force.
    Accepted {
        /// The version of the document.
        version: u64,
    },
    /// The publication has no effect and will have none, because its base is not the newest version.
    Refused {
        /// The version that the document is based on.
        base: u64,
        /// The newest version.
        newest: u64,
        /// Whether the newest version has the same text.
        same_text: bool,
    },
    /// The log contains the record, but the fold rejected its document. This happens only if the checks of
    /// the fold differ from those that the document passed before the append.
    Faulty,
    /// The record was sent, but its decision could not be read.
    Unknown {
        /// The version that the document is based on.
        base: u64,
        /// The reason why the decision could not be read.
        cause: Cause,
    },
    /// Nothing was appended, and nothing will be appended later.
    Unsent(Cause),
}

/// The reason why a publication could not be completed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// The log did not answer in time or refused every append.
    NoResponse,
    /// The records read from the log do not determine a state yet.
    NoState(bootstrap::Status),
    /// The log contains records with rules of a newer version than this build supports.
    UnsupportedRules(u32),
    /// The record of the document would exceed the size limit; its length in bytes.
    TooLong(usize),
}

/// The JSON output.
#[derive(Serialize)]
struct Output {
    outcome: &'static str,
    id: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    base: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    version: Option<u64>,
    message: String,
    faults: Vec<file::Fault>,
}

impl Publication {
    /// Creates a publication with a random id and no base version.
    #[must_use]
    pub fn new(text: impl Into<String>, deadline: time::Instant) -> Self {
        let instance = format!("operator/{:016x}", rand::random::<u64>());
        let by = record::Incarnation {
            instance: instance.into(),
            number: unix_ms(),
        };
        Self {
            id: record::Id { by, sequence: 1 },
            base: None,
            text: text.into(),
            deadline,
        }
    }

    /// Returns the publication with a base version, or `None` for the newest.
    #[must_use]
    pub fn with_base(mut self, base: Option<u64>) -> Self {
        self.base = base;
        self
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}

/// Publishes the document in a file.
///
/// # Errors
///
/// Returns an error if the file can't be read.
pub async fn run(options: &Options) -> anyhow::Result<Report> {
    let file = file::File::read(&options.path)?;
    let new = match file.document {
        Ok(document) => document,
        Err(faults) => return Ok(report_faults(options, &faults)),
    };
    let log = platform::log::Http::new(client::Client::new(), options.log.clone());
    let deadline = time::Instant::now() + options.timeout;
    let publication = Publication::new(file.text, deadline).with_base(options.base);
    let mut notes = String::new();
    let outcome = publish(&log, &publication, |old, version| {
        notes = format!(
            "changes from version {version}:\n{}",
            diff::lines(old, &new)
        );
    })
    .await;
    Ok(report(&publication.id, &outcome, options.json).with_notes(notes))
}

fn report_faults(options: &Options, faults: &[fault::Fault]) -> Report {
    if !options.json {
        return Report::new(Exit::Faulty, file::lines(&options.path, faults));
    }
    let output = Output {
        outcome: "faulty",
        id: String::new(),
        base: options.base,
        version: None,
        message: "the document has faults; nothing was sent".to_owned(),
        faults: file::json(None, faults),
    };
    Report::json(Exit::Faulty, &output)
}

/// Builds the report of an outcome.
#[must_use]
pub fn report(id: &record::Id, outcome: &Outcome, json: bool) -> Report {
    let exit = outcome.exit();
    if !json {
        return Report::new(exit, outcome.to_string());
    }
    let output = Output {
        outcome: outcome.name(),
        id: format!("{} {}", id.by.instance, id.by.number),
        base: outcome.base(),
        version: outcome.version(),
        message: outcome.to_string(),
        faults: Vec::new(),
    };
    Report::json(exit, &output)
}

impl Outcome {
    /// Returns the exit code for the outcome.
    #[must_use]
    pub fn exit(&self) -> Exit {
        match self {
            Self::Accepted { .. } => Exit::Done,
            Self::Refused { .. } => Exit::Refused,
            Self::Faulty => Exit::Faulty,
            Self::Unknown { .. } => Exit::Unknown,
            Self::Unsent(_) => Exit::Failed,
        }
    }

    fn name(&self) -> &'static str {
        match self {
            Self::Accepted { .. } => "accepted",
            Self::Refused { .. } => "refused",
            Self::Faulty => "faulty",
            Self::Unknown { .. } => "unknown",
            Self::Unsent(_) => "unsent",
        }
    }

    fn base(&self) -> Option<u64> {
        match self {
            Self::Refused { base, .. } | Self::Unknown { base, .. } => Some(*base),
            Self::Accepted { .. } | Self::Faulty | Self::Unsent(_) => None,
        }
    }

    /// Returns the newest version, if the outcome contains it.
    fn version(&self) -> Option<u64> {
        match self {
            Self::Accepted { version } => Some(*version),
            Self::Refused { newest, .. } => Some(*newest),
            Self::Faulty | Self::Unknown { .. } | Self::Unsent(_) => None,
        }
    }
}

impl std::fmt::Display for Outcome {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Accepted { version } => write!(f, "accepted {version}"),
            Self::Refused { base, newest, .. } if base > newest => write!(
                f,
                "refused: version {base} does not exist, the newest is {newest}"
            ),
            Self::Refused {
                newest,
                same_text: true,
                ..
            } => write!(
                f,
                "refused: another version {newest} was accepted first, with the same text"
            ),
            Self::Refused { newest, .. } => {
                write!(f, "refused: another version {newest} was accepted first")
            }
            Self::Faulty => f.write_str("refused: the log's readers find faults in the document"),
            Self::Unknown { base, cause } => write!(
                f,
                "not known yet: it was sent, but {cause}; to find out, publish again with --base {base}, which can't take effect twice"
            ),
            Self::Unsent(cause) => write!(f, "not published, nothing was appended: {cause}"),
        }
    }
}

impl std::fmt::Display for Cause {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NoResponse => f.write_str("the log did not answer in time"),
            Self::NoState(waiting) => write!(f, "{waiting}"),
            Self::UnsupportedRules(rule) => write!(
                f,
                "the log holds records of the newer rule {rule}; use a newer build of this command"
            ),
            Self::TooLong(length) => write!(
                f,
                "its record would have {length} bytes, the log takes {MAX_RECORD_BYTES}"
            ),
        }
    }
}
