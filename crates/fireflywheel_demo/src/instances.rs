//! The three daemons: their start, their readiness, their status.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use anyhow::Context as _;
use fireflywheel::{settings, status};
use fireflywheel_daemon::daemon;
use fireflywheel_standin::client;
use smol_str::{SmolStr, format_smolstr};

use crate::{configuration, platform, wait};

/// How many daemons there are.
pub const COUNT: usize = 3;

/// The balancer's delay of the demo.
pub const DRAIN_DELAY: Duration = Duration::from_millis(500);
const READY_LIMIT: Duration = Duration::from_secs(15);
const LOOPBACK: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// One running daemon.
#[derive(Debug)]
pub struct Instance {
    /// Its name.
    pub name: SmolStr,
    /// The daemon.
    pub daemon: daemon::Daemon,
}

impl Instance {
    /// Reads its status.
    ///
    /// # Errors
    ///
    /// When it doesn't answer.
    pub async fn status(&self) -> anyhow::Result<status::Status> {
        let url = format!("http://{}/v1/status", self.daemon.operator);
        client::Client::new().get(&url).await?.json()
    }

    async fn is_ready(&self) -> bool {
        let url = format!("http://{}/readyz", self.daemon.operator);
        let answer = client::Client::new().get(&url).await;
        answer.is_ok_and(|answer| answer.status.is_success())
    }
}

/// Starts the daemons, each in a failure domain of its own.
///
/// # Errors
///
/// When an address can't be bound.
pub async fn start(platform: &platform::Platform) -> anyhow::Result<Vec<Instance>> {
    let key = settings::Secret::new(&rand::random::<[u8; 32]>())?;
    let mut instances: Vec<Instance> = Vec::new();
    for number in 1..=COUNT {
        let seeds = instances.iter().map(|instance| instance.daemon.peer);
        let settings = settings(platform, number, seeds.collect());
        let settings::Instance {
            name,
            failure_domain,
            ..
        } = settings.instance.clone();
        let daemon = daemon::Daemon::start(settings, key.clone()).await?;
        platform.enlist(&name, &failure_domain, daemon.peer).await?;
        instances.push(Instance { name, daemon });
    }
    Ok(instances)
}

fn settings(
    platform: &platform::Platform,
    number: usize,
    seeds: Vec<SocketAddr>,
) -> settings::Settings {
    settings::Settings {
        instance: settings::Instance {
            name: format_smolstr!("demo-{number}"),
            failure_domain: format_smolstr!("fd{number}"),
            region: "loopback".into(),
        },
        listen: settings::Listen {
            caller: LOOPBACK,
            peer: LOOPBACK,
            operator: LOOPBACK,
            advertise: None,
        },
        platform: settings::Platform {
            log: platform.log.clone(),
            list: platform.list.clone(),
        },
        peers: settings::Peers {
            // Not read: the daemon gets the key itself.
            key_file: PathBuf::new(),
            seeds,
        },
        limits: settings::Limits::default(),
        timing: settings::Timing {
            list_interval: Duration::from_millis(200),
            report_interval: Duration::from_millis(100),
            drain_delay: DRAIN_DELAY,
            ..settings::Timing::default()
        },
        log: settings::Log::default(),
    }
}

/// Waits until all daemons may be sent callers.
///
/// # Errors
///
/// When one of them doesn't become ready in time.
pub async fn ready(instances: &[Instance]) -> anyhow::Result<()> {
    for instance in instances {
        let what = format!("{} to be ready", instance.name);
        wait::until(&what, READY_LIMIT, || async {
            instance.is_ready().await.then_some(())
        })
        .await?;
    }
    Ok(())
}

/// The name of the steward of the model engines, as one instance knows it.
///
/// # Errors
///
/// When there is none in time.
pub async fn steward(instance: &Instance) -> anyhow::Result<SmolStr> {
    wait::until("a steward of the model engines", READY_LIMIT, || async {
        let status = instance.status().await.ok()?;
        let mut stewards = status.stewards.into_iter();
        let steward = stewards.find(|steward| steward.group == configuration::ENGINES)?;
        Some(steward.by)
    })
    .await
}

/// Waits until all daemons hold this version of the configuration or a newer one.
///
/// # Errors
///
/// When one of them doesn't in time.
pub async fn in_force(instances: &[Instance], version: u64) -> anyhow::Result<()> {
    for instance in instances {
        let what = format!("version {version} in force at {}", instance.name);
        wait::until(&what, READY_LIMIT, || async {
            let status = instance.status().await.ok()?;
            (status.version >= version).then_some(())
        })
        .await?;
    }
    Ok(())
}

/// The versions in force now.
///
/// # Errors
///
/// When a daemon doesn't answer.
pub async fn versions(instances: &[Instance]) -> anyhow::Result<Vec<u64>> {
    let mut versions = Vec::new();
    for instance in instances {
        let status = instance.status().await.context("the status of a daemon")?;
        versions.push(status.version);
    }
    Ok(versions)
}
