//! Runs the daemon as a process, with stand-ins for its surroundings.

#![allow(dead_code, reason = "each test file uses only a part of this module")]

pub mod raw;

use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use std::{env, fs, process};

use fireflywheel::{document, record};
use fireflywheel_standin::{client, process as children};
use serde_json::json;

/// The key that the instances share.
pub const KEY: &str = "a key that only instances of this test know";

/// A configuration with one tenant, one class without and one with a default deadline, one model and one route.
pub const DOCUMENT: &str = "\
[serving]
[class interactive]
in_flight = 100
[class batch]
deadline_ms = 20000
in_flight = 100
[tenant tran-gia]
in_flight = 100
[group quote-llm]
kind = engine
fencing = checked
memory_mb = 24000
slots = 16
[model quote-small]
group = quote-llm
memory_mb = 14000
replicas = 1
[group desk-app]
kind = service
slots = 16
[route bookings]
prefix = /bookings
group = desk-app
class = batch
";

/// The interval at which a state of another process is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The time limit for a state to be reached.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

static NEXT_FOLDER: AtomicU64 = AtomicU64::new(0);

/// The temporary folder of a test, removed when it is dropped.
#[derive(Debug)]
pub struct Folder(PathBuf);

impl Folder {
    fn new() -> Self {
        let number = NEXT_FOLDER.fetch_add(1, Ordering::Relaxed);
        let name = format!("fireflywheel-daemon-test-{}-{number}", process::id());
        let path = env::temp_dir().join(name);
        fs::create_dir_all(&path).expect("the folder for temporary files can be written");
        Self(path)
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        fs::write(&path, text).expect("the folder for temporary files can be written");
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Stand-ins for the platform, one engine and one plain service, and a client.
#[derive(Debug)]
pub struct Rig {
    pub log: children::Child,
    pub list: children::Child,
    pub engine: children::Child,
    pub service: children::Child,
    pub client: client::Client,
    folder: Folder,
}

async fn standin(kind: &str, more: &[&str]) -> children::Child {
    let args = [kind].into_iter().chain(more.iter().copied());
    children::Child::start("fireflywheel_standin", args)
        .await
        .expect("the process starts")
}

impl Rig {
    pub async fn start() -> Self {
        let rig = Self {
            log: standin("log", &[]).await,
            list: standin("list", &[]).await,
            engine: standin("engine", &["--load-ms", "50"]).await,
            service: standin("service", &[]).await,
            client: client::Client::new(),
            folder: Folder::new(),
        };
        rig.list_backend("e1", &rig.engine, "quote-llm").await;
        rig.list_backend("s1", &rig.service, "desk-app").await;
        rig
    }

    async fn list_backend(&self, name: &str, child: &children::Child, group: &str) {
        let entry = json!({
            "name": name,
            "address": child.address("listening").to_string(),
            "kind": "backend",
            "group": group,
            "failure_domain": "fd1",
            "state": "live",
        });
        let url = format!("{}/v1/instances/{name}", self.list.base("listening"));
        let answer = self
            .client
            .put(&url, entry.to_string())
            .await
            .expect("the list answers");
        assert!(answer.status.is_success(), "{}", answer.text());
    }

    /// Publishes [`DOCUMENT`] as the operators' tool does.
    pub async fn publish(&self) {
        let faults = document::Document::parse(DOCUMENT).err();
        assert_eq!(faults, None);
        let record = record::Record {
            rule: record::RULES_VERSION,
            id: record::Id {
                by: record::Incarnation {
                    instance: "operator/test".into(),
                    number: 1,
                },
                sequence: 1,
            },
            entries: vec![record::Entry::Publish {
                base: 0,
                text: DOCUMENT.to_owned(),
            }],
        };
        let url = format!("{}/v1/append", self.log.base("listening"));
        let answer = self
            .client
            .post(&url, record.encode())
            .await
            .expect("an answer");
        assert!(answer.status.is_success(), "{}", answer.text());
    }

    /// Writes the settings of an instance. `more` follows the key file in the section `[peers]`.
    pub fn settings(&self, name: &str, key: &str, more: &str) -> PathBuf {
        let key = self.folder.write(&format!("{name}.key"), key);
        let text = format!(
            "[instance]\nname = {name}\nfailure_domain = fd1\n\
             [listen]\ncaller = 127.0.0.1:0\npeer = 127.0.0.1:0\noperator = 127.0.0.1:0\n\
             [platform]\nlog = {}\nlist = {}\n\
             [peers]\nkey_file = {}\n{more}",
            self.log.base("listening"),
            self.list.base("listening"),
            key.display(),
        );
        self.folder.write(&format!("{name}.ini"), &text)
    }

    /// Starts an instance with [`KEY`]. `more` follows the key file in the section `[peers]` of its settings.
    pub async fn daemon(&self, name: &str, more: &str) -> children::Child {
        self.daemon_with_key(name, KEY, more).await
    }

    pub async fn daemon_with_key(&self, name: &str, key: &str, more: &str) -> children::Child {
        let settings = self.settings(name, key, more);
        let args = ["--settings".into(), settings.into_os_string()];
        children::Child::start("fireflywheeld", args)
            .await
            .expect("the process starts")
    }

    /// Waits until the daemon is ready for callers.
    pub async fn ready(&self, daemon: &children::Child) {
        let url = format!("{}/readyz", daemon.base("operator"));
        self.until(daemon, async || {
            self.client
                .get(&url)
                .await
                .expect("the operators' door answers")
                .status
                .is_success()
        })
        .await;
    }

    /// Waits until `reached` returns true.
    pub async fn until(&self, daemon: &children::Child, reached: impl AsyncFn() -> bool) {
        let waiting = async {
            while !reached().await {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let waited = tokio::time::timeout(WAIT_TIMEOUT, waiting).await;
        if waited.is_err() {
            let url = format!("{}/v1/status", daemon.base("operator"));
            let status = self
                .client
                .get(&url)
                .await
                .expect("the operators' door answers")
                .text();
            panic!(
                "state not reached; status: {status}; standard error: {}",
                daemon.stderr()
            );
        }
    }

    /// Returns the text of the daemon's metrics.
    pub async fn metrics(&self, daemon: &children::Child) -> String {
        let url = format!("{}/metrics", daemon.base("operator"));
        self.client
            .get(&url)
            .await
            .expect("the operators' door answers")
            .text()
    }

    /// Returns the value of a metric, whose name is written with its labels as in the text format; 0 when the
    /// metric is absent.
    pub async fn metric(&self, daemon: &children::Child, name: &str) -> u64 {
        let text = self.metrics(daemon).await;
        let line = text.lines().find_map(|line| line.strip_prefix(name));
        line.map_or(0, |value| value.trim().parse().expect("a whole number"))
    }

    /// Sends a request to the model and waits for the full answer.
    pub async fn ask(&self, daemon: &children::Child) -> client::Answer {
        let client = client::Client::new()
            .with_header("x-tenant", "tran-gia")
            .with_header("x-deadline-ms", "20000");
        let url = format!("{}/v1/chat/completions", daemon.base("caller"));
        client
            .post(&url, chat("quote-small"))
            .await
            .expect("an answer")
    }
}

/// Returns the body of a request to a model.
pub fn chat(model: &str) -> String {
    json!({
        "model": model,
        "messages": [{"role": "user", "content": "a tent with a torn seam"}],
        "max_tokens": 4,
    })
    .to_string()
}

/// Returns the body of a request for a stream of `tokens` tokens.
pub fn stream(model: &str, tokens: usize) -> String {
    json!({
        "model": model,
        "messages": [{"role": "user", "content": "a tent with a torn seam"}],
        "max_tokens": tokens,
        "stream": true,
    })
    .to_string()
}
