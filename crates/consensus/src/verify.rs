//! Checks the safety invariants of the algorithm over all replicas of a group.

use crate::{Consensus, LogEntry, LogIndex, ReplicaId, Term};
use std::collections::BTreeMap;
use thiserror::Error;

/// Says which invariant does not hold.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ConsensusViolation {
    /// Two replicas lead in one term.
    #[error("{first} and {second} both lead in term {}", .term.0)]
    TwoLeaders {
        /// One leader.
        first: ReplicaId,
        /// The other.
        second: ReplicaId,
        /// The term.
        term: Term,
    },
    /// Two replicas committed different entries at one index.
    #[error("{replica} committed another entry at index {index}")]
    CommittedDiffer {
        /// The replica that differs from what was committed first.
        replica: ReplicaId,
        /// The place.
        index: LogIndex,
    },
    /// A replica applied entries out of order.
    #[error("{replica} applied index {index} out of order")]
    OutOfOrder {
        /// The replica.
        replica: ReplicaId,
        /// The place.
        index: LogIndex,
    },
    /// A term fell.
    #[error("the term of {0} fell")]
    TermFell(ReplicaId),
}

/// Remembers what was seen, to compare with what follows.
#[derive(Debug, Default)]
pub struct ClusterCheck {
    leaders: BTreeMap<Term, ReplicaId>,
    committed: BTreeMap<LogIndex, LogEntry>,
    applied: BTreeMap<ReplicaId, LogIndex>,
    terms: BTreeMap<ReplicaId, Term>,
}

impl ClusterCheck {
    /// Checks one replica's term and leadership.
    pub fn verify_replica(&mut self, core: &Consensus) -> Result<(), ConsensusViolation> {
        let (id, term) = (core.id(), core.term());
        if self.terms.insert(id, term).is_some_and(|former| former > term) {
            return Err(ConsensusViolation::TermFell(id));
        }
        if core.is_leader() {
            let first = *self.leaders.entry(term).or_insert(id);
            if first != id {
                return Err(ConsensusViolation::TwoLeaders { first, second: id, term });
            }
        }
        Ok(())
    }

    /// Checks one entry that a replica applies.
    pub fn verify_applied(
        &mut self,
        replica: ReplicaId,
        entry: &LogEntry,
    ) -> Result<(), ConsensusViolation> {
        let index = entry.index;
        let before = self.applied.insert(replica, index).unwrap_or_default();
        if index != before.next() {
            return Err(ConsensusViolation::OutOfOrder { replica, index });
        }
        let first = self.committed.entry(index).or_insert_with(|| entry.clone());
        if first != entry {
            return Err(ConsensusViolation::CommittedDiffer { replica, index });
        }
        Ok(())
    }

    /// Tells the check that a replica's state was replaced up to `index`, by a snapshot or a
    /// restart.
    pub fn restart_at(&mut self, replica: ReplicaId, index: LogIndex) {
        self.applied.insert(replica, index);
    }

    /// Returns the number of entries that were seen committed.
    pub fn committed_count(&self) -> usize {
        self.committed.len()
    }
}
