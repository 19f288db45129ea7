//! Links over QUIC: which peers are accepted, and which are rejected and counted.

use async_trait::async_trait;
use hawthornhill_peer::{
    KeyIssuer, PeerAnswer, PeerError, PeerHandler, PeerLink, PeerRequest, PeerTarget, QuicNode,
    TlsMaterial,
};
use runtime::{DecisionCounters, EventTimeline, MetricsRegistry};
use std::{net::SocketAddr, path::Path, sync::Arc, time::Duration};
use tempfile::tempdir;
use types::{Command, HostName};

struct Echo;

#[async_trait]
impl PeerHandler for Echo {
    async fn handle(&self, host: &HostName, _request: PeerRequest) -> PeerAnswer {
        PeerAnswer::Refused(host.to_string())
    }
}

fn node(folder: &Path) -> (Arc<QuicNode>, DecisionCounters) {
    let material = TlsMaterial::load(folder).expect("keys");
    let counters = MetricsRegistry::default().decisions("links", "test");
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let timeline = EventTimeline::new("test");
    let node = QuicNode::bind(address, &material, timeline, counters.clone()).expect("binds");
    (node, counters)
}

async fn call(
    from: &Arc<QuicNode>,
    host: &str,
    address: SocketAddr,
) -> Result<PeerAnswer, PeerError> {
    let target = PeerTarget { host: host.parse().expect("valid"), address };
    let request = PeerRequest::Submit(Command::BalanceRanges);
    from.call(&target, request, Duration::from_secs(5)).await
}

#[tokio::test(flavor = "multi_thread")]
async fn only_hosts_of_the_same_authority_under_their_own_names_are_accepted() {
    let folder = tempdir().expect("folder");
    let path = |name: &str| folder.path().join(name);
    let own_issuer = KeyIssuer::open(&path("ours")).expect("authority");
    let foreign_issuer = KeyIssuer::open(&path("theirs")).expect("authority");
    own_issuer.issue_host("server", 30, &path("server")).expect("issued");
    own_issuer.issue_host("trusted", 30, &path("trusted")).expect("issued");
    own_issuer.issue_host("expired", -1, &path("expired")).expect("issued");
    own_issuer.issue_operator("operator", 30, &path("operator")).expect("issued");
    foreign_issuer.issue_host("trusted", 30, &path("foreign")).expect("issued");

    let (server, counters) = node(&path("server"));
    let address = server.address().expect("bound");
    tokio::spawn(server.clone().serve(Arc::new(Echo)));

    let (trusted, _) = node(&path("trusted"));
    let answer = call(&trusted, "server", address).await.expect("accepted");
    assert!(
        matches!(answer, PeerAnswer::Refused(host) if host == "trusted"),
        "named by its certificate"
    );
    assert_eq!(counters.get("link-accepted"), 1);

    // The host at this address has a different name than the target.
    let (other, _) = node(&path("trusted"));
    let result = call(&other, "replica-9", address).await;
    assert!(matches!(result, Err(PeerError::NotReached { .. })), "{result:?}");

    for name in ["foreign", "expired", "operator"] {
        let before = counters.get("link-refused");
        let (client, _) = node(&path(name));
        let result = call(&client, "server", address).await;
        assert!(result.is_err(), "{name}: {result:?}");
        for _ in 0..100 {
            if counters.get("link-refused") > before {
                break;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        assert!(counters.get("link-refused") > before, "{name} is counted");
    }
    assert_eq!(counters.get("link-accepted"), 1, "no other host was accepted");

    // Packets that are not QUIC are ignored and do not disturb the server.
    let socket = tokio::net::UdpSocket::bind("127.0.0.1:0").await.expect("socket");
    for _ in 0..20 {
        socket
            .send_to(b"plain text, long enough to look like a packet", address)
            .await
            .expect("sent");
    }
    let answer = call(&trusted, "server", address).await;
    assert!(answer.is_ok(), "the server still answers");
}

#[test]
fn errors_name_the_unusable_key_file() {
    let folder = tempdir().expect("folder");
    let error = TlsMaterial::load(folder.path()).expect_err("no files").to_string();
    assert!(error.contains("host-authority.pem"), "{error}");
    let issuer = KeyIssuer::open(&folder.path().join("authority")).expect("authority");
    let keys = folder.path().join("keys");
    issuer.issue_host("host", 30, &keys).expect("issued");
    std::fs::write(keys.join("private.key"), "nonsense").expect("written");
    let error = TlsMaterial::load(&keys).expect_err("bad key").to_string();
    assert!(error.contains("private.key"), "{error}");
}
