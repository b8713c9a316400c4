//! Reading of the log segments at open.

use {
    crate::{
        Entry, HardState, Snapshot,
        disk_error::DiskError,
        files::{damage, failure, replace_file},
        frames::{self, Record},
        output::Output,
    },
    fuchsiatack_model::LogIndex,
    std::{
        fs,
        path::{Path, PathBuf},
        sync::Arc,
    },
};

/// A segment that gets no more frames.
pub(crate) struct ClosedSegment {
    /// Highest index of an entry in it.
    pub(crate) last: LogIndex,
    pub(crate) path: PathBuf,
}

/// What the segments contain.
#[derive(Default)]
pub(crate) struct Scan {
    pub(crate) closed: Vec<ClosedSegment>,
    pub(crate) entries: Vec<Arc<Entry>>,
    pub(crate) hard_state: HardState,
    pub(crate) sequence: u64,
}

impl Scan {
    pub(crate) fn read_segment(
        &mut self,
        path: &Path,
        is_last: bool,
        output: &mut Output,
    ) -> Result<(), DiskError> {
        let file = fs::read(path).map_err(failure("read", path))?;
        let mut offset = 0;
        let mut last = LogIndex(0);
        while offset < file.len() {
            let Some(frame) = frames::decode(&file, offset) else {
                if is_last && !frames::has_frame_after(&file, offset) {
                    break;
                }
                return Err(damage(path, offset as u64, "checksum or length is wrong"));
            };
            if self.sequence != 0 && frame.sequence != self.sequence + 1 {
                return Err(damage(path, offset as u64, "a frame before this one is missing"));
            }
            self.sequence = frame.sequence;
            for record in frame.records {
                if let Record::Entry(entry) = &record {
                    last = last.max(entry.index);
                }
                let is_continuous = self.replay(record);
                if !is_continuous {
                    return Err(damage(path, offset as u64, "an entry before this one is missing"));
                }
            }
            offset = frame.end;
        }
        // What was read may be in the page cache only, and a failed sync may have marked it clean.
        // Writing it again is the only way to be sure that it is on the disk.
        if is_last {
            replace_file(path, &file[..offset], output)?;
        }
        self.closed.push(ClosedSegment {
            last,
            path: path.to_owned(),
        });
        Ok(())
    }

    /// Returns whether the record continues the ones before it.
    fn replay(&mut self, record: Record) -> bool {
        match record {
            Record::Entry(entry) => {
                let first = self.entries.first().map_or(entry.index, |first| first.index);
                let Some(kept) = entry.index.0.checked_sub(first.0) else {
                    return false;
                };
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

    /// Drops the entries that the snapshot covers. Returns whether the rest had to be discarded
    /// because it does not continue the snapshot, which happens when the process ended between
    /// the installation of a snapshot and the start of its segment.
    pub(crate) fn fit_snapshot(
        &mut self,
        snapshot: Option<&Snapshot>,
        first_path: &Path,
    ) -> Result<bool, DiskError> {
        let Some(first) = self.entries.first().map(|entry| entry.index) else {
            return Ok(false);
        };
        let Some(snapshot) = snapshot else {
            return Err(damage(first_path, 0, "there are entries but no snapshot"));
        };
        if first.0 > snapshot.index.0 + 1 {
            return Err(damage(first_path, 0, "entries after the snapshot are missing"));
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
