//! `fireflywheel_demo`: runs the scenario and reports whether every promise held.

use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, Command, value_parser};
use fireflywheel::settings;
use fireflywheel_daemon::logs;
use fireflywheel_demo::{promise, scenario, table, wait};
use tokio::time;

/// Time limit of the demo.
const RUN_TIMEOUT: Duration = Duration::from_secs(60);

const HELP: &str = "\
Hosts stand-ins of the platform, four model engines, two plain services and three daemons in one process, on
ports of 127.0.0.1 that the system chooses. Sends a burst on cold models, a booking, a configuration change and a
planned stop, and prints a table and a line for each promise.

Exit codes: 0 when every promise held, 1 otherwise or when it took more than 60 s.";

fn command() -> Command {
    Command::new("fireflywheel_demo")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Shows fireflywheel at its main job, on this machine alone")
        .after_help(HELP)
        .arg(
            Arg::new("log")
                .long("log")
                .value_name("LEVEL")
                .help(
                    "Log lines of the daemons on standard error: error, warn, info, debug or trace",
                )
                .value_parser(value_parser!(log::LevelFilter)),
        )
}

#[tokio::main]
async fn main() -> anyhow::Result<ExitCode> {
    let mut matches = command().get_matches();
    let level: Option<log::LevelFilter> = matches.remove_one("log");
    // The logger must live until the end: dropping it stops the logs.
    let _logger = level.map(start_logs).transpose()?;
    let step = wait::Step::default();
    let evidence = match time::timeout(RUN_TIMEOUT, scenario::run(&step)).await {
        Ok(Ok(evidence)) => evidence,
        Ok(Err(error)) => {
            eprintln!("BROKEN  while {}: {error:#}", step.current());
            return Ok(ExitCode::FAILURE);
        }
        Err(_) => {
            eprintln!(
                "BROKEN  not done within {} s: {}",
                RUN_TIMEOUT.as_secs(),
                step.current()
            );
            return Ok(ExitCode::FAILURE);
        }
    };
    let promises = promise::check_all(&evidence);
    print!("{}", table::format(&evidence, &promises));
    let all_held = promises.iter().all(promise::Promise::is_held);
    Ok(if all_held {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn start_logs(level: log::LevelFilter) -> anyhow::Result<impl Sized> {
    logs::start(&settings::Log {
        level,
        ..settings::Log::default()
    })
}
