//! Registered servers with values at the limits of their types, and services whose settings cannot be
//! used: other writers may leave such entries among proper ones.

mod harness;

use harness::{Script, ScriptedServer, TestGateway, announcement, routing};
use std::{net::SocketAddr, sync::Arc};
use types::{Announcement, Command, ServerIncarnation, ServerState};

/// Guards against an entry that ends, or stops following the view, on one odd server among those of
/// its service.
#[tokio::test]
async fn odd_servers_do_not_keep_an_entry_from_serving() {
    let sound = ScriptedServer::start("sound", "a", Script::Answer(200, 0)).await;
    let gateway = TestGateway::start(routing(1, 2), &[&sound]).await;
    let proper = announcement(&sound, ServerState::Ready, 1);
    let odd_addresses: [SocketAddr; 5] = [
        "127.0.0.1:65535".parse().expect("an address"),
        "[::1]:1".parse().expect("an address"),
        "[fe80::1]:8080".parse().expect("an address"),
        "255.255.255.255:8080".parse().expect("an address"),
        "224.0.0.1:8080".parse().expect("an address"),
    ];
    for (number, address) in odd_addresses.into_iter().enumerate() {
        let odd = Announcement {
            server: format!("odd-{number}").parse().expect("name"),
            address,
            slots: 4096,
            incarnation: ServerIncarnation(u64::MAX),
            sequence: u64::MAX,
            ..proper.clone()
        };
        odd.verify().expect("replicas take it");
        gateway.replicas.apply(&Command::Announce(Arc::new(odd)));
    }
    let mut document = routing(2, 2);
    document.pools[0].warm_up_ms = u32::MAX;
    document.pools[0].warm_up_rate_milli = u32::MAX;
    document.pools[0].max_connections = u32::MAX;
    gateway.publish(document, &[]);
    for number in 0..20 {
        let answer = gateway.send("GET", "/read/x", &format!("q{number}")).await;
        assert_eq!(answer.status, 200, "{}", answer.body);
    }
    // A health path that is no path makes the service unusable, and nothing else.
    let mut document = routing(3, 2);
    document.pools[0].health_path = "no path \u{1}".into();
    gateway.publish(document, &[]);
    gateway.send("GET", "/read/x", "r1").await;
    gateway.publish(routing(4, 2), &[]);
    let mut statuses = Vec::new();
    for number in 0..20 {
        statuses.push(gateway.send("GET", "/read/x", &format!("s{number}")).await.status);
    }
    assert!(statuses.ends_with(&[http::StatusCode::OK; 5]), "{statuses:?}");
}
