//! Requests that make each server that runs them crash, and that callers send again.

mod harness;

use harness::{LinkState, Script, ScriptedServer, TestAnswer, TestGateway, announcement, routing};
use http::StatusCode;
use std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};
use tokio::{task::JoinSet, time::interval};
use types::{Command, ServerIncarnation, ServerState};

/// Time that entries have after the third server has crashed.
const ADAPT_TIME: Duration = Duration::from_secs(3);
/// Number of times that the request may reach servers after that.
const MAX_LATE_RUNS: usize = 3;
/// Time for which callers send requests.
const LOAD_TIME: Duration = Duration::from_secs(8);
/// Time between two copies of the request.
const REPEAT_PERIOD: Duration = Duration::from_millis(130);

/// The requests of other callers of one entry.
#[derive(Clone, Copy)]
struct OtherLoad {
    period: Duration,
    method: &'static str,
    target: fn(usize) -> String,
}

impl Default for OtherLoad {
    fn default() -> Self {
        let target = |number| format!("/read/x{number}");
        Self { period: Duration::from_millis(100), method: "GET", target }
    }
}

/// Announces servers that have crashed and are up again, as the next incarnation.
async fn restart_ended(fleet: &[Arc<TestGateway>], servers: &[Arc<ScriptedServer>]) {
    let mut announced = vec![0; servers.len()];
    let mut ticks = interval(Duration::from_millis(20));
    loop {
        ticks.tick().await;
        for (server, announced) in servers.iter().zip(&mut announced) {
            let crashes = *server.crashes.borrow();
            if crashes > *announced && !server.is_down() {
                *announced = crashes;
                let mut restarted = announcement(server, ServerState::Ready, 1);
                restarted.incarnation = ServerIncarnation(1 + crashes);
                fleet[0].replicas.apply(&Command::Announce(Arc::new(restarted)));
            }
        }
    }
}

/// Sends a request to the entries in turn, each time with another id, until `end`.
async fn send_in_turn(
    fleet: Vec<Arc<TestGateway>>,
    period: Duration,
    method: &'static str,
    target: impl Fn(usize) -> String,
    end: Instant,
) -> Vec<(Instant, TestAnswer)> {
    let mut requests = JoinSet::new();
    let mut ticks = interval(period);
    for number in 0.. {
        ticks.tick().await;
        if Instant::now() >= end {
            break;
        }
        let (gateway, target) = (fleet[number % fleet.len()].clone(), target(number));
        requests.spawn(async move {
            let id = format!("{target}-{number}");
            (Instant::now(), gateway.send(method, &target, &id).await)
        });
    }
    requests.join_all().await
}

/// Starts entries and twelve servers, which end under requests for `/read/fatal`.
async fn start_fleet(entries: usize) -> (Vec<Arc<ScriptedServer>>, Vec<Arc<TestGateway>>) {
    let mut servers = Vec::new();
    for number in 0..12 {
        let (name, domain) = (format!("s{number}"), ["a", "b"][number % 2]);
        let server = ScriptedServer::start(&name, domain, Script::Answer(200, 60)).await;
        *server.crashed_by.lock() = "/fatal".to_owned();
        servers.push(server);
    }
    let listed: Vec<&Arc<ScriptedServer>> = servers.iter().collect();
    let fleet = TestGateway::start_linked_fleet(entries, routing(1, 2), &listed).await;
    (servers, fleet.into_iter().map(Arc::new).collect())
}

/// Sends copies of the fatal request and other requests for [`LOAD_TIME`], and checks what reaches
/// the servers and what callers get.
async fn check_load(
    servers: &[Arc<ScriptedServer>],
    fleet: &[Arc<TestGateway>],
    others: OtherLoad,
) {
    let end = Instant::now() + LOAD_TIME;
    let (restarted, watched) = (fleet.to_vec(), servers.to_vec());
    let restarts = tokio::spawn(async move { restart_ended(&restarted, &watched).await });
    let fatal_target = |_| "/read/fatal".to_owned();
    let fatal = send_in_turn(fleet.to_vec(), REPEAT_PERIOD, "GET", fatal_target, end);
    let mut requests = JoinSet::new();
    for gateway in fleet {
        let entry = vec![gateway.clone()];
        requests.spawn(send_in_turn(entry, others.period, others.method, others.target, end));
    }
    let (fatal, others) = (fatal.await, requests.join_all().await);
    restarts.abort();
    let ended: u64 = servers.iter().map(|server| *server.crashes.borrow()).sum();
    let mut fatal_runs: Vec<Instant> =
        servers.iter().flat_map(|server| server.fatal_run_times.lock().clone()).collect();
    fatal_runs.sort();
    assert!(fatal_runs.len() >= 3, "the request did not crash three servers");
    let adapted = fatal_runs[2] + ADAPT_TIME;
    let late = fatal_runs.iter().filter(|run| **run > adapted).count();
    assert!(late <= MAX_LATE_RUNS, "sent {late} times more; {ended} servers crashed in all");
    let is_late = |(sent, _): &&(Instant, TestAnswer)| *sent > adapted;
    for (_, answer) in fatal.iter().filter(is_late).skip(MAX_LATE_RUNS) {
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{answer:?}");
        assert!(answer.headers.contains_key("retry-after"));
    }
    let others: Vec<_> = others.iter().flatten().filter(is_late).collect();
    let served = others.iter().filter(|(_, answer)| answer.status == StatusCode::OK).count();
    assert!(served * 100 >= others.len() * 98, "{served} of {} others served", others.len());
}

/// Pattern: a request makes servers crash, and its caller sends it again and again, to any entry.
/// Guards against a request that crashes one server after the other until the service is gone.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn request_that_crashed_three_servers_is_no_longer_sent() {
    let (servers, fleet) = start_fleet(6).await;
    check_load(&servers, &fleet, OtherLoad::default()).await;
}

/// Pattern: all other callers send the same order, so that it is in progress at each server that
/// ends. Guards against blocking it in place of the culprit.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn popular_request_is_not_taken_for_the_culprit() {
    let (servers, fleet) = start_fleet(6).await;
    let target = |_| "/order/popular".to_owned();
    let others = OtherLoad { period: Duration::from_millis(20), method: "POST", target };
    check_load(&servers, &fleet, others).await;
}

/// Pattern: half of the entries have lost their links to servers. Guards against a request that
/// escapes the quarantine because it is relayed.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn request_that_crashes_servers_is_blocked_for_entries_that_relay_it() {
    let (servers, fleet) = start_fleet(6).await;
    for entry in ["entry-1", "entry-3", "entry-5"] {
        fleet[0].replicas.set_links(entry, LinkState::Reset, |_| true);
    }
    check_load(&servers, &fleet, OtherLoad::default()).await;
}

/// Guards against an entry that crashes one server after the other while no replica takes its
/// reports.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn entry_that_is_cut_off_stops_sending_it_too() {
    let (servers, fleet) = start_fleet(1).await;
    fleet[0].replicas.refuses_reports.store(true, Ordering::SeqCst);
    check_load(&servers, &fleet, OtherLoad::default()).await;
}
