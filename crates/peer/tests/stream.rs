//! Links over plain TCP: answers, large frames, broken and silent peers.

use async_trait::async_trait;
use hawthornhill_peer::{
    PeerAnswer, PeerError, PeerHandler, PeerLink, PeerRequest, PeerTarget, StreamNode,
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

fn node(name: &str) -> Arc<StreamNode> {
    let counters = MetricsRegistry::default().decisions("links", "links");
    StreamNode::new(name.parse().expect("name"), EventTimeline::new(name), counters)
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
async fn requests_of_one_link_run_at_the_same_time_and_large_frames_pass() {
    let (target, link) = (serving().await, node("edge-1"));
    let small = link.call(&target, seen(1), LIMIT);
    let large = link.call(&target, seen(50_000), LIMIT);
    let (small, large) = tokio::join!(small, large);
    assert_eq!(text(small), "edge-1 sent 1");
    assert_eq!(text(large), "edge-1 sent 50000");
}

#[tokio::test]
async fn peer_that_is_not_there_is_reported_as_not_reached() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    drop(listener);
    let target = PeerTarget { host: "core-1".parse().expect("name"), address };
    let answer = node("edge-1").call(&target, seen(1), LIMIT).await;
    assert!(matches!(answer, Err(PeerError::NotReached { .. })), "{answer:?}");
}

#[tokio::test]
async fn silent_peer_is_given_up_and_the_next_request_opens_another_link() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let target = PeerTarget { host: "core-1".parse().expect("name"), address };
    let link = node("edge-1");
    let silent = tokio::spawn(async move {
        let first = listener.accept().await.expect("the first link");
        let second = listener.accept().await.expect("the second link");
        (first, second)
    });
    let answer = link.call(&target, seen(1), Duration::from_secs(20)).await;
    assert!(matches!(answer, Err(PeerError::BrokenOff { .. })), "{answer:?}");
    let _ = link.call(&target, seen(1), Duration::from_millis(200)).await;
    silent.await.expect("both links were opened");
}

#[tokio::test]
async fn garbage_ends_its_link_only() {
    let (target, link) = (serving().await, node("edge-1"));
    let mut stranger = TcpStream::connect(target.address).await.expect("it listens");
    stranger.write_all(&[0, 0, 0, 5, 1, 255, 255, 255, 255]).await.expect("sent");
    assert_eq!(text(link.call(&target, seen(2), LIMIT).await), "edge-1 sent 2");
}
