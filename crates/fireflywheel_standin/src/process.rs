//! A harness for tests that run the daemon and the stand-ins as processes of their own.
//!
//! Only the test runner starts processes; the shipped ones never do.

use std::ffi::OsString;
use std::sync::atomic;
use std::{env, fs, io, net, path, process, time};

use anyhow::Context as _;
use rustix::process as signals;
use smol_str::SmolStr;
use tokio::io::{AsyncBufReadExt as _, BufReader};
use tokio::process as children;
use tokio::sync::mpsc::UnboundedSender;

/// Guards a test against a process that never gets ready.
const START_GUARD: time::Duration = time::Duration::from_secs(60);

/// Where the times in `/proc/PID/stat` stand after the program's name, and their unit on Linux.
const USER_TICKS: usize = 11;
const SYSTEM_TICKS: usize = 12;
const TICK: time::Duration = time::Duration::from_millis(10);

/// Distinguishes the files of the children of one test process.
static NEXT_FILE: atomic::AtomicU64 = atomic::AtomicU64::new(0);

/// What to start, and how.
#[derive(Debug)]
pub struct Program {
    name: SmolStr,
    path: path::PathBuf,
    args: Vec<OsString>,
    variables: Vec<(&'static str, OsString)>,
    marks: Vec<&'static str>,
    lines: Option<UnboundedSender<String>>,
}

impl Program {
    /// The binary `name` of this workspace. It says on stdout that it is `listening` or `ready`.
    ///
    /// # Panics
    /// When the binary isn't built.
    #[must_use]
    pub fn new(name: &str) -> Self {
        Self::at(binary(name))
    }

    /// The binary at this path.
    #[must_use]
    pub fn at(path: path::PathBuf) -> Self {
        let name = path.file_name().unwrap_or_default().to_string_lossy();
        Self {
            name: name.into(),
            path,
            args: Vec::new(),
            variables: Vec::new(),
            marks: vec!["listening ", "ready "],
            lines: None,
        }
    }

    /// The same with arguments after those it has.
    #[must_use]
    pub fn with_args<A>(mut self, args: A) -> Self
    where
        A: IntoIterator,
        A::Item: Into<OsString>,
    {
        self.args.extend(args.into_iter().map(Into::into));
        self
    }

    /// The same with a variable in its environment.
    #[must_use]
    pub fn with_variable(mut self, name: &'static str, value: impl Into<OsString>) -> Self {
        self.variables.push((name, value.into()));
        self
    }

    /// The same, but it counts as ready at once, whatever it says.
    #[must_use]
    pub fn without_mark(mut self) -> Self {
        self.marks.clear();
        self
    }

    /// The same with a reader of all lines that it writes to stdout.
    #[must_use]
    pub fn with_lines(mut self, lines: UnboundedSender<String>) -> Self {
        self.lines = Some(lines);
        self
    }

    /// Starts it and waits until it is ready. Needs a runtime with time and I/O.
    ///
    /// # Errors
    /// When the process ends or stays silent; the error holds what it wrote to stderr.
    pub async fn start(self) -> anyhow::Result<Child> {
        let stderr = scratch_file(&self.name);
        let mut inner = children::Command::new(&self.path)
            .args(&self.args)
            .envs(self.variables.iter().map(|(name, value)| (name, value)))
            .stdin(process::Stdio::null())
            .stdout(process::Stdio::piped())
            .stderr(fs::File::create(&stderr)?)
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("start {}", self.name))?;
        let pid = inner.id().and_then(pid_of).context("ended at once")?;
        let stdout = inner.stdout.take().context("stdout is piped")?;
        let mut child = Child {
            inner,
            pid,
            ready: SmolStr::default(),
            stderr,
        };
        child.ready = wait_until_ready(stdout, self.marks, self.lines)
            .await
            .with_context(|| format!("{}, which wrote: {}", self.name, child.stderr()))?;
        Ok(child)
    }
}

/// A process started by a test. Dropping it kills it by its id and removes its files.
#[derive(Debug)]
pub struct Child {
    inner: children::Child,
    pid: signals::Pid,
    ready: SmolStr,
    stderr: path::PathBuf,
}

impl Child {
    /// Starts the binary `name` of this workspace and waits until it says on stdout that it is
    /// `listening` or `ready`. Needs a runtime with time and I/O.
    ///
    /// # Errors
    /// When the process ends or stays silent; the error holds what it wrote to stderr.
    ///
    /// # Panics
    /// When the binary isn't built.
    pub async fn start<A>(name: &str, args: A) -> anyhow::Result<Self>
    where
        A: IntoIterator,
        A::Item: Into<OsString>,
    {
        Program::new(name).with_args(args).start().await
    }

    /// The line by which it said that it was ready.
    #[must_use]
    pub fn ready_line(&self) -> &str {
        &self.ready
    }

    /// An address from the ready line: `listening` of a stand-in, `caller`, `peer` or `operator`
    /// of the daemon.
    ///
    /// # Panics
    /// When the line names no such address.
    #[must_use]
    pub fn address(&self, name: &str) -> net::SocketAddr {
        let mut words = self.ready.split_whitespace();
        let found = if name == "listening" {
            words.nth(1)
        } else {
            words.find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
        };
        found
            .and_then(|address| address.parse().ok())
            .unwrap_or_else(|| panic!("no address {name} in: {}", self.ready))
    }

    /// `http://IP:PORT` of an address, see [`Child::address`].
    ///
    /// # Panics
    /// When the ready line names no such address.
    #[must_use]
    pub fn base(&self, name: &str) -> String {
        format!("http://{}", self.address(name))
    }

    /// The id of the process.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.pid.as_raw_nonzero().get().unsigned_abs()
    }

    /// Ends it at once (SIGKILL) and waits for its end.
    ///
    /// # Errors
    /// When it can't be killed.
    pub async fn kill(&mut self) -> anyhow::Result<()> {
        Ok(self.inner.kill().await?)
    }

    /// Stops it where it stands (SIGSTOP).
    ///
    /// # Errors
    /// When it has ended.
    pub fn pause(&self) -> anyhow::Result<()> {
        self.signal(signals::Signal::STOP)
    }

    /// Lets it go on after a pause (SIGCONT).
    ///
    /// # Errors
    /// When it has ended.
    pub fn resume(&self) -> anyhow::Result<()> {
        self.signal(signals::Signal::CONT)
    }

    /// Tells it that its settings changed (SIGHUP).
    ///
    /// # Errors
    /// When it has ended.
    pub fn reload(&self) -> anyhow::Result<()> {
        self.signal(signals::Signal::HUP)
    }

    /// The time of a processor that it has used so far.
    ///
    /// # Errors
    /// When the system can't be asked.
    pub fn processor_time(&self) -> anyhow::Result<time::Duration> {
        let text = fs::read_to_string(format!("/proc/{}/stat", self.id()))?;
        // The name of the program stands in brackets and may hold anything.
        let (_, rest) = text.rsplit_once(')').context("no name in it")?;
        let fields: Vec<&str> = rest.split_whitespace().collect();
        let ticks = |place: usize| -> anyhow::Result<u64> {
            Ok(fields.get(place).context("too short")?.parse()?)
        };
        let ticks = ticks(USER_TICKS)? + ticks(SYSTEM_TICKS)?;
        Ok(TICK * u32::try_from(ticks)?)
    }

    /// Whether it has ended.
    pub fn has_ended(&mut self) -> bool {
        // One that can't be asked about is treated as ended: it was waited for before.
        !matches!(self.inner.try_wait(), Ok(None))
    }

    /// Ends the process at once (`SIGKILL`), without waiting for its end: [`Self::wait`] does.
    ///
    /// # Errors
    ///
    /// When the process has ended.
    pub fn kill_now(&self) -> anyhow::Result<()> {
        self.signal(signals::Signal::KILL)
    }

    /// Asks it to end (SIGTERM).
    ///
    /// # Errors
    /// When it has ended.
    pub fn terminate(&self) -> anyhow::Result<()> {
        self.signal(signals::Signal::TERM)
    }

    fn signal(&self, signal: signals::Signal) -> anyhow::Result<()> {
        // Once it was waited for, its id may belong to another process.
        anyhow::ensure!(self.inner.id().is_some(), "the process has ended");
        Ok(signals::kill_process(self.pid, signal)?)
    }

    /// Waits for its end; `None` when a signal ended it.
    ///
    /// # Errors
    /// When the system can't wait for it.
    pub async fn wait(&mut self) -> io::Result<Option<i32>> {
        Ok(self.inner.wait().await?.code())
    }

    /// What it has written to stderr so far.
    #[must_use]
    pub fn stderr(&self) -> String {
        let bytes = fs::read(&self.stderr).unwrap_or_default();
        String::from_utf8_lossy(&bytes).into_owned()
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        // It may have ended already; the file may be gone.
        let _ = self.inner.start_kill();
        let _ = fs::remove_file(&self.stderr);
    }
}

async fn wait_until_ready(
    stdout: children::ChildStdout,
    marks: Vec<&'static str>,
    sink: Option<UnboundedSender<String>>,
) -> anyhow::Result<SmolStr> {
    let mut lines = BufReader::new(stdout).lines();
    let first = async {
        if marks.is_empty() {
            return Ok(SmolStr::default());
        }
        while let Some(line) = lines.next_line().await? {
            if marks.iter().any(|mark| line.starts_with(mark)) {
                return Ok(SmolStr::from(line));
            }
        }
        anyhow::bail!("stdout closed before it was ready")
    };
    let line = tokio::time::timeout(START_GUARD, first)
        .await
        .context("not ready in time")??;
    // A full pipe would block the process at its next line.
    tokio::spawn(async move {
        while let Ok(Some(line)) = lines.next_line().await {
            if let Some(sink) = &sink {
                // Whoever wanted the lines may have gone.
                let _ = sink.send(line);
            }
        }
    });
    Ok(line)
}

fn pid_of(id: u32) -> Option<signals::Pid> {
    signals::Pid::from_raw(i32::try_from(id).ok()?)
}

fn scratch_file(name: &str) -> path::PathBuf {
    let number = NEXT_FILE.fetch_add(1, atomic::Ordering::Relaxed);
    let own = process::id();
    env::temp_dir().join(format!("{name}-{own}-{number}.stderr"))
}

/// The path of a binary of this workspace, beside the running test.
///
/// # Panics
/// When the binary isn't built.
#[must_use]
pub fn binary(name: &str) -> path::PathBuf {
    let test = env::current_exe().expect("the test knows its own path");
    let mut directory = test.parent().expect("a file is in a directory");
    if directory.ends_with("deps") {
        directory = directory.parent().expect("deps is in the target directory");
    }
    let binary = directory.join(name);
    assert!(
        binary.is_file(),
        "{} isn't built: run `cargo build --workspace` in the same profile first",
        binary.display()
    );
    binary
}
