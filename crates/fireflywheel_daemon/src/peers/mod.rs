//! Links to other instances: WebSocket connections that carry frames. A link opens only after both sides have
//! proven the shared key.

mod handshake;
mod link;
pub mod registry;

use std::collections::HashSet;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use fireflywheel::{member, record, settings};
use smol_str::SmolStr;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::task::JoinSet;
use tokio::time;

use crate::{core, metrics};

/// Maximum number of concurrent incoming handshakes. Further connections are closed without an answer.
const MAX_HANDSHAKES: usize = 32;
/// Time limit for the TCP connection and the handshake together.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after the system refused to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Builds the update with which an instance announces itself to its peers.
#[must_use]
pub fn own_update(
    incarnation: record::Incarnation,
    address: SmolStr,
    failure_domain: SmolStr,
) -> member::Update {
    member::Update {
        by: incarnation,
        address,
        failure_domain,
        state: member::State::Alive,
        refutation: 0,
    }
}

/// Opens and accepts links.
#[derive(Debug)]
pub struct Peers {
    core: Arc<core::Core>,
    links: Arc<registry::Registry>,
    identity: handshake::Identity,
    handshake_permits: Arc<Semaphore>,
    connecting: Mutex<HashSet<SmolStr>>,
}

impl Peers {
    /// Creates the peers of the instance that `own_update` describes. `secret` is the shared key.
    #[must_use]
    pub fn new(
        core: Arc<core::Core>,
        links: Arc<registry::Registry>,
        secret: settings::Secret,
        own_update: member::Update,
    ) -> Self {
        Self {
            core,
            links,
            identity: handshake::Identity::new(secret, own_update),
            handshake_permits: Arc::new(Semaphore::new(MAX_HANDSHAKES)),
            connecting: Mutex::default(),
        }
    }

    /// Accepts incoming links and connects to the targets that the node requests. Returns when the channel of
    /// targets is closed.
    pub async fn run(
        self: Arc<Self>,
        listener: TcpListener,
        mut targets: mpsc::UnboundedReceiver<registry::Target>,
    ) {
        let mut running = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => self.accept(stream, &mut running),
                    Err(_) => time::sleep(ACCEPT_RETRY_DELAY).await,
                },
                target = targets.recv() => match target {
                    Some(target) => self.connect(&target, &mut running),
                    None => return,
                },
            }
            while running.try_join_next().is_some() {}
        }
    }

    fn accept(self: &Arc<Self>, stream: TcpStream, running: &mut JoinSet<()>) {
        let Ok(permit) = Arc::clone(&self.handshake_permits).try_acquire_owned() else {
            self.record_failure(metrics::LinkFailure::TooMany);
            return;
        };
        let peers = Arc::clone(self);
        running.spawn(async move {
            let result = time::timeout(HANDSHAKE_TIMEOUT, peers.identity.accept(stream)).await;
            drop(permit);
            peers.run_link(result, handshake::Role::Acceptor).await;
        });
    }

    fn connect(self: &Arc<Self>, target: &registry::Target, running: &mut JoinSet<()>) {
        let is_own = self.identity.has_address(&target.address);
        if is_own
            || self.links.contains(target)
            || !self.lock_connecting().insert(target.address.clone())
        {
            return;
        }
        let peers = Arc::clone(self);
        let address = target.address.clone();
        running.spawn(async move {
            let result = time::timeout(HANDSHAKE_TIMEOUT, peers.identity.open(&address)).await;
            peers.lock_connecting().remove(&address);
            peers.run_link(result, handshake::Role::Opener).await;
        });
    }

    async fn run_link(
        &self,
        result: Result<Result<handshake::Connection, handshake::Failure>, time::error::Elapsed>,
        role: handshake::Role,
    ) {
        match result {
            Ok(Ok(connection)) => link::run(&self.core, &self.links, connection, role).await,
            Ok(Err(handshake::Failure::Connect)) => {
                self.record_failure(metrics::LinkFailure::Connect);
            }
            Ok(Err(handshake::Failure::Handshake)) => {
                self.record_failure(metrics::LinkFailure::Handshake);
            }
            // The seeds may include this instance itself.
            Ok(Err(handshake::Failure::SelfConnection)) => {}
            Err(_) => self.record_failure(metrics::LinkFailure::TimedOut),
        }
    }

    fn record_failure(&self, failure: metrics::LinkFailure) {
        self.core.metrics().count_link_failure(failure);
        log::debug!(
            instance = self.core.instance().as_str();
            "peer link failed: {}", failure.as_str()
        );
    }

    fn lock_connecting(&self) -> MutexGuard<'_, HashSet<SmolStr>> {
        self.connecting.lock().expect("no panic under the lock")
    }
}
