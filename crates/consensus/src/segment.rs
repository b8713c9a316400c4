//! The log segment to which frames are appended.

use {
    crate::{
        disk::SEGMENT_PREFIX,
        disk_error::DiskError,
        file_writer::FileWriter,
        files::{file_error, sync_folder},
    },
    fuchsiatack_model::LogIndex,
    std::{
        fs::{self, File},
        io,
        path::{Path, PathBuf},
    },
};

pub(crate) struct Segment {
    file: File,
    /// Highest index of its entries; 0 if it has none.
    pub(crate) last: LogIndex,
    pub(crate) number: u64,
    pub(crate) path: PathBuf,
    /// Length of the frames that a successful sync covered.
    pub(crate) synced_bytes: u64,
}

impl Segment {
    /// Creates an empty segment.
    pub(crate) fn create(folder: &Path, number: u64) -> Result<Self, DiskError> {
        let path = folder.join(format!("{SEGMENT_PREFIX}{number:020}"));
        Ok(Self {
            file: File::create(&path).map_err(file_error("create", &path))?,
            last: LogIndex(0),
            number,
            path,
            synced_bytes: 0,
        })
    }

    /// Appends a frame and syncs it.
    pub(crate) fn append(&mut self, frame: &[u8], writer: &mut FileWriter) -> Result<(), DiskError> {
        writer.write(&mut self.file, &self.path, frame)?;
        writer.sync(&self.file, &self.path)?;
        self.synced_bytes += frame.len() as u64;
        Ok(())
    }

    /// Removes what was written after the last successful sync, and the segment itself if it has no
    /// synced frame. After a failed sync, reads may return data that is not on the disk.
    pub(crate) fn discard_unsynced(&self, writer: &mut FileWriter) -> Result<(), DiskError> {
        if self.synced_bytes > 0 {
            self.file
                .set_len(self.synced_bytes)
                .map_err(file_error("truncate", &self.path))?;
            return writer.sync(&self.file, &self.path);
        }
        match fs::remove_file(&self.path) {
            // An earlier call has removed it.
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(()),
            Err(error) => Err(file_error("remove", &self.path)(error)),
            Ok(()) => sync_folder(writer, self.path.parent().unwrap_or(&self.path)),
        }
    }
}
