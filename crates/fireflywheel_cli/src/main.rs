//! Entry point of the `fireflywheel` command-line tool.

use std::io::{self, Write as _};
use std::process;

use fireflywheel_cli::command;

#[tokio::main(flavor = "current_thread")]
async fn main() -> process::ExitCode {
    let matches = command::command().get_matches();
    let report = command::run(&matches).await;
    // A write fails when the reader has closed the pipe, which is not an error of the command.
    let _ = io::stderr().write_all(report.notes.as_bytes());
    let _ = io::stdout().write_all(report.text.as_bytes());
    report.exit.into()
}
