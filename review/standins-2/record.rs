//! What was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant};

pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Mutex::new(File::create(path)?);
        Ok(Self {
            file,
            started: Instant::now(),
        })
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Adds a line.
    pub fn add(&self, line: &str) {
        let mut file = self.file.lock().expect("record");
        // A full disk shows when the case is read.
        let _ = writeln!(file, "{:9.3} {line}", self.started.elapsed().as_secs_f64());
    }

    /// Adds a line and prints it.
    pub fn tell(&self, line: &str) {
        self.add(line);
        println!("{:9.3} {line}", self.started.elapsed().as_secs_f64());
    }
}
