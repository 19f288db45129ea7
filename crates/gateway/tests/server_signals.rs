//! Servers whose answers say that they are leaving or shed load: what an entry sends them afterwards.

mod harness;

use harness::{Script, ScriptedServer, TestGateway, announcement, routing};
use http::StatusCode;
use std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};
use tokio::time::sleep;
use types::{Command, ServerIncarnation, ServerState};

/// Starts an entry with a server in its own failure domain, which it prefers, and one in another.
async fn start() -> (Arc<ScriptedServer>, Arc<ScriptedServer>, TestGateway) {
    let near = ScriptedServer::start("near", "a", Script::Answer(200, 0)).await;
    let far = ScriptedServer::start("far", "b", Script::Answer(200, 0)).await;
    let gateway = TestGateway::start(routing(1, 2), &[&near, &far]).await;
    (near, far, gateway)
}

/// Returns the requests and probes that a server has got.
fn arrivals(server: &ScriptedServer) -> usize {
    server.runs() + server.probes.load(Ordering::SeqCst) + server.sheds.load(Ordering::SeqCst)
}

/// Pattern: a release drains servers under load. Guards against requests to a server that has said
/// in an answer that it is leaving, while the registry does not know it yet.
#[tokio::test]
async fn server_that_says_it_is_leaving_gets_no_further_request() {
    for has_answered_request in [true, false] {
        let (near, far, gateway) = start().await;
        if has_answered_request {
            // The mark arrives with the answer to a request: the probe before it does not have it.
            let slow = near.clone();
            *near.script.lock() = Script::Answer(200, 100);
            let request = gateway.send("GET", "/read/x", "r0");
            let mark = async {
                sleep(Duration::from_millis(50)).await;
                slow.is_leaving.store(true, Ordering::SeqCst);
            };
            tokio::join!(request, mark);
            *near.script.lock() = Script::Answer(200, 0);
            // The head of that answer was sent after the mark was set only if it was built then.
            gateway.send("GET", "/read/x", "r1").await;
        } else {
            near.is_leaving.store(true, Ordering::SeqCst);
            gateway.send("GET", "/read/x", "r0").await;
        }
        let before = arrivals(&near);
        for number in 0..20 {
            let answer = gateway.send("GET", "/read/x", &format!("q{number}")).await;
            assert_eq!((answer.status, answer.body.as_str()), (StatusCode::OK, "far"));
        }
        assert_eq!(arrivals(&near), before, "a request or probe was sent to a leaving server");
        assert!(far.runs() >= 20);
    }
}

/// Guards against a mark that a change of the view undoes: late announcements still say that the
/// server is ready, and it may drop out of the registry and come back.
#[tokio::test]
async fn mark_survives_changes_of_the_view_until_the_server_starts_again() {
    let (near, _far, gateway) = start().await;
    near.is_leaving.store(true, Ordering::SeqCst);
    gateway.send("GET", "/read/x", "r0").await;
    let before = arrivals(&near);
    let incarnation = ServerIncarnation(1);
    let expire = Command::Expire("near".parse().expect("name"), incarnation);
    let ready = Command::Announce(Arc::new(announcement(&near, ServerState::Ready, 2)));
    for command in [&ready, &expire, &ready] {
        gateway.replicas.apply(command);
        sleep(Duration::from_millis(400)).await;
        gateway.send("GET", "/read/x", "r1").await;
    }
    assert_eq!(arrivals(&near), before);
    // Another start of the server under the same name is a new server.
    near.is_leaving.store(false, Ordering::SeqCst);
    let mut restarted = announcement(&near, ServerState::Ready, 1);
    restarted.incarnation = ServerIncarnation(2);
    gateway.replicas.apply(&Command::Announce(Arc::new(restarted)));
    sleep(Duration::from_millis(400)).await;
    let answer = gateway.send("GET", "/read/x", "r2").await;
    assert_eq!(answer.body, "near");
}

/// Pattern: noisy neighbours make a server shed load. Guards against requests and probes within the
/// time for which it wants none.
#[tokio::test]
async fn shedding_server_gets_nothing_until_its_hold_ends() {
    let (near, far, gateway) = start().await;
    *near.sheds_for.lock() = "0.8".to_owned();
    let answer = gateway.send("GET", "/read/x", "r0").await;
    let shed_at = Instant::now();
    assert_eq!((answer.status, answer.body.as_str()), (StatusCode::OK, "far"));
    let before = arrivals(&near);
    assert_eq!(before, 1, "the refusal itself");
    while shed_at.elapsed() < Duration::from_millis(700) {
        gateway.send("GET", "/read/x", "r1").await;
    }
    assert_eq!(arrivals(&near), before, "a request or probe was sent during the hold");
    assert!(far.runs() > 1);
    near.sheds_for.lock().clear();
    sleep(Duration::from_millis(300)).await;
    assert_eq!(gateway.send("GET", "/read/x", "r2").await.body, "near");
}

/// Pattern: all servers shed load. Guards against a request that waits although nothing can serve it,
/// and against callers who return before a server takes requests again.
#[tokio::test]
async fn caller_is_refused_at_once_while_all_servers_shed_load() {
    let (near, far, gateway) = start().await;
    *near.sheds_for.lock() = "30".to_owned();
    *far.sheds_for.lock() = "1.5".to_owned();
    gateway.send("GET", "/read/x", "r0").await;
    let before = arrivals(&near) + arrivals(&far);
    let started = Instant::now();
    let answer = gateway.send("POST", "/order/x", "r1").await;
    assert!(started.elapsed() < Duration::from_millis(25), "{:?}", started.elapsed());
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    let wait: f64 = answer.headers["retry-after"].to_str().expect("text").parse().expect("seconds");
    assert!(wait >= 0.9, "callers return after {wait} s, servers after 1.5 s");
    assert_eq!(arrivals(&near) + arrivals(&far), before);
}
