//! The role of a replica and the state that it keeps in that role.

use crate::{LogIndex, ReadToken, ReplicaId, progress::FollowerProgress};
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
