//! One instance, put together from its settings.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context as _;
use fireflywheel::{node, record, settings};
use smol_str::SmolStr;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time;

use crate::platform::{list, log};
use crate::{callers, client, clock, core, door, metrics, operator, orders, peers, reports};

/// How long connections may take to end after the node has: answers on their way are still read.
const CLOSE_LIMIT: Duration = Duration::from_secs(5);

/// A running instance. Several fit in one process. Dropping it ends it at once.
#[derive(Debug)]
pub struct Daemon {
    /// Where callers reach it.
    pub caller: SocketAddr,
    /// Where peers reach it.
    pub peer: SocketAddr,
    /// Where operators reach it.
    pub operator: SocketAddr,
    core: Arc<core::Core>,
    exit: watch::Receiver<bool>,
    close: watch::Sender<bool>,
    doors: JoinSet<()>,
    // Held for its drop, which ends the tasks.
    _workers: JoinSet<()>,
}

/// Begins the planned stop of a daemon that is waited for elsewhere.
#[derive(Clone, Debug)]
pub struct Stopper(Arc<core::Core>);

impl Stopper {
    /// The same as [`Daemon::stop`].
    pub fn stop(&self) {
        self.0.stop();
    }
}

/// Sockets that listen.
struct Listeners {
    caller: TcpListener,
    peer: TcpListener,
    operator: TcpListener,
}

/// The ends at which the workers take effects over.
struct Inlets {
    appends: mpsc::UnboundedReceiver<String>,
    position: watch::Receiver<core::ReadPosition>,
    watched: watch::Receiver<Vec<SmolStr>>,
    orders: mpsc::UnboundedReceiver<core::OrderAttempt>,
    connects: mpsc::UnboundedReceiver<peers::registry::Target>,
    links: Arc<peers::registry::Registry>,
    exit: watch::Receiver<bool>,
}

impl Daemon {
    /// Binds the addresses of the settings and begins to serve. Instances know each other by `key`.
    ///
    /// # Errors
    ///
    /// When an address can't be bound.
    pub async fn start(
        settings: settings::Settings,
        key: settings::Secret,
    ) -> anyhow::Result<Self> {
        let listeners = Listeners::bind(&settings.listen).await?;
        let caller = listeners.caller.local_addr()?;
        let peer = listeners.peer.local_addr()?;
        let operator = listeners.operator.local_addr()?;
        let metrics = Arc::new(metrics::Metrics::new()?);
        let me = record::Incarnation {
            instance: settings.instance.name.clone(),
            number: clock::unix_ms(),
        };
        let address = settings.listen.advertise.unwrap_or(peer).to_string();
        let own_update = peers::own_update(
            me.clone(),
            address.as_str().into(),
            settings.instance.failure_domain.clone(),
        );
        let options = node::Options::new(&settings, me, address.into(), rand::random());
        let (channels, inlets) = channels(&settings, &metrics);
        let core = core::Core::new(options, clock::Clock::new(), channels, metrics);
        let core = Arc::new(core);
        let links = Arc::clone(&inlets.links);
        let peers = peers::Peers::new(Arc::clone(&core), links, key, own_update);
        let exit = inlets.exit.clone();
        let (close, closing) = watch::channel(false);
        let client = client::Client::new();
        let doors = open_doors(
            &settings,
            &core,
            &client,
            &closing,
            listeners.caller,
            listeners.operator,
        );
        let workers = start_workers(&settings, &core, &client, inlets, peers, listeners.peer);
        core.start();
        Ok(Self {
            caller,
            peer,
            operator,
            core,
            exit,
            close,
            doors,
            _workers: workers,
        })
    }

    /// Begins a planned stop: not ready first, then no new work, then the end of all that is in progress.
    pub fn stop(&self) {
        self.core.stop();
    }

    /// A handle by which to stop it while [`Self::finished`] is waited for.
    #[must_use]
    pub fn stopper(&self) -> Stopper {
        Stopper(Arc::clone(&self.core))
    }

    /// Waits until a planned stop has ended: everything in progress is answered and handed over.
    pub async fn finished(mut self) {
        door::stopped(&mut self.exit).await;
        self.close.send_replace(true);
        // The node has nothing in progress any more, but the last bytes of its answers may still be on their
        // way out.
        let doors = async { while self.doors.join_next().await.is_some() {} };
        let _ = time::timeout(CLOSE_LIMIT, doors).await;
    }
}

impl Listeners {
    async fn bind(listen: &settings::Listen) -> anyhow::Result<Self> {
        Ok(Self {
            caller: bind("caller", listen.caller).await?,
            peer: bind("peer", listen.peer).await?,
            operator: bind("operator", listen.operator).await?,
        })
    }
}

async fn bind(name: &str, address: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("[listen] {name}: {address} can't be bound"))
}

fn channels(
    settings: &settings::Settings,
    metrics: &Arc<metrics::Metrics>,
) -> (core::EffectChannels, Inlets) {
    let (appends, append_texts) = mpsc::unbounded_channel();
    let (orders, sendings) = mpsc::unbounded_channel();
    let (connects, calls) = mpsc::unbounded_channel();
    let (position, positions) = watch::channel(core::ReadPosition::default());
    let (watched, watched_servers) = watch::channel(Vec::new());
    let (exit, exited) = watch::channel(false);
    let name = settings.instance.name.clone();
    let links = Arc::new(peers::registry::Registry::new(name, Arc::clone(metrics)));
    let channels = core::EffectChannels {
        appends,
        position,
        watched,
        orders,
        connects,
        links: Arc::clone(&links),
        exit,
    };
    let inlets = Inlets {
        appends: append_texts,
        position: positions,
        watched: watched_servers,
        orders: sendings,
        connects: calls,
        links,
        exit: exited,
    };
    (channels, inlets)
}

fn open_doors(
    settings: &settings::Settings,
    core: &Arc<core::Core>,
    client: &client::Client,
    closing: &watch::Receiver<bool>,
    caller: TcpListener,
    operator: TcpListener,
) -> JoinSet<()> {
    let mut doors = JoinSet::new();
    let callers = callers::Callers::new(Arc::clone(core), client.clone(), settings.limits);
    let door = door::Door::new(caller, settings.limits, closing.clone());
    doors.spawn(door.serve(Arc::new(callers)));
    let operators = operator::Operator::new(Arc::clone(core));
    let door = door::Door::new(operator, settings.limits, closing.clone());
    doors.spawn(door.serve(Arc::new(operators)));
    doors
}

fn start_workers(
    settings: &settings::Settings,
    core: &Arc<core::Core>,
    client: &client::Client,
    inlets: Inlets,
    peers: peers::Peers,
    peer: TcpListener,
) -> JoinSet<()> {
    let mut workers = JoinSet::new();
    let timing = &settings.timing;
    let log = Arc::new(log::Http::new(
        client.clone(),
        settings.platform.log.clone(),
    ));
    let list = list::Http::new(client.clone(), settings.platform.list.clone());
    workers.spawn(log::append_all(
        Arc::clone(&log),
        Arc::clone(core),
        inlets.appends,
    ));
    workers.spawn(log::read_all(
        log,
        Arc::clone(core),
        inlets.position,
        timing.log_wait,
    ));
    workers.spawn(list::poll(list, Arc::clone(core), timing.list_interval));
    workers.spawn(reports::poll(
        client.clone(),
        Arc::clone(core),
        inlets.watched,
        timing.report_interval,
    ));
    workers.spawn(orders::send_all(
        client.clone(),
        Arc::clone(core),
        inlets.orders,
    ));
    workers.spawn(Arc::new(peers).run(peer, inlets.connects));
    let ticker = Arc::clone(core);
    workers.spawn(async move { ticker.tick().await });
    workers
}
