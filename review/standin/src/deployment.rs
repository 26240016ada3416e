//! Instances of the project as separate processes on loopback, with settings like those of a small deployment.

use std::env;
use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

/// How long an instance may take until it is ready.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// An instance of the project. Its process is ended when it is dropped.
pub struct Instance {
    /// Where it takes requests.
    pub callers: SocketAddr,
    ready: SocketAddr,
    name: String,
    index: usize,
    child: Child,
}

/// A temporary folder, which is removed when it is dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    /// Creates a folder.
    pub fn new() -> Self {
        let path = env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a temporary folder can be created");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

impl Instance {
    /// Starts an instance of a machine like those of the small sites.
    pub fn start(folder: &Folder, index: usize, store: SocketAddr) -> Self {
        Self::start_with(folder, index, store, 0.17)
    }

    /// Starts an instance with the command and the template's settings of the deploy file.
    pub fn start_with(folder: &Folder, index: usize, store: SocketAddr, cpu_share: f64) -> Self {
        let sockets: Vec<TcpListener> = (0..3)
            .map(|_| TcpListener::bind("127.0.0.1:0").expect("a port is free"))
            .collect();
        let ports: Vec<SocketAddr> = sockets
            .iter()
            .map(|socket| socket.local_addr().expect("the socket is bound"))
            .collect();
        drop(sockets);
        let (callers, ready, peers) = (ports[0], ports[1], ports[2]);
        let name = format!("front-a-{index}");
        let settings = format!(
            "[instance]\nname = {name}\nfailure_domain = zone-a\ncpu_share = {cpu_share}\n\
             [listen]\ncallers = {callers}\nready = {ready}\npeers = {peers}\n\
             [platform]\nstore = {store}\napply_ms = 2000\n[steward]\nlease_ms = 3000\nfenced = false\n\
             first_start = yes\n[repeats]\nratio = 0.2\nextra = 104\nwindow_ms = 10000\n\
             [scheduling]\nscarce_slots = 12\nparts = quotas, speed, placement, prefixes\n\
             [backend]\nobey_ms = 2000\n[stop]\ngrace_ms = 8000\n[limits]\ndescriptors = 2870\nmemory_mb = 182\n"
        );
        fs::write(settings_path(folder, index), settings).expect("the settings can be written");
        Self {
            callers,
            ready,
            name,
            index,
            child: spawn(folder, index),
        }
    }

    /// Its name, which its orders bear.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Stops the process as the platform does, and waits until it has ended.
    pub fn stop(&mut self) {
        let command = format!("kill -TERM {}", self.child.id());
        let _ = Command::new("sh").args(["-c", &command]).status();
        let _ = self.child.wait();
    }

    /// Starts the process again. It is not the first start of the system any more.
    pub fn start_again(&mut self, folder: &Folder) {
        let path = settings_path(folder, self.index);
        let settings = fs::read_to_string(&path).expect("the settings can be read");
        let settings = settings.replace("first_start = yes", "first_start = no");
        fs::write(&path, settings).expect("the settings can be written");
        self.child = spawn(folder, self.index);
    }

    /// Waits until the instance is ready, as the platform does.
    pub fn wait_until_ready(&self) {
        let until = Instant::now() + START_TIMEOUT;
        while Instant::now() < until {
            if self.is_ready().unwrap_or(false) {
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
        fail("an instance did not become ready");
    }

    fn is_ready(&self) -> std::io::Result<bool> {
        let mut reader = http::connect(self.ready, Duration::from_secs(1))?;
        http::write(
            &mut reader,
            "GET /v1/ready HTTP/1.1",
            "host: ready\r\n",
            b"",
        )?;
        Ok(http::read_head(&mut reader)?.is_some_and(|head| head.status() == 200))
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

fn settings_path(folder: &Folder, index: usize) -> PathBuf {
    folder.0.join(format!("instance-{index}.ini"))
}

fn spawn(folder: &Folder, index: usize) -> Child {
    let path = folder.0.join(format!("instance-{index}.log"));
    let log = File::options().create(true).append(true).open(path);
    let log = log.expect("the log can be written");
    let program = env::var("REVIEW_PROGRAM")
        .unwrap_or_else(|_| "target/release/fireflywheel_platform".to_owned());
    Command::new(program)
        .env("FIREFLYWHEEL_NODE_FILE", settings_path(folder, index))
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("the log is open"))
        .stderr(log)
        .spawn()
        .unwrap_or_else(|error| fail(&format!("an instance can't be started: {error}")))
}

/// Gives the case up because it could not run. The instances end as the stack unwinds.
pub fn fail(why: &str) -> ! {
    panic!("the case could not run: {why}");
}

/// The operator's configuration: engines with these models, each with so many adapters, and two routes to them. Streams of
/// the second one may be resumed.
pub fn engine_configuration(models: &[&str], adapters: u64) -> String {
    let models: Vec<String> = models
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"weightsMb\":34300,\"loadS\":6.0,\"adapters\":{adapters},\"adapterMb\":40,\
                 \"warmS\":0.28,\"diskLoadS\":0.4}}"
            )
        })
        .collect();
    let route = |name: &str, timeout: u32, attempts: u32, resumable: bool| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"desk.example\",\"pathPrefix\":\"/{name}/\",\"kind\":\"streaming\",\
             \"timeoutMs\":{timeout},\"goalMs\":2500,\"priority\":2,\"service\":\"assistant\",\"attempts\":{attempts},\
             \"sticky\":true,\"resumable\":{resumable},\"gapTargetMs\":250}}"
        )
    };
    format!(
        "{{\"version\":3,\"routes\":[{},{}],\
         \"services\":[{{\"name\":\"assistant\",\"healthPath\":\"/health\",\"maxConns\":720,\"engine\":{{\"slots\":64,\
         \"kvCapacity\":232000,\"models\":[{}],\"weightsMb\":200000,\"adapterSlots\":8,\"loadsPerS\":2.1}}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}}}",
        route("draft", 5000, 1, false),
        route("deadline", 15000, 2, true),
        models.join(",")
    )
}

/// The operator's configuration: a plain service with a route for requests that may run once, and one for requests that may
/// be repeated.
pub fn configuration() -> String {
    let route = |name: &str, kind: &str, timeout: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"desk.example\",\"pathPrefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeoutMs\":{timeout},\"goalMs\":300,\"priority\":2,\"service\":\"ledger\",\"attempts\":2}}"
        )
    };
    format!(
        "{{\"version\":3,\"routes\":[{},{}],\"services\":[{{\"name\":\"ledger\",\"healthPath\":\"/health\",\
         \"maxConns\":192}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}}}",
        route("lock", "unsafe", 4000),
        route("view", "safe", 30000)
    )
}
