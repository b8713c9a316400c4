//! Errors of the log store.

use {
    displaydoc::Display,
    std::{io, path::PathBuf},
};

/// Why the log store cannot go on.
#[derive(Debug, Display)]
pub enum DiskError {
    /// {file:?} is damaged at offset {offset}: {reason}
    Damaged {
        /// The file.
        file: PathBuf,
        /// Position in the file in bytes.
        offset: u64,
        /// What is wrong.
        reason: &'static str,
    },
    /// an earlier write or sync failed, so the store accepts nothing until the process restarts
    Failed,
    /// cannot {action} {file:?}: {source}
    File {
        /// What was tried.
        action: &'static str,
        /// The file.
        file: PathBuf,
        /// Error of the system.
        source: io::Error,
    },
    /// folder {0:?} is in use by another process
    Locked(PathBuf),
}

impl std::error::Error for DiskError {}
