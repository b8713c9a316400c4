//! Durable storage of a member's log, snapshots and identity in one folder.
//!
//! | file | content |
//! | --- | --- |
//! | `lock` | empty; locked exclusively while the folder is open |
//! | `identity` | random identity of the disk, created with the folder |
//! | `snapshot-INDEX` | latest snapshot |
//! | `log-NUMBER` | segments of the log, see `frames` |

pub use crate::{
    disk_error::DiskError,
    disk_faults::{DiskFaults, FullDisk},
};

use {
    crate::{
        HardState, Member, MemberId, Ready, Snapshot, StoredState, Term,
        file_writer::FileWriter,
        files::{
            damaged, file_error, numbered_files, remove_file, replace_file, sync_folder, with_checksum,
            without_checksum,
        },
        frames::{self, Record},
        loaded::Loaded,
        scan::ClosedSegment,
        segment::Segment,
    },
    fuchsiatack_model::LogIndex,
    std::{
        fs::{self, File, OpenOptions, TryLockError},
        io,
        path::{Path, PathBuf},
        sync::Arc,
    },
};

const IDENTITY_FILE: &str = "identity";
const LOCK_FILE: &str = "lock";
/// Start of the names of segments.
pub(crate) const SEGMENT_PREFIX: &str = "log-";
/// Start of the names of snapshots.
pub(crate) const SNAPSHOT_PREFIX: &str = "snapshot-";

/// Options for opening a `LogStore`.
#[derive(Clone, Debug)]
pub struct LogStoreSettings {
    /// Faults that tests inject; none by default.
    pub faults: DiskFaults,
    /// Size in bytes at which a segment is closed and the next one starts; 16 MiB by default.
    pub segment_bytes: u64,
}

impl Default for LogStoreSettings {
    fn default() -> Self {
        Self {
            faults: DiskFaults::default(),
            segment_bytes: 16 << 20,
        }
    }
}

/// An open data folder, locked against other processes. All methods block on disk I/O.
pub struct LogStore {
    closed: Vec<ClosedSegment>,
    failed: bool,
    folder: PathBuf,
    hard_state: HardState,
    identity: MemberId,
    _lock: File,
    segment: Segment,
    sequence: u64,
    settings: LogStoreSettings,
    snapshot: Option<LogIndex>,
    writer: FileWriter,
}

impl LogStore {
    /// Opens or creates the folder with the default settings and reads the stored state. Fails if
    /// another process has the folder open or a file is damaged.
    pub fn open(folder: &Path) -> Result<(Self, StoredState), DiskError> {
        Self::open_with(folder, LogStoreSettings::default())
    }

    /// Opens or creates the folder with the given settings; see `open`.
    pub fn open_with(folder: &Path, settings: LogStoreSettings) -> Result<(Self, StoredState), DiskError> {
        fs::create_dir_all(folder).map_err(file_error("create", folder))?;
        let lock = lock(folder)?;
        let mut writer = FileWriter::new(DiskFaults {
            full: settings.faults.full.clone(),
            ..DiskFaults::default()
        });
        let identity = load_identity(folder, &mut writer)?;
        let loaded = Loaded::read(folder, &mut writer)?;
        let mut store = Self {
            closed: Vec::new(),
            failed: false,
            folder: folder.to_owned(),
            hard_state: HardState::default(),
            identity,
            _lock: lock,
            segment: Segment::create(folder, loaded.next_segment)?,
            sequence: 0,
            settings,
            snapshot: None,
            writer,
        };
        let stored = store.start_from(loaded)?;
        store.writer = FileWriter::new(store.settings.faults.clone());
        Ok((store, stored))
    }

    /// Reads the folder again after a failed write or sync, and returns the stored state. Only frames
    /// covered by a successful sync count. The lock on the folder is kept. May be repeated if it
    /// fails; until it succeeds, all other operations are rejected.
    pub fn reopen(&mut self) -> Result<StoredState, DiskError> {
        self.failed = true;
        // A process that starts in an empty folder takes a new identity. This one must not, because
        // it has voted under its present one.
        if read_identity(&self.folder)? != Some(self.identity) {
            let path = self.folder.join(IDENTITY_FILE);
            return Err(damaged(&path, 0, "the identity file is missing or was replaced"));
        }
        self.segment.discard_unsynced(&mut self.writer)?;
        let loaded = Loaded::read(&self.folder, &mut self.writer)?;
        self.segment = Segment::create(&self.folder, loaded.next_segment)?;
        let stored = self.start_from(loaded)?;
        self.failed = false;
        Ok(stored)
    }

    /// Takes over the state read from the folder and starts the segment created for it.
    fn start_from(&mut self, loaded: Loaded) -> Result<StoredState, DiskError> {
        let Loaded { scan, snapshot, .. } = loaded;
        self.closed = scan.closed;
        self.hard_state = scan.hard_state;
        self.sequence = scan.sequence;
        self.snapshot = snapshot.as_ref().map(|snapshot| snapshot.index);
        self.write_first_frame(loaded.needs_reset)?;
        self.remove_old_files()?;
        Ok(StoredState {
            entries: scan.entries,
            hard_state: scan.hard_state,
            identity: self.identity,
            snapshot,
        })
    }

    /// Stores the initial member list as a snapshot at index 0 in a folder without a snapshot, and
    /// returns the new state.
    pub fn form(&mut self, members: Vec<Member>) -> Result<StoredState, DiskError> {
        let snapshot = Arc::new(Snapshot {
            data: Vec::new(),
            index: LogIndex(0),
            members,
            term: Term(0),
        });
        self.run_unless_failed(|store| store.store_snapshot(&snapshot, true))?;
        Ok(StoredState {
            entries: Vec::new(),
            hard_state: self.hard_state,
            identity: self.identity,
            snapshot: Some(snapshot),
        })
    }

    /// Returns whether a write or sync has failed. All later operations are then rejected until
    /// `reopen` succeeds.
    pub fn is_failed(&self) -> bool {
        self.failed
    }

    /// Stores the hard state, entries and snapshot of a `Ready` and syncs them.
    pub fn persist(&mut self, ready: &Ready) -> Result<(), DiskError> {
        self.persist_all([ready])
    }

    /// Stores several `Ready` values in order. Consecutive ones without a snapshot share one sync.
    pub fn persist_all<'a>(&mut self, batch: impl IntoIterator<Item = &'a Ready>) -> Result<(), DiskError> {
        self.run_unless_failed(|store| store.persist_batch(batch))
    }

    /// Runs an operation unless an earlier one failed. After a failed sync the kernel may have
    /// dropped the dirty pages, and a later sync would then succeed without writing them.
    fn run_unless_failed<T>(
        &mut self,
        run: impl FnOnce(&mut Self) -> Result<T, DiskError>,
    ) -> Result<T, DiskError> {
        if self.failed {
            return Err(DiskError::Failed);
        }
        let result = run(self);
        self.failed = result.is_err();
        result
    }

    fn persist_batch<'a>(&mut self, batch: impl IntoIterator<Item = &'a Ready>) -> Result<(), DiskError> {
        let mut records = Vec::new();
        for ready in batch {
            let new_records = ready
                .hard_state
                .map(Record::HardState)
                .into_iter()
                .chain(ready.entries.iter().cloned().map(Record::Entry));
            match &ready.snapshot {
                None => records.extend(new_records),
                Some(snapshot) if ready.reset_log => {
                    self.append(std::mem::take(&mut records))?;
                    self.store_snapshot(snapshot, true)?;
                    records.extend(new_records);
                }
                Some(snapshot) => {
                    records.extend(new_records);
                    self.append(std::mem::take(&mut records))?;
                    self.store_snapshot(snapshot, false)?;
                }
            }
        }
        self.append(records)
    }

    /// Appends the records as one frame and syncs it, after starting a new segment if the current
    /// one is full.
    fn append(&mut self, records: Vec<Record>) -> Result<(), DiskError> {
        if records.is_empty() {
            return Ok(());
        }
        if self.segment.synced_bytes >= self.settings.segment_bytes {
            self.start_segment(false)?;
        }
        self.append_frame(&records)
    }

    fn append_frame(&mut self, records: &[Record]) -> Result<(), DiskError> {
        let segment = &mut self.segment;
        let frame = frames::encode(self.sequence + 1, records)
            .map_err(|_| damaged(&segment.path, segment.synced_bytes, "a record cannot be encoded"))?;
        segment.append(&frame, &mut self.writer)?;
        self.sequence += 1;
        for record in records {
            match record {
                Record::Entry(entry) => segment.last = segment.last.max(entry.index),
                Record::HardState(hard_state) => self.hard_state = *hard_state,
                Record::Reset(_) => {}
            }
        }
        Ok(())
    }

    fn start_segment(&mut self, reset: bool) -> Result<(), DiskError> {
        let next = Segment::create(&self.folder, self.segment.number + 1)?;
        let closed = std::mem::replace(&mut self.segment, next);
        self.closed.push(ClosedSegment {
            last: closed.last,
            path: closed.path,
        });
        self.write_first_frame(reset)
    }

    /// Writes the first frame of a segment. The frame repeats the hard state, so that older
    /// segments can be removed.
    fn write_first_frame(&mut self, reset: bool) -> Result<(), DiskError> {
        let mut records = vec![Record::HardState(self.hard_state)];
        if reset {
            records.push(Record::Reset(self.snapshot.unwrap_or_default()));
        }
        self.append_frame(&records)?;
        sync_folder(&mut self.writer, &self.folder)
    }

    fn store_snapshot(&mut self, snapshot: &Snapshot, reset: bool) -> Result<(), DiskError> {
        let path = snapshot_path(&self.folder, snapshot.index);
        let body =
            postcard::to_stdvec(snapshot).map_err(|_| damaged(&path, 0, "the snapshot cannot be encoded"))?;
        replace_file(&path, &with_checksum(&body), &mut self.writer)?;
        self.snapshot = Some(snapshot.index);
        self.start_segment(reset)?;
        self.remove_old_files()
    }

    /// Removes the snapshots before the current one and the closed segments that it covers. The folder is
    /// not synced, so that a loss of power may bring back any of the files until the next snapshot;
    /// reading the folder tolerates them.
    fn remove_old_files(&mut self) -> Result<(), DiskError> {
        let Some(current) = self.snapshot else {
            return Ok(());
        };
        for (index, path) in numbered_files(&self.folder, SNAPSHOT_PREFIX)? {
            if index < current.0 {
                remove_file(&path)?;
            }
        }
        let covered = self
            .closed
            .iter()
            .take_while(|segment| segment.last <= current)
            .count();
        for segment in self.closed.drain(..covered) {
            remove_file(&segment.path)?;
        }
        Ok(())
    }
}

fn lock(folder: &Path) -> Result<File, DiskError> {
    let path = folder.join(LOCK_FILE);
    let file = OpenOptions::new()
        .create(true)
        .truncate(false)
        .write(true)
        .open(&path)
        .map_err(file_error("open", &path))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(DiskError::Locked(folder.to_owned())),
        Err(TryLockError::Error(source)) => Err(file_error("lock", &path)(source)),
    }
}

/// Returns the identity in the folder, and creates one in a new folder.
fn load_identity(folder: &Path, writer: &mut FileWriter) -> Result<MemberId, DiskError> {
    match read_identity(folder)? {
        Some(identity) => Ok(identity),
        None => create_identity(folder, writer),
    }
}

/// Returns the identity in the folder; `None` if the file is missing.
fn read_identity(folder: &Path) -> Result<Option<MemberId>, DiskError> {
    let path = folder.join(IDENTITY_FILE);
    let file = match fs::read(&path) {
        Ok(file) => file,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(file_error("read", &path)(error)),
    };
    let identity = without_checksum(&file).and_then(|body| body.try_into().ok());
    match identity {
        Some(bytes) => Ok(Some(MemberId(u64::from_le_bytes(bytes)))),
        None => Err(damaged(&path, 0, "checksum or length is wrong")),
    }
}

fn create_identity(folder: &Path, writer: &mut FileWriter) -> Result<MemberId, DiskError> {
    let path = folder.join(IDENTITY_FILE);
    let is_used = !numbered_files(folder, SEGMENT_PREFIX)?.is_empty()
        || !numbered_files(folder, SNAPSHOT_PREFIX)?.is_empty();
    if is_used {
        return Err(damaged(
            &path,
            0,
            "identity file missing but a log or snapshot exists",
        ));
    }
    let identity = MemberId(rand::random());
    replace_file(&path, &with_checksum(&identity.0.to_le_bytes()), writer)?;
    Ok(identity)
}

pub(crate) fn snapshot_path(folder: &Path, index: LogIndex) -> PathBuf {
    folder.join(format!("{SNAPSHOT_PREFIX}{:020}", index.0))
}
