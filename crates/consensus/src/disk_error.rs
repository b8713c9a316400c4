//! Errors of `LogStore`.

use {
    displaydoc::Display,
    std::{io, path::PathBuf},
};

/// Why an operation of the log store failed.
#[derive(Debug, Display)]
pub enum DiskError {
    /// {file:?} is damaged at offset {offset}: {reason}
    Damaged {
        /// Path of the damaged file.
        file: PathBuf,
        /// Byte offset of the bad frame; 0 if the file as a whole is bad or missing.
        offset: u64,
        /// Which check failed.
        reason: &'static str,
    },
    /// an earlier write or sync failed; the log store rejects all operations until it is reopened
    Failed,
    /// cannot {action} {file:?}: {source}
    File {
        /// Operation that failed, as a verb, such as "write" or "sync".
        action: &'static str,
        /// Path of the file or folder.
        file: PathBuf,
        /// Error from the operating system.
        source: io::Error,
    },
    /// folder {0:?} is in use by another process
    Locked(PathBuf),
}

impl DiskError {
    /// Returns whether the operation failed because the disk has no space.
    pub fn is_disk_full(&self) -> bool {
        match self {
            Self::File { source, .. } => matches!(
                source.kind(),
                io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded
            ),
            Self::Damaged { .. } | Self::Failed | Self::Locked(_) => false,
        }
    }
}

impl std::error::Error for DiskError {}
