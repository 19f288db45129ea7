//! Quorum rounds, which confirm that a leader still leads when it serves a read.

use hawthornhill_consensus::{
    AppendResult, Consensus, CoreSettings, Effects, Envelope, HardState, LogIndex, Member,
    MemberRole, Membership, Message, ReadToken, ReplicaId, RestoredState, SnapshotImage, Term,
};
use std::sync::Arc;
use types::LogTime;

const LEADER: ReplicaId = ReplicaId(1);
const FOLLOWER: ReplicaId = ReplicaId(2);

/// Starts a voter of a group of three in a term.
fn start(id: ReplicaId, term: u64) -> Consensus {
    let member = |id: u64| Member {
        id: ReplicaId(id),
        host: format!("core-{id}").parse().expect("name"),
        address: ([10, 0, 0, 1], id as u16).into(),
        domain: None,
        role: MemberRole::Voter,
    };
    let image = SnapshotImage {
        index: LogIndex(1),
        term: Term(1),
        time: LogTime::default(),
        membership: Membership::new((1..=3).map(member).collect()),
        state: Arc::from([]),
    };
    let hard_state = HardState { term: Term(term), voted_for: None };
    let restored = RestoredState { hard_state, image: Some(image), entries: Vec::new() };
    Consensus::new(id, CoreSettings::default(), restored)
}

fn take_effects(core: &mut Consensus) -> Effects {
    core.replicate();
    let effects = core.take_effects();
    if let Some(entry) = effects.entries.last() {
        core.mark_persisted(entry.index);
    }
    effects
}

fn answer(core: &mut Consensus, message: Message) {
    let (from, to, term) = (FOLLOWER, core.id(), core.term());
    core.step(Envelope { from, to, term, message });
}

/// Starts a leader whose first entry is committed, in the term after `term`.
fn start_leader(term: u64) -> Consensus {
    let mut leader = start(LEADER, term);
    while !leader.is_leader() {
        leader.tick();
        for envelope in take_effects(&mut leader).messages {
            let granted = true;
            let (from, to) = (envelope.to, LEADER);
            let message = match envelope.message {
                Message::PreVote { .. } => Message::PreVoteAnswer { granted },
                Message::Vote { .. } => Message::VoteAnswer { granted },
                _ => continue,
            };
            leader.step(Envelope { from, to, term: envelope.term, message });
        }
    }
    take_effects(&mut leader);
    let result = AppendResult::Matched(leader.last_index());
    answer(&mut leader, Message::AppendAnswer { result, round: 0 });
    take_effects(&mut leader);
    assert_eq!(leader.commit(), leader.last_index());
    leader
}

/// Guards against a read that is served without a quorum: a follower answers an append of an earlier
/// term in its own term, but with the round of the earlier one. A leader of that term that leads again
/// has counted its rounds anew since.
#[test]
fn answer_to_an_append_of_an_earlier_term_confirms_no_read() {
    const EARLIER_TERM: u64 = 4;
    let mut leader = start_leader(EARLIER_TERM);
    let mut follower = start(FOLLOWER, leader.term().0);
    let append = Message::Append {
        prev_index: LogIndex(1),
        prev_term: Term(1),
        entries: Vec::new(),
        commit: LogIndex(1),
        round: 57,
    };
    let (from, to, term) = (LEADER, FOLLOWER, Term(EARLIER_TERM));
    follower.step(Envelope { from, to, term, message: append });
    let answers = take_effects(&mut follower).messages;
    assert_eq!(answers.len(), 1, "a leader of an earlier term is told the newer one");
    leader.queue_read(ReadToken(1)).expect("leads");
    leader.start_read_round();
    take_effects(&mut leader);
    for answer in answers {
        leader.step(answer);
    }
    let reads = take_effects(&mut leader).reads;
    assert!(reads.is_empty(), "served without a quorum: {reads:?}");
    // An answer to the round itself serves the read.
    let result = AppendResult::Matched(leader.last_index());
    answer(&mut leader, Message::AppendAnswer { result, round: 1 });
    assert_eq!(take_effects(&mut leader).reads.len(), 1);
}
