//! State read from a data folder.

use {
    crate::{
        Snapshot,
        disk::{SEGMENT_PREFIX, SNAPSHOT_PREFIX, snapshot_path},
        disk_error::DiskError,
        file_writer::FileWriter,
        files::{damaged, file_error, numbered_files, remove_temporary_files, without_checksum},
        scan::Scan,
    },
    std::{fs, path::Path, sync::Arc},
};

pub(crate) struct Loaded {
    /// Whether the next segment must begin with a reset of the log.
    pub(crate) needs_reset: bool,
    /// Number of the segment to start.
    pub(crate) next_segment: u64,
    pub(crate) scan: Scan,
    pub(crate) snapshot: Option<Arc<Snapshot>>,
}

impl Loaded {
    /// Reads the latest snapshot and the segments, and writes the last segment again.
    pub(crate) fn read(folder: &Path, writer: &mut FileWriter) -> Result<Self, DiskError> {
        remove_temporary_files(folder)?;
        let snapshot = load_snapshot(folder)?;
        let mut scan = Scan::default();
        let segments = numbered_files(folder, SEGMENT_PREFIX)?;
        if let (Some(snapshot), true) = (&snapshot, segments.is_empty()) {
            let file = snapshot_path(folder, snapshot.index);
            return Err(damaged(&file, 0, "snapshot found but no log segment"));
        }
        let snapshot_index = snapshot.as_ref().map(|snapshot| snapshot.index);
        for (position, (_, path)) in segments.iter().enumerate() {
            let is_last = position + 1 == segments.len();
            scan.read_segment(path, is_last, snapshot_index, writer)?;
        }
        let first_path = segments.first().map_or(folder, |(_, path)| path);
        Ok(Self {
            needs_reset: scan.align_to_snapshot(snapshot.as_deref(), first_path)?,
            next_segment: segments.last().map_or(0, |(number, _)| *number) + 1,
            scan,
            snapshot,
        })
    }
}

fn load_snapshot(folder: &Path) -> Result<Option<Arc<Snapshot>>, DiskError> {
    let Some((_, path)) = numbered_files(folder, SNAPSHOT_PREFIX)?.pop() else {
        return Ok(None);
    };
    let file = fs::read(&path).map_err(file_error("read", &path))?;
    let snapshot = without_checksum(&file).and_then(|body| postcard::from_bytes(body).ok());
    match snapshot {
        Some(snapshot) => Ok(Some(Arc::new(snapshot))),
        None => Err(damaged(&path, 0, "checksum or length is wrong")),
    }
}
