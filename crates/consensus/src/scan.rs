//! Reads and verifies the log segments when the data folder is opened.

use {
    crate::{
        Entry, HardState, Snapshot,
        disk_error::DiskError,
        file_writer::FileWriter,
        files::{damaged, file_error, replace_file},
        frames::{self, Record},
    },
    fuchsiatack_model::LogIndex,
    std::{
        fs,
        path::{Path, PathBuf},
        sync::Arc,
    },
};

/// A segment to which no more frames are appended.
pub(crate) struct ClosedSegment {
    /// Highest index of its entries; 0 if it has none.
    pub(crate) last: LogIndex,
    pub(crate) path: PathBuf,
}

/// State read from the segments.
#[derive(Default)]
pub(crate) struct Scan {
    pub(crate) closed: Vec<ClosedSegment>,
    pub(crate) entries: Vec<Arc<Entry>>,
    pub(crate) hard_state: HardState,
    pub(crate) sequence: u64,
}

impl Scan {
    /// Reads the next segment in the order of their numbers. `snapshot` is the index of the stored snapshot.
    pub(crate) fn read_segment(
        &mut self,
        path: &Path,
        is_last: bool,
        snapshot: Option<LogIndex>,
        writer: &mut FileWriter,
    ) -> Result<(), DiskError> {
        let file = fs::read(path).map_err(file_error("read", path))?;
        let mut offset = 0;
        let mut last = LogIndex(0);
        while offset < file.len() {
            let Some(frame) = frames::decode(&file, offset) else {
                if is_last && !frames::has_frame_after(&file, offset) {
                    break;
                }
                return Err(damaged(path, offset as u64, "checksum or length is wrong"));
            };
            let follows = self.sequence == 0 || frame.sequence == self.sequence + 1;
            match snapshot {
                _ if follows => {}
                Some(index) if offset == 0 && self.is_obsolete(index) => self.forget_log(),
                _ => {
                    return Err(damaged(
                        path,
                        offset as u64,
                        "the frame before this one is missing",
                    ));
                }
            }
            self.sequence = frame.sequence;
            for record in frame.records {
                if let Record::Entry(entry) = &record {
                    last = last.max(entry.index);
                }
                let is_continuous = self.replay(record);
                if !is_continuous {
                    return Err(damaged(
                        path,
                        offset as u64,
                        "the entry before this one is missing",
                    ));
                }
            }
            offset = frame.end;
        }
        // The data may be only in the page cache, where a failed sync of an earlier process may
        // have marked it clean. Only writing it again ensures that it is on the disk.
        if is_last {
            replace_file(path, &file[..offset], writer)?;
        }
        self.closed.push(ClosedSegment {
            last,
            path: path.to_owned(),
        });
        Ok(())
    }

    /// Returns whether the snapshot covers all segments read so far. Such segments have been removed. A
    /// loss of power before the next sync of the folder may have brought back any of them without the others.
    fn is_obsolete(&self, snapshot: LogIndex) -> bool {
        self.closed.iter().all(|segment| segment.last <= snapshot)
    }

    /// Forgets the entries and the hard state of the segments read so far. The first frame of each
    /// segment repeats the hard state.
    fn forget_log(&mut self) {
        self.entries.clear();
        self.hard_state = HardState::default();
    }

    /// Applies a record. Returns false if it is an entry that does not continue the earlier ones.
    fn replay(&mut self, record: Record) -> bool {
        match record {
            Record::Entry(entry) => {
                let first = self.entries.first().map_or(entry.index, |first| first.index);
                // It may replace entries of a segment that was removed. Whether the snapshot covers those
                // before it is checked when all segments are read.
                let kept = entry.index.0.saturating_sub(first.0);
                if kept as usize > self.entries.len() {
                    return false;
                }
                self.entries.truncate(kept as usize);
                self.entries.push(entry);
            }
            Record::HardState(hard_state) => self.hard_state = hard_state,
            Record::Reset(_) => self.entries.clear(),
        }
        true
    }

    /// Drops the entries that the snapshot covers. Returns whether all entries were dropped because
    /// they do not continue the snapshot. That happens when a process ended after it stored an
    /// installed snapshot and before it started the snapshot's segment.
    pub(crate) fn align_to_snapshot(
        &mut self,
        snapshot: Option<&Snapshot>,
        first_path: &Path,
    ) -> Result<bool, DiskError> {
        let Some(first) = self.entries.first().map(|entry| entry.index) else {
            return Ok(false);
        };
        let Some(snapshot) = snapshot else {
            return Err(damaged(first_path, 0, "entries found but no snapshot"));
        };
        if first.0 > snapshot.index.0 + 1 {
            return Err(damaged(first_path, 0, "entries after the snapshot are missing"));
        }
        let covered = (snapshot.index.0 + 1 - first.0) as usize;
        let continues = match covered.checked_sub(1) {
            None => true,
            Some(position) => self
                .entries
                .get(position)
                .is_some_and(|entry| entry.term == snapshot.term),
        };
        match continues {
            true => drop(self.entries.drain(..covered)),
            false => self.entries.clear(),
        }
        Ok(!continues)
    }
}
