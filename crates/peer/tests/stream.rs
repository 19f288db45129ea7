//! Links over plain TCP: requests, large frames, and malformed, absent or unresponsive peers.

use async_trait::async_trait;
use hawthornhill_peer::{
    PeerAnswer, PeerError, PeerHandler, PeerLink, PeerRequest, PeerTarget, TcpNode,
};
use runtime::{EventTimeline, MetricsRegistry};
use std::{sync::Arc, time::Duration};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
};
use types::{HostName, ServerIncarnation};

const LIMIT: Duration = Duration::from_secs(5);

struct EchoHandler;

#[async_trait]
impl PeerHandler for EchoHandler {
    async fn handle(&self, host: &HostName, request: PeerRequest) -> PeerAnswer {
        match request {
            PeerRequest::ServersSeen(servers) => {
                PeerAnswer::Refused(format!("{host} sent {}", servers.len()))
            }
            _ => PeerAnswer::Done,
        }
    }
}

fn node(name: &str) -> Arc<TcpNode> {
    let counters = MetricsRegistry::default().decisions("links", "links");
    TcpNode::new(name.parse().expect("name"), EventTimeline::new(name), counters)
}

async fn serving() -> PeerTarget {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(node("core-1").serve(listener, Arc::new(EchoHandler)));
    PeerTarget { host: "core-1".parse().expect("name"), address }
}

fn seen(count: u64) -> PeerRequest {
    let server = |n: u64| (format!("server-{n}").parse().expect("name"), ServerIncarnation(n));
    PeerRequest::ServersSeen((0..count).map(server).collect())
}

fn text(answer: Result<PeerAnswer, PeerError>) -> String {
    match answer {
        Ok(PeerAnswer::Refused(text)) => text,
        other => panic!("{other:?}"),
    }
}

#[tokio::test]
async fn link_serves_concurrent_requests_and_large_frames() {
    let (target, link) = (serving().await, node("edge-1"));
    let small = link.call(&target, seen(1), LIMIT);
    let large = link.call(&target, seen(50_000), LIMIT);
    let (small, large) = tokio::join!(small, large);
    assert_eq!(text(small), "edge-1 sent 1");
    assert_eq!(text(large), "edge-1 sent 50000");
}

#[tokio::test]
async fn absent_peer_is_reported_as_not_reached() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    drop(listener);
    let target = PeerTarget { host: "core-1".parse().expect("name"), address };
    let answer = node("edge-1").call(&target, seen(1), LIMIT).await;
    assert!(matches!(answer, Err(PeerError::NotReached { .. })), "{answer:?}");
}

/// Guards against links that stay open to a hung peer, which accepts connections but never answers.
#[tokio::test]
async fn unresponsive_link_is_closed_and_the_next_request_opens_another() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let target = PeerTarget { host: "core-1".parse().expect("name"), address };
    let link = node("edge-1");
    let unresponsive = tokio::spawn(async move {
        let first = listener.accept().await.expect("the first link");
        let second = listener.accept().await.expect("the second link");
        (first, second)
    });
    let answer = link.call(&target, seen(1), Duration::from_secs(20)).await;
    assert!(matches!(answer, Err(PeerError::ConnectionLost { .. })), "{answer:?}");
    let _ = link.call(&target, seen(1), Duration::from_millis(200)).await;
    unresponsive.await.expect("both links were opened");
}

/// Malformed bytes on one connection must not affect the connections of other peers.
#[tokio::test]
async fn malformed_frame_closes_only_its_own_link() {
    let (target, link) = (serving().await, node("edge-1"));
    let mut malformed_peer = TcpStream::connect(target.address).await.expect("it listens");
    malformed_peer.write_all(&[0, 0, 0, 5, 1, 255, 255, 255, 255]).await.expect("sent");
    assert_eq!(text(link.call(&target, seen(2), LIMIT).await), "edge-1 sent 2");
}
