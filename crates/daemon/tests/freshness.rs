//! No entry starts work on a view older than two seconds, and accepted changes never revert, while
//! processes are killed, suspended or lose their disks.

use std::{future::Future, time::Duration};
use testkit::{TestSystem, new_key, outcome, sleep_ms, test_document, wait_until};
use types::{
    ChangeAction, ChangeAnswer, ChangeId, ChangeRequest, DocumentVersion, FRESHNESS_LIMIT,
    RefusalKind, TeamDocument,
};
use uuid::Uuid;

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_hawthornhill");

fn limit_ms() -> u64 {
    FRESHNESS_LIMIT.as_millis() as u64
}

#[tokio::test(flavor = "multi_thread")]
async fn entries_close_without_a_quorum_and_reopen_with_one() {
    let mut system = TestSystem::start(PROGRAM, 3, 4).await;
    let server = system.start_server("l-1", "look", "east").await;
    system.wait_until_served(3, "look").await;
    system.group.kill(0).expect("killed");
    system.group.kill(1).expect("killed");
    sleep_ms(limit_ms() + 100).await;
    let before = server.stats().received;
    for _ in 0..20 {
        let answer = system.send_lookup(3).await.expect("answers");
        assert_eq!((answer.status, outcome(&answer)), (503, "not-run"));
        assert!(!answer.header("retry-after").is_empty(), "states when to retry");
        let keyed = system.send_booking(3, &new_key(), "x").await.expect("answers");
        assert_eq!(
            (keyed.status, outcome(&keyed)),
            (503, "unknown"),
            "the entry cannot look up the key"
        );
    }
    assert_eq!(server.stats().received, before);
    system.group.spawn(0).expect("starts");
    system.wait_until_served(3, "look").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_entry_does_not_serve_queued_requests_from_a_stale_view() {
    let system = TestSystem::start(PROGRAM, 3, 4).await;
    let drained = system.start_server("l-1", "look", "east").await;
    let other = system.start_server("l-2", "look", "west").await;
    system.wait_until_warm(3, 2).await;
    system.group.signal(3, "STOP").expect("SIGSTOP is sent");
    // These requests wait in the sockets and queues of the suspended process.
    let mut waiting = tokio::task::JoinSet::new();
    for _ in 0..40 {
        let (client, address) = (system.client.clone(), system.caller_address(3));
        waiting.spawn(async move {
            client.send(address, testkit::HttpRequest::get("/v1/call/look/x")).await
        });
    }
    let answer = system.drain("east", 0).await;
    assert!(matches!(answer, ChangeAnswer::Accepted { .. }));
    sleep_ms(limit_ms()).await;
    let before = drained.stats().received;
    system.group.signal(3, "CONT").expect("SIGCONT is sent");
    while waiting.join_next().await.is_some() {}
    system.wait_until_served(3, "look").await;
    for _ in 0..50 {
        let _ = system.send_lookup(3).await;
    }
    assert_eq!(drained.stats().received, before, "the drained domain got new work");
    assert!(other.stats().received > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_suspended_leader_neither_stops_the_system_nor_reverts_a_change() {
    let system = TestSystem::start(PROGRAM, 3, 4).await;
    let _server = system.start_server("l-1", "look", "west").await;
    system.wait_until_served(3, "look").await;
    let leader = system.leader().await;
    system.group.signal(leader, "STOP").expect("SIGSTOP is sent");
    // A new leader is elected, and entries continue to serve.
    let answer = system.drain("east", 0).await;
    assert_eq!(answer, ChangeAnswer::Accepted { version: DocumentVersion(1) });
    system.wait_until_served(3, "look").await;
    // The change is in force two seconds after it was accepted, and stays in force.
    sleep_ms(limit_ms()).await;
    assert!(has_drain(&system, 3).await, "the change is not in force");
    system.group.signal(leader, "CONT").expect("SIGCONT is sent");
    for _ in 0..20 {
        assert!(has_drain(&system, 3).await, "the change reverted");
        sleep_ms(100).await;
    }
    // The old leader becomes a follower and receives the change.
    wait_until("the old leader has the change", || async {
        let page = system.status(leader).await.and_then(|page| page.replica);
        page.is_some_and(|replica| !replica.is_leader && replica.view.0 > 0)
    })
    .await;
    let again = system.drain("east", 0).await;
    let is_conflict = |answer: &ChangeAnswer| {
        matches!(answer, ChangeAnswer::Refused { kind: RefusalKind::Conflict, .. })
    };
    assert!(is_conflict(&again), "{again:?}");
}

/// Returns whether an entry uses a view with a drain.
async fn has_drain(system: &TestSystem, index: usize) -> bool {
    let endpoint = system.endpoint(index);
    let page = system.operator_client.get::<operator::ViewPage>(&endpoint, "/v1/view/local").await;
    page.expect("answers").drains.iter().any(|drain| drain.is_drained)
}

/// Returns the test document with a timeout; different timeouts make different documents.
fn document_with_timeout(timeout_ms: u32) -> TeamDocument {
    test_document(timeout_ms)
}

#[tokio::test(flavor = "multi_thread")]
async fn accepted_changes_survive_kills_of_the_leader_in_order() {
    let mut system = TestSystem::start(PROGRAM, 3, 3).await;
    let mut version = 1;
    let mut changes = Vec::new();
    for round in 0..4 {
        let leader = system.leader().await;
        for step in 0..5 {
            let change = ChangeRequest {
                id: ChangeId(Uuid::now_v7()),
                expected_version: DocumentVersion(version),
                action: ChangeAction::Document(document_with_timeout(1_000 + 10 * round + step)),
            };
            if step == 3 {
                system.group.kill(leader).expect("killed");
            }
            let answer = system.submit_change(&change).await;
            version += 1;
            assert_eq!(answer, ChangeAnswer::Accepted { version: DocumentVersion(version) });
            changes.push((change, answer));
        }
        system.group.spawn(leader).expect("starts");
    }
    // Each change, resent with its id after the kills, gets its first answer again and has no effect.
    for (change, answer) in &changes {
        assert_eq!(&system.submit_change(change).await, answer);
    }
    wait_until("all entries have the last document", || async {
        let mut is_current = true;
        for index in 0..3 {
            let endpoint = system.endpoint(index);
            let page =
                system.operator_client.get::<operator::ViewPage>(&endpoint, "/v1/view/local").await;
            is_current &= page.is_ok_and(|page| {
                page.documents.iter().all(|known| {
                    known.version == DocumentVersion(version)
                        && known.document == document_with_timeout(1_000 + 10 * 3 + 4)
                })
            });
        }
        is_current
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn one_of_several_concurrent_changes_with_equal_versions_is_accepted() {
    let system = TestSystem::start(PROGRAM, 3, 3).await;
    for round in 0..10_u64 {
        let changes = (0..3_u32).map(|number| {
            let action = ChangeAction::Document(document_with_timeout(2_000 + number));
            system.submit_action(1 + round, action)
        });
        let answers = join_three(changes).await;
        let accepted_count =
            answers.iter().filter(|answer| matches!(answer, ChangeAnswer::Accepted { .. })).count();
        assert_eq!(accepted_count, 1, "{answers:?}");
    }
}

/// Runs three futures concurrently.
async fn join_three<F: Future<Output = ChangeAnswer>>(
    futures: impl Iterator<Item = F>,
) -> Vec<ChangeAnswer> {
    let mut futures = futures.collect::<Vec<_>>().into_iter();
    let mut next = || futures.next().expect("three futures");
    let (a, b, c) = tokio::join!(next(), next(), next());
    vec![a, b, c]
}

#[tokio::test(flavor = "multi_thread")]
async fn the_group_survives_the_loss_of_one_disk_after_another() {
    let mut system = TestSystem::start(PROGRAM, 3, 3).await;
    assert!(matches!(system.drain("east", 0).await, ChangeAnswer::Accepted { .. }));
    for lost in [0, 1] {
        let old = system.status(lost).await.and_then(|page| page.replica).expect("replica").id;
        system.group.kill(lost).expect("killed");
        system.group.delete_data(lost).expect("wiped");
        system.group.spawn(lost).expect("starts");
        wait_until("the empty replica answers", || async { system.status(lost).await.is_some() })
            .await;
        let page = system.status(lost).await.expect("answers");
        let new = page.replica.as_ref().expect("replica").id;
        assert_ne!(new, old, "a replica with an empty disk has a new identity");
        let member = consensus::Member {
            id: new,
            host: page.process.clone(),
            address: page.peer_address,
            domain: None,
            role: consensus::MemberRole::Learner,
        };
        for change in [
            consensus::MembershipChange::AddLearner(member),
            consensus::MembershipChange::Promote(new),
            consensus::MembershipChange::Remove(old),
        ] {
            wait_until("the membership change is accepted", || async {
                let endpoint = system.endpoint(2);
                system
                    .operator_client
                    .post::<_, ()>(&endpoint, "/v1/membership", &change)
                    .await
                    .is_ok()
            })
            .await;
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    let answer = system.drain("east", 0).await;
    let is_conflict = matches!(answer, ChangeAnswer::Refused { kind: RefusalKind::Conflict, .. });
    assert!(is_conflict, "the drain was lost: {answer:?}");
}
