//! Helpers shared by the tests of the binary.

use std::path::PathBuf;
use std::process::Stdio;

use tokio::process;

/// The result of one run of the binary.
pub struct Output {
    /// The exit code.
    pub code: i32,
    /// The text on standard output.
    pub stdout: String,
    /// The text on standard error.
    pub stderr: String,
}

/// Runs `fireflywheel` with these arguments and waits until it exits.
pub async fn run(args: &[&str]) -> Output {
    start(args).await.expect("the task does not panic")
}

/// Starts `fireflywheel` with these arguments. The returned task resolves when the process exits.
pub fn start(args: &[&str]) -> tokio::task::JoinHandle<Output> {
    let child = process::Command::new(env!("CARGO_BIN_EXE_fireflywheel"))
        .args(args)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .expect("the binary starts");
    tokio::spawn(async move {
        let output = child
            .wait_with_output()
            .await
            .expect("the process can be waited for");
        Output {
            code: output
                .status
                .code()
                .expect("the process was not killed by a signal"),
            stdout: text(output.stdout),
            stderr: text(output.stderr),
        }
    })
}

fn text(bytes: Vec<u8>) -> String {
    String::from_utf8(bytes).expect("the output is UTF-8")
}

/// A temporary file that is removed on drop.
pub struct TempFile(PathBuf);

impl TempFile {
    /// Creates a file with this text. `name` must be unique within the test run.
    pub fn new(name: &str, text: &str) -> Self {
        let process_id = std::process::id();
        let path = std::env::temp_dir().join(format!("fireflywheel-cli-{process_id}-{name}.ini"));
        std::fs::write(&path, text).expect("the temporary directory is writable");
        Self(path)
    }

    /// Returns the path of the file, as a command-line argument.
    pub fn path(&self) -> &str {
        self.0.to_str().expect("the path is UTF-8")
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        // The file may have been removed already.
        let _ = std::fs::remove_file(&self.0);
    }
}
