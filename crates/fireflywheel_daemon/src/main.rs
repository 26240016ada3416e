//! `fireflywheeld`: runs one instance as a process.

use std::fs;
use std::io::Write as _;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::Context as _;
use clap::{Arg, ArgAction, Command, value_parser};
use fireflywheel::settings;
use fireflywheel_daemon::{daemon, logs};
use tokio::signal::unix::{SignalKind, signal};

/// The exit code when the settings are invalid.
const INVALID_SETTINGS_CODE: u8 = 2;
/// The exit code when a second signal ends the process.
const SECOND_SIGNAL_CODE: u8 = 1;

const ABOUT: &str = "One instance of fireflywheel, which serves rarely called language models";

const HELP: &str = "\
A settings file is in INI format. The minimum is:

    [instance]
    name = a1
    failure_domain = fd1
    [platform]
    log = http://10.0.0.5:7000
    list = http://10.0.0.5:7001
    [peers]
    key_file = /run/secrets/fireflywheel.key
    seeds = 10.0.0.11:8081, 10.0.0.12:8081

Further sections: [listen] caller, peer, operator, advertise; [limits]; [timing]; [log] level, format, file.
The key file holds the same secret of 16 bytes or more on all instances.

Once it listens, it prints one line to standard output:

    ready caller=IP:PORT peer=IP:PORT operator=IP:PORT

It may not be ready for callers yet; GET /readyz at the operator address tells why.
SIGTERM or SIGINT begins a planned stop that cuts off no request; a second signal ends the process at once.

Exit codes: 0 after a planned stop, 1 on a failure or a second signal, 2 when the settings are invalid.";

/// The options on the command line.
struct Options {
    settings: PathBuf,
    check: bool,
}

/// The settings and the key that they point to.
struct Loaded {
    settings: settings::Settings,
    key: settings::Secret,
}

fn command() -> Command {
    Command::new("fireflywheeld")
        .version(env!("CARGO_PKG_VERSION"))
        .about(ABOUT)
        .after_help(HELP)
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("The settings of this instance"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings and the key file, report every fault, and exit"),
        )
}

fn options() -> Options {
    let mut matches = command().get_matches();
    Options {
        settings: matches
            .remove_one("settings")
            .expect("clap requires --settings"),
        check: matches.get_flag("check"),
    }
}

/// Reads the settings and the key file. The error lists every fault, one per line.
fn load(path: &Path) -> Result<Loaded, String> {
    let shown = path.display();
    let text = fs::read_to_string(path).map_err(|error| format!("{shown}: {error}"))?;
    let settings = settings::Settings::parse(&text).map_err(|faults| {
        let lines: Vec<String> = faults
            .iter()
            .map(|fault| format!("{shown}: {fault}"))
            .collect();
        lines.join("\n")
    })?;
    let key_file = settings.peers.key_file.display();
    let content = fs::read(&settings.peers.key_file)
        .map_err(|error| format!("{shown}: [peers] key_file: {key_file}: {error}"))?;
    let key = settings::Secret::new(&content)
        .map_err(|error| format!("{shown}: [peers] key_file: {error}"))?;
    Ok(Loaded { settings, key })
}

fn main() -> ExitCode {
    let options = options();
    let loaded = match load(&options.settings) {
        Ok(loaded) => loaded,
        Err(faults) => {
            eprintln!("{faults}");
            return ExitCode::from(INVALID_SETTINGS_CODE);
        }
    };
    if options.check {
        return ExitCode::SUCCESS;
    }
    run(loaded).unwrap_or_else(|error| {
        eprintln!("fireflywheeld: {error:#}");
        ExitCode::FAILURE
    })
}

fn run(loaded: Loaded) -> anyhow::Result<ExitCode> {
    // Dropping the logger would stop logging.
    let _logger = logs::start(&loaded.settings.log)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .context("the runtime can't be started")?;
    let code = runtime.block_on(serve(loaded));
    // Tasks that are still running must not delay the end of the process.
    runtime.shutdown_background();
    code
}

async fn serve(loaded: Loaded) -> anyhow::Result<ExitCode> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let daemon = daemon::Daemon::start(loaded.settings, loaded.key).await?;
    print_ready(&daemon)?;
    let stop = daemon.stopper();
    let finished = daemon.finished();
    tokio::pin!(finished);
    let mut signals = 0;
    loop {
        tokio::select! {
            () = &mut finished => return Ok(ExitCode::SUCCESS),
            _ = terminate.recv() => signals += 1,
            _ = interrupt.recv() => signals += 1,
        }
        if signals > 1 {
            log::warn!("second signal received; ending the process with requests in progress");
            return Ok(ExitCode::from(SECOND_SIGNAL_CODE));
        }
        stop.stop();
    }
}

fn print_ready(daemon: &daemon::Daemon) -> anyhow::Result<()> {
    let mut out = std::io::stdout().lock();
    writeln!(
        out,
        "ready caller={} peer={} operator={}",
        daemon.caller, daemon.peer, daemon.operator
    )?;
    Ok(out.flush()?)
}
