//! The replicated log in memory, from the last snapshot on.

use crate::Membership;
use serde::{Deserialize, Serialize};
use std::{fmt, sync::Arc};
use types::{Command, LogTime};

/// The number of an election.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Term(pub u64);

/// The place of an entry in the log, counted from 1; 0 is before the first.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct LogIndex(pub u64);

impl LogIndex {
    /// Returns the index that follows.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// Returns the index before this one, or 0.
    pub fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

impl fmt::Display for LogIndex {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// What an entry of the log carries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LogPayload {
    /// Nothing; the first entry of each leader.
    Noop,
    /// A command for the state machine.
    Command(Command),
    /// A new set of replicas, in force as soon as it is in the log.
    Membership(Membership),
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// The term of the leader that made the entry.
    pub term: Term,
    /// Place in the log.
    pub index: LogIndex,
    /// Time stamped by the leader; never falls along the log.
    pub time: LogTime,
    /// Content.
    pub payload: LogPayload,
}

/// The state up to an index, in place of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotImage {
    /// The last entry that is included.
    pub index: LogIndex,
    /// The term of that entry.
    pub term: Term,
    /// The time of that entry.
    pub time: LogTime,
    /// The replicas as of that entry.
    pub membership: Membership,
    /// The encoded state machine.
    pub state: Arc<[u8]>,
}

/// Entries after `base`, with the snapshot they build on.
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
        // A log that was written before its snapshot may begin below or above the snapshot's end.
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

    /// Returns the term of an entry, `None` if the index is compacted away or not reached.
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

    /// Returns at most `limit` entries from `first` on.
    pub(crate) fn slice(&self, first: LogIndex, limit: usize) -> &[LogEntry] {
        let Some(offset) = first.0.checked_sub(self.base_index.0 + 1) else {
            return &[];
        };
        let start = (offset as usize).min(self.entries.len());
        let end = start.saturating_add(limit).min(self.entries.len());
        &self.entries[start..end]
    }

    pub(crate) fn push(&mut self, entry: LogEntry) {
        self.entries.push(entry);
    }

    /// Drops all entries from `first` on.
    pub(crate) fn truncate(&mut self, first: LogIndex) {
        let kept = first.0.saturating_sub(self.base_index.0 + 1);
        self.entries.truncate(kept as usize);
    }

    /// Drops the entries up to `index`, which a snapshot covers.
    pub(crate) fn compact(&mut self, index: LogIndex) {
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

    pub(crate) fn entries(&self) -> &[LogEntry] {
        &self.entries
    }
}
