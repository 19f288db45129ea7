//! The role of a replica and the state that it keeps in that role.

use crate::{LogIndex, ReadToken, ReplicaId};
use smallvec::SmallVec;
use std::collections::{BTreeMap, VecDeque};

/// The current role of a replica, with the state of that role.
pub(crate) enum RoleState {
    Follower,
    PreCandidate(VoteTally),
    Candidate(VoteTally),
    Leader(LeaderState),
}

/// The replicas that granted their vote or pre-vote so far.
#[derive(Debug, Default)]
pub(crate) struct VoteTally {
    pub(crate) granted: SmallVec<[ReplicaId; 5]>,
}

impl VoteTally {
    pub(crate) fn grant(&mut self, id: ReplicaId) {
        if !self.granted.contains(&id) {
            self.granted.push(id);
        }
    }
}

/// Replication progress of one follower.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FollowerProgress {
    /// Index of the next entry to send.
    pub(crate) next: LogIndex,
    /// Index up to which the follower's log is known to equal the leader's.
    pub(crate) matched: LogIndex,
    /// The latest quorum round that the follower acknowledged.
    pub(crate) acked_round: u64,
    /// Whether the follower answered, or was added, since the last quorum check.
    pub(crate) is_active: bool,
    /// Ticks until an unanswered snapshot is sent again; 0 if one may be sent now. Until then, a
    /// follower whose next entry is compacted away is sent nothing.
    pub(crate) install_retry_ticks: u32,
}

/// A read that waits for a quorum to acknowledge its round.
#[derive(Debug)]
pub(crate) struct PendingRead {
    pub(crate) token: ReadToken,
    pub(crate) round: u64,
}

/// State of a leader.
#[derive(Debug)]
pub(crate) struct LeaderState {
    pub(crate) progress: BTreeMap<ReplicaId, FollowerProgress>,
    /// Index of the no-op entry that begins the leader's term.
    pub(crate) first_index: LogIndex,
    /// The latest quorum round that was started.
    pub(crate) round: u64,
    pub(crate) reads: VecDeque<PendingRead>,
    pub(crate) ticks_since_heartbeat: u32,
    pub(crate) ticks_since_check: u32,
}

impl LeaderState {
    pub(crate) fn pending_reads(&self) -> impl Iterator<Item = ReadToken> {
        self.reads.iter().map(|read| read.token)
    }
}
