//! Safety of the consensus core under loss, delay, duplication, reordering, cuts, crashes between
//! write and sync, and lost disks. Every step is checked by `InvariantChecker`.

mod group;

use group::{FaultPlan, Group, member};
use hawthornhill_consensus::{
    Consensus, ConsensusError, CoreSettings, Envelope, HardState, LogEntry, LogIndex, LogPayload,
    MemberRole, Membership, MembershipChange, MembershipError, Message, ReadToken, ReplicaId,
    Restored, SnapshotImage, Term,
};
use std::sync::Arc;
use types::LogTime;

#[test]
fn committed_entries_survive_storms() {
    for seed in 0..60 {
        let count = 3 + seed % 3;
        let mut group = Group::new(count, seed, FaultPlan::STORM);
        for _ in 0..800 {
            group.step();
            group.propose();
        }
        group.settle();
        assert!(group.check.committed_count() > 20, "too little progress, seed {seed}");
    }
}

#[test]
fn a_group_without_faults_elects_once_and_commits_all() {
    let mut group = Group::new(3, 1, FaultPlan::CALM);
    group.run(40);
    let leader = group.leader().expect("leader");
    let term = group.core(leader).expect("up").term();
    for _ in 0..100 {
        group.propose().expect("leader takes commands");
        group.step();
    }
    group.run(10);
    assert_eq!(group.leader(), Some(leader));
    let core = group.core(leader).expect("up");
    assert_eq!(core.term(), term);
    assert_eq!(core.commit(), core.last_index());
}

#[test]
fn a_cut_off_replica_does_not_disturb_the_leader_when_it_returns() {
    for seed in 0..20 {
        let mut group = Group::new(3, seed, FaultPlan::CALM);
        group.run(40);
        let leader = group.leader().expect("leader");
        let term = group.core(leader).expect("up").term();
        let other = group.ids().into_iter().find(|id| *id != leader).expect("other");
        group.isolate(other);
        group.run(200);
        group.heal();
        group.run(100);
        assert_eq!(group.leader(), Some(leader), "seed {seed}");
        assert_eq!(group.core(leader).expect("up").term(), term, "seed {seed}");
    }
}

#[test]
fn a_cut_off_leader_steps_down_and_serves_no_read() {
    for seed in 0..20 {
        let mut group = Group::new(3, seed, FaultPlan::CALM);
        group.run(40);
        let old = group.leader().expect("leader");
        group.isolate(old);
        group.core(old).expect("up").read(ReadToken(7)).expect("leads still");
        group.run(100);
        assert!(!group.core(old).expect("up").is_leader(), "seed {seed}");
        assert!(group.reads.is_empty(), "a read was served without a quorum, seed {seed}");
        let new = group.leader().expect("new leader");
        assert_ne!(new, old);
        group.core(new).expect("up").read(ReadToken(8)).expect("leads");
        group.run(10);
        assert!(group.reads.iter().any(|(id, token, _)| *id == new && *token == ReadToken(8)));
    }
}

#[test]
fn a_read_index_covers_all_that_was_committed_before_it() {
    for seed in 0..30 {
        let mut group = Group::new(5, seed, FaultPlan::STORM);
        let mut asked = Vec::new();
        for number in 0..600 {
            group.propose();
            if let Some(leader) = group.leader() {
                let committed = LogIndex(group.check.committed_count() as u64 + 1);
                let core = group.core(leader).expect("up");
                if core.read(ReadToken(number)).is_ok() {
                    asked.push((leader, ReadToken(number), committed));
                }
            }
            group.step();
        }
        for (leader, token, committed) in asked {
            let served = group.reads.iter().find(|read| (read.0, read.1) == (leader, token));
            if let Some((_, _, index)) = served {
                assert!(*index >= committed, "stale read {token:?}, seed {seed}");
            }
        }
    }
}

#[test]
fn leadership_is_transferred_without_waiting_for_a_timeout() {
    let mut group = Group::new(3, 3, FaultPlan::CALM);
    group.run(40);
    let old = group.leader().expect("leader");
    let chosen = group.core(old).expect("up").transfer_leadership().expect("a follower");
    group.run(6);
    assert_eq!(group.leader(), Some(chosen));
    assert!(!group.core(old).expect("up").is_leader());
}

/// Replaces a lost replica by one with an empty disk under a new identity.
fn repair(group: &mut Group, lost: ReplicaId, new: u64) {
    group.lose(lost);
    group.add_empty(new);
    let mut steps = [
        MembershipChange::AddLearner(member(new, MemberRole::Learner)),
        MembershipChange::Promote(ReplicaId(new)),
        MembershipChange::Remove(lost),
    ]
    .into_iter()
    .peekable();
    for _ in 0..4_000 {
        let Some(change) = steps.peek() else { break };
        // A change that was taken but lost with its leader is refused or must be asked for again.
        let is_done = group.leader().and_then(|leader| {
            let core = group.core(leader)?;
            let (members, commit) = (core.membership_at(core.commit()), core.commit());
            let is_in_force = match change {
                MembershipChange::AddLearner(member) => members.get(member.id).is_some(),
                MembershipChange::Promote(id) => members.is_voter(*id),
                MembershipChange::Remove(id) => members.get(*id).is_none(),
            };
            Some(is_in_force && commit > LogIndex(1))
        });
        if is_done == Some(true) {
            steps.next();
            continue;
        }
        let change = change.clone();
        let _ = group.change_membership(&change);
        group.step();
        group.propose();
    }
    assert!(steps.peek().is_none(), "the repair did not end");
}

#[test]
fn a_second_loss_right_after_a_repair_loses_nothing() {
    for seed in 0..30 {
        let plan = FaultPlan { crash_before_sync_permille: 0, cut_permille: 0, ..FaultPlan::STORM };
        let mut group = Group::new(3, seed, plan);
        for _ in 0..100 {
            group.step();
            group.propose();
        }
        repair(&mut group, ReplicaId(1), 11);
        repair(&mut group, ReplicaId(2), 12);
        for _ in 0..100 {
            group.step();
            group.propose();
        }
        group.settle();
    }
}

#[test]
fn a_learner_that_lacks_entries_is_not_made_a_voter() {
    let mut group = Group::new(3, 5, FaultPlan::CALM);
    group.run(40);
    for _ in 0..50 {
        group.propose();
        group.step();
    }
    let add = MembershipChange::AddLearner(member(9, MemberRole::Learner));
    group.change_membership(&add).expect("leader").expect("accepted");
    group.run(10);
    let result = group.change_membership(&MembershipChange::Promote(ReplicaId(9)));
    let behind = ConsensusError::Membership(MembershipError::NotCaughtUp(ReplicaId(9)));
    assert_eq!(result, Some(Err(behind)), "the learner does not even run");
    group.add_empty(9);
    group.run(60);
    let result = group.change_membership(&MembershipChange::Promote(ReplicaId(9)));
    assert!(matches!(result, Some(Ok(_))), "{result:?}");
}

#[test]
fn only_one_membership_change_is_in_progress() {
    let mut group = Group::new(3, 6, FaultPlan::CALM);
    group.run(40);
    let leader = group.leader().expect("leader");
    group.isolate(leader);
    let add = |id| MembershipChange::AddLearner(member(id, MemberRole::Learner));
    assert!(matches!(group.change_membership(&add(9)), Some(Ok(_))));
    let busy = Some(Err(ConsensusError::Membership(MembershipError::ChangeInProgress)));
    assert_eq!(group.change_membership(&add(10)), busy);
}

#[test]
fn an_empty_replica_votes_under_no_old_identity() {
    let mut group = Group::new(3, 8, FaultPlan::CALM);
    group.run(40);
    let leader = group.leader().expect("leader");
    let others: Vec<_> = group.ids().into_iter().filter(|id| *id != leader).collect();
    // One follower is lost for good; its empty successor is no member.
    group.lose(others[0]);
    group.add_empty(42);
    // With the leader cut off, the last voter alone must not be elected.
    group.isolate(leader);
    group.run(300);
    assert!(!group.core(others[1]).expect("up").is_leader());
    assert!(!group.core(ReplicaId(42)).expect("up").is_leader());
}

/// Returns a voter of three that has one entry of term 1, uncommitted, and has just been elected in
/// term 2, with its own first entry at index 3.
fn leader_with_an_old_entry() -> Consensus {
    let members = (1..=3).map(|id| member(id, MemberRole::Voter)).collect();
    let image = SnapshotImage {
        index: LogIndex(1),
        term: Term(1),
        time: LogTime(0),
        membership: Membership::new(members),
        state: Arc::from([]),
    };
    let entry =
        LogEntry { term: Term(1), index: LogIndex(2), time: LogTime(0), payload: LogPayload::Noop };
    let hard_state = HardState { term: Term(1), voted_for: None };
    let restored = Restored { hard_state, image: Some(image), entries: vec![entry] };
    let mut core = Consensus::new(ReplicaId(1), CoreSettings::default(), restored);
    core.step(from_two(1, Message::TimeoutNow));
    core.step(from_two(2, Message::VoteAnswer { granted: true }));
    assert!(core.is_leader());
    assert_eq!(core.last_index(), LogIndex(3));
    core
}

fn from_two(term: u64, message: Message) -> Envelope {
    Envelope { from: ReplicaId(2), to: ReplicaId(1), term: Term(term), message }
}

fn accepted(index: u64) -> Message {
    Message::AppendAnswer { index: LogIndex(index), accepted: true, round: 0 }
}

#[test]
fn an_entry_of_a_former_term_is_committed_only_with_one_of_the_current() {
    let mut core = leader_with_an_old_entry();
    core.persisted(LogIndex(3));
    core.step(from_two(2, accepted(2)));
    assert_eq!(core.commit(), LogIndex(1), "a quorum holds index 2, but it is of term 1");
    core.step(from_two(2, accepted(3)));
    assert_eq!(core.commit(), LogIndex(3));
}

#[test]
fn a_leader_counts_its_own_entries_only_once_they_are_synced() {
    let mut core = leader_with_an_old_entry();
    core.step(from_two(2, accepted(3)));
    assert_eq!(core.commit(), LogIndex(1), "one of three is durable");
    core.persisted(LogIndex(3));
    assert_eq!(core.commit(), LogIndex(3));
}

#[test]
fn half_of_an_even_group_is_no_quorum() {
    for seed in 0..20 {
        let mut group = Group::new(4, seed, FaultPlan::CALM);
        let ids = group.ids();
        for (left, right) in [(0, 2), (0, 3), (1, 2), (1, 3)] {
            group.cut(ids[left], ids[right]);
            group.cut(ids[right], ids[left]);
        }
        group.run(300);
        assert_eq!(group.leader(), None, "seed {seed}");
        group.heal();
        group.settle();
    }
}
