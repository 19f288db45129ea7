//! Messages between replicas.

use crate::{LogEntry, LogIndex, ReplicaId, SnapshotImage, Term};
use serde::{Deserialize, Serialize};

/// A message with its ends. A replica drops what is not addressed to its own identity.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Sender.
    pub from: ReplicaId,
    /// Receiver.
    pub to: ReplicaId,
    /// The sender's term, or the term it would stand in for a pre-vote.
    pub term: Term,
    /// Content.
    pub message: Message,
}

/// The content of a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks whether a vote would be granted.
    PreVote {
        /// The last entry of the sender.
        last_index: LogIndex,
        /// Its term.
        last_term: Term,
    },
    /// Answers a pre-vote.
    PreVoteAnswer {
        /// Whether a vote would be granted.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// The last entry of the sender.
        last_index: LogIndex,
        /// Its term.
        last_term: Term,
        /// The leader itself asked the sender to take over.
        transfer: bool,
    },
    /// Answers a vote.
    VoteAnswer {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Appends entries; without entries, a heartbeat.
    Append {
        /// The entry before the first one sent.
        prev_index: LogIndex,
        /// Its term.
        prev_term: Term,
        /// The entries.
        entries: Vec<LogEntry>,
        /// What the leader has committed.
        commit: LogIndex,
        /// The latest read round that began before this message.
        round: u64,
    },
    /// Replaces the receiver's log by a snapshot.
    Install {
        /// The snapshot.
        image: SnapshotImage,
        /// The latest read round that began before this message.
        round: u64,
    },
    /// Answers an append or a snapshot.
    AppendAnswer {
        /// The receiver's log equals the leader's up to here, if accepted; else where to go on.
        index: LogIndex,
        /// Whether the entries were accepted.
        accepted: bool,
        /// The read round of the message that is answered.
        round: u64,
    },
    /// Asks the receiver to stand for election at once.
    TimeoutNow,
}
