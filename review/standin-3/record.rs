//! The record of a run: what was sent, answered and run.

use std::fs;
use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    started: Instant,
    /// What each line begins with, after the time.
    prefix: String,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            prefix: String::new(),
            lines: Arc::default(),
        }
    }

    /// Returns the same record for one of several deployments.
    pub fn of(&self, deployment: usize) -> Self {
        Self {
            prefix: format!("[{deployment}] "),
            ..self.clone()
        }
    }

    pub fn add(&self, line: impl Into<String>) {
        let at = self.started.elapsed().as_secs_f64();
        let line = format!("{at:8.3} s  {}{}", self.prefix, line.into());
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.push(line);
    }

    pub fn write(&self, path: &Path) -> io::Result<()> {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        fs::write(path, lines.join("\n") + "\n")
    }
}
