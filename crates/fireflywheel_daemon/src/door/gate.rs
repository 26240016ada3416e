//! Limits on a connection that stand before a byte is parsed: the size and the time of a request's head, and
//! how long a receiver may leave an answer unread.

use std::future::Future as _;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use hyper::StatusCode;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{self, Instant, Sleep};

use crate::errors;

/// How long a connection may lie idle between two requests.
pub(super) const KEEP_ALIVE: Duration = Duration::from_secs(60);

/// A limit that was passed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Violation {
    /// The head is larger than taken.
    LongHead,
    /// The head did not come in time.
    SlowHead,
    /// Nothing came between two requests: the usual end of a connection.
    Idle,
    /// The receiver left the answer unread.
    SlowReader,
    /// The head announces its body in two ways.
    Ambiguous,
}

/// A connection under limits.
#[derive(Debug)]
pub(super) struct Gate {
    stream: TcpStream,
    limits: Limits,
    head: Head,
    requests: Arc<Requests>,
    /// Answers whose next head was begun.
    answers_seen: u64,
    read_timer: Pin<Box<Sleep>>,
    write_timer: Option<Pin<Box<Sleep>>>,
    violation: Option<Violation>,
}

/// Requests of one connection, counted by those who answer them.
#[derive(Debug, Default)]
pub(super) struct Requests {
    begun: AtomicU64,
    answered: AtomicU64,
}

/// What a gate lets through.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limits {
    pub(super) header_bytes: usize,
    pub(super) idle: Duration,
}

/// How much of a request's head has come.
#[derive(Clone, Copy, Debug, Default)]
struct Head {
    bytes: usize,
    after_newline: bool,
    complete: bool,
    later: bool,
    line: Line,
    has_length: bool,
    has_encoding: bool,
}

/// The name at the start of a header line, as far as it is of interest.
#[derive(Clone, Copy, Debug, Default)]
struct Line {
    name: [u8; LONGEST_NAME],
    length: usize,
    named: bool,
}

const LENGTH: &[u8] = b"content-length";
const ENCODING: &[u8] = b"transfer-encoding";
const LONGEST_NAME: usize = ENCODING.len();

impl Line {
    /// Adds a byte; the name once it is whole.
    fn push(&mut self, byte: u8) -> Option<&[u8]> {
        if self.named {
            return None;
        }
        if byte == b':' {
            self.named = true;
            return self.name.get(..self.length);
        }
        if let Some(place) = self.name.get_mut(self.length) {
            *place = byte.to_ascii_lowercase();
        }
        self.length += 1;
        None
    }
}

impl Requests {
    /// A request was parsed.
    pub(super) fn begin(&self) {
        self.begun.fetch_add(1, Ordering::AcqRel);
    }

    /// The whole answer was handed to the connection.
    pub(super) fn answer(&self) {
        self.answered.fetch_add(1, Ordering::AcqRel);
    }

    fn answered(&self) -> u64 {
        self.answered.load(Ordering::Acquire)
    }

    fn is_busy(&self) -> bool {
        self.begun.load(Ordering::Acquire) > self.answered()
    }
}

impl Violation {
    /// The answer that the sender gets, if it is to get one.
    pub(super) fn problem(self) -> Option<errors::Problem> {
        let (status, code, message) = match self {
            Self::LongHead => (
                StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
                "header_too_large",
                "the request's header is larger than this door takes",
            ),
            Self::SlowHead => (
                StatusCode::REQUEST_TIMEOUT,
                "header_timeout",
                "the request's header did not come in time",
            ),
            Self::Ambiguous => (
                StatusCode::BAD_REQUEST,
                "bad_framing",
                "the request announces its body in two ways",
            ),
            Self::Idle | Self::SlowReader => return None,
        };
        Some(errors::Problem::new(status, code, message))
    }
}

impl Head {
    /// Looks for the empty line that ends a head. Lines may end without a carriage return, since the parser
    /// takes that as well.
    fn scan(&mut self, bytes: &[u8]) {
        for byte in bytes {
            if self.complete {
                return;
            }
            self.bytes += 1;
            match byte {
                b'\n' => {
                    self.complete = self.after_newline;
                    self.after_newline = true;
                    self.line = Line::default();
                }
                b'\r' => {}
                other => {
                    self.after_newline = false;
                    let name = self.line.push(*other);
                    self.has_length |= name == Some(LENGTH);
                    self.has_encoding |= name == Some(ENCODING);
                }
            }
        }
    }
}

impl Gate {
    /// A gate before a new connection, whose requests are counted in `requests`.
    pub(super) fn new(stream: TcpStream, limits: Limits, requests: Arc<Requests>) -> Self {
        Self {
            stream,
            limits,
            head: Head::default(),
            requests,
            answers_seen: 0,
            read_timer: Box::pin(time::sleep(limits.idle)),
            write_timer: None,
            violation: None,
        }
    }

    /// The limit that ended the connection.
    pub(super) fn violation(&self) -> Option<Violation> {
        self.violation
    }

    /// The connection without its limits.
    pub(super) fn into_inner(self) -> TcpStream {
        self.stream
    }

    /// Tells whether what is read next belongs to a head.
    fn follow_requests(&mut self) {
        // A sender may have sent its next head together with the one before. It is parsed without another
        // read here; without this its body would be taken for a head, and a request that runs would be
        // answered as one whose header didn't come.
        if self.requests.is_busy() {
            self.head.complete = true;
            return;
        }
        let answered = self.requests.answered();
        if answered > self.answers_seen {
            self.answers_seen = answered;
            self.head = Head {
                later: true,
                ..Head::default()
            };
            self.read_timer.as_mut().reset(Instant::now() + KEEP_ALIVE);
        }
    }

    fn take_in(&mut self, bytes: &[u8]) -> Result<(), Violation> {
        if self.head.complete || bytes.is_empty() {
            return Ok(());
        }
        if self.head.bytes == 0 {
            self.read_timer
                .as_mut()
                .reset(Instant::now() + self.limits.idle);
        }
        self.head.scan(bytes);
        if self.head.bytes > self.limits.header_bytes {
            return Err(Violation::LongHead);
        }
        // Two parsers could take such a request for two of different lengths, and one of them would run what
        // the other saw as a body. The parser behind this gate drops the length without a word.
        if self.head.has_length && self.head.has_encoding {
            return Err(Violation::Ambiguous);
        }
        Ok(())
    }

    fn fail(&mut self, violation: Violation) -> io::Error {
        self.violation.get_or_insert(violation);
        io::Error::new(io::ErrorKind::TimedOut, "a limit of the door was passed")
    }

    fn poll_read_timer(&mut self, context: &mut Context<'_>) -> Poll<io::Error> {
        if self.head.complete {
            return Poll::Pending;
        }
        ready!(self.read_timer.as_mut().poll(context));
        let idle = self.head.later && self.head.bytes == 0;
        let violation = if idle {
            Violation::Idle
        } else {
            Violation::SlowHead
        };
        Poll::Ready(self.fail(violation))
    }

    fn poll_write_timer(&mut self, context: &mut Context<'_>) -> Poll<io::Error> {
        let idle = self.limits.idle;
        let timer = self
            .write_timer
            .get_or_insert_with(|| Box::pin(time::sleep(idle)));
        ready!(timer.as_mut().poll(context));
        Poll::Ready(self.fail(Violation::SlowReader))
    }
}

impl AsyncRead for Gate {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.follow_requests();
        let before = buffer.filled().len();
        if let Poll::Ready(result) = Pin::new(&mut self.stream).poll_read(context, buffer) {
            result?;
            let taken = self.take_in(&buffer.filled()[before..]);
            return Poll::Ready(taken.map_err(|violation| self.fail(violation)));
        }
        self.poll_read_timer(context).map(Err)
    }
}

impl AsyncWrite for Gate {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if let Poll::Ready(result) = Pin::new(&mut self.stream).poll_write(context, bytes) {
            self.write_timer = None;
            return Poll::Ready(result);
        }
        // A receiver that stops reading would hold its answer, its place and the engine's stream for ever.
        self.poll_write_timer(context).map(Err)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
