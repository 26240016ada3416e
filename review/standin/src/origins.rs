//! LOST: streams that callers take up again after all processes were killed don't go on, while new ones begin.

use std::collections::BTreeMap;
use std::io::{self, BufRead as _};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{Folder, Instance, engine_configuration};
use crate::engine::{Engine, Orders, Streams};
use crate::http;
use crate::record::Record;
use crate::store::Store;

const INSTANCES: usize = 3;
/// The versions of the engines' software, two engines each.
const VERSIONS: [&str; 4] = ["v1", "v1", "v2", "v2"];
const MODELS: [&str; 2] = ["m1", "m2"];
/// Number of callers whose streams break off.
const CALLERS: usize = 24;
const EVENTS: u64 = 60;
const EVENT_INTERVAL: Duration = Duration::from_millis(150);
const DEADLINE: Duration = Duration::from_secs(15);
/// How long the streams go on until all processes are killed.
const KILL_DELAY: Duration = Duration::from_secs(2);
/// The platform starts a process again after a short delay.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// Time from the restart until callers come back. `contactMs` is 3 s: the machines are in touch again.
const RETURN_DELAY: Duration = Duration::from_millis(4000);

/// How often a caller comes back at the most.
const MAX_TRIES: usize = 4;

/// What a caller has of its stream.
#[derive(Clone, Debug, Default)]
struct Received {
    status: u16,
    last_event: u64,
    /// The versions that have written its events.
    versions: Vec<String>,
    is_whole: bool,
    retry_after: Option<Duration>,
}

/// Runs the case, and returns whether the rule was broken.
pub fn run(record: &Record, has_trouble: bool) -> bool {
    let store = Store::default();
    let address = store.start();
    let configuration = engine_configuration(&MODELS, 4);
    let _ = store.append("keyed.op", "config", configuration.as_bytes(), None);
    for (index, version) in VERSIONS.into_iter().enumerate() {
        let streams = Streams {
            version,
            events: EVENTS,
            interval: EVENT_INTERVAL,
        };
        let id = format!("i-{index}");
        Engine::new(&id, &MODELS, streams, &Orders::default(), record).start(&store);
    }
    let folder = Folder::new();
    let mut instances: Vec<Instance> = (0..INSTANCES)
        .map(|index| Instance::start(&folder, index, address))
        .collect();
    instances.iter().for_each(Instance::wait_until_ready);
    thread::sleep(Duration::from_secs(5));
    let doors: Vec<SocketAddr> = instances.iter().map(|instance| instance.callers).collect();
    // Another instance than before takes the caller that comes back.
    let door = |caller: usize, attempt: usize| doors[(caller + attempt) % doors.len()];
    let began = Instant::now();
    let streams: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (to, record) = (door(caller, 0), record.clone());
            thread::spawn(move || {
                let id = format!("a{caller:07}");
                let limit = match has_trouble {
                    true => EVENTS,
                    // Without the kill, the caller breaks its stream off.
                    false => 12,
                };
                let received = call(&record, to, &id, caller, None, DEADLINE, limit);
                (id, received)
            })
        })
        .collect();
    thread::sleep(KILL_DELAY);
    if has_trouble {
        record.add("all instances killed");
        instances.iter_mut().for_each(Instance::kill);
        thread::sleep(RESTART_DELAY);
        for instance in &mut instances {
            instance.start_again(&folder);
        }
    }
    let streams: Vec<(String, Received)> = streams
        .into_iter()
        .map(|stream| stream.join().expect("callers don't panic"))
        .collect();
    thread::sleep(RETURN_DELAY);
    let left = DEADLINE.saturating_sub(began.elapsed());
    let mut returning = Vec::new();
    let mut beginning = Vec::new();
    for (caller, (id, before)) in streams.iter().enumerate() {
        let doors: Vec<SocketAddr> = (1..=MAX_TRIES)
            .map(|attempt| door(caller, attempt))
            .collect();
        let (to, other) = (doors[0], record.clone());
        beginning.push(thread::spawn(move || {
            call(
                &other,
                to,
                &format!("c{caller:07}"),
                caller,
                None,
                DEADLINE,
                3,
            )
        }));
        if before.last_event > 0 && !before.is_whole {
            let (id, before, record) = (id.clone(), before.clone(), record.clone());
            returning.push(thread::spawn(move || {
                let after = take_up(&record, &doors, &id, caller, &before, left);
                (before, after)
            }));
        }
    }
    let resumed: Vec<(Received, Received)> = returning
        .into_iter()
        .map(|caller| caller.join().expect("callers don't panic"))
        .collect();
    let new: Vec<Received> = beginning
        .into_iter()
        .map(|caller| caller.join().expect("callers don't panic"))
        .collect();
    judge(record, &resumed, &new)
}

/// Takes a stream up again after its last event, and comes back when it is told to. Returns what the last try brought.
fn take_up(
    record: &Record,
    doors: &[SocketAddr],
    first: &str,
    caller: usize,
    before: &Received,
    left: Duration,
) -> Received {
    let until = Instant::now() + left;
    let mut after = Received::default();
    for (attempt, to) in doors.iter().enumerate() {
        let id = format!("b{attempt}{caller:06}");
        let left = until.saturating_duration_since(Instant::now());
        let resumes = Some((first, before.last_event));
        after = call(record, *to, &id, caller, resumes, left, EVENTS);
        let left = until.saturating_duration_since(Instant::now());
        match after.retry_after.filter(|_| after.last_event == 0) {
            // Callers wait for a third of the time that they have at most.
            Some(wait) => thread::sleep(wait.min(left / 3)),
            None => break,
        }
    }
    after
}

/// Sends a request, and reads its stream up to an event.
fn call(
    record: &Record,
    to: SocketAddr,
    id: &str,
    caller: usize,
    resumes: Option<(&str, u64)>,
    deadline: Duration,
    limit: u64,
) -> Received {
    record.add(&format!("sent {id}, taking up {resumes:?}"));
    let mut received = Received::default();
    if let Err(error) = read_stream(to, id, caller, resumes, deadline, limit, &mut received) {
        record.add(&format!("{id} broke off: {:?}", error.kind()));
    }
    record.add(&format!("answered {id}: {received:?}"));
    received
}

fn read_stream(
    to: SocketAddr,
    id: &str,
    caller: usize,
    resumes: Option<(&str, u64)>,
    deadline: Duration,
    limit: u64,
    received: &mut Received,
) -> io::Result<()> {
    let mut reader = http::connect(to, Duration::from_secs(10))?;
    let model = MODELS[caller % MODELS.len()];
    let resumed = resumes.map_or_else(String::new, |(first, last)| {
        format!("last-event-id: {last}\r\nresumes: {first}\r\n")
    });
    let headers = format!(
        "host: desk.example\r\nx-attempt-id: {id}\r\nx-deadline-ms: {}\r\nx-model: {model}\r\n\
         x-token-counts: 826,240\r\nx-prompt-prefix: aa:198,{caller:x}00:628\r\n{resumed}",
        deadline.as_millis()
    );
    http::write(&mut reader, "POST /deadline/2f HTTP/1.1", &headers, b"{}")?;
    let head = http::read_head(&mut reader)?.unwrap_or_default();
    received.status = head.status();
    let wait = head.get("retry-after").and_then(|text| text.parse().ok());
    received.retry_after = wait.map(Duration::from_secs_f64);
    if received.status != 200 {
        return Ok(());
    }
    let mut id = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if let Some(text) = line.strip_prefix("id: ") {
            id = text.trim().parse().unwrap_or_default();
        } else if let Some(data) = line.strip_prefix("data: ") {
            received.last_event = id;
            let version = data.split(' ').next().unwrap_or_default().to_owned();
            if !received.versions.contains(&version) {
                received.versions.push(version);
            }
            if id >= limit {
                return Ok(());
            }
        } else if line.trim_end() == "0" {
            received.is_whole = true;
            return Ok(());
        }
    }
}

fn judge(record: &Record, resumed: &[(Received, Received)], new: &[Received]) -> bool {
    let went_on = resumed
        .iter()
        .filter(|(_, after)| after.last_event > 0)
        .count();
    let began = new
        .iter()
        .filter(|received| received.last_event > 0)
        .count();
    record.say(&format!(
        "taken up {}, went on {went_on}; new {}, began {began}",
        resumed.len(),
        new.len()
    ));
    let mut statuses = BTreeMap::new();
    for (_, after) in resumed {
        *statuses.entry(after.status).or_insert(0) += 1;
    }
    record.say(&format!(
        "last answers to those that were taken up, by status: {statuses:?}"
    ));
    let mixed = resumed.iter().filter(|(before, after)| {
        let mut versions = before.versions.iter().chain(&after.versions);
        let first = versions.next();
        versions.any(|version| Some(version) != first)
    });
    let mixed = mixed.count();
    if mixed > 2 {
        record.say(&format!(
            "ORDER: {mixed} streams hold events of two versions"
        ));
    }
    let share = |count: usize, all: usize| count as f64 / all.max(1) as f64;
    let is_lost =
        resumed.len() >= 12 && share(went_on, resumed.len()) < share(began, new.len()) / 2.0;
    if is_lost {
        record.say("LOST: the share that goes on is under half of the share that begins");
    }
    is_lost || mixed > 2
}
