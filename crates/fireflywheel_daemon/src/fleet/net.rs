//! Opens TCP connections to backend servers and other instances, and sets the socket options that end a connection whose peer is gone.

use std::fmt::Debug;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use rustix::net::sockopt;
use tokio::net::TcpStream;

/// How long a connection may be idle until the first keep-alive probe, and the interval between two probes.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// How long data or probes may stay unacknowledged before the connection ends. On Linux this also decides when
/// keep-alive probes give up. It outlasts a server that pauses for a second.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2500);

/// Opens connections to backend servers and to other instances.
pub trait Network: Debug + Send + Sync + 'static {
    /// Opens a connection to a server.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the connection can't be opened.
    fn connect(
        &self,
        server: SocketAddr,
    ) -> impl Future<Output = io::Result<TcpStream>> + Send + '_;

    /// Opens a connection to another instance.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the connection can't be opened.
    fn connect_peer(
        &self,
        peer: SocketAddr,
    ) -> impl Future<Output = io::Result<TcpStream>> + Send + '_ {
        TcpStream::connect(peer)
    }
}

/// The network of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tcp;

impl Network for Tcp {
    async fn connect(&self, server: SocketAddr) -> io::Result<TcpStream> {
        TcpStream::connect(server).await
    }
}

/// Sets the options of a socket between instances or to a backend server: small writes are sent at once, and the
/// connection ends if the peer acknowledges nothing.
pub fn configure(stream: &TcpStream) {
    let configured = stream
        .set_nodelay(true)
        .and_then(|()| set_timeouts(stream).map_err(io::Error::from));
    if let Err(error) = configured {
        log::debug!(why = error.to_string().as_str(); "socket options were not set");
    }
}

fn set_timeouts(stream: &TcpStream) -> rustix::io::Result<()> {
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, KEEP_ALIVE_INTERVAL)?;
    sockopt::set_tcp_keepintvl(stream, KEEP_ALIVE_INTERVAL)?;
    let timeout = u32::try_from(UNACKNOWLEDGED_TIMEOUT.as_millis()).unwrap_or(u32::MAX);
    sockopt::set_tcp_user_timeout(stream, timeout)
}
