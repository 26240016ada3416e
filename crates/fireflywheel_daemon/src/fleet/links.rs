//! Links between instances and the steward.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use anyhow::Context as _;
use bytes::Bytes;
use fireflywheel::clock;
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

use super::node;
use super::platform;
use super::steward;

/// A link without a frame for this long is dead: three heartbeats.
const SILENCE: Duration = Duration::from_millis(900);
/// How long a link may take to open.
const OPEN: Duration = Duration::from_millis(600);
/// Time between two tries to open a link.
const PAUSE: Duration = Duration::from_millis(200);
/// The same for each instance, if that is longer: a steward that comes to many gets some 250 links a second.
const PAUSE_AN_INSTANCE: Duration = Duration::from_millis(4);
/// It is no longer than this.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// Changes of demand that come together are told together.
const GATHER: Duration = Duration::from_millis(6);
/// Use of engines is told after this for each instance, so that the steward hears about as much from few as from many.
const LAZY_AN_INSTANCE: Duration = Duration::from_micros(600);
/// So many instances tell the steward of a later configuration than its own, on the average.
const TELLERS: f64 = 4.0;
/// The largest frame, in bytes.
const FRAME_LIMIT: usize = 4 << 20;

static NEXT_LINK: AtomicU64 = AtomicU64::new(0);

type Socket = WebSocketStream<TcpStream>;

/// Takes links of other instances, for ever.
pub async fn accept<P>(steward: Arc<steward::Steward<P>>, listener: TcpListener)
where
    P: platform::Platform,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            time::sleep(PAUSE).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let steward = Arc::clone(&steward);
        tokio::spawn(async move {
            let opened =
                time::timeout(OPEN, accept_async_with_config(stream, Some(limits()))).await;
            if let Ok(Ok(socket)) = opened {
                serve(&steward, socket).await;
            }
        });
    }
}

/// Tells the steward what this instance wants, whoever is steward, for ever.
pub async fn follow<P>(steward: Arc<steward::Steward<P>>)
where
    P: platform::Platform,
{
    let mut retry = link::Retry::default();
    loop {
        if steward.is_active() {
            let demand = steward.own_demand();
            steward.handle_own_demand(&demand);
            steward.update_demand(&steward.node.settings.instance, demand);
            let mut due = link::Timer::new(steward.node.now(), steward::HEARTBEAT_INTERVAL);
            wait_until(&mut due, &steward).await;
            if let Some(other) = steward.instance_to_query() {
                let result = connect(&steward, &other, OPEN).await;
                let why = result.err().map(|error| error.to_string());
                log::debug!(instance = other.instance.as_str(), why = why.unwrap_or_default().as_str(); "asked who is steward");
                if !steward.is_active() {
                    lose(&steward);
                }
            }
            continue;
        }
        if let Some(holder) = steward.remote_steward() {
            let result = connect(&steward, &holder, retry.connect_timeout(OPEN)).await;
            let why = result
                .err()
                .map_or_else(|| "ended".to_owned(), |error| error.to_string());
            let moved = steward.remote_steward().is_none_or(|other| other != holder);
            if moved || steward.is_linked() {
                retry.record_success();
            } else {
                retry.record_failure();
            }
            lose(&steward);
            log::info!(steward = holder.instance.as_str(), why = why.as_str(); "no link to the steward");
        }
        // One that can't read the lease from the store would otherwise have no steward as long as that lasts.
        if let Some(standby) = steward.standby() {
            let result = connect(&steward, &standby, OPEN).await;
            let why = result.err().map(|error| error.to_string());
            log::debug!(standby = standby.instance.as_str(), why = why.unwrap_or_default().as_str(); "standby asked");
            lose(&steward);
        }
        let pause = pause(steward.node.instances());
        time::sleep(retry.delay(pause, rand::random())).await;
    }
}

/// What the steward has read stands as long as it did, so that a change of steward doesn't make all instances read at once.
fn lose<P>(steward: &steward::Steward<P>)
where
    P: platform::Platform,
{
    steward.set_linked(false);
    steward.node.set_steward_link(false);
}

fn pause(instances: usize) -> Duration {
    let pause = PAUSE_AN_INSTANCE * u32::try_from(instances).unwrap_or(u32::MAX);
    pause.clamp(PAUSE, LONGEST_PAUSE)
}

/// Waits until a demand is due; what is wanted is told soon, what is used when it is convenient.
async fn wait_until<P>(due: &mut link::Timer, steward: &steward::Steward<P>)
where
    P: platform::Platform,
{
    let node = &steward.node;
    loop {
        let left = due.remaining(node.now());
        if left.is_zero() {
            *due = link::Timer::new(node.now(), steward::HEARTBEAT_INTERVAL);
            return;
        }
        tokio::select! {
            () = node.demand_changed.notified() => due.expire_within(node.now(), GATHER),
            () = node.usage_changed.notified() => due.expire_within(node.now(), lazily(node.instances())),
            () = time::sleep(left) => {}
        }
    }
}

/// Use of engines is told this much later: a steward with many instances would do nothing but listen.
fn lazily(instances: usize) -> Duration {
    let pause = LAZY_AN_INSTANCE * u32::try_from(instances).unwrap_or(u32::MAX);
    pause.clamp(GATHER, steward::HEARTBEAT_INTERVAL)
}

/// The steward's end of a link.
async fn serve<P>(steward: &Arc<steward::Steward<P>>, mut socket: Socket)
where
    P: platform::Platform,
{
    let hello = time::timeout(OPEN, receive(&mut socket)).await;
    let Ok(Ok(frame::Frame::Hello {
        instance,
        incarnation,
        address,
        cpu_share,
    })) = hello
    else {
        return;
    };
    let number = NEXT_LINK.fetch_add(1, Ordering::Relaxed);
    let key = SmolStr::new(format!("{instance}/{incarnation}"));
    let peer = lease::Record {
        instance: instance.clone(),
        incarnation,
        address,
        fencing: None,
        released: false,
        era: None,
    };
    let mut frames = steward.open_link(number, peer, cpu_share);
    let mut heard = steward.node.now();
    let why = loop {
        let silence = heard.after(SILENCE).since(steward.node.now());
        // What has come is looked at before the time: it may have waited here, and not at the other end.
        tokio::select! {
            biased;
            frame = receive(&mut socket) => {
                heard = steward.node.now();
                match frame {
                    Ok(frame::Frame::Demand(demand)) => {
                        learn_era(steward, demand.era);
                        steward.handle_demand(number, &demand);
                        steward.update_demand(&key, demand);
                    }
                    Ok(frame::Frame::Configuration(config)) => {
                        steward.node.apply_config(config, node::ConfigSource::Peer);
                        steward.wake.notify_one();
                    }
                    Ok(_) => {}
                    Err(_) => break "broken",
                }
            }
            frame = frames.recv() => {
                let Some(bytes) = frame else { break "too slow" };
                if write(&mut socket, bytes).await.is_err() {
                    break "not writable";
                }
            }
            () = time::sleep(silence) => break "silent",
        }
    };
    steward.close_link(number, &key, &instance);
    log::info!(instance = instance.as_str(), why = why; "link ended");
}

/// An instance's end of a link.
async fn connect<P>(
    steward: &steward::Steward<P>,
    holder: &lease::Record,
    patience: Duration,
) -> anyhow::Result<()>
where
    P: platform::Platform,
{
    let address = holder.address.as_str();
    let opening = async {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let url = format!("ws://{address}/");
        anyhow::Ok(
            client_async_with_config(url, stream, Some(limits()))
                .await?
                .0,
        )
    };
    let mut socket = time::timeout(patience, opening)
        .await
        .context("not opened in time")??;
    let hello = frame::Frame::Hello {
        instance: steward.node.settings.instance.clone(),
        incarnation: steward.node.incarnation,
        address: steward.node.settings.peers_advertised.to_string().into(),
        cpu_share: steward.node.settings.cpu_share,
    };
    send(&mut socket, &hello).await?;
    steward.node.link_opened();
    send(&mut socket, &frame::Frame::Demand(steward.own_demand())).await?;
    let mut heard = steward.node.now();
    let mut due = link::Timer::new(heard, steward::HEARTBEAT_INTERVAL);
    let mut sent = 0;
    loop {
        let silence = heard.after(SILENCE).since(steward.node.now());
        tokio::select! {
            biased;
            () = wait_until(&mut due, steward) => {
                send(&mut socket, &frame::Frame::Demand(steward.own_demand())).await?;
            }
            frame = receive(&mut socket) => {
                let frame = frame?;
                let heartbeat = matches!(frame, frame::Frame::Heartbeat { .. });
                take(steward, holder, frame)?;
                heard = steward.node.now();
                if heartbeat
                    && let Some(config) = steward.node.config_ahead(sent)
                    && rand::random_bool(told_by(steward.node.instances()))
                {
                    sent = config.version;
                    send(&mut socket, &frame::Frame::Configuration(config)).await?;
                }
            }
            () = time::sleep(silence) => anyhow::bail!("silent"),
        }
    }
}

fn learn_era<P>(steward: &steward::Steward<P>, era: Option<Era>)
where
    P: platform::Platform,
{
    if let Some(era) = era {
        steward.node.platform.learn_era(era);
    }
}

/// The chance with which an instance tells the steward of a later configuration after a heartbeat: most of them have it at the same time.
fn told_by(instances: usize) -> f64 {
    (TELLERS / instances.max(1) as f64).min(1.0)
}

fn take<P>(
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
            active: acts,
            ..
        } if incarnation != holder.incarnation => {
            steward.holder_ended(holder.incarnation);
            if acts {
                steward.redirect(lease::Record {
                    incarnation,
                    ..holder.clone()
                });
            }
            anyhow::bail!("another process answers in its place");
        }
        frame::Frame::Heartbeat { active: false, .. } => anyhow::bail!("it doesn't act as steward"),
        frame::Frame::Heartbeat {
            instances,
            lease_end,
            lease_era,
            era,
            config_version,
            read_age_ms: read_ms,
            stamp_ms,
            standbys_read,
            ..
        } => {
            learn_era(steward, era);
            let end = Position {
                era: lease_era,
                offset: lease_end,
            };
            if steward.is_active() && !steward.is_overtaken(holder, end) {
                anyhow::bail!("this instance has the lease");
            }
            steward.observe_steward(holder);
            steward.observe_lease_end(end);
            if standbys_read && steward.node.is_standby() {
                steward.node.steward_reads.send_replace(node::StewardReads {
                    version: config_version,
                    ..node::StewardReads::default()
                });
            } else {
                relayed(steward, config_version, read_ms, stamp_ms);
            }
            steward.node.extend_shares(clock::Instant(stamp_ms));
            steward.node.learn_instances(instances as usize);
            steward.set_linked(true);
            steward.node.set_steward_link(true);
        }
        frame::Frame::Held(holdings) => steward.node.learn_holdings(holdings),
        frame::Frame::AllEngines(whole) => steward.node.set_all_engines(whole),
        frame::Frame::Limits(notices) => steward.node.learn_limits(&notices),
        frame::Frame::Permits(replies) => steward.node.learn_permits(&replies),
        frame::Frame::Shares(shares) => steward.node.learn_shares(shares),
        frame::Frame::Load(loads) => steward.node.learn_load(&loads),
        frame::Frame::Forecast(forecasts) => steward.node.learn_forecasts(forecasts),
        frame::Frame::HandOver(given) => {
            steward.accept_hand_over(given);
            anyhow::bail!("it handed the lease over");
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
            steward
                .node
                .apply_config(config, node::ConfigSource::Steward);
        }
        frame::Frame::Directory(changes) => steward.node.learn_entries(changes),
        frame::Frame::Hello { .. } | frame::Frame::Demand(_) => {}
    }
    Ok(())
}

/// Takes the steward's reads of the store for this instance's own, as long as they are young.
fn relayed<P>(steward: &steward::Steward<P>, version: u64, read_ms: u32, stamp_ms: u64)
where
    P: platform::Platform,
{
    let settings = &steward.node.settings;
    let asked = clock::Instant(stamp_ms);
    let read_age = Duration::from_millis(read_ms.into());
    let until = link::reads_valid_until(
        steward.node.now(),
        asked,
        read_age,
        settings.leaving_deadline.min(settings.config_deadline),
    );
    if until.is_some() {
        steward.node.record_store_recovery();
    }
    let relayed = node::StewardReads {
        until,
        read: Some(asked.before(read_age)),
        version,
    };
    steward.node.steward_reads.send_replace(relayed);
}

async fn send(socket: &mut Socket, frame: &frame::Frame) -> anyhow::Result<()> {
    write(socket, frame.encode()).await
}

async fn write(socket: &mut Socket, bytes: Bytes) -> anyhow::Result<()> {
    let sending = socket.send(Message::Binary(bytes));
    time::timeout(SILENCE, sending)
        .await
        .context("not written in time")??;
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

fn limits() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(FRAME_LIMIT))
        .max_frame_size(Some(FRAME_LIMIT))
}
