//! What answers to freshness requests say: who leads, and what was granted.

use peer::{FreshnessAnswer, FreshnessGrant, PeerAnswer};
use runtime::ReplicaAddress;

/// Whether an answer comes from the leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaderAnswer {
    /// It does.
    Here,
    /// It does not; the leader may be at this address.
    Elsewhere(Option<ReplicaAddress>),
}

/// Returns what a replica granted.
pub(crate) fn granted(answer: Option<PeerAnswer>) -> Option<FreshnessGrant> {
    match answer {
        Some(PeerAnswer::Freshness(answer)) => match *answer {
            FreshnessAnswer::Granted(grant) => Some(grant),
            FreshnessAnswer::NotLeader(_) => None,
        },
        _ => None,
    }
}

/// Says whether the answer to a freshness request comes from the leader.
pub(crate) fn is_granted(answer: &PeerAnswer) -> LeaderAnswer {
    match answer {
        PeerAnswer::Freshness(answer) => match answer.as_ref() {
            FreshnessAnswer::Granted(_) => LeaderAnswer::Here,
            FreshnessAnswer::NotLeader(hint) => LeaderAnswer::Elsewhere(hint.clone()),
        },
        _ => LeaderAnswer::Elsewhere(None),
    }
}
