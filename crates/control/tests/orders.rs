//! Orders that arrive late: a replica was paused or cut off, its caller gave up and sent the order to
//! another replica, and newer orders were acknowledged since.

use async_trait::async_trait;
use consensus::{CoreSettings, Member, MemberRole};
use futures_util::FutureExt;
use hawthornhill_control::{ControlError, ControlPlane, ReplicaControl};
use peer::{PeerAnswer, PeerError, PeerHandler, PeerLink, PeerRequest, PeerTarget};
use replica::{
    FileStore, HistoryLimits, KnownLeader, LEADER_WAIT, ReplicaHandle, ReplicaSettings,
    start_replica,
};
use runtime::{EventTimeline, LogFormat, MetricsRegistry, TimerService, root_logger};
use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use tempfile::TempDir;
use testkit::MemoryNet;
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};
use types::{
    AnnounceDecision, Announcement, CallerLimits, DomainName, HostName, PoolSpec, RoutingDocument,
    RoutingVersion, ServerIncarnation, ServerState, ServiceName, ViewVersion,
};

const REPLICAS: u64 = 3;
/// Time in which the test machine carries out an order.
const SLACK: Duration = Duration::from_secs(20);
/// Time in which an order that is on its way would take effect.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

struct Handler(ReplicaHandle);

#[async_trait]
impl PeerHandler for Handler {
    async fn handle(&self, host: &HostName, request: PeerRequest) -> PeerAnswer {
        self.0.handle(host, request).await.unwrap_or(PeerAnswer::Done)
    }
}

/// A link that holds commands for the leader back while it is closed, and delivers them once it is
/// open, even if their sender has given up: like a connection whose path heals.
struct HeldLink {
    link: Arc<dyn PeerLink>,
    is_open: watch::Receiver<bool>,
}

#[async_trait]
impl PeerLink for HeldLink {
    async fn call(
        &self,
        target: &PeerTarget,
        request: PeerRequest,
        limit: Duration,
    ) -> Result<PeerAnswer, PeerError> {
        if !matches!(request, PeerRequest::Submit(_)) {
            return self.link.call(target, request, limit).await;
        }
        let (link, target, mut is_open) = (self.link.clone(), target.clone(), self.is_open.clone());
        let address = target.address;
        let delivery = tokio::spawn(async move {
            is_open.wait_for(|is_open| *is_open).await.expect("the test holds the sender");
            link.call(&target, request, SLACK).await
        });
        let timeout_ms = limit.as_millis() as u64;
        match timeout(limit, delivery).await {
            Ok(answer) => answer.expect("no panic"),
            Err(_) => Err(PeerError::TimedOut { address, timeout_ms }),
        }
    }

    fn send(&self, target: &PeerTarget, request: PeerRequest) {
        self.link.send(target, request);
    }
}

struct Node {
    handle: ReplicaHandle,
    control: Arc<ReplicaControl>,
    /// Whether commands of this node reach a remote leader.
    is_open: watch::Sender<bool>,
    _folder: TempDir,
}

fn address(number: u64) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number as u16))
}

fn host(number: u64) -> HostName {
    format!("core-{number}").parse().expect("name")
}

fn domain() -> DomainName {
    "north".parse().expect("name")
}

fn start_node(net: &MemoryNet, number: u64) -> (Node, Member) {
    let folder = tempfile::tempdir().expect("a folder");
    let identity = consensus::ReplicaId(number);
    let (store, restored) = FileStore::open(folder.path(), identity).expect("opens");
    let (is_open, open) = watch::channel(true);
    let link: Arc<dyn PeerLink> =
        Arc::new(HeldLink { link: net.link(host(number)), is_open: open });
    let counters = MetricsRegistry::default().decisions("x", "x");
    let logger = root_logger(LogFormat::Json, host(number).as_str());
    let timer = TimerService::start();
    let settings = ReplicaSettings {
        identity,
        host: host(number),
        address: address(number),
        domain: domain(),
        core: CoreSettings { seed: number, ..CoreSettings::default() },
        history: HistoryLimits::default(),
        leader_wait: LEADER_WAIT,
        link: link.clone(),
        timer: timer.clone(),
        timeline: EventTimeline::new(host(number).as_str()),
        counters: counters.clone(),
        logger: logger.clone(),
    };
    let handle = start_replica(settings, Box::new(store), restored).expect("starts");
    net.register(address(number), Arc::new(Handler(handle.clone())));
    let control =
        ReplicaControl::start(handle.clone(), link, BTreeSet::new(), timer, counters, logger);
    let (host, address, role) = (host(number), address(number), MemberRole::Voter);
    let member = Member { id: identity, host, address, domain: None, role };
    (Node { handle, control, is_open, _folder: folder }, member)
}

/// Starts replicas. Returns a follower and another node.
async fn start() -> (Node, Node, Vec<Node>) {
    let net = MemoryNet::default();
    let (mut nodes, members): (Vec<_>, Vec<_>) =
        (1..=REPLICAS).map(|number| start_node(&net, number)).unzip();
    for node in &nodes {
        node.handle.bootstrap(members.clone()).await.expect("formed");
    }
    let started = Instant::now();
    let follower = loop {
        let is_follower =
            |node: &Node| matches!(*node.handle.leader().borrow(), KnownLeader::Remote(_));
        if let Some(follower) = nodes.iter().position(is_follower) {
            break nodes.remove(follower);
        }
        assert!(started.elapsed() < SLACK, "no leader");
        sleep(Duration::from_millis(10)).await;
    };
    let other = nodes.remove(0);
    (follower, other, nodes)
}

/// Sends an order until it is acknowledged, as operators do.
async fn order(node: &Node, is_drained: bool) {
    let started = Instant::now();
    while node.control.set_drain(domain(), is_drained).await.is_err() {
        assert!(started.elapsed() < SLACK, "the order is not acknowledged");
    }
}

async fn wait_for_version(node: &Node, version: ViewVersion) {
    let started = Instant::now();
    while node.handle.view().version < version {
        assert!(started.elapsed() < SLACK, "the replica does not catch up");
        sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against an order that a replica reads when it wakes up, and submits although its caller has
/// closed the connection: a withdrawal would undo a newer evacuation for good, and an evacuation
/// would empty a failure domain after its withdrawal.
#[tokio::test]
async fn order_whose_caller_has_left_is_not_submitted() {
    for newest in [true, false] {
        let (follower, other, _rest) = start().await;
        order(&other, newest).await;
        wait_for_version(&follower, other.handle.view().version).await;
        // The HTTP server polls the order once before it notices that the caller has left.
        let late = follower.control.set_drain(domain(), !newest).now_or_never();
        assert!(late.is_none(), "decided without a quorum");
        sleep(SETTLE_TIME).await;
        assert_eq!(other.handle.view().is_drained(&domain()), newest);
    }
}

/// Guards against an order that reaches the leader only after a newer one was acknowledged, over a
/// link that heals or from the queue of a replica that was paused.
#[tokio::test]
async fn order_that_reaches_the_leader_late_does_not_undo_a_newer_one() {
    for newest in [true, false] {
        let (follower, other, _rest) = start().await;
        order(&other, newest).await;
        wait_for_version(&follower, other.handle.view().version).await;
        follower.is_open.send_replace(false);
        // The caller waits until the replica answers, and the command is on its way.
        let given_up = follower.control.set_drain(domain(), !newest).await;
        assert!(given_up.is_err(), "no leader got it: {given_up:?}");
        order(&other, !newest).await;
        order(&other, newest).await;
        follower.is_open.send_replace(true);
        sleep(SETTLE_TIME).await;
        assert_eq!(other.handle.view().is_drained(&domain()), newest);
    }
}

/// Guards against a newer order that changes nothing and so leaves an older one, still on its way,
/// free to take effect after it.
#[tokio::test]
async fn repeated_order_outdates_a_late_one() {
    let (follower, other, _rest) = start().await;
    order(&other, true).await;
    wait_for_version(&follower, other.handle.view().version).await;
    follower.is_open.send_replace(false);
    let given_up = follower.control.set_drain(domain(), false).await;
    assert!(given_up.is_err(), "no leader got it: {given_up:?}");
    order(&other, true).await;
    follower.is_open.send_replace(true);
    sleep(SETTLE_TIME).await;
    assert!(other.handle.view().is_drained(&domain()));
}

async fn wait_for_routing(node: &Node, version: RoutingVersion) {
    let started = Instant::now();
    while node.handle.view().routing_version() < version {
        assert!(started.elapsed() < SLACK, "the replica does not catch up");
        sleep(Duration::from_millis(10)).await;
    }
}

fn announcement(incarnation: u64, state: ServerState) -> Announcement {
    Announcement {
        server: "s-1".parse().expect("name"),
        service: "desk".parse().expect("name"),
        address: SocketAddr::from(([10, 0, 0, 1], 8080)),
        domain: domain(),
        slots: 3,
        incarnation: ServerIncarnation(incarnation),
        sequence: 1,
        state,
    }
}

/// Sends an announcement until it is acknowledged, as servers do.
async fn announce(node: &Node, incarnation: u64) {
    let started = Instant::now();
    while node.control.announce(announcement(incarnation, ServerState::Ready)).await.is_err() {
        assert!(started.elapsed() < SLACK, "the announcement is not acknowledged");
    }
}

async fn depart(node: &Node) {
    let started = Instant::now();
    while node.control.depart("s-1".parse().expect("name")).await.is_err() {
        assert!(started.elapsed() < SLACK, "the departure is not acknowledged");
    }
}

fn is_in_service(node: &Node, incarnation: u64) -> bool {
    let view = node.handle.view();
    let server = view.server(&"s-1".parse().expect("name"));
    server.is_some_and(|server| {
        server.incarnation == ServerIncarnation(incarnation) && server.state == ServerState::Ready
    })
}

/// Guards against a departure that a replica reads when it wakes up, although the server has left and
/// started again: the next incarnation would be removed and get no request for good, while its
/// announcements are acknowledged.
#[tokio::test]
async fn departure_whose_server_has_left_does_not_remove_the_next_incarnation() {
    let (follower, other, _rest) = start().await;
    announce(&other, 1).await;
    depart(&other).await;
    announce(&other, 2).await;
    wait_for_version(&follower, other.handle.view().version).await;
    let late = follower.control.depart("s-1".parse().expect("name")).now_or_never();
    assert!(late.is_none(), "decided without a quorum");
    sleep(SETTLE_TIME).await;
    announce(&other, 2).await;
    assert!(is_in_service(&other, 2));
}

/// Guards against a departure that reaches the leader only after the server has started again.
#[tokio::test]
async fn departure_that_reaches_the_leader_late_does_not_remove_the_next_incarnation() {
    let (follower, other, _rest) = start().await;
    announce(&other, 1).await;
    wait_for_version(&follower, other.handle.view().version).await;
    follower.is_open.send_replace(false);
    let given_up = follower.control.depart("s-1".parse().expect("name")).await;
    assert!(given_up.is_err(), "no leader got it: {given_up:?}");
    depart(&other).await;
    announce(&other, 2).await;
    follower.is_open.send_replace(true);
    sleep(SETTLE_TIME).await;
    announce(&other, 2).await;
    assert!(is_in_service(&other, 2));
}

/// Guards against a server that is used again after its departure, because an announcement of the
/// same incarnation arrives late.
#[tokio::test]
async fn announcement_after_the_departure_does_not_bring_the_server_back() {
    let (follower, other, _rest) = start().await;
    announce(&other, 1).await;
    depart(&follower).await;
    // The replicas apply the departure one after the other.
    let started = Instant::now();
    while is_in_service(&other, 1) || is_in_service(&follower, 1) {
        assert!(started.elapsed() < SLACK, "the departure does not take effect");
        sleep(Duration::from_millis(10)).await;
    }
    for node in [&other, &follower] {
        let late = Announcement { sequence: 9, ..announcement(1, ServerState::Ready) };
        node.control.announce(late).await.expect("acknowledged");
    }
    sleep(SETTLE_TIME).await;
    assert!(!is_in_service(&other, 1) && !is_in_service(&follower, 1));
}

fn routing(version: u64, service: &str) -> RoutingDocument {
    let service: ServiceName = service.parse().expect("name");
    let pool = PoolSpec {
        service: service.clone(),
        health_path: "/health".into(),
        max_connections: 260,
        warm_up_ms: 3_000,
        warm_up_rate_milli: 5_200,
    };
    let (version, limits) = (RoutingVersion(version), CallerLimits::default());
    RoutingDocument { version, routes: Vec::new(), pools: vec![pool], limits }
}

/// Guards against servers that leave without an acknowledgement, because a newer configuration no
/// longer declares their service, and against an odd announcement that replaces a registered server.
#[tokio::test]
async fn server_of_a_service_that_is_no_longer_declared_may_leave() {
    let (follower, other, _rest) = start().await;
    announce(&other, 1).await;
    for (version, service) in [(1, "desk"), (2, "archive")] {
        let document = routing(version, service);
        other.control.put_routing(document, "text".into()).await.expect("acknowledged");
    }
    wait_for_routing(&follower, RoutingVersion(2)).await;
    for state in [ServerState::Ready, ServerState::Leaving] {
        let refused = follower.control.announce(announcement(2, state)).await;
        assert!(matches!(refused, Err(ControlError::InvalidAnnouncement(_))), "{refused:?}");
    }
    let leaving = Announcement { sequence: 2, ..announcement(1, ServerState::Leaving) };
    let decision = follower.control.announce(leaving).await;
    assert_eq!(decision, Ok(AnnounceDecision::Registered));
}

/// Guards against orders that are refused for good because others come at the same time.
#[tokio::test]
async fn concurrent_orders_are_all_acknowledged() {
    let (follower, other, rest) = start().await;
    let orders = (0..8).map(|number| {
        let node = [&follower, &other, &rest[0]][number % 3];
        order(node, number % 2 == 0)
    });
    futures_util::future::join_all(orders).await;
    order(&follower, true).await;
    wait_for_version(&other, follower.handle.view().version).await;
    assert!(other.handle.view().is_drained(&domain()));
}
