//! Entries that lose their links to servers while callers and other entries still reach them.

mod harness;

use harness::{LinkState, Script, ScriptedServer, TestGateway, routing};
use http::StatusCode;
use std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};
use tokio::{
    task::JoinSet,
    time::{interval, sleep},
};

/// Number of servers, alternately in the entries' failure domain and outside of it.
const SERVERS: usize = 9;
/// Number of entries; the first one loses its links.
const ENTRIES: usize = 4;
/// Time that an entry has to notice that its links are lost.
const ADAPT_TIME: Duration = Duration::from_secs(3);
/// Time for which callers then send requests.
const LOAD_TIME: Duration = Duration::from_secs(3);
/// Time between two requests of the callers of one entry.
const REQUEST_PERIOD: Duration = Duration::from_millis(15);
/// Time between two requests before the cut, so that few connections to servers are open.
const QUIET_PERIOD: Duration = Duration::from_millis(300);
/// One in this many first tries may fail at the entry that lost its links.
const MAX_FAILED_ONE_IN: usize = 50;
/// Share of requests by which an entry without most links may serve less than the others.
const MAX_PARTIAL_LOSS: f64 = 0.05;
/// Time that a server works on a request, in milliseconds.
const WORK_MS: u64 = 120;

async fn start_servers() -> Vec<Arc<ScriptedServer>> {
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let (name, domain) = (format!("s{number}"), ["a", "b"][number % 2]);
        let server = ScriptedServer::start(&name, domain, Script::Answer(200, WORK_MS)).await;
        server.is_bounded.store(true, Ordering::SeqCst);
        servers.push(server);
    }
    servers
}

async fn start() -> (Vec<Arc<ScriptedServer>>, Vec<Arc<TestGateway>>) {
    let servers = start_servers().await;
    let listed: Vec<&Arc<ScriptedServer>> = servers.iter().collect();
    let fleet = TestGateway::start_linked_fleet(ENTRIES, routing(1, 2), &listed).await;
    (servers, fleet.into_iter().map(Arc::new).collect())
}

/// Sends requests to an entry for `time`, every other one of which may not be repeated. Returns how
/// many were sent, and how many were answered by a server.
async fn send_load(gateway: &Arc<TestGateway>, tag: &str, time: Duration) -> (usize, usize) {
    send_every(REQUEST_PERIOD, gateway, tag, time).await
}

async fn send_every(
    period: Duration,
    gateway: &Arc<TestGateway>,
    tag: &str,
    time: Duration,
) -> (usize, usize) {
    let end = Instant::now() + time;
    let mut requests = JoinSet::new();
    let mut ticks = interval(period);
    for number in 0.. {
        ticks.tick().await;
        if Instant::now() >= end {
            break;
        }
        let (gateway, id) = (gateway.clone(), format!("{tag}-{number}"));
        requests.spawn(async move {
            let (method, path) = [("GET", "/read/x"), ("POST", "/order/x")][number % 2];
            gateway.send(method, &format!("{path}{number}"), &id).await
        });
    }
    let answers = requests.join_all().await;
    let served = answers.iter().filter(|answer| answer.status == StatusCode::OK).count();
    (answers.len(), served)
}

/// Cuts the first entry's links to the servers for which `is_affected` holds. Returns the share of
/// requests served at that entry and at another one.
async fn shares_after_cut(
    state: LinkState,
    is_affected: fn(&str) -> bool,
) -> ((usize, usize), f64) {
    let (_servers, fleet) = start().await;
    send_every(QUIET_PERIOD, &fleet[0], "before", Duration::from_millis(500)).await;
    fleet[0].replicas.set_links("entry-1", state, is_affected);
    send_load(&fleet[0], "adapt", ADAPT_TIME).await;
    let (cut, whole) = tokio::join!(
        send_load(&fleet[0], "cut", LOAD_TIME),
        send_load(&fleet[1], "whole", LOAD_TIME)
    );
    (cut, whole.1 as f64 / whole.0 as f64)
}

async fn check_whole_cut(state: LinkState) {
    let ((sent, served), _) = shares_after_cut(state, |_| true).await;
    let failed = sent - served;
    assert!(failed * MAX_FAILED_ONE_IN <= sent, "{failed} of {sent} first tries failed");
}

/// Guards against an entry that refuses its callers when its links to all servers fall silent.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn entry_with_silent_links_serves_through_other_entries() {
    check_whole_cut(LinkState::Silent).await;
}

/// Guards against an entry that refuses its callers when its links to all servers are reset.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn entry_with_reset_links_serves_through_other_entries() {
    check_whole_cut(LinkState::Reset).await;
}

/// Guards against an entry that refuses its callers when its open connections to servers live on
/// but new ones are refused.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn entry_that_opens_no_connection_serves_through_other_entries() {
    check_whole_cut(LinkState::RefusesNew).await;
}

/// Guards against an entry that overloads the few servers that it still reaches, and refuses the
/// rest of its callers.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn entry_without_most_links_serves_as_much_as_others() {
    let ((sent, served), whole) = shares_after_cut(LinkState::Reset, |server| server != "s0").await;
    let share = served as f64 / sent as f64;
    assert!(share >= whole - MAX_PARTIAL_LOSS, "{share:.3} served, {whole:.3} at other entries");
}

/// Guards against requests that enter the quarantine of all entries because an entry's links to
/// servers were reset under them, though no server crashed.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn lost_link_is_no_evidence_of_a_crash() {
    let (servers, fleet) = start().await;
    servers.iter().for_each(|server| *server.script.lock() = Script::Answer(200, 400));
    let cut_twice = async {
        for _ in 0..2 {
            sleep(Duration::from_millis(300)).await;
            fleet[0].replicas.set_links("entry-1", LinkState::Reset, |_| true);
            sleep(Duration::from_millis(700)).await;
            fleet[0].replicas.set_links("entry-1", LinkState::Open, |_| true);
        }
    };
    tokio::join!(cut_twice, send_load(&fleet[0], "lost", Duration::from_secs(2)));
    sleep(Duration::from_secs(1)).await;
    let quarantine = fleet[0].replicas.state.lock().view().quarantine().clone();
    assert!(quarantine.is_empty(), "{quarantine:?}");
}

/// Guards against requests that are refused because the open connections to all servers fell silent
/// for good, though new ones work.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn silent_connections_are_replaced_by_new_ones() {
    let servers = start_servers().await;
    let listed: Vec<&Arc<ScriptedServer>> = servers.iter().collect();
    let gateway = TestGateway::start_linked_fleet(1, routing(1, 2), &listed).await.remove(0);
    let gateway = Arc::new(gateway);
    send_load(&gateway, "before", Duration::from_secs(1)).await;
    gateway.replicas.links.lock().values().for_each(|link| link.silence_open());
    let (sent, served) = send_load(&gateway, "silent", Duration::from_secs(1)).await;
    assert_eq!(served, sent, "{} requests failed", sent - served);
}
