//! The platform's log: a trait, its HTTP adapter and the two tasks that append to the log and read it.

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

/// Maximum number of records requested in one read.
const MAX_PAGE_RECORDS: u64 = 500;
/// Size limit of an answer to a read, in bytes. It holds several records of the largest size.
const MAX_READ_ANSWER_BYTES: usize = 16 << 20;
/// Size limit of an answer to an append, in bytes.
const MAX_APPEND_ANSWER_BYTES: usize = 4096;
/// Time limit for an append. After it the answer counts as lost.
const APPEND_TIMEOUT: Duration = Duration::from_secs(10);
/// Time limit for a read, in addition to the time that the read waits for a record.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay after the first failed read. It doubles with each consecutive failure.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum delay after a failed read.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The result of one read of the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Page {
    /// The oldest offset that the log retains.
    pub first: u64,
    /// The offset that the next appended record will get.
    pub next: u64,
    /// The records, in the order of their offsets.
    pub records: Vec<record::Stored>,
}

/// The log did not answer, or answered with an error.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Unavailable;

/// An append-only log with offsets.
pub trait Log: Send + Sync + 'static {
    /// Appends one record with the given body.
    fn append(&self, text: String) -> impl Future<Output = writer::Answer> + Send;

    /// Reads at most `max` records, starting at the offset `from`. If there is none yet, waits up to `wait`
    /// for one.
    fn read(
        &self,
        from: u64,
        max: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Page, Unavailable>> + Send;
}

/// Client of the log service over HTTP.
#[derive(Clone, Debug)]
pub struct Http {
    client: client::Client,
    base: SmolStr,
}

#[derive(Deserialize)]
struct Acknowledgement {
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
    /// Creates a client of the log service at `base`, such as `http://10.0.0.5:7000`.
    #[must_use]
    pub fn new(client: client::Client, base: impl Into<SmolStr>) -> Self {
        Self {
            client,
            base: base.into(),
        }
    }

    async fn read_page(&self, from: u64, max: u64, wait: Duration) -> Result<Page, client::Error> {
        let wait_ms = wait.as_millis();
        let url = format!(
            "{}/v1/read?from={from}&max={max}&wait_ms={wait_ms}",
            self.base
        );
        let request = client::request_without_body(Method::GET, &url)?;
        let answer = self
            .client
            .call(request, MAX_READ_ANSWER_BYTES, wait + READ_TIMEOUT)
            .await?;
        if answer.status != StatusCode::OK {
            return Err(client::Error::Lost);
        }
        parse_page(&answer.body).ok_or(client::Error::Lost)
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
        match self
            .client
            .call(request, MAX_APPEND_ANSWER_BYTES, APPEND_TIMEOUT)
            .await
        {
            Ok(answer) => parse_append_answer(&answer),
            Err(client::Error::Unsent) => writer::Answer::Refused,
            Err(client::Error::Lost) => writer::Answer::Lost,
        }
    }

    async fn read(&self, from: u64, max: u64, wait: Duration) -> Result<Page, Unavailable> {
        self.read_page(from, max, wait)
            .await
            .map_err(|_| Unavailable)
    }
}

fn parse_append_answer(answer: &client::Answer) -> writer::Answer {
    match answer.status {
        StatusCode::OK => serde_json::from_slice(&answer.body)
            .map_or(writer::Answer::Lost, |Acknowledgement { offset }| {
                writer::Answer::Stored(offset)
            }),
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => writer::Answer::Refused,
        _ => writer::Answer::Lost,
    }
}

/// Appends the records that the node queues, one at a time.
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

/// Reads the log from the position that the node requests, until the channel of positions is closed.
pub async fn read_all<L>(
    log: Arc<L>,
    core: Arc<core::Core>,
    mut position: watch::Receiver<core::ReadPosition>,
    wait: Duration,
) where
    L: Log,
{
    let mut retry_delay = MIN_RETRY_DELAY;
    loop {
        let requested = *position.borrow_and_update();
        let moved = tokio::select! {
            changed = position.changed() => changed,
            () = read_from_position(&*log, &core, requested, wait, &mut retry_delay) => return,
        };
        if moved.is_err() {
            return;
        }
    }
}

/// Reads the log from one position until the future is dropped.
async fn read_from_position<L>(
    log: &L,
    core: &core::Core,
    requested: core::ReadPosition,
    wait: Duration,
    retry_delay: &mut Duration,
) where
    L: Log,
{
    let Some(mut from) = requested.from else {
        return future::pending().await;
    };
    let mut max = MAX_PAGE_RECORDS;
    loop {
        let Ok(page) = log.read(from, max, wait).await else {
            core.step_log_read(requested.generation, event::Event::LogReadFailed);
            // A page of large records may exceed the size limit of an answer. The same request would then
            // fail every time, so the next one asks for half as many records.
            max = (max / 2).max(1);
            time::sleep(*retry_delay).await;
            *retry_delay = (*retry_delay * 2).min(MAX_RETRY_DELAY);
            continue;
        };
        *retry_delay = MIN_RETRY_DELAY;
        max = (max * 2).min(MAX_PAGE_RECORDS);
        if let Some(last) = page.records.last() {
            from = last.offset + 1;
        }
        let read = event::Event::LogRead {
            first: page.first,
            next: page.next,
            records: page.records,
        };
        core.step_log_read(requested.generation, read);
    }
}
