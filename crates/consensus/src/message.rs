//! Messages between replicas.

use crate::{LogEntry, LogIndex, ReplicaId, SnapshotImage, Term};
use serde::{Deserialize, Serialize};

/// A message with its sender and receiver. A replica drops messages that are addressed to another
/// identity.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Sender.
    pub from: ReplicaId,
    /// Receiver.
    pub to: ReplicaId,
    /// The sender's term; in a pre-vote and an answer that grants it, the term of the election that
    /// would follow.
    pub term: Term,
    /// Content.
    pub message: Message,
}

/// Whether a follower accepted an append or a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendResult {
    /// The follower's log equals the leader's up to this index.
    Matched(LogIndex),
    /// The follower's log differs from the leader's at `prev_index`, or does not reach it.
    Rejected {
        /// Index of the entry that precedes those in the rejected message.
        prev_index: LogIndex,
        /// Index up to which the logs may match.
        hint: LogIndex,
    },
}

/// The content of a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks whether the receiver would grant its vote.
    PreVote {
        /// Index of the last entry in the sender's log.
        last_index: LogIndex,
        /// Term of that entry.
        last_term: Term,
    },
    /// Answers `PreVote`.
    PreVoteAnswer {
        /// Whether a vote would be granted.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// Index of the last entry in the sender's log.
        last_index: LogIndex,
        /// Term of that entry.
        last_term: Term,
        /// Whether the leader asked the sender to take over with `TimeoutNow`.
        transfer: bool,
    },
    /// Answers `Vote`.
    VoteAnswer {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Appends entries; without entries, a heartbeat.
    Append {
        /// Index of the entry that precedes `entries`.
        prev_index: LogIndex,
        /// Term of that entry.
        prev_term: Term,
        /// Consecutive entries that follow `prev_index`.
        entries: Vec<LogEntry>,
        /// The leader's commit index.
        commit: LogIndex,
        /// The latest quorum round that was started before this message was sent.
        round: u64,
    },
    /// Replaces the receiver's log with a snapshot.
    Install {
        /// The snapshot.
        image: SnapshotImage,
        /// The latest quorum round that was started before this message was sent.
        round: u64,
    },
    /// Answers `Append` or `Install`.
    AppendAnswer {
        /// Whether the message was accepted.
        result: AppendResult,
        /// The quorum round of the message being answered.
        round: u64,
    },
    /// Asks the receiver to start an election immediately.
    TimeoutNow,
}
