//! Selection of the lost member to remove next, and of the entries that a caller should use.

use consensus::{Member, MemberRole, MembershipChange, ReplicaId};
use hawthornhill_control::{MemberHealth, directory_entries, plan_member_removal};
use replica::MemberStatus;
use std::{net::SocketAddr, time::Duration};
use types::{ClusterState, Command, EntryIncarnation, EntryInfo, LogTime};

fn member(id: u64, port: u16, role: MemberRole, inactive_s: u64) -> MemberHealth {
    let address = SocketAddr::from(([10, 0, 0, 1], port));
    let host = format!("core-{id}").parse().expect("name");
    let member = Member { id: ReplicaId(id), host, address, role };
    let status = MemberStatus { member, lag: Some(0), is_active: Some(inactive_s == 0) };
    MemberHealth { status, inactive_for: Duration::from_secs(inactive_s) }
}

fn voters(inactive_times: &[u64]) -> Vec<MemberHealth> {
    let numbered = inactive_times.iter().enumerate();
    numbered.map(|(n, s)| member(n as u64, n as u16 + 1, MemberRole::Voter, *s)).collect()
}

fn remove(id: u64) -> Option<MembershipChange> {
    Some(MembershipChange::Remove(ReplicaId(id)))
}

/// Guards against the removal of a voter that only restarts, and against a removal after which too
/// few active voters remain.
#[test]
fn voter_is_removed_only_after_the_loss_timeout_and_while_enough_others_are_active() {
    assert_eq!(plan_member_removal(&voters(&[0, 0, 0, 0, 0]), 3), None);
    assert_eq!(plan_member_removal(&voters(&[0, 0, 0, 0, 5]), 3), None);
    assert_eq!(plan_member_removal(&voters(&[0, 0, 0, 0, 9]), 3), remove(4));
    // Two voters are lost. The first may be removed, since three of the four others are active.
    assert_eq!(plan_member_removal(&voters(&[0, 0, 0, 9, 9]), 3), remove(3));
    // Three voters must remain, since fewer would not tolerate the loss of one.
    assert_eq!(plan_member_removal(&voters(&[0, 0, 9]), 3), None);
    assert_eq!(plan_member_removal(&voters(&[0, 0, 0, 9, 9]), 5), None);
    assert_eq!(plan_member_removal(&voters(&[0, 9, 9, 9, 9]), 1), None);
}

/// A replica that restarts without its disk has a new identity; the previous one never returns.
#[test]
fn voter_whose_disk_was_lost_is_replaced_by_the_learner_at_its_address() {
    let mut members = voters(&[0, 0, 0, 0, 2]);
    members.push(member(9, 5, MemberRole::Learner, 0));
    assert_eq!(plan_member_removal(&members, 3), remove(4));
    // If three voters must remain, the learner is promoted before the lost voter is removed.
    let mut three = voters(&[0, 0, 2]);
    three.push(member(9, 3, MemberRole::Learner, 0));
    assert_eq!(plan_member_removal(&three, 3), None);
    three[3] = member(9, 3, MemberRole::Voter, 0);
    assert_eq!(plan_member_removal(&three, 3), remove(2));
    // A learner at another address does not replace a voter.
    members[5] = member(9, 77, MemberRole::Learner, 0);
    assert_eq!(plan_member_removal(&members, 3), None);
}

#[test]
fn learner_inactive_beyond_its_timeout_is_removed() {
    let mut members = voters(&[0, 0, 0]);
    members.push(member(9, 77, MemberRole::Learner, 21));
    assert_eq!(plan_member_removal(&members, 3), remove(9));
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
