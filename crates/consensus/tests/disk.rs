//! Faults of the disk under `LogStore`.

use {
    fuchsiatack_consensus::{
        Entry, HardState, Member, MemberId, MemberRole, Payload, Ready, Snapshot, StoredState, Term,
        disk::{DiskError, DiskFaults, LogStore, LogStoreSettings},
    },
    fuchsiatack_model::LogIndex,
    std::{
        fs,
        path::{Path, PathBuf},
        sync::Arc,
    },
    tempfile::{TempDir, tempdir},
};

fn entry(index: u64, term: u64) -> Arc<Entry> {
    Arc::new(Entry {
        index: LogIndex(index),
        payload: Payload::Command(vec![index as u8; 40]),
        term: Term(term),
    })
}

fn append(from: u64, to: u64, term: u64) -> Ready {
    Ready {
        entries: (from..=to).map(|index| entry(index, term)).collect(),
        hard_state: Some(HardState {
            term: Term(term),
            vote: Some(MemberId(term)),
        }),
        ..Ready::default()
    }
}

fn members() -> Vec<Member> {
    vec![Member {
        address: ([127, 0, 0, 1], 1).into(),
        id: MemberId(1),
        name: "member".into(),
        role: MemberRole::Voter,
    }]
}

fn snapshot(index: u64, term: u64) -> Ready {
    Ready {
        snapshot: Some(Arc::new(Snapshot {
            data: vec![1, 2, 3],
            index: LogIndex(index),
            members: members(),
            term: Term(term),
        })),
        ..Ready::default()
    }
}

/// Returns a folder with entries 1 to 30 in three syncs, and the path of the segment.
fn filled() -> (TempDir, PathBuf) {
    let folder = tempdir().unwrap();
    let (mut store, _) = LogStore::open(folder.path()).unwrap();
    store.form(members()).unwrap();
    for first in [1, 11, 21] {
        store.persist(&append(first, first + 9, 1)).unwrap();
    }
    let segment = files(folder.path(), "log-").pop().unwrap();
    (folder, segment)
}

fn files(folder: &Path, prefix: &str) -> Vec<PathBuf> {
    let paths = fs::read_dir(folder).unwrap().map(|file| file.unwrap().path());
    let is_named = |path: &PathBuf| path.file_name().unwrap().to_str().unwrap().starts_with(prefix);
    let mut files: Vec<_> = paths.filter(is_named).collect();
    files.sort();
    files
}

fn reopen(folder: &Path) -> StoredState {
    LogStore::open(folder).unwrap().1
}

fn indices(stored: &StoredState) -> Vec<u64> {
    stored.entries.iter().map(|entry| entry.index.0).collect()
}

/// Guards against synced state that a restart does not find, and against a changed identity.
#[test]
fn restart_finds_everything() {
    let (folder, _) = filled();

    let first = reopen(folder.path());
    let second = reopen(folder.path());

    assert_eq!(indices(&first), (1..=30).collect::<Vec<_>>());
    assert_eq!(first.hard_state.vote, Some(MemberId(1)));
    assert_eq!(first, second);
}

/// Guards against an unfinished append that stops the member: for a cut at any place in the last
/// frame the frames before it must be found.
#[test]
fn torn_tail_is_cut() {
    let (folder, segment) = filled();
    let whole = fs::read(&segment).unwrap();
    let frame_bytes = whole.len() / 3;
    for cut in (1..frame_bytes - 40).step_by(7) {
        let copy = tempdir().unwrap();
        for file in files(folder.path(), "") {
            fs::copy(&file, copy.path().join(file.file_name().unwrap())).unwrap();
        }
        let torn = &whole[..whole.len() - cut];
        fs::write(copy.path().join(segment.file_name().unwrap()), torn).unwrap();

        let stored = reopen(copy.path());

        assert_eq!(indices(&stored), (1..=20).collect::<Vec<_>>(), "cut {cut}");
    }
}

/// Guards against damaged entries that are dropped or used: damage before the last frame must be
/// refused with file and offset.
#[test]
fn damage_in_the_middle_is_refused() {
    let (folder, segment) = filled();
    let whole = fs::read(&segment).unwrap();
    for position in (0..whole.len() * 3 / 5).step_by(11) {
        let mut damaged = whole.clone();
        damaged[position] ^= 0x10;
        fs::write(&segment, &damaged).unwrap();

        let refused = LogStore::open(folder.path()).map(|_| ()).unwrap_err();

        match refused {
            DiskError::Damaged { file, offset, .. } => {
                assert_eq!(file, segment);
                assert!(offset <= position as u64);
            }
            other => panic!("byte {position}: {other}"),
        }
    }
}

/// Guards against a member that starts without part of its files and votes again.
#[test]
fn missing_files_are_refused() {
    for prefix in ["identity", "log-", "snapshot-"] {
        let (folder, _) = filled();
        for file in files(folder.path(), prefix) {
            fs::remove_file(file).unwrap();
        }

        let refused = LogStore::open(folder.path());

        assert!(matches!(refused, Err(DiskError::Damaged { .. })), "{prefix}");
    }
}

/// Guards against a failed write or sync after which the store reports entries as synced. What
/// was acknowledged before must be found by the next process.
#[test]
fn first_failure_is_final() {
    let cases: [fn(&mut DiskFaults); 4] = [
        |faults| faults.fail_sync = Some(2),
        |faults| faults.fail_write = Some(2),
        |faults| faults.short_write = Some(2),
        |faults| faults.no_space_after_bytes = Some(900),
    ];
    for set_fault in cases {
        let (folder, _) = filled();
        let mut settings = LogStoreSettings::default();
        set_fault(&mut settings.faults);
        let faults = settings.faults.clone();
        let (mut store, _) = LogStore::open_with(folder.path(), settings).unwrap();

        store.persist(&append(31, 40, 2)).unwrap();
        let failed = store.persist(&append(41, 50, 2));
        let later = store.persist(&append(51, 60, 2));
        drop(store);
        let found = indices(&reopen(folder.path()));

        assert!(matches!(failed, Err(DiskError::File { .. })), "{faults:?}");
        assert!(matches!(later, Err(DiskError::Failed)), "{faults:?}");
        assert!(found.starts_with(&(1..=40).collect::<Vec<_>>()), "{faults:?}");
    }
}

/// Guards against two processes that write the same log.
#[test]
fn folder_is_locked() {
    let folder = tempdir().unwrap();
    let _open = LogStore::open(folder.path()).unwrap();

    let refused = LogStore::open(folder.path());

    assert!(matches!(refused, Err(DiskError::Locked(_))));
}

/// Guards against segments that are kept for ever, and against entries or a vote that are lost
/// with them.
#[test]
fn snapshot_removes_covered_segments_only() {
    let (folder, _) = filled();
    let settings = LogStoreSettings {
        segment_bytes: 400,
        ..LogStoreSettings::default()
    };
    let (mut store, _) = LogStore::open_with(folder.path(), settings).unwrap();
    for first in [31, 41, 51] {
        store.persist(&append(first, first + 9, 2)).unwrap();
    }
    let before = files(folder.path(), "log-").len();

    store.persist(&snapshot(45, 2)).unwrap();
    let after = files(folder.path(), "log-").len();
    drop(store);
    let stored = reopen(folder.path());

    assert!(after < before);
    assert_eq!(files(folder.path(), "snapshot-").len(), 1);
    assert_eq!(indices(&stored), (46..=60).collect::<Vec<_>>());
    assert_eq!(stored.hard_state.vote, Some(MemberId(2)));
}

/// Guards against old entries that follow an installed snapshot which they do not continue, also
/// when the process ended before the log was reset.
#[test]
fn installed_snapshot_discards_the_old_log() {
    let (folder, segment) = filled();
    let old = fs::read(&segment).unwrap();
    let (mut store, _) = LogStore::open(folder.path()).unwrap();
    let installed = Ready {
        reset_log: true,
        ..snapshot(20, 5)
    };

    store.persist(&installed).unwrap();
    drop(store);
    let discarded = reopen(folder.path());
    for file in files(folder.path(), "log-") {
        fs::remove_file(file).unwrap();
    }
    fs::write(&segment, old).unwrap();
    let interrupted = reopen(folder.path());

    assert_eq!(indices(&discarded), []);
    assert_eq!(indices(&interrupted), []);
    assert_eq!(interrupted.snapshot.unwrap().index, LogIndex(20));
}

/// Guards against replaced entries that come back after a restart.
#[test]
fn later_entries_replace_earlier_ones() {
    let (folder, _) = filled();
    let (mut store, _) = LogStore::open(folder.path()).unwrap();

    store.persist(&append(15, 16, 3)).unwrap();
    drop(store);
    let stored = reopen(folder.path());

    assert_eq!(indices(&stored), (1..=16).collect::<Vec<_>>());
    assert_eq!(stored.entries[14].term, Term(3));
}
