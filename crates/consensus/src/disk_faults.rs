//! Fault injection for tests of the log store.

use fuchsiatack_derives::value;

/// Faults that the log store injects. Writes and syncs are numbered from 1 after the open.
#[derive(Default)]
#[value]
pub struct DiskFaults {
    /// Number of the sync that fails. Data written since the previous sync may or may not be on
    /// disk.
    pub fail_sync: Option<u64>,
    /// Number of the write that fails before its first byte.
    pub fail_write: Option<u64>,
    /// Bytes that can be written in total. The write that exceeds them fails as on a full disk,
    /// after writing the part that fits.
    pub no_space_after_bytes: Option<u64>,
    /// Number of the write that fails after half of its bytes.
    pub short_write: Option<u64>,
}
