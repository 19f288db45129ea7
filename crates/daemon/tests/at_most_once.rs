//! A request that may not be repeated runs at most once, and one answered "not run" did not run, with
//! real processes. Otherwise a booking that is sent again after a lost answer would run twice.

use std::{collections::BTreeMap, future::Future};
use testkit::{FakeMode, TestSystem, execution_count, new_key, outcome, sleep_ms};

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_hawthornhill");

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_and_resent_bookings_run_once() {
    let system = TestSystem::start(PROGRAM, 3, 3).await;
    let first = system.start_server("b-1", "book", "east").await;
    let second = system.start_server("b-2", "book", "west").await;
    let servers = [&first, &second];
    for index in 0..3 {
        system.wait_until_served(index, "book").await;
    }

    // Three entries get a booking with the same key at the same time.
    for _ in 0..30 {
        let key = new_key();
        let (a, b, c) = tokio::join!(
            system.send_booking(0, &key, "x"),
            system.send_booking(1, &key, "x"),
            system.send_booking(2, &key, "x")
        );
        let answers: Vec<_> =
            [a, b, c].into_iter().map(|answer| answer.expect("answers")).collect();
        assert_eq!(execution_count(&servers, &key), 1);
        assert_eq!(answers.iter().filter(|answer| answer.status == 200).count(), 1);
        assert!(answers.iter().all(|answer| outcome(answer) != "not-run"), "it ran");
    }

    // A caller that lost the answer sends the booking to another entry.
    let key = new_key();
    assert_eq!(system.send_booking(0, &key, "x").await.expect("answers").status, 200);
    sleep_ms(300).await;
    let again = system.send_booking(1, &key, "x").await.expect("answers");
    assert_eq!((again.status, outcome(&again)), (409, "ran"));

    // The same key with another body.
    let other = system.send_booking(2, &key, "y").await.expect("answers");
    assert_eq!((other.status, outcome(&other)), (422, "unknown"));
    assert_eq!(execution_count(&servers, &key), 1);

    // A key that is too old, and one that is not a UUIDv7.
    let old = uuid::Builder::from_unix_timestamp_millis(1_000, &[7; 10]).into_uuid().to_string();
    let answer = system.send_booking(0, &old, "x").await.expect("answers");
    assert_eq!((answer.status, outcome(&answer)), (409, "unknown"));
    let bad = uuid::Uuid::from_u128(5).to_string();
    let answer = system.send_booking(0, &bad, "x").await.expect("answers");
    assert_eq!((answer.status, outcome(&answer)), (400, "not-run"));
    assert_eq!(execution_count(&servers, &old) + execution_count(&servers, &bad), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_booking_is_not_sent_again_when_its_answer_is_lost() {
    let system = TestSystem::start(PROGRAM, 3, 2).await;
    let first = system.start_server("b-1", "book", "east").await;
    let second = system.start_server("b-2", "book", "west").await;
    let servers = [&first, &second];
    system.wait_until_served(0, "book").await;
    let cases = [
        (FakeMode::DropAfterRun, 502, "unknown", 1),
        (FakeMode::Truncate, 502, "unknown", 1),
        // The booking does not run, but the entry cannot know that.
        (FakeMode::DropBeforeRun, 502, "unknown", 0),
        (FakeMode::ShedNotRun, 503, "not-run", 0),
    ];
    for (mode, status, expected, count) in cases {
        // Broken answers make servers cold again, so each case first waits until they serve.
        servers.iter().for_each(|server| server.update_behaviour(|b| b.mode = FakeMode::Normal));
        system.wait_until_served(0, "book").await;
        servers.iter().for_each(|server| server.update_behaviour(|b| b.mode = mode));
        let key = new_key();
        let answer = system.send_booking(0, &key, "x").await.expect("answers");
        assert_eq!((answer.status, outcome(&answer)), (status, expected), "{mode:?}");
        assert_eq!(execution_count(&servers, &key), count, "{mode:?}");
        servers.iter().for_each(|server| server.update_behaviour(|b| b.mode = FakeMode::Normal));
        system.wait_until_served(0, "book").await;
        let again = system.send_booking(0, &key, "x").await.expect("answers");
        if expected == "not-run" {
            assert_eq!((again.status, execution_count(&servers, &key)), (200, 1), "{mode:?}");
        } else {
            assert_eq!(outcome(&again), "unknown", "{mode:?}");
            assert_eq!(execution_count(&servers, &key), count, "{mode:?}");
        }
    }
}

/// Sends `count` bookings, each up to 12 times at the entries in turn until its outcome is `ran`, while
/// `fault` runs. Checks that no booking ran twice, and that none ran if all its answers or the last one
/// were `not-run`.
async fn send_bookings_under_faults(
    system: &TestSystem,
    servers: &[&testkit::FakeServer],
    count: usize,
    fault: impl Future<Output = ()>,
) {
    let bookings = async {
        let mut answers: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for number in 0..count {
            let key = new_key();
            for attempt in 0..12 {
                let index = (number + attempt) % system.group.processes.len();
                let answer = system.send_booking(index, &key, "x").await;
                let latest = answer.as_ref().map_or("none", |answer| outcome(answer)).to_owned();
                answers.entry(key.clone()).or_default().push(latest.clone());
                if latest == "ran" {
                    break;
                }
                // Callers resend after the delay that the answer states.
                let retry_after =
                    answer.map(|answer| answer.header("hawthornhill-retry-after-ms").parse());
                sleep_ms(retry_after.and_then(Result::ok).unwrap_or(100)).await;
            }
        }
        answers
    };
    let (answers, ()) = tokio::join!(bookings, fault);
    sleep_ms(500).await;
    let mut ran = 0;
    for (key, outcomes) in &answers {
        let count = execution_count(servers, key);
        assert!(count <= 1, "{key} ran {count} times: {outcomes:?}");
        if outcomes.iter().all(|outcome| outcome == "not-run") {
            assert_eq!(count, 0, "{key} ran, but was answered {outcomes:?}");
        }
        let is_last_not_run = outcomes.last().is_some_and(|outcome| outcome == "not-run");
        assert!(!(is_last_not_run && count > 0), "{key} ran, but was answered {outcomes:?}");
        ran += count;
    }
    assert!(ran as usize > count / 2, "only {ran} of {count} ran");
}

#[tokio::test(flavor = "multi_thread")]
async fn no_booking_runs_twice_when_a_leader_is_killed_or_suspended() {
    let mut system = TestSystem::start(PROGRAM, 3, 3).await;
    let first = system.start_server("b-1", "book", "east").await;
    let second = system.start_server("b-2", "book", "west").await;
    system.wait_until_served(0, "book").await;
    let leader = system.leader().await;
    system.group.kill(leader).expect("killed");
    send_bookings_under_faults(&system, &[&first, &second], 60, async {}).await;
    system.group.spawn(leader).expect("starts");
    system.wait_until_served(leader, "book").await;
    let next = system.leader().await;
    system.group.signal(next, "STOP").expect("SIGSTOP is sent");
    let group = &system.group;
    send_bookings_under_faults(&system, &[&first, &second], 60, async {
        sleep_ms(4_000).await;
        group.signal(next, "CONT").expect("SIGCONT is sent");
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn no_booking_runs_twice_when_an_entry_is_killed() {
    let mut system = TestSystem::start(PROGRAM, 3, 3).await;
    let slow = testkit::FakeBehaviour {
        service_time: std::time::Duration::from_millis(600),
        ..testkit::FakeBehaviour::default()
    };
    let first = system.start_server_with("b-1", "book", "east", slow.clone()).await;
    let second = system.start_server_with("b-2", "book", "west", slow).await;
    let servers = [&first, &second];
    system.wait_until_served(0, "book").await;
    // The delays kill the entry before and after it sends the first byte to a server.
    for delay_ms in [0, 2, 5, 10, 100, 400] {
        let key = new_key();
        let (client, address) = (system.client.clone(), system.caller_address(0));
        let request = testkit::HttpRequest::post("/v1/call/book/x", b"x".to_vec())
            .with_header(types::header::IDEMPOTENCY_KEY, &key);
        let sent = tokio::spawn(async move { client.send(address, request).await });
        sleep_ms(delay_ms).await;
        system.group.kill(0).expect("killed");
        assert!(sent.await.expect("joined").is_err(), "the entry was killed first");
        let again = system.send_booking(1, &key, "x").await.expect("answers");
        sleep_ms(800).await;
        let count = execution_count(&servers, &key);
        assert!(count <= 1, "{count} runs after {delay_ms} ms");
        assert!(!(outcome(&again) == "not-run" && count > 0), "after {delay_ms} ms");
        system.group.spawn(0).expect("starts");
        system.wait_until_served(0, "book").await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replica_with_a_wiped_disk_does_not_help_to_commit_a_second_claim() {
    let mut system = TestSystem::start(PROGRAM, 3, 3).await;
    let server = system.start_server("b-1", "book", "east").await;
    system.wait_until_served(0, "book").await;
    let key = new_key();
    assert_eq!(system.send_booking(0, &key, "x").await.expect("answers").status, 200);
    // Two of three replicas are killed, and one of these loses its disk and restarts, so no running
    // quorum knows the claim.
    let leader = system.leader().await;
    let (other, wiped) = ((leader + 1) % 3, (leader + 2) % 3);
    system.group.kill(leader).expect("killed");
    system.group.kill(wiped).expect("killed");
    system.group.delete_data(wiped).expect("wiped");
    system.group.spawn(wiped).expect("starts");
    for _ in 0..10 {
        let answer = system.send_booking(other, &key, "x").await.expect("answers");
        assert_ne!(answer.status, 200);
        assert_ne!(outcome(&answer), "not-run", "it ran");
        sleep_ms(300).await;
    }
    assert_eq!(execution_count(&[&server], &key), 1);
    // Once the replica with the intact disk is back, the system serves and still knows the claim.
    system.group.spawn(leader).expect("starts");
    system.wait_until_served(other, "book").await;
    let answer = system.send_booking(other, &key, "x").await.expect("answers");
    assert_eq!((answer.status, outcome(&answer)), (409, "ran"));
    assert_eq!(execution_count(&[&server], &key), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lookup_that_ran_is_not_answered_not_run_when_another_server_sheds_it() {
    let system = TestSystem::start(PROGRAM, 1, 1).await;
    let running = system.start_server("l-1", "look", "east").await;
    let shedding = system.start_server("l-2", "look", "west").await;
    let mut checked = 0;
    for _ in 0..5 {
        for server in [&running, &shedding] {
            server.update_behaviour(|behaviour| behaviour.mode = FakeMode::Normal);
        }
        system.wait_until_warm(0, 2).await;
        running.update_behaviour(|behaviour| behaviour.mode = FakeMode::DropAfterRun);
        shedding.update_behaviour(|behaviour| behaviour.mode = FakeMode::ShedNotRun);
        for _ in 0..4 {
            let key = new_key();
            let request = testkit::HttpRequest::get("/v1/call/look/x")
                .with_header(types::header::IDEMPOTENCY_KEY, &key);
            let answer =
                system.client.send(system.caller_address(0), request).await.expect("answers");
            let count = execution_count(&[&running], &key);
            checked += count;
            assert!(!(outcome(&answer) == "not-run" && count > 0), "it ran");
        }
    }
    assert!(checked > 1, "the case occurred only {checked} times");
}
