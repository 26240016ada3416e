//! A store, workers and instances as processes, with a proxy on each link.

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use std::{env, fs, process};

use anyhow::Context as _;
use smol_str::{SmolStr, format_smolstr};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time;

use super::book::Book;
use super::proxy::{Flow, Proxy};
use super::script::{Action, Place, Trouble};
use crate::process::{Child, Program};
use crate::site::store::{CONFIG, record};
use crate::{client, fault};

/// The variable that names an instance's settings file.
const SETTINGS: &str = "FIREFLYWHEEL_NODE_FILE";
/// A plain request takes so long that faults come in the middle of it.
const SERVICE_RUN_MS: &str = "30";
/// How often a start is tried: another process may have taken a port in between.
const STARTS: usize = 5;
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
        deployment.configure().await?;
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

    /// How often an instance was started.
    #[must_use]
    pub fn lives(&self, instance: usize) -> u64 {
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
                if let Some(child) = &instance.child {
                    instance.ends = true;
                    attempt(child.terminate());
                }
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
            Action::Pause(place) => self.signal(place, Child::pause),
            Action::Resume(place) => self.signal(place, Child::resume),
            Action::Reload(place) => self.signal(place, Child::reload),
            Action::KillWorker(place) => self.end_worker(place).await?,
            Action::StartWorker(place, same) => {
                self.end_worker(place).await?;
                self.start_worker(place, same).await?;
            }
            Action::PauseWorker(place) => self.signal_worker(place, Child::pause),
            Action::ResumeWorker(place) => self.signal_worker(place, Child::resume),
            Action::LeaveWorker(place) => {
                let change = fault::Change::new().with_leaving(true);
                self.fault_worker(place, &change).await;
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
            Action::Configure => self.configure().await?,
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
            self.workers[place].link.heal();
            self.signal_worker(place, Child::resume);
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
            self.signal(place, Child::resume);
            if self.instances[place].ends {
                self.end_instance(place).await?;
            }
            self.start_instance(place).await?;
        }
        Ok(())
    }

    /// Notes processes that have ended by themselves.
    pub fn look_for_ends(&mut self) {
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

    async fn configure(&mut self) -> anyhow::Result<()> {
        self.drawn += 1;
        let version = self.drawn;
        let config = record(CONFIG.1, configuration(&self.options, version).as_bytes());
        let url = format!(
            "http://{}/v1/log-append?topic={}&part=0",
            self.store_address, CONFIG.0
        );
        let call = self.client.post(&url, config);
        // Not accepted in an outage. When only the answer was lost, it may be in force all the same.
        if matches!(time::timeout(OPERATOR_PATIENCE, call).await, Ok(Ok(answer)) if answer.status.is_success())
        {
            self.version = version;
        }
        Ok(())
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

    // ---- Instances ----

    async fn add_instance(&mut self) -> anyhow::Result<()> {
        let store = Proxy::new().await?;
        store.change(|link| link.target = Some(self.store_address));
        self.instances.push(Instance {
            child: None,
            callers: Proxy::new().await?,
            peers: Proxy::new().await?,
            store,
            ready: None,
            lives: 0,
            ends: false,
        });
        self.start_instance(self.instances.len() - 1).await
    }

    async fn start_instance(&mut self, place: usize) -> anyhow::Result<()> {
        if self.instances[place].child.is_some() {
            return Ok(());
        }
        let mut last = None;
        for _ in 0..STARTS {
            match self.try_start(place).await {
                Ok(()) => return Ok(()),
                Err(error) => last = Some(error),
            }
        }
        Err(last.context("it was tried")?)
    }

    async fn try_start(&mut self, place: usize) -> anyhow::Result<()> {
        let [callers, ready, peers] = free_addresses()?;
        let instance = &self.instances[place];
        let settings = format!(
            "[instance]\nname = i{place}\nfailure_domain = z1\n[listen]\ncallers = {callers}\nready = {ready}\n\
             peers = {peers}\npeers_advertised = {}\n[platform]\nstore = {}\napply_ms = 1000\n[steward]\n\
             lease_ms = 1200\nfenced = yes\n[repeats]\nratio = 0.2\nextra = 100\n[backend]\nobey_ms = 600\n\
             [stop]\ngrace_ms = 2000\n[log]\nlevel = {}\n",
            instance.peers.address(),
            instance.store.address(),
            self.options.log_level,
        );
        let path = self.folder.0.join(format!("i{place}.ini"));
        fs::write(&path, settings)?;
        let (sender, lines) = mpsc::unbounded_channel();
        let mut child = Program::at(self.options.program.clone())
            .with_variable(SETTINGS, path)
            .without_mark()
            .with_lines(sender)
            .start()
            .await?;
        // The last of its addresses that it listens on.
        while TcpStream::connect(peers).await.is_err() {
            anyhow::ensure!(!child.has_ended(), "it ended: {}", child.stderr());
            time::sleep(LOOK).await;
        }
        self.keep_log(place, lines)?;
        let instance = &mut self.instances[place];
        instance.child = Some(child);
        instance.ready = Some(ready);
        instance.callers.change(|link| link.target = Some(callers));
        instance.peers.change(|link| link.target = Some(peers));
        instance.lives += 1;
        instance.ends = false;
        Ok(())
    }

    fn keep_log(
        &mut self,
        place: usize,
        mut lines: mpsc::UnboundedReceiver<String>,
    ) -> anyhow::Result<()> {
        let mut file = None;
        if let Some(folder) = &self.options.logs {
            fs::create_dir_all(folder)?;
            let path = folder.join(format!("i{place}.log"));
            file = Some(fs::File::options().create(true).append(true).open(path)?);
        }
        let log_lines = Arc::clone(&self.log_lines);
        let log_bytes = Arc::clone(&self.log_bytes);
        self.readers.spawn(async move {
            while let Some(line) = lines.recv().await {
                log_lines.fetch_add(1, Ordering::Relaxed);
                log_bytes.fetch_add(line.len() as u64 + 1, Ordering::Relaxed);
                if let Some(file) = &mut file {
                    use std::io::Write as _;
                    // A full disk must not end the trial.
                    let _ = writeln!(file, "{line}");
                }
            }
        });
        Ok(())
    }

    async fn end_instance(&mut self, place: usize) -> anyhow::Result<()> {
        let instance = &mut self.instances[place];
        instance.ready = None;
        if let Some(mut child) = instance.child.take() {
            child.kill().await?;
        }
        Ok(())
    }

    fn signal(&self, place: usize, signal: fn(&Child) -> anyhow::Result<()>) {
        if let Some(child) = &self.instances[place].child {
            attempt(signal(child));
        }
    }

    // ---- Workers ----

    async fn add_worker(&mut self, place: usize) -> anyhow::Result<()> {
        self.workers.push(Worker {
            child: None,
            link: Proxy::new().await?,
            engine: place < self.options.engines,
            lives: 0,
            id: SmolStr::default(),
        });
        self.start_worker(place, false).await
    }

    async fn start_worker(&mut self, place: usize, same: bool) -> anyhow::Result<()> {
        let worker = &mut self.workers[place];
        if worker.child.is_some() {
            return Ok(());
        }
        worker.lives += 1;
        if !same || worker.id.is_empty() {
            worker.id = format_smolstr!("w{place}-{}", worker.lives);
        }
        let (sender, mut lines) = mpsc::unbounded_channel::<String>();
        let mut program = Program::new("fireflywheel_standin")
            .with_args(["site-worker", "--id", &worker.id])
            .with_args(["--service", if worker.engine { "llm" } else { "app" }])
            .with_args(["--store", &self.store_address.to_string()])
            .with_args(["--reached-at", &worker.link.address().to_string()])
            .with_lines(sender);
        if worker.engine {
            program = program.with_args(&self.options.engine_args);
            // The first copy of each model is on one engine's disk.
            let models = 0..self.options.models;
            for model in models.filter(|model| model % self.options.engines == place) {
                program = program.with_args(["--on-disk", &format!("m{}", model + 1)]);
            }
        } else {
            program = program.with_args(["--run-ms", SERVICE_RUN_MS]);
        }
        let child = program.start().await?;
        let address = child.address("listening");
        worker.link.change(|link| link.target = Some(address));
        worker.child = Some(child);
        let name = format_smolstr!("{} life {}", worker.id, worker.lives);
        let book = Arc::clone(&self.book);
        self.readers.spawn(async move {
            while let Some(line) = lines.recv().await {
                let mut book = book.lock().expect("no panic under the lock");
                book.worker_wrote(&name, &line);
            }
        });
        Ok(())
    }

    async fn end_worker(&mut self, place: usize) -> anyhow::Result<()> {
        if let Some(mut child) = self.workers[place].child.take() {
            child.kill().await?;
        }
        Ok(())
    }

    fn signal_worker(&self, place: usize, signal: fn(&Child) -> anyhow::Result<()>) {
        if let Some(child) = &self.workers[place].child {
            attempt(signal(child));
        }
    }

    async fn fault_worker(&self, place: usize, change: &fault::Change) {
        if let Some(child) = &self.workers[place].child {
            let base = child.base("listening");
            // A worker that is paused takes it later, or never.
            let call = self.client.set_faults(&base, change);
            let _ = time::timeout(LOOK_PATIENCE, call).await;
        }
    }
}

impl Proxy {
    fn trouble(&self, trouble: Trouble) {
        match trouble {
            Trouble::Delay(delay) => self.change(|link| link.delay = delay),
            Trouble::Reset => self.reset(),
            Trouble::HeldUp => self.change(|link| link.up = Flow::Held),
            Trouble::HeldDown => self.change(|link| link.down = Flow::Held),
            Trouble::Held => self.change(|link| {
                link.up = Flow::Held;
                link.down = Flow::Held;
            }),
            Trouble::Silenced => self.silence(),
        }
    }
}

/// A signal to a process that has just ended finds nobody, which is no fault of the trial.
fn attempt(signal: anyhow::Result<()>) {
    if let Err(error) = signal {
        eprintln!("signal not sent: {error:#}");
    }
}

/// Addresses that were free a moment ago.
fn free_addresses() -> anyhow::Result<[SocketAddr; 3]> {
    let bind = || TcpListener::bind("127.0.0.1:0");
    let sockets = [bind()?, bind()?, bind()?];
    let addresses = [&sockets[0], &sockets[1], &sockets[2]].map(TcpListener::local_addr);
    let [callers, ready, peers] = addresses;
    Ok([callers?, ready?, peers?])
}

/// A configuration. Each version adds a route `/vN/`, by which it is seen where it is in force.
fn configuration(options: &Options, version: u64) -> String {
    let models: Vec<String> = (1..=options.models)
        .map(|model| {
            format!(
                r#"{{"name":"m{model}","weightsMb":40,"loadS":0.2,"adapters":2,"adapterMb":1,"warmS":0.05,"diskLoadS":0.05}}"#
            )
        })
        .collect();
    let added: Vec<String> = (1..=version)
        .map(|version| plain(&format!("v{version}"), "safe"))
        .collect();
    format!(
        r#"{{"version":{version},"routes":[{},{},{},{},{}],
        "services":[{{"name":"llm","maxConns":200,"engine":{{"slots":8,"models":[{}],"weightsMb":83,
        "adapterSlots":4,"loadsPerS":{LOADS_PER_SECOND}}}}},{{"name":"app","maxConns":200}}],
        "limits":{{"maxHeaderBytes":16384,"maxBodyBytes":100000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        streaming("ask", 2, true),
        streaming("once", 1, false),
        plain("book", "unsafe"),
        plain("look", "safe"),
        added.join(","),
        models.join(",")
    )
}

/// Loads that the weight store allows in a second.
pub const LOADS_PER_SECOND: f64 = 5.0;
/// Servers that a request may run on, by the configuration.
pub const ATTEMPTS: usize = 2;

fn streaming(name: &str, attempts: usize, resumable: bool) -> String {
    format!(
        r#"{{"name":"{name}","host":"h","pathPrefix":"/{name}/","kind":"streaming","timeoutMs":8000,"goalMs":1000,
        "priority":0,"service":"llm","attempts":{attempts},"resumable":{resumable},"gapTargetMs":400}}"#
    )
}

fn plain(name: &str, kind: &str) -> String {
    format!(
        r#"{{"name":"{name}","host":"h","pathPrefix":"/{name}/","kind":"{kind}","timeoutMs":3000,"goalMs":100,
        "priority":2,"service":"app","attempts":{ATTEMPTS}}}"#
    )
}
