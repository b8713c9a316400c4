//! Writes and syncs of files.

use {
    crate::{disk_error::DiskError, disk_faults::DiskFaults, files::failure},
    std::{
        fs::File,
        io::{self, Write},
        path::Path,
    },
};

/// Writes and syncs, with the faults that a test asks for.
#[derive(Default)]
pub(crate) struct Output {
    bytes: u64,
    faults: DiskFaults,
    syncs: u64,
    writes: u64,
}

impl Output {
    pub(crate) fn new(faults: DiskFaults) -> Self {
        Self {
            faults,
            ..Self::default()
        }
    }

    pub(crate) fn write(&mut self, file: &mut File, path: &Path, data: &[u8]) -> Result<(), DiskError> {
        self.writes += 1;
        let room = self.faults.no_space_after_bytes.map(|limit| limit - self.bytes);
        let (allowed, error) = match room {
            _ if self.faults.fail_write == Some(self.writes) => (0, Some(io::ErrorKind::Other)),
            _ if self.faults.short_write == Some(self.writes) => (data.len() / 2, Some(io::ErrorKind::Other)),
            Some(room) if room < data.len() as u64 => (room as usize, Some(io::ErrorKind::StorageFull)),
            _ => (data.len(), None),
        };
        file.write_all(&data[..allowed]).map_err(failure("write", path))?;
        self.bytes += allowed as u64;
        match error {
            Some(kind) => Err(failure("write", path)(io::Error::from(kind))),
            None => Ok(()),
        }
    }

    pub(crate) fn sync(&mut self, file: &File, path: &Path) -> Result<(), DiskError> {
        self.syncs += 1;
        if self.faults.fail_sync == Some(self.syncs) {
            return Err(failure("sync", path)(io::Error::from(io::ErrorKind::Other)));
        }
        file.sync_data().map_err(failure("sync", path))
    }
}
