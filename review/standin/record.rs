//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self {
            file,
            started: Instant::now(),
        })
    }

    /// Returns the milliseconds since the start.
    pub fn ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap_or_else(|error| error.into_inner());
        drop(writeln!(file, "{:>7} ms  {text}", self.ms()));
    }

    /// Writes a line here and on standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}
