//! `fireflywheel_standin`: the stand-ins as processes, and the load command.

use std::{net, path, process};

use anyhow::Context as _;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use fireflywheel_standin::{engine, list, load, log, service, site, store, trial};
use smol_str::SmolStr;
use tokio::{task, time};

const NOT_CLEAN: u8 = 1;
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
                run_ms: number(args, "run-ms"),
            };
            service::serve(listen(args).await?, options).await?;
        }
        _ => unreachable!("clap demands a subcommand"),
    }
    Ok(process::ExitCode::SUCCESS)
}

// ---- The command line ----

fn command() -> Command {
    Command::new("fireflywheel_standin")
        .about("Stand-ins of what fireflywheel meets, for tests")
        .subcommand_required(true)
        .subcommand(log_command())
        .subcommand(server("list", "The platform's list of instances").arg(count("lag-ms", "0")))
        .subcommand(store_command())
        .subcommand(engine_command())
        .subcommand(server("service", "A plain service").arg(count("run-ms", "0")))
        .subcommand(load_command())
        .subcommand(
            server("site-store", "The store of the users' platform").arg(count("lapse-ms", "1000")),
        )
        .subcommand(site_worker_command())
        .subcommand(soak_command())
        .subcommand(replay_command())
}

fn server(name: &'static str, about: &'static str) -> Command {
    let listen = Arg::new("listen")
        .long("listen")
        .help("Address to listen on; port 0 takes a free one")
        .value_parser(value_parser!(net::SocketAddr))
        .default_value("127.0.0.1:0");
    Command::new(name).about(about).arg(listen)
}

fn count(name: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_parser(value_parser!(u64))
        .default_value(default)
}

fn decimal(name: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_parser(value_parser!(f64))
        .default_value(default)
}

fn texts(name: &'static str) -> Arg {
    Arg::new(name).long(name).action(ArgAction::Append)
}

fn log_command() -> Command {
    server("log", "The platform's append-only log")
        .arg(count("retain", "0"))
        .arg(count("appends-per-second", "0"))
}

fn store_command() -> Command {
    server("store", "The platform's weight store")
        .arg(decimal("rate", "5"))
        .arg(count("at-once", "4"))
        .arg(count("fetch-ms", "200"))
        .arg(count("ms-per-gb", "0"))
        .arg(count("adapter-ms", "8"))
        .arg(count("adapters-at-once", "30"))
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
    server("engine", "A model engine")
        .arg(store)
        .arg(fencing)
        .arg(count("fence-floor", "0"))
        .arg(count("slots", "16"))
        .arg(count("queue", "64"))
        .arg(count("token-us", "1000"))
        .arg(count("load-ms", "100"))
        .arg(count("adapter-ms", "8"))
        .arg(count("report-lag-ms", "0"))
        .arg(count("keep-ms", "3000"))
}

fn site_worker_command() -> Command {
    let address = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .help(help)
            .value_parser(value_parser!(net::SocketAddr))
            .required(true)
    };
    server("site-worker", "A worker of the users' platform")
        .arg(Arg::new("id").long("id").required(true))
        .arg(Arg::new("service").long("service").required(true))
        .arg(address("store", "IP:PORT of the store"))
        .arg(address("reached-at", "IP:PORT that its entry names"))
        .arg(texts("in-memory"))
        .arg(texts("on-disk"))
        .arg(count("beat-ms", "200"))
        .arg(count("load-ms", "100"))
        .arg(count("disk-load-ms", "50"))
        .arg(count("run-ms", "5"))
        .arg(count("step-ms", "5"))
        .arg(count("slots", "8"))
        .arg(count("queue", "8"))
        .arg(count("model-mb", "40"))
        .arg(count("weights-mb", "83"))
}

fn path(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .help(help)
        .value_parser(value_parser!(path::PathBuf))
}

fn faults(args: &ArgMatches) -> trial::script::Faults {
    if args.get_flag("planned") {
        trial::script::Faults::Planned
    } else if args.get_flag("drills") {
        trial::script::Faults::Drills
    } else {
        trial::script::Faults::Any
    }
}

fn soak_command() -> Command {
    Command::new("soak")
        .about("Runs instances under seeded faults and checks what must hold")
        .arg(path("program", "The program of the instances").required(true))
        .arg(path("logs", "A folder for the instances' logs"))
        .arg(count("first", "1"))
        .arg(count("seeds", "1"))
        .arg(count("at-once", "1"))
        .arg(count("seconds", "10"))
        .arg(count("instances", "3"))
        .arg(count("engines", "3"))
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
}

fn replay_command() -> Command {
    let patterns = trial::replay::Pattern::NAMES.map(|(name, _)| name);
    Command::new("replay")
        .about("Sends the same load to each program, and shows what became of it")
        .arg(
            path("program", "A program of the instances")
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
        .arg(count("seed", "1"))
        .arg(count("seconds", "12"))
        .arg(decimal("rate", "60"))
        .arg(count("instances", "3"))
        .arg(count("engines", "4"))
        .arg(count("models", "12"))
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
        .arg(texts("model").required(true))
        .arg(texts("class"))
        .arg(texts("tenant"))
        .arg(count("deadline-ms", "10000"))
        .arg(count("max-tokens", "16"))
        .arg(decimal("rate", "10"))
        .arg(count("count", "100"))
        .arg(count("seconds", "60"))
        .arg(count("seed", "1"))
        .arg(svg)
        .arg(Arg::new("stream").long("stream").action(ArgAction::SetTrue))
        .arg(Arg::new("json").long("json").action(ArgAction::SetTrue))
}

// ---- From arguments to options ----

fn number(args: &ArgMatches, name: &str) -> u64 {
    *args.get_one(name).expect("it has a default")
}

fn span(args: &ArgMatches, name: &str) -> time::Duration {
    time::Duration::from_millis(number(args, name))
}

fn size(args: &ArgMatches, name: &str) -> usize {
    usize::try_from(number(args, name)).unwrap_or(usize::MAX)
}

fn fraction(args: &ArgMatches, name: &str) -> f64 {
    *args.get_one(name).expect("it has a default")
}

fn text<'a>(args: &'a ArgMatches, name: &str) -> &'a str {
    args.get_one::<String>(name).expect("it has a default")
}

fn all_texts(args: &ArgMatches, name: &str) -> Vec<SmolStr> {
    args.get_many::<String>(name)
        .unwrap_or_default()
        .map(SmolStr::from)
        .collect()
}

fn log_options(args: &ArgMatches) -> log::Options {
    log::Options {
        retain: number(args, "retain"),
        appends_per_second: number(args, "appends-per-second"),
    }
}

fn list_options(args: &ArgMatches) -> list::Options {
    list::Options {
        lag_ms: number(args, "lag-ms"),
        instances: Vec::new(),
    }
}

fn store_options(args: &ArgMatches) -> store::Options {
    store::Options {
        rate: fraction(args, "rate"),
        at_once: number(args, "at-once"),
        fetch_ms: number(args, "fetch-ms"),
        ms_per_gb: number(args, "ms-per-gb"),
        adapter_ms: number(args, "adapter-ms"),
        adapters_at_once: number(args, "adapters-at-once"),
    }
}

fn engine_options(args: &ArgMatches) -> engine::Options {
    let store = text(args, "store");
    engine::Options {
        store: (store != "none").then(|| store.trim_end_matches('/').into()),
        fencing: match text(args, "fencing") {
            "forgets" => engine::Fencing::Forgets,
            "ignored" => engine::Fencing::Ignored,
            _ => engine::Fencing::Checked,
        },
        fence_floor: number(args, "fence-floor"),
        slots: size(args, "slots"),
        queue: size(args, "queue"),
        token_us: number(args, "token-us"),
        load_ms: number(args, "load-ms"),
        adapter_ms: number(args, "adapter-ms"),
        report_lag_ms: number(args, "report-lag-ms"),
        keep_ms: number(args, "keep-ms"),
    }
}

fn load_options(args: &ArgMatches) -> load::Options {
    load::Options {
        targets: args
            .get_many("target")
            .unwrap_or_default()
            .copied()
            .collect(),
        models: all_texts(args, "model"),
        classes: all_texts(args, "class"),
        tenants: all_texts(args, "tenant"),
        deadline_ms: number(args, "deadline-ms"),
        stream: args.get_flag("stream"),
        max_tokens: size(args, "max-tokens"),
        rate: fraction(args, "rate"),
        count: number(args, "count"),
        time: time::Duration::from_secs(number(args, "seconds")),
        seed: number(args, "seed"),
        svg: args.get_one("svg").cloned(),
    }
}

// ---- Running ----

/// Listens, and says so on stdout once a connection would be taken.
async fn listen(args: &ArgMatches) -> anyhow::Result<tokio::net::TcpListener> {
    let address: &net::SocketAddr = args.get_one("listen").expect("it has a default");
    let listener = tokio::net::TcpListener::bind(address).await?;
    println!("listening {}", listener.local_addr()?);
    Ok(listener)
}

async fn serve_site_store(args: &ArgMatches) -> anyhow::Result<()> {
    let store = site::store::Store::new();
    let lapse = store.clone().lapse(span(args, "lapse-ms"));
    let listener = listen(args).await?;
    tokio::select! {
        result = store.serve(listener) => result,
        () = lapse => Ok(()),
    }
}

async fn serve_site_worker(args: &ArgMatches) -> anyhow::Result<()> {
    let options = site::worker::Options {
        load: span(args, "load-ms"),
        disk_load: span(args, "disk-load-ms"),
        run: span(args, "run-ms"),
        step: span(args, "step-ms"),
        slots: size(args, "slots"),
        queue: size(args, "queue"),
        model_mb: number(args, "model-mb"),
        weights_mb: number(args, "weights-mb"),
        tells: true,
    };
    let mut worker =
        site::worker::Worker::with_options(text(args, "id"), text(args, "service"), options);
    for model in all_texts(args, "on-disk") {
        worker = worker.with_on_disk(&model);
    }
    for model in all_texts(args, "in-memory") {
        worker = worker.with_model(&model);
    }
    let [store, reached_at] = ["store", "reached-at"].map(|name| {
        let address: &net::SocketAddr = args.get_one(name).expect("it is required");
        *address
    });
    let beat = worker
        .clone()
        .beat(store, reached_at, span(args, "beat-ms"));
    let listener = listen(args).await?;
    tokio::select! {
        result = worker.serve(listener) => result,
        () = beat => Ok(()),
    }
}

/// Runs seeds, some at once; the exit code tells whether all promises were kept.
async fn run_soak(args: &ArgMatches) -> anyhow::Result<process::ExitCode> {
    let program: &path::PathBuf = args.get_one("program").expect("it is required");
    let logs: Option<&path::PathBuf> = args.get_one("logs");
    let first = number(args, "first");
    let mut seeds = first..first + number(args, "seeds");
    let mut running = task::JoinSet::new();
    let mut broken = 0;
    loop {
        while running.len() < size(args, "at-once").max(1)
            && let Some(seed) = seeds.next()
        {
            let options = trial::soak::Options {
                program: program.clone(),
                seed,
                faults: faults(args),
                time: time::Duration::from_secs(number(args, "seconds")),
                instances: size(args, "instances"),
                engines: size(args, "engines"),
                logs: logs.map(|logs| logs.join(seed.to_string())),
            };
            running.spawn(async move { trial::soak::run(&options).await });
        }
        let Some(ended) = running.join_next().await else {
            break;
        };
        let report = ended??;
        print!("{report}");
        broken += report.broken.len();
    }
    println!("{broken} broken");
    let code = if broken == 0 { 0 } else { NOT_CLEAN };
    Ok(code.into())
}

async fn run_replay(args: &ArgMatches) -> anyhow::Result<()> {
    let name = text(args, "pattern");
    let mut patterns = trial::replay::Pattern::NAMES.into_iter();
    let pattern = patterns.find(|(known, _)| *known == name);
    let (_, pattern) = pattern.context("clap knows the names")?;
    let level = text(args, "log-level");
    let log_level = LOG_LEVELS.into_iter().find(|known| *known == level);
    for program in args
        .get_many::<path::PathBuf>("program")
        .unwrap_or_default()
    {
        let options = trial::replay::Options {
            program: program.clone(),
            pattern,
            seed: number(args, "seed"),
            time: time::Duration::from_secs(number(args, "seconds")),
            rate: fraction(args, "rate"),
            instances: size(args, "instances"),
            engines: size(args, "engines"),
            models: size(args, "models"),
            log_level: log_level.context("clap knows the levels")?,
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
    let code = if report.is_clean() { 0 } else { NOT_CLEAN };
    Ok(code.into())
}
