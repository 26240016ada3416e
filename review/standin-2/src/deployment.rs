//! The processes of a small deployment, with settings as the deploy file's template makes them.

use std::fs;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use crate::http::{self, Outcome, Request};
use crate::wait_until;

/// The program and its variable, as `deploy/system.toml` and the deploy page name them.
const PROGRAM: &str = "target/release/fireflywheel_platform";
const VARIABLE: &str = "FIREFLYWHEEL_NODE_FILE";

/// The figures of a deployment that the settings hold.
#[derive(Clone, Debug)]
pub struct Figures {
    pub fenced: bool,
    pub budget_extra: u32,
}

pub struct Instance {
    pub name: String,
    pub callers: SocketAddr,
    ready: SocketAddr,
    peers: SocketAddr,
    child: Option<Child>,
    starts: u32,
}

pub struct Deployment {
    folder: PathBuf,
    store: SocketAddr,
    figures: Figures,
    pub instances: Vec<Instance>,
}

impl Deployment {
    pub fn new(name: &str, store: SocketAddr, figures: Figures) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        Ok(Self {
            folder,
            store,
            figures,
            instances: Vec::new(),
        })
    }

    /// Adds an instance that doesn't run yet.
    pub fn add(&mut self) -> io::Result<usize> {
        let listeners = (0..3)
            .map(|_| TcpListener::bind("127.0.0.1:0"))
            .collect::<io::Result<Vec<_>>>()?;
        let addresses = listeners
            .iter()
            .map(TcpListener::local_addr)
            .collect::<io::Result<Vec<_>>>()?;
        self.instances.push(Instance {
            name: format!("front-z{}-1", self.instances.len()),
            callers: addresses[0],
            ready: addresses[1],
            peers: addresses[2],
            child: None,
            starts: 0,
        });
        Ok(self.instances.len() - 1)
    }

    /// Starts an instance; the first start of all is that of the whole system.
    pub fn start(&mut self, index: usize) -> io::Result<()> {
        let Figures {
            fenced,
            budget_extra,
        } = self.figures;
        let instance = &mut self.instances[index];
        let yes = |flag| if flag { "true" } else { "false" };
        let first = if instance.starts == 0 { "yes" } else { "no" };
        let settings = format!(
            "[instance]\nname = {}\nfailure_domain = z{index}\ncpu_share = 0.17\n[listen]\ncallers = {}\nready = {}\n\
             peers = {}\n[platform]\nstore = {}\napply_ms = 2000\n[steward]\nlease_ms = 3000\nfenced = {}\n\
             first_start = {first}\n[repeats]\nratio = 0.2\nextra = {budget_extra}\nwindow_ms = 10000\n[scheduling]\n\
             scarce_slots = 12\nparts = quotas, speed, placement, prefixes\n[backend]\nobey_ms = 2000\n[stop]\n\
             grace_ms = 8000\n[limits]\ndescriptors = 2870\nmemory_mb = 182\n",
            instance.name,
            instance.callers,
            instance.ready,
            instance.peers,
            self.store,
            yes(fenced),
        );
        let path = self.folder.join(format!("{}.conf", instance.name));
        fs::write(&path, settings)?;
        let log = self
            .folder
            .join(format!("{}-{}.log", instance.name, instance.starts));
        let log = fs::File::create(log)?;
        let child = Command::new(PROGRAM)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env(VARIABLE, path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        instance.child = Some(child);
        instance.starts += 1;
        Ok(())
    }

    /// Whether an instance says that it is ready.
    pub fn is_ready(&self, index: usize) -> bool {
        let request = Request {
            method: "GET".into(),
            target: "/v1/ready".into(),
            headers: vec![
                ("Host".into(), "ready".into()),
                ("Connection".into(), "close".into()),
            ],
            body: Vec::new(),
        };
        let answer = http::call(
            self.instances[index].ready,
            &request,
            Duration::from_millis(500),
        );
        matches!(answer, Outcome::Answer(answer) if answer.status == 200)
    }

    pub fn wait_ready(&self, index: usize, limit: Duration) -> bool {
        wait_until(limit, || self.is_ready(index))
    }

    pub fn find(&self, name: &str) -> Option<usize> {
        self.instances
            .iter()
            .position(|instance| instance.name == name)
    }

    /// Sends a signal to an instance.
    pub fn signal(&self, index: usize, signal: &str) {
        if let Some(child) = &self.instances[index].child {
            send_signal(child.id(), signal);
        }
    }

    /// The process id of an instance that runs.
    pub fn process_id(&self, index: usize) -> Option<u32> {
        self.instances[index].child.as_ref().map(Child::id)
    }

    /// Whether the process of an instance has ended, with its status.
    pub fn ended(&mut self, index: usize) -> Option<String> {
        let child = self.instances[index].child.as_mut()?;
        let status = child.try_wait().ok()??;
        Some(status.to_string())
    }

    /// Waits until a process has ended, and kills it after the limit.
    pub fn wait_end(&mut self, index: usize, limit: Duration) {
        if !wait_until(limit, || self.ended(index).is_some()) {
            self.kill(index);
        }
        self.instances[index].child = None;
    }

    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.instances[index].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn logs(&self) -> &PathBuf {
        &self.folder
    }
}

/// Sends a signal to a process by its id.
pub fn send_signal(process: u32, signal: &str) {
    let _ = Command::new("sh")
        .arg("-c")
        .arg(format!("kill -{signal} {process}"))
        .status();
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for index in 0..self.instances.len() {
            self.kill(index);
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
