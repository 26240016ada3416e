//! MIXED: an answer without a length that ends early looks complete.

use std::io::Read as _;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::deployment::{Folder, Instance, configuration};
use crate::http;
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Answers, Runs, Worker};

/// One of ten instances is killed.
const INSTANCES: usize = 10;
const WORKERS: usize = 4;
/// Size of an answer. It is more than the sockets on the way from an instance to its caller buffer, and less than an instance
/// takes of an answer.
const ANSWER_BYTES: usize = 7 << 20;
/// How much a caller reads at once, and how often.
const READ_BYTES: usize = 64 << 10;
const READ_PAUSE: Duration = Duration::from_millis(20);
/// When the instance is killed after the request was sent.
const KILL_DELAY: Duration = Duration::from_millis(1000);

/// How an answer ended for its caller.
#[allow(dead_code, reason = "for the record")]
#[derive(Debug)]
enum End {
    /// In order, after so many bytes of the body.
    InOrder(usize),
    /// By an error of the connection.
    Broken(usize, std::io::ErrorKind),
}

/// Runs the case, and returns whether the rule was broken.
pub fn run(record: &Record, has_trouble: bool) -> bool {
    let store = Store::default();
    let address = store.start();
    let _ = store.append("keyed.op", "config", configuration().as_bytes(), None);
    let runs = Runs::default();
    for index in 0..WORKERS {
        let worker = Worker {
            id: format!("i-{index}"),
            answers: Answers::UntilClose(ANSWER_BYTES),
            fault: None,
            runs: Arc::clone(&runs),
            record: record.clone(),
        };
        worker.start(&store);
    }
    let folder = Folder::new();
    let mut instances: Vec<Instance> = (0..INSTANCES)
        .map(|index| Instance::start(&folder, index, address))
        .collect();
    instances.iter().for_each(Instance::wait_until_ready);
    thread::sleep(Duration::from_secs(3));
    let callers: Vec<_> = (0..INSTANCES)
        .map(|index| {
            let to = instances[index].callers;
            let record = record.clone();
            thread::spawn(move || {
                let id = format!("{index:08x}");
                record.add(&format!("sent {id} to instance {index}"));
                let answer = call(to, &id);
                record.add(&format!("answered {id}: {answer:?}"));
                (index, answer)
            })
        })
        .collect();
    thread::sleep(KILL_DELAY);
    if has_trouble {
        instances[0].kill();
        record.add("instance 0 killed");
    }
    let mut is_broken = false;
    for caller in callers {
        let (index, answer) = caller.join().expect("callers don't panic");
        match answer {
            Ok((200, End::InOrder(bytes))) if bytes != ANSWER_BYTES => {
                record.say(&format!(
                    "MIXED: the answer of instance {index} is a success that ended in order after {bytes} of {ANSWER_BYTES} bytes"
                ));
                is_broken = true;
            }
            other => record.say(&format!("instance {index}: {other:?}")),
        }
    }
    is_broken
}

/// Sends a request, and reads its answer slowly.
fn call(to: std::net::SocketAddr, id: &str) -> std::io::Result<(u16, End)> {
    let mut reader = http::connect(to, Duration::from_secs(30))?;
    let headers = format!("host: desk.example\r\nx-attempt-id: {id}\r\nx-deadline-ms: 30000\r\n");
    http::write(&mut reader, "GET /view/2f HTTP/1.1", &headers, b"")?;
    let head = http::read_head(&mut reader)?.unwrap_or_default();
    let mut buffer = vec![0; READ_BYTES];
    let mut count = 0;
    loop {
        thread::sleep(READ_PAUSE);
        match reader.read(&mut buffer) {
            Ok(0) => return Ok((head.status(), End::InOrder(count))),
            Ok(bytes) => count += bytes,
            Err(error) => return Ok((head.status(), End::Broken(count, error.kind()))),
        }
    }
}
