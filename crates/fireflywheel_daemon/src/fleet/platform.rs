//! What a platform has to translate: its names on the wire into types of the product, and back.

use std::fmt;
use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use fireflywheel::clock;
use fireflywheel::fleet::era::{Era, Position};
use fireflywheel::fleet::{config, lease, organisation, routing, server};
use http_body_util::Full;
use hyper::http::{request, response};
use hyper::{HeaderMap, Request};
use smol_str::SmolStr;

use crate::errors;

/// A caller's request, as far as routing needs it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Call {
    /// The id that the caller gave this attempt.
    pub id: SmolStr,
    /// The host that it asks for.
    pub host: SmolStr,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// The model that it asks for.
    pub model: Option<SmolStr>,
    /// The adapter on it.
    pub adapter: Option<SmolStr>,
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// The parts of its prompt that other requests may share.
    pub shared: Option<Shared>,
    /// The last event that the caller has of an earlier attempt.
    pub last_event: Option<u64>,
    /// The key that it came with.
    pub identity: Identity,
    /// Tokens of its prompt, and the most that its answer may have, if it tells them.
    pub tokens: Option<u32>,
}

/// How a caller says whose request it is.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Identity {
    /// It doesn't.
    #[default]
    Missing,
    /// In a way that can't be read, or in two ways.
    Malformed,
    /// By a key.
    Key(organisation::Credential),
}

/// The start of a prompt. A server that keeps all parts of it need not read them again.
#[derive(Clone, Debug, PartialEq)]
pub struct Shared {
    /// Names of its parts, in order.
    pub parts: SmolStr,
    /// Their length together.
    pub tokens: u32,
}

/// One sending of a request to a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt<'a> {
    /// The id of the server that it is for: no other may run it.
    pub server: &'a str,
    /// What is left of the caller's time.
    pub left: Duration,
    /// 0 is the most urgent.
    pub rank: u8,
    /// The last event that was handed on already, if the stream goes on.
    pub last_event: Option<u64>,
    /// The organisation whose request it is.
    pub organisation: Option<&'a str>,
}

/// What the head of a response says beside its status.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reply {
    /// The id of the request that it answers.
    pub id: Option<SmolStr>,
    /// The id of the server that answers, if it says so.
    pub server: Option<SmolStr>,
    /// It carries the proof that a backend server made it.
    pub authentic: bool,
    /// It states that the request hasn't run and won't.
    pub not_run: bool,
    /// The load of the server.
    pub load: Option<routing::Report>,
    /// Requests a second that the server takes from all instances together.
    pub limit: Option<f64>,
    /// How long the server keeps the connection open unused.
    pub keep_alive: Option<Duration>,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Order<'a> {
    /// The id of the engine.
    pub server: &'a str,
    /// The name of the holder.
    pub holder: &'a str,
    /// The holder's number.
    pub fencing: u64,
    /// Orders that the engine must have accepted before.
    pub after: u64,
    /// What is to be done.
    pub change: Change<'a>,
}

/// What an order changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Change<'a> {
    /// Load, or else unload.
    pub load: bool,
    /// The model.
    pub model: &'a str,
    /// The adapter on it; without one the order is for the model.
    pub adapter: Option<&'a str>,
}

/// News of the directory.
#[derive(Clone, Debug, PartialEq)]
pub enum DirectoryUpdate {
    /// All entries: what isn't among them isn't in the directory.
    Full(Vec<server::Server>),
    /// Entries that changed, by id; none for one that was removed or names no server.
    Partial(Vec<(SmolStr, Option<server::Server>)>),
}

/// What became of a conditional write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// It stands at this place.
    Stored(Position),
    /// Somebody else wrote before.
    Conflict,
}

/// Why a call to the platform's store has no result.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Fault {
    /// No answer, or none that can be read: a write may have been done, or may be done later.
    Lost(SmolStr),
    /// It said that nothing was done.
    Refused(u16),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Lost(why) => write!(f, "no usable answer: {why}"),
            Self::Refused(status) => write!(f, "refused with status {status}"),
        }
    }
}

impl std::error::Error for Fault {}

/// A platform, as seen by one instance.
pub trait Platform: Send + Sync + 'static {
    /// Where a reader of the configuration stands.
    type ConfigCursor: Default + Send;
    /// Where a reader of the directory stands.
    type DirectoryCursor: Default + Send;

    /// Reads a caller's request.
    ///
    /// # Errors
    ///
    /// The answer to a request that isn't proper.
    fn read_call(&self, head: &request::Parts) -> Result<Call, errors::Problem>;

    /// Takes out of a caller's headers what only this system may set.
    fn strip_reserved_headers(&self, headers: &mut HeaderMap);

    /// Adds what a backend server is told with an attempt.
    fn add_attempt_headers(&self, headers: &mut HeaderMap, attempt: &Attempt<'_>);

    /// Reads the head of a backend server's response.
    fn read_reply(&self, head: &response::Parts) -> Reply;

    /// Adds the request's id, and when to come back, to an answer of this instance's own.
    fn add_answer_headers(&self, headers: &mut HeaderMap, id: &str, retry_after: Option<Duration>);

    /// The path at which the platform asks whether the instance is ready.
    fn ready_path(&self) -> &'static str;

    /// An order as a request.
    fn order(&self, order: &Order<'_>) -> Request<Full<Bytes>>;

    /// The request for an engine's report.
    fn report(&self) -> Request<Full<Bytes>>;

    /// Reads an engine's report.
    ///
    /// # Errors
    ///
    /// What is wrong with it.
    fn read_report(&self, body: &[u8]) -> anyhow::Result<server::Report>;

    /// The era of the store; none before anything was heard of it.
    fn era(&self) -> Option<Era>;

    /// Another instance knows that the store is in this era: answers of an earlier one don't count any more.
    fn learn_era(&self, era: Era);

    /// Waits for a configuration later than the cursor, for `wait` at most.
    fn configuration(
        &self,
        cursor: &mut Self::ConfigCursor,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<config::Config>, Fault>> + Send;

    /// What has changed in the directory since the cursor. A whole directory that comes in parts is read with `pause` between
    /// them.
    fn directory<F>(
        &self,
        cursor: &mut Self::DirectoryCursor,
        now: clock::Instant,
        pause: F,
    ) -> impl Future<Output = Result<DirectoryUpdate, Fault>> + Send
    where
        F: Fn() -> Duration + Send + Sync;

    /// The newest record of the steward's lease.
    fn read_lease(&self) -> impl Future<Output = Result<lease::Reading, Fault>> + Send;

    /// Writes a record of the steward's lease if nothing was written since `end`.
    fn write_lease(
        &self,
        end: Position,
        record: &lease::Record,
    ) -> impl Future<Output = Result<WriteOutcome, Fault>> + Send;
}
