//! A steward is stopped as planned while a packet of its last order is lost on the way: does a worker see an order of the
//! successor, and then the one of the steward before, with a lower fencing token?

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use review_standin_2::deployment::{Deployment, Figures, send_signal};
use review_standin_2::engine::{EngineOptions, Options, Order, Worker};
use review_standin_2::http::{self, Outcome, Request};
use review_standin_2::record::Record;
use review_standin_2::store::Store;
use review_standin_2::{Random, json_text, link, wait_until};

/// How much later the bytes of a lost packet arrive: the smallest time-out of a retransmission is 200 ms.
const RETRANSMISSION: Duration = Duration::from_millis(220);
/// One packet in so many is lost at most, on each path from an instance to a worker: three in a hundred.
const PACKETS_PER_LOSS: u64 = 34;
const INSTANCES: usize = 3;
const ENGINES: usize = 2;
const ROUNDS: usize = 8;
const LEASE_MS: f64 = 3000.0;

/// What the links to the workers know: packets and losses by sender, and the process to stop with the next order.
#[derive(Default)]
struct Links {
    packets: Mutex<BTreeMap<String, (u64, u64)>>,
    armed: Mutex<Option<(String, u32)>>,
}

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
    let record = Record::create(path)?;
    let (store, store_address) = Store::start()?;
    let links = Arc::new(Links::default());
    let (stopped, stops) = mpsc::channel();
    let stopped = Arc::new(Mutex::new(stopped));
    let models: BTreeMap<String, u64> = (0..6).map(|index| (format!("m{index}"), 72_700)).collect();
    let mut workers = Vec::new();
    for index in 0..ENGINES {
        let options = Options {
            id: format!("i-{index}"),
            service: "llm".into(),
            zone: format!("z{index}"),
            engine: Some(EngineOptions {
                weights_mb: 200_000,
                adapter_slots: 8,
                models: models.clone(),
                disk_load: Duration::from_millis(400),
                events: 10,
            }),
            work: Duration::ZERO,
            slots: 64,
            heartbeat: Duration::from_millis(1200),
        };
        let (worker, address) = Worker::start(options, record.clone())?;
        let reached_at = start_link(address, &links, &record, &stopped, trouble)?;
        worker.register(&store, reached_at);
        workers.push(worker);
    }
    store.put("keyed.op", "config", config(&models).as_bytes());
    let figures = Figures {
        fenced: false,
        budget_extra: 104,
    };
    let mut deployment = Deployment::new("review-orders", store_address, figures)?;
    for _ in 0..INSTANCES {
        let index = deployment.add()?;
        deployment.start(index)?;
    }
    for index in 0..INSTANCES {
        if !deployment.wait_ready(index, Duration::from_secs(15)) {
            return Err("an instance isn't ready".into());
        }
    }
    let stop = Arc::new(AtomicBool::new(false));
    let counts = Arc::new([const { AtomicU64::new(0) }; 3]);
    let clients = start_clients(&deployment, &record, &stop, &counts);
    thread::sleep(Duration::from_secs(6));
    let started = Instant::now();
    for round in 1..=ROUNDS {
        if started.elapsed() > Duration::from_secs(80) {
            break;
        }
        // The steward is the one that gave the last order, some seconds after it took over.
        let Some(steward) = last_holder(&workers) else {
            return Err("no orders are given".into());
        };
        let Some(index) = deployment.find(&steward) else {
            return Err("an unknown holder".into());
        };
        let Some(process) = deployment.process_id(index) else {
            return Err("the steward doesn't run".into());
        };
        if !trouble {
            thread::sleep(Duration::from_secs(4));
            continue;
        }
        while stops.try_recv().is_ok() {}
        *links.armed.lock().unwrap() = Some((steward.clone(), process));
        if stops.recv_timeout(Duration::from_secs(10)).is_err() {
            *links.armed.lock().unwrap() = None;
            continue;
        }
        record.say(&format!(
            "round {round}: {steward} has got SIGTERM with an order on its way"
        ));
        deployment.wait_end(index, Duration::from_secs(9));
        thread::sleep(Duration::from_millis(300));
        deployment.start(index)?;
        deployment.wait_ready(index, Duration::from_secs(10));
        thread::sleep(Duration::from_secs(4));
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let packets = links.packets.lock().unwrap().clone();
    for (sender, (all, lost)) in packets {
        record.say(&format!(
            "orders' packets from {sender}: {all}, lost {lost}"
        ));
    }
    let [answered, refused, broken] = &*counts;
    record.say(&format!(
        "requests answered {}, refused {}, broken off {}; orders {}",
        answered.load(Ordering::Relaxed),
        refused.load(Ordering::Relaxed),
        broken.load(Ordering::Relaxed),
        workers
            .iter()
            .map(|worker| worker.orders().len())
            .sum::<usize>()
    ));
    let breaks: Vec<String> = workers
        .iter()
        .flat_map(|worker| judge(&worker.orders()))
        .collect();
    for text in &breaks {
        record.say(text);
    }
    record.say(if breaks.is_empty() {
        "the rule held"
    } else {
        "the rule was broken"
    });
    Ok(breaks.is_empty())
}

/// The link of all instances to a worker. Of each instance's packets to it, a few are lost and sent once more.
fn start_link(
    address: SocketAddr,
    links: &Arc<Links>,
    record: &Record,
    stopped: &Arc<Mutex<mpsc::Sender<()>>>,
    trouble: bool,
) -> std::io::Result<SocketAddr> {
    let (links, record, stopped) = (Arc::clone(links), record.clone(), Arc::clone(stopped));
    // With LOSS=0, the steward is stopped all the same, and no packet is lost.
    let loses = std::env::var("LOSS").map_or(true, |value| value != "0");
    link::start(
        address,
        Arc::new(move |bytes| {
            let text = String::from_utf8_lossy(bytes);
            let Some(holder) = json_text(&text, "holder") else {
                return Duration::ZERO;
            };
            let mut packets = links.packets.lock().unwrap();
            let (all, lost) = packets.entry(holder.to_owned()).or_default();
            *all += 1;
            let mut armed = links.armed.lock().unwrap();
            let process = armed
                .as_ref()
                .filter(|(name, _)| name == holder)
                .map(|(_, process)| *process);
            let may_lose = *all >= PACKETS_PER_LOSS * (*lost + 1);
            let Some(process) = process.filter(|_| trouble && may_lose) else {
                return Duration::ZERO;
            };
            *lost += u64::from(loses);
            *armed = None;
            drop((packets, armed));
            if loses {
                record.line(&format!(
                    "a packet with an order of {holder} is lost; it is sent once more later"
                ));
            }
            record.line(&format!("SIGTERM to {holder}"));
            send_signal(process, "TERM");
            let _ = stopped.lock().unwrap().send(());
            if loses {
                RETRANSMISSION
            } else {
                Duration::ZERO
            }
        }),
    )
}

fn config(models: &BTreeMap<String, u64>) -> String {
    let models: Vec<String> = models
        .iter()
        .map(|(name, size)| {
            format!(
                "{{\"name\":\"{name}\",\"weightsMb\":{size},\"loadS\":6.0,\"adapters\":9,\"adapterMb\":66.0,\
                 \"warmS\":0.4,\"diskLoadS\":0.4}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r1\",\"host\":\"llm.example\",\"pathPrefix\":\"/q/\",\
         \"kind\":\"streaming\",\"timeoutMs\":15000,\"goalMs\":2500,\"priority\":1,\"service\":\"llm\",\"attempts\":1,\
         \"sticky\":true,\"resumable\":false,\"gapTargetMs\":250}}],\"services\":[{{\"name\":\"llm\",\
         \"healthPath\":\"/health\",\"maxConns\":720,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\
         \"kvCapacity\":232000,\"weightsMb\":200000.0,\"adapterSlots\":8,\"loadsPerS\":2.1,\"models\":[{}]}}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}}}",
        models.join(",")
    )
}

/// Clients at all instances, which ask for models and adapters at random.
fn start_clients(
    deployment: &Deployment,
    record: &Record,
    stop: &Arc<AtomicBool>,
    counts: &Arc<[AtomicU64; 3]>,
) -> Vec<thread::JoinHandle<()>> {
    let addresses: Vec<SocketAddr> = deployment.instances.iter().map(|one| one.callers).collect();
    (0..24_u64)
        .map(|number| {
            let (address, record) = (addresses[number as usize % addresses.len()], record.clone());
            let (stop, counts) = (Arc::clone(stop), Arc::clone(counts));
            thread::spawn(move || {
                let mut random = Random(number + 1);
                while !stop.load(Ordering::Relaxed) {
                    let id = format!("{:016x}", random.next());
                    let model = random.below(6);
                    let name = match random.below(3) {
                        0 => format!("m{model}"),
                        _ => format!("m{model}/a{}", 1 + random.below(9)),
                    };
                    let request = Request {
                        method: "POST".into(),
                        target: "/q/1".into(),
                        headers: vec![
                            ("Host".into(), "llm.example".into()),
                            ("X-Attempt-Id".into(), id.clone()),
                            ("X-Model".into(), name.clone()),
                            ("X-Token-Counts".into(), "200,40".into()),
                            (
                                "X-Prompt-Prefix".into(),
                                format!("5c1e07a2:100,{:08x}:100", random.next() as u32),
                            ),
                            ("X-Deadline-Ms".into(), "5000".into()),
                            ("Connection".into(), "close".into()),
                        ],
                        body: b"{}".to_vec(),
                    };
                    let outcome = http::call(address, &request, Duration::from_secs(5));
                    let (count, text) = match &outcome {
                        Outcome::Answer(answer) if answer.status == 200 => (0, "200".to_owned()),
                        Outcome::Answer(answer) => (1, answer.status.to_string()),
                        other => (2, format!("{other:?}")),
                    };
                    counts[count].fetch_add(1, Ordering::Relaxed);
                    record.line(&format!("request {id} for {name} to {address}: {text}"));
                    thread::sleep(Duration::from_millis(60 + random.below(120)));
                }
            })
        })
        .collect()
}

fn last_holder(workers: &[Worker]) -> Option<String> {
    let mut last = None;
    wait_until(Duration::from_secs(10), || {
        let orders = workers.iter().flat_map(Worker::orders);
        last = orders
            .max_by(|a, b| a.at.total_cmp(&b.at))
            .map(|order| order.holder);
        last.is_some()
    });
    last
}

/// ONE: a lower fencing token after a higher one, or holders that take turns within the lease's time, at one worker that
/// doesn't check fencing tokens.
fn judge(orders: &[Order]) -> Vec<String> {
    let mut breaks = Vec::new();
    let mut highest: Option<&Order> = None;
    for (index, order) in orders.iter().enumerate() {
        if let Some(before) = highest.filter(|before| before.fence > order.fence) {
            breaks.push(format!(
                "ONE: at {} an order of {} with token {} ({}) came {:.0} ms after one of {} with token {} ({})",
                order.engine,
                order.holder,
                order.fence,
                order.status,
                order.at - before.at,
                before.holder,
                before.fence,
                before.status
            ));
        } else {
            highest = Some(order);
        }
        let since = orders[..index]
            .iter()
            .filter(|other| order.at - other.at < LEASE_MS);
        let mut seen_other = false;
        let mut is_turn = false;
        for other in since.collect::<Vec<_>>().into_iter().rev() {
            seen_other |= other.holder != order.holder;
            is_turn |= seen_other && other.holder == order.holder;
        }
        if is_turn && orders[index - 1].holder != order.holder {
            breaks.push(format!(
                "ONE: at {} {} and {} gave orders by turns within the lease's time",
                order.engine,
                order.holder,
                orders[index - 1].holder
            ));
        }
    }
    breaks
}
