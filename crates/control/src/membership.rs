//! Which member of the set of replicas to replace next.

use consensus::{MemberRole, MembershipChange};
use replica::MemberStatus;
use std::time::Duration;

/// Silence after which a voter counts as lost for good. Longer than a restart takes, so that a
/// voter that comes back with its disk keeps its place.
const VOTER_LOSS_TIMEOUT: Duration = Duration::from_secs(8);
/// Silence after which a learner is forgotten.
const LEARNER_LOSS_TIMEOUT: Duration = Duration::from_secs(20);

/// One member as its leader sees it.
#[derive(Debug, Clone)]
pub struct MemberHealth {
    /// Identity, role, lag.
    pub status: MemberStatus,
    /// Time since it was last active; zero for the leader itself.
    pub silence: Duration,
}

/// Returns the next change that replaces a lost member, if one is due.
///
/// A voter is removed only if more than half of the voters that remain are active, and at least
/// `min_voters` of them.
pub fn plan_member_change(members: &[MemberHealth], min_voters: usize) -> Option<MembershipChange> {
    let lost = members.iter().find(|member| is_lost(member, members))?;
    let id = lost.status.member.id;
    if lost.status.member.role == MemberRole::Learner {
        return Some(MembershipChange::Remove(id));
    }
    let others = || {
        members
            .iter()
            .filter(|m| m.status.member.role == MemberRole::Voter && m.status.member.id != id)
    };
    let active = others().filter(|member| member.silence < VOTER_LOSS_TIMEOUT / 4).count();
    let is_safe = active >= min_voters && active * 2 > others().count();
    is_safe.then_some(MembershipChange::Remove(id))
}

fn is_lost(member: &MemberHealth, members: &[MemberHealth]) -> bool {
    let own = &member.status.member;
    // Another identity at the same address means that the disk of the former one is gone.
    let is_replaced = members.iter().any(|other| {
        let other_member = &other.status.member;
        other_member.id != own.id
            && other_member.address == own.address
            && other.silence < member.silence
    });
    let limit = match own.role {
        MemberRole::Voter => VOTER_LOSS_TIMEOUT,
        MemberRole::Learner => LEARNER_LOSS_TIMEOUT,
    };
    is_replaced || member.silence > limit
}
