//! Checks the safety invariants of Raft across all replicas of a group.

use crate::{Consensus, LogEntry, LogIndex, ReplicaId, Term};
use std::collections::BTreeMap;
use thiserror::Error;

/// A violated safety invariant.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ConsensusViolation {
    /// Two replicas lead in one term.
    #[error("replicas {first} and {second} both lead in term {}", .term.0)]
    TwoLeaders {
        /// The leader seen first.
        first: ReplicaId,
        /// The other leader.
        second: ReplicaId,
        /// The term in which both lead.
        term: Term,
    },
    /// Two replicas committed different entries at one index.
    #[error(
        "replica {replica} committed an entry at index {index} that differs from the first one"
    )]
    CommittedMismatch {
        /// The replica whose entry differs from the one that was committed first.
        replica: ReplicaId,
        /// Index of the entry.
        index: LogIndex,
    },
    /// A replica applied entries out of order.
    #[error("replica {replica} applied index {index} out of order")]
    AppliedOutOfOrder {
        /// The replica that applied the entry.
        replica: ReplicaId,
        /// Index of the entry.
        index: LogIndex,
    },
    /// The term of a replica decreased.
    #[error("the term of replica {0} decreased")]
    TermDecreased(ReplicaId),
}

/// Records the leaders, terms and applied entries of all replicas, and checks each new one against
/// them.
#[derive(Debug, Default)]
pub struct InvariantChecker {
    leaders: BTreeMap<Term, ReplicaId>,
    committed: BTreeMap<LogIndex, LogEntry>,
    applied: BTreeMap<ReplicaId, LogIndex>,
    terms: BTreeMap<ReplicaId, Term>,
}

impl InvariantChecker {
    /// Checks that a replica's term did not decrease and that no other replica led in that term.
    pub fn verify_replica(&mut self, core: &Consensus) -> Result<(), ConsensusViolation> {
        let (id, term) = (core.id(), core.term());
        if self.terms.insert(id, term).is_some_and(|previous| previous > term) {
            return Err(ConsensusViolation::TermDecreased(id));
        }
        if core.is_leader() {
            let first = *self.leaders.entry(term).or_insert(id);
            if first != id {
                return Err(ConsensusViolation::TwoLeaders { first, second: id, term });
            }
        }
        Ok(())
    }

    /// Checks that a replica applies `entry` in order, and that `entry` equals the first one that
    /// was committed at its index.
    pub fn verify_applied(
        &mut self,
        replica: ReplicaId,
        entry: &LogEntry,
    ) -> Result<(), ConsensusViolation> {
        let index = entry.index;
        let previous = self.applied.insert(replica, index).unwrap_or_default();
        if index != previous.next() {
            return Err(ConsensusViolation::AppliedOutOfOrder { replica, index });
        }
        let first = self.committed.entry(index).or_insert_with(|| entry.clone());
        if first != entry {
            return Err(ConsensusViolation::CommittedMismatch { replica, index });
        }
        Ok(())
    }

    /// Records that a snapshot or a restart replaced a replica's state up to `index`.
    pub fn reset_applied(&mut self, replica: ReplicaId, index: LogIndex) {
        self.applied.insert(replica, index);
    }

    /// Returns the number of distinct committed entries recorded.
    pub fn committed_count(&self) -> usize {
        self.committed.len()
    }
}
