//! The record of a run: what was sent, answered and run, with the time since the start.

use std::fs;
use std::io::Write;
use std::path::PathBuf;
use std::sync::Mutex;
use std::time::Instant;

/// A record, which is written line by line.
pub struct Record {
    file: Mutex<Option<fs::File>>,
    began: Instant,
}

impl Record {
    /// Begins a new record at `path`.
    pub fn new(path: PathBuf) -> Self {
        Self { file: Mutex::new(fs::File::create(path).ok()), began: Instant::now() }
    }

    /// Adds a line.
    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        if let Some(file) = &mut *self.file.lock().expect("no holder of the lock panics") {
            let _ = writeln!(file, "{at:8.3} s  {text}");
        }
    }
}
