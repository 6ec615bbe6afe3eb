//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// Writes lines with the time since the start of the case.
pub struct Record {
    file: Mutex<File>,
    began_at: Instant,
}

impl Record {
    pub fn create(folder: &str) -> io::Result<Self> {
        let file = File::create(Path::new(folder).join("record.txt"))?;
        Ok(Self { file: Mutex::new(file), began_at: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let at_s = self.began_at.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at_s:8.3} s  {text}");
        println!("{at_s:8.3} s  {text}");
    }
}
