//! Decides which lost member of the set of replicas to remove next.

use consensus::{MemberRole, MembershipChange};
use replica::MemberStatus;
use std::time::Duration;

/// Inactivity after which a voter counts as permanently lost. Longer than a restart, so that a
/// voter that restarts with its disk remains a member.
const VOTER_LOSS_TIMEOUT: Duration = Duration::from_secs(8);
/// Inactivity from which a voter no longer counts as active when the removal of another is decided;
/// a quarter of [`VOTER_LOSS_TIMEOUT`]. `MemberStatus::is_active` alone is not used for this, since
/// the leader clears it at every quorum check.
const VOTER_ACTIVE_TIMEOUT: Duration = Duration::from_secs(2);
/// Inactivity after which a learner is removed.
const LEARNER_LOSS_TIMEOUT: Duration = Duration::from_secs(20);

/// Health of a member as observed by the leader.
#[derive(Debug, Clone)]
pub struct MemberHealth {
    /// Identity, role and replication lag.
    pub status: MemberStatus,
    /// Time since the leader last saw the member's `MemberStatus::is_active` set; zero for the
    /// leader itself.
    pub inactive_for: Duration,
}

/// Returns the removal of the first lost member in the list, or `None` if there is none or its
/// removal is not safe. The member that replaces it joins by itself.
///
/// A voter is removed only if more than half of the remaining voters, and at least `min_voters` of
/// them, were active within the last 2 s.
pub fn plan_member_removal(
    members: &[MemberHealth],
    min_voters: usize,
) -> Option<MembershipChange> {
    let lost = members.iter().find(|member| is_lost(member, members))?;
    let id = lost.status.member.id;
    if lost.status.member.role == MemberRole::Learner {
        return Some(MembershipChange::Remove(id));
    }
    let other_voters = || {
        members
            .iter()
            .filter(|m| m.status.member.role == MemberRole::Voter && m.status.member.id != id)
    };
    let active = other_voters().filter(|member| member.inactive_for < VOTER_ACTIVE_TIMEOUT).count();
    let is_safe = active >= min_voters && active * 2 > other_voters().count();
    is_safe.then_some(MembershipChange::Remove(id))
}

fn is_lost(member: &MemberHealth, members: &[MemberHealth]) -> bool {
    let own = &member.status.member;
    // A more recently active identity at the same address means that the member lost its disk.
    let is_replaced = members.iter().any(|other| {
        let other_member = &other.status.member;
        other_member.id != own.id
            && other_member.address == own.address
            && other.inactive_for < member.inactive_for
    });
    let limit = match own.role {
        MemberRole::Voter => VOTER_LOSS_TIMEOUT,
        MemberRole::Learner => LEARNER_LOSS_TIMEOUT,
    };
    is_replaced || member.inactive_for > limit
}
