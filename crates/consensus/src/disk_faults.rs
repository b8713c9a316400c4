//! Disk faults for tests.

use fuchsiatack_derives::value;

/// Faults that a test asks the log store to produce. Writes and syncs count from 1 after open.
#[derive(Default)]
#[value]
pub struct DiskFaults {
    /// Fails this sync; what was written before it may or may not be on the disk.
    pub fail_sync: Option<u64>,
    /// Fails this write before its first byte.
    pub fail_write: Option<u64>,
    /// Fails the write that would exceed this number of bytes, as a full disk does: the part that
    /// fits is written.
    pub no_space_after_bytes: Option<u64>,
    /// Fails this write after half of its bytes.
    pub short_write: Option<u64>,
}
