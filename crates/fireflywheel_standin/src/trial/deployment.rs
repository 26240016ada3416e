//! Runs a store, workers and instances as processes, with a proxy on each link.

mod launch;

pub use launch::CRASH_PART;

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use std::{env, fs, process};

use anyhow::Context as _;
use smol_str::{SmolStr, format_smolstr};
use tokio::task::JoinSet;
use tokio::time;

use super::book::Book;
use super::proxy::{Flow, Proxy};
use super::script::{Action, LEAVING_PERIOD, LinkFault, LinkId};
use crate::process::Child;
use crate::site::configuration;
use crate::site::store::{CONFIG, record};
use crate::{client, fault};

/// Loads per second that the weight store allows.
pub const LOADS_PER_SECOND: f64 = 5.0;
/// A trial fails if an instance does not exit within this time.
const STOP_TIMEOUT: Duration = Duration::from_secs(60);
/// A trial fails if an instance does not become ready within this time.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// Time between two readiness or connection checks.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How long the operator waits for an answer of the store.
const OPERATOR_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit of a readiness check of an instance and of a fault request to a worker.
const CONTROL_REQUEST_TIMEOUT: Duration = Duration::from_millis(200);

/// Options of a deployment.
#[derive(Clone, Debug)]
pub struct Options {
    /// Program of the instances.
    pub program: PathBuf,
    /// Number of instances.
    pub instances: usize,
    /// Number of workers that are model engines.
    pub engines: usize,
    /// Number of workers that are plain services.
    pub services: usize,
    /// Number of models. They are named `m1`, `m2` and so on.
    pub models: usize,
    /// Additional arguments of the engines' program.
    pub engine_args: Vec<String>,
    /// Software versions of the engines. Without them, each restart of an engine changes between two versions.
    pub versions: Vec<u64>,
    /// Log level of the instances.
    pub log_level: &'static str,
    /// Folder for the instances' logs, one file each. Without it, the logs are discarded.
    pub logs: Option<PathBuf>,
}

/// Resource usage of the processes of all instances.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// Processor time.
    pub cpu_time: Duration,
    /// Lines written to the logs.
    pub log_lines: u64,
    /// Bytes written to the logs.
    pub log_bytes: u64,
}

impl Usage {
    /// The usage since `earlier`.
    #[must_use]
    pub fn since(self, earlier: Self) -> Self {
        Self {
            cpu_time: self.cpu_time.saturating_sub(earlier.cpu_time),
            log_lines: self.log_lines - earlier.log_lines,
            log_bytes: self.log_bytes - earlier.log_bytes,
        }
    }
}

/// A running deployment. Dropping it kills its processes.
#[derive(Debug)]
pub struct Deployment {
    options: Options,
    store: Child,
    store_address: SocketAddr,
    /// Address that the instances listen on.
    host: Ipv4Addr,
    client: client::Client,
    folder: TempFolder,
    instances: Vec<Instance>,
    workers: Vec<Worker>,
    /// Engines that releases have replaced and that still run.
    replaced: Vec<Worker>,
    output_readers: JoinSet<()>,
    log_lines: Arc<AtomicU64>,
    log_bytes: Arc<AtomicU64>,
    book: Arc<Mutex<Book>>,
    /// Newest configuration version that the store has accepted.
    accepted_version: u64,
    /// Newest configuration version that was sent.
    sent_version: u64,
}

#[derive(Debug)]
struct Instance {
    child: Option<Child>,
    callers: Proxy,
    peers: Proxy,
    store: Proxy,
    ready_address: Option<SocketAddr>,
    incarnation: u64,
    is_stopping: bool,
}

#[derive(Debug)]
struct Worker {
    child: Option<Child>,
    link: Proxy,
    is_engine: bool,
    /// Number of the software version, if it doesn't change at each restart.
    version: Option<u64>,
    incarnation: u64,
    id: SmolStr,
    /// When the worker announced that it leaves.
    leaving_since: Option<time::Instant>,
    /// When it was found to have crashed, until the next one starts.
    crashed_at: Option<time::Instant>,
}

#[derive(Debug)]
struct TempFolder(PathBuf);

impl Drop for TempFolder {
    fn drop(&mut self) {
        // Files that stay in the folder for temporary files do no harm.
        let _ = fs::remove_dir_all(&self.0);
    }
}

impl Deployment {
    /// Starts a store with a first configuration, the workers and the instances.
    ///
    /// # Errors
    /// When a process can't be started.
    pub async fn start(options: Options, book: Arc<Mutex<Book>>) -> anyhow::Result<Self> {
        let store = Child::start("fireflywheel_standin", ["site-store"]).await?;
        let folder = TempFolder(env::temp_dir().join(format!(
            "fireflywheel-trial-{}-{}",
            process::id(),
            store.id()
        )));
        fs::create_dir_all(&folder.0)?;
        let mut deployment = Self {
            store_address: store.address("listening"),
            host: launch::unique_loopback_host(store.id()),
            store,
            client: client::Client::new(),
            folder,
            instances: Vec::new(),
            workers: Vec::new(),
            replaced: Vec::new(),
            output_readers: JoinSet::new(),
            log_lines: Arc::default(),
            log_bytes: Arc::default(),
            book,
            accepted_version: 0,
            sent_version: 0,
            options,
        };
        deployment.publish_next_config().await;
        for index in 0..deployment.options.engines + deployment.options.services {
            deployment.add_worker(index).await?;
        }
        for _ in 0..deployment.options.instances {
            deployment.add_instance().await?;
        }
        Ok(deployment)
    }

    /// The address for callers of each instance.
    #[must_use]
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        let instances = self.instances.iter();
        instances
            .map(|instance| instance.callers.address())
            .collect()
    }

    /// The loopback address of the instances. It is unique to the deployment, so that no other process takes a port
    /// there.
    #[must_use]
    pub fn host(&self) -> Ipv4Addr {
        self.host
    }

    /// How many times an instance was started.
    #[must_use]
    pub fn incarnation(&self, instance: usize) -> u64 {
        self.instances[instance].incarnation
    }

    /// Number of running engines of each software version that haven't announced that they leave.
    #[must_use]
    pub fn serving(&self) -> BTreeMap<SmolStr, usize> {
        let mut serving = BTreeMap::new();
        let is_serving =
            |worker: &&Worker| worker.child.is_some() && worker.leaving_since.is_none();
        for worker in self.workers.iter().filter(is_serving) {
            let version = worker.version.unwrap_or_default();
            *serving.entry(format_smolstr!("v{version}")).or_default() += 1;
        }
        serving
    }

    /// The newest configuration version that the store has accepted.
    #[must_use]
    pub fn accepted_version(&self) -> u64 {
        self.accepted_version
    }

    /// The processor time of the running processes of instances, and the log output of all that were started.
    ///
    /// # Errors
    /// When the processor time can't be read.
    pub fn usage(&self) -> anyhow::Result<Usage> {
        let mut usage = Usage {
            cpu_time: Duration::ZERO,
            log_lines: self.log_lines.load(Ordering::Relaxed),
            log_bytes: self.log_bytes.load(Ordering::Relaxed),
        };
        let instances = self.instances.iter();
        for child in instances.filter_map(|instance| instance.child.as_ref()) {
            usage.cpu_time += child.processor_time()?;
        }
        Ok(usage)
    }

    /// Waits until all instances are ready.
    ///
    /// # Errors
    /// When an instance does not become ready in time.
    pub async fn wait_ready(&self) -> anyhow::Result<()> {
        let deadline = time::Instant::now() + READY_TIMEOUT;
        for index in 0..self.instances.len() {
            while !self.is_ready(index).await {
                anyhow::ensure!(
                    time::Instant::now() < deadline,
                    "instance {index} did not become ready within {READY_TIMEOUT:?}"
                );
                time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Whether an instance reports that it is ready.
    pub async fn is_ready(&self, instance: usize) -> bool {
        let Some(address) = self.instances[instance].ready_address else {
            return false;
        };
        let url = format!("http://{address}/v1/ready");
        let answer = self.client.get(&url);
        matches!(time::timeout(CONTROL_REQUEST_TIMEOUT, answer).await, Ok(Ok(answer)) if answer.status.is_success())
    }

    /// Carries out an action. Skips an action that does not apply, such as a pause of a process that has ended.
    ///
    /// # Errors
    /// When a process can't be started, or the store can't be reached.
    pub async fn apply(&mut self, action: Action) -> anyhow::Result<()> {
        match action {
            Action::Kill(index) => self.kill_instance(index).await?,
            Action::Stop(index) => {
                let instance = &mut self.instances[index];
                instance.is_stopping |= instance.child.is_some();
                send_signal(&instance.child, Child::terminate);
            }
            Action::Start(index) => {
                self.kill_instance(index).await?;
                self.start_instance(index).await?;
            }
            Action::RestartAfterExit(index) => {
                if let Some(child) = &mut self.instances[index].child {
                    time::timeout(STOP_TIMEOUT, child.wait())
                        .await
                        .context("the instance did not exit in time")??;
                }
                self.kill_instance(index).await?;
                self.start_instance(index).await?;
            }
            Action::Pause(index) => send_signal(&self.instances[index].child, Child::pause),
            Action::Resume(index) => send_signal(&self.instances[index].child, Child::resume),
            Action::Reload(index) => send_signal(&self.instances[index].child, Child::reload),
            Action::KillWorker(index) => self.kill_worker(index).await?,
            Action::StartWorker(index, same) => {
                self.kill_worker(index).await?;
                self.start_worker(index, same).await?;
            }
            Action::PauseWorker(index) => send_signal(&self.workers[index].child, Child::pause),
            Action::ResumeWorker(index) => send_signal(&self.workers[index].child, Child::resume),
            Action::AnnounceLeaving(index) => {
                self.workers[index]
                    .leaving_since
                    .get_or_insert_with(time::Instant::now);
                let change = fault::Change::new().with_leaving(true);
                self.set_worker_faults(&self.workers[index], &change).await;
            }
            Action::Upgrade(index, version) => self.upgrade_worker(index, version).await?,
            Action::EndReplaced => self.end_replaced(LEAVING_PERIOD).await?,
            Action::ReplaceWorker(index) => {
                let leaving_since = self.workers[index].leaving_since;
                if leaving_since.is_some_and(|since| since.elapsed() >= LEAVING_PERIOD) {
                    self.kill_worker(index).await?;
                    self.start_worker(index, false).await?;
                }
            }
            Action::LoseWorkerAnswers(index, count) => {
                let change = fault::Change::new().with_lose_answers(count);
                self.set_worker_faults(&self.workers[index], &change).await;
            }
            Action::EndAnswersUnstated(index, count) => {
                let change = fault::Change::new().with_end_unstated(count);
                self.set_worker_faults(&self.workers[index], &change).await;
            }
            Action::BreakLink(link, fault) => self.proxy(link).inject(fault),
            Action::HealLink(link) => self.proxy(link).heal(),
            Action::SetStoreOutage(is_out) => {
                self.set_store_faults(&fault::Change::new().with_outage(is_out))
                    .await?;
            }
            Action::DelayStore(delay) => {
                let ms = u64::try_from(delay.as_millis())?;
                self.set_store_faults(&fault::Change::new().with_slow_ms(ms))
                    .await?;
            }
            Action::LoseStoreAnswers(count) => {
                let change = fault::Change::new().with_lose_answers(count);
                self.set_store_faults(&change).await?;
            }
            Action::RestoreStore(age) => self.restore_store(age).await,
            Action::PublishConfig => self.publish_next_config().await,
            Action::RepublishConfig => {
                self.publish_config(self.accepted_version).await;
            }
        }
        Ok(())
    }

    /// Ends all faults, and starts the processes that have ended.
    ///
    /// # Errors
    /// When a process can't be started, or the store can't be reached.
    pub async fn heal(&mut self) -> anyhow::Result<()> {
        let change = fault::Change::new().with_outage(false).with_slow_ms(0);
        self.set_store_faults(&change.with_lose_answers(0)).await?;
        self.end_replaced(Duration::ZERO).await?;
        for index in 0..self.workers.len() {
            if let Some(since) = self.workers[index].leaving_since {
                // Requests may still be on their way to a worker that has just announced that it leaves.
                time::sleep_until(since + LEAVING_PERIOD).await;
                self.kill_worker(index).await?;
            }
            let worker = &mut self.workers[index];
            worker.link.heal();
            worker.crashed_at = None;
            if worker.child.as_mut().is_some_and(Child::has_ended) {
                worker.child = None;
            }
            send_signal(&worker.child, Child::resume);
            self.start_worker(index, true).await?;
        }
        for index in 0..self.instances.len() {
            for link in [
                LinkId::Callers(index),
                LinkId::Peers(index),
                LinkId::Store(index),
            ] {
                self.proxy(link).heal();
            }
            send_signal(&self.instances[index].child, Child::resume);
            if self.instances[index].is_stopping {
                self.kill_instance(index).await?;
            }
            self.start_instance(index).await?;
        }
        Ok(())
    }

    /// Records a violation for each instance that has exited without being asked to.
    pub fn check_exits(&mut self) {
        for (index, instance) in self.instances.iter_mut().enumerate() {
            let Some(child) = instance.child.as_mut().filter(|_| !instance.is_stopping) else {
                continue;
            };
            if child.has_ended() {
                let violation = format!("instance {index} ended by itself: {}", child.stderr());
                self.book
                    .lock()
                    .expect("no panic under the lock")
                    .record_violation(violation);
                instance.child = None;
            }
        }
    }

    /// Kills all processes, and waits until their output has been read.
    ///
    /// # Errors
    /// When a process can't be killed.
    pub async fn stop(mut self) -> anyhow::Result<()> {
        for index in 0..self.instances.len() {
            self.kill_instance(index).await?;
        }
        for index in 0..self.workers.len() {
            self.kill_worker(index).await?;
        }
        self.end_replaced(Duration::ZERO).await?;
        self.store.kill().await?;
        while self.output_readers.join_next().await.is_some() {}
        Ok(())
    }

    // ---- Operator ----

    /// Publishes the next configuration version.
    async fn publish_next_config(&mut self) {
        self.sent_version += 1;
        if self.publish_config(self.sent_version).await {
            self.accepted_version = self.sent_version;
        }
    }

    /// Publishes a configuration version. Returns whether the store has confirmed it.
    async fn publish_config(&self, version: u64) -> bool {
        let config = record(
            CONFIG.1,
            configuration::text(self.options.models, LOADS_PER_SECOND, version).as_bytes(),
        );
        let url = format!(
            "http://{}/v1/log-append?topic={}&part=0",
            self.store_address, CONFIG.0
        );
        let call = self.client.post(&url, config);
        // In an outage the store does not accept it. If only the answer was lost, the version may still be in force.
        matches!(time::timeout(OPERATOR_REQUEST_TIMEOUT, call).await, Ok(Ok(answer)) if answer.status.is_success())
    }

    async fn restore_store(&self, age: Duration) {
        let url = format!(
            "http://{}/v1/restore?ageMs={}",
            self.store_address,
            age.as_millis()
        );
        let call = self.client.post(&url, Vec::new());
        if !matches!(time::timeout(OPERATOR_REQUEST_TIMEOUT, call).await, Ok(Ok(answer)) if answer.status.is_success())
        {
            eprintln!("store not restored from an older copy: the store is unavailable");
        }
    }

    async fn set_store_faults(&self, change: &fault::Change) -> anyhow::Result<()> {
        let base = format!("http://{}", self.store_address);
        self.client.set_faults(&base, change).await
    }

    // ---- Links ----

    fn proxy(&self, link: LinkId) -> &Proxy {
        match link {
            LinkId::Callers(instance) => &self.instances[instance].callers,
            LinkId::Peers(instance) => &self.instances[instance].peers,
            LinkId::Store(instance) => &self.instances[instance].store,
            LinkId::Worker(worker) => &self.workers[worker].link,
        }
    }
}

impl Proxy {
    fn inject(&self, fault: LinkFault) {
        match fault {
            LinkFault::Delay(delay) => self.change(|link| link.delay = delay),
            LinkFault::Reset => self.reset(),
            LinkFault::HeldUp => self.change(|link| link.upstream = Flow::Held),
            LinkFault::HeldDown => self.change(|link| link.downstream = Flow::Held),
            LinkFault::Held => self.change(|link| {
                link.upstream = Flow::Held;
                link.downstream = Flow::Held;
            }),
            LinkFault::Silenced => self.silence(),
        }
    }
}

/// Sends a signal to a process, if it runs.
fn send_signal(child: &Option<Child>, send: fn(&Child) -> anyhow::Result<()>) {
    // The process may just have exited, which is not an error of the trial.
    if let Some(Err(error)) = child.as_ref().map(send) {
        eprintln!("signal not sent: {error:#}");
    }
}
