//! What holds for requests that an entry without paths to servers sends to another entry.

mod harness;

use harness::{
    LinkState, RELAY_PORT, Script, ScriptedServer, SimulatedReplicas, TestGateway, next_ip, routing,
};
use http::StatusCode;
use std::{
    collections::HashSet,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    task::JoinSet,
    time::sleep,
};
use types::{Command, EntryIncarnation, EntryInfo};

/// Work of a server on one request, in milliseconds.
const WORK_MS: u64 = 100;

/// Starts entries and servers, and cuts the links of the first `cut` entries to all servers.
async fn start_cut(
    entries: usize,
    cut: usize,
    servers: usize,
) -> (Vec<Arc<ScriptedServer>>, Vec<Arc<TestGateway>>) {
    let mut started = Vec::new();
    for number in 0..servers {
        let name = format!("s{number}");
        let server = ScriptedServer::start(&name, "a", Script::Answer(200, WORK_MS)).await;
        server.is_bounded.store(true, Ordering::SeqCst);
        started.push(server);
    }
    let listed: Vec<&Arc<ScriptedServer>> = started.iter().collect();
    let fleet = TestGateway::start_linked_fleet(entries, routing(1, 2), &listed).await;
    for number in 1..=cut {
        fleet[0].replicas.set_links(&format!("entry-{number}"), LinkState::Reset, |_| true);
    }
    (started, fleet.into_iter().map(Arc::new).collect())
}

/// Guards against requests that entries pass to each other without end.
#[tokio::test]
async fn request_is_refused_at_once_when_no_entry_has_a_path() {
    let (_servers, fleet) = start_cut(4, 4, 3).await;
    for number in 0..6 {
        let started = Instant::now();
        let answer = fleet[number % 4].send("POST", "/order/x", &format!("r{number}")).await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(answer.headers.contains_key("retry-after"));
        assert!(started.elapsed() < Duration::from_millis(500), "{:?}", started.elapsed());
    }
}

/// Pattern: most entries are cut off at once while callers send more than the servers can take.
/// Guards against a second run, and against a refusal of a request that has run.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn burst_at_cut_entries_runs_no_order_twice_and_refuses_none_that_ran() {
    let (servers, fleet) = start_cut(4, 3, 4).await;
    let mut requests = JoinSet::new();
    for number in 0..240 {
        let (gateway, id) = (fleet[number % 4].clone(), format!("order-{number}"));
        requests.spawn(async move { (id.clone(), gateway.send("POST", "/order/x", &id).await) });
        sleep(Duration::from_millis(5)).await;
    }
    let answers = requests.join_all().await;
    let ran: Vec<String> = servers.iter().flat_map(|s| s.run_ids.lock().clone()).collect();
    let ran_once: HashSet<&String> = ran.iter().collect();
    assert_eq!(ran_once.len(), ran.len(), "an order ran twice");
    for (id, answer) in &answers {
        let is_served = answer.status == StatusCode::OK;
        assert!(is_served || answer.status == StatusCode::SERVICE_UNAVAILABLE, "{answer:?}");
        assert_eq!(ran_once.contains(id), is_served, "{id}: {answer:?}");
    }
    let served = answers.iter().filter(|(_, answer)| answer.status == StatusCode::OK).count();
    assert!(served >= 80, "{served} of 240 served by servers that can take 144");
}

/// Guards against an outcome that is not true when a relayed request ends badly at its server.
#[tokio::test]
async fn relayed_request_that_may_have_run_is_not_reported_as_refused() {
    let (servers, fleet) = start_cut(3, 1, 3).await;
    servers.iter().for_each(|server| *server.script.lock() = Script::BreakOff);
    let order = fleet[0].send("POST", "/order/x", "order").await;
    assert_eq!(order.status, StatusCode::BAD_GATEWAY);
    assert_eq!(servers.iter().map(|server| server.runs()).sum::<usize>(), 1);
    let read = fleet[0].send("GET", "/read/x", "read").await;
    assert_eq!(read.status, StatusCode::BAD_GATEWAY);
    assert_eq!(servers.iter().map(|server| server.runs()).sum::<usize>(), 3, "max_attempts is 2");
}

/// Guards against a server that runs on for a caller that has left the entry which relayed its
/// request.
#[tokio::test]
async fn relayed_request_is_cancelled_when_its_caller_disconnects() {
    let (servers, fleet) = start_cut(2, 1, 1).await;
    *servers[0].script.lock() = Script::Answer(200, 600);
    let caller = tokio::spawn({
        let gateway = fleet[0].clone();
        async move { gateway.send("GET", "/read/x", "read").await }
    });
    sleep(Duration::from_millis(300)).await;
    caller.abort();
    sleep(Duration::from_millis(800)).await;
    assert_eq!((servers[0].runs(), servers[0].finished.load(Ordering::SeqCst)), (1, 0));
}

/// Guards against requests that a planned stop of the entry they are relayed to cuts off.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn planned_stop_of_the_other_entry_cuts_off_no_relayed_request() {
    let (_servers, fleet) = start_cut(3, 1, 6).await;
    let mut requests = JoinSet::new();
    for number in 0..60 {
        if number == 20 {
            let stopped = fleet[1].node.clone();
            tokio::spawn(async move { stopped.stop().await });
        }
        let (gateway, id) = (fleet[0].clone(), format!("order-{number}"));
        requests.spawn(async move { gateway.send("POST", "/order/x", &id).await });
        sleep(Duration::from_millis(20)).await;
    }
    for answer in requests.join_all().await {
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    }
}

/// Guards against requests that reach a leaving server from an entry that had passed on that
/// server's notice from another entry.
#[tokio::test]
async fn notice_of_leaving_binds_the_entry_that_relays_it() {
    let (servers, fleet) = start_cut(2, 1, 1).await;
    servers[0].is_leaving.store(true, Ordering::SeqCst);
    // A probe would show that the server is leaving; only its answer says so here.
    servers[0].hides_leaving_from_probes.store(true, Ordering::SeqCst);
    assert_eq!(fleet[0].send("GET", "/read/x", "r1").await.status, StatusCode::OK);
    fleet[0].replicas.set_links("entry-1", LinkState::Open, |_| true);
    sleep(Duration::from_secs(3)).await;
    let answer = fleet[0].send("GET", "/read/x", "r2").await;
    assert_eq!((answer.status, servers[0].runs()), (StatusCode::SERVICE_UNAVAILABLE, 1));
}

/// Guards against a limit that entries exceed together because cut-off ones send through others.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn limit_of_a_server_holds_for_relayed_requests_too() {
    let (servers, fleet) = start_cut(6, 3, 1).await;
    *servers[0].limit_milli.lock() = Some(2_000);
    let mut requests = JoinSet::new();
    for number in 0..240 {
        let (gateway, id) = (fleet[number % 6].clone(), format!("read-{number}"));
        requests.spawn(async move { gateway.send("GET", "/read/x", &id).await });
        sleep(Duration::from_millis(25)).await;
    }
    requests.join_all().await;
    let times = servers[0].run_times.lock().clone();
    let adapted = times[0] + Duration::from_secs(2);
    let late = times.iter().filter(|time| **time > adapted).count();
    assert!(late <= 4 * 2 + 9, "{late} requests in 4 s, at most 2 a second are wanted");
}

/// Starts a process at the address of an entry that answers questions about reach, and the first
/// request on each connection with `response`. The connection then closes, or stays open but silent.
async fn start_false_entry(
    replicas: &Arc<SimulatedReplicas>,
    response: &'static str,
    stays_open: bool,
) {
    let ip = next_ip();
    let address = (ip, 1).into();
    let info = EntryInfo {
        name: "entry-2".parse().expect("name"),
        domain: "a".parse().expect("name"),
        incarnation: EntryIncarnation(2),
        caller_address: address,
        server_address: address,
        peer_address: address,
        operator_address: address,
        serving: true,
        owns_shards: false,
    };
    replicas.apply(&Command::PutEntry(info));
    let listener = TcpListener::bind((ip, RELAY_PORT)).await.expect("a free address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let reach = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\nhawthornhill-relay: \
                    {\"Reach\":{\"reachable\":9,\"listed\":9,\"routing\":1}}\r\n\r\n";
                let mut buffer = vec![0; 16 * 1024];
                while let Ok(count) = stream.read(&mut buffer).await {
                    let text = String::from_utf8_lossy(&buffer[..count]).into_owned();
                    let is_question = text.contains("{\"Reach\"");
                    let answer = if is_question { reach } else { response };
                    if count == 0 || stream.write_all(answer.as_bytes()).await.is_err() {
                        return;
                    }
                    if !is_question && stays_open {
                        std::future::pending::<()>().await;
                    }
                    if !is_question {
                        return;
                    }
                }
            });
        }
    });
}

/// Guards against answers of a faulty or crashed entry that reach callers as those of a server, and
/// against a second run of a request whose relay was lost.
#[tokio::test]
async fn faulty_answer_of_another_entry_leaves_the_outcome_unknown() {
    let tried = "hawthornhill-relay: {\"Answered\":[\"s0\"]}\r\nx-signed: yes\r\n";
    let cases = [
        ("", StatusCode::BAD_GATEWAY),
        (
            "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nx-signed: yes\r\n\r\nok",
            StatusCode::BAD_GATEWAY,
        ),
        (
            "HTTP/1.1 200 OK\r\ncontent-length: 9\r\nTRIEDx-id: r1\r\n\r\nok",
            StatusCode::BAD_GATEWAY,
        ),
        (
            "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nTRIEDx-id: r2\r\n\r\nok",
            StatusCode::BAD_GATEWAY,
        ),
        ("HTTP/1.1 200 OK\r\ncontent-length: 2\r\nTRIEDx-id: r1\r\n\r\nok", StatusCode::OK),
    ];
    for (response, expected) in cases {
        let response: &'static str = response.replace("TRIED", tried).leak();
        for (method, path) in [("POST", "/order/x"), ("GET", "/read/x")] {
            let (servers, fleet) = start_cut(1, 1, 1).await;
            start_false_entry(&fleet[0].replicas, response, false).await;
            sleep(Duration::from_millis(600)).await;
            let answer = fleet[0].send(method, path, "r1").await;
            assert_eq!(answer.status, expected, "{method} {response}: {answer:?}");
            assert!(!answer.headers.contains_key("hawthornhill-relay"));
            assert_eq!(servers[0].runs(), 0);
        }
    }
}

/// Guards against requests that are refused because open connections to other entries fell silent,
/// though new ones work.
#[tokio::test]
async fn silent_connection_to_another_entry_is_replaced() {
    let response = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nx-id: r1\r\n\
        hawthornhill-relay: {\"Answered\":[\"s0\"]}\r\nx-signed: yes\r\n\r\nok";
    let (_servers, fleet) = start_cut(1, 1, 1).await;
    start_false_entry(&fleet[0].replicas, response, true).await;
    sleep(Duration::from_millis(600)).await;
    for _ in 0..4 {
        assert_eq!(fleet[0].send("POST", "/order/x", "r1").await.status, StatusCode::OK);
    }
}
