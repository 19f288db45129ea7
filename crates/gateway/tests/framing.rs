//! Tests the parsing of requests at the byte level: pipelining, bodies, limits, and requests with
//! ambiguous framing, which could be used for request smuggling.

mod harness;

use harness::{Script, ScriptedServer, TestGateway, routing};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};
use types::CallerLimits;

async fn start(limits: CallerLimits, delay_ms: u64) -> (Arc<ScriptedServer>, TestGateway) {
    let server = ScriptedServer::start("s1", "a", Script::Answer(200, delay_ms)).await;
    let mut document = routing(1, 1);
    document.limits = limits;
    let gateway = TestGateway::start(document, &[&server]).await;
    (server, gateway)
}

fn get(id: &str) -> String {
    format!("GET /read/x HTTP/1.1\r\nhost: shop.example\r\nx-id: {id}\r\nx-ms: 1500\r\n\r\n")
}

/// Sends bytes and returns all that is received until the entry closes the connection or sends
/// nothing for 700 ms.
async fn exchange(gateway: &TestGateway, bytes: &str) -> String {
    let mut caller = TcpStream::connect(gateway.address).await.expect("the entry listens");
    caller.write_all(bytes.as_bytes()).await.expect("sent");
    let mut text = Vec::new();
    let mut buffer = [0; 8192];
    while let Ok(Ok(count)) = timeout(Duration::from_millis(700), caller.read(&mut buffer)).await {
        if count == 0 {
            break;
        }
        text.extend_from_slice(&buffer[..count]);
    }
    String::from_utf8_lossy(&text).into_owned()
}

#[tokio::test]
async fn pipelined_idempotent_requests_run_concurrently() {
    let (server, gateway) = start(CallerLimits::default(), 300).await;
    let mut caller = TcpStream::connect(gateway.address).await.expect("the entry listens");
    let started = Instant::now();
    caller.write_all((get("r1") + &get("r2") + &get("r3")).as_bytes()).await.expect("sent");
    while server.runs() < 3 {
        assert!(started.elapsed() < Duration::from_secs(5), "all three must start");
        sleep(Duration::from_millis(5)).await;
        // No response may arrive before all three requests have started.
        let mut buffer = [0; 1];
        let peeked = timeout(Duration::from_millis(1), caller.peek(&mut buffer)).await;
        assert!(
            peeked.is_err() || server.runs() == 3,
            "a response arrived before all three requests had started"
        );
    }
}

#[tokio::test]
async fn non_idempotent_request_waits_until_earlier_requests_are_answered() {
    let (server, gateway) = start(CallerLimits::default(), 50).await;
    let order = "POST /order/x HTTP/1.1\r\nhost: shop.example\r\nx-id: o1\r\nx-ms: 1500\r\n\
                 content-length: 3\r\n\r\nabc";
    let text = exchange(&gateway, &(get("r1") + order + &get("r2"))).await;
    let position = |id: &str| text.find(&format!("x-id: {id}")).expect("answered");
    assert!(position("r1") < position("o1") && position("o1") < position("r2"));
    assert_eq!(server.runs(), 3);
}

#[tokio::test]
async fn ambiguous_lengths_and_hosts_are_refused_and_no_later_request_runs() {
    let heads = [
        "content-length: 3\r\ntransfer-encoding: chunked\r\n",
        "content-length: 3\r\ncontent-length: 4\r\n",
        "content-length: +3\r\n",
        "transfer-encoding: gzip, chunked\r\n",
        "transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n",
        "host: other.example\r\n",
        "bad name: x\r\n",
    ];
    let (server, gateway) = start(CallerLimits::default(), 0).await;
    for head in heads {
        let request = format!("POST /order/x HTTP/1.1\r\nhost: shop.example\r\n{head}\r\nabc");
        let text = exchange(&gateway, &(request + &get("r1"))).await;
        assert!(text.starts_with("HTTP/1.1 400 "), "{head:?}: {text:?}");
        assert!(text.contains("connection: close"), "{head:?}");
        assert_eq!(text.matches("HTTP/1.1").count(), 1, "{head:?}");
    }
    assert_eq!(server.runs(), 0);
}

#[tokio::test]
async fn chunked_body_received_in_pieces_is_forwarded() {
    let (server, gateway) = start(CallerLimits::default(), 0).await;
    let mut caller = TcpStream::connect(gateway.address).await.expect("the entry listens");
    let request = "POST /order/x HTTP/1.1\r\nhost: shop.example\r\nx-id: o1\r\nx-ms: 1500\r\n\
                   transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nt: v\r\n\r\n";
    for piece in request.as_bytes().chunks(7) {
        caller.write_all(piece).await.expect("sent");
        sleep(Duration::from_millis(2)).await;
    }
    let mut buffer = [0; 4096];
    let count = caller.read(&mut buffer).await.expect("an answer");
    assert!(buffer[..count].starts_with(b"HTTP/1.1 200 "));
    assert_eq!(server.runs(), 1);
    assert_eq!(server.last_body.lock().as_slice(), b"abcde");
}

#[tokio::test]
async fn limits_on_head_and_body_are_enforced() {
    let limits =
        CallerLimits { max_head_bytes: 512, max_body_bytes: 10, ..CallerLimits::default() };
    let (server, gateway) = start(limits, 0).await;
    let long = "x".repeat(600);
    let request = format!("GET /read/{long} HTTP/1.1\r\nhost: shop.example\r\n\r\n");
    assert!(exchange(&gateway, &request).await.starts_with("HTTP/1.1 431 "));
    let head = "POST /order/x HTTP/1.1\r\nhost: shop.example\r\n";
    let text = exchange(&gateway, &format!("{head}content-length: 11\r\n\r\n")).await;
    assert!(text.starts_with("HTTP/1.1 413 "));
    let text = exchange(&gateway, &format!("{head}transfer-encoding: chunked\r\n\r\nb\r\n")).await;
    assert!(text.starts_with("HTTP/1.1 413 "));
    assert_eq!(server.runs(), 0);
}

#[tokio::test]
async fn slow_head_times_out_and_idle_connection_is_closed() {
    let limits =
        CallerLimits { head_timeout_ms: 100, idle_timeout_ms: 300, ..CallerLimits::default() };
    let (_, gateway) = start(limits, 0).await;
    let text = exchange(&gateway, "GET /read/x HTTP/1.1\r\nhost: sh").await;
    assert!(text.starts_with("HTTP/1.1 408 "), "{text:?}");
    assert_eq!(exchange(&gateway, "").await, "");
}

#[tokio::test]
async fn head_request_gets_no_body_and_its_connection_stays_open() {
    let (_, gateway) = start(CallerLimits::default(), 0).await;
    let head = get("r1").replacen("GET", "HEAD", 1);
    let text = exchange(&gateway, &(head + &get("r2"))).await;
    assert_eq!(text.matches("HTTP/1.1 200").count(), 2, "{text:?}");
    assert_eq!(text.matches("\r\n\r\ns1").count(), 1, "{text:?}");
}

/// Guards against limits that are fixed when a connection opens: connections that were open before
/// a change kept the previous limits until they closed, and those opened before the first view kept
/// the defaults.
#[tokio::test]
async fn changed_limits_apply_to_open_connections() {
    let (server, gateway) = start(CallerLimits::default(), 0).await;
    let mut caller = TcpStream::connect(gateway.address).await.expect("the entry listens");
    caller.write_all(get("r1").as_bytes()).await.expect("sent");
    let mut buffer = [0; 8192];
    let count = caller.read(&mut buffer).await.expect("an answer");
    assert!(String::from_utf8_lossy(&buffer[..count]).starts_with("HTTP/1.1 200"));
    let mut document = routing(2, 1);
    document.limits.max_head_bytes = 256;
    gateway.publish(document, &[&server]);
    while gateway.node.view().routing_version().0 < 2 {
        sleep(Duration::from_millis(5)).await;
    }
    let large = get("r2").replace("x-ms", &format!("x-pad: {}\r\nx-ms", "a".repeat(300)));
    caller.write_all(large.as_bytes()).await.expect("sent");
    let count = caller.read(&mut buffer).await.expect("an answer");
    assert!(String::from_utf8_lossy(&buffer[..count]).starts_with("HTTP/1.1 431"));
    assert_eq!(server.runs(), 1);
}
