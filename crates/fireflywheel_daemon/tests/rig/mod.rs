//! The daemon as a process, with stand-ins round it.

#![allow(dead_code, reason = "each test file uses its part of the rig")]

pub mod raw;

use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use std::{env, fs, process};

use fireflywheel::{document, record};
use fireflywheel_standin::{client, process as children};
use serde_json::json;

/// The key of the instances.
pub const KEY: &str = "a key that only instances of this test know";

/// A configuration with one tenant, one class without a deadline and one with, one model, one route.
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

/// Waits between looks at a state that another process reaches by itself.
const LOOK: Duration = Duration::from_millis(20);
/// Guards a test against a state that never comes.
const GUARD: Duration = Duration::from_secs(30);

static NEXT_FOLDER: AtomicU64 = AtomicU64::new(0);

/// A folder of this test, removed with it.
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

/// The platform, one engine, one plain service and a client.
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

    /// Publishes [`DOCUMENT`] as an operator's tool would.
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

    /// The settings of an instance, with more sections.
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

    /// An instance; `more` goes on after the `[peers]` section's key file.
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

    /// Waits until a state is reached.
    pub async fn until(&self, daemon: &children::Child, reached: impl AsyncFn() -> bool) {
        let waiting = async {
            while !reached().await {
                tokio::time::sleep(LOOK).await;
            }
        };
        let waited = tokio::time::timeout(GUARD, waiting).await;
        if waited.is_err() {
            let url = format!("{}/v1/status", daemon.base("operator"));
            let status = self
                .client
                .get(&url)
                .await
                .expect("the operators' door answers")
                .text();
            panic!(
                "not reached; status: {status}; it wrote: {}",
                daemon.stderr()
            );
        }
    }

    /// The text of the daemon's metrics.
    pub async fn metrics(&self, daemon: &children::Child) -> String {
        let url = format!("{}/metrics", daemon.base("operator"));
        self.client
            .get(&url)
            .await
            .expect("the operators' door answers")
            .text()
    }

    /// The value of one metric, written as in the text form; 0 when it isn't there.
    pub async fn metric(&self, daemon: &children::Child, name: &str) -> u64 {
        let text = self.metrics(daemon).await;
        let line = text.lines().find_map(|line| line.strip_prefix(name));
        line.map_or(0, |value| value.trim().parse().expect("a whole number"))
    }

    /// A request to the model, answered in full.
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

/// The body of a request to a model.
pub fn chat(model: &str) -> String {
    json!({
        "model": model,
        "messages": [{"role": "user", "content": "a tent with a torn seam"}],
        "max_tokens": 4,
    })
    .to_string()
}

/// The same for a stream of so many tokens.
pub fn stream(model: &str, tokens: usize) -> String {
    json!({
        "model": model,
        "messages": [{"role": "user", "content": "a tent with a torn seam"}],
        "max_tokens": tokens,
        "stream": true,
    })
    .to_string()
}
