//! Tests of the binary's commands `check`, `diff`, `status` and `drain`, and of its help.

mod common;

use std::sync::Arc;

use common::{TempFile, run};
use fireflywheel_standin::{fault, http};
use hyper::{Method, StatusCode};
use tokio::net;

const OLD: &str = "\
[serving]
[group quote-llm]
kind = engine
memory_mb = 24000
slots = 16
[model quote-small]
group = quote-llm
memory_mb = 14000
replicas = 2
";

/// A documented status answer with every field.
const STATUS: &str = r#"{"instance":"a1","incarnation":1700000000000,"ready":false,"reason":"no version yet",
"version":12,"log":{"reading":true,"next":34},"stewards":[{"group":"quote-llm","by":"a2","epoch":4}],
"rights":[{"server":"10.0.0.1:9000","item":"quote-small@1","state":"loaded","pins":1,"memory_mb":14000}],
"members":[{"instance":"a2","state":"Alive"}],"queues":[{"model":"quote-small","waiting":3}]}"#;

/// A fake operator interface of a daemon, with one fixed answer to each call.
struct Daemon {
    injector: fault::Injector,
    status: &'static str,
}

impl http::Handler for Daemon {
    type Counts = ();

    fn injector(&self) -> &fault::Injector {
        &self.injector
    }

    fn counts(&self) {}

    async fn call(self: Arc<Self>, request: http::Request) -> Result<http::Answer, http::Lost> {
        let status: serde_json::Value =
            serde_json::from_str(self.status).expect("the status is JSON");
        Ok(match (&request.method, request.path.as_str()) {
            (&Method::GET, "/v1/status") => http::json(StatusCode::OK, &status),
            (&Method::POST, "/v1/drain") => http::json(StatusCode::ACCEPTED, &"draining"),
            _ => http::failure(StatusCode::NOT_FOUND, "not_found", "no such call"),
        })
    }
}

/// Starts a fake daemon that serves until the runtime of the test ends, and returns its URL.
async fn start_daemon(status: &'static str) -> String {
    let listener = net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let base = format!(
        "http://{}",
        listener.local_addr().expect("the listener is bound")
    );
    let injector = fault::Injector::new(fault::Switches::default());
    tokio::spawn(http::serve(listener, Daemon { injector, status }));
    base
}

/// Returns the URL of a port that was free a moment ago and on which nothing listens.
async fn unused_url() -> String {
    let listener = net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    format!(
        "http://{}",
        listener.local_addr().expect("the listener is bound")
    )
}

#[tokio::test]
async fn check_counts_what_is_valid() {
    let file = TempFile::new("check", OLD);
    let output = run(&["check", file.path()]).await;
    assert_eq!(output.code, 0);
    let expected = format!(
        "{}: valid; groups 1, models 1, adapters 0, routes 0\n",
        file.path()
    );
    assert_eq!(output.stdout, expected);
    let output = run(&["check", file.path(), "--json"]).await;
    let json: serde_json::Value = serde_json::from_str(&output.stdout).unwrap();
    assert_eq!(
        (&json["valid"], &json["counts"]["models"]),
        (&true.into(), &1.into())
    );
}

#[tokio::test]
async fn check_names_each_fault() {
    let file = TempFile::new(
        "check-faulty",
        &OLD.replace("replicas = 2", "replicas = x\nreplica = 2"),
    );
    let output = run(&["check", file.path()]).await;
    assert_eq!((output.code, output.stdout.lines().count()), (2, 2));
    let output = run(&["check", file.path(), "--json"]).await;
    assert_eq!(output.code, 2);
    let json: serde_json::Value = serde_json::from_str(&output.stdout).unwrap();
    assert_eq!(json["valid"], false);
    let fault = &json["faults"][0];
    assert_eq!(
        (&fault["line"], &fault["key"]),
        (&9.into(), &"replicas".into())
    );
}

#[tokio::test]
async fn file_that_cannot_be_read_is_a_failure() {
    let output = run(&["check", "/nonexistent/fireflywheel.ini"]).await;
    assert_eq!((output.code, output.stdout.as_str()), (1, ""));
    assert!(
        output.stderr.starts_with("open /nonexistent/"),
        "{}",
        output.stderr
    );
}

#[tokio::test]
async fn file_that_is_too_long_is_refused() {
    let long = format!("{OLD}{}", "é".repeat(600 * 1024));
    let file = TempFile::new("long", &long);
    let output = run(&["check", file.path()]).await;
    assert_eq!(output.code, 2);
    assert!(
        output.stdout.contains("longer than 921600 bytes"),
        "{}",
        output.stdout
    );
}

#[tokio::test]
async fn diff_shows_changes_and_warns() {
    let old = TempFile::new("diff-old", OLD);
    let new = TempFile::new("diff-new", &OLD.replace("replicas = 2", "replicas = 1"));
    let output = run(&["diff", old.path(), new.path()]).await;
    assert_eq!(output.code, 0);
    assert_eq!(
        output.stdout,
        "replica cap of model quote-small: 2 -> 1\n\
         warning: model quote-small: cap lowered from 2 to 1; replicas beyond it will be unloaded\n"
    );
    let output = run(&["diff", old.path(), new.path(), "--json"]).await;
    let json: serde_json::Value = serde_json::from_str(&output.stdout).unwrap();
    let change = &json["changes"][0];
    assert_eq!(
        (&change["kind"], &change["to"]),
        (&"set".into(), &"1".into())
    );
    assert_eq!(json["warnings"].as_array().unwrap().len(), 1);
    let output = run(&["diff", old.path(), old.path()]).await;
    assert_eq!(output.stdout, "no changes\n");
}

#[tokio::test]
async fn status_shows_daemons_side_by_side() {
    let first = start_daemon(STATUS).await;
    let second = start_daemon(r#"{"instance":"a2","incarnation":1,"ready":true,"version":13,"log":{"reading":false,"next":35}}"#).await;
    let output = run(&["status", "--operator", &first, &second]).await;
    assert_eq!(output.code, 0, "{}", output.stderr);
    let expected = format!(
        "{first}: a1, not ready (no version yet), version 12, log read up to 34\n  \
           group quote-llm: steward a2, epoch 4\n  \
           10.0.0.1:9000: quote-small@1 loaded, 14000 MB, 1 pins\n  \
           instance a2: alive\n  \
           model quote-small: 3 waiting\n\
         {second}: a2, ready, version 13, log out of reach since 35\n"
    );
    assert_eq!(output.stdout, expected);
    assert_eq!(output.stderr, "different versions are in force: 12, 13\n");
}

#[tokio::test]
async fn status_of_a_silent_daemon_is_a_failure() {
    let first = start_daemon(STATUS).await;
    let unreachable = unused_url().await;
    let output = run(&[
        "status",
        "--operator",
        &first,
        "--operator",
        &unreachable,
        "--json",
    ])
    .await;
    assert_eq!(output.code, 1);
    let json: serde_json::Value = serde_json::from_str(&output.stdout).unwrap();
    assert_eq!(json[0]["status"]["version"], 12);
    assert_eq!(json[1]["error"], "no answer");
}

#[tokio::test]
async fn drain_begins_a_planned_stop() {
    let first = start_daemon(STATUS).await;
    let output = run(&["drain", "--operator", &first]).await;
    assert_eq!(
        (output.code, output.stdout),
        (0, format!("{first}: draining\n"))
    );
    let unreachable = unused_url().await;
    let output = run(&["drain", "--operator", &unreachable]).await;
    assert_eq!((output.code, output.stdout.as_str()), (1, ""));
}

/// Each case gives a command line, its exit code and texts that the output must contain.
macro_rules! output_cases {
    ($($name:ident: [$($arg:expr),*], $code:expr, [$($text:expr),+];)+) => {
        $(
            #[tokio::test]
            async fn $name() {
                let output = run(&[$($arg),*]).await;
                assert_eq!(output.code, $code, "{}{}", output.stdout, output.stderr);
                let printed = output.stdout + &output.stderr;
                $(assert!(printed.contains($text), "{printed}");)+
            }
        )+
    };
}

output_cases! {
    help: ["--help"], 0, ["fireflywheel check new.ini", "Exit codes:", "not known yet"];
    help_of_publish: ["publish", "--help"], 0, ["--base 42", "Exit codes:"];
    version: ["--version"], 0, [concat!("fireflywheel ", env!("CARGO_PKG_VERSION"))];
    no_command: [], 2, ["Usage:"];
    log_over_https: ["publish", "x.ini", "--log", "https://10.0.0.5"], 2, ["https is not supported yet"];
    log_missing: ["publish", "x.ini"], 2, ["--log"];
    operator_that_is_no_url: ["drain", "--operator", "10.0.0.5:8082"], 2, ["http://10.0.0.5:7000"];
}
