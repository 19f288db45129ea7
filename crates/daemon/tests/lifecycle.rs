//! Drains, departures of servers, cold starts, failures of shard owners, and planned stops, with real
//! processes.

use caller::DirectoryAnswer;
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};
use testkit::{
    FakeBehaviour, FakeMode, FakeServer, HttpClient, HttpRequest, TestSystem, outcome, sleep_ms,
    wait_until,
};
use types::{ChangeAnswer, ServerState};

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_hawthornhill");

/// Time after a drain or a departure from which a server must get no new request.
const DRAIN_BOUND_MS: u64 = 3_000;

/// Sends lookups to all entries in turn until `stop` is set. Returns the answers that are neither a
/// complete success nor a refusal with the outcome `not-run`.
async fn send_lookups(system: &TestSystem, stop: &AtomicBool) -> Vec<String> {
    let mut bad = Vec::new();
    let mut number = 0;
    while !stop.load(Ordering::SeqCst) {
        let index = number % system.group.processes.len();
        number += 1;
        match system.send_lookup(index).await {
            Some(answer) if answer.status == 200 && answer.text().ends_with("end\n") => {}
            Some(answer) if outcome(&answer) == "not-run" => {}
            Some(answer) => bad.push(format!("{} {}", answer.status, answer.text())),
            None => bad.push("broken".to_owned()),
        }
        sleep_ms(2).await;
    }
    bad
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drained_domain_gets_no_new_work_until_it_is_undrained() {
    let system = TestSystem::start(PROGRAM, 3, 3).await;
    let east = system.start_server("l-1", "look", "east").await;
    let west = system.start_server("l-2", "look", "west").await;
    for index in 0..3 {
        system.wait_until_warm(index, 2).await;
    }
    let stop = AtomicBool::new(false);
    let scenario = async {
        assert!(matches!(system.drain("east", 0).await, ChangeAnswer::Accepted { .. }));
        sleep_ms(DRAIN_BOUND_MS).await;
        let (east_before, west_before) = (east.stats().received, west.stats().received);
        sleep_ms(1_500).await;
        assert_eq!(east.stats().received, east_before, "new work after the bound");
        assert!(west.stats().received > west_before, "the other domain serves");
        let undrain = types::ChangeAction::Undrain("east".parse().expect("valid"));
        assert!(matches!(system.submit_action(1, undrain).await, ChangeAnswer::Accepted { .. }));
        wait_until("the domain serves again", || async { east.stats().received > east_before })
            .await;
        stop.store(true, Ordering::SeqCst);
    };
    let (bad, ()) = tokio::join!(send_lookups(&system, &stop), scenario);
    assert!(bad.is_empty(), "{bad:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_server_gets_no_new_work() {
    let system = TestSystem::start(PROGRAM, 3, 3).await;
    let leaving = system.start_server("l-1", "look", "east").await;
    let staying = system.start_server("l-2", "look", "west").await;
    for index in 0..3 {
        system.wait_until_warm(index, 2).await;
    }
    let stop = AtomicBool::new(false);
    let scenario = async {
        leaving.set_state(ServerState::Leaving).await;
        sleep_ms(DRAIN_BOUND_MS).await;
        let before = leaving.stats().received;
        sleep_ms(1_500).await;
        assert_eq!(leaving.stats().received, before, "new work after the bound");
        stop.store(true, Ordering::SeqCst);
    };
    let (bad, ()) = tokio::join!(send_lookups(&system, &stop), scenario);
    assert!(bad.is_empty(), "{bad:?}");
    assert!(staying.stats().received > 0);
}

/// Returns the behaviour of a server that is cold for the given number of requests.
fn cold_behaviour(requests: u32) -> FakeBehaviour {
    FakeBehaviour {
        cold_concurrency: 1,
        warm_up_requests: requests,
        service_time: Duration::from_millis(3),
        ..FakeBehaviour::default()
    }
}

/// Sends batches of four concurrent lookups to each entry until `is_done` returns true.
async fn send_batches_until(system: &TestSystem, is_done: impl Fn() -> bool) {
    let started = Instant::now();
    while !is_done() {
        assert!(started.elapsed() < Duration::from_secs(40), "the servers never became warm");
        let mut in_flight_calls = tokio::task::JoinSet::new();
        for index in 0..system.group.processes.len() {
            for _ in 0..4 {
                let (client, address) = (system.client.clone(), system.caller_address(index));
                in_flight_calls.spawn(async move {
                    client.send(address, HttpRequest::get("/v1/call/look/x")).await
                });
            }
        }
        while in_flight_calls.join_next().await.is_some() {}
    }
}

/// If each entry sent a cold server its initial limit of requests, the server would get several times
/// that limit.
#[tokio::test(flavor = "multi_thread")]
async fn entries_together_do_not_overload_cold_servers() {
    let system = TestSystem::start(PROGRAM, 3, 3).await;
    // The ramp widens after eight successes, so a server that needs eight requests is warm by then.
    let servers = [
        system.start_server_with("l-1", "look", "east", cold_behaviour(8)).await,
        system.start_server_with("l-2", "look", "west", cold_behaviour(8)).await,
        system.start_server_with("l-3", "look", "east", cold_behaviour(8)).await,
    ];
    let is_warm = |servers: &[FakeServer]| {
        servers.iter().all(|server| server.stats().executions_since_start > 60)
    };
    send_batches_until(&system, || is_warm(&servers)).await;
    // All servers restart cold and announce themselves at the same time, as after the outage of a
    // failure domain.
    for server in &servers {
        server.restart_silently();
    }
    for server in &servers {
        server.set_state(ServerState::Ready).await;
    }
    sleep_ms(DRAIN_BOUND_MS).await;
    let overloads: u64 = servers.iter().map(|server| server.stats().cold_overloads).sum();
    assert_eq!(overloads, 0);
    send_batches_until(&system, || is_warm(&servers)).await;
    for server in &servers {
        assert_eq!(server.stats().cold_overloads, 0, "{}", server.name());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn servers_of_a_killed_owner_get_requests_again() {
    let mut system = TestSystem::start(PROGRAM, 3, 4).await;
    let mut servers = Vec::new();
    for number in 0..6 {
        servers.push(system.start_server(&format!("l-{number}"), "look", "west").await);
    }
    system.wait_until_warm(0, 6).await;
    let page = system.status(0).await.and_then(|page| page.entry).expect("entry");
    assert!(page.servers.iter().any(|row| row.owner.as_str() == "host-4"));
    system.group.kill(3).expect("killed");
    wait_until("all servers have running owners and are warm", || async {
        let page = system.status(0).await.and_then(|page| page.entry);
        page.is_some_and(|entry| {
            entry.servers.len() == 6
                && entry.servers.iter().all(|row| {
                    row.owner.as_str() != "host-4" && row.stage == types::ServerStage::Warm
                })
        })
    })
    .await;
    let before: Vec<u64> = servers.iter().map(|server| server.stats().received).collect();
    wait_until("all servers get work", || async {
        let _ = system.send_lookup(0).await;
        servers.iter().zip(&before).all(|(server, before)| server.stats().received > *before)
    })
    .await;
}

/// Maximum number of probes per minute for each server.
const PROBES_PER_MINUTE: u64 = 240;
/// Length of the sliding window in which probes are counted.
const PROBE_WINDOW: Duration = Duration::from_secs(5);

/// A new owner does not know the probes that the old one sent, and the old one may still probe for a
/// while, so both together could exceed the budget.
#[tokio::test(flavor = "multi_thread")]
async fn probes_stay_within_the_budget_while_owners_change() {
    let mut system = TestSystem::start(PROGRAM, 3, 4).await;
    let mut probed = testkit::test_document(5_000);
    probed.services[0].probes_per_minute = PROBES_PER_MINUTE as u16;
    let answer = system.submit_action(1, types::ChangeAction::Document(probed)).await;
    assert!(matches!(answer, ChangeAnswer::Accepted { .. }));
    let mut servers = Vec::new();
    for number in 0..6 {
        servers.push(system.start_server(&format!("l-{number}"), "look", "west").await);
    }
    system.wait_until_warm(0, 6).await;
    let mut counts: Vec<Vec<(Instant, u64)>> = vec![Vec::new(); servers.len()];
    let started = Instant::now();
    let mut step = 0;
    while started.elapsed() < Duration::from_secs(16) {
        for (server, counts) in servers.iter().zip(&mut counts) {
            counts.push((Instant::now(), server.stats().probes));
        }
        // Meanwhile one shard owner is suspended and resumed, another is killed and restarted.
        match (step, started.elapsed().as_secs()) {
            (0, 3..) => system.group.signal(3, "STOP").expect("SIGSTOP is sent"),
            (1, 7..) => system.group.signal(3, "CONT").expect("SIGCONT is sent"),
            (2, 9..) => system.group.kill(2).expect("killed"),
            (3, 12..) => system.group.spawn(2).expect("starts"),
            _ => step -= 1,
        }
        step += 1;
        sleep_ms(50).await;
    }
    let allowed = PROBES_PER_MINUTE * PROBE_WINDOW.as_secs() / 60 + 1;
    for (server, counts) in servers.iter().zip(&counts) {
        for (at, before) in counts {
            let in_window = counts.iter().filter(|(later, _)| *later <= *at + PROBE_WINDOW);
            let after = in_window.map(|(_, count)| *count).max().unwrap_or(*before);
            assert!(after - before <= allowed, "{}: {}", server.name(), after - before);
        }
        assert!(server.stats().probes > 4, "{} was probed at most 4 times", server.name());
    }
}

/// A caller that uses a directory answer for its max-age and no longer.
struct DirectoryCaller {
    client: HttpClient,
    known: Vec<SocketAddr>,
    entry: Option<(SocketAddr, Instant)>,
}

impl DirectoryCaller {
    async fn entry(&mut self) -> SocketAddr {
        if let Some((entry, until)) = self.entry
            && Instant::now() < until
        {
            return entry;
        }
        for _ in 0..200 {
            for address in self.known.clone() {
                let request = HttpRequest::get("/v1/entries/look");
                let asked = Instant::now();
                let Ok(answer) = self.client.send(address, request).await else {
                    continue;
                };
                let Ok(directory) = serde_json::from_slice::<DirectoryAnswer>(&answer.body) else {
                    continue;
                };
                if let Some(first) = directory.entries.first() {
                    let until = asked + Duration::from_secs(directory.max_age_s);
                    self.entry = Some((first.address, until));
                    return first.address;
                }
            }
            sleep_ms(20).await;
        }
        panic!("no entry answered the directory request");
    }
}

/// A stopping entry must serve until callers no longer use the directory answers that name it;
/// otherwise each restart of a host fails requests.
#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_restart_cuts_off_and_loses_no_request() {
    let mut system = TestSystem::start(PROGRAM, 3, 3).await;
    let slow = FakeBehaviour {
        service_time: Duration::from_millis(30),
        slots: 30,
        ..FakeBehaviour::default()
    };
    let first = system.start_server_with("l-1", "look", "east", slow.clone()).await;
    let second = system.start_server_with("l-2", "look", "west", slow).await;
    for index in 0..3 {
        system.wait_until_warm(index, 2).await;
    }
    let stop = Arc::new(AtomicBool::new(false));
    let mut callers = tokio::task::JoinSet::new();
    for _ in 0..8 {
        let stop = stop.clone();
        let known = system.group.processes.iter().map(|process| process.caller).collect();
        let mut caller = DirectoryCaller { client: system.client.clone(), known, entry: None };
        callers.spawn(async move {
            let (mut good, mut bad) = (0_u64, Vec::new());
            while !stop.load(Ordering::SeqCst) {
                let entry = caller.entry().await;
                let sent = Instant::now();
                match caller.client.send(entry, HttpRequest::get("/v1/call/look/x")).await {
                    Ok(answer) if answer.status == 200 => good += 1,
                    Ok(answer) => bad.push(format!("{} {}", answer.status, answer.text())),
                    Err(error) => bad.push(format!("{entry} {error} after {:?}", sent.elapsed())),
                }
            }
            (good, bad)
        });
    }
    for index in 0..3 {
        sleep_ms(500).await;
        system.group.signal(index, "TERM").expect("asked to stop");
        assert!(system.group.wait(index).expect("ends"), "host {index} stopped uncleanly");
        system.group.spawn(index).expect("starts");
        system.wait_until_served(index, "look").await;
    }
    stop.store(true, Ordering::SeqCst);
    let mut total = 0;
    while let Some(result) = callers.join_next().await {
        let (good, bad) = result.expect("joined");
        assert!(bad.is_empty(), "{} bad, first {:?}", bad.len(), bad.first());
        total += good;
    }
    assert!(total > 500, "{total}");
    assert_eq!(first.stats().cancelled + second.stats().cancelled, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn successful_answers_are_complete_and_belong_to_their_requests() {
    let system = TestSystem::start(PROGRAM, 1, 1).await;
    let server = system.start_server("l-1", "look", "east").await;
    let other = system.start_server("l-2", "look", "west").await;
    system.wait_until_warm(0, 2).await;
    server.update_behaviour(|behaviour| behaviour.mode = FakeMode::Truncate);
    other.update_behaviour(|behaviour| behaviour.padding_bytes = 100_000);
    for _ in 0..60 {
        let answer = system.send_lookup(0).await.expect("answers");
        let id = answer.header(types::header::REQUEST_ID).to_owned();
        if answer.status == 200 {
            assert!(answer.text().contains(&id) && answer.text().ends_with("end\n"));
        } else {
            assert_ne!(answer.status, 200);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_of_callers_and_servers_are_refused_with_the_field() {
    let system = TestSystem::start(PROGRAM, 1, 1).await;
    let _server = system.start_server("l-1", "look", "east").await;
    system.wait_until_served(0, "look").await;
    let (caller, server) = (system.caller_address(0), system.group.processes[0].server);
    let get = HttpRequest::get;
    let long = "x".repeat(80);
    let cases = [
        (caller, get("/nothing"), 404, "path"),
        (caller, get("/v1/call/LOOK/x"), 400, "service"),
        (caller, get(&format!("/v1/call/{long}/x")), 400, "service"),
        (caller, get("/v1/call/none/x"), 404, "service"),
        (
            caller,
            get("/v1/call/look/x").with_header("hawthornhill-deadline-ms", "0"),
            400,
            "deadline",
        ),
        (
            caller,
            get("/v1/call/look/x").with_header("hawthornhill-deadline-ms", "1e9"),
            400,
            "deadline",
        ),
        (
            caller,
            get("/v1/call/look/x").with_header("idempotency-key", "7"),
            400,
            "idempotency-key",
        ),
        (
            caller,
            get("/v1/call/look/x").with_header("hawthornhill-request-id", "z"),
            400,
            "request-id",
        ),
        (caller, HttpRequest::post("/v1/call/look/x", vec![0; 2_000_000]), 413, "body"),
        (server, HttpRequest::post("/v1/servers", b"{}".to_vec()), 400, "server"),
        (server, HttpRequest::post("/v1/servers", vec![b'['; 5_000]), 413, "announcement"),
        (server, HttpRequest::post("/v1/servers", vec![0xff, 0xfe]), 400, "announcement"),
        (server, get("/v1/servers"), 405, "POST"),
    ];
    for (address, request, status, field) in cases {
        let path = request.path.clone();
        let answer = HttpClient::default().send(address, request).await.expect("answers");
        assert_eq!(answer.status, status, "{path}");
        assert!(answer.text().contains(field), "{path}: {}", answer.text());
        if address == caller {
            assert_eq!(outcome(&answer), "not-run", "{path}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_cancelled_at_the_server_when_its_caller_disconnects() {
    let system = TestSystem::start(PROGRAM, 1, 1).await;
    let server = system.start_server("l-1", "look", "east").await;
    system.wait_until_warm(0, 1).await;
    server.update_behaviour(|behaviour| behaviour.mode = FakeMode::Hang);
    let (client, address) = (system.client.clone(), system.caller_address(0));
    let request = HttpRequest::get("/v1/call/look/x");
    let sent = tokio::spawn(async move { client.send(address, request).await });
    wait_until("the server has the request", || async { server.stats().in_flight == 1 }).await;
    sent.abort();
    wait_until("the request is cancelled at the server", || async {
        server.stats().cancelled == 1
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn servers_get_the_remaining_deadline_and_late_answers_are_not_awaited() {
    let system = TestSystem::start(PROGRAM, 1, 1).await;
    let server = system.start_server("l-1", "look", "east").await;
    system.wait_until_warm(0, 1).await;
    server.update_behaviour(|behaviour| behaviour.mode = FakeMode::Hang);
    let request =
        HttpRequest::get("/v1/call/look/x").with_header("hawthornhill-deadline-ms", "300");
    let answer = system.client.send(system.caller_address(0), request).await.expect("answers");
    assert_eq!((answer.status, outcome(&answer)), (504, "unknown"));
    let passed_on = server.stats().last_deadline_ms;
    assert!((1..=300).contains(&passed_on), "{passed_on}");
    wait_until("the request is cancelled at the server", || async {
        server.stats().cancelled == 1
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_system_under_steady_load_writes_no_log_lines() {
    let system = TestSystem::start(PROGRAM, 3, 3).await;
    let _servers = [
        system.start_server("l-1", "look", "east").await,
        system.start_server("l-2", "look", "west").await,
    ];
    for index in 0..3 {
        system.wait_until_warm(index, 2).await;
    }
    let logs = || (0..3).map(|index| system.group.log(index)).collect::<Vec<_>>();
    let before = logs();
    for number in 0..3_000 {
        let _ = system.send_lookup(number % 3).await;
    }
    assert_eq!(logs(), before, "only changes of state are logged");
}

#[tokio::test(flavor = "multi_thread")]
async fn lookups_are_answered_while_one_server_hangs_disconnects_sheds_or_fails_fast() {
    let system = TestSystem::start(PROGRAM, 1, 1).await;
    let mut servers = Vec::new();
    for number in 0..4 {
        servers.push(system.start_server(&format!("l-{number}"), "look", "east").await);
    }
    system.wait_until_warm(0, 4).await;
    // These answers give the entry its estimate of the usual latency and fill its budgets.
    for _ in 0..300 {
        let _ = system.send_lookup(0).await;
    }
    for mode in [FakeMode::Hang, FakeMode::DropAfterRun, FakeMode::ShedNotRun, FakeMode::FailFast] {
        servers[0].update_behaviour(|behaviour| behaviour.mode = mode);
        let before = servers[0].stats().received;
        let mut failed = 0;
        for _ in 0..200 {
            let request =
                HttpRequest::get("/v1/call/look/x").with_header("hawthornhill-deadline-ms", "1000");
            let answer =
                system.client.send(system.caller_address(0), request).await.expect("answers");
            failed += u32::from(answer.status != 200);
        }
        let tried = servers[0].stats().received - before;
        // A server error is an answer and is passed on; after all other failures the lookup is tried
        // at another server.
        let allowed = if mode == FakeMode::FailFast { 20 } else { 0 };
        assert!(failed <= allowed, "{mode:?}: {failed} of 200 failed, {tried} tried there");
        assert!(tried < 60, "{mode:?}: {tried} of 200 went there");
        servers[0].update_behaviour(|behaviour| behaviour.mode = FakeMode::Normal);
        wait_until("the server gets requests again", || async {
            let before = servers[0].stats().executions;
            for _ in 0..20 {
                let _ = system.send_lookup(0).await;
            }
            servers[0].stats().executions > before
        })
        .await;
    }
}
