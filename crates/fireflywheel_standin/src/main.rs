//! `fireflywheel_standin` runs the stand-ins as processes, sends load to daemons, and runs soak and
//! replay trials.

use std::{net, path, process};

use anyhow::Context as _;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use fireflywheel_standin::{engine, list, load, log, service, site, store, trial};
use smol_str::SmolStr;
use tokio::{task, time};

/// Exit code if a check failed.
const CHECK_FAILED: u8 = 1;
const LOG_LEVELS: [&str; 4] = ["error", "warn", "info", "debug"];

#[tokio::main]
async fn main() -> anyhow::Result<process::ExitCode> {
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("load", args)) => return run_load(args).await,
        Some(("soak", args)) => return run_soak(args).await,
        Some(("replay", args)) => run_replay(args).await?,
        Some(("log", args)) => log::serve(listen(args).await?, log_options(args)).await?,
        Some(("list", args)) => list::serve(listen(args).await?, list_options(args)).await?,
        Some(("store", args)) => store::serve(listen(args).await?, store_options(args)).await?,
        Some(("engine", args)) => engine::serve(listen(args).await?, engine_options(args)).await?,
        Some(("site-store", args)) => serve_site_store(args).await?,
        Some(("site-worker", args)) => serve_site_worker(args).await?,
        Some(("service", args)) => {
            let options = service::Options {
                run_ms: u64_value(args, "run-ms"),
            };
            service::serve(listen(args).await?, options).await?;
        }
        _ => unreachable!("clap requires a subcommand"),
    }
    Ok(process::ExitCode::SUCCESS)
}

// ---- Command line ----

fn command() -> Command {
    Command::new("fireflywheel_standin")
        .about("Stand-ins of what fireflywheel meets, for tests")
        .subcommand_required(true)
        .subcommand(log_command())
        .subcommand(
            server_command("list", "The platform's list of instances")
                .arg(integer_arg("lag-ms", "0")),
        )
        .subcommand(store_command())
        .subcommand(engine_command())
        .subcommand(server_command("service", "A plain service").arg(integer_arg("run-ms", "0")))
        .subcommand(load_command())
        .subcommand(
            server_command("site-store", "The store of the users' platform")
                .arg(integer_arg("lapse-ms", "1000")),
        )
        .subcommand(site_worker_command())
        .subcommand(soak_command())
        .subcommand(replay_command())
}

fn server_command(name: &'static str, about: &'static str) -> Command {
    let listen = Arg::new("listen")
        .long("listen")
        .help("Address to listen on; port 0 takes a free one")
        .value_parser(value_parser!(net::SocketAddr))
        .default_value("127.0.0.1:0");
    Command::new(name).about(about).arg(listen)
}

fn integer_arg(name: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_parser(value_parser!(u64))
        .default_value(default)
}

fn decimal_arg(name: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_parser(value_parser!(f64))
        .default_value(default)
}

fn text_args(name: &'static str) -> Arg {
    Arg::new(name).long(name).action(ArgAction::Append)
}

fn log_command() -> Command {
    server_command("log", "The platform's append-only log")
        .arg(integer_arg("retain", "0"))
        .arg(integer_arg("appends-per-second", "0"))
}

fn store_command() -> Command {
    server_command("store", "The platform's weight store")
        .arg(decimal_arg("rate", "5"))
        .arg(integer_arg("at-once", "4"))
        .arg(integer_arg("fetch-ms", "200"))
        .arg(integer_arg("ms-per-gb", "0"))
        .arg(integer_arg("adapter-ms", "8"))
        .arg(integer_arg("adapters-at-once", "30"))
}

fn engine_command() -> Command {
    let fencing = Arg::new("fencing")
        .long("fencing")
        .value_parser(["checked", "forgets", "ignored"])
        .default_value("checked");
    let store = Arg::new("store")
        .long("store")
        .help("http://IP:PORT of the weight store, or none")
        .default_value("none");
    server_command("engine", "A model engine")
        .arg(store)
        .arg(fencing)
        .arg(integer_arg("fence-floor", "0"))
        .arg(integer_arg("slots", "16"))
        .arg(integer_arg("queue", "64"))
        .arg(integer_arg("token-us", "1000"))
        .arg(integer_arg("load-ms", "100"))
        .arg(integer_arg("adapter-ms", "8"))
        .arg(integer_arg("report-lag-ms", "0"))
        .arg(integer_arg("keep-ms", "3000"))
}

fn site_worker_command() -> Command {
    let address = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .help(help)
            .value_parser(value_parser!(net::SocketAddr))
            .required(true)
    };
    server_command("site-worker", "A worker of the users' platform")
        .arg(Arg::new("id").long("id").required(true))
        .arg(Arg::new("service").long("service").required(true))
        .arg(address("store", "IP:PORT of the store"))
        .arg(address("reached-at", "IP:PORT that its entry names"))
        .arg(text_args("in-memory"))
        .arg(text_args("on-disk"))
        .arg(integer_arg("beat-ms", "200"))
        .arg(integer_arg("load-ms", "100"))
        .arg(integer_arg("disk-load-ms", "50"))
        .arg(integer_arg("run-ms", "5"))
        .arg(integer_arg("step-ms", "5"))
        .arg(integer_arg("slots", "8"))
        .arg(integer_arg("queue", "8"))
        .arg(integer_arg("model-mb", "40"))
        .arg(integer_arg("weights-mb", "83"))
        .arg(
            Arg::new("crash-part")
                .long("crash-part")
                .help("Part of prompts on which it crashes"),
        )
        .arg(
            integer_arg("events-before-crash", "0")
                .help("Number of events after which it crashes on them"),
        )
        .arg(
            Arg::new("failure-interval")
                .long("failure-interval")
                .help("Interval between runs that fail, in runs")
                .value_parser(value_parser!(usize)),
        )
        .arg(
            Arg::new("brittle")
                .long("brittle")
                .help("Number of rejections in a second that it tolerates, as its answers say")
                .value_parser(value_parser!(u32)),
        )
        .arg(
            Arg::new("software-version")
                .long("software-version")
                .default_value("v1"),
        )
}

fn path_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .help(help)
        .value_parser(value_parser!(path::PathBuf))
}

fn soak_faults(args: &ArgMatches) -> trial::script::Faults {
    if args.get_flag("planned") {
        trial::script::Faults::Planned
    } else if args.get_flag("drills") {
        trial::script::Faults::Drills
    } else if args.get_flag("versions") {
        trial::script::Faults::Versions
    } else {
        trial::script::Faults::Any
    }
}

fn soak_command() -> Command {
    Command::new("soak")
        .about("Runs instances under seeded faults and checks what must hold")
        .arg(path_arg("program", "The program of the instances").required(true))
        .arg(path_arg("logs", "A folder for the instances' logs"))
        .arg(integer_arg("first", "1"))
        .arg(integer_arg("seeds", "1"))
        .arg(integer_arg("at-once", "1"))
        .arg(integer_arg("seconds", "10"))
        .arg(integer_arg("instances", "3"))
        .arg(integer_arg("engines", "3"))
        .arg(
            Arg::new("planned")
                .long("planned")
                .help("Planned work only, by which no request may be lost")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("drills")
                .long("drills")
                .help("Also a store that comes back from an older copy")
                .conflicts_with("planned")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("versions")
                .long("versions")
                .help("Also releases, and callers that return for their streams")
                .conflicts_with_all(["planned", "drills"])
                .action(ArgAction::SetTrue),
        )
}

fn replay_command() -> Command {
    let patterns = trial::replay::Pattern::NAMES.map(|(name, _)| name);
    Command::new("replay")
        .about("Sends the same load to each program, and shows what became of it")
        .arg(
            path_arg("program", "A program of the instances")
                .action(ArgAction::Append)
                .required(true),
        )
        .arg(
            Arg::new("pattern")
                .long("pattern")
                .value_parser(patterns)
                .default_value("steady"),
        )
        .arg(
            Arg::new("log-level")
                .long("log-level")
                .value_parser(LOG_LEVELS)
                .default_value("info"),
        )
        .arg(integer_arg("seed", "1"))
        .arg(integer_arg("seconds", "12"))
        .arg(decimal_arg("rate", "60"))
        .arg(integer_arg("instances", "3"))
        .arg(integer_arg("engines", "4"))
        .arg(integer_arg("models", "12"))
}

fn load_command() -> Command {
    let target = Arg::new("target")
        .long("target")
        .help("IP:PORT of a daemon's door for callers; loopback only")
        .value_parser(value_parser!(net::SocketAddr))
        .action(ArgAction::Append)
        .required(true);
    let svg = Arg::new("svg")
        .long("svg")
        .help("Plot of the latencies by class")
        .value_parser(value_parser!(path::PathBuf));
    Command::new("load")
        .about("Sends a bounded load to daemons on this machine and judges the answers")
        .arg(target)
        .arg(text_args("model").required(true))
        .arg(text_args("class"))
        .arg(text_args("tenant"))
        .arg(integer_arg("deadline-ms", "10000"))
        .arg(integer_arg("max-tokens", "16"))
        .arg(decimal_arg("rate", "10"))
        .arg(
            decimal_arg("hot-share", "0")
                .help("Share of the requests that all go to the first target"),
        )
        .arg(integer_arg("count", "100"))
        .arg(integer_arg("seconds", "60"))
        .arg(integer_arg("seed", "1"))
        .arg(svg)
        .arg(Arg::new("stream").long("stream").action(ArgAction::SetTrue))
        .arg(Arg::new("json").long("json").action(ArgAction::SetTrue))
}

// ---- Options ----

fn u64_value(args: &ArgMatches, name: &str) -> u64 {
    *args.get_one(name).expect("argument has a default")
}

fn duration_value(args: &ArgMatches, name: &str) -> time::Duration {
    time::Duration::from_millis(u64_value(args, name))
}

fn usize_value(args: &ArgMatches, name: &str) -> usize {
    usize::try_from(u64_value(args, name)).unwrap_or(usize::MAX)
}

fn f64_value(args: &ArgMatches, name: &str) -> f64 {
    *args.get_one(name).expect("argument has a default")
}

fn text_value<'a>(args: &'a ArgMatches, name: &str) -> &'a str {
    args.get_one::<String>(name)
        .expect("argument has a default")
}

fn text_values(args: &ArgMatches, name: &str) -> Vec<SmolStr> {
    args.get_many::<String>(name)
        .unwrap_or_default()
        .map(SmolStr::from)
        .collect()
}

fn log_options(args: &ArgMatches) -> log::Options {
    log::Options {
        retain: u64_value(args, "retain"),
        appends_per_second: u64_value(args, "appends-per-second"),
    }
}

fn list_options(args: &ArgMatches) -> list::Options {
    list::Options {
        lag_ms: u64_value(args, "lag-ms"),
        instances: Vec::new(),
    }
}

fn store_options(args: &ArgMatches) -> store::Options {
    store::Options {
        rate: f64_value(args, "rate"),
        at_once: u64_value(args, "at-once"),
        fetch_ms: u64_value(args, "fetch-ms"),
        ms_per_gb: u64_value(args, "ms-per-gb"),
        adapter_ms: u64_value(args, "adapter-ms"),
        adapters_at_once: u64_value(args, "adapters-at-once"),
    }
}

fn engine_options(args: &ArgMatches) -> engine::Options {
    let store = text_value(args, "store");
    engine::Options {
        store: (store != "none").then(|| store.trim_end_matches('/').into()),
        fencing: match text_value(args, "fencing") {
            "forgets" => engine::Fencing::Forgets,
            "ignored" => engine::Fencing::Ignored,
            _ => engine::Fencing::Checked,
        },
        fence_floor: u64_value(args, "fence-floor"),
        slots: usize_value(args, "slots"),
        queue: usize_value(args, "queue"),
        token_us: u64_value(args, "token-us"),
        load_ms: u64_value(args, "load-ms"),
        adapter_ms: u64_value(args, "adapter-ms"),
        report_lag_ms: u64_value(args, "report-lag-ms"),
        stream_retention_ms: u64_value(args, "keep-ms"),
    }
}

fn load_options(args: &ArgMatches) -> load::Options {
    load::Options {
        targets: args
            .get_many("target")
            .unwrap_or_default()
            .copied()
            .collect(),
        hot_share: f64_value(args, "hot-share"),
        models: text_values(args, "model"),
        classes: text_values(args, "class"),
        tenants: text_values(args, "tenant"),
        deadline_ms: u64_value(args, "deadline-ms"),
        stream: args.get_flag("stream"),
        max_tokens: usize_value(args, "max-tokens"),
        rate: f64_value(args, "rate"),
        count: u64_value(args, "count"),
        time: time::Duration::from_secs(u64_value(args, "seconds")),
        seed: u64_value(args, "seed"),
        svg: args.get_one("svg").cloned(),
    }
}

// ---- Commands ----

/// Binds the listener, and reports its address on stdout once connections are accepted.
async fn listen(args: &ArgMatches) -> anyhow::Result<tokio::net::TcpListener> {
    let address: &net::SocketAddr = args.get_one("listen").expect("argument has a default");
    let listener = tokio::net::TcpListener::bind(address).await?;
    println!("listening {}", listener.local_addr()?);
    Ok(listener)
}

async fn serve_site_store(args: &ArgMatches) -> anyhow::Result<()> {
    let store = site::store::Store::new();
    let expiry = store
        .clone()
        .expire_entries(duration_value(args, "lapse-ms"));
    let listener = listen(args).await?;
    tokio::select! {
        result = store.serve(listener) => result,
        () = expiry => Ok(()),
    }
}

async fn serve_site_worker(args: &ArgMatches) -> anyhow::Result<()> {
    let options = site::worker::Options {
        load: duration_value(args, "load-ms"),
        disk_load: duration_value(args, "disk-load-ms"),
        run: duration_value(args, "run-ms"),
        event_interval: duration_value(args, "step-ms"),
        event_padding: 0,
        slots: usize_value(args, "slots"),
        queue: usize_value(args, "queue"),
        model_mb: u64_value(args, "model-mb"),
        weights_mb: u64_value(args, "weights-mb"),
        version: text_value(args, "software-version").into(),
        prints_lines: true,
        events_before_crash: u64_value(args, "events-before-crash"),
        failure_interval: args.get_one("failure-interval").copied(),
        crash_model: None,
        trigger: args
            .get_one::<String>("crash-part")
            .map(|part| site::worker::Trigger::part(part)),
    };
    let mut worker = site::worker::Worker::with_options(
        text_value(args, "id"),
        text_value(args, "service"),
        options,
    );
    worker.set_brittle(args.get_one("brittle").copied());
    for model in text_values(args, "on-disk") {
        worker = worker.with_on_disk(&model);
    }
    for model in text_values(args, "in-memory") {
        worker = worker.with_model(&model);
    }
    let [store, address] = ["store", "reached-at"].map(|name| {
        let address: &net::SocketAddr = args.get_one(name).expect("argument is required");
        *address
    });
    let entries = worker
        .clone()
        .publish_entries(store, address, duration_value(args, "beat-ms"));
    let listener = listen(args).await?;
    tokio::select! {
        result = worker.serve(listener) => result,
        () = entries => Ok(()),
    }
}

/// Runs a soak for each seed, several concurrently. The exit code is 0 if all promises held.
async fn run_soak(args: &ArgMatches) -> anyhow::Result<process::ExitCode> {
    let program: &path::PathBuf = args.get_one("program").expect("argument is required");
    let logs: Option<&path::PathBuf> = args.get_one("logs");
    let first = u64_value(args, "first");
    let mut seeds = first..first + u64_value(args, "seeds");
    let mut running = task::JoinSet::new();
    let mut broken = 0;
    loop {
        while running.len() < usize_value(args, "at-once").max(1)
            && let Some(seed) = seeds.next()
        {
            let options = trial::soak::Options {
                program: program.clone(),
                seed,
                faults: soak_faults(args),
                time: time::Duration::from_secs(u64_value(args, "seconds")),
                instances: usize_value(args, "instances"),
                engines: usize_value(args, "engines"),
                logs: logs.map(|logs| logs.join(seed.to_string())),
            };
            running.spawn(async move { trial::soak::run(&options).await });
        }
        let Some(finished) = running.join_next().await else {
            break;
        };
        let report = finished??;
        print!("{report}");
        broken += report.broken.len();
    }
    println!("{broken} broken");
    let code = if broken == 0 { 0 } else { CHECK_FAILED };
    Ok(code.into())
}

async fn run_replay(args: &ArgMatches) -> anyhow::Result<()> {
    let name = text_value(args, "pattern");
    let mut patterns = trial::replay::Pattern::NAMES.into_iter();
    let pattern = patterns.find(|(pattern_name, _)| *pattern_name == name);
    let (_, pattern) = pattern.context("unknown pattern")?;
    let level = text_value(args, "log-level");
    let log_level = LOG_LEVELS
        .into_iter()
        .find(|known_level| *known_level == level);
    for program in args
        .get_many::<path::PathBuf>("program")
        .unwrap_or_default()
    {
        let options = trial::replay::Options {
            program: program.clone(),
            pattern,
            seed: u64_value(args, "seed"),
            time: time::Duration::from_secs(u64_value(args, "seconds")),
            rate: f64_value(args, "rate"),
            instances: usize_value(args, "instances"),
            engines: usize_value(args, "engines"),
            models: usize_value(args, "models"),
            log_level: log_level.context("unknown log level")?,
        };
        println!("{}, {name}, seed {}", program.display(), options.seed);
        print!("{}", trial::replay::run(&options).await?);
    }
    Ok(())
}

async fn run_load(args: &ArgMatches) -> anyhow::Result<process::ExitCode> {
    let report = load::run(&load_options(args)).await?;
    if args.get_flag("json") {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print!("{report}");
    }
    let code = if report.is_clean() { 0 } else { CHECK_FAILED };
    Ok(code.into())
}
