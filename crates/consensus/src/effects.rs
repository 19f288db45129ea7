//! What the driver has to carry out after feeding the core.

use crate::{Envelope, LogEntry, LogIndex, ReplicaId, SnapshotImage, Term};
use serde::{Deserialize, Serialize};

/// What must be durable besides the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The current term.
    pub term: Term,
    /// The candidate voted for in that term.
    pub voted_for: Option<ReplicaId>,
}

/// What a replica finds on its disk at its start.
#[derive(Debug, Clone, Default)]
pub struct Restored {
    /// Term and vote.
    pub hard_state: HardState,
    /// The latest snapshot.
    pub image: Option<SnapshotImage>,
    /// The log, which may begin before the snapshot's end.
    pub entries: Vec<LogEntry>,
}

/// Identifies a read that waits for its quorum round.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ReadToken(pub u64);

/// A read whose quorum round is done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadyRead {
    /// The read.
    pub token: ReadToken,
    /// What must be applied before it is served.
    pub index: LogIndex,
}

/// The work that one batch of inputs causes.
///
/// Order: send `early_messages`; make `install`, `hard_state`, `truncate_from` and `entries`
/// durable; then send `messages`, call `Consensus::persisted`, and apply `committed`.
#[derive(Debug, Default)]
pub struct Effects {
    /// Messages that depend on nothing in this batch being durable.
    pub early_messages: Vec<Envelope>,
    /// A snapshot that replaces the whole log and state.
    pub install: Option<SnapshotImage>,
    /// New term or vote.
    pub hard_state: Option<HardState>,
    /// Entries from here on are dropped before `entries` are appended.
    pub truncate_from: Option<LogIndex>,
    /// Entries to append.
    pub entries: Vec<LogEntry>,
    /// Messages that may leave once all the above is durable.
    pub messages: Vec<Envelope>,
    /// Entries to apply, in order.
    pub committed: Vec<LogEntry>,
    /// Reads whose round is done.
    pub reads: Vec<ReadyRead>,
    /// Reads that can no longer be served here.
    pub failed_reads: Vec<ReadToken>,
}

impl Effects {
    /// Says whether something must be made durable.
    pub fn needs_sync(&self) -> bool {
        self.hard_state.is_some()
            || self.truncate_from.is_some()
            || !self.entries.is_empty()
            || self.install.is_some()
    }

    /// Says whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        !self.needs_sync()
            && self.early_messages.is_empty()
            && self.messages.is_empty()
            && self.committed.is_empty()
            && self.reads.is_empty()
            && self.failed_reads.is_empty()
    }
}
