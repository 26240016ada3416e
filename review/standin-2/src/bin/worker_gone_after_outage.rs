//! A worker leaves without having reported that it drains, as the steward is stopped or frozen: do instances go on sending it
//! requests after the time for which it serves on, because the store was out of order for a moment, some time before?

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use review_standin_2::deployment::{Deployment, Figures};
use review_standin_2::engine::{Options, Worker};
use review_standin_2::http::{self, Outcome, Request};
use review_standin_2::record::Record;
use review_standin_2::store::Store;
use review_standin_2::{Random, json_text, wait_until};

const INSTANCES: usize = 6;
const WORKERS: usize = 4;
const ROUNDS: usize = 8;
/// How long a worker serves on after the store has accepted that it is gone (`drainMs`), and a little longer.
const DRAIN: Duration = Duration::from_millis(2000);
const LITTLE_LONGER: Duration = Duration::from_millis(600);
/// How long the store is down in each round, in milliseconds; less than three heartbeats, so that no entry expires.
const OUTAGES: [u64; ROUNDS] = [2600, 2600, 2600, 2600, 2600, 2100, 2300, 2000];
/// The rounds in which the store answers with 503 while it is down, and the steward's machine is stopped as planned. In those
/// after them, the store is silent, and the machine is frozen.
const PLANNED_ROUNDS: usize = 5;
/// From the end of the outage to the stop: longer than `contactMs`, 3,000, after which calm machines are in touch.
const CALM: Duration = Duration::from_millis(4000);
const FREEZE: Duration = Duration::from_millis(6500);

/// What became of each request, by its id.
type Ends = Arc<Mutex<BTreeMap<String, (f64, String)>>>;

fn main() -> ExitCode {
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let path = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "record.txt".into());
    match run(trouble, &path) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

fn run(trouble: bool, path: &str) -> Result<bool, Box<dyn std::error::Error>> {
    // With OUTAGE=0, the store is never down, and all else happens.
    let has_outage = trouble && std::env::var("OUTAGE").map_or(true, |value| value != "0");
    let record = Record::create(path)?;
    let (store, store_address) = Store::start()?;
    let mut workers = Vec::new();
    for _ in 0..WORKERS {
        workers.push(start_worker(workers.len(), &store, &record)?);
    }
    store.put("keyed.op", "config", CONFIG.as_bytes());
    let figures = Figures {
        fenced: true,
        budget_extra: 116,
    };
    let mut deployment = Deployment::new("review-gone", store_address, figures)?;
    for _ in 0..INSTANCES {
        let index = deployment.add()?;
        deployment.start(index)?;
    }
    for index in 0..INSTANCES {
        if !deployment.wait_ready(index, Duration::from_secs(15)) {
            return Err("an instance isn't ready".into());
        }
    }
    thread::sleep(Duration::from_secs(5));
    let away = Arc::new(Mutex::new(None::<SocketAddr>));
    let ends: Ends = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let clients = start_clients(&deployment, &record, &stop, &away, &ends);
    let (mut late, mut lost) = (0, 0);
    let started = Instant::now();
    for round in 1..=ROUNDS {
        if started.elapsed() > Duration::from_secs(90) {
            break;
        }
        let has_freeze = trouble && round > PLANNED_ROUNDS;
        if has_outage {
            record.line("the store is down");
            store.set_silent(has_freeze);
            store.set_busy(!has_freeze);
        }
        thread::sleep(Duration::from_millis(OUTAGES[round - 1]));
        store.set_silent(false);
        store.set_busy(false);
        record.line("the store answers");
        thread::sleep(CALM);
        let Some(steward) = find_steward(&store, &deployment) else {
            return Err("there is no steward".into());
        };
        // Clients use the other machines: this one is stopped.
        *away.lock().unwrap() = Some(deployment.instances[steward].callers);
        thread::sleep(Duration::from_millis(100));
        let worker = workers.remove(0);
        worker.leave(&store);
        let left_at = record.now();
        record.line(&format!("{} is gone from the store", worker.id()));
        let name = deployment.instances[steward].name.clone();
        if has_freeze {
            record.line(&format!("{name} is frozen"));
            deployment.signal(steward, "STOP");
        } else if trouble {
            record.line(&format!("{name} gets SIGTERM"));
            deployment.signal(steward, "TERM");
        }
        let stopped_at = Instant::now();
        workers.push(start_worker(WORKERS + round, &store, &record)?);
        thread::sleep(DRAIN + LITTLE_LONGER);
        worker.exit();
        let ended_at = record.now();
        record.line(&format!("{} has ended", worker.id()));
        if has_freeze {
            thread::sleep(FREEZE.saturating_sub(stopped_at.elapsed()));
            deployment.signal(steward, "CONT");
            record.line(&format!("{name} goes on"));
        } else if trouble {
            deployment.wait_end(steward, Duration::from_secs(9));
            deployment.start(steward)?;
            deployment.wait_ready(steward, Duration::from_secs(10));
            record.line(&format!("{name} has started again"));
        }
        thread::sleep(Duration::from_secs(1));
        *away.lock().unwrap() = None;
        let bound = left_at + DRAIN.as_secs_f64() * 1000.0;
        let runs: Vec<_> = worker
            .runs()
            .into_iter()
            .filter(|run| run.at > bound)
            .collect();
        let ends = ends.lock().unwrap();
        let lost_here: Vec<String> = runs
            .iter()
            .filter_map(|run| {
                let (at, end) = ends.get(&run.id)?;
                (end != "200").then(|| {
                    format!(
                        "{} ran at {:.0} ms and ended with {end} at {at:.0} ms",
                        run.id, run.at
                    )
                })
            })
            .collect();
        record.say(&format!(
            "round {round} ({}): {} left at {left_at:.0} ms and ended at {ended_at:.0} ms; requests that reached it later than \
             {} ms after it left: {}, the last {:.0} ms after; lost of them: {}",
            if has_freeze { "the steward frozen" } else { "the steward stopped as planned" },
            worker.id(),
            DRAIN.as_millis(),
            runs.len(),
            runs.iter().map(|run| run.at - left_at).fold(0.0, f64::max),
            lost_here.len()
        ));
        for text in &lost_here {
            record.line(&format!("lost: {text}"));
        }
        late += runs.len();
        lost += lost_here.len();
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for (_, end) in ends.lock().unwrap().values() {
        *counts.entry(end.clone()).or_default() += 1;
    }
    record.say(&format!("how requests ended: {counts:?}"));
    record.say(&format!(
        "DRAIN: {late} requests reached a worker too late; {lost} of them were lost"
    ));
    record.say(if late == 0 {
        "the rule held"
    } else {
        "the rule was broken"
    });
    Ok(late == 0)
}

fn start_worker(number: usize, store: &Store, record: &Record) -> std::io::Result<Worker> {
    let options = Options {
        id: format!("i-{number}"),
        service: "app".into(),
        zone: format!("z{}", number % INSTANCES),
        engine: None,
        work: Duration::from_millis(60),
        slots: 24,
        heartbeat: Duration::from_millis(1200),
    };
    let (worker, address) = Worker::start(options, record.clone())?;
    worker.register(store, address);
    Ok(worker)
}

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r1","host":"app.example","pathPrefix":"/b/","kind":"unsafe",
"timeoutMs":4000,"goalMs":300,"priority":2,"service":"app","attempts":1}],"services":[{"name":"app",
"healthPath":"/health","maxConns":192,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,
"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

/// The instance that the lease's record names.
fn find_steward(store: &Store, deployment: &Deployment) -> Option<usize> {
    let mut found = None;
    wait_until(Duration::from_secs(5), || {
        let value = store.value("keyed.steward", "lease").unwrap_or_default();
        let text = String::from_utf8_lossy(&value).into_owned();
        found = json_text(&text, "instance").and_then(|name| deployment.find(name));
        found.is_some()
    });
    found
}

fn start_clients(
    deployment: &Deployment,
    record: &Record,
    stop: &Arc<AtomicBool>,
    away: &Arc<Mutex<Option<SocketAddr>>>,
    ends: &Ends,
) -> Vec<thread::JoinHandle<()>> {
    let addresses: Vec<SocketAddr> = deployment.instances.iter().map(|one| one.callers).collect();
    (0..24_u64)
        .map(|number| {
            let (addresses, record) = (addresses.clone(), record.clone());
            let (stop, away, ends) = (Arc::clone(stop), Arc::clone(away), Arc::clone(ends));
            thread::spawn(move || {
                let mut random = Random(number + 1);
                while !stop.load(Ordering::Relaxed) {
                    let away = *away.lock().unwrap();
                    let others: Vec<_> = addresses
                        .iter()
                        .filter(|address| Some(**address) != away)
                        .collect();
                    let address = *others[random.below(others.len() as u64) as usize];
                    let id = format!("{:016x}", random.next());
                    let request = Request {
                        method: "POST".into(),
                        target: "/b/1".into(),
                        headers: vec![
                            ("Host".into(), "app.example".into()),
                            ("X-Attempt-Id".into(), id.clone()),
                            ("X-Deadline-Ms".into(), "4000".into()),
                            ("Connection".into(), "close".into()),
                        ],
                        body: b"{\"book\":1}".to_vec(),
                    };
                    let end = match http::call(address, &request, Duration::from_secs(4)) {
                        Outcome::Answer(answer) => answer.status.to_string(),
                        Outcome::Broken(_) => "a closed connection".into(),
                        Outcome::GaveUp => "no answer".into(),
                    };
                    record.line(&format!("request {id} to {address}: {end}"));
                    ends.lock().unwrap().insert(id, (record.now(), end));
                    thread::sleep(Duration::from_millis(40 + random.below(60)));
                }
            })
        })
        .collect()
}
