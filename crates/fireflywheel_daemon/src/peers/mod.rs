//! Links to other instances: websockets that carry frames, open only to those who prove the key.

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

/// Handshakes at once, of peers that connect here; more are closed unheard.
const HANDSHAKES: usize = 32;
/// How long a connection and its handshake may take together.
const HANDSHAKE_WAIT: Duration = Duration::from_secs(2);
/// Wait after the system refused to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What an instance tells its peers of itself.
#[must_use]
pub fn own_update(
    me: record::Incarnation,
    address: SmolStr,
    failure_domain: SmolStr,
) -> member::Update {
    member::Update {
        by: me,
        address,
        failure_domain,
        state: member::State::Alive,
        refutation: 0,
    }
}

/// Opens and takes links.
#[derive(Debug)]
pub struct Peers {
    core: Arc<core::Core>,
    links: Arc<registry::Registry>,
    identity: handshake::Identity,
    places: Arc<Semaphore>,
    connecting: Mutex<HashSet<SmolStr>>,
}

impl Peers {
    /// Speaks for `me` to whoever proves `secret`.
    #[must_use]
    pub fn new(
        core: Arc<core::Core>,
        links: Arc<registry::Registry>,
        secret: settings::Secret,
        me: member::Update,
    ) -> Self {
        Self {
            core,
            links,
            identity: handshake::Identity::new(secret, me),
            places: Arc::new(Semaphore::new(HANDSHAKES)),
            connecting: Mutex::default(),
        }
    }

    /// Takes the links of others and opens those that the node asks for, until dropped.
    pub async fn run(
        self: Arc<Self>,
        listener: TcpListener,
        mut calls: mpsc::UnboundedReceiver<registry::Target>,
    ) {
        let mut running = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => self.accept(stream, &mut running),
                    Err(_) => time::sleep(ACCEPT_PAUSE).await,
                },
                call = calls.recv() => match call {
                    Some(call) => self.connect(&call, &mut running),
                    None => return,
                },
            }
            while running.try_join_next().is_some() {}
        }
    }

    fn accept(self: &Arc<Self>, stream: TcpStream, running: &mut JoinSet<()>) {
        let Ok(place) = Arc::clone(&self.places).try_acquire_owned() else {
            self.count(metrics::LinkFailure::Limit);
            return;
        };
        let peers = Arc::clone(self);
        running.spawn(async move {
            let shaken = time::timeout(HANDSHAKE_WAIT, peers.identity.accept(stream)).await;
            drop(place);
            peers.serve(shaken, handshake::Role::Acceptor).await;
        });
    }

    fn connect(self: &Arc<Self>, call: &registry::Target, running: &mut JoinSet<()>) {
        let is_own = self.identity.is_at(&call.address);
        if is_own
            || self.links.contains(call)
            || !self.lock_connecting().insert(call.address.clone())
        {
            return;
        }
        let peers = Arc::clone(self);
        let address = call.address.clone();
        running.spawn(async move {
            let shaken = time::timeout(HANDSHAKE_WAIT, peers.identity.open(&address)).await;
            peers.lock_connecting().remove(&address);
            peers.serve(shaken, handshake::Role::Opener).await;
        });
    }

    async fn serve(
        &self,
        shaken: Result<Result<handshake::Proven, handshake::Failure>, time::error::Elapsed>,
        role: handshake::Role,
    ) {
        match shaken {
            Ok(Ok(proven)) => link::run(&self.core, &self.links, proven, role).await,
            Ok(Err(handshake::Failure::Connect)) => self.count(metrics::LinkFailure::Connect),
            Ok(Err(handshake::Failure::Handshake)) => self.count(metrics::LinkFailure::Handshake),
            // Seeds may name this instance itself.
            Ok(Err(handshake::Failure::Own)) => {}
            Err(_) => self.count(metrics::LinkFailure::Slow),
        }
    }

    fn count(&self, failure: metrics::LinkFailure) {
        self.core.metrics().count_link_failure(failure);
        log::debug!(
            instance = self.core.instance().as_str();
            "a link to a peer failed: {}", failure.as_str()
        );
    }

    fn lock_connecting(&self) -> MutexGuard<'_, HashSet<SmolStr>> {
        self.connecting.lock().expect("no panic under the lock")
    }
}
