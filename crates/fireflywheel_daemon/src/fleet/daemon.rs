//! Starts and stops one instance.

use std::sync::Arc;
use std::time::Duration;

use anyhow::Context as _;
use fireflywheel::clock;
use fireflywheel::fleet::config;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time;

use super::gossip;
use super::health::Endpoint;
use super::metrics;
use super::node;
use super::platform;
use super::relay;
use super::steward;
use super::{links, store_watch};
use crate::door;
use fireflywheel::fleet::settings;

/// How long callers may still be sent to this instance after it reports that it isn't ready: the readiness probe runs
/// once a second, and callers are sent elsewhere after the second such answer.
const NOT_READY_NOTICE: Duration = Duration::from_millis(2600);
/// A planned stop ends this long before its grace period does, so that the last responses are sent.
const STOP_MARGIN: Duration = Duration::from_millis(400);
/// Bytes that a caller may leave unread before its stream is paused.
const STREAM_BUFFER_BYTES: usize = 256 << 10;

/// A running instance.
#[derive(Debug)]
pub struct Daemon<P> {
    node: Arc<node::Node<P>>,
    steward: Arc<steward::Steward<P>>,
    stop: watch::Sender<bool>,
    callers: JoinSet<()>,
    tasks: JoinSet<()>,
}

/// The listening sockets of an instance.
#[derive(Debug)]
pub struct Listeners {
    /// Accepts callers' requests.
    pub callers: TcpListener,
    /// Accepts readiness probes and scrapes of metrics.
    pub ready: TcpListener,
    /// Accepts links from other instances.
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
    /// Returns an error if the instance can't listen on one of its addresses or register its metrics.
    pub async fn start(platform: P, settings: settings::Settings) -> anyhow::Result<Self> {
        let listeners = Listeners {
            callers: listen(settings.callers).await?,
            ready: listen(settings.ready).await?,
            peers: listen(settings.peers).await?,
        };
        Self::start_on(platform, settings, listeners)
    }

    /// Starts an instance on sockets that listen on the addresses of its settings.
    ///
    /// # Errors
    ///
    /// Returns an error if the metrics can't be registered.
    pub fn start_on(
        platform: P,
        settings: settings::Settings,
        listeners: Listeners,
    ) -> anyhow::Result<Self> {
        let Listeners {
            callers: callers_listener,
            ready: ready_listener,
            peers: peers_listener,
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
        callers.spawn(door::Door::new(callers_listener, limits, stop.subscribe()).serve(relay));
        let mut tasks = JoinSet::new();
        // The readiness endpoint must answer "not ready" until the process ends, so this door never stops.
        let ready = Arc::new(Endpoint::new(Arc::clone(&node)));
        tasks.spawn(async move {
            let (_sender, never_stops) = watch::channel(false);
            door::Door::new(ready_listener, limits, never_stops)
                .serve(ready)
                .await;
        });
        tasks.spawn(store_watch::follow_config(Arc::clone(&node)));
        tasks.spawn(store_watch::follow_directory(Arc::clone(&node)));
        tasks.spawn(store_watch::sweep_connections(Arc::clone(&node)));
        tasks.spawn(links::accept(Arc::clone(&steward), peers_listener));
        tasks.spawn(gossip::run(Arc::clone(&steward)));
        tasks.spawn(gossip::ask_origins(Arc::clone(&steward)));
        tasks.spawn(links::follow_steward(Arc::clone(&steward)));
        tasks.spawn(Arc::clone(&steward).keep_lease());
        tasks.spawn(Arc::clone(&steward).keep_journal());
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

    /// Waits until a background task ends, which must never happen. The process should then be restarted, because it
    /// can't work without one of its tasks.
    pub async fn wait_for_failure(&mut self) {
        let ended = self.tasks.join_next().await;
        let why = ended
            .and_then(Result::err)
            .map_or_else(|| "ended".to_owned(), |error| error.to_string());
        log::error!(why = why.as_str(); "background task ended unexpectedly");
    }

    /// Stops the instance without cutting off any request that can end within the grace period.
    pub async fn stop(mut self) {
        let started = self.node.now();
        let grace = self.node.settings.grace_period.saturating_sub(STOP_MARGIN);
        log::info!(grace_ms = clock::millis(grace); "planned stop");
        self.node.drain(grace);
        self.steward.release().await;
        time::sleep(NOT_READY_NOTICE.min(grace / 2)).await;
        // Sending fails only if the door has closed already.
        let _ = self.stop.send(true);
        let left = grace.saturating_sub(self.node.now().since(started));
        // Requests of other instances' callers may be in progress in the tunnels.
        let ended = async {
            self.callers.join_next().await;
            self.node.wait_for_tunnels().await;
        };
        let completed = time::timeout(left, ended).await.is_ok();
        log::info!(whole = completed; "stopped");
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
        max_connections: settings.max_connections,
        header_bytes: limits.header_bytes,
        body_bytes: limits.body_bytes,
        idle_timeout: limits.idle_timeout,
        stream_buffer_bytes: STREAM_BUFFER_BYTES,
        max_queue: 0,
    }
}
