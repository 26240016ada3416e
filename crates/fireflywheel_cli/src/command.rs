//! The command line: its subcommands, their arguments and their dispatch.

use std::{path::PathBuf, time::Duration};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use fireflywheel::field;
use smol_str::SmolStr;

use crate::{
    check, diff, drain, publish,
    report::{self, Report},
    status,
};

const EXAMPLES: &str = "\
To change the configuration:
  fireflywheel check new.ini
  fireflywheel diff old.ini new.ini
  fireflywheel publish new.ini --log http://10.20.0.5:7000
  fireflywheel status --operator http://10.20.1.11:8082 http://10.20.1.12:8082";

const PUBLISH_EXAMPLES: &str = "\
Examples:
  Publish over the newest version:
    fireflywheel publish new.ini --log http://10.20.0.5:7000
  Publish only if version 42, on which new.ini is based, is still the newest:
    fireflywheel publish new.ini --log http://10.20.0.5:7000 --base 42

If several operators publish from the same version, one is accepted and the others are refused.
The changes and warnings go to standard error, the outcome to standard output.";

const STATUS_EXAMPLES: &str = "\
Examples:
  fireflywheel status --operator http://10.20.1.11:8082
  fireflywheel status --operator http://10.20.1.11:8082 http://10.20.1.12:8082 --json";

const DRAIN_EXAMPLES: &str = "\
Example:
  fireflywheel drain --operator http://10.20.1.11:8082

After the load balancer's delay the instance accepts no new work, finishes the requests in progress,
hands over its stewardships and exits. No request is aborted.";

/// Builds the definition of the command line.
#[must_use]
pub fn command() -> Command {
    Command::new("fireflywheel")
        .about("Checks and publishes serving configurations, and inspects and drains daemons")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(format!("{EXAMPLES}\n\n{}", report::EXIT_HELP))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(check_command())
        .subcommand(diff_command())
        .subcommand(publish_command())
        .subcommand(status_command())
        .subcommand(drain_command())
}

/// Runs the subcommand that the command line names.
pub async fn run(matches: &ArgMatches) -> Report {
    let result = match matches.subcommand() {
        Some(("check", args)) => check::run(path(args, "file"), is_json(args)),
        Some(("diff", args)) => diff::run(path(args, "old"), path(args, "new"), is_json(args)),
        Some(("publish", args)) => publish::run(&publish_options(args)).await,
        Some(("status", args)) => Ok(status::run(&urls(args, "operator"), is_json(args)).await),
        Some(("drain", args)) => drain::run(&url(args, "operator"), is_json(args)).await,
        _ => unreachable!("clap requires one of the subcommands"),
    };
    result.unwrap_or_else(|error| Report::failure(&error))
}

// ---- Subcommands ----

fn check_command() -> Command {
    Command::new("check")
        .about("Reports every fault of a document, with its line")
        .after_help("Example:\n  fireflywheel check new.ini")
        .arg(file_arg("file", "The document"))
        .arg(json_flag())
}

fn diff_command() -> Command {
    Command::new("diff")
        .about("Shows the changes in a new document, and warns of their effects")
        .after_help("Example:\n  fireflywheel diff old.ini new.ini")
        .arg(file_arg("old", "The current document"))
        .arg(file_arg("new", "The new document"))
        .arg(json_flag())
}

fn publish_command() -> Command {
    let log = Arg::new("log")
        .long("log")
        .value_name("URL")
        .help("URL of the platform's log service")
        .value_parser(parse_url)
        .required(true);
    let base = Arg::new("base")
        .long("base")
        .value_name("VERSION")
        .help("Version that the document is based on, 0 for none [default: the newest]")
        .value_parser(value_parser!(u64));
    let wait = Arg::new("wait-ms")
        .long("wait-ms")
        .value_name("MS")
        .help("Time limit, in milliseconds")
        .value_parser(value_parser!(u64).range(1..=3_600_000))
        .default_value("30000");
    Command::new("publish")
        .about("Publishes a document to all instances, or reports why it was not accepted")
        .after_help(format!("{PUBLISH_EXAMPLES}\n\n{}", report::EXIT_HELP))
        .arg(file_arg("file", "The document"))
        .arg(log)
        .arg(base)
        .arg(wait)
        .arg(json_flag())
}

fn status_command() -> Command {
    Command::new("status")
        .about("Shows the state of daemons: readiness, version, stewards, replicas, queues")
        .after_help(STATUS_EXAMPLES)
        .arg(operator_arg().num_args(1..).action(ArgAction::Append))
        .arg(json_flag())
}

fn drain_command() -> Command {
    Command::new("drain")
        .about("Starts the planned shutdown of one daemon")
        .after_help(DRAIN_EXAMPLES)
        .arg(operator_arg())
        .arg(json_flag())
}

// ---- Arguments ----

fn file_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .value_name(name.to_uppercase())
        .help(help)
        .value_parser(value_parser!(PathBuf))
        .required(true)
}

fn operator_arg() -> Arg {
    Arg::new("operator")
        .long("operator")
        .value_name("URL")
        .help("URL of a daemon's operator address")
        .value_parser(parse_url)
        .required(true)
}

fn json_flag() -> Arg {
    Arg::new("json")
        .long("json")
        .help("Print the result as one line of JSON")
        .action(ArgAction::SetTrue)
}

fn parse_url(text: &str) -> Result<SmolStr, String> {
    if text.starts_with("https:") {
        return Err(format!("it is not {}", field::HTTPS_RULE));
    }
    field::parse_url(text).ok_or_else(|| format!("it is not {}", field::URL_RULE))
}

// ---- Conversion of arguments to options ----

fn publish_options(args: &ArgMatches) -> publish::Options {
    let wait_ms: u64 = *args.get_one("wait-ms").expect("the argument has a default");
    publish::Options {
        path: path(args, "file").clone(),
        log: url(args, "log"),
        base: args.get_one("base").copied(),
        timeout: Duration::from_millis(wait_ms),
        json: is_json(args),
    }
}

fn path<'a>(args: &'a ArgMatches, name: &str) -> &'a PathBuf {
    args.get_one(name).expect("the argument is required")
}

fn url(args: &ArgMatches, name: &str) -> SmolStr {
    let url: &SmolStr = args.get_one(name).expect("the argument is required");
    url.clone()
}

fn urls(args: &ArgMatches, name: &str) -> Vec<SmolStr> {
    args.get_many(name).unwrap_or_default().cloned().collect()
}

fn is_json(args: &ArgMatches) -> bool {
    args.get_flag("json")
}
