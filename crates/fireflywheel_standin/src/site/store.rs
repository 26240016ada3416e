//! The platform's store: keyed topics in a log.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use data_encoding::BASE64;
use hyper::{Method, Response, StatusCode};
use serde_json::json;
use smol_str::SmolStr;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time;

use super::{bare, set};
use crate::{fault, http};

/// The topic of the workers' entries.
pub const SERVERS: &str = "keyed.servers";
/// The topic and the key of the operator's configuration.
pub const CONFIG: (&str, &str) = ("keyed.op", "config");
/// How often it is looked for entries that have lapsed.
const LAPSE_LOOK: Duration = Duration::from_millis(50);

/// A handle to the store.
#[derive(Clone, Debug)]
pub struct Store {
    inner: Arc<Inner>,
    injector: Arc<fault::Injector>,
}

#[derive(Debug)]
struct Inner {
    state: Mutex<State>,
    changes: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct State {
    topics: BTreeMap<SmolStr, Topic>,
    calls: u64,
    /// How often it has come back from an older copy.
    era: u64,
    longest_wait: Duration,
    /// The most records that one read returns; 0 for no limit.
    page: usize,
}

#[derive(Debug, Default)]
struct Topic {
    /// Offset of the oldest record that reads still find.
    first: u64,
    records: Vec<Record>,
}

#[derive(Clone, Debug)]
struct Record {
    key: String,
    value: Vec<u8>,
    written: time::Instant,
}

impl Topic {
    fn end(&self) -> u64 {
        self.records.len() as u64
    }

    fn newest(&self) -> BTreeMap<&str, (u64, &Record)> {
        let mut newest = BTreeMap::new();
        for (offset, record) in self.records.iter().enumerate() {
            newest.insert(record.key.as_str(), (offset as u64, record));
        }
        newest.retain(|_, (_, record)| !record.value.is_empty());
        newest
    }
}

impl Default for Store {
    fn default() -> Self {
        Self::new()
    }
}

impl Store {
    /// An empty store.
    #[must_use]
    pub fn new() -> Self {
        let inner = Inner {
            state: Mutex::default(),
            changes: watch::Sender::new(0),
        };
        Self {
            inner: Arc::new(inner),
            injector: no_faults(),
        }
    }

    /// The same store with switches of its own, for callers that it turns away while it serves others.
    #[must_use]
    pub fn with_own_faults(&self) -> Self {
        Self {
            inner: Arc::clone(&self.inner),
            injector: no_faults(),
        }
    }

    /// Serves until the future is dropped.
    ///
    /// # Errors
    /// When the listener fails for good.
    pub async fn serve(self, listener: TcpListener) -> anyhow::Result<()> {
        http::serve(listener, self).await
    }

    /// Writes a record, as the operator and the workers do.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        // Without a condition it is always written.
        let _ = self.put_at(topic, None, key, value);
    }

    /// Drops a key.
    pub fn remove(&self, topic: &str, key: &str) {
        self.put(topic, key, b"");
    }

    /// Lets the history of a topic go; the newest record of each key stays.
    pub fn compact(&self, topic: &str) {
        let mut state = self.lock();
        let topic = state.topics.entry(topic.into()).or_default();
        topic.first = topic.end();
    }

    /// Comes back from a copy of `age` ago: what was written since is gone, and its offsets are given out again.
    pub fn restore(&self, age: Duration) {
        let mut state = self.lock();
        state.era += 1;
        for topic in state.topics.values_mut() {
            topic
                .records
                .retain(|record| record.written.elapsed() >= age);
            topic.first = topic.first.min(topic.end());
        }
        drop(state);
        self.inner.changes.send_modify(|count| *count += 1);
    }

    /// Drops entries of workers that weren't written for this long, for ever; also while the store is out of order.
    pub async fn lapse(self, patience: Duration) {
        loop {
            time::sleep(LAPSE_LOOK).await;
            let state = self.lock();
            let newest = state.topics.get(SERVERS).map(Topic::newest);
            let newest = newest.unwrap_or_default().into_iter();
            let lapsed: Vec<String> = newest
                .filter(|(_, (_, record))| record.written.elapsed() > patience)
                .map(|(key, _)| key.to_owned())
                .collect();
            drop(state);
            for key in lapsed {
                self.remove(SERVERS, &key);
            }
        }
    }

    /// Changes the switches.
    pub fn set_faults(&self, change: &fault::Change) {
        self.injector.apply(change);
    }

    /// Limits how many records one read returns.
    pub fn set_page(&self, records: usize) {
        self.lock().page = records;
    }

    /// Calls that were answered.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// The longest time for which a read asked to wait for records.
    #[must_use]
    pub fn longest_wait(&self) -> Duration {
        self.lock().longest_wait
    }

    /// The newest value of a key.
    #[must_use]
    pub fn newest(&self, topic: &str, key: &str) -> Option<Vec<u8>> {
        let state = self.lock();
        let newest = state.topics.get(topic)?.newest();
        newest.get(key).map(|(_, record)| record.value.clone())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.inner.state.lock().expect("no panic under the lock")
    }

    fn read_newest(&self, topic: &str) -> http::Answer {
        let state = self.lock();
        let empty = Topic::default();
        let topic = state.topics.get(topic).unwrap_or(&empty);
        let items: Vec<_> = topic
            .newest()
            .into_iter()
            .map(|(key, (offset, record))| json!({"key": key, "value": BASE64.encode(&record.value), "offset": offset}))
            .collect();
        http::json(
            StatusCode::OK,
            &json!({"items": items, "hasMore": false, "endOffset": topic.end()}),
        )
    }

    async fn read(&self, topic: &str, from: u64, wait: Duration) -> http::Answer {
        let mut changes = self.inner.changes.subscribe();
        let there = async {
            while self.end(topic) <= from {
                if changes.changed().await.is_err() {
                    return;
                }
            }
        };
        // Without a record in time the answer is a page without records.
        let _ = time::timeout(wait, there).await;
        let state = self.lock();
        let empty = Topic::default();
        let topic = state.topics.get(topic).unwrap_or(&empty);
        if from < topic.first || from > topic.end() {
            return http::json(StatusCode::GONE, &json!({"firstOffset": topic.first}));
        }
        let mut bytes = Vec::new();
        bytes.extend_from_slice(&topic.end().to_be_bytes());
        bytes.extend_from_slice(&topic.first.to_be_bytes());
        let skipped = usize::try_from(from).unwrap_or(usize::MAX);
        let page = match state.page {
            0 => usize::MAX,
            page => page,
        };
        for record in topic.records.iter().skip(skipped).take(page) {
            write_record(&mut bytes, &record.key, &record.value);
        }
        Response::new(http::Body::Full(bytes.into()))
    }

    fn append(&self, topic: &str, at: Option<u64>, body: &Bytes) -> http::Answer {
        let Some((key, value)) = read_record(body) else {
            return bare(StatusCode::BAD_REQUEST);
        };
        match self.put_at(topic, at, &key, value) {
            Ok(offset) => http::json(
                StatusCode::OK,
                &json!({"offset": offset, "endOffset": offset + 1}),
            ),
            Err(end) => http::json(StatusCode::PRECONDITION_FAILED, &json!({"endOffset": end})),
        }
    }

    /// Writes a record, on condition that the topic ends at `at`. Gives its offset, or the end that is there.
    fn put_at(&self, topic: &str, at: Option<u64>, key: &str, value: &[u8]) -> Result<u64, u64> {
        let record = Record {
            key: key.to_owned(),
            value: value.to_vec(),
            written: time::Instant::now(),
        };
        let mut state = self.lock();
        let topic = state.topics.entry(topic.into()).or_default();
        let end = topic.end();
        if at.is_some_and(|at| at != end) {
            return Err(end);
        }
        topic.records.push(record);
        drop(state);
        self.inner.changes.send_modify(|count| *count += 1);
        Ok(end)
    }

    fn note_wait(&self, wait: Duration) {
        let mut state = self.lock();
        state.longest_wait = state.longest_wait.max(wait);
    }

    fn end(&self, topic: &str) -> u64 {
        self.lock().topics.get(topic).map_or(0, Topic::end)
    }
}

impl http::Handler for Store {
    type Counts = u64;

    fn injector(&self) -> &fault::Injector {
        &self.injector
    }

    fn counts(&self) -> u64 {
        self.calls()
    }

    fn has_effect(&self, request: &http::Request) -> bool {
        request.method == Method::POST
    }

    async fn call(self: Arc<Self>, request: http::Request) -> Result<http::Answer, http::Lost> {
        self.lock().calls += 1;
        let topic = text(&request, "topic").unwrap_or_default();
        let answer = match request.path.as_str() {
            "/v1/log-newest" => self.read_newest(topic),
            "/v1/log-read" => {
                let wait = Duration::from_millis(request.number("waitMs").unwrap_or_default());
                self.note_wait(wait);
                self.read(topic, request.number("from").unwrap_or_default(), wait)
                    .await
            }
            "/v1/log-append" => self.append(topic, request.number("at"), &request.body),
            "/v1/restore" => {
                let age = request.number("ageMs").unwrap_or_default();
                self.restore(Duration::from_millis(age));
                bare(StatusCode::OK)
            }
            _ => bare(StatusCode::NOT_FOUND),
        };
        let mut answer = answer;
        set(&mut answer, "store-era", &self.lock().era.to_string());
        Ok(answer)
    }
}

fn no_faults() -> Arc<fault::Injector> {
    Arc::new(fault::Injector::new(fault::Switches::default()))
}

fn text<'a>(request: &'a http::Request, name: &str) -> Option<&'a str> {
    let pairs = request
        .query
        .split('&')
        .filter_map(|pair| pair.split_once('='));
    pairs
        .into_iter()
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// A record as it is appended and read.
#[must_use]
pub fn record(key: &str, value: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::new();
    write_record(&mut bytes, key, value);
    bytes
}

fn write_record(bytes: &mut Vec<u8>, key: &str, value: &[u8]) {
    let length = 1 + key.len() + value.len();
    bytes.extend_from_slice(&u32::try_from(length).expect("small records").to_be_bytes());
    bytes.push(u8::try_from(key.len()).expect("short keys"));
    bytes.extend_from_slice(key.as_bytes());
    bytes.extend_from_slice(value);
}

/// Key and value of a record.
fn read_record(body: &[u8]) -> Option<(String, &[u8])> {
    let (key_length, rest) = body.get(4..)?.split_first()?;
    let (key, value) = rest.split_at_checked((*key_length).into())?;
    Some((String::from_utf8(key.to_vec()).ok()?, value))
}
