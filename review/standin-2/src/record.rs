//! The record of a case: what was sent, answered and run, with the time since its start.

use std::fs::File;
use std::io::{BufWriter, Write as _};
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    inner: Arc<Inner>,
}

struct Inner {
    started: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        Ok(Self {
            inner: Arc::new(Inner {
                started: Instant::now(),
                file: Mutex::new(BufWriter::new(File::create(path)?)),
            }),
        })
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> f64 {
        self.inner.started.elapsed().as_secs_f64() * 1000.0
    }

    pub fn line(&self, text: &str) {
        let now = self.now();
        let mut file = self.inner.file.lock().unwrap();
        let _ = writeln!(file, "{now:10.1} ms  {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
        let _ = self.inner.file.lock().unwrap().flush();
    }

    pub fn flush(&self) {
        let _ = self.inner.file.lock().unwrap().flush();
    }
}
