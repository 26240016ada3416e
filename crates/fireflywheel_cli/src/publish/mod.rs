//! `fireflywheel publish`: puts a document in force, or says why not.
//!
//! One record is appended, and only its judgement in the log counts. Where an answer was lost the log is
//! read, and the record sent again under the same id while it is not there. A repeat does no harm: the
//! publication names the version it was made from, which the first copy to land replaces.

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

/// The largest record that the log takes, in bytes.
pub const MAX_RECORD_BYTES: usize = 1 << 20;

/// What to publish, and where.
#[derive(Clone, Debug)]
pub struct Options {
    /// The document's file.
    pub path: PathBuf,
    /// The URL of the platform's log.
    pub log: SmolStr,
    /// The version that the document was made from; `None` for the newest.
    pub base: Option<u64>,
    /// How long to try.
    pub wait: Duration,
    /// Whether the result is given in JSON.
    pub json: bool,
}

/// A document on its way into the log.
#[derive(Clone, Debug)]
pub struct Publication {
    /// The id of the one record.
    pub id: record::Id,
    /// The version that the document was made from; `None` for the newest.
    pub base: Option<u64>,
    /// The document's text.
    pub text: String,
    /// When to give up.
    pub until: time::Instant,
}

/// What came of a publication.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// In force.
    Accepted {
        /// Its version.
        version: u64,
    },
    /// Without effect, for good: it was made from a version that is not the newest.
    Refused {
        /// The version it was made from.
        base: u64,
        /// The newest version.
        newest: u64,
        /// Whether the newest has the same text.
        same: bool,
    },
    /// The log holds it, and the fold refused its document. Not seen unless this build's checks differ from
    /// those by which it was checked before.
    Faulty,
    /// It was sent, and what came of it could not be read.
    Unknown {
        /// The version it was made from.
        base: u64,
        /// Why it could not be read.
        obstacle: Obstacle,
    },
    /// Nothing was appended, and nothing will be.
    Unsent(Obstacle),
}

/// Why a publication could not be carried through.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Obstacle {
    /// The log gave no answer in time, or refused every append.
    Silence,
    /// The log's records don't add up to a state yet.
    Start(bootstrap::Waiting),
    /// The log holds records of a newer rule than this build knows.
    Rule(u32),
    /// The document becomes too long for a record, in bytes.
    Length(usize),
}

/// The result in JSON.
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
    /// A publication under an id of its own.
    #[must_use]
    pub fn new(text: impl Into<String>, until: time::Instant) -> Self {
        let instance = format!("operator/{:016x}", rand::random::<u64>());
        let by = record::Incarnation {
            instance: instance.into(),
            number: unix_ms(),
        };
        Self {
            id: record::Id { by, sequence: 1 },
            base: None,
            text: text.into(),
            until,
        }
    }

    /// The same, made from a version.
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

/// Publishes a file.
///
/// # Errors
///
/// When the file can't be read.
pub async fn run(options: &Options) -> anyhow::Result<Report> {
    let file = file::File::read(&options.path)?;
    let new = match file.document {
        Ok(document) => document,
        Err(faults) => return Ok(faulty(options, &faults)),
    };
    let log = platform::log::Http::new(client::Client::new(), options.log.clone());
    let until = time::Instant::now() + options.wait;
    let publication = Publication::new(file.text, until).with_base(options.base);
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

fn faulty(options: &Options, faults: &[fault::Fault]) -> Report {
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

/// The report of an outcome.
#[must_use]
pub fn report(id: &record::Id, outcome: &Outcome, json: bool) -> Report {
    let exit = outcome.exit();
    if !json {
        return Report::new(exit, outcome.to_string());
    }
    let output = Output {
        outcome: outcome.word(),
        id: format!("{} {}", id.by.instance, id.by.number),
        base: outcome.base(),
        version: outcome.version(),
        message: outcome.to_string(),
        faults: Vec::new(),
    };
    Report::json(exit, &output)
}

impl Outcome {
    /// The exit code that tells it.
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

    fn word(&self) -> &'static str {
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

    /// The newest version, where it is known.
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
                newest, same: true, ..
            } => write!(
                f,
                "refused: another version {newest} was accepted first, with the same text"
            ),
            Self::Refused { newest, .. } => {
                write!(f, "refused: another version {newest} was accepted first")
            }
            Self::Faulty => f.write_str("refused: the log's readers find faults in the document"),
            Self::Unknown { base, obstacle } => write!(
                f,
                "not known yet: it was sent, but {obstacle}; to find out, publish again with --base {base}, which can't take effect twice"
            ),
            Self::Unsent(obstacle) => write!(f, "not published, nothing was appended: {obstacle}"),
        }
    }
}

impl std::fmt::Display for Obstacle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Silence => f.write_str("the log did not answer in time"),
            Self::Start(waiting) => write!(f, "{waiting}"),
            Self::Rule(rule) => write!(
                f,
                "the log holds records of the newer rule {rule}; use a newer build of this command"
            ),
            Self::Length(length) => write!(
                f,
                "its record would have {length} bytes, the log takes {MAX_RECORD_BYTES}"
            ),
        }
    }
}
