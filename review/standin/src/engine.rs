//! Workers that run models, and carry out orders.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use crate::http::{self, Head, Reader};
use crate::record::Record;
use crate::store::Store;

/// Interval between two entries in the directory.
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Time from the acceptance of an order for an adapter until it is carried out.
const ADAPTER_TIME: Duration = Duration::from_millis(8);
const SLOTS: u32 = 64;

/// An order as it arrived.
#[derive(Clone, Debug)]
pub struct Order {
    pub at: Instant,
    pub holder: String,
    pub fencing: u64,
}

/// What an engine's streams are like.
#[derive(Clone, Copy, Debug)]
pub struct Streams {
    /// The version of the engine's software.
    pub version: &'static str,
    pub events: u64,
    pub interval: Duration,
}

/// Streams that are over in a moment.
pub const SHORT: Streams = Streams {
    version: "v1",
    events: 6,
    interval: Duration::from_millis(10),
};

/// The orders of all engines, by engine.
pub type Orders = Arc<Mutex<BTreeMap<String, Vec<Order>>>>;

/// An engine, which doesn't check fencing tokens.
pub struct Engine {
    id: String,
    born: u128,
    record: Record,
    orders: Orders,
    streams: Streams,
    state: Mutex<State>,
}

struct State {
    accepted: u64,
    /// The models with their adapters.
    models: BTreeMap<String, BTreeSet<String>>,
}

impl Engine {
    /// Creates an engine that holds these models.
    pub fn new(
        id: &str,
        models: &[&str],
        streams: Streams,
        orders: &Orders,
        record: &Record,
    ) -> Self {
        let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let models = models
            .iter()
            .map(|model| ((*model).to_owned(), BTreeSet::new()));
        Self {
            id: id.to_owned(),
            born: born.unwrap_or_default().as_millis(),
            record: record.clone(),
            orders: Arc::clone(orders),
            streams,
            state: Mutex::new(State {
                accepted: 0,
                models: models.collect(),
            }),
        }
    }

    /// Starts the engine, which registers itself in the store.
    pub fn start(self, store: &Store) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let engine = Arc::new(self);
        let (publisher, store) = (Arc::clone(&engine), store.clone());
        thread::spawn(move || publisher.publish(&store, address));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = Arc::clone(&engine);
                thread::spawn(move || engine.serve(stream));
            }
        });
    }

    fn publish(&self, store: &Store, address: SocketAddr) {
        for seq in 1_u64.. {
            let entry = format!(
                "{{\"service\":\"assistant\",\"address\":\"{address}\",\"zone\":\"zone-a\",\"version\":\"{}\",\
                 \"slots\":{SLOTS},\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":{seq},\"born\":{},\"stage\":\"both\",\
                 \"models\":{},\"available\":{}}}",
                self.streams.version,
                self.born,
                self.models(),
                self.available()
            );
            let _ = store.append("keyed.servers", &self.id, entry.as_bytes(), None);
            thread::sleep(HEARTBEAT);
        }
    }

    fn models(&self) -> String {
        let state = self.lock();
        let models = state.models.iter().map(|(model, adapters)| {
            let adapters: Vec<String> = adapters.iter().map(|name| format!("\"{name}\"")).collect();
            format!(
                "{{\"name\":\"{model}\",\"version\":1,\"adapters\":[{}]}}",
                adapters.join(",")
            )
        });
        format!("[{}]", models.collect::<Vec<_>>().join(","))
    }

    fn available(&self) -> String {
        let state = self.lock();
        let names: Vec<String> = state
            .models
            .keys()
            .map(|name| format!("\"{name}\""))
            .collect();
        format!("{{\"inMemory\":[],\"onDisk\":[{}]}}", names.join(","))
    }

    fn report(&self) -> String {
        let accepted = self.lock().accepted;
        format!(
            "{{\"stage\":\"both\",\"models\":{},\"busy\":false,\"seq\":{accepted},\"queued\":0,\"running\":0,\
             \"kvUsed\":0,\"kvTotal\":232000,\"handles\":0,\"born\":{},\"pending\":[],\"available\":{}}}",
            self.models(),
            self.born,
            self.available()
        )
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream);
        while let Ok(Some(head)) = http::read_head(&mut reader) {
            let Ok(body) = http::read_body(&mut reader, &head) else {
                return;
            };
            if self.answer(&mut reader, &head, &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, reader: &mut Reader, head: &Head, body: &[u8]) -> io::Result<()> {
        let id = head.get("x-attempt-id").unwrap_or_default();
        let refused = format!("x-not-executed: 1\r\nx-attempt-id: {id}\r\n");
        let expected = head.get("x-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return http::write(reader, "HTTP/1.1 421 Misdirected Request", &refused, b"");
        }
        let named = format!("x-instance-id: {}\r\n", self.id);
        match head.word(1) {
            "/health" => http::write(reader, "HTTP/1.1 200 OK", &named, b""),
            "/v1/report" => {
                let headers = format!("{named}content-type: application/json\r\n");
                http::write(
                    reader,
                    "HTTP/1.1 200 OK",
                    &headers,
                    self.report().as_bytes(),
                )
            }
            "/v1/order" => {
                let status = self.take_order(&String::from_utf8_lossy(body));
                http::write(reader, &format!("HTTP/1.1 {status} X"), &named, b"")
            }
            _ => match self.holds(head.get("x-model").unwrap_or_default()) {
                false => http::write(reader, "HTTP/1.1 421 Misdirected Request", &refused, b""),
                true => self.stream(reader, id, last_event(head)),
            },
        }
    }

    fn take_order(&self, body: &str) -> u16 {
        let (Some(holder), Some(fencing)) = (field(body, "holder"), field(body, "fencingToken"))
        else {
            return 400;
        };
        let at = Instant::now();
        self.record.add(&format!("order at {}: {body}", self.id));
        let order = Order {
            at,
            holder: holder.to_owned(),
            fencing: fencing.parse().unwrap_or_default(),
        };
        let mut orders = self.orders.lock().expect("no panic under the lock");
        orders.entry(self.id.clone()).or_default().push(order);
        drop(orders);
        let model = field(body, "model").unwrap_or_default();
        let mut state = self.lock();
        let expected = field(body, "precondition").and_then(|text| text.parse::<u64>().ok());
        if expected.is_some_and(|expected| expected != state.accepted) {
            return 409;
        }
        let Some(adapters) = state.models.get_mut(model) else {
            return 400;
        };
        match (field(body, "operation"), field(body, "adapter")) {
            (Some("load"), Some(adapter)) => {
                adapters.insert(adapter.to_owned());
                state.accepted += 1;
                drop(state);
                thread::sleep(ADAPTER_TIME);
                202
            }
            (Some("unload"), Some(adapter)) => {
                adapters.remove(adapter);
                state.accepted += 1;
                200
            }
            // All models are held by all engines.
            _ => 400,
        }
    }

    fn holds(&self, model: &str) -> bool {
        let (model, adapter) = model.split_once('/').unwrap_or((model, ""));
        let state = self.lock();
        let adapters = state.models.get(model);
        adapters.is_some_and(|adapters| adapter.is_empty() || adapters.contains(adapter))
    }

    fn stream(&self, reader: &mut Reader, id: &str, after: u64) -> io::Result<()> {
        self.record
            .add(&format!("run {id} at {} after event {after}", self.id));
        let head = format!(
            "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-server-seal: seal.{}\r\nx-server-load: 1,0,{SLOTS}\r\n\
             content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
            self.id
        );
        reader.get_mut().write_all(head.as_bytes())?;
        for event in after + 1..=self.streams.events {
            thread::sleep(self.streams.interval);
            let text = format!("id: {event}\ndata: {} t{event}\n\n", self.streams.version);
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            reader.get_mut().write_all(chunk.as_bytes())?;
        }
        reader.get_mut().write_all(b"0\r\n\r\n")
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic under the lock")
    }
}

/// The id of the event after which a stream begins.
fn last_event(head: &Head) -> u64 {
    let id = head.get("last-event-id");
    id.and_then(|id| id.parse().ok()).unwrap_or_default()
}

/// Returns the value of a field of a flat JSON object.
fn field<'a>(body: &'a str, name: &str) -> Option<&'a str> {
    let rest = body.split_once(&format!("\"{name}\":"))?.1.trim_start();
    match rest.strip_prefix('"') {
        Some(text) => text.split('"').next(),
        None => rest.split([',', '}']).next().map(str::trim),
    }
}
