//! The interface that a platform adapter implements: it translates between the platform's wire formats and the types
//! of this crate.

use std::fmt;
use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use fireflywheel::clock;
use fireflywheel::fleet::config::{self, update};
use fireflywheel::fleet::era::{Era, Position};
use fireflywheel::fleet::{announcement, lease, organisation, origin, prefix, routing, server};
use http_body_util::Full;
use hyper::http::{request, response};
use hyper::{HeaderMap, Request};
use smol_str::SmolStr;

use super::net;
use crate::errors;

/// The parts of a caller's request that routing needs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Call {
    /// The id that the caller gave this attempt.
    pub id: SmolStr,
    /// The requested host.
    pub host: SmolStr,
    /// How long the caller waits for the response, from the arrival of the request.
    pub deadline: Option<Duration>,
    /// The requested model.
    pub model: Option<SmolStr>,
    /// The requested adapter for the model.
    pub adapter: Option<SmolStr>,
    /// The length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// The start of the prompt, which other requests may share.
    pub shared_prefix: Option<SharedPrefix>,
    /// The names of the prompt's parts that other requests may have as well, in order.
    pub prompt_parts: Vec<SmolStr>,
    /// The prompt, as far as it matters where it is read.
    pub prompt: prefix::Prompt,
    /// The id of the last event that the caller received from an earlier attempt.
    pub last_event: Option<u64>,
    /// The id of the attempt that brought the first event of the stream that the caller takes up again, as the caller
    /// says.
    pub resumes: Option<SmolStr>,
    /// The key that the request carries.
    pub identity: Identity,
    /// The length of the prompt plus the maximum length of the answer, in tokens, if the request states them.
    pub total_tokens: Option<u32>,
}

/// How a request identifies its organisation.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Identity {
    /// The request carries no key.
    #[default]
    Missing,
    /// The request carries a key that can't be parsed, or more than one.
    Malformed,
    /// The request carries a key.
    Key(organisation::Credential),
}

/// The start of a prompt. A server that has all parts of it in its prefix cache need not process them again.
#[derive(Clone, Debug, PartialEq)]
pub struct SharedPrefix {
    /// The names of the parts, in order.
    pub parts: SmolStr,
    /// The total length of the parts in tokens.
    pub tokens: u32,
}

/// One attempt to send a request to a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt<'a> {
    /// The id of the server that is to run the request; no other server may run it.
    pub server: &'a str,
    /// The time left until the caller's deadline.
    pub remaining: Duration,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// The id of the last event that the caller has, if the attempt resumes a stream.
    pub last_event: Option<u64>,
    /// The organisation that sent the request.
    pub organisation: Option<&'a str>,
}

/// The platform's fields in the head of a response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reply {
    /// The id of the request that the response answers.
    pub id: Option<SmolStr>,
    /// The id of the server that responds, if the response states it.
    pub server: Option<SmolStr>,
    /// Whether the response carries the proof that a backend server produced it.
    pub authentic: bool,
    /// Whether the response states that the request has not run and will not.
    pub not_run: bool,
    /// The load of the server, if the response reports it.
    pub load: Option<routing::Report>,
    /// The server's rate limit in requests per second from all instances together, if it sets one.
    pub rate_limit: Option<f64>,
    /// What the server announces of itself.
    pub announcement: announcement::Announcement,
    /// How long the server keeps an idle connection open.
    pub keep_alive: Option<Duration>,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Order<'a> {
    /// The id of the engine.
    pub server: &'a str,
    /// The name of the instance that holds the steward's lease.
    pub holder: &'a str,
    /// The fencing number of the lease holder.
    pub fencing: u64,
    /// The number of orders that the engine must have accepted before this one.
    pub accepted_orders: u64,
    /// The change that the order makes.
    pub change: Change<'a>,
}

/// A change of what an engine holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Change<'a> {
    /// Whether to load; otherwise the order unloads.
    pub load: bool,
    /// The name of the model.
    pub model: &'a str,
    /// The adapter to load or unload for the model; `None` if the order is for the model itself.
    pub adapter: Option<&'a str>,
}

/// The position of a reader of the configuration.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ConfigCursor {
    /// The position of the next record to read; `None` before the first read.
    pub next: Option<Position>,
}

/// The result of a read of the directory.
#[derive(Clone, Debug, PartialEq)]
pub enum DirectoryUpdate {
    /// All entries of the directory, and the position up to which it was read.
    Full(Vec<server::Server>, Option<Position>),
    /// The entries that changed, by id, and the position up to which they were read; `None` for an entry that was removed.
    Partial(Vec<(SmolStr, Option<server::Server>)>, Option<Position>),
}

/// The outcome of a conditional write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// The record was written at this position.
    Stored(Position),
    /// Another writer has written since the expected end.
    Conflict,
}

/// An error of a call to the platform's store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreError {
    /// There was no answer, or one that can't be parsed. A write may have been done, or may still be done later.
    Lost(SmolStr),
    /// The store refused the call with this HTTP status and did nothing.
    Refused(u16),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Lost(why) => write!(f, "no usable answer: {why}"),
            Self::Refused(status) => write!(f, "refused with status {status}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// A platform adapter of one instance.
pub trait Platform: Send + Sync + 'static {
    /// The position of a reader of the directory.
    type DirectoryCursor: Default + Send;

    /// Opens connections to backend servers.
    type Network: net::Network;

    /// Returns what opens connections to backend servers.
    fn network(&self) -> &Self::Network;

    /// Parses the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns the error response for an invalid request.
    fn read_call(&self, head: &request::Parts) -> Result<Call, errors::Problem>;

    /// Removes headers from a caller's request that only this system may set.
    fn strip_reserved_headers(&self, headers: &mut HeaderMap);

    /// Adds the headers that describe an attempt to a backend server.
    fn add_attempt_headers(&self, headers: &mut HeaderMap, attempt: &Attempt<'_>);

    /// Parses the head of a backend server's response.
    fn read_reply(&self, head: &response::Parts) -> Reply;

    /// Adds the request's id and the retry delay to a response that this instance itself creates.
    fn add_answer_headers(&self, headers: &mut HeaderMap, id: &str, retry_after: Option<Duration>);

    /// Returns the path of the platform's readiness probe.
    fn ready_path(&self) -> &'static str;

    /// Builds the request that sends an order to an engine.
    fn build_order(&self, order: &Order<'_>) -> Request<Full<Bytes>>;

    /// Builds the request for an engine's report.
    fn build_report_request(&self) -> Request<Full<Bytes>>;

    /// Builds the request whose answer tells which process listens at the address of a server: another server refuses it, an
    /// engine answers with its report, and any other server with its id. `None` if the group's servers answer none.
    fn build_identity_request(
        &self,
        server: &str,
        group: &config::Group,
    ) -> Option<Request<Full<Bytes>>>;

    /// Parses an engine's report.
    ///
    /// # Errors
    ///
    /// Returns an error if the report is invalid.
    fn read_report(&self, body: &[u8]) -> anyhow::Result<server::Report>;

    /// Returns the era of the store; `None` until it is known.
    fn era(&self) -> Option<Era>;

    /// Records an era of the store that another instance knows of. Answers from earlier eras are no longer valid.
    fn observe_era(&self, era: Era);

    /// Waits up to `wait` for a configuration newer than the cursor, and after that up to `timeout` without a byte of the
    /// answer.
    fn poll_config(
        &self,
        cursor: &mut ConfigCursor,
        wait: Duration,
        timeout: Duration,
    ) -> impl Future<Output = Result<Option<update::Revised>, StoreError>> + Send;

    /// Reads what has changed in the directory since the cursor, waiting up to `timeout` without a byte of an answer. When
    /// the whole directory is read in pages, there is a delay of `pause` between them.
    fn read_directory<F>(
        &self,
        cursor: &mut Self::DirectoryCursor,
        now: clock::Instant,
        timeout: Duration,
        pause: F,
    ) -> impl Future<Output = Result<DirectoryUpdate, StoreError>> + Send
    where
        F: Fn() -> Duration + Send + Sync;

    /// Reads the newest record of the steward's lease, and what was written with it.
    fn read_lease(&self) -> impl Future<Output = Result<lease::Reading, StoreError>> + Send;

    /// Writes a record of the steward's lease if nothing has been written since `end`.
    fn write_lease(
        &self,
        end: Position,
        record: &lease::Record,
        attachment: &lease::Attachment,
    ) -> impl Future<Output = Result<WriteOutcome, StoreError>> + Send;

    /// Reads the newest batch of streams of each slot.
    fn read_streams(&self) -> impl Future<Output = Result<Vec<origin::Batch>, StoreError>> + Send;

    /// Writes a batch of streams, in place of the one in its slot.
    fn write_streams(
        &self,
        batch: &origin::Batch,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;
}
