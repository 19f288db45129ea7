//! The leader's next change of the set of replicas, and selection of the entries that a caller should use.

use consensus::{Member, MemberRole, MembershipChange, ReplicaId};
use hawthornhill_control::{MemberHealth, VoterLimits, directory_entries, plan_membership_change};
use replica::MemberStatus;
use std::{net::SocketAddr, time::Duration};
use types::{ClusterState, Command, EntryIncarnation, EntryInfo, LogTime};

/// The limits for the loss of one replica: five voters, of which three must remain.
const LIMITS: VoterLimits = VoterLimits { min_active: 3, target: 5 };
const LEADER: ReplicaId = ReplicaId(0);

fn member(id: u64, port: u16, role: MemberRole, inactive_s: u64) -> MemberHealth {
    let address = SocketAddr::from(([10, 0, 0, 1], port));
    let host = format!("core-{id}").parse().expect("name");
    let member = Member { id: ReplicaId(id), host, address, domain: None, role };
    let status = MemberStatus { member, lag: Some(0), is_active: Some(inactive_s == 0) };
    MemberHealth { status, inactive_for: Duration::from_secs(inactive_s) }
}

fn in_domain(mut health: MemberHealth, domain: &str) -> MemberHealth {
    health.status.member.domain = Some(domain.parse().expect("name"));
    health
}

fn voters(inactive_times: &[u64]) -> Vec<MemberHealth> {
    let numbered = inactive_times.iter().enumerate();
    numbered.map(|(n, s)| member(n as u64, n as u16 + 1, MemberRole::Voter, *s)).collect()
}

fn plan(members: &[MemberHealth], min_active: usize) -> Option<MembershipChange> {
    plan_membership_change(members, LEADER, VoterLimits { min_active, ..LIMITS })
}

fn demote(id: u64) -> Option<MembershipChange> {
    Some(MembershipChange::Demote(ReplicaId(id)))
}

fn promote(id: u64) -> Option<MembershipChange> {
    Some(MembershipChange::Promote(ReplicaId(id)))
}

fn remove(id: u64) -> Option<MembershipChange> {
    Some(MembershipChange::Remove(ReplicaId(id)))
}

/// Guards against the loss of a voter that only restarts, and against a change after which too few
/// active voters remain. A lost voter is demoted rather than removed: a removed one that returned
/// with its disk never learnt that it was no longer a member.
#[test]
fn voter_is_demoted_only_after_the_loss_timeout_and_while_enough_others_are_active() {
    assert_eq!(plan(&voters(&[0, 0, 0, 0, 0]), 3), None);
    assert_eq!(plan(&voters(&[0, 0, 0, 0, 5]), 3), None);
    assert_eq!(plan(&voters(&[0, 0, 0, 0, 9]), 3), demote(4));
    // Two voters are lost. The first may be demoted, since three of the four others are active.
    assert_eq!(plan(&voters(&[0, 0, 0, 9, 9]), 3), demote(3));
    // Three voters must remain, since fewer would not tolerate the loss of one.
    assert_eq!(plan(&voters(&[0, 0, 9]), 3), None);
    assert_eq!(plan(&voters(&[0, 0, 0, 9, 9]), 5), None);
    assert_eq!(plan(&voters(&[0, 9, 9, 9, 9]), 1), None);
}

/// A replica that restarts without its disk has a new identity; the previous one never returns.
#[test]
fn voter_whose_disk_was_lost_is_replaced_by_the_learner_at_its_address() {
    let mut members = voters(&[0, 0, 0, 0, 2]);
    members.push(member(9, 5, MemberRole::Learner, 0));
    assert_eq!(plan(&members, 3), remove(4));
    // If three voters must remain, the learner is promoted before the lost voter is removed.
    let mut three = voters(&[0, 0, 2]);
    three.push(member(9, 3, MemberRole::Learner, 0));
    assert_eq!(plan(&three, 3), promote(9));
    three[3] = member(9, 3, MemberRole::Voter, 0);
    assert_eq!(plan(&three, 3), remove(2));
    // A learner at another address does not replace a voter that was away for so short a time.
    members[5] = member(9, 77, MemberRole::Learner, 0);
    assert_eq!(plan(&members, 3), None);
}

#[test]
fn learner_inactive_beyond_its_timeout_is_removed() {
    let mut members = voters(&[0, 0, 0]);
    members.push(member(9, 77, MemberRole::Learner, 21));
    assert_eq!(plan(&members, 3), remove(9));
}

/// Pattern: a core of 19 replicas. Guards against all of them voting: a leader then waits for ten
/// answers, and an election for ten votes.
#[test]
fn only_as_many_voters_as_needed_are_promoted_and_spread_over_the_domains() {
    let domains = ["a", "b", "c", "d", "e", "f"];
    let mut members: Vec<MemberHealth> = (0..19)
        .map(|n| {
            let role = if n < 3 { MemberRole::Voter } else { MemberRole::Learner };
            in_domain(member(n, n as u16 + 1, role, 0), domains[n as usize % 6])
        })
        .collect();
    let limits = VoterLimits::for_losses(2);
    let mut changes = 0;
    while let Some(change) = plan_membership_change(&members, LEADER, limits) {
        let MembershipChange::Promote(id) = change else { panic!("{change:?}") };
        let promoted = members.iter_mut().find(|m| m.status.member.id == id).expect("member");
        promoted.status.member.role = MemberRole::Voter;
        changes += 1;
        assert!(changes <= 4, "more than seven voters");
    }
    assert_eq!(changes, 4);
    for domain in domains {
        let domain = domain.parse().ok();
        let is_voter_here = |m: &&MemberHealth| {
            m.status.member.role == MemberRole::Voter && m.status.member.domain == domain
        };
        let count = members.iter().filter(is_voter_here).count();
        assert!((1..=2).contains(&count), "{domain:?} has {count} voters");
    }
}

/// Pattern: a replica is exchanged for an empty one at another address, and soon after a failure
/// domain is lost. Guards against a group that still counts the absent voter by then.
#[test]
fn absent_voter_is_replaced_by_a_learner_before_the_loss_timeout() {
    let mut members = voters(&[0, 0, 0, 0, 4]);
    members.push(member(9, 77, MemberRole::Learner, 0));
    assert_eq!(plan(&members, 3), promote(9));
    members[5] = member(9, 77, MemberRole::Voter, 0);
    assert_eq!(plan(&members, 3), demote(4));
    // A learner that lacks entries or is silent takes no one's place.
    let mut lagging = member(9, 77, MemberRole::Learner, 0);
    lagging.status.lag = Some(1_000);
    members[5] = lagging;
    assert_eq!(plan(&members, 3), None);
    members[5] = member(9, 77, MemberRole::Learner, 3);
    assert_eq!(plan(&members, 3), None);
}

/// Pattern: a failure domain was lost for long and is back. Guards against a domain that keeps a
/// majority of the voters, so that its loss would stop the group.
#[test]
fn voters_move_to_a_domain_that_has_returned() {
    let mut members: Vec<MemberHealth> = voters(&[0; 7])
        .into_iter()
        .enumerate()
        .map(|(n, voter)| in_domain(voter, if n < 4 { "a" } else { "b" }))
        .collect();
    members
        .extend((7..11).map(|n| in_domain(member(n, n as u16 + 1, MemberRole::Learner, 0), "c")));
    let limits = VoterLimits::for_losses(2);
    let mut steps = 0;
    while let Some(change) = plan_membership_change(&members, LEADER, limits) {
        let (id, role) = match change {
            MembershipChange::Promote(id) => (id, MemberRole::Voter),
            MembershipChange::Demote(id) => (id, MemberRole::Learner),
            other => panic!("{other:?}"),
        };
        assert_ne!((id, role), (LEADER, MemberRole::Learner), "the leader is not demoted");
        let changed = members.iter_mut().find(|m| m.status.member.id == id).expect("member");
        changed.status.member.role = role;
        steps += 1;
        assert!(steps <= 8, "the plan does not settle");
    }
    let count = |domain: &str| {
        let domain = domain.parse().ok();
        let is_voter_here = |m: &&MemberHealth| {
            m.status.member.role == MemberRole::Voter && m.status.member.domain == domain
        };
        members.iter().filter(is_voter_here).count()
    };
    let counts = [count("a"), count("b"), count("c")];
    assert_eq!(counts.iter().sum::<usize>(), 7);
    assert!(counts.iter().all(|count| *count <= 3), "one loss takes the quorum: {counts:?}");
}

/// Guards against an answer with a single entry, which leaves the caller no alternative when that
/// entry fails.
#[test]
fn directory_returns_only_the_callers_domain_if_it_has_two_serving_entries() {
    let mut state = ClusterState::default();
    let mut put = |name: &str, domain: &str, port: u16, serving: bool| {
        let address = SocketAddr::from(([10, 0, 0, 2], port));
        let info = EntryInfo {
            name: name.parse().expect("name"),
            domain: domain.parse().expect("name"),
            incarnation: EntryIncarnation(1),
            caller_address: address,
            server_address: address,
            peer_address: address,
            operator_address: address,
            serving,
            owns_shards: false,
        };
        state.apply(LogTime(0), &Command::PutEntry(info));
    };
    put("e1", "north", 1, true);
    put("e2", "north", 2, true);
    put("e3", "south", 3, true);
    put("e4", "south", 4, false);
    let ports = |domain: &str, limit: usize| -> Vec<u16> {
        let domain = domain.parse().expect("name");
        let entries = directory_entries(state.view(), Some(&domain), limit);
        entries.iter().map(SocketAddr::port).collect()
    };
    assert_eq!(ports("north", 64), [1, 2]);
    assert_eq!(ports("south", 64), [1, 2, 3], "one entry alone is too few");
    assert_eq!(ports("south", 2), [1, 2]);
    assert_eq!(ports("nowhere", 64), [1, 2, 3]);
}
