//! How requests get from this instance to backend servers: over connections of its own, or through a gateway where its own
//! path is lost.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use fireflywheel::fleet::announcement::Process;
use fireflywheel::fleet::gateway;
use fireflywheel::fleet::reach;
use fireflywheel::fleet::tunnel::{PROOF_BYTES, Refusal, Secret};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};
use rand::RngCore as _;
use rand::seq::IteratorRandom as _;
use smol_str::SmolStr;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time;

use super::{Node, guard, state};
use crate::fleet::{platform, pool, tunnel};

/// How long a connection of its own may take to open until a tunnel is opened beside it. Servers answer within a round
/// trip.
const TUNNEL_DELAY: Duration = Duration::from_millis(100);
/// Interval between checks whether this instance still serves tunnels.
const TUNNEL_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of paths that are probed at once.
const MAX_PROBES: usize = 16;
/// The share of its connections to a server up to which an instance lends some of them, those in use included.
const LENDABLE_RATIO: f64 = 0.75;
/// Maximum number of gateways that are tried for one connection.
const MAX_GATEWAYS: usize = 2;
/// The same for a connection that one of them has to spare: most may have lent theirs, and each names others.
const MAX_LENDERS: usize = 6;
/// Maximum number of them that don't answer: each takes the time that a handshake may take.
const MAX_SILENT_GATEWAYS: usize = 2;

/// A process that something is sent to.
#[derive(Clone, Debug)]
pub struct Target {
    /// The process.
    pub process: Process,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Maximum number of connections of this instance to it.
    pub connections: usize,
    /// The number of rejections in a second that it tolerates, if what is sent needs a place of another instance there.
    pub brittle: Option<u32>,
}

/// A connection that this instance has opened to a server for another instance.
#[derive(Debug)]
pub struct ServedTunnel<P>
where
    P: Send + Sync,
{
    /// The connection.
    pub stream: TcpStream,
    /// The place that is lent with it, if the server is brittle.
    pub place: Option<guard::LentPlace<P>>,
    _guard: pool::OpenGuard,
    /// Counts it as one of this instance's connections to the server, if it is lent.
    _lent: Option<Arc<pool::OpenGuard>>,
}

/// What an instance needs to know of the paths to servers.
#[derive(Debug, Default)]
pub(super) struct Paths {
    /// The instances through which servers can be reached.
    gateways: gateway::Roster,
    /// The number of open tunnels through each gateway.
    tunnels: BTreeMap<SmolStr, Arc<AtomicUsize>>,
    /// The number of tunnels that this instance serves.
    served: Arc<AtomicUsize>,
    /// The secret by which instances prove to each other that they are instances.
    secret: Option<Secret>,
    /// Whether the secret has to be read from the store.
    needs_secret: bool,
    /// The groups whose servers this instance doesn't reach, though others do.
    lost_groups: BTreeSet<SmolStr>,
    /// The groups whose servers this instance doesn't reach, be it that they are down.
    pub(super) unreached_groups: BTreeSet<SmolStr>,
}

impl Paths {
    /// Whether any instance lends connections of its own.
    pub(super) fn has_lenders(&self) -> bool {
        self.gateways.has_lenders()
    }

    /// Handles a new link to the steward, whose gateways can be used only with the secret.
    pub(super) fn link_opened(&mut self) {
        self.needs_secret |= self.secret.is_none();
    }
}

/// The state of the path to one server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Path {
    /// No connection over it has failed where a tunnel opened.
    Usable,
    /// Connections to other servers of the group fail.
    Doubtful,
    /// It is lost.
    Lost,
}

impl<P> Node<P>
where
    P: platform::Platform,
{
    /// Sends a request, an order or a request for a report to a process. All that is sent to backend servers is sent over a
    /// connection of [`Self::connect`].
    ///
    /// # Errors
    ///
    /// Returns an error if there is no response.
    pub async fn send_to(
        self: &Arc<Self>,
        target: &Target,
        via: pool::Via,
        request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, pool::Connection), pool::Error> {
        self.connect(target, via).await?.send(request).await
    }

    /// Probes the path to a process that has not responded in the usual time. A response that is late says nothing about the
    /// path, and requests on open connections behind a partition would wait until their deadlines.
    pub fn probe_path(self: &Arc<Self>, target: &Target) {
        let now = self.now();
        let mut state = self.lock();
        let known = state.servers.get_mut(&target.process.server);
        if !known.is_some_and(|known| !known.reach.is_lost() && known.reach.try_probe(now)) {
            return;
        }
        drop(state);
        let Ok(reservation) = self.pool.reserve(target.address, target.connections) else {
            return;
        };
        let (node, target) = (Arc::clone(self), target.clone());
        tokio::spawn(async move {
            let opening = node.open_either(&target, reservation, TUNNEL_DELAY);
            if let Ok(connection) = opening.await {
                node.pool.release(node.now(), connection, None);
            }
        });
    }

    /// Takes an idle connection to a process or opens one. Until it is used, the process has been sent nothing.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no connection, or if the process wants nothing more.
    pub async fn connect(
        self: &Arc<Self>,
        target: &Target,
        via: pool::Via,
    ) -> Result<pool::Connection, pool::Error> {
        let connection = self.take_or_open(target, via).await?;
        // An answer may have come while the connection was opened.
        if !self.may_send(&target.process) {
            self.pool.release(self.now(), connection, None);
            return Err(pool::Error::Withheld);
        }
        Ok(connection)
    }

    async fn take_or_open(
        self: &Arc<Self>,
        target: &Target,
        via: pool::Via,
    ) -> Result<pool::Connection, pool::Error> {
        let via = match target.brittle {
            Some(_) => pool::Via::LentPlace,
            None => via,
        };
        let idle = self.pool.take_idle(self.now(), target.address, via);
        if let Some(connection) = idle {
            return Ok(connection);
        }
        if via == pool::Via::LentPlace {
            return self.borrow_connection(target).await;
        }
        let reservation = match self.pool.reserve(target.address, target.connections) {
            Err(pool::Error::NoConnectionFree) if via == pool::Via::Any => {
                return self.borrow_connection(target).await;
            }
            reserved => reserved?,
        };
        if via == pool::Via::Direct {
            return self.open_direct(target, reservation).await;
        }
        match self.path(&target.process) {
            Path::Usable => self.open_either(target, reservation, TUNNEL_DELAY).await,
            Path::Doubtful => self.open_either(target, reservation, Duration::ZERO).await,
            Path::Lost => self.open_tunnel(target, reservation).await,
        }
    }

    /// Opens a connection of this instance's own, and a tunnel beside it if that takes longer than `tunnel_delay`. Returns
    /// the one that opens first. Only connections race: the request is sent over one of them.
    async fn open_either(
        self: &Arc<Self>,
        target: &Target,
        reservation: Arc<pool::OpenGuard>,
        tunnel_delay: Duration,
    ) -> Result<pool::Connection, pool::Error> {
        let mut direct = self.spawn_direct(target, Arc::clone(&reservation));
        tokio::select! {
            biased;
            opened = &mut direct => match opened {
                Ok(Err(pool::Error::Unreachable)) | Err(_) => {
                    return self.open_tunnel(target, reservation).await;
                }
                Ok(result) => return result,
            },
            () = time::sleep(tunnel_delay) => {}
        }
        let tunnel = self.open_tunnel(target, reservation);
        tokio::pin!(tunnel);
        tokio::select! {
            biased;
            opened = &mut direct => match opened {
                Ok(Err(pool::Error::Unreachable)) | Err(_) => tunnel.await,
                Ok(result) => result,
            },
            opened = &mut tunnel => match opened {
                Ok(connection) => Ok(connection),
                Err(_) => direct.await.unwrap_or(Err(pool::Error::Unreachable)),
            },
        }
    }

    /// Opens a connection of this instance's own in a task of its own, so that it is known whether it opens even if a tunnel
    /// was faster. One that nobody waits for any more is closed: it shares its reservation with the tunnel.
    fn spawn_direct(
        self: &Arc<Self>,
        target: &Target,
        reservation: Arc<pool::OpenGuard>,
    ) -> oneshot::Receiver<Result<pool::Connection, pool::Error>> {
        let (sender, receiver) = oneshot::channel();
        let (node, target) = (Arc::clone(self), target.clone());
        tokio::spawn(async move {
            // Sending fails if nobody waits any more.
            let _ = sender.send(node.open_direct(&target, reservation).await);
        });
        receiver
    }

    async fn open_direct(
        self: &Arc<Self>,
        target: &Target,
        reservation: Arc<pool::OpenGuard>,
    ) -> Result<pool::Connection, pool::Error> {
        let stream = self.dial(target).await?;
        pool::Connection::direct(stream, target.address, reservation).await
    }

    /// Opens a TCP connection of this instance's own, to find out whether a process listens.
    pub(super) async fn try_connect(self: &Arc<Self>, target: &Target) -> io::Result<TcpStream> {
        let result = pool::try_dial(self.platform.network(), target.address).await;
        match result {
            Ok(_) => self.record_direct(target),
            Err(_) => self.record_direct_failure(target),
        }
        result
    }

    /// Opens a TCP connection of this instance's own, and records whether it opens.
    async fn dial(self: &Arc<Self>, target: &Target) -> Result<TcpStream, pool::Error> {
        let result = pool::dial(self.platform.network(), target.address).await;
        match result {
            Ok(_) => self.record_direct(target),
            Err(_) => self.record_direct_failure(target),
        }
        result
    }

    /// Opens a connection through another instance.
    async fn open_tunnel(
        self: &Arc<Self>,
        target: &Target,
        reservation: Arc<pool::OpenGuard>,
    ) -> Result<pool::Connection, pool::Error> {
        let kind = tunnel::Kind::Own;
        self.open_through_gateway(target, reservation, kind).await
    }

    /// Opens a connection that another instance has to spare. All connections of all instances together stay as many as
    /// they are: it is one of that instance's.
    async fn borrow_connection(
        self: &Arc<Self>,
        target: &Target,
    ) -> Result<pool::Connection, pool::Error> {
        let reservation = Arc::new(pool::OpenGuard::new(Arc::default()));
        let kind = match target.brittle {
            Some(rejections) => tunnel::Kind::LentWithPlace(rejections),
            None => tunnel::Kind::Lent,
        };
        let opened = self.open_through_gateway(target, reservation, kind).await;
        opened.map_err(|error| match error {
            pool::Error::Unreachable => pool::Error::NoConnectionFree,
            other => other,
        })
    }

    async fn open_through_gateway(
        self: &Arc<Self>,
        target: &Target,
        reservation: Arc<pool::OpenGuard>,
        kind: tunnel::Kind,
    ) -> Result<pool::Connection, pool::Error> {
        let is_lent = kind != tunnel::Kind::Own;
        let mut silent = 0;
        let mut tried = Vec::new();
        let mut outcome = pool::Error::Unreachable;
        let most = if is_lent { MAX_LENDERS } else { MAX_GATEWAYS };
        while tried.len() < most && silent < MAX_SILENT_GATEWAYS {
            let (gateway, open_count) = match self.pick_gateway(&target.process, &tried, is_lent) {
                Ok(picked) => picked,
                Err(error) if tried.is_empty() => return Err(error),
                Err(_) => break,
            };
            let guard = pool::OpenGuard::new(open_count);
            let opened = tunnel::open(&gateway, self.tunnel_secret(), &target.process, kind).await;
            self.metrics.count_tunnel(match &opened {
                Ok(_) => "opened",
                Err(error) => error.as_str(),
            });
            match opened {
                Ok(tunnel) => {
                    if !is_lent {
                        self.record_detour(target);
                    }
                    let address = target.address;
                    let has_place = target.brittle.is_some();
                    return pool::Connection::tunnel(
                        tunnel,
                        address,
                        reservation,
                        guard,
                        has_place,
                    )
                    .await;
                }
                Err(error) => {
                    silent += usize::from(error == tunnel::Error::NoAnswer);
                    log::debug!(
                        server = target.process.server.as_str(), gateway = gateway.instance.as_str(), why = error.as_str();
                        "no tunnel to backend server"
                    );
                    outcome = self.handle_tunnel_error(&gateway, target, error);
                    if outcome == pool::Error::Withheld {
                        break;
                    }
                }
            }
            tried.push(gateway.instance);
        }
        Err(outcome)
    }

    /// Records why a gateway opened no tunnel. Returns what that means for the request, which has not been sent.
    fn handle_tunnel_error(
        &self,
        gateway: &gateway::Gateway,
        target: &Target,
        error: tunnel::Error,
    ) -> pool::Error {
        let (outcome, is_gateway_usable) = match error {
            tunnel::Error::Refused(Refusal::NotUsable) => (pool::Error::Withheld, true),
            tunnel::Error::Refused(Refusal::Unreachable) => (pool::Error::Unreachable, true),
            tunnel::Error::Refused(Refusal::Unauthenticated) | tunnel::Error::NoSecret => {
                self.request_secret();
                (pool::Error::Unreachable, true)
            }
            tunnel::Error::Refused(Refusal::Busy | Refusal::Stopping) => {
                (pool::Error::NoConnectionFree, false)
            }
            tunnel::Error::NoAnswer => (pool::Error::Unreachable, false),
            tunnel::Error::Referred(mut others) => {
                let own = &self.settings.instance;
                others.retain(|other| other.instance != *own);
                let now = self.now();
                let gateways = &mut self.lock().paths.gateways;
                gateways.refer(now, others);
                gateways.hold_off_for(now, &gateway.instance, &target.process.server);
                (pool::Error::NoConnectionFree, true)
            }
        };
        if !is_gateway_usable {
            let now = self.now();
            let gateways = &mut self.lock().paths.gateways;
            gateways.hold_off(now, &gateway.instance);
        }
        outcome
    }

    /// Returns a gateway to a process, with the count of open tunnels through it.
    ///
    /// # Errors
    ///
    /// Returns what it means for the request that there is none.
    fn pick_gateway(
        &self,
        process: &Process,
        tried: &[SmolStr],
        lends: bool,
    ) -> Result<(gateway::Gateway, Arc<AtomicUsize>), pool::Error> {
        let now = self.now();
        let mut state = self.lock();
        let known = state.servers.get(&process.server);
        let group = known.map(|known| known.server.group.clone());
        let group = group.ok_or(pool::Error::Unreachable)?;
        let paths = &mut state.paths;
        let open_count = |instance: &str| {
            let count = paths.tunnels.get(instance);
            count.map_or(0, |count| count.load(Ordering::Relaxed))
        };
        let mut excluded = tried.to_vec();
        if lends {
            excluded.extend(paths.gateways.non_lending().cloned());
        }
        let search = gateway::Search {
            group: &group,
            borrowed: lends.then_some(process.server.as_str()),
            failure_domain: &self.settings.failure_domain,
            tried: &excluded,
        };
        let picked = paths.gateways.pick(now, search, rand::random(), open_count);
        let Some(gateway) = picked.cloned() else {
            return Err(match paths.gateways.reaches(&group) {
                true => pool::Error::NoConnectionFree,
                false => pool::Error::Unreachable,
            });
        };
        let count = paths.tunnels.entry(gateway.instance.clone()).or_default();
        Ok((gateway, Arc::clone(count)))
    }

    /// Opens a connection to a server for another instance. It is one of that instance's connections to the server, or one of
    /// this instance's if it is lent, so all instances together have no more of them than without tunnels. The same holds for
    /// places at a `brittle` server, which tolerates so many rejections in a second.
    ///
    /// # Errors
    ///
    /// Returns why there is no connection.
    pub async fn serve_tunnel(
        self: &Arc<Self>,
        process: &Process,
        max_tunnels: usize,
        is_lent: bool,
        brittle: Option<u32>,
    ) -> Result<ServedTunnel<P>, Refusal> {
        if self.is_draining() {
            return Err(Refusal::Stopping);
        }
        let (target, served) = {
            let state = self.lock();
            let target = state.target(process).ok_or(Refusal::NotUsable)?;
            (target, Arc::clone(&state.paths.served))
        };
        if !self.may_send(process) {
            return Err(Refusal::NotUsable);
        }
        if served.load(Ordering::Relaxed) >= max_tunnels {
            return Err(Refusal::Busy);
        }
        let lent = match is_lent {
            true => {
                let lendable = (target.connections as f64 * LENDABLE_RATIO) as usize;
                let reserved = self.pool.reserve(target.address, lendable.max(1));
                Some(reserved.map_err(|_| Refusal::Busy)?)
            }
            false => None,
        };
        let place = match brittle {
            Some(rejections) => {
                let place = self.lend_place(process, rejections);
                Some(place.ok_or(Refusal::Busy)?)
            }
            None => None,
        };
        let guard = pool::OpenGuard::new(served);
        let stream = self.dial(&target).await;
        Ok(ServedTunnel {
            stream: stream.map_err(|_| Refusal::Unreachable)?,
            place,
            _guard: guard,
            _lent: lent,
        })
    }

    /// Waits until this instance serves no tunnel.
    pub async fn wait_for_tunnels(&self) {
        let served = Arc::clone(&self.lock().paths.served);
        while served.load(Ordering::Relaxed) > 0 {
            time::sleep(TUNNEL_CHECK_INTERVAL).await;
        }
    }

    /// Lends a place in this instance's window for a brittle server, if there is one to spare.
    fn lend_place(
        self: &Arc<Self>,
        process: &Process,
        rejections: u32,
    ) -> Option<guard::LentPlace<P>> {
        let now = self.now();
        let mut state = self.lock();
        let instances = state.instances.count();
        let known = state.servers.get_mut(&process.server)?;
        let (slots, stats) = (known.server.slots, &mut known.stats);
        if !stats.is_brittle() {
            stats.observe_brittleness(now, Some(rejections), slots, instances, rand::random());
        }
        if !stats.try_lend(now) {
            return None;
        }
        drop(state);
        Some(guard::LentPlace {
            node: Arc::clone(self),
            process: process.clone(),
        })
    }

    /// Probes failing paths, each in a task of its own: without that, a lost one would not be used again.
    pub fn probe_failing_paths(self: &Arc<Self>) {
        let now = self.now();
        let mut state = self.lock();
        let servers = state.servers.values_mut();
        let due = servers.filter_map(|known| {
            let is_due = known.reach.is_failing() && known.reach.try_probe(now);
            is_due.then(|| known.process())
        });
        let due: Vec<Process> = due.take(MAX_PROBES).collect();
        let targets: Vec<Target> = due
            .iter()
            .filter_map(|process| state.target(process))
            .collect();
        drop(state);
        for target in targets {
            let node = Arc::clone(self);
            // What comes of it is recorded. The connection itself is closed.
            tokio::spawn(async move { node.dial(&target).await.is_ok() });
        }
    }

    fn record_direct(self: &Arc<Self>, target: &Target) {
        let is_restored = self.update_reach(target, reach::Reach::record_success);
        if is_restored {
            self.pool.close_idle(target.address, pool::Route::Tunnel);
            log::info!(server = target.process.server.as_str(); "path to backend server restored");
        }
    }

    fn record_direct_failure(self: &Arc<Self>, target: &Target) {
        let now = self.now();
        if self.update_reach(target, |reach| reach.record_failure(now)) {
            self.handle_lost_path(target);
        }
    }

    fn record_detour(self: &Arc<Self>, target: &Target) {
        let now = self.now();
        if self.update_reach(target, |reach| reach.record_detour(now)) {
            self.handle_lost_path(target);
        }
    }

    /// Handles a path that was lost. Idle connections over it may hang, and those to the other servers of a group that this
    /// instance is partitioned from. Paths to other servers are probed now, before requests find out one by one.
    fn handle_lost_path(self: &Arc<Self>, target: &Target) {
        let state = self.lock();
        let known = state.servers.get(&target.process.server);
        let group = known.map(|known| known.server.group.clone());
        let group = group.unwrap_or_default();
        let is_partitioned = state.paths.lost_groups.contains(&group);
        let mut closed = vec![target.address];
        if is_partitioned {
            let servers = state.servers.values().map(|known| &known.server);
            let others = servers.filter(|server| server.group == group);
            closed.extend(others.map(|server| server.address));
        }
        let doubtful = state
            .servers
            .values()
            .filter(|known| !known.reach.is_lost());
        let doubtful = doubtful.filter_map(|known| state.target(&known.process()));
        let probed = doubtful.choose_multiple(&mut rand::rng(), MAX_PROBES);
        drop(state);
        log::info!(
            server = target.process.server.as_str(), group = group.as_str(), partitioned = is_partitioned;
            "path to backend server lost, which other instances reach"
        );
        for address in closed {
            self.pool.close_idle(address, pool::Route::Direct);
        }
        for target in probed {
            self.probe_path(&target);
        }
    }

    /// Updates what is known of the path to a process. Returns whether that changed whether it is lost.
    fn update_reach<F>(&self, target: &Target, update: F) -> bool
    where
        F: FnOnce(&mut reach::Reach) -> bool,
    {
        let mut state = self.lock();
        let known = state.servers.get_mut(&target.process.server);
        let Some(known) =
            known.filter(|known| known.server.started_ms == target.process.started_ms)
        else {
            return false;
        };
        let was_failing = known.reach.is_failing();
        let is_changed = update(&mut known.reach);
        if !is_changed && known.reach.is_failing() == was_failing {
            return false;
        }
        let lost_groups = state.find_groups(reach::Reach::is_lost);
        let unreached_groups = state.find_groups(reach::Reach::is_failing);
        let is_news = unreached_groups != state.paths.unreached_groups;
        state.paths.lost_groups = lost_groups;
        state.paths.unreached_groups = unreached_groups;
        let lost = state.servers.values().filter(|known| known.reach.is_lost());
        self.metrics.set_lost_paths(lost.count());
        drop(state);
        if is_news {
            self.demand_changed.notify_one();
        }
        is_changed
    }

    /// Whether other instances reach a process that this one doesn't.
    pub(super) fn is_path_lost(&self, process: &Process) -> bool {
        self.path(process) == Path::Lost
    }

    fn path(&self, process: &Process) -> Path {
        let state = self.lock();
        let Some(known) = state.servers.get(&process.server) else {
            return Path::Usable;
        };
        if known.reach.is_lost() {
            return Path::Lost;
        }
        if state.paths.unreached_groups.contains(&known.server.group) {
            return Path::Doubtful;
        }
        Path::Usable
    }

    /// Whether a process may be sent a request, an order or a request for a report now.
    pub(super) fn may_send(&self, process: &Process) -> bool {
        let now = self.now();
        let Process { server, started_ms } = process;
        let announcements = &self.lock().announcements;
        !announcements.is_leaving(server, *started_ms)
            && announcements
                .rests_until(now, server, *started_ms)
                .is_none()
    }
}

impl<P> Node<P>
where
    P: Send + Sync,
{
    /// The gateways that lend connections of their own, for an instance that finds none to spare here.
    #[must_use]
    pub fn lenders(&self) -> Vec<gateway::Gateway> {
        self.lock().paths.gateways.lenders()
    }

    /// Stores the gateways that the steward has named.
    pub fn set_gateways(&self, gateways: Vec<gateway::Gateway>) {
        let paths = &mut self.lock().paths;
        let is_open = |count: &Arc<AtomicUsize>| count.load(Ordering::Relaxed) > 0;
        paths.tunnels.retain(|_, count| is_open(count));
        self.metrics.set_gateways(gateways.len());
        paths.gateways.replace(gateways);
    }

    /// The groups whose servers this instance doesn't reach, be it that they are down.
    #[must_use]
    pub fn unreached_groups(&self) -> BTreeSet<SmolStr> {
        self.lock().paths.unreached_groups.clone()
    }

    /// The groups whose servers this instance doesn't reach, though others do.
    #[must_use]
    pub fn lost_groups(&self) -> BTreeSet<SmolStr> {
        self.lock().paths.lost_groups.clone()
    }

    /// The secret by which instances prove to each other that they are instances, if it is known.
    #[must_use]
    pub fn tunnel_secret(&self) -> Option<Secret> {
        self.lock().paths.secret.clone()
    }

    /// Stores the secret that was read from the store, if there is one there.
    pub fn set_tunnel_secret(&self, secret: Option<Secret>) {
        let paths = &mut self.lock().paths;
        paths.needs_secret = false;
        paths.secret = secret.or(paths.secret.take());
    }

    /// The secret, which is generated if none is known.
    #[must_use]
    pub fn ensure_tunnel_secret(&self) -> Secret {
        let paths = &mut self.lock().paths;
        paths.secret.get_or_insert_with(generate_secret).clone()
    }

    /// Requests that the secret is read from the store: it isn't known, or another instance knows another one.
    pub fn request_secret(&self) {
        self.lock().paths.needs_secret = true;
    }

    /// Whether the secret has to be read from the store.
    #[must_use]
    pub fn needs_secret(&self) -> bool {
        self.lock().paths.needs_secret
    }
}

fn generate_secret() -> Secret {
    let mut bytes = [0; PROOF_BYTES];
    rand::rng().fill_bytes(&mut bytes);
    let digits = bytes.iter().map(|byte| format!("{byte:02x}"));
    Secret(digits.collect::<String>().into())
}

impl state::State {
    /// The groups for which a state of the paths to their servers holds.
    fn find_groups<F>(&self, has_state: F) -> BTreeSet<SmolStr>
    where
        F: Fn(&reach::Reach) -> bool,
    {
        let mut groups: BTreeMap<&SmolStr, (usize, usize)> = BTreeMap::new();
        for known in self.servers.values().filter(|known| known.server.ready) {
            let (count, all) = groups.entry(&known.server.group).or_default();
            *count += usize::from(has_state(&known.reach));
            *all += 1;
        }
        let groups = groups.into_iter();
        let groups = groups.filter(|(_, (count, all))| reach::holds_for_group(*count, *all));
        groups.map(|(group, _)| group.clone()).collect()
    }

    /// Where a process is found, if it is known and takes requests.
    pub(super) fn target(&self, process: &Process) -> Option<Target> {
        let known = self.servers.get(&process.server)?;
        let server = &known.server;
        if server.started_ms != process.started_ms || !server.ready {
            return None;
        }
        let group = self.config()?.groups.get(&server.group)?;
        Some(Target {
            process: process.clone(),
            address: server.address,
            connections: self.connections(group.connections),
            brittle: None,
        })
    }

    /// This instance's part of the connections that a server accepts from all instances.
    pub(super) fn connections(&self, all: usize) -> usize {
        (all / self.instances.count()).max(1)
    }
}
