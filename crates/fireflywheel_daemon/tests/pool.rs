//! Tests of connections to backend servers.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use fireflywheel_daemon::fleet::pool::{Carrier, Connection, OpenGuard};
use tokio::io::{AsyncRead, AsyncWrite, DuplexStream, ReadBuf};
use tokio::sync::mpsc;
use tokio::time;

const ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1);
const BUFFER_BYTES: usize = 1024;
const TIMEOUT: Duration = Duration::from_secs(10);
/// The number of connections; what ends first may differ from one to the next.
const CONNECTIONS: usize = 50;

/// A connection that another instance has lent, which records rejections.
struct Lent {
    stream: DuplexStream,
    rejections: mpsc::UnboundedSender<()>,
}

impl Carrier for Lent {
    async fn report_rejection(self) {
        self.rejections.send(()).expect("the test still runs");
    }
}

impl AsyncRead for Lent {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for Lent {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// Guards against a lender that doesn't learn of a rejection, and lends the place again.
#[tokio::test]
async fn rejection_is_reported_to_the_lender() {
    let (sender, mut rejections) = mpsc::unbounded_channel();
    for number in 0..CONNECTIONS {
        let (stream, _server) = tokio::io::duplex(BUFFER_BYTES);
        let lent = Lent {
            stream,
            rejections: sender.clone(),
        };
        let count = Arc::new(AtomicUsize::new(0));
        let reservation = Arc::new(OpenGuard::new(Arc::clone(&count)));
        let guard = OpenGuard::new(Arc::clone(&count));
        let connection = Connection::tunnel(lent, ADDRESS, reservation, guard, true);
        let connection = connection.await.expect("it is open");
        tokio::task::yield_now().await;
        connection.close_rejected();
        let reported = time::timeout(TIMEOUT, rejections.recv()).await;
        assert_eq!(reported, Ok(Some(())), "connection {number}");
        assert_eq!(count.load(Ordering::Relaxed), 0);
    }
}
