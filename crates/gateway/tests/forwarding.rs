//! Tests what callers receive, and how often servers run a request, for each fault of a server.

mod harness;

use harness::{Script, ScriptedServer, TestGateway, announcement, routing};
use http::StatusCode;
use policy::StartupWait;
use std::sync::atomic::Ordering;
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::sleep,
};
use types::{Command, RouteSpec, ServerState};

async fn start_with_faulty_server(
    script: Script,
) -> (Arc<ScriptedServer>, Arc<ScriptedServer>, TestGateway) {
    // The faulty server is the only one in the entry's failure domain, so that it is probed first.
    let faulty = ScriptedServer::start("faulty", "a", script).await;
    let sound = ScriptedServer::start("sound", "b", Script::Answer(200, 0)).await;
    let gateway = TestGateway::start(routing(1, 2), &[&faulty, &sound]).await;
    (faulty, sound, gateway)
}

#[tokio::test]
async fn response_of_the_server_is_forwarded_unchanged() {
    let (server, _, gateway) = start_with_faulty_server(Script::Answer(200, 0)).await;
    let answer = gateway.send("GET", "/read/x", "r1").await;
    assert_eq!((answer.status, answer.body.as_str()), (StatusCode::OK, "faulty"));
    assert_eq!(answer.headers["x-id"], "r1");
    assert_eq!(answer.headers["x-signed"], "yes");
    assert_eq!(server.runs(), 1);
}

#[tokio::test]
async fn idempotent_request_is_retried_at_another_server_after_each_fault() {
    let faults = [
        Script::Answer(500, 0),
        Script::NotRun,
        Script::BreakOff,
        Script::WrongId,
        Script::Unsigned,
        Script::Truncated,
    ];
    for fault in faults {
        let (_, sound, gateway) = start_with_faulty_server(fault).await;
        let answer = gateway.send("GET", "/read/x", "r1").await;
        assert_eq!((answer.status, answer.body.as_str()), (StatusCode::OK, "sound"), "{fault:?}");
        assert_eq!(sound.runs(), 1, "{fault:?}");
    }
}

#[tokio::test]
async fn non_idempotent_request_that_may_have_run_is_not_retried_and_not_reported_as_refused() {
    for fault in [Script::BreakOff, Script::WrongId, Script::Unsigned, Script::Truncated] {
        let (faulty, sound, gateway) = start_with_faulty_server(fault).await;
        let answer = gateway.send("POST", "/order/x", "r1").await;
        assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{fault:?}");
        assert_eq!((faulty.runs(), sound.runs()), (1, 0), "{fault:?}");
    }
}

#[tokio::test]
async fn non_idempotent_request_that_was_not_run_is_retried_at_another_server() {
    let (faulty, sound, gateway) = start_with_faulty_server(Script::NotRun).await;
    let answer = gateway.send("POST", "/order/x", "r1").await;
    assert_eq!((answer.status, answer.body.as_str()), (StatusCode::OK, "sound"));
    assert_eq!((faulty.runs(), sound.runs()), (0, 1));
}

#[tokio::test]
async fn refusal_status_of_a_server_that_ran_the_request_is_replaced() {
    for status in [408, 429, 503] {
        let (_, _, gateway) = start_with_faulty_server(Script::Answer(status, 0)).await;
        let answer = gateway.send("POST", "/order/x", "r1").await;
        assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{status}");
        assert!(!answer.headers.contains_key("x-signed"), "{status}");
    }
}

/// Guards against more attempts than `max_attempts`: a hedge was not counted, so that a retry was
/// still sent after the first attempt and its hedge had both failed.
#[tokio::test]
async fn hedged_attempt_counts_against_max_attempts() {
    let slow = [("s1", "a"), ("s2", "a"), ("s3", "b"), ("s4", "b")];
    let mut servers = Vec::new();
    for (name, domain) in slow {
        servers.push(ScriptedServer::start(name, domain, Script::Answer(500, 300)).await);
    }
    let all: Vec<&Arc<ScriptedServer>> = servers.iter().collect();
    let gateway = TestGateway::start(routing(1, 2), &all).await;
    let answer = gateway.send("GET", "/read/x", "r1").await;
    assert_eq!(answer.status, StatusCode::INTERNAL_SERVER_ERROR);
    let runs: usize = servers.iter().map(|server| server.runs()).sum();
    assert_eq!(runs, 2);
}

#[tokio::test]
async fn full_servers_get_no_request_and_the_refusal_has_a_retry_time() {
    let (server, other, gateway) = start_with_faulty_server(Script::Answer(200, 0)).await;
    for server in [&server, &other] {
        let mut load = server.load.lock();
        (load.running, load.waiting) = (3, 6);
    }
    let answer = gateway.send("POST", "/order/x", "r1").await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    let wait: f64 = answer.headers["retry-after"].to_str().expect("text").parse().expect("seconds");
    assert!(wait > 0.0);
    assert_eq!(server.runs() + other.runs(), 0);
}

#[tokio::test]
async fn slow_server_is_avoided_for_one_in_another_domain() {
    let (slow, normal, gateway) = start_with_faulty_server(Script::Answer(200, 0)).await;
    slow.load.lock().slowness_percent = 400;
    *normal.script.lock() = Script::Answer(200, 100);
    for number in 0..5 {
        let answer = gateway.send("GET", "/read/x", &format!("r{number}")).await;
        assert_eq!(answer.body, "sound");
    }
    assert_eq!((slow.runs(), normal.runs()), (0, 5));
}

#[tokio::test]
async fn leaving_server_and_drained_domain_get_no_new_requests() {
    let (first, second, gateway) = start_with_faulty_server(Script::Answer(200, 0)).await;
    let leaving = announcement(&first, ServerState::Leaving, 2);
    gateway.replicas.apply(&Command::Announce(Arc::new(leaving)));
    let is_known = || {
        let name = "faulty".parse().expect("name");
        gateway.node.view().server(&name).is_some_and(|s| s.state == ServerState::Leaving)
    };
    while !is_known() {
        sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(gateway.send("GET", "/read/x", "r1").await.body, "sound");
    let domain = "b".parse().expect("name");
    gateway.replicas.apply(&Command::SetDrain("b".parse().expect("name"), true));
    while !gateway.node.view().is_drained(&domain) {
        sleep(Duration::from_millis(5)).await;
    }
    let answer = gateway.send("GET", "/read/x", "r2").await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!((first.runs(), second.runs()), (0, 1));
}

#[tokio::test]
async fn cold_server_gets_no_more_than_its_rate() {
    let cold = ScriptedServer::start("cold", "a", Script::Answer(200, 0)).await;
    cold.cold_ms.store(3_000, Ordering::SeqCst);
    let gateway = TestGateway::start(routing(1, 2), &[&cold]).await;
    for number in 0..6 {
        gateway.send("GET", "/read/x", &format!("r{number}")).await;
    }
    // The cold server accepts 5 requests per second, of which a single entry may use its share.
    let times = cold.run_times.lock().clone();
    assert!(!times.is_empty(), "the entry must use its share");
    for start in &times {
        let within = |time: &&Instant| **time >= *start && **time - *start < Duration::from_secs(1);
        assert!(times.iter().filter(within).count() <= 2, "{times:?}");
    }
}

#[tokio::test]
async fn idempotent_request_is_cancelled_when_its_caller_disconnects() {
    let server = ScriptedServer::start("s1", "a", Script::Answer(200, 1_000)).await;
    let gateway = TestGateway::start(routing(1, 1), &[&server]).await;
    let mut caller = TcpStream::connect(gateway.address).await.expect("the entry listens");
    // Part of a second request follows the first. These unread bytes could keep the entry from
    // detecting that the connection is closed.
    let request = "GET /read/x HTTP/1.1\r\nhost: shop.example\r\nx-id: r1\r\nx-ms: 1500\r\n\r\n";
    caller.write_all(format!("{request}{}", &request[..40]).as_bytes()).await.expect("sent");
    while server.runs() == 0 {
        sleep(Duration::from_millis(5)).await;
    }
    drop(caller);
    sleep(Duration::from_millis(1_300)).await;
    assert_eq!(server.runs(), 1);
    assert_eq!(
        server.finished.load(Ordering::SeqCst),
        0,
        "the request must be cancelled at the server"
    );
}

#[tokio::test]
async fn pipelined_responses_are_in_order_and_a_stop_closes_connections_after_a_response() {
    let server = ScriptedServer::start("s1", "a", Script::Answer(200, 50)).await;
    let gateway = TestGateway::start(routing(1, 1), &[&server]).await;
    let mut caller = TcpStream::connect(gateway.address).await.expect("the entry listens");
    for id in ["r1", "r2"] {
        let request = format!(
            "GET /read/x HTTP/1.1\r\nhost: shop.example\r\nx-id: {id}\r\nx-ms: 1500\r\n\r\n"
        );
        caller.write_all(request.as_bytes()).await.expect("sent");
    }
    let mut text = String::new();
    let mut buffer = [0; 4096];
    while text.matches("HTTP/1.1 200").count() < 2 {
        let count = caller.read(&mut buffer).await.expect("answers");
        text.push_str(&String::from_utf8_lossy(&buffer[..count]));
    }
    let (first, second) = (text.find("x-id: r1"), text.find("x-id: r2"));
    assert!(first.expect("answered") < second.expect("answered"));
    let node = gateway.node.clone();
    let stopping = tokio::spawn(async move { node.stop().await });
    sleep(Duration::from_millis(50)).await;
    let answer = gateway.send("GET", "/read/x", "r3").await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.headers["connection"], "close");
    assert!(!gateway.node.is_ready());
    assert!(stopping.await.expect("stopped"), "all connections must close within the grace period");
    assert_eq!(caller.read(&mut buffer).await.expect("closed"), 0);
}

#[tokio::test]
async fn unknown_path_gets_404_without_a_probe() {
    let (server, _, gateway) = start_with_faulty_server(Script::Answer(200, 0)).await;
    assert_eq!(gateway.send("GET", "/other/", "r1").await.status, StatusCode::NOT_FOUND);
    assert_eq!(server.probes.load(Ordering::SeqCst), 0);
}

/// The servers of a failure domain are cold after a restart while another domain has free capacity.
/// Guards against probing the cold servers for every request, and against refusing requests.
#[tokio::test]
async fn cold_domain_gets_no_more_than_its_rate_while_another_has_capacity() {
    let mut servers = Vec::new();
    for number in 0..8 {
        let cold = ScriptedServer::start(&format!("c{number}"), "a", Script::Answer(200, 0)).await;
        cold.cold_ms.store(60_000, Ordering::SeqCst);
        servers.push(cold);
    }
    servers.push(ScriptedServer::start("warm", "b", Script::Answer(200, 0)).await);
    let all: Vec<&Arc<ScriptedServer>> = servers.iter().collect();
    let gateway = TestGateway::start(routing(1, 2), &all).await;
    for number in 0..40 {
        let answer = gateway.send("GET", "/read/x", &format!("r{number}")).await;
        assert_eq!(answer.status, StatusCode::OK, "{number}");
    }
    let probes: usize = servers[..8].iter().map(|s| s.probes.load(Ordering::SeqCst)).sum();
    // An entry that does not remember which servers are cold probes a group of three per request.
    assert!(probes < 40 * 2, "cold servers were probed {probes} times");
    assert!(servers[8].runs() >= 20, "{}", servers[8].runs());
}

/// Guards against refusals right after a start. After a power loss of all hosts, entries started
/// 0.4 s before they received their first view and refused all callers, whose retries came later
/// than a response to the first attempt would have.
#[tokio::test]
async fn request_before_the_first_view_waits_for_the_view() {
    let server = ScriptedServer::start("sound", "a", Script::Answer(200, 0)).await;
    let minute = Duration::from_secs(60);
    let startup_wait = StartupWait { expected_within: minute, max_wait: minute };
    let gateway = TestGateway::start_empty(startup_wait).await;
    let publish = async {
        sleep(Duration::from_millis(100)).await;
        gateway.publish(routing(1, 2), &[&server]);
    };
    let request = gateway.send_allowing(minute, "GET", "/read/x", "r1");
    let (answer, ()) = tokio::join!(request, publish);
    assert_eq!((answer.status, answer.body.as_str()), (StatusCode::OK, "sound"));
}

#[tokio::test]
async fn entry_without_a_view_refuses_immediately_with_a_retry_time() {
    let startup_wait = StartupWait { expected_within: Duration::ZERO, ..StartupWait::default() };
    let gateway = TestGateway::start_empty(startup_wait).await;
    let answer = gateway.send("GET", "/read/x", "r1").await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers.contains_key("retry-after"), "{:?}", answer.headers);
}

#[tokio::test]
async fn refusal_by_a_server_with_free_slots_has_a_short_retry_time() {
    let refusing = ScriptedServer::start("shedding", "a", Script::NotRun).await;
    let gateway = TestGateway::start(routing(1, 1), &[&refusing]).await;
    let answer = gateway.send("GET", "/read/x", "r1").await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    let wait: f64 = answer.headers["retry-after"].to_str().expect("text").parse().expect("s");
    assert!(wait > 0.0 && wait <= 0.1, "{wait}");
}

/// Guards against an entry that answers 404 on a route that was added since its view was last
/// confirmed, when the acknowledgement of the change is already old.
#[tokio::test]
async fn route_that_an_unconfirmed_view_lacks_is_not_denied() {
    let server = ScriptedServer::start("s1", "a", Script::Answer(200, 0)).await;
    let gateway = TestGateway::start(routing(1, 2), &[&server]).await;
    assert_eq!(gateway.send("GET", "/late/x", "r1").await.status, StatusCode::NOT_FOUND);
    gateway.replicas.is_silent.send_replace(true);
    let mut document = routing(2, 2);
    let added =
        RouteSpec { prefix: "/late/".into(), name: "late".into(), ..(*document.routes[0]).clone() };
    document.routes.push(Arc::new(added));
    gateway.publish(document, &[]);
    sleep(Duration::from_millis(1_200)).await;
    let refused = gateway.send("GET", "/late/x", "r2").await;
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(refused.headers.contains_key("retry-after"));
    assert_eq!(gateway.send("GET", "/read/x", "r3").await.status, StatusCode::OK);
    let confirm = async {
        sleep(Duration::from_millis(100)).await;
        gateway.replicas.is_silent.send_replace(false);
    };
    let (answer, ()) = tokio::join!(gateway.send("GET", "/late/x", "r4"), confirm);
    assert_eq!(answer.status, StatusCode::OK);
}
