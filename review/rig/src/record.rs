//! The record of a run: one line an event, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Debug, Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    /// Returns the milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn write(&self, line: &str) {
        let at_ms = self.now_ms();
        let mut file = self.file.lock().expect("no panic while it is held");
        let _ = writeln!(file, "{:>8.3} {line}", at_ms as f64 / 1_000.0);
    }

    pub fn say(&self, line: &str) {
        self.write(line);
        println!("{line}");
    }
}
