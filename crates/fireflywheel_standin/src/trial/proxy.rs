//! A link on loopback that can go wrong.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time;

/// Bytes that are forwarded at once.
const CHUNK: usize = 16 << 10;

/// Whether bytes get through in one direction.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Flow {
    /// They do.
    #[default]
    Open,
    /// They wait.
    Held,
}

/// How a link behaves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Link {
    /// Where it leads; connections are closed at once while it leads nowhere.
    pub target: Option<SocketAddr>,
    /// How much later each chunk arrives.
    pub delay: Duration,
    /// From who connects.
    pub up: Flow,
    /// To who connects.
    pub down: Flow,
    resets: u64,
    silences: u64,
}

/// A forwarder on a port that the system gave.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    link: watch::Sender<Link>,
    _task: JoinSet<()>,
}

impl Proxy {
    /// A link that leads nowhere yet.
    ///
    /// # Errors
    /// When there is no free port.
    pub async fn new() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let link = watch::Sender::new(Link::default());
        let mut task = JoinSet::new();
        task.spawn(serve(listener, link.subscribe()));
        Ok(Self {
            address,
            link,
            _task: task,
        })
    }

    /// Where to connect.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes how it behaves.
    pub fn change<F>(&self, change: F)
    where
        F: FnOnce(&mut Link),
    {
        self.link.send_modify(change);
    }

    /// Resets all open connections.
    pub fn reset(&self) {
        self.link.send_modify(|link| link.resets += 1);
    }

    /// Open connections say nothing more, for good; new ones work.
    pub fn silence(&self) {
        self.link.send_modify(|link| link.silences += 1);
    }

    /// Ends all troubles but for connections that were silenced.
    pub fn heal(&self) {
        self.link.send_modify(|link| {
            link.delay = Duration::ZERO;
            link.up = Flow::Open;
            link.down = Flow::Open;
        });
    }
}

async fn serve(listener: TcpListener, link: watch::Receiver<Link>) {
    let mut connections = JoinSet::new();
    while let Ok((socket, _)) = listener.accept().await {
        connections.spawn(forward(socket, link.clone()));
        while connections.try_join_next().is_some() {}
    }
}

async fn forward(near: TcpStream, mut link: watch::Receiver<Link>) {
    let born = *link.borrow();
    let Some(target) = born.target else {
        return;
    };
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    // Without it small parts of a stream would wait for an acknowledgement.
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let up = pump(near_read, far_write, link.clone(), born, |link| link.up);
    let down = pump(far_read, near_write, link.clone(), born, |link| link.down);
    tokio::select! {
        // Halves that end in order are closed in order.
        _ = async { tokio::join!(up, down) } => {}
        _ = link.wait_for(|link| link.resets != born.resets) => {}
    }
}

/// Forwards one direction to its end; an error closes both.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut link: watch::Receiver<Link>,
    born: Link,
    flow: fn(&Link) -> Flow,
) -> io::Result<()> {
    let mut chunk = vec![0; CHUNK];
    loop {
        let read = from.read(&mut chunk).await;
        let delay = link.borrow().delay;
        time::sleep(delay).await;
        let open = link.wait_for(|link| flow(link) == Flow::Open && link.silences == born.silences);
        if open.await.is_err() {
            return Ok(());
        }
        match read {
            Ok(0) => return to.shutdown().await,
            Ok(count) => to.write_all(&chunk[..count]).await?,
            Err(error) => {
                to.shutdown().await?;
                return Err(error);
            }
        }
    }
}
