//! Errors at the start of the store role.

use {displaydoc::Display, fuchsiatack_consensus::disk::DiskError, smol_str::SmolStr, std::io};

/// Why `Store::start` failed.
#[derive(Debug, Display)]
pub enum StoreError {
    /// data folder: {0}
    Disk(DiskError),
    /// {0} is not in the list of store members
    NotListed(SmolStr),
    /// the snapshot in the data folder cannot be decoded: {0}
    Snapshot(postcard::Error),
    /// cannot start the log writer thread: {0}
    Thread(io::Error),
}

impl From<DiskError> for StoreError {
    fn from(error: DiskError) -> Self {
        Self::Disk(error)
    }
}

impl From<postcard::Error> for StoreError {
    fn from(error: postcard::Error) -> Self {
        Self::Snapshot(error)
    }
}

impl std::error::Error for StoreError {}
