//! Writes log lines to standard output without blocking requests.
//!
//! If the reader of standard output stopped reading, a direct write would block the process at its next line.
//! Therefore lines go through a bounded queue to a separate thread. Lines that find the queue full are dropped and
//! counted, and the count is written with a later line, at most once a second. When many requests fail, each of them
//! writes several lines. Therefore lines below the warning level are rate limited: lines beyond the limit are dropped
//! and counted before they are formatted.

use std::io::{self, Write as _};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, Receiver, SyncSender};
use std::sync::{Arc, Mutex};
use std::{thread, time};

use anyhow::Context as _;
use fireflywheel::fleet::{rate, settings};
use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, LogSpecification, Logger, LoggerHandle};
use log::{Level, LevelFilter, Record};

use crate::{clock, logs};

/// Maximum number of queued lines: a few seconds of an instance's highest output, some hundred kilobytes.
const MAX_QUEUED_LINES: usize = 2048;

/// Lines that arrive within this time are written together. Written one by one, they took 0.15 ms of CPU time per
/// request; together they take 0.06 ms (CPU time of three instances' processes at 250 requests per second in total,
/// minus that without a log).
const BATCH_DELAY: time::Duration = time::Duration::from_millis(20);

/// How long a flush, such as the one at the end of the process, waits for queued lines to be written.
const FLUSH_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// Minimum interval between two lines that report the number of dropped lines.
const DROP_REPORT_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// An item of the queue.
#[derive(Debug)]
enum Item {
    /// A line including its line break.
    Line(Vec<u8>),
    /// A request to signal when all lines queued before it are written.
    Flush(SyncSender<()>),
}

#[derive(Debug)]
struct Writer {
    clock: clock::Clock,
    limit: Mutex<rate::Limiter>,
    queue: SyncSender<Item>,
    dropped: Arc<AtomicU64>,
}

impl LogWriter for Writer {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        if record.level() > Level::Warn && !self.is_within_limit() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let mut line = Vec::with_capacity(256);
        logs::json(&mut line, now, record)?;
        line.push(b'\n');
        if self.queue.try_send(Item::Line(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        let (done, written) = mpsc::sync_channel(1);
        if self.queue.try_send(Item::Flush(done)).is_ok() {
            // A reader that has stopped must not block the end of the process.
            let _ = written.recv_timeout(FLUSH_TIMEOUT);
        }
        Ok(())
    }

    fn shutdown(&self) {
        // `flush` never fails.
        let _ = self.flush();
    }

    fn max_log_level(&self) -> LevelFilter {
        LevelFilter::Trace
    }
}

impl Writer {
    /// Returns whether the rate limit admits another line.
    fn is_within_limit(&self) -> bool {
        let mut limit = self.limit.lock().expect("the lock is not poisoned");
        limit.try_acquire(self.clock.now())
    }
}

/// Starts logging for the whole process. Logging lasts as long as the handle lives.
///
/// # Errors
///
/// Returns an error if the thread can't be started, or if a logger is installed already.
pub fn start(settings: settings::Log) -> anyhow::Result<LoggerHandle> {
    let level = settings.level;
    let (sender, queue) = mpsc::sync_channel(MAX_QUEUED_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let writer = Writer {
        clock: clock::Clock::new(),
        limit: Mutex::new(rate::Limiter::new(settings.lines_per_second)),
        queue: sender,
        dropped: Arc::clone(&dropped),
    };
    thread::Builder::new()
        .name("journal".to_owned())
        .spawn(move || write_lines(&queue, &dropped))
        .context("can't start the log output thread")?;
    let specification = LogSpecification::builder()
        .default(level.min(LevelFilter::Warn))
        .module("fireflywheel", level)
        .module("fireflywheel_daemon", level)
        .module("fireflywheel_platform", level)
        .build();
    let logger = Logger::with(specification).log_to_writer(Box::new(writer));
    logger.start().context("can't start logging")
}

/// Writes queued lines to standard output until the queue is closed.
fn write_lines(queue: &Receiver<Item>, dropped: &AtomicU64) {
    let mut reported: Option<time::Instant> = None;
    let mut text = Vec::new();
    while let Ok(first) = queue.recv() {
        let mut flushes = Vec::new();
        if append(first, &mut text, &mut flushes) {
            thread::sleep(BATCH_DELAY);
        }
        while let Ok(item) = queue.try_recv() {
            append(item, &mut text, &mut flushes);
        }
        if reported.is_none_or(|reported| reported.elapsed() >= DROP_REPORT_INTERVAL) {
            reported = report_dropped(&mut text, dropped)
                .then(time::Instant::now)
                .or(reported);
        }
        let mut out = io::stdout();
        // There is no other place to report that standard output is closed.
        let _ = out.write_all(&text).and_then(|()| out.flush());
        text.clear();
        for done in flushes {
            // The receiver may have timed out.
            let _ = done.try_send(());
        }
    }
}

/// Appends an item's line to `text`, or its request to `flushes`. Returns whether the item was a line.
fn append(item: Item, text: &mut Vec<u8>, flushes: &mut Vec<SyncSender<()>>) -> bool {
    match item {
        Item::Line(line) => {
            text.extend_from_slice(&line);
            true
        }
        Item::Flush(done) => {
            flushes.push(done);
            false
        }
    }
}

/// Appends a line with the number of lines dropped since the last report. Returns whether there were any.
fn report_dropped(text: &mut Vec<u8>, dropped: &AtomicU64) -> bool {
    let count = dropped.swap(0, Ordering::Relaxed);
    if count > 0 {
        let line =
            format!("{{\"level\":\"WARN\",\"message\":\"log lines lost\",\"count\":{count}}}\n");
        text.extend_from_slice(line.as_bytes());
    }
    count > 0
}
