//! Answer bodies: either a full body or a stream of parts with a bounded buffer.

use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use fireflywheel::ending::Framing;
use hyper::body;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot};

use super::{gate, held};

/// The body of an answer to a caller, an operator or a scraper.
#[derive(Debug)]
pub struct Body {
    content: Content,
    framing: Framing,
    /// The bytes of a full body, or the account of a streamed one.
    hold: Option<Arc<held::Hold>>,
    /// Dropped with the body, which closes the channel and so tells its other end that the client is gone.
    _drop_signal: Option<oneshot::Sender<()>>,
}

#[derive(Debug)]
enum Content {
    Full(Option<Bytes>),
    Stream(mpsc::UnboundedReceiver<Part>),
}

#[derive(Debug)]
struct Part {
    bytes: Result<Bytes, Aborted>,
    /// The space that the part takes in the buffer, released when the part is read.
    _permit: Option<OwnedSemaphorePermit>,
    _unread: Option<held::Unread>,
}

/// The error of a stream that was cut off on purpose.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Aborted;

/// The error of a send to a body that was dropped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BodyDropped;

/// The sending half of a streamed body. The stream ends when the sender is dropped.
#[derive(Debug)]
pub struct Sender {
    parts: mpsc::UnboundedSender<Part>,
    free_space: Arc<Semaphore>,
    capacity: u32,
    hold: Option<Arc<held::Hold>>,
}

impl Body {
    /// Creates a full body.
    #[must_use]
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Self {
            content: Content::Full(Some(bytes.into())),
            framing: Framing::Stated,
            hold: None,
            _drop_signal: None,
        }
    }

    /// Creates a streamed body that buffers at most `capacity` bytes.
    #[must_use]
    pub fn stream(capacity: usize) -> (Sender, Self) {
        let (sender, parts) = mpsc::unbounded_channel();
        let capacity = u32::try_from(capacity).unwrap_or(u32::MAX).max(1);
        let sender = Sender {
            parts: sender,
            free_space: Arc::new(Semaphore::new(capacity as usize)),
            capacity,
            hold: None,
        };
        let body = Self {
            content: Content::Stream(parts),
            framing: Framing::Stated,
            hold: None,
            _drop_signal: None,
        };
        (sender, body)
    }

    /// Creates a streamed body whose unread bytes count in an account.
    #[must_use]
    pub fn held_stream(capacity: usize, hold: held::Hold) -> (Sender, Self) {
        let (mut sender, mut body) = Self::stream(capacity);
        let hold = Arc::new(hold);
        sender.hold = Some(Arc::clone(&hold));
        body.hold = Some(hold);
        (sender, body)
    }

    /// Counts the bytes of a full body in an account until the body is dropped.
    #[must_use]
    pub fn with_hold(mut self, hold: held::Hold) -> Self {
        self.hold = Some(Arc::new(hold));
        self
    }

    /// Sets how the answer tells where its body ends. One that doesn't tell ends with its connection.
    #[must_use]
    pub fn with_framing(mut self, framing: Framing) -> Self {
        self.framing = framing;
        self
    }

    /// How the answer tells where its body ends.
    #[must_use]
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Attaches `drop_signal`, which is dropped together with the body.
    #[must_use]
    pub fn with_drop_signal(mut self, drop_signal: oneshot::Sender<()>) -> Self {
        self._drop_signal = Some(drop_signal);
        self
    }
}

impl Sender {
    /// Sends a part as soon as the buffer has space for it.
    ///
    /// # Errors
    ///
    /// Returns [`BodyDropped`] when the body was dropped.
    pub async fn send(&self, bytes: Bytes) -> Result<(), BodyDropped> {
        let size = u32::try_from(bytes.len()).unwrap_or(u32::MAX);
        // A part larger than the buffer takes the whole buffer; otherwise it would wait for ever.
        let size = size.min(self.capacity);
        let permit = tokio::select! {
            permit = Arc::clone(&self.free_space).acquire_many_owned(size) => permit.map_err(|_| BodyDropped)?,
            () = self.parts.closed() => return Err(BodyDropped),
        };
        let unread = match &self.hold {
            None => None,
            Some(hold) => {
                tokio::select! {
                    () = hold.add(bytes.len()) => {}
                    () = self.parts.closed() => return Err(BodyDropped),
                }
                Some(held::Unread::new(hold, bytes.len()))
            }
        };
        self.push(Ok(bytes), Some(permit), unread)
    }

    /// Waits until the body is dropped.
    pub async fn closed(&self) {
        self.parts.closed().await;
    }

    /// Sends a last part even if the buffer is full, and ends the stream.
    pub fn finish(self, bytes: Bytes) {
        let _ = self.push(Ok(bytes), None, None);
    }

    /// Ends the stream with an error, so that the client sees that it is incomplete.
    pub fn abort(self) {
        let _ = self.push(Err(Aborted), None, None);
    }

    fn push(
        &self,
        bytes: Result<Bytes, Aborted>,
        permit: Option<OwnedSemaphorePermit>,
        unread: Option<held::Unread>,
    ) -> Result<(), BodyDropped> {
        let part = Part {
            bytes,
            _permit: permit,
            _unread: unread,
        };
        self.parts.send(part).map_err(|_| BodyDropped)
    }
}

impl body::Body for Body {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<body::Frame<Bytes>, Aborted>>> {
        let bytes = match &mut self.content {
            Content::Full(bytes) => bytes.take().map(Ok),
            Content::Stream(parts) => ready!(parts.poll_recv(context)).map(|part| part.bytes),
        };
        Poll::Ready(bytes.map(|bytes| bytes.map(body::Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.content, Content::Full(None))
    }

    fn size_hint(&self) -> body::SizeHint {
        match &self.content {
            _ if self.framing == Framing::UntilClose => body::SizeHint::default(),
            Content::Full(bytes) => {
                body::SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Content::Stream(_) => body::SizeHint::default(),
        }
    }
}

/// A body that counts its request as answered when the server drops it.
#[derive(Debug)]
pub(super) struct Tracked {
    inner: Body,
    requests: Arc<gate::Requests>,
}

impl Tracked {
    pub(super) fn new(inner: Body, requests: Arc<gate::Requests>) -> Self {
        if inner.framing == Framing::UntilClose {
            requests.begin_unstated();
        }
        requests.set_hold(inner.hold.clone());
        Self { inner, requests }
    }
}

impl Drop for Tracked {
    fn drop(&mut self) {
        self.requests.set_hold(None);
        self.requests.count_answered();
    }
}

impl body::Body for Tracked {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<body::Frame<Bytes>, Aborted>>> {
        let frame = ready!(Pin::new(&mut self.inner).poll_frame(context));
        if frame.is_none() || self.inner.is_end_stream() {
            self.requests.record_whole_body();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> body::SizeHint {
        self.inner.size_hint()
    }
}

impl fmt::Display for Aborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the stream was cut off before its end")
    }
}

impl std::error::Error for Aborted {}
