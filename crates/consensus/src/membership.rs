//! The set of replicas: voters, and learners that catch up before they may vote.

use serde::{Deserialize, Serialize};
use std::{fmt, net::SocketAddr};
use thiserror::Error;
use types::HostName;

/// The identity of a replica, drawn at random for each data folder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ReplicaId(pub u64);

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// What a member may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberRole {
    /// Counts for elections and commits.
    Voter,
    /// Receives the log only.
    Learner,
}

/// One replica of the set.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Identity of the data folder.
    pub id: ReplicaId,
    /// Host, as in its certificate.
    pub host: HostName,
    /// Where the other processes reach it.
    pub address: SocketAddr,
    /// What it may do.
    pub role: MemberRole,
}

/// A change of the set by one member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipChange {
    /// Adds a learner.
    AddLearner(Member),
    /// Makes a learner a voter.
    Promote(ReplicaId),
    /// Removes a member.
    Remove(ReplicaId),
}

/// Says why a change of the set is refused.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum MembershipError {
    /// The id or the host is a member already.
    #[error("replica {0} or its host is a member already")]
    Present(ReplicaId),
    /// The id is not a member, or not a learner where one is meant.
    #[error("replica {0} is not such a member")]
    Absent(ReplicaId),
    /// The last voter cannot be removed.
    #[error("replica {0} is the last voter")]
    LastVoter(ReplicaId),
    /// Another change is not committed yet, or the leader is new.
    #[error("another membership change is in progress")]
    Busy,
    /// The learner lacks committed entries.
    #[error("replica {0} has not caught up yet")]
    Behind(ReplicaId),
}

/// All replicas.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    members: Vec<Member>,
}

impl Membership {
    /// Returns a set with these members.
    pub fn new(members: Vec<Member>) -> Self {
        Self { members }
    }

    /// Returns a set without members.
    pub const fn empty() -> Self {
        Self { members: Vec::new() }
    }

    /// Returns all members.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns a member.
    pub fn get(&self, id: ReplicaId) -> Option<&Member> {
        self.members.iter().find(|member| member.id == id)
    }

    /// Returns the voters.
    pub fn voters(&self) -> impl Iterator<Item = ReplicaId> {
        self.members.iter().filter(|m| m.role == MemberRole::Voter).map(|member| member.id)
    }

    /// Says whether a replica is a voter.
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.get(id).is_some_and(|member| member.role == MemberRole::Voter)
    }

    /// Says whether more than half of the voters satisfy a condition.
    pub fn has_quorum(&self, condition: impl Fn(ReplicaId) -> bool) -> bool {
        let all = self.voters().count();
        let agreed = self.voters().filter(|id| condition(*id)).count();
        agreed * 2 > all
    }

    /// Returns the set after one change.
    pub fn changed(&self, change: &MembershipChange) -> Result<Self, MembershipError> {
        let mut members = self.members.clone();
        match change {
            MembershipChange::AddLearner(member) => {
                if members.iter().any(|m| m.id == member.id) {
                    return Err(MembershipError::Present(member.id));
                }
                members.push(Member { role: MemberRole::Learner, ..member.clone() });
            }
            MembershipChange::Promote(id) => {
                let member = members
                    .iter_mut()
                    .find(|member| member.id == *id && member.role == MemberRole::Learner)
                    .ok_or(MembershipError::Absent(*id))?;
                member.role = MemberRole::Voter;
            }
            MembershipChange::Remove(id) => {
                let removed = self.get(*id).ok_or(MembershipError::Absent(*id))?;
                if removed.role == MemberRole::Voter && self.voters().count() == 1 {
                    return Err(MembershipError::LastVoter(*id));
                }
                members.retain(|member| member.id != *id);
            }
        }
        Ok(Self { members })
    }
}
