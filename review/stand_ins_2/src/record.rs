//! The record of a run: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// Writes lines with the time since the start.
pub struct Record {
    started_at: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            started_at: Instant::now(),
            file: Mutex::new(File::create(path)?),
        })
    }

    /// Returns the seconds since the start.
    pub fn seconds(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.seconds());
        let mut file = self.file.lock().expect("record");
        file.write_all(line.as_bytes()).expect("record");
    }
}
