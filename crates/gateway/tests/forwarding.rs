//! What callers get, and how often servers run a request, under each fault of a server.

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
use types::{Command, ServerState};

async fn one_faulty(script: Script) -> (Arc<ScriptedServer>, Arc<ScriptedServer>, TestGateway) {
    // The faulty server is the only one in the entry's failure domain, so that it is asked first.
    let faulty = ScriptedServer::start("faulty", "a", script).await;
    let sound = ScriptedServer::start("sound", "b", Script::Answer(200, 0)).await;
    let gateway = TestGateway::start(routing(1, 2), &[&faulty, &sound]).await;
    (faulty, sound, gateway)
}

#[tokio::test]
async fn answer_of_the_server_is_passed_on_whole() {
    let (server, _, gateway) = one_faulty(Script::Answer(200, 0)).await;
    let answer = gateway.send("GET", "/read/x", "r1").await;
    assert_eq!((answer.status, answer.body.as_str()), (StatusCode::OK, "faulty"));
    assert_eq!(answer.headers["x-id"], "r1");
    assert_eq!(answer.headers["x-signed"], "yes");
    assert_eq!(server.runs(), 1);
}

#[tokio::test]
async fn idempotent_request_is_answered_by_another_server_after_each_fault() {
    let faults = [
        Script::Answer(500, 0),
        Script::NotRun,
        Script::BreakOff,
        Script::WrongId,
        Script::Unsigned,
        Script::Truncated,
    ];
    for fault in faults {
        let (_, sound, gateway) = one_faulty(fault).await;
        let answer = gateway.send("GET", "/read/x", "r1").await;
        assert_eq!((answer.status, answer.body.as_str()), (StatusCode::OK, "sound"), "{fault:?}");
        assert_eq!(sound.runs(), 1, "{fault:?}");
    }
}

#[tokio::test]
async fn request_that_may_have_run_is_not_sent_again_and_not_said_to_be_refused() {
    for fault in [Script::BreakOff, Script::WrongId, Script::Unsigned, Script::Truncated] {
        let (faulty, sound, gateway) = one_faulty(fault).await;
        let answer = gateway.send("POST", "/order/x", "r1").await;
        assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{fault:?}");
        assert_eq!((faulty.runs(), sound.runs()), (1, 0), "{fault:?}");
    }
}

#[tokio::test]
async fn request_that_was_not_run_goes_to_another_server() {
    let (faulty, sound, gateway) = one_faulty(Script::NotRun).await;
    let answer = gateway.send("POST", "/order/x", "r1").await;
    assert_eq!((answer.status, answer.body.as_str()), (StatusCode::OK, "sound"));
    assert_eq!((faulty.runs(), sound.runs()), (0, 1));
}

#[tokio::test]
async fn promise_of_a_server_that_ran_the_request_is_not_passed_on() {
    for status in [408, 429, 503] {
        let (_, _, gateway) = one_faulty(Script::Answer(status, 0)).await;
        let answer = gateway.send("POST", "/order/x", "r1").await;
        assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{status}");
        assert!(!answer.headers.contains_key("x-signed"), "{status}");
    }
}

/// Found by a hunt: trouble-2 of flakon-gw with seed 14187024474.
#[tokio::test]
async fn second_attempt_beside_the_first_counts_against_the_limit() {
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
async fn full_servers_get_nothing_and_the_caller_is_told_when_to_return() {
    let (server, other, gateway) = one_faulty(Script::Answer(200, 0)).await;
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
async fn slow_server_is_passed_over_for_one_in_another_domain() {
    let (slow, usual, gateway) = one_faulty(Script::Answer(200, 0)).await;
    slow.load.lock().slowness_percent = 400;
    *usual.script.lock() = Script::Answer(200, 100);
    for number in 0..5 {
        let answer = gateway.send("GET", "/read/x", &format!("r{number}")).await;
        assert_eq!(answer.body, "sound");
    }
    assert_eq!((slow.runs(), usual.runs()), (0, 5));
}

#[tokio::test]
async fn leaving_server_and_drained_domain_get_no_new_work() {
    let (first, second, gateway) = one_faulty(Script::Answer(200, 0)).await;
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
    // The server bears 5 requests a second, of which a single entry may use its share.
    let times = cold.run_times.lock().clone();
    assert!(!times.is_empty(), "its share is used");
    for start in &times {
        let within = |time: &&Instant| **time >= *start && **time - *start < Duration::from_secs(1);
        assert!(times.iter().filter(within).count() <= 2, "{times:?}");
    }
}

#[tokio::test]
async fn idempotent_request_is_cancelled_when_its_caller_leaves() {
    let server = ScriptedServer::start("s1", "a", Script::Answer(200, 1_000)).await;
    let gateway = TestGateway::start(routing(1, 1), &[&server]).await;
    let mut caller = TcpStream::connect(gateway.address).await.expect("the entry listens");
    // Bytes of a further request wait behind the first, which could hide the end of the connection.
    let request = "GET /read/x HTTP/1.1\r\nhost: shop.example\r\nx-id: r1\r\nx-ms: 1500\r\n\r\n";
    caller.write_all(format!("{request}{}", &request[..40]).as_bytes()).await.expect("sent");
    while server.runs() == 0 {
        sleep(Duration::from_millis(5)).await;
    }
    drop(caller);
    sleep(Duration::from_millis(1_300)).await;
    assert_eq!(server.runs(), 1);
    assert_eq!(server.finished.load(Ordering::SeqCst), 0, "the server must see the cancellation");
}

#[tokio::test]
async fn pipelined_requests_are_answered_in_order_and_the_stop_closes_behind_an_answer() {
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
    assert!(stopping.await.expect("stopped"), "all connections end");
    assert_eq!(caller.read(&mut buffer).await.expect("closed"), 0);
}

#[tokio::test]
async fn unknown_host_and_path_get_404_and_no_server_sees_them() {
    let (server, _, gateway) = one_faulty(Script::Answer(200, 0)).await;
    assert_eq!(gateway.send("GET", "/other/", "r1").await.status, StatusCode::NOT_FOUND);
    assert_eq!(server.probes.load(Ordering::SeqCst), 0);
}

/// A zone returns cold while another has room: its servers are not asked for every request, and no
/// request is refused.
#[tokio::test]
async fn zone_returning_cold_is_passed_over_beyond_its_rate() {
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
    let asked: usize = servers[..8].iter().map(|s| s.probes.load(Ordering::SeqCst)).sum();
    // Without memory each request asks a whole group of three.
    assert!(asked < 40 * 2, "cold servers were asked {asked} times");
    assert!(servers[8].runs() >= 20, "{}", servers[8].runs());
}

/// Found on days that end with a loss of power everywhere: entries were back 0.4 s before the first
/// view and sent all callers away, who came back later than their answer could have been there.
#[tokio::test]
async fn request_that_comes_before_the_first_view_is_served_once_it_is_there() {
    let server = ScriptedServer::start("sound", "a", Script::Answer(200, 0)).await;
    let minute = Duration::from_secs(60);
    let first_routes = StartupWait { expected_within: minute, max_wait: minute };
    let gateway = TestGateway::start_empty(first_routes).await;
    let publish = async {
        sleep(Duration::from_millis(100)).await;
        gateway.publish(routing(1, 2), &[&server]);
    };
    let request = gateway.send_allowing(minute, "GET", "/read/x", "r1");
    let (answer, ()) = tokio::join!(request, publish);
    assert_eq!((answer.status, answer.body.as_str()), (StatusCode::OK, "sound"));
}

#[tokio::test]
async fn entry_that_stays_without_a_view_refuses_at_once_and_says_when_to_come_back() {
    let first_routes = StartupWait { expected_within: Duration::ZERO, ..StartupWait::default() };
    let gateway = TestGateway::start_empty(first_routes).await;
    let answer = gateway.send("GET", "/read/x", "r1").await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers.contains_key("retry-after"), "{:?}", answer.headers);
}

#[tokio::test]
async fn caller_shed_by_a_server_with_free_slots_is_told_to_come_back_at_once() {
    let shedding = ScriptedServer::start("shedding", "a", Script::NotRun).await;
    let gateway = TestGateway::start(routing(1, 1), &[&shedding]).await;
    let answer = gateway.send("GET", "/read/x", "r1").await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    let wait: f64 = answer.headers["retry-after"].to_str().expect("text").parse().expect("s");
    assert!(wait > 0.0 && wait <= 0.1, "{wait}");
}
