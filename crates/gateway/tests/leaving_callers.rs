//! Callers that leave before their answer: servers must not work on for them.

mod harness;

use harness::{Script, ScriptedServer, TestGateway, routing};
use std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::oneshot,
    time::{sleep, timeout},
};
use types::{Announcement, ServerState};

/// Work of a request, far longer than a server may go on for a caller that has left.
const WORK_MS: u64 = 3_000;
/// Time in which the entry must have cancelled a request.
const CANCEL_TIME: Duration = Duration::from_millis(500);
const SLACK: Duration = Duration::from_secs(5);

async fn start() -> (Arc<ScriptedServer>, TestGateway) {
    let server = ScriptedServer::start("s1", "a", Script::Answer(200, WORK_MS)).await;
    let gateway = TestGateway::start(routing(1, 1), &[&server]).await;
    (server, gateway)
}

fn get(id: &str, fields: &str) -> String {
    format!(
        "GET /read/x HTTP/1.1\r\nhost: shop.example\r\nx-id: {id}\r\nx-ms: 5000\r\n{fields}\r\n"
    )
}

async fn wait_for_runs(server: &ScriptedServer, count: usize) {
    let started = Instant::now();
    while server.runs() < count {
        assert!(started.elapsed() < SLACK, "{} of {count} requests run", server.runs());
        sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against servers that work on for callers that have left, since an entry reads no more from
/// a connection after a request that announces its close.
#[tokio::test]
async fn requests_of_callers_that_leave_are_cancelled() {
    let last = "connection: close\r\n";
    let cases = [
        ("one request", get("r1", ""), 1),
        ("the last request", get("r1", last), 1),
        ("HTTP/1.0", get("r1", "").replace("HTTP/1.1", "HTTP/1.0"), 1),
        ("pipelined requests", get("r1", "") + &get("r2", last), 2),
        ("bytes behind the last request", get("r1", last) + "more", 1),
        ("a body that is refused behind a request", get("r1", "") + "bad\r\n\r\n", 1),
    ];
    for (case, bytes, runs) in cases {
        let (server, gateway) = start().await;
        let mut caller = TcpStream::connect(gateway.address).await.expect("the entry listens");
        caller.write_all(bytes.as_bytes()).await.expect("sent");
        wait_for_runs(&server, runs).await;
        assert_eq!(server.open_requests(), runs, "{case}");
        drop(caller);
        sleep(CANCEL_TIME).await;
        assert_eq!(server.open_requests(), 0, "{case}: the server works on");
        assert_eq!(server.finished.load(Ordering::SeqCst), 0, "{case}");
    }
}

/// Guards against a server that holds a streamed answer open for a caller that has left, while it
/// sends nothing.
#[tokio::test]
async fn streamed_answer_of_a_caller_that_leaves_is_cancelled() {
    const FIRST_BYTES: usize = 256 * 1024;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let (closed, was_closed) = oneshot::channel();
    tokio::spawn(async move {
        let mut closed = Some(closed);
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut head = Vec::new();
            while let Ok(byte) = stream.read_u8().await {
                head.push(byte);
                if !head.ends_with(b"\r\n\r\n") {
                    continue;
                }
                if head.starts_with(b"GET /health") {
                    let answer = "HTTP/1.1 200 OK\r\nx-name: slow\r\nx-load: 0,0,3,100\r\n\
                                  content-length: 0\r\n\r\n";
                    stream.write_all(answer.as_bytes()).await.expect("sent");
                    head.clear();
                    continue;
                }
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nx-id: r1\r\nx-signed: yes\r\ncontent-length: {}\r\n\r\n{}",
                    2 * FIRST_BYTES,
                    "x".repeat(FIRST_BYTES)
                );
                stream.write_all(answer.as_bytes()).await.expect("sent");
                // Ends when the entry closes the connection.
                let _ = stream.read_u8().await;
                if let Some(closed) = closed.take() {
                    closed.send(()).expect("the test waits");
                }
                break;
            }
        }
    });
    let scripted = ScriptedServer::start("slow", "a", Script::Answer(200, 0)).await;
    let slow = Announcement { address, ..harness::announcement(&scripted, ServerState::Ready, 1) };
    let gateway = TestGateway::start(routing(1, 1), &[]).await;
    gateway.replicas.apply(&types::Command::Announce(Arc::new(slow)));
    sleep(Duration::from_millis(400)).await;
    let mut caller = TcpStream::connect(gateway.address).await.expect("the entry listens");
    caller.write_all(get("r1", "").as_bytes()).await.expect("sent");
    let mut first = vec![0; FIRST_BYTES];
    timeout(SLACK, caller.read_exact(&mut first)).await.expect("in time").expect("a part");
    drop(caller);
    timeout(CANCEL_TIME, was_closed).await.expect("cancelled").expect("no panic");
}
