//! Membership of the replica group: voters, and learners that catch up before they may vote.

use serde::{Deserialize, Serialize};
use std::{fmt, net::SocketAddr};
use thiserror::Error;
use types::{DomainName, HostName};

/// Identity of a replica, stored in its data folder. Generated at random for an empty folder, except
/// that at the first start of the system each seed uses a hash of its address.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ReplicaId(pub u64);

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The role of a member in elections and replication.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberRole {
    /// Counts towards the quorum of elections and commits.
    Voter,
    /// Receives the log but does not vote.
    Learner,
}

/// One replica of the group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Identity of the replica's data folder.
    pub id: ReplicaId,
    /// Name of its host, as in the host's certificate. In a group formed from seed addresses, a
    /// placeholder made from the IP address.
    pub host: HostName,
    /// Address at which other processes reach it.
    pub address: SocketAddr,
    /// Failure domain of its host; `None` while it is not known, as in a group formed from seed
    /// addresses.
    #[serde(default)]
    pub domain: Option<DomainName>,
    /// Its role in elections and replication.
    pub role: MemberRole,
}

/// A change of the membership by one member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipChange {
    /// Adds a learner.
    AddLearner(Member),
    /// Makes a learner a voter.
    Promote(ReplicaId),
    /// Makes a voter a learner.
    Demote(ReplicaId),
    /// Replaces the host name, address and failure domain of a member. Its role stays.
    Update(Member),
    /// Removes a member.
    Remove(ReplicaId),
}

/// Reason why a membership change is refused.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum MembershipError {
    /// The identity is already a member. The host is not checked, although the message mentions it.
    #[error("replica {0} or its host is a member already")]
    AlreadyMember(ReplicaId),
    /// The identity is not a member, or its role is not the one that the change requires.
    #[error("replica {0} is not such a member")]
    NoSuchMember(ReplicaId),
    /// The last voter cannot be removed or demoted.
    #[error("replica {0} is the last voter")]
    LastVoter(ReplicaId),
    /// Another change is not committed yet, or the leader has not committed an entry of its term.
    #[error("another membership change is in progress")]
    ChangeInProgress,
    /// The learner lacks committed entries, or has not answered the leader recently.
    #[error("replica {0} has not caught up yet")]
    NotCaughtUp(ReplicaId),
}

/// The members of the replica group.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    members: Vec<Member>,
}

impl Membership {
    /// Creates a membership of the given members.
    pub fn new(members: Vec<Member>) -> Self {
        Self { members }
    }

    /// Creates a membership without members.
    pub const fn empty() -> Self {
        Self { members: Vec::new() }
    }

    /// Returns all members.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns the member with the given identity.
    pub fn get(&self, id: ReplicaId) -> Option<&Member> {
        self.members.iter().find(|member| member.id == id)
    }

    /// Returns the identities of the voters.
    pub fn voters(&self) -> impl Iterator<Item = ReplicaId> {
        self.members.iter().filter(|m| m.role == MemberRole::Voter).map(|member| member.id)
    }

    /// Returns whether a replica is a voter.
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.get(id).is_some_and(|member| member.role == MemberRole::Voter)
    }

    /// Returns whether more than half of the voters satisfy a condition.
    pub fn has_quorum(&self, condition: impl Fn(ReplicaId) -> bool) -> bool {
        let voter_count = self.voters().count();
        let agreeing_count = self.voters().filter(|id| condition(*id)).count();
        agreeing_count * 2 > voter_count
    }

    /// Returns the membership after one change.
    pub fn with_change(&self, change: &MembershipChange) -> Result<Self, MembershipError> {
        let mut members = self.members.clone();
        match change {
            MembershipChange::AddLearner(member) => {
                if members.iter().any(|m| m.id == member.id) {
                    return Err(MembershipError::AlreadyMember(member.id));
                }
                members.push(Member { role: MemberRole::Learner, ..member.clone() });
            }
            MembershipChange::Promote(id) => {
                find_member(&mut members, *id, MemberRole::Learner)?.role = MemberRole::Voter;
            }
            MembershipChange::Demote(id) => {
                let demoted = find_member(&mut members, *id, MemberRole::Voter)?;
                demoted.role = MemberRole::Learner;
                if self.voters().count() == 1 {
                    return Err(MembershipError::LastVoter(*id));
                }
            }
            MembershipChange::Update(updated) => {
                let member = members
                    .iter_mut()
                    .find(|member| member.id == updated.id)
                    .ok_or(MembershipError::NoSuchMember(updated.id))?;
                *member = Member { role: member.role, ..updated.clone() };
            }
            MembershipChange::Remove(id) => {
                let removed = self.get(*id).ok_or(MembershipError::NoSuchMember(*id))?;
                if removed.role == MemberRole::Voter && self.voters().count() == 1 {
                    return Err(MembershipError::LastVoter(*id));
                }
                members.retain(|member| member.id != *id);
            }
        }
        Ok(Self { members })
    }
}

fn find_member(
    members: &mut [Member],
    id: ReplicaId,
    role: MemberRole,
) -> Result<&mut Member, MembershipError> {
    let found = members.iter_mut().find(|member| member.id == id && member.role == role);
    found.ok_or(MembershipError::NoSuchMember(id))
}
