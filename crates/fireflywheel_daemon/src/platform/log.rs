//! The platform's log: a trait, its HTTP adapter, and the two tasks that use it.

use std::future::{self, Future};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fireflywheel::{event, record, writer};
use hyper::{Method, StatusCode};
use serde::Deserialize;
use smol_str::SmolStr;
use tokio::sync::{mpsc, watch};
use tokio::time;

use crate::{client, core};

/// Records asked for at once, at most.
const PAGE: u64 = 500;
/// The largest answer to a read, in bytes: several records of the largest size.
const READ_LIMIT: usize = 16 << 20;
/// The largest answer to an append, in bytes.
const APPEND_LIMIT: usize = 4096;
/// How long an append may take until its answer counts as lost.
const APPEND_WAIT: Duration = Duration::from_secs(10);
/// How long a read may take beyond the time that it waits for a record.
const READ_WAIT: Duration = Duration::from_secs(10);
/// The wait after a first failed read; doubled with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// The longest wait after a failed read.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// Records read from the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Page {
    /// The oldest offset that the log retains.
    pub first: u64,
    /// The offset that its next record gets.
    pub next: u64,
    /// In order.
    pub records: Vec<record::Stored>,
}

/// The log gave no answer, or refused one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Unavailable;

/// An append-only log with offsets.
pub trait Log: Send + Sync + 'static {
    /// Appends a text.
    fn append(&self, text: String) -> impl Future<Output = writer::Answer> + Send;

    /// Reads at most `max` records from an offset on. When nothing is there yet, waits up to `wait` for one.
    fn read(
        &self,
        from: u64,
        max: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Page, Unavailable>> + Send;
}

/// The log service over HTTP.
#[derive(Clone, Debug)]
pub struct Http {
    client: client::Client,
    base: SmolStr,
}

#[derive(Deserialize)]
struct Appended {
    offset: u64,
}

#[derive(Deserialize)]
struct Listing {
    first: u64,
    next: u64,
    records: Vec<Entry>,
}

#[derive(Deserialize)]
struct Entry {
    offset: u64,
    time_ms: u64,
    body: String,
}

impl Http {
    /// The log at `base`, such as `http://10.0.0.5:7000`.
    #[must_use]
    pub fn new(client: client::Client, base: impl Into<SmolStr>) -> Self {
        Self {
            client,
            base: base.into(),
        }
    }

    async fn read_page(&self, from: u64, max: u64, wait: Duration) -> Result<Page, client::Fault> {
        let wait_ms = wait.as_millis();
        let url = format!(
            "{}/v1/read?from={from}&max={max}&wait_ms={wait_ms}",
            self.base
        );
        let request = client::bare(Method::GET, &url)?;
        let answer = self
            .client
            .call(request, READ_LIMIT, wait + READ_WAIT)
            .await?;
        if answer.status != StatusCode::OK {
            return Err(client::Fault::Lost);
        }
        parse_page(&answer.body).ok_or(client::Fault::Lost)
    }
}

fn parse_page(body: &Bytes) -> Option<Page> {
    let listing: Listing = serde_json::from_slice(body).ok()?;
    let records = listing.records.into_iter().map(record::Stored::from);
    Some(Page {
        first: listing.first,
        next: listing.next,
        records: records.collect(),
    })
}

impl From<Entry> for record::Stored {
    fn from(entry: Entry) -> Self {
        Self {
            offset: entry.offset,
            time_ms: entry.time_ms,
            body: entry.body,
        }
    }
}

impl Log for Http {
    async fn append(&self, text: String) -> writer::Answer {
        let url = format!("{}/v1/append", self.base);
        let Ok(request) = client::request(Method::POST, &url, "text/plain; charset=utf-8", text)
        else {
            return writer::Answer::Refused;
        };
        match self.client.call(request, APPEND_LIMIT, APPEND_WAIT).await {
            Ok(answer) => append_answer(&answer),
            Err(client::Fault::Unsent) => writer::Answer::Refused,
            Err(client::Fault::Lost) => writer::Answer::Lost,
        }
    }

    async fn read(&self, from: u64, max: u64, wait: Duration) -> Result<Page, Unavailable> {
        self.read_page(from, max, wait)
            .await
            .map_err(|_| Unavailable)
    }
}

fn append_answer(answer: &client::Answer) -> writer::Answer {
    match answer.status {
        StatusCode::OK => serde_json::from_slice(&answer.body)
            .map_or(writer::Answer::Lost, |Appended { offset }| {
                writer::Answer::Stored(offset)
            }),
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => writer::Answer::Refused,
        _ => writer::Answer::Lost,
    }
}

/// Appends what the node hands over, one text at a time.
pub async fn append_all<L>(
    log: Arc<L>,
    core: Arc<core::Core>,
    mut texts: mpsc::UnboundedReceiver<String>,
) where
    L: Log,
{
    while let Some(text) = texts.recv().await {
        let answer = log.append(text).await;
        core.metrics().count_append(answer);
        core.step(event::Event::Appended(answer));
    }
}

/// Reads the log from where the node wants on, for ever.
pub async fn read_all<L>(
    log: Arc<L>,
    core: Arc<core::Core>,
    mut position: watch::Receiver<core::ReadPosition>,
    wait: Duration,
) where
    L: Log,
{
    let mut pause = FIRST_PAUSE;
    loop {
        let wanted = *position.borrow_and_update();
        let moved = tokio::select! {
            changed = position.changed() => changed,
            () = follow(&*log, &core, wanted, wait, &mut pause) => return,
        };
        if moved.is_err() {
            return;
        }
    }
}

/// Reads on from one position until dropped.
async fn follow<L>(
    log: &L,
    core: &core::Core,
    wanted: core::ReadPosition,
    wait: Duration,
    pause: &mut Duration,
) where
    L: Log,
{
    let Some(mut from) = wanted.from else {
        return future::pending().await;
    };
    let mut max = PAGE;
    loop {
        let Ok(page) = log.read(from, max, wait).await else {
            core.step_log_read(wanted.generation, event::Event::LogReadFailed);
            // A page of large records may be more than is taken at once: it would fail for ever.
            max = (max / 2).max(1);
            time::sleep(*pause).await;
            *pause = (*pause * 2).min(LONGEST_PAUSE);
            continue;
        };
        *pause = FIRST_PAUSE;
        max = (max * 2).min(PAGE);
        if let Some(last) = page.records.last() {
            from = last.offset + 1;
        }
        let read = event::Event::LogRead {
            first: page.first,
            next: page.next,
            records: page.records,
        };
        core.step_log_read(wanted.generation, read);
    }
}
