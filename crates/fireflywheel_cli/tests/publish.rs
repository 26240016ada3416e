//! Tests of the binary's `publish` command against the stand-in of the log.

mod common;

use common::{TempFile, run, start};
use fireflywheel_standin::{client, fault, log};
use tokio::net;

const FIRST: &str = "[serving]\n[tenant guides]\nin_flight = 5\n";
const SECOND: &str = "[serving]\n[tenant guides]\nin_flight = 6\n";

/// The stand-in of the log, running in the test process.
struct Log {
    base: String,
    client: client::Client,
    server: tokio::task::JoinHandle<anyhow::Result<()>>,
}

impl Log {
    async fn start() -> Self {
        let listener = net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let base = format!(
            "http://{}",
            listener.local_addr().expect("the listener is bound")
        );
        Self {
            base,
            client: client::Client::new(),
            server: tokio::spawn(log::serve(listener, log::Options::default())),
        }
    }

    async fn set(&self, change: fault::Change) {
        self.client
            .set_faults(&self.base, &change)
            .await
            .expect("the stand-in answers");
    }

    async fn appends(&self) -> u64 {
        let counts: log::Counts = self
            .client
            .counts(&self.base)
            .await
            .expect("the stand-in answers");
        counts.appends
    }
}

impl Drop for Log {
    fn drop(&mut self) {
        self.server.abort();
    }
}

#[tokio::test]
async fn accepted_publication_prints_its_changes() {
    let log = Log::start().await;
    let first = TempFile::new("accepted-1", FIRST);
    let second = TempFile::new("accepted-2", SECOND);
    let output = run(&["publish", first.path(), "--log", &log.base]).await;
    assert_eq!((output.code, output.stdout.as_str()), (0, "accepted 1\n"));
    let output = run(&["publish", second.path(), "--log", &log.base]).await;
    assert_eq!((output.code, output.stdout.as_str()), (0, "accepted 2\n"));
    assert_eq!(
        output.stderr,
        "changes from version 1:\nin_flight of tenant guides: 5 -> 6\n"
    );
}

#[tokio::test]
async fn old_base_is_refused() {
    let log = Log::start().await;
    let first = TempFile::new("base-1", FIRST);
    let second = TempFile::new("base-2", SECOND);
    run(&["publish", first.path(), "--log", &log.base]).await;
    let args = ["publish", second.path(), "--log", &log.base, "--base", "0"];
    let output = run(&args).await;
    let refusal = "refused: another version 1 was accepted first\n";
    assert_eq!((output.code, output.stdout.as_str()), (3, refusal));
    let output = run(&[&args[..], &["--json"]].concat()).await;
    let json: serde_json::Value = serde_json::from_str(&output.stdout).unwrap();
    assert_eq!(json["outcome"], "refused");
    assert_eq!(json["version"], 1);
    assert_eq!(json["base"], 0);
}

#[tokio::test]
async fn document_with_faults_is_not_sent() {
    let log = Log::start().await;
    let bad = TempFile::new("faulty", "[serving]\nkeys = 0\n[tennant x]\n");
    let output = run(&["publish", bad.path(), "--log", &log.base]).await;
    assert_eq!(output.code, 2);
    let lines: Vec<&str> = output.stdout.lines().collect();
    assert_eq!(lines.len(), 2, "{}", output.stdout);
    assert!(
        lines[0]
            .ends_with("line 2, [serving] keys: \"0\" is not a whole number from 1 to 1,000,000")
    );
    assert_eq!(log.appends().await, 0);
}

/// Three operators publish from the same version at the same time. If two were accepted, the second would
/// silently revert the first, and a cap reported as accepted would be exceeded.
#[tokio::test]
async fn of_three_racing_operators_one_is_accepted() {
    let log = Log::start().await;
    let first = TempFile::new("race-0", FIRST);
    run(&["publish", first.path(), "--log", &log.base]).await;
    // The delay ensures that all commands are running before the first one completes.
    log.set(fault::Change::new().with_slow_ms(200)).await;
    let files: Vec<TempFile> = (0..3)
        .map(|index| {
            TempFile::new(
                &format!("race-{}", index + 1),
                &format!("{FIRST}share = {}\n", index + 2),
            )
        })
        .collect();
    let running_tasks: Vec<_> = files
        .iter()
        .map(|file| start(&["publish", file.path(), "--log", &log.base, "--base", "1"]))
        .collect();
    let mut accepted = 0;
    let mut refused = 0;
    for task in running_tasks {
        let output = task.await.unwrap();
        match (output.code, output.stdout.as_str()) {
            (0, stdout) => {
                assert!(stdout.starts_with("accepted "), "{stdout}");
                accepted += 1;
            }
            (3, stdout) => {
                assert!(stdout.starts_with("refused: another version "), "{stdout}");
                refused += 1;
            }
            (code, stdout) => panic!("exit {code}: {stdout}{}", output.stderr),
        }
    }
    assert_eq!((accepted, refused), (1, 2));
}

/// The log stores the record and closes the connection before it answers. If the command reported a failure,
/// the operator would publish again or believe that the old configuration is still in force.
#[tokio::test]
async fn outcome_is_read_from_the_log_after_a_lost_answer() {
    let log = Log::start().await;
    log.set(fault::Change::new().with_lose_answers(1)).await;
    let file = TempFile::new("lost", FIRST);
    let output = run(&["publish", file.path(), "--log", &log.base]).await;
    assert_eq!((output.code, output.stdout.as_str()), (0, "accepted 1\n"));
    assert_eq!(log.appends().await, 1);
}

/// The log is unavailable from the start. The command must report that nothing was appended and that nothing
/// will take effect later.
#[tokio::test]
async fn outage_appends_nothing() {
    let log = Log::start().await;
    log.set(fault::Change::new().with_outage(true)).await;
    let file = TempFile::new("outage", FIRST);
    let args = [
        "publish",
        file.path(),
        "--log",
        &log.base,
        "--wait-ms",
        "500",
    ];
    let output = run(&args).await;
    assert_eq!(output.code, 1, "{}", output.stdout);
    let text = "not published, nothing was appended: the log did not answer in time\n";
    assert_eq!(output.stdout, text);
    log.set(fault::Change::new().with_outage(false)).await;
    assert_eq!(log.appends().await, 0);
}

/// The log fails after it has stored the record and before it answers. Neither `accepted` nor `refused` would
/// be certain. Once the log is available again, publishing from the same version shows the outcome.
#[tokio::test]
async fn outage_after_the_append_leaves_the_outcome_unknown() {
    let log = Log::start().await;
    log.set(fault::Change::new().with_late_ms(600_000)).await;
    let file = TempFile::new("unknown", FIRST);
    let args = ["publish", file.path(), "--log", &log.base];
    let running = start(&[&args[..], &["--wait-ms", "6000"]].concat());
    while log.appends().await == 0 {
        tokio::task::yield_now().await;
    }
    log.set(fault::Change::new().with_outage(true)).await;
    let output = running.await.unwrap();
    assert_eq!(output.code, 4, "{}", output.stdout);
    assert!(
        output.stdout.starts_with("not known yet: "),
        "{}",
        output.stdout
    );
    log.set(fault::Change::new().with_outage(false)).await;
    let output = run(&[&args[..], &["--base", "0"]].concat()).await;
    let refusal = "refused: another version 1 was accepted first, with the same text\n";
    assert_eq!((output.code, output.stdout.as_str()), (3, refusal));
}

/// The log accepts connections and answers none of them. Without a time limit the command would not return.
#[tokio::test]
async fn frozen_log_is_given_up_after_the_time_limit() {
    let log = Log::start().await;
    log.set(fault::Change::new().with_freeze(true)).await;
    let file = TempFile::new("frozen", FIRST);
    let args = [
        "publish",
        file.path(),
        "--log",
        &log.base,
        "--wait-ms",
        "300",
    ];
    let output = run(&[&args[..], &["--json"]].concat()).await;
    assert_eq!(output.code, 1, "{}", output.stdout);
    let json: serde_json::Value = serde_json::from_str(&output.stdout).unwrap();
    assert_eq!(json["outcome"], "unsent");
}
