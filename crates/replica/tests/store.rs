//! Data folder: restarts, torn writes, corruption, full disk and identity.

use consensus::{
    HardState, LogEntry, LogIndex, LogPayload, Membership, ReplicaId, RestoredState, SnapshotImage,
    Term,
};
use hawthornhill_replica::{FileStore, LogBatch, LogFile, ReplicaStore, StoreError};
use std::{
    fs, io,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};
use tempfile::tempdir;
use types::{Command, LogTime};

fn entry(index: u64) -> LogEntry {
    LogEntry {
        term: Term(1),
        index: LogIndex(index),
        time: LogTime(index),
        payload: LogPayload::Command(Command::BalanceRanges),
    }
}

fn batch(indexes: std::ops::RangeInclusive<u64>) -> LogBatch {
    LogBatch { entries: indexes.map(entry).collect(), ..LogBatch::default() }
}

fn image(index: u64) -> SnapshotImage {
    SnapshotImage {
        index: LogIndex(index),
        term: Term(1),
        time: LogTime(index),
        membership: Membership::default(),
        state: Arc::from([1, 2, 3]),
    }
}

fn open(folder: &Path) -> Result<(FileStore, RestoredState), StoreError> {
    FileStore::open(folder, ReplicaId(7))
}

fn last_index(restored: &RestoredState) -> u64 {
    restored.entries.last().map_or(0, |entry| entry.index.0)
}

#[test]
fn acknowledged_batches_survive_a_restart() {
    let folder = tempdir().expect("folder");
    let (mut store, _) = open(folder.path()).expect("opens");
    let hard_state = HardState { term: Term(4), voted_for: Some(ReplicaId(2)) };
    store.append(&LogBatch { hard_state: Some(hard_state), ..batch(1..=3) }).expect("appends");
    store.append(&LogBatch { truncate_from: Some(LogIndex(3)), ..batch(3..=5) }).expect("appends");
    drop(store);
    let (store, restored) = open(folder.path()).expect("opens");
    assert_eq!(restored.hard_state, hard_state);
    assert_eq!(restored.entries.iter().map(|e| e.index.0).collect::<Vec<_>>(), [1, 2, 3, 4, 5]);
    assert_eq!(store.identity(), ReplicaId(7));
}

#[test]
fn identity_is_stored_in_the_folder() {
    let folder = tempdir().expect("folder");
    drop(open(folder.path()).expect("opens"));
    let (store, _) = FileStore::open(folder.path(), ReplicaId(8)).expect("opens");
    assert_eq!(store.identity(), ReplicaId(7), "kept");
    drop(store);
    fs::remove_dir_all(folder.path()).expect("lost");
    let (store, restored) = FileStore::open(folder.path(), ReplicaId(8)).expect("opens");
    assert_eq!(store.identity(), ReplicaId(8), "a replica that lost its disk gets a new identity");
    assert!(restored.entries.is_empty() && restored.image.is_none());
}

/// A crash during an append can leave any prefix of the last record. The next open must remove it
/// and keep all complete records.
#[test]
fn torn_last_record_of_any_length_is_truncated() {
    let folder = tempdir().expect("folder");
    let log = folder.path().join("log");
    let (mut store, _) = open(folder.path()).expect("opens");
    store.append(&batch(1..=3)).expect("appends");
    let complete_length = fs::metadata(&log).expect("log").len();
    store.append(&batch(4..=6)).expect("appends");
    drop(store);
    let bytes = fs::read(&log).expect("log");
    for length in complete_length as usize..bytes.len() {
        fs::write(&log, &bytes[..length]).expect("torn");
        let (mut store, restored) = open(folder.path()).expect("opens");
        assert_eq!(last_index(&restored), 3, "length {length}");
        store.append(&batch(4..=4)).expect("appends");
        drop(store);
        let (_, restored) = open(folder.path()).expect("opens");
        assert_eq!(last_index(&restored), 4, "length {length}");
    }
}

/// Guards against silent loss of acknowledged entries: damage before the last record must be an
/// error with file and offset, not treated as a torn write.
#[test]
fn damage_before_the_last_record_is_reported_with_file_and_offset() {
    let folder = tempdir().expect("folder");
    let log = folder.path().join("log");
    let (mut store, _) = open(folder.path()).expect("opens");
    let header = fs::metadata(&log).expect("log").len() as usize;
    store.append(&batch(1..=3)).expect("appends");
    let first_end = fs::metadata(&log).expect("log").len() as usize;
    store.append(&batch(4..=6)).expect("appends");
    drop(store);
    let bytes = fs::read(&log).expect("log");
    for position in 0..first_end {
        let mut damaged = bytes.clone();
        damaged[position] ^= 0x20;
        fs::write(&log, &damaged).expect("damaged");
        let expected = if position < header { 0 } else { header as u64 };
        match open(folder.path()).map(|_| ()) {
            Err(StoreError::Damaged { path, offset, .. }) => {
                assert_eq!((path, offset), (log.clone(), expected), "position {position}");
            }
            other => panic!("position {position}: {other:?}"),
        }
        assert_eq!(fs::read(&log).expect("log"), damaged, "the file is unchanged");
    }
}

#[test]
fn snapshot_replaces_the_log_before_it() {
    let folder = tempdir().expect("folder");
    let (mut store, _) = open(folder.path()).expect("opens");
    store.append(&batch(1..=10)).expect("appends");
    let before = store.log_bytes();
    store.install_snapshot(&image(8), &batch(9..=10)).expect("replaces");
    assert!(store.log_bytes() < before);
    store.append(&batch(11..=11)).expect("appends");
    drop(store);
    let (_, restored) = open(folder.path()).expect("opens");
    assert_eq!(restored.image, Some(image(8)));
    assert_eq!(restored.entries.iter().map(|e| e.index.0).collect::<Vec<_>>(), [9, 10, 11]);
}

/// The snapshot is written before the log is replaced. A crash in between leaves the new snapshot
/// with the old log.
#[test]
fn crash_between_snapshot_and_log_rewrite_loses_nothing() {
    let folder = tempdir().expect("folder");
    let log = folder.path().join("log");
    let (mut store, _) = open(folder.path()).expect("opens");
    store.append(&batch(1..=10)).expect("appends");
    let old_log = fs::read(&log).expect("log");
    store.install_snapshot(&image(8), &batch(9..=10)).expect("replaces");
    drop(store);
    fs::write(&log, &old_log).expect("restores the old log");
    let (_, restored) = open(folder.path()).expect("opens");
    assert_eq!(restored.image, Some(image(8)));
    assert_eq!(last_index(&restored), 10);
}

#[test]
fn mismatched_or_missing_files_are_reported() {
    let folder = tempdir().expect("folder");
    let other = tempdir().expect("folder");
    let snapshot = folder.path().join("snapshot");
    let (mut store, _) = open(folder.path()).expect("opens");
    store.install_snapshot(&image(8), &batch(9..=10)).expect("replaces");
    drop(store);
    let (mut store, _) = FileStore::open(other.path(), ReplicaId(99)).expect("opens");
    store.install_snapshot(&image(8), &batch(9..=10)).expect("replaces");
    drop(store);
    let own = fs::read(&snapshot).expect("snapshot");
    let assert_damaged = |reason: &str| match open(folder.path()).map(|_| ()) {
        Err(StoreError::Damaged { reason: found, .. }) => {
            assert!(found.contains(reason), "{found}");
        }
        other => panic!("{reason}: {other:?}"),
    };
    fs::copy(other.path().join("snapshot"), &snapshot).expect("copy");
    assert_damaged("another replica");
    fs::remove_file(&snapshot).expect("lost");
    assert_damaged("missing");
    let mut flipped = own.clone();
    flipped[20] ^= 1;
    fs::write(&snapshot, flipped).expect("damaged");
    assert_damaged("checksum");
    fs::write(&snapshot, own).expect("restored");
    fs::remove_file(folder.path().join("log")).expect("lost");
    assert_damaged("no log");
}

#[test]
fn folder_is_locked_while_in_use() {
    let folder = tempdir().expect("folder");
    let (store, _) = open(folder.path()).expect("opens");
    assert!(matches!(open(folder.path()), Err(StoreError::InUse { .. })));
    drop(store);
    assert!(open(folder.path()).is_ok());
}

/// A log file on a disk that can be full: writes then fail halfway, or the sync fails.
struct FullDisk {
    inner: Box<dyn LogFile>,
    is_full: Arc<AtomicBool>,
    /// Fail the sync instead of the write.
    fails_at_sync: bool,
}

impl LogFile for FullDisk {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        if self.is_full.load(Ordering::SeqCst) && !self.fails_at_sync {
            self.inner.append(&bytes[..bytes.len() / 2])?;
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.inner.append(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        if self.is_full.load(Ordering::SeqCst) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.inner.sync()
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.inner.truncate(length)
    }
}

#[test]
fn full_disk_fails_appends_until_space_is_free() {
    for fails_at_sync in [false, true] {
        let folder = tempdir().expect("folder");
        let is_full = Arc::new(AtomicBool::new(false));
        let (mut store, _) = open(folder.path()).expect("opens");
        let flag = is_full.clone();
        store.wrap_log(|inner| Box::new(FullDisk { inner, is_full: flag, fails_at_sync }));
        store.append(&batch(1..=2)).expect("appends");
        is_full.store(true, Ordering::SeqCst);
        for _ in 0..3 {
            assert!(matches!(store.append(&batch(3..=4)), Err(StoreError::File { .. })));
        }
        is_full.store(false, Ordering::SeqCst);
        store.append(&batch(3..=4)).expect("appends again");
        drop(store);
        let (_, restored) = open(folder.path()).expect("opens");
        assert_eq!(last_index(&restored), 4, "fails at sync: {fails_at_sync}");
    }
}
