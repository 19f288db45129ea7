//! Planned stops of an entry while callers have several requests on one connection, or have sent a
//! part of one.

mod harness;

use harness::{Script, ScriptedServer, TestGateway, routing};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinHandle,
    time::{sleep, timeout},
};

/// Time in which the test machine starts what is due at once.
const SLACK: Duration = Duration::from_secs(5);
/// The stage in which a stopping entry still accepts connections, with time to spare.
const ACCEPT_GRACE: Duration = Duration::from_millis(400);

async fn start(delay_ms: u64) -> (Arc<ScriptedServer>, TestGateway) {
    let server = ScriptedServer::start("s1", "a", Script::Answer(200, delay_ms)).await;
    let gateway = TestGateway::start(routing(1, 1), &[&server]).await;
    (server, gateway)
}

fn get(id: &str) -> String {
    format!("GET /read/x HTTP/1.1\r\nhost: shop.example\r\nx-id: {id}\r\nx-ms: 3000\r\n\r\n")
}

async fn connect(gateway: &TestGateway, bytes: &str) -> TcpStream {
    let mut caller = TcpStream::connect(gateway.address).await.expect("the entry listens");
    caller.write_all(bytes.as_bytes()).await.expect("sent");
    caller
}

async fn wait_for_runs(server: &ScriptedServer, count: usize) {
    let started = Instant::now();
    while server.runs() < count {
        assert!(started.elapsed() < SLACK, "{} of {count} requests run", server.runs());
        sleep(Duration::from_millis(5)).await;
    }
}

fn stop(gateway: &TestGateway) -> JoinHandle<bool> {
    let node = gateway.node.clone();
    tokio::spawn(async move { node.stop().await })
}

/// Reads until the entry closes the connection. Returns each response as text.
async fn read_responses(caller: &mut TcpStream) -> Vec<String> {
    let mut bytes = Vec::new();
    let read = timeout(2 * SLACK, caller.read_to_end(&mut bytes)).await;
    read.expect("the entry closes the connection").expect("no reset");
    let text = String::from_utf8(bytes).expect("text");
    text.split("HTTP/1.1 ").skip(1).map(str::to_owned).collect()
}

/// Guards against requests that servers run, and that the caller gets no answer to, because the
/// entry closes the connection after the first response of a planned stop.
#[tokio::test]
async fn planned_stop_answers_pipelined_requests_that_run() {
    let (server, gateway) = start(300).await;
    let mut caller = connect(&gateway, &(get("r1") + &get("r2") + &get("r3"))).await;
    wait_for_runs(&server, 3).await;
    let stopping = stop(&gateway);
    let responses = read_responses(&mut caller).await;
    assert_eq!(responses.len(), 3, "{responses:?}");
    for (response, id) in responses.iter().zip(["r1", "r2", "r3"]) {
        assert!(response.starts_with("200 ") && response.contains(id), "{response}");
        assert_eq!(response.contains("connection: close"), id == "r3", "{response}");
    }
    assert!(stopping.await.expect("no panic"), "all connections are closed");
}

/// Guards against a stop that never ends on a connection whose caller keeps sending, and against
/// requests that are passed on and then dropped.
#[tokio::test]
async fn stopping_entry_starts_no_request_behind_a_running_one() {
    let (server, gateway) = start(300).await;
    let mut caller = connect(&gateway, &get("r1")).await;
    wait_for_runs(&server, 1).await;
    let stopping = stop(&gateway);
    sleep(Duration::from_millis(50)).await;
    caller.write_all((get("r2") + &get("r3")).as_bytes()).await.expect("sent");
    let responses = read_responses(&mut caller).await;
    assert_eq!(responses.len(), 1, "{responses:?}");
    assert!(responses[0].contains("connection: close"), "{responses:?}");
    assert_eq!(server.runs(), 1);
    assert!(stopping.await.expect("no panic"), "all connections are closed");
}

/// Guards against requests that are complete only late in a planned stop, are passed on, and are cut
/// at its end, among them those that may not be repeated.
#[tokio::test]
async fn request_that_is_complete_late_in_a_planned_stop_is_refused_and_not_run() {
    let (server, gateway) = start(60_000).await;
    let head = "POST /order/x HTTP/1.1\r\nhost: shop.example\r\nx-id: o1\r\nx-ms: 60000\r\n\
                content-length: 3\r\n\r\na";
    let mut caller = connect(&gateway, head).await;
    sleep(Duration::from_millis(50)).await;
    let stopping = stop(&gateway);
    sleep(ACCEPT_GRACE).await;
    let completed = Instant::now();
    caller.write_all(b"bc").await.expect("sent");
    let responses = read_responses(&mut caller).await;
    assert_eq!(responses.len(), 1, "{responses:?}");
    assert!(responses[0].starts_with("503 "), "{responses:?}");
    assert!(responses[0].contains("connection: close"), "{responses:?}");
    assert!(completed.elapsed() < Duration::from_secs(1), "refused at once");
    assert_eq!(server.runs(), 0);
    assert!(stopping.await.expect("no panic"), "all connections are closed");
}
