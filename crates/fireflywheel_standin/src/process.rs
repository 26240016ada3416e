//! A harness for tests that run the daemon and the stand-ins as child processes.
//!
//! Only the test runner starts processes; the shipped binaries never do.

use std::ffi::OsString;
use std::sync::atomic;
use std::{env, fs, io, net, path, process, time};

use anyhow::Context as _;
use rustix::process as signals;
use smol_str::SmolStr;
use tokio::io::{AsyncBufReadExt as _, BufReader};
use tokio::process as children;
use tokio::sync::mpsc::UnboundedSender;

/// Maximum time that a process may take to become ready. It prevents a test from hanging.
const START_TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// Index of the user time in `/proc/PID/stat`, counted from the field after the program name.
const USER_TIME_INDEX: usize = 11;
/// Index of the system time in `/proc/PID/stat`, counted from the same field.
const SYSTEM_TIME_INDEX: usize = 12;
/// Unit of these times on Linux.
const CLOCK_TICK: time::Duration = time::Duration::from_millis(10);

/// Number of the next stderr file. It distinguishes the files of the child processes of one test
/// process.
static NEXT_FILE_NUMBER: atomic::AtomicU64 = atomic::AtomicU64::new(0);

/// The settings of a child process.
#[derive(Debug)]
pub struct Program {
    name: SmolStr,
    path: path::PathBuf,
    args: Vec<OsString>,
    variables: Vec<(&'static str, OsString)>,
    /// Prefixes of the line that reports that the process is ready. If empty, the process counts as
    /// ready at once.
    ready_prefixes: Vec<&'static str>,
    lines: Option<UnboundedSender<String>>,
}

impl Program {
    /// Creates the settings for the binary `name` of this workspace, which reports on stdout that
    /// it is `listening` or `ready`.
    ///
    /// # Panics
    /// If the binary is not built.
    #[must_use]
    pub fn new(name: &str) -> Self {
        Self::at(binary(name))
    }

    /// Creates the settings for the binary at `path`.
    #[must_use]
    pub fn at(path: path::PathBuf) -> Self {
        let name = path.file_name().unwrap_or_default().to_string_lossy();
        Self {
            name: name.into(),
            path,
            args: Vec::new(),
            variables: Vec::new(),
            ready_prefixes: vec!["listening ", "ready "],
            lines: None,
        }
    }

    /// Appends arguments.
    #[must_use]
    pub fn with_args<A>(mut self, args: A) -> Self
    where
        A: IntoIterator,
        A::Item: Into<OsString>,
    {
        self.args.extend(args.into_iter().map(Into::into));
        self
    }

    /// Sets an environment variable.
    #[must_use]
    pub fn with_variable(mut self, name: &'static str, value: impl Into<OsString>) -> Self {
        self.variables.push((name, value.into()));
        self
    }

    /// Makes the process count as ready at once, whatever it writes to stdout.
    #[must_use]
    pub fn without_mark(mut self) -> Self {
        self.ready_prefixes.clear();
        self
    }

    /// Sends the lines that the process writes to stdout once it is ready to a channel.
    #[must_use]
    pub fn with_lines(mut self, lines: UnboundedSender<String>) -> Self {
        self.lines = Some(lines);
        self
    }

    /// Starts the process and waits until it is ready. Requires a runtime with time and I/O
    /// enabled.
    ///
    /// # Errors
    /// If the process ends or does not become ready in time. The error contains its stderr output.
    pub async fn start(self) -> anyhow::Result<Child> {
        let stderr = stderr_file(&self.name);
        let mut inner = children::Command::new(&self.path)
            .args(&self.args)
            .envs(self.variables.iter().map(|(name, value)| (name, value)))
            .stdin(process::Stdio::null())
            .stdout(process::Stdio::piped())
            .stderr(fs::File::create(&stderr)?)
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("failed to start {}", self.name))?;
        let pid = inner
            .id()
            .and_then(pid_of)
            .context("process ended at once")?;
        let stdout = inner.stdout.take().context("stdout is piped")?;
        let mut child = Child {
            inner,
            pid,
            ready: SmolStr::default(),
            stderr,
        };
        child.ready = wait_until_ready(stdout, self.ready_prefixes, self.lines)
            .await
            .with_context(|| {
                format!("{} failed to start; stderr: {}", self.name, child.stderr())
            })?;
        Ok(child)
    }
}

/// A process that a test started. Dropping it kills the process by its id and removes its stderr
/// file.
#[derive(Debug)]
pub struct Child {
    inner: children::Child,
    pid: signals::Pid,
    ready: SmolStr,
    stderr: path::PathBuf,
}

impl Child {
    /// Starts the binary `name` of this workspace and waits until it reports on stdout that it is
    /// `listening` or `ready`. Requires a runtime with time and I/O enabled.
    ///
    /// # Errors
    /// If the process ends or does not become ready in time. The error contains its stderr output.
    ///
    /// # Panics
    /// If the binary is not built.
    pub async fn start<A>(name: &str, args: A) -> anyhow::Result<Self>
    where
        A: IntoIterator,
        A::Item: Into<OsString>,
    {
        Program::new(name).with_args(args).start().await
    }

    /// Returns the line that reported that the process was ready.
    #[must_use]
    pub fn ready_line(&self) -> &str {
        &self.ready
    }

    /// Returns an address from the ready line: `listening` of a stand-in, or `caller`, `peer` or
    /// `operator` of the daemon.
    ///
    /// # Panics
    /// If the ready line does not contain the address.
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
            .unwrap_or_else(|| panic!("no address `{name}` in ready line: {}", self.ready))
    }

    /// Returns the base URL `http://IP:PORT` of an address; see [`Child::address`].
    ///
    /// # Panics
    /// If the ready line does not contain the address.
    #[must_use]
    pub fn base(&self, name: &str) -> String {
        format!("http://{}", self.address(name))
    }

    /// Returns the process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.pid.as_raw_nonzero().get().unsigned_abs()
    }

    /// Kills the process with SIGKILL and waits for its end.
    ///
    /// # Errors
    /// If the process cannot be killed.
    pub async fn kill(&mut self) -> anyhow::Result<()> {
        Ok(self.inner.kill().await?)
    }

    /// Suspends the process with SIGSTOP.
    ///
    /// # Errors
    /// If the process has ended.
    pub fn pause(&self) -> anyhow::Result<()> {
        self.signal(signals::Signal::STOP)
    }

    /// Resumes a suspended process with SIGCONT.
    ///
    /// # Errors
    /// If the process has ended.
    pub fn resume(&self) -> anyhow::Result<()> {
        self.signal(signals::Signal::CONT)
    }

    /// Makes the process reload its settings with SIGHUP.
    ///
    /// # Errors
    /// If the process has ended.
    pub fn reload(&self) -> anyhow::Result<()> {
        self.signal(signals::Signal::HUP)
    }

    /// Returns the CPU time that the process has used.
    ///
    /// # Errors
    /// If `/proc/PID/stat` cannot be read or parsed.
    pub fn processor_time(&self) -> anyhow::Result<time::Duration> {
        let text = fs::read_to_string(format!("/proc/{}/stat", self.id()))?;
        // The program name is in parentheses and may contain any characters.
        let (_, rest) = text
            .rsplit_once(')')
            .context("no program name in /proc/PID/stat")?;
        let fields: Vec<&str> = rest.split_whitespace().collect();
        let ticks = |index: usize| -> anyhow::Result<u64> {
            Ok(fields
                .get(index)
                .context("too few fields in /proc/PID/stat")?
                .parse()?)
        };
        let ticks = ticks(USER_TIME_INDEX)? + ticks(SYSTEM_TIME_INDEX)?;
        Ok(CLOCK_TICK * u32::try_from(ticks)?)
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        // If the status is unavailable, the process was already waited for, so it has ended.
        !matches!(self.inner.try_wait(), Ok(None))
    }

    /// Kills the process with SIGKILL without waiting for its end; [`Self::wait`] waits.
    ///
    /// # Errors
    /// If the process has ended.
    pub fn kill_now(&self) -> anyhow::Result<()> {
        self.signal(signals::Signal::KILL)
    }

    /// Asks the process to shut down with SIGTERM.
    ///
    /// # Errors
    /// If the process has ended.
    pub fn terminate(&self) -> anyhow::Result<()> {
        self.signal(signals::Signal::TERM)
    }

    fn signal(&self, signal: signals::Signal) -> anyhow::Result<()> {
        // After the process was waited for, its id may belong to another process.
        anyhow::ensure!(self.inner.id().is_some(), "process has ended");
        Ok(signals::kill_process(self.pid, signal)?)
    }

    /// Waits for the end of the process and returns its exit code; `None` if a signal ended it.
    ///
    /// # Errors
    /// If waiting for the process fails.
    pub async fn wait(&mut self) -> io::Result<Option<i32>> {
        Ok(self.inner.wait().await?.code())
    }

    /// Returns what the process has written to stderr so far.
    #[must_use]
    pub fn stderr(&self) -> String {
        let bytes = fs::read(&self.stderr).unwrap_or_default();
        String::from_utf8_lossy(&bytes).into_owned()
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        // The process may have ended, and the file may be gone.
        let _ = self.inner.start_kill();
        let _ = fs::remove_file(&self.stderr);
    }
}

async fn wait_until_ready(
    stdout: children::ChildStdout,
    ready_prefixes: Vec<&'static str>,
    sink: Option<UnboundedSender<String>>,
) -> anyhow::Result<SmolStr> {
    let mut lines = BufReader::new(stdout).lines();
    let ready_line = async {
        if ready_prefixes.is_empty() {
            return Ok(SmolStr::default());
        }
        while let Some(line) = lines.next_line().await? {
            if ready_prefixes.iter().any(|prefix| line.starts_with(prefix)) {
                return Ok(SmolStr::from(line));
            }
        }
        anyhow::bail!("stdout closed before the process was ready")
    };
    let line = tokio::time::timeout(START_TIMEOUT, ready_line)
        .await
        .context("process was not ready in time")??;
    // Stdout is read to its end, because a full pipe would block the process.
    tokio::spawn(async move {
        while let Ok(Some(line)) = lines.next_line().await {
            if let Some(sink) = &sink {
                // The receiver may have been dropped.
                let _ = sink.send(line);
            }
        }
    });
    Ok(line)
}

fn pid_of(id: u32) -> Option<signals::Pid> {
    signals::Pid::from_raw(i32::try_from(id).ok()?)
}

fn stderr_file(name: &str) -> path::PathBuf {
    let number = NEXT_FILE_NUMBER.fetch_add(1, atomic::Ordering::Relaxed);
    let pid = process::id();
    env::temp_dir().join(format!("{name}-{pid}-{number}.stderr"))
}

/// Returns the path of a binary of this workspace, in the target directory of the running test.
///
/// # Panics
/// If the binary is not built.
#[must_use]
pub fn binary(name: &str) -> path::PathBuf {
    let test = env::current_exe().expect("path of the running test");
    let mut directory = test.parent().expect("a file has a parent directory");
    if directory.ends_with("deps") {
        directory = directory.parent().expect("`deps` has a parent directory");
    }
    let binary = directory.join(name);
    assert!(
        binary.is_file(),
        "{} is not built: run `cargo build --workspace` in the same profile first",
        binary.display()
    );
    binary
}
