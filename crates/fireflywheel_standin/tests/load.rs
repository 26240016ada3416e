//! Tests the load command and the handling of child processes.

mod support;

use std::{env, fs, process as system};

use fireflywheel_standin::{client, fault, load, log, process};
use support::{Server, loaded, quick};

fn options(engine: &Server) -> load::Options {
    let target = engine.base.strip_prefix("http://").expect("an address");
    load::Options {
        targets: vec![target.parse().expect("an address")],
        models: vec!["quote".into()],
        classes: vec!["quotes".into(), "reports".into()],
        rate: 1000.0,
        count: 50,
        deadline_ms: 60_000,
        max_tokens: 3,
        ..load::Options::default()
    }
}

macro_rules! outcomes {
    ($($name:ident: $stream:literal, $change:expr, $served:literal, clean $clean:literal, $count_faulty:expr;)*) => {$(
        /// The engine injects a fault into its answers. The report counts the outcome that a caller observes, and
        /// counts no faulty answer as served.
        #[tokio::test]
        async fn $name() {
            let engine = loaded(quick()).await;
            engine.set($change).await;
            let options = load::Options { stream: $stream, ..options(&engine) };
            let report = load::run(&options).await.unwrap();
            assert_eq!((report.total.sent, report.total.served), (50, $served), "{report}");
            assert_eq!(report.is_clean(), $clean);
            let count_faulty: fn(&load::Class) -> u64 = $count_faulty;
            assert_eq!(count_faulty(&report.total), 50 - $served, "{report}");
        }
    )*};
}

outcomes! {
    answers_without_faults: false, fault::Change::new(), 50, clean true, |_| 0;
    streams_without_faults: true, fault::Change::new(), 50, clean true, |_| 0;
    stream_without_end_marker: true, fault::Change::new().with_cut_answers(1), 49, clean false,
        |class| class.wrong["no end marker"];
    truncated_body: false, fault::Change::new().with_cut_answers(1), 49, clean false,
        |class| class.broken["connection"];
    answer_to_another_request: false, fault::Change::new().with_cross_answers(1), 49, clean false,
        |class| class.wrong["request id"];
    duplicate_chunk: true, fault::Change::new().with_duplicate_answers(1), 49, clean false,
        |class| class.wrong.values().sum();
    lost_answer: false, fault::Change::new().with_lose_answers(1), 49, clean false,
        |class| class.unanswered.values().sum();
    refusal_while_draining: false, fault::Change::new().with_leaving(true), 0, clean true,
        |class| class.refused["none draining"];
}

fn command(args: &[&str]) -> system::Output {
    system::Command::new(env!("CARGO_BIN_EXE_fireflywheel_standin"))
        .args(args)
        .output()
        .expect("the command runs")
}

/// A target is a machine on the network by mistake. The command must refuse it before it sends anything.
#[test]
fn non_loopback_target_is_refused() {
    for target in ["192.0.2.1:80", "[2001:db8::1]:80", "0.0.0.0:80"] {
        let output = command(&["load", "--target", target, "--model", "quote"]);
        assert!(!output.status.success());
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(stderr.contains("loopback"), "{stderr}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn command_prints_json_and_writes_a_plot() {
    let engine = loaded(quick()).await;
    let svg = env::temp_dir().join(format!("standin-load-{}.svg", system::id()));
    let target = engine.base.strip_prefix("http://").unwrap().to_owned();
    let file = svg.to_str().unwrap().to_owned();
    let output = tokio::task::spawn_blocking(move || {
        command(&[
            "load", "--target", &target, "--model", "quote", "--count", "20", "--rate", "500",
            "--class", "quotes", "--json", "--svg", &file,
        ])
    })
    .await
    .unwrap();
    let report: load::Report = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(report.classes["quotes"].served, 20);
    assert!(output.status.success());
    let plot = fs::read_to_string(&svg).unwrap();
    fs::remove_file(&svg).unwrap();
    assert!(plot.contains("<polyline") && plot.contains("quotes"));
}

/// A process is paused and resumed later, as on an overloaded machine. A request sent during the pause is answered
/// after it.
#[tokio::test]
async fn child_is_paused_resumed_and_terminated() {
    let mut child = process::Child::start("fireflywheel_standin", ["log"])
        .await
        .unwrap();
    let base = child.base("listening");
    let client = client::Client::new();
    child.pause().unwrap();
    let url = format!("{base}/v1/append");
    let mut call = std::pin::pin!(client.post(&url, "a"));
    let wait = tokio::time::Duration::from_millis(50);
    let paused = tokio::time::timeout(wait, &mut call).await;
    assert!(paused.is_err());
    child.resume().unwrap();
    let appended: log::Appended = call.await.unwrap().json().unwrap();
    assert_eq!(appended.offset, 0);
    child.terminate().unwrap();
    assert_eq!(child.wait().await.unwrap(), None);
    assert!(child.pause().is_err());
    let failed = process::Child::start("fireflywheel_standin", ["absent"]).await;
    assert!(format!("{:#}", failed.unwrap_err()).contains("absent"));
}

/// Guards against a share of a hot instance that isn't sent there.
#[tokio::test]
async fn most_requests_go_to_a_hot_target() {
    let (hot, other) = (loaded(quick()).await, loaded(quick()).await);
    let targets = [&hot, &other].map(|engine| options(engine).targets[0]);
    let options = load::Options {
        targets: targets.into(),
        hot_share: 0.8,
        ..options(&hot)
    };
    let report = load::run(&options).await.unwrap();
    assert_eq!(report.total.served, 50, "{report}");
    assert_eq!(other.counts().await.runs.len(), 5);
}
