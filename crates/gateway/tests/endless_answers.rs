//! Servers that send bytes without end: in a head, in a body, or behind an answer. Each is cut at a
//! stated bound, and the caller learns that the answer is not complete. Large proper answers are
//! streamed.

mod endless;
mod harness;

use endless::{
    ANSWERS, CALLER_TIMEOUT, CallerView, EndlessServer, OK_HEAD, SLACK, call, call_allowing,
    start_gateway,
};
use harness::{Script, ScriptedServer, announcement};
use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    sync::Semaphore,
    time::{sleep, timeout},
};
use types::{Announcement, ServerState};

/// Number of cases at the same time: each keeps a part of a processor busy.
const PARALLEL_CASES: usize = 8;

/// Guards against an answer without end that holds the caller beyond its deadline, that looks
/// complete, or that is reported as a refusal although the server has the request.
#[tokio::test(flavor = "multi_thread")]
async fn each_endless_answer_is_cut_and_never_looks_complete() {
    let mut runs = Vec::new();
    let permits = Arc::new(Semaphore::new(PARALLEL_CASES));
    for answer in ANSWERS {
        for pause in [None, Some(Duration::from_millis(5))] {
            for path in ["/read/x", "/order/x"] {
                let permits = permits.clone();
                runs.push(tokio::spawn(async move {
                    let _permit = permits.acquire().await.expect("not closed");
                    let (server, requests) = EndlessServer::start("endless", *answer, pause).await;
                    let gateway = start_gateway(&[server]).await;
                    let started = Instant::now();
                    let seen = timeout(CALLER_TIMEOUT + SLACK, call(&gateway, path)).await;
                    let case = format!("{}, pause {pause:?}, {path}", answer.name);
                    let seen = seen.unwrap_or_else(|_| panic!("{case}: held without end"));
                    let is_truthful = match seen {
                        CallerView::Incomplete | CallerView::Whole(502 | 504) => true,
                        CallerView::Whole(503) => requests.load(Ordering::SeqCst) == 0,
                        CallerView::Whole(_) => false,
                    };
                    assert!(is_truthful, "{case}: {seen:?} after {:?}", started.elapsed());
                }));
            }
        }
    }
    for run in runs {
        run.await.expect("no panic");
    }
}

/// Guards against an entry that decodes a line without end for as long as its caller waits, while
/// the other requests of its only thread wait for seconds. The entry has one thread here, as on the
/// users' hosts.
#[tokio::test]
async fn an_endless_chunk_size_starves_no_other_request() {
    const ALLOWED: Duration = Duration::from_secs(10);
    /// A line that is cut by its length needs none of the time that the caller allows.
    const CUT_WITHIN: Duration = Duration::from_secs(3);
    const MAX_LATENCY: Duration = Duration::from_millis(500);
    let chunk_size = ANSWERS.iter().find(|answer| answer.name == "chunk size").expect("a case");
    let mut servers = Vec::new();
    for name in ["endless-1", "endless-2", "endless-3"] {
        servers.push(EndlessServer::start_apart(name, *chunk_size).await);
    }
    let gateway = Arc::new(start_gateway(&servers).await);
    let started = Instant::now();
    let endless: Vec<_> = (0..3)
        .map(|_| {
            let gateway = gateway.clone();
            tokio::spawn(async move { call_allowing(&gateway, "/read/x", ALLOWED).await })
        })
        .collect();
    let mut slowest = Duration::ZERO;
    while started.elapsed() < CUT_WITHIN {
        let sent = Instant::now();
        let answer = gateway.send_allowing(ALLOWED, "GET", "/other/x", "r1").await;
        assert_eq!(answer.status, 200);
        slowest = slowest.max(sent.elapsed());
        sleep(Duration::from_millis(10)).await;
    }
    assert!(slowest < MAX_LATENCY, "another request waited {slowest:?}");
    for call in endless {
        let seen = timeout(Duration::from_millis(1), call).await;
        let seen = seen.expect("cut by its length").expect("no panic");
        assert!(matches!(seen, CallerView::Incomplete | CallerView::Whole(502)), "{seen:?}");
    }
}

/// Guards against a proper large answer that is refused or held in memory as a whole, and against a
/// connection that is not reused after it.
#[tokio::test(flavor = "multi_thread")]
async fn large_proper_answers_are_streamed() {
    const LARGE_BYTES: usize = 40 * 1024 * 1024;
    for framing in ["content-length: 41943040", "transfer-encoding: chunked"] {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let connections = Arc::new(AtomicU64::new(0));
        let counted = connections.clone();
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                counted.fetch_add(1, Ordering::SeqCst);
                tokio::spawn(async move {
                    let mut head = Vec::new();
                    while let Ok(byte) = stream.read_u8().await {
                        head.push(byte);
                        if !head.ends_with(b"\r\n\r\n") {
                            continue;
                        }
                        let is_probe = head.starts_with(b"GET /health");
                        head.clear();
                        let mut answer = if is_probe {
                            "HTTP/1.1 200 OK\r\nx-name: large\r\nx-load: 0,0,3,100\r\n\
                             content-length: 0\r\n\r\n"
                                .to_owned()
                        } else {
                            format!("{OK_HEAD}{framing}\r\n\r\n")
                        };
                        if !is_probe && framing.starts_with("transfer") {
                            answer += "2800000\r\n";
                        }
                        stream.write_all(answer.as_bytes()).await.expect("sent");
                        if !is_probe {
                            let block = vec![b'x'; 1024 * 1024];
                            for _ in 0..LARGE_BYTES / block.len() {
                                stream.write_all(&block).await.expect("sent");
                            }
                            if framing.starts_with("transfer") {
                                stream.write_all(b"\r\n0\r\n\r\n").await.expect("sent");
                            }
                        }
                    }
                });
            }
        });
        let scripted = ScriptedServer::start("large", "a", Script::Answer(200, 0)).await;
        let large = Announcement { address, ..announcement(&scripted, ServerState::Ready, 1) };
        let gateway = start_gateway(&[large]).await;
        for _ in 0..3 {
            let answer =
                gateway.send_allowing(Duration::from_secs(20), "GET", "/read/x", "r1").await;
            assert_eq!(answer.body.len(), LARGE_BYTES, "{framing}");
        }
        assert_eq!(connections.load(Ordering::SeqCst), 1, "{framing}: connections to the server");
    }
}
