//! Connection limits that are enforced before a request is parsed: the size and the arrival time of a request's
//! head, and how long a client may leave an answer unread.

use std::future::Future as _;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use hyper::StatusCode;
use rustix::net::sockopt;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{self, Instant, Sleep};

use super::held;
use crate::errors;

/// How long a connection may be idle between two requests.
pub(super) const KEEP_ALIVE: Duration = Duration::from_secs(60);

/// A limit that a client has exceeded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Violation {
    /// The head is larger than the limit.
    HeadTooLarge,
    /// The head did not arrive in time.
    HeadTimeout,
    /// No further request arrived, which is the usual end of a connection.
    Idle,
    /// The client left the answer unread.
    WriteTimeout,
    /// The head announces its body by both a length and a transfer encoding.
    AmbiguousFraming,
}

/// A connection with enforced limits.
#[derive(Debug)]
pub(super) struct Gate {
    stream: TcpStream,
    limits: Limits,
    head: Head,
    requests: Arc<Requests>,
    /// The number of answered requests when the current head began.
    answers_seen: u64,
    read_timer: Pin<Box<Sleep>>,
    write_timer: Option<Pin<Box<Sleep>>>,
    violation: Option<Violation>,
    /// Whether closing the socket resets the connection.
    resets_on_close: bool,
}

/// Counts the requests of one connection.
#[derive(Debug, Default)]
pub(super) struct Requests {
    begun: AtomicU64,
    answered: AtomicU64,
    /// Whether an answer is in progress that doesn't state where its body ends.
    end_unstated: AtomicBool,
    /// Whether the server has taken the whole body of that answer. It may not have written it yet.
    has_whole_body: AtomicBool,
    /// The account of the answer in progress.
    hold: Mutex<Option<Arc<held::Hold>>>,
}

/// The limits of a connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limits {
    pub(super) header_bytes: usize,
    pub(super) idle_timeout: Duration,
}

/// The scan state of a request's head.
#[derive(Clone, Copy, Debug, Default)]
struct Head {
    bytes: usize,
    after_newline: bool,
    complete: bool,
    is_later: bool,
    line: Line,
    has_length: bool,
    has_encoding: bool,
}

/// The scan state of a header line. The name is kept up to the longest name that is looked for.
#[derive(Clone, Copy, Debug, Default)]
struct Line {
    name: [u8; MAX_NAME_BYTES],
    length: usize,
    name_complete: bool,
}

const CONTENT_LENGTH: &[u8] = b"content-length";
const TRANSFER_ENCODING: &[u8] = b"transfer-encoding";
const MAX_NAME_BYTES: usize = TRANSFER_ENCODING.len();

impl Line {
    /// Adds a byte, and returns the name of the header when it is complete.
    fn push(&mut self, byte: u8) -> Option<&[u8]> {
        if self.name_complete {
            return None;
        }
        if byte == b':' {
            self.name_complete = true;
            return self.name.get(..self.length);
        }
        if let Some(slot) = self.name.get_mut(self.length) {
            *slot = byte.to_ascii_lowercase();
        }
        self.length += 1;
        None
    }
}

impl Requests {
    /// Records that an answer begins that doesn't state where its body ends.
    pub(super) fn begin_unstated(&self) {
        self.has_whole_body.store(false, Ordering::Release);
        self.end_unstated.store(true, Ordering::Release);
    }

    /// Records that the server has taken the whole body of an answer.
    pub(super) fn record_whole_body(&self) {
        self.has_whole_body.store(true, Ordering::Release);
    }

    /// Records that the server has written all that it took.
    fn record_written(&self) {
        if self.has_whole_body.load(Ordering::Acquire) {
            self.end_unstated.store(false, Ordering::Release);
        }
    }

    /// Sets the account of the answer in progress.
    pub(super) fn set_hold(&self, hold: Option<Arc<held::Hold>>) {
        *self.hold.lock().expect("the lock is not poisoned") = hold;
    }

    fn hold(&self) -> Option<Arc<held::Hold>> {
        self.hold.lock().expect("the lock is not poisoned").clone()
    }

    /// Counts a request that was parsed.
    pub(super) fn count_begun(&self) {
        self.begun.fetch_add(1, Ordering::AcqRel);
    }

    /// Counts a request whose full answer was handed to the connection.
    pub(super) fn count_answered(&self) {
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
    /// Returns the answer to the client, or `None` when the connection is closed without one.
    pub(super) fn problem(self) -> Option<errors::Problem> {
        let (status, code, message) = match self {
            Self::HeadTooLarge => (
                StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
                "header_too_large",
                "the request's header is larger than this door takes",
            ),
            Self::HeadTimeout => (
                StatusCode::REQUEST_TIMEOUT,
                "header_timeout",
                "the request's header did not come in time",
            ),
            Self::AmbiguousFraming => (
                StatusCode::BAD_REQUEST,
                "bad_framing",
                "the request announces its body in two ways",
            ),
            Self::Idle | Self::WriteTimeout => return None,
        };
        Some(errors::Problem::new(status, code, message))
    }
}

impl Head {
    /// Scans for the empty line that ends a head. Lines may end without a carriage return, since the HTTP
    /// parser accepts that as well.
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
                    self.has_length |= name == Some(CONTENT_LENGTH);
                    self.has_encoding |= name == Some(TRANSFER_ENCODING);
                }
            }
        }
    }
}

impl Gate {
    /// Wraps a new connection, whose requests are counted in `requests`.
    pub(super) fn new(stream: TcpStream, limits: Limits, requests: Arc<Requests>) -> Self {
        Self {
            stream,
            limits,
            head: Head::default(),
            requests,
            answers_seen: 0,
            read_timer: Box::pin(time::sleep(limits.idle_timeout)),
            write_timer: None,
            violation: None,
            resets_on_close: false,
        }
    }

    /// Returns the limit that ended the connection, if one did.
    pub(super) fn violation(&self) -> Option<Violation> {
        self.violation
    }

    /// Returns the connection without its limits.
    pub(super) fn into_inner(self) -> TcpStream {
        self.stream
    }

    /// Makes the connection reset if it is closed within an answer that doesn't state where its body ends, even if the
    /// process is killed: an end in order would look like the end of that answer.
    pub(super) fn update_reset_on_close(&mut self) {
        let resets = self.requests.end_unstated.load(Ordering::Acquire);
        if resets == self.resets_on_close {
            return;
        }
        self.resets_on_close = resets;
        let linger = resets.then_some(Duration::ZERO);
        if let Err(error) = sockopt::set_socket_linger(&self.stream, linger) {
            log::debug!(why = error.to_string().as_str(); "socket options were not set");
        }
    }

    /// Whether closing the socket resets the connection.
    pub(super) fn resets_on_close(&self) -> bool {
        self.resets_on_close
    }

    /// Updates whether the bytes that are read next belong to a head.
    fn update_head(&mut self) {
        // With pipelining, a client may have sent its next head together with the previous request. That head
        // is parsed without another read here. Without this check, its body would be scanned as a head, and a
        // running request would be answered with a header timeout.
        if self.requests.is_busy() {
            self.head.complete = true;
            return;
        }
        let answered = self.requests.answered();
        if answered > self.answers_seen {
            self.answers_seen = answered;
            self.head = Head {
                is_later: true,
                ..Head::default()
            };
            self.read_timer.as_mut().reset(Instant::now() + KEEP_ALIVE);
        }
    }

    fn scan_head(&mut self, bytes: &[u8]) -> Result<(), Violation> {
        if self.head.complete || bytes.is_empty() {
            return Ok(());
        }
        if self.head.bytes == 0 {
            self.read_timer
                .as_mut()
                .reset(Instant::now() + self.limits.idle_timeout);
        }
        self.head.scan(bytes);
        if self.head.bytes > self.limits.header_bytes {
            return Err(Violation::HeadTooLarge);
        }
        // This prevents request smuggling: two parsers could read different body lengths, and one of them would
        // run what the other saw as a body. The HTTP parser behind this gate ignores the length silently.
        if self.head.has_length && self.head.has_encoding {
            return Err(Violation::AmbiguousFraming);
        }
        Ok(())
    }

    fn fail(&mut self, violation: Violation) -> io::Error {
        self.violation.get_or_insert(violation);
        io::Error::new(io::ErrorKind::TimedOut, "a connection limit was exceeded")
    }

    fn poll_read_timer(&mut self, context: &mut Context<'_>) -> Poll<io::Error> {
        if self.head.complete {
            return Poll::Pending;
        }
        ready!(self.read_timer.as_mut().poll(context));
        let is_idle = self.head.is_later && self.head.bytes == 0;
        let violation = if is_idle {
            Violation::Idle
        } else {
            Violation::HeadTimeout
        };
        Poll::Ready(self.fail(violation))
    }

    fn poll_write_timer(&mut self, context: &mut Context<'_>) -> Poll<io::Error> {
        let idle_timeout = self.limits.idle_timeout;
        let timer = self
            .write_timer
            .get_or_insert_with(|| Box::pin(time::sleep(idle_timeout)));
        let is_overdue = timer.as_mut().poll(context).is_ready();
        let hold = self.requests.hold();
        let is_evicted = hold.is_some_and(|hold| hold.poll_evicted(context).is_ready());
        if is_overdue || is_evicted {
            return Poll::Ready(self.fail(Violation::WriteTimeout));
        }
        Poll::Pending
    }
}

impl AsyncRead for Gate {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.update_head();
        let before = buffer.filled().len();
        if let Poll::Ready(result) = Pin::new(&mut self.stream).poll_read(context, buffer) {
            result?;
            let scanned = self.scan_head(&buffer.filled()[before..]);
            return Poll::Ready(scanned.map_err(|violation| self.fail(violation)));
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
        self.update_reset_on_close();
        if let Poll::Ready(result) = Pin::new(&mut self.stream).poll_write(context, bytes) {
            self.write_timer = None;
            return Poll::Ready(result);
        }
        // A client that stops reading would hold its answer, its connection slot and the engine's stream for
        // ever.
        self.poll_write_timer(context).map(Err)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The HTTP library flushes once its own buffer is empty. Until then, a kill loses what is in it.
        self.requests.record_written();
        self.update_reset_on_close();
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
