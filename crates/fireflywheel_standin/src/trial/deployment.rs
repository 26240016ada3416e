//! A store, workers and instances as processes, with a proxy on each link.

mod launch;

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use std::{env, fs, process};

use anyhow::Context as _;
use smol_str::SmolStr;
use tokio::task::JoinSet;
use tokio::time;

use super::book::Book;
use super::proxy::{Flow, Proxy};
use super::script::{Action, LEAVE, LinkFault, Place};
use crate::process::Child;
use crate::site::configuration;
use crate::site::store::{CONFIG, record};
use crate::{client, fault};

/// Loads that the weight store allows in a second.
pub const LOADS_PER_SECOND: f64 = 5.0;
/// Guards a trial against an instance that never ends.
const STOP_GUARD: Duration = Duration::from_secs(60);
/// Guards a trial against an instance that never gets ready.
const READY_GUARD: Duration = Duration::from_secs(60);
/// Between two looks whether it is.
const LOOK: Duration = Duration::from_millis(20);
/// How long the operator waits for an answer of the store.
const OPERATOR_PATIENCE: Duration = Duration::from_secs(1);
/// How long an instance may take to say that it is ready, and a worker to take a switch.
const LOOK_PATIENCE: Duration = Duration::from_millis(200);

/// How a deployment is made.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program of the instances.
    pub program: PathBuf,
    /// Instances.
    pub instances: usize,
    /// Workers that are model engines.
    pub engines: usize,
    /// Workers that are plain services.
    pub services: usize,
    /// Models, named `m1` and so on.
    pub models: usize,
    /// Arguments of the engines' program.
    pub engine_args: Vec<String>,
    /// What instances write to their logs.
    pub log_level: &'static str,
    /// Where the instances' logs go, a file each; they are dropped if there is none.
    pub logs: Option<PathBuf>,
}

/// What the processes of instances have used.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// Time of a processor.
    pub processor: Duration,
    /// Lines of their logs.
    pub log_lines: u64,
    /// Bytes of their logs.
    pub log_bytes: u64,
}

impl Usage {
    /// What was used after `earlier`.
    #[must_use]
    pub fn since(self, earlier: Self) -> Self {
        Self {
            processor: self.processor.saturating_sub(earlier.processor),
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
    /// Where its instances listen.
    host: Ipv4Addr,
    client: client::Client,
    folder: Folder,
    instances: Vec<Instance>,
    workers: Vec<Worker>,
    readers: JoinSet<()>,
    log_lines: Arc<AtomicU64>,
    log_bytes: Arc<AtomicU64>,
    book: Arc<Mutex<Book>>,
    /// The newest that was accepted.
    version: u64,
    /// The newest that was sent.
    drawn: u64,
}

#[derive(Debug)]
struct Instance {
    child: Option<Child>,
    callers: Proxy,
    peers: Proxy,
    store: Proxy,
    ready: Option<SocketAddr>,
    lives: u64,
    ends: bool,
}

#[derive(Debug)]
struct Worker {
    child: Option<Child>,
    link: Proxy,
    engine: bool,
    lives: u64,
    id: SmolStr,
    /// Since when it says that it leaves.
    leaves: Option<time::Instant>,
}

#[derive(Debug)]
struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        // Files that stay behind in the folder for temporary files do no harm.
        let _ = fs::remove_dir_all(&self.0);
    }
}

impl Deployment {
    /// Starts a store with a first configuration, workers and instances.
    ///
    /// # Errors
    /// When a process can't be started.
    pub async fn start(options: Options, book: Arc<Mutex<Book>>) -> anyhow::Result<Self> {
        let store = Child::start("fireflywheel_standin", ["site-store"]).await?;
        let folder = Folder(env::temp_dir().join(format!(
            "fireflywheel-trial-{}-{}",
            process::id(),
            store.id()
        )));
        fs::create_dir_all(&folder.0)?;
        let mut deployment = Self {
            store_address: store.address("listening"),
            host: launch::own_host(store.id()),
            store,
            client: client::Client::new(),
            folder,
            instances: Vec::new(),
            workers: Vec::new(),
            readers: JoinSet::new(),
            log_lines: Arc::default(),
            log_bytes: Arc::default(),
            book,
            version: 0,
            drawn: 0,
            options,
        };
        deployment.configure().await;
        for place in 0..deployment.options.engines + deployment.options.services {
            deployment.add_worker(place).await?;
        }
        for _ in 0..deployment.options.instances {
            deployment.add_instance().await?;
        }
        Ok(deployment)
    }

    /// The address for callers of each instance.
    #[must_use]
    pub fn callers(&self) -> Vec<SocketAddr> {
        let instances = self.instances.iter();
        instances
            .map(|instance| instance.callers.address())
            .collect()
    }

    /// Where its instances listen: an address of its own, at which no other process takes a port.
    #[must_use]
    pub fn host(&self) -> Ipv4Addr {
        self.host
    }

    /// How often an instance was started.
    #[must_use]
    pub fn incarnation(&self, instance: usize) -> u64 {
        self.instances[instance].lives
    }

    /// The newest configuration that was accepted.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// What the running processes of instances have used so far, and what all have logged.
    ///
    /// # Errors
    /// When the system can't be asked.
    pub fn usage(&self) -> anyhow::Result<Usage> {
        let mut usage = Usage {
            processor: Duration::ZERO,
            log_lines: self.log_lines.load(Ordering::Relaxed),
            log_bytes: self.log_bytes.load(Ordering::Relaxed),
        };
        let instances = self.instances.iter();
        for child in instances.filter_map(|instance| instance.child.as_ref()) {
            usage.processor += child.processor_time()?;
        }
        Ok(usage)
    }

    /// Waits until all instances say that they are ready.
    ///
    /// # Errors
    /// When they don't for too long.
    pub async fn wait_ready(&self) -> anyhow::Result<()> {
        let limit = time::Instant::now() + READY_GUARD;
        for place in 0..self.instances.len() {
            while !self.is_ready(place).await {
                anyhow::ensure!(time::Instant::now() < limit, "instance {place} isn't ready");
                time::sleep(LOOK).await;
            }
        }
        Ok(())
    }

    /// Whether an instance says that it is ready.
    pub async fn is_ready(&self, instance: usize) -> bool {
        let Some(address) = self.instances[instance].ready else {
            return false;
        };
        let url = format!("http://{address}/v1/ready");
        let answer = self.client.get(&url);
        matches!(time::timeout(LOOK_PATIENCE, answer).await, Ok(Ok(answer)) if answer.status.is_success())
    }

    /// Carries out an action. One that makes no sense now, such as a pause of a process that has ended, is left
    /// out.
    ///
    /// # Errors
    /// When a process can't be started, or the store can't be reached.
    pub async fn act(&mut self, action: Action) -> anyhow::Result<()> {
        match action {
            Action::Kill(place) => self.end_instance(place).await?,
            Action::Stop(place) => {
                let instance = &mut self.instances[place];
                instance.ends |= instance.child.is_some();
                signal(&instance.child, Child::terminate);
            }
            Action::Start(place) => {
                self.end_instance(place).await?;
                self.start_instance(place).await?;
            }
            Action::AwaitStart(place) => {
                if let Some(child) = &mut self.instances[place].child {
                    time::timeout(STOP_GUARD, child.wait())
                        .await
                        .context("it doesn't stop")??;
                }
                self.end_instance(place).await?;
                self.start_instance(place).await?;
            }
            Action::Pause(place) => signal(&self.instances[place].child, Child::pause),
            Action::Resume(place) => signal(&self.instances[place].child, Child::resume),
            Action::Reload(place) => signal(&self.instances[place].child, Child::reload),
            Action::KillWorker(place) => self.end_worker(place).await?,
            Action::StartWorker(place, same) => {
                self.end_worker(place).await?;
                self.start_worker(place, same).await?;
            }
            Action::PauseWorker(place) => signal(&self.workers[place].child, Child::pause),
            Action::ResumeWorker(place) => signal(&self.workers[place].child, Child::resume),
            Action::LeaveWorker(place) => {
                self.workers[place]
                    .leaves
                    .get_or_insert_with(time::Instant::now);
                let change = fault::Change::new().with_leaving(true);
                self.fault_worker(place, &change).await;
            }
            Action::ReplaceWorker(place) => {
                let leaves = self.workers[place].leaves;
                if leaves.is_some_and(|since| since.elapsed() >= LEAVE) {
                    self.end_worker(place).await?;
                    self.start_worker(place, false).await?;
                }
            }
            Action::WorkerLoses(place, count) => {
                let change = fault::Change::new().with_lose_answers(count);
                self.fault_worker(place, &change).await;
            }
            Action::Break(place, trouble) => self.link(place).trouble(trouble),
            Action::Heal(place) => self.link(place).heal(),
            Action::StoreOut(out) => {
                self.fault(&fault::Change::new().with_outage(out)).await?;
            }
            Action::StoreSlow(slow) => {
                let ms = u64::try_from(slow.as_millis())?;
                self.fault(&fault::Change::new().with_slow_ms(ms)).await?;
            }
            Action::StoreLoses(count) => {
                let change = fault::Change::new().with_lose_answers(count);
                self.fault(&change).await?;
            }
            Action::Restore(age) => self.restore(age).await,
            Action::Configure => self.configure().await,
            Action::Rewrite => {
                self.publish(self.version).await;
            }
        }
        Ok(())
    }

    /// Ends all faults, and starts what has ended.
    ///
    /// # Errors
    /// When a process can't be started, or the store can't be reached.
    pub async fn heal(&mut self) -> anyhow::Result<()> {
        let change = fault::Change::new().with_outage(false).with_slow_ms(0);
        self.fault(&change.with_lose_answers(0)).await?;
        for place in 0..self.workers.len() {
            if let Some(since) = self.workers[place].leaves {
                // Requests may be on their way to one that has just said that it leaves.
                time::sleep_until(since + LEAVE).await;
                self.end_worker(place).await?;
            }
            self.workers[place].link.heal();
            signal(&self.workers[place].child, Child::resume);
            self.start_worker(place, true).await?;
        }
        for place in 0..self.instances.len() {
            for link in [
                Place::Callers(place),
                Place::Peers(place),
                Place::Store(place),
            ] {
                self.link(link).heal();
            }
            signal(&self.instances[place].child, Child::resume);
            if self.instances[place].ends {
                self.end_instance(place).await?;
            }
            self.start_instance(place).await?;
        }
        Ok(())
    }

    /// Notes processes that have ended by themselves.
    pub fn check_exits(&mut self) {
        for (place, instance) in self.instances.iter_mut().enumerate() {
            let Some(child) = instance.child.as_mut().filter(|_| !instance.ends) else {
                continue;
            };
            if child.has_ended() {
                let what = format!("instance {place} ended by itself: {}", child.stderr());
                self.book
                    .lock()
                    .expect("no panic under the lock")
                    .fault(what);
                instance.child = None;
            }
        }
    }

    /// Ends all processes, and waits until all that they wrote was read.
    ///
    /// # Errors
    /// When a process can't be ended.
    pub async fn stop(mut self) -> anyhow::Result<()> {
        for place in 0..self.instances.len() {
            self.end_instance(place).await?;
        }
        for place in 0..self.workers.len() {
            self.end_worker(place).await?;
        }
        self.store.kill().await?;
        while self.readers.join_next().await.is_some() {}
        Ok(())
    }

    // ---- The operator ----

    /// Writes the next configuration.
    async fn configure(&mut self) {
        self.drawn += 1;
        if self.publish(self.drawn).await {
            self.version = self.drawn;
        }
    }

    /// Writes a configuration; whether the store has accepted it for certain.
    async fn publish(&self, version: u64) -> bool {
        let config = record(
            CONFIG.1,
            configuration::text(self.options.models, LOADS_PER_SECOND, version).as_bytes(),
        );
        let url = format!(
            "http://{}/v1/log-append?topic={}&part=0",
            self.store_address, CONFIG.0
        );
        let call = self.client.post(&url, config);
        // Not accepted in an outage. When only the answer was lost, it may be in force all the same.
        matches!(time::timeout(OPERATOR_PATIENCE, call).await, Ok(Ok(answer)) if answer.status.is_success())
    }

    async fn restore(&self, age: Duration) {
        let url = format!(
            "http://{}/v1/restore?ageMs={}",
            self.store_address,
            age.as_millis()
        );
        let call = self.client.post(&url, Vec::new());
        if !matches!(time::timeout(OPERATOR_PATIENCE, call).await, Ok(Ok(answer)) if answer.status.is_success())
        {
            eprintln!("the store has not come back from an older copy: it is out of order");
        }
    }

    async fn fault(&self, change: &fault::Change) -> anyhow::Result<()> {
        let base = format!("http://{}", self.store_address);
        self.client.set_faults(&base, change).await
    }

    // ---- Links ----

    fn link(&self, place: Place) -> &Proxy {
        match place {
            Place::Callers(instance) => &self.instances[instance].callers,
            Place::Peers(instance) => &self.instances[instance].peers,
            Place::Store(instance) => &self.instances[instance].store,
            Place::Worker(worker) => &self.workers[worker].link,
        }
    }
}

impl Proxy {
    fn trouble(&self, trouble: LinkFault) {
        match trouble {
            LinkFault::Delay(delay) => self.change(|link| link.delay = delay),
            LinkFault::Reset => self.reset(),
            LinkFault::HeldUp => self.change(|link| link.up = Flow::Held),
            LinkFault::HeldDown => self.change(|link| link.down = Flow::Held),
            LinkFault::Held => self.change(|link| {
                link.up = Flow::Held;
                link.down = Flow::Held;
            }),
            LinkFault::Silenced => self.silence(),
        }
    }
}

/// Sends a signal to a process, if there is one.
fn signal(child: &Option<Child>, send: fn(&Child) -> anyhow::Result<()>) {
    // One that has just ended finds nobody, which is no fault of the trial.
    if let Some(Err(error)) = child.as_ref().map(send) {
        eprintln!("signal not sent: {error:#}");
    }
}
