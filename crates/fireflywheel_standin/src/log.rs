//! Stand-in of the platform's append-only log service.

use std::{collections, str, sync};

use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::net;
use tokio::sync::watch;
use tokio::time;

use crate::{clock, fault, http};

/// Largest body of one append, in bytes.
pub const MAX_RECORD_BYTES: usize = 1 << 20;
/// Most records in one answer when the caller names no number.
const DEFAULT_MAX: u64 = 1000;

/// How a log starts.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// How many of the newest records are kept; 0 keeps all.
    pub retain: u64,
    /// Appends taken in each second; 0 is no limit.
    pub appends_per_second: u64,
}

/// The answer to an append.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Appended {
    /// Where the record stands.
    pub offset: u64,
}

/// One record as it is read.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Where the record stands.
    pub offset: u64,
    /// When it was appended, Unix time in milliseconds.
    pub time_ms: u64,
    /// The text that was appended.
    pub body: String,
}

/// The answer to a read.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Page {
    /// The oldest offset retained.
    pub first: u64,
    /// The offset that the next append gets.
    pub next: u64,
    /// The records, in order of their offsets.
    pub records: Vec<Record>,
}

/// What `GET /v1/counts` answers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Appends that took effect.
    pub appends: u64,
    /// Their bytes.
    pub bytes: u64,
    /// The offset that the next append gets.
    pub next: u64,
}

#[derive(Debug, Default)]
struct State {
    records: collections::VecDeque<Record>,
    counts: Counts,
    second: u64,
    in_second: u64,
}

#[derive(Debug)]
struct Log {
    injector: fault::Injector,
    state: sync::Mutex<State>,
    next: watch::Sender<u64>,
}

/// Serves a log until the future is dropped.
///
/// # Errors
/// When the listener fails for good.
pub async fn serve(listener: net::TcpListener, options: Options) -> anyhow::Result<()> {
    let injector = fault::Injector::new(fault::Switches {
        retain: options.retain,
        appends_per_second: options.appends_per_second,
        ..fault::Switches::default()
    });
    let log = Log {
        injector,
        state: sync::Mutex::default(),
        next: watch::Sender::new(0),
    };
    http::serve(listener, log).await
}

impl State {
    fn take_turn(&mut self, limit: u64) -> bool {
        let second = clock::unix_ms() / 1000;
        if self.second != second {
            self.second = second;
            self.in_second = 0;
        }
        let free = limit == 0 || self.in_second < limit;
        self.in_second += u64::from(free);
        free
    }

    fn append(&mut self, body: &str) -> u64 {
        let offset = self.counts.next;
        self.records.push_back(Record {
            offset,
            time_ms: clock::unix_ms(),
            body: body.to_owned(),
        });
        self.counts.appends += 1;
        self.counts.bytes += body.len() as u64;
        self.counts.next += 1;
        offset
    }

    fn trim(&mut self, retain: u64) {
        while retain > 0 && self.records.len() as u64 > retain {
            self.records.pop_front();
        }
    }

    fn page(&self, from: u64, max: u64) -> Page {
        let next = self.counts.next;
        let first = self.records.front().map_or(next, |record| record.offset);
        let skip = from.saturating_sub(first);
        let records = self
            .records
            .iter()
            .skip(usize::try_from(skip).unwrap_or(usize::MAX))
            .take(usize::try_from(max).unwrap_or(usize::MAX))
            .cloned()
            .collect();
        Page {
            first,
            next,
            records,
        }
    }
}

impl Log {
    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().expect("no panic under the lock")
    }

    fn append(&self, request: &http::Request) -> http::Answer {
        if request.body.len() > MAX_RECORD_BYTES {
            return http::failure(
                StatusCode::PAYLOAD_TOO_LARGE,
                "too_large",
                "a record has at most 1 MiB",
            );
        }
        let Ok(body) = str::from_utf8(&request.body) else {
            return http::failure(StatusCode::BAD_REQUEST, "bad_request", "not UTF-8");
        };
        let switches = self.injector.switches();
        let mut state = self.lock();
        if !state.take_turn(switches.appends_per_second) {
            return http::failure(
                StatusCode::TOO_MANY_REQUESTS,
                "rate_limited",
                "the appends of this second are used up",
            );
        }
        let offset = state.append(body);
        state.trim(switches.retain);
        self.next.send_replace(state.counts.next);
        http::json(StatusCode::OK, &Appended { offset })
    }

    async fn read(&self, request: &http::Request) -> http::Answer {
        let from = request.number("from").unwrap_or(0);
        let max = request.number("max").unwrap_or(DEFAULT_MAX);
        let wait = time::Duration::from_millis(request.number("wait_ms").unwrap_or(0));
        let mut next = self.next.subscribe();
        // Running out of the wait is a usual end: the page is then empty.
        let _ = time::timeout(wait, next.wait_for(|next| *next > from)).await;
        self.injector.wait_until_unfrozen().await;
        let switches = self.injector.switches();
        if switches.outage {
            return http::outage();
        }
        let mut state = self.lock();
        state.trim(switches.retain);
        http::json(StatusCode::OK, &state.page(from, max))
    }
}

impl http::Handler for Log {
    type Counts = Counts;

    fn injector(&self) -> &fault::Injector {
        &self.injector
    }

    fn counts(&self) -> Counts {
        self.lock().counts
    }

    fn has_effect(&self, request: &http::Request) -> bool {
        request.method == Method::POST
    }

    async fn call(
        self: sync::Arc<Self>,
        request: http::Request,
    ) -> Result<http::Answer, http::Lost> {
        let answer = match (&request.method, request.path.as_str()) {
            (&Method::POST, "/v1/append") => self.append(&request),
            (&Method::GET, "/v1/read") => self.read(&request).await,
            _ => http::failure(StatusCode::NOT_FOUND, "not_found", "no such call"),
        };
        Ok(answer)
    }
}

/// The path of a read that waits at most `wait_ms` for a record.
#[must_use]
pub fn read_path(from: u64, max: u64, wait_ms: u64) -> SmolStr {
    smol_str::format_smolstr!("/v1/read?from={from}&max={max}&wait_ms={wait_ms}")
}
