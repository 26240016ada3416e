//! Runs the stand-ins for the systems that the daemons communicate with: the platform, the engines and the services.

use std::future::Future;
use std::net::SocketAddr;

use fireflywheel_standin::{client, engine, list, log, service, store};
use smol_str::{SmolStr, format_smolstr};
use tokio::{net::TcpListener, task::JoinSet};

use crate::configuration;

/// Number of model engines.
pub const ENGINE_COUNT: usize = 4;
/// Number of plain services.
pub const SERVICE_COUNT: usize = 2;

/// Time between two tokens of a stream, in microseconds.
const TOKEN_INTERVAL_US: u64 = 4_000;
/// Maximum number of requests that wait in an engine in addition to its slots.
const MAX_ENGINE_QUEUE: usize = 16;
const FETCH_MS: u64 = 200;
const FETCH_MS_PER_GB: u64 = 40;
/// Group of the daemons in the list of instances.
const ROUTER_GROUP: &str = "fireflywheel";
const LIST_LAG_MS: u64 = 200;
const REPORT_LAG_MS: u64 = 100;
const SERVICE_RUN_MS: u64 = 30;

/// The running stand-ins. Dropping this stops them.
#[derive(Debug)]
pub struct Platform {
    /// Base address of the log, such as `http://127.0.0.1:7000`.
    pub log: SmolStr,
    /// Base address of the list of instances.
    pub list: SmolStr,
    /// Base address of the weight store.
    pub store: SmolStr,
    /// Base addresses of the model engines.
    pub engines: Vec<SmolStr>,
    /// Base addresses of the plain services.
    pub services: Vec<SmolStr>,
    // Dropping the set stops the stand-ins.
    _servers: JoinSet<anyhow::Result<()>>,
}

/// The counts of all stand-ins.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Counts of each model engine.
    pub engines: Vec<engine::Counts>,
    /// Counts of each plain service.
    pub services: Vec<service::Counts>,
    /// Counts of the weight store.
    pub store: store::Counts,
    /// Counts of the log.
    pub log: log::Counts,
}

impl Platform {
    /// Starts all stand-ins on loopback, on ports that the system chooses.
    ///
    /// # Errors
    ///
    /// When no port is free.
    pub async fn start() -> anyhow::Result<Self> {
        let mut servers = JoinSet::new();
        let log = start(&mut servers, |listener| {
            log::serve(listener, log::Options::default())
        })
        .await?;
        let store = start(&mut servers, |listener| {
            store::serve(listener, store_options())
        })
        .await?;
        let mut engines = Vec::new();
        for _ in 0..ENGINE_COUNT {
            let options = engine_options(&store);
            engines.push(start(&mut servers, |listener| engine::serve(listener, options)).await?);
        }
        let mut services = Vec::new();
        for _ in 0..SERVICE_COUNT {
            let options = service::Options {
                run_ms: SERVICE_RUN_MS,
            };
            services.push(start(&mut servers, |listener| service::serve(listener, options)).await?);
        }
        let options = list_options(&engines, &services);
        let list = start(&mut servers, |listener| list::serve(listener, options)).await?;
        Ok(Self {
            log,
            list,
            store,
            engines,
            services,
            _servers: servers,
        })
    }

    /// Adds a daemon to the list of instances, as the platform does for each instance that it starts.
    ///
    /// # Errors
    ///
    /// When the list refuses the entry.
    pub async fn register(
        &self,
        name: &SmolStr,
        failure_domain: &SmolStr,
        peer: SocketAddr,
    ) -> anyhow::Result<()> {
        let entry = list::Instance {
            name: name.clone(),
            address: format_smolstr!("{peer}"),
            kind: list::Kind::Router,
            group: ROUTER_GROUP.into(),
            failure_domain: failure_domain.clone(),
            state: list::State::Live,
        };
        let url = format!("{}/v1/instances/{name}", self.list);
        let answer = client::Client::new()
            .put(&url, serde_json::to_vec(&entry)?)
            .await?;
        anyhow::ensure!(answer.status.is_success(), "the list refused {name}");
        Ok(())
    }

    /// Reads the counts of all stand-ins.
    ///
    /// # Errors
    ///
    /// When a stand-in doesn't answer.
    pub async fn read_counts(&self) -> anyhow::Result<Counts> {
        let client = client::Client::new();
        let mut counts = Counts {
            store: client.counts(&self.store).await?,
            log: client.counts(&self.log).await?,
            ..Counts::default()
        };
        for base in &self.engines {
            counts.engines.push(client.counts(base).await?);
        }
        for base in &self.services {
            counts.services.push(client.counts(base).await?);
        }
        Ok(counts)
    }
}

async fn start<F, S>(servers: &mut JoinSet<anyhow::Result<()>>, serve: S) -> anyhow::Result<SmolStr>
where
    F: Future<Output = anyhow::Result<()>> + Send + 'static,
    S: FnOnce(TcpListener) -> F,
{
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let base = format_smolstr!("http://{}", listener.local_addr()?);
    servers.spawn(serve(listener));
    Ok(base)
}

fn store_options() -> store::Options {
    store::Options {
        fetch_ms: FETCH_MS,
        ms_per_gb: FETCH_MS_PER_GB,
        ..store::Options::default()
    }
}

fn engine_options(store: &SmolStr) -> engine::Options {
    engine::Options {
        store: Some(store.clone()),
        fencing: engine::Fencing::Checked,
        slots: configuration::ENGINE_SLOTS as usize,
        queue: MAX_ENGINE_QUEUE,
        token_us: TOKEN_INTERVAL_US,
        report_lag_ms: REPORT_LAG_MS,
        ..engine::Options::default()
    }
}

fn list_options(engines: &[SmolStr], services: &[SmolStr]) -> list::Options {
    let engines = entries("engine", configuration::ENGINE_GROUP, engines);
    let services = entries("service", configuration::SERVICE_GROUP, services);
    list::Options {
        lag_ms: LIST_LAG_MS,
        instances: engines.chain(services).collect(),
    }
}

fn entries<'a>(
    name: &'a str,
    group: &'a str,
    bases: &'a [SmolStr],
) -> impl Iterator<Item = list::Instance> + 'a {
    bases
        .iter()
        .enumerate()
        .map(move |(index, base)| list::Instance {
            name: format_smolstr!("{name}-{index}"),
            address: base.trim_start_matches("http://").into(),
            kind: list::Kind::Backend,
            group: group.into(),
            failure_domain: format_smolstr!("fd{}", index + 1),
            state: list::State::Live,
        })
}
