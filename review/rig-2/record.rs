//! The record of a run: what was sent, answered and run, with the time in milliseconds.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

/// Writes lines to the record file.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &str) -> std::io::Result<Self> {
        Ok(Self { file: Mutex::new(File::create(path)?), started: Instant::now() })
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:6} {text}", self.now());
    }
}
