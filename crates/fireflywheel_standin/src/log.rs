//! Stand-in for the platform's append-only log service.

use std::{collections, str, sync};

use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::net;
use tokio::sync::watch;
use tokio::time;

use crate::{clock, fault, http};

/// Maximum size of an appended record in bytes.
pub const MAX_RECORD_BYTES: usize = 1 << 20;
/// Maximum number of records in an answer if the request sets no `max`.
const DEFAULT_MAX_RECORDS: u64 = 1000;

/// Settings of a log.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Number of newest records that are retained; 0 retains all.
    pub retain: u64,
    /// Maximum number of appends per second; 0 for no limit.
    pub appends_per_second: u64,
}

/// The answer to an append.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Appended {
    /// Offset of the record.
    pub offset: u64,
}

/// A record in the answer to a read.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Offset of the record.
    pub offset: u64,
    /// Unix time of the append, in milliseconds.
    pub time_ms: u64,
    /// Appended text.
    pub body: String,
}

/// The answer to a read.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Page {
    /// Offset of the oldest retained record.
    pub first: u64,
    /// Offset of the next append.
    pub next: u64,
    /// The records, in order of their offsets.
    pub records: Vec<Record>,
}

/// The answer to `GET /v1/counts`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Number of appends that took effect.
    pub appends: u64,
    /// Total size of these appends in bytes.
    pub bytes: u64,
    /// Offset of the next append.
    pub next: u64,
}

#[derive(Debug, Default)]
struct State {
    records: collections::VecDeque<Record>,
    counts: Counts,
    /// Unix time in seconds for which appends are counted.
    second: u64,
    /// Number of appends accepted in `second`.
    appends_in_second: u64,
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
/// If the listener fails.
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
    /// Counts an append against the rate limit. Returns false if the limit for this second is
    /// reached.
    fn try_count_append(&mut self, limit: u64) -> bool {
        let second = clock::unix_ms() / 1000;
        if self.second != second {
            self.second = second;
            self.appends_in_second = 0;
        }
        let allowed = limit == 0 || self.appends_in_second < limit;
        self.appends_in_second += u64::from(allowed);
        allowed
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
        if !state.try_count_append(switches.appends_per_second) {
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
        let max = request.number("max").unwrap_or(DEFAULT_MAX_RECORDS);
        let wait = time::Duration::from_millis(request.number("wait_ms").unwrap_or(0));
        let mut next = self.next.subscribe();
        // A time-out is not an error: the page is then empty.
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

/// Returns the path of a read that waits at most `wait_ms` for a record.
#[must_use]
pub fn read_path(from: u64, max: u64, wait_ms: u64) -> SmolStr {
    smol_str::format_smolstr!("/v1/read?from={from}&max={max}&wait_ms={wait_ms}")
}
