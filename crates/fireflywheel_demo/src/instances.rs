//! Starts the three daemons and reads their readiness and status.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use anyhow::Context as _;
use fireflywheel::{settings, status};
use fireflywheel_daemon::daemon;
use fireflywheel_standin::client;
use smol_str::{SmolStr, format_smolstr};

use crate::{configuration, platform, wait};

/// Number of daemons.
pub const COUNT: usize = 3;

/// Drain delay: how long a stopping daemon continues to accept requests while the load balancer takes it out.
pub const DRAIN_DELAY: Duration = Duration::from_millis(500);
const STATUS_TIMEOUT: Duration = Duration::from_secs(15);
const LOOPBACK: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// A running daemon.
#[derive(Debug)]
pub struct Instance {
    /// Name of the instance.
    pub name: SmolStr,
    /// Daemon of the instance.
    pub daemon: daemon::Daemon,
}

impl Instance {
    /// Reads the status of the daemon.
    ///
    /// # Errors
    ///
    /// When the daemon doesn't answer.
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

/// Starts the daemons, each in a separate failure domain.
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
        platform
            .register(&name, &failure_domain, daemon.peer)
            .await?;
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
            // The file is not read, because the key is passed to the daemon directly.
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

/// Waits until all daemons are ready for callers.
///
/// # Errors
///
/// When a daemon doesn't become ready in time.
pub async fn wait_until_ready(instances: &[Instance]) -> anyhow::Result<()> {
    for instance in instances {
        let what = format!("{} to be ready", instance.name);
        wait::until(&what, STATUS_TIMEOUT, || async {
            instance.is_ready().await.then_some(())
        })
        .await?;
    }
    Ok(())
}

/// Waits for a steward of the model engines, and returns its name as this instance knows it.
///
/// # Errors
///
/// When the instance knows no steward in time.
pub async fn find_steward(instance: &Instance) -> anyhow::Result<SmolStr> {
    wait::until("a steward of the model engines", STATUS_TIMEOUT, || async {
        let status = instance.status().await.ok()?;
        let mut stewards = status.stewards.into_iter();
        let steward = stewards.find(|steward| steward.group == configuration::ENGINE_GROUP)?;
        Some(steward.by)
    })
    .await
}

/// Waits until all daemons have this version of the configuration, or a newer one, in force.
///
/// # Errors
///
/// When a daemon doesn't have it in force in time.
pub async fn wait_until_in_force(instances: &[Instance], version: u64) -> anyhow::Result<()> {
    for instance in instances {
        let what = format!("version {version} in force at {}", instance.name);
        wait::until(&what, STATUS_TIMEOUT, || async {
            let status = instance.status().await.ok()?;
            (status.version >= version).then_some(())
        })
        .await?;
    }
    Ok(())
}

/// Returns the configuration version that each daemon has in force.
///
/// # Errors
///
/// When a daemon doesn't answer.
pub async fn read_versions(instances: &[Instance]) -> anyhow::Result<Vec<u64>> {
    let mut versions = Vec::new();
    for instance in instances {
        let status = instance.status().await.context("the status of a daemon")?;
        versions.push(status.version);
    }
    Ok(versions)
}
