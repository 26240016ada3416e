//! Links between instances and the steward: WebSocket connections that carry frames.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use anyhow::Context as _;
use bytes::Bytes;
use fireflywheel::clock;
use fireflywheel::fleet::availability;
use fireflywheel::fleet::config::update;
use fireflywheel::fleet::era::{Era, Position};
use fireflywheel::fleet::frame;
use fireflywheel::fleet::lease;
use fireflywheel::fleet::link;
use futures_util::{SinkExt as _, StreamExt as _};
use smol_str::SmolStr;
use tokio::net::{TcpListener, TcpStream};
use tokio::time;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::{WebSocketStream, accept_async_with_config, client_async_with_config};

use super::gateway;
use super::net;
use super::node;
use super::platform;
use super::steward;

/// A link that receives no frame for this long, which is three heartbeats, is considered dead.
const LINK_TIMEOUT: Duration = Duration::from_millis(900);
/// How long a link may take to open.
const OPEN_TIMEOUT: Duration = Duration::from_millis(600);
/// Minimum delay between two attempts to open a link.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);
/// The delay grows by this much per instance above that minimum, so that a new steward of many instances receives
/// about 250 links per second.
const RETRY_DELAY_PER_INSTANCE: Duration = Duration::from_millis(4);
/// Maximum delay between two attempts to open a link.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);
/// Changes of demand within this time are sent together.
const DEMAND_BATCH_DELAY: Duration = Duration::from_millis(6);
/// Delay per instance before a change in the use of engines is sent, so that the steward receives about as many
/// updates from many instances as from few.
const USAGE_DELAY_PER_INSTANCE: Duration = Duration::from_micros(600);
/// Average number of instances that send the steward a configuration newer than its own after a heartbeat.
const MEAN_CONFIG_SENDERS: f64 = 4.0;
/// Maximum size of a frame in bytes.
const MAX_FRAME_BYTES: usize = 4 << 20;

static NEXT_LINK_ID: AtomicU64 = AtomicU64::new(0);

type Socket = WebSocketStream<TcpStream>;

/// Accepts links from other instances. Never returns.
pub async fn accept<P>(steward: Arc<steward::Steward<P>>, listener: TcpListener)
where
    P: platform::Platform,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            time::sleep(MIN_RETRY_DELAY).await;
            continue;
        };
        net::configure(&stream);
        let steward = Arc::clone(&steward);
        tokio::spawn(async move {
            let opened = time::timeout(
                OPEN_TIMEOUT,
                accept_async_with_config(stream, Some(websocket_config())),
            )
            .await;
            if let Ok(Ok(socket)) = opened {
                serve(&steward, socket).await;
            }
        });
    }
}

/// Keeps a link to the current steward and sends it this instance's demand; while this instance is the active
/// steward, applies its demand directly. Never returns.
pub async fn follow_steward<P>(steward: Arc<steward::Steward<P>>)
where
    P: platform::Platform,
{
    let mut retry = link::Retry::default();
    loop {
        if steward.is_active() {
            let demand = steward.take_own_demand();
            steward.handle_own_demand(&demand);
            steward.update_demand(&steward.node.settings.instance, demand);
            let mut timer = link::Timer::new(steward.node.now(), steward::HEARTBEAT_INTERVAL);
            wait_for_demand(&mut timer, &steward).await;
            if let Some(other) = steward.instance_to_query() {
                let result = run_link(&steward, &other, OPEN_TIMEOUT).await;
                let why = result.err().map(|error| error.to_string());
                log::debug!(instance = other.instance.as_str(), why = why.unwrap_or_default().as_str(); "queried another instance for the current steward");
                if !steward.is_active() {
                    mark_unlinked(&steward);
                }
            }
            continue;
        }
        if let Some(holder) = steward.remote_steward() {
            let result = run_link(&steward, &holder, retry.connect_timeout(OPEN_TIMEOUT)).await;
            let why = result
                .err()
                .map_or_else(|| "ended".to_owned(), |error| error.to_string());
            let moved = steward.remote_steward().is_none_or(|other| other != holder);
            if moved || steward.is_linked() {
                retry.record_success();
            } else {
                retry.record_failure();
            }
            mark_unlinked(&steward);
            log::info!(steward = holder.instance.as_str(), why = why.as_str(); "no link to the steward");
        }
        // An instance that can't read the lease from the store learns the steward from a standby; otherwise it would
        // have none until the store answers again.
        if let Some(standby) = steward.random_standby() {
            let result = run_link(&steward, &standby, OPEN_TIMEOUT).await;
            let why = result.err().map(|error| error.to_string());
            log::debug!(standby = standby.instance.as_str(), why = why.unwrap_or_default().as_str(); "queried a standby for the current steward");
            mark_unlinked(&steward);
        }
        let delay = retry_delay(steward.node.instance_count());
        time::sleep(retry.delay(delay, rand::random())).await;
    }
}

/// Marks the link to the steward as closed. The steward's reads of the store stay valid as long as before, so that a
/// change of steward doesn't make all instances read the store at once.
fn mark_unlinked<P>(steward: &steward::Steward<P>)
where
    P: platform::Platform,
{
    steward.set_linked(false);
    steward.node.set_linked(false);
}

fn retry_delay(instances: usize) -> Duration {
    let delay = RETRY_DELAY_PER_INSTANCE * u32::try_from(instances).unwrap_or(u32::MAX);
    delay.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY)
}

/// Waits until the next demand has to be sent: shortly after a change of the demand, later after a change of usage,
/// and at each heartbeat interval.
async fn wait_for_demand<P>(timer: &mut link::Timer, steward: &steward::Steward<P>)
where
    P: platform::Platform,
{
    let node = &steward.node;
    loop {
        let left = timer.remaining(node.now());
        if left.is_zero() {
            *timer = link::Timer::new(node.now(), steward::HEARTBEAT_INTERVAL);
            return;
        }
        tokio::select! {
            () = node.demand_changed.notified() => timer.expire_within(node.now(), DEMAND_BATCH_DELAY),
            () = node.usage_changed.notified() => timer.expire_within(node.now(), usage_delay(node.instance_count())),
            () = time::sleep(left) => {}
        }
    }
}

/// Returns the delay before a change in the use of engines is sent. Without it, a steward with many instances would
/// do nothing but process such updates.
fn usage_delay(instances: usize) -> Duration {
    let delay = USAGE_DELAY_PER_INSTANCE * u32::try_from(instances).unwrap_or(u32::MAX);
    delay.clamp(DEMAND_BATCH_DELAY, steward::HEARTBEAT_INTERVAL)
}

/// Runs the accepting end of a link.
async fn serve<P>(steward: &Arc<steward::Steward<P>>, mut socket: Socket)
where
    P: platform::Platform,
{
    let hello = time::timeout(OPEN_TIMEOUT, receive(&mut socket)).await;
    let (instance, incarnation, address, cpu_share, failure_domain, shares_facts) = match hello {
        Ok(Ok(frame::Frame::Hello {
            instance,
            incarnation,
            address,
            cpu_share,
            failure_domain,
            shares_facts,
        })) => (
            instance,
            incarnation,
            address,
            cpu_share,
            failure_domain,
            shares_facts,
        ),
        Ok(Ok(frame::Frame::Tunnel(opener))) => {
            gateway::serve(&steward.node, socket, opener).await;
            return;
        }
        Ok(Ok(frame::Frame::Facts(facts))) => {
            steward.node.merge_facts(&facts, true);
            let answer = frame::Frame::Facts(steward.node.facts());
            if let Err(error) = send(&mut socket, &answer).await {
                log::debug!(why = error.to_string().as_str(); "facts not sent");
            }
            return;
        }
        Ok(Ok(frame::Frame::OriginQueries(queries))) => {
            let answer = frame::Frame::Origins(steward.answer_by_kept(queries));
            if let Err(error) = send(&mut socket, &answer).await {
                log::debug!(why = error.to_string().as_str(); "origins not sent");
            }
            return;
        }
        _ => return,
    };
    let link_id = NEXT_LINK_ID.fetch_add(1, Ordering::Relaxed);
    let process_key = SmolStr::new(format!("{instance}/{incarnation}"));
    let peer = lease::Record {
        instance: instance.clone(),
        incarnation,
        address,
        fencing: None,
        released: false,
        era: None,
    };
    let mut frames = steward.open_link(link_id, peer, cpu_share, failure_domain, shares_facts);
    let mut last_received = steward.node.now();
    let mut config_update = update::Assembly::default();
    let why = loop {
        let timeout = last_received.after(LINK_TIMEOUT).since(steward.node.now());
        // Received frames are handled before the timeout: they may have been delayed here, and not at the peer.
        tokio::select! {
            biased;
            frame = receive(&mut socket) => {
                last_received = steward.node.now();
                match frame {
                    Ok(frame::Frame::Demand(demand)) => {
                        observe_era(steward, demand.era);
                        // A demand that was longer on its way would have ended the link.
                        let earliest = last_received.before(LINK_TIMEOUT);
                        steward.node.merge_store_report(earliest, demand.era, demand.store);
                        steward.handle_demand(link_id, &demand);
                        steward.update_demand(&process_key, demand);
                    }
                    Ok(frame::Frame::Configuration(config)) => {
                        let source = node::ConfigSource::Peer;
                        steward.node.apply_unnumbered_config(config, source);
                        steward.plan_wake.notify_one();
                    }
                    Ok(frame::Frame::ConfigUpdate(part)) => {
                        let source = node::ConfigSource::Peer;
                        steward.node.add_config_part(&mut config_update, part, source);
                        steward.plan_wake.notify_one();
                    }
                    Ok(_) => {}
                    Err(_) => break "broken",
                }
            }
            frame = frames.recv() => {
                let Some(bytes) = frame else { break "send queue full" };
                if write(&mut socket, bytes).await.is_err() {
                    break "write failed";
                }
            }
            () = time::sleep(timeout) => break "silent",
        }
    };
    steward.close_link(link_id, &process_key, &instance);
    log::info!(instance = instance.as_str(), why = why; "link ended");
}

/// Sends another instance a frame on a connection of its own, and returns the answer.
///
/// # Errors
///
/// Returns an error if there is none.
pub async fn ask<N>(
    network: &N,
    address: &str,
    frame: &frame::Frame,
) -> anyhow::Result<frame::Frame>
where
    N: net::Network,
{
    let mut socket = open(network, address).await?;
    send(&mut socket, frame).await?;
    receive(&mut socket).await
}

async fn open<N>(network: &N, address: &str) -> anyhow::Result<Socket>
where
    N: net::Network,
{
    let stream = network.connect_peer(address.parse()?).await?;
    net::configure(&stream);
    let url = format!("ws://{address}/");
    let opened = client_async_with_config(url, stream, Some(websocket_config())).await?;
    Ok(opened.0)
}

/// Opens a link to `holder` and runs the connecting end of it until the link ends.
async fn run_link<P>(
    steward: &steward::Steward<P>,
    holder: &lease::Record,
    open_timeout: Duration,
) -> anyhow::Result<()>
where
    P: platform::Platform,
{
    let network = steward.node.platform.network();
    let mut socket = time::timeout(open_timeout, open(network, &holder.address))
        .await
        .context("link did not open in time")??;
    let hello = frame::Frame::Hello {
        instance: steward.node.settings.instance.clone(),
        incarnation: steward.node.incarnation,
        address: steward.node.settings.peers_advertised.to_string().into(),
        cpu_share: steward.node.settings.cpu_share,
        failure_domain: steward.node.settings.failure_domain.clone(),
        shares_facts: true,
    };
    send(&mut socket, &hello).await?;
    steward.node.link_opened();
    steward.node.report_kept(steward.kept_streams());
    send(
        &mut socket,
        &frame::Frame::Demand(steward.take_own_demand()),
    )
    .await?;
    let mut last_received = steward.node.now();
    let mut timer = link::Timer::new(last_received, steward::HEARTBEAT_INTERVAL);
    let mut sent_version = 0;
    let mut config_update = update::Assembly::default();
    loop {
        let timeout = last_received.after(LINK_TIMEOUT).since(steward.node.now());
        tokio::select! {
            biased;
            () = wait_for_demand(&mut timer, steward) => {
                send(&mut socket, &frame::Frame::Demand(steward.take_own_demand())).await?;
            }
            frame = receive(&mut socket) => {
                let frame = frame?;
                let heartbeat = matches!(frame, frame::Frame::Heartbeat { .. });
                if let frame::Frame::ConfigUpdate(part) = frame {
                    let source = node::ConfigSource::Steward;
                    steward.node.add_config_part(&mut config_update, part, source);
                } else {
                    handle_frame(steward, holder, frame)?;
                }
                last_received = steward.node.now();
                if heartbeat
                    && steward.node.has_config_newer_than_steward(sent_version)
                    && rand::random_bool(config_send_probability(steward.node.instance_count()))
                {
                    sent_version = send_config(steward, &mut socket).await?;
                }
            }
            () = time::sleep(timeout) => anyhow::bail!("silent"),
        }
    }
}

/// Sends the steward the update from its configuration to this instance's, and returns the version. The steward of a
/// release that accepts no updates reads the store for itself.
async fn send_config<P>(steward: &steward::Steward<P>, socket: &mut Socket) -> anyhow::Result<u64>
where
    P: platform::Platform,
{
    let configs = steward.node.configs();
    let version = configs.newest().map_or(0, |newest| newest.revision.version);
    let Some(known) = steward.node.steward_reads.borrow().config else {
        return Ok(version);
    };
    for part in configs.update_from(Some(known)) {
        send(socket, &frame::Frame::ConfigUpdate(part)).await?;
    }
    Ok(version)
}

fn observe_era<P>(steward: &steward::Steward<P>, era: Option<Era>)
where
    P: platform::Platform,
{
    if let Some(era) = era {
        steward.node.platform.observe_era(era);
    }
}

/// Returns the probability with which an instance sends the steward a newer configuration after a heartbeat. Most
/// instances have that configuration at the same time, and few need to send it.
fn config_send_probability(instances: usize) -> f64 {
    (MEAN_CONFIG_SENDERS / instances.max(1) as f64).min(1.0)
}

/// Handles a frame from the steward. An error ends the link.
fn handle_frame<P>(
    steward: &steward::Steward<P>,
    holder: &lease::Record,
    frame: frame::Frame,
) -> anyhow::Result<()>
where
    P: platform::Platform,
{
    match frame {
        frame::Frame::Heartbeat {
            incarnation,
            active,
            ..
        } if incarnation != holder.incarnation => {
            steward.holder_ended(holder.incarnation);
            if active {
                steward.redirect(lease::Record {
                    incarnation,
                    ..holder.clone()
                });
            }
            anyhow::bail!("another process has replaced the instance");
        }
        frame::Frame::Heartbeat { active: false, .. } => {
            anyhow::bail!("the instance is not the active steward")
        }
        frame::Frame::Heartbeat {
            instances,
            lease_end,
            lease_era,
            era,
            config_version,
            read_age_ms,
            stamp_ms,
            standbys_must_read,
            config,
            store,
            ..
        } => {
            observe_era(steward, era);
            let demand_sent = clock::Instant(stamp_ms);
            if stamp_ms > 0 {
                let report = store.or_else(|| read_report(read_age_ms));
                steward.node.merge_store_report(demand_sent, era, report);
            }
            let end = Position {
                era: lease_era,
                offset: lease_end,
            };
            if steward.is_active() && !steward.check_overtaken(holder, end) {
                anyhow::bail!("this instance holds the lease");
            }
            steward.observe_steward(holder);
            steward.observe_lease_end(end);
            let announced = node::StewardReads {
                version: config_version,
                config,
                ..node::StewardReads::default()
            };
            if standbys_must_read && steward.node.is_standby() {
                steward.node.set_steward_reads(announced);
            } else {
                let read_age = Duration::from_millis(read_age_ms.into());
                update_steward_reads(steward, announced, read_age, demand_sent);
            }
            steward.node.extend_shares(demand_sent);
            steward.node.update_instance_count(instances as usize);
            steward.set_linked(true);
            steward.node.set_linked(true);
            steward.node.record_informed();
        }
        frame::Frame::Held(holdings) => steward.node.update_holdings(holdings),
        frame::Frame::AllEngines(complete) => steward.node.set_all_engines(complete),
        frame::Frame::Limits(notices) => steward.node.update_limits(&notices),
        frame::Frame::Permits(replies) => steward.node.handle_permit_replies(&replies),
        frame::Frame::Shares(shares) => steward.node.replace_shares(shares),
        frame::Frame::Load(loads) => steward.node.replace_loads(&loads),
        frame::Frame::Forecast(forecasts) => steward.node.replace_forecasts(forecasts),
        frame::Frame::HandOver(hand_over) => {
            steward.accept_hand_over(&hand_over);
            anyhow::bail!("the steward handed the lease over");
        }
        frame::Frame::Moved(holder) => {
            steward.holder_moved(holder);
            anyhow::bail!("another instance is steward");
        }
        frame::Frame::Steward(holder) => {
            if steward.is_active() {
                steward.record_rival(holder);
            } else {
                steward.redirect(holder);
            }
            anyhow::bail!("another instance is steward");
        }
        frame::Frame::Standbys(standbys) => steward.set_standbys(standbys),
        frame::Frame::Configuration(config) => {
            let source = node::ConfigSource::Steward;
            steward.node.apply_unnumbered_config(config, source);
        }
        frame::Frame::Directory(changes) => steward.node.apply_directory_changes(changes),
        frame::Frame::Gateways(gateways) => steward.node.set_gateways(gateways),
        frame::Frame::Versions(versions) => steward.node.extend_versions(&versions),
        frame::Frame::Origins(replies) => steward.node.handle_origin_replies(replies),
        frame::Frame::Streams(records) => steward.keep_streams(records),
        frame::Frame::Facts(facts) => steward.node.merge_facts(&facts, false),
        frame::Frame::Trials(replies) => steward.node.handle_trials(&replies),
        frame::Frame::Hello { .. }
        | frame::Frame::Demand(_)
        | frame::Frame::ConfigUpdate(_)
        | frame::Frame::OriginQueries(_)
        | frame::Frame::Tunnel(_) => {}
    }
    Ok(())
}

/// What a steward whose release reports nothing of the store tells by the age of its reads; `None` if it has made none.
fn read_report(read_age_ms: u32) -> Option<availability::Report> {
    (read_age_ms < u32::MAX).then_some(availability::Report {
        since_ms: read_age_ms,
        last_ms: read_age_ms,
        is_after_outage: false,
    })
}

/// Records the steward's reads of the store, which replace this instance's own as long as they are recent.
fn update_steward_reads<P>(
    steward: &steward::Steward<P>,
    announced: node::StewardReads,
    read_age: Duration,
    demand_sent: clock::Instant,
) where
    P: platform::Platform,
{
    let settings = &steward.node.settings;
    let valid_until = link::reads_valid_until(
        steward.node.now(),
        demand_sent,
        read_age,
        settings.leaving_deadline.min(settings.config_deadline),
    );
    if valid_until.is_some() {
        steward.node.record_store_recovery();
    }
    let reads = node::StewardReads {
        valid_until,
        read: Some(demand_sent.before(read_age)),
        ..announced
    };
    steward.node.set_steward_reads(reads);
}

async fn send(socket: &mut Socket, frame: &frame::Frame) -> anyhow::Result<()> {
    write(socket, frame.encode()).await
}

async fn write(socket: &mut Socket, bytes: Bytes) -> anyhow::Result<()> {
    let sending = socket.send(Message::Binary(bytes));
    time::timeout(LINK_TIMEOUT, sending)
        .await
        .context("write timed out")??;
    Ok(())
}

async fn receive(socket: &mut Socket) -> anyhow::Result<frame::Frame> {
    loop {
        match socket.next().await.context("closed")?? {
            Message::Binary(bytes) => return Ok(ciborium::from_reader(bytes.as_ref())?),
            Message::Close(_) => anyhow::bail!("closed"),
            Message::Text(_) | Message::Ping(_) | Message::Pong(_) | Message::Frame(_) => {}
        }
    }
}

fn websocket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
}
