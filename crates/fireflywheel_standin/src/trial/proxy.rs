//! A TCP proxy on loopback that injects link faults.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time;

use crate::http;

/// Largest chunk that is forwarded at once, in bytes.
const MAX_CHUNK_BYTES: usize = 16 << 10;

/// Interval between attempts to bind an address that is still in use.
const BIND_INTERVAL: Duration = Duration::from_millis(1);
/// Number of connections that wait to be accepted.
pub const BACKLOG: u32 = 1024;

/// Whether a link forwards bytes in one direction.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Flow {
    /// Bytes are forwarded.
    #[default]
    Open,
    /// Bytes are held back until the direction is open again.
    Held,
}

/// The state of a link.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Link {
    /// Address that connections are forwarded to. Without one, new connections are closed at once.
    pub target: Option<SocketAddr>,
    /// Delay of each chunk.
    pub delay: Duration,
    /// Flow from the connecting side to the target.
    pub upstream: Flow,
    /// Flow from the target to the connecting side.
    pub downstream: Flow,
    /// Whether connections are refused from when the target is found to refuse them until [`Link::refuses`] is reset.
    pub mirrors_refusals: bool,
    /// Whether connections are refused.
    pub refuses: bool,
    reset_count: u64,
    silence_count: u64,
}

/// A proxy on a port that the system chooses.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    link: watch::Sender<Link>,
    _task: JoinSet<()>,
}

impl Proxy {
    /// Starts a proxy without a target.
    ///
    /// # Errors
    /// When no port is free.
    pub async fn new() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let link = watch::Sender::new(Link::default());
        let mut task = JoinSet::new();
        task.spawn(serve(listener, address, link.clone()));
        Ok(Self {
            address,
            link,
            _task: task,
        })
    }

    /// The address that the proxy listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the state of the link.
    pub fn change<F>(&self, change: F)
    where
        F: FnOnce(&mut Link),
    {
        self.link.send_modify(change);
    }

    /// Resets all open connections.
    pub fn reset(&self) {
        self.link.send_modify(|link| link.reset_count += 1);
    }

    /// Stops forwarding on all open connections for the rest of their life. New connections work.
    pub fn silence(&self) {
        self.link.send_modify(|link| link.silence_count += 1);
    }

    /// Ends all faults. Connections that were silenced stay silent.
    pub fn heal(&self) {
        self.link.send_modify(|link| {
            link.delay = Duration::ZERO;
            link.upstream = Flow::Open;
            link.downstream = Flow::Open;
        });
    }
}

async fn serve(mut listener: TcpListener, address: SocketAddr, link: watch::Sender<Link>) {
    let mut changes = link.subscribe();
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => Some(accepted),
            _ = changes.wait_for(|link| link.refuses) => None,
        };
        match accepted {
            Some(Ok((socket, _))) => {
                connections.spawn(forward(socket, link.clone()));
                while connections.try_join_next().is_some() {}
            }
            Some(Err(_)) => return,
            None => {
                drop(listener);
                let socket = bind_again(address).await;
                // The sender lives as long as this task.
                let _ = changes.wait_for(|link| !link.refuses).await;
                let Ok(again) = socket.listen(BACKLOG) else {
                    return;
                };
                listener = again;
            }
        }
    }
}

/// Binds the address of a listener that was closed. Until the socket listens, connections are refused and no other process
/// gets its port.
pub async fn bind_again(address: SocketAddr) -> TcpSocket {
    loop {
        if let Ok(socket) = bind_socket(address) {
            return socket;
        }
        time::sleep(BIND_INTERVAL).await;
    }
}

/// Binds a socket to an address that connections of an earlier listener may still use.
///
/// # Errors
/// When the address is in use.
pub fn bind_socket(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

async fn forward(client: TcpStream, link: watch::Sender<Link>) {
    let initial = *link.borrow();
    let Some(target) = initial.target else {
        return;
    };
    forward_to(target, client, link.subscribe(), initial).await;
    if !initial.mirrors_refusals {
        return;
    }
    let reached = TcpStream::connect(target).await;
    if reached.is_err_and(|error| error.kind() == io::ErrorKind::ConnectionRefused) {
        link.send_if_modified(|link| {
            link.refuses |= link.target == Some(target);
            link.refuses
        });
    }
}

async fn forward_to(
    target: SocketAddr,
    mut client: TcpStream,
    mut link: watch::Receiver<Link>,
    initial: Link,
) {
    let Ok(mut server) = TcpStream::connect(target).await else {
        return;
    };
    // With Nagle's algorithm, small parts of a stream would wait for an acknowledgement.
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_read, client_write) = client.split();
    let (server_read, server_write) = server.split();
    let [client_failed, server_failed] = [AtomicBool::new(false), AtomicBool::new(false)];
    let upstream = Direction {
        link: link.clone(),
        initial,
        flow: |link| link.upstream,
        source_failed: &client_failed,
        target_failed: &server_failed,
    };
    let downstream = Direction {
        link: link.clone(),
        initial,
        flow: |link| link.downstream,
        source_failed: &server_failed,
        target_failed: &client_failed,
    };
    let upstream = upstream.copy(client_read, server_write);
    let downstream = downstream.copy(server_read, client_write);
    let ended = tokio::select! {
        // Each direction that ends in order is shut down on its own.
        ended = async { tokio::try_join!(upstream, downstream) } => ended.ok(),
        _ = link.wait_for(|link| link.reset_count != initial.reset_count) => None,
    };
    if ended.is_none() {
        http::reset(&client);
        http::reset(&server);
    }
}

/// One direction of a connection.
struct Direction<'a> {
    link: watch::Receiver<Link>,
    initial: Link,
    flow: fn(&Link) -> Flow,
    /// Whether a write of the other direction to this one's source has failed.
    source_failed: &'a AtomicBool,
    /// Whether a write to the target has failed.
    target_failed: &'a AtomicBool,
}

impl Direction<'_> {
    /// Forwards it to its end, and returns an error if the connection that it reads from fails. A failure of the other
    /// connection is left to the other direction, which has read all of it by then.
    async fn copy<R, W>(mut self, mut from: R, mut to: W) -> io::Result<()>
    where
        R: AsyncRead + Unpin,
        W: AsyncWrite + Unpin,
    {
        let mut chunk = vec![0; MAX_CHUNK_BYTES];
        let silence_count = self.initial.silence_count;
        loop {
            let read = from.read(&mut chunk).await;
            let delay = self.link.borrow().delay;
            time::sleep(delay).await;
            let open = self.link.wait_for(|link| {
                (self.flow)(link) == Flow::Open && link.silence_count == silence_count
            });
            if open.await.is_err() {
                return Ok(());
            }
            let written = match read? {
                // The operating system reports a reset once, and the failed write has taken it.
                0 if self.source_failed.load(Ordering::Relaxed) => {
                    return Err(io::ErrorKind::ConnectionReset.into());
                }
                0 => {
                    // The other side may have ended already.
                    let _ = to.shutdown().await;
                    return Ok(());
                }
                count => to.write_all(&chunk[..count]).await,
            };
            if written.is_err() {
                self.target_failed.store(true, Ordering::Relaxed);
                return Ok(());
            }
        }
    }
}
