//! Checks of what servers may demand from all entries together, at real processes without faults.

use rand::{Rng, rngs::StdRng, seq::IndexedRandom};
use stand_in::{CallKind, CallOutcome, FaultyProxy, ProxyFault, SimulatedServer, SiteCaller};
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{task::JoinSet, time::sleep};

/// Time that entries have to adapt to what a server demands.
const ADAPT_TIME: Duration = Duration::from_secs(3);
/// Limit of the limited server, in requests per second.
const LIMIT: f64 = 3.0;
/// Window in which the requests to the limited server are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Requests within a window that the users allow at [`LIMIT`]: 1.5 times as many as the limit
/// allows, and 5 more.
const MAX_IN_WINDOW: usize = 23;
/// Number of times that a fatal request may reach servers later than [`ADAPT_TIME`] after the third
/// server has crashed.
const MAX_LATE_RUNS: usize = 3;
/// Time for which a fatal request is sent.
const FATAL_TIME: Duration = Duration::from_secs(6);
/// Time for which a server is down after it has crashed.
const DOWN_TIME: Duration = Duration::from_secs(1);

/// Lets a server limit its requests, and checks how many it gets from all entries.
pub async fn check_limit(server: &SimulatedServer) {
    server.set_limit(Some(LIMIT));
    sleep(ADAPT_TIME).await;
    let adapted = Instant::now();
    sleep(LIMIT_WINDOW + LIMIT_WINDOW / 2).await;
    let mut times: Vec<Instant> = server.runs().into_values().flatten().collect();
    times.retain(|time| *time >= adapted);
    server.set_limit(None);
    for start in &times {
        let count =
            times.iter().filter(|time| *time >= start && **time < *start + LIMIT_WINDOW).count();
        assert!(count <= MAX_IN_WINDOW, "a server with a limit of {LIMIT}/s got {count} in 4 s");
    }
    assert!(!times.is_empty(), "the limited server got no request");
}

/// Sends a request under which servers crash to all entries, and checks that they stop sending it.
pub async fn check_fatal_request(
    servers: &[(Arc<SimulatedServer>, Arc<FaultyProxy>)],
    entries: &[SocketAddr],
    rng: &mut StdRng,
) {
    let mut restarts = JoinSet::new();
    for (server, proxy) in servers {
        restarts.spawn(restart_after_crashes(server.clone(), proxy.clone()));
    }
    let caller = SiteCaller { timeout: Duration::from_millis(1_200) };
    let started = Instant::now();
    let mut calls = JoinSet::new();
    for number in 0.. {
        if started.elapsed() >= FATAL_TIME {
            break;
        }
        let (caller, entry) = (caller.clone(), *entries.choose(rng).expect("there are entries"));
        calls.spawn(async move {
            caller.send(entry, CallKind::Fatal, &format!("fatal-{number}")).await
        });
        sleep(Duration::from_millis(rng.random_range(100..200))).await;
    }
    let outcomes = calls.join_all().await;
    let runs = |(server, _): &(Arc<SimulatedServer>, _)| {
        let is_fatal = |(id, _): &(String, Vec<Instant>)| id.starts_with("fatal-");
        server.runs().into_iter().filter(is_fatal).flat_map(|(_, times)| times).collect::<Vec<_>>()
    };
    let mut times: Vec<Instant> = servers.iter().flat_map(runs).collect();
    times.sort();
    assert!(times.len() >= 3, "the request did not crash three servers: {outcomes:?}");
    let late = times.iter().filter(|time| **time > times[2] + ADAPT_TIME).count();
    assert!(late <= MAX_LATE_RUNS, "sent {late} times more, {} times in all", times.len());
    let is_refused =
        |outcome: &CallOutcome| matches!(outcome, CallOutcome::Answered { status: 503, .. });
    assert!(outcomes.last().is_some_and(is_refused), "{:?}", outcomes.last());
    restarts.shutdown().await;
    servers.iter().for_each(|(_, proxy)| proxy.set_fault(ProxyFault::None));
}

/// Makes a server that has crashed refuse connections, and come back as the next incarnation.
async fn restart_after_crashes(server: Arc<SimulatedServer>, proxy: Arc<FaultyProxy>) {
    let mut crashes = server.crashes();
    while crashes.changed().await.is_ok() {
        proxy.set_fault(ProxyFault::Refused);
        sleep(DOWN_TIME).await;
        server.restart();
        proxy.set_fault(ProxyFault::None);
    }
}
