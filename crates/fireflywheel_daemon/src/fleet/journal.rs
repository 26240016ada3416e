//! Log lines to standard output that never hold up a request.
//!
//! A reader of standard output that stops would otherwise stop the process at its next line. So lines go
//! through a bounded queue to a thread of their own; what finds it full is dropped and counted, and the count
//! is written once there is room.

use std::io::{self, Write as _};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, Receiver, SyncSender};
use std::thread;

use anyhow::Context as _;
use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, LogSpecification, Logger, LoggerHandle};
use log::{LevelFilter, Record};

use crate::logs;

/// Lines that may wait: a few seconds of the most that an instance writes, some hundred kilobytes.
const QUEUE: usize = 2048;

#[derive(Debug)]
struct Writer {
    lines: SyncSender<Vec<u8>>,
    lost: Arc<AtomicU64>,
}

impl LogWriter for Writer {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut line = Vec::with_capacity(256);
        logs::json(&mut line, now, record)?;
        line.push(b'\n');
        if self.lines.try_send(line).is_err() {
            self.lost.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }

    fn max_log_level(&self) -> LevelFilter {
        LevelFilter::Trace
    }
}

/// Starts logging for the whole process, as long as the handle lives.
///
/// # Errors
///
/// When the thread can't be started, or logging was started before.
pub fn start(level: LevelFilter) -> anyhow::Result<LoggerHandle> {
    let (sender, lines) = mpsc::sync_channel(QUEUE);
    let lost = Arc::new(AtomicU64::new(0));
    let writer = Writer {
        lines: sender,
        lost: Arc::clone(&lost),
    };
    thread::Builder::new()
        .name("journal".to_owned())
        .spawn(move || drain(&lines, &lost))
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

fn drain(lines: &Receiver<Vec<u8>>, lost: &AtomicU64) {
    let mut out = io::stdout();
    while let Ok(line) = lines.recv() {
        // Nobody is left to tell when standard output is gone.
        let _ = out.write_all(&line);
        let count = lost.swap(0, Ordering::Relaxed);
        if count > 0 {
            let _ = writeln!(
                out,
                "{{\"level\":\"WARN\",\"message\":\"log lines lost\",\"count\":{count}}}"
            );
        }
        let _ = out.flush();
    }
}
