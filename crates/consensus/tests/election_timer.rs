//! How long a replica waits for a leader: shortly after its start, long once it has heard of one.

use hawthornhill_consensus::{
    Consensus, CoreSettings, Envelope, HardState, LogIndex, Member, MemberRole, Membership,
    Message, ReplicaId, ReplicaRole, Restored, SnapshotImage, Term,
};
use types::LogTime;

fn started(seed: u64) -> Consensus {
    let member = |id: u64| Member {
        id: ReplicaId(id),
        host: format!("core-{id}").parse().expect("name"),
        address: ([10, 0, 0, 1], id as u16).into(),
        role: MemberRole::Voter,
    };
    let image = SnapshotImage {
        index: LogIndex(1),
        term: Term(1),
        time: LogTime::default(),
        membership: Membership::new((1..=3).map(member).collect()),
        state: Vec::new().into(),
    };
    let hard_state = HardState { term: Term(1), voted_for: None };
    let restored = Restored { hard_state, image: Some(image), entries: Vec::new() };
    Consensus::new(ReplicaId(1), CoreSettings { seed, ..CoreSettings::default() }, restored)
}

#[test]
fn replica_that_has_just_started_stands_soon() {
    for seed in 0..50 {
        let mut core = started(seed);
        let settings = CoreSettings::default();
        (0..=2 * settings.first_election_ticks).for_each(|_| core.tick());
        assert_ne!(core.role(), ReplicaRole::Follower, "seed {seed}");
    }
}

/// Found by a test of the replica beside a build: a follower kept the short timer after it had heard
/// of its leader, and stood whenever a heartbeat was a little late.
#[test]
fn replica_that_has_heard_of_a_leader_waits_the_whole_timeout() {
    for seed in 0..50 {
        let mut core = started(seed);
        let message = Message::Append {
            prev_index: LogIndex(1),
            prev_term: Term(1),
            entries: Vec::new(),
            commit: LogIndex(1),
            round: 0,
        };
        let (from, to) = (ReplicaId(2), ReplicaId(1));
        core.step(Envelope { from, to, term: Term(1), message });
        for tick in 1..CoreSettings::default().election_ticks {
            core.tick();
            assert_eq!(core.role(), ReplicaRole::Follower, "seed {seed}, tick {tick}");
        }
    }
}
