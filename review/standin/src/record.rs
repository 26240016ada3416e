//! The record of a run: what was sent, answered and run.

use std::fs::File;
use std::io::{BufWriter, Write as _};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A cloneable handle to the record.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<BufWriter<File>>>,
    started: Instant,
}

impl Record {
    /// Creates the file.
    pub fn new(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            file: Arc::new(Mutex::new(BufWriter::new(file))),
            started: Instant::now(),
        }
    }

    /// Adds a line with the time since the start.
    pub fn add(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("no panic under the lock");
        let _ = writeln!(file, "{at:9.3} {text}");
    }

    /// Adds a line that is also printed, and writes what was buffered.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.add(text);
        let _ = self.file.lock().expect("no panic under the lock").flush();
    }
}
