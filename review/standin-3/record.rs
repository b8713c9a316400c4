//! The record of a run: lines that the harness and the workers append to one file.

use std::{
    fs::{File, OpenOptions},
    io::Write,
    path::Path,
    time::{SystemTime, UNIX_EPOCH},
};

/// Returns the time of day in milliseconds.
pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

/// Appends lines to the record.
pub struct Record(File);

impl Record {
    /// Opens the record for appending. Several processes may do so.
    pub fn open(path: &Path) -> std::io::Result<Self> {
        let file = OpenOptions::new().append(true).create(true).open(path)?;
        Ok(Self(file))
    }

    /// Appends a line with the time of day in milliseconds.
    pub fn write(&self, text: &str) {
        let line = format!("{} {text}\n", unix_ms());
        // One write call, so that lines of several processes do not mix.
        let _ = (&self.0).write_all(line.as_bytes());
    }
}
