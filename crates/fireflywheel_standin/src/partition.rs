//! The network between one instance and the backend servers, which can be partitioned.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::trial::proxy::{Flow, Proxy};

/// What happens to new connections behind a partition.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum New {
    /// They don't open until the partition ends.
    Hang,
    /// They are refused.
    Refuse,
    /// They are reset.
    Reset,
}

/// What happens to open connections behind a partition.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Open {
    /// They forward nothing until the partition ends.
    Hang,
    /// They are reset.
    Reset,
    /// They go on.
    LiveOn,
}

/// A partition.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Fault {
    /// What happens to new connections.
    pub new: New,
    /// What happens to open connections.
    pub open: Open,
}

/// A cloneable handle to the network of one instance.
#[derive(Clone, Debug, Default)]
pub struct Network {
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    /// The link to each server that the instance has connected to.
    links: Mutex<BTreeMap<SocketAddr, Arc<Proxy>>>,
    /// The partition from each server; that at `None` is from all servers.
    faults: watch::Sender<BTreeMap<Option<SocketAddr>, Fault>>,
}

impl Network {
    /// Partitions the instance from all servers.
    pub fn cut(&self, fault: Fault) {
        self.cut_links(None, fault);
    }

    /// Partitions the instance from one server.
    pub fn cut_from(&self, server: SocketAddr, fault: Fault) {
        self.cut_links(Some(server), fault);
    }

    /// Ends all partitions.
    pub fn heal(&self) {
        self.inner.faults.send_modify(BTreeMap::clear);
        for link in self.links().values() {
            link.heal();
        }
    }

    /// Ends the partition from one server.
    pub fn heal_from(&self, server: SocketAddr) {
        self.inner.faults.send_modify(|faults| {
            faults.remove(&Some(server));
        });
        if let Some(link) = self.links().get(&server) {
            link.heal();
        }
    }

    /// Opens a connection to a server.
    ///
    /// # Errors
    ///
    /// Returns an error if the partition refuses or resets the connection, or if the server does.
    pub async fn connect(&self, server: SocketAddr) -> io::Result<TcpStream> {
        self.wait_for_path(server).await?;
        // The link accepts connections whether or not the server does.
        TcpStream::connect(server).await?;
        self.open(server).await
    }

    /// Opens a connection to a server that expects a single one. If the server refuses it, it opens and ends at once.
    ///
    /// # Errors
    ///
    /// Returns an error if the partition refuses or resets the connection.
    pub async fn connect_once(&self, server: SocketAddr) -> io::Result<TcpStream> {
        self.wait_for_path(server).await?;
        self.open(server).await
    }

    async fn wait_for_path(&self, server: SocketAddr) -> io::Result<()> {
        let mut faults = self.inner.faults.subscribe();
        loop {
            let fault = fault_of(&faults.borrow_and_update(), server);
            match fault.map(|fault| fault.new) {
                None => return Ok(()),
                Some(New::Refuse) => return Err(io::ErrorKind::ConnectionRefused.into()),
                Some(New::Reset) => return Err(io::ErrorKind::ConnectionReset.into()),
                // The sender lives as long as `self`.
                Some(New::Hang) => faults.changed().await.expect("the sender exists"),
            }
        }
    }

    async fn open(&self, server: SocketAddr) -> io::Result<TcpStream> {
        let known = self.links().get(&server).map(|link| link.address());
        let address = match known {
            Some(address) => address,
            None => self.add_link(server).await?,
        };
        TcpStream::connect(address).await
    }

    async fn add_link(&self, server: SocketAddr) -> io::Result<SocketAddr> {
        let link = Proxy::new().await?;
        link.change(|link| link.target = Some(server));
        let mut links = self.links();
        let link = links.entry(server).or_insert_with(|| Arc::new(link));
        Ok(link.address())
    }

    fn cut_links(&self, server: Option<SocketAddr>, fault: Fault) {
        let faults = &self.inner.faults;
        faults.send_modify(|faults| {
            faults.insert(server, fault);
        });
        for (address, link) in self.links().iter() {
            if server.is_some_and(|server| server != *address) {
                continue;
            }
            match fault.open {
                Open::Hang => link.change(|link| {
                    link.upstream = Flow::Held;
                    link.downstream = Flow::Held;
                }),
                Open::Reset => link.reset(),
                Open::LiveOn => {}
            }
        }
    }

    fn links(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Arc<Proxy>>> {
        self.inner.links.lock().expect("no panic under the lock")
    }
}

fn fault_of(faults: &BTreeMap<Option<SocketAddr>, Fault>, server: SocketAddr) -> Option<Fault> {
    faults.get(&Some(server)).or(faults.get(&None)).copied()
}
