//! Starts and kills the processes of a deployment.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use smol_str::{SmolStr, format_smolstr};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time;

use super::{CONTROL_REQUEST_TIMEOUT, Deployment, Instance, POLL_INTERVAL, Worker};
use crate::fault;
use crate::process::{Child, Program};
use crate::trial::proxy::Proxy;

/// Environment variable with the path of an instance's settings file.
const SETTINGS_VARIABLE: &str = "FIREFLYWHEEL_NODE_FILE";
/// Run time of a plain request, in milliseconds. It is long enough that faults occur during requests.
const SERVICE_RUN_MS: &str = "30";
/// Number of loopback addresses for deployments. Process ids on Linux have at most 22 bits, and the addresses from
/// 127.64.0.0 on have room for them.
const HOST_COUNT: u32 = 1 << 22;
/// Second octet of the first of these addresses.
const FIRST_HOST_OCTET: u8 = 64;

/// The part of prompts on which engines crash.
pub const CRASH_PART: &str = "bad0";
/// Time from the crash of a worker to the start of the next one.
const CRASH_DOWNTIME: Duration = Duration::from_millis(1500);

/// Error text of an instance whose port is in use.
const PORT_IN_USE: &str = "Address already in use";
/// Attempts to start an instance on free ports.
const MAX_PORT_ATTEMPTS: usize = 3;

impl Deployment {
    // ---- Instances ----

    pub(super) async fn add_instance(&mut self) -> anyhow::Result<()> {
        let store = Proxy::new().await?;
        store.change(|link| link.target = Some(self.store_address));
        self.instances.push(Instance {
            child: None,
            callers: Proxy::new().await?,
            peers: Proxy::new().await?,
            store,
            ready_address: None,
            incarnation: 0,
            is_stopping: false,
        });
        self.start_instance(self.instances.len() - 1).await
    }

    /// Starts an instance, unless it runs. Another process on the machine may take a port after it was found free and
    /// before the instance listens on it; then the start is retried with other ports.
    pub(super) async fn start_instance(&mut self, index: usize) -> anyhow::Result<()> {
        if self.instances[index].child.is_some() {
            return Ok(());
        }
        let mut attempts = 1;
        loop {
            match self.try_start_instance(index).await {
                Err(error)
                    if attempts < MAX_PORT_ATTEMPTS && error.to_string().contains(PORT_IN_USE) =>
                {
                    attempts += 1;
                }
                result => return result,
            }
        }
    }

    async fn try_start_instance(&mut self, index: usize) -> anyhow::Result<()> {
        let [callers, ready, peers] = free_addresses(self.host)?;
        let instance = &self.instances[index];
        let settings = format!(
            "[instance]\nname = i{index}\nfailure_domain = z1\n[listen]\ncallers = {callers}\nready = {ready}\n\
             peers = {peers}\npeers_advertised = {}\n[platform]\nstore = {}\napply_ms = 1000\n[steward]\n\
             lease_ms = 1200\nfenced = yes\n[repeats]\nratio = 0.2\nextra = 100\n[backend]\nobey_ms = 600\n\
             [stop]\ngrace_ms = 2000\n[log]\nlevel = {}\n",
            instance.peers.address(),
            instance.store.address(),
            self.options.log_level,
        );
        let path = self.folder.0.join(format!("i{index}.ini"));
        fs::write(&path, settings)?;
        let (sender, lines) = mpsc::unbounded_channel();
        let mut child = Program::at(self.options.program.clone())
            .with_variable(SETTINGS_VARIABLE, path)
            .without_mark()
            .with_lines(sender)
            .start()
            .await?;
        // The address for peers is the last one that an instance listens on.
        while TcpStream::connect(peers).await.is_err() {
            anyhow::ensure!(
                !child.has_ended(),
                "instance {index} exited during its start: {}",
                child.stderr()
            );
            time::sleep(POLL_INTERVAL).await;
        }
        self.collect_log(index, lines)?;
        let instance = &mut self.instances[index];
        instance.child = Some(child);
        instance.ready_address = Some(ready);
        instance.callers.change(|link| link.target = Some(callers));
        instance.peers.change(|link| link.target = Some(peers));
        instance.incarnation += 1;
        instance.is_stopping = false;
        Ok(())
    }

    /// Counts the lines of an instance's log, and writes them to a file if the options have a folder for logs.
    fn collect_log(
        &mut self,
        index: usize,
        mut lines: mpsc::UnboundedReceiver<String>,
    ) -> anyhow::Result<()> {
        let mut file = None;
        if let Some(folder) = &self.options.logs {
            fs::create_dir_all(folder)?;
            let path = folder.join(format!("i{index}.log"));
            file = Some(fs::File::options().create(true).append(true).open(path)?);
        }
        let log_lines = Arc::clone(&self.log_lines);
        let log_bytes = Arc::clone(&self.log_bytes);
        self.output_readers.spawn(async move {
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

    pub(super) async fn kill_instance(&mut self, index: usize) -> anyhow::Result<()> {
        let instance = &mut self.instances[index];
        instance.ready_address = None;
        if let Some(mut child) = instance.child.take() {
            child.kill().await?;
        }
        Ok(())
    }

    // ---- Workers ----

    pub(super) async fn add_worker(&mut self, index: usize) -> anyhow::Result<()> {
        self.workers.push(Worker {
            child: None,
            link: new_worker_link().await?,
            crashed_at: None,
            is_engine: index < self.options.engines,
            version: self.options.versions.get(index).copied(),
            incarnation: 0,
            id: SmolStr::default(),
            leaving_since: None,
        });
        self.start_worker(index, false).await
    }

    pub(super) async fn start_worker(&mut self, index: usize, keep_id: bool) -> anyhow::Result<()> {
        let worker = &mut self.workers[index];
        if worker.child.is_some() {
            return Ok(());
        }
        worker.incarnation += 1;
        worker.leaving_since = None;
        if !keep_id || worker.id.is_empty() {
            worker.id = format_smolstr!("w{index}-{}", worker.incarnation);
        }
        let (sender, mut lines) = mpsc::unbounded_channel::<String>();
        let mut program = Program::new("fireflywheel_standin")
            .with_args(["site-worker", "--id", &worker.id])
            .with_args(["--service", if worker.is_engine { "llm" } else { "app" }])
            .with_args(["--store", &self.store_address.to_string()])
            .with_args(["--reached-at", &worker.link.address().to_string()])
            .with_lines(sender);
        if worker.is_engine {
            // Without given versions, engines of two serve side by side, and each restart replaces one by the other.
            let alternating = 1 + (index as u64 + worker.incarnation) % 2;
            let version = worker.version.unwrap_or(alternating);
            program = program.with_args(["--software-version", &format!("v{version}")]);
            program = program.with_args(&self.options.engine_args);
            program = program.with_args(["--crash-part", CRASH_PART]);
            // Initially, each model is on the disk of one engine.
            let models = 0..self.options.models;
            for model in models.filter(|model| model % self.options.engines == index) {
                program = program.with_args(["--on-disk", &format!("m{}", model + 1)]);
            }
        } else {
            program = program.with_args(["--run-ms", SERVICE_RUN_MS]);
        }
        let child = program.start().await?;
        let address = child.address("listening");
        worker.link.change(|link| {
            link.target = Some(address);
            link.refuses = false;
        });
        worker.child = Some(child);
        let name = format_smolstr!("{} life {}", worker.id, worker.incarnation);
        let book = Arc::clone(&self.book);
        self.output_readers.spawn(async move {
            while let Some(line) = lines.recv().await {
                let mut book = book.lock().expect("no panic under the lock");
                book.record_worker_line(&name, &line);
            }
        });
        Ok(())
    }

    pub(super) async fn kill_worker(&mut self, index: usize) -> anyhow::Result<()> {
        if let Some(mut child) = self.workers[index].child.take() {
            child.kill().await?;
        }
        Ok(())
    }

    /// Starts an engine of a version beside the one at an index, unless that is newer, and has that one announce that it
    /// leaves.
    pub(super) async fn upgrade_worker(
        &mut self,
        index: usize,
        version: u64,
    ) -> anyhow::Result<()> {
        let current = &self.workers[index];
        if current.version >= Some(version) {
            return Ok(());
        }
        let next = Worker {
            child: None,
            link: new_worker_link().await?,
            crashed_at: None,
            is_engine: true,
            version: Some(version),
            incarnation: current.incarnation,
            id: SmolStr::default(),
            leaving_since: None,
        };
        let mut previous = std::mem::replace(&mut self.workers[index], next);
        self.start_worker(index, false).await?;
        let change = fault::Change::new().with_leaving(true);
        self.set_worker_faults(&previous, &change).await;
        previous.leaving_since = Some(time::Instant::now());
        self.replaced.push(previous);
        Ok(())
    }

    /// Ends the replaced engines that announced this long ago that they leave.
    pub(super) async fn end_replaced(&mut self, period: Duration) -> anyhow::Result<()> {
        let is_due = |worker: &mut Worker| {
            let since = worker.leaving_since;
            since.is_some_and(|since| since.elapsed() >= period)
        };
        for mut worker in self.replaced.extract_if(.., is_due) {
            if let Some(mut child) = worker.child.take() {
                child.kill().await?;
            }
        }
        Ok(())
    }

    /// Starts the workers that crashed at least [`CRASH_DOWNTIME`] ago, under new ids.
    ///
    /// # Errors
    /// When a process can't be started.
    pub async fn replace_crashed_workers(&mut self) -> anyhow::Result<()> {
        for index in 0..self.workers.len() {
            let worker = &mut self.workers[index];
            if worker.child.as_mut().is_some_and(Child::has_ended) {
                worker.child = None;
                worker.crashed_at = Some(time::Instant::now());
            }
            let is_due = |at: time::Instant| at.elapsed() >= CRASH_DOWNTIME;
            if worker.crashed_at.is_some_and(is_due) {
                worker.crashed_at = None;
                self.start_worker(index, false).await?;
            }
        }
        Ok(())
    }

    pub(super) async fn set_worker_faults(&self, worker: &Worker, change: &fault::Change) {
        if let Some(child) = &worker.child {
            let base = child.base("listening");
            // A paused worker handles the request later or never.
            let call = self.client.set_faults(&base, change);
            let _ = time::timeout(CONTROL_REQUEST_TIMEOUT, call).await;
        }
    }
}

/// Creates the link to a worker, which refuses connections while the worker's process is down.
async fn new_worker_link() -> anyhow::Result<Proxy> {
    let link = Proxy::new().await?;
    link.change(|link| link.mirrors_refusals = true);
    Ok(link)
}

/// Returns a loopback address that is unique to a deployment, derived from the id of one of its processes. At
/// 127.0.0.1, any process could take a port after it was found free and before the instance listens on it. That
/// instance would exit at once, and whoever connects to its port would reach the wrong process. On Linux, all
/// addresses in 127/8 are usable.
pub(super) fn unique_loopback_host(process_id: u32) -> Ipv4Addr {
    let [_, high, middle, low] = (process_id % HOST_COUNT).to_be_bytes();
    Ipv4Addr::new(127, FIRST_HOST_OCTET + high, middle, low)
}

/// Returns three addresses at `host` with free ports.
fn free_addresses(host: Ipv4Addr) -> anyhow::Result<[SocketAddr; 3]> {
    let bind = || TcpListener::bind((host, 0));
    let sockets = [bind()?, bind()?, bind()?];
    let addresses = [&sockets[0], &sockets[1], &sockets[2]].map(TcpListener::local_addr);
    let [callers, ready, peers] = addresses;
    Ok([callers?, ready?, peers?])
}
