//! Connections to backend servers.
//!
//! A server takes a limited number from all instances together, and each new one costs it time. So they are
//! kept, and closed before the server would close them. A connection on which anything unexpected came is
//! never used again: the bytes may belong to another request.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
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
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time;

/// How long a connection may take to open. Servers answer within a round trip; the rest is for a lost packet.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);
/// How long an unused connection is kept when its server doesn't say.
const KEEP: Duration = Duration::from_millis(1500);
/// A connection is given up this much before its server would close it, so that no request crosses the end.
const KEEP_MARGIN: Duration = Duration::from_millis(1200);

/// All connections to backend servers.
#[derive(Debug, Default)]
pub struct Pool {
    places: Mutex<HashMap<SocketAddr, Place>>,
}

#[derive(Debug, Default)]
struct Place {
    open: Arc<AtomicUsize>,
    idle: Vec<Idle>,
}

/// Counts a connection as long as it lives.
#[derive(Debug)]
struct Open(Arc<AtomicUsize>);

impl Open {
    fn new(count: Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: clock::Instant,
}

/// A connection with at most one request on it. Dropped, it is closed at once, which ends the request.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    sender: http1::SendRequest<Full<Bytes>>,
    task: AbortHandle,
    _open: Open,
}

impl Connection {
    /// Closes it now.
    pub fn close(&self) {
        self.task.abort();
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Why a request has no response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// No connection could be opened.
    Unreachable,
    /// This instance's part of the server's connections is in use.
    Full,
    /// The connection ended before any byte of the request was written.
    Unsent,
    /// It may have arrived.
    Lost,
}

impl Fault {
    /// What happened, for logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Full => "no connection free",
            Self::Unsent => "connection ended unused",
            Self::Lost => "connection ended",
        }
    }
}

impl Pool {
    /// Sends a request on a kept connection or a new one, of `limit` at most to that server. Dropping the
    /// future closes the connection.
    ///
    /// # Errors
    ///
    /// [`Fault`] when there is no response.
    pub async fn send(
        &self,
        now: clock::Instant,
        address: SocketAddr,
        limit: usize,
        mut request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Connection), Fault> {
        let host = HeaderValue::from_str(&address.to_string()).ok();
        if let (false, Some(host)) = (request.headers().contains_key(HOST), host) {
            request.headers_mut().insert(HOST, host);
        }
        let mut connection = match self.kept(now, address) {
            Some(connection) => connection,
            None => self.open(address, limit).await?,
        };
        let response = connection.sender.send_request(request).await;
        let response = response.map_err(|error| fault_of(&error))?;
        Ok((response, connection))
    }

    /// Takes back a connection whose response was read to its end.
    pub fn keep(&self, now: clock::Instant, connection: Connection, allowed: Option<Duration>) {
        let keep = allowed.map_or(KEEP, |allowed| allowed.saturating_sub(KEEP_MARGIN));
        if keep.is_zero() || connection.sender.is_closed() {
            return;
        }
        let until = now.after(keep);
        let mut places = self.places.lock().expect("no panic while it was held");
        let place = places.entry(connection.address).or_default();
        place.idle.push(Idle { connection, until });
    }

    /// Closes what has been unused for too long.
    pub fn sweep(&self, now: clock::Instant) {
        let mut places = self.places.lock().expect("no panic while it was held");
        places.retain(|_, place| {
            place
                .idle
                .retain(|idle| now < idle.until && !idle.connection.sender.is_closed());
            !place.idle.is_empty() || place.open.load(Ordering::Relaxed) > 0
        });
    }

    fn kept(&self, now: clock::Instant, address: SocketAddr) -> Option<Connection> {
        let mut places = self.places.lock().expect("no panic while it was held");
        let place = places.get_mut(&address)?;
        place
            .idle
            .retain(|idle| now < idle.until && !idle.connection.sender.is_closed());
        // The one used last is the least likely to be closed by its server at this moment.
        let ready = place
            .idle
            .iter()
            .rposition(|idle| idle.connection.sender.is_ready())?;
        Some(place.idle.remove(ready).connection)
    }

    async fn open(&self, address: SocketAddr, limit: usize) -> Result<Connection, Fault> {
        let open = self.count(address);
        if open.load(Ordering::Relaxed) >= limit {
            return Err(Fault::Full);
        }
        let open = Open::new(open);
        let stream = time::timeout(CONNECT_LIMIT, TcpStream::connect(address)).await;
        let Ok(Ok(stream)) = stream else {
            return Err(Fault::Unreachable);
        };
        // A request's last bytes must not wait for an acknowledgement.
        let _ = stream.set_nodelay(true);
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|_| Fault::Unreachable)?;
        let task = tokio::spawn(async move {
            // Its end is seen by whoever waits for the response.
            let _ = connection.await;
        });
        Ok(Connection {
            address,
            sender,
            task: task.abort_handle(),
            _open: open,
        })
    }

    fn count(&self, address: SocketAddr) -> Arc<AtomicUsize> {
        let mut places = self.places.lock().expect("no panic while it was held");
        Arc::clone(&places.entry(address).or_default().open)
    }
}

fn fault_of(error: &hyper::Error) -> Fault {
    // The library gives a request back as canceled when the connection ended before it was written.
    if error.is_canceled() {
        Fault::Unsent
    } else {
        Fault::Lost
    }
}
