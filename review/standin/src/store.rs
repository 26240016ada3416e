//! The platform's store: keyed topics with one partition each.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Reader};

/// A record: its key and value.
type Record = (String, Vec<u8>);

/// A cloneable handle to the store.
#[derive(Clone, Default)]
pub struct Store {
    topics: Arc<Mutex<HashMap<String, Vec<Record>>>>,
    changed: Arc<Condvar>,
}

impl Store {
    /// Starts to serve on a free port, and returns the address.
    pub fn start(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        address
    }

    /// Appends a record, if the topic ends at `at`. Returns the offset of the record, or where the topic ends.
    pub fn append(
        &self,
        topic: &str,
        key: &str,
        value: &[u8],
        at: Option<u64>,
    ) -> Result<u64, u64> {
        let mut topics = self.topics.lock().expect("no panic under the lock");
        let records = topics.entry(topic.to_owned()).or_default();
        let end = records.len() as u64;
        if at.is_some_and(|at| at != end) {
            return Err(end);
        }
        records.push((key.to_owned(), value.to_vec()));
        self.changed.notify_all();
        Ok(end)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream);
        while let Ok(Some(head)) = http::read_head(&mut reader) {
            let Ok(body) = http::read_body(&mut reader, &head) else {
                return;
            };
            let topic = head.query("topic").unwrap_or_default().to_owned();
            let number = |name: &str| head.query(name).and_then(|text| text.parse::<u64>().ok());
            let path = head
                .word(1)
                .split('?')
                .next()
                .unwrap_or_default()
                .to_owned();
            let (status, answer) = match path.as_str() {
                "/v1/log-append" => self.answer_append(&topic, &body, number("at")),
                "/v1/log-read" => {
                    let wait = Duration::from_millis(number("waitMs").unwrap_or(0));
                    self.answer_read(&topic, number("from").unwrap_or(0), wait)
                }
                "/v1/log-newest" => (200, self.answer_newest(&topic)),
                _ => (404, Vec::new()),
            };
            let line = format!("HTTP/1.1 {status} X");
            if http::write(
                &mut reader,
                &line,
                "content-type: application/json\r\n",
                &answer,
            )
            .is_err()
            {
                return;
            }
        }
    }

    fn answer_append(&self, topic: &str, body: &[u8], at: Option<u64>) -> (u16, Vec<u8>) {
        // Each record is preceded by its length in four bytes; the daemon appends one at a time.
        let Some(record) = body.get(4..).filter(|record| !record.is_empty()) else {
            return (400, Vec::new());
        };
        let length = usize::from(record[0]);
        let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
        match self.append(topic, &key, &record[1 + length..], at) {
            Ok(offset) => {
                let text = format!("{{\"offset\":{offset},\"endOffset\":{}}}", offset + 1);
                (200, text.into_bytes())
            }
            Err(end) => (412, format!("{{\"endOffset\":{end}}}").into_bytes()),
        }
    }

    fn answer_read(&self, topic: &str, from: u64, wait: Duration) -> (u16, Vec<u8>) {
        let until = Instant::now() + wait;
        let mut topics = self.topics.lock().expect("no panic under the lock");
        loop {
            let end = topics.get(topic).map_or(0, Vec::len) as u64;
            let left = until.saturating_duration_since(Instant::now());
            if end > from || left.is_zero() {
                break;
            }
            let waited = self.changed.wait_timeout(topics, left);
            topics = waited.expect("no panic under the lock").0;
        }
        let empty = Vec::new();
        let records = topics.get(topic).unwrap_or(&empty);
        let end = records.len() as u64;
        if from > end {
            return (410, b"{\"firstOffset\":0}".to_vec());
        }
        let mut bytes = Vec::new();
        bytes.extend_from_slice(&end.to_be_bytes());
        bytes.extend_from_slice(&0_u64.to_be_bytes());
        for (key, value) in &records[from as usize..] {
            let length = (1 + key.len() + value.len()) as u32;
            bytes.extend_from_slice(&length.to_be_bytes());
            bytes.push(key.len() as u8);
            bytes.extend_from_slice(key.as_bytes());
            bytes.extend_from_slice(value);
        }
        (200, bytes)
    }

    fn answer_newest(&self, topic: &str) -> Vec<u8> {
        let topics = self.topics.lock().expect("no panic under the lock");
        let empty = Vec::new();
        let records = topics.get(topic).unwrap_or(&empty);
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let items: Vec<String> = newest
            .iter()
            .filter(|(_, (_, value))| !value.is_empty())
            .map(|(key, (offset, value))| {
                format!(
                    "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
                    base64(value)
                )
            })
            .collect();
        let end = records.len();
        let items = items.join(",");
        format!("{{\"items\":[{items}],\"hasMore\":false,\"endOffset\":{end}}}").into_bytes()
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for index in 0..4 {
            if index <= chunk.len() {
                text.push(char::from(DIGITS[(bits >> (18 - 6 * index)) as usize & 63]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
