//! Connection pool for backend servers.
//!
//! A server accepts a limited number of connections from all instances together, and each new one costs it time.
//! Therefore idle connections are kept, and closed before the server would close them. A connection that received
//! anything unexpected is closed (by hyper) and never reused: the bytes may belong to another request.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use fireflywheel::clock;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time;

use super::{head_limit, net};

/// How long a connection may take to open. Servers answer within a round trip; the rest allows for the retransmission
/// of a lost packet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long an idle connection is kept if its server doesn't state a keep-alive timeout. [`KEEP_ALIVE_MARGIN`] is not
/// subtracted from it.
const DEFAULT_IDLE_TIME: Duration = Duration::from_millis(1500);
/// The same for one with a place that another instance has lent and may need.
const MAX_PLACE_IDLE_TIME: Duration = Duration::from_millis(400);
/// An idle connection is closed this long before its server would close it, so that no request is sent while the
/// server closes the connection.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(1200);

/// The connections to all backend servers.
#[derive(Debug, Default)]
pub struct Pool {
    servers: Mutex<HashMap<SocketAddr, ServerConnections>>,
}

/// The connections to one server.
#[derive(Debug, Default)]
struct ServerConnections {
    /// The number of open connections, in use or idle.
    open_count: Arc<AtomicUsize>,
    idle: Vec<Idle>,
}

/// Counts a connection as open until it is dropped.
#[derive(Debug)]
pub struct OpenGuard(Arc<AtomicUsize>);

impl OpenGuard {
    /// Counts another connection.
    #[must_use]
    pub fn new(count: Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// What carries the bytes of a connection.
pub trait Carrier: AsyncRead + AsyncWrite + Send + Unpin + 'static {
    /// Becomes true once no further request may be sent, because an instance stops that carries the connection.
    fn stop_notice(&self) -> Arc<AtomicBool> {
        Arc::default()
    }

    /// Tells whoever has lent the connection that the server has rejected a request for want of room, and closes it.
    fn report_rejection(self) -> impl Future<Output = ()> + Send;
}

impl Carrier for TcpStream {
    async fn report_rejection(self) {}
}

/// Which connections a request may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Via {
    /// This instance's own, or a tunnel.
    Any,
    /// Only one with a place at a brittle server that another instance has lent.
    LentPlace,
    /// Only this instance's own. An engine must not receive orders of one steward from two instances.
    Direct,
}

/// How a connection gets to its server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Route {
    /// From this instance.
    Direct,
    /// Through another instance.
    Tunnel,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    expires: clock::Instant,
}

/// A connection that carries one request at a time. Dropping it closes it immediately, which ends the request.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    route: Route,
    opened: time::Instant,
    sender: http1::SendRequest<Full<Bytes>>,
    task: AbortHandle,
    /// What may arrive before the head of a response is complete.
    head: Arc<head_limit::Allowance>,
    /// Whether a place at a brittle server is lent with it.
    has_place: bool,
    /// Whether an instance stops that carries it.
    is_stopping: Arc<AtomicBool>,
    /// Reports to the lender that the server has rejected a request.
    rejection: Option<oneshot::Sender<()>>,
    _reservation: Arc<OpenGuard>,
    /// Counts the connection at its gateway, if it is a tunnel.
    _tunnel: Option<OpenGuard>,
}

impl Connection {
    /// Sends a request, and returns its response with the connection that carries it.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if there is no response.
    pub async fn send(
        mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Self), Error> {
        let host = HeaderValue::from_str(&self.address.to_string()).ok();
        if let (false, Some(host)) = (request.headers().contains_key(HOST), host) {
            request.headers_mut().insert(HOST, host);
        }
        self.head.begin();
        let response = self.sender.send_request(request).await;
        self.head.end();
        let response = response.map_err(|error| classify_error(&error))?;
        Ok((response, self))
    }

    /// The time since it was opened.
    #[must_use]
    pub fn age(&self) -> Duration {
        self.opened.elapsed()
    }

    /// Whether another request can be sent.
    fn is_usable(&self) -> bool {
        !self.sender.is_closed() && !self.is_stopping.load(Ordering::Acquire)
    }

    /// Closes the connection immediately.
    pub fn close(&self) {
        self.task.abort();
    }

    /// Closes the connection, and tells whoever has lent it that the server has rejected a request for want of room.
    pub fn close_rejected(mut self) {
        if let Some(rejection) = self.rejection.take() {
            // The connection may have ended.
            let _ = rejection.send(());
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        // Its task ends by itself once it has reported the rejection.
        if self.rejection.is_some() {
            self.task.abort();
        }
    }
}

/// Why a request received no response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Error {
    /// No connection could be opened: it was refused, timed out, or failed otherwise.
    Unreachable,
    /// This instance's share of the server's connections is in use.
    NoConnectionFree,
    /// The server has announced meanwhile that it wants nothing more.
    Withheld,
    /// The connection ended before any byte of the request was written.
    Unsent,
    /// The connection ended later, or the response was invalid: the request may have arrived.
    Lost,
}

impl Error {
    /// Returns the name of the error in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::NoConnectionFree => "no connection free",
            Self::Withheld => "withheld from the server",
            Self::Unsent => "connection ended unused",
            Self::Lost => "connection ended",
        }
    }
}

impl Pool {
    /// Returns a connection to the pool after its response was read to the end. `keep_alive` is how long the server
    /// keeps it open while idle.
    pub fn release(
        &self,
        now: clock::Instant,
        connection: Connection,
        keep_alive: Option<Duration>,
    ) {
        let most = match connection.has_place {
            true => MAX_PLACE_IDLE_TIME,
            false => Duration::MAX,
        };
        let kept_for = keep_alive.map_or(DEFAULT_IDLE_TIME, |stated| {
            stated.saturating_sub(KEEP_ALIVE_MARGIN)
        });
        let kept_for = kept_for.min(most);
        if kept_for.is_zero() || !connection.is_usable() {
            return;
        }
        let expires = now.after(kept_for);
        let mut servers = self.servers.lock().expect("the lock is not poisoned");
        let server = servers.entry(connection.address).or_default();
        server.idle.push(Idle {
            connection,
            expires,
        });
    }

    /// Closes expired idle connections.
    pub fn sweep(&self, now: clock::Instant) {
        let mut servers = self.servers.lock().expect("the lock is not poisoned");
        servers.retain(|_, server| {
            server
                .idle
                .retain(|idle| now < idle.expires && idle.connection.is_usable());
            !server.idle.is_empty() || server.open_count.load(Ordering::Relaxed) > 0
        });
    }

    /// Closes the idle connections to a server over one route.
    pub fn close_idle(&self, address: SocketAddr, route: Route) {
        let mut servers = self.servers.lock().expect("the lock is not poisoned");
        if let Some(server) = servers.get_mut(&address) {
            server.idle.retain(|idle| idle.connection.route != route);
        }
    }

    /// Takes an idle connection that is ready for a request.
    pub fn take_idle(
        &self,
        now: clock::Instant,
        address: SocketAddr,
        via: Via,
    ) -> Option<Connection> {
        let mut servers = self.servers.lock().expect("the lock is not poisoned");
        let server = servers.get_mut(&address)?;
        server
            .idle
            .retain(|idle| now < idle.expires && idle.connection.is_usable());
        // The most recently used connection is the least likely to be closed by its server at this moment.
        let ready = server.idle.iter().rposition(|idle| {
            let connection = &idle.connection;
            let is_allowed = match via {
                Via::Any => !connection.has_place,
                Via::LentPlace => connection.has_place,
                Via::Direct => connection.route == Route::Direct,
            };
            is_allowed && connection.sender.is_ready()
        })?;
        Some(server.idle.remove(ready).connection)
    }

    /// Reserves one of at most `limit` connections to a server. Nothing is awaited between the check of the count and
    /// its increase, so concurrent calls on a single-threaded runtime can't exceed the limit; only calls on several threads
    /// can.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NoConnectionFree`] if there is none.
    pub fn reserve(&self, address: SocketAddr, limit: usize) -> Result<Arc<OpenGuard>, Error> {
        let open_count = self.open_count(address);
        if open_count.load(Ordering::Relaxed) >= limit {
            return Err(Error::NoConnectionFree);
        }
        Ok(Arc::new(OpenGuard::new(open_count)))
    }

    fn open_count(&self, address: SocketAddr) -> Arc<AtomicUsize> {
        let mut servers = self.servers.lock().expect("the lock is not poisoned");
        Arc::clone(&servers.entry(address).or_default().open_count)
    }
}

/// Opens a TCP connection to a server. Dropping the future closes it.
///
/// # Errors
///
/// Returns [`Error::Unreachable`] if it doesn't open.
pub async fn dial<N>(network: &N, address: SocketAddr) -> Result<TcpStream, Error>
where
    N: net::Network,
{
    let stream = try_dial(network, address).await;
    stream.map_err(|_| Error::Unreachable)
}

/// Opens a TCP connection to a server. Dropping the future closes it.
///
/// # Errors
///
/// Returns why it doesn't open.
pub async fn try_dial<N>(network: &N, address: SocketAddr) -> io::Result<TcpStream>
where
    N: net::Network,
{
    let stream = time::timeout(CONNECT_TIMEOUT, network.connect(address)).await??;
    net::configure(&stream);
    Ok(stream)
}

impl Connection {
    /// Uses a TCP connection for requests.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if it has ended.
    pub async fn direct(
        stream: TcpStream,
        address: SocketAddr,
        reservation: Arc<OpenGuard>,
    ) -> Result<Self, Error> {
        Self::start(stream, address, Route::Direct, reservation, None).await
    }

    /// Uses a connection through another instance for requests. `guard` counts it at that gateway. With `has_place`, a place
    /// at a brittle server is lent with it.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if it has ended.
    pub async fn tunnel<T>(
        tunnel: T,
        address: SocketAddr,
        reservation: Arc<OpenGuard>,
        guard: OpenGuard,
        has_place: bool,
    ) -> Result<Self, Error>
    where
        T: Carrier,
    {
        let route = Route::Tunnel;
        let mut connection = Self::start(tunnel, address, route, reservation, Some(guard)).await?;
        connection.has_place = has_place;
        Ok(connection)
    }

    async fn start<T>(
        stream: T,
        address: SocketAddr,
        route: Route,
        reservation: Arc<OpenGuard>,
        tunnel: Option<OpenGuard>,
    ) -> Result<Self, Error>
    where
        T: Carrier,
    {
        let is_stopping = stream.stop_notice();
        let head = Arc::new(head_limit::Allowance::default());
        let stream = head_limit::Stream::new(stream, Arc::clone(&head));
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, mut connection) = handshake.map_err(|_| Error::Unreachable)?;
        let (rejection, is_rejected) = oneshot::channel();
        let task = tokio::spawn(async move {
            let is_rejected = async {
                if is_rejected.await.is_err() {
                    std::future::pending::<()>().await;
                }
            };
            tokio::select! {
                // The connection ends as it is dropped, which must not hide the rejection.
                biased;
                () = is_rejected => {}
                // The sender of the request receives the connection's error.
                _ = &mut connection => return,
            }
            connection
                .into_parts()
                .io
                .into_inner()
                .into_inner()
                .report_rejection()
                .await;
        });
        Ok(Self {
            address,
            route,
            opened: time::Instant::now(),
            sender,
            task: task.abort_handle(),
            head,
            has_place: false,
            is_stopping,
            rejection: Some(rejection),
            _reservation: reservation,
            _tunnel: tunnel,
        })
    }
}

fn classify_error(error: &hyper::Error) -> Error {
    // hyper reports a request as canceled if the connection ended before the request was written.
    if error.is_canceled() {
        Error::Unsent
    } else {
        Error::Lost
    }
}
