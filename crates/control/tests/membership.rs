//! Which member is replaced next, and which entries callers are told of.

use consensus::{Member, MemberRole, MembershipChange, ReplicaId};
use hawthornhill_control::{MemberHealth, directory_entries, plan_member_change};
use replica::MemberStatus;
use std::{net::SocketAddr, time::Duration};
use types::{ClusterState, Command, EntryIncarnation, EntryInfo, LogTime};

fn member(id: u64, port: u16, role: MemberRole, silent_s: u64) -> MemberHealth {
    let address = SocketAddr::from(([10, 0, 0, 1], port));
    let host = format!("core-{id}").parse().expect("name");
    let member = Member { id: ReplicaId(id), host, address, role };
    let status = MemberStatus { member, lag: Some(0), is_active: Some(silent_s == 0) };
    MemberHealth { status, silence: Duration::from_secs(silent_s) }
}

fn voters(silences: &[u64]) -> Vec<MemberHealth> {
    let numbered = silences.iter().enumerate();
    numbered.map(|(n, s)| member(n as u64, n as u16 + 1, MemberRole::Voter, *s)).collect()
}

fn remove(id: u64) -> Option<MembershipChange> {
    Some(MembershipChange::Remove(ReplicaId(id)))
}

#[test]
fn voter_is_removed_only_after_a_long_silence_and_while_enough_others_are_active() {
    assert_eq!(plan_member_change(&voters(&[0, 0, 0, 0, 0]), 3), None);
    assert_eq!(plan_member_change(&voters(&[0, 0, 0, 0, 5]), 3), None);
    assert_eq!(plan_member_change(&voters(&[0, 0, 0, 0, 9]), 3), remove(4));
    // Two lost: the first may go, since three of the four that remain are active.
    assert_eq!(plan_member_change(&voters(&[0, 0, 0, 9, 9]), 3), remove(3));
    // Three voters are the least where one loss must be borne.
    assert_eq!(plan_member_change(&voters(&[0, 0, 9]), 3), None);
    assert_eq!(plan_member_change(&voters(&[0, 0, 0, 9, 9]), 5), None);
    assert_eq!(plan_member_change(&voters(&[0, 9, 9, 9, 9]), 1), None);
}

#[test]
fn voter_whose_disk_was_lost_is_replaced_by_the_learner_at_its_address() {
    let mut members = voters(&[0, 0, 0, 0, 2]);
    members.push(member(9, 5, MemberRole::Learner, 0));
    assert_eq!(plan_member_change(&members, 3), remove(4));
    // Where three voters must remain, the new one is promoted first; the former goes right after.
    let mut three = voters(&[0, 0, 2]);
    three.push(member(9, 3, MemberRole::Learner, 0));
    assert_eq!(plan_member_change(&three, 3), None);
    three[3] = member(9, 3, MemberRole::Voter, 0);
    assert_eq!(plan_member_change(&three, 3), remove(2));
    // A learner at another address replaces nobody.
    members[5] = member(9, 77, MemberRole::Learner, 0);
    assert_eq!(plan_member_change(&members, 3), None);
}

#[test]
fn learner_that_does_not_come_back_is_forgotten() {
    let mut members = voters(&[0, 0, 0]);
    members.push(member(9, 77, MemberRole::Learner, 21));
    assert_eq!(plan_member_change(&members, 3), remove(9));
}

#[test]
fn directory_prefers_the_callers_domain_where_it_has_two_entries() {
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
