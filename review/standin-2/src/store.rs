//! The platform's store: a log with keyed topics, as the protocol page tells it. One partition a topic.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Answer, Reply, Request};

/// How long the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);
const MAX_ITEMS: usize = 500;
/// How long the connection of a call without an answer stays open.
const HANG: Duration = Duration::from_secs(10);

#[derive(Clone)]
pub struct Store {
    inner: Arc<Inner>,
}

#[derive(Default)]
struct Inner {
    topics: Mutex<BTreeMap<String, Vec<(String, Vec<u8>)>>>,
    changed: Condvar,
    silent: AtomicBool,
    busy: AtomicBool,
}

impl Store {
    /// Starts a store on a free port of the loopback address.
    pub fn start() -> std::io::Result<(Self, SocketAddr)> {
        let store = Self {
            inner: Arc::default(),
        };
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        http::serve(listener, Arc::new(store.clone()));
        Ok((store, address))
    }

    /// Writes a record, as the operator and the workers do. An empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut topics = self.inner.topics.lock().unwrap();
        let records = topics.entry(topic.into()).or_default();
        records.push((key.into(), value.into()));
        drop(topics);
        self.inner.changed.notify_all();
    }

    /// While the store is silent, calls get no answer and do nothing.
    pub fn set_silent(&self, silent: bool) {
        self.inner.silent.store(silent, Ordering::Relaxed);
    }

    /// While the store is busy, it answers all calls with 503 and does nothing.
    pub fn set_busy(&self, busy: bool) {
        self.inner.busy.store(busy, Ordering::Relaxed);
    }

    /// The newest value of a key.
    pub fn value(&self, topic: &str, key: &str) -> Option<Vec<u8>> {
        let topics = self.inner.topics.lock().unwrap();
        let mut records = topics.get(topic)?.iter().rev();
        records
            .find(|(other, _)| other == key)
            .map(|(_, value)| value.clone())
    }

    fn is_silent(&self) -> bool {
        self.inner.silent.load(Ordering::Relaxed)
    }

    fn append(&self, request: &Request) -> Answer {
        let (Some(topic), body) = (request.query("topic"), &request.body) else {
            return Answer::new(400);
        };
        if topic == "keyed.op" || topic == "keyed.servers" {
            return Answer::new(403);
        }
        let mut records = Vec::new();
        let mut rest = body.as_slice();
        while rest.len() >= 4 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            if rest.len() < 4 + length || length == 0 {
                return Answer::new(400);
            }
            let content = &rest[4..4 + length];
            let key_length = usize::from(content[0]);
            let key = String::from_utf8_lossy(&content[1..1 + key_length]).into_owned();
            records.push((key, content[1 + key_length..].to_vec()));
            rest = &rest[4 + length..];
        }
        let mut topics = self.inner.topics.lock().unwrap();
        let log = topics.entry(topic.into()).or_default();
        let end = log.len();
        let at: Option<usize> = request.query("at").and_then(|at| at.parse().ok());
        if at.is_some_and(|at| at != end) {
            return Answer::json(412, format!("{{\"endOffset\":{end}}}"));
        }
        let count = records.len();
        log.extend(records);
        drop(topics);
        self.inner.changed.notify_all();
        Answer::json(
            200,
            format!("{{\"offset\":{end},\"endOffset\":{}}}", end + count),
        )
    }

    fn read(&self, request: &Request) -> Answer {
        let topic = request.query("topic").unwrap_or_default().to_owned();
        let number = |name| {
            request
                .query(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let from = number("from").unwrap_or(0) as usize;
        let until =
            Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0).min(30_000));
        let mut topics = self.inner.topics.lock().unwrap();
        loop {
            let log = topics.entry(topic.clone()).or_default();
            let left = until.saturating_duration_since(Instant::now());
            if log.len() <= from && !left.is_zero() {
                topics = self.inner.changed.wait_timeout(topics, left).unwrap().0;
                continue;
            }
            let mut body = (log.len() as u64).to_be_bytes().to_vec();
            body.extend_from_slice(&0_u64.to_be_bytes());
            for (key, value) in log.iter().skip(from) {
                let length = 1 + key.len() + value.len();
                body.extend_from_slice(&(length as u32).to_be_bytes());
                body.push(key.len() as u8);
                body.extend_from_slice(key.as_bytes());
                body.extend_from_slice(value);
                if body.len() > 1 << 20 {
                    break;
                }
            }
            return Answer::new(200)
                .with_header("Content-Type", "application/octet-stream")
                .with_body(body);
        }
    }

    fn newest(&self, request: &Request) -> Answer {
        let topic = request.query("topic").unwrap_or_default();
        let after = request.query("after").unwrap_or_default();
        let topics = self.inner.topics.lock().unwrap();
        let empty = Vec::new();
        let log = topics.get(topic).unwrap_or(&empty);
        let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
        for (offset, (key, value)) in log.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        newest.retain(|key, (_, value)| !value.is_empty() && *key > after);
        let has_more = newest.len() > MAX_ITEMS;
        let items: Vec<String> = newest
            .iter()
            .take(MAX_ITEMS)
            .map(|(key, (offset, value))| {
                let value = base64(value);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let items = items.join(",");
        let end = log.len();
        Answer::json(
            200,
            format!("{{\"items\":[{items}],\"hasMore\":{has_more},\"endOffset\":{end}}}"),
        )
    }
}

impl Store {
    /// A call that gets no answer, also after the store is back: only its client's time-out ends it.
    fn hang(&self) -> Reply {
        thread::sleep(HANG);
        Reply::Written(false)
    }
}

impl http::Handler for Store {
    fn handle(&self, request: Request, _: &mut TcpStream) -> Reply {
        thread::sleep(ANSWER_TIME / 2);
        if self.is_silent() {
            return self.hang();
        }
        if self.inner.busy.load(Ordering::Relaxed) {
            return Reply::Whole(Answer::new(503));
        }
        let answer = match (request.method.as_str(), request.path()) {
            ("POST", "/v1/log-append") => self.append(&request),
            ("GET", "/v1/log-read") => self.read(&request),
            ("GET", "/v1/log-newest") => self.newest(&request),
            _ => Answer::new(404),
        };
        thread::sleep(ANSWER_TIME / 2);
        // The answer to a read that waited is lost as well.
        if self.is_silent() {
            return self.hang();
        }
        Reply::Whole(answer)
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk
            .iter()
            .fold(0_u32, |sum, byte| sum << 8 | u32::from(*byte));
        let group = group << (8 * (3 - chunk.len()));
        for index in 0..4 {
            let digit = DIGITS[(group >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= chunk.len() {
                char::from(digit)
            } else {
                '='
            });
        }
    }
    text
}
