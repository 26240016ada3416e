//! TWICE and REFUSED: a late second answer of one request is taken for the refusal of another.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{Folder, Instance, configuration};
use crate::http;
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Answers, Fault, Runs, Worker};

const INSTANCES: usize = 3;
const WORKERS: usize = 4;
/// Number of workers that garble: half of them.
const GARBLING: usize = 2;
/// One in so many answers is garbled: two in a hundred.
const GARBLE_INTERVAL: u64 = 50;
/// The trouble lasts five seconds, and comes again after five.
const PERIOD: Duration = Duration::from_secs(5);
const DURATION: Duration = Duration::from_secs(40);
const CALLERS: u64 = 12;
/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(140);

/// A worker that sends a second answer of some requests.
struct SecondAnswers {
    is_on: Arc<AtomicBool>,
    answered: AtomicU64,
}

impl Fault for SecondAnswers {
    fn repeats(&self) -> bool {
        let count = self.answered.fetch_add(1, Ordering::Relaxed);
        self.is_on.load(Ordering::Relaxed) && count % GARBLE_INTERVAL == GARBLE_INTERVAL - 1
    }
}

/// Runs the case, and returns whether a rule was broken.
pub fn run(record: &Record, has_trouble: bool) -> bool {
    let store = Store::default();
    let address = store.start();
    let _ = store.append("keyed.op", "config", configuration().as_bytes(), None);
    let is_on = Arc::new(AtomicBool::new(false));
    let runs = Runs::default();
    for index in 0..WORKERS {
        let fault = SecondAnswers {
            is_on: Arc::clone(&is_on),
            answered: AtomicU64::new(0),
        };
        let garbles = has_trouble && index < GARBLING;
        let worker = Worker {
            id: format!("i-{index}"),
            answers: Answers::Small,
            fault: garbles.then(|| Box::new(fault) as Box<dyn Fault>),
            runs: Arc::clone(&runs),
            record: record.clone(),
        };
        worker.start(&store);
    }
    let folder = Folder::new();
    let instances: Vec<Instance> = (0..INSTANCES)
        .map(|index| Instance::start(&folder, index, address))
        .collect();
    instances.iter().for_each(Instance::wait_until_ready);
    // The directory is read, and the instances are linked.
    thread::sleep(Duration::from_secs(3));
    let answers = Arc::new(Mutex::new(HashMap::new()));
    let started = Instant::now();
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let to = instances[caller as usize % INSTANCES].callers;
            let (record, answers) = (record.clone(), Arc::clone(&answers));
            thread::spawn(move || {
                for number in 0.. {
                    if started.elapsed() >= DURATION {
                        return;
                    }
                    let id = format!("{caller:02x}{number:06x}");
                    record.add(&format!("sent {id}"));
                    let status = call(to, &id).unwrap_or(0);
                    record.add(&format!("answered {id} {status}"));
                    let mut answers = answers.lock().expect("no panic under the lock");
                    answers.insert(id, status);
                    drop(answers);
                    thread::sleep(PAUSE);
                }
            })
        })
        .collect();
    while started.elapsed() < DURATION {
        let is_even = (started.elapsed().as_millis() / PERIOD.as_millis()).is_multiple_of(2);
        is_on.store(!is_even, Ordering::Relaxed);
        thread::sleep(Duration::from_millis(50));
    }
    for caller in callers {
        let _ = caller.join();
    }
    // What was sent a second time still arrives.
    thread::sleep(Duration::from_secs(2));
    judge(
        record,
        &runs,
        &answers.lock().expect("no panic under the lock"),
    )
}

/// Sends a request that may run at most once, and returns the status of its answer.
fn call(to: std::net::SocketAddr, id: &str) -> std::io::Result<u16> {
    let mut reader = http::connect(to, Duration::from_secs(5))?;
    let headers = format!("host: desk.example\r\nx-attempt-id: {id}\r\nx-deadline-ms: 4000\r\n");
    http::write(&mut reader, "POST /lock/2f HTTP/1.1", &headers, b"{}")?;
    let head = http::read_head(&mut reader)?.unwrap_or_default();
    http::read_body(&mut reader, &head)?;
    Ok(head.status())
}

fn judge(record: &Record, runs: &Runs, answers: &HashMap<String, u16>) -> bool {
    let runs = runs.lock().expect("no panic under the lock");
    let count = |status: u16| answers.values().filter(|other| **other == status).count();
    record.say(&format!(
        "sent {}, answered 200: {}, 502: {}, 503: {}",
        answers.len(),
        count(200),
        count(502),
        count(503)
    ));
    let mut is_broken = false;
    for (id, workers) in runs.iter().filter(|(_, workers)| workers.len() > 1) {
        record.say(&format!("TWICE: {id} ran at {}", workers.join(" and ")));
        is_broken = true;
    }
    let promises = [408, 421, 429, 503];
    for (id, status) in answers
        .iter()
        .filter(|(_, status)| promises.contains(status))
    {
        if let Some(workers) = runs.get(id) {
            record.say(&format!(
                "REFUSED: {id} was answered {status} and ran at {}",
                workers.join(" and ")
            ));
            is_broken = true;
        }
    }
    is_broken
}
