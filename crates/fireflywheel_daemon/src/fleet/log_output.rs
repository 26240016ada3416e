//! Log lines to standard output that never hold up a request.
//!
//! A reader of standard output that stops would otherwise stop the process at its next line. So lines go
//! through a bounded queue to a thread of their own; what finds it full is dropped and counted, and the count
//! is written once there is room. In a storm of failures each request writes several lines; so lines below a
//! warning have a rate beyond which they are dropped and counted before they are put together.

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

/// Lines that may wait: a few seconds of the most that an instance writes, some hundred kilobytes.
const QUEUE: usize = 2048;

/// Lines that come within this time are written together. Each alone, they took 0.15 ms of a processor for each
/// request; together they take 0.06 ms (time of three instances' processes at 250 requests a second in all, less
/// that without a log).
const GATHER: time::Duration = time::Duration::from_millis(20);

/// The end of a process waits no longer than this for its last lines.
const FLUSH_PATIENCE: time::Duration = time::Duration::from_millis(300);

/// Time between two lines that tell how many were lost.
const LOST_PAUSE: time::Duration = time::Duration::from_secs(1);

/// What goes through the queue.
#[derive(Debug)]
enum Item {
    /// A line with its end.
    Line(Vec<u8>),
    /// Someone waits until all lines before are written.
    Flush(SyncSender<()>),
}

#[derive(Debug)]
struct Writer {
    clock: clock::Clock,
    limit: Mutex<rate::Limiter>,
    queue: SyncSender<Item>,
    lost: Arc<AtomicU64>,
}

impl LogWriter for Writer {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        if record.level() > Level::Warn && !self.allows() {
            self.lost.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let mut line = Vec::with_capacity(256);
        logs::json(&mut line, now, record)?;
        line.push(b'\n');
        if self.queue.try_send(Item::Line(line)).is_err() {
            self.lost.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        let (done, written) = mpsc::sync_channel(1);
        if self.queue.try_send(Item::Flush(done)).is_ok() {
            // A reader that stopped must not hold up the end of the process.
            let _ = written.recv_timeout(FLUSH_PATIENCE);
        }
        Ok(())
    }

    fn shutdown(&self) {
        // It never fails.
        let _ = self.flush();
    }

    fn max_log_level(&self) -> LevelFilter {
        LevelFilter::Trace
    }
}

impl Writer {
    fn allows(&self) -> bool {
        let mut limit = self.limit.lock().expect("no panic while it was held");
        limit.try_acquire(self.clock.now())
    }
}

/// Starts logging for the whole process, as long as the handle lives.
///
/// # Errors
///
/// When the thread can't be started, or logging was started before.
pub fn start(settings: settings::Log) -> anyhow::Result<LoggerHandle> {
    let level = settings.level;
    let (sender, queue) = mpsc::sync_channel(QUEUE);
    let lost = Arc::new(AtomicU64::new(0));
    let writer = Writer {
        clock: clock::Clock::new(),
        limit: Mutex::new(rate::Limiter::new(settings.lines_per_second)),
        queue: sender,
        lost: Arc::clone(&lost),
    };
    thread::Builder::new()
        .name("journal".to_owned())
        .spawn(move || drain(&queue, &lost))
        .context("the journal's thread can't be started")?;
    let specification = LogSpecification::builder()
        .default(level.min(LevelFilter::Warn))
        .module("fireflywheel", level)
        .module("fireflywheel_daemon", level)
        .module("fireflywheel_platform", level)
        .build();
    let logger = Logger::with(specification).log_to_writer(Box::new(writer));
    logger.start().context("logging can't be started")
}

fn drain(queue: &Receiver<Item>, lost: &AtomicU64) {
    let mut told: Option<time::Instant> = None;
    let mut text = Vec::new();
    while let Ok(first) = queue.recv() {
        let mut flushes = Vec::new();
        if take(first, &mut text, &mut flushes) {
            thread::sleep(GATHER);
        }
        while let Ok(item) = queue.try_recv() {
            take(item, &mut text, &mut flushes);
        }
        if told.is_none_or(|told| told.elapsed() >= LOST_PAUSE) {
            told = tell_lost(&mut text, lost).then(time::Instant::now).or(told);
        }
        let mut out = io::stdout();
        // Nobody is left to tell when standard output is gone.
        let _ = out.write_all(&text).and_then(|()| out.flush());
        text.clear();
        for done in flushes {
            // Who waited may have given up.
            let _ = done.try_send(());
        }
    }
}

/// Whether it was a line.
fn take(item: Item, text: &mut Vec<u8>, flushes: &mut Vec<SyncSender<()>>) -> bool {
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

/// Whether any were lost.
fn tell_lost(text: &mut Vec<u8>, lost: &AtomicU64) -> bool {
    let count = lost.swap(0, Ordering::Relaxed);
    if count > 0 {
        let line =
            format!("{{\"level\":\"WARN\",\"message\":\"log lines lost\",\"count\":{count}}}\n");
        text.extend_from_slice(line.as_bytes());
    }
    count > 0
}
