//! Entries that stay in memory after a snapshot.

use hawthornhill_consensus::{
    Consensus, CoreSettings, HardState, LogIndex, Member, MemberRole, Membership, ReplicaId,
    RestoredState, RetainedLog, SnapshotImage, Term,
};
use std::sync::Arc;
use types::{CallerLimits, Command, LogTime, RoutingDocument, RoutingVersion};

const TEXT_BYTES: usize = 300 * 1024;
const DOCUMENTS: u64 = 100;
const RETAINED_BYTES: usize = 4 * 1024 * 1024;

/// Starts the only voter of a group, which elects itself.
fn start_leader() -> Consensus {
    let id = ReplicaId(1);
    let member = Member {
        id,
        host: "core-1".parse().expect("name"),
        address: ([10, 0, 0, 1], 1).into(),
        domain: None,
        role: MemberRole::Voter,
    };
    let image = SnapshotImage {
        index: LogIndex(1),
        term: Term(1),
        time: LogTime::default(),
        membership: Membership::new(vec![member]),
        state: Arc::from([]),
    };
    let restored = RestoredState {
        hard_state: HardState { term: Term(1), voted_for: None },
        image: Some(image),
        entries: Vec::new(),
    };
    let mut core = Consensus::new(id, CoreSettings::default(), restored);
    while !core.is_leader() {
        core.tick();
        commit(&mut core);
    }
    commit(&mut core);
    core
}

/// Carries out all effects, which commits the proposed entries.
fn commit(core: &mut Consensus) {
    loop {
        core.replicate();
        let effects = core.take_effects();
        if effects.is_empty() {
            return;
        }
        if let Some(entry) = effects.entries.last() {
            core.mark_persisted(entry.index);
        }
    }
}

fn put_routing(version: u64) -> Command {
    let document = RoutingDocument {
        version: RoutingVersion(version),
        routes: Vec::new(),
        pools: Vec::new(),
        limits: CallerLimits::default(),
    };
    Command::PutRouting(Arc::new(document), "x".repeat(TEXT_BYTES).into())
}

/// Guards against replicas that go over their memory limit although they make snapshots, since the
/// number of entries that stay is limited, but not their size.
#[test]
fn large_entries_are_dropped_after_a_snapshot() {
    let mut core = start_leader();
    for version in 1..=DOCUMENTS {
        core.propose(LogTime(version), put_routing(version)).expect("leads");
        commit(&mut core);
    }
    assert_eq!(core.commit(), core.last_index());
    let retained = RetainedLog { entries: 4_096, bytes: RETAINED_BYTES };
    core.compact(core.commit(), Arc::from([]), retained).expect("a snapshot");
    let kept = core.entries().len();
    assert!(kept > 0, "followers that lag slightly need the last entries");
    assert!(kept * TEXT_BYTES <= RETAINED_BYTES, "{kept} entries of {TEXT_BYTES} bytes are kept");
    assert_eq!(core.entries().last().map(|entry| entry.index), Some(core.last_index()));
}
