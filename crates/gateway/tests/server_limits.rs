//! Servers that limit the requests that they accept from all entries together.

mod harness;

use harness::{Script, ScriptedServer, TestAnswer, TestGateway, routing};
use http::StatusCode;
use std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};
use tokio::{
    join,
    task::JoinSet,
    time::{interval, sleep},
};
use types::{Command, EntryIncarnation};

/// Time that entries have to adapt to a limit.
const ADAPT_TIME: Duration = Duration::from_secs(3);
/// Window in which the requests to a limited server are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Factor and constant by which the requests within a window may exceed the limit.
const EXCESS: (f64, f64) = (1.5, 5.0);
/// Time between two requests of the callers of one entry.
const REQUEST_PERIOD: Duration = Duration::from_millis(150);
/// Entries that share the servers.
const ENTRY_COUNT: usize = 6;

/// Sends a request to each entry once per period, for a time. Returns the answers, each with the
/// time that it took.
async fn send_load(
    fleet: &[Arc<TestGateway>],
    period: Duration,
    time: Duration,
) -> Vec<(TestAnswer, Duration)> {
    let end = Instant::now() + time;
    let mut callers = JoinSet::new();
    for gateway in fleet {
        let gateway = gateway.clone();
        callers.spawn(async move {
            let mut requests = JoinSet::new();
            let mut ticks = interval(period);
            for number in 0.. {
                ticks.tick().await;
                let started = Instant::now();
                if started >= end {
                    break;
                }
                let gateway = gateway.clone();
                requests.spawn(async move {
                    let answer = gateway.send("GET", "/read/x", &format!("r{number}")).await;
                    (answer, started.elapsed())
                });
            }
            requests.join_all().await
        });
    }
    callers.join_all().await.into_iter().flatten().collect()
}

/// Returns how many requests were answered with success by each of the servers named `near` and
/// `far`, and how many were not.
fn count_by_server(answers: &[(TestAnswer, Duration)]) -> [usize; 3] {
    let mut counts = [0; 3];
    for (answer, _) in answers {
        let index = match (answer.status, answer.body.as_str()) {
            (StatusCode::OK, "near") => 0,
            (StatusCode::OK, "far") => 1,
            _ => 2,
        };
        counts[index] += 1;
    }
    counts
}

/// Returns the largest number of these times that lie within one window.
fn most_within_window(times: &[Instant]) -> usize {
    let count = |start: &Instant| {
        times.iter().filter(|time| *time >= start && **time < *start + WINDOW).count()
    };
    times.iter().map(count).max().unwrap_or_default()
}

async fn start_fleet(hides_limit: bool) -> (Arc<ScriptedServer>, Vec<Arc<TestGateway>>) {
    let near = ScriptedServer::start("near", "a", Script::Answer(200, 5)).await;
    let far = ScriptedServer::start("far", "b", Script::Answer(200, 5)).await;
    near.hides_limit_from_probes.store(hides_limit, Ordering::SeqCst);
    let fleet = TestGateway::start_fleet(ENTRY_COUNT, routing(1, 2), &[&near, &far]).await;
    (near, fleet.into_iter().map(Arc::new).collect())
}

/// Checks one fleet under a limit. `limit` is in requests per second.
async fn check_limit(limit: f64, hides_limit: bool) {
    let (near, fleet) = start_fleet(hides_limit).await;
    *near.limit_milli.lock() = Some((limit * 1_000.0) as u32);
    let adapting = count_by_server(&send_load(&fleet, REQUEST_PERIOD, ADAPT_TIME).await);
    near.run_times.lock().clear();
    let counts = count_by_server(&send_load(&fleet, REQUEST_PERIOD, 2 * WINDOW).await);
    let times = near.run_times.lock().clone();
    let most = most_within_window(&times);
    let allowed = EXCESS.0 * limit * WINDOW.as_secs_f64() + EXCESS.1;
    let case =
        format!("limit {limit}, hidden from probes: {hides_limit}, {adapting:?}, {counts:?}");
    assert!(most as f64 <= allowed, "{most} requests in 4 s, {allowed} allowed: {case}");
    assert_eq!(counts[2], 0, "callers were not served although the other server is idle: {case}");
    let least = 0.25 * limit * (2 * WINDOW).as_secs_f64();
    assert!(times.len() as f64 >= least, "the server gets less than a quarter: {case}");
}

/// Pattern: a server in need takes few requests a second. Guards against entries that ignore its
/// limit, or that each use all of it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn limited_server_gets_its_limit_from_all_entries_together() {
    join!(check_limit(2.0, false), check_limit(2.0, true), check_limit(6.0, false));
}

/// Guards against a server that stays limited after it has ended its limit.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn server_gets_its_usual_share_again_after_the_end_of_its_limit() {
    let (near, fleet) = start_fleet(false).await;
    *near.limit_milli.lock() = Some(1_000);
    send_load(&fleet, REQUEST_PERIOD, Duration::from_secs(2)).await;
    *near.limit_milli.lock() = None;
    sleep(Duration::from_secs(1)).await;
    send_load(&fleet, REQUEST_PERIOD, Duration::from_secs(1)).await;
    let counts = count_by_server(&send_load(&fleet, REQUEST_PERIOD, Duration::from_secs(2)).await);
    assert!(counts[0] > counts[1], "{counts:?}");
    assert_eq!(counts[2], 0);
}

/// Pattern: half of the entries end while a server limits its requests. Guards against shares that
/// stay with entries which are gone, and against shares that are too large once there are fewer.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn shares_of_entries_that_are_gone_go_to_the_others() {
    let limit = 4.0;
    let (near, fleet) = start_fleet(false).await;
    *near.limit_milli.lock() = Some((limit * 1_000.0) as u32);
    send_load(&fleet, REQUEST_PERIOD, Duration::from_secs(1)).await;
    let (staying, leaving) = fleet.split_at(ENTRY_COUNT / 2);
    for number in ENTRY_COUNT / 2..ENTRY_COUNT {
        let name = format!("entry-{}", number + 1).parse().expect("name");
        leaving[0].replicas.apply(&Command::RemoveEntry(name, EntryIncarnation(1)));
    }
    sleep(Duration::from_secs(1)).await;
    near.run_times.lock().clear();
    send_load(staying, REQUEST_PERIOD, 2 * WINDOW).await;
    let times = near.run_times.lock().clone();
    let most = most_within_window(&times) as f64;
    assert!(most <= EXCESS.0 * limit * WINDOW.as_secs_f64() + EXCESS.1, "{most} requests in 4 s");
    let share = times.len() as f64 / (limit * (2 * WINDOW).as_secs_f64());
    assert!(share >= 0.7, "only {share} of the limit is used");
}

/// Pattern: all servers of a service limit their requests, to less than half of what callers send.
/// Guards against capacity that is left unused while callers are refused, and against refusals that
/// take long or do not say when to return.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn limits_of_all_servers_are_used_and_other_callers_are_refused_soon() {
    let limit = 2.0;
    let mut servers = Vec::new();
    for number in 0..12 {
        let (name, domain) = (format!("s{number}"), ["a", "b", "c"][number % 3]);
        let server = ScriptedServer::start(&name, domain, Script::Answer(200, 20)).await;
        *server.limit_milli.lock() = Some((limit * 1_000.0) as u32);
        servers.push(server);
    }
    let listed: Vec<&Arc<ScriptedServer>> = servers.iter().collect();
    let fleet = TestGateway::start_fleet(18, routing(1, 2), &listed).await;
    let fleet: Vec<Arc<TestGateway>> = fleet.into_iter().map(Arc::new).collect();
    let (period, time) = (Duration::from_millis(330), 2 * WINDOW);
    send_load(&fleet, period, ADAPT_TIME).await;
    servers.iter().for_each(|server| server.run_times.lock().clear());
    let answers = send_load(&fleet, period, time).await;
    let allowed = EXCESS.0 * limit * WINDOW.as_secs_f64() + EXCESS.1;
    for server in &servers {
        let most = most_within_window(&server.run_times.lock());
        assert!(most as f64 <= allowed, "{} got {most} requests in 4 s", server.name);
    }
    let (served, refused): (Vec<_>, Vec<_>) =
        answers.iter().partition(|(answer, _)| answer.status == StatusCode::OK);
    let capacity = limit * servers.len() as f64 * time.as_secs_f64();
    assert!(served.len() as f64 >= 0.8 * capacity, "{} of {capacity} served", served.len());
    assert!(!refused.is_empty());
    for (answer, _) in &refused {
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(answer.headers.contains_key("retry-after"));
    }
    let refusal_time: Duration = refused.iter().map(|(_, time)| *time).sum();
    let mean = refusal_time / refused.len() as u32;
    assert!(mean < Duration::from_millis(125), "a refusal takes {mean:?}, half of the target");
}
