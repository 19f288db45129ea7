//! The work that the core hands to the driver.

use crate::{Envelope, LogEntry, LogIndex, ReplicaId, SnapshotImage, Term};
use serde::{Deserialize, Serialize};

/// Raft state that must be durable in addition to the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The current term.
    pub term: Term,
    /// The candidate that received this replica's vote in that term.
    pub voted_for: Option<ReplicaId>,
}

/// The durable state from which a replica starts.
#[derive(Debug, Clone, Default)]
pub struct RestoredState {
    /// Term and vote.
    pub hard_state: HardState,
    /// The latest snapshot.
    pub image: Option<SnapshotImage>,
    /// The log, which may begin before the end of the snapshot.
    pub entries: Vec<LogEntry>,
}

/// Identifies a linearizable read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ReadToken(pub u64);

/// A read whose quorum round is complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadyRead {
    /// The read.
    pub token: ReadToken,
    /// The index that must be applied before the read is served.
    pub index: LogIndex,
}

/// The work that results from one batch of inputs.
///
/// The driver first sends `early_messages`, then makes `install`, `hard_state`, `truncate_from` and
/// `entries` durable. After that, it calls `Consensus::mark_persisted`, sends `messages`, applies
/// `committed`, serves each of `reads` once its index is applied, and rejects `failed_reads`.
#[derive(Debug, Default)]
pub struct Effects {
    /// Messages that may be sent before anything in this batch is durable.
    pub early_messages: Vec<Envelope>,
    /// A snapshot that replaces the whole log and state.
    pub install: Option<SnapshotImage>,
    /// The term and vote, if either changed.
    pub hard_state: Option<HardState>,
    /// Entries from this index on are removed before `entries` are appended.
    pub truncate_from: Option<LogIndex>,
    /// Entries to append.
    pub entries: Vec<LogEntry>,
    /// Messages that may be sent only after all of the above is durable.
    pub messages: Vec<Envelope>,
    /// Entries to apply, in order.
    pub committed: Vec<LogEntry>,
    /// Reads whose quorum round is complete.
    pub reads: Vec<ReadyRead>,
    /// Reads that cannot be served because this replica no longer leads.
    pub failed_reads: Vec<ReadToken>,
}

impl Effects {
    /// Returns whether something must be made durable.
    pub fn needs_sync(&self) -> bool {
        self.hard_state.is_some()
            || self.truncate_from.is_some()
            || !self.entries.is_empty()
            || self.install.is_some()
    }

    /// Returns whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        !self.needs_sync()
            && self.early_messages.is_empty()
            && self.messages.is_empty()
            && self.committed.is_empty()
            && self.reads.is_empty()
            && self.failed_reads.is_empty()
    }
}
