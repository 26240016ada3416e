//! Stand-in for the store of the users' platform: topics of keyed records, each topic a log.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use data_encoding::BASE64;
use hyper::{Method, Response, StatusCode};
use serde_json::json;
use smol_str::SmolStr;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time;

use super::{empty_answer, set_header};
use crate::{fault, http};

/// Topic of the workers' directory entries.
pub const SERVERS: &str = "keyed.servers";
/// Topic and key of the operator's configuration.
pub const CONFIG: (&str, &str) = ("keyed.op", "config");
/// Size of the chunks in which reads share the bandwidth.
const READ_CHUNK_BYTES: usize = 16 << 10;
/// Interval between checks for expired entries.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A cloneable handle to the store.
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
    /// Number of times that the store was restored from an older copy.
    era: u64,
    longest_wait: Duration,
    /// Maximum number of records that one read returns; 0 for no limit.
    max_page_records: usize,
    /// The bandwidth that all reads share, in bytes per second; `None` for no limit.
    read_rate: Option<f64>,
    /// Whether reads get the bandwidth one after the other, and not at the same time.
    reads_queue: bool,
    /// When the bandwidth is free again.
    bandwidth_free_at: Option<time::Instant>,
    /// Size of the answers to reads that were sent, in bytes, by topic.
    sent_bytes: BTreeMap<SmolStr, u64>,
    /// Number of large answers to reads before one that stops after its first chunk and leaves the connection open.
    reads_before_stall: Option<u64>,
}

impl State {
    /// Returns the maximum number of records that one read returns.
    fn max_records(&self) -> usize {
        match self.max_page_records {
            0 => usize::MAX,
            limit => limit,
        }
    }
}

#[derive(Debug, Default)]
struct Topic {
    /// Offset of the oldest record that can still be read.
    first_offset: u64,
    records: Vec<Record>,
}

#[derive(Clone, Debug)]
struct Record {
    key: String,
    value: Vec<u8>,
    written: time::Instant,
}

impl Topic {
    fn end_offset(&self) -> u64 {
        self.records.len() as u64
    }

    /// Returns the newest record of each key with its offset. Keys whose newest value is empty are deleted.
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
    /// Creates an empty store.
    #[must_use]
    pub fn new() -> Self {
        let inner = Inner {
            state: Mutex::default(),
            changes: watch::Sender::new(0),
        };
        Self {
            inner: Arc::new(inner),
            injector: new_injector(),
        }
    }

    /// Returns a handle to the same store with its own fault switches. With it, the store can refuse some callers while
    /// it serves others.
    #[must_use]
    pub fn with_own_faults(&self) -> Self {
        Self {
            inner: Arc::clone(&self.inner),
            injector: new_injector(),
        }
    }

    /// Serves until the future is dropped.
    ///
    /// # Errors
    /// If the listener fails.
    pub async fn serve(self, listener: TcpListener) -> anyhow::Result<()> {
        http::serve(listener, self).await
    }

    /// Writes a record, as the operator and the workers do.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        // An append without a condition always succeeds.
        let _ = self.append_if(topic, None, key, value);
    }

    /// Deletes a key.
    pub fn remove(&self, topic: &str, key: &str) {
        self.put(topic, key, b"");
    }

    /// Compacts a topic: its history can no longer be read, but the newest record of each key stays available.
    pub fn compact(&self, topic: &str) {
        let mut state = self.lock();
        let topic = state.topics.entry(topic.into()).or_default();
        topic.first_offset = topic.end_offset();
    }

    /// Restores the store from a copy of `age` ago. Records written since then are lost, and their offsets are assigned
    /// again.
    pub fn restore(&self, age: Duration) {
        let mut state = self.lock();
        state.era += 1;
        for topic in state.topics.values_mut() {
            topic
                .records
                .retain(|record| record.written.elapsed() >= age);
            topic.first_offset = topic.first_offset.min(topic.end_offset());
        }
        drop(state);
        self.inner.changes.send_modify(|revision| *revision += 1);
    }

    /// Deletes directory entries that were not rewritten within `ttl`, until the future is dropped. Entries also expire
    /// while the store is in an outage.
    pub async fn expire_entries(self, ttl: Duration) {
        loop {
            time::sleep(EXPIRY_CHECK_INTERVAL).await;
            let state = self.lock();
            let newest = state.topics.get(SERVERS).map(Topic::newest);
            let newest = newest.unwrap_or_default().into_iter();
            let expired: Vec<String> = newest
                .filter(|(_, (_, record))| record.written.elapsed() > ttl)
                .map(|(key, _)| key.to_owned())
                .collect();
            drop(state);
            for key in expired {
                self.remove(SERVERS, &key);
            }
        }
    }

    /// Changes the fault switches.
    pub fn set_faults(&self, change: &fault::Change) {
        self.injector.apply(change);
    }

    /// Limits the number of records that one read returns; 0 for no limit.
    pub fn set_page(&self, records: usize) {
        self.lock().max_page_records = records;
    }

    /// Sets the bandwidth that all reads share, in bytes per second.
    pub fn set_read_rate(&self, bytes_per_second: f64) {
        self.lock().read_rate = Some(bytes_per_second);
    }

    /// Sets the bandwidth that all reads share, in bytes per second. An answer begins once all bytes of the reads before
    /// it are through, also of those that were given up.
    pub fn set_queued_read_rate(&self, bytes_per_second: f64) {
        let mut state = self.lock();
        state.read_rate = Some(bytes_per_second);
        state.reads_queue = true;
    }

    /// Makes the next large answer to a read but `skip` stop after its first chunk, with the connection left open.
    pub fn stall_read(&self, skip: u64) {
        self.lock().reads_before_stall = Some(skip);
    }

    /// Returns the size of the answers to reads of a topic that were sent, in bytes.
    #[must_use]
    pub fn sent_bytes(&self, topic: &str) -> u64 {
        self.lock()
            .sent_bytes
            .get(topic)
            .copied()
            .unwrap_or_default()
    }

    /// Returns the number of calls that reached the store; calls refused in an outage do not count.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// Returns the longest time for which a read asked to wait for records.
    #[must_use]
    pub fn longest_wait(&self) -> Duration {
        self.lock().longest_wait
    }

    /// Returns the newest value of a key.
    #[must_use]
    pub fn newest(&self, topic: &str, key: &str) -> Option<Vec<u8>> {
        let state = self.lock();
        let newest = state.topics.get(topic)?.newest();
        newest.get(key).map(|(_, record)| record.value.clone())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.inner.state.lock().expect("no panic under the lock")
    }

    fn read_newest(&self, topic: &str, after: &str) -> http::Answer {
        let state = self.lock();
        let max_records = state.max_records();
        let empty = Topic::default();
        let topic = state.topics.get(topic).unwrap_or(&empty);
        let mut newest = topic.newest().into_iter();
        let items: Vec<_> = newest
            .by_ref()
            .filter(|(key, _)| *key > after)
            .take(max_records)
            .map(|(key, (offset, record))| json!({"key": key, "value": BASE64.encode(&record.value), "offset": offset}))
            .collect();
        http::json(
            StatusCode::OK,
            &json!({"items": items, "hasMore": newest.next().is_some(), "endOffset": topic.end_offset()}),
        )
    }

    async fn read(&self, topic: &str, from: u64, wait: Duration) -> http::Answer {
        let mut changes = self.inner.changes.subscribe();
        let available = async {
            while self.end_offset(topic) <= from {
                if changes.changed().await.is_err() {
                    return;
                }
            }
        };
        // If no record is written in time, the answer is an empty page.
        let _ = time::timeout(wait, available).await;
        let state = self.lock();
        let empty = Topic::default();
        let topic = state.topics.get(topic).unwrap_or(&empty);
        if from < topic.first_offset || from > topic.end_offset() {
            return http::json(
                StatusCode::GONE,
                &json!({"firstOffset": topic.first_offset}),
            );
        }
        let mut bytes = Vec::new();
        bytes.extend_from_slice(&topic.end_offset().to_be_bytes());
        bytes.extend_from_slice(&topic.first_offset.to_be_bytes());
        let skipped = usize::try_from(from).unwrap_or(usize::MAX);
        let max_records = state.max_records();
        for record in topic.records.iter().skip(skipped).take(max_records) {
            encode_record_into(&mut bytes, &record.key, &record.value);
        }
        Response::new(http::Body::Full(bytes.into()))
    }

    fn append(&self, topic: &str, expected_end: Option<u64>, body: &Bytes) -> http::Answer {
        let Some((key, value)) = decode_record(body) else {
            return empty_answer(StatusCode::BAD_REQUEST);
        };
        match self.append_if(topic, expected_end, &key, value) {
            Ok(offset) => http::json(
                StatusCode::OK,
                &json!({"offset": offset, "endOffset": offset + 1}),
            ),
            Err(end) => http::json(StatusCode::PRECONDITION_FAILED, &json!({"endOffset": end})),
        }
    }

    /// Appends a record, if the topic ends at `expected_end`. Returns the offset of the record, or the actual end offset
    /// if the condition does not hold.
    fn append_if(
        &self,
        topic: &str,
        expected_end: Option<u64>,
        key: &str,
        value: &[u8],
    ) -> Result<u64, u64> {
        let record = Record {
            key: key.to_owned(),
            value: value.to_vec(),
            written: time::Instant::now(),
        };
        let mut state = self.lock();
        let topic = state.topics.entry(topic.into()).or_default();
        let end = topic.end_offset();
        if expected_end.is_some_and(|expected| expected != end) {
            return Err(end);
        }
        topic.records.push(record);
        drop(state);
        self.inner.changes.send_modify(|revision| *revision += 1);
        Ok(end)
    }

    /// Sends the body of an answer over the bandwidth that all reads share. Readers that read at the same time get equal
    /// parts of it.
    async fn share_bandwidth(&self, topic: &str, mut answer: http::Answer) -> http::Answer {
        let http::Body::Full(bytes) = std::mem::replace(answer.body_mut(), http::Body::Empty)
        else {
            return answer;
        };
        let Some((is_stalled, queues)) = self.plan_transfer(bytes.len()) else {
            self.count_sent(topic, bytes.len());
            *answer.body_mut() = http::Body::Full(bytes);
            return answer;
        };
        let topic = SmolStr::new(topic);
        if queues {
            time::sleep_until(self.reserve_bandwidth(bytes.len())).await;
            self.count_sent(&topic, bytes.len());
            *answer.body_mut() = http::Body::Full(bytes);
            return answer;
        }
        let (sender, parts) = mpsc::channel(1);
        let store = self.clone();
        tokio::spawn(async move {
            for chunk in bytes.chunks(READ_CHUNK_BYTES) {
                time::sleep_until(store.reserve_bandwidth(chunk.len())).await;
                if sender
                    .send(Ok(Bytes::copy_from_slice(chunk)))
                    .await
                    .is_err()
                {
                    return;
                }
                store.count_sent(&topic, chunk.len());
                if is_stalled {
                    return sender.closed().await;
                }
            }
        });
        *answer.body_mut() = http::Body::Parts(parts);
        answer
    }

    /// Returns whether an answer stops after its first chunk, and whether it waits for its turn; `None` if it is sent at
    /// once.
    fn plan_transfer(&self, bytes: usize) -> Option<(bool, bool)> {
        let mut state = self.lock();
        // Waiting reads that end without a record are left alone.
        let is_large = bytes > READ_CHUNK_BYTES;
        let is_stalled = is_large && state.reads_before_stall == Some(0);
        if is_large {
            state.reads_before_stall = state
                .reads_before_stall
                .and_then(|left| left.checked_sub(1));
        }
        (is_stalled || state.read_rate.is_some()).then_some((is_stalled, state.reads_queue))
    }

    fn count_sent(&self, topic: &str, bytes: usize) {
        let mut state = self.lock();
        *state.sent_bytes.entry(topic.into()).or_default() += bytes as u64;
    }

    /// Reserves the shared bandwidth for a chunk, and returns when the chunk is through.
    fn reserve_bandwidth(&self, bytes: usize) -> time::Instant {
        let now = time::Instant::now();
        let mut state = self.lock();
        let took = state.read_rate.map_or(Duration::ZERO, |rate| {
            Duration::from_secs_f64(bytes as f64 / rate)
        });
        let free_at = state.bandwidth_free_at.map_or(now, |at| at.max(now)) + took;
        state.bandwidth_free_at = Some(free_at);
        free_at
    }

    fn record_wait(&self, wait: Duration) {
        let mut state = self.lock();
        state.longest_wait = state.longest_wait.max(wait);
    }

    fn end_offset(&self, topic: &str) -> u64 {
        self.lock().topics.get(topic).map_or(0, Topic::end_offset)
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
        let topic = query_value(&request, "topic").unwrap_or_default();
        let answer = match request.path.as_str() {
            "/v1/log-newest" => {
                let after = query_value(&request, "after").unwrap_or_default();
                self.share_bandwidth(topic, self.read_newest(topic, after))
                    .await
            }
            "/v1/log-read" => {
                let wait = Duration::from_millis(request.number("waitMs").unwrap_or_default());
                self.record_wait(wait);
                let from = request.number("from").unwrap_or_default();
                let answer = self.read(topic, from, wait).await;
                self.share_bandwidth(topic, answer).await
            }
            "/v1/log-append" => self.append(topic, request.number("at"), &request.body),
            "/v1/restore" => {
                let age = request.number("ageMs").unwrap_or_default();
                self.restore(Duration::from_millis(age));
                empty_answer(StatusCode::OK)
            }
            _ => empty_answer(StatusCode::NOT_FOUND),
        };
        let mut answer = answer;
        set_header(&mut answer, "store-era", &self.lock().era.to_string());
        Ok(answer)
    }
}

fn new_injector() -> Arc<fault::Injector> {
    Arc::new(fault::Injector::new(fault::Switches::default()))
}

fn query_value<'a>(request: &'a http::Request, name: &str) -> Option<&'a str> {
    let pairs = request
        .query
        .split('&')
        .filter_map(|pair| pair.split_once('='));
    pairs
        .into_iter()
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// Encodes a record as it is appended and read.
#[must_use]
pub fn record(key: &str, value: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::new();
    encode_record_into(&mut bytes, key, value);
    bytes
}

fn encode_record_into(bytes: &mut Vec<u8>, key: &str, value: &[u8]) {
    let length = 1 + key.len() + value.len();
    bytes.extend_from_slice(
        &u32::try_from(length)
            .expect("record length fits into 32 bits")
            .to_be_bytes(),
    );
    bytes.push(u8::try_from(key.len()).expect("key length fits into 8 bits"));
    bytes.extend_from_slice(key.as_bytes());
    bytes.extend_from_slice(value);
}

/// Returns the key and the value of an encoded record.
fn decode_record(body: &[u8]) -> Option<(String, &[u8])> {
    let (key_length, rest) = body.get(4..)?.split_first()?;
    let (key, value) = rest.split_at_checked((*key_length).into())?;
    Some((String::from_utf8(key.to_vec()).ok()?, value))
}
