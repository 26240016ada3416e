//! Workers of the plain service.

use std::collections::HashMap;
use std::io::{self, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime};

use crate::http::{self, Head, Reader};
use crate::record::Record;
use crate::store::Store;

/// Interval between two entries in the directory.
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Duration of a run.
const WORK: Duration = Duration::from_millis(15);
/// Number of requests that a worker runs at once, as its entry says.
const SLOTS: u32 = 6;

/// The number of runs of each attempt, over all workers.
pub type Runs = Arc<Mutex<HashMap<String, Vec<String>>>>;

/// What a worker does wrong.
pub trait Fault: Send + Sync + 'static {
    /// Whether the worker sends another answer of this request, once the next answer is expected on its connection.
    fn repeats(&self) -> bool;
}

/// How a worker answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answers {
    /// With 800 bytes and their length.
    Small,
    /// With this many bytes and no length: the answer ends with its connection.
    UntilClose(usize),
}

/// A worker.
pub struct Worker {
    pub id: String,
    pub answers: Answers,
    pub fault: Option<Box<dyn Fault>>,
    pub runs: Runs,
    pub record: Record,
}

impl Worker {
    /// Starts a worker that registers itself in the store.
    pub fn start(self, store: &Store) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let worker = Arc::new(self);
        let (publisher, store) = (Arc::clone(&worker), store.clone());
        thread::spawn(move || publisher.publish(&store, address));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let worker = Arc::clone(&worker);
                thread::spawn(move || worker.serve(stream));
            }
        });
    }

    fn publish(&self, store: &Store, address: SocketAddr) {
        let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let born = born.unwrap_or_default().as_millis();
        for seq in 1_u64.. {
            let entry = format!(
                "{{\"service\":\"ledger\",\"address\":\"{address}\",\"zone\":\"zone-a\",\"version\":\"v1\",\
                 \"slots\":{SLOTS},\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":{seq},\"born\":{born}}}"
            );
            let _ = store.append("keyed.servers", &self.id, entry.as_bytes(), None);
            thread::sleep(HEARTBEAT);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream);
        // The id of the request of which another answer is to come.
        let mut extra: Option<String> = None;
        while let Ok(Some(head)) = http::read_head(&mut reader) {
            if http::read_body(&mut reader, &head).is_err() {
                return;
            }
            if self.answer(&mut reader, &head, &mut extra).is_err() {
                return;
            }
        }
    }

    fn answer(
        &self,
        reader: &mut Reader,
        head: &Head,
        extra: &mut Option<String>,
    ) -> io::Result<()> {
        let expected = head.get("x-expect-instance");
        let id = head.get("x-attempt-id").unwrap_or_default();
        if expected.is_some_and(|expected| expected != self.id) {
            let headers = format!("x-not-executed: 1\r\nx-attempt-id: {id}\r\n");
            return http::write(reader, "HTTP/1.1 421 Misdirected Request", &headers, b"");
        }
        if head.word(1) == "/health" {
            let headers = format!("x-instance-id: {}\r\n", self.id);
            return http::write(reader, "HTTP/1.1 200 OK", &headers, b"");
        }
        self.record.add(&format!("run {id} at {}", self.id));
        let mut runs = self.runs.lock().expect("no panic under the lock");
        runs.entry(id.to_owned()).or_default().push(self.id.clone());
        drop(runs);
        if let Some(earlier) = extra.take() {
            // The second answer of the request before comes late, where the answer of this request is expected. Its id tells.
            self.record.add(&format!(
                "extra {earlier} at {} before the answer of {id}",
                self.id
            ));
            let headers = format!("x-attempt-id: {earlier}\r\nx-not-executed: 1\r\n");
            http::write(reader, "HTTP/1.1 503 Service Unavailable", &headers, b"")?;
        }
        thread::sleep(WORK);
        let sealed = format!(
            "x-attempt-id: {id}\r\nx-server-seal: seal.{}\r\nx-server-load: 1,0,{SLOTS}\r\n",
            self.id
        );
        match self.answers {
            Answers::Small => {
                let body = format!("{:<800}", format!("{id} by {}", self.id));
                let headers = format!("{sealed}keep-alive: timeout=5\r\n");
                http::write(reader, "HTTP/1.1 200 OK", &headers, body.as_bytes())?;
                if self.fault.as_ref().is_some_and(|fault| fault.repeats()) {
                    *extra = Some(id.to_owned());
                }
                Ok(())
            }
            Answers::UntilClose(bytes) => {
                let line = format!("HTTP/1.1 200 OK\r\n{sealed}connection: close\r\n\r\n");
                reader.get_mut().write_all(line.as_bytes())?;
                reader.get_mut().write_all(&vec![b'x'; bytes])?;
                self.record
                    .add(&format!("answered {id} with {bytes} bytes at {}", self.id));
                // The connection ends in order with the answer.
                Err(io::ErrorKind::ConnectionAborted.into())
            }
        }
    }
}
