//! Tests of the stand-in worker of the users' platform.

use std::io;
use std::time::Duration;

use fireflywheel_standin::site::line::Line;
use fireflywheel_standin::site::worker::Worker;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

/// An order reaches a worker whose address belonged to another worker before. If the worker executed it, a model would
/// be loaded that no steward accounts for.
#[tokio::test]
async fn order_for_another_worker_is_refused() {
    let worker = Worker::new("w2", "llm", Duration::ZERO);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound address");
    tokio::spawn(worker.clone().serve(listener));
    let body = r#"{"operation":"load","model":"m1","holder":"i1","fencingToken":1}"#;
    let order = format!(
        "POST /v1/order HTTP/1.1\r\nhost: w\r\nx-expect-instance: w1\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
        body.len()
    );
    let mut stream = TcpStream::connect(address)
        .await
        .expect("connection to the worker");
    stream
        .write_all(order.as_bytes())
        .await
        .expect("request is sent");
    let mut answer = String::new();
    stream
        .read_to_string(&mut answer)
        .await
        .expect("answer is received");
    assert!(answer.starts_with("HTTP/1.1 421"), "{answer}");
    assert_eq!(worker.orders(), 0);
}

/// A writer that counts its calls.
#[derive(Default)]
struct CountingWriter {
    text: String,
    calls: usize,
}

impl io::Write for CountingWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.text.push_str(&String::from_utf8_lossy(bytes));
        self.calls += 1;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against a part of a line of a worker that crashes while it writes, which passes for another line.
#[test]
fn lines_are_written_at_once() {
    let mut writer = CountingWriter::default();
    Line::Run("r1".into())
        .write_to(&mut writer)
        .expect("it takes all");
    assert_eq!((writer.text.as_str(), writer.calls), ("run r1\n", 1));
}
