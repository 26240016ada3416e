//! One caller with a kept connection, and what it saw of each request.

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

use crate::site::worker::EVENTS;

/// How long an answer is waited for beyond the deadline.
pub const GRACE: Duration = Duration::from_secs(2);

/// What a request asks for.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// A booking, which may run once.
    Booking,
    /// A look-up, which may be repeated.
    LookUp,
    /// A stream that may be resumed.
    Stream,
    /// A stream that may run once.
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

    /// Where it is sent.
    #[must_use]
    pub fn path(self) -> &'static str {
        match self {
            Self::Booking => "/book/x",
            Self::LookUp => "/look/x",
            Self::Stream => "/ask/x",
            Self::SingleStream => "/once/x",
        }
    }

    /// Whether it may run once only.
    #[must_use]
    pub fn is_single(self) -> bool {
        matches!(self, Self::Booking | Self::SingleStream)
    }

    /// Whether it is for a model.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::SingleStream)
    }
}

/// A request.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its id.
    pub id: SmolStr,
    /// What it asks for.
    pub kind: Kind,
    /// The model, for streams.
    pub model: Option<SmolStr>,
    /// Bytes of its body.
    pub size: usize,
    /// How long its caller waits.
    pub deadline: Duration,
}

/// What its caller saw.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// A whole answer.
    Answer(Answer),
    /// An answer that broke off visibly.
    Broken,
    /// No answer, and the connection has ended.
    Unanswered,
    /// No connection was made: nothing was sent.
    Unreached,
    /// Nothing, or not all, within the deadline and some more.
    Hung,
}

/// A whole answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// Whether it has a worker's signature.
    pub signed: bool,
    /// The request that it says it belongs to.
    pub id: Option<SmolStr>,
    /// Whether it may be tried again, and when.
    pub has_retry_after: bool,
    /// What is wrong with its body.
    pub flaw: Option<&'static str>,
}

impl Answer {
    /// Whether it says that the request hasn't run and won't.
    #[must_use]
    pub fn promises_not_run(&self) -> bool {
        matches!(self.status.as_u16(), 408 | 421 | 429 | 503)
    }
}

/// A request and what became of it.
#[derive(Clone, Debug)]
pub struct Seen {
    /// The request.
    pub call: Call,
    /// At which instance.
    pub instance: usize,
    /// When it was sent.
    pub sent: time::Instant,
    /// From then to the first byte of its content.
    pub first: Duration,
    /// From then to the end.
    pub whole: Duration,
    /// What its caller saw.
    pub outcome: Outcome,
}

/// A caller.
#[derive(Debug)]
pub struct Caller {
    instance: usize,
    address: SocketAddr,
    connection: Option<SendRequest<Full<Bytes>>>,
}

impl Caller {
    /// A caller of the instance at this address.
    #[must_use]
    pub fn new(instance: usize, address: SocketAddr) -> Self {
        Self {
            instance,
            address,
            connection: None,
        }
    }

    /// Sends a request on the kept connection, or on a new one if that has ended, and waits for its end.
    pub async fn send(&mut self, call: Call) -> Seen {
        let sent = time::Instant::now();
        let mut first = Duration::ZERO;
        let exchange = self.exchange(&call, sent, &mut first);
        let outcome = match time::timeout(call.deadline + GRACE, exchange).await {
            Ok(outcome) => outcome,
            Err(_) => {
                self.connection = None;
                Outcome::Hung
            }
        };
        Seen {
            call,
            instance: self.instance,
            sent,
            first,
            whole: sent.elapsed(),
            outcome,
        }
    }

    async fn exchange(
        &mut self,
        call: &Call,
        sent: time::Instant,
        first: &mut Duration,
    ) -> Outcome {
        let Some(mut connection) = self.connect().await else {
            return Outcome::Unreached;
        };
        let Ok(response) = connection.send_request(request(call)).await else {
            return Outcome::Unanswered;
        };
        let (head, body) = response.into_parts();
        let header = |name| head.headers.get(name)?.to_str().ok();
        let closes = header("connection") == Some("close");
        let mut answer = Answer {
            status: head.status,
            signed: header("x-server-seal").is_some(),
            id: header("x-attempt-id").map(SmolStr::new),
            has_retry_after: head.headers.contains_key(header::RETRY_AFTER),
            flaw: None,
        };
        let Some(bytes) = collect(body, sent, first).await else {
            return Outcome::Broken;
        };
        if head.status.is_success() {
            answer.flaw = flaw(call, &bytes);
        }
        if !closes {
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

fn request(call: &Call) -> Request<Full<Bytes>> {
    let mut request = Request::builder()
        .method(Method::POST)
        .uri(call.kind.path())
        .header(header::HOST, "h")
        .header("x-attempt-id", call.id.as_str())
        .header("x-deadline-ms", call.deadline.as_millis().to_string());
    if let Some(model) = &call.model {
        request = request.header("x-model", model.as_str());
    }
    let body = Full::new(Bytes::from(vec![b'x'; call.size]));
    request.body(body).expect("a good request")
}

/// The whole body; none when it breaks off.
async fn collect(
    mut body: body::Incoming,
    sent: time::Instant,
    first: &mut Duration,
) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else {
            continue;
        };
        if bytes.is_empty() {
            *first = sent.elapsed();
        }
        bytes.extend_from_slice(&data);
    }
    Some(bytes)
}

/// What is wrong with the body of a success.
fn flaw(call: &Call, bytes: &[u8]) -> Option<&'static str> {
    let text = String::from_utf8_lossy(bytes);
    if call.kind.is_stream() {
        let whole: String = (1..=EVENTS)
            .map(|id| format!("id: {id}\ndata: t{id}\n\n"))
            .collect();
        (text != whole).then_some("the stream isn't whole or not in order")
    } else {
        let size = format!("\"body\":{}", call.size);
        (!text.contains(&size)).then_some("the body belongs to another request")
    }
}
