//! What a replica does at present, and the state that it needs for that.

use crate::{LogIndex, ReadToken, ReplicaId};
use smallvec::SmallVec;
use std::collections::{BTreeMap, VecDeque};

/// The role of a replica with its state.
pub(crate) enum RoleState {
    Follower,
    PreCandidate(Ballot),
    Candidate(Ballot),
    Leader(Leadership),
}

/// The votes received so far.
#[derive(Debug, Default)]
pub(crate) struct Ballot {
    pub(crate) granted: SmallVec<[ReplicaId; 5]>,
}

impl Ballot {
    pub(crate) fn grant(&mut self, id: ReplicaId) {
        if !self.granted.contains(&id) {
            self.granted.push(id);
        }
    }
}

/// How far one follower is.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Progress {
    pub(crate) next: LogIndex,
    pub(crate) matched: LogIndex,
    pub(crate) acked_round: u64,
    pub(crate) is_active: bool,
    /// A snapshot is on its way; nothing else is sent until it is answered or the tick passes.
    pub(crate) installing_ticks: u32,
}

/// A read that waits for its quorum round.
#[derive(Debug)]
pub(crate) struct PendingRead {
    pub(crate) token: ReadToken,
    pub(crate) round: u64,
}

/// The state of a leader.
#[derive(Debug)]
pub(crate) struct Leadership {
    pub(crate) progress: BTreeMap<ReplicaId, Progress>,
    pub(crate) first_index: LogIndex,
    pub(crate) round: u64,
    pub(crate) reads: VecDeque<PendingRead>,
    pub(crate) ticks_since_heartbeat: u32,
    pub(crate) ticks_since_check: u32,
}

impl Leadership {
    pub(crate) fn pending_reads(&self) -> impl Iterator<Item = ReadToken> {
        self.reads.iter().map(|read| read.token)
    }
}
