//! Persistent storage of a replica: a log file and a snapshot file in a data folder.
//!
//! The first record of the log holds the identity assigned when the folder was empty, so a replica
//! that loses its disk comes back as a different replica. Each batch is one record. It is synced
//! before any message that depends on it is sent, so only the last record can be torn.

use crate::codec::{encode_record, find_record, has_record_after};
use consensus::{HardState, LogEntry, LogIndex, ReplicaId, RestoredState, SnapshotImage};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::{
    fs::{self, File, OpenOptions},
    io::{self, Seek, SeekFrom, Write},
    path::{Path, PathBuf},
};
use thiserror::Error;

const LOG_NAME: &str = "log";
const SNAPSHOT_NAME: &str = "snapshot";
const LOCK_NAME: &str = "lock";

/// Reason given for a record that cannot be read.
const INVALID_RECORD: &str = "the magic number, the length or the checksum is wrong";

/// Errors of the data folder.
#[derive(Debug, Error)]
pub enum StoreError {
    /// A file cannot be read, written or synced. A retry may succeed.
    #[error("{path}: {source}")]
    File {
        /// Path of the file.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// A file is damaged, other than by a torn last record of the log, or does not match the other
    /// files of the folder.
    #[error("{path}: damaged at offset {offset}: {reason}")]
    Damaged {
        /// Path of the file.
        path: PathBuf,
        /// Offset at which the damage was found, in bytes.
        offset: u64,
        /// Description of the damage.
        reason: String,
    },
    /// Another process uses the folder.
    #[error("{path}: another process uses this data folder")]
    InUse {
        /// Path of the lock file.
        path: PathBuf,
    },
}

/// Changes that are written to the log as one record.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogBatch {
    /// New term and vote, if changed.
    pub hard_state: Option<HardState>,
    /// Existing entries from this index on are removed before appending.
    pub truncate_from: Option<LogIndex>,
    /// Entries to append.
    pub entries: Vec<LogEntry>,
}

#[derive(Debug, Serialize, Deserialize)]
struct LogHeader {
    identity: ReplicaId,
    /// Index of the snapshot that the log follows; 0 if there is none.
    base: LogIndex,
}

#[derive(Debug, Serialize, Deserialize)]
struct SnapshotRecord {
    identity: ReplicaId,
    image: SnapshotImage,
}

/// Durable storage of a replica's log and snapshot.
pub trait ReplicaStore: Send {
    /// Appends a batch to the log and syncs it. On failure no part of the batch is kept, and the
    /// call may be retried.
    fn append(&mut self, batch: &LogBatch) -> Result<(), StoreError>;

    /// Stores a snapshot and replaces the log with `batch`, which holds the entries after it.
    fn install_snapshot(
        &mut self,
        image: &SnapshotImage,
        batch: &LogBatch,
    ) -> Result<(), StoreError>;

    /// Returns the size of the log in bytes.
    fn log_bytes(&self) -> u64;
}

/// File operations of the log. A trait, so that tests can simulate a full disk.
pub trait LogFile: Send {
    /// Writes at the end of the file.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Makes all written bytes durable.
    fn sync(&mut self) -> io::Result<()>;
    /// Truncates the file to a length in bytes.
    fn truncate(&mut self, length: u64) -> io::Result<()>;
}

impl LogFile for File {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.seek(SeekFrom::End(0))?;
        self.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.set_len(length)
    }
}

/// Store backed by files in a data folder.
pub struct FileStore {
    folder: PathBuf,
    identity: ReplicaId,
    log: Box<dyn LogFile>,
    log_bytes: u64,
    _lock: File,
}

impl FileStore {
    /// Opens and locks a data folder, and restores its content. An empty folder is initialised with
    /// `new_identity`; any other keeps its identity.
    ///
    /// # Errors
    ///
    /// Fails if another process uses the folder, or if a file cannot be accessed or is damaged.
    pub fn open(
        folder: &Path,
        new_identity: ReplicaId,
    ) -> Result<(Self, RestoredState), StoreError> {
        fs::create_dir_all(folder).map_err(file_error(folder))?;
        let lock = lock_folder(folder)?;
        let log_path = folder.join(LOG_NAME);
        if !log_path.exists() {
            let snapshot_path = folder.join(SNAPSHOT_NAME);
            if snapshot_path.exists() {
                return Err(damaged(&snapshot_path, 0, "there is a snapshot, but no log file"));
            }
            let header = LogHeader { identity: new_identity, base: LogIndex(0) };
            write_atomically(&log_path, &encode_record(&encode(&log_path, &header)?))?;
        }
        let scan = scan_log(&log_path)?;
        let image = load_snapshot(&folder.join(SNAPSHOT_NAME), &scan.header)?;
        let restored = RestoredState { image, ..replay(&log_path, &scan)? };
        let log = open_log(&log_path)?;
        let store = Self {
            folder: folder.to_owned(),
            identity: scan.header.identity,
            log: Box::new(log),
            log_bytes: scan.length,
            _lock: lock,
        };
        Ok((store, restored))
    }

    /// Returns the identity stored in the folder.
    pub fn identity(&self) -> ReplicaId {
        self.identity
    }

    /// Wraps the log file, so that tests can inject disk failures.
    pub fn wrap_log(&mut self, wrap: impl FnOnce(Box<dyn LogFile>) -> Box<dyn LogFile>) {
        let empty: Box<dyn LogFile> = Box::new(PlaceholderFile);
        let log = std::mem::replace(&mut self.log, empty);
        self.log = wrap(log);
    }

    fn write_snapshot(&self, image: &SnapshotImage) -> Result<(), StoreError> {
        let path = self.folder.join(SNAPSHOT_NAME);
        let record = SnapshotRecord { identity: self.identity, image: image.clone() };
        write_atomically(&path, &encode_record(&encode(&path, &record)?))
    }

    fn rewrite_log(&mut self, base: LogIndex, batch: &LogBatch) -> Result<(), StoreError> {
        let path = self.folder.join(LOG_NAME);
        let header = LogHeader { identity: self.identity, base };
        let mut bytes = encode_record(&encode(&path, &header)?);
        bytes.extend(encode_record(&encode(&path, batch)?));
        write_atomically(&path, &bytes)?;
        self.log = Box::new(open_log(&path)?);
        self.log_bytes = bytes.len() as u64;
        Ok(())
    }
}

impl ReplicaStore for FileStore {
    fn append(&mut self, batch: &LogBatch) -> Result<(), StoreError> {
        let path = self.folder.join(LOG_NAME);
        let record = encode_record(&encode(&path, batch)?);
        let written = self.log.append(&record).and_then(|()| self.log.sync());
        if let Err(source) = written {
            self.log.truncate(self.log_bytes).map_err(file_error(&path))?;
            return Err(StoreError::File { path, source });
        }
        self.log_bytes += record.len() as u64;
        Ok(())
    }

    fn install_snapshot(
        &mut self,
        image: &SnapshotImage,
        batch: &LogBatch,
    ) -> Result<(), StoreError> {
        self.write_snapshot(image)?;
        self.rewrite_log(image.index, batch)
    }

    fn log_bytes(&self) -> u64 {
        self.log_bytes
    }
}

/// Placeholder while the log file is being wrapped.
struct PlaceholderFile;

impl LogFile for PlaceholderFile {
    fn append(&mut self, _bytes: &[u8]) -> io::Result<()> {
        Err(io::ErrorKind::NotConnected.into())
    }

    fn sync(&mut self) -> io::Result<()> {
        Err(io::ErrorKind::NotConnected.into())
    }

    fn truncate(&mut self, _length: u64) -> io::Result<()> {
        Err(io::ErrorKind::NotConnected.into())
    }
}

struct LogScan {
    header: LogHeader,
    batches: Vec<LogBatch>,
    length: u64,
}

/// Reads all records and truncates a torn last one.
fn scan_log(path: &Path) -> Result<LogScan, StoreError> {
    let bytes = fs::read(path).map_err(file_error(path))?;
    let mut header = None;
    let mut batches = Vec::new();
    let mut offset = 0;
    while offset < bytes.len() {
        let Some(body) = find_record(&bytes, offset) else {
            if header.is_none() || has_record_after(&bytes, offset) {
                return Err(damaged(path, offset, INVALID_RECORD));
            }
            truncate_file(path, offset as u64)?;
            break;
        };
        let end = body.end;
        if header.is_none() {
            header = Some(decode(path, offset, &bytes[body])?);
        } else {
            batches.push(decode(path, offset, &bytes[body])?);
        }
        offset = end;
    }
    let header = header.ok_or_else(|| damaged(path, 0, "the log file is empty"))?;
    Ok(LogScan { header, batches, length: offset as u64 })
}

/// Rebuilds the hard state and the entries from the batches of a log.
fn replay(path: &Path, scan: &LogScan) -> Result<RestoredState, StoreError> {
    let mut restored = RestoredState::default();
    for batch in &scan.batches {
        if let Some(hard_state) = batch.hard_state {
            restored.hard_state = hard_state;
        }
        if let Some(first) = batch.truncate_from {
            restored.entries.retain(|entry| entry.index < first);
        }
        restored.entries.extend(batch.entries.iter().cloned());
    }
    let mut expected = scan.header.base.next();
    for entry in &restored.entries {
        if entry.index != expected {
            let reason = format!("found log index {}, expected {expected}", entry.index);
            return Err(damaged(path, scan.length as usize, &reason));
        }
        expected = expected.next();
    }
    Ok(restored)
}

fn load_snapshot(path: &Path, header: &LogHeader) -> Result<Option<SnapshotImage>, StoreError> {
    if !path.exists() {
        if header.base > LogIndex(0) {
            return Err(damaged(path, 0, "the snapshot that precedes the log is missing"));
        }
        return Ok(None);
    }
    let bytes = fs::read(path).map_err(file_error(path))?;
    let body = find_record(&bytes, 0).ok_or_else(|| damaged(path, 0, INVALID_RECORD))?;
    let record: SnapshotRecord = decode(path, 0, &bytes[body])?;
    if record.identity != header.identity {
        return Err(damaged(path, 0, "the snapshot belongs to another replica"));
    }
    if record.image.index < header.base {
        return Err(damaged(path, 0, "the snapshot is older than the base of the log"));
    }
    Ok(Some(record.image))
}

fn open_log(path: &Path) -> Result<File, StoreError> {
    OpenOptions::new().read(true).write(true).open(path).map_err(file_error(path))
}

fn truncate_file(path: &Path, length: u64) -> Result<(), StoreError> {
    let file = open_log(path)?;
    file.set_len(length).and_then(|()| file.sync_all()).map_err(file_error(path))
}

fn lock_folder(folder: &Path) -> Result<File, StoreError> {
    let path = folder.join(LOCK_NAME);
    let lock = File::create(&path).map_err(file_error(&path))?;
    lock.try_lock().map_err(|_| StoreError::InUse { path })?;
    Ok(lock)
}

/// Replaces a file atomically: after a crash it has either the old or the new content.
fn write_atomically(path: &Path, bytes: &[u8]) -> Result<(), StoreError> {
    let temporary = path.with_extension("tmp");
    let write = || -> io::Result<()> {
        let mut file = File::create(&temporary)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        fs::rename(&temporary, path)?;
        if let Some(folder) = path.parent() {
            File::open(folder)?.sync_all()?;
        }
        Ok(())
    };
    write().map_err(file_error(path))
}

fn encode<T: Serialize>(path: &Path, value: &T) -> Result<Vec<u8>, StoreError> {
    postcard::to_stdvec(value).map_err(|error| StoreError::File {
        path: path.to_owned(),
        source: io::Error::other(error),
    })
}

fn decode<T: DeserializeOwned>(path: &Path, offset: usize, bytes: &[u8]) -> Result<T, StoreError> {
    postcard::from_bytes(bytes).map_err(|error| damaged(path, offset, &error.to_string()))
}

fn damaged(path: &Path, offset: usize, reason: &str) -> StoreError {
    StoreError::Damaged { path: path.to_owned(), offset: offset as u64, reason: reason.to_owned() }
}

fn file_error(path: &Path) -> impl Fn(io::Error) -> StoreError + '_ {
    |source| StoreError::File { path: path.to_owned(), source }
}
