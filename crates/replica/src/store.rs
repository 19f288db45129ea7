//! The files of a replica: one log and one snapshot under one data folder.
//!
//! The log's first record holds the identity drawn when the folder was empty, so that a replica
//! whose disk was lost is another replica. A batch is one record and is synced before anything
//! that depends on it leaves; so only the last record can be torn.

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

/// Says why a data folder cannot be used.
#[derive(Debug, Error)]
pub enum StoreError {
    /// A file cannot be read, written or synced; trying again may help.
    #[error("{path}: {source}")]
    File {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// A file is damaged before its end.
    #[error("{path}: damaged at offset {offset}: {reason}")]
    Damaged {
        /// The file.
        path: PathBuf,
        /// Where, in bytes.
        offset: u64,
        /// What is wrong.
        reason: String,
    },
    /// Another process uses the folder.
    #[error("{path}: another process uses this data folder")]
    InUse {
        /// The lock file.
        path: PathBuf,
    },
}

/// What is made durable in one step.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogBatch {
    /// New term or vote.
    pub hard_state: Option<HardState>,
    /// Entries from here on are dropped first.
    pub truncate_from: Option<LogIndex>,
    /// Entries to append.
    pub entries: Vec<LogEntry>,
}

#[derive(Debug, Serialize, Deserialize)]
struct LogHeader {
    identity: ReplicaId,
    /// The snapshot on which the log builds; 0 if none.
    base: LogIndex,
}

#[derive(Debug, Serialize, Deserialize)]
struct SnapshotRecord {
    identity: ReplicaId,
    image: SnapshotImage,
}

/// Keeps what a replica must not lose.
pub trait ReplicaStore: Send {
    /// Makes a batch durable. On failure nothing of it remains, and it may be tried again.
    fn append(&mut self, batch: &LogBatch) -> Result<(), StoreError>;

    /// Puts a snapshot in place of the log up to its end, and keeps `batch` after it.
    fn replace(&mut self, image: &SnapshotImage, batch: &LogBatch) -> Result<(), StoreError>;

    /// Returns the size of the log in bytes.
    fn log_bytes(&self) -> u64;
}

/// The file operations that the log needs; a trait so that tests can fill the disk.
pub trait LogFile: Send {
    /// Writes at the end.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Makes all written bytes durable.
    fn sync(&mut self) -> io::Result<()>;
    /// Cuts the file to a length in bytes.
    fn cut(&mut self, length: u64) -> io::Result<()>;
}

impl LogFile for File {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.seek(SeekFrom::End(0))?;
        self.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }

    fn cut(&mut self, length: u64) -> io::Result<()> {
        self.set_len(length)
    }
}

/// The store of a data folder.
pub struct FileStore {
    folder: PathBuf,
    identity: ReplicaId,
    log: Box<dyn LogFile>,
    log_bytes: u64,
    _lock: File,
}

impl FileStore {
    /// Opens a data folder. An empty one gets `new_identity`.
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
                return Err(damaged(&snapshot_path, 0, "there is a snapshot, but no log"));
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

    /// Returns the identity bound to the folder.
    pub fn identity(&self) -> ReplicaId {
        self.identity
    }

    /// Puts another file in place of the log, for tests of a failing disk.
    pub fn wrap_log(&mut self, wrap: impl FnOnce(Box<dyn LogFile>) -> Box<dyn LogFile>) {
        let empty: Box<dyn LogFile> = Box::new(ClosedFile);
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
            self.log.cut(self.log_bytes).map_err(file_error(&path))?;
            return Err(StoreError::File { path, source });
        }
        self.log_bytes += record.len() as u64;
        Ok(())
    }

    fn replace(&mut self, image: &SnapshotImage, batch: &LogBatch) -> Result<(), StoreError> {
        self.write_snapshot(image)?;
        self.rewrite_log(image.index, batch)
    }

    fn log_bytes(&self) -> u64 {
        self.log_bytes
    }
}

/// Stands in while the log file is being wrapped.
struct ClosedFile;

impl LogFile for ClosedFile {
    fn append(&mut self, _bytes: &[u8]) -> io::Result<()> {
        Err(io::ErrorKind::NotConnected.into())
    }

    fn sync(&mut self) -> io::Result<()> {
        Err(io::ErrorKind::NotConnected.into())
    }

    fn cut(&mut self, _length: u64) -> io::Result<()> {
        Err(io::ErrorKind::NotConnected.into())
    }
}

struct LogScan {
    header: LogHeader,
    batches: Vec<LogBatch>,
    length: u64,
}

/// Reads all records; cuts a torn last one off.
fn scan_log(path: &Path) -> Result<LogScan, StoreError> {
    let bytes = fs::read(path).map_err(file_error(path))?;
    let mut header = None;
    let mut batches = Vec::new();
    let mut offset = 0;
    while offset < bytes.len() {
        let Some(body) = find_record(&bytes, offset) else {
            if header.is_none() || has_record_after(&bytes, offset) {
                return Err(damaged(path, offset, "the checksum does not match"));
            }
            cut_file(path, offset as u64)?;
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
    let header = header.ok_or_else(|| damaged(path, 0, "the log is empty"))?;
    Ok(LogScan { header, batches, length: offset as u64 })
}

/// Carries out the batches of a log.
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
            let reason = format!("index {} stands where {expected} belongs", entry.index);
            return Err(damaged(path, scan.length as usize, &reason));
        }
        expected = expected.next();
    }
    Ok(restored)
}

fn load_snapshot(path: &Path, header: &LogHeader) -> Result<Option<SnapshotImage>, StoreError> {
    if !path.exists() {
        if header.base > LogIndex(0) {
            return Err(damaged(path, 0, "the snapshot on which the log builds is missing"));
        }
        return Ok(None);
    }
    let bytes = fs::read(path).map_err(file_error(path))?;
    let body =
        find_record(&bytes, 0).ok_or_else(|| damaged(path, 0, "the checksum does not match"))?;
    let record: SnapshotRecord = decode(path, 0, &bytes[body])?;
    if record.identity != header.identity {
        return Err(damaged(path, 0, "the snapshot belongs to another replica"));
    }
    if record.image.index < header.base {
        return Err(damaged(path, 0, "the snapshot is older than the log"));
    }
    Ok(Some(record.image))
}

fn open_log(path: &Path) -> Result<File, StoreError> {
    OpenOptions::new().read(true).write(true).open(path).map_err(file_error(path))
}

fn cut_file(path: &Path, length: u64) -> Result<(), StoreError> {
    let file = open_log(path)?;
    file.set_len(length).and_then(|()| file.sync_all()).map_err(file_error(path))
}

fn lock_folder(folder: &Path) -> Result<File, StoreError> {
    let path = folder.join(LOCK_NAME);
    let lock = File::create(&path).map_err(file_error(&path))?;
    lock.try_lock().map_err(|_| StoreError::InUse { path })?;
    Ok(lock)
}

/// Writes a file so that after a crash either the old or the new one is there.
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
