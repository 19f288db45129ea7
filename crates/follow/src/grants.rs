//! Extracts the sender's role and the grant from answers to freshness requests.

use peer::{FreshnessAnswer, FreshnessGrant, PeerAnswer};
use runtime::ReplicaAddress;

/// The sender of an answer: the leader or another replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerSource {
    /// The leader.
    Leader,
    /// Another replica, which may name the leader's address.
    NotLeader(Option<ReplicaAddress>),
}

/// Returns the grant in an answer, if there is one.
pub(crate) fn into_grant(answer: Option<PeerAnswer>) -> Option<FreshnessGrant> {
    match answer {
        Some(PeerAnswer::Freshness(answer)) => match *answer {
            FreshnessAnswer::Granted(grant) => Some(grant),
            FreshnessAnswer::NotLeader(_) => None,
        },
        _ => None,
    }
}

/// Returns the source of an answer to a freshness request.
pub(crate) fn freshness_source(answer: &PeerAnswer) -> AnswerSource {
    match answer {
        PeerAnswer::Freshness(answer) => match answer.as_ref() {
            FreshnessAnswer::Granted(_) => AnswerSource::Leader,
            FreshnessAnswer::NotLeader(hint) => AnswerSource::NotLeader(hint.clone()),
        },
        _ => AnswerSource::NotLeader(None),
    }
}
