//! One instance, put together and stopped.

use std::sync::Arc;
use std::time::Duration;

use anyhow::Context as _;
use fireflywheel::clock;
use fireflywheel::fleet::config;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time;

use super::health::Endpoint;
use super::metrics;
use super::node;
use super::platform;
use super::relay;
use super::steward;
use super::{links, watch as following};
use crate::door;
use fireflywheel::fleet::settings;

/// How long callers may still be sent here after the instance says that it isn't ready: whoever asks does so
/// once a second, and believes the second answer.
const NOTICE: Duration = Duration::from_millis(2600);
/// A planned stop ends this much before the time that it may take, so that the last answers get out.
const END_MARGIN: Duration = Duration::from_millis(400);
/// What a caller may leave unread.
const STREAM_BUFFER: usize = 256 << 10;

/// A running instance.
#[derive(Debug)]
pub struct Daemon<P> {
    node: Arc<node::Node<P>>,
    steward: Arc<steward::Steward<P>>,
    stop: watch::Sender<bool>,
    callers: JoinSet<()>,
    tasks: JoinSet<()>,
}

/// The sockets of an instance.
#[derive(Debug)]
pub struct Listeners {
    /// For callers.
    pub callers: TcpListener,
    /// For those who ask whether it is ready.
    pub ready: TcpListener,
    /// For other instances.
    pub peers: TcpListener,
}

impl<P> Daemon<P>
where
    P: platform::Platform,
{
    /// Starts an instance. It is ready once it has a configuration.
    ///
    /// # Errors
    ///
    /// When an address can't be listened on.
    pub async fn start(platform: P, settings: settings::Settings) -> anyhow::Result<Self> {
        let listeners = Listeners {
            callers: listen(settings.callers).await?,
            ready: listen(settings.ready).await?,
            peers: listen(settings.peers).await?,
        };
        Self::start_on(platform, settings, listeners)
    }

    /// Starts an instance on sockets that listen at the addresses of its settings.
    ///
    /// # Errors
    ///
    /// When its metrics can't be made.
    pub fn start_on(
        platform: P,
        settings: settings::Settings,
        listeners: Listeners,
    ) -> anyhow::Result<Self> {
        let Listeners {
            callers: callers_at,
            ready: ready_at,
            peers: peers_at,
        } = listeners;
        let limits = door_limits(&settings);
        let node = Arc::new(node::Node::new(
            platform,
            settings,
            metrics::Metrics::new()?,
        ));
        let steward = Arc::new(steward::Steward::new(Arc::clone(&node)));
        let stop = watch::Sender::new(false);
        let mut callers = JoinSet::new();
        let relay = Arc::new(relay::Relay::new(Arc::clone(&node)));
        callers.spawn(door::Door::new(callers_at, limits, stop.subscribe()).serve(relay));
        let mut tasks = JoinSet::new();
        // The address that says "not ready" must answer until the end.
        let ready = Arc::new(Endpoint::new(Arc::clone(&node)));
        tasks.spawn(async move {
            let (_never, open) = watch::channel(false);
            door::Door::new(ready_at, limits, open).serve(ready).await;
        });
        tasks.spawn(following::configuration(Arc::clone(&node)));
        tasks.spawn(following::directory(Arc::clone(&node)));
        tasks.spawn(following::sweep(Arc::clone(&node)));
        tasks.spawn(links::accept(Arc::clone(&steward), peers_at));
        tasks.spawn(links::follow(Arc::clone(&steward)));
        tasks.spawn(Arc::clone(&steward).keep_lease());
        tasks.spawn(Arc::clone(&steward).run());
        log::info!(
            instance = node.settings.instance.as_str(), incarnation = node.incarnation,
            callers = node.settings.callers.to_string().as_str();
            "started"
        );
        Ok(Self {
            node,
            steward,
            stop,
            callers,
            tasks,
        })
    }

    /// Waits until a task ends that never should. The process is then of no use, and one that is started anew
    /// is better than one that has lost a part of itself.
    pub async fn failed(&mut self) {
        let ended = self.tasks.join_next().await;
        let why = ended
            .and_then(Result::err)
            .map_or_else(|| "ended".to_owned(), |error| error.to_string());
        log::error!(why = why.as_str(); "a task that never should end has ended");
    }

    /// Stops without cutting a request that can end in time.
    pub async fn stop(mut self) {
        let begun = self.node.now();
        let grace = self.node.settings.grace.saturating_sub(END_MARGIN);
        log::info!(grace_ms = clock::millis(grace); "planned stop");
        self.node.drain(grace);
        self.steward.release().await;
        time::sleep(NOTICE.min(grace / 2)).await;
        // Nobody is left to hear it if the door has closed already.
        let _ = self.stop.send(true);
        let left = grace.saturating_sub(self.node.now().since(begun));
        let ended = time::timeout(left, self.callers.join_next()).await.is_ok();
        log::info!(whole = ended; "stopped");
        self.tasks.abort_all();
    }
}

async fn listen(address: std::net::SocketAddr) -> anyhow::Result<TcpListener> {
    let listener = TcpListener::bind(address).await;
    listener.with_context(|| format!("can't listen on {address}"))
}

fn door_limits(settings: &settings::Settings) -> fireflywheel::settings::Limits {
    let limits = config::Limits::default();
    fireflywheel::settings::Limits {
        connections: settings.connections,
        header_bytes: limits.header_bytes,
        body_bytes: limits.body_bytes,
        idle: limits.idle,
        stream_buffer_bytes: STREAM_BUFFER,
        queue: 0,
    }
}
