//! ONE: two machines take turns as the holder within a lease.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{Folder, Instance, engine_configuration};
use crate::engine::{Engine, Order, Orders, SHORT};
use crate::http;
use crate::record::Record;
use crate::store::Store;

/// The share of a processor of each machine.
const CPU_SHARES: [f64; 3] = [0.5, 0.2, 0.17];
const ENGINES: usize = 3;
const MODELS: [&str; 4] = ["m1", "m2", "m3", "m4"];
const ADAPTERS: u64 = 15;
const CALLERS: u64 = 12;
const DURATION: Duration = Duration::from_secs(45);
/// The bound `leaseMs` of the site.
const LEASE: Duration = Duration::from_secs(3);
/// How long the first machine has given orders until it is stopped.
const STOP_DELAY: Duration = Duration::from_secs(1);
/// How often that machine is stopped and started again.
const STOPS: usize = 6;
/// The platform starts a process again after a short delay.
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// Runs the case, and returns whether the rule was broken.
pub fn run(record: &Record, has_trouble: bool) -> bool {
    let store = Store::default();
    let address = store.start();
    let configuration = engine_configuration(&MODELS, ADAPTERS);
    let _ = store.append("keyed.op", "config", configuration.as_bytes(), None);
    let orders = Orders::default();
    for index in 0..ENGINES {
        Engine::new(&format!("i-{index}"), &MODELS, SHORT, &orders, record).start(&store);
    }
    let folder = Folder::new();
    let mut instances: Vec<Instance> = CPU_SHARES
        .iter()
        .enumerate()
        .map(|(index, share)| Instance::start_with(&folder, index, address, *share))
        .collect();
    instances.iter().for_each(Instance::wait_until_ready);
    thread::sleep(Duration::from_secs(3));
    let statuses = Arc::new(Mutex::new(HashMap::new()));
    let started = Instant::now();
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let to = instances[caller as usize % CPU_SHARES.len()].callers;
            let statuses = Arc::clone(&statuses);
            thread::spawn(move || {
                for number in 0.. {
                    if started.elapsed() >= DURATION {
                        return;
                    }
                    let status = call(to, caller, number).unwrap_or(0);
                    let mut statuses = statuses.lock().expect("no panic under the lock");
                    *statuses.entry(status).or_insert(0_u32) += 1;
                    drop(statuses);
                    thread::sleep(Duration::from_millis(100));
                }
            })
        })
        .collect();
    let mut stops = 0;
    while started.elapsed() < DURATION {
        thread::sleep(Duration::from_millis(20));
        let first = instances[0].name().to_owned();
        if !has_trouble || stops == STOPS || last_holder(&orders).as_deref() != Some(first.as_str())
        {
            continue;
        }
        thread::sleep(STOP_DELAY);
        record.add(&format!("SIGTERM to {first}"));
        instances[0].stop();
        stops += 1;
        thread::sleep(RESTART_DELAY);
        record.add(&format!("{first} starts again"));
        instances[0].start_again(&folder);
        instances[0].wait_until_ready();
    }
    for caller in callers {
        let _ = caller.join();
    }
    record.say(&format!("planned stops of the first machine: {stops}"));
    let statuses = statuses.lock().expect("no panic under the lock");
    record.say(&format!("answers by status: {statuses:?}"));
    judge(record, &orders)
}

/// The holder of the newest order.
fn last_holder(orders: &Orders) -> Option<String> {
    let orders = orders.lock().expect("no panic under the lock");
    let newest = orders.values().filter_map(|orders| orders.last());
    Some(newest.max_by_key(|order| order.at)?.holder.clone())
}

/// Sends a request for a model with an adapter, and reads the whole stream.
fn call(to: std::net::SocketAddr, caller: u64, number: u64) -> std::io::Result<u16> {
    let mut reader = http::connect(to, Duration::from_secs(6))?;
    let draw = (caller * 7919 + number * 104_729) % (MODELS.len() as u64 * ADAPTERS);
    let (model, adapter) = (
        MODELS[(draw % MODELS.len() as u64) as usize],
        draw / MODELS.len() as u64 + 1,
    );
    let headers = format!(
        "host: desk.example\r\nx-attempt-id: {caller:02x}{number:06x}\r\nx-deadline-ms: 5000\r\n\
         x-model: {model}/a{adapter}\r\nx-token-counts: 826,73\r\nx-prompt-prefix: aa:198,{caller:x}{number:05x}:628\r\n"
    );
    http::write(&mut reader, "POST /draft/2f HTTP/1.1", &headers, b"{}")?;
    let head = http::read_head(&mut reader)?.unwrap_or_default();
    http::read_body(&mut reader, &head)?;
    Ok(head.status())
}

/// The time in which one holder gave orders to an engine with no order of another between them.
struct Tenure {
    holder: String,
    first: Instant,
    last: Instant,
}

fn judge(record: &Record, orders: &Orders) -> bool {
    let orders = orders.lock().expect("no panic under the lock");
    let mut is_broken = false;
    for (engine, orders) in orders.iter() {
        record.say(&format!("{engine}: {} orders", orders.len()));
        let tenures = tenures(orders);
        for three in tenures.windows(3) {
            let gap = three[2].first - three[0].last;
            if three[0].holder == three[2].holder && gap < LEASE {
                record.say(&format!(
                    "ONE: {engine} got orders of {}, then of {}, and {:.2} s after the last one of {} of that again",
                    three[0].holder,
                    three[1].holder,
                    gap.as_secs_f64(),
                    three[0].holder
                ));
                is_broken = true;
            }
        }
        for (before, after) in orders.iter().zip(orders.iter().skip(1)) {
            let is_lower = after.fencing < before.fencing;
            if is_lower || (after.fencing == before.fencing && after.holder != before.holder) {
                record.say(&format!("ONE: {engine} got {after:?} after {before:?}"));
                is_broken = true;
            }
        }
    }
    is_broken
}

fn tenures(orders: &[Order]) -> Vec<Tenure> {
    let mut tenures: Vec<Tenure> = Vec::new();
    for order in orders {
        match tenures
            .last_mut()
            .filter(|tenure| tenure.holder == order.holder)
        {
            Some(tenure) => tenure.last = order.at,
            None => tenures.push(Tenure {
                holder: order.holder.clone(),
                first: order.at,
                last: order.at,
            }),
        }
    }
    tenures
}
