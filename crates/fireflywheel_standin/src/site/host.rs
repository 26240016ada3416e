//! An address at which workers run one after another: each one that crashes is replaced after a while.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use smol_str::format_smolstr;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time;

use super::store::{SERVERS, Store};
use super::worker::{Options, Worker};
use crate::partition;
use crate::trial::proxy;

/// A connection that isn't open after this time finds the queue of the listener full.
const QUEUE_TIMEOUT: Duration = Duration::from_millis(5);

/// Settings of a host.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name; the ids of its workers begin with it.
    pub name: &'static str,
    /// Service of its workers.
    pub service: &'static str,
    /// Model that its first worker holds, and that all have on disk.
    pub model: &'static str,
    /// Time from a crash to the start of the next worker.
    pub downtime: Duration,
    /// How the address answers connections meanwhile.
    pub outage: Outage,
    /// Settings of its workers.
    pub worker: Options,
}

/// How the address of a crashed worker answers connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Outage {
    /// New ones are refused, and open ones end.
    #[default]
    Refuses,
    /// New ones get no answer, and open ones end.
    IsSilent,
    /// The host loses power: neither new nor open ones get an answer, at the networks of [`Host::set_networks`].
    LosesPower,
}

/// A cloneable handle to a host.
#[derive(Clone, Debug)]
pub struct Host {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    settings: Settings,
    address: SocketAddr,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// All workers, the current one last.
    workers: Vec<Worker>,
    crashes: Vec<time::Instant>,
    /// Those of the crashes that a request has caused.
    triggered: Vec<time::Instant>,
    networks: Vec<partition::Network>,
}

impl Host {
    /// Creates a host and its first worker at a port that the operating system assigns.
    ///
    /// # Errors
    /// If no port is free.
    pub fn bind(settings: Settings) -> anyhow::Result<(Self, TcpListener)> {
        let socket = proxy::bind_socket(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        let address = socket.local_addr()?;
        let worker = new_worker(&settings, 0).with_model(settings.model);
        let state = State {
            workers: vec![worker],
            ..State::default()
        };
        let inner = Inner {
            settings,
            address,
            state: Mutex::new(state),
        };
        let host = Self {
            inner: Arc::new(inner),
        };
        Ok((host, socket.listen(proxy::BACKLOG)?))
    }

    /// Serves until the future is dropped, and keeps the entry of the current worker in the store.
    ///
    /// # Errors
    /// If the listener fails.
    pub async fn serve(self, mut listener: TcpListener, store: Store) -> anyhow::Result<()> {
        loop {
            let worker = self.worker();
            let entry = worker.entry(self.inner.address, "ready");
            store.put(SERVERS, worker.id(), &entry);
            let mut served = Box::pin(worker.clone().serve(listener));
            tokio::select! {
                result = &mut served => return result,
                () = worker.crashed() => {}
            }
            if self.inner.settings.outage == Outage::LosesPower {
                self.cut_networks();
            }
            drop(served);
            // A bound socket that doesn't listen refuses connections, and no other process gets its port.
            let socket = proxy::bind_again(self.inner.address).await;
            self.record_crash(&worker);
            listener = match self.inner.settings.outage {
                Outage::IsSilent => self.be_silent(socket).await?,
                Outage::Refuses | Outage::LosesPower => {
                    time::sleep(self.inner.settings.downtime).await;
                    socket.listen(proxy::BACKLOG)?
                }
            };
            for network in &self.lock().networks {
                network.heal_from(self.inner.address);
            }
            store.remove(SERVERS, worker.id());
            let mut state = self.lock();
            let next = new_worker(&self.inner.settings, state.workers.len());
            state.workers.push(next);
        }
    }

    /// Sets the networks at which the host falls silent when it loses power.
    pub fn set_networks(&self, networks: Vec<partition::Network>) {
        self.lock().networks = networks;
    }

    fn cut_networks(&self) {
        for network in &self.lock().networks {
            network.cut_from(
                self.inner.address,
                partition::Fault {
                    new: partition::New::Hang,
                    open: partition::Open::Hang,
                },
            );
        }
    }

    /// Leaves new connections without an answer until the next worker starts: the queue of its listener is full.
    async fn be_silent(&self, socket: TcpSocket) -> anyhow::Result<TcpListener> {
        let until = time::Instant::now() + self.inner.settings.downtime;
        let full = socket.listen(1)?;
        let mut queued = Vec::new();
        while let Ok(connected) =
            time::timeout(QUEUE_TIMEOUT, TcpStream::connect(self.inner.address)).await
        {
            queued.push(connected?);
        }
        time::sleep_until(until).await;
        drop((full, queued));
        let socket = proxy::bind_again(self.inner.address).await;
        Ok(socket.listen(proxy::BACKLOG)?)
    }

    /// Returns the times at which its workers have crashed.
    #[must_use]
    pub fn crashes(&self) -> Vec<time::Instant> {
        self.lock().crashes.clone()
    }

    /// Returns the times at which its workers have crashed on requests.
    #[must_use]
    pub fn triggered_crashes(&self) -> Vec<time::Instant> {
        self.lock().triggered.clone()
    }

    fn record_crash(&self, worker: &Worker) {
        let now = time::Instant::now();
        let mut state = self.lock();
        state.crashes.push(now);
        if worker.has_crashed_on_request() {
            state.triggered.push(now);
        }
    }

    /// Returns the current worker.
    #[must_use]
    pub fn worker(&self) -> Worker {
        let state = self.lock();
        state.workers.last().expect("there is one").clone()
    }

    /// Returns the times at which requests arrived whose attempt ids begin with `prefix`.
    #[must_use]
    pub fn arrivals_of(&self, prefix: &str) -> Vec<time::Instant> {
        let workers = self.lock().workers.clone();
        let arrivals = workers.iter().map(|worker| worker.arrivals_of(prefix));
        arrivals.flatten().collect()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.inner.state.lock().expect("no panic under the lock")
    }
}

fn new_worker(settings: &Settings, number: usize) -> Worker {
    let id = format_smolstr!("{}-{number}", settings.name);
    Worker::with_options(&id, settings.service, settings.worker.clone())
        .with_on_disk(settings.model)
}
