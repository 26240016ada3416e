//! A caller with a persistent connection, and the outcome of each of its requests.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Method, Request, StatusCode, body, header};
use hyper_util::rt::TokioIo;
use smol_str::SmolStr;
use tokio::net::TcpStream;
use tokio::time;

use crate::site::worker::{self, EVENTS};

/// Highest number of a software version. The versions are named `v1`, `v2` and so on.
const MAX_VERSION: u64 = 50;

/// How long a caller waits for an answer after the deadline.
pub const ANSWER_GRACE_PERIOD: Duration = Duration::from_secs(2);

/// The kind of a request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// A booking, which must not run more than once.
    Booking,
    /// A look-up, which may be retried.
    LookUp,
    /// A resumable stream.
    Stream,
    /// A stream that must not run more than once.
    SingleStream,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 4] = [
        Self::Booking,
        Self::LookUp,
        Self::Stream,
        Self::SingleStream,
    ];

    /// The path of the request.
    #[must_use]
    pub fn path(self) -> &'static str {
        match self {
            Self::Booking => "/book/x",
            Self::LookUp => "/look/x",
            Self::Stream => "/ask/x",
            Self::SingleStream => "/once/x",
        }
    }

    /// Whether the request must not run more than once.
    #[must_use]
    pub fn is_single(self) -> bool {
        matches!(self, Self::Booking | Self::SingleStream)
    }

    /// Whether the request is a stream for a model.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::SingleStream)
    }
}

/// A request.
#[derive(Clone, Debug)]
pub struct Call {
    /// Request id.
    pub id: SmolStr,
    /// Kind of the request.
    pub kind: Kind,
    /// Model, for streams only.
    pub model: Option<SmolStr>,
    /// Parts of the prompt, for streams only.
    pub prompt: Option<SmolStr>,
    /// Size of the body in bytes.
    pub size: usize,
    /// Deadline, measured from the start of the request.
    pub deadline: Duration,
    /// The stream that the caller takes up again, if any.
    pub origin: Option<Origin>,
    /// Number of whole events after which the caller leaves, if it doesn't wait for the end.
    pub leaves_after: Option<usize>,
}

/// What a caller has of a stream that broke off.
#[derive(Clone, Debug)]
pub struct Origin {
    /// Id of the request that brought the stream's first event.
    pub id: SmolStr,
    /// Id of the last whole event.
    pub last: u64,
}

/// The outcome of a request, as its caller observes it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// A complete answer.
    Answer(Answer),
    /// An answer that was visibly truncated.
    Broken,
    /// The caller left before the end.
    Left,
    /// The connection ended without an answer.
    Unanswered,
    /// The connection could not be opened, so nothing was sent.
    Unreached,
    /// No complete answer came within the deadline and [`ANSWER_GRACE_PERIOD`].
    Hung,
}

/// A complete answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// Status code.
    pub status: StatusCode,
    /// Whether the answer carries a worker's signature.
    pub signed: bool,
    /// Id of the request that the answer names.
    pub id: Option<SmolStr>,
    /// Whether the answer has a `Retry-After` header.
    pub has_retry_after: bool,
    /// Whether the answer states where its body ends. Otherwise, the body may be truncated.
    pub states_end: bool,
    /// Error in the body, if any.
    pub flaw: Option<&'static str>,
}

impl Answer {
    /// Whether the status says that the request has not run and will not run.
    #[must_use]
    pub fn claims_not_run(&self) -> bool {
        matches!(self.status.as_u16(), 408 | 421 | 429 | 503)
    }
}

/// A request and its outcome.
#[derive(Clone, Debug)]
pub struct Seen {
    /// Request.
    pub call: Call,
    /// Index of the instance.
    pub instance: usize,
    /// When the request was sent.
    pub sent: time::Instant,
    /// Time from `sent` to the first byte of the content.
    pub first: Duration,
    /// Time from `sent` to the end.
    pub whole: Duration,
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Status code, if a head came.
    pub status: Option<StatusCode>,
    /// What came of a stream; other bodies aren't kept.
    pub text: String,
}

impl Seen {
    /// The whole events that came.
    #[must_use]
    pub fn events(&self) -> &str {
        let is_success = self.status.is_some_and(|status| status.is_success());
        let end = self.text.rfind("\n\n").filter(|_| is_success);
        end.map_or("", |end| &self.text[..end + 2])
    }

    /// Whether the answer came to its stated end, and is a success.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        matches!(&self.outcome, Outcome::Answer(answer) if answer.states_end && answer.status.is_success())
    }
}

/// Returns the ids of the events in a text.
pub fn event_ids(text: &str) -> impl Iterator<Item = u64> {
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.filter_map(|id| id.parse().ok())
}

/// A caller of one instance.
#[derive(Debug)]
pub struct Caller {
    instance: usize,
    address: SocketAddr,
    connection: Option<SendRequest<Full<Bytes>>>,
}

impl Caller {
    /// Creates a caller of the instance at `address`.
    #[must_use]
    pub fn new(instance: usize, address: SocketAddr) -> Self {
        Self {
            instance,
            address,
            connection: None,
        }
    }

    /// Sends a request and waits for its end. Opens a new connection if the previous one has ended.
    pub async fn send(&mut self, call: Call) -> Seen {
        let limit = call.deadline + ANSWER_GRACE_PERIOD;
        let mut seen = Seen {
            call,
            instance: self.instance,
            sent: time::Instant::now(),
            first: Duration::ZERO,
            whole: Duration::ZERO,
            outcome: Outcome::Hung,
            status: None,
            text: String::new(),
        };
        match time::timeout(limit, self.exchange(&mut seen)).await {
            Ok(outcome) => seen.outcome = outcome,
            Err(_) => self.connection = None,
        }
        seen.whole = seen.sent.elapsed();
        seen
    }

    async fn exchange(&mut self, seen: &mut Seen) -> Outcome {
        let Some(mut connection) = self.connect().await else {
            return Outcome::Unreached;
        };
        let Ok(response) = connection.send_request(build_request(&seen.call)).await else {
            return Outcome::Unanswered;
        };
        let (head, body) = response.into_parts();
        seen.status = Some(head.status);
        let header = |name| head.headers.get(name)?.to_str().ok();
        let closes_connection = header("connection") == Some("close");
        let mut answer = Answer {
            status: head.status,
            signed: header("x-server-seal").is_some(),
            id: header("x-attempt-id").map(SmolStr::new),
            has_retry_after: head.headers.contains_key(header::RETRY_AFTER),
            states_end: head.headers.contains_key(header::CONTENT_LENGTH)
                || head.headers.contains_key(header::TRANSFER_ENCODING),
            flaw: None,
        };
        let bytes = match read_body(body, seen).await {
            Ok(bytes) => bytes,
            Err(outcome) => return outcome,
        };
        if head.status.is_success() {
            answer.flaw = find_flaw(&seen.call, &bytes, answer.states_end);
        }
        if !closes_connection {
            self.connection = Some(connection);
        }
        Outcome::Answer(answer)
    }

    async fn connect(&mut self) -> Option<SendRequest<Full<Bytes>>> {
        if let Some(mut connection) = self.connection.take()
            && connection.ready().await.is_ok()
        {
            return Some(connection);
        }
        let stream = TcpStream::connect(self.address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let (connection, task) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(task);
        Some(connection)
    }
}

fn build_request(call: &Call) -> Request<Full<Bytes>> {
    let mut request = Request::builder()
        .method(Method::POST)
        .uri(call.kind.path())
        .header(header::HOST, "h")
        .header("x-attempt-id", call.id.as_str())
        .header("x-deadline-ms", call.deadline.as_millis().to_string());
    if let Some(model) = &call.model {
        request = request.header("x-model", model.as_str());
    }
    if let Some(prompt) = &call.prompt {
        request = request.header("x-prompt-prefix", prompt.as_str());
    }
    if let Some(origin) = &call.origin {
        request = request.header("resumes", origin.id.as_str());
        request = request.header("last-event-id", origin.last);
    }
    let body = Full::new(Bytes::from(vec![b'x'; call.size]));
    request.body(body).expect("the request is valid")
}

/// Reads the body to its end, and sets the time of its first byte and the text of a stream. Fails if the body is
/// truncated or the caller leaves.
async fn read_body(mut body: body::Incoming, seen: &mut Seen) -> Result<Vec<u8>, Outcome> {
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| Outcome::Broken)?.into_data() else {
            continue;
        };
        if bytes.is_empty() {
            seen.first = seen.sent.elapsed();
        }
        bytes.extend_from_slice(&data);
        if seen.call.kind.is_stream() {
            seen.text = String::from_utf8_lossy(&bytes).into_owned();
        }
        let events = seen.text.matches("\n\n").count();
        if seen.call.leaves_after.is_some_and(|left| events >= left) {
            return Err(Outcome::Left);
        }
    }
    Ok(bytes)
}

/// Returns the error in the body of a successful answer, if any. A body whose end isn't stated may lack a part at its end.
#[must_use]
pub fn find_flaw(call: &Call, bytes: &[u8], states_end: bool) -> Option<&'static str> {
    let text = String::from_utf8_lossy(bytes);
    if !call.kind.is_stream() {
        let size = format!("\"body\":{}", call.size);
        let is_own =
            text.contains(&size) || (!states_end && size.contains(text.trim_start_matches('{')));
        return (!is_own).then_some("the body belongs to another request");
    }
    let after = call.origin.as_ref().map_or(0, |origin| origin.last);
    let mut whole = (1..=MAX_VERSION).map(|version| {
        let mark = match version {
            1 => String::new(),
            _ => format!("version: v{version}\n"),
        };
        let events = (after + 1..=EVENTS).map(|id| format!("id: {id}\n{mark}data: t{id}\n\n"));
        events.collect::<String>()
    });
    let is_sound = |whole: String| match states_end {
        true => text == whole,
        false => whole.starts_with(&*text),
    };
    if whole.any(is_sound) {
        None
    } else if worker::versions(&text).len() > 1 {
        Some("the stream has events of two versions")
    } else {
        Some("the stream isn't whole or not in order")
    }
}
