//! Assembles one instance from its settings.

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

/// The time within which connections must close after the node has stopped. Clients may still be reading
/// answers.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// A running instance. A process can run several. Dropping the value ends the instance at once.
#[derive(Debug)]
pub struct Daemon {
    /// The address for callers.
    pub caller: SocketAddr,
    /// The address for peers.
    pub peer: SocketAddr,
    /// The address for operators.
    pub operator: SocketAddr,
    core: Arc<core::Core>,
    exit: watch::Receiver<bool>,
    close: watch::Sender<bool>,
    doors: JoinSet<()>,
    // Dropping the set ends the tasks.
    _workers: JoinSet<()>,
}

/// A handle that begins the planned stop of a [`Daemon`].
#[derive(Clone, Debug)]
pub struct Stopper(Arc<core::Core>);

impl Stopper {
    /// Begins a planned stop, as [`Daemon::stop`] does.
    pub fn stop(&self) {
        self.0.stop();
    }
}

/// The listening sockets of an instance.
struct Listeners {
    caller: TcpListener,
    peer: TcpListener,
    operator: TcpListener,
}

/// The receiving ends of [`core::EffectChannels`], for the workers that carry out effects.
struct EffectReceivers {
    appends: mpsc::UnboundedReceiver<String>,
    position: watch::Receiver<core::ReadPosition>,
    watched: watch::Receiver<Vec<SmolStr>>,
    orders: mpsc::UnboundedReceiver<core::OrderAttempt>,
    connects: mpsc::UnboundedReceiver<peers::registry::Target>,
    links: Arc<peers::registry::Registry>,
    exit: watch::Receiver<bool>,
}

impl Daemon {
    /// Binds the addresses of the settings and starts to serve. Instances authenticate each other with `key`.
    ///
    /// # Errors
    ///
    /// Returns an error when an address can't be bound or the metrics can't be registered.
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
        let (channels, receivers) = channels(&settings, &metrics);
        let core = core::Core::new(options, clock::Clock::new(), channels, metrics);
        let core = Arc::new(core);
        let links = Arc::clone(&receivers.links);
        let peers = peers::Peers::new(Arc::clone(&core), links, key, own_update);
        let exit = receivers.exit.clone();
        let (close, close_receiver) = watch::channel(false);
        let client = client::Client::new();
        let doors = open_doors(
            &settings,
            &core,
            &client,
            &close_receiver,
            listeners.caller,
            listeners.operator,
        );
        let workers = start_workers(&settings, &core, &client, receivers, peers, listeners.peer);
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

    /// Begins a planned stop: the instance first reports that it is not ready, then refuses new requests, then
    /// ends all that is in progress.
    pub fn stop(&self) {
        self.core.stop();
    }

    /// Returns a handle to stop the instance while [`Self::finished`] is awaited.
    #[must_use]
    pub fn stopper(&self) -> Stopper {
        Stopper(Arc::clone(&self.core))
    }

    /// Waits until a planned stop has finished: everything in progress is answered and handed over.
    pub async fn finished(mut self) {
        door::wait_for_stop(&mut self.exit).await;
        self.close.send_replace(true);
        // The node has nothing in progress any more, but the last bytes of answers may not have been sent yet.
        let doors = async { while self.doors.join_next().await.is_some() {} };
        let _ = time::timeout(CLOSE_TIMEOUT, doors).await;
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
) -> (core::EffectChannels, EffectReceivers) {
    let (appends, append_receiver) = mpsc::unbounded_channel();
    let (orders, order_receiver) = mpsc::unbounded_channel();
    let (connects, connect_receiver) = mpsc::unbounded_channel();
    let (position, position_receiver) = watch::channel(core::ReadPosition::default());
    let (watched, watched_receiver) = watch::channel(Vec::new());
    let (exit, exit_receiver) = watch::channel(false);
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
    let receivers = EffectReceivers {
        appends: append_receiver,
        position: position_receiver,
        watched: watched_receiver,
        orders: order_receiver,
        connects: connect_receiver,
        links,
        exit: exit_receiver,
    };
    (channels, receivers)
}

fn open_doors(
    settings: &settings::Settings,
    core: &Arc<core::Core>,
    client: &client::Client,
    close_receiver: &watch::Receiver<bool>,
    caller: TcpListener,
    operator: TcpListener,
) -> JoinSet<()> {
    let mut doors = JoinSet::new();
    let callers = callers::Callers::new(Arc::clone(core), client.clone(), settings.limits);
    let door = door::Door::new(caller, settings.limits, close_receiver.clone());
    doors.spawn(door.serve(Arc::new(callers)));
    let operators = operator::Operator::new(Arc::clone(core));
    let door = door::Door::new(operator, settings.limits, close_receiver.clone());
    doors.spawn(door.serve(Arc::new(operators)));
    doors
}

fn start_workers(
    settings: &settings::Settings,
    core: &Arc<core::Core>,
    client: &client::Client,
    receivers: EffectReceivers,
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
        receivers.appends,
    ));
    workers.spawn(log::read_all(
        log,
        Arc::clone(core),
        receivers.position,
        timing.log_wait,
    ));
    workers.spawn(list::poll(list, Arc::clone(core), timing.list_interval));
    workers.spawn(reports::poll(
        client.clone(),
        Arc::clone(core),
        receivers.watched,
        timing.report_interval,
    ));
    workers.spawn(orders::send_all(
        client.clone(),
        Arc::clone(core),
        receivers.orders,
    ));
    workers.spawn(Arc::new(peers).run(peer, receivers.connects));
    let ticker = Arc::clone(core);
    workers.spawn(async move { ticker.tick().await });
    workers
}
