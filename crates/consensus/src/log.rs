//! The replicated log in memory, without the entries that were compacted away.

use crate::Membership;
use serde::{Deserialize, Serialize};
use std::{fmt, sync::Arc};
use types::{Command, LogTime};

/// Approximate size of an encoded entry without its content, in bytes.
const HEADER_BYTES: usize = 16;
/// Approximate size of an encoded member, in bytes.
const MEMBER_BYTES: usize = 48;

/// Raft term. Each election starts a new one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Term(pub u64);

/// Index of an entry in the log, counted from 1; 0 precedes the first entry.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct LogIndex(pub u64);

impl LogIndex {
    /// Returns the following index.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// Returns the preceding index, or 0 for index 0.
    pub fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

impl fmt::Display for LogIndex {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Content of a log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LogPayload {
    /// No operation. Each leader begins its term with such an entry.
    Noop,
    /// A command for the state machine.
    Command(Command),
    /// A new membership, effective as soon as it is in the log.
    Membership(Membership),
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Term of the leader that created the entry.
    pub term: Term,
    /// Index in the log.
    pub index: LogIndex,
    /// Timestamp from the leader; never decreases along the log.
    pub time: LogTime,
    /// Content.
    pub payload: LogPayload,
}

impl LogEntry {
    /// Returns the approximate size of the encoded entry in bytes.
    pub(crate) fn approximate_bytes(&self) -> usize {
        match &self.payload {
            LogPayload::Noop => HEADER_BYTES,
            LogPayload::Command(command) => HEADER_BYTES + command.approximate_bytes(),
            LogPayload::Membership(membership) => {
                HEADER_BYTES + membership.members().len() * MEMBER_BYTES
            }
        }
    }
}

/// A snapshot, which replaces the log up to an index.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotImage {
    /// Index of the last entry that is included.
    pub index: LogIndex,
    /// Term of that entry.
    pub term: Term,
    /// Timestamp of that entry.
    pub time: LogTime,
    /// Membership as of that entry.
    pub membership: Membership,
    /// Encoded state of the state machine.
    pub state: Arc<[u8]>,
}

/// Limits on the log entries that stay in memory although a snapshot covers them, for followers that
/// lag slightly.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetainedLog {
    /// Maximum number of entries.
    pub entries: usize,
    /// Approximate maximum size of the entries, in bytes.
    pub bytes: usize,
}

/// The log entries after `base_index`, the last entry that was compacted away or replaced by a
/// snapshot.
#[derive(Debug, Default)]
pub(crate) struct MemoryLog {
    base_index: LogIndex,
    base_term: Term,
    base_time: LogTime,
    entries: Vec<LogEntry>,
}

impl MemoryLog {
    pub(crate) fn new(base: Option<&SnapshotImage>, entries: Vec<LogEntry>) -> Self {
        let mut log = Self::default();
        if let Some(image) = base {
            log.reset(image);
        }
        // A log that was written before the snapshot may contain entries that the snapshot covers,
        // which are dropped. If entries are missing between the two, the whole log is ignored.
        if let Some(first) = entries.first()
            && first.index <= log.base_index.next()
            && first.index.0 > 0
        {
            log.entries =
                entries.into_iter().filter(|entry| entry.index > log.base_index).collect();
        }
        log
    }

    pub(crate) fn reset(&mut self, image: &SnapshotImage) {
        self.base_index = image.index;
        self.base_term = image.term;
        self.base_time = image.time;
        self.entries.clear();
    }

    pub(crate) fn base_index(&self) -> LogIndex {
        self.base_index
    }

    pub(crate) fn last_index(&self) -> LogIndex {
        self.entries.last().map_or(self.base_index, |entry| entry.index)
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries.last().map_or(self.base_term, |entry| entry.term)
    }

    pub(crate) fn last_time(&self) -> LogTime {
        self.entries.last().map_or(self.base_time, |entry| entry.time)
    }

    /// Returns the term of an entry, or `None` if it is compacted away or beyond the end of the
    /// log.
    pub(crate) fn term(&self, index: LogIndex) -> Option<Term> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub(crate) fn get(&self, index: LogIndex) -> Option<&LogEntry> {
        let offset = index.0.checked_sub(self.base_index.0 + 1)?;
        self.entries.get(offset as usize)
    }

    /// Returns at most `limit` entries of about `max_bytes` in total, but at least one if there is
    /// one, starting at `first`; none if `first` is compacted away.
    pub(crate) fn slice(&self, first: LogIndex, limit: usize, max_bytes: usize) -> &[LogEntry] {
        let Some(offset) = first.0.checked_sub(self.base_index.0 + 1) else {
            return &[];
        };
        let start = (offset as usize).min(self.entries.len());
        let end = start.saturating_add(limit).min(self.entries.len());
        let entries = &self.entries[start..end];
        let mut bytes = 0;
        let is_within_limit = |entry: &&LogEntry| {
            bytes += entry.approximate_bytes();
            bytes <= max_bytes
        };
        let count = entries.iter().take_while(is_within_limit).count();
        &entries[..count.max(1).min(entries.len())]
    }

    pub(crate) fn push(&mut self, entry: LogEntry) {
        self.entries.push(entry);
    }

    /// Removes all entries from `first` on.
    pub(crate) fn truncate(&mut self, first: LogIndex) {
        let kept = first.0.saturating_sub(self.base_index.0 + 1);
        self.entries.truncate(kept as usize);
    }

    /// Removes the entries up to `index`, which a snapshot covers, except the last ones within the
    /// limits of `retained`.
    pub(crate) fn compact(&mut self, index: LogIndex, retained: RetainedLog) {
        let index = self.compaction_index(index, retained);
        let Some(entry) = self.get(index) else {
            return;
        };
        let (term, time) = (entry.term, entry.time);
        let count = (index.0 - self.base_index.0) as usize;
        self.entries.drain(..count);
        self.base_index = index;
        self.base_term = term;
        self.base_time = time;
    }

    /// Returns the last index up to which entries are removed when a snapshot covers those up to
    /// `index`.
    fn compaction_index(&self, index: LogIndex, retained: RetainedLog) -> LogIndex {
        let covered = index.0.saturating_sub(self.base_index.0) as usize;
        let covered = &self.entries[..covered.min(self.entries.len())];
        let mut bytes = 0;
        let is_within_limit = |entry: &&LogEntry| {
            bytes += entry.approximate_bytes();
            bytes <= retained.bytes
        };
        let count = covered.iter().rev().take(retained.entries).take_while(is_within_limit).count();
        LogIndex(index.0 - count as u64)
    }

    pub(crate) fn entries(&self) -> &[LogEntry] {
        &self.entries
    }
}
