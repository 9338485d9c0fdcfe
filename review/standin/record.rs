//! What was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

pub struct Record {
    started: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Arc<Record> {
        let file = File::create(path).expect("record.txt can be written");
        Arc::new(Record { started: Instant::now(), file: Mutex::new(BufWriter::new(file)) })
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} {text}");
    }

    /// Writes a line here and on standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }

    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn flush(&self) {
        let _ = self.file.lock().unwrap().flush();
    }
}
