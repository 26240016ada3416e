//! Bounds what a backend server may send before the head of its response is complete.
//!
//! The HTTP library bounds a single head, but skips any number of interim responses before it. A faulty server could
//! send them without end, until the request's deadline, and occupy a small instance's processor.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Maximum number of bytes before the head of a response is complete. It is several times the size of a head with all headers
/// that servers send.
const MAX_HEAD_BYTES: usize = 128 << 10;

/// The number of bytes that may still arrive before the head of a response is complete.
#[derive(Debug)]
pub struct Allowance(AtomicUsize);

impl Allowance {
    /// Begins to wait for a head.
    pub fn begin(&self) {
        self.0.store(MAX_HEAD_BYTES, Ordering::Release);
    }

    /// Ends the bound once the head is complete. The body has bounds of its own.
    pub fn end(&self) {
        self.0.store(usize::MAX, Ordering::Release);
    }
}

impl Default for Allowance {
    fn default() -> Self {
        Self(AtomicUsize::new(MAX_HEAD_BYTES))
    }
}

/// A connection that fails once its allowance is used up.
#[derive(Debug)]
pub struct Stream<T> {
    inner: T,
    allowance: Arc<Allowance>,
}

impl<T> Stream<T> {
    /// Wraps a connection.
    pub fn new(inner: T, allowance: Arc<Allowance>) -> Self {
        Self { inner, allowance }
    }

    /// The connection without its bound.
    pub fn into_inner(self) -> T {
        self.inner
    }
}

impl<T> AsyncRead for Stream<T>
where
    T: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(context, buffer))?;
        let count = buffer.filled().len() - before;
        let left = self.allowance.0.load(Ordering::Acquire);
        if left == usize::MAX {
            return Poll::Ready(Ok(()));
        }
        // A part of the body may come with the head, in one read.
        if left == 0 && count > 0 {
            let error = io::Error::new(io::ErrorKind::InvalidData, "the response has no head");
            return Poll::Ready(Err(error));
        }
        self.allowance
            .0
            .store(left.saturating_sub(count), Ordering::Release);
        Poll::Ready(Ok(()))
    }
}

impl<T> AsyncWrite for Stream<T>
where
    T: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(context, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
