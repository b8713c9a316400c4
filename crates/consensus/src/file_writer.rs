//! File writes and syncs with fault injection.

use {
    crate::{disk_error::DiskError, disk_faults::DiskFaults, files::file_error},
    std::{
        fs::File,
        io::{self, Write},
        path::Path,
    },
};

/// Writes and syncs files, and injects the configured faults.
#[derive(Default)]
pub(crate) struct FileWriter {
    bytes: u64,
    faults: DiskFaults,
    syncs: u64,
    writes: u64,
}

impl FileWriter {
    pub(crate) fn new(faults: DiskFaults) -> Self {
        Self {
            faults,
            ..Self::default()
        }
    }

    pub(crate) fn write(&mut self, file: &mut File, path: &Path, data: &[u8]) -> Result<(), DiskError> {
        self.writes += 1;
        let available_bytes = self.faults.no_space_after_bytes.map(|limit| limit - self.bytes);
        let (allowed_bytes, error) = match available_bytes {
            _ if self.faults.full.is_full() => (0, Some(io::ErrorKind::StorageFull)),
            _ if self.faults.fail_write == Some(self.writes) => (0, Some(io::ErrorKind::Other)),
            _ if self.faults.short_write == Some(self.writes) => (data.len() / 2, Some(io::ErrorKind::Other)),
            Some(bytes) if bytes < data.len() as u64 => (bytes as usize, Some(io::ErrorKind::StorageFull)),
            _ => (data.len(), None),
        };
        file.write_all(&data[..allowed_bytes])
            .map_err(file_error("write", path))?;
        self.bytes += allowed_bytes as u64;
        match error {
            Some(kind) => Err(file_error("write", path)(io::Error::from(kind))),
            None => Ok(()),
        }
    }

    pub(crate) fn sync(&mut self, file: &File, path: &Path) -> Result<(), DiskError> {
        self.syncs += 1;
        if self.faults.fail_sync == Some(self.syncs) {
            return Err(file_error("sync", path)(io::Error::from(io::ErrorKind::Other)));
        }
        file.sync_data().map_err(file_error("sync", path))
    }
}
