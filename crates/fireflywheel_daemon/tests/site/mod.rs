//! A complete deployment on loopback. The platform's stand-ins, engines, plain services and daemons are
//! separate processes, which only the test runner starts.
#![allow(dead_code, missing_docs, reason = "each test file uses a part")]

pub mod relay;

use std::{fmt::Write as _, fs, path, time::Duration};

use fireflywheel::{record, status};
use fireflywheel_standin::{client::Client, engine, fault, list, process::Child, service};
use serde_json::json;

/// Time limit for a condition that must become true. Only a failing test waits this long.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

pub struct Site {
    pub log: Child,
    pub list: Child,
    pub store: Child,
    pub engines: Vec<Child>,
    pub services: Vec<Child>,
    pub daemons: Vec<Child>,
    pub client: Client,
    pub plan: Plan,
    /// The relays between daemons and the log, by the index of the daemon.
    pub relays: std::collections::BTreeMap<usize, relay::Relay>,
    files: path::PathBuf,
}

/// The configuration of a site.
#[derive(Clone)]
pub struct Plan {
    pub daemons: usize,
    pub engines: usize,
    pub services: usize,
    pub fencing: &'static str,
    pub load_ms: u64,
    /// Whether the engines load from the weight store.
    pub store: bool,
    pub token_us: u64,
    pub engine_slots: u32,
    pub memory_mb: u64,
    pub model_mb: u64,
    pub models: usize,
    pub cap: u32,
    /// The indices of the daemons that reach the log over a relay.
    pub relayed: Vec<usize>,
    pub settings: String,
    pub extra: String,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            daemons: 3,
            engines: 2,
            services: 1,
            fencing: "checked",
            load_ms: 300,
            store: false,
            token_us: 500,
            engine_slots: 16,
            memory_mb: 20_000,
            model_mb: 8_000,
            models: 4,
            cap: 1,
            relayed: Vec::new(),
            settings: String::new(),
            extra: String::new(),
        }
    }
}

impl Plan {
    /// Returns the serving document, with `cap` replicas at most for each model.
    pub fn document(&self, cap: u32) -> String {
        let mut text = format!(
            "[serving]\ncold_start_weight = 1\n\n\
             [class interactive]\ndeadline_ms = 10000\nin_flight = 3000\nqueue = 3000\n\n\
             [class open]\nin_flight = 1000\nqueue = 1000\n\n\
             [tenant t]\nin_flight = 3000\n\n\
             [group g]\nkind = engine\nfencing = {}\nmemory_mb = {}\nslots = {}\n\n\
             [group desk]\nkind = service\nslots = 64\n\n\
             [route bookings]\nprefix = /bookings\ngroup = desk\nclass = interactive\n",
            self.fencing, self.memory_mb, self.engine_slots
        );
        for model in 0..self.models {
            write!(
                text,
                "\n[model m{model}]\ngroup = g\nversion = 1\nmemory_mb = {}\nreplicas = {cap}\nload_ms = {}\nservice_ms = 20\n",
                self.model_mb, self.load_ms
            )
            .expect("writing to a string does not fail");
        }
        text.push_str(&self.extra);
        text
    }
}

impl Site {
    /// Starts all processes, publishes the plan's document and waits until all daemons are ready.
    pub async fn start(plan: Plan) -> anyhow::Result<Self> {
        let site = Self::start_unpublished(plan).await?;
        site.publish(0, &site.plan.document(site.plan.cap)).await?;
        site.wait_ready().await;
        Ok(site)
    }

    /// Starts all processes without publishing a document.
    pub async fn start_unpublished(plan: Plan) -> anyhow::Result<Self> {
        let files = create_temp_dir()?;
        fs::write(files.join("key"), "a key of the tests, not a secret")?;
        let log = Child::start("fireflywheel_standin", ["log"]).await?;
        let list = Child::start("fireflywheel_standin", ["list"]).await?;
        let store = Child::start("fireflywheel_standin", ["store"]).await?;
        let mut site = Self {
            log,
            list,
            store,
            engines: Vec::new(),
            services: Vec::new(),
            daemons: Vec::new(),
            client: Client::new().with_header("x-tenant", "t"),
            files,
            plan,
            relays: std::collections::BTreeMap::new(),
        };
        for index in site.plan.relayed.clone() {
            let relay = relay::Relay::start(site.log.address("listening")).await?;
            site.relays.insert(index, relay);
        }
        for _ in 0..site.plan.engines {
            site.add_engine().await?;
        }
        for index in 0..site.plan.services {
            let service = Child::start("fireflywheel_standin", ["service"]).await?;
            site.list_backend(&format!("desk-{index}"), "desk", &service)
                .await?;
            site.services.push(service);
        }
        for index in 0..site.plan.daemons {
            let daemon = site.start_daemon(index).await?;
            site.daemons.push(daemon);
        }
        Ok(site)
    }

    pub async fn add_engine(&mut self) -> anyhow::Result<()> {
        let index = self.engines.len();
        let plan = &self.plan;
        let args = [
            "engine".to_owned(),
            format!("--fencing={}", plan.fencing),
            format!("--load-ms={}", plan.load_ms),
            format!("--token-us={}", plan.token_us),
            format!("--slots={}", plan.engine_slots),
            match plan.store {
                true => format!("--store={}", self.store.base("listening")),
                false => String::from("--store=none"),
            },
        ];
        let engine = Child::start("fireflywheel_standin", args).await?;
        self.list_backend(&format!("engine-{index}"), "g", &engine)
            .await?;
        self.engines.push(engine);
        Ok(())
    }

    async fn list_backend(&self, name: &str, group: &str, child: &Child) -> anyhow::Result<()> {
        self.set_listed(name, group, &child.address("listening").to_string(), "live")
            .await
    }

    pub async fn set_listed(
        &self,
        name: &str,
        group: &str,
        address: &str,
        state: &str,
    ) -> anyhow::Result<()> {
        let entry = json!({
            "name": name, "address": address, "kind": "backend",
            "group": group, "failure_domain": "fd1", "state": state,
        });
        let url = format!("{}/v1/instances/{name}", self.list.base("listening"));
        self.client.put(&url, entry.to_string()).await?;
        Ok(())
    }

    fn log_url(&self, index: usize) -> String {
        match self.relays.get(&index) {
            Some(relay) => format!("http://{}", relay.address),
            None => self.log.base("listening"),
        }
    }

    /// Starts a daemon and enters it in the list of instances. It finds its peers through the list, and
    /// through the first two daemons as seeds.
    pub async fn start_daemon(&self, index: usize) -> anyhow::Result<Child> {
        let seeds: Vec<String> = self
            .daemons
            .iter()
            .take(2)
            .map(|daemon| daemon.address("peer").to_string())
            .collect();
        let settings = format!(
            "[instance]\nname = i{index}\nfailure_domain = fd1\n\n\
             [listen]\ncaller = 127.0.0.1:0\npeer = 127.0.0.1:0\noperator = 127.0.0.1:0\n\n\
             [platform]\nlog = {}\nlist = {}\n\n\
             [peers]\nkey_file = {}\n{}\n\
             [timing]\nping_ms = 100\nsuspect_ms = 400\ndead_ms = 600\nlist_ms = 100\nreport_ms = 100\n\
             drain_delay_ms = 200\ndrain_limit_ms = 20000\ngone_after_s = 2\n{}",
            self.log_url(index),
            self.list.base("listening"),
            self.files.join("key").display(),
            if seeds.is_empty() {
                String::new()
            } else {
                format!("seeds = {}\n", seeds.join(", "))
            },
            self.plan.settings,
        );
        let file = self.files.join(format!("i{index}.ini"));
        fs::write(&file, settings)?;
        let daemon = Child::start(
            "fireflywheeld",
            ["--settings".into(), file.into_os_string()],
        )
        .await?;
        let entry = json!({
            "name": format!("i{index}"), "address": daemon.address("peer").to_string(),
            "kind": "router", "group": "", "failure_domain": "fd1", "state": "live",
        });
        let url = format!("{}/v1/instances/i{index}", self.list.base("listening"));
        self.client.put(&url, entry.to_string()).await?;
        Ok(daemon)
    }

    /// Appends a document as an operator does. Returns the version that it gets if it is accepted.
    pub async fn publish(&self, base: u64, text: &str) -> anyhow::Result<u64> {
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
                base,
                text: text.into(),
            }],
        };
        let url = format!("{}/v1/append", self.log.base("listening"));
        let answer = self.client.post(&url, record.encode()).await?;
        let offset = answer.json::<serde_json::Value>()?["offset"].as_u64();
        offset
            .map(|offset| offset + 1)
            .ok_or_else(|| anyhow::anyhow!("{}", answer.text()))
    }

    pub async fn wait_ready(&self) {
        for daemon in &self.daemons {
            self.wait_for("a daemon to be ready", || async {
                let url = format!("{}/readyz", daemon.base("operator"));
                self.client
                    .get(&url)
                    .await
                    .is_ok_and(|answer| answer.status == 200)
            })
            .await;
        }
        self.wait_for("a steward", || async { self.steward().await.is_some() })
            .await;
    }

    /// Polls a condition until it is true. Panics with the state and the logs of the daemons after [`WAIT_TIMEOUT`].
    pub async fn wait_for<F, R>(&self, what: &str, mut holds: F)
    where
        F: FnMut() -> R,
        R: Future<Output = bool>,
    {
        let wait = async {
            while !holds().await {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        if tokio::time::timeout(WAIT_TIMEOUT, wait).await.is_err() {
            let mut logs = String::new();
            for index in 0..self.daemons.len() {
                let status = tokio::time::timeout(Duration::from_secs(1), self.status(index)).await;
                let stderr = self.daemons[index].stderr();
                write!(logs, "-- {index}: {status:?}\n{stderr}")
                    .expect("writing to a string does not fail");
            }
            panic!("timed out waiting for {what}; the daemons:\n{logs}");
        }
    }

    pub async fn status(&self, index: usize) -> anyhow::Result<status::Status> {
        let url = format!("{}/v1/status", self.daemons[index].base("operator"));
        self.client.get(&url).await?.json()
    }

    /// Returns the index of the steward of group `g`, as reported by the first daemon that answers.
    pub async fn steward(&self) -> Option<usize> {
        for index in 0..self.daemons.len() {
            let Ok(status) = self.status(index).await else {
                continue;
            };
            let holder = status
                .stewards
                .iter()
                .find(|steward| steward.group == "g")?;
            return holder.by.trim_start_matches('i').parse().ok();
        }
        None
    }

    pub fn caller(&self, index: usize) -> String {
        self.daemons[index].base("caller")
    }

    /// Sends a chat request. Returns `Ok` if the answer is complete and belongs to this request.
    pub async fn ask(&self, index: usize, model: &str, text: &str) -> Result<(), RequestFailure> {
        let url = format!("{}/v1/chat/completions", self.caller(index));
        let body = json!({
            "model": model, "max_tokens": 8,
            "messages": [{"role": "user", "content": text}],
        });
        let answer = self.client.post(&url, body.to_string()).await;
        let answer = answer.map_err(|error| RequestFailure::broken(&error.to_string()))?;
        if answer.status != 200 {
            return Err(RequestFailure::of(&answer));
        }
        let value: serde_json::Value = answer
            .json()
            .map_err(|error| RequestFailure::broken(&error.to_string()))?;
        let content = value["choices"][0]["message"]["content"]
            .as_str()
            .unwrap_or_default();
        let has_own_id = answer
            .header("x-request-id")
            .is_some_and(|id| value["id"] == id);
        if has_own_id && content == engine::content(text, 8) {
            return Ok(());
        }
        Err(RequestFailure::broken(&format!(
            "answer of another request or truncated answer: {value}"
        )))
    }

    pub async fn engine_counts(&self) -> anyhow::Result<Vec<engine::Counts>> {
        let mut all = Vec::new();
        for engine in &self.engines {
            all.push(self.client.counts(&engine.base("listening")).await?);
        }
        Ok(all)
    }

    pub async fn service_counts(&self, index: usize) -> anyhow::Result<service::Counts> {
        self.client
            .counts(&self.services[index].base("listening"))
            .await
    }

    /// Returns the peak number of concurrent replicas of a model, and the peak memory in MB on one engine.
    pub async fn peaks(&self, model: &str) -> anyhow::Result<(usize, u64)> {
        let counts = self.engine_counts().await?;
        let histories = counts.iter().map(|counts| counts.history.as_slice());
        let replicas = engine::peak_replicas(histories, model);
        let memory = counts
            .iter()
            .map(|counts| counts.peak_memory_mb)
            .max()
            .unwrap_or(0);
        Ok((replicas, memory))
    }

    /// Returns the number of loads of a model that were started on all engines.
    pub async fn loads(&self, model: &str) -> anyhow::Result<u64> {
        let counts = self.engine_counts().await?;
        let loads = counts.iter().flat_map(|counts| &counts.loads);
        let own = loads.filter(|(item, _)| item.split('@').next() == Some(model));
        Ok(own.map(|(_, loads)| *loads).sum())
    }

    pub async fn set_faults(&self, child: &Child, change: &fault::Change) -> anyhow::Result<()> {
        self.client
            .set_faults(&child.base("listening"), change)
            .await
    }

    /// Checks in the histories of the engines that no model ever exceeded `cap` replicas and no engine its
    /// memory.
    pub async fn check_limits(&self, cap: usize) -> anyhow::Result<()> {
        for model in 0..self.plan.models {
            let (replicas, memory) = self.peaks(&format!("m{model}")).await?;
            anyhow::ensure!(
                replicas <= cap,
                "{replicas} replicas of m{model}, allowed {cap}"
            );
            let limit = self.plan.memory_mb;
            anyhow::ensure!(memory <= limit, "an engine held {memory} MB of {limit}");
        }
        Ok(())
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        // A directory that can't be removed only takes up space.
        let _ = fs::remove_dir_all(&self.files);
    }
}

/// The result of a request that did not get a complete answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestFailure {
    pub status: u16,
    pub code: String,
    pub verdict: String,
    pub message: String,
}

impl RequestFailure {
    fn broken(message: &str) -> Self {
        Self {
            status: 0,
            code: String::from("broken"),
            verdict: String::new(),
            message: message.into(),
        }
    }

    pub fn of(answer: &fireflywheel_standin::client::Answer) -> Self {
        Self {
            status: answer.status.as_u16(),
            code: answer
                .code()
                .map(|code| code.to_string())
                .unwrap_or_default(),
            verdict: answer.header("x-verdict").unwrap_or_default().to_string(),
            message: answer.text(),
        }
    }
}

fn create_temp_dir() -> anyhow::Result<path::PathBuf> {
    let mut random = [0; 8];
    std::io::Read::read_exact(&mut fs::File::open("/dev/urandom")?, &mut random)?;
    let name = format!("fireflywheel-{:x}", u64::from_ne_bytes(random));
    let files = std::env::temp_dir().join(name);
    fs::create_dir(&files)?;
    Ok(files)
}

/// An entry of the list of instances, for tests that change the list.
pub type Listed = list::Instance;
