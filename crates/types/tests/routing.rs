//! Routing documents, the registry of servers and drains.

use hawthornhill_types::{
    AnnounceDecision, Announcement, CallerLimits, ClusterState, ClusterView, Command,
    CommandAnswer, LogTime, PoolSpec, RoutePart, RouteSpec, RouteTable, RoutingDecision,
    RoutingDocument, RoutingError, RoutingVersion, ServerIncarnation, ServerState, ViewUpdate,
};
use std::sync::Arc;

fn route(name: &str, prefix: &str, service: &str) -> RouteSpec {
    RouteSpec {
        name: name.into(),
        host: "shop.example".into(),
        prefix: prefix.into(),
        is_idempotent: true,
        timeout_ms: 1_000,
        target_ms: 300,
        priority: 1,
        max_attempts: 2,
        parts: [RoutePart { service: service.parse().expect("name"), weight: 1 }]
            .into_iter()
            .collect(),
    }
}

fn document(version: u64, routes: Vec<RouteSpec>) -> RoutingDocument {
    let pool = |service: &str| PoolSpec {
        service: service.parse().expect("name"),
        health_path: "/health".into(),
        max_connections: 10,
        warm_up_ms: 3_000,
        warm_up_rate_milli: 5_000,
    };
    RoutingDocument {
        version: RoutingVersion(version),
        routes: routes.into_iter().map(Arc::new).collect(),
        pools: vec![pool("desk"), pool("archive")],
        limits: CallerLimits::default(),
    }
}

fn put(state: &mut ClusterState, document: &RoutingDocument, text: &str) -> RoutingDecision {
    let command = Command::PutRouting(Arc::new(document.clone()), text.into());
    match state.apply(LogTime(1), &command) {
        CommandAnswer::Routing(decision) => decision,
        other => panic!("{other:?}"),
    }
}

fn announcement(server: &str, incarnation: u64, sequence: u64) -> Announcement {
    Announcement {
        server: server.parse().expect("name"),
        service: "desk".parse().expect("name"),
        address: ([10, 0, 0, 1], 8_080).into(),
        domain: "north".parse().expect("name"),
        slots: 2,
        incarnation: ServerIncarnation(incarnation),
        sequence,
        state: ServerState::Ready,
    }
}

fn announce(state: &mut ClusterState, announcement: &Announcement) -> AnnounceDecision {
    let command = Command::Announce(Arc::new(announcement.clone()));
    match state.apply(LogTime(1), &command) {
        CommandAnswer::Announce(decision) => decision,
        other => panic!("{other:?}"),
    }
}

#[test]
fn highest_version_is_in_force_whatever_the_order_of_arrival() {
    let mut state = ClusterState::default();
    let newer = document(7, vec![route("a", "/a/", "desk")]);
    let older = document(4, vec![route("a", "/a/", "archive")]);
    assert_eq!(put(&mut state, &newer, "newer"), RoutingDecision::InForce);
    let superseded = RoutingDecision::Superseded(RoutingVersion(7));
    assert_eq!(put(&mut state, &older, "older"), superseded);
    assert_eq!(put(&mut state, &newer, "newer"), RoutingDecision::InForce);
    let other = document(7, vec![route("a", "/a/", "archive")]);
    assert_eq!(put(&mut state, &other, "other"), RoutingDecision::OtherContent);
    assert_eq!(state.view().routing().map(|current| current.as_ref()), Some(&newer));
    assert_eq!(&**state.routing_source(), "newer");
}

/// An entry that applies patches must hold the same routes as one that is sent the whole document.
#[test]
fn patches_produce_the_same_routes_as_the_whole_document() {
    let mut state = ClusterState::default();
    let versions = [
        document(1, vec![route("a", "/a/", "desk"), route("b", "/b/", "desk")]),
        document(3, vec![route("a", "/a/", "archive"), route("b", "/b/", "desk")]),
        document(4, vec![route("b", "/b/", "desk"), route("c", "/b/c/", "archive")]),
        document(9, vec![route("d", "/b/c/", "desk")]),
    ];
    let mut follower = ClusterView::default();
    for document in &versions {
        put(&mut state, document, "text");
        let update = state.update_since(follower.version);
        if document.version > RoutingVersion(1) {
            assert!(matches!(&update, ViewUpdate::Changes(changes) if changes.len() == 1));
        }
        follower.update(update);
        let sorted = |document: &RoutingDocument| {
            let mut routes = document.routes.clone();
            routes.sort_by_key(|route| route.match_key());
            routes
        };
        let current = follower.routing().expect("a document");
        assert_eq!(sorted(current), sorted(document));
        assert_eq!(current.version, document.version);
    }
}

#[test]
fn longest_prefix_of_the_host_is_chosen() {
    let routes = vec![route("short", "/b/", "desk"), route("long", "/b/c/", "archive")];
    let table = RouteTable::new(&document(1, routes));
    let name = |host: &str, path: &str| table.find(host, path).map(|r| r.name.to_string());
    assert_eq!(name("shop.example", "/b/c/d").as_deref(), Some("long"));
    assert_eq!(name("shop.example", "/b/cd").as_deref(), Some("short"));
    assert_eq!(name("shop.example", "/x/"), None);
    assert_eq!(name("other.example", "/b/"), None);
}

#[test]
fn invalid_documents_are_refused_with_the_route_named() {
    let verify_edited = |edit: fn(&mut RouteSpec)| {
        let mut route = route("a", "/a/", "desk");
        edit(&mut route);
        document(1, vec![route]).verify()
    };
    let name = || Arc::from("a");
    assert_eq!(verify_edited(|_| ()), Ok(()));
    assert_eq!(verify_edited(|r| r.parts[0].weight = 0), Err(RoutingError::NoWeight(name())));
    assert_eq!(verify_edited(|r| r.parts.clear()), Err(RoutingError::NoWeight(name())));
    assert_eq!(verify_edited(|r| r.max_attempts = 0), Err(RoutingError::NoAttempts(name())));
    assert_eq!(verify_edited(|r| r.prefix = "a/".into()), Err(RoutingError::InvalidPrefix(name())));
    assert_eq!(verify_edited(|r| r.timeout_ms = 0), Err(RoutingError::NoTimeout(name())));
    let unknown = document(1, vec![route("a", "/a/", "nobody")]).verify();
    assert!(matches!(unknown, Err(RoutingError::UnknownService { .. })));
    let duplicate = document(1, vec![route("a", "/a/", "desk"), route("b", "/a/", "desk")]);
    assert!(matches!(duplicate.verify(), Err(RoutingError::DuplicateRoute { .. })));
}

#[test]
fn requests_are_split_by_weight() {
    let mut split = route("a", "/a/", "desk");
    split.parts[0].weight = 90;
    split.parts.push(RoutePart { service: "archive".parse().expect("name"), weight: 10 });
    let archive = (0..1_000).filter(|n| {
        split.pick_service(f64::from(*n) / 1_000.0).map(|s| s.as_str()) == Some("archive")
    });
    assert_eq!(archive.count(), 100);
}

#[test]
fn delayed_announcement_of_an_earlier_incarnation_is_stale() {
    let mut state = ClusterState::default();
    assert_eq!(announce(&mut state, &announcement("s1", 5, 9)), AnnounceDecision::Registered);
    assert_eq!(announce(&mut state, &announcement("s1", 4, 99)), AnnounceDecision::Stale);
    // A newer server at the same address replaces the earlier one, whose process has ended.
    assert_eq!(announce(&mut state, &announcement("s2", 6, 1)), AnnounceDecision::Registered);
    assert_eq!(announce(&mut state, &announcement("s1", 5, 10)), AnnounceDecision::Stale);
    let names: Vec<_> = state.view().servers().map(|s| s.server.to_string()).collect();
    assert_eq!(names, ["s2"]);
}

#[test]
fn leaving_or_departed_server_keeps_that_state_until_it_restarts() {
    let mut state = ClusterState::default();
    announce(&mut state, &announcement("s1", 5, 1));
    let leaving = Announcement { state: ServerState::Leaving, ..announcement("s1", 5, 3) };
    assert_eq!(announce(&mut state, &leaving), AnnounceDecision::Registered);
    announce(&mut state, &announcement("s1", 5, 4));
    let name = "s1".parse().expect("name");
    assert_eq!(state.view().server(&name).map(|s| s.state), Some(ServerState::Leaving));
    state.apply(LogTime(1), &Command::Depart("s1".parse().expect("name")));
    assert_eq!(announce(&mut state, &announcement("s1", 5, 5)), AnnounceDecision::Stale);
    assert_eq!(announce(&mut state, &announcement("s1", 6, 1)), AnnounceDecision::Registered);
}

/// An announcement with another address would redirect the server's requests to that address.
#[test]
fn forged_announcement_does_not_change_a_servers_address() {
    let mut state = ClusterState::default();
    announce(&mut state, &announcement("s1", 5, 1));
    let forged =
        Announcement { address: ([10, 0, 0, 9], 8_080).into(), ..announcement("s1", 5, 7) };
    assert_eq!(announce(&mut state, &forged), AnnounceDecision::Contradicts);
    let name = "s1".parse().expect("name");
    let address = state.view().server(&name).map(|server| server.address);
    assert_eq!(address, Some(([10, 0, 0, 1], 8_080).into()));
}

#[test]
fn repeated_drain_changes_nothing_and_the_last_command_wins() {
    let mut state = ClusterState::default();
    let domain = "north".parse().expect("name");
    for is_drained in [true, true, false, false, true] {
        state.apply(LogTime(1), &Command::SetDrain("north".parse().expect("name"), is_drained));
        assert_eq!(state.view().is_drained(&domain), is_drained);
    }
    assert_eq!(state.view().drain_version(&domain).0, 3);
}

/// Guards against a process that ends on a document of another writer, whose weights exceed what
/// their sum can hold.
#[test]
fn weights_with_a_large_sum_split_requests_evenly() {
    let part =
        |service: &str| RoutePart { service: service.parse().expect("name"), weight: u32::MAX };
    let parts = [part("desk"), part("archive")].into_iter().collect();
    let route = RouteSpec { parts, ..route("a", "/", "desk") };
    let picked = |draw| route.pick_service(draw).map(|service| service.as_str());
    assert_eq!((picked(0.25), picked(0.75)), (Some("desk"), Some("archive")));
}
