//! Log file with one JSON value per line.

use {
    serde::{Serialize, de::DeserializeOwned},
    std::{
        fs::{self, File, OpenOptions},
        io::{self, Write},
        path::Path,
        sync::{Mutex, PoisonError},
    },
};

/// Appends JSON lines to a file. Each line is written with one call, so a killed process leaves
/// at most its last line incomplete.
#[derive(Debug)]
pub struct JsonLog {
    file: Option<Mutex<File>>,
}

impl JsonLog {
    /// Opens the file for appending and creates it if needed.
    pub fn open(path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().append(true).create(true).open(path)?;
        Ok(Self {
            file: Some(Mutex::new(file)),
        })
    }

    /// Creates a log that discards its lines.
    pub fn discard() -> Self {
        Self { file: None }
    }

    /// Appends one line. A failed write is reported on standard error.
    pub fn write(&self, value: &impl Serialize) {
        let Some(file) = &self.file else { return };
        let mut line = serde_json::to_vec(value).expect("log lines have string keys");
        line.push(b'\n');
        let mut file = file.lock().unwrap_or_else(PoisonError::into_inner);
        if let Err(error) = file.write_all(&line) {
            eprintln!("cannot append to the event log: {error}");
        }
    }
}

/// Reads all lines of a log. Skips an incomplete last line, which a killed process leaves behind.
pub fn read_json_log<T: DeserializeOwned>(path: &Path) -> io::Result<Vec<T>> {
    let text = fs::read_to_string(path)?;
    let complete = text.rfind('\n').map_or("", |end| &text[..end]);
    complete
        .lines()
        .map(|line| serde_json::from_str(line).map_err(io::Error::other))
        .collect()
}
