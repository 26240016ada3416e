//! Bodies of answers: whole, or a stream of parts with a bounded buffer.

use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot};

use super::gate;

/// The body of an answer to a caller, an operator or a scraper.
#[derive(Debug)]
pub struct Body {
    content: Content,
    /// Dropped with the body: tells the sender that its receiver has gone.
    _presence: Option<oneshot::Sender<()>>,
}

#[derive(Debug)]
enum Content {
    Whole(Option<Bytes>),
    Stream(mpsc::UnboundedReceiver<Part>),
}

#[derive(Debug)]
struct Part {
    bytes: Result<Bytes, Cut>,
    /// Room in the buffer, given back when the part is taken.
    _room: Option<OwnedSemaphorePermit>,
}

/// The stream was ended on purpose before its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Cut;

/// The receiver has gone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Gone;

/// The sending end of a streamed body. The stream ends when it is dropped.
#[derive(Debug)]
pub struct Sender {
    parts: mpsc::UnboundedSender<Part>,
    room: Arc<Semaphore>,
    capacity: u32,
}

impl Body {
    /// A body that is there already.
    #[must_use]
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self {
            content: Content::Whole(Some(bytes.into())),
            _presence: None,
        }
    }

    /// A streamed body that holds at most `capacity` bytes which its receiver hasn't taken.
    #[must_use]
    pub fn stream(capacity: usize) -> (Sender, Self) {
        let (sender, parts) = mpsc::unbounded_channel();
        let capacity = u32::try_from(capacity).unwrap_or(u32::MAX).max(1);
        let sender = Sender {
            parts: sender,
            room: Arc::new(Semaphore::new(capacity as usize)),
            capacity,
        };
        let body = Self {
            content: Content::Stream(parts),
            _presence: None,
        };
        (sender, body)
    }

    /// The same, holding `presence` until it is dropped.
    #[must_use]
    pub fn with_presence(mut self, presence: oneshot::Sender<()>) -> Self {
        self._presence = Some(presence);
        self
    }
}

impl Sender {
    /// Hands on a part once there is room for it.
    ///
    /// # Errors
    ///
    /// [`Gone`] when nobody receives any more.
    pub async fn send(&self, bytes: Bytes) -> Result<(), Gone> {
        let size = u32::try_from(bytes.len()).unwrap_or(u32::MAX);
        // A part larger than the buffer takes all of it, or it would wait for ever.
        let size = size.min(self.capacity);
        let room = tokio::select! {
            room = Arc::clone(&self.room).acquire_many_owned(size) => room.map_err(|_| Gone)?,
            () = self.parts.closed() => return Err(Gone),
        };
        self.push(Ok(bytes), Some(room))
    }

    /// Waits until nobody receives any more.
    pub async fn gone(&self) {
        self.parts.closed().await;
    }

    /// Hands on a last part whether or not there is room, and ends the stream.
    pub fn finish(self, bytes: Bytes) {
        let _ = self.push(Ok(bytes), None);
    }

    /// Ends the stream so that its receiver sees that it isn't whole.
    pub fn cut(self) {
        let _ = self.push(Err(Cut), None);
    }

    fn push(
        &self,
        bytes: Result<Bytes, Cut>,
        room: Option<OwnedSemaphorePermit>,
    ) -> Result<(), Gone> {
        let part = Part { bytes, _room: room };
        self.parts.send(part).map_err(|_| Gone)
    }
}

impl body::Body for Body {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<body::Frame<Bytes>, Cut>>> {
        let bytes = match &mut self.content {
            Content::Whole(bytes) => bytes.take().map(Ok),
            Content::Stream(parts) => ready!(parts.poll_recv(context)).map(|part| part.bytes),
        };
        Poll::Ready(bytes.map(|bytes| bytes.map(body::Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.content, Content::Whole(None))
    }

    fn size_hint(&self) -> body::SizeHint {
        match &self.content {
            Content::Whole(bytes) => {
                body::SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Content::Stream(_) => body::SizeHint::default(),
        }
    }
}

/// A body that says when the server is done with it.
#[derive(Debug)]
pub(super) struct Tracked {
    inner: Body,
    requests: Arc<gate::Requests>,
}

impl Tracked {
    pub(super) fn new(inner: Body, requests: Arc<gate::Requests>) -> Self {
        Self { inner, requests }
    }
}

impl Drop for Tracked {
    fn drop(&mut self) {
        self.requests.answer();
    }
}

impl body::Body for Tracked {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<body::Frame<Bytes>, Cut>>> {
        Pin::new(&mut self.inner).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> body::SizeHint {
        self.inner.size_hint()
    }
}

impl fmt::Display for Cut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the stream was ended before its end")
    }
}

impl std::error::Error for Cut {}
