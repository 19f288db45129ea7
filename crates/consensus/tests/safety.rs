//! Safety of the consensus core under message loss, delay, duplication and reordering, network
//! partitions, crashes between write and sync, and lost disks. `InvariantChecker` checks every
//! step.

mod group;

use group::{FaultPlan, SimulatedGroup, member};
use hawthornhill_consensus::{
    AppendResult, Consensus, ConsensusError, CoreSettings, Envelope, HardState, LogEntry, LogIndex,
    LogPayload, MemberRole, Membership, MembershipChange, MembershipError, Message, ReadToken,
    ReplicaId, RestoredState, SnapshotImage, Term,
};
use std::sync::Arc;
use types::LogTime;

#[test]
fn committed_entries_survive_faults() {
    for seed in 0..60 {
        let count = 3 + seed % 3;
        let mut group = SimulatedGroup::new(count, seed, FaultPlan::ALL_FAULTS);
        for _ in 0..800 {
            group.step();
            group.propose();
        }
        group.verify_progress();
        assert!(group.checker.committed_count() > 20, "too little progress, seed {seed}");
    }
}

#[test]
fn group_without_faults_keeps_its_leader_and_commits_all_entries() {
    let mut group = SimulatedGroup::new(3, 1, FaultPlan::NO_FAULTS);
    group.run(40);
    let leader = group.leader().expect("leader");
    let term = group.core(leader).expect("up").term();
    for _ in 0..100 {
        group.propose().expect("leader accepts the command");
        group.step();
    }
    group.run(10);
    assert_eq!(group.leader(), Some(leader));
    let core = group.core(leader).expect("up");
    assert_eq!(core.term(), term);
    assert_eq!(core.commit(), core.last_index());
}

/// Without a pre-vote, an isolated replica would raise its term and depose the leader on return.
#[test]
fn isolated_replica_does_not_depose_the_leader_when_it_rejoins() {
    for seed in 0..20 {
        let mut group = SimulatedGroup::new(3, seed, FaultPlan::NO_FAULTS);
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

/// A leader that cannot reach a quorum may have been replaced, so a read from it could be stale.
#[test]
fn isolated_leader_steps_down_and_serves_no_read() {
    for seed in 0..20 {
        let mut group = SimulatedGroup::new(3, seed, FaultPlan::NO_FAULTS);
        group.run(40);
        let old_leader = group.leader().expect("leader");
        group.isolate(old_leader);
        group.core(old_leader).expect("up").queue_read(ReadToken(7)).expect("still leads");
        group.run(100);
        assert!(!group.core(old_leader).expect("up").is_leader(), "seed {seed}");
        assert!(group.reads.is_empty(), "a read was served without a quorum, seed {seed}");
        let new_leader = group.leader().expect("new leader");
        assert_ne!(new_leader, old_leader);
        group.core(new_leader).expect("up").queue_read(ReadToken(8)).expect("leads");
        group.run(10);
        assert!(
            group.reads.iter().any(|(id, token, _)| *id == new_leader && *token == ReadToken(8))
        );
    }
}

/// A read served at a lower index could miss a write that was already confirmed.
#[test]
fn read_index_covers_all_entries_committed_before_the_read() {
    for seed in 0..30 {
        let mut group = SimulatedGroup::new(5, seed, FaultPlan::ALL_FAULTS);
        let mut queued_reads = Vec::new();
        for number in 0..600 {
            group.propose();
            if let Some(leader) = group.leader() {
                let committed = LogIndex(group.checker.committed_count() as u64 + 1);
                let core = group.core(leader).expect("up");
                if core.queue_read(ReadToken(number)).is_ok() {
                    queued_reads.push((leader, ReadToken(number), committed));
                }
            }
            group.step();
        }
        for (leader, token, committed) in queued_reads {
            let served_read = group.reads.iter().find(|read| (read.0, read.1) == (leader, token));
            if let Some((_, _, index)) = served_read {
                assert!(*index >= committed, "stale read {token:?}, seed {seed}");
            }
        }
    }
}

#[test]
fn leadership_transfer_does_not_wait_for_an_election_timeout() {
    let mut group = SimulatedGroup::new(3, 3, FaultPlan::NO_FAULTS);
    group.run(40);
    let old_leader = group.leader().expect("leader");
    let chosen = group.core(old_leader).expect("up").transfer_leadership().expect("a follower");
    group.run(6);
    assert_eq!(group.leader(), Some(chosen));
    assert!(!group.core(old_leader).expect("up").is_leader());
}

/// Removes a replica with its disk, and replaces it with one that has an empty disk and a new
/// identity.
fn replace_lost_replica(group: &mut SimulatedGroup, lost: ReplicaId, new: u64) {
    group.remove(lost);
    group.add_empty_replica(new);
    let mut changes = [
        MembershipChange::AddLearner(member(new, MemberRole::Learner)),
        MembershipChange::Promote(ReplicaId(new)),
        MembershipChange::Remove(lost),
    ]
    .into_iter()
    .peekable();
    for _ in 0..4_000 {
        let Some(change) = changes.peek() else { break };
        // A change that was accepted can be lost with its leader, so it is proposed again until it
        // is committed; a repeated proposal may be refused.
        let is_done = group.leader().and_then(|leader| {
            let core = group.core(leader)?;
            let (members, commit) = (core.membership_at(core.commit()), core.commit());
            let is_committed = match change {
                MembershipChange::AddLearner(member) => members.get(member.id).is_some(),
                MembershipChange::Promote(id) => members.is_voter(*id),
                MembershipChange::Demote(id) => !members.is_voter(*id),
                MembershipChange::Update(member) => members.get(member.id) == Some(member),
                MembershipChange::Remove(id) => members.get(*id).is_none(),
            };
            Some(is_committed && commit > LogIndex(1))
        });
        if is_done == Some(true) {
            changes.next();
            continue;
        }
        let change = change.clone();
        let _ = group.change_membership(&change);
        group.step();
        group.propose();
    }
    assert!(changes.peek().is_none(), "the replacement is not complete after 4000 steps");
}

/// Guards against a replacement that becomes a voter before it holds all committed entries: the loss
/// of another disk could then lose some of them.
#[test]
fn second_disk_loss_after_a_replacement_loses_no_committed_entry() {
    for seed in 0..30 {
        let plan = FaultPlan {
            crash_before_sync_permille: 0,
            partition_permille: 0,
            ..FaultPlan::ALL_FAULTS
        };
        let mut group = SimulatedGroup::new(3, seed, plan);
        for _ in 0..100 {
            group.step();
            group.propose();
        }
        replace_lost_replica(&mut group, ReplicaId(1), 11);
        replace_lost_replica(&mut group, ReplicaId(2), 12);
        for _ in 0..100 {
            group.step();
            group.propose();
        }
        group.verify_progress();
    }
}

/// A voter that lacks entries cannot take over, so it would add no fault tolerance.
#[test]
fn learner_that_lacks_entries_is_not_promoted() {
    let mut group = SimulatedGroup::new(3, 5, FaultPlan::NO_FAULTS);
    group.run(40);
    for _ in 0..50 {
        group.propose();
        group.step();
    }
    let add = MembershipChange::AddLearner(member(9, MemberRole::Learner));
    group.change_membership(&add).expect("leader").expect("accepted");
    group.run(10);
    let result = group.change_membership(&MembershipChange::Promote(ReplicaId(9)));
    let not_caught_up = ConsensusError::Membership(MembershipError::NotCaughtUp(ReplicaId(9)));
    assert_eq!(result, Some(Err(not_caught_up)), "the learner is not running yet");
    group.add_empty_replica(9);
    group.run(60);
    let result = group.change_membership(&MembershipChange::Promote(ReplicaId(9)));
    assert!(matches!(result, Some(Ok(_))), "{result:?}");
}

/// Two changes at once could create two quorums that do not overlap.
#[test]
fn second_membership_change_is_refused_while_one_is_in_progress() {
    let mut group = SimulatedGroup::new(3, 6, FaultPlan::NO_FAULTS);
    group.run(40);
    let leader = group.leader().expect("leader");
    group.isolate(leader);
    let add = |id| MembershipChange::AddLearner(member(id, MemberRole::Learner));
    assert!(matches!(group.change_membership(&add(9)), Some(Ok(_))));
    let refused = Some(Err(ConsensusError::Membership(MembershipError::ChangeInProgress)));
    assert_eq!(group.change_membership(&add(10)), refused);
}

/// A replica that lost its disk may have voted or acknowledged entries under its old identity. Its
/// replacement has a new identity that is not a member, so it must not count towards a quorum.
#[test]
fn replacement_with_an_empty_disk_has_no_vote() {
    let mut group = SimulatedGroup::new(3, 8, FaultPlan::NO_FAULTS);
    group.run(40);
    let leader = group.leader().expect("leader");
    let others: Vec<_> = group.ids().into_iter().filter(|id| *id != leader).collect();
    // One follower is lost permanently. Its replacement has an empty disk and is not a member.
    group.remove(others[0]);
    group.add_empty_replica(42);
    // With the leader isolated, the one remaining voter must not be elected.
    group.isolate(leader);
    group.run(300);
    assert!(!group.core(others[1]).expect("up").is_leader());
    assert!(!group.core(ReplicaId(42)).expect("up").is_leader());
}

/// Returns one of three voters, just elected in term 2. Its log holds an uncommitted entry of term
/// 1 at index 2 and the first entry of its own term at index 3.
fn leader_with_entry_of_earlier_term() -> Consensus {
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
    let restored = RestoredState { hard_state, image: Some(image), entries: vec![entry] };
    let mut core = Consensus::new(ReplicaId(1), CoreSettings::default(), restored);
    core.step(from_second_replica(1, Message::TimeoutNow));
    core.step(from_second_replica(2, Message::VoteAnswer { granted: true }));
    assert!(core.is_leader());
    assert_eq!(core.last_index(), LogIndex(3));
    core
}

fn from_second_replica(term: u64, message: Message) -> Envelope {
    Envelope { from: ReplicaId(2), to: ReplicaId(1), term: Term(term), message }
}

fn accepted(index: u64) -> Message {
    Message::AppendAnswer { result: AppendResult::Matched(LogIndex(index)), round: 0 }
}

/// A later leader can still overwrite an entry of an earlier term that is on a quorum.
#[test]
fn entry_of_an_earlier_term_is_committed_only_with_one_of_the_current_term() {
    let mut core = leader_with_entry_of_earlier_term();
    core.mark_persisted(LogIndex(3));
    core.step(from_second_replica(2, accepted(2)));
    assert_eq!(core.commit(), LogIndex(1), "index 2 is on a quorum, but of an earlier term");
    core.step(from_second_replica(2, accepted(3)));
    assert_eq!(core.commit(), LogIndex(3));
}

/// A leader sends entries before it syncs them, and loses them if it crashes in between. Until the
/// sync, it must not count itself towards the quorum.
#[test]
fn leader_counts_its_own_entries_only_once_they_are_durable() {
    let mut core = leader_with_entry_of_earlier_term();
    core.step(from_second_replica(2, accepted(3)));
    assert_eq!(core.commit(), LogIndex(1), "the entry is durable on only one of three replicas");
    core.mark_persisted(LogIndex(3));
    assert_eq!(core.commit(), LogIndex(3));
}

/// If half were enough, a partition into two halves could elect two leaders.
#[test]
fn half_of_an_even_group_is_not_a_quorum() {
    for seed in 0..20 {
        let mut group = SimulatedGroup::new(4, seed, FaultPlan::NO_FAULTS);
        let ids = group.ids();
        for (left, right) in [(0, 2), (0, 3), (1, 2), (1, 3)] {
            group.block_link(ids[left], ids[right]);
            group.block_link(ids[right], ids[left]);
        }
        group.run(300);
        assert_eq!(group.leader(), None, "seed {seed}");
        group.heal();
        group.verify_progress();
    }
}
