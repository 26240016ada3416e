//! The small hyper server under every stand-in: routing of faults and counts, and the order in
//! which the general faults apply to a call.

use std::{fmt, pin, sync, task};

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::{HeaderMap, Method, Response, StatusCode, body, header};
use hyper_util::rt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_str::SmolStr;
use tokio::net;
use tokio::sync::mpsc;
use tokio::task as tasks;

use crate::fault;

/// Largest request body taken, in bytes.
const MAX_BODY: usize = 16 << 20;

/// The header that carries the id of a request and of its answer.
pub const REQUEST_ID: &str = "x-request-id";

/// The answer to a call.
pub type Answer = Response<Body>;

/// A call whose connection is closed without an answer.
#[derive(Clone, Copy, Debug)]
pub struct Lost;

impl fmt::Display for Lost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the connection closes without an answer")
    }
}

impl std::error::Error for Lost {}

/// The body of an answer.
#[derive(Debug)]
pub enum Body {
    /// The whole body.
    Full(Bytes),
    /// Fewer bytes than the announced length, then the connection closes.
    Short {
        /// The bytes that are sent.
        part: Bytes,
        /// The length announced.
        announced: u64,
    },
    /// Closes the connection at the poll after the next.
    Breaking,
    /// Closes the connection at the next poll.
    Broken,
    /// Parts as they come; an error closes the connection.
    Parts(mpsc::Receiver<Result<Bytes, Lost>>),
    /// Nothing more to send.
    Empty,
}

impl body::Body for Body {
    type Data = Bytes;
    type Error = Lost;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, Lost>>> {
        if let Self::Parts(parts) = &mut *self {
            return parts
                .poll_recv(context)
                .map(|part| part.map(|part| part.map(body::Frame::data)));
        }
        let next = match std::mem::replace(&mut *self, Self::Empty) {
            Self::Full(bytes) => Some(Ok(body::Frame::data(bytes))),
            Self::Short { part, .. } => {
                *self = Self::Breaking;
                Some(Ok(body::Frame::data(part)))
            }
            Self::Breaking => {
                // hyper flushes what it has when a body isn't ready; an error at once would
                // take the head of the answer with it.
                *self = Self::Broken;
                context.waker().wake_by_ref();
                return task::Poll::Pending;
            }
            Self::Broken => Some(Err(Lost)),
            Self::Parts(_) | Self::Empty => None,
        };
        task::Poll::Ready(next)
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Empty)
    }

    fn size_hint(&self) -> body::SizeHint {
        match self {
            Self::Full(bytes) => body::SizeHint::with_exact(bytes.len() as u64),
            Self::Short { announced, .. } => body::SizeHint::with_exact(*announced),
            Self::Parts(_) | Self::Breaking | Self::Broken => body::SizeHint::default(),
            Self::Empty => body::SizeHint::with_exact(0),
        }
    }
}

/// A request, read whole.
#[derive(Clone, Debug)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// The path, without the query.
    pub path: SmolStr,
    /// The query, without the question mark; may be empty.
    pub query: SmolStr,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Request {
    /// A header's value, if it is there and is text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// A number in the query.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<u64> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .and_then(|(_, value)| value.parse().ok())
    }

    /// The body as JSON; the error is the answer to give, a 400.
    ///
    /// # Errors
    /// When the body isn't JSON of this shape.
    #[expect(clippy::result_large_err, reason = "the error is the answer to send")]
    pub fn json<T>(&self) -> Result<T, Answer>
    where
        T: DeserializeOwned,
    {
        serde_json::from_slice(&self.body)
            .map_err(|err| failure(StatusCode::BAD_REQUEST, "bad_request", &err.to_string()))
    }
}

/// What a stand-in does behind the shared server.
pub trait Handler: Send + Sync + 'static {
    /// What `GET /v1/counts` answers.
    type Counts: Serialize;

    /// The injector with this stand-in's switches.
    fn injector(&self) -> &fault::Injector;

    /// The counts at this moment.
    fn counts(&self) -> Self::Counts;

    /// Whether the call counts for `lose_answers` and `late_ms`. Polls don't: they would use up
    /// the losses that a test means for a call with an effect.
    fn has_effect(&self, _request: &Request) -> bool {
        true
    }

    /// Told of each change of the switches, after it was applied.
    fn changed(&self, _change: &fault::Change) {}

    /// Carries out a call. It goes on when the caller's connection ends meanwhile.
    fn call(
        self: sync::Arc<Self>,
        request: Request,
    ) -> impl Future<Output = Result<Answer, Lost>> + Send;
}

#[derive(Serialize)]
struct Envelope<'a> {
    error: Problem<'a>,
}

#[derive(Serialize)]
struct Problem<'a> {
    r#type: &'a str,
    code: &'a str,
    message: &'a str,
}

/// An answer with a JSON body.
#[must_use]
pub fn json<T>(status: StatusCode, value: &T) -> Answer
where
    T: Serialize,
{
    let bytes = serde_json::to_vec(value).expect("plain structs serialize");
    let mut answer = Response::new(Body::Full(bytes.into()));
    *answer.status_mut() = status;
    answer.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("application/json"),
    );
    answer
}

/// An error answer in the shape that all doors share.
#[must_use]
pub fn failure(status: StatusCode, code: &str, message: &str) -> Answer {
    let kind = if status.is_server_error() {
        "server_error"
    } else {
        "invalid_request_error"
    };
    json(
        status,
        &Envelope {
            error: Problem {
                r#type: kind,
                code,
                message,
            },
        },
    )
}

/// Sets the request id of an answer; an id that can't stand in a header is left out.
pub fn set_request_id(answer: &mut Answer, id: &str) {
    if let Ok(value) = header::HeaderValue::from_str(id) {
        answer.headers_mut().insert(REQUEST_ID, value);
    }
}

/// Shortens a whole body to its first half while the full length stays announced.
pub fn shorten(answer: &mut Answer) {
    if let Body::Full(bytes) = answer.body() {
        let short = Body::Short {
            part: bytes.slice(..bytes.len() / 2),
            announced: bytes.len() as u64,
        };
        *answer.body_mut() = short;
    }
}

/// Serves `handler` until the future is dropped; its connections end with it.
///
/// # Errors
/// When the listener fails for good.
pub async fn serve<H>(listener: net::TcpListener, handler: H) -> anyhow::Result<()>
where
    H: Handler,
{
    let handler = sync::Arc::new(handler);
    let mut connections = tasks::JoinSet::new();
    loop {
        let (socket, _) = listener.accept().await?;
        socket.set_nodelay(true)?;
        connections.spawn(connection(socket, sync::Arc::clone(&handler)));
        while connections.try_join_next().is_some() {}
    }
}

async fn connection<H>(socket: net::TcpStream, handler: sync::Arc<H>)
where
    H: Handler,
{
    let service = hyper::service::service_fn(move |request| {
        let handler = sync::Arc::clone(&handler);
        respond(handler, request)
    });
    // An error here is a client that went away, or an answer lost on purpose.
    let _ = hyper::server::conn::http1::Builder::new()
        .timer(rt::TokioTimer::new())
        .serve_connection(rt::TokioIo::new(socket), service)
        .await;
}

async fn respond<H>(
    handler: sync::Arc<H>,
    request: hyper::Request<body::Incoming>,
) -> Result<Answer, Lost>
where
    H: Handler,
{
    let request = match read(request).await {
        Ok(request) => request,
        Err(answer) => return Ok(*answer),
    };
    match (&request.method, request.path.as_str()) {
        (&Method::POST, "/v1/faults") => Ok(set_faults(&*handler, &request)),
        (&Method::GET, "/v1/faults") => Ok(json(StatusCode::OK, &handler.injector().switches())),
        (&Method::GET, "/v1/counts") => Ok(json(StatusCode::OK, &handler.counts())),
        // A task of its own: a caller that gives up doesn't undo what it has sent, so the call
        // must go on when hyper drops the connection.
        _ => tasks::spawn(carry_out(handler, request))
            .await
            .unwrap_or(Err(Lost)),
    }
}

async fn read(request: hyper::Request<body::Incoming>) -> Result<Request, Box<Answer>> {
    let (head, body) = request.into_parts();
    let body = http_body_util::Limited::new(body, MAX_BODY)
        .collect()
        .await
        .map_err(|err| {
            let message = err.to_string();
            Box::new(failure(
                StatusCode::PAYLOAD_TOO_LARGE,
                "too_large",
                &message,
            ))
        })?
        .to_bytes();
    Ok(Request {
        method: head.method,
        path: head.uri.path().into(),
        query: head.uri.query().unwrap_or_default().into(),
        headers: head.headers,
        body,
    })
}

fn set_faults<H>(handler: &H, request: &Request) -> Answer
where
    H: Handler,
{
    let change = match request.json::<fault::Change>() {
        Ok(change) => change,
        Err(answer) => return answer,
    };
    handler.injector().apply(&change);
    handler.changed(&change);
    json(StatusCode::OK, &change)
}

async fn carry_out<H>(handler: sync::Arc<H>, request: Request) -> Result<Answer, Lost>
where
    H: Handler,
{
    handler.injector().wait_until_unfrozen().await;
    handler.injector().delay_request().await;
    handler.injector().wait_until_unfrozen().await;
    if handler.injector().switches().outage {
        return Ok(outage());
    }
    let has_effect = handler.has_effect(&request);
    let answer = sync::Arc::clone(&handler).call(request).await?;
    if has_effect {
        handler.injector().delay_answer().await;
    }
    handler.injector().wait_until_unfrozen().await;
    if has_effect
        && handler
            .injector()
            .try_consume(|switches| &mut switches.lose_answers)
    {
        return Err(Lost);
    }
    Ok(answer)
}

/// The answer of every stand-in in an outage.
#[must_use]
pub fn outage() -> Answer {
    failure(
        StatusCode::SERVICE_UNAVAILABLE,
        "outage",
        "the service is out of order",
    )
}
