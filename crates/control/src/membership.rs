//! Decides how the leader changes the set of replicas.
//!
//! A few voters take part in elections and commits; all other replicas are learners that serve
//! entries. The voters are spread over the failure domains, so that the loss of one domain leaves a
//! quorum.

use consensus::{MemberRole, MembershipChange, ReplicaId};
use replica::MemberStatus;
use std::{collections::BTreeMap, time::Duration};
use types::DomainName;

/// Inactivity after which a voter counts as lost. Longer than a restart, so that a voter that
/// restarts with its disk remains a voter.
const VOTER_LOSS_TIMEOUT: Duration = Duration::from_secs(8);
/// Inactivity after which a voter is replaced if a learner can take its place.
const VOTER_REPLACE_TIMEOUT: Duration = Duration::from_secs(3);
/// Inactivity from which a member does not count as active; a quarter of [`VOTER_LOSS_TIMEOUT`].
/// `MemberStatus::is_active` alone is not used for this, since the leader clears it at every quorum
/// check.
const ACTIVE_TIMEOUT: Duration = Duration::from_secs(2);
/// Inactivity after which a learner is removed.
const LEARNER_LOSS_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum number of log entries that a learner may lack to be promoted.
const MAX_PROMOTION_LAG: u64 = 64;
/// Difference in the number of voters between two failure domains from which a voter is moved.
const MAX_DOMAIN_IMBALANCE: usize = 2;

/// Limits on the number of voters.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VoterLimits {
    /// Minimum number of active voters that must remain when a lost one is demoted or removed.
    pub min_active: usize,
    /// Number of voters up to which learners are promoted.
    pub target: usize,
}

impl VoterLimits {
    /// Returns the limits with which the group survives the loss of any `tolerated_losses` replicas,
    /// also while one more is being replaced.
    pub fn for_losses(tolerated_losses: usize) -> Self {
        let min_active = 2 * tolerated_losses + 1;
        Self { min_active, target: min_active + 2 }
    }
}

impl Default for VoterLimits {
    fn default() -> Self {
        Self::for_losses(1)
    }
}

/// Health of a member as observed by the leader.
#[derive(Debug, Clone)]
pub struct MemberHealth {
    /// Identity, role and replication lag.
    pub status: MemberStatus,
    /// Time since the leader last saw the member's `MemberStatus::is_active` set; zero for the
    /// leader itself.
    pub inactive_for: Duration,
}

impl MemberHealth {
    fn id(&self) -> ReplicaId {
        self.status.member.id
    }

    fn is_voter(&self) -> bool {
        self.status.member.role == MemberRole::Voter
    }

    fn is_active(&self) -> bool {
        self.inactive_for < ACTIVE_TIMEOUT
    }

    /// Returns whether the member is a voter that has been active recently enough not to be replaced.
    fn is_present_voter(&self) -> bool {
        self.is_voter() && self.inactive_for < VOTER_REPLACE_TIMEOUT
    }

    fn may_be_promoted(&self) -> bool {
        let has_caught_up = self.status.lag.is_some_and(|lag| lag <= MAX_PROMOTION_LAG);
        !self.is_voter() && self.is_active() && has_caught_up
    }
}

/// Returns the next change of the set of replicas, or `None` if none is due or safe. `leader` is the
/// identity of the leader, which is never demoted.
///
/// Lost members come first, then missing voters, then the spread of the voters over the failure
/// domains. To replace or move a voter, a learner is promoted first, and a voter demoted after it.
/// A voter is removed or demoted only if more than half of the remaining voters, and at
/// least `min_active` of them, are active.
pub fn plan_membership_change(
    members: &[MemberHealth],
    leader: ReplicaId,
    limits: VoterLimits,
) -> Option<MembershipChange> {
    plan_removal(members, limits)
        .or_else(|| plan_promotion(members, limits))
        .or_else(|| plan_demotion(members, leader, limits))
}

/// Removes members whose address another identity uses and learners that are lost, and demotes lost
/// voters. A demoted voter that returns still receives the log.
fn plan_removal(members: &[MemberHealth], limits: VoterLimits) -> Option<MembershipChange> {
    let is_lost = |member: &&MemberHealth| match member.is_voter() {
        true => member.inactive_for > VOTER_LOSS_TIMEOUT,
        false => member.inactive_for > LEARNER_LOSS_TIMEOUT,
    };
    let replaced = members.iter().find(|member| is_replaced(member, members));
    let (member, change) = match replaced {
        Some(member) => (member, MembershipChange::Remove(member.id())),
        None => {
            let member = members.iter().find(is_lost)?;
            let change = match member.is_voter() {
                true => MembershipChange::Demote(member.id()),
                false => MembershipChange::Remove(member.id()),
            };
            (member, change)
        }
    };
    let is_safe = !member.is_voter() || may_lose_voter(members, member.id(), limits);
    is_safe.then_some(change)
}

/// Returns whether a more recently active identity at the same address shows that a member has lost
/// its disk.
fn is_replaced(member: &MemberHealth, members: &[MemberHealth]) -> bool {
    members.iter().any(|other| {
        other.id() != member.id()
            && other.status.member.address == member.status.member.address
            && other.inactive_for < member.inactive_for
    })
}

/// Returns whether the group stays safe if a voter no longer counts.
fn may_lose_voter(members: &[MemberHealth], id: ReplicaId, limits: VoterLimits) -> bool {
    let others = || members.iter().filter(|member| member.is_voter() && member.id() != id);
    let active = others().filter(|member| member.is_active()).count();
    active >= limits.min_active && active * 2 > others().count()
}

/// Promotes a learner in the failure domain with the fewest voters, if voters are missing or badly
/// spread.
fn plan_promotion(members: &[MemberHealth], limits: VoterLimits) -> Option<MembershipChange> {
    let present_count = members.iter().filter(|member| member.is_present_voter()).count();
    let voters = voters_by_domain(members);
    let voters_in = |member: &MemberHealth| count_in_domain(&voters, member);
    let learners = members.iter().filter(|member| member.may_be_promoted());
    let candidate = learners.min_by_key(|member| (voters_in(member), member.id()))?;
    let most_voters = voters.values().copied().max().unwrap_or_default();
    let is_unbalanced = present_count == limits.target
        && knows_all_domains(members)
        && most_voters >= voters_in(candidate) + MAX_DOMAIN_IMBALANCE;
    let is_due = present_count < limits.target || is_unbalanced;
    is_due.then(|| MembershipChange::Promote(candidate.id()))
}

/// Demotes a voter if there are too many: an inactive one, or else one in the failure domain with
/// the most voters.
fn plan_demotion(
    members: &[MemberHealth],
    leader: ReplicaId,
    limits: VoterLimits,
) -> Option<MembershipChange> {
    let voter_count = members.iter().filter(|member| member.is_voter()).count();
    if voter_count <= limits.target {
        return None;
    }
    let voters = voters_by_domain(members);
    let others = members.iter().filter(|member| member.is_voter() && member.id() != leader);
    let chosen = others.max_by_key(|member| {
        (!member.is_present_voter(), count_in_domain(&voters, member), member.id())
    })?;
    may_lose_voter(members, chosen.id(), limits).then(|| MembershipChange::Demote(chosen.id()))
}

/// Returns the number of voters in the member's failure domain, 0 if it is not known.
fn count_in_domain(voters: &BTreeMap<&DomainName, usize>, member: &MemberHealth) -> usize {
    let domain = member.status.member.domain.as_ref();
    domain.and_then(|domain| voters.get(domain)).copied().unwrap_or_default()
}

fn knows_all_domains(members: &[MemberHealth]) -> bool {
    members.iter().all(|member| member.status.member.domain.is_some())
}

fn voters_by_domain(members: &[MemberHealth]) -> BTreeMap<&DomainName, usize> {
    let mut counts = BTreeMap::new();
    for member in members.iter().filter(|member| member.is_voter()) {
        if let Some(domain) = &member.status.member.domain {
            *counts.entry(domain).or_default() += 1;
        }
    }
    counts
}
