//! Fault injection for tests of the log store.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

/// Switch that makes writes fail as on a full disk. Clones share its position.
#[derive(Clone, Debug, Default)]
pub struct FullDisk(Arc<AtomicBool>);

impl FullDisk {
    /// Returns whether the disk is full.
    pub fn is_full(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    /// Fills the disk or frees its space again.
    pub fn set(&self, is_full: bool) {
        self.0.store(is_full, Ordering::Relaxed);
    }
}

/// Faults that the log store injects. Writes and syncs are numbered from 1 after the open; a reopen
/// goes on counting.
#[derive(Clone, Debug, Default)]
pub struct DiskFaults {
    /// Number of the sync that fails. Data written since the previous sync may or may not be on
    /// disk.
    pub fail_sync: Option<u64>,
    /// Number of the write that fails before its first byte.
    pub fail_write: Option<u64>,
    /// Makes all writes fail before their first byte while it is set, also those of the open.
    pub full: FullDisk,
    /// Bytes that can be written in total. The write that exceeds them fails as on a full disk,
    /// after writing the part that fits.
    pub no_space_after_bytes: Option<u64>,
    /// Number of the write that fails after half of its bytes.
    pub short_write: Option<u64>,
}
